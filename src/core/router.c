/* An entry's decisions. */
#include "router.h"

#include "route.h"

#define RETRY_BUDGET_MOST 20
#define ATTEMPTS_MAX 8
#define PREFIX_TABLE 4096
#define SERVICE_ALPHA 0.1
#define COMEBACK_MIN_MS 500
/* An unclaimed call asks again after so long without a leader. */
#define CLAIM_RETRY_MS 200

enum rcall_state {
	RCALL_QUEUED,
	RCALL_CLAIMING, /* the leader is asked whether it may run */
	RCALL_SENT,
	RCALL_ASKING, /* its agent is asked what became of it */
};

struct rcall {
	struct ss_queue_item item; /* first: the queue gives it back */
	enum rcall_state state;
	struct route *route;
	struct agent *agent;
	uint64_t replica;
	uint64_t sub;	     /* of the attempt under way; 0: none */
	uint64_t entry, seq; /* id of that attempt on its agent */
	uint64_t incarnation;
	uint64_t dead_entry, dead_seq; /* an attempt known not to run */
	uint64_t next;		       /* the piece that comes next */
	unsigned int attempts;
	bool claimed;
	bool counted;	/* in its view's own calls */
	bool maybe_ran; /* an attempt ended without anybody knowing how */
	int64_t sent_ms, asked_ms;
	GSequenceIter *deadline;
	struct msg_call m; /* strings owned */
	struct ss_str key;
	uint64_t fingerprint;
	uint64_t prefix;
	void *data;
};

struct router {
	struct router_options o;
	const struct preset *preset;
	GHashTable *routes;   /* model -> struct route */
	GHashTable *agents;   /* node -> struct agent */
	GHashTable *by_sub;   /* &sub -> struct rcall */
	GSequence *deadlines; /* all calls */
	struct ss_budget budget;
	struct ss_queue_options queue;
	uint64_t subs, seqs;
	struct {
		uint64_t prefix, replica;
	} prefixes[PREFIX_TABLE];
	struct router_stats stats;
	size_t waiting;
	struct rcall *submitting; /* NULL again once it has ended */
};

static unsigned int tenant_share(void *arg, struct ss_str tenant)
{
	const struct router *r = arg;
	const struct preset_tenant *t =
		r->preset ? preset_tenant_of(r->preset, tenant) : NULL;

	return t ? (unsigned int)t->share : 1;
}

static size_t tenant_limit(void *arg, struct ss_str tenant)
{
	const struct router *r = arg;
	const struct preset_tenant *t;

	if (!r->preset)
		return SIZE_MAX;
	t = preset_tenant_of(r->preset, tenant);
	return (size_t)(t ? t->max_waiting : r->preset->tenant_max_waiting);
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
	r->queue.share = tenant_share;
	r->queue.limit = tenant_limit;
	r->queue.arg = r;
	ss_budget_init(&r->budget, 10, RETRY_BUDGET_MOST);
	return r;
}

static struct ss_str own(struct ss_str s)
{
	char *p = g_malloc(s.n + 1);

	if (s.n)
		memcpy(p, s.p, s.n);
	p[s.n] = 0;
	return (struct ss_str){ p, s.n };
}

static void disown(struct ss_str *s)
{
	g_free((char *)s->p);
}

static void rcall_free(struct rcall *c)
{
	struct header *h = c->m.headers.items;

	for (size_t i = 0; i < c->m.headers.n; i++) {
		disown(&h[i].name);
		disown(&h[i].value);
	}
	g_free(h);
	disown(&c->m.method);
	disown(&c->m.path);
	disown(&c->m.body);
	disown(&c->key);
	disown(&c->item.tenant);
	g_free(c);
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

static struct agent *agent_named(struct router *r, const char *node,
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

/* The attempt is over: give back its slot, forget its sub. */
static void end_attempt(struct router *r, struct rcall *c)
{
	struct view *v = c->counted ? route_view(c->route, c->replica) : NULL;

	if (v && v->t.own)
		v->t.own--;
	if (v && v->t.sent_since)
		v->t.sent_since--;
	c->counted = false;
	if (c->sub)
		g_hash_table_remove(r->by_sub, &c->sub);
	c->sub = 0;
}

static void leave(struct router *r, struct rcall *c)
{
	if (c->state == RCALL_QUEUED && c->item.lane) {
		ss_queue_remove(c->route->queue, &c->item);
		r->waiting--;
	}
	end_attempt(r, c);
	if (c->deadline)
		g_sequence_remove(c->deadline);
	c->deadline = NULL;
}

static void end_call(struct router *r, struct rcall *c,
		     const struct router_end *e)
{
	if (r->submitting == c)
		r->submitting = NULL;
	leave(r, c);
	r->o.ops->finish(r->o.arg, c, e);
	rcall_free(c);
}

static void finish(struct router *r, struct rcall *c, enum ss_error code,
		   enum outcome outcome, const char *text, int64_t comeback)
{
	/* "Not run" is for the call, not for its last attempt. */
	bool unknown = outcome == OUTCOME_NOT_RUN && c->maybe_ran;
	struct router_end e = { .code = code,
				.outcome = unknown ? OUTCOME_UNKNOWN : outcome,
				.text = text,
				.retry_after_ms = comeback };

	end_call(r, c, &e);
}

static void finish_ok(struct router *r, struct rcall *c)
{
	struct router_end e = { .outcome = OUTCOME_RAN, .text = "" };

	end_call(r, c, &e);
}

static void refuse_late(struct router *r, struct rcall *c, int64_t wait,
			const char *text)
{
	r->stats.refused_early++;
	finish(r, c, SS_ERROR_DEADLINE, OUTCOME_NOT_RUN, text,
	       MAX(wait, COMEBACK_MIN_MS));
}

static void set_sub(struct router *r, struct rcall *c)
{
	c->sub = ++r->subs;
	g_hash_table_insert(r->by_sub, &c->sub, c);
}

static void watch(struct router *r, struct route *rt, int64_t now)
{
	size_t n = ss_queue_length(rt->queue);
	struct msg_watch w = { .model = ss_str(rt->model),
			       .waiting = n,
			       .arrivals = rt->arrivals,
			       .priority = ss_queue_priority(rt->queue) };

	if (n)
		w.deadline_ms = MAX(ss_queue_deadline(rt->queue) - now, 1);
	rt->arrivals = 0;
	rt->told = n;
	rt->watch_ms = now;
	r->o.ops->watch(r->o.arg, &w);
}

static void enqueue(struct router *r, struct rcall *c)
{
	GError *error = NULL;

	c->state = RCALL_QUEUED;
	c->agent = NULL;
	if (ss_queue_push(c->route->queue, &c->item, &error)) {
		r->waiting++;
		return;
	}
	finish(r, c, SS_ERROR_OVERLOAD, OUTCOME_NOT_RUN, error->message,
	       MAX((int64_t)c->route->service_ms, COMEBACK_MIN_MS));
	g_error_free(error);
}

static void send_cancel(struct router *r, struct rcall *c)
{
	struct msg_cancel m = { .sub = c->sub };

	if (c->sub && c->agent && c->agent->up)
		r->o.ops->send(r->o.arg, c->agent->node, MSG_CANCEL, &m);
}

static void send_attach(struct router *r, struct rcall *c)
{
	struct msg_attach m = { .entry = c->entry,
				.seq = c->seq,
				.incarnation = c->incarnation,
				.have = c->next };

	if (c->sub)
		g_hash_table_remove(r->by_sub, &c->sub);
	set_sub(r, c);
	m.sub = c->sub;
	r->stats.attaches++;
	if (r->o.ops->send(r->o.arg, c->agent->node, MSG_ATTACH, &m))
		c->state = RCALL_SENT;
}

/* Ask the agent what became of a call, now or once it is reachable. */
static void ask(struct router *r, struct rcall *c, int64_t now)
{
	c->state = RCALL_ASKING;
	c->asked_ms = now;
	if (c->agent->up)
		send_attach(r, c);
	else
		r->o.ops->connect(r->o.arg, c->agent->node, c->agent->addr);
}

static void again(struct router *r, struct rcall *c, bool free_of_charge,
		  enum ss_error code, const char *text, int64_t now);

static void send_call(struct router *r, struct rcall *c, int64_t now)
{
	struct view *v = route_view(c->route, c->replica);

	set_sub(r, c);
	c->state = RCALL_SENT;
	c->sent_ms = now;
	c->m.sub = c->sub;
	c->m.model = ss_str(c->route->target);
	c->m.entry = c->entry;
	c->m.seq = c->seq;
	c->m.incarnation = c->incarnation;
	c->m.deadline_ms = c->item.deadline_ms - now;
	c->m.priority = c->item.priority;
	if (v)
		v->t.sent_since++;
	ss_breaker_sent(&c->agent->breaker);
	if (r->o.ops->send(r->o.arg, c->agent->node, MSG_CALL, &c->m))
		return;
	/* Nothing was handed over, so it surely did not run. */
	c->agent->up = false;
	c->agent->down_ms = now;
	again(r, c, true, SS_ERROR_UNAVAILABLE, "the connection is gone", now);
}

static void claim(struct router *r, struct rcall *c, int64_t now)
{
	struct msg_claim m = { .key = c->key,
			       .fingerprint = c->fingerprint,
			       .entry = c->entry,
			       .seq = c->seq,
			       .dead_entry = c->dead_entry,
			       .dead_seq = c->dead_seq,
			       .node = ss_str(c->agent->node),
			       .incarnation = c->incarnation };

	if (!c->sub)
		set_sub(r, c);
	m.sub = c->sub;
	c->state = RCALL_CLAIMING;
	c->asked_ms = now;
	r->stats.claims++;
	r->o.ops->claim(r->o.arg, &m);
}

static void dispatch(struct router *r, struct rcall *c, struct view *v,
		     int64_t now)
{
	c->agent = v->agent;
	c->replica = v->replica;
	c->incarnation = v->agent->incarnation;
	c->entry = r->o.incarnation;
	c->seq = ++r->seqs;
	c->next = 0;
	c->attempts++;
	c->counted = true;
	v->t.own++;
	if (c->prefix) {
		r->prefixes[c->prefix % PREFIX_TABLE].prefix = c->prefix;
		r->prefixes[c->prefix % PREFIX_TABLE].replica = c->replica;
	}
	if (c->key.n)
		claim(r, c, now);
	else
		send_call(r, c, now);
}

/* Classes below this one must leave the free slots to those above. */
static int least_priority(const struct router *r, struct route *rt, int64_t now)
{
	uint64_t slots, free_slots;

	if (!r->preset)
		return 0;
	route_slots(rt, now, &slots, &free_slots);
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++) {
		uint64_t kept = 0;

		for (guint i = 0; i < r->preset->classes->len; i++) {
			const struct preset_class *k =
				r->preset->classes->pdata[i];

			if (k->priority > p)
				kept += slots * (uint64_t)k->reserve_percent /
					100;
		}
		if (free_slots > kept || slots <= 1)
			return p;
	}
	return SS_QUEUE_PRIORITIES - 1;
}

static void connect_views(struct router *r, struct route *rt)
{
	for (guint i = 0; i < rt->views->len; i++) {
		struct agent *a =
			g_array_index(rt->views, struct view, i).agent;

		if (!a->up)
			r->o.ops->connect(r->o.arg, a->node, a->addr);
	}
}

static uint64_t prefix_replica(const struct router *r, uint64_t prefix)
{
	if (prefix && r->prefixes[prefix % PREFIX_TABLE].prefix == prefix)
		return r->prefixes[prefix % PREFIX_TABLE].replica;
	return 0;
}

/* Send what can be sent. */
static void pump(struct router *r, struct route *rt, int64_t now)
{
	while (ss_queue_length(rt->queue)) {
		struct rcall *c;
		struct view *v = route_choose(rt, r->o.domain, 0, r->seqs, now);

		if (!v) {
			connect_views(r, rt);
			return;
		}
		c = (struct rcall *)ss_queue_pop(rt->queue, now,
						 least_priority(r, rt, now));
		if (!c)
			return;
		r->waiting--;
		if (prefix_replica(r, c->prefix))
			v = route_choose(rt, r->o.domain,
					 prefix_replica(r, c->prefix), r->seqs,
					 now);
		dispatch(r, c, v, now);
	}
}

static gint by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	int64_t x = ((const struct rcall *)a)->item.deadline_ms;
	int64_t y = ((const struct rcall *)b)->item.deadline_ms;

	(void)data;
	return x < y ? -1 : x > y;
}

static struct rcall *rcall_new(const struct router_call *o)
{
	struct rcall *c = g_new0(struct rcall, 1);
	struct header *h = g_new0(struct header, o->n_headers);

	for (size_t i = 0; i < o->n_headers; i++) {
		h[i].name = own(o->headers[i].name);
		h[i].value = own(o->headers[i].value);
	}
	c->m.headers = (struct wire_list){ h, o->n_headers };
	c->m.method = own(o->method);
	c->m.path = own(o->path);
	c->m.body = own(o->body);
	c->m.once = o->once;
	c->key = own(o->key);
	c->fingerprint = o->fingerprint;
	c->prefix = o->prefix;
	c->data = o->data;
	c->item.deadline_ms = o->deadline_ms;
	c->item.priority = o->priority;
	c->item.tenant = own(o->tenant);
	return c;
}

static struct route *route_for(struct router *r, struct ss_str model,
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

/* Refuse at once, or put into the queue. */
static void admit(struct router *r, struct rcall *c, int64_t now)
{
	struct route *rt = c->route;
	int64_t deadline = c->item.deadline_ms;
	int64_t wait;

	if (rt->known && rt->code) {
		/* Asked again now and then, for it may have come since. */
		if (now - rt->watch_ms >= ROUTER_WATCH_MS)
			watch(r, rt, now);
		finish(r, c, (enum ss_error)rt->code, OUTCOME_NOT_RUN,
		       "no such model", 0);
		return;
	}
	wait = route_wait_ms(
		rt, ss_queue_ahead(rt->queue, c->item.priority, deadline), now);
	if (now + wait >= deadline) {
		refuse_late(r, c, wait, "the deadline can't be met");
		if (!rt->known || rt->views->len == 0)
			watch(r, rt, now);
		return;
	}
	enqueue(r, c);
	pump(r, rt, now);
	if (ss_queue_length(rt->queue) &&
	    (rt->views->len == 0 || now - rt->watch_ms >= ROUTER_WATCH_MS))
		watch(r, rt, now);
}

struct rcall *router_submit(struct router *r, const struct router_call *o,
			    int64_t now)
{
	struct rcall *c = rcall_new(o);

	c->route = route_for(r, o->model, now);
	c->route->arrivals++;
	c->route->used_ms = now;
	c->deadline =
		g_sequence_insert_sorted(r->deadlines, c, by_deadline, NULL);
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
		send_cancel(r, c);
	leave(r, c);
	rcall_free(c);
}

static struct agent *agent_of(void *arg, const struct route_replica *rr)
{
	char *node = ss_str_dup(rr->node);
	struct agent *a = agent_named(arg, node, rr->addr, rr->domain);

	g_free(node);
	/* What a live connection says is newer than the leader's word. */
	if (!a->up)
		a->incarnation = rr->incarnation;
	return a;
}

/* All calls of a route that wait, so that the queue may change meanwhile. */
static GPtrArray *waiting_calls(struct router *r, struct route *rt)
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

/* Give up at once on calls that the known wake time makes late. */
static void refuse_hopeless(struct router *r, struct route *rt, int64_t now)
{
	GPtrArray *list;

	if (!rt->code && (rt->views->len || rt->eta_ms == SS_NEVER ||
			  ss_queue_deadline(rt->queue) > rt->eta_ms))
		return;
	list = waiting_calls(r, rt);
	for (guint i = 0; i < list->len; i++) {
		struct rcall *c = list->pdata[i];

		if (rt->code)
			finish(r, c, (enum ss_error)rt->code, OUTCOME_NOT_RUN,
			       "no such model", 0);
		else if (c->item.deadline_ms <= rt->eta_ms)
			refuse_late(r, c, rt->eta_ms - now,
				    "the model can't be loaded in time");
	}
	g_ptr_array_unref(list);
}

void router_route(struct router *r, const struct msg_route *m, int64_t now)
{
	char *name = ss_str_dup(m->model);
	struct route *rt = g_hash_table_lookup(r->routes, name);

	g_free(name);
	/* A leader that was replaced may still say what was once true. */
	if (!rt || m->version < rt->version)
		return;
	route_update(rt, m, agent_of, r, now);
	refuse_hopeless(r, rt, now);
	connect_views(r, rt);
	pump(r, rt, now);
}

/* Let a call that did not run wait for another attempt, if it may. */
static void again(struct router *r, struct rcall *c, bool free_of_charge,
		  enum ss_error code, const char *text, int64_t now)
{
	if (c->key.n) {
		c->dead_entry = c->entry;
		c->dead_seq = c->seq;
	}
	if (c->item.deadline_ms <= now) {
		finish(r, c, SS_ERROR_DEADLINE, OUTCOME_NOT_RUN, text,
		       COMEBACK_MIN_MS);
		return;
	}
	if (!free_of_charge) {
		if (c->attempts >= ATTEMPTS_MAX ||
		    !ss_budget_retry(&r->budget)) {
			r->stats.retries_refused++;
			finish(r, c, code, OUTCOME_NOT_RUN, text,
			       COMEBACK_MIN_MS);
			return;
		}
		r->stats.retries++;
	}
	end_attempt(r, c);
	enqueue(r, c);
}

/* Nobody can say what became of the call's attempt. */
static void resolve_lost(struct router *r, struct rcall *c, const char *text,
			 int64_t now)
{
	struct route *rt = c->route;

	ss_breaker_result(&c->agent->breaker, false, now);
	if (!c->m.once && c->next == 0 && c->attempts < ATTEMPTS_MAX &&
	    c->item.deadline_ms > now && ss_budget_retry(&r->budget)) {
		r->stats.retries++;
		c->maybe_ran = true;
		end_attempt(r, c);
		enqueue(r, c);
		pump(r, rt, now);
		return;
	}
	finish(r, c, SS_ERROR_LOST, OUTCOME_UNKNOWN, text, 0);
}

void router_claimed(struct router *r, const struct msg_claimed *m, int64_t now)
{
	struct rcall *c = g_hash_table_lookup(r->by_sub, &m->sub);
	char *node;

	if (!c || c->state != RCALL_CLAIMING)
		return;
	if (m->code == 0) {
		c->claimed = true;
		g_hash_table_remove(r->by_sub, &c->sub);
		c->sub = 0;
		send_call(r, c, now);
		return;
	}
	if (m->code != SS_ERROR_CONFLICT) {
		char *text = ss_str_dup(m->text);

		finish(r, c, (enum ss_error)m->code, OUTCOME_NOT_RUN, text, 0);
		g_free(text);
		return;
	}
	/* Another attempt holds the key: its answer is this one's too. */
	end_attempt(r, c);
	node = ss_str_dup(m->node);
	c->agent = agent_named(r, node, m->addr, (struct ss_str){ 0 });
	g_free(node);
	c->entry = m->entry;
	c->seq = m->seq;
	c->incarnation = m->incarnation;
	c->next = 0;
	ask(r, c, now);
}

/* Calls whose attempt is on an agent, in any state but queued. */
static GPtrArray *agent_calls(struct router *r, const struct agent *a)
{
	GPtrArray *list = g_ptr_array_new();

	for (GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		struct rcall *c = g_sequence_get(it);

		if (c->agent == a &&
		    (c->state == RCALL_SENT || c->state == RCALL_ASKING))
			g_ptr_array_add(list, c);
	}
	return list;
}

static void pump_all(struct router *r, int64_t now)
{
	GList *all = g_hash_table_get_values(r->routes);

	for (GList *p = all; p; p = p->next)
		pump(r, p->data, now);
	g_list_free(all);
}

void router_agent_up(struct router *r, const char *node, uint64_t incarnation,
		     int64_t now)
{
	struct ss_str none = { 0 };
	struct agent *a = agent_named(r, node, none, none);
	GPtrArray *list;

	a->up = true;
	a->incarnation = incarnation;
	list = agent_calls(r, a);
	for (guint i = 0; i < list->len; i++) {
		struct rcall *c = list->pdata[i];

		if (c->incarnation == incarnation)
			send_attach(r, c);
		else
			resolve_lost(r, c, "the agent has restarted", now);
	}
	g_ptr_array_unref(list);
	pump_all(r, now);
}

void router_agent_down(struct router *r, const char *node, int64_t now)
{
	struct agent *a = g_hash_table_lookup(r->agents, node);
	GPtrArray *list;

	if (!a)
		return;
	if (a->up)
		a->down_ms = now;
	a->up = false;
	list = agent_calls(r, a);
	for (guint i = 0; i < list->len; i++) {
		struct rcall *c = list->pdata[i];

		if (c->state == RCALL_SENT)
			ask(r, c, now);
	}
	g_ptr_array_unref(list);
}

static void learn_service_time(struct rcall *c, int64_t now)
{
	double took = (double)(now - c->sent_ms);

	c->route->service_ms += SERVICE_ALPHA * (took - c->route->service_ms);
}

/* Leave a replica alone for a while, longer each time it refuses. */
static void rest_view(struct view *v, int64_t now)
{
	if (!v)
		return;
	v->full_ms = now + (ROUTER_FULL_MS << MIN(v->refusals, 6));
	v->refusals++;
}

/* The agent refused, or can't say; nothing more comes on this sub. */
static void take_refusal(struct router *r, struct rcall *c,
			 const struct msg_reply *m, int64_t now)
{
	struct route *rt = c->route;
	struct view *v = route_view(rt, c->replica);
	char *text = ss_str_dup(m->text);
	enum ss_error code = (enum ss_error)m->code;

	if (m->outcome == OUTCOME_UNKNOWN) {
		resolve_lost(r, c, text, now);
	} else if (m->outcome != OUTCOME_NOT_RUN || c->next > 0) {
		if (code == SS_ERROR_ENDPOINT)
			ss_breaker_result(&c->agent->breaker, false, now);
		finish(r, c, code,
		       c->m.once ? OUTCOME_UNKNOWN : (enum outcome)m->outcome,
		       text, 0);
	} else if (code == SS_ERROR_OVERLOAD && v) {
		rest_view(v, now);
		again(r, c, true, code, text, now);
	} else if (code == SS_ERROR_UNKNOWN_MODEL && v) {
		/* Until the leader has heard of it as well. An engine that
		 * came back empty refuses before any work, so this isn't a
		 * retry: else a few of them use up the call's attempts. */
		rest_view(v, now);
		v->gone = true;
		v->full_ms = MAX(v->full_ms, now + ROUTER_GONE_MS);
		again(r, c, true, code, text, now);
		watch(r, rt, now);
	} else {
		if (code == SS_ERROR_ENDPOINT) {
			ss_breaker_result(&c->agent->breaker, false, now);
			rest_view(v, now);
		} else if (v && code != SS_ERROR_CANCELLED &&
			   code != SS_ERROR_LOST) {
			/* Until the leader has heard of it as well. */
			v->gone = true;
			v->full_ms = now + ROUTER_GONE_MS;
		}
		again(r, c, false, code, text, now);
		watch(r, rt, now);
	}
	g_free(text);
	pump(r, rt, now);
}

void router_reply(struct router *r, const char *node, const struct msg_reply *m,
		  int64_t now)
{
	struct rcall *c = g_hash_table_lookup(r->by_sub, &m->sub);
	struct route *rt;
	struct view *v;

	/* A late piece of an attempt that was given up has no sub any more. */
	if (!c || c->state != RCALL_SENT || strcmp(c->agent->node, node)) {
		r->stats.late_pieces++;
		return;
	}
	if (m->end && m->code) {
		take_refusal(r, c, m, now);
		return;
	}
	if (m->seq < c->next) {
		r->stats.late_pieces++;
		return;
	}
	if (m->seq > c->next) {
		/* A piece is missing: read on from it rather than pass on a
		 * hole. */
		ask(r, c, now);
		return;
	}
	c->next++;
	rt = c->route;
	v = route_view(rt, c->replica);
	if (v && c->counted) {
		v->t.reported = m->active;
		v->t.sent_since = 0;
		v->refusals = 0;
	}
	r->o.ops->deliver(r->o.arg, c, m);
	if (!m->end)
		return;
	if (c->counted) {
		learn_service_time(c, now);
		if (v && v->t.reported)
			v->t.reported--;
	}
	ss_breaker_result(&c->agent->breaker, true, now);
	finish_ok(r, c);
	pump(r, rt, now);
}

static void deadline_passed(struct router *r, struct rcall *c, int64_t now)
{
	bool sent = c->state == RCALL_SENT || c->state == RCALL_ASKING;
	int64_t wait =
		route_wait_ms(c->route, ss_queue_length(c->route->queue), now);

	if (c->state == RCALL_SENT)
		send_cancel(r, c);
	finish(r, c, SS_ERROR_DEADLINE,
	       sent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
	       "the deadline has passed",
	       sent && c->m.once ? 0 : MAX(wait, COMEBACK_MIN_MS));
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
		deadline_passed(r, c, now);
	}
}

static void tick_calls(struct router *r, int64_t now)
{
	GPtrArray *list = g_ptr_array_new();

	for (GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		struct rcall *c = g_sequence_get(it);

		if (c->state == RCALL_ASKING || c->state == RCALL_CLAIMING)
			g_ptr_array_add(list, c);
	}
	for (guint i = 0; i < list->len; i++) {
		struct rcall *c = list->pdata[i];

		if (c->state == RCALL_CLAIMING) {
			if (now - c->asked_ms >= CLAIM_RETRY_MS)
				claim(r, c, now);
		} else if (now - c->asked_ms >= ROUTER_LOST_MS) {
			resolve_lost(r, c, "the agent can't be reached", now);
		} else if (c->agent->up) {
			send_attach(r, c);
		} else {
			r->o.ops->connect(r->o.arg, c->agent->node,
					  c->agent->addr);
		}
	}
	g_ptr_array_unref(list);
}

static void tick_route(struct router *r, struct route *rt, int64_t now)
{
	struct msg_watch bye = { .model = ss_str(rt->model), .done = true };
	size_t n = ss_queue_length(rt->queue);

	if (n) {
		refuse_hopeless(r, rt, now);
		pump(r, rt, now);
		rt->used_ms = now;
	}
	if ((n || rt->arrivals || rt->told) &&
	    now - rt->watch_ms >= ROUTER_WATCH_MS)
		watch(r, rt, now);
	else if (!n && rt->told && now - rt->watch_ms >= ROUTER_CALM_MS)
		watch(r, rt, now);
	if (now - rt->used_ms <
	    (rt->code ? ROUTER_UNKNOWN_IDLE_MS : ROUTER_ROUTE_IDLE_MS))
		return;
	for (GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it))
		if (((struct rcall *)g_sequence_get(it))->route == rt)
			return;
	r->o.ops->watch(r->o.arg, &bye);
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

void router_leader(struct router *r, int64_t now)
{
	GHashTableIter it;
	void *rt;

	g_hash_table_iter_init(&it, r->routes);
	while (g_hash_table_iter_next(&it, NULL, &rt))
		watch(r, rt, now);
}

void *rcall_data(const struct rcall *c)
{
	return c->data;
}

void rcall_id(const struct rcall *c, uint64_t *entry, uint64_t *seq)
{
	*entry = c->entry;
	*seq = c->seq;
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
