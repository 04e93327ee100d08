#include "emu_private.h"

/* A call in flight from one process to another. */
struct emu_peer_call {
	struct emu_node *from;
	struct emu_node *to;
	uint32_t from_incarnation;
	uint32_t to_incarnation;
	struct jobs_call call;
	char *queue;
	char *id;
	char *spec;
	struct jobs_answer answer;
	enum err_kind err;
	void (*cb)(void *data, enum err_kind err,
		   const struct jobs_answer *answer);
	void *data;
};

static void peer_answer_deliver(void *data)
{
	struct emu_peer_call *call = data;

	if (!call->from->alive ||
	    call->from->incarnation != call->from_incarnation)
		call->err = ERR_CUT;
	call->cb(call->data, call->err, &call->answer);
	g_free(call->queue);
	g_free(call->id);
	g_free(call->spec);
	g_free(call);
}

static void on_peer_served(void *data, const struct jobs_answer *answer)
{
	struct emu_peer_call *call = data;

	call->answer = *answer;
	if (!call->to->alive || call->to->incarnation != call->to_incarnation)
		call->err = ERR_CUT;
	emu_schedule_at(call->from, EMU_ONE_WAY_LATENCY_MS, peer_answer_deliver,
			call);
}

static void peer_call_deliver(void *data)
{
	struct emu_peer_call *call = data;

	if (!call->to->alive) {
		call->err = ERR_CONNECT;
		emu_schedule_at(call->from, EMU_ONE_WAY_LATENCY_MS,
				peer_answer_deliver, call);
		return;
	}
	call->to_incarnation = call->to->incarnation;
	jobs_call_forwarded(call->to->service, &call->call, on_peer_served,
			    call);
}

static void peer_send(void *self, const char *ip, uint16_t port,
		      const struct jobs_call *call,
		      void (*cb)(void *data, enum err_kind err,
				 const struct jobs_answer *answer),
		      void *data)
{
	struct emu_node *node = self;
	struct emu_peer_call *copy = g_new0(struct emu_peer_call, 1);

	copy->from = node;
	copy->from_incarnation = node->incarnation;
	copy->to = &node->emu->nodes[port - 1];
	copy->queue = g_strdup(call->queue);
	copy->id = g_strdup(call->id);
	copy->spec = g_strdup(call->spec);
	copy->call = *call;
	copy->call.queue = copy->queue;
	copy->call.id = copy->id;
	copy->call.spec = copy->spec;
	copy->cb = cb;
	copy->data = data;
	emu_schedule_at(copy->to, EMU_ONE_WAY_LATENCY_MS, peer_call_deliver,
			copy);
}

const struct jobs_peers emu_peers = { .send = peer_send };
