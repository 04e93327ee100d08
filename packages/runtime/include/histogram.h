/**
 * @file histogram.h
 * @brief Latency histograms for the metrics page, over GSL.
 *
 * Prefix: histogram_.
 */
#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/** A histogram, opaque. */
struct histogram;

/**
 * @brief Creates an empty histogram.
 * @param name metric without unit or labels, a constant
 * @param labels as in a metrics page, a constant, "" for none
 */
struct histogram *histogram_create(const char *name, const char *labels);

/** @brief Frees a histogram. @param histogram may be NULL */
void histogram_destroy(struct histogram *histogram);

/** @brief Counts a duration in milliseconds. */
void histogram_record(struct histogram *histogram, uint64_t took_ms);

/** @brief Appends it as cumulative buckets, a line each. */
void histogram_render(const struct histogram *histogram, GString *out);

#endif
