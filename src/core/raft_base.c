/* Raft: members, term and role, the base of the other raft_*.c files. */
#include "raft_int.h"

/* Limit of voters that a majority is computed from. */
#define VOTERS_MAX 64

struct peer *raft_peer_at(struct ss_raft *r, guint i)
{
	return &g_array_index(r->peers, struct peer, i);
}

struct peer *raft_peer_find(struct ss_raft *r, uint64_t id)
{
	for (guint i = 0; i < r->peers->len; i++)
		if (raft_peer_at(r, i)->id == id)
			return raft_peer_at(r, i);
	return NULL;
}

bool raft_is_voter(struct ss_raft *r)
{
	struct peer *p = raft_peer_find(r, r->o.self);

	return p && p->voter;
}

void raft_fail(struct ss_raft *r, GError *error)
{
	r->broken = true;
	r->o.ops->failed(r->o.arg, error);
	g_clear_error(&error);
}

void raft_reload_members(struct ss_raft *r)
{
	GArray *old = r->peers;

	ss_raft_clear_members(&r->members);
	raft_log_members(&r->log, &r->members, &r->members_index);
	r->peers = g_array_new(FALSE, TRUE, sizeof(struct peer));
	for (size_t i = 0; i < r->members.n; i++) {
		struct peer p = { .id = r->members.m[i].id,
				  .next = raft_log_last(&r->log) + 1,
				  .contact_ms = r->now };

		for (guint k = 0; old && k < old->len; k++)
			if (g_array_index(old, struct peer, k).id == p.id)
				p = g_array_index(old, struct peer, k);
		p.voter = r->members.m[i].voter;
		g_array_append_val(r->peers, p);
	}
	if (old)
		g_array_unref(old);
}

static void drop_reads(struct ss_raft *r)
{
	GArray *reads = r->reads;

	r->reads = g_array_new(FALSE, FALSE, sizeof(struct pending_read));
	for (guint i = 0; i < reads->len; i++)
		r->o.ops->read_done(
			r->o.arg,
			g_array_index(reads, struct pending_read, i).ctx,
			false);
	g_array_unref(reads);
}

void raft_clear_votes(struct ss_raft *r)
{
	for (guint i = 0; i < r->peers->len; i++) {
		raft_peer_at(r, i)->voted = false;
		raft_peer_at(r, i)->prevoted_ms = 0;
	}
}

bool raft_save_vote(struct ss_raft *r, uint64_t term, uint64_t vote)
{
	GError *error = NULL;

	if (term == r->term && vote == r->vote)
		return true;
	if (!r->o.ops->save_vote(r->o.arg, term, vote, &error)) {
		g_clear_error(&error);
		return false;
	}
	if (term != r->term) {
		raft_clear_votes(r);
		r->voted_ms = 0;
	}
	r->term = term;
	r->vote = vote;
	return true;
}

void raft_set_deadline(struct ss_raft *r, int64_t min_ms)
{
	r->deadline_ms = r->now + min_ms +
			 (int64_t)(ss_random(&r->o.seed) % (uint64_t)min_ms);
}

void raft_reset_deadline(struct ss_raft *r)
{
	raft_set_deadline(r, raft_timeout_ms(r));
}

bool raft_become_follower(struct ss_raft *r, uint64_t term, uint64_t leader)
{
	bool change = r->role != SS_RAFT_FOLLOWER || r->leader != leader ||
		      r->term != term;

	if (term > r->term && !raft_save_vote(r, term, 0))
		return false;
	if (!change)
		return true;
	if (r->role != SS_RAFT_FOLLOWER)
		raft_reset_deadline(r);
	r->role = SS_RAFT_FOLLOWER;
	r->leader = leader;
	r->ack = false;
	r->transfer = false;
	drop_reads(r);
	r->o.ops->changed(r->o.arg);
	return true;
}

void raft_send(struct ss_raft *r, struct ss_raft_msg *m, uint64_t to)
{
	m->from = r->o.self;
	m->to = to;
	if (!m->term)
		m->term = r->term;
	r->o.ops->send(r->o.arg, m);
}

void raft_note_exchange(struct ss_raft *r, struct peer *p, int64_t ms)
{
	if (r->o.ops->exchanged)
		r->o.ops->exchanged(r->o.arg, p->id, ms);
}

uint64_t raft_majority_value(struct ss_raft *r,
			     uint64_t (*value)(struct ss_raft *r,
					       const struct peer *p))
{
	uint64_t v[VOTERS_MAX];
	size_t n = 0;

	for (guint i = 0; i < r->peers->len && n < G_N_ELEMENTS(v); i++) {
		const struct peer *p = raft_peer_at(r, i);
		uint64_t x = value(r, p);
		size_t k = n;

		if (!p->voter)
			continue;
		for (; k > 0 && v[k - 1] < x; k--)
			v[k] = v[k - 1];
		v[k] = x;
		n++;
	}
	return n ? v[n / 2] : 0;
}
