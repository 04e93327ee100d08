#include "etcd_json.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* Responses of the platform: transactions, leases and the VM list. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	json_t *root = json_loadb((const char *)bytes, len, 0, NULL);
	struct etcd_json_result result;
	GArray *vms = NULL;
	uint32_t ttl_s;
	int64_t lease;

	if (!root)
		return 0;
	etcd_json_result_parse(root, &result);
	etcd_json_result_clear(&result);
	etcd_json_lease_parse(root, &lease, &ttl_s);
	etcd_json_vms_parse(root, &vms);
	g_clear_pointer(&vms, g_array_unref);
	json_decref(root);
	return 0;
}
