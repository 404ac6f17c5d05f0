/* The connection to the leader. */
#include "link.h"

#include "../base/log.h"

/* Between two tries to reach a leader, in ms, spread by as much again so that
 * those that lost it together don't come back together. */
#define RETRY_MS 100
#define RETRY_SPREAD_MS 100
/* A control VM that was asked and knows of no leader, or does not answer, is
 * left for the next one after so long. It may be cut off from the others for
 * seconds, while these have a leader; an answer takes a few ms. */
#define ANSWER_MS 300

struct link {
	struct link_options o;
	struct conn *conn;
	struct event *timer;
	char *hint;	    /* where the leader is said to be */
	char *addr;	    /* of the connection */
	GPtrArray *members; /* char *, what the leader told last */
	guint turn;
	bool up;
	int64_t asked_ms;
};

static void retry_later(struct link *l)
{
	int64_t ms =
		RETRY_MS + (int64_t)(ss_random(&l->o.seed) % RETRY_SPREAD_MS);
	struct timeval tv = { 0, ms * 1000 };

	event_add(l->timer, &tv);
}

/*
 * The settings' addresses and those that a leader told, in turn: control
 * VMs are replaced over time, until no address of the settings is left.
 */
static const char *next_addr(struct link *l)
{
	guint known = l->o.control->len;
	guint all = known + l->members->len;
	guint i;

	if (all == 0)
		return NULL;
	i = l->turn++ % all;
	return i < known ? l->o.control->pdata[i] :
			   l->members->pdata[i - known];
}

static void take_members(struct link *l, const struct wire_list *list)
{
	const struct control_addr *m = list->items;

	if (list->n == 0)
		return;
	g_ptr_array_set_size(l->members, 0);
	for (size_t i = 0; i < list->n; i++)
		g_ptr_array_add(l->members, ss_str_dup(m[i].addr));
}

static void connect_next(struct link *l)
{
	const char *addr = l->hint ? l->hint : next_addr(l);

	if (!addr)
		return;
	l->asked_ms = ss_clock_now(l->o.conn.clock);
	log_debug("ask_leader", "addr=%s", addr);
	g_free(l->addr);
	l->addr = g_strdup(addr);
	l->conn = conn_connect(&l->o.conn, addr);
	g_clear_pointer(&l->hint, g_free);
}

static void leave(struct link *l, const char *why)
{
	if (l->conn)
		conn_close(l->conn);
	l->conn = NULL;
	if (l->up) {
		log_warn("leader_lost", "addr=%s why=\"%s\"", l->addr, why);
		l->up = false;
		l->o.ops->down(l->o.arg);
	}
	retry_later(l);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct link *l = arg;

	(void)fd;
	(void)what;
	if (!l->conn) {
		connect_next(l);
		retry_later(l);
		return;
	}
	if (l->up)
		return;
	if (ss_clock_now(l->o.conn.clock) - l->asked_ms > ANSWER_MS)
		leave(l, "no answer");
	else
		retry_later(l);
}

static void on_open(void *arg, struct conn *c)
{
	(void)arg;
	(void)c;
}

static void take_leader(struct link *l, const struct msg_leader *m)
{
	take_members(l, &m->members);
	if (m->here) {
		l->up = true;
		l->o.ops->up(l->o.arg, m->group);
		return;
	}
	/* One that knows of no leader now tells as soon as it does. */
	if (!l->up && !m->addr.n)
		return;
	g_free(l->hint);
	l->hint = m->addr.n ? ss_str_dup(m->addr) : NULL;
	leave(l, "it says that it doesn't lead any more");
	if (l->hint)
		connect_next(l);
}

static void on_message(void *arg, struct conn *c, struct frame *f)
{
	struct link *l = arg;

	if (c != l->conn)
		return;
	if (f->kind == MSG_LEADER)
		take_leader(l, &f->u.leader);
	else if (l->up)
		l->o.ops->message(l->o.arg, f);
}

static void on_closed(void *arg, struct conn *c, const GError *why)
{
	struct link *l = arg;

	if (c != l->conn)
		return;
	l->conn = NULL;
	leave(l, why ? why->message : "closed");
}

static const struct conn_ops link_conn_ops = { on_open, on_message, on_closed };

struct link *link_new(const struct link_options *o)
{
	struct link *l = g_new0(struct link, 1);

	l->o = *o;
	l->o.conn.ops = &link_conn_ops;
	l->o.conn.arg = l;
	l->members = g_ptr_array_new_with_free_func(g_free);
	/* Processes that start together shall not all ask the same one. */
	l->turn = (guint)ss_random(&l->o.seed);
	l->timer = evtimer_new(o->conn.base, on_timer, l);
	connect_next(l);
	retry_later(l);
	return l;
}

void link_free(struct link *l)
{
	if (!l)
		return;
	if (l->conn)
		conn_close(l->conn);
	event_free(l->timer);
	g_ptr_array_unref(l->members);
	g_free(l->hint);
	g_free(l->addr);
	g_free(l);
}

bool link_send(struct link *l, enum msg_kind kind, const void *msg)
{
	return l->up && conn_send(l->conn, kind, msg);
}

const char *link_leader(const struct link *l)
{
	return l->up ? l->addr : NULL;
}

bool link_is_up(const struct link *l)
{
	return l->up;
}
