/**
 * @file cfg.h
 * @brief Settings from flags and environment variables, checked at start.
 *
 * Prefix: cfg_. A flag takes precedence over the environment variable of the
 * same setting, and the variable over the default. The variable of
 * "--log-level" is SASSAFRASCART_LOG_LEVEL.
 */
#ifndef CFG_H
#define CFG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Type of a setting, which is the type of its member in the target. */
enum cfg_type {
	/** char *, owned by the target */
	CFG_TEXT,
	/** char **, NULL-terminated, owned; comma-separated in the environment
	 * variable */
	CFG_LIST,
	/** uint32_t within min and max */
	CFG_U32,
	/** bool; its flag takes no value */
	CFG_BOOL,
	/** struct cfg_endpoint from "IPv4:PORT" */
	CFG_ENDPOINT,
};

/** An address and port. */
struct cfg_endpoint {
	/** dotted IPv4 address */
	char ip[16];
	uint16_t port;
};

/** One setting; an array of them ends with a NULL name. */
struct cfg_option {
	/** long flag without dashes */
	const char *name;
	enum cfg_type type;
	/** offset of the member in the target */
	size_t offset;
	/** default as text; NULL if there is none, which makes the setting
	 *  required unless it is a bool or list */
	const char *fallback;
	uint32_t min;
	uint32_t max;
	const char *help;
	const char *argument;
};

/** Error codes of the domain cfg_error_quark(). */
enum cfg_error {
	CFG_ERROR_USAGE,
	CFG_ERROR_VALUE,
};

/** @brief Returns the error domain of this module. */
GQuark cfg_error_quark(void);

/**
 * @brief Parses flags and environment into a target structure.
 *
 * Handles --help by printing and exiting, as GLib does.
 *
 * @param options the settings
 * @param summary text for --help
 * @param argc number of arguments; reduced to the positional arguments
 * @param argv arguments; flags are removed
 * @param target structure to fill; zeroed by the caller
 * @param error set on failure, naming the setting and what was expected
 * @return true if all settings are valid
 */
bool cfg_parse(const struct cfg_option *options, const char *summary, int *argc,
	       char ***argv, void *target, GError **error);

/** @brief Frees the strings and lists of a target structure. */
void cfg_clear(const struct cfg_option *options, void *target);

/** @brief Parses "IPv4:PORT". @return true if valid */
bool cfg_endpoint_parse(const char *text, struct cfg_endpoint *out);

#endif
