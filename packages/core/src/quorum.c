#include "quorum.h"

#include <glib.h>
#include <string.h>

/* A peer's reply. */
struct vote {
	uint64_t asked_ms;
	uint64_t number;
};

struct quorum_votes {
	/* process's identity to struct vote */
	GHashTable *by_id;
};

void quorum_electorate_clear(struct quorum_electorate *electorate)
{
	g_clear_pointer(&electorate->members, g_strfreev);
	g_clear_pointer(&electorate->previous, g_strfreev);
	electorate->since_placement = 0;
}

void quorum_electorate_copy(const struct quorum_electorate *from,
			    struct quorum_electorate *to)
{
	to->since_placement = from->since_placement;
	to->members = g_strdupv(from->members);
	to->previous = g_strdupv(from->previous);
}

bool quorum_members_are_sorted(char **members)
{
	for (; members[0] && members[1]; members++) {
		if (strcmp(members[0], members[1]) >= 0)
			return false;
	}
	return true;
}

static bool majority_counts(char **members, quorum_member_cb cb, void *data)
{
	uint32_t counted = 0;
	uint32_t total = 0;

	for (; members[total]; total++) {
		if (cb(data, members[total]))
			counted++;
	}
	return 2 * counted > total;
}

bool quorum_electorate_has_majority(const struct quorum_electorate *electorate,
				    quorum_member_cb cb, void *data)
{
	if (!electorate->members)
		return true;
	return majority_counts(electorate->members, cb, data) &&
	       (!electorate->previous ||
		majority_counts(electorate->previous, cb, data));
}

bool quorum_electorate_next(const struct quorum_electorate *electorate,
			    char **members, bool confirmed, uint64_t number,
			    struct quorum_electorate *next)
{
	bool settled = !electorate->previous;

	if (!settled && !confirmed)
		return false;
	if (settled &&
	    (!members[0] ||
	     (electorate->members &&
	      g_strv_equal((const char *const *)members,
			   (const char *const *)electorate->members))))
		return false;
	next->since_placement = number;
	next->members = g_strdupv(settled ? members : electorate->members);
	next->previous = settled ? g_strdupv(electorate->members) : NULL;
	return true;
}

struct quorum_votes *quorum_votes_create(void)
{
	struct quorum_votes *votes = g_new0(struct quorum_votes, 1);

	votes->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return votes;
}

void quorum_votes_destroy(struct quorum_votes *votes)
{
	if (!votes)
		return;
	g_hash_table_unref(votes->by_id);
	g_free(votes);
}

void quorum_votes_record(struct quorum_votes *votes, const char *id,
			 uint64_t asked_ms, uint64_t number)
{
	struct vote *vote = g_hash_table_lookup(votes->by_id, id);

	if (!vote) {
		vote = g_new0(struct vote, 1);
		g_hash_table_insert(votes->by_id, g_strdup(id), vote);
	}
	if (asked_ms < vote->asked_ms)
		return;
	vote->asked_ms = asked_ms;
	vote->number = number;
}

static gboolean vote_is_old(gpointer id, gpointer value, gpointer data)
{
	const struct vote *vote = value;
	const uint64_t *before_ms = data;

	return vote->asked_ms < *before_ms;
}

void quorum_votes_drop_before(struct quorum_votes *votes, uint64_t before_ms)
{
	g_hash_table_foreach_remove(votes->by_id, vote_is_old, &before_ms);
}

static gint newest_first(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

static uint64_t members_confirmed_ms(const struct quorum_votes *votes,
				     char **members, const char *self,
				     uint64_t applied, uint64_t now_ms)
{
	g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (char **id = members; *id; id++) {
		const struct vote *vote =
			g_hash_table_lookup(votes->by_id, *id);
		uint64_t time_ms = 0;

		if (self && strcmp(*id, self) == 0)
			time_ms = now_ms;
		else if (vote && vote->number <= applied)
			time_ms = vote->asked_ms;
		g_array_append_val(times, time_ms);
	}
	/* A process alone does not confirm its own placement. */
	if (times->len == 0 ||
	    (times->len == 1 && g_strcmp0(members[0], self) == 0))
		return 0;
	g_array_sort(times, newest_first);
	return g_array_index(times, uint64_t, times->len / 2);
}

uint64_t quorum_votes_confirmed_ms(struct quorum_votes *votes,
				   const struct quorum_electorate *electorate,
				   const char *self, uint64_t applied,
				   uint64_t now_ms)
{
	uint64_t time_ms;

	if (!electorate->members)
		return 0;
	time_ms = members_confirmed_ms(votes, electorate->members, self,
				       applied, now_ms);
	if (!electorate->previous)
		return time_ms;
	return MIN(time_ms, members_confirmed_ms(votes, electorate->previous,
						 self, applied, now_ms));
}
