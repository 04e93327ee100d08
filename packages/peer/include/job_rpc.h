/**
 * @file job_rpc.h
 * @brief Forwards calls of the job service to other processes: ONC RPC over
 * TCP.
 *
 * Prefix: job_rpc_. All concurrent calls to a process share one connection. A
 * connection that delivers no data within 900 ms after a call was sent, or by
 * the call's deadline if that is earlier, is closed: a peer that becomes
 * unreachable does not close its TCP connections.
 */
#ifndef JOB_RPC_H
#define JOB_RPC_H

#include "loop.h"
#include "jobs.h"

/** RPC client and server of a process, opaque. */
struct job_rpc_channel;

/** How old the configuration of a process that answered a call was. */
struct job_rpc_confirmation {
	/** 0 if the process does not say */
	uint64_t config_version;
	/** time since that version was certainly the newest one */
	uint32_t age_ms;
};

/** Exchange of confirmations, see revocation.h. */
struct job_rpc_confirm_ops {
	/** returns what this process knows, for an answer that it sends */
	struct job_rpc_confirmation (*current)(void *data);
	/** an answer carried a confirmation; its call was sent at a local time
	 */
	void (*on_received)(void *data,
			    const struct job_rpc_confirmation *received,
			    uint64_t sent_ms);
};

/** Serves a call received from another process; reply by calling cb once. */
typedef void (*job_rpc_call_cb)(void *data, const struct jobs_call *call,
				jobs_cb cb, void *cb_data);

/**
 * @brief Creates a channel and starts to listen for calls.
 * @param strangers_max accepted connections that have sent no valid record yet;
 *                      the oldest gives way to a new one
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind job_rpc_channel_create(struct loop *loop, const char *ip,
				     uint16_t port, uint32_t strangers_max,
				     struct job_rpc_channel **out);

/** @brief Sets the callback that serves calls received from other processes.
 *  Calls received before are refused. */
void job_rpc_channel_serve(struct job_rpc_channel *channel, job_rpc_call_cb cb,
			   void *data);

/** @brief Exchanges confirmations of the configuration along with answers.
 *  @param ops must outlive the channel */
void job_rpc_channel_confirm(struct job_rpc_channel *channel,
			     const struct job_rpc_confirm_ops *ops, void *data);

/**
 * @brief Closes all connections; calls in flight end with an error.
 * @param channel may be NULL
 */
void job_rpc_channel_destroy(struct job_rpc_channel *channel);

/** Peer table for jobs_service_create(); its self argument is the channel. */
extern const struct jobs_peers job_rpc_peers;

#endif
