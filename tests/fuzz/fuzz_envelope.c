#include <glib/gstdio.h>

#include "signing.h"

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static struct signing_trust_store *trust;

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	g_autofree char *dir = g_dir_make_tmp("fuzz-XXXXXX", NULL);
	g_autofree char *private_path = g_strconcat(dir, "/private", NULL);
	g_autofree char *public_path = g_strconcat(dir, "/public", NULL);
	const char *const keys[] = { public_path, NULL };

	g_assert(signing_key_generate(private_path, public_path) == ERR_NONE);
	g_assert(signing_trust_store_create(keys, 1, &trust, NULL) == ERR_NONE);
	g_unlink(private_path);
	g_unlink(public_path);
	g_rmdir(dir);
	return 0;
}

static enum err_kind
envelope_open(const struct signing_trust_store *trusted_keys,
	      const uint8_t *bytes, size_t len)
{
	struct bundle_file_errors *errors = bundle_file_errors_create();
	struct bundle *bundle = NULL;
	enum err_kind err = signing_envelope_open(
		(const char *)bytes, len, trusted_keys, errors, &bundle);

	g_assert((err == ERR_NONE) == (bundle != NULL));
	bundle_unref(bundle);
	bundle_file_errors_destroy(errors);
	return err;
}

/* The key is generated at startup, so no input can carry a valid signature. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	g_assert(envelope_open(trust, bytes, len) != ERR_NONE);
	envelope_open(NULL, bytes, len);
	return 0;
}
