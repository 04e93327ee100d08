/**
 * @file bench_slots.c
 * @brief Compares schemes for sharing the slots of a pool between gateways.
 *
 * Runs a bursty trace in virtual time with the decision code of packages/core.
 * Exits with 1 unless the production scheme answers at least a share (--bound)
 * of the burst requests that the limit, one central queue without delays,
 * answers on time.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "admission.h"
#include "balancer.h"
#include "slots_trace.h"
#include "slot.h"

#define POOL 1
#define DEADLINE_MS 2000
#define GOSSIP_MS 100
/* A message between two processes takes 1 or 2 ms. */
#define DELAY_MAX_MS 2
#define NETWORK_MS 4

enum scheme {
	SCHEME_UNSHARED,    /* each gateway uses all slots */
	SCHEME_STATIC,	    /* each gateway has a fixed share of the slots */
	SCHEME_TWO_CHOICES, /* less loaded of two random VMs, by gossip */
	SCHEME_OWNER,	    /* one gateway owns the slots and grants them */
	SCHEME_BATCHES,	    /* like SCHEME_OWNER, keeps idle slots */
	SCHEME_LIMIT,	    /* one central queue without delays */
	SCHEME_COUNT
};

#define SCHEME_CHOSEN SCHEME_BATCHES

static const char *const scheme_names[SCHEME_COUNT] = {
	"unshared", "static-share",  "two-choices",
	"owner",    "owner-batches", "limit"
};

/* A request in the simulation of one scheme. */
struct work {
	struct admission_item item;
	const struct request *request;
	uint32_t gateway;
	uint32_t vm;
	uint32_t start_ms;
};

/* A report or a grant in flight. */
struct message {
	uint32_t to;
	bool is_grant;
	struct slot_report report;
	struct slot_grant grant;
};

struct gateway {
	uint64_t key;
	struct admission_queue *queue;
	struct balancer *servers;
	struct slot_holder *holder;
	struct slot_owner *owner;
	/* requests in flight of all other gateways, by VM, as last gossiped */
	uint32_t gossiped[VMS];
};

struct worker {
	uint32_t running;
	GQueue waiting;
};

struct result {
	uint32_t requests;
	uint32_t burst_requests;
	uint32_t on_time;
	uint32_t burst_on_time;
	/* requests sent to a VM whose slots were all in use */
	uint32_t over_committed;
	uint32_t most_at_once;
	uint64_t messages;
	/* time to get a slot, for requests long after a burst */
	double calm_wait_ms;
	uint32_t calm_wait_p99_ms;
};

struct sim {
	enum scheme scheme;
	GRand *rand;
	const GArray *trace;
	uint32_t now_ms;
	uint32_t next_arrival;
	uint32_t gateway_count;
	struct gateway gateways[GATEWAYS];
	struct worker workers[VMS];
	GPtrArray *network[NETWORK_MS];
	/* struct work that ends in each millisecond */
	GPtrArray **ends;
	uint32_t ends_len;
	GArray *calm_waits;
	struct result result;
};

static uint32_t gateway_index(const struct sim *sim, uint64_t key)
{
	for (uint32_t i = 0; i < sim->gateway_count; i++) {
		if (sim->gateways[i].key == key)
			return i;
	}
	return 0;
}

static bool uses_owner(const struct sim *sim)
{
	return sim->scheme == SCHEME_OWNER || sim->scheme == SCHEME_BATCHES;
}

static void sharing_init(struct sim *sim, struct gateway *gw,
			 const uint64_t *keys)
{
	struct slot_vm vms[VMS];

	for (uint32_t i = 0; i < VMS; i++) {
		vms[i] = (struct slot_vm){ .key = 500 + i,
					   .slots = SLOTS,
					   .ready = true };
		if (sim->scheme == SCHEME_STATIC)
			gw->servers->servers[i].allowed_slots =
				slot_static_share(&vms[i], keys, GATEWAYS,
						  gw->key);
	}
	if (!uses_owner(sim))
		return;
	gw->holder = slot_holder_create(
		POOL, gw->key, 1,
		sim->scheme == SCHEME_BATCHES ? SLOT_SPARE_MAX : 0);
	slot_holder_set_vms(gw->holder, vms, VMS);
	slot_holder_set_members(gw->holder, keys, GATEWAYS, false, 0);
	if (slot_holder_owner(gw->holder) != gw->key)
		return;
	gw->owner = slot_owner_create(POOL, 0);
	slot_owner_set_vms(gw->owner, vms, VMS);
	slot_owner_set_members(gw->owner, keys, GATEWAYS);
}

static void gateway_init(struct sim *sim, uint32_t index, const uint64_t *keys)
{
	const struct admission_limits limits = { .max_requests = 100000,
						 .max_bytes = 1,
						 .max_wait_ms = DEADLINE_MS };
	struct gateway *gw = &sim->gateways[index];

	gw->key = keys[index];
	gw->queue = admission_queue_create(&limits);
	gw->servers = balancer_create(VMS);
	for (uint32_t i = 0; i < VMS; i++)
		gw->servers->servers[i] =
			(struct balancer_server){ .pool = POOL,
						  .serving = true,
						  .slots = SLOTS,
						  .allowed_slots = SLOTS };
	sharing_init(sim, gw, keys);
}

static void sim_init(struct sim *sim, enum scheme scheme, const GArray *trace,
		     uint32_t seed)
{
	uint64_t keys[GATEWAYS];

	*sim = (struct sim){ .scheme = scheme,
			     .rand = g_rand_new_with_seed(seed),
			     .trace = trace,
			     .gateway_count =
				     scheme == SCHEME_LIMIT ? 1 : GATEWAYS,
			     .ends_len = TRACE_MS * 2 };
	sim->ends = g_new0(GPtrArray *, sim->ends_len);
	sim->calm_waits = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (uint32_t i = 0; i < NETWORK_MS; i++)
		sim->network[i] = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < GATEWAYS; i++)
		keys[i] = 1000 + i;
	for (uint32_t i = 0; i < sim->gateway_count; i++)
		gateway_init(sim, i, keys);
}

static void sim_clear(struct sim *sim)
{
	for (uint32_t i = 0; i < sim->gateway_count; i++) {
		struct gateway *gw = &sim->gateways[i];

		admission_queue_destroy(gw->queue);
		balancer_destroy(gw->servers);
		slot_holder_destroy(gw->holder);
		slot_owner_destroy(gw->owner);
	}
	for (uint32_t i = 0; i < NETWORK_MS; i++)
		g_ptr_array_unref(sim->network[i]);
	for (uint32_t i = 0; i < sim->ends_len; i++) {
		if (sim->ends[i])
			g_ptr_array_unref(sim->ends[i]);
	}
	g_free(sim->ends);
	g_array_unref(sim->calm_waits);
	g_rand_free(sim->rand);
}

static void message_post(struct sim *sim, const struct message *msg)
{
	uint32_t delay_ms =
		(uint32_t)g_rand_int_range(sim->rand, 1, DELAY_MAX_MS + 1);

	sim->result.messages++;
	g_ptr_array_add(sim->network[(sim->now_ms + delay_ms) % NETWORK_MS],
			g_memdup2(msg, sizeof(*msg)));
}

static void work_run(struct sim *sim, struct work *work)
{
	uint32_t end_ms =
		MIN(sim->now_ms + work->request->run_ms, sim->ends_len - 1);

	sim->workers[work->vm].running++;
	if (!sim->ends[end_ms])
		sim->ends[end_ms] = g_ptr_array_new();
	g_ptr_array_add(sim->ends[end_ms], work);
}

static void work_dispatch(struct sim *sim, struct work *work, uint32_t vm)
{
	struct worker *worker = &sim->workers[vm];
	uint32_t wait_ms = sim->now_ms - work->request->arrival_ms;

	work->vm = vm;
	work->start_ms = sim->now_ms;
	sim->gateways[work->gateway].servers->servers[vm].in_flight++;
	if (work->request->calm)
		g_array_append_val(sim->calm_waits, wait_ms);
	if (worker->running < SLOTS) {
		work_run(sim, work);
	} else {
		sim->result.over_committed++;
		g_queue_push_tail(&worker->waiting, work);
	}
	sim->result.most_at_once =
		MAX(sim->result.most_at_once,
		    worker->running + worker->waiting.length);
}

static void work_end(struct sim *sim, struct work *work)
{
	struct gateway *gw = &sim->gateways[work->gateway];
	struct worker *worker = &sim->workers[work->vm];
	struct work *next;

	worker->running--;
	next = g_queue_pop_head(&worker->waiting);
	if (next)
		work_run(sim, next);
	gw->servers->servers[work->vm].in_flight--;
	admission_queue_record_service(gw->queue, sim->now_ms - work->start_ms);
	if (sim->now_ms <= work->item.deadline_ms) {
		sim->result.on_time++;
		sim->result.burst_on_time += work->request->burst;
	}
	g_free(work);
}

/* Returns the less loaded of two random VMs, or BUNDLE_INDEX_NONE. */
static uint32_t two_choices(struct sim *sim, const struct gateway *gw)
{
	uint32_t best = BUNDLE_INDEX_NONE;
	uint32_t best_load = SLOTS;

	for (uint32_t i = 0; i < 2; i++) {
		uint32_t vm = (uint32_t)g_rand_int_range(sim->rand, 0, VMS);
		uint32_t load =
			gw->servers->servers[vm].in_flight + gw->gossiped[vm];

		if (load >= best_load)
			continue;
		best = vm;
		best_load = load;
	}
	return best;
}

static void allowed_slots_update(struct sim *sim, struct gateway *gw)
{
	uint32_t allowed[VMS];
	uint32_t count;
	struct slot_vm *vms = slot_holder_vms(gw->holder, &count);

	for (uint32_t i = 0; i < VMS; i++)
		vms[i].in_use = gw->servers->servers[i].in_flight;
	slot_holder_allowed_slots(gw->holder, sim->now_ms, allowed);
	for (uint32_t i = 0; i < VMS; i++)
		gw->servers->servers[i].allowed_slots = allowed[i];
}

static uint32_t vm_choose(struct sim *sim, struct gateway *gw)
{
	if (sim->scheme == SCHEME_TWO_CHOICES)
		return two_choices(sim, gw);
	if (gw->holder)
		allowed_slots_update(sim, gw);
	return balancer_choose(gw->servers, POOL, BUNDLE_INDEX_NONE,
			       sim->now_ms);
}

static void queue_dispatch(struct sim *sim, struct gateway *gw)
{
	while (admission_queue_length(gw->queue) > 0) {
		uint32_t vm = vm_choose(sim, gw);
		struct work *work;

		if (vm == BUNDLE_INDEX_NONE)
			return;
		work = (struct work *)admission_queue_pop(gw->queue);
		if (work->item.deadline_ms <= sim->now_ms)
			g_free(work);
		else
			work_dispatch(sim, work, vm);
	}
}

/* Sends the owner's grants; returns whether it granted itself slots. */
static bool grants_send(struct sim *sim, struct gateway *gw)
{
	struct message msg = { .is_grant = true };
	bool granted = false;

	slot_owner_tick(gw->owner, sim->now_ms);
	while (slot_owner_next_grant(gw->owner, &msg.grant)) {
		msg.to = gateway_index(sim, msg.grant.holder);
		if (msg.grant.holder == gw->key)
			granted |= slot_holder_apply_grant(
				gw->holder, &msg.grant, sim->now_ms);
		else
			message_post(sim, &msg);
	}
	return granted;
}

static bool sharing_poll(struct sim *sim, struct gateway *gw)
{
	struct message msg = { 0 };

	if (!gw->holder)
		return false;
	allowed_slots_update(sim, gw);
	if (slot_holder_poll(gw->holder, admission_queue_length(gw->queue),
			     sim->now_ms, &msg.report)) {
		msg.to = gateway_index(sim, slot_holder_owner(gw->holder));
		if (gw->owner)
			slot_owner_record_report(gw->owner, &msg.report,
						 sim->now_ms);
		else
			message_post(sim, &msg);
	}
	return gw->owner && grants_send(sim, gw);
}

static void gateway_dispatch(struct sim *sim, struct gateway *gw)
{
	do
		queue_dispatch(sim, gw);
	while (sharing_poll(sim, gw));
}

/* Number of slots that the admission control of a gateway assumes. */
static uint32_t slots_expected(struct sim *sim, struct gateway *gw)
{
	switch (sim->scheme) {
	case SCHEME_OWNER:
	case SCHEME_BATCHES:
		return slot_holder_expected_slots(gw->holder, sim->now_ms);
	case SCHEME_STATIC:
	case SCHEME_TWO_CHOICES:
		return VMS * SLOTS / GATEWAYS;
	default:
		return VMS * SLOTS;
	}
}

static void request_arrive(struct sim *sim, const struct request *request)
{
	struct work *work = g_new0(struct work, 1);
	struct gateway *gw;

	work->request = request;
	work->gateway = request->gateway % sim->gateway_count;
	work->item.deadline_ms = request->arrival_ms + DEADLINE_MS;
	gw = &sim->gateways[work->gateway];
	sim->result.requests++;
	sim->result.burst_requests += request->burst;
	if (admission_queue_push(gw->queue, &work->item,
				 slots_expected(sim, gw),
				 sim->now_ms) != OUTCOME_ANSWERED)
		g_free(work);
	else
		gateway_dispatch(sim, gw);
}

static void gossip_exchange(struct sim *sim)
{
	if (sim->scheme != SCHEME_TWO_CHOICES || sim->now_ms % GOSSIP_MS != 0)
		return;
	sim->result.messages += GATEWAYS * (GATEWAYS - 1);
	for (uint32_t to = 0; to < GATEWAYS; to++) {
		for (uint32_t vm = 0; vm < VMS; vm++) {
			uint32_t sum = 0;

			for (uint32_t from = 0; from < GATEWAYS; from++)
				sum += from == to
					       ? 0
					       : sim->gateways[from]
							 .servers->servers[vm]
							 .in_flight;
			sim->gateways[to].gossiped[vm] = sum;
		}
	}
}

static void messages_deliver(struct sim *sim)
{
	GPtrArray *due = sim->network[sim->now_ms % NETWORK_MS];

	for (guint i = 0; i < due->len; i++) {
		const struct message *msg = g_ptr_array_index(due, i);
		struct gateway *gw = &sim->gateways[msg->to];

		if (msg->is_grant)
			slot_holder_apply_grant(gw->holder, &msg->grant,
						sim->now_ms);
		else
			slot_owner_record_report(gw->owner, &msg->report,
						 sim->now_ms);
	}
	g_ptr_array_set_size(due, 0);
}

static void sim_step(struct sim *sim)
{
	GPtrArray *ends = sim->ends[sim->now_ms];

	messages_deliver(sim);
	for (guint i = 0; ends && i < ends->len; i++)
		work_end(sim, g_ptr_array_index(ends, i));
	gossip_exchange(sim);
	while (sim->next_arrival < sim->trace->len) {
		const struct request *request = &g_array_index(
			sim->trace, struct request, sim->next_arrival);

		if (request->arrival_ms > sim->now_ms)
			break;
		sim->next_arrival++;
		request_arrive(sim, request);
	}
	for (uint32_t i = 0; i < sim->gateway_count; i++)
		gateway_dispatch(sim, &sim->gateways[i]);
}

static gint compare_waits(gconstpointer a, gconstpointer b)
{
	const uint32_t *left = a;
	const uint32_t *right = b;

	return (*left > *right) - (*left < *right);
}

static void calm_waits_summarise(struct sim *sim)
{
	GArray *waits = sim->calm_waits;
	double sum = 0;

	if (waits->len == 0)
		return;
	g_array_sort(waits, compare_waits);
	for (guint i = 0; i < waits->len; i++)
		sum += g_array_index(waits, uint32_t, i);
	sim->result.calm_wait_ms = sum / waits->len;
	sim->result.calm_wait_p99_ms =
		g_array_index(waits, uint32_t, waits->len * 99 / 100);
}

static struct result scheme_run(enum scheme scheme, const GArray *trace,
				uint32_t seed)
{
	struct sim sim;
	struct result result;

	sim_init(&sim, scheme, trace, seed);
	for (; sim.now_ms < sim.ends_len; sim.now_ms++)
		sim_step(&sim);
	calm_waits_summarise(&sim);
	result = sim.result;
	sim_clear(&sim);
	return result;
}

static double share(uint32_t part, uint32_t whole)
{
	return whole == 0 ? 0 : (double)part / whole;
}

static void table_print(const struct result *results)
{
	printf("%-14s | %8s | %8s | %9s | %7s | %8s | %9s | %8s\n", "way",
	       "on time", "in burst", "of limit", "over 8", "at once",
	       "messages", "calm wait");
	for (int scheme = 0; scheme < SCHEME_COUNT; scheme++) {
		const struct result *result = &results[scheme];

		printf("%-14s | %7.2f%% | %7.2f%% | %8.2f%% | %7u | %8u | "
		       "%9.3f | %5.2f/%u ms\n",
		       scheme_names[scheme],
		       100 * share(result->on_time, result->requests),
		       100 * share(result->burst_on_time,
				   result->burst_requests),
		       100 * share(result->burst_on_time,
				   results[SCHEME_LIMIT].burst_on_time),
		       result->over_committed, result->most_at_once,
		       (double)result->messages / result->requests,
		       result->calm_wait_ms, result->calm_wait_p99_ms);
	}
}

static void json_print(FILE *out, const struct result *results, uint32_t seed)
{
	fprintf(out, "{\"seed\":%u,\"ways\":{", seed);
	for (int scheme = 0; scheme < SCHEME_COUNT; scheme++) {
		const struct result *result = &results[scheme];

		fprintf(out,
			"%s\"%s\":{\"on_time\":%.4f,\"burst_on_time\":%.4f,"
			"\"over_committed\":%u,\"most_at_once\":%u,"
			"\"messages_per_request\":%.3f,"
			"\"calm_wait_mean_ms\":%.3f,"
			"\"calm_wait_p99_ms\":%u}",
			scheme == 0 ? "" : ",", scheme_names[scheme],
			share(result->on_time, result->requests),
			share(result->burst_on_time, result->burst_requests),
			result->over_committed, result->most_at_once,
			(double)result->messages / result->requests,
			result->calm_wait_ms, result->calm_wait_p99_ms);
	}
	fputs("}}\n", out);
}

static bool json_write(const char *path, const struct result *results,
		       uint32_t seed)
{
	FILE *out = fopen(path, "we");

	if (!out)
		return false;
	json_print(out, results, seed);
	return fclose(out) == 0;
}

int main(int argc, char **argv)
{
	gint seed = 1;
	gdouble bound = 0.95;
	g_autofree char *json = NULL;
	const GOptionEntry options[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of the trace",
		  "N" },
		{ "bound", 0, 0, G_OPTION_ARG_DOUBLE, &bound,
		  "least share of the limit's on-time requests", "SHARE" },
		{ "json", 0, 0, G_OPTION_ARG_FILENAME, &json,
		  "file for the results", "FILE" },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(NULL);
	struct result results[SCHEME_COUNT];
	GArray *trace;
	bool ok;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	trace = slots_trace_create((uint32_t)seed);
	for (int scheme = 0; scheme < SCHEME_COUNT; scheme++)
		results[scheme] =
			scheme_run((enum scheme)scheme, trace, (uint32_t)seed);
	g_array_unref(trace);
	table_print(results);
	if (json && !json_write(json, results, (uint32_t)seed))
		return 2;
	ok = results[SCHEME_CHOSEN].burst_on_time >=
	     bound * results[SCHEME_LIMIT].burst_on_time;
	printf("%s: %s answers at least %.0f%% of the limit in bursts\n",
	       ok ? "PASS" : "FAIL", scheme_names[SCHEME_CHOSEN], 100 * bound);
	return ok ? 0 : 1;
}
