/* The connection to the leader: search, replacement and suspension. */
#include "link.h"

#include "../base/log.h"
#include "../core/discovery.h"

/*
 * Interval at which one more address is asked while no leader is known, and its
 * random jitter, in ms. The jitter keeps processes that lost the leader
 * together from reconnecting together. Earlier connections stay open: a VM that
 * knows no leader reports one as soon as it does, and an unreachable VM delays
 * no other. Eight addresses are asked within 0.6 s; if one VM of three answers,
 * it is found within a second.
 */
#define ASK_INTERVAL_MS 50
#define ASK_JITTER_MS 50

/*
 * Number of other VMs that are asked for the leader while the leader is quiet.
 * The link switches to one that reports that it leads, so a frozen leader is
 * replaced before its connection times out. The number is small, as all
 * processes ask at the same time.
 */
#define QUIET_ASKED_MAX 2

/* A connection to a control VM that is asked for the leader, or leads. */
struct control_conn {
	char *addr;
	struct conn *conn;
	int64_t started_ms;
};

struct link {
	struct link_options o;
	struct discovery *discovery;
	struct event *timer;
	GPtrArray *conns;	     /* struct control_conn */
	struct control_conn *leader; /* one of conns; NULL: none is known */
	bool suspended;		     /* no connections until link_resume() */
};

static void control_conn_free(void *p)
{
	struct control_conn *a = p;

	g_free(a->addr);
	g_free(a);
}

static void schedule_ask(struct link *l)
{
	int64_t ms = ASK_INTERVAL_MS +
		     (int64_t)(ss_random(&l->o.seed) % ASK_JITTER_MS);
	struct timeval tv = { 0, ms * 1000 };

	event_add(l->timer, &tv);
}

static void ask_next(struct link *l)
{
	const char *addr =
		discovery_next(l->discovery, ss_clock_now(l->o.conn.clock));
	struct control_conn *a;

	if (!addr)
		return;
	log_debug("ask_leader", "addr=%s", addr);
	a = g_new0(struct control_conn, 1);
	a->addr = g_strdup(addr);
	a->started_ms = ss_clock_now(l->o.conn.clock);
	g_ptr_array_add(l->conns, a);
	a->conn = conn_connect(&l->o.conn, addr);
	conn_set_data(a->conn, a);
}

/* Removes a connection and closes it, if it is still open. */
static void remove_conn(struct link *l, struct control_conn *a)
{
	struct conn *c = a->conn;

	discovery_query_done(l->discovery, a->addr);
	if (c) {
		conn_set_data(c, NULL);
		conn_close(c);
	}
	g_ptr_array_remove(l->conns, a);
}

static void lose_leader(struct link *l, const char *why)
{
	struct control_conn *a = l->leader;

	l->leader = NULL;
	log_warn("leader_lost", "addr=%s why=\"%s\"", a->addr, why);
	remove_conn(l, a);
	l->o.ops->down(l->o.arg);
	schedule_ask(l);
}

static void remove_unconnected(struct link *l)
{
	int64_t now = ss_clock_now(l->o.conn.clock);

	for (guint i = l->conns->len; i-- > 0;) {
		struct control_conn *a = l->conns->pdata[i];

		if (!conn_is_connected(a->conn) &&
		    now - a->started_ms > CONN_CONNECT_MS)
			remove_conn(l, a);
	}
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct link *l = arg;

	(void)fd;
	(void)what;
	if (l->leader || l->suspended)
		return;
	remove_unconnected(l);
	ask_next(l);
	schedule_ask(l);
}

static void on_open(void *arg, struct conn *c)
{
	(void)arg;
	(void)c;
}

static void remove_others(struct link *l, const struct control_conn *a)
{
	for (guint i = l->conns->len; i-- > 0;)
		if (l->conns->pdata[i] != a)
			remove_conn(l, l->conns->pdata[i]);
}

static void set_leader(struct link *l, struct control_conn *a, uint64_t group)
{
	if (l->leader) {
		log_warn("leader_lost",
			 "addr=%s why=\"no heartbeat; %s leads now\"",
			 l->leader->addr, a->addr);
		l->leader = NULL;
		l->o.ops->down(l->o.arg);
	}
	remove_others(l, a);
	l->leader = a;
	l->o.ops->up(l->o.arg, group);
}

static void on_quiet(void *arg, struct conn *c)
{
	struct link *l = arg;

	if (!l->leader || conn_data(c) != l->leader)
		return;
	remove_unconnected(l);
	if (l->conns->len <= QUIET_ASKED_MAX)
		ask_next(l);
}

static void add_members(struct link *l, const struct msg_leader *m)
{
	const struct control_addr *all = m->members.items;

	for (size_t i = 0; i < m->members.n; i++)
		discovery_received(l->discovery, (struct ss_str){ 0 },
				   all[i].addr);
	discovery_received(l->discovery, m->addr, (struct ss_str){ 0 });
}

static void handle_leader(struct link *l, struct control_conn *a,
			  const struct msg_leader *m)
{
	add_members(l, m);
	if (m->from_leader && l->leader != a) {
		if (!l->leader || conn_is_quiet(l->leader->conn))
			set_leader(l, a, m->group);
		else
			remove_conn(l, a);
	}
	if (m->from_leader)
		return;
	if (l->leader == a)
		lose_leader(l, "it reported that it no longer leads");
	if (!l->leader && m->addr.n)
		ask_next(l);
}

static void on_message(void *arg, struct conn *c, struct frame *f)
{
	struct link *l = arg;
	struct control_conn *a = conn_data(c);

	if (!a)
		return;
	/* The leader was quiet and has recovered. */
	if (a == l->leader && l->conns->len > 1)
		remove_others(l, a);
	if (f->kind == MSG_LEADER)
		handle_leader(l, a, &f->u.leader);
	else if (a == l->leader)
		l->o.ops->message(l->o.arg, f);
}

static void on_closed(void *arg, struct conn *c, const GError *why)
{
	struct link *l = arg;
	struct control_conn *a = conn_data(c);

	if (!a)
		return;
	a->conn = NULL;
	if (a == l->leader)
		lose_leader(l, why ? why->message : "closed");
	else
		remove_conn(l, a);
}

static const struct conn_ops link_conn_ops = { on_open, on_message, on_closed };

struct link *link_new(const struct link_options *o)
{
	struct link *l = g_new0(struct link, 1);

	l->o = *o;
	l->o.conn.ops = &link_conn_ops;
	l->o.conn.arg = l;
	l->o.conn.quiet = on_quiet;
	l->discovery = discovery_new(o->control, ss_random(&l->o.seed));
	l->conns = g_ptr_array_new_with_free_func(control_conn_free);
	l->timer = evtimer_new(o->conn.base, on_timer, l);
	ask_next(l);
	schedule_ask(l);
	return l;
}

static void remove_all(struct link *l)
{
	while (l->conns->len)
		remove_conn(l, l->conns->pdata[0]);
}

void link_free(struct link *l)
{
	if (!l)
		return;
	remove_all(l);
	g_ptr_array_unref(l->conns);
	event_free(l->timer);
	discovery_free(l->discovery);
	g_free(l);
}

bool link_send(struct link *l, enum msg_kind kind, const void *msg)
{
	return l->leader && conn_send(l->leader->conn, kind, msg);
}

const char *link_leader(const struct link *l)
{
	return l->leader ? l->leader->addr : NULL;
}

bool link_is_up(const struct link *l)
{
	return l->leader != NULL;
}

void link_suspend(struct link *l)
{
	l->suspended = true;
	l->leader = NULL;
	remove_all(l);
	event_del(l->timer);
}

void link_resume(struct link *l)
{
	if (!l->suspended)
		return;
	l->suspended = false;
	ask_next(l);
	schedule_ask(l);
}

void link_leader_announced(struct link *l, const struct msg_leader *m)
{
	add_members(l, m);
	if (!l->leader && !l->suspended)
		ask_next(l);
}

GArray *link_control_addrs(const struct link *l)
{
	const GPtrArray *known = discovery_known(l->discovery);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct control_addr));

	for (guint i = 0; i < known->len; i++) {
		struct control_addr a = { ss_str(known->pdata[i]) };

		g_array_append_val(out, a);
	}
	return out;
}
