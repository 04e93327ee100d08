#include "jobd_private.h"
#include "log.h"

/*
 * Time for the load balancer to stop using this VM: it probes once a second and
 * removes a VM after two failed probes.
 */
#define JOBD_BALANCER_DETECT_MS 2350
/* Margin to exit before the platform kills the process. */
#define JOBD_STOP_MARGIN_MS 600
/* Interval between checks whether a stopping process may exit. */
#define JOBD_STOP_POLL_MS 20
/* Checks without a new connection or request before a stopping process exits;
 * a request may follow its connection by a round trip. */
#define JOBD_QUIET_POLLS 3

/* Lets callers go: connections end with their next response, and no new ones
 * are accepted once no request is in progress, or at the last moment. */
static void callers_drain(struct jobd_process *process, bool last_moment)
{
	ingress_server_drain(process->caller_server);
	if (last_moment ||
	    ingress_server_in_flight(process->caller_server) == 0)
		ingress_server_close_listener(process->caller_server);
}

/*
 * Stops the loop when the load balancer has noticed the shutdown and callers
 * have nothing under way any more, or shortly before the platform kills the
 * process.
 */
static void on_stop_poll(void *data)
{
	struct jobd_process *process = data;
	uint64_t elapsed_ms = loop_now_ms() - process->stopping_since_ms;
	uint32_t limit_ms = process->settings.stop_grace_ms;
	uint32_t last_ms;

	limit_ms -= MIN(limit_ms, JOBD_STOP_MARGIN_MS);
	last_ms =
		limit_ms - MIN(limit_ms, JOBD_QUIET_POLLS * JOBD_STOP_POLL_MS);
	if (elapsed_ms >= MIN(JOBD_BALANCER_DETECT_MS, last_ms))
		callers_drain(process, elapsed_ms >= last_ms);
	if (elapsed_ms >= limit_ms ||
	    (elapsed_ms >= JOBD_BALANCER_DETECT_MS &&
	     ingress_server_is_quiet(process->caller_server, &process->quiet,
				     JOBD_QUIET_POLLS))) {
		loop_stop(process->loop);
		return;
	}
	loop_timer_set(process->loop, &process->stop_timer, JOBD_STOP_POLL_MS);
}

void jobd_stop(struct jobd_process *process, int signo)
{
	if (process->stopping)
		return;
	log_info("process-stopping",
		 "signal %d received, requests in progress %u", signo,
		 ingress_server_in_flight(process->caller_server));
	process->stopping = true;
	process->stopping_since_ms = loop_now_ms();
	jobs_resign(process->service);
	on_stop_poll(process);
}

void jobd_stop_init(struct jobd_process *process)
{
	process->stop_timer.cb = on_stop_poll;
	process->stop_timer.data = process;
}

void jobd_stopped_log(const struct jobd_process *process)
{
	struct ingress_counts counts;

	ingress_server_counts(process->caller_server, &counts);
	log_info("process-stopped",
		 "ended %" G_GUINT64_FORMAT " ms after the stop signal, "
		 "requests in progress %u, caller connections %u",
		 loop_now_ms() - process->stopping_since_ms,
		 ingress_server_in_flight(process->caller_server), counts.open);
}
