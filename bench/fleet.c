/*
 * Benchmark of the leader's processor time by fleet size: the real leader code
 * with simulated entries and engines, in simulated time. Messages sent are
 * counted, but the kernel's time for sending them isn't included.
 */
#include <popt.h>
#include <stdio.h>

#include "../test/fleet_world.h"

#define WARMUP_MS 3000

static int measured_ms = 5000, models = 370, limited;
static double calls = 1.0; /* per second and entry */

static const struct {
	int entries, engines;
} sizes[] = { { 90, 159 }, { 180, 318 }, { 360, 636 }, { 720, 1272 } };

static const char *const counters[] = { "reports", "agents", "plans", "sends",
					"visits" };

static void measure(int entries, int engines)
{
	struct fleet_world_options o = { .entries = entries,
					 .engines = engines,
					 .models = models,
					 .calls_per_s = calls * entries,
					 .call_ms = 1000,
					 .limited = limited,
					 .seed = 9 };
	struct fleet_world *w = fleet_world_new(&o);
	struct fleet_world_cost c;
	double s = measured_ms / 1000.0;

	fleet_world_run(w, WARMUP_MS);
	if (limited)
		fleet_world_enable_limits(w);
	fleet_world_cost(w);
	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		fleet_world_work(w, counters[i]);
	fleet_world_run(w, measured_ms);
	c = fleet_world_cost(w);
	printf("| %d, %d | %.1f | %.1f | %.1f | %.1f | %.2f |", entries,
	       engines, (c.reports + c.agents + c.ticks + c.limits) / s,
	       c.reports / s, c.agents / s, c.ticks / s, c.limits / s);
	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		printf(" %.0f |", (double)fleet_world_work(w, counters[i]) / s);
	printf(" %d | %.0f | %.1f |\n", fleet_world_steps(w),
	       fleet_world_grant_requests(w) / s, fleet_world_admitted(w) / s);
	fflush(stdout);
	fleet_world_free(w);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = {
		{ "ms", 0, POPT_ARG_INT, &measured_ms, 0,
		  "measured time, in simulated ms", "MS" },
		{ "models", 0, POPT_ARG_INT, &models, 0, "models", "N" },
		{ "calls", 0, POPT_ARG_DOUBLE, &calls, 0,
		  "calls per second and entry", "N" },
		{ "limited", 0, POPT_ARG_INT, &limited, 0,
		  "engines that state a limit of one request per second", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	int rc = poptGetNextOpt(ctx);

	poptFreeContext(ctx);
	if (rc < -1)
		return 2;
	printf("| entries, engines | ms of processor time a second | reports |"
	       " agents | ticks | limits |");
	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		printf(" %s a s |", counters[i]);
	printf(" steps | limits' asks a s | admitted a s |\n"
	       "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i].entries, sizes[i].engines);
	return 0;
}
