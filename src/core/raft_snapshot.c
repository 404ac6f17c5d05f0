/* Raft: installation of snapshots, replies to them, and compaction. */
#include "raft_int.h"

static void install_snapshot(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct ss_raft_snapshot s = { .index = m->index,
				      .term = m->log_term,
				      .members = m->members,
				      .data = ss_str_gs(r->incoming) };
	bool keep = raft_log_term(&r->log, m->index) == m->log_term;
	const struct ss_raft_entry *rest =
		keep ? raft_log_get(&r->log, m->index + 1) : NULL;
	size_t n = rest ? raft_log_last(&r->log) - m->index : 0;
	GError *error = NULL;

	if (!r->o.ops->save_snapshot(r->o.arg, &s, rest, n, &error)) {
		raft_fail(r, error);
		return;
	}
	raft_log_set_snapshot(&r->log, &s);
	r->durable = raft_log_last(&r->log);
	r->commit = r->applied = s.index;
	raft_reload_members(r);
	if (!r->o.ops->restore(r->o.arg, s.data)) {
		g_set_error(&error, SS_ERROR, SS_ERROR_CORRUPT,
			    "snapshot %" PRIu64 " can't be restored", s.index);
		raft_fail(r, error);
	}
}

void raft_handle_snapshot(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct ss_raft_msg reply = { .kind = SS_RAFT_SNAPSHOT_REPLY,
				     .index = m->index,
				     .round = m->round,
				     .ok = true };

	raft_follow_leader(r, m);
	if (m->index <= r->commit) {
		raft_ack_later(r, m, m->index);
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
		raft_send(r, &reply, m->from);
		return;
	}
	install_snapshot(r, m);
	g_string_truncate(r->incoming, 0);
	r->incoming_index = 0;
	if (!r->broken)
		raft_ack_later(r, m, m->index);
}

void raft_handle_snapshot_reply(struct ss_raft *r, const struct ss_raft_msg *m)
{
	struct peer *p = raft_peer_find(r, m->from);

	if (r->role != SS_RAFT_LEADER || !p)
		return;
	p->contact_ms = r->now;
	p->round = MAX(p->round, m->round);
	if (p->snap_index != m->index || m->offset > r->log.snapshot.data.n)
		return;
	p->snap_offset = m->offset;
	p->snap_ms = 0;
	raft_send_append(r, p);
	raft_complete_reads(r);
}

bool ss_raft_compact(struct ss_raft *r, struct ss_str state, GError **error)
{
	struct ss_raft_snapshot s = { .index = r->applied, .data = state };
	struct raft_log prefix = r->log;
	uint64_t index;
	bool ok;

	if (r->broken || r->applied <= r->log.snapshot.index)
		return true;
	s.term = raft_log_term(&r->log, s.index);
	/* Finds the members in force at the snapshot's index, not later. */
	prefix.entries =
		g_array_new(FALSE, FALSE, sizeof(struct ss_raft_entry));
	g_array_append_vals(prefix.entries, r->log.entries->data,
			    (guint)(s.index - r->log.snapshot.index));
	raft_log_members(&prefix, &s.members, &index);
	g_array_unref(prefix.entries);
	ok = r->o.ops->save_snapshot(r->o.arg, &s,
				     raft_log_get(&r->log, s.index + 1),
				     raft_log_last(&r->log) - s.index, error);
	if (ok) {
		raft_log_set_snapshot(&r->log, &s);
		r->durable = raft_log_last(&r->log);
		r->dirty = false;
	}
	ss_raft_clear_members(&s.members);
	return ok;
}
