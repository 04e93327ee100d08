#include <glib.h>

#include "jch_wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* Decodes the record header and the message of a job RPC stream. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct jcw_message message = { 0 };
	size_t size;

	jcw_record_size((const char *)bytes, len, &size);
	if (jcw_decode((const char *)bytes, len, &message) == ERR_NONE)
		jcw_message_clear(&message);
	return 0;
}
