#include "disruption.h"

#include <string.h>

/* VMs of a pool that remain, and how many rows of it are disrupted. */
struct remainder {
	uint32_t *vms;
	uint32_t count;
	uint32_t disrupted;
};

static bool same_domain(const struct bundle_vm *a, const struct bundle_vm *b,
			enum bundle_survive survive)
{
	if (strcmp(a->availability_zone, b->availability_zone) != 0)
		return false;
	return survive == BUNDLE_SURVIVE_ZONE || strcmp(a->rack, b->rack) == 0;
}

static uint32_t worst_loss(const struct bundle *bundle,
			   const struct remainder *left,
			   enum bundle_survive survive)
{
	/* For each domain one of its VMs, and how many it has. */
	g_autofree uint32_t *domains = g_new(uint32_t, left->count + 1);
	g_autofree uint32_t *sizes = g_new0(uint32_t, left->count + 1);
	uint32_t count = 0;
	uint32_t worst = 0;

	if (survive == BUNDLE_SURVIVE_NONE)
		return 0;
	for (uint32_t i = 0; i < left->count; i++) {
		const struct bundle_vm *vm = &bundle->vms[left->vms[i]];
		uint32_t domain = 0;

		while (domain < count &&
		       !same_domain(&bundle->vms[domains[domain]], vm, survive))
			domain++;
		if (domain == count)
			domains[count++] = left->vms[i];
		sizes[domain]++;
		worst = MAX(worst, sizes[domain]);
	}
	return worst;
}

/* Collects the pool's VMs but one; with fit only those that serve. */
static struct remainder remainder_of(const struct placement *view,
				     const bool *fit, uint32_t pool,
				     uint32_t vm)
{
	struct remainder left = { .vms = g_new(uint32_t, view->row_count + 1) };

	for (uint32_t i = 0; i < view->row_count; i++) {
		const struct placement_row *row = &view->rows[i];

		if (i == vm || row->pool != pool)
			continue;
		if (row->state != PLACEMENT_STATE_SERVING)
			left.disrupted++;
		if (!fit || (row->state == PLACEMENT_STATE_SERVING && fit[i]))
			left.vms[left.count++] = i;
	}
	return left;
}

static bool pool_is_small(const struct bundle *bundle,
			  const struct placement *view, uint32_t pool,
			  uint32_t vm)
{
	const struct bundle_pool *spec = &bundle->pools[pool];
	struct remainder all = remainder_of(view, NULL, pool, vm);
	uint32_t loss = worst_loss(bundle, &all, spec->survive);
	bool small = all.count < spec->floor_vms + loss;

	g_free(all.vms);
	return small;
}

struct disruption_verdict disruption_check(const struct bundle *bundle,
					   const struct placement *view,
					   const bool *fit, uint32_t pool,
					   uint32_t vm)
{
	const struct bundle_pool *spec = &bundle->pools[pool];
	struct remainder left = remainder_of(view, fit, pool, vm);
	struct disruption_verdict room = {
		.ready = left.count,
		.worst_loss = worst_loss(bundle, &left, spec->survive),
		.floor = spec->floor_vms,
	};

	room.allowed = room.ready >= room.floor + room.worst_loss;
	if (!room.allowed && room.ready >= room.floor && left.disrupted == 0) {
		room.undersized = pool_is_small(bundle, view, pool, vm);
		room.allowed = room.undersized;
	}
	g_free(left.vms);
	return room;
}

struct disruption_verdict disruption_check_failed(const struct bundle *bundle,
						  const struct placement *view,
						  uint32_t pool, uint32_t vm)
{
	struct disruption_verdict room = {
		.floor = bundle->pools[pool].floor_vms
	};

	for (uint32_t i = 0; i < view->row_count; i++) {
		if (i != vm && view->rows[i].pool == pool &&
		    view->rows[i].state == PLACEMENT_STATE_SERVING)
			room.ready++;
	}
	room.allowed = room.ready >= room.floor;
	return room;
}
