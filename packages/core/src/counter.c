#include "counter.h"

#define COUNTER_PREFIX "sassafrascart_"

static const char *const counter_metrics[COUNTER_KIND_COUNT] = {
#define COUNTER_METRIC(id, metric, help) [COUNTER_##id] = (metric),
	COUNTER_LIST(COUNTER_METRIC)
#undef COUNTER_METRIC
};

void counter_inc(struct counter_set *set, enum counter_kind kind)
{
	g_assert(kind < COUNTER_KIND_COUNT);
	set->values[kind]++;
}

void counter_inc_outcome(struct counter_set *set, enum outcome outcome)
{
	g_assert(outcome < OUTCOME_COUNT);
	set->outcomes[outcome]++;
}

void counter_render_gauge(GString *out, const char *metric, uint64_t value)
{
	g_string_append_printf(out, COUNTER_PREFIX "%s %" G_GUINT64_FORMAT "\n",
			       metric, value);
}

void counter_render(const struct counter_set *set, GString *out)
{
	for (uint32_t i = 0; i < COUNTER_KIND_COUNT; i++)
		counter_render_gauge(out, counter_metrics[i], set->values[i]);
	for (uint32_t i = 0; i < OUTCOME_COUNT; i++)
		g_string_append_printf(out,
				       COUNTER_PREFIX
				       "outcomes_total{outcome=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       outcome_row(i)->name, set->outcomes[i]);
}
