/* The process beside a model engine of a fleet: its agent. */
#include "engine_agent.h"
#include "routing_fetch.h"

/* The engine is read and steps go on this often, in ms. */
#define TICK_MS 20

struct fleet_agent {
	struct daemon *d;
	struct engine_agent *agent;
	struct routing_fetch *fetch;
	struct listener *listener;
	struct event *tick;
	char *addr; /* of the listener, as others reach it */
};

/* Entries. */

static void conn_open(void *arg, struct conn *c)
{
	(void)arg;
	(void)c;
}

static void conn_message(void *arg, struct conn *c, struct frame *f)
{
	struct fleet_agent *a = arg;

	if (f->kind == MSG_ADAPTER)
		engine_agent_adapter(a->agent, c, &f->u.adapter);
}

static void conn_closed(void *arg, struct conn *c, const GError *why)
{
	struct fleet_agent *a = arg;

	(void)why;
	engine_agent_left(a->agent, c);
}

static const struct conn_ops conn_table = { conn_open, conn_message,
					    conn_closed };

/* The routing. */

static void routing_told(void *arg, struct link *link, uint64_t version)
{
	struct fleet_agent *a = arg;

	routing_fetch_want(a->fetch, link, version);
}

static void take_routing(void *arg, struct routing *r)
{
	struct fleet_agent *a = arg;

	engine_agent_set_routing(a->agent, r);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct fleet_agent *a = arg;

	(void)fd;
	(void)what;
	routing_fetch_tick(a->fetch);
	engine_agent_tick(a->agent);
}

static bool agent_ready(void *role)
{
	return engine_agent_reachable(((struct fleet_agent *)role)->agent);
}

static void agent_stop(void *role)
{
	struct fleet_agent *a = role;

	/* Calls don't pass here; a step that was ordered ends without us. */
	daemon_exit(a->d, 0);
}

static void agent_free(void *role)
{
	struct fleet_agent *a = role;

	if (a->tick)
		event_free(a->tick);
	/* Its connections end before the link that it looks at. */
	routing_fetch_free(a->fetch);
	engine_agent_free(a->agent);
	conn_listener_free(a->listener);
	g_free(a->addr);
	g_free(a);
}

static void *agent_start(struct daemon *d, GError **error)
{
	struct fleet_agent *a = g_new0(struct fleet_agent, 1);
	struct conn_options conn = daemon_conn_options(d, &conn_table, a);
	struct routing_fetch_options fo = {
		.daemon = d, .services = true, .take = take_routing, .arg = a
	};
	struct engine_agent_options ao = { .daemon = d,
					   .endpoint = d->config.fleet.endpoint,
					   .holder = d->config.fleet.holder,
					   .routing_told = routing_told,
					   .arg = a };

	a->d = d;
	a->listener = conn_listen(&conn, d->config.listen, error);
	if (!a->listener) {
		agent_free(a);
		return NULL;
	}
	a->addr = daemon_advertised(d, a->listener);
	ao.asked_at = a->addr;
	a->fetch = routing_fetch_new(&fo);
	a->agent = engine_agent_new(&ao);
	a->tick = daemon_every(d, TICK_MS, on_tick, a);
	return a;
}

const struct role_ops fleet_agent_role = { "agent", agent_start, agent_stop,
					   agent_ready, agent_free };
