/**
 * @file quota.h
 * @brief Limits and entitlements of client accounts.
 *
 * Prefix: quota_. No I/O. One account that submits many times its usual load
 * must not keep the others waiting. Its running tasks stay within its limit,
 * and the jobs that it submits beyond its rate go behind those that all
 * accounts are entitled to.
 */
#ifndef QUOTA_H
#define QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include "resources.h"

/**
 * @brief Returns whether an account may start tasks, all of them.
 *
 * A single task that exceeds the limit by itself may be started while the
 * account uses nothing, since it could never be started otherwise.
 *
 * @param limit of the account; a component of 0 is no limit
 * @param used by tasks that run or may run
 * @param need of each task
 * @param count number of tasks
 */
bool quota_allows(const struct resources *limit, const struct resources *used,
		  const struct resources *need, uint32_t count);

/** @brief Returns whether tasks could ever be started together, if the account
 *  used nothing else. */
bool quota_can_ever_allow(const struct resources *limit,
			  const struct resources *need, uint32_t count);

/** Token bucket of the jobs that an account is entitled to; zero-initialized
 *  before use. */
struct quota_bucket {
	double tokens;
	/** time of the last update, 0 for a bucket that has not been used and
	 *  is full */
	uint64_t updated_ms;
};

/**
 * @brief Takes a token for a job.
 * @param rate_per_s jobs a second that the account is entitled to
 * @return false if the job is beyond that rate; no token is taken then
 */
bool quota_bucket_take(struct quota_bucket *bucket, double rate_per_s,
		       uint64_t now_ms);

/** A full pool that accounts share. */
struct quota_pool {
	int64_t cpu_milli;
	/** number of accounts that run or wait there, and the sum of their
	 *  weights */
	uint32_t accounts;
	double weight_sum;
};

/**
 * @brief Returns whether an account uses so much of a pool that others go
 * first, while the pool is short.
 *
 * A single job may exceed the share of a small account. So it has to use more
 * than its share by weight, and more than an even part of the pool.
 *
 * @param used_milli CPU of its tasks in the pool
 */
bool quota_exceeds_share(int64_t used_milli, double weight,
			 const struct quota_pool *pool);

/**
 * @brief Returns whether a pool is so short that some of the work that waits
 * will be late in any order. While all can be in time, the earliest deadline
 * serves every account.
 *
 * @param backlog work that waits, in milli-core milliseconds
 * @param slack_ms time that a job may wait and still be in time
 */
bool quota_pool_is_short(double backlog, int64_t pool_milli, uint64_t slack_ms);

/** Work that is about to join the queue of a pool. */
struct quota_arrival {
	/** CPU of the pool, and the work that waits for it, in milli-core
	 *  milliseconds */
	int64_t pool_milli;
	double backlog;
	/** time within which a job has any value, and within which it has its
	 *  full value */
	uint64_t useful_ms;
	uint64_t objective_ms;
	/** time that it takes by itself */
	uint64_t critical_path_ms;
};

/**
 * @brief Decides whether work beyond an account's entitlement, which starts
 * after all that waits, is hopeless.
 * @param retry_after_ms set to the time after which it may be submitted again,
 *                       if true is returned
 */
bool quota_is_hopeless(const struct quota_arrival *arrival,
		       uint32_t *retry_after_ms);

#endif
