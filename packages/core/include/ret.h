/**
 * @file ret.h
 * @brief Retries: which failed attempts may be followed by another.
 *
 * Prefix: ret_. A request that is not idempotent is never sent twice. Retries
 * are a bounded share of first attempts: when everything fails, they add at
 * most this share to the load, whatever the number of requests.
 */
#ifndef RET_H
#define RET_H

#include <stdbool.h>
#include <stdint.h>

/** State of a budget, in thousandths of a retry. */
struct ret_budget {
	uint32_t share_permille;
	uint32_t max_milli;
	uint32_t milli;
};

/**
 * @brief Initialises a full budget.
 * @param share_permille retries earned by a thousand first attempts
 * @param burst retries that may be saved up
 */
void ret_budget_init(struct ret_budget *budget, uint32_t share_permille,
		     uint32_t burst);

/** @brief Records a first attempt. */
void ret_budget_first(struct ret_budget *budget);

/** @brief Takes one retry. @return whether the budget allowed it */
bool ret_budget_take(struct ret_budget *budget);

/** How an attempt failed, as far as a retry is concerned. */
enum ret_failure {
	/** not a byte was sent: the request did not run */
	RET_FAILURE_NOT_SENT,
	/** sent, no whole answer of this request; it may have run */
	RET_FAILURE_SENT,
	/** sent, and another attempt would end alike or too late */
	RET_FAILURE_FINAL,
};

/** What a decision on a retry needs to know of a request. */
struct ret_request {
	bool idempotent;
	/** attempts begun */
	uint32_t attempts;
	/** failed attempts that were sent */
	uint32_t sent_failures;
	uint64_t deadline_ms;
};

/** What follows a failed attempt. */
enum ret_verdict {
	RET_RETRY,
	/** not allowed by the kind of request or failure, or too late */
	RET_DENIED,
	/** the request has had its number of attempts */
	RET_DENIED_LIMIT,
	/** the budget is spent */
	RET_DENIED_BUDGET,
	/** it failed on several servers: the request itself is at fault */
	RET_DENIED_POISON,
};

/**
 * @brief Decides on a retry; records the failure and takes from the budget.
 * @param request its sent_failures are counted up
 */
enum ret_verdict ret_decide(struct ret_request *request,
			    struct ret_budget *budget, enum ret_failure failure,
			    uint64_t now_ms);

#endif
