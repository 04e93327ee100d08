/**
 * @file err.h
 * @brief Error kinds that calls return.
 *
 * Prefix: err_. An error kind describes a failure outside of the program;
 * programmer errors are asserted instead. One table maps each kind to its name,
 * to the exit code of sassafrasctl and to whether the call took effect.
 */
#ifndef ERR_H
#define ERR_H

/** Error kinds, see err_describe() for the meaning of each. */
enum err_kind {
	ERR_NONE,
	ERR_USAGE,
	ERR_INVALID,
	ERR_MALFORMED,
	ERR_NOT_FOUND,
	ERR_EXISTS,
	ERR_CONFLICT,
	ERR_STALE,
	ERR_UNSIGNED,
	ERR_BUDGET,
	ERR_NO_CANDIDATE,
	ERR_NOT_MANAGER,
	ERR_TOO_LARGE,
	ERR_TIMEOUT,
	ERR_CONNECT,
	ERR_CUT,
	ERR_UNAVAILABLE,
	ERR_RATE_LIMITED,
	ERR_UNKNOWN_EFFECT,
	ERR_IO,
	ERR_CANCELLED,
	ERR_PENDING,
	ERR_NOT_READ,
	ERR_KIND_COUNT
};

/** Whether a call that returned an error kind took effect. */
enum err_effect {
	ERR_EFFECT_DONE,
	ERR_EFFECT_NOT_DONE,
	ERR_EFFECT_UNKNOWN,
};

/**
 * @brief Returns the stable short name of a kind, such as "timeout".
 * @param kind any kind of the list
 * @return a constant string
 */
const char *err_name(enum err_kind kind);

/**
 * @brief Returns one English sentence that explains a kind.
 * @param kind any kind of the list
 * @return a constant string
 */
const char *err_describe(enum err_kind kind);

/**
 * @brief Returns the exit code that sassafrasctl uses for a kind.
 * @param kind any kind of the list
 * @return 0 for ERR_NONE, a fixed positive number for each other kind
 */
int err_exit_code(enum err_kind kind);

/**
 * @brief Returns whether a call that returned a kind took effect.
 * @param kind any kind of the list
 * @return done, not done or unknown
 */
enum err_effect err_effect(enum err_kind kind);

#endif
