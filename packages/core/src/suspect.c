#include "suspect.h"

#include <glib.h>
#include <math.h>

/* A crash within this time after the start of a task is more likely caused by
 * that task than by one that had run for longer. */
#define SUSPECT_PROMPT_MS 250
/* Margin of the probation, and the share of the time at the crash, for tasks
 * that do not crash their workers after exactly the same time. */
#define SUSPECT_MARGIN_MS 100
#define SUSPECT_MARGIN_PERCENT 50
/* Ages at two crashes that differ by no more than this time, or this share of
 * the longer one, are the same. */
#define SUSPECT_SAME_AGE_MS 40
#define SUSPECT_SAME_AGE_DIVISOR 4
/* A long-running task that has run for this long is no suspect. It is restarted
 * after each crash, so a fleet that crashes often would convict it by chance.
 */
#define SUSPECT_LONG_RUNNING_MAX_MS 5000
/* Lowest number of crashes that convict a task: if all of them were shortly
 * after its start, if it had run for the same time at each, and otherwise. The
 * last is common among harmless tasks of a fleet that crashes often, so most of
 * those crashes must have had no other suspect. */
#define SUSPECT_CRASHES_PROMPT 2
#define SUSPECT_CRASHES 3
#define SUSPECT_CRASHES_ANY_AGE 4
#define SUSPECT_SOLE_ANY_AGE 3
/* Highest chance that the evidence would be there against a harmless task. */
#define SUSPECT_CHANCE_MAX_PPM 500
/* Time within which unexplained crashes count, and the number that is assumed
 * if there were none. */
#define SUSPECT_BACKGROUND_MS 10000
#define SUSPECT_BACKGROUND_MIN 0.5
/* Number of workers that crash at the same moment for a common cause. */
#define SUSPECT_COMMON_CAUSE_WORKERS 3
/* Interval between starts in isolation; exceeds the time within which crashes
 * count as simultaneous. */
#define SUSPECT_ISOLATION_INTERVAL_MS 30
/* Share of a pool's workers that may have a suspect in isolation. */
#define SUSPECT_ISOLATION_DIVISOR 4
/* Share of its idle workers that may have one in addition. */
#define SUSPECT_ISOLATION_IDLE_DIVISOR 2

static uint64_t probation_ms(const struct suspect *evidence)
{
	return evidence->longest_ms + SUSPECT_MARGIN_MS +
	       (uint64_t)evidence->longest_ms * SUSPECT_MARGIN_PERCENT / 100;
}

bool suspect_on_probation(const struct suspect *evidence, uint64_t age_ms)
{
	return evidence && evidence->crashes > 0 &&
	       age_ms <= probation_ms(evidence);
}

static bool is_prompt(const struct suspect_task *task)
{
	return task->age_known && task->age_ms <= SUSPECT_PROMPT_MS;
}

static bool may_be_cause(const struct suspect_task *task)
{
	return !task->long_running ||
	       task->age_ms <= SUSPECT_LONG_RUNNING_MAX_MS;
}

/* Whether a task was a suspect before this crash. */
static bool is_watched(const struct suspect_task *task)
{
	return may_be_cause(task) &&
	       suspect_on_probation(task->evidence, task->age_ms);
}

static double background_count(const struct suspect_background *background,
			       uint64_t now_ms)
{
	return background->count *
	       exp(-(double)(now_ms - background->updated_ms) /
		   SUSPECT_BACKGROUND_MS);
}

void suspect_background_add(struct suspect_background *background,
			    int32_t crashes, uint64_t now_ms)
{
	background->count =
		fmax(background_count(background, now_ms) + crashes, 0);
	background->updated_ms = now_ms;
}

/* Returns the chance that an unexplained crash would have ended the run of a
 * task on probation, about as long after its start as the crashes before. Those
 * may be due to the task itself and do not count. */
static double crash_chance(const struct suspect_task *task,
			   const struct suspect_crash *crash)
{
	const struct suspect *evidence = task->evidence;
	double window_ms = (double)probation_ms(evidence);
	double others = background_count(crash->background, crash->now_ms) -
			(evidence->crashes - evidence->sole);

	if (task->age_ms + SUSPECT_SAME_AGE_MS >= evidence->longest_ms &&
	    task->age_ms <= evidence->shortest_ms + SUSPECT_SAME_AGE_MS)
		window_ms = 2 * SUSPECT_SAME_AGE_MS;
	return fmin(window_ms / SUSPECT_BACKGROUND_MS *
			    fmax(others, SUSPECT_BACKGROUND_MIN) /
			    crash->workers,
		    1);
}

static void sole_add(struct suspect_task *task,
		     const struct suspect_crash *crash)
{
	struct suspect *evidence = task->evidence;
	uint32_t before_ppm = evidence->sole ? evidence->chance_ppm : 1000000;

	evidence->chance_ppm =
		(uint32_t)(before_ppm * crash_chance(task, crash));
	evidence->sole++;
}

static void crash_add(struct suspect_task *task, bool prompt)
{
	struct suspect *evidence = task->evidence;

	if (evidence->crashes == 0 || task->age_ms < evidence->shortest_ms)
		evidence->shortest_ms = task->age_ms;
	if (task->age_ms > evidence->longest_ms)
		evidence->longest_ms = task->age_ms;
	evidence->place = task->place;
	evidence->crashes++;
	evidence->prompt += prompt;
}

/* Returns whether all suspects of the crash belong to one unit: the watched
 * tasks, and the tasks that had just been started. */
static bool has_sole_unit(const struct suspect_task *tasks, uint32_t count)
{
	const struct suspect_task *first = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!is_watched(&tasks[i]) && !is_prompt(&tasks[i]))
			continue;
		if (first && first->unit != tasks[i].unit)
			return false;
		first = &tasks[i];
	}
	return first != 0;
}

bool suspect_judge(const struct suspect_crash *crash,
		   struct suspect_task *tasks, uint32_t count)
{
	bool any_watched = false;
	bool any_sole = false;
	bool sole;

	for (uint32_t i = 0; i < count; i++)
		any_watched |= is_watched(&tasks[i]);
	sole = any_watched && !crash->common_cause &&
	       has_sole_unit(tasks, count);
	for (uint32_t i = 0; i < count; i++) {
		struct suspect_task *task = &tasks[i];
		bool watched = is_watched(task);
		bool prompt = is_prompt(task) && !crash->common_cause;

		task->verdict = SUSPECT_EXONERATED;
		/* A watched task explains the crash better than tasks that have
		 * run well for some time. */
		if (!may_be_cause(task) || (any_watched && !watched &&
					    !prompt && !crash->common_cause))
			continue;
		task->verdict = SUSPECT_POSSIBLE;
		/* A second crash of one VM may be a fault of the VM. */
		if (sole && watched &&
		    (task->place == 0 ||
		     task->place != task->evidence->place)) {
			task->verdict = SUSPECT_SOLE;
			any_sole = true;
			sole_add(task, crash);
		}
		crash_add(task, prompt);
	}
	return any_sole;
}

bool suspect_try_clear(struct suspect *evidence, uint64_t age_ms)
{
	if (!evidence || evidence->crashes == 0 ||
	    suspect_on_probation(evidence, age_ms))
		return false;
	*evidence = (struct suspect){ .longest_ms = evidence->longest_ms };
	return true;
}

bool suspect_is_likely(const struct suspect *evidence, uint64_t age_ms)
{
	return age_ms <= SUSPECT_PROMPT_MS ||
	       suspect_on_probation(evidence, age_ms);
}

bool suspect_needs_isolation(const struct suspect *evidence)
{
	return evidence &&
	       (evidence->prompt > 0 || evidence->crashes >= SUSPECT_CRASHES);
}

static uint32_t crashes_needed(const struct suspect *evidence)
{
	uint32_t same_age_ms =
		MAX(SUSPECT_SAME_AGE_MS,
		    evidence->longest_ms / SUSPECT_SAME_AGE_DIVISOR);

	if (evidence->longest_ms - evidence->shortest_ms > same_age_ms)
		return SUSPECT_CRASHES_ANY_AGE;
	return evidence->prompt == evidence->crashes ? SUSPECT_CRASHES_PROMPT
						     : SUSPECT_CRASHES;
}

bool suspect_is_convicted(const struct suspect *evidence)
{
	uint32_t needed = crashes_needed(evidence);

	return evidence->crashes >= needed && evidence->sole > 0 &&
	       (needed < SUSPECT_CRASHES_ANY_AGE ||
		evidence->sole >= SUSPECT_SOLE_ANY_AGE) &&
	       evidence->chance_ppm <= SUSPECT_CHANCE_MAX_PPM;
}

uint32_t suspect_isolation_limit(uint32_t workers, uint32_t idle)
{
	return MAX(workers / SUSPECT_ISOLATION_DIVISOR +
			   idle / SUSPECT_ISOLATION_IDLE_DIVISOR,
		   1);
}

bool suspect_isolation_may_begin(uint64_t last_ms, uint64_t now_ms)
{
	return now_ms - last_ms >= SUSPECT_ISOLATION_INTERVAL_MS;
}

bool suspect_cause_may_be_common(uint32_t count)
{
	return count >= SUSPECT_COMMON_CAUSE_WORKERS;
}
