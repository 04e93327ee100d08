/**
 * @file resources.h
 * @brief Resources of workers, tasks and client accounts.
 *
 * Prefix: resources_. No I/O.
 */
#ifndef RESOURCES_H
#define RESOURCES_H

#include <stdint.h>

/** Resources that a worker or VM has, that a task needs or that an account may
 *  use. */
struct resources {
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t accelerators;
};

/** @brief Adds resources, the given number of times; negative subtracts. */
static inline void resources_add(struct resources *sum,
				 const struct resources *amount, int64_t times)
{
	sum->cpu_milli += times * amount->cpu_milli;
	sum->memory_mb += times * amount->memory_mb;
	sum->accelerators += times * amount->accelerators;
}

#endif
