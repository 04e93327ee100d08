#include "cel.h"

#include <glib.h>
#include <stdint.h>

struct cel_cell {
	void *object;
	uint32_t calls;
};

struct cel_cell *cel_cell_create(void *object)
{
	struct cel_cell *cell = g_new0(struct cel_cell, 1);

	cell->object = object;
	return cell;
}

struct cel_cell *cel_enter(struct cel_cell *cell)
{
	cell->calls++;
	return cell;
}

void *cel_leave(struct cel_cell *cell)
{
	void *object = cell->object;

	g_assert(cell->calls > 0);
	if (--cell->calls == 0 && !object)
		g_free(cell);
	return object;
}

void cel_cell_close(struct cel_cell *cell)
{
	cell->object = NULL;
	if (cell->calls == 0)
		g_free(cell);
}
