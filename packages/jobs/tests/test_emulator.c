/**
 * @file test_emulator.c
 * @brief Tests that the emulator's checks report each violation.
 *
 * No job service runs. Each case plays the orders of an owner and the answers
 * to callers that violate one rule, and expects that this rule is reported; a
 * control plays the same parts without a violation.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "emu_private.h"

#define SCENE_TIMEOUT_MS 1000
#define SCENE_FENCE 70000

struct scene {
	struct emu *emu;
	/* argument of emu_adapter_ops */
	void *platform;
	uint32_t job;
	/* payload of starts, NULL for that of the jobs */
	const char *payload;
};

static const struct emu_config fleet = {
	.seed = 1,
	.pools = 2,
	.vms_per_pool = 3,
	.vm_cpu_milli = 4000,
	.attempts = 1,
	.unguarded = true,
};

static const struct emu_job one_task = {
	.steps = 1,
	.tasks_per_step = 1,
	.cpu_milli = 1000,
	.task_ms = 400,
	.max_unavailable = -1,
};

static void on_worker_reply(void *data G_GNUC_UNUSED,
			    const struct adapter_reply *reply G_GNUC_UNUSED)
{
}

static void on_vm_reply(void *data G_GNUC_UNUSED,
			enum err_kind err G_GNUC_UNUSED,
			enum adapter_vm_verdict verdict G_GNUC_UNUSED)
{
}

static void answer(struct scene *scene, enum jobs_verb verb,
		   enum jobs_outcome outcome, enum job_state state)
{
	const struct jobs_answer told = { .outcome = outcome, .state = state };

	emu_answer_observe(scene->emu, scene->job, verb, &told);
}

static void submit(struct scene *scene, const struct emu_job *job,
		   enum jobs_outcome outcome)
{
	scene->job = emu_job_register(scene->emu, job);
	emu_submission_begin(scene->emu, scene->job);
	answer(scene, JOBS_SUBMIT, outcome, JOB_PENDING);
}

static struct adapter_target target_of(const struct scene *scene, uint32_t vm,
				       struct emu_worker_view *view)
{
	emu_worker_describe(scene->emu, vm, view);
	return (struct adapter_target){ .id = view->id };
}

static void start(struct scene *scene, uint32_t vm, const char *task,
		  uint32_t run)
{
	char name[JOB_TASK_NAME_BYTES];
	struct emu_worker_view view;
	const struct adapter_target target = target_of(scene, vm, &view);
	const struct adapter_start order = {
		.task = name,
		.run = run,
		.spec = scene->payload ? scene->payload : EMU_PAYLOAD,
		.fence = SCENE_FENCE,
		.lease_until_ms = view.clock_ms + EMU_LEASE_MAX_MS,
	};

	g_snprintf(name, sizeof(name), "%s%s",
		   emu_job_id(scene->emu, scene->job), task);
	emu_adapter_ops.start(scene->platform, &target, &order,
			      SCENE_TIMEOUT_MS, on_worker_reply, NULL);
	emu_advance(scene->emu, 20);
}

static void stop(struct scene *scene, uint32_t vm, const char *task)
{
	char name[JOB_TASK_NAME_BYTES];
	struct emu_worker_view view;
	const struct adapter_target target = target_of(scene, vm, &view);

	g_snprintf(name, sizeof(name), "%s%s",
		   emu_job_id(scene->emu, scene->job), task);
	emu_adapter_ops.stop(scene->platform, &target, name, 1, SCENE_FENCE,
			     SCENE_TIMEOUT_MS, on_worker_reply, NULL);
	emu_advance(scene->emu, 500);
}

/* Renews the worker's lease and acknowledges its ends up to a number. */
static void poll(struct scene *scene, uint32_t vm, uint64_t acked_upto)
{
	struct emu_worker_view view;
	const struct adapter_target target = target_of(scene, vm, &view);
	const struct adapter_poll order = {
		.fence = SCENE_FENCE,
		.lease_until_ms = view.clock_ms + EMU_LEASE_MAX_MS,
		.acked_upto = acked_upto,
	};

	emu_adapter_ops.poll(scene->platform, &target, &order, SCENE_TIMEOUT_MS,
			     on_worker_reply, NULL);
	emu_advance(scene->emu, 20);
}

static void maintain(struct scene *scene, const char *vm, uint64_t fence)
{
	emu_adapter_ops.vm_maintain(scene->platform, vm, 1, "node-0", fence,
				    SCENE_TIMEOUT_MS, on_vm_reply, NULL);
	emu_advance(scene->emu, 20);
}

static void run_and_acknowledge(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	emu_advance(scene->emu, 1000);
	poll(scene, 0, 0);
	poll(scene, 0, 1);
}

static void play_success(struct scene *scene)
{
	run_and_acknowledge(scene);
	answer(scene, JOBS_STATE, JOBS_OK, JOB_SUCCEEDED);
	emu_wave_request(scene->emu, 100, 1, 30000);
	maintain(scene, "vm-0", SCENE_FENCE);
	emu_advance(scene->emu, 10000);
	maintain(scene, "vm-1", SCENE_FENCE + 1);
}

static void play_start_while_running(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	start(scene, 1, ".0.0.0", 2);
}

static void play_start_after_success(struct scene *scene)
{
	run_and_acknowledge(scene);
	start(scene, 1, ".0.0.0", 2);
}

/* The success is acknowledged only after the second start. */
static void play_start_before_acknowledgement(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	emu_advance(scene->emu, 1000);
	start(scene, 1, ".0.0.0", 2);
	poll(scene, 0, 1);
}

static void play_start_after_last_attempt(struct scene *scene)
{
	struct emu_job job = one_task;

	job.always_fails = true;
	submit(scene, &job, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	emu_advance(scene->emu, 1000);
	poll(scene, 0, 1);
	start(scene, 0, ".0.0.0", 2);
}

static void play_start_before_earlier_step(struct scene *scene)
{
	struct emu_job job = one_task;

	job.steps = 2;
	submit(scene, &job, JOBS_OK);
	start(scene, 0, ".0.1.0", 1);
}

static void play_start_before_time(struct scene *scene)
{
	struct emu_job job = one_task;

	job.occurrences = 2;
	job.first_run_ms = 5000;
	job.interval_ms = 1000;
	submit(scene, &job, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
}

static void play_start_of_refused_job(struct scene *scene)
{
	submit(scene, &one_task, JOBS_REFUSED);
	start(scene, 0, ".0.0.0", 1);
}

static void play_start_of_cancelled_job(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	answer(scene, JOBS_CANCEL, JOBS_OK, JOB_PENDING);
	emu_advance(scene->emu, EMU_CANCEL_MS);
	start(scene, 0, ".0.0.0", 1);
}

static void play_start_of_unknown_job(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	start(scene, 0, "f.0.0.0", 1);
}

static void play_start_with_other_payload(struct scene *scene)
{
	scene->payload = "other";
	submit(scene, &one_task, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
}

static void play_start_in_other_pool(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	start(scene, fleet.vms_per_pool, ".0.0.0", 1);
}

static void play_start_beside_own_step(struct scene *scene)
{
	struct emu_job job = one_task;

	job.long_running = true;
	job.tasks_per_step = 2;
	submit(scene, &job, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	start(scene, 0, ".0.0.1", 1);
}

static void play_stop_of_available_task(struct scene *scene)
{
	struct emu_job job = one_task;

	job.long_running = true;
	job.tasks_per_step = 2;
	job.max_unavailable = 1;
	submit(scene, &job, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	start(scene, 1, ".0.0.1", 1);
	emu_advance(scene->emu, 1000);
	stop(scene, 0, ".0.0.0");
	stop(scene, 1, ".0.0.1");
}

static void play_wave_beyond_its_limit(struct scene *scene)
{
	emu_wave_request(scene->emu, 100, 1, 30000);
	maintain(scene, "vm-0", SCENE_FENCE);
	maintain(scene, "vm-1", SCENE_FENCE);
}

static void play_older_fencing_token(struct scene *scene)
{
	emu_wave_request(scene->emu, 100, 1, 30000);
	maintain(scene, "vm-0", SCENE_FENCE);
	emu_advance(scene->emu, 2 * EMU_VM_ORDER_INTERVAL_MS);
	maintain(scene, "vm-0", SCENE_FENCE - 1);
}

static void play_two_owners_of_vm(struct scene *scene)
{
	emu_wave_request(scene->emu, 100, 1, 30000);
	maintain(scene, "vm-0", SCENE_FENCE);
	maintain(scene, "vm-0", SCENE_FENCE + 1);
}

static void play_wave_reported_too_early(struct scene *scene)
{
	emu_wave_request(scene->emu, 100, 1, 30000);
	emu_operator_write(scene->emu, "wave-status/1", "succeeded");
	emu_advance(scene->emu, 100);
}

static void play_success_reported_while_running(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	answer(scene, JOBS_STATE, JOBS_OK, JOB_SUCCEEDED);
}

static void play_accepted_job_unknown(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	answer(scene, JOBS_STATE, JOBS_NO_JOB, JOB_PENDING);
}

static void play_failed_without_cause(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	answer(scene, JOBS_STATE, JOBS_OK, JOB_FAILED);
}

static void play_cancelled_without_request(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	answer(scene, JOBS_STATE, JOBS_OK, JOB_CANCELLED);
}

static void play_incomplete_gang(struct scene *scene)
{
	struct emu_job job = one_task;

	job.gang = true;
	job.tasks_per_step = 2;
	submit(scene, &job, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	emu_advance(scene->emu, EMU_GANG_TIMEOUT_MS + 100);
}

static void play_start_beyond_capacity(struct scene *scene)
{
	struct emu_job job = one_task;

	job.cpu_milli = 5000;
	emu_advance(scene->emu, EMU_CAPACITY_KNOWN_MS);
	submit(scene, &job, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
}

static void play_start_beyond_account_limit(struct scene *scene)
{
	struct emu_job job = one_task;

	job.account = 1;
	for (uint32_t i = 0; i < 4; i++) {
		submit(scene, &job, JOBS_OK);
		start(scene, i % 2, ".0.0.0", 1);
	}
}

static void play_start_after_three_crashes(struct scene *scene)
{
	struct emu_job job = one_task;

	job.crashing_tasks = 1;
	emu_advance(scene->emu, EMU_UNDISTURBED_MS + 1000);
	submit(scene, &job, JOBS_OK);
	for (uint32_t run = 1; run < 8; run++) {
		start(scene, 0, ".0.0.0", run);
		emu_advance(scene->emu, 2 * EMU_CRASH_DOWN_MS);
	}
}

static void play_wait_beside_room(struct scene *scene)
{
	submit(scene, &one_task, JOBS_OK);
	emu_advance(scene->emu, 8000);
}

static void play_wait_of_one_long_running_task(struct scene *scene)
{
	struct emu_job job = one_task;

	job.long_running = true;
	job.tasks_per_step = 2;
	submit(scene, &job, JOBS_OK);
	start(scene, 0, ".0.0.0", 1);
	for (uint32_t i = 0; i < 12; i++) {
		emu_advance(scene->emu, 1000);
		poll(scene, 0, 0);
	}
}

static const struct {
	const char *violation;
	void (*play)(struct scene *scene);
} scenes[] = {
	{ "", play_success },
	{ "TWICE", play_start_while_running },
	{ "TWICE", play_start_after_success },
	{ "TWICE", play_start_before_acknowledgement },
	{ "BUDGET", play_start_after_last_attempt },
	{ "ORDER", play_start_before_earlier_step },
	{ "ORDER", play_start_before_time },
	{ "UNASKED", play_start_of_refused_job },
	{ "UNASKED", play_start_of_cancelled_job },
	{ "UNASKED", play_start_of_unknown_job },
	{ "UNASKED", play_start_with_other_payload },
	{ "ROUTE", play_start_in_other_pool },
	{ "ROUTE", play_start_beside_own_step },
	{ "AVAIL", play_stop_of_available_task },
	{ "LIMIT", play_wave_beyond_its_limit },
	{ "LIMIT", play_older_fencing_token },
	{ "ONE", play_two_owners_of_vm },
	{ "STATE", play_wave_reported_too_early },
	{ "STATE", play_success_reported_while_running },
	{ "STATE", play_accepted_job_unknown },
	{ "STATE", play_failed_without_cause },
	{ "STATE", play_cancelled_without_request },
	{ "GANG", play_incomplete_gang },
	{ "CAPACITY", play_start_beyond_capacity },
	{ "QUOTA", play_start_beyond_account_limit },
	{ "CRASHES", play_start_after_three_crashes },
	{ "LOST", play_wait_beside_room },
	{ "LOST", play_wait_of_one_long_running_task },
};

START_TEST(test_violation_is_reported)
{
	struct emu_config config = fleet;
	const char *violation = scenes[_i].violation;
	struct scene scene = { 0 };

	if (strcmp(violation, "QUOTA") == 0) {
		config.accounts = 1;
		config.account.cpu_limit_milli = 1500;
	}
	scene.emu = emu_create(&config);
	scene.platform = emu_platform_open(scene.emu, NULL, 0);
	emu_advance(scene.emu, 100);
	scenes[_i].play(&scene);
	ck_assert_msg(
		g_str_has_prefix(emu_first_violation(scene.emu), violation) &&
			(emu_violation_count(scene.emu) > 0) ==
				(*violation != '\0'),
		"expected %s, found: %s", violation,
		emu_first_violation(scene.emu));
	emu_destroy(scene.emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("emulator");
	TCase *tests = tcase_create("emulator");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_violation_is_reported, 0,
			    G_N_ELEMENTS(scenes));
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
