#include "quota.h"

/* Time over which jobs may be submitted at once, in seconds of the rate, and
 * the jobs that any account may submit at once. */
#define QUOTA_BURST_S 1.0
#define QUOTA_BURST_MIN_JOBS 2.0
/* Bounds of the time after which a refused job may be submitted again. A longer
 * forecast than the upper one is not reliable. */
#define QUOTA_RETRY_MIN_MS 1000
#define QUOTA_RETRY_MAX_MS 10000

static bool component_allows(int64_t limit, int64_t used, int64_t need,
			     uint32_t count)
{
	return limit == 0 || need == 0 || used + need * count <= limit;
}

static bool fits(const struct resources *limit, const struct resources *used,
		 const struct resources *need, uint32_t count)
{
	return component_allows(limit->cpu_milli, used->cpu_milli,
				need->cpu_milli, count) &&
	       component_allows(limit->memory_mb, used->memory_mb,
				need->memory_mb, count) &&
	       component_allows(limit->accelerators, used->accelerators,
				need->accelerators, count);
}

static bool is_idle(const struct resources *used)
{
	return used->cpu_milli <= 0 && used->memory_mb <= 0 &&
	       used->accelerators <= 0;
}

bool quota_allows(const struct resources *limit, const struct resources *used,
		  const struct resources *need, uint32_t count)
{
	return fits(limit, used, need, count) || (count == 1 && is_idle(used));
}

bool quota_can_ever_allow(const struct resources *limit,
			  const struct resources *need, uint32_t count)
{
	const struct resources nothing = { 0 };

	return quota_allows(limit, &nothing, need, count);
}

bool quota_bucket_take(struct quota_bucket *bucket, double rate_per_s,
		       uint64_t now_ms)
{
	double most = rate_per_s * QUOTA_BURST_S;

	if (most < QUOTA_BURST_MIN_JOBS)
		most = QUOTA_BURST_MIN_JOBS;
	if (bucket->updated_ms == 0)
		bucket->tokens = most;
	else
		bucket->tokens += rate_per_s *
				  (double)(now_ms - bucket->updated_ms) / 1000;
	bucket->updated_ms = now_ms;
	if (bucket->tokens > most)
		bucket->tokens = most;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

bool quota_exceeds_share(int64_t used_milli, double weight,
			 const struct quota_pool *pool)
{
	double used = (double)used_milli;
	double cpu = (double)pool->cpu_milli;

	return pool->accounts > 1 && used * pool->accounts > cpu &&
	       used * pool->weight_sum > weight * cpu;
}

bool quota_pool_is_short(double backlog, int64_t pool_milli, uint64_t slack_ms)
{
	return backlog > (double)pool_milli * (double)slack_ms;
}

bool quota_is_hopeless(const struct quota_arrival *arrival,
		       uint32_t *retry_after_ms)
{
	double wait_ms;
	double late_ms;

	/* A pool without VMs gets some. */
	if (arrival->pool_milli <= 0)
		return false;
	wait_ms = arrival->backlog / (double)arrival->pool_milli;
	if (wait_ms + (double)arrival->critical_path_ms <=
	    (double)arrival->useful_ms)
		return false;
	late_ms = wait_ms + (double)arrival->critical_path_ms -
		  (double)arrival->objective_ms;
	if (late_ms < QUOTA_RETRY_MIN_MS)
		late_ms = QUOTA_RETRY_MIN_MS;
	if (late_ms > QUOTA_RETRY_MAX_MS)
		late_ms = QUOTA_RETRY_MAX_MS;
	*retry_after_ms = (uint32_t)late_ms;
	return true;
}
