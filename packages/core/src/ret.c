#include "ret.h"

#include <glib.h>

#define RET_ATTEMPTS_MAX 3
/* Failures after sending, each on another server, that blame the request. */
#define RET_POISON_FAILURES 2

void ret_budget_init(struct ret_budget *budget, uint32_t share_permille,
		     uint32_t burst)
{
	budget->share_permille = share_permille;
	budget->max_milli = burst * 1000;
	budget->milli = budget->max_milli;
}

void ret_budget_first(struct ret_budget *budget)
{
	budget->milli =
		MIN(budget->milli + budget->share_permille, budget->max_milli);
}

bool ret_budget_take(struct ret_budget *budget)
{
	if (budget->milli < 1000)
		return false;
	budget->milli -= 1000;
	return true;
}

enum ret_verdict ret_decide(struct ret_request *request,
			    struct ret_budget *budget, enum ret_failure failure,
			    uint64_t now_ms)
{
	if (failure != RET_FAILURE_NOT_SENT)
		request->sent_failures++;
	if (request->sent_failures >= RET_POISON_FAILURES)
		return RET_DENIED_POISON;
	if (failure == RET_FAILURE_FINAL || now_ms >= request->deadline_ms ||
	    (request->sent_failures > 0 && !request->idempotent))
		return RET_DENIED;
	if (request->attempts >= RET_ATTEMPTS_MAX)
		return RET_DENIED_LIMIT;
	return ret_budget_take(budget) ? RET_RETRY : RET_DENIED_BUDGET;
}
