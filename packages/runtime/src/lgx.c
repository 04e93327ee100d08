#include "lgx.h"

#include "evl.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

struct lgx_writer {
	char process[64];
	GLogLevelFlags mask;
};

/* GLib's writer function is process-wide, so its settings are as well. */
static struct lgx_writer lgx_writer;

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_ERROR)
		return "fatal";
	if (level & G_LOG_LEVEL_CRITICAL)
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & G_LOG_LEVEL_DEBUG)
		return "debug";
	return "info";
}

static bool field_is_wanted(const char *key)
{
	static const char *const internal[] = { "PRIORITY", "CODE_FILE",
						"CODE_LINE", "CODE_FUNC",
						"GLIB_DOMAIN" };

	for (size_t i = 0; i < G_N_ELEMENTS(internal); i++) {
		if (strcmp(key, internal[i]) == 0)
			return false;
	}
	return true;
}

static json_t *field_value(const GLogField *field)
{
	json_t *value;

	if (field->length >= 0)
		value = json_stringn(field->value, (size_t)field->length);
	else
		value = json_string(field->value);
	return value ? value : json_string("(not UTF-8)");
}

static void fields_add(json_t *line, const GLogField *fields, gsize count)
{
	for (gsize i = 0; i < count; i++) {
		char *key;

		if (!field_is_wanted(fields[i].key))
			continue;
		key = g_ascii_strdown(fields[i].key, -1);
		json_object_set_new(line, key, field_value(&fields[i]));
		g_free(key);
	}
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	struct lgx_writer *writer = data;
	GDateTime *now;
	char *stamp;
	char *text;
	json_t *line;

	if (!(level & writer->mask))
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = json_pack("{s:s, s:I, s:s, s:s}", "ts", stamp, "steady_ms",
			 (json_int_t)evl_now_ms(), "level", level_name(level),
			 "process", writer->process);
	fields_add(line, fields, count);
	text = json_dumps(line, JSON_COMPACT);
	fprintf(stderr, "%s\n", text ? text : "{}");
	free(text);
	json_decref(line);
	g_free(stamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

static const GLogLevelFlags lgx_always =
	G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_FLAG_FATAL;

static enum err_kind level_parse(const char *level, GLogLevelFlags *mask)
{
	*mask = lgx_always;
	if (strcmp(level, "error") == 0)
		return ERR_NONE;
	*mask |= G_LOG_LEVEL_WARNING;
	if (strcmp(level, "warning") == 0)
		return ERR_NONE;
	*mask |= G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE;
	if (strcmp(level, "info") == 0)
		return ERR_NONE;
	*mask |= G_LOG_LEVEL_DEBUG;
	return strcmp(level, "debug") == 0 ? ERR_NONE : ERR_INVALID;
}

enum err_kind lgx_install(const char *process, const char *level)
{
	enum err_kind err = level_parse(level, &lgx_writer.mask);

	if (err != ERR_NONE)
		return err;
	g_strlcpy(lgx_writer.process, process, sizeof(lgx_writer.process));
	g_log_set_writer_func(write_line, &lgx_writer, NULL);
	return ERR_NONE;
}
