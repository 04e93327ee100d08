/**
 * @file signing.h
 * @brief Ed25519 sign-off of bundles and the envelope that carries it.
 *
 * Prefix: signing_. A signature covers the bundle's version and the SHA-256
 * digest of its text. The envelope is a JSON object with the text, the
 * digest and the signatures; docs/PROTOCOLS.md defines it.
 */
#ifndef SIGNING_H
#define SIGNING_H

#include <glib.h>

#include "bundle_file.h"
#include "bundle.h"
#include "err.h"

/** Public keys that a process trusts, opaque. */
struct signing_trust_store;

/**
 * @brief Creates a key pair as PEM files; the private one is mode 0600.
 * @return ERR_NONE, ERR_EXISTS when a file is there, ERR_IO
 */
enum err_kind signing_key_generate(const char *private_path,
				   const char *public_path);

/**
 * @brief Loads trusted public keys from PEM files.
 * @param paths NULL-terminated list of files
 * @param required signatures by different keys that a bundle needs
 * @param out filled on ERR_NONE; freed by signing_trust_store_destroy()
 * @return ERR_NONE, ERR_IO, ERR_MALFORMED, ERR_INVALID when fewer keys than
 *         required signatures are given
 */
enum err_kind signing_trust_store_create(const char *const *paths,
					 uint32_t required,
					 struct signing_trust_store **out);

/** @brief Frees the keys. @param trust may be NULL */
void signing_trust_store_destroy(struct signing_trust_store *trust);

/**
 * @brief Puts a bundle's text in an envelope and signs it.
 * @param text the bundle file's bytes, already checked by bundle_file_parse()
 * @param bundle the parsed bundle
 * @param key_path private key as PEM
 * @param previous an envelope of the same text to add a signature to, or NULL
 * @param out the envelope, freed by g_free()
 * @return ERR_NONE, ERR_IO, ERR_MALFORMED, ERR_CONFLICT when the previous
 *         envelope holds another text
 */
enum err_kind signing_envelope_sign(const char *text,
				    const struct bundle *bundle,
				    const char *key_path, const char *previous,
				    char **out);

/**
 * @brief Opens an envelope: checks digest and signatures, then parses.
 * @param envelope bytes from any source
 * @param len number of bytes
 * @param trust keys to check against; NULL skips the signatures
 * @param mistakes collects mistakes of the bundle's text
 * @param out filled on ERR_NONE; released by bundle_unref()
 * @return ERR_NONE, ERR_MALFORMED, ERR_UNSIGNED, ERR_INVALID, ERR_TOO_LARGE
 */
enum err_kind signing_envelope_open(const char *envelope, size_t len,
				    const struct signing_trust_store *trust,
				    struct bundle_file_errors *mistakes,
				    struct bundle **out);

#endif
