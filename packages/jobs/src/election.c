#include "election.h"

#include <jansson.h>
#include <string.h>

#include "weak_ref.h"
#include "watcher.h"
#include "log.h"
#include "lease.h"

/* Written together with the owner key, but without a lease: its revision shows
 * an owner whether another process has owned the service since the owner's last
 * write. Its name does not start with the owner key, because that prefix is
 * watched. */
#define ELECTION_KEY_LAST "/sassafrascart/last-jobs-owner"
/* Maximum duration of one watch call; an unresponsive connection is detected
 * after this and a margin. */
#define ELECTION_WATCH_MS 2000
/* Random spread of processes that compete at the same time, and the delay
 * before an unanswered write is retried. */
#define ELECTION_JITTER_MS 50

/* Factor of the delay before a process competes for the first time. */
#define ELECTION_FIRST_DELAY_FACTOR 4

enum election_role {
	ELECTION_FOLLOWER,
	ELECTION_OWNER,
	ELECTION_RESIGNED,
};

struct election {
	struct loop *loop;
	struct platform *platform;
	char *id;
	char *ip;
	uint16_t port;
	uint32_t delay_ms;
	const struct election_ops *ops;
	void *data;
	struct lease *lease;
	enum election_role role;
	/* last known state of the key */
	bool key_known;
	bool key_present;
	struct election_owner owner;
	/* revisions of the first and the newest write of this ownership */
	int64_t fence;
	int64_t last_revision;
	/* lease that the key is bound to, 0 if it is not known to be */
	int64_t key_lease;
	/* lease of the write in flight, 0 for none */
	int64_t writing_lease;
	struct watcher *key_watcher;
	struct timer compete_timer;
	struct weak_ref *weak_ref;
};

static void compete(struct election *election);

static void on_compete_timer(void *data)
{
	compete(data);
}

static void compete_schedule(struct election *election)
{
	uint32_t delay_ms =
		election->delay_ms + g_random_int_range(0, ELECTION_JITTER_MS);

	/* Processes start at about the same time, in any order. A longer first
	 * delay lets the process with the smallest delay_ms win. */
	if (!election->key_known)
		delay_ms *= ELECTION_FIRST_DELAY_FACTOR;
	if (election->role == ELECTION_OWNER)
		delay_ms = 0;
	if (!timer_is_set(&election->compete_timer))
		loop_timer_set(election->loop, &election->compete_timer,
			       delay_ms);
}

static void ownership_release(struct election *election, const char *why)
{
	if (election->role != ELECTION_OWNER)
		return;
	log_warning("ownership-lost",
		    "this process is no longer the owner, fencing token "
		    "%" G_GINT64_FORMAT ": %s",
		    election->fence, why);
	election->role = ELECTION_FOLLOWER;
	election->key_lease = 0;
	election->ops->on_lost(election->data);
}

static bool owner_decode(const struct platform_kv *kv,
			 struct election_owner *out)
{
	json_t *json = json_loadb(kv->value, kv->value_len, 0, NULL);
	const char *id = json_string_value(json_object_get(json, "id"));
	const char *ip = json_string_value(json_object_get(json, "ip"));

	json_int_t port = json_integer_value(json_object_get(json, "port"));
	bool valid = id && ip && strlen(id) < sizeof(out->id) &&
		     strlen(ip) < sizeof(out->ip) && port > 0 &&
		     port <= UINT16_MAX;

	memset(out, 0, sizeof(*out));
	if (valid) {
		g_strlcpy(out->id, id, sizeof(out->id));
		g_strlcpy(out->ip, ip, sizeof(out->ip));
		out->port = (uint16_t)port;
		out->fence = json_integer_value(json_object_get(json, "fence"));
		if (out->fence == 0)
			out->fence = kv->mod_revision;
	}
	json_decref(json);
	return valid;
}

/* Whether the key is of this process or of an earlier incarnation, which no
 * longer runs if this one listens at its address. */
static bool owner_is_self(const struct election *election,
			  const struct election_owner *owner)
{
	return strcmp(owner->id, election->id) == 0 &&
	       strcmp(owner->ip, election->ip) == 0 &&
	       owner->port == election->port;
}

static void on_stale_key_deleted(void *data, enum err_kind err,
				 const struct platform_result *result)
{
	const struct election *election = weak_ref_release(data);

	/* The watch reports the deletion of the key. */
	if (!election)
		return;
	if (err != ERR_NONE)
		log_warning("stale-owner-key-not-deleted",
			    "owner key of an earlier incarnation of this "
			    "process cannot be deleted: %s",
			    err_name(err));
	else if (result->succeeded)
		log_info("stale-owner-key-deleted",
			 "owner key of an earlier incarnation of %s deleted",
			 election->id);
}

/* Deletes the key of an earlier incarnation of this process, which was killed
 * and whose lease has not expired yet. */
static void stale_key_delete(struct election *election, int64_t revision)
{
	const struct platform_compare compare = { ELECTION_KEY,
						  PLATFORM_TARGET_MOD_REVISION,
						  revision };
	const struct platform_write write = { .key = ELECTION_KEY };
	const struct platform_txn txn = { &compare, 1, &write, 1 };

	platform_txn(election->platform, &txn, on_stale_key_deleted,
		     weak_ref_acquire(election->weak_ref));
}

static void key_update(struct election *election, const struct platform_kv *kv)
{
	bool was_present = election->key_present;
	struct election_owner owner = { 0 };

	if (kv && !kv->deleted && !owner_decode(kv, &owner)) {
		log_warning("owner-malformed",
			    "owner key at revision %" G_GINT64_FORMAT
			    " cannot be parsed and is ignored",
			    kv->mod_revision);
		return;
	}
	election->key_present = kv && !kv->deleted;
	if (election->key_present && owner_is_self(election, &owner) &&
	    election->role == ELECTION_OWNER)
		return;
	if (!election->key_present) {
		election->key_lease = 0;
		if (was_present || !election->key_known)
			election->ops->on_owner(election->data, NULL);
		compete_schedule(election);
		return;
	}
	if (owner_is_self(election, &owner)) {
		memset(&election->owner, 0, sizeof(election->owner));
		if (election->writing_lease == 0 &&
		    election->role == ELECTION_FOLLOWER)
			stale_key_delete(election, kv->mod_revision);
		return;
	}
	if (election->role == ELECTION_OWNER)
		ownership_release(election, "another process owns the key");
	/* The key may be reported again without a change of owner. */
	if (was_present && election->key_known &&
	    election->owner.fence == owner.fence &&
	    strcmp(election->owner.id, owner.id) == 0)
		return;
	election->owner = owner;
	election->ops->on_owner(election->data, &election->owner);
}

static void on_read(void *data, const struct platform_kv *kvs, size_t count)
{
	struct election *election = data;

	key_update(election, count > 0 ? &kvs[0] : NULL);
	election->key_known = true;
}

static void on_change(void *data, const struct platform_kv *kv)
{
	key_update(data, kv);
}

static const struct watcher_ops key_ops = {
	.on_snapshot = on_read,
	.on_change = on_change,
};

/* Whether the key is bound to the lease that this process holds now. */
static bool key_is_leased(const struct election *election)
{
	return election->key_lease != 0 &&
	       election->key_lease == lease_id(election->lease);
}

static void ownership_gained(struct election *election, int64_t revision,
			     int64_t lease)
{
	election->key_present = true;
	election->key_lease = lease;
	election->last_revision = revision;
	memset(&election->owner, 0, sizeof(election->owner));
	if (election->role == ELECTION_OWNER) {
		log_info("ownership-renewed",
			 "this process remains the owner under a new lease, "
			 "fencing token %" G_GINT64_FORMAT,
			 election->fence);
		return;
	}
	election->role = ELECTION_OWNER;
	election->fence = revision;
	log_info("ownership-won",
		 "this process is now the owner, fencing token "
		 "%" G_GINT64_FORMAT,
		 revision);
	election->ops->on_won(election->data, revision);
}

static const struct platform_kv *key_find(const struct platform_result *result)
{
	for (size_t i = 0; i < result->kv_count; i++) {
		if (strcmp(result->kvs[i].key, ELECTION_KEY) == 0)
			return &result->kvs[i];
	}
	return NULL;
}

static void on_written(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct election *election = weak_ref_release(data);
	const struct platform_kv *key;
	int64_t lease;

	if (!election)
		return;
	lease = election->writing_lease;
	election->writing_lease = 0;
	if (election->role == ELECTION_RESIGNED)
		return;
	if (err == ERR_NONE && result->succeeded) {
		ownership_gained(election, result->revision, lease);
		return;
	}
	if (err != ERR_NONE) {
		/* The write may have taken effect; compete again to check. */
		log_warning("ownership-write-unanswered",
			    "write of the owner key failed: %s", err_name(err));
		loop_timer_set(election->loop, &election->compete_timer,
			       ELECTION_JITTER_MS);
		return;
	}
	key = key_find(result);
	if (!key) {
		/* The key is absent, so an owner's write has failed because
		 * another process has written ELECTION_KEY_LAST. */
		ownership_release(
			election,
			"another process has owned the service meanwhile");
		compete_schedule(election);
	} else if (key->lease == lease_id(election->lease)) {
		ownership_gained(election, key->mod_revision, key->lease);
	} else {
		key_update(election, key);
	}
}

/* Returns the value of the key. The caller frees it with free(). */
static char *owner_encode(const struct election *election)
{
	json_int_t fence =
		election->role == ELECTION_OWNER ? election->fence : 0;
	json_t *json = json_pack("{s:s, s:s, s:i, s:I}", "id", election->id,
				 "ip", election->ip, "port",
				 (int)election->port, "fence", fence);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

static void compete(struct election *election)
{
	int64_t lease = lease_id(election->lease);
	/* An owner renews its key only if no other process has owned the
	 * service since the owner's last write. */
	const struct platform_compare compares[] = {
		{ ELECTION_KEY, PLATFORM_TARGET_MOD_REVISION, 0 },
		{ ELECTION_KEY_LAST, PLATFORM_TARGET_MOD_REVISION,
		  election->last_revision },
	};
	struct platform_write writes[] = {
		{ .key = ELECTION_KEY, .lease = lease },
		{ .key = ELECTION_KEY_LAST },
	};
	const struct platform_txn txn = { compares,
					  election->role == ELECTION_OWNER ? 2
									   : 1,
					  writes, G_N_ELEMENTS(writes) };
	char *value;

	if (lease == 0 || election->writing_lease != 0 ||
	    key_is_leased(election) || election->role == ELECTION_RESIGNED)
		return;
	value = owner_encode(election);
	writes[0].value = value;
	writes[1].value = value;
	election->writing_lease = lease;
	platform_txn(election->platform, &txn, on_written,
		     weak_ref_acquire(election->weak_ref));
	free(value);
}

static void on_lease_granted(void *data, int64_t lease)
{
	struct election *election = data;

	if (election->key_known && !election->key_present)
		compete_schedule(election);
}

static void on_lease_lost(void *data)
{
	struct election *election = data;

	log_warning("lease-lost", "process lease lost; the process %s",
		    election->role == ELECTION_OWNER
			    ? "remains the owner without a valid lease"
			    : "follows");
	if (election->role != ELECTION_OWNER)
		return;
	election->key_lease = 0;
	watcher_refresh(election->key_watcher);
	compete_schedule(election);
}

static const struct lease_ops lease_ops = {
	.on_granted = on_lease_granted,
	.on_lost = on_lease_lost,
};

struct election *election_create(struct loop *loop, struct platform *platform,
				 const struct election_config *config,
				 const struct election_ops *ops, void *data)
{
	struct election *election = g_new0(struct election, 1);

	election->loop = loop;
	election->platform = platform;
	election->id = g_strdup(config->id);
	election->ip = g_strdup(config->ip);
	election->port = config->port;
	election->delay_ms = config->delay_ms;
	election->ops = ops;
	election->data = data;
	election->compete_timer.cb = on_compete_timer;
	election->compete_timer.data = election;
	election->lease = lease_create(loop, platform, config->ttl_s,
				       &lease_ops, election);
	election->weak_ref = weak_ref_create(election);
	election->key_watcher =
		watcher_create(loop, platform, ELECTION_KEY, ELECTION_WATCH_MS,
			       &key_ops, election);
	return election;
}

void election_destroy(struct election *election)
{
	if (!election)
		return;
	watcher_destroy(election->key_watcher);
	timer_cancel(&election->compete_timer);
	lease_destroy(election->lease);
	weak_ref_invalidate(election->weak_ref);
	g_free(election->id);
	g_free(election->ip);
	g_free(election);
}

void election_set_delay(struct election *election, uint32_t delay_ms)
{
	election->delay_ms = delay_ms;
}

void election_resign(struct election *election)
{
	ownership_release(election, "resigned");
	election->role = ELECTION_RESIGNED;
	timer_cancel(&election->compete_timer);
	lease_release(election->lease);
}

void election_step_down(struct election *election)
{
	ownership_release(election, "another owner exists");
	/* No owner is known until the key has been read again. */
	election->key_present = false;
	election->key_known = false;
	watcher_refresh(election->key_watcher);
}

void election_refresh(struct election *election)
{
	watcher_refresh(election->key_watcher);
}

bool election_holds_lease(const struct election *election)
{
	return election->role == ELECTION_OWNER && key_is_leased(election);
}

uint32_t election_lease_ttl_ms(const struct election *election)
{
	return lease_ttl_ms(election->lease);
}

const struct election_owner *election_owner(const struct election *election)
{
	/* owner is empty while the key belongs to this process or to an earlier
	 * incarnation of it. */
	return election->key_present && election->owner.id[0] ? &election->owner
							      : NULL;
}
