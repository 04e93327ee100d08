#include "slots_trace.h"

#include <math.h>

#define BURST_MS 3000
#define CALM_MS 12630
#define CALM_AFTER_MS 6000
#define BURST_FACTOR 5.0
#define CALM_FACTOR 0.05
#define MEAN_RUN_MS 100.0
/* Mean share of the pool's slots in use. */
#define MEAN_LOAD 0.4

static double exponential(GRand *rand, double mean)
{
	return -mean * log(1.0 - g_rand_double(rand));
}

/* Draws a run time: one in ten is eleven times as long as the others. */
static uint32_t run_draw(GRand *rand)
{
	double mean = g_rand_double(rand) < 0.9 ? MEAN_RUN_MS * 0.5
						: MEAN_RUN_MS * 5.5;

	return 1 + (uint32_t)exponential(rand, mean);
}

/* Draws a gateway by cumulative weights, which differ from burst to burst. */
static uint32_t gateway_draw(GRand *rand, const double *weights)
{
	double at = g_rand_double(rand) * weights[GATEWAYS - 1];
	uint32_t gateway = 0;

	while (gateway < GATEWAYS - 1 && weights[gateway] < at)
		gateway++;
	return gateway;
}

static void weights_draw(GRand *rand, double *weights)
{
	double sum = 0;

	for (uint32_t i = 0; i < GATEWAYS; i++) {
		sum += exponential(rand, 1.0);
		weights[i] = sum;
	}
}

GArray *slots_trace_create(uint32_t seed)
{
	GArray *trace = g_array_new(FALSE, FALSE, sizeof(struct request));
	GRand *rand = g_rand_new_with_seed(seed);
	const double mean_per_ms = MEAN_LOAD * VMS * SLOTS / MEAN_RUN_MS;
	double weights[GATEWAYS];
	double at_ms = 0;
	bool was_burst = false;

	weights_draw(rand, weights);
	while (at_ms < TRACE_MS) {
		double phase_ms = fmod(at_ms, BURST_MS + CALM_MS);
		bool burst = phase_ms >= CALM_MS;
		double rate =
			mean_per_ms * (burst ? BURST_FACTOR : CALM_FACTOR);
		struct request request = { .arrival_ms = (uint32_t)at_ms,
					   .run_ms = run_draw(rand),
					   .burst = burst,
					   .calm = !burst &&
						   phase_ms >= CALM_AFTER_MS };

		if (burst != was_burst)
			weights_draw(rand, weights);
		was_burst = burst;
		request.gateway = gateway_draw(rand, weights);
		g_array_append_val(trace, request);
		at_ms += exponential(rand, 1.0 / rate);
	}
	g_rand_free(rand);
	return trace;
}
