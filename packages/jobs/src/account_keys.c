#include "account_keys.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <string.h>
#include <xxhash.h>

#include "log.h"

struct key_row {
	uint64_t hash;
	char *key;
	uint32_t account;
};

struct account_keys {
	uint64_t seed;
	/* of struct key_row, sorted by hash once sealed */
	GArray *rows;
};

static void row_clear(gpointer data)
{
	struct key_row *row = data;

	g_free(row->key);
}

struct account_keys *account_keys_create(void)
{
	struct account_keys *keys = g_new0(struct account_keys, 1);

	/* Without random bytes the seed is 0 and look-ups may be slower, but
	 * not wrong. */
	if (RAND_bytes((unsigned char *)&keys->seed, sizeof(keys->seed)) != 1)
		log_warning("account-keys-seed",
			    "no random seed for the index of keys");
	keys->rows = g_array_new(FALSE, FALSE, sizeof(struct key_row));
	g_array_set_clear_func(keys->rows, row_clear);
	return keys;
}

void account_keys_destroy(struct account_keys *keys)
{
	if (!keys)
		return;
	g_array_unref(keys->rows);
	g_free(keys);
}

static uint64_t key_hash(const struct account_keys *keys, const char *key)
{
	return XXH3_64bits_withSeed(key, strlen(key), keys->seed);
}

void account_keys_add(struct account_keys *keys, const char *key,
		      uint32_t account)
{
	struct key_row row = {
		.hash = key_hash(keys, key),
		.key = g_strdup(key),
		.account = account,
	};

	g_array_append_val(keys->rows, row);
}

static gint row_compare(gconstpointer a, gconstpointer b)
{
	const struct key_row *left = a;
	const struct key_row *right = b;

	if (left->hash == right->hash)
		return 0;
	return left->hash < right->hash ? -1 : 1;
}

void account_keys_seal(struct account_keys *keys)
{
	g_array_sort(keys->rows, row_compare);
}

uint32_t account_keys_count(const struct account_keys *keys)
{
	return keys->rows->len;
}

static guint first_row(const struct account_keys *keys, uint64_t hash)
{
	guint low = 0;
	guint high = keys->rows->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (g_array_index(keys->rows, struct key_row, middle).hash <
		    hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

int32_t account_keys_find(const struct account_keys *keys, const char *key)
{
	uint64_t hash = key_hash(keys, key);
	size_t len = strlen(key);

	for (guint i = first_row(keys, hash); i < keys->rows->len; i++) {
		const struct key_row *row =
			&g_array_index(keys->rows, struct key_row, i);

		if (row->hash != hash)
			break;
		if (strlen(row->key) == len &&
		    CRYPTO_memcmp(row->key, key, len) == 0)
			return (int32_t)row->account;
	}
	return -1;
}

void account_keys_fingerprint(const char *key,
			      char out[ACCOUNT_KEYS_FINGERPRINT_BYTES])
{
	g_autofree char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

	g_strlcpy(out, digest, ACCOUNT_KEYS_FINGERPRINT_BYTES);
}
