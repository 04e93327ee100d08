#include "jtp.h"

#include <stdio.h>
#include <string.h>

#include "owner_advice.h"

static void step_clear(gpointer data)
{
	struct jtp_step *step = data;

	g_free(step->label);
	g_free(step->data_rack);
	g_free(step->image);
}

struct jtp_spec *jtp_spec_create(void)
{
	struct jtp_spec *spec = g_new0(struct jtp_spec, 1);

	spec->steps = g_array_new(FALSE, TRUE, sizeof(struct jtp_step));
	g_array_set_clear_func(spec->steps, step_clear);
	return spec;
}

void jtp_spec_destroy(struct jtp_spec *spec)
{
	if (!spec)
		return;
	g_free(spec->text);
	g_array_unref(spec->steps);
	g_free(spec);
}

static const char *step_mistake(const struct jtp_step *step, guint index)
{
	if (step->count == 0)
		return "a step has no tasks";
	if (step->after >> index != 0)
		return "a step waits for itself or a later one";
	if (step->need.cpu_milli < 0 || step->need.memory_mb < 0 ||
	    step->need.accelerators < 0)
		return "a step needs less than nothing";
	return NULL;
}

enum err_kind jtp_spec_check(const struct jtp_spec *spec, const char **why)
{
	uint64_t tasks = 0;

	*why = NULL;
	if (!spec->text || spec->steps->len == 0)
		*why = "the job has no specification or no steps";
	else if (strlen(spec->text) > JTP_SPEC_MAX_BYTES)
		*why = "the specification is too long";
	else if (spec->steps->len > JTP_STEPS_MAX)
		*why = "the job has too many steps";
	else if (spec->times > JTP_OCCURRENCES_MAX)
		*why = "the job runs too many times";
	if (*why)
		return ERR_TOO_LARGE;
	for (guint i = 0; i < spec->steps->len && !*why; i++) {
		const struct jtp_step *step =
			&g_array_index(spec->steps, struct jtp_step, i);

		*why = step_mistake(step, i);
		tasks += step->count;
	}
	if (*why)
		return ERR_INVALID;
	if (tasks <= JTP_TASKS_MAX)
		return ERR_NONE;
	*why = "the job has too many tasks";
	return ERR_TOO_LARGE;
}

struct jtp_job *jtp_job_create(const char *id, const char *queue,
			       struct jtp_spec *spec)
{
	struct jtp_job *job = g_new0(struct jtp_job, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue = g_strdup(queue);
	job->spec = spec;
	job->occurrences = g_ptr_array_new();
	job->queue_link.data = job;
	return job;
}

static void group_clear(struct jtp_group *group)
{
	for (uint32_t i = 0; i < group->step->count; i++) {
		g_free(group->tasks[i].checkpoint);
		g_clear_pointer(&group->tasks[i].failed_runs, g_array_unref);
	}
	g_free(group->tasks);
	owner_advice_destroy(group->advice);
}

static void occurrence_free(struct jtp_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; i < steps->len; i++)
		group_clear(&occurrence->groups[i]);
	g_free(occurrence->groups);
	g_free(occurrence);
}

void jtp_job_trim(struct jtp_job *job)
{
	for (guint i = 0; i < job->occurrences->len; i++)
		occurrence_free(g_ptr_array_index(job->occurrences, i));
	g_ptr_array_set_size(job->occurrences, 0);
	g_clear_pointer(&job->spec, jtp_spec_destroy);
}

void jtp_job_destroy(struct jtp_job *job)
{
	if (!job)
		return;
	jtp_job_trim(job);
	g_ptr_array_unref(job->occurrences);
	g_free(job->queue);
	g_free(job);
}

static void group_init(struct jtp_group *group,
		       struct jtp_occurrence *occurrence, guint step_index)
{
	group->occurrence = occurrence;
	group->step_index = step_index;
	group->step = &g_array_index(occurrence->job->spec->steps,
				     struct jtp_step, step_index);
	group->tasks = g_new0(struct jtp_task, group->step->count);
	group->waiting = group->step->count;
	group->expected_ms = group->step->estimate_ms;
	for (uint32_t i = 0; i < group->step->count; i++) {
		group->tasks[i].group = group;
		group->tasks[i].index = i;
		group->tasks[i].pace_percent = 100;
	}
}

uint64_t jtp_next_due_unix_ms(const struct jtp_job *job)
{
	if (!job->spec)
		return UINT64_MAX;
	if (job->spec->times == 0)
		return job->occurrences_begun == 0 ? 0 : UINT64_MAX;
	if (job->occurrences_begun >= job->spec->times)
		return UINT64_MAX;
	return job->spec->first_run_unix_ms +
	       job->occurrences_begun * job->spec->interval_ms;
}

struct jtp_occurrence *
jtp_occurrence_begin(struct jtp_job *job, uint64_t now_ms, uint64_t now_unix_ms)
{
	struct jtp_occurrence *occurrence = g_new0(struct jtp_occurrence, 1);
	uint64_t late_ms = 0;

	occurrence->job = job;
	occurrence->due_unix_ms = jtp_next_due_unix_ms(job);
	occurrence->number = job->occurrences_begun++;
	if (job->spec->times == 0 && now_unix_ms > job->accepted_unix_ms)
		late_ms = now_unix_ms - job->accepted_unix_ms;
	else if (job->spec->times > 0 && now_unix_ms > occurrence->due_unix_ms)
		late_ms = now_unix_ms - occurrence->due_unix_ms;
	occurrence->since_ms = now_ms - MIN(late_ms, now_ms);
	occurrence->groups = g_new0(struct jtp_group, job->spec->steps->len);
	for (guint i = 0; i < job->spec->steps->len; i++)
		group_init(&occurrence->groups[i], occurrence, i);
	occurrence->whole_chain_ms = jtp_chain_ms(occurrence, true);
	g_ptr_array_add(job->occurrences, occurrence);
	return occurrence;
}

struct jtp_occurrence *jtp_occurrence_find(const struct jtp_job *job,
					   uint32_t number)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		struct jtp_occurrence *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (occurrence->number == number)
			return occurrence;
	}
	return NULL;
}

void jtp_occurrence_end(struct jtp_occurrence *occurrence)
{
	occurrence->job->occurrences_done++;
	g_ptr_array_remove(occurrence->job->occurrences, occurrence);
	occurrence_free(occurrence);
}

bool jtp_group_is_ready(const struct jtp_group *group)
{
	uint64_t after = group->step->after;

	for (uint32_t i = 0; after != 0; i++, after >>= 1) {
		const struct jtp_group *earlier = &group->occurrence->groups[i];

		if ((after & 1) && earlier->done < earlier->step->count)
			return false;
	}
	return true;
}

void jtp_task_set_state(struct jtp_task *task, enum jtp_task_state state)
{
	struct jtp_group *group = task->group;

	if (task->state == state)
		return;
	if (task->state == JTP_TASK_WAITING)
		group->waiting--;
	if (state == JTP_TASK_WAITING)
		group->waiting++;
	g_assert(task->state != JTP_TASK_DONE);
	if (state == JTP_TASK_DONE) {
		group->done++;
		if (group->done == group->step->count)
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

bool jtp_task_count_failure(struct jtp_task *task, uint32_t run)
{
	if (!task->failed_runs)
		task->failed_runs = g_array_new(FALSE, FALSE, sizeof(run));
	if (run_is_in(task->failed_runs, run))
		return false;
	g_array_append_val(task->failed_runs, run);
	return true;
}

static uint32_t gang_failures(const struct jtp_group *group)
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

uint32_t jtp_task_failures(const struct jtp_task *task)
{
	if (task->group->step->is_gang)
		return gang_failures(task->group);
	return task->failed_runs ? task->failed_runs->len : 0;
}

void jtp_task_set_checkpoint(struct jtp_task *task, const char *checkpoint)
{
	if (!checkpoint || !*checkpoint ||
	    g_strcmp0(task->checkpoint, checkpoint) == 0)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

void jtp_task_name(const struct jtp_task *task, char *out)
{
	const struct jtp_group *group = task->group;

	g_snprintf(out, JTP_TASK_NAME_BYTES, "%s.%u.%u.%u",
		   group->occurrence->job->id, group->occurrence->number,
		   group->step_index, task->index);
}

static bool number_take(const char **text, char end, uint32_t *out)
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

bool jtp_name_parse(const char *text, struct jtp_name *out)
{
	if (strnlen(text, JTP_ID_LEN + 1) <= JTP_ID_LEN ||
	    text[JTP_ID_LEN] != '.')
		return false;
	memcpy(out->job, text, JTP_ID_LEN);
	out->job[JTP_ID_LEN] = '\0';
	text += JTP_ID_LEN + 1;
	return number_take(&text, '.', &out->occurrence) &&
	       number_take(&text, '.', &out->step) &&
	       number_take(&text, '\0', &out->index);
}

uint32_t jtp_chain_ms(const struct jtp_occurrence *occurrence, bool whole)
{
	const GArray *steps = occurrence->job->spec->steps;
	uint32_t ends[JTP_STEPS_MAX] = { 0 };
	uint32_t longest = 0;

	for (guint i = 0; i < steps->len; i++) {
		const struct jtp_group *group = &occurrence->groups[i];
		uint32_t start = 0;

		for (guint j = 0; j < i; j++) {
			if (group->step->after >> j & 1)
				start = MAX(start, ends[j]);
		}
		ends[i] = start;
		if (whole || group->done < group->step->count)
			ends[i] += group->expected_ms;
		longest = MAX(longest, ends[i]);
	}
	return longest;
}

bool jtp_id_is_valid(const char *id)
{
	if (strnlen(id, JTP_ID_LEN + 1) != JTP_ID_LEN)
		return false;
	for (const char *at = id; *at; at++) {
		if (!g_ascii_isxdigit(*at))
			return false;
	}
	return true;
}
