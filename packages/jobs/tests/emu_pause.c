#include "emu_private.h"

/* Something that reaches a process. */
struct emu_delivery {
	struct emu_node *node;
	void (*run)(void *data);
	void *data;
};

bool emu_node_is_paused(const struct emu_node *node)
{
	return node->alive && loop_now_ms() < node->paused_until_ms;
}

static void delivery_run(struct emu_delivery *delivery)
{
	delivery->run(delivery->data);
	g_free(delivery);
}

static void on_delivery(void *data)
{
	struct emu_delivery *delivery = data;

	if (emu_node_is_paused(delivery->node) ||
	    !g_queue_is_empty(&delivery->node->inbox))
		g_queue_push_tail(&delivery->node->inbox, delivery);
	else
		delivery_run(delivery);
}

void emu_schedule_at(struct emu_node *node, uint32_t delay_ms,
		     void (*run)(void *data), void *data)
{
	struct emu_delivery *delivery = g_new0(struct emu_delivery, 1);

	delivery->node = node;
	delivery->run = run;
	delivery->data = data;
	emu_schedule(node->emu, delay_ms, on_delivery, delivery);
}

void emu_node_read(struct emu_node *node)
{
	while (!g_queue_is_empty(&node->inbox))
		delivery_run(g_queue_pop_head(&node->inbox));
}

void emu_node_pause(struct emu *emu, uint32_t number, uint32_t ms,
		    bool timers_first)
{
	struct emu_node *node = &emu->nodes[number];

	g_assert(emu->config.pausable);
	node->paused_until_ms = MAX(node->paused_until_ms, loop_now_ms() + ms);
	node->timers_first = timers_first;
}

void emu_node_pause_if_due(struct emu_node *node)
{
	uint32_t ms = node->pause_at_start_ms;

	if (ms == 0 || node->starts_before_pause-- > 0)
		return;
	node->pause_at_start_ms = 0;
	emu_store_set_mode(node->emu, node->number, EMU_STORE_UNAVAILABLE);
	/* It reads nothing before the pass goes on. */
	emu_node_pause(node->emu, node->number, ms + 1, false);
	node->advance(node->emu, ms);
}

void emu_nodes_run(struct emu *emu)
{
	for (uint32_t i = 0; i < emu->config.nodes; i++) {
		struct emu_node *node = &emu->nodes[i];

		if (node->loop == emu->loop || emu_node_is_paused(node))
			continue;
		if (!node->timers_first)
			emu_node_read(node);
		timer_queue_run(loop_timers(node->loop), loop_now_ms());
		emu_node_read(node);
		node->timers_first = false;
	}
}

uint32_t emu_nodes_wait_ms(const struct emu *emu, uint32_t max_ms)
{
	for (uint32_t i = 0; i < emu->config.nodes; i++) {
		const struct emu_node *node = &emu->nodes[i];

		if (node->loop == emu->loop)
			continue;
		if (emu_node_is_paused(node))
			max_ms = (uint32_t)MIN(max_ms, node->paused_until_ms -
							       loop_now_ms());
		else
			max_ms = timer_queue_wait_ms(loop_timers(node->loop),
						     loop_now_ms(), max_ms);
	}
	return max_ms;
}
