#include "gossip_wire.h"

#include <glib.h>

static void counts_to_xdr(const struct slot_holding *in, uint32_t count,
			  peer_slot_count *out)
{
	for (uint32_t i = 0; i < count; i++) {
		out[i].vm = in[i].vm;
		out[i].held = in[i].held;
		out[i].avoid = in[i].avoid;
	}
}

static void counts_from_xdr(const peer_slot_count *in, uint32_t count,
			    struct slot_holding *out)
{
	for (uint32_t i = 0; i < count; i++) {
		out[i].vm = in[i].vm;
		out[i].held = in[i].held;
		out[i].avoid = in[i].avoid;
	}
}

static bool report_encode(XDR *xdrs, const struct gossip_wire_message *message)
{
	peer_slot_count counts[SLOT_VMS_MAX];
	const struct slot_report *report = &message->report;
	peer_slot_report wire = {
		.from = (char *)message->from,
		.pool = report->pool,
		.incarnation = report->incarnation,
		.sequence = report->sequence,
		.in_use = report->in_use,
		.waiting = report->waiting,
		.spare = report->spare,
		.counts = { report->count, counts },
	};

	counts_to_xdr(report->holdings, report->count, counts);
	return xdr_peer_slot_report(xdrs, &wire);
}

static bool report_decode(XDR *xdrs, struct gossip_wire_message *message)
{
	struct slot_report *report = &message->report;
	peer_slot_report wire = { 0 };
	bool ok = xdr_peer_slot_report(xdrs, &wire);

	if (ok) {
		g_strlcpy(message->from, wire.from, sizeof(message->from));
		report->pool = wire.pool;
		report->holder = slot_key(message->from);
		report->incarnation = wire.incarnation;
		report->sequence = wire.sequence;
		report->in_use = wire.in_use;
		report->waiting = wire.waiting;
		report->spare = wire.spare;
		report->count = wire.counts.counts_len;
		counts_from_xdr(wire.counts.counts_val, report->count,
				report->holdings);
	}
	xdr_free((xdrproc_t)xdr_peer_slot_report, (char *)&wire);
	return ok;
}

static bool grant_encode(XDR *xdrs, const struct gossip_wire_message *message)
{
	peer_slot_count counts[SLOT_VMS_MAX];
	const struct slot_grant *grant = &message->grant;
	peer_slot_grant wire = {
		.from = (char *)message->from,
		.pool = grant->pool,
		.incarnation = grant->incarnation,
		.sequence = grant->sequence,
		.revision = grant->version,
		.learning = grant->recovering,
		.keep = grant->in_use_max,
		.counts = { grant->count, counts },
	};

	counts_to_xdr(grant->holdings, grant->count, counts);
	return xdr_peer_slot_grant(xdrs, &wire);
}

static bool grant_decode(XDR *xdrs, struct gossip_wire_message *message)
{
	struct slot_grant *grant = &message->grant;
	peer_slot_grant wire = { 0 };
	bool ok = xdr_peer_slot_grant(xdrs, &wire);

	if (ok) {
		g_strlcpy(message->from, wire.from, sizeof(message->from));
		grant->pool = wire.pool;
		grant->incarnation = wire.incarnation;
		grant->sequence = wire.sequence;
		grant->version = wire.revision;
		grant->recovering = wire.learning;
		grant->in_use_max = wire.keep;
		grant->count = wire.counts.counts_len;
		counts_from_xdr(wire.counts.counts_val, grant->count,
				grant->holdings);
	}
	xdr_free((xdrproc_t)xdr_peer_slot_grant, (char *)&wire);
	return ok;
}

bool gossip_wire_slots_xdr(XDR *xdrs, struct gossip_wire_message *message)
{
	bool encode = xdrs->x_op == XDR_ENCODE;

	if (message->kind == GOSSIP_WIRE_SLOT_REPORT)
		return encode ? report_encode(xdrs, message)
			      : report_decode(xdrs, message);
	return encode ? grant_encode(xdrs, message)
		      : grant_decode(xdrs, message);
}
