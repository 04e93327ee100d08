/**
 * @file ejt.h
 * @brief Ejection of backend servers that fail, and their return.
 *
 * Prefix: ejt_. A server whose failures follow one another is ejected for a
 * time that doubles with each ejection, but only while another server of the
 * pool does answer, and never more than a share of the pool. After that time
 * it is on probation: it takes one request at a time until one is answered.
 */
#ifndef EJT_H
#define EJT_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt on a server ended, as evidence of its health. */
enum ejt_evidence {
	/** an answer that speaks for the server */
	EJT_ANSWERED,
	/** no connection, a cut connection, or an error at once */
	EJT_FAILED,
	/** no answer in time, which slow work explains as well */
	EJT_SLOW,
};

/** What is known of one server; zeroed before use. */
struct ejt_health {
	/** weighted failures since the last answer */
	uint32_t points;
	/** when the first of these failures was seen */
	uint64_t failing_since_ms;
	/** last answer, 0 for none yet */
	uint64_t answered_ms;
	/** ejected before this time, 0 for not ejected */
	uint64_t ejected_until_ms;
	/** ejections since the server was last trusted in full */
	uint32_t ejections;
	/** takes one request at a time until one is answered */
	bool on_probation;
};

/** The other servers of the pool at the time of a decision. */
struct ejt_pool {
	/** servers of the pool, the one in question included */
	uint32_t servers;
	/** others that are ejected or on probation */
	uint32_t ejected;
	/** newest answer of any other server, 0 for none */
	uint64_t others_answered_ms;
};

/** @brief Tells whether a server with so many requests may take another. */
bool ejt_may_take(const struct ejt_health *health, uint32_t in_flight,
		  uint64_t now_ms);

/** @brief Tells whether a server is ejected or on probation. */
bool ejt_is_limited(const struct ejt_health *health);

/**
 * @brief Records the end of an attempt and decides on ejection.
 * @param began_ms when the attempt began; one that began before the server
 *        was ejected says nothing of its probation
 * @param seed spreads the ends of ejections that several processes decide
 * @return whether the server was ejected by this call
 */
bool ejt_record(struct ejt_health *health, const struct ejt_pool *pool,
		enum ejt_evidence evidence, uint64_t began_ms, uint64_t now_ms,
		uint32_t seed);

/** @brief Takes back one failure that was the request's own fault. */
void ejt_pardon(struct ejt_health *health);

/** @brief Puts a server on probation, as after a time away. */
void ejt_require_probe(struct ejt_health *health);

#endif
