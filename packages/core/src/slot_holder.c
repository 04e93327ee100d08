#include "slot.h"

#include <glib.h>
#include <string.h>

struct slot_holder {
	uint64_t pool;
	uint64_t self;
	uint64_t incarnation;
	uint32_t spare_max;
	struct slot_vm *vms;
	/* slots of each VM held under a lease, and the static shares */
	uint32_t *leased;
	uint32_t *static_share;
	/* VMs whose idle slots the waiting requests cannot use */
	bool *unusable;
	uint32_t vm_count;
	uint64_t *members;
	uint32_t member_count;
	/* key of the owner, 0 if this is the only process */
	uint64_t owner;
	uint64_t sequence;
	uint64_t report_sent_ms;
	/* highest version of a grant for the newest report, 0 for none */
	uint32_t version;
	uint64_t lease_until_ms;
	/* start of the wait for a grant, 0 if none is awaited; a grant ends the
	 * wait unless the owner is recovering */
	uint64_t no_grant_since_ms;
	uint32_t in_use_max;
	uint32_t reported_waiting;
	uint64_t last_active_ms;
	uint64_t last_poll_ms;
	uint64_t owner_since_ms;
	/* a report to a new owner is due */
	bool report_due;
	/* the present owner has answered a report */
	bool owner_answered;
};

/* Sums over the VMs. */
struct totals {
	uint32_t in_use;
	uint32_t held;
	uint32_t idle;
};

struct slot_holder *slot_holder_create(uint64_t pool, uint64_t self,
				       uint64_t incarnation, uint32_t spare_max)
{
	struct slot_holder *holder = g_new0(struct slot_holder, 1);

	holder->pool = pool;
	holder->self = self;
	holder->incarnation = incarnation;
	holder->spare_max = spare_max;
	holder->in_use_max = SLOT_IN_USE_UNLIMITED;
	return holder;
}

void slot_holder_destroy(struct slot_holder *holder)
{
	if (!holder)
		return;
	g_free(holder->vms);
	g_free(holder->leased);
	g_free(holder->static_share);
	g_free(holder->unusable);
	g_free(holder->members);
	g_free(holder);
}

static uint32_t vm_find(const struct slot_holder *holder, uint64_t key)
{
	for (uint32_t i = 0; i < holder->vm_count; i++) {
		if (holder->vms[i].key == key)
			return i;
	}
	return UINT32_MAX;
}

/*
 * With more members than slots, a process may have no share of any VM: it uses
 * one slot then.
 */
static void static_shares_fill(struct slot_holder *holder)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < holder->vm_count; i++) {
		holder->static_share[i] =
			slot_static_share(&holder->vms[i], holder->members,
					  holder->member_count, holder->self);
		total += holder->static_share[i];
	}
	if (total == 0 && holder->vm_count > 0)
		holder->static_share[holder->self % holder->vm_count] = 1;
}

void slot_holder_set_vms(struct slot_holder *holder, const struct slot_vm *vms,
			 uint32_t count)
{
	uint32_t *leased = g_new0(uint32_t, count + 1);

	count = MIN(count, SLOT_VMS_MAX);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t old = vm_find(holder, vms[i].key);

		if (old != UINT32_MAX)
			leased[i] = MIN(holder->leased[old], vms[i].slots);
	}
	g_free(holder->vms);
	g_free(holder->leased);
	holder->vms = g_memdup2(vms, count * sizeof(*vms));
	holder->leased = leased;
	holder->static_share =
		g_renew(uint32_t, holder->static_share, count + 1);
	g_free(holder->unusable);
	holder->unusable = g_new0(bool, count + 1);
	holder->vm_count = count;
	static_shares_fill(holder);
}

struct slot_vm *slot_holder_vms(struct slot_holder *holder, uint32_t *count)
{
	*count = holder->vm_count;
	return holder->vms;
}

void slot_holder_set_members(struct slot_holder *holder,
			     const uint64_t *members, uint32_t count,
			     bool alone, uint64_t now_ms)
{
	uint64_t owner = alone ? 0
			       : members[slot_owner_choose(holder->pool,
							   members, count)];

	g_free(holder->members);
	holder->members = g_memdup2(members, count * sizeof(*members));
	holder->member_count = count;
	static_shares_fill(holder);
	if (owner == holder->owner)
		return;
	if (holder->owner == 0)
		holder->lease_until_ms = 0;
	holder->owner = owner;
	holder->owner_since_ms = now_ms;
	holder->report_due = true;
	holder->owner_answered = false;
	holder->in_use_max = SLOT_IN_USE_UNLIMITED;
	if (holder->no_grant_since_ms == 0)
		holder->no_grant_since_ms = now_ms;
}

uint64_t slot_holder_owner(const struct slot_holder *holder)
{
	return holder->owner;
}

static struct totals totals_of(const struct slot_holder *holder)
{
	struct totals totals = { 0 };

	for (uint32_t i = 0; i < holder->vm_count; i++) {
		uint32_t in_use = holder->vms[i].in_use;
		uint32_t held = MAX(in_use, holder->leased[i]);

		totals.in_use += in_use;
		totals.held += held;
		totals.idle += held - in_use;
	}
	return totals;
}

static void lease_expire(struct slot_holder *holder, uint64_t now_ms)
{
	if (now_ms < holder->lease_until_ms)
		return;
	memset(holder->leased, 0, holder->vm_count * sizeof(uint32_t));
	holder->in_use_max = SLOT_IN_USE_UNLIMITED;
}

static uint32_t spare_target(const struct slot_holder *holder,
			     const struct totals *totals)
{
	if (holder->in_use_max != SLOT_IN_USE_UNLIMITED)
		return 0;
	return MIN(holder->spare_max, totals->in_use / 4 + 1);
}

static bool is_active(const struct slot_holder *holder, uint64_t now_ms)
{
	return now_ms - holder->last_active_ms < SLOT_IDLE_TIMEOUT_MS;
}

/* Number of idle slots to return to the owner. */
static uint32_t surplus_of(const struct slot_holder *holder,
			   const struct totals *totals, uint32_t waiting,
			   uint64_t now_ms)
{
	uint32_t excess = totals->held > holder->in_use_max
				  ? totals->held - holder->in_use_max
				  : 0;
	uint32_t spare = 2 * spare_target(holder, totals);

	/* Requests that wait while slots are idle cannot use these slots. */
	if (waiting > 0 || !is_active(holder, now_ms))
		return totals->idle;
	if (totals->idle > spare)
		excess = MAX(excess, totals->idle - spare);
	return MIN(excess, totals->idle);
}

/*
 * Returns whether a report has to be sent again until it is answered: while
 * this process needs or holds slots, or is not yet known to a new owner.
 */
static bool answer_is_needed(const struct slot_holder *holder,
			     const struct totals *totals, uint32_t waiting,
			     uint64_t now_ms)
{
	bool registering =
		!holder->owner_answered &&
		now_ms - holder->owner_since_ms < SLOT_OWNER_RECOVERY_MS;

	return registering || waiting > 0 || totals->held > 0 ||
	       is_active(holder, now_ms);
}

static bool report_is_due(const struct slot_holder *holder,
			  const struct totals *totals, uint32_t waiting,
			  uint32_t surplus, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - holder->report_sent_ms;
	bool spare_low = waiting == 0 && is_active(holder, now_ms) &&
			 2 * totals->idle < spare_target(holder, totals);

	if (holder->report_due)
		return true;
	if (holder->sequence > 0 && holder->version == 0)
		return age_ms >= SLOT_REPORT_RETRY_MS &&
		       answer_is_needed(holder, totals, waiting, now_ms);
	if (waiting > holder->reported_waiting &&
	    holder->in_use_max == SLOT_IN_USE_UNLIMITED)
		return age_ms >= SLOT_REPORT_MIN_INTERVAL_MS;
	if (surplus > 0)
		return age_ms >= SLOT_REPORT_MIN_INTERVAL_MS;
	if (waiting > 0 || spare_low)
		return age_ms >= SLOT_WAITING_REPORT_MS;
	return totals->held > 0 && age_ms >= SLOT_LEASE_RENEW_MS;
}

/* Gives up idle slots, which must not be used once the report returns them. */
static void surplus_release(struct slot_holder *holder, uint32_t surplus)
{
	for (uint32_t i = 0; i < holder->vm_count && surplus > 0; i++) {
		uint32_t in_use = holder->vms[i].in_use;
		uint32_t idle = holder->leased[i] > in_use
					? holder->leased[i] - in_use
					: 0;
		uint32_t part = MIN(idle, surplus);

		holder->leased[i] -= part;
		surplus -= part;
	}
}

/*
 * If requests wait below the limit while slots are idle, these slots are on VMs
 * that the requests cannot use.
 */
static void unusable_mark(struct slot_holder *holder,
			  const struct totals *totals, uint32_t waiting)
{
	for (uint32_t i = 0; i < holder->vm_count; i++)
		holder->unusable[i] =
			!holder->vms[i].ready ||
			(waiting > 0 && totals->in_use < holder->in_use_max &&
			 holder->leased[i] > holder->vms[i].in_use);
}

/* Gives up the idle slots of VMs to which this process sends no requests. */
static void unready_release(struct slot_holder *holder)
{
	for (uint32_t i = 0; i < holder->vm_count; i++) {
		if (!holder->vms[i].ready)
			holder->leased[i] =
				MIN(holder->leased[i], holder->vms[i].in_use);
	}
}

static void report_fill(struct slot_holder *holder, uint32_t waiting,
			struct slot_report *report)
{
	struct totals totals = totals_of(holder);
	uint32_t spare = spare_target(holder, &totals);

	report->pool = holder->pool;
	report->holder = holder->self;
	report->incarnation = holder->incarnation;
	report->sequence = holder->sequence;
	report->in_use = totals.in_use;
	report->waiting = waiting;
	report->spare = spare > totals.idle ? spare - totals.idle : 0;
	report->count = 0;
	for (uint32_t i = 0; i < holder->vm_count; i++) {
		struct slot_holding *holding = &report->holdings[report->count];

		holding->vm = holder->vms[i].key;
		holding->held = MAX(holder->leased[i], holder->vms[i].in_use);
		holding->avoid = holder->unusable[i];
		if (holding->held > 0 || holding->avoid)
			report->count++;
	}
}

/*
 * Ends the wait for a grant if this process no longer needs one. Restarts the
 * wait after a pause of this process, during which it could not receive any.
 */
static void grant_wait_update(struct slot_holder *holder,
			      const struct totals *totals, uint64_t now_ms)
{
	bool paused = now_ms - holder->last_poll_ms >= SLOT_OWNER_TIMEOUT_MS;

	holder->last_poll_ms = now_ms;
	if (holder->no_grant_since_ms == 0)
		return;
	if (!is_active(holder, now_ms) && totals->held == 0)
		holder->no_grant_since_ms = 0;
	else if (paused)
		holder->no_grant_since_ms = now_ms;
}

bool slot_holder_poll(struct slot_holder *holder, uint32_t waiting,
		      uint64_t now_ms, struct slot_report *report)
{
	struct totals totals;
	uint32_t surplus;

	if (holder->owner == 0)
		return false;
	lease_expire(holder, now_ms);
	totals = totals_of(holder);
	if (waiting > 0 || totals.in_use > 0)
		holder->last_active_ms = now_ms;
	grant_wait_update(holder, &totals, now_ms);
	holder->reported_waiting = MIN(holder->reported_waiting, waiting);
	surplus = surplus_of(holder, &totals, waiting, now_ms);
	if (!report_is_due(holder, &totals, waiting, surplus, now_ms))
		return false;
	unusable_mark(holder, &totals, waiting);
	surplus_release(holder, surplus);
	unready_release(holder);
	holder->sequence++;
	holder->version = 0;
	holder->report_sent_ms = now_ms;
	holder->report_due = false;
	holder->reported_waiting = waiting;
	if (holder->no_grant_since_ms == 0)
		holder->no_grant_since_ms = now_ms;
	report_fill(holder, waiting, report);
	if (!is_active(holder, now_ms))
		report->spare = 0;
	return true;
}

bool slot_holder_apply_grant(struct slot_holder *holder,
			     const struct slot_grant *grant, uint64_t now_ms)
{
	if (holder->owner == 0 || grant->incarnation != holder->incarnation ||
	    grant->sequence != holder->sequence ||
	    grant->version <= holder->version ||
	    now_ms >= holder->report_sent_ms + SLOT_HOLDER_LEASE_MS)
		return false;
	holder->owner_answered = true;
	holder->version = grant->version;
	holder->lease_until_ms = holder->report_sent_ms + SLOT_HOLDER_LEASE_MS;
	holder->in_use_max = grant->in_use_max;
	if (!grant->recovering)
		holder->no_grant_since_ms = 0;
	memset(holder->leased, 0, holder->vm_count * sizeof(uint32_t));
	for (uint32_t i = 0; i < grant->count; i++) {
		uint32_t vm = vm_find(holder, grant->holdings[i].vm);

		if (vm != UINT32_MAX)
			holder->leased[vm] = MIN(grant->holdings[i].held,
						 holder->vms[vm].slots);
	}
	return true;
}

bool slot_holder_is_fallback(const struct slot_holder *holder, uint64_t now_ms)
{
	return holder->owner != 0 && holder->no_grant_since_ms != 0 &&
	       now_ms - holder->no_grant_since_ms >= SLOT_OWNER_TIMEOUT_MS;
}

void slot_holder_allowed_slots(struct slot_holder *holder, uint64_t now_ms,
			       uint32_t *allowed)
{
	struct totals totals;

	lease_expire(holder, now_ms);
	totals = totals_of(holder);
	for (uint32_t i = 0; i < holder->vm_count; i++) {
		if (holder->owner == 0)
			allowed[i] = holder->vms[i].slots;
		else if (slot_holder_is_fallback(holder, now_ms))
			allowed[i] =
				MAX(holder->static_share[i], holder->leased[i]);
		else if (totals.in_use >= holder->in_use_max)
			allowed[i] =
				MIN(holder->leased[i], holder->vms[i].in_use);
		else
			allowed[i] = holder->leased[i];
	}
}

uint32_t slot_holder_expected_slots(struct slot_holder *holder, uint64_t now_ms)
{
	bool fallback = slot_holder_is_fallback(holder, now_ms);
	uint32_t total = 0;
	uint32_t share_total = 0;

	lease_expire(holder, now_ms);
	for (uint32_t i = 0; i < holder->vm_count; i++) {
		if (!holder->vms[i].ready)
			continue;
		total += holder->vms[i].slots;
		share_total += holder->static_share[i];
	}
	if (fallback)
		return MIN(total, MAX(share_total, 1));
	return MIN(total, MAX(holder->in_use_max, 1));
}
