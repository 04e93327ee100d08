#include "bundle_file.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* A rejected file reports at least one error, an accepted file none. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct bundle_file_errors *errors = bundle_file_errors_create();
	struct bundle *bundle = NULL;
	enum err_kind err =
		bundle_file_parse((const char *)bytes, len, errors, &bundle);

	g_assert((err == ERR_NONE) == (bundle != NULL));
	g_assert((err == ERR_NONE) == (bundle_file_errors_count(errors) == 0));
	bundle_unref(bundle);
	bundle_file_errors_destroy(errors);
	return 0;
}
