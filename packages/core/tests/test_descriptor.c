/**
 * @file test_descriptor.c
 * @brief Tests of the division of descriptors at small and real limits.
 */
#include <check.h>
#include <stdint.h>
#include <stdlib.h>

#include "descriptor.h"

/* Descriptors that a process uses before any caller or worker connects:
 * listeners, event queue, standard streams, the platform and peers. */
#define BASE_DESCRIPTORS 20
/* Ports for probes, metrics and peers. */
#define PROBE_PORTS 3
/* Connections beyond a bound for which a server answers 503. */
#define REFUSAL_SHARE 16
#define REFUSALS_MIN 4
/* Connections to workers of the owner of a fleet of 999 workers. */
#define OWNER_CONNECTIONS 2130

static uint32_t with_refusals(uint32_t connections)
{
	uint32_t refusals = connections / REFUSAL_SHARE;

	return connections +
	       (refusals > REFUSALS_MIN ? refusals : REFUSALS_MIN);
}

/* In job mode. */
static uint32_t accepted_max(uint32_t sockets)
{
	struct descriptor_plan plan =
		descriptor_plan(sockets, DESCRIPTOR_USE_WORKERS);

	return with_refusals(plan.caller_connections) +
	       PROBE_PORTS * with_refusals(plan.probe_connections);
}

/* In proxy mode, with a connection to a backend server for each caller's. */
static uint32_t connections_max(uint32_t sockets)
{
	uint32_t callers = descriptor_plan(sockets, DESCRIPTOR_USE_BACKENDS)
				   .caller_connections;

	return with_refusals(callers) + callers;
}

START_TEST(test_files_are_subtracted_from_the_limit_of_the_vm)
{
	ck_assert_uint_eq(descriptor_sockets(64, 0), 64);
	ck_assert_uint_eq(descriptor_sockets(64, 4100), 64);
	ck_assert_uint_eq(descriptor_sockets(20000, 4100), 3900);
	ck_assert_uint_eq(descriptor_sockets(20000, 8192), 7992);
	ck_assert_uint_eq(descriptor_sockets(1024, 4100), 1024);
	ck_assert_uint_eq(descriptor_sockets(20000, 300), 150);
	ck_assert_uint_eq(descriptor_sockets(UINT64_MAX, 0), UINT32_MAX);
	ck_assert_uint_eq(descriptor_sockets(0, 4100), 3900);
	ck_assert_uint_eq(descriptor_sockets(0, 0), 1024);
}
END_TEST

START_TEST(test_callers_leave_descriptors_at_every_limit)
{
	const uint32_t limits[] = { 64, 256, 1024, 3900, 4100, 7992, 8192 };

	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		uint32_t sockets = limits[i];

		ck_assert_uint_ge(
			descriptor_plan(sockets, DESCRIPTOR_USE_WORKERS)
				.caller_connections,
			8);
		ck_assert_uint_le(accepted_max(sockets) + BASE_DESCRIPTORS,
				  sockets);
		ck_assert_uint_le(connections_max(sockets) + BASE_DESCRIPTORS,
				  sockets);
	}
}
END_TEST

START_TEST(test_the_owner_keeps_its_connections_to_workers)
{
	ck_assert_uint_ge(3900 - accepted_max(3900) - BASE_DESCRIPTORS,
			  OWNER_CONNECTIONS);
	ck_assert_uint_ge(7992 - accepted_max(7992) - BASE_DESCRIPTORS, 4000);
}
END_TEST

START_TEST(test_plan_of_known_limits)
{
	struct descriptor_plan plan =
		descriptor_plan(64, DESCRIPTOR_USE_WORKERS);

	ck_assert_uint_eq(plan.caller_connections, 9);
	ck_assert_uint_eq(plan.probe_connections, 4);
	plan = descriptor_plan(1024, DESCRIPTOR_USE_WORKERS);
	ck_assert_uint_eq(plan.caller_connections, 240);
	plan = descriptor_plan(3900, DESCRIPTOR_USE_WORKERS);
	ck_assert_uint_eq(plan.caller_connections, 959);
	ck_assert_uint_eq(plan.probe_connections, 32);
	plan = descriptor_plan(7992, DESCRIPTOR_USE_WORKERS);
	ck_assert_uint_eq(plan.caller_connections, 1982);
	plan = descriptor_plan(1024, DESCRIPTOR_USE_BACKENDS);
	ck_assert_uint_eq(plan.caller_connections, 460);
}
END_TEST

START_TEST(test_tiny_limits_still_accept)
{
	for (uint32_t sockets = 0; sockets < 64; sockets++)
		ck_assert_uint_ge(
			descriptor_plan(sockets, DESCRIPTOR_USE_WORKERS)
				.caller_connections,
			1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("descriptor");
	TCase *tcase = tcase_create("descriptor");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase,
		       test_files_are_subtracted_from_the_limit_of_the_vm);
	tcase_add_test(tcase, test_callers_leave_descriptors_at_every_limit);
	tcase_add_test(tcase, test_the_owner_keeps_its_connections_to_workers);
	tcase_add_test(tcase, test_plan_of_known_limits);
	tcase_add_test(tcase, test_tiny_limits_still_accept);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
