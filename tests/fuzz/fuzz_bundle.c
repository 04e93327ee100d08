#include "bundle_file.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* A rejected file reports at least one mistake, an accepted file none. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct bundle_file_errors *mistakes = bundle_file_errors_create();
	struct bundle *bundle = NULL;
	enum err_kind err =
		bundle_file_parse((const char *)bytes, len, mistakes, &bundle);

	g_assert((err == ERR_NONE) == (bundle != NULL));
	g_assert((err == ERR_NONE) ==
		 (bundle_file_errors_count(mistakes) == 0));
	bundle_unref(bundle);
	bundle_file_errors_destroy(mistakes);
	return 0;
}
