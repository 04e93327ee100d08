/**
 * @file rollout.h
 * @brief Asks the entry processes what they have in force.
 *
 * Prefix: rollout_.
 */
#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "cli.h"
#include "member.h"

/** How far a roll has come. */
struct rollout_progress {
	uint32_t members;
	uint32_t in_force;
};

/** What one process says of itself. */
struct rollout_status {
	struct member member;
	/** whether it answered; the fields below are 0 if not */
	bool answered;
	uint64_t roll;
	/** greatest roll that it heard of */
	uint64_t known_roll;
	/** wall-clock time of the process at which it applied the roll */
	uint64_t applied_at_ms;
	uint64_t version;
	uint64_t placement;
	bool manager;
	bool may_dispatch;
};

/**
 * @brief Reads the members from the platform.
 * @param out array of struct rollout_status that nobody answered yet, freed by
 *        g_array_unref(); empty on failure
 */
enum err_kind rollout_members_read(struct cli_context *desk, GArray **out);

/** @brief Asks all members at the same time and fills their statuses. */
void rollout_statuses_fetch(struct cli_context *desk, GArray *statuses);

/** @brief Returns the greatest roll that any of the members knows. */
uint64_t rollout_newest_roll(const GArray *statuses);

/**
 * @brief Waits until every process has a roll in force.
 * @param statuses members known before, read again while the platform
 *        answers; replaced by the newest ones
 * @return ERR_NONE, or ERR_PENDING with the progress so far
 */
enum err_kind rollout_wait(struct cli_context *desk, uint64_t roll,
			   uint32_t wait_ms, GArray **statuses,
			   struct rollout_progress *out);

#endif
