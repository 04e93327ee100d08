#include <jansson.h>
#include <string.h>

#include "log.h"
#include "owner_private.h"

/* Interval between reads of the worker list: 2 ms per worker, within these
 * bounds. The interval must be well below the time within which a draining
 * worker must stop getting new tasks, and short enough that the worker of a
 * moved VM is found soon. */
#define OWNER_LIST_INTERVAL_MIN_MS 200
#define OWNER_LIST_INTERVAL_MAX_MS 700
#define OWNER_LIST_MS_PER_WORKER 2
/* Shortest interval while VMs are about to return from a move or maintenance,
 * because waiting tasks need their workers. One read takes some milliseconds.
 */
#define OWNER_LIST_INTERVAL_ARRIVING_MS 150

#define OWNER_LIST_RETRY_DELAY_MS 200
/* A worker that is missing from the list is removed after this time, unless it
 * may have tasks. Entries of live workers reappear sooner. */
#define OWNER_UNLISTED_TTL_MS 3000
/* A worker that has not reported to the owner for so long does not vote: an
 * entry may name one that never answers. */
#define OWNER_FIRST_REPORT_MAX_MS 5000

/* A worker that does not guard its capacity gets no more tasks once the list
 * that it was read from is this old. */
#define OWNER_LIST_AGE_MAX_MS 2000

bool owner_worker_capacity_is_uncertain(const struct owner *owner,
					const struct worker *worker,
					uint64_t now_ms)
{
	const struct catalogue_service *service;

	if (now_ms - owner->workers_listed_ms <= OWNER_LIST_AGE_MAX_MS)
		return false;
	service = catalogue_service_find(owner->catalogue, worker->service);
	return !service || !service->enforces_capacity;
}

static json_t *roster_item_encode(const struct worker *worker)
{
	json_t *item =
		json_pack("{s:s, s:s, s:i, s:s, s:s, s:s*}", "id", worker->id,
			  "ip", worker->ip, "port", (int)worker->port,
			  "service", worker->service, "availability_zone",
			  worker->availability_zone, "vm", worker->vm);

	if (worker->is_learner)
		json_object_set_new(item, "learner", json_true());
	return item;
}

static void roster_write(struct owner *owner);

static void on_roster_stored(void *data, enum err_kind err)
{
	struct owner *owner = data;
	GHashTableIter iter;
	gpointer value;

	owner->roster_in_flight = false;
	if (err != ERR_NONE) {
		owner->roster_dirty = true;
		return;
	}
	owner->voters = owner->sent_voters;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		worker->in_roster = worker->in_sent_roster;
		worker->is_voter = worker->is_sent_voter;
	}
	roster_write(owner);
	owner_schedule_request(owner);
}

/* Adds the workers that are in the newest roster already, or the others, as far
 * as they fit; returns how many do not. */
static uint32_t roster_items_add(struct owner *owner, json_t *items,
				 bool in_sent_roster, size_t *room)
{
	uint32_t left_out = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;
		json_t *item;
		size_t bytes;

		if (worker->in_sent_roster != in_sent_roster)
			continue;
		item = roster_item_encode(worker);
		bytes = json_dumpb(item, NULL, 0, JSON_COMPACT) + 1;
		if (bytes > *room) {
			json_decref(item);
			left_out++;
			continue;
		}
		*room -= bytes;
		json_array_append_new(items, item);
	}
	return left_out;
}

/* Marks the workers of a roster that is about to be written. */
static void roster_items_mark(struct owner *owner, const json_t *items)
{
	GHashTableIter iter;
	gpointer value;
	json_t *item;
	size_t i;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		((struct worker *)value)->in_sent_roster = false;
		((struct worker *)value)->is_sent_voter = false;
	}
	owner->sent_voters = 0;
	json_array_foreach((json_t *)items, i, item)
	{
		struct worker *worker = g_hash_table_lookup(
			owner->workers,
			json_string_value(json_object_get(item, "id")));

		worker->in_sent_roster = true;
		worker->is_sent_voter = !worker->is_learner;
		owner->sent_voters += worker->is_sent_voter;
	}
}

/* Stores the roster of all known workers. A worker gets tasks only once it is
 * in the stored roster, so that a successor polls it even if the worker list
 * does not contain it. Workers that were in an earlier roster come first,
 * because they may have tasks. */
static void roster_write(struct owner *owner)
{
	size_t room = commit_value_max_bytes(owner->log);
	uint32_t left_out;
	json_t *items;
	char *text;

	if (!owner->roster_dirty || !owner->roster_read ||
	    !owner->workers_read || owner->roster_in_flight)
		return;
	owner->roster_dirty = false;
	owner->roster_in_flight = true;
	items = json_array();
	room -= MIN(room, strlen("[]"));
	left_out = roster_items_add(owner, items, true, &room);
	left_out += roster_items_add(owner, items, false, &room);
	roster_items_mark(owner, items);
	if (left_out != owner->roster_left_out)
		log_error("roster-full",
			  "%u workers do not fit the roster and get no tasks",
			  left_out);
	owner->roster_left_out = left_out;
	text = json_dumps(items, JSON_COMPACT);
	commit_put(owner->log, OWNER_KEY_ROSTER, text, on_roster_stored, owner);
	free(text);
	json_decref(items);
}

static struct worker *worker_add(struct owner *owner,
				 const struct adapter_entry *entry)
{
	struct worker *worker = worker_create(&owner->env, entry);

	owner_health_restore(owner, worker);
	owner_worker_check_ownership(owner, worker);
	worker->is_learner = !owner->predecessors_excluded;
	g_hash_table_insert(owner->workers, worker->id, worker);
	owner->roster_dirty = true;
	return worker;
}

static void on_entry(void *data, const struct adapter_entry *entry)
{
	struct owner *owner = data;
	struct worker *worker = g_hash_table_lookup(owner->workers, entry->id);

	if (!worker && !owner_needs_service(owner, entry->service)) {
		log_debug("entry-ignored",
			  "entry of %s ignored: no service %s in the "
			  "configuration, and no job that needs it",
			  entry->id, entry->service);
		return;
	}
	if (!worker) {
		log_info("worker-listed", "new worker %s at %s:%u, service %s",
			 entry->id, entry->ip, (unsigned int)entry->port,
			 entry->service);
		worker_add(owner, entry);
		return;
	}
	if (entry->draining && !worker->draining)
		log_info("worker-drains", "worker %s is draining, tasks %u",
			 worker->id, worker->tasks->len);
	worker_update(worker, entry);
}

bool owner_worker_is_gone(const struct worker *worker, uint64_t now_ms)
{
	return worker->ended ||
	       (!worker->listed && worker->unlisted_since_ms != 0 &&
		now_ms - worker->unlisted_since_ms >= OWNER_UNLISTED_TTL_MS);
}

static void unlisted_workers_remove(struct owner *owner)
{
	uint64_t now_ms = loop_now_ms();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (worker->listed) {
			worker->unlisted_since_ms = 0;
			continue;
		}
		if (worker->unlisted_since_ms == 0)
			worker->unlisted_since_ms = now_ms;
		if (worker->tasks->len > 0 ||
		    (!worker->ended &&
		     (now_ms - worker->unlisted_since_ms <
			      OWNER_UNLISTED_TTL_MS ||
		      (owner->has_unknown_tasks && !worker->has_reported))))
			continue;
		log_info("worker-forgotten",
			 "worker %s is missing from the worker list and is "
			 "removed",
			 worker->id);
		g_hash_table_iter_remove(&iter);
		owner->roster_dirty = true;
	}
}

/* Takes the vote from workers that have never reported to this owner. */
static void silent_workers_demote(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	if (!owner->predecessors_excluded)
		return;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (worker->is_witness || worker->is_learner ||
		    loop_now_ms() - worker->discovered_ms <
			    OWNER_FIRST_REPORT_MAX_MS)
			continue;
		worker->is_learner = true;
		owner->roster_dirty = true;
	}
}

/* Requeues the tasks of unreachable workers whose leases have expired. */
static void expired_workers_release(struct owner *owner)
{
	uint64_t now_ms = loop_now_ms();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (worker->tasks->len == 0 || worker_is_reachable(worker) ||
		    now_ms < worker->lease_expired_ms)
			continue;
		log_info("worker-lease-expired",
			 "lease of worker %s has expired and its tasks are "
			 "requeued, unreachable for %" G_GUINT64_FORMAT
			 " ms, tasks %u, epoch %" G_GUINT64_FORMAT
			 ", owner's lease %s",
			 worker->id, now_ms - worker->unanswered_since_ms,
			 worker->tasks->len, owner->epoch,
			 owner_lease_name(owner));
		owner->env.ops->on_ended(owner, worker, WORKER_LEASE_EXPIRED);
	}
}

static uint32_t list_interval_ms(const struct owner *owner)
{
	uint32_t interval_ms = CLAMP(
		g_hash_table_size(owner->workers) * OWNER_LIST_MS_PER_WORKER,
		OWNER_LIST_INTERVAL_MIN_MS, OWNER_LIST_INTERVAL_MAX_MS);
	uint32_t vm_return_ms = owner_fleet_next_return_ms(owner->fleet);

	return MIN(interval_ms,
		   MAX(vm_return_ms, OWNER_LIST_INTERVAL_ARRIVING_MS));
}

/* Reports an entry that names no worker once for each change of it. */
static void odd_entry_report(const struct owner *owner,
			     const struct platform_kv *kv, const char *reason)
{
	if (kv->mod_revision > owner->odd_entries_revision)
		log_info("entry-malformed",
			 "entry %s at revision %" G_GINT64_FORMAT
			 " of the worker list names no worker and is ignored: "
			 "%s",
			 kv->key, kv->mod_revision, reason);
}

static void entries_decode(struct owner *owner,
			   const struct platform_result *result)
{
	for (size_t i = 0; i < result->kv_count; i++) {
		const struct platform_kv *kv = &result->kvs[i];
		enum err_kind err = owner->config.platform->entry_decode(
			kv->key, kv->value, kv->value_len, on_entry, owner);

		if (err != ERR_NONE)
			odd_entry_report(owner, kv, err_name(err));
	}
	/* A later change may be missing in this list beside one that is not. */
	owner->odd_entries_revision =
		MAX(owner->odd_entries_revision, result->revision);
}

/* Logs the first of several failures, and that the list is read again. */
static void list_outcome_log(struct owner *owner, enum err_kind err)
{
	if (err != ERR_NONE && owner->workers_list_failures++ == 0) {
		owner->workers_list_failed_ms = loop_now_ms();
		log_warning("worker-list-failed", "no list of workers: %s",
			    err_name(err));
	}
	if (err != ERR_NONE || owner->workers_list_failures == 0)
		return;
	log_info("worker-list-read",
		 "list of workers read again after %u failures in "
		 "%" G_GUINT64_FORMAT " ms",
		 owner->workers_list_failures,
		 loop_now_ms() - owner->workers_list_failed_ms);
	owner->workers_list_failures = 0;
}

static void on_workers_listed(void *data, enum err_kind err,
			      const struct platform_result *result)
{
	struct owner *owner = weak_ref_release(data);
	GHashTableIter iter;
	gpointer value;

	if (!owner)
		return;
	owner->workers_list_in_flight = false;
	list_outcome_log(owner, err);
	loop_timer_set(owner->config.loop, &owner->list_timer,
		       err == ERR_NONE ? list_interval_ms(owner)
				       : OWNER_LIST_RETRY_DELAY_MS);
	expired_workers_release(owner);
	if (owner->has_unknown_tasks)
		owner_takeover_try_finish(owner);
	if (err != ERR_NONE)
		return;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct worker *)value)->listed = false;
	entries_decode(owner, result);
	owner->workers_read = true;
	owner->workers_listed_ms = owner->workers_list_requested_ms;
	unlisted_workers_remove(owner);
	owner_out_of_touch_report(owner);
	silent_workers_demote(owner);
	roster_write(owner);
	owner_schedule_request(owner);
}

void owner_workers_list(struct owner *owner)
{
	if (owner->workers_list_in_flight)
		return;
	owner->workers_list_in_flight = true;
	owner->workers_list_requested_ms = loop_now_ms();
	platform_range(owner->config.store,
		       owner->config.platform->workers_prefix, true,
		       on_workers_listed, weak_ref_acquire(owner->weak_ref));
}

static void roster_item_restore(struct owner *owner, const json_t *item)
{
	const char *id = json_string_value(json_object_get(item, "id"));
	const char *ip = json_string_value(json_object_get(item, "ip"));
	const char *no_labels[] = { NULL };
	struct adapter_entry entry = {
		.id = id,
		.port = (uint16_t)json_integer_value(
			json_object_get(item, "port")),
		.service = json_string_value(json_object_get(item, "service")),
		.availability_zone = json_string_value(
			json_object_get(item, "availability_zone")),
		.vm = json_string_value(json_object_get(item, "vm")),
		.labels = no_labels,
	};
	struct worker *worker;

	if (!id || !ip || !entry.service)
		return;
	worker = g_hash_table_lookup(owner->workers, id);
	if (!worker) {
		g_strlcpy(entry.ip, ip, sizeof(entry.ip));
		worker = worker_add(owner, &entry);
		worker->listed = false;
		worker->has_entry = false;
		worker->unlisted_since_ms = loop_now_ms();
	}
	worker->in_sent_roster = true;
	worker->is_learner = json_is_true(json_object_get(item, "learner"));
	worker->is_voter = !worker->is_learner;
	worker->is_sent_voter = worker->is_voter;
	owner->voters += worker->is_voter;
	owner->sent_voters += worker->is_voter;
}

/* Lets all workers vote, those listed later included: no earlier owner acts any
 * more. */
static void learners_promote(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	owner->predecessors_excluded = true;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		owner->roster_dirty |= worker->is_learner;
		worker->is_learner = false;
	}
}

void owner_roster_on_first_report(struct owner *owner, struct worker *worker)
{
	if (!owner->predecessors_excluded || !worker->is_learner)
		return;
	worker->is_learner = false;
	owner->roster_dirty = true;
	roster_write(owner);
}

static void on_roster_read(void *data, enum err_kind err,
			   const struct platform_result *result)
{
	struct owner *owner = weak_ref_release(data);
	json_t *items;
	json_t *item;
	size_t i;

	if (!owner)
		return;
	owner->roster_read_in_flight = false;
	if (err != ERR_NONE) {
		owner_read_retry_schedule(owner, err);
		return;
	}
	owner->roster_read = true;
	if (result->kv_count > 0) {
		items = json_loadb(result->kvs[0].value,
				   result->kvs[0].value_len, 0, NULL);
		json_array_foreach(items, i, item)
			roster_item_restore(owner, item);
		json_decref(items);
	}
	/* Without voters no earlier owner acts that has no valid lease. */
	if (owner->voters == 0)
		learners_promote(owner);
	owner->roster_dirty = true;
	roster_write(owner);
}

void owner_roster_load(struct owner *owner)
{
	if (owner->roster_read || owner->roster_read_in_flight)
		return;
	owner->roster_read_in_flight = true;
	platform_range(owner->config.store, OWNER_KEY_ROSTER, false,
		       on_roster_read, weak_ref_acquire(owner->weak_ref));
}

static void unknown_tasks_requeue(struct owner *owner, bool all_reported)
{
	uint32_t released;

	owner_crash_presume(owner);
	released = owner_unknown_tasks_release(owner, all_reported);
	owner->has_unknown_tasks = false;
	learners_promote(owner);
	roster_write(owner);
	owner_ended_jobs_trim(owner);
	owner_lease_trace_settled(owner, released, all_reported);
	owner_schedule_request(owner);
}

/* Returns whether a worker may have runs or ends that it will report. One that
 * still answers reports all its ends, however long that takes. */
static bool report_is_awaited(const struct worker *worker, bool leases_expired)
{
	if (worker->ended || (worker->has_reported && !worker->has_more_ends))
		return false;
	return !leases_expired ||
	       (worker->has_more_ends && worker_is_reachable(worker));
}

void owner_takeover_try_finish(struct owner *owner)
{
	bool leases_expired;
	bool all_reported = true;
	GHashTableIter iter;
	gpointer value;

	/* Without a valid lease a successor may have read how the runs ended
	 * that no worker has reported here. */
	if (!owner->roster_read || !owner->workers_read ||
	    !owner_is_ready(owner) || !owner->ops->lease_is_valid(owner->data))
		return;
	if (owner->polled_since_ms == 0)
		owner->polled_since_ms = loop_now_ms();
	owner_majority_update(owner);
	leases_expired =
		loop_now_ms() >= owner_earlier_leases_expired_ms(owner);
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (report_is_awaited(worker, leases_expired))
			return;
		all_reported &= worker->has_reported && !worker->has_more_ends;
	}
	unknown_tasks_requeue(owner, all_reported);
}
