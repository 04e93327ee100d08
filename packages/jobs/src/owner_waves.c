#include <jansson.h>
#include <string.h>

#include "log.h"
#include "owner_fleet.h"

/* Prefix of the store keys of the waves' progress, followed by the number of
 * the wave. */
#define OWNER_PREFIX_WAVE "/sassafrascart/job-wave/"

/* A wave may drain a VM of a pool while no other VM of the pool is unavailable,
 * or while less than one in this many of its VMs is. */
#define OWNER_POOL_DRAIN_DIVISOR 3
/* A VM that has been missing from the lists of VMs for this long was removed.
 * One that is down may be missing until it restarts. */
#define OWNER_WAVE_VM_REMOVED_MS 10000

void owner_wave_free(gpointer data)
{
	struct owner_wave *wave = data;

	g_ptr_array_unref(wave->vms);
	g_hash_table_unref(wave->done_vms);
	g_hash_table_unref(wave->missing_since_ms);
	g_free(wave);
}

static char *wave_key(const struct owner_wave *wave)
{
	return g_strdup_printf(OWNER_PREFIX_WAVE "%" G_GUINT64_FORMAT,
			       wave->number);
}

static void wave_progress_store(struct owner_fleet *fleet,
				const struct owner_wave *wave)
{
	g_autofree char *key = wave_key(wave);
	json_t *done = json_array();
	GHashTableIter iter;
	gpointer name;
	char *text;

	g_hash_table_iter_init(&iter, wave->done_vms);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		json_array_append_new(done, json_string(name));
	text = json_dumps(done, JSON_COMPACT);
	commit_put(fleet->owner->log, key, text, NULL, NULL);
	free(text);
	json_decref(done);
}

static void wave_status_write(struct owner_fleet *fleet,
			      const struct owner_wave *wave, bool succeeded)
{
	g_autofree char *key = NULL;
	g_autofree char *value = NULL;

	fleet->owner->config.platform->wave_status_encode(
		wave->number, succeeded, &key, &value);
	commit_put(fleet->owner->log, key, value, NULL, NULL);
}

/* A read of a wave's progress in flight. */
struct wave_read {
	struct owner *owner;
	struct weak_ref *owner_ref;
	uint64_t number;
};

static void on_progress_read(void *data, enum err_kind err,
			     const struct platform_result *result)
{
	struct wave_read *read = data;
	struct owner *owner = weak_ref_release(read->owner_ref);
	struct owner_wave *wave =
		owner ? g_hash_table_lookup(owner->fleet->waves, &read->number)
		      : NULL;
	json_t *done;
	json_t *name;
	size_t i;

	g_free(read);
	if (!wave)
		return;
	wave->progress_loading = false;
	if (err != ERR_NONE) {
		log_warning("wave-progress-read-failed",
			    "progress of wave %" G_GUINT64_FORMAT
			    " cannot be read, retrying: %s",
			    wave->number, err_name(err));
		return;
	}
	if (result->kv_count == 0) {
		wave->progress_loaded = true;
		wave_status_write(owner->fleet, wave, false);
		return;
	}
	done = json_loadb(result->kvs[0].value, result->kvs[0].value_len, 0,
			  NULL);
	json_array_foreach(done, i, name)
	{
		if (json_is_string(name))
			g_hash_table_add(wave->done_vms,
					 g_strdup(json_string_value(name)));
	}
	json_decref(done);
	wave->progress_loaded = true;
}

static void wave_progress_load(struct owner_fleet *fleet,
			       struct owner_wave *wave)
{
	struct wave_read *read = g_new0(struct wave_read, 1);
	g_autofree char *key = wave_key(wave);

	read->owner_ref = weak_ref_acquire(fleet->owner->weak_ref);
	read->number = wave->number;
	wave->progress_loading = true;
	platform_range(fleet->owner->config.store, key, false, on_progress_read,
		       read);
}

static void on_wave(void *data, const struct adapter_wave *requested)
{
	struct owner_fleet *fleet = data;
	struct owner_wave *wave;

	if (g_hash_table_contains(fleet->waves, &requested->number))
		return;
	wave = g_new0(struct owner_wave, 1);
	wave->number = requested->number;
	wave->deadline_ms = loop_now_ms() + requested->duration_ms;
	wave->max_parallel = requested->max_parallel;
	wave->vms = g_ptr_array_new_with_free_func(g_free);
	wave->done_vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	wave->missing_since_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (const char **vm = requested->vms; *vm; vm++)
		g_ptr_array_add(wave->vms, g_strdup(*vm));
	log_info("wave-requested",
		 "wave %" G_GUINT64_FORMAT
		 " requested: %u VMs, %u at once, within "
		 "%" G_GUINT64_FORMAT " ms",
		 wave->number, wave->vms->len, wave->max_parallel,
		 requested->duration_ms);
	g_hash_table_insert(fleet->waves, &wave->number, wave);
	wave_progress_load(fleet, wave);
}

static void wave_item_apply(struct owner_fleet *fleet,
			    const struct platform_kv *kv)
{
	enum err_kind err;

	if (kv->deleted)
		return;
	err = fleet->owner->config.platform->wave_decode(
		kv->key, kv->value, kv->value_len, on_wave, fleet);
	if (err != ERR_NONE)
		log_warning("wave-malformed",
			    "wave at key %s cannot be parsed and is ignored",
			    kv->key);
}

static void on_read(void *data, const struct platform_kv *kvs, size_t count)
{
	for (size_t i = 0; i < count; i++)
		wave_item_apply(data, &kvs[i]);
}

static void on_change(void *data, const struct platform_kv *kv)
{
	wave_item_apply(data, kv);
}

const struct watcher_ops owner_waves_ops = {
	.on_snapshot = on_read,
	.on_change = on_change,
};

/* Returns whether a VM that is not in the lists was removed for good. */
static bool vm_is_removed(struct owner_wave *wave, const char *name)
{
	uint64_t now_ms = loop_now_ms();
	const uint64_t *since_ms =
		g_hash_table_lookup(wave->missing_since_ms, name);

	if (!since_ms) {
		g_hash_table_insert(wave->missing_since_ms, g_strdup(name),
				    g_memdup2(&now_ms, sizeof(now_ms)));
		return false;
	}
	return now_ms - *since_ms >= OWNER_WAVE_VM_REMOVED_MS;
}

/* Returns whether each VM of a wave is maintained or was removed. */
static bool wave_is_done(struct owner_fleet *fleet, struct owner_wave *wave)
{
	bool done = true;

	for (guint i = 0; i < wave->vms->len; i++) {
		const char *name = g_ptr_array_index(wave->vms, i);

		if (g_hash_table_contains(fleet->vms, name)) {
			g_hash_table_remove(wave->missing_since_ms, name);
			done &= g_hash_table_contains(wave->done_vms, name);
		} else if (!g_hash_table_contains(wave->done_vms, name)) {
			done &= vm_is_removed(wave, name);
		}
	}
	return done;
}

static void wave_finish(struct owner_fleet *fleet, struct owner_wave *wave)
{
	wave->finished = true;
	log_info("wave-succeeded",
		 "wave %" G_GUINT64_FORMAT ": all VMs are done", wave->number);
	wave_status_write(fleet, wave, true);
}

void owner_wave_mark_vm_done(struct owner_fleet *fleet, struct owner_vm *vm)
{
	struct owner_wave *wave = vm->wave;

	if (!wave || !g_hash_table_add(wave->done_vms, g_strdup(vm->name)))
		return;
	log_info("wave-vm-done",
		 "wave %" G_GUINT64_FORMAT ": VM %s is done, %u of %u",
		 wave->number, vm->name, g_hash_table_size(wave->done_vms),
		 wave->vms->len);
	wave_progress_store(fleet, wave);
}

/* Returns how loaded a VM is: the VMs with the least load are drained first. */
static int64_t vm_load(struct owner_fleet *fleet, const struct owner_vm *vm)
{
	const struct worker *worker = owner_vm_worker(fleet, vm);
	int64_t load = 0;

	if (!worker)
		return 0;
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		load += 1 + task->group->step->need.cpu_milli;
	}
	return load;
}

/* Returns whether another VM of a pool may become unavailable. The limit keeps
 * enough workers for steps whose long-running tasks must be on different
 * workers.
 */
static bool pool_allows_drain(struct owner_fleet *fleet, const char *pool)
{
	uint32_t unavailable = 0;
	uint32_t total = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct owner_vm *vm = value;

		if (g_strcmp0(vm->pool, pool) != 0)
			continue;
		total++;
		unavailable += vm->phase != OWNER_VM_STEADY ||
			       vm->state != ADAPTER_VM_UP;
	}
	return unavailable == 0 ||
	       unavailable < total / OWNER_POOL_DRAIN_DIVISOR;
}

/* Selects the VM of a wave to be maintained next, NULL if none can be now. */
static struct owner_vm *next_vm_select(struct owner_fleet *fleet,
				       const struct owner_wave *wave)
{
	struct owner_vm *best = NULL;
	int64_t best_load = 0;

	for (guint i = 0; i < wave->vms->len; i++) {
		const char *name = g_ptr_array_index(wave->vms, i);
		struct owner_vm *vm = g_hash_table_lookup(fleet->vms, name);
		int64_t load;

		if (!vm || vm->phase != OWNER_VM_STEADY ||
		    vm->state != ADAPTER_VM_UP ||
		    loop_now_ms() < vm->backoff_until_ms ||
		    g_hash_table_contains(wave->done_vms, name) ||
		    !owner_intents_allow_operation(fleet, vm) ||
		    !pool_allows_drain(fleet, vm->pool))
			continue;
		load = vm_load(fleet, vm);
		if (best && load >= best_load)
			continue;
		best = vm;
		best_load = load;
	}
	return best;
}

/* Counts the VMs of a wave that are drained or maintained, or that a late
 * request of an earlier owner may still take. */
static uint32_t wave_count_in_progress(struct owner_fleet *fleet,
				       const struct owner_wave *wave)
{
	uint32_t in_progress = 0;

	for (guint i = 0; i < wave->vms->len; i++) {
		const char *name = g_ptr_array_index(wave->vms, i);
		const struct owner_vm *vm =
			g_hash_table_lookup(fleet->vms, name);

		if (vm && ((vm->wave == wave && vm->phase != OWNER_VM_STEADY) ||
			   vm->state == ADAPTER_VM_MAINTENANCE ||
			   (owner_intents_may_be_under_way(fleet, name) &&
			    !g_hash_table_contains(wave->done_vms, name))))
			in_progress++;
	}
	return in_progress;
}

static void wave_advance(struct owner_fleet *fleet, struct owner_wave *wave)
{
	uint32_t in_progress = wave_count_in_progress(fleet, wave);

	if (wave_is_done(fleet, wave) && in_progress == 0)
		wave_finish(fleet, wave);
	for (; in_progress < wave->max_parallel; in_progress++) {
		struct owner_vm *vm = next_vm_select(fleet, wave);

		if (!vm)
			break;
		owner_vm_drain(fleet, vm, wave, NULL);
	}
}

void owner_waves_advance(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_wave *wave = value;

		if (!wave->progress_loaded && !wave->progress_loading)
			wave_progress_load(fleet, wave);
		if (wave->progress_loaded && !wave->finished)
			wave_advance(fleet, wave);
	}
}
