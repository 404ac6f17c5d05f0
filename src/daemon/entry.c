/* The entry role: routes callers' requests to agents and returns answers. */
#include "entry_int.h"

#include <json-c/json.h>

/* Timer interval in ms: the precision of deadlines; small compared to a cold
 * start. */
#define TICK_MS 20
/* Time in ms after which an unused connection to an agent is closed, once the
 * entry has no calls. */
#define AGENT_IDLE_MS 60000
/* Minimum time in ms between two attempts to connect to an agent. */
#define AGENT_RETRY_MS 200
/* Time in ms that a request for the list of models waits for the leader: enough
 * for an election and the answer. */
#define MODELS_WAIT_MS 3000

int64_t entry_now(const struct entry_role *e)
{
	return ss_clock_now(&e->d->clock);
}

void entry_request_free(struct request *q)
{
	g_free(q->id);
	g_free(q->customer);
	g_free(q->class_name);
	g_free(q->model);
	g_free(q);
}

static void count(struct entry_role *e, const char *name, const char *fmt,
		  const char *value)
{
	char *labels = g_strdup_printf(fmt, value);

	(*metrics_value(e->d->metrics, name, labels))++;
	g_free(labels);
}

/* Returns a copy, of at most 64 bytes, that is safe as a label's value in the
 * metrics' text format. */
static char *label_value(const char *s)
{
	char *out = g_strndup(s, 64);

	for (char *p = out; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("-_.:/", *p))
			*p = '_';
	return out;
}

static void record_latency(struct request *q, int64_t ms)
{
	struct entry_role *e = q->e;
	char *key = g_strdup_printf("%s\n%s", q->customer, q->class_name);
	struct hist *h = g_hash_table_lookup(e->hists, key);

	if (!h) {
		char *customer = label_value(q->customer);
		char *class_name = label_value(q->class_name);
		char *labels = g_strdup_printf("customer=\"%s\",class=\"%s\"",
					       customer, class_name);

		h = metrics_hist(e->d->metrics, "ss_entry_latency_ms", labels);
		g_hash_table_insert(e->hists, g_strdup(key), h);
		g_free(labels);
		g_free(customer);
		g_free(class_name);
	}
	hist_add(h, (uint64_t)MAX(ms, 0));
	g_free(key);
}

static const char *const outcome_names[] = { [OUTCOME_RAN] = "ran",
					     [OUTCOME_NOT_RUN] = "not_run",
					     [OUTCOME_UNKNOWN] = "unknown" };

/* Refusals. */

void entry_refuse(struct request *q, enum ss_error code, const char *text,
		  enum outcome outcome, int64_t retry_after_ms)
{
	GString *body =
		http_error_json(code, text, outcome_names[outcome], q->id);
	char seconds[24];
	struct header h[3] = { { SS_LIT("Content-Type"),
				 SS_LIT("application/json") },
			       { SS_LIT("X-Request-Id"), ss_str(q->id) } };
	size_t n = 2;

	if (retry_after_ms > 0) {
		/* Whole seconds, rounded up so that no caller retries early. */
		g_snprintf(seconds, sizeof(seconds), "%" PRId64,
			   (retry_after_ms + 999) / 1000);
		h[n].name = SS_LIT("Retry-After");
		h[n++].value = ss_str(seconds);
	}
	count(q->e, "ss_entry_refused_total", "type=\"%s\"",
	      ss_error_name(code));
	log_info("refused",
		 "request=%s model=%s type=%s outcome=%s ms=%" PRId64
		 " why=\"%s\"",
		 q->id, q->model ? q->model : "-", ss_error_name(code),
		 outcome_names[outcome], entry_now(q->e) - q->start_ms, text);
	caller_reply(q->req, http_status(code), h, n, ss_str_gs(body));
	g_string_free(body, TRUE);
	entry_request_free(q);
}

/* Aborts an answer that has started and can't be completed. A stream of events
 * gets an error event first. */
static void abort_answer(struct request *q, const struct router_result *end)
{
	(*q->e->n_cut)++;
	log_warn("answer_cut", "request=%s type=%s why=\"%s\"", q->id,
		 ss_error_name((enum ss_error)end->code), end->text);
	if (q->sse) {
		GString *json =
			http_error_json((enum ss_error)end->code, end->text,
					outcome_names[end->outcome], q->id);
		GString *event = g_string_new(NULL);

		g_string_printf(event, "event: error\ndata: %s\n\n", json->str);
		caller_chunk(q->req, ss_str_gs(event));
		g_string_free(event, TRUE);
		g_string_free(json, TRUE);
	}
	caller_end(q->req, false);
	entry_request_free(q);
}

/* Callbacks of the router. */

static void agent_connect(struct entry_role *e, struct agent_conn *a);

static struct agent_conn *agent_for(struct entry_role *e, const char *node)
{
	struct agent_conn *a = g_hash_table_lookup(e->agents, node);

	if (!a) {
		a = g_new0(struct agent_conn, 1);
		a->node = g_strdup(node);
		a->addr = g_strdup("");
		a->tried_ms = INT64_MIN / 2;
		g_hash_table_insert(e->agents, a->node, a);
	}
	return a;
}

static void op_connect(void *arg, const char *node, const char *addr)
{
	struct entry_role *e = arg;
	struct agent_conn *a = agent_for(e, node);

	if (*addr && strcmp(a->addr, addr)) {
		g_free(a->addr);
		a->addr = g_strdup(addr);
	}
	a->used_ms = entry_now(e);
	if (!a->conn && entry_now(e) - a->tried_ms >= AGENT_RETRY_MS)
		agent_connect(e, a);
}

static bool op_send(void *arg, const char *node, enum msg_kind kind,
		    const void *msg)
{
	struct entry_role *e = arg;
	struct agent_conn *a = g_hash_table_lookup(e->agents, node);

	if (!a || !a->open)
		return false;
	a->used_ms = entry_now(e);
	return conn_send(a->conn, kind, msg);
}

static void op_watch(void *arg, const struct msg_watch *w)
{
	struct entry_role *e = arg;

	link_send(e->link, MSG_WATCH, w);
}

static bool op_claim(void *arg, const struct msg_claim *c)
{
	struct entry_role *e = arg;

	return link_send(e->link, MSG_CLAIM, c);
}

static void begin_answer(struct request *q, const struct msg_reply *m)
{
	const struct header *h = m->headers.items;
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct header));
	struct header id = { SS_LIT("X-Request-Id"), ss_str(q->id) };

	for (size_t i = 0; i < m->headers.n; i++) {
		g_array_append_val(out, h[i]);
		if (h[i].name.n == 12 &&
		    !g_ascii_strncasecmp(h[i].name.p, "content-type", 12))
			q->sse = h[i].value.n >= 17 &&
				 !g_ascii_strncasecmp(h[i].value.p,
						      "text/event-stream", 17);
	}
	g_array_append_val(out, id);
	if (m->end) {
		caller_reply(q->req, (int)m->status, (struct header *)out->data,
			     out->len, m->data);
		q->req = NULL;
	} else {
		caller_start(q->req, (int)m->status, (struct header *)out->data,
			     out->len);
	}
	g_array_unref(out);
}

static void op_deliver(void *arg, struct rcall *c, const struct msg_reply *m)
{
	struct request *q = rcall_data(c);

	(void)arg;
	if (m->seq == 0) {
		begin_answer(q, m);
		if (!q->req)
			return;
	}
	caller_chunk(q->req, m->data);
}

static void op_finish(void *arg, struct rcall *c,
		      const struct router_result *end)
{
	struct entry_role *e = arg;
	struct request *q = rcall_data(c);
	int64_t ms = entry_now(e) - q->start_ms;
	uint64_t entry, seq;

	rcall_id(c, &entry, &seq);
	q->call = NULL;
	if (end->code == 0) {
		(*e->n_ok)++;
		record_latency(q, ms);
		log_debug("answered",
			  "request=%s call=%" PRIx64 "-%" PRIu64
			  " model=%s ms=%" PRId64,
			  q->id, entry, seq, q->model, ms);
		if (q->req)
			caller_end(q->req, true);
		entry_request_free(q);
	} else if (caller_started(q->req)) {
		abort_answer(q, end);
	} else {
		entry_refuse(q, (enum ss_error)end->code, end->text,
			     end->outcome, end->retry_after_ms);
	}
}

static const struct router_ops router_table = { op_connect, op_send,
						op_watch,   op_claim,
						op_deliver, op_finish };

/* Connections to agents. */

static struct agent_conn *agent_by_conn(struct entry_role *e, struct conn *c)
{
	GHashTableIter it;
	void *a;

	if (conn_data(c))
		return conn_data(c);
	g_hash_table_iter_init(&it, e->agents);
	while (g_hash_table_iter_next(&it, NULL, &a))
		if (((struct agent_conn *)a)->conn == c)
			return a;
	return NULL;
}

static void agent_open(void *arg, struct conn *c)
{
	struct entry_role *e = arg;
	struct agent_conn *a = agent_by_conn(e, c);
	const struct msg_hello *h = conn_peer(c);

	if (!ss_str_eq(h->name, ss_str(a->node))) {
		/* The address now belongs to another VM than the wanted one. */
		log_warn("wrong_agent", "wanted=%s found=%.*s", a->node,
			 SS_FMT(h->name));
		a->conn = NULL;
		conn_close(c);
		return;
	}
	a->open = true;
	router_agent_up(e->router, a->node, h->incarnation, entry_now(e));
}

static void agent_message(void *arg, struct conn *c, struct frame *f)
{
	struct entry_role *e = arg;
	struct agent_conn *a = agent_by_conn(e, c);

	if (a && f->kind == MSG_REPLY)
		router_reply(e->router, a->node, &f->u.reply, entry_now(e));
}

static void agent_closed(void *arg, struct conn *c, const GError *why)
{
	struct entry_role *e = arg;
	struct agent_conn *a = agent_by_conn(e, c);

	if (!a)
		return;
	log_debug("agent_lost", "node=%s why=\"%s\"", a->node,
		  why ? why->message : "closed");
	a->conn = NULL;
	a->open = false;
	router_agent_down(e->router, a->node, entry_now(e));
}

static const struct conn_ops agent_table = { agent_open, agent_message,
					     agent_closed };

static void agent_connect(struct entry_role *e, struct agent_conn *a)
{
	struct conn_options o = daemon_conn_options(e->d, &agent_table, e);

	if (!*a->addr)
		return;
	a->tried_ms = entry_now(e);
	a->conn = conn_connect(&o, a->addr);
	conn_set_data(a->conn, a);
}

static void agent_conn_free(void *p)
{
	struct agent_conn *a = p;

	if (a->conn)
		conn_close(a->conn);
	g_free(a->node);
	g_free(a->addr);
	g_free(a);
}

/* Messages to and from the leader. */

static void apply_config(struct entry_role *e, const struct msg_config *m)
{
	struct msg_config ack = { 0 };
	struct preset p;
	GError *error = NULL;

	if (m->version > e->config) {
		if (preset_parse(&p, "preset", m->body, &error)) {
			preset_clear(&e->preset);
			e->preset = p;
			e->config = m->version;
			e->d->hello.config = m->version;
			g_free(e->config_name);
			e->config_name = ss_str_dup(m->name);
			router_set_preset(e->router, &e->preset);
			*e->n_config = m->version;
			log_info("config", "preset=%s version=%" PRIu64,
				 e->config_name, e->config);
		} else {
			log_error("config_refused", "why=\"%s\"",
				  error->message);
			g_clear_error(&error);
		}
	}
	/* Acknowledge the version in force, also if the message had an older
	 * one. */
	ack.version = e->config;
	link_send(e->link, MSG_ACK, &ack);
}

static json_object *model_json(struct ss_str name)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, "id",
			       json_object_new_string_len(name.p, (int)name.n));
	json_object_object_add(o, "object", json_object_new_string("model"));
	json_object_object_add(o, "owned_by",
			       json_object_new_string("sapphireshift"));
	return o;
}

static void answer_listing(struct entry_role *e, const struct msg_model_list *m)
{
	const struct model_name *n = m->models.items;
	struct header h = { SS_LIT("Content-Type"),
			    SS_LIT("application/json") };

	for (GList *p = e->listings.head; p; p = p->next) {
		struct request *q = p->data;
		json_object *root, *list;

		if (q->listing != m->sub)
			continue;
		root = json_object_new_object();
		list = json_object_new_array();
		for (size_t i = 0; i < m->models.n; i++)
			json_object_array_add(list, model_json(n[i].name));
		json_object_object_add(root, "object",
				       json_object_new_string("list"));
		json_object_object_add(root, "data", list);
		caller_reply(q->req, 200, &h, 1,
			     ss_str(json_object_to_json_string(root)));
		json_object_put(root);
		g_queue_delete_link(&e->listings, p);
		entry_request_free(q);
		return;
	}
}

static void link_up(void *arg, uint64_t group)
{
	struct entry_role *e = arg;

	if (!e->d->hello.group)
		e->d->hello.group = group;
	router_leader_changed(e->router, entry_now(e));
}

static void link_down(void *arg)
{
	(void)arg;
}

static void link_message(void *arg, struct frame *f)
{
	struct entry_role *e = arg;

	switch (f->kind) {
	case MSG_CONFIG:
		apply_config(e, &f->u.config);
		break;
	case MSG_ROUTE:
		router_update_route(e->router, &f->u.route, entry_now(e));
		break;
	case MSG_CLAIMED:
		router_claimed(e->router, &f->u.claimed, entry_now(e));
		break;
	case MSG_MODEL_LIST:
		answer_listing(e, &f->u.model_list);
		break;
	default:
		break;
	}
}

static const struct link_ops link_table = { link_up, link_message, link_down };

/* Timer. */

static void expire_listings(struct entry_role *e, int64_t now)
{
	struct request *q;

	while ((q = g_queue_peek_head(&e->listings)) &&
	       now - q->start_ms > MODELS_WAIT_MS) {
		g_queue_pop_head(&e->listings);
		entry_refuse(q, SS_ERROR_UNAVAILABLE,
			     "the leader did not answer", OUTCOME_NOT_RUN,
			     ENTRY_RETRY_AFTER_MS);
	}
}

static gboolean agent_is_idle(void *key, void *value, void *arg)
{
	const struct agent_conn *a = value;
	const struct entry_role *e = arg;

	(void)key;
	return entry_now(e) - a->used_ms > AGENT_IDLE_MS &&
	       router_calls(e->router) == 0;
}

static void check_stop(struct entry_role *e, int64_t now)
{
	const struct config_entry *c = &e->d->config.entry;

	if (!e->stop_ms)
		return;
	/* At first only /readyz fails, so that the load balancer stops sending
	 * requests here before connections are refused. */
	if (now - e->stop_ms < c->drain_ms)
		return;
	caller_stop_accepting(e->caller);
	/* Work is pending until the last answer is written to its caller. */
	if (router_calls(e->router) || !caller_all_written(e->caller))
		e->pending_ms = now;
	if (now - e->pending_ms >= DAEMON_LINGER_MS ||
	    now - e->stop_ms > c->drain_ms + c->drain_max_ms)
		daemon_exit(e->d, 0);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct entry_role *e = arg;
	const struct router_stats *s = router_stats(e->router);
	struct metrics *m = e->d->metrics;
	int64_t now = entry_now(e);

	(void)fd;
	(void)what;
	router_tick(e->router, now);
	expire_listings(e, now);
	g_hash_table_foreach_remove(e->agents, agent_is_idle, e);
	*e->n_waiting = router_waiting(e->router);
	*e->n_calls = router_calls(e->router);
	*e->n_conns = caller_connections(e->caller);
	*metrics_value(m, "ss_entry_retries_total", "") = s->retries;
	*metrics_value(m, "ss_entry_retries_refused_total", "") =
		s->retries_refused;
	*metrics_value(m, "ss_entry_attaches_total", "") = s->attaches;
	*metrics_value(m, "ss_entry_claims_total", "") = s->claims;
	*metrics_value(m, "ss_entry_late_pieces_total", "") = s->late_pieces;
	check_stop(e, now);
}

static void register_metrics(struct entry_role *e)
{
	struct metrics *m = e->d->metrics;

	e->n_requests = metrics_value(m, "ss_entry_requests_total", "");
	e->n_ok = metrics_value(m, "ss_entry_answered_total", "");
	e->n_gone = metrics_value(m, "ss_entry_callers_gone_total", "");
	e->n_bad = metrics_value(m, "ss_entry_unread_total", "");
	e->n_cut = metrics_value(m, "ss_entry_cut_total", "");
	e->n_waiting = metrics_value(m, "ss_entry_waiting", "");
	e->n_calls = metrics_value(m, "ss_entry_calls", "");
	e->n_conns = metrics_value(m, "ss_entry_connections", "");
	e->n_config = metrics_value(m, "ss_config_version", "");
}

static void entry_free(void *role)
{
	struct entry_role *e = role;

	if (e->tick)
		event_free(e->tick);
	caller_free(e->caller);
	link_free(e->link);
	g_hash_table_unref(e->agents);
	g_hash_table_unref(e->hists);
	router_free(e->router);
	preset_clear(&e->preset);
	g_free(e->config_name);
	g_free(e);
}

static void *entry_start(struct daemon *d, GError **error)
{
	struct entry_role *e = g_new0(struct entry_role, 1);
	struct router_options ro = { .incarnation = d->hello.incarnation,
				     .domain = d->config.domain,
				     .ops = &router_table,
				     .arg = e,
				     .seed = d->seed };
	struct caller_options co = {
		.base = d->base,
		.clock = &d->clock,
		.addr = d->config.entry.listen,
		.max_body = (size_t)d->config.entry.max_body_bytes,
		.receive_ms = d->config.entry.receive_ms,
		.ops = &entry_caller_ops,
		.arg = e
	};
	struct link_options lo = { .conn = daemon_conn_options(d, NULL, NULL),
				   .control = d->config.control,
				   .ops = &link_table,
				   .arg = e,
				   .seed = d->seed };

	e->d = d;
	g_queue_init(&e->listings);
	e->agents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  agent_conn_free);
	e->hists = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->config_name = g_strdup("built-in");
	register_metrics(e);
	preset_parse(&e->preset, "built-in", ss_str(preset_built_in), NULL);
	e->router = router_new(&ro);
	router_set_preset(e->router, &e->preset);
	e->caller = caller_new(&co, error);
	if (!e->caller) {
		entry_free(e);
		return NULL;
	}
	e->link = link_new(&lo);
	e->tick = daemon_every(d, TICK_MS, on_tick, e);
	return e;
}

static void entry_stop(void *role)
{
	struct entry_role *e = role;

	e->draining = true;
	e->stop_ms = e->pending_ms = entry_now(e);
}

const struct role_ops entry_role = { "entry", entry_start, entry_stop,
				     entry_ready, entry_free };
