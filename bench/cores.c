/*
 * Benchmark of the I/O-free core modules for large deployments: time, memory
 * and snapshot size of the replicated state, and the time of planning passes
 * for pools and for the fleet. The time of log appends with their sync is
 * measured as well.
 */
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include <sapphireshift/queue.h>

#include "../src/core/fleet.h"
#include "../src/core/plan.h"
#include "../src/core/state.h"
#include "../src/disk/disk.h"

#define GB (1ull << 30)

static double now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double heap_mb(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd) / 1e6;
}

static uint64_t last_index;

static void apply(struct ss_state *s, struct command *c)
{
	GString *bytes = ss_command_encode(c);
	struct command_result r;

	ss_state_apply(s, ++last_index, ss_str_gs(bytes), &r);
	g_string_free(bytes, TRUE);
}

static void add_models(struct ss_state *s, int models, int adapters)
{
	for (int i = 0; i < models + adapters; i++) {
		char name[32], base[32] = "";
		struct model_rec m = { .pool = SS_LIT("lm-pool"),
				       .bytes = GB,
				       .slots = 8 };
		struct command c = { .kind = COMMAND_MODELS_PUT,
				     .models = &m,
				     .n_models = 1 };

		g_snprintf(name, sizeof(name), "%s-%d",
			   i < models ? "model" : "adapter", i);
		if (i >= models)
			g_snprintf(base, sizeof(base), "model-%d", i % models);
		m.name = ss_str(name);
		m.base = ss_str(base);
		apply(s, &c);
	}
}

static void add_nodes(struct ss_state *s, int nodes)
{
	for (int i = 0; i < nodes; i++) {
		char name[32], domain[32];
		struct node_rec n = { .pool = SS_LIT("lm-pool"),
				      .addr = SS_LIT("10.0.0.1:7201"),
				      .kind = NODE_ENGINE,
				      .bytes = 320 * GB,
				      .incarnation = 1 };
		struct command c = { .kind = COMMAND_NODE_PUT, .node = &n };

		g_snprintf(name, sizeof(name), "engine-%d", i);
		g_snprintf(domain, sizeof(domain), "domain-%d", i % 8);
		n.name = ss_str(name);
		n.domain = ss_str(domain);
		apply(s, &c);
	}
}

static void add_claims(struct ss_state *s, int claims)
{
	for (int i = 0; i < claims; i++) {
		char key[16];
		struct claim_rec k = { .entry = 1,
				       .seq = (uint64_t)i + 1,
				       .node = SS_LIT("service-1"),
				       .incarnation = 1,
				       .at_ms = 1 };
		struct command c = { .kind = COMMAND_CLAIM,
				     .claim = &k,
				     .at_ms = 1 };

		memset(key, 0, sizeof(key));
		memcpy(key, &i, sizeof(i));
		k.key = (struct ss_str){ key, sizeof(key) };
		apply(s, &c);
	}
}

static void measure_state(int adapters, int claims)
{
	struct ss_state *s = ss_state_new();
	double heap = heap_mb(), start = now_ms(), apply_ms, snapshot_ms,
	       restore_ms;
	struct ss_state *t;
	GString *image;
	int changes;

	last_index = 0;
	add_models(s, 160, adapters);
	add_nodes(s, 690);
	add_claims(s, claims);
	changes = (int)last_index;
	apply_ms = now_ms() - start;
	heap = heap_mb() - heap;
	start = now_ms();
	image = ss_state_snapshot(s);
	snapshot_ms = now_ms() - start;
	t = ss_state_new();
	start = now_ms();
	ss_state_restore(t, ss_str_gs(image));
	restore_ms = now_ms() - start;
	printf("state: %6d adapters %6d claims: %6.1f MB heap, %5.2f us an "
	       "apply, snapshot %5.1f MB in %6.1f ms, restored in %6.1f ms\n",
	       adapters, claims, heap, apply_ms * 1e3 / changes,
	       (double)image->len / 1e6, snapshot_ms, restore_ms);
	g_string_free(image, TRUE);
	ss_state_free(s);
	ss_state_free(t);
}

/* Planning passes of a pool. */

static enum ss_tier remote_tier(void *arg, const char *model, const char *node)
{
	(void)arg;
	(void)model;
	(void)node;
	return TIER_REMOTE;
}

static const struct ss_arrivals *no_arrivals(void *arg, const char *model)
{
	(void)arg;
	(void)model;
	return NULL;
}

static void count_load(void *arg, const struct plan_demand *d,
		       const struct plan_node *n, size_t count)
{
	(void)d;
	(void)n;
	(void)count;
	(*(int *)arg)++;
}

static void count_unload(void *arg, const struct plan_replica *r,
			 const char *why)
{
	(void)r;
	(void)why;
	(*(int *)arg)++;
}

static void measure_plan(int nodes, int replicas, int demands)
{
	static const struct plan_ops ops = { count_load, count_unload };
	struct plan_node *n = g_new0(struct plan_node, nodes);
	struct plan_replica *r = g_new0(struct plan_replica, replicas);
	struct plan_demand *d = g_new0(struct plan_demand, demands);
	struct preset preset;
	struct pacer pacer;
	struct plan_view v = { .now = 10000,
			       .nodes = n,
			       .replicas = r,
			       .demands = d,
			       .tier = remote_tier,
			       .arrivals = no_arrivals };
	int decided = 0;
	double start;

	preset_parse(&preset, "p", ss_str(preset_built_in), NULL);
	v.preset = &preset;
	v.n_nodes = (size_t)nodes;
	v.n_replicas = (size_t)replicas;
	v.n_demands = (size_t)demands;
	for (int i = 0; i < nodes; i++)
		n[i] = (struct plan_node){
			.name = g_strdup_printf("engine-%d", i),
			.domain = g_strdup_printf("domain-%d", i % 8),
			.pool = "p",
			.bytes = 320 * GB,
			.used = 300 * GB,
			.usable = true
		};
	for (int i = 0; i < replicas; i++)
		r[i] = (struct plan_replica){ .id = (uint64_t)i,
					      .base = "",
					      .node = i % nodes,
					      .model = g_strdup_printf(
						      "model-%d", i),
					      .state = REPLICA_READY,
					      .bytes = 60 * GB,
					      .slots = 8,
					      .age_ms = 60000,
					      .active = 1 };
	for (int i = 0; i < demands; i++)
		d[i] = (struct plan_demand){ .model = g_strdup_printf("cold-%d",
								      i),
					     .base = "",
					     .pool = "p",
					     .bytes = 10 * GB,
					     .slots = 8,
					     .waiting = 1,
					     .slack_ms = 30000 };
	pacer_init(&pacer, 0);
	start = now_ms();
	for (int i = 0; i < 5; i++)
		plan_run(&v, &pacer, &ops, &decided);
	printf("plan: %4d nodes %5d replicas %4d demands: %8.2f ms a pass\n",
	       nodes, replicas, demands, (now_ms() - start) / 5);
	preset_clear(&preset);
}

/* Placement passes of a fleet. */

#define ENGINE_REPLICAS 2     /* models loaded on each engine */
#define ENGINE_DISK_COPIES 12 /* checkpoints on each engine's disk */

static void count_step(void *arg, const struct fleet_step *s)
{
	(void)s;
	(*(int *)arg)++;
}

static void count_blocked(void *arg, uint32_t model,
			  const struct fleet_blocked *b)
{
	(void)model;
	(void)b;
	(*(int *)arg)++;
}

/*
 * Sets up the most expensive pass: the replicas of the first `full` models are
 * full, the last `unplaced` models have neither a replica nor a disk copy, and
 * the store accepts no load. Each engine is scored for each of these models,
 * and no step follows. One model of each engine has no calls and may be
 * unloaded.
 */
static void fill_fleet(struct fleet_view *v, size_t full, size_t unplaced)
{
	size_t others = v->n_models - full - unplaced;
	uint64_t seed = 7;

	for (size_t i = 0; i < v->n_nodes; i++) {
		struct fleet_node *n = &v->nodes[i];
		uint8_t *tier = g_new0(uint8_t, v->n_models);

		for (size_t m = 0; m < v->n_models; m++)
			tier[m] = TIER_REMOTE;
		for (int k = 0; k < ENGINE_DISK_COPIES; k++)
			tier[full + ss_random(&seed) % others] = TIER_DISK;
		*n = (struct fleet_node){ .domain = g_strdup_printf(
						  "domain-%zu", i % 8),
					  .usable = true,
					  .accepts_step = true,
					  .loading = -1,
					  .slots = 32,
					  .running = 20,
					  .tier = tier };
		n->replicas =
			g_array_new(FALSE, FALSE, sizeof(struct fleet_replica));
		for (uint32_t k = 0; k < ENGINE_REPLICAS; k++) {
			struct fleet_replica p = {
				.model = (uint32_t)(ss_random(&seed) %
						    (full + others)),
				.calls = 20 * k
			};

			g_array_append_val(n->replicas, p);
			v->models[p.model].calls += p.calls;
		}
	}
}

static void measure_fleet(size_t nodes, size_t models, size_t full,
			  size_t unplaced)
{
	static const struct fleet_plan_ops ops = { count_step, count_blocked };
	static const struct routing_model spec = { .weights_mb = 34300,
						   .store_load_ms = 13200,
						   .disk_load_ms = 510,
						   .memory_load_ms = 390 };
	struct fleet_view v = { .models = g_new0(struct fleet_model, models),
				.n_models = models,
				.nodes = g_new0(struct fleet_node, nodes),
				.n_nodes = nodes,
				.slots = 32,
				.store_parallel = 4 };
	int decided = 0, passes = 20;
	double start;

	for (size_t m = 0; m < models; m++)
		v.models[m] = (struct fleet_model){ .spec = &spec };
	fill_fleet(&v, full, unplaced);
	for (size_t m = 0; m < full; m++)
		v.models[m].waiting = 1000;
	for (size_t m = models - unplaced; m < models; m++)
		v.models[m].waiting = 1;
	start = now_ms();
	for (int i = 0; i < passes; i++)
		fleet_plan(&v, &ops, &decided);
	printf("fleet: %4zu engines %4zu models, %2zu full, %2zu waited for: "
	       "%8.2f ms a pass\n",
	       nodes, models, full, unplaced, (now_ms() - start) / passes);
}

/* Measures the time to make a change durable, one by one and in groups. */
static void measure_disk(int group)
{
	static char folder[] = "/tmp/ss-bench-XXXXXX";
	static bool folder_made;
	struct disk_options o = { .folder = folder };
	struct ss_raft_entry e = { .term = 1,
				   .kind = SS_RAFT_DATA,
				   .data = SS_LIT(
					   "a change of about a hundred "
					   "bytes, as a claim is, with "
					   "its key and its node......") };
	struct disk_state st;
	struct disk *d;
	double start;
	int syncs = 200;

	if (!folder_made && !mkdtemp(folder))
		return;
	folder_made = true;
	d = disk_open(&o, &st, NULL);
	e.index = st.n_entries;
	start = now_ms();
	for (int i = 0; i < syncs; i++) {
		for (int k = 0; k < group; k++) {
			e.index++;
			disk_append(d, &e, 1, NULL);
		}
		disk_sync(d, NULL);
	}
	printf("disk: groups of %3d: %6.0f us a change, %8.0f changes/s\n",
	       group, (now_ms() - start) * 1e3 / syncs / group,
	       syncs * group * 1e3 / (now_ms() - start));
	disk_close(d);
}

int main(void)
{
	static const int adapters[] = { 3000, 10000, 30000 };
	static const int groups[] = { 1, 10, 100 };

	for (size_t i = 0; i < 3; i++)
		measure_state(adapters[i], 0);
	measure_state(30000, 100000);
	measure_plan(100, 400, 10);
	measure_plan(340, 1350, 10);
	measure_plan(690, 2700, 10);
	measure_plan(690, 2700, 40);
	measure_fleet(54, 165, 5, 40);
	measure_fleet(690, 160, 0, 40);
	measure_fleet(690, 160, 10, 40);
	for (size_t i = 0; i < 3; i++)
		measure_disk(groups[i]);
	return 0;
}
