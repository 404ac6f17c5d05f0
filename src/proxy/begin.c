/* Receives a request: finds its route, customer and service, and queues or
 * refuses it. */
#include "gate_int.h"

#include "../base/log.h"

#include <xxhash.h>

/* A request is answered this long before its route's timeout, while its caller
 * still waits; in ms. */
#define TIMEOUT_MARGIN_MS 20
/* Retry-After of a request that this entry can't route as its routing may be
 * stale, in ms: another entry may serve it. */
#define STALE_RETRY_AFTER_MS 200
#define NOT_READY_RETRY_AFTER_MS 500
/* A customer's share of the sends is its limit per second, up to this. */
#define SHARE_MAX 1e9
/* Share of a customer without a limit: that of a large one. */
#define SHARE_UNLIMITED 1000000u

static struct ss_str path_of(struct ss_str target)
{
	const char *q = target.n ? memchr(target.p, '?', target.n) : NULL;

	if (q)
		target.n = (size_t)(q - target.p);
	return target;
}

static void refuse_call(struct gate *g, struct caller_call *c, int status,
			const char *type, const char *why,
			int64_t retry_after_ms)
{
	GString *headers = g_string_new("Content-Type: application/json\r\n");
	char *body = g_strdup_printf("{\"error\":{\"type\":\"%s\",\"message\":"
				     "\"%s\",\"outcome\":\"not_run\"}}",
				     type, why);
	struct ss_str id = http1_value(caller_call_head(c), "X-Request-Id");

	if (retry_after_ms)
		g_string_append_printf(headers, "Retry-After: %.3f\r\n",
				       (double)retry_after_ms / 1000.0);
	(*g->n_bad)++;
	log_info("request",
		 "request=%.*s outcome=not_run status=%d routing=%" PRIu64
		 " why=\"%s\"",
		 SS_FMT(id), status, g->routing_version, why);
	caller_call_reply(c, status, headers, ss_str(body));
	g_string_free(headers, TRUE);
	g_free(body);
}

/* Refuses a request with the status that the routing or identify_customer()
 * gave it. */
static void refuse_status(struct gate *g, struct caller_call *c, int status)
{
	if (status == 404)
		refuse_call(g, c, 404, "not_found", "no route", 0);
	else if (status == 401)
		refuse_call(g, c, 401, "unknown_key",
			    "no customer holds the key that it carries", 0);
	else if (status == 503)
		refuse_call(g, c, 503, "unavailable",
			    "the key may have been taken away",
			    STALE_RETRY_AFTER_MS);
	else
		refuse_call(g, c, 400, "bad_request", "a header is unreadable",
			    0);
}

/* Hashes what decides at which endpoint the prompt cache is warm: the model,
 * the adapter and all parts of the prompt but the last, which is the request's
 * own. */
static uint64_t affinity_of(const struct platform_call *c)
{
	struct ss_str shared = prompt_shared(c->prompt);

	return XXH3_64bits_withSeed(shared.p, shared.n,
				    XXH3_64bits(c->adapter.p, c->adapter.n) ^
					    XXH3_64bits(c->model.p,
							c->model.n));
}

/* Returns how long the caller of a stream waits for its first event, in ms. A
 * request that can't be started by then is refused before, while its caller can
 * still receive a retry time. */
static int64_t patience_ms(const struct gate *g, const struct routing_route *rt)
{
	const struct gate_patience *p = &g->o.patience;
	int64_t ms = MAX(p->ms, p->objectives * rt->objective_ms);

	return MAX(ms, p->pauses * rt->max_event_gap_ms);
}

/* Returns true if a key may have been revoked while no leader could report
 * it. */
static bool keys_may_be_revoked(const struct gate *g)
{
	return g->o.keys_trust_ms &&
	       freshness_disconnected_ms(&g->freshness, gate_now(g)) >
		       g->o.keys_trust_ms;
}

/* Finds the customer of a request; returns 0, or the status to refuse it
 * with. */
static int identify_customer(const struct gate *g,
			     const struct routing_route *rt,
			     const struct platform_call *call,
			     struct customer **customer)
{
	*customer = NULL;
	if (!g->routing->needs_key)
		return 0;
	if (call->several_keys)
		return 400;
	*customer = customers_find(&g->routing->customers, call->key);
	if (rt->is_public)
		return 0;
	if (!*customer)
		return 401;
	return keys_may_be_revoked(g) ? 503 : 0;
}

/* Sets the request's order in its queue: by priority, and then customers in
 * proportion to their limits, so that none displaces another by exceeding its
 * own. */
static void set_queue_order(struct forward *f)
{
	const struct customer *c = f->customer;
	int64_t last = SS_QUEUE_PRIORITIES - 1;

	/* The minimum time to a first event is the same for all streams of a
	 * model queue, so this is also the order of their latest starts. */
	f->item.deadline_ms = f->begin_by_ms;
	f->item.priority = (int)(last - CLAMP(forward_priority(f), 0, last));
	f->item.share = SHARE_UNLIMITED;
	if (c)
		f->item.customer = ss_str(c->name);
	if (c && c->limit.per_s > 0)
		f->item.share =
			(unsigned int)CLAMP(c->limit.per_s, 1, SHARE_MAX);
}

void forward_set_service(struct forward *f, struct routing_service *s)
{
	routing_service_unref(f->service);
	g_free(f->model);
	g_free(f->adapter);
	f->service = routing_service_ref(s);
	f->model = s->engine ? ss_str_dup(f->call.model) : g_strdup("");
	f->adapter = s->engine ? ss_str_dup(f->call.adapter) : g_strdup("");
	f->timing = gate_timing(f->g, f);
}

static struct forward *forward_new(struct gate *g, struct caller_call *c,
				   struct routing_route *rt,
				   const struct platform_call *call,
				   struct customer *customer,
				   struct ss_str body, int64_t now)
{
	struct forward *f = g_new0(struct forward, 1);
	int64_t wait = rt->timeout_ms - TIMEOUT_MARGIN_MS;

	if (call->deadline_ms)
		wait = MIN(wait, call->deadline_ms);
	f->g = g;
	f->caller = c;
	f->body = body;
	f->routing_version = g->routing->version;
	f->route = routing_route_ref(rt);
	f->customer = customer_ref(customer);
	f->keyed = g->routing->needs_key;
	f->call = *call;
	f->id = ss_str_dup(call->id);
	forward_set_service(f,
			    routing_pick(g->routing, rt, ss_random(&g->seed)));
	f->affinity = affinity_of(call);
	f->start_ms = now;
	f->waited_ms = f->first_ms = f->stop_left_ms = -1;
	f->charged_ms = -1;
	f->limit_per_s = -1;
	f->expected_ms = SS_NEVER;
	f->deadline_ms = now + wait;
	f->objective_ms = now + rt->objective_ms;
	f->begin_by_ms = f->deadline_ms;
	if (rt->kind == ROUTE_STREAM)
		f->begin_by_ms = MIN(f->deadline_ms, now + patience_ms(g, rt));
	set_queue_order(f);
	f->tried = g_ptr_array_new_with_free_func(fleet_incarnation_free);
	f->events.last_id = call->after_event;
	caller_call_set_data(c, f);
	g_hash_table_add(g->forwards, f);
	return f;
}

void forward_queue_or_send(struct forward *f)
{
	f->home_queue->arrivals++;
	fleet_rate_add(&f->home_queue->rate, 1, gate_now(f->g));
	if (resume_lookup(f))
		return;
	forward_enqueue(f);
	/* A request doesn't overtake others that wait for the same model. */
	if (ss_queue_length(f->queue->waiting) == 1)
		forward_try_send(f);
}

void forward_begin(struct gate *g, struct caller_call *c, struct ss_str body,
		   int64_t received_ms)
{
	const struct http1_head *h = caller_call_head(c);
	struct ss_str host = http1_value(h, "Host");
	enum freshness_level fresh;
	struct routing_route *rt;
	struct platform_call call;
	struct customer *customer = NULL;
	GError *error = NULL;
	struct forward *f;
	bool readable;
	int64_t until;
	int status;

	if (!g->routing || !g->fleet_known) {
		if (startup_hold_request(g, c, body, received_ms))
			return;
		(*g->n_requests)++;
		refuse_call(g, c, 503, "unavailable", "not ready yet",
			    NOT_READY_RETRY_AFTER_MS);
		return;
	}
	rt = routing_match(g->routing, host, path_of(h->target));
	readable = g->o.platform->read_call(h, &call, &error);
	status = !rt	  ? 404 :
		 readable ? identify_customer(g, rt, &call, &customer) :
			    400;
	fresh = freshness_level(&g->freshness, gate_now(g), &until);
	if (fresh == FRESHNESS_STALE || (fresh == FRESHNESS_UNCERTAIN &&
					 (status == 404 || status == 401))) {
		g_clear_error(&error);
		if (startup_hold_until(g, c, body, received_ms, until))
			return;
		(*g->n_requests)++;
		refuse_call(g, c, 503, "unavailable",
			    "the routing here may be behind",
			    STALE_RETRY_AFTER_MS);
		return;
	}
	(*g->n_requests)++;
	if (status) {
		refuse_status(g, c, status);
		g_clear_error(&error);
		return;
	}
	f = forward_new(g, c, rt, &call, customer, body, received_ms);
	if (customer)
		(*gate_customer_counts(g, customer->name)->requests)++;
	forward_count_request(f);
	if (*f->model && !routing_model(f->service, f->model)) {
		forward_refuse(f, 503, "unknown_model",
			       "the routing in force has no such model", 0);
		return;
	}
	f->home_queue = gate_model_queue(g, f->service->name, f->model);
	if (times_stop_would_cut(f, NULL)) {
		forward_refuse_draining(f);
		return;
	}
	if (quarantine_refuses(f))
		return;
	if (quota_applies(f))
		quota_begin(f);
	else
		forward_queue_or_send(f);
}
