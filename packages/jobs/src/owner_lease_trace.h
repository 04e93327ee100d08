/**
 * @file owner_lease_trace.h
 * @brief What the log says about an owner whose lease is not valid, and about
 *        one that has just taken over.
 *
 * Prefix: owner_lease_trace_. Starts are named in lines that collect them, so
 * that their number is bounded. Decides nothing.
 */
#ifndef OWNER_LEASE_TRACE_H
#define OWNER_LEASE_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct job_task;
struct owner;
struct worker;

/** What is recorded, opaque. */
struct owner_lease_trace;

/** @brief Creates the record of an owner that takes over now. */
struct owner_lease_trace *owner_lease_trace_create(uint64_t now_ms);

/** @brief Frees a record. */
void owner_lease_trace_destroy(struct owner_lease_trace *trace);

/** @brief Records a start that is about to be ordered: before the task's cause
 *  of the last requeue is cleared. */
void owner_lease_trace_start(struct owner *owner, const struct job_task *task,
			     const struct worker *worker, uint32_t run);

/** @brief Records whether a poll renews the lease of a worker. */
void owner_lease_trace_renewal(struct owner *owner, bool renewed);

/** @brief Records that the owner runs, and logs what is due. */
void owner_lease_trace_tick(struct owner *owner);

/** @brief Records and logs that the takeover is settled. */
void owner_lease_trace_settled(struct owner *owner, uint32_t released,
			       bool all_reported);

/** @brief Records what has shown that another owner exists, such as the id of a
 *  worker. */
void owner_lease_trace_deposed(struct owner *owner, const char *shown_by);

/** @brief Logs what an owner did that is about to be destroyed because this
 *  process is not the owner any more. */
void owner_lease_trace_lost(struct owner *owner);

/** @brief Appends the metrics, one per line. */
void owner_lease_trace_metrics_append(const struct owner *owner, GString *out);

#endif
