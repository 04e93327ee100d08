/**
 * @file disruption.h
 * @brief Availability budget: whether a VM of a pool may be disrupted.
 *
 * Prefix: disruption_. Disruptions under way are counted from the placement's
 * rows, which are recorded before anything is done, never from the platform's
 * lagging list.
 *
 * A disruption is allowed when the ready VMs that remain, less the worst loss
 * of one rack or availability zone, meet the pool's floor. A pool that could
 * not keep this rule even with all its VMs ready is "small": it may have one
 * VM disrupted at a time, as long as the floor itself is kept.
 */
#ifndef DISRUPTION_H
#define DISRUPTION_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "placement.h"

/** A verdict with its inputs. */
struct disruption_verdict {
	/** VMs that serve the pool and are fit, without the disrupted one */
	uint32_t ready;
	/** most of these that one rack or availability zone holds */
	uint32_t worst_loss;
	uint32_t floor;
	/** the pool cannot survive a loss even when undisturbed */
	bool undersized;
	bool allowed;
};

/**
 * @brief Decides whether a VM may be taken out of its pool on purpose.
 *
 * @param bundle the bundle in force
 * @param view the placement; not modified
 * @param fit for each VM whether it is known to work
 * @param pool index of the pool
 * @param vm index of the VM to be disrupted
 */
struct disruption_verdict disruption_check(const struct bundle *bundle,
					   const struct placement *view,
					   const bool *fit, uint32_t pool,
					   uint32_t vm);

/**
 * @brief Decides whether a VM that failed may be taken out of its pool.
 *
 * It serves nobody any more, but the evidence may be wrong: the rows that
 * remain must meet the floor.
 */
struct disruption_verdict disruption_check_failed(const struct bundle *bundle,
						  const struct placement *view,
						  uint32_t pool, uint32_t vm);

#endif
