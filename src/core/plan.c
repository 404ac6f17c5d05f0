/* The leader's decisions on replicas. */
#include "plan.h"

#include "state.h"

#define MINUTE_MS 60000.0
#define BYTES_PER_MS_FIRST 1.0e6 /* 1 GB/s until a load was seen */
#define PACE_ALPHA 0.3
#define LOAD_OVERHEAD_MS 50
/* Loads from disk and memory against those from the store. */
#define DISK_FACTOR 0.4
#define MEMORY_FACTOR 0.1
/* A second replica is asked for when the queue needs more than this share
 * of the time that is left. */
#define SCALE_SLACK_SHARE 0.5
#define SERVICE_MS_GUESS 1000
/* An idle replica this young isn't evicted for another model. */
#define EVICT_AGE_MIN_MS 2000
/* A load this much slower than expected has no known end. */
#define OVERDUE_FACTOR 1.5

void pacer_init(struct pacer *p, int64_t now)
{
	p->tokens = 1;
	p->at_ms = now;
	p->bytes_per_ms = BYTES_PER_MS_FIRST;
}

void pacer_loaded(struct pacer *p, uint64_t bytes, int64_t took_ms)
{
	double rate = (double)bytes / (double)MAX(took_ms, 1);

	p->bytes_per_ms += PACE_ALPHA * (rate - p->bytes_per_ms);
}

int64_t pacer_load_ms(const struct pacer *p, uint64_t bytes, enum ss_tier tier)
{
	static const double factor[] = { 1, DISK_FACTOR, MEMORY_FACTOR };

	return LOAD_OVERHEAD_MS +
	       (int64_t)((double)bytes / p->bytes_per_ms * factor[tier]);
}

static void pacer_refill(struct pacer *p, const struct preset *preset,
			 int64_t now)
{
	double per_ms = (double)preset->store_per_minute / MINUTE_MS;

	p->tokens += (double)(now - p->at_ms) * per_ms;
	/* What may be saved up is one second's worth, and at least one. */
	p->tokens = MIN(p->tokens, MAX(per_ms * 1000, 1));
	p->at_ms = now;
}

/* Replicas of a model in the view. */
struct tally {
	size_t all;	/* whatever their state: the decided count */
	size_t serving; /* ready on a usable node */
	size_t loading;
	uint64_t slots;
	int64_t oldest_load_ms;
};

static struct tally tally_of(const struct plan_view *v, const char *model)
{
	struct tally t = { 0 };

	for (size_t i = 0; i < v->n_replicas; i++) {
		const struct plan_replica *r = &v->replicas[i];

		if (strcmp(r->model, model))
			continue;
		t.all++;
		if (!v->nodes[r->node].usable)
			continue;
		if (r->state == REPLICA_READY) {
			t.serving++;
			t.slots += r->slots;
		} else if (r->state == REPLICA_LOADING && !r->failed) {
			t.loading++;
			t.slots += r->slots;
			t.oldest_load_ms = MAX(t.oldest_load_ms, r->age_ms);
		}
	}
	return t;
}

static bool has(const struct plan_view *v, const char *model, int node,
		bool ready)
{
	for (size_t i = 0; i < v->n_replicas; i++) {
		const struct plan_replica *r = &v->replicas[i];

		if (r->node == node && !strcmp(r->model, model) &&
		    (!ready || r->state == REPLICA_READY))
			return true;
	}
	return false;
}

static bool has_adapters(const struct plan_view *v,
			 const struct plan_replica *base)
{
	for (size_t i = 0; i < v->n_replicas; i++)
		if (v->replicas[i].node == base->node &&
		    !strcmp(v->replicas[i].base, base->model))
			return true;
	return false;
}

static int64_t load_time(const struct plan_view *v, const struct pacer *p,
			 const struct plan_demand *d, enum ss_tier tier)
{
	static const double factor[] = { 1, DISK_FACTOR, MEMORY_FACTOR };

	(void)v;
	if (d->load_ms)
		return (int64_t)((double)d->load_ms * factor[tier]);
	return pacer_load_ms(p, d->bytes, tier);
}

int64_t plan_keep_ms(const struct plan_view *v, const struct pacer *p,
		     const char *model, uint64_t bytes, uint64_t node_bytes)
{
	static const struct ss_arrivals none;
	const struct ss_arrivals *a = v->arrivals(v->arg, model);
	struct ss_keep_costs c = {
		.cold_weight = (double)v->preset->cold_weight / 100,
		.load_ms = pacer_load_ms(p, bytes, TIER_REMOTE),
		.share = (double)bytes / (double)MAX(node_bytes, 1),
		.min_ms = v->preset->keep_min_ms,
		.max_ms = v->preset->keep_max_ms,
	};

	return ss_keep_ms(a ? a : &none, v->prior, &c);
}

static bool wanted(const struct plan_view *v, const char *model)
{
	for (size_t i = 0; i < v->n_demands; i++)
		if (!strcmp(v->demands[i].model, model) ||
		    !strcmp(v->demands[i].base, model))
			return true;
	return false;
}

static bool evictable(const struct plan_view *v, const struct plan_replica *r)
{
	return r->state == REPLICA_READY && r->active == 0 &&
	       r->age_ms >= EVICT_AGE_MIN_MS && !has_adapters(v, r) &&
	       !preset_pins(v->preset, ss_str(r->model)) &&
	       !wanted(v, r->model);
}

/* What is lost by unloading it now: a long idle one is worth little. */
static double worth(const struct plan_replica *r)
{
	return (double)r->bytes / (double)(r->idle_ms + 1000);
}

/* Bytes that are being freed on a node already. */
static uint64_t leaving_bytes(const struct plan_view *v, int node)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < v->n_replicas; i++)
		if (v->replicas[i].node == node &&
		    v->replicas[i].state == REPLICA_UNLOADING)
			sum += v->replicas[i].bytes;
	return sum;
}

/*
 * The cost of making room for bytes on a node: the worth of what goes.
 * Negative where it can't be done. The victims are marked in out.
 */
static double eviction(const struct plan_view *v, int node, uint64_t bytes,
		       bool *out)
{
	uint64_t room = v->nodes[node].bytes -
			MIN(v->nodes[node].used, v->nodes[node].bytes);
	double cost = 0;

	room += leaving_bytes(v, node);
	memset(out, 0, v->n_replicas * sizeof(*out));
	while (room < bytes) {
		const struct plan_replica *least = NULL;

		for (size_t i = 0; i < v->n_replicas; i++) {
			const struct plan_replica *r = &v->replicas[i];

			if (r->node == node && !out[i] && evictable(v, r) &&
			    (!least || worth(r) < worth(least)))
				least = r;
		}
		if (!least)
			return -1;
		out[least - v->replicas] = true;
		room += least->bytes;
		cost += worth(least);
	}
	return cost;
}

struct place {
	int node;
	bool evict;
	bool *victims;
};

/* Spread over failure domains: replicas of the model in the node's one. */
static unsigned int same_domain(const struct plan_view *v, const char *model,
				int node)
{
	unsigned int n = 0;

	for (size_t i = 0; i < v->n_replicas; i++)
		n += !strcmp(v->replicas[i].model, model) &&
		     !strcmp(v->nodes[v->replicas[i].node].domain,
			     v->nodes[node].domain);
	return n;
}

static bool fits_pool(const struct plan_node *n, const struct plan_demand *d)
{
	return !*d->pool || !strcmp(n->pool, d->pool);
}

/*
 * The cheapest node: the time to load there, a preference for another
 * failure domain than the replicas that exist, and what must leave.
 */
static struct place find_place(const struct plan_view *v, const struct pacer *p,
			       const struct plan_demand *d, bool *victims)
{
	struct place best = { .node = -1, .victims = victims };
	bool *trial = g_new0(bool, v->n_replicas + 1);
	double best_cost = 0;

	for (int i = 0; i < (int)v->n_nodes; i++) {
		const struct plan_node *n = &v->nodes[i];
		enum ss_tier tier;
		double evict, cost;

		if (!n->usable || !fits_pool(n, d) ||
		    has(v, d->model, i, false) ||
		    (*d->base && !has(v, d->base, i, true)))
			continue;
		evict = eviction(v, i, d->bytes, trial);
		if (evict < 0)
			continue;
		tier = v->tier(v->arg, d->model, n->name);
		cost = (double)load_time(v, p, d, tier) *
			       (1 + 0.5 * same_domain(v, d->model, i) +
				0.25 * n->loading) +
		       evict / 1e6;
		/* Best fit: leave large holes for large models. */
		cost += 1e-9 * (double)(n->bytes - MIN(n->used, n->bytes));
		if (best.node >= 0 && cost >= best_cost)
			continue;
		best.node = i;
		best_cost = cost;
		best.evict = n->used + d->bytes > n->bytes;
		memcpy(victims, trial, v->n_replicas * sizeof(*trial));
	}
	g_free(trial);
	return best;
}

/* Whether the queue's deadlines call for one more replica. */
static bool needs_more(const struct plan_view *v, const struct plan_demand *d,
		       const struct tally *t)
{
	int64_t need;

	if (t->serving + t->loading == 0)
		return true;
	if (t->all >= (size_t)v->preset->max_replicas || d->ahead)
		return false;
	need = (int64_t)(d->waiting / MAX(t->slots, 1)) * SERVICE_MS_GUESS;
	return d->waiting > t->slots &&
	       need > (int64_t)((double)d->slack_ms * SCALE_SLACK_SHARE);
}

static gint by_urgency(gconstpointer a, gconstpointer b)
{
	const struct plan_demand *x = *(struct plan_demand *const *)a;
	const struct plan_demand *y = *(struct plan_demand *const *)b;

	if (x->ahead != y->ahead)
		return x->ahead ? 1 : -1;
	if (x->priority != y->priority)
		return x->priority > y->priority ? -1 : 1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
	return strcmp(x->model, y->model);
}

static int64_t expected_left(const struct plan_view *v, const struct pacer *p,
			     const struct plan_demand *d, const struct tally *t)
{
	int64_t whole = load_time(v, p, d, TIER_REMOTE);
	int64_t overdue = (int64_t)((double)t->oldest_load_ms * OVERDUE_FACTOR);

	/* A slow store shortens what is promised to new callers. */
	return MAX(whole, overdue) - t->oldest_load_ms;
}

static size_t loading_now(const struct plan_view *v)
{
	size_t n = 0;

	for (size_t i = 0; i < v->n_replicas; i++)
		n += v->replicas[i].state == REPLICA_LOADING &&
		     !v->replicas[i].failed;
	return n;
}

struct pass {
	const struct plan_view *v;
	struct pacer *p;
	const struct plan_ops *ops;
	void *arg;
	size_t loading;
	bool *victims;
	bool *evicted;
};

static void evict(struct pass *s, const struct place *at)
{
	for (size_t i = 0; i < s->v->n_replicas; i++) {
		if (!at->victims[i] || s->evicted[i])
			continue;
		s->evicted[i] = true;
		s->ops->unload(s->arg, &s->v->replicas[i],
			       "room for a model that is waited for");
	}
}

static void place_demand(struct pass *s, struct plan_demand *d,
			 const struct tally *t)
{
	const struct plan_view *v = s->v;
	struct place at = find_place(v, s->p, d, s->victims);
	enum ss_tier tier;

	if (at.node < 0) {
		d->why = "no endpoint has room, or could get it";
		return;
	}
	tier = v->tier(v->arg, d->model, v->nodes[at.node].name);
	d->eta_ms = load_time(v, s->p, d, tier);
	if (at.evict) {
		d->why = "another model is unloaded first";
		if (!d->ahead)
			evict(s, &at);
		return;
	}
	if (s->loading >= (size_t)v->preset->store_parallel ||
	    s->p->tokens < 1) {
		d->why = "waits for the weight store's pace";
		d->eta_ms += d->eta_ms;
		return;
	}
	s->p->tokens -= 1;
	s->loading++;
	v->nodes[at.node].used += d->bytes;
	v->nodes[at.node].loading++;
	d->why = "load decided";
	s->ops->load(s->arg, d, &v->nodes[at.node], t->all);
}

/* An adapter needs its base first: the demand passes to the base. */
static bool base_missing(struct pass *s, struct plan_demand *d)
{
	const struct plan_view *v = s->v;

	if (!*d->base)
		return false;
	for (int i = 0; i < (int)v->n_nodes; i++)
		if (v->nodes[i].usable && has(v, d->base, i, true))
			return false;
	d->why = "its base is loaded first";
	return true;
}

static void plan_demand_of(struct pass *s, struct plan_demand *d)
{
	struct tally t = tally_of(s->v, d->model);

	d->eta_ms = -1;
	d->why = "a replica is ready";
	if (t.serving)
		d->eta_ms = 0;
	else if (t.loading)
		d->eta_ms = expected_left(s->v, s->p, d, &t);
	if (t.loading && !t.serving)
		d->why = "a replica is being loaded";
	if (!needs_more(s->v, d, &t) || base_missing(s, d))
		return;
	place_demand(s, d, &t);
}

static const char *why_unload(const struct plan_view *v, const struct pacer *p,
			      const struct plan_replica *r)
{
	const struct plan_node *n = &v->nodes[r->node];

	if (r->state == REPLICA_LOADING)
		return r->failed ? "its load failed" : NULL;
	if (r->state != REPLICA_READY)
		return NULL;
	if (n->draining && r->active == 0 && !has_adapters(v, r))
		return "its endpoint is leaving";
	if (!n->usable)
		return NULL;
	if (r->active || wanted(v, r->model) || has_adapters(v, r) ||
	    preset_pins(v->preset, ss_str(r->model)))
		return NULL;
	if (r->idle_ms < plan_keep_ms(v, p, r->model, r->bytes, n->bytes))
		return NULL;
	return "idle for longer than keeping it is worth";
}

void plan_run(const struct plan_view *v, struct pacer *p,
	      const struct plan_ops *ops, void *arg)
{
	struct pass s = { .v = v, .p = p, .ops = ops, .arg = arg };
	GPtrArray *order = g_ptr_array_new();

	pacer_refill(p, v->preset, v->now);
	s.loading = loading_now(v);
	s.victims = g_new0(bool, v->n_replicas + 1);
	s.evicted = g_new0(bool, v->n_replicas + 1);
	for (size_t i = 0; i < v->n_demands; i++)
		g_ptr_array_add(order, &v->demands[i]);
	g_ptr_array_sort(order, by_urgency);
	for (guint i = 0; i < order->len; i++)
		plan_demand_of(&s, order->pdata[i]);
	for (size_t i = 0; i < v->n_replicas; i++) {
		const char *why = why_unload(v, p, &v->replicas[i]);

		if (why && !s.evicted[i])
			ops->unload(arg, &v->replicas[i], why);
	}
	g_ptr_array_unref(order);
	g_free(s.victims);
	g_free(s.evicted);
}
