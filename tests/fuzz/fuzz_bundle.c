#include "bfl.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* A rejected file reports at least one mistake, an accepted file none. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct bfl_mistakes *mistakes = bfl_mistakes_create();
	struct bundle *bundle = NULL;
	enum err_kind err =
		bfl_parse((const char *)bytes, len, mistakes, &bundle);

	g_assert((err == ERR_NONE) == (bundle != NULL));
	g_assert((err == ERR_NONE) == (bfl_mistakes_count(mistakes) == 0));
	bundle_unref(bundle);
	bfl_mistakes_destroy(mistakes);
	return 0;
}
