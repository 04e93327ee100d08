/**
 * @file jobs.h
 * @brief The job service: submit, ask, cancel, at any process.
 *
 * Prefix: jobs_. One process owns the service at a time, see ldr.h; the others
 * hand calls on to it. A call that arrives while there is no owner waits for
 * one for a bounded time.
 */
#ifndef JOBS_H
#define JOBS_H

#include "loop.h"
#include "adapter.h"
#include "job.h"
#include "platform_client.h"

/** What a call asks for. */
enum jobs_verb {
	JOBS_SUBMIT,
	JOBS_STATE,
	JOBS_CANCEL,
	JOBS_WAITING,
};

/** How a call ended. */
enum jobs_outcome {
	/** accepted and stored, cancelled and stored, or told */
	JOBS_OK,
	/** no such job */
	JOBS_NO_JOB,
	/** not accepted, and never runs; come back later */
	JOBS_REFUSED,
	/** the effect is not known; the same call may be repeated */
	JOBS_UNKNOWN,
	/** the identity belongs to a job of another queue */
	JOBS_CONFLICT,
	/** this process does not own the service, and has done nothing; between
	 *  processes only */
	JOBS_NOT_OWNER,
	/** its ownership ended while it had the call, which may have taken
	 *  effect; between processes only */
	JOBS_OWNERSHIP_LOST,
	JOBS_OUTCOME_COUNT
};

/** A call; borrowed during the call that starts it. */
struct jobs_call {
	enum jobs_verb verb;
	const char *queue;
	/** identity of the job; NULL for JOBS_WAITING */
	const char *id;
	/** record of the specification for JOBS_SUBMIT, see jrc.h */
	const char *spec;
	/** how long the caller waits from now */
	uint32_t deadline_ms;
};

/** The answer to a call. */
struct jobs_answer {
	enum jobs_outcome outcome;
	/** of JOBS_STATE */
	enum job_state state;
	/** of JOBS_WAITING */
	uint32_t waiting;
	/** of JOBS_REFUSED */
	uint32_t retry_after_ms;
	/** constant reason of JOBS_REFUSED and JOBS_UNKNOWN, for logs */
	const char *why;
};

/** Ends a call, once. */
typedef void (*jobs_cb)(void *data, const struct jobs_answer *answer);

/** Hands calls on to the process that owns the service. */
struct jobs_peers {
	/**
	 * Sends a call. Its callback gets ERR_NONE with an answer, ERR_CONNECT
	 * when nothing was sent, or another kind when the effect is unknown.
	 */
	void (*send)(void *self, const char *ip, uint16_t port,
		     const struct jobs_call *call,
		     void (*cb)(void *data, enum err_kind err,
				const struct jobs_answer *answer),
		     void *data);
};

/** Bounds and identity; strings are copied. */
struct jobs_config {
	const char *id;
	const char *availability_zone;
	/** address of this process's peer interface */
	const char *ip;
	uint16_t port;
	/** life of the lease of this process */
	uint32_t lease_ttl_s;
	/** pause before competing for ownership */
	uint32_t compete_delay_ms;
	/** longest lease that workers grant */
	uint32_t worker_lease_ms;
	/** how long an ended job is told of */
	uint32_t ended_retention_ms;
	/** two owners' orders to a VM are at least this far apart */
	uint32_t vm_order_interval_ms;
	/** time that a move and a maintenance of a VM take */
	uint32_t move_ms;
	uint32_t maintain_ms;
};

/** The service, opaque. */
struct jobs_service;

/**
 * @brief Starts the service in this process.
 *
 * @param platform the platform's store, must outlive the service
 * @param ops calls to workers and VMs, with their self
 * @param peers the way to other processes, with its self
 */
struct jobs_service *
jobs_service_create(struct loop *loop, struct platform *platform,
		    const struct jobs_config *config,
		    const struct adapter_ops *ops, void *ops_self,
		    const struct jobs_peers *peers, void *peers_self);

/** @brief Frees the service. @param service may be NULL */
void jobs_service_destroy(struct jobs_service *service);

/** @brief Makes a call. The callback may run before this returns. */
void jobs_call(struct jobs_service *service, const struct jobs_call *call,
	       jobs_cb cb, void *data);

/** @brief Makes a call that another process has handed on. */
void jobs_call_forwarded(struct jobs_service *service,
			 const struct jobs_call *call, jobs_cb cb, void *data);

/** @brief Puts a configuration in force; a version that is not newer is
 *  left aside. */
void jobs_set_catalogue(struct jobs_service *service,
			struct catalogue *catalogue);

/** @brief Gives ownership up for good, before the process ends. */
void jobs_resign(struct jobs_service *service);

/** @brief Tells whether an owner is known, here or elsewhere. */
bool jobs_has_owner(const struct jobs_service *service);

/** @brief Appends the counters of the service, a line each. */
void jobs_metrics(const struct jobs_service *service, GString *out);

/** @brief Returns the stable name of an outcome. */
const char *jobs_outcome_name(enum jobs_outcome outcome);

#endif
