#include "draining.h"

#include <glib.h>
#include <string.h>

/* Smaller changes of a time-to-live are due to message delay and ignored. */
#define DRAINING_TTL_SLACK_MS 5000
/* Maximum number of entries, as peers and lists supply the names. */
#define DRAINING_ENTRIES_MAX 4096

struct draining_set {
	/* VM name to struct entry */
	GHashTable *entries;
	/* the same entries, least recently announced first */
	GQueue order;
};

struct entry {
	char vm[DRAINING_NAME_BYTES];
	uint64_t expires_ms;
	uint64_t placement;
	GList link;
};

struct draining_set *draining_set_create(void)
{
	struct draining_set *set = g_new0(struct draining_set, 1);

	set->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&set->order);
	return set;
}

void draining_set_destroy(struct draining_set *set)
{
	if (!set)
		return;
	g_hash_table_unref(set->entries);
	g_free(set);
}

static void entry_remove(struct draining_set *set, struct entry *entry)
{
	g_queue_unlink(&set->order, &entry->link);
	g_hash_table_remove(set->entries, entry->vm);
}

static struct entry *entry_add(struct draining_set *set, const char *vm)
{
	struct entry *entry;

	if (set->order.length >= DRAINING_ENTRIES_MAX ||
	    strlen(vm) >= DRAINING_NAME_BYTES)
		return NULL;
	entry = g_new0(struct entry, 1);
	g_strlcpy(entry->vm, vm, sizeof(entry->vm));
	entry->link.data = entry;
	g_queue_push_tail_link(&set->order, &entry->link);
	g_hash_table_insert(set->entries, entry->vm, entry);
	return entry;
}

static bool entry_update(struct draining_set *set, const char *vm,
			 uint64_t placement, uint64_t expires_ms)
{
	struct entry *entry = g_hash_table_lookup(set->entries, vm);
	bool is_new = !entry;

	if (is_new)
		entry = entry_add(set, vm);
	if (!entry)
		return false;
	entry->placement = MAX(entry->placement, placement);
	entry->expires_ms = MAX(entry->expires_ms, expires_ms);
	return is_new;
}

bool draining_record(struct draining_set *set, const char *vm,
		     enum draining_source source, uint64_t placement,
		     uint64_t now_ms)
{
	/*
	 * The list lags: while it repeats an old signal, the placement number
	 * of that signal is kept.
	 */
	if (source == DRAINING_SOURCE_LIST && draining_contains(set, vm))
		placement = 0;
	return entry_update(set, vm, placement, now_ms + DRAINING_TTL_MS);
}

bool draining_merge_notice(struct draining_set *set,
			   const struct draining_notice *notice,
			   uint64_t serving_since, uint64_t now_ms)
{
	const struct entry *entry =
		g_hash_table_lookup(set->entries, notice->vm);
	uint64_t expires_ms = now_ms + MIN(notice->ttl_ms, DRAINING_TTL_MS);

	if (serving_since > notice->placement ||
	    notice->ttl_ms < DRAINING_TTL_SLACK_MS)
		return false;
	if (entry && expires_ms < entry->expires_ms + DRAINING_TTL_SLACK_MS &&
	    notice->placement <= entry->placement)
		return false;
	return entry_update(set, notice->vm, notice->placement, expires_ms);
}

bool draining_record_live(struct draining_set *set, const char *vm,
			  uint64_t serving_since)
{
	struct entry *entry = g_hash_table_lookup(set->entries, vm);

	if (!entry || serving_since <= entry->placement)
		return false;
	entry_remove(set, entry);
	return true;
}

bool draining_contains(const struct draining_set *set, const char *vm)
{
	return g_hash_table_contains(set->entries, vm);
}

void draining_expire(struct draining_set *set, uint64_t now_ms,
		     void (*cb)(void *data, const char *vm), void *data)
{
	GList *link = set->order.head;

	while (link) {
		struct entry *entry = link->data;

		link = link->next;
		if (entry->expires_ms > now_ms)
			continue;
		cb(data, entry->vm);
		entry_remove(set, entry);
	}
}

uint32_t draining_next_notices(struct draining_set *set,
			       struct draining_notice *out, uint32_t max,
			       uint64_t now_ms)
{
	uint32_t count = MIN(max, set->order.length);

	for (uint32_t i = 0; i < count; i++) {
		GList *link = g_queue_pop_head_link(&set->order);
		const struct entry *entry = link->data;

		g_strlcpy(out[i].vm, entry->vm, sizeof(out[i].vm));
		out[i].ttl_ms = entry->expires_ms > now_ms
					? (uint32_t)(entry->expires_ms - now_ms)
					: 0;
		out[i].placement = entry->placement;
		g_queue_push_tail_link(&set->order, link);
	}
	return count;
}

uint32_t draining_count(const struct draining_set *set)
{
	return set->order.length;
}
