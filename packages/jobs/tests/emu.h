/**
 * @file emu.h
 * @brief An emulator of the platform, in one process and in virtual time.
 *
 * Prefix: emu_. Fills the tables of plt.h, jpt.h and jsv.h, runs the real job
 * service in several processes' stead, makes faults by a seed, and checks from
 * outside what the workers and callers saw.
 */
#ifndef EMU_H
#define EMU_H

#include "jobs.h"

#define EMU_NODES_MAX 9
#define EMU_POOLS_MAX 6
#define EMU_VMS_MAX 400

struct emu;

/** Shape of a deployment. */
struct emu_config {
	uint32_t seed;
	uint32_t nodes;
	/** pools that serve a queue each, beside the spare one */
	uint32_t pools;
	uint32_t vms_per_pool;
	uint32_t spare_vms;
	int64_t vm_cpu_milli;
	/** attempts of each queue */
	uint32_t attempts;
	/** VMs cannot be moved */
	bool fixed_pools;
};

/** What the checker counts as broken. */
enum emu_rule {
	/** two runs of a task at once, or one after a noted end as done */
	EMU_RULE_TWICE,
	/** a run after the attempts were used up */
	EMU_RULE_BUDGET,
	/** a run before the steps that it waits for were done */
	EMU_RULE_ORDER,
	/** a run of a job that nobody submitted, or that was refused for good
	 */
	EMU_RULE_UNASKED,
	/** a lasting task stopped while too many of its step were away */
	EMU_RULE_AVAIL,
	/** more VMs of a wave in maintenance than it allows */
	EMU_RULE_LIMIT,
	/** a job shown as succeeded with a task that was not done, or lost */
	EMU_RULE_STATE,
	/** a member of a gang ended alone */
	EMU_RULE_GANG,
	/** orders of two owners to one VM closer than the gap */
	EMU_RULE_ONE,
	EMU_RULE_COUNT
};

/** How the store treats a process. */
enum emu_store_mode {
	EMU_STORE_OK,
	/** refuses each call; nothing is done */
	EMU_STORE_UNAVAILABLE,
	/** does not answer; nothing is done */
	EMU_STORE_UNRESPONSIVE,
};

/** A job for the emulator: steps of tasks that take a time each. */
struct emu_job {
	uint32_t pool;
	uint32_t steps;
	uint32_t tasks_per_step;
	uint32_t cpu_milli;
	uint32_t task_ms;
	/** each run fails */
	bool always_fails;
	/** share of runs that fail, in permille */
	uint32_t fail_permille;
	bool long_running;
	bool gang;
	int32_t max_unavailable;
	/** of a lasting job: a second step that fills, and its target */
	bool with_best_effort;
	uint32_t latency_target_ms;
};

/** What became of the jobs. */
struct emu_stats {
	uint32_t submitted;
	uint32_t accepted;
	uint32_t refused;
	uint32_t unknown;
	uint32_t succeeded;
	uint32_t on_time;
	uint32_t failed;
	uint32_t cancelled;
	uint32_t unfinished;
	uint32_t runs;
	uint32_t vm_moves;
	/** moved VMs that got a task, and how long they stood ready for it */
	uint32_t moved_vms_used;
	uint64_t moved_vms_idle_ms;
	uint32_t vm_maintenances;
	uint64_t vm_up_ms;
	uint64_t store_calls;
	/** leases of processes that ran out */
	uint32_t leases_expired;
	uint64_t polls;
	uint64_t wasted_run_ms;
};

/** What stands in the store for a worker, where it is not the emulator's own.
 */
struct emu_entry_format {
	const char *prefix;
	/** returns the value, owned by the caller */
	char *(*encode)(const struct emu *emu, uint32_t vm);
};

/** A worker as its entry tells it. */
struct emu_worker_view {
	const char *id;
	const char *vm;
	uint32_t pool;
	bool draining;
	uint64_t started_ms;
	uint64_t clock_ms;
	int64_t cpu_milli;
};

/** @brief Creates a deployment with all processes running. */
struct emu *emu_create(const struct emu_config *config);
/** @brief Ends all processes and frees everything. */
void emu_destroy(struct emu *emu);
/** @brief Returns the loop that everything runs on. */
struct loop *emu_loop(struct emu *emu);
/** @brief Opens the platform's side alone, for processes of their own. @return
 *  self for the emulator's tables */
void *emu_platform_open(struct emu *emu, const struct emu_entry_format *form);
/** @brief Fills what a worker's entry tells. */
void emu_worker_describe(const struct emu *emu, uint32_t vm,
			 struct emu_worker_view *out);
/** @brief Writes a key as the operator does. */
void emu_operator_write(struct emu *emu, const char *key, const char *value);
/** @brief Makes a job known that a caller is about to submit elsewhere. */
uint32_t emu_job_register(struct emu *emu, const struct emu_job *job);
/** @brief Returns a job's identity. */
const char *emu_job_id(const struct emu *emu, uint32_t job);
/** Notes that a caller outside sends the job now; emu_answer_observe() ends it.
 */
void emu_submission_begin(struct emu *emu, uint32_t job);

/** @brief Notes what a caller was told of a job elsewhere. */
void emu_answer_observe(struct emu *emu, uint32_t job, enum jobs_verb verb,
			const struct jobs_answer *answer);
/** @brief Lets virtual time pass. */
void emu_advance(struct emu *emu, uint32_t ms);
/** @brief Time since the start. */
uint64_t emu_time_ms(const struct emu *emu);

/** @brief Submits a job at a process. @return its number */
uint32_t emu_submit(struct emu *emu, uint32_t node, const struct emu_job *job);
/** @brief Sends the submission again, as a caller that got no answer does. */
void emu_resubmit(struct emu *emu, uint32_t node, uint32_t job);
/** @brief Cancels a job at a process. */
void emu_cancel(struct emu *emu, uint32_t node, uint32_t job);
/** @brief Asks for a job's state; the answer is checked when it arrives. */
void emu_state_query(struct emu *emu, uint32_t node, uint32_t job);
/** @brief Asks for a maintenance wave of a share of all VMs. */
void emu_wave_request(struct emu *emu, uint32_t percent, uint32_t most,
		      uint32_t duration_ms);
/** @brief Tells whether the newest wave was said to have succeeded. */
bool emu_wave_succeeded(const struct emu *emu);

/** @brief Kills a process; it may be started again. */
void emu_node_kill(struct emu *emu, uint32_t node);
void emu_node_start(struct emu *emu, uint32_t node);
/** @brief Asks a process to give ownership up, as at SIGTERM. */
void emu_node_resign(struct emu *emu, uint32_t node);
/** @brief Returns the process that owns, or EMU_NODES_MAX for none. */
uint32_t emu_owner(const struct emu *emu);
/** @brief Sets how the store treats a process. */
void emu_store_set_mode(struct emu *emu, uint32_t node,
			enum emu_store_mode mode);
/** @brief Share of writes that are done without an answer, or done late. */
void emu_store_set_write_faults(struct emu *emu, uint32_t lost_permille,
				uint32_t late_permille);
/** @brief Factor of the store's time to answer. */
void emu_store_set_slowdown(struct emu *emu, uint32_t factor);
/** @brief Drops the store's history: watches must read again. */
void emu_store_compact(struct emu *emu);
/** @brief Takes all leases of a process away without telling it. */
void emu_store_revoke_ownership(struct emu *emu, uint32_t node);
/** @brief Cuts a worker off from all processes, or heals the cut. */
void emu_worker_set_partitioned(struct emu *emu, uint32_t vm, bool cut);
/** @brief Ends a VM's worker; it starts again after a time. */
void emu_vm_crash(struct emu *emu, uint32_t vm, uint32_t down_ms);
/** @brief As emu_vm_crash(), under the same identity at once. */
void emu_worker_restart(struct emu *emu, uint32_t vm);
/** @brief A worker announces that it leaves, and does so after a time. */
void emu_worker_drain(struct emu *emu, uint32_t vm, uint32_t after_ms);
/**
 * @brief Share of orders to workers that are carried out late.
 *
 * Such an order waits in the worker and ends with it. Others are late on their
 * way, within the deadline of their call, and reach whatever worker answers at
 * the address by then.
 */
void emu_orders_set_delayed(struct emu *emu, uint32_t permille);
/** @brief Makes late orders outlive the worker that holds them: they reach its
 *  successor under the same identity. */
void emu_orders_outlive_worker(struct emu *emu);
/** @brief Makes a worker fail all that it runs. */
void emu_worker_set_failing(struct emu *emu, uint32_t vm, bool grey);
/** @brief VMs whose worker is up. */
uint32_t emu_vm_count(const struct emu *emu);

/** @brief Number of times that any rule was broken. */
uint32_t emu_violation_count(const struct emu *emu);
/** @brief Text of what was broken first, "" for nothing. */
const char *emu_first_violation(const struct emu *emu);
/** @brief Fills what became of the jobs. */
void emu_stats(const struct emu *emu, struct emu_stats *out);
/** @brief Random number below a bound, from the deployment's seed. */
uint32_t emu_random(struct emu *emu, uint32_t bound);

#endif
