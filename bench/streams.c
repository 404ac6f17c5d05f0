/*
 * What it costs that any entry can tell which version began a stream: the real
 * leader and a follower, told by so many entries, in simulated time. Beside it,
 * by the same messages, what it would cost to tell all entries, and to ask all
 * of them instead.
 */
#include <popt.h>
#include <stdio.h>

#include "../src/core/stream_log.h"
#include "../test/fleet_world.h"

#define WARM_MS 30000
/* An entry tells what has begun since its last turn; so often, in ms. */
#define TURN_MS 10
/* To an entry, in ms: as followers are told. */
#define SPREAD_MS 50
#define VERSIONS 3

static int length_ms = 10000;
static double streams = 0.27, taken_up = 0.02; /* a second, of each entry */

static const int sizes[] = { 10, 360, 720 };

static void begin(struct fleet_world *w, int entries, uint64_t *key,
		  double *owed)
{
	static const char *const names[VERSIONS] = { "v1", "v1.1", "v1.2" };

	for (*owed += streams * entries * TURN_MS / 1000.0; *owed >= 1;
	     (*owed)--) {
		uint64_t k = ++*key;

		fleet_world_streams(w, (int)(k * 7919 % (uint64_t)entries), k,
				    1, names[k % VERSIONS]);
	}
}

static void play(int entries)
{
	struct fleet_world_options o = { .entries = entries,
					 .engines = 20,
					 .models = 20,
					 .call_ms = 1000,
					 .seed = 9 };
	struct fleet_world *w = fleet_world_new(&o);
	struct fleet_world_streams c;
	double s = length_ms / 1000.0, owed = 0, ms;
	uint64_t key = 0;

	for (int at = 0; at < WARM_MS + length_ms; at += TURN_MS) {
		if (at == WARM_MS) {
			fleet_world_stream_cost(w);
			fleet_world_cost(w);
		}
		begin(w, entries, &key, &owed);
		fleet_world_run(w, TURN_MS);
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
	       2 * taken_up * entries * entries);
	fflush(stdout);
	fleet_world_free(w);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = {
		{ "ms", 0, POPT_ARG_INT, &length_ms, 0,
		  "measure for so long, in simulated ms", "MS" },
		{ "streams", 0, POPT_ARG_DOUBLE, &streams, 0,
		  "streams a second of each entry that may be resumed", "N" },
		{ "taken-up", 0, POPT_ARG_DOUBLE, &taken_up, 0,
		  "streams a second that are taken up at each entry", "N" },
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
		play(sizes[i]);
	return 0;
}
