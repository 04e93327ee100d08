/**
 * @file check_bundle.c
 * @brief Checks a bundle file and prints its pools.
 *
 * Usage: check_bundle FILE. Demonstrates bundle_file_parse(), which reports
 * errors with their line and field; a valid bundle is released by
 * bundle_unref(). Exits with 0 only if the bundle is valid.
 */
#include <inttypes.h>
#include <stdio.h>

#include "bundle_file.h"

static void errors_print(const char *file,
			 const struct bundle_file_errors *errors)
{
	for (uint32_t i = 0; i < bundle_file_errors_count(errors); i++) {
		const struct bundle_file_error *error =
			bundle_file_errors_get(errors, i);

		fprintf(stderr, "%s:%u: %s: %s\n", file, error->line,
			error->field, error->message);
	}
}

static void bundle_print(const struct bundle *bundle)
{
	printf("%s version %" PRIu64 ", %u VMs\n", bundle->name,
	       bundle->version, bundle->vm_count);
	for (uint32_t i = 0; i < bundle->pool_count; i++) {
		const struct bundle_pool *pool = &bundle->pools[i];

		printf("pool %s: %u VMs of %u allowed, floor %u%s\n",
		       pool->name, pool->target_vms, pool->vm_count,
		       pool->floor_vms, pool->spare ? ", spare" : "");
	}
}

int main(int argc, char **argv)
{
	g_autofree char *text = NULL;
	gsize len;
	struct bundle_file_errors *errors;
	struct bundle *bundle = NULL;
	enum err_kind err;

	if (argc != 2 || !g_file_get_contents(argv[1], &text, &len, NULL)) {
		fputs("usage: check_bundle FILE (must be readable)\n", stderr);
		return err_exit_code(ERR_USAGE);
	}
	errors = bundle_file_errors_create();
	err = bundle_file_parse(text, len, errors, &bundle);
	if (err == ERR_NONE)
		bundle_print(bundle);
	else
		fprintf(stderr, "%s: %s\n", argv[1], err_describe(err));
	errors_print(argv[1], errors);
	bundle_unref(bundle);
	bundle_file_errors_destroy(errors);
	return err_exit_code(err);
}
