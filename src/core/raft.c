/*
 * Raft: public interface, timers and message dispatch. Follows Ongaro's Raft,
 * with pre-vote and check-quorum.
 */
#include "raft_int.h"

/* Default minimum election timeout in ms; a follower starts a campaign after
 * one to two times this without a message from the leader. Six heartbeats, so
 * that a few lost ones cause no election. */
#define ELECTION_MS 600
/* Default heartbeat interval in ms: a hundred round trips between failure
 * domains. */
#define HEARTBEAT_MS 100
/* Default limit of entries in one message, in bytes: 1/64 of the largest frame,
 * so that a slow link doesn't delay the heartbeats behind it. */
#define BATCH_BYTES (256 * 1024)

static uint64_t value_active(struct ss_raft *r, const struct peer *p)
{
	return p->id == r->o.self ||
	       r->now - p->contact_ms < raft_timeout_ms(r);
}

static bool is_transferring(const struct ss_raft *r)
{
	return r->transfer_to && r->now < r->transfer_until_ms;
}

/* Follows into a newer term. A candidate that was only behind in terms asks
 * again without waiting. */
static bool adopt_term(struct ss_raft *r, const struct ss_raft_msg *m,
		       bool from_leader)
{
	bool asked = r->role == SS_RAFT_PRECANDIDATE &&
		     m->kind == SS_RAFT_PREVOTE_REPLY;

	if (!raft_become_follower(r, m->term, from_leader ? m->from : 0))
		return false;
	if (asked)
		r->deadline_ms = r->now;
	return true;
}

/* Applies Raft's term rules; returns false if the message must not be handled.
 */
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
		    raft_has_live_leader(r))
			return false;
		return adopt_term(r, m, from_leader);
	}
	/* The reply carries the current term to a stale leader or candidate. */
	if (m->kind == SS_RAFT_PREVOTE) {
		reply.kind = SS_RAFT_PREVOTE_REPLY;
		reply.round = m->round;
		reply.offset = SS_RAFT_OLD_TERM;
	}
	if (from_leader || m->kind == SS_RAFT_PREVOTE)
		raft_send(r, &reply, m->from);
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
		raft_handle_vote(r, m);
		break;
	case SS_RAFT_PREVOTE_REPLY:
	case SS_RAFT_VOTE_REPLY:
		raft_handle_vote_reply(r, m);
		break;
	case SS_RAFT_APPEND:
		if (r->role != SS_RAFT_LEADER)
			raft_handle_append(r, m);
		break;
	case SS_RAFT_APPEND_REPLY:
		raft_handle_append_reply(r, m);
		break;
	case SS_RAFT_SNAPSHOT:
		if (r->role != SS_RAFT_LEADER)
			raft_handle_snapshot(r, m);
		break;
	case SS_RAFT_SNAPSHOT_REPLY:
		raft_handle_snapshot_reply(r, m);
		break;
	case SS_RAFT_TIMEOUT_NOW:
		raft_handle_timeout_now(r);
		break;
	}
}

/* Handles the end of an election timeout without a message from a leader. A
 * learner can't campaign; it may have been removed, and asks to join again once
 * it knows no leader. */
static void handle_timeout(struct ss_raft *r)
{
	if (!raft_is_voter(r)) {
		raft_become_follower(r, r->term, 0);
		return;
	}
	r->transfer = false;
	raft_campaign(r, true);
}

void ss_raft_tick(struct ss_raft *r, int64_t now)
{
	if (r->broken)
		return;
	r->now = MAX(r->now, now);
	if (r->role != SS_RAFT_LEADER) {
		if (r->now >= r->deadline_ms)
			handle_timeout(r);
		return;
	}
	/*
	 * Check-quorum: a leader without replies from a majority may have been
	 * replaced; it steps down before it acts on stale state.
	 */
	if (!raft_majority_value(r, value_active)) {
		raft_pace_gave_up(r);
		raft_become_follower(r, r->term, 0);
		return;
	}
	if (!is_transferring(r))
		r->transfer_to = 0;
	raft_heartbeat(r);
}

static void flush_leader(struct ss_raft *r)
{
	if (r->reads_new) {
		r->reads_new = false;
		raft_broadcast(r);
	}
	/* Sends before the local sync, so that all disks write at once. */
	for (guint i = 0; i < r->peers->len && r->dirty; i++) {
		struct peer *p = raft_peer_at(r, i);

		if (p->id != r->o.self && p->next <= raft_log_last(&r->log) &&
		    p->next > r->log.snapshot.index)
			raft_send_append(r, p);
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
			raft_fail(r, error);
			return;
		}
		r->durable = raft_log_last(&r->log);
	}
	if (r->role == SS_RAFT_LEADER) {
		raft_advance_commit(r);
		raft_complete_reads(r);
	} else if (r->ack) {
		r->ack = false;
		m.index = r->ack_index;
		m.round = r->ack_round;
		raft_send(r, &m, r->ack_to);
	}
}

static bool require_leader(const struct ss_raft *r, GError **error)
{
	if (r->role == SS_RAFT_LEADER && !r->broken)
		return true;
	g_set_error(error, SS_ERROR, SS_ERROR_NOT_LEADER, "not the leader");
	return false;
}

/* Fails for a leader that hands over, too: an entry that the next leader
 * doesn't have yet would cost it the election. */
static bool require_writable(const struct ss_raft *r, GError **error)
{
	if (!require_leader(r, error))
		return false;
	if (!is_transferring(r))
		return true;
	g_set_error(error, SS_ERROR, SS_ERROR_NOT_LEADER,
		    "the leadership is being transferred");
	return false;
}

bool ss_raft_propose(struct ss_raft *r, struct ss_str data, uint64_t *index,
		     GError **error)
{
	if (!require_writable(r, error))
		return false;
	return raft_append_local(r, SS_RAFT_DATA, data, index, error);
}

bool ss_raft_read(struct ss_raft *r, int64_t now, uint64_t ctx, GError **error)
{
	struct pending_read rd = { ctx, r->round + 1 };

	if (!require_leader(r, error))
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

static bool check_member_change(struct ss_raft *r, GError **error)
{
	if (!require_writable(r, error))
		return false;
	/*
	 * Two uncommitted changes, or one before this term has a committed
	 * entry, could produce two majorities that don't overlap.
	 */
	if (ss_raft_members_open(r) ||
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
	bool ok = raft_append_local(r, SS_RAFT_MEMBERS, ss_str_gs(data), NULL,
				    error);

	g_string_free(data, TRUE);
	return ok;
}

bool ss_raft_set_member(struct ss_raft *r, const struct ss_raft_member *m,
			GError **error)
{
	struct ss_raft_members view = { 0 };
	size_t i = 0;
	bool ok;

	if (!check_member_change(r, error))
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

	if (!check_member_change(r, error))
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

static bool may_lead(const struct ss_raft *r, const struct peer *p)
{
	return !r->o.ops->may_lead || r->o.ops->may_lead(r->o.arg, p->id);
}

void ss_raft_transfer(struct ss_raft *r, int64_t now)
{
	struct peer *best = NULL;

	r->now = MAX(r->now, now);
	if (r->role != SS_RAFT_LEADER || is_transferring(r))
		return;
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = raft_peer_at(r, i);

		if (p->voter && p->id != r->o.self && value_active(r, p) &&
		    may_lead(r, p) && (!best || p->match > best->match))
			best = p;
	}
	if (!best)
		return;
	r->transfer_to = best->id;
	r->transfer_until_ms = r->now + raft_timeout_ms(r);
	raft_continue_transfer(r);
}

static bool load_log(struct ss_raft *r, const struct ss_raft_options *o,
		     GError **error)
{
	if (o->snapshot)
		raft_log_set_snapshot(&r->log, o->snapshot);
	for (size_t i = 0; i < o->n_entries; i++) {
		if (o->entries[i].index != raft_log_last(&r->log) + 1) {
			g_set_error(error, SS_ERROR, SS_ERROR_CORRUPT,
				    "log entry has index %" PRIu64
				    ", expected %" PRIu64,
				    o->entries[i].index,
				    raft_log_last(&r->log) + 1);
			return false;
		}
		raft_log_append(&r->log, &o->entries[i]);
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
	r->reads = g_array_new(FALSE, FALSE, sizeof(struct pending_read));
	r->incoming = g_string_new(NULL);
	raft_log_init(&r->log);
	if (!load_log(r, o, error)) {
		ss_raft_free(r);
		return NULL;
	}
	raft_reload_members(r);
	r->durable = raft_log_last(&r->log);
	r->commit = r->applied = r->log.snapshot.index;
	raft_set_deadline(r, o->first_ms ? o->first_ms : r->o.election_ms);
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

bool ss_raft_members_open(const struct ss_raft *r)
{
	return r->members_index > r->commit;
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
	struct peer *p = raft_peer_find((struct ss_raft *)r, id);

	if (!p)
		return 0;
	return id == r->o.self ? r->durable : p->match;
}

int64_t ss_raft_overdue_ms(const struct ss_raft *r, uint64_t id)
{
	int64_t longer_ms = raft_timeout_ms(r) - r->o.election_ms;

	return MAX(0, ss_raft_quiet_ms(r, id) - longer_ms);
}

struct ss_raft_ballot ss_raft_ballot(const struct ss_raft *r, uint64_t id)
{
	struct peer *p = raft_peer_find((struct ss_raft *)r, id);

	return p ? p->ballot : (struct ss_raft_ballot){ 0 };
}

int64_t ss_raft_quiet_ms(const struct ss_raft *r, uint64_t id)
{
	struct peer *p = raft_peer_find((struct ss_raft *)r, id);

	if (!p || id == r->o.self || r->role != SS_RAFT_LEADER)
		return 0;
	return r->now - p->contact_ms;
}
