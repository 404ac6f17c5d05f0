/* Membership repair of the control group. */
#include "repair.h"

static bool is_dead(const struct repair_member *m)
{
	return !m->self && m->quiet_ms > REPAIR_DEAD_MS;
}

static bool is_promotable(const struct repair_member *m, uint64_t last)
{
	return !m->voter && !is_dead(m) && m->match &&
	       m->match + REPAIR_MAX_LAG >= last;
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

/* Returns true for a voter that won't return, or only under a new id. */
static bool is_lost(const struct repair_member *m, size_t n, size_t i)
{
	return m[i].voter && (is_dead(&m[i]) || is_replaced(m, n, i, false));
}

struct repair_counts repair_count(const struct repair_member *m, size_t n,
				  uint64_t last)
{
	struct repair_counts c = { 0 };

	for (size_t i = 0; i < n; i++) {
		c.voters += m[i].voter;
		c.lost += is_lost(m, n, i);
		c.learners += !m[i].voter;
		c.ready += is_promotable(&m[i], last);
	}
	return c;
}

/*
 * An even number of voters tolerates no more losses than one voter less, and a
 * partition into equal halves leaves it without a leader. So a learner stays a
 * spare if promoting it would make the number even. Lost voters aren't counted:
 * they are removed once the spare has replaced them.
 */
static bool needs_voter(const struct repair_counts *c)
{
	size_t healthy = c->voters - c->lost;

	return c->ready && (healthy < REPAIR_MIN_VOTERS || healthy % 2 == 0 ||
			    c->ready > 1);
}

/* Finds a member to remove; dead learners first, as they cost no majority. */
static bool find_removable(const struct repair_member *m, size_t n,
			   size_t healthy, size_t *at)
{
	for (size_t i = 0; i < n; i++) {
		*at = i;
		if (!m[i].voter && is_dead(&m[i]))
			return true;
	}
	for (size_t i = 0; i < n && healthy >= REPAIR_MIN_VOTERS; i++) {
		*at = i;
		if (is_lost(m, n, i))
			return true;
	}
	return false;
}

struct repair_step repair_next(const struct repair_member *m, size_t n,
			       uint64_t last)
{
	struct repair_counts c = repair_count(m, n, last);
	size_t removable = 0;

	for (size_t i = 0; i < n && needs_voter(&c); i++)
		if (is_promotable(&m[i], last))
			return (struct repair_step){ REPAIR_PROMOTE, i };
	for (size_t i = 0; i < n; i++)
		if (is_replaced(m, n, i, true))
			return (struct repair_step){ REPAIR_REMOVE, i };
	if (find_removable(m, n, c.voters - c.lost, &removable))
		return (struct repair_step){ REPAIR_REMOVE, removable };
	return (struct repair_step){ REPAIR_NONE, 0 };
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
			.quiet_ms = ss_raft_quiet_ms(r, all->m[i].id),
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
