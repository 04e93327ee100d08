/**
 * @file jrc.h
 * @brief Records of jobs in the store and on the way between processes.
 *
 * Prefix: jrc_. A job has up to two keys: its definition, written once when it
 * is accepted and replaced by its end; and its progress, written as tasks end.
 * Records are JSON objects.
 */
#ifndef JRC_H
#define JRC_H

#include "err.h"
#include "jtp.h"

/** Prefix of job definitions, followed by the job's identity. */
#define JRC_PREFIX_JOB "/sassafrascart/job/"
/** Prefix of the progress of jobs, followed by the job's identity. */
#define JRC_PREFIX_PROGRESS "/sassafrascart/progress/"

/** @brief Encodes a specification. @return text owned by the caller */
char *jrc_spec_encode(const struct jtp_spec *spec);

/**
 * @brief Decodes a specification.
 * @return ERR_NONE, ERR_MALFORMED, or as jtp_spec_check()
 */
enum err_kind jrc_spec_decode(const char *text, size_t len,
			      struct jtp_spec **out);

/** @brief Encodes a job's definition, or its end. @return owned text */
char *jrc_job_encode(const struct jtp_job *job);

/** @brief Decodes a job. @return ERR_NONE or ERR_MALFORMED */
enum err_kind jrc_job_decode(const char *id, const char *text, size_t len,
			     struct jtp_job **out);

/** @brief Encodes the progress of a job that is live. @return owned text */
char *jrc_progress_encode(const struct jtp_job *job);

/**
 * @brief Applies a record of progress to a job without occurrences.
 * @return ERR_NONE, or ERR_MALFORMED for a record that does not fit
 */
enum err_kind jrc_progress_decode(struct jtp_job *job, const char *text,
				  size_t len, uint64_t now_ms,
				  uint64_t now_unix_ms);

#endif
