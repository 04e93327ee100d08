#include <string.h>

#include "bundle_file_private.h"

/* Errors listed for a file; one more entry says that others were left out. */
#define BUNDLE_FILE_ERRORS_MAX 100
#define BUNDLE_FILE_MESSAGE_MAX_BYTES 300

struct bundle_file_errors {
	GArray *items;
};

static void error_clear(gpointer data)
{
	struct bundle_file_error *error = data;

	g_free(error->field);
	g_free(error->message);
}

struct bundle_file_errors *bundle_file_errors_create(void)
{
	struct bundle_file_errors *errors =
		g_new0(struct bundle_file_errors, 1);

	errors->items =
		g_array_new(FALSE, FALSE, sizeof(struct bundle_file_error));
	g_array_set_clear_func(errors->items, error_clear);
	return errors;
}

void bundle_file_errors_destroy(struct bundle_file_errors *errors)
{
	if (!errors)
		return;
	g_array_unref(errors->items);
	g_free(errors);
}

uint32_t bundle_file_errors_count(const struct bundle_file_errors *errors)
{
	return errors->items->len;
}

const struct bundle_file_error *
bundle_file_errors_get(const struct bundle_file_errors *errors, uint32_t index)
{
	g_assert(index < errors->items->len);
	return &g_array_index(errors->items, struct bundle_file_error, index);
}

/*
 * Messages quote the file, which may be untrusted: truncates them and replaces
 * control characters and invalid UTF-8.
 */
static char *message_sanitize(char *message)
{
	char *valid;

	if (strlen(message) > BUNDLE_FILE_MESSAGE_MAX_BYTES)
		message[BUNDLE_FILE_MESSAGE_MAX_BYTES] = '\0';
	for (char *c = message; *c; c++) {
		if (g_ascii_iscntrl(*c))
			*c = '?';
	}
	valid = g_utf8_make_valid(message, -1);
	g_free(message);
	return valid;
}

void bundle_file_errors_add(struct bundle_file_errors *errors, uint32_t line,
			    const char *field, const char *format, ...)
{
	struct bundle_file_error error = { .line = line };
	va_list args;

	if (errors->items->len > BUNDLE_FILE_ERRORS_MAX)
		return;
	va_start(args, format);
	error.message = message_sanitize(g_strdup_vprintf(format, args));
	va_end(args);
	if (errors->items->len == BUNDLE_FILE_ERRORS_MAX) {
		g_free(error.message);
		error.message = g_strdup("further errors are not listed");
	}
	error.field = g_strdup(field);
	g_array_append_val(errors->items, error);
}
