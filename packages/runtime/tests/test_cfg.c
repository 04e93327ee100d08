#include <check.h>
#include <string.h>

#include "cfg.h"
#include "timer.h"

struct target {
	char *text;
	char **list;
	uint32_t number;
	bool flag;
	struct cfg_endpoint endpoint;
};

#define AT(member) offsetof(struct target, member)

static const struct cfg_option options[] = {
	{ "a-text", CFG_TEXT, AT(text), "fallback", 0, 0, "a text", "TEXT" },
	{ "a-list", CFG_LIST, AT(list), NULL, 0, 0, "a list", "ITEM" },
	{ "a-number", CFG_U32, AT(number), "7", 5, 10, "a number", "N" },
	{ "a-flag", CFG_BOOL, AT(flag), NULL, 0, 0, "a flag", NULL },
	{ "an-endpoint", CFG_ENDPOINT, AT(endpoint), NULL, 0, 0, "an address",
	  "IP:PORT" },
	{ 0 },
};

static const char *const variables[] = {
	"SASSAFRASCART_A_TEXT",	     "SASSAFRASCART_A_LIST",
	"SASSAFRASCART_A_NUMBER",    "SASSAFRASCART_A_FLAG",
	"SASSAFRASCART_AN_ENDPOINT",
};

/* Parses a command line given as one text; returns the error's message. */
static char *parse(const char *line, struct target *target)
{
	g_auto(GStrv) words = g_strsplit(line, " ", -1);
	char **argv =
		g_memdup2(words, sizeof(*words) * (g_strv_length(words) + 1));
	char **rest = argv;
	int argc = (int)g_strv_length(words);
	GError *error = NULL;
	char *message = NULL;

	memset(target, 0, sizeof(*target));
	if (!cfg_parse(options, "test", &argc, &rest, target, &error))
		message = g_strdup(error->message);
	g_clear_error(&error);
	g_free(argv);
	return message;
}

static void tear_down(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(variables); i++)
		g_unsetenv(variables[i]);
}

START_TEST(flag_goes_before_environment_before_default)
{
	struct target target;

	g_setenv("SASSAFRASCART_AN_ENDPOINT", "10.0.0.1:80", TRUE);
	ck_assert_ptr_null(parse("x", &target));
	ck_assert_str_eq(target.text, "fallback");
	ck_assert_uint_eq(target.number, 7);
	ck_assert(!target.flag && !target.list);
	ck_assert_str_eq(target.endpoint.ip, "10.0.0.1");
	cfg_clear(options, &target);
	g_setenv("SASSAFRASCART_A_TEXT", "variable", TRUE);
	g_setenv("SASSAFRASCART_A_NUMBER", "8", TRUE);
	g_setenv("SASSAFRASCART_A_FLAG", "true", TRUE);
	g_setenv("SASSAFRASCART_A_LIST", "p,q", TRUE);
	ck_assert_ptr_null(parse("x --a-number 9", &target));
	ck_assert_str_eq(target.text, "variable");
	ck_assert_uint_eq(target.number, 9);
	ck_assert(target.flag);
	ck_assert_str_eq(target.list[1], "q");
	cfg_clear(options, &target);
	ck_assert_ptr_null(
		parse("x --a-text flag --a-list r --an-endpoint 127.0.0.1:0",
		      &target));
	ck_assert_str_eq(target.text, "flag");
	ck_assert_str_eq(target.list[0], "r");
	ck_assert_ptr_null(target.list[1]);
	ck_assert_uint_eq(target.endpoint.port, 0);
	cfg_clear(options, &target);
	ck_assert_ptr_null(target.text);
}
END_TEST

/* Each message names the setting, what was expected and what was found. */
static const struct {
	const char *line;
	const char *variable;
	const char *value;
	const char *message;
} bad[] = {
	{ "x", NULL, NULL,
	  "--an-endpoint: expected a value from the flag or from "
	  "SASSAFRASCART_AN_ENDPOINT, found none" },
	{ "x --an-endpoint 1.2.3:4", NULL, NULL,
	  "--an-endpoint: expected an address as IPv4:PORT, found '1.2.3:4'" },
	{ "x --an-endpoint 1.2.3.4:65536", NULL, NULL,
	  "found '1.2.3.4:65536'" },
	{ "x --an-endpoint 1.2.3.4", NULL, NULL, "found '1.2.3.4'" },
	{ "x --an-endpoint :1", NULL, NULL, "found ':1'" },
	{ "x --an-endpoint 1111.2222.3333.4444:1", NULL, NULL, "IPv4:PORT" },
	{ "x --a-number 4", NULL, NULL,
	  "--a-number: expected a whole number from 5 to 10, found '4'" },
	{ "x --a-number 11", NULL, NULL, "found '11'" },
	{ "x --a-number 7x", NULL, NULL, "found '7x'" },
	{ "x", "SASSAFRASCART_A_NUMBER", "", "found ''" },
	{ "x", "SASSAFRASCART_A_NUMBER", "-7", "found '-7'" },
	{ "x", "SASSAFRASCART_A_FLAG", "yes",
	  "--a-flag: expected true or false, found 'yes'" },
	{ "x --unknown", NULL, NULL, "Unknown option --unknown" },
	{ "x --a-text", NULL, NULL, "Missing argument for --a-text" },
};

START_TEST(bad_values_name_the_setting)
{
	g_autofree char *message = NULL;
	struct target target;

	if (bad[_i].variable)
		g_setenv(bad[_i].variable, bad[_i].value, TRUE);
	if (!strstr(bad[_i].message, "an-endpoint"))
		g_setenv("SASSAFRASCART_AN_ENDPOINT", "10.0.0.1:80", TRUE);
	message = parse(bad[_i].line, &target);
	ck_assert_ptr_nonnull(message);
	ck_assert_msg(strstr(message, bad[_i].message) != NULL, "'%s'",
		      message);
	cfg_clear(options, &target);
}
END_TEST

#define TIMERS 200

struct timers {
	struct timer_queue *queue;
	struct timer entries[TIMERS];
	uint64_t last_due_ms;
	uint32_t fired;
	uint64_t now_ms;
};

static struct timers timers;

static void on_timer(void *data)
{
	struct timer *entry = data;

	ck_assert(entry->due_ms <= timers.now_ms);
	ck_assert(entry->due_ms >= timers.last_due_ms);
	timers.last_due_ms = entry->due_ms;
	timers.fired++;
	/* A timer may be set again from its own callback. */
	if (timers.fired == 1)
		timer_set(timers.queue, entry, timers.now_ms + 1000);
}

START_TEST(timers_fire_once_in_order)
{
	uint32_t cancelled = 0;

	timers.queue = timer_queue_create();
	ck_assert_uint_eq(timer_queue_wait_ms(timers.queue, 0, 77), 77);
	for (uint32_t i = 0; i < TIMERS; i++) {
		timers.entries[i].cb = on_timer;
		timers.entries[i].data = &timers.entries[i];
		timer_set(timers.queue, &timers.entries[i],
			  g_random_int() % 500);
		timer_set(timers.queue, &timers.entries[i],
			  g_random_int() % 500);
	}
	for (uint32_t i = 0; i < TIMERS; i += 3, cancelled++) {
		timer_cancel(&timers.entries[i]);
		timer_cancel(&timers.entries[i]);
		ck_assert(!timer_is_set(&timers.entries[i]));
	}
	for (timers.now_ms = 0; timers.now_ms <= 500; timers.now_ms += 7)
		timer_queue_run(timers.queue, timers.now_ms);
	timers.now_ms = 510;
	timer_queue_run(timers.queue, timers.now_ms);
	ck_assert_uint_eq(timers.fired, TIMERS - cancelled);
	ck_assert_uint_gt(timer_queue_wait_ms(timers.queue, 510, 5000), 400);
	timers.now_ms = 5000;
	timer_queue_run(timers.queue, timers.now_ms);
	ck_assert_uint_eq(timers.fired, TIMERS - cancelled + 1);
	timer_queue_destroy(timers.queue);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("cfg");
	Suite *suite = suite_create("cfg");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, NULL, tear_down);
	tcase_add_test(tcase, flag_goes_before_environment_before_default);
	tcase_add_loop_test(tcase, bad_values_name_the_setting, 0,
			    G_N_ELEMENTS(bad));
	tcase_add_test(tcase, timers_fire_once_in_order);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
