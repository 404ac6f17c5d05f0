/* The leader's planning of replicas: placement, eviction, load order. */
#include "plan.h"

#include "state.h"

#define MINUTE_MS 60000.0
#define BYTES_PER_MS_INITIAL 1.0e6 /* 1 GB/s, until the first load */
#define SPEED_ALPHA 0.3		   /* weight of the newest load's speed */
/* Order, answer and report of a load, besides its reading: two agent ticks. */
#define LOAD_OVERHEAD_MS 50
/* Duration of loads from disk and memory, relative to the store. */
#define DISK_FACTOR 0.4
#define MEMORY_FACTOR 0.1
/*
 * Another replica is loaded when the queue needs more than this share of the
 * time until its earliest deadline.
 */
#define SCALE_SLACK_SHARE 0.5
/* Expected duration of a call. */
#define SERVICE_MS 1000
/* An idle replica younger than this isn't evicted for another model. */
#define EVICT_AGE_MIN_MS 2000
/* Idle time after which evicting a replica costs half of its load time. */
#define EVICT_COST_HALF_MS 600000
/* A load is expected to take at least its age times this factor in all. */
#define OVERDUE_FACTOR 1.5
/* Placement cost of each replica in the same failure domain, in load times. */
#define SAME_DOMAIN_COST 0.5
/* Placement cost of each load in progress on the node, in load times. */
#define BUSY_NODE_COST 0.25
/* Best fit: cost of free memory, to leave large holes for large models. */
#define FREE_MS_PER_BYTE 1e-9

static const double tier_factor[] = { [TIER_REMOTE] = 1,
				      [TIER_DISK] = DISK_FACTOR,
				      [TIER_MEMORY] = MEMORY_FACTOR };

void pacer_init(struct pacer *p, int64_t now)
{
	p->tokens = 1;
	p->at_ms = now;
	p->bytes_per_ms = BYTES_PER_MS_INITIAL;
}

void pacer_loaded(struct pacer *p, uint64_t bytes, int64_t took_ms)
{
	double rate = (double)bytes / (double)MAX(took_ms, 1);

	p->bytes_per_ms += SPEED_ALPHA * (rate - p->bytes_per_ms);
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
	/* The bucket holds the tokens of one second, and at least one. */
	p->tokens = MIN(p->tokens, MAX(per_ms * 1000, 1));
	p->at_ms = now;
}

/* State of one plan_run(): the view, with its replicas indexed by node. */
struct pass {
	const struct plan_view *v;
	struct pacer *p;
	const struct plan_ops *ops;
	void *arg;
	size_t loading; /* loads in progress */
	int *first;	/* by node: its first replica, or -1 */
	int *next;	/* by replica: the next one of its node, or -1 */
	bool *wanted;	/* by replica: there is demand for its model */
	bool *evicted;	/* by replica: unloaded in this pass */
};

/* Returns whether a node has a replica of the model. ready: only ready replicas
 * count. */
static bool node_has(const struct pass *s, const char *model, int node,
		     bool ready)
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

/* Counts of a model's replicas in the view. */
struct tally {
	size_t all;		/* in any state and on any node */
	size_t serving;		/* ready on a usable node */
	size_t loading;		/* on a usable node, and not failed */
	uint64_t slots;		/* of both */
	int64_t oldest_load_ms; /* age of the oldest load */
};

static struct tally count_replicas(const struct plan_view *v, const char *model)
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

static int64_t load_ms_of(const struct pacer *p, const struct plan_demand *d,
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

static bool has_demand(const struct plan_view *v, const char *model)
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
 * Returns the cost of unloading a replica now, in ms: the time of its next
 * load, weighed lower the longer the replica has been idle, as it is less
 * likely to be needed.
 */
static double evict_cost(const struct pass *s, const struct plan_replica *r)
{
	double load = (double)pacer_load_ms(s->p, r->bytes, TIER_REMOTE);

	return load * EVICT_COST_HALF_MS /
	       (double)(r->idle_ms + EVICT_COST_HALF_MS);
}

/* Returns the bytes on a node that unloads in progress will free. */
static uint64_t bytes_being_freed(const struct pass *s, int node)
{
	uint64_t sum = 0;

	for (int i = s->first[node]; i >= 0; i = s->next[i])
		if (s->v->replicas[i].state == REPLICA_UNLOADING ||
		    s->evicted[i])
			sum += s->v->replicas[i].bytes;
	return sum;
}

static bool contains(const GArray *list, int i)
{
	for (guint k = 0; k < list->len; k++)
		if (g_array_index(list, int, k) == i)
			return true;
	return false;
}

/*
 * Returns the cost of freeing enough memory on a node for bytes: the sum of
 * its victims' costs, or -1 if it can't be freed. Stores the victims' indices
 * in out.
 */
static double choose_victims(const struct pass *s, int node, uint64_t bytes,
			     GArray *out)
{
	const struct plan_node *n = &s->v->nodes[node];
	uint64_t room = n->bytes - MIN(n->used, n->bytes);
	double cost = 0;

	g_array_set_size(out, 0);
	if (room >= bytes)
		return 0;
	room += bytes_being_freed(s, node);
	while (room < bytes) {
		const struct plan_replica *r = s->v->replicas;
		int least = -1;

		for (int i = s->first[node]; i >= 0; i = s->next[i])
			if (evictable(s, i) && !contains(out, i) &&
			    (least < 0 ||
			     evict_cost(s, &r[i]) < evict_cost(s, &r[least])))
				least = i;
		if (least < 0)
			return -1;
		g_array_append_val(out, least);
		room += r[least].bytes;
		cost += evict_cost(s, &r[least]);
	}
	return cost;
}

/* Returns the nodes with a replica of the model, in any state. */
static GArray *nodes_with(const struct plan_view *v, const char *model)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(int));

	for (size_t i = 0; i < v->n_replicas; i++)
		if (!strcmp(v->replicas[i].model, model))
			g_array_append_val(out, v->replicas[i].node);
	return out;
}

static unsigned int count_same_domain(const struct plan_view *v,
				      const GArray *with, int node)
{
	unsigned int n = 0;

	for (guint k = 0; k < with->len; k++)
		n += !strcmp(v->nodes[g_array_index(with, int, k)].domain,
			     v->nodes[node].domain);
	return n;
}

static bool can_host(const struct pass *s, const struct plan_demand *d,
		     const GArray *with, int i)
{
	const struct plan_node *n = &s->v->nodes[i];

	return n->usable && (!*d->pool || !strcmp(n->pool, d->pool)) &&
	       !contains(with, i) &&
	       (!*d->base || node_has(s, d->base, i, true));
}

/* Returns the cost of a new replica on a node, in ms. evictions: the part of it
 * that the replica's victims cause. */
static double placement_cost(const struct pass *s, const struct plan_demand *d,
			     const GArray *with, int i, double evictions)
{
	const struct plan_node *n = &s->v->nodes[i];
	enum ss_tier tier = s->v->tier(s->v->arg, d->model, n->name);
	double cost = (double)load_ms_of(s->p, d, tier) *
		      (1 + SAME_DOMAIN_COST * count_same_domain(s->v, with, i) +
		       BUSY_NODE_COST * n->loading);

	return cost + evictions +
	       FREE_MS_PER_BYTE * (double)(n->bytes - MIN(n->used, n->bytes));
}

/*
 * Returns the cheapest node for a new replica, or -1 if none can take it. The
 * cost counts the load time, other replicas in the same failure domain, loads
 * in progress and evictions. Stores the indices of replicas to evict in out.
 */
static int find_node(const struct pass *s, const struct plan_demand *d,
		     GArray *out)
{
	GArray *with = nodes_with(s->v, d->model);
	double best_cost = 0;
	int best = -1;

	for (int i = 0; i < (int)s->v->n_nodes; i++) {
		double evictions, cost;

		if (!can_host(s, d, with, i))
			continue;
		evictions = choose_victims(s, i, d->bytes, out);
		if (evictions < 0)
			continue;
		cost = placement_cost(s, d, with, i, evictions);
		if (best >= 0 && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	if (best >= 0)
		choose_victims(s, best, d->bytes, out);
	g_array_unref(with);
	return best;
}

/* Returns whether another replica is needed to meet the queue's deadlines. */
static bool needs_more(const struct plan_view *v, const struct plan_demand *d,
		       const struct tally *t)
{
	int64_t need_ms;

	if (t->serving + t->loading == 0)
		return true;
	if (t->all >= (size_t)v->preset->max_replicas || d->preload)
		return false;
	need_ms = (int64_t)(d->waiting / MAX(t->slots, 1)) * SERVICE_MS;
	return d->waiting > t->slots &&
	       need_ms > (int64_t)((double)d->slack_ms * SCALE_SLACK_SHARE);
}

static gint by_urgency(gconstpointer a, gconstpointer b)
{
	const struct plan_demand *x = *(struct plan_demand *const *)a;
	const struct plan_demand *y = *(struct plan_demand *const *)b;

	if (x->preload != y->preload)
		return x->preload ? 1 : -1;
	if (x->priority != y->priority)
		return x->priority > y->priority ? -1 : 1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
	return strcmp(x->model, y->model);
}

static int64_t load_left_ms(const struct pacer *p, const struct plan_demand *d,
			    const struct tally *t)
{
	int64_t expected = load_ms_of(p, d, TIER_REMOTE);
	int64_t overdue = (int64_t)((double)t->oldest_load_ms * OVERDUE_FACTOR);

	/*
	 * A load slower than expected, as from a slow store, has no known
	 * end: the estimate grows with its age.
	 */
	return MAX(expected, overdue) - t->oldest_load_ms;
}

static size_t count_loading(const struct plan_view *v)
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

static void load_on(struct pass *s, struct plan_demand *d, int node,
		    const GArray *victims, const struct tally *t)
{
	const struct plan_view *v = s->v;
	struct plan_node *n = &v->nodes[node];
	enum ss_tier tier = v->tier(v->arg, d->model, n->name);

	d->eta_ms = load_ms_of(s->p, d, tier);
	if (n->used + d->bytes > n->bytes) {
		d->why = "another model is unloaded first";
		if (!d->preload)
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
	int node = find_node(s, d, victims);

	if (node < 0)
		d->why = "no endpoint has room, or could get it";
	else
		load_on(s, d, node, victims, t);
	g_array_unref(victims);
}

/*
 * Returns whether the demand is for an adapter whose base model is ready on no
 * usable node. The base model has a demand of its own and is loaded first.
 */
static bool base_missing(struct pass *s, struct plan_demand *d)
{
	const struct plan_view *v = s->v;

	if (!*d->base)
		return false;
	for (int i = 0; i < (int)v->n_nodes; i++)
		if (v->nodes[i].usable && node_has(s, d->base, i, true))
			return false;
	d->why = "its base is loaded first";
	return true;
}

static void plan_one_demand(struct pass *s, struct plan_demand *d)
{
	struct tally t = count_replicas(s->v, d->model);

	d->eta_ms = -1;
	d->why = "a replica is ready";
	if (t.serving)
		d->eta_ms = 0;
	else if (t.loading)
		d->eta_ms = load_left_ms(s->p, d, &t);
	if (t.loading && !t.serving)
		d->why = "a replica is being loaded";
	if (!needs_more(s->v, d, &t) || base_missing(s, d))
		return;
	place_demand(s, d, &t);
}

static const char *unload_reason(const struct pass *s, int i)
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

static void index_replicas(struct pass *s)
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
		s->wanted[i] = has_demand(v, v->replicas[i].model);
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
	s.loading = count_loading(v);
	index_replicas(&s);
	for (size_t i = 0; i < v->n_demands; i++)
		g_ptr_array_add(order, &v->demands[i]);
	g_ptr_array_sort(order, by_urgency);
	for (guint i = 0; i < order->len; i++)
		plan_one_demand(&s, order->pdata[i]);
	for (int i = 0; i < (int)v->n_replicas; i++) {
		const char *why = unload_reason(&s, i);

		if (why && !s.evicted[i])
			ops->unload(arg, &v->replicas[i], why);
	}
	g_ptr_array_unref(order);
	pass_free(&s);
}
