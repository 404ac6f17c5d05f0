/* Keeping a control group whole without an operator. */
#include "mend.h"

static bool is_dead(const struct mend_member *m)
{
	return !m->self && m->quiet_ms > MEND_DEAD_MS;
}

static bool may_vote(const struct mend_member *m, uint64_t last)
{
	return !m->voter && !is_dead(m) && m->match &&
	       m->match + MEND_CAUGHT_UP >= last;
}

/* A later voter has taken its name or address over: its disk is lost. */
static bool is_replaced(const struct mend_member *m, size_t n, size_t i)
{
	for (size_t k = i + 1; k < n; k++)
		if (m[k].voter && (ss_str_eq(m[k].name, m[i].name) ||
				   ss_str_eq(m[k].addr, m[i].addr)))
			return !m[i].self;
	return false;
}

/* Of those that can't be heard, learners go first: they cost no majority. */
static bool find_dead(const struct mend_member *m, size_t n, size_t *at)
{
	size_t alive = 0;
	bool found = false;

	for (size_t i = 0; i < n; i++) {
		alive += m[i].voter && !is_dead(&m[i]);
		if (!is_dead(&m[i]) || (found && m[i].voter))
			continue;
		*at = i;
		found = true;
	}
	return found && (!m[*at].voter || alive >= MEND_VOTERS_MIN);
}

struct mend_step mend_next(const struct mend_member *m, size_t n, uint64_t last)
{
	size_t dead = 0;

	for (size_t i = 0; i < n; i++)
		if (may_vote(&m[i], last))
			return (struct mend_step){ MEND_PROMOTE, i };
	for (size_t i = 0; i < n; i++)
		if (is_replaced(m, n, i))
			return (struct mend_step){ MEND_DROP, i };
	if (find_dead(m, n, &dead))
		return (struct mend_step){ MEND_DROP, dead };
	return (struct mend_step){ MEND_NOTHING, 0 };
}
