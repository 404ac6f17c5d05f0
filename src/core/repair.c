/* Membership repair of the control group. */
#include "repair.h"

static bool is_dead(const struct repair_member *m)
{
	return !m->self && m->quiet_ms > REPAIR_DEAD_MS;
}

/*
 * Returns true if a later member has the same name or address: this one lost
 * its disk. The leader itself is never replaced. by_voter: only a later voter
 * counts.
 */
static bool is_replaced(const struct repair_member *m, size_t n, size_t i,
			bool by_voter)
{
	for (size_t k = i + 1; k < n; k++)
		if ((m[k].voter || !by_voter) &&
		    (ss_str_eq(m[k].name, m[i].name) ||
		     ss_str_eq(m[k].addr, m[i].addr)))
			return !m[i].self;
	return false;
}

/* Returns true for a learner that can vote from now on. */
static bool is_ready(const struct repair_member *m, size_t n, size_t i,
		     uint64_t last)
{
	return !m[i].voter && !m[i].leaving &&
	       m[i].quiet_ms <= REPAIR_READY_MS && m[i].match &&
	       m[i].match + REPAIR_MAX_LAG >= last &&
	       !is_replaced(m, n, i, false);
}

/* Returns true for a voter in a planned stop that still answers. */
static bool is_leaving(const struct repair_member *m)
{
	return m->voter && !m->self && m->leaving &&
	       m->quiet_ms <= REPAIR_READY_MS;
}

/* Returns true for a voter that a ready learner is to replace: it won't return,
 * or nobody knows whether it will. */
static bool is_lost(const struct repair_member *m, size_t n, size_t i)
{
	if (!m[i].voter || m[i].self)
		return false;
	return m[i].quiet_ms > REPAIR_SUSPECT_MS ||
	       (m[i].leaving && !is_leaving(&m[i])) ||
	       is_replaced(m, n, i, false);
}

struct repair_counts repair_count(const struct repair_member *m, size_t n,
				  uint64_t last)
{
	struct repair_counts c = { 0 };

	for (size_t i = 0; i < n; i++) {
		c.voters += m[i].voter;
		c.lost += is_lost(m, n, i);
		c.leaving += is_leaving(&m[i]) && !is_lost(m, n, i);
		c.learners += !m[i].voter;
		c.ready += is_ready(m, n, i, last);
	}
	return c;
}

/* Returns how many more losses the voters bear; negative: they have no
 * majority. */
static int bearable_losses(size_t voters, size_t healthy)
{
	return (int)healthy - (int)(voters / 2 + 1);
}

/*
 * Returns true if a lost voter is to be removed. It leaves before its successor
 * gets a vote: without it the group bears as many further losses as with it,
 * while a successor that is lost again would otherwise leave two voters that
 * can't vote. Without a successor it leaves where the others bear more losses
 * by themselves, or once it is dead.
 */
static bool is_removable(const struct repair_member *m, size_t n, size_t i,
			 const struct repair_counts *c)
{
	size_t healthy = c->voters - c->lost;

	if (is_replaced(m, n, i, true))
		return true;
	if (!is_lost(m, n, i))
		return false;
	if (c->ready || bearable_losses(healthy, healthy) >
				bearable_losses(c->voters, healthy))
		return true;
	return healthy >= REPAIR_MIN_VOTERS && is_dead(&m[i]);
}

/* Finds a member to remove; learners first, as they cost no majority. */
static bool find_removable(const struct repair_member *m, size_t n,
			   const struct repair_counts *c, size_t *at)
{
	for (*at = 0; *at < n; ++*at)
		if (!m[*at].voter &&
		    (is_dead(&m[*at]) || is_replaced(m, n, *at, false)))
			return true;
	for (*at = 0; *at < n; ++*at)
		if (m[*at].voter && is_removable(m, n, *at, c))
			return true;
	return false;
}

/*
 * An even number of voters tolerates no more losses than one voter less, and a
 * partition into equal halves leaves it without a leader. So a learner stays a
 * spare if promoting it would make the number even.
 */
static bool needs_voter(const struct repair_counts *c)
{
	size_t staying = c->voters - c->lost - c->leaving;

	return c->ready && (staying < REPAIR_MIN_VOTERS || staying % 2 == 0 ||
			    c->ready > 1);
}

/*
 * Returns true if a voter in a planned stop is to be removed: enough others
 * stay, they bear more losses without it, and can commit its removal. Its
 * successor is promoted first, so that the group bears the next loss at any
 * time.
 */
static bool is_releasable(const struct repair_counts *c)
{
	size_t answering = c->voters - c->lost;
	size_t staying = answering - c->leaving;

	return staying >= REPAIR_MIN_VOTERS &&
	       bearable_losses(staying, staying) >
		       bearable_losses(c->voters, staying) &&
	       bearable_losses(c->voters - 1, answering - 1) >= 0;
}

static bool find_releasable(const struct repair_member *m, size_t n,
			    const struct repair_counts *c, size_t *at)
{
	if (!is_releasable(c))
		return false;
	for (*at = 0; *at < n; ++*at)
		if (is_leaving(&m[*at]))
			return true;
	return false;
}

struct repair_step repair_next(const struct repair_member *m, size_t n,
			       uint64_t last)
{
	struct repair_counts c = repair_count(m, n, last);
	size_t at;

	if (find_removable(m, n, &c, &at))
		return (struct repair_step){ REPAIR_REMOVE, at };
	for (at = 0; at < n && needs_voter(&c); at++)
		if (is_ready(m, n, at, last))
			return (struct repair_step){ REPAIR_PROMOTE, at };
	if (find_releasable(m, n, &c, &at))
		return (struct repair_step){ REPAIR_REMOVE, at };
	return (struct repair_step){ REPAIR_NONE, 0 };
}

/* Returns true for a learner that can vote, or may soon be able to. */
static bool is_successor(const struct repair_member *m)
{
	return !m->voter && !m->leaving && m->quiet_ms <= REPAIR_READY_MS;
}

/* Returns the voters that may be gone, though they don't count as lost: a new
 * leader has heard nothing from them yet, and not of a planned stop either. */
static size_t count_unheard(const struct repair_member *m, size_t n)
{
	size_t unheard = 0;

	for (size_t i = 0; i < n; i++)
		unheard += m[i].voter && !m[i].self && !m[i].match &&
			   !m[i].leaving && !is_lost(m, n, i);
	return unheard;
}

bool repair_may_end(const struct repair_member *m, size_t n, uint64_t id,
		    uint64_t last)
{
	struct repair_counts c = repair_count(m, n, last);
	size_t staying;
	bool votes = false, successor = false;

	c.lost += count_unheard(m, n);
	staying = c.voters - c.lost - c.leaving;
	for (size_t i = 0; i < n; i++) {
		votes |= m[i].id == id && m[i].voter;
		successor |= is_successor(&m[i]);
	}
	return !votes || (!successor && !is_releasable(&c) &&
			  bearable_losses(c.voters, staying) >= 0);
}

void repair_members(const struct ss_raft *r, uint64_t self,
		    struct repair_member *out)
{
	const struct ss_raft_members *all = ss_raft_members(r);

	for (size_t i = 0; i < all->n; i++)
		out[i] = (struct repair_member){
			.id = all->m[i].id,
			.name = all->m[i].name,
			.addr = all->m[i].addr,
			.voter = all->m[i].voter,
			.self = all->m[i].id == self,
			.quiet_ms = ss_raft_overdue_ms(r, all->m[i].id),
			.match = ss_raft_match(r, all->m[i].id),
		};
}

bool repair_propose(struct ss_raft *r, struct repair_step step, GError **error)
{
	struct ss_raft_member m;

	if (step.act == REPAIR_NONE)
		return true;
	m = ss_raft_members(r)->m[step.member];
	if (step.act == REPAIR_REMOVE)
		return ss_raft_remove_member(r, m.id, error);
	m.voter = true;
	return ss_raft_set_member(r, &m, error);
}
