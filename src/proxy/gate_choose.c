/* Which endpoint a request goes to. */
#include "gate_int.h"

#include <xxhash.h>

/* Engines get no more calls than they run at a time: what waits, waits
 * here, where its order and its deadline are seen. */
#define ENGINE_FILL 1.0
/* Plain services answer within some 10 ms; a short queue there keeps their
 * slots from running dry between two calls. */
#define SERVICE_FILL 2.0
/* Calls a second for one model that a single engine can begin without its other
 * callers' events pausing: a prompt takes up to 60 ms to read. More than that
 * are shared out. */
#define RUSH_PER_S 10.0
/* A load that was told longer ago says nothing any more. */
#define LOAD_OLD_MS 2000

static uint64_t affinity_of(const struct forward *f, const struct gate_ep *ep)
{
	return XXH3_64bits_withSeed(ep->addr, strlen(ep->addr), f->affinity);
}

/* An incarnation that it was sent to: one that has restarted since is another,
 * though it may have the same id. */
static bool was_tried(const struct forward *f, const struct gate_ep *ep)
{
	for (guint i = 0; i < f->tried->len; i++)
		if (fleet_incarnation_judge(f->tried->pdata[i], &ep->self) ==
		    FLEET_SAME)
			return true;
	return false;
}

/* A route bounds how many endpoints one request may be sent to. */
static bool may_send(const struct forward *f, const struct gate_ep *ep)
{
	return f->tried->len < (guint)f->route->attempts || was_tried(f, ep);
}

/* Calls for the same that others have sent since an endpoint told its load, if
 * as many come to each of them as here. */
static double unseen_calls(struct gate *g, const struct forward *f,
			   const struct gate_ep *ep, int64_t now)
{
	double others = g->entries > 1 ? (double)g->entries - 1 : 0;
	double age_s = (double)(now - ep->reported_ms) / 1000.0;

	return fleet_rate_at(&f->home->rate, now) * others * age_s;
}

/* Of all entries, if as many come to each of them as here. */
static bool is_rush(struct gate *g, const struct forward *f)
{
	double here = fleet_rate_at(&f->home->rate, gate_now(g));

	return f->service->engine &&
	       here * (double)MAX(g->entries, 1) > RUSH_PER_S;
}

static void fill_node(struct gate *g, const struct forward *f,
		      const struct gate_ep *ep, struct balance_node *n)
{
	int64_t now = gate_now(g);
	bool fresh = now - ep->reported_ms < LOAD_OLD_MS;

	n->usable = ep->known && !ep->leaving && !ep->words.leaving_ms &&
		    now >= ep->shut_until_ms && may_send(f, ep) &&
		    go_on_fits(f, ep) &&
		    (!*f->model || g_hash_table_contains(ep->held, f->model));
	n->near = !strcmp(ep->domain, g->o.domain);
	n->has_adapter = gate_ep_has_adapter(ep, f->model, f->adapter) ||
			 !*f->adapter;
	n->usable &= n->has_adapter || !ep->busy;
	n->tried = was_tried(f, ep);
	n->slots = ep->slots;
	n->reported = fresh ? ep->reported : 0;
	n->since = fresh ? ep->since : 0;
	n->own = ep->own;
	n->unseen = fresh ? unseen_calls(g, f, ep, now) : 0;
	n->failing = MAX(ep->failing, failing_share(&ep->told, now));
	n->affinity = affinity_of(f, ep);
}

/* Endpoints that a request may go to. */
struct choice {
	GArray *nodes;	/* struct balance_node */
	GPtrArray *eps; /* struct gate_ep of each */
	/* Left out for now, as endpoints themselves say. */
	bool limited, resting;
	GArray *reading; /* guint: left out, at their start limit */
};

/* An endpoint admits it at that time, if nothing else is in the way. */
static void opens_at(struct forward *f, int64_t ms)
{
	f->open_ms = f->open_ms ? MIN(f->open_ms, ms) : ms;
}

static bool breaker_open(const struct gate *g, const struct gate_ep *ep)
{
	return !ss_breaker_allows(&ep->breaker, gate_now(g));
}

static struct balance_node *node_at(const struct choice *c, guint i)
{
	return &g_array_index(c->nodes, struct balance_node, i);
}

/* One whose breaker is open is used only where all others' are, too. */
static void pass_by_breakers(struct gate *g, struct choice *c)
{
	unsigned int working = 0;

	for (guint i = 0; i < c->eps->len; i++)
		working += !breaker_open(g, c->eps->pdata[i]);
	for (guint i = 0; working && i < c->eps->len; i++)
		if (breaker_open(g, c->eps->pdata[i]))
			node_at(c, i)->usable = false;
}

static void gather(struct gate *g, struct forward *f, struct choice *c)
{
	GHashTableIter it;
	void *p;

	c->nodes = g_array_new(FALSE, TRUE, sizeof(struct balance_node));
	c->eps = g_ptr_array_new();
	c->reading = g_array_new(FALSE, FALSE, sizeof(guint));
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct balance_node n = { 0 };
		struct gate_ep *ep = p;

		if (strcmp(ep->service, f->service->name))
			continue;
		fill_node(g, f, ep, &n);
		if (!n.usable)
			continue;
		if (!gate_words_admit(g, ep)) {
			opens_at(f, MAX(ep->words.rest_until_ms, gate_now(g)));
			c->resting = true;
			continue;
		}
		g_array_append_val(c->nodes, n);
		g_ptr_array_add(c->eps, ep);
	}
}

double gate_fill(const struct forward *f)
{
	return f->service->engine ? ENGINE_FILL : SERVICE_FILL;
}

static int best_of(struct gate *g, const struct forward *f,
		   const struct choice *c)
{
	const struct balance_node *n = (struct balance_node *)c->nodes->data;
	double fill = gate_fill(f);
	uint64_t tie = ss_random(&g->seed);

	return is_rush(g, f) ? balance_share(n, c->nodes->len, fill, tie) :
			       balance_choose(n, c->nodes->len, fill, tie);
}

static enum balance_none why_none(int at, const struct choice *c)
{
	if (at == BALANCE_STARTS)
		return BALANCE_STARTS;
	if (c->limited)
		return BALANCE_LIMITED;
	if (c->resting && at == BALANCE_NOBODY)
		return BALANCE_RESTING;
	return (enum balance_none)at;
}

/* The best that admits it; NULL with an enum balance_none in at. */
static struct gate_ep *take_best(struct gate *g, struct forward *f,
				 struct choice *c, int *at)
{
	while ((*at = best_of(g, f, c)) >= 0) {
		struct gate_ep *ep = c->eps->pdata[*at];

		if (gate_limit_admits(f, ep))
			return ep;
		node_at(c, (guint)*at)->usable = false;
		opens_at(f, MAX(ep->words.permit_ms, gate_now(g)));
		c->limited = true;
	}
	return NULL;
}

/* Leaves out engines that have room, but are at their start limit. */
static void pass_by_reading(const struct forward *f, struct choice *c)
{
	for (guint i = 0; i < c->eps->len; i++) {
		struct balance_node *n = node_at(c, i);

		if (!n->usable || !balance_has_room(n, ENGINE_FILL) ||
		    gate_start_admits(f, c->eps->pdata[i]))
			continue;
		n->usable = false;
		g_array_append_val(c->reading, i);
	}
}

static struct gate_ep *reading_at(const struct choice *c, guint k)
{
	return c->eps->pdata[g_array_index(c->reading, guint, k)];
}

/* The longest time to a first event at one of them. */
static int64_t reading_ms(const struct forward *f, const struct choice *c)
{
	double ms = (double)times_first_ms(f);

	for (guint k = 0; k < c->reading->len; k++)
		ms = MAX(ms, pace_bound(&reading_at(c, k)->pace.first));
	return (int64_t)ms;
}

/* Those with the fewest prompts in flight become usable again. */
static void open_fewest(struct choice *c)
{
	int64_t least = INT64_MAX;

	for (guint k = 0; k < c->reading->len; k++)
		least = MIN(least, reading_at(c, k)->starts);
	for (guint k = c->reading->len; k-- > 0;) {
		if (reading_at(c, k)->starts > least)
			continue;
		node_at(c, g_array_index(c->reading, guint, k))->usable = true;
		g_array_remove_index(c->reading, k);
	}
}

/* No other has room: it waits for a bounded time, then goes to one of them. */
static struct gate_ep *take_reading(struct gate *g, struct forward *f,
				    struct choice *c, int *at)
{
	struct gate_ep *found = NULL;

	if (gate_start_waits(f, reading_ms(f, c))) {
		*at = BALANCE_STARTS;
		return NULL;
	}
	while (!found && c->reading->len) {
		open_fewest(c);
		found = take_best(g, f, c, at);
	}
	return found;
}

struct gate_ep *gate_choose(struct gate *g, struct forward *f,
			    enum balance_none *none)
{
	struct gate_ep *found;
	struct choice c = { 0 };
	int at;

	f->open_ms = 0;
	gather(g, f, &c);
	pass_by_breakers(g, &c);
	gate_speed_weigh(f, (struct balance_node *)c.nodes->data, c.eps);
	pass_by_reading(f, &c);
	found = take_best(g, f, &c, &at);
	if (!found && c.reading->len)
		found = take_reading(g, f, &c, &at);
	if (found) {
		speed_rest_sent(&found->slow_rest, gate_now(g));
	} else {
		*none = why_none(at, &c);
		gate_start_held(f, *none);
	}
	/* A place is free soon. */
	if (found || at == BALANCE_FULL || at == BALANCE_STARTS)
		f->open_ms = 0;
	g_array_unref(c.reading);
	g_array_unref(c.nodes);
	g_ptr_array_unref(c.eps);
	return found;
}
