#include "weak_ref.h"

#include <glib.h>
#include <stdint.h>

struct weak_ref {
	void *object;
	uint32_t calls;
};

struct weak_ref *weak_ref_create(void *object)
{
	struct weak_ref *cell = g_new0(struct weak_ref, 1);

	cell->object = object;
	return cell;
}

struct weak_ref *weak_ref_acquire(struct weak_ref *cell)
{
	cell->calls++;
	return cell;
}

void *weak_ref_release(struct weak_ref *cell)
{
	void *object = cell->object;

	g_assert(cell->calls > 0);
	if (--cell->calls == 0 && !object)
		g_free(cell);
	return object;
}

void weak_ref_invalidate(struct weak_ref *cell)
{
	cell->object = NULL;
	if (cell->calls == 0)
		g_free(cell);
}
