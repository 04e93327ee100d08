#include "ejt.h"

#include <glib.h>
#include <string.h>

#define EJT_POINTS_FAILED 2
#define EJT_POINTS_SLOW 1
#define EJT_POINTS_MAX 6
#define EJT_BASE_MS 1000
#define EJT_DOUBLINGS_MAX 6
/* Largest share of a pool that may be ejected or on probation. */
#define EJT_SHARE_PERMILLE 500

bool ejt_is_limited(const struct ejt_health *health)
{
	return health->on_probation;
}

bool ejt_may_take(const struct ejt_health *health, uint32_t in_flight,
		  uint64_t now_ms)
{
	if (!health->on_probation)
		return true;
	return now_ms >= health->ejected_until_ms && in_flight == 0;
}

void ejt_require_probe(struct ejt_health *health)
{
	health->on_probation = true;
}

void ejt_pardon(struct ejt_health *health)
{
	health->points -= MIN(health->points, EJT_POINTS_FAILED);
}

static uint64_t ejection_ms(uint32_t ejections, uint32_t seed)
{
	uint64_t base_ms = (uint64_t)EJT_BASE_MS
			   << MIN(ejections, EJT_DOUBLINGS_MAX);

	/* Up to a quarter more, so that processes do not probe in step. */
	return base_ms + seed % (base_ms / 4);
}

static void eject(struct ejt_health *health, uint64_t now_ms, uint32_t seed)
{
	health->on_probation = true;
	health->points = 0;
	health->ejected_until_ms =
		now_ms + ejection_ms(health->ejections, seed);
	health->ejections++;
}

static void answer_record(struct ejt_health *health, uint64_t began_ms,
			  uint64_t now_ms)
{
	health->points = 0;
	health->answered_ms = now_ms;
	if (!health->on_probation) {
		health->ejections -= MIN(health->ejections, 1);
		return;
	}
	if (began_ms >= health->ejected_until_ms)
		health->on_probation = false;
}

/* The failures count against the server only where others do answer. */
static bool others_answer(const struct ejt_health *health,
			  const struct ejt_pool *pool)
{
	return pool->others_answered_ms >= health->failing_since_ms &&
	       pool->others_answered_ms != 0;
}

static bool share_allows(const struct ejt_pool *pool)
{
	return (uint64_t)(pool->ejected + 1) * 1000 <=
	       (uint64_t)pool->servers * EJT_SHARE_PERMILLE;
}

bool ejt_record(struct ejt_health *health, const struct ejt_pool *pool,
		enum ejt_evidence evidence, uint64_t began_ms, uint64_t now_ms,
		uint32_t seed)
{
	if (evidence == EJT_ANSWERED) {
		answer_record(health, began_ms, now_ms);
		return false;
	}
	if (health->on_probation) {
		if (began_ms < health->ejected_until_ms)
			return false;
		eject(health, now_ms, seed);
		return true;
	}
	if (health->points == 0)
		health->failing_since_ms = began_ms;
	health->points +=
		evidence == EJT_FAILED ? EJT_POINTS_FAILED : EJT_POINTS_SLOW;
	if (health->points < EJT_POINTS_MAX)
		return false;
	health->points = EJT_POINTS_MAX;
	if (!others_answer(health, pool) || !share_allows(pool))
		return false;
	eject(health, now_ms, seed);
	return true;
}
