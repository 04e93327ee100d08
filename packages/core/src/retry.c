#include "retry.h"

#include <glib.h>

#define RETRY_ATTEMPTS_MAX 3
/* Failures after sending, each on another server, that blame the request. */
#define RETRY_POISON_FAILURES 2

void retry_budget_init(struct retry_budget *budget, uint32_t share_permille,
		       uint32_t burst)
{
	budget->ratio_permille = share_permille;
	budget->capacity_milli = burst * 1000;
	budget->tokens_milli = budget->capacity_milli;
}

void retry_budget_deposit(struct retry_budget *budget)
{
	budget->tokens_milli =
		MIN(budget->tokens_milli + budget->ratio_permille,
		    budget->capacity_milli);
}

bool retry_budget_withdraw(struct retry_budget *budget)
{
	if (budget->tokens_milli < 1000)
		return false;
	budget->tokens_milli -= 1000;
	return true;
}

enum retry_decision retry_decide(struct retry_request *request,
				 struct retry_budget *budget,
				 enum retry_failure failure, uint64_t now_ms)
{
	if (failure != RETRY_FAILURE_NOT_SENT)
		request->sent_failures++;
	if (request->sent_failures >= RETRY_POISON_FAILURES)
		return RETRY_DENIED_POISON;
	if (failure == RETRY_FAILURE_FINAL || now_ms >= request->deadline_ms ||
	    (request->sent_failures > 0 && !request->idempotent))
		return RETRY_DENIED;
	if (request->attempts >= RETRY_ATTEMPTS_MAX)
		return RETRY_DENIED_LIMIT;
	return retry_budget_withdraw(budget) ? RETRY_ALLOWED
					     : RETRY_DENIED_BUDGET;
}
