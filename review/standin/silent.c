/**
 * @file silent.c
 * @brief Open channels to the store go silent, then a config replaces a route.
 */
#include "world.h"

#define STABLE_MS 3000
#define CONFIG_APPLY_MS 2000

static const char *const before[] = { "/plans/=svc", 0 };
static const char *const after[] = { "/records/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint64_t silent_ms;
static uint64_t acked_ms;

static void old_version_report(int node, const char *what, uint64_t sent_ms)
{
	world_break("CONFIG",
		    "process %d answers %s, asked %d ms after the ack and %d "
		    "ms after the channels fell silent",
		    node, what, (int)(sent_ms - acked_ms),
		    (int)(sent_ms - silent_ms));
}

int main(void)
{

	world_config(1, before, services);
	world_start();
	world_sleep_ms(6000);
	world_config(2, before, services);
	world_sleep_ms(150);
	silent_ms = world_now_ms();
	if (world_trouble())
		world_store_silence();
	world_sleep_ms(300);
	world_config(3, after, services);
	acked_ms = world_now_ms();
	while (world_now_ms() < silent_ms + STABLE_MS + 50 ||
	       world_now_ms() < acked_ms + CONFIG_APPLY_MS + 50)
		world_sleep_ms(1);
	for (int round = 0; round < 30; round++) {
		for (int i = 0; i < world_options.nodes; i++) {
			uint64_t sent_ms = world_now_ms();

			if (world_call(i, "GET", "/records/", NULL).status ==
			    404)
				old_version_report(i, "404 for the new route",
						   sent_ms);
			sent_ms = world_now_ms();
			if (world_call(i, "GET", "/plans/", NULL).status == 200)
				old_version_report(i,
						   "200 for the dropped route",
						   sent_ms);
		}
		world_sleep_ms(100);
	}
	world_end();
}
