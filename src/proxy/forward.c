/* Forwards one request: sends it to an endpoint, retries, refuses and ends
 * it. */
#include "gate_int.h"

#include "../base/log.h"
#include "../net/http.h"

/* Share of its time that a request waits for a model whose load time isn't
 * known; then it is refused with a retry time, while its caller still waits.
 * Usually an engine becomes free before: with half of this share, 1 request in
 * 200 more was refused and returned to the end of the queue. */
#define NO_ETA_WAIT_SHARE 0.8
/* A caller that leaves a silent engine after this share of the shortest
 * patience counts as a failure of the engine; one that leaves sooner may have
 * its own reasons. Less than 1, as callers whose request was sent late leave
 * earlier. */
#define SILENT_WAIT_SHARE 0.75
/* Bounds of the time after which a refused caller is to return, in ms: one
 * that returns sooner would be refused again, one that returns later has no
 * time left. Only return slots may be later. */
#define RETRY_AFTER_MIN_MS 150
#define RETRY_AFTER_MAX_MS 4000
/* Time over which the returns of callers that are refused at one time are
 * spread, in ms: less than the shortest objective of both deployments. */
#define RETRY_AFTER_SPREAD_MS 200
/* Time until a full service has room again, in ms: about two calls of a plain
 * service, or a tenth of a stream. */
#define RETRY_AFTER_FULL_MS 400
/* Time for an agent to report that an adapter wasn't loaded in time, in ms: a
 * round trip and the agent's tick. An agent that reports nothing by then is
 * disconnected or stalled. */
#define ADAPTER_GRACE_MS 100
/* Adapter loads requested before the request is refused. */
#define ADAPTER_ATTEMPTS_MAX 3
/* Delay before the next connection to an endpoint that accepted none, in ms: a
 * crash is reported within half a second. */
#define RECONNECT_DELAY_MS 50
/* Longest idle time of a kept connection that is reused, in ms. One that was
 * idle for longer may be broken without either side knowing, so a request that
 * can't be repeated has the shorter limit. */
#define IDLE_MAX_ONCE_MS 2000
#define IDLE_MAX_REPEATABLE_MS 10000

/* Maximum length of a caller's header value in a log line, in bytes. */
#define RESUMES_LOG_MAX 64

/* Names of enum forward_state, for log lines. */
static const char *const state_names[] = { "quota",   "waits", "looks",	 "asks",
					   "adapter", "sent",  "answers" };

static void forward_free(struct forward *f)
{
	struct gate *g = f->g;

	quarantine_end_trial(f);
	forward_leave_quota_queue(f);
	g_hash_table_remove(g->forwards, f);
	g_ptr_array_unref(f->tried);
	routing_route_unref(f->route);
	routing_service_unref(f->service);
	customer_unref(f->customer);
	if (f->headers)
		g_string_free(f->headers, TRUE);
	if (f->withheld)
		g_string_free(f->withheld, TRUE);
	events_clear(&f->events);
	g_free(f->id);
	g_free(f->model);
	g_free(f->adapter);
	g_free(f->ep_addr);
	g_free(f->ep_id);
	g_free(f->version);
	g_free(f->began_version);
	g_free(f->began_addr);
	g_free(f);
}

void forward_leave_endpoint(struct forward *f)
{
	struct gate_ep *ep = gate_ep_of(f);

	if (f->state == FORWARD_WAIT_ADAPTER ||
	    f->state == FORWARD_WAIT_TRIAL || f->state == FORWARD_WAIT_VERSION)
		g_hash_table_remove(f->g->tickets, &f->ticket);
	if (f->state >= FORWARD_SENT)
		f->retry_taken_ms = 0;
	else
		forward_return_retry(f);
	if (f->up) {
		times_note_aborted(f);
		upstream_cancel(f->up);
	}
	f->up = NULL;
	f->reading_paused = false;
	f->lost_ms = 0;
	gate_start_done(f);
	if (ep)
		gate_ep_end_call(ep, f->model);
	g_clear_pointer(&f->ep_addr, g_free);
}

int64_t forward_priority(const struct forward *f)
{
	return f->customer && f->customer->priority >= 0 ?
		       f->customer->priority :
		       f->route->priority;
}

const char *forward_customer(const struct forward *f)
{
	return f->customer ? f->customer->name : "";
}

/* Returns what a request that found no endpoint waits for, for a log line. */
static const char *wait_reason(const struct forward *f,
			       enum balance_refusal none)
{
	switch (none) {
	case BALANCE_NO_ENDPOINT:
		return f->began_version ? "version" : "model";
	case BALANCE_FULL:
		return "place";
	case BALANCE_LIMITED:
		return "limit";
	case BALANCE_BACKOFF:
		return "rest";
	case BALANCE_START_LIMIT:
		return "starts";
	}
	return "-";
}

struct ss_str forward_resumed_request(const struct forward *f)
{
	struct ss_str s = f->call.resumed_id.n ? f->call.resumed_id :
						 SS_LIT("-");

	s.n = MIN(s.n, RESUMES_LOG_MAX);
	return s;
}

/* Logs and counts how a request ended. */
static void record_end(struct forward *f, const char *outcome)
{
	struct gate *g = f->g;
	int64_t ms = gate_now(g) - f->start_ms;
	struct hist *h = g_hash_table_lookup(g->latency_hists, f->route->name);

	if (!h) {
		char *labels = g_strdup_printf("class=\"%s\"", f->route->name);

		h = metrics_hist(g->o.metrics, "ss_gate_latency_ms", labels);
		g_hash_table_insert(g->latency_hists, g_strdup(f->route->name),
				    h);
		g_free(labels);
	}
	hist_add(h, (uint64_t)MAX(ms, 0));
	log_info("request",
		 "request=%s customer=%s route=%s service=%s model=%s "
		 "adapter=%s "
		 "endpoint=%s sends=%u asks=%u outcome=%s status=%d "
		 "waited_ms=%" PRId64 " first_ms=%" PRId64 " ms=%" PRId64
		 " objective_ms=%" PRId64 " pause_ms=%" PRId64
		 " pause_most_ms=%" PRId64 " held_for=%s turn=%s"
		 " left_ms=%" PRId64 " tokens=%" PRId64
		 " cost=%.0f quota_ms=%" PRId64 " stop_left_ms=%" PRId64
		 " limit=%.3f expected_ms=%" PRId64 " routing=%" PRIu64
		 " version=%s resumes=%.*s after=%" PRId64 " back_ms=%" PRId64
		 " why=\"%s\"",
		 f->id, f->customer ? f->customer->name : "-", f->route->name,
		 f->service->name, f->model, f->adapter,
		 f->ep_id ? f->ep_id : "-", f->sends, f->adapter_requests,
		 outcome, f->status, f->waited_ms, f->first_ms, ms,
		 f->objective_ms - f->start_ms, f->longest_pause_ms,
		 f->route->max_event_gap_ms,
		 f->blocked_by ? f->blocked_by : "-", model_queue_rule(f),
		 f->deadline_ms - gate_now(g), f->call.tokens_out, f->cost,
		 f->quota_waited_ms, f->stop_left_ms, f->limit_per_s,
		 f->expected_ms == SS_NEVER ? -1 : f->expected_ms,
		 f->routing_version, f->version ? f->version : "-",
		 SS_FMT(forward_resumed_request(f)), f->call.after_event,
		 f->retry_after_ms, f->why ? f->why : "");
}

void forward_end(struct forward *f, bool whole, const char *why)
{
	struct gate *g = f->g;
	char *service = g_strdup(f->service->name);

	f->why = why;
	(*(whole ? g->n_ok : g->n_cut))++;
	record_end(f, whole ? "answered" : "cut");
	if (f->queue)
		model_queue_remove(f);
	forward_leave_endpoint(f);
	caller_call_end(f->caller, whole);
	forward_free(f);
	gate_dispatch(g, service);
	g_free(service);
}

/* Returns the headers of an answer that this process makes itself. */
static GString *refusal_headers(const struct forward *f, int64_t retry_after_ms)
{
	GString *s = g_string_new("Content-Type: application/json\r\n");

	if (f->call.id.n)
		g_string_append_printf(s, "X-Request-Id: %s\r\n", f->id);
	if (retry_after_ms > 0)
		g_string_append_printf(s, "Retry-After: %.3f\r\n",
				       (double)retry_after_ms / 1000.0);
	return s;
}

void forward_refuse(struct forward *f, int status, const char *type,
		    const char *why, int64_t retry_after_ms)
{
	struct gate *g = f->g;
	bool not_run = status == 503 || status == 429 || status == 404 ||
		       status == 400;
	char *service = g_strdup(f->service->name);
	GString *headers = refusal_headers(f, retry_after_ms);
	char *body = g_strdup_printf(
		"{\"error\":{\"type\":\"%s\",\"message\":\"%s\","
		"\"outcome\":\"%s\"}}",
		type, why, not_run ? "not_run" : "unknown");

	if (not_run)
		forward_refund(f);
	f->why = why;
	f->status = status;
	f->retry_after_ms = MAX(retry_after_ms, 0);
	(*(not_run ? g->n_refused : g->n_failed))++;
	record_end(f, not_run ? "not_run" : "unknown");
	if (f->queue)
		model_queue_remove(f);
	forward_leave_endpoint(f);
	caller_call_reply(f->caller, status, headers, ss_str(body));
	g_string_free(headers, TRUE);
	g_free(body);
	forward_free(f);
	gate_dispatch(g, service);
	g_free(service);
}

/* Returns the random part of a Retry-After, so that callers refused at one time
 * don't return at one time. */
static int64_t jitter_ms(const struct forward *f)
{
	return (int64_t)(ss_random(&f->g->seed) % RETRY_AFTER_SPREAD_MS);
}

/* Returns the Retry-After of a caller refused for lack of an endpoint: it is to
 * return once the model is loaded or an endpoint has room, in its return
 * slot. */
static int64_t model_retry_after_ms(struct forward *f)
{
	const struct model_queue *l = f->queue;
	int64_t now = gate_now(f->g);
	int64_t ms = RETRY_AFTER_FULL_MS, slot_ms;

	if (l && l->eta_ms != SS_NEVER)
		ms = MAX(l->eta_ms - now, 0) + RETRY_AFTER_MIN_MS;
	else if (f->admit_ms > now)
		ms = MAX(f->admit_ms - now, ms);
	ms = MIN(ms, RETRY_AFTER_MAX_MS);
	slot_ms = retry_after_model_ms(f, ms, RETRY_AFTER_SPREAD_MS);
	return slot_ms < ms + RETRY_AFTER_SPREAD_MS ?
		       MIN(slot_ms, RETRY_AFTER_MAX_MS) :
		       slot_ms;
}

/* Returns true if the request may run more than once. */
static bool is_repeatable(const struct forward *f)
{
	return f->route->kind == ROUTE_SAFE ||
	       (f->route->kind == ROUTE_STREAM && f->route->resumable);
}

static bool has_sends_left(const struct forward *f)
{
	return f->tried->len < (guint)f->route->attempts;
}

/* Returns true if another run's answer would fit behind what the caller has got
 * so far. A plain answer comes whole from one run: two runs' bytes may differ,
 * and the second one begins anew. */
static bool can_continue(const struct forward *f)
{
	if (!f->started)
		return true;
	return f->is_events && events_can_continue(&f->events);
}

/* Returns true if a request that may have run can be sent once more. */
static bool can_run_again(const struct forward *f)
{
	return is_repeatable(f) && has_sends_left(f) && can_continue(f);
}

void forward_enqueue(struct forward *f)
{
	f->state = FORWARD_WAIT_ENDPOINT;
	if (f->queue)
		return;
	f->queued_ms = gate_now(f->g);
	model_queue_add(resume_queue(f), f);
}

void forward_retry(struct forward *f, bool not_run, const char *why)
{
	struct gate *g = f->g;

	forward_leave_endpoint(f);
	f->why = why;
	f->may_have_run |= !not_run;
	log_info("send_failed",
		 "request=%s endpoint=%s version=%s after=%" PRId64
		 " not_run=%d why=\"%s\" ms=%" PRId64,
		 f->id, f->ep_id, f->version, f->events.last_id, not_run, why,
		 gate_now(g) - f->sent_ms);
	if (!not_run && !can_run_again(f)) {
		if (f->started)
			forward_end(f, false, why);
		else
			forward_refuse(f, 502, "lost", why, 0);
		return;
	}
	if ((f->started ? f->deadline_ms : f->begin_by_ms) - gate_now(g) <
	    times_first_ms(f)) {
		if (f->started)
			forward_end(f, false, why);
		else if (f->may_have_run)
			forward_refuse(f, 504, "deadline", why, 0);
		else
			forward_refuse(f, 503, "deadline", why,
				       model_retry_after_ms(f));
		return;
	}
	forward_enqueue(f);
	forward_try_send(f);
}

static void send_to(struct forward *f, struct gate_ep *ep)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g);
	struct platform_request_headers s = {
		.deadline_ms = f->deadline_ms - now,
		.instance = ss_str(ep->self.id),
		.priority = MIN(forward_priority(f), 9),
		.drop_keys = f->keyed,
		.customer = ss_str(forward_customer(f)),
		.after_event = f->is_events ? f->events.last_id :
					      f->call.after_event
	};
	const struct http1_head *h = caller_call_head(f->caller);
	struct upstream_request r = {
		.addr = ep->addr,
		.bytes = g_string_sized_new(1024),
		.no_body = http1_name_is(h->method, "HEAD"),
		.idle_max_ms = is_repeatable(f) ? IDLE_MAX_REPEATABLE_MS :
						  IDLE_MAX_ONCE_MS,
		.ops = &forward_upstream_ops,
		.arg = f
	};

	g->o.platform->write_request(r.bytes, h, &s, f->body.n);
	g_string_append_len(r.bytes, f->body.p, (gssize)f->body.n);
	f->state = FORWARD_SENT;
	f->sent_ms = now;
	f->limit_per_s = ep->signals.limit.per_s;
	gate_signals_on_send(g, ep, now);
	f->grants = 0;
	f->event_mark = (struct timing_mark){ 0 };
	f->first_event_ms = 0;
	f->answer_proved = false;
	if (g->stop_end_ms)
		f->stop_left_ms = g->stop_end_ms - now;
	if (f->waited_ms < 0) {
		f->waited_ms = now - f->start_ms;
		retry_after_served(f);
	}
	f->sends++;
	g_free(f->ep_id);
	f->ep_id = g_strdup(ep->self.id);
	g_free(f->version);
	f->version = g_strdup(fleet_version(&ep->self));
	resume_note_stream(f, ep);
	g_ptr_array_add(f->tried, fleet_incarnation_dup(&ep->self));
	ss_breaker_sent(&ep->breaker);
	f->up = upstream_send(g->upstream, &r);
}

/* Takes back the count of a send that didn't reach the endpoint. */
static void uncount_send(struct forward *f)
{
	if (f->tried->len)
		g_ptr_array_remove_index(f->tried, f->tried->len - 1);
	f->sends--;
}

void forward_not_sent(struct forward *f)
{
	struct gate_ep *ep = gate_ep_of(f);

	uncount_send(f);
	forward_return_retry(f);
	if (ep) {
		gate_ep_note_result(f->g, ep, true);
		ep->unreachable_until_ms = gate_now(f->g) + RECONNECT_DELAY_MS;
	}
	forward_retry(f, true, "no connection");
}

static void request_adapter(struct forward *f, struct gate_ep *ep)
{
	struct gate *g = f->g;
	struct msg_adapter m = { .sub = ++g->ticket,
				 .model = ss_str(f->model),
				 .adapter = ss_str(f->adapter),
				 .endpoint = ss_str(ep->addr),
				 .wait_ms = g->o.adapter_wait_ms };

	f->ticket = m.sub;
	f->state = FORWARD_WAIT_ADAPTER;
	f->sent_ms = gate_now(g);
	f->adapter_requests++;
	(*g->n_adapters)++;
	g_hash_table_insert(g->tickets, &f->ticket, f);
	if (!g->o.ops->request_adapter(g->o.arg, ep->agent, &m))
		forward_adapter_reply(f, SS_ERROR_UNAVAILABLE,
				      SS_LIT("its agent can't be reached"));
}

/* Counts the request among the endpoint's calls. */
static void reserve_slot(struct forward *f, struct gate_ep *ep)
{
	f->ep_addr = g_strdup(ep->addr);
	f->ep_incarnation_no = ep->incarnation_no;
	gate_ep_begin_call(ep, f->model);
	gate_start_begin(f, ep);
	if (f->queue)
		model_queue_take(f);
}

void forward_refuse_draining(struct forward *f)
{
	if (f->may_have_run)
		forward_refuse(f, 502, "lost",
			       "this process ends before the answer would", 0);
	else
		forward_refuse(f, 503, "draining",
			       "this process ends before the answer would",
			       RETRY_AFTER_MIN_MS + jitter_ms(f));
}

bool forward_try_send(struct forward *f)
{
	enum balance_refusal none = BALANCE_NO_ENDPOINT;
	struct gate_ep *ep;

	if (times_stop_would_cut(f, NULL)) {
		forward_refuse_draining(f);
		return true;
	}
	if (quarantine_blocks(f))
		return true;
	ep = gate_choose(f->g, f, &none);
	if (!ep) {
		f->blocked_by = wait_reason(f, none);
		return false;
	}
	if (times_stop_would_cut(f, ep)) {
		gate_limit_release(f, ep);
		forward_refuse_draining(f);
		return true;
	}
	/* Every send after the first is a retry. */
	if (f->sends > 0 && !forward_take_retry(f)) {
		gate_limit_release(f, ep);
		if (f->started)
			forward_end(f, false, "the retry budget is used up");
		else if (f->may_have_run)
			forward_refuse(f, 502, "lost",
				       "the retry budget is used up", 0);
		else
			forward_refuse(f, 503, "overload",
				       "the retry budget is used up",
				       model_retry_after_ms(f));
		return true;
	}
	reserve_slot(f, ep);
	if (!gate_ep_has_adapter(ep, f->model, f->adapter) && *f->adapter)
		request_adapter(f, ep);
	else
		send_to(f, ep);
	return true;
}

/* Sends to an endpoint that has loaded the adapter, unless it no longer accepts
 * requests or the request no longer may be sent. */
static void send_after_load(struct forward *f, struct gate_ep *ep)
{
	if (times_stop_would_cut(f, ep)) {
		forward_refuse_draining(f);
	} else if (quarantine_blocks(f)) {
		return;
	} else if (ep->known && !ep->draining && gate_signals_admit(f->g, ep)) {
		send_to(f, ep);
	} else {
		forward_leave_endpoint(f);
		forward_enqueue(f);
		forward_try_send(f);
	}
}

void forward_adapter_reply(struct forward *f, int64_t code, struct ss_str text)
{
	struct gate_ep *ep = gate_ep_of(f);
	int64_t now = gate_now(f->g);

	g_hash_table_remove(f->g->tickets, &f->ticket);
	f->state = FORWARD_WAIT_ENDPOINT;
	if (code == 0 && ep) {
		gate_ep_add_adapter(ep, f->model, f->adapter);
		send_after_load(f, ep);
		return;
	}
	log_info("adapter_failed",
		 "request=%s endpoint=%s model=%s adapter=%s why=\"%.*s\" "
		 "ms=%" PRId64,
		 f->id, f->ep_addr, f->model, f->adapter, SS_FMT(text),
		 now - f->sent_ms);
	if (ep && code == SS_ERROR_UNKNOWN_MODEL)
		gate_ep_remove_model(ep, f->model, "");
	forward_leave_endpoint(f);
	if (f->adapter_requests >= ADAPTER_ATTEMPTS_MAX ||
	    f->deadline_ms - now < times_first_ms(f)) {
		forward_refuse(f, f->may_have_run ? 502 : 503, "unavailable",
			       "its adapter can't be loaded",
			       f->may_have_run ? 0 : model_retry_after_ms(f));
		return;
	}
	forward_enqueue(f);
	/* The next dispatch tries again: the agent has only just failed. */
}

/*
 * Returns true if the caller leaves a stream that waited long for an answer. An
 * engine whose VM is stalled refuses nothing: its callers leave, its last
 * report becomes old, and without calls it looks like the least loaded one. If
 * such callers weren't counted as failures, it would get all new streams: an
 * engine that stalled for 3 s was sent 44 within 2 s, and served none.
 */
static bool left_silent_engine(const struct forward *f)
{
	double silent_ms = (double)(gate_now(f->g) - f->sent_ms);

	return f->state == FORWARD_SENT && f->route->kind == ROUTE_STREAM &&
	       silent_ms > (double)f->g->o.patience.ms * SILENT_WAIT_SHARE;
}

void forward_caller_left(struct forward *f)
{
	struct gate *g = f->g;
	char *service = g_strdup(f->service->name);
	struct gate_ep *ep = gate_ep_of(f);

	if (ep && left_silent_engine(f))
		gate_ep_note_result(g, ep, true);
	(*g->n_callers_left)++;
	f->why = state_names[f->state];
	record_end(f, "caller_left");
	if (f->queue)
		model_queue_remove(f);
	forward_leave_endpoint(f);
	forward_free(f);
	gate_dispatch(g, service);
	g_free(service);
}

/* Returns true if a waiting request can't be started in time. */
static bool is_too_late(const struct forward *f, int64_t now)
{
	const struct model_queue *l = f->queue;
	int64_t wait_max_ms = f->begin_by_ms - f->start_ms;
	int64_t first = times_first_ms(f);

	if (now + first > f->begin_by_ms)
		return true;
	/* admit_ms is no bound where another engine may load the model. */
	if (!*f->model)
		return f->admit_ms + first > f->begin_by_ms;
	if (l->eta_ms != SS_NEVER)
		return MAX(l->eta_ms, now) + first > f->begin_by_ms;
	return (double)(now - f->start_ms) >
	       (double)wait_max_ms * NO_ETA_WAIT_SHARE;
}

int64_t forward_latest_send_ms(const struct forward *f)
{
	double wait_max_ms = (double)(f->begin_by_ms - f->start_ms);
	int64_t first = times_first_ms(f);

	if (f->started)
		return f->deadline_ms - first;
	if (!*f->model || f->queue->eta_ms != SS_NEVER)
		return f->begin_by_ms - first;
	return MIN(f->begin_by_ms - first,
		   f->start_ms + (int64_t)(wait_max_ms * NO_ETA_WAIT_SHARE));
}

static void tick_waiting(struct forward *f, int64_t now)
{
	if (f->started) {
		if (resume_is_impossible(f))
			forward_end(f, false, "its version is gone");
		else if (now >= f->deadline_ms)
			forward_end(f, false, "no endpoint could resume it");
	} else if (times_stop_would_cut(f, NULL)) {
		forward_refuse_draining(f);
	} else if (resume_is_impossible(f)) {
		forward_refuse(f, f->may_have_run ? 502 : 503, "unavailable",
			       "its version is gone",
			       f->may_have_run ? 0 : model_retry_after_ms(f));
	} else if (is_too_late(f, now)) {
		forward_refuse(f, f->may_have_run ? 502 : 503, "unavailable",
			       "it can't be begun in time",
			       f->may_have_run ? 0 : model_retry_after_ms(f));
	} else if (gate_start_wait_over(f, now)) {
		forward_try_send(f);
	}
}

static void tick_quota(struct forward *f, int64_t now)
{
	if (times_stop_would_cut(f, NULL))
		forward_refuse_draining(f);
	else if (now + times_first_ms(f) > f->begin_by_ms)
		forward_refuse(f, 503, "unavailable",
			       "its customer's allotment came too late",
			       RETRY_AFTER_MIN_MS + jitter_ms(f));
}

static void tick_adapter(struct forward *f, int64_t now)
{
	if (times_stop_would_cut(f, gate_ep_of(f)))
		forward_refuse_draining(f);
	else if (now >= f->deadline_ms)
		forward_refuse(f, f->may_have_run ? 504 : 503, "deadline",
			       "its adapter came too late",
			       f->may_have_run ? 0 : model_retry_after_ms(f));
	else if (now - f->sent_ms > f->g->o.adapter_wait_ms + ADAPTER_GRACE_MS)
		forward_adapter_reply(f, SS_ERROR_UNAVAILABLE,
				      SS_LIT("its agent doesn't reply"));
}

/* Returns true if a send is given up because its endpoint has restarted.
 * Returns false while the caller reads slowly, as the end of the answer may
 * still be in the connection, and if the request can't be sent again, as giving
 * up gains nothing then. */
static bool should_give_up(const struct forward *f, int64_t now)
{
	return f->lost_ms && now >= f->lost_ms && !f->reading_paused &&
	       can_run_again(f);
}

void forward_tick(struct forward *f, int64_t now)
{
	if (f->state == FORWARD_WAIT_QUOTA) {
		tick_quota(f, now);
	} else if (f->state == FORWARD_WAIT_ENDPOINT) {
		tick_waiting(f, now);
	} else if (f->state == FORWARD_WAIT_VERSION) {
		resume_tick(f, now);
	} else if (f->state == FORWARD_WAIT_TRIAL) {
		quarantine_trial_tick(f, now);
	} else if (f->state == FORWARD_WAIT_ADAPTER) {
		tick_adapter(f, now);
	} else if (should_give_up(f, now)) {
		if (f->is_events)
			events_drop_partial(&f->events);
		forward_retry(f, false, "the endpoint has restarted");
	} else if (now < f->deadline_ms) {
		return;
	} else if (f->started) {
		forward_end(f, false, "the time is up");
	} else {
		forward_refuse(f, 504, "deadline", "the time is up", 0);
	}
}

void forward_abort(struct forward *f)
{
	if (f->started)
		forward_end(f, false, "this process ends");
	else if (f->state <= FORWARD_WAIT_ADAPTER && !f->may_have_run)
		forward_refuse(f, 503, "draining", "this process ends",
			       RETRY_AFTER_MIN_MS);
	else
		forward_refuse(f, 502, "lost", "this process ends", 0);
}
