/**
 * @file outlier.h
 * @brief Ejection of backend servers that fail, and their return.
 *
 * Prefix: outlier_. A server whose failures follow one another is ejected for a
 * time that doubles with each ejection, but only while another server of the
 * pool does answer, and never more than a share of the pool. After that time
 * it is on probation: it takes one request at a time until one is answered.
 */
#ifndef OUTLIER_H
#define OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt on a server ended, as evidence of its health. */
enum outlier_result {
	/** an answer that speaks for the server */
	OUTLIER_ANSWERED,
	/** no connection, a cut connection, or an error at once */
	OUTLIER_FAILED,
	/** no answer in time, which slow work explains as well */
	OUTLIER_SLOW,
};

/** What is known of one server; zeroed before use. */
struct outlier_health {
	/** weighted failures since the last answer */
	uint32_t failure_points;
	/** when the first of these failures was seen */
	uint64_t failing_since_ms;
	/** last answer, 0 for none yet */
	uint64_t last_answer_ms;
	/** ejected before this time, 0 for not ejected */
	uint64_t ejected_until_ms;
	/** ejections since the server was last trusted in full */
	uint32_t ejections;
	/** takes one request at a time until one is answered */
	bool on_probation;
};

/** The other servers of the pool at the time of a decision. */
struct outlier_pool {
	/** servers of the pool, the one in question included */
	uint32_t servers;
	/** others that are ejected or on probation */
	uint32_t others_restricted;
	/** newest answer of any other server, 0 for none */
	uint64_t others_last_answer_ms;
};

/** @brief Tells whether a server with so many requests may take another. */
bool outlier_accepts_request(const struct outlier_health *health,
			     uint32_t in_flight, uint64_t now_ms);

/** @brief Tells whether a server is ejected or on probation. */
bool outlier_is_restricted(const struct outlier_health *health);

/**
 * @brief Records the end of an attempt and decides on ejection.
 * @param began_ms when the attempt began; one that began before the server
 *        was ejected says nothing of its probation
 * @param seed spreads the ends of ejections that several processes decide
 * @return whether the server was ejected by this call
 */
bool outlier_record(struct outlier_health *health,
		    const struct outlier_pool *pool,
		    enum outlier_result evidence, uint64_t began_ms,
		    uint64_t now_ms, uint32_t seed);

/** @brief Takes back one failure that was the request's own fault. */
void outlier_undo_failure(struct outlier_health *health);

/** @brief Puts a server on probation, as after a time away. */
void outlier_require_probe(struct outlier_health *health);

#endif
