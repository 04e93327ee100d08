#include "daemon_private.h"

/* Returns the checksum of a file, or "" if it could not be read. */
static char *content_checksum(const struct file_content *file)
{
	if (!file->text)
		return g_strdup("");
	return g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)file->text, file->len);
}

static char **checksums_new(const struct file_content *files, size_t count)
{
	char **checksums = g_new0(char *, count + 1);

	for (size_t i = 0; i < count; i++)
		checksums[i] = content_checksum(&files[i]);
	return checksums;
}

static void changed_keys_append(GString *out, char *const *paths,
				char *const *before, char *const *after)
{
	for (size_t i = 0; paths[i]; i++) {
		if (g_strcmp0(before[i], after[i]) == 0)
			continue;
		g_string_append_printf(out, "%soperator-key %s",
				       out->len ? ", " : "", paths[i]);
	}
}

static bool on_reload(void *data, const struct file_content *files,
		      GString *applied, GString *kept, GError **error)
{
	struct daemon *daemon = data;
	char **paths = daemon->settings->operator_keys;
	size_t count = g_strv_length(paths);
	enum err_kind err =
		signing_trust_store_reload(daemon->trust, files, count, error);
	char **checksums;

	if (err != ERR_NONE) {
		g_prefix_error(error, "--operator-key: ");
		return false;
	}
	checksums = checksums_new(files, count);
	changed_keys_append(applied, paths, daemon->key_checksums, checksums);
	g_strfreev(daemon->key_checksums);
	daemon->key_checksums = checksums;
	return true;
}

static char **key_checksums_read(char *const *paths)
{
	size_t count = g_strv_length((char **)paths);
	char **checksums = g_new0(char *, count + 1);

	for (size_t i = 0; i < count; i++) {
		struct file_content file = { 0 };

		file.text = file_read(paths[i], FILE_READ_SETTINGS_MAX_BYTES,
				      &file.len, NULL);
		checksums[i] = content_checksum(&file);
		file_content_clear(&file);
	}
	return checksums;
}

void daemon_reload_start(struct daemon *daemon)
{
	char **paths = daemon->settings->operator_keys;
	const struct file_watch_config watch =
		reload_watch_config((const char *const *)paths);

	daemon->key_checksums = key_checksums_read(paths);
	daemon->reload = reload_create(daemon->loop, &watch, on_reload, daemon);
}

void daemon_reload(struct daemon *daemon)
{
	reload_request(daemon->reload);
}
