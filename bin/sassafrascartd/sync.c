#include "sync.h"

#include <string.h>

#include "backoff.h"
#include "log.h"
#include "stored_value.h"

#define SYNC_KEY_MAX_BYTES 96
#define SYNC_REFUSED_PAUSE_MS 5000
/* Reads of the head a second that all processes make together. */
#define SYNC_READS_PER_S 60
#define SYNC_FAILED_READ_MAX_MS 2000
/* How often a confirmation's age is looked at, and peers asked, in a window. */
#define SYNC_ASKS_PER_WINDOW 4

struct sync {
	struct sync_config config;
	sync_cb cb;
	void *data;
	struct gossip_node *peers;
	void (*on_changed)(void *data);
	struct head_state head;
	struct bundle *bundle;
	char *envelope;
	struct placement *view;
	/* text of the placement, to be read again under another bundle */
	char *placement;
	struct timer poll_timer;
	uint64_t poll_asked_ms;
	struct timer ask_timer;
	/* what peers replied */
	struct quorum_votes *votes;
	/* value of the manager key at the last read, NULL for none */
	char *manager;
	/* reads of the head that failed in a row */
	uint32_t poll_failures;
	bool head_is_malformed;
	/* wall-clock time at which the bundle was applied */
	uint64_t applied_at_ms;
	bool fetching_bundle;
	/* roll that the bundle being fetched is for */
	struct head fetching;
	bool fetching_placement;
	bool peer_placement_failed;
	/* the bundle of a refused roll is not fetched again before this time */
	uint64_t refused_roll;
	uint64_t refused_until_ms;
};

static void action_run(struct sync *sync, struct head_action action);

static void notify(struct sync *sync)
{
	sync->cb(sync->data, sync->bundle, sync->view);
}

static void peers_tell(struct sync *sync)
{
	if (sync->on_changed)
		sync->on_changed(sync->data);
}

/* While the platform fails, peers are asked without waiting for it. */
static bool peers_are_better(const struct sync *sync)
{
	return sync->poll_failures > 0 && sync->peers;
}

static void refusal_log(struct sync *sync, enum err_kind err,
			const struct bundle_file_errors *mistakes)
{
	counter_inc(sync->config.counters, COUNTER_BUNDLES_REFUSED);
	if (bundle_file_errors_count(mistakes) > 0) {
		const struct bundle_file_error *first =
			bundle_file_errors_get(mistakes, 0);

		log_warning("bundle_refused",
			    "bundle of roll %" PRIu64 " refused: %s: "
			    "line %u: %s: %s",
			    sync->fetching.roll, err_name(err), first->line,
			    first->field, first->message);
		return;
	}
	log_warning("bundle_refused", "bundle of roll %" PRIu64 " refused: %s",
		    sync->fetching.roll, err_name(err));
}

static void roll_refuse(struct sync *sync)
{
	struct head in_force = { .roll = sync->head.applied_roll };

	if (sync->bundle) {
		in_force.version = sync->bundle->version;
		g_strlcpy(in_force.digest, sync->bundle->digest,
			  HEAD_DIGEST_BYTES);
	}
	sync->refused_roll = sync->fetching.roll;
	sync->refused_until_ms = loop_now_ms() + SYNC_REFUSED_PAUSE_MS;
	head_reject_roll(&sync->head, &in_force);
}

static enum err_kind envelope_open(struct sync *sync, const char *text,
				   size_t len, struct bundle **out)
{
	struct bundle_file_errors *mistakes = bundle_file_errors_create();
	enum err_kind err = signing_envelope_open(text, len, sync->config.trust,
						  mistakes, out);

	if (err == ERR_NONE &&
	    (strcmp((*out)->digest, sync->fetching.digest) != 0 ||
	     (*out)->version != sync->fetching.version)) {
		bundle_unref(*out);
		err = ERR_CONFLICT;
	}
	if (err != ERR_NONE) {
		refusal_log(sync, err, mistakes);
		roll_refuse(sync);
	}
	bundle_file_errors_destroy(mistakes);
	return err;
}

/* Reads the placement's text under the bundle in force. */
static bool placement_load(struct sync *sync, const char *text, size_t len)
{
	struct placement *view = NULL;
	enum err_kind err =
		stored_placement_parse(text, len, sync->bundle, &view);

	if (err != ERR_NONE) {
		log_warning("placement_refused", "placement: %s",
			    err_name(err));
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

	if (sync->fetching.roll <= sync->head.applied_roll ||
	    envelope_open(sync, text, len, &bundle) != ERR_NONE)
		return false;
	head_set_applied_roll(&sync->head, sync->fetching.roll);
	bundle_unref(sync->bundle);
	sync->bundle = bundle;
	g_free(sync->envelope);
	sync->envelope = g_strndup(text, len);
	g_clear_pointer(&sync->view, placement_destroy);
	if (sync->placement)
		placement_load(sync, sync->placement, strlen(sync->placement));
	sync->applied_at_ms = (uint64_t)(g_get_real_time() / 1000);
	counter_inc(sync->config.counters, COUNTER_BUNDLES_APPLIED);
	log_info("bundle_applied",
		 "roll %" PRIu64 " put version %" PRIu64 " in force",
		 sync->head.applied_roll, bundle->version);
	notify(sync);
	/* Peers that cannot read the platform fetch the bundle from here. */
	peers_tell(sync);
	return true;
}

static void on_peer_bundle(void *data, enum err_kind err, const char *text,
			   uint32_t len)
{
	struct sync *sync = data;

	sync->fetching_bundle = false;
	/* After a failure the next head heard starts another try. */
	if (err == ERR_NONE && bundle_apply(sync, text, len))
		action_run(sync, head_pending(&sync->head));
}

static void peer_bundle_fetch(struct sync *sync)
{
	gossip_node_fetch(sync->peers, GOSSIP_DOCUMENT_BUNDLE,
			  sync->fetching.version, on_peer_bundle, sync);
}

static void on_platform_bundle(void *data, enum err_kind err,
			       const struct platform_result *result)
{
	struct sync *sync = data;

	if (err == ERR_NONE && result->kv_count > 0 &&
	    bundle_apply(sync, result->kvs[0].value,
			 result->kvs[0].value_len)) {
		sync->fetching_bundle = false;
		action_run(sync, head_pending(&sync->head));
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
	sync->fetching = sync->head.known;
	if (peers_are_better(sync)) {
		peer_bundle_fetch(sync);
		return;
	}
	g_snprintf(key, sizeof(key), PLATFORM_PREFIX_BUNDLE "%" PRIu64,
		   sync->fetching.version);
	platform_range(sync->config.platform, key, false, on_platform_bundle,
		       sync);
}

static void placement_apply(struct sync *sync, const char *text, size_t len)
{
	if (!sync->bundle || !placement_load(sync, text, len))
		return;
	g_free(sync->placement);
	sync->placement = g_strndup(text, len);
	counter_inc(sync->config.counters, COUNTER_PLACEMENTS_APPLIED);
	log_debug("placement_applied", "placement %" PRIu64 " applied",
		  sync->view->number);
	notify(sync);
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
	/* The next try goes to the platform, and then to peers again. */
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

static void holder_look(void *data, const struct gossip_heartbeat *last,
			uint64_t heard_ms)
{
	uint64_t *greatest = data;

	if (heard_ms != 0)
		*greatest = MAX(*greatest, last->applied_placement);
}

/* Peers answer sooner than the platform, and spare its reads. */
static bool peer_holds_placement(const struct sync *sync)
{
	uint64_t greatest = 0;

	if (sync->peers)
		gossip_node_foreach_peer(sync->peers, holder_look, &greatest);
	return greatest >= sync->head.known.placement_number;
}

static void placement_fetch(struct sync *sync)
{
	if (sync->fetching_placement || !sync->bundle)
		return;
	sync->fetching_placement = true;
	if (peers_are_better(sync) ||
	    (peer_holds_placement(sync) && !sync->peer_placement_failed)) {
		peer_placement_fetch(sync);
		return;
	}
	platform_range(sync->config.platform, PLATFORM_KEY_PLACEMENT, false,
		       on_placement, sync);
}

static void action_run(struct sync *sync, struct head_action action)
{
	if (action.fetch_bundle)
		bundle_fetch(sync);
	if (action.fetch_placement)
		placement_fetch(sync);
}

/*
 * A roll that was refused a moment ago is passed over; what else the head
 * tells of the present still counts.
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

static void head_follow(struct sync *sync, struct head_action action)
{
	counter_inc(sync->config.counters, COUNTER_HEADS_HEARD);
	if (action.stale)
		counter_inc(sync->config.counters, COUNTER_HEADS_STALE);
	if (action.newer)
		peers_tell(sync);
	action_run(sync, action);
}

void sync_on_heartbeat(struct sync *sync,
		       const struct gossip_heartbeat *heartbeat,
		       uint64_t asked_ms)
{
	struct head heard = heartbeat->head;

	if (asked_ms != 0 && heartbeat->caught_up)
		quorum_votes_record(sync->votes, heartbeat->from.id, asked_ms,
				    MAX(heard.placement_number,
					heartbeat->applied_placement));
	refused_roll_mask(sync, &heard);
	head_follow(sync, head_update_from_peer(&sync->head, &heard));
	head_confirm_from_peer(&sync->head, heartbeat->applied_placement,
			       asked_ms, heartbeat->confirmed_age_ms);
}

static void platform_hear(struct sync *sync, const struct head *head)
{
	struct head heard = *head;

	refused_roll_mask(sync, &heard);
	head_follow(sync, head_update_from_platform(&sync->head, &heard,
						    sync->poll_asked_ms));
}

/* Takes the time at which peers confirmed the placement, if a majority did. */
static void majority_hear(struct sync *sync, uint64_t now_ms)
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
		majority_hear(sync, now_ms);
	return head_may_dispatch(&sync->head, now_ms);
}

/* Asks peers before the last confirmation is too old. */
static void on_ask(void *data)
{
	struct sync *sync = data;
	uint32_t window_ms = sync->config.dispatch_window_ms;
	uint64_t now_ms = loop_now_ms();

	loop_timer_set(sync->config.loop, &sync->ask_timer,
		       window_ms / SYNC_ASKS_PER_WINDOW);
	if (now_ms > window_ms)
		quorum_votes_drop_before(sync->votes, now_ms - window_ms);
	if (head_confirmation_age_ms(&sync->head, now_ms) <= window_ms / 2)
		return;
	majority_hear(sync, now_ms);
	if (sync->peers && sync->poll_failures > 0)
		gossip_node_probe_all(sync->peers);
	else if (sync->peers)
		gossip_node_announce(sync->peers);
}

static bool pulse_parse(const struct platform_result *result, struct head *out)
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

static void manager_note(struct sync *sync,
			 const struct platform_result *result)
{
	g_clear_pointer(&sync->manager, g_free);
	for (size_t i = 0; i < result->kv_count; i++) {
		if (strcmp(result->kvs[i].key, PLATFORM_KEY_MANAGER) == 0)
			sync->manager = g_strdup(result->kvs[i].value);
	}
}

/* Sets the time of the next read of the head. */
static void poll_set(struct sync *sync)
{
	const struct sync_config *config = &sync->config;
	const struct backoff_limits limits = { config->poll_ms,
					       SYNC_FAILED_READ_MAX_MS };
	uint32_t known = sync->peers ? gossip_node_known_count(sync->peers) : 1;
	uint32_t delay_ms = backoff_shared_period_ms(
		config->poll_ms, known, SYNC_READS_PER_S, g_random_int());

	if (sync->poll_failures > 0)
		delay_ms = backoff_delay_ms(&limits, sync->poll_failures,
					    g_random_int());
	loop_timer_set(config->loop, &sync->poll_timer, delay_ms);
}

static void malformed_head_note(struct sync *sync, bool malformed)
{
	if (malformed) {
		counter_inc(sync->config.counters, COUNTER_HEADS_MALFORMED);
		if (!sync->head_is_malformed)
			log_warning("head_malformed",
				    "the platform's head cannot be parsed");
	}
	sync->head_is_malformed = malformed;
}

static void on_pulse(void *data, enum err_kind err,
		     const struct platform_result *result)
{
	struct sync *sync = data;
	struct head head;
	bool parsed;

	sync->poll_failures = err == ERR_NONE ? 0 : sync->poll_failures + 1;
	poll_set(sync);
	if (err != ERR_NONE) {
		counter_inc(sync->config.counters, COUNTER_PLATFORM_ERRORS);
		return;
	}
	manager_note(sync, result);
	parsed = pulse_parse(result, &head);
	malformed_head_note(sync, !parsed);
	if (parsed)
		platform_hear(sync, &head);
}

static void on_poll(void *data)
{
	struct sync *sync = data;

	sync->poll_asked_ms = loop_now_ms();
	platform_range(sync->config.platform, PLATFORM_PREFIX_HEARTBEAT, true,
		       on_pulse, sync);
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
	sync->ask_timer.cb = on_ask;
	sync->ask_timer.data = sync;
	loop_timer_set(config->loop, &sync->ask_timer,
		       config->dispatch_window_ms / SYNC_ASKS_PER_WINDOW);
	return sync;
}

void sync_destroy(struct sync *sync)
{
	if (!sync)
		return;
	timer_cancel(&sync->poll_timer);
	timer_cancel(&sync->ask_timer);
	quorum_votes_destroy(sync->votes);
	bundle_unref(sync->bundle);
	placement_destroy(sync->view);
	g_free(sync->envelope);
	g_free(sync->placement);
	g_free(sync->manager);
	g_free(sync);
}

void sync_set_peers(struct sync *sync, struct gossip_node *peers,
		    void (*on_changed)(void *data))
{
	sync->peers = peers;
	sync->on_changed = on_changed;
}

const char *sync_manager_id(const struct sync *sync)
{
	return sync->manager;
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
		text = sync->placement;
	if (text)
		*len = (uint32_t)strlen(text);
	return text;
}
