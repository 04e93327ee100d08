/**
 * @file test_commit_log.c
 * @brief Transactions that the store refuses, beside others.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "commit_log.h"
#include "emu_private.h"
#include "job_record.h"

#define ID_A "aaaaaaaaaaaaaaaa"
#define ID_B "bbbbbbbbbbbbbbbb"
#define ID_C "cccccccccccccccc"
#define GUARD "/guard"
#define INTERVAL_MS 20
#define LATENCY_MS 3
#define VALUE_BYTES (64u * 1024u)
#define ENTRIES_MAX 32
#define TASKS 60
#define CHECKPOINT_BYTES 32000

/* What the store does with the next transaction. */
enum answer {
	ANSWER_NORMAL,
	/* it is executed, and the answer is lost */
	ANSWER_LOST,
	/* the answer is lost, and it is executed by store_run_late() */
	ANSWER_LATE,
};

/* A store of one client. */
struct store {
	struct loop *loop;
	/* key to value */
	GHashTable *values;
	int64_t revision;
	int64_t log_revision;
	/* a transaction with a value that contains this text is refused */
	const char *refused;
	enum answer answer;
	uint32_t refusals;
	/* the late transaction */
	GPtrArray *late_keys;
	GPtrArray *late_values;
	int64_t late_expected;
	bool late_is_executed;
};

/* An answer on its way. */
struct reply {
	struct timer timer;
	platform_cb cb;
	void *data;
	enum err_kind err;
	bool succeeded;
	int64_t revision;
	char *log_value;
	int64_t log_revision;
};

static void on_reply(void *data)
{
	struct reply *reply = data;
	struct platform_kv kvs[] = {
		{ .key = GUARD, .value = "", .mod_revision = 1 },
		{ .key = COMMIT_KEY_LOG,
		  .value = reply->log_value,
		  .value_len = reply->log_value ? strlen(reply->log_value) : 0,
		  .mod_revision = reply->log_revision },
	};
	const struct platform_result result = {
		.revision = reply->revision,
		.succeeded = reply->succeeded,
		.kvs = kvs,
		.kv_count = reply->log_value ? 2 : 1,
	};

	reply->cb(reply->data, reply->err,
		  reply->err == ERR_NONE ? &result : NULL);
	g_free(reply->log_value);
	g_free(reply);
}

static struct reply *reply_send(struct store *store, platform_cb cb, void *data)
{
	struct reply *reply = g_new0(struct reply, 1);

	reply->timer.cb = on_reply;
	reply->timer.data = reply;
	reply->cb = cb;
	reply->data = data;
	reply->succeeded = true;
	loop_timer_set(store->loop, &reply->timer, LATENCY_MS);
	return reply;
}

static void log_read(struct store *store, struct reply *reply)
{
	reply->log_value =
		g_strdup(g_hash_table_lookup(store->values, COMMIT_KEY_LOG));
	reply->log_revision = store->log_revision;
	reply->revision = store->revision;
}

static void store_range(void *self, const char *key, bool prefix,
			platform_cb cb, void *data)
{
	log_read(self, reply_send(self, cb, data));
}

static void value_write(struct store *store, const char *key, const char *value)
{
	if (value)
		g_hash_table_replace(store->values, g_strdup(key),
				     g_strdup(value));
	else
		g_hash_table_remove(store->values, key);
	if (strcmp(key, COMMIT_KEY_LOG) == 0)
		store->log_revision = store->revision;
}

static bool txn_is_refused(const struct store *store,
			   const struct platform_txn *txn)
{
	bool refused = txn->compare_count + txn->write_count > ENTRIES_MAX;

	for (size_t i = 0; i < txn->write_count; i++) {
		const char *value = txn->writes[i].value;

		refused |= value &&
			   (strlen(value) > VALUE_BYTES ||
			    (store->refused && strstr(value, store->refused)));
	}
	return refused;
}

static void txn_keep_late(struct store *store, const struct platform_txn *txn,
			  int64_t expected)
{
	g_ptr_array_set_size(store->late_keys, 0);
	g_ptr_array_set_size(store->late_values, 0);
	store->late_expected = expected;
	for (size_t i = 0; i < txn->write_count; i++) {
		g_ptr_array_add(store->late_keys, g_strdup(txn->writes[i].key));
		g_ptr_array_add(store->late_values,
				g_strdup(txn->writes[i].value));
	}
}

static void store_run_late(struct store *store)
{
	store->late_is_executed = store->log_revision == store->late_expected;
	if (!store->late_is_executed)
		return;
	store->revision++;
	for (guint i = 0; i < store->late_keys->len; i++)
		value_write(store, g_ptr_array_index(store->late_keys, i),
			    g_ptr_array_index(store->late_values, i));
}

static void store_txn(void *self, const struct platform_txn *txn,
		      platform_cb cb, void *data)
{
	struct store *store = self;
	struct reply *reply = reply_send(store, cb, data);
	int64_t expected = txn->compares[txn->compare_count - 1].revision;
	enum answer answer = store->answer;

	store->answer = ANSWER_NORMAL;
	if (answer != ANSWER_NORMAL)
		reply->err = ERR_TIMEOUT;
	if (answer == ANSWER_LATE) {
		txn_keep_late(store, txn, expected);
		return;
	}
	if (txn_is_refused(store, txn)) {
		store->refusals++;
		reply->err = ERR_INVALID;
		return;
	}
	reply->succeeded = store->log_revision == expected;
	if (reply->succeeded) {
		store->revision++;
		for (size_t i = 0; i < txn->write_count; i++)
			value_write(store, txn->writes[i].key,
				    txn->writes[i].value);
	}
	log_read(store, reply);
}

static enum err_kind store_create(struct loop *loop,
				  const struct platform_config *config,
				  void **out)
{
	*out = (void *)config->ip;
	return ERR_NONE;
}

static void store_destroy(void *self)
{
}

static const struct platform_ops store_ops = {
	.name = "test",
	.create = store_create,
	.destroy = store_destroy,
	.range = store_range,
	.txn = store_txn,
};

/* A log with its store, and what it reported. */
struct fixture {
	struct emu emu;
	struct store store;
	struct platform *platform;
	struct commit_log *log;
	GString *events;
	bool open;
	bool fenced;
};

static void on_open(void *data, uint64_t epoch)
{
	((struct fixture *)data)->open = true;
}

static void on_refused(void *data, struct job *job)
{
	struct fixture *at = data;

	g_string_append_printf(at->events, "-%c", job->id[0]);
}

static void on_committed(void *data, struct job *job)
{
	struct fixture *at = data;

	g_string_append_printf(at->events, "+%c", job->id[0]);
}

static void on_progress(void *data)
{
}

static void on_fenced(void *data)
{
	((struct fixture *)data)->fenced = true;
}

static const struct commit_ops ops = {
	.on_open = on_open,
	.on_refused = on_refused,
	.on_committed = on_committed,
	.on_progress = on_progress,
	.on_fenced = on_fenced,
};

static void fixture_open(struct fixture *at)
{
	const struct platform_config config = {
		.ip = (const char *)&at->store,
		.rate_per_s = 100000,
		.rate_burst = 100000,
	};

	memset(at, 0, sizeof(*at));
	at->emu.loop = loop_create();
	at->store.loop = at->emu.loop;
	at->store.values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	at->store.late_keys = g_ptr_array_new_with_free_func(g_free);
	at->store.late_values = g_ptr_array_new_with_free_func(g_free);
	at->store.revision = 1;
	at->events = g_string_new("");
	ck_assert_int_eq(platform_create_with_ops(at->emu.loop, &store_ops,
						  &config, &at->platform),
			 ERR_NONE);
	at->log = commit_log_create(at->emu.loop, at->platform, GUARD, 1,
				    INTERVAL_MS, VALUE_BYTES, &ops, at);
	emu_advance(&at->emu, 100);
	ck_assert(at->open);
}

static void fixture_close(struct fixture *at)
{
	ck_assert(!at->fenced);
	commit_log_destroy(at->log);
	emu_advance(&at->emu, 1000);
	platform_destroy(at->platform);
	loop_destroy(at->emu.loop);
	g_hash_table_unref(at->store.values);
	g_ptr_array_unref(at->store.late_keys);
	g_ptr_array_unref(at->store.late_values);
	g_string_free(at->events, TRUE);
}

static struct job *job_add(struct fixture *at, const char *id, uint32_t tasks,
			   const char *payload)
{
	struct job_spec *spec = job_spec_create();
	const struct job_step step = { .count = tasks };
	struct job *job;

	g_array_append_val(spec->steps, step);
	spec->payload = g_strdup(payload);
	job = job_create(id, "queue", spec);
	commit_mark_dirty(at->log, job);
	return job;
}

static bool is_stored(const struct fixture *at, const char *prefix,
		      const char *text)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, at->store.values);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (g_str_has_prefix(key, prefix) && strstr(value, text))
			return true;
	}
	return false;
}

static bool is_defined(const struct fixture *at, const char *id)
{
	g_autofree char *key =
		g_strconcat(JOB_RECORD_PREFIX_DEFINITION, id, NULL);

	return g_hash_table_contains(at->store.values, key);
}

START_TEST(test_refused_job_does_not_hold_up_others)
{
	struct fixture at;
	struct job *jobs[3];

	fixture_open(&at);
	at.store.refused = "poison";
	jobs[0] = job_add(&at, ID_A, 1, "a");
	jobs[1] = job_add(&at, ID_B, 1, "poison");
	jobs[2] = job_add(&at, ID_C, 1, "c");
	emu_advance(&at.emu, 500);
	ck_assert_str_eq(at.events->str, "+a-b+c");
	ck_assert(is_defined(&at, ID_A));
	ck_assert(!is_defined(&at, ID_B));
	ck_assert(is_defined(&at, ID_C));
	ck_assert_uint_eq(commit_durable_mark(at.log),
			  commit_newest_mark(at.log));
	ck_assert_uint_eq(commit_unanswered_since_ms(at.log), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		job_destroy(jobs[i]);
	fixture_close(&at);
}
END_TEST

/* The first attempt was executed, so the job is not refused. */
START_TEST(test_executed_attempt_is_not_refused)
{
	struct fixture at;
	struct job *job;

	fixture_open(&at);
	at.store.answer = ANSWER_LOST;
	job = job_add(&at, ID_A, 1, "poison");
	emu_advance(&at.emu, INTERVAL_MS);
	at.store.refused = "poison";
	emu_advance(&at.emu, 1000);
	ck_assert_uint_ge(at.store.refusals, 1);
	ck_assert_str_eq(at.events->str, "+a");
	ck_assert(is_defined(&at, ID_A));
	job_destroy(job);
	fixture_close(&at);
}
END_TEST

/* The first attempt is executed late: after a refusal it must have no effect.
 */
START_TEST(test_refused_job_is_not_stored_late)
{
	struct fixture at;
	struct job *job;

	fixture_open(&at);
	at.store.answer = ANSWER_LATE;
	job = job_add(&at, ID_A, 1, "poison");
	emu_advance(&at.emu, INTERVAL_MS);
	at.store.refused = "poison";
	emu_advance(&at.emu, 1000);
	ck_assert_str_eq(at.events->str, "-a");
	store_run_late(&at.store);
	ck_assert(!at.store.late_is_executed);
	ck_assert(!is_defined(&at, ID_A));
	job_destroy(job);
	fixture_close(&at);
}
END_TEST

/* Stores a job of which a task is done, with a checkpoint for the others. */
static struct job *running_job_add(struct fixture *at, const char *id,
				   uint32_t tasks, const char *checkpoint)
{
	struct job *job = job_add(at, id, tasks, "");
	struct job_occurrence *occurrence;

	emu_advance(&at->emu, 100);
	occurrence = job_occurrence_begin(job, 1, 1);
	job->has_begun = true;
	job_task_set_state(&occurrence->groups[0].tasks[0], JOB_TASK_DONE);
	for (uint32_t i = 1; i < tasks; i++)
		job_task_set_checkpoint(&occurrence->groups[0].tasks[i],
					checkpoint);
	commit_mark_dirty(at->log, job);
	return job;
}

START_TEST(test_refused_checkpoint_does_not_lose_the_state)
{
	struct fixture at;
	struct job *job;

	fixture_open(&at);
	at.store.refused = "poison";
	job = running_job_add(&at, ID_A, 3, "poison");
	emu_advance(&at.emu, 500);
	ck_assert_str_eq(at.events->str, "+a+a");
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, "D--"));
	ck_assert_uint_eq(commit_durable_mark(at.log),
			  commit_newest_mark(at.log));
	job_destroy(job);
	fixture_close(&at);
}
END_TEST

/* The start that a crashed worker did not answer may have crashed it. */
START_TEST(test_evidence_against_a_job_that_has_not_begun_is_stored)
{
	struct fixture at;
	struct job_occurrence *occurrence;
	struct job *job;

	fixture_open(&at);
	job = job_add(&at, ID_A, 1, "");
	emu_advance(&at.emu, 500);
	occurrence = job_occurrence_begin(job, 1, 1);
	job_task_suspect(&occurrence->groups[0].tasks[0])->crashes = 1;
	commit_mark_dirty(at.log, job);
	emu_advance(&at.emu, 500);
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, "crashes"));
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, "unstarted"));
	job_destroy(job);
	fixture_close(&at);
}
END_TEST

START_TEST(test_refused_progress_keeps_the_state_stored_before)
{
	struct fixture at;
	struct job *jobs[2];

	fixture_open(&at);
	jobs[0] = running_job_add(&at, ID_A, 3, "");
	emu_advance(&at.emu, 500);
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, "D--"));
	/* The record of another task that is done is refused. */
	at.store.refused = "DD-";
	job_task_set_state(&((struct job_occurrence *)g_ptr_array_index(
				     jobs[0]->occurrences, 0))
				    ->groups[0]
				    .tasks[1],
			   JOB_TASK_DONE);
	commit_mark_dirty(at.log, jobs[0]);
	jobs[1] = job_add(&at, ID_B, 1, "");
	emu_advance(&at.emu, 2000);
	ck_assert_str_eq(at.events->str, "+a+a+b");
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, "D--"));
	ck_assert_uint_lt(commit_durable_mark(at.log), jobs[0]->commit_mark);
	ck_assert_uint_eq(jobs[1]->stored_mark, jobs[1]->commit_mark);
	ck_assert_uint_eq(commit_unanswered_since_ms(at.log), 0);
	at.store.refused = NULL;
	emu_advance(&at.emu, 10000);
	ck_assert_str_eq(at.events->str, "+a+a+b+a");
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, "DD-"));
	ck_assert(!is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, "D--"));
	ck_assert_uint_eq(commit_durable_mark(at.log),
			  commit_newest_mark(at.log));
	job_destroy(jobs[0]);
	job_destroy(jobs[1]);
	fixture_close(&at);
}
END_TEST

START_TEST(test_end_of_a_held_job_is_stored_at_once)
{
	struct fixture at;
	struct job *job;

	fixture_open(&at);
	at.store.refused = "D--";
	job = running_job_add(&at, ID_A, 3, "");
	emu_advance(&at.emu, 1000);
	ck_assert_str_eq(at.events->str, "+a");
	job->state = JOB_CANCELLED;
	commit_mark_dirty(at.log, job);
	emu_advance(&at.emu, 200);
	ck_assert_str_eq(at.events->str, "+a+a");
	ck_assert_int_eq(job->stored_state, JOB_CANCELLED);
	emu_advance(&at.emu, 2000);
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_END, "cancelled"));
	ck_assert(!is_defined(&at, ID_A));
	job_destroy(job);
	fixture_close(&at);
}
END_TEST

START_TEST(test_large_checkpoints_stay_within_a_value)
{
	struct fixture at;
	g_autofree char *checkpoint = g_strnfill(CHECKPOINT_BYTES, 'x');
	struct job *jobs[2];

	fixture_open(&at);
	jobs[0] = running_job_add(&at, ID_A, TASKS, checkpoint);
	jobs[1] = running_job_add(&at, ID_B, TASKS, checkpoint);
	emu_advance(&at.emu, 1000);
	ck_assert_uint_eq(at.store.refusals, 0);
	ck_assert_uint_eq(jobs[0]->checkpoints_left_out, TASKS - 1 - 2);
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, ID_A));
	ck_assert(is_stored(&at, JOB_RECORD_PREFIX_PROGRESS, ID_B));
	ck_assert_uint_eq(commit_durable_mark(at.log),
			  commit_newest_mark(at.log));
	job_destroy(jobs[0]);
	job_destroy(jobs[1]);
	fixture_close(&at);
}
END_TEST

static void on_put(void *data, enum err_kind err)
{
	GString *out = data;

	g_string_append_printf(out, "%s ", err_name(err));
}

START_TEST(test_refused_put_does_not_hold_up_others)
{
	struct fixture at;
	g_autofree char *large = g_strnfill(VALUE_BYTES + 1, 'x');
	g_autoptr(GString) results = g_string_new("");
	struct job *job;

	fixture_open(&at);
	at.store.refused = "poison";
	commit_put(at.log, "/one", "1", on_put, results);
	commit_put(at.log, "/two", "poison", on_put, results);
	commit_put(at.log, "/three", large, on_put, results);
	commit_put(at.log, "/four", "4", on_put, results);
	job = job_add(&at, ID_A, 1, "");
	emu_advance(&at.emu, 1000);
	ck_assert_str_eq(results->str, "none invalid too-large none ");
	ck_assert_str_eq(at.events->str, "+a");
	ck_assert(is_stored(&at, "/four", "4"));
	ck_assert(!is_stored(&at, "/two", ""));
	job_destroy(job);
	fixture_close(&at);
}
END_TEST

/* While the store refuses everything, it counts as not available. */
START_TEST(test_store_that_refuses_everything_recovers)
{
	struct fixture at;
	struct job *job;

	fixture_open(&at);
	at.store.refused = "";
	job = job_add(&at, ID_A, 1, "");
	emu_advance(&at.emu, 3000);
	ck_assert_str_eq(at.events->str, "");
	ck_assert_uint_ne(commit_unanswered_since_ms(at.log), 0);
	at.store.refused = NULL;
	emu_advance(&at.emu, 2000);
	ck_assert_str_eq(at.events->str, "+a");
	job_destroy(job);
	fixture_close(&at);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("commit_log");
	TCase *tests = tcase_create("commit_log");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_refused_job_does_not_hold_up_others);
	tcase_add_test(tests, test_executed_attempt_is_not_refused);
	tcase_add_test(tests, test_refused_job_is_not_stored_late);
	tcase_add_test(tests, test_refused_checkpoint_does_not_lose_the_state);
	tcase_add_test(
		tests,
		test_evidence_against_a_job_that_has_not_begun_is_stored);
	tcase_add_test(tests,
		       test_refused_progress_keeps_the_state_stored_before);
	tcase_add_test(tests, test_end_of_a_held_job_is_stored_at_once);
	tcase_add_test(tests, test_large_checkpoints_stay_within_a_value);
	tcase_add_test(tests, test_refused_put_does_not_hold_up_others);
	tcase_add_test(tests, test_store_that_refuses_everything_recovers);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
