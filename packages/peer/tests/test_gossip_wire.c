#include <check.h>
#include <glib.h>
#include <string.h>

#include "gossip_wire.h"

#define RANDOM_DATAGRAMS 200000
#define RANDOM_MAX_BYTES 400

/* Takes every reply as one to the procedure that data points to. */
static bool procedure_of(void *data, uint32_t xid, uint32_t *procedure)
{
	if (!data)
		return false;
	*procedure = *(const uint32_t *)data;
	return true;
}

static void message_make(enum gossip_wire_kind kind,
			 struct gossip_wire_message *out)
{
	const struct gossip_heartbeat heartbeat = {
		.from = { .id = "entry-1",
			  .ip = "10.0.0.1",
			  .http_port = 80,
			  .rpc_port = 65535,
			  .incarnation = UINT64_MAX },
		.head = { .roll = 7,
			  .version = 8,
			  .placement_number = 1ull << 40 },
		.applied_roll = 6,
		.applied_placement = 5,
		.shutting_down = true,
		.loads = { { 7, 8 }, { UINT32_MAX, UINT32_MAX } },
		.load_count = GOSSIP_LOADS_MAX,
		.caught_up = true,
		.confirmed_age_ms = 1234,
	};

	memset(out, 0, sizeof(*out));
	out->kind = kind;
	out->xid = 0xdeadbeef;
	out->heartbeat = heartbeat;
	memset(out->heartbeat.head.digest, 'a', HEAD_DIGEST_BYTES - 1);
	memset(out->heartbeat.from.id, 'x', MEMBER_ID_BYTES - 1);
	out->fetch.document = GOSSIP_DOCUMENT_PLACEMENT;
	out->fetch.number = 9;
	out->fetch.offset = 8192;
	out->chunk.total = 100000;
	out->chunk.offset = 8192;
	out->chunk.len = PEER_CHUNK_MAX;
	memset(out->chunk.bytes, 'c', PEER_CHUNK_MAX);
}

static const struct {
	enum gossip_wire_kind kind;
	uint32_t procedure;
} kinds[] = {
	{ GOSSIP_WIRE_HEARTBEAT_CALL, PEER_HEARTBEAT },
	{ GOSSIP_WIRE_HEARTBEAT_REPLY, PEER_HEARTBEAT },
	{ GOSSIP_WIRE_FETCH_CALL, PEER_FETCH },
	{ GOSSIP_WIRE_FETCH_REPLY, PEER_FETCH },
};

START_TEST(message_survives_the_wire)
{
	uint32_t procedure = kinds[_i].procedure;
	static char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];
	static char again[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];
	static struct gossip_wire_message in;
	static struct gossip_wire_message out;
	size_t len;

	message_make(kinds[_i].kind, &in);
	memset(&out, 0, sizeof(out));
	len = gossip_wire_encode(&in, buffer);
	ck_assert_int_eq(
		gossip_wire_decode(buffer, len, procedure_of, &procedure, &out),
		ERR_NONE);
	ck_assert_int_eq(out.kind, in.kind);
	ck_assert_uint_eq(out.xid, in.xid);
	if (kinds[_i].procedure == PEER_HEARTBEAT)
		ck_assert_mem_eq(out.heartbeat.loads, in.heartbeat.loads,
				 sizeof(in.heartbeat.loads));
	ck_assert_uint_eq(gossip_wire_encode(&out, again), len);
	ck_assert_mem_eq(again, buffer, len);
	/* No shorter datagram is taken for a whole one. */
	for (size_t part = 0; part < len; part += 1 + part / 64)
		ck_assert_int_ne(gossip_wire_decode(buffer, part, procedure_of,
						    &procedure, &out),
				 ERR_NONE);
}
END_TEST

START_TEST(reply_to_no_call_is_told_apart)
{
	char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];
	struct gossip_wire_message message;
	size_t len;

	message_make(GOSSIP_WIRE_HEARTBEAT_REPLY, &message);
	len = gossip_wire_encode(&message, buffer);
	ck_assert_int_eq(
		gossip_wire_decode(buffer, len, procedure_of, NULL, &message),
		ERR_NOT_FOUND);
	message_make(GOSSIP_WIRE_HEARTBEAT_CALL, &message);
	message.heartbeat.from.id[0] = '\0';
	len = gossip_wire_encode(&message, buffer);
	ck_assert_int_eq(
		gossip_wire_decode(buffer, len, procedure_of, NULL, &message),
		ERR_MALFORMED);
}
END_TEST

/* Random bytes, and valid messages with some bytes changed. */
START_TEST(random_bytes_do_no_harm)
{
	guint32 seed = g_random_int();
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	static char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];
	static struct gossip_wire_message message;

	for (int i = 0; i < RANDOM_DATAGRAMS; i++) {
		size_t kind = g_rand_int(rand) % G_N_ELEMENTS(kinds);
		uint32_t procedure = kinds[kind].procedure;
		size_t len = g_rand_int(rand) % RANDOM_MAX_BYTES;

		if (i % 2 == 0) {
			for (size_t at = 0; at < len; at++)
				buffer[at] = (char)g_rand_int(rand);
		} else {
			message_make(kinds[kind].kind, &message);
			len = gossip_wire_encode(&message, buffer);
			for (uint32_t n = g_rand_int(rand) % 4; n > 0; n--)
				buffer[g_rand_int(rand) % MIN(len, 300)] =
					(char)g_rand_int(rand);
		}
		if (gossip_wire_decode(buffer, len, procedure_of, &procedure,
				       &message) == ERR_NONE)
			ck_assert_msg(message.chunk.len <= PEER_CHUNK_MAX,
				      "seed %u", seed);
	}
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("per_wire");
	Suite *suite = suite_create("per_wire");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(tcase, message_survives_the_wire, 0,
			    G_N_ELEMENTS(kinds));
	tcase_add_test(tcase, reply_to_no_call_is_told_apart);
	tcase_add_test(tcase, random_bytes_do_no_harm);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
