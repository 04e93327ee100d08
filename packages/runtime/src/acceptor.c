#include "acceptor.h"

#include <errno.h>

#include "log.h"

/* Bounds the work per event, so that other sockets are not starved. */
#define ACCEPTOR_ACCEPTS_PER_EVENT 16
/* Longest pause for want of descriptors while no connection closes. */
#define ACCEPTOR_PAUSE_MS 20
/* Interval between warnings. */
#define ACCEPTOR_WARNING_MS 10000

struct acceptor {
	struct loop *loop;
	const struct acceptor_ops *ops;
	void *data;
	h2o_socket_t *listener;
	uint16_t port;
	bool paused;
	struct timer resume_timer;
	uint64_t pauses;
	/* when a pause was last logged, 0 for never */
	uint64_t warned_ms;
};

static bool error_is_transient(int error)
{
	return error == EAGAIN || error == EWOULDBLOCK || error == EINTR ||
	       error == ECONNABORTED || error == EPROTO;
}

static void on_error(struct acceptor *acceptor, int error)
{
	if (error_is_transient(error))
		return;
	acceptor_pause_exhausted(acceptor, g_strerror(error));
	if (acceptor->ops->on_exhausted)
		acceptor->ops->on_exhausted(acceptor->data);
}

static void on_readable(h2o_socket_t *listener, const char *err)
{
	struct acceptor *acceptor = listener->data;

	if (err)
		return;
	for (int i = 0; i < ACCEPTOR_ACCEPTS_PER_EVENT; i++) {
		h2o_socket_t *sock;

		if (acceptor->ops->may_accept &&
		    !acceptor->ops->may_accept(acceptor->data))
			return;
		errno = 0;
		sock = h2o_evloop_socket_accept(listener);
		if (!sock) {
			on_error(acceptor, errno);
			return;
		}
		acceptor->ops->on_accept(acceptor->data, sock);
	}
}

static void on_resume(void *data)
{
	struct acceptor *acceptor = data;

	acceptor->paused = false;
	h2o_socket_read_start(acceptor->listener, on_readable);
}

enum err_kind acceptor_create(struct loop *loop, const char *ip, uint16_t port,
			      const struct acceptor_ops *ops, void *data,
			      struct acceptor **out)
{
	struct acceptor *acceptor = g_new0(struct acceptor, 1);
	enum err_kind err = loop_listen(loop, ip, port, on_readable, acceptor,
					&acceptor->listener);

	if (err != ERR_NONE) {
		g_free(acceptor);
		return err;
	}
	acceptor->loop = loop;
	acceptor->ops = ops;
	acceptor->data = data;
	acceptor->port = loop_listen_port(acceptor->listener);
	acceptor->resume_timer.cb = on_resume;
	acceptor->resume_timer.data = acceptor;
	*out = acceptor;
	return ERR_NONE;
}

void acceptor_drain(struct acceptor *acceptor)
{
	h2o_socket_t *sock;

	while ((sock = h2o_evloop_socket_accept(acceptor->listener)))
		acceptor->ops->on_accept(acceptor->data, sock);
}

void acceptor_destroy(struct acceptor *acceptor)
{
	if (!acceptor)
		return;
	timer_cancel(&acceptor->resume_timer);
	h2o_socket_close(acceptor->listener);
	g_free(acceptor);
}

uint16_t acceptor_port(const struct acceptor *acceptor)
{
	return acceptor->port;
}

void acceptor_pause(struct acceptor *acceptor, uint32_t pause_ms)
{
	acceptor->paused = true;
	h2o_socket_read_stop(acceptor->listener);
	loop_timer_set(acceptor->loop, &acceptor->resume_timer, pause_ms);
}

void acceptor_pause_exhausted(struct acceptor *acceptor, const char *reason)
{
	uint64_t now_ms = loop_now_ms();

	acceptor_pause(acceptor, ACCEPTOR_PAUSE_MS);
	acceptor->pauses++;
	if (acceptor->warned_ms != 0 &&
	    now_ms - acceptor->warned_ms < ACCEPTOR_WARNING_MS)
		return;
	acceptor->warned_ms = now_ms;
	log_warning("accept-paused",
		    "port %u accepts no connections until one closes: %s; "
		    "pauses so far %" G_GUINT64_FORMAT,
		    (unsigned int)acceptor->port, reason, acceptor->pauses);
}

void acceptor_resume_soon(struct acceptor *acceptor)
{
	if (acceptor->paused)
		loop_timer_set(acceptor->loop, &acceptor->resume_timer, 0);
}

uint64_t acceptor_pause_count(const struct acceptor *acceptor)
{
	return acceptor->pauses;
}
