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
/* As SUSPECT_CRASHES_MAX, if the task had run for the same time at each crash,
 * or if some of the crashes are only presumed. */
#define SUSPECT_CRASHES_SAME_AGE_MAX 4
#define SUSPECT_PRESUMED_MAX 4
/* Number of crashes at which a task must certainly have been started before it
 * is given up. */
#define SUSPECT_CERTAIN_MIN 2
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
/* Percentage of a pool's workers that may have a suspect in isolation, and the
 * part of the pool's free share that is added: isolation takes nothing from
 * others there. */
#define SUSPECT_ISOLATION_PERCENT 25
#define SUSPECT_ISOLATION_FREE_DIVISOR 2

static uint64_t probation_ms(const struct suspect *evidence)
{
	return evidence->longest_ms + SUSPECT_MARGIN_MS +
	       (uint64_t)evidence->longest_ms * SUSPECT_MARGIN_PERCENT / 100;
}

static uint32_t shortest_ms(const struct suspect *evidence)
{
	uint32_t shortest = UINT32_MAX;

	for (uint32_t i = 0; i < evidence->crashes; i++)
		shortest = MIN(shortest, evidence->events[i].age_ms);
	return shortest;
}

uint32_t suspect_prompt_crashes(const struct suspect *evidence)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < evidence->crashes; i++)
		count += evidence->events[i].prompt;
	return count;
}

static uint32_t certain_crashes(const struct suspect *evidence)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < evidence->crashes; i++)
		count += evidence->events[i].certain;
	return count;
}

bool suspect_on_probation(const struct suspect *evidence, uint64_t age_ms)
{
	return evidence && evidence->crashes > 0 &&
	       age_ms <= probation_ms(evidence);
}

/* Returns whether the task had run for the same time at each crash. */
static bool ages_are_same(const struct suspect *evidence)
{
	uint32_t same_age_ms =
		MAX(SUSPECT_SAME_AGE_MS,
		    evidence->longest_ms / SUSPECT_SAME_AGE_DIVISOR);

	return evidence->longest_ms - shortest_ms(evidence) <= same_age_ms;
}

bool suspect_needs_isolation(const struct suspect *evidence)
{
	return evidence &&
	       (evidence->crashes >= SUSPECT_CRASHES ||
		(evidence->crashes > 1 && ages_are_same(evidence)) ||
		suspect_prompt_crashes(evidence) > 0);
}

bool suspect_is_likely(const struct suspect *evidence, uint64_t age_ms)
{
	return age_ms <= SUSPECT_PROMPT_MS ||
	       (suspect_needs_isolation(evidence) &&
		suspect_on_probation(evidence, age_ms));
}

static bool is_prompt(const struct suspect_task *task)
{
	return task->certain && task->age_known &&
	       task->age_ms <= SUSPECT_PROMPT_MS;
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
	    task->age_ms <= shortest_ms(evidence) + SUSPECT_SAME_AGE_MS)
		window_ms = 2 * SUSPECT_SAME_AGE_MS;
	return fmin(window_ms / SUSPECT_BACKGROUND_MS *
			    fmax(others, SUSPECT_BACKGROUND_MIN) /
			    crash->workers,
		    1);
}

static void event_add(struct suspect_task *task,
		      const struct suspect_crash *crash, bool prompt)
{
	struct suspect *evidence = task->evidence;

	/* The oldest one makes room, for tasks that are not given up. */
	if (evidence->crashes == SUSPECT_CRASHES_MAX) {
		for (uint32_t i = 1; i < evidence->crashes; i++)
			evidence->events[i - 1] = evidence->events[i];
		evidence->crashes--;
	}
	evidence->events[evidence->crashes++] = (struct suspect_event){
		.crash = crash->number,
		.age_ms = task->age_ms,
		.prompt = prompt,
		.certain = task->certain,
	};
	evidence->total += task->certain;
	evidence->place = task->place;
	evidence->longest_ms = MAX(evidence->longest_ms, task->age_ms);
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

/* How likely a task is the cause of a crash, compared with others. */
enum likelihood {
	UNLIKELY,
	/* on probation after crashes at which others were more likely */
	LIKELY,
	/* on probation in isolation, or just started */
	MOST_LIKELY,
};

static enum likelihood likelihood(const struct suspect_task *task)
{
	if (is_prompt(task))
		return MOST_LIKELY;
	if (!is_watched(task))
		return UNLIKELY;
	return suspect_needs_isolation(task->evidence) ? MOST_LIKELY : LIKELY;
}

static enum likelihood likelihood_max(const struct suspect_task *tasks,
				      uint32_t count)
{
	enum likelihood max = UNLIKELY;

	for (uint32_t i = 0; i < count; i++)
		max = MAX(max, likelihood(&tasks[i]));
	return max;
}

/* Returns whether the most likely tasks belong to one unit. */
static bool has_sole_unit(const struct suspect_task *tasks, uint32_t count,
			  enum likelihood max)
{
	const struct suspect_task *first = NULL;

	for (uint32_t i = 0; max > UNLIKELY && i < count; i++) {
		if (likelihood(&tasks[i]) < max)
			continue;
		if (first && first->unit != tasks[i].unit)
			return false;
		first = &tasks[i];
	}
	return first != NULL;
}

static uint32_t crashes_needed(const struct suspect *evidence)
{
	if (!ages_are_same(evidence))
		return SUSPECT_CRASHES_ANY_AGE;
	return suspect_prompt_crashes(evidence) == evidence->crashes
		       ? SUSPECT_CRASHES_PROMPT
		       : SUSPECT_CRASHES;
}

/* Returns whether a task was on so many crashed workers that it must not be
 * started again, however likely that is by chance. Long-running tasks are on a
 * worker at most times, so that tells nothing of them. */
static bool is_exhausted(const struct suspect_task *task)
{
	const struct suspect *evidence = task->evidence;

	if (task->long_running)
		return false;
	return evidence->total >= SUSPECT_CRASHES_MAX ||
	       (evidence->crashes >= SUSPECT_CRASHES_SAME_AGE_MAX &&
		ages_are_same(evidence)) ||
	       (evidence->presumed > 0 &&
		evidence->crashes + evidence->presumed >= SUSPECT_PRESUMED_MAX);
}

bool suspect_is_convicted(const struct suspect_task *task)
{
	const struct suspect *evidence = task->evidence;
	uint32_t needed = crashes_needed(evidence);

	if (task->verdict == SUSPECT_EXONERATED ||
	    certain_crashes(evidence) < SUSPECT_CERTAIN_MIN)
		return false;
	if (is_exhausted(task))
		return true;
	return task->verdict == SUSPECT_SOLE && evidence->crashes >= needed &&
	       (needed < SUSPECT_CRASHES_ANY_AGE ||
		evidence->sole >= SUSPECT_SOLE_ANY_AGE) &&
	       evidence->chance_ppm <= SUSPECT_CHANCE_MAX_PPM;
}

/* Adds the crash to the evidence against the most likely tasks, all of which
 * belong to one unit. Returns whether one of them is convicted. */
static bool sole_judge(const struct suspect_crash *crash,
		       struct suspect_task *tasks, uint32_t count,
		       enum likelihood max)
{
	bool convicted = false;

	for (uint32_t i = 0; i < count; i++) {
		struct suspect_task *task = &tasks[i];

		/* A second crash of one VM may be a fault of the VM. */
		if (likelihood(task) < max || !is_watched(task) ||
		    (task->place != 0 && task->place == task->evidence->place))
			continue;
		task->verdict = SUSPECT_SOLE;
		sole_add(task, crash);
		event_add(task, crash, is_prompt(task));
		convicted |= suspect_is_convicted(task);
	}
	return convicted;
}

bool suspect_judge(const struct suspect_crash *crash,
		   struct suspect_task *tasks, uint32_t count)
{
	enum likelihood max = likelihood_max(tasks, count);
	bool any_sole = false;

	for (uint32_t i = 0; i < count; i++)
		tasks[i].verdict = SUSPECT_EXONERATED;
	if (!crash->common_cause && has_sole_unit(tasks, count, max) &&
	    sole_judge(crash, tasks, count, max))
		return true;
	for (uint32_t i = 0; i < count; i++) {
		struct suspect_task *task = &tasks[i];

		any_sole |= task->verdict == SUSPECT_SOLE;
		if (task->verdict == SUSPECT_SOLE || !may_be_cause(task))
			continue;
		task->verdict = SUSPECT_POSSIBLE;
		event_add(task, crash, is_prompt(task) && !crash->common_cause);
	}
	return any_sole;
}

void suspect_exonerate(struct suspect *evidence, uint32_t crash)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < evidence->crashes; i++) {
		if (evidence->events[i].crash != crash)
			evidence->events[kept++] = evidence->events[i];
	}
	evidence->crashes = kept;
	evidence->sole = MIN(evidence->sole, kept);
}

bool suspect_try_clear(struct suspect *evidence, uint64_t age_ms)
{
	if (!evidence || evidence->crashes == 0 ||
	    suspect_on_probation(evidence, age_ms))
		return false;
	*evidence = (struct suspect){ .longest_ms = evidence->longest_ms };
	return true;
}

void suspect_presume_crash(struct suspect *evidence)
{
	if (suspect_needs_isolation(evidence))
		evidence->presumed++;
}

uint32_t suspect_isolation_limit(uint32_t workers, uint32_t free_percent)
{
	uint32_t percent = SUSPECT_ISOLATION_PERCENT +
			   free_percent / SUSPECT_ISOLATION_FREE_DIVISOR;

	return MAX(workers * percent / 100, 1);
}

bool suspect_isolation_may_begin(uint64_t last_ms, uint64_t now_ms)
{
	return now_ms - last_ms >= SUSPECT_ISOLATION_INTERVAL_MS;
}

bool suspect_cause_may_be_common(uint32_t count)
{
	return count >= SUSPECT_COMMON_CAUSE_WORKERS;
}
