#include <glib.h>

#include "gossip_wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

static bool procedure_lookup(void *data, uint32_t xid, uint32_t *procedure)
{
	*procedure = *(const uint32_t *)data;
	return true;
}

/* Any message that was decoded must be encodable. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	static const uint32_t procedures[] = { PEER_HEARTBEAT, PEER_FETCH };
	static char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(procedures); i++) {
		struct gossip_wire_message message = { 0 };
		uint32_t procedure = procedures[i];

		if (gossip_wire_decode((const char *)bytes, len,
				       procedure_lookup, &procedure,
				       &message) == ERR_NONE)
			gossip_wire_encode(&message, buffer);
	}
	return 0;
}
