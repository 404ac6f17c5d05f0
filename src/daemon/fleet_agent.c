/* The agent role: the process on a model engine's VM that runs its agent. */
#include "engine_agent.h"
#include "routing_fetch.h"

/* Interval at which the engine is polled and steps advance. */
#define TICK_MS 20

struct fleet_agent {
	struct daemon *d;
	struct engine_agent *agent;
	struct routing_fetch *fetch;
	struct listener *listener;
	struct event *tick;
	char *addr; /* advertised address of the listener */
};

/* Entries. */

static void entry_open(void *arg, struct conn *c)
{
	(void)arg;
	(void)c;
}

static void entry_message(void *arg, struct conn *c, struct frame *f)
{
	struct fleet_agent *a = arg;

	if (f->kind == MSG_ADAPTER)
		engine_agent_request_adapter(a->agent, c, &f->u.adapter);
}

static void entry_closed(void *arg, struct conn *c, const GError *why)
{
	struct fleet_agent *a = arg;

	(void)why;
	engine_agent_conn_closed(a->agent, c);
}

static const struct conn_ops entry_table = { entry_open, entry_message,
					     entry_closed };

/* The routing. */

static void routing_reported(void *arg, struct link *link, uint64_t version)
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

	/* No drain is needed: callers' requests don't pass through the agent,
	 * and the engine finishes an ordered step without it. */
	daemon_exit(a->d, 0);
}

static void agent_free(void *role)
{
	struct fleet_agent *a = role;

	if (a->tick)
		event_free(a->tick);
	/* The fetch uses the agent's link, so it is freed first. */
	routing_fetch_free(a->fetch);
	engine_agent_free(a->agent);
	conn_listener_free(a->listener);
	g_free(a->addr);
	g_free(a);
}

static void *agent_start(struct daemon *d, GError **error)
{
	struct fleet_agent *a = g_new0(struct fleet_agent, 1);
	struct conn_options conn = daemon_conn_options(d, &entry_table, a);
	struct routing_fetch_options fo = { .daemon = d,
					    .services_only = true,
					    .applied = take_routing,
					    .arg = a };
	struct engine_agent_options ao = { .daemon = d,
					   .endpoint = d->config.fleet.endpoint,
					   .holder = d->config.fleet.holder,
					   .routing_reported = routing_reported,
					   .arg = a };

	a->d = d;
	a->listener = conn_listen(&conn, d->config.listen, error);
	if (!a->listener) {
		agent_free(a);
		return NULL;
	}
	a->addr = daemon_advertised_addr(d, a->listener);
	ao.adapter_addr = a->addr;
	a->fetch = routing_fetch_new(&fo);
	a->agent = engine_agent_new(&ao);
	a->tick = daemon_every(d, TICK_MS, on_tick, a);
	return a;
}

const struct role_ops fleet_agent_role = { "agent", agent_start, agent_stop,
					   agent_ready, agent_free };
