/**
 * @file weak_ref.h
 * @brief Weak references from calls in flight to the object that made them.
 *
 * Prefix: weak_ref_. A callback holds the reference, not the object, and can
 * therefore detect that the object was freed before the call ended. The
 * reference stays allocated until the last call of the object has ended.
 */
#ifndef WEAK_REF_H
#define WEAK_REF_H

/** A weak reference that counts the calls in flight, opaque. */
struct weak_ref;

/** @brief Creates the reference of an object; see weak_ref_invalidate(). */
struct weak_ref *weak_ref_create(void *object);

/**
 * @brief Counts a call that starts.
 * @return the reference, to be passed as data to the callback of the call
 */
struct weak_ref *weak_ref_acquire(struct weak_ref *ref);

/**
 * @brief Counts a call that has ended; the last call frees the reference if its
 *        object was freed.
 * @return the object, NULL if it was freed
 */
void *weak_ref_release(struct weak_ref *ref);

/**
 * @brief Clears the reference when its object is freed; frees the reference
 * if no call is in flight.
 */
void weak_ref_invalidate(struct weak_ref *ref);

#endif
