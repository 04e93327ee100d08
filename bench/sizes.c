/**
 * @file sizes.c
 * @brief Measures sizes and processing times of bundles and placements.
 *
 * Prints one line of JSON each for 50, 400 and 1,700 VMs. The figures are
 * quoted in docs/CAPACITY.md.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "bundle_file.h"
#include "planner.h"
#include "stored_value.h"
#include "balancer.h"

#define ROUNDS 5
#define CHOICES 100000

static uint64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static uint64_t resident_bytes(void)
{
	g_autofree char *text = NULL;
	unsigned long total;
	unsigned long resident;

	g_file_get_contents("/proc/self/statm", &text, NULL, NULL);
	if (!text || sscanf(text, "%lu %lu", &total, &resident) != 2)
		return 0;
	return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

static void vms_append(GString *text, uint32_t vms)
{
	g_string_append(text, "vms:\n");
	for (uint32_t i = 0; i < vms; i++)
		g_string_append_printf(
			text,
			"  - {name: vm-%04u, ip: 10.%u.%u.%u, port: 8000, "
			"availability_zone: zone-%u, rack: rack-%u, slots: 8, "
			"connections: 64}\n",
			i, i >> 16, i >> 8 & 255, i & 255, i % 8, i / 4);
}

/* Each pool allows its own share of the VMs and that of the next pool. */
static void pools_append(GString *text, uint32_t vms, uint32_t pools)
{
	uint32_t share = vms / pools;

	g_string_append(text, "pools:\n");
	for (uint32_t i = 0; i < pools; i++) {
		g_string_append_printf(
			text,
			"  - {name: pool-%02u, spare: %s, target_vms: %u, "
			"floor_vms: %u, survive: rack, "
			"queue_max_requests: 400, queue_max_bytes: 1048576, "
			"queue_max_wait_ms: 5000, vms: [",
			i, i == 0 ? "true" : "false", share, share - 2);
		for (uint32_t k = 0; k < 2 * share; k++)
			g_string_append_printf(text, "vm-%04u, ",
					       (i * share + k) % vms);
		g_string_append(text, "]}\n");
	}
}

static char *bundle_build(uint32_t vms, uint32_t pools)
{
	GString *text = g_string_new("version: 1\nname: sizes\n");

	vms_append(text, vms);
	pools_append(text, vms, pools);
	g_string_append(text, "routes:\n");
	for (uint32_t i = 0; i < pools; i++)
		g_string_append_printf(text,
				       "  - {path: /p%u, pool: pool-%02u, "
				       "idempotent: \"no\", "
				       "deadline_ms: 5000}\n",
				       i, i);
	g_string_append(text, "waves: []\ncost_weights: "
			      "{buffer: 1, moves: 1, roll_out: 1}\n");
	return g_string_free(text, FALSE);
}

static struct bundle *bundle_parse(const char *text, uint64_t *took_us)
{
	struct bundle_file_errors *errors = bundle_file_errors_create();
	struct bundle *bundle = NULL;
	uint64_t start_us = now_us();
	enum err_kind err =
		bundle_file_parse(text, strlen(text), errors, &bundle);

	*took_us = now_us() - start_us;
	if (err != ERR_NONE) {
		const struct bundle_file_error *first =
			bundle_file_errors_get(errors, 0);

		fprintf(stderr, "%u: %s: %s\n", first->line, first->field,
			first->message);
	}
	bundle_file_errors_destroy(errors);
	return bundle;
}

static uint64_t placement_parse_us(const struct bundle *bundle,
				   const char *text)
{
	uint64_t best_us = UINT64_MAX;

	for (int i = 0; i < ROUNDS; i++) {
		struct placement *view = NULL;
		uint64_t start_us = now_us();

		if (stored_placement_parse(text, strlen(text), bundle, &view) !=
		    ERR_NONE)
			return 0;
		best_us = MIN(best_us, now_us() - start_us);
		placement_destroy(view);
	}
	return best_us;
}

static uint64_t choose_ns(const struct bundle *bundle,
			  const struct placement *view)
{
	struct balancer *balancer = balancer_create(bundle->vm_count);
	uint64_t start_us;
	uint64_t took_us;

	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		balancer->servers[i].slots = 8;
		balancer->servers[i].pool = view->rows[i].pool;
		balancer->servers[i].serving = true;
	}
	start_us = now_us();
	for (uint32_t i = 0; i < CHOICES; i++)
		balancer_choose(balancer, i % bundle->pool_count,
				BUNDLE_INDEX_NONE, 1);
	took_us = now_us() - start_us;
	balancer_destroy(balancer);
	return took_us * 1000 / CHOICES;
}

/* Measures planning of the first placement with all VMs healthy. */
static uint64_t plan_us(const struct bundle *bundle, struct placement *view)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, FALSE, sizeof(struct planner_change));
	g_autofree uint32_t *wanted = g_new0(uint32_t, bundle->pool_count);
	g_autofree struct planner_vm *vms =
		g_new0(struct planner_vm, bundle->vm_count);
	g_autofree bool *healthy = g_new0(bool, bundle->vm_count);
	const struct planner_input input = { bundle, wanted, vms, healthy,
					     true };
	uint64_t start_us;

	for (uint32_t i = 0; i < bundle->pool_count; i++)
		wanted[i] = bundle->pools[i].target_vms;
	for (uint32_t i = 0; i < bundle->vm_count; i++)
		healthy[i] = true;
	start_us = now_us();
	planner_run(&input, view, changes);
	return now_us() - start_us;
}

static bool fleet_measure(uint32_t vms, uint32_t pools)
{
	g_autofree char *text = bundle_build(vms, pools);
	g_autofree char *placement = NULL;
	uint64_t before = resident_bytes();
	uint64_t parse_us;
	struct bundle *bundle = bundle_parse(text, &parse_us);
	struct placement *view;
	uint64_t planning_us;

	if (!bundle)
		return false;
	view = placement_create(bundle);
	planning_us = plan_us(bundle, view);
	placement = stored_placement_build(bundle, view);
	printf("{\"vms\":%u,\"pools\":%u,\"bundle_bytes\":%zu,"
	       "\"bundle_parse_us\":%" PRIu64 ",\"plan_us\":%" PRIu64
	       ",\"placement_bytes\":%zu,\"placement_parse_us\":%" PRIu64
	       ",\"choose_ns\":%" PRIu64 ",\"resident_bytes\":%" PRIu64 "}\n",
	       vms, pools, strlen(text), parse_us, planning_us,
	       strlen(placement), placement_parse_us(bundle, placement),
	       choose_ns(bundle, view), resident_bytes() - before);
	placement_destroy(view);
	bundle_unref(bundle);
	return true;
}

int main(void)
{
	bool ok = fleet_measure(50, 5) && fleet_measure(400, 20) &&
		  fleet_measure(1700, 46);

	return ok ? 0 : 1;
}
