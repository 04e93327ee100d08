/**
 * @file outlier.h
 * @brief Outlier ejection: backend servers that fail, and their return.
 *
 * Prefix: outlier_. A server with too many consecutive failures is ejected for
 * a time that doubles with each ejection, but only while another server of the
 * pool answers, and never more than a share of the pool. After that time it is
 * on probation: it receives one request at a time until one is answered.
 */
#ifndef OUTLIER_H
#define OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/** Result of an attempt, as far as it shows the server's health. */
enum outlier_result {
	/** a response that shows a healthy server */
	OUTLIER_ANSWERED,
	/** no connection, a broken connection, or an immediate error */
	OUTLIER_FAILED,
	/** no response in time, which slow requests can cause as well */
	OUTLIER_SLOW,
};

/** Health of one server; zero it before use. */
struct outlier_health {
	/** weighted failures since the last response */
	uint32_t failure_points;
	/** start of the attempt that was the first of these failures */
	uint64_t failing_since_ms;
	/** time of the last response, 0 for none yet */
	uint64_t last_answer_ms;
	/** end of the latest ejection, 0 if it was never ejected */
	uint64_t ejected_until_ms;
	/** recent ejections; a response outside of probation takes one off */
	uint32_t ejections;
	/** ejected, or receives one request at a time until one is answered */
	bool on_probation;
};

/** The pool of the server at the time of a decision. */
struct outlier_pool {
	/** servers of the pool, including this one */
	uint32_t servers;
	/** other servers that are ejected or on probation */
	uint32_t others_restricted;
	/** time of the latest response of any other server, 0 for none */
	uint64_t others_last_answer_ms;
};

/**
 * @brief Returns whether a server may be sent another request.
 * @param in_flight requests that it is serving for this process
 */
bool outlier_accepts_request(const struct outlier_health *health,
			     uint32_t in_flight, uint64_t now_ms);

/** @brief Returns whether a server is ejected or on probation. */
bool outlier_is_restricted(const struct outlier_health *health);

/**
 * @brief Records the result of an attempt and decides on ejection.
 * @param began_ms start of the attempt; one that started before the end of the
 *        ejection does not count for the probation
 * @param seed spreads the ends of ejections that several processes decide
 * @return whether this call ejected the server
 */
bool outlier_record(struct outlier_health *health,
		    const struct outlier_pool *pool, enum outlier_result result,
		    uint64_t began_ms, uint64_t now_ms, uint32_t seed);

/** @brief Takes back one failure that the request itself caused. */
void outlier_undo_failure(struct outlier_health *health);

/**
 * @brief Puts a server on probation, for example when its VM returns to
 * service.
 */
void outlier_require_probe(struct outlier_health *health);

#endif
