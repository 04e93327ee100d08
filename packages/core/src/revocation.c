#include "revocation.h"

#include <inttypes.h>
#include <stdio.h>

/* Part of the bound for which keys are accepted after a confirmation, in
 * permille. The rest covers clocks that are slow by some percent. */
#define REVOCATION_ACCEPT_PERMILLE 900
/* Age at which a confirmation is renewed, in permille of the bound: leaves time
 * for several reads that fail. */
#define REVOCATION_READ_PERMILLE 200

void revocation_confirm(struct revocation *revocation, uint64_t version,
			uint64_t sent_ms, uint64_t age_ms)
{
	if (version > revocation->version || age_ms >= sent_ms ||
	    sent_ms - age_ms <= revocation->confirmed_ms)
		return;
	revocation->confirmed_ms = sent_ms - age_ms;
}

uint32_t revocation_age_ms(const struct revocation *revocation, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - revocation->confirmed_ms;

	if (revocation->confirmed_ms == 0 || age_ms > UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)age_ms;
}

const char *revocation_age_text(const struct revocation *revocation,
				uint64_t now_ms,
				char out[static REVOCATION_AGE_TEXT_BYTES])
{
	uint32_t age_ms = revocation_age_ms(revocation, now_ms);

	if (age_ms == UINT32_MAX)
		snprintf(out, REVOCATION_AGE_TEXT_BYTES, "never");
	else
		snprintf(out, REVOCATION_AGE_TEXT_BYTES, "%" PRIu32 " ms ago",
			 age_ms);
	return out;
}

bool revocation_allows_keys(const struct revocation *revocation,
			    uint64_t now_ms)
{
	return revocation->bound_ms == 0 ||
	       revocation_age_ms(revocation, now_ms) <=
		       (uint64_t)revocation->bound_ms *
			       REVOCATION_ACCEPT_PERMILLE / 1000;
}

uint32_t revocation_read_in_ms(const struct revocation *revocation,
			       uint64_t now_ms)
{
	uint32_t due_ms = (uint32_t)((uint64_t)revocation->bound_ms *
				     REVOCATION_READ_PERMILLE / 1000);
	uint32_t age_ms = revocation_age_ms(revocation, now_ms);

	if (revocation->bound_ms == 0)
		return UINT32_MAX;
	return age_ms >= due_ms ? 0 : due_ms - age_ms;
}
