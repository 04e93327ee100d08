#include "sim_trace.h"

#include <math.h>
#include <string.h>

#define TRACE_MS 240000u
/* Each pool has a burst followed by a trough; pools take turns. */
#define BURST_MS 6000u
#define TROUGH_MS 25000u
#define BURST_INTERVAL_MS 12000u
#define BURST_RATIO 5.0
#define TROUGH_RATIO 0.05
/* Run times are log-normal around the declared median, with this sigma. */
#define RUN_SIGMA 1.0
/* Periods in which all run times of one pool are scaled by a factor. */
#define SHIFT_INTERVAL_MS 60000u
#define SHIFT_MS 20000u
#define SHIFT_RATIO 3.0
#define INFEASIBLE_SHARE 0.01
/* With faults: a period in which most requests to one pool always fail. */
#define INFEASIBLE_WAVE_BEGIN_MS 60000u
#define INFEASIBLE_WAVE_END_MS 90000u
#define INFEASIBLE_WAVE_SHARE 0.6
#define INFEASIBLE_WAVE_POOL 1u
#define IDEMPOTENT_SHARE 0.5
#define CANCEL_WAVE_INTERVAL_MS 30000u
#define CANCEL_WAVE_SPAN_MS 3000u
#define CANCEL_WAVE_SHARE 0.5
#define SLOTS 8u
#define RACK_VMS 4u

const struct sim_deployment sim_officials = {
	.name = "officials",
	.weights = { .buffer = 1, .moves = 5, .roll_out = 4 },
	.vms = { 12, 10, 10, 10, 8 },
	.floors = { 6, 5, 5, 5, 3 },
	.run_ms = { 400, 250, 300, 150, 200 },
	.deadline_ms = { 10000, 5000, 8000, 3000, 5000 },
	.utilisation = 0.45,
};

const struct sim_deployment sim_tsurugi = {
	.name = "tsurugi",
	.weights = { .buffer = 5, .moves = 2, .roll_out = 1 },
	.vms = { 12, 11, 10, 9, 8 },
	.floors = { 6, 5, 5, 4, 3 },
	.run_ms = { 200, 300, 150, 400, 250 },
	.deadline_ms = { 4000, 6000, 2000, 10000, 5000 },
	.utilisation = 0.55,
};

uint32_t sim_initial_pool(const struct sim_deployment *deployment, uint32_t vm)
{
	uint32_t pool = 0;

	while (vm >= deployment->vms[pool]) {
		vm -= deployment->vms[pool];
		pool++;
	}
	return pool;
}

static void pool_generate(const struct sim_deployment *deployment,
			  struct bundle_pool *pool, uint32_t index,
			  uint32_t vms)
{
	pool->name = g_strdup_printf("pool%u", index);
	pool->spare = index == SIM_POOLS - 1;
	pool->vm_count = vms;
	pool->vms = g_new0(uint32_t, vms);
	for (uint32_t i = 0; i < vms; i++)
		pool->vms[i] = i;
	pool->target_vms = deployment->vms[index];
	pool->floor_vms = deployment->floors[index];
	pool->survive = BUNDLE_SURVIVE_ZONE;
	pool->queue_max_requests = 4096;
	pool->queue_max_bytes = 64u * 1024u * 1024u;
	pool->queue_max_wait_ms = deployment->deadline_ms[index];
}

struct bundle *sim_bundle_create(const struct sim_deployment *deployment)
{
	struct bundle *bundle = bundle_create_empty();
	struct bundle_wave *wave = g_new0(struct bundle_wave, 1);

	for (uint32_t i = 0; i < SIM_POOLS; i++)
		bundle->vm_count += deployment->vms[i];
	bundle->vms = g_new0(struct bundle_vm, bundle->vm_count);
	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		uint32_t zone = i % SIM_ZONES;

		bundle->vms[i].name = g_strdup_printf("vm%u", i);
		bundle->vms[i].availability_zone = g_strdup_printf("z%u", zone);
		bundle->vms[i].rack = g_strdup_printf("z%ur%u", zone,
						      i / SIM_ZONES / RACK_VMS);
		bundle->vms[i].slots = SLOTS;
	}
	bundle->pool_count = SIM_POOLS;
	bundle->pools = g_new0(struct bundle_pool, SIM_POOLS);
	wave->pools = g_new0(uint32_t, SIM_POOLS);
	wave->pool_count = SIM_POOLS;
	for (uint32_t i = 0; i < SIM_POOLS; i++) {
		pool_generate(deployment, &bundle->pools[i], i,
			      bundle->vm_count);
		wave->pools[i] = i;
	}
	bundle->waves = wave;
	bundle->wave_count = 1;
	bundle->weights = deployment->weights;
	return bundle;
}

static double normal_draw(GRand *rand)
{
	double a = 1.0 - g_rand_double(rand);
	double b = g_rand_double(rand);

	return sqrt(-2.0 * log(a)) * cos(2.0 * G_PI * b);
}

/* Returns the load of a pool at a time, relative to its base load. */
static double load_ratio(uint32_t pool, uint64_t t_ms, bool *in_burst)
{
	uint64_t cycle_ms = BURST_INTERVAL_MS * SIM_POOLS;
	uint64_t offset_ms =
		(t_ms + cycle_ms - pool * BURST_INTERVAL_MS) % cycle_ms;

	*in_burst = offset_ms < BURST_MS;
	if (*in_burst)
		return BURST_RATIO;
	return offset_ms < BURST_MS + TROUGH_MS ? TROUGH_RATIO : 1.0;
}

/* Run times of one pool after another are scaled up and down in turn. */
static double run_time_ratio(uint32_t pool, uint64_t t_ms)
{
	uint64_t turn = t_ms / SHIFT_INTERVAL_MS;

	if (t_ms % SHIFT_INTERVAL_MS >= SHIFT_MS || turn % SIM_POOLS != pool)
		return 1.0;
	return turn % 2 == 0 ? SHIFT_RATIO : 1.0 / SHIFT_RATIO;
}

static uint64_t cancel_time_draw(GRand *rand, uint64_t t_ms)
{
	uint64_t to_wave_ms =
		CANCEL_WAVE_INTERVAL_MS - t_ms % CANCEL_WAVE_INTERVAL_MS;

	if (to_wave_ms > CANCEL_WAVE_SPAN_MS ||
	    g_rand_double(rand) >= CANCEL_WAVE_SHARE)
		return SIM_NEVER;
	return t_ms + to_wave_ms;
}

static double infeasible_share(const struct sim_trace *trace, uint32_t pool,
			       uint64_t t_ms)
{
	if (trace->with_faults && pool == INFEASIBLE_WAVE_POOL &&
	    t_ms >= INFEASIBLE_WAVE_BEGIN_MS && t_ms < INFEASIBLE_WAVE_END_MS)
		return INFEASIBLE_WAVE_SHARE;
	return INFEASIBLE_SHARE;
}

static void request_add(const struct sim_trace *trace, GArray *requests,
			GRand *rand, uint32_t pool, uint64_t t_ms,
			bool in_burst)
{
	const struct sim_deployment *deployment = trace->deployment;
	double run_ms = deployment->run_ms[pool] * run_time_ratio(pool, t_ms) *
			exp(RUN_SIGMA * normal_draw(rand));
	double deadline_ms =
		deployment->deadline_ms[pool] * (0.5 + g_rand_double(rand) / 2);
	struct sim_request request = {
		.at_ms = t_ms,
		.deadline_ms = t_ms + (uint64_t)deadline_ms,
		.cancel_ms = cancel_time_draw(rand, t_ms),
		.run_ms = MAX((uint64_t)run_ms, 1),
		.pool = pool,
		.gateway = (uint32_t)g_rand_int_range(rand, 0, SIM_GATEWAYS),
		.idempotent = g_rand_double(rand) < IDEMPOTENT_SHARE,
		.infeasible = g_rand_double(rand) <
			      infeasible_share(trace, pool, t_ms),
		.in_burst = in_burst,
	};

	g_array_append_val(requests, request);
}

static double mean_rate_per_ms(const struct sim_deployment *deployment,
			       uint32_t pool)
{
	double mean_run_ms =
		deployment->run_ms[pool] * exp(RUN_SIGMA * RUN_SIGMA / 2);

	return deployment->vms[pool] * SLOTS * deployment->utilisation /
	       mean_run_ms;
}

static void requests_generate(struct sim_trace *trace, GRand *rand)
{
	GArray *requests =
		g_array_new(FALSE, FALSE, sizeof(struct sim_request));

	for (uint64_t t_ms = 0; t_ms < TRACE_MS; t_ms++) {
		for (uint32_t pool = 0; pool < SIM_POOLS; pool++) {
			bool in_burst;
			double expected =
				load_ratio(pool, t_ms, &in_burst) *
				mean_rate_per_ms(trace->deployment, pool);

			/*
			 * Approximates Poisson arrivals by at most two per ms.
			 */
			if (g_rand_double(rand) < expected / 2)
				request_add(trace, requests, rand, pool, t_ms,
					    in_burst);
			if (g_rand_double(rand) < expected / 2)
				request_add(trace, requests, rand, pool, t_ms,
					    in_burst);
		}
	}
	trace->request_count = requests->len;
	trace->requests = (struct sim_request *)g_array_free(requests, FALSE);
}

static void fault_add(GArray *faults, enum sim_fault_kind kind, uint32_t vm,
		      uint64_t begin_ms, uint64_t end_ms)
{
	struct sim_fault fault = { kind, vm, begin_ms, end_ms };

	g_array_append_val(faults, fault);
}

static void faults_generate(struct sim_trace *trace)
{
	GArray *faults = g_array_new(FALSE, FALSE, sizeof(struct sim_fault));
	const struct bundle *bundle = trace->bundle;

	/* Some VMs fail all requests for 30 s each, one after another. */
	for (uint32_t vm = 0; vm < bundle->vm_count; vm += 10)
		fault_add(faults, SIM_FAULT_FAILS_ALL, vm, 10000 + vm * 1000,
			  40000 + vm * 1000);
	/* Rolling maintenance drains one VM after another. */
	for (uint32_t vm = 0; vm < bundle->vm_count; vm++)
		fault_add(faults, SIM_FAULT_DRAINING, vm, 4000u * vm,
			  4000u * vm + 8000u);
	for (uint32_t vm = 0; vm < bundle->vm_count; vm++) {
		if (strcmp(bundle->vms[vm].rack, "z1r1") == 0)
			fault_add(faults, SIM_FAULT_CRASHED, vm, 90000, 120000);
		if (strcmp(bundle->vms[vm].availability_zone, "z2") == 0)
			fault_add(faults, SIM_FAULT_CRASHED, vm, 150000,
				  180000);
	}
	trace->fault_count = faults->len;
	trace->faults = (struct sim_fault *)g_array_free(faults, FALSE);
}

struct sim_trace *sim_trace_create(const struct sim_deployment *deployment,
				   bool with_faults, uint32_t seed)
{
	struct sim_trace *trace = g_new0(struct sim_trace, 1);
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);

	trace->deployment = deployment;
	trace->with_faults = with_faults;
	trace->name = with_faults ? "faults" : "bursts";
	trace->seed = seed;
	trace->bundle = sim_bundle_create(deployment);
	trace->end_ms = TRACE_MS;
	requests_generate(trace, rand);
	if (with_faults)
		faults_generate(trace);
	return trace;
}

void sim_trace_destroy(struct sim_trace *trace)
{
	bundle_unref(trace->bundle);
	g_free(trace->requests);
	g_free(trace->faults);
	g_free(trace);
}

bool sim_request_counts(const struct sim_request *request)
{
	return !request->infeasible &&
	       request->cancel_ms >= request->deadline_ms;
}
