/**
 * @file jsv.h
 * @brief The job service: submit, ask, cancel, at any process.
 *
 * Prefix: jsv_. One process owns the service at a time, see ldr.h; the others
 * hand calls on to it. A call that arrives while there is no owner waits for
 * one for a bounded time.
 */
#ifndef JSV_H
#define JSV_H

#include "loop.h"
#include "jpt.h"
#include "jtp.h"
#include "platform_client.h"

/** What a call asks for. */
enum jsv_verb {
	JSV_SUBMIT,
	JSV_STATE,
	JSV_CANCEL,
	JSV_WAITING,
};

/** How a call ended. */
enum jsv_outcome {
	/** accepted and stored, cancelled and stored, or told */
	JSV_OK,
	/** no such job */
	JSV_NO_JOB,
	/** not accepted, and never runs; come back later */
	JSV_REFUSED,
	/** the effect is not known; the same call may be repeated */
	JSV_UNKNOWN,
	/** the identity belongs to a job of another queue */
	JSV_CONFLICT,
	/** this process does not own the service, and has done nothing; between
	 *  processes only */
	JSV_NOT_OWNER,
	/** its ownership ended while it had the call, which may have taken
	 *  effect; between processes only */
	JSV_OWNER_GONE,
	JSV_OUTCOME_COUNT
};

/** A call; borrowed during the call that starts it. */
struct jsv_call {
	enum jsv_verb verb;
	const char *queue;
	/** identity of the job; NULL for JSV_WAITING */
	const char *id;
	/** record of the specification for JSV_SUBMIT, see jrc.h */
	const char *spec;
	/** how long the caller waits from now */
	uint32_t deadline_ms;
};

/** The answer to a call. */
struct jsv_answer {
	enum jsv_outcome outcome;
	/** of JSV_STATE */
	enum jtp_state state;
	/** of JSV_WAITING */
	uint32_t waiting;
	/** of JSV_REFUSED */
	uint32_t retry_after_ms;
	/** constant reason of JSV_REFUSED and JSV_UNKNOWN, for logs */
	const char *why;
};

/** Ends a call, once. */
typedef void (*jsv_cb)(void *data, const struct jsv_answer *answer);

/** Hands calls on to the process that owns the service. */
struct jsv_peers {
	/**
	 * Sends a call. Its callback gets ERR_NONE with an answer, ERR_CONNECT
	 * when nothing was sent, or another kind when the effect is unknown.
	 */
	void (*send)(void *self, const char *ip, uint16_t port,
		     const struct jsv_call *call,
		     void (*cb)(void *data, enum err_kind err,
				const struct jsv_answer *answer),
		     void *data);
};

/** Bounds and identity; strings are copied. */
struct jsv_config {
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
	uint32_t status_ms;
	/** two owners' orders to a VM are at least this far apart */
	uint32_t vm_order_gap_ms;
	/** time that a move and a maintenance of a VM take */
	uint32_t move_ms;
	uint32_t maintain_ms;
};

/** The service, opaque. */
struct jsv_service;

/**
 * @brief Starts the service in this process.
 *
 * @param platform the platform's store, must outlive the service
 * @param ops calls to workers and VMs, with their self
 * @param peers the way to other processes, with its self
 */
struct jsv_service *
jsv_service_create(struct loop *loop, struct platform *platform,
		   const struct jsv_config *config, const struct jpt_ops *ops,
		   void *ops_self, const struct jsv_peers *peers,
		   void *peers_self);

/** @brief Frees the service. @param service may be NULL */
void jsv_service_destroy(struct jsv_service *service);

/** @brief Makes a call. The callback may run before this returns. */
void jsv_call(struct jsv_service *service, const struct jsv_call *call,
	      jsv_cb cb, void *data);

/** @brief Makes a call that another process has handed on. */
void jsv_call_handed_on(struct jsv_service *service,
			const struct jsv_call *call, jsv_cb cb, void *data);

/** @brief Puts a configuration in force; a version that is not newer is
 *  left aside. */
void jsv_set_catalogue(struct jsv_service *service,
		       struct jcf_catalogue *catalogue);

/** @brief Gives ownership up for good, before the process ends. */
void jsv_resign(struct jsv_service *service);

/** @brief Tells whether an owner is known, here or elsewhere. */
bool jsv_has_owner(const struct jsv_service *service);

/** @brief Appends the counters of the service, a line each. */
void jsv_metrics(const struct jsv_service *service, GString *out);

/** @brief Returns the stable name of an outcome. */
const char *jsv_outcome_name(enum jsv_outcome outcome);

#endif
