/**
 * @file draining.h
 * @brief The set of VMs whose backend servers are leaving.
 *
 * Prefix: draining_. A VM enters the set with the first signal that it is
 * leaving: the platform's list, the backend server's own word, or a peer that
 * saw one of these. It leaves the set when the list says live and a placement
 * newer than the signal says serving, or after a bounded time without a signal;
 * then it is to be probed. The placement's own rows need no set.
 */
#ifndef DRAINING_H
#define DRAINING_H

#include <stdbool.h>
#include <stdint.h>

/** Largest VM name in the set with its terminating zero. */
#define DRAINING_NAME_BYTES 64
/** How long a signal holds unless it is repeated. */
#define DRAINING_TTL_MS 120000

/** The set, opaque. */
struct draining_set;

/** Where a signal came from. */
enum draining_source {
	/** the platform's list, which lags and may repeat an old signal */
	DRAINING_SOURCE_LIST,
	/** the backend server's own word */
	DRAINING_SOURCE_SERVER,
};

/** What a peer is told of one VM. */
struct draining_notice {
	char vm[DRAINING_NAME_BYTES];
	/** time that the signal still holds */
	uint32_t ttl_ms;
	/** newest placement known when the signal was seen */
	uint64_t placement;
};

/** @brief Creates an empty set, freed by draining_set_destroy(). */
struct draining_set *draining_set_create(void);

/** @brief Frees a set. @param set may be NULL */
void draining_set_destroy(struct draining_set *set);

/**
 * @brief Records a signal seen by this process.
 * @param placement number of the placement applied here
 * @return whether the VM was not in the set, so that peers are to be told
 */
bool draining_record(struct draining_set *set, const char *vm,
		     enum draining_source source, uint64_t placement,
		     uint64_t now_ms);

/**
 * @brief Records what a peer said.
 * @param serving_since number of the placement that made the VM's row
 *        serving, 0 when it is not serving
 * @return whether the VM was not in the set
 */
bool draining_merge_notice(struct draining_set *set,
			   const struct draining_notice *notice,
			   uint64_t serving_since, uint64_t now_ms);

/**
 * @brief Records that the platform's list says live.
 * @param serving_since as for draining_merge_notice()
 * @return whether the VM was taken out of the set
 */
bool draining_record_live(struct draining_set *set, const char *vm,
			  uint64_t serving_since);

/** @brief Tells whether a VM is in the set. */
bool draining_contains(const struct draining_set *set, const char *vm);

/**
 * @brief Takes out the VMs whose signals no longer hold.
 * @param cb called for each; the VM is to be probed before full use
 */
void draining_expire(struct draining_set *set, uint64_t now_ms,
		     void (*cb)(void *data, const char *vm), void *data);

/**
 * @brief Lists notices for peers, another part of the set each time.
 * @return number of notices, at most max
 */
uint32_t draining_next_notices(struct draining_set *set,
			       struct draining_notice *out, uint32_t max,
			       uint64_t now_ms);

/** @brief Returns the number of VMs in the set. */
uint32_t draining_count(const struct draining_set *set);

#endif
