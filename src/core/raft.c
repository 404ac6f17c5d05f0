/* Replicated log. After Ongaro's Raft, with pre-vote and check-quorum. */
#include <sapphireshift/raft.h>

#include "raft_log.h"

#define ELECTION_MS 600
#define HEARTBEAT_MS 100
#define BATCH_BYTES (256 * 1024)
#define BATCH_ENTRIES 1024
/* A member whose disk is full stays out of this many campaigns. */
#define DISK_FULL_ELECTIONS 10
/* A snapshot chunk unanswered for this many heartbeats is sent again. */
#define SNAPSHOT_RESEND_HEARTBEATS 3

struct peer {
	uint64_t id;
	bool voter;
	bool granted;	      /* its vote or pre-vote in this campaign */
	uint64_t next;	      /* the entry that is sent next */
	uint64_t match;	      /* known durable there */
	uint64_t round;	      /* newest heartbeat round it echoed */
	int64_t heard_ms;     /* when it last answered this leader */
	uint64_t snap_index;  /* the snapshot being sent; 0: none */
	uint64_t snap_offset; /* what it has of that */
	int64_t snap_ms;      /* when the last chunk went out */
};

struct read {
	uint64_t ctx;
	uint64_t round;
};

struct ss_raft {
	struct ss_raft_options o;
	struct raft_log log;
	uint64_t term, vote;
	enum ss_raft_role role;
	uint64_t leader;
	uint64_t commit, applied;
	uint64_t durable; /* last entry that a sync has covered */
	struct ss_raft_members members;
	uint64_t members_index;
	GArray *peers; /* struct peer, one a member, this one too */
	int64_t now;
	int64_t leader_ms;   /* when the leader was last heard */
	int64_t deadline_ms; /* of the next campaign */
	int64_t heartbeat_ms;
	uint64_t round;
	GArray *reads; /* struct read, oldest first */
	bool reads_new;
	bool dirty; /* entries appended since the last sync */
	bool ack;   /* an append waits to be acknowledged by flush */
	uint64_t ack_to, ack_index, ack_round;
	GString *incoming; /* chunks of a snapshot so far */
	uint64_t incoming_index;
	bool transfer; /* campaign on behalf of the old leader */
	bool broken;
};

static struct peer *peer_at(struct ss_raft *r, guint i)
{
	return &g_array_index(r->peers, struct peer, i);
}

static struct peer *peer_find(struct ss_raft *r, uint64_t id)
{
	for (guint i = 0; i < r->peers->len; i++)
		if (peer_at(r, i)->id == id)
			return peer_at(r, i);
	return NULL;
}

static bool is_voter(struct ss_raft *r)
{
	struct peer *p = peer_find(r, r->o.self);

	return p && p->voter;
}

static void fail(struct ss_raft *r, GError *error)
{
	r->broken = true;
	r->o.ops->failed(r->o.arg, error);
	g_clear_error(&error);
}

/* Bring peers in line with the members in force; keep what is known. */
static void reload_members(struct ss_raft *r)
{
	GArray *old = r->peers;

	ss_raft_clear_members(&r->members);
	raft_log_members(&r->log, &r->members, &r->members_index);
	r->peers = g_array_new(FALSE, TRUE, sizeof(struct peer));
	for (size_t i = 0; i < r->members.n; i++) {
		struct peer p = { .id = r->members.m[i].id,
				  .next = raft_log_last(&r->log) + 1,
				  .heard_ms = r->now };

		for (guint k = 0; old && k < old->len; k++)
			if (g_array_index(old, struct peer, k).id == p.id)
				p = g_array_index(old, struct peer, k);
		p.voter = r->members.m[i].voter;
		g_array_append_val(r->peers, p);
	}
	if (old)
		g_array_unref(old);
}

static void set_deadline(struct ss_raft *r, int64_t least)
{
	r->deadline_ms = r->now + least +
			 (int64_t)(ss_random(&r->o.seed) % (uint64_t)least);
}

static void reset_deadline(struct ss_raft *r)
{
	set_deadline(r, r->o.election_ms);
}

static void drop_reads(struct ss_raft *r)
{
	GArray *reads = r->reads;

	r->reads = g_array_new(FALSE, FALSE, sizeof(struct read));
	for (guint i = 0; i < reads->len; i++)
		r->o.ops->read_done(r->o.arg,
				    g_array_index(reads, struct read, i).ctx,
				    false);
	g_array_unref(reads);
}

static bool save_vote(struct ss_raft *r, uint64_t term, uint64_t vote)
{
	GError *error = NULL;

	if (term == r->term && vote == r->vote)
		return true;
	if (!r->o.ops->save_vote(r->o.arg, term, vote, &error)) {
		g_clear_error(&error);
		return false;
	}
	r->term = term;
	r->vote = vote;
	return true;
}

/* False where the term can't be stored: then the message is as if lost. */
static bool become_follower(struct ss_raft *r, uint64_t term, uint64_t leader)
{
	bool change = r->role != SS_RAFT_FOLLOWER || r->leader != leader ||
		      r->term != term;

	if (term > r->term && !save_vote(r, term, 0))
		return false;
	if (!change)
		return true;
	if (r->role != SS_RAFT_FOLLOWER)
		reset_deadline(r);
	r->role = SS_RAFT_FOLLOWER;
	r->leader = leader;
	r->ack = false;
	r->transfer = false;
	drop_reads(r);
	r->o.ops->changed(r->o.arg);
	return true;
}

static void send(struct ss_raft *r, struct ss_raft_msg *m, uint64_t to)
{
	m->from = r->o.self;
	m->to = to;
	if (!m->term)
		m->term = r->term;
	r->o.ops->send(r->o.arg, m);
}

/* The largest value that a majority of the voters has reached. */
static uint64_t majority_value(struct ss_raft *r,
			       uint64_t (*value)(struct ss_raft *r,
						 const struct peer *p))
{
	uint64_t v[64];
	size_t n = 0;

	for (guint i = 0; i < r->peers->len && n < G_N_ELEMENTS(v); i++) {
		const struct peer *p = peer_at(r, i);
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

static uint64_t value_match(struct ss_raft *r, const struct peer *p)
{
	return p->id == r->o.self ? r->durable : p->match;
}

static uint64_t value_round(struct ss_raft *r, const struct peer *p)
{
	return p->id == r->o.self ? r->round : p->round;
}

static uint64_t value_heard(struct ss_raft *r, const struct peer *p)
{
	return p->id == r->o.self || r->now - p->heard_ms < r->o.election_ms;
}

static uint64_t value_granted(struct ss_raft *r, const struct peer *p)
{
	(void)r;
	return p->granted;
}

static void apply_committed(struct ss_raft *r)
{
	while (r->applied < r->commit && !r->broken) {
		struct ss_raft_entry e = *raft_log_at(&r->log, r->applied + 1);

		r->applied = e.index;
		if (e.kind == SS_RAFT_DATA)
			r->o.ops->apply(r->o.arg, &e);
	}
}

static void send_snapshot(struct ss_raft *r, struct peer *p)
{
	const struct ss_raft_snapshot *s = &r->log.snapshot;
	struct ss_raft_msg m = { .kind = SS_RAFT_SNAPSHOT };

	if (p->snap_index != s->index) {
		p->snap_index = s->index;
		p->snap_offset = 0;
		p->snap_ms = 0;
	}
	if (p->snap_ms &&
	    r->now - p->snap_ms <
		    r->o.heartbeat_ms * SNAPSHOT_RESEND_HEARTBEATS)
		return;
	p->snap_ms = r->now;
	m.index = s->index;
	m.log_term = s->term;
	m.members = s->members;
	m.round = r->round;
	m.offset = p->snap_offset;
	m.total = s->data.n;
	m.data.p = s->data.p + p->snap_offset;
	m.data.n = MIN(s->data.n - p->snap_offset, r->o.batch_bytes);
	send(r, &m, p->id);
}

/* The next batch for a member; with nothing new, a heartbeat. */
static void send_append(struct ss_raft *r, struct peer *p)
{
	uint64_t last = raft_log_last(&r->log);
	struct ss_raft_msg m = { .kind = SS_RAFT_APPEND };
	size_t bytes = 0;

	if (p->next <= r->log.snapshot.index) {
		send_snapshot(r, p);
		return;
	}
	m.index = p->next - 1;
	m.log_term = raft_log_term(&r->log, m.index);
	m.commit = r->commit;
	m.round = r->round;
	if (p->next <= last)
		m.entries =
			(struct ss_raft_entry *)raft_log_at(&r->log, p->next);
	while (p->next + m.n_entries <= last && m.n_entries < BATCH_ENTRIES &&
	       bytes < r->o.batch_bytes)
		bytes += m.entries[m.n_entries++].data.n;
	p->next += m.n_entries;
	send(r, &m, p->id);
}

static void broadcast(struct ss_raft *r)
{
	for (guint i = 0; i < r->peers->len; i++)
		if (peer_at(r, i)->id != r->o.self)
			send_append(r, peer_at(r, i));
	r->heartbeat_ms = r->now;
}

static bool append_local(struct ss_raft *r, int64_t kind, struct ss_str data,
			 uint64_t *index, GError **error)
{
	struct ss_raft_entry e = { .index = raft_log_last(&r->log) + 1,
				   .term = r->term,
				   .kind = kind,
				   .data = data };

	if (!r->o.ops->append(r->o.arg, &e, 1, error))
		return false;
	raft_log_add(&r->log, &e);
	r->dirty = true;
	if (index)
		*index = e.index;
	if (kind == SS_RAFT_MEMBERS)
		reload_members(r);
	return true;
}

static void become_leader(struct ss_raft *r)
{
	GError *error = NULL;

	r->role = SS_RAFT_LEADER;
	r->leader = r->o.self;
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = peer_at(r, i);

		p->next = raft_log_last(&r->log) + 1;
		p->match = 0;
		p->round = 0;
		p->heard_ms = r->now;
		p->snap_index = 0;
	}
	/*
	 * Entries of earlier terms count as accepted only below one of this
	 * term; without it a read could miss what was accepted before.
	 */
	if (!append_local(r, SS_RAFT_NOOP, (struct ss_str){ 0 }, NULL,
			  &error)) {
		g_clear_error(&error);
		become_follower(r, r->term, 0);
		r->deadline_ms =
			r->now + DISK_FULL_ELECTIONS * r->o.election_ms;
		return;
	}
	r->round++;
	r->o.ops->changed(r->o.arg);
	broadcast(r);
}

static void campaign(struct ss_raft *r, bool pre);

static void count_votes(struct ss_raft *r)
{
	if (!majority_value(r, value_granted))
		return;
	if (r->role == SS_RAFT_PRECANDIDATE)
		campaign(r, false);
	else if (r->role == SS_RAFT_CANDIDATE)
		become_leader(r);
}

/*
 * A pre-vote asks whether a vote would be won, so that a member that was
 * cut off comes back without a higher term and unseats no working leader.
 */
static void campaign(struct ss_raft *r, bool pre)
{
	struct ss_raft_msg m = { .kind = pre ? SS_RAFT_PREVOTE : SS_RAFT_VOTE,
				 .term = r->term + 1,
				 .index = raft_log_last(&r->log),
				 .transfer = r->transfer };

	reset_deadline(r);
	if (!pre && !save_vote(r, r->term + 1, r->o.self))
		return;
	r->role = pre ? SS_RAFT_PRECANDIDATE : SS_RAFT_CANDIDATE;
	r->leader = 0;
	r->ack = false;
	m.log_term = raft_log_term(&r->log, m.index);
	for (guint i = 0; i < r->peers->len; i++)
		peer_at(r, i)->granted = peer_at(r, i)->id == r->o.self;
	r->o.ops->changed(r->o.arg);
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = peer_at(r, i);

		if (p->id != r->o.self && p->voter)
			send(r, &m, p->id);
	}
	count_votes(r);
}

static bool leader_is_fresh(const struct ss_raft *r)
{
	if (r->role == SS_RAFT_LEADER)
		return true;
	return r->leader && r->now - r->leader_ms < r->o.election_ms;
}

static void handle_vote(struct ss_raft *r, const struct ss_raft_msg *m)
{
	bool pre = m->kind == SS_RAFT_PREVOTE;
	uint64_t last = raft_log_last(&r->log);
	uint64_t last_term = raft_log_term(&r->log, last);
	struct ss_raft_msg reply = { .kind = pre ? SS_RAFT_PREVOTE_REPLY :
						   SS_RAFT_VOTE_REPLY };
	bool fresh = m->log_term > last_term ||
		     (m->log_term == last_term && m->index >= last);

	if (pre)
		reply.ok = fresh && m->term > r->term && !leader_is_fresh(r);
	else
		reply.ok = fresh && (!r->vote || r->vote == m->from) &&
			   save_vote(r, r->term, m->from);
	if (reply.ok && !pre)
		reset_deadline(r);
	reply.term = reply.ok ? m->term : r->term;
	send(r, &reply, m->from);
}

static void handle_vote_reply(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct peer *p = peer_find(r, m->from);
	enum ss_raft_role wanted = m->kind == SS_RAFT_PREVOTE_REPLY ?
					   SS_RAFT_PRECANDIDATE :
					   SS_RAFT_CANDIDATE;

	if (!p || !m->ok || r->role != wanted)
		return;
	p->granted = true;
	count_votes(r);
}

static void reject_append(struct ss_raft *r, const struct ss_raft_msg *m)
{
	uint64_t last = raft_log_last(&r->log);
	struct ss_raft_msg reply = { .kind = SS_RAFT_APPEND_REPLY,
				     .index = m->index,
				     .round = m->round };
	uint64_t hint = MIN(last + 1, m->index);

	/* Skip back over the whole term that differs, not entry by entry. */
	if (m->index <= last) {
		uint64_t bad = raft_log_term(&r->log, m->index);

		while (hint > r->commit + 1 &&
		       raft_log_term(&r->log, hint - 1) == bad)
			hint--;
	}
	reply.offset = MAX(hint, r->log.snapshot.index + 1);
	send(r, &reply, m->from);
}

/* Add the entries that aren't held yet; false where nothing may be acked. */
static bool append_entries(struct ss_raft *r, const struct ss_raft_msg *m)
{
	GError *error = NULL;
	size_t skip = 0;
	bool members = false;

	while (skip < m->n_entries &&
	       (m->entries[skip].index <= r->log.snapshot.index ||
		raft_log_term(&r->log, m->entries[skip].index) ==
			m->entries[skip].term))
		skip++;
	if (skip == m->n_entries)
		return true;
	if (m->entries[skip].index <= raft_log_last(&r->log)) {
		if (m->entries[skip].index <= r->commit) {
			/* Two logs disagree on an accepted entry. */
			g_set_error(&error, SS_ERROR, SS_ERROR_CORRUPT,
				    "entry %" PRIu64 " differs after commit",
				    m->entries[skip].index);
			fail(r, error);
			return false;
		}
		if (!r->o.ops->truncate(r->o.arg, m->entries[skip].index,
					&error)) {
			fail(r, error);
			return false;
		}
		raft_log_cut(&r->log, m->entries[skip].index);
		r->durable = MIN(r->durable, raft_log_last(&r->log));
		members = true;
	}
	if (!r->o.ops->append(r->o.arg, m->entries + skip, m->n_entries - skip,
			      &error)) {
		g_clear_error(&error);
		if (members)
			reload_members(r);
		return false;
	}
	r->dirty = true;
	for (size_t i = skip; i < m->n_entries; i++) {
		raft_log_add(&r->log, &m->entries[i]);
		members |= m->entries[i].kind == SS_RAFT_MEMBERS;
	}
	if (members)
		reload_members(r);
	return true;
}

static void ack_later(struct ss_raft *r, const struct ss_raft_msg *m,
		      uint64_t index)
{
	if (!r->ack || r->ack_to != m->from) {
		r->ack_index = 0;
		r->ack_round = 0;
	}
	r->ack = true;
	r->ack_to = m->from;
	r->ack_index = MAX(r->ack_index, index);
	r->ack_round = MAX(r->ack_round, m->round);
}

static void heard_leader(struct ss_raft *r, const struct ss_raft_msg *m)
{
	become_follower(r, m->term, m->from);
	r->leader_ms = r->now;
	reset_deadline(r);
}

static bool entries_follow(const struct ss_raft_msg *m)
{
	for (size_t i = 0; i < m->n_entries; i++)
		if (m->entries[i].index != m->index + 1 + i)
			return false;
	return true;
}

static void handle_append(struct ss_raft *r, const struct ss_raft_msg *m)
{
	uint64_t last_new = m->index + m->n_entries;

	heard_leader(r, m);
	if (!entries_follow(m))
		return;
	if (m->index > r->log.snapshot.index &&
	    raft_log_term(&r->log, m->index) != m->log_term) {
		reject_append(r, m);
		return;
	}
	if (m->index > raft_log_last(&r->log)) {
		reject_append(r, m);
		return;
	}
	if (!append_entries(r, m))
		return;
	ack_later(r, m, MAX(last_new, r->log.snapshot.index));
	if (MIN(m->commit, last_new) > r->commit) {
		r->commit = MIN(m->commit, last_new);
		apply_committed(r);
	}
}

static void maybe_commit(struct ss_raft *r)
{
	uint64_t n = majority_value(r, value_match);

	if (n <= r->commit || raft_log_term(&r->log, n) != r->term)
		return;
	r->commit = n;
	apply_committed(r);
	if (r->role == SS_RAFT_LEADER && !peer_find(r, r->o.self) &&
	    r->members_index <= r->commit)
		become_follower(r, r->term, 0);
}

static void finish_reads(struct ss_raft *r)
{
	uint64_t round = majority_value(r, value_round);

	while (r->role == SS_RAFT_LEADER && r->reads->len) {
		struct read rd = g_array_index(r->reads, struct read, 0);

		if (rd.round > round)
			return;
		g_array_remove_index(r->reads, 0);
		r->o.ops->read_done(r->o.arg, rd.ctx, true);
	}
}

static void handle_append_reply(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct peer *p = peer_find(r, m->from);

	if (r->role != SS_RAFT_LEADER || !p)
		return;
	p->heard_ms = r->now;
	p->round = MAX(p->round, m->round);
	if (m->ok) {
		p->match = MAX(p->match, m->index);
		p->next = MAX(p->next, p->match + 1);
		maybe_commit(r);
	} else if (m->index > p->match) {
		p->next = MAX(m->offset, p->match + 1);
		send_append(r, p);
	}
	if (r->role != SS_RAFT_LEADER)
		return;
	p = peer_find(r, m->from);
	if (p && p->next <= raft_log_last(&r->log) &&
	    p->next > r->log.snapshot.index)
		send_append(r, p);
	finish_reads(r);
}

static void install_snapshot(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct ss_raft_snapshot s = { .index = m->index,
				      .term = m->log_term,
				      .members = m->members,
				      .data = ss_str_gs(r->incoming) };
	bool keep = raft_log_term(&r->log, m->index) == m->log_term;
	const struct ss_raft_entry *rest =
		keep ? raft_log_at(&r->log, m->index + 1) : NULL;
	size_t n = rest ? raft_log_last(&r->log) - m->index : 0;
	GError *error = NULL;

	if (!r->o.ops->save_snapshot(r->o.arg, &s, rest, n, &error)) {
		fail(r, error);
		return;
	}
	raft_log_set_snapshot(&r->log, &s);
	r->durable = raft_log_last(&r->log);
	r->commit = r->applied = s.index;
	reload_members(r);
	if (!r->o.ops->restore(r->o.arg, s.data)) {
		g_set_error(&error, SS_ERROR, SS_ERROR_CORRUPT,
			    "snapshot %" PRIu64 " can't be restored", s.index);
		fail(r, error);
	}
}

static void handle_snapshot(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct ss_raft_msg reply = { .kind = SS_RAFT_SNAPSHOT_REPLY,
				     .index = m->index,
				     .round = m->round,
				     .ok = true };

	heard_leader(r, m);
	if (m->index <= r->commit) {
		ack_later(r, m, m->index);
		return;
	}
	if (m->offset == 0 || r->incoming_index != m->index) {
		g_string_truncate(r->incoming, 0);
		r->incoming_index = m->index;
	}
	if (m->offset == r->incoming->len)
		g_string_append_len(r->incoming, m->data.p, (gssize)m->data.n);
	if (r->incoming->len < m->total) {
		reply.offset = r->incoming->len;
		send(r, &reply, m->from);
		return;
	}
	install_snapshot(r, m);
	g_string_truncate(r->incoming, 0);
	r->incoming_index = 0;
	if (!r->broken)
		ack_later(r, m, m->index);
}

static void handle_snapshot_reply(struct ss_raft *r,
				  const struct ss_raft_msg *m)
{
	struct peer *p = peer_find(r, m->from);

	if (r->role != SS_RAFT_LEADER || !p)
		return;
	p->heard_ms = r->now;
	p->round = MAX(p->round, m->round);
	if (p->snap_index != m->index || m->offset > r->log.snapshot.data.n)
		return;
	p->snap_offset = m->offset;
	p->snap_ms = 0;
	send_append(r, p);
	finish_reads(r);
}

static void handle_timeout_now(struct ss_raft *r)
{
	if (r->role != SS_RAFT_FOLLOWER || !is_voter(r))
		return;
	r->transfer = true;
	campaign(r, false);
}

/* True where the message's term lets it be handled at all. */
static bool check_term(struct ss_raft *r, const struct ss_raft_msg *m)
{
	bool from_leader = m->kind == SS_RAFT_APPEND ||
			   m->kind == SS_RAFT_SNAPSHOT;
	struct ss_raft_msg reply = { .kind = SS_RAFT_APPEND_REPLY,
				     .index = UINT64_MAX };

	if (m->term == r->term)
		return true;
	if (m->term > r->term) {
		if (m->kind == SS_RAFT_PREVOTE ||
		    (m->kind == SS_RAFT_PREVOTE_REPLY && m->ok))
			return true;
		if (m->kind == SS_RAFT_VOTE && !m->transfer &&
		    leader_is_fresh(r))
			return false;
		return become_follower(r, m->term, from_leader ? m->from : 0);
	}
	/* A stale leader or candidate learns the term from the answer. */
	if (m->kind == SS_RAFT_PREVOTE)
		reply.kind = SS_RAFT_PREVOTE_REPLY;
	if (from_leader || m->kind == SS_RAFT_PREVOTE)
		send(r, &reply, m->from);
	return false;
}

void ss_raft_step(struct ss_raft *r, int64_t now, const struct ss_raft_msg *m)
{
	if (r->broken || m->to != r->o.self)
		return;
	r->now = MAX(r->now, now);
	if (!check_term(r, m))
		return;
	switch ((enum ss_raft_msg_kind)m->kind) {
	case SS_RAFT_PREVOTE:
	case SS_RAFT_VOTE:
		handle_vote(r, m);
		break;
	case SS_RAFT_PREVOTE_REPLY:
	case SS_RAFT_VOTE_REPLY:
		handle_vote_reply(r, m);
		break;
	case SS_RAFT_APPEND:
		if (r->role != SS_RAFT_LEADER)
			handle_append(r, m);
		break;
	case SS_RAFT_APPEND_REPLY:
		handle_append_reply(r, m);
		break;
	case SS_RAFT_SNAPSHOT:
		if (r->role != SS_RAFT_LEADER)
			handle_snapshot(r, m);
		break;
	case SS_RAFT_SNAPSHOT_REPLY:
		handle_snapshot_reply(r, m);
		break;
	case SS_RAFT_TIMEOUT_NOW:
		handle_timeout_now(r);
		break;
	}
}

void ss_raft_tick(struct ss_raft *r, int64_t now)
{
	if (r->broken)
		return;
	r->now = MAX(r->now, now);
	if (r->role != SS_RAFT_LEADER) {
		if (r->now >= r->deadline_ms && is_voter(r)) {
			r->transfer = false;
			campaign(r, true);
		}
		return;
	}
	/*
	 * A leader that no majority answers may have been replaced without
	 * knowing; it stops before it can decide on stale knowledge.
	 */
	if (!majority_value(r, value_heard)) {
		become_follower(r, r->term, 0);
		return;
	}
	if (r->now - r->heartbeat_ms >= r->o.heartbeat_ms) {
		r->round++;
		broadcast(r);
	}
}

static void flush_leader(struct ss_raft *r)
{
	if (r->reads_new) {
		r->reads_new = false;
		r->round++;
		broadcast(r);
	}
	/* Members write at the same time as this disk does. */
	for (guint i = 0; i < r->peers->len && r->dirty; i++) {
		struct peer *p = peer_at(r, i);

		if (p->id != r->o.self && p->next <= raft_log_last(&r->log) &&
		    p->next > r->log.snapshot.index)
			send_append(r, p);
	}
}

void ss_raft_flush(struct ss_raft *r, int64_t now)
{
	GError *error = NULL;
	struct ss_raft_msg m = { .kind = SS_RAFT_APPEND_REPLY, .ok = true };

	if (r->broken)
		return;
	r->now = MAX(r->now, now);
	if (r->role == SS_RAFT_LEADER)
		flush_leader(r);
	if (r->dirty) {
		r->dirty = false;
		if (!r->o.ops->sync(r->o.arg, &error)) {
			fail(r, error);
			return;
		}
		r->durable = raft_log_last(&r->log);
	}
	if (r->role == SS_RAFT_LEADER) {
		maybe_commit(r);
		finish_reads(r);
	} else if (r->ack) {
		r->ack = false;
		m.index = r->ack_index;
		m.round = r->ack_round;
		send(r, &m, r->ack_to);
	}
}

static bool must_lead(const struct ss_raft *r, GError **error)
{
	if (r->role == SS_RAFT_LEADER && !r->broken)
		return true;
	g_set_error(error, SS_ERROR, SS_ERROR_NOT_LEADER, "not the leader");
	return false;
}

bool ss_raft_propose(struct ss_raft *r, struct ss_str data, uint64_t *index,
		     GError **error)
{
	if (!must_lead(r, error))
		return false;
	return append_local(r, SS_RAFT_DATA, data, index, error);
}

bool ss_raft_read(struct ss_raft *r, int64_t now, uint64_t ctx, GError **error)
{
	struct read rd = { ctx, r->round + 1 };

	if (!must_lead(r, error))
		return false;
	if (raft_log_term(&r->log, r->commit) != r->term) {
		g_set_error(error, SS_ERROR, SS_ERROR_NOT_LEADER,
			    "leader not confirmed yet");
		return false;
	}
	r->now = MAX(r->now, now);
	g_array_append_val(r->reads, rd);
	r->reads_new = true;
	return true;
}

static bool may_change_members(struct ss_raft *r, GError **error)
{
	if (!must_lead(r, error))
		return false;
	/*
	 * Two open changes, or one on top of an unconfirmed log, can make
	 * two majorities that don't meet.
	 */
	if (r->members_index > r->commit ||
	    raft_log_term(&r->log, r->commit) != r->term) {
		g_set_error(error, SS_ERROR, SS_ERROR_CONFLICT,
			    "another change of members is open");
		return false;
	}
	return true;
}

static bool propose_members(struct ss_raft *r, const struct ss_raft_members *m,
			    GError **error)
{
	GString *data = ss_raft_encode_members(m);
	bool ok =
		append_local(r, SS_RAFT_MEMBERS, ss_str_gs(data), NULL, error);

	g_string_free(data, TRUE);
	return ok;
}

bool ss_raft_set_member(struct ss_raft *r, const struct ss_raft_member *m,
			GError **error)
{
	struct ss_raft_members view = { 0 };
	size_t i = 0;
	bool ok;

	if (!may_change_members(r, error))
		return false;
	view.n = r->members.n;
	view.m = g_new0(struct ss_raft_member, view.n + 1);
	memcpy(view.m, r->members.m, view.n * sizeof(*view.m));
	while (i < view.n && view.m[i].id != m->id)
		i++;
	view.m[i] = *m;
	view.n = MAX(view.n, i + 1);
	ok = propose_members(r, &view, error);
	g_free(view.m);
	return ok;
}

bool ss_raft_remove_member(struct ss_raft *r, uint64_t id, GError **error)
{
	struct ss_raft_members view = { 0 };
	size_t voters = 0;
	bool ok;

	if (!may_change_members(r, error))
		return false;
	view.m = g_new0(struct ss_raft_member, r->members.n + 1);
	for (size_t i = 0; i < r->members.n; i++) {
		if (r->members.m[i].id == id)
			continue;
		view.m[view.n++] = r->members.m[i];
		voters += r->members.m[i].voter;
	}
	if (voters == 0 || view.n == r->members.n) {
		g_set_error(error, SS_ERROR, SS_ERROR_NOT_FOUND,
			    voters ? "no such member" : "the last voter");
		g_free(view.m);
		return false;
	}
	ok = propose_members(r, &view, error);
	g_free(view.m);
	return ok;
}

bool ss_raft_compact(struct ss_raft *r, struct ss_str state, GError **error)
{
	struct ss_raft_snapshot s = { .index = r->applied, .data = state };
	struct raft_log upto = r->log;
	uint64_t index;
	bool ok;

	if (r->broken || r->applied <= r->log.snapshot.index)
		return true;
	s.term = raft_log_term(&r->log, s.index);
	/* The members as they stood at that index, not later ones. */
	upto.entries = g_array_new(FALSE, FALSE, sizeof(struct ss_raft_entry));
	g_array_append_vals(upto.entries, r->log.entries->data,
			    (guint)(s.index - r->log.snapshot.index));
	raft_log_members(&upto, &s.members, &index);
	g_array_unref(upto.entries);
	ok = r->o.ops->save_snapshot(r->o.arg, &s,
				     raft_log_at(&r->log, s.index + 1),
				     raft_log_last(&r->log) - s.index, error);
	if (ok) {
		raft_log_set_snapshot(&r->log, &s);
		r->durable = raft_log_last(&r->log);
		r->dirty = false;
	}
	ss_raft_clear_members(&s.members);
	return ok;
}

void ss_raft_transfer(struct ss_raft *r, int64_t now)
{
	struct ss_raft_msg m = { .kind = SS_RAFT_TIMEOUT_NOW };
	struct peer *best = NULL;

	r->now = MAX(r->now, now);
	if (r->role != SS_RAFT_LEADER)
		return;
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = peer_at(r, i);

		if (p->voter && p->id != r->o.self && value_heard(r, p) &&
		    (!best || p->match > best->match))
			best = p;
	}
	if (best)
		send(r, &m, best->id);
}

static bool load_log(struct ss_raft *r, const struct ss_raft_options *o,
		     GError **error)
{
	if (o->snapshot)
		raft_log_set_snapshot(&r->log, o->snapshot);
	for (size_t i = 0; i < o->n_entries; i++) {
		if (o->entries[i].index != raft_log_last(&r->log) + 1) {
			g_set_error(error, SS_ERROR, SS_ERROR_CORRUPT,
				    "log has entry %" PRIu64 " where %" PRIu64
				    " should be",
				    o->entries[i].index,
				    raft_log_last(&r->log) + 1);
			return false;
		}
		raft_log_add(&r->log, &o->entries[i]);
	}
	return true;
}

struct ss_raft *ss_raft_new(const struct ss_raft_options *o, int64_t now,
			    GError **error)
{
	struct ss_raft *r = g_new0(struct ss_raft, 1);

	r->o = *o;
	r->o.election_ms = o->election_ms ? o->election_ms : ELECTION_MS;
	r->o.heartbeat_ms = o->heartbeat_ms ? o->heartbeat_ms : HEARTBEAT_MS;
	r->o.batch_bytes = o->batch_bytes ? o->batch_bytes : BATCH_BYTES;
	r->term = o->term;
	r->vote = o->vote;
	r->now = now;
	r->reads = g_array_new(FALSE, FALSE, sizeof(struct read));
	r->incoming = g_string_new(NULL);
	raft_log_init(&r->log);
	if (!load_log(r, o, error)) {
		ss_raft_free(r);
		return NULL;
	}
	reload_members(r);
	r->durable = raft_log_last(&r->log);
	r->commit = r->applied = r->log.snapshot.index;
	set_deadline(r, o->first_ms ? o->first_ms : r->o.election_ms);
	if (o->snapshot && o->snapshot->data.n &&
	    !o->ops->restore(o->arg, o->snapshot->data)) {
		g_set_error(error, SS_ERROR, SS_ERROR_CORRUPT,
			    "snapshot %" PRIu64 " can't be restored",
			    o->snapshot->index);
		ss_raft_free(r);
		return NULL;
	}
	return r;
}

void ss_raft_free(struct ss_raft *r)
{
	if (!r)
		return;
	raft_log_clear(&r->log);
	ss_raft_clear_members(&r->members);
	if (r->peers)
		g_array_unref(r->peers);
	g_array_unref(r->reads);
	g_string_free(r->incoming, TRUE);
	g_free(r);
}

enum ss_raft_role ss_raft_role(const struct ss_raft *r)
{
	return r->role;
}

uint64_t ss_raft_term(const struct ss_raft *r)
{
	return r->term;
}

uint64_t ss_raft_leader(const struct ss_raft *r)
{
	return r->leader;
}

uint64_t ss_raft_last(const struct ss_raft *r)
{
	return raft_log_last(&r->log);
}

uint64_t ss_raft_commit(const struct ss_raft *r)
{
	return r->commit;
}

uint64_t ss_raft_applied(const struct ss_raft *r)
{
	return r->applied;
}

uint64_t ss_raft_first(const struct ss_raft *r)
{
	return r->log.snapshot.index + 1;
}

const struct ss_raft_members *ss_raft_members(const struct ss_raft *r)
{
	return &r->members;
}

const struct ss_raft_member *ss_raft_member(const struct ss_raft *r,
					    uint64_t id)
{
	for (size_t i = 0; i < r->members.n; i++)
		if (r->members.m[i].id == id)
			return &r->members.m[i];
	return NULL;
}

uint64_t ss_raft_match(const struct ss_raft *r, uint64_t id)
{
	struct peer *p = peer_find((struct ss_raft *)r, id);

	if (!p)
		return 0;
	return id == r->o.self ? r->durable : p->match;
}

int64_t ss_raft_quiet_ms(const struct ss_raft *r, uint64_t id)
{
	struct peer *p = peer_find((struct ss_raft *)r, id);

	if (!p || id == r->o.self || r->role != SS_RAFT_LEADER)
		return 0;
	return r->now - p->heard_ms;
}
