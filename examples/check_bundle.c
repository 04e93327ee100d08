/**
 * @file check_bundle.c
 * @brief Checks a bundle file and prints its pools.
 *
 * Usage: check_bundle FILE. Shows the use of bundle_file_parse(): mistakes come
 * with their line and field, and a bundle that was accepted is released by
 * bundle_unref(). Exits with 0 only for a bundle without mistakes.
 */
#include <inttypes.h>
#include <stdio.h>

#include "bundle_file.h"

static void mistakes_print(const char *file,
			   const struct bundle_file_errors *mistakes)
{
	for (uint32_t i = 0; i < bundle_file_errors_count(mistakes); i++) {
		const struct bundle_file_error *mistake =
			bundle_file_errors_get(mistakes, i);

		fprintf(stderr, "%s:%u: %s: %s\n", file, mistake->line,
			mistake->field, mistake->message);
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
	struct bundle_file_errors *mistakes;
	struct bundle *bundle = NULL;
	enum err_kind err;

	if (argc != 2 || !g_file_get_contents(argv[1], &text, &len, NULL)) {
		fputs("usage: check_bundle FILE, which can be read\n", stderr);
		return err_exit_code(ERR_USAGE);
	}
	mistakes = bundle_file_errors_create();
	err = bundle_file_parse(text, len, mistakes, &bundle);
	if (err == ERR_NONE)
		bundle_print(bundle);
	else
		fprintf(stderr, "%s: %s\n", argv[1], err_describe(err));
	mistakes_print(argv[1], mistakes);
	bundle_unref(bundle);
	bundle_file_errors_destroy(mistakes);
	return err_exit_code(err);
}
