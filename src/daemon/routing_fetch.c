/* Fetches the routing for an entry or agent. */
#include "routing_fetch.h"

#include "../core/fetch.h"
#include "routing_follow.h"

/* Time in ms after which an unused connection is closed: operators who change
 * something mostly change more within seconds. */
#define IDLE_MS 5000

struct routing_fetch {
	struct routing_fetch_options o;
	struct msg_hello hello;
	struct fetch *fetch;
	struct routing_follow *follow;
	struct link *link; /* NULL: no leader has reported a version yet */
	struct conn *conn; /* to the control VM asked last; NULL: none */
	char *addr;
	struct msg_fetch request; /* to be sent on open, if pending */
	bool pending;
	int64_t used_ms;
	/* For the log: when the version was reported, first requested, and when
	 * a control VM last replied that the changes follow. */
	int64_t reported_ms, requested_ms, queued_ms;
	unsigned int requests, sources;
};

static int64_t now_ms(const struct routing_fetch *r)
{
	return ss_clock_now(&r->o.daemon->clock);
}

static void close_conn(struct routing_fetch *r)
{
	if (r->conn)
		conn_close(r->conn);
	r->conn = NULL;
	r->pending = false;
}

/* The connection. */

static void on_open(void *arg, struct conn *c)
{
	struct routing_fetch *r = arg;

	if (r->pending)
		conn_send(c, MSG_FETCH, &r->request);
	r->pending = false;
}

static void on_message(void *arg, struct conn *c, struct frame *f)
{
	struct routing_fetch *r = arg;

	(void)c;
	if (f->kind != MSG_ROUTING)
		return;
	r->used_ms = now_ms(r);
	if (!f->u.routing.changes.n)
		r->queued_ms = r->used_ms;
	fetch_answered(r->fetch, &f->u.routing, now_ms(r));
}

static void on_closed(void *arg, struct conn *c, const GError *why)
{
	struct routing_fetch *r = arg;

	(void)c;
	log_debug("routing_source_lost", "addr=%s why=\"%s\"", r->addr,
		  why ? why->message : "closed");
	r->conn = NULL;
	r->pending = false;
	fetch_failed(r->fetch, now_ms(r));
}

static const struct conn_ops conn_table = { on_open, on_message, on_closed };

/* Callbacks of the fetch. */

static void op_sources(void *arg, GPtrArray *out)
{
	struct routing_fetch *r = arg;
	const char *leader = r->link ? link_leader(r->link) : NULL;
	GArray *addrs = r->link ? link_control_addrs(r->link) : NULL;
	bool has_leader = false;

	for (guint i = 0; addrs && i < addrs->len; i++) {
		char *addr = ss_str_dup(
			g_array_index(addrs, struct control_addr, i).addr);

		has_leader |= !g_strcmp0(addr, leader);
		g_ptr_array_add(out, addr);
	}
	if (leader && !has_leader)
		g_ptr_array_add(out, g_strdup(leader));
	r->sources = out->len;
	if (addrs)
		g_array_unref(addrs);
}

static const char *op_leader(void *arg)
{
	const struct routing_fetch *r = arg;

	return r->link ? link_leader(r->link) : NULL;
}

static void op_request(void *arg, const char *addr, const struct msg_fetch *m)
{
	struct routing_fetch *r = arg;
	struct conn_options o =
		daemon_conn_options(r->o.daemon, &conn_table, r);

	r->used_ms = now_ms(r);
	if (!r->requests++)
		r->requested_ms = r->used_ms;
	if (r->conn && conn_is_open(r->conn) && !g_strcmp0(r->addr, addr)) {
		conn_send(r->conn, MSG_FETCH, m);
		return;
	}
	close_conn(r);
	r->hello = r->o.daemon->hello;
	r->hello.role = ROLE_READER;
	o.self = &r->hello;
	ss_str_set(&r->addr, ss_str(addr));
	r->request = *m;
	r->pending = true;
	r->conn = conn_connect(&o, addr);
}

static void op_acknowledge(void *arg, const struct msg_fetch *m)
{
	struct routing_fetch *r = arg;

	if (r->conn)
		conn_send(r->conn, MSG_FETCH, m);
}

static bool op_apply(void *arg, const struct msg_routing *m)
{
	struct routing_fetch *r = arg;
	const struct routing_bytes *b = m->changes.items;

	log_info("routing_fetched",
		 "version=%" PRIu64 " base=%" PRIu64
		 " from=%s sources=%u asks=%u asked_ms=%" PRId64
		 " turn_ms=%" PRId64 " ms=%" PRId64,
		 m->version, m->base, r->addr, r->sources, r->requests,
		 r->requested_ms - r->reported_ms,
		 r->queued_ms ? r->queued_ms - r->reported_ms : -1,
		 now_ms(r) - r->reported_ms);
	for (size_t i = 0; i < m->changes.n; i++)
		if (!routing_follow_add(r->follow, b[i].packed))
			return false;
	return true;
}

static void on_applied(void *arg, struct routing *table)
{
	struct routing_fetch *r = arg;

	r->o.applied(r->o.arg, table);
}

static void on_unreadable(void *arg, uint64_t have)
{
	struct routing_fetch *r = arg;

	fetch_require_full(r->fetch, have, now_ms(r));
}

static const struct fetch_ops fetch_table = { op_sources, op_leader, op_request,
					      op_acknowledge, op_apply };

struct routing_fetch *routing_fetch_new(const struct routing_fetch_options *o)
{
	struct routing_fetch *r = g_new0(struct routing_fetch, 1);
	struct fetch_options fo = { .ops = &fetch_table,
				    .arg = r,
				    .self = o->daemon->config.name,
				    .services_only = o->services_only };
	struct routing_follow_options wo = { o->daemon, on_applied,
					     on_unreadable, r };

	r->o = *o;
	r->addr = g_strdup("");
	r->fetch = fetch_new(&fo);
	r->follow = routing_follow_new(&wo);
	return r;
}

void routing_fetch_free(struct routing_fetch *r)
{
	if (!r)
		return;
	close_conn(r);
	fetch_free(r->fetch);
	routing_follow_free(r->follow);
	g_free(r->addr);
	g_free(r);
}

void routing_fetch_want(struct routing_fetch *r, struct link *link,
			uint64_t version)
{
	r->link = link;
	if (version > fetch_version(r->fetch)) {
		r->reported_ms = now_ms(r);
		r->queued_ms = 0;
		r->requests = 0;
	}
	fetch_want(r->fetch, version, now_ms(r));
}

void routing_fetch_tick(struct routing_fetch *r)
{
	fetch_tick(r->fetch, now_ms(r));
	if (r->conn && now_ms(r) - r->used_ms > IDLE_MS)
		close_conn(r);
}
