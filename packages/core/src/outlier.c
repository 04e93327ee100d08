#include "outlier.h"

#include <glib.h>
#include <string.h>

#define OUTLIER_POINTS_FAILED 2
#define OUTLIER_POINTS_SLOW 1
#define OUTLIER_POINTS_MAX 6
#define OUTLIER_BASE_MS 1000
#define OUTLIER_DOUBLINGS_MAX 6
/* Largest share of a pool that may be ejected or on probation. */
#define OUTLIER_SHARE_PERMILLE 500

bool outlier_is_restricted(const struct outlier_health *health)
{
	return health->on_probation;
}

bool outlier_accepts_request(const struct outlier_health *health,
			     uint32_t in_flight, uint64_t now_ms)
{
	if (!health->on_probation)
		return true;
	return now_ms >= health->ejected_until_ms && in_flight == 0;
}

void outlier_require_probe(struct outlier_health *health)
{
	health->on_probation = true;
}

void outlier_undo_failure(struct outlier_health *health)
{
	health->failure_points -=
		MIN(health->failure_points, OUTLIER_POINTS_FAILED);
}

static uint64_t ejection_ms(uint32_t ejections, uint32_t seed)
{
	uint64_t base_ms = (uint64_t)OUTLIER_BASE_MS
			   << MIN(ejections, OUTLIER_DOUBLINGS_MAX);

	/* Up to a quarter more, so that processes do not probe in step. */
	return base_ms + seed % (base_ms / 4);
}

static void eject(struct outlier_health *health, uint64_t now_ms, uint32_t seed)
{
	health->on_probation = true;
	health->failure_points = 0;
	health->ejected_until_ms =
		now_ms + ejection_ms(health->ejections, seed);
	health->ejections++;
}

static void answer_record(struct outlier_health *health, uint64_t began_ms,
			  uint64_t now_ms)
{
	health->failure_points = 0;
	health->last_answer_ms = now_ms;
	if (!health->on_probation) {
		health->ejections -= MIN(health->ejections, 1);
		return;
	}
	if (began_ms >= health->ejected_until_ms)
		health->on_probation = false;
}

/* The failures count against the server only where others do answer. */
static bool others_answer(const struct outlier_health *health,
			  const struct outlier_pool *pool)
{
	return pool->others_last_answer_ms >= health->failing_since_ms &&
	       pool->others_last_answer_ms != 0;
}

static bool share_allows(const struct outlier_pool *pool)
{
	return (uint64_t)(pool->others_restricted + 1) * 1000 <=
	       (uint64_t)pool->servers * OUTLIER_SHARE_PERMILLE;
}

bool outlier_record(struct outlier_health *health,
		    const struct outlier_pool *pool,
		    enum outlier_result evidence, uint64_t began_ms,
		    uint64_t now_ms, uint32_t seed)
{
	if (evidence == OUTLIER_ANSWERED) {
		answer_record(health, began_ms, now_ms);
		return false;
	}
	if (health->on_probation) {
		if (began_ms < health->ejected_until_ms)
			return false;
		eject(health, now_ms, seed);
		return true;
	}
	if (health->failure_points == 0)
		health->failing_since_ms = began_ms;
	health->failure_points += evidence == OUTLIER_FAILED
					  ? OUTLIER_POINTS_FAILED
					  : OUTLIER_POINTS_SLOW;
	if (health->failure_points < OUTLIER_POINTS_MAX)
		return false;
	health->failure_points = OUTLIER_POINTS_MAX;
	if (!others_answer(health, pool) || !share_allows(pool))
		return false;
	eject(health, now_ms, seed);
	return true;
}
