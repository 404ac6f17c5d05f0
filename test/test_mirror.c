/*
 * Distribution of the routing to hundreds of processes: real mirrors and
 * fetches over simulated links of a given bandwidth, with a fake clock and
 * injected faults.
 */
#include "unit.h"

#include "../src/core/document.h"
#include "../src/core/fetch.h"
#include "../src/core/mirror.h"
#include "../src/core/send_window.h"

#define MEMBERS 6
#define PROCESSES 285
#define STEP_MS 1
/* One-way delay between two VMs in different failure domains. */
#define LINK_DELAY_MS 3
#define HEARTBEAT_MS 100
/* The version whose routes stand at other positions than in the others. */
#define SHIFTED_VERSION 5
/* CPU time to read one route, in ms. */
#define READ_ROUTE_MS 0.004

/* A message in transit from a member to a process, or back. */
struct packet {
	int64_t at_ms; /* when it arrives */
	int member, process;
	bool answer;
	struct msg_fetch request;
	struct msg_routing routing;
	GPtrArray *changes; /* GString, packed */
};

struct member {
	struct mirror *mirror;
	struct document *document;
	double link_free_ms; /* when its link has sent everything */
	bool down;	     /* receives and sends nothing */
	bool drops_incoming; /* receives nothing; what it sends arrives */
	bool drops_outgoing; /* what it sends is lost */
	/* Longest time that a heartbeat would have waited for its link. */
	int64_t max_link_queue_ms;
	int served;
};

struct process {
	struct fetch *fetch;
	double link_free_ms; /* of its own link */
	int source;	     /* the member that was asked last; -1: none */
	int requests;
	int applied;
	uint64_t version;
	struct document *document;
	int64_t busy_until_ms; /* end of reading what it applied */
};

struct world {
	int64_t now;
	double bytes_per_ms; /* of a member's link */
	int members, processes, leader;
	struct member m[MEMBERS];
	struct process p[PROCESSES];
	GArray *packets;
	GString *documents[10]; /* by version */
	/* Part of a CPU core that a process has; 0: reading takes no time. */
	double cpu_share;
};

/* Argument of the callbacks: a member or process, by its index. */
struct node_ref {
	struct world *w;
	int index;
};
static struct node_ref member_ref[MEMBERS], process_ref[PROCESSES];

static void send_on_link(struct world *w, double *link_free_ms,
			 double bytes_per_ms, struct packet *packet,
			 size_t bytes)
{
	*link_free_ms = MAX(*link_free_ms, (double)w->now) +
			(double)bytes / bytes_per_ms;
	packet->at_ms = (int64_t)*link_free_ms + LINK_DELAY_MS;
	g_array_append_val(w->packets, *packet);
}

static void free_bytes(void *bytes)
{
	g_string_free(bytes, TRUE);
}

static bool mirror_send(void *arg, void *peer, const struct msg_routing *m)
{
	const struct node_ref *at = arg, *to = peer;
	const struct routing_bytes *b = m->changes.items;
	struct member *from = &at->w->m[at->index];
	struct packet x = { .member = at->index,
			    .process = to->index,
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
	send_on_link(at->w, &from->link_free_ms, at->w->bytes_per_ms, &x,
		     bytes);
	return true;
}

static GString *mirror_pack_full(void *arg, bool routes)
{
	const struct node_ref *at = arg;

	return document_pack_full(at->w->m[at->index].document, routes);
}

static const struct mirror_ops mirror_table = { mirror_send, mirror_pack_full };

static char *member_addr(int i)
{
	return g_strdup_printf("10.0.%d.1:7380", i);
}

static void fetch_sources(void *arg, GPtrArray *out)
{
	const struct node_ref *at = arg;

	for (int i = 0; i < at->w->members; i++)
		g_ptr_array_add(out, member_addr(i));
}

static const char *fetch_leader(void *arg)
{
	const struct node_ref *at = arg;
	static char addr[32];
	char *a = member_addr(at->w->leader);

	g_strlcpy(addr, a, sizeof(addr));
	g_free(a);
	return addr;
}

static void send_request(struct world *w, int process,
			 const struct msg_fetch *m)
{
	struct packet x = { .member = w->p[process].source,
			    .process = process,
			    .request = *m,
			    .at_ms = w->now + LINK_DELAY_MS };

	g_array_append_val(w->packets, x);
}

static void fetch_request(void *arg, const char *addr,
			  const struct msg_fetch *m)
{
	const struct node_ref *at = arg;
	struct process *p = &at->w->p[at->index];

	p->requests++;
	for (int i = 0; i < at->w->members; i++) {
		char *a = member_addr(i);

		if (!strcmp(a, addr)) {
			/* The previous connection closes. */
			if (p->source >= 0 && p->source != i)
				mirror_peer_closed(at->w->m[p->source].mirror,
						   &process_ref[at->index],
						   at->w->now);
			p->source = i;
		}
		g_free(a);
	}
	send_request(at->w, at->index, m);
}

static void fetch_acknowledge(void *arg, const struct msg_fetch *m)
{
	const struct node_ref *at = arg;

	send_request(at->w, at->index, m);
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

static bool fetch_apply(void *arg, const struct msg_routing *m)
{
	const struct node_ref *at = arg;
	struct process *p = &at->w->p[at->index];
	const struct routing_bytes *b = m->changes.items;
	GString *text;

	assert_true(m->version > p->version);
	for (size_t i = 0; i < m->changes.n; i++) {
		struct document_patch *n = document_unpack(b[i].packed, NULL);
		bool ok = n && document_apply(p->document, &n->change, NULL);

		/* The real process reads a few routes at a time, and sends in
		 * between. */
		if (ok && at->w->cpu_share > 0)
			p->busy_until_ms =
				MAX(p->busy_until_ms, at->w->now) +
				(int64_t)(routes_in(&n->change) *
					  READ_ROUTE_MS / at->w->cpu_share);
		document_patch_free(n);
		if (!ok)
			return false;
	}
	text = document_text(p->document);
	assert_true(g_string_equal(text, at->w->documents[m->version]));
	g_string_free(text, TRUE);
	p->version = m->version;
	p->applied++;
	return true;
}

static const struct fetch_ops fetch_table = { fetch_sources, fetch_leader,
					      fetch_request, fetch_acknowledge,
					      fetch_apply };

/* A document of 900 routes. Versions differ little, except SHIFTED_VERSION. */
static GString *make_document(uint64_t version)
{
	GString *s = g_string_new("{\"routes\":[");
	uint64_t seed = 1;

	if (version == SHIFTED_VERSION)
		ss_random(&seed);
	for (int i = 0; i < 900; i++)
		g_string_append_printf(s,
				       "%s{\"name\":\"%016" PRIx64
				       "\",\"weightsMb\":%d}",
				       i ? "," : "", ss_random(&seed), 16100);
	g_string_append_printf(s, "],\"version\":%" PRIu64 "}", version);
	return s;
}

static const char *const list_names[DOCUMENT_PARTS] = { "", "routes",
							"services",
							"customers" };

/* Returns the packed change from a document to a version. */
static GString *change_to(const struct world *w, const struct document *d,
			  uint64_t version)
{
	struct document_patch *n = document_compare(
		d, ss_str_gs(w->documents[version]), list_names, NULL);
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
	w->packets = g_array_new(FALSE, FALSE, sizeof(struct packet));
	for (uint64_t v = 0; v < G_N_ELEMENTS(w->documents); v++)
		w->documents[v] = make_document(v);
	for (int i = 0; i < members; i++) {
		struct mirror_options o = { &mirror_table, &member_ref[i] };

		member_ref[i] = (struct node_ref){ w, i };
		w->m[i].mirror = mirror_new(&o, w->now);
		w->m[i].document = document_new();
	}
	for (int i = 0; i < processes; i++) {
		char *name = g_strdup_printf("vm-%d", i);
		struct fetch_options o = { &fetch_table, &process_ref[i], name,
					   false };

		process_ref[i] = (struct node_ref){ w, i };
		w->p[i].fetch = fetch_new(&o);
		w->p[i].document = document_new();
		w->p[i].source = -1;
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
	for (guint i = 0; i < w->packets->len; i++) {
		struct packet *x = &g_array_index(w->packets, struct packet, i);

		if (x->changes)
			g_ptr_array_unref(x->changes);
	}
	for (size_t v = 0; v < G_N_ELEMENTS(w->documents); v++)
		g_string_free(w->documents[v], TRUE);
	g_array_unref(w->packets);
	g_free(w);
}

/* Updates a document to a version and returns the packed change. */
static GString *advance_document(const struct world *w, struct document *d,
				 uint64_t version)
{
	GString *packed = change_to(w, d, version);
	struct document_patch *n = document_unpack(ss_str_gs(packed), NULL);

	assert_true(document_apply(d, &n->change, NULL));
	document_patch_free(n);
	return packed;
}

/* Applies a version at one member. */
static void apply_at(struct world *w, int member, uint64_t version)
{
	struct member *m = &w->m[member];
	struct mirror_version v = { .version = version };
	uint64_t before = document_version(m->document);
	GString *packed = NULL;

	if (version > before)
		packed = advance_document(w, m->document, version);
	/* The first version is a full copy, not a change. */
	if (packed && before) {
		v.change = ss_str_gs(packed);
		v.base = before;
	}
	mirror_add_version(m->mirror, &v, w->now);
	if (packed)
		g_string_free(packed, TRUE);
}

/* Applies a version at all members. */
static void apply(struct world *w, uint64_t version)
{
	for (int i = 0; i < w->members; i++)
		apply_at(w, i, version);
}

/* The leader reports the version in force to all processes. */
static void announce(struct world *w, uint64_t version)
{
	for (int i = 0; i < w->processes; i++)
		fetch_want(w->p[i].fetch, version, w->now);
}

static void receive(struct world *w, struct packet *x)
{
	struct process *p = &w->p[x->process];
	struct member *m = &w->m[x->member];
	GArray *bytes;

	if (!x->answer) {
		if (!m->down && !m->drops_incoming)
			mirror_request(m->mirror, &process_ref[x->process],
				       &x->request, w->now);
		return;
	}
	bytes = g_array_new(FALSE, FALSE, sizeof(struct routing_bytes));
	for (guint i = 0; i < x->changes->len; i++) {
		struct routing_bytes c = { ss_str_gs(x->changes->pdata[i]) };

		g_array_append_val(bytes, c);
	}
	x->routing.changes = (struct wire_list){ bytes->data, bytes->len };
	/* Nothing arrives on a connection that was closed. */
	if (p->source == x->member && !m->down && !m->drops_outgoing)
		fetch_answered(p->fetch, &x->routing, w->now);
	g_array_unref(bytes);
	g_ptr_array_unref(x->changes);
}

static void deliver_packets(struct world *w)
{
	for (guint i = 0; i < w->packets->len;) {
		struct packet x = g_array_index(w->packets, struct packet, i);

		if (x.at_ms > w->now) {
			i++;
			continue;
		}
		g_array_remove_index(w->packets, i);
		receive(w, &x);
	}
}

static void step(struct world *w)
{
	w->now += STEP_MS;
	deliver_packets(w);
	for (int i = 0; i < w->members; i++) {
		int64_t wait = (int64_t)(w->m[i].link_free_ms - (double)w->now);

		w->m[i].max_link_queue_ms =
			MAX(w->m[i].max_link_queue_ms, wait);
		if (!w->m[i].down)
			mirror_tick(w->m[i].mirror, w->now);
	}
	for (int i = 0; w->now % 20 == 0 && i < w->processes; i++)
		fetch_tick(w->p[i].fetch, w->now);
}

static int processes_holding(const struct world *w, uint64_t version)
{
	int n = 0;

	for (int i = 0; i < w->processes; i++)
		n += w->p[i].version >= version;
	return n;
}

/* Runs until all processes hold a version and returns the time that it took, in
 * ms; SS_NEVER if it takes longer than max_ms. */
static int64_t time_until_all_hold(struct world *w, uint64_t version,
				   int64_t max_ms)
{
	int64_t from = w->now;

	while (processes_holding(w, version) < w->processes) {
		if (w->now - from >= max_ms)
			return SS_NEVER;
		step(w);
	}
	return w->now - from;
}

struct link_case {
	const char *label;
	double mbit_per_s;
	int members;
	/* Bounds for all processes to hold the first version and a change. */
	int64_t first_ms, change_ms;
};

static const struct link_case link_cases[] = {
	{ "slow links", 10, MEMBERS, 6000, 300 },
	{ "links of 100 Mbit/s", 100, MEMBERS, 1000, 200 },
	{ "fast links", 1000, MEMBERS, 500, 200 },
	{ "only the leader", 100, 1, 4000, 300 },
};

/*
 * The leader must not lose its majority when the routing changes. When it sent
 * 100 KB to each of 285 processes itself, and data in the kernel's buffers
 * counted as sent, its heartbeats queued behind that data on its link; the next
 * leader then failed in the same way.
 */
static void heartbeats_are_not_delayed_by_the_routing(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(link_cases); i++) {
		const struct link_case *c = &link_cases[i];
		struct world *w =
			world_new(c->members, PROCESSES, c->mbit_per_s);
		int64_t first, change;

		apply(w, 1);
		announce(w, 1);
		first = time_until_all_hold(w, 1, 60000);
		apply(w, 2);
		announce(w, 2);
		change = time_until_all_hold(w, 2, 60000);
		if (first > c->first_ms || change > c->change_ms)
			fail_msg("%s: %" PRId64 " ms, then %" PRId64, c->label,
				 first, change);
		for (int k = 0; k < c->members; k++)
			if (w->m[k].max_link_queue_ms > HEARTBEAT_MS)
				fail_msg("%s: a heartbeat waited for %" PRId64
					 " ms",
					 c->label, w->m[k].max_link_queue_ms);
		/* The leader, with heartbeats to send, serves no process. */
		if (c->members > 1)
			assert_int_equal(w->m[w->leader].served, 0);
		for (int k = 0; k < PROCESSES; k++)
			assert_int_equal(w->p[k].applied, 2);
		world_free(w);
	}
}

/* Number of routes in each version of a routing that grows. */
static const int route_counts[] = { 50, 1450, 2850, 4250, 12000, 12001 };

static void make_growing_documents(struct world *w)
{
	for (size_t v = 0; v < G_N_ELEMENTS(route_counts); v++) {
		uint64_t seed = 1;
		GString *s = w->documents[v + 1];

		g_string_assign(s, "{\"routes\":[");
		for (int i = 0; i < route_counts[v]; i++)
			g_string_append_printf(s,
					       "%s{\"name\":\"%016" PRIx64
					       "\",\"host\":\"%08" PRIx64
					       ".example\"}",
					       i ? "," : "", ss_random(&seed),
					       ss_random(&seed));
		g_string_append_printf(s, "],\"version\":%zu}", v + 1);
	}
}

/* Guards against changes that take effect later the more routes a process
 * holds. */
static void growing_routing_is_in_force_within_a_second(void **state)
{
	struct world *w = world_new(MEMBERS, 100, 100);

	(void)state;
	w->cpu_share = 0.09;
	make_growing_documents(w);
	for (uint64_t v = 1; v <= G_N_ELEMENTS(route_counts); v++) {
		int64_t from = w->now, took;

		apply(w, v);
		announce(w, v);
		took = time_until_all_hold(w, v, 10000);
		/* A version is in force once the process has read it. */
		for (int i = 0; i < w->processes; i++)
			took = MAX(took, w->p[i].busy_until_ms - from);
		if (took > 1000)
			fail_msg("version %" PRIu64 ": %" PRId64 " ms", v,
				 took);
		w->now += 5000;
	}
	world_free(w);
}

/* A process that holds the newest version is sent nothing, also after a change
 * of leader. */
static void held_versions_are_not_sent_again(void **state)
{
	struct world *w = world_new(MEMBERS, 40, 100);
	int served = 0;

	(void)state;
	apply(w, 1);
	announce(w, 1);
	time_until_all_hold(w, 1, 5000);
	w->leader = 1;
	announce(w, 1);
	for (int i = 0; i < 1000; i++)
		step(w);
	for (int i = 0; i < MEMBERS; i++)
		served += w->m[i].served;
	assert_int_equal(served, 40);
	world_free(w);
}

enum fault {
	MEMBER_DOWN,
	DROPS_INCOMING,
	DROPS_OUTGOING,
	MEMBER_BEHIND,
	OLD_STATE,
	LEADER_CHANGES,
	LEADER_ONLY,
	NEWER_VERSION,
	VERSIONS_SKIPPED,
};

static const struct {
	const char *label;
	enum fault fault;
	int64_t max_ms; /* until all processes hold version 3 */
} faults[] = {
	{ "a member is down", MEMBER_DOWN, 2000 },
	{ "a member receives nothing", DROPS_INCOMING, 2000 },
	{ "what a member sends is lost", DROPS_OUTGOING, 2000 },
	{ "a member stays behind", MEMBER_BEHIND, 2000 },
	{ "a member restarts with an old version", OLD_STATE, 2000 },
	{ "the leader changes during the update", LEADER_CHANGES, 1000 },
	{ "only the leader is left", LEADER_ONLY, 4000 },
	{ "a newer version arrives during the update", NEWER_VERSION, 1000 },
	{ "intermediate versions were never fetched", VERSIONS_SKIPPED, 1000 },
};

static void inject_fault(struct world *w, enum fault fault)
{
	struct mirror_options o = { &mirror_table, &member_ref[2] };

	switch (fault) {
	case MEMBER_DOWN:
		w->m[2].down = true;
		break;
	case DROPS_INCOMING:
		w->m[2].drops_incoming = true;
		break;
	case DROPS_OUTGOING:
		w->m[2].drops_outgoing = true;
		break;
	case MEMBER_BEHIND:
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
			w->m[i].down = i != w->leader;
		break;
	case VERSIONS_SKIPPED:
		for (uint64_t v = 4; v < 9; v++)
			apply(w, v);
		return;
	case LEADER_CHANGES:
	case NEWER_VERSION:
		break;
	}
	apply(w, 3);
}

/*
 * An entry must not keep an old routing for seconds or for ever because the
 * member that it asked doesn't answer, or answers with something unusable, and
 * no other member is asked.
 */
static void every_process_gets_the_routing_despite_faults(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct world *w = world_new(MEMBERS, 60, 100);
		int64_t took;

		apply(w, 1);
		announce(w, 1);
		time_until_all_hold(w, 1, 5000);
		apply(w, 2);
		announce(w, 2);
		time_until_all_hold(w, 2, 5000);
		inject_fault(w, faults[i].fault);
		announce(w, 3);
		for (int k = 0; k < 5; k++)
			step(w);
		if (faults[i].fault == LEADER_CHANGES)
			w->leader = 3;
		if (faults[i].fault == NEWER_VERSION) {
			apply(w, 4);
			announce(w, 4);
		}
		took = time_until_all_hold(w, 3, 20000);
		if (took > faults[i].max_ms)
			fail_msg("%s: %" PRId64 " ms", faults[i].label, took);
		world_free(w);
	}
}

/* Answers to a process that holds version 1 and wants 2. */
static const struct {
	const char *label;
	uint64_t version, base;
	uint64_t from; /* version its change applies to; 0: full copy */
	bool truncated, requested, applied;
} answers[] = {
	{ "a full copy", 2, 0, 0, false, true, true },
	{ "the change from the held version", 2, 1, 1, false, true, true },
	{ "newer than wanted", 3, 1, 1, false, true, true },
	{ "a change from a version that isn't held", 2, SHIFTED_VERSION,
	  SHIFTED_VERSION, false, true, false },
	{ "a change from another version than stated", 2, 1, SHIFTED_VERSION,
	  false, true, false },
	{ "a truncated full copy", 2, 0, 0, true, true, false },
	{ "the held version", 1, 0, 0, false, true, false },
	{ "an answer without a request", 2, 0, 0, false, false, false },
};

/* An unusable answer is logged, the held version stays, and a full copy is
 * requested. */
static void unusable_answers_are_requested_again(void **state)
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
		announce(w, 1);
		time_until_all_hold(w, 1, 5000);
		if (answers[i].from)
			g_string_free(advance_document(w, from,
						       answers[i].from),
				      TRUE);
		packed = change_to(w, from, answers[i].version);
		b.packed = ss_str_gs(packed);
		b.packed.n -= answers[i].truncated;
		m.changes = (struct wire_list){ &b, 1 };
		if (answers[i].requested)
			fetch_want(p->fetch, 2, w->now);
		p->requests = 0;
		fetch_answered(p->fetch, &m, w->now);
		if ((p->version >= 2) != answers[i].applied)
			fail_msg("%s: version %" PRIu64, answers[i].label,
				 p->version);
		assert_int_equal(fetch_version(p->fetch), p->version);
		w->now += FETCH_TIMEOUT_MS;
		fetch_tick(p->fetch, w->now);
		assert_int_equal(p->requests,
				 answers[i].requested && !answers[i].applied);
		document_free(from);
		g_string_free(packed, TRUE);
		world_free(w);
	}
}

/* Guards against memory that grows with each version: changes beyond the limits
 * on number and bytes are dropped. */
static void old_versions_are_dropped(void **state)
{
	struct world *w = world_new(1, 1, 100);
	struct mirror *big = w->m[0].mirror;
	struct mirror_version v = { 0 };
	GString *change = g_string_new(NULL);

	(void)state;
	g_string_set_size(change, MIRROR_CHANGES_MAX_BYTES / 3);
	for (uint64_t i = 1; i < 10; i++) {
		v = (struct mirror_version){ i, 1, ss_str_gs(change), i - 1 };
		mirror_add_version(big, &v, w->now);
		assert_true(mirror_bytes(big) <= MIRROR_CHANGES_MAX_BYTES);
	}
	g_string_set_size(change, 1);
	for (uint64_t i = 10; i < 300; i++) {
		v = (struct mirror_version){ i, 1, ss_str_gs(change), i - 1 };
		mirror_add_version(big, &v, w->now);
	}
	assert_int_equal(mirror_bytes(big), MIRROR_CHANGES_MAX);
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

/* Guards against changes that are sent as consecutive though a version between
 * them came in a snapshot, without a change. */
static void gaps_are_answered_with_a_full_copy(void **state)
{
	struct world *w = world_new(1, 1, 100);
	struct mirror_version v = { .version = 3, .base = 2 };
	GString *packed;

	(void)state;
	apply(w, 1);
	announce(w, 1);
	time_until_all_hold(w, 1, 5000);
	/* Version 2 came in a snapshot, without a change. */
	g_string_free(advance_document(w, w->m[0].document, 2), TRUE);
	packed = advance_document(w, w->m[0].document, 3);
	v.change = ss_str_gs(packed);
	mirror_add_version(w->m[0].mirror, &v, w->now);
	announce(w, 3);
	assert_true(time_until_all_hold(w, 3, 1000) < 1000);
	/* A process that holds the change's base gets the change. */
	apply(w, 4);
	announce(w, 4);
	assert_true(time_until_all_hold(w, 4, 1000) < 1000);
	g_string_free(packed, TRUE);
	world_free(w);
}

/* A process that wants no routes is sent services only. */
static void services_come_without_routes(void **state)
{
	struct world *w = world_new(1, 1, 100);
	struct mirror_version v = { .version = 7, .services_version = 2 };
	const struct packet *x;

	(void)state;
	g_string_free(advance_document(w, w->m[0].document, 1), TRUE);
	mirror_add_version(w->m[0].mirror, &v, w->now);
	mirror_request(w->m[0].mirror, &process_ref[0],
		       &(struct msg_fetch){ 0, 2, true }, w->now);
	x = &g_array_index(w->packets, struct packet, 0);
	assert_int_equal(x->routing.version, 2);
	assert_int_equal(x->routing.base, 0);
	assert_int_equal(x->changes->len, 1);
	mirror_request(w->m[0].mirror, &process_ref[0],
		       &(struct msg_fetch){ 2, 2, true }, w->now);
	assert_int_equal(w->packets->len, 1);
	world_free(w);
}

/* Guards against processes that hang or disconnect and block the others. */
static void silent_processes_do_not_block_others(void **state)
{
	struct world *w = world_new(1, 100, 10);

	(void)state;
	apply(w, 1);
	/* Eighty processes that never acknowledge. */
	for (int i = 0; i < 80; i++)
		mirror_request(w->m[0].mirror, &process_ref[i],
			       &(struct msg_fetch){ 0, 1, false }, w->now);
	for (int i = 0; i < 40; i++)
		mirror_peer_closed(w->m[0].mirror, &process_ref[i], w->now);
	for (int i = 80; i < 100; i++)
		fetch_want(w->p[i].fetch, 1, w->now);
	for (int i = 0; i < 10000 && processes_holding(w, 1) < 20; i++)
		step(w);
	assert_int_equal(processes_holding(w, 1), 20);
	for (int i = 0; i < 2 * SEND_WINDOW_TIMEOUT_MS; i++)
		step(w);
	assert_int_equal(mirror_in_flight(w->m[0].mirror), 0);
	world_free(w);
}

/* The send window on a link of a given rate, with a sender that always has
 * more to send. */
static void window_follows_the_link(void **state)
{
	static const double bytes_per_ms[] = { 1250, 12500, 125000 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bytes_per_ms); i++) {
		double rate = bytes_per_ms[i], queue = 0, longest_ms = 0,
		       carried = 0;
		struct send_window w;

		send_window_init(&w, 0);
		for (int64_t now = 1; now <= 5000; now++) {
			double out = MIN(queue, rate);

			queue -= out;
			carried += out;
			/* These bytes were sent before those still queued. */
			send_window_acked(&w, (size_t)out,
					  now - (int64_t)(queue / rate) - 1);
			while (send_window_allows(&w, 1000)) {
				send_window_sent(&w, 1000);
				queue += 1000;
			}
			send_window_tick(&w, now);
			if (now > 1000)
				longest_ms = MAX(longest_ms, queue / rate);
		}
		/* The link is well used, and no heartbeat waits long. */
		assert_true(carried > 0.7 * rate * 5000);
		assert_true(longest_ms < HEARTBEAT_MS);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(heartbeats_are_not_delayed_by_the_routing),
		cmocka_unit_test(growing_routing_is_in_force_within_a_second),
		cmocka_unit_test(held_versions_are_not_sent_again),
		cmocka_unit_test(every_process_gets_the_routing_despite_faults),
		cmocka_unit_test(unusable_answers_are_requested_again),
		cmocka_unit_test(old_versions_are_dropped),
		cmocka_unit_test(gaps_are_answered_with_a_full_copy),
		cmocka_unit_test(services_come_without_routes),
		cmocka_unit_test(silent_processes_do_not_block_others),
		cmocka_unit_test(window_follows_the_link),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
