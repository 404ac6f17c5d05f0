/*
 * What a change of the routing costs: one route more among few and many, and
 * many at once, as each role pays it; beside it the way of reading all routes
 * at each change, for the ratio in one run.
 */
#include <popt.h>
#include <stdio.h>
#include <time.h>

#include "../platform/platform.h"
#include "../src/base/pack.h"
#include "../src/core/mirror.h"
#include "../src/core/routing_update.h"

/* Share of a core that the processes of the calculation have. */
#define SHARE 0.09
#define PROCESSES 100
#define MEMBERS 5
/* One way, between two VMs of different failure domains, in ms. */
#define DELAY_MS 1.4
/* Of a member's link. */
#define BYTES_PER_MS 12500.0

static int rounds = 15;

static double cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1000 + (double)t.tv_nsec / 1e6;
}

static GString *text_of(uint64_t version, int routes)
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
	double all;	/* processor time of the change, ms */
	double longest; /* of one turn of the loop */
};

static void add_turn(struct cost *c, double ms)
{
	c->all += ms;
	c->longest = MAX(c->longest, ms);
}

struct result {
	struct cost leader, member, entry, before;
	size_t bytes;
};

/* The operator's text compared, read, checked and packed. */
static GString *lead(struct document *d, struct routing *r, const GString *text,
		     struct cost *c)
{
	enum routing_step step = ROUTING_MORE;
	struct routing_update *u;
	double from = cpu_ms();
	GString *packed;

	u = routing_update_new(r, users_platform.routing,
			       document_compare(d, ss_str_gs(text),
						users_platform.routing->lists,
						NULL));
	add_turn(c, cpu_ms() - from);
	while (step == ROUTING_MORE) {
		from = cpu_ms();
		step = routing_update_step(u, NULL);
		add_turn(c, cpu_ms() - from);
	}
	g_assert(step == ROUTING_VALID);
	from = cpu_ms();
	packed = document_pack(routing_update_change(u));
	routing_update_free(u);
	add_turn(c, cpu_ms() - from);
	return packed;
}

/* A member applies it, and hands it out as it stands in the log. */
static void apply(struct document *d, const GString *packed, struct cost *c)
{
	double from = cpu_ms();
	struct document_patch *n = document_unpack(ss_str_gs(packed), NULL);

	document_apply(d, &n->change, NULL);
	document_patch_free(n);
	add_turn(c, cpu_ms() - from);
}

static void follow(struct routing_follower *w, const GString *packed,
		   struct cost *c)
{
	double from = cpu_ms();

	routing_follower_add(w, ss_str_gs(packed), NULL);
	add_turn(c, cpu_ms() - from);
	while (routing_follower_busy(w)) {
		from = cpu_ms();
		routing_follower_step(w, NULL);
		add_turn(c, cpu_ms() - from);
	}
}

/* All routes unpacked and read at each change. */
static void read_all(const GString *text, struct cost *c)
{
	GString *packed = g_string_new(NULL), *opened;
	double from;

	pack_compress(packed, ss_str_gs(text));
	from = cpu_ms();
	opened = pack_decompress(ss_str_gs(packed), 64u << 20, NULL);
	routing_unref(
		routing_read(users_platform.routing, ss_str_gs(opened), NULL));
	add_turn(c, cpu_ms() - from);
	g_string_free(opened, TRUE);
	g_string_free(packed, TRUE);
}

static void least(struct cost *of, const struct cost *c)
{
	if (!of->all || c->all < of->all)
		*of = *c;
}

static void play(int held, int added, struct result *best)
{
	struct routing_follower *leader =
		routing_follower_new(users_platform.routing);
	struct routing_follower *entry =
		routing_follower_new(users_platform.routing);
	struct document *d = document_new();
	GString *before = text_of(1, held), *after = text_of(2, held + added);
	struct cost unused = { 0 };
	struct result r = { 0 };
	GString *whole, *change;

	whole = lead(d, routing_follower_table(leader), before, &unused);
	apply(d, whole, &unused);
	follow(leader, whole, &unused);
	follow(entry, whole, &unused);
	change = lead(d, routing_follower_table(leader), after, &r.leader);
	apply(d, change, &r.member);
	follow(entry, change, &r.entry);
	read_all(after, &r.before);
	best->bytes = change->len;
	least(&best->leader, &r.leader);
	least(&best->member, &r.member);
	least(&best->entry, &r.entry);
	least(&best->before, &r.before);
	g_string_free(whole, TRUE);
	g_string_free(change, TRUE);
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
	routing_follower_free(leader);
	routing_follower_free(entry);
	document_free(d);
}

/* The last of all has it: told, fetched from its member in turn, and read. */
static double last_ms(size_t bytes, double read_cpu_ms)
{
	double turns = (double)PROCESSES / MEMBERS;

	return 3 * DELAY_MS + turns * (double)bytes / BYTES_PER_MS +
	       read_cpu_ms / SHARE;
}

static const struct {
	int held, added;
} cases[] = { { 50, 1 },    { 4250, 1 },    { 12000, 1 },
	      { 50, 1400 }, { 4250, 1400 }, { 12000, 1400 } };

static void row(int held, int added, const char *role, const struct cost *c)
{
	printf("%6d %6d  %-22s %9.3f %9.3f %9.1f\n", held, added, role, c->all,
	       c->longest, c->longest / SHARE);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = { { "rounds", 'n', POPT_ARG_INT, &rounds,
					  0, "of each case; the least counts",
					  "N" },
					POPT_AUTOHELP POPT_TABLEEND };
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
			play(cases[i].held, cases[i].added, &r[i]);
		row(cases[i].held, cases[i].added, "leader, operator's call",
		    &r[i].leader);
		row(cases[i].held, cases[i].added, "control VM", &r[i].member);
		row(cases[i].held, cases[i].added, "entry", &r[i].entry);
		row(cases[i].held, cases[i].added, "entry, reading all",
		    &r[i].before);
		printf("               %zu bytes; the last of %d has it after "
		       "%.0f ms (reading all: %.0f ms)\n",
		       r[i].bytes, PROCESSES,
		       last_ms(r[i].bytes, r[i].entry.all),
		       last_ms(r[i].bytes, r[i].before.all));
	}
	printf("agents hear of no change that leaves services as they are\n");
	printf("one route more among 12000, against among 50: leader %.1f, "
	       "control VM %.1f, entry %.1f, reading all %.1f times\n",
	       r[2].leader.all / r[0].leader.all,
	       r[2].member.all / r[0].member.all,
	       r[2].entry.all / r[0].entry.all,
	       r[2].before.all / r[0].before.all);
	poptFreeContext(ctx);
	return 0;
}
