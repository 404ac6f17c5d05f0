/* Raft: elections. */
#include "raft_int.h"

/* A member whose disk is full can't lead. It waits this many election timeouts
 * after it won an election, so that others are elected first. */
#define DISK_FULL_ELECTIONS 10

/* Pre-votes count for this many election timeouts: those of a majority may
 * come one after the other where messages take long. */
#define PREVOTE_TIMEOUTS 10
/* Time for which a candidate lets another one go first, in units of the time
 * that the other one's request took at most: a pre-vote, the request for a
 * vote, the vote's sync, and a heartbeat. */
#define YIELD_MESSAGES 4

/* A candidate that ranks higher refuses the others for this many election
 * timeouts from the start of its campaign. */
#define RANK_TIMEOUTS 3

static uint64_t value_voted(struct ss_raft *r, const struct peer *p)
{
	return r->asked_term && r->asked_term == r->term &&
	       (p->id == r->o.self || p->voted);
}

static uint64_t value_prevoted(struct ss_raft *r, const struct peer *p)
{
	return p->id == r->o.self ||
	       (p->prevoted_ms &&
		r->now - p->prevoted_ms <= PREVOTE_TIMEOUTS * r->o.election_ms);
}

/* Returns the time from which a new leader counts a member's silence. It can
 * tell for the leader before it only; the others owe it no message so far. */
static int64_t last_contact_ms(const struct ss_raft *r, const struct peer *p)
{
	if (p->id == r->former && !p->voted)
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
	}
	r->asked_term = 0;
	r->answered = false;
	r->timed_round = 0;
	r->former = 0;
	r->transfer_to = 0;
	raft_pace_elected(r);

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
	r->o.ops->changed(r->o.arg);
	raft_broadcast(r);
}

/*
 * A vote counts as long as its term lasts, whatever this member has asked for
 * since: where answers take longer than a round, one that forgets them at its
 * next round is never elected.
 */
static void count_votes(struct ss_raft *r)
{
	if (r->role != SS_RAFT_PRECANDIDATE && r->role != SS_RAFT_CANDIDATE)
		return;
	if (raft_majority_value(r, value_voted))
		become_leader(r);
	else if (r->role == SS_RAFT_PRECANDIDATE &&
		 r->now >= r->yield_until_ms &&
		 raft_majority_value(r, value_prevoted))
		raft_campaign(r, false);
}

static struct ss_raft_msg vote_request(const struct ss_raft *r, bool pre)
{
	uint64_t last = raft_log_last(&r->log);

	return (struct ss_raft_msg){ .kind = pre ? SS_RAFT_PREVOTE :
						   SS_RAFT_VOTE,
				     .from = r->o.self,
				     .term = r->term + 1,
				     .index = last,
				     .log_term = raft_log_term(&r->log, last),
				     .round = (uint64_t)r->now,
				     .transfer = r->transfer };
}

void raft_campaign(struct ss_raft *r, bool pre)
{
	struct ss_raft_msg m = vote_request(r, pre);

	if (pre && r->o.ops->round_lost &&
	    (r->role == SS_RAFT_PRECANDIDATE || r->role == SS_RAFT_CANDIDATE))
		r->o.ops->round_lost(r->o.arg);
	if (r->role == SS_RAFT_FOLLOWER || r->role == SS_RAFT_LEADER)
		r->campaign_ms = r->now;
	raft_reset_deadline(r);
	if (!pre && !raft_save_vote(r, r->term + 1, r->o.self))
		return;
	r->role = pre ? SS_RAFT_PRECANDIDATE : SS_RAFT_CANDIDATE;
	if (!pre)
		r->asked_term = r->term;
	r->asked_ms = r->now;
	r->answered = false;
	r->leader = 0;
	r->ack = false;
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = raft_peer_at(r, i);

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
	int64_t contact_ms = r->leader ? r->leader_contact_ms : r->voted_ms;

	if (r->role == SS_RAFT_LEADER)
		return true;
	return r->role == SS_RAFT_FOLLOWER && (r->leader || r->voted_ms) &&
	       r->now - contact_ms < raft_timeout_ms(r);
}

/* Returns true if candidate a goes before b: it has more entries, or as many
 * and the higher id. */
static bool outranks(struct raft_rank a, struct raft_rank b)
{
	if (a.log_term != b.log_term)
		return a.log_term > b.log_term;
	return a.index != b.index ? a.index > b.index : a.id > b.id;
}

static struct raft_rank rank_of(const struct ss_raft_msg *m)
{
	return (struct raft_rank){ m->log_term, m->index, m->from };
}

/* Returns true if another candidate goes before the sender of a pre-vote: this
 * member, which awaits votes or ranks higher, or one that it lets go first. */
static bool goes_first(const struct ss_raft *r, const struct ss_raft_msg *m)
{
	uint64_t last = raft_log_last(&r->log);
	struct raft_rank self = { raft_log_term(&r->log, last), last,
				  r->o.self };

	if (m->term != r->term + 1)
		return false;
	if (r->role == SS_RAFT_CANDIDATE)
		return r->now < r->deadline_ms;
	if (r->yield_term == r->term && r->now < r->yield_until_ms &&
	    outranks(r->yield_to, rank_of(m)))
		return true;
	/* For some time only: it may be unable to win. */
	return r->role == SS_RAFT_PRECANDIDATE &&
	       r->now - r->campaign_ms < RANK_TIMEOUTS * raft_timeout_ms(r) &&
	       outranks(self, rank_of(m));
}

/* Asks the sender of a pre-vote that this member ranks higher than: it has
 * given up the leader, and may have been down at the last round or have refused
 * it. The others are asked again at the next tick if that round isn't quite
 * new. */
static void ask_again(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct ss_raft_msg ask;

	if (r->role != SS_RAFT_PRECANDIDATE)
		return;
	ask = vote_request(r, true);
	if (outranks(rank_of(&ask), rank_of(m)))
		raft_send(r, &ask, m->from);
	if (r->now - r->asked_ms >= r->o.election_ms)
		r->deadline_ms = r->now;
}

/*
 * Lets another candidate go first. Candidates that begin within the time of a
 * message would each vote for themselves, again and again, where messages take
 * longer than the random part of the timeout. Once a term only: the other one
 * may be unable to receive answers.
 */
static void yield(struct ss_raft *r, const struct ss_raft_msg *m)
{
	const struct peer *p = raft_peer_find(r, m->from);
	int64_t ms = 0;

	if (r->yield_term == r->term || !p || !p->voter)
		return;
	if (r->role == SS_RAFT_PRECANDIDATE)
		ms = YIELD_MESSAGES * (r->now - r->campaign_ms);
	r->yield_term = r->term;
	r->yield_to = rank_of(m);
	r->yield_until_ms =
		r->now + CLAMP(ms, raft_timeout_ms(r), raft_timeout_max_ms(r));
	r->deadline_ms = MAX(r->deadline_ms, r->yield_until_ms);
}

static enum ss_raft_answer refusal(const struct ss_raft *r,
				   const struct ss_raft_msg *m, bool up_to_date)
{
	if (!up_to_date)
		return SS_RAFT_BEHIND;
	if (m->kind == SS_RAFT_PREVOTE && goes_first(r, m))
		return SS_RAFT_GOES_FIRST;
	if (m->kind == SS_RAFT_VOTE)
		return SS_RAFT_VOTED;
	if (m->term <= r->term)
		return SS_RAFT_OLD_TERM;
	return ss_raft_leader(r) ? SS_RAFT_HAS_LEADER : SS_RAFT_VOTED;
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
			   !raft_has_live_leader(r) && !goes_first(r, m);
	else
		reply.ok = up_to_date && (!r->vote || r->vote == m->from) &&
			   raft_save_vote(r, r->term, m->from);
	if (reply.ok && !pre) {
		r->voted_ms = r->now;
		raft_reset_deadline(r);
	}
	if (reply.ok && pre)
		yield(r, m);
	else if (pre && goes_first(r, m))
		ask_again(r, m);
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
	    m->offset <= SS_RAFT_ANSWER_LAST)
		p->ballot.answer = (enum ss_raft_answer)m->offset;
	/* An answer to a request of an earlier boot says nothing. */
	if (ms >= 0)
		raft_note_exchange(r, p, ms);
}

void raft_handle_vote_reply(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct peer *p = raft_peer_find(r, m->from);
	enum ss_raft_role role = r->role;

	if (!p)
		return;
	note_ballot(r, p, m);
	if (p->ballot.ms >= 0 &&
	    (role == SS_RAFT_PRECANDIDATE || role == SS_RAFT_CANDIDATE)) {
		raft_pace_add(r, p->ballot.ms);
	}
	if (!m->ok)
		return;
	if (m->kind == SS_RAFT_VOTE_REPLY)
		p->voted = true;
	else if (m->term == r->term + 1 && r->role == SS_RAFT_PRECANDIDATE)
		p->prevoted_ms = r->now;
	count_votes(r);
	if (r->role != role && r->role == SS_RAFT_CANDIDATE)
		raft_reset_deadline(r);
}

void raft_handle_timeout_now(struct ss_raft *r)
{
	if (r->role != SS_RAFT_FOLLOWER || !raft_is_voter(r))
		return;
	r->transfer = true;
	raft_campaign(r, false);
}
