/*
 * The routing in hundreds of processes: the real copies and fetches on links of
 * a given bandwidth, with a fake clock, and what may go wrong on the way.
 */
#include "unit.h"

#include "../src/core/document.h"
#include "../src/core/fetch.h"
#include "../src/core/mirror.h"
#include "../src/core/send_window.h"

#define MEMBERS 6
#define PROCESSES 285
#define STEP_MS 1
/* One way, between two VMs of different failure domains. */
#define DELAY_MS 3
#define HEARTBEAT_MS 100
#define SHIFTED 5
/* Processor time to read one route, in ms. */
#define READ_MS 0.004

/* Something on its way from a member to a process, or back. */
struct parcel {
	int64_t at_ms; /* when it arrives */
	int member, process;
	bool answer;
	struct msg_fetch ask;
	struct msg_routing routing;
	GPtrArray *changes; /* GString, packed */
};

struct member {
	struct mirror *mirror;
	struct document *document;
	double free_ms;	 /* when its link has sent all */
	bool dark;	 /* takes and sends nothing */
	bool deaf;	 /* takes nothing; what it sends arrives */
	bool mute;	 /* what it sends is lost */
	int64_t beat_ms; /* longest time that a heartbeat stood in its link */
	int served;
};

struct process {
	struct fetch *fetch;
	double free_ms; /* of its own link */
	int asked;	/* the member asked last; -1: none */
	int asks;
	int taken;
	uint64_t version;
	struct document *document;
	int64_t busy_ms; /* until then it reads what it took */
};

struct world {
	int64_t now;
	double bytes_per_ms; /* of a member's link */
	int members, processes, leader;
	struct member m[MEMBERS];
	struct process p[PROCESSES];
	GArray *parcels;
	GString *bodies[10]; /* by version */
	double share; /* of a core that a process has; 0: reads cost nothing */
};

/* What an entry of the table of a callback's argument is. */
struct place {
	struct world *w;
	int at;
};
static struct place member_place[MEMBERS], process_place[PROCESSES];

static void put_on_link(struct world *w, double *free_ms, double bytes_per_ms,
			struct parcel *parcel, size_t bytes)
{
	*free_ms = MAX(*free_ms, (double)w->now) + (double)bytes / bytes_per_ms;
	parcel->at_ms = (int64_t)*free_ms + DELAY_MS;
	g_array_append_val(w->parcels, *parcel);
}

static void free_bytes(void *bytes)
{
	g_string_free(bytes, TRUE);
}

static bool mirror_send(void *arg, void *peer, const struct msg_routing *m)
{
	const struct place *at = arg, *to = peer;
	const struct routing_bytes *b = m->changes.items;
	struct member *from = &at->w->m[at->at];
	struct parcel x = { .member = at->at,
			    .process = to->at,
			    .answer = true,
			    .routing = *m };
	size_t bytes = 0;

	from->served += m->changes.n > 0;
	x.changes = g_ptr_array_new_with_free_func(free_bytes);
	for (size_t i = 0; i < m->changes.n; i++) {
		g_ptr_array_add(x.changes,
				g_string_new_len(b[i].packed.p,
						 (gssize)b[i].packed.n));
		bytes += b[i].packed.n;
	}
	put_on_link(at->w, &from->free_ms, at->w->bytes_per_ms, &x, bytes);
	return true;
}

static GString *mirror_whole(void *arg, bool routes)
{
	const struct place *at = arg;

	return document_whole(at->w->m[at->at].document, routes);
}

static const struct mirror_ops mirror_table = { mirror_send, mirror_whole };

static char *member_addr(int i)
{
	return g_strdup_printf("10.0.%d.1:7380", i);
}

static void fetch_sources(void *arg, GPtrArray *out)
{
	const struct place *at = arg;

	for (int i = 0; i < at->w->members; i++)
		g_ptr_array_add(out, member_addr(i));
}

static const char *fetch_leader(void *arg)
{
	const struct place *at = arg;
	static char addr[32];
	char *a = member_addr(at->w->leader);

	g_strlcpy(addr, a, sizeof(addr));
	g_free(a);
	return addr;
}

static void send_ask(struct world *w, int process, const struct msg_fetch *m)
{
	struct parcel x = { .member = w->p[process].asked,
			    .process = process,
			    .ask = *m,
			    .at_ms = w->now + DELAY_MS };

	g_array_append_val(w->parcels, x);
}

static void fetch_ask(void *arg, const char *addr, const struct msg_fetch *m)
{
	const struct place *at = arg;
	struct process *p = &at->w->p[at->at];

	p->asks++;
	for (int i = 0; i < at->w->members; i++) {
		char *a = member_addr(i);

		if (!strcmp(a, addr)) {
			/* The former connection ends. */
			if (p->asked >= 0 && p->asked != i)
				mirror_gone(at->w->m[p->asked].mirror,
					    &process_place[at->at], at->w->now);
			p->asked = i;
		}
		g_free(a);
	}
	send_ask(at->w, at->at, m);
}

static void fetch_acknowledge(void *arg, const struct msg_fetch *m)
{
	const struct place *at = arg;

	send_ask(at->w, at->at, m);
}

static guint routes_in(const struct document_change *c)
{
	const struct document_edit *e = c->edits.items;
	guint n = 0;

	for (size_t i = 0; i < c->edits.n; i++) {
		const struct document_piece *p = e[i].pieces.items;

		for (size_t k = 0; k < e[i].pieces.n; k++)
			n += p[k].part == DOCUMENT_ROUTE;
	}
	return n;
}

static bool fetch_take(void *arg, const struct msg_routing *m)
{
	const struct place *at = arg;
	struct process *p = &at->w->p[at->at];
	const struct routing_bytes *b = m->changes.items;
	GString *text;

	assert_true(m->version > p->version);
	for (size_t i = 0; i < m->changes.n; i++) {
		struct document_patch *n = document_open(b[i].packed, NULL);
		bool ok = n && document_apply(p->document, &n->change, NULL);

		/* It reads a few at a time, and writes in between. */
		if (ok && at->w->share > 0)
			p->busy_ms = MAX(p->busy_ms, at->w->now) +
				     (int64_t)(routes_in(&n->change) * READ_MS /
					       at->w->share);
		document_patch_free(n);
		if (!ok)
			return false;
	}
	text = document_text(p->document);
	assert_true(g_string_equal(text, at->w->bodies[m->version]));
	g_string_free(text, TRUE);
	p->version = m->version;
	p->taken++;
	return true;
}

static const struct fetch_ops fetch_table = { fetch_sources, fetch_leader,
					      fetch_ask, fetch_acknowledge,
					      fetch_take };

/* Routes as one page of text; versions differ a little. */
static GString *body_of(uint64_t version)
{
	GString *s = g_string_new("{\"routes\":[");
	uint64_t seed = 1;

	/* One in which all stands elsewhere. */
	if (version == SHIFTED)
		ss_random(&seed);
	for (int i = 0; i < 900; i++)
		g_string_append_printf(s,
				       "%s{\"name\":\"%016" PRIx64
				       "\",\"weightsMb\":%d}",
				       i ? "," : "", ss_random(&seed), 16100);
	g_string_append_printf(s, "],\"version\":%" PRIu64 "}", version);
	return s;
}

static const char *const lists[DOCUMENT_PARTS] = { "", "routes", "services",
						   "customers" };

/* The change that makes a document into a version, packed. */
static GString *change_to(const struct world *w, const struct document *d,
			  uint64_t version)
{
	struct document_patch *n =
		document_compare(d, ss_str_gs(w->bodies[version]), lists, NULL);
	GString *packed;

	n->change.version = version;
	packed = document_pack(&n->change);
	document_patch_free(n);
	return packed;
}

static struct world *world_new(int members, int processes, double mbit_per_s)
{
	struct world *w = g_new0(struct world, 1);

	w->now = 1000;
	w->members = members;
	w->processes = processes;
	w->bytes_per_ms = mbit_per_s * 125;
	w->parcels = g_array_new(FALSE, FALSE, sizeof(struct parcel));
	for (uint64_t v = 0; v < G_N_ELEMENTS(w->bodies); v++)
		w->bodies[v] = body_of(v);
	for (int i = 0; i < members; i++) {
		struct mirror_options o = { &mirror_table, &member_place[i] };

		member_place[i] = (struct place){ w, i };
		w->m[i].mirror = mirror_new(&o, w->now);
		w->m[i].document = document_new();
	}
	for (int i = 0; i < processes; i++) {
		char *name = g_strdup_printf("vm-%d", i);
		struct fetch_options o = { &fetch_table, &process_place[i],
					   name, false };

		process_place[i] = (struct place){ w, i };
		w->p[i].fetch = fetch_new(&o);
		w->p[i].document = document_new();
		w->p[i].asked = -1;
		g_free(name);
	}
	return w;
}

static void world_free(struct world *w)
{
	for (int i = 0; i < w->members; i++) {
		mirror_free(w->m[i].mirror);
		document_free(w->m[i].document);
	}
	for (int i = 0; i < w->processes; i++) {
		fetch_free(w->p[i].fetch);
		document_free(w->p[i].document);
	}
	for (guint i = 0; i < w->parcels->len; i++) {
		struct parcel *x = &g_array_index(w->parcels, struct parcel, i);

		if (x->changes)
			g_ptr_array_unref(x->changes);
	}
	for (size_t v = 0; v < G_N_ELEMENTS(w->bodies); v++)
		g_string_free(w->bodies[v], TRUE);
	g_array_unref(w->parcels);
	g_free(w);
}

/* Make a document into a version, and say by which change. */
static GString *bring_to(const struct world *w, struct document *d,
			 uint64_t version)
{
	GString *packed = change_to(w, d, version);
	struct document_patch *n = document_open(ss_str_gs(packed), NULL);

	assert_true(document_apply(d, &n->change, NULL));
	document_patch_free(n);
	return packed;
}

/* A version is applied by a member. */
static void apply_at(struct world *w, int member, uint64_t version)
{
	struct member *m = &w->m[member];
	struct mirror_version v = { .version = version };
	uint64_t before = document_version(m->document);
	GString *packed = NULL;

	if (version > before)
		packed = bring_to(w, m->document, version);
	/* One of the whole isn't told as a change. */
	if (packed && before) {
		v.change = ss_str_gs(packed);
		v.base = before;
	}
	mirror_set(m->mirror, &v, w->now);
	if (packed)
		g_string_free(packed, TRUE);
}

static void apply(struct world *w, uint64_t version)
{
	for (int i = 0; i < w->members; i++)
		apply_at(w, i, version);
}

/* The leader's word to everybody. */
static void tell(struct world *w, uint64_t version)
{
	for (int i = 0; i < w->processes; i++)
		fetch_want(w->p[i].fetch, version, w->now);
}

static void arrive(struct world *w, struct parcel *x)
{
	struct process *p = &w->p[x->process];
	struct member *m = &w->m[x->member];
	GArray *bytes;

	if (!x->answer) {
		if (!m->dark && !m->deaf)
			mirror_ask(m->mirror, &process_place[x->process],
				   &x->ask, w->now);
		return;
	}
	bytes = g_array_new(FALSE, FALSE, sizeof(struct routing_bytes));
	for (guint i = 0; i < x->changes->len; i++) {
		struct routing_bytes c = { ss_str_gs(x->changes->pdata[i]) };

		g_array_append_val(bytes, c);
	}
	x->routing.changes = (struct wire_list){ bytes->data, bytes->len };
	/* On a connection that was given up nothing arrives. */
	if (p->asked == x->member && !m->dark && !m->mute)
		fetch_answered(p->fetch, &x->routing, w->now);
	g_array_unref(bytes);
	g_ptr_array_unref(x->changes);
}

static void deliver(struct world *w)
{
	for (guint i = 0; i < w->parcels->len;) {
		struct parcel x = g_array_index(w->parcels, struct parcel, i);

		if (x.at_ms > w->now) {
			i++;
			continue;
		}
		g_array_remove_index(w->parcels, i);
		arrive(w, &x);
	}
}

static void step(struct world *w)
{
	w->now += STEP_MS;
	deliver(w);
	for (int i = 0; i < w->members; i++) {
		int64_t wait = (int64_t)(w->m[i].free_ms - (double)w->now);

		w->m[i].beat_ms = MAX(w->m[i].beat_ms, wait);
		if (!w->m[i].dark)
			mirror_tick(w->m[i].mirror, w->now);
	}
	for (int i = 0; w->now % 20 == 0 && i < w->processes; i++)
		fetch_tick(w->p[i].fetch, w->now);
}

static int holding(const struct world *w, uint64_t version)
{
	int n = 0;

	for (int i = 0; i < w->processes; i++)
		n += w->p[i].version >= version;
	return n;
}

/* Milliseconds until all hold it; SS_NEVER where they don't within most. */
static int64_t until_all_hold(struct world *w, uint64_t version, int64_t most)
{
	int64_t from = w->now;

	while (holding(w, version) < w->processes) {
		if (w->now - from >= most)
			return SS_NEVER;
		step(w);
	}
	return w->now - from;
}

struct link_case {
	const char *label;
	double mbit_per_s;
	int members;
	int64_t first_ms, change_ms; /* bounds for all to hold it */
};

static const struct link_case link_cases[] = {
	{ "slow links", 10, MEMBERS, 6000, 300 },
	{ "links of 100 Mbit/s", 100, MEMBERS, 1000, 200 },
	{ "fast links", 1000, MEMBERS, 500, 200 },
	{ "the leader alone", 100, 1, 4000, 300 },
};

/*
 * Symptom: the leader loses its majority whenever the routing changes, and
 * again each time that the next leader sends it. Sequence: 285 processes get
 * 100 KB each; heartbeats stand behind them on the leader's link. Cause: what
 * the kernel had taken counted as sent, and one process sent to all.
 */
static void heartbeats_pass_beside_the_routing(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(link_cases); i++) {
		const struct link_case *c = &link_cases[i];
		struct world *w =
			world_new(c->members, PROCESSES, c->mbit_per_s);
		int64_t first, change;

		apply(w, 1);
		tell(w, 1);
		first = until_all_hold(w, 1, 60000);
		apply(w, 2);
		tell(w, 2);
		change = until_all_hold(w, 2, 60000);
		if (first > c->first_ms || change > c->change_ms)
			fail_msg("%s: %" PRId64 " ms, then %" PRId64, c->label,
				 first, change);
		for (int k = 0; k < c->members; k++)
			if (w->m[k].beat_ms > HEARTBEAT_MS)
				fail_msg("%s: a heartbeat stood for %" PRId64
					 " ms",
					 c->label, w->m[k].beat_ms);
		/* The leader has its heartbeats to send. */
		if (c->members > 1)
			assert_int_equal(w->m[w->leader].served, 0);
		for (int k = 0; k < PROCESSES; k++)
			assert_int_equal(w->p[k].taken, 2);
		world_free(w);
	}
}

/* Routes of the versions of a world whose routing grows. */
static const int grown[] = { 50, 1450, 2850, 4250, 12000, 12001 };

static void grow(struct world *w)
{
	for (size_t v = 0; v < G_N_ELEMENTS(grown); v++) {
		uint64_t seed = 1;
		GString *s = w->bodies[v + 1];

		g_string_assign(s, "{\"routes\":[");
		for (int i = 0; i < grown[v]; i++)
			g_string_append_printf(s,
					       "%s{\"name\":\"%016" PRIx64
					       "\",\"host\":\"%08" PRIx64
					       ".example\"}",
					       i ? "," : "", ss_random(&seed),
					       ss_random(&seed));
		g_string_append_printf(s, "],\"version\":%zu}", v + 1);
	}
}

/* A change that is in force late where many routes are held already. */
static void growing_routing_is_everywhere_within_a_second(void **state)
{
	struct world *w = world_new(MEMBERS, 100, 100);

	(void)state;
	w->share = 0.09;
	grow(w);
	for (uint64_t v = 1; v <= G_N_ELEMENTS(grown); v++) {
		int64_t from = w->now, took;

		apply(w, v);
		tell(w, v);
		took = until_all_hold(w, v, 10000);
		/* A process that has read it answers by it. */
		for (int i = 0; i < w->processes; i++)
			took = MAX(took, w->p[i].busy_ms - from);
		if (took > 1000)
			fail_msg("version %" PRIu64 ": %" PRId64 " ms", v,
				 took);
		w->now += 5000;
	}
	world_free(w);
}

/* Who holds the newest is sent nothing, also after the leader has changed. */
static void nobody_is_sent_what_it_holds(void **state)
{
	struct world *w = world_new(MEMBERS, 40, 100);
	int served = 0;

	(void)state;
	apply(w, 1);
	tell(w, 1);
	until_all_hold(w, 1, 5000);
	w->leader = 1;
	tell(w, 1);
	for (int i = 0; i < 1000; i++)
		step(w);
	for (int i = 0; i < MEMBERS; i++)
		served += w->m[i].served;
	assert_int_equal(served, 40);
	world_free(w);
}

enum fault {
	STANDS_STILL,
	DEAF,
	MUTE,
	BEHIND,
	OLD_STATE,
	LEADER_CHANGES,
	LEADER_ONLY,
	NEWER_MEANWHILE,
	SKIPPED,
};

static const struct {
	const char *label;
	enum fault fault;
	int64_t most_ms; /* for all to hold version 3 */
} faults[] = {
	{ "a member stands still", STANDS_STILL, 2000 },
	{ "a member hears nothing", DEAF, 2000 },
	{ "nobody hears a member", MUTE, 2000 },
	{ "a member is behind, and stays so", BEHIND, 2000 },
	{ "a member is back with an old version", OLD_STATE, 2000 },
	{ "the leader changes in the middle", LEADER_CHANGES, 1000 },
	{ "nobody but the leader is left", LEADER_ONLY, 4000 },
	{ "a newer version comes in the middle", NEWER_MEANWHILE, 1000 },
	{ "versions between were never fetched", SKIPPED, 1000 },
};

static void harm(struct world *w, enum fault fault)
{
	struct mirror_options o = { &mirror_table, &member_place[2] };

	switch (fault) {
	case STANDS_STILL:
		w->m[2].dark = true;
		break;
	case DEAF:
		w->m[2].deaf = true;
		break;
	case MUTE:
		w->m[2].mute = true;
		break;
	case BEHIND:
		for (int i = 0; i < w->members; i++)
			if (i != 2)
				apply_at(w, i, 3);
		return;
	case OLD_STATE:
		mirror_free(w->m[2].mirror);
		document_free(w->m[2].document);
		w->m[2].mirror = mirror_new(&o, w->now);
		w->m[2].document = document_new();
		apply_at(w, 2, 1);
		for (int i = 0; i < w->members; i++)
			if (i != 2)
				apply_at(w, i, 3);
		return;
	case LEADER_ONLY:
		for (int i = 0; i < w->members; i++)
			w->m[i].dark = i != w->leader;
		break;
	case SKIPPED:
		for (uint64_t v = 4; v < 9; v++)
			apply(w, v);
		return;
	case LEADER_CHANGES:
	case NEWER_MEANWHILE:
		break;
	}
	apply(w, 3);
}

/*
 * Symptom: an entry follows an old routing for seconds, or for ever. Sequence
 * and cause: the rows; whoever was asked doesn't answer, or with what is of no
 * use, and nobody else was asked.
 */
static void every_process_gets_it_beside_faults(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct world *w = world_new(MEMBERS, 60, 100);
		int64_t took;

		apply(w, 1);
		tell(w, 1);
		until_all_hold(w, 1, 5000);
		apply(w, 2);
		tell(w, 2);
		until_all_hold(w, 2, 5000);
		harm(w, faults[i].fault);
		tell(w, 3);
		for (int k = 0; k < 5; k++)
			step(w);
		if (faults[i].fault == LEADER_CHANGES)
			w->leader = 3;
		if (faults[i].fault == NEWER_MEANWHILE) {
			apply(w, 4);
			tell(w, 4);
		}
		took = until_all_hold(w, 3, 20000);
		if (took > faults[i].most_ms)
			fail_msg("%s: %" PRId64 " ms", faults[i].label, took);
		world_free(w);
	}
}

/* Rows of one answer to a process that holds version 1 and wants 2. */
static const struct {
	const char *label;
	uint64_t version, base;
	uint64_t from; /* the version that its change is made of; 0: whole */
	bool cut, asked, taken;
} answers[] = {
	{ "whole", 2, 0, 0, false, true, true },
	{ "the change", 2, 1, 1, false, true, true },
	{ "newer than wanted", 3, 1, 1, false, true, true },
	{ "a change of one that isn't held", 2, SHIFTED, SHIFTED, false, true,
	  false },
	{ "a change of another than it says", 2, 1, SHIFTED, false, true,
	  false },
	{ "cut", 2, 0, 0, true, true, false },
	{ "what is held already", 1, 0, 0, false, true, false },
	{ "what nobody asked for", 2, 0, 0, false, false, false },
};

/* A useless answer is logged, nothing is lost, and the next is asked whole. */
static void answers_are_taken_or_asked_again(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct world *w = world_new(1, 1, 100);
		struct process *p = &w->p[0];
		struct document *from = document_new();
		struct msg_routing m = { .version = answers[i].version,
					 .base = answers[i].base };
		struct routing_bytes b;
		GString *packed;

		apply(w, 1);
		tell(w, 1);
		until_all_hold(w, 1, 5000);
		if (answers[i].from)
			g_string_free(bring_to(w, from, answers[i].from), TRUE);
		packed = change_to(w, from, answers[i].version);
		b.packed = ss_str_gs(packed);
		b.packed.n -= answers[i].cut;
		m.changes = (struct wire_list){ &b, 1 };
		if (answers[i].asked)
			fetch_want(p->fetch, 2, w->now);
		p->asks = 0;
		fetch_answered(p->fetch, &m, w->now);
		if ((p->version >= 2) != answers[i].taken)
			fail_msg("%s: version %" PRIu64, answers[i].label,
				 p->version);
		assert_int_equal(fetch_version(p->fetch), p->version);
		w->now += FETCH_TRY_MS;
		fetch_tick(p->fetch, w->now);
		assert_int_equal(p->asks,
				 answers[i].asked && !answers[i].taken);
		document_free(from);
		g_string_free(packed, TRUE);
		world_free(w);
	}
}

/* Versions that nobody can be given any more take no memory. */
static void old_versions_are_dropped(void **state)
{
	struct world *w = world_new(1, 1, 100);
	struct mirror *big = w->m[0].mirror;
	struct mirror_version v = { 0 };
	GString *change = g_string_new(NULL);

	(void)state;
	g_string_set_size(change, MIRROR_BYTES / 3);
	for (uint64_t i = 1; i < 10; i++) {
		v = (struct mirror_version){ i, 1, ss_str_gs(change), i - 1 };
		mirror_set(big, &v, w->now);
		assert_true(mirror_bytes(big) <= MIRROR_BYTES);
	}
	g_string_set_size(change, 1);
	for (uint64_t i = 10; i < 300; i++) {
		v = (struct mirror_version){ i, 1, ss_str_gs(change), i - 1 };
		mirror_set(big, &v, w->now);
	}
	assert_int_equal(mirror_bytes(big), MIRROR_CHANGES);
	assert_int_equal(mirror_version(big), 299);
	g_string_free(change, TRUE);
	world_free(w);
	w = world_new(1, 1, 100);
	for (uint64_t i = 1; i < 10; i++)
		apply_at(w, 0, i);
	assert_int_equal(mirror_version(w->m[0].mirror), 9);
	apply_at(w, 0, 3);
	assert_int_equal(mirror_version(w->m[0].mirror), 9);
	world_free(w);
}

/* Changes that don't follow on each other, after a snapshot, handed out as if
 * they did. */
static void gaps_are_answered_with_the_whole(void **state)
{
	struct world *w = world_new(1, 1, 100);
	struct mirror_version v = { .version = 3, .base = 2 };
	GString *packed;

	(void)state;
	apply(w, 1);
	tell(w, 1);
	until_all_hold(w, 1, 5000);
	/* Version 2 came with a snapshot, unseen. */
	g_string_free(bring_to(w, w->m[0].document, 2), TRUE);
	packed = bring_to(w, w->m[0].document, 3);
	v.change = ss_str_gs(packed);
	mirror_set(w->m[0].mirror, &v, w->now);
	tell(w, 3);
	assert_true(until_all_hold(w, 3, 1000) < 1000);
	/* The change is of use to who holds what it was made of. */
	apply(w, 4);
	tell(w, 4);
	assert_true(until_all_hold(w, 4, 1000) < 1000);
	g_string_free(packed, TRUE);
	world_free(w);
}

/* A process that wants no routes is told of services only. */
static void services_come_without_routes(void **state)
{
	struct world *w = world_new(1, 1, 100);
	struct mirror_version v = { .version = 7, .services = 2 };
	const struct parcel *x;

	(void)state;
	g_string_free(bring_to(w, w->m[0].document, 1), TRUE);
	mirror_set(w->m[0].mirror, &v, w->now);
	mirror_ask(w->m[0].mirror, &process_place[0],
		   &(struct msg_fetch){ 0, 2, true }, w->now);
	x = &g_array_index(w->parcels, struct parcel, 0);
	assert_int_equal(x->routing.version, 2);
	assert_int_equal(x->routing.base, 0);
	assert_int_equal(x->changes->len, 1);
	mirror_ask(w->m[0].mirror, &process_place[0],
		   &(struct msg_fetch){ 2, 2, true }, w->now);
	assert_int_equal(w->parcels->len, 1);
	world_free(w);
}

/* A process that stands still, or leaves, doesn't hold up the others. */
static void silent_processes_hold_up_nobody(void **state)
{
	struct world *w = world_new(1, 100, 10);

	(void)state;
	apply(w, 1);
	/* Eighty that will never acknowledge. */
	for (int i = 0; i < 80; i++)
		mirror_ask(w->m[0].mirror, &process_place[i],
			   &(struct msg_fetch){ 0, 1, false }, w->now);
	for (int i = 0; i < 40; i++)
		mirror_gone(w->m[0].mirror, &process_place[i], w->now);
	for (int i = 80; i < 100; i++)
		fetch_want(w->p[i].fetch, 1, w->now);
	for (int i = 0; i < 10000 && holding(w, 1) < 20; i++)
		step(w);
	assert_int_equal(holding(w, 1), 20);
	for (int i = 0; i < 2 * SEND_WINDOW_LOST_MS; i++)
		step(w);
	assert_int_equal(mirror_in_flight(w->m[0].mirror), 0);
	world_free(w);
}

/* A link that carries so much, and a sender that always has more. */
static void window_follows_the_link(void **state)
{
	static const double bytes_per_ms[] = { 1250, 12500, 125000 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bytes_per_ms); i++) {
		double rate = bytes_per_ms[i], queue = 0, most = 0, carried = 0;
		struct send_window w;

		send_window_init(&w, 0);
		for (int64_t now = 1; now <= 5000; now++) {
			double out = MIN(queue, rate);

			queue -= out;
			carried += out;
			/* They were sent when what is left stood before. */
			send_window_acked(&w, (size_t)out,
					  now - (int64_t)(queue / rate) - 1);
			while (send_window_open(&w, 1000)) {
				send_window_sent(&w, 1000);
				queue += 1000;
			}
			send_window_tick(&w, now);
			if (now > 1000)
				most = MAX(most, queue / rate);
		}
		/* Full use of the link, and no heartbeat stands for long. */
		assert_true(carried > 0.7 * rate * 5000);
		assert_true(most < HEARTBEAT_MS);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(heartbeats_pass_beside_the_routing),
		cmocka_unit_test(growing_routing_is_everywhere_within_a_second),
		cmocka_unit_test(nobody_is_sent_what_it_holds),
		cmocka_unit_test(every_process_gets_it_beside_faults),
		cmocka_unit_test(answers_are_taken_or_asked_again),
		cmocka_unit_test(old_versions_are_dropped),
		cmocka_unit_test(gaps_are_answered_with_the_whole),
		cmocka_unit_test(services_come_without_routes),
		cmocka_unit_test(silent_processes_hold_up_nobody),
		cmocka_unit_test(window_follows_the_link),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
