/**
 * @file retry.h
 * @brief Retries: which failed attempts may be followed by another.
 *
 * Prefix: retry_. A request that is not idempotent is never sent twice. A token
 * bucket limits retries to a share of first attempts: when everything fails,
 * they add at most this share to the load, whatever the number of requests.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** Token bucket for retries; a retry costs 1000 milli-tokens. */
struct retry_budget {
	uint32_t ratio_permille;
	uint32_t capacity_milli;
	uint32_t tokens_milli;
};

/**
 * @brief Initialises a full budget.
 * @param ratio_permille retries earned by 1000 first attempts
 * @param burst capacity in retries
 */
void retry_budget_init(struct retry_budget *budget, uint32_t ratio_permille,
		       uint32_t burst);

/** @brief Adds the tokens that a first attempt earns. */
void retry_budget_deposit(struct retry_budget *budget);

/** @brief Takes the tokens for one retry. @return whether there were enough */
bool retry_budget_withdraw(struct retry_budget *budget);

/** How an attempt failed, as far as it matters for a retry. */
enum retry_failure {
	/** no byte was sent: the request did not run */
	RETRY_FAILURE_NOT_SENT,
	/** sent, but without a complete response; the request may have run */
	RETRY_FAILURE_SENT,
	/** sent, and another attempt would fail alike or come too late */
	RETRY_FAILURE_FINAL,
};

/** What the decision on a retry depends on. */
struct retry_request {
	bool idempotent;
	/** attempts started */
	uint32_t attempts;
	/** failed attempts that were sent */
	uint32_t sent_failures;
	uint64_t deadline_ms;
};

/** Decision after a failed attempt. */
enum retry_decision {
	RETRY_ALLOWED,
	/** not allowed for this request or failure, or past the deadline */
	RETRY_DENIED,
	/** the request has used up its number of attempts */
	RETRY_DENIED_LIMIT,
	/** the retry budget is used up */
	RETRY_DENIED_BUDGET,
	/** the request failed on several servers and is held to be the cause */
	RETRY_DENIED_POISON,
};

/**
 * @brief Decides on a retry, counts the failure and charges the budget.
 * @param request its sent_failures is incremented if the attempt was sent
 */
enum retry_decision retry_decide(struct retry_request *request,
				 struct retry_budget *budget,
				 enum retry_failure failure, uint64_t now_ms);

#endif
