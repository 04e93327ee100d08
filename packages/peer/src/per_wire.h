/**
 * @file per_wire.h
 * @brief Encodes and decodes the datagrams of the peer protocol.
 *
 * Prefix: pwr_. No input or output, so that the decoder can be fuzzed. The
 * generated XDR codec and the RPC headers of libtirpc do the work.
 */
#ifndef PER_WIRE_H
#define PER_WIRE_H

#include <stddef.h>

#include "peer_prog.h"
#include "per.h"

/** Largest datagram of the protocol. */
#define PWR_DATAGRAM_MAX_BYTES 9000

/** What a datagram is. */
enum pwr_kind {
	PWR_HEARTBEAT_CALL,
	PWR_HEARTBEAT_REPLY,
	PWR_FETCH_CALL,
	PWR_FETCH_REPLY,
	PWR_SLOT_REPORT,
	PWR_SLOT_GRANT,
};

/** A part of a document. */
struct pwr_chunk {
	uint32_t total;
	uint32_t offset;
	uint32_t len;
	char bytes[PEER_CHUNK_MAX];
};

/** A decoded or to be encoded message; kind says which member counts. */
struct pwr_message {
	enum pwr_kind kind;
	uint32_t xid;
	struct per_heartbeat heartbeat;
	struct peer_fetch fetch;
	struct pwr_chunk chunk;
	/** sender of a slot message */
	char from[MEMBER_ID_BYTES];
	struct slot_report report;
	struct slot_grant grant;
};

/** @brief Encodes or decodes the body of a slot message. */
bool pwr_slots_code(XDR *xdrs, struct pwr_message *message);

/**
 * @brief Encodes a message.
 * @param buffer of PWR_DATAGRAM_MAX_BYTES
 * @return number of bytes
 */
size_t pwr_encode(const struct pwr_message *message, char *buffer);

/**
 * @brief Decodes a call, or a reply to a call of the procedure given.
 * @param reply_procedure procedure of the call that a reply would answer;
 *        asked for by its xid
 * @return ERR_NONE, ERR_MALFORMED, or ERR_NOT_FOUND for a reply to no call
 */
enum err_kind pwr_decode(const char *buffer, size_t len,
			 bool (*reply_procedure)(void *data, uint32_t xid,
						 uint32_t *procedure),
			 void *data, struct pwr_message *out);

#endif
