#include "sim_cost.h"

#include <stdlib.h>

#include "admission.h"
#include "rebalance.h"

#define ROUNDS 9u
#define QUEUE_OPERATIONS 200000u
#define QUEUE_SLOTS 1000000u
#define ZONES 8u
#define RACK_VMS 4u
#define SLOTS 8u

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double median(double *samples)
{
	qsort(samples, ROUNDS, sizeof(*samples), compare);
	return samples[ROUNDS / 2];
}

static void push(struct admission_queue *queue, struct admission_item *item,
		 uint64_t now_ms)
{
	enum outcome outcome;

	item->bytes = 1;
	item->deadline_ms = now_ms + 1000000;
	outcome = admission_queue_push(queue, item, QUEUE_SLOTS, now_ms);
	g_assert(outcome == OUTCOME_ANSWERED);
}

static double queue_round_ns(struct admission_queue *queue)
{
	gint64 start_us = g_get_monotonic_time();

	for (uint32_t i = 0; i < QUEUE_OPERATIONS; i++) {
		struct admission_item *item = admission_queue_pop(queue);

		admission_queue_record_service(queue, 100 + i % 64);
		push(queue, item, i);
	}
	return (double)(g_get_monotonic_time() - start_us) * 1000.0 /
	       QUEUE_OPERATIONS;
}

double sim_cost_queue_ns(uint32_t length)
{
	const struct admission_limits limits = {
		.max_requests = length + 1,
		.max_bytes = UINT64_MAX,
		.max_wait_ms = UINT32_MAX,
	};
	struct admission_queue *queue = admission_queue_create(&limits);
	struct admission_item *items = g_new0(struct admission_item, length);
	double samples[ROUNDS];

	for (uint32_t i = 0; i < length; i++)
		push(queue, &items[i], 0);
	for (uint32_t i = 0; i < ROUNDS; i++)
		samples[i] = queue_round_ns(queue);
	while (admission_queue_pop(queue))
		;
	admission_queue_destroy(queue);
	g_free(items);
	return median(samples);
}

static struct bundle *bundle_generate(uint32_t vms, uint32_t pools)
{
	struct bundle *bundle = bundle_create_empty();

	bundle->weights = (struct bundle_weights){ 1, 1, 1 };
	bundle->vm_count = vms;
	bundle->vms = g_new0(struct bundle_vm, vms);
	for (uint32_t i = 0; i < vms; i++) {
		struct bundle_vm *vm = &bundle->vms[i];

		vm->name = g_strdup_printf("vm%u", i);
		vm->availability_zone = g_strdup_printf("zone%u", i % ZONES);
		vm->rack = g_strdup_printf("zone%u-rack%u", i % ZONES,
					   i / ZONES / RACK_VMS);
		vm->slots = SLOTS;
	}
	bundle->pool_count = pools;
	bundle->pools = g_new0(struct bundle_pool, pools);
	for (uint32_t i = 0; i < pools; i++) {
		struct bundle_pool *pool = &bundle->pools[i];

		pool->name = g_strdup_printf("pool%u", i);
		pool->spare = i == pools - 1;
		pool->vm_count = vms;
		pool->vms = g_new0(uint32_t, vms);
		for (uint32_t k = 0; k < vms; k++)
			pool->vms[k] = k;
		pool->target_vms = vms / pools;
		pool->floor_vms = vms / pools / 2;
		pool->survive = BUNDLE_SURVIVE_ZONE;
	}
	return bundle;
}

/*
 * Half of the pools lack VMs and the others have surplus ones, so that the
 * plan contains many moves.
 */
static void demand_generate(struct demand_average *demand, uint32_t pools,
			    uint32_t pool_slots)
{
	for (uint32_t i = 0; i < pools; i++) {
		uint32_t share = i % 2 == 0 ? 130 : 40;

		demand_sample_add(&demand[i], pool_slots * share / 100, 1);
		demand_sample_add(&demand[i], pool_slots * share / 100,
				  DEMAND_TIME_CONSTANT_MS);
	}
}

double sim_cost_plan_ms(uint32_t vms, uint32_t pools)
{
	struct bundle *bundle = bundle_generate(vms, pools);
	struct placement *view = placement_create(bundle);
	g_autofree bool *ready = g_new0(bool, vms);
	g_autofree uint64_t *since_ms = g_new0(uint64_t, vms);
	g_autofree struct demand_average *demand =
		g_new0(struct demand_average, pools);
	const struct rebalance_input input = {
		.bundle = bundle,
		.placement = view,
		.available = ready,
		.since_ms = since_ms,
		.demand = demand,
		.now_ms = 100ull * DEMAND_TIME_CONSTANT_MS,
	};
	double samples[ROUNDS];

	for (uint32_t i = 0; i < vms; i++) {
		ready[i] = true;
		view->rows[i].pool = i % pools;
		view->rows[i].state = PLACEMENT_STATE_SERVING;
	}
	demand_generate(demand, pools, vms / pools * SLOTS);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		gint64 start_us = g_get_monotonic_time();
		struct rebalance_plan *plan = rebalance_plan_create(&input);

		samples[i] = (double)(g_get_monotonic_time() - start_us) / 1000;
		g_assert(plan->move_count > 0);
		rebalance_plan_destroy(plan);
	}
	placement_destroy(view);
	bundle_unref(bundle);
	return median(samples);
}
