/* Joining a control group, and keeping it whole. */
#include "../core/repair.h"
#include "group_int.h"

/* Pause between two requests to join; an answer takes a round trip and a
 * change of members to be committed. */
#define JOIN_MS 500
/* The group is announced this often to addresses of the settings, and at once
 * when another leads; a new connection is looked for as often. */
#define ANNOUNCE_MS 1000
#define ANNOUNCE_LOOK_MS 100

static void ask_at(struct group *g, const char *addr)
{
	struct msg_join m = { .id = g->loaded.id,
			      .name = g->d->hello.name,
			      .addr = ss_str(g->addr) };
	struct out *o;

	if (!strcmp(addr, g->addr))
		return;
	o = group_out_for(g, addr);
	if (o->conn)
		conn_send(o->conn, MSG_JOIN, &m);
}

/* Somebody has named it: ask it now, and again with the others. */
static void ask_leader(struct group *g, struct ss_str addr)
{
	g_free(g->leader_hint);
	g->leader_hint = ss_str_dup(addr);
	ask_at(g, g->leader_hint);
}

void group_ask_to_join(struct group *g, int64_t now)
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

void group_take_join(struct group *g, struct conn *c, const struct msg_join *m)
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
	reply.from_leader = true;
	conn_send(c, MSG_JOINED, &reply);
	group_flush_soon(g);
}

void group_take_joined(struct group *g, const struct msg_leader *m)
{
	GError *error = NULL;

	if (!m->group && m->addr.n)
		ask_leader(g, m->addr);
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
	struct out *o = group_out_for(g, addr);

	if (!o->conn || !conn_is_open(o->conn) ||
	    (o->told_ms && o->told_leader == leader &&
	     now - o->told_ms < ANNOUNCE_MS))
		return;
	if (!conn_send(o->conn, MSG_LEADER, m))
		return;
	o->told_ms = now;
	o->told_leader = leader;
}

/*
 * Processes know the addresses of their settings only, and these are exchanged
 * over time, until all three are VMs that know nothing of the group: after a
 * loss of power nobody would find a group that leads. Members know one another
 * from their log and ask no address of the settings, so they tell these for as
 * long as they run; members' addresses too, where one may stand that has lost
 * its disk and knows of nobody else.
 */
void group_announce(struct group *g, int64_t now)
{
	const GPtrArray *control = g->d->config.control;
	const char *leader = group_leader_addr(g);
	struct msg_leader m = { .group = g->loaded.group };
	GArray *members;

	if (now - g->announce_ms < ANNOUNCE_LOOK_MS)
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

void group_take_announced(struct group *g, const struct msg_leader *m)
{
	if (g->raft || !m->addr.n)
		return;
	ask_leader(g, m->addr);
}

/* As leader, one step at a time: promote, or drop what is lost. */
void group_tend(struct group *g)
{
	const struct ss_raft_members *all = ss_raft_members(g->raft);
	struct repair_member *m = g_new0(struct repair_member, all->n + 1);
	struct ss_raft_member voter;
	struct repair_step step;

	for (size_t i = 0; i < all->n; i++)
		m[i] = (struct repair_member){
			.id = all->m[i].id,
			.name = all->m[i].name,
			.addr = all->m[i].addr,
			.voter = all->m[i].voter,
			.self = all->m[i].id == g->loaded.id,
			.quiet_ms = ss_raft_quiet_ms(g->raft, all->m[i].id),
			.match = ss_raft_match(g->raft, all->m[i].id),
		};
	step = repair_next(m, all->n, ss_raft_last(g->raft));
	if (step.act != REPAIR_NONE)
		log_info(step.act == REPAIR_PROMOTE ? "promote" : "drop_member",
			 "name=%.*s id=%" PRIx64 " voter=%d quiet_ms=%" PRId64,
			 SS_FMT(m[step.member].name), m[step.member].id,
			 m[step.member].voter, m[step.member].quiet_ms);
	if (step.act == REPAIR_PROMOTE) {
		voter = all->m[step.member];
		voter.voter = true;
		ss_raft_set_member(g->raft, &voter, NULL);
	} else if (step.act == REPAIR_REMOVE) {
		ss_raft_remove_member(g->raft, m[step.member].id, NULL);
	}
	if (step.act != REPAIR_NONE)
		group_flush_soon(g);
	g_free(m);
}
