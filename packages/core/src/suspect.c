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
/* Highest chance that a harmless task meets the same crashes, in parts per
 * billion. There are as many chances as tasks are started. */
#define SUSPECT_CHANCE_MAX_PPB 25
/* The same for a task that was on so many crashed workers that it must not be
 * started again. */
#define SUSPECT_EXHAUSTED_CHANCE_MAX_PPB 10000
/* Smallest part of the probation that counts as the same age: crashes that
 * recur at an interval end tasks that they restart after much the same time. */
#define SUSPECT_SAME_AGE_MIN_DIVISOR 4
/* Time within which crashes count. */
#define SUSPECT_BACKGROUND_MS 10000
/* Rate at which workers crash by themselves if none has, in parts per billion
 * and millisecond: each every quarter of an hour. */
#define SUSPECT_RATE_MIN_PPB 1000
/* Number of crashes that may just have been missed, which matters to an owner
 * that has observed the workers only for a short time. */
#define SUSPECT_CRASHES_MISSED 0.01
/* Shortest time that each worker is taken to have been observed. */
#define SUSPECT_EXPOSURE_MIN_MS 1000
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

/* Returns what is left at a time of an amount that was added earlier. */
static double decayed(double amount, uint64_t added_ms, uint64_t now_ms)
{
	return amount *
	       exp(-(double)(now_ms - added_ms) / SUSPECT_BACKGROUND_MS);
}

static void background_update(struct suspect_background *background,
			      uint64_t now_ms)
{
	background->crashes =
		decayed(background->crashes, background->updated_ms, now_ms);
	background->exposure_ms = decayed(background->exposure_ms,
					  background->updated_ms, now_ms);
	background->updated_ms = now_ms;
}

void suspect_background_observe(struct suspect_background *background,
				uint64_t worker_ms, uint64_t now_ms)
{
	background_update(background, now_ms);
	background->exposure_ms += (double)worker_ms;
}

void suspect_background_add(struct suspect_background *background,
			    uint64_t now_ms)
{
	background_update(background, now_ms);
	background->crashes += 1;
}

/* Returns what the crashes in the evidence still add to the background. */
static double counted_crashes(const struct suspect *evidence, uint64_t now_ms)
{
	double count = 0;

	for (uint32_t i = 0; i < evidence->crashes; i++) {
		uint64_t counted_ms = evidence->events[i].counted_ms;

		if (counted_ms != 0)
			count += decayed(1, counted_ms, now_ms);
	}
	return count;
}

void suspect_background_explain(struct suspect_background *background,
				const struct suspect *convict, uint64_t now_ms)
{
	background_update(background, now_ms);
	background->crashes =
		fmax(background->crashes - counted_crashes(convict, now_ms), 0);
}

/* Returns the rate at which workers crash by themselves. Crashes that may be
 * due to the task itself do not count. */
static uint32_t crash_rate_ppb(const struct suspect *evidence,
			       const struct suspect_crash *crash)
{
	const struct suspect_background *background = crash->background;
	double crashes = decayed(background->crashes, background->updated_ms,
				 crash->now_ms) -
			 counted_crashes(evidence, crash->now_ms);
	double exposure_ms = decayed(background->exposure_ms,
				     background->updated_ms, crash->now_ms);

	exposure_ms = fmax(exposure_ms,
			   (double)crash->workers * SUSPECT_EXPOSURE_MIN_MS);
	return (uint32_t)fmin(fmax(SUSPECT_RATE_MIN_PPB,
				   SUSPECT_CRASHES_MISSED / exposure_ms * 1e9) +
				      fmax(crashes, 0) / exposure_ms * 1e9,
			      1e9);
}

/* Copies the crashes at which the task had run for about as long as at one of
 * them, and no less, to evidence of their own. */
static void same_age_copy(const struct suspect *evidence, uint32_t shortest_ms,
			  struct suspect *out)
{
	*out = (struct suspect){ .rate_ppb = evidence->rate_ppb };
	for (uint32_t i = 0; i < evidence->crashes; i++) {
		const struct suspect_event *event = &evidence->events[i];
		uint32_t same_age_ms =
			MAX(SUSPECT_SAME_AGE_MS,
			    event->age_ms / SUSPECT_SAME_AGE_DIVISOR);

		if (event->age_ms < shortest_ms ||
		    event->age_ms - shortest_ms > same_age_ms)
			continue;
		out->events[out->crashes++] = *event;
		out->longest_ms = MAX(out->longest_ms, event->age_ms);
	}
}

/* Returns the time within which a crash would have ended a run of the task
 * after about the same time as the others. */
static double same_age_window_ms(const struct suspect *evidence)
{
	uint64_t probation = probation_ms(evidence);
	uint32_t last = 0;
	uint32_t spread;

	for (uint32_t i = 0; i < evidence->crashes; i++)
		last = MAX(last, evidence->events[i].age_ms);
	spread = last - MIN(shortest_ms(evidence), last);
	return (double)MIN(MAX(2 * MAX(spread, SUSPECT_SAME_AGE_MS),
			       probation / SUSPECT_SAME_AGE_MIN_DIVISOR),
			   probation);
}

/* Returns the chance that a harmless task meets a number of crashes: a first
 * one soon after its start, and each of the others about as long after it. */
static double chance(const struct suspect *evidence, uint32_t crashes)
{
	double rate = evidence->rate_ppb / 1e9;
	double first_ms =
		(double)MAX(probation_ms(evidence), SUSPECT_PROMPT_MS);

	if (crashes == 0)
		return 1;
	return fmin(rate * first_ms, 1) *
	       pow(fmin(rate * same_age_window_ms(evidence), 1), crashes - 1);
}

uint32_t suspect_chance_ppb(const struct suspect *evidence)
{
	return (uint32_t)(chance(evidence,
				 evidence->crashes + evidence->dropped) *
			  1e9);
}

bool suspect_any_likely(const struct suspect_task *tasks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (suspect_is_likely(tasks[i].evidence, tasks[i].age_ms))
			return true;
	}
	return false;
}

/* Returns the mean rate at the crashes in the evidence and at one more, whose
 * rate stands for all if theirs is unknown. */
static uint32_t rate_mean_ppb(const struct suspect *evidence, uint32_t rate_ppb)
{
	uint64_t before = evidence->crashes + evidence->dropped;

	if (evidence->rate_ppb == 0)
		return rate_ppb;
	return (uint32_t)((before * evidence->rate_ppb + rate_ppb) /
			  (before + 1));
}

static void event_add(struct suspect_task *task,
		      const struct suspect_crash *crash, bool prompt)
{
	struct suspect *evidence = task->evidence;
	uint32_t rate_ppb = crash_rate_ppb(evidence, crash);

	/* The oldest one makes room, for tasks that are not given up. */
	if (evidence->crashes == SUSPECT_CRASHES_MAX) {
		for (uint32_t i = 1; i < evidence->crashes; i++)
			evidence->events[i - 1] = evidence->events[i];
		evidence->crashes--;
		evidence->dropped++;
	}
	evidence->rate_ppb = rate_mean_ppb(evidence, rate_ppb);
	evidence->events[evidence->crashes++] = (struct suspect_event){
		.crash = crash->number,
		.age_ms = task->age_ms,
		.prompt = prompt,
		.certain = task->certain,
		.counted_ms = crash->in_background ? crash->now_ms : 0,
	};
	evidence->total += task->certain;
	evidence->place = task->place;
	evidence->longest_ms = MAX(evidence->longest_ms, task->age_ms);
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
	bool all_prompt = suspect_prompt_crashes(evidence) == evidence->crashes;

	/* So soon, the times differ by how late the last answers were. */
	if (!ages_are_same(evidence))
		return all_prompt ? SUSPECT_CRASHES : SUSPECT_CRASHES_ANY_AGE;
	return all_prompt ? SUSPECT_CRASHES_PROMPT : SUSPECT_CRASHES;
}

/* Returns whether a task was on so many crashed workers that it must not be
 * started again, even if other tasks may have been the cause each time.
 * Long-running tasks are on a worker at most times, so that tells nothing of
 * them. */
static bool is_exhausted(const struct suspect_task *task)
{
	const struct suspect *evidence = task->evidence;
	uint32_t presumed = evidence->crashes + evidence->presumed;
	uint32_t count = 0;

	if (task->long_running)
		return false;
	if (evidence->total >= SUSPECT_CRASHES_MAX &&
	    (evidence->crashes == SUSPECT_CRASHES_MAX ||
	     ages_are_same(evidence)))
		count = evidence->total;
	else if (evidence->crashes >= SUSPECT_CRASHES_SAME_AGE_MAX &&
		 ages_are_same(evidence))
		count = evidence->crashes;
	else if (evidence->presumed > 0 && presumed >= SUSPECT_PRESUMED_MAX)
		count = presumed;
	return count > 0 && chance(evidence, count) * 1e9 <=
				    SUSPECT_EXHAUSTED_CHANCE_MAX_PPB;
}

/* Returns whether the last crash and at least two others, all after the same
 * time, suffice without the crashes after another time. Those may have had
 * another cause, or the time may be known only in part. */
static bool same_ages_convict(const struct suspect *evidence)
{
	uint32_t last_ms = evidence->events[evidence->crashes - 1].age_ms;

	for (uint32_t i = 0; i < evidence->crashes; i++) {
		uint32_t shortest = evidence->events[i].age_ms;
		struct suspect same;

		same_age_copy(evidence, shortest, &same);
		if (same.crashes >= SUSPECT_CRASHES && last_ms >= shortest &&
		    last_ms <= same.longest_ms &&
		    certain_crashes(&same) >= SUSPECT_CERTAIN_MIN &&
		    suspect_chance_ppb(&same) <= SUSPECT_CHANCE_MAX_PPB)
			return true;
	}
	return false;
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
	if (task->verdict == SUSPECT_SOLE && same_ages_convict(evidence))
		return true;
	return task->verdict == SUSPECT_SOLE && evidence->crashes >= needed &&
	       (needed < SUSPECT_CRASHES_ANY_AGE ||
		evidence->sole >= SUSPECT_SOLE_ANY_AGE) &&
	       suspect_chance_ppb(evidence) <= SUSPECT_CHANCE_MAX_PPB;
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
		task->evidence->sole++;
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
