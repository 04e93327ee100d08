#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1500
#define STORE_MS 4
#define ENDS_MAX 500

struct item {
	char key[224];
	char *value;
	int64_t revision;
	int64_t created;
	int64_t lease;
};

struct event {
	char key[224];
	char *value;
	int64_t revision;
	int64_t created;
	int64_t lease;
};

struct lease {
	int64_t id;
	uint64_t ttl_ms;
	uint64_t ends_ms;
};

struct request {
	char method[16];
	char path[2048];
	char expect[64];
	char *body;
	size_t body_len;
};

struct server {
	struct answer (*serve)(struct server *server, struct request *request);
	struct worker *worker;
	/* the node that calls the store here */
	size_t node;
	int fd;
};

struct connection {
	struct server *server;
	int fd;
};

/* Connections to workers, which end with the worker. */
#define WORKER_CONNECTIONS_MAX 1024

struct worker workers[WORKERS_MAX];
size_t worker_count;
size_t failed_ends;
bool trouble;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct item *items;
static size_t item_count;
static struct event *events;
static size_t event_count;
static struct lease leases[256];
static size_t lease_count;
static int64_t revision = 100;
static int64_t lease_number = 1000;
static struct start *starts;
static size_t start_count;
static uint64_t opened_ms;
static FILE *record_file;
static char tmp_folder[256];
static const char *node_program;
static uint32_t net;
static uint16_t store_ports[NODES];
static size_t last_writer;
static uint16_t cloud_port;
static uint16_t front_port;
static uint16_t ready_port;
static uint16_t control_port;
static uint16_t peer_port;
static uint16_t metrics_port;
static pid_t node_pids[NODES];
static bool closing;
static struct connection *worker_connections[WORKER_CONNECTIONS_MAX];

void world_lock(void)
{
	pthread_mutex_lock(&lock);
}

void world_unlock(void)
{
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

static uint64_t clock_ms(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t now_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC) - opened_ms;
}

void sleep_until_ms(uint64_t at_ms)
{
	while (now_ms() < at_ms)
		usleep(5000);
}

void record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	/* NOLINTNEXTLINE(clang-analyzer-valist.Uninitialized) */
	vfprintf(record_file, format, args);
	fputc('\n', record_file);
	fflush(record_file);
	va_end(args);
}

/* Waits for a change of the state, for at most some milliseconds. */
static void changed_wait(uint64_t wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
	until.tv_sec += (time_t)(wait_ms / 1000) + until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&changed, &lock, &until);
}

/* base64 */

static const char padded_digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=";

static char *base64_encode(const char *text)
{
	size_t len = strlen(text);
	char *out = calloc(1, len * 2 + 8);
	size_t at = 0;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (unsigned char)text[i + 2];
		out[at++] = padded_digits[bits >> 18 & 63];
		out[at++] = padded_digits[bits >> 12 & 63];
		out[at++] = padded_digits[i + 1 < len ? bits >> 6 & 63 : 64];
		out[at++] = padded_digits[i + 2 < len ? bits & 63 : 64];
	}
	return out;
}

/* The store */

static struct item *item_find(const char *key)
{
	for (size_t i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	return NULL;
}

static void event_add(const struct item *item, bool deleted)
{
	struct event *event;

	events = realloc(events, (event_count + 1) * sizeof(*events));
	event = &events[event_count++];
	snprintf(event->key, sizeof(event->key), "%s", item->key);
	event->value = deleted ? NULL : strdup(item->value);
	event->revision = revision;
	event->created = item->created;
	event->lease = item->lease;
}

/* The value is in base64. */
static void item_put(const char *key, const char *value, int64_t lease)
{
	struct item *item = item_find(key);

	if (!item) {
		items = realloc(items, (item_count + 1) * sizeof(*items));
		item = &items[item_count++];
		memset(item, 0, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->created = revision;
	}
	free(item->value);
	item->value = strdup(value);
	item->revision = revision;
	item->lease = lease;
	event_add(item, false);
}

static void item_delete(const char *key)
{
	struct item *item = item_find(key);

	if (!item)
		return;
	event_add(item, true);
	free(item->value);
	*item = items[--item_count];
}

static void text_put(const char *key, const char *text)
{
	char *value = base64_encode(text);

	revision++;
	item_put(key, value, 0);
	free(value);
}

static struct lease *lease_find(int64_t id)
{
	for (size_t i = 0; i < lease_count; i++) {
		if (leases[i].id == id)
			return &leases[i];
	}
	return NULL;
}

static void lease_end(struct lease *lease)
{
	int64_t id = lease->id;

	*lease = leases[--lease_count];
	for (size_t i = 0; i < item_count;) {
		if (items[i].lease != id) {
			i++;
			continue;
		}
		revision++;
		item_delete(items[i].key);
	}
}

static json_t *item_json(const struct item *item)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created_rev", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static void query_get(const char *path, const char *name, char *out,
		      size_t size)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);

	out[0] = '\0';
	while (at && *at) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			size_t used = 0;

			for (at += len + 1; *at && *at != '&'; at++) {
				unsigned int code = (unsigned char)*at;

				if (*at == '%' && sscanf(at + 1, "%2x", &code))
					at += 2;
				if (used + 1 < size)
					out[used++] = (char)code;
			}
			out[used] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static int key_compare(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->key,
		      ((const struct item *)b)->key);
}

static struct answer range_serve(const char *path)
{
	json_t *out = json_array();
	char prefix[256];
	char after[256];
	bool more = false;

	query_get(path, "prefix", prefix, sizeof(prefix));
	query_get(path, "after", after, sizeof(after));
	qsort(items, item_count, sizeof(*items), key_compare);
	for (size_t i = 0; i < item_count; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) != 0 ||
		    (after[0] && strcmp(items[i].key, after) <= 0))
			continue;
		more = json_array_size(out) >= 500;
		if (more)
			break;
		json_array_append_new(out, item_json(&items[i]));
	}
	return (struct answer){
		200, json_pack("{s:o, s:b, s:I}", "items", out, "has_more",
			       more, "store_revision", (json_int_t)revision)
	};
}

static struct answer watch_serve(const char *path)
{
	json_t *out = json_array();
	char prefix[256];
	char text[32];
	int64_t after;
	uint64_t until;

	query_get(path, "prefix", prefix, sizeof(prefix));
	query_get(path, "after", text, sizeof(text));
	after = strtoll(text, NULL, 10);
	query_get(path, "wait_ms", text, sizeof(text));
	until = now_ms() + strtoull(text, NULL, 10);
	for (;;) {
		for (size_t i = 0; i < event_count; i++) {
			const struct event *event = &events[i];

			if (event->revision <= after ||
			    strncmp(event->key, prefix, strlen(prefix)) != 0)
				continue;
			if (!event->value) {
				json_array_append_new(
					out,
					json_pack("{s:s, s:I, s:b}", "key",
						  event->key, "revision",
						  (json_int_t)event->revision,
						  "deleted", 1));
				continue;
			}
			json_array_append_new(
				out,
				json_pack("{s:s, s:s, s:I, s:I, s:I}", "key",
					  event->key, "value", event->value,
					  "revision",
					  (json_int_t)event->revision,
					  "created_rev",
					  (json_int_t)event->created, "lease",
					  (json_int_t)event->lease));
		}
		if (json_array_size(out) > 0 || now_ms() >= until || closing)
			break;
		changed_wait(until - now_ms());
	}
	return (struct answer){ 200, json_pack("{s:o, s:I}", "events", out,
					       "store_revision",
					       (json_int_t)revision) };
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static int64_t number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static struct answer txn_serve(size_t node, const json_t *body)
{
	json_t *current = json_array();
	bool holds = true;
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "expected_rev"), i, row)
	{
		const struct item *item = item_find(text_of(row, "key"));

		holds &= (item ? item->revision : 0) ==
			 number_of(row, "revision");
		if (item)
			json_array_append_new(current, item_json(item));
	}
	if (!holds)
		return (struct answer){ 412,
					json_pack("{s:o}", "items", current) };
	json_decref(current);
	json_array_foreach(json_object_get(body, "puts"), i, row)
	{
		int64_t lease = number_of(row, "lease");

		if (lease != 0 && !lease_find(lease))
			return (struct answer){ 404, json_object() };
	}
	if (json_array_size(json_object_get(body, "expected_rev")) > 0)
		last_writer = node;
	revision++;
	json_array_foreach(json_object_get(body, "puts"), i, row)
		item_put(text_of(row, "key"), text_of(row, "value"),
			 number_of(row, "lease"));
	json_array_foreach(json_object_get(body, "deletes"), i, row)
		item_delete(json_string_value(row));
	return (struct answer){ 200, json_pack("{s:I}", "revision",
					       (json_int_t)revision) };
}

static struct answer lease_serve(const struct request *request,
				 const json_t *body)
{
	struct lease *lease;
	int64_t id = 0;

	if (strcmp(request->path, "/-/kv-lease") == 0) {
		if (lease_count == sizeof(leases) / sizeof(leases[0]))
			return (struct answer){ 503, json_object() };
		id = ++lease_number;
		lease = &leases[lease_count++];
		*lease =
			(struct lease){ id, (uint64_t)number_of(body, "ttl_ms"),
					0 };
	} else {
		id = strtoll(strrchr(request->path, '/') + 1, NULL, 10);
		lease = lease_find(id);
	}
	if (!lease)
		return (struct answer){ 404, json_object() };
	if (strcmp(request->method, "DELETE") == 0) {
		lease_end(lease);
		return (struct answer){ 200, json_object() };
	}
	lease->ends_ms = now_ms() + lease->ttl_ms;
	return (struct answer){ 200, json_pack("{s:I, s:I}", "lease",
					       (json_int_t)id, "ttl_ms",
					       (json_int_t)lease->ttl_ms) };
}

static struct answer store_serve(struct server *server, struct request *request)
{
	json_t *body = json_loadb(request->body, request->body_len, 0, NULL);
	struct answer answer = { 400, NULL };
	const struct item *item;
	char key[256];

	if (strncmp(request->path, "/-/kv-key", 9) == 0) {
		query_get(request->path, "key", key, sizeof(key));
		item = item_find(key);
		answer.status = item ? 200 : 404;
		answer.body = item ? item_json(item) : json_object();
		json_object_set_new(answer.body, "store_revision",
				    json_integer(revision));
	} else if (strncmp(request->path, "/-/kv-range", 11) == 0) {
		answer = range_serve(request->path);
	} else if (strncmp(request->path, "/-/kv-watch", 11) == 0) {
		answer = watch_serve(request->path);
	} else if (strcmp(request->path, "/-/kv-txn") == 0) {
		answer = txn_serve(server->node, body);
	} else if (strncmp(request->path, "/-/kv-lease", 11) == 0 ||
		   strncmp(request->path, "/-/kv-keep/", 11) == 0) {
		answer = lease_serve(request, body);
	}
	json_decref(body);
	return answer;
}

/* Workers */

static uint64_t worker_clock_ms(const struct worker *worker)
{
	return now_ms() - worker->born_ms + 1;
}

static void run_end(struct worker *worker, size_t index, const char *how)
{
	const struct run *run = &worker->runs[index];

	json_array_append_new(
		worker->ended,
		json_pack("[I, s, I, s, s]", (json_int_t)++worker->end_number,
			  run->task, (json_int_t)run->run, how, ""));
	record("worker %s: task %s run %u ends %s", worker->id, run->task,
	       run->run, how);
	failed_ends += strcmp(how, "failed") == 0;
	worker->runs[index] = worker->runs[--worker->run_count];
	pthread_cond_broadcast(&changed);
}

static void worker_tick(struct worker *worker)
{
	uint64_t now = now_ms();

	for (size_t i = worker->run_count; i-- > 0;) {
		const struct run *run = &worker->runs[i];

		if (worker_clock_ms(worker) >= worker->until_ms)
			run_end(worker, i, "lapsed");
		else if (run->stop_ms != 0 && now >= run->stop_ms)
			run_end(worker, i, "stopped");
		else if (run->work_ms != 0 &&
			 now >= run->begun_ms + run->work_ms)
			run_end(worker, i, run->fails ? "failed" : "done");
	}
}

static int64_t worker_used(const struct worker *worker)
{
	int64_t used = 0;

	for (size_t i = 0; i < worker->run_count; i++)
		used += worker->runs[i].cpu;
	return used;
}

static bool run_was_there(const struct worker *worker, const char *task,
			  uint32_t number)
{
	const json_t *row;
	size_t i;

	json_array_foreach(worker->ended, i, row)
	{
		if (strcmp(json_string_value(json_array_get(row, 1)), task) ==
			    0 &&
		    json_integer_value(json_array_get(row, 2)) >= number)
			return true;
	}
	return false;
}

static struct answer refusal(const struct worker *worker, const char *reason)
{
	return (struct answer){ 409,
				json_pack("{s:I, s:s}", "clock_ms",
					  (json_int_t)worker_clock_ms(worker),
					  "reason", reason) };
}

/* What a task needs and does stands in the specification of its job: CPU,
 * work in ms (0: it lasts), 1 if it fails. */
static struct answer start_serve(struct worker *worker, const json_t *body)
{
	struct run run = { .begun_ms = now_ms() };
	struct start *start;
	int fails = 0;

	if (worker->mode == WORKER_SHEDS) {
		worker->refused++;
		record("worker %s: start of task %s run %lld is refused with "
		       "503, nothing is done",
		       worker->id, text_of(body, "task"),
		       (long long)number_of(body, "run"));
		return (struct answer){ 503, json_object() };
	}
	snprintf(run.task, sizeof(run.task), "%s", text_of(body, "task"));
	run.run = (uint32_t)number_of(body, "run");
	sscanf(text_of(body, "spec"), "%lld %llu %d", (long long *)&run.cpu,
	       (unsigned long long *)&run.work_ms, &fails);
	run.fails = fails != 0;
	for (size_t i = 0; i < worker->run_count; i++) {
		if (strcmp(worker->runs[i].task, run.task) != 0)
			continue;
		if (worker->runs[i].run == run.run)
			return (struct answer){
				200,
				json_pack("{s:I}", "clock_ms",
					  (json_int_t)worker_clock_ms(worker))
			};
		return refusal(worker, "old");
	}
	if (run_was_there(worker, run.task, run.run))
		return refusal(worker, "old");
	if ((uint64_t)number_of(body, "until_ms") <= worker_clock_ms(worker))
		return refusal(worker, "late");
	if (worker_used(worker) + run.cpu > worker->cpu)
		return refusal(worker, "room");
	worker->runs[worker->run_count++] = run;
	starts = realloc(starts, (start_count + 1) * sizeof(*starts));
	start = &starts[start_count++];
	snprintf(start->task, sizeof(start->task), "%s", run.task);
	snprintf(start->worker, sizeof(start->worker), "%s", worker->id);
	start->run = run.run;
	start->at_ms = run.begun_ms;
	record("worker %s: task %s run %u begins", worker->id, run.task,
	       run.run);
	return (struct answer){ 200, json_pack("{s:I}", "clock_ms",
					       (json_int_t)worker_clock_ms(
						       worker)) };
}

static struct answer stop_serve(struct worker *worker, const json_t *body)
{
	for (size_t i = 0; i < worker->run_count; i++) {
		struct run *run = &worker->runs[i];

		if (strcmp(run->task, text_of(body, "task")) == 0 &&
		    run->run <= (uint32_t)number_of(body, "run") &&
		    run->stop_ms == 0)
			run->stop_ms = now_ms() + STOP_MS;
	}
	return (struct answer){ 200, json_pack("{s:I}", "clock_ms",
					       (json_int_t)worker_clock_ms(
						       worker)) };
}

static struct answer report_answer(const struct worker *worker)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (size_t i = 0; i < worker->run_count; i++) {
		const struct run *run = &worker->runs[i];
		uint64_t age = now_ms() - run->begun_ms;
		uint64_t percent =
			run->work_ms ? age * 100 / run->work_ms : 100;

		json_array_append_new(
			running,
			json_pack("[s, I, s, I, I]", run->task,
				  (json_int_t)run->run, "",
				  (json_int_t)(percent < 100 ? percent : 100),
				  (json_int_t)run->cpu));
	}
	for (size_t i = 0; i < json_array_size(worker->ended) && i < ENDS_MAX;
	     i++)
		json_array_append(ended, json_array_get(worker->ended, i));
	return (struct answer){
		200, json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
			       (json_int_t)worker_clock_ms(worker), "born",
			       (json_int_t)worker->born_unix_ms, "running",
			       running, "ended", ended)
	};
}

static struct answer hold_serve(struct worker *worker, const json_t *body)
{
	uint64_t until = now_ms() + (uint64_t)number_of(body, "wait_ms");
	int64_t acked = number_of(body, "acked_upto");
	uint64_t born = worker->born_ms;
	uint64_t ends;

	while (json_array_size(worker->ended) > 0 &&
	       json_integer_value(json_array_get(
		       json_array_get(worker->ended, 0), 0)) <= acked)
		json_array_remove(worker->ended, 0);
	ends = worker->end_number;
	while (now_ms() < until && worker->end_number == ends && !closing &&
	       !worker->down && worker->born_ms == born &&
	       json_array_size(worker->ended) == 0) {
		changed_wait(10);
		worker_tick(worker);
	}
	return report_answer(worker);
}

static struct answer worker_serve(struct server *server,
				  struct request *request)
{
	struct worker *worker = server->worker;
	json_t *body = json_loadb(request->body, request->body_len, 0, NULL);
	struct answer answer = { 404, NULL };
	uint64_t fence = (uint64_t)number_of(body, "fence");
	uint64_t until = (uint64_t)number_of(body, "until_ms");
	uint64_t most = worker_clock_ms(worker) + MAX_HOLD_MS;

	worker_tick(worker);
	if (request->expect[0] && strcmp(request->expect, worker->id) != 0) {
		answer.status = 421;
	} else if (fence < worker->fence) {
		answer = refusal(worker, "fence");
	} else {
		worker->fence = fence;
		if (worker->mode == WORKER_SOUND ||
		    strcmp(request->path, "/-/run-start") != 0) {
			until = until < most ? until : most;
			if (until > worker->until_ms)
				worker->until_ms = until;
		}
		if (strcmp(request->path, "/-/run-start") == 0)
			answer = start_serve(worker, body);
		else if (strcmp(request->path, "/-/run-stop") == 0)
			answer = stop_serve(worker, body);
		else if (strcmp(request->path, "/-/hold") == 0)
			answer = hold_serve(worker, body);
	}
	json_decref(body);
	return answer;
}

static struct answer cloud_serve(struct server *server, struct request *request)
{
	json_t *rows = json_array();

	(void)server;
	if (strcmp(request->method, "GET") != 0)
		return (struct answer){ 409,
					json_pack("{s:s}", "reason", "busy") };
	for (size_t i = 0; i < worker_count; i++) {
		const struct worker *worker = &workers[i];

		json_array_append_new(
			rows, json_pack("{s:s, s:s, s:s, s:s, s:[s, s], "
					"s:{s:I, s:I}, s:s?}",
					"machine", worker->machine, "pool",
					worker->service, "state",
					worker->down ? "down" : "up", "zone",
					"z1", "labels", "a", "r1-1", "capacity",
					"cpu", (json_int_t)worker->cpu,
					"mem_mb", (json_int_t)65536, "id",
					worker->down ? NULL : worker->id));
	}
	return (struct answer){ 200, json_pack("{s:o, s:n}", "machines", rows,
					       "next_token") };
}

/* HTTP */

static bool header_value(const char *head, const char *name, char *out,
			 size_t size)
{
	const char *at = strcasestr(head, name);
	size_t used = 0;

	if (!at)
		return false;
	for (at += strlen(name); *at == ' '; at++)
		;
	while (*at && *at != '\r' && used + 1 < size)
		out[used++] = *at++;
	out[used] = '\0';
	return true;
}

/* Reads until a whole message is there. Returns the length of its head, 0 if
 * the connection has ended; the body follows in the buffer. */
static size_t message_read(int fd, char **buffer, size_t *body_len)
{
	size_t used = 0;
	size_t size = 8192;
	char text[32];

	*buffer = malloc(size + 1);
	for (;;) {
		const char *end;
		ssize_t got;

		(*buffer)[used] = '\0';
		end = strstr(*buffer, "\r\n\r\n");
		if (end) {
			size_t head = (size_t)(end - *buffer) + 4;

			*body_len = 0;
			if (header_value(*buffer, "\r\ncontent-length:", text,
					 sizeof(text)))
				*body_len = strtoull(text, NULL, 10);
			if (used >= head + *body_len)
				return head;
		}
		if (used == size) {
			size *= 2;
			*buffer = realloc(*buffer, size + 1);
		}
		got = recv(fd, *buffer + used, size - used, 0);
		if (got <= 0)
			return 0;
		used += (size_t)got;
	}
}

static bool bytes_send(int fd, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t sent = send(fd, bytes, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		len -= (size_t)sent;
	}
	return true;
}

static bool answer_send(int fd, const struct answer *answer)
{
	char *body = answer->body ? json_dumps(answer->body, JSON_COMPACT)
				  : strdup("");
	char *text = NULL;
	int len = asprintf(&text,
			   "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			   "Content-Length: %zu\r\n\r\n%s",
			   answer->status, strlen(body), body);
	bool sent = len > 0 && bytes_send(fd, text, (size_t)len);

	free(text);
	free(body);
	return sent;
}

static bool request_serve(struct connection *connection)
{
	struct server *server = connection->server;
	struct request request = { 0 };
	struct answer answer;
	char *buffer = NULL;
	size_t head = message_read(connection->fd, &buffer, &request.body_len);
	bool sent = false;

	if (head > 0 &&
	    sscanf(buffer, "%15s %2047s", request.method, request.path) == 2) {
		header_value(buffer,
			     "x-sassafrascart-expect-instance:", request.expect,
			     sizeof(request.expect));
		request.body = buffer + head;
		if (!server->worker)
			usleep(STORE_MS * 1000);
		world_lock();
		if (server->worker && server->worker->silent) {
			world_unlock();
			free(buffer);
			return true;
		}
		answer = server->serve(server, &request);
		world_unlock();
		sent = answer_send(connection->fd, &answer);
		json_decref(answer.body);
	}
	free(buffer);
	return sent;
}

static void connection_replace(struct connection *from, struct connection *to)
{
	for (size_t i = 0; i < WORKER_CONNECTIONS_MAX; i++) {
		if (worker_connections[i] == from) {
			worker_connections[i] = to;
			return;
		}
	}
}

static void *connection_run(void *data)
{
	struct connection *connection = data;

	if (connection->server->worker) {
		world_lock();
		connection_replace(NULL, connection);
		world_unlock();
	}
	while (request_serve(connection))
		;
	world_lock();
	connection_replace(connection, NULL);
	close(connection->fd);
	world_unlock();
	free(connection);
	return NULL;
}

static void thread_start(void *(*run)(void *), void *data)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, run, data) != 0)
		exit(2);
	pthread_attr_destroy(&attr);
}

static void *server_run(void *data)
{
	struct server *server = data;

	for (;;) {
		struct connection *connection;
		int fd = accept(server->fd, NULL, NULL);

		if (fd < 0) {
			close(server->fd);
			server->fd = -1;
			return NULL;
		}
		connection = malloc(sizeof(*connection));
		*connection = (struct connection){ server, fd };
		thread_start(connection_run, connection);
	}
}

static void worker_announce(struct worker *worker)
{
	char *text = NULL;
	char key[64];

	worker->seq++;
	worker->beat_ms = now_ms();
	if (asprintf(&text,
		     "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":"
		     "\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
		     "\"cold_ms\":0,\"capacity\":{\"cpu\":%lld,\"mem_mb\":"
		     "65536,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
		     "\"machine\":\"%s\",\"born\":%llu,\"clock_ms\":%llu,"
		     "\"seq\":%llu}",
		     worker->service, worker->ip, worker->port,
		     worker->draining ? "draining" : "ready",
		     (long long)worker->cpu, worker->machine,
		     (unsigned long long)worker->born_unix_ms,
		     (unsigned long long)worker_clock_ms(worker),
		     (unsigned long long)worker->seq) < 0)
		exit(2);
	snprintf(key, sizeof(key), "servers/%s", worker->id);
	text_put(key, text);
	free(text);
}

static int socket_bind(const char *ip, uint16_t *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(*port) };
	socklen_t len = sizeof(address);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, len) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0) {
		fprintf(stderr, "cannot bind %s: %s\n", ip, strerror(errno));
		exit(2);
	}
	*port = ntohs(address.sin_port);
	return fd;
}

static uint16_t server_start(const char *ip,
			     struct answer (*serve)(struct server *server,
						    struct request *request),
			     struct worker *worker, size_t node)
{
	struct server *server = calloc(1, sizeof(*server));
	uint16_t port = 0;

	server->serve = serve;
	server->worker = worker;
	server->node = node;
	server->fd = socket_bind(ip, &port);
	if (listen(server->fd, 128) != 0)
		exit(2);
	if (worker)
		worker->server = server;
	thread_start(server_run, server);
	return port;
}

void worker_down(struct worker *worker)
{
	struct server *server = worker->server;

	world_lock();
	record("disruption: worker %s crashes, tasks on it %zu", worker->id,
	       worker->run_count);
	for (size_t i = 0; i < worker->run_count; i++)
		record("worker %s: task %s run %u is lost in the crash",
		       worker->id, worker->runs[i].task, worker->runs[i].run);
	worker->down = true;
	worker->run_count = 0;
	json_array_clear(worker->ended);
	shutdown(server->fd, SHUT_RDWR);
	for (size_t i = 0; i < WORKER_CONNECTIONS_MAX; i++) {
		if (worker_connections[i] &&
		    worker_connections[i]->server->worker == worker)
			shutdown(worker_connections[i]->fd, SHUT_RDWR);
	}
	world_unlock();
	while (server->fd >= 0)
		usleep(1000);
}

void worker_up(struct worker *worker)
{
	struct server *server = worker->server;

	server->fd = socket_bind(worker->ip, &worker->port);
	if (listen(server->fd, 128) != 0)
		exit(2);
	world_lock();
	worker->down = false;
	worker->born_ms = now_ms();
	worker->born_unix_ms = clock_ms(CLOCK_REALTIME) + worker->ahead_ms;
	worker->end_number = 0;
	worker->fence = 0;
	worker->until_ms = 0;
	worker->seq = 0;
	worker_announce(worker);
	record("worker %s has started again, born %llu", worker->id,
	       (unsigned long long)worker->born_unix_ms);
	world_unlock();
	thread_start(server_run, server);
}

static void ip_of(uint32_t number, char *out, size_t size)
{
	snprintf(out, size, "127.%u.%u.%u", 64 + net / 256 % 64, net % 256,
		 number);
}

static int connect_to(const char *ip, uint16_t port, uint32_t timeout_ms)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	struct timeval wait = { timeout_ms / 1000,
				(suseconds_t)(timeout_ms % 1000) * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static struct answer http_call(const char *ip, uint16_t port,
			       const char *method, const char *host,
			       const char *path, const char *body,
			       uint32_t deadline_ms)
{
	struct answer answer = { 0 };
	int fd = connect_to(ip, port, deadline_ms);
	char *buffer = NULL;
	char *text = NULL;
	size_t body_len = 0;
	size_t head;
	int len;

	if (fd < 0)
		return answer;
	len = asprintf(&text,
		       "%s %s HTTP/1.1\r\nHost: %s\r\n"
		       "Content-Type: application/json\r\n"
		       "X-Sassafrascart-Deadline-Ms: %u\r\n"
		       "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		       method, path, host, deadline_ms, strlen(body), body);
	if (len > 0 && bytes_send(fd, text, (size_t)len)) {
		head = message_read(fd, &buffer, &body_len);
		if (head > 0 &&
		    sscanf(buffer, "HTTP/1.1 %d", &answer.status) == 1)
			answer.body =
				json_loadb(buffer + head, body_len, 0, NULL);
	}
	free(buffer);
	free(text);
	close(fd);
	return answer;
}

struct answer node_call(size_t node, const char *method, const char *host,
			const char *path, const char *body,
			uint32_t deadline_ms)
{
	struct answer answer;
	char *text;
	char ip[32];

	ip_of((uint32_t)(10 + node), ip, sizeof(ip));
	answer = http_call(ip, front_port, method, host, path, body ? body : "",
			   deadline_ms);
	text = answer.body ? json_dumps(answer.body, JSON_COMPACT) : strdup("");
	record("client at node %zu: %s %s %s -> %d %s", node + 1, method, path,
	       body ? body : "", answer.status, text);
	free(text);
	return answer;
}

bool job_submit(size_t node, const char *path, int count, int cpu,
		uint32_t work_ms)
{
	struct answer answer;
	char body[256];

	snprintf(body, sizeof(body),
		 "{\"spec\":\"%d %u 0\",\"steps\":[{\"count\":%d,"
		 "\"cpu\":%d,\"mem_mb\":100,\"estimate_ms\":%u%s}]}",
		 cpu, work_ms, count, cpu, work_ms ? work_ms : 500,
		 work_ms ? "" : ",\"daemon\":true");
	answer = node_call(node, "POST", HOST, path, body, 3000);
	json_decref(answer.body);
	return answer.status / 100 == 2;
}

size_t job_running(const char *id)
{
	size_t count = 0;

	world_lock();
	for (size_t i = 0; i < worker_count; i++) {
		for (size_t j = 0; j < workers[i].run_count; j++)
			count += strncmp(workers[i].runs[j].task, id,
					 strlen(id)) == 0;
	}
	world_unlock();
	return count;
}

size_t job_starts(const char *id)
{
	size_t count = 0;

	world_lock();
	for (size_t i = 0; i < start_count; i++)
		count += strncmp(starts[i].task, id, strlen(id)) == 0;
	world_unlock();
	return count;
}

/* The platform */

struct worker *worker_add(const char *service, int64_t cpu)
{
	struct worker *worker = &workers[worker_count];
	uint32_t number = (uint32_t)worker_count++;

	snprintf(worker->id, sizeof(worker->id), "i-%08x", 0x7f3a9100 + number);
	snprintf(worker->machine, sizeof(worker->machine), "m-%05x",
		 0x0a3f1 + number);
	snprintf(worker->service, sizeof(worker->service), "%s", service);
	ip_of(100 + number, worker->ip, sizeof(worker->ip));
	worker->cpu = cpu;
	worker->born_ms = now_ms();
	worker->born_unix_ms = clock_ms(CLOCK_REALTIME);
	worker->ended = json_array();
	worker->port = server_start(worker->ip, worker_serve, worker, 0);
	world_lock();
	worker_announce(worker);
	world_unlock();
	return worker;
}

void config_write(uint64_t version, const char *const *services,
		  const char *const *routes)
{
	json_t *list = json_array();
	json_t *rows = json_array();
	json_t *config;
	char *text;

	for (; *services; services++)
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:i, s:s, s:b}", "name",
					*services, "health_path", "/healthz",
					"max_conns", 64, "protocol", "h1",
					"enforces_capacity", 1));
	for (; routes[0]; routes += 2)
		json_array_append_new(
			rows,
			json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, "
				  "s:i, s:f}",
				  "name", routes[0], "host", HOST, "prefix",
				  routes[0], "type", "unsafe", "timeout_ms",
				  3000, "slo_ms", 600, "priority", 0, "service",
				  routes[1], "attempts", 3, "stretch", 1.6));
	config = json_pack("{s:I, s:o, s:o, s:{s:i, s:i}}", "version",
			   (json_int_t)version, "routes", rows, "services",
			   list, "limits", "max_body_bytes", 262144,
			   "idle_timeout_ms", 60000);
	text = json_dumps(config, JSON_COMPACT);
	world_lock();
	text_put("op/config", text);
	world_unlock();
	record("operator: config version %llu is stored",
	       (unsigned long long)version);
	free(text);
	json_decref(config);
}

/* An entry is removed after three ping intervals of silence. */
static void entry_expire(const struct worker *worker)
{
	char key[64];

	if (!worker->down || now_ms() < worker->beat_ms + 3 * HEARTBEAT_MS)
		return;
	snprintf(key, sizeof(key), "servers/%.31s", worker->id);
	if (!item_find(key))
		return;
	revision++;
	item_delete(key);
	record("store: the entry of worker %s is removed", worker->id);
}

static void *platform_run(void *data)
{
	uint64_t beat_ms = 0;

	(void)data;
	while (!closing) {
		usleep(10000);
		world_lock();
		for (size_t i = lease_count; i-- > 0;) {
			if (now_ms() >= leases[i].ends_ms)
				lease_end(&leases[i]);
		}
		for (size_t i = 0; i < worker_count; i++)
			worker_tick(&workers[i]);
		for (size_t i = 0; i < worker_count; i++)
			entry_expire(&workers[i]);
		if (now_ms() >= beat_ms) {
			beat_ms = now_ms() + HEARTBEAT_MS;
			for (size_t i = 0; i < worker_count; i++) {
				if (!workers[i].down)
					worker_announce(&workers[i]);
			}
		}
		world_unlock();
	}
	return NULL;
}

void world_open(const char *program, const char *folder)
{
	uint16_t *const ports[] = { &front_port, &ready_port, &control_port,
				    &peer_port, &metrics_port };
	int fds[sizeof(ports) / sizeof(ports[0])];
	char path[512];
	char ip[32];

	node_program = program;
	opened_ms = clock_ms(CLOCK_MONOTONIC);
	net = (uint32_t)getpid();
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	snprintf(tmp_folder, sizeof(tmp_folder), "/tmp/review-3-XXXXXX");
	if (!record_file || !mkdtemp(tmp_folder))
		exit(2);
	ip_of(7, ip, sizeof(ip));
	for (size_t i = 0; i < NODES; i++)
		store_ports[i] = server_start(ip, store_serve, NULL, i);
	cloud_port = server_start(ip, cloud_serve, NULL, 0);
	ip_of(10, ip, sizeof(ip));
	for (size_t i = 0; i < sizeof(ports) / sizeof(ports[0]); i++)
		fds[i] = socket_bind(ip, ports[i]);
	for (size_t i = 0; i < sizeof(ports) / sizeof(ports[0]); i++)
		close(fds[i]);
	thread_start(platform_run, NULL);
}

static void node_file_write(size_t node, const char *path)
{
	FILE *file = fopen(path, "w");
	char platform[32];
	char ip[32];

	if (!file)
		exit(2);
	ip_of((uint32_t)(10 + node), ip, sizeof(ip));
	ip_of(7, platform, sizeof(platform));
	fprintf(file,
		"node=edge-z1-%zu\nrole=entry\nclass=edge\nserves=edge\n"
		"ip=%s\nzone=z1\nregion=r\nzones.z1=r\nlisten.front=%s:%u\n"
		"listen.ready=%s:%u\nlisten.control=%s:%u\n"
		"port_range=%u,%u\nseeds=\nbootstrap=true\n",
		node + 1, ip, ip, front_port, ip, ready_port, ip, control_port,
		peer_port, peer_port);
	fprintf(file, "limits.cpu_share=0.25\nlimits.cores=1\n"
		      "limits.memory_mb=260\nlimits.max_fds=4100\n"
		      "limits.link_mbps=1000.0\nlimits.disk_mb=0\n"
		      "discovery=platform\nentry=vip\nheartbeat_ms=1500\n"
		      "bounds.stable_ms=3000\nbounds.ack_ms=4000\n"
		      "bounds.drain_ms=2000\nbounds.grace_s=6\n"
		      "bounds.config_apply_ms=2000\nbounds.max_hold_ms=10000\n"
		      "bounds.stop_timeout_ms=900\n"
		      "bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
		      "bounds.visible_ms=3000\nbounds.early_ms=250\n"
		      "bounds.finish_s=14\nbounds.status_s=120\n"
		      "bounds.move_s=1.5\nbounds.upkeep_s=2\n"
		      "bounds.require_fence=false\nbounds.lease_ms=3000\n"
		      "bounds.pace_ms=100\nbounds.harm_ms=4000\n"
		      "orders=invoke\nplatform.form=kv\n"
		      "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
		      "platform.history_s=20\nplatform.value_bytes=1048576\n"
		      "platform.ttl_min_ms=1000\n");
	fprintf(file,
		"platform.address=%s:%u\ncloud.address=%s:%u\n"
		"cloud.rate_per_s=64.0\ncloud.duties=\n"
		"cloud.duty_per_s=64.0\n",
		platform, store_ports[node], platform, cloud_port);
	fclose(file);
}

void node_start(size_t node)
{
	char settings[320];
	char output[320];
	char port[16];
	pid_t pid;

	snprintf(settings, sizeof(settings), "%s/node-%zu.conf", tmp_folder,
		 node + 1);
	snprintf(output, sizeof(output), "%s/node-%zu.log", tmp_folder,
		 node + 1);
	snprintf(port, sizeof(port), "%u", metrics_port);
	node_file_write(node, settings);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(output, "a", stdout) ||
		    !freopen(output, "a", stderr))
			_exit(2);
		setenv("SASSAFRASCART_NODE_FILE", settings, 1);
		setenv("SASSAFRASCART_METRICS_PORT", port, 1);
		execl(node_program, node_program, (char *)NULL);
		_exit(2);
	}
	node_pids[node] = pid;
	record("platform: node %zu is started", node + 1);
}

size_t node_last_writer(void)
{
	size_t node;

	world_lock();
	node = last_writer;
	world_unlock();
	return node;
}

void node_kill(size_t node)
{
	record("disruption: node %zu is killed", node + 1);
	kill(node_pids[node], SIGKILL);
	waitpid(node_pids[node], NULL, 0);
	node_pids[node] = 0;
}

void nodes_start(void)
{
	for (size_t i = 0; i < NODES; i++)
		node_start(i);
}

bool nodes_wait(uint64_t timeout_ms)
{
	uint64_t until = now_ms() + timeout_ms;
	size_t ready = 0;

	while (ready < NODES && now_ms() < until) {
		ready = 0;
		usleep(100000);
		for (size_t i = 0; i < NODES; i++) {
			struct answer answer;
			char ip[32];

			ip_of((uint32_t)(10 + i), ip, sizeof(ip));
			answer = http_call(ip, ready_port, "GET", "ready",
					   "/-/readyz", "", 1000);
			ready += answer.status == 200;
			json_decref(answer.body);
		}
	}
	return ready == NODES;
}

void world_close(void)
{
	char command[320];

	closing = true;
	for (size_t i = 0; i < NODES; i++) {
		if (node_pids[i] <= 0)
			continue;
		kill(node_pids[i], SIGKILL);
		waitpid(node_pids[i], NULL, 0);
	}
	if (getenv("KEEP_LOGS")) {
		printf("logs are in %s\n", tmp_folder);
		return;
	}
	for (size_t i = 0; i < NODES; i++) {
		snprintf(command, sizeof(command), "%s/node-%zu.conf",
			 tmp_folder, i + 1);
		unlink(command);
		snprintf(command, sizeof(command), "%s/node-%zu.log",
			 tmp_folder, i + 1);
		unlink(command);
	}
	rmdir(tmp_folder);
}
