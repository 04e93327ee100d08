/**
 * @file cli.h
 * @brief What the commands of sassafrasctl share: settings, calls, reports.
 *
 * Prefix: cli_. The commands run one call after another; each call runs the
 * loop until its answer is there.
 */
#ifndef CLI_H
#define CLI_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "cfg.h"
#include "err.h"
#include "loop.h"
#include "platform_client.h"
#include "signing.h"

/** Settings of sassafrasctl. */
struct cli_settings {
	struct cfg_endpoint platform;
	char *platform_adapter;
	char **operator_keys;
	uint32_t signatures_required;
	char *output;
	char *key;
	char *out;
	uint32_t timeout_ms;
	uint32_t wait_ms;
	bool version;
};

/** The desk, opaque but for its accessors. */
struct cli_context;

/** A key with its value, copied from an answer. */
struct cli_kv {
	char *key;
	char *value;
	size_t value_len;
	int64_t create_revision;
	int64_t mod_revision;
};

/** A copied answer of the platform; cleared by cli_result_clear(). */
struct cli_result {
	bool succeeded;
	int64_t revision;
	/** array of struct cli_kv */
	GArray *kvs;
};

/** @brief Creates the desk. The settings are borrowed. */
struct cli_context *cli_context_create(const struct cli_settings *settings);

/** @brief Frees the desk. @param desk may be NULL */
void cli_context_destroy(struct cli_context *desk);

/** @brief Returns the settings. */
const struct cli_settings *cli_context_settings(const struct cli_context *desk);

/** @brief Returns the loop that the commands run, owned by the desk. */
struct loop *cli_context_loop(struct cli_context *desk);

/** @brief Reads a key or a prefix and waits for the answer. */
enum err_kind cli_range(struct cli_context *desk, const char *key, bool prefix,
			struct cli_result *out);

/** @brief Runs a transaction and waits for the answer. */
enum err_kind cli_txn(struct cli_context *desk, const struct platform_txn *txn,
		      struct cli_result *out);

/** @brief Frees what a result owns; a zeroed result is left as it is. */
void cli_result_clear(struct cli_result *result);

/** A page of an entry process that is being read. */
struct cli_page {
	const char *ip;
	uint16_t port;
	/** filled by cli_pages_fetch(): text is NULL unless err is ERR_NONE */
	enum err_kind err;
	char *text;
};

/**
 * @brief Reads one page of many entry processes at the same time.
 *
 * Takes no longer than the deadline of one call, however many do not answer.
 *
 * @param pages addresses to read from; the texts are freed by g_free()
 */
void cli_pages_fetch(struct cli_context *desk, const char *path,
		     struct cli_page *pages, size_t count, uint32_t timeout_ms);

/**
 * @brief Tells from the kind whether a call provably sent nothing.
 *
 * Other kinds leave the effect of a write open, whatever their table row
 * says of calls that only read.
 */
bool cli_err_is_unsent(enum err_kind err);

/** @brief Runs the loop for a while. */
void cli_sleep_ms(struct cli_context *desk, uint32_t ms);

/** @brief Loads the trusted keys of the settings. */
enum err_kind cli_trust_load(struct cli_context *desk,
			     struct signing_trust_store **out);

/**
 * @brief Prints how a command ended, as text or JSON.
 *
 * Says done, not done or unknown from the error kind.
 *
 * @param details object merged into the JSON report and released, or NULL;
 *        its member "find_out" tells how an unknown effect can be found out
 * @return the exit code of the kind
 */
int cli_report(struct cli_context *desk, enum err_kind err, json_t *details,
	       const char *format, ...) G_GNUC_PRINTF(4, 5);

/** A command; arguments exclude the command's own words. */
typedef int (*cli_command_fn)(struct cli_context *desk, char **arguments);

/** @brief Creates a key pair for signing. */
int cmd_keygen(struct cli_context *desk, char **arguments);
/** @brief Checks a bundle file and prints its mistakes. */
int cmd_bundle_check(struct cli_context *desk, char **arguments);
/** @brief Adds a signature to a bundle file's envelope. */
int cmd_bundle_sign(struct cli_context *desk, char **arguments);
/** @brief Writes a signed bundle to the platform, once for each version. */
int cmd_bundle_publish(struct cli_context *desk, char **arguments);
/** @brief Puts a published version in force and waits for all processes. */
int cmd_roll(struct cli_context *desk, char **arguments);
/** @brief Rolls a version that is older than the one in force. */
int cmd_rollback(struct cli_context *desk, char **arguments);
/** @brief Shows the newest rolls and what each process has in force. */
int cmd_status(struct cli_context *desk, char **arguments);
/** @brief Gives the recorded reasons of a VM, pool, wave or roll. */
int cmd_explain(struct cli_context *desk, char **arguments);

#endif
