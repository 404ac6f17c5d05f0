/* One request's way to an endpoint. */
#include "gate_int.h"

#include "../base/log.h"
#include "../net/http.h"

/* A request whose model nobody knows to be on its way is held for this
 * share of its time, then told to come back while its caller is still there.
 * Mostly an engine comes free before: with half as much, 1 request in 200 more
 * was refused, and came back to the end of the queue. */
#define NO_ETA_SHARE 0.8
/* A caller who leaves a silent engine after this share of the shortest patience
 * counts against the engine; one who leaves sooner had reasons of its own.
 * Callers who were sent late leave earlier than the whole of it. */
#define SILENT_SHARE 0.75
/* Coming back sooner makes no sense; later leaves no time. In ms. */
#define BACK_MIN_MS 150
/* Those refused together return within this, not all in one moment: chosen,
 * less than the shortest objective of both deployments. */
#define BACK_SPREAD_MS 200
#define BACK_MAX_MS 4000
/* A full service has room again after a few of its calls: chosen, some two of
 * a plain service's calls or a tenth of a stream. */
#define BACK_FULL_MS 400
/* An agent says itself that an adapter didn't come in time; one that says
 * nothing for so long beyond that is cut off or stands still. In ms: a round
 * trip and the agent's own tick. */
#define ADAPTER_LATE_MS 100
/* Times that an adapter is asked for before the request is refused. */
#define ADAPTER_ASKS 3
/* An endpoint that takes no connection is tried again after so long, in ms: its
 * end is told within half a second. */
#define CONNECT_AGAIN_MS 50
/* A kept connection that rested for longer may be silent without anybody
 * knowing; a request that can't be repeated doesn't take the risk. */
#define REST_ONCE_MS 2000
#define REST_SAFE_MS 10000

/* Bytes of a caller's word that stand in a log line. */
#define RESUMES_LOGGED 64

static const char *const states[] = { "quota",	 "waits", "looks",  "asks",
				      "adapter", "sent",  "answers" };

static void forward_free(struct forward *f)
{
	struct gate *g = f->g;

	quarantine_leave(f);
	forward_leave_quota(f);
	g_hash_table_remove(g->forwards, f);
	g_ptr_array_unref(f->tried);
	routing_route_unref(f->route);
	routing_service_unref(f->service);
	customer_unref(f->customer);
	if (f->headers)
		g_string_free(f->headers, TRUE);
	if (f->held)
		g_string_free(f->held, TRUE);
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

void forward_leave(struct forward *f)
{
	struct gate_ep *ep = gate_ep_of(f);

	if (f->state == FORWARD_ADAPTER || f->state == FORWARD_ASKS ||
	    f->state == FORWARD_LOOKS)
		g_hash_table_remove(f->g->tickets, &f->ticket);
	if (f->state >= FORWARD_SENT)
		f->retry_ms = 0;
	else
		forward_return_retry(f);
	if (f->up) {
		times_note_left(f);
		upstream_cancel(f->up);
	}
	f->up = NULL;
	f->paused = false;
	f->lost_ms = 0;
	gate_start_done(f);
	if (ep)
		gate_ep_end(ep, f->model);
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

/* Which of these it waits for. */
static const char *held_for(const struct forward *f, enum balance_none none)
{
	switch (none) {
	case BALANCE_NOBODY:
		return f->began_version ? "version" : "model";
	case BALANCE_FULL:
		return "place";
	case BALANCE_LIMITED:
		return "limit";
	case BALANCE_RESTING:
		return "rest";
	case BALANCE_STARTS:
		return "starts";
	}
	return "-";
}

struct ss_str forward_resumes(const struct forward *f)
{
	struct ss_str s = f->call.resumes.n ? f->call.resumes : SS_LIT("-");

	s.n = MIN(s.n, RESUMES_LOGGED);
	return s;
}

static void record(struct forward *f, const char *outcome)
{
	struct gate *g = f->g;
	int64_t ms = gate_now(g) - f->start_ms;
	struct hist *h = g_hash_table_lookup(g->hists, f->route->name);

	if (!h) {
		char *labels = g_strdup_printf("class=\"%s\"", f->route->name);

		h = metrics_hist(g->o.metrics, "ss_gate_latency_ms", labels);
		g_hash_table_insert(g->hists, g_strdup(f->route->name), h);
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
		 f->ep_id ? f->ep_id : "-", f->sends, f->asks, outcome,
		 f->status, f->waited_ms, f->first_ms, ms,
		 f->objective_ms - f->start_ms, f->pause_ms, f->route->pause_ms,
		 f->held_for ? f->held_for : "-", lane_turn(f),
		 f->deadline_ms - gate_now(g), f->call.tokens_out, f->cost,
		 f->quota_ms, f->stop_left_ms, f->limit_per_s,
		 f->expected_ms == SS_NEVER ? -1 : f->expected_ms, f->routing,
		 f->version ? f->version : "-", SS_FMT(forward_resumes(f)),
		 f->call.after_event, f->back_ms, f->why ? f->why : "");
}

void forward_end(struct forward *f, bool whole, const char *why)
{
	struct gate *g = f->g;
	char *service = g_strdup(f->service->name);

	f->why = why;
	(*(whole ? g->n_ok : g->n_cut))++;
	record(f, whole ? "answered" : "cut");
	if (f->lane)
		lane_remove(f);
	forward_leave(f);
	caller_call_end(f->caller, whole);
	forward_free(f);
	gate_pump(g, service);
	g_free(service);
}

static GString *own_headers(const struct forward *f, int64_t retry_after_ms)
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
	GString *headers = own_headers(f, retry_after_ms);
	char *body = g_strdup_printf(
		"{\"error\":{\"type\":\"%s\",\"message\":\"%s\","
		"\"outcome\":\"%s\"}}",
		type, why, not_run ? "not_run" : "unknown");

	if (not_run)
		forward_refund(f);
	f->why = why;
	f->status = status;
	f->back_ms = MAX(retry_after_ms, 0);
	(*(not_run ? g->n_refused : g->n_failed))++;
	record(f, not_run ? "not_run" : "unknown");
	if (f->lane)
		lane_remove(f);
	forward_leave(f);
	caller_call_reply(f->caller, status, headers, ss_str(body));
	g_string_free(headers, TRUE);
	g_free(body);
	forward_free(f);
	gate_pump(g, service);
	g_free(service);
}

/* So that those refused together don't return together. */
static int64_t spread_ms(const struct forward *f)
{
	return (int64_t)(ss_random(&f->g->seed) % BACK_SPREAD_MS);
}

/* A true time to come back: when the model stands, or a place is free, and it
 * is its turn. Only turns are later than the most. */
static int64_t come_back_ms(struct forward *f)
{
	const struct lane *l = f->lane;
	int64_t now = gate_now(f->g);
	int64_t ms = BACK_FULL_MS, back;

	if (l && l->eta_ms != SS_NEVER)
		ms = MAX(l->eta_ms - now, 0) + BACK_MIN_MS;
	else if (f->open_ms > now)
		ms = MAX(f->open_ms - now, ms);
	ms = MIN(ms, BACK_MAX_MS);
	back = turns_model_ms(f, ms, BACK_SPREAD_MS);
	return back < ms + BACK_SPREAD_MS ? MIN(back, BACK_MAX_MS) : back;
}

static bool repeatable(const struct forward *f)
{
	return f->route->kind == ROUTE_SAFE ||
	       (f->route->kind == ROUTE_STREAM && f->route->resumable);
}

static bool sends_left(const struct forward *f)
{
	return f->tried->len < (guint)f->route->attempts;
}

void forward_wait(struct forward *f)
{
	f->state = FORWARD_WAITS;
	if (f->lane)
		return;
	f->lane_ms = gate_now(f->g);
	lane_add(go_on_lane(f), f);
}

void forward_again(struct forward *f, bool not_run, const char *why)
{
	struct gate *g = f->g;

	forward_leave(f);
	f->why = why;
	f->unknown |= !not_run;
	log_info("send_failed",
		 "request=%s endpoint=%s version=%s after=%" PRId64
		 " not_run=%d why=\"%s\" ms=%" PRId64,
		 f->id, f->ep_id, f->version, f->events.last_id, not_run, why,
		 gate_now(g) - f->sent_ms);
	if (!not_run && !(repeatable(f) && sends_left(f))) {
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
		else if (f->unknown)
			forward_refuse(f, 504, "deadline", why, 0);
		else
			forward_refuse(f, 503, "deadline", why,
				       come_back_ms(f));
		return;
	}
	forward_wait(f);
	forward_try(f);
}

/* Sending. */

static void send_to(struct forward *f, struct gate_ep *ep)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g);
	struct platform_send s = { .deadline_ms = f->deadline_ms - now,
				   .instance = ss_str(ep->self.id),
				   .priority = MIN(forward_priority(f), 9),
				   .keyed = f->keyed,
				   .customer = ss_str(forward_customer(f)),
				   .after_event = f->is_events ?
							  f->events.last_id :
							  f->call.after_event };
	const struct http1_head *h = caller_call_head(f->caller);
	struct upstream_request r = {
		.addr = ep->addr,
		.bytes = g_string_sized_new(1024),
		.no_body = http1_name_is(h->method, "HEAD"),
		.rest_max_ms = repeatable(f) ? REST_SAFE_MS : REST_ONCE_MS,
		.ops = &forward_upstream_ops,
		.arg = f
	};

	g->o.platform->write_request(r.bytes, h, &s, f->body.n);
	g_string_append_len(r.bytes, f->body.p, (gssize)f->body.n);
	f->state = FORWARD_SENT;
	f->sent_ms = now;
	f->limit_per_s = ep->words.limit.per_s;
	gate_words_sent(g, ep, now);
	f->permits = 0;
	f->mark = (struct pace_mark){ 0 };
	if (g->end_ms)
		f->stop_left_ms = g->end_ms - now;
	if (f->waited_ms < 0) {
		f->waited_ms = now - f->start_ms;
		turns_served(f);
	}
	f->sends++;
	g_free(f->ep_id);
	f->ep_id = g_strdup(ep->self.id);
	g_free(f->version);
	f->version = g_strdup(fleet_version(&ep->self));
	go_on_note(f, ep);
	g_ptr_array_add(f->tried, fleet_incarnation_dup(&ep->self));
	ss_breaker_sent(&ep->breaker);
	f->up = upstream_send(g->upstream, &r);
}

/* Nothing reached the endpoint: it doesn't count as sent to. */
static void unsend(struct forward *f)
{
	if (f->tried->len)
		g_ptr_array_remove_index(f->tried, f->tried->len - 1);
	f->sends--;
}

void forward_not_sent(struct forward *f)
{
	struct gate_ep *ep = gate_ep_of(f);

	unsend(f);
	forward_return_retry(f);
	if (ep) {
		gate_ep_note(f->g, ep, true);
		ep->shut_until_ms = gate_now(f->g) + CONNECT_AGAIN_MS;
	}
	forward_again(f, true, "no connection");
}

static void ask_adapter(struct forward *f, struct gate_ep *ep)
{
	struct gate *g = f->g;
	struct msg_adapter m = { .sub = ++g->ticket,
				 .model = ss_str(f->model),
				 .adapter = ss_str(f->adapter),
				 .endpoint = ss_str(ep->addr),
				 .wait_ms = g->o.adapter_wait_ms };

	f->ticket = m.sub;
	f->state = FORWARD_ADAPTER;
	f->sent_ms = gate_now(g);
	f->asks++;
	(*g->n_adapters)++;
	g_hash_table_insert(g->tickets, &f->ticket, f);
	if (!g->o.ops->need_adapter(g->o.arg, ep->agent, &m))
		forward_adapter(f, SS_ERROR_UNAVAILABLE,
				SS_LIT("its agent can't be reached"));
}

static void take_place(struct forward *f, struct gate_ep *ep)
{
	f->ep_addr = g_strdup(ep->addr);
	f->ep_life = ep->life;
	gate_ep_begin(ep, f->model);
	gate_start_begin(f, ep);
	if (f->lane)
		lane_take(f);
}

void forward_refuse_for_stop(struct forward *f)
{
	if (f->unknown)
		forward_refuse(f, 502, "lost",
			       "this process ends before the answer would", 0);
	else
		forward_refuse(f, 503, "draining",
			       "this process ends before the answer would",
			       BACK_MIN_MS + spread_ms(f));
}

bool forward_try(struct forward *f)
{
	enum balance_none none = BALANCE_NOBODY;
	struct gate_ep *ep;

	if (times_stop_cuts(f, NULL)) {
		forward_refuse_for_stop(f);
		return true;
	}
	if (quarantine_stops(f))
		return true;
	ep = gate_choose(f->g, f, &none);
	if (!ep) {
		f->held_for = held_for(f, none);
		return false;
	}
	if (times_stop_cuts(f, ep)) {
		gate_limit_unused(f, ep);
		forward_refuse_for_stop(f);
		return true;
	}
	/* Only a first send is free; every other one is a retry. */
	if (f->sends > 0 && !forward_take_retry(f)) {
		gate_limit_unused(f, ep);
		if (f->started)
			forward_end(f, false, "the retry budget is used up");
		else if (f->unknown)
			forward_refuse(f, 502, "lost",
				       "the retry budget is used up", 0);
		else
			forward_refuse(f, 503, "overload",
				       "the retry budget is used up",
				       come_back_ms(f));
		return true;
	}
	take_place(f, ep);
	if (!gate_ep_has_adapter(ep, f->model, f->adapter) && *f->adapter)
		ask_adapter(f, ep);
	else
		send_to(f, ep);
	return true;
}

/* Much may have changed while the adapter was loaded. */
static void send_with_adapter(struct forward *f, struct gate_ep *ep)
{
	if (times_stop_cuts(f, ep)) {
		forward_refuse_for_stop(f);
	} else if (quarantine_stops(f)) {
		return;
	} else if (ep->known && !ep->leaving && gate_words_admit(f->g, ep)) {
		send_to(f, ep);
	} else {
		forward_leave(f);
		forward_wait(f);
		forward_try(f);
	}
}

void forward_adapter(struct forward *f, int64_t code, struct ss_str text)
{
	struct gate_ep *ep = gate_ep_of(f);
	int64_t now = gate_now(f->g);

	g_hash_table_remove(f->g->tickets, &f->ticket);
	f->state = FORWARD_WAITS;
	if (code == 0 && ep) {
		gate_ep_add_adapter(ep, f->model, f->adapter);
		send_with_adapter(f, ep);
		return;
	}
	log_info("adapter_failed",
		 "request=%s endpoint=%s model=%s adapter=%s why=\"%.*s\" "
		 "ms=%" PRId64,
		 f->id, f->ep_addr, f->model, f->adapter, SS_FMT(text),
		 now - f->sent_ms);
	if (ep && code == SS_ERROR_UNKNOWN_MODEL)
		gate_ep_lacks(ep, f->model, "");
	forward_leave(f);
	if (f->asks >= ADAPTER_ASKS ||
	    f->deadline_ms - now < times_first_ms(f)) {
		forward_refuse(f, f->unknown ? 502 : 503, "unavailable",
			       "its adapter can't be loaded",
			       f->unknown ? 0 : come_back_ms(f));
		return;
	}
	forward_wait(f);
	/* Not from here: the agent just failed, the next pump tries again. */
}

/*
 * An engine whose VM stands still refuses nothing: its callers just leave, its
 * last report grows old, and without calls it passes for the emptiest. On a day
 * with engines that stood still for 3 s, 44 streams were sent to one within 2 s
 * and nobody was served.
 */
static bool left_in_silence(const struct forward *f)
{
	double silent = (double)(gate_now(f->g) - f->sent_ms);

	return f->state == FORWARD_SENT && f->route->kind == ROUTE_STREAM &&
	       silent > (double)f->g->o.patience.ms * SILENT_SHARE;
}

void forward_gone(struct forward *f)
{
	struct gate *g = f->g;
	char *service = g_strdup(f->service->name);
	struct gate_ep *ep = gate_ep_of(f);

	if (ep && left_in_silence(f))
		gate_ep_note(g, ep, true);
	(*g->n_gone)++;
	f->why = states[f->state];
	record(f, "caller_left");
	if (f->lane)
		lane_remove(f);
	forward_leave(f);
	forward_free(f);
	gate_pump(g, service);
	g_free(service);
}

/* Time. */

/* True where it is known that it can't be begun in time. */
static bool is_hopeless(const struct forward *f, int64_t now)
{
	const struct lane *l = f->lane;
	int64_t whole = f->begin_by_ms - f->start_ms;
	int64_t first = times_first_ms(f);

	if (now + first > f->begin_by_ms)
		return true;
	/* A model may come to another engine before one admits it. */
	if (!*f->model)
		return f->open_ms + first > f->begin_by_ms;
	if (l->eta_ms != SS_NEVER)
		return MAX(l->eta_ms, now) + first > f->begin_by_ms;
	return (double)(now - f->start_ms) > (double)whole * NO_ETA_SHARE;
}

int64_t forward_latest_ms(const struct forward *f)
{
	double whole = (double)(f->begin_by_ms - f->start_ms);
	int64_t first = times_first_ms(f);

	if (f->started)
		return f->deadline_ms - first;
	if (!*f->model || f->lane->eta_ms != SS_NEVER)
		return f->begin_by_ms - first;
	return MIN(f->begin_by_ms - first,
		   f->start_ms + (int64_t)(whole * NO_ETA_SHARE));
}

static void tick_waits(struct forward *f, int64_t now)
{
	if (f->started) {
		if (go_on_hopeless(f))
			forward_end(f, false, "its version is gone");
		else if (now >= f->deadline_ms)
			forward_end(f, false, "nobody could resume it");
	} else if (times_stop_cuts(f, NULL)) {
		forward_refuse_for_stop(f);
	} else if (go_on_hopeless(f)) {
		forward_refuse(f, f->unknown ? 502 : 503, "unavailable",
			       "its version is gone",
			       f->unknown ? 0 : come_back_ms(f));
	} else if (is_hopeless(f, now)) {
		forward_refuse(f, f->unknown ? 502 : 503, "unavailable",
			       "it can't be begun in time",
			       f->unknown ? 0 : come_back_ms(f));
	} else if (gate_start_wait_over(f, now)) {
		forward_try(f);
	}
}

static void tick_quota(struct forward *f, int64_t now)
{
	if (times_stop_cuts(f, NULL))
		forward_refuse_for_stop(f);
	else if (now + times_first_ms(f) > f->begin_by_ms)
		forward_refuse(f, 503, "unavailable",
			       "its customer's allotment came too late",
			       BACK_MIN_MS + spread_ms(f));
}

static void tick_adapter(struct forward *f, int64_t now)
{
	if (times_stop_cuts(f, gate_ep_of(f)))
		forward_refuse_for_stop(f);
	else if (now >= f->deadline_ms)
		forward_refuse(f, f->unknown ? 504 : 503, "deadline",
			       "its adapter came too late",
			       f->unknown ? 0 : come_back_ms(f));
	else if (now - f->sent_ms > f->g->o.adapter_wait_ms + ADAPTER_LATE_MS)
		forward_adapter(f, SS_ERROR_UNAVAILABLE,
				SS_LIT("its agent says nothing"));
}

/* What its caller is slow to read may still lie in the connection, and who
 * can't be sent again has nothing to gain by giving up early. */
static bool is_lost(const struct forward *f, int64_t now)
{
	return f->lost_ms && now >= f->lost_ms && !f->paused && repeatable(f) &&
	       sends_left(f);
}

void forward_tick(struct forward *f, int64_t now)
{
	if (f->state == FORWARD_QUOTA) {
		tick_quota(f, now);
	} else if (f->state == FORWARD_WAITS) {
		tick_waits(f, now);
	} else if (f->state == FORWARD_LOOKS) {
		go_on_tick(f, now);
	} else if (f->state == FORWARD_ASKS) {
		quarantine_ask_tick(f, now);
	} else if (f->state == FORWARD_ADAPTER) {
		tick_adapter(f, now);
	} else if (is_lost(f, now)) {
		if (f->is_events)
			events_resume(&f->events);
		forward_again(f, false, "the endpoint has restarted");
	} else if (now < f->deadline_ms) {
		return;
	} else if (f->started) {
		forward_end(f, false, "the time is up");
	} else {
		forward_refuse(f, 504, "deadline", "the time is up", 0);
	}
}

void forward_give_up(struct forward *f)
{
	if (f->started)
		forward_end(f, false, "this process ends");
	else if (f->state <= FORWARD_ADAPTER && !f->unknown)
		forward_refuse(f, 503, "draining", "this process ends",
			       BACK_MIN_MS);
	else
		forward_refuse(f, 502, "lost", "this process ends", 0);
}
