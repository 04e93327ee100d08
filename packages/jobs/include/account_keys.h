/**
 * @file account_keys.h
 * @brief Index of the keys by which callers prove their client account.
 *
 * Prefix: account_keys_. No I/O. Filled, sealed, and immutable from then on.
 */
#ifndef ACCOUNT_KEYS_H
#define ACCOUNT_KEYS_H

#include <glib.h>
#include <stdint.h>

/** An index of keys, opaque. */
struct account_keys;

/** Size of the buffer for a fingerprint. */
#define ACCOUNT_KEYS_FINGERPRINT_BYTES 9

/** @brief Creates an empty index, whose hashes have a seed that callers do not
 *  know: they could otherwise choose keys with equal hashes. */
struct account_keys *account_keys_create(void);

/** @brief Frees an index. @param keys may be NULL */
void account_keys_destroy(struct account_keys *keys);

/** @brief Adds a key of an account; copied. */
void account_keys_add(struct account_keys *keys, const char *key,
		      uint32_t account);

/** @brief Sorts the index; no key is added afterwards. */
void account_keys_seal(struct account_keys *keys);

/** @brief Returns the number of keys. */
uint32_t account_keys_count(const struct account_keys *keys);

/**
 * @brief Finds the account of a key.
 *
 * Takes the same time for all keys of one length whose hash is equal, so that
 * the time says nothing about how much of a guessed key is right.
 *
 * @return the account, -1 if the key is unknown
 */
int32_t account_keys_find(const struct account_keys *keys, const char *key);

/** @brief Writes the first digits of a key's SHA-256, by which logs name it. */
void account_keys_fingerprint(const char *key,
			      char out[ACCOUNT_KEYS_FINGERPRINT_BYTES]);

#endif
