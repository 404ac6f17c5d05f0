/* One member of the control group: connects the Raft log with the disk, the
 * network and the replicated state. */
#include "bootstrap.h"
#include "group_int.h"

/* Resolution of heartbeats and election timeouts, in ms. */
#define TICK_MS 20
/* A tick that is later than this, in ms, follows a pause of this process. */
#define LATE_TICK_MS 100
/* Delay between connection attempts to a member, in ms: a heartbeat. */
#define RECONNECT_MS 100
/*
 * A second silence within this time, in ms, shows that the member, or this
 * process, is slow: the next connection is kept for longer. Closed again and
 * again, it would carry no votes.
 */
#define SILENT_AGAIN_MS 10000
/* Time in ms without such a silence after which connections are closed as early
 * as at first. */
#define SILENT_CALM_MS 30000
/* Interval of membership repair, in ms; a membership change takes two syncs. */
#define REPAIR_MS 200
/* Time without a leader, in ms, after which a member asks to join again: it may
 * have been removed while it was disconnected. More than three election
 * timeouts of a fast group. */
#define LEADERLESS_MS 2000
/*
 * Election timeouts of a fleet, in ms. Its entries wait for a leader after a
 * power loss, so the timeout is short: four heartbeats, which still leaves
 * room for a 150 ms write to a slow disk. The first campaign after a start
 * comes even earlier; pre-vote keeps it from disturbing a working leader.
 */
#define FAST_ELECTION_MS 400
#define FIRST_CAMPAIGN_MS 120
/* Time without an append, in ms, after which the log is marked as durable. */
#define MARK_AFTER_MS 200

void group_flush_soon(struct group *g)
{
	event_active(g->flush, EV_TIMEOUT, 0);
}

/* Connections to the other members. */

static const struct conn_ops member_conn_table;

struct member_conn *group_conn_to(struct group *g, const char *addr)
{
	struct member_conn *o = g_hash_table_lookup(g->member_conns, addr);
	struct conn_options co =
		daemon_conn_options(g->d, &member_conn_table, g);

	if (!o) {
		o = g_new0(struct member_conn, 1);
		o->addr = g_strdup(addr);
		o->tried_ms = o->lost_ms = INT64_MIN / 2;
		g_hash_table_insert(g->member_conns, o->addr, o);
	}
	if (o->conn && !conn_is_connected(o->conn) &&
	    group_now(g) - o->tried_ms > CONN_CONNECT_MS) {
		conn_set_data(o->conn, NULL);
		conn_close(o->conn);
		o->conn = NULL;
	}
	if (!o->conn && group_now(g) - o->tried_ms >= RECONNECT_MS) {
		o->tried_ms = group_now(g);
		if (o->tried_ms - o->lost_ms > SILENT_CALM_MS)
			o->silent_ms = co.silent_ms ? co.silent_ms :
						      CONN_SILENT_MS;
		co.silent_ms = o->silent_ms;
		o->conn = conn_connect(&co, addr);
		conn_set_data(o->conn, o);
	}
	return o;
}

static void member_conn_free(void *p)
{
	struct member_conn *o = p;

	if (o->conn)
		conn_close(o->conn);
	g_free(o->addr);
	g_free(o);
}

static void member_conn_open(void *arg, struct conn *c)
{
	(void)arg;
	(void)c;
}

static void member_conn_message(void *arg, struct conn *c, struct frame *f)
{
	group_message(arg, c, f);
}

/* Keeps the next connection for longer if this one is the second of late that
 * was silent. */
static void note_silence(struct group *g, struct member_conn *o,
			 const struct conn *c)
{
	int64_t now = group_now(g);

	if (conn_quiet_ms(c) <= o->silent_ms)
		return;
	if (now - o->lost_ms < SILENT_AGAIN_MS)
		o->silent_ms = MIN(2 * o->silent_ms, GROUP_SILENT_MAX_MS);
	o->lost_ms = now;
}

static void member_conn_closed(void *arg, struct conn *c, const GError *why)
{
	struct group *g = arg;
	struct member_conn *o = conn_data(c);

	(void)why;
	if (o) {
		note_silence(g, o, c);
		o->conn = NULL;
		o->sent_ms = 0;
	}
	group_conn_closed(g, c);
}

static const struct conn_ops member_conn_table = { member_conn_open,
						   member_conn_message,
						   member_conn_closed };

static gboolean is_conn(gpointer key, gpointer value, gpointer conn)
{
	(void)key;
	return value == conn;
}

void group_conn_closed(struct group *g, struct conn *c)
{
	g_hash_table_foreach_remove(g->last_conns, is_conn, c);
}

/*
 * Keeps a connection to every member: a message to a member without one is
 * lost, and a lost vote costs an election timeout.
 */
static void connect_members(struct group *g)
{
	const struct ss_raft_members *all = ss_raft_members(g->raft);

	for (size_t i = 0; i < all->n; i++)
		if (all->m[i].id != g->loaded.id)
			group_conn_to(g, all->m[i].addr.p);
}

/* Raft callbacks. */

static bool op_save_vote(void *arg, uint64_t term, uint64_t vote, GError **e)
{
	struct group *g = arg;
	int64_t start = group_now(g);
	bool ok = disk_save_vote(g->disk, term, vote, e);

	group_note_sync(g, start);
	return ok;
}

static bool op_append(void *arg, const struct ss_raft_entry *e, size_t n,
		      GError **error)
{
	struct group *g = arg;
	GError *why = NULL;

	group_flush_soon(g);
	g->append_ms = group_now(g);
	if (disk_append(g->disk, e, n, &why))
		return true;
	log_error("append_failed", "type=%s why=\"%s\"",
		  ss_error_name((enum ss_error)why->code), why->message);
	g_propagate_error(error, why);
	return false;
}

static bool op_truncate(void *arg, uint64_t from, GError **error)
{
	return disk_truncate(((struct group *)arg)->disk, from, error);
}

static bool op_sync(void *arg, GError **error)
{
	struct group *g = arg;
	int64_t start = group_now(g);
	bool ok = disk_sync(g->disk, error);

	group_note_sync(g, start);
	return ok;
}

static bool op_save_snapshot(void *arg, const struct ss_raft_snapshot *s,
			     const struct ss_raft_entry *rest, size_t n,
			     GError **error)
{
	struct group *g = arg;

	(*g->n_snapshots)++;
	return disk_save_snapshot(g->disk, s, rest, n, error);
}

static void op_send(void *arg, const struct ss_raft_msg *m)
{
	struct group *g = arg;
	const struct ss_raft_member *to = ss_raft_member(g->raft, m->to);
	struct conn *c = g_hash_table_lookup(g->last_conns, &m->to);
	GString *members = NULL;
	struct msg_raft w = { .kind = m->kind,
			      .from = m->from,
			      .to = m->to,
			      .term = m->term,
			      .index = m->index,
			      .log_term = m->log_term,
			      .commit = m->commit,
			      .round = m->round,
			      .offset = m->offset,
			      .total = m->total,
			      .ok = m->ok,
			      .transfer = m->transfer,
			      .entries = { m->entries, m->n_entries },
			      .data = m->data };

	if (to) {
		struct member_conn *o = group_conn_to(g, to->addr.p);

		if (o->conn && conn_is_open(o->conn))
			c = o->conn;
	}
	if (!c)
		return;
	if (m->members.n) {
		members = ss_raft_encode_members(&m->members);
		w.members = ss_str_gs(members);
	}
	conn_send(c, MSG_RAFT, &w);
	if (members)
		g_string_free(members, TRUE);
}

static void op_apply(void *arg, const struct ss_raft_entry *e)
{
	struct group *g = arg;
	struct command_result result;
	struct proposal *p;

	ss_state_apply(g->state, e->index, e->data, &result);
	*g->n_applied = e->index;
	while ((p = g_queue_peek_head(&g->proposals)) && p->index <= e->index) {
		GError *error = NULL;

		g_queue_pop_head(&g->proposals);
		if (p->index != e->index || p->term != e->term)
			error = g_error_new(SS_ERROR, SS_ERROR_NOT_LEADER,
					    "another leader took over; the "
					    "change was not accepted");
		p->done.fn(p->done.arg, error ? NULL : &result, error);
		g_clear_error(&error);
		g_free(p);
	}
	g->ops->applied(g->arg, e->index);
}

static bool op_restore(void *arg, struct ss_str data)
{
	struct group *g = arg;

	return ss_state_restore(g->state, data);
}

/* Fails the pending proposals of a lost leadership: they may or may not be
 * committed later. */
static void drop_proposals(struct group *g)
{
	GQueue old = g->proposals;
	struct proposal *p;

	g_queue_init(&g->proposals);
	while ((p = g_queue_pop_head(&old))) {
		GError *e = g_error_new(SS_ERROR, SS_ERROR_NOT_LEADER,
					"leadership was lost before the change "
					"was accepted; send it again with the "
					"same change id");

		p->done.fn(p->done.arg, NULL, e);
		g_error_free(e);
		g_free(p);
	}
}

static void op_changed(void *arg)
{
	struct group *g = arg;
	bool leads;

	if (!g->raft)
		return;
	leads = ss_raft_role(g->raft) == SS_RAFT_LEADER;
	*g->n_term = ss_raft_term(g->raft);
	*g->n_leads = leads;
	if (leads) {
		g->leader_first = ss_raft_last(g->raft);
		/* Members need a heartbeat to show that they are there. */
		g->repair_ms = group_now(g);
	} else {
		drop_proposals(g);
	}
	group_log_role(g);
	g->ops->changed(g->arg);
}

static void op_read_done(void *arg, uint64_t ctx, bool ok)
{
	struct group *g = arg;
	struct read_done *p = g_hash_table_lookup(g->reads, &ctx);
	struct read_done done;

	if (!p)
		return;
	done = *p;
	g_hash_table_remove(g->reads, &ctx);
	done.fn(done.arg, ok);
}

void group_disk_failed(struct group *g, const GError *error)
{
	/*
	 * After a failed sync the content of the disk is unknown, and a retry
	 * may report success for pages that the kernel has dropped.
	 */
	log_error("disk_failed", "type=%s why=\"%s\"",
		  ss_error_name((enum ss_error)error->code), error->message);
	g->broken = true;
	daemon_exit(g->d, DAEMON_EXIT_DISK);
}

static void op_failed(void *arg, const GError *error)
{
	group_disk_failed(arg, error);
}

static void op_round_lost(void *arg)
{
	group_log_votes(arg);
}

static void op_exchanged(void *arg, uint64_t id, int64_t ms)
{
	group_note_exchange(arg, id, ms);
}

static bool op_may_lead(void *arg, uint64_t id)
{
	return !group_is_leaving(arg, id);
}

static const struct ss_raft_ops raft_table = {
	.save_vote = op_save_vote,
	.append = op_append,
	.truncate = op_truncate,
	.sync = op_sync,
	.save_snapshot = op_save_snapshot,
	.send = op_send,
	.apply = op_apply,
	.restore = op_restore,
	.changed = op_changed,
	.read_done = op_read_done,
	.failed = op_failed,
	.round_lost = op_round_lost,
	.exchanged = op_exchanged,
	.may_lead = op_may_lead,
};

bool group_start_raft(struct group *g, GError **error)
{
	struct ss_raft_options o = { .self = g->loaded.id,
				     .ops = &raft_table,
				     .arg = g,
				     .seed = g->d->seed,
				     .term = g->loaded.term,
				     .vote = g->loaded.vote,
				     .entries = g->loaded.entries,
				     .n_entries = g->loaded.n_entries };

	if (g->d->config.fleet.on) {
		o.election_ms = FAST_ELECTION_MS;
		o.first_ms = FIRST_CAMPAIGN_MS;
	}
	if (g->loaded.snapshot.index)
		o.snapshot = &g->loaded.snapshot;
	g->raft = ss_raft_new(&o, group_now(g), error);
	if (g->raft)
		group_log_start(g);
	return g->raft != NULL;
}

/* Returns true if this process stood still until now. */
static bool check_pause(struct group *g, int64_t now)
{
	int64_t late_ms = now - g->tick_ms - TICK_MS;

	if (late_ms <= LATE_TICK_MS)
		return false;
	g->tick_ms = now;
	group_note_pause(g, late_ms);
	ss_raft_paused(g->raft, now, late_ms);
	return true;
}

/* Messages. */

static void handle_raft(struct group *g, struct conn *c,
			const struct msg_raft *w)
{
	uint64_t *id = g_memdup2(&w->from, sizeof(w->from));
	struct ss_raft_msg m = { .kind = w->kind,
				 .from = w->from,
				 .to = w->to,
				 .term = w->term,
				 .index = w->index,
				 .log_term = w->log_term,
				 .commit = w->commit,
				 .round = w->round,
				 .offset = w->offset,
				 .total = w->total,
				 .ok = w->ok,
				 .transfer = w->transfer,
				 .entries = w->entries.items,
				 .n_entries = w->entries.n,
				 .data = w->data };

	check_pause(g, group_now(g));
	g_hash_table_replace(g->last_conns, id, c);
	group_redirect_candidate(g, c, w);
	if (w->members.n)
		ss_raft_decode_members(w->members, &m.members);
	ss_raft_step(g->raft, group_now(g), &m);
	ss_raft_clear_members(&m.members);
	group_flush_soon(g);
}

bool group_message(struct group *g, struct conn *c, struct frame *f)
{
	switch (f->kind) {
	case MSG_RAFT:
		if (g->raft)
			handle_raft(g, c, &f->u.raft);
		return true;
	case MSG_JOIN:
		group_handle_join(g, c, &f->u.join);
		return true;
	case MSG_JOINED:
		group_handle_joined(g, &f->u.leader);
		return true;
	case MSG_LEADER:
		group_handle_leader(g, &f->u.leader);
		return true;
	default:
		return false;
	}
}

static void maybe_compact(struct group *g)
{
	uint64_t held = ss_raft_applied(g->raft) + 1 - ss_raft_first(g->raft);
	GError *error = NULL;
	GString *s;

	if (held < (uint64_t)g->d->config.ctl.snapshot_entries)
		return;
	s = ss_state_snapshot(g->state);
	if (!ss_raft_compact(g->raft, ss_str_gs(s), &error)) {
		log_error("snapshot_failed", "why=\"%s\"", error->message);
		g_clear_error(&error);
	}
	g_string_free(s, TRUE);
}

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct group *g = arg;

	(void)fd;
	(void)what;
	if (!g->raft || g->broken)
		return;
	ss_raft_flush(g->raft, group_now(g));
	if (!g->broken)
		maybe_compact(g);
}

static void mark_log(struct group *g)
{
	GError *error = NULL;

	if (disk_mark(g->disk, &error))
		return;
	/* Nothing is lost: a mark only records that entries are durable. */
	log_warn("mark_failed", "why=\"%s\"", error->message);
	g_error_free(error);
	g->append_ms = group_now(g);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct group *g = arg;
	int64_t now = group_now(g);

	(void)fd;
	(void)what;
	if (!g->raft) {
		g->tick_ms = now;
		group_log_waiting(g);
		group_request_join(g, now);
		return;
	}
	/* Never two in a row: each tick of a slow process may be late. */
	if (check_pause(g, now) && !g->skipped) {
		g->skipped = true;
		return;
	}
	g->skipped = false;
	g->tick_ms = now;
	connect_members(g);
	group_announce(g, now);
	ss_raft_tick(g->raft, now);
	if (g->leaving)
		group_continue_leaving(g, now);
	if (ss_raft_leader(g->raft))
		g->leader_ms = now;
	else if (now - g->leader_ms > LEADERLESS_MS)
		group_request_join(g, now);
	if (now - g->append_ms > MARK_AFTER_MS && !g->broken)
		mark_log(g);
	if (group_leads(g) && now - g->repair_ms >= REPAIR_MS) {
		g->repair_ms = now;
		group_repair(g);
	}
	group_flush_soon(g);
}

/* Public functions. */

void group_change(struct group *g, struct command *c, struct change_done done)
{
	GError *error = NULL;
	uint64_t index;
	GString *bytes;
	struct proposal *p;

	c->at_ms = ss_wall_ms();
	if (!group_leads(g)) {
		error = g_error_new(SS_ERROR, SS_ERROR_NOT_LEADER,
				    "this VM doesn't lead");
		done.fn(done.arg, NULL, error);
		g_error_free(error);
		return;
	}
	bytes = ss_command_encode(c);
	if (ss_raft_propose(g->raft, ss_str_gs(bytes), &index, &error)) {
		p = g_new0(struct proposal, 1);
		p->index = index;
		p->term = ss_raft_term(g->raft);
		p->done = done;
		g_queue_push_tail(&g->proposals, p);
		group_flush_soon(g);
	} else {
		/* The disk may be full; another member's may have room. */
		ss_raft_transfer(g->raft, group_now(g));
		done.fn(done.arg, NULL, error);
		g_error_free(error);
	}
	g_string_free(bytes, TRUE);
}

void group_confirm(struct group *g, struct read_done done)
{
	uint64_t ctx = ++g->ctx;
	uint64_t *rec;

	if (!group_leads(g) ||
	    !ss_raft_read(g->raft, group_now(g), ctx, NULL)) {
		done.fn(done.arg, false);
		return;
	}
	rec = g_malloc(sizeof(uint64_t) + sizeof(done));
	*rec = ctx;
	memcpy(rec + 1, &done, sizeof(done));
	g_hash_table_insert(g->reads, rec, rec + 1);
	group_flush_soon(g);
}

const struct ss_state *group_state(const struct group *g)
{
	return g->state;
}

const struct ss_raft *group_raft(const struct group *g)
{
	return g->raft;
}

bool group_leads(const struct group *g)
{
	return g->raft && ss_raft_role(g->raft) == SS_RAFT_LEADER &&
	       ss_raft_applied(g->raft) >= g->leader_first;
}

uint64_t group_id(const struct group *g)
{
	return g->loaded.group;
}

const char *group_leader_addr(const struct group *g)
{
	const struct ss_raft_member *m;

	if (!g->raft || !ss_raft_leader(g->raft))
		return NULL;
	m = ss_raft_member(g->raft, ss_raft_leader(g->raft));
	return m ? m->addr.p : NULL;
}

const char *group_leader_hint(const struct group *g)
{
	return g->raft ? group_leader_addr(g) : g->leader_hint;
}

GArray *group_member_addrs(const struct group *g)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct control_addr));
	const struct ss_raft_members *all = g->raft ? ss_raft_members(g->raft) :
						      NULL;

	for (size_t i = 0; all && i < all->n; i++) {
		struct control_addr a = { all->m[i].addr };

		g_array_append_val(out, a);
	}
	return out;
}

bool group_send(struct group *g, uint64_t id, enum msg_kind kind,
		const void *msg)
{
	const struct ss_raft_member *to = ss_raft_member(g->raft, id);
	struct member_conn *o = to ? group_conn_to(g, to->addr.p) : NULL;

	return o && o->conn && conn_send(o->conn, kind, msg);
}

bool group_remove_member(struct group *g, uint64_t id, GError **error)
{
	bool ok;

	if (!g->raft) {
		g_set_error(error, SS_ERROR, SS_ERROR_NOT_LEADER,
			    "this VM is in no group");
		return false;
	}
	ok = ss_raft_remove_member(g->raft, id, error);
	group_flush_soon(g);
	return ok;
}

void group_leave(struct group *g)
{
	g->leaving = true;
	if (g->raft)
		group_continue_leaving(g, group_now(g));
}

void group_set_addr(struct group *g, const char *addr)
{
	g_free(g->addr);
	g->addr = g_strdup(addr);
}

struct group *group_new(struct daemon *d, const struct group_ops *ops,
			void *arg, GError **error)
{
	struct group *g = g_new0(struct group, 1);
	struct disk_options o = { .folder = d->config.ctl.data };

	g->d = d;
	g->ops = ops;
	g->arg = arg;
	g->state = ss_state_new();
	g->addr = g_strdup(*d->config.advertise ? d->config.advertise :
						  d->config.listen);
	g->member_conns = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						member_conn_free);
	g->last_conns = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	g->reads = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	g->leaving_members = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	g_queue_init(&g->proposals);
	g->n_applied = metrics_value(d->metrics, "ss_log_applied", "");
	g->n_term = metrics_value(d->metrics, "ss_log_term", "");
	g->n_leads = metrics_value(d->metrics, "ss_log_leads", "");
	g->n_snapshots =
		metrics_value(d->metrics, "ss_log_snapshots_total", "");
	g->sync_ms = metrics_hist(d->metrics, "ss_log_sync_ms", "");
	g->exchange_ms = metrics_hist(d->metrics, "ss_log_exchange_ms", "");
	g->flush = event_new(d->base, -1, 0, on_flush, g);
	g->leader_ms = g->tick_ms = group_now(g);
	g->disk = disk_open(&o, &g->loaded, error);
	if (!g->disk ||
	    !bootstrap_founders(&d->config, g->addr, &g->disk, &g->loaded,
				error) ||
	    (g->loaded.group && !group_start_raft(g, error))) {
		group_free(g);
		return NULL;
	}
	if (g->loaded.truncated_bytes)
		log_warn("torn_tail", "bytes=%" PRIu64,
			 g->loaded.truncated_bytes);
	d->hello.group = g->loaded.group;
	g->tick = daemon_every(d, TICK_MS, on_tick, g);
	return g;
}

void group_free(struct group *g)
{
	if (!g)
		return;
	if (g->tick)
		event_free(g->tick);
	event_free(g->flush);
	g_hash_table_unref(g->member_conns);
	g_hash_table_unref(g->last_conns);
	g_hash_table_unref(g->leaving_members);
	g_queue_clear_full(&g->proposals, g_free);
	ss_raft_free(g->raft);
	g_hash_table_unref(g->reads);
	ss_state_free(g->state);
	disk_close(g->disk);
	g_free(g->leader_hint);
	g_free(g->votes_text);
	g_free(g->addr);
	g_free(g);
}
