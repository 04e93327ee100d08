#include "runner_udp.h"

#include <arpa/inet.h>
#include <lauxlib.h>
#include <netinet/in.h>
#include <stdint.h>
#include <sys/socket.h>

/* udp_open() -> descriptor, port of a new UDP socket on the loopback address */
static int binding_udp_open(lua_State *lua)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);

	if (bind(fd, (struct sockaddr *)&addr, len) != 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &len) != 0)
		return luaL_error(lua, "cannot open a UDP socket");
	lua_pushinteger(lua, fd);
	lua_pushinteger(lua, ntohs(addr.sin_port));
	return 2;
}

/* udp_receive(descriptor) -> the next queued datagram, or nil */
static int binding_udp_receive(lua_State *lua)
{
	char buffer[65536];
	ssize_t len =
		recv((int)luaL_checkinteger(lua, 1), buffer, sizeof(buffer), 0);

	if (len < 0)
		return 0;
	lua_pushlstring(lua, buffer, (size_t)len);
	return 1;
}

/* udp_send(descriptor, port, bytes): sends a datagram to a loopback port */
static int binding_udp_send(lua_State *lua)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	size_t len;
	const char *bytes = luaL_checklstring(lua, 3, &len);

	to.sin_port = htons((uint16_t)luaL_checkinteger(lua, 2));
	if (sendto((int)luaL_checkinteger(lua, 1), bytes, len, 0,
		   (struct sockaddr *)&to, sizeof(to)) < 0)
		return luaL_error(lua, "cannot send the datagram");
	return 0;
}

void runner_udp_register(lua_State *lua)
{
	lua_register(lua, "udp_open", binding_udp_open);
	lua_register(lua, "udp_receive", binding_udp_receive);
	lua_register(lua, "udp_send", binding_udp_send);
}
