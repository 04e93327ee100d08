#include "sim_limit.h"

#define DRAIN_MS 20000u

enum order {
	ORDER_FIRST_COME,
	ORDER_LAST_COME,
	ORDER_DEADLINE,
	ORDER_SHORTEST,
};

/* Scheduling rule: in which order requests are taken from the queue. */
struct rule {
	enum order order;
	/*
	 * a request starts only if this many declared run times remain
	 * before its deadline
	 */
	uint32_t reserve;
	/* run times, failures and cancellations are known in advance */
	bool clairvoyant;
};

static const struct rule nonclairvoyant_rules[] = {
	{ ORDER_FIRST_COME, 0, false }, { ORDER_FIRST_COME, 1, false },
	{ ORDER_FIRST_COME, 2, false }, { ORDER_FIRST_COME, 4, false },
	{ ORDER_LAST_COME, 0, false },	{ ORDER_LAST_COME, 1, false },
	{ ORDER_LAST_COME, 2, false },	{ ORDER_LAST_COME, 4, false },
	{ ORDER_DEADLINE, 0, false },	{ ORDER_DEADLINE, 1, false },
	{ ORDER_DEADLINE, 2, false },	{ ORDER_DEADLINE, 4, false },
};

static const struct rule clairvoyant_rules[] = {
	{ ORDER_DEADLINE, 0, true },
	{ ORDER_SHORTEST, 0, true },
};

/* Simulation of one pool under one rule. */
struct limit {
	const struct sim_trace *trace;
	const struct rule *rule;
	struct sim_result *result;
	uint32_t pool;
	uint64_t now_ms;
	/* number of slots released in each millisecond */
	uint32_t *freed_slots;
	uint64_t duration_ms;
	uint32_t in_use;
	GSequence *waiting;
};

static uint64_t rule_sort_key(const struct rule *rule,
			      const struct sim_request *request)
{
	switch (rule->order) {
	case ORDER_FIRST_COME:
		return request->at_ms;
	case ORDER_LAST_COME:
		return UINT64_MAX - request->at_ms;
	case ORDER_DEADLINE:
		return request->deadline_ms;
	case ORDER_SHORTEST:
		break;
	}
	return request->run_ms;
}

static gint request_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	uint64_t key_a = rule_sort_key(data, a);
	uint64_t key_b = rule_sort_key(data, b);

	return key_a < key_b ? -1 : key_a > key_b;
}

static uint32_t slots_available(const struct sim_trace *trace, uint32_t pool,
				uint64_t now_ms)
{
	const struct bundle *bundle = trace->bundle;
	uint32_t slots = 0;

	for (uint32_t vm = 0; vm < bundle->vm_count; vm++) {
		bool ready = sim_initial_pool(trace->deployment, vm) == pool;

		for (uint32_t i = 0; i < trace->fault_count && ready; i++) {
			const struct sim_fault *fault = &trace->faults[i];

			ready = fault->vm != vm || now_ms < fault->begin_ms ||
				now_ms >= fault->end_ms;
		}
		slots += ready ? bundle->vms[vm].slots : 0;
	}
	return slots;
}

static bool request_is_viable(const struct limit *limit,
			      const struct sim_request *request)
{
	uint32_t declared_ms = limit->trace->deployment->run_ms[limit->pool];
	uint64_t left_ms = limit->rule->clairvoyant
				   ? request->run_ms
				   : limit->rule->reserve * declared_ms;

	return request->cancel_ms > limit->now_ms &&
	       limit->now_ms + left_ms < request->deadline_ms;
}

static void request_start(struct limit *limit,
			  const struct sim_request *request)
{
	uint64_t finish_ms = limit->now_ms + request->run_ms;
	uint64_t end_ms = MIN(finish_ms, request->deadline_ms);

	if (request->idempotent)
		end_ms = MIN(end_ms, request->cancel_ms);
	limit->in_use++;
	limit->freed_slots[MIN(end_ms, limit->duration_ms - 1)]++;
	limit->result->busy_ms += end_ms - limit->now_ms;
	limit->result->attempts++;
	if (end_ms > request->cancel_ms)
		limit->result->wasted_ms +=
			end_ms - MAX(request->cancel_ms, limit->now_ms);
	sim_result_count(limit->result, request, true,
			 finish_ms < request->deadline_ms);
}

static void queue_serve(struct limit *limit, uint32_t slots)
{
	while (limit->in_use < slots && !g_sequence_is_empty(limit->waiting)) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(limit->waiting);
		const struct sim_request *request = g_sequence_get(first);

		g_sequence_remove(first);
		if (request_is_viable(limit, request))
			request_start(limit, request);
		else
			sim_result_count(limit->result, request, false, false);
	}
}

static void request_arrive(struct limit *limit, struct sim_request *request)
{
	/*
	 * Requests that fail everywhere or are cancelled do not count in the
	 * results, so a clairvoyant rule never runs them.
	 */
	bool excluded = request->infeasible ||
			request->cancel_ms < request->deadline_ms;

	if (limit->rule->clairvoyant && excluded)
		return;
	g_sequence_insert_sorted(limit->waiting, request, request_compare,
				 (gpointer)limit->rule);
}

static void limit_run(struct limit *limit)
{
	const struct sim_trace *trace = limit->trace;
	uint32_t next = 0;
	uint32_t slots = 0;

	limit->duration_ms = trace->end_ms + DRAIN_MS;
	limit->freed_slots = g_new0(uint32_t, limit->duration_ms);
	limit->waiting = g_sequence_new(NULL);
	for (uint64_t t = 0; t < limit->duration_ms; t++) {
		limit->now_ms = t;
		limit->in_use -= limit->freed_slots[t];
		if (t % 1000 == 0)
			slots = slots_available(trace, limit->pool, t);
		for (; next < trace->request_count &&
		       trace->requests[next].at_ms == t;
		     next++) {
			if (trace->requests[next].pool == limit->pool)
				request_arrive(limit, &trace->requests[next]);
		}
		queue_serve(limit, slots);
	}
	g_sequence_free(limit->waiting);
	g_free(limit->freed_slots);
}

static void tally_add(struct sim_tally *sum, const struct sim_tally *tally)
{
	sum->requests += tally->requests;
	sum->on_time += tally->on_time;
	sum->not_run += tally->not_run;
	sum->unknown += tally->unknown;
}

static void pool_limit_add(const struct sim_trace *trace,
			   const struct rule *rules, size_t count,
			   uint32_t pool, struct sim_result *sum)
{
	struct sim_result best = { 0 };

	for (size_t i = 0; i < count; i++) {
		struct sim_result result = { 0 };
		struct limit limit = {
			.trace = trace,
			.rule = &rules[i],
			.result = &result,
			.pool = pool,
		};

		limit_run(&limit);
		if (i == 0 || result.burst.on_time > best.burst.on_time)
			best = result;
	}
	tally_add(&sum->all, &best.all);
	tally_add(&sum->burst, &best.burst);
	sum->busy_ms += best.busy_ms;
	sum->wasted_ms += best.wasted_ms;
	sum->attempts += best.attempts;
}

static void limit_trace(const struct sim_trace *trace, const struct rule *rules,
			size_t count, struct sim_result *result)
{
	result->trace = trace->name;
	result->deployment = trace->deployment->name;
	result->retry_errors_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (uint32_t pool = 0; pool < SIM_POOLS; pool++)
		pool_limit_add(trace, rules, count, pool, result);
}

void sim_limit_nonclairvoyant(const struct sim_trace *trace,
			      struct sim_result *result)
{
	result->policy = "limit, sizes unknown";
	limit_trace(trace, nonclairvoyant_rules,
		    G_N_ELEMENTS(nonclairvoyant_rules), result);
}

void sim_limit_clairvoyant(const struct sim_trace *trace,
			   struct sim_result *result)
{
	result->policy = "limit, all known";
	limit_trace(trace, clairvoyant_rules, G_N_ELEMENTS(clairvoyant_rules),
		    result);
}
