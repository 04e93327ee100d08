#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "daemon.h"
#include "jobd.h"
#include "log.h"
#include "settings.h"
#include "signing.h"

static void on_signal(void *data, int signo)
{
	if (signo == SIGHUP)
		daemon_reload(data);
	else
		daemon_shut_down(data);
}

static int daemon_run(const struct settings *settings)
{
	struct loop *loop = loop_create();
	struct daemon *daemon = NULL;
	const char *setting = NULL;
	enum err_kind err = daemon_create(loop, settings, &daemon, &setting);

	if (err == ERR_NONE) {
		err = loop_signals_watch(loop, on_signal, daemon);
		setting = "signals";
	}
	if (err == ERR_NONE)
		loop_run_until_stopped(loop);
	else
		fprintf(stderr, "sassafrascartd: --%s: %s\n", setting,
			err_describe(err));
	daemon_destroy(daemon);
	loop_destroy(loop);
	return err_exit_code(err);
}

/*
 * Validates the operator keys, to report which file is at fault;
 * daemon_create() loads the keys.
 */
static bool keys_check(const struct settings *settings)
{
	char **keys = settings->operator_keys;
	struct signing_trust_store *trust = NULL;
	enum err_kind err = ERR_NONE;
	g_autoptr(GError) error = NULL;

	for (; *keys && err == ERR_NONE; keys++) {
		const char *const one[] = { *keys, NULL };

		err = signing_trust_store_create(one, 1, &trust, &error);
		g_clear_pointer(&trust, signing_trust_store_destroy);
		if (err != ERR_NONE)
			fprintf(stderr,
				"sassafrascartd: --operator-key: expected a "
				"readable Ed25519 public key, found '%s': %s "
				"%s\n",
				*keys, err_describe(err), error->message);
	}
	if (err != ERR_NONE)
		return false;
	err = signing_trust_store_create(
		(const char *const *)settings->operator_keys,
		settings->signatures_required, &trust, NULL);
	signing_trust_store_destroy(trust);
	if (err != ERR_NONE)
		fprintf(stderr,
			"sassafrascartd: --signatures-required: expected at "
			"most the number of different keys, found %u\n",
			settings->signatures_required);
	return err == ERR_NONE;
}

static int settings_run(const struct settings *settings)
{
	if (settings->version) {
		puts("sassafrascartd " SASSAFRASCART_VERSION);
		return 0;
	}
	if (log_install(settings->id, settings->log_level) != ERR_NONE) {
		fprintf(stderr,
			"sassafrascartd: --log-level: expected error, warning, "
			"info or debug, found '%s'\n",
			settings->log_level);
		return err_exit_code(ERR_USAGE);
	}
	if (!keys_check(settings))
		return err_exit_code(ERR_USAGE);
	if (settings->check_config) {
		puts("the settings are valid");
		return 0;
	}
	log_set_output(STDOUT_FILENO, 0);
	return daemon_run(settings);
}

int main(int argc, char **argv)
{
	struct settings settings = { 0 };
	GError *error = NULL;
	int status;

	loop_signals_block();
	log_standard_descriptors_open();
	if (jobd_is_requested(argc, argv))
		return jobd_main(argc, argv);
	if (!settings_parse(&argc, &argv, &settings, &error)) {
		fprintf(stderr, "sassafrascartd: %s\n", error->message);
		g_error_free(error);
		settings_clear(&settings);
		return err_exit_code(ERR_USAGE);
	}
	status = settings_run(&settings);
	settings_clear(&settings);
	return status;
}
