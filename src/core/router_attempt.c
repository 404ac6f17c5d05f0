/* Router: attempts on agents, their replies, retries and recovery. */
#include "router_int.h"

/* Maximum attempts of a call: bounds the load that one call can cause. */
#define ATTEMPTS_MAX 8
/* Weight of the newest call in a route's mean duration: about the last ten
 * calls count. */
#define SERVICE_ALPHA 0.1

static void requeue(struct router *r, struct rcall *c, bool budget_exempt,
		    enum ss_error code, const char *text, int64_t now);

void router_send_cancel(struct router *r, struct rcall *c)
{
	struct msg_cancel m = { .sub = c->sub };

	if (c->sub && c->agent && c->agent->up)
		r->o.ops->send(r->o.arg, c->agent->node, MSG_CANCEL, &m);
}

void router_send_attach(struct router *r, struct rcall *c)
{
	struct msg_attach m = { .entry = c->entry,
				.seq = c->seq,
				.incarnation = c->incarnation,
				.have = c->next };

	if (c->sub)
		g_hash_table_remove(r->by_sub, &c->sub);
	router_set_sub(r, c);
	m.sub = c->sub;
	r->stats.attaches++;
	if (r->o.ops->send(r->o.arg, c->agent->node, MSG_ATTACH, &m))
		c->state = RCALL_SENT;
}

/* Attaches to an attempt again, at once or when its agent is reachable. */
static void recover_attempt(struct router *r, struct rcall *c, int64_t now)
{
	c->state = RCALL_RECOVERING;
	c->query_ms = now;
	if (c->agent->up)
		router_send_attach(r, c);
	else
		r->o.ops->connect(r->o.arg, c->agent->node, c->agent->addr);
}

static void send_call(struct router *r, struct rcall *c, int64_t now)
{
	struct replica_view *v = route_view(c->route, c->replica);

	router_set_sub(r, c);
	c->state = RCALL_SENT;
	c->sent_ms = now;
	c->m.sub = c->sub;
	c->m.model = ss_str(c->route->target);
	c->m.entry = c->entry;
	c->m.seq = c->seq;
	c->m.incarnation = c->incarnation;
	c->m.deadline_ms = c->item.deadline_ms - now;
	c->m.priority = c->item.priority;
	if (v)
		v->t.sent_since++;
	ss_breaker_sent(&c->agent->breaker);
	if (r->o.ops->send(r->o.arg, c->agent->node, MSG_CALL, &c->m))
		return;
	/* Nothing was sent, so the call can't have run. */
	c->agent->up = false;
	c->agent->down_ms = now;
	requeue(r, c, true, SS_ERROR_UNAVAILABLE, "the connection is gone",
		now);
}

void router_claim(struct router *r, struct rcall *c, int64_t now)
{
	struct msg_claim m = { .key = c->key,
			       .fingerprint = c->fingerprint,
			       .entry = c->entry,
			       .seq = c->seq,
			       .dead_entry = c->dead_entry,
			       .dead_seq = c->dead_seq,
			       .node = ss_str(c->agent->node),
			       .incarnation = c->incarnation };

	if (!c->sub)
		router_set_sub(r, c);
	m.sub = c->sub;
	c->state = RCALL_CLAIMING;
	c->query_ms = now;
	r->stats.claims++;
	r->o.ops->claim(r->o.arg, &m);
}

void router_start_attempt(struct router *r, struct rcall *c,
			  struct replica_view *v, int64_t now)
{
	c->agent = v->agent;
	c->replica = v->replica;
	c->incarnation = v->agent->incarnation;
	c->entry = r->o.incarnation;
	c->seq = ++r->last_seq;
	c->next = 0;
	c->attempts++;
	c->counted = true;
	v->t.own_calls++;
	if (c->prefix) {
		r->prefixes[c->prefix % PREFIX_TABLE_SIZE].prefix = c->prefix;
		r->prefixes[c->prefix % PREFIX_TABLE_SIZE].replica = c->replica;
	}
	if (c->key.n)
		router_claim(r, c, now);
	else
		send_call(r, c, now);
}

/* Queues a call that did not run for another attempt, or ends it if its
 * deadline has passed or, unless exempt, its attempts or the retry budget are
 * used up. */
static void requeue(struct router *r, struct rcall *c, bool budget_exempt,
		    enum ss_error code, const char *text, int64_t now)
{
	if (c->key.n) {
		c->dead_entry = c->entry;
		c->dead_seq = c->seq;
	}
	if (c->item.deadline_ms <= now) {
		router_finish(r, c, SS_ERROR_DEADLINE, OUTCOME_NOT_RUN, text,
			      RETRY_AFTER_MIN_MS);
		return;
	}
	if (!budget_exempt) {
		if (c->attempts >= ATTEMPTS_MAX ||
		    !ss_budget_retry(&r->budget)) {
			r->stats.retries_refused++;
			router_finish(r, c, code, OUTCOME_NOT_RUN, text,
				      RETRY_AFTER_MIN_MS);
			return;
		}
		r->stats.retries++;
	}
	router_end_attempt(r, c);
	router_enqueue(r, c);
}

void router_resolve_lost(struct router *r, struct rcall *c, const char *text,
			 int64_t now)
{
	struct route *rt = c->route;

	ss_breaker_result(&c->agent->breaker, false, now);
	if (!c->m.once && c->next == 0 && c->attempts < ATTEMPTS_MAX &&
	    c->item.deadline_ms > now && ss_budget_retry(&r->budget)) {
		r->stats.retries++;
		c->maybe_ran = true;
		router_end_attempt(r, c);
		router_enqueue(r, c);
		router_dispatch_queue(r, rt, now);
		return;
	}
	router_finish(r, c, SS_ERROR_LOST, OUTCOME_UNKNOWN, text, 0);
}

void router_claimed(struct router *r, const struct msg_claimed *m, int64_t now)
{
	struct rcall *c = g_hash_table_lookup(r->by_sub, &m->sub);
	char *node;

	if (!c || c->state != RCALL_CLAIMING)
		return;
	if (m->code == 0) {
		c->claimed = true;
		g_hash_table_remove(r->by_sub, &c->sub);
		c->sub = 0;
		send_call(r, c, now);
		return;
	}
	if (m->code != SS_ERROR_CONFLICT) {
		char *text = ss_str_dup(m->text);

		router_finish(r, c, (enum ss_error)m->code, OUTCOME_NOT_RUN,
			      text, 0);
		g_free(text);
		return;
	}
	/* Another attempt holds the key: attach to that one for its reply. */
	router_end_attempt(r, c);
	node = ss_str_dup(m->node);
	c->agent = router_get_agent(r, node, m->addr, (struct ss_str){ 0 });
	g_free(node);
	c->entry = m->entry;
	c->seq = m->seq;
	c->incarnation = m->incarnation;
	c->next = 0;
	recover_attempt(r, c, now);
}

/* Returns the calls that were sent to an agent or recover an attempt there. */
static GPtrArray *agent_calls(struct router *r, const struct agent *a)
{
	GPtrArray *list = g_ptr_array_new();

	for (GSequenceIter *it = g_sequence_get_begin_iter(r->deadlines);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		struct rcall *c = g_sequence_get(it);

		if (c->agent == a &&
		    (c->state == RCALL_SENT || c->state == RCALL_RECOVERING))
			g_ptr_array_add(list, c);
	}
	return list;
}

void router_agent_up(struct router *r, const char *node, uint64_t incarnation,
		     int64_t now)
{
	struct ss_str none = { 0 };
	struct agent *a = router_get_agent(r, node, none, none);
	GPtrArray *list;

	a->up = true;
	a->incarnation = incarnation;
	list = agent_calls(r, a);
	for (guint i = 0; i < list->len; i++) {
		struct rcall *c = list->pdata[i];

		if (c->incarnation == incarnation)
			router_send_attach(r, c);
		else
			router_resolve_lost(r, c, "the agent has restarted",
					    now);
	}
	g_ptr_array_unref(list);
	router_dispatch_all(r, now);
}

void router_agent_down(struct router *r, const char *node, int64_t now)
{
	struct agent *a = g_hash_table_lookup(r->agents, node);
	GPtrArray *list;

	if (!a)
		return;
	if (a->up)
		a->down_ms = now;
	a->up = false;
	list = agent_calls(r, a);
	for (guint i = 0; i < list->len; i++) {
		struct rcall *c = list->pdata[i];

		if (c->state == RCALL_SENT)
			recover_attempt(r, c, now);
	}
	g_ptr_array_unref(list);
}

static void update_service_time(struct rcall *c, int64_t now)
{
	double elapsed_ms = (double)(now - c->sent_ms);

	c->route->service_mean_ms +=
		SERVICE_ALPHA * (elapsed_ms - c->route->service_mean_ms);
}

/* Sends a replica no calls for a while; exponential backoff. */
static void back_off_replica(struct replica_view *v, int64_t now)
{
	if (!v)
		return;
	v->backoff_until_ms =
		now + (ROUTER_FULL_BACKOFF_MS << MIN(v->refusals, 6));
	v->refusals++;
}

/* Handles the end of an attempt with an error: it was refused, has failed, or
 * its outcome is unknown. The reply is the last one with this handle. */
static void handle_error_reply(struct router *r, struct rcall *c,
			       const struct msg_reply *m, int64_t now)
{
	struct route *rt = c->route;
	struct replica_view *v = route_view(rt, c->replica);
	char *text = ss_str_dup(m->text);
	enum ss_error code = (enum ss_error)m->code;

	if (m->outcome == OUTCOME_UNKNOWN) {
		router_resolve_lost(r, c, text, now);
	} else if (m->outcome != OUTCOME_NOT_RUN || c->next > 0) {
		if (code == SS_ERROR_ENDPOINT)
			ss_breaker_result(&c->agent->breaker, false, now);
		router_finish(r, c, code,
			      c->m.once ? OUTCOME_UNKNOWN :
					  (enum outcome)m->outcome,
			      text, 0);
	} else if (code == SS_ERROR_OVERLOAD && v) {
		back_off_replica(v, now);
		requeue(r, c, true, code, text, now);
	} else if (code == SS_ERROR_UNKNOWN_MODEL && v) {
		/* Skip the replica until the leader knows too. A restarted
		 * engine without the model refuses before any work, so this
		 * doesn't count as a retry: a few such refusals would use up
		 * the call's attempts. */
		back_off_replica(v, now);
		v->gone = true;
		v->backoff_until_ms =
			MAX(v->backoff_until_ms, now + ROUTER_GONE_BACKOFF_MS);
		requeue(r, c, true, code, text, now);
		router_send_watch(r, rt, now);
	} else {
		if (code == SS_ERROR_ENDPOINT) {
			ss_breaker_result(&c->agent->breaker, false, now);
			back_off_replica(v, now);
		} else if (v && code != SS_ERROR_CANCELLED &&
			   code != SS_ERROR_LOST) {
			/* Skip the replica until the leader knows too. */
			v->gone = true;
			v->backoff_until_ms = now + ROUTER_GONE_BACKOFF_MS;
		}
		requeue(r, c, false, code, text, now);
		router_send_watch(r, rt, now);
	}
	g_free(text);
	router_dispatch_queue(r, rt, now);
}

void router_reply(struct router *r, const char *node, const struct msg_reply *m,
		  int64_t now)
{
	struct rcall *c = g_hash_table_lookup(r->by_sub, &m->sub);
	struct route *rt;
	struct replica_view *v;

	/* An ended attempt no longer has its handle. */
	if (!c || c->state != RCALL_SENT || strcmp(c->agent->node, node)) {
		r->stats.late_pieces++;
		return;
	}
	if (m->end && m->code) {
		handle_error_reply(r, c, m, now);
		return;
	}
	if (m->seq < c->next) {
		r->stats.late_pieces++;
		return;
	}
	if (m->seq > c->next) {
		/* A piece is missing: attach again from there, so that the
		 * caller gets no reply with a gap. */
		recover_attempt(r, c, now);
		return;
	}
	c->next++;
	rt = c->route;
	v = route_view(rt, c->replica);
	if (v && c->counted) {
		v->t.reported_calls = m->active;
		v->t.sent_since = 0;
		v->refusals = 0;
	}
	r->o.ops->deliver(r->o.arg, c, m);
	if (!m->end)
		return;
	if (c->counted) {
		update_service_time(c, now);
		if (v && v->t.reported_calls)
			v->t.reported_calls--;
	}
	ss_breaker_result(&c->agent->breaker, true, now);
	router_finish_ok(r, c);
	router_dispatch_queue(r, rt, now);
}
