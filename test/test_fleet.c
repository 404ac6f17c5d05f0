/* Model placement: which model is loaded on which engine, and what is unloaded
 * for it. */
#include "unit.h"

#include "../src/core/fleet.h"

#define MODELS 6

/* Two busy models, three rarely used ones, one large one. */
static struct routing_model specs[MODELS];

struct held_row {
	int model, calls;
	bool unloading;
};

struct node_row {
	const char *domain;
	struct held_row held[4];
	int n_held;
	const char *tiers; /* by model: s(tore), d(isk), m(emory) */
	int unusable;	   /* 1: draining or down; 2: suspended */
	/* Whose order it runs; 0: none; 1: this leader's; 2: another's. */
	int order_from;
	int running;
};

struct demand_row {
	double rate;
	int waiting;
	int slack_ms; /* until the first waiting caller is late */
};

struct plan_case {
	const char *label;
	struct node_row nodes[4];
	size_t n_nodes;
	struct demand_row demand[MODELS];
	bool preload;
	double tokens;
	const char *steps; /* "node:load<tier>-victim..." */
};

static const struct plan_case plan_cases[] = {
	{ "a requested model is loaded from the nearest copy",
	  { { "a", { { 0 } }, 0, "ssssss", false, false, 0 },
	    { "b", { { 0 } }, 0, "ssdsss", false, false, 0 } },
	  2,
	  { [2] = { 0, 1, 0 } },
	  false,
	  4,
	  "1:2d " },
	{ "a surplus replica is unloaded before a rarely used model",
	  { { "a",
	      { { 0, 0, false }, { 3, 0, false } },
	      2,
	      "ddddss",
	      false,
	      false,
	      0 },
	    { "b", { { 0, 1, false } }, 1, "ddssss", false, true, 0 } },
	  2,
	  { [2] = { 0, 1, 0 } },
	  false,
	  4,
	  "0:2d-0 " },
	{ "of two rarely used models the one with fewer calls is unloaded",
	  { { "a",
	      { { 3, 0, false }, { 4, 0, false } },
	      2,
	      "dddddd",
	      false,
	      false,
	      0 } },
	  1,
	  { [2] = { 0, 1, 0 }, [3] = { 0.5, 0, 0 }, [4] = { 0.1, 0, 0 } },
	  false,
	  4,
	  "0:2d-4 " },
	{ "the only replica of a model isn't unloaded while calls run on it",
	  { { "a",
	      { { 3, 1, false }, { 4, 2, false } },
	      2,
	      "dddddd",
	      false,
	      false,
	      0 } },
	  1,
	  { [2] = { 0, 1, 0 } },
	  false,
	  4,
	  "" },
	{ "a model that callers wait for isn't unloaded",
	  { { "a",
	      { { 3, 0, false }, { 4, 0, false } },
	      2,
	      "dddddd",
	      false,
	      false,
	      0 } },
	  1,
	  { [2] = { 0, 1, 0 }, [3] = { 0, 2, 0 }, [4] = { 0, 1, 0 } },
	  false,
	  4,
	  "" },
	{ "a model that an engine holds isn't loaded on another",
	  { { "a", { { 0 } }, 0, "dddddd", false, false, 0 },
	    { "b", { { 2, 0, false } }, 1, "dddddd", false, false, 0 } },
	  2,
	  { [2] = { 0, 3, 0 } },
	  false,
	  4,
	  "" },
	{ "a draining engine gets no load, and its replica isn't counted",
	  { { "a", { { 2, 0, false } }, 1, "dddddd", true, false, 0 },
	    { "b", { { 0 } }, 0, "sdsddd", false, false, 0 } },
	  2,
	  { [2] = { 0, 1, 0 } },
	  false,
	  4,
	  "1:2s " },
	{ "a replica on an engine that is down is replaced at once",
	  { { "a", { { 0, 1, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0, 1, false } }, 1, "dddddd", true, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  3,
	  { [0] = { 3, 0, 0 } },
	  false,
	  4,
	  "2:0d " },
	{ "a replica on a suspended engine isn't replaced while no caller "
	  "waits",
	  { { "a", { { 0, 1, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0, 1, false } }, 1, "dddddd", 2, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  3,
	  { [0] = { 3, 0, 0 } },
	  false,
	  4,
	  "" },
	{ "callers who wait for a suspended replica get another one",
	  { { "a", { { 2, 1, false } }, 1, "dddddd", 2, false, 0 },
	    { "b", { { 0 } }, 0, "ssdsss", false, false, 0 } },
	  2,
	  { [2] = { 0, 1, 0 } },
	  false,
	  4,
	  "1:2d " },
	{ "a suspended engine gets no load, and its copies are counted",
	  { { "a", { { 0 } }, 0, "dddddd", 2, false, 0 },
	    { "b", { { 0 } }, 0, "ssssss", false, true, 0 } },
	  2,
	  { [0] = { 0, 0, 0 }, [2] = { 0, 1, 0 } },
	  true,
	  4,
	  "" },
	{ "a model with full replicas gets one in another failure domain",
	  { { "a", { { 0, 10, false } }, 1, "dddddd", false, false, 0 },
	    { "a", { { 0 } }, 0, "dddddd", false, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  3,
	  { [0] = { 0, 1, 0 } },
	  false,
	  4,
	  "2:0d " },
	{ "a model whose replica uses half of its slots gets another",
	  { { "a", { { 0, 5, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  2,
	  { [0] = { 0, 1, 0 } },
	  false,
	  4,
	  "1:0d " },
	{ "a model whose replica uses fewer slots gets no other",
	  { { "a", { { 0, 4, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  2,
	  { [0] = { 0, 1, 0 } },
	  false,
	  4,
	  "" },
	{ "a model without a copy is loaded for callers who will retry",
	  { { "a", { { 0 } }, 0, "ddsddd", false, false, 0 } },
	  1,
	  { [2] = { 0.3, 0, 0 } },
	  false,
	  4,
	  "0:2s " },
	{ "a model with a copy isn't loaded before its callers retry",
	  { { "a", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  1,
	  { [2] = { 0.3, 0, 0 } },
	  false,
	  4,
	  "" },
	{ "a model with many calls has two replicas",
	  { { "a", { { 1, 0, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  2,
	  { [1] = { 5, 0, 0 } },
	  false,
	  4,
	  "1:1d " },
	{ "there is no load from the store above its rate limit",
	  { { "a", { { 0 } }, 0, "ssssss", false, false, 0 } },
	  1,
	  { [2] = { 0, 1, 0 } },
	  false,
	  0.5,
	  "" },
	/*
	 * Guards against loading a model from the store, which occupies an
	 * engine for seconds, while the engine that has a copy only waits for
	 * running calls to end. This happens if a caller who is slightly late
	 * is a reason not to wait for the copy.
	 */
	{ "late callers also wait for a copy on an engine that is in use",
	  { { "a",
	      { { 0, 2, false }, { 1, 2, false } },
	      2,
	      "dddsss",
	      false,
	      0,
	      0 },
	    { "b", { { 0 } }, 0, "ssssss", false, 0, 0 } },
	  2,
	  { [2] = { 0, 1, -500 } },
	  false,
	  4,
	  "" },
	{ "callers wait for a copy no longer than a load from the store takes",
	  { { "a",
	      { { 0, 2, false }, { 1, 2, false } },
	      2,
	      "dddsss",
	      false,
	      0,
	      0 },
	    { "b", { { 0 } }, 0, "ssssss", false, 0, 0 } },
	  2,
	  { [2] = { 0, 1, -6001 } },
	  false,
	  4,
	  "1:2s " },
	/*
	 * Guards against a busy model that stays on one engine with dozens of
	 * callers waiting. This happens if only the engine of the full replica
	 * has a copy: that engine can't load the model again, so it must not
	 * count as one where a copy will be available soon.
	 */
	{ "the copy of a full replica doesn't prevent a load from the store",
	  { { "a", { { 0, 10, false } }, 1, "dsssss", false, 0, 0 },
	    { "b", { { 0 } }, 0, "ssssss", false, 0, 0 } },
	  2,
	  { [0] = { 0, 3, 2000 } },
	  false,
	  4,
	  "1:0s " },
	/*
	 * Guards against 40 callers a second waiting ten seconds for one full
	 * replica. This happens if models without a replica have priority over
	 * those with full ones: the engines with copies of the busy model
	 * become available one at a time, and each first loads a rarely used
	 * model for a single caller.
	 */
	{ "many callers of a full replica go before one without a replica",
	  { { "a", { { 0 } }, 0, "dddddd", false, 0, 0 },
	    { "b", { { 0, 10, false } }, 1, "dsssss", false, 0, 0 } },
	  2,
	  { [0] = { 0, 5 }, [2] = { 0, 1 } },
	  false,
	  4,
	  "0:0d " },
	{ "with equal callers, the model that can still be in time goes first",
	  { { "a", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  1,
	  { [2] = { 0, 1, -300 }, [3] = { 0, 1, 1500 } },
	  false,
	  4,
	  "0:3d " },
	{ "of two late models the one whose caller waited longer goes first",
	  { { "a", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  1,
	  { [2] = { 0, 1, 100 }, [3] = { 0, 1, -900 } },
	  false,
	  4,
	  "0:3d " },
	{ "two replicas are enough at seven calls a second",
	  { { "a", { { 1, 0, false } }, 1, "dddddd", false, 0, 0 },
	    { "b", { { 1, 0, false } }, 1, "dddddd", false, 0, 0 },
	    { "c", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  3,
	  { [1] = { 7, 0, 0 } },
	  false,
	  4,
	  "" },
	{ "at ten calls a second there are three replicas",
	  { { "a", { { 1, 0, false } }, 1, "dddddd", false, 0, 0 },
	    { "b", { { 1, 0, false } }, 1, "dddddd", false, 0, 0 },
	    { "c", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  3,
	  { [1] = { 10, 0, 0 } },
	  false,
	  4,
	  "2:1d " },
	/* Guards against hundreds of prompts being processed on three engines
	 * while others are idle. */
	{ "at thirteen there are four replicas, though few calls run",
	  { { "a", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "b", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "c", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "a", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  4,
	  { [1] = { 13, 0, 0 } },
	  false,
	  4,
	  "3:1d " },
	{ "where all engines start more calls, 1.25 times the mean is enough",
	  { { "a", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "b", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "c", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "a", { { 2, 1, false } }, 1, "dddddd", false, 0, 0 } },
	  4,
	  { [1] = { 18, 0, 0 }, [2] = { 6, 0, 0 } },
	  false,
	  4,
	  "1:2d " },
	{ "a replica with calls isn't unloaded, though the model has another",
	  { { "a",
	      { { 0, 2, false }, { 3, 0, false } },
	      2,
	      "ddddss",
	      false,
	      0,
	      0 },
	    { "b", { { 0, 1, false } }, 1, "ddssss", false, 1, 0 } },
	  2,
	  { [0] = { 1, 0, 0 }, [2] = { 0, 1, 0 }, [3] = { 0.5, 0, 0 } },
	  false,
	  4,
	  "0:2d-3 " },
	/*
	 * Guards against a busy model losing a replica to a rarely used model
	 * and getting it back a second later. This happens if unloading a
	 * replica without running calls is considered free of cost.
	 */
	{ "a busy model's replica isn't unloaded while it is briefly idle",
	  { { "a",
	      { { 0, 0, false }, { 3, 0, false } },
	      2,
	      "ddddss",
	      false,
	      0,
	      0 },
	    { "b", { { 0, 1, false } }, 1, "ddssss", false, 1, 0 } },
	  2,
	  { [0] = { 1.8, 0, 0 }, [2] = { 0, 1, 0 }, [3] = { 0.1, 0, 0 } },
	  false,
	  4,
	  "0:2d-3 " },
	{ "the cost of unloading is divided by the number of replicas",
	  { { "a",
	      { { 0, 0, false }, { 3, 0, false } },
	      2,
	      "ddddss",
	      false,
	      0,
	      0 },
	    { "b", { { 0, 1, false } }, 1, "ddssss", false, 1, 0 } },
	  2,
	  { [0] = { 1.0, 0, 0 }, [2] = { 0, 1, 0 }, [3] = { 0.6, 0, 0 } },
	  false,
	  4,
	  "0:2d-0 " },
	/*
	 * Guards against a model being unloaded and loaded elsewhere in one
	 * pass, without a reason in the log. This happens if its need of a
	 * second replica is determined at the start of the pass only, and its
	 * first one is unloaded for a model with more waiting callers.
	 */
	{ "a model that was unloaded in a pass isn't loaded in the same pass",
	  { { "a",
	      { { 1, 0, false }, { 4, 2, false } },
	      2,
	      "dddddd",
	      false,
	      0,
	      0 },
	    { "b", { { 0 } }, 0, "sdssss", false, 0, 0 } },
	  2,
	  { [1] = { 3, 0, 0 }, [2] = { 0, 5, 0 } },
	  false,
	  4,
	  "0:2d-1 " },
	{ "models without any copy are preloaded",
	  { { "a", { { 0, 0, false } }, 1, "ddddds", false, false, 0 } },
	  1,
	  { [0] = { 0, 0, 0 } },
	  true,
	  4,
	  "0:5s-0 " },
	{ "loads that another leader began use store capacity too",
	  { { "a", { { 0 } }, 0, "ddssss", false, 2, 0 },
	    { "b", { { 0 } }, 0, "ddssss", false, 2, 0 },
	    { "c", { { 0, 2, false } }, 1, "ddssss", false, 0, 0 } },
	  3,
	  { [0] = { 0, 0, 0 } },
	  true,
	  4,
	  "" },
	{ "preloads leave store capacity free while calls run",
	  { { "a", { { 0, 2, false } }, 1, "dddsss", false, false, 0 },
	    { "b", { { 1, 0, false } }, 1, "dddsss", false, false, 0 },
	    { "c", { { 2, 0, false } }, 1, "dddsss", false, false, 0 } },
	  3,
	  { [0] = { 0, 0, 0 } },
	  true,
	  4,
	  "0:3s 1:4s " },
	{ "nothing is preloaded if the preset forbids it",
	  { { "a", { { 0, 0, false } }, 1, "ddddds", false, false, 0 } },
	  1,
	  { [0] = { 0, 0, 0 } },
	  false,
	  4,
	  "" },
};

static void on_step(void *arg, const struct fleet_step *s)
{
	static const char letters[] = "sdm";
	GString *out = arg;

	g_string_append_printf(out, "%u:%d%c", s->node, s->load,
			       letters[s->tier]);
	for (size_t i = 0; i < s->n_victims; i++)
		g_string_append_printf(out, "-%u", s->victims[i]);
	g_string_append_c(out, ' ');
}

static void on_blocked(void *arg, uint32_t model, const struct fleet_blocked *b)
{
	g_string_append_printf(arg,
			       "blocked:%u copies %u busy %u full %u "
			       "others %u%s",
			       model, b->copies, b->copies_busy, b->copies_full,
			       b->store_candidates,
			       b->store_closed ? " store" : "");
}

static const struct fleet_plan_ops ops = { .step = on_step };
static const struct fleet_plan_ops blocked_ops = { on_step, on_blocked };

static void make_specs(void)
{
	for (int i = 0; i < MODELS; i++)
		specs[i] =
			(struct routing_model){ .weights_mb = i == 5 ? 80 : 40,
						.store_load_ms = 6000,
						.disk_load_ms = 500,
						.memory_load_ms = 300 };
}

static uint8_t tier_of(char c)
{
	return c == 'm' ? TIER_MEMORY : c == 'd' ? TIER_DISK : TIER_REMOTE;
}

static void fill_node(const struct node_row *row, struct fleet_node *n,
		      struct fleet_model *models, uint8_t *tiers)
{
	*n = (struct fleet_node){ .domain = row->domain,
				  .usable = !row->unusable,
				  .suspended = row->unusable == 2,
				  .accepts_step = !row->order_from,
				  .loading = -1,
				  .free_mb = 80,
				  .running = row->running,
				  .foreign_order = row->order_from == 2,
				  .slots = 10,
				  .tier = tiers };
	n->replicas = g_array_new(FALSE, FALSE, sizeof(struct fleet_replica));
	for (int i = 0; i < row->n_held; i++) {
		struct fleet_replica p = {
			.model = (uint32_t)row->held[i].model,
			.calls = (uint32_t)row->held[i].calls,
			.unloading = row->held[i].unloading
		};

		g_array_append_val(n->replicas, p);
		n->free_mb -= specs[p.model].weights_mb;
		models[p.model].calls += p.calls;
	}
	for (int i = 0; i < MODELS; i++)
		tiers[i] = tier_of(row->tiers[i]);
}

static void steps_are_chosen(void **state)
{
	(void)state;
	make_specs();
	for (size_t c = 0; c < G_N_ELEMENTS(plan_cases); c++) {
		const struct plan_case *pc = &plan_cases[c];
		struct fleet_model models[MODELS];
		struct fleet_node nodes[4];
		uint8_t tiers[4][MODELS];
		struct fleet_view v = { .models = models,
					.n_models = MODELS,
					.nodes = nodes,
					.n_nodes = pc->n_nodes,
					.slots = 10,
					.store_parallel = 4,
					.store_tokens = pc->tokens,
					.preload = pc->preload };
		GString *out = g_string_new(NULL);

		for (int m = 0; m < MODELS; m++)
			models[m] = (struct fleet_model){
				.spec = &specs[m],
				.rate = pc->demand[m].rate,
				.waiting = (uint32_t)pc->demand[m].waiting,
				.slack_ms = pc->demand[m].slack_ms
			};
		for (size_t i = 0; i < pc->n_nodes; i++)
			fill_node(&pc->nodes[i], &nodes[i], models, tiers[i]);
		fleet_plan(&v, &ops, out);
		if (strcmp(out->str, pc->steps))
			fail_msg("%s: \"%s\", not \"%s\"", pc->label, out->str,
				 pc->steps);
		for (size_t i = 0; i < pc->n_nodes; i++)
			g_array_unref(nodes[i].replicas);
		g_string_free(out, TRUE);
	}
}

/*
 * Guards against wrong retry times: the estimate is zero if a replica accepts
 * calls, the remaining time if the model is being loaded, none otherwise.
 */
static void eta_of_each_model_is_set(void **state)
{
	struct fleet_model models[MODELS];
	uint8_t tiers[MODELS] = { TIER_DISK, TIER_DISK, TIER_DISK };
	struct fleet_node n = { .domain = "a",
				.usable = true,
				.loading = 1,
				.loading_tier = TIER_DISK,
				.loading_left_ms = 320,
				.slots = 10,
				.tier = tiers };
	struct fleet_replica held = { .model = 0 };
	struct fleet_view v = { .models = models,
				.n_models = 3,
				.nodes = &n,
				.n_nodes = 1,
				.slots = 10 };
	GString *out = g_string_new(NULL);

	(void)state;
	make_specs();
	for (int m = 0; m < MODELS; m++)
		models[m] = (struct fleet_model){ .spec = &specs[m] };
	models[2].waiting = 1;
	n.replicas = g_array_new(FALSE, FALSE, sizeof(struct fleet_replica));
	g_array_append_val(n.replicas, held);
	fleet_plan(&v, &ops, out);
	assert_int_equal(models[0].eta_ms, 0);
	assert_int_equal(models[1].eta_ms, 320);
	assert_int_equal(models[2].eta_ms, -1);
	g_array_unref(n.replicas);
	g_string_free(out, TRUE);
}

/*
 * Guards against callers of a model without a copy being held for six seconds
 * and then refused. The store loads two models at a time, in 6 s each, and five
 * are requested. Those queued behind the others have to get an estimate, which
 * follows from the store's queue.
 */
static void eta_follows_the_store_queue(void **state)
{
	struct fleet_model models[MODELS];
	uint8_t tiers[MODELS] = { [5] = TIER_DISK };
	struct fleet_node nodes[2] = { { .domain = "a",
					 .usable = true,
					 .loading = 0,
					 .loading_tier = TIER_REMOTE,
					 .loading_left_ms = 1000,
					 .slots = 10,
					 .tier = tiers },
				       { .domain = "b",
					 .usable = true,
					 .loading = 1,
					 .loading_tier = TIER_REMOTE,
					 .loading_left_ms = 4000,
					 .slots = 10,
					 .tier = tiers } };
	struct fleet_view v = { .models = models,
				.n_models = MODELS,
				.nodes = nodes,
				.n_nodes = 2,
				.slots = 10,
				.store_parallel = 2,
				.store_tokens = 4 };
	GString *out = g_string_new(NULL);

	(void)state;
	make_specs();
	for (int reported = 0; reported < 2; reported++) {
		for (int m = 0; m < MODELS; m++)
			models[m] = (struct fleet_model){ .spec = &specs[m] };
		models[2].waiting = 3;
		models[3].waiting = 2;
		models[4].rate = 1; /* its callers are to retry later */
		models[5].waiting = 1;
		v.all_reported = reported;
		for (int i = 0; i < 2; i++)
			nodes[i].replicas = g_array_new(
				FALSE, FALSE, sizeof(struct fleet_replica));
		fleet_plan(&v, &ops, out);
		assert_int_equal(models[0].eta_ms, 1000);
		assert_int_equal(models[2].eta_ms, reported ? 7000 : -1);
		assert_int_equal(models[3].eta_ms, reported ? 10000 : -1);
		assert_int_equal(models[4].eta_ms, reported ? 13000 : -1);
		/* An engine has a copy, but when it is free is unknown. */
		assert_int_equal(models[5].eta_ms, -1);
		for (int i = 0; i < 2; i++)
			g_array_unref(nodes[i].replicas);
	}
	g_string_free(out, TRUE);
}

static void rates_decay(void **state)
{
	struct fleet_rate r = { 0 };

	(void)state;
	for (int i = 1; i <= 400; i++)
		fleet_rate_add(&r, 1, i * 100);
	/* Ten a second, within the precision of the decaying average. */
	assert_true(fleet_rate_at(&r, 40000) > 9 &&
		    fleet_rate_at(&r, 40000) < 11);
	assert_true(fleet_rate_at(&r, 100000) < 0.1);
}

/* Guards against a log that doesn't show an operator why callers wait: it
 * counts the engines that can't load the model, by cause. */
static void blocked_model_is_reported(void **state)
{
	static const struct node_row rows[3] = {
		{ "a",
		  { { 0, 3, false }, { 1, 3, false } },
		  2,
		  "dddsss",
		  false,
		  0,
		  0 },
		{ "b", { { 0 } }, 0, "ssdsss", false, 1, 0 },
		{ "c", { { 0 } }, 0, "ssssss", false, 0, 0 },
	};
	struct fleet_model models[MODELS];
	struct fleet_node nodes[3];
	uint8_t tiers[3][MODELS];
	struct fleet_view v = { .models = models,
				.n_models = MODELS,
				.nodes = nodes,
				.n_nodes = 3,
				.slots = 10,
				.store_parallel = 4 };
	GString *out = g_string_new(NULL);

	(void)state;
	make_specs();
	for (int m = 0; m < MODELS; m++)
		models[m] = (struct fleet_model){ .spec = &specs[m],
						  .waiting = m == 2 };
	for (int i = 0; i < 3; i++)
		fill_node(&rows[i], &nodes[i], models, tiers[i]);
	fleet_plan(&v, &blocked_ops, out);
	assert_string_equal(out->str, "blocked:2 copies 2 busy 1 full 1 "
				      "others 1 store");
	for (int i = 0; i < 3; i++)
		g_array_unref(nodes[i].replicas);
	g_string_free(out, TRUE);
}

struct store_row {
	size_t n;
	int64_t took_ms; /* 1000 ms for a single load */
	bool done;
	size_t max_loads; /* expected bound afterwards */
};

struct store_case {
	const char *label;
	size_t limit;
	struct store_row rows[4];
};

static const struct store_case store_cases[] = {
	{ "one at full speed: two parallel loads take twice as long",
	  4,
	  { { 1, 1010, true, 2 },
	    { 2, 1300, false, 1 },
	    { 2, 2000, true, 1 } } },
	{ "four at full speed: each success doubles the bound, up to the limit",
	  4,
	  { { 2, 1010, true, 4 },
	    { 4, 1050, true, 4 },
	    { 4, 1000, true, 4 } } },
	{ "three at full speed, when four ran",
	  8,
	  { { 2, 1000, true, 4 },
	    { 4, 1340, true, 3 },
	    { 3, 1000, true, 6 } } },
	{ "a single load doesn't change the bound",
	  8,
	  { { 1, 1000, true, 2 }, { 1, 1000, true, 2 } } },
	{ "a store that is slow for a single load has a bound of one or more",
	  8,
	  { { 1, 9000, false, 1 },
	    { 1, 9000, true, 1 },
	    { 1, 1000, true, 2 } } },
};

static void store_speed_is_learned(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(store_cases); i++) {
		const struct store_case *c = &store_cases[i];
		struct fleet_store s = { 0 };

		for (const struct store_row *r = c->rows; r->n; r++) {
			fleet_store_observe(&s, r->n, r->took_ms, 1000,
					    r->done);
			if (fleet_store_max_loads(&s, c->limit) != r->max_loads)
				fail_msg("%s: row %d: %zu", c->label,
					 (int)(r - c->rows),
					 fleet_store_max_loads(&s, c->limit));
		}
	}
}

static const struct {
	int64_t took_ms, ratio, min_ms, max_ms, pause_ms;
} pauses[] = {
	{ 0, 10, 20, 100, 20 },	 { 1, 10, 20, 100, 20 },
	{ 5, 10, 20, 100, 50 },	 { 80, 10, 20, 100, 100 },
	{ 0, 10, 0, 100, 0 },	 { -3, 50, 50, 500, 50 },
	{ 9, 50, 50, 500, 450 },
};

/* Guards against passes over a large fleet that take all of the leader's
 * time. */
static void pause_is_proportional_to_duration(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(pauses); i++)
		assert_int_equal(
			fleet_pause_ms(pauses[i].took_ms, pauses[i].ratio,
				       pauses[i].min_ms, pauses[i].max_ms),
			pauses[i].pause_ms);
}

struct pin_case {
	const char *label;
	struct node_row nodes[3];
	const char *versions[3];
	size_t n_nodes;
	int waiting; /* callers of model 2 whose streams version v1 began */
	const char *steps;
	int64_t eta_ms;
};

static const struct pin_case pin_cases[] = {
	{ "an engine of another version holds the model",
	  { { "a", { { 2, 0, false } }, 1, "dddddd", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "dddddd", 0, 0, 0 } },
	  { "v2", "v1" },
	  2,
	  1,
	  "1:2d ",
	  500 },
	{ "an engine of another version has the nearer copy",
	  { { "a", { { 0 } }, 0, "ssmsss", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "ssssss", 0, 0, 0 } },
	  { "v2", "v1" },
	  2,
	  1,
	  "1:2s ",
	  6000 },
	{ "an engine of the required version holds the model",
	  { { "a", { { 2, 1, false } }, 1, "dddddd", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "dddddd", 0, 0, 0 } },
	  { "v1", "v1" },
	  2,
	  1,
	  "",
	  0 },
	{ "the replica of the required version is full",
	  { { "a", { { 2, 5, false } }, 1, "dddddd", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "ddmddd", 0, 0, 0 },
	    { "c", { { 0 } }, 0, "dddddd", 0, 0, 0 } },
	  { "v1", "v2", "v1" },
	  3,
	  2,
	  "2:2d ",
	  0 },
	{ "a replica that pinned callers wait for isn't unloaded",
	  { { "a", { { 2, 0, false }, { 3, 0, false } }, 2, "dddddd", 0, 0, 0 },
	    { "b", { { 2, 0, false } }, 1, "ssssss", 0, 2, 0 } },
	  { "v1", "v2" },
	  2,
	  1,
	  "",
	  0 },
	{ "no engine has the required version",
	  { { "a", { { 0 } }, 0, "dddddd", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "dddddd", 0, 0, 0 } },
	  { "v2", NULL },
	  2,
	  1,
	  "",
	  -1 },
};

/* Guards against resumed streams waiting in vain, because only engines of
 * another version load their model. */
static void pinned_callers_get_their_version(void **state)
{
	(void)state;
	make_specs();
	for (size_t c = 0; c < G_N_ELEMENTS(pin_cases); c++) {
		const struct pin_case *pc = &pin_cases[c];
		struct fleet_model models[MODELS] = { 0 };
		struct fleet_node nodes[3];
		uint8_t tiers[3][MODELS];
		struct fleet_pin pin = { .model = 2,
					 .version = "v1",
					 .waiting = (uint32_t)pc->waiting };
		struct fleet_view v = { .models = models,
					.n_models = MODELS,
					.pins = &pin,
					.n_pins = 1,
					.nodes = nodes,
					.n_nodes = pc->n_nodes,
					.slots = 10,
					.store_parallel = 4,
					.store_tokens = 4 };
		GString *out = g_string_new(NULL);

		for (int m = 0; m < MODELS; m++)
			models[m].spec = &specs[m];
		for (size_t i = 0; i < pc->n_nodes; i++) {
			fill_node(&pc->nodes[i], &nodes[i], models, tiers[i]);
			nodes[i].version = pc->versions[i];
		}
		fleet_plan(&v, &ops, out);
		if (strcmp(out->str, pc->steps))
			fail_msg("%s: \"%s\"", pc->label, out->str);
		if (pin.eta_ms != pc->eta_ms)
			fail_msg("%s: in %" PRId64 " ms", pc->label,
				 pin.eta_ms);
		for (size_t i = 0; i < pc->n_nodes; i++)
			g_array_unref(nodes[i].replicas);
		g_string_free(out, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(steps_are_chosen),
		cmocka_unit_test(eta_of_each_model_is_set),
		cmocka_unit_test(pinned_callers_get_their_version),
		cmocka_unit_test(eta_follows_the_store_queue),
		cmocka_unit_test(rates_decay),
		cmocka_unit_test(blocked_model_is_reported),
		cmocka_unit_test(store_speed_is_learned),
		cmocka_unit_test(pause_is_proportional_to_duration),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
