#include "gossip_wire.h"

#include <glib.h>
#include <rpc/rpc_msg.h>
#include <string.h>

static void leaving_to_xdr(const struct gossip_heartbeat *in,
			   peer_heartbeat *out, peer_leaving *leaving)
{
	for (uint32_t i = 0; i < in->draining_count; i++) {
		leaving[i].vm = (char *)in->draining[i].vm;
		leaving[i].left_ms = in->draining[i].ttl_ms;
		leaving[i].placement = in->draining[i].placement;
	}
	out->leaving.leaving_len = in->draining_count;
	out->leaving.leaving_val = leaving;
}

static void leaving_from_xdr(const peer_heartbeat *in,
			     struct gossip_heartbeat *out)
{
	out->draining_count = in->leaving.leaving_len;
	for (uint32_t i = 0; i < out->draining_count; i++) {
		const peer_leaving *wire = &in->leaving.leaving_val[i];
		struct draining_notice *notice = &out->draining[i];

		g_strlcpy(notice->vm, wire->vm, sizeof(notice->vm));
		notice->ttl_ms = wire->left_ms;
		notice->placement = wire->placement;
	}
}

static void loads_to_xdr(const struct gossip_heartbeat *in, peer_heartbeat *out,
			 peer_load *loads)
{
	for (uint32_t i = 0; i < in->load_count; i++) {
		loads[i].pool = in->loads[i].pool;
		loads[i].slots = in->loads[i].slots;
	}
	out->loads.loads_len = in->load_count;
	out->loads.loads_val = loads;
}

static void loads_from_xdr(const peer_heartbeat *in,
			   struct gossip_heartbeat *out)
{
	out->load_count = in->loads.loads_len;
	for (uint32_t i = 0; i < out->load_count; i++) {
		out->loads[i].pool = in->loads.loads_val[i].pool;
		out->loads[i].slots = in->loads.loads_val[i].slots;
	}
}

static void heartbeat_to_xdr(const struct gossip_heartbeat *in,
			     peer_heartbeat *out)
{
	out->from.id = (char *)in->from.id;
	out->from.ip = (char *)in->from.ip;
	out->from.http_port = in->from.http_port;
	out->from.rpc_port = in->from.rpc_port;
	out->from.incarnation = in->from.incarnation;
	out->head.roll = in->head.roll;
	out->head.bundle_version = in->head.version;
	out->head.digest = (char *)in->head.digest;
	out->head.placement_number = in->head.placement_number;
	out->applied_roll = in->applied_roll;
	out->applied_placement = in->applied_placement;
	out->shutting_down = in->shutting_down;
	out->caught_up = in->caught_up;
	out->confirmed_age_ms = in->confirmed_age_ms;
}

static bool heartbeat_from_xdr(const peer_heartbeat *in,
			       struct gossip_heartbeat *out)
{
	if (in->from.http_port > UINT16_MAX || in->from.rpc_port > UINT16_MAX ||
	    in->from.id[0] == '\0')
		return false;
	/* Numbers beyond those that a desk can write are nobody's. */
	if (in->head.roll > INT64_MAX / 2 ||
	    in->head.placement_number > INT64_MAX / 2)
		return false;
	g_strlcpy(out->from.id, in->from.id, sizeof(out->from.id));
	g_strlcpy(out->from.ip, in->from.ip, sizeof(out->from.ip));
	out->from.http_port = (uint16_t)in->from.http_port;
	out->from.rpc_port = (uint16_t)in->from.rpc_port;
	out->from.incarnation = in->from.incarnation;
	out->head.roll = in->head.roll;
	out->head.version = in->head.bundle_version;
	g_strlcpy(out->head.digest, in->head.digest, sizeof(out->head.digest));
	out->head.placement_number = in->head.placement_number;
	out->applied_roll = in->applied_roll;
	out->applied_placement = in->applied_placement;
	out->shutting_down = in->shutting_down;
	out->caught_up = in->caught_up;
	out->confirmed_age_ms = in->confirmed_age_ms;
	leaving_from_xdr(in, out);
	loads_from_xdr(in, out);
	return true;
}

static bool heartbeat_code(XDR *xdrs, struct gossip_heartbeat *heartbeat)
{
	peer_leaving leaving[PEER_LEAVING_MAX];
	peer_load loads[PEER_LOADS_MAX];
	peer_heartbeat wire = { 0 };
	bool ok;

	if (xdrs->x_op == XDR_ENCODE) {
		heartbeat_to_xdr(heartbeat, &wire);
		leaving_to_xdr(heartbeat, &wire, leaving);
		loads_to_xdr(heartbeat, &wire, loads);
		return xdr_peer_heartbeat(xdrs, &wire);
	}
	ok = xdr_peer_heartbeat(xdrs, &wire) &&
	     heartbeat_from_xdr(&wire, heartbeat);
	xdr_free((xdrproc_t)xdr_peer_heartbeat, (char *)&wire);
	return ok;
}

static bool chunk_code(XDR *xdrs, struct gossip_wire_chunk *chunk)
{
	peer_chunk wire = { 0 };
	bool ok;

	if (xdrs->x_op == XDR_ENCODE) {
		wire.total = chunk->total;
		wire.offset = chunk->offset;
		wire.bytes.bytes_len = chunk->len;
		wire.bytes.bytes_val = chunk->bytes;
		return xdr_peer_chunk(xdrs, &wire);
	}
	ok = xdr_peer_chunk(xdrs, &wire);
	if (ok) {
		chunk->total = wire.total;
		chunk->offset = wire.offset;
		chunk->len = wire.bytes.bytes_len;
		if (chunk->len > 0)
			memcpy(chunk->bytes, wire.bytes.bytes_val, chunk->len);
	}
	xdr_free((xdrproc_t)xdr_peer_chunk, (char *)&wire);
	return ok;
}

static bool body_code(XDR *xdrs, struct gossip_wire_message *message)
{
	switch (message->kind) {
	case GOSSIP_WIRE_HEARTBEAT_CALL:
	case GOSSIP_WIRE_HEARTBEAT_REPLY:
		return heartbeat_code(xdrs, &message->heartbeat);
	case GOSSIP_WIRE_FETCH_CALL:
		return xdr_peer_fetch(xdrs, &message->fetch);
	case GOSSIP_WIRE_FETCH_REPLY:
		return chunk_code(xdrs, &message->chunk);
	case GOSSIP_WIRE_SLOT_REPORT:
	case GOSSIP_WIRE_SLOT_GRANT:
		break;
	}
	return gossip_wire_slots_xdr(xdrs, message);
}

/* Calls of the protocol and the kinds of their messages. */
static const struct {
	enum gossip_wire_kind kind;
	uint32_t procedure;
} calls[] = { { GOSSIP_WIRE_HEARTBEAT_CALL, PEER_HEARTBEAT },
	      { GOSSIP_WIRE_FETCH_CALL, PEER_FETCH },
	      { GOSSIP_WIRE_SLOT_REPORT, PEER_SLOT_REPORT },
	      { GOSSIP_WIRE_SLOT_GRANT, PEER_SLOT_GRANT } };

/* Returns 0 for a reply. */
static uint32_t procedure_of(enum gossip_wire_kind kind)
{
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (calls[i].kind == kind)
			return calls[i].procedure;
	}
	return 0;
}

static bool kind_of(uint32_t procedure, enum gossip_wire_kind *kind)
{
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (calls[i].procedure != procedure)
			continue;
		*kind = calls[i].kind;
		return true;
	}
	return false;
}

static bool_t no_results(XDR *xdrs, ...)
{
	return TRUE;
}

static bool header_encode(XDR *xdrs, const struct gossip_wire_message *message)
{
	struct rpc_msg rpc = { .rm_xid = message->xid };
	uint32_t procedure = procedure_of(message->kind);

	if (procedure != 0) {
		rpc.rm_direction = CALL;
		rpc.rm_call.cb_rpcvers = RPC_MSG_VERSION;
		rpc.rm_call.cb_prog = PEER_PROGRAM;
		rpc.rm_call.cb_vers = PEER_VERSION;
		rpc.rm_call.cb_proc = procedure;
		return xdr_callmsg(xdrs, &rpc);
	}
	rpc.rm_direction = REPLY;
	rpc.rm_reply.rp_stat = MSG_ACCEPTED;
	rpc.acpted_rply.ar_stat = SUCCESS;
	rpc.acpted_rply.ar_results.proc = (xdrproc_t)no_results;
	return xdr_replymsg(xdrs, &rpc);
}

size_t gossip_wire_encode(const struct gossip_wire_message *message,
			  char *buffer)
{
	struct gossip_wire_message copy = *message;
	size_t len;
	XDR xdrs;

	xdrmem_create(&xdrs, buffer, GOSSIP_WIRE_DATAGRAM_MAX_BYTES,
		      XDR_ENCODE);
	if (!header_encode(&xdrs, &copy) || !body_code(&xdrs, &copy))
		g_error("a peer message does not fit its datagram");
	len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return len;
}

static bool call_decode(XDR *xdrs, struct gossip_wire_message *out)
{
	char credentials[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg rpc = { 0 };

	rpc.rm_call.cb_cred.oa_base = credentials;
	rpc.rm_call.cb_verf.oa_base = verifier;
	if (!xdr_callmsg(xdrs, &rpc) || rpc.rm_call.cb_prog != PEER_PROGRAM ||
	    rpc.rm_call.cb_vers != PEER_VERSION)
		return false;
	out->xid = rpc.rm_xid;
	return kind_of(rpc.rm_call.cb_proc, &out->kind) && body_code(xdrs, out);
}

static bool reply_decode(XDR *xdrs, uint32_t procedure,
			 struct gossip_wire_message *out)
{
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg rpc = { 0 };

	rpc.acpted_rply.ar_verf.oa_base = verifier;
	rpc.acpted_rply.ar_results.proc = (xdrproc_t)no_results;
	if (!xdr_replymsg(xdrs, &rpc) || rpc.rm_reply.rp_stat != MSG_ACCEPTED ||
	    rpc.acpted_rply.ar_stat != SUCCESS)
		return false;
	out->xid = rpc.rm_xid;
	out->kind = procedure == PEER_FETCH ? GOSSIP_WIRE_FETCH_REPLY
					    : GOSSIP_WIRE_HEARTBEAT_REPLY;
	return body_code(xdrs, out);
}

/* The first two words of a message are its xid and its direction. */
static bool head_peek(const char *buffer, size_t len, uint32_t *xid,
		      uint32_t *direction)
{
	uint32_t words[2];

	if (len < sizeof(words))
		return false;
	memcpy(words, buffer, sizeof(words));
	*xid = g_ntohl(words[0]);
	*direction = g_ntohl(words[1]);
	return true;
}

enum err_kind gossip_wire_decode(const char *buffer, size_t len,
				 bool (*reply_procedure)(void *data,
							 uint32_t xid,
							 uint32_t *procedure),
				 void *data, struct gossip_wire_message *out)
{
	uint32_t procedure = 0;
	uint32_t direction;
	uint32_t xid;
	bool ok;
	XDR xdrs;

	if (len > GOSSIP_WIRE_DATAGRAM_MAX_BYTES ||
	    !head_peek(buffer, len, &xid, &direction))
		return ERR_MALFORMED;
	if (direction != CALL && !reply_procedure(data, xid, &procedure))
		return ERR_NOT_FOUND;
	xdrmem_create(&xdrs, (char *)buffer, (u_int)len, XDR_DECODE);
	ok = direction == CALL ? call_decode(&xdrs, out)
			       : reply_decode(&xdrs, procedure, out);
	xdr_destroy(&xdrs);
	return ok ? ERR_NONE : ERR_MALFORMED;
}
