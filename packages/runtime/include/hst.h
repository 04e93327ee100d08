/**
 * @file hst.h
 * @brief Latency histograms for the metrics page, over GSL.
 *
 * Prefix: hst_.
 */
#ifndef HST_H
#define HST_H

#include <glib.h>
#include <stdint.h>

/** A histogram, opaque. */
struct hst_histogram;

/**
 * @brief Creates an empty histogram.
 * @param name metric without unit or labels, a constant
 * @param labels as in a metrics page, a constant, "" for none
 */
struct hst_histogram *hst_create(const char *name, const char *labels);

/** @brief Frees a histogram. @param histogram may be NULL */
void hst_destroy(struct hst_histogram *histogram);

/** @brief Counts a duration in milliseconds. */
void hst_note(struct hst_histogram *histogram, uint64_t took_ms);

/** @brief Appends it as cumulative buckets, a line each. */
void hst_render(const struct hst_histogram *histogram, GString *out);

#endif
