/*
 * Compares the planner's load and unload decisions with baseline policies: the
 * production planner on a virtual clock, over synthetic traces of two
 * deployments. The time of a load follows from the model's size and from the
 * tier where the node finds it; nothing else is modelled.
 */
#include <math.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#include "../src/base/hist.h"
#include "../src/core/plan.h"
#include "../src/core/state.h"

#define GB (1ull << 30)
#define HOUR_MS (3600 * 1000LL)
#define DAY_MS (24 * HOUR_MS)
/* Start of the traces: Monday, 2026-11-30, 00:00 UTC. */
#define START_MS 1795996800000LL
#define DAYS 5
#define MEASURED_FROM_MS (3 * DAY_MS) /* earlier days only build up history */
#define STEP_MS 1000
#define STORE_MB_S 2000.0
#define LOAD_OVERHEAD_MS 50
#define CALL_MS 3000
#define NODE_CHECKPOINTS 12 /* kept on a node's disk */
#define MODELS_MAX 128
#define NODES_MAX 32

struct deployment {
	const char *name;
	int nodes, models;
	uint64_t node_bytes;
	int open_hour, close_hour; /* of interactive use */
	double sessions_per_hour;
	int batch_models, batch_calls, batch_hour;
	int store_per_minute;
	int weight;	     /* cold_weight of its preset */
	uint64_t first_seed; /* of its traces */
};

static const struct deployment deployments[] = {
	{ "dotace", 18, 100, 80 * GB, 8, 17, 60, 20, 40, 22, 600, 25, 100 },
	{ "tanfolyam", 12, 65, 80 * GB, 16, 22, 90, 12, 40, 1, 420, 75, 200 },
};

struct arrival {
	int64_t at; /* ms since the start of the traces */
	int model;
};

struct policy {
	const char *name;
	int64_t keep_min, keep_max; /* ms; equal: a fixed keep time */
	bool preloads, random;
	int weight; /* cold_weight; -1: the deployment's */
};

static const struct policy policies[] = {
	{ "never unload", DAY_MS, DAY_MS, false, false, 50 },
	{ "keep 60 min", HOUR_MS, HOUR_MS, false, false, 50 },
	{ "keep 15 min", HOUR_MS / 4, HOUR_MS / 4, false, false, 50 },
	{ "keep 5 min", HOUR_MS / 12, HOUR_MS / 12, false, false, 50 },
	{ "keep 1 min", HOUR_MS / 60, HOUR_MS / 60, false, false, 50 },
	{ "unload at once", 0, 0, false, false, 50 },
	{ "keep 5 min, random place", HOUR_MS / 12, HOUR_MS / 12, false, true,
	  50 },
	{ "history, weight 10", 5000, 4 * HOUR_MS, true, false, 10 },
	{ "history, weight 25", 5000, 4 * HOUR_MS, true, false, 25 },
	{ "history, weight 50", 5000, 4 * HOUR_MS, true, false, 50 },
	{ "history, weight 75", 5000, 4 * HOUR_MS, true, false, 75 },
	{ "history, weight 90", 5000, 4 * HOUR_MS, true, false, 90 },
	{ "history, not ahead", 5000, 4 * HOUR_MS, false, false, -1 },
};

struct replica {
	int model, node; /* node -1: unloaded */
	int state;
	int64_t born, ready_at, idle_since, busy_until; /* ms, as arrivals */
};

struct world {
	const struct deployment *d;
	const struct policy *p;
	struct preset preset;
	struct pacer pacer;
	uint64_t rng;
	char model_names[MODELS_MAX][16], node_names[NODES_MAX][16];
	uint64_t bytes[MODELS_MAX];
	int64_t last_load[MODELS_MAX];
	GArray *replicas;			 /* struct replica */
	GArray *trace;				 /* struct arrival */
	int cached[NODES_MAX][NODE_CHECKPOINTS]; /* model + 1; 0: none */
	struct ss_arrivals arrivals[MODELS_MAX], all;
	GArray *waiting[MODELS_MAX]; /* int64_t: arrival times */
	bool preloads[MODELS_MAX];
	int64_t now;
	/* Results. */
	struct hist cold;  /* waits for a ready replica, ms */
	double idle_hours; /* of accelerators */
	uint64_t calls, cold_calls, loads;
};

static double uniform(struct world *w)
{
	return (double)(ss_random(&w->rng) >> 11) / 9007199254740992.0;
}

static double exponential(struct world *w, double mean)
{
	return -mean * log(1 - uniform(w));
}

/* Picks a model at random: a few are popular, with a long tail. */
static int pick_model(struct world *w)
{
	double u = uniform(w);

	return (int)((double)w->d->models * u * u * u);
}

static gint compare_arrivals(gconstpointer a, gconstpointer b)
{
	const struct arrival *x = a, *y = b;

	return x->at < y->at ? -1 : x->at > y->at;
}

static void add_session(struct world *w, int64_t at, int model)
{
	int n = 2 + (int)(uniform(w) * 12);

	for (int i = 0; i < n; i++) {
		struct arrival a = { at, model };

		g_array_append_val(w->trace, a);
		at += (int64_t)exponential(w, 60000);
	}
}

static void make_day(struct world *w, int day)
{
	const struct deployment *d = w->d;
	int64_t open = day * DAY_MS + d->open_hour * HOUR_MS;
	int64_t close = day * DAY_MS + d->close_hour * HOUR_MS;
	int64_t night = day * DAY_MS + d->batch_hour * HOUR_MS;
	double mean = (double)HOUR_MS / d->sessions_per_hour;

	/* The surge at opening requests the same models each day. */
	for (int m = 0; m < d->models / 4; m++)
		add_session(w, open + (int64_t)(uniform(w) * 120000), m);
	for (int64_t t = open; t < close; t += (int64_t)exponential(w, mean))
		add_session(w, t, pick_model(w));
	for (int m = 0; m < d->batch_models; m++)
		for (int i = 0; i < d->batch_calls; i++) {
			struct arrival a = { night + m * 60000 + i * 2000,
					     d->models - 1 - m };

			g_array_append_val(w->trace, a);
		}
}

static enum ss_tier real_tier(const struct world *w, int model, int node)
{
	for (int i = 0; i < NODE_CHECKPOINTS; i++)
		if (w->cached[node][i] == model + 1)
			return TIER_DISK;
	return TIER_REMOTE;
}

static int name_index(const char *name)
{
	return atoi(name + 1);
}

static enum ss_tier tier_of(void *arg, const char *model, const char *node)
{
	struct world *w = arg;

	/* Random placement: the planner gets random tiers. */
	if (w->p->random)
		return (enum ss_tier)(ss_random(&w->rng) % 3);
	return real_tier(w, name_index(model), name_index(node));
}

static const struct ss_arrivals *arrivals_of(void *arg, const char *model)
{
	return &((struct world *)arg)->arrivals[name_index(model)];
}

static void keep_checkpoint(struct world *w, int model, int node)
{
	int *c = w->cached[node];
	int at = NODE_CHECKPOINTS - 1;

	for (int i = 0; i < NODE_CHECKPOINTS; i++)
		if (c[i] == model + 1)
			at = i;
	memmove(c + 1, c, (size_t)at * sizeof(*c));
	c[0] = model + 1;
}

static void start_load(void *arg, const struct plan_demand *d,
		       const struct plan_node *n, size_t count)
{
	static const double factor[] = { 1, 0.4, 0.1 }; /* by ss_tier */
	struct world *w = arg;
	struct replica r = { .model = name_index(d->model),
			     .node = name_index(n->name),
			     .state = REPLICA_LOADING,
			     .born = w->now };
	double ms = (double)d->bytes / 1e6 / STORE_MB_S * 1e3;

	(void)count;
	ms *= factor[real_tier(w, r.model, r.node)];
	r.ready_at = w->now + LOAD_OVERHEAD_MS + (int64_t)ms;
	keep_checkpoint(w, r.model, r.node);
	w->loads += w->now >= MEASURED_FROM_MS;
	g_array_append_val(w->replicas, r);
}

static void remove_replica(void *arg, const struct plan_replica *r,
			   const char *why)
{
	struct world *w = arg;

	(void)why;
	g_array_index(w->replicas, struct replica, r->id).node = -1;
}

static const struct plan_ops ops = { start_load, remove_replica };

static void add_demand(struct world *w, GArray *demands, int m)
{
	struct plan_demand d = { .model = w->model_names[m],
				 .base = "",
				 .pool = "",
				 .bytes = w->bytes[m],
				 .slots = 16,
				 .waiting = w->waiting[m]->len,
				 .slack_ms = 30000,
				 .priority = 5 };

	if (d.waiting == 0) {
		if (!w->preloads[m])
			return;
		d.preload = true;
	}
	g_array_append_val(demands, d);
}

static void run_planner(struct world *w)
{
	struct plan_node nodes[NODES_MAX];
	GArray *replicas =
		g_array_new(FALSE, FALSE, sizeof(struct plan_replica));
	GArray *demands = g_array_new(FALSE, FALSE, sizeof(struct plan_demand));
	struct plan_view v = { .now = w->now,
			       .preset = &w->preset,
			       .nodes = nodes,
			       .n_nodes = (size_t)w->d->nodes,
			       .tier = tier_of,
			       .arrivals = arrivals_of,
			       .prior = &w->all,
			       .arg = w };

	for (int i = 0; i < w->d->nodes; i++)
		nodes[i] = (struct plan_node){ .name = w->node_names[i],
					       .domain = "d",
					       .pool = "",
					       .bytes = w->d->node_bytes,
					       .usable = true };
	for (guint i = 0; i < w->replicas->len; i++) {
		struct replica *x =
			&g_array_index(w->replicas, struct replica, i);
		struct plan_replica r = { .id = i,
					  .base = "",
					  .model = w->model_names[x->model],
					  .node = x->node,
					  .slots = 16,
					  .bytes = w->bytes[x->model],
					  .state = x->state,
					  .age_ms = w->now - x->born };

		if (x->node < 0)
			continue;
		r.active = x->busy_until > w->now;
		r.idle_ms = r.active ? 0 : w->now - x->idle_since;
		nodes[x->node].used += r.bytes;
		g_array_append_val(replicas, r);
	}
	for (int m = 0; m < w->d->models; m++)
		add_demand(w, demands, m);
	v.replicas = (struct plan_replica *)replicas->data;
	v.n_replicas = replicas->len;
	v.demands = (struct plan_demand *)demands->data;
	v.n_demands = demands->len;
	plan_run(&v, &w->pacer, &ops, w);
	g_array_unref(replicas);
	g_array_unref(demands);
}

static struct replica *ready_replica(struct world *w, int model)
{
	for (guint i = 0; i < w->replicas->len; i++) {
		struct replica *r =
			&g_array_index(w->replicas, struct replica, i);

		if (r->node >= 0 && r->model == model &&
		    r->state == REPLICA_READY)
			return r;
	}
	return NULL;
}

static void serve(struct world *w, struct replica *r, int64_t arrived_ms)
{
	int64_t waited = MAX(w->now - arrived_ms, 0);

	r->busy_until = MAX(r->busy_until, w->now + CALL_MS);
	r->idle_since = r->busy_until;
	if (arrived_ms < MEASURED_FROM_MS)
		return;
	w->calls++;
	w->cold_calls += waited > 0;
	hist_add(&w->cold, (uint64_t)waited);
}

static void finish_loads(struct world *w)
{
	for (guint i = 0; i < w->replicas->len; i++) {
		struct replica *r =
			&g_array_index(w->replicas, struct replica, i);
		GArray *q;

		if (r->node < 0 || r->state != REPLICA_LOADING ||
		    r->ready_at > w->now)
			continue;
		r->state = REPLICA_READY;
		r->idle_since = w->now;
		pacer_loaded(&w->pacer, w->bytes[r->model],
			     r->ready_at - r->born);
		q = w->waiting[r->model];
		for (guint k = 0; k < q->len; k++)
			serve(w, r, g_array_index(q, int64_t, k));
		g_array_set_size(q, 0);
	}
}

static void count_idle(struct world *w)
{
	if (w->now < MEASURED_FROM_MS)
		return;
	for (guint i = 0; i < w->replicas->len; i++) {
		const struct replica *r =
			&g_array_index(w->replicas, struct replica, i);

		if (r->node >= 0 && r->busy_until <= w->now)
			w->idle_hours += (double)w->bytes[r->model] /
					 (double)w->d->node_bytes * STEP_MS /
					 HOUR_MS;
	}
}

/* Converts trace time to wall-clock time; days begin at midnight UTC. */
static struct ss_wall wall_at(int64_t ms)
{
	return (struct ss_wall){ .ms = START_MS + ms };
}

static void predict_preloads(struct world *w)
{
	struct ss_keep_costs c = {
		.cold_weight = (double)w->preset.cold_weight / 100
	};

	for (int m = 0; w->p->preloads && m < w->d->models; m++) {
		c.load_ms = pacer_load_ms(&w->pacer, w->bytes[m], TIER_REMOTE);
		c.share = (double)w->bytes[m] / (double)w->d->node_bytes;
		w->preloads[m] =
			ss_wake_ahead(&w->arrivals[m], wall_at(w->now), &c);
	}
}

static void compact_replicas(struct world *w)
{
	for (guint i = w->replicas->len; i-- > 0;)
		if (g_array_index(w->replicas, struct replica, i).node < 0)
			g_array_remove_index_fast(w->replicas, i);
}

static void step(struct world *w, guint *next)
{
	finish_loads(w);
	while (*next < w->trace->len) {
		struct arrival *a =
			&g_array_index(w->trace, struct arrival, *next);
		struct replica *r;

		if (a->at > w->now)
			break;
		(*next)++;
		ss_arrivals_add(&w->arrivals[a->model], &w->all,
				wall_at(a->at));
		r = ready_replica(w, a->model);
		/* The simulation step's length doesn't count as waiting. */
		if (r)
			serve(w, r, w->now);
		else
			g_array_append_val(w->waiting[a->model], a->at);
	}
	if (w->now % 60000 == 0)
		predict_preloads(w);
	run_planner(w);
	compact_replicas(w);
	count_idle(w);
}

static void world_init(struct world *w, const struct deployment *d,
		       const struct policy *p, uint64_t seed)
{
	memset(w, 0, sizeof(*w));
	w->d = d;
	w->p = p;
	w->rng = seed;
	w->replicas = g_array_new(FALSE, FALSE, sizeof(struct replica));
	w->trace = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	pacer_init(&w->pacer, 0);
	preset_parse(&w->preset, "p", ss_str(preset_built_in), NULL);
	w->preset.keep_min_ms = p->keep_min;
	w->preset.keep_max_ms = p->keep_max;
	w->preset.cold_weight = p->weight < 0 ? d->weight : p->weight;
	w->preset.store_per_minute = d->store_per_minute;
	w->preset.max_replicas = 1;
	for (int m = 0; m < d->models; m++) {
		g_snprintf(w->model_names[m], 16, "m%d", m);
		w->bytes[m] =
			(4 + (uint64_t)(uniform(w) * uniform(w) * 60)) * GB;
		w->waiting[m] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	for (int i = 0; i < d->nodes; i++)
		g_snprintf(w->node_names[i], 16, "n%d", i);
	for (int day = 0; day < DAYS; day++)
		make_day(w, day);
	g_array_sort(w->trace, compare_arrivals);
}

static void world_clear(struct world *w)
{
	for (int m = 0; m < w->d->models; m++)
		g_array_unref(w->waiting[m]);
	g_array_unref(w->replicas);
	g_array_unref(w->trace);
	preset_clear(&w->preset);
}

struct point {
	double cold_s, idle;
};

static void print_svg(FILE *f, const struct deployment *d,
		      const struct point *pts, int row)
{
	double max_idle = 0, max_cold = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		max_idle = MAX(max_idle, pts[i].idle);
		max_cold = MAX(max_cold, pts[i].cold_s);
	}
	fprintf(f,
		"<g transform=\"translate(60,%d)\"><text x=\"200\" y=\"0\">"
		"%s: p99 cold start (up, to %.1f s) against idle "
		"accelerator hours (right, to %.0f)</text>"
		"<path d=\"M0 10V310H640\" fill=\"none\" stroke=\"black\"/>",
		row * 360 + 30, d->name, max_cold, max_idle);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		double x = 10 + pts[i].idle / MAX(max_idle, 1e-9) * 560;
		double y = 305 - pts[i].cold_s / MAX(max_cold, 1e-9) * 280;
		bool is_history = g_str_has_prefix(policies[i].name, "history");

		fprintf(f,
			"<circle cx=\"%.0f\" cy=\"%.0f\" r=\"4\" "
			"fill=\"%s\"/><text x=\"%.0f\" y=\"%.0f\" "
			"font-size=\"9\">%s</text>",
			x, y, is_history ? "blue" : "gray", x + 6, y + 3,
			policies[i].name);
	}
	fprintf(f, "</g>\n");
}

static struct point run_policy(const struct deployment *d,
			       const struct policy *p, int rounds, bool unseen)
{
	struct hist cold = { 0 };
	double idle = 0;
	uint64_t calls = 0, colds = 0, loads = 0;
	struct point pt;

	for (int k = 0; k < rounds; k++) {
		struct world w;
		guint next = 0;

		world_init(&w, d, p,
			   d->first_seed + (uint64_t)k + (unseen ? 1000 : 0));
		for (w.now = 0; w.now < DAYS * DAY_MS; w.now += STEP_MS)
			step(&w, &next);
		hist_merge(&cold, &w.cold);
		idle += w.idle_hours;
		calls += w.calls;
		colds += w.cold_calls;
		loads += w.loads;
		world_clear(&w);
	}
	pt.idle = idle / rounds;
	pt.cold_s = (double)hist_quantile(&cold, 0.99) / 1e3;
	printf("  %-26s %6.2f %6.2f %6.2f  %6.2f %%  %8.1f  %7.0f\n", p->name,
	       (double)hist_quantile(&cold, 0.5) / 1e3,
	       (double)hist_quantile(&cold, 0.95) / 1e3, pt.cold_s,
	       100.0 * (double)colds / (double)MAX(calls, 1), pt.idle,
	       (double)loads / rounds);
	fflush(stdout);
	return pt;
}

int main(int argc, const char **argv)
{
	int rounds = 2, unseen = 0;
	const char *svg = NULL;
	struct poptOption options[] = {
		{ "rounds", 'r', POPT_ARG_INT, &rounds, 0, "seeds per policy",
		  NULL },
		{ "unseen", 'u', POPT_ARG_NONE, &unseen, 0,
		  "the traces that were kept apart", NULL },
		{ "svg", 0, POPT_ARG_STRING, &svg, 0, "write a plot", "FILE" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx =
		poptGetContext("measure policy", argc, argv, options, 0);
	FILE *f = NULL;

	while (poptGetNextOpt(ctx) >= 0)
		;
	if (svg && (f = fopen(svg, "w")))
		fprintf(f, "<svg xmlns=\"http://www.w3.org/2000/svg\" "
			   "width=\"820\" height=\"740\" "
			   "font-family=\"sans-serif\" font-size=\"12\">\n");
	for (size_t k = 0; k < G_N_ELEMENTS(deployments); k++) {
		struct point pts[G_N_ELEMENTS(policies)];

		printf("%s, 2 days after 3 of history, %d seeds%s\n"
		       "  %-26s wait for a cold start (s)  cold calls  idle h  "
		       " "
		       "loads\n  %-26s    p50    p95    p99\n",
		       deployments[k].name, rounds,
		       unseen ? ", unseen traces" : "", "", "");
		for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
			pts[i] = run_policy(&deployments[k], &policies[i],
					    rounds, unseen);
		if (f)
			print_svg(f, &deployments[k], pts, (int)k);
	}
	if (f) {
		fprintf(f, "</svg>\n");
		fclose(f);
	}
	poptFreeContext(ctx);
	return 0;
}
