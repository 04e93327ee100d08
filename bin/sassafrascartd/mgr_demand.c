#include <string.h>

#include "log.h"
#include "mgr_private.h"
#include "rebalance.h"

/* A heartbeat older than this tells nothing of the load now. Peers take turns
 * in being asked, so that with many each is heard more seldom. */
#define MGR_LOAD_HEARD_MS 8000u
#define MGR_LOAD_HEARD_PEER_MS 400u
/* Plans by demand in each window. */
#define MGR_DEMAND_PLANS 60

/* Sums of slots by demand_pool_key(). */
struct sums {
	GHashTable *slots;
	uint64_t now_ms;
	uint64_t heard_within_ms;
};

static void loads_add(struct sums *sums, const struct demand_load *loads,
		      uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		gpointer key = GUINT_TO_POINTER(loads[i].pool);
		uint64_t sum =
			GPOINTER_TO_UINT(g_hash_table_lookup(sums->slots, key));

		sum = MIN(sum + loads[i].slots, UINT32_MAX);
		g_hash_table_insert(sums->slots, key,
				    GUINT_TO_POINTER((guint)sum));
	}
}

static void peer_count(void *data, const struct gossip_heartbeat *last,
		       uint64_t heard_ms)
{
	struct sums *sums = data;

	sums->heard_within_ms += MGR_LOAD_HEARD_PEER_MS;
}

static void heartbeat_add(void *data, const struct gossip_heartbeat *last,
			  uint64_t heard_ms)
{
	struct sums *sums = data;

	if (heard_ms != 0 && sums->now_ms - heard_ms <= sums->heard_within_ms)
		loads_add(sums, last->loads, last->load_count);
}

/* The policy's times are in proportion to its window: a shorter window is a
 * faster clock. */
static uint64_t policy_ms(const struct mgr_manager *manager, uint64_t time_ms)
{
	return time_ms * DEMAND_TIME_CONSTANT_MS /
	       manager->config.demand_window_ms;
}

/* VMs that a pool has or gets; those that failed are still to be replaced. */
static uint32_t size_held(const struct mgr_manager *manager, uint32_t pool)
{
	uint32_t size = 0;

	for (uint32_t i = 0; i < manager->view->row_count; i++) {
		const struct placement_row *row = &manager->view->rows[i];

		if (row->next_pool != BUNDLE_INDEX_NONE ? row->next_pool == pool
							: row->pool == pool)
			size++;
	}
	return size;
}

/* In a new term a size above the target was chosen by demand, unless a roll
 * has not reached the placement yet. */
static struct mgr_pool *pool_create(struct mgr_manager *manager, uint32_t index)
{
	const struct bundle_pool *spec = &manager->bundle->pools[index];
	struct mgr_pool *pool = g_new0(struct mgr_pool, 1);

	pool->target = spec->target_vms;
	pool->wanted = spec->target_vms;
	if (manager->view->roll == manager->roll)
		pool->wanted = MAX(spec->target_vms, size_held(manager, index));
	g_hash_table_insert(manager->pools, g_strdup(spec->name), pool);
	return pool;
}

static struct mgr_pool *pool_get(struct mgr_manager *manager, uint32_t index)
{
	const struct bundle_pool *spec = &manager->bundle->pools[index];
	struct mgr_pool *pool = g_hash_table_lookup(manager->pools, spec->name);

	if (!pool)
		pool = pool_create(manager, index);
	if (pool->target != spec->target_vms) {
		pool->target = spec->target_vms;
		pool->wanted = spec->target_vms;
		memset(&pool->size, 0, sizeof(pool->size));
	}
	return pool;
}

void mgr_demand_sample(struct mgr_manager *manager)
{
	const struct mgr_config *config = &manager->config;
	g_autoptr(GHashTable) slots = g_hash_table_new(NULL, NULL);
	struct sums sums = { slots, loop_now_ms(), MGR_LOAD_HEARD_MS };
	struct demand_load own[GOSSIP_LOADS_MAX];

	loads_add(&sums, own,
		  config->loads(config->data, own, GOSSIP_LOADS_MAX));
	gossip_node_foreach_peer(config->peers, peer_count, &sums);
	gossip_node_foreach_peer(config->peers, heartbeat_add, &sums);
	for (uint32_t i = 0; i < manager->bundle->pool_count; i++) {
		struct mgr_pool *pool = pool_get(manager, i);
		uint32_t key = demand_pool_key(manager->bundle->pools[i].name);

		pool->slots = GPOINTER_TO_UINT(
			g_hash_table_lookup(slots, GUINT_TO_POINTER(key)));
		demand_sample_add(&pool->demand, pool->slots,
				  policy_ms(manager, sums.now_ms));
	}
}

/* Since when a VM is in its pool, as far as this term has seen. */
static uint64_t vm_since_ms(struct mgr_manager *manager, uint32_t index)
{
	const struct bundle *bundle = manager->bundle;
	uint32_t pool = manager->view->rows[index].pool;
	const char *name =
		pool == BUNDLE_INDEX_NONE ? "" : bundle->pools[pool].name;
	struct mgr_vm *vm = mgr_vm_get(manager, bundle->vms[index].name);

	if (g_strcmp0(vm->pool, name) != 0) {
		g_free(vm->pool);
		vm->pool = g_strdup(name);
		vm->since_ms = loop_now_ms();
	}
	return policy_ms(manager, vm->since_ms);
}

/* The plan's targets count ready VMs only, and a failed VM is still replaced:
 * a planned move changes what a pool is to have, and demand that fell before
 * a VM was found for it takes back what exceeds the bundle's target. */
static void pool_decide(const struct rebalance_pool *planned, const char *name,
			struct mgr_pool *pool)
{
	uint32_t wanted = pool->wanted;

	if (planned->target > planned->size)
		wanted = MAX(wanted, planned->target);
	else if (planned->target < planned->size)
		wanted = MIN(wanted, planned->target);
	else if (planned->reason == REBALANCE_REASON_IN_BAND &&
		 planned->size < wanted)
		wanted = MAX(MIN(wanted, pool->target), planned->size);
	if (wanted == pool->wanted)
		return;
	pool->wanted = wanted;
	pool->size = (struct fleet_record_pool_size){
		.reason = rebalance_reason_name(planned->reason),
		.current_vms = planned->size,
		.target_vms = wanted,
		.demand_milli = planned->demand_milli,
		.band_low_vms = planned->low,
		.band_high_vms = planned->high,
		.min_vms = planned->minimum,
	};
	log_info("pool_size",
		 "pool %s is to have %u VMs: %s; %u held, demand %" PRIu64
		 " thousandths of a slot, dead band %u to %u, minimum %u",
		 name, wanted, pool->size.reason, planned->size,
		 planned->demand_milli, planned->low, planned->high,
		 planned->minimum);
}

/* A full window of this term is needed to decide by demand. */
static bool pool_is_observed(const struct mgr_pool *pool)
{
	return pool->demand.observed_ms >= DEMAND_TIME_CONSTANT_MS;
}

static void plan_follow(struct mgr_manager *manager,
			const struct rebalance_input *input)
{
	struct rebalance_plan *plan = rebalance_plan_create(input);

	for (uint32_t i = 0; i < input->bundle->pool_count; i++) {
		const struct bundle_pool *spec = &input->bundle->pools[i];
		struct mgr_pool *pool = pool_get(manager, i);

		if (!spec->spare && pool_is_observed(pool))
			pool_decide(&plan->pools[i], spec->name, pool);
	}
	rebalance_plan_destroy(plan);
}

static bool plan_is_due(struct mgr_manager *manager)
{
	uint64_t pace_ms = manager->config.demand_window_ms / MGR_DEMAND_PLANS;

	if (manager->sized_ms != 0 &&
	    loop_now_ms() - manager->sized_ms < pace_ms)
		return false;
	for (uint32_t i = 0; i < manager->bundle->pool_count; i++) {
		if (!pool_is_observed(pool_get(manager, i)))
			continue;
		manager->sized_ms = loop_now_ms();
		return true;
	}
	return false;
}

static void sizes_choose(struct mgr_manager *manager,
			 const struct planner_vm *vms, const uint64_t *since_ms)
{
	const struct bundle *bundle = manager->bundle;
	g_autofree bool *ready = g_new0(bool, bundle->vm_count + 1);
	g_autofree struct demand_average *demand =
		g_new0(struct demand_average, bundle->pool_count + 1);
	const struct rebalance_input input = {
		.bundle = bundle,
		.placement = manager->view,
		.available = ready,
		.since_ms = since_ms,
		.demand = demand,
		.now_ms = policy_ms(manager, loop_now_ms()),
	};

	for (uint32_t i = 0; i < bundle->vm_count; i++)
		ready[i] = !vms[i].failed || manager->view->rows[i].reason ==
						     PLACEMENT_REASON_WAVE;
	for (uint32_t i = 0; i < bundle->pool_count; i++)
		demand[i] = pool_get(manager, i)->demand;
	plan_follow(manager, &input);
}

/* A size that demand chose takes no VM before its minimum stay is over. */
static bool vm_stays(struct mgr_manager *manager, uint32_t index,
		     uint64_t since_ms)
{
	struct rebalance_policy policy =
		rebalance_policy_from_weights(&manager->bundle->weights);
	uint32_t pool = manager->view->rows[index].pool;

	return pool != BUNDLE_INDEX_NONE &&
	       pool_get(manager, pool)->size.reason &&
	       policy_ms(manager, loop_now_ms()) - since_ms <
		       policy.min_stay_ms;
}

void mgr_demand_wanted(struct mgr_manager *manager, struct planner_vm *vms,
		       uint32_t *wanted)
{
	const struct bundle *bundle = manager->bundle;
	g_autofree uint64_t *since_ms = g_new0(uint64_t, bundle->vm_count + 1);

	for (uint32_t i = 0; i < bundle->vm_count; i++)
		since_ms[i] = vm_since_ms(manager, i);
	if (plan_is_due(manager))
		sizes_choose(manager, vms, since_ms);
	for (uint32_t i = 0; i < bundle->vm_count; i++)
		vms[i].within_min_stay = vm_stays(manager, i, since_ms[i]);
	for (uint32_t i = 0; i < bundle->pool_count; i++)
		wanted[i] = pool_get(manager, i)->wanted;
}

struct fleet_record_pool_size *mgr_demand_sizes(struct mgr_manager *manager)
{
	uint32_t count = manager->bundle->pool_count;
	struct fleet_record_pool_size *sizes =
		g_new0(struct fleet_record_pool_size, count + 1);

	for (uint32_t i = 0; i < count; i++)
		sizes[i] = pool_get(manager, i)->size;
	return sizes;
}

/* Only a manager has sums to tell. */
void mgr_metrics_render(const struct mgr_manager *manager, GString *out)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	if (manager->term == 0)
		return;
	g_hash_table_iter_init(&iter, manager->pools);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct mgr_pool *pool = value;
		g_autofree char *slots = g_strdup_printf(
			"pool_demand_slots{pool=\"%s\"}", (char *)name);
		g_autofree char *average = g_strdup_printf(
			"pool_demand_average_milli{pool=\"%s\"}", (char *)name);
		g_autofree char *wanted = g_strdup_printf(
			"pool_vms_wanted{pool=\"%s\"}", (char *)name);

		counter_render_gauge(out, slots, pool->slots);
		counter_render_gauge(out, average, pool->demand.average_milli);
		counter_render_gauge(out, wanted, pool->wanted);
	}
}
