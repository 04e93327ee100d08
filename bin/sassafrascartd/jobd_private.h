/**
 * @file jobd_private.h
 * @brief State that the files of a job service process share.
 *
 * Prefix: jobd_.
 */
#ifndef JOBD_PRIVATE_H
#define JOBD_PRIVATE_H

#include "config_watcher.h"
#include "descriptor.h"
#include "esoa_adapter.h"
#include "esoa_settings.h"
#include "histogram.h"
#include "ingress.h"
#include "job_rpc.h"
#include "reload.h"

/** Why a call was refused before it reached the job service. */
enum jobd_refusal {
	/** missing or unknown key */
	JOBD_REFUSED_KEY,
	/** no configuration, or too old to accept keys */
	JOBD_REFUSED_UNCONFIRMED,
	/** no such queue, or malformed */
	JOBD_REFUSED_REQUEST,
	JOBD_REFUSAL_COUNT
};

struct jobd_process {
	struct loop *loop;
	const char *node_file;
	struct esoa_settings settings;
	struct platform *store;
	struct esoa_adapter *adapter;
	struct job_rpc_channel *channel;
	struct jobs_service *service;
	struct config_watcher *config;
	struct reload *reload;
	struct ingress_server *caller_server;
	struct ingress_server *readiness_server;
	/** NULL if no metrics port is set */
	struct ingress_server *metrics_server;
	struct descriptor_plan descriptors;
	uint16_t metrics_port;
	/** latency of callers' calls, by verb */
	struct histogram *call_latency[JOBS_WAITING + 1];
	uint64_t calls_refused[JOBD_REFUSAL_COUNT];
	bool stopping;
	uint64_t stopping_since_ms;
	struct ingress_quiet quiet;
	struct timer stop_timer;
};

/** @brief Fills a page of the metrics port, see struct ingress_ops; data is the
 *  process. */
bool jobd_on_metrics_page(void *data, const char *path,
			  struct ingress_response *response, GString *body);

/** @brief Sets up the timer of a later stop. */
void jobd_stop_init(struct jobd_process *process);

/**
 * @brief Begins to stop: gives up ownership, lets callers go and ends the loop
 *        within the platform's grace period. Does nothing if it has begun.
 * @param signo the signal that asked for it
 */
void jobd_stop(struct jobd_process *process, int signo);

/** @brief Logs how long the stop took and what callers still had open. */
void jobd_stopped_log(const struct jobd_process *process);

#endif
