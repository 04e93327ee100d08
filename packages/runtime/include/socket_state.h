/**
 * @file socket_state.h
 * @brief What the kernel knows of a TCP connection before the process reads it.
 *
 * Prefix: socket_. A process that was paused reads requests whose callers may
 * have left meanwhile.
 */
#ifndef SOCKET_STATE_H
#define SOCKET_STATE_H

#include <stdbool.h>
#include <stdint.h>

/** @brief Returns whether the peer has not closed or reset the connection, also
 *  if bytes that it sent before that have not been read yet. */
bool socket_is_connected(int fd);

/** @brief Returns the time since the last bytes arrived, read or not; 0 if the
 *  kernel does not say. */
uint32_t socket_received_ago_ms(int fd);

#endif
