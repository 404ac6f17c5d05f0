/* Membership of the control group: joining, announcements and repair. */
#include "group_int.h"

/* Interval between join requests, in ms; a reply takes a round trip and the
 * commit of a membership change. */
#define JOIN_INTERVAL_MS 500
/* Interval of notices of a planned stop to the leader, in ms: a leader that has
 * just been elected knows none yet. */
#define LEAVE_INTERVAL_MS 50
/* Interval at which a leader in a planned stop transfers the leadership again,
 * in ms: the voter that was to lead may be lost. Longer than an election
 * timeout. */
#define TRANSFER_INTERVAL_MS 500
/* Interval of announcements to the control addresses of the settings, in ms. */
#define ANNOUNCE_MS 1000
/* Interval of checks for a new leader or connection, which are announced
 * without waiting for ANNOUNCE_MS, in ms. */
#define ANNOUNCE_CHECK_MS 100

static void request_join(struct group *g, const char *addr)
{
	struct msg_join m = { .id = g->loaded.id,
			      .name = g->d->hello.name,
			      .addr = ss_str(g->addr),
			      .leaving = g->leaving };
	struct member_conn *o;

	if (!strcmp(addr, g->addr))
		return;
	o = group_conn_to(g, addr);
	if (o->conn)
		conn_send(o->conn, MSG_JOIN, &m);
}

/* Sends a join request to a reported leader, now and in each later round. */
static void request_join_leader(struct group *g, struct ss_str addr)
{
	g_free(g->leader_hint);
	g->leader_hint = ss_str_dup(addr);
	request_join(g, g->leader_hint);
}

void group_request_join(struct group *g, int64_t now)
{
	const GPtrArray *control = g->d->config.control;
	GArray *members;

	if (now - g->join_ms < JOIN_INTERVAL_MS)
		return;
	g->join_ms = now;
	for (guint i = 0; i < control->len; i++)
		request_join(g, control->pdata[i]);
	if (g->leader_hint)
		request_join(g, g->leader_hint);
	if (!g->raft)
		return;
	/* The VMs that the settings name may all have been replaced. */
	members = group_member_addrs(g);
	for (guint i = 0; i < members->len; i++)
		request_join(
			g,
			g_array_index(members, struct control_addr, i).addr.p);
	g_array_unref(members);
}

void group_continue_leaving(struct group *g, int64_t now)
{
	const char *leader = group_leader_addr(g);

	if (now - g->transfer_ms >= TRANSFER_INTERVAL_MS) {
		g->transfer_ms = now;
		ss_raft_transfer(g->raft, now);
	}
	if (!leader || now - g->leave_ms < LEAVE_INTERVAL_MS)
		return;
	g->leave_ms = now;
	request_join(g, leader);
}

bool group_is_leaving(const struct group *g, uint64_t id)
{
	const int64_t *ms = g_hash_table_lookup(g->leaving_members, &id);

	return ms && group_now(g) - *ms <= REPAIR_SUSPECT_MS;
}

static gboolean has_left(gpointer id, gpointer ms, gpointer group)
{
	(void)ms;
	return !group_is_leaving(group, *(const uint64_t *)id);
}

/* Returns the members as this leader sees them; the caller frees them. */
static struct repair_member *view_members(struct group *g)
{
	size_t n = ss_raft_members(g->raft)->n;
	struct repair_member *m = g_new0(struct repair_member, n + 1);

	repair_members(g->raft, g->loaded.id, m);
	for (size_t i = 0; i < n; i++)
		m[i].leaving = group_is_leaving(g, m[i].id);
	return m;
}

static void note_leaving(struct group *g, const struct msg_join *m)
{
	int64_t now = group_now(g);

	g_hash_table_foreach_remove(g->leaving_members, has_left, g);
	if (!group_leads(g) || !ss_raft_member(g->raft, m->id))
		return;
	if (!group_is_leaving(g, m->id))
		log_info("leaving", "name=%.*s id=%" PRIx64, SS_FMT(m->name),
			 m->id);
	g_hash_table_replace(g->leaving_members,
			     g_memdup2(&m->id, sizeof(m->id)),
			     g_memdup2(&now, sizeof(now)));
}

/* Tells a member in a planned stop whether it may exit. */
static void handle_leaving(struct group *g, struct conn *c,
			   const struct msg_join *m)
{
	struct msg_leader reply = { .from_leader = true };
	struct repair_member *all;

	note_leaving(g, m);
	if (!group_leads(g) || ss_raft_members_open(g->raft))
		return;
	all = view_members(g);
	reply.may_end = repair_may_end(all, ss_raft_members(g->raft)->n, m->id,
				       ss_raft_last(g->raft));
	g_free(all);
	if (reply.may_end)
		conn_send(c, MSG_JOINED, &reply);
}

bool group_may_end(const struct group *g)
{
	const struct ss_raft_members *all;
	size_t others = 0;

	if (!g->raft || g->may_end)
		return true;
	all = ss_raft_members(g->raft);
	for (size_t i = 0; i < all->n; i++)
		others += all->m[i].id != g->loaded.id;
	return !others;
}

void group_redirect_candidate(struct group *g, struct conn *c,
			      const struct msg_raft *m)
{
	const char *leader = group_leader_addr(g);
	struct msg_leader reply = { 0 };

	if (m->kind != SS_RAFT_PREVOTE || !leader ||
	    ss_raft_member(g->raft, m->from))
		return;
	reply.addr = ss_str(leader);
	conn_send(c, MSG_JOINED, &reply);
}

void group_handle_join(struct group *g, struct conn *c,
		       const struct msg_join *m)
{
	const char *leader = group_leader_addr(g);
	struct msg_leader reply = { 0 };
	struct ss_raft_member member = { .id = m->id,
					 .name = m->name,
					 .addr = m->addr };
	GError *error = NULL;

	if (m->leaving) {
		handle_leaving(g, c, m);
		return;
	}
	/* The joining VM may not know the leader: its settings name only the
	 * first control VMs. */
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
	reply.from_leader = true;
	conn_send(c, MSG_JOINED, &reply);
	group_flush_soon(g);
}

void group_handle_joined(struct group *g, const struct msg_leader *m)
{
	GError *error = NULL;

	g->may_end |= g->leaving && m->may_end;
	if (!m->group && m->addr.n)
		request_join_leader(g, m->addr);
	if (g->raft || !m->group)
		return;
	if (disk_set_group(g->disk, m->group, &error)) {
		g->loaded.group = m->group;
		g->d->hello.group = m->group;
	}
	if (error || !group_start_raft(g, &error)) {
		group_disk_failed(g, error);
		g_clear_error(&error);
		return;
	}
	log_info("joined", "group=%" PRIx64, m->group);
}

static void announce_to(struct group *g, const char *addr,
			const struct msg_leader *m, int64_t now)
{
	uint64_t leader = ss_raft_leader(g->raft);
	struct member_conn *o = group_conn_to(g, addr);

	if (!o->conn || !conn_is_open(o->conn) ||
	    (o->sent_ms && o->sent_leader == leader &&
	     now - o->sent_ms < ANNOUNCE_MS))
		return;
	if (!conn_send(o->conn, MSG_LEADER, m))
		return;
	o->sent_ms = now;
	o->sent_leader = leader;
}

/*
 * Announces the group to the control addresses of the settings, which are the
 * only ones that other processes know at their start. The VMs there are
 * replaced over time, until none of the three may be a member; without the
 * announcements, no process would find the group after a power loss. Members
 * know each other from the log and never query the configured addresses.
 * Addresses of members get announcements too: a VM there may have lost its disk
 * and know no other member.
 */
void group_announce(struct group *g, int64_t now)
{
	const GPtrArray *control = g->d->config.control;
	const char *leader = group_leader_addr(g);
	struct msg_leader m = { .group = g->loaded.group };
	GArray *members;

	if (now - g->announce_ms < ANNOUNCE_CHECK_MS)
		return;
	g->announce_ms = now;
	members = group_member_addrs(g);
	if (leader)
		m.addr = ss_str(leader);
	m.members = (struct wire_list){ members->data, members->len };
	for (guint i = 0; i < control->len; i++)
		if (strcmp(control->pdata[i], g->addr))
			announce_to(g, control->pdata[i], &m, now);
	g_array_unref(members);
}

void group_handle_leader(struct group *g, const struct msg_leader *m)
{
	if (g->raft || !m->addr.n)
		return;
	request_join_leader(g, m->addr);
}

/* Logs who counts as lost and who could replace it, when that has changed: it
 * explains the steps that repair doesn't take. */
static void log_members(struct group *g, const struct repair_member *m,
			size_t n)
{
	struct repair_counts c = repair_count(m, n, ss_raft_last(g->raft));
	int64_t quiet = 0;

	if (!memcmp(&c, &g->counts, sizeof(c)))
		return;
	g->counts = c;
	for (size_t i = 0; i < n; i++)
		quiet = MAX(quiet, m[i].quiet_ms);
	log_info("members",
		 "voters=%zu lost=%zu leaving=%zu learners=%zu ready=%zu "
		 "quiet_most_ms=%" PRId64,
		 c.voters, c.lost, c.leaving, c.learners, c.ready, quiet);
}

void group_repair(struct group *g)
{
	size_t n = ss_raft_members(g->raft)->n;
	struct repair_member *m = view_members(g);
	struct repair_step step;
	GError *error = NULL;

	log_members(g, m, n);
	step = repair_next(m, n, ss_raft_last(g->raft));
	if (step.act != REPAIR_NONE) {
		log_info(step.act == REPAIR_PROMOTE ? "promote" : "drop_member",
			 "name=%.*s id=%" PRIx64 " voter=%d quiet_ms=%" PRId64,
			 SS_FMT(m[step.member].name), m[step.member].id,
			 m[step.member].voter, m[step.member].quiet_ms);
		if (!repair_propose(g->raft, step, &error))
			log_info("repair_waits", "why=\"%s\"", error->message);
		g_clear_error(&error);
		group_flush_soon(g);
	}
	g_free(m);
}
