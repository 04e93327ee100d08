/**
 * @file throttle.h
 * @brief Throttles best-effort tasks by the tail latency of serving tasks.
 *
 * Prefix: throttle_. No I/O. A best-effort task slows down latency-sensitive
 * tasks on the same worker. It is throttled before they miss their latency
 * target, and is sped up again in smaller steps once latency allows.
 */
#ifndef THROTTLE_H
#define THROTTLE_H

#include <stdint.h>

/**
 * @brief Returns the rate at which a best-effort task should run.
 *
 * @param percent current rate, 0 (paused) to 100
 * @param tail_ms tail latency of the latency-sensitive task on the same worker
 * that is worst in relation to its target
 * @param target_ms latency target of that task, not 0
 * @return new rate, 0 to 100
 */
uint32_t throttle_next_percent(uint32_t percent, uint32_t tail_ms,
			       uint32_t target_ms);

#endif
