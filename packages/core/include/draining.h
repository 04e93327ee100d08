/**
 * @file draining.h
 * @brief The set of VMs whose backend servers are draining because they will
 * stop.
 *
 * Prefix: draining_. A VM enters the set with the first of these signals: the
 * platform lists it as leaving, its backend server announces that it is
 * draining, or a peer reports one of the other two. It is removed when the
 * platform's list shows it as live and a placement newer than the signal as
 * serving, or when its last signal expires. A VM whose last signal expired is
 * to be probed. VMs that the placement drains are marked in its rows and need
 * no entry.
 */
#ifndef DRAINING_H
#define DRAINING_H

#include <stdbool.h>
#include <stdint.h>

/** Size of the longest VM name with its terminating NUL. */
#define DRAINING_NAME_BYTES 64
/** How long a signal is valid unless it is repeated. */
#define DRAINING_TTL_MS 120000

/** The set, opaque. */
struct draining_set;

/** Origin of a signal. */
enum draining_source {
	/** the platform's list, which lags and may repeat an old signal */
	DRAINING_SOURCE_LIST,
	/** an announcement by the backend server */
	DRAINING_SOURCE_SERVER,
};

/** A draining VM as announced to peers. */
struct draining_notice {
	char vm[DRAINING_NAME_BYTES];
	/** remaining time-to-live of the signal */
	uint32_t ttl_ms;
	/** newest placement known when the signal was received */
	uint64_t placement;
};

/** @brief Creates an empty set, freed by draining_set_destroy(). */
struct draining_set *draining_set_create(void);

/** @brief Frees a set. @param set may be NULL */
void draining_set_destroy(struct draining_set *set);

/**
 * @brief Records a signal that this process received itself.
 * @param placement number of the placement applied here
 * @return whether the VM is new in the set, so that peers are to be notified
 */
bool draining_record(struct draining_set *set, const char *vm,
		     enum draining_source source, uint64_t placement,
		     uint64_t now_ms);

/**
 * @brief Records a notice from a peer.
 * @param serving_since number of the placement that set the VM's row to
 *        serving, 0 if it is not serving
 * @return whether the VM is new in the set
 */
bool draining_merge_notice(struct draining_set *set,
			   const struct draining_notice *notice,
			   uint64_t serving_since, uint64_t now_ms);

/**
 * @brief Records that the platform's list shows a VM as live.
 * @param serving_since as for draining_merge_notice()
 * @return whether the VM was removed from the set
 */
bool draining_record_live(struct draining_set *set, const char *vm,
			  uint64_t serving_since);

/** @brief Returns whether a VM is in the set. */
bool draining_contains(const struct draining_set *set, const char *vm);

/**
 * @brief Removes the VMs whose signals have expired.
 * @param cb called for each of them; the VM is to be probed before full use
 */
void draining_expire(struct draining_set *set, uint64_t now_ms,
		     void (*cb)(void *data, const char *vm), void *data);

/**
 * @brief Fills notices for peers, cycling through the set over successive
 * calls.
 * @return number of notices, at most max
 */
uint32_t draining_next_notices(struct draining_set *set,
			       struct draining_notice *out, uint32_t max,
			       uint64_t now_ms);

/** @brief Returns the number of VMs in the set. */
uint32_t draining_count(const struct draining_set *set);

#endif
