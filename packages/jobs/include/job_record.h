/**
 * @file job_record.h
 * @brief Records of jobs in the store and on the way between processes.
 *
 * Prefix: job_record_. A job's definition is written under a key of its own
 * when the job is accepted. Its progress, written as tasks end, and its end lie
 * in values that hold the records of several jobs, see seg.h. Records are JSON
 * objects.
 */
#ifndef JOB_RECORD_H
#define JOB_RECORD_H

#include <jansson.h>

#include "err.h"
#include "job.h"

/** Prefix of job definitions, followed by the job's identity. */
#define JOB_RECORD_PREFIX_DEFINITION "/sassafrascart/job/"
/** Prefix of the progress of jobs, followed by a number that grows. */
#define JOB_RECORD_PREFIX_PROGRESS "/sassafrascart/job-progress/"
/** Prefix of the ends of jobs, followed by a number that grows. */
#define JOB_RECORD_PREFIX_END "/sassafrascart/job-end/"

/** @brief Encodes a specification. @return text owned by the caller */
char *job_record_spec_encode(const struct job_spec *spec);

/**
 * @brief Decodes a specification.
 * @return ERR_NONE, ERR_MALFORMED, or as job_spec_check()
 */
enum err_kind job_record_spec_decode(const char *text, size_t len,
				     struct job_spec **out);

/** @brief Encodes a job's definition. @return owned text */
char *job_record_job_encode(const struct job *job);

/** @brief Decodes a definition. @return ERR_NONE or ERR_MALFORMED */
enum err_kind job_record_job_decode(const char *id, const char *text,
				    size_t len, struct job **out);

/** @brief Adds the progress of a job that is live to a value of records. */
void job_record_progress_add(json_t *records, const struct job *job);

/** @brief Adds the end of a job to a value of records. */
void job_record_end_add(json_t *records, const struct job *job);

/**
 * @brief Decodes a value of records, an object by identity of the job.
 * @return records owned by the caller, or NULL if they are malformed
 */
json_t *job_record_batch_decode(const char *text, size_t len);

/**
 * @brief Decodes an end.
 * @return ERR_NONE or ERR_MALFORMED
 */
enum err_kind job_record_end_decode(const char *id, const json_t *record,
				    struct job **out);

/**
 * @brief Applies a record of progress to a job without occurrences.
 * @return ERR_NONE, or ERR_MALFORMED for a record that does not fit
 */
enum err_kind job_record_progress_apply(struct job *job, const json_t *record,
					uint64_t now_ms, uint64_t now_unix_ms);

#endif
