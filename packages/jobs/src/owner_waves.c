#include <jansson.h>
#include <string.h>

#include "log.h"
#include "owner_fleet.h"

/* Prefix of the record of each wave's progress, followed by its number. */
#define OWN_PREFIX_WAVE "/sassafrascart/job-wave/"

/* At most one part in so many of a pool is taken for waves at once. */
#define OWN_POOL_PART 3

void own_wave_free(gpointer data)
{
	struct own_wave *wave = data;

	g_ptr_array_unref(wave->vms);
	g_hash_table_unref(wave->done);
	g_free(wave);
}

static char *wave_key(const struct own_wave *wave)
{
	return g_strdup_printf(OWN_PREFIX_WAVE "%" G_GUINT64_FORMAT,
			       wave->number);
}

static void wave_store(struct own_fleet *fleet, const struct own_wave *wave)
{
	g_autofree char *key = wave_key(wave);
	json_t *done = json_array();
	GHashTableIter iter;
	gpointer name;
	char *text;

	g_hash_table_iter_init(&iter, wave->done);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		json_array_append_new(done, json_string(name));
	text = json_dumps(done, JSON_COMPACT);
	commit_put(fleet->owner->log, key, text, NULL, NULL);
	free(text);
	json_decref(done);
}

static void wave_tell(struct own_fleet *fleet, const struct own_wave *wave,
		      bool succeeded)
{
	g_autofree char *key = NULL;
	g_autofree char *value = NULL;

	fleet->owner->config.platform->wave_status_encode(
		wave->number, succeeded, &key, &value);
	commit_put(fleet->owner->log, key, value, NULL, NULL);
}

/* Reads of a wave's progress name the fleet and the wave by number. */
struct wave_read {
	struct owner *owner;
	struct weak_ref *cell;
	uint64_t number;
};

static void on_progress(void *data, enum err_kind err,
			const struct platform_result *result)
{
	struct wave_read *read = data;
	struct owner *owner = weak_ref_release(read->cell);
	struct own_wave *wave =
		owner ? g_hash_table_lookup(owner->fleet->waves, &read->number)
		      : NULL;
	json_t *done;
	json_t *name;
	size_t i;

	g_free(read);
	if (!wave)
		return;
	if (err != ERR_NONE)
		log_warning("wave-progress-unread",
			    "wave %" G_GUINT64_FORMAT ": %s", wave->number,
			    err_name(err));
	if (err != ERR_NONE || result->kv_count == 0) {
		wave->told_running = true;
		wave_tell(owner->fleet, wave, false);
		return;
	}
	done = json_loadb(result->kvs[0].value, result->kvs[0].value_len, 0,
			  NULL);
	json_array_foreach(done, i, name)
	{
		if (json_is_string(name))
			g_hash_table_add(wave->done,
					 g_strdup(json_string_value(name)));
	}
	json_decref(done);
	wave->told_running = true;
}

static void progress_read(struct own_fleet *fleet, const struct own_wave *wave)
{
	struct wave_read *read = g_new0(struct wave_read, 1);
	g_autofree char *key = wave_key(wave);

	read->cell = weak_ref_acquire(fleet->owner->cell);
	read->number = wave->number;
	platform_range(fleet->owner->config.store, key, false, on_progress,
		       read);
}

static void on_wave(void *data, const struct adapter_wave *asked)
{
	struct own_fleet *fleet = data;
	struct own_wave *wave;

	if (g_hash_table_contains(fleet->waves, &asked->number))
		return;
	wave = g_new0(struct own_wave, 1);
	wave->number = asked->number;
	wave->due_ms = loop_now_ms() + asked->duration_ms;
	wave->most = asked->max_parallel;
	wave->vms = g_ptr_array_new_with_free_func(g_free);
	wave->done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (const char **vm = asked->vms; *vm; vm++)
		g_ptr_array_add(wave->vms, g_strdup(*vm));
	log_info("wave-asked",
		 "wave %" G_GUINT64_FORMAT ": %u VMs, %u at once, within "
		 "%" G_GUINT64_FORMAT " ms",
		 wave->number, wave->vms->len, wave->most, asked->duration_ms);
	g_hash_table_insert(fleet->waves, &wave->number, wave);
	progress_read(fleet, wave);
}

static void item_take(struct own_fleet *fleet, const struct platform_kv *kv)
{
	enum err_kind err;

	if (kv->deleted)
		return;
	err = fleet->owner->config.platform->wave_decode(
		kv->key, kv->value, kv->value_len, on_wave, fleet);
	if (err != ERR_NONE)
		log_warning("wave-malformed", "%s", kv->key);
}

static void on_read(void *data, const struct platform_kv *kvs, size_t count)
{
	for (size_t i = 0; i < count; i++)
		item_take(data, &kvs[i]);
}

static void on_change(void *data, const struct platform_kv *kv)
{
	item_take(data, kv);
}

const struct watcher_ops own_waves_ops = {
	.on_snapshot = on_read,
	.on_change = on_change,
};

static void wave_end_check(struct own_fleet *fleet, struct own_wave *wave)
{
	if (wave->finished || g_hash_table_size(wave->done) < wave->vms->len)
		return;
	wave->finished = true;
	log_info("wave-succeeded", "wave %" G_GUINT64_FORMAT, wave->number);
	wave_tell(fleet, wave, true);
}

void own_wave_vm_done(struct own_fleet *fleet, struct own_vm *vm)
{
	struct own_wave *wave = vm->wave;

	if (!wave || !g_hash_table_add(wave->done, g_strdup(vm->name)))
		return;
	log_info("wave-vm-done", "wave %" G_GUINT64_FORMAT ": %s, %u of %u",
		 wave->number, vm->name, g_hash_table_size(wave->done),
		 wave->vms->len);
	wave_store(fleet, wave);
}

/* How much work a VM holds; the emptiest go first. */
static int64_t vm_load(struct own_fleet *fleet, const struct own_vm *vm)
{
	const struct worker *worker = own_fleet_worker(fleet, vm);
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

/* Tells whether another VM of a pool may be taken: the tasks of a lasting step
 * need workers of their own, and those that are left must do for them. */
static bool pool_can_spare(struct own_fleet *fleet, const char *pool)
{
	uint32_t open = 0;
	uint32_t all = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct own_vm *vm = value;

		if (g_strcmp0(vm->pool, pool) != 0)
			continue;
		all++;
		open += vm->phase != OWN_VM_SETTLED ||
			vm->state != ADAPTER_VM_UP;
	}
	return open == 0 || open < all / OWN_POOL_PART;
}

/* The VM of a wave that is maintained next, NULL for none now. */
static struct own_vm *next_find(struct own_fleet *fleet,
				const struct own_wave *wave)
{
	struct own_vm *best = NULL;
	int64_t best_load = 0;

	for (guint i = 0; i < wave->vms->len; i++) {
		const char *name = g_ptr_array_index(wave->vms, i);
		struct own_vm *vm = g_hash_table_lookup(fleet->vms, name);
		int64_t load;

		if (!vm || vm->phase != OWN_VM_SETTLED ||
		    vm->state != ADAPTER_VM_UP ||
		    loop_now_ms() < vm->not_before_ms ||
		    g_hash_table_contains(wave->done, name) ||
		    !pool_can_spare(fleet, vm->pool))
			continue;
		load = vm_load(fleet, vm);
		if (best && load >= best_load)
			continue;
		best = vm;
		best_load = load;
	}
	return best;
}

/* VMs of a wave that are being emptied or maintained; a VM that is not in the
 * list any more has left for good. */
static uint32_t wave_open(struct own_fleet *fleet, struct own_wave *wave)
{
	uint32_t open = 0;

	for (guint i = 0; i < wave->vms->len; i++) {
		const char *name = g_ptr_array_index(wave->vms, i);
		const struct own_vm *vm = g_hash_table_lookup(fleet->vms, name);

		if (!vm)
			g_hash_table_add(wave->done, g_strdup(name));
		else if ((vm->wave == wave && vm->phase != OWN_VM_SETTLED) ||
			 vm->state == ADAPTER_VM_MAINTENANCE)
			open++;
	}
	return open;
}

static void wave_run(struct own_fleet *fleet, struct own_wave *wave)
{
	uint32_t open = wave_open(fleet, wave);

	if (open == 0)
		wave_end_check(fleet, wave);
	for (; open < wave->most; open++) {
		struct own_vm *vm = next_find(fleet, wave);

		if (!vm)
			break;
		own_fleet_empty(fleet, vm, wave, NULL);
	}
}

void own_waves_run(struct own_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->waves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct own_wave *wave = value;

		if (wave->told_running && !wave->finished)
			wave_run(fleet, wave);
	}
}
