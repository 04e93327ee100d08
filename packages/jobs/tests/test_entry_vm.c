/**
 * @file test_entry_vm.c
 * @brief Tests of the job service with workers whose entries name other VMs.
 */
#include <check.h>

#include "emu_expect.h"

#define SWAPS 40

static const struct emu_config fleet = {
	.seed = 1,
	.nodes = 3,
	.pools = 2,
	.vms_per_pool = 4,
	.spare_vms = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

/* Lets the entries of two workers name each other's VMs for a time. */
static void entries_swap(struct emu *emu)
{
	uint32_t first = emu_random(emu, emu_vm_count(emu));
	uint32_t second = emu_random(emu, emu_vm_count(emu));

	emu_worker_set_entry_vm(emu, first, second);
	emu_worker_set_entry_vm(emu, second, first);
	emu_advance(emu, 50 + emu_random(emu, 200));
	emu_worker_set_entry_vm(emu, first, first);
	emu_worker_set_entry_vm(emu, second, second);
	emu_advance(emu, 50 + emu_random(emu, 200));
}

/* Between two ticks of the owner, the worker of a draining VM is listed with
 * another VM, and the write that the drain waits for completes. */
START_TEST(test_entry_names_another_vm_during_drain)
{
	struct emu_config config = fleet;
	struct emu *emu;

	config.seed = 1 + (uint32_t)_i;
	emu = emu_create(&config);
	emu_advance(emu, 6000);
	emu_store_set_slowdown(emu, 20);
	emu_wave_request(emu, 100, 4, 60000);
	for (uint32_t i = 0; i < SWAPS; i++)
		entries_swap(emu);
	emu_store_set_slowdown(emu, 1);
	emu_advance(emu, 50000);
	ck_assert(emu_wave_succeeded(emu));
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("entry_vm");
	TCase *tests = tcase_create("entry_vm");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, test_entry_names_another_vm_during_drain, 0,
			    10);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
