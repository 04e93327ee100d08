#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 1024
#define HOST "jobs.example"
#define READY_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 3000
#define MOVE_MS 1500

enum role {
	ROLE_STORE,
	ROLE_CLOUD,
	ROLE_ADVICE,
	ROLE_WORKER
};
enum waiting {
	WAITING_NONE,
	WAITING_WATCH,
	WAITING_HOLD,
	WAITING_DELAY
};

struct connection {
	int fd;
	enum role role;
	struct worker *worker;
	char *in;
	size_t in_len;
	enum waiting waiting;
	uint64_t until_ms;
	char prefix[256];
	int64_t after;
	bool silent;
	/** process at the other end, -1 if unknown */
	int node;
	/** fence number of the request */
	uint64_t token;
};

struct item {
	char *key;
	char *value;
	int64_t revision;
	int64_t created;
	int64_t lease;
	bool deleted;
	struct item *next;
};

struct lease {
	int64_t id;
	uint64_t ttl_ms;
	uint64_t expires_ms;
	struct lease *next;
};

struct node {
	pid_t pid;
	char ip[32];
	char file[512];
	bool stopped;
};

/* What the rule TWICE needs of each start. */
struct start {
	char task[64];
	int run;
	char worker[32];
	uint64_t at_ms;
	/** 0 while it runs */
	uint64_t end_ms;
	char how[16];
	uint64_t end_number;
	bool acked;
	struct start *next;
};

struct world_options world_options = {
	.workers = 8,
	.worker_cpu = 16000,
	.stop_ms = 300,
	.nodes = 3,
	.guards = true,
};
struct worker world_workers[WORLD_WORKERS_MAX];
struct job world_jobs[WORLD_JOBS_MAX];

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static struct connection connections[CONNECTIONS_MAX];
static struct item *items;
static struct item *history;
static struct lease *leases;
static struct start *starts;
static struct node nodes[WORLD_NODES_MAX];
static int64_t revision = 100;
static int64_t next_lease = 7000;
static bool refused_nodes[WORLD_NODES_MAX];
static bool cut_nodes[WORLD_NODES_MAX];
static bool cuts_at_intent;
static int cut_node = -1;
static bool cut[WORLD_NODES_MAX][WORLD_WORKERS_MAX];
static int store_fd, cloud_fd, advice_fd;
static int store_port, cloud_port, advice_port;
static int front_port, ready_port, peer_port;
static char store_ip[32];
static char temp_dir[256];
static FILE *record_file;
static uint64_t began_ms;
static int broken;
static int job_count;
static int worker_serial;
static const char *const *config_routes;

void world_lock(void)
{
	pthread_mutex_lock(&mutex);
}

void world_unlock(void)
{
	pthread_mutex_unlock(&mutex);
}

static uint64_t clock_ms(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t world_now_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC);
}

uint64_t world_unix_ms(void)
{
	return clock_ms(CLOCK_REALTIME);
}

void world_sleep_ms(uint32_t ms)
{
	usleep(ms * 1000);
}

bool world_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

static void record_open(void)
{
	const char *path = getenv("RECORD");

	began_ms = world_now_ms();
	record_file = fopen(path ? path : "record.txt", "w");
	if (!record_file) {
		fputs("cannot run: no record\n", stderr);
		exit(WORLD_CANNOT_RUN);
	}
}

static void record_line(const char *kind, const char *text)
{
	if (!record_file)
		record_open();
	flockfile(record_file);
	fprintf(record_file, "%8.3f %s%s\n",
		(double)(world_now_ms() - began_ms) / 1000, kind, text);
	fflush(record_file);
	funlockfile(record_file);
}

void world_record_take(char *text)
{
	record_line("", text);
	free(text);
}

void world_break_take(const char *rule, char *text)
{
	char kind[64];

	broken++;
	snprintf(kind, sizeof(kind), "BROKEN %s: ", rule);
	record_line(kind, text);
	printf("%s%s\n", kind, text);
	free(text);
}

int world_broken(void)
{
	return broken;
}

/* Sockets */

static int listen_at(const char *ip, int *port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)*port) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	inet_pton(AF_INET, ip, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, 128) != 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&addr, &len);
	*port = ntohs(addr.sin_port);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static int free_port(const char *ip)
{
	int port = 0;
	int fd = listen_at(ip, &port);

	close(fd);
	return port;
}

static void connection_close(struct connection *c)
{
	close(c->fd);
	free(c->in);
	memset(c, 0, sizeof(*c));
	c->fd = -1;
}

/* Returns the inode of the socket at the other end of a connection. */
static unsigned long peer_inode(int fd)
{
	struct sockaddr_in peer = { 0 };
	struct sockaddr_in self = { 0 };
	socklen_t len = sizeof(peer);
	unsigned long inode = 0;
	char line[512];
	FILE *file;

	getpeername(fd, (struct sockaddr *)&peer, &len);
	len = sizeof(self);
	getsockname(fd, (struct sockaddr *)&self, &len);
	file = fopen("/proc/net/tcp", "r");
	while (file && inode == 0 && fgets(line, sizeof(line), file)) {
		unsigned int local;
		unsigned int remote;
		unsigned long found;

		if (sscanf(line,
			   " %*d: %*x:%x %*x:%x %*x %*x:%*x %*x:%*x %*x %*d "
			   "%*d %lu",
			   &local, &remote, &found) == 3 &&
		    local == ntohs(peer.sin_port) &&
		    remote == ntohs(self.sin_port))
			inode = found;
	}
	if (file)
		fclose(file);
	return inode;
}

static bool process_has_socket(pid_t pid, unsigned long inode)
{
	char wanted[64];

	snprintf(wanted, sizeof(wanted), "socket:[%lu]", inode);
	for (int fd = 0; fd < 512; fd++) {
		char path[64];
		char target[64];
		ssize_t len;

		snprintf(path, sizeof(path), "/proc/%d/fd/%d", (int)pid, fd);
		len = readlink(path, target, sizeof(target) - 1);
		if (len <= 0)
			continue;
		target[len] = '\0';
		if (strcmp(target, wanted) == 0)
			return true;
	}
	return false;
}

/* Returns the process at the other end of a connection, -1 if unknown. */
static int node_of(int fd)
{
	unsigned long inode = peer_inode(fd);

	for (int i = 0; inode != 0 && i < world_options.nodes; i++) {
		if (nodes[i].pid > 0 && process_has_socket(nodes[i].pid, inode))
			return i;
	}
	return -1;
}

static bool is_cut(int node, const struct worker *worker)
{
	if (node >= 0 && cut_nodes[node])
		return true;
	return node >= 0 && worker && cut[node][worker - world_workers];
}

static void connection_accept(int listen_fd, enum role role,
			      struct worker *worker)
{
	int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
	int node = fd >= 0 && world_options.tells_nodes ? node_of(fd) : -1;

	for (int i = 0; fd >= 0 && i < CONNECTIONS_MAX; i++) {
		if (connections[i].fd >= 0)
			continue;
		connections[i] =
			(struct connection){ .fd = fd,
					     .role = role,
					     .worker = worker,
					     .node = node,
					     .silent = is_cut(node, worker) };
		return;
	}
	if (fd >= 0)
		close(fd);
}

static void respond(struct connection *c, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	char *out = NULL;
	int len = asprintf(&out,
			   "HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
			   "content-length: %zu\r\n\r\n%s",
			   status, strlen(text), text);

	c->waiting = WAITING_NONE;
	for (int at = 0; at < len;) {
		ssize_t n =
			send(c->fd, out + at, (size_t)(len - at), MSG_NOSIGNAL);

		if (n <= 0)
			break;
		at += (int)n;
	}
	free(out);
	free(text);
	json_decref(body);
}

/* Store */

static json_t *item_json(const struct item *item)
{
	if (item->deleted)
		return json_pack("{s:s, s:I, s:b}", "key", item->key,
				 "revision", (json_int_t)item->revision,
				 "deleted", 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created_rev", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static struct item **item_find(const char *key)
{
	struct item **at = &items;

	while (*at && strcmp((*at)->key, key) < 0)
		at = &(*at)->next;
	return at;
}

static struct item *item_get(const char *key)
{
	struct item *item = *item_find(key);

	return item && strcmp(item->key, key) == 0 ? item : NULL;
}

static void history_add(const struct item *item, bool deleted)
{
	struct item *copy = malloc(sizeof(*copy));
	struct item **at = &history;

	*copy = *item;
	copy->key = strdup(item->key);
	copy->value = strdup(item->value);
	copy->deleted = deleted;
	copy->revision = revision;
	copy->next = NULL;
	while (*at)
		at = &(*at)->next;
	*at = copy;
}

static void item_put(const char *key, const char *value, int64_t lease)
{
	struct item **at = item_find(key);
	struct item *item = *at;

	if (!item || strcmp(item->key, key) != 0) {
		item = calloc(1, sizeof(*item));
		item->key = strdup(key);
		item->created = revision;
		item->next = *at;
		*at = item;
	}
	free(item->value);
	item->value = strdup(value);
	item->revision = revision;
	item->lease = lease;
	history_add(item, false);
}

static void item_delete(const char *key)
{
	struct item **at = item_find(key);
	struct item *item = *at;

	if (!item || strcmp(item->key, key) != 0)
		return;
	history_add(item, true);
	*at = item->next;
	free(item->key);
	free(item->value);
	free(item);
}

static bool watch_try(struct connection *c)
{
	json_t *events = json_array();

	for (struct item *e = history; e; e = e->next) {
		if (e->revision > c->after &&
		    strncmp(e->key, c->prefix, strlen(c->prefix)) == 0)
			json_array_append_new(events, item_json(e));
	}
	if (json_array_size(events) == 0 && world_now_ms() < c->until_ms) {
		json_decref(events);
		return false;
	}
	respond(c, 200,
		json_pack("{s:o, s:I}", "events", events, "store_revision",
			  (json_int_t)revision));
	return true;
}

static void watches_wake(void)
{
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		struct connection *c = &connections[i];

		if (c->fd >= 0 && !c->silent && c->waiting == WAITING_WATCH)
			watch_try(c);
	}
}

static struct lease *lease_get(int64_t id)
{
	struct lease *lease = leases;

	while (lease && lease->id != id)
		lease = lease->next;
	return lease;
}

static void lease_end(int64_t id)
{
	struct lease **at = &leases;
	struct lease *gone;

	while (*at && (*at)->id != id)
		at = &(*at)->next;
	gone = *at;
	if (!gone)
		return;
	*at = gone->next;
	free(gone);
	revision++;
	for (struct item *item = items; item;) {
		struct item *next = item->next;

		if (item->lease == id)
			item_delete(item->key);
		item = next;
	}
	watches_wake();
}

static const char *text_of(const json_t *json, const char *key)
{
	return json_string_value(json_object_get(json, key));
}

static json_int_t int_of(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static bool intent_is_written(const json_t *body)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "puts"), i, row)
	{
		if (strcmp(text_of(row, "key"), "/sassafrascart/vm-orders") ==
		    0)
			return true;
	}
	return false;
}

static void node_cut(int node)
{
	cuts_at_intent = false;
	cut_node = node;
	cut_nodes[node] = true;
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (connections[i].fd >= 0 && connections[i].node == node)
			connections[i].silent = true;
	}
	world_record("process %d is cut off from store, machines and workers",
		     node);
}

static void txn_serve(struct connection *c, const json_t *body)
{
	json_t *current = json_array();
	bool holds = true;
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "expected_rev"), i, row)
	{
		struct item *item = item_get(text_of(row, "key"));

		if (item)
			json_array_append_new(current, item_json(item));
		if ((item ? item->revision : 0) != int_of(row, "revision"))
			holds = false;
	}
	json_array_foreach(json_object_get(body, "puts"), i, row)
	{
		if (int_of(row, "lease") != 0 &&
		    !lease_get(int_of(row, "lease"))) {
			json_decref(current);
			respond(c, 404, NULL);
			return;
		}
	}
	if (!holds) {
		respond(c, 412, json_pack("{s:o}", "items", current));
		return;
	}
	json_decref(current);
	revision++;
	json_array_foreach(json_object_get(body, "puts"), i, row)
		item_put(text_of(row, "key"), text_of(row, "value"),
			 int_of(row, "lease"));
	json_array_foreach(json_object_get(body, "deletes"), i, row)
		item_delete(json_string_value(row));
	respond(c, 200, json_pack("{s:I}", "revision", (json_int_t)revision));
	if (cuts_at_intent && intent_is_written(body))
		node_cut(c->node);
	watches_wake();
}

static void unescape(char *text)
{
	char *out = text;

	for (; *text; text++) {
		unsigned int byte;

		if (*text == '%' && sscanf(text + 1, "%2x", &byte) == 1) {
			*out++ = (char)byte;
			text += 2;
		} else {
			*out++ = *text;
		}
	}
	*out = '\0';
}

static void query_get(const char *path, const char *name, char *out,
		      size_t size)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);

	out[0] = '\0';
	while (at) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			snprintf(out, size, "%.*s",
				 (int)strcspn(at + len + 1, "&"), at + len + 1);
			unescape(out);
			return;
		}
		at = strchr(at, '&');
	}
}

static bool path_is(const char *path, const char *name)
{
	size_t len = strlen(name);

	return strncmp(path, name, len) == 0 &&
	       (path[len] == '\0' || path[len] == '?');
}

static void range_serve(struct connection *c, const char *path)
{
	char prefix[256];
	json_t *rows = json_array();

	query_get(path, "prefix", prefix, sizeof(prefix));
	for (struct item *item = items; item; item = item->next) {
		if (strncmp(item->key, prefix, strlen(prefix)) == 0)
			json_array_append_new(rows, item_json(item));
	}
	respond(c, 200,
		json_pack("{s:o, s:b, s:I}", "items", rows, "has_more", 0,
			  "store_revision", (json_int_t)revision));
}

static void key_serve(struct connection *c, const char *path)
{
	char key[256];
	struct item *item;
	json_t *json;

	query_get(path, "key", key, sizeof(key));
	item = item_get(key);
	json = item ? item_json(item) : json_object();
	json_object_set_new(json, "store_revision", json_integer(revision));
	respond(c, item ? 200 : 404, json);
}

static void watch_serve(struct connection *c, const char *path)
{
	char number[32];

	query_get(path, "prefix", c->prefix, sizeof(c->prefix));
	query_get(path, "after", number, sizeof(number));
	c->after = atoll(number);
	query_get(path, "wait_ms", number, sizeof(number));
	c->until_ms = world_now_ms() + (uint64_t)atoll(number);
	c->waiting = WAITING_WATCH;
	watch_try(c);
}

static void lease_serve(struct connection *c, const json_t *body)
{
	struct lease *lease = calloc(1, sizeof(*lease));

	lease->id = ++next_lease;
	lease->ttl_ms = (uint64_t)int_of(body, "ttl_ms");
	lease->expires_ms = world_now_ms() + lease->ttl_ms;
	lease->next = leases;
	leases = lease;
	respond(c, 200,
		json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id,
			  "ttl_ms", (json_int_t)lease->ttl_ms));
}

static void keep_serve(struct connection *c, const char *path)
{
	struct lease *lease = lease_get(atoll(strrchr(path, '/') + 1));

	if (!lease) {
		respond(c, 404, NULL);
		return;
	}
	lease->expires_ms = world_now_ms() + lease->ttl_ms;
	respond(c, 200,
		json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id,
			  "ttl_ms", (json_int_t)lease->ttl_ms));
}

static void store_serve(struct connection *c, const char *method,
			const char *path, const json_t *body)
{
	if (c->node >= 0 && refused_nodes[c->node])
		respond(c, 503, NULL);
	else if (path_is(path, "/-/kv-key"))
		key_serve(c, path);
	else if (path_is(path, "/-/kv-range"))
		range_serve(c, path);
	else if (path_is(path, "/-/kv-watch"))
		watch_serve(c, path);
	else if (path_is(path, "/-/kv-txn"))
		txn_serve(c, body);
	else if (path_is(path, "/-/kv-lease"))
		lease_serve(c, body);
	else if (strncmp(path, "/-/kv-keep/", 11) == 0)
		keep_serve(c, path);
	else if (strncmp(path, "/-/kv-lease-end/", 16) == 0) {
		lease_end(atoll(path + 16));
		respond(c, 200, NULL);
	} else {
		respond(c, 404, NULL);
	}
	(void)method;
}

/* Machines */

static void worker_kill(struct worker *w);

static void move_serve(struct connection *c, const json_t *body)
{
	const char *machine = text_of(body, "machine");
	const char *pool = text_of(body, "pool");
	struct worker *w = NULL;
	char key[64];

	for (int i = 0; i < world_options.workers; i++) {
		if (strcmp(world_workers[i].machine, machine) == 0)
			w = &world_workers[i];
	}
	if (w)
		world_record("machine %s: move to %s, fence %llu, process %d",
			     machine, pool, (unsigned long long)c->token,
			     c->node);
	if (w && c->token < w->token)
		world_break("ONE",
			    "machine %s gets an order with fence %llu after "
			    "one with %llu",
			    machine, (unsigned long long)c->token,
			    (unsigned long long)w->token);
	else if (w)
		w->token = c->token;
	if (!w || strcmp(w->service, pool) == 0) {
		respond(c, w ? 200 : 400, NULL);
		return;
	}
	if (!w->up || w->draining) {
		respond(c, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	world_record("machine %s is moved from %s to %s by process %d",
		     w->machine, w->service, pool, c->node);
	snprintf(key, sizeof(key), "servers/%s", w->id);
	worker_kill(w);
	w->service = strdup(pool);
	w->moving_until_ms = world_now_ms() + MOVE_MS;
	revision++;
	item_delete(key);
	watches_wake();
	respond(c, 200, NULL);
}

static const char *machine_state(const struct worker *w)
{
	if (w->up)
		return "up";
	return w->moving_until_ms ? "moving" : "down";
}

static void cloud_serve(struct connection *c, const char *path,
			const json_t *body)
{
	json_t *rows = json_array();

	if (!path_is(path, "/-/machines")) {
		json_decref(rows);
		if (path_is(path, "/-/machine-move"))
			move_serve(c, body);
		else
			respond(c, 409, json_pack("{s:s}", "reason", "wave"));
		return;
	}
	for (int i = 0; i < world_options.workers; i++) {
		struct worker *w = &world_workers[i];

		json_array_append_new(
			rows,
			json_pack("{s:s, s:s, s:s, s:s, s:[s,s], "
				  "s:{s:i,s:i,s:i}, s:s}",
				  "machine", w->machine, "pool", w->service,
				  "state", machine_state(w), "zone", "zone-a",
				  "labels", w->label, w->rack, "capacity",
				  "cpu", w->cpu, "mem_mb", 65536, "gpu", 0,
				  "id", w->id));
	}
	respond(c, 200,
		json_pack("{s:o, s:n}", "machines", rows, "next_token"));
}

static void advice_serve(struct connection *c, const json_t *body)
{
	json_t *good = json_array();
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "workers"), i, row)
		json_array_append_new(
			good,
			json_pack("[s, s]", json_string_value(row), "ticket"));
	respond(c, 200,
		json_pack("{s:o, s:i}", "good", good, "valid_ms", 3000));
}

/* Workers */

static uint64_t worker_clock_ms(const struct worker *w)
{
	return world_now_ms() - w->born_ms + 1000;
}

static struct job *job_find(const char *task)
{
	for (int i = 0; i < job_count; i++) {
		if (strncmp(world_jobs[i].id, task, 16) == 0)
			return &world_jobs[i];
	}
	return NULL;
}

static struct start *start_find(const struct worker *w, const char *task,
				int run)
{
	for (struct start *s = starts; s; s = s->next) {
		if (s->run == run && strcmp(s->task, task) == 0 &&
		    strcmp(s->worker, w->id) == 0)
			return s;
	}
	return NULL;
}

static void start_end(const struct worker *w, const struct run *run,
		      const char *how, uint64_t number)
{
	struct start *s = start_find(w, run->task, run->number);

	if (!s)
		return;
	s->end_ms = world_now_ms();
	s->end_number = number;
	snprintf(s->how, sizeof(s->how), "%s", how);
}

static void run_end(struct worker *w, struct run *run, const char *how)
{
	struct ended *end = calloc(1, sizeof(*end));
	struct ended **last = &w->ends;
	struct run **at = &w->runs;

	end->number = ++w->last_end;
	snprintf(end->task, sizeof(end->task), "%s", run->task);
	end->run = run->number;
	end->how = how;
	while (*last)
		last = &(*last)->next;
	*last = end;
	json_object_set_new(w->highest, run->task, json_integer(run->number));
	start_end(w, run, how, end->number);
	world_record("worker %s: %s run %d ended %s, number %llu", w->id,
		     run->task, run->number, how,
		     (unsigned long long)end->number);
	while (*at != run)
		at = &(*at)->next;
	*at = run->next;
	free(run);
}

static void hold_respond(struct connection *c)
{
	struct worker *w = c->worker;
	json_t *running = json_array();
	json_t *ended = json_array();

	for (struct run *r = w->runs; r; r = r->next)
		json_array_append_new(
			running,
			json_pack("[s, i, s, i, i]", r->task, r->number, "",
				  world_now_ms() - r->began_ms < 100
					  ? 0
					  : r->percent,
				  r->cpu));
	for (struct ended *e = w->ends; e; e = e->next)
		json_array_append_new(ended,
				      json_pack("[I, s, i, s, s]",
						(json_int_t)e->number, e->task,
						e->run, e->how, ""));
	respond(c, 200,
		json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
			  (json_int_t)worker_clock_ms(w), "born",
			  (json_int_t)w->born_unix_ms, "running", running,
			  "ended", ended));
}

static void lease_extend(struct worker *w, const json_t *body)
{
	uint64_t until_ms = (uint64_t)int_of(body, "until_ms");
	uint64_t most_ms = worker_clock_ms(w) + WORLD_MAX_HOLD_MS;

	if (until_ms > most_ms)
		until_ms = most_ms;
	if (until_ms > w->lease_until_ms)
		w->lease_until_ms = until_ms;
}

static void refuse(struct connection *c, const char *reason)
{
	respond(c, 409,
		json_pack("{s:I, s:s}", "clock_ms",
			  (json_int_t)worker_clock_ms(c->worker), "reason",
			  reason));
}

static void acks_take(struct worker *w, uint64_t upto)
{
	if (upto > w->last_end)
		upto = w->last_end;
	while (w->ends && w->ends->number <= upto) {
		struct ended *end = w->ends;
		struct start *s = start_find(w, end->task, end->run);

		if (s)
			s->acked = true;
		world_record("worker %s: end %llu taken note of", w->id,
			     (unsigned long long)end->number);
		w->ends = end->next;
		free(end);
	}
	if (upto > w->acked)
		w->acked = upto;
}

static void hold_serve(struct connection *c, const json_t *body)
{
	struct worker *w = c->worker;

	lease_extend(w, body);
	acks_take(w, (uint64_t)int_of(body, "acked_upto"));
	c->until_ms = world_now_ms() + (uint64_t)int_of(body, "wait_ms");
	c->waiting = WAITING_HOLD;
	/* The number of the newest end at the time of the call. */
	c->after = (int64_t)w->last_end;
	if (w->ends || int_of(body, "wait_ms") == 0)
		hold_respond(c);
}

static struct run *run_get(struct worker *w, const char *task)
{
	struct run *run = w->runs;

	while (run && strcmp(run->task, task) != 0)
		run = run->next;
	return run;
}

static int cpu_used(const struct worker *w)
{
	int used = 0;

	for (const struct run *r = w->runs; r; r = r->next)
		used += r->cpu;
	return used;
}

static const json_t *step_of(const struct job *job, const char *task, int *step,
			     int *index)
{
	int occurrence;

	if (sscanf(task + 16, ".%d.%d.%d", &occurrence, step, index) != 3)
		return NULL;
	return json_array_get(json_object_get(job->spec, "steps"),
			      (size_t)*step);
}

static bool task_has_run(const char *task)
{
	for (struct start *s = starts; s; s = s->next) {
		if (strcmp(s->task, task) == 0)
			return true;
	}
	return false;
}

static void start_note(const struct worker *w, const struct run *run)
{
	struct start *s = calloc(1, sizeof(*s));
	struct start **at = &starts;

	snprintf(s->task, sizeof(s->task), "%s", run->task);
	snprintf(s->worker, sizeof(s->worker), "%s", w->id);
	s->run = run->number;
	s->at_ms = world_now_ms();
	while (*at)
		at = &(*at)->next;
	*at = s;
}

static void start_serve(struct connection *c, const json_t *body)
{
	struct worker *w = c->worker;
	const char *task = text_of(body, "task");
	int number = (int)int_of(body, "run");
	struct job *job = job_find(task);
	struct run *run = run_get(w, task);
	const json_t *spec;
	uint32_t work_ms;
	int step = 0;
	int index = 0;

	lease_extend(w, body);
	if (run && run->number == number) {
		respond(c, 200,
			json_pack("{s:I}", "clock_ms",
				  (json_int_t)worker_clock_ms(w)));
		return;
	}
	if (run || number <= int_of(w->highest, task)) {
		refuse(c, "old");
		return;
	}
	if (w->lease_until_ms <= worker_clock_ms(w) ||
	    (uint64_t)int_of(body, "until_ms") <= worker_clock_ms(w)) {
		refuse(c, "late");
		return;
	}
	spec = job ? step_of(job, task, &step, &index) : NULL;
	if (!spec) {
		world_break("UNASKED", "%s run %d started at worker %s", task,
			    number, w->id);
		respond(c, 400, NULL);
		return;
	}
	if (world_options.guards &&
	    cpu_used(w) + int_of(spec, "cpu") > w->cpu) {
		refuse(c, "room");
		return;
	}
	run = calloc(1, sizeof(*run));
	snprintf(run->task, sizeof(run->task), "%s", task);
	run->number = number;
	run->cpu = (int)int_of(spec, "cpu");
	run->percent = 100;
	run->began_ms = world_now_ms();
	work_ms = job->work_ms ? job->work_ms(step, index) : 1000;
	run->fails = job->fails || (job->fails_once && !task_has_run(task));
	run->ends_ms = work_ms ? run->began_ms + work_ms : 0;
	run->next = w->runs;
	w->runs = run;
	start_note(w, run);
	world_record("worker %s: %s run %d begins, cpu in use %d of %d", w->id,
		     task, number, cpu_used(w), w->cpu);
	if (cpu_used(w) > w->cpu)
		world_break("LIMIT", "%s run %d brings worker %s to %d of %d",
			    task, number, w->id, cpu_used(w), w->cpu);
	respond(c, 200,
		json_pack("{s:I}", "clock_ms", (json_int_t)worker_clock_ms(w)));
}

static void stop_serve(struct connection *c, const json_t *body)
{
	struct worker *w = c->worker;
	const char *task = text_of(body, "task");
	int number = (int)int_of(body, "run");
	struct run *run = run_get(w, task);

	if (run && run->number == number && run->stops_ms == 0) {
		run->stops_ms =
			world_now_ms() + (uint64_t)world_options.stop_ms;
		world_record("worker %s: %s run %d is told to stop", w->id,
			     task, number);
	} else if (!run && number > int_of(w->highest, task)) {
		json_object_set_new(w->highest, task, json_integer(number));
	}
	respond(c, 200,
		json_pack("{s:I}", "clock_ms", (json_int_t)worker_clock_ms(w)));
}

static void worker_serve(struct connection *c, const char *path,
			 const char *instance, const json_t *body)
{
	struct worker *w = c->worker;
	uint64_t fence = (uint64_t)int_of(body, "fence");

	if (strcmp(instance, w->id) != 0) {
		respond(c, 421, NULL);
		return;
	}
	if (fence < w->fence) {
		refuse(c, "fence");
		return;
	}
	w->fence = fence;
	if (path_is(path, "/-/hold"))
		hold_serve(c, body);
	else if (path_is(path, "/-/run-start"))
		start_serve(c, body);
	else if (path_is(path, "/-/run-stop"))
		stop_serve(c, body);
	else
		respond(c, path_is(path, "/-/pace") ? 200 : 404,
			json_pack("{s:I}", "clock_ms",
				  (json_int_t)worker_clock_ms(w)));
}

static void holds_wake(struct worker *w)
{
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		struct connection *c = &connections[i];

		if (c->fd >= 0 && !c->silent && c->waiting == WAITING_HOLD &&
		    c->worker == w &&
		    (world_now_ms() >= c->until_ms ||
		     (int64_t)w->last_end > c->after))
			hold_respond(c);
	}
}

static void worker_tick(struct worker *w)
{
	uint64_t now_ms = world_now_ms();
	bool lapsed = w->runs && worker_clock_ms(w) >= w->lease_until_ms;

	for (struct run *run = w->runs; run;) {
		struct run *next = run->next;

		if (lapsed)
			run_end(w, run, "lapsed");
		else if (run->stops_ms && now_ms >= run->stops_ms)
			run_end(w, run, "stopped");
		else if (run->ends_ms && now_ms >= run->ends_ms)
			run_end(w, run, run->fails ? "failed" : "done");
		run = next;
	}
	holds_wake(w);
}

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(len * 4 / 3 + 8);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (uint32_t)(unsigned char)text[i + 2];
		*at++ = digits[v >> 18];
		*at++ = digits[v >> 12 & 63];
		*at++ = (char)(i + 1 < len ? digits[v >> 6 & 63] : '=');
		*at++ = (char)(i + 2 < len ? digits[v & 63] : '=');
	}
	*at = '\0';
	return out;
}

static char *unbase64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	char *out = calloc(1, strlen(text) + 1);
	uint32_t bits = 0;
	int have = 0;
	size_t len = 0;

	for (; *text && *text != '='; text++) {
		bits = bits << 6 | (uint32_t)(strchr(digits, *text) - digits);
		have += 6;
		if (have >= 8) {
			have -= 8;
			out[len++] = (char)(bits >> have & 0xff);
		}
	}
	return out;
}

static void store_write(const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *encoded = base64(text);

	revision++;
	item_put(key, encoded, 0);
	watches_wake();
	free(text);
	free(encoded);
	json_decref(value);
}

static void entry_write(const struct worker *w)
{
	char key[64];

	snprintf(key, sizeof(key), "servers/%s", w->id);
	store_write(key,
		    json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, "
			      "s:{s:i,s:i,s:i}, s:[s,s], s:I, s:I, s:s, s:i}",
			      "service", w->service, "address", w->address,
			      "zone", "zone-a", "version", "v1", "slots", 8,
			      "state", w->draining ? "draining" : "ready",
			      "cold_ms", 0, "capacity", "cpu", w->cpu, "mem_mb",
			      65536, "gpu", 0, "labels", w->label, w->rack,
			      "clock_ms", (json_int_t)worker_clock_ms(w),
			      "born", (json_int_t)w->born_unix_ms, "machine",
			      w->machine, "seq", 1));
}

static void worker_begin(struct worker *w)
{
	snprintf(w->id, sizeof(w->id), "i-%04x%04x", getpid() & 0xffff,
		 ++worker_serial);
	w->up = true;
	w->draining = false;
	w->moving_until_ms = 0;
	w->born_ms = world_now_ms();
	w->born_unix_ms = world_unix_ms();
	w->fence = 0;
	w->lease_until_ms = 0;
	w->last_end = 0;
	w->acked = 0;
	w->highest = json_object();
	w->listen_fd = listen_at(store_ip, &w->port);
	snprintf(w->address, sizeof(w->address), "%s:%d", store_ip, w->port);
	entry_write(w);
	world_record("worker %s on machine %s begins", w->id, w->machine);
}

static void worker_kill(struct worker *w)
{
	while (w->runs) {
		struct run *run = w->runs;

		world_record("worker %s: %s run %d gone", w->id, run->task,
			     run->number);
		start_end(w, run, "gone", 0);
		w->runs = run->next;
		free(run);
	}
	while (w->ends) {
		struct ended *end = w->ends;

		w->ends = end->next;
		free(end);
	}
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (connections[i].fd >= 0 && connections[i].worker == w)
			connection_close(&connections[i]);
	}
	close(w->listen_fd);
	w->listen_fd = -1;
	w->up = false;
	json_decref(w->highest);
	w->highest = NULL;
}

/* HTTP */

static void header_get(const char *head, const char *name, char *out,
		       size_t size)
{
	const char *at = strcasestr(head, name);

	out[0] = '\0';
	if (!at)
		return;
	at += strlen(name);
	at += strspn(at, ": ");
	snprintf(out, size, "%.*s", (int)strcspn(at, "\r\n"), at);
}

static void request_serve(struct connection *c, const char *head,
			  const json_t *body)
{
	char method[16] = "";
	char path[1024] = "";
	char instance[64];
	char token[32];

	sscanf(head, "%15s %1023s", method, path);
	header_get(head, "\r\nx-sassafrascart-expect-instance", instance,
		   sizeof(instance));
	header_get(head, "\r\nx-sassafrascart-fence-token", token,
		   sizeof(token));
	c->token = strtoull(token, NULL, 10);
	switch (c->role) {
	case ROLE_STORE:
		store_serve(c, method, path, body);
		break;
	case ROLE_CLOUD:
		cloud_serve(c, path, body);
		break;
	case ROLE_ADVICE:
		advice_serve(c, body);
		break;
	case ROLE_WORKER:
		worker_serve(c, path, instance, body);
		break;
	}
}

static void connection_read(struct connection *c)
{
	char buffer[65536];
	ssize_t n = recv(c->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	char length[32];
	char *end;
	size_t need;

	if (n <= 0) {
		if (n == 0 || (errno != EAGAIN && errno != EINTR))
			connection_close(c);
		return;
	}
	c->in = realloc(c->in, c->in_len + (size_t)n + 1);
	memcpy(c->in + c->in_len, buffer, (size_t)n);
	c->in_len += (size_t)n;
	c->in[c->in_len] = '\0';
	while (c->fd >= 0 && c->in && c->waiting == WAITING_NONE &&
	       (end = strstr(c->in, "\r\n\r\n"))) {
		json_t *body;

		header_get(c->in, "\r\ncontent-length", length, sizeof(length));
		need = (size_t)(end + 4 - c->in) + (size_t)atoi(length);
		if (c->in_len < need)
			return;
		end[2] = '\0';
		body = json_loadb(end + 4, (size_t)atoi(length), 0, NULL);
		request_serve(c, c->in, body);
		json_decref(body);
		if (c->fd < 0 || !c->in)
			return;
		memmove(c->in, c->in + need, c->in_len - need + 1);
		c->in_len -= need;
	}
}

static void tick(void)
{
	uint64_t now_ms = world_now_ms();

	for (struct lease *lease = leases; lease;) {
		struct lease *next = lease->next;

		if (now_ms >= lease->expires_ms)
			lease_end(lease->id);
		lease = next;
	}
	for (int i = 0; i < world_options.workers; i++) {
		struct worker *w = &world_workers[i];

		if (w->up)
			worker_tick(w);
		else if (w->moving_until_ms && now_ms >= w->moving_until_ms)
			worker_begin(w);
	}
	watches_wake();
}

static int poll_add(struct pollfd *fds, int count, int fd)
{
	fds[count] = (struct pollfd){ .fd = fd, .events = POLLIN };
	return count + 1;
}

static void *serve(void *unused)
{
	static struct pollfd fds[CONNECTIONS_MAX + WORLD_WORKERS_MAX + 3];
	static struct connection *owners[CONNECTIONS_MAX];

	for (;;) {
		int count = 0;
		int listeners;
		int polled[WORLD_WORKERS_MAX];

		world_lock();
		tick();
		count = poll_add(fds, count, store_fd);
		count = poll_add(fds, count, cloud_fd);
		count = poll_add(fds, count, advice_fd);
		for (int i = 0; i < world_options.workers; i++) {
			polled[i] = world_workers[i].listen_fd;
			count = poll_add(fds, count, polled[i]);
		}
		listeners = count;
		for (int i = 0; i < CONNECTIONS_MAX; i++) {
			if (connections[i].fd < 0 || connections[i].silent)
				continue;
			owners[count - listeners] = &connections[i];
			count = poll_add(fds, count, connections[i].fd);
		}
		world_unlock();
		poll(fds, (nfds_t)count, 4);
		world_lock();
		for (int i = listeners; i < count; i++) {
			struct connection *c = owners[i - listeners];

			if ((fds[i].revents & ~0) && c->fd == fds[i].fd &&
			    !c->silent)
				connection_read(c);
		}
		if (fds[0].revents)
			connection_accept(store_fd, ROLE_STORE, NULL);
		if (fds[1].revents)
			connection_accept(cloud_fd, ROLE_CLOUD, NULL);
		if (fds[2].revents)
			connection_accept(advice_fd, ROLE_ADVICE, NULL);
		for (int i = 0; i < world_options.workers; i++) {
			if (fds[3 + i].revents &&
			    world_workers[i].listen_fd == polled[i] &&
			    polled[i] >= 0)
				connection_accept(polled[i], ROLE_WORKER,
						  &world_workers[i]);
		}
		world_unlock();
	}
	return unused;
}

/* Processes */

static void node_file_write(int i)
{
	FILE *file = fopen(nodes[i].file, "w");

	fprintf(file,
		"node=edge-zone-a-%d\nrole=entry\nclass=edge\nserves=edge\n"
		"ip=%s\nzone=zone-a\nregion=region-1\nzones.zone-a=region-1\n"
		"listen.front=%s:%d\nlisten.ready=%s:%d\nport_range=%d,%d\n",
		i + 1, nodes[i].ip, nodes[i].ip, front_port, nodes[i].ip,
		ready_port, peer_port, peer_port + 15);
	fprintf(file,
		"bootstrap=true\nlimits.cpu_share=%s\nlimits.cores=1\n"
		"limits.memory_mb=260\nlimits.max_fds=4100\n"
		"limits.link_mbps=1000.0\nlimits.disk_mb=0\n"
		"discovery=platform\nentry=vip\nheartbeat_ms=1500\n"
		"contracts=base,drain,config,cost,recover,sched,platform,"
		"advice,upkeep,sharing\n"
		"bounds.stable_ms=3000\nbounds.ack_ms=4000\n"
		"bounds.drain_ms=2000\nbounds.grace_s=6\n"
		"bounds.config_apply_ms=2000\nbounds.max_hold_ms=%d\n"
		"bounds.stop_timeout_ms=%d\nbounds.gang_timeout_ms=%d\n"
		"bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
		"bounds.early_ms=250\nbounds.finish_s=14\n"
		"bounds.status_s=120\nbounds.move_s=1.5\nbounds.upkeep_s=2\n"
		"bounds.require_fence=false\nbounds.lease_ms=3000\n",
		world_options.cpu_share[i] ? world_options.cpu_share[i]
					   : "0.25",
		WORLD_MAX_HOLD_MS, WORLD_STOP_TIMEOUT_MS,
		WORLD_GANG_TIMEOUT_MS);
	fprintf(file,
		"orders=invoke\nadvice=%s:%d\nplatform.address=%s:%d\n"
		"platform.form=kv\nplatform.writes_per_s=400\n"
		"platform.reads_per_s=2000\nplatform.history_s=20\n"
		"platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
		"cloud.address=%s:%d\ncloud.rate_per_s=64.0\n"
		"cloud.duty_per_s=64.0\n",
		store_ip, advice_port, store_ip, store_port, store_ip,
		cloud_port);
	fclose(file);
}

static void node_start(int i)
{
	char log[512];
	pid_t pid;

	snprintf(log, sizeof(log), "%s/node-%d.log", temp_dir, i + 1);
	pid = fork();
	if (pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("SASSAFRASCART_NODE_FILE", nodes[i].file, 1);
		setenv("SASSAFRASCART_METRICS_PORT", "9464", 1);
		execl("target/programs/sassafrascartd",
		      "target/programs/sassafrascartd", (char *)NULL);
		_exit(127);
	}
	nodes[i].pid = pid;
	world_record("process %d starts", i);
}

static int client_connect(const char *ip, int port, uint32_t leave_ms)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port) };
	struct timeval timeout = { leave_ms / 1000, leave_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	close(fd);
	return -1;
}

static char *request_create(const char *method, const char *path,
			    const char *body)
{
	char *request = NULL;

	if (asprintf(&request,
		     "%s %s HTTP/1.1\r\nHost: " HOST "\r\n"
		     "X-Sassafrascart-Deadline-Ms: %d\r\n"
		     "Content-Type: application/json\r\n"
		     "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
		     method, path, CALL_TIMEOUT_MS, body ? strlen(body) : 0,
		     body ? body : "") < 0)
		abort();
	return request;
}

static struct answer client_call(const char *ip, int port, const char *method,
				 const char *path, const char *body,
				 uint32_t leave_ms)
{
	struct answer answer = { 0 };
	char response[8192];
	size_t len = 0;
	int fd = client_connect(ip, port, leave_ms);
	char *request = request_create(method, path, body);
	ssize_t size = (ssize_t)strlen(request);

	if (fd >= 0 && send(fd, request, (size_t)size, MSG_NOSIGNAL) == size) {
		for (;;) {
			ssize_t n = recv(fd, response + len,
					 sizeof(response) - 1 - len, 0);

			if (n <= 0)
				break;
			len += (size_t)n;
		}
		response[len] = '\0';
		if (sscanf(response, "HTTP/1.1 %d", &answer.status) == 1 &&
		    strstr(response, "\r\n\r\n"))
			snprintf(answer.body, sizeof(answer.body), "%s",
				 strstr(response, "\r\n\r\n") + 4);
	}
	if (fd >= 0)
		close(fd);
	free(request);
	return answer;
}

bool world_is_ready(int node)
{
	return client_call(nodes[node].ip, ready_port, "GET", "/-/readyz", NULL,
			   CALL_TIMEOUT_MS)
		       .status == 200;
}

struct answer world_call(int node, const char *method, const char *path,
			 const char *body)
{
	return world_call_leaving(node, method, path, body, CALL_TIMEOUT_MS);
}

struct answer world_call_leaving(int node, const char *method, const char *path,
				 const char *body, uint32_t leave_ms)
{
	struct answer answer;

	world_record("client: %s %s to process %d%s%s", method, path, node,
		     body ? ": " : "", body ? body : "");
	answer = client_call(nodes[node].ip, front_port, method, path, body,
			     leave_ms);
	world_record("client: %s %s from process %d: %d %s", method, path, node,
		     answer.status, answer.body);
	return answer;
}

struct job *world_job_add(const char *prefix, json_t *spec,
			  uint32_t (*work_ms)(int step, int index))
{
	struct job *job;

	world_lock();
	job = &world_jobs[job_count];
	snprintf(job->id, sizeof(job->id), "%08x%08x", (unsigned int)getpid(),
		 (unsigned int)(0x5a000 + job_count));
	snprintf(job->path, sizeof(job->path), "%s%08x%08x", prefix,
		 (unsigned int)getpid(), (unsigned int)(0x5a000 + job_count));
	job->spec = spec;
	job->work_ms = work_ms;
	job_count++;
	world_unlock();
	return job;
}

bool world_hand_in(struct job *job)
{
	char *body = json_dumps(job->spec, JSON_COMPACT);

	for (int i = 0; i < 20 && !job->accepted; i++) {
		int node = i % world_options.nodes;

		if (nodes[node].stopped)
			continue;
		job->accepted =
			world_call(node, "POST", job->path, body).status /
				100 ==
			2;
		if (!job->accepted)
			world_sleep_ms(250);
	}
	free(body);
	return job->accepted;
}

struct job *world_submit(const char *prefix, json_t *spec,
			 uint32_t (*work_ms)(int step, int index))
{
	struct job *job = world_job_add(prefix, spec, work_ms);

	world_hand_in(job);
	return job;
}

/* Sends all requests at once, then closes the channels together. */
void world_submit_and_leave(int node, struct job *const *jobs, int count,
			    uint32_t leave_ms)
{
	int fds[WORLD_JOBS_MAX];

	for (int i = 0; i < count; i++) {
		char *body = json_dumps(jobs[i]->spec, JSON_COMPACT);
		char *request = request_create("POST", jobs[i]->path, body);

		fds[i] = client_connect(nodes[node].ip, front_port,
					CALL_TIMEOUT_MS);
		send(fds[i], request, strlen(request), MSG_NOSIGNAL);
		world_record("client: POST %s to process %d: %s", jobs[i]->path,
			     node, body);
		free(request);
		free(body);
	}
	world_sleep_ms(leave_ms);
	for (int i = 0; i < count; i++) {
		world_record("client: POST %s: leaves without an answer",
			     jobs[i]->path);
		close(fds[i]);
	}
}

struct answer world_state(const struct job *job)
{
	struct answer answer = { 0 };

	for (int i = 0; i < 12 && answer.status != 200 && answer.status != 410;
	     i++) {
		if (nodes[i % world_options.nodes].stopped)
			continue;
		answer = world_call(i % world_options.nodes, "GET", job->path,
				    NULL);
		if (answer.status != 200)
			world_sleep_ms(200);
	}
	return answer;
}

int world_owner(void)
{
	struct item *item;
	char *text;
	json_t *json;
	int found = -1;

	world_lock();
	item = item_get("/sassafrascart/jobs-owner");
	text = item ? unbase64(item->value) : strdup("");
	world_unlock();
	json = json_loads(text, 0, NULL);
	for (int i = 0; json && i < world_options.nodes; i++) {
		if (strcmp(nodes[i].ip, text_of(json, "ip")) == 0)
			found = i;
	}
	json_decref(json);
	free(text);
	return found;
}

void world_signal(int node, int signo)
{
	world_record("process %d gets signal %d", node, signo);
	if (signo == SIGKILL || signo == SIGTERM)
		nodes[node].stopped = true;
	kill(nodes[node].pid, signo);
}

void world_restart(int node)
{
	waitpid(nodes[node].pid, NULL, 0);
	world_record("process %d has ended", node);
	node_start(node);
	nodes[node].stopped = false;
}

/* Case */

static void processes_end(void)
{
	for (int i = 0; i < WORLD_NODES_MAX; i++) {
		if (nodes[i].pid <= 0)
			continue;
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
		nodes[i].pid = 0;
	}
}

/* Removes the temporary folder, unless KEEP_LOGS is set. */
static void temp_remove(void)
{
	static const char *const suffixes[] = { "conf", "log" };
	char path[512];

	if (getenv("KEEP_LOGS") || !temp_dir[0])
		return;
	for (int i = 0; i < WORLD_NODES_MAX; i++) {
		for (int j = 0; j < 2; j++) {
			snprintf(path, sizeof(path), "%s/node-%d.%s", temp_dir,
				 i + 1, suffixes[j]);
			unlink(path);
		}
	}
	rmdir(temp_dir);
}

void world_end(void)
{
	for (int i = 0; i < world_options.nodes; i++) {
		int status;

		if (nodes[i].pid > 0 && !nodes[i].stopped &&
		    waitpid(nodes[i].pid, &status, WNOHANG) > 0) {
			world_break("Fault", "process %d ended by itself, %x",
				    i, (unsigned int)status);
			nodes[i].pid = 0;
		}
	}
	processes_end();
	temp_remove();
	world_record("broken rules: %d", broken);
	printf("%s\n", broken ? "broken" : "held");
	exit(broken ? WORLD_BROKEN : WORLD_HELD);
}

void world_cannot_run(const char *why)
{
	world_record("cannot run: %s", why);
	fprintf(stderr, "cannot run: %s\n", why);
	processes_end();
	temp_remove();
	exit(WORLD_CANNOT_RUN);
}

static void on_signal(int signo)
{
	for (int i = 0; i < WORLD_NODES_MAX; i++) {
		if (nodes[i].pid > 0)
			kill(nodes[i].pid, SIGKILL);
	}
	_exit(WORLD_CANNOT_RUN);
	(void)signo;
}

void world_operator_put(const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	world_lock();
	world_record("operator: %s = %s", key, text);
	store_write(key, value);
	world_unlock();
	free(text);
}

void world_config(int version, const char *const *routes,
		  const char *const *services)
{
	json_t *route_rows = json_array();
	json_t *service_rows = json_array();

	config_routes = routes;
	for (; *routes; routes++) {
		char prefix[64];
		const char *equals = strchr(*routes, '=');
		json_t *row;

		snprintf(prefix, sizeof(prefix), "%.*s",
			 (int)(equals - *routes), *routes);
		row = json_pack("{s:s+, s:s, s:s, s:s, s:i, s:i, s:i, s:s, "
				"s:i, s:f}",
				"name", "r", prefix, "host", HOST, "prefix",
				prefix, "type", "unsafe", "timeout_ms", 3000,
				"slo_ms", 600, "priority", 0, "service",
				equals + 1, "attempts", 3, "stretch", 1.6);
		json_array_append_new(route_rows, row);
	}
	for (; *services; services++)
		json_array_append_new(
			service_rows,
			json_pack("{s:s, s:s, s:i, s:s, s:b, s:b, s:b}", "name",
				  *services, "health_path", "/healthz",
				  "max_conns", 64, "protocol", "h1", "tls", 0,
				  "enforces_capacity", world_options.guards,
				  "spare", 0));
	world_operator_put(
		"op/config",
		json_pack("{s:i, s:o, s:o, s:{s:i,s:i,s:i,s:i}}", "version",
			  version, "routes", route_rows, "services",
			  service_rows, "limits", "max_header_bytes", 16384,
			  "max_body_bytes", 262144, "header_timeout_ms", 3000,
			  "idle_timeout_ms", 15000));
}

static void workers_begin(void)
{
	for (int i = 0; i < world_options.workers; i++) {
		struct worker *w = &world_workers[i];

		snprintf(w->machine, sizeof(w->machine), "m-%03d", i);
		if (!w->label[0])
			snprintf(w->label, sizeof(w->label), "a");
		snprintf(w->rack, sizeof(w->rack), "r1-%d", i / 4);
		if (!w->service)
			w->service = "svc";
		w->cpu = world_options.worker_cpu;
		worker_begin(w);
	}
}

void world_start(void)
{
	unsigned int net = (unsigned int)getpid() % 200 + 20;
	const char *base = getenv("TMPDIR");
	uint64_t deadline_ms;
	pthread_t thread;
	int ready = 0;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	alarm(119);
	snprintf(temp_dir, sizeof(temp_dir), "%s/review-XXXXXX",
		 base ? base : "/tmp");
	if (!mkdtemp(temp_dir))
		world_cannot_run("no temporary folder");
	world_record("trouble: %d", world_trouble());
	if (getenv("KEEP_LOGS"))
		printf("logs in %s\n", temp_dir);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		connections[i].fd = -1;
	snprintf(store_ip, sizeof(store_ip), "127.%u.1.1", net);
	store_fd = listen_at(store_ip, &store_port);
	cloud_fd = listen_at(store_ip, &cloud_port);
	advice_fd = listen_at(store_ip, &advice_port);
	if (store_fd < 0 || cloud_fd < 0 || advice_fd < 0)
		world_cannot_run("no ports");
	workers_begin();
	for (int i = 0; i < world_options.nodes; i++)
		snprintf(nodes[i].ip, sizeof(nodes[i].ip), "127.%u.2.%d", net,
			 i + 1);
	front_port = free_port(nodes[0].ip);
	ready_port = free_port(nodes[0].ip);
	peer_port = free_port(nodes[0].ip) % 40000 + 10000;
	pthread_create(&thread, NULL, serve, NULL);
	for (int i = 0; i < world_options.nodes; i++) {
		snprintf(nodes[i].file, sizeof(nodes[i].file),
			 "%s/node-%d.conf", temp_dir, i + 1);
		node_file_write(i);
		node_start(i);
	}
	deadline_ms = world_now_ms() + READY_TIMEOUT_MS;
	while (ready < world_options.nodes && world_now_ms() < deadline_ms) {
		ready = 0;
		for (int i = 0; i < world_options.nodes; i++)
			ready += world_is_ready(i);
		world_sleep_ms(100);
	}
	if (ready < world_options.nodes)
		world_cannot_run("the processes are not ready");
	world_record("all processes are ready");
}

void world_worker_crash(int index, uint32_t down_ms)
{
	struct worker *w = &world_workers[index];
	char key[64];

	world_lock();
	world_record("worker %s on machine %s crashes", w->id, w->machine);
	snprintf(key, sizeof(key), "servers/%s", w->id);
	worker_kill(w);
	world_unlock();
	world_sleep_ms(down_ms);
	world_lock();
	/* The new life registers itself under an id of its own. */
	revision++;
	item_delete(key);
	watches_wake();
	worker_begin(w);
	world_unlock();
}

int world_worker_of(const char *task)
{
	int found = -1;

	world_lock();
	for (int i = 0; i < world_options.workers; i++) {
		if (world_workers[i].up && run_get(&world_workers[i], task))
			found = i;
	}
	world_unlock();
	return found;
}

void world_cut(int node, int worker)
{
	world_lock();
	cut[node][worker] = true;
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		struct connection *c = &connections[i];

		if (c->fd >= 0 && c->node == node &&
		    c->worker == &world_workers[worker])
			c->silent = true;
	}
	world_record("worker %s and process %d are cut off from each other",
		     world_workers[worker].id, node);
	world_unlock();
}

void world_cuts_heal(void)
{
	world_lock();
	memset(cut, 0, sizeof(cut));
	world_record("the cuts are healed");
	world_unlock();
}

void world_cut_at_intent(void)
{
	world_lock();
	cuts_at_intent = true;
	world_unlock();
}

int world_cut_node(void)
{
	int node;

	world_lock();
	node = cut_node;
	world_unlock();
	return node;
}

void world_node_heal(int node)
{
	world_lock();
	cut_nodes[node] = false;
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		if (connections[i].fd >= 0 && connections[i].node == node)
			connections[i].silent = false;
	}
	world_record("process %d is cut off no more", node);
	world_unlock();
}

void world_store_refuse(int node, bool refuse_it)
{
	world_lock();
	refused_nodes[node] = refuse_it;
	for (int i = 0; refuse_it && i < CONNECTIONS_MAX; i++) {
		struct connection *c = &connections[i];

		if (c->fd >= 0 && c->role == ROLE_STORE && c->node == node &&
		    c->waiting == WAITING_WATCH)
			respond(c, 503, NULL);
	}
	world_record("the store %s process %d",
		     refuse_it ? "turns away" : "serves", node);
	world_unlock();
}

static void channels_silence(enum role role, const char *peer)
{
	int count = 0;

	world_lock();
	for (int i = 0; i < CONNECTIONS_MAX; i++) {
		struct connection *c = &connections[i];

		if (c->fd < 0 || c->role != role || c->silent)
			continue;
		c->silent = true;
		count++;
	}
	world_record("the %d open channels to %s go silent", count, peer);
	world_unlock();
}

void world_store_silence(void)
{
	channels_silence(ROLE_STORE, "the store");
}

void world_workers_silence(void)
{
	channels_silence(ROLE_WORKER, "the workers");
}

int world_worker_channels(int index)
{
	int count = 0;

	world_lock();
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		count += connections[i].fd >= 0 &&
			 connections[i].worker == &world_workers[index];
	world_unlock();
	return count;
}

uint64_t world_last_end_ms(const char *task, const char **how)
{
	uint64_t last_ms = 0;

	world_lock();
	for (struct start *s = starts; s; s = s->next) {
		if (strcmp(s->task, task) != 0)
			continue;
		last_ms = s->end_ms;
		*how = s->how;
	}
	world_unlock();
	return last_ms;
}

uint64_t world_first_start_ms(const char *prefix)
{
	uint64_t first_ms = 0;

	world_lock();
	for (struct start *s = starts; s && first_ms == 0; s = s->next) {
		if (strncmp(s->task, prefix, strlen(prefix)) == 0)
			first_ms = s->at_ms;
	}
	world_unlock();
	return first_ms;
}

void world_check_twice(void)
{
	world_lock();
	for (struct start *a = starts; a; a = a->next) {
		for (struct start *b = a->next; b; b = b->next) {
			if (strcmp(a->task, b->task) != 0)
				continue;
			if (a->end_ms == 0 || b->at_ms < a->end_ms)
				world_break("TWICE",
					    "%s run %d on %s while run %d runs "
					    "on %s",
					    b->task, b->run, b->worker, a->run,
					    a->worker);
			else if (strcmp(a->how, "done") == 0 && a->acked)
				world_break("TWICE",
					    "%s run %d on %s though run %d "
					    "ended done on %s, and that end is "
					    "taken note of",
					    b->task, b->run, b->worker, a->run,
					    a->worker);
		}
	}
	world_unlock();
}

int world_count_running(const char *prefix)
{
	int count = 0;

	world_lock();
	for (int i = 0; i < world_options.workers; i++) {
		if (!world_workers[i].up)
			continue;
		for (struct run *r = world_workers[i].runs; r; r = r->next)
			count += strncmp(r->task, prefix, strlen(prefix)) == 0;
	}
	world_unlock();
	return count;
}

int world_count_done(const char *prefix)
{
	int count = 0;

	world_lock();
	for (struct start *s = starts; s; s = s->next)
		count += strncmp(s->task, prefix, strlen(prefix)) == 0 &&
			 strcmp(s->how, "done") == 0;
	world_unlock();
	return count;
}
