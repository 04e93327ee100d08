#include <string.h>

#include "emu_private.h"

/* Limits of a transaction and of a key. */
#define EMU_TXN_ENTRIES_MAX 32
#define EMU_KEY_BYTES_MAX 200

static bool text_is_refused(const struct emu *emu, const char *text)
{
	return emu->refused && text && strstr(text, emu->refused);
}

static bool write_is_within_limits(const struct emu *emu,
				   const struct platform_write *write)
{
	return strlen(write->key) <= EMU_KEY_BYTES_MAX &&
	       (!write->value || strlen(write->value) <= emu->value_bytes) &&
	       !text_is_refused(emu, write->key) &&
	       !text_is_refused(emu, write->value);
}

enum err_kind emu_store_check(struct emu *emu, const GArray *compares,
			      const GArray *writes)
{
	bool valid = compares->len + writes->len <= EMU_TXN_ENTRIES_MAX;

	for (guint i = 0; i < writes->len; i++)
		valid &= write_is_within_limits(
			emu, &g_array_index(writes, struct platform_write, i));
	if (emu->refused_permille > 0 && writes->len > 1)
		valid &= emu_random(emu, 1000) >= emu->refused_permille;
	emu->refusals += !valid;
	if (!valid)
		return ERR_INVALID;
	for (guint i = 0; i < writes->len; i++) {
		int64_t lease =
			g_array_index(writes, struct platform_write, i).lease;

		if (lease != 0 && !g_hash_table_contains(emu->leases, &lease))
			return ERR_NOT_FOUND;
	}
	return ERR_NONE;
}

void emu_store_set_value_bytes(struct emu *emu, uint32_t bytes)
{
	emu->value_bytes = bytes;
}

void emu_store_set_refused(struct emu *emu, const char *text)
{
	emu->refused = text;
}

void emu_store_set_refused_permille(struct emu *emu, uint32_t permille)
{
	emu->refused_permille = permille;
}

uint32_t emu_store_refusals(const struct emu *emu)
{
	return emu->refusals;
}
