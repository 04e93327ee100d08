/**
 * @file cli.h
 * @brief Shared by the sassafrasctl commands: settings, calls, reports.
 *
 * Prefix: cli_. Calls are synchronous: each runs the event loop until its
 * response has arrived.
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
	/** metrics address of a process of the job service */
	struct cfg_endpoint process;
	char **operator_keys;
	uint32_t signatures_required;
	char *output;
	char *key;
	char *out;
	uint32_t timeout_ms;
	uint32_t wait_ms;
	bool version;
};

/** State shared by the commands, opaque but for its accessors. */
struct cli_context;

/** A key with its value, copied from a response of the platform. */
struct cli_kv {
	char *key;
	char *value;
	size_t value_len;
	int64_t create_revision;
	int64_t mod_revision;
};

/** A copied response of the platform; freed by cli_result_clear(). */
struct cli_result {
	bool succeeded;
	int64_t revision;
	/** array of struct cli_kv */
	GArray *kvs;
};

/** @brief Creates a context. The settings are borrowed. */
struct cli_context *cli_context_create(const struct cli_settings *settings);

/** @brief Frees a context. @param ctx may be NULL */
void cli_context_destroy(struct cli_context *ctx);

/** @brief Returns the settings. */
const struct cli_settings *cli_context_settings(const struct cli_context *ctx);

/** @brief Returns the event loop of the commands, owned by the context. */
struct loop *cli_context_loop(struct cli_context *ctx);

/** @brief Reads a key or all keys with a prefix; blocks until answered. */
enum err_kind cli_range(struct cli_context *ctx, const char *key, bool prefix,
			struct cli_result *out);

/** @brief Runs a transaction on the platform; blocks until answered. */
enum err_kind cli_txn(struct cli_context *ctx, const struct platform_txn *txn,
		      struct cli_result *out);

/** @brief Frees what a result owns; does nothing to a zeroed result. */
void cli_result_clear(struct cli_result *result);

/** A page to fetch from a sassafrascartd process over HTTP. */
struct cli_page {
	const char *ip;
	uint16_t port;
	/** filled by cli_pages_fetch(): text is NULL unless err is ERR_NONE */
	enum err_kind err;
	char *text;
};

/**
 * @brief Fetches the same page from several processes in parallel.
 *
 * Blocks for at most timeout_ms, however many processes do not answer.
 *
 * @param pages addresses to read from; err and text are set, and the caller
 *        frees each text by g_free()
 */
void cli_pages_fetch(struct cli_context *ctx, const char *path,
		     struct cli_page *pages, size_t count, uint32_t timeout_ms);

/**
 * @brief Returns whether an error of this kind implies that nothing was sent.
 *
 * After any other error the effect of a write is unknown. err_effect() may
 * still say "not done", which applies only to calls that do not write.
 */
bool cli_err_is_unsent(enum err_kind err);

/** @brief Blocks for a time while the event loop runs. */
void cli_sleep_ms(struct cli_context *ctx, uint32_t ms);

/** @brief Loads the trusted public keys named in the settings. */
enum err_kind cli_trust_load(struct cli_context *ctx,
			     struct signing_trust_store **out);

/**
 * @brief Prints the outcome of a command, as text or JSON.
 *
 * The outcome (done, not done or unknown) follows from the error kind.
 *
 * @param details object merged into the JSON report and released, or NULL;
 *        its member "find_out" says how the operator can determine an
 *        unknown effect
 * @return the exit code for the error kind
 */
int cli_report(struct cli_context *ctx, enum err_kind err, json_t *details,
	       const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Runs a command and returns its exit code; arguments follow its name. */
typedef int (*cli_command_fn)(struct cli_context *ctx, char **arguments);

/** @brief Creates a key pair for signing. */
int cmd_keygen(struct cli_context *ctx, char **arguments);
/** @brief Validates a bundle file and prints its errors. */
int cmd_bundle_check(struct cli_context *ctx, char **arguments);
/** @brief Signs a bundle file; adds to an existing envelope. */
int cmd_bundle_sign(struct cli_context *ctx, char **arguments);
/** @brief Writes a signed bundle to the platform; versions are immutable. */
int cmd_bundle_publish(struct cli_context *ctx, char **arguments);
/** @brief Rolls out a published version and waits for all processes. */
int cmd_roll(struct cli_context *ctx, char **arguments);
/** @brief Rolls out a version that is older than the one in force. */
int cmd_rollback(struct cli_context *ctx, char **arguments);
/** @brief Shows the newest rolls and the roll applied by each process. */
int cmd_status(struct cli_context *ctx, char **arguments);
/** @brief Shows the recorded decisions on a VM, pool, wave or roll. */
int cmd_explain(struct cli_context *ctx, char **arguments);
/** @brief Shows where the next waiting task of a job would go now, and why. */
int cmd_explain_job(struct cli_context *ctx, char **arguments);
/** @brief Shows where a task would go if it were submitted now, and why. */
int cmd_explain_request(struct cli_context *ctx, char **arguments);

#endif
