#include "owner_schedule.h"

void owner_backlog_add(struct schedule_pool *pool,
		       const struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	if (urgency_band_in(occurrence->sort_key) == URGENCY_BAND_EXPIRED)
		return;
	for (guint i = 0; i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];

		if (!group->step->is_long_running)
			pool->backlog += (double)group->tasks_waiting *
					 (double)group->step->need.cpu_milli *
					 group->expected_ms;
	}
}

void owner_backlogs_update(struct owner *owner, GHashTable *pools)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->backlogs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct owner_backlog *)value)->work = 0;
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct schedule_pool *pool = value;
		struct owner_backlog *backlog;

		if (!pool->shares)
			continue;
		backlog = g_new0(struct owner_backlog, 1);
		backlog->pool_milli = pool->cpu_milli;
		backlog->work = pool->backlog;
		g_hash_table_replace(owner->backlogs, g_strdup(pool->service),
				     backlog);
	}
}
