/**
 * @file emu_expect.h
 * @brief Expectations that the tests of the job service share.
 */
#ifndef EMU_EXPECT_H
#define EMU_EXPECT_H

#include <check.h>

#include "emu.h"

/** @brief Expects that no rule was violated. A macro, so that a failure names
 *  the line of the test. */
#define emu_expect_no_violation(emu)                                           \
	ck_assert_msg(emu_violation_count(emu) == 0, "%s",                     \
		      emu_first_violation(emu))

/** @brief Advances time, queries the states of the first jobs at the processes
 *  in rotation, and expects that no rule was violated. */
static inline void emu_settle(struct emu *emu, uint32_t jobs, uint32_t ms)
{
	emu_advance(emu, ms);
	for (uint32_t i = 0; i < jobs; i++)
		emu_state_query(emu, i, i);
	emu_advance(emu, 500);
	emu_expect_no_violation(emu);
}

/** @brief Creates a deployment of one pool in which only the first worker has
 *  the capacity for a large task. */
static inline struct emu *emu_uneven_start(const struct emu_config *config)
{
	struct emu *emu = emu_create(config);

	for (uint32_t vm = 1; vm < config->vms_per_pool; vm++)
		emu_worker_set_cpu(emu, vm, 4000);
	emu_advance(emu, 3000);
	return emu;
}

#endif
