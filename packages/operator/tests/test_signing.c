#include <check.h>
#include <glib/gstdio.h>
#include <string.h>

#include "signing.h"

static const char text[] =
	"version: 3\nname: t\nvms: []\npools: []\nroutes: []\nwaves: []\n"
	"cost_weights: {buffer: 1, moves: 1, roll_out: 1}\n";

static char *dir;
static char *private_keys[3];
static char *public_keys[3];
static struct bundle *bundle;

static void set_up(void)
{
	struct bundle_file_errors *errors = bundle_file_errors_create();

	dir = g_dir_make_tmp("sassafrascart-signing-XXXXXX", NULL);
	for (int i = 0; i < 3; i++) {
		private_keys[i] = g_strdup_printf("%s/%d.private", dir, i);
		public_keys[i] = g_strdup_printf("%s/%d.public", dir, i);
		ck_assert_int_eq(
			signing_key_generate(private_keys[i], public_keys[i]),
			ERR_NONE);
	}
	ck_assert_int_eq(bundle_file_parse(text, strlen(text), errors, &bundle),
			 ERR_NONE);
	bundle_file_errors_destroy(errors);
}

static void tear_down(void)
{
	bundle_unref(bundle);
	for (int i = 0; i < 3; i++) {
		g_unlink(private_keys[i]);
		g_unlink(public_keys[i]);
		g_free(private_keys[i]);
		g_free(public_keys[i]);
	}
	g_rmdir(dir);
	g_free(dir);
}

static char *envelope_sign(int key, const char *previous)
{
	char *envelope = NULL;

	ck_assert_int_eq(signing_envelope_sign(text, bundle, private_keys[key],
					       previous, &envelope, NULL),
			 ERR_NONE);
	return envelope;
}

/* Opens an envelope, trusting the first two keys. */
static enum err_kind envelope_open(const char *envelope, uint32_t required)
{
	const char *const keys[] = { public_keys[0], public_keys[1], NULL };
	struct bundle_file_errors *errors = bundle_file_errors_create();
	struct bundle *opened = NULL;
	struct signing_trust_store *trust;
	enum err_kind err;

	ck_assert_int_eq(
		signing_trust_store_create(keys, required, &trust, NULL),
		ERR_NONE);
	err = signing_envelope_open(envelope, strlen(envelope), trust, errors,
				    &opened);
	ck_assert((err == ERR_NONE) == (opened != NULL));
	bundle_unref(opened);
	signing_trust_store_destroy(trust);
	bundle_file_errors_destroy(errors);
	return err;
}

/* Modifications of a signed envelope and the error each must cause. */
static const struct {
	const char *pattern;
	const char *replacement;
	enum err_kind expected;
} changes[] = {
	{ "name: t", "name: u", ERR_UNSIGNED },
	{ "\"version\":3", "\"version\":4", ERR_UNSIGNED },
	{ "\"signatures\":\\[.*?\\]", "\"signatures\":[]", ERR_UNSIGNED },
	{ "\"signatures\":\\[.*?\\]", "\"signatures\":7", ERR_UNSIGNED },
	{ "\"signatures\":\\[.*?\\],", "", ERR_UNSIGNED },
	{ "\"key\":\"[0-9a-f]+\"", "\"key\":\"0000\"", ERR_UNSIGNED },
	{ "\"signature\":\"..", "\"signature\":\"AA", ERR_UNSIGNED },
	{ "\"signature\":\"[^\"]*\"", "\"signature\":\"\"", ERR_UNSIGNED },
	{ "\"text\":", "\"txet\":", ERR_MALFORMED },
	{ "\"text\":", "\"text\":\"x\",\"text\":", ERR_MALFORMED },
	{ "^\\{", "[", ERR_MALFORMED },
};

START_TEST(rejects_modified_envelopes)
{
	g_autofree char *envelope = envelope_sign(0, NULL);
	g_autoptr(GRegex) regex = g_regex_new(changes[_i].pattern, 0, 0, NULL);
	g_autofree char *changed = g_regex_replace(
		regex, envelope, -1, 0, changes[_i].replacement, 0, NULL);

	ck_assert_int_eq(envelope_open(envelope, 1), ERR_NONE);
	ck_assert_str_ne(changed, envelope);
	ck_assert_int_eq(envelope_open(changed, 1), changes[_i].expected);
}
END_TEST

START_TEST(counts_signatures_of_different_keys)
{
	g_autofree char *one = envelope_sign(0, NULL);
	g_autofree char *same = envelope_sign(0, one);
	g_autofree char *both = envelope_sign(1, one);
	g_autofree char *untrusted = envelope_sign(2, one);
	g_autofree char *untrusted_only = envelope_sign(2, NULL);

	ck_assert_int_eq(envelope_open(untrusted_only, 1), ERR_UNSIGNED);
	ck_assert_int_eq(envelope_open(one, 2), ERR_UNSIGNED);
	ck_assert_int_eq(envelope_open(same, 2), ERR_UNSIGNED);
	ck_assert_int_eq(envelope_open(untrusted, 2), ERR_UNSIGNED);
	ck_assert_int_eq(envelope_open(untrusted, 1), ERR_NONE);
	ck_assert_int_eq(envelope_open(both, 2), ERR_NONE);
}
END_TEST

START_TEST(duplicate_key_counts_once)
{
	const char *const keys[] = { public_keys[0], public_keys[0], NULL };
	struct signing_trust_store *trust;

	ck_assert_int_eq(signing_trust_store_create(keys, 2, &trust, NULL),
			 ERR_INVALID);
	ck_assert_int_eq(signing_trust_store_create(keys, 1, &trust, NULL),
			 ERR_NONE);
	signing_trust_store_destroy(trust);
}
END_TEST

static void assert_error_names(GError **error, const char *path,
			       const char *found)
{
	ck_assert_ptr_nonnull(*error);
	ck_assert_msg(strstr((*error)->message, path) != NULL, "%s",
		      (*error)->message);
	ck_assert_msg(strstr((*error)->message, found) != NULL, "%s",
		      (*error)->message);
	g_clear_error(error);
}

/* A path that has no key file, as a public and as a private key. */
static void assert_key_refused(const char *path, enum err_kind expected,
			       const char *found)
{
	const char *const keys[] = { path, NULL };
	struct signing_trust_store *trust;
	g_autoptr(GError) error = NULL;
	char *out = NULL;

	ck_assert_int_eq(signing_trust_store_create(keys, 1, &trust, &error),
			 expected);
	assert_error_names(&error, path, found);
	ck_assert_int_eq(
		signing_envelope_sign(text, bundle, path, NULL, &out, &error),
		expected);
	assert_error_names(&error, path, found);
}

START_TEST(refuses_keys_that_are_no_small_regular_files)
{
	g_autofree char *directory = g_dir_make_tmp("signing-XXXXXX", NULL);
	g_autofree char *path = g_build_filename(directory, "key", NULL);
	g_autofree char *large = g_malloc0(FILE_READ_SETTINGS_MAX_BYTES + 1);

	ck_assert_int_eq(mkfifo(path, 0600), 0);
	assert_key_refused(path, ERR_IO, "a FIFO");
	assert_key_refused(directory, ERR_IO, "a directory");
	assert_key_refused("/dev/zero", ERR_IO, "a character device");
	ck_assert_int_eq(g_unlink(path), 0);
	ck_assert(g_file_set_contents(path, large,
				      FILE_READ_SETTINGS_MAX_BYTES + 1, NULL));
	assert_key_refused(path, ERR_TOO_LARGE, "more than 65536 bytes");
	g_unlink(path);
	g_rmdir(directory);
}
END_TEST

static void file_load(const char *path, struct file_content *out)
{
	out->path = path;
	out->text =
		file_read(path, FILE_READ_SETTINGS_MAX_BYTES, &out->len, NULL);
	ck_assert_ptr_nonnull(out->text);
}

START_TEST(reload_replaces_all_keys_or_none)
{
	const char *const keys[] = { public_keys[0], NULL };
	struct bundle_file_errors *errors = bundle_file_errors_create();
	g_autofree char *envelope = envelope_sign(0, NULL);
	struct file_content files[2] = { 0 };
	struct signing_trust_store *trust;
	struct bundle *opened = NULL;
	g_autoptr(GError) error = NULL;

	ck_assert_int_eq(signing_trust_store_create(keys, 1, &trust, NULL),
			 ERR_NONE);
	file_load(public_keys[1], &files[0]);
	file_load(private_keys[0], &files[1]);
	ck_assert_int_eq(signing_trust_store_reload(trust, files, 2, &error),
			 ERR_MALFORMED);
	assert_error_names(&error, private_keys[0], "no Ed25519 public key");
	ck_assert_int_eq(signing_envelope_open(envelope, strlen(envelope),
					       trust, errors, &opened),
			 ERR_NONE);
	bundle_unref(opened);
	ck_assert_int_eq(signing_trust_store_reload(trust, files, 1, &error),
			 ERR_NONE);
	ck_assert_int_eq(signing_envelope_open(envelope, strlen(envelope),
					       trust, errors, &opened),
			 ERR_UNSIGNED);
	file_content_clear(&files[0]);
	file_content_clear(&files[1]);
	signing_trust_store_destroy(trust);
	bundle_file_errors_destroy(errors);
}
END_TEST

START_TEST(reports_key_errors)
{
	const char *const none[] = { "/nonexistent", NULL };
	const char *const wrong[] = { private_keys[0], NULL };
	struct signing_trust_store *trust;
	g_autoptr(GError) error = NULL;
	char *out = NULL;
	GStatBuf info;

	ck_assert_int_eq(signing_trust_store_create(none, 1, &trust, &error),
			 ERR_IO);
	assert_error_names(&error, "/nonexistent", "No such file");
	ck_assert_int_eq(signing_trust_store_create(wrong, 1, &trust, &error),
			 ERR_MALFORMED);
	assert_error_names(&error, private_keys[0], "no Ed25519 public key");
	ck_assert_int_eq(signing_key_generate(private_keys[0], public_keys[0]),
			 ERR_EXISTS);
	ck_assert_int_eq(signing_envelope_sign(text, bundle, public_keys[0],
					       NULL, &out, &error),
			 ERR_MALFORMED);
	assert_error_names(&error, public_keys[0], "no Ed25519 private key");
	ck_assert_int_eq(signing_envelope_sign(text, bundle, private_keys[0],
					       "{\"digest\":\"0\"}", &out,
					       NULL),
			 ERR_MALFORMED);
	ck_assert_int_eq(
		signing_envelope_sign(text, bundle, private_keys[0],
				      "{\"digest\":\"0\",\"signatures\":[]}",
				      &out, NULL),
		ERR_CONFLICT);
	ck_assert_int_eq(g_stat(private_keys[0], &info), 0);
	ck_assert_int_eq(info.st_mode & 0777, 0600);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("signing");
	Suite *suite = suite_create("signing");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_loop_test(tcase, rejects_modified_envelopes, 0,
			    G_N_ELEMENTS(changes));
	tcase_add_test(tcase, counts_signatures_of_different_keys);
	tcase_add_test(tcase, duplicate_key_counts_once);
	tcase_add_test(tcase, reports_key_errors);
	tcase_add_test(tcase, refuses_keys_that_are_no_small_regular_files);
	tcase_add_test(tcase, reload_replaces_all_keys_or_none);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
