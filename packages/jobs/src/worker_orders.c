#include <string.h>

#include "log.h"
#include "worker_private.h"

struct worker_call *worker_call_create(struct worker *worker)
{
	struct worker_call *call = g_new0(struct worker_call, 1);

	call->worker = g_rc_box_acquire(worker);
	call->sent_ms = loop_now_ms();
	return call;
}

void worker_call_free(struct worker_call *call)
{
	worker_unref(call->worker);
	g_free(call);
}

struct adapter_target worker_target(const struct worker *worker)
{
	return (struct adapter_target){ worker->ip, worker->port, worker->id };
}

bool worker_fence_is_current(const struct worker *worker, uint64_t fence)
{
	return fence == worker_fence(worker);
}

static void on_started(void *data, const struct adapter_reply *reply)
{
	struct worker_call *call = data;
	struct worker *worker = call->worker;

	if (!worker->dropped) {
		if (reply->err == ERR_NONE)
			worker_clock_update(worker, reply->clock_ms);
		if (reply->err == ERR_NONE &&
		    reply->verdict == ADAPTER_REFUSED_FENCE &&
		    worker_fence_is_current(worker, call->order.fence))
			worker->env->ops->on_deposed(worker->env->data,
						     worker->id);
		else
			worker->env->ops->on_started(worker->env->data, worker,
						     &call->order, reply);
		/* The run has not begun there, so it leaves the worker before
		 * the end is judged. */
		if (reply->err == ERR_NONE &&
		    reply->verdict == ADAPTER_REFUSED_INCARNATION)
			worker_end_incarnation(
				worker, WORKER_REPLACED,
				"another incarnation answers an order");
	}
	worker_call_free(call);
}

void worker_task_start(struct worker *worker, struct job_task *task,
		       const char *spec, const char *ticket)
{
	struct adapter_target target = worker_target(worker);
	struct worker_call *call = worker_call_create(worker);
	struct adapter_start start = {
		.run = task->run,
		.spec = spec,
		.fence = worker_fence(worker),
		.checkpoint = task->checkpoint,
		.ticket = ticket,
	};

	start.lease_until_ms =
		worker_lease_grant(worker, worker->env->checked_ms);
	job_task_name(task, call->order.task);
	start.task = call->order.task;
	call->order.run = task->run;
	call->order.fence = start.fence;
	task->fence = start.fence;
	worker->env->platform->start(worker->env->platform_self, &target,
				     &start, WORKER_ORDER_TIMEOUT_MS,
				     on_started, call);
}

static void on_stopped(void *data, const struct adapter_reply *reply)
{
	struct worker_call *call = data;
	struct worker *worker = call->worker;

	/* If the order was lost, reports still list the task and the owner
	 * repeats the order. */
	if (!worker->dropped && reply->err != ERR_NONE)
		log_info("stop-unanswered",
			 "order to stop task %s run %u not answered by worker "
			 "%s: %s",
			 call->order.task, call->order.run, worker->id,
			 err_name(reply->err));
	if (!worker->dropped)
		worker_poll_within(worker, 0);
	worker_call_free(call);
}

static void stop_send(struct worker_call *call)
{
	struct worker *worker = call->worker;
	struct adapter_target target = worker_target(worker);

	worker->env->platform->stop(worker->env->platform_self, &target,
				    call->order.task, call->order.run,
				    call->order.fence, WORKER_ORDER_TIMEOUT_MS,
				    on_stopped, call);
}

void worker_run_stop(struct worker *worker, const char *task, uint32_t run)
{
	struct worker_call *call = worker_call_create(worker);

	g_strlcpy(call->order.task, task, sizeof(call->order.task));
	call->order.run = run;
	call->order.fence = worker_fence(worker);
	stop_send(call);
}

void worker_task_stop(struct worker *worker, const struct job_task *task)
{
	char name[JOB_TASK_NAME_BYTES];

	job_task_name(task, name);
	worker_run_stop(worker, name, task->run);
}

static void on_speed_set(void *data, const struct adapter_reply *reply)
{
	struct worker_call *call = data;

	/* The owner compares the speed in the next report and repeats the
	 * order if needed. */
	if (reply->err != ERR_NONE || reply->verdict != ADAPTER_ACCEPTED)
		log_info("speed-not-set",
			 "speed of task %s run %u not set at worker %s: %s",
			 call->order.task, call->order.run, call->worker->id,
			 reply->err != ERR_NONE
				 ? err_name(reply->err)
				 : adapter_verdict_name(reply->verdict));
	worker_call_free(call);
}

void worker_task_set_speed(struct worker *worker, const struct job_task *task,
			   uint32_t percent)
{
	struct adapter_target target = worker_target(worker);
	struct worker_call *call = worker_call_create(worker);

	job_task_name(task, call->order.task);
	call->order.run = task->run;
	worker->env->platform->set_speed(
		worker->env->platform_self, &target, call->order.task,
		task->run, percent, worker_fence(worker),
		WORKER_ORDER_TIMEOUT_MS, on_speed_set, call);
}
