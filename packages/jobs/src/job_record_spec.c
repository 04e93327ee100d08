#include "catalogue.h"
#include "job_record_private.h"

static json_t *step_encode(const struct job_step *step)
{
	json_t *out = json_object();

	number_set(out, "count", step->count);
	number_set(out, "cpu_milli", step->need.cpu_milli);
	number_set(out, "memory_mb", step->need.memory_mb);
	number_set(out, "accelerators", step->need.accelerators);
	number_set(out, "estimate_ms", step->estimate_ms);
	number_set(out, "after", (int64_t)step->depends_on);
	flag_set(out, "checkpoints", step->saves_checkpoints);
	flag_set(out, "gang", step->is_gang);
	flag_set(out, "one_rack", step->one_rack);
	flag_set(out, "copies", step->allows_speculation);
	flag_set(out, "lasting", step->is_long_running);
	flag_set(out, "filler", step->is_best_effort);
	text_set(out, "label", step->label);
	text_set(out, "data_rack", step->data_rack);
	text_set(out, "image", step->image);
	number_set(out, "most_per_worker", step->max_per_worker);
	number_set(out, "target_ms", step->latency_target_ms);
	if (step->max_unavailable >= 0)
		json_object_set_new(out, "may_miss",
				    json_integer(step->max_unavailable));
	return out;
}

json_t *job_record_queue_to_json(const struct catalogue_queue *queue)
{
	json_t *out = json_object();

	text_set(out, "service", queue->service);
	number_set(out, "priority", queue->priority);
	number_set(out, "attempts", queue->attempts);
	number_set(out, "stretch_permille", queue->stretch_permille);
	number_set(out, "slo_ms", queue->slo_ms);
	flag_set(out, "needs_advice", queue->needs_advice);
	number_set(out, "ticket_ms", queue->ticket_ms);
	return out;
}

json_t *job_record_spec_to_json(const struct job_spec *spec)
{
	json_t *steps = json_array();
	json_t *out = json_object();

	for (guint i = 0; i < spec->steps->len; i++)
		json_array_append_new(
			steps, step_encode(&g_array_index(spec->steps,
							  struct job_step, i)));
	json_object_set_new(out, "text", json_string(spec->payload));
	json_object_set_new(out, "steps", steps);
	number_set(out, "times", spec->occurrence_count);
	number_set(out, "first_run_ms", (int64_t)spec->first_run_unix_ms);
	number_set(out, "interval_ms", (int64_t)spec->interval_ms);
	if (spec->queue)
		json_object_set_new(out, "queue",
				    job_record_queue_to_json(spec->queue));
	return out;
}

char *job_record_spec_encode(const struct job_spec *spec)
{
	g_autoptr(json_t) json = job_record_spec_to_json(spec);

	return json_dumps(json, JSON_COMPACT);
}

static void step_decode(const json_t *json, struct job_step *step)
{
	const json_t *may_miss = json_object_get(json, "may_miss");

	step->count = number_get(json, "count");
	step->need.cpu_milli = number_get(json, "cpu_milli");
	step->need.memory_mb = number_get(json, "memory_mb");
	step->need.accelerators = number_get(json, "accelerators");
	step->estimate_ms = number_get(json, "estimate_ms");
	step->depends_on =
		(uint64_t)json_integer_value(json_object_get(json, "after"));
	step->saves_checkpoints = flag_get(json, "checkpoints");
	step->is_gang = flag_get(json, "gang");
	step->one_rack = flag_get(json, "one_rack");
	step->allows_speculation = flag_get(json, "copies");
	step->is_long_running = flag_get(json, "lasting");
	step->is_best_effort = flag_get(json, "filler");
	step->label = text_get(json, "label");
	step->data_rack = text_get(json, "data_rack");
	step->image = text_get(json, "image");
	step->max_per_worker = number_get(json, "most_per_worker");
	step->latency_target_ms = number_get(json, "target_ms");
	step->max_unavailable =
		may_miss ? (int32_t)json_integer_value(may_miss) : -1;
}

struct catalogue_queue *job_record_queue_from_json(const json_t *json)
{
	struct catalogue_queue *queue;

	if (!json_is_string(json_object_get(json, "service")) ||
	    number_get(json, "attempts") == 0)
		return NULL;
	queue = g_new0(struct catalogue_queue, 1);
	queue->service = text_get(json, "service");
	queue->priority = number_get(json, "priority");
	queue->attempts = number_get(json, "attempts");
	queue->stretch_permille = number_get(json, "stretch_permille");
	queue->slo_ms = number_get(json, "slo_ms");
	queue->needs_advice = flag_get(json, "needs_advice");
	queue->ticket_ms = number_get(json, "ticket_ms");
	return queue;
}

static struct job_spec *spec_from_json(const json_t *json)
{
	struct job_spec *spec = job_spec_create();
	const json_t *steps = json_object_get(json, "steps");
	const json_t *item;
	size_t i;

	spec->payload = text_get(json, "text");
	spec->queue =
		job_record_queue_from_json(json_object_get(json, "queue"));
	spec->occurrence_count = number_get(json, "times");
	spec->first_run_unix_ms = (uint64_t)json_integer_value(
		json_object_get(json, "first_run_ms"));
	spec->interval_ms = (uint64_t)json_integer_value(
		json_object_get(json, "interval_ms"));
	json_array_foreach((json_t *)steps, i, item)
	{
		struct job_step step = { 0 };

		step_decode(item, &step);
		g_array_append_val(spec->steps, step);
	}
	return spec;
}

enum err_kind job_record_spec_from_json(const json_t *json,
					struct job_spec **out)
{
	struct job_spec *spec;
	const char *why;
	enum err_kind err;

	if (!json_is_object(json))
		return ERR_MALFORMED;
	spec = spec_from_json(json);
	err = job_spec_check(spec, &why);
	if (err == ERR_NONE)
		*out = spec;
	else
		job_spec_destroy(spec);
	return err;
}

enum err_kind job_record_spec_decode(const char *text, size_t len,
				     struct job_spec **out)
{
	g_autoptr(json_t) json = NULL;

	if (len > JOB_RECORD_SPEC_MAX_BYTES)
		return ERR_TOO_LARGE;
	json = json_loadb(text, len, 0, NULL);
	return job_record_spec_from_json(json, out);
}
