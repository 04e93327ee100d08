/**
 * @file platform.c
 * @brief Stand-in for the platform: etcd's JSON gateway and VM actions.
 *
 * Faults are set with POST /control, see control_run().
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg.h"
#include "kv_store.h"
#include "http_server.h"

#define EXPIRE_TICK_MS 50

/** How calls are answered. */
enum mode {
	MODE_OK,
	/** never answered, nothing happens */
	MODE_DOWN,
	/** 503, nothing happens */
	MODE_REFUSE,
	/** takes effect, never answered */
	MODE_LOSE,
};

/** A VM as the platform sees it. */
struct vm {
	char *state;
	char *listed_state;
	uint64_t listed_at_ms;
	/** actions on it are answered with 500 and do nothing */
	bool refuses;
	/** a reboot leaves it down for good */
	bool breaks;
	/** monotonic time at which it is live again, 0 for none */
	uint64_t up_at_ms;
	/** set of "intent action" that were carried out */
	GHashTable *done;
};

struct platform {
	struct loop *loop;
	struct kv_store *store;
	enum mode mode;
	uint32_t delay_ms;
	uint32_t list_lag_ms;
	/* time that a reboot takes */
	uint32_t reboot_ms;
	bool refuses_actions;
	/* actions are carried out but not answered */
	bool loses_actions;
	/* name to struct vm */
	GHashTable *vms;
	json_t *actions;
	/* key whose next write meets a fault, NULL for none */
	char *fault_key;
	enum mode fault;
	struct timer expire_timer;
	uint64_t calls;
	/* key or prefix, in base64, to the number of its reads */
	json_t *reads;
};

/* An answer held back for the configured delay. */
struct held {
	struct timer timer;
	h2o_req_t *req;
	int status;
	json_t *body;
};

/* Lives in the request's memory, so that its end is noticed. */
struct held_link {
	struct held *held;
};

static void vm_free(gpointer data)
{
	struct vm *vm = data;

	g_free(vm->state);
	g_free(vm->listed_state);
	g_hash_table_unref(vm->done);
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
	vm->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(platform->vms, g_strdup(name), vm);
	return vm;
}

static void vm_set(struct platform *platform, const char *name,
		   const char *state)
{
	struct vm *vm = vm_get(platform, name);

	g_free(vm->state);
	vm->state = g_strdup(state);
	vm->listed_at_ms = loop_now_ms() + platform->list_lag_ms;
}

static json_t *vms_list(struct platform *platform)
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

	vm_set(platform, name, "down");
	if (!vm->breaks)
		vm->up_at_ms = loop_now_ms() + platform->reboot_ms;
}

static void vm_carry_out(struct platform *platform, const char *name,
			 const char *action)
{
	if (strcmp(action, "reboot") == 0)
		vm_reboot(platform, name);
	else
		vm_set(platform, name,
		       strcmp(action, "drain") == 0 ? "leaving" : "live");
}

/* An action is carried out once for each intent, however often it is called. */
static json_t *vm_act(struct platform *platform, const char *path,
		      const json_t *body)
{
	g_auto(GStrv) parts = g_strsplit(path, "/", 4);
	const char *intent = json_string_value(json_object_get(body, "intent"));
	struct vm *vm;
	bool refused;
	bool fresh;

	if (g_strv_length(parts) != 4 || !intent)
		return NULL;
	vm = vm_get(platform, parts[2]);
	refused = platform->refuses_actions || vm->refuses;
	fresh = !refused &&
		g_hash_table_add(vm->done,
				 g_strdup_printf("%s %s", intent, parts[3]));
	json_array_append_new(
		platform->actions,
		json_pack("{s:s, s:s, s:s, s:b, s:b, s:I}", "vm", parts[2],
			  "action", parts[3], "intent", intent, "refused",
			  refused, "repeated", !refused && !fresh, "at_ms",
			  (json_int_t)(g_get_real_time() / 1000)));
	if (fresh)
		vm_carry_out(platform, parts[2], parts[3]);
	return refused ? NULL : json_object();
}

static void vms_come_up(struct platform *platform)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->vms);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct vm *vm = value;

		if (vm->up_at_ms == 0 || loop_now_ms() < vm->up_at_ms)
			continue;
		vm->up_at_ms = 0;
		vm_set(platform, name, "live");
	}
}

static json_t *call_run(struct platform *platform, const char *path,
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
		return vms_list(platform);
	return vm_act(platform, path, body);
}

static void on_held_dispose(void *data)
{
	const struct held_link *link = data;
	struct held *held = link->held;

	timer_cancel(&held->timer);
	json_decref(held->body);
	g_free(held);
}

static void on_held_due(void *data)
{
	struct held *held = data;

	http_server_respond(held->req, held->status, json_incref(held->body));
}

static void answer_later(struct platform *platform, h2o_req_t *req, int status,
			 json_t *body)
{
	struct held *held = g_new0(struct held, 1);
	struct held_link *link = h2o_mem_alloc_shared(&req->pool, sizeof(*link),
						      on_held_dispose);

	link->held = held;
	held->req = req;
	held->status = status;
	held->body = body;
	held->timer.cb = on_held_due;
	held->timer.data = held;
	loop_timer_set(platform->loop, &held->timer, platform->delay_ms);
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
	const json_t *refuses = json_object_get(body, "refuses");
	const json_t *breaks = json_object_get(body, "breaks");
	struct vm *vm = vm_get(platform, name);

	if (state) {
		vm->up_at_ms = 0;
		vm_set(platform, name, state);
	}
	if (refuses)
		vm->refuses = json_is_true(refuses);
	if (breaks)
		vm->breaks = json_is_true(breaks);
}

/* Arms a fault of the next write of a key: with "lose" its answer is lost,
 * with "down" it is answered and the platform is down from then on. */
static void fault_arm(struct platform *platform, const char *key,
		      const char *mode)
{
	g_autofree char *encoded =
		g_base64_encode((const guchar *)key, strlen(key));

	g_free(platform->fault_key);
	platform->fault_key = g_steal_pointer(&encoded);
	platform->fault = mode_parse(mode);
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

/* Tells whether the answer to a call is lost by an armed fault. */
static bool fault_meets(struct platform *platform, const json_t *body)
{
	if (!platform->fault_key || !txn_writes(body, platform->fault_key))
		return false;
	g_clear_pointer(&platform->fault_key, g_free);
	if (platform->fault == MODE_DOWN)
		platform->mode = MODE_DOWN;
	return platform->fault == MODE_LOSE;
}

static void control_actions(struct platform *platform, const json_t *body)
{
	const json_t *reboot = json_object_get(body, "reboot_ms");
	const json_t *refuses = json_object_get(body, "refuses_actions");
	const json_t *loses = json_object_get(body, "loses_actions");

	if (reboot)
		platform->reboot_ms = (uint32_t)json_integer_value(reboot);
	if (refuses)
		platform->refuses_actions = json_is_true(refuses);
	if (loses)
		platform->loses_actions = json_is_true(loses);
}

/* {"mode": ok|down|refuse|lose, "delay_ms": N, "list_lag_ms": N,
 *  "reboot_ms": N, "refuses_actions": bool, "loses_actions": bool,
 *  "vm": NAME with "state": live|leaving|down, "refuses": bool,
 *  "breaks": bool, "fault_key": KEY, "fault": lose|down,
 *  "key": KEY, "value": TEXT} */
static void control_run(struct platform *platform, const json_t *body)
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

/* Pages of the judges; they answer whatever the mode is. */
static bool judge_page(struct platform *platform, h2o_req_t *req,
		       const json_t *body)
{
	if (http_server_request_matches(req, "POST", "/control")) {
		control_run(platform, body);
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

static void call_answer(struct platform *platform, h2o_req_t *req,
			const json_t *body)
{
	g_autofree char *path = g_strndup(req->path.base, req->path.len);
	json_t *answer;

	platform->calls++;
	read_count(platform, path, body);
	if (platform->mode == MODE_DOWN)
		return;
	if (platform->mode == MODE_REFUSE) {
		http_server_respond(req, 503, json_object());
		return;
	}
	answer = call_run(platform, path, body);
	if (fault_meets(platform, body) || platform->mode == MODE_LOSE ||
	    (platform->loses_actions && g_str_has_prefix(path, "/vms/"))) {
		json_decref(answer);
		return;
	}
	if (platform->delay_ms > 0)
		answer_later(platform, req, answer ? 200 : 404,
			     answer ? answer : json_object());
	else
		http_server_respond(req, answer ? 200 : 404,
				    answer ? answer : json_object());
}

static void on_request(void *data, h2o_req_t *req)
{
	struct platform *platform = data;
	json_t *body = json_loadb(req->entity.base ? req->entity.base : "",
				  req->entity.len, 0, NULL);

	if (!judge_page(platform, req, body))
		call_answer(platform, req, body);
	json_decref(body);
}

static void on_expire(void *data)
{
	struct platform *platform = data;

	kv_store_expire(platform->store, loop_now_ms());
	vms_come_up(platform);
	loop_timer_set(platform->loop, &platform->expire_timer, EXPIRE_TICK_MS);
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
	platform.expire_timer.cb = on_expire;
	platform.expire_timer.data = &platform;
	loop_timer_set(platform.loop, &platform.expire_timer, EXPIRE_TICK_MS);
	port = http_server_start(platform.loop, listen.ip, listen.port,
				 on_request, &platform);
	if (port == 0)
		return 1;
	printf("%u\n", (unsigned int)port);
	fflush(stdout);
	loop_run_until_stopped(platform.loop);
	return 0;
}
