/* The routing as an entry or agent fetches it. */
#include "routing_fetch.h"

#include "../core/fetch.h"
#include "routing_follow.h"

/* A connection that nobody used for so long is closed, in ms: operators who
 * change something mostly change more within seconds. */
#define IDLE_MS 5000

struct routing_fetch {
	struct routing_fetch_options o;
	struct msg_hello hello;
	struct fetch *fetch;
	struct routing_follow *follow;
	struct link *link; /* NULL: no leader has said anything yet */
	struct conn *conn; /* to the one asked last; NULL: none */
	char *addr;
	struct msg_fetch ask; /* until the connection is open */
	bool pending;
	int64_t used_ms;
	/* For the log: when the version was told, and was asked for first. */
	int64_t told_ms, asked_ms, turn_ms;
	unsigned int asks, sources;
};

static int64_t now_ms(const struct routing_fetch *r)
{
	return ss_clock_now(&r->o.daemon->clock);
}

static void hang_up(struct routing_fetch *r)
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
		conn_send(c, MSG_FETCH, &r->ask);
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
		r->turn_ms = r->used_ms;
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

/* What the fetch asks for. */

static void op_sources(void *arg, GPtrArray *out)
{
	struct routing_fetch *r = arg;
	const char *leader = r->link ? link_leader(r->link) : NULL;
	GArray *known = r->link ? link_control_addrs(r->link) : NULL;
	bool there = false;

	for (guint i = 0; known && i < known->len; i++) {
		char *addr = ss_str_dup(
			g_array_index(known, struct control_addr, i).addr);

		there |= !g_strcmp0(addr, leader);
		g_ptr_array_add(out, addr);
	}
	if (leader && !there)
		g_ptr_array_add(out, g_strdup(leader));
	r->sources = out->len;
	if (known)
		g_array_unref(known);
}

static const char *op_leader(void *arg)
{
	const struct routing_fetch *r = arg;

	return r->link ? link_leader(r->link) : NULL;
}

static void op_ask(void *arg, const char *addr, const struct msg_fetch *m)
{
	struct routing_fetch *r = arg;
	struct conn_options o =
		daemon_conn_options(r->o.daemon, &conn_table, r);

	r->used_ms = now_ms(r);
	if (!r->asks++)
		r->asked_ms = r->used_ms;
	if (r->conn && conn_is_open(r->conn) && !g_strcmp0(r->addr, addr)) {
		conn_send(r->conn, MSG_FETCH, m);
		return;
	}
	hang_up(r);
	r->hello = r->o.daemon->hello;
	r->hello.role = ROLE_READER;
	o.self = &r->hello;
	ss_str_set(&r->addr, ss_str(addr));
	r->ask = *m;
	r->pending = true;
	r->conn = conn_connect(&o, addr);
}

static void op_acknowledge(void *arg, const struct msg_fetch *m)
{
	struct routing_fetch *r = arg;

	if (r->conn)
		conn_send(r->conn, MSG_FETCH, m);
}

static bool op_take(void *arg, const struct msg_routing *m)
{
	struct routing_fetch *r = arg;
	const struct routing_bytes *b = m->changes.items;

	log_info("routing_fetched",
		 "version=%" PRIu64 " base=%" PRIu64
		 " from=%s sources=%u asks=%u asked_ms=%" PRId64
		 " turn_ms=%" PRId64 " ms=%" PRId64,
		 m->version, m->base, r->addr, r->sources, r->asks,
		 r->asked_ms - r->told_ms,
		 r->turn_ms ? r->turn_ms - r->told_ms : -1,
		 now_ms(r) - r->told_ms);
	for (size_t i = 0; i < m->changes.n; i++)
		if (!routing_follow_add(r->follow, b[i].packed))
			return false;
	return true;
}

static void on_taken(void *arg, struct routing *table)
{
	struct routing_fetch *r = arg;

	r->o.take(r->o.arg, table);
}

static void on_useless(void *arg, uint64_t have)
{
	struct routing_fetch *r = arg;

	fetch_require_full(r->fetch, have, now_ms(r));
}

static const struct fetch_ops fetch_table = { op_sources, op_leader, op_ask,
					      op_acknowledge, op_take };

struct routing_fetch *routing_fetch_new(const struct routing_fetch_options *o)
{
	struct routing_fetch *r = g_new0(struct routing_fetch, 1);
	struct fetch_options fo = { .ops = &fetch_table,
				    .arg = r,
				    .self = o->daemon->config.name,
				    .services_only = o->services };
	struct routing_follow_options wo = { o->daemon, on_taken, on_useless,
					     r };

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
	hang_up(r);
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
		r->told_ms = now_ms(r);
		r->turn_ms = 0;
		r->asks = 0;
	}
	fetch_want(r->fetch, version, now_ms(r));
}

void routing_fetch_tick(struct routing_fetch *r)
{
	fetch_tick(r->fetch, now_ms(r));
	if (r->conn && now_ms(r) - r->used_ms > IDLE_MS)
		hang_up(r);
}
