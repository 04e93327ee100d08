#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"

#define AT(member) offsetof(struct cli_settings, member)

static const struct cfg_option cli_options[] = {
	{ "platform", CFG_ENDPOINT, AT(platform), "127.0.0.1:2379", 0, 0,
	  "address of the platform's service", "IP:PORT" },
	{ "platform-adapter", CFG_TEXT, AT(platform_adapter), "etcd", 0, 0,
	  "wire protocol of the platform's service", "NAME" },
	{ "operator-key", CFG_LIST, AT(operator_keys), NULL, 0, 0,
	  "public key (PEM) whose signatures are trusted; repeatable", "FILE" },
	{ "signatures-required", CFG_U32, AT(signatures_required), "1", 1, 16,
	  "number of distinct trusted signatures that a bundle needs", "N" },
	{ "output", CFG_TEXT, AT(output), "text", 0, 0, "text or json",
	  "FORMAT" },
	{ "process", CFG_ENDPOINT, AT(process), "127.0.0.1:9464", 0, 0,
	  "metrics address of a process of the job service", "IP:PORT" },
	{ "key", CFG_TEXT, AT(key), "", 0, 0, "private key (PEM) to sign with",
	  "FILE" },
	{ "out", CFG_TEXT, AT(out), "", 0, 0, "file for the signed bundle",
	  "FILE" },
	{ "timeout-ms", CFG_U32, AT(timeout_ms), "2000", 10, 600000,
	  "timeout of one call to the platform or a process", "MS" },
	{ "wait-ms", CFG_U32, AT(wait_ms), "10000", 0, 600000,
	  "how long to wait until a roll is in force everywhere", "MS" },
	{ "version", CFG_BOOL, AT(version), NULL, 0, 0,
	  "print the version and exit", NULL },
	{ 0 },
};

/* A command, named by one or two words. */
struct command {
	const char *first;
	const char *second;
	int arguments;
	cli_command_fn run;
	const char *usage;
};

static const struct command commands[] = {
	{ "keygen", NULL, 1, cmd_keygen, "keygen NAME" },
	{ "bundle", "check", 1, cmd_bundle_check, "bundle check FILE" },
	{ "bundle", "sign", 1, cmd_bundle_sign,
	  "bundle sign FILE --key FILE --out FILE" },
	{ "bundle", "publish", 1, cmd_bundle_publish, "bundle publish FILE" },
	{ "roll", NULL, 1, cmd_roll, "roll VERSION" },
	{ "rollback", NULL, 1, cmd_rollback, "rollback VERSION" },
	{ "status", NULL, 0, cmd_status, "status" },
	{ "explain", "job", 1, cmd_explain_job,
	  "explain job ID --process IP:PORT" },
	{ "explain", "request", 1, cmd_explain_request,
	  "explain request QUEUE[/ACCOUNT[/CPU_MILLI[/MEMORY_MB]]] "
	  "--process IP:PORT" },
	{ "explain", NULL, 2, cmd_explain, "explain vm|pool|wave|roll NAME" },
};

static char *summary_build(void)
{
	GString *text = g_string_new("Operates a fleet of sassafrascart.\n\n"
				     "Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(text, "  %s\n", commands[i].usage);
	return g_string_free(text, FALSE);
}

static bool command_matches(const struct command *command, int argc,
			    char **argv, int *words)
{
	*words = command->second ? 2 : 1;
	if (argc < *words || strcmp(argv[0], command->first) != 0)
		return false;
	return !command->second || strcmp(argv[1], command->second) == 0;
}

static int command_run(struct cli_context *ctx, int argc, char **argv)
{
	int words;

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!command_matches(&commands[i], argc, argv, &words))
			continue;
		if (argc - words != commands[i].arguments)
			return cli_report(ctx, ERR_USAGE, NULL, "expected %s",
					  commands[i].usage);
		return commands[i].run(ctx, argv + words);
	}
	return cli_report(ctx, ERR_USAGE, NULL,
			  "expected a command, see 'sassafrasctl --help'");
}

static int settings_run(const struct cli_settings *settings, int argc,
			char **argv)
{
	struct cli_context *ctx;
	int status;

	if (settings->version) {
		puts("sassafrasctl " SASSAFRASCART_VERSION);
		return 0;
	}
	if (strcmp(settings->output, "text") != 0 &&
	    strcmp(settings->output, "json") != 0) {
		fprintf(stderr,
			"sassafrasctl: --output: expected text or json, found "
			"'%s'\n",
			settings->output);
		return err_exit_code(ERR_USAGE);
	}
	ctx = cli_context_create(settings);
	status = command_run(ctx, argc - 1, argv + 1);
	cli_context_destroy(ctx);
	return status;
}

int main(int argc, char **argv)
{
	struct cli_settings settings = { 0 };
	g_autofree char *summary = summary_build();
	GError *error = NULL;
	int status;

	signal(SIGPIPE, SIG_IGN);
	if (!cfg_parse(cli_options, summary, &argc, &argv, &settings, &error)) {
		fprintf(stderr, "sassafrasctl: %s\n", error->message);
		g_error_free(error);
		cfg_clear(cli_options, &settings);
		return err_exit_code(ERR_USAGE);
	}
	status = settings_run(&settings, argc, argv);
	cfg_clear(cli_options, &settings);
	return status;
}
