#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "announcer.h"
#include "cli.h"
#include "stored_value.h"
#include "roll_record.h"
#include "rollout.h"

#define ROLL_KEY_MAX_BYTES 96
#define ROLL_ATTEMPTS_MAX 3
#define ROLL_RETRY_DELAY_MS 200
/* Number of roll records kept at the platform; older ones are deleted. */
#define ROLL_RECORDS_MAX 1000

/* State of the command from verification to the end of the rollout. */
struct roll {
	struct cli_context *ctx;
	/* head that this roll replaces; its roll is 0 before the first one */
	struct stored_head before;
	int64_t before_revision;
	struct stored_head wanted;
	/* a write was sent, and whether it took effect is unknown */
	bool maybe_written;
	/* members known before the write, see rollout_wait() */
	GArray *members;
	/* signed bundle, served to peers by the announcer */
	char *envelope;
};

static uint64_t wall_ms(void)
{
	return (uint64_t)(g_get_real_time() / 1000);
}

static void writer_fill(struct stored_head *head)
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

/*
 * Maps the error of a read to one that reports "not done": no write has been
 * sent at this point, so the effect of the command is certain.
 */
static enum err_kind read_err_convert(enum err_kind err)
{
	return err_effect(err) == ERR_EFFECT_UNKNOWN ? ERR_NOT_READ : err;
}

/* Checks that the version is published and signed; sets wanted.digest. */
static enum err_kind bundle_verify(struct roll *roll)
{
	struct cli_context *ctx = roll->ctx;
	struct bundle_file_errors *errors = bundle_file_errors_create();
	struct signing_trust_store *trust = NULL;
	struct bundle *bundle = NULL;
	struct cli_result result = { 0 };
	char key[ROLL_KEY_MAX_BYTES];
	enum err_kind err = cli_trust_load(ctx, &trust);

	g_snprintf(key, sizeof(key), PLATFORM_PREFIX_BUNDLE "%" PRIu64,
		   roll->wanted.version);
	if (err == ERR_NONE)
		err = cli_range(ctx, key, false, &result);
	if (err == ERR_NONE && result.kvs->len == 0)
		err = ERR_NOT_FOUND;
	if (err == ERR_NONE) {
		const struct cli_kv *kv =
			&g_array_index(result.kvs, struct cli_kv, 0);

		err = signing_envelope_open(kv->value, kv->value_len, trust,
					    errors, &bundle);
		roll->envelope = g_strdup(kv->value);
	}
	if (err == ERR_NONE && bundle->version != roll->wanted.version)
		err = ERR_MALFORMED;
	if (err == ERR_NONE)
		g_strlcpy(roll->wanted.digest, bundle->digest,
			  HEAD_DIGEST_BYTES);
	bundle_unref(bundle);
	cli_result_clear(&result);
	signing_trust_store_destroy(trust);
	bundle_file_errors_destroy(errors);
	return err;
}

/*
 * Reads the head that another operator wrote first. As it replaced the head
 * that this roll builds on, the compare-and-swap of this roll can only fail.
 */
static enum err_kind conflict_read(struct roll *roll,
				   struct stored_head *winner)
{
	int64_t revision;

	return roll_head_read(roll->ctx, winner, &revision) == ERR_NONE
		       ? ERR_CONFLICT
		       : ERR_UNKNOWN_EFFECT;
}

/*
 * Determines the effect of a write that was refused or whose response was lost.
 * A write is refused if the head has changed since this command read the head.
 */
static enum err_kind write_resolve(struct roll *roll, bool refused,
				   struct stored_head *winner)
{
	enum err_kind err =
		roll_record_read(roll->ctx, roll->wanted.roll, winner);

	if (err == ERR_NOT_FOUND)
		return refused ? conflict_read(roll, winner) : ERR_TIMEOUT;
	if (err != ERR_NONE)
		return ERR_UNKNOWN_EFFECT;
	return strcmp(winner->writer, roll->wanted.writer) == 0 ? ERR_NONE
								: ERR_CONFLICT;
}

/*
 * Writes the head and the record of the roll and deletes the oldest record, in
 * one transaction.
 */
static enum err_kind head_write(struct roll *roll, struct stored_head *winner)
{
	char record[ROLL_RECORD_KEY_MAX_BYTES];
	char old[ROLL_RECORD_KEY_MAX_BYTES];
	g_autofree char *text = NULL;
	const struct platform_compare compare = { PLATFORM_KEY_HEAD,
						  PLATFORM_TARGET_MOD_REVISION,
						  roll->before_revision };
	struct platform_write writes[] = { { PLATFORM_KEY_HEAD, NULL, 0 },
					   { record, NULL, 0 },
					   { old, NULL, 0 } };
	struct platform_txn txn = { &compare, 1, writes, 2 };
	struct cli_result result;
	enum err_kind err;
	bool written;

	roll->wanted.attempt++;
	text = stored_head_build(&roll->wanted);
	writes[0].value = text;
	writes[1].value = text;
	roll_record_key_build(record, roll->wanted.roll);
	if (roll->wanted.roll > ROLL_RECORDS_MAX) {
		roll_record_key_build(old,
				      roll->wanted.roll - ROLL_RECORDS_MAX);
		txn.write_count = 3;
	}
	err = cli_txn(roll->ctx, &txn, &result);
	written = err == ERR_NONE && result.succeeded;
	cli_result_clear(&result);
	if (written || cli_err_is_unsent(err))
		return err;
	roll->maybe_written = true;
	return write_resolve(roll, err == ERR_NONE, winner);
}

/*
 * Repeats the same compare-and-swap until its effect is known. The comparison
 * ensures that it takes effect at most once.
 */
static enum err_kind head_write_until_known(struct roll *roll,
					    struct stored_head *winner)
{
	enum err_kind err = ERR_NONE;

	for (int i = 0; i < ROLL_ATTEMPTS_MAX; i++) {
		err = head_write(roll, winner);
		if (err == ERR_NONE || err == ERR_CONFLICT)
			return err;
		cli_sleep_ms(roll->ctx, ROLL_RETRY_DELAY_MS);
	}
	return roll->maybe_written ? ERR_UNKNOWN_EFFECT : err;
}

static json_t *roll_details(const struct stored_head *head)
{
	return json_pack("{s:I, s:I, s:s, s:s}", "roll", (json_int_t)head->roll,
			 "version", (json_int_t)head->version, "digest",
			 head->digest, "writer", head->writer);
}

static int roll_wait(struct roll *roll)
{
	struct cli_context *ctx = roll->ctx;
	struct rollout_progress progress;
	struct announcer *announcer = announcer_create(
		ctx, &roll->wanted, roll->members, roll->envelope);
	uint64_t start_ms = roll->wanted.at_ms;
	json_t *details = roll_details(&roll->wanted);
	enum err_kind err;

	err = rollout_wait(ctx, roll->wanted.roll,
			   cli_context_settings(ctx)->wait_ms, &roll->members,
			   &progress);
	announcer_destroy(announcer);
	json_object_update_new(details,
			       json_pack("{s:i, s:i, s:I}", "processes",
					 (int)progress.members, "in_force",
					 (int)progress.in_force, "took_ms",
					 (json_int_t)(wall_ms() - start_ms)));
	if (err != ERR_NONE)
		return cli_report(
			ctx, err, details,
			"roll %" PRIu64 " is accepted; it is in force in %u "
			"of %u processes so far",
			roll->wanted.roll, progress.in_force, progress.members);
	return cli_report(ctx, ERR_NONE, details,
			  "roll %" PRIu64 " put version %" PRIu64
			  " in force in %u processes in %" PRIu64 " ms",
			  roll->wanted.roll, roll->wanted.version,
			  progress.members, wall_ms() - start_ms);
}

static int unknown_report(const struct roll *roll, enum err_kind err)
{
	const struct stored_head *wanted = &roll->wanted;
	json_t *details = roll_details(wanted);
	g_autofree char *find_out = g_strdup_printf(
		"when the platform answers, run 'sassafrasctl status': roll "
		"%" PRIu64 " was done if it is listed with the writer %s",
		wanted->roll, wanted->writer);

	json_object_set_new(details, "find_out", json_string(find_out));
	return cli_report(roll->ctx, err, details,
			  "roll %" PRIu64 " of version %" PRIu64, wanted->roll,
			  wanted->version);
}

static int roll_run(struct roll *roll)
{
	struct cli_context *ctx = roll->ctx;
	struct stored_head winner = { 0 };
	enum err_kind err;

	roll->wanted.roll =
		MAX(roll->before.roll, rollout_newest_roll(roll->members)) + 1;
	roll->wanted.at_ms = wall_ms();
	writer_fill(&roll->wanted);
	err = head_write_until_known(roll, &winner);
	if (err == ERR_CONFLICT)
		return cli_report(ctx, err, roll_details(&winner),
				  "another operator (%s) was first: roll "
				  "%" PRIu64 " put version %" PRIu64
				  " in force",
				  winner.writer, winner.roll, winner.version);
	if (err != ERR_NONE)
		return unknown_report(roll, err);
	return roll_wait(roll);
}

/*
 * Verifies the bundle and reads the head and the members. On failure, prints a
 * report, sets the exit status and returns false.
 */
static bool roll_prepare(struct roll *roll, const char *version, int *status)
{
	struct cli_context *ctx = roll->ctx;
	enum err_kind err = version_parse(version, &roll->wanted.version);

	if (err != ERR_NONE) {
		*status = cli_report(ctx, err, NULL,
				     "expected a version number, found '%s'",
				     version);
		return false;
	}
	err = bundle_verify(roll);
	if (err != ERR_NONE) {
		*status = cli_report(ctx, read_err_convert(err), NULL,
				     "version %s cannot be verified as "
				     "published and signed",
				     version);
		return false;
	}
	err = roll_head_read(ctx, &roll->before, &roll->before_revision);
	if (err == ERR_NONE)
		err = rollout_members_read(ctx, &roll->members);
	/*
	 * The store may have been restored from an old backup: the processes
	 * then know greater roll numbers than the head.
	 */
	if (err == ERR_NONE)
		rollout_statuses_fetch(ctx, roll->members);
	if (err != ERR_NONE)
		*status = cli_report(ctx, read_err_convert(err), NULL,
				     "cannot read the newest roll and the "
				     "members");
	return err == ERR_NONE;
}

static int roll_back_run(struct roll *roll)
{
	if (roll->wanted.version < roll->before.version)
		return roll_run(roll);
	return cli_report(roll->ctx, ERR_INVALID, NULL,
			  "expected a version older than %" PRIu64
			  ", which is in force, found %" PRIu64,
			  roll->before.version, roll->wanted.version);
}

static int roll_version(struct cli_context *ctx, const char *text, bool back)
{
	struct roll roll = { .ctx = ctx };
	int status;

	if (roll_prepare(&roll, text, &status))
		status = back ? roll_back_run(&roll) : roll_run(&roll);
	g_clear_pointer(&roll.members, g_array_unref);
	g_free(roll.envelope);
	return status;
}

int cmd_roll(struct cli_context *ctx, char **arguments)
{
	return roll_version(ctx, arguments[0], false);
}

int cmd_rollback(struct cli_context *ctx, char **arguments)
{
	return roll_version(ctx, arguments[0], true);
}
