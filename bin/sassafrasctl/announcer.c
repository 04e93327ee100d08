#include "announcer.h"

#include <string.h>

#include "gossip.h"
#include "rollout.h"

#define ANNOUNCER_HEARTBEAT_MS 500
#define ANNOUNCER_FAN_OUT 64
#define ANNOUNCER_PEER_TIMEOUT_MS 8000
/*
 * All instances of sassafrasctl share this member id, so that they occupy a
 * single row in the member table of each sassafrascartd process.
 */
#define ANNOUNCER_ID "desk"

struct announcer {
	struct gossip_node *node;
	const struct stored_head *head;
	const char *envelope;
};

static void heartbeat_fill(void *data, struct gossip_heartbeat *heartbeat)
{
	const struct announcer *announcer = data;
	const struct stored_head *head = announcer->head;

	heartbeat->head.roll = head->roll;
	heartbeat->head.version = head->version;
	memcpy(heartbeat->head.digest, head->digest, HEAD_DIGEST_BYTES);
	heartbeat->applied_roll = head->roll;
}

static void on_heartbeat(void *data, const struct gossip_heartbeat *heartbeat,
			 uint64_t sent_ms)
{
}

static const char *on_document(void *data, enum gossip_document document,
			       uint64_t number, uint32_t *len)
{
	const struct announcer *announcer = data;

	if (document != GOSSIP_DOCUMENT_BUNDLE ||
	    number != announcer->head->version)
		return NULL;
	*len = (uint32_t)strlen(announcer->envelope);
	return announcer->envelope;
}

static const struct gossip_ops announcer_ops = {
	.fill_heartbeat = heartbeat_fill,
	.on_heartbeat = on_heartbeat,
	.document = on_document,
};

static void members_announce(struct announcer *announcer,
			     const GArray *statuses)
{
	for (guint i = 0; i < statuses->len; i++)
		gossip_node_add_member(
			announcer->node,
			&g_array_index(statuses, struct rollout_status, i)
				 .member);
	gossip_node_announce(announcer->node);
}

struct announcer *announcer_create(struct cli_context *ctx,
				   const struct stored_head *head,
				   const GArray *statuses, const char *envelope)
{
	struct announcer *announcer = g_new0(struct announcer, 1);
	const struct gossip_config config = {
		.self = { .id = ANNOUNCER_ID,
			  .ip = "0.0.0.0",
			  .incarnation = head->at_ms },
		.heartbeat_interval_ms = ANNOUNCER_HEARTBEAT_MS,
		.fan_out = ANNOUNCER_FAN_OUT,
		.unreachable_after_ms = ANNOUNCER_PEER_TIMEOUT_MS,
	};

	announcer->head = head;
	announcer->envelope = envelope;
	if (gossip_node_create(cli_context_loop(ctx), &config, &announcer_ops,
			       announcer, &announcer->node) != ERR_NONE) {
		g_free(announcer);
		return NULL;
	}
	members_announce(announcer, statuses);
	return announcer;
}

void announcer_destroy(struct announcer *announcer)
{
	if (!announcer)
		return;
	gossip_node_destroy(announcer->node);
	g_free(announcer);
}
