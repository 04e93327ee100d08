/**
 * @file commit_log.h
 * @brief Group commit of jobs to the store, fenced by a chain of revisions.
 *
 * Prefix: commit_. All writes of one owner form a chain: each transaction also
 * writes the log key, on the condition that the key is as the transaction
 * before left it. So a write of an earlier owner, or one that the store
 * carries out late, fails as soon as any later one has been done. One
 * transaction is in flight at a time; it is repeated until its effect is known.
 *
 * A transaction writes a key for each job that is new, one for the progress and
 * one for the ends of all its jobs, and deletes keys that are needed no more.
 */
#ifndef COMMIT_LOG_H
#define COMMIT_LOG_H

#include "loop.h"
#include "job.h"
#include "platform_client.h"

/** Key that carries the chain. */
#define COMMIT_KEY_LOG "/sassafrascart/jobs-log"

/** The log, opaque. */
struct commit_log;

/** What the log calls. */
struct commit_ops {
	/** the log is open for this owner; epoch rises with each owner */
	void (*on_open)(void *data, uint64_t epoch);
	/** the store holds what the job was when it was marked last */
	void (*on_committed)(void *data, struct job *job);
	/** a transaction ended: commit_durable_mark() may have risen */
	void (*on_progress)(void *data);
	/** another owner has opened the log; nothing more is written */
	void (*on_fenced)(void *data);
};

/** Called when an additional write is done. */
typedef void (*commit_put_cb)(void *data);

/**
 * @brief Opens the log on the condition that a key is as it was read.
 *
 * @param guard_key key that proves ownership, with its revision
 * @param gap_ms least time from one transaction's start to the next one's
 */
struct commit_log *commit_log_create(struct loop *loop,
				     struct platform *platform,
				     const char *guard_key,
				     int64_t guard_revision, uint32_t gap_ms,
				     const struct commit_ops *ops, void *data);

/** @brief Forgets what is not written. @param log may be NULL */
void commit_log_destroy(struct commit_log *log);

/** @brief Marks a job as changed; it is written in a later transaction. */
void commit_mark_dirty(struct commit_log *log, struct job *job);

/**
 * @brief Takes a job back that has never been sent to the store.
 * @return whether nothing of it was sent, so that it can be refused
 */
bool commit_withdraw(struct commit_log *log, struct job *job);

/**
 * @brief Forgets a job that has ended: its end is deleted from the store.
 * @return false while the job cannot be forgotten yet
 */
bool commit_forget(struct commit_log *log, struct job *job);

/**
 * @brief Takes a value of records in that an earlier owner has written.
 *
 * To be followed by commit_restore_add() for the jobs whose newest record lies
 * there and by commit_restore_end().
 */
struct segment *commit_restore_begin(struct commit_log *log, const char *key);

/** @brief Notes that a job's newest record of a kind lies in a value. */
void commit_restore_add(struct commit_log *log, struct segment *segment,
			struct job *job, enum job_segment_kind kind);

/** @brief Ends the restoring of a value; one without jobs is deleted. */
void commit_restore_end(struct commit_log *log, struct segment *segment);

/** @brief Writes a key besides; a NULL value deletes it. cb may be NULL. */
void commit_put(struct commit_log *log, const char *key, const char *value,
		commit_put_cb cb, void *data);

/** @brief Number of the newest mark. */
uint64_t commit_newest_mark(const struct commit_log *log);

/** @brief All marks up to this number are in the store. */
uint64_t commit_durable_mark(const struct commit_log *log);

/** @brief Time since which the store has not answered, 0 if it does. */
uint64_t commit_unanswered_since_ms(const struct commit_log *log);

#endif
