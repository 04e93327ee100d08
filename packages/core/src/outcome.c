#include "outcome.h"

#include <glib.h>

static const struct outcome_row outcome_table[OUTCOME_COUNT] = {
	[OUTCOME_ANSWERED] = { "answered", 0, OUTCOME_RUN_YES, false,
			       "The backend server's answer." },
	[OUTCOME_BAD_REQUEST] = { "bad-request", 400, OUTCOME_RUN_NO, false,
				  "A request header is not valid." },
	[OUTCOME_NO_ROUTE] = { "no-route", 404, OUTCOME_RUN_NO, false,
			       "No route of the bundle matches the path." },
	[OUTCOME_NO_BUNDLE] = { "no-bundle", 503, OUTCOME_RUN_NO, true,
				"No bundle is in force in this process yet." },
	[OUTCOME_NO_VM] = { "no-vm", 503, OUTCOME_RUN_NO, true,
			    "No VM of the pool can take the request." },
	[OUTCOME_STALE_VIEW] = { "stale-view", 503, OUTCOME_RUN_NO, true,
				 "This process has lost sight of the fleet's "
				 "state." },
	[OUTCOME_QUEUE_FULL] = { "queue-full", 503, OUTCOME_RUN_NO, true,
				 "The pool's queue is full." },
	[OUTCOME_QUEUE_BYTES] = { "queue-bytes", 503, OUTCOME_RUN_NO, true,
				  "The pool's queue holds too many bytes." },
	[OUTCOME_WOULD_EXPIRE] = { "would-expire", 503, OUTCOME_RUN_NO, true,
				   "The request could not be answered before "
				   "its deadline." },
	[OUTCOME_EXPIRED] = { "expired", 503, OUTCOME_RUN_NO, true,
			      "The deadline passed before the request "
			      "started." },
	[OUTCOME_CANCELLED] = { "cancelled", 499, OUTCOME_RUN_NO, false,
				"The caller left before the request started." },
	[OUTCOME_CALLER_GONE] = { "caller-gone", 499, OUTCOME_RUN_UNKNOWN,
				  false,
				  "The caller left after the request "
				  "started." },
	[OUTCOME_SHUTTING_DOWN] = { "shutting-down", 503, OUTCOME_RUN_NO, true,
				    "This process is shutting down." },
	[OUTCOME_CONNECT_FAILED] = { "connect-failed", 503, OUTCOME_RUN_NO,
				     true,
				     "No backend server accepted a "
				     "connection." },
	[OUTCOME_DUPLICATE_KEY] = { "duplicate-key", 409, OUTCOME_RUN_NO, false,
				    "Another request holds this idempotency "
				    "key." },
	[OUTCOME_CLAIM_FAILED] = { "claim-failed", 503, OUTCOME_RUN_NO, true,
				   "The idempotency key could not be "
				   "claimed." },
	[OUTCOME_TIMEOUT] = { "timeout", 504, OUTCOME_RUN_UNKNOWN, false,
			      "No answer arrived before the deadline." },
	[OUTCOME_CUT] = { "cut", 502, OUTCOME_RUN_UNKNOWN, false,
			  "The backend server's answer was cut short." },
	[OUTCOME_MISMATCH] = { "mismatch", 502, OUTCOME_RUN_UNKNOWN, false,
			       "The answer belongs to another request." },
	[OUTCOME_ANSWER_TOO_LARGE] = { "answer-too-large", 502,
				       OUTCOME_RUN_UNKNOWN, false,
				       "The answer is larger than the limit." },
	[OUTCOME_CONNECTION_LIMIT] = { "connection-limit", 503, OUTCOME_RUN_NO,
				       true,
				       "This process has no connections to "
				       "spare." },
};

const struct outcome_row *outcome_row(enum outcome kind)
{
	g_assert(kind < OUTCOME_COUNT);
	return &outcome_table[kind];
}

const char *outcome_run_name(enum outcome_run run)
{
	switch (run) {
	case OUTCOME_RUN_YES:
		return "ran";
	case OUTCOME_RUN_NO:
		return "not-run";
	case OUTCOME_RUN_UNKNOWN:
		break;
	}
	return "unknown";
}

enum outcome outcome_after_send(enum outcome outcome, enum outcome sent)
{
	if (sent == OUTCOME_COUNT ||
	    outcome_row(outcome)->run != OUTCOME_RUN_NO)
		return outcome;
	return outcome == OUTCOME_CANCELLED ? OUTCOME_CALLER_GONE : sent;
}
