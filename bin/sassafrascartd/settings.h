/**
 * @file settings.h
 * @brief Settings of sassafrascartd.
 *
 * Prefix: set_.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "cfg.h"

/** All settings; see the table in set.c for defaults and bounds. */
struct settings {
	char *id;
	struct cfg_endpoint listen;
	struct cfg_endpoint rpc;
	struct cfg_endpoint platform;
	char *platform_adapter;
	char *availability_zone;
	char **operator_keys;
	char **peers;
	uint32_t signatures_required;
	char *log_level;
	uint32_t body_max_bytes;
	uint32_t connections_max;
	uint32_t answer_max_bytes;
	uint32_t poll_ms;
	uint32_t dispatch_window_ms;
	uint32_t lease_ttl_s;
	uint32_t platform_timeout_ms;
	uint32_t platform_rate_per_s;
	uint32_t claim_life_s;
	uint32_t leave_grace_ms;
	uint32_t drain_ms;
	uint32_t idle_timeout_ms;
	uint32_t manager_tick_ms;
	uint32_t vm_list_ms;
	uint32_t vm_list_lag_ms;
	uint32_t vm_failed_after_ms;
	uint32_t maintenance_timeout_ms;
	uint32_t demand_window_ms;
	bool check_config;
	bool version;
};

/**
 * @brief Parses and checks the settings.
 * @return whether they are valid; else error says which is not and why
 */
bool settings_parse(int *argc, char ***argv, struct settings *out,
		    GError **error);

/** @brief Frees what the settings own. */
void settings_clear(struct settings *settings);

#endif
