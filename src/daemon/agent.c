/* The agent role: passes calls and orders to the endpoint on its VM, which
 * nothing else talks to. */
#include "../core/calls.h"
#include "../core/state.h"
#include "../engine/endpoint.h"
#include "daemon.h"

/* Timer interval in ms: the precision of leases and deadlines. */
#define TICK_MS 50
/* Interval in ms of reading which models the endpoint holds: while an order is
 * carried out, and otherwise. */
#define READ_BUSY_MS 50
#define READ_IDLE_MS 1000
/* Interval of reports to the leader in ms: after a change, and otherwise. */
#define REPORT_MS 1000
#define REPORT_IDLE_MS 5000

struct agent_role {
	struct daemon *d;
	const struct endpoint_ops *ops;
	struct endpoint *endpoint;
	struct ledger *ledger;
	struct calls *calls;
	struct link *link;
	struct listener *listener;
	struct event *tick;
	GHashTable *conns; /* open connections of entries */
	char *addr;
	uint64_t bytes;
	GArray *cached; /* struct cached_checkpoint; owns the model names */
	bool started;	/* the endpoint has been read once */
	bool reading;
	uint64_t read; /* number of the latest read of the endpoint */
	int64_t read_ms, report_ms;
	bool report_due;
	bool cached_due;
	int64_t stop_ms;    /* start of a planned stop; 0: none */
	int64_t pending_ms; /* when work was last pending during the stop */
	uint64_t *n_calls, *n_refused, *n_cancelled, *n_fenced, *n_loads,
		*n_unloads, *n_running, *n_bytes, *n_unreachable;
	struct hist *load_hist;
};

/* A call that runs in the endpoint. */
struct job {
	struct agent_role *a;
	struct call *call;
	struct ledger_replica *replica;
	struct endpoint_call *endpoint_call;
	int64_t start_ms;
	char *request_id;
};

static int64_t now_ms(const struct agent_role *a)
{
	return ss_clock_now(&a->d->clock);
}

/* Calls and their replies to entries. */

static void reply(void *arg, void *peer, const struct msg_reply *r)
{
	struct agent_role *a = arg;

	if (g_hash_table_contains(a->conns, peer))
		conn_send(peer, MSG_REPLY, r);
}

static void job_end(struct job *j)
{
	struct agent_role *a = j->a;

	ledger_end_call(a->ledger, j->replica, now_ms(a));
	g_free(j->request_id);
	g_free(j);
	a->report_due = true;
}

static void on_reply_piece(void *arg, struct msg_reply *m)
{
	struct job *j = arg;
	struct agent_role *a = j->a;
	int64_t now = now_ms(a);

	m->active = j->replica->active;
	if (m->code == SS_ERROR_UNKNOWN_MODEL)
		a->read_ms = 0; /* read the endpoint's models at once */
	if (!m->end) {
		calls_add_piece(a->calls, j->call, m, now);
		return;
	}
	log_debug("call_end",
		  "request=%s call=%" PRIx64 "-%" PRIu64 " ms=%" PRId64
		  " error=%s",
		  j->request_id, call_entry(j->call), call_seq(j->call),
		  now - j->start_ms,
		  m->code ? ss_error_name((enum ss_error)m->code) : "none");
	calls_add_piece(a->calls, j->call, m, now);
	job_end(j);
}

static char *header_value(const struct msg_call *m, const char *name)
{
	const struct header *h = m->headers.items;

	for (size_t i = 0; i < m->headers.n; i++)
		if (h[i].name.n == strlen(name) &&
		    !g_ascii_strncasecmp(h[i].name.p, name, h[i].name.n))
			return ss_str_dup(h[i].value);
	return g_strdup("-");
}

static void start_call(void *arg, struct call *c, const struct msg_call *m)
{
	struct agent_role *a = arg;
	struct job *j = call_data(c);
	struct endpoint_call_options o = { .m = m,
					   .piece = on_reply_piece,
					   .arg = j };

	(*a->n_calls)++;
	j->call = c;
	j->start_ms = now_ms(a);
	j->request_id = header_value(m, "X-Request-Id");
	log_debug("call_start",
		  "request=%s call=%" PRIx64 "-%" PRIu64 " model=%.*s once=%d",
		  j->request_id, m->entry, m->seq, SS_FMT(m->model), m->once);
	j->endpoint_call = a->ops->call(a->endpoint, &o);
}

static void cancel_call(void *arg, struct call *c)
{
	struct agent_role *a = arg;
	struct job *j = call_data(c);
	struct msg_reply m = { .end = true,
			       .code = SS_ERROR_CANCELLED,
			       .outcome = OUTCOME_UNKNOWN,
			       .text = SS_LIT("cancelled") };

	(*a->n_cancelled)++;
	a->ops->cancel(j->endpoint_call);
	calls_add_piece(a->calls, c, &m, now_ms(a));
	job_end(j);
}

static const struct calls_ops calls_table = { start_call, cancel_call, reply };

static void submit_call(struct agent_role *a, struct conn *c,
			const struct msg_call *m)
{
	GError *refusal = NULL;
	struct job *j = NULL;

	/* A call with a known id is answered from the table, without a slot. */
	if (!calls_known(a->calls, m->entry, m->seq) &&
	    m->incarnation == a->d->hello.incarnation) {
		struct ledger_replica *r =
			ledger_begin_call(a->ledger, m->model, &refusal);

		if (r) {
			j = g_new0(struct job, 1);
			j->a = a;
			j->replica = r;
		} else {
			(*a->n_refused)++;
		}
	}
	calls_submit(a->calls, c, m, refusal, j, now_ms(a));
	g_clear_error(&refusal);
}

static void conn_open(void *arg, struct conn *c)
{
	struct agent_role *a = arg;

	g_hash_table_add(a->conns, c);
}

static void conn_message(void *arg, struct conn *c, struct frame *f)
{
	struct agent_role *a = arg;

	switch (f->kind) {
	case MSG_CALL:
		submit_call(a, c, &f->u.call);
		break;
	case MSG_ATTACH:
		calls_attach(a->calls, c, &f->u.attach, now_ms(a));
		break;
	case MSG_CANCEL:
		calls_cancel(a->calls, c, f->u.cancel.sub, now_ms(a));
		break;
	default:
		break;
	}
}

static void conn_closed(void *arg, struct conn *c, const GError *why)
{
	struct agent_role *a = arg;

	(void)why;
	if (g_hash_table_remove(a->conns, c))
		calls_peer_gone(a->calls, c, now_ms(a));
}

static const struct conn_ops conn_table = { conn_open, conn_message,
					    conn_closed };

/* Orders to the endpoint: load and unload. */

struct order_ctx {
	struct agent_role *a;
	char *model;
};

static void on_order_done(void *arg, bool ok)
{
	struct order_ctx *o = arg;

	if (!ok)
		log_warn("order_unanswered", "model=%s", o->model);
	ledger_answered(o->a->ledger, o->model, ok, now_ms(o->a));
	o->a->read_ms = 0;
	g_free(o->model);
	g_free(o);
}

static struct order_ctx *order_ctx_new(struct agent_role *a, const char *model)
{
	struct order_ctx *o = g_new0(struct order_ctx, 1);

	o->a = a;
	o->model = g_strdup(model);
	return o;
}

static void load(void *arg, const struct ledger_replica *r, uint64_t fence)
{
	struct agent_role *a = arg;

	(*a->n_loads)++;
	log_info("load", "model=%s replica=%" PRIu64 " fence=%" PRIu64,
		 r->model, r->id, fence);
	a->ops->load(a->endpoint, r, fence, on_order_done,
		     order_ctx_new(a, r->model));
}

static void unload(void *arg, const struct ledger_replica *r, uint64_t fence)
{
	struct agent_role *a = arg;

	(*a->n_unloads)++;
	log_info("unload", "model=%s replica=%" PRIu64 " fence=%" PRIu64,
		 r->model, r->id, fence);
	a->ops->unload(a->endpoint, r, fence, on_order_done,
		       order_ctx_new(a, r->model));
}

static void ledger_changed(void *arg)
{
	struct agent_role *a = arg;

	a->report_due = true;
	a->report_ms = 0;
}

static const struct ledger_ops ledger_table = { load, unload, ledger_changed };

/* Messages to and from the leader. */

static void send_register(struct agent_role *a)
{
	GArray *held;
	struct msg_register m = {
		.name = a->d->hello.name,
		.pool = ss_str(a->d->config.agent.pool),
		.domain = a->d->hello.domain,
		.addr = ss_str(a->addr),
		.kind = a->d->config.agent.kind ? NODE_SERVICE : NODE_ENGINE,
		.incarnation = a->d->hello.incarnation,
		.bytes = a->bytes,
		.slots = (uint64_t)a->d->config.agent.slots,
	};

	if (!a->started)
		return;
	held = ledger_report(a->ledger, now_ms(a));
	m.held = (struct wire_list){ held->data, held->len };
	m.cached = (struct wire_list){ a->cached->data, a->cached->len };
	link_send(a->link, MSG_REGISTER, &m);
	g_array_unref(held);
	a->report_ms = now_ms(a);
}

static void send_report(struct agent_role *a, int64_t now)
{
	GArray *held = ledger_report(a->ledger, now);
	struct msg_report m = { .incarnation = a->d->hello.incarnation,
				.fence = ledger_fence(a->ledger),
				.active = ledger_active(a->ledger),
				.draining = ledger_draining(a->ledger),
				.held = { held->data, held->len } };

	if (a->cached_due)
		m.cached =
			(struct wire_list){ a->cached->data, a->cached->len };
	if (link_send(a->link, MSG_REPORT, &m)) {
		a->report_due = false;
		a->cached_due = false;
		a->report_ms = now;
	}
	g_array_unref(held);
}

static void link_up(void *arg, uint64_t group)
{
	struct agent_role *a = arg;

	if (!a->d->hello.group)
		a->d->hello.group = group;
	send_register(a);
}

static void link_down(void *arg)
{
	(void)arg;
}

static void acknowledge_config(struct agent_role *a, const struct msg_config *m)
{
	struct msg_config ack = { .version = m->version };

	/* An agent doesn't use the preset; it only acknowledges the version. */
	a->d->hello.config = MAX(a->d->hello.config, m->version);
	ack.version = a->d->hello.config;
	link_send(a->link, MSG_ACK, &ack);
}

static void link_message(void *arg, struct frame *f)
{
	struct agent_role *a = arg;
	GError *error = NULL;

	ledger_leader_contact(a->ledger, now_ms(a));
	switch (f->kind) {
	case MSG_ASSIGN:
		if (ledger_assign(a->ledger, &f->u.assign, now_ms(a), &error)) {
			a->report_due = true;
			break;
		}
		(*a->n_fenced)++;
		log_warn("order_refused", "why=\"%s\"", error->message);
		g_clear_error(&error);
		break;
	case MSG_CONFIG:
		acknowledge_config(a, &f->u.config);
		break;
	default:
		break;
	}
}

static const struct link_ops link_table = { link_up, link_message, link_down };

/* State of the endpoint. */

static void cached_clear(GArray *cached)
{
	for (guint i = 0; i < cached->len; i++)
		g_free((char *)g_array_index(cached, struct cached_checkpoint,
					     i)
			       .model.p);
	g_array_set_size(cached, 0);
}

static bool cached_equal(const GArray *have, const struct endpoint_state *s)
{
	if (have->len != s->n_cached)
		return false;
	for (guint i = 0; i < have->len; i++) {
		const struct cached_checkpoint *c =
			&g_array_index(have, struct cached_checkpoint, i);

		if (!ss_str_eq(c->model, s->cached[i].model) ||
		    c->tier != s->cached[i].tier)
			return false;
	}
	return true;
}

static void update_cached(struct agent_role *a, const struct endpoint_state *s)
{
	if (cached_equal(a->cached, s))
		return;
	cached_clear(a->cached);
	for (size_t i = 0; i < s->n_cached; i++) {
		struct cached_checkpoint c = s->cached[i];

		c.model.p = ss_str_dup(c.model);
		g_array_append_val(a->cached, c);
	}
	a->cached_due = true;
	a->report_due = true;
}

/* The first answer states the memory size, which the ledger needs before the
 * agent registers. */
static void first_read(struct agent_role *a, const struct endpoint_state *s)
{
	a->bytes = s->bytes;
	ledger_set_bytes(a->ledger, s->bytes);
	a->started = true;
	log_info("endpoint_found", "bytes=%" PRIu64 " held=%zu", s->bytes,
		 s->n_held);
}

static void on_read(void *arg, const struct endpoint_state *s)
{
	struct agent_role *a = arg;
	bool first = !a->started;

	a->reading = false;
	a->read_ms = now_ms(a);
	if (!s) {
		(*a->n_unreachable)++;
		return;
	}
	if (first)
		first_read(a, s);
	update_cached(a, s);
	ledger_read_done(a->ledger, a->read, s->held, s->n_held, now_ms(a));
	if (first)
		send_register(a);
}

static void read_endpoint(struct agent_role *a, int64_t now)
{
	int64_t every = ledger_busy(a->ledger) ? READ_BUSY_MS : READ_IDLE_MS;

	if (a->reading || now - a->read_ms < every)
		return;
	a->reading = true;
	a->read = ledger_read_begin(a->ledger);
	a->ops->read(a->endpoint, on_read, a);
}

/* Returns true if all replies have been written to their entries. */
static bool all_replies_written(const struct agent_role *a)
{
	GHashTableIter it;
	void *c;

	g_hash_table_iter_init(&it, a->conns);
	while (g_hash_table_iter_next(&it, &c, NULL))
		if (conn_backlog(c))
			return false;
	return true;
}

static void check_stop(struct agent_role *a, int64_t now)
{
	if (!a->stop_ms)
		return;
	if (calls_running(a->calls) || !all_replies_written(a))
		a->pending_ms = now;
	if (now - a->pending_ms >= DAEMON_LINGER_MS ||
	    now - a->stop_ms > a->d->config.agent.drain_max_ms)
		daemon_exit(a->d, 0);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct agent_role *a = arg;
	int64_t now = now_ms(a);
	int64_t every = a->report_due ? REPORT_MS : REPORT_IDLE_MS;

	(void)fd;
	(void)what;
	read_endpoint(a, now);
	ledger_tick(a->ledger, now);
	calls_tick(a->calls, now);
	if (a->started && now - a->report_ms >= every)
		send_report(a, now);
	*a->n_running = calls_running(a->calls);
	*a->n_bytes = ledger_bytes(a->ledger);
	check_stop(a, now);
}

static void register_metrics(struct agent_role *a)
{
	struct metrics *m = a->d->metrics;

	a->n_calls = metrics_value(m, "ss_agent_calls_total", "");
	a->n_refused = metrics_value(m, "ss_agent_refused_total", "");
	a->n_cancelled = metrics_value(m, "ss_agent_cancelled_total", "");
	a->n_fenced = metrics_value(m, "ss_agent_orders_fenced_total", "");
	a->n_loads = metrics_value(m, "ss_agent_loads_total", "");
	a->n_unloads = metrics_value(m, "ss_agent_unloads_total", "");
	a->n_running = metrics_value(m, "ss_agent_calls_running", "");
	a->n_bytes = metrics_value(m, "ss_agent_memory_bytes", "");
	a->n_unreachable =
		metrics_value(m, "ss_agent_endpoint_unreachable_total", "");
}

static void agent_free(void *role)
{
	struct agent_role *a = role;
	GHashTableIter it;
	void *c;

	if (a->tick)
		event_free(a->tick);
	link_free(a->link);
	conn_listener_free(a->listener);
	g_hash_table_iter_init(&it, a->conns);
	while (g_hash_table_iter_next(&it, &c, NULL))
		conn_close(c);
	g_hash_table_unref(a->conns);
	if (a->endpoint)
		a->ops->close(a->endpoint);
	calls_free(a->calls);
	ledger_free(a->ledger);
	cached_clear(a->cached);
	g_array_unref(a->cached);
	g_free(a->addr);
	g_free(a);
}

static void *agent_start(struct daemon *d, GError **error)
{
	struct agent_role *a = g_new0(struct agent_role, 1);
	struct conn_options conn = daemon_conn_options(d, &conn_table, a);
	struct endpoint_options eo = { .base = d->base,
				       .addr = d->config.agent.endpoint };
	struct ledger_options lo = { .incarnation = d->hello.incarnation,
				     .service = d->config.agent.kind == 1,
				     .slots = (uint64_t)d->config.agent.slots,
				     .ops = &ledger_table,
				     .arg = a };
	struct calls_options co = { .incarnation = d->hello.incarnation,
				    .ops = &calls_table,
				    .arg = a };
	struct link_options ko = { .conn = conn,
				   .control = d->config.control,
				   .ops = &link_table,
				   .arg = a,
				   .seed = d->seed };

	a->d = d;
	a->conns = g_hash_table_new(NULL, NULL);
	a->cached = g_array_new(FALSE, FALSE, sizeof(struct cached_checkpoint));
	a->read_ms = INT64_MIN / 2;
	a->ops = d->config.agent.kind ? &service_http_ops : &engine_http_ops;
	register_metrics(a);
	a->ledger = ledger_new(&lo);
	a->calls = calls_new(&co);
	/*
	 * The port also serves as a lock: a frozen agent still holds it, so
	 * that no second agent can start on this VM and send orders to the
	 * endpoint at the same time.
	 */
	a->listener = conn_listen(&conn, d->config.listen, error);
	if (!a->listener) {
		agent_free(a);
		return NULL;
	}
	a->addr = daemon_advertised_addr(d, a->listener);
	a->endpoint = a->ops->open(&eo);
	a->link = link_new(&ko);
	a->tick = daemon_every(d, TICK_MS, on_tick, a);
	return a;
}

static void agent_stop(void *role)
{
	struct agent_role *a = role;

	ledger_drain(a->ledger);
	a->stop_ms = a->pending_ms = now_ms(a);
	send_report(a, a->stop_ms);
}

static bool agent_ready(void *role)
{
	const struct agent_role *a = role;

	return a->started && link_is_up(a->link) && !ledger_draining(a->ledger);
}

const struct role_ops agent_role = { "agent", agent_start, agent_stop,
				     agent_ready, agent_free };
