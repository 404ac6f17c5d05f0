/*
 * Benchmark of the stream log, by which any entry can look up the model version
 * that a stream began with: the real leader and a follower receive the reports
 * of simulated entries, in simulated time. For comparison, the benchmark
 * derives the messages that sending all records to all entries, as often as to
 * the follower, or querying all entries at each resumption would take.
 */
#include <popt.h>
#include <stdio.h>

#include "../src/core/stream_log.h"
#include "../test/fleet_world.h"

#define WARMUP_MS 30000
/* Interval at which an entry reports the streams that it has started. */
#define REPORT_INTERVAL_MS 10
#define MODEL_VERSIONS 3

static int measured_ms = 10000;
static double streams = 0.27, resumed = 0.02; /* per second and entry */

static const int sizes[] = { 10, 360, 720 };

static void start_streams(struct fleet_world *w, int entries, uint64_t *key,
			  double *due)
{
	static const char *const names[MODEL_VERSIONS] = { "v1", "v1.1",
							   "v1.2" };

	for (*due += streams * entries * REPORT_INTERVAL_MS / 1000.0; *due >= 1;
	     (*due)--) {
		uint64_t k = ++*key;

		fleet_world_streams(w, (int)(k * 7919 % (uint64_t)entries), k,
				    1, names[k % MODEL_VERSIONS]);
	}
}

static void measure(int entries)
{
	struct fleet_world_options o = { .entries = entries,
					 .engines = 20,
					 .models = 20,
					 .call_ms = 1000,
					 .seed = 9 };
	struct fleet_world *w = fleet_world_new(&o);
	struct fleet_world_streams c;
	double s = measured_ms / 1000.0, due = 0, ms;
	uint64_t key = 0;

	for (int at = 0; at < WARMUP_MS + measured_ms;
	     at += REPORT_INTERVAL_MS) {
		if (at == WARMUP_MS) {
			fleet_world_stream_cost(w);
			fleet_world_cost(w);
		}
		start_streams(w, entries, &key, &due);
		fleet_world_run(w, REPORT_INTERVAL_MS);
	}
	c = fleet_world_stream_cost(w);
	ms = fleet_world_cost(w).reports;
	printf("| %d | %.0f | %.0f, %.0f | %.0f, %.0f | %zu, %zu KB | %.2f | "
	       "%.0f, %.0f | %.0f |\n",
	       entries, streams * entries, (double)c.to_leader / s,
	       (double)c.to_leader_bytes / s, (double)c.to_follower / s,
	       (double)c.to_follower_bytes / s, c.kept,
	       c.kept * stream_log_record_bytes() / 1024, ms / s,
	       (double)c.to_follower * entries / s,
	       (double)c.to_follower_bytes * entries / s,
	       2 * resumed * entries * entries);
	fflush(stdout);
	fleet_world_free(w);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = {
		{ "ms", 0, POPT_ARG_INT, &measured_ms, 0,
		  "measured time, in simulated ms", "MS" },
		{ "streams", 0, POPT_ARG_DOUBLE, &streams, 0,
		  "resumable streams started per second and entry", "N" },
		{ "taken-up", 0, POPT_ARG_DOUBLE, &resumed, 0,
		  "streams resumed per second and entry", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	int rc = poptGetNextOpt(ctx);

	poptFreeContext(ctx);
	if (rc < -1)
		return 2;
	printf("| entries | streams a s | told: messages, bytes a s | to a "
	       "follower: messages, bytes a s | kept by the leader: streams, "
	       "memory | ms of its time a s, entries' reports too | to all "
	       "entries instead: messages, bytes a s | asked of all instead: "
	       "messages a s |\n|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		measure(sizes[i]);
	return 0;
}
