/**
 * @file platform.c
 * @brief Stand-in for the platform: etcd's JSON gateway and VM actions.
 *
 * Usage: standin_platform IP:PORT. POST /control injects faults, see
 * control_handle(); GET /history, /actions, /reads and /calls return what the
 * platform was asked to do.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg.h"
#include "kv_store.h"
#include "http_server.h"

#define TICK_MS 50

/** How calls are processed. */
enum mode {
	MODE_OK,
	/** has no effect and no response */
	MODE_DOWN,
	/** has no effect, response 503 */
	MODE_REFUSE,
	/** takes effect, no response */
	MODE_LOSE,
};

/** State of a VM. */
struct vm {
	char *state;
	/** state in the VM list, which lags behind by list_lag_ms */
	char *listed_state;
	/** monotonic time from which the list shows the current state */
	uint64_t listed_at_ms;
	/** actions have no effect, response 404 */
	bool reject_actions;
	/** the VM stays down after a reboot */
	bool stay_down;
	/** monotonic time at which a reboot completes, 0 for none */
	uint64_t reboot_done_ms;
	/** set of "INTENT ACTION" that were applied, so that each is applied
	 * once */
	GHashTable *applied;
};

struct platform {
	struct loop *loop;
	struct kv_store *store;
	enum mode mode;
	uint32_t delay_ms;
	uint32_t list_lag_ms;
	/* duration of a reboot */
	uint32_t reboot_ms;
	bool reject_actions;
	/* actions take effect without a response */
	bool drop_responses;
	/* VM name to struct vm */
	GHashTable *vms;
	/* array of all action calls, oldest first */
	json_t *actions;
	/* key, in base64, whose next write triggers a fault; NULL for none */
	char *armed_key;
	enum mode armed_mode;
	struct timer tick_timer;
	uint64_t calls;
	/* key or prefix, in base64, to the number of range requests for it */
	json_t *reads;
};

/* A response that is sent after the configured delay. */
struct delayed_response {
	struct timer timer;
	h2o_req_t *req;
	int status;
	json_t *body;
};

/* Allocated in the request's memory pool, so that the disposal of the request
 * cancels the response. */
struct delayed_response_ref {
	struct delayed_response *delayed_response;
};

static void vm_free(gpointer data)
{
	struct vm *vm = data;

	g_free(vm->state);
	g_free(vm->listed_state);
	g_hash_table_unref(vm->applied);
	g_free(vm);
}

static struct vm *vm_get(struct platform *platform, const char *name)
{
	struct vm *vm = g_hash_table_lookup(platform->vms, name);

	if (vm)
		return vm;
	vm = g_new0(struct vm, 1);
	vm->state = g_strdup("live");
	vm->listed_state = g_strdup("live");
	vm->applied =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(platform->vms, g_strdup(name), vm);
	return vm;
}

static void vm_set_state(struct platform *platform, const char *name,
			 const char *state)
{
	struct vm *vm = vm_get(platform, name);

	g_free(vm->state);
	vm->state = g_strdup(state);
	vm->listed_at_ms = loop_now_ms() + platform->list_lag_ms;
}

static json_t *vm_list_build(struct platform *platform)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->vms);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct vm *vm = value;

		if (vm->listed_at_ms <= loop_now_ms()) {
			g_free(vm->listed_state);
			vm->listed_state = g_strdup(vm->state);
		}
		json_array_append_new(list,
				      json_pack("{s:s, s:s}", "name", name,
						"state", vm->listed_state));
	}
	return json_pack("{s:o}", "vms", list);
}

static void vm_reboot(struct platform *platform, const char *name)
{
	struct vm *vm = vm_get(platform, name);

	vm_set_state(platform, name, "down");
	if (!vm->stay_down)
		vm->reboot_done_ms = loop_now_ms() + platform->reboot_ms;
}

static void vm_action_apply(struct platform *platform, const char *name,
			    const char *action)
{
	if (strcmp(action, "reboot") == 0)
		vm_reboot(platform, name);
	else
		vm_set_state(platform, name,
			     strcmp(action, "drain") == 0 ? "leaving" : "live");
}

/* Handles POST /vms/NAME/ACTION. An action is applied once for each intent,
 * also if the call is repeated. Returns NULL if the action is rejected. */
static json_t *vm_action_handle(struct platform *platform, const char *path,
				const json_t *body)
{
	g_auto(GStrv) parts = g_strsplit(path, "/", 4);
	const char *intent = json_string_value(json_object_get(body, "intent"));
	struct vm *vm;
	bool rejected;
	bool is_new;

	if (g_strv_length(parts) != 4 || !intent)
		return NULL;
	vm = vm_get(platform, parts[2]);
	rejected = platform->reject_actions || vm->reject_actions;
	is_new = !rejected &&
		 g_hash_table_add(vm->applied,
				  g_strdup_printf("%s %s", intent, parts[3]));
	json_array_append_new(
		platform->actions,
		json_pack("{s:s, s:s, s:s, s:b, s:b, s:I}", "vm", parts[2],
			  "action", parts[3], "intent", intent, "refused",
			  rejected, "repeated", !rejected && !is_new, "at_ms",
			  (json_int_t)(g_get_real_time() / 1000)));
	if (is_new)
		vm_action_apply(platform, parts[2], parts[3]);
	return rejected ? NULL : json_object();
}

static void vm_reboots_finish(struct platform *platform)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->vms);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct vm *vm = value;

		if (vm->reboot_done_ms == 0 ||
		    loop_now_ms() < vm->reboot_done_ms)
			continue;
		vm->reboot_done_ms = 0;
		vm_set_state(platform, name, "live");
	}
}

static json_t *call_dispatch(struct platform *platform, const char *path,
			     const json_t *body)
{
	uint64_t now_ms = loop_now_ms();

	kv_store_expire(platform->store, now_ms);
	if (strcmp(path, "/v3/kv/range") == 0)
		return kv_store_range(platform->store, body);
	if (strcmp(path, "/v3/kv/txn") == 0)
		return kv_store_txn(platform->store, body);
	if (g_str_has_prefix(path, "/v3/lease/"))
		return kv_store_lease(platform->store,
				      path + strlen("/v3/lease/"), body,
				      now_ms);
	if (strcmp(path, "/vms") == 0)
		return vm_list_build(platform);
	return vm_action_handle(platform, path, body);
}

static void on_request_dispose(void *data)
{
	const struct delayed_response_ref *ref = data;
	struct delayed_response *delayed_response = ref->delayed_response;

	timer_cancel(&delayed_response->timer);
	json_decref(delayed_response->body);
	g_free(delayed_response);
}

static void on_response_due(void *data)
{
	struct delayed_response *delayed_response = data;

	http_server_respond(delayed_response->req, delayed_response->status,
			    json_incref(delayed_response->body));
}

static void response_delay(struct platform *platform, h2o_req_t *req,
			   int status, json_t *body)
{
	struct delayed_response *delayed_response =
		g_new0(struct delayed_response, 1);
	struct delayed_response_ref *ref = h2o_mem_alloc_shared(
		&req->pool, sizeof(*ref), on_request_dispose);

	ref->delayed_response = delayed_response;
	delayed_response->req = req;
	delayed_response->status = status;
	delayed_response->body = body;
	delayed_response->timer.cb = on_response_due;
	delayed_response->timer.data = delayed_response;
	loop_timer_set(platform->loop, &delayed_response->timer,
		       platform->delay_ms);
}

static enum mode mode_parse(const char *name)
{
	if (strcmp(name, "down") == 0)
		return MODE_DOWN;
	if (strcmp(name, "refuse") == 0)
		return MODE_REFUSE;
	return strcmp(name, "lose") == 0 ? MODE_LOSE : MODE_OK;
}

static void control_vm(struct platform *platform, const char *name,
		       const json_t *body)
{
	const char *state = json_string_value(json_object_get(body, "state"));
	const json_t *reject_actions = json_object_get(body, "refuses");
	const json_t *stay_down = json_object_get(body, "breaks");
	struct vm *vm = vm_get(platform, name);

	if (state) {
		vm->reboot_done_ms = 0;
		vm_set_state(platform, name, state);
	}
	if (reject_actions)
		vm->reject_actions = json_is_true(reject_actions);
	if (stay_down)
		vm->stay_down = json_is_true(stay_down);
}

/* Arms a fault for the next write of a key: with "lose" the response to
 * the write is dropped, with "down" it is sent and the platform then goes down.
 */
static void fault_arm(struct platform *platform, const char *key,
		      const char *mode)
{
	g_autofree char *encoded =
		g_base64_encode((const guchar *)key, strlen(key));

	g_free(platform->armed_key);
	platform->armed_key = g_steal_pointer(&encoded);
	platform->armed_mode = mode_parse(mode);
}

static bool txn_writes(const json_t *body, const char *encoded_key)
{
	size_t index;
	json_t *op;

	json_array_foreach(json_object_get(body, "success"), index, op)
	{
		const char *key = json_string_value(json_object_get(
			json_object_get(op, "request_put"), "key"));

		if (key && strcmp(key, encoded_key) == 0)
			return true;
	}
	return false;
}

/* Applies the armed fault, if the call triggers it; returns true if the
 * response must be dropped. */
static bool fault_apply(struct platform *platform, const json_t *body)
{
	if (!platform->armed_key || !txn_writes(body, platform->armed_key))
		return false;
	g_clear_pointer(&platform->armed_key, g_free);
	if (platform->armed_mode == MODE_DOWN)
		platform->mode = MODE_DOWN;
	return platform->armed_mode == MODE_LOSE;
}

static void control_actions(struct platform *platform, const json_t *body)
{
	const json_t *reboot = json_object_get(body, "reboot_ms");
	const json_t *reject_actions = json_object_get(body, "refuses_actions");
	const json_t *drop = json_object_get(body, "loses_actions");

	if (reboot)
		platform->reboot_ms = (uint32_t)json_integer_value(reboot);
	if (reject_actions)
		platform->reject_actions = json_is_true(reject_actions);
	if (drop)
		platform->drop_responses = json_is_true(drop);
}

/* Body of POST /control, with any of these fields:
 * {"mode": ok|down|refuse|lose, "delay_ms": N, "list_lag_ms": N,
 *  "reboot_ms": N, "refuses_actions": bool, "loses_actions": bool,
 *  "vm": NAME with "state": live|leaving|down, "refuses": bool,
 *  "breaks": bool, "fault_key": KEY, "fault": lose|down,
 *  "key": KEY, "value": TEXT} */
static void control_handle(struct platform *platform, const json_t *body)
{
	const char *mode = json_string_value(json_object_get(body, "mode"));
	const json_t *delay = json_object_get(body, "delay_ms");
	const json_t *lag = json_object_get(body, "list_lag_ms");
	const char *vm = json_string_value(json_object_get(body, "vm"));
	const char *key = json_string_value(json_object_get(body, "key"));
	const char *value = json_string_value(json_object_get(body, "value"));

	if (mode)
		platform->mode = mode_parse(mode);
	if (delay)
		platform->delay_ms = (uint32_t)json_integer_value(delay);
	if (lag)
		platform->list_lag_ms = (uint32_t)json_integer_value(lag);
	control_actions(platform, body);
	if (vm)
		control_vm(platform, vm, body);
	if (json_object_get(body, "fault_key"))
		fault_arm(platform,
			  json_string_value(json_object_get(body, "fault_key")),
			  json_string_value(json_object_get(body, "fault")));
	if (key && value)
		kv_store_put(platform->store, key, value);
}

/* Handles the pages for tests, which respond in every mode. Returns false if
 * the request is for another page. */
static bool test_page_handle(struct platform *platform, h2o_req_t *req,
			     const json_t *body)
{
	if (http_server_request_matches(req, "POST", "/control")) {
		control_handle(platform, body);
		http_server_respond(req, 200, json_object());
	} else if (http_server_request_matches(req, "GET", "/history")) {
		http_server_respond(req, 200,
				    kv_store_history(platform->store));
	} else if (http_server_request_matches(req, "GET", "/actions")) {
		http_server_respond(req, 200, json_incref(platform->actions));
	} else if (http_server_request_matches(req, "GET", "/reads")) {
		http_server_respond(req, 200, json_incref(platform->reads));
	} else if (http_server_request_matches(req, "GET", "/calls")) {
		http_server_respond(req, 200,
				    json_integer((json_int_t)platform->calls));
	} else {
		return false;
	}
	return true;
}

static void read_count(struct platform *platform, const char *path,
		       const json_t *body)
{
	const char *key = json_string_value(json_object_get(body, "key"));
	json_int_t count;

	if (strcmp(path, "/v3/kv/range") != 0 || !key)
		return;
	count = json_integer_value(json_object_get(platform->reads, key));
	json_object_set_new(platform->reads, key, json_integer(count + 1));
}

static void call_handle(struct platform *platform, h2o_req_t *req,
			const json_t *body)
{
	g_autofree char *path = g_strndup(req->path.base, req->path.len);
	json_t *response;

	platform->calls++;
	read_count(platform, path, body);
	if (platform->mode == MODE_DOWN)
		return;
	if (platform->mode == MODE_REFUSE) {
		http_server_respond(req, 503, json_object());
		return;
	}
	response = call_dispatch(platform, path, body);
	if (fault_apply(platform, body) || platform->mode == MODE_LOSE ||
	    (platform->drop_responses && g_str_has_prefix(path, "/vms/"))) {
		json_decref(response);
		return;
	}
	if (platform->delay_ms > 0)
		response_delay(platform, req, response ? 200 : 404,
			       response ? response : json_object());
	else
		http_server_respond(req, response ? 200 : 404,
				    response ? response : json_object());
}

static void on_request(void *data, h2o_req_t *req)
{
	struct platform *platform = data;
	json_t *body = json_loadb(req->entity.base ? req->entity.base : "",
				  req->entity.len, 0, NULL);

	if (!test_page_handle(platform, req, body))
		call_handle(platform, req, body);
	json_decref(body);
}

static void on_tick(void *data)
{
	struct platform *platform = data;

	kv_store_expire(platform->store, loop_now_ms());
	vm_reboots_finish(platform);
	loop_timer_set(platform->loop, &platform->tick_timer, TICK_MS);
}

int main(int argc, char **argv)
{
	struct platform platform = { 0 };
	struct cfg_endpoint listen;
	uint16_t port;

	signal(SIGPIPE, SIG_IGN);
	if (argc != 2 || !cfg_endpoint_parse(argv[1], &listen)) {
		fputs("usage: standin_platform IP:PORT\n", stderr);
		return 2;
	}
	platform.loop = loop_create();
	platform.store = kv_store_create();
	platform.vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, vm_free);
	platform.actions = json_array();
	platform.reads = json_object();
	platform.tick_timer.cb = on_tick;
	platform.tick_timer.data = &platform;
	loop_timer_set(platform.loop, &platform.tick_timer, TICK_MS);
	port = http_server_start(platform.loop, listen.ip, listen.port,
				 on_request, &platform);
	if (port == 0)
		return 1;
	printf("%u\n", (unsigned int)port);
	fflush(stdout);
	loop_run_until_stopped(platform.loop);
	return 0;
}
