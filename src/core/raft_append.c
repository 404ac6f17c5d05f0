/* Raft: replication and commit of entries. */
#include "raft_int.h"

/* Limit of entries in one message: bounds the work of one event loop iteration
 * if entries are small. */
#define BATCH_ENTRIES 1024
/* Heartbeat intervals until an unanswered snapshot chunk is sent again. */
#define SNAPSHOT_RESEND_HEARTBEATS 3

static uint64_t value_match(struct ss_raft *r, const struct peer *p)
{
	return p->id == r->o.self ? r->durable : p->match;
}

static uint64_t value_round(struct ss_raft *r, const struct peer *p)
{
	return p->id == r->o.self ? r->round : p->round;
}

static void apply_committed(struct ss_raft *r)
{
	while (r->applied < r->commit && !r->broken) {
		struct ss_raft_entry e = *raft_log_get(&r->log, r->applied + 1);

		r->applied = e.index;
		if (e.kind == SS_RAFT_DATA)
			r->o.ops->apply(r->o.arg, &e);
	}
}

/* Sends the next snapshot chunk to a member that needs compacted entries. */
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
	raft_send(r, &m, p->id);
}

void raft_send_append(struct ss_raft *r, struct peer *p)
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
			(struct ss_raft_entry *)raft_log_get(&r->log, p->next);
	while (p->next + m.n_entries <= last && m.n_entries < BATCH_ENTRIES &&
	       bytes < r->o.batch_bytes)
		bytes += m.entries[m.n_entries++].data.n;
	p->next += m.n_entries;
	raft_send(r, &m, p->id);
}

void raft_broadcast(struct ss_raft *r)
{
	r->round++;
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = raft_peer_at(r, i);

		if (p->id != r->o.self)
			raft_send_append(r, p);
	}
	r->last_heartbeat_ms = r->now;
	if (r->timed_round)
		return;
	r->timed_round = r->round;
	r->timed_ms = r->now;
}

void raft_heartbeat(struct ss_raft *r)
{
	if (r->now - r->last_heartbeat_ms >= r->o.heartbeat_ms)
		raft_broadcast(r);
}

bool raft_append_local(struct ss_raft *r, int64_t kind, struct ss_str data,
		       uint64_t *index, GError **error)
{
	struct ss_raft_entry e = { .index = raft_log_last(&r->log) + 1,
				   .term = r->term,
				   .kind = kind,
				   .data = data };

	if (!r->o.ops->append(r->o.arg, &e, 1, error))
		return false;
	raft_log_append(&r->log, &e);
	r->dirty = true;
	if (index)
		*index = e.index;
	if (kind == SS_RAFT_MEMBERS)
		raft_reload_members(r);
	return true;
}

static void reject_append(struct ss_raft *r, const struct ss_raft_msg *m)
{
	uint64_t last = raft_log_last(&r->log);
	struct ss_raft_msg reply = { .kind = SS_RAFT_APPEND_REPLY,
				     .index = m->index,
				     .round = m->round };
	uint64_t hint = MIN(last + 1, m->index);

	/* Skips back over all entries of the conflicting term at once. */
	if (m->index <= last) {
		uint64_t conflict = raft_log_term(&r->log, m->index);

		while (hint > r->commit + 1 &&
		       raft_log_term(&r->log, hint - 1) == conflict)
			hint--;
	}
	reply.offset = MAX(hint, r->log.snapshot.index + 1);
	raft_send(r, &reply, m->from);
}

/*
 * Appends the missing entries and removes conflicting ones. Returns false if
 * the message must not be acknowledged.
 */
static bool append_entries(struct ss_raft *r, const struct ss_raft_msg *m)
{
	GError *error = NULL;
	size_t skip = 0;
	bool members_changed = false;

	while (skip < m->n_entries &&
	       (m->entries[skip].index <= r->log.snapshot.index ||
		raft_log_term(&r->log, m->entries[skip].index) ==
			m->entries[skip].term))
		skip++;
	if (skip == m->n_entries)
		return true;
	if (m->entries[skip].index <= raft_log_last(&r->log)) {
		if (m->entries[skip].index <= r->commit) {
			/* Two logs disagree on a committed entry. */
			g_set_error(&error, SS_ERROR, SS_ERROR_CORRUPT,
				    "committed entry %" PRIu64
				    " differs from the leader's",
				    m->entries[skip].index);
			raft_fail(r, error);
			return false;
		}
		if (!r->o.ops->truncate(r->o.arg, m->entries[skip].index,
					&error)) {
			raft_fail(r, error);
			return false;
		}
		raft_log_truncate(&r->log, m->entries[skip].index);
		r->durable = MIN(r->durable, raft_log_last(&r->log));
		members_changed = true;
	}
	if (!r->o.ops->append(r->o.arg, m->entries + skip, m->n_entries - skip,
			      &error)) {
		g_clear_error(&error);
		if (members_changed)
			raft_reload_members(r);
		return false;
	}
	r->dirty = true;
	for (size_t i = skip; i < m->n_entries; i++) {
		raft_log_append(&r->log, &m->entries[i]);
		members_changed |= m->entries[i].kind == SS_RAFT_MEMBERS;
	}
	if (members_changed)
		raft_reload_members(r);
	return true;
}

void raft_ack_later(struct ss_raft *r, const struct ss_raft_msg *m,
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

void raft_follow_leader(struct ss_raft *r, const struct ss_raft_msg *m)
{
	raft_become_follower(r, m->term, m->from);
	raft_pace_contact(r, m);
	raft_clear_votes(r);
	r->leader_contact_ms = r->now;
	r->contact_term = m->term;
	r->former = m->from;
	r->gave_up_ms = 0;
	raft_reset_deadline(r);
}

static bool entries_follow(const struct ss_raft_msg *m)
{
	for (size_t i = 0; i < m->n_entries; i++)
		if (m->entries[i].index != m->index + 1 + i)
			return false;
	return true;
}

void raft_handle_append(struct ss_raft *r, const struct ss_raft_msg *m)
{
	uint64_t last_new = m->index + m->n_entries;

	raft_follow_leader(r, m);
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
	raft_ack_later(r, m, MAX(last_new, r->log.snapshot.index));
	if (MIN(m->commit, last_new) > r->commit) {
		r->commit = MIN(m->commit, last_new);
		apply_committed(r);
	}
}

void raft_advance_commit(struct ss_raft *r)
{
	uint64_t n = raft_majority_value(r, value_match);

	if (n <= r->commit || raft_log_term(&r->log, n) != r->term)
		return;
	r->commit = n;
	apply_committed(r);
	if (r->role == SS_RAFT_LEADER && !raft_peer_find(r, r->o.self) &&
	    r->members_index <= r->commit)
		raft_become_follower(r, r->term, 0);
	/* Sends the new commit index at once if no further entries carry it. */
	if (r->role == SS_RAFT_LEADER && r->commit == raft_log_last(&r->log))
		raft_broadcast(r);
}

void raft_complete_reads(struct ss_raft *r)
{
	uint64_t round = raft_majority_value(r, value_round);

	raft_pace_round(r, round);
	while (r->role == SS_RAFT_LEADER && r->reads->len) {
		struct pending_read rd =
			g_array_index(r->reads, struct pending_read, 0);

		if (rd.round > round)
			return;
		g_array_remove_index(r->reads, 0);
		r->o.ops->read_done(r->o.arg, rd.ctx, true);
	}
}

void raft_continue_transfer(struct ss_raft *r)
{
	struct ss_raft_msg m = { .kind = SS_RAFT_TIMEOUT_NOW };
	struct peer *p = raft_peer_find(r, r->transfer_to);

	if (p && p->match == raft_log_last(&r->log))
		raft_send(r, &m, p->id);
}

void raft_handle_append_reply(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct peer *p = raft_peer_find(r, m->from);

	if (!p)
		return;
	/* It came too late; the next leadership has to last longer. */
	if (r->role != SS_RAFT_LEADER) {
		raft_pace_round(r, m->round);
		return;
	}
	p->contact_ms = r->now;
	p->round = MAX(p->round, m->round);
	if (r->timed_round && p->round >= r->timed_round)
		raft_note_exchange(r, p, r->now - r->timed_ms);
	if (m->ok) {
		p->match = MAX(p->match, m->index);
		p->next = MAX(p->next, p->match + 1);
		raft_advance_commit(r);
	} else if (m->index > p->match) {
		p->next = MAX(m->offset, p->match + 1);
		raft_send_append(r, p);
	}
	if (r->role != SS_RAFT_LEADER)
		return;
	p = raft_peer_find(r, m->from);
	if (p && p->next <= raft_log_last(&r->log) &&
	    p->next > r->log.snapshot.index)
		raft_send_append(r, p);
	raft_complete_reads(r);
	if (r->transfer_to == m->from)
		raft_continue_transfer(r);
}
