#include "job_wire.h"

#include <rpc/rpc_msg.h>
#include <string.h>

/* Flag of the last fragment in a record mark (RFC 5531, 11). */
#define JOB_WIRE_LAST_FRAGMENT 0x80000000u
/* Space for a record's RPC header and fields other than its strings. */
#define JOB_WIRE_HEADERS_MAX_BYTES 256

static GByteArray *buffer_create(size_t text_bytes)
{
	GByteArray *out = g_byte_array_new();

	/* XDR pads each string to a multiple of four bytes, which the space for
	 * the headers covers. */
	g_byte_array_set_size(out,
			      (guint)(JOB_WIRE_MARK_BYTES +
				      JOB_WIRE_HEADERS_MAX_BYTES + text_bytes));
	return out;
}

static void buffer_finish(GByteArray *out, guint record_bytes)
{
	uint32_t mark = GUINT32_TO_BE(JOB_WIRE_LAST_FRAGMENT | record_bytes);

	memcpy(out->data, &mark, sizeof(mark));
	g_byte_array_set_size(out, JOB_WIRE_MARK_BYTES + record_bytes);
}

enum err_kind job_wire_call_encode(uint32_t xid, const struct jobs_call *call,
				   GByteArray **out)
{
	struct pjb_call wire = {
		.verb = call->verb,
		.deadline_ms = call->deadline_ms,
		.queue = (char *)(call->queue ? call->queue : ""),
		.id = (char *)(call->id ? call->id : ""),
		.spec = (char *)(call->spec ? call->spec : ""),
	};
	struct pjb_account account = { .name = (char *)call->account };
	struct rpc_msg header = { .rm_xid = xid, .rm_direction = CALL };
	g_autoptr(GByteArray) bytes = NULL;
	XDR xdrs;

	header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	header.rm_call.cb_prog = SASSAFRASCART_JOBS;
	header.rm_call.cb_vers = SASSAFRASCART_JOBS_V1;
	header.rm_call.cb_proc = SASSAFRASCART_JOB_CALL;
	header.rm_call.cb_cred = _null_auth;
	header.rm_call.cb_verf = _null_auth;
	bytes = buffer_create(strlen(wire.queue) + strlen(wire.id) +
			      strlen(wire.spec) +
			      (account.name ? strlen(account.name) : 0));
	xdrmem_create(&xdrs, (char *)bytes->data + JOB_WIRE_MARK_BYTES,
		      bytes->len - JOB_WIRE_MARK_BYTES, XDR_ENCODE);
	if (!xdr_callmsg(&xdrs, &header) || !xdr_pjb_call(&xdrs, &wire) ||
	    (account.name && !xdr_pjb_account(&xdrs, &account)))
		return ERR_TOO_LARGE;
	buffer_finish(bytes, xdr_getpos(&xdrs));
	*out = g_steal_pointer(&bytes);
	return ERR_NONE;
}

GByteArray *job_wire_reply_encode(uint32_t xid,
				  const struct jobs_answer *answer,
				  struct job_rpc_confirmation confirmation)
{
	g_autofree char *why =
		g_strndup(answer->why ? answer->why : "", PJB_TEXT_MAX);
	struct pjb_answer wire = {
		.outcome = answer->outcome,
		.state = answer->state,
		.waiting = answer->waiting,
		.retry_after_ms = answer->retry_after_ms,
		.why = why,
	};
	struct pjb_confirmation age = {
		.config_version = confirmation.config_version,
		.age_ms = confirmation.age_ms,
	};
	struct rpc_msg header = { .rm_xid = xid, .rm_direction = REPLY };
	GByteArray *out = buffer_create(strlen(wire.why));
	XDR xdrs;
	bool ok;

	header.rm_reply.rp_stat = MSG_ACCEPTED;
	header.acpted_rply.ar_verf = _null_auth;
	header.acpted_rply.ar_stat = SUCCESS;
	header.acpted_rply.ar_results.where = (caddr_t)&wire;
	header.acpted_rply.ar_results.proc = (xdrproc_t)xdr_pjb_answer;
	xdrmem_create(&xdrs, (char *)out->data + JOB_WIRE_MARK_BYTES,
		      out->len - JOB_WIRE_MARK_BYTES, XDR_ENCODE);
	ok = xdr_replymsg(&xdrs, &header) &&
	     (age.config_version == 0 || xdr_pjb_confirmation(&xdrs, &age));
	g_assert(ok);
	buffer_finish(out, xdr_getpos(&xdrs));
	return out;
}

enum err_kind job_wire_record_size(const char *bytes, size_t len, size_t *size)
{
	uint32_t mark;

	if (len < JOB_WIRE_MARK_BYTES)
		return ERR_PENDING;
	memcpy(&mark, bytes, sizeof(mark));
	mark = GUINT32_FROM_BE(mark);
	if (!(mark & JOB_WIRE_LAST_FRAGMENT) ||
	    (mark & ~JOB_WIRE_LAST_FRAGMENT) > JOB_WIRE_RECORD_MAX_BYTES)
		return ERR_MALFORMED;
	*size = JOB_WIRE_MARK_BYTES + (mark & ~JOB_WIRE_LAST_FRAGMENT);
	return len < *size ? ERR_PENDING : ERR_NONE;
}

/* Older processes send no account and no confirmation. */
static bool call_decode(XDR *xdrs, u_int len, struct job_wire_message *out)
{
	/* Without these buffers, libtirpc would allocate its own, which would
	 * leak. */
	char credentials[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg header = { 0 };
	bool ok;

	header.rm_call.cb_cred.oa_base = credentials;
	header.rm_call.cb_verf.oa_base = verifier;
	ok = xdr_callmsg(xdrs, &header) &&
	     header.rm_call.cb_rpcvers == RPC_MSG_VERSION &&
	     header.rm_call.cb_prog == SASSAFRASCART_JOBS &&
	     header.rm_call.cb_vers == SASSAFRASCART_JOBS_V1 &&
	     header.rm_call.cb_proc == SASSAFRASCART_JOB_CALL;
	out->xid = header.rm_xid;
	return ok && xdr_pjb_call(xdrs, &out->call) &&
	       (xdr_getpos(xdrs) == len ||
		xdr_pjb_account(xdrs, &out->account)) &&
	       out->call.verb <= JOBS_WAITING;
}

static bool reply_decode(XDR *xdrs, u_int len, struct job_wire_message *out)
{
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg header = { 0 };
	bool ok;

	header.acpted_rply.ar_verf.oa_base = verifier;
	header.acpted_rply.ar_results.where = (caddr_t)&out->answer;
	header.acpted_rply.ar_results.proc = (xdrproc_t)xdr_pjb_answer;
	ok = xdr_replymsg(xdrs, &header) &&
	     header.rm_reply.rp_stat == MSG_ACCEPTED &&
	     header.acpted_rply.ar_stat == SUCCESS;
	out->xid = header.rm_xid;
	return ok &&
	       (xdr_getpos(xdrs) == len ||
		xdr_pjb_confirmation(xdrs, &out->confirmation)) &&
	       out->answer.outcome < JOBS_OUTCOME_COUNT &&
	       out->answer.state <= JOB_CANCELLED;
}

enum err_kind job_wire_decode(const char *record, size_t len,
			      struct job_wire_message *out)
{
	uint32_t direction;
	XDR xdrs;
	bool ok;

	memset(out, 0, sizeof(*out));
	if (len < 2 * sizeof(direction))
		return ERR_MALFORMED;
	memcpy(&direction, record + sizeof(direction), sizeof(direction));
	out->is_reply = GUINT32_FROM_BE(direction) == REPLY;
	xdrmem_create(&xdrs, (char *)record, (u_int)len, XDR_DECODE);
	ok = out->is_reply ? reply_decode(&xdrs, (u_int)len, out)
			   : call_decode(&xdrs, (u_int)len, out);
	if (ok)
		return ERR_NONE;
	job_wire_message_clear(out);
	return ERR_MALFORMED;
}

void job_wire_message_clear(struct job_wire_message *message)
{
	xdr_free((xdrproc_t)xdr_pjb_call, (char *)&message->call);
	xdr_free((xdrproc_t)xdr_pjb_account, (char *)&message->account);
	xdr_free((xdrproc_t)xdr_pjb_answer, (char *)&message->answer);
	memset(message, 0, sizeof(*message));
}
