#include "rec.h"

#include <inttypes.h>

void rec_key_build(char key[REC_KEY_MAX_BYTES], uint64_t roll)
{
	g_snprintf(key, REC_KEY_MAX_BYTES, PLT_PREFIX_ROLL "%" PRIu64, roll);
}

enum err_kind rec_read(struct dsk_desk *desk, uint64_t roll,
		       struct plv_head *out)
{
	char key[REC_KEY_MAX_BYTES];
	struct dsk_result result;
	enum err_kind err;

	rec_key_build(key, roll);
	err = dsk_range(desk, key, false, &result);
	if (err == ERR_NONE && result.kvs->len == 0)
		err = ERR_NOT_FOUND;
	if (err == ERR_NONE) {
		const struct dsk_kv *kv =
			&g_array_index(result.kvs, struct dsk_kv, 0);

		err = plv_head_parse(kv->value, kv->value_len, out);
	}
	dsk_result_clear(&result);
	return err;
}
