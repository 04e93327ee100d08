/**
 * @file test_lease_trace.c
 * @brief The log, at level info, of owners that follow one another: which tasks
 *        each has started on what grounds, and what a deposed one has done.
 */
#include <check.h>
#include <string.h>

#include "emu_expect.h"

#define PAUSE_MS 3000
#define TASKS 12

static const struct emu_config fleet = {
	.seed = 3,
	.nodes = 2,
	.pools = 1,
	.vms_per_pool = 4,
	.vm_cpu_milli = 8000,
	.attempts = 3,
	.fixed_pools = true,
	.pausable = true,
};

static const struct emu_job batch = {
	.steps = 1,
	.tasks_per_step = TASKS,
	.cpu_milli = 1000,
	.task_ms = 300,
};

static const char *field(const GLogField *fields, gsize count, const char *key)
{
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	}
	return "";
}

static GLogWriterOutput on_log(GLogLevelFlags level, const GLogField *fields,
			       gsize count, gpointer data)
{
	if (!(level & G_LOG_LEVEL_DEBUG))
		g_string_append_printf(data, "%s: %s\n",
				       field(fields, count, "EVENT"),
				       field(fields, count, "MESSAGE"));
	return G_LOG_WRITER_HANDLED;
}

/* Returns how often a text occurs in the lines of an event. */
static uint32_t occurrences(const GString *lines, const char *event,
			    const char *text)
{
	g_auto(GStrv) all = g_strsplit(lines->str, "\n", -1);
	uint32_t found = 0;

	for (char **line = all; *line; line++) {
		if (!g_str_has_prefix(*line, event))
			continue;
		for (const char *at = strstr(*line, text); at;
		     at = strstr(at + 1, text))
			found++;
	}
	return found;
}

static uint64_t number_after(const GString *lines, const char *event,
			     const char *text)
{
	const char *line = strstr(lines->str, event);
	const char *at = line ? strstr(line, text) : NULL;

	ck_assert_msg(at != NULL, "no %s with '%s' in:\n%s", event, text,
		      lines->str);
	return g_ascii_strtoull(at + strlen(text), NULL, 10);
}

static struct emu *fleet_start(GString *lines)
{
	struct emu *emu = emu_create(&fleet);

	g_log_set_writer_func(on_log, lines, NULL);
	emu_advance(emu, 3000);
	return emu;
}

/* Neither the store nor the lease is there, and there is no successor: each
 * start is named, in a few lines. */
START_TEST(test_starts_without_a_lease_are_named)
{
	g_autoptr(GString) lines = g_string_new(NULL);
	struct emu_job delayed = batch;
	struct emu *emu = fleet_start(lines);

	delayed.steps = 6;
	emu_submit(emu, 0, &delayed);
	emu_advance(emu, 500);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_UNAVAILABLE);
	emu_advance(emu, 6000);
	ck_assert_uint_ge(occurrences(lines, "starts-without-lease", " run "),
			  TASKS);
	ck_assert_uint_le(occurrences(lines, "starts-without-lease:", "epoch"),
			  6 * 3);
	ck_assert_uint_eq(
		occurrences(lines, "worker-list-failed:", "unavailable"), 1);
	ck_assert_uint_eq(occurrences(lines, "worker-list-read:", "again"), 0);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_OK);
	emu_settle(emu, 1, 60000);
	ck_assert_uint_eq(occurrences(lines, "worker-list-read:", "again"), 1);
	emu_destroy(emu);
}
END_TEST

/* The owner stands still while another process replaces it. */
START_TEST(test_deposed_owner_says_what_it_did)
{
	g_autoptr(GString) lines = g_string_new(NULL);
	struct emu *emu = fleet_start(lines);
	uint32_t owner = emu_owner(emu);

	emu_submit(emu, 0, &batch);
	emu_advance(emu, 100);
	emu_store_set_mode(emu, owner, EMU_STORE_UNAVAILABLE);
	emu_node_pause(emu, owner, PAUSE_MS, true);
	emu_advance(emu, PAUSE_MS + 5000);
	ck_assert_uint_ge(number_after(lines, "owner-ended", "without a tick "),
			  PAUSE_MS);
	ck_assert_uint_ge(number_after(lines, "owner-ended", "valid "),
			  PAUSE_MS);
	number_after(lines, "owner-ended", "was shown by w-");
	emu_store_set_mode(emu, owner, EMU_STORE_OK);
	emu_settle(emu, 1, 60000);
	emu_destroy(emu);
}
END_TEST

/* A worker with tasks that no process reaches any more. */
START_TEST(test_settled_takeover_names_who_has_not_reported)
{
	g_autoptr(GString) lines = g_string_new(NULL);
	struct emu_job job = batch;
	struct emu *emu = fleet_start(lines);
	char name[32];
	uint32_t vm;

	job.tasks_per_step = 1;
	job.task_ms = 60000;
	emu_submit(emu, 0, &job);
	emu_advance(emu, 1000);
	vm = emu_vm_running(emu, 0);
	emu_worker_set_partitioned(emu, vm, true);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 20000);
	g_snprintf(name, sizeof(name), "report: w-%u-1 (unanswered for ", vm);
	ck_assert_uint_gt(number_after(lines, "takeover-settled", name), 0);
	ck_assert_uint_eq(occurrences(lines, "task-restart", "takeover"), 1);
	emu_worker_set_partitioned(emu, vm, false);
	emu_destroy(emu);
}
END_TEST

/* All workers have reported, and none knows the tasks: they are started as
 * unknown to an earlier owner, which the log names. */
START_TEST(test_starts_after_a_takeover_are_named)
{
	g_autoptr(GString) lines = g_string_new(NULL);
	struct emu_job job = batch;
	struct emu *emu = fleet_start(lines);
	uint32_t owner = emu_owner(emu);

	job.tasks_per_step = 40;
	job.task_ms = 2000;
	emu_submit(emu, 0, &job);
	emu_advance(emu, 500);
	emu_node_kill(emu, owner);
	emu_advance(emu, 9000);
	ck_assert_uint_ge(occurrences(lines, "starts-after-takeover", " run "),
			  8);
	ck_assert_uint_le(occurrences(lines, "starts-after-takeover:", "epoch"),
			  6);
	emu_settle(emu, 1, 60000);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lease_trace");
	TCase *tests = tcase_create("lease_trace");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_starts_without_a_lease_are_named);
	tcase_add_test(tests, test_deposed_owner_says_what_it_did);
	tcase_add_test(tests, test_settled_takeover_names_who_has_not_reported);
	tcase_add_test(tests, test_starts_after_a_takeover_are_named);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
