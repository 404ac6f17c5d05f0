/* Tests of the plan of replicas and of the keep-alive policy. */
#include "unit.h"

#include "../src/core/plan.h"
#include "../src/core/state.h"

#define GB (1ull << 30)
#define HOUR_MS (3600 * 1000LL)
#define DAY_MS (24 * HOUR_MS)
/* A Monday, 2026-11-30, 00:00 UTC. */
#define MONDAY_MS 1795996800000LL

/* A view of the system, and a record of the decisions made from it. */
struct fake {
	struct preset preset;
	struct pacer pacer;
	GString *decisions;
	GHashTable *tiers; /* "model@node" -> enum ss_tier */
	const struct ss_arrivals *arrivals;
	struct plan_view v;
};

static enum ss_tier tier(void *arg, const char *model, const char *node)
{
	const struct fake *f = arg;
	char *key = g_strdup_printf("%s@%s", model, node);
	enum ss_tier t = (enum ss_tier)GPOINTER_TO_INT(
		g_hash_table_lookup(f->tiers, key));

	g_free(key);
	return t;
}

static const struct ss_arrivals *arrivals(void *arg, const char *model)
{
	(void)model;
	return ((struct fake *)arg)->arrivals;
}

static void load(void *arg, const struct plan_demand *d,
		 const struct plan_node *n, size_t count)
{
	g_string_append_printf(((struct fake *)arg)->decisions, "+%s@%s(%zu) ",
			       d->model, n->name, count);
}

static void unload(void *arg, const struct plan_replica *r, const char *why)
{
	(void)why;
	g_string_append_printf(((struct fake *)arg)->decisions, "-%s ",
			       r->model);
}

static const struct plan_ops ops = { load, unload };

static void start(struct fake *f)
{
	memset(f, 0, sizeof(*f));
	assert_true(
		preset_parse(&f->preset, "p", ss_str(preset_built_in), NULL));
	f->decisions = g_string_new(NULL);
	f->tiers = g_hash_table_new(g_str_hash, g_str_equal);
	pacer_init(&f->pacer, 0);
	f->pacer.tokens = 100;
	f->v.now = 10000;
	f->v.preset = &f->preset;
	f->v.tier = tier;
	f->v.arrivals = arrivals;
	f->v.arg = f;
}

static void stop(struct fake *f)
{
	preset_clear(&f->preset);
	g_string_free(f->decisions, TRUE);
	g_hash_table_unref(f->tiers);
}

#define NODE(nm, dom, total, taken)                                            \
	{                                                                      \
		.name = (nm), .domain = (dom), .pool = "p", .bytes = (total),  \
		.used = (taken), .usable = true                                \
	}
#define DEMAND(m, size, n, slack)                                              \
	{                                                                      \
		.model = (m), .base = "", .pool = "p", .bytes = (size),        \
		.slots = 4, .waiting = (n), .slack_ms = (slack), .priority = 4 \
	}
#define REPLICA(i, m, at, size, st, idle)                                      \
	{                                                                      \
		.id = (i), .model = (m), .base = "", .node = (at),             \
		.bytes = (size), .slots = 4, .state = (st), .idle_ms = (idle), \
		.age_ms = 60000                                                \
	}

struct plan_case {
	const char *label;
	struct plan_node nodes[3];
	struct plan_replica replicas[4];
	struct plan_demand demands[4];
	const char *on_disk; /* "model@node" with the checkpoint on disk */
	const char *pinned;
	const char *want; /* decisions, in order */
};

static const struct plan_case cases[] = {
	{ .label = "an unloaded model is placed where memory is free",
	  .nodes = { NODE("a", "x", 10 * GB, 8 * GB),
		     NODE("b", "y", 10 * GB, 0) },
	  .demands = { DEMAND("m", 4 * GB, 1, 9000) },
	  .want = "+m@b(0) " },
	{ .label = "a burst of calls for one model causes one load",
	  .nodes = { NODE("a", "x", 10 * GB, 4 * GB),
		     NODE("b", "y", 10 * GB, 0) },
	  .replicas = { REPLICA(1, "m", 0, 4 * GB, REPLICA_LOADING, 0) },
	  .demands = { DEMAND("m", 4 * GB, 50, 900000) },
	  .want = "" },
	{ .label = "a second replica when the deadlines need it",
	  .nodes = { NODE("a", "x", 10 * GB, 4 * GB),
		     NODE("b", "y", 10 * GB, 0) },
	  .replicas = { REPLICA(1, "m", 0, 4 * GB, REPLICA_READY, 0) },
	  .demands = { DEMAND("m", 4 * GB, 50, 10000) },
	  .want = "+m@b(1) " },
	{ .label = "the node with the nearest checkpoint is preferred",
	  .nodes = { NODE("a", "x", 10 * GB, 0), NODE("b", "y", 10 * GB, 0) },
	  .demands = { DEMAND("m", 4 * GB, 1, 9000) },
	  .on_disk = "m@b",
	  .want = "+m@b(0) " },
	{ .label = "the longest idle replica is evicted, and the load waits "
		   "for it",
	  .nodes = { NODE("a", "x", 10 * GB, 8 * GB) },
	  .replicas = { REPLICA(1, "young", 0, 4 * GB, REPLICA_READY, 1000),
			REPLICA(2, "old", 0, 4 * GB, REPLICA_READY, 4000) },
	  .demands = { DEMAND("m", 4 * GB, 1, 9000) },
	  .want = "-old " },
	{ .label = "an unload in progress is waited for",
	  .nodes = { NODE("a", "x", 10 * GB, 8 * GB) },
	  .replicas = { REPLICA(1, "young", 0, 4 * GB, REPLICA_READY, 1000),
			REPLICA(2, "old", 0, 4 * GB, REPLICA_UNLOADING, 0) },
	  .demands = { DEMAND("m", 4 * GB, 1, 9000) },
	  .want = "" },
	{ .label = "no replica with demand or pinned is evicted",
	  .nodes = { NODE("a", "x", 10 * GB, 10 * GB) },
	  .replicas = { REPLICA(1, "w", 0, 5 * GB, REPLICA_READY, 9000),
			REPLICA(2, "pin", 0, 5 * GB, REPLICA_READY, 9000) },
	  .demands = { DEMAND("m", 4 * GB, 1, 9000),
		       DEMAND("w", 5 * GB, 1, 9000) },
	  .pinned = "pin",
	  .want = "" },
	{ .label = "a replica on a lost node is replaced on another node",
	  .nodes = { { .name = "a",
		       .domain = "x",
		       .pool = "p",
		       .bytes = 10 * GB,
		       .used = 4 * GB },
		     NODE("b", "y", 10 * GB, 0) },
	  .replicas = { REPLICA(1, "m", 0, 4 * GB, REPLICA_READY, 0) },
	  .demands = { DEMAND("m", 4 * GB, 1, 9000) },
	  .want = "+m@b(1) " },
	{ .label = "models with earlier deadlines are loaded first",
	  .nodes = { NODE("a", "x", 90 * GB, 0) },
	  .demands = { DEMAND("late", GB, 1, 90000), DEMAND("soon", GB, 1, 900),
		       DEMAND("mid", GB, 1, 9000) },
	  .want = "+soon@a(0) +mid@a(0) +late@a(0) " },
	{ .label = "an adapter's base model is loaded first",
	  .nodes = { NODE("a", "x", 90 * GB, 0) },
	  .demands = { { .model = "ad",
			 .base = "m",
			 .pool = "p",
			 .bytes = GB,
			 .waiting = 1,
			 .slack_ms = 900,
			 .slots = 1 },
		       DEMAND("m", 4 * GB, 1, 900) },
	  .want = "+m@a(0) " },
	{ .label = "a replica idle for a day is unloaded",
	  .nodes = { NODE("a", "x", 10 * GB, 4 * GB) },
	  .replicas = { REPLICA(1, "m", 0, 4 * GB, REPLICA_READY, DAY_MS) },
	  .want = "-m " },
	{ .label = "a failed load is unloaded",
	  .nodes = { NODE("a", "x", 10 * GB, 4 * GB) },
	  .replicas = { { .id = 1,
			  .model = "m",
			  .base = "",
			  .bytes = 4 * GB,
			  .state = REPLICA_LOADING,
			  .failed = true } },
	  .want = "-m " },
};

static void plan_cases(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct plan_case c = cases[i];
		struct fake f;

		start(&f);
		while (f.v.n_nodes < 3 && c.nodes[f.v.n_nodes].name)
			f.v.n_nodes++;
		while (f.v.n_replicas < 4 && c.replicas[f.v.n_replicas].model)
			f.v.n_replicas++;
		while (f.v.n_demands < 4 && c.demands[f.v.n_demands].model)
			f.v.n_demands++;
		f.v.nodes = c.nodes;
		f.v.replicas = c.replicas;
		f.v.demands = c.demands;
		if (c.on_disk)
			g_hash_table_insert(f.tiers, (char *)c.on_disk,
					    GINT_TO_POINTER(TIER_DISK));
		if (c.pinned)
			g_ptr_array_add(f.preset.pinned, g_strdup(c.pinned));
		plan_run(&f.v, &f.pacer, &ops, &f);
		if (strcmp(f.decisions->str, c.want))
			fail_msg("%s: %s, not %s", c.label, f.decisions->str,
				 c.want);
		stop(&f);
	}
}

/*
 * Guards against an overloaded weight store, which slows all loads down:
 * twenty models are requested at the same time, and their loads aren't limited.
 */
static void store_is_paced(void **state)
{
	struct plan_node nodes[] = { NODE("a", "x", 90 * GB, 0) };
	struct plan_demand d[6];
	char names[6][8];
	struct fake f;

	(void)state;
	start(&f);
	f.preset.store_parallel = 4;
	for (int i = 0; i < 6; i++) {
		struct plan_demand one = DEMAND(names[i], GB, 1, 9000);

		g_snprintf(names[i], sizeof(names[i]), "m%d", i);
		d[i] = one;
	}
	f.v.nodes = nodes;
	f.v.n_nodes = 1;
	f.v.demands = d;
	f.v.n_demands = 6;
	plan_run(&f.v, &f.pacer, &ops, &f);
	assert_string_equal(f.decisions->str,
			    "+m0@a(0) +m1@a(0) +m2@a(0) +m3@a(0) ");
	assert_string_equal(d[5].why, "waits for the weight store's pace");
	stop(&f);
}

static struct ss_wall utc(int64_t ms)
{
	return (struct ss_wall){ .ms = ms };
}

/* Returns n arrivals at equal gaps. */
static struct ss_arrivals arrivals_every(int64_t gap, int n)
{
	struct ss_arrivals a = { 0 };

	for (int i = 0; i < n; i++)
		ss_arrivals_add(&a, NULL, utc(MONDAY_MS + i * gap));
	return a;
}

struct keep_case {
	const char *label;
	int64_t gap;
	int n;
	double weight;
	int64_t least, most; /* bounds of the keep-alive time */
};

static const struct keep_case keep_cases[] = {
	{ "used every minute: kept for longer than the gap", 60000, 50, 0.5,
	  60000, 120000 },
	{ "used once a day, idle memory weighs most: unloaded at once", DAY_MS,
	  10, 0.1, 1000, 1000 },
	{ "used every ten minutes, cold starts weigh most: kept", 600000, 50,
	  0.9, 600000, 1200000 },
	{ "only idle memory counts", 60000, 50, 0, 1000, 1000 },
	{ "only cold starts count", 60000, 50, 1, 60000, HOUR_MS },
	{ "one arrival", 0, 1, 0.5, 1000, 1000 },
};

static void idle_time_follows_history(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(keep_cases); i++) {
		const struct keep_case *k = &keep_cases[i];
		struct ss_arrivals a = arrivals_every(k->gap, k->n);
		struct ss_keep_costs c = { .cold_weight = k->weight,
					   .load_ms = 8000,
					   .share = 0.2,
					   .min_ms = 1000,
					   .max_ms = HOUR_MS };
		int64_t ms = ss_keep_ms(&a, NULL, &c);

		if (ms < k->least || ms > k->most)
			fail_msg("%s: %" PRId64, k->label, ms);
	}
}

/* One arrival on each of four days, at the same time after midnight. */
static struct ss_arrivals four_days_at(int64_t ms)
{
	struct ss_arrivals a = { 0 };

	for (int day = 0; day < 4; day++)
		ss_arrivals_add(&a, NULL, utc(MONDAY_MS + day * DAY_MS + ms));
	return a;
}

/* A daily arrival at eight is predicted after some days, not after one. */
static void daily_arrival_is_preloaded(void **state)
{
	struct ss_keep_costs c = { .cold_weight = 0.8,
				   .load_ms = 10000,
				   .share = 0.2 };
	int64_t eight = 8 * HOUR_MS;
	struct ss_wall fifth = utc(MONDAY_MS + 4 * DAY_MS + eight);
	struct ss_arrivals once = { 0 }, a = four_days_at(eight + 60000);

	(void)state;
	ss_arrivals_add(&once, NULL, utc(MONDAY_MS + eight + 60000));
	assert_false(ss_wake_ahead(&once, utc(MONDAY_MS + DAY_MS + eight), &c));
	assert_true(ss_wake_ahead(&a, fifth, &c));
	assert_false(ss_wake_ahead(
		&a, utc(MONDAY_MS + 4 * DAY_MS + 2 * HOUR_MS), &c));
	c.cold_weight = 0;
	assert_false(ss_wake_ahead(&a, fifth, &c));
}

/*
 * Guards against a preload that is hours late after a change of leader: two VMs
 * with different time zones evaluate the same history. The decision must not
 * read the time zone of its process.
 */
static void process_time_zone_is_ignored(void **state)
{
	static const char *const zones[] = { "UTC", "Pacific/Auckland",
					     "XXX+7:30" };
	struct ss_keep_costs c = { .cold_weight = 0.8,
				   .load_ms = 10000,
				   .share = 0.2 };
	struct ss_wall fifth = utc(MONDAY_MS + 4 * DAY_MS + 8 * HOUR_MS);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(zones); i++) {
		struct ss_arrivals a = four_days_at(8 * HOUR_MS + 60000);
		bool preloaded;

		setenv("TZ", zones[i], 1);
		tzset();
		preloaded = ss_wake_ahead(&a, fifth, &c);
		setenv("TZ", "UTC", 1);
		tzset();
		if (!preloaded)
			fail_msg("%s: not preloaded", zones[i]);
	}
}

struct local_case {
	const char *label;
	/* UTC offsets of the history and of the decision, in hours. */
	int64_t before_h, after_h;
	int64_t now_h; /* time of the decision on the fifth day, in UTC */
	bool preloaded;
};

static const struct local_case local_cases[] = {
	{ "east, 08:00 local is 06:00 UTC: preloaded at 06:00", 2, 2, 6, true },
	{ "east, 08:00 UTC is 10:00 local: not preloaded", 2, 2, 8, false },
	{ "west, 08:00 local is 13:00 UTC: preloaded at 13:00", -5, -5, 13,
	  true },
	{ "after clocks go back: preloaded an hour later in UTC", 2, 1, 7,
	  true },
	{ "after clocks go back: not at the old hour", 2, 1, 6, false },
	{ "after clocks go forward: preloaded an hour earlier in UTC", 1, 2, 6,
	  true },
	{ "east, 23:00 UTC on Thursday is a Friday there: preloaded", 9, 9, -1,
	  true },
	{ "east, 23:00 UTC on Friday is a Saturday there: not preloaded", 9, 9,
	  23, false },
	{ "west, a clock that was never set: not preloaded", -5, -5,
	  -MONDAY_MS / HOUR_MS - 96, false },
};

/* A daily arrival follows the local time, also when the UTC offset changes. */
static void preload_follows_local_time(void **state)
{
	struct ss_keep_costs c = { .cold_weight = 0.8,
				   .load_ms = 10000,
				   .share = 0.2 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(local_cases); i++) {
		const struct local_case *k = &local_cases[i];
		int64_t before = k->before_h * HOUR_MS;
		struct ss_arrivals a = { 0 };
		struct ss_wall at = { .utc_offset_ms = before };
		bool preloaded;

		for (int day = 0; day < 4; day++) {
			at.ms = MONDAY_MS + day * DAY_MS + 8 * HOUR_MS + 60000 -
				before;
			ss_arrivals_add(&a, NULL, at);
		}
		at.ms = MONDAY_MS + 4 * DAY_MS + k->now_h * HOUR_MS;
		at.utc_offset_ms = k->after_h * HOUR_MS;
		preloaded = ss_wake_ahead(&a, at, &c);
		if (preloaded != k->preloaded)
			fail_msg("%s: %d", k->label, preloaded);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(plan_cases),
		cmocka_unit_test(store_is_paced),
		cmocka_unit_test(idle_time_follows_history),
		cmocka_unit_test(daily_arrival_is_preloaded),
		cmocka_unit_test(process_time_zone_is_ignored),
		cmocka_unit_test(preload_follows_local_time),
	};

	return cmocka_run_group_tests_name("plan", tests, NULL, NULL);
}
