#include "descriptor.h"

#include <glib.h>

/* Limit of a process where neither limit is known. */
#define DESCRIPTOR_DEFAULT_MAX 1024
/* Descriptors of a VM that are reserved for files. */
#define DESCRIPTOR_FILES 200
/* Reserve for listeners, event queues, the platform and peers. */
#define DESCRIPTOR_RESERVE 64
/* Share of small limits that the reserve takes at most. */
#define DESCRIPTOR_RESERVE_PERMILLE 400
/* Share of the descriptors beyond the reserve that callers get. */
#define DESCRIPTOR_CALLERS_BESIDE_WORKERS_PERMILLE 250
#define DESCRIPTOR_CALLERS_BESIDE_BACKENDS_PERMILLE 480
/* Probe connections of a port: share of all descriptors, and its bounds. */
#define DESCRIPTOR_PROBES_PERMILLE 10
#define DESCRIPTOR_PROBES_MIN 4
#define DESCRIPTOR_PROBES_MAX 32

static uint32_t share(uint32_t of, uint32_t permille)
{
	return (uint32_t)((uint64_t)of * permille / 1000);
}

uint32_t descriptor_sockets(uint64_t process_max, uint32_t vm_max)
{
	uint64_t sockets = MIN(process_max, UINT32_MAX);

	if (process_max == 0)
		sockets = vm_max > 0 ? vm_max : DESCRIPTOR_DEFAULT_MAX;
	if (vm_max > 0)
		sockets = MIN(sockets,
			      vm_max - MIN(DESCRIPTOR_FILES, vm_max / 2));
	return (uint32_t)sockets;
}

struct descriptor_plan descriptor_plan(uint32_t sockets,
				       enum descriptor_use use)
{
	uint32_t reserve = MIN(DESCRIPTOR_RESERVE,
			       share(sockets, DESCRIPTOR_RESERVE_PERMILLE));
	uint32_t permille =
		use == DESCRIPTOR_USE_WORKERS
			? DESCRIPTOR_CALLERS_BESIDE_WORKERS_PERMILLE
			: DESCRIPTOR_CALLERS_BESIDE_BACKENDS_PERMILLE;
	uint32_t callers = share(sockets - reserve, permille);

	return (struct descriptor_plan){
		.caller_connections = MAX(callers, 1),
		.probe_connections =
			CLAMP(share(sockets, DESCRIPTOR_PROBES_PERMILLE),
			      DESCRIPTOR_PROBES_MIN, DESCRIPTOR_PROBES_MAX),
	};
}
