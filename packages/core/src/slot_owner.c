#include "slot.h"

#include <glib.h>
#include <string.h>

/* Spare slots are granted only while one in this many of all is free. */
#define SLOT_SPARE_FREE_DIVISOR 8

/* Largest number of requests that a report is believed to speak of. */
#define SLOT_DEMAND_MAX (1u << 20)

/* What the owner knows of one holder. */
struct ledger {
	uint64_t key;
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t version;
	uint64_t heard_ms;
	uint32_t in_use;
	/* requests and spare slots not granted yet */
	uint32_t waiting;
	uint32_t spare;
	uint32_t held_total;
	/* for each of the owner's VMs */
	uint32_t *held;
	bool *avoid;
	uint32_t told_keep;
	bool must_send;
	/* no VM has a slot for it, within one distribution */
	bool passed_over;
};

struct slot_owner {
	uint64_t pool;
	struct slot_vm *vms;
	uint32_t vm_count;
	/* slots of each VM granted to all holders */
	uint32_t *granted;
	GPtrArray *ledgers;
	/* processes that may hold slots; those yet to report, while learning */
	GArray *everyone;
	GArray *awaited;
	uint64_t awake_ms;
	bool learning;
	uint64_t learn_until_ms;
	bool contended;
	/* of all holders, and slots of ready VMs, as of the last distribution
	 */
	uint64_t demand;
	uint32_t total;
};

static void ledger_free(gpointer data)
{
	struct ledger *ledger = data;

	g_free(ledger->held);
	g_free(ledger->avoid);
	g_free(ledger);
}

struct slot_owner *slot_owner_create(uint64_t pool, uint64_t now_ms)
{
	struct slot_owner *owner = g_new0(struct slot_owner, 1);

	owner->pool = pool;
	owner->ledgers = g_ptr_array_new_with_free_func(ledger_free);
	owner->awaited = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	owner->everyone = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	owner->learning = true;
	owner->learn_until_ms = now_ms + SLOT_OWNER_RECOVERY_MS;
	owner->awake_ms = now_ms;
	return owner;
}

void slot_owner_destroy(struct slot_owner *owner)
{
	if (!owner)
		return;
	g_free(owner->vms);
	g_free(owner->granted);
	g_ptr_array_unref(owner->ledgers);
	g_array_unref(owner->awaited);
	g_array_unref(owner->everyone);
	g_free(owner);
}

static struct ledger *ledger_at(const struct slot_owner *owner, uint32_t index)
{
	return g_ptr_array_index(owner->ledgers, index);
}

static struct ledger *ledger_find(const struct slot_owner *owner, uint64_t key)
{
	for (guint i = 0; i < owner->ledgers->len; i++) {
		if (ledger_at(owner, i)->key == key)
			return ledger_at(owner, i);
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

static void ledger_hold(struct slot_owner *owner, struct ledger *ledger,
			uint32_t vm, uint32_t held)
{
	owner->granted[vm] += held - ledger->held[vm];
	ledger->held_total += held - ledger->held[vm];
	ledger->held[vm] = held;
}

/* Moves a ledger to another list of VMs. */
static void ledger_remap(const struct slot_owner *owner, struct ledger *ledger,
			 const struct slot_vm *vms, uint32_t count)
{
	uint32_t *held = g_new0(uint32_t, count + 1);
	bool *avoid = g_new0(bool, count + 1);

	ledger->held_total = 0;
	for (uint32_t i = 0; i < count; i++) {
		uint32_t old = vm_find(owner->vms, owner->vm_count, vms[i].key);

		if (old == UINT32_MAX)
			continue;
		held[i] = ledger->held[old];
		avoid[i] = ledger->avoid[old];
		ledger->held_total += held[i];
	}
	g_free(ledger->held);
	g_free(ledger->avoid);
	ledger->held = held;
	ledger->avoid = avoid;
}

void slot_owner_set_vms(struct slot_owner *owner, const struct slot_vm *vms,
			uint32_t count)
{
	count = MIN(count, SLOT_VMS_MAX);
	for (guint i = 0; i < owner->ledgers->len; i++)
		ledger_remap(owner, ledger_at(owner, i), vms, count);
	g_free(owner->vms);
	owner->vms = g_memdup2(vms, count * sizeof(*vms));
	owner->vm_count = count;
	g_free(owner->granted);
	owner->granted = g_new0(uint32_t, count + 1);
	for (guint i = 0; i < owner->ledgers->len; i++) {
		for (uint32_t vm = 0; vm < count; vm++)
			owner->granted[vm] += ledger_at(owner, i)->held[vm];
	}
}

void slot_owner_set_members(struct slot_owner *owner, const uint64_t *members,
			    uint32_t count)
{
	g_array_set_size(owner->everyone, 0);
	g_array_append_vals(owner->everyone, members, count);
	if (!owner->learning)
		return;
	g_array_set_size(owner->awaited, 0);
	for (uint32_t i = 0; i < count; i++) {
		if (!ledger_find(owner, members[i]))
			g_array_append_val(owner->awaited, members[i]);
	}
	if (owner->awaited->len == 0)
		owner->learning = false;
}

static void learned_from(struct slot_owner *owner, uint64_t member)
{
	for (guint i = 0; i < owner->awaited->len; i++) {
		if (g_array_index(owner->awaited, uint64_t, i) != member)
			continue;
		g_array_remove_index_fast(owner->awaited, i);
		if (owner->awaited->len == 0)
			owner->learning = false;
		return;
	}
}

static uint32_t demand_of(const struct ledger *ledger)
{
	return ledger->in_use + ledger->waiting;
}

/* The holder that has least in proportion to its demand. */
static struct ledger *neediest(const struct slot_owner *owner, bool spare)
{
	struct ledger *best = NULL;

	for (guint i = 0; i < owner->ledgers->len; i++) {
		struct ledger *ledger = ledger_at(owner, i);
		uint32_t need = spare ? ledger->spare : ledger->waiting;

		if (need == 0 || ledger->passed_over)
			continue;
		if (!best ||
		    (uint64_t)ledger->held_total * demand_of(best) <
			    (uint64_t)best->held_total * demand_of(ledger))
			best = ledger;
	}
	return best;
}

/* The VM with most free slots of those that suit a holder. */
static uint32_t freest_vm(const struct slot_owner *owner,
			  const struct ledger *ledger)
{
	uint32_t best = UINT32_MAX;
	uint32_t best_free = 0;

	for (uint32_t i = 0; i < owner->vm_count; i++) {
		uint32_t slots = owner->vms[i].slots;
		uint32_t granted = owner->granted[i];

		if (!owner->vms[i].ready || ledger->avoid[i] ||
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
	struct ledger *ledger;

	while ((ledger = neediest(owner, false))) {
		uint32_t vm = freest_vm(owner, ledger);

		if (vm == UINT32_MAX) {
			ledger->passed_over = true;
			continue;
		}
		ledger_hold(owner, ledger, vm, ledger->held[vm] + 1);
		ledger->waiting--;
		/* A granted request counts as in use from here on. */
		ledger->in_use++;
		ledger->must_send = true;
	}
}

static void grant_spare(struct slot_owner *owner)
{
	struct ledger *ledger;
	uint32_t free_slots;

	slots_sum(owner, &owner->total, &free_slots);
	while (free_slots > owner->total / SLOT_SPARE_FREE_DIVISOR &&
	       (ledger = neediest(owner, true))) {
		uint32_t vm = freest_vm(owner, ledger);

		if (vm == UINT32_MAX) {
			ledger->passed_over = true;
			continue;
		}
		ledger_hold(owner, ledger, vm, ledger->held[vm] + 1);
		ledger->spare--;
		free_slots--;
		ledger->must_send = true;
	}
}

/* Share of all slots in proportion to demand while requests wait. */
static uint32_t keep_of(const struct slot_owner *owner,
			const struct ledger *ledger)
{
	if (!owner->contended)
		return SLOT_IN_USE_UNLIMITED;
	return MAX(1, (uint32_t)(((uint64_t)owner->total * demand_of(ledger) +
				  owner->demand - 1) /
				 owner->demand));
}

/* Asks those that hold clearly more than their part to hand slots back. */
static void recall(struct slot_owner *owner)
{
	owner->contended = false;
	owner->demand = 0;
	for (guint i = 0; i < owner->ledgers->len; i++) {
		const struct ledger *ledger = ledger_at(owner, i);

		owner->demand += demand_of(ledger);
		owner->contended |= ledger->waiting > 0;
	}
	for (guint i = 0; owner->contended && i < owner->ledgers->len; i++) {
		struct ledger *ledger = ledger_at(owner, i);
		uint32_t keep = keep_of(owner, ledger);

		if (ledger->held_total > keep &&
		    keep < ledger->told_keep - ledger->told_keep / 4)
			ledger->must_send = true;
	}
}

static void distribute(struct slot_owner *owner)
{
	if (owner->learning)
		return;
	for (guint i = 0; i < owner->ledgers->len; i++)
		ledger_at(owner, i)->passed_over = false;
	grant_waiting(owner);
	grant_spare(owner);
	recall(owner);
}

/* After a pause longer than its leases an owner knows nothing for certain. */
static void pause_check(struct slot_owner *owner, uint64_t now_ms)
{
	bool paused = now_ms - owner->awake_ms >= SLOT_OWNER_LEASE_MS;

	owner->awake_ms = now_ms;
	if (!paused)
		return;
	owner->learning = true;
	owner->learn_until_ms = now_ms + SLOT_OWNER_RECOVERY_MS;
	g_array_set_size(owner->awaited, 0);
	g_array_append_vals(owner->awaited, owner->everyone->data,
			    owner->everyone->len);
}

static struct ledger *ledger_get(struct slot_owner *owner, uint64_t key)
{
	struct ledger *ledger = ledger_find(owner, key);

	if (ledger)
		return ledger;
	ledger = g_new0(struct ledger, 1);
	ledger->key = key;
	ledger->held = g_new0(uint32_t, owner->vm_count + 1);
	ledger->avoid = g_new0(bool, owner->vm_count + 1);
	ledger->told_keep = SLOT_IN_USE_UNLIMITED;
	g_ptr_array_add(owner->ledgers, ledger);
	return ledger;
}

static void ledger_read(struct slot_owner *owner, struct ledger *ledger,
			const struct slot_report *report)
{
	for (uint32_t i = 0; i < owner->vm_count; i++) {
		ledger_hold(owner, ledger, i, 0);
		ledger->avoid[i] = false;
	}
	for (uint32_t i = 0; i < MIN(report->count, SLOT_VMS_MAX); i++) {
		const struct slot_holding *count = &report->holdings[i];
		uint32_t vm = vm_find(owner->vms, owner->vm_count, count->vm);

		if (vm == UINT32_MAX)
			continue;
		ledger_hold(owner, ledger, vm,
			    MIN(count->held, owner->vms[vm].slots));
		ledger->avoid[vm] = count->avoid;
	}
	ledger->incarnation = report->incarnation;
	ledger->sequence = report->sequence;
	ledger->version = 0;
	ledger->in_use = MIN(report->in_use, SLOT_DEMAND_MAX);
	ledger->waiting = MIN(report->waiting, SLOT_DEMAND_MAX);
	ledger->spare = MIN(report->spare, SLOT_SPARE_MAX);
}

void slot_owner_record_report(struct slot_owner *owner,
			      const struct slot_report *report, uint64_t now_ms)
{
	struct ledger *ledger = ledger_get(owner, report->holder);

	pause_check(owner, now_ms);
	if (report->incarnation < ledger->incarnation ||
	    (report->incarnation == ledger->incarnation &&
	     report->sequence < ledger->sequence))
		return;
	ledger->heard_ms = now_ms;
	ledger->must_send = true;
	if (report->incarnation > ledger->incarnation ||
	    report->sequence > ledger->sequence)
		ledger_read(owner, ledger, report);
	learned_from(owner, report->holder);
	distribute(owner);
}

void slot_owner_tick(struct slot_owner *owner, uint64_t now_ms)
{
	pause_check(owner, now_ms);
	if (owner->learning && now_ms >= owner->learn_until_ms)
		owner->learning = false;
	for (guint i = owner->ledgers->len; i > 0; i--) {
		struct ledger *ledger = ledger_at(owner, i - 1);

		if (now_ms - ledger->heard_ms < SLOT_OWNER_LEASE_MS)
			continue;
		for (uint32_t vm = 0; vm < owner->vm_count; vm++)
			ledger_hold(owner, ledger, vm, 0);
		g_ptr_array_remove_index_fast(owner->ledgers, i - 1);
	}
	distribute(owner);
}

static void grant_fill(const struct slot_owner *owner,
		       const struct ledger *ledger, struct slot_grant *grant)
{
	grant->pool = owner->pool;
	grant->holder = ledger->key;
	grant->incarnation = ledger->incarnation;
	grant->sequence = ledger->sequence;
	grant->version = ledger->version;
	grant->recovering = owner->learning;
	grant->in_use_max = ledger->told_keep;
	grant->count = 0;
	for (uint32_t i = 0; i < owner->vm_count; i++) {
		if (ledger->held[i] == 0)
			continue;
		grant->holdings[grant->count++] =
			(struct slot_holding){ .vm = owner->vms[i].key,
					       .held = ledger->held[i] };
	}
}

bool slot_owner_next_grant(struct slot_owner *owner, struct slot_grant *grant)
{
	for (guint i = 0; i < owner->ledgers->len; i++) {
		struct ledger *ledger = ledger_at(owner, i);

		if (!ledger->must_send)
			continue;
		ledger->must_send = false;
		ledger->version++;
		ledger->told_keep = keep_of(owner, ledger);
		grant_fill(owner, ledger, grant);
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
