/**
 * @file emu.h
 * @brief Emulator of the platform for deterministic tests of the job service.
 *
 * Prefix: emu_. Runs several instances of the real job service ("processes") in
 * one process and in virtual time. It implements the store
 * (platform_client.h), the workers and VMs (adapter.h) and the calls between
 * processes (jobs.h), injects faults from a seeded random generator, and checks
 * what workers and callers observe against the rules of enum emu_rule.
 */
#ifndef EMU_H
#define EMU_H

#include "jobs.h"

#define EMU_NODES_MAX 32
#define EMU_POOLS_MAX 6
#define EMU_VMS_MAX 400

struct emu;

#define EMU_ACCOUNTS_MAX 16

/** Weight and limit of a client account. */
struct emu_account_config {
	double weight;
	/** 0 for no limit */
	int64_t cpu_limit_milli;
};

/** Size and limits of an emulated deployment. */
struct emu_config {
	uint32_t seed;
	/** number of processes that run the job service */
	uint32_t nodes;
	/** number of pools, each serving one queue; a spare pool is added */
	uint32_t pools;
	uint32_t vms_per_pool;
	uint32_t spare_vms;
	int64_t vm_cpu_milli;
	/** maximum number of failed runs of a task */
	uint32_t attempts;
	/** workers start whatever they are ordered to, whether or not it fits
	 */
	bool unguarded;
	/** time that a run takes to end after it was ordered to stop, 0 for the
	 *  usual one */
	uint32_t stop_ms;
	/** a worker that crashes does not reset its connections: calls to it
	 *  time out */
	bool silent_crashes;
	/** the store also ends the watches of a process that it turns away */
	bool cuts_watches;
	/** VMs have different sizes, see emu_vm_cpu_milli() */
	bool uneven_vms;
	/** a success counts as acknowledged soon after its worker has listed
	 * it, as the platform judges where no fault is near */
	bool listed_ends_count;
	/** the platform refuses to move VMs between pools */
	bool fixed_pools;
	/** see struct jobs_config */
	uint32_t lookahead_plans;
	/** number of client accounts, and the first configuration of each */
	uint32_t accounts;
	struct emu_account_config account;
	/** start of the processes' names, NULL for the usual one */
	const char *node_prefix;
	/** minimum time-to-live of the store's leases, 0 for that of the
	 *  processes */
	uint32_t lease_ttl_min_s;
	/** processes can be paused, see emu_node_pause(); their timers are in
	 *  queues of their own, so events of one millisecond have another order
	 */
	bool pausable;
};

/** Rules whose violations the checker counts. */
enum emu_rule {
	/** a task ran twice at once, or again after its success was
	 *  acknowledged */
	EMU_RULE_TWICE,
	/** a task ran after all its attempts had failed */
	EMU_RULE_BUDGET,
	/** a task ran before the steps that it depends on had completed */
	EMU_RULE_ORDER,
	/** a task ran whose job was never submitted, was refused or had been
	 *  cancelled, or with another payload */
	EMU_RULE_UNASKED,
	/** a long-running task was stopped while too many others of its step
	 *  were unavailable */
	EMU_RULE_AVAIL,
	/** a wave had too many VMs in maintenance at once, or the fencing token
	 *  of a VM action decreased */
	EMU_RULE_LIMIT,
	/** a job was reported in a state that cannot be true, or an accepted
	 *  job was lost */
	EMU_RULE_STATE,
	/** a member of a gang timed out waiting for the others although no
	 *  fault had occurred recently */
	EMU_RULE_GANG,
	/** two owners acted on one VM within the minimum interval */
	EMU_RULE_VM_INTERVAL,
	/** a task that crashes its workers was started for the third time
	 *  after three of them had crashed */
	EMU_RULE_CRASHES,
	/** a start brought a worker over its capacity */
	EMU_RULE_CAPACITY,
	/** a start brought an account over its limit and one task more */
	EMU_RULE_QUOTA,
	/** a job waited although it could run and no fault had been active for
	 *  a while */
	EMU_RULE_LOST,
	/** a task was started on a worker of another pool, or beside more tasks
	 *  of its step than one worker may run */
	EMU_RULE_ROUTE,
	EMU_RULE_COUNT
};

/** Lists from which an owner learns of workers. */
enum emu_list {
	/** the roster that earlier owners have stored */
	EMU_LIST_ROSTER,
	/** the entries of the workers */
	EMU_LIST_WORKERS,
	EMU_LIST_VMS,
	EMU_LIST_COUNT
};

/** How the store handles the calls of a process. */
enum emu_store_mode {
	EMU_STORE_OK,
	/** fails each call with ERR_UNAVAILABLE, without effect */
	EMU_STORE_UNAVAILABLE,
	/** lets each call time out, without effect */
	EMU_STORE_UNRESPONSIVE,
};

/** A job to submit. Unless it is long-running, each step depends on the one
 *  before it. */
struct emu_job {
	uint32_t pool;
	/** number of the account that submits it, 0 for none; calls name it
	 *  only if the configuration has accounts */
	uint32_t account;
	uint32_t steps;
	uint32_t tasks_per_step;
	uint32_t cpu_milli;
	/** duration of a task's run; a random part of up to half is added */
	uint32_t task_ms;
	/** every run fails */
	bool always_fails;
	/** share of runs that fail */
	uint32_t fail_permille;
	bool long_running;
	/** number of tasks of the first step that crash their worker, and the
	 *  time from their start until they do */
	uint32_t crashing_tasks;
	uint32_t crash_after_ms;
	/** the tasks of a step start and end together */
	bool gang;
	/** no worker can ever run it, so it need not end */
	bool fits_nowhere;
	/** number of times that the steps run, 0 for a job without a schedule;
	 *  the first one is due after first_run_ms */
	uint32_t occurrences;
	uint32_t first_run_ms;
	uint32_t interval_ms;
	/** of a long-running job: how many tasks of a step may be unavailable,
	 *  -1 for any number */
	int32_t max_unavailable;
	/** of a long-running job: steps after the first one are best effort */
	bool with_best_effort;
	uint32_t latency_target_ms;
};

/** Counters of a deployment. */
struct emu_stats {
	uint32_t submitted;
	uint32_t accepted;
	uint32_t refused;
	/** a submission had an unknown outcome and none was accepted */
	uint32_t unknown;
	uint32_t succeeded;
	/** succeeded within the objective */
	uint32_t on_time;
	uint32_t failed;
	uint32_t cancelled;
	/** accepted, not long-running, and not reported as ended */
	uint32_t unfinished;
	/** identity of the first of these, NULL for none; not copied */
	const char *first_unfinished;
	/** task runs that were started */
	uint32_t runs;
	uint32_t vm_moves;
	/** moved VMs that got a task, and the sum of their idle times between
	 *  being ready and getting the first task */
	uint32_t moved_vms_used;
	uint64_t moved_vms_idle_ms;
	uint32_t vm_maintenances;
	/** sum of the times that VMs of serving pools were up */
	uint64_t vm_up_ms;
	uint64_t store_calls;
	/** leases in the store that expired */
	uint32_t leases_expired;
	uint64_t polls;
	/** sum of the durations of runs that did not complete */
	uint64_t wasted_run_ms;
	/** workers that tasks crashed */
	uint32_t worker_crashes;
	/** failed jobs whose tasks neither fail nor crash workers */
	uint32_t harmless_failed;
	/** answers of emu_backlog_query() that were checked, and the highest
	 *  number of jobs that waited then; and what the last answer told */
	uint32_t backlogs_told;
	uint32_t backlog_max;
	uint32_t backlog_told;
};

/** Format of the workers' entries in the store, if not the emulator's own. */
struct emu_entry_format {
	/** prefix of the keys */
	const char *prefix;
	/** returns the value; the caller frees it with g_free() */
	char *(*encode)(const struct emu *emu, uint32_t vm);
};

/** Contents of a worker's entry in the store. */
struct emu_worker_view {
	const char *id;
	const char *vm;
	uint32_t pool;
	bool draining;
	/** virtual time at which this incarnation started */
	uint64_t started_ms;
	/** reading of the worker's steady clock */
	uint64_t clock_ms;
	int64_t cpu_milli;
};

/** @brief Creates a deployment with all processes running. */
struct emu *emu_create(const struct emu_config *config);
/** @brief Stops all processes, completes calls in flight and frees everything.
 */
void emu_destroy(struct emu *emu);
/** @brief Returns the event loop of the emulator and its processes. */
struct loop *emu_loop(struct emu *emu);
/**
 * @brief Serves the platform to processes outside the emulator.
 *
 * Used with a config of no nodes. The format is not copied.
 *
 * @param node the process whose calls are served
 * @return the self argument for emu_store_ops and emu_adapter_ops
 */
void *emu_platform_open(struct emu *emu, const struct emu_entry_format *format,
			uint32_t node);
/** @brief Fills in the contents of a worker's entry in the store. */
void emu_worker_describe(const struct emu *emu, uint32_t vm,
			 struct emu_worker_view *out);
/** @brief Writes a key of the store on behalf of the operator. */
void emu_operator_write(struct emu *emu, const char *key, const char *value);
/** @brief Registers a job that a caller outside the emulator is to submit.
 *  @return the job's number */
uint32_t emu_job_register(struct emu *emu, const struct emu_job *job);
/** @brief Returns a job's identity. */
const char *emu_job_id(const struct emu *emu, uint32_t job);
/** @brief Records that a caller outside the emulator sends a submission. Its
 *  answer is passed to emu_answer_observe(). */
void emu_submission_begin(struct emu *emu, uint32_t job);
/** @brief Records and checks the answer that a caller outside the emulator
 *  received to a call about a job. */
void emu_answer_observe(struct emu *emu, uint32_t job, enum jobs_verb verb,
			const struct jobs_answer *answer);
/** @brief Changes the weight and the limit of an account. */
void emu_account_set(struct emu *emu, uint32_t account,
		     struct emu_account_config config);
/** @brief Removes a pool's queue and service from the configuration; the pool
 *  stays. */
void emu_queue_drop(struct emu *emu, uint32_t pool);
/** @brief Fills in the counters of one account's jobs: those submitted,
 *  refused, on time and succeeded. */
void emu_account_stats(const struct emu *emu, uint32_t account,
		       struct emu_stats *out);
/** @brief Advances the virtual time and runs the timers that become due. */
void emu_advance(struct emu *emu, uint32_t ms);
/** @brief Sets the time of day of all processes forward or back. */
void emu_wall_clock_jump(int64_t ms);

/** @brief Returns the virtual time. */
uint64_t emu_time_ms(const struct emu *emu);

/** @brief Submits a job to a process. @return the job's number */
uint32_t emu_submit(struct emu *emu, uint32_t node, const struct emu_job *job);
/** @brief Repeats a submission, as a caller does that got no answer. */
void emu_resubmit(struct emu *emu, uint32_t node, uint32_t job);
/** @brief Lets the caller close its connections: it waits for no submission of
 *  the job any more. */
void emu_caller_leave(struct emu *emu, uint32_t job);
/** @brief Sends the cancellation of a job to a process. */
void emu_cancel(struct emu *emu, uint32_t node, uint32_t job);
/** @brief Queries a job's state; the answer is checked when it arrives. */
void emu_state_query(struct emu *emu, uint32_t node, uint32_t job);
/** @brief Queries how many jobs of a pool's queue wait; the answer is checked
 *  when it arrives. */
void emu_backlog_query(struct emu *emu, uint32_t node, uint32_t pool);
/** @brief Records and checks how many jobs of a pool's queue wait, as a process
 *  has told that was asked for it some time ago. */
void emu_backlog_observe(struct emu *emu, uint32_t pool, uint32_t asked_ms_ago,
			 uint32_t waiting);
/** @brief Requests a maintenance wave of a random share of the VMs, with at
 *  most max_parallel of them in maintenance at once. */
void emu_wave_request(struct emu *emu, uint32_t percent, uint32_t max_parallel,
		      uint32_t duration_ms);
/** @brief Returns whether the newest wave was reported as succeeded. */
bool emu_wave_succeeded(const struct emu *emu);

/** @brief Kills a process; does nothing if it does not run. */
void emu_node_kill(struct emu *emu, uint32_t node);
/** @brief Starts a process; does nothing if it runs. */
void emu_node_start(struct emu *emu, uint32_t node);
/** @brief Asks a process to release ownership, as on SIGTERM. */
void emu_node_resign(struct emu *emu, uint32_t node);
/** @brief Returns the process that owns the job service, or EMU_NODES_MAX. */
uint32_t emu_owner(const struct emu *emu);
/** @brief Sets how the store handles the calls of a process. */
void emu_store_set_mode(struct emu *emu, uint32_t node,
			enum emu_store_mode mode);
/** @brief Sets the share of transactions whose answer is lost, and the share
 *  that times out and is executed only seconds later. */
void emu_store_set_write_faults(struct emu *emu, uint32_t lost_permille,
				uint32_t late_permille);
/** @brief Sets the maximum size of a value, which is 1 MiB otherwise. A
 *  transaction with a larger one is refused. */
void emu_store_set_value_bytes(struct emu *emu, uint32_t bytes);
/** @brief Sets a text; the store refuses transactions with a value or a key
 *  that contains it. NULL for none. */
void emu_store_set_refused(struct emu *emu, const char *text);
/** @brief Sets the share of transactions with more than one write that the
 *  store refuses, whatever they contain. */
void emu_store_set_refused_permille(struct emu *emu, uint32_t permille);
/** @brief Returns the number of transactions that the store refused. */
uint32_t emu_store_refusals(const struct emu *emu);
/** @brief Sets the factor by which the store's answers take longer. */
void emu_store_set_slowdown(struct emu *emu, uint32_t factor);
/** @brief Sets how often a range of the store has each item. */
void emu_store_set_range_copies(struct emu *emu, uint32_t copies);
/** @brief Makes the reads of a list take longer, so that it arrives after
 * others that were read later. */
void emu_list_set_delay(struct emu *emu, enum emu_list list, uint32_t ms);
/** @brief Compacts the store's history, so that watches must read again. */
void emu_store_compact(struct emu *emu);
/** @brief Revokes the ownership lease if the process holds it, without
 *  notifying the process. */
void emu_store_revoke_ownership(struct emu *emu, uint32_t node);
/** @brief Revokes all leases of a process without notifying it. */
void emu_store_revoke_leases(struct emu *emu, uint32_t node);
/** @brief Sets whether any process that does not run in the emulator is
 * stopped, ending, starting or cut off from the store, which counts as a fault
 * as with those that do. */
void emu_processes_set_disturbed(struct emu *emu, bool disturbed);
/** @brief Returns the process to whose lease the owner key is bound, or
 *  EMU_NODES_MAX. */
uint32_t emu_store_key_owner(const struct emu *emu);
/** @brief Partitions a worker from all processes, or ends the partition. */
void emu_worker_set_partitioned(struct emu *emu, uint32_t vm, bool partitioned);
/** @brief Makes the open connections to all workers carry nothing any more.
 *  None is closed, and new ones work. */
void emu_connections_silence(struct emu *emu);
/** @brief Cuts a worker off from one process, or ends the cut. */
void emu_link_set_cut(struct emu *emu, uint32_t node, uint32_t vm, bool cut);
/** @brief Returns the first VM that runs a task of a job, EMU_VMS_MAX if none
 *  does. */
uint32_t emu_vm_running(const struct emu *emu, uint32_t job);
/** @brief Crashes a VM; it starts a new worker after a time. */
void emu_vm_crash(struct emu *emu, uint32_t vm, uint32_t down_ms);
/** @brief Removes a VM for good: it stops and is no longer listed. */
void emu_vm_remove(struct emu *emu, uint32_t vm);
/** @brief Lets the next lists of VMs lack one that exists. */
void emu_vm_omit_from_lists(struct emu *emu, uint32_t vm, uint32_t lists);
/** @brief Sets the share of requests about VMs that time out without effect. */
void emu_vm_requests_set_lost(struct emu *emu, uint32_t permille);
/** @brief Lets the network hold the requests about VMs that a process sends:
 * each times out, and reaches the platform after a time. 0 ms ends that. */
void emu_vm_requests_set_held(struct emu *emu, uint32_t node, uint32_t ms);
/** @brief Returns how many requests about VMs the network has delivered late.
 */
uint32_t emu_vm_requests_late(const struct emu *emu);
/** @brief Returns how many runs have not ended on workers that are up. */
uint32_t emu_active_run_count(const struct emu *emu);
/** @brief Crashes a worker, which restarts after a time under the same
 *  identity. Meanwhile it refuses connections. */
void emu_worker_crash(struct emu *emu, uint32_t vm, uint32_t down_ms);
/**
 * @brief Lets a VM lose power for a time; its worker restarts under the same
 * identity.
 *
 * Nothing is answered meanwhile. The connections that were open are reset when
 * they are used after it, so that orders over them are cut.
 */
void emu_worker_lose_power(struct emu *emu, uint32_t vm, uint32_t down_ms);
/** @brief Restarts a VM's worker at once, under the same identity. */
void emu_worker_restart(struct emu *emu, uint32_t vm);
/** @brief Restarts a VM's worker at once, under the same identity and address
 *  but with another CPU. */
void emu_worker_restart_as(struct emu *emu, uint32_t vm, int64_t cpu_milli);
/** @brief Lets a worker write its entry in the store only after a time, which
 *  is at most the interval of its heartbeats. */
void emu_worker_entry_delay(struct emu *emu, uint32_t vm, uint32_t ms);
/** @brief Sets by how much the time of day of a VM is ahead, which its next
 *  workers take for the time of their start. */
void emu_worker_set_clock(struct emu *emu, uint32_t vm, int32_t ahead_ms);
/** @brief Lets a worker announce that it drains, and stop after a time. */
void emu_worker_drain(struct emu *emu, uint32_t vm, uint32_t after_ms);
/**
 * @brief Pauses a process, which runs nothing meanwhile, neither its timers nor
 * what reaches it. Needs a pausable configuration.
 *
 * @param timers_first whether it runs its timers before it reads what has
 *        arrived, as a process does that was paused between the two
 */
void emu_node_pause(struct emu *emu, uint32_t node, uint32_t ms,
		    bool timers_first);
/** @brief Pauses a process in the middle of a pass, before it sends a start,
 * and turns it away from the store. Needs a pausable configuration.
 *
 * @param starts number of starts that it sends before
 */
void emu_node_pause_at_start(struct emu *emu, uint32_t node, uint32_t starts,
			     uint32_t ms);
/** @brief Lets no answer reach a process for a time. */
void emu_node_stall(struct emu *emu, uint32_t node, uint32_t ms);
/** @brief Makes some answers of workers, and some lists of VMs, take up to a
 *  time more, 0 for none. */
void emu_answers_set_slow(struct emu *emu, uint32_t max_ms);

/**
 * @brief Sets the share of start orders that a worker executes late.
 *
 * A worker holds such an order for seconds and drops it when it stops. While
 * the share is not 0, some orders are also delayed in the network, within the
 * timeout of their call; these reach whichever worker then has the address.
 */
void emu_orders_set_delayed(struct emu *emu, uint32_t permille);
/** @brief Makes orders that a worker holds survive its restart: the next
 *  incarnation executes them. */
void emu_orders_outlive_worker(struct emu *emu);
/** @brief Lets a worker's entry name another VM, or its own one again. */
void emu_worker_set_entry_vm(struct emu *emu, uint32_t vm, uint32_t named);
/** @brief Sets the CPU of a worker, whatever it runs; a VM that restarts has
 * its full CPU again. */
void emu_worker_set_cpu(struct emu *emu, uint32_t vm, int64_t cpu_milli);
/** @brief Returns the CPU of a VM that nothing has changed. */
int64_t emu_vm_cpu_milli(const struct emu *emu, uint32_t vm);
/** @brief Makes a worker fail every run that it starts. */
void emu_worker_set_failing(struct emu *emu, uint32_t vm, bool failing);
/** @brief Makes a worker refuse every start as an unhealthy one does. */
void emu_worker_set_refusing(struct emu *emu, uint32_t vm, bool refusing);
/** @brief Sets the share of starts that are lost on their way to a worker. */
void emu_starts_set_lost(struct emu *emu, uint32_t permille);
/** @brief Returns the number of VMs, in whatever state. */
uint32_t emu_vm_count(const struct emu *emu);

/** @brief Returns the number of violations of all rules. */
uint32_t emu_violation_count(const struct emu *emu);
/** @brief Returns a description of the first violation, "" if there is none. */
const char *emu_first_violation(const struct emu *emu);
/** @brief Fills in the counters. */
void emu_stats(const struct emu *emu, struct emu_stats *out);
/** @brief Returns a random number below a bound from the seeded generator. */
uint32_t emu_random(struct emu *emu, uint32_t bound);

#endif
