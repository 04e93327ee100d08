#include <signal.h>
#include <stdio.h>

#include "ent.h"
#include "jpr.h"
#include "log.h"
#include "set.h"
#include "signing.h"

static void on_signal(void *data, int signo)
{
	ent_entry_shut_down(data);
}

static int entry_run(const struct set_settings *settings)
{
	struct loop *loop = loop_create();
	struct ent_entry *entry = NULL;
	const char *what = NULL;
	enum err_kind err = ent_entry_create(loop, settings, &entry, &what);

	if (err == ERR_NONE) {
		err = loop_signals_watch(loop, on_signal, entry);
		what = "signals";
	}
	if (err == ERR_NONE)
		loop_run_until_stopped(loop);
	else
		fprintf(stderr, "sassafrascartd: --%s: %s\n", what,
			err_describe(err));
	ent_entry_destroy(entry);
	loop_destroy(loop);
	return err_exit_code(err);
}

/* Names the key file that cannot be used; ent_entry_create() loads them. */
static bool keys_check(const struct set_settings *settings)
{
	char **keys = settings->operator_keys;
	struct signing_trust_store *trust = NULL;
	enum err_kind err = ERR_NONE;

	for (; *keys && err == ERR_NONE; keys++) {
		const char *const one[] = { *keys, NULL };

		err = signing_trust_store_create(one, 1, &trust);
		g_clear_pointer(&trust, signing_trust_store_destroy);
		if (err != ERR_NONE)
			fprintf(stderr,
				"sassafrascartd: --operator-key: expected a "
				"readable Ed25519 public key, found '%s': %s\n",
				*keys, err_describe(err));
	}
	if (err != ERR_NONE)
		return false;
	err = signing_trust_store_create(
		(const char *const *)settings->operator_keys,
		settings->signatures_required, &trust);
	signing_trust_store_destroy(trust);
	if (err != ERR_NONE)
		fprintf(stderr,
			"sassafrascartd: --signatures-required: expected at "
			"most the number of different keys, found %u\n",
			settings->signatures_required);
	return err == ERR_NONE;
}

static int settings_run(const struct set_settings *settings)
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
	return entry_run(settings);
}

int main(int argc, char **argv)
{
	struct set_settings settings = { 0 };
	GError *error = NULL;
	int status;

	signal(SIGPIPE, SIG_IGN);
	if (jpr_is_asked_for(argc, argv))
		return jpr_main(argc, argv);
	if (!set_parse(&argc, &argv, &settings, &error)) {
		fprintf(stderr, "sassafrascartd: %s\n", error->message);
		g_error_free(error);
		set_clear(&settings);
		return err_exit_code(ERR_USAGE);
	}
	status = settings_run(&settings);
	set_clear(&settings);
	return status;
}
