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

static enum err_kind key_read(const char *path, bool is_private, EVP_PKEY **out)
{
	FILE *file = fopen(path, "re");

	if (!file)
		return ERR_IO;
	if (is_private)
		*out = PEM_read_PrivateKey(file, NULL, NULL, NULL);
	else
		*out = PEM_read_PUBKEY(file, NULL, NULL, NULL);
	fclose(file);
	if (!*out)
		return ERR_MALFORMED;
	if (EVP_PKEY_base_id(*out) != EVP_PKEY_ED25519) {
		EVP_PKEY_free(*out);
		*out = NULL;
		return ERR_MALFORMED;
	}
	return ERR_NONE;
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

enum err_kind signing_trust_store_create(const char *const *paths,
					 uint32_t required,
					 struct signing_trust_store **out)
{
	struct signing_trust_store *trust =
		g_new0(struct signing_trust_store, 1);
	enum err_kind err = ERR_NONE;

	trust->keys = g_ptr_array_new_with_free_func(key_free);
	trust->required = required;
	for (; *paths && err == ERR_NONE; paths++) {
		EVP_PKEY *key = NULL;

		err = key_read(*paths, false, &key);
		/* A duplicate key would count the same signature twice. */
		if (err == ERR_NONE && key_is_trusted(trust, key))
			EVP_PKEY_free(key);
		else if (err == ERR_NONE)
			g_ptr_array_add(trust->keys, key);
	}
	if (err == ERR_NONE && (required == 0 || trust->keys->len < required))
		err = ERR_INVALID;
	if (err != ERR_NONE) {
		signing_trust_store_destroy(trust);
		return err;
	}
	*out = trust;
	return ERR_NONE;
}

enum err_kind signing_trust_store_reload(struct signing_trust_store *trust,
					 const char *const *paths)
{
	struct signing_trust_store *fresh = NULL;
	enum err_kind err =
		signing_trust_store_create(paths, trust->required, &fresh);
	GPtrArray *replaced = trust->keys;

	if (err != ERR_NONE)
		return err;
	trust->keys = fresh->keys;
	fresh->keys = replaced;
	signing_trust_store_destroy(fresh);
	return ERR_NONE;
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
				    char **out)
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
	err = key_read(key_path, true, &key);
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
