/* The entry role of a fleet: runs the gate and exchanges messages with the
 * leader and the engines' agents. */
#include "../../platform/platform.h"
#include "../net/http.h"
#include "../proxy/gate.h"
#include "../vmlist/instances.h"
#include "routing_fetch.h"

/* Interval at which deadlines and waits are checked: a sixth of the shortest
 * answer time. */
#define TICK_MS 10
/* Interval of reports of changed demand. A model that is being unloaded or
 * waited for is reported at once. */
#define DEMAND_MS 100
/* Interval of reports of unchanged demand: longer, as most of hundreds of
 * entries are idle. */
#define DEMAND_UNCHANGED_MS 1000
/* Time without the leader after which the VM list is read directly: a draining
 * endpoint must get no more calls 3 s after the list shows it. */
#define LEADERLESS_MS 1200
/* The same time for an entry that has just started. The entry has no callers
 * yet and waits longer: hundreds of entries that start together would use up
 * the list's request rate and keep the new leader from reading it. */
#define STARTUP_MS 4000
/* Poll interval of the VM list. Together with LEADERLESS_MS a draining endpoint
 * gets no more calls after 2.2 s. */
#define LIST_POLL_MS 1000
/* Pause between two attempts to connect to an agent: half of the longest wait
 * for an adapter, so that a failed attempt leaves time for another. */
#define AGENT_RETRY_MS 200
/* Idle time after which a connection to an agent is closed. */
#define AGENT_IDLE_MS 60000
/* Interval of checks for idle connections: a sixth of that time is exact
 * enough. */
#define AGENT_CHECK_MS 10000
/* Part of the time until SIGKILL that is kept for writing the last output,
 * which takes about 10 ms. Streams of 5 s that begin late in the drain end just
 * before this margin; each further 100 ms would cut off some of them. */
#define GRACE_MARGIN_MS 100

/* Share of the process's memory for callers' requests. The rest is for state
 * and for input that hasn't been read yet. */
#define CALLER_MEMORY_SHARE 0.5

struct agent_conn {
	char *addr;
	struct conn *conn;
	bool open;
	int64_t attempt_ms, used_ms;
	GPtrArray *pending; /* struct msg_adapter copies to send once the
			       connection is open */
};

struct fleet_entry {
	struct daemon *d;
	/* Hello message to agents. Its role differs from an entry's: a control
	 * VM that runs an agent would otherwise treat the connection as that
	 * of an entry that looks for the leader. */
	struct msg_hello agent_hello;
	struct gate *gate;
	struct link *link;
	struct routing_fetch *routing;
	struct instances *list;
	struct http_server *ready;
	struct event *tick;
	GHashTable *agents;    /* addr -> struct agent_conn */
	int64_t leader_ms;     /* when the link was last up */
	int64_t demand_ms;     /* last check of the demand */
	int64_t reported_ms;   /* last report of the demand */
	int64_t idle_check_ms; /* last check for idle agents */
	bool demand_due;
	bool link_up;
	int64_t stop_ms; /* start of a planned stop; 0: none */
	bool closed;	 /* the gate refuses new callers */
};

static int64_t now_ms(const struct fleet_entry *e)
{
	return ss_clock_now(&e->d->clock);
}

static int64_t grace_ms(const struct fleet_entry *e)
{
	return (int64_t)(e->d->config.fleet.grace_s * 1000);
}

/* Agents. */

static void adapter_request_free(void *p)
{
	struct msg_adapter *m = p;

	g_free((char *)m->model.p);
	g_free((char *)m->adapter.p);
	g_free((char *)m->endpoint.p);
	g_free(m);
}

static void agent_free(void *p)
{
	struct agent_conn *a = p;

	if (a->conn)
		conn_close(a->conn);
	g_ptr_array_unref(a->pending);
	g_free(a->addr);
	g_free(a);
}

static void agent_open(void *arg, struct conn *c)
{
	struct agent_conn *a = conn_data(c);

	(void)arg;
	a->open = true;
	for (guint i = 0; i < a->pending->len; i++)
		conn_send(c, MSG_ADAPTER, a->pending->pdata[i]);
	g_ptr_array_set_size(a->pending, 0);
}

static void agent_message(void *arg, struct conn *c, struct frame *f)
{
	struct fleet_entry *e = arg;

	(void)c;
	if (f->kind == MSG_ADAPTER_DONE)
		gate_adapter_done(e->gate, &f->u.adapter_done);
}

static void agent_closed(void *arg, struct conn *c, const GError *why)
{
	struct fleet_entry *e = arg;
	struct agent_conn *a = conn_data(c);

	if (!a)
		return;
	log_info("agent_lost", "addr=%s why=\"%s\"", a->addr,
		 why ? why->message : "closed");
	a->conn = NULL;
	a->open = false;
	g_ptr_array_set_size(a->pending, 0);
	gate_agent_lost(e->gate, a->addr);
}

static const struct conn_ops agent_table = { agent_open, agent_message,
					     agent_closed };

/* Returns the connection to an agent; opens it where there is none and the last
 * attempt is long enough ago. */
static struct agent_conn *agent_conn_for(struct fleet_entry *e,
					 const char *addr)
{
	struct agent_conn *a = g_hash_table_lookup(e->agents, addr);
	struct conn_options co = daemon_conn_options(e->d, &agent_table, e);

	if (!a) {
		a = g_new0(struct agent_conn, 1);
		a->addr = g_strdup(addr);
		a->attempt_ms = INT64_MIN / 2;
		a->pending =
			g_ptr_array_new_with_free_func(adapter_request_free);
		g_hash_table_insert(e->agents, a->addr, a);
	}
	e->agent_hello = e->d->hello;
	e->agent_hello.role = ROLE_READER;
	co.self = &e->agent_hello;
	if (!a->conn && now_ms(e) - a->attempt_ms >= AGENT_RETRY_MS) {
		a->attempt_ms = now_ms(e);
		a->conn = conn_connect(&co, addr);
		conn_set_data(a->conn, a);
	}
	return a;
}

static bool request_adapter(void *arg, const char *addr,
			    const struct msg_adapter *m)
{
	struct fleet_entry *e = arg;
	struct agent_conn *a;
	struct msg_adapter *copy;

	if (!*addr)
		return false;
	a = agent_conn_for(e, addr);
	a->used_ms = now_ms(e);
	if (a->open)
		return conn_send(a->conn, MSG_ADAPTER, m);
	if (!a->conn)
		return false;
	copy = g_memdup2(m, sizeof(*m));
	copy->model.p = ss_str_dup(m->model);
	copy->adapter.p = ss_str_dup(m->adapter);
	copy->endpoint.p = ss_str_dup(m->endpoint);
	g_ptr_array_add(a->pending, copy);
	return true;
}

static void demand_changed(void *arg)
{
	((struct fleet_entry *)arg)->demand_due = true;
}

static bool request_trial(void *arg, const struct msg_trial *m)
{
	struct fleet_entry *e = arg;

	return e->link_up && link_send(e->link, MSG_TRIAL, m);
}

static bool request_stream(void *arg, const struct msg_stream_request *m)
{
	struct fleet_entry *e = arg;

	return e->link_up && link_send(e->link, MSG_STREAM_REQUEST, m);
}

static const struct gate_ops gate_table = { request_adapter, demand_changed,
					    request_trial, request_stream };

static void close_idle_agents(struct fleet_entry *e, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - e->idle_check_ms < AGENT_CHECK_MS)
		return;
	e->idle_check_ms = now;
	g_hash_table_iter_init(&it, e->agents);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (now - ((struct agent_conn *)p)->used_ms > AGENT_IDLE_MS)
			g_hash_table_iter_remove(&it);
}

/* The leader. */

static void on_up(void *arg, uint64_t group)
{
	struct fleet_entry *e = arg;

	if (!e->d->hello.group)
		e->d->hello.group = group;
	e->link_up = true;
	gate_leader_found(e->gate);
	log_info("leader_found", "group=%" PRIx64, group);
	e->demand_due = true;
}

static void on_down(void *arg)
{
	struct fleet_entry *e = arg;

	e->link_up = false;
	gate_leader_lost(e->gate);
	e->leader_ms = now_ms(e);
}

static void take_routing(void *arg, struct routing *r)
{
	struct fleet_entry *e = arg;

	gate_set_routing(e->gate, r);
	e->demand_due = true;
}

static void send_demand(struct fleet_entry *e, int64_t now)
{
	struct gate_report r;

	if (!e->link_up || (!e->demand_due && now - e->demand_ms < DEMAND_MS))
		return;
	e->demand_ms = now;
	gate_report(e->gate, &r);
	if (r.must_send || e->demand_due ||
	    now - e->reported_ms >= DEMAND_UNCHANGED_MS) {
		e->reported_ms = now;
		link_send(e->link, MSG_DEMAND, &r.m);
	}
	e->demand_due = false;
	gate_report_done(&r);
}

static void on_message(void *arg, struct frame *f)
{
	struct fleet_entry *e = arg;

	switch (f->kind) {
	case MSG_TERM:
		gate_routing_version_received(e->gate, f->u.term.routing);
		routing_fetch_want(e->routing, e->link, f->u.term.routing);
		break;
	case MSG_FLEET:
		e->leader_ms = now_ms(e);
		gate_fleet_received(e->gate, &f->u.fleet);
		/* The report acknowledges the snapshot or change. The leader
		 * waits for that before it unloads models, and before it sends
		 * more snapshots than its send window holds. */
		if (e->demand_due)
			send_demand(e, now_ms(e));
		break;
	case MSG_QUARANTINE:
		gate_quarantine_received(e->gate, &f->u.quarantine);
		break;
	case MSG_TRIAL:
		gate_trial_received(e->gate, &f->u.trial);
		break;
	case MSG_STREAM_REPLY:
		gate_stream_reply_received(e->gate, &f->u.stream_reply);
		break;
	case MSG_QUOTA_REPLY:
		gate_quota_reply_received(e->gate, &f->u.quota_reply);
		break;
	case MSG_LIMIT_REPLY:
		gate_limit_reply_received(e->gate, &f->u.quota_reply);
		break;
	default:
		break;
	}
}

static const struct link_ops link_table = { on_up, on_message, on_down };

/* Sends the requests that the gate's quota clients have for the leader. */
static void send_quota_requests(struct fleet_entry *e, enum msg_kind kind,
				void (*add)(struct gate *g, GArray *out))
{
	GArray *requests;
	struct msg_quota_request m;

	if (!e->link_up)
		return;
	requests = g_array_new(FALSE, FALSE, sizeof(struct quota_request));
	add(e->gate, requests);
	m.requests = (struct wire_list){ requests->data, requests->len };
	if (requests->len)
		link_send(e->link, kind, &m);
	g_array_unref(requests);
}

/* Reports the outcomes of runs at once: the same request may crash another
 * endpoint in the meantime. */
static void send_run_outcomes(struct fleet_entry *e)
{
	struct gate_crash_report r;

	if (e->link_up && gate_crash_report(e->gate, &r))
		gate_crash_report_done(e->gate, &r,
				       link_send(e->link, MSG_RUN_OUTCOMES,
						 &r.m));
}

/* Reports streams at once: callers may outlive this process and resume their
 * streams elsewhere. */
static void send_streams(struct fleet_entry *e)
{
	struct stream_wire w;

	if (e->link_up && gate_stream_report(e->gate, &w))
		gate_stream_report_done(e->gate, &w,
					link_send(e->link, MSG_STREAMS, &w.m));
}

static void on_list(void *arg, struct fleet_list *all)
{
	struct fleet_entry *e = arg;

	gate_list_received(e->gate, all);
}

/* Readiness and shutdown. */

static bool entry_ready(void *role)
{
	const struct fleet_entry *e = role;

	return !e->stop_ms && gate_routing_version(e->gate) > 0 &&
	       gate_knows_fleet(e->gate) && !gate_is_stale(e->gate);
}

static void on_ready(void *arg, struct evhttp_request *req)
{
	struct fleet_entry *e = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (!strcmp(path, users_platform.path_ready)) {
		bool ready = entry_ready(e);

		http_reply(req, ready ? 200 : 503, "application/json",
			   SS_LIT("{}"));
		return;
	}
	if (!daemon_status_request(e->d, req, entry_ready(e)))
		http_reply(req, 404, "text/plain", SS_LIT("not found\n"));
}

static void entry_stop(void *role)
{
	struct fleet_entry *e = role;

	e->stop_ms = now_ms(e);
	gate_drain(e->gate, e->stop_ms + grace_ms(e) - GRACE_MARGIN_MS);
}

/* Advances a planned stop: report not ready, refuse new callers, exit. The exit
 * is in time even if it is due before the time to refuse new callers. */
static void advance_stop(struct fleet_entry *e, int64_t now)
{
	const struct config_fleet *c = &e->d->config.fleet;
	int64_t age = now - e->stop_ms;
	bool expired = age > grace_ms(e) - GRACE_MARGIN_MS;
	bool no_new_callers;

	if (age < c->accept_ms && !expired)
		return;
	no_new_callers = gate_close(e->gate);
	if (!e->closed) {
		e->closed = true;
		log_info("stop", "no new callers; busy=%zu",
			 gate_busy(e->gate));
	}
	if (expired)
		gate_abort(e->gate);
	if ((no_new_callers || expired) && gate_busy(e->gate) == 0)
		daemon_exit(e->d, 0);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct fleet_entry *e = arg;
	int64_t now = now_ms(e);

	(void)fd;
	(void)what;
	gate_tick(e->gate);
	routing_fetch_tick(e->routing);
	send_run_outcomes(e);
	send_streams(e);
	send_quota_requests(e, MSG_QUOTA_REQUEST, gate_quota_requests);
	send_demand(e, now);
	/* After the demand report, so that the leader receives a limit before a
	 * request for it. */
	send_quota_requests(e, MSG_LIMIT_REQUEST, gate_limit_requests);
	instances_set_polling(
		e->list,
		!e->link_up && now - e->leader_ms > (gate_knows_fleet(e->gate) ?
							     LEADERLESS_MS :
							     STARTUP_MS));
	if (e->stop_ms)
		advance_stop(e, now);
	else
		close_idle_agents(e, now);
}

static void entry_free(void *role)
{
	struct fleet_entry *e = role;

	if (e->tick)
		event_free(e->tick);
	instances_free(e->list);
	http_server_free(e->ready);
	routing_fetch_free(e->routing);
	link_free(e->link);
	if (e->agents)
		g_hash_table_unref(e->agents);
	gate_free(e->gate);
	g_free(e);
}

static bool start_parts(struct fleet_entry *e, GError **error)
{
	struct daemon *d = e->d;
	const struct config_fleet *c = &d->config.fleet;
	struct gate_options go = {
		.base = d->base,
		.clock = &d->clock,
		.platform = &users_platform,
		.metrics = d->metrics,
		.addr = c->listen,
		.domain = d->config.domain,
		.retry_ratio = c->retry_ratio,
		.retry_window_ms = (int64_t)(c->retry_window_s * 1000),
		.retry_slack = (int64_t)c->retry_slack,
		.adapter_wait_ms = c->adapter_wait_ms,
		.patience = { c->patience_ms, c->patience_objectives,
			      c->patience_pauses },
		.keys_trust_ms = (int64_t)c->keys_trust_ms,
		.memory = (size_t)(c->memory_mb * CALLER_MEMORY_SHARE *
				   (1 << 20)),
		.seed = d->seed,
		.ops = &gate_table,
		.arg = e
	};
	struct http_server_options ro = { .base = d->base,
					  .addr = c->ready_listen,
					  .max_body = 4096,
					  .handle = on_ready,
					  .arg = e };
	struct instances_options io = { .base = d->base,
					.platform = &users_platform,
					.addr = c->vm_list,
					.poll_interval_ms = LIST_POLL_MS,
					.metrics = d->metrics,
					.list = on_list,
					.arg = e };
	struct routing_fetch_options fo = { .daemon = d,
					    .applied = take_routing,
					    .arg = e };
	struct link_options lo = { .conn = daemon_conn_options(d, NULL, NULL),
				   .control = d->config.control,
				   .ops = &link_table,
				   .arg = e,
				   .seed = d->seed };

	e->gate = gate_new(&go, error);
	if (!e->gate)
		return false;
	e->ready = http_server_new(&ro, error);
	if (!e->ready)
		return false;
	e->list = instances_new(&io);
	e->routing = routing_fetch_new(&fo);
	e->link = link_new(&lo);
	return true;
}

static void *entry_start(struct daemon *d, GError **error)
{
	struct fleet_entry *e = g_new0(struct fleet_entry, 1);

	e->d = d;
	e->leader_ms = now_ms(e);
	e->agents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  agent_free);
	if (!start_parts(e, error)) {
		entry_free(e);
		return NULL;
	}
	e->tick = daemon_every(d, TICK_MS, on_tick, e);
	return e;
}

const struct role_ops fleet_entry_role = { "entry", entry_start, entry_stop,
					   entry_ready, entry_free };
