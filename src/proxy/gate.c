/* The gate's setup, callbacks from callers, reports and tick. */
#include "gate_int.h"

#include "../base/log.h"
#include "../node/frame.h"

#include <xxhash.h>

/* Period of checking idle connections: a third of the margin by which they are
 * closed before the endpoint would close them. */
#define TIDY_MS 200
#define HEAD_MAX (16u << 10) /* head of an endpoint's answer, bytes */

/* Successful calls kept for the report of the next failure. They keep a chance
 * failure from looking like many; more of them would hide new failures. */
#define ANSWERED_KEPT 20u
/* Suspected requests kept: as many as a fleet of 200 endpoints runs at a time,
 * in 0.5 MB. */
#define SUSPECTS_MAX 4096
/* Crash reports kept for a new leader: those of several endpoints with the
 * calls of this entry. Hundreds of entries send some MB in all, in pieces. */
#define CRASH_REPORTS_MAX 2048
/* Parts of prompts whose last answer is remembered: the ones in use, at some
 * 100 bytes each. */
#define ANSWERED_PARTS_MAX 8192

/* Streams kept in the log: one minute at hundreds a second, in 1.5 MB. */
#define STREAMS_MAX 16384

/* In force until the first routing sets others. */
static const struct callers_limits initial_limits = {
	.head_bytes = 16 << 10,
	.body_bytes = 4 << 20,
	.head_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

struct stream_timing *gate_timing(struct gate *g, const struct forward *f)
{
	const char *service = f->service->name;
	char *key = f->route->kind == ROUTE_STREAM ?
			    g_strdup(service) :
			    g_strdup_printf("%s\n%s", service, f->route->name);
	struct stream_timing *p = g_hash_table_lookup(g->timings, key);

	if (p) {
		g_free(key);
		return p;
	}
	p = g_new0(struct stream_timing, 1);
	g_hash_table_insert(g->timings, key, p);
	return p;
}

/* Callers. */

static void on_request(void *arg, struct caller_call *c,
		       const struct http1_head *h, struct ss_str body)
{
	struct gate *g = arg;

	(void)h;
	forward_begin(g, c, body, gate_now(g));
}

static void on_drained(void *arg, struct caller_call *c)
{
	struct forward *f = caller_call_data(c);

	(void)arg;
	if (f)
		forward_unpause(f);
}

static void on_gone(void *arg, struct caller_call *c)
{
	struct forward *f = caller_call_data(c);

	if (f)
		forward_caller_left(f);
	else
		startup_hold_drop(arg, c);
}

static void on_refused(void *arg, int status)
{
	struct gate *g = arg;

	if (status == 503) {
		(*g->n_no_room)++;
		log_warn("no_room", "held=%zu unread=%zu",
			 callers_body_bytes(g->callers),
			 callers_unread_bytes(g->callers));
		return;
	}
	(*g->n_bad)++;
	log_info("unreadable", "status=%d", status);
}

static const struct callers_ops callers_table = { on_request, on_drained,
						  on_gone, on_refused };

/* Routing and agents. */

void gate_set_routing(struct gate *g, struct routing *r)
{
	struct callers_limits l = { .head_bytes = (size_t)r->limits.head_bytes,
				    .body_bytes = (size_t)r->limits.body_bytes,
				    .head_timeout_ms = r->limits.head_ms,
				    .idle_timeout_ms = r->limits.idle_ms };

	if (r->version <= g->routing_version)
		return;
	routing_ref(r);
	routing_unref(g->routing);
	g->routing = r;
	g->routing_version = r->version;
	freshness_applied(&g->freshness, r->version);
	callers_set_limits(g->callers, &l);
	gate_dispatch(g, NULL);
}

uint64_t gate_routing_version(const struct gate *g)
{
	return g->routing_version;
}

void gate_routing_version_received(struct gate *g, uint64_t version)
{
	freshness_received(&g->freshness, version, gate_now(g));
}

void gate_leader_lost(struct gate *g)
{
	freshness_leader_lost(&g->freshness, gate_now(g));
	quota_lease.clients_link(g->quota_client, NULL, false, gate_now(g));
	quota_lease.clients_link(g->limit_client, NULL, false, gate_now(g));
	suspects_set_deferring(g->suspects, false);
}

bool gate_is_stale(const struct gate *g)
{
	int64_t until, now = gate_now(g);

	return freshness_level(&g->freshness, now, &until) == FRESHNESS_STALE &&
	       until <= now;
}

bool gate_knows_fleet(const struct gate *g)
{
	return g->fleet_known;
}

void gate_adapter_done(struct gate *g, const struct msg_adapter_done *m)
{
	struct forward *f = g_hash_table_lookup(g->tickets, &m->sub);

	if (f)
		forward_adapter_reply(f, m->code, m->text);
}

void gate_agent_lost(struct gate *g, const char *agent)
{
	GList *all = g_hash_table_get_values(g->tickets);

	for (GList *p = all; p; p = p->next) {
		struct forward *f = p->data;
		struct gate_ep *ep;

		/* A request that was freed meanwhile isn't in the table. */
		if (!g_hash_table_contains(g->forwards, f) ||
		    f->state != FORWARD_WAIT_ADAPTER)
			continue;
		ep = gate_ep_at(g, f->ep_addr);
		if (!ep || !strcmp(ep->agent, agent))
			forward_adapter_reply(f, SS_ERROR_UNAVAILABLE,
					      SS_LIT("its agent was lost"));
	}
	g_list_free(all);
}

/* Reports. */

static void report_queue(struct gate *g, struct gate_report *r,
			 struct model_queue *l)
{
	const struct forward *first = model_queue_next(l, gate_now(g));
	uint64_t waiting = 0;
	struct model_demand d = { .service = ss_str(l->service),
				  .model = ss_str(l->model),
				  .version = ss_str(l->version),
				  .arrivals = l->arrivals };

	/* Includes requests that wait for a slot on an engine that has the
	 * model: a second replica would serve them. */
	waiting = ss_queue_length(l->waiting);
	if (!*l->model || !strcmp(l->version, RESUME_UNVERSIONED) ||
	    (!l->arrivals && !waiting && !l->reported))
		return;
	d.waiting = waiting;
	d.slack_ms = first ? first->objective_ms - gate_now(g) : 0;
	l->reported = waiting;
	l->arrivals = 0;
	g_array_append_val(r->models, d);
}

static void report_calls(struct gate_report *r, const struct gate_ep *ep)
{
	GArray *models = g_array_new(FALSE, TRUE, sizeof(struct held_model));
	struct endpoint_calls e = { .addr = ss_str(ep->addr),
				    .started_ms = ep->self.started_ms };
	GHashTableIter it;
	void *name, *n;

	g_hash_table_iter_init(&it, ep->calls);
	while (g_hash_table_iter_next(&it, &name, &n)) {
		struct held_model h = { .model = ss_str(name),
					.calls = GPOINTER_TO_INT(n) };

		if (h.model.n)
			g_array_append_val(models, h);
	}
	g_ptr_array_add(r->call_lists, models);
	e.models = (struct wire_list){ models->data, models->len };
	if (models->len)
		g_array_append_val(r->calls, e);
}

/* Adds call results, unless no entry has seen the endpoint fail; false: nothing
 * added. */
static bool add_call_results(const struct gate *g, struct gate_ep *ep,
			     struct endpoint_results *e)
{
	if (!ep->failed &&
	    !(ep->answered &&
	      failure_rate_permille(&ep->reported_failure_rate, gate_now(g)))) {
		ep->answered = MIN(ep->answered, ANSWERED_KEPT);
		return false;
	}
	e->failed = ep->failed;
	e->answered = ep->answered;
	ep->failed = ep->answered = 0;
	return true;
}

static void report_results(struct gate *g, struct gate_report *r,
			   struct gate_ep *ep)
{
	struct endpoint_results e = { .addr = ss_str(ep->addr),
				      .started_ms = ep->self.started_ms };
	bool has_results = add_call_results(g, ep, &e);

	if (gate_speed_report(g, ep, &e) || has_results)
		g_array_append_val(r->results, e);
}

/* Whether the report is worth sending. Keeps a hash of it, for the next one. */
static bool has_changes(struct gate *g, const struct gate_report *r)
{
	GString *bytes = g_string_new(NULL);
	uint64_t before = g->report_hash;

	frame_add(bytes, MSG_DEMAND, &r->m);
	g->report_hash = XXH3_64bits(bytes->str, bytes->len);
	g_string_free(bytes, TRUE);
	return r->models->len || r->results->len || r->signals->len ||
	       g->report_hash != before;
}

void gate_report(struct gate *g, struct gate_report *r)
{
	GHashTableIter it;
	void *p;

	memset(r, 0, sizeof(*r));
	r->models = g_array_new(FALSE, TRUE, sizeof(struct model_demand));
	r->calls = g_array_new(FALSE, TRUE, sizeof(struct endpoint_calls));
	r->results = g_array_new(FALSE, TRUE, sizeof(struct endpoint_results));
	r->signals = g_array_new(FALSE, TRUE, sizeof(struct endpoint_signals));
	r->call_lists =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	g_hash_table_iter_init(&it, g->model_queues);
	while (g_hash_table_iter_next(&it, NULL, &p))
		report_queue(g, r, p);
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		report_calls(r, p);
		report_results(g, r, p);
		gate_signals_report(g, p, r->signals);
	}
	r->m.round = g->round;
	r->m.routing = gate_routing_version(g);
	r->m.models = (struct wire_list){ r->models->data, r->models->len };
	r->m.calls = (struct wire_list){ r->calls->data, r->calls->len };
	r->m.results = (struct wire_list){ r->results->data, r->results->len };
	r->m.signals = (struct wire_list){ r->signals->data, r->signals->len };
	r->must_send = has_changes(g, r);
}

void gate_report_done(struct gate_report *r)
{
	g_array_unref(r->models);
	g_array_unref(r->calls);
	g_array_unref(r->results);
	g_array_unref(r->signals);
	g_ptr_array_unref(r->call_lists);
}

/* Tick and planned stop. */

static void tick_forwards(struct gate *g, int64_t now)
{
	GList *all = g_hash_table_get_keys(g->forwards);

	for (GList *p = all; p; p = p->next)
		if (g_hash_table_contains(g->forwards, p->data))
			forward_tick(p->data, now);
	g_list_free(all);
}

void gate_tick(struct gate *g)
{
	int64_t now = gate_now(g);

	if (g->stop_end_ms)
		times_update_pending(g, now);
	freshness_tick(&g->freshness, now);
	startup_hold_tick(g);
	crash_checks_tick(g, now);
	quarantine_tick(g, now);
	quota_tick(g);
	gate_limits_tick(g, now);
	callers_update_unread(g->callers);
	*g->n_held = callers_body_bytes(g->callers);
	*g->n_unread = callers_unread_bytes(g->callers);
	tick_forwards(g, now);
	gate_dispatch(g, NULL);
	if (now - g->tidy_ms < TIDY_MS)
		return;
	g->tidy_ms = now;
	callers_check_timeouts(g->callers);
	upstream_close_expired(g->upstream);
	resume_tidy(g, now);
	return_slots_expire(g->refused_slots, now);
}

void gate_drain(struct gate *g, int64_t end_ms)
{
	g->stop_end_ms = end_ms;
	callers_drain(g->callers);
}

bool gate_close(struct gate *g)
{
	return callers_close(g->callers);
}

size_t gate_busy(const struct gate *g)
{
	return g_hash_table_size(g->forwards) + callers_busy(g->callers);
}

void gate_abort(struct gate *g)
{
	GList *all = g_hash_table_get_keys(g->forwards);

	for (GList *p = all; p; p = p->next)
		if (g_hash_table_contains(g->forwards, p->data))
			forward_abort(p->data);
	g_list_free(all);
}

static void make_counters(struct gate *g)
{
	struct metrics *m = g->o.metrics;

	g->n_requests = metrics_value(m, "ss_gate_requests_total", "");
	g->n_ok = metrics_value(m, "ss_gate_answered_total", "");
	g->n_cut = metrics_value(m, "ss_gate_cut_total", "");
	g->n_refused =
		metrics_value(m, "ss_gate_ended_total", "outcome=\"not_run\"");
	g->n_failed =
		metrics_value(m, "ss_gate_ended_total", "outcome=\"unknown\"");
	g->n_callers_left = metrics_value(m, "ss_gate_callers_left_total", "");
	g->n_retries = metrics_value(m, "ss_gate_retries_total", "");
	g->n_retries_refused =
		metrics_value(m, "ss_gate_retries_refused_total", "");
	g->n_adapters = metrics_value(m, "ss_gate_adapters_asked_total", "");
	g->n_bad = metrics_value(m, "ss_gate_bad_requests_total", "");
	g->n_no_room = metrics_value(m, "ss_gate_no_room_total", "");
	g->n_held = metrics_value(m, "ss_gate_held_bytes", "");
	g->n_unread = metrics_value(m, "ss_gate_unread_bytes", "");
	g->n_crashes = metrics_value(m, "ss_gate_endpoints_ended_total", "");
	g->n_quarantined = metrics_value(m, "ss_gate_quarantined_total", "");
	g->n_over_quota = metrics_value(m, "ss_gate_over_quota_total", "");
	g->n_resumed = metrics_value(m, "ss_gate_taken_up_total", "");
	g->n_resume_refused =
		metrics_value(m, "ss_gate_taken_up_refused_total", "");
	g->n_limited = metrics_value(m, "ss_gate_sent_limited_total", "");
	g->n_backoffs = metrics_value(m, "ss_gate_rests_total", "");
	g->n_sent_in_backoff =
		metrics_value(m, "ss_gate_sent_resting_total", "");
	g->n_sent_draining = metrics_value(m, "ss_gate_sent_leaving_total", "");
	g->n_slots_given = metrics_value(m, "ss_gate_turns_given_total", "");
	g->n_slots_beyond = metrics_value(m, "ss_gate_turns_beyond_total", "");
	g->n_start_waits = metrics_value(m, "ss_gate_start_waits_total", "");
	g->n_start_cuts = metrics_value(m, "ss_gate_start_cuts_total", "");
	g->start_limits = metrics_hist(m, "ss_gate_start_limit", "");
}

struct gate *gate_new(const struct gate_options *o, GError **error)
{
	struct gate *g = g_new0(struct gate, 1);
	struct callers_options co = { .base = o->base,
				      .clock = o->clock,
				      .addr = o->addr,
				      .limits = initial_limits,
				      .memory_max = o->memory,
				      .ops = &callers_table,
				      .arg = g };
	struct upstream_options uo = {
		.base = o->base,
		.clock = o->clock,
		.head_max = HEAD_MAX,
		.opened = metrics_value(o->metrics,
					"ss_gate_connections_opened_total", ""),
		.reused = metrics_value(o->metrics,
					"ss_gate_connections_reused_total", ""),
	};

	struct suspects_options so = { .capacity = SUSPECTS_MAX };

	g->o = *o;
	g->seed = o->seed;
	g->since_ms = gate_now(g);
	freshness_init(&g->freshness, g->since_ms);
	g->startup_hold = startup_hold_new();
	g->quota_client = quota_lease.clients_new(&(struct quota_options){ 0 },
						  g->since_ms);
	g->limit_client =
		quota_lease.clients_new(&endpoint_limit_quota, g->since_ms);
	g->counts_by_customer =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->quota_queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						quota_queues_free);
	g->streams = stream_log_new(STREAMS_MAX);
	g->refused_slots = return_slots_new();
	g->unversioned =
		g_array_new(FALSE, FALSE, sizeof(struct unversioned_stream));
	g->crash_checks = g_ptr_array_new_with_free_func(crash_check_free);
	g->suspects = suspects_new(&so, g->since_ms);
	crash_log_init(&g->crash_log, CRASH_REPORTS_MAX);
	g->answered_parts = answer_history_new(ANSWERED_PARTS_MAX);
	g->eps = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				       gate_ep_free);
	model_queues_init(g);
	g->retries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->timings =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->latency_hists =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g->forwards = g_hash_table_new(NULL, NULL);
	g->tickets = g_hash_table_new(g_int64_hash, g_int64_equal);
	make_counters(g);
	g->speeds = gate_speeds_new(o->metrics);
	g->upstream = upstream_new(&uo);
	g->callers = callers_new(&co, error);
	if (g->callers)
		return g;
	gate_free(g);
	return NULL;
}

uint16_t gate_port(const struct gate *g)
{
	return callers_port(g->callers);
}

void gate_free(struct gate *g)
{
	if (!g)
		return;
	/* Closes callers' connections, which frees all remaining requests. */
	callers_free(g->callers);
	upstream_free(g->upstream);
	g_array_unref(g->startup_hold);
	g_ptr_array_unref(g->crash_checks);
	stream_log_free(g->streams);
	return_slots_free(g->refused_slots);
	g_array_unref(g->unversioned);
	suspects_free(g->suspects);
	crash_log_clear(&g->crash_log);
	answer_history_free(g->answered_parts);
	g_hash_table_unref(g->forwards);
	g_hash_table_unref(g->tickets);
	model_queues_clear(g);
	g_hash_table_unref(g->eps);
	g_hash_table_unref(g->retries);
	g_hash_table_unref(g->timings);
	g_hash_table_unref(g->latency_hists);
	gate_speeds_free(g->speeds);
	g_hash_table_unref(g->quota_queues);
	g_hash_table_unref(g->counts_by_customer);
	quota_lease.clients_free(g->quota_client);
	quota_lease.clients_free(g->limit_client);
	routing_unref(g->routing);
	g_free(g);
}
