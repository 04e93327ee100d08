#include <string.h>

#include "bundle_file_private.h"

/* Further mistakes of a file are counted as one. */
#define BUNDLE_FILE_ERRORS_MAX 100
#define BUNDLE_FILE_MESSAGE_MAX_BYTES 300

struct bundle_file_errors {
	GArray *items;
};

static void mistake_clear(gpointer data)
{
	struct bundle_file_error *mistake = data;

	g_free(mistake->field);
	g_free(mistake->message);
}

struct bundle_file_errors *bundle_file_errors_create(void)
{
	struct bundle_file_errors *mistakes =
		g_new0(struct bundle_file_errors, 1);

	mistakes->items =
		g_array_new(FALSE, FALSE, sizeof(struct bundle_file_error));
	g_array_set_clear_func(mistakes->items, mistake_clear);
	return mistakes;
}

void bundle_file_errors_destroy(struct bundle_file_errors *mistakes)
{
	if (!mistakes)
		return;
	g_array_unref(mistakes->items);
	g_free(mistakes);
}

uint32_t bundle_file_errors_count(const struct bundle_file_errors *mistakes)
{
	return mistakes->items->len;
}

const struct bundle_file_error *
bundle_file_errors_get(const struct bundle_file_errors *mistakes,
		       uint32_t index)
{
	g_assert(index < mistakes->items->len);
	return &g_array_index(mistakes->items, struct bundle_file_error, index);
}

/* Messages quote the file: keeps them short and free of control bytes. */
static char *message_clean(char *message)
{
	char *valid;

	if (strlen(message) > BUNDLE_FILE_MESSAGE_MAX_BYTES)
		message[BUNDLE_FILE_MESSAGE_MAX_BYTES] = '\0';
	for (char *at = message; *at; at++) {
		if (g_ascii_iscntrl(*at))
			*at = '?';
	}
	valid = g_utf8_make_valid(message, -1);
	g_free(message);
	return valid;
}

void bundle_file_errors_add(struct bundle_file_errors *mistakes, uint32_t line,
			    const char *field, const char *format, ...)
{
	struct bundle_file_error mistake = { .line = line };
	va_list args;

	if (mistakes->items->len > BUNDLE_FILE_ERRORS_MAX)
		return;
	va_start(args, format);
	mistake.message = message_clean(g_strdup_vprintf(format, args));
	va_end(args);
	if (mistakes->items->len == BUNDLE_FILE_ERRORS_MAX) {
		g_free(mistake.message);
		mistake.message = g_strdup("further mistakes are not listed");
	}
	mistake.field = g_strdup(field);
	g_array_append_val(mistakes->items, mistake);
}
