#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "gossip_wire.h"

static bool no_call(void *data, uint32_t xid, uint32_t *procedure)
{
	return false;
}

static struct gossip_wire_message report_of(uint32_t count)
{
	struct gossip_wire_message message = { .kind = GOSSIP_WIRE_SLOT_REPORT,
					       .xid = 7,
					       .from = "entry-1" };

	message.report.pool = UINT64_MAX;
	message.report.incarnation = 1;
	message.report.sequence = 2;
	message.report.in_use = 3;
	message.report.waiting = 4;
	message.report.spare = 5;
	message.report.count = count;
	for (uint32_t i = 0; i < count; i++)
		message.report.holdings[i] = (struct slot_holding){
			.vm = UINT64_MAX - i, .held = i, .avoid = i % 2
		};
	return message;
}

START_TEST(report_survives_the_wire)
{
	struct gossip_wire_message sent = report_of(SLOT_VMS_MAX);
	struct gossip_wire_message got = { 0 };
	char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];
	size_t len = gossip_wire_encode(&sent, buffer);

	ck_assert_int_eq(gossip_wire_decode(buffer, len, no_call, NULL, &got),
			 ERR_NONE);
	ck_assert_int_eq(got.kind, GOSSIP_WIRE_SLOT_REPORT);
	ck_assert_str_eq(got.from, "entry-1");
	ck_assert_uint_eq(got.report.holder, slot_key("entry-1"));
	ck_assert_uint_eq(got.report.pool, sent.report.pool);
	ck_assert_uint_eq(got.report.incarnation, 1);
	ck_assert_uint_eq(got.report.sequence, 2);
	ck_assert_uint_eq(got.report.in_use, 3);
	ck_assert_uint_eq(got.report.waiting, 4);
	ck_assert_uint_eq(got.report.spare, 5);
	ck_assert_uint_eq(got.report.count, SLOT_VMS_MAX);
	ck_assert_uint_eq(got.report.holdings[255].vm, UINT64_MAX - 255);
	ck_assert_uint_eq(got.report.holdings[255].held, 255);
	ck_assert(got.report.holdings[255].avoid);
}
END_TEST

START_TEST(grant_survives_the_wire)
{
	struct gossip_wire_message sent = {
		.kind = GOSSIP_WIRE_SLOT_GRANT,
		.from = "entry-2",
		.grant = { .pool = 1,
			   .incarnation = 2,
			   .sequence = 3,
			   .version = 4,
			   .recovering = true,
			   .in_use_max = SLOT_IN_USE_UNLIMITED,
			   .count = 1,
			   .holdings = { { .vm = 5, .held = 6 } } },
	};
	struct gossip_wire_message got = { 0 };
	char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];
	size_t len = gossip_wire_encode(&sent, buffer);

	ck_assert_int_eq(gossip_wire_decode(buffer, len, no_call, NULL, &got),
			 ERR_NONE);
	ck_assert_int_eq(got.kind, GOSSIP_WIRE_SLOT_GRANT);
	ck_assert_uint_eq(got.grant.pool, 1);
	ck_assert_uint_eq(got.grant.incarnation, 2);
	ck_assert_uint_eq(got.grant.sequence, 3);
	ck_assert_uint_eq(got.grant.version, 4);
	ck_assert(got.grant.recovering);
	ck_assert_uint_eq(got.grant.in_use_max, SLOT_IN_USE_UNLIMITED);
	ck_assert_uint_eq(got.grant.count, 1);
	ck_assert_uint_eq(got.grant.holdings[0].vm, 5);
	ck_assert_uint_eq(got.grant.holdings[0].held, 6);
}
END_TEST

/* Whatever decodes is also safe to hand to the owner. */
START_TEST(changed_bytes_are_refused_or_harmless)
{
	const struct slot_vm vm = { .key = UINT64_MAX,
				    .slots = 8,
				    .ready = true };
	struct slot_owner *owner = slot_owner_create(UINT64_MAX, 1000);
	uint32_t seed = g_random_int();
	GRand *rand = g_rand_new_with_seed(seed);
	struct slot_grant grant;

	printf("test_slot_wire seed %u\n", seed);
	slot_owner_set_vms(owner, &vm, 1);
	slot_owner_tick(owner, 1000 + SLOT_OWNER_RECOVERY_MS - 1);
	slot_owner_tick(owner, 1000 + SLOT_OWNER_RECOVERY_MS);
	for (uint32_t run = 0; run < 5000; run++) {
		struct gossip_wire_message sent = report_of(3);
		struct gossip_wire_message got = { 0 };
		char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];
		size_t len = gossip_wire_encode(&sent, buffer);

		for (int i = 0; i < 4; i++)
			buffer[g_rand_int_range(rand, 40, (gint32)len)] =
				(char)g_rand_int(rand);
		len -= (size_t)g_rand_int_range(rand, 0, 2) * 4;
		if (gossip_wire_decode(buffer, len, no_call, NULL, &got) !=
			    ERR_NONE ||
		    got.kind != GOSSIP_WIRE_SLOT_REPORT)
			continue;
		slot_owner_record_report(owner, &got.report,
					 1000 + SLOT_OWNER_RECOVERY_MS);
		while (slot_owner_next_grant(owner, &grant))
			ck_assert_uint_le(grant.count, 1);
		ck_assert_uint_le(got.report.count, SLOT_VMS_MAX);
	}
	g_rand_free(rand);
	slot_owner_destroy(owner);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("slot_wire");
	TCase *cases = tcase_create("slot_wire");
	SRunner *runner;
	int failed;

	tcase_add_test(cases, report_survives_the_wire);
	tcase_add_test(cases, grant_survives_the_wire);
	tcase_add_test(cases, changed_bytes_are_refused_or_harmless);
	tcase_set_timeout(cases, 50);
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
