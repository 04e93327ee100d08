/**
 * @file gossip_wire.h
 * @brief Encodes and decodes the datagrams of the gossip protocol.
 *
 * Prefix: gossip_wire_. Performs no I/O, so that the decoder can be fuzzed.
 * Uses the XDR codec generated from peer_prog.x and the RPC headers of
 * libtirpc.
 */
#ifndef GOSSIP_WIRE_H
#define GOSSIP_WIRE_H

#include <stddef.h>

#include "peer_prog.h"
#include "gossip.h"

/** Maximum size of a datagram. */
#define GOSSIP_WIRE_DATAGRAM_MAX_BYTES 9000

/** Message types. */
enum gossip_wire_kind {
	GOSSIP_WIRE_HEARTBEAT_CALL,
	GOSSIP_WIRE_HEARTBEAT_REPLY,
	GOSSIP_WIRE_FETCH_CALL,
	GOSSIP_WIRE_FETCH_REPLY,
	GOSSIP_WIRE_SLOT_REPORT,
	GOSSIP_WIRE_SLOT_GRANT,
};

/** Part of a document. */
struct gossip_wire_chunk {
	/** size of the document in bytes, 0 if the peer does not have it */
	uint32_t total;
	uint32_t offset;
	uint32_t len;
	char bytes[PEER_CHUNK_MAX];
};

/** A message; kind selects the member in use. */
struct gossip_wire_message {
	enum gossip_wire_kind kind;
	uint32_t xid;
	struct gossip_heartbeat heartbeat;
	struct peer_fetch fetch;
	struct gossip_wire_chunk chunk;
	/** member ID of the sender of a slot message */
	char from[MEMBER_ID_BYTES];
	struct slot_report report;
	struct slot_grant grant;
};

/** @brief Encodes or decodes the body of a slot message, by xdrs->x_op. */
bool gossip_wire_slots_xdr(XDR *xdrs, struct gossip_wire_message *message);

/**
 * @brief Encodes a message.
 * @param buffer at least GOSSIP_WIRE_DATAGRAM_MAX_BYTES
 * @return size of the datagram in bytes
 */
size_t gossip_wire_encode(const struct gossip_wire_message *message,
			  char *buffer);

/**
 * @brief Decodes a datagram.
 * @param reply_procedure looks up the procedure of the call in flight with an
 *        xid, which replies do not carry; returns false if there is none
 * @return ERR_NONE, ERR_MALFORMED, or ERR_NOT_FOUND for a reply without a call
 */
enum err_kind gossip_wire_decode(const char *buffer, size_t len,
				 bool (*reply_procedure)(void *data,
							 uint32_t xid,
							 uint32_t *procedure),
				 void *data, struct gossip_wire_message *out);

#endif
