/*
 * What endpoints say of themselves in answers: a limit, for which a request
 * needs a permit, a rest, or that they leave. An endpoint that isn't heeded
 * fails those who are served there, and turns away whoever is sent all the
 * same.
 */
#include "gate_int.h"

#include "../base/log.h"

/* A word that the leader doesn't have is told again this often, in ms: it may
 * not know the endpoint yet. */
#define AGAIN_MS 1000
/* A limit that answers go on naming is told this often, in ms: the leader takes
 * a word of ten seconds ago for over. */
#define REPEAT_MS 4000
/* An endpoint that is no longer listed is remembered with its word for so
 * long, in ms: a leader may just have begun with a list in parts. */
#define UNLISTED_MS 60000
/* The first after a rest is waited for so long, in ms: longer than an engine
 * that isn't at its end takes to begin. */
#define TRIAL_MS 1000
/* Whoever asked for a permit and isn't heard of for so long, in ms, has found
 * another endpoint, or left. */
#define SEAT_MS 300

static void log_limit(const struct gate_ep *ep, double before, const char *by)
{
	log_info("endpoint_limit", "addr=%s id=%s per_s=%.3f before=%.3f by=%s",
		 ep->addr, ep->self.id, ep->words.limit.per_s, before, by);
}

static void hear_limit(struct forward *f, struct gate_ep *ep,
		       const struct platform_answer *a)
{
	double before = ep->words.limit.per_s;
	struct gate *g = f->g;

	/* Only a signed answer to what was sent in spite of a limit says that
	 * it is over: others may be of before, or not the endpoint's own. */
	if (a->limit_per_s < 0 && (f->limit_per_s < 0 || !a->authentic))
		return;
	ep->words.limit_heard_ms = gate_now(g);
	if (!endpoint_limit_say(&ep->words.limit, a->limit_per_s, gate_now(g)))
		return;
	log_limit(ep, before, "answer");
	ep->words.limit_owed = true;
	ep->words.limit_told_ms = 0;
	g->o.ops->demand(g->o.arg);
}

/*
 * Where the leader says something else than is known here, it hasn't heard of
 * it yet, or has just begun: whoever told the one before may have ended.
 */
void gate_limit_told(struct gate *g, struct gate_ep *ep, int64_t limit,
		     int64_t age)
{
	double before = ep->words.limit.per_s;

	if (endpoint_limit_told(&ep->words.limit, limit, age, gate_now(g)))
		log_limit(ep, before, "leader");
	ep->words.limit_owed = endpoint_limit_wire(&ep->words.limit) != limit;
}

static void hear_rest(struct gate *g, struct gate_ep *ep,
		      const struct platform_answer *a)
{
	int64_t now = gate_now(g);

	ep->words.trial_ms = 0;
	if (!a->rest_ms) {
		if (now >= ep->words.rest_until_ms)
			ep->words.rest_until_ms = 0;
		return;
	}
	(*g->n_rests)++;
	log_info("endpoint_asks_rest",
		 "addr=%s id=%s ms=%" PRId64 " left_before=%" PRId64, ep->addr,
		 ep->self.id, a->rest_ms,
		 MAX(ep->words.rest_until_ms - now, 0));
	ep->words.rest_until_ms =
		MAX(ep->words.rest_until_ms, now + a->rest_ms);
	ep->words.rest_told = false;
	g->o.ops->demand(g->o.arg);
}

/* What leaves doesn't stay after all: only another incarnation is called. */
static void hear_leaving(struct gate *g, struct gate_ep *ep)
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
	hear_limit(f, ep, a);
	hear_rest(f->g, ep, a);
	if (a->leaving)
		hear_leaving(f->g, ep);
}

bool gate_words_hold(const struct gate *g, const struct gate_ep *ep)
{
	int64_t now = gate_now(g);

	return now < ep->words.rest_until_ms ||
	       (ep->words.leaving_ms &&
		now - ep->words.leaving_ms < UNLISTED_MS) ||
	       (ep->words.limit.per_s >= 0 &&
		now - ep->words.limit.said_ms < UNLISTED_MS);
}

bool gate_words_admit(const struct gate *g, const struct gate_ep *ep)
{
	const struct gate_words *w = &ep->words;
	int64_t now = gate_now(g);

	return !w->leaving_ms && now >= w->rest_until_ms &&
	       (!w->trial_ms || now - w->trial_ms >= TRIAL_MS);
}

/* After a rest one goes first: those that waited for its end would be turned
 * away together, at a retry each. */
void gate_words_sent(struct gate *g, struct gate_ep *ep, int64_t now)
{
	*g->n_limited += ep->words.limit.per_s >= 0;
	*g->n_sent_resting += now < ep->words.rest_until_ms;
	*g->n_sent_leaving += ep->words.leaving_ms != 0;
	if (ep->words.rest_until_ms && now >= ep->words.rest_until_ms)
		ep->words.trial_ms = now;
}

static void leave_seat(struct gate *g, struct gate_ep *ep)
{
	struct customer c = endpoint_limit_account(&ep->words.limit, ep->addr);

	if (ep->words.seat > 0)
		quota_lease.leave(g->limits, &c, ep->words.seat);
	ep->words.seat = 0;
}

void gate_words_reset(struct gate *g, struct gate_ep *ep)
{
	leave_seat(g, ep);
	ep->words = (struct gate_words){
		.limit = { .per_s = ENDPOINT_LIMIT_NONE }
	};
}

/* An adapter that has to be loaded first is one request more. */
static double cost_of(const struct forward *f, const struct gate_ep *ep)
{
	bool asks = *f->adapter &&
		    !gate_ep_has_adapter(ep, f->model, f->adapter);

	return asks ? 2 : 1;
}

/*
 * One seat for all that wait here: they are of several lanes, and whoever is
 * first when a permit comes takes it.
 */
bool gate_limit_admits(struct forward *f, struct gate_ep *ep)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g), back_ms = 0;
	struct quota_need need = { .hold_ms = f->begin_by_ms - now };
	struct customer c;

	if (ep->words.limit.per_s < 0)
		return true;
	if (now < ep->words.permit_ms)
		return false;
	need.cost = cost_of(f, ep);
	/* Seats are of one size; this one may need another. */
	if (ep->words.seat > 0 && ep->words.seat != need.cost)
		leave_seat(g, ep);
	need.waits = ep->words.seat > 0;
	ep->words.seat = 0;
	c = endpoint_limit_account(&ep->words.limit, ep->addr);
	switch (quota_lease.take(g->limits, &c, &need, now, &back_ms)) {
	case QUOTA_YES:
		f->permits = need.cost;
		return true;
	case QUOTA_WAIT:
		ep->words.seat = need.cost;
		ep->words.seat_ms = now;
		return false;
	case QUOTA_NO:
		break;
	}
	ep->words.permit_ms = now + back_ms;
	return false;
}

void gate_limit_unused(struct forward *f, struct gate_ep *ep)
{
	struct customer c = endpoint_limit_account(&ep->words.limit, ep->addr);

	if (f->permits > 0)
		quota_lease.give_back(f->g->limits, &c, f->permits,
				      &(struct quota_rank){ 0 },
				      gate_now(f->g));
	f->permits = 0;
}

void gate_limits_tick(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - g->seats_ms < SEAT_MS)
		return;
	g->seats_ms = now;
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct gate_ep *ep = p;

		if (ep->words.seat > 0 && now - ep->words.seat_ms > SEAT_MS)
			leave_seat(g, ep);
	}
}

static bool is_due(int64_t told_ms, int64_t now)
{
	return !told_ms || now - told_ms >= AGAIN_MS;
}

static bool limit_is_due(const struct gate_ep *ep, int64_t now)
{
	bool repeat = ep->words.limit.per_s >= 0 &&
		      ep->words.limit_heard_ms > ep->words.limit_told_ms &&
		      now - ep->words.limit_told_ms >= REPEAT_MS;

	return repeat ||
	       (ep->words.limit_owed && is_due(ep->words.limit_told_ms, now));
}

void gate_words_report(struct gate *g, struct gate_ep *ep, GArray *words)
{
	int64_t now = gate_now(g);
	struct gate_words *x = &ep->words;
	bool limit = limit_is_due(ep, now);
	bool rest = now < x->rest_until_ms && !x->rest_told;
	/* Until the leader counts it as leaving, too. */
	bool leaving = x->leaving_ms && ep->known && !ep->leaving &&
		       is_due(x->leaving_told_ms, now);
	struct endpoint_word w = { 0 };

	if (!limit && !rest && !leaving)
		return;
	w.addr = ss_str(ep->addr);
	w.id = ss_str(ep->self.id);
	w.started_ms = ep->self.started_ms;
	w.rest_ms = MAX(x->rest_until_ms - now, 0);
	x->rest_told = true;
	if (leaving) {
		w.leaving = true;
		x->leaving_told_ms = now;
	}
	if (limit) {
		w.limit = endpoint_limit_wire(&x->limit);
		w.limit_age = endpoint_limit_age(&x->limit, now);
		x->limit_told_ms = now;
	}
	g_array_append_val(words, w);
}

void gate_limit_asks(struct gate *g, GArray *out)
{
	quota_lease.asks(g->limits, gate_now(g), out);
}

void gate_take_limit(struct gate *g, const struct msg_quota_word *m)
{
	const struct quota_word *w = m->words.items;

	for (size_t i = 0; i < m->words.n; i++)
		quota_lease.word(g->limits, &w[i], gate_now(g));
	gate_pump(g, NULL);
}
