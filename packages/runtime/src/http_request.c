#include "http_request.h"

/* Initial size of the buffer for the request line and headers. */
#define HTTP_REQUEST_HEAD_INITIAL_BYTES 512

static void header_append(GString *buffer, const char *name, const char *value)
{
	g_string_append(buffer, name);
	g_string_append_len(buffer, ": ", 2);
	g_string_append(buffer, value);
	g_string_append_len(buffer, "\r\n", 2);
}

static void host_header_append(GString *buffer,
			       const struct http_client_request *request)
{
	char port[8];

	g_snprintf(port, sizeof(port), ":%u", (unsigned int)request->port);
	g_string_append(buffer, "host: ");
	g_string_append(buffer, request->ip);
	g_string_append(buffer, port);
	g_string_append_len(buffer, "\r\n", 2);
}

GString *http_request_encode(const struct http_client_request *request,
			     bool reuse)
{
	GString *buffer = g_string_sized_new(HTTP_REQUEST_HEAD_INITIAL_BYTES +
					     request->body_len);
	char length[24];

	g_string_append(buffer, request->method);
	g_string_append_c(buffer, ' ');
	g_string_append(buffer, request->path);
	g_string_append(buffer, " HTTP/1.1\r\n");
	host_header_append(buffer, request);
	for (size_t i = 0; i < request->header_count; i++)
		header_append(buffer, request->headers[i].name,
			      request->headers[i].value);
	g_snprintf(length, sizeof(length), "%zu", request->body_len);
	header_append(buffer, "content-length", length);
	if (!reuse)
		header_append(buffer, "connection", "close");
	g_string_append_len(buffer, "\r\n", 2);
	if (request->body_len > 0)
		g_string_append_len(buffer, request->body,
				    (gssize)request->body_len);
	return buffer;
}
