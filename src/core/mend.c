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

/* A later member has taken its name or address over: its disk is lost. */
static bool is_replaced(const struct mend_member *m, size_t n, size_t i,
			bool by_voter)
{
	for (size_t k = i + 1; k < n; k++)
		if ((m[k].voter || !by_voter) &&
		    (ss_str_eq(m[k].name, m[i].name) ||
		     ss_str_eq(m[k].addr, m[i].addr)))
			return !m[i].self;
	return false;
}

/* A voter that won't come back, or only under another identity. */
static bool is_lost(const struct mend_member *m, size_t n, size_t i)
{
	return m[i].voter && (is_dead(&m[i]) || is_replaced(m, n, i, false));
}

struct counts {
	size_t sound; /* voters that aren't lost */
	size_t ready; /* learners that may vote */
};

static struct counts count(const struct mend_member *m, size_t n, uint64_t last)
{
	struct counts c = { 0 };

	for (size_t i = 0; i < n; i++) {
		c.sound += m[i].voter && !is_lost(m, n, i);
		c.ready += may_vote(&m[i], last);
	}
	return c;
}

/*
 * An even number of voters bears no more losses than one less, and is without
 * a leader where a cut halves it. So a learner is kept as a spare rather than
 * promoted to make the number even. Lost voters don't count: they are dropped
 * once the spare has taken their place.
 */
static bool wants_voter(const struct counts *c)
{
	return c->ready && (c->sound < MEND_VOTERS_MIN || c->sound % 2 == 0 ||
			    c->ready > 1);
}

/* Of those that can't be heard, learners go first: they cost no majority. */
static bool find_gone(const struct mend_member *m, size_t n, size_t sound,
		      size_t *at)
{
	for (size_t i = 0; i < n; i++) {
		*at = i;
		if (!m[i].voter && is_dead(&m[i]))
			return true;
	}
	for (size_t i = 0; i < n && sound >= MEND_VOTERS_MIN; i++) {
		*at = i;
		if (is_lost(m, n, i))
			return true;
	}
	return false;
}

struct mend_step mend_next(const struct mend_member *m, size_t n, uint64_t last)
{
	struct counts c = count(m, n, last);
	size_t gone = 0;

	for (size_t i = 0; i < n && wants_voter(&c); i++)
		if (may_vote(&m[i], last))
			return (struct mend_step){ MEND_PROMOTE, i };
	for (size_t i = 0; i < n; i++)
		if (is_replaced(m, n, i, true))
			return (struct mend_step){ MEND_DROP, i };
	if (find_gone(m, n, c.sound, &gone))
		return (struct mend_step){ MEND_DROP, gone };
	return (struct mend_step){ MEND_NOTHING, 0 };
}
