/* A fleet's real leader with simulated entries and engines. */
#include "fleet_world.h"

#include <math.h>
#include <time.h>

#include "../platform/platform.h"
#include "../src/core/endpoint_limit.h"
#include "../src/core/fleet_wire.h"
#include "../src/core/fleet_slowness.h"
#include "../src/core/state.h"
#include "../src/core/stream_wire.h"
#include "../src/daemon/fleet_leader.h"
#include "../src/vmlist/instances.h"

#define TICK_MS 20
/* Intervals of entries' reports, with and without changes, and of agents'
 * reports. */
#define REPORT_INTERVAL_MS 100
#define REPORT_UNCHANGED_MS 1000
#define AGENT_REPORT_MS 1000
#define LIST_INTERVAL_MS 900
/* Duration of a model load. */
#define LOAD_MS 400
/* Interval at which an entry handles limits, and the interval of its requests
 * for an engine that states a limit. */
#define LIMIT_TICK_MS 10
#define LIMIT_REQUEST_MS 200
#define LIMIT_PER_S 1.0
/* One-way delay of a message. */
#define MESSAGE_DELAY_MS 2
#define MODELS_PER_ENGINE 3
#define ADDRESS_MAX 32

struct call {
	int model, engine; /* -1: waiting */
	int64_t end_ms;
};

struct conn {
	struct fleet_world *w;
	struct msg_hello peer;
	char name[ADDRESS_MAX];
	int entry, engine; /* -1: none */
	bool gone, stopped;
	size_t backlog; /* bytes that the peer hasn't read */
	/* Members of an entry's connection. */
	GArray *calls;	/* struct call */
	GArray *counts; /* uint64_t: arrivals by model since the last report */
	uint64_t round; /* latest round received */
	bool has_snapshot, report_now, changed;
	int snapshots; /* number received */
	uint64_t unread_round;
	bool unread_snapshot;
	char *reported_addr; /* address of the last endpoint reported to it as
				limited or unusable */
	int grants;	     /* granted by the leader, in thousandths */
	void *quota_clients; /* quota clients for endpoint limits, as in a real
				entry; NULL: unused */
	bool *waiting_for_grant; /* for each limited engine: a request waits for
				    a grant */
	int64_t report_ms, reported_ms;
};

struct engine {
	char addr[ADDRESS_MAX], id[ADDRESS_MAX];
	const char *version;
	GArray *held;	 /* int */
	GArray *on_disk; /* int */
	int adapters;	 /* of its first model */
	int running, orders;
	int64_t slowness; /* ratio last sent to entries, in thousandths;
			     0: none */
	int64_t report_ms;
	bool report_due;
	int64_t stated_limit; /* to its agent; 0: none */
	/* The order that the engine executes; done_ms is 0 if there is none. */
	int64_t done_ms;
	uint64_t step, fence;
	int load;
	GArray *unload; /* int */
};

struct instances {
	struct instances_options o;
	bool on;
};

struct fleet_world {
	struct fleet_world_options o;
	struct daemon d;
	struct ss_state *state;
	uint64_t log_index;
	struct routing *routing;
	struct instances list;
	int64_t list_ms, tick_ms;
	GPtrArray *entries, *agents; /* struct conn */
	struct engine *engines;
	GArray **holders; /* int, engines by model */
	GHashTable *model_index;
	double *popularity; /* cumulative */
	double arrivals;
	struct stream_log *streams, *follower;
	struct fleet_world_streams stream_cost;
	int64_t stream_reply; /* last reply of the leader */
	char *stream_version;
	void *leader;
	uint64_t seed;
	struct fleet_world_cost cost;
	GHashTable *work_seen;
	int steps; /* sent to engines */
	int grant_requests;
	int admitted;
	GHashTable *remote; /* set of addresses: engines whose agents are
			       assigned to a member */
	/* The frame that was decoded last. */
	const char *frame;
	size_t frame_len;
	int64_t frame_ms;
	uint64_t frame_round;
	bool frame_snapshot;
	char *frame_addr; /* the first endpoint in it with a limit, or unusable
			   */
};

/* The running simulation, for the stubs that get no pointer to it. */
static struct fleet_world *current_world;

static double cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1000 + (double)t.tv_nsec / 1e6;
}

static double random_double(struct fleet_world *w)
{
	return (double)(ss_random(&w->seed) >> 11) / (double)(1ULL << 53);
}

/* Stubs of connections. */

const struct msg_hello *conn_peer(const struct conn *c)
{
	return &c->peer;
}

size_t conn_backlog(const struct conn *c)
{
	return c->backlog;
}

static int model_of(struct fleet_world *w, struct ss_str name)
{
	char *s = ss_str_dup(name);
	int i = GPOINTER_TO_INT(g_hash_table_lookup(w->model_index, s)) - 1;

	g_free(s);
	return i;
}

static void take_order(struct fleet_world *w, struct engine *e,
		       const struct msg_load *m)
{
	const struct name_item *n = m->unload.items;

	e->step = m->step;
	e->fence = m->fence;
	e->load = model_of(w, m->load);
	g_array_set_size(e->unload, 0);
	for (size_t i = 0; i < m->unload.n; i++) {
		int model = model_of(w, n[i].name);

		g_array_append_val(e->unload, model);
	}
	e->done_ms = w->d.clock.fake_ms + LOAD_MS;
	w->steps++;
	e->orders++;
}

static void take_grants(struct conn *c, const struct msg_quota_reply *m)
{
	const struct quota_reply *x = m->replies.items;

	for (size_t i = 0; i < m->replies.n; i++)
		c->grants += (int)x[i].grant;
	for (size_t i = 0; c->quota_clients && i < m->replies.n; i++)
		quota_lease.clients_reply(c->quota_clients, &x[i],
					  c->w->d.clock.fake_ms);
}

static void take_stream_reply(struct fleet_world *w,
			      const struct msg_stream_reply *m)
{
	w->stream_reply = m->result;
	g_free(w->stream_version);
	w->stream_version = ss_str_dup(m->version);
}

bool conn_send(struct conn *c, enum msg_kind kind, const void *msg)
{
	if (kind == MSG_LOAD && c->engine >= 0)
		take_order(c->w, &c->w->engines[c->engine], msg);
	if (kind == MSG_LIMIT_REPLY)
		take_grants(c, msg);
	if (kind == MSG_STREAM_REPLY)
		take_stream_reply(c->w, msg);
	return !c->gone;
}

static char *first_reported(const struct msg_fleet *m)
{
	const struct fleet_endpoint *e = m->endpoints.items;

	for (size_t i = 0; i < m->endpoints.n; i++)
		if (e[i].unusable || (e[i].limit > 0 && e[i].limit_age > 0))
			return ss_str_dup(e[i].addr);
	return NULL;
}

static void take_slowness(struct fleet_world *w, struct ss_str addr,
			  int64_t slowness)
{
	for (int i = 0; slowness && i < w->o.engines; i++)
		if (ss_str_eq(addr, ss_str(w->engines[i].addr)))
			w->engines[i].slowness = slowness;
}

static void read_slowness(struct fleet_world *w, const struct msg_fleet *m)
{
	const struct fleet_endpoint *e = m->endpoints.items;
	const struct fleet_load *x = m->loads.items;

	for (size_t i = 0; i < m->endpoints.n; i++)
		take_slowness(w, e[i].addr, e[i].slowness);
	for (size_t i = 0; i < m->loads.n; i++)
		take_slowness(w, x[i].addr, x[i].slowness);
}

static void read_frame(struct fleet_world *w, const GString *frame)
{
	struct frame f;

	if (w->frame == frame->str && w->frame_len == frame->len &&
	    w->frame_ms == w->d.clock.fake_ms)
		return;
	w->frame = frame->str;
	w->frame_len = frame->len;
	w->frame_ms = w->d.clock.fake_ms;
	w->frame_round = 0;
	w->frame_snapshot = false;
	g_clear_pointer(&w->frame_addr, g_free);
	if (!frame_decode((const uint8_t *)frame->str, frame->len, &f, NULL))
		return;
	if (f.kind == MSG_FLEET) {
		w->frame_round = f.u.fleet.round;
		w->frame_snapshot = f.u.fleet.full;
		w->frame_addr = first_reported(&f.u.fleet);
		read_slowness(w, &f.u.fleet);
	}
	frame_done(&f);
}

/* Records a received frame; a new round is acknowledged at once. */
static void take_frame(struct conn *c, uint64_t round, bool snapshot)
{
	c->has_snapshot |= snapshot;
	c->snapshots += snapshot;
	if (round <= c->round)
		return;
	c->round = round;
	c->report_now = true;
}

bool conn_send_frame(struct conn *c, const GString *frame)
{
	struct fleet_world *w = c->w;

	read_frame(w, frame);
	if (c->stopped) {
		c->backlog += frame->len;
		c->unread_round = MAX(c->unread_round, w->frame_round);
		c->unread_snapshot |= w->frame_snapshot;
	} else {
		take_frame(c, w->frame_round, w->frame_snapshot);
		if (w->frame_addr) {
			g_free(c->reported_addr);
			c->reported_addr = g_strdup(w->frame_addr);
		}
	}
	return !c->gone;
}

/* Stubs of the control group. */

const struct ss_state *group_state(const struct group *g)
{
	(void)g;
	return current_world->state;
}

const struct ss_raft *group_raft(const struct group *g)
{
	(void)g;
	return NULL;
}

void group_confirm(struct group *g, struct read_done done)
{
	(void)g;
	done.fn(done.arg, true);
}

void group_change(struct group *g, struct command *c, struct change_done done)
{
	GString *bytes = ss_command_encode(c);
	struct command_result r;

	(void)g;
	ss_state_apply(current_world->state, ++current_world->log_index,
		       ss_str_gs(bytes), &r);
	g_string_free(bytes, TRUE);
	done.fn(done.arg, &r, NULL);
}

static size_t frame_bytes(enum msg_kind kind, const void *msg)
{
	GString *bytes = g_string_new(NULL);
	size_t n;

	frame_add(bytes, kind, msg);
	n = bytes->len;
	g_string_free(bytes, TRUE);
	return n;
}

static void take_replicated_streams(struct fleet_world *w,
				    const struct msg_streams *m)
{
	stream_wire_apply(w->follower, m, w->d.clock.fake_ms);
	w->stream_cost.to_follower++;
	w->stream_cost.to_follower_bytes += frame_bytes(MSG_STREAMS, m);
}

bool group_send(struct group *g, uint64_t id, enum msg_kind kind,
		const void *msg)
{
	const struct msg_remote *m = msg;
	const struct name_item *n;

	(void)g;
	(void)id;
	if (kind == MSG_STREAMS)
		take_replicated_streams(current_world, msg);
	if (kind != MSG_REMOTE)
		return true;
	n = m->engines.items;
	g_hash_table_remove_all(current_world->remote);
	for (size_t i = 0; i < m->engines.n; i++)
		g_hash_table_add(current_world->remote, ss_str_dup(n[i].name));
	return true;
}

uint64_t ss_raft_term(const struct ss_raft *r)
{
	(void)r;
	return 1;
}

uint64_t ss_raft_leader(const struct ss_raft *r)
{
	(void)r;
	return 1;
}

int64_t ss_raft_quiet_ms(const struct ss_raft *r, uint64_t id)
{
	(void)r;
	(void)id;
	return 0;
}

const struct ss_raft_members *ss_raft_members(const struct ss_raft *r)
{
	static struct ss_raft_member two[] = { { .id = 1 }, { .id = 2 } };
	static const struct ss_raft_members all = { two, 2 };

	(void)r;
	return &all;
}

/* Stubs of the platform's VM list. */

struct instances *instances_new(const struct instances_options *o)
{
	current_world->list.o = *o;
	return &current_world->list;
}

void instances_free(struct instances *v)
{
	v->on = false;
}

void instances_set_polling(struct instances *v, bool on)
{
	v->on = on;
}

static char *model_name(int i)
{
	return g_strdup_printf("model-%d", i);
}

static GPtrArray *model_names(const GArray *models)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < models->len; i++)
		g_ptr_array_add(out, model_name(g_array_index(models, int, i)));
	return out;
}

static void send_list(struct fleet_world *w)
{
	struct fleet_list all;

	fleet_list_init(&all);
	for (int i = 0; i < w->o.engines; i++) {
		const struct engine *e = &w->engines[i];
		struct fleet_instance x = {
			.id = g_strdup(e->id),
			.version = g_strdup(e->version),
			.started_ms = 1,
			.service = g_strdup("lm"),
			.addr = g_strdup(e->addr),
			.domain = g_strdup_printf("domain-%d", i % 6),
			.slots = 16,
			.models = model_names(e->held),
		};

		g_array_append_val(all.instances, x);
	}
	w->list.o.list(w->list.o.arg, &all);
	fleet_list_clear(&all);
}

/* Messages to the leader, encoded and decoded as on the wire. */

static void deliver(struct conn *c, enum msg_kind kind, const void *msg,
		    double *cost)
{
	GString *bytes = g_string_new(NULL);
	struct frame f;
	double from;

	frame_add(bytes, kind, msg);
	from = cpu_ms();
	if (frame_decode((const uint8_t *)bytes->str, bytes->len, &f, NULL)) {
		fleet_leader_ops.message(c->w->leader, c, &f);
		frame_done(&f);
	}
	*cost += cpu_ms() - from;
	g_string_free(bytes, TRUE);
}

static struct conn *peer_new(struct fleet_world *w, enum role role, int entry,
			     int engine)
{
	struct conn *c = g_new0(struct conn, 1);

	c->w = w;
	c->entry = entry;
	c->engine = engine;
	g_snprintf(c->name, sizeof(c->name), "%s-%d",
		   entry >= 0 ? "entry" : "agent", MAX(entry, engine));
	c->peer.role = role;
	c->peer.name = ss_str(c->name);
	c->peer.incarnation = ss_random(&w->seed);
	c->calls = g_array_new(FALSE, FALSE, sizeof(struct call));
	c->counts = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	g_array_set_size(c->counts, (guint)w->o.models);
	c->report_ms = w->d.clock.fake_ms +
		       (int64_t)(ss_random(&w->seed) % REPORT_INTERVAL_MS);
	return c;
}

static void peer_free(void *p)
{
	struct conn *c = p;

	g_array_unref(c->calls);
	g_array_unref(c->counts);
	g_free(c->reported_addr);
	g_free(c->waiting_for_grant);
	if (c->quota_clients)
		quota_lease.clients_free(c->quota_clients);
	g_free(c);
}

/* Entries. */

static int pick_model(struct fleet_world *w)
{
	double x = random_double(w) * w->popularity[w->o.models - 1];
	int low = 0, high = w->o.models - 1;

	while (low < high) {
		int mid = (low + high) / 2;

		if (w->popularity[mid] < x)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static int pick_engine(struct fleet_world *w, int model)
{
	const GArray *h = w->holders[model];

	return h->len ? g_array_index(h, int, ss_random(&w->seed) % h->len) :
			-1;
}

static void start_call(struct fleet_world *w, struct call *k)
{
	k->engine = pick_engine(w, k->model);
	if (k->engine < 0)
		return;
	k->end_ms = w->d.clock.fake_ms + w->o.call_ms;
	w->engines[k->engine].running++;
}

void fleet_world_call(struct fleet_world *w, int entry, int model)
{
	struct conn *c = w->entries->pdata[entry];
	struct call k = { .model = model };

	g_array_index(c->counts, uint64_t, model)++;
	start_call(w, &k);
	c->report_now |= k.engine < 0;
	c->changed = true;
	g_array_append_val(c->calls, k);
}

static void end_calls(struct fleet_world *w, struct conn *c)
{
	for (guint i = c->calls->len; i-- > 0;) {
		struct call *k = &g_array_index(c->calls, struct call, i);

		if (k->engine < 0) {
			start_call(w, k);
			c->changed = true;
		} else if (w->d.clock.fake_ms >= k->end_ms) {
			w->engines[k->engine].running--;
			g_array_remove_index_fast(c->calls, i);
			c->changed = true;
		}
	}
}

static void add_demand(struct fleet_world *w, struct conn *c, GArray *out,
		       GPtrArray *names)
{
	for (int m = 0; m < w->o.models; m++) {
		uint64_t *n = &g_array_index(c->counts, uint64_t, m);
		struct model_demand d = { .service = SS_LIT("lm"),
					  .arrivals = *n };

		for (guint i = 0; i < c->calls->len; i++) {
			const struct call *k =
				&g_array_index(c->calls, struct call, i);

			d.waiting += k->model == m && k->engine < 0;
		}
		if (!*n && !d.waiting)
			continue;
		*n = 0;
		d.slack_ms = 300;
		g_ptr_array_add(names, model_name(m));
		d.model = ss_str(names->pdata[names->len - 1]);
		g_array_append_val(out, d);
	}
}

static void add_calls(struct fleet_world *w, struct conn *c, GArray *out,
		      GArray *held, GPtrArray *names)
{
	/* One row for each call; the leader adds them up. */
	for (guint i = 0; i < c->calls->len; i++) {
		const struct call *k = &g_array_index(c->calls, struct call, i);
		struct held_model h = { .calls = 1 };

		if (k->engine < 0)
			continue;
		g_ptr_array_add(names, model_name(k->model));
		h.model = ss_str(names->pdata[names->len - 1]);
		g_array_append_val(held, h);
	}
	for (guint i = 0, at = 0; i < c->calls->len; i++) {
		const struct call *k = &g_array_index(c->calls, struct call, i);
		struct endpoint_calls e = { .started_ms = 1 };

		if (k->engine < 0)
			continue;
		e.addr = ss_str(w->engines[k->engine].addr);
		e.models = (struct wire_list){
			&g_array_index(held, struct held_model, at++), 1
		};
		g_array_append_val(out, e);
	}
}

static void report(struct fleet_world *w, struct conn *c)
{
	GArray *models, *calls, *held;
	GPtrArray *names;
	struct msg_demand m = { .round = c->round, .routing = 1 };

	c->report_ms = w->d.clock.fake_ms + REPORT_INTERVAL_MS;
	if (!c->report_now && !c->changed &&
	    w->d.clock.fake_ms - c->reported_ms < REPORT_UNCHANGED_MS)
		return;
	c->reported_ms = w->d.clock.fake_ms;
	c->report_now = c->changed = false;
	models = g_array_new(FALSE, FALSE, sizeof(struct model_demand));
	calls = g_array_new(FALSE, FALSE, sizeof(struct endpoint_calls));
	held = g_array_new(FALSE, FALSE, sizeof(struct held_model));
	names = g_ptr_array_new_with_free_func(g_free);
	add_demand(w, c, models, names);
	add_calls(w, c, calls, held, names);
	m.models = (struct wire_list){ models->data, models->len };
	m.calls = (struct wire_list){ calls->data, calls->len };
	deliver(c, MSG_DEMAND, &m, &w->cost.reports);
	g_array_unref(models);
	g_array_unref(calls);
	g_array_unref(held);
	g_ptr_array_unref(names);
}

static void report_signals(struct fleet_world *w, int entry, int engine,
			   struct endpoint_signals x)
{
	struct conn *c = w->entries->pdata[entry];
	struct msg_demand m = { .round = c->round,
				.routing = 1,
				.signals = { &x, 1 } };

	x.addr = ss_str(w->engines[engine].addr);
	x.id = ss_str(w->engines[engine].id);
	x.started_ms = 1;
	deliver(c, MSG_DEMAND, &m, &w->cost.reports);
}

void fleet_world_report_slowness(struct fleet_world *w, int entry, int engine,
				 double ratio)
{
	struct conn *c = w->entries->pdata[entry];
	struct endpoint_results e = { .addr = ss_str(w->engines[engine].addr),
				      .started_ms = 1,
				      .slowness_ln = llround(log(ratio) *
							     SLOWNESS_SCALE),
				      .slowness_count = 1 };
	struct msg_demand m = { .round = c->round,
				.routing = 1,
				.results = { &e, 1 } };

	deliver(c, MSG_DEMAND, &m, &w->cost.reports);
}

int64_t fleet_world_sent_slowness(struct fleet_world *w, int engine)
{
	int64_t slowness = w->engines[engine].slowness;

	w->engines[engine].slowness = 0;
	return slowness;
}

void fleet_world_state_limit_to_agent(struct fleet_world *w, int engine,
				      double per_s)
{
	struct endpoint_limit l = { per_s, w->d.clock.fake_ms };

	w->engines[engine].stated_limit = endpoint_limit_wire(&l);
	w->engines[engine].report_due = true;
}

void fleet_world_report_limit(struct fleet_world *w, int entry, int engine,
			      double per_s)
{
	struct endpoint_limit l = { per_s, w->d.clock.fake_ms };
	struct endpoint_signals x = { .limit = endpoint_limit_wire(&l),
				      .limit_age = 1 };

	report_signals(w, entry, engine, x);
}

void fleet_world_report_backoff(struct fleet_world *w, int entry, int engine,
				int64_t ms)
{
	report_signals(w, entry, engine,
		       (struct endpoint_signals){ .backoff_ms = ms });
}

bool fleet_world_is_remote(const struct fleet_world *w, int engine)
{
	return g_hash_table_contains(w->remote, w->engines[engine].addr);
}

void fleet_world_report_draining(struct fleet_world *w, int entry, int engine)
{
	report_signals(w, entry, engine,
		       (struct endpoint_signals){ .draining = true });
}

int fleet_world_count_informed(const struct fleet_world *w, int engine)
{
	int n = 0;

	for (guint i = 0; i < w->entries->len; i++) {
		const struct conn *c = w->entries->pdata[i];

		n += c->reported_addr &&
		     !strcmp(c->reported_addr, w->engines[engine].addr);
	}
	return n;
}

int fleet_world_request_grant(struct fleet_world *w, int entry, int engine)
{
	struct quota_request a = { .customer = ss_str(w->engines[engine].addr),
				   .number = 1,
				   .want = QUOTA_MILLI,
				   .shortfall = QUOTA_MILLI,
				   .demand = QUOTA_MILLI,
				   .mean_cost = QUOTA_MILLI };
	struct msg_quota_request m = { .requests = { &a, 1 } };
	struct conn *c = w->entries->pdata[entry];

	c->grants = 0;
	deliver(c, MSG_LIMIT_REQUEST, &m, &w->cost.reports);
	return c->grants;
}

void fleet_world_restart_engine(struct fleet_world *w, int engine)
{
	struct engine *e = &w->engines[engine];

	g_snprintf(e->id, sizeof(e->id), "i-%08x",
		   (unsigned int)ss_random(&w->seed));
	e->report_due = true;
}

int fleet_world_orders(const struct fleet_world *w, int engine)
{
	return w->engines[engine].orders;
}

/* Engines. */

static void set_held(struct fleet_world *w, int engine, int model, bool on)
{
	GArray *held = w->engines[engine].held;
	GArray *holders = w->holders[model];

	for (guint i = held->len; i-- > 0;)
		if (g_array_index(held, int, i) == model)
			g_array_remove_index(held, i);
	for (guint i = holders->len; i-- > 0;)
		if (g_array_index(holders, int, i) == engine)
			g_array_remove_index(holders, i);
	if (!on)
		return;
	g_array_append_val(held, model);
	g_array_append_val(holders, engine);
}

static GArray *adapter_list(const struct engine *e, GPtrArray *names)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct name_item));

	for (int i = 0; i < e->adapters; i++) {
		struct name_item n;

		g_ptr_array_add(names, g_strdup_printf("a%d", i));
		n.name = ss_str(names->pdata[names->len - 1]);
		g_array_append_val(out, n);
	}
	return out;
}

static GArray *held_list(const struct engine *e, GPtrArray *names,
			 const GArray *adapters)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct held_model));

	for (guint i = 0; i < e->held->len; i++) {
		struct held_model h = { 0 };

		g_ptr_array_add(names,
				model_name(g_array_index(e->held, int, i)));
		h.model = ss_str(names->pdata[names->len - 1]);
		if (!i)
			h.adapters = (struct wire_list){ adapters->data,
							 adapters->len };
		g_array_append_val(out, h);
	}
	return out;
}

static void report_engine(struct fleet_world *w, int i)
{
	struct conn *c = w->agents->pdata[i];
	struct engine *e = &w->engines[i];
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *disk = model_names(e->on_disk);
	GArray *adapters = adapter_list(e, names);
	GArray *held = held_list(e, names, adapters);
	GArray *copies = fleet_wire_names(disk);
	struct msg_endpoint m = { .addr = ss_str(e->addr),
				  .agent = ss_str(c->name),
				  .reachable = true,
				  .busy = e->done_ms > 0,
				  .running = e->running,
				  .tokens_used = e->running * 800,
				  .tokens_total = 86000,
				  .started_ms = 1,
				  .id = ss_str(e->id),
				  .limit = e->stated_limit,
				  .limit_age = e->stated_limit ? 1 : 0 };

	e->report_ms = w->d.clock.fake_ms + AGENT_REPORT_MS;
	e->report_due = false;
	m.held = (struct wire_list){ held->data, held->len };
	m.on_disk = (struct wire_list){ copies->data, copies->len };
	deliver(c, MSG_ENDPOINT, &m, &w->cost.agents);
	g_array_unref(adapters);
	g_array_unref(held);
	g_array_unref(copies);
	g_ptr_array_unref(disk);
	g_ptr_array_unref(names);
}

static void end_load(struct fleet_world *w, int i)
{
	struct engine *e = &w->engines[i];
	struct msg_loaded m = { .fence = e->fence,
				.step = e->step,
				.took_ms = LOAD_MS };

	for (guint k = 0; k < e->unload->len; k++)
		set_held(w, i, g_array_index(e->unload, int, k), false);
	if (e->load >= 0)
		set_held(w, i, e->load, true);
	e->done_ms = 0;
	report_engine(w, i);
	deliver(w->agents->pdata[i], MSG_LOADED, &m, &w->cost.agents);
}

static void run_engine(struct fleet_world *w, int i)
{
	struct engine *e = &w->engines[i];
	int64_t now = w->d.clock.fake_ms;

	if (((struct conn *)w->agents->pdata[i])->gone)
		return;
	if (e->done_ms && now >= e->done_ms)
		end_load(w, i);
	else if (e->report_due || now >= e->report_ms)
		report_engine(w, i);
}

static void engine_init(struct fleet_world *w, int i)
{
	struct engine *e = &w->engines[i];

	e->version = "v1";

	g_snprintf(e->addr, sizeof(e->addr), "10.%d.%d.%d:8000", i % 6, i / 200,
		   i % 200);
	g_snprintf(e->id, sizeof(e->id), "i-%08x",
		   (unsigned int)ss_random(&w->seed));
	e->held = g_array_new(FALSE, FALSE, sizeof(int));
	e->on_disk = g_array_new(FALSE, FALSE, sizeof(int));
	e->unload = g_array_new(FALSE, FALSE, sizeof(int));
	e->report_ms = (int64_t)(ss_random(&w->seed) % AGENT_REPORT_MS);
	for (int k = 0; k < MODELS_PER_ENGINE; k++) {
		int model = k ? pick_model(w) : i % w->o.models;

		set_held(w, i, model, true);
	}
	for (int k = 0; k < 4 * MODELS_PER_ENGINE; k++) {
		int model = (int)(ss_random(&w->seed) % (uint64_t)w->o.models);

		g_array_append_val(e->on_disk, model);
	}
}

/* The simulation. */

static struct routing *make_routing(int models)
{
	GString *s = g_string_new("{\"version\":1,\"routes\":[],\"services\":["
				  "{\"name\":\"lm\",\"engine\":{\"slots\":16,"
				  "\"weightsMb\":83000,\"adapterSlots\":8,"
				  "\"loadPerS\":200,\"models\":[");
	struct routing *r;

	for (int i = 0; i < models; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"model-%d\",\"weightsMb\":16100,"
			"\"loadS\":13.2,\"adapters\":0,\"adapterMb\":14,"
			"\"warmS\":0.3,\"diskLoadS\":0.4}",
			i ? "," : "", i);
	g_string_append(s, "]}}]}");
	r = routing_read(users_platform.routing, ss_str_gs(s), NULL);
	g_assert(r);
	g_string_free(s, TRUE);
	return r;
}

static void add_entry(struct fleet_world *w, int i)
{
	struct conn *c = peer_new(w, ROLE_ENTRY, i, -1);

	w->entries->pdata[i] = c;
	fleet_leader_ops.open(w->leader, c);
}

static void add_agent(struct fleet_world *w, int i)
{
	struct conn *c = peer_new(w, ROLE_AGENT, -1, i);

	w->agents->pdata[i] = c;
	c->gone = i >= w->o.engines - w->o.agents_missing;
	if (c->gone)
		return;
	fleet_leader_ops.open(w->leader, c);
	w->engines[i].report_due = true;
}

static void make_models(struct fleet_world *w)
{
	double sum = 0;

	w->popularity = g_new(double, w->o.models);
	w->holders = g_new(GArray *, w->o.models);
	w->model_index =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < w->o.models; i++) {
		sum += 1.0 / (i + 1);
		w->popularity[i] = sum;
		w->holders[i] = g_array_new(FALSE, FALSE, sizeof(int));
		g_hash_table_insert(w->model_index, model_name(i),
				    GINT_TO_POINTER(i + 1));
	}
}

struct fleet_world *fleet_world_new(const struct fleet_world_options *o)
{
	struct fleet_world *w = g_new0(struct fleet_world, 1);

	current_world = w;
	w->o = *o;
	w->seed = o->seed;
	w->d.clock.fake_ms = 1000;
	w->d.metrics = metrics_new();
	settings_defaults(&config_type, &w->d.config);
	w->state = ss_state_new();
	w->remote =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->routing = make_routing(o->models);
	w->work_seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	make_models(w);
	w->engines = g_new0(struct engine, o->engines);
	for (int i = 0; i < o->engines; i++)
		engine_init(w, i);
	w->streams = stream_log_new(STREAM_LOG_CAPACITY);
	w->follower = stream_log_new(STREAM_LOG_CAPACITY);
	w->leader = fleet_leader_ops.begin(&w->d, NULL, w->routing, w->streams);
	w->entries = g_ptr_array_new_with_free_func(peer_free);
	w->agents = g_ptr_array_new_with_free_func(peer_free);
	g_ptr_array_set_size(w->entries, o->entries);
	g_ptr_array_set_size(w->agents, o->engines);
	for (int i = 0; i < o->entries; i++)
		add_entry(w, i);
	for (int i = 0; i < o->engines; i++)
		add_agent(w, i);
	send_list(w);
	w->list_ms = w->d.clock.fake_ms;
	return w;
}

void fleet_world_free(struct fleet_world *w)
{
	fleet_leader_ops.end(w->leader);
	stream_log_free(w->streams);
	stream_log_free(w->follower);
	g_free(w->stream_version);
	for (int i = 0; i < w->o.engines; i++) {
		g_array_unref(w->engines[i].held);
		g_array_unref(w->engines[i].on_disk);
		g_array_unref(w->engines[i].unload);
	}
	for (int i = 0; i < w->o.models; i++)
		g_array_unref(w->holders[i]);
	g_hash_table_unref(w->remote);
	g_free(w->frame_addr);
	g_free(w->engines);
	g_free(w->holders);
	g_free(w->popularity);
	g_hash_table_unref(w->model_index);
	g_hash_table_unref(w->work_seen);
	g_ptr_array_unref(w->entries);
	g_ptr_array_unref(w->agents);
	routing_unref(w->routing);
	ss_state_free(w->state);
	settings_clear(&config_type, &w->d.config);
	metrics_free(w->d.metrics);
	g_free(w);
}

static void arrive(struct fleet_world *w)
{
	w->arrivals += w->o.calls_per_s / 1000.0;
	for (; w->arrivals >= 1; w->arrivals--)
		fleet_world_call(
			w, (int)(ss_random(&w->seed) % (uint64_t)w->o.entries),
			pick_model(w));
}

/* Tries to admit a request for a limited engine. A waiting request is retried
 * at each interval. */
static void request_grant(struct conn *c, int engine)
{
	struct endpoint_limit l = { LIMIT_PER_S, 1 };
	struct customer customer =
		endpoint_limit_as_customer(&l, c->w->engines[engine].addr);
	struct quota_need need = { 1, c->waiting_for_grant[engine], 2000 };
	int64_t back;
	enum quota_decision a = quota_lease.take(c->quota_clients, &customer,
						 &need, c->w->d.clock.fake_ms,
						 &back);

	c->waiting_for_grant[engine] = a == QUOTA_WAIT;
	c->w->admitted += a == QUOTA_ADMIT;
}

static void run_limits(struct fleet_world *w, struct conn *c)
{
	GArray *requests =
		g_array_new(FALSE, FALSE, sizeof(struct quota_request));
	struct msg_quota_request m;

	for (int k = 0; k < w->o.limited; k++)
		if (c->waiting_for_grant[k] ||
		    (w->d.clock.fake_ms + c->entry) % LIMIT_REQUEST_MS <
			    LIMIT_TICK_MS)
			request_grant(c, k);
	quota_lease.clients_requests(c->quota_clients, w->d.clock.fake_ms,
				     requests);
	m.requests = (struct wire_list){ requests->data, requests->len };
	w->grant_requests += requests->len;
	if (requests->len)
		deliver(c, MSG_LIMIT_REQUEST, &m, &w->cost.limits);
	g_array_unref(requests);
}

void fleet_world_enable_limits(struct fleet_world *w)
{
	for (int k = 0; k < w->o.limited; k++)
		fleet_world_report_limit(w, 0, k, LIMIT_PER_S);
	for (int i = 0; i < w->o.entries; i++) {
		struct conn *c = w->entries->pdata[i];

		c->quota_clients = quota_lease.clients_new(
			&endpoint_limit_quota, w->d.clock.fake_ms);
		c->waiting_for_grant = g_new0(bool, w->o.limited);
		quota_lease.clients_link(c->quota_clients, NULL, true,
					 w->d.clock.fake_ms);
	}
}

int fleet_world_admitted(const struct fleet_world *w)
{
	return w->admitted;
}

int fleet_world_grant_requests(const struct fleet_world *w)
{
	return w->grant_requests;
}

static void run_entries(struct fleet_world *w)
{
	for (int i = 0; i < w->o.entries; i++) {
		struct conn *c = w->entries->pdata[i];

		end_calls(w, c);
		if (c->quota_clients && w->d.clock.fake_ms % LIMIT_TICK_MS == 0)
			run_limits(w, c);
		if (!c->stopped &&
		    (c->report_now || w->d.clock.fake_ms >= c->report_ms))
			report(w, c);
	}
}

static void run_1ms(struct fleet_world *w)
{
	int64_t now = ++w->d.clock.fake_ms;
	double from;

	arrive(w);
	/* Peers run every MESSAGE_DELAY_MS instead of every ms, which models
	 * the delay of a message. */
	if (now % MESSAGE_DELAY_MS == 0) {
		run_entries(w);
		for (int i = 0; i < w->o.engines; i++)
			run_engine(w, i);
	}
	if (now - w->list_ms >= LIST_INTERVAL_MS) {
		w->list_ms = now;
		from = cpu_ms();
		send_list(w);
		w->cost.ticks += cpu_ms() - from;
	}
	if (now - w->tick_ms >= TICK_MS) {
		w->tick_ms = now;
		from = cpu_ms();
		fleet_leader_ops.tick(w->leader);
		w->cost.ticks += cpu_ms() - from;
	}
}

void fleet_world_run(struct fleet_world *w, int64_t ms)
{
	current_world = w;
	while (ms--)
		run_1ms(w);
}

uint64_t fleet_world_work(struct fleet_world *w, const char *what)
{
	char *label = g_strdup_printf("what=\"%s\"", what);
	uint64_t now =
		*metrics_value(w->d.metrics, "ss_fleet_work_total", label);
	uint64_t *seen = g_hash_table_lookup(w->work_seen, what);
	uint64_t before = seen ? *seen : 0;

	g_free(label);
	g_hash_table_replace(w->work_seen, g_strdup(what),
			     g_memdup2(&now, sizeof(now)));
	return now - before;
}

struct fleet_world_cost fleet_world_cost(struct fleet_world *w)
{
	struct fleet_world_cost c = w->cost;

	memset(&w->cost, 0, sizeof(w->cost));
	return c;
}

int fleet_world_informed(const struct fleet_world *w)
{
	int n = 0;

	for (int i = 0; i < w->o.entries; i++)
		n += ((struct conn *)w->entries->pdata[i])->has_snapshot;
	return n;
}

static void close_peer(struct fleet_world *w, struct conn *c, double *cost)
{
	double from = cpu_ms();

	c->gone = true;
	fleet_leader_ops.closed(w->leader, c);
	*cost += cpu_ms() - from;
}

void fleet_world_restart_entry(struct fleet_world *w, int entry)
{
	struct conn *c = w->entries->pdata[entry];

	current_world = w;
	close_peer(w, c, &w->cost.reports);
	for (guint i = 0; i < c->calls->len; i++) {
		int e = g_array_index(c->calls, struct call, i).engine;

		if (e >= 0)
			w->engines[e].running--;
	}
	peer_free(c);
	add_entry(w, entry);
}

void fleet_world_restart_agent(struct fleet_world *w, int engine)
{
	struct conn *c = w->agents->pdata[engine];

	current_world = w;
	close_peer(w, c, &w->cost.agents);
	peer_free(c);
	add_agent(w, engine);
}

void fleet_world_add_adapter(struct fleet_world *w, int engine)
{
	w->engines[engine].adapters++;
	w->engines[engine].report_due = true;
}

void fleet_world_stop_entry(struct fleet_world *w, int entry)
{
	((struct conn *)w->entries->pdata[entry])->stopped = true;
}

void fleet_world_continue_entry(struct fleet_world *w, int entry)
{
	struct conn *c = w->entries->pdata[entry];

	c->stopped = false;
	c->backlog = 0;
	take_frame(c, c->unread_round, c->unread_snapshot);
	c->unread_snapshot = false;
}

size_t fleet_world_backlog(const struct fleet_world *w, int entry)
{
	return ((struct conn *)w->entries->pdata[entry])->backlog;
}

int fleet_world_snapshots(const struct fleet_world *w, int entry)
{
	return ((struct conn *)w->entries->pdata[entry])->snapshots;
}

int fleet_world_steps(const struct fleet_world *w)
{
	return w->steps;
}

int fleet_world_waiting(const struct fleet_world *w)
{
	int n = 0;

	for (int i = 0; i < w->o.entries; i++) {
		const struct conn *c = w->entries->pdata[i];

		for (guint k = 0; k < c->calls->len; k++)
			n += g_array_index(c->calls, struct call, k).engine < 0;
	}
	return n;
}

void fleet_world_set_version(struct fleet_world *w, int engine,
			     const char *version)
{
	for (int i = engine; i < w->o.engines; i++) {
		fleet_world_restart_engine(w, i);
		w->engines[i].version = version;
	}
}

void fleet_world_streams(struct fleet_world *w, int entry, uint64_t key,
			 uint64_t n, const char *version)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct stream_item));
	struct stream_wire wire;

	current_world = w;
	for (uint64_t i = 0; i < n; i++) {
		struct stream_item x = { key + i, "lm", version, 20000 };

		g_array_append_val(items, x);
	}
	stream_wire_pack(&wire, items);
	w->stream_cost.to_leader++;
	w->stream_cost.to_leader_bytes += frame_bytes(MSG_STREAMS, &wire.m);
	deliver(w->entries->pdata[entry], MSG_STREAMS, &wire.m,
		&w->cost.reports);
	stream_wire_clear(&wire);
	g_array_unref(items);
}

int64_t fleet_world_request_stream(struct fleet_world *w, int entry,
				   uint64_t key, const char **version)
{
	struct msg_stream_request m = { .sub = 1,
					.key = key,
					.service = SS_LIT("lm") };

	current_world = w;
	w->stream_reply = 0;
	deliver(w->entries->pdata[entry], MSG_STREAM_REQUEST, &m,
		&w->cost.reports);
	*version = w->stream_version ? w->stream_version : "";
	return w->stream_reply;
}

/* Starts a leader with the state of the log and the streams in memory. */
static void begin_leader(struct fleet_world *w)
{
	w->leader = fleet_leader_ops.begin(&w->d, NULL, w->routing, w->streams);
	for (int i = 0; i < w->o.entries; i++)
		fleet_leader_ops.open(w->leader, w->entries->pdata[i]);
	for (int i = 0; i < w->o.engines; i++) {
		fleet_leader_ops.open(w->leader, w->agents->pdata[i]);
		w->engines[i].report_due = true;
	}
}

void fleet_world_lose_leader(struct fleet_world *w)
{
	current_world = w;
	fleet_leader_ops.end(w->leader);
	stream_log_free(w->streams);
	w->streams = w->follower;
	w->follower = stream_log_new(STREAM_LOG_CAPACITY);
	begin_leader(w);
}

void fleet_world_lose_all(struct fleet_world *w)
{
	for (int i = 0; i < w->o.entries; i++)
		fleet_world_restart_entry(w, i);
	stream_log_free(w->follower);
	w->follower = stream_log_new(STREAM_LOG_CAPACITY);
	fleet_world_lose_leader(w);
}

struct fleet_world_streams fleet_world_stream_cost(struct fleet_world *w)
{
	struct fleet_world_streams c = w->stream_cost;

	c.kept = stream_log_length(w->streams);
	memset(&w->stream_cost, 0, sizeof(w->stream_cost));
	return c;
}

void fleet_world_wait_at(struct fleet_world *w, int entry, int model,
			 const char *version)
{
	struct conn *c = w->entries->pdata[entry];
	char *name = model_name(model);
	struct model_demand d = { .service = SS_LIT("lm"),
				  .model = ss_str(name),
				  .version = ss_str(version),
				  .waiting = 1,
				  .slack_ms = 1000 };
	struct msg_demand m = { .round = c->round,
				.routing = 1,
				.models = { &d, 1 } };

	current_world = w;
	deliver(c, MSG_DEMAND, &m, &w->cost.reports);
	g_free(name);
}

bool fleet_world_holds_at(const struct fleet_world *w, int model,
			  const char *version)
{
	const GArray *h = w->holders[model];

	for (guint i = 0; i < h->len; i++)
		if (!strcmp(w->engines[g_array_index(h, int, i)].version,
			    version))
			return true;
	return false;
}
