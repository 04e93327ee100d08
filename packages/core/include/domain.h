/**
 * @file domain.h
 * @brief Failure domains of a bundle's VMs as small indexes.
 *
 * Prefix: domain_. Zones and racks are named by text in a bundle; plans over
 * many VMs compare them by index instead.
 */
#ifndef DOMAIN_H
#define DOMAIN_H

#include <stdint.h>

#include "bundle.h"

/** Indexes of zones and racks, one of each for every VM. */
struct domain_index {
	uint32_t *zone_of;
	uint32_t *rack_of;
	uint32_t zone_count;
	uint32_t rack_count;
};

/** @brief Indexes a bundle's domains, freed by domain_index_destroy(). */
struct domain_index *domain_index_create(const struct bundle *bundle);

/** @brief Frees an index. @param index may be NULL */
void domain_index_destroy(struct domain_index *index);

#endif
