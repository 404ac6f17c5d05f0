/* The connection to the leader. */
#include "link.h"

#include "../base/log.h"
#include "../core/discovery.h"

/*
 * While no leader is known one more address is asked each time, in ms, spread
 * by as much again so that those that lost it together don't come back
 * together. Those asked before stay open: a VM that knows of no leader now
 * tells as soon as it does, and one that is cut off holds up no other. So
 * eight addresses have been asked after 0.6 s, and with one VM of three that
 * answers it is found within a second.
 */
#define ASK_MS 50
#define ASK_SPREAD_MS 50

/*
 * While the leader is quiet so many others are asked who leads, and switched to
 * where one says that it does: a leader that stands still is replaced before
 * its connection is given up. No more, as all processes ask at once.
 */
#define QUIET_ASKS 2

/* A control VM that is asked, or leads. */
struct ask {
	char *addr;
	struct conn *conn;
	int64_t begun_ms;
};

struct link {
	struct link_options o;
	struct discovery *discovery;
	struct event *timer;
	GPtrArray *asks;  /* struct ask */
	struct ask *lead; /* one of them; NULL: no leader is known */
	bool resting;	  /* no connection is kept or looked for */
};

static void ask_free(void *p)
{
	struct ask *a = p;

	g_free(a->addr);
	g_free(a);
}

static void ask_later(struct link *l)
{
	int64_t ms = ASK_MS + (int64_t)(ss_random(&l->o.seed) % ASK_SPREAD_MS);
	struct timeval tv = { 0, ms * 1000 };

	event_add(l->timer, &tv);
}

static void ask_next(struct link *l)
{
	const char *addr =
		discovery_next(l->discovery, ss_clock_now(l->o.conn.clock));
	struct ask *a;

	if (!addr)
		return;
	log_debug("ask_leader", "addr=%s", addr);
	a = g_new0(struct ask, 1);
	a->addr = g_strdup(addr);
	a->begun_ms = ss_clock_now(l->o.conn.clock);
	g_ptr_array_add(l->asks, a);
	a->conn = conn_connect(&l->o.conn, addr);
	conn_set_data(a->conn, a);
}

/* Its connection is gone, or goes now. */
static void end_ask(struct link *l, struct ask *a)
{
	struct conn *c = a->conn;

	discovery_ended(l->discovery, a->addr);
	if (c) {
		conn_set_data(c, NULL);
		conn_close(c);
	}
	g_ptr_array_remove(l->asks, a);
}

static void lose(struct link *l, const char *why)
{
	struct ask *a = l->lead;

	l->lead = NULL;
	log_warn("leader_lost", "addr=%s why=\"%s\"", a->addr, why);
	end_ask(l, a);
	l->o.ops->down(l->o.arg);
	ask_later(l);
}

static void end_unanswered(struct link *l)
{
	int64_t now = ss_clock_now(l->o.conn.clock);

	for (guint i = l->asks->len; i-- > 0;) {
		struct ask *a = l->asks->pdata[i];

		if (!conn_is_connected(a->conn) &&
		    now - a->begun_ms > CONN_ANSWER_MS)
			end_ask(l, a);
	}
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct link *l = arg;

	(void)fd;
	(void)what;
	if (l->lead || l->resting)
		return;
	end_unanswered(l);
	ask_next(l);
	ask_later(l);
}

static void on_open(void *arg, struct conn *c)
{
	(void)arg;
	(void)c;
}

static void end_others(struct link *l, const struct ask *a)
{
	for (guint i = l->asks->len; i-- > 0;)
		if (l->asks->pdata[i] != a)
			end_ask(l, l->asks->pdata[i]);
}

static void found(struct link *l, struct ask *a, uint64_t group)
{
	if (l->lead) {
		log_warn("leader_lost", "addr=%s why=\"quiet, and %s leads\"",
			 l->lead->addr, a->addr);
		l->lead = NULL;
		l->o.ops->down(l->o.arg);
	}
	end_others(l, a);
	l->lead = a;
	l->o.ops->up(l->o.arg, group);
}

static void on_quiet(void *arg, struct conn *c)
{
	struct link *l = arg;

	if (!l->lead || conn_data(c) != l->lead)
		return;
	end_unanswered(l);
	if (l->asks->len <= QUIET_ASKS)
		ask_next(l);
}

static void learn(struct link *l, const struct msg_leader *m)
{
	const struct control_addr *all = m->members.items;

	for (size_t i = 0; i < m->members.n; i++)
		discovery_told(l->discovery, (struct ss_str){ 0 }, all[i].addr);
	discovery_told(l->discovery, m->addr, (struct ss_str){ 0 });
}

static void take_leader(struct link *l, struct ask *a,
			const struct msg_leader *m)
{
	learn(l, m);
	if (m->here && l->lead != a) {
		if (!l->lead || conn_is_quiet(l->lead->conn))
			found(l, a, m->group);
		else
			end_ask(l, a);
	}
	if (m->here)
		return;
	if (l->lead == a)
		lose(l, "it says that it doesn't lead any more");
	if (!l->lead && m->addr.n)
		ask_next(l);
}

static void on_message(void *arg, struct conn *c, struct frame *f)
{
	struct link *l = arg;
	struct ask *a = conn_data(c);

	if (!a)
		return;
	/* It was quiet, and is back. */
	if (a == l->lead && l->asks->len > 1)
		end_others(l, a);
	if (f->kind == MSG_LEADER)
		take_leader(l, a, &f->u.leader);
	else if (a == l->lead)
		l->o.ops->message(l->o.arg, f);
}

static void on_closed(void *arg, struct conn *c, const GError *why)
{
	struct link *l = arg;
	struct ask *a = conn_data(c);

	if (!a)
		return;
	a->conn = NULL;
	if (a == l->lead)
		lose(l, why ? why->message : "closed");
	else
		end_ask(l, a);
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
	l->asks = g_ptr_array_new_with_free_func(ask_free);
	l->timer = evtimer_new(o->conn.base, on_timer, l);
	ask_next(l);
	ask_later(l);
	return l;
}

static void end_all(struct link *l)
{
	while (l->asks->len)
		end_ask(l, l->asks->pdata[0]);
}

void link_free(struct link *l)
{
	if (!l)
		return;
	end_all(l);
	g_ptr_array_unref(l->asks);
	event_free(l->timer);
	discovery_free(l->discovery);
	g_free(l);
}

bool link_send(struct link *l, enum msg_kind kind, const void *msg)
{
	return l->lead && conn_send(l->lead->conn, kind, msg);
}

const char *link_leader(const struct link *l)
{
	return l->lead ? l->lead->addr : NULL;
}

bool link_is_up(const struct link *l)
{
	return l->lead != NULL;
}

void link_rest(struct link *l)
{
	l->resting = true;
	l->lead = NULL;
	end_all(l);
	event_del(l->timer);
}

void link_wake(struct link *l)
{
	if (!l->resting)
		return;
	l->resting = false;
	ask_next(l);
	ask_later(l);
}

void link_told(struct link *l, const struct msg_leader *m)
{
	learn(l, m);
	if (!l->lead && !l->resting)
		ask_next(l);
}

GArray *link_known(const struct link *l)
{
	const GPtrArray *known = discovery_known(l->discovery);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct control_addr));

	for (guint i = 0; i < known->len; i++) {
		struct control_addr a = { ss_str(known->pdata[i]) };

		g_array_append_val(out, a);
	}
	return out;
}
