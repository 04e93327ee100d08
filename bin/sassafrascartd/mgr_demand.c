#include <string.h>

#include "log.h"
#include "mgr_private.h"
#include "rebalance.h"

/*
 * Maximum age of a heartbeat whose load is counted. Peers are polled in turn,
 * so the limit grows with the number of peers.
 */
#define MGR_LOAD_MAX_AGE_MS 8000u
#define MGR_LOAD_MAX_AGE_PER_PEER_MS 400u
/* Number of plans by demand in each demand window. */
#define MGR_DEMAND_PLANS_PER_WINDOW 60

/* Sums of slots, keyed by demand_pool_key(). */
struct load_sums {
	GHashTable *slots;
	uint64_t now_ms;
	uint64_t max_age_ms;
};

static void loads_add(struct load_sums *load_sums,
		      const struct demand_load *loads, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		gpointer key = GUINT_TO_POINTER(loads[i].pool);
		uint64_t sum = GPOINTER_TO_UINT(
			g_hash_table_lookup(load_sums->slots, key));

		sum = MIN(sum + loads[i].slots, UINT32_MAX);
		g_hash_table_insert(load_sums->slots, key,
				    GUINT_TO_POINTER((guint)sum));
	}
}

static void max_age_extend(void *data, const struct gossip_heartbeat *last,
			   uint64_t received_ms)
{
	struct load_sums *load_sums = data;

	load_sums->max_age_ms += MGR_LOAD_MAX_AGE_PER_PEER_MS;
}

static void heartbeat_add(void *data, const struct gossip_heartbeat *last,
			  uint64_t received_ms)
{
	struct load_sums *load_sums = data;

	if (received_ms != 0 &&
	    load_sums->now_ms - received_ms <= load_sums->max_age_ms)
		loads_add(load_sums, last->loads, last->load_count);
}

/*
 * Scales a time for the demand policy, whose durations are fixed and belong to
 * a demand window of DEMAND_TIME_CONSTANT_MS, so that they apply to the
 * configured window.
 */
static uint64_t policy_ms(const struct mgr_manager *manager, uint64_t time_ms)
{
	return time_ms * DEMAND_TIME_CONSTANT_MS /
	       manager->config.demand_window_ms;
}

/*
 * Returns the number of VMs that a pool has or is about to get, including
 * failed VMs that are still to be replaced.
 */
static uint32_t pool_vm_count(const struct mgr_manager *manager, uint32_t pool)
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

/*
 * At the start of a term, a size above the target was chosen by demand in an
 * earlier term and is kept, unless the placement does not follow the current
 * roll yet.
 */
static struct mgr_pool *pool_create(struct mgr_manager *manager, uint32_t index)
{
	const struct bundle_pool *spec = &manager->bundle->pools[index];
	struct mgr_pool *pool = g_new0(struct mgr_pool, 1);

	pool->target = spec->target_vms;
	pool->wanted = spec->target_vms;
	if (manager->view->roll == manager->roll)
		pool->wanted =
			MAX(spec->target_vms, pool_vm_count(manager, index));
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
	struct load_sums load_sums = { slots, loop_now_ms(),
				       MGR_LOAD_MAX_AGE_MS };
	struct demand_load own[GOSSIP_LOADS_MAX];

	loads_add(&load_sums, own,
		  config->pool_loads(config->data, own, GOSSIP_LOADS_MAX));
	gossip_node_foreach_peer(config->peers, max_age_extend, &load_sums);
	gossip_node_foreach_peer(config->peers, heartbeat_add, &load_sums);
	for (uint32_t i = 0; i < manager->bundle->pool_count; i++) {
		struct mgr_pool *pool = pool_get(manager, i);
		uint32_t key = demand_pool_key(manager->bundle->pools[i].name);

		pool->demand_slots = GPOINTER_TO_UINT(
			g_hash_table_lookup(slots, GUINT_TO_POINTER(key)));
		demand_sample_add(&pool->demand, pool->demand_slots,
				  policy_ms(manager, load_sums.now_ms));
	}
}

/*
 * Returns the time, scaled by policy_ms(), at which the VM was first seen in
 * its pool in this term. Records the present time if the pool has changed.
 */
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
		vm->in_pool_since_ms = loop_now_ms();
	}
	return policy_ms(manager, vm->in_pool_since_ms);
}

/*
 * Updates a pool's wanted size from the demand plan. The plan's targets count
 * only ready VMs, and failed VMs are still to be replaced, so only planned
 * moves change the wanted size. If demand fell before a VM was found for the
 * pool, the part above the bundle's target is taken back.
 */
static void pool_size_apply(const struct rebalance_pool *planned,
			    const char *name, struct mgr_pool *pool)
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
		 "pool %s: %u VMs wanted: %s; %u held, demand %" PRIu64
		 " thousandths of a slot, dead band %u to %u, minimum %u",
		 name, wanted, pool->size.reason, planned->size,
		 planned->demand_milli, planned->low, planned->high,
		 planned->minimum);
}

/* Sizing by demand requires a full window of samples in this term. */
static bool pool_demand_is_complete(const struct mgr_pool *pool)
{
	return pool->demand.observed_ms >= DEMAND_TIME_CONSTANT_MS;
}

static void demand_plan_apply(struct mgr_manager *manager,
			      const struct rebalance_input *input)
{
	struct rebalance_plan *plan = rebalance_plan_create(input);

	for (uint32_t i = 0; i < input->bundle->pool_count; i++) {
		const struct bundle_pool *spec = &input->bundle->pools[i];
		struct mgr_pool *pool = pool_get(manager, i);

		if (!spec->spare && pool_demand_is_complete(pool))
			pool_size_apply(&plan->pools[i], spec->name, pool);
	}
	rebalance_plan_destroy(plan);
}

/*
 * Returns whether a plan by demand is due; if so, the interval until the next
 * plan begins.
 */
static bool plan_is_due(struct mgr_manager *manager)
{
	uint64_t interval_ms =
		manager->config.demand_window_ms / MGR_DEMAND_PLANS_PER_WINDOW;

	if (manager->demand_planned_ms != 0 &&
	    loop_now_ms() - manager->demand_planned_ms < interval_ms)
		return false;
	for (uint32_t i = 0; i < manager->bundle->pool_count; i++) {
		if (!pool_demand_is_complete(pool_get(manager, i)))
			continue;
		manager->demand_planned_ms = loop_now_ms();
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
	demand_plan_apply(manager, &input);
}

/*
 * Returns whether a VM must stay in its pool: if demand determined the pool's
 * size, VMs have a minimum stay.
 */
static bool vm_must_stay(struct mgr_manager *manager, uint32_t index,
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
		vms[i].within_min_stay = vm_must_stay(manager, i, since_ms[i]);
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

/* Renders nothing on other processes: only the manager sums up the demand. */
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

		counter_render_gauge(out, slots, pool->demand_slots);
		counter_render_gauge(out, average, pool->demand.average_milli);
		counter_render_gauge(out, wanted, pool->wanted);
	}
}
