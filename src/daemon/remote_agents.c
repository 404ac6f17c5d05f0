/* Agents that a control VM runs for engines without one. */
#include "remote_agents.h"

/*
 * Without a word of a leader for so long, in ms, they end: another may have
 * been named meanwhile. Four of the leader's words, and less than the time
 * after which another is named.
 */
#define FORGET_MS 2000

struct remote_agents {
	struct daemon *d;
	char *asked_at;
	GHashTable *agents; /* address of the engine -> struct engine_agent */
	const struct routing *routing;
	uint64_t fence; /* of the newest leader that was heard */
	int64_t told_ms;
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
	r->asked_at = g_strdup(o->asked_at);
	r->agents = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  agent_free);
	return r;
}

void remote_agents_free(struct remote_agents *r)
{
	if (!r)
		return;
	g_hash_table_unref(r->agents);
	g_free(r->asked_at);
	g_free(r);
}

static void begin(struct remote_agents *r, const char *addr)
{
	struct engine_agent_options o = { .daemon = r->d,
					  .endpoint = addr,
					  .holder = r->d->config.name,
					  .asked_at = r->asked_at,
					  .remote = true };
	struct engine_agent *a = engine_agent_new(&o);

	log_info("remote_agent", "begins endpoint=%s", addr);
	engine_agent_set_routing(a, r->routing);
	g_hash_table_insert(r->agents, g_strdup(addr), a);
}

static bool is_named(const struct msg_remote *m, const char *addr)
{
	const struct name_item *n = m->engines.items;

	for (size_t i = 0; i < m->engines.n; i++)
		if (ss_str_eq(n[i].name, ss_str(addr)))
			return true;
	return false;
}

void remote_agents_told(struct remote_agents *r, const struct msg_remote *m)
{
	const struct name_item *n = m->engines.items;
	GHashTableIter it;
	void *addr;

	/* A leader that was replaced may still have words on their way. */
	if (m->fence < r->fence)
		return;
	r->fence = m->fence;
	r->told_ms = ss_clock_now(&r->d->clock);
	g_hash_table_iter_init(&it, r->agents);
	while (g_hash_table_iter_next(&it, &addr, NULL)) {
		if (is_named(m, addr))
			continue;
		log_info("remote_agent", "ends endpoint=%s", (char *)addr);
		g_hash_table_iter_remove(&it);
	}
	for (size_t i = 0; i < m->engines.n; i++) {
		char *copy = ss_str_dup(n[i].name);

		if (!g_hash_table_contains(r->agents, copy))
			begin(r, copy);
		g_free(copy);
	}
}

void remote_agents_adapter(struct remote_agents *r, struct conn *c,
			   const struct msg_adapter *m)
{
	struct msg_adapter_done gone = { .sub = m->sub,
					 .code = SS_ERROR_UNAVAILABLE,
					 .text = SS_LIT(
						 "its agent has moved") };
	char *addr = ss_str_dup(m->endpoint);
	struct engine_agent *a = g_hash_table_lookup(r->agents, addr);

	g_free(addr);
	if (a)
		engine_agent_adapter(a, c, m);
	else
		conn_send(c, MSG_ADAPTER_DONE, &gone);
}

void remote_agents_left(struct remote_agents *r, const struct conn *c)
{
	GHashTableIter it;
	void *a;

	g_hash_table_iter_init(&it, r->agents);
	while (g_hash_table_iter_next(&it, NULL, &a))
		engine_agent_left(a, c);
}

void remote_agents_routing(struct remote_agents *r)
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
	if (ss_clock_now(&r->d->clock) - r->told_ms > FORGET_MS) {
		log_info("remote_agent", "all end: no leader names them");
		g_hash_table_remove_all(r->agents);
		return;
	}
	g_hash_table_iter_init(&it, r->agents);
	while (g_hash_table_iter_next(&it, NULL, &a))
		engine_agent_tick(a);
}
