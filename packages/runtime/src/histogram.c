#include "histogram.h"

#include <gsl/gsl_histogram.h>

/* Bucket bounds. The lowest suit calls that the process answers itself, the
 * highest is the longest timeout of callers. */
static const double histogram_bounds_ms[] = { 0,    1,	  2,	5,     10,
					      25,   50,	  100,	250,   500,
					      1000, 2500, 5000, 10000, 30000 };

struct histogram {
	const char *name;
	const char *labels;
	gsl_histogram *buckets;
	uint64_t count;
	uint64_t sum_ms;
};

struct histogram *histogram_create(const char *name, const char *labels)
{
	struct histogram *histogram = g_new0(struct histogram, 1);

	histogram->name = name;
	histogram->labels = labels;
	histogram->buckets =
		gsl_histogram_alloc(G_N_ELEMENTS(histogram_bounds_ms) - 1);
	gsl_histogram_set_ranges(histogram->buckets, histogram_bounds_ms,
				 G_N_ELEMENTS(histogram_bounds_ms));
	return histogram;
}

void histogram_destroy(struct histogram *histogram)
{
	if (!histogram)
		return;
	gsl_histogram_free(histogram->buckets);
	g_free(histogram);
}

void histogram_record(struct histogram *histogram, uint64_t duration_ms)
{
	size_t bucket;

	histogram->count++;
	histogram->sum_ms += duration_ms;
	/* Durations beyond the last bound count only in the "+Inf" bucket. They
	 * are excluded first because GSL reports them as an error. */
	if ((double)duration_ms <
		    histogram_bounds_ms[G_N_ELEMENTS(histogram_bounds_ms) -
					1] &&
	    gsl_histogram_find(histogram->buckets, (double)duration_ms,
			       &bucket) == 0)
		gsl_histogram_increment(histogram->buckets,
					(double)duration_ms);
}

void histogram_render(const struct histogram *histogram, GString *out)
{
	const char *comma = histogram->labels[0] ? "," : "";
	double cumulative = 0;

	for (size_t i = 0; i + 1 < G_N_ELEMENTS(histogram_bounds_ms); i++) {
		cumulative += gsl_histogram_get(histogram->buckets, i);
		g_string_append_printf(
			out,
			"sassafrascart_%s_ms_bucket{%s%sle=\"%.0f\"} %.0f\n",
			histogram->name, histogram->labels, comma,
			histogram_bounds_ms[i + 1], cumulative);
	}
	g_string_append_printf(
		out,
		"sassafrascart_%s_ms_bucket{%s%sle=\"+Inf\"} "
		"%" G_GUINT64_FORMAT "\n"
		"sassafrascart_%s_ms_sum{%s} %" G_GUINT64_FORMAT "\n"
		"sassafrascart_%s_ms_count{%s} "
		"%" G_GUINT64_FORMAT "\n",
		histogram->name, histogram->labels, comma, histogram->count,
		histogram->name, histogram->labels, histogram->sum_ms,
		histogram->name, histogram->labels, histogram->count);
}
