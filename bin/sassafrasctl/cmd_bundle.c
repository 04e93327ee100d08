#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bundle_file.h"
#include "cli.h"
#include "file_read.h"

#define BUNDLE_KEY_MAX_BYTES 96

int cmd_keygen(struct cli_context *ctx, char **arguments)
{
	g_autofree char *private_path =
		g_strconcat(arguments[0], ".private.pem", NULL);
	g_autofree char *public_path =
		g_strconcat(arguments[0], ".public.pem", NULL);
	enum err_kind err = signing_key_generate(private_path, public_path);

	if (err != ERR_NONE)
		return cli_report(ctx, err, NULL, "cannot write %s and %s",
				  private_path, public_path);
	return cli_report(ctx, err, NULL, "wrote %s and %s", private_path,
			  public_path);
}

/* Reads a file; prints the error of one that cannot be read. */
static enum err_kind text_read(const char *path, size_t max_bytes, char **text,
			       gsize *len)
{
	g_autoptr(GError) error = NULL;

	*text = file_read(path, max_bytes, len, &error);
	if (*text)
		return ERR_NONE;
	fprintf(stderr, "%s\n", error->message);
	return error->code == ERR_TOO_LARGE ? ERR_TOO_LARGE : ERR_IO;
}

static void errors_print(const char *path,
			 const struct bundle_file_errors *errors)
{
	for (uint32_t i = 0; i < bundle_file_errors_count(errors); i++) {
		const struct bundle_file_error *error =
			bundle_file_errors_get(errors, i);

		fprintf(stderr, "%s:%u: %s: %s\n", path, error->line,
			error->field, error->message);
	}
}

/* Reads and validates a bundle file; prints its errors. */
static enum err_kind bundle_load(const char *path, char **text,
				 struct bundle **bundle)
{
	struct bundle_file_errors *errors;
	enum err_kind err;
	gsize len;

	err = text_read(path, BUNDLE_FILE_TEXT_MAX_BYTES, text, &len);
	if (err != ERR_NONE)
		return err;
	errors = bundle_file_errors_create();
	err = bundle_file_parse(*text, len, errors, bundle);
	errors_print(path, errors);
	bundle_file_errors_destroy(errors);
	return err;
}

int cmd_bundle_check(struct cli_context *ctx, char **arguments)
{
	g_autofree char *text = NULL;
	struct bundle *bundle = NULL;
	enum err_kind err = bundle_load(arguments[0], &text, &bundle);
	int status;

	if (err != ERR_NONE)
		return cli_report(ctx, err, NULL, "%s is not a valid bundle",
				  arguments[0]);
	status = cli_report(ctx, err, NULL,
			    "%s is valid: version %" PRIu64
			    ", %u pools, %u VMs, digest %s",
			    arguments[0], bundle->version, bundle->pool_count,
			    bundle->vm_count, bundle->digest);
	bundle_unref(bundle);
	return status;
}

/* Reads an envelope that further signatures are added to; sets it to NULL if
 * there is none yet. */
static enum err_kind previous_read(const char *path, char **envelope)
{
	g_autoptr(GError) error = NULL;

	*envelope = file_read(path, SIGNING_ENVELOPE_MAX_BYTES, NULL, &error);
	if (*envelope || error->code == ERR_NOT_FOUND)
		return ERR_NONE;
	fprintf(stderr, "%s\n", error->message);
	return error->code == ERR_TOO_LARGE ? ERR_TOO_LARGE : ERR_IO;
}

static enum err_kind envelope_write(const char *path, const char *envelope)
{
	return g_file_set_contents(path, envelope, -1, NULL) ? ERR_NONE
							     : ERR_IO;
}

int cmd_bundle_sign(struct cli_context *ctx, char **arguments)
{
	const struct cli_settings *settings = cli_context_settings(ctx);
	g_autofree char *text = NULL;
	g_autofree char *previous = NULL;
	g_autofree char *envelope = NULL;
	g_autoptr(GError) error = NULL;
	struct bundle *bundle = NULL;
	enum err_kind err;

	if (settings->key[0] == '\0' || settings->out[0] == '\0')
		return cli_report(ctx, ERR_USAGE, NULL,
				  "expected --key FILE and --out FILE");
	err = bundle_load(arguments[0], &text, &bundle);
	if (err != ERR_NONE)
		return cli_report(ctx, err, NULL, "%s is not a valid bundle",
				  arguments[0]);
	err = previous_read(settings->out, &previous);
	if (err == ERR_NONE)
		err = signing_envelope_sign(text, bundle, settings->key,
					    previous, &envelope, &error);
	if (error)
		fprintf(stderr, "%s\n", error->message);
	bundle_unref(bundle);
	if (err == ERR_NONE)
		err = envelope_write(settings->out, envelope);
	if (err != ERR_NONE)
		return cli_report(ctx, err, NULL, "cannot sign %s with %s",
				  arguments[0], settings->key);
	return cli_report(ctx, err, NULL, "signed %s into %s", arguments[0],
			  settings->out);
}

/* Opens a signed bundle and verifies it with the configured trusted keys. */
static enum err_kind signed_bundle_load(struct cli_context *ctx,
					const char *path, char **envelope,
					struct bundle **bundle)
{
	struct bundle_file_errors *errors = bundle_file_errors_create();
	struct signing_trust_store *trust = NULL;
	gsize len;
	enum err_kind err = cli_trust_load(ctx, &trust);

	if (err == ERR_NONE)
		err = text_read(path, SIGNING_ENVELOPE_MAX_BYTES, envelope,
				&len);
	if (err == ERR_NONE)
		err = signing_envelope_open(*envelope, len, trust, errors,
					    bundle);
	errors_print(path, errors);
	bundle_file_errors_destroy(errors);
	signing_trust_store_destroy(trust);
	return err;
}

/*
 * Reads the version back. Called when the transaction failed or its response
 * was lost, which leaves unknown whether the version was created.
 */
static enum err_kind published_compare(struct cli_context *ctx, const char *key,
				       const char *envelope)
{
	struct cli_result result;
	enum err_kind err = cli_range(ctx, key, false, &result);

	if (err == ERR_NONE) {
		if (result.kvs->len == 0)
			err = ERR_UNKNOWN_EFFECT;
		else if (strcmp(g_array_index(result.kvs, struct cli_kv, 0)
					.value,
				envelope) != 0)
			err = ERR_EXISTS;
	} else {
		err = ERR_UNKNOWN_EFFECT;
	}
	cli_result_clear(&result);
	return err;
}

static enum err_kind envelope_publish(struct cli_context *ctx, uint64_t version,
				      const char *envelope)
{
	char key[BUNDLE_KEY_MAX_BYTES];
	const struct platform_compare compare = {
		key, PLATFORM_TARGET_CREATE_REVISION, 0
	};
	const struct platform_write write = { key, envelope, 0 };
	const struct platform_txn txn = { &compare, 1, &write, 1 };
	struct cli_result result;
	enum err_kind err;
	bool created;

	g_snprintf(key, sizeof(key), PLATFORM_PREFIX_BUNDLE "%" PRIu64,
		   version);
	err = cli_txn(ctx, &txn, &result);
	created = err == ERR_NONE && result.succeeded;
	cli_result_clear(&result);
	if (created || cli_err_is_unsent(err))
		return err;
	return published_compare(ctx, key, envelope);
}

int cmd_bundle_publish(struct cli_context *ctx, char **arguments)
{
	g_autofree char *envelope = NULL;
	struct bundle *bundle = NULL;
	enum err_kind err =
		signed_bundle_load(ctx, arguments[0], &envelope, &bundle);
	uint64_t version;

	if (err != ERR_NONE)
		return cli_report(ctx, err, NULL,
				  "%s is not a valid bundle with enough "
				  "trusted signatures",
				  arguments[0]);
	version = bundle->version;
	bundle_unref(bundle);
	err = envelope_publish(ctx, version, envelope);
	if (err == ERR_EXISTS)
		return cli_report(ctx, err, NULL,
				  "version %" PRIu64
				  " was published before with other content",
				  version);
	if (err != ERR_NONE)
		return cli_report(ctx, err,
				  json_pack("{s:s}", "find_out",
					    "repeat this command; publishing "
					    "the same file again is harmless"),
				  "publishing version %" PRIu64, version);
	return cli_report(ctx, err, NULL, "published version %" PRIu64,
			  version);
}
