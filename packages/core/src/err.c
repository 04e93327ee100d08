#include "err.h"

#include <glib.h>

struct err_row {
	const char *name;
	const char *text;
	int exit_code;
	enum err_effect effect;
};

static const struct err_row err_table[ERR_KIND_COUNT] = {
	[ERR_NONE] = { "none", "The call succeeded.", 0, ERR_EFFECT_DONE },
	[ERR_USAGE] = { "usage", "The command line is not valid.", 2,
			ERR_EFFECT_NOT_DONE },
	[ERR_INVALID] = { "invalid", "A value is outside its allowed range.", 3,
			  ERR_EFFECT_NOT_DONE },
	[ERR_MALFORMED] = { "malformed", "The input cannot be parsed.", 4,
			    ERR_EFFECT_NOT_DONE },
	[ERR_NOT_FOUND] = { "not-found", "The object does not exist.", 5,
			    ERR_EFFECT_NOT_DONE },
	[ERR_EXISTS] = { "exists", "The object exists with other content.", 6,
			 ERR_EFFECT_NOT_DONE },
	[ERR_CONFLICT] = { "conflict", "A concurrent write was made first.", 7,
			   ERR_EFFECT_NOT_DONE },
	[ERR_STALE] = { "stale", "The state is older than the one in force.", 8,
			ERR_EFFECT_NOT_DONE },
	[ERR_UNSIGNED] = { "unsigned", "No valid signature by a trusted key.",
			   9, ERR_EFFECT_NOT_DONE },
	[ERR_BUDGET] = { "budget", "An availability budget does not allow it.",
			 10, ERR_EFFECT_NOT_DONE },
	[ERR_NO_CANDIDATE] = { "no-candidate", "No VM qualifies.", 11,
			       ERR_EFFECT_NOT_DONE },
	[ERR_NOT_MANAGER] = { "not-manager", "The manager lease is not held.",
			      12, ERR_EFFECT_NOT_DONE },
	[ERR_TOO_LARGE] = { "too-large", "A size limit is exceeded.", 13,
			    ERR_EFFECT_NOT_DONE },
	[ERR_TIMEOUT] = { "timeout", "No answer arrived in time.", 14,
			  ERR_EFFECT_UNKNOWN },
	[ERR_CONNECT] = { "connect", "No connection could be opened.", 15,
			  ERR_EFFECT_NOT_DONE },
	[ERR_CUT] = { "cut", "The connection broke before a whole answer.", 16,
		      ERR_EFFECT_UNKNOWN },
	[ERR_UNAVAILABLE] = { "unavailable", "The service refused the call.",
			      17, ERR_EFFECT_UNKNOWN },
	[ERR_RATE_LIMITED] = { "rate-limited",
			       "The process's own rate limit is reached.", 18,
			       ERR_EFFECT_NOT_DONE },
	[ERR_UNKNOWN_EFFECT] = { "unknown-effect",
				 "The write may or may not have happened.", 19,
				 ERR_EFFECT_UNKNOWN },
	[ERR_IO] = { "io", "A file or socket operation failed.", 20,
		     ERR_EFFECT_NOT_DONE },
	[ERR_CANCELLED] = { "cancelled", "The call was cancelled.", 21,
			    ERR_EFFECT_UNKNOWN },
	[ERR_PENDING] = { "pending",
			  "The write took effect but is not in force "
			  "everywhere yet.",
			  22, ERR_EFFECT_DONE },
	[ERR_NOT_READ] = { "not-read",
			   "The platform did not answer a read; nothing was "
			   "written.",
			   23, ERR_EFFECT_NOT_DONE },
};

static const struct err_row *err_row(enum err_kind kind)
{
	g_assert(kind < ERR_KIND_COUNT);
	return &err_table[kind];
}

const char *err_name(enum err_kind kind)
{
	return err_row(kind)->name;
}

const char *err_describe(enum err_kind kind)
{
	return err_row(kind)->text;
}

int err_exit_code(enum err_kind kind)
{
	return err_row(kind)->exit_code;
}

enum err_effect err_effect(enum err_kind kind)
{
	return err_row(kind)->effect;
}
