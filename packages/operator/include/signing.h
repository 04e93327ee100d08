/**
 * @file signing.h
 * @brief Ed25519 signatures of bundles and the envelope that carries them.
 *
 * Prefix: signing_. A signature covers the bundle's version and the SHA-256
 * digest of its text. The envelope is a JSON object with the text, the digest
 * and the signatures; docs/PROTOCOLS.md defines its format.
 */
#ifndef SIGNING_H
#define SIGNING_H

#include <glib.h>

#include "bundle_file.h"
#include "bundle.h"
#include "err.h"
#include "file_read.h"

/** Largest size of an envelope in bytes: a bundle's text, in which JSON escapes
 *  line ends, quotes and backslashes, and the signatures. */
#define SIGNING_ENVELOPE_MAX_BYTES                                             \
	(2 * BUNDLE_FILE_TEXT_MAX_BYTES + 64u * 1024u)

/** Trusted public keys and the number of signatures required, opaque. */
struct signing_trust_store;

/**
 * @brief Generates a key pair as PEM files; the private key has mode 0600.
 * @return ERR_NONE, ERR_EXISTS if one of the files exists, ERR_IO
 */
enum err_kind signing_key_generate(const char *private_path,
				   const char *public_path);

/**
 * @brief Loads trusted public keys from PEM files, regular ones of at most
 * FILE_READ_SETTINGS_MAX_BYTES.
 * @param paths NULL-terminated list of files
 * @param required number of signatures by different keys that a bundle needs
 * @param out set on ERR_NONE; free with signing_trust_store_destroy()
 * @param error set on failure; names the file and what was found; may be NULL
 * @return ERR_NONE, ERR_IO, ERR_TOO_LARGE, ERR_MALFORMED, ERR_INVALID if
 *         required is 0 or larger than the number of different keys
 */
enum err_kind signing_trust_store_create(const char *const *paths,
					 uint32_t required,
					 struct signing_trust_store **out,
					 GError **error);

/**
 * @brief Replaces the keys of a trust store.
 * @param trust keeps its keys unless the result is ERR_NONE
 * @param files PEM files, read without an error
 * @param count number of files
 * @param error set on failure, as by signing_trust_store_create()
 * @return ERR_NONE, ERR_MALFORMED, ERR_INVALID
 */
enum err_kind signing_trust_store_reload(struct signing_trust_store *trust,
					 const struct file_content *files,
					 size_t count, GError **error);

/** @brief Frees the trust store and its keys. @param trust may be NULL */
void signing_trust_store_destroy(struct signing_trust_store *trust);

/**
 * @brief Creates an envelope for a bundle, or adds a signature to one.
 * @param text contents of the bundle file, validated by bundle_file_parse()
 * @param bundle the parsed bundle
 * @param key_path PEM file of the private key
 * @param previous envelope of the same text to add the signature to, or NULL
 * @param out set to the envelope on ERR_NONE; free with g_free()
 * @param error set if the private key is at fault; names its file and what was
 *        found; may be NULL
 * @return ERR_NONE, ERR_IO, ERR_TOO_LARGE, ERR_MALFORMED, ERR_CONFLICT if the
 *         previous envelope contains a different text
 */
enum err_kind signing_envelope_sign(const char *text,
				    const struct bundle *bundle,
				    const char *key_path, const char *previous,
				    char **out, GError **error);

/**
 * @brief Verifies the signatures of an envelope, then parses its bundle.
 * @param envelope contents of the envelope, may be untrusted
 * @param len size of envelope in bytes
 * @param trust keys to verify with; NULL skips the verification
 * @param errors receives the errors found in the bundle's text
 * @param out set on ERR_NONE; release with bundle_unref()
 * @return ERR_NONE, ERR_MALFORMED, ERR_UNSIGNED, ERR_INVALID, ERR_TOO_LARGE
 */
enum err_kind signing_envelope_open(const char *envelope, size_t len,
				    const struct signing_trust_store *trust,
				    struct bundle_file_errors *errors,
				    struct bundle **out);

#endif
