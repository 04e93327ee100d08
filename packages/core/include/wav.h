/**
 * @file wav.h
 * @brief Maintenance waves: which VM is maintained next, and when to halt.
 *
 * Prefix: wav_. A wave takes the VMs of some pools one after another, spread
 * over availability zones, while its window is open. What a wave needs to go
 * on under another manager stands in its record and in the placement's rows.
 */
#ifndef WAV_H
#define WAV_H

#include <glib.h>

#include "pln.h"

/** Failed VMs that a record names; a wave halts long before. */
#define WAV_FAILED_MAX 32
/** VMs whose maintenance one step starts at most. */
#define WAV_STARTS_MAX 32

/** Where a wave stands. */
enum wav_status {
	WAV_STATUS_IDLE,
	WAV_STATUS_RUNNING,
	WAV_STATUS_HALTED,
	WAV_STATUS_DONE,
	WAV_STATUS_COUNT
};

/** Why a wave stands there or does not go on at the moment. */
enum wav_reason {
	WAV_REASON_NONE,
	/** the window is closed */
	WAV_REASON_WINDOW_CLOSED,
	/** as many VMs as allowed are under maintenance */
	WAV_REASON_MAX_PARALLEL,
	/** no VM left can be spared by its pool now */
	WAV_REASON_BUDGET,
	/** the VMs left are not serving or not fit */
	WAV_REASON_NOT_READY,
	/** too many VMs failed; a new roll lets the wave start again */
	WAV_REASON_MAX_FAILURES,
	/** each VM was maintained in this window */
	WAV_REASON_ALL_MAINTAINED,
	WAV_REASON_COUNT
};

/** What is kept of a wave. */
struct wav_record {
	/** roll under which it runs or halted */
	uint64_t roll;
	/** minute since 1970 (UTC) at which its window opened */
	uint64_t window_min;
	enum wav_status status;
	enum wav_reason reason;
	/** VMs maintained in this window, and VMs of the wave's pools */
	uint32_t maintained;
	uint32_t total;
	/** VMs (indexes of the bundle) that failed in this window */
	uint32_t failed[WAV_FAILED_MAX];
	uint32_t failed_count;
};

/** What a wave is decided from. */
struct wav_input {
	const struct bundle *bundle;
	/** index of the wave in the bundle */
	uint32_t wave;
	/** roll in force */
	uint64_t roll;
	/** minutes since 1970 (UTC) */
	uint64_t now_min;
	const struct pln_vm *vms;
	/** for each VM whether it is known to work, see bud_check() */
	const bool *fit;
};

/** @brief Returns the wire name of a status, such as "halted". */
const char *wav_status_name(enum wav_status status);

/** @brief Returns the stable name of a reason, such as "max-failures". */
const char *wav_reason_name(enum wav_reason reason);

/**
 * @brief Tells whether a wave's window is open.
 * @param opened_min filled with the minute at which it opened
 */
bool wav_window_is_open(const struct bundle_wave *wave, uint64_t now_min,
			uint64_t *opened_min);

/**
 * @brief Takes a wave one step further.
 *
 * Rows that it changes to draining carry PLC_REASON_WAVE; the caller records
 * an intent for each in the same write.
 *
 * @param view modified in place; changed rows carry number + 1
 * @param changes array of struct pln_change, appended to
 * @param record updated
 */
void wav_step(const struct wav_input *input, struct plc_view *view,
	      GArray *changes, struct wav_record *record);

/** @brief Puts a maintained VM back into service. */
void wav_vm_done(const struct bundle *bundle, struct plc_view *view,
		 uint32_t vm, uint64_t now_min, GArray *changes);

/** @brief Gives up the maintenance of a VM: it counts as failed. */
void wav_vm_give_up(struct plc_view *view, uint32_t vm, GArray *changes);

/** @brief Tells whether a VM is under maintenance. */
bool wav_vm_is_maintained(const struct plc_row *row);

/** @brief Tells whether a wave covers a VM by the pool that it stands in. */
bool wav_covers(const struct bundle_wave *wave, const struct plc_row *row);

/** @brief Tells whether two records say the same. */
bool wav_record_equals(const struct wav_record *a, const struct wav_record *b);

/** @brief Adds a failed VM to a record once. */
void wav_record_failure(struct wav_record *record, uint32_t vm);

#endif
