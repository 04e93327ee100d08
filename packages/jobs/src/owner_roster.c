#include <jansson.h>
#include <string.h>

#include "log.h"
#include "owner_private.h"

/* Time between two reads of the list of workers, two milliseconds for each
 * worker within these bounds: well under the time within which a worker that
 * drains must get no new tasks, and soon enough for a VM that has moved. */
#define OWN_LIST_MIN_MS 200
#define OWN_LIST_MAX_MS 700
#define OWN_LIST_MS_PER_WORKER 2
/* While VMs are due back from a move or maintenance, their workers are looked
 * for this often: a burst waits for them, and a read takes some milliseconds.
 */
#define OWN_LIST_ARRIVING_MS 150
/* A read that failed is repeated after this. */
#define OWN_LIST_RETRY_MS 200
/* A worker that is not listed is forgotten after this, once nothing can run
 * there any more: entries of living workers are back sooner. */
#define OWN_FORGET_MS 3000
/* Added to the longest lease when waiting for a silent worker's to run out:
 * the worker's clock may be 2% slow, and the order before may be late. */
#define OWN_LEASE_MARGIN_MS 500

/* A lease that an earlier owner granted has run out for sure by then. */
static uint64_t earlier_leases_over_ms(const struct owner *owner)
{
	return owner->began_ms + owner->env.lease_ms + OWN_LEASE_MARGIN_MS;
}

static json_t *roster_item(const struct worker *worker)
{
	return json_pack("{s:s, s:s, s:i, s:s, s:s, s:s*}", "id", worker->id,
			 "ip", worker->ip, "port", (int)worker->port, "service",
			 worker->service, "availability_zone",
			 worker->availability_zone, "vm", worker->vm);
}

static void on_roster_stored(void *data)
{
	struct owner *owner = data;
	GHashTableIter iter;
	gpointer value;

	if (owner->roster_dirty)
		return;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct worker *)value)->in_roster = true;
	own_plan_soon(owner);
}

/* Writes all known workers; none gets a task before it stands there, so that
 * a successor knows where to look even when the list leaves a worker out. */
static void roster_write(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;
	json_t *items;
	char *text;

	if (!owner->roster_dirty || !owner->roster_read)
		return;
	owner->roster_dirty = false;
	items = json_array();
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(items, roster_item(value));
	text = json_dumps(items, JSON_COMPACT);
	commit_put(owner->log, OWN_KEY_ROSTER, text, on_roster_stored, owner);
	free(text);
	json_decref(items);
}

/* A VM that makes all tasks fail does so under its next worker as well. */
void own_health_keep(struct owner *owner, const struct worker *worker)
{
	if (worker->vm)
		g_hash_table_insert(
			owner->vm_health, g_strdup(worker->vm),
			g_memdup2(&worker->health, sizeof(worker->health)));
}

static void health_load(struct owner *owner, struct worker *worker)
{
	const struct breaker *kept =
		worker->vm ? g_hash_table_lookup(owner->vm_health, worker->vm)
			   : NULL;

	if (kept)
		worker->health = *kept;
}

void own_worker_met(const struct owner *owner, struct worker *worker)
{
	worker->discovered_without_lease =
		!owner->ops->lease_is_valid(owner->data);
}

static struct worker *worker_add(struct owner *owner,
				 const struct adapter_entry *entry)
{
	struct worker *worker = worker_create(&owner->env, entry);

	health_load(owner, worker);
	own_worker_met(owner, worker);
	g_hash_table_insert(owner->workers, worker->id, worker);
	owner->roster_dirty = true;
	return worker;
}

static void on_entry(void *data, const struct adapter_entry *entry)
{
	struct owner *owner = data;
	struct worker *worker = g_hash_table_lookup(owner->workers, entry->id);

	if (!worker) {
		log_info("worker-listed", "%s at %s:%u, service %s", entry->id,
			 entry->ip, (unsigned int)entry->port, entry->service);
		worker_add(owner, entry);
		return;
	}
	if (entry->draining && !worker->draining)
		log_info("worker-drains", "%s, tasks %u", worker->id,
			 worker->tasks->len);
	worker_update(worker, entry);
}

static void unlisted_sweep(struct owner *owner)
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
		     (now_ms - worker->unlisted_since_ms < OWN_FORGET_MS ||
		      (owner->has_unknown && !worker->has_reported))))
			continue;
		log_info("worker-forgotten", "%s, not listed", worker->id);
		g_hash_table_iter_remove(&iter);
		owner->roster_dirty = true;
	}
}

/* Frees the tasks of silent workers whose leases have run out. */
static void lapsed_sweep(struct owner *owner)
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
		log_info("worker-lapsed",
			 "%s, silent for %" G_GUINT64_FORMAT " ms, tasks %u",
			 worker->id, now_ms - worker->unanswered_since_ms,
			 worker->tasks->len);
		owner->env.ops->on_ended(owner, worker);
	}
}

static uint32_t list_pause_ms(const struct owner *owner)
{
	uint32_t pause_ms = CLAMP(g_hash_table_size(owner->workers) *
					  OWN_LIST_MS_PER_WORKER,
				  OWN_LIST_MIN_MS, OWN_LIST_MAX_MS);
	uint32_t due_ms = own_fleet_due_in_ms(owner->fleet);

	return MIN(pause_ms, MAX(due_ms, OWN_LIST_ARRIVING_MS));
}

static void on_listed(void *data, enum err_kind err,
		      const struct platform_result *result)
{
	struct owner *owner = weak_ref_release(data);
	GHashTableIter iter;
	gpointer value;

	if (!owner)
		return;
	owner->listing = false;
	loop_timer_set(owner->config.loop, &owner->list_timer,
		       err == ERR_NONE ? list_pause_ms(owner)
				       : OWN_LIST_RETRY_MS);
	lapsed_sweep(owner);
	if (owner->has_unknown)
		own_roster_settle(owner);
	if (err != ERR_NONE)
		return;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct worker *)value)->listed = false;
	for (size_t i = 0; i < result->kv_count; i++) {
		const struct platform_kv *kv = &result->kvs[i];
		enum err_kind decoded = owner->config.platform->entry_decode(
			kv->key, kv->value, kv->value_len, on_entry, owner);

		if (decoded != ERR_NONE)
			log_debug("entry-ignored", "%s: %s", kv->key,
				  err_name(decoded));
	}
	owner->workers_read = true;
	unlisted_sweep(owner);
	roster_write(owner);
	own_plan_soon(owner);
}

void own_list_workers(struct owner *owner)
{
	if (owner->listing)
		return;
	owner->listing = true;
	platform_range(owner->config.store,
		       owner->config.platform->workers_prefix, true, on_listed,
		       weak_ref_acquire(owner->cell));
}

static void roster_item_take(struct owner *owner, const json_t *item)
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

	if (!id || !ip || !entry.service ||
	    g_hash_table_contains(owner->workers, id))
		return;
	g_strlcpy(entry.ip, ip, sizeof(entry.ip));
	worker = worker_add(owner, &entry);
	worker->listed = false;
	worker->unlisted_since_ms = loop_now_ms();
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
	owner->reading_roster = false;
	if (err != ERR_NONE) {
		own_read_again(owner, err);
		return;
	}
	owner->roster_read = true;
	if (result->kv_count > 0) {
		items = json_loadb(result->kvs[0].value,
				   result->kvs[0].value_len, 0, NULL);
		json_array_foreach(items, i, item)
			roster_item_take(owner, item);
		json_decref(items);
	}
	owner->roster_dirty = true;
	roster_write(owner);
}

void own_roster_read(struct owner *owner)
{
	if (owner->roster_read || owner->reading_roster)
		return;
	owner->reading_roster = true;
	platform_range(owner->config.store, OWN_KEY_ROSTER, false,
		       on_roster_read, weak_ref_acquire(owner->cell));
}

static void unknown_release(struct owner *owner)
{
	uint32_t released =
		own_tasks_restate(owner, JOB_TASK_UNKNOWN, JOB_TASK_WAITING);

	owner->has_unknown = false;
	log_info("takeover-settled",
		 "%u tasks wait again, %" G_GUINT64_FORMAT " ms after it began",
		 released, loop_now_ms() - owner->began_ms);
	own_plan_soon(owner);
}

void own_roster_settle(struct owner *owner)
{
	bool leases_over = loop_now_ms() >= earlier_leases_over_ms(owner);
	GHashTableIter iter;
	gpointer value;

	if (!owner->roster_read || !owner->workers_read ||
	    !owner_is_ready(owner))
		return;
	g_hash_table_iter_init(&iter, owner->workers);
	while (!leases_over && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (!worker->has_reported && !worker->ended)
			return;
	}
	unknown_release(owner);
}
