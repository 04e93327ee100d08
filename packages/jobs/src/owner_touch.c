#include "log.h"
#include "owner_private.h"

/* A listed worker that is out of touch for so long is logged. */
#define OWNER_OUT_OF_TOUCH_MS 3000

/* Returns whether a worker is listed but can get no task, because the owner is
 * not in touch with the incarnation that its entry describes. */
static bool worker_is_out_of_touch(const struct worker *worker)
{
	return worker->listed && (worker->ended || !worker->has_reported ||
				  worker_entry_is_outdated(worker));
}

static void out_of_touch_log(const struct worker *worker, uint64_t now_ms)
{
	const struct worker_poll_row *row =
		worker_poll_row(worker_poll_reason(worker));
	const char *poll = "no poll is due";

	if (worker->polling)
		poll = "a poll is in flight";
	else if (timer_is_set(&worker->poll_timer))
		poll = "the next poll is due";
	log_warning("worker-out-of-touch",
		    "worker %s of service %s is listed but out of touch for "
		    "%" G_GUINT64_FORMAT " ms: %s, %s; reported: %s, started "
		    "at %" G_GUINT64_FORMAT ", as listed at %" G_GUINT64_FORMAT,
		    worker->id, worker->service,
		    now_ms - worker->out_of_touch_since_ms, row->text, poll,
		    worker->has_reported ? "yes" : "no",
		    worker->started_unix_ms, worker->described_unix_ms);
}

void owner_out_of_touch_report(struct owner *owner)
{
	uint64_t now_ms = loop_now_ms();
	GHashTableIter iter;
	gpointer value;

	owner->workers_out_of_touch = 0;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (!worker_is_out_of_touch(worker)) {
			worker->out_of_touch_since_ms = 0;
			worker->out_of_touch_logged = false;
			continue;
		}
		if (worker->out_of_touch_since_ms == 0)
			worker->out_of_touch_since_ms = now_ms;
		if (now_ms - worker->out_of_touch_since_ms <
		    OWNER_OUT_OF_TOUCH_MS)
			continue;
		owner->workers_out_of_touch++;
		if (!worker->out_of_touch_logged)
			out_of_touch_log(worker, now_ms);
		worker->out_of_touch_logged = true;
	}
}
