#include "http_host.h"

#include <arpa/inet.h>

/* A connection idle for less than this is reused without a check by recv():
 * idle timeouts of servers are far longer, and the loop reports a close. */
#define HTTP_HOST_CHECK_AFTER_IDLE_MS 50

/* An idle connection that can be reused. */
struct http_host_idle {
	struct http_host *host;
	struct http_host_conn conn;
	uint64_t idle_since_ms;
	GList link;
};

uint64_t http_host_key(const char *ip, uint16_t port)
{
	struct in_addr addr = { 0 };

	inet_pton(AF_INET, ip, &addr);
	return (uint64_t)addr.s_addr << 16 | port;
}

struct http_host *http_host_create(uint64_t key)
{
	struct http_host *host = g_new0(struct http_host, 1);

	host->key = key;
	host->last_used_ms = loop_now_ms();
	g_queue_init(&host->idle);
	g_queue_init(&host->calls);
	return host;
}

static void idle_close(struct http_host_idle *idle)
{
	g_queue_unlink(&idle->host->idle, &idle->link);
	http_conn_close(idle->conn.conn);
	g_free(idle);
}

void http_host_on_idle_close(void *data)
{
	idle_close(data);
}

void http_host_destroy(struct http_host *host)
{
	while (host->idle.head)
		idle_close(host->idle.head->data);
	g_free(host);
}

void http_host_idle_add(struct http_host *host,
			const struct http_host_conn *conn)
{
	struct http_host_idle *idle = g_new0(struct http_host_idle, 1);

	idle->host = host;
	idle->conn = *conn;
	idle->idle_since_ms = loop_now_ms();
	idle->link.data = idle;
	http_conn_set_callback_data(conn->conn, idle);
	g_queue_push_head_link(&host->idle, &idle->link);
}

static bool idle_matches(const struct http_host_idle *idle, uint64_t channel,
			 uint64_t number)
{
	return idle->conn.channel == channel &&
	       (number == 0 || idle->conn.number == number);
}

struct http_host_conn http_host_idle_acquire(struct http_host *host,
					     uint64_t channel, uint64_t number,
					     uint32_t idle_max_ms)
{
	GList *next;

	for (GList *at = host->idle.head; at; at = next) {
		struct http_host_idle *idle = at->data;
		uint64_t idle_ms = loop_now_ms() - idle->idle_since_ms;
		struct http_host_conn conn = idle->conn;

		next = at->next;
		if (!idle_matches(idle, channel, number))
			continue;
		if (idle_ms <= idle_max_ms &&
		    (idle_ms <= HTTP_HOST_CHECK_AFTER_IDLE_MS ||
		     http_conn_is_open(conn.conn))) {
			g_queue_unlink(&host->idle, &idle->link);
			g_free(idle);
			return conn;
		}
		idle_close(idle);
	}
	return (struct http_host_conn){ 0 };
}

void http_host_idle_close(struct http_host *host, uint64_t since_ms)
{
	GList *next;

	for (GList *at = host->idle.head; at; at = next) {
		struct http_host_idle *idle = at->data;

		next = at->next;
		if (idle->idle_since_ms <= since_ms)
			idle_close(idle);
	}
}

void http_host_idle_evict(struct http_host *host, uint32_t idle_max_ms)
{
	while (host->idle.tail) {
		struct http_host_idle *idle = host->idle.tail->data;

		if (loop_now_ms() - idle->idle_since_ms <= idle_max_ms)
			break;
		idle_close(idle);
	}
}
