/**
 * @file plan_placement.c
 * @brief Plans where VMs go, step by step, with the core package alone.
 *
 * Usage: plan_placement. Fills a pool of two VMs, lets one of them fail and
 * prints each change of the placement with its reason. The planner reads no
 * clock and does no I/O, so that the output is the same on every run.
 */
#include <inttypes.h>
#include <stdio.h>

#include "planner.h"

#define VM_COUNT 4u
#define POOL_COUNT 2u

/* The fleet as the program knows it. */
struct fleet {
	struct bundle *bundle;
	struct placement *view;
	struct planner_vm vms[VM_COUNT];
	bool fit[VM_COUNT];
	uint32_t wanted[POOL_COUNT];
};

static void pool_fill(struct bundle_pool *pool, const char *name, bool spare,
		      uint32_t target_vms, uint32_t floor_vms)
{
	pool->name = g_strdup(name);
	pool->spare = spare;
	pool->target_vms = target_vms;
	pool->floor_vms = floor_vms;
	pool->vms = g_new0(uint32_t, VM_COUNT);
	pool->vm_count = VM_COUNT;
	for (uint32_t i = 0; i < VM_COUNT; i++)
		pool->vms[i] = i;
}

/* A program that has a bundle file would call bundle_file_parse() instead. */
static struct bundle *bundle_create(void)
{
	struct bundle *bundle = bundle_create_empty();

	bundle->version = 1;
	bundle->vm_count = VM_COUNT;
	bundle->vms = g_new0(struct bundle_vm, VM_COUNT);
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		struct bundle_vm *vm = &bundle->vms[i];

		vm->name = g_strdup_printf("vm-%u", i);
		vm->availability_zone = g_strdup_printf("zone-%u", i % 2);
		vm->rack = g_strdup_printf("rack-%u", i);
	}
	bundle->pool_count = POOL_COUNT;
	bundle->pools = g_new0(struct bundle_pool, POOL_COUNT);
	pool_fill(&bundle->pools[0], "draws", false, 2, 1);
	pool_fill(&bundle->pools[1], "spare", true, 2, 0);
	return bundle;
}

static void fleet_init(struct fleet *fleet)
{
	*fleet = (struct fleet){ .bundle = bundle_create() };
	fleet->view = placement_create(fleet->bundle);
	for (uint32_t i = 0; i < VM_COUNT; i++)
		fleet->fit[i] = true;
	for (uint32_t i = 0; i < POOL_COUNT; i++)
		fleet->wanted[i] = fleet->bundle->pools[i].target_vms;
}

static void fleet_clear(struct fleet *fleet)
{
	placement_destroy(fleet->view);
	bundle_unref(fleet->bundle);
}

static const char *pool_name(const struct fleet *fleet, uint32_t pool)
{
	return pool == BUNDLE_INDEX_NONE ? "no pool"
					 : fleet->bundle->pools[pool].name;
}

static void change_print(const struct fleet *fleet,
			 const struct planner_change *change)
{
	printf("placement %" PRIu64 ": %s from %s to %s, %s (%s)\n",
	       fleet->view->number, fleet->bundle->vms[change->vm].name,
	       pool_name(fleet, change->before.pool),
	       pool_name(fleet, change->after.pool),
	       placement_state_name(change->after.state),
	       placement_reason_name(change->after.reason));
}

/* In this program a VM has finished its requests one plan after it drains. */
static void drained_fill(struct fleet *fleet)
{
	for (uint32_t i = 0; i < VM_COUNT; i++)
		fleet->vms[i].drained =
			fleet->view->rows[i].state == PLACEMENT_STATE_DRAINING;
}

/* Plans until nothing is left to change. */
static void fleet_plan(struct fleet *fleet)
{
	const struct planner_input input = {
		.bundle = fleet->bundle,
		.wanted = fleet->wanted,
		.vms = fleet->vms,
		.healthy = fleet->fit,
		.settled = true,
	};
	g_autoptr(GArray) changes =
		g_array_new(FALSE, FALSE, sizeof(struct planner_change));

	do {
		g_array_set_size(changes, 0);
		drained_fill(fleet);
		planner_run(&input, fleet->view, changes);
		if (changes->len > 0)
			fleet->view->number++;
		for (guint i = 0; i < changes->len; i++)
			change_print(fleet,
				     &g_array_index(changes,
						    struct planner_change, i));
	} while (changes->len > 0);
}

int main(void)
{
	struct fleet fleet;

	fleet_init(&fleet);
	fleet_plan(&fleet);
	puts("vm-0 fails");
	fleet.vms[0].failed = true;
	fleet.fit[0] = false;
	fleet_plan(&fleet);
	fleet_clear(&fleet);
	return 0;
}
