#include "chaos_private.h"

/* Maximum by which a clock is set ahead, and a list arrives late. */
#define CHAOS_AHEAD_MAX_MS 5000
#define CHAOS_LIST_DELAY_MAX_MS 700
/* Starts are refused for this long at least, so that jobs count as waiting. */
#define CHAOS_REFUSAL_MIN_MS 9000

/* A worker goes down beside an owner that is killed, or alone. */
static void worker_flap(struct chaos *chaos, uint32_t owner, uint32_t vm)
{
	struct emu *emu = chaos->emu;

	emu_worker_crash(emu, vm, 300 + emu_random(emu, 4000));
	if (owner == EMU_NODES_MAX || emu_random(emu, 2))
		return;
	emu_node_kill(emu, owner);
	chaos->node_restart_ms[owner] = emu_time_ms(emu) + 500;
}

void chaos_lists_disturb(struct chaos *chaos, uint32_t owner,
			 uint32_t duration_ms)
{
	struct emu *emu = chaos->emu;
	uint64_t now_ms = emu_time_ms(emu);
	uint32_t vm = emu_random(emu, emu_vm_count(emu));
	uint32_t ahead_ms = emu_random(emu, CHAOS_AHEAD_MAX_MS);

	switch (emu_random(emu, 5)) {
	case 0:
		for (uint32_t i = 0; i < EMU_LIST_COUNT; i++)
			emu_list_set_delay(
				emu, i,
				emu_random(emu, CHAOS_LIST_DELAY_MAX_MS));
		chaos->lists_heal_ms = now_ms + duration_ms;
		worker_flap(chaos, owner, vm);
		break;
	case 1:
		emu_worker_set_clock(emu, vm, (int32_t)ahead_ms);
		emu_worker_restart(emu, vm);
		chaos->clock_heal_ms[vm] = now_ms + duration_ms;
		break;
	case 2:
		emu_worker_set_refusing(emu, vm, true);
		chaos->refusal_heal_ms[vm] =
			now_ms + CHAOS_REFUSAL_MIN_MS + duration_ms;
		break;
	case 3:
		emu_starts_set_lost(emu, emu_random(emu, 1000));
		chaos->starts_heal_ms = now_ms + duration_ms;
		break;
	default:
		worker_flap(chaos, owner, vm);
		break;
	}
}

static bool is_due(uint64_t *heal_ms, uint64_t now_ms, bool all)
{
	bool due = *heal_ms != 0 && (all || now_ms >= *heal_ms);

	if (due)
		*heal_ms = 0;
	return due;
}

void chaos_lists_heal(struct chaos *chaos, bool all)
{
	struct emu *emu = chaos->emu;
	uint64_t now_ms = emu_time_ms(emu);

	if (is_due(&chaos->lists_heal_ms, now_ms, all)) {
		for (uint32_t i = 0; i < EMU_LIST_COUNT; i++)
			emu_list_set_delay(emu, i, 0);
	}
	if (is_due(&chaos->starts_heal_ms, now_ms, all))
		emu_starts_set_lost(emu, 0);
	for (uint32_t i = 0; i < emu_vm_count(emu); i++) {
		if (is_due(&chaos->refusal_heal_ms[i], now_ms, all))
			emu_worker_set_refusing(emu, i, false);
		if (!is_due(&chaos->clock_heal_ms[i], now_ms, all))
			continue;
		/* The next incarnation starts at an earlier time. */
		emu_worker_set_clock(emu, i, 0);
		emu_worker_crash(emu, i, emu_random(emu, 2000));
	}
}

void chaos_backlog_query(struct chaos *chaos)
{
	uint32_t node = emu_random(chaos->emu, chaos->config.nodes);
	uint32_t pool = emu_random(chaos->emu, chaos->config.pools);

	emu_backlog_query(chaos->emu, node, pool);
}
