/* Agents that a control VM runs for engines without an agent of their own. */
#include "remote_agents.h"

/*
 * Agents stop if no assignment has arrived for this long, as the leader may
 * have assigned another VM meanwhile. This is four of the intervals at which
 * the leader sends assignments, and shorter than the time after which it
 * assigns another VM.
 */
#define ASSIGNMENT_TIMEOUT_MS 2000

struct remote_agents {
	struct daemon *d;
	char *adapter_addr;
	GHashTable *agents; /* address of the engine -> struct engine_agent */
	const struct routing *routing;
	uint64_t fence; /* of the latest leader that sent an assignment */
	int64_t assigned_ms;
};

static void agent_free(void *p)
{
	engine_agent_free(p);
}

struct remote_agents *remote_agents_new(const struct remote_agents_options *o)
{
	struct remote_agents *r = g_new0(struct remote_agents, 1);

	r->d = o->daemon;
	r->routing = o->routing;
	r->adapter_addr = g_strdup(o->adapter_addr);
	r->agents = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  agent_free);
	return r;
}

void remote_agents_free(struct remote_agents *r)
{
	if (!r)
		return;
	g_hash_table_unref(r->agents);
	g_free(r->adapter_addr);
	g_free(r);
}

static void start_agent(struct remote_agents *r, const char *addr)
{
	struct engine_agent_options o = { .daemon = r->d,
					  .endpoint = addr,
					  .holder = r->d->config.name,
					  .adapter_addr = r->adapter_addr,
					  .remote = true };
	struct engine_agent *a = engine_agent_new(&o);

	log_info("remote_agent", "begins endpoint=%s", addr);
	engine_agent_set_routing(a, r->routing);
	g_hash_table_insert(r->agents, g_strdup(addr), a);
}

static bool is_assigned(const struct msg_remote *m, const char *addr)
{
	const struct name_item *n = m->engines.items;

	for (size_t i = 0; i < m->engines.n; i++)
		if (ss_str_eq(n[i].name, ss_str(addr)))
			return true;
	return false;
}

void remote_agents_assign(struct remote_agents *r, const struct msg_remote *m)
{
	const struct name_item *n = m->engines.items;
	GHashTableIter it;
	void *addr;

	/* Ignore delayed messages of a replaced leader. */
	if (m->fence < r->fence)
		return;
	r->fence = m->fence;
	r->assigned_ms = ss_clock_now(&r->d->clock);
	g_hash_table_iter_init(&it, r->agents);
	while (g_hash_table_iter_next(&it, &addr, NULL)) {
		if (is_assigned(m, addr))
			continue;
		log_info("remote_agent", "ends endpoint=%s", (char *)addr);
		g_hash_table_iter_remove(&it);
	}
	for (size_t i = 0; i < m->engines.n; i++) {
		char *copy = ss_str_dup(n[i].name);

		if (!g_hash_table_contains(r->agents, copy))
			start_agent(r, copy);
		g_free(copy);
	}
}

void remote_agents_request_adapter(struct remote_agents *r, struct conn *c,
				   const struct msg_adapter *m)
{
	struct msg_adapter_done refusal = { .sub = m->sub,
					    .code = SS_ERROR_UNAVAILABLE,
					    .text = SS_LIT(
						    "its agent has moved") };
	char *addr = ss_str_dup(m->endpoint);
	struct engine_agent *a = g_hash_table_lookup(r->agents, addr);

	g_free(addr);
	if (a)
		engine_agent_request_adapter(a, c, m);
	else
		conn_send(c, MSG_ADAPTER_DONE, &refusal);
}

void remote_agents_conn_closed(struct remote_agents *r, const struct conn *c)
{
	GHashTableIter it;
	void *a;

	g_hash_table_iter_init(&it, r->agents);
	while (g_hash_table_iter_next(&it, NULL, &a))
		engine_agent_conn_closed(a, c);
}

void remote_agents_set_routing(struct remote_agents *r)
{
	GHashTableIter it;
	void *a;

	g_hash_table_iter_init(&it, r->agents);
	while (g_hash_table_iter_next(&it, NULL, &a))
		engine_agent_set_routing(a, r->routing);
}

void remote_agents_tick(struct remote_agents *r)
{
	GHashTableIter it;
	void *a;

	if (g_hash_table_size(r->agents) == 0)
		return;
	if (ss_clock_now(&r->d->clock) - r->assigned_ms >
	    ASSIGNMENT_TIMEOUT_MS) {
		log_info("remote_agent", "all end: no leader names them");
		g_hash_table_remove_all(r->agents);
		return;
	}
	g_hash_table_iter_init(&it, r->agents);
	while (g_hash_table_iter_next(&it, NULL, &a))
		engine_agent_tick(a);
}
