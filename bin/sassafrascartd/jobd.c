#include "jobd.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "descriptor_limit.h"
#include "esoa_job_api.h"
#include "esoa_store.h"
#include "jobd_private.h"
#include "log.h"

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
/* Maximum size of a request body. */
#define JOBD_BODY_MAX_BYTES (1024u * 1024u)
/* Bytes of all incomplete requests together. */
#define JOBD_INPUT_MAX_BYTES (32u * 1024u * 1024u)
/* Idle timeout of caller connections. */
#define JOBD_IDLE_TIMEOUT_MS 60000
/*
 * Delay before a campaign for ownership on a VM with one CPU core. The delay is
 * inversely proportional to the CPU share, so that stronger VMs usually become
 * owner.
 */
#define JOBD_ELECTION_DELAY_MS 25
/* Large tasks that are planned ahead in each pool: a step of common width. */
#define JOBD_LOOKAHEAD_PLANS 8

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

/* A caller's request in progress. */
struct jobd_request {
	struct jobd_process *process;
	/* NULL after the caller disconnected */
	struct ingress_request *ingress;
	struct esoa_job_api_call call;
	uint64_t config_version;
	uint64_t began_ms;
};

static const char *const jobd_verbs[] = {
	[JOBS_SUBMIT] = "submit",
	[JOBS_STATE] = "state",
	[JOBS_CANCEL] = "cancel",
	[JOBS_WAITING] = "waiting",
};

/* Successful queries change nothing, so they are not logged. */
static void call_log(const struct jobd_request *request,
		     const struct jobs_answer *answer, uint64_t took_ms)
{
	enum jobs_verb verb = request->call.call.verb;
	bool served =
		answer->outcome == JOBS_OK || answer->outcome == JOBS_NO_JOB;

	if (served && (verb == JOBS_STATE || verb == JOBS_WAITING))
		return;
	log_info(served ? "call-served" : "call-not-served",
		 "job %s: %s call, queue %s, account %s, configuration version "
		 "%" G_GUINT64_FORMAT ", %s, ended after %" G_GUINT64_FORMAT
		 " ms: %s%s%s",
		 request->call.id, jobd_verbs[verb], request->call.queue,
		 request->call.account ? request->call.account : "-",
		 request->config_version,
		 request->ingress ? "caller connected" : "caller disconnected",
		 took_ms, jobs_outcome_name(answer->outcome),
		 answer->why ? ", " : "", answer->why ? answer->why : "");
}

static void on_answer(void *data, const struct jobs_answer *answer)
{
	struct jobd_request *request = data;
	uint64_t took_ms = loop_now_ms() - request->began_ms;

	histogram_record(
		request->process->call_latency[request->call.call.verb],
		took_ms);
	call_log(request, answer, took_ms);
	if (request->ingress) {
		ingress_request_set_data(request->ingress, NULL);
		esoa_job_api_respond(request->ingress, request->call.call.verb,
				     answer);
	}
	esoa_job_api_call_clear(&request->call);
	g_free(request);
}

static bool on_is_awaited(void *data)
{
	const struct jobd_request *request = data;

	return request->ingress &&
	       ingress_request_is_connected(request->ingress);
}

/* The caller has waited since the request arrived, which may be long ago if the
 * process was paused. */
static void submission_prepare(struct jobd_request *request)
{
	struct jobs_call *call = &request->call.call;
	uint32_t waited_ms = ingress_request_arrived_ago_ms(request->ingress);

	if (call->verb != JOBS_SUBMIT)
		return;
	call->deadline_ms -= MIN(call->deadline_ms, waited_ms);
	call->is_awaited = on_is_awaited;
}

static void on_request(void *data, struct ingress_request *ingress)
{
	struct jobd_process *process = data;
	struct jobd_request *request = g_new0(struct jobd_request, 1);
	const char *reason = NULL;
	char age[REVOCATION_AGE_TEXT_BYTES];
	uint16_t status =
		esoa_job_api_decode(config_watcher_catalogue(process->config),
				    config_watcher_allows_keys(process->config),
				    ingress, &request->call, &reason);

	if (status != 0) {
		log_info("call-refused",
			 "request %s %s refused with status %u: %s, key "
			 "fingerprint %s, configuration confirmed %s",
			 ingress_request_view(ingress)->method,
			 ingress_request_view(ingress)->path,
			 (unsigned int)status, reason,
			 request->call.key_fingerprint[0]
				 ? request->call.key_fingerprint
				 : "none",
			 revocation_age_text(
				 config_watcher_revocation(process->config),
				 loop_now_ms(), age));
		process->calls_refused[status == 401 ? JOBD_REFUSED_KEY
				       : status == 503
					       ? JOBD_REFUSED_UNCONFIRMED
					       : JOBD_REFUSED_REQUEST]++;
		esoa_job_api_reject(ingress, status);
		g_free(request);
		return;
	}
	request->process = process;
	request->ingress = ingress;
	request->began_ms = loop_now_ms();
	request->config_version =
		config_watcher_catalogue(process->config)->version;
	ingress_request_set_data(ingress, request);
	submission_prepare(request);
	jobs_call(process->service, &request->call.call, on_answer, request);
}

static void on_caller_gone(void *data, struct ingress_request *ingress)
{
	struct jobd_request *request = ingress_request_data(ingress);

	if (request)
		request->ingress = NULL;
}

static bool on_caller_page(void *data, const char *path,
			   struct ingress_response *response, GString *body)
{
	return false;
}

static bool on_readiness_page(void *data, const char *path,
			      struct ingress_response *response, GString *body)
{
	struct jobd_process *process = data;

	response->status =
		!process->stopping &&
				config_watcher_catalogue(process->config) &&
				config_watcher_allows_keys(process->config) &&
				jobs_has_owner(process->service)
			? 200
			: 503;
	return true;
}

static const struct ingress_ops caller_ops = {
	.on_request = on_request,
	.on_disconnect = on_caller_gone,
	.on_page = on_caller_page,
};

static const struct ingress_ops readiness_ops = {
	.on_request = on_request,
	.on_disconnect = on_caller_gone,
	.on_page = on_readiness_page,
};

static const struct ingress_ops metrics_ops = {
	.on_request = on_request,
	.on_disconnect = on_caller_gone,
	.on_page = jobd_on_metrics_page,
};

static void on_peer_call(void *data, const struct jobs_call *call, jobs_cb cb,
			 void *cb_data)
{
	struct jobd_process *process = data;

	jobs_call_forwarded(process->service, call, cb, cb_data);
}

static struct job_rpc_confirmation on_confirmation_sent(void *data)
{
	const struct jobd_process *process = data;
	const struct revocation *revocation =
		config_watcher_revocation(process->config);
	uint32_t age_ms = revocation_age_ms(revocation, loop_now_ms());

	if (revocation->bound_ms == 0 || age_ms == UINT32_MAX)
		return (struct job_rpc_confirmation){ 0 };
	return (struct job_rpc_confirmation){ revocation->version, age_ms };
}

static void
on_confirmation_received(void *data,
			 const struct job_rpc_confirmation *received,
			 uint64_t sent_ms)
{
	struct jobd_process *process = data;

	config_watcher_confirm(process->config, received->config_version,
			       sent_ms, received->age_ms);
}

static const struct job_rpc_confirm_ops confirm_ops = {
	.current = on_confirmation_sent,
	.on_received = on_confirmation_received,
};

static void on_config(void *data, struct catalogue *catalogue)
{
	struct jobd_process *process = data;

	jobs_set_catalogue(process->service, catalogue);
}

static void on_signal(void *data, int signo)
{
	struct jobd_process *process = data;

	if (signo == SIGHUP)
		reload_request(process->reload);
	else
		jobd_stop(process, signo);
}

static enum err_kind server_open(struct jobd_process *process,
				 const struct cfg_endpoint *endpoint,
				 const struct ingress_ops *ops,
				 uint32_t connections_max,
				 struct ingress_server **out)
{
	const struct ingress_config config = {
		.ip = endpoint->ip,
		.port = endpoint->port,
		.body_max_bytes = JOBD_BODY_MAX_BYTES,
		.input_max_bytes = JOBD_INPUT_MAX_BYTES,
		.connections_max = connections_max,
		.idle_timeout_ms = JOBD_IDLE_TIMEOUT_MS,
	};
	enum err_kind err = ingress_server_create(process->loop, &config, ops,
						  process, out);

	if (err != ERR_NONE)
		log_warning("listen-failed", "cannot listen at %s:%u: %s",
			    endpoint->ip, endpoint->port, err_name(err));
	return err;
}

static struct platform_config store_config(const struct esoa_settings *settings)
{
	return (struct platform_config){
		.ip = settings->store.ip,
		.port = settings->store.port,
		.timeout_ms = JOBD_STORE_TIMEOUT_MS,
		.rate_per_s = settings->store_calls_per_s,
		.rate_burst = JOBD_STORE_BURST,
	};
}

static enum err_kind store_open(struct jobd_process *process)
{
	const struct platform_config config = store_config(&process->settings);

	return platform_create_with_ops(process->loop, &esoa_store_ops, &config,
					&process->store);
}

static uint32_t revocation_bound_ms(const struct esoa_settings *settings)
{
	return settings->revocation_is_bounded ? settings->revocation_ms : 0;
}

static uint32_t compete_delay_ms(const struct esoa_settings *settings)
{
	return JOBD_ELECTION_DELAY_MS * 1000 / MAX(settings->cpu_permille, 1);
}

/* The adapter and the stop deadline read the settings directly. */
static bool on_reload(void *data, const struct file_content *files,
		      GString *applied, GString *kept, GError **error)
{
	struct jobd_process *process = data;
	const struct esoa_settings *settings = &process->settings;
	struct platform_config config;

	if (!esoa_settings_reload(&files[0], &process->settings, applied, kept,
				  error))
		return false;
	config = store_config(settings);
	platform_reconfigure(process->store, &config);
	config_watcher_set_revocation_bound(process->config,
					    revocation_bound_ms(settings));
	jobs_set_limits(process->service, compete_delay_ms(settings),
			settings->ended_retention_ms);
	return true;
}

static void service_open(struct jobd_process *process)
{
	const struct esoa_settings *settings = &process->settings;
	const struct jobs_config config = {
		.id = settings->node_name,
		.availability_zone = settings->availability_zone,
		.ip = settings->ip,
		.port = settings->peer_port,
		.lease_ttl_s = JOBD_LEASE_TTL_S,
		.compete_delay_ms = compete_delay_ms(settings),
		.worker_lease_ms = settings->worker_lease_ms,
		.ended_retention_ms = settings->ended_retention_ms,
		.vm_order_interval_ms = settings->vm_order_interval_ms,
		.move_ms = settings->move_ms,
		.maintain_ms = settings->maintain_ms,
		.lookahead_plans = JOBD_LOOKAHEAD_PLANS,
		.value_bytes = settings->value_bytes,
	};

	process->adapter = esoa_adapter_create(process->loop, settings);
	process->service = jobs_service_create(
		process->loop, process->store, &config, &esoa_adapter_ops,
		process->adapter, &job_rpc_peers, process->channel);
	job_rpc_channel_serve(process->channel, on_peer_call, process);
	process->config = config_watcher_create(
		process->loop, process->store, &esoa_adapter_ops,
		revocation_bound_ms(settings), on_config, process);
	job_rpc_channel_confirm(process->channel, &confirm_ops, process);
}

static enum err_kind metrics_open(struct jobd_process *process)
{
	struct cfg_endpoint endpoint = { .port = process->metrics_port };

	g_strlcpy(endpoint.ip, process->settings.ip, sizeof(endpoint.ip));
	return server_open(process, &endpoint, &metrics_ops,
			   process->descriptors.probe_connections,
			   &process->metrics_server);
}

static void descriptors_plan(struct jobd_process *process)
{
	uint64_t process_max = descriptor_limit_raise();

	process->descriptors = descriptor_plan(
		descriptor_sockets(process_max,
				   process->settings.descriptors_max),
		DESCRIPTOR_USE_WORKERS);
	log_info("descriptors-planned",
		 "descriptors of the process %" G_GUINT64_FORMAT
		 ", of the VM %u; connections of callers %u, of each other "
		 "port %u",
		 process_max, process->settings.descriptors_max,
		 process->descriptors.caller_connections,
		 process->descriptors.probe_connections);
}

static enum err_kind process_open(struct jobd_process *process)
{
	const struct esoa_settings *settings = &process->settings;
	const char *const files[] = { process->node_file, NULL };
	const struct file_watch_config watch = reload_watch_config(files);
	enum err_kind err;

	descriptors_plan(process);
	err = store_open(process);
	if (err != ERR_NONE)
		return err;
	err = job_rpc_channel_create(
		process->loop, settings->ip, settings->peer_port,
		process->descriptors.probe_connections, &process->channel);
	if (err != ERR_NONE) {
		log_warning("listen-failed", "cannot listen at %s:%u: %s",
			    settings->ip, settings->peer_port, err_name(err));
		return err;
	}
	service_open(process);
	process->reload =
		reload_create(process->loop, &watch, on_reload, process);
	err = server_open(process, &settings->caller_listen, &caller_ops,
			  process->descriptors.caller_connections,
			  &process->caller_server);
	if (err == ERR_NONE)
		err = server_open(process, &settings->readiness_listen,
				  &readiness_ops,
				  process->descriptors.probe_connections,
				  &process->readiness_server);
	if (err == ERR_NONE && process->metrics_port != 0)
		err = metrics_open(process);
	if (err == ERR_NONE)
		err = loop_signals_watch(process->loop, on_signal, process);
	return err;
}

static void process_close(struct jobd_process *process)
{
	reload_destroy(process->reload);
	jobs_service_destroy(process->service);
	config_watcher_destroy(process->config);
	ingress_server_destroy(process->caller_server);
	ingress_server_destroy(process->readiness_server);
	ingress_server_destroy(process->metrics_server);
	job_rpc_channel_destroy(process->channel);
	esoa_adapter_destroy(process->adapter);
	platform_destroy(process->store);
}

static int process_run(struct jobd_process *process)
{
	enum err_kind err;
	static const char *const labels[] = {
		[JOBS_SUBMIT] = "call=\"submit\"",
		[JOBS_STATE] = "call=\"state\"",
		[JOBS_CANCEL] = "call=\"cancel\"",
		[JOBS_WAITING] = "call=\"waiting\"",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(process->call_latency); i++)
		process->call_latency[i] =
			histogram_create("job_call", labels[i]);
	process->loop = loop_create();
	jobd_stop_init(process);
	err = process_open(process);
	if (err == ERR_NONE) {
		log_info("process-started",
			 "version " SASSAFRASCART_VERSION
			 " on %s, availability zone %s",
			 process->settings.node_name,
			 process->settings.availability_zone);
		loop_run_until_stopped(process->loop);
		jobd_stopped_log(process);
	} else {
		fprintf(stderr, "sassafrascartd: cannot start: %s\n",
			err_describe(err));
	}
	process_close(process);
	for (size_t i = 0; i < G_N_ELEMENTS(process->call_latency); i++)
		histogram_destroy(process->call_latency[i]);
	loop_destroy(process->loop);
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
	    !esoa_settings_read(options.node_file, &process.settings, &error)) {
		cfg_clear(jobd_options, &options);
		return usage_fail(error);
	}
	if (log_install(process.settings.node_name, options.log_level) !=
	    ERR_NONE) {
		fprintf(stderr,
			"sassafrascartd: --log-level: expected error, warning, "
			"info or debug, found '%s'\n",
			options.log_level);
		status = err_exit_code(ERR_USAGE);
	} else if (options.check_config) {
		puts("the settings are valid");
	} else {
		log_set_output(STDOUT_FILENO, options.log_lines_per_s);
		if (process.settings.workers_pull_orders)
			log_warning(
				"worker-fetch-unsupported",
				"the node file says that workers fetch their "
				"orders; sending orders to workers instead");
		process.node_file = options.node_file;
		process.metrics_port = (uint16_t)options.metrics_port;
		status = process_run(&process);
	}
	esoa_settings_clear(&process.settings);
	cfg_clear(jobd_options, &options);
	return status;
}
