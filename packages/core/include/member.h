/**
 * @file member.h
 * @brief A member: one process of the system and how to reach it.
 *
 * Prefix: mem_.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdint.h>

/** Largest identity of a process with its terminating zero. */
#define MEMBER_ID_BYTES 64
/** Largest dotted IPv4 address with its terminating zero. */
#define MEMBER_IP_BYTES 16

/** Where a process can be reached and which run of it this is. */
struct member {
	char id[MEMBER_ID_BYTES];
	char ip[MEMBER_IP_BYTES];
	uint16_t http_port;
	uint16_t rpc_port;
	/** grows with each start of the process; a resumed one keeps it */
	uint64_t incarnation;
};

#endif
