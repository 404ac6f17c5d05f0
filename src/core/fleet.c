/* Which engine of a fleet holds which model. */
#include "fleet_int.h"

#include <math.h>

/* A replica carries so many calls before another is wanted. Not all of the
 * slots: an engine reads prompts one after the other between its steps, so the
 * first event of a call is late long before the slots are taken. */
#define FILL_CALLS 24
/* And where slots are few, half of them: their number tells how many calls an
 * engine runs at its pace. */
#define FILL_PART 2
/* Calls a second from which a model is kept twice, and three times, so that
 * the loss of engines doesn't leave dozens of callers without it for the
 * seconds that a load from the store takes. Each place less is one more for
 * rare models. */
#define TWICE_PER_S 2.0
#define THRICE_PER_S 9.0
/* A replica begins so many calls a second before another is wanted. Each prompt
 * is read in some 20 to 60 ms, in which all other calls of the engine wait: ten
 * a second leave pauses that callers who read along don't bear, while few of
 * the slots are taken. */
#define STARTS_PER_S 4.0
/* Where the engines on the whole begin more than that, this multiple of what is
 * an engine's part: all of them are busy, and evenly is the best there is. */
#define STARTS_OVER_PART 1.25
/* What unloading a replica costs for each call a second that it gets, in ms of
 * waiting. */
#define CALLS_LOST_MS 1000.0
/* An engine that is full makes a load's callers wait; in ms. */
#define FULL_MS 200.0
/* A second replica in the same failure domain falls with the first. */
#define SAME_DOMAIN_MS 100.0
/* A copy on an engine that can't take it now is waited for, rather than
 * asking the store, unless the engine is taken up for longer than this share
 * of a load from the store, or callers have been late for as long as the store
 * takes. A load from the store costs its engine some ten from disk: asking it
 * for callers who are about to be late takes up engines that others need. */
#define SOON_SHARE 0.4
/* No step makes a model ready sooner, in ms: a load from disk. Callers with
 * less slack are late whatever is done, so those with more go first. */
#define SOONEST_MS 500
/* A load from the store takes its engine up for seconds, and with it all the
 * copies that only it has; each of them weighs so much, in ms. */
#define ONLY_COPY_MS 60.0
/* Copies of a model that are made while nobody calls. */
#define COPIES_AHEAD 2
/* While calls run, loads ahead of demand take up one in so many of the
 * store's loads: each takes many seconds, and a model whose replicas are full
 * must not stand behind them. */
#define AHEAD_PART 2
/* A model that is called at this rate was asked for in the last seconds: one
 * call within the memory of a rate. */
#define ASKED_PER_S 0.05

int64_t fleet_load_ms(const struct routing_model *m, enum ss_tier tier)
{
	switch (tier) {
	case TIER_MEMORY:
		return m->memory_ms;
	case TIER_DISK:
		return m->disk_ms;
	case TIER_REMOTE:
		break;
	}
	return m->store_ms;
}

static void count_node(struct pass *s, const struct fleet_node *n)
{
	bool there = n->usable || n->suspended;

	for (guint i = 0; there && i < n->places->len; i++) {
		const struct fleet_place *p = fleet_place_at(n, i);
		struct tally *t = &s->tally[p->model];

		*(n->usable ? &t->open : &t->paused) += !p->closing;
		s->calls += p->calls;
	}
	for (size_t m = 0; m < s->v->n_models; m++)
		s->tally[m].copies += n->tier[m] != TIER_REMOTE;
	/* A load from disk is over at once; what lasts comes from the store. */
	s->from_store += n->engaged;
	if (n->loading < 0)
		return;
	s->tally[n->loading].loading++;
	s->tally[n->loading].copies += n->tier[n->loading] == TIER_REMOTE;
	s->tally[n->loading].left_ms =
		MIN(s->tally[n->loading].left_ms, n->loading_left_ms);
	s->from_store += n->loading_tier == TIER_REMOTE;
}

/* Calls on one replica before another is wanted. */
static uint32_t calls_most(const struct pass *s)
{
	return MIN(FILL_CALLS, (uint32_t)MAX(s->v->slots / FILL_PART, 1));
}

/* Replicas that a model needs. */
static uint32_t replicas_for(const struct pass *s, const struct fleet_model *m)
{
	uint32_t most = calls_most(s);
	uint32_t n = (m->calls + m->waiting + most - 1) / most;

	n = MAX(n, (uint32_t)ceil(m->rate / s->starts));
	if (m->rate >= TWICE_PER_S)
		n = MAX(n, 2);
	if (m->rate >= THRICE_PER_S)
		n = MAX(n, 3);
	return n;
}

static bool is_pinned(const struct pass *s, const struct fleet_node *n,
		      uint32_t model)
{
	for (size_t i = 0; i < s->v->n_pins; i++)
		if (s->v->pins[i].model == model &&
		    fleet_is_of(n, s->v->pins[i].version))
			return true;
	return false;
}

/* What an unload costs later, in ms of waiting; negative: it must stay. */
static double unload_cost(const struct pass *s, const struct fleet_node *n,
			  const struct fleet_place *p)
{
	const struct fleet_model *m = &s->v->models[p->model];

	if (p->closing || p->calls || m->waiting || is_pinned(s, n, p->model))
		return -1;
	return m->rate * CALLS_LOST_MS /
	       (double)MAX(s->tally[p->model].open, 1);
}

struct choice {
	struct fleet_step step;
	double cost;
};

static bool is_victim(const struct fleet_step *step, uint32_t model)
{
	for (size_t i = 0; i < step->n_victims; i++)
		if (step->victims[i] == model)
			return true;
	return false;
}

/* Make room for a model on a node; false where it can't be done. */
static bool make_room(const struct pass *s, const struct fleet_node *n,
		      double need_mb, struct choice *c)
{
	double room = n->free_mb;

	while (room < need_mb) {
		int best = -1;
		double best_cost = 0;

		if (c->step.n_victims == FLEET_VICTIMS_MAX)
			return false;
		for (guint i = 0; i < n->places->len; i++) {
			const struct fleet_place *p = fleet_place_at(n, i);
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
			fleet_place_at(n, (guint)best)->model;
		room += s->v->models[fleet_place_at(n, (guint)best)->model]
				.spec->weights_mb;
		c->cost += best_cost;
	}
	return true;
}

static bool holds(const struct fleet_node *n, uint32_t model)
{
	for (guint i = 0; i < n->places->len; i++)
		if (fleet_place_at(n, i)->model == model)
			return true;
	return false;
}

/* A model to be placed, and the failure domains of the engines that hold it. */
struct wanted {
	uint32_t model;
	const char *version; /* of the engines that will do; NULL: all */
	GPtrArray *domains;  /* views; may name one twice */
};

static struct wanted want(const struct pass *s, uint32_t model,
			  const char *version)
{
	struct wanted w = { model, version, g_ptr_array_new() };

	for (size_t i = 0; i < s->v->n_nodes; i++)
		if (holds(&s->v->nodes[i], model))
			g_ptr_array_add(w.domains,
					(char *)s->v->nodes[i].domain);
	return w;
}

static bool domain_has(const struct wanted *w, const char *domain)
{
	return g_ptr_array_find_with_equal_func(w->domains, domain, g_str_equal,
						NULL);
}

static void count_only_copies(struct pass *s)
{
	for (size_t i = 0; i < s->v->n_nodes; i++)
		for (size_t m = 0; m < s->v->n_models; m++)
			s->only[i] += s->v->nodes[i].tier[m] != TIER_REMOTE &&
				      s->tally[m].copies == 1;
}

/* A copy more: where there was one, it is no longer the only one. */
static void add_copy(struct pass *s, uint32_t model)
{
	if (s->tally[model].copies++ != 1)
		return;
	for (size_t i = 0; i < s->v->n_nodes; i++)
		s->only[i] -= s->v->nodes[i].tier[model] != TIER_REMOTE;
}

static bool weigh(const struct pass *s, const struct wanted *w, size_t node,
		  struct choice *c)
{
	uint32_t model = w->model;
	const struct fleet_node *n = &s->v->nodes[node];
	const struct routing_model *spec = s->v->models[model].spec;
	enum ss_tier tier = (enum ss_tier)n->tier[model];
	int64_t load = fleet_load_ms(spec, tier);

	memset(c, 0, sizeof(*c));
	if (!n->free || !n->usable || n->loading >= 0 || holds(n, model) ||
	    (w->version && !fleet_is_of(n, w->version)) ||
	    !make_room(s, n, spec->weights_mb, c))
		return false;
	c->step.node = (uint32_t)node;
	c->step.load = (int)model;
	c->step.tier = tier;
	c->step.expected_ms = load;
	c->cost += (double)load +
		   FULL_MS * (double)n->running / (double)MAX(n->slots, 1);
	if (s->tally[model].open && domain_has(w, n->domain))
		c->cost += SAME_DOMAIN_MS;
	if (tier == TIER_REMOTE)
		c->cost += ONLY_COPY_MS * s->only[node];
	return true;
}

static bool store_allows(const struct pass *s)
{
	return s->from_store < s->v->store_parallel && s->v->store_tokens >= 1;
}

/* Loads from the store that may run ahead of demand. */
static bool ahead_allows(const struct pass *s)
{
	size_t most = s->v->store_parallel;

	if (s->calls)
		most = MAX(most / AHEAD_PART, 1);
	return s->from_store < most && store_allows(s);
}

static void take(struct pass *s, struct choice *c, const char *why)
{
	struct fleet_node *n = &s->v->nodes[c->step.node];
	struct tally *t = &s->tally[c->step.load];

	c->step.why = why;
	n->free = false;
	n->loading = c->step.load;
	t->loading++;
	if (c->step.tier == TIER_REMOTE)
		add_copy(s, (uint32_t)c->step.load);
	t->left_ms = MIN(t->left_ms, c->step.expected_ms);
	for (guint i = 0; i < n->places->len; i++) {
		struct fleet_place *p = fleet_place_at(n, i);

		if (!is_victim(&c->step, p->model))
			continue;
		p->closing = true;
		s->tally[p->model].open--;
	}
	if (c->step.tier == TIER_REMOTE) {
		s->from_store++;
		s->v->store_tokens -= 1;
	}
	s->ops->step(s->arg, &c->step);
}

/*
 * An engine that has a copy will take the model soon: it carries out a
 * short step, or waits for calls to end. A load from the store would take
 * longer, and use up its time.
 */
static bool comes_soon(const struct pass *s, const struct need *need)
{
	const struct routing_model *spec = s->v->models[need->model].spec;
	double patience = SOON_SHARE * (double)spec->store_ms;
	uint32_t model = need->model;

	if (need->waiting && need->slack_ms < -spec->store_ms)
		return false;
	for (size_t i = 0; i < s->v->n_nodes; i++) {
		const struct fleet_node *n = &s->v->nodes[i];

		if (need->version && !fleet_is_of(n, need->version))
			continue;
		if (n->usable && n->tier[model] != TIER_REMOTE &&
		    !holds(n, model) &&
		    (n->loading < 0 || (double)n->loading_left_ms < patience))
			return true;
	}
	return false;
}

/* What an engine says of why the model can't be loaded. */
static void note_blocked(struct fleet_blocked *b, const struct fleet_node *n,
			 uint32_t model, bool can)
{
	if (!n->usable)
		return;
	if (n->tier[model] == TIER_REMOTE) {
		b->free += can;
		return;
	}
	b->copies++;
	if (!n->free || n->loading >= 0)
		b->copies_busy++;
	else if (!can)
		b->copies_full++;
}

/* Load a model where that is cheapest; false where nothing can take it, and
 * then b tells why. */
static bool place(struct pass *s, const struct need *need, const char *why,
		  struct fleet_blocked *b)
{
	uint32_t model = need->model;
	struct wanted w = want(s, model, need->version);
	struct choice best = { 0 }, c;
	bool found = false;

	*b = (struct fleet_blocked){ .waiting = need->waiting,
				     .slack_ms = need->slack_ms,
				     .version = need->version,
				     .store = !store_allows(s) };
	for (size_t i = 0; i < s->v->n_nodes; i++) {
		bool can = weigh(s, &w, i, &c);

		if (!need->version ||
		    fleet_is_of(&s->v->nodes[i], need->version))
			note_blocked(b, &s->v->nodes[i], model, can);
		if (!can || (c.step.tier == TIER_REMOTE && b->store) ||
		    (found && c.cost >= best.cost))
			continue;
		best = c;
		found = true;
	}
	g_ptr_array_unref(w.domains);
	if (found && best.step.tier == TIER_REMOTE && comes_soon(s, need))
		return false;
	if (found)
		take(s, &best, why);
	return found;
}

/* Bring a copy to an engine that has none. */
static void place_copy(struct pass *s, uint32_t model, const char *why)
{
	struct wanted w = want(s, model, NULL);
	struct choice best = { 0 }, c;
	bool found = false;

	for (size_t i = 0; i < s->v->n_nodes; i++) {
		if (s->v->nodes[i].tier[model] != TIER_REMOTE ||
		    !weigh(s, &w, i, &c) || (found && c.cost >= best.cost))
			continue;
		best = c;
		found = true;
	}
	g_ptr_array_unref(w.domains);
	if (found)
		take(s, &best, why);
}

static bool in_time(const struct need *n)
{
	return n->slack_ms >= SOONEST_MS;
}

/*
 * Most waiting callers first. Mostly there is one each: then those who can
 * still be served in time, the most pressing of them first, and after them
 * those who are late, in the order in which they came.
 */
static gint by_need(gconstpointer a, gconstpointer b)
{
	const struct need *x = a, *y = b;

	if (x->waiting != y->waiting)
		return x->waiting > y->waiting ? -1 : 1;
	if (in_time(x) != in_time(y))
		return in_time(x) ? -1 : 1;
	if (x->slack_ms != y->slack_ms)
		return x->slack_ms < y->slack_ms ? -1 : 1;
	if (x->model != y->model)
		return x->model < y->model ? -1 : 1;
	return g_strcmp0(x->version, y->version);
}

/*
 * Why a model needs a replica more; NULL: it doesn't. One on a suspended
 * engine does callers who wait now no good, but isn't lost: without any of
 * them nothing is loaded in its stead.
 */
static const char *wants_more(const struct pass *s, uint32_t model)
{
	const struct fleet_model *x = &s->v->models[model];
	const struct tally *t = &s->tally[model];
	uint32_t have = t->open + t->loading;

	if (have == 0 && x->waiting)
		return "callers wait and no engine has it";
	if (have == 0 && t->copies == 0 && x->rate >= ASKED_PER_S)
		return "callers were told to come back";
	if (have == 0)
		return NULL;
	if (!x->waiting)
		have += t->paused;
	if (have < replicas_for(s, x))
		return "its replicas are full";
	return NULL;
}

/* The same for callers who need one version. */
static const char *pin_wants_more(const struct pass *s,
				  const struct fleet_pin *pin)
{
	struct pinned t = fleet_count_pinned(s, pin);
	uint32_t have = t.open + t.loading;

	if (!pin->waiting)
		return NULL;
	if (have == 0)
		return "callers wait for its version and no engine has it";
	if (t.calls + pin->waiting > have * calls_most(s))
		return "its replicas of that version are full";
	return NULL;
}

static const char *why_needed(const struct pass *s, const struct need *n)
{
	return n->version ? pin_wants_more(s, &s->v->pins[n->pin]) :
			    wants_more(s, n->model);
}

static void add_pins(const struct pass *s, GArray *needs)
{
	for (size_t i = 0; i < s->v->n_pins; i++) {
		const struct fleet_pin *p = &s->v->pins[i];
		struct need n = { .model = p->model,
				  .waiting = p->waiting,
				  .slack_ms = p->slack_ms,
				  .version = p->version,
				  .pin = i };

		if (pin_wants_more(s, p))
			g_array_append_val(needs, n);
	}
}

/*
 * Models that no engine has, those whose replicas are full, and those that
 * one loss would take away: most waiting callers first. Each engine takes one
 * step at a time, so a model with dozens of callers before one full replica
 * must not come behind all those with a single caller.
 */
static void place_needed(struct pass *s)
{
	GArray *needs = g_array_new(FALSE, FALSE, sizeof(struct need));

	for (size_t m = 0; m < s->v->n_models; m++) {
		const struct fleet_model *x = &s->v->models[m];
		struct need n = { .model = (uint32_t)m,
				  .waiting = x->waiting,
				  .slack_ms = x->slack_ms };

		if (wants_more(s, n.model))
			g_array_append_val(needs, n);
	}
	add_pins(s, needs);
	g_array_sort(needs, by_need);
	for (guint i = 0; i < needs->len; i++) {
		const struct need *n = &g_array_index(needs, struct need, i);
		/* Asked anew: its only replica may have been taken away. */
		const char *why = why_needed(s, n);
		struct fleet_blocked b;

		if (why && !place(s, n, why, &b) && n->waiting &&
		    s->ops->blocked)
			s->ops->blocked(s->arg, n->model, &b);
	}
	s->needs = needs;
}

static void place_copies(struct pass *s, uint32_t copies, const char *why)
{
	for (size_t m = 0; m < s->v->n_models && ahead_allows(s); m++)
		if (s->tally[m].copies < copies)
			place_copy(s, (uint32_t)m, why);
}

/*
 * The store serves few loads at a time and each takes long, so while nobody
 * waits for it, it brings the models that have no copy on any engine. From
 * then on a call for one costs a load from disk. Before the first calls
 * come, a second copy is made as well: one engine's copies are out of reach
 * while it is taken up.
 */
static void place_ahead(struct pass *s)
{
	place_copies(s, 1, "no engine has a copy");
	if (s->calls == 0)
		place_copies(s, COPIES_AHEAD, "one engine has the only copy");
}

static double starts_of(const struct fleet_view *v)
{
	double all = 0;

	for (size_t m = 0; m < v->n_models; m++)
		all += v->models[m].rate;
	return MAX(STARTS_PER_S,
		   STARTS_OVER_PART * all / (double)MAX(v->n_nodes, 1));
}

void fleet_plan(struct fleet_view *v, const struct fleet_plan_ops *ops,
		void *arg)
{
	struct pass s = { .v = v, .ops = ops, .arg = arg };

	s.tally = g_new0(struct tally, v->n_models + 1);
	s.only = g_new0(uint32_t, v->n_nodes + 1);
	s.starts = starts_of(v);
	for (size_t m = 0; m < v->n_models; m++)
		s.tally[m].left_ms = INT64_MAX;
	for (size_t i = 0; i < v->n_nodes; i++)
		count_node(&s, &v->nodes[i]);
	count_only_copies(&s);
	place_needed(&s);
	if (v->ahead)
		place_ahead(&s);
	fleet_set_etas(&s);
	g_array_unref(s.needs);
	g_free(s.tally);
	g_free(s.only);
}
