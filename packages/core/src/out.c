#include "out.h"

#include <glib.h>

static const struct out_row out_table[OUT_KIND_COUNT] = {
	[OUT_ANSWERED] = { "answered", 0, OUT_RUN_YES, false,
			   "The backend server's answer." },
	[OUT_BAD_REQUEST] = { "bad-request", 400, OUT_RUN_NO, false,
			      "A request header is not valid." },
	[OUT_NO_ROUTE] = { "no-route", 404, OUT_RUN_NO, false,
			   "No route of the bundle matches the path." },
	[OUT_NO_BUNDLE] = { "no-bundle", 503, OUT_RUN_NO, true,
			    "No bundle is in force in this process yet." },
	[OUT_NO_VM] = { "no-vm", 503, OUT_RUN_NO, true,
			"No VM of the pool can take the request." },
	[OUT_STALE_VIEW] = { "stale-view", 503, OUT_RUN_NO, true,
			     "This process has lost sight of the fleet's "
			     "state." },
	[OUT_QUEUE_FULL] = { "queue-full", 503, OUT_RUN_NO, true,
			     "The pool's queue is full." },
	[OUT_QUEUE_BYTES] = { "queue-bytes", 503, OUT_RUN_NO, true,
			      "The pool's queue holds too many bytes." },
	[OUT_WOULD_EXPIRE] = { "would-expire", 503, OUT_RUN_NO, true,
			       "The request could not be answered before "
			       "its deadline." },
	[OUT_EXPIRED] = { "expired", 503, OUT_RUN_NO, true,
			  "The deadline passed before the request started." },
	[OUT_CANCELLED] = { "cancelled", 499, OUT_RUN_NO, false,
			    "The caller left before the request started." },
	[OUT_CALLER_GONE] = { "caller-gone", 499, OUT_RUN_UNKNOWN, false,
			      "The caller left after the request started." },
	[OUT_SHUTTING_DOWN] = { "shutting-down", 503, OUT_RUN_NO, true,
				"This process is shutting down." },
	[OUT_CONNECT_FAILED] = { "connect-failed", 503, OUT_RUN_NO, true,
				 "No backend server accepted a connection." },
	[OUT_DUPLICATE_KEY] = { "duplicate-key", 409, OUT_RUN_NO, false,
				"Another request holds this idempotency "
				"key." },
	[OUT_CLAIM_FAILED] = { "claim-failed", 503, OUT_RUN_NO, true,
			       "The idempotency key could not be claimed." },
	[OUT_TIMEOUT] = { "timeout", 504, OUT_RUN_UNKNOWN, false,
			  "No answer arrived before the deadline." },
	[OUT_CUT] = { "cut", 502, OUT_RUN_UNKNOWN, false,
		      "The backend server's answer was cut short." },
	[OUT_MISMATCH] = { "mismatch", 502, OUT_RUN_UNKNOWN, false,
			   "The answer belongs to another request." },
	[OUT_ANSWER_TOO_LARGE] = { "answer-too-large", 502, OUT_RUN_UNKNOWN,
				   false,
				   "The answer is larger than the limit." },
};

const struct out_row *out_row(enum out_kind kind)
{
	g_assert(kind < OUT_KIND_COUNT);
	return &out_table[kind];
}

const char *out_run_name(enum out_run run)
{
	switch (run) {
	case OUT_RUN_YES:
		return "ran";
	case OUT_RUN_NO:
		return "not-run";
	case OUT_RUN_UNKNOWN:
		break;
	}
	return "unknown";
}

enum out_kind out_truthful(enum out_kind outcome, enum out_kind sent)
{
	if (sent == OUT_KIND_COUNT || out_row(outcome)->run != OUT_RUN_NO)
		return outcome;
	return outcome == OUT_CANCELLED ? OUT_CALLER_GONE : sent;
}
