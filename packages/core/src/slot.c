#include "slot.h"

#include <string.h>
#include <xxhash.h>

uint64_t slot_key(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static uint64_t pair_hash(uint64_t subject, uint64_t member)
{
	const uint64_t pair[2] = { subject, member };

	return XXH3_64bits(pair, sizeof(pair));
}

uint32_t slot_owner_choose(uint64_t pool, const uint64_t *members,
			   uint32_t count)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < count; i++) {
		if (pair_hash(pool, members[i]) >
		    pair_hash(pool, members[best]))
			best = i;
	}
	return best;
}

uint32_t slot_static_share(const struct slot_vm *vm, const uint64_t *members,
			   uint32_t count, uint64_t self)
{
	uint64_t own = pair_hash(vm->key, self);
	uint32_t rank = 0;

	if (count == 0)
		return vm->slots;
	for (uint32_t i = 0; i < count; i++) {
		if (members[i] != self && pair_hash(vm->key, members[i]) > own)
			rank++;
	}
	return vm->slots / count + (rank < vm->slots % count ? 1 : 0);
}
