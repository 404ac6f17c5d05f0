/* The control group as one member sees it. */
#include "group.h"

#include "bootstrap.h"

#define TICK_MS 20
#define RECONNECT_MS 100
#define JOIN_MS 500
#define TEND_MS 200
/* A learner this close to the end of the log may become a voter. */
#define CAUGHT_UP 64
/* A member that heard no leader for so long asks to be taken in again: it
 * may have been removed while it was away. Three election timeouts. */
#define LEADERLESS_MS 2000
/*
 * A fleet's entries wait for a leader after a loss of power, so elections
 * are quick there: four heartbeats, which a write of 150 ms to a slow disk
 * doesn't use up. After a start the first campaign comes sooner still; the
 * pre-vote keeps it from unseating a leader that works.
 */
#define FAST_ELECTION_MS 400
#define FIRST_CAMPAIGN_MS 120
/*
 * A voter unheard for so long is removed, where enough others are left. It
 * is longer than a restart (some 2 s) and than a leader's change, and
 * short against the time until a second VM may be lost. One that comes
 * back joins again with its log.
 */
#define DEAD_MS 6000
/* Fewer voters than this bear no loss. */
#define VOTERS_MIN 3
/* The log rests for so long before it is marked as durable. */
#define MARK_AFTER_MS 200

/* A connection that this member makes, to another's address. */
struct out {
	char *addr;
	struct conn *conn;
	int64_t tried_ms;
};

struct proposal {
	uint64_t index, term;
	struct change_done done;
};

struct group {
	struct daemon *d;
	const struct group_ops *ops;
	void *arg;
	struct disk *disk;
	struct disk_state loaded;
	struct ss_raft *raft;
	struct ss_state *state;
	char *addr;
	GHashTable *outs;  /* addr -> struct out */
	GHashTable *heard; /* &id -> struct conn its last message came on */
	GQueue proposals;
	GHashTable *reads; /* &ctx -> struct read_done */
	uint64_t ctx;
	struct event *tick, *flush;
	char *leader_hint; /* who is said to lead, by one that was asked */
	int64_t join_ms, tend_ms;
	int64_t leader_ms;  /* when a leader was last known */
	int64_t append_ms;  /* when the log last grew */
	uint64_t lead_from; /* index of this leader's first entry */
	uint64_t *n_applied, *n_term, *n_leads, *n_snapshots;
	bool broken;
};

static int64_t now_ms(const struct group *g)
{
	return ss_clock_now(&g->d->clock);
}

static void flush_soon(struct group *g)
{
	/* Runs after what came in together, so that one sync serves all. */
	event_active(g->flush, EV_TIMEOUT, 0);
}

/* Connections to the other members. */

static const struct conn_ops out_table;

static struct out *out_for(struct group *g, const char *addr)
{
	struct out *o = g_hash_table_lookup(g->outs, addr);
	struct conn_options co = daemon_conn_options(g->d, &out_table, g);

	if (!o) {
		o = g_new0(struct out, 1);
		o->addr = g_strdup(addr);
		o->tried_ms = INT64_MIN / 2;
		g_hash_table_insert(g->outs, o->addr, o);
	}
	if (!o->conn && now_ms(g) - o->tried_ms >= RECONNECT_MS) {
		o->tried_ms = now_ms(g);
		o->conn = conn_connect(&co, addr);
		conn_set_data(o->conn, o);
	}
	return o;
}

static void out_free(void *p)
{
	struct out *o = p;

	if (o->conn)
		conn_close(o->conn);
	g_free(o->addr);
	g_free(o);
}

static void out_open(void *arg, struct conn *c)
{
	(void)arg;
	(void)c;
}

static void out_message(void *arg, struct conn *c, struct frame *f)
{
	group_message(arg, c, f);
}

static void out_closed(void *arg, struct conn *c, const GError *why)
{
	struct group *g = arg;
	struct out *o = conn_data(c);

	(void)why;
	if (o)
		o->conn = NULL;
	group_conn_closed(g, c);
}

static const struct conn_ops out_table = { out_open, out_message, out_closed };

static gboolean is_conn(gpointer key, gpointer value, gpointer conn)
{
	(void)key;
	return value == conn;
}

void group_conn_closed(struct group *g, struct conn *c)
{
	g_hash_table_foreach_remove(g->heard, is_conn, c);
}

/*
 * A message to a member without a connection is lost, and a lost vote costs
 * an election timeout; so connections to all members are kept.
 */
static void tend_conns(struct group *g)
{
	const struct ss_raft_members *all = ss_raft_members(g->raft);

	for (size_t i = 0; i < all->n; i++)
		if (all->m[i].id != g->loaded.id)
			out_for(g, all->m[i].addr.p);
}

/* Effects of the log. */

static bool op_save_vote(void *arg, uint64_t term, uint64_t vote, GError **e)
{
	return disk_save_vote(((struct group *)arg)->disk, term, vote, e);
}

static bool op_append(void *arg, const struct ss_raft_entry *e, size_t n,
		      GError **error)
{
	struct group *g = arg;
	GError *why = NULL;

	flush_soon(g);
	g->append_ms = now_ms(g);
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
	return disk_sync(((struct group *)arg)->disk, error);
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
	struct conn *c = g_hash_table_lookup(g->heard, &m->to);
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
		struct out *o = out_for(g, to->addr.p);

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

/* Proposals whose fate a lost leadership leaves open. */
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
	if (leads)
		g->lead_from = ss_raft_last(g->raft);
	else
		drop_proposals(g);
	log_info("role", "role=%s term=%" PRIu64 " leader=%" PRIx64,
		 leads ? "leader" : "follower", ss_raft_term(g->raft),
		 ss_raft_leader(g->raft));
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

static void op_failed(void *arg, const GError *error)
{
	struct group *g = arg;

	/*
	 * After a failed sync nobody knows what the disk holds, and trying
	 * again may report success for pages that were dropped.
	 */
	log_error("disk_failed", "type=%s why=\"%s\"",
		  ss_error_name((enum ss_error)error->code), error->message);
	g->broken = true;
	daemon_exit(g->d, 4);
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
};

static bool start_raft(struct group *g, GError **error)
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
	g->raft = ss_raft_new(&o, now_ms(g), error);
	return g->raft != NULL;
}

/* Joining. */

static void ask_at(struct group *g, const char *addr)
{
	struct msg_join m = { .id = g->loaded.id,
			      .name = g->d->hello.name,
			      .addr = ss_str(g->addr) };
	struct out *o;

	if (!strcmp(addr, g->addr))
		return;
	o = out_for(g, addr);
	if (o->conn)
		conn_send(o->conn, MSG_JOIN, &m);
}

static void ask_to_join(struct group *g, int64_t now)
{
	const GPtrArray *control = g->d->config.control;
	GArray *members;

	if (now - g->join_ms < JOIN_MS)
		return;
	g->join_ms = now;
	for (guint i = 0; i < control->len; i++)
		ask_at(g, control->pdata[i]);
	if (g->leader_hint)
		ask_at(g, g->leader_hint);
	if (!g->raft)
		return;
	/* All addresses of the settings may be those of VMs long gone. */
	members = group_member_addrs(g);
	for (guint i = 0; i < members->len; i++)
		ask_at(g,
		       g_array_index(members, struct control_addr, i).addr.p);
	g_array_unref(members);
}

static void take_join(struct group *g, struct conn *c, const struct msg_join *m)
{
	const char *leader = group_leader_addr(g);
	struct msg_leader reply = { 0 };
	struct ss_raft_member member = { .id = m->id,
					 .name = m->name,
					 .addr = m->addr };
	GError *error = NULL;

	/* The one that leads may be unknown to the one that asks: only the
	 * first control VMs stand in its settings. */
	if (!group_leads(g)) {
		if (leader) {
			reply.addr = ss_str(leader);
			conn_send(c, MSG_JOINED, &reply);
		}
		return;
	}
	if (!ss_raft_member(g->raft, m->id) &&
	    !ss_raft_set_member(g->raft, &member, &error)) {
		log_info("join_waits", "name=%.*s why=\"%s\"", SS_FMT(m->name),
			 error->message);
		g_error_free(error);
		return;
	}
	log_info("join", "name=%.*s id=%" PRIx64, SS_FMT(m->name), m->id);
	reply.group = g->loaded.group;
	reply.here = true;
	conn_send(c, MSG_JOINED, &reply);
	flush_soon(g);
}

static void take_joined(struct group *g, const struct msg_leader *m)
{
	GError *error = NULL;

	if (!m->group && m->addr.n) {
		g_free(g->leader_hint);
		g->leader_hint = ss_str_dup(m->addr);
		ask_at(g, g->leader_hint);
	}
	if (g->raft || !m->group)
		return;
	if (disk_set_group(g->disk, m->group, &error)) {
		g->loaded.group = m->group;
		g->d->hello.group = m->group;
	}
	if (error || !start_raft(g, &error)) {
		op_failed(g, error);
		g_clear_error(&error);
		return;
	}
	log_info("joined", "group=%" PRIx64, m->group);
}

static bool is_dead(const struct group *g, uint64_t id)
{
	return id != g->loaded.id && ss_raft_quiet_ms(g->raft, id) > DEAD_MS;
}

/* A learner that is heard and has caught up; NULL for none. */
static const struct ss_raft_member *find_caught_up(const struct group *g)
{
	const struct ss_raft_members *all = ss_raft_members(g->raft);
	uint64_t last = ss_raft_last(g->raft);

	for (size_t i = 0; i < all->n; i++) {
		uint64_t match = ss_raft_match(g->raft, all->m[i].id);

		if (!all->m[i].voter && match && match + CAUGHT_UP >= last &&
		    !is_dead(g, all->m[i].id))
			return &all->m[i];
	}
	return NULL;
}

/*
 * A member whose name or address a later voter has taken over: its disk is
 * lost. One that can't be heard any more goes too, if those that can be
 * heard are enough without it.
 */
static const struct ss_raft_member *find_lost(const struct group *g)
{
	const struct ss_raft_members *all = ss_raft_members(g->raft);
	const struct ss_raft_member *dead = NULL;
	size_t alive = 0;

	for (size_t i = 0; i < all->n; i++) {
		const struct ss_raft_member *m = &all->m[i];

		alive += m->voter && !is_dead(g, m->id);
		if (is_dead(g, m->id) && (!dead || dead->voter))
			dead = m;
		for (size_t k = 0; k < i && m->voter; k++)
			if ((ss_str_eq(all->m[k].name, m->name) ||
			     ss_str_eq(all->m[k].addr, m->addr)) &&
			    all->m[k].id != g->loaded.id)
				return &all->m[k];
	}
	return dead && (!dead->voter || alive >= VOTERS_MIN) ? dead : NULL;
}

/*
 * As leader, one step at a time: promote a learner that has caught up,
 * then drop what is lost.
 */
static void tend_members(struct group *g)
{
	const struct ss_raft_member *m = find_caught_up(g);

	if (m) {
		struct ss_raft_member voter = *m;

		voter.voter = true;
		log_info("promote", "name=%.*s id=%" PRIx64, SS_FMT(m->name),
			 m->id);
		ss_raft_set_member(g->raft, &voter, NULL);
		flush_soon(g);
		return;
	}
	m = find_lost(g);
	if (!m)
		return;
	log_info("drop_member", "name=%.*s id=%" PRIx64 " quiet_ms=%" PRId64,
		 SS_FMT(m->name), m->id, ss_raft_quiet_ms(g->raft, m->id));
	ss_raft_remove_member(g->raft, m->id, NULL);
	flush_soon(g);
}

/* Messages. */

static void take_raft(struct group *g, struct conn *c, const struct msg_raft *w)
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

	g_hash_table_replace(g->heard, id, c);
	if (w->members.n)
		ss_raft_decode_members(w->members, &m.members);
	ss_raft_step(g->raft, now_ms(g), &m);
	ss_raft_clear_members(&m.members);
	flush_soon(g);
}

bool group_message(struct group *g, struct conn *c, struct frame *f)
{
	switch (f->kind) {
	case MSG_RAFT:
		if (g->raft)
			take_raft(g, c, &f->u.raft);
		return true;
	case MSG_JOIN:
		take_join(g, c, &f->u.join);
		return true;
	case MSG_JOINED:
		take_joined(g, &f->u.leader);
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
	ss_raft_flush(g->raft, now_ms(g));
	if (!g->broken)
		maybe_compact(g);
}

static void mark_log(struct group *g)
{
	GError *error = NULL;

	if (disk_mark(g->disk, &error))
		return;
	/* A mark only tells more about what is durable already. */
	log_warn("mark_failed", "why=\"%s\"", error->message);
	g_error_free(error);
	g->append_ms = now_ms(g);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct group *g = arg;
	int64_t now = now_ms(g);

	(void)fd;
	(void)what;
	if (!g->raft) {
		ask_to_join(g, now);
		return;
	}
	tend_conns(g);
	ss_raft_tick(g->raft, now);
	if (ss_raft_leader(g->raft))
		g->leader_ms = now;
	else if (now - g->leader_ms > LEADERLESS_MS)
		ask_to_join(g, now);
	if (now - g->append_ms > MARK_AFTER_MS && !g->broken)
		mark_log(g);
	if (group_leads(g) && now - g->tend_ms >= TEND_MS) {
		g->tend_ms = now;
		tend_members(g);
	}
	flush_soon(g);
}

/* The public face. */

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
		flush_soon(g);
	} else {
		/* Another member may have room on its disk. */
		ss_raft_transfer(g->raft, now_ms(g));
		done.fn(done.arg, NULL, error);
		g_error_free(error);
	}
	g_string_free(bytes, TRUE);
}

void group_confirm(struct group *g, struct read_done done)
{
	uint64_t ctx = ++g->ctx;
	uint64_t *rec;

	if (!group_leads(g) || !ss_raft_read(g->raft, now_ms(g), ctx, NULL)) {
		done.fn(done.arg, false);
		return;
	}
	rec = g_malloc(sizeof(uint64_t) + sizeof(done));
	*rec = ctx;
	memcpy(rec + 1, &done, sizeof(done));
	g_hash_table_insert(g->reads, rec, rec + 1);
	flush_soon(g);
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
	       ss_raft_applied(g->raft) >= g->lead_from;
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

bool group_remove_member(struct group *g, uint64_t id, GError **error)
{
	bool ok;

	if (!g->raft) {
		g_set_error(error, SS_ERROR, SS_ERROR_NOT_LEADER,
			    "this VM is in no group");
		return false;
	}
	ok = ss_raft_remove_member(g->raft, id, error);
	flush_soon(g);
	return ok;
}

void group_leave(struct group *g)
{
	if (g->raft)
		ss_raft_transfer(g->raft, now_ms(g));
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
	g->outs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, out_free);
	g->heard = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	g->reads = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	g_queue_init(&g->proposals);
	g->n_applied = metrics_value(d->metrics, "ss_log_applied", "");
	g->n_term = metrics_value(d->metrics, "ss_log_term", "");
	g->n_leads = metrics_value(d->metrics, "ss_log_leads", "");
	g->n_snapshots =
		metrics_value(d->metrics, "ss_log_snapshots_total", "");
	g->flush = event_new(d->base, -1, 0, on_flush, g);
	g->leader_ms = now_ms(g);
	g->disk = disk_open(&o, &g->loaded, error);
	if (!g->disk ||
	    !found_group(&d->config, g->addr, &g->disk, &g->loaded, error) ||
	    (g->loaded.group && !start_raft(g, error))) {
		group_free(g);
		return NULL;
	}
	if (g->loaded.cut_bytes)
		log_warn("torn_tail", "bytes=%" PRIu64, g->loaded.cut_bytes);
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
	g_hash_table_unref(g->outs);
	g_hash_table_unref(g->heard);
	g_queue_clear_full(&g->proposals, g_free);
	ss_raft_free(g->raft);
	g_hash_table_unref(g->reads);
	ss_state_free(g->state);
	disk_close(g->disk);
	g_free(g->leader_hint);
	g_free(g->addr);
	g_free(g);
}
