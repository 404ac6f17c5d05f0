/* Raft: elections. */
#include "raft_int.h"

/* A member whose disk is full can't lead. It waits this many election timeouts
 * after it won an election, so that others are elected first. */
#define DISK_FULL_ELECTIONS 10

static uint64_t value_granted(struct ss_raft *r, const struct peer *p)
{
	(void)r;
	return p->granted;
}

/* Returns the time from which a new leader counts a member's silence. It can
 * tell for the leader before it only; the others owe it no message so far. */
static int64_t last_contact_ms(const struct ss_raft *r, const struct peer *p)
{
	if (p->id == r->former && !p->granted)
		return r->leader_contact_ms;
	return r->now;
}

static void become_leader(struct ss_raft *r)
{
	GError *error = NULL;

	r->role = SS_RAFT_LEADER;
	r->leader = r->o.self;
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = raft_peer_at(r, i);

		p->next = raft_log_last(&r->log) + 1;
		p->match = 0;
		p->round = 0;
		p->contact_ms = last_contact_ms(r, p);
		p->snap_index = 0;
		p->timed_round = 0;
	}
	r->former = 0;
	r->transfer_to = 0;
	/*
	 * Entries of earlier terms are committed only through a later entry of
	 * this term; without one a read could miss committed entries.
	 */
	if (!raft_append_local(r, SS_RAFT_NOOP, (struct ss_str){ 0 }, NULL,
			       &error)) {
		g_clear_error(&error);
		raft_become_follower(r, r->term, 0);
		r->deadline_ms =
			r->now + DISK_FULL_ELECTIONS * r->o.election_ms;
		return;
	}
	r->round++;
	r->o.ops->changed(r->o.arg);
	raft_broadcast(r);
}

static void count_votes(struct ss_raft *r)
{
	if (!raft_majority_value(r, value_granted))
		return;
	if (r->role == SS_RAFT_PRECANDIDATE)
		raft_campaign(r, false);
	else if (r->role == SS_RAFT_CANDIDATE)
		become_leader(r);
}

void raft_campaign(struct ss_raft *r, bool pre)
{
	struct ss_raft_msg m = { .kind = pre ? SS_RAFT_PREVOTE : SS_RAFT_VOTE,
				 .term = r->term + 1,
				 .index = raft_log_last(&r->log),
				 .round = (uint64_t)r->now,
				 .transfer = r->transfer };

	if (pre && r->o.ops->round_lost &&
	    (r->role == SS_RAFT_PRECANDIDATE || r->role == SS_RAFT_CANDIDATE))
		r->o.ops->round_lost(r->o.arg);
	raft_reset_deadline(r);
	if (!pre && !raft_save_vote(r, r->term + 1, r->o.self))
		return;
	r->role = pre ? SS_RAFT_PRECANDIDATE : SS_RAFT_CANDIDATE;
	r->leader = 0;
	r->ack = false;
	m.log_term = raft_log_term(&r->log, m.index);
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = raft_peer_at(r, i);

		p->granted = p->id == r->o.self;
		p->ballot = (struct ss_raft_ballot){ 0 };
	}
	r->o.ops->changed(r->o.arg);
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = raft_peer_at(r, i);

		if (p->id != r->o.self && p->voter)
			raft_send(r, &m, p->id);
	}
	count_votes(r);
}

bool raft_has_live_leader(const struct ss_raft *r)
{
	if (r->role == SS_RAFT_LEADER)
		return true;
	return r->leader && r->now - r->leader_contact_ms < r->o.election_ms;
}

static enum ss_raft_answer refusal(const struct ss_raft *r,
				   const struct ss_raft_msg *m, bool up_to_date)
{
	if (!up_to_date)
		return SS_RAFT_BEHIND;
	if (m->kind == SS_RAFT_VOTE)
		return SS_RAFT_VOTED;
	return m->term > r->term ? SS_RAFT_HAS_LEADER : SS_RAFT_OLD_TERM;
}

void raft_handle_vote(struct ss_raft *r, const struct ss_raft_msg *m)
{
	bool pre = m->kind == SS_RAFT_PREVOTE;
	uint64_t last = raft_log_last(&r->log);
	uint64_t last_term = raft_log_term(&r->log, last);
	struct ss_raft_msg reply = { .kind = pre ? SS_RAFT_PREVOTE_REPLY :
						   SS_RAFT_VOTE_REPLY,
				     .round = m->round };
	bool up_to_date = m->log_term > last_term ||
			  (m->log_term == last_term && m->index >= last);

	if (pre)
		reply.ok = up_to_date && m->term > r->term &&
			   !raft_has_live_leader(r);
	else
		reply.ok = up_to_date && (!r->vote || r->vote == m->from) &&
			   raft_save_vote(r, r->term, m->from);
	if (reply.ok && !pre)
		raft_reset_deadline(r);
	if (!reply.ok)
		reply.offset = refusal(r, m, up_to_date);
	reply.term = reply.ok ? m->term : r->term;
	raft_send(r, &reply, m->from);
}

/* Keeps what a voter has answered, and how long that took. */
static void note_ballot(struct ss_raft *r, struct peer *p,
			const struct ss_raft_msg *m)
{
	int64_t ms = m->round ? r->now - (int64_t)m->round : -1;

	p->ballot.ms = ms;
	p->ballot.answer = m->ok ? SS_RAFT_GRANTED : SS_RAFT_REFUSED;
	if (!m->ok && m->offset >= SS_RAFT_REFUSED &&
	    m->offset <= SS_RAFT_OLD_TERM)
		p->ballot.answer = (enum ss_raft_answer)m->offset;
	/* An answer to a request of an earlier boot says nothing. */
	if (ms >= 0)
		raft_note_exchange(r, p, ms);
}

void raft_handle_vote_reply(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct peer *p = raft_peer_find(r, m->from);
	enum ss_raft_role wanted = m->kind == SS_RAFT_PREVOTE_REPLY ?
					   SS_RAFT_PRECANDIDATE :
					   SS_RAFT_CANDIDATE;

	if (p)
		note_ballot(r, p, m);
	if (!p || !m->ok || r->role != wanted)
		return;
	p->granted = true;
	count_votes(r);
}

void raft_handle_timeout_now(struct ss_raft *r)
{
	if (r->role != SS_RAFT_FOLLOWER || !raft_is_voter(r))
		return;
	r->transfer = true;
	raft_campaign(r, false);
}
