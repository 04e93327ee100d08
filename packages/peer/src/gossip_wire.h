/**
 * @file gossip_wire.h
 * @brief Encodes and decodes the datagrams of the peer protocol.
 *
 * Prefix: gossip_wire_. No input or output, so that the decoder can be fuzzed.
 * The generated XDR codec and the RPC headers of libtirpc do the work.
 */
#ifndef GOSSIP_WIRE_H
#define GOSSIP_WIRE_H

#include <stddef.h>

#include "peer_prog.h"
#include "gossip.h"

/** Largest datagram of the protocol. */
#define GOSSIP_WIRE_DATAGRAM_MAX_BYTES 9000

/** What a datagram is. */
enum gossip_wire_kind {
	GOSSIP_WIRE_HEARTBEAT_CALL,
	GOSSIP_WIRE_HEARTBEAT_REPLY,
	GOSSIP_WIRE_FETCH_CALL,
	GOSSIP_WIRE_FETCH_REPLY,
	GOSSIP_WIRE_SLOT_REPORT,
	GOSSIP_WIRE_SLOT_GRANT,
};

/** A part of a document. */
struct gossip_wire_chunk {
	uint32_t total;
	uint32_t offset;
	uint32_t len;
	char bytes[PEER_CHUNK_MAX];
};

/** A decoded or to be encoded message; kind says which member counts. */
struct gossip_wire_message {
	enum gossip_wire_kind kind;
	uint32_t xid;
	struct gossip_heartbeat heartbeat;
	struct peer_fetch fetch;
	struct gossip_wire_chunk chunk;
	/** sender of a slot message */
	char from[MEMBER_ID_BYTES];
	struct slot_report report;
	struct slot_grant grant;
};

/** @brief Encodes or decodes the body of a slot message. */
bool gossip_wire_slots_xdr(XDR *xdrs, struct gossip_wire_message *message);

/**
 * @brief Encodes a message.
 * @param buffer of GOSSIP_WIRE_DATAGRAM_MAX_BYTES
 * @return number of bytes
 */
size_t gossip_wire_encode(const struct gossip_wire_message *message,
			  char *buffer);

/**
 * @brief Decodes a call, or a reply to a call of the procedure given.
 * @param reply_procedure procedure of the call that a reply would answer;
 *        asked for by its xid
 * @return ERR_NONE, ERR_MALFORMED, or ERR_NOT_FOUND for a reply to no call
 */
enum err_kind gossip_wire_decode(const char *buffer, size_t len,
				 bool (*reply_procedure)(void *data,
							 uint32_t xid,
							 uint32_t *procedure),
				 void *data, struct gossip_wire_message *out);

#endif
