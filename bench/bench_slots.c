/**
 * @file bench_slots.c
 * @brief Compares the ways to share the slots of a pool between processes.
 *
 * Feeds one bursty trace, in virtual time, to each way of sharing and to the
 * limit: one queue with instant knowledge. The decisions are those of
 * packages/core. Exits with 1 when the chosen way answers fewer requests of
 * the bursts in time than the bound, a share of what the limit answers.
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
/* One way between two processes takes 1 or 2 ms. */
#define DELAY_MAX_MS 2
#define WIRE_MS 4

enum way {
	WAY_UNSHARED,
	WAY_STATIC,
	WAY_TWO_CHOICES,
	WAY_OWNER,
	WAY_BATCHES,
	WAY_LIMIT,
	WAY_COUNT
};

#define WAY_CHOSEN WAY_BATCHES

static const char *const way_names[WAY_COUNT] = {
	"unshared", "static-share",  "two-choices",
	"owner",    "owner-batches", "limit"
};

/** A request in one run of the bench. */
struct work {
	struct admission_item item;
	const struct request *request;
	uint32_t entry;
	uint32_t vm;
	uint32_t began_ms;
};

/** A report or a grant on its way. */
struct message {
	uint32_t to;
	bool is_grant;
	struct slot_report report;
	struct slot_grant grant;
};

struct entry {
	uint64_t key;
	struct admission_queue *queue;
	struct balancer *servers;
	struct slot_holder *holder;
	struct slot_owner *owner;
	/* requests of all others on each VM, as last gossiped */
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
	/* requests that found all slots of their worker busy */
	uint32_t over_committed;
	uint32_t most_at_once;
	uint64_t messages;
	/* wait for a slot of requests long after a burst */
	double calm_wait_ms;
	uint32_t calm_wait_p99_ms;
};

struct bench {
	enum way way;
	GRand *rand;
	const GArray *trace;
	uint32_t now_ms;
	uint32_t next_arrival;
	uint32_t entry_count;
	struct entry entries[ENTRIES];
	struct worker workers[VMS];
	GPtrArray *wire[WIRE_MS];
	/* requests that end in each millisecond */
	GPtrArray **ends;
	uint32_t ends_len;
	GArray *calm_waits;
	struct result result;
};

static uint32_t entry_index(const struct bench *bench, uint64_t key)
{
	for (uint32_t i = 0; i < bench->entry_count; i++) {
		if (bench->entries[i].key == key)
			return i;
	}
	return 0;
}

static bool uses_owner(const struct bench *bench)
{
	return bench->way == WAY_OWNER || bench->way == WAY_BATCHES;
}

static void sharing_init(struct bench *bench, struct entry *entry,
			 const uint64_t *members)
{
	struct slot_vm vms[VMS];

	for (uint32_t i = 0; i < VMS; i++) {
		vms[i] = (struct slot_vm){ .key = 500 + i,
					   .slots = SLOTS,
					   .ready = true };
		if (bench->way == WAY_STATIC)
			entry->servers->servers[i].allowed_slots =
				slot_static_share(&vms[i], members, ENTRIES,
						  entry->key);
	}
	if (!uses_owner(bench))
		return;
	entry->holder = slot_holder_create(
		POOL, entry->key, 1,
		bench->way == WAY_BATCHES ? SLOT_SPARE_MAX : 0);
	slot_holder_set_vms(entry->holder, vms, VMS);
	slot_holder_set_members(entry->holder, members, ENTRIES, false, 0);
	if (slot_holder_owner(entry->holder) != entry->key)
		return;
	entry->owner = slot_owner_create(POOL, 0);
	slot_owner_set_vms(entry->owner, vms, VMS);
	slot_owner_set_members(entry->owner, members, ENTRIES);
}

static void entry_init(struct bench *bench, uint32_t index,
		       const uint64_t *members)
{
	const struct admission_limits limits = { .max_requests = 100000,
						 .max_bytes = 1,
						 .max_wait_ms = DEADLINE_MS };
	struct entry *entry = &bench->entries[index];

	entry->key = members[index];
	entry->queue = admission_queue_create(&limits);
	entry->servers = balancer_create(VMS);
	for (uint32_t i = 0; i < VMS; i++)
		entry->servers->servers[i] =
			(struct balancer_server){ .pool = POOL,
						  .serving = true,
						  .slots = SLOTS,
						  .allowed_slots = SLOTS };
	sharing_init(bench, entry, members);
}

static void bench_init(struct bench *bench, enum way way, const GArray *trace,
		       uint32_t seed)
{
	uint64_t members[ENTRIES];

	*bench = (struct bench){ .way = way,
				 .rand = g_rand_new_with_seed(seed),
				 .trace = trace,
				 .entry_count = way == WAY_LIMIT ? 1 : ENTRIES,
				 .ends_len = TRACE_MS * 2 };
	bench->ends = g_new0(GPtrArray *, bench->ends_len);
	bench->calm_waits = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (uint32_t i = 0; i < WIRE_MS; i++)
		bench->wire[i] = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < ENTRIES; i++)
		members[i] = 1000 + i;
	for (uint32_t i = 0; i < bench->entry_count; i++)
		entry_init(bench, i, members);
}

static void bench_clear(struct bench *bench)
{
	for (uint32_t i = 0; i < bench->entry_count; i++) {
		struct entry *entry = &bench->entries[i];

		admission_queue_destroy(entry->queue);
		balancer_destroy(entry->servers);
		slot_holder_destroy(entry->holder);
		slot_owner_destroy(entry->owner);
	}
	for (uint32_t i = 0; i < WIRE_MS; i++)
		g_ptr_array_unref(bench->wire[i]);
	for (uint32_t i = 0; i < bench->ends_len; i++) {
		if (bench->ends[i])
			g_ptr_array_unref(bench->ends[i]);
	}
	g_free(bench->ends);
	g_array_unref(bench->calm_waits);
	g_rand_free(bench->rand);
}

static void message_post(struct bench *bench, const struct message *message)
{
	uint32_t delay_ms =
		(uint32_t)g_rand_int_range(bench->rand, 1, DELAY_MAX_MS + 1);

	bench->result.messages++;
	g_ptr_array_add(bench->wire[(bench->now_ms + delay_ms) % WIRE_MS],
			g_memdup2(message, sizeof(*message)));
}

static void work_run(struct bench *bench, struct work *work)
{
	uint32_t end_ms =
		MIN(bench->now_ms + work->request->run_ms, bench->ends_len - 1);

	bench->workers[work->vm].running++;
	if (!bench->ends[end_ms])
		bench->ends[end_ms] = g_ptr_array_new();
	g_ptr_array_add(bench->ends[end_ms], work);
}

static void work_dispatch(struct bench *bench, struct work *work, uint32_t vm)
{
	struct worker *worker = &bench->workers[vm];
	uint32_t wait_ms = bench->now_ms - work->request->arrival_ms;

	work->vm = vm;
	work->began_ms = bench->now_ms;
	bench->entries[work->entry].servers->servers[vm].in_flight++;
	if (work->request->calm)
		g_array_append_val(bench->calm_waits, wait_ms);
	if (worker->running < SLOTS) {
		work_run(bench, work);
	} else {
		bench->result.over_committed++;
		g_queue_push_tail(&worker->waiting, work);
	}
	bench->result.most_at_once =
		MAX(bench->result.most_at_once,
		    worker->running + worker->waiting.length);
}

static void work_end(struct bench *bench, struct work *work)
{
	struct entry *entry = &bench->entries[work->entry];
	struct worker *worker = &bench->workers[work->vm];
	struct work *next;

	worker->running--;
	next = g_queue_pop_head(&worker->waiting);
	if (next)
		work_run(bench, next);
	entry->servers->servers[work->vm].in_flight--;
	admission_queue_record_service(entry->queue,
				       bench->now_ms - work->began_ms);
	if (bench->now_ms <= work->item.deadline_ms) {
		bench->result.on_time++;
		bench->result.burst_on_time += work->request->burst;
	}
	g_free(work);
}

/* The better of two random VMs, by own requests and gossiped ones. */
static uint32_t two_choices(struct bench *bench, const struct entry *entry)
{
	uint32_t best = BUNDLE_INDEX_NONE;
	uint32_t best_load = SLOTS;

	for (uint32_t i = 0; i < 2; i++) {
		uint32_t vm = (uint32_t)g_rand_int_range(bench->rand, 0, VMS);
		uint32_t load = entry->servers->servers[vm].in_flight +
				entry->gossiped[vm];

		if (load >= best_load)
			continue;
		best = vm;
		best_load = load;
	}
	return best;
}

static void allowed_update(struct bench *bench, struct entry *entry)
{
	uint32_t allowed[VMS];
	uint32_t count;
	struct slot_vm *vms = slot_holder_vms(entry->holder, &count);

	for (uint32_t i = 0; i < VMS; i++)
		vms[i].in_use = entry->servers->servers[i].in_flight;
	slot_holder_allowed_slots(entry->holder, bench->now_ms, allowed);
	for (uint32_t i = 0; i < VMS; i++)
		entry->servers->servers[i].allowed_slots = allowed[i];
}

static uint32_t vm_choose(struct bench *bench, struct entry *entry)
{
	if (bench->way == WAY_TWO_CHOICES)
		return two_choices(bench, entry);
	if (entry->holder)
		allowed_update(bench, entry);
	return balancer_choose(entry->servers, POOL, BUNDLE_INDEX_NONE,
			       bench->now_ms);
}

static void queue_dispatch(struct bench *bench, struct entry *entry)
{
	while (admission_queue_length(entry->queue) > 0) {
		uint32_t vm = vm_choose(bench, entry);
		struct work *work;

		if (vm == BUNDLE_INDEX_NONE)
			return;
		work = (struct work *)admission_queue_pop(entry->queue);
		if (work->item.deadline_ms <= bench->now_ms)
			g_free(work);
		else
			work_dispatch(bench, work, vm);
	}
}

/* Returns whether the owner granted slots to itself. */
static bool grants_send(struct bench *bench, struct entry *entry)
{
	struct message message = { .is_grant = true };
	bool taken = false;

	slot_owner_tick(entry->owner, bench->now_ms);
	while (slot_owner_next_grant(entry->owner, &message.grant)) {
		message.to = entry_index(bench, message.grant.holder);
		if (message.grant.holder == entry->key)
			taken |= slot_holder_apply_grant(
				entry->holder, &message.grant, bench->now_ms);
		else
			message_post(bench, &message);
	}
	return taken;
}

static bool sharing_poll(struct bench *bench, struct entry *entry)
{
	struct message message = { 0 };

	if (!entry->holder)
		return false;
	allowed_update(bench, entry);
	if (slot_holder_poll(entry->holder,
			     admission_queue_length(entry->queue),
			     bench->now_ms, &message.report)) {
		message.to =
			entry_index(bench, slot_holder_owner(entry->holder));
		if (entry->owner)
			slot_owner_record_report(entry->owner, &message.report,
						 bench->now_ms);
		else
			message_post(bench, &message);
	}
	return entry->owner && grants_send(bench, entry);
}

static void entry_pump(struct bench *bench, struct entry *entry)
{
	do
		queue_dispatch(bench, entry);
	while (sharing_poll(bench, entry));
}

/* Slots that the admission of an entry counts on. */
static uint32_t slots_expected(struct bench *bench, struct entry *entry)
{
	switch (bench->way) {
	case WAY_OWNER:
	case WAY_BATCHES:
		return slot_holder_expected_slots(entry->holder, bench->now_ms);
	case WAY_STATIC:
	case WAY_TWO_CHOICES:
		return VMS * SLOTS / ENTRIES;
	default:
		return VMS * SLOTS;
	}
}

static void arrive(struct bench *bench, const struct request *request)
{
	struct work *work = g_new0(struct work, 1);
	struct entry *entry;

	work->request = request;
	work->entry = request->entry % bench->entry_count;
	work->item.deadline_ms = request->arrival_ms + DEADLINE_MS;
	entry = &bench->entries[work->entry];
	bench->result.requests++;
	bench->result.burst_requests += request->burst;
	if (admission_queue_push(entry->queue, &work->item,
				 slots_expected(bench, entry),
				 bench->now_ms) != OUTCOME_ANSWERED)
		g_free(work);
	else
		entry_pump(bench, entry);
}

static void gossip(struct bench *bench)
{
	if (bench->way != WAY_TWO_CHOICES || bench->now_ms % GOSSIP_MS != 0)
		return;
	bench->result.messages += ENTRIES * (ENTRIES - 1);
	for (uint32_t to = 0; to < ENTRIES; to++) {
		for (uint32_t vm = 0; vm < VMS; vm++) {
			uint32_t sum = 0;

			for (uint32_t from = 0; from < ENTRIES; from++)
				sum += from == to
					       ? 0
					       : bench->entries[from]
							 .servers->servers[vm]
							 .in_flight;
			bench->entries[to].gossiped[vm] = sum;
		}
	}
}

static void deliver(struct bench *bench)
{
	GPtrArray *due = bench->wire[bench->now_ms % WIRE_MS];

	for (guint i = 0; i < due->len; i++) {
		const struct message *message = g_ptr_array_index(due, i);
		struct entry *entry = &bench->entries[message->to];

		if (message->is_grant)
			slot_holder_apply_grant(entry->holder, &message->grant,
						bench->now_ms);
		else
			slot_owner_record_report(entry->owner, &message->report,
						 bench->now_ms);
	}
	g_ptr_array_set_size(due, 0);
}

static void step(struct bench *bench)
{
	GPtrArray *ends = bench->ends[bench->now_ms];

	deliver(bench);
	for (guint i = 0; ends && i < ends->len; i++)
		work_end(bench, g_ptr_array_index(ends, i));
	gossip(bench);
	while (bench->next_arrival < bench->trace->len) {
		const struct request *request = &g_array_index(
			bench->trace, struct request, bench->next_arrival);

		if (request->arrival_ms > bench->now_ms)
			break;
		bench->next_arrival++;
		arrive(bench, request);
	}
	for (uint32_t i = 0; i < bench->entry_count; i++)
		entry_pump(bench, &bench->entries[i]);
}

static gint compare_waits(gconstpointer a, gconstpointer b)
{
	const uint32_t *left = a;
	const uint32_t *right = b;

	return (*left > *right) - (*left < *right);
}

static void waits_sum(struct bench *bench)
{
	GArray *waits = bench->calm_waits;
	double sum = 0;

	if (waits->len == 0)
		return;
	g_array_sort(waits, compare_waits);
	for (guint i = 0; i < waits->len; i++)
		sum += g_array_index(waits, uint32_t, i);
	bench->result.calm_wait_ms = sum / waits->len;
	bench->result.calm_wait_p99_ms =
		g_array_index(waits, uint32_t, waits->len * 99 / 100);
}

static struct result way_run(enum way way, const GArray *trace, uint32_t seed)
{
	struct bench bench;
	struct result result;

	bench_init(&bench, way, trace, seed);
	for (; bench.now_ms < bench.ends_len; bench.now_ms++)
		step(&bench);
	waits_sum(&bench);
	result = bench.result;
	bench_clear(&bench);
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
	for (int way = 0; way < WAY_COUNT; way++) {
		const struct result *result = &results[way];

		printf("%-14s | %7.2f%% | %7.2f%% | %8.2f%% | %7u | %8u | "
		       "%9.3f | %5.2f/%u ms\n",
		       way_names[way],
		       100 * share(result->on_time, result->requests),
		       100 * share(result->burst_on_time,
				   result->burst_requests),
		       100 * share(result->burst_on_time,
				   results[WAY_LIMIT].burst_on_time),
		       result->over_committed, result->most_at_once,
		       (double)result->messages / result->requests,
		       result->calm_wait_ms, result->calm_wait_p99_ms);
	}
}

static void json_print(FILE *out, const struct result *results, uint32_t seed)
{
	fprintf(out, "{\"seed\":%u,\"ways\":{", seed);
	for (int way = 0; way < WAY_COUNT; way++) {
		const struct result *result = &results[way];

		fprintf(out,
			"%s\"%s\":{\"on_time\":%.4f,\"burst_on_time\":%.4f,"
			"\"over_committed\":%u,\"most_at_once\":%u,"
			"\"messages_per_request\":%.3f,"
			"\"calm_wait_mean_ms\":%.3f,"
			"\"calm_wait_p99_ms\":%u}",
			way == 0 ? "" : ",", way_names[way],
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
	struct result results[WAY_COUNT];
	GArray *trace;
	bool good;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	trace = trace_create((uint32_t)seed);
	for (int way = 0; way < WAY_COUNT; way++)
		results[way] = way_run((enum way)way, trace, (uint32_t)seed);
	g_array_unref(trace);
	table_print(results);
	if (json && !json_write(json, results, (uint32_t)seed))
		return 2;
	good = results[WAY_CHOSEN].burst_on_time >=
	       bound * results[WAY_LIMIT].burst_on_time;
	printf("%s: %s answers at least %.0f%% of the limit in bursts\n",
	       good ? "PASS" : "FAIL", way_names[WAY_CHOSEN], 100 * bound);
	return good ? 0 : 1;
}
