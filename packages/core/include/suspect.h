/**
 * @file suspect.h
 * @brief Finds the tasks that crash the workers on which they run.
 *
 * Prefix: suspect_. No I/O. A worker that crashes does not tell which of its
 * tasks was the cause, or whether one was. Each task on it becomes a suspect.
 * Tasks that crash a worker do so again, and about as long after their start,
 * so the most likely suspects are started apart from each other: the next crash
 * either names one of them, or there is none and they are cleared.
 *
 * While a suspect has run for no longer than it had when a worker crashed under
 * it, with a margin, it is on probation.
 */
#ifndef SUSPECT_H
#define SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

/** Number of crashes after which a task is not started again, whatever the
 *  evidence. */
#define SUSPECT_CRASHES_MAX 5
/** Time for which a worker is kept free of new tasks until its tasks are no
 * likely suspects any more and one can be started there in isolation. */
#define SUSPECT_RESERVATION_MS 400
/** Crashes within this time count as one moment. */
#define SUSPECT_SAME_MOMENT_MS 20

/** A crash of a worker with the task. */
struct suspect_event {
	/** number of the crash, 0 if unknown */
	uint32_t crash;
	/** time that the task had run */
	uint32_t age_ms;
	/** shortly after the start of the task */
	bool prompt;
	/** the task had certainly been started */
	bool certain;
	/** time at which the crash was added to the background, 0 if it was not
	 */
	uint64_t counted_ms;
};

/** Evidence against one task; zero-initialized for none. */
struct suspect {
	/** the last crashes that it may have caused, since it was cleared */
	struct suspect_event events[SUSPECT_CRASHES_MAX];
	uint32_t crashes;
	/** those of them for which no other task was a suspect */
	uint32_t sole;
	/** mean rate at which workers crashed by themselves at the times of the
	 *  crashes: chance for each millisecond, in parts per billion; 0 if
	 *  unknown */
	uint32_t rate_ppb;
	/** earlier crashes that are no longer among the events */
	uint32_t dropped;
	/** crashes with the task, also those that another task was convicted
	 * of, if it had certainly been started */
	uint32_t total;
	/** further crashes that an earlier owner may not have recorded */
	uint32_t presumed;
	/** VM of the last one, as a hash; 0 if unknown */
	uint32_t place;
	/** longest time that it had run at a crash; kept when it is cleared */
	uint32_t longest_ms;
};

/** What a crash means for a task that was on the worker. */
enum suspect_verdict {
	/** another task is the cause, or its end has another cause */
	SUSPECT_EXONERATED,
	/** it may be the cause, and so may others */
	SUSPECT_POSSIBLE,
	/** no other task is a likely suspect */
	SUSPECT_SOLE,
};

/** A task that was on a worker when it crashed. */
struct suspect_task {
	/** updated by suspect_judge() */
	struct suspect *evidence;
	/** time that it had run, and whether that is its whole time */
	uint32_t age_ms;
	bool age_known;
	/** it had certainly been started */
	bool certain;
	/** the same for the tasks of one gang, different for all others */
	uint64_t unit;
	/** VM on which it ran, as a hash; 0 if unknown */
	uint32_t place;
	/** runs until its job is cancelled */
	bool long_running;
	/** set by suspect_judge() */
	enum suspect_verdict verdict;
};

/**
 * Recent crashes of the workers of one pool at times without a likely suspect
 * on them, whether they had other tasks or none; zero-initialized. These are
 * the control group: a harmless task in isolation meets crashes as often.
 */
struct suspect_background {
	/** number of crashes, and time that the workers have run without a
	 *  likely suspect; both decay with time */
	double crashes;
	double exposure_ms;
	uint64_t updated_ms;
};

/** @brief Adds time that workers have run without a likely suspect. */
void suspect_background_observe(struct suspect_background *background,
				uint64_t worker_ms, uint64_t now_ms);

/** @brief Adds the crash of a worker without a likely suspect. */
void suspect_background_add(struct suspect_background *background,
			    uint64_t now_ms);

/** @brief Removes the crashes that a convicted task explains. */
void suspect_background_explain(struct suspect_background *background,
				const struct suspect *convict, uint64_t now_ms);

/** The crash of a worker. */
struct suspect_crash {
	uint32_t number;
	/** several workers crashed at the same moment, possibly for a common
	 *  cause, so that the crash cannot single out a task */
	bool common_cause;
	/** no task on the worker was a likely suspect, so the crash counts as
	 *  one of the background */
	bool in_background;
	/** the background before this crash, the number of workers of the pool,
	 *  and the time of the crash */
	const struct suspect_background *background;
	uint32_t workers;
	uint64_t now_ms;
};

/** @brief Returns whether one of the tasks on a worker is a likely suspect, see
 *  suspect_is_likely(). */
bool suspect_any_likely(const struct suspect_task *tasks, uint32_t count);

/**
 * @brief Adds a crash to the evidence against the tasks of a worker.
 * @return whether the crash has a sole suspect
 */
bool suspect_judge(const struct suspect_crash *crash,
		   struct suspect_task *tasks, uint32_t count);

/** @brief Removes a crash that another task was convicted of. */
void suspect_exonerate(struct suspect *evidence, uint32_t crash);

/** @brief Returns whether a task is on probation after running for a time. */
bool suspect_on_probation(const struct suspect *evidence, uint64_t age_ms);

/**
 * @brief Clears a task that has run past its probation.
 * @return whether it was cleared now
 */
bool suspect_try_clear(struct suspect *evidence, uint64_t age_ms);

/** @brief Returns whether a task would be a likely suspect if its worker
 * crashed now: it is on probation in isolation, or was just started. */
bool suspect_is_likely(const struct suspect *evidence, uint64_t age_ms);

/** @brief Returns whether a task may only be started apart from other suspects.
 */
bool suspect_needs_isolation(const struct suspect *evidence);

/** @brief Returns whether the evidence suffices to give up the task. */
bool suspect_is_convicted(const struct suspect_task *task);

/** @brief Returns the chance that a harmless task meets crashes like those in
 *  the evidence, in parts per billion. */
uint32_t suspect_chance_ppb(const struct suspect *evidence);

/** @brief Returns the number of crashes shortly after the start of the task. */
uint32_t suspect_prompt_crashes(const struct suspect *evidence);

/**
 * @brief Presumes a crash under a suspect whose owner was replaced.
 *
 * A suspect is started only after the evidence against it was stored. If no
 * worker has its run, that run may have crashed a worker since.
 */
void suspect_presume_crash(struct suspect *evidence);

/** @brief Returns how many suspects may be in isolation at once in a pool of
 *  workers. @param free_percent share of the pool's CPU that is free */
uint32_t suspect_isolation_limit(uint32_t workers, uint32_t free_percent);

/** @brief Returns whether a suspect may be started in isolation so soon after
 *  the last one. Crashes at distinct moments can be told from a common cause.
 */
bool suspect_isolation_may_begin(uint64_t last_ms, uint64_t now_ms);

/** @brief Returns whether workers crashed so close together that there may be a
 *  common cause. @param count number of workers that crashed at about the same
 *  time, see SUSPECT_SAME_MOMENT_MS */
bool suspect_cause_may_be_common(uint32_t count);

#endif
