#include "backend_attempt.h"

#include <glib.h>
#include <string.h>

/* Response header by which a backend server announces that it is draining. */
#define BACKEND_HEADER_DRAINING "sassafrascart-leaving"

struct backend_attempt {
	struct http_client *client;
	struct http_client_call *call;
	char *ip;
	uint16_t port;
	/* the connection may have carried another request before */
	bool reused;
	char *request_id;
	backend_cb cb;
	void *data;
};

static const char *const hop_by_hop[] = {
	"connection",
	"keep-alive",
	"proxy-authenticate",
	"proxy-connection",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"content-length",
	"host",
	"expect",
};

bool backend_header_is_hop_by_hop(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++) {
		if (strcmp(name, hop_by_hop[i]) == 0)
			return true;
	}
	return false;
}

static enum backend_result
result_from(const struct backend_attempt *attempt, enum err_kind err, bool sent,
	    const struct http_client_response *response)
{
	const char *echoed;

	if (!sent)
		return BACKEND_NOT_SENT;
	if (err == ERR_TIMEOUT)
		return BACKEND_TIMEOUT;
	if (err == ERR_TOO_LARGE)
		return BACKEND_TOO_LARGE;
	if (err != ERR_NONE)
		return BACKEND_DISCONNECTED;
	echoed = http_client_response_header(response,
					     BACKEND_HEADER_REQUEST_ID);
	/*
	 * On a reused connection, a response without a request ID may belong to
	 * an earlier request.
	 */
	if (!echoed)
		return attempt->reused ? BACKEND_ID_MISMATCH : BACKEND_ANSWERED;
	return strcmp(echoed, attempt->request_id) == 0 ? BACKEND_ANSWERED
							: BACKEND_ID_MISMATCH;
}

/* Enables connection reuse only for servers that echo the request ID. */
static void reuse_update(const struct backend_attempt *attempt,
			 enum backend_result result,
			 const struct http_client_response *response)
{
	bool echoes = result == BACKEND_ANSWERED &&
		      http_client_response_header(response,
						  BACKEND_HEADER_REQUEST_ID);

	if (result == BACKEND_ANSWERED || result == BACKEND_ID_MISMATCH)
		http_client_set_reuse(attempt->client, attempt->ip,
				      attempt->port, echoes);
}

static void attempt_free(struct backend_attempt *attempt)
{
	g_free(attempt->ip);
	g_free(attempt->request_id);
	g_free(attempt);
}

static void on_call_end(void *data, enum err_kind err, bool sent,
			const struct http_client_response *response)
{
	struct backend_attempt *attempt = data;
	enum backend_result result = result_from(attempt, err, sent, response);
	bool draining = response && http_client_response_header(
					    response, BACKEND_HEADER_DRAINING);

	reuse_update(attempt, result, response);
	attempt->cb(attempt->data, result,
		    result == BACKEND_ANSWERED ? response : NULL, draining);
	attempt_free(attempt);
}

/* Headers listed in a Connection header are hop-by-hop (RFC 9110, 7.6.1). */
static bool
is_listed_in_connection_header(const struct backend_request *request,
			       const char *name)
{
	for (uint32_t i = 0; i < request->header_count; i++) {
		const struct http_client_header *header = &request->headers[i];
		g_auto(GStrv) words = NULL;

		if (strcmp(header->name, "connection") != 0)
			continue;
		words = g_strsplit(header->value, ",", -1);
		for (char **word = words; *word; word++) {
			if (g_ascii_strcasecmp(g_strstrip(*word), name) == 0)
				return true;
		}
	}
	return false;
}

static GArray *headers_build(const struct backend_request *request)
{
	GArray *headers =
		g_array_new(FALSE, FALSE, sizeof(struct http_client_header));
	struct http_client_header id = { BACKEND_HEADER_REQUEST_ID,
					 request->request_id };

	for (uint32_t i = 0; i < request->header_count; i++) {
		const struct http_client_header *header = &request->headers[i];

		if (backend_header_is_hop_by_hop(header->name) ||
		    strcmp(header->name, BACKEND_HEADER_REQUEST_ID) == 0 ||
		    is_listed_in_connection_header(request, header->name))
			continue;
		g_array_append_val(headers, *header);
	}
	g_array_append_val(headers, id);
	return headers;
}

struct backend_attempt *backend_attempt_start(
	struct http_client *client, const struct backend_target *target,
	const struct backend_request *request, backend_cb cb, void *data)
{
	struct backend_attempt *attempt = g_new0(struct backend_attempt, 1);
	g_autoptr(GArray) headers = headers_build(request);
	const struct http_client_request call = {
		.method = request->method,
		.path = request->target,
		.ip = target->ip,
		.port = target->port,
		.headers = (const struct http_client_header *)headers->data,
		.header_count = headers->len,
		.body = request->body,
		.body_len = request->body_bytes,
		.timeout_ms = target->timeout_ms,
		.connect_timeout_ms = target->connect_timeout_ms,
		.response_max_bytes = target->answer_max_bytes,
		.may_send = target->may_send,
		.may_send_data = target->may_send_data,
		.reuse_max = target->reuse_max,
	};

	attempt->client = client;
	attempt->ip = g_strdup(target->ip);
	attempt->port = target->port;
	attempt->reused =
		http_client_reuse_is_allowed(client, target->ip, target->port);
	attempt->request_id = g_strdup(request->request_id);
	attempt->cb = cb;
	attempt->data = data;
	attempt->call =
		http_client_call_start(client, &call, on_call_end, attempt);
	return attempt;
}

void backend_attempt_cancel(struct backend_attempt *attempt)
{
	if (!attempt)
		return;
	http_client_call_cancel(attempt->call);
	attempt_free(attempt);
}
