/**
 * @file weak_ref.h
 * @brief A cell that stands between an object and its calls in flight.
 *
 * Prefix: weak_ref_. Calls hold the cell, not the object; the cell outlives the
 * object until the last call has ended.
 */
#ifndef WEAK_REF_H
#define WEAK_REF_H

/** The cell, opaque. */
struct weak_ref;

/** @brief Creates the cell of an object. */
struct weak_ref *weak_ref_create(void *object);

/** @brief Counts a call that begins. @return the cell, to hand to the call */
struct weak_ref *weak_ref_acquire(struct weak_ref *cell);

/** @brief Counts a call that ends. @return the object, NULL if it is gone */
void *weak_ref_release(struct weak_ref *cell);

/** @brief Parts from the object; frees the cell if no call is in flight. */
void weak_ref_invalidate(struct weak_ref *cell);

#endif
