#include "job.h"

#include <stdio.h>
#include <string.h>

#include "catalogue.h"
#include "owner_advice.h"

static void step_clear(gpointer data)
{
	struct job_step *step = data;

	g_free(step->label);
	g_free(step->data_rack);
	g_free(step->image);
}

const char *job_state_name(enum job_state state)
{
	static const char *const names[] = { "pending", "running", "succeeded",
					     "failed", "cancelled" };

	return names[state];
}

struct job_spec *job_spec_create(void)
{
	struct job_spec *spec = g_new0(struct job_spec, 1);

	spec->steps = g_array_new(FALSE, TRUE, sizeof(struct job_step));
	g_array_set_clear_func(spec->steps, step_clear);
	return spec;
}

void job_spec_destroy(struct job_spec *spec)
{
	if (!spec)
		return;
	catalogue_queue_free(spec->queue);
	g_free(spec->payload);
	g_array_unref(spec->steps);
	g_free(spec);
}

static bool text_is_valid(const char *text)
{
	return !text || strlen(text) <= JOB_TEXT_MAX_BYTES;
}

static const char *step_check(const struct job_step *step, guint index)
{
	if (step->count == 0)
		return "a step has no tasks";
	if (step->depends_on >> index != 0)
		return "a step depends on itself or on a later step";
	if (step->need.cpu_milli < 0 || step->need.memory_mb < 0 ||
	    step->need.accelerators < 0)
		return "a step has a negative resource need";
	if (!text_is_valid(step->label) || !text_is_valid(step->data_rack) ||
	    !text_is_valid(step->image))
		return "a label, rack or image is too long";
	return NULL;
}

enum err_kind job_spec_check(const struct job_spec *spec, const char **why)
{
	*why = NULL;
	if (!spec->payload || spec->steps->len == 0)
		*why = "the job has no payload or no steps";
	else if (strlen(spec->payload) > JOB_PAYLOAD_MAX_BYTES)
		*why = "the payload is too long";
	else if (spec->steps->len > JOB_STEPS_MAX)
		*why = "the job has too many steps";
	else if (spec->occurrence_count > JOB_OCCURRENCES_MAX)
		*why = "the job runs too many times";
	if (*why)
		return ERR_TOO_LARGE;
	for (guint i = 0; i < spec->steps->len && !*why; i++) {
		const struct job_step *step =
			&g_array_index(spec->steps, struct job_step, i);

		*why = step_check(step, i);
	}
	if (*why)
		return ERR_INVALID;
	if (job_spec_task_count(spec) <= JOB_TASKS_MAX)
		return ERR_NONE;
	*why = "the job has too many tasks";
	return ERR_TOO_LARGE;
}

struct job *job_create(const char *id, const char *queue, struct job_spec *spec)
{
	struct job *job = g_new0(struct job, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue = g_strdup(queue);
	job->spec = spec;
	job->occurrences = g_ptr_array_new();
	job->queue_link.data = job;
	return job;
}

static void group_clear(struct job_group *group)
{
	for (uint32_t i = 0; i < group->step->count; i++) {
		g_free(group->tasks[i].checkpoint);
		g_free(group->tasks[i].requeue.worker);
		g_free(group->tasks[i].suspect);
		g_clear_pointer(&group->tasks[i].failed_runs, g_array_unref);
	}
	g_free(group->tasks);
	owner_advice_destroy(group->advice);
}

static void occurrence_free(struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; i < steps->len; i++)
		group_clear(&occurrence->groups[i]);
	g_free(occurrence->groups);
	g_free(occurrence);
}

bool job_outlives_end(const struct job *job)
{
	if (job->state != JOB_FAILED || job->is_abandoned || !job->spec ||
	    job->spec->occurrence_count > 0)
		return false;
	for (guint i = 0; i < job->spec->steps->len; i++) {
		const struct job_step *step =
			&g_array_index(job->spec->steps, struct job_step, i);

		if (step->is_long_running && step->max_unavailable >= 0)
			return true;
	}
	return false;
}

void job_trim(struct job *job)
{
	for (guint i = 0; i < job->occurrences->len; i++)
		occurrence_free(g_ptr_array_index(job->occurrences, i));
	g_ptr_array_set_size(job->occurrences, 0);
	g_clear_pointer(&job->spec, job_spec_destroy);
}

bool job_set_queue(struct job *job, const struct catalogue_queue *queue)
{
	if (job->spec->queue &&
	    catalogue_queue_runs_same(job->spec->queue, queue))
		return false;
	catalogue_queue_free(job->spec->queue);
	job->spec->queue = catalogue_queue_copy(queue);
	job->records_queue = true;
	return true;
}

void job_destroy(struct job *job)
{
	if (!job)
		return;
	job_trim(job);
	g_ptr_array_unref(job->occurrences);
	g_free(job->queue);
	g_free(job->account);
	g_free(job);
}

static void group_init(struct job_group *group,
		       struct job_occurrence *occurrence, guint step_index)
{
	group->occurrence = occurrence;
	group->step_index = step_index;
	group->step = &g_array_index(occurrence->job->spec->steps,
				     struct job_step, step_index);
	group->tasks = g_new0(struct job_task, group->step->count);
	group->tasks_waiting = group->step->count;
	group->expected_ms = group->step->estimate_ms;
	for (uint32_t i = 0; i < group->step->count; i++) {
		group->tasks[i].group = group;
		group->tasks[i].index = i;
		group->tasks[i].ordered_speed_percent = 100;
	}
}

uint64_t job_due_unix_ms(const struct job_spec *spec, uint32_t occurrence)
{
	return spec->first_run_unix_ms + occurrence * spec->interval_ms;
}

uint64_t job_spec_task_count(const struct job_spec *spec)
{
	uint64_t tasks = 0;

	for (guint i = 0; i < spec->steps->len; i++)
		tasks += g_array_index(spec->steps, struct job_step, i).count;
	return tasks;
}

uint64_t job_next_due_unix_ms(const struct job *job)
{
	if (!job->spec)
		return UINT64_MAX;
	if (job->spec->occurrence_count == 0)
		return job->occurrences_begun == 0 ? 0 : UINT64_MAX;
	if (job->occurrences_begun >= job->spec->occurrence_count)
		return UINT64_MAX;
	return job_due_unix_ms(job->spec, job->occurrences_begun);
}

bool job_next_may_begin(const struct job *job, uint64_t now_unix_ms)
{
	return job_next_due_unix_ms(job) <= now_unix_ms &&
	       (job->occurrences->len + 1) * job_spec_task_count(job->spec) <=
		       JOB_TASKS_MAX;
}

struct job_occurrence *job_occurrence_begin(struct job *job, uint64_t now_ms,
					    uint64_t now_unix_ms)
{
	struct job_occurrence *occurrence = g_new0(struct job_occurrence, 1);
	bool is_scheduled = job->spec->occurrence_count > 0;
	uint64_t since_unix_ms = job->accepted_unix_ms;

	occurrence->job = job;
	occurrence->number = job->occurrences_begun++;
	if (is_scheduled)
		since_unix_ms = job_due_unix_ms(job->spec, occurrence->number);
	occurrence->due_ms = now_ms;
	if (now_unix_ms > since_unix_ms)
		occurrence->due_ms -= MIN(now_unix_ms - since_unix_ms, now_ms);
	else if (is_scheduled)
		occurrence->due_ms += since_unix_ms - now_unix_ms;
	occurrence->groups = g_new0(struct job_group, job->spec->steps->len);
	for (guint i = 0; i < job->spec->steps->len; i++)
		group_init(&occurrence->groups[i], occurrence, i);
	occurrence->critical_path_ms = job_critical_path_ms(occurrence, true);
	g_ptr_array_add(job->occurrences, occurrence);
	return occurrence;
}

struct job_occurrence *job_occurrence_find(const struct job *job,
					   uint32_t number)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (occurrence->number == number)
			return occurrence;
	}
	return NULL;
}

void job_occurrence_end(struct job_occurrence *occurrence)
{
	occurrence->job->occurrences_done++;
	g_ptr_array_remove(occurrence->job->occurrences, occurrence);
	occurrence_free(occurrence);
}

bool job_group_is_ready(const struct job_group *group)
{
	uint64_t remaining = group->step->depends_on;

	for (uint32_t i = 0; remaining != 0; i++, remaining >>= 1) {
		const struct job_group *earlier = &group->occurrence->groups[i];

		if ((remaining & 1) &&
		    earlier->tasks_done < earlier->step->count)
			return false;
	}
	return true;
}

void job_task_set_state(struct job_task *task, enum job_task_state state)
{
	struct job_group *group = task->group;

	if (task->state == state)
		return;
	if (task->state == JOB_TASK_WAITING)
		group->tasks_waiting--;
	if (state == JOB_TASK_WAITING)
		group->tasks_waiting++;
	g_assert(task->state != JOB_TASK_DONE);
	if (state == JOB_TASK_DONE) {
		group->tasks_done++;
		if (group->tasks_done == group->step->count)
			group->occurrence->groups_done++;
	}
	task->state = state;
}

static bool run_is_in(const GArray *runs, uint32_t run)
{
	for (guint i = 0; runs && i < runs->len; i++) {
		if (g_array_index(runs, uint32_t, i) == run)
			return true;
	}
	return false;
}

bool job_task_count_failure(struct job_task *task, uint32_t run)
{
	if (!task->failed_runs)
		task->failed_runs = g_array_new(FALSE, FALSE, sizeof(run));
	if (run_is_in(task->failed_runs, run))
		return false;
	g_array_append_val(task->failed_runs, run);
	return true;
}

static uint32_t gang_failures(const struct job_group *group)
{
	g_autoptr(GArray) seen = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (uint32_t i = 0; i < group->step->count; i++) {
		const GArray *runs = group->tasks[i].failed_runs;

		for (guint j = 0; runs && j < runs->len; j++) {
			uint32_t run = g_array_index(runs, uint32_t, j);

			if (!run_is_in(seen, run))
				g_array_append_val(seen, run);
		}
	}
	return seen->len;
}

uint32_t job_task_failures(const struct job_task *task)
{
	if (task->group->step->is_gang)
		return gang_failures(task->group);
	return task->failed_runs ? task->failed_runs->len : 0;
}

struct suspect *job_task_suspect(struct job_task *task)
{
	if (!task->suspect)
		task->suspect = g_new0(struct suspect, 1);
	return task->suspect;
}

void job_task_set_checkpoint(struct job_task *task, const char *checkpoint)
{
	if (!checkpoint || !*checkpoint ||
	    g_strcmp0(task->checkpoint, checkpoint) == 0)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

const char *job_requeue_cause_name(enum job_requeue_cause cause)
{
	static const char *const names[] = {
		[JOB_REQUEUE_NONE] = "none",
		[JOB_REQUEUE_FAILED] = "failed",
		[JOB_REQUEUE_STOPPED] = "stopped",
		[JOB_REQUEUE_LEASE_ENDED] = "lease-ended",
		[JOB_REQUEUE_GANG_ENDED] = "gang-ended",
		[JOB_REQUEUE_START_REFUSED] = "start-refused",
		[JOB_REQUEUE_START_NOT_EXECUTED] = "start-not-executed",
		[JOB_REQUEUE_NOT_IN_REPORT] = "not-in-report",
		[JOB_REQUEUE_WORKER_RESTARTED] = "worker-restarted",
		[JOB_REQUEUE_WORKER_REPLACED] = "worker-replaced",
		[JOB_REQUEUE_WORKER_CRASHED] = "worker-crashed",
		[JOB_REQUEUE_WORKER_REMOVED] = "worker-removed",
		[JOB_REQUEUE_WORKER_UNREACHABLE] = "worker-unreachable",
		[JOB_REQUEUE_TAKEOVER] = "takeover",
	};

	G_STATIC_ASSERT(G_N_ELEMENTS(names) == JOB_REQUEUE_COUNT);
	g_assert(cause < JOB_REQUEUE_COUNT);
	return names[cause];
}

void job_task_name(const struct job_task *task, char *out)
{
	const struct job_group *group = task->group;

	g_snprintf(out, JOB_TASK_NAME_BYTES, "%s.%u.%u.%u",
		   group->occurrence->job->id, group->occurrence->number,
		   group->step_index, task->index);
}

static bool number_parse(const char **text, char end, uint32_t *out)
{
	char *after = NULL;
	guint64 value;

	if (!g_ascii_isdigit(**text))
		return false;
	value = g_ascii_strtoull(*text, &after, 10);
	if (*after != end || value > UINT32_MAX)
		return false;
	*text = end ? after + 1 : after;
	*out = (uint32_t)value;
	return true;
}

bool job_task_id_parse(const char *text, struct job_task_id *out)
{
	if (strnlen(text, JOB_ID_LEN + 1) <= JOB_ID_LEN ||
	    text[JOB_ID_LEN] != '.')
		return false;
	memcpy(out->job, text, JOB_ID_LEN);
	out->job[JOB_ID_LEN] = '\0';
	text += JOB_ID_LEN + 1;
	return number_parse(&text, '.', &out->occurrence) &&
	       number_parse(&text, '.', &out->step) &&
	       number_parse(&text, '\0', &out->index);
}

uint32_t job_critical_path_ms(const struct job_occurrence *occurrence,
			      bool include_done)
{
	const GArray *steps = occurrence->job->spec->steps;
	uint32_t finish_ms[JOB_STEPS_MAX] = { 0 };
	uint32_t critical_path_ms = 0;

	for (guint i = 0; i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];
		uint32_t start_ms = 0;

		for (guint j = 0; j < i; j++) {
			if (group->step->depends_on >> j & 1)
				start_ms = MAX(start_ms, finish_ms[j]);
		}
		finish_ms[i] = start_ms;
		if (include_done || group->tasks_done < group->step->count)
			finish_ms[i] += group->expected_ms;
		critical_path_ms = MAX(critical_path_ms, finish_ms[i]);
	}
	return critical_path_ms;
}

bool job_id_is_valid(const char *id)
{
	if (strnlen(id, JOB_ID_LEN + 1) != JOB_ID_LEN)
		return false;
	for (const char *at = id; *at; at++) {
		if (!g_ascii_isxdigit(*at))
			return false;
	}
	return true;
}
