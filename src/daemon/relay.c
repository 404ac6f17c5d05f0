/*
 * The relay role: a control VM without a disk. It can't vote, since it would
 * forget its votes, and keeps no state. It redirects processes and operators to
 * the leader, so that every known control address leads there. It finds the
 * leader through the addresses in its settings and through members, which
 * announce themselves to it.
 *
 * Every front VM runs a relay, so that operators have many addresses to try and
 * a frozen VM costs them only one. Hundreds of connections with their
 * heartbeats would cost the leader more than all calls of operators, so an
 * unused relay keeps no connection to it.
 */
#include "../../platform/platform.h"
#include "../operator/routing_http.h"
#include "daemon.h"

/*
 * Time in ms after which an unused connection to the leader is closed: an
 * operator who changes something sends the next call within seconds.
 */
#define SUSPEND_AFTER_MS 10000
/* Timer interval in ms; also bounds how much longer than HOLD_MS a call is
 * held. */
#define TICK_MS 100
/*
 * Time in ms that an operator's call waits until the leader is found. Finding
 * it takes two round trips, or an election; operators try another VM after a
 * second.
 */
#define HOLD_MS 700

struct relay_role {
	struct daemon *d;
	struct link *link;
	struct listener *listener;
	struct routing_http *http;
	struct event *tick;
	GHashTable *conns; /* open incoming connections */
	int64_t needed_ms; /* when the leader was last needed */
	bool stopping;
};

/* Resumes the connection to the leader and keeps it from being closed as
 * unused. */
static void need_leader(struct relay_role *r)
{
	r->needed_ms = ss_clock_now(&r->d->clock);
	link_resume(r->link);
}

static void send_leader(struct relay_role *r, struct conn *c)
{
	const char *addr = link_leader(r->link);
	GArray *addrs = link_control_addrs(r->link);
	struct msg_leader m = { .group = r->d->hello.group,
				.addr = ss_str(addr ? addr : ""),
				.members = { addrs->data, addrs->len } };

	conn_send(c, MSG_LEADER, &m);
	g_array_unref(addrs);
}

/* Sends the leader's address to peers that connected before it was known. */
static void send_leader_to_all(struct relay_role *r)
{
	GHashTableIter it;
	void *c;

	g_hash_table_iter_init(&it, r->conns);
	while (g_hash_table_iter_next(&it, &c, NULL))
		if (conn_peer(c)->role != ROLE_CONTROL)
			send_leader(r, c);
}

/* Sends the leader's address to a control VM that asks to join, as one that has
 * lost its disk may do at a relay. */
static void handle_join(struct relay_role *r, struct conn *c)
{
	const char *addr = link_leader(r->link);
	struct msg_leader m = { .addr = ss_str(addr ? addr : "") };

	need_leader(r);
	if (addr)
		conn_send(c, MSG_JOINED, &m);
}

static void conn_open(void *arg, struct conn *c)
{
	struct relay_role *r = arg;

	g_hash_table_add(r->conns, c);
	if (conn_peer(c)->role == ROLE_CONTROL)
		return;
	need_leader(r);
	send_leader(r, c);
}

static void conn_message(void *arg, struct conn *c, struct frame *f)
{
	struct relay_role *r = arg;
	bool was_up = link_is_up(r->link);

	if (f->kind == MSG_JOIN)
		handle_join(r, c);
	if (f->kind != MSG_LEADER || conn_peer(c)->role != ROLE_CONTROL)
		return;
	link_leader_announced(r->link, &f->u.leader);
	/* The peers may reach the leader even if this VM can't. */
	if (!was_up)
		send_leader_to_all(r);
}

static void conn_closed(void *arg, struct conn *c, const GError *why)
{
	struct relay_role *r = arg;

	(void)why;
	g_hash_table_remove(r->conns, c);
}

static const struct conn_ops conn_table = { conn_open, conn_message,
					    conn_closed };

static void link_up(void *arg, uint64_t group)
{
	struct relay_role *r = arg;

	if (!r->d->hello.group)
		r->d->hello.group = group;
	log_info("leader_found", "addr=%s", link_leader(r->link));
	send_leader_to_all(r);
	routing_http_check_held(r->http);
}

static void link_down(void *arg)
{
	(void)arg;
}

static void link_message(void *arg, struct frame *f)
{
	(void)arg;
	(void)f;
}

static const struct link_ops link_table = { link_up, link_message, link_down };

static bool leads(void *arg)
{
	(void)arg;
	return false;
}

static char *leader(void *arg)
{
	struct relay_role *r = arg;

	need_leader(r);
	return routing_http_operator_addr(link_leader(r->link),
					  r->d->config.fleet.operator_listen);
}

static bool relay_ready(void *role)
{
	const struct relay_role *r = role;

	return !r->stopping;
}

static bool serve_status(void *arg, struct evhttp_request *req)
{
	struct relay_role *r = arg;

	return daemon_status_request(r->d, req, relay_ready(r));
}

static const struct routing_http_ops routing_table = {
	.leads = leads,
	.leader = leader,
	.serve_public = serve_status,
};

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct relay_role *r = arg;

	(void)fd;
	(void)what;
	routing_http_check_held(r->http);
	if (ss_clock_now(&r->d->clock) - r->needed_ms > SUSPEND_AFTER_MS)
		link_suspend(r->link);
}

static void relay_free(void *role)
{
	struct relay_role *r = role;
	GHashTableIter it;
	void *c;

	if (r->tick)
		event_free(r->tick);
	routing_http_free(r->http);
	link_free(r->link);
	conn_listener_free(r->listener);
	g_hash_table_iter_init(&it, r->conns);
	while (g_hash_table_iter_next(&it, &c, NULL))
		conn_close(c);
	g_hash_table_unref(r->conns);
	g_free(r);
}

static void *relay_start(struct daemon *d, GError **error)
{
	struct relay_role *r = g_new0(struct relay_role, 1);
	struct conn_options conn = daemon_conn_options(d, &conn_table, r);
	struct routing_http_options ho = {
		.base = d->base,
		.platform = &users_platform,
		.addr = d->config.fleet.operator_listen,
		.clock = &d->clock,
		.hold_ms = HOLD_MS,
		.ops = &routing_table,
		.arg = r
	};
	struct link_options lo = { .conn = daemon_conn_options(d, NULL, NULL),
				   .control = d->config.control,
				   .ops = &link_table,
				   .arg = r,
				   .seed = d->seed };

	/* With the control role in its hello, the link would get no leader's
	 * address: members send none to one another, as they have it from the
	 * log. */
	d->hello.role = ROLE_RELAY;
	r->d = d;
	r->conns = g_hash_table_new(NULL, NULL);
	r->listener = conn_listen(&conn, d->config.listen, error);
	r->http = r->listener ? routing_http_new(&ho, error) : NULL;
	if (!r->http) {
		relay_free(r);
		return NULL;
	}
	r->link = link_new(&lo);
	link_suspend(r->link);
	r->tick = daemon_every(d, TICK_MS, on_tick, r);
	return r;
}

static void relay_stop(void *role)
{
	struct relay_role *r = role;

	r->stopping = true;
	daemon_exit(r->d, 0);
}

const struct role_ops relay_role = { "relay", relay_start, relay_stop,
				     relay_ready, relay_free };
