/**
 * @file retry.h
 * @brief Retries: which failed attempts may be followed by another.
 *
 * Prefix: retry_. A request that is not idempotent is never sent twice. Retries
 * are a bounded share of first attempts: when everything fails, they add at
 * most this share to the load, whatever the number of requests.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** State of a budget, in thousandths of a retry. */
struct retry_budget {
	uint32_t ratio_permille;
	uint32_t capacity_milli;
	uint32_t tokens_milli;
};

/**
 * @brief Initialises a full budget.
 * @param share_permille retries earned by a thousand first attempts
 * @param burst retries that may be saved up
 */
void retry_budget_init(struct retry_budget *budget, uint32_t share_permille,
		       uint32_t burst);

/** @brief Records a first attempt. */
void retry_budget_deposit(struct retry_budget *budget);

/** @brief Takes one retry. @return whether the budget allowed it */
bool retry_budget_withdraw(struct retry_budget *budget);

/** How an attempt failed, as far as a retry is concerned. */
enum retry_failure {
	/** not a byte was sent: the request did not run */
	RETRY_FAILURE_NOT_SENT,
	/** sent, no whole answer of this request; it may have run */
	RETRY_FAILURE_SENT,
	/** sent, and another attempt would end alike or too late */
	RETRY_FAILURE_FINAL,
};

/** What a decision on a retry needs to know of a request. */
struct retry_request {
	bool idempotent;
	/** attempts begun */
	uint32_t attempts;
	/** failed attempts that were sent */
	uint32_t sent_failures;
	uint64_t deadline_ms;
};

/** What follows a failed attempt. */
enum retry_decision {
	RETRY_ALLOWED,
	/** not allowed by the kind of request or failure, or too late */
	RETRY_DENIED,
	/** the request has had its number of attempts */
	RETRY_DENIED_LIMIT,
	/** the budget is spent */
	RETRY_DENIED_BUDGET,
	/** it failed on several servers: the request itself is at fault */
	RETRY_DENIED_POISON,
};

/**
 * @brief Decides on a retry; records the failure and takes from the budget.
 * @param request its sent_failures are counted up
 */
enum retry_decision retry_decide(struct retry_request *request,
				 struct retry_budget *budget,
				 enum retry_failure failure, uint64_t now_ms);

#endif
