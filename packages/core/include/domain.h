/**
 * @file domain.h
 * @brief Maps the failure domains of a bundle's VMs to small integer indexes.
 *
 * Prefix: domain_. A bundle names zones and racks by text; planning over many
 * VMs compares their indexes instead.
 */
#ifndef DOMAIN_H
#define DOMAIN_H

#include <stdint.h>

#include "bundle.h"

/** Zone index and rack index of each VM, by the VM's index in the bundle. */
struct domain_index {
	uint32_t *zone_of;
	uint32_t *rack_of;
	uint32_t zone_count;
	uint32_t rack_count;
};

/** @brief Builds the index of a bundle, freed by domain_index_destroy(). */
struct domain_index *domain_index_create(const struct bundle *bundle);

/** @brief Frees an index. @param index may be NULL */
void domain_index_destroy(struct domain_index *index);

#endif
