#include "socket_state.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

static bool info_get(int fd, struct tcp_info *out)
{
	socklen_t len = sizeof(*out);

	memset(out, 0, sizeof(*out));
	return getsockopt(fd, IPPROTO_TCP, TCP_INFO, out, &len) == 0;
}

/* Unread bytes hide the end of the stream from a peek. */
static bool is_at_end(int fd)
{
	char byte;
	ssize_t received =
		recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

	return received == 0 ||
	       (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool socket_is_connected(int fd)
{
	struct tcp_info info;

	if (is_at_end(fd))
		return false;
	if (!info_get(fd, &info))
		return true;
	switch (info.tcpi_state) {
	case TCP_CLOSE:
	case TCP_CLOSE_WAIT:
	case TCP_LAST_ACK:
	case TCP_CLOSING:
	case TCP_TIME_WAIT:
		return false;
	default:
		return true;
	}
}

uint32_t socket_received_ago_ms(int fd)
{
	struct tcp_info info;

	return info_get(fd, &info) ? info.tcpi_last_data_recv : 0;
}
