/**
 * @file job_rpc.h
 * @brief Hands calls on the job service to other processes: ONC RPC over TCP.
 *
 * Prefix: job_rpc_. One connection a process carries many calls at once. A
 * connection on which a call was not answered in time is closed, since an open
 * connection may go silent for good.
 */
#ifndef JOB_RPC_H
#define JOB_RPC_H

#include "loop.h"
#include "jobs.h"

/** Both sides of the channel in one process, opaque. */
struct job_rpc_channel;

/** What the listening side calls; answer by cb. */
typedef void (*job_rpc_call_cb)(void *data, const struct jobs_call *call,
				jobs_cb cb, void *cb_data);

/**
 * @brief Opens the channel and listens.
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind job_rpc_channel_create(struct loop *loop, const char *ip,
				     uint16_t port,
				     struct job_rpc_channel **out);

/** @brief Sets what serves the calls of other processes. */
void job_rpc_channel_serve(struct job_rpc_channel *channel, job_rpc_call_cb cb,
			   void *data);

/** @brief Closes all connections; calls end. @param channel may be NULL */
void job_rpc_channel_destroy(struct job_rpc_channel *channel);

/** Table for jobs_service_create(), with the channel as its self. */
extern const struct jobs_peers job_rpc_peers;

#endif
