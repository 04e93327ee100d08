#include "log.h"

#include "loop.h"

#include <fcntl.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Size of the token bucket, in seconds of the rate limit. */
#define LOG_BURST_S 3
/* Maximum length of a field's value; the rest is cut. */
#define LOG_VALUE_MAX_BYTES 8192

struct log_writer {
	char process[64];
	GLogLevelFlags mask;
	/* -1 for standard error, with blocking writes */
	int fd;
	uint32_t lines_per_s;
	/* token bucket, in thousandths of a line */
	uint64_t tokens_milli;
	uint64_t refilled_ms;
	/* the last line was cut short: the next one starts with a newline */
	bool torn;
	uint64_t dropped;
	uint64_t reported_dropped;
	uint64_t reported_ms;
};

/* GLib has one writer function per process, so its state is global. */
static struct log_writer log_writer = { .fd = -1 };

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

static bool field_is_logged(const char *key)
{
	static const char *const ignored[] = { "PRIORITY", "CODE_FILE",
					       "CODE_LINE", "CODE_FUNC",
					       "GLIB_DOMAIN" };

	for (size_t i = 0; i < G_N_ELEMENTS(ignored); i++) {
		if (strcmp(key, ignored[i]) == 0)
			return false;
	}
	return true;
}

/* Callers determine parts of messages, so a value may have any length and any
 * bytes. */
static json_t *field_value(const GLogField *field)
{
	size_t len = field->length >= 0 ? (size_t)field->length
					: strlen(field->value);
	g_autofree char *text = g_utf8_make_valid(
		field->value, (gssize)MIN(len, LOG_VALUE_MAX_BYTES));

	if (len <= LOG_VALUE_MAX_BYTES)
		return json_string(text);
	return json_sprintf("%s... (%zu bytes)", text, len);
}

static void fields_add(json_t *line, const GLogField *fields, gsize count)
{
	for (gsize i = 0; i < count; i++) {
		char *key;

		if (!field_is_logged(fields[i].key))
			continue;
		key = g_ascii_strdown(fields[i].key, -1);
		json_object_set_new(line, key, field_value(&fields[i]));
		g_free(key);
	}
}

/* Returns false if the line was not written as a whole. */
static bool line_write(struct log_writer *writer, const char *text)
{
	g_autofree char *line = g_strconcat(writer->torn ? "\n" : "",
					    text ? text : "{}", "\n", NULL);
	size_t len = strlen(line);
	ssize_t written;

	if (writer->fd < 0)
		return fputs(line, stderr) >= 0;
	written = write(writer->fd, line, len);
	if (written > 0)
		writer->torn = line[written - 1] != '\n';
	return written == (ssize_t)len;
}

static json_t *line_create(const struct log_writer *writer, const char *level)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	json_t *line = json_pack("{s:s, s:I, s:s, s:s}", "ts", stamp,
				 "steady_ms", (json_int_t)loop_now_ms(),
				 "level", level, "process", writer->process);

	g_free(stamp);
	g_date_time_unref(now);
	return line;
}

static bool line_finish(struct log_writer *writer, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	bool written = line_write(writer, text);

	free(text);
	json_decref(line);
	return written;
}

/* Logs how many lines were dropped, trying at most once per second. */
static void dropped_report(struct log_writer *writer, uint64_t now_ms)
{
	json_t *line;

	if (writer->dropped == writer->reported_dropped ||
	    now_ms - writer->reported_ms < 1000)
		return;
	line = line_create(writer, "warning");
	json_object_set_new(line, "event", json_string("log-held-back"));
	json_object_set_new(
		line, "lines",
		json_integer((json_int_t)(writer->dropped -
					  writer->reported_dropped)));
	writer->reported_ms = now_ms;
	if (line_finish(writer, line))
		writer->reported_dropped = writer->dropped;
}

/* Takes a token of the rate limit, which does not apply to warnings and
 * errors. */
static bool rate_limit_acquire(struct log_writer *writer, GLogLevelFlags level)
{
	uint64_t max_milli = (uint64_t)writer->lines_per_s * LOG_BURST_S * 1000;
	uint64_t now_ms = loop_now_ms();

	if (writer->lines_per_s == 0 ||
	    !(level &
	      (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_DEBUG)))
		return true;
	writer->tokens_milli +=
		(now_ms - writer->refilled_ms) * writer->lines_per_s;
	writer->tokens_milli = MIN(writer->tokens_milli, max_milli);
	writer->refilled_ms = now_ms;
	if (writer->tokens_milli < 1000) {
		writer->dropped++;
		return false;
	}
	writer->tokens_milli -= 1000;
	return true;
}

static GLogWriterOutput on_log(GLogLevelFlags level, const GLogField *fields,
			       gsize count, gpointer data)
{
	struct log_writer *writer = data;
	json_t *line;

	if (!(level & writer->mask))
		return G_LOG_WRITER_HANDLED;
	dropped_report(writer, loop_now_ms());
	if (!rate_limit_acquire(writer, level))
		return G_LOG_WRITER_HANDLED;
	line = line_create(writer, level_name(level));
	fields_add(line, fields, count);
	if (!line_finish(writer, line))
		writer->dropped++;
	return G_LOG_WRITER_HANDLED;
}

void log_standard_descriptors_open(void)
{
	int fd;

	/* open() returns the lowest free number. */
	do
		fd = open("/dev/null", O_RDWR);
	while (fd >= 0 && fd <= STDERR_FILENO);
	if (fd >= 0)
		close(fd);
}

void log_set_output(int fd, uint32_t lines_per_s)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	log_writer.fd = fd;
	log_writer.lines_per_s = lines_per_s;
	log_writer.refilled_ms = loop_now_ms();
	log_writer.tokens_milli = (uint64_t)lines_per_s * LOG_BURST_S * 1000;
}

uint64_t log_dropped_count(void)
{
	return log_writer.dropped;
}

static const GLogLevelFlags log_mask_always =
	G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_FLAG_FATAL;

static enum err_kind level_parse(const char *level, GLogLevelFlags *mask)
{
	*mask = log_mask_always;
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

enum err_kind log_install(const char *process, const char *level)
{
	enum err_kind err = level_parse(level, &log_writer.mask);

	if (err != ERR_NONE)
		return err;
	g_strlcpy(log_writer.process, process, sizeof(log_writer.process));
	g_log_set_writer_func(on_log, &log_writer, NULL);
	return ERR_NONE;
}
