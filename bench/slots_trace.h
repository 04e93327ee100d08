/**
 * @file slots_trace.h
 * @brief A bursty trace of requests for the slots of one pool.
 */
#ifndef SLOTS_TRACE_H
#define SLOTS_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Entries that take requests, and the pool that they share. */
#define ENTRIES 9
#define VMS 10
#define SLOTS 8
/** Length of the trace. */
#define TRACE_MS 120000

/** A request of the trace. */
struct request {
	uint32_t arrival_ms;
	uint32_t run_ms;
	uint32_t entry;
	bool burst;
	/* long enough after a burst that its queue is gone */
	bool calm;
};

/**
 * @brief Draws a trace.
 *
 * Bursts of five times the mean rate, more than the pool holds, alternate
 * with a twentieth of it; each phase comes through the entries in other
 * proportions, and run times vary by large factors.
 *
 * @return struct request in order of arrival, freed by g_array_unref()
 */
GArray *trace_create(uint32_t seed);

#endif
