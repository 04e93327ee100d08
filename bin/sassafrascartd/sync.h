/**
 * @file sync.h
 * @brief Keeps this process up to date with the newest roll and placement.
 *
 * Prefix: sync_. A roll is the rollout of a bundle; the head names the newest
 * roll and the number of the newest placement. The head is polled from the
 * platform and received from peers. A bundle is verified before it is applied,
 * whether the platform or a peer sent it.
 */
#ifndef SYNC_H
#define SYNC_H

#include "bundle.h"
#include "counter.h"
#include "loop.h"
#include "head.h"
#include "gossip.h"
#include "placement.h"
#include "platform_client.h"
#include "signing.h"

/** The synchronization state, opaque. */
struct sync;

/** Called after a bundle or placement was applied. @param view may be NULL */
typedef void (*sync_cb)(void *data, struct bundle *bundle,
			const struct placement *view);

/** Configuration and dependencies; all pointers are borrowed. */
struct sync_config {
	struct loop *loop;
	struct platform *platform;
	const struct signing_trust_store *trust;
	struct counter_set *counters;
	/** identity of this process */
	const char *id;
	uint32_t poll_ms;
	uint32_t dispatch_window_ms;
};

/** @brief Starts polling the head. */
struct sync *sync_create(const struct sync_config *config, sync_cb cb,
			 void *data);

/** @brief Stops and frees the synchronization. @param sync may be NULL */
void sync_destroy(struct sync *sync);

/**
 * @brief Sets the peer node that documents may be fetched through.
 * @param on_head_changed called with the data of sync_create() when a newer
 *         head became known or its bundle was applied, so that peers can be
 *         notified at once
 */
void sync_set_peers(struct sync *sync, struct gossip_node *peers,
		    void (*on_head_changed)(void *data));

/**
 * @brief Handles a peer's heartbeat.
 * @param sent_ms monotonic time at which this process sent the heartbeat that
 *         the peer replies to; 0 if the peer's heartbeat is not a reply
 */
void sync_on_heartbeat(struct sync *sync,
		       const struct gossip_heartbeat *heartbeat,
		       uint64_t sent_ms);

/** @brief Returns whether this process may dispatch requests now. */
bool sync_may_dispatch(struct sync *sync);

/** @brief Applies a placement that this process wrote as manager. */
void sync_placement_apply(struct sync *sync, const char *text);

/** @brief Returns the holder of the manager key at the last read, or NULL. */
const char *sync_manager_id(const struct sync *sync);

/** @brief Returns the state of the head, owned by sync. */
const struct head_state *sync_head_state(const struct sync *sync);

/** @brief Returns the active bundle, or NULL. */
struct bundle *sync_bundle(const struct sync *sync);

/** @brief Returns the applied placement, or NULL. */
const struct placement *sync_placement_view(const struct sync *sync);

/**
 * @brief Returns the wall-clock time at which the bundle was applied, in
 * milliseconds since 1970; 0 without an active bundle.
 */
uint64_t sync_applied_at_ms(const struct sync *sync);

/**
 * @brief Returns the text of a document that this process has, or NULL.
 * @param number version of the bundle, or least number of the placement
 * @param len set to the length of the text
 */
const char *sync_document(const struct sync *sync,
			  enum gossip_document document, uint64_t number,
			  uint32_t *len);

#endif
