#include "jobd.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cfw.h"
#include "esa_front.h"
#include "esa_settings.h"
#include "esa_store.h"
#include "esa_work.h"
#include "hst.h"
#include "jch.h"
#include "lgx.h"

/* Timeout of a call to the store, whose slow answers take about 300 ms. */
#define JOBD_STORE_TIMEOUT_MS 1000
/* Burst size of the rate limit on calls to the store. */
#define JOBD_STORE_BURST 200
/*
 * Time-to-live of a process's lease, which bounds how long a dead owner goes
 * unnoticed. The lease is renewed four times within it, and a slow store takes
 * about 300 ms to answer.
 */
#define JOBD_LEASE_TTL_S 1
/* Maximum size of a request body until the configuration sets another limit. */
#define JOBD_BODY_MAX_BYTES (1024u * 1024u)
/*
 * Maximum caller connections; leaves file descriptors for the store, workers
 * and peers.
 */
#define JOBD_CONNECTIONS_MAX 2000
/* Idle timeout of caller connections. */
#define JOBD_IDLE_TIMEOUT_MS 60000
/*
 * Delay before a campaign for ownership on a VM with one CPU core. The delay is
 * inversely proportional to the CPU share, so that stronger VMs usually become
 * owner.
 */
#define JOBD_ELECTION_DELAY_MS 25
/*
 * Time for the load balancer to stop using this VM: it probes once a second and
 * removes a VM after two failed probes.
 */
#define JOBD_BALANCER_DETECT_MS 2300
/* Margin to exit before the platform kills the process. */
#define JOBD_STOP_MARGIN_MS 600
/* Interval between checks whether a stopping process may exit. */
#define JOBD_STOP_POLL_MS 50

struct jobd_options {
	char *node_file;
	char *log_level;
	uint32_t log_lines_per_s;
	uint32_t metrics_port;
	bool check_config;
};

#define AT(member) offsetof(struct jobd_options, member)

static const struct cfg_option jobd_options[] = {
	{ "node-file", CFG_TEXT, AT(node_file), NULL, 0, 0,
	  "settings file of this machine, written by the platform", "FILE" },
	{ "log-level", CFG_TEXT, AT(log_level), "info", 0, 0,
	  "error, warning, info or debug", "LEVEL" },
	{ "log-lines-per-s", CFG_U32, AT(log_lines_per_s), "100", 1, 100000,
	  "maximum log lines per second, not counting warnings", "N" },
	{ "metrics-port", CFG_U32, AT(metrics_port), "0", 0, 65535,
	  "port that serves /metrics; 0 to disable", "PORT" },
	{ "check-config", CFG_BOOL, AT(check_config), NULL, 0, 0,
	  "check the settings and exit", NULL },
	{ 0 },
};

struct jobd_process {
	struct evl_loop *loop;
	struct esa_settings settings;
	struct plt_platform *store;
	struct esa_work *work;
	struct jch_channel *channel;
	struct jsv_service *service;
	struct cfw_watcher *config;
	struct clr_server *front;
	struct clr_server *ready;
	/* NULL if no metrics port is set */
	struct clr_server *metrics;
	uint16_t metrics_port;
	/* latency of callers' calls, by verb */
	struct hst_histogram *call_latency[JSV_WAITING + 1];
	bool stopping;
	uint64_t stopping_since_ms;
	struct tmr_entry stop_timer;
};

/* A caller's request in progress. */
struct jobd_request {
	struct jobd_process *process;
	/* NULL after the caller disconnected */
	struct clr_request *request;
	struct esa_front_call call;
	uint64_t config_version;
	uint64_t began_ms;
};

static const char *const jobd_verbs[] = {
	[JSV_SUBMIT] = "submit",
	[JSV_STATE] = "state",
	[JSV_CANCEL] = "cancel",
	[JSV_WAITING] = "waiting",
};

/* Successful queries change nothing, so they are not logged. */
static void call_log(const struct jobd_request *request,
		     const struct jsv_answer *answer, uint64_t took_ms)
{
	enum jsv_verb verb = request->call.call.verb;
	bool served =
		answer->outcome == JSV_OK || answer->outcome == JSV_NO_JOB;

	if (served && (verb == JSV_STATE || verb == JSV_WAITING))
		return;
	lgx_info(served ? "call-served" : "call-not-served",
		 "%s %s queue %s, config %" G_GUINT64_FORMAT
		 ", %s, after %" G_GUINT64_FORMAT " ms: %s%s%s",
		 request->call.id, jobd_verbs[verb], request->call.queue,
		 request->config_version,
		 request->request ? "caller connected" : "caller disconnected",
		 took_ms, jsv_outcome_name(answer->outcome),
		 answer->why ? ", " : "", answer->why ? answer->why : "");
}

static void on_answer(void *data, const struct jsv_answer *answer)
{
	struct jobd_request *request = data;
	uint64_t took_ms = evl_now_ms() - request->began_ms;

	hst_note(request->process->call_latency[request->call.call.verb],
		 took_ms);
	call_log(request, answer, took_ms);
	if (request->request) {
		clr_request_set_data(request->request, NULL);
		esa_front_answer(request->request, request->call.call.verb,
				 answer);
	}
	esa_front_clear(&request->call);
	g_free(request);
}

static void on_request(void *data, struct clr_request *caller)
{
	struct jobd_process *process = data;
	struct jobd_request *request = g_new0(struct jobd_request, 1);
	const char *why = NULL;
	uint16_t status = esa_front_decode(cfw_catalogue(process->config),
					   caller, &request->call, &why);

	if (status != 0) {
		lgx_info("call-refused", "%s %s: status %u, %s",
			 clr_request_view(caller)->method,
			 clr_request_view(caller)->path, (unsigned int)status,
			 why);
		esa_front_refuse(caller, status);
		g_free(request);
		return;
	}
	request->process = process;
	request->request = caller;
	request->began_ms = evl_now_ms();
	request->config_version = cfw_catalogue(process->config)->version;
	clr_request_set_data(caller, request);
	jsv_call(process->service, &request->call.call, on_answer, request);
}

static void on_caller_gone(void *data, struct clr_request *caller)
{
	struct jobd_request *request = clr_request_data(caller);

	if (request)
		request->request = NULL;
}

static bool on_front_page(void *data, const char *path,
			  struct clr_answer *answer, GString *body)
{
	return false;
}

static bool on_metrics_page(void *data, const char *path,
			    struct clr_answer *answer, GString *body)
{
	struct jobd_process *process = data;

	if (strcmp(path, "/metrics") != 0) {
		answer->status = 404;
		return true;
	}
	jsv_metrics(process->service, body);
	for (size_t i = 0; i < G_N_ELEMENTS(process->call_latency); i++)
		hst_render(process->call_latency[i], body);
	g_string_append_printf(body,
			       "sassafrascart_log_lines_held_back_total "
			       "%" G_GUINT64_FORMAT "\n",
			       lgx_held_back());
	return true;
}

static bool on_ready_page(void *data, const char *path,
			  struct clr_answer *answer, GString *body)
{
	struct jobd_process *process = data;

	answer->status = !process->stopping && cfw_catalogue(process->config) &&
					 jsv_has_owner(process->service)
				 ? 200
				 : 503;
	return true;
}

static const struct clr_ops front_ops = {
	.on_request = on_request,
	.on_gone = on_caller_gone,
	.on_page = on_front_page,
};

static const struct clr_ops ready_ops = {
	.on_request = on_request,
	.on_gone = on_caller_gone,
	.on_page = on_ready_page,
};

static const struct clr_ops metrics_ops = {
	.on_request = on_request,
	.on_gone = on_caller_gone,
	.on_page = on_metrics_page,
};

static void on_peer_call(void *data, const struct jsv_call *call, jsv_cb cb,
			 void *cb_data)
{
	struct jobd_process *process = data;

	jsv_call_handed_on(process->service, call, cb, cb_data);
}

static void on_config(void *data, struct jcf_catalogue *catalogue)
{
	struct jobd_process *process = data;

	jsv_set_catalogue(process->service, catalogue);
}

/*
 * Stops the loop when the load balancer has noticed the shutdown and no request
 * is open, or shortly before the platform kills the process.
 */
static void on_stop_poll(void *data)
{
	struct jobd_process *process = data;
	uint64_t elapsed_ms = evl_now_ms() - process->stopping_since_ms;
	uint32_t limit_ms = process->settings.stop_grace_ms;

	limit_ms -= MIN(limit_ms, JOBD_STOP_MARGIN_MS);
	if (elapsed_ms >= MIN(JOBD_BALANCER_DETECT_MS, limit_ms))
		clr_server_shut_down(process->front);
	if (elapsed_ms >= limit_ms ||
	    (elapsed_ms > JOBD_BALANCER_DETECT_MS + JOBD_STOP_POLL_MS &&
	     clr_server_open_requests(process->front) == 0)) {
		evl_loop_stop(process->loop);
		return;
	}
	evl_timer_set(process->loop, &process->stop_timer, JOBD_STOP_POLL_MS);
}

static void on_signal(void *data, int signo)
{
	struct jobd_process *process = data;

	if (process->stopping)
		return;
	lgx_info("process-stopping", "signal %d, open requests %u", signo,
		 clr_server_open_requests(process->front));
	process->stopping = true;
	process->stopping_since_ms = evl_now_ms();
	jsv_resign(process->service);
	on_stop_poll(process);
}

static enum err_kind server_open(struct jobd_process *process,
				 const struct cfg_endpoint *endpoint,
				 const struct clr_ops *ops,
				 struct clr_server **out)
{
	const struct clr_config config = {
		.ip = endpoint->ip,
		.port = endpoint->port,
		.body_max_bytes = JOBD_BODY_MAX_BYTES,
		.connections_max = JOBD_CONNECTIONS_MAX,
		.idle_timeout_ms = JOBD_IDLE_TIMEOUT_MS,
	};
	enum err_kind err =
		clr_server_create(process->loop, &config, ops, process, out);

	if (err != ERR_NONE)
		lgx_warning("listen-failed", "%s:%u: %s", endpoint->ip,
			    endpoint->port, err_name(err));
	return err;
}

static enum err_kind store_open(struct jobd_process *process)
{
	const struct esa_settings *settings = &process->settings;
	const struct plt_config config = {
		.ip = settings->store.ip,
		.port = settings->store.port,
		.timeout_ms = JOBD_STORE_TIMEOUT_MS,
		.rate_per_s = settings->store_calls_per_s,
		.rate_burst = JOBD_STORE_BURST,
	};

	return plt_platform_create_with(process->loop, &esa_store_ops, &config,
					&process->store);
}

static void service_open(struct jobd_process *process)
{
	const struct esa_settings *settings = &process->settings;
	const struct jsv_config config = {
		.id = settings->machine,
		.availability_zone = settings->availability_zone,
		.ip = settings->ip,
		.port = settings->own_port,
		.lease_ttl_s = JOBD_LEASE_TTL_S,
		.compete_delay_ms = JOBD_ELECTION_DELAY_MS * 1000 /
				    MAX(settings->cpu_permille, 1),
		.worker_lease_ms = settings->worker_lease_ms,
		.status_ms = settings->status_ms,
		.vm_order_gap_ms = settings->vm_order_gap_ms,
		.move_ms = settings->move_ms,
		.maintain_ms = settings->maintain_ms,
	};

	process->work = esa_work_create(process->loop, settings);
	process->service = jsv_service_create(
		process->loop, process->store, &config, &esa_work_ops,
		process->work, &jch_peers, process->channel);
	jch_serve(process->channel, on_peer_call, process);
	process->config = cfw_watcher_create(process->loop, process->store,
					     &esa_work_ops, on_config, process);
}

static enum err_kind metrics_open(struct jobd_process *process)
{
	struct cfg_endpoint endpoint = { .port = process->metrics_port };

	g_strlcpy(endpoint.ip, process->settings.ip, sizeof(endpoint.ip));
	return server_open(process, &endpoint, &metrics_ops, &process->metrics);
}

static enum err_kind process_open(struct jobd_process *process)
{
	const struct esa_settings *settings = &process->settings;
	enum err_kind err = store_open(process);

	if (err != ERR_NONE)
		return err;
	err = jch_channel_create(process->loop, settings->ip,
				 settings->own_port, &process->channel);
	if (err != ERR_NONE) {
		lgx_warning("listen-failed", "%s:%u: %s", settings->ip,
			    settings->own_port, err_name(err));
		return err;
	}
	service_open(process);
	err = server_open(process, &settings->front, &front_ops,
			  &process->front);
	if (err == ERR_NONE)
		err = server_open(process, &settings->ready, &ready_ops,
				  &process->ready);
	if (err == ERR_NONE && process->metrics_port != 0)
		err = metrics_open(process);
	if (err == ERR_NONE)
		err = evl_signals_watch(process->loop, on_signal, process);
	return err;
}

static void process_close(struct jobd_process *process)
{
	jsv_service_destroy(process->service);
	cfw_watcher_destroy(process->config);
	clr_server_destroy(process->front);
	clr_server_destroy(process->ready);
	clr_server_destroy(process->metrics);
	jch_channel_destroy(process->channel);
	esa_work_destroy(process->work);
	plt_platform_destroy(process->store);
}

static int process_run(struct jobd_process *process)
{
	enum err_kind err;
	static const char *const labels[] = {
		[JSV_SUBMIT] = "call=\"submit\"",
		[JSV_STATE] = "call=\"state\"",
		[JSV_CANCEL] = "call=\"cancel\"",
		[JSV_WAITING] = "call=\"waiting\"",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(process->call_latency); i++)
		process->call_latency[i] = hst_create("job_call", labels[i]);
	process->loop = evl_loop_create();
	process->stop_timer.cb = on_stop_poll;
	process->stop_timer.data = process;
	err = process_open(process);
	if (err == ERR_NONE) {
		lgx_info("process-started",
			 "version " SASSAFRASCART_VERSION
			 " on %s, availability zone %s",
			 process->settings.machine,
			 process->settings.availability_zone);
		evl_loop_run(process->loop);
		lgx_info("process-stopped", "after %" G_GUINT64_FORMAT " ms",
			 evl_now_ms() - process->stopping_since_ms);
	} else {
		fprintf(stderr, "sassafrascartd: cannot start: %s\n",
			err_describe(err));
	}
	process_close(process);
	for (size_t i = 0; i < G_N_ELEMENTS(process->call_latency); i++)
		hst_destroy(process->call_latency[i]);
	evl_loop_destroy(process->loop);
	return err_exit_code(err);
}

bool jobd_is_requested(int argc, char *const *argv)
{
	if (g_getenv("SASSAFRASCART_NODE_FILE"))
		return true;
	for (int i = 1; i < argc; i++) {
		if (g_str_has_prefix(argv[i], "--node-file"))
			return true;
	}
	return false;
}

static int usage_fail(GError *error)
{
	fprintf(stderr, "sassafrascartd: %s\n", error->message);
	g_error_free(error);
	return err_exit_code(ERR_USAGE);
}

int jobd_main(int argc, char **argv)
{
	struct jobd_options options = { 0 };
	struct jobd_process process = { 0 };
	GError *error = NULL;
	int status = 0;

	if (!cfg_parse(jobd_options,
		       "Job service process of sassafrascart on a machine "
		       "of the ESOA platform.",
		       &argc, &argv, &options, &error) ||
	    !esa_settings_read(options.node_file, &process.settings, &error)) {
		cfg_clear(jobd_options, &options);
		return usage_fail(error);
	}
	if (lgx_install(process.settings.machine, options.log_level) !=
	    ERR_NONE) {
		fprintf(stderr,
			"sassafrascartd: --log-level: expected error, warning, "
			"info or debug, found '%s'\n",
			options.log_level);
		status = err_exit_code(ERR_USAGE);
	} else if (options.check_config) {
		puts("the settings are valid");
	} else {
		lgx_bound(STDOUT_FILENO, options.log_lines_per_s);
		if (process.settings.workers_fetch_orders)
			lgx_warning(
				"worker-fetch-unsupported",
				"the node file says that workers fetch their "
				"orders; sending orders to workers instead");
		process.metrics_port = (uint16_t)options.metrics_port;
		status = process_run(&process);
	}
	esa_settings_clear(&process.settings);
	cfg_clear(jobd_options, &options);
	return status;
}
