#include "plt.h"

#include <string.h>

#include "plt_etcd.h"

static const struct plt_ops *const plt_adapters[] = { &plt_etcd_ops };

struct plt_platform {
	const struct plt_ops *ops;
	void *self;
	struct evl_loop *loop;
	uint32_t rate_per_s;
	uint32_t rate_burst;
	uint64_t tokens_milli;
	uint64_t refilled_ms;
	uint64_t calls;
	uint64_t rate_limited;
	GQueue refusals;
};

/* A call refused by the rate limit; its callback runs from the loop. */
struct plt_refusal {
	struct plt_platform *platform;
	struct tmr_entry timer;
	plt_cb cb;
	plt_lease_cb lease_cb;
	plt_vms_cb vms_cb;
	plt_action_cb action_cb;
	void *data;
};

static const struct plt_ops *adapter_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(plt_adapters); i++) {
		if (strcmp(plt_adapters[i]->name, name) == 0)
			return plt_adapters[i];
	}
	return NULL;
}

bool plt_adapter_exists(const char *adapter)
{
	return adapter_find(adapter) != NULL;
}

enum err_kind plt_platform_create(struct evl_loop *loop, const char *adapter,
				  const struct plt_config *config,
				  struct plt_platform **out)
{
	const struct plt_ops *ops = adapter_find(adapter);

	if (!ops)
		return ERR_NOT_FOUND;
	return plt_platform_create_with(loop, ops, config, out);
}

enum err_kind plt_platform_create_with(struct evl_loop *loop,
				       const struct plt_ops *ops,
				       const struct plt_config *config,
				       struct plt_platform **out)
{
	struct plt_platform *platform;
	enum err_kind err;
	void *self;

	err = ops->create(loop, config, &self);
	if (err != ERR_NONE)
		return err;
	platform = g_new0(struct plt_platform, 1);
	platform->ops = ops;
	platform->self = self;
	platform->loop = loop;
	platform->rate_per_s = config->rate_per_s;
	platform->rate_burst = config->rate_burst;
	platform->tokens_milli = (uint64_t)config->rate_burst * 1000;
	platform->refilled_ms = evl_now_ms();
	g_queue_init(&platform->refusals);
	*out = platform;
	return ERR_NONE;
}

static void refusal_free(gpointer data)
{
	struct plt_refusal *refusal = data;

	tmr_cancel(&refusal->timer);
	g_free(refusal);
}

void plt_platform_destroy(struct plt_platform *platform)
{
	if (!platform)
		return;
	platform->ops->destroy(platform->self);
	g_queue_clear_full(&platform->refusals, refusal_free);
	g_free(platform);
}

static bool rate_take(struct plt_platform *platform)
{
	uint64_t now_ms = evl_now_ms();
	uint64_t max_milli = (uint64_t)platform->rate_burst * 1000;
	uint64_t gained =
		(now_ms - platform->refilled_ms) * platform->rate_per_s;

	platform->refilled_ms = now_ms;
	platform->tokens_milli =
		MIN(platform->tokens_milli + gained, max_milli);
	if (platform->tokens_milli < 1000) {
		platform->rate_limited++;
		return false;
	}
	platform->tokens_milli -= 1000;
	platform->calls++;
	return true;
}

static void on_refusal(void *data)
{
	struct plt_refusal *refusal = data;

	g_queue_remove(&refusal->platform->refusals, refusal);
	if (refusal->cb)
		refusal->cb(refusal->data, ERR_RATE_LIMITED, NULL);
	else if (refusal->lease_cb)
		refusal->lease_cb(refusal->data, ERR_RATE_LIMITED, 0, 0);
	else if (refusal->vms_cb)
		refusal->vms_cb(refusal->data, ERR_RATE_LIMITED, NULL, 0);
	else
		refusal->action_cb(refusal->data, ERR_RATE_LIMITED);
	refusal_free(refusal);
}

static void refuse(struct plt_platform *platform,
		   const struct plt_refusal *model)
{
	struct plt_refusal *refusal = g_memdup2(model, sizeof(*model));

	refusal->platform = platform;
	refusal->timer.cb = on_refusal;
	refusal->timer.data = refusal;
	g_queue_push_tail(&platform->refusals, refusal);
	evl_timer_set(platform->loop, &refusal->timer, 0);
}

void plt_range(struct plt_platform *platform, const char *key, bool prefix,
	       plt_cb cb, void *data)
{
	if (rate_take(platform))
		platform->ops->range(platform->self, key, prefix, cb, data);
	else
		refuse(platform,
		       &(struct plt_refusal){ .cb = cb, .data = data });
}

void plt_watch(struct plt_platform *platform, const char *prefix,
	       int64_t after_revision, uint32_t wait_ms, plt_cb cb, void *data)
{
	if (rate_take(platform))
		platform->ops->watch(platform->self, prefix, after_revision,
				     wait_ms, cb, data);
	else
		refuse(platform,
		       &(struct plt_refusal){ .cb = cb, .data = data });
}

void plt_txn(struct plt_platform *platform, const struct plt_txn *txn,
	     plt_cb cb, void *data)
{
	if (rate_take(platform))
		platform->ops->txn(platform->self, txn, cb, data);
	else
		refuse(platform,
		       &(struct plt_refusal){ .cb = cb, .data = data });
}

void plt_lease_grant(struct plt_platform *platform, uint32_t ttl_s,
		     plt_lease_cb cb, void *data)
{
	if (rate_take(platform))
		platform->ops->lease_grant(platform->self, ttl_s, cb, data);
	else
		refuse(platform,
		       &(struct plt_refusal){ .lease_cb = cb, .data = data });
}

void plt_lease_keep_alive(struct plt_platform *platform, int64_t lease,
			  plt_lease_cb cb, void *data)
{
	if (rate_take(platform))
		platform->ops->lease_keep_alive(platform->self, lease, cb,
						data);
	else
		refuse(platform,
		       &(struct plt_refusal){ .lease_cb = cb, .data = data });
}

void plt_lease_revoke(struct plt_platform *platform, int64_t lease,
		      plt_lease_cb cb, void *data)
{
	if (rate_take(platform))
		platform->ops->lease_revoke(platform->self, lease, cb, data);
	else
		refuse(platform,
		       &(struct plt_refusal){ .lease_cb = cb, .data = data });
}

void plt_vm_list(struct plt_platform *platform, plt_vms_cb cb, void *data)
{
	if (rate_take(platform))
		platform->ops->vm_list(platform->self, cb, data);
	else
		refuse(platform,
		       &(struct plt_refusal){ .vms_cb = cb, .data = data });
}

void plt_vm_action(struct plt_platform *platform, const char *vm,
		   enum plt_action action, const char *intent, plt_action_cb cb,
		   void *data)
{
	if (rate_take(platform))
		platform->ops->vm_action(platform->self, vm, action, intent, cb,
					 data);
	else
		refuse(platform,
		       &(struct plt_refusal){ .action_cb = cb, .data = data });
}

const char *plt_action_name(enum plt_action action)
{
	switch (action) {
	case PLT_ACTION_DRAIN:
		return "drain";
	case PLT_ACTION_REBOOT:
		return "reboot";
	case PLT_ACTION_RESUME:
		break;
	}
	return "resume";
}

void plt_platform_counts(const struct plt_platform *platform, uint64_t *calls,
			 uint64_t *rate_limited)
{
	*calls = platform->calls;
	*rate_limited = platform->rate_limited;
}

const struct hcl_counts *plt_platform_bytes(const struct plt_platform *platform)
{
	return platform->ops->counts(platform->self);
}
