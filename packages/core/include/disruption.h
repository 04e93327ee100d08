/**
 * @file disruption.h
 * @brief Disruption budget: decides whether a VM may be taken out of its pool.
 *
 * Prefix: disruption_. Disruptions in progress are counted from the rows of
 * the placement, which are written before any action starts. The VM list of
 * the platform is not used for this because it lags behind.
 *
 * A disruption is allowed if the ready VMs that remain, less the largest
 * number of them in one rack or availability zone, meet the pool's floor. A
 * pool is undersized if it could not meet this rule even with all its VMs
 * ready. It may have one VM disrupted at a time, as long as the remaining VMs
 * meet the floor itself.
 */
#ifndef DISRUPTION_H
#define DISRUPTION_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "placement.h"

/** Result of a budget check, with the numbers that led to it. */
struct disruption_verdict {
	/** VMs other than the disrupted one that serve the pool and are
	 *  healthy */
	uint32_t ready;
	/** largest number of ready VMs in one rack or availability zone, 0
	 *  if the pool need not survive the loss of one */
	uint32_t worst_loss;
	/** fewest VMs that must serve the pool */
	uint32_t floor;
	/** the pool is undersized; determined only if the regular rule denies
	 *  the disruption */
	bool undersized;
	bool allowed;
};

/**
 * @brief Decides whether a working VM may be taken out of its pool.
 *
 * @param bundle the bundle in force
 * @param placement the current placement; not modified
 * @param healthy for each VM whether it is known to work
 * @param pool index of the pool
 * @param vm index of the VM to be disrupted
 */
struct disruption_verdict disruption_check(const struct bundle *bundle,
					   const struct placement *placement,
					   const bool *healthy, uint32_t pool,
					   uint32_t vm);

/**
 * @brief Decides whether a failed VM may be taken out of its pool.
 *
 * A failed VM serves no requests, but the evidence of its failure may be
 * wrong. The other rows in service must therefore meet the floor; health and
 * the loss of a rack or zone are not taken into account.
 */
struct disruption_verdict
disruption_check_failed(const struct bundle *bundle,
			const struct placement *placement, uint32_t pool,
			uint32_t vm);

#endif
