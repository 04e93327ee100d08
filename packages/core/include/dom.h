/**
 * @file dom.h
 * @brief Failure domains of a bundle's VMs as small indexes.
 *
 * Prefix: dom_. Zones and racks are named by text in a bundle; plans over
 * many VMs compare them by index instead.
 */
#ifndef DOM_H
#define DOM_H

#include <stdint.h>

#include "bnd.h"

/** Indexes of zones and racks, one of each for every VM. */
struct dom_index {
	uint32_t *zone_of;
	uint32_t *rack_of;
	uint32_t zone_count;
	uint32_t rack_count;
};

/** @brief Indexes a bundle's domains, freed by dom_index_destroy(). */
struct dom_index *dom_index_create(const struct bnd_bundle *bundle);

/** @brief Frees an index. @param index may be NULL */
void dom_index_destroy(struct dom_index *index);

#endif
