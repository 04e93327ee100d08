/**
 * @file rollout.h
 * @brief Reads the status of all sassafrascartd processes and awaits rollouts.
 *
 * Prefix: rollout_.
 */
#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "cli.h"
#include "member.h"

/** Number of processes in total, and of those that applied a roll. */
struct rollout_progress {
	uint32_t members;
	uint32_t in_force;
};

/** Status reported by one process. */
struct rollout_status {
	struct member member;
	/** false if the process did not answer; the fields below are then 0 */
	bool answered;
	uint64_t roll;
	/** greatest roll that the process has seen, applied or not */
	uint64_t known_roll;
	/**
	 * Unix time in ms at which the process applied the roll, by its clock
	 */
	uint64_t applied_at_ms;
	uint64_t version;
	uint64_t placement;
	bool manager;
	bool may_dispatch;
};

/**
 * @brief Reads the members from the platform.
 * @param out array of struct rollout_status with only the member filled, freed
 *        by g_array_unref(); empty on failure
 */
enum err_kind rollout_members_read(struct cli_context *ctx, GArray **out);

/** @brief Fetches the statuses of all members in parallel. */
void rollout_statuses_fetch(struct cli_context *ctx, GArray *statuses);

/** @brief Returns the greatest roll number that any member has seen. */
uint64_t rollout_newest_roll(const GArray *statuses);

/**
 * @brief Waits until every process has applied a roll or a later one.
 * @param statuses known members; replaced by a fresh list whenever the platform
 *        answers
 * @param wait_ms time after which the wait ends
 * @return ERR_NONE, or ERR_PENDING with the progress so far
 */
enum err_kind rollout_wait(struct cli_context *ctx, uint64_t roll,
			   uint32_t wait_ms, GArray **statuses,
			   struct rollout_progress *out);

#endif
