/**
 * @file slots_trace.h
 * @brief Generates bursty traces of requests to one pool.
 */
#ifndef SLOTS_TRACE_H
#define SLOTS_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Number of gateways, of VMs in the shared pool and of slots on each VM. */
#define GATEWAYS 9
#define VMS 10
#define SLOTS 8
#define TRACE_MS 120000

/** A request of the trace. */
struct request {
	uint32_t arrival_ms;
	uint32_t run_ms;
	uint32_t gateway;
	bool burst;
	/* arrives so long after a burst that the queue has drained */
	bool calm;
};

/**
 * @brief Generates a trace.
 *
 * Bursts at five times the mean rate, which exceeds the pool's capacity,
 * alternate with calm phases at a twentieth of it. The distribution over the
 * gateways changes with each phase, and run times vary by large factors.
 *
 * @return struct request in order of arrival, freed by g_array_unref()
 */
GArray *slots_trace_create(uint32_t seed);

#endif
