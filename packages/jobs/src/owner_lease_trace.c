#include "owner_lease_trace.h"

#include "log.h"
#include "owner_private.h"

/* Longest list of names in a line; the log cuts values at 8 KiB. */
#define TRACE_NAMES_MAX_BYTES 4000
/* Time for which starts are collected for one line. */
#define TRACE_COLLECT_MS 200
/* Time after the end of a takeover in which the starts of tasks are named that
 * were unknown until then. */
#define TRACE_SETTLED_MS 5000

/* Size of the text of unchallenged_text(). */
#define TRACE_UNCHALLENGED_BYTES 64

/* Starts that are named in one line. */
struct trace_starts {
	GString *names;
	uint32_t count;
	uint64_t since_ms;
};

struct owner_lease_trace {
	/* local time at which the lease was last found valid */
	uint64_t valid_seen_ms;
	/* since then */
	uint32_t starts;
	uint32_t renewals;
	uint32_t withheld;
	uint64_t longest_gap_ms;
	/* of the whole ownership */
	uint64_t ticked_ms;
	uint64_t longest_gap_ever_ms;
	uint64_t longest_gap_end_ms;
	/* local time at which the takeover was settled, 0 before */
	uint64_t settled_ms;
	bool all_reported;
	/* what has shown that another owner exists, "" for none */
	char shown_by[64];
	/* as of the last start without a valid lease */
	uint64_t start_lease_age_ms;
	uint64_t start_gap_ms;
	char start_answers[TRACE_UNCHALLENGED_BYTES];
	struct trace_starts without_lease;
	struct trace_starts after_takeover;
};

struct owner_lease_trace *owner_lease_trace_create(uint64_t now_ms)
{
	struct owner_lease_trace *trace = g_new0(struct owner_lease_trace, 1);

	trace->valid_seen_ms = now_ms;
	trace->ticked_ms = now_ms;
	trace->without_lease.names = g_string_new(NULL);
	trace->after_takeover.names = g_string_new(NULL);
	return trace;
}

void owner_lease_trace_destroy(struct owner_lease_trace *trace)
{
	g_string_free(trace->without_lease.names, TRUE);
	g_string_free(trace->after_takeover.names, TRUE);
	g_free(trace);
}

/* Returns whether the lease is valid. */
static bool lease_observe(struct owner *owner)
{
	struct owner_lease_trace *trace = owner->lease_trace;

	if (!owner->ops->lease_is_valid(owner->data))
		return false;
	trace->valid_seen_ms = loop_now_ms();
	trace->starts = 0;
	trace->renewals = 0;
	trace->withheld = 0;
	return true;
}

static void starts_clear(struct trace_starts *starts)
{
	g_string_truncate(starts->names, 0);
	starts->count = 0;
}

static void without_lease_log(const struct owner *owner)
{
	struct owner_lease_trace *trace = owner->lease_trace;

	if (trace->without_lease.count == 0)
		return;
	log_warning("starts-without-lease",
		    "%u tasks started without a valid lease, last seen valid "
		    "%" G_GUINT64_FORMAT
		    " ms before the last start; answers of workers then: %s; "
		    "longest time without a tick %" G_GUINT64_FORMAT
		    " ms, epoch %" G_GUINT64_FORMAT
		    ", fencing token %" G_GINT64_FORMAT ": %s",
		    trace->without_lease.count, trace->start_lease_age_ms,
		    trace->start_answers, trace->start_gap_ms, owner->epoch,
		    owner->config.guard_revision,
		    trace->without_lease.names->str);
	starts_clear(&trace->without_lease);
}

static void after_takeover_log(const struct owner *owner)
{
	struct owner_lease_trace *trace = owner->lease_trace;

	if (trace->after_takeover.count == 0)
		return;
	log_info("starts-after-takeover",
		 "%u tasks started that no worker has reported, the takeover "
		 "was settled %" G_GUINT64_FORMAT
		 " ms ago, %s, epoch %" G_GUINT64_FORMAT
		 ", fencing token %" G_GINT64_FORMAT ": %s",
		 trace->after_takeover.count, loop_now_ms() - trace->settled_ms,
		 trace->all_reported ? "all workers had reported"
				     : "not all workers had reported",
		 owner->epoch, owner->config.guard_revision,
		 trace->after_takeover.names->str);
	starts_clear(&trace->after_takeover);
}

static void starts_add(const struct owner *owner, struct trace_starts *starts,
		       const struct job_task *task, const struct worker *worker,
		       uint32_t run, void (*log)(const struct owner *owner))
{
	char name[JOB_TASK_NAME_BYTES];

	if (starts->count == 0)
		starts->since_ms = loop_now_ms();
	job_task_name(task, name);
	g_string_append_printf(starts->names, "%s%s run %u at %s",
			       starts->count > 0 ? ", " : "", name, run,
			       worker->id);
	starts->count++;
	if (starts->names->len >= TRACE_NAMES_MAX_BYTES)
		log(owner);
}

/* Writes what the answers of workers prove now. */
static void unchallenged_text(const struct owner *owner,
			      char out[static TRACE_UNCHALLENGED_BYTES])
{
	uint64_t now_ms = loop_now_ms();
	uint64_t until_ms = owner->unchallenged_until_ms;

	if (owner->verify_due_ms == 0 || until_ms == 0)
		g_strlcpy(out, "not asked yet, or not all have answered",
			  TRACE_UNCHALLENGED_BYTES);
	else
		g_snprintf(out, TRACE_UNCHALLENGED_BYTES,
			   until_ms >= now_ms
				   ? "no successor for another "
				     "%" G_GUINT64_FORMAT " ms"
				   : "no successor until %" G_GUINT64_FORMAT
				     " ms ago",
			   until_ms >= now_ms ? until_ms - now_ms
					      : now_ms - until_ms);
}

void owner_lease_trace_start(struct owner *owner, const struct job_task *task,
			     const struct worker *worker, uint32_t run)
{
	struct owner_lease_trace *trace = owner->lease_trace;

	if (lease_observe(owner)) {
		if (task->requeue.cause == JOB_REQUEUE_TAKEOVER &&
		    trace->settled_ms != 0 &&
		    loop_now_ms() - trace->settled_ms < TRACE_SETTLED_MS)
			starts_add(owner, &trace->after_takeover, task, worker,
				   run, after_takeover_log);
		return;
	}
	trace->starts++;
	trace->start_lease_age_ms = loop_now_ms() - trace->valid_seen_ms;
	trace->start_gap_ms = trace->longest_gap_ms;
	unchallenged_text(owner, trace->start_answers);
	owner->counters.starts_without_lease++;
	starts_add(owner, &trace->without_lease, task, worker, run,
		   without_lease_log);
}

void owner_lease_trace_renewal(struct owner *owner, bool renewed)
{
	struct owner_lease_trace *trace = owner->lease_trace;

	if (lease_observe(owner))
		return;
	trace->renewals += renewed;
	trace->withheld += !renewed;
	owner->counters.renewals_without_lease += renewed;
	owner->counters.renewals_withheld += !renewed;
}

/* Records the time since the last tick. */
static void gap_observe(struct owner_lease_trace *trace, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - trace->ticked_ms;

	trace->longest_gap_ms = MAX(trace->longest_gap_ms, gap_ms);
	if (gap_ms <= trace->longest_gap_ever_ms)
		return;
	trace->longest_gap_ever_ms = gap_ms;
	trace->longest_gap_end_ms = now_ms;
}

static bool starts_are_due(const struct trace_starts *starts, uint64_t now_ms)
{
	return starts->count > 0 &&
	       now_ms - starts->since_ms >= TRACE_COLLECT_MS;
}

void owner_lease_trace_tick(struct owner *owner)
{
	struct owner_lease_trace *trace = owner->lease_trace;
	uint64_t now_ms = loop_now_ms();

	gap_observe(trace, now_ms);
	trace->ticked_ms = now_ms;
	if (lease_observe(owner))
		trace->longest_gap_ms = 0;
	if (starts_are_due(&trace->without_lease, now_ms))
		without_lease_log(owner);
	if (starts_are_due(&trace->after_takeover, now_ms))
		after_takeover_log(owner);
}

static void worker_add(GString *out, const struct worker *worker)
{
	g_string_append_printf(out, "%s%s (", out->len > 0 ? ", " : "",
			       worker->id);
	if (worker->ended)
		g_string_append(out, "ended");
	else if (worker->has_reported)
		g_string_append(out, "has more ends");
	else if (worker->unanswered_calls > 0)
		g_string_append_printf(
			out, "unanswered for %" G_GUINT64_FORMAT " ms",
			loop_now_ms() - worker->unanswered_since_ms);
	else
		g_string_append(out, "no poll has ended");
	g_string_append_c(out, ')');
}

/* Returns the workers that have not reported; freed with g_string_free(). */
static GString *unreported_list(const struct owner *owner)
{
	GString *names = g_string_new(NULL);
	uint32_t left_out = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (worker->has_reported && !worker->has_more_ends)
			continue;
		if (names->len < TRACE_NAMES_MAX_BYTES)
			worker_add(names, worker);
		else
			left_out++;
	}
	if (left_out > 0)
		g_string_append_printf(names, " and %u more", left_out);
	return names;
}

void owner_lease_trace_settled(struct owner *owner, uint32_t released,
			       bool all_reported)
{
	struct owner_lease_trace *trace = owner->lease_trace;
	uint64_t now_ms = loop_now_ms();
	GString *unreported;

	trace->settled_ms = now_ms;
	trace->all_reported = all_reported;
	if (all_reported) {
		log_info("takeover-settled",
			 "%u tasks requeued, %" G_GUINT64_FORMAT
			 " ms after the takeover began, epoch "
			 "%" G_GUINT64_FORMAT,
			 released, now_ms - owner->takeover_started_ms,
			 owner->epoch);
		return;
	}
	unreported = unreported_list(owner);
	log_warning("takeover-settled",
		    "%u tasks requeued, %" G_GUINT64_FORMAT
		    " ms after the takeover began, epoch %" G_GUINT64_FORMAT
		    ", not all workers have reported: earlier leases were "
		    "taken to last until steady_ms %" G_GUINT64_FORMAT
		    ", workers polled since %" G_GUINT64_FORMAT
		    ", without a report: %s",
		    released, now_ms - owner->takeover_started_ms, owner->epoch,
		    owner_earlier_leases_expired_ms(owner),
		    owner->polled_since_ms, unreported->str);
	g_string_free(unreported, TRUE);
}

void owner_lease_trace_deposed(struct owner *owner, const char *shown_by)
{
	g_strlcpy(owner->lease_trace->shown_by, shown_by,
		  sizeof(owner->lease_trace->shown_by));
}

void owner_lease_trace_lost(struct owner *owner)
{
	struct owner_lease_trace *trace = owner->lease_trace;
	uint64_t now_ms = loop_now_ms();

	gap_observe(trace, now_ms);
	without_lease_log(owner);
	after_takeover_log(owner);
	log_warning("owner-ended",
		    "lease last seen valid %" G_GUINT64_FORMAT
		    " ms ago, since then tasks started %u, leases of workers "
		    "renewed %u, not renewed %u, longest time without a tick "
		    "%" G_GUINT64_FORMAT " ms; of the whole ownership "
		    "%" G_GUINT64_FORMAT " ms, until %" G_GUINT64_FORMAT
		    " ms ago; epoch %" G_GUINT64_FORMAT
		    ", fencing token %" G_GINT64_FORMAT
		    ", another owner was shown by %s",
		    now_ms - trace->valid_seen_ms, trace->starts,
		    trace->renewals, trace->withheld, trace->longest_gap_ms,
		    trace->longest_gap_ever_ms,
		    now_ms - trace->longest_gap_end_ms, owner->epoch,
		    owner->config.guard_revision,
		    trace->shown_by[0] ? trace->shown_by
				       : "the owner key, if at all");
}

void owner_lease_trace_metrics_append(const struct owner *owner, GString *out)
{
	const struct owner_counters *counters = &owner->counters;

	g_string_append_printf(
		out,
		"sassafrascart_task_starts_without_lease_total "
		"%" G_GUINT64_FORMAT "\n"
		"sassafrascart_worker_renewals_without_lease_total "
		"%" G_GUINT64_FORMAT "\n"
		"sassafrascart_worker_renewals_withheld_total "
		"%" G_GUINT64_FORMAT "\n"
		"sassafrascart_owner_tick_gap_max_ms %" G_GUINT64_FORMAT "\n",
		counters->starts_without_lease,
		counters->renewals_without_lease, counters->renewals_withheld,
		owner->lease_trace->longest_gap_ever_ms);
}
