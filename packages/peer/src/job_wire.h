/**
 * @file job_wire.h
 * @brief Encodes and decodes the RPC records of the job service.
 *
 * Prefix: job_wire_. Performs no I/O, so that the decoder can be fuzzed.
 */
#ifndef JOB_WIRE_H
#define JOB_WIRE_H

#include <glib.h>

#include "job_rpc.h"
#include "peer_jobs.h"

/** Size of the record mark that precedes each record (RFC 5531, 11). */
#define JOB_WIRE_MARK_BYTES 4
/** Maximum size of a record: the largest job specification and its headers. */
#define JOB_WIRE_RECORD_MAX_BYTES (PJB_SPEC_MAX + 4096)

/** A decoded record: a reply if is_reply is set, else a call. */
struct job_wire_message {
	uint32_t xid;
	bool is_reply;
	struct pjb_call call;
	/** account of the call; name is NULL for none */
	struct pjb_account account;
	struct pjb_answer answer;
	/** age of the answering process's configuration; version 0 for none */
	struct pjb_confirmation confirmation;
};

/**
 * @brief Encodes a call with its record mark.
 * @param out set to the record on ERR_NONE, free with g_byte_array_unref()
 * @return ERR_NONE, or ERR_TOO_LARGE if a string does not fit the protocol
 */
enum err_kind job_wire_call_encode(uint32_t xid, const struct jobs_call *call,
				   GByteArray **out);

/** @brief Encodes a reply with its record mark; a longer reason is cut.
 *  @param confirmation age of the configuration, version 0 for none
 *  @return record, free with g_byte_array_unref() */
GByteArray *job_wire_reply_encode(uint32_t xid,
				  const struct jobs_answer *answer,
				  struct job_rpc_confirmation confirmation);

/**
 * @brief Returns the size of the first record of a byte stream.
 * @param size set to the size of record mark and record, on ERR_NONE
 * @return ERR_NONE, ERR_PENDING if the record is incomplete, ERR_MALFORMED if
 *         it has several fragments or is too large
 */
enum err_kind job_wire_record_size(const char *bytes, size_t len, size_t *size);

/**
 * @brief Decodes a record without its record mark.
 * @param out set on ERR_NONE; clear with job_wire_message_clear()
 * @return ERR_NONE or ERR_MALFORMED
 */
enum err_kind job_wire_decode(const char *record, size_t len,
			      struct job_wire_message *out);

/** @brief Frees the strings of a message. */
void job_wire_message_clear(struct job_wire_message *message);

#endif
