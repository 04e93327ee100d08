#include "signing.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <string.h>
#include <unistd.h>

#define SIGNING_KEY_BYTES 32
#define SIGNING_KEY_ID_CHARS 16
#define SIGNING_SIGNATURE_BYTES 64
#define SIGNING_MESSAGE_MAX_BYTES 160

G_DEFINE_AUTOPTR_CLEANUP_FUNC(EVP_PKEY, EVP_PKEY_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(EVP_MD_CTX, EVP_MD_CTX_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

struct signing_trust_store {
	GPtrArray *keys;
	uint32_t required;
};

static char *key_id(EVP_PKEY *key)
{
	unsigned char raw[SIGNING_KEY_BYTES];
	size_t len = sizeof(raw);
	char *id;

	if (EVP_PKEY_get_raw_public_key(key, raw, &len) != 1)
		return NULL;
	id = g_compute_checksum_for_data(G_CHECKSUM_SHA256, raw, len);
	id[SIGNING_KEY_ID_CHARS] = '\0';
	return id;
}

static FILE *file_create(const char *path, mode_t mode)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);

	return fd < 0 ? NULL : fdopen(fd, "w");
}

static enum err_kind key_write(EVP_PKEY *key, const char *path, bool is_private)
{
	FILE *file = file_create(path, is_private ? 0600 : 0644);
	int ok;

	if (!file)
		return errno == EEXIST ? ERR_EXISTS : ERR_IO;
	if (is_private)
		ok = PEM_write_PrivateKey(file, key, NULL, NULL, 0, NULL, NULL);
	else
		ok = PEM_write_PUBKEY(file, key);
	if (fclose(file) != 0)
		ok = 0;
	return ok ? ERR_NONE : ERR_IO;
}

enum err_kind signing_key_generate(const char *private_path,
				   const char *public_path)
{
	g_autoptr(EVP_PKEY) key = EVP_PKEY_Q_keygen(NULL, NULL, "ED25519");
	enum err_kind err;

	if (!key)
		return ERR_IO;
	err = key_write(key, private_path, true);
	if (err != ERR_NONE)
		return err;
	return key_write(key, public_path, false);
}

static enum err_kind key_fail(const char *path, bool is_private, GError **error)
{
	g_set_error(error, file_read_error_quark(), ERR_MALFORMED,
		    "%s: expected an Ed25519 %s key in PEM, found no Ed25519 "
		    "%s key",
		    path, is_private ? "private" : "public",
		    is_private ? "private" : "public");
	return ERR_MALFORMED;
}

static enum err_kind key_parse(const struct file_content *file, bool is_private,
			       EVP_PKEY **out, GError **error)
{
	BIO *pem = BIO_new_mem_buf(file->text, (int)file->len);

	if (is_private)
		*out = PEM_read_bio_PrivateKey(pem, NULL, NULL, NULL);
	else
		*out = PEM_read_bio_PUBKEY(pem, NULL, NULL, NULL);
	BIO_free(pem);
	if (!*out)
		return key_fail(file->path, is_private, error);
	if (EVP_PKEY_base_id(*out) != EVP_PKEY_ED25519) {
		EVP_PKEY_free(*out);
		*out = NULL;
		return key_fail(file->path, is_private, error);
	}
	return ERR_NONE;
}

static enum err_kind key_file_read(const char *path, struct file_content *out,
				   GError **error)
{
	GError *cause = NULL;
	enum err_kind err = ERR_NONE;

	out->path = path;
	out->text = file_read(path, FILE_READ_SETTINGS_MAX_BYTES, &out->len,
			      &cause);
	if (!out->text) {
		err = cause->code == ERR_TOO_LARGE ? ERR_TOO_LARGE : ERR_IO;
		g_propagate_error(error, cause);
	}
	return err;
}

static enum err_kind private_key_read(const char *path, EVP_PKEY **out,
				      GError **error)
{
	struct file_content file = { 0 };
	enum err_kind err = key_file_read(path, &file, error);

	if (err == ERR_NONE)
		err = key_parse(&file, true, out, error);
	if (file.text)
		OPENSSL_cleanse(file.text, file.len);
	file_content_clear(&file);
	return err;
}

static void key_free(gpointer key)
{
	EVP_PKEY_free(key);
}

static bool key_is_trusted(const struct signing_trust_store *trust,
			   const EVP_PKEY *key)
{
	for (guint i = 0; i < trust->keys->len; i++) {
		if (EVP_PKEY_eq(g_ptr_array_index(trust->keys, i), key) == 1)
			return true;
	}
	return false;
}

static enum err_kind keys_add(struct signing_trust_store *trust,
			      const struct file_content *files, size_t count,
			      GError **error)
{
	for (size_t i = 0; i < count; i++) {
		EVP_PKEY *key = NULL;
		enum err_kind err = key_parse(&files[i], false, &key, error);

		if (err != ERR_NONE)
			return err;
		/* A duplicate key would count the same signature twice. */
		if (key_is_trusted(trust, key))
			EVP_PKEY_free(key);
		else
			g_ptr_array_add(trust->keys, key);
	}
	if (trust->required > 0 && trust->keys->len >= trust->required)
		return ERR_NONE;
	g_set_error(error, file_read_error_quark(), ERR_INVALID,
		    "expected at least as many different keys as required "
		    "signatures, found %u keys and %u signatures",
		    trust->keys->len, trust->required);
	return ERR_INVALID;
}

static struct signing_trust_store *trust_store_new(uint32_t required)
{
	struct signing_trust_store *trust =
		g_new0(struct signing_trust_store, 1);

	trust->keys = g_ptr_array_new_with_free_func(key_free);
	trust->required = required;
	return trust;
}

enum err_kind signing_trust_store_create(const char *const *paths,
					 uint32_t required,
					 struct signing_trust_store **out,
					 GError **error)
{
	struct signing_trust_store *trust = trust_store_new(required);
	size_t count = g_strv_length((char **)paths);
	g_autofree struct file_content *files =
		g_new0(struct file_content, count);
	enum err_kind err = ERR_NONE;

	for (size_t i = 0; i < count && err == ERR_NONE; i++)
		err = key_file_read(paths[i], &files[i], error);
	if (err == ERR_NONE)
		err = keys_add(trust, files, count, error);
	for (size_t i = 0; i < count; i++)
		file_content_clear(&files[i]);
	if (err != ERR_NONE) {
		signing_trust_store_destroy(trust);
		return err;
	}
	*out = trust;
	return ERR_NONE;
}

enum err_kind signing_trust_store_reload(struct signing_trust_store *trust,
					 const struct file_content *files,
					 size_t count, GError **error)
{
	struct signing_trust_store *fresh = trust_store_new(trust->required);
	enum err_kind err = keys_add(fresh, files, count, error);
	GPtrArray *replaced = trust->keys;

	if (err == ERR_NONE) {
		trust->keys = fresh->keys;
		fresh->keys = replaced;
	}
	signing_trust_store_destroy(fresh);
	return err;
}

void signing_trust_store_destroy(struct signing_trust_store *trust)
{
	if (!trust)
		return;
	g_ptr_array_unref(trust->keys);
	g_free(trust);
}

/* The prefix prevents the reuse of signatures made for another purpose. */
static size_t message_build(uint64_t version, const char *digest,
			    char message[SIGNING_MESSAGE_MAX_BYTES])
{
	return (size_t)g_snprintf(message, SIGNING_MESSAGE_MAX_BYTES,
				  "sassafrascart bundle\n%" G_GUINT64_FORMAT
				  "\n%s\n",
				  version, digest);
}

static char *signature_create(EVP_PKEY *key, uint64_t version,
			      const char *digest)
{
	g_autoptr(EVP_MD_CTX) ctx = EVP_MD_CTX_new();
	char message[SIGNING_MESSAGE_MAX_BYTES];
	size_t message_len = message_build(version, digest, message);
	unsigned char bytes[SIGNING_SIGNATURE_BYTES];
	size_t len = sizeof(bytes);

	if (EVP_DigestSignInit(ctx, NULL, NULL, NULL, key) != 1 ||
	    EVP_DigestSign(ctx, bytes, &len, (unsigned char *)message,
			   message_len) != 1)
		return NULL;
	return g_base64_encode(bytes, len);
}

static bool signature_verify(EVP_PKEY *key, uint64_t version,
			     const char *digest, const char *signature)
{
	g_autoptr(EVP_MD_CTX) ctx = EVP_MD_CTX_new();
	char message[SIGNING_MESSAGE_MAX_BYTES];
	size_t message_len = message_build(version, digest, message);
	gsize len;
	g_autofree guchar *bytes = g_base64_decode(signature, &len);

	if (EVP_DigestVerifyInit(ctx, NULL, NULL, NULL, key) != 1)
		return false;
	return EVP_DigestVerify(ctx, bytes, len, (unsigned char *)message,
				message_len) == 1;
}

static json_t *envelope_create(const char *text, const struct bundle *bundle,
			       const char *previous)
{
	json_t *envelope;

	if (!previous)
		return json_pack("{s:I, s:s, s:[], s:s}", "version",
				 (json_int_t)bundle->version, "digest",
				 bundle->digest, "signatures", "text", text);
	envelope = json_loads(previous, 0, NULL);
	return envelope;
}

enum err_kind signing_envelope_sign(const char *text,
				    const struct bundle *bundle,
				    const char *key_path, const char *previous,
				    char **out, GError **error)
{
	g_autoptr(json_t) envelope = envelope_create(text, bundle, previous);
	g_autoptr(EVP_PKEY) key = NULL;
	g_autofree char *id = NULL;
	g_autofree char *signature = NULL;
	const char *digest;
	enum err_kind err;
	char *json;

	if (!envelope)
		return ERR_MALFORMED;
	digest = json_string_value(json_object_get(envelope, "digest"));
	if (!json_is_array(json_object_get(envelope, "signatures")))
		return ERR_MALFORMED;
	if (!digest || strcmp(digest, bundle->digest) != 0)
		return ERR_CONFLICT;
	err = private_key_read(key_path, &key, error);
	if (err != ERR_NONE)
		return err;
	id = key_id(key);
	signature = signature_create(key, bundle->version, bundle->digest);
	if (!id || !signature)
		return ERR_MALFORMED;
	json_array_append_new(
		json_object_get(envelope, "signatures"),
		json_pack("{s:s, s:s}", "key", id, "signature", signature));
	json = json_dumps(envelope, JSON_COMPACT | JSON_SORT_KEYS);
	*out = g_strdup(json);
	free(json);
	return ERR_NONE;
}

static bool has_valid_signature(EVP_PKEY *key, uint64_t version,
				const char *digest, const json_t *signatures)
{
	g_autofree char *id = key_id(key);
	size_t index;
	json_t *item;

	json_array_foreach((json_t *)signatures, index, item)
	{
		const char *signer_id =
			json_string_value(json_object_get(item, "key"));
		const char *signature =
			json_string_value(json_object_get(item, "signature"));

		if (id && signer_id && signature &&
		    strcmp(id, signer_id) == 0 &&
		    signature_verify(key, version, digest, signature))
			return true;
	}
	return false;
}

static enum err_kind signatures_check(const struct signing_trust_store *trust,
				      uint64_t version, const char *digest,
				      const json_t *signatures)
{
	uint32_t valid = 0;

	for (guint i = 0; i < trust->keys->len; i++) {
		if (has_valid_signature(g_ptr_array_index(trust->keys, i),
					version, digest, signatures))
			valid++;
	}
	return valid >= trust->required ? ERR_NONE : ERR_UNSIGNED;
}

enum err_kind signing_envelope_open(const char *envelope, size_t len,
				    const struct signing_trust_store *trust,
				    struct bundle_file_errors *errors,
				    struct bundle **out)
{
	g_autoptr(json_t) root =
		json_loadb(envelope, len, JSON_REJECT_DUPLICATES, NULL);
	g_autofree char *digest = NULL;
	const char *text;
	uint64_t version;
	size_t text_len;
	enum err_kind err;

	text = json_string_value(json_object_get(root, "text"));
	if (!text)
		return ERR_MALFORMED;
	text_len = strlen(text);
	version =
		(uint64_t)json_integer_value(json_object_get(root, "version"));
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
	if (trust) {
		err = signatures_check(trust, version, digest,
				       json_object_get(root, "signatures"));
		if (err != ERR_NONE)
			return err;
	}
	err = bundle_file_parse(text, text_len, errors, out);
	if (err != ERR_NONE)
		return err;
	if ((*out)->version == version)
		return ERR_NONE;
	bundle_unref(*out);
	*out = NULL;
	return ERR_INVALID;
}
