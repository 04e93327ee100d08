/**
 * @file owner_accounts.h
 * @brief What client accounts have running and waiting, kept by the owner.
 *
 * Nothing here is stored: a new owner rebuilds the sums from the jobs that it
 * reads and from the reports of the workers. docs/design/account-shares.md
 * describes what counts.
 */
#ifndef OWNER_ACCOUNTS_H
#define OWNER_ACCOUNTS_H

#include "owner_private.h"
#include "quota.h"

/** Use of one account. */
struct owner_account {
	char *name;
	/** resources of tasks that are assigned to workers */
	struct resources used;
	/** resources of runs that workers report and the owner has no task for
	 */
	struct resources stray;
	/** resources of tasks that an earlier owner may have started; valid
	 *  within a scheduling pass */
	struct resources unknown;
	uint32_t tasks;
	/** jobs that have not started; valid after a scheduling pass */
	uint32_t waiting_jobs;
	struct quota_bucket bucket;
	/** the last scheduling pass held work back because of the limit */
	bool is_held;
	bool was_held;
	uint64_t excess_jobs;
	uint64_t refused_jobs;
	uint64_t times_held;
};

/** Accounts with work in a pool, and what they use there in a scheduling pass.
 */
struct owner_shares;

/** @brief Frees an account. */
void owner_account_free(gpointer account);

/** @brief Sets the use that a job counts for. @return NULL for a job without an
 *  account */
struct owner_account *owner_account_join(struct owner *owner, struct job *job);

/** @brief Counts a task that was assigned to a worker, or that has left it.
 *  @param change 1 or -1 */
void owner_account_count_task(const struct job_task *task, int change);

/** @brief Counts a run on a worker that the owner has no task for, until
 *  owner_account_strays_clear(). */
void owner_account_stray_add(struct worker *worker,
			     const struct job_task *task);

/** @brief Stops counting the stray runs of a worker. */
void owner_account_strays_clear(struct worker *worker);

/** @brief Prepares the accounts for a scheduling pass. */
void owner_accounts_pass_begin(struct owner *owner);

/** @brief Logs which accounts a scheduling pass has begun or ceased to hold
 *  back. */
void owner_accounts_pass_end(struct owner *owner);

/** @brief Returns whether an account's limit allows further tasks. */
bool owner_account_has_room(const struct owner *owner,
			    const struct owner_account *account,
			    const struct resources *need, uint32_t count);

/** @brief Returns whether the account of a group allows that so many of its
 *  tasks start; records it if not. */
bool owner_account_allows(struct owner *owner, struct job_group *group,
			  uint32_t count);

/** @brief Creates the shares of a pool. */
struct owner_shares *owner_shares_create(void);
/** @brief Frees the shares of a pool. @param shares may be NULL */
void owner_shares_destroy(struct owner_shares *shares);

/** @brief Adds the account of a job that runs or waits in the pool.
 *  @param cpu_milli CPU that it uses there */
void owner_shares_add(struct owner_shares *shares, const struct owner *owner,
		      const struct job *job, int64_t cpu_milli);

/** @brief Returns whether the account of a job has more of the pool than its
 *  share. */
bool owner_shares_exceeded(const struct owner_shares *shares,
			   const struct owner *owner, const struct job *job,
			   int64_t pool_milli);

/** @brief Decides on a new job of an account: sets whether it is in excess.
 *  @return false if it is refused, with the time to retry after and why */
bool owner_account_admit(struct owner *owner, struct job *job,
			 uint32_t *retry_after_ms, const char **why);

/** @brief Appends metrics of the accounts that use most. */
void owner_accounts_metrics_append(const struct owner *owner, GString *out);

#endif
