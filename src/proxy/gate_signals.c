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
		 ep->addr, ep->self.id, ep->signals.limit.per_s, before, by);
}

static void receive_limit(struct forward *f, struct gate_ep *ep,
			  const struct platform_answer *a)
{
	double before = ep->signals.limit.per_s;
	struct gate *g = f->g;

	/* An answer without a limit ends the limit only if it is signed, and
	 * its request was sent under the limit. Other answers may be older, or
	 * not the endpoint's own. */
	if (a->limit_per_s < 0 && (f->limit_per_s < 0 || !a->authentic))
		return;
	ep->signals.limit_received_ms = gate_now(g);
	if (!endpoint_limit_update(&ep->signals.limit, a->limit_per_s,
				   gate_now(g)))
		return;
	log_limit(ep, before, "answer");
	ep->signals.limit_unreported = true;
	ep->signals.limit_reported_ms = 0;
	g->o.ops->demand_changed(g->o.arg);
}

/*
 * A leader that states another limit than is known here hasn't received that
 * one yet, or is new, and the entry that reported it to the previous leader may
 * have stopped. So the limit is reported again.
 */
void gate_limit_received(struct gate *g, struct gate_ep *ep, int64_t limit,
			 int64_t age)
{
	double before = ep->signals.limit.per_s;

	if (endpoint_limit_received(&ep->signals.limit, limit, age,
				    gate_now(g)))
		log_limit(ep, before, "leader");
	ep->signals.limit_unreported =
		endpoint_limit_wire(&ep->signals.limit) != limit;
}

static void receive_backoff(struct gate *g, struct gate_ep *ep,
			    const struct platform_answer *a)
{
	int64_t now = gate_now(g);

	ep->signals.probe_ms = 0;
	if (!a->backoff_ms) {
		if (now >= ep->signals.backoff_until_ms)
			ep->signals.backoff_until_ms = 0;
		return;
	}
	(*g->n_backoffs)++;
	log_info("endpoint_asks_rest",
		 "addr=%s id=%s ms=%" PRId64 " left_before=%" PRId64, ep->addr,
		 ep->self.id, a->backoff_ms,
		 MAX(ep->signals.backoff_until_ms - now, 0));
	ep->signals.backoff_until_ms =
		MAX(ep->signals.backoff_until_ms, now + a->backoff_ms);
	ep->signals.backoff_reported = false;
	g->o.ops->demand_changed(g->o.arg);
}

/* Draining isn't revoked: only another incarnation is called again. */
static void receive_draining(struct gate *g, struct gate_ep *ep)
{
	if (ep->signals.draining_ms)
		return;
	log_info("endpoint_leaving", "addr=%s id=%s", ep->addr, ep->self.id);
	ep->signals.draining_ms = gate_now(g);
	ep->signals.draining_reported_ms = 0;
	g->o.ops->demand_changed(g->o.arg);
}

void gate_signals_received(struct forward *f, struct gate_ep *ep,
			   const struct platform_answer *a)
{
	receive_limit(f, ep, a);
	receive_backoff(f->g, ep, a);
	if (a->draining)
		receive_draining(f->g, ep);
}

bool gate_signals_in_force(const struct gate *g, const struct gate_ep *ep)
{
	int64_t now = gate_now(g);

	return now < ep->signals.backoff_until_ms ||
	       (ep->signals.draining_ms &&
		now - ep->signals.draining_ms < UNLISTED_KEEP_MS) ||
	       (ep->signals.limit.per_s >= 0 &&
		now - ep->signals.limit.signal_ms < UNLISTED_KEEP_MS);
}

bool gate_signals_admit(const struct gate *g, const struct gate_ep *ep)
{
	const struct gate_signals *w = &ep->signals;
	int64_t now = gate_now(g);

	return !w->draining_ms && now >= w->backoff_until_ms &&
	       (!w->probe_ms || now - w->probe_ms >= PROBE_TIMEOUT_MS);
}

/* After a backoff one request is sent first, as a probe. If all waiting
 * requests were sent, they could all be rejected and cost a retry each. */
void gate_signals_on_send(struct gate *g, struct gate_ep *ep, int64_t now)
{
	*g->n_limited += ep->signals.limit.per_s >= 0;
	*g->n_sent_in_backoff += now < ep->signals.backoff_until_ms;
	*g->n_sent_draining += ep->signals.draining_ms != 0;
	if (ep->signals.backoff_until_ms && now >= ep->signals.backoff_until_ms)
		ep->signals.probe_ms = now;
}

static void release_reservation(struct gate *g, struct gate_ep *ep)
{
	struct customer c =
		endpoint_limit_as_customer(&ep->signals.limit, ep->addr);

	if (ep->signals.reserved > 0)
		quota_lease.cancel(g->limit_client, &c, ep->signals.reserved);
	ep->signals.reserved = 0;
}

void gate_signals_reset(struct gate *g, struct gate_ep *ep)
{
	release_reservation(g, ep);
	ep->signals = (struct gate_signals){
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
 * All requests that wait for the endpoint share one reservation, as they are in
 * several model queues. The first that is tried after a grant came uses it.
 */
bool gate_limit_admits(struct forward *f, struct gate_ep *ep)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g), retry_after_ms = 0;
	struct quota_need need = { .hold_ms = f->begin_by_ms - now };
	struct customer c;

	if (ep->signals.limit.per_s < 0)
		return true;
	if (now < ep->signals.next_grant_ms)
		return false;
	need.cost = request_cost(f, ep);
	/* A reservation has a fixed cost; this request may need another. */
	if (ep->signals.reserved > 0 && ep->signals.reserved != need.cost)
		release_reservation(g, ep);
	need.queued = ep->signals.reserved > 0;
	ep->signals.reserved = 0;
	c = endpoint_limit_as_customer(&ep->signals.limit, ep->addr);
	switch (quota_lease.take(g->limit_client, &c, &need, now,
				 &retry_after_ms)) {
	case QUOTA_ADMIT:
		f->grants = need.cost;
		return true;
	case QUOTA_WAIT:
		ep->signals.reserved = need.cost;
		ep->signals.reserved_ms = now;
		return false;
	case QUOTA_REFUSE:
		break;
	}
	ep->signals.next_grant_ms = now + retry_after_ms;
	return false;
}

void gate_limit_release(struct forward *f, struct gate_ep *ep)
{
	struct customer c =
		endpoint_limit_as_customer(&ep->signals.limit, ep->addr);

	if (f->grants > 0)
		quota_lease.refund(f->g->limit_client, &c, f->grants,
				   &(struct quota_rank){ 0 }, gate_now(f->g));
	f->grants = 0;
}

void gate_limits_tick(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - g->reservations_ms < RESERVATION_TTL_MS)
		return;
	g->reservations_ms = now;
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct gate_ep *ep = p;

		if (ep->signals.reserved > 0 &&
		    now - ep->signals.reserved_ms > RESERVATION_TTL_MS)
			release_reservation(g, ep);
	}
}

static bool resend_is_due(int64_t reported_ms, int64_t now)
{
	return !reported_ms || now - reported_ms >= RESEND_INTERVAL_MS;
}

static bool limit_report_is_due(const struct gate_ep *ep, int64_t now)
{
	bool refresh =
		ep->signals.limit.per_s >= 0 &&
		ep->signals.limit_received_ms > ep->signals.limit_reported_ms &&
		now - ep->signals.limit_reported_ms >= REFRESH_INTERVAL_MS;

	return refresh || (ep->signals.limit_unreported &&
			   resend_is_due(ep->signals.limit_reported_ms, now));
}

void gate_signals_report(struct gate *g, struct gate_ep *ep, GArray *signals)
{
	int64_t now = gate_now(g);
	struct gate_signals *x = &ep->signals;
	bool limit = limit_report_is_due(ep, now);
	bool backoff = now < x->backoff_until_ms && !x->backoff_reported;
	/* Draining is reported until the leader lists it, too. */
	bool draining = x->draining_ms && ep->known && !ep->draining &&
			resend_is_due(x->draining_reported_ms, now);
	struct endpoint_signals w = { 0 };

	if (!limit && !backoff && !draining)
		return;
	w.addr = ss_str(ep->addr);
	w.id = ss_str(ep->self.id);
	w.started_ms = ep->self.started_ms;
	w.backoff_ms = MAX(x->backoff_until_ms - now, 0);
	x->backoff_reported = true;
	if (draining) {
		w.draining = true;
		x->draining_reported_ms = now;
	}
	if (limit) {
		w.limit = endpoint_limit_wire(&x->limit);
		w.limit_age = endpoint_limit_wire_age(&x->limit, now);
		x->limit_reported_ms = now;
	}
	g_array_append_val(signals, w);
}

void gate_limit_requests(struct gate *g, GArray *out)
{
	quota_lease.clients_requests(g->limit_client, gate_now(g), out);
}

void gate_limit_reply_received(struct gate *g, const struct msg_quota_reply *m)
{
	const struct quota_reply *w = m->replies.items;

	for (size_t i = 0; i < m->replies.n; i++)
		quota_lease.clients_reply(g->limit_client, &w[i], gate_now(g));
	gate_dispatch(g, NULL);
}
