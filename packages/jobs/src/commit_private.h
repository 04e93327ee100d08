/**
 * @file commit_private.h
 * @brief State that the files of the commit log share.
 *
 * Prefix: commit_.
 */
#ifndef COMMIT_PRIVATE_H
#define COMMIT_PRIVATE_H

#include <jansson.h>

#include "commit_log.h"
#include "segment.h"
#include "weak_ref.h"

/** The store allows 32 entries per transaction; one is the comparison. */
#define COMMIT_WRITES_MAX 31

/** A write requested by commit_put(). */
struct commit_extra {
	char *key;
	char *value;
	commit_put_cb cb;
	void *data;
};

/** A job that a transaction writes. */
struct commit_item {
	struct job *job;
	/** the write contains the definition, which is not stored yet */
	bool defines;
	bool has_progress;
	bool has_end;
	bool deletes_definition;
	/** newest and oldest change that the write contains */
	uint64_t mark;
	uint64_t oldest_mark;
};

/** Records of one kind in a transaction. */
struct commit_records {
	char *key;
	json_t *records;
};

/** A transaction, from the first attempt until its outcome is known. */
struct commit_txn {
	uint64_t sequence;
	/** of struct commit_item */
	GArray *items;
	/** of struct commit_extra */
	GPtrArray *extras;
	/** of struct job: ended jobs whose definition it deletes */
	GPtrArray *deleted_definitions;
	/** of char *: keys of segments that it deletes */
	GPtrArray *deleted_segments;
	struct commit_records records[JOB_SEGMENT_COUNT];
	/** all writes; a NULL value deletes the key */
	GPtrArray *keys;
	GPtrArray *values;
	size_t bytes;
};

struct commit_log {
	struct loop *loop;
	struct platform *platform;
	char *guard_key;
	int64_t guard_revision;
	uint32_t min_interval_ms;
	/** maximum size of a value */
	size_t value_max_bytes;
	const struct commit_ops *ops;
	void *data;
	/** lets callbacks of calls in flight outlive the log */
	struct weak_ref *weak_ref;
	bool open;
	bool fenced;
	uint64_t epoch;
	uint64_t sequence;
	int64_t log_revision;
	/** of struct job: changed, and not part of the transaction in flight;
	 *  sorted by their oldest change */
	GQueue queue;
	/** of struct job: the store refuses their records */
	GQueue held;
	uint64_t held_due_ms;
	/** of struct commit_extra */
	GQueue extras;
	struct segment_table *segments;
	/** of struct job: ended jobs whose definition is still stored */
	GQueue ended_jobs;
	uint64_t newest_mark;
	uint64_t durable_mark;
	/** the transaction in flight, NULL for none */
	struct commit_txn *txn;
	/** the store refused the transaction; a write that makes its earlier
	 *  attempts void is in flight */
	bool voiding;
	/** the store refused that write as well, so none of the entries is
	 *  known to be at fault */
	bool void_refused;
	/** number of entries to write one by one, after a refusal */
	uint32_t singles;
	uint64_t sent_ms;
	uint32_t failures;
	uint64_t unanswered_since_ms;
	struct timer timer;
};

/** @brief Returns the value of the log key for the newest sequence number,
 *  owned by the caller. */
char *commit_log_value_encode(const struct commit_log *log);

/** @brief Fills a new transaction from the queues, as log->txn. */
void commit_txn_fill(struct commit_log *log);

/** @brief Applies and frees the transaction, which has been committed. */
void commit_txn_commit(struct commit_log *log);

/** @brief Returns the entries of the transaction, which has not been and will
 *  not be committed, to the front of the queues and frees it. */
void commit_txn_undo(struct commit_log *log);

/** @brief Frees a transaction without effect. @param txn may be NULL */
void commit_txn_free(struct commit_txn *txn);

/** @brief Frees a further write. */
void commit_extra_free(gpointer data);

/** @brief Ends a further write that is not and will not be executed. */
void commit_extra_refuse(struct commit_extra *extra, enum err_kind err);

#endif
