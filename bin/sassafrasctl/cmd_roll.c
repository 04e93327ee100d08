#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "dsk.h"
#include "plv.h"
#include "wtc.h"

#define ROLL_KEY_MAX_BYTES 96
#define ROLL_ATTEMPTS_MAX 5
#define ROLL_PAUSE_MS 200

/* One roll from its check to its end. */
struct roll {
	struct dsk_desk *desk;
	/* the head before this roll; roll 0 when nothing was rolled */
	struct plv_head before;
	int64_t before_revision;
	struct plv_head wanted;
};

static uint64_t wall_ms(void)
{
	return (uint64_t)(g_get_real_time() / 1000);
}

static void writer_fill(struct plv_head *head)
{
	g_snprintf(head->writer, sizeof(head->writer), "%.20s-%d-%08x",
		   g_get_host_name(), (int)getpid(), g_random_int());
}

static enum err_kind version_parse(const char *text, uint64_t *out)
{
	return g_ascii_string_to_unsigned(text, 10, 1, INT64_MAX, out, NULL)
		       ? ERR_NONE
		       : ERR_USAGE;
}

/* Checks that the version is published and signed; fills the digest. */
static enum err_kind bundle_verify(struct dsk_desk *desk, uint64_t version,
				   char digest[HED_DIGEST_BYTES])
{
	struct bfl_mistakes *mistakes = bfl_mistakes_create();
	struct sgn_trust *trust = NULL;
	struct bnd_bundle *bundle = NULL;
	struct dsk_result result = { 0 };
	char key[ROLL_KEY_MAX_BYTES];
	enum err_kind err = dsk_trust_load(desk, &trust);

	g_snprintf(key, sizeof(key), PLT_PREFIX_BUNDLE "%" PRIu64, version);
	if (err == ERR_NONE)
		err = dsk_range(desk, key, false, &result);
	if (err == ERR_NONE && result.kvs->len == 0)
		err = ERR_NOT_FOUND;
	if (err == ERR_NONE) {
		const struct dsk_kv *kv =
			&g_array_index(result.kvs, struct dsk_kv, 0);

		err = sgn_envelope_open(kv->value, kv->value_len, trust,
					mistakes, &bundle);
	}
	if (err == ERR_NONE)
		g_strlcpy(digest, bundle->digest, HED_DIGEST_BYTES);
	bnd_bundle_unref(bundle);
	dsk_result_clear(&result);
	sgn_trust_destroy(trust);
	bfl_mistakes_destroy(mistakes);
	return err;
}

static enum err_kind head_read(struct dsk_desk *desk, struct plv_head *head,
			       int64_t *revision)
{
	struct dsk_result result;
	enum err_kind err = dsk_range(desk, PLT_KEY_HEAD, false, &result);

	memset(head, 0, sizeof(*head));
	*revision = 0;
	if (err == ERR_NONE && result.kvs->len > 0) {
		const struct dsk_kv *kv =
			&g_array_index(result.kvs, struct dsk_kv, 0);

		*revision = kv->mod_revision;
		err = plv_head_parse(kv->value, kv->value_len, head);
	}
	dsk_result_clear(&result);
	return err;
}

static bool head_is_ours(const struct plv_head *head,
			 const struct plv_head *wanted)
{
	return head->roll == wanted->roll &&
	       strcmp(head->writer, wanted->writer) == 0;
}

/* Finds out what became of a write whose answer was lost or refused. */
static enum err_kind write_resolve(struct roll *roll, struct plv_head *winner)
{
	int64_t revision;
	enum err_kind err = head_read(roll->desk, winner, &revision);

	if (err != ERR_NONE)
		return ERR_UNKNOWN_EFFECT;
	if (head_is_ours(winner, &roll->wanted))
		return ERR_NONE;
	if (winner->roll >= roll->wanted.roll)
		return ERR_CONFLICT;
	return ERR_TIMEOUT;
}

static enum err_kind head_write(struct roll *roll, struct plv_head *winner)
{
	g_autofree char *text = NULL;
	const struct plt_compare compare = { PLT_KEY_HEAD,
					     PLT_TARGET_MOD_REVISION,
					     roll->before_revision };
	struct plt_write write = { PLT_KEY_HEAD, NULL, 0 };
	const struct plt_txn txn = { &compare, 1, &write, 1 };
	struct dsk_result result;
	enum err_kind err;
	bool written;

	roll->wanted.attempt++;
	text = plv_head_build(&roll->wanted);
	write.value = text;
	err = dsk_txn(roll->desk, &txn, &result);
	written = err == ERR_NONE && result.succeeded;
	dsk_result_clear(&result);
	if (written)
		return ERR_NONE;
	return write_resolve(roll, winner);
}

/* Repeats the same compare-and-swap until its effect is known. */
static enum err_kind head_write_until_known(struct roll *roll,
					    struct plv_head *winner)
{
	enum err_kind err = ERR_UNKNOWN_EFFECT;

	for (int i = 0; i < ROLL_ATTEMPTS_MAX; i++) {
		err = head_write(roll, winner);
		if (err != ERR_UNKNOWN_EFFECT && err != ERR_TIMEOUT)
			return err;
		dsk_sleep_ms(roll->desk, ROLL_PAUSE_MS);
	}
	return ERR_UNKNOWN_EFFECT;
}

static json_t *roll_details(const struct plv_head *head)
{
	return json_pack("{s:I, s:I, s:s}", "roll", (json_int_t)head->roll,
			 "version", (json_int_t)head->version, "digest",
			 head->digest);
}

static int roll_wait(struct roll *roll)
{
	struct dsk_desk *desk = roll->desk;
	struct wtc_progress progress;
	uint64_t began_ms = roll->wanted.at_ms;
	json_t *details = roll_details(&roll->wanted);
	enum err_kind err;

	err = wtc_roll_wait(desk, roll->wanted.roll,
			    dsk_desk_settings(desk)->wait_ms, &progress);
	json_object_update_new(details,
			       json_pack("{s:i, s:i, s:I}", "processes",
					 (int)progress.members, "in_force",
					 (int)progress.in_force, "took_ms",
					 (json_int_t)(wall_ms() - began_ms)));
	if (err != ERR_NONE)
		return dsk_report(
			desk, err, details,
			"roll %" PRIu64 " is accepted; it is in force in %u "
			"of %u processes so far",
			roll->wanted.roll, progress.in_force, progress.members);
	return dsk_report(desk, ERR_NONE, details,
			  "roll %" PRIu64 " put version %" PRIu64
			  " in force in %u processes in %" PRIu64 " ms",
			  roll->wanted.roll, roll->wanted.version,
			  progress.members, wall_ms() - began_ms);
}

static int roll_run(struct roll *roll)
{
	struct dsk_desk *desk = roll->desk;
	struct plv_head winner;
	enum err_kind err;

	roll->wanted.roll = roll->before.roll + 1;
	roll->wanted.at_ms = wall_ms();
	writer_fill(&roll->wanted);
	err = head_write_until_known(roll, &winner);
	if (err == ERR_CONFLICT)
		return dsk_report(desk, err, roll_details(&winner),
				  "another operator (%s) was first: roll "
				  "%" PRIu64 " put version %" PRIu64
				  " in force",
				  winner.writer, winner.roll, winner.version);
	if (err != ERR_NONE)
		return dsk_report(desk, err, roll_details(&roll->wanted),
				  "roll %" PRIu64 " of version %" PRIu64,
				  roll->wanted.roll, roll->wanted.version);
	return roll_wait(roll);
}

static int roll_version(struct dsk_desk *desk, const char *text, bool back)
{
	struct roll roll = { .desk = desk };
	enum err_kind err = version_parse(text, &roll.wanted.version);

	if (err != ERR_NONE)
		return dsk_report(desk, err, NULL,
				  "expected a version number, found '%s'",
				  text);
	err = bundle_verify(desk, roll.wanted.version, roll.wanted.digest);
	if (err != ERR_NONE)
		return dsk_report(desk, err, NULL,
				  "version %s is not published and signed",
				  text);
	err = head_read(desk, &roll.before, &roll.before_revision);
	if (err != ERR_NONE)
		return dsk_report(desk, err, NULL, "cannot read the head");
	if (back && roll.wanted.version >= roll.before.version)
		return dsk_report(desk, ERR_INVALID, NULL,
				  "version %s is not older than version "
				  "%" PRIu64 ", which is in force",
				  text, roll.before.version);
	return roll_run(&roll);
}

int cmd_roll(struct dsk_desk *desk, char **arguments)
{
	return roll_version(desk, arguments[0], false);
}

int cmd_rollback(struct dsk_desk *desk, char **arguments)
{
	return roll_version(desk, arguments[0], true);
}
