/*
 * Compares the schemes that enforce customers' limits, in simulated time: each
 * runs the same scenarios of load and faults. With --classes, compares instead
 * how requests of several classes share one limit.
 */
#include <popt.h>
#include <stdio.h>

#include "../test/quota_world.h"

static const struct quota_scheme *const schemes[] = { &quota_even, &quota_lease,
						      &quota_owner };

/* A small fleet, a large one and the planned one, each by customer count. */
static const struct {
	int entries, customers;
	double requests_per_s;
} sizes[] = {
	{ 31, 16, 260 },    { 105, 16, 900 },	 { 340, 16, 1600 },
	{ 31, 1000, 260 },  { 105, 1000, 900 },	 { 340, 1000, 1600 },
	{ 31, 10000, 260 }, { 105, 10000, 900 }, { 340, 10000, 1600 },
};

#define SCENARIO_MS 40000

static const struct world_event no_events[] = { { .at_ms = 0 } };
static const struct world_event hot[] = {
	{ 8000, WORLD_HOT, 12000, 1, 3, 6 },
};
static const struct world_event leader[] = {
	{ 10000, WORLD_LEADER_LOSS, 1500, 0, 0, 0 },
	{ 25000, WORLD_LEADER_LOSS, 1500, 0, 0, 0 },
};
static const struct world_event power[] = {
	{ 10000, WORLD_POWER_LOSS, 1500, 0, 0, 0 },
	{ 25000, WORLD_POWER_LOSS, 1500, 0, 0, 0 },
};
static const struct world_event cuts[] = {
	{ 10000, WORLD_PARTITION, 4000, 0, 8, 0 },
	{ 20000, WORLD_FREEZE, 4000, 0, 8, 0 },
	{ 28000, WORLD_RESTART, 500, 0, 8, 0 },
};
static const struct world_event faults[] = {
	{ 6000, WORLD_PARTITION, 4000, 2, 3, 0 },
	{ 9000, WORLD_HOT, 8000, 0, 1, 12 },
	{ 14000, WORLD_LEADER_LOSS, 1500, 0, 0, 0 },
	{ 16000, WORLD_PARTITION, 6000, 0, 1, 0 },
	{ 20000, WORLD_FREEZE, 3000, 4, 4, 0 },
	{ 25000, WORLD_RESTART, 500, 8, 6, 0 },
	{ 28000, WORLD_POWER_LOSS, 1500, 0, 0, 0 },
	{ 33000, WORLD_SLOW, 4000, 0, 5, 0 },
};
static const struct world_event changes[] = {
	{ 6000, WORLD_LIMIT, 0, 0, 2, 0.1 },
	{ 16000, WORLD_LIMIT, 0, 0, 2, 5 },
	{ 20000, WORLD_LIMIT, 0, 0, 2, 0.2 },
	{ 30000, WORLD_LIMIT, 0, 0, 2, 10 },
};

static const struct {
	const char *name;
	const struct world_event *events;
	size_t n;
} scenarios[] = {
	{ "calm", no_events, 0 },
	{ "hot customers", hot, G_N_ELEMENTS(hot) },
	{ "leader lost", leader, G_N_ELEMENTS(leader) },
	{ "power lost", power, G_N_ELEMENTS(power) },
	{ "entries cut", cuts, G_N_ELEMENTS(cuts) },
	{ "faults", faults, G_N_ELEMENTS(faults) },
	{ "limits change", changes, G_N_ELEMENTS(changes) },
};

static int seeds = 1, entries, customers, csv, classes;
static char *only_scheme, *only_scenario;

static void print_head(void)
{
	if (csv)
		printf("entries,customers,day,way,seed,window,refused,"
		       "refused_most,served,waited,waited_ms,late,messages_s,"
		       "bytes_s,far_bytes_s,place_asks_s,place_us\n");
	else
		printf("%-7s %-6s %-14s %-6s %7s %8s %8s %7s %7s %6s %6s %7s "
		       "%8s "
		       "%8s %7s %6s\n",
		       "entries", "cust.", "day", "way", "window", "refused",
		       "of one", "served", "waited", "ms", "late", "msg/s",
		       "bytes/s", "far b/s", "asks/s", "us");
}

static void print_result(const struct world_options *o, const char *scenario,
			 uint64_t seed, const struct world_result *r)
{
	if (csv)
		printf("%d,%d,%s,%s,%" PRIu64 ",%.4f,%.5f,%.5f,%.4f,%.4f,%.1f,%"
		       ".4f,%.0f,%.0f,%.0f,%.0f,"
		       "%.2f\n",
		       o->entries, o->customers, scenario, o->scheme->name,
		       seed, r->worst, r->refused, r->worst_refused, r->served,
		       r->waited, r->waited_ms, r->late, r->messages, r->bytes,
		       r->cross_domain_bytes, r->allocator_requests,
		       r->allocator_us);
	else
		printf("%-7d %-6d %-14s %-6s %7.3f %7.2f%% %7.2f%% %6.1f%% "
		       "%6.1f%% %6.1f %5.2f%% %7.0f %8.0f %8.0f %7.0f %6.2f  "
		       "%s\n",
		       o->entries, o->customers, scenario, o->scheme->name,
		       r->worst, 100 * r->refused, 100 * r->worst_refused,
		       100 * r->served, 100 * r->waited, r->waited_ms,
		       100 * r->late, r->messages, r->bytes,
		       r->cross_domain_bytes, r->allocator_requests,
		       r->allocator_us, r->worst > 1 ? r->worst_at : "");
	fflush(stdout);
}

static void run_scenario(size_t size, size_t scenario,
			 const struct quota_scheme *scheme)
{
	for (int s = 1; s <= seeds; s++) {
		struct world_options o = {
			.scheme = scheme,
			.entries = sizes[size].entries,
			.customers = sizes[size].customers,
			.domains = 4,
			.length_ms = SCENARIO_MS,
			.requests_per_s = sizes[size].requests_per_s,
			.limit_x = 1.8,
			.floor_per_s = 4200,
			.overage = { 8, 0.1, 17000 },
			.delay_ms = 1.4,
			.cpu_share = 0.32,
			.drift = 0.001,
			.seed = (uint64_t)s * 7919,
			.events = scenarios[scenario].events,
			.n_events = scenarios[scenario].n,
		};
		struct world_result r;

		world_run(&o, &r);
		print_result(&o, scenarios[scenario].name, (uint64_t)s, &r);
	}
}

/* Class mixes, for customers that send about three times their limit. */
static const struct {
	const char *name;
	const struct world_class *classes;
	size_t n;
} mixes[] = {
	{ "two", world_two_classes, WORLD_TWO_CLASSES },
	{ "three", world_three_classes, WORLD_THREE_CLASSES },
};

static const char *const sharings[] = {
	[WORLD_FIFO] = "in order",
	[WORLD_AT_ENTRY] = "at entry",
	[WORLD_BY_CLASS] = "by class",
};

static void print_shares(const struct world_options *o, const char *scenario,
			 const char *mix, uint64_t seed,
			 const struct world_result *r)
{
	for (size_t i = 0; i < o->n_classes; i++) {
		const struct world_class *k = &o->classes[i];
		const struct world_share *x = &r->classes[i];

		if (csv)
			printf("%d,%s,%s,%s,%" PRIu64 ",%d,%" PRId64
			       ",%.4f,%.4f,%.4f,%.0f\n",
			       o->entries, scenario, mix, sharings[o->sharing],
			       seed, k->class_id, k->objective_ms, x->served,
			       x->in_time, r->worst, r->allocator_requests);
		else
			printf("%-7d %-14s %-6s %-9s %4" PRIu64 " %5d %9" PRId64
			       " %6.1f%% %6.1f%% %7.3f %7.0f\n",
			       o->entries, scenario, mix, sharings[o->sharing],
			       seed, k->class_id, k->objective_ms,
			       100 * x->served, 100 * x->in_time, r->worst,
			       r->allocator_requests);
	}
	fflush(stdout);
}

/* Bursts: customers send about three times their limit half of the time. */
static const struct world_event bursts[] = {
	{ 2000, WORLD_HOT, 3000, 0, 4, 6 },
	{ 8000, WORLD_HOT, 3000, 0, 4, 6 },
	{ 14000, WORLD_HOT, 3000, 0, 4, 6 },
	{ 20000, WORLD_HOT, 3000, 0, 4, 6 },
	{ 26000, WORLD_HOT, 3000, 0, 4, 6 },
	{ 32000, WORLD_HOT, 3000, 0, 4, 6 },
};

static const struct {
	const char *name;
	double limit_x;
	const struct world_event *events;
	size_t n;
} class_scenarios[] = {
	{ "steady", 1.0 / 3, no_events, 0 },
	{ "bursts", 2, bursts, G_N_ELEMENTS(bursts) },
	{ "leader lost", 1.0 / 3, leader, G_N_ELEMENTS(leader) },
	{ "entries cut", 1.0 / 3, cuts, G_N_ELEMENTS(cuts) },
};

static void run_class_scenario(int size, size_t scenario, size_t mix,
			       enum world_sharing sharing)
{
	for (int s = 1; s <= seeds; s++) {
		struct world_options o = {
			.scheme = &quota_lease,
			.entries = size,
			.customers = 4,
			.domains = 4,
			.length_ms = SCENARIO_MS,
			.requests_per_s = 5.0 * size,
			.limit_x = class_scenarios[scenario].limit_x,
			.overage = { 8, 0.1, 4000 },
			.delay_ms = 1.4,
			.cpu_share = 0.32,
			.drift = 0.001,
			.seed = (uint64_t)s * 7919,
			.events = class_scenarios[scenario].events,
			.n_events = class_scenarios[scenario].n,
			.classes = mixes[mix].classes,
			.n_classes = mixes[mix].n,
			.sharing = sharing,
		};
		struct world_result r;

		world_run(&o, &r);
		print_shares(&o, class_scenarios[scenario].name,
			     mixes[mix].name, (uint64_t)s, &r);
	}
}

static bool is_selected_scenario(int size, const char *scenario)
{
	return (!entries || entries == size) &&
	       (!only_scenario ||
		!strncmp(only_scenario, scenario, strlen(only_scenario)));
}

static void run_mixes(int size, size_t scenario)
{
	for (size_t m = 0; m < G_N_ELEMENTS(mixes); m++)
		for (size_t k = G_N_ELEMENTS(sharings); k-- > 0;)
			run_class_scenario(size, scenario, m,
					   (enum world_sharing)k);
}

static void run_classes(void)
{
	static const int entry_counts[] = { 12, 24, 105 };

	if (csv)
		printf("entries,day,classes,shared,seed,class,objective_ms,"
		       "served,in_time,window,place_asks_s\n");
	else
		printf("%-7s %-14s %-6s %-9s %4s %5s %9s %7s %7s %7s %7s\n",
		       "entries", "day", "mix", "shared", "seed", "class",
		       "objective", "served", "in time", "window", "asks/s");
	for (size_t i = 0; i < G_N_ELEMENTS(entry_counts); i++)
		for (size_t s = 0; s < G_N_ELEMENTS(class_scenarios); s++)
			if (is_selected_scenario(entry_counts[i],
						 class_scenarios[s].name))
				run_mixes(entry_counts[i], s);
}

static bool is_selected(size_t size, size_t scenario, size_t scheme)
{
	return is_selected_scenario(sizes[size].entries,
				    scenarios[scenario].name) &&
	       (!customers || customers == sizes[size].customers) &&
	       (!only_scheme || !strcmp(only_scheme, schemes[scheme]->name));
}

int main(int argc, const char **argv)
{
	const struct poptOption table[] = {
		{ "seeds", 's', POPT_ARG_INT, &seeds, 0,
		  "number of seeds per scenario", "N" },
		{ "entries", 'e', POPT_ARG_INT, &entries, 0,
		  "only this number (31, 105, 340)", "N" },
		{ "customers", 'c', POPT_ARG_INT, &customers, 0,
		  "only this count (16, 1000, 10000)", "N" },
		{ "way", 'w', POPT_ARG_STRING, &only_scheme, 0,
		  "only this scheme (even, lease, owner)", "NAME" },
		{ "day", 'd', POPT_ARG_STRING, &only_scenario, 0,
		  "only scenarios whose names begin with NAME", "NAME" },
		{ "classes", 0, POPT_ARG_NONE, &classes, 0,
		  "compare how classes share a limit instead", NULL },
		{ "csv", 0, POPT_ARG_NONE, &csv, 0,
		  "print comma-separated values", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext("quota", argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);

	if (rc < -1) {
		fprintf(stderr, "%s: %s\n", poptBadOption(ctx, 0),
			poptStrerror(rc));
		poptFreeContext(ctx);
		return 2;
	}
	if (classes) {
		run_classes();
		poptFreeContext(ctx);
		return 0;
	}
	print_head();
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t s = 0; s < G_N_ELEMENTS(scenarios); s++)
			for (size_t k = 0; k < G_N_ELEMENTS(schemes); k++)
				if (is_selected(i, s, k))
					run_scenario(i, s, schemes[k]);
	poptFreeContext(ctx);
	return 0;
}
