#include <check.h>
#include <string.h>

#include "etcd_json.h"
#include "stored_value.h"

/* Responses of the etcd gateway with the expected result of each parser. */
static const struct {
	const char *text;
	enum err_kind result;
	enum err_kind lease;
	enum err_kind vms;
} responses[] = {
	{ "{}", ERR_MALFORMED, ERR_NONE, ERR_MALFORMED },
	{ "[]", ERR_MALFORMED, ERR_NONE, ERR_MALFORMED },
	{ "{\"header\":{\"revision\":\"7\"}}", ERR_NONE, ERR_NONE,
	  ERR_MALFORMED },
	{ "{\"header\":{\"revision\":\"x\"}}", ERR_MALFORMED, ERR_NONE,
	  ERR_MALFORMED },
	{ "{\"header\":{},\"kvs\":{}}", ERR_MALFORMED, ERR_NONE,
	  ERR_MALFORMED },
	{ "{\"header\":{},\"kvs\":[3]}", ERR_MALFORMED, ERR_NONE,
	  ERR_MALFORMED },
	{ "{\"header\":{},\"kvs\":[{\"key\":7}]}", ERR_MALFORMED, ERR_NONE,
	  ERR_MALFORMED },
	/* "YQBi" is a key that contains a NUL byte */
	{ "{\"header\":{},\"kvs\":[{\"key\":\"YQBi\"}]}", ERR_MALFORMED,
	  ERR_NONE, ERR_MALFORMED },
	{ "{\"header\":{},\"responses\":3}", ERR_MALFORMED, ERR_NONE,
	  ERR_MALFORMED },
	{ "{\"ID\":\"5\",\"TTL\":\"9\"}", ERR_MALFORMED, ERR_NONE,
	  ERR_MALFORMED },
	{ "{\"result\":{\"ID\":\"5\"}}", ERR_MALFORMED, ERR_NOT_FOUND,
	  ERR_MALFORMED },
	{ "{\"ID\":\"5\",\"TTL\":\"-1\"}", ERR_MALFORMED, ERR_NOT_FOUND,
	  ERR_MALFORMED },
	{ "{\"ID\":\"5\",\"TTL\":\"9999999999\"}", ERR_MALFORMED, ERR_NOT_FOUND,
	  ERR_MALFORMED },
	{ "{\"ID\":[]}", ERR_MALFORMED, ERR_MALFORMED, ERR_MALFORMED },
	{ "{\"vms\":[]}", ERR_MALFORMED, ERR_NONE, ERR_NONE },
	{ "{\"vms\":[{\"name\":\"a\",\"state\":\"live\"}]}", ERR_MALFORMED,
	  ERR_NONE, ERR_NONE },
	{ "{\"vms\":[{\"name\":\"a\",\"state\":\"odd\"}]}", ERR_MALFORMED,
	  ERR_NONE, ERR_MALFORMED },
	{ "{\"vms\":[{\"state\":\"live\"}]}", ERR_MALFORMED, ERR_NONE,
	  ERR_MALFORMED },
};

START_TEST(responses_are_parsed_or_rejected)
{
	json_t *root = json_loads(responses[_i].text, 0, NULL);
	struct etcd_json_result result;
	GArray *vms = NULL;
	uint32_t ttl_s;
	int64_t lease;

	ck_assert_int_eq(etcd_json_result_parse(root, &result),
			 responses[_i].result);
	etcd_json_result_clear(&result);
	ck_assert_int_eq(etcd_json_lease_parse(root, &lease, &ttl_s),
			 responses[_i].lease);
	ck_assert_int_eq(etcd_json_vms_parse(root, &vms), responses[_i].vms);
	if (vms)
		g_array_unref(vms);
	json_decref(root);
}
END_TEST

START_TEST(failed_transaction_returns_compared_keys)
{
	static const char text[] =
		"{\"header\":{\"revision\":\"12\"},\"responses\":[{"
		"\"response_range\":{\"kvs\":[{\"key\":\"a2V5\",\"value\":"
		"\"dmFsdWU=\",\"create_revision\":\"3\",\"mod_revision\":\"4\","
		"\"lease\":\"5\"}]}}]}";
	json_t *root = json_loads(text, 0, NULL);
	struct etcd_json_result parsed;
	const struct platform_result *result = &parsed.result;

	ck_assert_int_eq(etcd_json_result_parse(root, &parsed), ERR_NONE);
	ck_assert(!result->succeeded && result->revision == 12);
	ck_assert_uint_eq(result->kv_count, 1);
	ck_assert_str_eq(result->kvs[0].key, "key");
	ck_assert_str_eq(result->kvs[0].value, "value");
	ck_assert_int_eq(result->kvs[0].create_revision, 3);
	ck_assert_int_eq(result->kvs[0].mod_revision, 4);
	ck_assert_int_eq(result->kvs[0].lease, 5);
	etcd_json_result_clear(&parsed);
	json_decref(root);
}
END_TEST

static struct bundle *test_bundle_create(void)
{
	struct bundle *bundle = bundle_create_empty();

	bundle->vms = g_new0(struct bundle_vm, 2);
	bundle->vm_count = 2;
	bundle->vms[0].name = g_strdup("a");
	bundle->vms[1].name = g_strdup("b");
	bundle->pools = g_new0(struct bundle_pool, 1);
	bundle->pool_count = 1;
	bundle->pools[0].name = g_strdup("p");
	return bundle;
}

static const struct {
	const char *text;
	enum err_kind expected;
} placements[] = {
	{ "{\"number\":1,\"roll\":1,\"rows\":[]}", ERR_NONE },
	{ "{\"number\":1,\"roll\":1,\"rows\":[[\"a\",\"p\",\"serving\",\"\","
	  "\"fill\",1,0],[\"c\",\"p\",\"serving\",\"\",\"fill\",1,0]]}",
	  ERR_NONE },
	{ "{\"number\":1,\"roll\":1,\"rows\":[[\"a\",\"p\",\"serving\",\"\","
	  "\"fill\",1,0],[\"a\",\"p\",\"serving\",\"\",\"fill\",1,0]]}",
	  ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[[\"a\",\"p\",\"odd\",\"\","
	  "\"fill\",1,0]]}",
	  ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[[\"a\",\"p\",\"serving\",\"\","
	  "\"odd\",1,0]]}",
	  ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[[\"a\"]]}", ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[[\"a\",\"p\",\"serving\",\"\","
	  "\"fill\",1,-1]]}",
	  ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[],\"electorate\":[1,[\"a\","
	  "\"b\"],[\"b\",\"c\"]]}",
	  ERR_NONE },
	{ "{\"number\":1,\"roll\":1,\"rows\":[],\"electorate\":[1,[\"a\","
	  "\"a\"],[]]}",
	  ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[],\"electorate\":[1,[\"b\","
	  "\"a\"],[]]}",
	  ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[],\"electorate\":[1,[7],[]]}",
	  ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[],\"electorate\":[1,[\"a\"]]}",
	  ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1,\"rows\":[],\"electorate\":[-1,[],[]]}",
	  ERR_MALFORMED },
	{ "{\"number\":-1,\"roll\":1,\"rows\":[]}", ERR_MALFORMED },
	{ "{\"number\":1,\"rows\":[]}", ERR_MALFORMED },
	{ "{\"number\":1,\"roll\":1}", ERR_MALFORMED },
	{ "", ERR_MALFORMED },
};

static void members_compare(char **left, char **right)
{
	ck_assert(!left == !right);
	ck_assert(!left || g_strv_equal((const char *const *)left,
					(const char *const *)right));
}

static void electorates_compare(const struct quorum_electorate *left,
				const struct quorum_electorate *right)
{
	ck_assert_uint_eq(left->since_placement, right->since_placement);
	members_compare(left->members, right->members);
	members_compare(left->previous, right->previous);
}

START_TEST(placements_are_parsed_or_rejected)
{
	struct bundle *bundle = test_bundle_create();
	const char *text = placements[_i].text;
	struct placement *placement = NULL;

	ck_assert_int_eq(
		stored_placement_parse(text, strlen(text), bundle, &placement),
		placements[_i].expected);
	if (placement) {
		g_autofree char *again =
			stored_placement_build(bundle, placement);
		struct placement *second = NULL;

		ck_assert_int_eq(stored_placement_parse(again, strlen(again),
							bundle, &second),
				 ERR_NONE);
		ck_assert(second->number == placement->number &&
			  second->rows[0].pool == placement->rows[0].pool &&
			  second->rows[0].state == placement->rows[0].state);
		electorates_compare(&second->electorate,
				    &placement->electorate);
		placement_destroy(second);
	}
	placement_destroy(placement);
	bundle_unref(bundle);
}
END_TEST

START_TEST(head_number_and_member_round_trip)
{
	struct stored_head head = {
		.roll = 3, .version = 4, .writer = "w", .attempt = 2, .at_ms = 5
	};
	const struct member member = { "id", "10.0.0.1", 80, 81, 9 };
	g_autofree char *number = stored_number_build(6);
	g_autofree char *member_text = stored_member_build(&member);
	g_autofree char *text = NULL;
	struct member other = { 0 };
	struct stored_head read = { 0 };
	uint64_t value;

	memset(head.digest, 'f', HEAD_DIGEST_BYTES - 1);
	text = stored_head_build(&head);
	ck_assert_int_eq(stored_head_parse(text, strlen(text), &read),
			 ERR_NONE);
	ck_assert_mem_eq(&head, &read, sizeof(head));
	for (size_t len = 0; len < strlen(text); len++)
		ck_assert_int_eq(stored_head_parse(text, len, &read),
				 ERR_MALFORMED);
	head.digest[3] = 'g';
	g_free(text);
	text = stored_head_build(&head);
	ck_assert_int_eq(stored_head_parse(text, strlen(text), &read),
			 ERR_MALFORMED);
	ck_assert_int_eq(stored_number_parse(number, strlen(number), &value),
			 ERR_NONE);
	ck_assert_uint_eq(value, 6);
	ck_assert_int_eq(
		stored_member_parse(member_text, strlen(member_text), &other),
		ERR_NONE);
	ck_assert_mem_eq(&member, &other, sizeof(member));
	ck_assert_int_eq(stored_member_parse("{\"id\":1}", 8, &other),
			 ERR_MALFORMED);
	g_free(member_text);
	other.id[0] = '\0';
	member_text = stored_member_build(&other);
	ck_assert_int_eq(
		stored_member_parse(member_text, strlen(member_text), &other),
		ERR_MALFORMED);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("platform_values");
	Suite *suite = suite_create("platform_values");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tcase, responses_are_parsed_or_rejected, 0,
			    G_N_ELEMENTS(responses));
	tcase_add_test(tcase, failed_transaction_returns_compared_keys);
	tcase_add_loop_test(tcase, placements_are_parsed_or_rejected, 0,
			    G_N_ELEMENTS(placements));
	tcase_add_test(tcase, head_number_and_member_round_trip);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
