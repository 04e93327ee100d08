#include <string.h>

#include "catalogue.h"
#include "job_record_private.h"

/* State names in records; JOB_PENDING and JOB_RUNNING share a name. */
static const char *const state_names[] = {
	[JOB_PENDING] = "live",	       [JOB_RUNNING] = "live",
	[JOB_SUCCEEDED] = "succeeded", [JOB_FAILED] = "failed",
	[JOB_CANCELLED] = "cancelled",
};

char *job_record_job_encode(const struct job *job)
{
	g_autoptr(json_t) json = json_object();

	json_object_set_new(json, "queue", json_string(job->queue));
	text_set(json, "account", job->account);
	flag_set(json, "excess", job->is_excess);
	json_object_set_new(json, "accepted_ms",
			    json_integer((json_int_t)job->accepted_unix_ms));
	json_object_set_new(json, "spec", job_record_spec_to_json(job->spec));
	return json_dumps(json, JSON_COMPACT);
}

/* Creates a job from its stored record. */
static struct job *job_from_record(const char *id, const json_t *json,
				   struct job_spec *spec, enum job_state state)
{
	struct job *job = job_create(
		id, json_string_value(json_object_get(json, "queue")), spec);

	job->account = text_get(json, "account");
	job->is_excess = flag_get(json, "excess");
	job->state = state;
	job->stored_state = state;
	job->sent_state = state;
	job->is_sent = true;
	job->accepted_unix_ms = (uint64_t)json_integer_value(
		json_object_get(json, "accepted_ms"));
	return job;
}

static bool record_is_valid(const char *id, const json_t *json)
{
	return job_id_is_valid(id) &&
	       json_is_string(json_object_get(json, "queue"));
}

enum err_kind job_record_job_decode(const char *id, const char *text,
				    size_t len, struct job **out)
{
	g_autoptr(json_t) json = json_loadb(text, len, 0, NULL);
	struct job_spec *spec;
	enum err_kind err;

	if (!record_is_valid(id, json))
		return ERR_MALFORMED;
	err = job_record_spec_from_json(json_object_get(json, "spec"), &spec);
	if (err != ERR_NONE)
		return err;
	*out = job_from_record(id, json, spec, JOB_PENDING);
	(*out)->has_definition = true;
	return ERR_NONE;
}

char *job_record_cancel_key(const char *id, const char *queue,
			    const char *account)
{
	return g_strdup_printf("%s %s %s", id, queue, account ? account : "");
}

void job_record_end_add(json_t *records, const struct job *job)
{
	json_t *json = json_object();
	g_autofree char *cancel_key =
		job->is_cancel_only ? job_record_cancel_key(job->id, job->queue,
							    job->account)
				    : NULL;

	json_object_set_new(json, "queue", json_string(job->queue));
	text_set(json, "account", job->account);
	json_object_set_new(json, "state",
			    json_string(state_names[job->state]));
	flag_set(json, "abandoned", job->is_abandoned);
	json_object_set_new(json, "accepted_ms",
			    json_integer((json_int_t)job->accepted_unix_ms));
	if (cancel_key)
		json_object_set_new(json, "cancels", json_string(job->id));
	json_object_set_new(records, cancel_key ? cancel_key : job->id, json);
}

json_t *job_record_batch_decode(const char *text, size_t len)
{
	json_t *json = json_loadb(text, len, 0, NULL);

	if (json_is_object(json))
		return json;
	json_decref(json);
	return NULL;
}

static bool end_state_decode(const char *name, enum job_state *out)
{
	for (size_t i = JOB_RUNNING + 1; i < G_N_ELEMENTS(state_names); i++) {
		if (g_strcmp0(name, state_names[i]) != 0)
			continue;
		*out = (enum job_state)i;
		return true;
	}
	return false;
}

enum err_kind job_record_end_decode(const char *id, const json_t *record,
				    struct job **out)
{
	const char *name = json_string_value(json_object_get(record, "state"));
	const char *cancels =
		json_string_value(json_object_get(record, "cancels"));
	enum job_state state;

	if (cancels)
		id = cancels;
	if (!record_is_valid(id, record) || !end_state_decode(name, &state))
		return ERR_MALFORMED;
	*out = job_from_record(id, record, NULL, state);
	(*out)->is_abandoned = flag_get(record, "abandoned");
	(*out)->is_cancel_only = cancels != NULL;
	return ERR_NONE;
}

/* Encodes one character per task: D if it is done, else -. */
static json_t *group_encode(const struct job_group *group)
{
	g_autoptr(GString) text = g_string_sized_new(group->step->count);

	for (uint32_t i = 0; i < group->step->count; i++) {
		bool done = group->tasks[i].state == JOB_TASK_DONE;

		g_string_append_c(text, done ? 'D' : '-');
	}
	return json_string(text->str);
}

/* Space in a record for the identity of its job, and for the key of a
 * checkpoint with its punctuation. */
#define RECORD_KEY_BYTES 32
#define RECORD_CHECKPOINT_KEY_BYTES 32

/* Adds the checkpoints that fit into the room left, in bytes; returns how many
 * do not. */
static uint32_t checkpoints_encode(const struct job_group *group, json_t *out,
				   size_t *room)
{
	uint32_t left_out = 0;
	char key[32];

	for (uint32_t i = 0; i < group->step->count; i++) {
		const struct job_task *task = &group->tasks[i];

		json_t *value;
		size_t bytes;

		if (!task->checkpoint || task->state == JOB_TASK_DONE)
			continue;
		value = json_string(task->checkpoint);
		bytes = json_dumpb(value, NULL, 0, JSON_ENCODE_ANY) +
			RECORD_CHECKPOINT_KEY_BYTES;
		if (bytes > *room) {
			json_decref(value);
			left_out++;
			continue;
		}
		*room -= bytes;
		g_snprintf(key, sizeof(key), "%u.%u", group->step_index, i);
		json_object_set_new(out, key, value);
	}
	return left_out;
}

static void failed_runs_encode(const struct job_group *group, json_t *out)
{
	char key[32];
	json_t *runs;

	for (uint32_t i = 0; i < group->step->count; i++) {
		const struct job_task *task = &group->tasks[i];

		if (!task->failed_runs || task->state == JOB_TASK_DONE)
			continue;
		g_snprintf(key, sizeof(key), "%u.%u", group->step_index, i);
		runs = json_array();
		for (guint j = 0; j < task->failed_runs->len; j++)
			json_array_append_new(
				runs, json_integer(g_array_index(
					      task->failed_runs, uint32_t, j)));
		json_object_set_new(out, key, runs);
	}
}

/* Version of the evidence in records. In records without it, the second number
 * may be a chance in parts per million. */
#define RECORD_CRASHES_VERSION 2

/* Encodes the evidence that a task crashes its workers as an array: five
 * numbers, then an array for each crash. */
static json_t *suspect_encode(const struct suspect *suspect)
{
	json_t *out = json_pack(
		"[I,I,I,I,I]", (json_int_t)suspect->sole,
		(json_int_t)suspect->rate_ppb, (json_int_t)suspect->presumed,
		(json_int_t)suspect->longest_ms, (json_int_t)suspect->total);

	for (uint32_t i = 0; i < suspect->crashes; i++)
		json_array_append_new(
			out, json_pack("[I,b,b]",
				       (json_int_t)suspect->events[i].age_ms,
				       suspect->events[i].prompt,
				       suspect->events[i].certain));
	return out;
}

static void suspects_encode(const struct job_group *group, json_t *out)
{
	char key[32];

	for (uint32_t i = 0; i < group->step->count; i++) {
		const struct suspect *suspect = group->tasks[i].suspect;

		if (!suspect || suspect->crashes == 0 ||
		    group->tasks[i].state == JOB_TASK_DONE)
			continue;
		g_snprintf(key, sizeof(key), "%u.%u", group->step_index, i);
		json_object_set_new(out, key, suspect_encode(suspect));
	}
}

static json_t *occurrence_encode(const struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;
	json_t *failed_runs = json_object();
	json_t *suspects = json_object();
	json_t *groups = json_array();
	json_t *out = json_object();

	for (guint i = 0; i < steps->len; i++) {
		json_array_append_new(groups,
				      group_encode(&occurrence->groups[i]));
		failed_runs_encode(&occurrence->groups[i], failed_runs);
		suspects_encode(&occurrence->groups[i], suspects);
	}
	json_object_set_new(out, "number", json_integer(occurrence->number));
	json_object_set_new(out, "tasks", groups);
	json_object_set_new(out, "checkpoints", json_object());
	json_object_set_new(out, "failed_runs", failed_runs);
	if (json_object_size(suspects) > 0) {
		json_object_set(out, "crashes", suspects);
		json_object_set_new(out, "crashes_version",
				    json_integer(RECORD_CRASHES_VERSION));
	}
	json_decref(suspects);
	return out;
}

static uint32_t
occurrence_checkpoints_encode(const struct job_occurrence *occurrence,
			      json_t *out, size_t *room)
{
	uint32_t left_out = 0;

	for (guint i = 0; i < occurrence->job->spec->steps->len; i++)
		left_out +=
			checkpoints_encode(&occurrence->groups[i], out, room);
	return left_out;
}

uint32_t job_record_progress_add(json_t *records, const struct job *job,
				 size_t max_bytes)
{
	json_t *json = json_object();
	json_t *occurrences = json_array();
	uint32_t left_out = 0;
	size_t bytes;
	size_t room;

	for (guint i = 0; i < job->occurrences->len; i++)
		json_array_append_new(occurrences,
				      occurrence_encode(g_ptr_array_index(
					      job->occurrences, i)));
	json_object_set_new(json, "begun",
			    json_integer(job->occurrences_begun));
	json_object_set_new(json, "occurrences", occurrences);
	flag_set(json, "unstarted", !job->has_begun);
	if (job->records_queue)
		json_object_set_new(json, "queue",
				    job_record_queue_to_json(job->spec->queue));
	bytes = json_dumpb(json, NULL, 0, JSON_COMPACT) + RECORD_KEY_BYTES;
	room = max_bytes - MIN(max_bytes, bytes);
	for (guint i = 0; i < job->occurrences->len; i++)
		left_out += occurrence_checkpoints_encode(
			g_ptr_array_index(job->occurrences, i),
			json_object_get(json_array_get(occurrences, i),
					"checkpoints"),
			&room);
	json_object_set_new(records, job->id, json);
	return left_out;
}

static bool group_decode(struct job_group *group, const char *text)
{
	if (!text || strlen(text) != group->step->count)
		return false;
	for (uint32_t i = 0; i < group->step->count; i++) {
		struct job_task *task = &group->tasks[i];

		if (text[i] == 'D')
			job_task_set_state(task, JOB_TASK_DONE);
		else if (text[i] != '-')
			return false;
	}
	return true;
}

/* Finds a task by a key STEP.INDEX. @return NULL if there is none */
static struct job_task *task_find(struct job_occurrence *occurrence,
				  const char *key)
{
	const GArray *steps = occurrence->job->spec->steps;
	unsigned int step;
	unsigned int index;

	if (sscanf(key, "%u.%u", &step, &index) != 2 || step >= steps->len ||
	    index >= occurrence->groups[step].step->count)
		return NULL;
	return &occurrence->groups[step].tasks[index];
}

static bool tasks_decode(struct job_occurrence *occurrence, json_t *checkpoints,
			 json_t *failed_runs)
{
	const char *key;
	json_t *value;
	json_t *run;
	size_t i;

	json_object_foreach(checkpoints, key, value)
	{
		struct job_task *task = task_find(occurrence, key);

		if (!task)
			return false;
		job_task_set_checkpoint(task, json_string_value(value));
	}
	json_object_foreach(failed_runs, key, value)
	{
		struct job_task *task = task_find(occurrence, key);

		if (!task)
			return false;
		json_array_foreach(value, i, run) job_task_count_failure(
			task, (uint32_t)json_integer_value(run));
	}
	return true;
}

static uint32_t array_number_get(const json_t *array, size_t index)
{
	return number_decode(json_array_get(array, index));
}

static void suspect_decode(const json_t *json, struct suspect *out)
{
	const json_t *event;

	*out = (struct suspect){
		.sole = array_number_get(json, 0),
		.rate_ppb = array_number_get(json, 1),
		.presumed = array_number_get(json, 2),
		.longest_ms = array_number_get(json, 3),
		.total = array_number_get(json, 4),
	};
	for (size_t i = 5; out->crashes < SUSPECT_CRASHES_MAX &&
			   (event = json_array_get(json, i));
	     i++)
		out->events[out->crashes++] = (struct suspect_event){
			.age_ms = array_number_get(event, 0),
			.prompt = json_is_true(json_array_get(event, 1)),
			.certain = json_is_true(json_array_get(event, 2)),
		};
	out->sole = MIN(out->sole, out->crashes);
}

static bool suspects_decode(struct job_occurrence *occurrence, json_t *suspects,
			    uint32_t version)
{
	const char *key;
	json_t *value;

	json_object_foreach(suspects, key, value)
	{
		struct job_task *task = task_find(occurrence, key);

		if (!task)
			return false;
		suspect_decode(value, job_task_suspect(task));
		if (version != RECORD_CRASHES_VERSION)
			job_task_suspect(task)->rate_ppb = 0;
	}
	return true;
}

static bool occurrence_decode(struct job *job, const json_t *json,
			      uint64_t now_ms, uint64_t now_unix_ms)
{
	const json_t *groups = json_object_get(json, "tasks");
	struct job_occurrence *occurrence;

	job->occurrences_begun = number_get(json, "number");
	occurrence = job_occurrence_begin(job, now_ms, now_unix_ms);
	occurrence->has_begun = job->has_begun;
	if (json_array_size(groups) != job->spec->steps->len)
		return false;
	for (guint i = 0; i < job->spec->steps->len; i++) {
		if (!group_decode(&occurrence->groups[i],
				  json_string_value(json_array_get(groups, i))))
			return false;
	}
	return tasks_decode(occurrence, json_object_get(json, "checkpoints"),
			    json_object_get(json, "failed_runs")) &&
	       suspects_decode(occurrence, json_object_get(json, "crashes"),
			       number_get(json, "crashes_version"));
}

enum err_kind job_record_progress_apply(struct job *job, const json_t *record,
					uint64_t now_ms, uint64_t now_unix_ms)
{
	const json_t *occurrences = json_object_get(record, "occurrences");
	bool valid = json_is_array(occurrences);
	struct catalogue_queue *queue =
		job_record_queue_from_json(json_object_get(record, "queue"));
	const json_t *item;
	size_t i;

	if (queue)
		job_set_queue(job, queue);
	catalogue_queue_free(queue);
	job->has_begun = !flag_get(record, "unstarted");
	json_array_foreach((json_t *)occurrences, i, item)
	{
		if (valid)
			valid = occurrence_decode(job, item, now_ms,
						  now_unix_ms);
	}
	if (!valid)
		return ERR_MALFORMED;
	job->occurrences_begun = number_get(record, "begun");
	job->occurrences_done = job->occurrences_begun - job->occurrences->len;
	return ERR_NONE;
}
