#include "cfg.h"

#include <arpa/inet.h>
#include <string.h>

#define CFG_ENVIRONMENT_PREFIX "SASSAFRASCART_"

G_DEFINE_QUARK(sassafrascart - cfg - error, cfg_error)

/* Value of one setting from the command line. */
struct cli_value {
	char *text;
	char **list;
	gboolean flag;
};

static size_t option_count(const struct cfg_option *options)
{
	size_t count = 0;

	while (options[count].name)
		count++;
	return count;
}

static char *environment_name(const struct cfg_option *option)
{
	g_autofree char *upper = g_ascii_strup(option->name, -1);

	g_strdelimit(upper, "-", '_');
	return g_strconcat(CFG_ENVIRONMENT_PREFIX, upper, NULL);
}

bool cfg_endpoint_parse(const char *text, struct cfg_endpoint *out)
{
	const char *colon = strrchr(text, ':');
	struct in_addr addr;
	guint64 port;
	size_t len;

	if (!colon)
		return false;
	len = (size_t)(colon - text);
	if (len == 0 || len >= sizeof(out->ip))
		return false;
	memcpy(out->ip, text, len);
	out->ip[len] = '\0';
	if (inet_pton(AF_INET, out->ip, &addr) != 1 ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return false;
	out->port = (uint16_t)port;
	return true;
}

static bool member_set_number(const struct cfg_option *option, const char *text,
			      void *member, GError **error)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, option->min, option->max,
					&value, NULL)) {
		g_set_error(error, cfg_error_quark(), CFG_ERROR_VALUE,
			    "--%s: expected a whole number from %u to %u, "
			    "found '%s'",
			    option->name, option->min, option->max, text);
		return false;
	}
	*(uint32_t *)member = (uint32_t)value;
	return true;
}

static bool member_set_bool(const struct cfg_option *option, const char *text,
			    void *member, GError **error)
{
	if (strcmp(text, "true") == 0 || strcmp(text, "1") == 0) {
		*(bool *)member = true;
		return true;
	}
	if (strcmp(text, "false") == 0 || strcmp(text, "0") == 0) {
		*(bool *)member = false;
		return true;
	}
	g_set_error(error, cfg_error_quark(), CFG_ERROR_VALUE,
		    "--%s: expected true or false, found '%s'", option->name,
		    text);
	return false;
}

static bool member_set_text(const struct cfg_option *option, const char *text,
			    void *target, GError **error)
{
	void *member = (char *)target + option->offset;

	switch (option->type) {
	case CFG_TEXT:
		*(char **)member = g_strdup(text);
		return true;
	case CFG_LIST:
		*(char ***)member = g_strsplit(text, ",", -1);
		return true;
	case CFG_U32:
		return member_set_number(option, text, member, error);
	case CFG_BOOL:
		return member_set_bool(option, text, member, error);
	case CFG_ENDPOINT:
		if (cfg_endpoint_parse(text, member))
			return true;
		break;
	}
	g_set_error(error, cfg_error_quark(), CFG_ERROR_VALUE,
		    "--%s: expected an address as IPv4:PORT, found '%s'",
		    option->name, text);
	return false;
}

static bool option_resolve(const struct cfg_option *option,
			   struct cli_value *cli_value, void *target,
			   GError **error)
{
	void *member = (char *)target + option->offset;
	g_autofree char *variable = environment_name(option);
	const char *text =
		cli_value->text ? cli_value->text : g_getenv(variable);

	if (cli_value->list) {
		*(char ***)member = g_steal_pointer(&cli_value->list);
		return true;
	}
	if (cli_value->flag) {
		*(bool *)member = true;
		return true;
	}
	if (!text)
		text = option->fallback;
	if (text)
		return member_set_text(option, text, target, error);
	if (option->type == CFG_BOOL || option->type == CFG_LIST)
		return true;
	g_set_error(error, cfg_error_quark(), CFG_ERROR_USAGE,
		    "--%s: expected a value from the flag or from %s, "
		    "found none",
		    option->name, variable);
	return false;
}

static GOptionEntry *entries_build(const struct cfg_option *options,
				   struct cli_value *cli_value, size_t count)
{
	GOptionEntry *entries = g_new0(GOptionEntry, count + 1);

	for (size_t i = 0; i < count; i++) {
		entries[i].long_name = options[i].name;
		entries[i].description = options[i].help;
		entries[i].arg_description = options[i].argument;
		if (options[i].type == CFG_BOOL) {
			entries[i].arg = G_OPTION_ARG_NONE;
			entries[i].arg_data = &cli_value[i].flag;
		} else if (options[i].type == CFG_LIST) {
			entries[i].arg = G_OPTION_ARG_STRING_ARRAY;
			entries[i].arg_data = &cli_value[i].list;
		} else {
			entries[i].arg = G_OPTION_ARG_STRING;
			entries[i].arg_data = &cli_value[i].text;
		}
	}
	return entries;
}

static bool command_line_parse(const GOptionEntry *entries, const char *summary,
			       int *argc, char ***argv, GError **error)
{
	GOptionContext *context = g_option_context_new(NULL);
	bool ok;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, error);
	g_option_context_free(context);
	return ok;
}

bool cfg_parse(const struct cfg_option *options, const char *summary, int *argc,
	       char ***argv, void *target, GError **error)
{
	size_t count = option_count(options);
	g_autofree struct cli_value *cli_value =
		g_new0(struct cli_value, count);
	g_autofree GOptionEntry *entries =
		entries_build(options, cli_value, count);
	bool ok = command_line_parse(entries, summary, argc, argv, error);

	for (size_t i = 0; i < count; i++) {
		if (ok)
			ok = option_resolve(&options[i], &cli_value[i], target,
					    error);
		g_free(cli_value[i].text);
		g_strfreev(cli_value[i].list);
	}
	return ok;
}

void cfg_clear(const struct cfg_option *options, void *target)
{
	for (; options->name; options++) {
		void *member = (char *)target + options->offset;

		if (options->type == CFG_TEXT)
			g_clear_pointer((char **)member, g_free);
		else if (options->type == CFG_LIST)
			g_clear_pointer((char ***)member, g_strfreev);
	}
}
