/**
 * @file member.h
 * @brief A member: one process of the system, its addresses and its
 * incarnation.
 *
 * Prefix: member_.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdint.h>

/** Size of the longest process identity with its terminating NUL. */
#define MEMBER_ID_BYTES 64
/** Size of the longest dotted IPv4 address with its terminating NUL. */
#define MEMBER_IP_BYTES 16

/** A process and how to reach it. */
struct member {
	char id[MEMBER_ID_BYTES];
	char ip[MEMBER_IP_BYTES];
	uint16_t http_port;
	uint16_t rpc_port;
	/**
	 * increases with each start; a process that was paused and resumed
	 * keeps it
	 */
	uint64_t incarnation;
};

#endif
