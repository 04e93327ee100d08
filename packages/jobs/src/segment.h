/**
 * @file segment.h
 * @brief Segments: values in the store that hold records of several jobs.
 *
 * Prefix: segment_. Each transaction writes the records of all its jobs as one
 * value a kind, so that its size in keys does not grow with the work. A job's
 * newest record of a kind counts; a segment in which no job's newest record
 * lies any more is garbage, and its key is deleted by a later transaction.
 */
#ifndef SEGMENT_H
#define SEGMENT_H

#include "job.h"

/** A segment, opaque. */
struct segment;

/** All segments of one log, opaque. */
struct segment_table;

/** @brief Creates an empty table. */
struct segment_table *segment_table_create(void);

/** @brief Frees the table and its segments. @param table may be NULL */
void segment_table_destroy(struct segment_table *table);

/** @brief Adds a segment that no job is in yet. @param key copied */
struct segment *segment_add(struct segment_table *table, const char *key);

/** @brief Returns the key of a segment, owned by it. */
const char *segment_key(const struct segment *segment);

/** @brief Makes a segment that of a job's newest record of a kind. */
void segment_attach(struct segment *segment, struct job *job,
		    enum job_segment_kind kind);

/** @brief The job's record of a kind counts no more, if there is one. */
void segment_detach(struct job *job, enum job_segment_kind kind);

/** @brief Turns a segment that no job is in into garbage. */
void segment_retire_if_empty(struct segment *segment);

/** @brief Number of segments that are garbage. */
uint32_t segment_garbage_count(const struct segment_table *table);

/** @brief Takes the key of a segment that is garbage. @return owned, or NULL */
char *segment_garbage_pop(struct segment_table *table);

#endif
