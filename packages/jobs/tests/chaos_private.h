/**
 * @file chaos_private.h
 * @brief Shared by the files of the randomized test, see chaos.c.
 */
#ifndef CHAOS_PRIVATE_H
#define CHAOS_PRIVATE_H

#include "emu.h"

/** The state of one seed. */
struct chaos {
	struct emu *emu;
	struct emu_config config;
	/* when each store fault, process outage and partition ends */
	uint64_t store_heal_ms[EMU_NODES_MAX];
	uint64_t node_restart_ms[EMU_NODES_MAX];
	/* when a process that stops as planned ends, 0 for never */
	uint64_t node_stop_ms[EMU_NODES_MAX];
	uint64_t partition_heal_ms[EMU_VMS_MAX];
	uint64_t link_heal_ms[EMU_VMS_MAX];
	/* when lists arrive in order again, starts are not lost any more, and a
	 * VM's clock is set back and its worker accepts starts; 0 for not now
	 */
	uint64_t lists_heal_ms;
	uint64_t starts_heal_ms;
	uint64_t clock_heal_ms[EMU_VMS_MAX];
	uint64_t refusal_heal_ms[EMU_VMS_MAX];
	/* workers restart until then */
	uint64_t restarts_end_ms;
	/* number of jobs submitted */
	uint32_t jobs;
};

/* chaos_lists.c: what an owner reads of workers, and what workers begin. */
/** @brief Lets a worker flap beside lists that arrive in any order, sets a
 *  clock, or prevents starts. The owner is EMU_NODES_MAX if there is none. */
void chaos_lists_disturb(struct chaos *chaos, uint32_t owner,
			 uint32_t duration_ms);
/** @brief Ends what chaos_lists_disturb() has begun and is over, or all. */
void chaos_lists_heal(struct chaos *chaos, bool all);
/** @brief Asks a process how many jobs of a queue wait. */
void chaos_backlog_query(struct chaos *chaos);

#endif
