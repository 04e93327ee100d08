#include <glib.h>

#include "job_wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* Decodes the record header and the message of a job RPC stream. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct job_wire_message message = { 0 };
	size_t size;

	job_wire_record_size((const char *)bytes, len, &size);
	if (job_wire_decode((const char *)bytes, len, &message) == ERR_NONE)
		job_wire_message_clear(&message);
	return 0;
}
