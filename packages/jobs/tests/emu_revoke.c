#include <string.h>

#include "election.h"
#include "emu_private.h"

void emu_store_revoke_ownership(struct emu *emu, uint32_t node)
{
	const struct emu_item *item = g_tree_lookup(emu->items, ELECTION_KEY);

	emu->last_fault_ms = loop_now_ms();
	if (item && strstr(item->value, emu->nodes[node].id))
		emu_store_lease_remove(emu, item->lease);
}

void emu_store_revoke_leases(struct emu *emu, uint32_t node)
{
	g_autoptr(GList) leases = g_hash_table_get_keys(emu->leases);

	emu->last_fault_ms = loop_now_ms();
	for (GList *at = leases; at; at = at->next) {
		int64_t id = *(int64_t *)at->data;
		const struct emu_lease *lease =
			g_hash_table_lookup(emu->leases, &id);

		if (lease->node == node)
			emu_store_lease_remove(emu, id);
	}
}

uint32_t emu_store_key_owner(const struct emu *emu)
{
	const struct emu_item *item = g_tree_lookup(emu->items, ELECTION_KEY);
	const struct emu_lease *lease =
		item ? g_hash_table_lookup(emu->leases, &item->lease) : NULL;

	return lease ? lease->node : EMU_NODES_MAX;
}
