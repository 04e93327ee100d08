#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "backoff.h"
#include "err.h"
#include "head.h"

#define SEQUENCES 2000
#define STEPS 200
#define WINDOW_MS 1000

static struct head head_make(uint64_t roll, uint64_t placement)
{
	struct head head = { .roll = roll,
			     .version = roll * 10,
			     .placement_number = placement };

	g_snprintf(head.digest, sizeof(head.digest), "%064u", (guint)roll);
	return head;
}

/* Refusing a roll discards the known one but not the applied one. */
static void reject_check(const struct head_state *state)
{
	const struct head in_force = head_make(state->applied_roll, 0);
	const struct head next = head_make(state->applied_roll + 1, 0);
	struct head_state copy = *state;

	head_reject_roll(&copy, &in_force);
	ck_assert_uint_eq(copy.applied_roll, state->applied_roll);
	ck_assert_uint_eq(copy.known.placement_number,
			  state->known.placement_number);
	ck_assert(head_update_from_platform(&copy, &next, 0).fetch_bundle);
	ck_assert_uint_eq(copy.known.version, next.version);
}

/*
 * Feeds random heads in any order: roll and placement numbers never decrease.
 */
START_TEST(roll_and_placement_never_decrease)
{
	guint32 seed = g_random_int();
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);

	for (int sequence = 0; sequence < SEQUENCES; sequence++) {
		struct head_state state;
		struct head_state before;

		head_state_init(&state, WINDOW_MS);
		for (int step = 0; step < STEPS; step++) {
			const struct head head = head_make(
				(uint64_t)g_rand_int_range(rand, 0, 9),
				(uint64_t)g_rand_int_range(rand, 0, 9));
			struct head_action action;

			before = state;
			action = head_update_from_platform(&state, &head,
							   (uint64_t)step);
			if (g_rand_boolean(rand))
				head_set_applied_roll(&state, head.roll);
			else if (state.known.roll > state.applied_roll)
				reject_check(&state);
			ck_assert_msg(
				state.known.roll >= before.known.roll &&
					state.known.placement_number >=
						before.known.placement_number &&
					state.applied_roll >=
						before.applied_roll &&
					state.known.version ==
						state.known.roll * 10 &&
					action.stale ==
						(head.roll <
							 before.known.roll ||
						 head.placement_number <
							 before.known
								 .placement_number),
				"seed %u sequence %d step %d", seed, sequence,
				step);
		}
	}
}
END_TEST

START_TEST(dispatch_ends_with_the_window)
{
	const struct head head = head_make(1, 1);
	const struct head newer = head_make(1, 2);
	const struct head older = head_make(1, 1);
	struct head_state state;

	head_state_init(&state, WINDOW_MS);
	ck_assert(!head_may_dispatch(&state, 5));
	head_update_from_platform(&state, &head, 10);
	ck_assert(!head_may_dispatch(&state, 10));
	head_set_applied_roll(&state, 1);
	state.applied_placement = 1;
	head_update_from_platform(&state, &head, 20);
	ck_assert(head_may_dispatch(&state, 20 + WINDOW_MS));
	ck_assert(!head_may_dispatch(&state, 21 + WINDOW_MS));
	/* A reply counts from the time of its request, which here is 0. */
	head_update_from_platform(&state, &head, 0);
	ck_assert(!head_may_dispatch(&state, 21 + WINDOW_MS));
	/*
	 * A newer placement that is not applied does not extend the window, nor
	 * does a stale head.
	 */
	head_update_from_platform(&state, &newer, 500);
	head_update_from_platform(&state, &older, 600);
	ck_assert(!head_may_dispatch(&state, 21 + WINDOW_MS));
	state.applied_placement = 2;
	head_update_from_platform(&state, &newer, 700);
	ck_assert(head_may_dispatch(&state, 700 + WINDOW_MS));
}
END_TEST

START_TEST(error_table_is_complete)
{
	bool used[256] = { false };

	for (int kind = 0; kind < ERR_KIND_COUNT; kind++) {
		int code = err_exit_code(kind);

		ck_assert_ptr_nonnull(err_name(kind));
		ck_assert(g_str_has_suffix(err_describe(kind), "."));
		ck_assert_msg(code >= 0 && code < 126 && !used[code],
			      "exit code %d of %s", code, err_name(kind));
		used[code] = true;
		for (int other = 0; other < kind; other++)
			ck_assert_str_ne(err_name(kind), err_name(other));
	}
	ck_assert_int_eq(err_exit_code(ERR_NONE), 0);
}
END_TEST

START_TEST(delays_grow_within_their_bounds)
{
	const struct backoff_limits limits = { 100, 1000 };
	static const uint32_t full_ms[] = { 100, 200, 400, 800, 1000, 1000 };

	for (uint32_t i = 0; i < G_N_ELEMENTS(full_ms); i++) {
		ck_assert_uint_eq(backoff_delay_ms(&limits, i + 1, 0),
				  full_ms[i] / 2);
		ck_assert_uint_eq(
			backoff_delay_ms(&limits, i + 1, full_ms[i] / 2),
			full_ms[i]);
	}
	ck_assert_uint_le(backoff_delay_ms(&limits, UINT32_MAX, UINT32_MAX),
			  1000);
	ck_assert_uint_eq(backoff_shared_period_ms(250, 9, 60, 0), 250);
	ck_assert_uint_eq(backoff_shared_period_ms(250, 300, 60, 0), 5000);
	ck_assert_uint_le(backoff_shared_period_ms(250, 300, 60, UINT32_MAX),
			  5625);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("head");
	Suite *suite = suite_create("head");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, roll_and_placement_never_decrease);
	tcase_add_test(tcase, dispatch_ends_with_the_window);
	tcase_add_test(tcase, error_table_is_complete);
	tcase_add_test(tcase, delays_grow_within_their_bounds);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
