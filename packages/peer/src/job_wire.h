/**
 * @file job_wire.h
 * @brief Encodes and decodes the records of the job channel.
 *
 * Prefix: job_wire_. No input or output, so that the decoder can be fuzzed.
 */
#ifndef JOB_WIRE_H
#define JOB_WIRE_H

#include <glib.h>

#include "jobs.h"
#include "peer_jobs.h"

/** Bytes of the mark before each record. */
#define JOB_WIRE_MARK_BYTES 4
/** Largest record: the largest specification and its frame. */
#define JOB_WIRE_RECORD_MAX_BYTES (PJB_SPEC_MAX + 4096)

/** A decoded record; exactly one of the two parts counts. */
struct job_wire_message {
	uint32_t xid;
	bool is_reply;
	struct pjb_call call;
	struct pjb_answer answer;
};

/** @brief Encodes a call with its mark. @return bytes, owned by the caller */
GByteArray *job_wire_call_encode(uint32_t xid, const struct jobs_call *call);

/** @brief Encodes a reply with its mark. @return bytes, owned by the caller */
GByteArray *job_wire_reply_encode(uint32_t xid,
				  const struct jobs_answer *answer);

/**
 * @brief Tells the size of the first record of a stream.
 * @param size filled with mark and record, on ERR_NONE
 * @return ERR_NONE, ERR_PENDING while the record is not whole,
 *         ERR_MALFORMED for a record that is split or too large
 */
enum err_kind job_wire_record_size(const char *bytes, size_t len, size_t *size);

/**
 * @brief Decodes a record without its mark.
 * @param out filled on ERR_NONE, to be cleared by job_wire_message_clear()
 * @return ERR_NONE or ERR_MALFORMED
 */
enum err_kind job_wire_decode(const char *record, size_t len,
			      struct job_wire_message *out);

/** @brief Frees the strings of a message. */
void job_wire_message_clear(struct job_wire_message *message);

#endif
