#include "platform_client.h"

#include <string.h>

#include "platform_etcd.h"

static const struct platform_ops *const platform_adapters[] = {
	&platform_etcd_ops
};

struct platform {
	const struct platform_ops *ops;
	void *adapter;
	struct loop *loop;
	uint32_t rate_per_s;
	uint32_t rate_burst;
	uint64_t tokens_milli;
	uint64_t refilled_ms;
	uint64_t calls;
	uint64_t rate_limited;
	GQueue rejected_calls;
};

/* A call rejected by the rate limit; its callback runs from the event loop. */
struct rejected_call {
	struct platform *platform;
	struct timer timer;
	platform_cb cb;
	platform_lease_cb lease_cb;
	platform_vms_cb vms_cb;
	platform_action_cb action_cb;
	void *data;
};

static const struct platform_ops *adapter_ops_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(platform_adapters); i++) {
		if (strcmp(platform_adapters[i]->name, name) == 0)
			return platform_adapters[i];
	}
	return NULL;
}

bool platform_adapter_exists(const char *adapter)
{
	return adapter_ops_find(adapter) != NULL;
}

enum err_kind platform_create(struct loop *loop, const char *adapter,
			      const struct platform_config *config,
			      struct platform **out)
{
	const struct platform_ops *ops = adapter_ops_find(adapter);

	if (!ops)
		return ERR_NOT_FOUND;
	return platform_create_with_ops(loop, ops, config, out);
}

enum err_kind platform_create_with_ops(struct loop *loop,
				       const struct platform_ops *ops,
				       const struct platform_config *config,
				       struct platform **out)
{
	struct platform *platform;
	enum err_kind err;
	void *adapter;

	err = ops->create(loop, config, &adapter);
	if (err != ERR_NONE)
		return err;
	platform = g_new0(struct platform, 1);
	platform->ops = ops;
	platform->adapter = adapter;
	platform->loop = loop;
	platform->rate_per_s = config->rate_per_s;
	platform->rate_burst = config->rate_burst;
	platform->tokens_milli = (uint64_t)config->rate_burst * 1000;
	platform->refilled_ms = loop_now_ms();
	g_queue_init(&platform->rejected_calls);
	*out = platform;
	return ERR_NONE;
}

static void rejected_call_free(gpointer data)
{
	struct rejected_call *rejected = data;

	timer_cancel(&rejected->timer);
	g_free(rejected);
}

void platform_destroy(struct platform *platform)
{
	if (!platform)
		return;
	platform->ops->destroy(platform->adapter);
	g_queue_clear_full(&platform->rejected_calls, rejected_call_free);
	g_free(platform);
}

void platform_reconfigure(struct platform *platform,
			  const struct platform_config *config)
{
	platform->rate_per_s = config->rate_per_s;
	platform->rate_burst = config->rate_burst;
	if (platform->ops->reconfigure)
		platform->ops->reconfigure(platform->adapter, config);
}

static bool rate_limit_acquire(struct platform *platform)
{
	uint64_t now_ms = loop_now_ms();
	uint64_t max_tokens_milli = (uint64_t)platform->rate_burst * 1000;
	uint64_t gained_milli =
		(now_ms - platform->refilled_ms) * platform->rate_per_s;

	platform->refilled_ms = now_ms;
	platform->tokens_milli =
		MIN(platform->tokens_milli + gained_milli, max_tokens_milli);
	if (platform->tokens_milli < 1000) {
		platform->rate_limited++;
		return false;
	}
	platform->tokens_milli -= 1000;
	platform->calls++;
	return true;
}

static void on_rejected(void *data)
{
	struct rejected_call *rejected = data;

	g_queue_remove(&rejected->platform->rejected_calls, rejected);
	if (rejected->cb)
		rejected->cb(rejected->data, ERR_RATE_LIMITED, NULL);
	else if (rejected->lease_cb)
		rejected->lease_cb(rejected->data, ERR_RATE_LIMITED, 0, 0);
	else if (rejected->vms_cb)
		rejected->vms_cb(rejected->data, ERR_RATE_LIMITED, NULL, 0);
	else
		rejected->action_cb(rejected->data, ERR_RATE_LIMITED);
	rejected_call_free(rejected);
}

static void call_reject(struct platform *platform,
			const struct rejected_call *callbacks)
{
	struct rejected_call *rejected =
		g_memdup2(callbacks, sizeof(*callbacks));

	rejected->platform = platform;
	rejected->timer.cb = on_rejected;
	rejected->timer.data = rejected;
	g_queue_push_tail(&platform->rejected_calls, rejected);
	loop_timer_set(platform->loop, &rejected->timer, 0);
}

void platform_range(struct platform *platform, const char *key, bool prefix,
		    platform_cb cb, void *data)
{
	if (rate_limit_acquire(platform))
		platform->ops->range(platform->adapter, key, prefix, cb, data);
	else
		call_reject(platform,
			    &(struct rejected_call){ .cb = cb, .data = data });
}

void platform_watch(struct platform *platform, const char *prefix,
		    int64_t after_revision, uint32_t wait_ms, platform_cb cb,
		    void *data)
{
	if (rate_limit_acquire(platform))
		platform->ops->watch(platform->adapter, prefix, after_revision,
				     wait_ms, cb, data);
	else
		call_reject(platform,
			    &(struct rejected_call){ .cb = cb, .data = data });
}

void platform_txn(struct platform *platform, const struct platform_txn *txn,
		  platform_cb cb, void *data)
{
	if (rate_limit_acquire(platform))
		platform->ops->txn(platform->adapter, txn, cb, data);
	else
		call_reject(platform,
			    &(struct rejected_call){ .cb = cb, .data = data });
}

void platform_lease_grant(struct platform *platform, uint32_t ttl_s,
			  platform_lease_cb cb, void *data)
{
	if (rate_limit_acquire(platform))
		platform->ops->lease_grant(platform->adapter, ttl_s, cb, data);
	else
		call_reject(platform, &(struct rejected_call){ .lease_cb = cb,
							       .data = data });
}

void platform_lease_keep_alive(struct platform *platform, int64_t lease,
			       platform_lease_cb cb, void *data)
{
	if (rate_limit_acquire(platform))
		platform->ops->lease_keep_alive(platform->adapter, lease, cb,
						data);
	else
		call_reject(platform, &(struct rejected_call){ .lease_cb = cb,
							       .data = data });
}

void platform_lease_revoke(struct platform *platform, int64_t lease,
			   platform_lease_cb cb, void *data)
{
	if (rate_limit_acquire(platform))
		platform->ops->lease_revoke(platform->adapter, lease, cb, data);
	else
		call_reject(platform, &(struct rejected_call){ .lease_cb = cb,
							       .data = data });
}

void platform_vm_list(struct platform *platform, platform_vms_cb cb, void *data)
{
	if (rate_limit_acquire(platform))
		platform->ops->vm_list(platform->adapter, cb, data);
	else
		call_reject(platform, &(struct rejected_call){ .vms_cb = cb,
							       .data = data });
}

void platform_vm_action(struct platform *platform, const char *vm,
			enum platform_action action, const char *intent,
			platform_action_cb cb, void *data)
{
	if (rate_limit_acquire(platform))
		platform->ops->vm_action(platform->adapter, vm, action, intent,
					 cb, data);
	else
		call_reject(platform, &(struct rejected_call){ .action_cb = cb,
							       .data = data });
}

const char *platform_action_name(enum platform_action action)
{
	switch (action) {
	case PLATFORM_ACTION_DRAIN:
		return "drain";
	case PLATFORM_ACTION_REBOOT:
		return "reboot";
	case PLATFORM_ACTION_RESUME:
		break;
	}
	return "resume";
}

void platform_call_counts(const struct platform *platform, uint64_t *calls,
			  uint64_t *rate_limited)
{
	*calls = platform->calls;
	*rate_limited = platform->rate_limited;
}

const struct http_client_counts *
platform_byte_counts(const struct platform *platform)
{
	return platform->ops->counts(platform->adapter);
}
