/**
 * @file job_record.h
 * @brief Encoding of jobs for the store and for calls between processes.
 *
 * Prefix: job_record_. The definition of a job is written under its own key
 * when the job is accepted. Progress records, written as tasks end, and end
 * records are stored in segments that hold the records of several jobs, see
 * segment.h. Records are JSON objects.
 */
#ifndef JOB_RECORD_H
#define JOB_RECORD_H

#include <jansson.h>

#include "err.h"
#include "job.h"

/** Prefix of definition keys, followed by the job's identity. */
#define JOB_RECORD_PREFIX_DEFINITION "/sassafrascart/job/"
/** Prefix of keys with progress records, followed by epoch and sequence. */
#define JOB_RECORD_PREFIX_PROGRESS "/sassafrascart/job-progress/"
/** Prefix of keys with end records, followed by epoch and sequence. */
#define JOB_RECORD_PREFIX_END "/sassafrascart/job-end/"

/**
 * Maximum length of an encoded specification. It leaves room in a message
 * between processes, and in a value of the store, for what surrounds it.
 */
#define JOB_RECORD_SPEC_MAX_BYTES (256u * 1024u)

/** @brief Encodes a specification. @return JSON text, owned by the caller */
char *job_record_spec_encode(const struct job_spec *spec);

/**
 * @brief Decodes a specification.
 * @param out owned by the caller, set with ERR_NONE
 * @return ERR_NONE, ERR_MALFORMED, ERR_TOO_LARGE if the text is longer than
 *         JOB_RECORD_SPEC_MAX_BYTES, or an error of job_spec_check()
 */
enum err_kind job_record_spec_decode(const char *text, size_t len,
				     struct job_spec **out);

/** @brief Encodes a job's definition. @return JSON text, owned by the caller */
char *job_record_job_encode(const struct job *job);

/** @brief Decodes a job's definition.
 *  @return ERR_NONE, ERR_MALFORMED, or an error of job_spec_check() */
enum err_kind job_record_job_decode(const char *id, const char *text,
				    size_t len, struct job **out);

/**
 * @brief Adds the progress record of a running job to a JSON object.
 * @param max_bytes checkpoints that make the record longer are left out
 * @return number of checkpoints left out
 */
uint32_t job_record_progress_add(json_t *records, const struct job *job,
				 size_t max_bytes);

/** @brief Returns the key of a cancellation of a job that had not been
 *  submitted: that of its record, and never an identity. Another account or
 *  queue may have a job of the same identity. */
char *job_record_cancel_key(const char *id, const char *queue,
			    const char *account);

/** @brief Adds the end record of a job to a JSON object. */
void job_record_end_add(json_t *records, const struct job *job);

/**
 * @brief Decodes a stored value with one record per job identity.
 * @return JSON object owned by the caller, or NULL if it is malformed
 */
json_t *job_record_batch_decode(const char *text, size_t len);

/**
 * @brief Decodes an end record.
 * @param id key of the record
 * @return ERR_NONE or ERR_MALFORMED
 */
enum err_kind job_record_end_decode(const char *id, const json_t *record,
				    struct job **out);

/**
 * @brief Restores the occurrences of a job from its progress record.
 *
 * The job must not have occurrences yet.
 * @return ERR_NONE, or ERR_MALFORMED if the record does not match the job
 */
enum err_kind job_record_progress_apply(struct job *job, const json_t *record,
					uint64_t now_ms, uint64_t now_unix_ms);

#endif
