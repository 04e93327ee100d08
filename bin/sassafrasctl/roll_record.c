#include "roll_record.h"

#include <inttypes.h>
#include <string.h>

void roll_record_key_build(char key[ROLL_RECORD_KEY_MAX_BYTES], uint64_t roll)
{
	g_snprintf(key, ROLL_RECORD_KEY_MAX_BYTES,
		   PLATFORM_PREFIX_ROLL "%" PRIu64, roll);
}

/* Reads the value of a head from a key. */
static enum err_kind value_read(struct cli_context *desk, const char *key,
				struct stored_head *out, int64_t *revision)
{
	struct cli_result result;
	enum err_kind err = cli_range(desk, key, false, &result);

	if (err == ERR_NONE && result.kvs->len == 0)
		err = ERR_NOT_FOUND;
	if (err == ERR_NONE) {
		const struct cli_kv *kv =
			&g_array_index(result.kvs, struct cli_kv, 0);

		*revision = kv->mod_revision;
		err = stored_head_parse(kv->value, kv->value_len, out);
	}
	cli_result_clear(&result);
	return err;
}

enum err_kind roll_record_read(struct cli_context *desk, uint64_t roll,
			       struct stored_head *out)
{
	char key[ROLL_RECORD_KEY_MAX_BYTES];
	int64_t revision;

	roll_record_key_build(key, roll);
	return value_read(desk, key, out, &revision);
}

enum err_kind roll_head_read(struct cli_context *desk, struct stored_head *out,
			     int64_t *revision)
{
	enum err_kind err;

	memset(out, 0, sizeof(*out));
	*revision = 0;
	err = value_read(desk, PLATFORM_KEY_HEAD, out, revision);
	return err == ERR_NOT_FOUND ? ERR_NONE : err;
}
