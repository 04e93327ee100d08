#include "fleet_record.h"
#include "stored_value.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static struct bundle *sample_bundle_create(void)
{
	struct bundle *bundle = bundle_create_empty();

	bundle->vms = g_new0(struct bundle_vm, 2);
	bundle->vm_count = 2;
	bundle->vms[0].name = g_strdup("a");
	bundle->vms[1].name = g_strdup("b");
	bundle->pools = g_new0(struct bundle_pool, 1);
	bundle->pool_count = 1;
	bundle->pools[0].name = g_strdup("p");
	bundle->waves = g_new0(struct bundle_wave, 1);
	bundle->wave_count = 1;
	bundle->waves[0].name = g_strdup("w");
	return bundle;
}

/* Values read from the platform's store. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	const char *text = (const char *)bytes;
	struct bundle *bundle = sample_bundle_create();
	struct placement *placement = NULL;
	struct fleet_record_intent *intent = NULL;
	struct maintenance_record wave = { 0 };
	struct member member;
	struct stored_head head;
	uint64_t number;

	stored_head_parse(text, len, &head);
	stored_number_parse(text, len, &number);
	stored_member_parse(text, len, &member);
	stored_placement_parse(text, len, bundle, &placement);
	placement_destroy(placement);
	fleet_record_intent_parse(text, len, &intent);
	fleet_record_intent_destroy(intent);
	fleet_record_wave_parse(text, len, bundle, &wave);
	bundle_unref(bundle);
	return 0;
}
