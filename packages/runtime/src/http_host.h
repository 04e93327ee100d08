/**
 * @file http_host.h
 * @brief An address of the HTTP client with its reusable connections.
 *
 * Prefix: http_host_.
 */
#ifndef HTTP_HOST_H
#define HTTP_HOST_H

#include "http_conn.h"

/** A connection with what tells it from the others to its address. */
struct http_host_conn {
	/** NULL for none */
	struct http_conn *conn;
	/** number of the connection, unique within its client */
	uint64_t number;
	/** calls with the same channel share it, see struct http_client_request
	 */
	uint64_t channel;
};

/** An address with reusable connections. */
struct http_host {
	uint64_t key;
	/** list of struct http_host_idle, most recently used first */
	GQueue idle;
	/** list of struct http_client_call, in flight over reusable
	 *  connections */
	GQueue calls;
	uint64_t last_used_ms;
};

/** @brief Creates an address. @param key see http_host_key() */
struct http_host *http_host_create(uint64_t key);

/** @brief Closes the idle connections and frees an address without calls in
 *  flight. */
void http_host_destroy(struct http_host *host);

/** @brief Returns the key of an address. */
uint64_t http_host_key(const char *ip, uint16_t port);

/** @brief Keeps a connection for reuse; takes ownership of it. */
void http_host_idle_add(struct http_host *host,
			const struct http_host_conn *conn);

/**
 * @brief Takes the most recently used connection of a channel that is open.
 *
 * @param number of the connection, 0 for any
 * @return the connection; its conn is NULL if there is none
 */
struct http_host_conn http_host_idle_acquire(struct http_host *host,
					     uint64_t channel, uint64_t number,
					     uint32_t idle_max_ms);

/** @brief Closes the idle connections that have carried nothing since a time.
 */
void http_host_idle_close(struct http_host *host, uint64_t since_ms);

/** @brief Closes the connections that were idle for too long. */
void http_host_idle_evict(struct http_host *host, uint32_t idle_max_ms);

/** @brief Handles the close of an idle connection by the server.
 *  @param data the callback data of the connection while it is idle */
void http_host_on_idle_close(void *data);

#endif
