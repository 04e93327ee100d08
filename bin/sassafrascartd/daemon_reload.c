#include "daemon_private.h"

#include <string.h>

/* Returns the checksum of a file, or "" if it cannot be read. */
static char *file_checksum(const char *path)
{
	g_autofree char *text = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, NULL))
		return g_strdup("");
	return g_compute_checksum_for_data(G_CHECKSUM_SHA256,
					   (const guchar *)text, len);
}

static char **key_checksums_read(char *const *paths)
{
	char **checksums = g_new0(char *, g_strv_length((char **)paths) + 1);

	for (size_t i = 0; paths[i]; i++)
		checksums[i] = file_checksum(paths[i]);
	return checksums;
}

static void changed_keys_append(GString *out, char *const *paths,
				char *const *before, char *const *after)
{
	for (size_t i = 0; paths[i]; i++) {
		if (strcmp(before[i], after[i]) == 0)
			continue;
		g_string_append_printf(out, "%soperator-key %s",
				       out->len ? ", " : "", paths[i]);
	}
}

static bool on_reload(void *data, GString *applied, GString *kept,
		      GError **error)
{
	struct daemon *daemon = data;
	char **paths = daemon->settings->operator_keys;
	char **checksums = key_checksums_read(paths);
	enum err_kind err = signing_trust_store_reload(
		daemon->trust, (const char *const *)paths);

	if (err != ERR_NONE) {
		g_set_error(error, cfg_error_quark(), CFG_ERROR_VALUE,
			    "--operator-key: expected readable Ed25519 public "
			    "keys, at least %u different ones: %s",
			    daemon->settings->signatures_required,
			    err_describe(err));
		g_strfreev(checksums);
		return false;
	}
	changed_keys_append(applied, paths, daemon->key_checksums, checksums);
	g_strfreev(daemon->key_checksums);
	daemon->key_checksums = checksums;
	return true;
}

void daemon_reload_start(struct daemon *daemon)
{
	char **paths = daemon->settings->operator_keys;

	daemon->key_checksums = key_checksums_read(paths);
	daemon->reload = reload_create(daemon->loop, (const char *const *)paths,
				       on_reload, daemon);
}

void daemon_reload(struct daemon *daemon)
{
	reload_request(daemon->reload);
}
