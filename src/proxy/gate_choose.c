/* Choice of the endpoint that a request is sent to. */
#include "gate_int.h"

#include <xxhash.h>

/* Calls per slot of an engine. Requests beyond that wait in the gate, which
 * knows their order and deadlines. */
#define ENGINE_FILL 1.0
/* Calls per slot of a plain service. These answer within some 10 ms, so a short
 * queue there keeps the slots busy between two calls. */
#define SERVICE_FILL 2.0
/* Calls a second for one model that a single engine can begin without pauses in
 * its other streams, as the prefill of a prompt takes up to 60 ms. At a higher
 * rate calls are spread over engines. */
#define BURST_PER_S 10.0
/* Older load reports are ignored. */
#define LOAD_MAX_AGE_MS 2000

static uint64_t affinity_of(const struct forward *f, const struct gate_ep *ep)
{
	return XXH3_64bits_withSeed(ep->addr, strlen(ep->addr), f->affinity);
}

/* Whether the request was sent to this incarnation. An endpoint that restarted
 * since counts as another, even with the same id. */
static bool was_tried(const struct forward *f, const struct gate_ep *ep)
{
	for (guint i = 0; i < f->tried->len; i++)
		if (fleet_incarnation_compare(f->tried->pdata[i], &ep->self) ==
		    FLEET_SAME)
			return true;
	return false;
}

/* The route limits the number of endpoints that a request may be sent to. */
static bool may_send(const struct forward *f, const struct gate_ep *ep)
{
	return f->tried->len < (guint)f->route->attempts || was_tried(f, ep);
}

/* Estimate of the calls for the same model that other entries have sent since
 * an endpoint reported its load. Assumes that each gets as many as this one. */
static double unreported_calls(struct gate *g, const struct forward *f,
			       const struct gate_ep *ep, int64_t now)
{
	double others = g->entries > 1 ? (double)g->entries - 1 : 0;
	double age_s = (double)(now - ep->reported_ms) / 1000.0;

	return fleet_rate_at(&f->home_queue->rate, now) * others * age_s;
}

/* Whether all entries together exceed BURST_PER_S for the model. Assumes that
 * each gets as many calls as this one. */
static bool is_burst(struct gate *g, const struct forward *f)
{
	double here = fleet_rate_at(&f->home_queue->rate, gate_now(g));

	return f->service->engine &&
	       here * (double)MAX(g->entries, 1) > BURST_PER_S;
}

static void fill_node(struct gate *g, const struct forward *f,
		      const struct gate_ep *ep, struct balance_node *n)
{
	int64_t now = gate_now(g);
	bool fresh = now - ep->reported_ms < LOAD_MAX_AGE_MS;

	n->usable = ep->known && !ep->draining && !ep->signals.draining_ms &&
		    now >= ep->unreachable_until_ms && may_send(f, ep) &&
		    resume_fits(f, ep) &&
		    (!*f->model || g_hash_table_contains(ep->models, f->model));
	n->near = !strcmp(ep->domain, g->o.domain);
	n->has_adapter = gate_ep_has_adapter(ep, f->model, f->adapter) ||
			 !*f->adapter;
	n->usable &= n->has_adapter || !ep->loading;
	n->tried = was_tried(f, ep);
	n->slots = ep->slots;
	n->reported = fresh ? ep->reported_calls : 0;
	n->sent_since = fresh ? ep->sent_since : 0;
	n->own_calls = ep->own_calls;
	n->unreported = fresh ? unreported_calls(g, f, ep, now) : 0;
	n->failure_rate = MAX(ep->failure_rate,
			      failure_rate_at(&ep->reported_failure_rate, now));
	n->affinity = affinity_of(f, ep);
}

/* Endpoints that a request may be sent to. */
struct candidates {
	GArray *nodes;	/* struct balance_node */
	GPtrArray *eps; /* struct gate_ep of each node */
	/* Some endpoint was excluded by its limit, or by its backoff. */
	bool limited, backoff;
	GArray *start_limited; /* guint: nodes excluded by their start limit */
};

/* Records the earliest time at which an endpoint admits the request. */
static void note_admit_time(struct forward *f, int64_t ms)
{
	f->admit_ms = f->admit_ms ? MIN(f->admit_ms, ms) : ms;
}

static bool breaker_open(const struct gate *g, const struct gate_ep *ep)
{
	return !ss_breaker_allows(&ep->breaker, gate_now(g));
}

static struct balance_node *node_at(const struct candidates *c, guint i)
{
	return &g_array_index(c->nodes, struct balance_node, i);
}

/* Excludes endpoints whose breaker is open, unless all are. */
static void exclude_open_breakers(struct gate *g, struct candidates *c)
{
	unsigned int working = 0;

	for (guint i = 0; i < c->eps->len; i++)
		working += !breaker_open(g, c->eps->pdata[i]);
	for (guint i = 0; working && i < c->eps->len; i++)
		if (breaker_open(g, c->eps->pdata[i]))
			node_at(c, i)->usable = false;
}

static void collect_candidates(struct gate *g, struct forward *f,
			       struct candidates *c)
{
	GHashTableIter it;
	void *p;

	c->nodes = g_array_new(FALSE, TRUE, sizeof(struct balance_node));
	c->eps = g_ptr_array_new();
	c->start_limited = g_array_new(FALSE, FALSE, sizeof(guint));
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct balance_node n = { 0 };
		struct gate_ep *ep = p;

		if (strcmp(ep->service, f->service->name))
			continue;
		fill_node(g, f, ep, &n);
		if (!n.usable)
			continue;
		if (!gate_signals_admit(g, ep)) {
			note_admit_time(f, MAX(ep->signals.backoff_until_ms,
					       gate_now(g)));
			c->backoff = true;
			continue;
		}
		g_array_append_val(c->nodes, n);
		g_ptr_array_add(c->eps, ep);
	}
}

double gate_fill_factor(const struct forward *f)
{
	return f->service->engine ? ENGINE_FILL : SERVICE_FILL;
}

static int best_of(struct gate *g, const struct forward *f,
		   const struct candidates *c)
{
	const struct balance_node *n = (struct balance_node *)c->nodes->data;
	double fill = gate_fill_factor(f);
	uint64_t tie = ss_random(&g->seed);

	return is_burst(g, f) ?
		       balance_choose_weighted(n, c->nodes->len, fill, tie) :
		       balance_choose(n, c->nodes->len, fill, tie);
}

static enum balance_refusal why_none(int at, const struct candidates *c)
{
	if (at == BALANCE_START_LIMIT)
		return BALANCE_START_LIMIT;
	if (c->limited)
		return BALANCE_LIMITED;
	if (c->backoff && at == BALANCE_NO_ENDPOINT)
		return BALANCE_BACKOFF;
	return (enum balance_refusal)at;
}

/* Returns the best endpoint whose limit admits the request; NULL with an enum
 * balance_refusal in at. */
static struct gate_ep *take_best(struct gate *g, struct forward *f,
				 struct candidates *c, int *at)
{
	while ((*at = best_of(g, f, c)) >= 0) {
		struct gate_ep *ep = c->eps->pdata[*at];

		if (gate_limit_admits(f, ep))
			return ep;
		node_at(c, (guint)*at)->usable = false;
		note_admit_time(f, MAX(ep->signals.next_grant_ms, gate_now(g)));
		c->limited = true;
	}
	return NULL;
}

/* Excludes engines that have room but are at their start limit. */
static void exclude_start_limited(const struct forward *f, struct candidates *c)
{
	for (guint i = 0; i < c->eps->len; i++) {
		struct balance_node *n = node_at(c, i);

		if (!n->usable || !balance_has_room(n, ENGINE_FILL) ||
		    gate_start_admits(f, c->eps->pdata[i]))
			continue;
		n->usable = false;
		g_array_append_val(c->start_limited, i);
	}
}

static struct gate_ep *start_limited_at(const struct candidates *c, guint k)
{
	return c->eps->pdata[g_array_index(c->start_limited, guint, k)];
}

/* Longest expected time to a first event at engines excluded by their start
 * limit. */
static int64_t start_limited_first_ms(const struct forward *f,
				      const struct candidates *c)
{
	double ms = (double)times_first_ms(f);

	for (guint k = 0; k < c->start_limited->len; k++)
		ms = MAX(ms, timing_estimate_bound(
				     &start_limited_at(c, k)->timing.first));
	return (int64_t)ms;
}

/* Makes the engines with the fewest prompts in flight usable again. */
static void allow_fewest_prompts(struct candidates *c)
{
	int64_t least = INT64_MAX;

	for (guint k = 0; k < c->start_limited->len; k++)
		least = MIN(least, start_limited_at(c, k)->open_prompts);
	for (guint k = c->start_limited->len; k-- > 0;) {
		if (start_limited_at(c, k)->open_prompts > least)
			continue;
		node_at(c, g_array_index(c->start_limited, guint, k))->usable =
			true;
		g_array_remove_index(c->start_limited, k);
	}
}

/* Chooses an engine at its start limit for a request that no other endpoint has
 * room for, once that has waited for a limited time; NULL as above. */
static struct gate_ep *take_start_limited(struct gate *g, struct forward *f,
					  struct candidates *c, int *at)
{
	struct gate_ep *found = NULL;

	if (gate_start_waits(f, start_limited_first_ms(f, c))) {
		*at = BALANCE_START_LIMIT;
		return NULL;
	}
	while (!found && c->start_limited->len) {
		allow_fewest_prompts(c);
		found = take_best(g, f, c, at);
	}
	return found;
}

struct gate_ep *gate_choose(struct gate *g, struct forward *f,
			    enum balance_refusal *none)
{
	struct gate_ep *found;
	struct candidates c = { 0 };
	int at;

	f->admit_ms = 0;
	collect_candidates(g, f, &c);
	exclude_open_breakers(g, &c);
	gate_speed_weigh(f, (struct balance_node *)c.nodes->data, c.eps);
	exclude_start_limited(f, &c);
	found = take_best(g, f, &c, &at);
	if (!found && c.start_limited->len)
		found = take_start_limited(g, f, &c, &at);
	if (found) {
		ejection_call_sent(&found->ejection, gate_now(g));
	} else {
		*none = why_none(at, &c);
		gate_start_blocked(f, *none);
	}
	/* A slot becomes free soon, so a refused caller needn't wait until an
	 * endpoint admits the request. */
	if (found || at == BALANCE_FULL || at == BALANCE_START_LIMIT)
		f->admit_ms = 0;
	g_array_unref(c.start_limited);
	g_array_unref(c.nodes);
	g_ptr_array_unref(c.eps);
	return found;
}
