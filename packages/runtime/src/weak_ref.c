#include "weak_ref.h"

#include <glib.h>
#include <stdint.h>

struct weak_ref {
	void *object;
	uint32_t calls_in_flight;
};

struct weak_ref *weak_ref_create(void *object)
{
	struct weak_ref *ref = g_new0(struct weak_ref, 1);

	ref->object = object;
	return ref;
}

struct weak_ref *weak_ref_acquire(struct weak_ref *ref)
{
	ref->calls_in_flight++;
	return ref;
}

void *weak_ref_release(struct weak_ref *ref)
{
	void *object = ref->object;

	g_assert(ref->calls_in_flight > 0);
	if (--ref->calls_in_flight == 0 && !object)
		g_free(ref);
	return object;
}

void weak_ref_invalidate(struct weak_ref *ref)
{
	ref->object = NULL;
	if (ref->calls_in_flight == 0)
		g_free(ref);
}
