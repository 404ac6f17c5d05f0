/* Planner of model placement: decides which engine loads which model. */
#include "fleet_int.h"

#include <math.h>

/* Calls that a replica runs before the model gets another one. Fewer than the
 * slots: an engine processes prompts one after the other between its decoding
 * steps, so the first event of a call is late long before all slots are in
 * use. */
#define REPLICA_CALLS_MAX 24
/* On an engine with few slots, the limit is this fraction of them, as their
 * number states how many calls the engine runs at full speed. */
#define REPLICA_SLOTS_DIVISOR 2
/* Call rates from which a model keeps at least two or three replicas, so that
 * the loss of engines doesn't leave dozens of callers without it for the
 * seconds that a load from the store takes. Higher thresholds leave more memory
 * for rarely used models. */
#define TWO_REPLICAS_PER_S 2.0
#define THREE_REPLICAS_PER_S 9.0
/* Calls that a replica starts per second before the model gets another one.
 * Processing a prompt takes 20 to 60 ms, during which all other calls of the
 * engine wait: at ten starts a second, streaming clients see unacceptable
 * pauses although few slots are in use. */
#define REPLICA_STARTS_PER_S 4.0
/* A replica may start at least this multiple of the engines' mean start rate:
 * if that is more than the limit above, all engines are busy, and an even
 * distribution is the best that can be reached. */
#define STARTS_OVER_MEAN 1.25
/* Costs of a placement are in ms of waiting. This is the cost of unloading a
 * replica, for each call per second that it serves. */
#define UNLOAD_COST_MS 1000.0
/* Cost of loading on an engine whose slots are all in use, in proportion for
 * others: callers have to wait there. */
#define FULL_ENGINE_COST_MS 200.0
/* Cost of another replica in a failure domain that has one: both fail
 * together. */
#define SAME_DOMAIN_COST_MS 100.0
/* The planner waits for an engine that has a copy but can't load it now,
 * instead of loading from the store, unless the engine is busy for longer than
 * this share of a load from the store, or callers have been late for the
 * duration of such a load. A load from the store occupies an engine about
 * ten times as long as one from disk: loading from it for callers who are about
 * to be late occupies engines that others need. */
#define COPY_WAIT_SHARE 0.4
/* Callers with less slack than this, the duration of a load from disk, are
 * expected to be late in any case, so those with more go first. */
#define LOAD_MIN_MS 500
/* Cost of a load from the store for each model of which the engine has the
 * only copy: the load occupies the engine for seconds, in which these can't be
 * loaded. */
#define SOLE_COPY_COST_MS 60.0
/* Copies that each model gets while no calls run. */
#define PRELOAD_COPIES 2
/* While calls run, preloads use at most this fraction of the parallel loads
 * from the store: each takes many seconds, and a model whose replicas are full
 * must not queue behind them. */
#define PRELOAD_STORE_DIVISOR 2
/* Rate from which a model counts as recently called: one call within the time
 * constant of the rate. */
#define REQUESTED_PER_S 0.05

int64_t fleet_load_ms(const struct routing_model *m, enum ss_tier tier)
{
	switch (tier) {
	case TIER_MEMORY:
		return m->memory_load_ms;
	case TIER_DISK:
		return m->disk_load_ms;
	case TIER_REMOTE:
		break;
	}
	return m->store_load_ms;
}

static void count_node(struct pass *s, const struct fleet_node *n)
{
	bool counted = n->usable || n->suspended;

	for (guint i = 0; counted && i < n->replicas->len; i++) {
		const struct fleet_replica *p = fleet_replica_at(n, i);
		struct tally *t = &s->tally[p->model];

		*(n->usable ? &t->serving : &t->suspended) += !p->unloading;
		s->calls += p->calls;
	}
	for (size_t m = 0; m < s->v->n_models; m++)
		s->tally[m].copies += n->tier[m] != TIER_REMOTE;
	/* A running order of another leader is taken for a load from the
	 * store: one from disk ends quickly. */
	s->store_loads += n->foreign_order;
	if (n->loading < 0)
		return;
	s->tally[n->loading].loading++;
	s->tally[n->loading].copies += n->tier[n->loading] == TIER_REMOTE;
	s->tally[n->loading].ready_ms =
		MIN(s->tally[n->loading].ready_ms, n->loading_left_ms);
	s->store_loads += n->loading_tier == TIER_REMOTE;
}

/* Returns how many calls a replica runs before the model gets another one. */
static uint32_t replica_calls_max(const struct pass *s)
{
	return MIN(REPLICA_CALLS_MAX,
		   (uint32_t)MAX(s->v->slots / REPLICA_SLOTS_DIVISOR, 1));
}

static uint32_t replicas_needed(const struct pass *s,
				const struct fleet_model *m)
{
	uint32_t max = replica_calls_max(s);
	uint32_t n = (m->calls + m->waiting + max - 1) / max;

	n = MAX(n, (uint32_t)ceil(m->rate / s->max_starts));
	if (m->rate >= TWO_REPLICAS_PER_S)
		n = MAX(n, 2);
	if (m->rate >= THREE_REPLICAS_PER_S)
		n = MAX(n, 3);
	return n;
}

static bool is_pinned(const struct pass *s, const struct fleet_node *n,
		      uint32_t model)
{
	for (size_t i = 0; i < s->v->n_pins; i++)
		if (s->v->pins[i].model == model &&
		    fleet_has_version(n, s->v->pins[i].version))
			return true;
	return false;
}

/* Returns the cost of unloading a replica, in ms of waiting; negative if the
 * replica must stay. */
static double unload_cost(const struct pass *s, const struct fleet_node *n,
			  const struct fleet_replica *p)
{
	const struct fleet_model *m = &s->v->models[p->model];

	if (p->unloading || p->calls || m->waiting || is_pinned(s, n, p->model))
		return -1;
	return m->rate * UNLOAD_COST_MS /
	       (double)MAX(s->tally[p->model].serving, 1);
}

struct candidate {
	struct fleet_step step;
	double cost; /* ms of waiting */
};

static bool is_victim(const struct fleet_step *step, uint32_t model)
{
	for (size_t i = 0; i < step->n_victims; i++)
		if (step->victims[i] == model)
			return true;
	return false;
}

/* Selects replicas to unload, cheapest first, until need_mb are free; false if
 * that can't be reached. */
static bool make_room(const struct pass *s, const struct fleet_node *n,
		      double need_mb, struct candidate *c)
{
	double free_mb = n->free_mb;

	while (free_mb < need_mb) {
		int best = -1;
		double best_cost = 0;

		if (c->step.n_victims == FLEET_VICTIMS_MAX)
			return false;
		for (guint i = 0; i < n->replicas->len; i++) {
			const struct fleet_replica *p = fleet_replica_at(n, i);
			double cost = unload_cost(s, n, p);

			if (cost < 0 || is_victim(&c->step, p->model) ||
			    (best >= 0 && cost >= best_cost))
				continue;
			best = (int)i;
			best_cost = cost;
		}
		if (best < 0)
			return false;
		c->step.victims[c->step.n_victims++] =
			fleet_replica_at(n, (guint)best)->model;
		free_mb += s->v->models[fleet_replica_at(n, (guint)best)->model]
				   .spec->weights_mb;
		c->cost += best_cost;
	}
	return true;
}

static bool holds_model(const struct fleet_node *n, uint32_t model)
{
	for (guint i = 0; i < n->replicas->len; i++)
		if (fleet_replica_at(n, i)->model == model)
			return true;
	return false;
}

/* A model that is to be placed. */
struct placement {
	uint32_t model;
	const char *version; /* required engine version; NULL: any */
	/* Failure domains of the engines that hold the model: borrowed
	 * strings, may contain duplicates. */
	GPtrArray *domains;
};

static struct placement placement_for(const struct pass *s, uint32_t model,
				      const char *version)
{
	struct placement pl = { model, version, g_ptr_array_new() };

	for (size_t i = 0; i < s->v->n_nodes; i++)
		if (holds_model(&s->v->nodes[i], model))
			g_ptr_array_add(pl.domains,
					(char *)s->v->nodes[i].domain);
	return pl;
}

static bool has_domain(const struct placement *pl, const char *domain)
{
	return g_ptr_array_find_with_equal_func(pl->domains, domain,
						g_str_equal, NULL);
}

static void count_sole_copies(struct pass *s)
{
	for (size_t i = 0; i < s->v->n_nodes; i++)
		for (size_t m = 0; m < s->v->n_models; m++)
			s->sole_copies[i] += s->v->nodes[i].tier[m] !=
						     TIER_REMOTE &&
					     s->tally[m].copies == 1;
}

/* Counts another copy of a model; an engine that had the only one has it no
 * longer. */
static void add_copy(struct pass *s, uint32_t model)
{
	if (s->tally[model].copies++ != 1)
		return;
	for (size_t i = 0; i < s->v->n_nodes; i++)
		s->sole_copies[i] -= s->v->nodes[i].tier[model] != TIER_REMOTE;
}

/* Computes the step that loads a model on a node and its cost; false if the
 * node can't load it. */
static bool evaluate_node(const struct pass *s, const struct placement *pl,
			  size_t node, struct candidate *c)
{
	uint32_t model = pl->model;
	const struct fleet_node *n = &s->v->nodes[node];
	const struct routing_model *spec = s->v->models[model].spec;
	enum ss_tier tier = (enum ss_tier)n->tier[model];
	int64_t load = fleet_load_ms(spec, tier);

	memset(c, 0, sizeof(*c));
	if (!n->accepts_step || !n->usable || n->loading >= 0 ||
	    holds_model(n, model) ||
	    (pl->version && !fleet_has_version(n, pl->version)) ||
	    !make_room(s, n, spec->weights_mb, c))
		return false;
	c->step.node = (uint32_t)node;
	c->step.load = (int)model;
	c->step.tier = tier;
	c->step.expected_ms = load;
	c->cost += (double)load + FULL_ENGINE_COST_MS * (double)n->running /
					  (double)MAX(n->slots, 1);
	if (s->tally[model].serving && has_domain(pl, n->domain))
		c->cost += SAME_DOMAIN_COST_MS;
	if (tier == TIER_REMOTE)
		c->cost += SOLE_COPY_COST_MS * s->sole_copies[node];
	return true;
}

static bool store_allows(const struct pass *s)
{
	return s->store_loads < s->v->store_parallel && s->v->store_tokens >= 1;
}

/* Returns whether the store has capacity for a preload. */
static bool store_allows_preload(const struct pass *s)
{
	size_t max = s->v->store_parallel;

	if (s->calls)
		max = MAX(max / PRELOAD_STORE_DIVISOR, 1);
	return s->store_loads < max && store_allows(s);
}

/* Issues a step and updates the view and the counts for the rest of the
 * pass. */
static void commit_step(struct pass *s, struct candidate *c, const char *why)
{
	struct fleet_node *n = &s->v->nodes[c->step.node];
	struct tally *t = &s->tally[c->step.load];

	c->step.why = why;
	n->accepts_step = false;
	n->loading = c->step.load;
	t->loading++;
	if (c->step.tier == TIER_REMOTE)
		add_copy(s, (uint32_t)c->step.load);
	t->ready_ms = MIN(t->ready_ms, c->step.expected_ms);
	for (guint i = 0; i < n->replicas->len; i++) {
		struct fleet_replica *p = fleet_replica_at(n, i);

		if (!is_victim(&c->step, p->model))
			continue;
		p->unloading = true;
		s->tally[p->model].serving--;
	}
	if (c->step.tier == TIER_REMOTE) {
		s->store_loads++;
		s->v->store_tokens -= 1;
	}
	s->ops->step(s->arg, &c->step);
}

/*
 * Returns whether an engine that has a copy will soon be able to load the
 * model: it carries out a short step, or waits for calls to end. A load from
 * the store would take longer and use store capacity.
 */
static bool copy_available_soon(const struct pass *s,
				const struct replica_need *need)
{
	const struct routing_model *spec = s->v->models[need->model].spec;
	double max_wait_ms = COPY_WAIT_SHARE * (double)spec->store_load_ms;
	uint32_t model = need->model;

	if (need->waiting && need->slack_ms < -spec->store_load_ms)
		return false;
	for (size_t i = 0; i < s->v->n_nodes; i++) {
		const struct fleet_node *n = &s->v->nodes[i];

		if (need->version && !fleet_has_version(n, need->version))
			continue;
		if (n->usable && n->tier[model] != TIER_REMOTE &&
		    !holds_model(n, model) &&
		    (n->loading < 0 ||
		     (double)n->loading_left_ms < max_wait_ms))
			return true;
	}
	return false;
}

/* Counts an engine by what prevents the model from being loaded there. */
static void count_blocked(struct fleet_blocked *b, const struct fleet_node *n,
			  uint32_t model, bool can)
{
	if (!n->usable)
		return;
	if (n->tier[model] == TIER_REMOTE) {
		b->store_candidates += can;
		return;
	}
	b->copies++;
	if (!n->accepts_step || n->loading >= 0)
		b->copies_busy++;
	else if (!can)
		b->copies_full++;
}

/* Loads a model on the engine with the lowest cost; false if no engine can
 * load it, with the causes in b. */
static bool place_replica(struct pass *s, const struct replica_need *need,
			  const char *why, struct fleet_blocked *b)
{
	uint32_t model = need->model;
	struct placement pl = placement_for(s, model, need->version);
	struct candidate best = { 0 }, c;
	bool found = false;

	*b = (struct fleet_blocked){ .waiting = need->waiting,
				     .slack_ms = need->slack_ms,
				     .version = need->version,
				     .store_closed = !store_allows(s) };
	for (size_t i = 0; i < s->v->n_nodes; i++) {
		bool can = evaluate_node(s, &pl, i, &c);

		if (!need->version ||
		    fleet_has_version(&s->v->nodes[i], need->version))
			count_blocked(b, &s->v->nodes[i], model, can);
		if (!can || (c.step.tier == TIER_REMOTE && b->store_closed) ||
		    (found && c.cost >= best.cost))
			continue;
		best = c;
		found = true;
	}
	g_ptr_array_unref(pl.domains);
	if (found && best.step.tier == TIER_REMOTE &&
	    copy_available_soon(s, need))
		return false;
	if (found)
		commit_step(s, &best, why);
	return found;
}

/* Loads a model on the engine with the lowest cost among those without a
 * copy. */
static void place_copy(struct pass *s, uint32_t model, const char *why)
{
	struct placement pl = placement_for(s, model, NULL);
	struct candidate best = { 0 }, c;
	bool found = false;

	for (size_t i = 0; i < s->v->n_nodes; i++) {
		if (s->v->nodes[i].tier[model] != TIER_REMOTE ||
		    !evaluate_node(s, &pl, i, &c) ||
		    (found && c.cost >= best.cost))
			continue;
		best = c;
		found = true;
	}
	g_ptr_array_unref(pl.domains);
	if (found)
		commit_step(s, &best, why);
}

static bool can_meet_deadline(const struct replica_need *n)
{
	return n->slack_ms >= LOAD_MIN_MS;
}

/*
 * Sorts by the number of waiting callers, descending. Most models have one
 * each. Of these, callers who can still be served in time go first, the least
 * slack first, followed by those who are late, in order of arrival.
 */
static gint compare_needs(gconstpointer a, gconstpointer b)
{
	const struct replica_need *x = a, *y = b;

	if (x->waiting != y->waiting)
		return x->waiting > y->waiting ? -1 : 1;
	if (can_meet_deadline(x) != can_meet_deadline(y))
		return can_meet_deadline(x) ? -1 : 1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
	if (x->model != y->model)
		return x->model < y->model ? -1 : 1;
	return g_strcmp0(x->version, y->version);
}

/*
 * Returns why a model needs another replica; NULL if it doesn't. A replica on a
 * suspended engine can't serve callers who wait now, but isn't lost: while no
 * caller waits, it is counted and not replaced.
 */
static const char *replica_reason(const struct pass *s, uint32_t model)
{
	const struct fleet_model *x = &s->v->models[model];
	const struct tally *t = &s->tally[model];
	uint32_t replicas = t->serving + t->loading;

	if (replicas == 0 && x->waiting)
		return "callers wait and no engine has it";
	if (replicas == 0 && t->copies == 0 && x->rate >= REQUESTED_PER_S)
		return "callers will retry and no engine has a copy";
	if (replicas == 0)
		return NULL;
	if (!x->waiting)
		replicas += t->suspended;
	if (replicas < replicas_needed(s, x))
		return "its replicas are full";
	return NULL;
}

/* Does the same as replica_reason() for callers who need one engine version. */
static const char *pin_replica_reason(const struct pass *s,
				      const struct fleet_pin *pin)
{
	struct pin_tally t = fleet_count_pinned(s, pin);
	uint32_t replicas = t.serving + t.loading;

	if (!pin->waiting)
		return NULL;
	if (replicas == 0)
		return "callers wait for its version and no engine has it";
	if (t.calls + pin->waiting > replicas * replica_calls_max(s))
		return "its replicas of that version are full";
	return NULL;
}

static const char *need_reason(const struct pass *s,
			       const struct replica_need *n)
{
	return n->version ? pin_replica_reason(s, &s->v->pins[n->pin]) :
			    replica_reason(s, n->model);
}

static void add_pin_needs(const struct pass *s, GArray *needs)
{
	for (size_t i = 0; i < s->v->n_pins; i++) {
		const struct fleet_pin *p = &s->v->pins[i];
		struct replica_need n = { .model = p->model,
					  .waiting = p->waiting,
					  .slack_ms = p->slack_ms,
					  .version = p->version,
					  .pin = i };

		if (pin_replica_reason(s, p))
			g_array_append_val(needs, n);
	}
}

/*
 * Places models that no engine holds, models whose replicas are full, and
 * models that the loss of one engine would make unavailable, those with the
 * most waiting callers first. Each engine carries out one step at a time, so a
 * model with dozens of callers waiting for one full replica must not queue
 * behind all models with a single caller.
 */
static void place_needed_replicas(struct pass *s)
{
	GArray *needs = g_array_new(FALSE, FALSE, sizeof(struct replica_need));

	for (size_t m = 0; m < s->v->n_models; m++) {
		const struct fleet_model *x = &s->v->models[m];
		struct replica_need n = { .model = (uint32_t)m,
					  .waiting = x->waiting,
					  .slack_ms = x->slack_ms };

		if (replica_reason(s, n.model))
			g_array_append_val(needs, n);
	}
	add_pin_needs(s, needs);
	g_array_sort(needs, compare_needs);
	for (guint i = 0; i < needs->len; i++) {
		const struct replica_need *n =
			&g_array_index(needs, struct replica_need, i);
		/* Checked again: an earlier step of this pass may have
		 * unloaded its only replica. */
		const char *why = need_reason(s, n);
		struct fleet_blocked b;

		if (why && !place_replica(s, n, why, &b) && n->waiting &&
		    s->ops->blocked)
			s->ops->blocked(s->arg, n->model, &b);
	}
	s->needs = needs;
}

static void place_copies(struct pass *s, uint32_t copies, const char *why)
{
	for (size_t m = 0; m < s->v->n_models && store_allows_preload(s); m++)
		if (s->tally[m].copies < copies)
			place_copy(s, (uint32_t)m, why);
}

/*
 * Preloads models that have no copy on any engine. The store serves few loads
 * at a time and each takes long, so its idle time is used: afterwards a call
 * for such a model costs a load from disk. Before the first calls arrive, each
 * model gets a second copy as well, because the copies of an engine can't be
 * loaded while it is busy.
 */
static void preload_models(struct pass *s)
{
	place_copies(s, 1, "no engine has a copy");
	if (s->calls == 0)
		place_copies(s, PRELOAD_COPIES, "one engine has the only copy");
}

/* Returns how many calls per second a replica may start before the model gets
 * another one. */
static double max_starts_per_replica(const struct fleet_view *v)
{
	double total = 0;

	for (size_t m = 0; m < v->n_models; m++)
		total += v->models[m].rate;
	return MAX(REPLICA_STARTS_PER_S,
		   STARTS_OVER_MEAN * total / (double)MAX(v->n_nodes, 1));
}

void fleet_plan(struct fleet_view *v, const struct fleet_plan_ops *ops,
		void *arg)
{
	struct pass s = { .v = v, .ops = ops, .arg = arg };

	s.tally = g_new0(struct tally, v->n_models + 1);
	s.sole_copies = g_new0(uint32_t, v->n_nodes + 1);
	s.max_starts = max_starts_per_replica(v);
	for (size_t m = 0; m < v->n_models; m++)
		s.tally[m].ready_ms = INT64_MAX;
	for (size_t i = 0; i < v->n_nodes; i++)
		count_node(&s, &v->nodes[i]);
	count_sole_copies(&s);
	place_needed_replicas(&s);
	if (v->preload)
		preload_models(&s);
	fleet_set_etas(&s);
	g_array_unref(s.needs);
	g_free(s.tally);
	g_free(s.sole_copies);
}
