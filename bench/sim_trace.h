/**
 * @file sim_trace.h
 * @brief Generates traces of requests to five pools and of VM faults.
 *
 * Prefix: sim_, shared by all modules of bench_decisions. Traces are
 * deterministic for a deployment and a seed.
 */
#ifndef SIM_TRACE_H
#define SIM_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"

#define SIM_POOLS 5u
#define SIM_GATEWAYS 9u
#define SIM_ZONES 3u
#define SIM_NEVER UINT64_MAX

/** Fleet and load of a user. */
struct sim_deployment {
	const char *name;
	struct bundle_weights weights;
	uint32_t vms[SIM_POOLS];
	uint32_t floors[SIM_POOLS];
	/** declared median run time */
	uint32_t run_ms[SIM_POOLS];
	uint32_t deadline_ms[SIM_POOLS];
	/** mean share of slots in use, between 0 and 1 */
	double utilisation;
};

/** One request of a caller. */
struct sim_request {
	uint64_t at_ms;
	uint64_t deadline_ms;
	/** time at which the caller cancels, or SIM_NEVER */
	uint64_t cancel_ms;
	uint64_t run_ms;
	uint32_t pool;
	uint32_t gateway;
	bool idempotent;
	/** fails on every VM */
	bool infeasible;
	bool in_burst;
};

/** Kinds of VM faults. */
enum sim_fault_kind {
	/** fails each request immediately */
	SIM_FAULT_FAILS_ALL,
	/** crashes with all requests that it runs */
	SIM_FAULT_CRASHED,
	/** drained for maintenance */
	SIM_FAULT_DRAINING,
};

/** A fault of one VM from begin_ms to end_ms. */
struct sim_fault {
	enum sim_fault_kind kind;
	uint32_t vm;
	uint64_t begin_ms;
	uint64_t end_ms;
};

/** Requests in order of arrival, and faults of VMs. */
struct sim_trace {
	const struct sim_deployment *deployment;
	const char *name;
	bool with_faults;
	uint32_t seed;
	struct bundle *bundle;
	struct sim_request *requests;
	uint32_t request_count;
	struct sim_fault *faults;
	uint32_t fault_count;
	uint64_t end_ms;
};

/** The deployments of the two users. */
extern const struct sim_deployment sim_officials;
extern const struct sim_deployment sim_tsurugi;

/** @brief Creates the bundle of a deployment, freed by bundle_unref(). */
struct bundle *sim_bundle_create(const struct sim_deployment *deployment);

/** @brief Returns the pool to which a VM belongs at the start. */
uint32_t sim_initial_pool(const struct sim_deployment *deployment, uint32_t vm);

/** @brief Generates a trace, freed by sim_trace_destroy(). */
struct sim_trace *sim_trace_create(const struct sim_deployment *deployment,
				   bool with_faults, uint32_t seed);

/** @brief Frees a trace. */
void sim_trace_destroy(struct sim_trace *trace);

/**
 * @brief Returns whether a request is included in the results.
 *
 * Excluded are those that fail everywhere and those that the caller cancels
 * before their deadline.
 */
bool sim_request_counts(const struct sim_request *request);

#endif
