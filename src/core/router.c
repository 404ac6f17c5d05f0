/* Router: admission, dispatch from the queues, routes, deadlines and timers. */
#include "router_int.h"

/* Maximum balance of the retry budget: bounds the burst of retries if
 * all agents fail at once. */
#define RETRY_BUDGET_MAX 20
/* Interval at which an unanswered claim is sent again. */
#define CLAIM_RETRY_MS 200

/* Callbacks of the admission queue. */
static unsigned int customer_share(void *arg, struct ss_str customer)
{
	const struct router *r = arg;
	const struct preset_customer *pc =
		r->preset ? preset_customer_of(r->preset, customer) : NULL;

	return pc ? (unsigned int)pc->share : 1;
}

static size_t customer_limit(void *arg, struct ss_str customer)
{
	const struct router *r = arg;
	const struct preset_customer *pc;

	if (!r->preset)
		return SIZE_MAX;
	pc = preset_customer_of(r->preset, customer);
	return (size_t)(pc ? pc->max_waiting : r->preset->customer_max_waiting);
}

static void agent_free(void *p)
{
	struct agent *a = p;

	g_free(a->node);
	g_free(a->addr);
	g_free(a->domain);
	g_free(a);
}

struct router *router_new(const struct router_options *o)
{
	struct router *r = g_new0(struct router, 1);

	r->o = *o;
	r->routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  route_free);
	r->agents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  agent_free);
	r->by_sub = g_hash_table_new(g_int64_hash, g_int64_equal);
	r->deadlines = g_sequence_new(NULL);
	r->queue.share = customer_share;
	r->queue.limit = customer_limit;
	r->queue.arg = r;
	/* 10 % of the calls may be retried until a preset sets the share. */
	ss_budget_init(&r->budget, 10, RETRY_BUDGET_MAX);
	return r;
}

void router_free(struct router *r)
{
	if (!r)
		return;
	for (GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it))
		rcall_free(g_sequence_get(it));
	g_sequence_free(r->deadlines);
	g_hash_table_unref(r->by_sub);
	g_hash_table_unref(r->routes);
	g_hash_table_unref(r->agents);
	g_free(r);
}

void router_set_preset(struct router *r, const struct preset *p)
{
	r->preset = p;
	r->budget.percent = p->retry_percent;
}

struct agent *router_get_agent(struct router *r, const char *node,
			       struct ss_str addr, struct ss_str domain)
{
	struct agent *a = g_hash_table_lookup(r->agents, node);

	if (!a) {
		a = g_new0(struct agent, 1);
		a->node = g_strdup(node);
		a->addr = g_strdup("");
		a->domain = g_strdup("");
		a->down_ms = INT64_MIN / 2;
		g_hash_table_insert(r->agents, a->node, a);
	}
	if (addr.n && !ss_str_eq(ss_str(a->addr), addr)) {
		g_free(a->addr);
		a->addr = ss_str_dup(addr);
	}
	if (domain.n && !ss_str_eq(ss_str(a->domain), domain)) {
		g_free(a->domain);
		a->domain = ss_str_dup(domain);
	}
	return a;
}

void router_send_watch(struct router *r, struct route *rt, int64_t now)
{
	size_t n = ss_queue_length(rt->queue);
	struct msg_watch w = { .model = ss_str(rt->model),
			       .waiting = n,
			       .arrivals = rt->arrivals,
			       .priority = ss_queue_priority(rt->queue) };

	if (n)
		w.deadline_ms = MAX(ss_queue_deadline(rt->queue) - now, 1);
	rt->arrivals = 0;
	rt->reported_waiting = n;
	rt->watch_sent_ms = now;
	r->o.ops->watch(r->o.arg, &w);
}

/* Returns the lowest priority that may start a call now: lower ones leave the
 * free slots to the reserves of the classes above them. */
static int min_priority(const struct router *r, struct route *rt, int64_t now)
{
	uint64_t slots, free_slots;

	if (!r->preset)
		return 0;
	route_slots(rt, now, &slots, &free_slots);
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++) {
		uint64_t reserved = 0;

		for (guint i = 0; i < r->preset->classes->len; i++) {
			const struct preset_class *k =
				r->preset->classes->pdata[i];

			if (k->priority > p)
				reserved += slots *
					    (uint64_t)k->reserve_percent / 100;
		}
		if (free_slots > reserved || slots <= 1)
			return p;
	}
	return SS_QUEUE_PRIORITIES - 1;
}

static void connect_agents(struct router *r, struct route *rt)
{
	for (guint i = 0; i < rt->views->len; i++) {
		struct agent *a =
			g_array_index(rt->views, struct replica_view, i).agent;

		if (!a->up)
			r->o.ops->connect(r->o.arg, a->node, a->addr);
	}
}

static uint64_t prefix_replica(const struct router *r, uint64_t prefix)
{
	if (prefix && r->prefixes[prefix % PREFIX_TABLE_SIZE].prefix == prefix)
		return r->prefixes[prefix % PREFIX_TABLE_SIZE].replica;
	return 0;
}

void router_dispatch_queue(struct router *r, struct route *rt, int64_t now)
{
	while (ss_queue_length(rt->queue)) {
		struct rcall *c;
		struct replica_view *v =
			route_choose(rt, r->o.domain, 0, r->last_seq, now);

		if (!v) {
			connect_agents(r, rt);
			return;
		}
		c = (struct rcall *)ss_queue_pop(rt->queue, now,
						 min_priority(r, rt, now));
		if (!c)
			return;
		r->waiting--;
		if (prefix_replica(r, c->prefix))
			v = route_choose(rt, r->o.domain,
					 prefix_replica(r, c->prefix),
					 r->last_seq, now);
		router_start_attempt(r, c, v, now);
	}
}

static struct route *get_route(struct router *r, struct ss_str model,
			       int64_t now)
{
	char *name = ss_str_dup(model);
	struct route *rt = g_hash_table_lookup(r->routes, name);

	if (!rt) {
		rt = route_new(name, &r->queue, now);
		g_hash_table_insert(r->routes, rt->model, rt);
	}
	g_free(name);
	return rt;
}

/* Refuses a call at once if its deadline can't be met, or queues it. */
static void admit(struct router *r, struct rcall *c, int64_t now)
{
	struct route *rt = c->route;
	int64_t deadline = c->item.deadline_ms;
	int64_t wait;

	if (rt->known && rt->code) {
		/* Ask the leader again: the model may exist by now. */
		if (now - rt->watch_sent_ms >= ROUTER_WATCH_MS)
			router_send_watch(r, rt, now);
		router_finish(r, c, (enum ss_error)rt->code, OUTCOME_NOT_RUN,
			      "no such model", 0);
		return;
	}
	wait = route_wait_ms(
		rt, ss_queue_ahead(rt->queue, c->item.priority, deadline), now);
	if (now + wait >= deadline) {
		router_refuse_deadline(r, c, wait, "the deadline can't be met");
		if (!rt->known || rt->views->len == 0)
			router_send_watch(r, rt, now);
		return;
	}
	router_enqueue(r, c);
	router_dispatch_queue(r, rt, now);
	if (ss_queue_length(rt->queue) &&
	    (rt->views->len == 0 || now - rt->watch_sent_ms >= ROUTER_WATCH_MS))
		router_send_watch(r, rt, now);
}

struct rcall *router_submit(struct router *r, const struct router_call *o,
			    int64_t now)
{
	struct rcall *c = rcall_new(o);

	c->route = get_route(r, o->model, now);
	c->route->arrivals++;
	c->route->used_ms = now;
	c->deadline = g_sequence_insert_sorted(r->deadlines, c,
					       router_by_deadline, NULL);
	ss_budget_fresh(&r->budget);
	r->submitting = c;
	admit(r, c, now);
	c = r->submitting;
	r->submitting = NULL;
	return c;
}

void router_cancel(struct router *r, struct rcall *c)
{
	if (c->state == RCALL_SENT)
		router_send_cancel(r, c);
	router_remove_call(r, c);
	rcall_free(c);
}

static struct agent *agent_of(void *arg, const struct route_replica *rr)
{
	char *node = ss_str_dup(rr->node);
	struct agent *a = router_get_agent(arg, node, rr->addr, rr->domain);

	g_free(node);
	/* An incarnation received over a live connection is newer. */
	if (!a->up)
		a->incarnation = rr->incarnation;
	return a;
}

/* Returns a copy of the list of a route's queued calls: the queue may change
 * while it is traversed. */
static GPtrArray *queued_calls(struct router *r, struct route *rt)
{
	GPtrArray *list = g_ptr_array_new();

	for (GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		struct rcall *c = g_sequence_get(it);

		if (c->route == rt && c->state == RCALL_QUEUED)
			g_ptr_array_add(list, c);
	}
	return list;
}

/* Refuses queued calls whose deadline is before the time when a replica is
 * expected, and all if the model doesn't exist. */
static void refuse_infeasible(struct router *r, struct route *rt, int64_t now)
{
	GPtrArray *list;

	if (!rt->code && (rt->views->len || rt->eta_ms == SS_NEVER ||
			  ss_queue_deadline(rt->queue) > rt->eta_ms))
		return;
	list = queued_calls(r, rt);
	for (guint i = 0; i < list->len; i++) {
		struct rcall *c = list->pdata[i];

		if (rt->code)
			router_finish(r, c, (enum ss_error)rt->code,
				      OUTCOME_NOT_RUN, "no such model", 0);
		else if (c->item.deadline_ms <= rt->eta_ms)
			router_refuse_deadline(
				r, c, rt->eta_ms - now,
				"the model can't be loaded in time");
	}
	g_ptr_array_unref(list);
}

void router_update_route(struct router *r, const struct msg_route *m,
			 int64_t now)
{
	char *name = ss_str_dup(m->model);
	struct route *rt = g_hash_table_lookup(r->routes, name);

	g_free(name);
	/* A replaced leader may still send outdated routes. */
	if (!rt || m->version < rt->version)
		return;
	route_update(rt, m, agent_of, r, now);
	refuse_infeasible(r, rt, now);
	connect_agents(r, rt);
	router_dispatch_queue(r, rt, now);
}

void router_dispatch_all(struct router *r, int64_t now)
{
	GList *all = g_hash_table_get_values(r->routes);

	for (GList *p = all; p; p = p->next)
		router_dispatch_queue(r, p->data, now);
	g_list_free(all);
}

static void expire_call(struct router *r, struct rcall *c, int64_t now)
{
	bool sent = c->state == RCALL_SENT || c->state == RCALL_RECOVERING;
	int64_t wait =
		route_wait_ms(c->route, ss_queue_length(c->route->queue), now);

	if (c->state == RCALL_SENT)
		router_send_cancel(r, c);
	router_finish(r, c, SS_ERROR_DEADLINE,
		      sent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		      "the deadline has passed",
		      sent && c->m.once ? 0 : MAX(wait, RETRY_AFTER_MIN_MS));
}

static void expire(struct router *r, int64_t now)
{
	for (;;) {
		GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
		struct rcall *c;

		if (g_sequence_iter_is_end(it))
			return;
		c = g_sequence_get(it);
		if (c->item.deadline_ms > now)
			return;
		expire_call(r, c, now);
	}
}

static void tick_calls(struct router *r, int64_t now)
{
	GPtrArray *list = g_ptr_array_new();

	for (GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		struct rcall *c = g_sequence_get(it);

		if (c->state == RCALL_RECOVERING || c->state == RCALL_CLAIMING)
			g_ptr_array_add(list, c);
	}
	for (guint i = 0; i < list->len; i++) {
		struct rcall *c = list->pdata[i];

		if (c->state == RCALL_CLAIMING) {
			if (now - c->query_ms >= CLAIM_RETRY_MS)
				router_claim(r, c, now);
		} else if (now - c->query_ms >= ROUTER_AGENT_LOST_MS) {
			router_resolve_lost(r, c, "the agent can't be reached",
					    now);
		} else if (c->agent->up) {
			router_send_attach(r, c);
		} else {
			r->o.ops->connect(r->o.arg, c->agent->node,
					  c->agent->addr);
		}
	}
	g_ptr_array_unref(list);
}

static void tick_route(struct router *r, struct route *rt, int64_t now)
{
	struct msg_watch done = { .model = ss_str(rt->model), .done = true };
	size_t n = ss_queue_length(rt->queue);

	if (n) {
		refuse_infeasible(r, rt, now);
		router_dispatch_queue(r, rt, now);
		rt->used_ms = now;
	}
	if ((n || rt->arrivals || rt->reported_waiting) &&
	    now - rt->watch_sent_ms >= ROUTER_WATCH_MS)
		router_send_watch(r, rt, now);
	else if (!n && rt->reported_waiting &&
		 now - rt->watch_sent_ms >= ROUTER_EMPTY_WATCH_MS)
		router_send_watch(r, rt, now);
	if (now - rt->used_ms <
	    (rt->code ? ROUTER_UNKNOWN_IDLE_MS : ROUTER_ROUTE_IDLE_MS))
		return;
	for (GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it))
		if (((struct rcall *)g_sequence_get(it))->route == rt)
			return;
	r->o.ops->watch(r->o.arg, &done);
	g_hash_table_remove(r->routes, rt->model);
}

void router_tick(struct router *r, int64_t now)
{
	GList *all;

	expire(r, now);
	tick_calls(r, now);
	all = g_hash_table_get_values(r->routes);
	for (GList *p = all; p; p = p->next)
		tick_route(r, p->data, now);
	g_list_free(all);
}

void router_leader_changed(struct router *r, int64_t now)
{
	GHashTableIter it;
	void *rt;

	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &rt))
		router_send_watch(r, rt, now);
}

size_t router_calls(const struct router *r)
{
	return (size_t)g_sequence_get_length(r->deadlines);
}

size_t router_waiting(const struct router *r)
{
	return r->waiting;
}

const struct router_stats *router_stats(const struct router *r)
{
	return &r->stats;
}
