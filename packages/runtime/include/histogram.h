/**
 * @file histogram.h
 * @brief Latency histograms in Prometheus format, backed by GSL.
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
 * @param name metric name without unit, not copied
 * @param labels as in the Prometheus format, not copied, "" for none
 */
struct histogram *histogram_create(const char *name, const char *labels);

/** @brief Frees a histogram. @param histogram may be NULL */
void histogram_destroy(struct histogram *histogram);

/** @brief Records a duration in milliseconds. */
void histogram_record(struct histogram *histogram, uint64_t duration_ms);

/** @brief Appends cumulative buckets, sum and count as lines of text. */
void histogram_render(const struct histogram *histogram, GString *out);

#endif
