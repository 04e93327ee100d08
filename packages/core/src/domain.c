#include "domain.h"

static uint32_t intern(GHashTable *names, const char *name)
{
	gpointer value;
	uint32_t index = g_hash_table_size(names);

	if (g_hash_table_lookup_extended(names, name, NULL, &value))
		return GPOINTER_TO_UINT(value);
	g_hash_table_insert(names, (gpointer)name, GUINT_TO_POINTER(index));
	return index;
}

struct domain_index *domain_index_create(const struct bundle *bundle)
{
	struct domain_index *index = g_new0(struct domain_index, 1);
	g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable) racks = g_hash_table_new(g_str_hash, g_str_equal);

	index->zone_of = g_new0(uint32_t, bundle->vm_count + 1);
	index->rack_of = g_new0(uint32_t, bundle->vm_count + 1);
	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		const struct bundle_vm *vm = &bundle->vms[i];

		index->zone_of[i] = intern(zones, vm->availability_zone);
		index->rack_of[i] = intern(racks, vm->rack);
	}
	index->zone_count = g_hash_table_size(zones);
	index->rack_count = g_hash_table_size(racks);
	return index;
}

void domain_index_destroy(struct domain_index *index)
{
	if (!index)
		return;
	g_free(index->zone_of);
	g_free(index->rack_of);
	g_free(index);
}
