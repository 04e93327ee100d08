#include "disruption.h"

#include <string.h>

/* VMs that remain in a pool when one is taken out. */
struct remaining {
	uint32_t *vms;
	uint32_t count;
	/* other rows of the pool that are not in service */
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
			   const struct remaining *remaining,
			   enum bundle_survive survive)
{
	/* One VM of each domain, and the number of VMs in the domain. */
	g_autofree uint32_t *domains = g_new(uint32_t, remaining->count + 1);
	g_autofree uint32_t *sizes = g_new0(uint32_t, remaining->count + 1);
	uint32_t count = 0;
	uint32_t worst = 0;

	if (survive == BUNDLE_SURVIVE_NONE)
		return 0;
	for (uint32_t i = 0; i < remaining->count; i++) {
		const struct bundle_vm *vm = &bundle->vms[remaining->vms[i]];
		uint32_t domain = 0;

		while (domain < count &&
		       !same_domain(&bundle->vms[domains[domain]], vm, survive))
			domain++;
		if (domain == count)
			domains[count++] = remaining->vms[i];
		sizes[domain]++;
		worst = MAX(worst, sizes[domain]);
	}
	return worst;
}

/*
 * Collects the VMs of a pool except vm. If healthy is not NULL, only those in
 * service that are healthy are collected.
 */
static struct remaining remaining_vms(const struct placement *placement,
				      const bool *healthy, uint32_t pool,
				      uint32_t vm)
{
	struct remaining remaining = { .vms = g_new(uint32_t,
						    placement->row_count + 1) };

	for (uint32_t i = 0; i < placement->row_count; i++) {
		const struct placement_row *row = &placement->rows[i];

		if (i == vm || row->pool != pool)
			continue;
		if (row->state != PLACEMENT_STATE_SERVING)
			remaining.disrupted++;
		if (!healthy ||
		    (row->state == PLACEMENT_STATE_SERVING && healthy[i]))
			remaining.vms[remaining.count++] = i;
	}
	return remaining;
}

static bool pool_is_undersized(const struct bundle *bundle,
			       const struct placement *placement, uint32_t pool,
			       uint32_t vm)
{
	const struct bundle_pool *spec = &bundle->pools[pool];
	struct remaining all = remaining_vms(placement, NULL, pool, vm);
	uint32_t loss = worst_loss(bundle, &all, spec->survive);
	bool undersized = all.count < spec->floor_vms + loss;

	g_free(all.vms);
	return undersized;
}

struct disruption_verdict disruption_check(const struct bundle *bundle,
					   const struct placement *placement,
					   const bool *healthy, uint32_t pool,
					   uint32_t vm)
{
	const struct bundle_pool *spec = &bundle->pools[pool];
	struct remaining remaining =
		remaining_vms(placement, healthy, pool, vm);
	struct disruption_verdict verdict = {
		.ready = remaining.count,
		.worst_loss = worst_loss(bundle, &remaining, spec->survive),
		.floor = spec->floor_vms,
	};

	verdict.allowed = verdict.ready >= verdict.floor + verdict.worst_loss;
	if (!verdict.allowed && verdict.ready >= verdict.floor &&
	    remaining.disrupted == 0) {
		verdict.undersized =
			pool_is_undersized(bundle, placement, pool, vm);
		verdict.allowed = verdict.undersized;
	}
	g_free(remaining.vms);
	return verdict;
}

struct disruption_verdict
disruption_check_failed(const struct bundle *bundle,
			const struct placement *placement, uint32_t pool,
			uint32_t vm)
{
	struct disruption_verdict verdict = {
		.floor = bundle->pools[pool].floor_vms
	};

	for (uint32_t i = 0; i < placement->row_count; i++) {
		if (i != vm && placement->rows[i].pool == pool &&
		    placement->rows[i].state == PLACEMENT_STATE_SERVING)
			verdict.ready++;
	}
	verdict.allowed = verdict.ready >= verdict.floor;
	return verdict;
}
