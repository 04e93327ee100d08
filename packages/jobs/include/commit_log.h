/**
 * @file commit_log.h
 * @brief Group commit of jobs to the store, fenced by a chain of revisions.
 *
 * Prefix: commit_. Every transaction of an owner also writes the log key, under
 * the condition that the key still has the revision of the owner's previous
 * transaction. A write of a deposed owner, or one that the store executes
 * late, therefore fails once any later transaction has been committed. At most
 * one transaction is in flight; it is retried until its outcome is known.
 *
 * A transaction that the store definitely refuses is first made void by a write
 * of the log key alone, then its entries are written one by one. An entry that
 * is refused alone does not hold up the others: a new job is refused, a further
 * write fails, and records of other jobs are sent again later, at first without
 * their checkpoints.
 *
 * A transaction writes one definition key per new job, one key with the
 * progress records and one with the end records of all its jobs, and deletes
 * obsolete keys.
 */
#ifndef COMMIT_LOG_H
#define COMMIT_LOG_H

#include "loop.h"
#include "job.h"
#include "platform_client.h"

/** Key whose revision fences the transactions. */
#define COMMIT_KEY_LOG "/sassafrascart/jobs-log"

/** The log, opaque. */
struct commit_log;

/** Callbacks of the log. */
struct commit_ops {
	/** the log is open; each owner gets a higher epoch */
	void (*on_open)(void *data, uint64_t epoch);
	/** the store refuses the definition of a new job: none of it is or
	 *  will be stored */
	void (*on_refused)(void *data, struct job *job);
	/** a transaction with the newest record of the job was committed */
	void (*on_committed)(void *data, struct job *job);
	/** a transaction was committed; commit_durable_mark() may have
	 *  increased */
	void (*on_progress)(void *data);
	/** another owner has opened the log; this log writes nothing more */
	void (*on_fenced)(void *data);
};

/** Called when a write of commit_put() is durable, or with ERR_TOO_LARGE or
 *  ERR_INVALID if it was not and will not be executed. */
typedef void (*commit_put_cb)(void *data, enum err_kind err);

/**
 * @brief Opens the log if the guard key still has the given revision.
 *
 * @param guard_key key whose revision proves ownership of the service
 * @param min_interval_ms minimum time between the starts of two transactions
 * @param value_max_bytes maximum size of a value; larger ones are not sent
 */
struct commit_log *
commit_log_create(struct loop *loop, struct platform *platform,
		  const char *guard_key, int64_t guard_revision,
		  uint32_t min_interval_ms, size_t value_max_bytes,
		  const struct commit_ops *ops, void *data);

/** @brief Frees the log and drops unwritten changes. @param log may be NULL */
void commit_log_destroy(struct commit_log *log);

/** @brief Marks a job as changed, to be written by a later transaction. */
void commit_mark_dirty(struct commit_log *log, struct job *job);

/**
 * @brief Removes a new job from the queue of unwritten changes.
 * @return true if none of the job was sent to the store, so that its
 *         submission can be rejected; false if it may already be stored
 */
bool commit_withdraw(struct commit_log *log, struct job *job);

/**
 * @brief Lets the end record of an ended job be deleted from the store.
 * @return false while the job still has unwritten changes or a definition key
 */
bool commit_forget(struct commit_log *log, struct job *job);

/**
 * @brief Starts to restore a segment that an earlier owner wrote.
 *
 * Call commit_restore_add() for each job whose newest record is in the segment,
 * then commit_restore_end().
 */
struct segment *commit_restore_begin(struct commit_log *log, const char *key);

/** @brief Registers a job whose newest record of a kind is in the segment. */
void commit_restore_add(struct commit_log *log, struct segment *segment,
			struct job *job, enum job_segment_kind kind);

/** @brief Completes a restored segment; an empty one will be deleted. */
void commit_restore_end(struct commit_log *log, struct segment *segment);

/** @brief Writes a further key; a NULL value deletes it. cb may be NULL. */
void commit_put(struct commit_log *log, const char *key, const char *value,
		commit_put_cb cb, void *data);

/** @brief Returns the maximum size of a value, in bytes. */
size_t commit_value_max_bytes(const struct commit_log *log);

/** @brief Returns the number of the newest change, see job.commit_mark. */
uint64_t commit_newest_mark(const struct commit_log *log);

/** @brief Returns the number up to which all changes are in the store. */
uint64_t commit_durable_mark(const struct commit_log *log);

/** @brief Returns the local time of the first write failure since the store
 *  last answered, 0 if it answers. */
uint64_t commit_unanswered_since_ms(const struct commit_log *log);

#endif
