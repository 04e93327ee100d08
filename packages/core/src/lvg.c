#include "lvg.h"

#include <glib.h>
#include <string.h>

/* Differences that are due to the way of a message; not worth a change. */
#define LVG_SLACK_MS 5000
/* Bound on names that peers and lists may add. */
#define LVG_MAX 4096

struct lvg_set {
	/* VM's name to its struct entry */
	GHashTable *entries;
	/* the same entries, oldest first */
	GQueue order;
};

struct entry {
	char vm[LVG_NAME_BYTES];
	uint64_t until_ms;
	uint64_t placement;
	GList link;
};

struct lvg_set *lvg_set_create(void)
{
	struct lvg_set *set = g_new0(struct lvg_set, 1);

	set->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&set->order);
	return set;
}

void lvg_set_destroy(struct lvg_set *set)
{
	if (!set)
		return;
	g_hash_table_unref(set->entries);
	g_free(set);
}

static void entry_remove(struct lvg_set *set, struct entry *entry)
{
	g_queue_unlink(&set->order, &entry->link);
	g_hash_table_remove(set->entries, entry->vm);
}

static struct entry *entry_add(struct lvg_set *set, const char *vm)
{
	struct entry *entry;

	if (set->order.length >= LVG_MAX || strlen(vm) >= LVG_NAME_BYTES)
		return NULL;
	entry = g_new0(struct entry, 1);
	g_strlcpy(entry->vm, vm, sizeof(entry->vm));
	entry->link.data = entry;
	g_queue_push_tail_link(&set->order, &entry->link);
	g_hash_table_insert(set->entries, entry->vm, entry);
	return entry;
}

static bool entry_set(struct lvg_set *set, const char *vm, uint64_t placement,
		      uint64_t until_ms)
{
	struct entry *entry = g_hash_table_lookup(set->entries, vm);
	bool is_new = !entry;

	if (is_new)
		entry = entry_add(set, vm);
	if (!entry)
		return false;
	entry->placement = MAX(entry->placement, placement);
	entry->until_ms = MAX(entry->until_ms, until_ms);
	return is_new;
}

bool lvg_signal(struct lvg_set *set, const char *vm, enum lvg_source source,
		uint64_t placement, uint64_t now_ms)
{
	/* A list that still says leaving does not outdate a newer placement. */
	if (source == LVG_SOURCE_LIST && lvg_has(set, vm))
		placement = 0;
	return entry_set(set, vm, placement, now_ms + LVG_HOLD_MS);
}

bool lvg_hear(struct lvg_set *set, const struct lvg_notice *notice,
	      uint64_t serving_since, uint64_t now_ms)
{
	const struct entry *entry =
		g_hash_table_lookup(set->entries, notice->vm);
	uint64_t until_ms = now_ms + MIN(notice->left_ms, LVG_HOLD_MS);

	if (serving_since > notice->placement || notice->left_ms < LVG_SLACK_MS)
		return false;
	if (entry && until_ms < entry->until_ms + LVG_SLACK_MS &&
	    notice->placement <= entry->placement)
		return false;
	return entry_set(set, notice->vm, notice->placement, until_ms);
}

bool lvg_listed_live(struct lvg_set *set, const char *vm,
		     uint64_t serving_since)
{
	struct entry *entry = g_hash_table_lookup(set->entries, vm);

	if (!entry || serving_since <= entry->placement)
		return false;
	entry_remove(set, entry);
	return true;
}

bool lvg_has(const struct lvg_set *set, const char *vm)
{
	return g_hash_table_contains(set->entries, vm);
}

void lvg_expire(struct lvg_set *set, uint64_t now_ms,
		void (*cb)(void *data, const char *vm), void *data)
{
	GList *link = set->order.head;

	while (link) {
		struct entry *entry = link->data;

		link = link->next;
		if (entry->until_ms > now_ms)
			continue;
		cb(data, entry->vm);
		entry_remove(set, entry);
	}
}

uint32_t lvg_notices(struct lvg_set *set, struct lvg_notice *out, uint32_t max,
		     uint64_t now_ms)
{
	uint32_t count = MIN(max, set->order.length);

	for (uint32_t i = 0; i < count; i++) {
		GList *link = g_queue_pop_head_link(&set->order);
		const struct entry *entry = link->data;

		g_strlcpy(out[i].vm, entry->vm, sizeof(out[i].vm));
		out[i].left_ms = entry->until_ms > now_ms
					 ? (uint32_t)(entry->until_ms - now_ms)
					 : 0;
		out[i].placement = entry->placement;
		g_queue_push_tail_link(&set->order, link);
	}
	return count;
}

uint32_t lvg_count(const struct lvg_set *set)
{
	return set->order.length;
}
