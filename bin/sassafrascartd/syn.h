/**
 * @file syn.h
 * @brief Keeps this process at the newest roll and placement.
 *
 * Prefix: syn_. The head is read from the platform at a fixed pace and heard
 * from peers; a bundle is verified before it is applied, whoever sent it.
 */
#ifndef SYN_H
#define SYN_H

#include "bundle.h"
#include "counter.h"
#include "loop.h"
#include "head.h"
#include "gossip.h"
#include "placement.h"
#include "platform_client.h"
#include "signing.h"

/** The state of synchronisation, opaque. */
struct syn_sync;

/** Called after a bundle or placement was applied; view may be NULL. */
typedef void (*syn_cb)(void *data, struct bundle *bundle,
		       const struct placement *view);

/** What synchronisation works with; all borrowed. */
struct syn_config {
	struct loop *loop;
	struct platform *platform;
	const struct signing_trust_store *trust;
	struct counter_set *counters;
	/** this process's identity */
	const char *id;
	uint32_t poll_ms;
	uint32_t dispatch_window_ms;
};

/** @brief Starts reading heads. */
struct syn_sync *syn_sync_create(const struct syn_config *config, syn_cb cb,
				 void *data);

/** @brief Stops. @param sync may be NULL */
void syn_sync_destroy(struct syn_sync *sync);

/**
 * @brief Sets the peer side that documents may be fetched from.
 * @param on_changed called with the data of syn_sync_create() when a newer
 *        head became known or its bundle was applied, so that peers can be
 *        told at once
 */
void syn_sync_set_peers(struct syn_sync *sync, struct gossip_node *peers,
			void (*on_changed)(void *data));

/**
 * @brief Takes what a peer tells.
 * @param asked_ms monotonic time at which the question for it was sent, 0 if
 *        none was
 */
void syn_sync_hear(struct syn_sync *sync,
		   const struct gossip_heartbeat *heartbeat, uint64_t asked_ms);

/** @brief Tells whether this process may dispatch at this moment. */
bool syn_sync_may_dispatch(struct syn_sync *sync);

/** @brief Takes a placement that this process wrote as manager. */
void syn_sync_take_placement(struct syn_sync *sync, const char *text);

/** @brief Returns who held the manager key at the last read, or NULL. */
const char *syn_sync_manager(const struct syn_sync *sync);

/** @brief Returns the state of the head, owned by the synchronisation. */
const struct head_state *syn_sync_state(const struct syn_sync *sync);

/** @brief Returns the bundle in force, or NULL. */
struct bundle *syn_sync_bundle(const struct syn_sync *sync);

/** @brief Returns the placement applied, or NULL. */
const struct placement *syn_sync_view(const struct syn_sync *sync);

/** @brief Returns the wall-clock time at which the bundle was applied, in
 *  milliseconds since 1970; 0 while none is in force. */
uint64_t syn_sync_applied_at_ms(const struct syn_sync *sync);

/** @brief Returns the text of a document held here, or NULL. */
const char *syn_sync_document(const struct syn_sync *sync,
			      enum gossip_document document, uint64_t number,
			      uint32_t *len);

#endif
