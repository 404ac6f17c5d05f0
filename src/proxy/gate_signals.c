/*
 * Signals of endpoints: what they state in their answers. These are a rate
 * limit, for which each request needs a grant, a backoff, and draining. An
 * endpoint whose signals are ignored fails the requests that it is serving and
 * rejects new ones.
 */
#include "gate_int.h"

#include "../base/log.h"

/* A signal that the leader doesn't have is reported again at this interval, as
 * the leader may not know the endpoint yet. */
#define RESEND_INTERVAL_MS 1000
/* A limit that answers keep stating is reported at this interval, as it
 * expires at the leader ten seconds after the last report. */
#define REFRESH_INTERVAL_MS 4000
/* The signals of an endpoint that is no longer listed are kept this long, as a
 * new leader may have sent only a part of its list. */
#define UNLISTED_KEEP_MS 60000
/* The answer to the first request after a backoff is awaited this long, which
 * is longer than an engine with spare capacity takes to begin one. */
#define PROBE_TIMEOUT_MS 1000
/* A reservation that no request has renewed for this long is released: its
 * request has found another endpoint, or its caller has left. */
#define RESERVATION_TTL_MS 300

static void log_limit(const struct gate_ep *ep, double before, const char *by)
{
	log_info("endpoint_limit", "addr=%s id=%s per_s=%.3f before=%.3f by=%s",
		 ep->addr, ep->self.id, ep->words.limit.per_s, before, by);
}

static void receive_limit(struct forward *f, struct gate_ep *ep,
			  const struct platform_answer *a)
{
	double before = ep->words.limit.per_s;
	struct gate *g = f->g;

	/* A missing limit means that it is over only in a signed answer to a
	 * request that was sent under the limit. Other answers may be older, or
	 * not the endpoint's own. */
	if (a->limit_per_s < 0 && (f->limit_per_s < 0 || !a->authentic))
		return;
	ep->words.limit_heard_ms = gate_now(g);
	if (!endpoint_limit_update(&ep->words.limit, a->limit_per_s,
				   gate_now(g)))
		return;
	log_limit(ep, before, "answer");
	ep->words.limit_owed = true;
	ep->words.limit_told_ms = 0;
	g->o.ops->demand(g->o.arg);
}

/*
 * If the leader states another limit than is known here, it hasn't received
 * that one yet, or is new: the entry that reported it to the previous leader
 * may have stopped. Then it is reported again.
 */
void gate_limit_told(struct gate *g, struct gate_ep *ep, int64_t limit,
		     int64_t age)
{
	double before = ep->words.limit.per_s;

	if (endpoint_limit_received(&ep->words.limit, limit, age, gate_now(g)))
		log_limit(ep, before, "leader");
	ep->words.limit_owed = endpoint_limit_wire(&ep->words.limit) != limit;
}

static void receive_backoff(struct gate *g, struct gate_ep *ep,
			    const struct platform_answer *a)
{
	int64_t now = gate_now(g);

	ep->words.trial_ms = 0;
	if (!a->backoff_ms) {
		if (now >= ep->words.rest_until_ms)
			ep->words.rest_until_ms = 0;
		return;
	}
	(*g->n_rests)++;
	log_info("endpoint_asks_rest",
		 "addr=%s id=%s ms=%" PRId64 " left_before=%" PRId64, ep->addr,
		 ep->self.id, a->backoff_ms,
		 MAX(ep->words.rest_until_ms - now, 0));
	ep->words.rest_until_ms =
		MAX(ep->words.rest_until_ms, now + a->backoff_ms);
	ep->words.rest_told = false;
	g->o.ops->demand(g->o.arg);
}

/* Draining isn't revoked: only another incarnation is called again. */
static void receive_draining(struct gate *g, struct gate_ep *ep)
{
	if (ep->words.leaving_ms)
		return;
	log_info("endpoint_leaving", "addr=%s id=%s", ep->addr, ep->self.id);
	ep->words.leaving_ms = gate_now(g);
	ep->words.leaving_told_ms = 0;
	g->o.ops->demand(g->o.arg);
}

void gate_words_heard(struct forward *f, struct gate_ep *ep,
		      const struct platform_answer *a)
{
	receive_limit(f, ep, a);
	receive_backoff(f->g, ep, a);
	if (a->draining)
		receive_draining(f->g, ep);
}

bool gate_words_hold(const struct gate *g, const struct gate_ep *ep)
{
	int64_t now = gate_now(g);

	return now < ep->words.rest_until_ms ||
	       (ep->words.leaving_ms &&
		now - ep->words.leaving_ms < UNLISTED_KEEP_MS) ||
	       (ep->words.limit.per_s >= 0 &&
		now - ep->words.limit.signal_ms < UNLISTED_KEEP_MS);
}

bool gate_words_admit(const struct gate *g, const struct gate_ep *ep)
{
	const struct gate_words *w = &ep->words;
	int64_t now = gate_now(g);

	return !w->leaving_ms && now >= w->rest_until_ms &&
	       (!w->trial_ms || now - w->trial_ms >= PROBE_TIMEOUT_MS);
}

/* After a backoff one request goes first as a probe. If all the
 * waiting ones were sent, they would be rejected together, at the cost of a
 * retry each. */
void gate_words_sent(struct gate *g, struct gate_ep *ep, int64_t now)
{
	*g->n_limited += ep->words.limit.per_s >= 0;
	*g->n_sent_resting += now < ep->words.rest_until_ms;
	*g->n_sent_leaving += ep->words.leaving_ms != 0;
	if (ep->words.rest_until_ms && now >= ep->words.rest_until_ms)
		ep->words.trial_ms = now;
}

static void release_reservation(struct gate *g, struct gate_ep *ep)
{
	struct customer c =
		endpoint_limit_as_customer(&ep->words.limit, ep->addr);

	if (ep->words.seat > 0)
		quota_lease.cancel(g->limits, &c, ep->words.seat);
	ep->words.seat = 0;
}

void gate_words_reset(struct gate *g, struct gate_ep *ep)
{
	release_reservation(g, ep);
	ep->words = (struct gate_words){
		.limit = { .per_s = ENDPOINT_LIMIT_NONE }
	};
}

/* An adapter that has to be loaded first costs a second request. */
static double request_cost(const struct forward *f, const struct gate_ep *ep)
{
	bool loads_adapter = *f->adapter &&
			     !gate_ep_has_adapter(ep, f->model, f->adapter);

	return loads_adapter ? 2 : 1;
}

/*
 * All requests that wait for the endpoint share one reservation: they are of
 * several model queues, and the first to ask after a grant has come uses it.
 */
bool gate_limit_admits(struct forward *f, struct gate_ep *ep)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g), retry_after_ms = 0;
	struct quota_need need = { .hold_ms = f->begin_by_ms - now };
	struct customer c;

	if (ep->words.limit.per_s < 0)
		return true;
	if (now < ep->words.permit_ms)
		return false;
	need.cost = request_cost(f, ep);
	/* A reservation has a fixed cost; this request may need another. */
	if (ep->words.seat > 0 && ep->words.seat != need.cost)
		release_reservation(g, ep);
	need.queued = ep->words.seat > 0;
	ep->words.seat = 0;
	c = endpoint_limit_as_customer(&ep->words.limit, ep->addr);
	switch (quota_lease.take(g->limits, &c, &need, now, &retry_after_ms)) {
	case QUOTA_ADMIT:
		f->permits = need.cost;
		return true;
	case QUOTA_WAIT:
		ep->words.seat = need.cost;
		ep->words.seat_ms = now;
		return false;
	case QUOTA_REFUSE:
		break;
	}
	ep->words.permit_ms = now + retry_after_ms;
	return false;
}

void gate_limit_unused(struct forward *f, struct gate_ep *ep)
{
	struct customer c =
		endpoint_limit_as_customer(&ep->words.limit, ep->addr);

	if (f->permits > 0)
		quota_lease.refund(f->g->limits, &c, f->permits,
				   &(struct quota_rank){ 0 }, gate_now(f->g));
	f->permits = 0;
}

void gate_limits_tick(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - g->seats_ms < RESERVATION_TTL_MS)
		return;
	g->seats_ms = now;
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct gate_ep *ep = p;

		if (ep->words.seat > 0 &&
		    now - ep->words.seat_ms > RESERVATION_TTL_MS)
			release_reservation(g, ep);
	}
}

static bool resend_is_due(int64_t reported_ms, int64_t now)
{
	return !reported_ms || now - reported_ms >= RESEND_INTERVAL_MS;
}

static bool limit_report_is_due(const struct gate_ep *ep, int64_t now)
{
	bool refresh = ep->words.limit.per_s >= 0 &&
		       ep->words.limit_heard_ms > ep->words.limit_told_ms &&
		       now - ep->words.limit_told_ms >= REFRESH_INTERVAL_MS;

	return refresh || (ep->words.limit_owed &&
			   resend_is_due(ep->words.limit_told_ms, now));
}

void gate_words_report(struct gate *g, struct gate_ep *ep, GArray *signals)
{
	int64_t now = gate_now(g);
	struct gate_words *x = &ep->words;
	bool limit = limit_report_is_due(ep, now);
	bool backoff = now < x->rest_until_ms && !x->rest_told;
	/* Until the leader lists it as draining, too. */
	bool draining = x->leaving_ms && ep->known && !ep->leaving &&
			resend_is_due(x->leaving_told_ms, now);
	struct endpoint_signals w = { 0 };

	if (!limit && !backoff && !draining)
		return;
	w.addr = ss_str(ep->addr);
	w.id = ss_str(ep->self.id);
	w.started_ms = ep->self.started_ms;
	w.backoff_ms = MAX(x->rest_until_ms - now, 0);
	x->rest_told = true;
	if (draining) {
		w.draining = true;
		x->leaving_told_ms = now;
	}
	if (limit) {
		w.limit = endpoint_limit_wire(&x->limit);
		w.limit_age = endpoint_limit_wire_age(&x->limit, now);
		x->limit_told_ms = now;
	}
	g_array_append_val(signals, w);
}

void gate_limit_asks(struct gate *g, GArray *out)
{
	quota_lease.clients_requests(g->limits, gate_now(g), out);
}

void gate_take_limit(struct gate *g, const struct msg_quota_reply *m)
{
	const struct quota_reply *w = m->replies.items;

	for (size_t i = 0; i < m->replies.n; i++)
		quota_lease.clients_reply(g->limits, &w[i], gate_now(g));
	gate_dispatch(g, NULL);
}
