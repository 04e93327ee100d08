/**
 * @file dec_trace.h
 * @brief Generated traces: requests of five pools and faults of their VMs.
 *
 * Prefix: dec_, shared by the parts of the decision bench. A trace depends
 * on its seed alone.
 */
#ifndef DEC_TRACE_H
#define DEC_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"

#define DEC_POOLS 5u
#define DEC_ENTRIES 9u
#define DEC_ZONES 3u
#define DEC_NEVER UINT64_MAX

/** A user's fleet and load. */
struct dec_deployment {
	const char *name;
	struct bundle_weights weights;
	uint32_t vms[DEC_POOLS];
	uint32_t floors[DEC_POOLS];
	/** median run time that the owner declares */
	uint32_t run_ms[DEC_POOLS];
	uint32_t deadline_ms[DEC_POOLS];
	/** mean share of the slots in use */
	double utilisation;
};

/** One request of a caller. */
struct dec_request {
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
enum dec_fault_kind {
	/** fails all it is given, at once */
	DEC_FAULT_FAILS_ALL,
	/** vanishes with what it runs */
	DEC_FAULT_LOST,
	/** drained for maintenance */
	DEC_FAULT_LEAVING,
};

/** A fault of one VM over a span of time. */
struct dec_fault {
	enum dec_fault_kind kind;
	uint32_t vm;
	uint64_t begin_ms;
	uint64_t end_ms;
};

/** Requests in order of arrival, and faults. */
struct dec_trace {
	const struct dec_deployment *deployment;
	const char *name;
	bool with_faults;
	uint32_t seed;
	struct bundle *bundle;
	struct dec_request *requests;
	uint32_t request_count;
	struct dec_fault *faults;
	uint32_t fault_count;
	uint64_t end_ms;
};

/** The two users' deployments. */
extern const struct dec_deployment dec_officials;
extern const struct dec_deployment dec_tsurugi;

/** @brief Builds a deployment's bundle; pool i starts with its own VMs. */
struct bundle *dec_bundle_create(const struct dec_deployment *deployment);

/** @brief Returns the pool in which a VM starts. */
uint32_t dec_home_pool(const struct dec_deployment *deployment, uint32_t vm);

/** @brief Generates a trace, freed by dec_trace_destroy(). */
struct dec_trace *dec_trace_create(const struct dec_deployment *deployment,
				   bool with_faults, uint32_t seed);

/** @brief Frees a trace. */
void dec_trace_destroy(struct dec_trace *trace);

/** @brief Tells whether the request counts: feasible, and its caller stays. */
bool dec_request_counts(const struct dec_request *request);

#endif
