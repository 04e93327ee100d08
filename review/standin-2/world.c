/*
 * Stand-in for the platform of a small deployment: its store, its list of
 * machines and its workers, in one process on loopback addresses. A case
 * links this file with a scenario, which runs in a thread of its own.
 */
#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define CONNS_MAX 1024
#define KEYS_MAX 4096
#define LEASES_MAX 256
#define EVENTS_MAX 65536
#define RUNS_MAX 512
#define ENDS_MAX 1024
#define FDS_MAX (CONNS_MAX + WORLD_WORKERS_MAX + WORLD_PROCESSES_MAX + 1)
#define BODY_MAX (4 * 1024 * 1024)
#define NOTED_MAX 1024
#define STOP_MS 50
#define HEARTBEAT_MS 1500

enum role {
	ROLE_STORE,
	ROLE_CLOUD,
	ROLE_WORKER
};

struct key {
	char *name;
	char *value;
	int64_t revision;
	int64_t created;
	int64_t lease;
};

struct event {
	char *name;
	char *value;
	int64_t revision;
	int64_t created;
	int64_t lease;
	bool deleted;
};

struct lease {
	int64_t id;
	uint32_t ttl_ms;
	uint64_t until_ms;
	/* index of the process that it was granted to */
	int process;
};

struct run {
	char task[80];
	uint32_t run;
	uint64_t ends_ms;
	uint64_t stops_ms;
	char how[12];
	uint32_t cpu;
	bool lasts;
};

struct end {
	uint64_t number;
	char task[80];
	uint32_t run;
	char how[12];
};

/* Highest run that a worker has stopped or ended for a work item. */
struct past {
	char task[80];
	uint32_t run;
};

struct worker {
	char id[24];
	char machine[24];
	char rack[16];
	char pool[24];
	uint32_t cpu;
	uint16_t port;
	int listener;
	bool dark;
	/* the connection of the next start goes silent once it has arrived */
	bool silences;
	uint64_t restart_ms;
	uint64_t entry_ms;
	uint64_t born_ms;
	uint64_t clock_zero_ms;
	uint64_t lease_until;
	uint64_t fence;
	uint64_t ends_count;
	uint32_t seq;
	struct run runs[RUNS_MAX];
	size_t run_count;
	struct end ends[ENDS_MAX];
	size_t end_count;
	struct past past[RUNS_MAX * 4];
	size_t past_count;
};

struct conn {
	int fd;
	enum role role;
	/* index of the worker, or for the store of the process that calls */
	int worker;
	/* of a worker's earlier lifetime: what arrives is answered by a reset
	 */
	bool stale;
	char *in;
	size_t in_len;
	/* a request that waits: a watch, or a look at a worker */
	bool waits;
	/* a request to the store that a slow store has not served yet */
	bool held;
	bool held_enough;
	/* nothing arrives on it any more, either way */
	bool silent;
	uint64_t wait_until_ms;
	char *wait_prefix;
	int64_t wait_after;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct key keys[KEYS_MAX];
static size_t key_count;
static struct event events[EVENTS_MAX];
static size_t event_count;
static struct lease leases[LEASES_MAX];
static size_t lease_count;
static int64_t revision = 1;
static int64_t next_lease = 1000;
static struct worker workers[WORLD_WORKERS_MAX];
static size_t worker_count;
static struct conn conns[CONNS_MAX];
static size_t conn_count;
static int store_listeners[WORLD_PROCESSES_MAX];
static uint16_t store_ports[WORLD_PROCESSES_MAX];
static bool store_refuses[WORLD_PROCESSES_MAX];
static size_t process_count;
static int cloud_listener;
static uint16_t cloud_port;
static uint32_t store_slow_ms;
static char noted[NOTED_MAX][80];
static size_t noted_count;
static uint32_t twice_count;
static FILE *record_file;
static uint64_t zero_ms;

uint64_t world_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static uint64_t unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void world_record_line(const char *text)
{
	fprintf(record_file, "%8.3f s  %s\n",
		(double)(world_now_ms() - zero_ms) / 1000, text);
	fflush(record_file);
}

void world_pause(uint32_t ms)
{
	struct timespec pause = { ms / 1000, (long)(ms % 1000) * 1000000 };

	while (nanosleep(&pause, &pause) != 0 && errno == EINTR)
		;
}

static int listen_at(uint16_t *port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(*port) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &len) != 0)
		exit(2);
	*port = ntohs(addr.sin_port);
	return fd;
}

static int listen_any(uint16_t *port)
{
	*port = 0;
	return listen_at(port);
}

uint16_t world_free_port(void)
{
	uint16_t port;

	close(listen_any(&port));
	return port;
}

/* base64 */

static const char base64_digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *base64_encode(const char *text)
{
	size_t len = strlen(text);
	char *out = malloc(len * 4 / 3 + 8);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(uint8_t)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(uint8_t)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (uint8_t)text[i + 2];
		at[0] = base64_digits[bits >> 18 & 63];
		at[1] = base64_digits[bits >> 12 & 63];
		at[2] = base64_digits[bits >> 6 & 63];
		at[3] = base64_digits[bits & 63];
		if (i + 2 >= len)
			at[3] = '=';
		if (i + 1 >= len)
			at[2] = '=';
		at += 4;
	}
	*at = '\0';
	return out;
}

static char *base64_decode(const char *text)
{
	char *out = malloc(strlen(text) + 1);
	char *at = out;
	uint32_t bits = 0;
	int count = 0;

	for (; *text && *text != '='; text++) {
		const char *digit = strchr(base64_digits, *text);

		if (!digit)
			continue;
		bits = bits << 6 | (uint32_t)(digit - base64_digits);
		if (++count % 4 == 0) {
			*at++ = (char)(bits >> 16);
			*at++ = (char)(bits >> 8);
			*at++ = (char)bits;
			bits = 0;
		}
	}
	if (count % 4 == 2)
		*at++ = (char)(bits >> 4);
	if (count % 4 == 3) {
		*at++ = (char)(bits >> 10);
		*at++ = (char)(bits >> 2);
	}
	*at = '\0';
	return out;
}

/* Store */

static struct key *key_find(const char *name)
{
	for (size_t i = 0; i < key_count; i++) {
		if (strcmp(keys[i].name, name) == 0)
			return &keys[i];
	}
	return NULL;
}

static void event_add(const struct key *key, bool deleted)
{
	if (event_count == EVENTS_MAX)
		exit(2);
	events[event_count++] = (struct event){
		strdup(key->name),
		strdup(key->value),
		deleted ? revision : key->revision,
		key->created,
		key->lease,
		deleted,
	};
}

/* Keys are kept sorted by name. */
static void key_put(const char *name, const char *value, int64_t lease)
{
	struct key *key = key_find(name);
	size_t at = 0;

	if (!key) {
		if (key_count == KEYS_MAX)
			exit(2);
		while (at < key_count && strcmp(keys[at].name, name) < 0)
			at++;
		memmove(&keys[at + 1], &keys[at],
			(key_count - at) * sizeof(keys[0]));
		key_count++;
		key = &keys[at];
		*key = (struct key){ .name = strdup(name),
				     .created = revision };
	}
	free(key->value);
	key->value = strdup(value);
	key->revision = revision;
	key->lease = lease;
	event_add(key, false);
}

static void key_delete(const char *name)
{
	struct key *key = key_find(name);

	if (!key)
		return;
	event_add(key, true);
	free(key->name);
	free(key->value);
	memmove(key, key + 1,
		(size_t)(&keys[key_count] - (key + 1)) * sizeof(keys[0]));
	key_count--;
}

static void operator_put(const char *name, const char *value)
{
	revision++;
	key_put(name, value, 0);
}

void world_operator_write(const char *name, const char *value)
{
	pthread_mutex_lock(&lock);
	operator_put(name, value);
	pthread_mutex_unlock(&lock);
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
	revision++;
	for (size_t i = key_count; i-- > 0;) {
		if (keys[i].lease == id)
			key_delete(keys[i].name);
	}
}

static json_t *key_json(const struct key *key)
{
	char *value = base64_encode(key->value);
	json_t *out = json_pack(
		"{s:s,s:s,s:I,s:I,s:I}", "key", key->name, "value", value,
		"revision", (json_int_t)key->revision, "created_rev",
		(json_int_t)key->created, "lease", (json_int_t)key->lease);

	free(value);
	return out;
}

static json_t *event_json(const struct event *event)
{
	char *value;
	json_t *out;

	if (event->deleted)
		return json_pack("{s:s,s:I,s:b}", "key", event->name,
				 "revision", (json_int_t)event->revision,
				 "deleted", 1);
	value = base64_encode(event->value);
	out = json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", event->name, "value",
			value, "revision", (json_int_t)event->revision,
			"created_rev", (json_int_t)event->created, "lease",
			(json_int_t)event->lease);
	free(value);
	return out;
}

/* HTTP */

static void conn_close(struct conn *conn)
{
	close(conn->fd);
	free(conn->in);
	free(conn->wait_prefix);
	*conn = (struct conn){ .fd = -1 };
}

/* Ends a connection with a reset, as a machine does that does not know it. */
static void conn_reset(struct conn *conn)
{
	struct linger linger = { 1, 0 };

	setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	conn_close(conn);
}

static void respond(struct conn *conn, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	char *out = NULL;
	int size = asprintf(&out,
			    "HTTP/1.1 %d X\r\n"
			    "content-type: application/json\r\n"
			    "content-length: %zu\r\n\r\n%s",
			    status, strlen(text), text);

	for (int done = 0; done < size;) {
		ssize_t n = send(conn->fd, out + done, (size_t)(size - done),
				 MSG_NOSIGNAL);

		if (n <= 0)
			break;
		done += (int)n;
	}
	free(out);
	free(text);
	json_decref(body);
}

static char *query_get(const char *path, const char *name)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);
	char *out;
	char *to;

	while (at) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=')
			break;
		at = strchr(at, '&');
	}
	if (!at)
		return NULL;
	at += len + 1;
	to = out = malloc(strlen(at) + 1);
	while (*at && *at != '&') {
		if (*at == '%' && isxdigit((unsigned char)at[1]) &&
		    isxdigit((unsigned char)at[2])) {
			char hex[3] = { at[1], at[2], 0 };

			*to++ = (char)strtol(hex, NULL, 16);
			at += 3;
		} else {
			*to++ = *at++;
		}
	}
	*to = '\0';
	return out;
}

static void range_serve(struct conn *conn, const char *path)
{
	char *prefix = query_get(path, "prefix");
	char *after = query_get(path, "after");
	json_t *items = json_array();
	bool more = false;

	for (size_t i = 0; prefix && i < key_count; i++) {
		if (strncmp(keys[i].name, prefix, strlen(prefix)) != 0 ||
		    (after && strcmp(keys[i].name, after) <= 0))
			continue;
		if (json_array_size(items) == 500) {
			more = true;
			break;
		}
		json_array_append_new(items, key_json(&keys[i]));
	}
	respond(conn, 200,
		json_pack("{s:o,s:b,s:I}", "items", items, "has_more", more,
			  "store_revision", (json_int_t)revision));
	free(prefix);
	free(after);
}

/* Answers a watch if there are events or its time is over. */
static bool watch_try(struct conn *conn, uint64_t now_ms)
{
	json_t *list = json_array();

	for (size_t i = 0; i < event_count; i++) {
		if (events[i].revision > conn->wait_after &&
		    strncmp(events[i].name, conn->wait_prefix,
			    strlen(conn->wait_prefix)) == 0)
			json_array_append_new(list, event_json(&events[i]));
	}
	if (json_array_size(list) == 0 && now_ms < conn->wait_until_ms) {
		json_decref(list);
		return false;
	}
	respond(conn, 200,
		json_pack("{s:o,s:I}", "events", list, "store_revision",
			  (json_int_t)revision));
	return true;
}

static void txn_serve(struct conn *conn, const json_t *body)
{
	json_t *states = json_array();
	bool holds = true;
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(body, "expected_rev"), i, item)
	{
		const char *name =
			json_string_value(json_object_get(item, "key"));
		json_int_t wanted =
			json_integer_value(json_object_get(item, "revision"));
		struct key *key = key_find(name);

		holds &= wanted == (key ? key->revision : 0);
		if (key)
			json_array_append_new(states, key_json(key));
	}
	if (!holds) {
		respond(conn, 412, json_pack("{s:o}", "items", states));
		return;
	}
	json_decref(states);
	json_array_foreach(json_object_get(body, "puts"), i, item)
	{
		json_int_t lease =
			json_integer_value(json_object_get(item, "lease"));

		if (lease != 0 && !lease_find(lease)) {
			respond(conn, 404, NULL);
			return;
		}
	}
	revision++;
	json_array_foreach(json_object_get(body, "puts"), i, item)
	{
		char *value = base64_decode(
			json_string_value(json_object_get(item, "value")));

		key_put(json_string_value(json_object_get(item, "key")), value,
			json_integer_value(json_object_get(item, "lease")));
		free(value);
	}
	json_array_foreach(json_object_get(body, "deletes"), i, item)
		key_delete(json_string_value(item));
	respond(conn, 200,
		json_pack("{s:I}", "revision", (json_int_t)revision));
}

static void lease_serve(struct conn *conn, const json_t *body)
{
	uint32_t ttl_ms =
		(uint32_t)json_integer_value(json_object_get(body, "ttl_ms"));

	if (lease_count == LEASES_MAX)
		exit(2);
	leases[lease_count++] = (struct lease){
		.id = ++next_lease,
		.ttl_ms = ttl_ms,
		.until_ms = world_now_ms() + ttl_ms,
		.process = conn->worker,
	};
	respond(conn, 200,
		json_pack("{s:I,s:i}", "lease", (json_int_t)next_lease,
			  "ttl_ms", (int)ttl_ms));
}

static void keep_serve(struct conn *conn, int64_t id)
{
	struct lease *lease = lease_find(id);

	if (!lease) {
		respond(conn, 404, NULL);
		return;
	}
	lease->until_ms = world_now_ms() + lease->ttl_ms;
	respond(conn, 200, json_pack("{s:i}", "ttl_ms", (int)lease->ttl_ms));
}

static void store_serve(struct conn *conn, const char *path, const json_t *body)
{
	if (store_refuses[conn->worker]) {
		respond(conn, 503, NULL);
	} else if (strncmp(path, "/-/kv-key?", 10) == 0) {
		char *name = query_get(path, "key");
		struct key *key = key_find(name ? name : "");
		json_t *out = key ? key_json(key) : json_object();

		json_object_set_new(out, "store_revision",
				    json_integer(revision));
		respond(conn, key ? 200 : 404, out);
		free(name);
	} else if (strncmp(path, "/-/kv-range?", 12) == 0) {
		range_serve(conn, path);
	} else if (strncmp(path, "/-/kv-watch?", 12) == 0) {
		char *after = query_get(path, "after");
		char *wait = query_get(path, "wait_ms");

		conn->wait_prefix = query_get(path, "prefix");
		conn->wait_after = after ? atoll(after) : 0;
		conn->wait_until_ms =
			world_now_ms() + (wait ? strtoul(wait, NULL, 10) : 0);
		free(after);
		free(wait);
		if (watch_try(conn, world_now_ms())) {
			free(conn->wait_prefix);
			conn->wait_prefix = NULL;
		} else {
			conn->waits = true;
		}
	} else if (strcmp(path, "/-/kv-txn") == 0) {
		txn_serve(conn, body);
	} else if (strcmp(path, "/-/kv-lease") == 0) {
		lease_serve(conn, body);
	} else if (strncmp(path, "/-/kv-keep/", 11) == 0) {
		keep_serve(conn, atoll(path + 11));
	} else if (strncmp(path, "/-/kv-lease-end/", 16) == 0) {
		struct lease *lease = lease_find(atoll(path + 16));

		if (lease)
			lease_end(lease);
		respond(conn, lease ? 200 : 404, NULL);
	} else {
		respond(conn, 404, NULL);
	}
}

/* Machines */

static void cloud_serve(struct conn *conn, const char *path)
{
	json_t *list = json_array();

	if (strncmp(path, "/-/machines", 11) != 0) {
		json_decref(list);
		respond(conn, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	for (size_t i = 0; i < worker_count; i++) {
		const struct worker *worker = &workers[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i},"
				  "s:s}",
				  "machine", worker->machine, "pool",
				  worker->pool, "state",
				  worker->dark ? "down" : "up", "zone", "z1",
				  "labels", "a", worker->rack, "capacity",
				  "cpu", (int)worker->cpu, "mem_mb", 65536,
				  "gpu", 0, "id", worker->id));
	}
	respond(conn, 200,
		json_pack("{s:o,s:n}", "machines", list, "next_token"));
}

/* Workers */

static uint64_t worker_clock(const struct worker *worker)
{
	return world_now_ms() - worker->clock_zero_ms;
}

static void entry_write(struct worker *worker)
{
	char name[64];
	char *text;
	json_t *entry = json_pack(
		"{s:s,s:o,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:s,"
		"s:I,s:I,s:i}",
		"service", worker->pool, "address",
		json_sprintf("127.0.0.1:%u", (unsigned int)worker->port),
		"zone", "z1", "version", "v1", "slots", 8, "state", "ready",
		"cold_ms", 0, "capacity", "cpu", (int)worker->cpu, "mem_mb",
		65536, "gpu", 0, "labels", "a", worker->rack, "machine",
		worker->machine, "clock_ms", (json_int_t)worker_clock(worker),
		"born", (json_int_t)worker->born_ms, "seq", (int)++worker->seq);

	snprintf(name, sizeof(name), "servers/%s", worker->id);
	text = json_dumps(entry, JSON_COMPACT);
	operator_put(name, text);
	free(text);
	json_decref(entry);
	worker->entry_ms = world_now_ms() + HEARTBEAT_MS;
}

static void lifetime_begin(struct worker *worker)
{
	worker->born_ms = unix_ms();
	/* The clock starts at one, since 0 may count as missing. */
	worker->clock_zero_ms = world_now_ms() - 1;
	worker->lease_until = 0;
	worker->fence = 0;
	worker->ends_count = 0;
	worker->seq = 0;
	worker->run_count = 0;
	worker->end_count = 0;
	worker->past_count = 0;
}

static void past_set(struct worker *worker, const char *task, uint32_t run)
{
	for (size_t i = 0; i < worker->past_count; i++) {
		if (strcmp(worker->past[i].task, task) == 0) {
			if (worker->past[i].run < run)
				worker->past[i].run = run;
			return;
		}
	}
	if (worker->past_count == RUNS_MAX * 4)
		exit(2);
	snprintf(worker->past[worker->past_count].task, 80, "%s", task);
	worker->past[worker->past_count++].run = run;
}

static uint32_t past_get(const struct worker *worker, const char *task)
{
	for (size_t i = 0; i < worker->past_count; i++) {
		if (strcmp(worker->past[i].task, task) == 0)
			return worker->past[i].run;
	}
	return 0;
}

static void run_end(struct worker *worker, size_t at, const char *how)
{
	struct run *run = &worker->runs[at];
	struct end *end = &worker->ends[worker->end_count++];

	if (worker->end_count == ENDS_MAX)
		exit(2);
	*end = (struct end){ .number = ++worker->ends_count, .run = run->run };
	memcpy(end->task, run->task, sizeof(end->task));
	snprintf(end->how, sizeof(end->how), "%s", how);
	past_set(worker, run->task, run->run);
	world_record("worker %s: work item %s run %u has ended: %s", worker->id,
		     run->task, run->run, how);
	*run = worker->runs[--worker->run_count];
}

static struct run *run_find(struct worker *worker, const char *task)
{
	for (size_t i = 0; i < worker->run_count; i++) {
		if (strcmp(worker->runs[i].task, task) == 0)
			return &worker->runs[i];
	}
	return NULL;
}

static json_t *lists_json(struct worker *worker)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (size_t i = 0; i < worker->run_count; i++) {
		const struct run *run = &worker->runs[i];

		json_array_append_new(running,
				      json_pack("[s,i,s,i,i]", run->task,
						(int)run->run, "", 100,
						(int)run->cpu));
	}
	for (size_t i = 0; i < worker->end_count && i < 500; i++) {
		const struct end *end = &worker->ends[i];

		json_array_append_new(ended, json_pack("[I,s,i,s,s]",
						       (json_int_t)end->number,
						       end->task, (int)end->run,
						       end->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)worker_clock(worker), "born",
			 (json_int_t)worker->born_ms, "running", running,
			 "ended", ended);
}

static void refuse(struct conn *conn, const struct worker *worker,
		   const char *reason)
{
	respond(conn, 409,
		json_pack("{s:I,s:s}", "clock_ms",
			  (json_int_t)worker_clock(worker), "reason", reason));
}

static void accept_order(struct conn *conn, const struct worker *worker)
{
	respond(conn, 200,
		json_pack("{s:I}", "clock_ms",
			  (json_int_t)worker_clock(worker)));
}

static void lease_raise(struct worker *worker, uint64_t until_ms)
{
	uint64_t most_ms = worker_clock(worker) + WORLD_MAX_HOLD_MS;

	if (until_ms > most_ms)
		until_ms = most_ms;
	if (until_ms > worker->lease_until)
		worker->lease_until = until_ms;
}

static uint32_t spec_number(const char *spec, const char *name)
{
	const char *at = spec ? strstr(spec, name) : NULL;

	return at ? (uint32_t)strtoul(at + strlen(name), NULL, 10) : 0;
}

/* Ends `done` that were acknowledged to the worker that listed them. */
static void done_note(const struct worker *worker, const struct end *end)
{
	if (strcmp(end->how, "done") != 0)
		return;
	world_record("worker %s: the end of work item %s run %u, done, is "
		     "acknowledged",
		     worker->id, end->task, end->run);
	if (noted_count < NOTED_MAX)
		memcpy(noted[noted_count++], end->task, sizeof(noted[0]));
}

static void start_check(const struct worker *worker, const char *task,
			uint32_t run)
{
	for (size_t i = 0; i < worker_count; i++) {
		const struct run *other = run_find(&workers[i], task);

		if (!other || &workers[i] == worker || workers[i].dark)
			continue;
		world_record("TWICE: work item %s run %u starts at worker %s "
			     "while run %u is at worker %s",
			     task, run, worker->id, other->run, workers[i].id);
		twice_count++;
	}
	for (size_t i = 0; i < noted_count; i++) {
		if (strcmp(noted[i], task) != 0)
			continue;
		world_record("TWICE: work item %s run %u starts after a run "
			     "has ended done and the end was acknowledged",
			     task, run);
		twice_count++;
		return;
	}
}

/* The spec says how a work item behaves: "ms=N cpu=N". */
static void start_serve(struct conn *conn, struct worker *worker,
			const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	uint32_t number =
		(uint32_t)json_integer_value(json_object_get(body, "run"));
	uint32_t cpu = spec_number(spec, "cpu=");
	uint32_t used = 0;
	struct run *run = run_find(worker, task);

	lease_raise(worker, (uint64_t)json_integer_value(
				    json_object_get(body, "until_ms")));
	if (run && run->run == number) {
		accept_order(conn, worker);
		return;
	}
	for (size_t i = 0; i < worker->run_count; i++)
		used += worker->runs[i].cpu;
	if (run || number <= past_get(worker, task)) {
		refuse(conn, worker, "old");
		return;
	}
	if (used + cpu > worker->cpu || worker->run_count == RUNS_MAX) {
		refuse(conn, worker, "room");
		return;
	}
	if (worker->lease_until <= worker_clock(worker)) {
		refuse(conn, worker, "late");
		return;
	}
	run = &worker->runs[worker->run_count++];
	*run = (struct run){ .run = number, .cpu = cpu };
	snprintf(run->task, sizeof(run->task), "%s", task);
	run->ends_ms = world_now_ms() + spec_number(spec, "ms=");
	world_record("worker %s: work item %s run %u starts%s", worker->id,
		     task, number,
		     worker->silences ? ", its channel goes silent" : "");
	start_check(worker, task, number);
	if (worker->silences)
		conn->silent = true;
	else
		accept_order(conn, worker);
	worker->silences = false;
}

static void stop_serve(struct conn *conn, struct worker *worker,
		       const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number =
		(uint32_t)json_integer_value(json_object_get(body, "run"));
	struct run *run = run_find(worker, task);

	world_record("worker %s: order to stop work item %s run %u", worker->id,
		     task, number);
	if (run && run->run == number && run->stops_ms == 0)
		run->stops_ms = world_now_ms() + STOP_MS;
	else if (!run)
		past_set(worker, task, number);
	accept_order(conn, worker);
}

static void hold_serve(struct conn *conn, struct worker *worker,
		       const json_t *body)
{
	uint64_t acked = (uint64_t)json_integer_value(
		json_object_get(body, "acked_upto"));
	json_int_t wait_ms =
		json_integer_value(json_object_get(body, "wait_ms"));
	size_t gone = 0;

	lease_raise(worker, (uint64_t)json_integer_value(
				    json_object_get(body, "until_ms")));
	while (gone < worker->end_count && worker->ends[gone].number <= acked)
		done_note(worker, &worker->ends[gone++]);
	memmove(worker->ends, worker->ends + gone,
		(worker->end_count - gone) * sizeof(worker->ends[0]));
	worker->end_count -= gone;
	if (worker->end_count > 0 || wait_ms <= 0) {
		respond(conn, 200, lists_json(worker));
		return;
	}
	conn->waits = true;
	conn->wait_until_ms =
		world_now_ms() + (uint64_t)(wait_ms > 2000 ? 2000 : wait_ms);
}

static void worker_serve(struct conn *conn, const char *path,
			 const char *instance, const json_t *body)
{
	struct worker *worker = &workers[conn->worker];
	uint64_t fence =
		(uint64_t)json_integer_value(json_object_get(body, "fence"));

	if (instance && strcmp(instance, worker->id) != 0) {
		respond(conn, 421, NULL);
		return;
	}
	if (strcmp(path, "/healthz") == 0) {
		respond(conn, 200, NULL);
		return;
	}
	if (fence < worker->fence) {
		refuse(conn, worker, "fence");
		return;
	}
	worker->fence = fence;
	if (strcmp(path, "/-/run-start") == 0)
		start_serve(conn, worker, body);
	else if (strcmp(path, "/-/run-stop") == 0)
		stop_serve(conn, worker, body);
	else if (strcmp(path, "/-/hold") == 0)
		hold_serve(conn, worker, body);
	else if (strcmp(path, "/-/pace") == 0)
		accept_order(conn, worker);
	else
		respond(conn, 404, NULL);
}

static void workers_advance(uint64_t now_ms)
{
	for (size_t i = 0; i < worker_count; i++) {
		struct worker *worker = &workers[i];

		if (worker->dark && now_ms >= worker->restart_ms) {
			worker->dark = false;
			if (worker->listener < 0)
				worker->listener = listen_at(&worker->port);
			lifetime_begin(worker);
			world_record("worker %s starts again under its id",
				     worker->id);
		}
		if (worker->dark)
			continue;
		for (size_t at = worker->run_count; at-- > 0;) {
			struct run *run = &worker->runs[at];

			if (run->stops_ms != 0 && now_ms >= run->stops_ms)
				run_end(worker, at, "stopped");
			else if (now_ms >= run->ends_ms)
				run_end(worker, at, "done");
			else if (worker_clock(worker) >= worker->lease_until)
				run_end(worker, at, "lapsed");
		}
		if (now_ms >= worker->entry_ms)
			entry_write(worker);
	}
}

/* Loop */

static void serve(struct conn *conn, char *head, const char *body, size_t len)
{
	char method[16] = "";
	char path[2048] = "";
	char instance[64] = "";
	json_t *json = len > 0 ? json_loadb(body, len, 0, NULL) : NULL;
	char *line;

	sscanf(head, "%15s %2047s", method, path);
	for (line = strstr(head, "\r\n"); line; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, "x-sassafrascart-expect-instance:", 32) ==
		    0)
			sscanf(line + 32, " %63[^\r]", instance);
	}
	if (conn->role == ROLE_STORE) {
		store_serve(conn, path, json);
	} else if (conn->role == ROLE_CLOUD) {
		cloud_serve(conn, path);
	} else {
		worker_serve(conn, path, instance[0] ? instance : NULL, json);
	}
	json_decref(json);
}

/* Serves the requests that have arrived whole, one at a time. */
static void conn_process(struct conn *conn)
{
	while (conn->fd >= 0 && !conn->waits && !conn->silent) {
		char *end =
			conn->in_len > 0 ? strstr(conn->in, "\r\n\r\n") : NULL;
		size_t len = 0;
		size_t head;
		char *at;

		if (!end)
			return;
		*end = '\0';
		head = (size_t)(end - conn->in) + 4;
		for (at = strstr(conn->in, "\r\n"); at;
		     at = strstr(at, "\r\n")) {
			at += 2;
			if (strncasecmp(at, "content-length:", 15) == 0)
				len = strtoul(at + 15, NULL, 10);
		}
		if (conn->in_len < head + len) {
			*end = '\r';
			return;
		}
		if (conn->role == ROLE_STORE && store_slow_ms > 0 &&
		    !conn->held_enough && !strstr(conn->in, "/-/kv-watch")) {
			*end = '\r';
			conn->waits = true;
			conn->held = true;
			conn->wait_until_ms = world_now_ms() + store_slow_ms;
			return;
		}
		conn->held_enough = false;
		serve(conn, conn->in, conn->in + head, len);
		if (conn->fd < 0)
			return;
		memmove(conn->in, conn->in + head + len,
			conn->in_len - head - len + 1);
		conn->in_len -= head + len;
	}
}

static void conn_read(struct conn *conn)
{
	ssize_t n;

	conn->in = realloc(conn->in, conn->in_len + 65537);
	n = recv(conn->fd, conn->in + conn->in_len, 65536, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || conn->in_len > BODY_MAX) {
		conn_close(conn);
		return;
	}
	conn->in_len += (size_t)n;
	conn->in[conn->in_len] = '\0';
	conn_process(conn);
}

static void conn_accept(int listener, enum role role, int worker)
{
	int one = 1;
	int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
	size_t at = 0;

	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	while (at < conn_count && conns[at].fd >= 0)
		at++;
	if (at == CONNS_MAX)
		exit(2);
	if (at == conn_count)
		conn_count++;
	conns[at] = (struct conn){ .fd = fd, .role = role, .worker = worker };
}

static void waits_check(uint64_t now_ms)
{
	for (size_t i = 0; i < conn_count; i++) {
		struct conn *conn = &conns[i];

		if (conn->fd < 0 || !conn->waits || conn->stale)
			continue;
		if (conn->held) {
			if (now_ms < conn->wait_until_ms)
				continue;
			conn->held = false;
			conn->held_enough = true;
		} else if (conn->role == ROLE_STORE) {
			if (!watch_try(conn, now_ms))
				continue;
			free(conn->wait_prefix);
			conn->wait_prefix = NULL;
		} else {
			struct worker *worker = &workers[conn->worker];

			if (worker->dark || (worker->end_count == 0 &&
					     now_ms < conn->wait_until_ms))
				continue;
			respond(conn, 200, lists_json(worker));
		}
		conn->waits = false;
		conn_process(conn);
	}
}

static bool conn_is_silent(const struct conn *conn)
{
	return conn->silent ||
	       (conn->role == ROLE_WORKER && workers[conn->worker].dark);
}

static void iteration(void)
{
	static struct pollfd fds[FDS_MAX];
	static struct {
		int conn;
		int worker;
	} what[FDS_MAX];
	size_t count = 0;
	uint64_t now_ms;

#define WATCH(descriptor, conn_index, worker_index)                            \
	do {                                                                   \
		fds[count] = (struct pollfd){ descriptor, POLLIN, 0 };         \
		what[count].conn = conn_index;                                 \
		what[count++].worker = worker_index;                           \
	} while (0)
	for (size_t i = 0; i < process_count; i++)
		WATCH(store_listeners[i], -1, WORLD_WORKERS_MAX + (int)i);
	WATCH(cloud_listener, -1, -2);
	for (size_t i = 0; i < worker_count; i++) {
		if (!workers[i].dark)
			WATCH(workers[i].listener, -1, (int)i);
	}
	for (size_t i = 0; i < conn_count; i++) {
		if (conns[i].fd >= 0 && !conn_is_silent(&conns[i]))
			WATCH(conns[i].fd, (int)i, -1);
	}
#undef WATCH
	pthread_mutex_unlock(&lock);
	poll(fds, count, 2);
	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < count; i++) {
		struct conn *conn;

		if (!fds[i].revents)
			continue;
		if (what[i].conn < 0) {
			if (what[i].worker >= WORLD_WORKERS_MAX)
				conn_accept(fds[i].fd, ROLE_STORE,
					    what[i].worker - WORLD_WORKERS_MAX);
			else if (what[i].worker == -2)
				conn_accept(fds[i].fd, ROLE_CLOUD, 0);
			else if (!workers[what[i].worker].dark)
				conn_accept(fds[i].fd, ROLE_WORKER,
					    what[i].worker);
			continue;
		}
		conn = &conns[what[i].conn];
		if (conn->fd != fds[i].fd || conn_is_silent(conn))
			continue;
		if (conn->stale) {
			world_record("worker %s resets a connection of its "
				     "earlier lifetime",
				     workers[conn->worker].id);
			conn_reset(conn);
		} else {
			conn_read(conn);
		}
	}
	now_ms = world_now_ms();
	workers_advance(now_ms);
	for (size_t i = lease_count; i-- > 0;) {
		if (now_ms >= leases[i].until_ms)
			lease_end(&leases[i]);
	}
	waits_check(now_ms);
}

static void *loop_run(void *unused)
{
	(void)unused;
	pthread_mutex_lock(&lock);
	for (;;)
		iteration();
	return NULL;
}

/* For scenarios */

void world_worker_crash(size_t index, uint32_t down_ms, uint32_t entry_ms)
{
	world_worker_crash_dark(index, down_ms, entry_ms);
	pthread_mutex_lock(&lock);
	close(workers[index].listener);
	workers[index].listener = -1;
	for (size_t i = 0; i < conn_count; i++) {
		if (conns[i].fd >= 0 && conns[i].stale &&
		    conns[i].worker == (int)index)
			conn_reset(&conns[i]);
	}
	pthread_mutex_unlock(&lock);
}

void world_worker_silence_next(size_t index)
{
	workers[index].silences = true;
}

void world_store_turn_away(const struct world_process *process, bool refuses)
{
	int index = (int)process->index;

	pthread_mutex_lock(&lock);
	store_refuses[index] = refuses;
	for (size_t i = 0; refuses && i < conn_count; i++) {
		if (conns[i].fd >= 0 && conns[i].role == ROLE_STORE &&
		    conns[i].worker == index && conns[i].waits)
			conn_reset(&conns[i]);
	}
	for (size_t i = lease_count; refuses && i-- > 0;) {
		if (leases[i].process == index)
			lease_end(&leases[i]);
	}
	world_record("the store %s %s",
		     refuses ? "turns away, and takes the keys of,"
			     : "serves again",
		     process->name);
	pthread_mutex_unlock(&lock);
}

uint32_t world_twice_count(void)
{
	return twice_count;
}

void world_worker_crash_dark(size_t index, uint32_t down_ms, uint32_t entry_ms)
{
	struct worker *worker = &workers[index];

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < conn_count; i++) {
		if (conns[i].fd >= 0 && conns[i].role == ROLE_WORKER &&
		    conns[i].worker == (int)index)
			conns[i].stale = true;
	}
	for (size_t i = 0; i < worker->run_count; i++)
		world_record("worker %s: work item %s run %u is gone",
			     worker->id, worker->runs[i].task,
			     worker->runs[i].run);
	worker->run_count = 0;
	worker->dark = true;
	worker->restart_ms = world_now_ms() + down_ms;
	worker->entry_ms = worker->restart_ms + entry_ms;
	world_record("worker %s of rack %s crashes and is down for %u ms",
		     worker->id, worker->rack, down_ms);
	pthread_mutex_unlock(&lock);
}

size_t world_worker_add(const char *pool, const char *rack, uint32_t cpu)
{
	struct worker *worker = &workers[worker_count];

	pthread_mutex_lock(&lock);
	snprintf(worker->id, sizeof(worker->id), "i-%02zu", worker_count);
	snprintf(worker->machine, sizeof(worker->machine), "m-%02zu",
		 worker_count);
	snprintf(worker->pool, sizeof(worker->pool), "%s", pool);
	snprintf(worker->rack, sizeof(worker->rack), "%s", rack);
	worker->cpu = cpu;
	worker->listener = listen_any(&worker->port);
	lifetime_begin(worker);
	entry_write(worker);
	worker_count++;
	pthread_mutex_unlock(&lock);
	return worker_count - 1;
}

const char *world_worker_id(size_t index)
{
	return workers[index].id;
}

void world_store_slow(uint32_t ms)
{
	store_slow_ms = ms;
}

int world_call(uint16_t port, const char *method, const char *path,
	       const char *host, const char *body, uint32_t timeout_ms,
	       char *answer, size_t answer_size)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	struct timeval timeout = { timeout_ms / 1000,
				   (timeout_ms % 1000) * 1000 };
	size_t size = strlen(body) + 1024;
	char *text = malloc(size);
	static __thread char in[65536];
	size_t len = 0;
	int status = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char *at;

	inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	snprintf(text, size,
		 "%s %s HTTP/1.1\r\nHost: %s\r\n"
		 "Content-Type: application/json\r\n"
		 "X-Sassafrascart-Deadline-Ms: %u\r\nConnection: close\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 method, path, host, timeout_ms, strlen(body), body);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    send(fd, text, strlen(text), MSG_NOSIGNAL) > 0) {
		for (;;) {
			ssize_t n = recv(fd, in + len, sizeof(in) - 1 - len, 0);

			if (n <= 0)
				break;
			len += (size_t)n;
		}
	}
	in[len] = '\0';
	sscanf(in, "HTTP/1.1 %d", &status);
	at = strstr(in, "\r\n\r\n");
	if (answer)
		snprintf(answer, answer_size, "%s", at ? at + 4 : "");
	free(text);
	close(fd);
	return status;
}

pid_t world_process_start(struct world_process *process)
{
	char log[512];

	snprintf(log, sizeof(log), "%s.log", process->file);
	process->pid = fork();
	if (process->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(out, 1);
		dup2(out, 2);
		setenv("SASSAFRASCART_NODE_FILE", process->file, 1);
		setenv("SASSAFRASCART_METRICS_PORT", process->metrics, 1);
		execl("target/programs/sassafrascartd",
		      "target/programs/sassafrascartd", (char *)NULL);
		_exit(127);
	}
	return process->pid;
}

void world_process_create(struct world_process *process, const char *folder,
			  const char *name)
{
	uint16_t peer = world_free_port();
	FILE *file;

	pthread_mutex_lock(&lock);
	snprintf(process->name, sizeof(process->name), "%s", name);
	process->index = process_count++;
	store_listeners[process->index] =
		listen_any(&store_ports[process->index]);
	pthread_mutex_unlock(&lock);
	process->front = world_free_port();
	process->ready = world_free_port();
	snprintf(process->metrics, sizeof(process->metrics), "%u",
		 (unsigned int)world_free_port());
	snprintf(process->file, sizeof(process->file), "%s/%s.conf", folder,
		 name);
	file = fopen(process->file, "w");
	if (!file)
		exit(2);
	fprintf(file,
		"node=%s\nrole=entry\nclass=edge\nserves=edge\n"
		"ip=127.0.0.1\nzone=z1\nregion=r1\nzones.z1=r1\n"
		"listen.front=127.0.0.1:%u\nlisten.ready=127.0.0.1:%u\n"
		"port_range=%u,%u\nseeds=\nbootstrap=true\n"
		"limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
		"limits.max_fds=4100\nlimits.link_mbps=1000.0\n"
		"discovery=platform\nentry=vip\nheartbeat_ms=%u\n"
		"contracts=base,drain,config,cost,recover,sched,platform,"
		"advice,upkeep,sharing\n"
		"bounds.stable_ms=3000\nbounds.ack_ms=4000\n"
		"bounds.drain_ms=2000\nbounds.grace_s=6\n"
		"bounds.config_apply_ms=2000\nbounds.max_hold_ms=%u\n"
		"bounds.stop_timeout_ms=400\nbounds.gang_timeout_ms=3000\n"
		"bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
		"bounds.early_ms=250\nbounds.finish_s=14\n"
		"bounds.status_s=120\nbounds.notice_ms=4500\n"
		"bounds.move_s=1.5\nbounds.upkeep_s=2\n"
		"bounds.require_fence=false\nbounds.lease_ms=3000\n"
		"orders=invoke\nplatform.address=127.0.0.1:%u\n"
		"platform.form=kv\nplatform.writes_per_s=400\n"
		"platform.reads_per_s=2000\nplatform.history_s=20\n"
		"platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
		"cloud.address=127.0.0.1:%u\ncloud.rate_per_s=64.0\n"
		"cloud.duty_per_s=64.0\n",
		name, (unsigned int)process->front,
		(unsigned int)process->ready, (unsigned int)peer,
		(unsigned int)peer, HEARTBEAT_MS, WORLD_MAX_HOLD_MS,
		(unsigned int)store_ports[process->index],
		(unsigned int)cloud_port);
	fclose(file);
}

bool world_process_wait_ready(const struct world_process *process,
			      uint32_t timeout_ms)
{
	uint64_t until_ms = world_now_ms() + timeout_ms;

	while (world_now_ms() < until_ms) {
		if (world_call(process->ready, "GET", "/-/readyz", "x", "", 500,
			       NULL, 0) == 200)
			return true;
		world_pause(50);
	}
	return false;
}

void world_process_kill(struct world_process *process, int signo)
{
	if (process->pid <= 0)
		return;
	kill(process->pid, signo);
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
}

bool world_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

void world_start(const char *record)
{
	pthread_t thread;

	signal(SIGPIPE, SIG_IGN);
	zero_ms = world_now_ms();
	record_file = fopen(record, "w");
	if (!record_file)
		exit(2);
	cloud_listener = listen_any(&cloud_port);
	pthread_create(&thread, NULL, loop_run, NULL);
}
