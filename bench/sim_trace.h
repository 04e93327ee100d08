/**
 * @file sim_trace.h
 * @brief Generated traces: requests of five pools and faults of their VMs.
 *
 * Prefix: sim_, shared by the parts of the decision bench. A trace depends
 * on its seed alone.
 */
#ifndef SIM_TRACE_H
#define SIM_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"

#define SIM_POOLS 5u
#define SIM_ENTRIES 9u
#define SIM_ZONES 3u
#define SIM_NEVER UINT64_MAX

/** A user's fleet and load. */
struct sim_deployment {
	const char *name;
	struct bundle_weights weights;
	uint32_t vms[SIM_POOLS];
	uint32_t floors[SIM_POOLS];
	/** median run time that the owner declares */
	uint32_t run_ms[SIM_POOLS];
	uint32_t deadline_ms[SIM_POOLS];
	/** mean share of the slots in use */
	double utilisation;
};

/** One request of a caller. */
struct sim_request {
	uint64_t at_ms;
	uint64_t deadline_ms;
	/** moment at which the caller leaves */
	uint64_t gone_ms;
	uint64_t run_ms;
	uint32_t pool;
	uint32_t entry;
	bool idempotent;
	/** fails wherever it runs */
	bool infeasible;
	bool in_burst;
};

/** What can befall a VM. */
enum sim_fault_kind {
	/** fails all it is given, at once */
	SIM_FAULT_FAILS_ALL,
	/** vanishes with what it runs */
	SIM_FAULT_CRASHED,
	/** drained for maintenance */
	SIM_FAULT_DRAINING,
};

/** A fault of one VM over a span of time. */
struct sim_fault {
	enum sim_fault_kind kind;
	uint32_t vm;
	uint64_t begin_ms;
	uint64_t end_ms;
};

/** Requests in order of arrival, and faults. */
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

/** The two users' deployments. */
extern const struct sim_deployment sim_officials;
extern const struct sim_deployment sim_tsurugi;

/** @brief Builds a deployment's bundle; pool i starts with its own VMs. */
struct bundle *sim_bundle_create(const struct sim_deployment *deployment);

/** @brief Returns the pool in which a VM starts. */
uint32_t sim_initial_pool(const struct sim_deployment *deployment, uint32_t vm);

/** @brief Generates a trace, freed by sim_trace_destroy(). */
struct sim_trace *sim_trace_create(const struct sim_deployment *deployment,
				   bool with_faults, uint32_t seed);

/** @brief Frees a trace. */
void sim_trace_destroy(struct sim_trace *trace);

/** @brief Tells whether the request counts: feasible, and its caller stays. */
bool sim_request_counts(const struct sim_request *request);

#endif
