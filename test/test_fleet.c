/* Placing models on a fleet: what is loaded where, and what gives way. */
#include "unit.h"

#include "../src/core/fleet.h"

#define MODELS 6

/* Two busy ones, three rare ones, one large. */
static struct routing_model specs[MODELS];

struct holding {
	int model, calls;
	bool closing;
};

struct node_row {
	const char *domain;
	struct holding held[4];
	int n_held;
	const char *tiers; /* by model: s(tore), d(isk), m(emory) */
	int unusable;	   /* 1: leaving, or down; 2: suspended */
	int engaged;	   /* 1: by this leader's order; 2: by another's */
	int running;
};

struct want_row {
	double rate;
	int waiting;
	int slack_ms; /* until the first of those is late */
};

struct plan_case {
	const char *label;
	struct node_row nodes[4];
	size_t n_nodes;
	struct want_row wants[MODELS];
	bool ahead;
	double tokens;
	const char *steps; /* "node:load<tier>-victim..." */
};

static const struct plan_case plan_cases[] = {
	{ "a model that is waited for goes where its copy is nearest",
	  { { "a", { { 0 } }, 0, "ssssss", false, false, 0 },
	    { "b", { { 0 } }, 0, "ssdsss", false, false, 0 } },
	  2,
	  { [2] = { 0, 1, 0 } },
	  false,
	  4,
	  "1:2d " },
	{ "a surplus replica gives way before a rare model does",
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
	{ "of two rare models the one asked for less leaves",
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
	{ "a model with calls under way and no other replica stays",
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
	{ "a model that is waited for itself isn't unloaded",
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
	{ "one that is on its way isn't loaded twice",
	  { { "a", { { 0 } }, 0, "dddddd", false, false, 0 },
	    { "b", { { 2, 0, false } }, 1, "dddddd", false, false, 0 } },
	  2,
	  { [2] = { 0, 3, 0 } },
	  false,
	  4,
	  "" },
	{ "a leaving engine takes no load and counts for none",
	  { { "a", { { 2, 0, false } }, 1, "dddddd", true, false, 0 },
	    { "b", { { 0 } }, 0, "sdsddd", false, false, 0 } },
	  2,
	  { [2] = { 0, 1, 0 } },
	  false,
	  4,
	  "1:2s " },
	{ "a replica on an engine that is gone is replaced at once",
	  { { "a", { { 0, 1, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0, 1, false } }, 1, "dddddd", true, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  3,
	  { [0] = { 3, 0, 0 } },
	  false,
	  4,
	  "2:0d " },
	{ "one on a suspended engine isn't while nobody waits",
	  { { "a", { { 0, 1, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0, 1, false } }, 1, "dddddd", 2, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  3,
	  { [0] = { 3, 0, 0 } },
	  false,
	  4,
	  "" },
	{ "but callers who wait for it get one that can be called",
	  { { "a", { { 2, 1, false } }, 1, "dddddd", 2, false, 0 },
	    { "b", { { 0 } }, 0, "ssdsss", false, false, 0 } },
	  2,
	  { [2] = { 0, 1, 0 } },
	  false,
	  4,
	  "1:2d " },
	{ "a suspended engine takes no load, and its copy is still counted",
	  { { "a", { { 0 } }, 0, "dddddd", 2, false, 0 },
	    { "b", { { 0 } }, 0, "ssssss", false, true, 0 } },
	  2,
	  { [0] = { 0, 0, 0 }, [2] = { 0, 1, 0 } },
	  true,
	  4,
	  "" },
	{ "full replicas get another, in another failure domain",
	  { { "a", { { 0, 10, false } }, 1, "dddddd", false, false, 0 },
	    { "a", { { 0 } }, 0, "dddddd", false, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  3,
	  { [0] = { 0, 1, 0 } },
	  false,
	  4,
	  "2:0d " },
	{ "one whose slots are half taken gets another",
	  { { "a", { { 0, 5, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  2,
	  { [0] = { 0, 1, 0 } },
	  false,
	  4,
	  "1:0d " },
	{ "one that calls leave room on doesn't",
	  { { "a", { { 0, 4, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  2,
	  { [0] = { 0, 1, 0 } },
	  false,
	  4,
	  "" },
	{ "one without a copy is loaded for callers who were told to come back",
	  { { "a", { { 0 } }, 0, "ddsddd", false, false, 0 } },
	  1,
	  { [2] = { 0.3, 0, 0 } },
	  false,
	  4,
	  "0:2s " },
	{ "one that has a copy isn't, as it takes a moment when they do",
	  { { "a", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  1,
	  { [2] = { 0.3, 0, 0 } },
	  false,
	  4,
	  "" },
	{ "a model that many ask for is kept twice",
	  { { "a", { { 1, 0, false } }, 1, "dddddd", false, false, 0 },
	    { "b", { { 0 } }, 0, "dddddd", false, false, 0 } },
	  2,
	  { [1] = { 5, 0, 0 } },
	  false,
	  4,
	  "1:1d " },
	{ "the store isn't asked beyond its window",
	  { { "a", { { 0 } }, 0, "ssssss", false, false, 0 } },
	  1,
	  { [2] = { 0, 1, 0 } },
	  false,
	  0.5,
	  "" },
	/*
	 * Symptom: engines are taken up for seconds by loads from the store,
	 * of models that have copies elsewhere. Sequence: a rare model's
	 * copy stands where calls run; its caller gets late by a moment.
	 * Cause: late callers counted as a reason not to wait for the copy.
	 */
	{ "a copy that is out of reach is waited for, also by late callers",
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
	{ "but no longer than the store would have taken",
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
	 * Symptom: a busy model stays on one engine, dozens of callers
	 * before it. Sequence: only that engine has a copy; its replica
	 * fills up. Cause: that engine, which can't load it again, was taken
	 * for a place where the copy would soon be free.
	 */
	{ "a replica's own copy is no reason not to ask the store",
	  { { "a", { { 0, 10, false } }, 1, "dsssss", false, 0, 0 },
	    { "b", { { 0 } }, 0, "ssssss", false, 0, 0 } },
	  2,
	  { [0] = { 0, 3, 2000 } },
	  false,
	  4,
	  "1:0s " },
	/*
	 * Symptom: 40 callers a second wait before one full replica for ten
	 * seconds. Sequence: the engines that have its copies come free one
	 * at a time, and each takes a rare model with one caller first.
	 * Cause: models that no engine has went before all full ones.
	 */
	{ "many callers before a full replica go before one without any",
	  { { "a", { { 0 } }, 0, "dddddd", false, 0, 0 },
	    { "b", { { 0, 10, false } }, 1, "dsssss", false, 0, 0 } },
	  2,
	  { [0] = { 0, 5 }, [2] = { 0, 1 } },
	  false,
	  4,
	  "0:0d " },
	{ "of two with as many callers the one still in time goes first",
	  { { "a", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  1,
	  { [2] = { 0, 1, -300 }, [3] = { 0, 1, 1500 } },
	  false,
	  4,
	  "0:3d " },
	{ "of two that are late the one that has waited longer",
	  { { "a", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  1,
	  { [2] = { 0, 1, 100 }, [3] = { 0, 1, -900 } },
	  false,
	  4,
	  "0:3d " },
	{ "two replicas bear the loss of one at seven calls a second",
	  { { "a", { { 1, 0, false } }, 1, "dddddd", false, 0, 0 },
	    { "b", { { 1, 0, false } }, 1, "dddddd", false, 0, 0 },
	    { "c", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  3,
	  { [1] = { 7, 0, 0 } },
	  false,
	  4,
	  "" },
	{ "at ten there are three",
	  { { "a", { { 1, 0, false } }, 1, "dddddd", false, 0, 0 },
	    { "b", { { 1, 0, false } }, 1, "dddddd", false, 0, 0 },
	    { "c", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  3,
	  { [1] = { 10, 0, 0 } },
	  false,
	  4,
	  "2:1d " },
	/* Hundreds of prompts read on three engines, beside idle ones. */
	{ "at thirteen there are four, though few calls run",
	  { { "a", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "b", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "c", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "a", { { 0 } }, 0, "dddddd", false, 0, 0 } },
	  4,
	  { [1] = { 13, 0, 0 } },
	  false,
	  4,
	  "3:1d " },
	{ "where all engines begin more, their part and a quarter is enough",
	  { { "a", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "b", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "c", { { 1, 1, false } }, 1, "dddddd", false, 0, 0 },
	    { "a", { { 2, 1, false } }, 1, "dddddd", false, 0, 0 } },
	  4,
	  { [1] = { 18, 0, 0 }, [2] = { 6, 0, 0 } },
	  false,
	  4,
	  "1:2d " },
	{ "a replica with calls stays, though the model has another",
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
	 * Symptom: a busy model loses a replica for a rare one and gets it
	 * back a second later. Sequence: no call runs there for a moment.
	 * Cause: a replica that the calls of the moment don't need passed
	 * for one that costs nothing.
	 */
	{ "a busy model's replica stays while it has no call for a moment",
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
	{ "its calls are shared by its replicas",
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
	 * Symptom: a model is unloaded and loaded elsewhere in one pass, and
	 * the log gives no reason. Sequence: it wants a second replica; the
	 * engine of its first one is taken for a model that more callers wait
	 * for. Cause: what it wanted at the start of the pass still counted.
	 */
	{ "a model whose only replica leaves in this pass isn't loaded in it",
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
	{ "models without any copy are brought ahead",
	  { { "a", { { 0, 0, false } }, 1, "ddddds", false, false, 0 } },
	  1,
	  { [0] = { 0, 0, 0 } },
	  true,
	  4,
	  "0:5s-0 " },
	{ "loads that another leader began take up the store too",
	  { { "a", { { 0 } }, 0, "ddssss", false, 2, 0 },
	    { "b", { { 0 } }, 0, "ddssss", false, 2, 0 },
	    { "c", { { 0, 2, false } }, 1, "ddssss", false, 0, 0 } },
	  3,
	  { [0] = { 0, 0, 0 } },
	  true,
	  4,
	  "" },
	{ "loads ahead leave the store room while calls run",
	  { { "a", { { 0, 2, false } }, 1, "dddsss", false, false, 0 },
	    { "b", { { 1, 0, false } }, 1, "dddsss", false, false, 0 },
	    { "c", { { 2, 0, false } }, 1, "dddsss", false, false, 0 } },
	  3,
	  { [0] = { 0, 0, 0 } },
	  true,
	  4,
	  "0:3s 1:4s " },
	{ "nothing is brought ahead where the preset forbids it",
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
			       b->free, b->store ? " store" : "");
}

static const struct fleet_plan_ops ops = { .step = on_step };
static const struct fleet_plan_ops telling = { on_step, on_blocked };

static void make_specs(void)
{
	for (int i = 0; i < MODELS; i++)
		specs[i] =
			(struct routing_model){ .weights_mb = i == 5 ? 80 : 40,
						.store_ms = 6000,
						.disk_ms = 500,
						.memory_ms = 300 };
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
				  .free = !row->engaged,
				  .loading = -1,
				  .free_mb = 80,
				  .running = row->running,
				  .engaged = row->engaged == 2,
				  .slots = 10,
				  .tier = tiers };
	n->places = g_array_new(FALSE, FALSE, sizeof(struct fleet_place));
	for (int i = 0; i < row->n_held; i++) {
		struct fleet_place p = { .model = (uint32_t)row->held[i].model,
					 .calls = (uint32_t)row->held[i].calls,
					 .closing = row->held[i].closing };

		g_array_append_val(n->places, p);
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
					.ahead = pc->ahead };
		GString *out = g_string_new(NULL);

		for (int m = 0; m < MODELS; m++)
			models[m] = (struct fleet_model){
				.spec = &specs[m],
				.rate = pc->wants[m].rate,
				.waiting = (uint32_t)pc->wants[m].waiting,
				.slack_ms = pc->wants[m].slack_ms
			};
		for (size_t i = 0; i < pc->n_nodes; i++)
			fill_node(&pc->nodes[i], &nodes[i], models, tiers[i]);
		fleet_plan(&v, &ops, out);
		if (strcmp(out->str, pc->steps))
			fail_msg("%s: \"%s\", not \"%s\"", pc->label, out->str,
				 pc->steps);
		for (size_t i = 0; i < pc->n_nodes; i++)
			g_array_unref(nodes[i].places);
		g_string_free(out, TRUE);
	}
}

/*
 * The times to come back that callers get: at once where a replica takes
 * calls, the rest of a load where one is on its way, none where nothing is.
 */
static void wake_times_are_told(void **state)
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
	struct fleet_place held = { .model = 0 };
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
	n.places = g_array_new(FALSE, FALSE, sizeof(struct fleet_place));
	g_array_append_val(n.places, held);
	fleet_plan(&v, &ops, out);
	assert_int_equal(models[0].eta_ms, 0);
	assert_int_equal(models[1].eta_ms, 320);
	assert_int_equal(models[2].eta_ms, -1);
	g_array_unref(n.places);
	g_string_free(out, TRUE);
}

/*
 * Symptom: callers of a model that no engine has a copy of are held for six
 * seconds and then refused. Sequence: the store brings two models at a time,
 * each in 6 s, and five are asked for. Cause: nothing was told of those that
 * stand behind the others, though it follows from the store's queue.
 */
static void store_queue_is_told(void **state)
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
	for (int known = 0; known < 2; known++) {
		for (int m = 0; m < MODELS; m++)
			models[m] = (struct fleet_model){ .spec = &specs[m] };
		models[2].waiting = 3;
		models[3].waiting = 2;
		models[4].rate = 1; /* its callers were told to come back */
		models[5].waiting = 1;
		v.all_known = known;
		for (int i = 0; i < 2; i++)
			nodes[i].places = g_array_new(
				FALSE, FALSE, sizeof(struct fleet_place));
		fleet_plan(&v, &ops, out);
		assert_int_equal(models[0].eta_ms, 1000);
		assert_int_equal(models[2].eta_ms, known ? 7000 : -1);
		assert_int_equal(models[3].eta_ms, known ? 10000 : -1);
		assert_int_equal(models[4].eta_ms, known ? 13000 : -1);
		/* An engine has a copy, and nobody knows when it is free. */
		assert_int_equal(models[5].eta_ms, -1);
		for (int i = 0; i < 2; i++)
			g_array_unref(nodes[i].places);
	}
	g_string_free(out, TRUE);
}

static void rates_fade(void **state)
{
	struct fleet_rate r = { 0 };

	(void)state;
	for (int i = 1; i <= 400; i++)
		fleet_rate_add(&r, 1, i * 100);
	/* Ten a second, to the memory's precision. */
	assert_true(fleet_rate_at(&r, 40000) > 9 &&
		    fleet_rate_at(&r, 40000) < 11);
	assert_true(fleet_rate_at(&r, 100000) < 0.1);
}

/* An operator sees why callers wait: what stands in the way, and where. */
static void what_blocks_a_model_is_told(void **state)
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
	fleet_plan(&v, &telling, out);
	assert_string_equal(out->str, "blocked:2 copies 2 busy 1 full 1 "
				      "others 1 store");
	for (int i = 0; i < 3; i++)
		g_array_unref(nodes[i].places);
	g_string_free(out, TRUE);
}

struct store_row {
	size_t n;
	int64_t took_ms; /* 1,000 alone */
	bool done;
	size_t most; /* then */
};

struct store_case {
	const char *label;
	size_t limit;
	struct store_row rows[4];
};

static const struct store_case store_cases[] = {
	{ "one at once: two take twice as long",
	  4,
	  { { 1, 1010, true, 2 },
	    { 2, 1300, false, 1 },
	    { 2, 2000, true, 1 } } },
	{ "four at once: each proof doubles it, up to the limit",
	  4,
	  { { 2, 1010, true, 4 },
	    { 4, 1050, true, 4 },
	    { 4, 1000, true, 4 } } },
	{ "three at once of four that ran",
	  8,
	  { { 2, 1000, true, 4 },
	    { 4, 1340, true, 3 },
	    { 3, 1000, true, 6 } } },
	{ "a load alone proves nothing of two",
	  8,
	  { { 1, 1000, true, 2 }, { 1, 1000, true, 2 } } },
	{ "a store that is slow for one isn't asked for less than one",
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
			fleet_store_seen(&s, r->n, r->took_ms, 1000, r->done);
			if (fleet_store_most(&s, c->limit) != r->most)
				fail_msg("%s: row %d: %zu", c->label,
					 (int)(r - c->rows),
					 fleet_store_most(&s, c->limit));
		}
	}
}

static const struct {
	int64_t took_ms, part, least_ms, most_ms, pause_ms;
} pauses[] = {
	{ 0, 10, 20, 100, 20 },	 { 1, 10, 20, 100, 20 },
	{ 5, 10, 20, 100, 50 },	 { 80, 10, 20, 100, 100 },
	{ 0, 10, 0, 100, 0 },	 { -3, 50, 50, 500, 50 },
	{ 9, 50, 50, 500, 450 },
};

/* Passes over all of a large fleet that leave time for nothing else. */
static void passes_take_a_part_of_the_time(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(pauses); i++)
		assert_int_equal(
			fleet_pause_ms(pauses[i].took_ms, pauses[i].part,
				       pauses[i].least_ms, pauses[i].most_ms),
			pauses[i].pause_ms);
}

struct pin_case {
	const char *label;
	struct node_row nodes[3];
	const char *versions[3];
	size_t n_nodes;
	int waiting; /* callers whose stream v1 began, for model 2 */
	const char *steps;
	int64_t eta_ms;
};

static const struct pin_case pin_cases[] = {
	{ "another version has the model",
	  { { "a", { { 2, 0, false } }, 1, "dddddd", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "dddddd", 0, 0, 0 } },
	  { "v2", "v1" },
	  2,
	  1,
	  "1:2d ",
	  500 },
	{ "another version has the nearer copy",
	  { { "a", { { 0 } }, 0, "ssmsss", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "ssssss", 0, 0, 0 } },
	  { "v2", "v1" },
	  2,
	  1,
	  "1:2s ",
	  6000 },
	{ "their version has it",
	  { { "a", { { 2, 1, false } }, 1, "dddddd", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "dddddd", 0, 0, 0 } },
	  { "v1", "v1" },
	  2,
	  1,
	  "",
	  0 },
	{ "their version's is full",
	  { { "a", { { 2, 5, false } }, 1, "dddddd", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "ddmddd", 0, 0, 0 },
	    { "c", { { 0 } }, 0, "dddddd", 0, 0, 0 } },
	  { "v1", "v2", "v1" },
	  3,
	  2,
	  "2:2d ",
	  0 },
	{ "what they wait for isn't unloaded for others",
	  { { "a", { { 2, 0, false }, { 3, 0, false } }, 2, "dddddd", 0, 0, 0 },
	    { "b", { { 2, 0, false } }, 1, "ssssss", 0, 2, 0 } },
	  { "v1", "v2" },
	  2,
	  1,
	  "",
	  0 },
	{ "no engine is of it",
	  { { "a", { { 0 } }, 0, "dddddd", 0, 0, 0 },
	    { "b", { { 0 } }, 0, "dddddd", 0, 0, 0 } },
	  { "v2", NULL },
	  2,
	  1,
	  "",
	  -1 },
};

/* Symptom: streams that callers take up wait in vain, as only engines of
 * another version are given their model. */
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
			g_array_unref(nodes[i].places);
		g_string_free(out, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(steps_are_chosen),
		cmocka_unit_test(wake_times_are_told),
		cmocka_unit_test(pinned_callers_get_their_version),
		cmocka_unit_test(store_queue_is_told),
		cmocka_unit_test(rates_fade),
		cmocka_unit_test(what_blocks_a_model_is_told),
		cmocka_unit_test(store_speed_is_learned),
		cmocka_unit_test(passes_take_a_part_of_the_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
