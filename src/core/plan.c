/* The leader's decisions on replicas. */
#include "plan.h"

#include "state.h"

#define MINUTE_MS 60000.0
#define BYTES_PER_MS_FIRST 1.0e6 /* 1 GB/s until a load was seen */
#define PACE_ALPHA 0.3
/* Order, answer and report of a load beside the reading itself, in ms: two
 * ticks of the agent. */
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
/* An idle replica is worth half its load after so long. */
#define WORTH_HALF_MS 600000
/* A load this much slower than expected has no known end. */
#define OVERDUE_FACTOR 1.5

static const double tier_factor[] = { [TIER_REMOTE] = 1,
				      [TIER_DISK] = DISK_FACTOR,
				      [TIER_MEMORY] = MEMORY_FACTOR };

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
	return LOAD_OVERHEAD_MS +
	       (int64_t)((double)bytes / p->bytes_per_ms * tier_factor[tier]);
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

/* One pass: the view with its replicas sorted by node. */
struct pass {
	const struct plan_view *v;
	struct pacer *p;
	const struct plan_ops *ops;
	void *arg;
	size_t loading;
	int *first;    /* of a node's replicas, by node; -1: none */
	int *next;     /* the same node's next one, by replica */
	bool *wanted;  /* by replica: somebody waits for its model */
	bool *evicted; /* by replica: unloaded in this pass */
};

static bool has(const struct pass *s, const char *model, int node, bool ready)
{
	for (int i = s->first[node]; i >= 0; i = s->next[i]) {
		const struct plan_replica *r = &s->v->replicas[i];

		if (!strcmp(r->model, model) &&
		    (!ready || r->state == REPLICA_READY))
			return true;
	}
	return false;
}

static bool has_adapters(const struct pass *s, const struct plan_replica *base)
{
	for (int i = s->first[base->node]; i >= 0; i = s->next[i])
		if (!strcmp(s->v->replicas[i].base, base->model))
			return true;
	return false;
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

static int64_t load_time(const struct pacer *p, const struct plan_demand *d,
			 enum ss_tier tier)
{
	if (d->load_ms)
		return (int64_t)((double)d->load_ms * tier_factor[tier]);
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

static bool is_wanted(const struct plan_view *v, const char *model)
{
	for (size_t i = 0; i < v->n_demands; i++)
		if (!strcmp(v->demands[i].model, model) ||
		    !strcmp(v->demands[i].base, model))
			return true;
	return false;
}

static bool evictable(const struct pass *s, int i)
{
	const struct plan_replica *r = &s->v->replicas[i];

	return r->state == REPLICA_READY && r->active == 0 &&
	       r->age_ms >= EVICT_AGE_MIN_MS && !s->wanted[i] &&
	       !s->evicted[i] && !has_adapters(s, r) &&
	       !preset_pins(s->v->preset, ss_str(r->model));
}

/*
 * What unloading it now costs: its next load, less likely to be needed
 * the longer nobody has used it. In ms, as the time of a load is.
 */
static double worth(const struct pass *s, const struct plan_replica *r)
{
	double load = (double)pacer_load_ms(s->p, r->bytes, TIER_REMOTE);

	return load * WORTH_HALF_MS / (double)(r->idle_ms + WORTH_HALF_MS);
}

/* Bytes that are being freed on a node already. */
static uint64_t leaving_bytes(const struct pass *s, int node)
{
	uint64_t sum = 0;

	for (int i = s->first[node]; i >= 0; i = s->next[i])
		if (s->v->replicas[i].state == REPLICA_UNLOADING ||
		    s->evicted[i])
			sum += s->v->replicas[i].bytes;
	return sum;
}

static bool is_in(const GArray *list, int i)
{
	for (guint k = 0; k < list->len; k++)
		if (g_array_index(list, int, k) == i)
			return true;
	return false;
}

/*
 * The cost of making room for bytes on a node: the worth of what goes.
 * Negative where it can't be done. The victims' indices are put in out.
 */
static double eviction(const struct pass *s, int node, uint64_t bytes,
		       GArray *out)
{
	const struct plan_node *n = &s->v->nodes[node];
	uint64_t room = n->bytes - MIN(n->used, n->bytes);
	double cost = 0;

	g_array_set_size(out, 0);
	if (room >= bytes)
		return 0;
	room += leaving_bytes(s, node);
	while (room < bytes) {
		const struct plan_replica *r = s->v->replicas;
		int least = -1;

		for (int i = s->first[node]; i >= 0; i = s->next[i])
			if (evictable(s, i) && !is_in(out, i) &&
			    (least < 0 ||
			     worth(s, &r[i]) < worth(s, &r[least])))
				least = i;
		if (least < 0)
			return -1;
		g_array_append_val(out, least);
		room += r[least].bytes;
		cost += worth(s, &r[least]);
	}
	return cost;
}

/* Nodes that have the model, whatever its state there. */
static GArray *nodes_with(const struct plan_view *v, const char *model)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(int));

	for (size_t i = 0; i < v->n_replicas; i++)
		if (!strcmp(v->replicas[i].model, model))
			g_array_append_val(out, v->replicas[i].node);
	return out;
}

static unsigned int same_domain(const struct plan_view *v, const GArray *with,
				int node)
{
	unsigned int n = 0;

	for (guint k = 0; k < with->len; k++)
		n += !strcmp(v->nodes[g_array_index(with, int, k)].domain,
			     v->nodes[node].domain);
	return n;
}

static bool may_take(const struct pass *s, const struct plan_demand *d,
		     const GArray *with, int i)
{
	const struct plan_node *n = &s->v->nodes[i];

	return n->usable && (!*d->pool || !strcmp(n->pool, d->pool)) &&
	       !is_in(with, i) && (!*d->base || has(s, d->base, i, true));
}

static double place_cost(const struct pass *s, const struct plan_demand *d,
			 const GArray *with, int i, double evict)
{
	const struct plan_node *n = &s->v->nodes[i];
	enum ss_tier tier = s->v->tier(s->v->arg, d->model, n->name);
	double cost =
		(double)load_time(s->p, d, tier) *
		(1 + 0.5 * same_domain(s->v, with, i) + 0.25 * n->loading);

	/* Best fit: leave large holes for large models. */
	return cost + evict +
	       1e-9 * (double)(n->bytes - MIN(n->used, n->bytes));
}

/*
 * The cheapest node: the time to load there, a preference for another
 * failure domain than the replicas that exist, and what must leave. -1
 * where none can take it; the victims are put in out.
 */
static int find_place(const struct pass *s, const struct plan_demand *d,
		      GArray *out)
{
	GArray *with = nodes_with(s->v, d->model);
	double best_cost = 0;
	int best = -1;

	for (int i = 0; i < (int)s->v->n_nodes; i++) {
		double evict, cost;

		if (!may_take(s, d, with, i))
			continue;
		evict = eviction(s, i, d->bytes, out);
		if (evict < 0)
			continue;
		cost = place_cost(s, d, with, i, evict);
		if (best >= 0 && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	if (best >= 0)
		eviction(s, best, d->bytes, out);
	g_array_unref(with);
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

static int64_t expected_left(const struct pacer *p, const struct plan_demand *d,
			     const struct tally *t)
{
	int64_t whole = load_time(p, d, TIER_REMOTE);
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

static void evict(struct pass *s, const GArray *victims)
{
	for (guint k = 0; k < victims->len; k++) {
		int i = g_array_index(victims, int, k);

		s->evicted[i] = true;
		s->ops->unload(s->arg, &s->v->replicas[i],
			       "room for a model that is waited for");
	}
}

static void load_at(struct pass *s, struct plan_demand *d, int node,
		    const GArray *victims, const struct tally *t)
{
	const struct plan_view *v = s->v;
	struct plan_node *n = &v->nodes[node];
	enum ss_tier tier = v->tier(v->arg, d->model, n->name);

	d->eta_ms = load_time(s->p, d, tier);
	if (n->used + d->bytes > n->bytes) {
		d->why = "another model is unloaded first";
		if (!d->ahead)
			evict(s, victims);
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
	n->used += d->bytes;
	n->loading++;
	d->why = "load decided";
	s->ops->load(s->arg, d, n, t->all);
}

static void place_demand(struct pass *s, struct plan_demand *d,
			 const struct tally *t)
{
	GArray *victims = g_array_new(FALSE, FALSE, sizeof(int));
	int node = find_place(s, d, victims);

	if (node < 0)
		d->why = "no endpoint has room, or could get it";
	else
		load_at(s, d, node, victims, t);
	g_array_unref(victims);
}

/* An adapter needs its base first: the demand passes to the base. */
static bool base_missing(struct pass *s, struct plan_demand *d)
{
	const struct plan_view *v = s->v;

	if (!*d->base)
		return false;
	for (int i = 0; i < (int)v->n_nodes; i++)
		if (v->nodes[i].usable && has(s, d->base, i, true))
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
		d->eta_ms = expected_left(s->p, d, &t);
	if (t.loading && !t.serving)
		d->why = "a replica is being loaded";
	if (!needs_more(s->v, d, &t) || base_missing(s, d))
		return;
	place_demand(s, d, &t);
}

static const char *why_unload(const struct pass *s, int i)
{
	const struct plan_view *v = s->v;
	const struct plan_replica *r = &v->replicas[i];
	const struct plan_node *n = &v->nodes[r->node];

	if (r->state == REPLICA_LOADING)
		return r->failed ? "its load failed" : NULL;
	if (r->state != REPLICA_READY || r->active || has_adapters(s, r))
		return NULL;
	if (n->draining)
		return "its endpoint is leaving";
	if (!n->usable || s->wanted[i] || r->idle_ms < v->preset->keep_min_ms ||
	    preset_pins(v->preset, ss_str(r->model)) ||
	    r->idle_ms < plan_keep_ms(v, s->p, r->model, r->bytes, n->bytes))
		return NULL;
	return "idle for longer than keeping it is worth";
}

static void sort_replicas(struct pass *s)
{
	const struct plan_view *v = s->v;

	s->first = g_new(int, v->n_nodes + 1);
	s->next = g_new(int, v->n_replicas + 1);
	s->wanted = g_new0(bool, v->n_replicas + 1);
	s->evicted = g_new0(bool, v->n_replicas + 1);
	for (size_t i = 0; i < v->n_nodes; i++)
		s->first[i] = -1;
	for (int i = (int)v->n_replicas; i-- > 0;) {
		int node = v->replicas[i].node;

		s->next[i] = s->first[node];
		s->first[node] = i;
		s->wanted[i] = is_wanted(v, v->replicas[i].model);
	}
}

static void pass_free(struct pass *s)
{
	g_free(s->first);
	g_free(s->next);
	g_free(s->wanted);
	g_free(s->evicted);
}

void plan_run(const struct plan_view *v, struct pacer *p,
	      const struct plan_ops *ops, void *arg)
{
	struct pass s = { .v = v, .p = p, .ops = ops, .arg = arg };
	GPtrArray *order = g_ptr_array_new();

	pacer_refill(p, v->preset, v->now);
	s.loading = loading_now(v);
	sort_replicas(&s);
	for (size_t i = 0; i < v->n_demands; i++)
		g_ptr_array_add(order, &v->demands[i]);
	g_ptr_array_sort(order, by_urgency);
	for (guint i = 0; i < order->len; i++)
		plan_demand_of(&s, order->pdata[i]);
	for (int i = 0; i < (int)v->n_replicas; i++) {
		const char *why = why_unload(&s, i);

		if (why && !s.evicted[i])
			ops->unload(arg, &v->replicas[i], why);
	}
	g_ptr_array_unref(order);
	pass_free(&s);
}
