/**
 * @file cel.h
 * @brief A cell that stands between an object and its calls in flight.
 *
 * Prefix: cel_. Calls hold the cell, not the object; the cell outlives the
 * object until the last call has ended.
 */
#ifndef CEL_H
#define CEL_H

/** The cell, opaque. */
struct cel_cell;

/** @brief Creates the cell of an object. */
struct cel_cell *cel_cell_create(void *object);

/** @brief Counts a call that begins. @return the cell, to hand to the call */
struct cel_cell *cel_enter(struct cel_cell *cell);

/** @brief Counts a call that ends. @return the object, NULL if it is gone */
void *cel_leave(struct cel_cell *cell);

/** @brief Parts from the object; frees the cell if no call is in flight. */
void cel_cell_close(struct cel_cell *cell);

#endif
