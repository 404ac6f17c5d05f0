/*
 * A control VM without a disk: it can't vote, since it would forget what it
 * promised, and keeps no state. It tells callers where the leader is, so
 * that every address which is known for control leads there. Itself it learns
 * that from the addresses of its settings and from members, which announce
 * themselves to it.
 *
 * Every front VM runs one, so that a VM that stands still costs an operator one
 * try in many. Hundreds of connections with their heartbeats would cost the
 * leader more than all operators' calls, so a relay that nobody asks keeps
 * none.
 */
#include "../../platform/platform.h"
#include "../operator/routing_http.h"
#include "daemon.h"

/*
 * The connection to the leader is given up when nobody has asked for so long,
 * in ms: an operator who changes something comes back within seconds.
 */
#define REST_AFTER_MS 10000
/* Looked at this often, in ms; also bounds how long a call is held over
 * HOLD_MS. */
#define LOOK_MS 100
/*
 * An operator's call waits for the leader to be found, in ms. Finding it takes
 * two round trips, or an election; operators move on to another VM after a
 * second.
 */
#define HOLD_MS 700

struct relay_role {
	struct daemon *d;
	struct link *link;
	struct listener *listener;
	struct routing_http *http;
	struct event *look;
	GHashTable *conns; /* open ones that others made */
	int64_t asked_ms;  /* when somebody last needed the leader */
	bool stopping;
};

/* Somebody needs to know who leads. */
static void need_leader(struct relay_role *r)
{
	r->asked_ms = ss_clock_now(&r->d->clock);
	link_resume(r->link);
}

static void tell(struct relay_role *r, struct conn *c)
{
	const char *addr = link_leader(r->link);
	GArray *known = link_control_addrs(r->link);
	struct msg_leader m = { .group = r->d->hello.group,
				.addr = ss_str(addr ? addr : ""),
				.members = { known->data, known->len } };

	conn_send(c, MSG_LEADER, &m);
	g_array_unref(known);
}

/* Those that asked before the leader was known wait for this word. */
static void tell_all(struct relay_role *r)
{
	GHashTableIter it;
	void *c;

	g_hash_table_iter_init(&it, r->conns);
	while (g_hash_table_iter_next(&it, &c, NULL))
		if (conn_peer(c)->role != ROLE_CONTROL)
			tell(r, c);
}

/* A control VM whose disk was lost looks for its group here as well. */
static void take_join(struct relay_role *r, struct conn *c)
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
	tell(r, c);
}

static void conn_message(void *arg, struct conn *c, struct frame *f)
{
	struct relay_role *r = arg;
	bool knew = link_is_up(r->link);

	if (f->kind == MSG_JOIN)
		take_join(r, c);
	if (f->kind != MSG_LEADER || conn_peer(c)->role != ROLE_CONTROL)
		return;
	link_leader_announced(r->link, &f->u.leader);
	/* The leader may be out of this VM's reach, and not of theirs. */
	if (!knew)
		tell_all(r);
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
	tell_all(r);
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

static bool plain(void *arg, struct evhttp_request *req)
{
	struct relay_role *r = arg;

	return daemon_status_request(r->d, req, relay_ready(r));
}

static const struct routing_http_ops routing_table = {
	.leads = leads,
	.leader = leader,
	.serve_public = plain,
};

static void on_look(evutil_socket_t fd, short what, void *arg)
{
	struct relay_role *r = arg;

	(void)fd;
	(void)what;
	routing_http_check_held(r->http);
	if (ss_clock_now(&r->d->clock) - r->asked_ms > REST_AFTER_MS)
		link_suspend(r->link);
}

static void relay_free(void *role)
{
	struct relay_role *r = role;
	GHashTableIter it;
	void *c;

	if (r->look)
		event_free(r->look);
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

	/* Members are told nothing by a connection that looks like another
	 * member's: they learn who leads from the log. */
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
	r->look = daemon_every(d, LOOK_MS, on_look, r);
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
