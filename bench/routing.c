/*
 * Benchmark of a routing change: the processor time that the leader, a control
 * VM and an entry spend on adding one route to few or many, or many routes at
 * once. The baseline, in the same run, is an entry that parses all routes at
 * each change.
 */
#include <popt.h>
#include <stdio.h>
#include <time.h>

#include "../platform/platform.h"
#include "../src/base/pack.h"
#include "../src/core/mirror.h"
#include "../src/core/routing_update.h"

/* Share of a core that each process gets. */
#define CPU_SHARE 0.09
#define PROCESSES 100
#define CONTROL_VMS 5
/* Delay between two VMs of different failure domains. */
#define ONE_WAY_DELAY_MS 1.4
/* Bandwidth of a control VM's link. */
#define LINK_BYTES_PER_MS 12500.0

static int rounds = 15;

static double cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1000 + (double)t.tv_nsec / 1e6;
}

static GString *routing_text(uint64_t version, int routes)
{
	GString *s = g_string_new(NULL);
	uint64_t seed = 1;

	g_string_append_printf(s, "{\"version\":%" PRIu64 ",\"routes\":[",
			       version);
	for (int i = 0; i < routes; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"r-%08x\",\"host\":\"h%d.example\","
			"\"prefix\":\"/%08x/\",\"type\":\"safe\","
			"\"timeoutMs\":4000,\"goalMs\":300,\"priority\":2,"
			"\"service\":\"web\",\"attempts\":2}",
			i ? "," : "", (unsigned int)ss_random(&seed), i % 40,
			(unsigned int)ss_random(&seed));
	g_string_append(s, "],\"services\":[{\"name\":\"web\"}]}");
	return s;
}

struct cost {
	double total;	/* processor time of the change, in ms */
	double longest; /* of one event loop iteration */
};

static void add_iteration(struct cost *c, double ms)
{
	c->total += ms;
	c->longest = MAX(c->longest, ms);
}

struct result {
	struct cost leader, control_vm, entry, baseline;
	size_t bytes;
};

/* Does the leader's work: compares, parses, checks and packs the text. */
static GString *leader_update(struct document *d, struct routing *r,
			      const GString *text, struct cost *c)
{
	enum routing_step step = ROUTING_MORE;
	struct routing_update *u;
	double from = cpu_ms();
	GString *packed;

	u = routing_update_new(r, users_platform.routing,
			       document_compare(d, ss_str_gs(text),
						users_platform.routing->lists,
						NULL));
	add_iteration(c, cpu_ms() - from);
	while (step == ROUTING_MORE) {
		from = cpu_ms();
		step = routing_update_step(u, NULL);
		add_iteration(c, cpu_ms() - from);
	}
	g_assert(step == ROUTING_VALID);
	from = cpu_ms();
	packed = document_pack(routing_update_change(u));
	routing_update_free(u);
	add_iteration(c, cpu_ms() - from);
	return packed;
}

/* Does a control VM's work; it serves the change as stored in the log. */
static void control_vm_apply(struct document *d, const GString *packed,
			     struct cost *c)
{
	double from = cpu_ms();
	struct document_patch *n = document_unpack(ss_str_gs(packed), NULL);

	document_apply(d, &n->change, NULL);
	document_patch_free(n);
	add_iteration(c, cpu_ms() - from);
}

static void follower_update(struct routing_follower *w, const GString *packed,
			    struct cost *c)
{
	double from = cpu_ms();

	routing_follower_add(w, ss_str_gs(packed), NULL);
	add_iteration(c, cpu_ms() - from);
	while (routing_follower_busy(w)) {
		from = cpu_ms();
		routing_follower_step(w, NULL);
		add_iteration(c, cpu_ms() - from);
	}
}

/* Does the baseline's work: unpacks and parses all routes. */
static void read_all(const GString *text, struct cost *c)
{
	GString *packed = g_string_new(NULL), *decompressed;
	double from;

	pack_compress(packed, ss_str_gs(text));
	from = cpu_ms();
	decompressed = pack_decompress(ss_str_gs(packed), 64u << 20, NULL);
	routing_unref(routing_read(users_platform.routing,
				   ss_str_gs(decompressed), NULL));
	add_iteration(c, cpu_ms() - from);
	g_string_free(decompressed, TRUE);
	g_string_free(packed, TRUE);
}

static void keep_minimum(struct cost *of, const struct cost *c)
{
	if (!of->total || c->total < of->total)
		*of = *c;
}

static void run_case(int held, int added, struct result *best)
{
	struct routing_follower *leader =
		routing_follower_new(users_platform.routing);
	struct routing_follower *entry =
		routing_follower_new(users_platform.routing);
	struct document *d = document_new();
	GString *before = routing_text(1, held),
		*after = routing_text(2, held + added);
	struct cost unused = { 0 };
	struct result r = { 0 };
	GString *whole, *change;

	whole = leader_update(d, routing_follower_table(leader), before,
			      &unused);
	control_vm_apply(d, whole, &unused);
	follower_update(leader, whole, &unused);
	follower_update(entry, whole, &unused);
	change = leader_update(d, routing_follower_table(leader), after,
			       &r.leader);
	control_vm_apply(d, change, &r.control_vm);
	follower_update(entry, change, &r.entry);
	read_all(after, &r.baseline);
	best->bytes = change->len;
	keep_minimum(&best->leader, &r.leader);
	keep_minimum(&best->control_vm, &r.control_vm);
	keep_minimum(&best->entry, &r.entry);
	keep_minimum(&best->baseline, &r.baseline);
	g_string_free(whole, TRUE);
	g_string_free(change, TRUE);
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
	routing_follower_free(leader);
	routing_follower_free(entry);
	document_free(d);
}

/*
 * Returns the time until the last process has a change: a notice, a request and
 * its reply cross the network, the control VM serves its processes one after
 * another, and the process reads the change.
 */
static double propagation_ms(size_t bytes, double read_cpu_ms)
{
	double fetches = (double)PROCESSES / CONTROL_VMS;

	return 3 * ONE_WAY_DELAY_MS +
	       fetches * (double)bytes / LINK_BYTES_PER_MS +
	       read_cpu_ms / CPU_SHARE;
}

static const struct {
	int held, added;
} cases[] = { { 50, 1 },    { 4250, 1 },    { 12000, 1 },
	      { 50, 1400 }, { 4250, 1400 }, { 12000, 1400 } };

static void print_row(int held, int added, const char *role,
		      const struct cost *c)
{
	printf("%6d %6d  %-22s %9.3f %9.3f %9.1f\n", held, added, role,
	       c->total, c->longest, c->longest / CPU_SHARE);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = {
		{ "rounds", 'n', POPT_ARG_INT, &rounds, 0,
		  "rounds of each case; the fastest counts", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext("routing", argc, argv, options, 0);
	struct result r[G_N_ELEMENTS(cases)] = { 0 };

	if (poptGetNextOpt(ctx) < -1 || rounds < 1) {
		fprintf(stderr, "routing: unusable options; see --help\n");
		return 2;
	}
	printf("  held  added  role                    all, ms  longest  "
	       "on 9 %%\n");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int k = 0; k < rounds; k++)
			run_case(cases[i].held, cases[i].added, &r[i]);
		print_row(cases[i].held, cases[i].added,
			  "leader, operator's call", &r[i].leader);
		print_row(cases[i].held, cases[i].added, "control VM",
			  &r[i].control_vm);
		print_row(cases[i].held, cases[i].added, "entry", &r[i].entry);
		print_row(cases[i].held, cases[i].added, "entry, reading all",
			  &r[i].baseline);
		printf("               %zu bytes; the last of %d has it after "
		       "%.0f ms (reading all: %.0f ms)\n",
		       r[i].bytes, PROCESSES,
		       propagation_ms(r[i].bytes, r[i].entry.total),
		       propagation_ms(r[i].bytes, r[i].baseline.total));
	}
	printf("agents hear of no change that leaves services as they are\n");
	printf("one route more among 12000, against among 50: leader %.1f, "
	       "control VM %.1f, entry %.1f, reading all %.1f times\n",
	       r[2].leader.total / r[0].leader.total,
	       r[2].control_vm.total / r[0].control_vm.total,
	       r[2].entry.total / r[0].entry.total,
	       r[2].baseline.total / r[0].baseline.total);
	poptFreeContext(ctx);
	return 0;
}
