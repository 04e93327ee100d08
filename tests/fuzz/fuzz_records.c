#include "job_record.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static struct job *pending_job_create(const char *id)
{
	static const char text[] = "{\"text\":\"x\",\"steps\":[{\"count\":3},"
				   "{\"count\":2,\"after\":[0]}]}";
	struct job_spec *spec = NULL;

	if (job_record_spec_decode(text, sizeof(text) - 1, &spec) != ERR_NONE)
		return NULL;
	return job_create(id, "queue", spec);
}

/* Job records written by a previous owner are applied or rejected. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	json_t *records = job_record_batch_decode((const char *)bytes, len);
	const char *id;
	json_t *record;

	json_object_foreach(records, id, record)
	{
		struct job *job = pending_job_create("000000000000000a");
		struct job *ended = NULL;

		job_record_progress_apply(job, record, 1, 1);
		if (job_record_end_decode(id, record, &ended) == ERR_NONE)
			job_destroy(ended);
		job_destroy(job);
	}
	json_decref(records);
	return 0;
}
