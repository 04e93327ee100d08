#include "slot.h"

#include <glib.h>
#include <string.h>

/* Spare slots are granted only while more than 1/8 of all slots is free. */
#define SLOT_SPARE_FREE_DIVISOR 8

/* Upper bound on the number of requests that is taken from a report. */
#define SLOT_DEMAND_MAX (1u << 20)

/* The owner's record of one holder. */
struct holder {
	uint64_t key;
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t version;
	uint64_t reported_ms;
	uint32_t in_use;
	/* requests that wait and spare slots wanted, both not granted yet */
	uint32_t waiting;
	uint32_t spare;
	uint32_t held_total;
	/* for each of the owner's VMs */
	uint32_t *held;
	bool *avoid;
	uint32_t sent_in_use_max;
	bool grant_due;
	/* in the current distribution no VM has a free slot for this holder */
	bool skipped;
};

struct slot_owner {
	uint64_t pool;
	struct slot_vm *vms;
	uint32_t vm_count;
	/* slots of each VM granted to all holders */
	uint32_t *granted;
	GPtrArray *holders;
	/* processes that may hold slots */
	GArray *possible_holders;
	/* possible holders that have not reported yet, during recovery */
	GArray *awaited;
	uint64_t last_run_ms;
	bool recovering;
	uint64_t recover_until_ms;
	bool contended;
	/* demand of all holders, as of the last distribution */
	uint64_t demand;
	/* slots of all ready VMs, as of the last distribution */
	uint32_t total;
};

static void holder_free(gpointer data)
{
	struct holder *holder = data;

	g_free(holder->held);
	g_free(holder->avoid);
	g_free(holder);
}

struct slot_owner *slot_owner_create(uint64_t pool, uint64_t now_ms)
{
	struct slot_owner *owner = g_new0(struct slot_owner, 1);

	owner->pool = pool;
	owner->holders = g_ptr_array_new_with_free_func(holder_free);
	owner->awaited = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	owner->possible_holders = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	owner->recovering = true;
	owner->recover_until_ms = now_ms + SLOT_OWNER_RECOVERY_MS;
	owner->last_run_ms = now_ms;
	return owner;
}

void slot_owner_destroy(struct slot_owner *owner)
{
	if (!owner)
		return;
	g_free(owner->vms);
	g_free(owner->granted);
	g_ptr_array_unref(owner->holders);
	g_array_unref(owner->awaited);
	g_array_unref(owner->possible_holders);
	g_free(owner);
}

static struct holder *holder_at(const struct slot_owner *owner, uint32_t index)
{
	return g_ptr_array_index(owner->holders, index);
}

static struct holder *holder_find(const struct slot_owner *owner, uint64_t key)
{
	for (guint i = 0; i < owner->holders->len; i++) {
		if (holder_at(owner, i)->key == key)
			return holder_at(owner, i);
	}
	return NULL;
}

static uint32_t vm_find(const struct slot_vm *vms, uint32_t count, uint64_t key)
{
	for (uint32_t i = 0; i < count; i++) {
		if (vms[i].key == key)
			return i;
	}
	return UINT32_MAX;
}

static void holder_set_held(struct slot_owner *owner, struct holder *holder,
			    uint32_t vm, uint32_t held)
{
	owner->granted[vm] += held - holder->held[vm];
	holder->held_total += held - holder->held[vm];
	holder->held[vm] = held;
}

/* Maps a holder's slots to a new list of VMs. */
static void holder_remap(const struct slot_owner *owner, struct holder *holder,
			 const struct slot_vm *vms, uint32_t count)
{
	uint32_t *held = g_new0(uint32_t, count + 1);
	bool *avoid = g_new0(bool, count + 1);

	holder->held_total = 0;
	for (uint32_t i = 0; i < count; i++) {
		uint32_t old = vm_find(owner->vms, owner->vm_count, vms[i].key);

		if (old == UINT32_MAX)
			continue;
		held[i] = holder->held[old];
		avoid[i] = holder->avoid[old];
		holder->held_total += held[i];
	}
	g_free(holder->held);
	g_free(holder->avoid);
	holder->held = held;
	holder->avoid = avoid;
}

void slot_owner_set_vms(struct slot_owner *owner, const struct slot_vm *vms,
			uint32_t count)
{
	count = MIN(count, SLOT_VMS_MAX);
	for (guint i = 0; i < owner->holders->len; i++)
		holder_remap(owner, holder_at(owner, i), vms, count);
	g_free(owner->vms);
	owner->vms = g_memdup2(vms, count * sizeof(*vms));
	owner->vm_count = count;
	g_free(owner->granted);
	owner->granted = g_new0(uint32_t, count + 1);
	for (guint i = 0; i < owner->holders->len; i++) {
		for (uint32_t vm = 0; vm < count; vm++)
			owner->granted[vm] += holder_at(owner, i)->held[vm];
	}
}

void slot_owner_set_members(struct slot_owner *owner, const uint64_t *members,
			    uint32_t count)
{
	g_array_set_size(owner->possible_holders, 0);
	g_array_append_vals(owner->possible_holders, members, count);
	if (!owner->recovering)
		return;
	g_array_set_size(owner->awaited, 0);
	for (uint32_t i = 0; i < count; i++) {
		if (!holder_find(owner, members[i]))
			g_array_append_val(owner->awaited, members[i]);
	}
	if (owner->awaited->len == 0)
		owner->recovering = false;
}

static void awaited_remove(struct slot_owner *owner, uint64_t member)
{
	for (guint i = 0; i < owner->awaited->len; i++) {
		if (g_array_index(owner->awaited, uint64_t, i) != member)
			continue;
		g_array_remove_index_fast(owner->awaited, i);
		if (owner->awaited->len == 0)
			owner->recovering = false;
		return;
	}
}

static uint32_t demand_of(const struct holder *holder)
{
	return holder->in_use + holder->waiting;
}

/* The holder with the fewest slots in proportion to its demand. */
static struct holder *neediest_holder(const struct slot_owner *owner,
				      bool spare)
{
	struct holder *best = NULL;

	for (guint i = 0; i < owner->holders->len; i++) {
		struct holder *holder = holder_at(owner, i);
		uint32_t need = spare ? holder->spare : holder->waiting;

		if (need == 0 || holder->skipped)
			continue;
		if (!best ||
		    (uint64_t)holder->held_total * demand_of(best) <
			    (uint64_t)best->held_total * demand_of(holder))
			best = holder;
	}
	return best;
}

/* The VM with the most free slots that a holder does not avoid. */
static uint32_t vm_with_most_free(const struct slot_owner *owner,
				  const struct holder *holder)
{
	uint32_t best = UINT32_MAX;
	uint32_t best_free = 0;

	for (uint32_t i = 0; i < owner->vm_count; i++) {
		uint32_t slots = owner->vms[i].slots;
		uint32_t granted = owner->granted[i];

		if (!owner->vms[i].ready || holder->avoid[i] ||
		    granted >= slots || slots - granted <= best_free)
			continue;
		best_free = slots - granted;
		best = i;
	}
	return best;
}

static void slots_sum(const struct slot_owner *owner, uint32_t *total,
		      uint32_t *free_slots)
{
	*total = 0;
	*free_slots = 0;
	for (uint32_t i = 0; i < owner->vm_count; i++) {
		uint32_t slots = owner->vms[i].slots;

		if (!owner->vms[i].ready)
			continue;
		*total += slots;
		if (owner->granted[i] < slots)
			*free_slots += slots - owner->granted[i];
	}
}

static void grant_waiting(struct slot_owner *owner)
{
	struct holder *holder;

	while ((holder = neediest_holder(owner, false))) {
		uint32_t vm = vm_with_most_free(owner, holder);

		if (vm == UINT32_MAX) {
			holder->skipped = true;
			continue;
		}
		holder_set_held(owner, holder, vm, holder->held[vm] + 1);
		holder->waiting--;
		/* A request with a granted slot counts as in use. */
		holder->in_use++;
		holder->grant_due = true;
	}
}

static void grant_spare(struct slot_owner *owner)
{
	struct holder *holder;
	uint32_t free_slots;

	slots_sum(owner, &owner->total, &free_slots);
	while (free_slots > owner->total / SLOT_SPARE_FREE_DIVISOR &&
	       (holder = neediest_holder(owner, true))) {
		uint32_t vm = vm_with_most_free(owner, holder);

		if (vm == UINT32_MAX) {
			holder->skipped = true;
			continue;
		}
		holder_set_held(owner, holder, vm, holder->held[vm] + 1);
		holder->spare--;
		free_slots--;
		holder->grant_due = true;
	}
}

/*
 * Limit on a holder's slots in use: while requests wait, its share of all slots
 * in proportion to its demand.
 */
static uint32_t in_use_max_of(const struct slot_owner *owner,
			      const struct holder *holder)
{
	if (!owner->contended)
		return SLOT_IN_USE_UNLIMITED;
	return MAX(1, (uint32_t)(((uint64_t)owner->total * demand_of(holder) +
				  owner->demand - 1) /
				 owner->demand));
}

/*
 * Sends a lower limit to holders with more than their share, so that they
 * return slots. A limit is sent only if it is more than a quarter below the one
 * sent last.
 */
static void limits_update(struct slot_owner *owner)
{
	owner->contended = false;
	owner->demand = 0;
	for (guint i = 0; i < owner->holders->len; i++) {
		const struct holder *holder = holder_at(owner, i);

		owner->demand += demand_of(holder);
		owner->contended |= holder->waiting > 0;
	}
	for (guint i = 0; owner->contended && i < owner->holders->len; i++) {
		struct holder *holder = holder_at(owner, i);
		uint32_t in_use_max = in_use_max_of(owner, holder);

		if (holder->held_total > in_use_max &&
		    in_use_max < holder->sent_in_use_max -
					 holder->sent_in_use_max / 4)
			holder->grant_due = true;
	}
}

static void distribute(struct slot_owner *owner)
{
	if (owner->recovering)
		return;
	for (guint i = 0; i < owner->holders->len; i++)
		holder_at(owner, i)->skipped = false;
	grant_waiting(owner);
	grant_spare(owner);
	limits_update(owner);
}

/* After a pause longer than its leases, an owner's records are outdated. */
static void recover_after_pause(struct slot_owner *owner, uint64_t now_ms)
{
	bool paused = now_ms - owner->last_run_ms >= SLOT_OWNER_LEASE_MS;

	owner->last_run_ms = now_ms;
	if (!paused)
		return;
	owner->recovering = true;
	owner->recover_until_ms = now_ms + SLOT_OWNER_RECOVERY_MS;
	g_array_set_size(owner->awaited, 0);
	g_array_append_vals(owner->awaited, owner->possible_holders->data,
			    owner->possible_holders->len);
}

static struct holder *holder_find_or_add(struct slot_owner *owner, uint64_t key)
{
	struct holder *holder = holder_find(owner, key);

	if (holder)
		return holder;
	holder = g_new0(struct holder, 1);
	holder->key = key;
	holder->held = g_new0(uint32_t, owner->vm_count + 1);
	holder->avoid = g_new0(bool, owner->vm_count + 1);
	holder->sent_in_use_max = SLOT_IN_USE_UNLIMITED;
	g_ptr_array_add(owner->holders, holder);
	return holder;
}

static void holder_update(struct slot_owner *owner, struct holder *holder,
			  const struct slot_report *report)
{
	for (uint32_t i = 0; i < owner->vm_count; i++) {
		holder_set_held(owner, holder, i, 0);
		holder->avoid[i] = false;
	}
	for (uint32_t i = 0; i < MIN(report->count, SLOT_VMS_MAX); i++) {
		const struct slot_holding *holding = &report->holdings[i];
		uint32_t vm = vm_find(owner->vms, owner->vm_count, holding->vm);

		if (vm == UINT32_MAX)
			continue;
		holder_set_held(owner, holder, vm,
				MIN(holding->held, owner->vms[vm].slots));
		holder->avoid[vm] = holding->avoid;
	}
	holder->incarnation = report->incarnation;
	holder->sequence = report->sequence;
	holder->version = 0;
	holder->in_use = MIN(report->in_use, SLOT_DEMAND_MAX);
	holder->waiting = MIN(report->waiting, SLOT_DEMAND_MAX);
	holder->spare = MIN(report->spare, SLOT_SPARE_MAX);
}

void slot_owner_record_report(struct slot_owner *owner,
			      const struct slot_report *report, uint64_t now_ms)
{
	struct holder *holder = holder_find_or_add(owner, report->holder);

	recover_after_pause(owner, now_ms);
	if (report->incarnation < holder->incarnation ||
	    (report->incarnation == holder->incarnation &&
	     report->sequence < holder->sequence))
		return;
	holder->reported_ms = now_ms;
	holder->grant_due = true;
	if (report->incarnation > holder->incarnation ||
	    report->sequence > holder->sequence)
		holder_update(owner, holder, report);
	awaited_remove(owner, report->holder);
	distribute(owner);
}

void slot_owner_tick(struct slot_owner *owner, uint64_t now_ms)
{
	recover_after_pause(owner, now_ms);
	if (owner->recovering && now_ms >= owner->recover_until_ms)
		owner->recovering = false;
	for (guint i = owner->holders->len; i > 0; i--) {
		struct holder *holder = holder_at(owner, i - 1);

		if (now_ms - holder->reported_ms < SLOT_OWNER_LEASE_MS)
			continue;
		for (uint32_t vm = 0; vm < owner->vm_count; vm++)
			holder_set_held(owner, holder, vm, 0);
		g_ptr_array_remove_index_fast(owner->holders, i - 1);
	}
	distribute(owner);
}

static void grant_fill(const struct slot_owner *owner,
		       const struct holder *holder, struct slot_grant *grant)
{
	grant->pool = owner->pool;
	grant->holder = holder->key;
	grant->incarnation = holder->incarnation;
	grant->sequence = holder->sequence;
	grant->version = holder->version;
	grant->recovering = owner->recovering;
	grant->in_use_max = holder->sent_in_use_max;
	grant->count = 0;
	for (uint32_t i = 0; i < owner->vm_count; i++) {
		if (holder->held[i] == 0)
			continue;
		grant->holdings[grant->count++] =
			(struct slot_holding){ .vm = owner->vms[i].key,
					       .held = holder->held[i] };
	}
}

bool slot_owner_next_grant(struct slot_owner *owner, struct slot_grant *grant)
{
	for (guint i = 0; i < owner->holders->len; i++) {
		struct holder *holder = holder_at(owner, i);

		if (!holder->grant_due)
			continue;
		holder->grant_due = false;
		holder->version++;
		holder->sent_in_use_max = in_use_max_of(owner, holder);
		grant_fill(owner, holder, grant);
		return true;
	}
	return false;
}

struct slot_vm *slot_owner_vms(struct slot_owner *owner, uint32_t *count)
{
	*count = owner->vm_count;
	return owner->vms;
}

uint32_t slot_owner_granted_slots(const struct slot_owner *owner, uint64_t vm)
{
	uint32_t index = vm_find(owner->vms, owner->vm_count, vm);

	return index == UINT32_MAX ? 0 : owner->granted[index];
}
