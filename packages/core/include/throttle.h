/**
 * @file throttle.h
 * @brief Paces tasks that fill by the tail latency of tasks that serve.
 *
 * Prefix: throttle_. Pure. A task that fills slows down the tasks beside it
 * that serve users. It is slowed before their target is missed and let go on,
 * in smaller steps, once there is room again.
 */
#ifndef THROTTLE_H
#define THROTTLE_H

#include <stdint.h>

/**
 * @brief Returns the share at which the tasks that fill should work.
 *
 * @param percent share now, 0 to 100
 * @param tail_ms worst tail latency beside them against its target
 * @param target_ms that target, not 0
 */
uint32_t throttle_next_percent(uint32_t percent, uint32_t tail_ms,
			       uint32_t target_ms);

#endif
