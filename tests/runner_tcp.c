#include "runner_tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <lauxlib.h>
#include <netinet/in.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* tcp_open(port) -> descriptor of a new connection to a loopback port, which
 * may still be in progress */
static int binding_tcp_open(lua_State *lua)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	to.sin_port = htons((uint16_t)luaL_checkinteger(lua, 1));
	if (fd < 0)
		return luaL_error(lua, "cannot open a TCP socket");
	/* A failure is reported by the first send or receive. */
	(void)connect(fd, (struct sockaddr *)&to, sizeof(to));
	lua_pushinteger(lua, fd);
	return 1;
}

static int failure_push(lua_State *lua)
{
	lua_pushnil(lua);
	lua_pushstring(lua, strerror(errno));
	return 2;
}

/* tcp_send(descriptor, bytes) -> count of bytes sent, 0 if none can be sent
 * now; nil and a message if the connection is gone */
static int binding_tcp_send(lua_State *lua)
{
	size_t len;
	const char *bytes = luaL_checklstring(lua, 2, &len);
	ssize_t sent =
		send((int)luaL_checkinteger(lua, 1), bytes, len, MSG_NOSIGNAL);

	if (sent < 0 && errno != EAGAIN)
		return failure_push(lua);
	lua_pushinteger(lua, sent < 0 ? 0 : sent);
	return 1;
}

/* tcp_receive(descriptor) -> bytes, empty if none have arrived; nil and
 * "closed" if the peer ended the connection and had read all that was sent, nil
 * and another message if it is gone otherwise */
static int binding_tcp_receive(lua_State *lua)
{
	int fd = (int)luaL_checkinteger(lua, 1);
	char buffer[65536];
	ssize_t len = recv(fd, buffer, sizeof(buffer), 0);
	int err = 0;
	socklen_t size = sizeof(err);

	if (len < 0 && errno != EAGAIN)
		return failure_push(lua);
	if (len == 0) {
		/* Bytes that arrive after the end are answered with a reset,
		 * which recv() hides behind the end. */
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &size);
		errno = err;
		if (err != 0)
			return failure_push(lua);
		lua_pushnil(lua);
		lua_pushstring(lua, "closed");
		return 2;
	}
	lua_pushlstring(lua, buffer, len < 0 ? 0 : (size_t)len);
	return 1;
}

/* tcp_close(descriptor) */
static int binding_tcp_close(lua_State *lua)
{
	close((int)luaL_checkinteger(lua, 1));
	return 0;
}

void runner_tcp_register(lua_State *lua)
{
	lua_register(lua, "tcp_open", binding_tcp_open);
	lua_register(lua, "tcp_send", binding_tcp_send);
	lua_register(lua, "tcp_receive", binding_tcp_receive);
	lua_register(lua, "tcp_close", binding_tcp_close);
}
