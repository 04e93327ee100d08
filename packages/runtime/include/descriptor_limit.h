/**
 * @file descriptor_limit.h
 * @brief The process's limit on file descriptors.
 *
 * Prefix: descriptor_limit_.
 */
#ifndef DESCRIPTOR_LIMIT_H
#define DESCRIPTOR_LIMIT_H

#include <stdint.h>

/**
 * @brief Raises the soft limit to the hard limit.
 * @return the limit in force, 0 if it cannot be read
 */
uint64_t descriptor_limit_raise(void);

#endif
