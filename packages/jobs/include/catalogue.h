/**
 * @file catalogue.h
 * @brief Queues, services, client accounts and limits of one configuration
 * version.
 *
 * Prefix: catalogue_. A catalogue is filled, indexed with catalogue_index() and
 * immutable from then on. It is shared by reference counting.
 */
#ifndef CATALOGUE_H
#define CATALOGUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "account_keys.h"
#include "resources.h"

/** Maximum length of a queue's name, which calls between processes carry. */
#define CATALOGUE_QUEUE_NAME_MAX_BYTES 255
/** Maximum length of an account's name, for the same reason. */
#define CATALOGUE_ACCOUNT_NAME_MAX_BYTES 255

/** A queue of jobs. */
struct catalogue_queue {
	char *name;
	/** host and path prefix under which callers reach the queue */
	char *host;
	char *prefix;
	/** service whose workers run the queue's tasks */
	char *service;
	/** 0 is the highest priority */
	uint32_t priority;
	/** number of failed runs of one task that fails its job */
	uint32_t attempts;
	/** latency objective: stretch times the critical path, plus slo_ms */
	uint32_t stretch_permille;
	uint32_t slo_ms;
	/** tasks start only with a ticket of the advice service; time-to-live
	 *  of the ticket */
	bool needs_advice;
	uint32_t ticket_ms;
	/** callers need no key */
	bool is_public;
};

/** @brief Copies a queue; freed with catalogue_queue_free(). */
struct catalogue_queue *
catalogue_queue_copy(const struct catalogue_queue *queue);

/** @brief Frees a copy of a queue. @param queue may be NULL */
void catalogue_queue_free(struct catalogue_queue *queue);

/** @brief Returns whether two queues run their jobs in the same way, wherever
 *  callers reach them. */
bool catalogue_queue_runs_same(const struct catalogue_queue *a,
			       const struct catalogue_queue *b);

/** A client account, on whose behalf callers submit jobs. */
struct catalogue_account {
	char *name;
	/** share of a full pool, and the jobs a second that it is entitled to
	 */
	double weight;
	/** what its running tasks may use together, 0 for no limit */
	struct resources limit;
};

/** A service: a pool of VMs with one worker each. */
struct catalogue_service {
	char *name;
	/** workers reject a task that does not fit */
	bool enforces_capacity;
	/** VMs of this pool stay off until they are moved to another pool */
	bool is_spare;
};

/** A configuration version; it owns its strings and arrays. */
struct catalogue {
	uint64_t version;
	/** of struct catalogue_queue */
	GArray *queues;
	/** of struct catalogue_service */
	GArray *services;
	/** of struct catalogue_account; calls to queues that are not public
	 *  need a key if has_accounts is set */
	GArray *accounts;
	bool has_accounts;
	/** keys of the accounts, by index in the array */
	struct account_keys *keys;
	/** name to queue, and name to account, filled by catalogue_index() */
	GHashTable *queue_by_name;
	GHashTable *account_by_name;
	/** limits of callers' connections; read, but not applied */
	uint32_t body_max_bytes;
	uint32_t idle_timeout_ms;
};

/** @brief Creates an empty catalogue with one reference. */
struct catalogue *catalogue_create(uint64_t version);

/** @brief Builds the indexes; call once all queues, accounts and keys have been
 *  added. */
void catalogue_index(struct catalogue *catalogue);

/** @brief Takes a reference. @return the catalogue */
struct catalogue *catalogue_ref(struct catalogue *catalogue);

/** @brief Drops a reference. @param catalogue may be NULL */
void catalogue_unref(struct catalogue *catalogue);

/** @brief Finds a queue by name. @return the queue or NULL */
const struct catalogue_queue *
catalogue_queue_find(const struct catalogue *catalogue, const char *name);

/**
 * @brief Finds the queue of a request by host and longest path prefix.
 * @return the queue or NULL
 */
const struct catalogue_queue *
catalogue_queue_route(const struct catalogue *catalogue, const char *host,
		      const char *path);

/** @brief Finds a service by name. @return the service or NULL */
const struct catalogue_service *
catalogue_service_find(const struct catalogue *catalogue, const char *name);

/** @brief Finds an account by name. @return the account or NULL */
const struct catalogue_account *
catalogue_account_find(const struct catalogue *catalogue, const char *name);

/** @brief Finds the account that a key belongs to. @return the account or NULL
 */
const struct catalogue_account *
catalogue_account_by_key(const struct catalogue *catalogue, const char *key);

/** @brief Returns whether a service is listed or serves a queue. */
bool catalogue_names_service(const struct catalogue *catalogue,
			     const char *name);

#endif
