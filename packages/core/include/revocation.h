/**
 * @file revocation.h
 * @brief Whether keys of a configuration may be accepted although it may have
 * withdrawn some of them meanwhile.
 *
 * Prefix: revocation_. No I/O. A withdrawn key may be used for a bounded time
 * by any process, also by one that no longer reaches the store. So a process
 * has to know up to when its configuration was certainly the newest one. The
 * time that counts is that at which a read was sent: a later change may have
 * been made before the answer arrived.
 */
#ifndef REVOCATION_H
#define REVOCATION_H

#include <stdbool.h>
#include <stdint.h>

/** What a process knows about the age of its configuration. */
struct revocation {
	/** time for which a withdrawn key may still be used, 0 for no bound */
	uint32_t bound_ms;
	/** version in force */
	uint64_t version;
	/** local time up to which all changes are part of that version, 0 if
	 *  unknown */
	uint64_t confirmed_ms;
};

/**
 * @brief Records that a read, or a process that had read it, named a version as
 * the newest one. Confirms the version in force unless it is an older one.
 *
 * @param sent_ms local time at which this process sent the request
 * @param age_ms time between the confirming read and the request, 0 for a read
 *               of this process
 */
void revocation_confirm(struct revocation *revocation, uint64_t version,
			uint64_t sent_ms, uint64_t age_ms);

/** @brief Returns whether keys of the version in force may be accepted. */
bool revocation_allows_keys(const struct revocation *revocation,
			    uint64_t now_ms);

/** @brief Returns the time until the version should be read again, 0 if that is
 *  due, UINT32_MAX if there is no bound. */
uint32_t revocation_read_in_ms(const struct revocation *revocation,
			       uint64_t now_ms);

/** @brief Returns the age of the confirmation, UINT32_MAX if there is none. */
uint32_t revocation_age_ms(const struct revocation *revocation,
			   uint64_t now_ms);

/** Size of the buffer for revocation_age_text(). */
#define REVOCATION_AGE_TEXT_BYTES 24

/** @brief Writes the age for the log: "N ms ago" or "never"; returns out. */
const char *revocation_age_text(const struct revocation *revocation,
				uint64_t now_ms,
				char out[static REVOCATION_AGE_TEXT_BYTES]);

#endif
