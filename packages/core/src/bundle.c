#include "bundle.h"

#include <string.h>

struct bundle *bundle_create_empty(void)
{
	struct bundle *bundle = g_new0(struct bundle, 1);

	bundle->refs = 1;
	return bundle;
}

struct bundle *bundle_ref(struct bundle *bundle)
{
	bundle->refs++;
	return bundle;
}

static void vm_clear(struct bundle_vm *vm)
{
	g_free(vm->name);
	g_free(vm->ip);
	g_free(vm->availability_zone);
	g_free(vm->rack);
}

static void pool_clear(struct bundle_pool *pool)
{
	g_free(pool->name);
	g_free(pool->vms);
}

static void wave_clear(struct bundle_wave *wave)
{
	g_free(wave->name);
	g_free(wave->pools);
}

static void bundle_free(struct bundle *bundle)
{
	for (uint32_t i = 0; i < bundle->vm_count; i++)
		vm_clear(&bundle->vms[i]);
	for (uint32_t i = 0; i < bundle->pool_count; i++)
		pool_clear(&bundle->pools[i]);
	for (uint32_t i = 0; i < bundle->route_count; i++)
		g_free(bundle->routes[i].path);
	for (uint32_t i = 0; i < bundle->wave_count; i++)
		wave_clear(&bundle->waves[i]);
	g_free(bundle->vms);
	g_free(bundle->pools);
	g_free(bundle->routes);
	g_free(bundle->waves);
	g_free(bundle->name);
	g_free(bundle->digest);
	g_free(bundle);
}

void bundle_unref(struct bundle *bundle)
{
	if (!bundle)
		return;
	g_assert(bundle->refs > 0);
	bundle->refs--;
	if (bundle->refs == 0)
		bundle_free(bundle);
}

uint32_t bundle_vm_find(const struct bundle *bundle, const char *name)
{
	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		if (strcmp(bundle->vms[i].name, name) == 0)
			return i;
	}
	return BUNDLE_INDEX_NONE;
}

uint32_t bundle_pool_find(const struct bundle *bundle, const char *name)
{
	for (uint32_t i = 0; i < bundle->pool_count; i++) {
		if (strcmp(bundle->pools[i].name, name) == 0)
			return i;
	}
	return BUNDLE_INDEX_NONE;
}

bool bundle_pool_allows(const struct bundle_pool *pool, uint32_t vm)
{
	for (uint32_t i = 0; i < pool->vm_count; i++) {
		if (pool->vms[i] == vm)
			return true;
	}
	return false;
}

static bool prefix_matches(const char *prefix, const char *path,
			   size_t path_len)
{
	size_t len = strlen(prefix);

	if (path_len < len || memcmp(prefix, path, len) != 0)
		return false;
	if (len > 0 && prefix[len - 1] == '/')
		return true;
	return path_len == len || path[len] == '/';
}

const struct bundle_route *bundle_route_match(const struct bundle *bundle,
					      const char *path, size_t path_len)
{
	const struct bundle_route *best = NULL;
	size_t best_len = 0;

	for (uint32_t i = 0; i < bundle->route_count; i++) {
		const struct bundle_route *route = &bundle->routes[i];
		size_t len = strlen(route->path);

		if (!prefix_matches(route->path, path, path_len))
			continue;
		if (!best || len > best_len) {
			best = route;
			best_len = len;
		}
	}
	return best;
}
