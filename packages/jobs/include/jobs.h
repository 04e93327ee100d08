/**
 * @file jobs.h
 * @brief The job service: submits, queries and cancels jobs from any process.
 *
 * Prefix: jobs_. One process at a time owns the service, see election.h; the
 * others forward calls to it. A call that arrives while no owner is known waits
 * for a bounded time.
 */
#ifndef JOBS_H
#define JOBS_H

#include "loop.h"
#include "adapter.h"
#include "job.h"
#include "platform_client.h"

/** Kinds of calls. */
enum jobs_verb {
	JOBS_SUBMIT,
	/** returns the state of a job */
	JOBS_STATE,
	JOBS_CANCEL,
	/** returns the number of jobs of a queue that have not started */
	JOBS_WAITING,
};

/** Outcome of a call. */
enum jobs_outcome {
	/** submission or cancellation stored, or query answered */
	JOBS_OK,
	/** no such job */
	JOBS_NO_JOB,
	/** the job was not accepted and never runs; may be retried later */
	JOBS_REFUSED,
	/** the effect is unknown; the same call may be repeated */
	JOBS_UNKNOWN,
	/** the identity belongs to a job of another queue */
	JOBS_CONFLICT,
	/** the process does not own the service and has done nothing; returned
	 *  to other processes only */
	JOBS_NOT_OWNER,
	/** the process lost ownership during the call, which may have taken
	 *  effect; returned to other processes only */
	JOBS_OWNERSHIP_LOST,
	JOBS_OUTCOME_COUNT
};

/** A call; its strings are copied. */
struct jobs_call {
	enum jobs_verb verb;
	const char *queue;
	/** identity of the job; NULL for JOBS_WAITING */
	const char *id;
	/** encoded specification for JOBS_SUBMIT, see job_record.h */
	const char *spec;
	/** time left until the caller's deadline */
	uint32_t deadline_ms;
	/** client account that the caller has proved, NULL for none */
	const char *account;
	/** returns whether the caller still waits for the answer; gets the data
	 *  of the call's callback. NULL if only the deadline tells */
	bool (*is_awaited)(void *data);
};

/** The answer to a call. */
struct jobs_answer {
	enum jobs_outcome outcome;
	/** for JOBS_STATE */
	enum job_state state;
	/** for JOBS_WAITING: number of jobs */
	uint32_t waiting;
	/** for JOBS_REFUSED */
	uint32_t retry_after_ms;
	/** constant reason for JOBS_REFUSED and JOBS_UNKNOWN, for logs */
	const char *why;
};

/** Called exactly once with the answer to a call. */
typedef void (*jobs_cb)(void *data, const struct jobs_answer *answer);

/** Forwards calls to other processes. */
struct jobs_peers {
	/**
	 * Sends a call. The callback gets ERR_NONE and the answer, ERR_CONNECT
	 * if nothing was sent, ERR_TOO_LARGE if nothing was sent because the
	 * call does not fit a message, or another kind if the effect is
	 * unknown.
	 */
	void (*send)(void *self, const char *ip, uint16_t port,
		     const struct jobs_call *call,
		     void (*cb)(void *data, enum err_kind err,
				const struct jobs_answer *answer),
		     void *data);
};

/** Identity, address and limits of this process; strings are copied. */
struct jobs_config {
	const char *id;
	const char *availability_zone;
	/** address of the process's peer interface */
	const char *ip;
	uint16_t port;
	/** time-to-live of the process's lease */
	uint32_t lease_ttl_s;
	/** delay before competing for ownership */
	uint32_t compete_delay_ms;
	/** maximum lease that workers accept */
	uint32_t worker_lease_ms;
	/** how long the state of an ended job can be queried */
	uint32_t ended_retention_ms;
	/** minimum time between actions of two different owners on one VM */
	uint32_t vm_order_interval_ms;
	/** time that a move takes, and that the maintenance of a VM takes */
	uint32_t move_ms;
	uint32_t maintain_ms;
	/** large tasks that are planned ahead in each pool, see lookahead.h; 0
	 *  for none */
	uint32_t lookahead_plans;
	/** maximum size of a value of the store, encoded as base64 */
	uint32_t value_bytes;
};

/** The service, opaque. */
struct jobs_service;

/**
 * @brief Starts the service in this process.
 *
 * @param platform store of the platform; must outlive the service
 * @param ops calls to workers and VMs; ops_self is their first argument
 * @param peers calls to other processes; peers_self is their first argument
 */
struct jobs_service *
jobs_service_create(struct loop *loop, struct platform *platform,
		    const struct jobs_config *config,
		    const struct adapter_ops *ops, void *ops_self,
		    const struct jobs_peers *peers, void *peers_self);

/** @brief Answers all open calls and frees the service.
 *  @param service may be NULL */
void jobs_service_destroy(struct jobs_service *service);

/** @brief Starts a call. The callback may run before this returns. */
void jobs_call(struct jobs_service *service, const struct jobs_call *call,
	       jobs_cb cb, void *data);

/** @brief Starts a call forwarded by another process; it is not forwarded
 *  again. */
void jobs_call_forwarded(struct jobs_service *service,
			 const struct jobs_call *call, jobs_cb cb, void *data);

/** @brief Applies a configuration; ignored unless its version is newer. */
void jobs_set_catalogue(struct jobs_service *service,
			struct catalogue *catalogue);

/** @brief Changes the limits that may change while the service runs. */
void jobs_set_limits(struct jobs_service *service, uint32_t compete_delay_ms,
		     uint32_t ended_retention_ms);

/** @brief Releases ownership for good, before the process exits. */
void jobs_resign(struct jobs_service *service);

/** @brief Returns whether an owner, here or elsewhere, can take calls. */
bool jobs_has_owner(const struct jobs_service *service);

/** What jobs_explain() explains. */
enum jobs_explain {
	/** a job that was accepted; the text is its identity */
	JOBS_EXPLAIN_JOB,
	/** a task that might be submitted; the text is
	 *  QUEUE[/ACCOUNT[/CPU_MILLI[/MEMORY_MB]]] */
	JOBS_EXPLAIN_REQUEST,
};

/**
 * @brief Appends, as JSON, where a task would go now and why, without sending
 * it.
 *
 * Answered by the functions that decide; only the owner can. Another process
 * says who owns the service. Changes nothing.
 */
void jobs_explain(struct jobs_service *service, enum jobs_explain kind,
		  const char *text, GString *out);

/** @brief Appends the metrics of the service, one per line. */
void jobs_metrics(const struct jobs_service *service, GString *out);

/** @brief Returns the stable name of an outcome. */
const char *jobs_outcome_name(enum jobs_outcome outcome);

#endif
