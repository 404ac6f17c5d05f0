/*
 * The agent of a model engine: reports the engine's state to the leader and is
 * the only sender of its orders. Callers' requests don't pass through it.
 */
#include "engine_agent.h"

#include "../../platform/platform.h"
#include "../core/endpoint_limit.h"
#include "../core/engine.h"
#include "../core/fleet_wire.h"
#include "../net/http_client.h"

/* Poll intervals in ms on the engine's own VM, where a report costs only
 * processor time. */
#define READ_BUSY_MS 20
#define READ_IDLE_MS 100
/* Poll intervals in ms from a control VM, where a report also costs a round
 * trip and load on the engine's link. */
#define REMOTE_BUSY_MS 60
#define REMOTE_IDLE_MS 250
/* The engine is on this VM or a few ms away, so a read that takes longer counts
 * as failed. */
#define READ_TIMEOUT_MS 400
/* The engine answers orders immediately, even while it executes one. */
#define ORDER_TIMEOUT_MS 1500
/* Minimum interval between reports of changed load, and the maximum interval
 * between any two reports. */
#define LOAD_REPORT_MS 200
#define REPORT_MS 1000
/* Maximum number of headers of an answer that are inspected. */
#define MAX_HEADERS 32
/* Consecutive failed reads after which the engine counts as down. */
#define MAX_FAILED_READS 2

struct engine_agent {
	struct engine_agent_options o;
	char *addr; /* address of the engine */
	struct msg_hello hello;
	struct engine *engine;
	struct http_client *client; /* to the engine */
	struct link *link;
	struct routing_service
		*service; /* service whose models the engine can hold */
	struct fleet_report *report; /* the latest report; NULL: none */
	/* The engine's incarnation; its instance id is NULL while unknown. */
	struct fleet_incarnation incarnation;
	struct endpoint_limit limit; /* stated in its answers */
	bool draining;		     /* stated in its answers */
	int64_t backoff_until_ms;    /* end of a requested backoff; 0: none */
	bool reachable, reading;
	unsigned int failed_reads; /* consecutive ones */
	int64_t read_ms, reported_ms;
	bool report_due, load_changed;
	uint64_t last_request;	      /* id of the latest adapter request */
	GHashTable *adapter_requests; /* &id -> struct adapter_request */
	uint64_t *n_reads, *n_lost, *n_orders, *n_adapters;
};

/* An entry's pending adapter request. */
struct adapter_request {
	uint64_t id;
	struct conn *conn; /* NULL: closed */
	uint64_t sub;	   /* the entry's id of the request */
};

static int64_t now_ms(const struct engine_agent *a)
{
	return ss_clock_now(&a->o.daemon->clock);
}

/*
 * Clears the engine's instance id, which may have changed. Orders have to name
 * it, so none is sent until the id has been queried again.
 */
static void clear_instance(struct engine_agent *a)
{
	g_clear_pointer(&a->incarnation.id, g_free);
	engine_unavailable(a->engine, now_ms(a));
}

/* Applies the signals (rate limit, draining, backoff) in an engine's answer.
 * Answers to callers carry the same signals. */
static void apply_signals(struct engine_agent *a,
			  const struct http_client_response *r)
{
	struct http1_field fields[MAX_HEADERS];
	struct http1_head h = { .status = r->status, .fields = fields };
	struct platform_answer signals;
	const struct evkeyval *x;

	if (!r->headers)
		return;
	for (x = r->headers->tqh_first; x && h.n_fields < MAX_HEADERS;
	     x = x->next.tqe_next)
		fields[h.n_fields++] = (struct http1_field){ ss_str(x->key),
							     ss_str(x->value) };
	users_platform.read_answer(&h, &signals);
	if (endpoint_limit_update(&a->limit, signals.limit_per_s, now_ms(a))) {
		log_info("endpoint_limit", "endpoint=%s per_s=%.3f", a->addr,
			 a->limit.per_s);
		a->report_due |= a->limit.per_s >= 0;
	}
	if (signals.draining && !a->draining)
		log_info("endpoint_leaving", "endpoint=%s", a->addr);
	/* An entry knows which incarnation an answer came from; an agent
	 * doesn't, so the latest answer decides. */
	a->draining = signals.draining;
	if (!signals.backoff_ms)
		return;
	log_info("endpoint_asks_rest", "endpoint=%s ms=%" PRId64, a->addr,
		 signals.backoff_ms);
	a->backoff_until_ms = now_ms(a) + signals.backoff_ms;
	/* Orders stop until the engine has stated its id again after the
	 * backoff. */
	clear_instance(a);
}

/* Reports to the leader. */

static void report_to_leader(struct engine_agent *a)
{
	static const struct fleet_report none;
	const struct fleet_report *r = a->report ? a->report : &none;
	GArray *held = g_array_new(FALSE, FALSE, sizeof(struct held_model));
	GPtrArray *lists =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	GArray *memory = fleet_wire_names(r->in_memory);
	GArray *disk = fleet_wire_names(r->on_disk);
	struct msg_endpoint m = {
		.addr = ss_str(a->addr),
		.agent = ss_str(a->o.adapter_addr),
		.remote = a->o.remote,
		.reachable = a->reachable,
		.busy = r->busy,
		.draining = r->draining,
		.remaining_ms = MAX(r->remaining_ms, 0),
		.orders = r->orders,
		.running = r->running,
		.waiting = r->waiting,
		.tokens_used = r->tokens_used,
		.tokens_total = r->tokens_total,
		.in_memory = { memory->data, memory->len },
		.on_disk = { disk->data, disk->len },
		.started_ms = a->incarnation.started_ms,
		.id = ss_str(a->incarnation.id ? a->incarnation.id : ""),
	};

	/* Entries find out that a limit has ended: an answer to an agent may be
	 * older than one to a caller. */
	if (a->limit.per_s >= 0) {
		m.limit = endpoint_limit_wire(&a->limit);
		m.limit_age = endpoint_limit_wire_age(&a->limit, now_ms(a));
	}
	for (guint i = 0; r->held && i < r->held->len; i++)
		fleet_wire_add_held(held, lists,
				    &g_array_index(r->held,
						   struct fleet_held_model, i));
	m.held = (struct wire_list){ held->data, held->len };
	if (link_send(a->link, MSG_ENDPOINT, &m)) {
		a->reported_ms = now_ms(a);
		a->report_due = a->load_changed = false;
	}
	g_array_unref(held);
	g_ptr_array_unref(lists);
	g_array_unref(memory);
	g_array_unref(disk);
}

static void report_if_due(struct engine_agent *a)
{
	int64_t age = now_ms(a) - a->reported_ms;

	if (a->report_due || (a->load_changed && age >= LOAD_REPORT_MS) ||
	    age >= REPORT_MS)
		report_to_leader(a);
}

/* Polling the engine. */

static bool same_holdings(const struct fleet_report *x,
			  const struct fleet_report *y)
{
	return x->busy == y->busy && x->draining == y->draining &&
	       fleet_same_names(x->in_memory, y->in_memory) &&
	       fleet_same_names(x->on_disk, y->on_disk) &&
	       fleet_same_held(x->held, y->held);
}

static void report_free(struct fleet_report *r)
{
	if (!r)
		return;
	fleet_report_clear(r);
	g_free(r);
}

static void apply_report(struct engine_agent *a, const struct fleet_report *new)
{
	struct fleet_report *old = a->report;

	a->report = g_memdup2(new, sizeof(*new));
	a->report->self.id = g_strdup(a->incarnation.id);
	a->report->draining |= a->draining;
	a->report_due |= !a->reachable || !old ||
			 !same_holdings(old, a->report);
	a->load_changed |= old && (old->running != new->running ||
				   old->waiting != new->waiting);
	if (!a->reachable)
		log_info("endpoint_found",
			 "endpoint=%s models=%u orders=%" PRIu64, a->addr,
			 new->held->len, new->orders);
	a->reachable = true;
	a->failed_reads = 0;
	/* Without a known instance id no order may be sent. */
	if (a->incarnation.id)
		engine_report_received(a->engine, a->report, now_ms(a));
	else
		engine_unavailable(a->engine, now_ms(a));
	report_free(old);
	report_if_due(a);
}

static void read_failed(struct engine_agent *a, const char *why)
{
	(*a->n_lost)++;
	/* The engine may have restarted. */
	clear_instance(a);
	if (++a->failed_reads < MAX_FAILED_READS || !a->reachable)
		return;
	log_warn("endpoint_lost", "endpoint=%s why=\"%s\"", a->addr, why);
	a->reachable = false;
	g_clear_pointer(&a->report, report_free);
	a->report_due = true;
	report_if_due(a);
}

/*
 * A restarted engine counts its orders from zero again, so the count alone
 * doesn't reject a delayed order from before the restart. Orders therefore name
 * the instance id, which is queried after each start. If the id is unchanged,
 * memory is reserved for such an order (delayed_orders.h).
 */
static void on_instance(void *arg, const struct http_client_response *r)
{
	struct engine_agent *a = arg;

	apply_signals(a, r);
	a->reading = false;
	if (!r->header || !*r->header) {
		log_info("instance_unknown", "endpoint=%s status=%d", a->addr,
			 r->status);
		/* An overloaded engine may refuse this query but still reports.
		 * No answer at all counts as a failed read. */
		if (!r->status)
			read_failed(a, "no answer");
		return;
	}
	g_free(a->incarnation.id);
	a->incarnation.id = g_strdup(r->header);
	log_info("instance", "id=%s started=%" PRId64, a->incarnation.id,
		 a->incarnation.started_ms);
	a->report_due = true;
	report_if_due(a);
}

static void query_instance(struct engine_agent *a)
{
	const char *path = a->service ? a->service->health_path : NULL;
	struct http_client_call c = {
		.method = "GET",
		.path = path ? path : users_platform.path_health,
		.response_header = users_platform.header_instance,
		.timeout_ms = READ_TIMEOUT_MS,
		.done = on_instance,
		.arg = a
	};

	a->reading = true;
	a->read_ms = now_ms(a);
	http_client_send(a->client, &c);
}

/*
 * Returns false for a report of an earlier start, or an older one of this
 * start: engine reports lag by about 100 ms. After a restart the instance id is
 * queried again, as it may have changed.
 */
static bool is_current(struct engine_agent *a, const struct fleet_report *r)
{
	uint64_t orders = a->report ? a->report->orders : 0;
	enum fleet_relation relation =
		fleet_report_compare(&a->incarnation, orders, r);

	if (relation == FLEET_STALE) {
		log_info("report_late",
			 "started=%" PRId64 " known=%" PRId64 " orders=%" PRIu64
			 " known_orders=%" PRIu64,
			 r->self.started_ms, a->incarnation.started_ms,
			 r->orders, orders);
		return false;
	}
	if (relation == FLEET_RESTARTED) {
		log_info("endpoint_restarted",
			 "started=%" PRId64 " before=%" PRId64
			 " orders=%" PRIu64,
			 r->self.started_ms, a->incarnation.started_ms,
			 r->orders);
		/* A pending order fails when this report is applied, so that
		 * the leader receives the restart first. */
		a->report_due = true;
		g_clear_pointer(&a->incarnation.id, g_free);
	}
	fleet_incarnation_update(&a->incarnation, &r->self);
	return true;
}

static void on_read(void *arg, const struct http_client_response *r)
{
	struct engine_agent *a = arg;
	struct fleet_report report;
	GError *error = NULL;

	apply_signals(a, r);
	a->reading = false;
	(*a->n_reads)++;
	if (r->status != 200) {
		read_failed(a,
			    r->status ? "it refused to report" : "no answer");
		return;
	}
	if (!users_platform.read_report(r->body, &report, &error)) {
		read_failed(a, error->message);
		g_error_free(error);
		return;
	}
	/* The report may predate an order sent in the meantime. */
	if (engine_order_pending(a->engine) || !is_current(a, &report)) {
		fleet_report_clear(&report);
		return;
	}
	apply_report(a, &report);
}

static void read_engine(struct engine_agent *a)
{
	struct http_client_call c = { .method = "GET",
				      .path = users_platform.path_report,
				      .timeout_ms = READ_TIMEOUT_MS,
				      .done = on_read,
				      .arg = a };

	if (now_ms(a) < a->backoff_until_ms)
		return;
	if (a->reachable && !a->incarnation.id &&
	    !engine_order_pending(a->engine)) {
		query_instance(a);
		return;
	}
	a->reading = true;
	a->read_ms = now_ms(a);
	http_client_send(a->client, &c);
}

/* Orders. */

static void on_order_answer(void *arg, const struct http_client_response *r)
{
	struct engine_agent *a = arg;
	enum fleet_order_answer answer = users_platform.order_answer(r->status);

	apply_signals(a, r);
	if (answer != FLEET_ORDER_ACCEPTED && answer != FLEET_ORDER_UNCHANGED)
		log_info("order_answer", "endpoint=%s status=%d", a->addr,
			 r->status);
	engine_order_answered(a->engine, answer, now_ms(a));
	if (answer == FLEET_ORDER_MISDIRECTED)
		clear_instance(a);
	/* The next order waits for a report, and the order's effect shows in it
	 * at once. */
	if (!a->reading)
		read_engine(a);
}

static void send_order(void *arg, const struct fleet_order *o)
{
	struct engine_agent *a = arg;
	GString *body = users_platform.write_order(o);
	struct http_client_call c = { .method = "POST",
				      .path = users_platform.path_order,
				      .body = ss_str_gs(body),
				      .header = users_platform.header_expect,
				      .value = a->incarnation.id,
				      .timeout_ms = ORDER_TIMEOUT_MS,
				      .done = on_order_answer,
				      .arg = a };

	(*a->n_orders)++;
	log_info("order",
		 "endpoint=%s op=%s model=%s adapter=%s expect=%" PRIu64
		 " fence=%" PRIu64,
		 a->addr, o->load ? "load" : "unload", o->model,
		 o->adapter ? o->adapter : "-", o->expect, o->fence);
	http_client_send(a->client, &c);
	g_string_free(body, TRUE);
}

static void step_done(void *arg, uint64_t fence, uint64_t step, int code,
		      const char *text, int64_t took_ms)
{
	struct engine_agent *a = arg;
	struct msg_loaded m = { .fence = fence,
				.step = step,
				.code = code,
				.text = ss_str(text),
				.took_ms = took_ms };

	log_info("step_done",
		 "endpoint=%s step=%" PRIu64 " error=%s ms=%" PRId64, a->addr,
		 step, code ? ss_error_name((enum ss_error)code) : "none",
		 took_ms);
	/* Report the holdings first, so that the leader plans with them. */
	report_to_leader(a);
	link_send(a->link, MSG_LOADED, &m);
}

static void adapter_done(void *arg, uint64_t id, int code, const char *text)
{
	struct engine_agent *a = arg;
	struct adapter_request *t =
		g_hash_table_lookup(a->adapter_requests, &id);
	struct msg_adapter_done m = { .code = code, .text = ss_str(text) };

	if (!t)
		return;
	m.sub = t->sub;
	if (t->conn)
		conn_send(t->conn, MSG_ADAPTER_DONE, &m);
	g_hash_table_remove(a->adapter_requests, &id);
}

static const struct engine_ops engine_table = { send_order, step_done,
						adapter_done };

/* Entries. */

void engine_agent_request_adapter(struct engine_agent *a, struct conn *c,
				  const struct msg_adapter *m)
{
	struct adapter_request *t = g_new0(struct adapter_request, 1);
	int64_t now = now_ms(a);

	t->id = ++a->last_request;
	t->conn = c;
	t->sub = m->sub;
	g_hash_table_insert(a->adapter_requests, &t->id, t);
	(*a->n_adapters)++;
	engine_request_adapter(a->engine, t->id, m->model, m->adapter,
			       now + m->wait_ms, now);
}

void engine_agent_conn_closed(struct engine_agent *a, const struct conn *c)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, a->adapter_requests);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (((struct adapter_request *)p)->conn == c)
			((struct adapter_request *)p)->conn = NULL;
}

/* The leader. */

static void link_up(void *arg, uint64_t group)
{
	struct engine_agent *a = arg;

	if (!a->hello.group)
		a->hello.group = group;
	/* The process's other connections send the group id too. */
	if (!a->o.daemon->hello.group)
		a->o.daemon->hello.group = group;
	report_to_leader(a);
}

static void link_down(void *arg)
{
	(void)arg;
}

static void handle_load(struct engine_agent *a, const struct msg_load *m)
{
	const struct name_item *n = m->unload.items;
	GArray *names = g_array_new(FALSE, FALSE, sizeof(struct ss_str));
	struct engine_step s = { .fence = m->fence,
				 .step = m->step,
				 .load = m->load,
				 .started_ms = m->started_ms };

	for (size_t i = 0; i < m->unload.n; i++)
		g_array_append_val(names, n[i].name);
	s.unload = (struct ss_str *)names->data;
	s.n_unload = names->len;
	engine_step(a->engine, &s, now_ms(a));
	g_array_unref(names);
}

/* Returns the service whose models this engine can hold. */
static struct routing_service *find_service(const struct routing *r)
{
	for (guint i = 0; i < r->services->len; i++) {
		struct routing_service *s = r->services->pdata[i];

		if (s->engine && s->models->len)
			return s;
	}
	return NULL;
}

void engine_agent_set_routing(struct engine_agent *a, const struct routing *r)
{
	struct routing_service *old = a->service;

	a->service = routing_service_ref(find_service(r));
	engine_set_service(a->engine, a->service);
	routing_service_unref(old);
}

static void handle_term(struct engine_agent *a, const struct msg_term *m)
{
	log_info("term", "endpoint=%s fence=%" PRIu64 " routing=%" PRIu64,
		 a->addr, m->fence, m->routing);
	engine_set_term(a->engine, m->fence, now_ms(a));
	if (a->o.routing_reported)
		a->o.routing_reported(a->o.arg, a->link, m->routing);
}

static void link_message(void *arg, struct frame *f)
{
	struct engine_agent *a = arg;

	switch (f->kind) {
	case MSG_LOAD:
		handle_load(a, &f->u.load);
		break;
	case MSG_TERM:
		handle_term(a, &f->u.term);
		break;
	default:
		break;
	}
}

static const struct link_ops link_table = { link_up, link_message, link_down };

/* Time. */

void engine_agent_tick(struct engine_agent *a)
{
	int64_t now = now_ms(a);
	bool busy = engine_busy(a->engine);
	int64_t idle_ms = a->o.remote ? REMOTE_IDLE_MS : READ_IDLE_MS;
	int64_t interval_ms = a->o.remote ? REMOTE_BUSY_MS : READ_BUSY_MS;

	/* Polls of a busy engine aren't slowed down: callers wait for its order
	 * to end. */
	if (!busy)
		interval_ms = endpoint_limit_poll_ms(&a->limit, idle_ms);
	if (!a->reading && now - a->read_ms >= interval_ms)
		read_engine(a);
	if (busy)
		engine_tick(a->engine, now);
	report_if_due(a);
}

bool engine_agent_reachable(const struct engine_agent *a)
{
	return a->reachable;
}

void engine_agent_free(struct engine_agent *a)
{
	if (!a)
		return;
	link_free(a->link);
	http_client_free(a->client);
	engine_free(a->engine);
	report_free(a->report);
	routing_service_unref(a->service);
	g_hash_table_unref(a->adapter_requests);
	g_free(a->addr);
	fleet_incarnation_clear(&a->incarnation);
	g_free(a);
}

struct engine_agent *engine_agent_new(const struct engine_agent_options *o)
{
	struct engine_agent *a = g_new0(struct engine_agent, 1);
	struct daemon *d = o->daemon;
	struct engine_options eo = { .holder = o->holder,
				     .ops = &engine_table,
				     .arg = a };
	struct link_options lo = { .conn = daemon_conn_options(d, NULL, NULL),
				   .control = d->config.control,
				   .ops = &link_table,
				   .arg = a,
				   .seed = d->seed };

	a->o = *o;
	a->addr = g_strdup(o->endpoint);
	a->limit.per_s = ENDPOINT_LIMIT_NONE;
	/* The leader treats an agent in a control VM like any other. */
	a->hello = d->hello;
	a->hello.role = ROLE_AGENT;
	lo.conn.self = &a->hello;
	a->adapter_requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	a->engine = engine_new(&eo);
	a->n_reads = metrics_value(d->metrics, "ss_agent_reads_total", "");
	a->n_lost = metrics_value(d->metrics, "ss_agent_reads_lost_total", "");
	a->n_orders = metrics_value(d->metrics, "ss_agent_orders_total", "");
	a->n_adapters =
		metrics_value(d->metrics, "ss_agent_adapters_total", "");
	a->client = http_client_new(d->base, a->addr);
	a->link = link_new(&lo);
	return a;
}
