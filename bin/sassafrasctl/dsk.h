/**
 * @file dsk.h
 * @brief What the commands of sassafrasctl share: settings, calls, reports.
 *
 * Prefix: dsk_. The commands run one call after another; each call runs the
 * loop until its answer is there.
 */
#ifndef DSK_H
#define DSK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "cfg.h"
#include "err.h"
#include "loop.h"
#include "platform_client.h"
#include "signing.h"

/** Settings of sassafrasctl. */
struct dsk_settings {
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
struct dsk_desk;

/** A key with its value, copied from an answer. */
struct dsk_kv {
	char *key;
	char *value;
	size_t value_len;
	int64_t create_revision;
	int64_t mod_revision;
};

/** A copied answer of the platform; cleared by dsk_result_clear(). */
struct dsk_result {
	bool succeeded;
	int64_t revision;
	/** array of struct dsk_kv */
	GArray *kvs;
};

/** @brief Creates the desk. The settings are borrowed. */
struct dsk_desk *dsk_desk_create(const struct dsk_settings *settings);

/** @brief Frees the desk. @param desk may be NULL */
void dsk_desk_destroy(struct dsk_desk *desk);

/** @brief Returns the settings. */
const struct dsk_settings *dsk_desk_settings(const struct dsk_desk *desk);

/** @brief Returns the loop that the commands run, owned by the desk. */
struct loop *dsk_desk_loop(struct dsk_desk *desk);

/** @brief Reads a key or a prefix and waits for the answer. */
enum err_kind dsk_range(struct dsk_desk *desk, const char *key, bool prefix,
			struct dsk_result *out);

/** @brief Runs a transaction and waits for the answer. */
enum err_kind dsk_txn(struct dsk_desk *desk, const struct platform_txn *txn,
		      struct dsk_result *out);

/** @brief Frees what a result owns; a zeroed result is left as it is. */
void dsk_result_clear(struct dsk_result *result);

/** A page of an entry process that is being read. */
struct dsk_page {
	const char *ip;
	uint16_t port;
	/** filled by dsk_pages_get(): text is NULL unless err is ERR_NONE */
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
void dsk_pages_get(struct dsk_desk *desk, const char *path,
		   struct dsk_page *pages, size_t count, uint32_t timeout_ms);

/**
 * @brief Tells from the kind whether a call provably sent nothing.
 *
 * Other kinds leave the effect of a write open, whatever their table row
 * says of calls that only read.
 */
bool dsk_sent_nothing(enum err_kind err);

/** @brief Runs the loop for a while. */
void dsk_sleep_ms(struct dsk_desk *desk, uint32_t ms);

/** @brief Loads the trusted keys of the settings. */
enum err_kind dsk_trust_load(struct dsk_desk *desk,
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
int dsk_report(struct dsk_desk *desk, enum err_kind err, json_t *details,
	       const char *format, ...) G_GNUC_PRINTF(4, 5);

/** A command; arguments exclude the command's own words. */
typedef int (*dsk_command_fn)(struct dsk_desk *desk, char **arguments);

/** @brief Creates a key pair for signing. */
int cmd_keygen(struct dsk_desk *desk, char **arguments);
/** @brief Checks a bundle file and prints its mistakes. */
int cmd_bundle_check(struct dsk_desk *desk, char **arguments);
/** @brief Adds a signature to a bundle file's envelope. */
int cmd_bundle_sign(struct dsk_desk *desk, char **arguments);
/** @brief Writes a signed bundle to the platform, once for each version. */
int cmd_bundle_publish(struct dsk_desk *desk, char **arguments);
/** @brief Puts a published version in force and waits for all processes. */
int cmd_roll(struct dsk_desk *desk, char **arguments);
/** @brief Rolls a version that is older than the one in force. */
int cmd_rollback(struct dsk_desk *desk, char **arguments);
/** @brief Shows the newest rolls and what each process has in force. */
int cmd_status(struct dsk_desk *desk, char **arguments);
/** @brief Gives the recorded reasons of a VM, pool, wave or roll. */
int cmd_explain(struct dsk_desk *desk, char **arguments);

#endif
