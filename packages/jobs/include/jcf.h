/**
 * @file jcf.h
 * @brief The catalogue: queues, services and limits of one configuration.
 *
 * Prefix: jcf_. A catalogue is immutable once it is filled and is shared by
 * reference counting.
 */
#ifndef JCF_H
#define JCF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A queue of jobs. */
struct jcf_queue {
	char *name;
	/** host and path prefix under which callers reach the queue */
	char *host;
	char *prefix;
	/** service whose workers run the queue's tasks */
	char *service;
	/** 0 comes first */
	uint32_t priority;
	/** failed runs of one task before its job fails */
	uint32_t attempts;
	/** latency objective: stretch times the longest chain, plus slo_ms */
	uint32_t stretch_permille;
	uint32_t slo_ms;
	/** starts need a ticket of the advice service; life of a ticket */
	bool needs_advice;
	uint32_t ticket_ms;
};

/** A service, which is a pool of VMs with one worker each. */
struct jcf_service {
	char *name;
	/** workers reject a task that does not fit */
	bool enforces_capacity;
	/** VMs of this pool are off until they are moved to another one */
	bool is_spare;
};

/** A configuration; strings and arrays are owned. */
struct jcf_catalogue {
	uint64_t version;
	/** of struct jcf_queue */
	GArray *queues;
	/** of struct jcf_service */
	GArray *services;
	/** name to queue, made by jcf_catalogue_index() */
	GHashTable *queue_by_name;
	uint32_t body_max_bytes;
	uint32_t idle_timeout_ms;
};

/** @brief Creates an empty catalogue with one reference. */
struct jcf_catalogue *jcf_catalogue_create(uint64_t version);

/** @brief Makes the indexes, once all queues are there. */
void jcf_catalogue_index(struct jcf_catalogue *catalogue);

/** @brief Takes another reference. @return the catalogue */
struct jcf_catalogue *jcf_catalogue_ref(struct jcf_catalogue *catalogue);

/** @brief Drops a reference. @param catalogue may be NULL */
void jcf_catalogue_unref(struct jcf_catalogue *catalogue);

/** @brief Finds a queue by name. @return the queue or NULL */
const struct jcf_queue *jcf_queue_find(const struct jcf_catalogue *catalogue,
				       const char *name);

/**
 * @brief Finds the queue of a request: its host and the longest prefix.
 * @return the queue or NULL
 */
const struct jcf_queue *jcf_queue_route(const struct jcf_catalogue *catalogue,
					const char *host, const char *path);

/** @brief Finds a service by name. @return the service or NULL */
const struct jcf_service *
jcf_service_find(const struct jcf_catalogue *catalogue, const char *name);

#endif
