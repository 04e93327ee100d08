#include "own_private.h"

struct own_fleet {
	struct own_owner *owner;
};

struct own_fleet *own_fleet_create(struct own_owner *owner)
{
	struct own_fleet *fleet = g_new0(struct own_fleet, 1);

	fleet->owner = owner;
	return fleet;
}

void own_fleet_destroy(struct own_fleet *fleet)
{
	g_free(fleet);
}
