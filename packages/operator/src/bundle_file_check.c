#include <arpa/inet.h>
#include <string.h>

#include "bundle_file_private.h"

/* Arguments of the checks. */
struct checker {
	const struct bundle *bundle;
	const uint32_t *lines;
	struct bundle_file_errors *errors;
};

static uint32_t pool_line(const struct checker *checker, uint32_t pool)
{
	return checker->lines[checker->bundle->vm_count + pool];
}

static uint32_t route_line(const struct checker *checker, uint32_t route)
{
	return pool_line(checker, checker->bundle->pool_count + route);
}

static uint32_t wave_line(const struct checker *checker, uint32_t wave)
{
	return route_line(checker, checker->bundle->route_count + wave);
}

static void unique_check(const struct checker *checker, GHashTable *seen,
			 const char *key, uint32_t line, const char *field)
{
	if (!g_hash_table_add(seen, g_strdup(key)))
		bundle_file_errors_add(checker->errors, line, field,
				       "expected a unique value, found '%s' "
				       "again",
				       key);
}

static GHashTable *string_set_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void vms_check(const struct checker *checker)
{
	const struct bundle *bundle = checker->bundle;
	g_autoptr(GHashTable) names = string_set_create();
	g_autoptr(GHashTable) addresses = string_set_create();

	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		const struct bundle_vm *vm = &bundle->vms[i];
		g_autofree char *address =
			g_strdup_printf("%s:%u", vm->ip, vm->port);
		struct in_addr parsed;

		if (inet_pton(AF_INET, vm->ip, &parsed) != 1)
			bundle_file_errors_add(
				checker->errors, checker->lines[i], "vms.ip",
				"expected an IPv4 address, found "
				"'%s'",
				vm->ip);
		unique_check(checker, names, vm->name, checker->lines[i],
			     "vms.name");
		unique_check(checker, addresses, address, checker->lines[i],
			     "vms.ip and port");
	}
}

static uint32_t domain_count(const struct bundle *bundle,
			     const struct bundle_pool *pool)
{
	g_autoptr(GHashTable) domains = string_set_create();

	for (uint32_t i = 0; i < pool->vm_count; i++) {
		const struct bundle_vm *vm = &bundle->vms[pool->vms[i]];

		if (pool->survive == BUNDLE_SURVIVE_ZONE)
			g_hash_table_add(domains,
					 g_strdup(vm->availability_zone));
		else
			g_hash_table_add(domains,
					 g_strdup_printf("%s/%s",
							 vm->availability_zone,
							 vm->rack));
	}
	return g_hash_table_size(domains);
}

static void pool_check(const struct checker *checker, uint32_t index)
{
	const struct bundle_pool *pool = &checker->bundle->pools[index];
	uint32_t line = pool_line(checker, index);

	if (pool->floor_vms > pool->target_vms)
		bundle_file_errors_add(
			checker->errors, line, "pools.floor_vms",
			"expected at most target_vms (%u), found %u",
			pool->target_vms, pool->floor_vms);
	if (pool->target_vms > pool->vm_count)
		bundle_file_errors_add(checker->errors, line,
				       "pools.target_vms",
				       "expected at most the number of its VMs "
				       "(%u), found %u",
				       pool->vm_count, pool->target_vms);
	if (pool->survive != BUNDLE_SURVIVE_NONE &&
	    domain_count(checker->bundle, pool) < 2)
		bundle_file_errors_add(checker->errors, line, "pools.survive",
				       "expected VMs in at least two %s",
				       pool->survive == BUNDLE_SURVIVE_ZONE
					       ? "availability zones"
					       : "racks");
}

static void pools_check(const struct checker *checker)
{
	const struct bundle *bundle = checker->bundle;
	g_autoptr(GHashTable) names = string_set_create();
	uint32_t spares = 0;

	for (uint32_t i = 0; i < bundle->pool_count; i++) {
		unique_check(checker, names, bundle->pools[i].name,
			     pool_line(checker, i), "pools.name");
		pool_check(checker, i);
		if (bundle->pools[i].spare)
			spares++;
	}
	if (spares > 1)
		bundle_file_errors_add(
			checker->errors, 0, "pools.spare",
			"expected at most one spare pool, found %u", spares);
}

/* Returns true if sassafrascartd serves the path itself. */
static bool path_is_reserved(const char *path)
{
	static const char *const reserved[] = { "/healthz", "/metrics",
						"/status" };

	for (size_t i = 0; i < G_N_ELEMENTS(reserved); i++) {
		size_t len = strlen(reserved[i]);

		if (strncmp(path, reserved[i], len) == 0 &&
		    (path[len] == '\0' || path[len] == '/'))
			return true;
	}
	return false;
}

/* Request paths are normalised before routing, so they never match a route
 * whose path is not. */
static bool path_is_normalised(const char *path)
{
	return path[0] == '/' && !strpbrk(path, "?#%\\ ") &&
	       !strstr(path, "//") && !strstr(path, "/./") &&
	       !strstr(path, "/../") && !g_str_has_suffix(path, "/.") &&
	       !g_str_has_suffix(path, "/..");
}

static void routes_check(const struct checker *checker)
{
	const struct bundle *bundle = checker->bundle;
	g_autoptr(GHashTable) paths = string_set_create();

	for (uint32_t i = 0; i < bundle->route_count; i++) {
		const struct bundle_route *route = &bundle->routes[i];

		if (!path_is_normalised(route->path))
			bundle_file_errors_add(
				checker->errors, route_line(checker, i),
				"routes.path",
				"expected a normalised path that "
				"starts with '/', without query and "
				"escapes, found '%s'",
				route->path);
		if (path_is_reserved(route->path))
			bundle_file_errors_add(
				checker->errors, route_line(checker, i),
				"routes.path",
				"expected a path that sassafrascartd "
				"does not serve itself, found '%s'",
				route->path);
		unique_check(checker, paths, route->path,
			     route_line(checker, i), "routes.path");
	}
}

static void waves_check(const struct checker *checker)
{
	const struct bundle *bundle = checker->bundle;
	g_autoptr(GHashTable) names = string_set_create();

	for (uint32_t i = 0; i < bundle->wave_count; i++) {
		const struct bundle_wave *wave = &bundle->waves[i];

		unique_check(checker, names, wave->name, wave_line(checker, i),
			     "waves.name");
		if (wave->opens_minute == wave->closes_minute)
			bundle_file_errors_add(
				checker->errors, wave_line(checker, i),
				"waves.closes",
				"expected a time other than opens");
	}
}

void bundle_file_check(const struct bundle *bundle, const uint32_t *lines,
		       struct bundle_file_errors *errors)
{
	const struct checker checker = { bundle, lines, errors };

	vms_check(&checker);
	pools_check(&checker);
	routes_check(&checker);
	waves_check(&checker);
}
