/**
 * @file segment.h
 * @brief Segments: stored values that hold records of several jobs.
 *
 * Prefix: segment_. A transaction writes one segment per kind of record, with
 * the records of all its jobs, so that the number of keys does not grow with
 * the number of jobs. Only the newest record of a job and kind is current. A
 * segment without current records is garbage; a later transaction deletes its
 * key.
 */
#ifndef SEGMENT_H
#define SEGMENT_H

#include "job.h"

/** A segment: one key in the store, opaque. */
struct segment;

/** The segments of one commit log, opaque. */
struct segment_table;

/** @brief Creates an empty table. */
struct segment_table *segment_table_create(void);

/** @brief Frees the table and its segments. @param table may be NULL */
void segment_table_destroy(struct segment_table *table);

/** @brief Adds a segment without records. @param key copied */
struct segment *segment_add(struct segment_table *table, const char *key);

/** @brief Returns the key of a segment, owned by the segment. */
const char *segment_key(const struct segment *segment);

/**
 * @brief Registers that a job's newest record of a kind is in a segment.
 *
 * The job is detached from the segment that held the record before.
 */
void segment_attach(struct segment *segment, struct job *job,
		    enum job_segment_kind kind);

/** @brief Makes the job's record of a kind obsolete, if it has one. */
void segment_detach(struct job *job, enum job_segment_kind kind);

/** @brief Turns a segment without current records into garbage. */
void segment_retire_if_empty(struct segment *segment);

/** @brief Returns the number of garbage keys. */
uint32_t segment_garbage_count(const struct segment_table *table);

/** @brief Adds a garbage key, which the table owns, as the next one. */
void segment_garbage_push(struct segment_table *table, char *key);

/**
 * @brief Removes a garbage key from the table.
 * @return key owned by the caller, or NULL if there is none
 */
char *segment_garbage_pop(struct segment_table *table);

#endif
