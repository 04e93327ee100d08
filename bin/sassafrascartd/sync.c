#include "sync.h"

#include <string.h>

#include "backoff.h"
#include "log.h"
#include "stored_value.h"

#define SYNC_KEY_MAX_BYTES 96
#define SYNC_REFUSED_RETRY_MS 5000
/* Reads of the head per second by all processes together. */
#define SYNC_HEAD_READS_PER_S 60
#define SYNC_HEAD_READ_BACKOFF_MAX_MS 2000
/* Checks of the confirmation's age, and peer polls, per dispatch window. */
#define SYNC_PEER_POLLS_PER_WINDOW 4

struct sync {
	struct sync_config config;
	sync_cb cb;
	void *data;
	struct gossip_node *peers;
	void (*on_head_changed)(void *data);
	struct head_state head;
	struct bundle *bundle;
	char *envelope;
	struct placement *view;
	/* text of the placement, parsed again when the bundle changes */
	char *placement_text;
	struct timer poll_timer;
	uint64_t poll_sent_ms;
	struct timer peer_poll_timer;
	/* confirmations received from peers */
	struct quorum_votes *votes;
	/* value of the manager key at the last read, NULL for none */
	char *manager_id;
	/* consecutive failed reads of the head */
	uint32_t poll_failures;
	bool head_is_malformed;
	/* wall-clock time at which the bundle was applied */
	uint64_t applied_at_ms;
	bool fetching_bundle;
	/* head of the bundle being fetched */
	struct head fetching_head;
	bool fetching_placement;
	bool peer_placement_failed;
	/* the refused bundle is not fetched again before this time */
	uint64_t refused_roll;
	uint64_t refused_until_ms;
};

static void head_action_run(struct sync *sync, struct head_action action);

static void applied_notify(struct sync *sync)
{
	sync->cb(sync->data, sync->bundle, sync->view);
}

static void peers_notify(struct sync *sync)
{
	if (sync->on_head_changed)
		sync->on_head_changed(sync->data);
}

/* While the platform fails, documents are fetched from peers first. */
static bool peers_are_preferred(const struct sync *sync)
{
	return sync->poll_failures > 0 && sync->peers;
}

static void refusal_log(struct sync *sync, enum err_kind err,
			const struct bundle_file_errors *errors)
{
	counter_inc(sync->config.counters, COUNTER_BUNDLES_REFUSED);
	if (bundle_file_errors_count(errors) > 0) {
		const struct bundle_file_error *first =
			bundle_file_errors_get(errors, 0);

		log_warning("bundle_refused",
			    "bundle of roll %" PRIu64 " refused: %s: "
			    "line %u: %s: %s",
			    sync->fetching_head.roll, err_name(err),
			    first->line, first->field, first->message);
		return;
	}
	log_warning("bundle_refused", "bundle of roll %" PRIu64 " refused: %s",
		    sync->fetching_head.roll, err_name(err));
}

static void roll_refuse(struct sync *sync)
{
	struct head in_force = { .roll = sync->head.applied_roll };

	if (sync->bundle) {
		in_force.version = sync->bundle->version;
		g_strlcpy(in_force.digest, sync->bundle->digest,
			  HEAD_DIGEST_BYTES);
	}
	sync->refused_roll = sync->fetching_head.roll;
	sync->refused_until_ms = loop_now_ms() + SYNC_REFUSED_RETRY_MS;
	head_reject_roll(&sync->head, &in_force);
}

static enum err_kind envelope_open(struct sync *sync, const char *text,
				   size_t len, struct bundle **out)
{
	struct bundle_file_errors *errors = bundle_file_errors_create();
	enum err_kind err = signing_envelope_open(text, len, sync->config.trust,
						  errors, out);

	if (err == ERR_NONE &&
	    (strcmp((*out)->digest, sync->fetching_head.digest) != 0 ||
	     (*out)->version != sync->fetching_head.version)) {
		bundle_unref(*out);
		err = ERR_CONFLICT;
	}
	if (err != ERR_NONE) {
		refusal_log(sync, err, errors);
		roll_refuse(sync);
	}
	bundle_file_errors_destroy(errors);
	return err;
}

/* Parses a placement; adopts it unless stale or of a roll not yet applied. */
static bool placement_load(struct sync *sync, const char *text, size_t len)
{
	struct placement *view = NULL;
	enum err_kind err =
		stored_placement_parse(text, len, sync->bundle, &view);

	if (err != ERR_NONE) {
		log_warning("placement_refused",
			    "placement cannot be parsed: %s", err_name(err));
		return false;
	}
	if (view->number < sync->head.applied_placement ||
	    view->roll > sync->head.applied_roll) {
		placement_destroy(view);
		return false;
	}
	placement_destroy(sync->view);
	sync->view = view;
	sync->head.applied_placement = view->number;
	return true;
}

static bool bundle_apply(struct sync *sync, const char *text, size_t len)
{
	struct bundle *bundle;

	if (sync->fetching_head.roll <= sync->head.applied_roll ||
	    envelope_open(sync, text, len, &bundle) != ERR_NONE)
		return false;
	head_set_applied_roll(&sync->head, sync->fetching_head.roll);
	bundle_unref(sync->bundle);
	sync->bundle = bundle;
	g_free(sync->envelope);
	sync->envelope = g_strndup(text, len);
	g_clear_pointer(&sync->view, placement_destroy);
	if (sync->placement_text)
		placement_load(sync, sync->placement_text,
			       strlen(sync->placement_text));
	sync->applied_at_ms = (uint64_t)(g_get_real_time() / 1000);
	counter_inc(sync->config.counters, COUNTER_BUNDLES_APPLIED);
	log_info("bundle_applied",
		 "roll %" PRIu64 " activated bundle version %" PRIu64,
		 sync->head.applied_roll, bundle->version);
	applied_notify(sync);
	/* Peers may fetch the bundle from here if the platform fails. */
	peers_notify(sync);
	return true;
}

static void on_peer_bundle(void *data, enum err_kind err, const char *text,
			   uint32_t len)
{
	struct sync *sync = data;

	sync->fetching_bundle = false;
	/* After a failure, the next head received triggers another fetch. */
	if (err == ERR_NONE && bundle_apply(sync, text, len))
		head_action_run(sync, head_pending(&sync->head));
}

static void peer_bundle_fetch(struct sync *sync)
{
	gossip_node_fetch(sync->peers, GOSSIP_DOCUMENT_BUNDLE,
			  sync->fetching_head.version, on_peer_bundle, sync);
}

static void on_platform_bundle(void *data, enum err_kind err,
			       const struct platform_result *result)
{
	struct sync *sync = data;

	if (err == ERR_NONE && result->kv_count > 0 &&
	    bundle_apply(sync, result->kvs[0].value,
			 result->kvs[0].value_len)) {
		sync->fetching_bundle = false;
		head_action_run(sync, head_pending(&sync->head));
		return;
	}
	if (err != ERR_NONE)
		counter_inc(sync->config.counters, COUNTER_PLATFORM_ERRORS);
	if (sync->peers)
		peer_bundle_fetch(sync);
	else
		sync->fetching_bundle = false;
}

static void bundle_fetch(struct sync *sync)
{
	char key[SYNC_KEY_MAX_BYTES];

	if (sync->fetching_bundle)
		return;
	sync->fetching_bundle = true;
	sync->fetching_head = sync->head.known;
	if (peers_are_preferred(sync)) {
		peer_bundle_fetch(sync);
		return;
	}
	g_snprintf(key, sizeof(key), PLATFORM_PREFIX_BUNDLE "%" PRIu64,
		   sync->fetching_head.version);
	platform_range(sync->config.platform, key, false, on_platform_bundle,
		       sync);
}

static void placement_apply(struct sync *sync, const char *text, size_t len)
{
	if (!sync->bundle || !placement_load(sync, text, len))
		return;
	g_free(sync->placement_text);
	sync->placement_text = g_strndup(text, len);
	counter_inc(sync->config.counters, COUNTER_PLACEMENTS_APPLIED);
	log_debug("placement_applied", "placement %" PRIu64 " applied",
		  sync->view->number);
	applied_notify(sync);
}

void sync_placement_apply(struct sync *sync, const char *text)
{
	struct head head = sync->head.known;

	placement_apply(sync, text, strlen(text));
	if (!sync->view)
		return;
	head.placement_number = sync->view->number;
	head_update_from_peer(&sync->head, &head);
}

static void on_peer_placement(void *data, enum err_kind err, const char *text,
			      uint32_t len)
{
	struct sync *sync = data;

	sync->fetching_placement = false;
	/* After a failure the platform is tried next, then peers again. */
	sync->peer_placement_failed = err != ERR_NONE;
	if (err == ERR_NONE)
		placement_apply(sync, text, len);
}

static void peer_placement_fetch(struct sync *sync)
{
	gossip_node_fetch(sync->peers, GOSSIP_DOCUMENT_PLACEMENT,
			  sync->head.known.placement_number, on_peer_placement,
			  sync);
}

static void on_placement(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct sync *sync = data;

	sync->peer_placement_failed = false;
	if (err != ERR_NONE) {
		counter_inc(sync->config.counters, COUNTER_PLATFORM_ERRORS);
		if (sync->peers) {
			peer_placement_fetch(sync);
			return;
		}
	}
	sync->fetching_placement = false;
	if (err == ERR_NONE && result->kv_count > 0)
		placement_apply(sync, result->kvs[0].value,
				result->kvs[0].value_len);
}

static void peer_placement_max(void *data, const struct gossip_heartbeat *last,
			       uint64_t received_ms)
{
	uint64_t *max = data;

	if (received_ms != 0)
		*max = MAX(*max, last->applied_placement);
}

/* A peer answers sooner than the platform and spares the platform a read. */
static bool peer_has_placement(const struct sync *sync)
{
	uint64_t max = 0;

	if (sync->peers)
		gossip_node_foreach_peer(sync->peers, peer_placement_max, &max);
	return max >= sync->head.known.placement_number;
}

static void placement_fetch(struct sync *sync)
{
	if (sync->fetching_placement || !sync->bundle)
		return;
	sync->fetching_placement = true;
	if (peers_are_preferred(sync) ||
	    (peer_has_placement(sync) && !sync->peer_placement_failed)) {
		peer_placement_fetch(sync);
		return;
	}
	platform_range(sync->config.platform, PLATFORM_KEY_PLACEMENT, false,
		       on_placement, sync);
}

static void head_action_run(struct sync *sync, struct head_action action)
{
	if (action.fetch_bundle)
		bundle_fetch(sync);
	if (action.fetch_placement)
		placement_fetch(sync);
}

/*
 * Hides the roll of a head if its bundle was refused recently. The placement
 * number of the head still counts.
 */
static void refused_roll_mask(const struct sync *sync, struct head *head)
{
	uint64_t placement_number = head->placement_number;

	if (head->roll != sync->refused_roll ||
	    loop_now_ms() >= sync->refused_until_ms)
		return;
	*head = sync->head.known;
	head->placement_number = placement_number;
}

static void head_action_apply(struct sync *sync, struct head_action action)
{
	counter_inc(sync->config.counters, COUNTER_HEADS_HEARD);
	if (action.stale)
		counter_inc(sync->config.counters, COUNTER_HEADS_STALE);
	if (action.newer)
		peers_notify(sync);
	head_action_run(sync, action);
}

void sync_on_heartbeat(struct sync *sync,
		       const struct gossip_heartbeat *heartbeat,
		       uint64_t sent_ms)
{
	struct head head = heartbeat->head;

	if (sent_ms != 0 && heartbeat->caught_up)
		quorum_votes_record(sync->votes, heartbeat->from.id, sent_ms,
				    MAX(head.placement_number,
					heartbeat->applied_placement));
	refused_roll_mask(sync, &head);
	head_action_apply(sync, head_update_from_peer(&sync->head, &head));
	head_confirm_from_peer(&sync->head, heartbeat->applied_placement,
			       sent_ms, heartbeat->confirmed_age_ms);
}

static void platform_head_apply(struct sync *sync, const struct head *head)
{
	struct head masked = *head;

	refused_roll_mask(sync, &masked);
	head_action_apply(sync, head_update_from_platform(&sync->head, &masked,
							  sync->poll_sent_ms));
}

/* Confirms the head as of the time a majority confirmed the placement. */
static void majority_confirm(struct sync *sync, uint64_t now_ms)
{
	const char *self = NULL;

	if (!sync->view)
		return;
	if (head_has_caught_up(&sync->head))
		self = sync->config.id;
	head_confirm(&sync->head,
		     quorum_votes_confirmed_ms(
			     sync->votes, &sync->view->electorate, self,
			     sync->head.applied_placement, now_ms));
}

bool sync_may_dispatch(struct sync *sync)
{
	uint64_t now_ms = loop_now_ms();

	if (!head_may_dispatch(&sync->head, now_ms))
		majority_confirm(sync, now_ms);
	return head_may_dispatch(&sync->head, now_ms);
}

/* Polls peers before the last confirmation becomes too old. */
static void on_peer_poll_due(void *data)
{
	struct sync *sync = data;
	uint32_t window_ms = sync->config.dispatch_window_ms;
	uint64_t now_ms = loop_now_ms();

	loop_timer_set(sync->config.loop, &sync->peer_poll_timer,
		       window_ms / SYNC_PEER_POLLS_PER_WINDOW);
	if (now_ms > window_ms)
		quorum_votes_drop_before(sync->votes, now_ms - window_ms);
	if (head_confirmation_age_ms(&sync->head, now_ms) <= window_ms / 2)
		return;
	majority_confirm(sync, now_ms);
	if (sync->peers && sync->poll_failures > 0)
		gossip_node_probe_all(sync->peers);
	else if (sync->peers)
		gossip_node_announce(sync->peers);
}

static bool head_parse(const struct platform_result *result, struct head *out)
{
	memset(out, 0, sizeof(*out));
	for (size_t i = 0; i < result->kv_count; i++) {
		const struct platform_kv *kv = &result->kvs[i];
		struct stored_head head;

		if (strcmp(kv->key, PLATFORM_KEY_HEAD) == 0) {
			if (stored_head_parse(kv->value, kv->value_len,
					      &head) != ERR_NONE)
				return false;
			out->roll = head.roll;
			out->version = head.version;
			memcpy(out->digest, head.digest, HEAD_DIGEST_BYTES);
		} else if (strcmp(kv->key, PLATFORM_KEY_PLACEMENT_NUMBER) ==
			   0) {
			if (stored_number_parse(kv->value, kv->value_len,
						&out->placement_number) !=
			    ERR_NONE)
				return false;
		}
	}
	return true;
}

static void manager_id_store(struct sync *sync,
			     const struct platform_result *result)
{
	g_clear_pointer(&sync->manager_id, g_free);
	for (size_t i = 0; i < result->kv_count; i++) {
		if (strcmp(result->kvs[i].key, PLATFORM_KEY_MANAGER) == 0)
			sync->manager_id = g_strdup(result->kvs[i].value);
	}
}

/* Schedules the next read of the head, with backoff after failures. */
static void poll_schedule(struct sync *sync)
{
	const struct sync_config *config = &sync->config;
	const struct backoff_limits limits = { config->poll_ms,
					       SYNC_HEAD_READ_BACKOFF_MAX_MS };
	uint32_t known = sync->peers ? gossip_node_known_count(sync->peers) : 1;
	uint32_t delay_ms = backoff_shared_period_ms(
		config->poll_ms, known, SYNC_HEAD_READS_PER_S, g_random_int());

	if (sync->poll_failures > 0)
		delay_ms = backoff_delay_ms(&limits, sync->poll_failures,
					    g_random_int());
	loop_timer_set(config->loop, &sync->poll_timer, delay_ms);
}

static void malformed_head_report(struct sync *sync, bool malformed)
{
	if (malformed) {
		counter_inc(sync->config.counters, COUNTER_HEADS_MALFORMED);
		if (!sync->head_is_malformed)
			log_warning("head_malformed",
				    "the stored head cannot be parsed");
	}
	sync->head_is_malformed = malformed;
}

static void on_head_read(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct sync *sync = data;
	struct head head;
	bool parsed;

	sync->poll_failures = err == ERR_NONE ? 0 : sync->poll_failures + 1;
	poll_schedule(sync);
	if (err != ERR_NONE) {
		counter_inc(sync->config.counters, COUNTER_PLATFORM_ERRORS);
		return;
	}
	manager_id_store(sync, result);
	parsed = head_parse(result, &head);
	malformed_head_report(sync, !parsed);
	if (parsed)
		platform_head_apply(sync, &head);
}

static void on_poll(void *data)
{
	struct sync *sync = data;

	sync->poll_sent_ms = loop_now_ms();
	platform_range(sync->config.platform, PLATFORM_PREFIX_HEARTBEAT, true,
		       on_head_read, sync);
}

struct sync *sync_create(const struct sync_config *config, sync_cb cb,
			 void *data)
{
	struct sync *sync = g_new0(struct sync, 1);

	sync->config = *config;
	sync->cb = cb;
	sync->data = data;
	head_state_init(&sync->head, config->dispatch_window_ms);
	sync->poll_timer.cb = on_poll;
	sync->poll_timer.data = sync;
	loop_timer_set(config->loop, &sync->poll_timer, 0);
	sync->votes = quorum_votes_create();
	sync->peer_poll_timer.cb = on_peer_poll_due;
	sync->peer_poll_timer.data = sync;
	loop_timer_set(config->loop, &sync->peer_poll_timer,
		       config->dispatch_window_ms / SYNC_PEER_POLLS_PER_WINDOW);
	return sync;
}

void sync_destroy(struct sync *sync)
{
	if (!sync)
		return;
	timer_cancel(&sync->poll_timer);
	timer_cancel(&sync->peer_poll_timer);
	quorum_votes_destroy(sync->votes);
	bundle_unref(sync->bundle);
	placement_destroy(sync->view);
	g_free(sync->envelope);
	g_free(sync->placement_text);
	g_free(sync->manager_id);
	g_free(sync);
}

void sync_set_peers(struct sync *sync, struct gossip_node *peers,
		    void (*on_head_changed)(void *data))
{
	sync->peers = peers;
	sync->on_head_changed = on_head_changed;
}

const char *sync_manager_id(const struct sync *sync)
{
	return sync->manager_id;
}

const struct head_state *sync_head_state(const struct sync *sync)
{
	return &sync->head;
}

struct bundle *sync_bundle(const struct sync *sync)
{
	return sync->bundle;
}

const struct placement *sync_placement_view(const struct sync *sync)
{
	return sync->view;
}

uint64_t sync_applied_at_ms(const struct sync *sync)
{
	return sync->applied_at_ms;
}

const char *sync_document(const struct sync *sync,
			  enum gossip_document document, uint64_t number,
			  uint32_t *len)
{
	const char *text = NULL;

	if (document == GOSSIP_DOCUMENT_BUNDLE && sync->bundle &&
	    sync->bundle->version == number)
		text = sync->envelope;
	if (document == GOSSIP_DOCUMENT_PLACEMENT && sync->view &&
	    sync->view->number >= number)
		text = sync->placement_text;
	if (text)
		*len = (uint32_t)strlen(text);
	return text;
}
