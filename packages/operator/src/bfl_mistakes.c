#include <string.h>

#include "bfl_private.h"

/* Further mistakes of a file are counted as one. */
#define BFL_MISTAKES_MAX 100
#define BFL_MESSAGE_MAX_BYTES 300

struct bfl_mistakes {
	GArray *items;
};

static void mistake_clear(gpointer data)
{
	struct bfl_mistake *mistake = data;

	g_free(mistake->field);
	g_free(mistake->message);
}

struct bfl_mistakes *bfl_mistakes_create(void)
{
	struct bfl_mistakes *mistakes = g_new0(struct bfl_mistakes, 1);

	mistakes->items = g_array_new(FALSE, FALSE, sizeof(struct bfl_mistake));
	g_array_set_clear_func(mistakes->items, mistake_clear);
	return mistakes;
}

void bfl_mistakes_destroy(struct bfl_mistakes *mistakes)
{
	if (!mistakes)
		return;
	g_array_unref(mistakes->items);
	g_free(mistakes);
}

uint32_t bfl_mistakes_count(const struct bfl_mistakes *mistakes)
{
	return mistakes->items->len;
}

const struct bfl_mistake *bfl_mistakes_get(const struct bfl_mistakes *mistakes,
					   uint32_t index)
{
	g_assert(index < mistakes->items->len);
	return &g_array_index(mistakes->items, struct bfl_mistake, index);
}

/* Messages quote the file: keeps them short and free of control bytes. */
static char *message_clean(char *message)
{
	char *valid;

	if (strlen(message) > BFL_MESSAGE_MAX_BYTES)
		message[BFL_MESSAGE_MAX_BYTES] = '\0';
	for (char *at = message; *at; at++) {
		if (g_ascii_iscntrl(*at))
			*at = '?';
	}
	valid = g_utf8_make_valid(message, -1);
	g_free(message);
	return valid;
}

void bfl_mistakes_add(struct bfl_mistakes *mistakes, uint32_t line,
		      const char *field, const char *format, ...)
{
	struct bfl_mistake mistake = { .line = line };
	va_list args;

	if (mistakes->items->len > BFL_MISTAKES_MAX)
		return;
	va_start(args, format);
	mistake.message = message_clean(g_strdup_vprintf(format, args));
	va_end(args);
	if (mistakes->items->len == BFL_MISTAKES_MAX) {
		g_free(mistake.message);
		mistake.message = g_strdup("further mistakes are not listed");
	}
	mistake.field = g_strdup(field);
	g_array_append_val(mistakes->items, mistake);
}
