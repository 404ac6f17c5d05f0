/* Limits how many prompts of this entry an engine prefills at a time, and how
 * long requests wait for that limit. */
#include "gate_int.h"

#include "../base/log.h"

/* Part of its route's objective that a request waits at most, so that most of
 * the time is left to prefill its own prompt. */
#define START_WAIT_SHARE 0.25
/* Least time between two log lines about one endpoint. */
#define LOG_INTERVAL_MS 1000

static bool needs_prefill(const struct forward *f)
{
	return f->service->engine && f->route->kind == ROUTE_STREAM;
}

/* The start limit applies only to routes that state a pause limit. */
static bool is_limited(const struct forward *f)
{
	return needs_prefill(f) && f->route->max_event_gap_ms > 0;
}

void gate_starts_reset(struct gate_ep *ep)
{
	ep->open_prompts = 0;
	ep->start_logged_ms = 0;
	start_limit_init(&ep->start_limit);
}

void gate_start_begin(struct forward *f, struct gate_ep *ep)
{
	struct start_limit *l = &ep->start_limit;

	if (!needs_prefill(f))
		return;
	f->prompt_open = true;
	ep->open_prompts++;
	start_limit_sent(l, ep->open_prompts, gate_now(f->g));
	if (l->max_in_flight > 0)
		hist_add(f->g->start_limits, (uint64_t)l->max_in_flight);
}

void gate_start_done(struct forward *f)
{
	struct gate_ep *ep = gate_ep_of(f);

	if (f->prompt_open && ep)
		ep->open_prompts--;
	f->prompt_open = false;
}

static void record_cut(struct gate *g, struct gate_ep *ep, const char *why)
{
	int64_t now = gate_now(g);

	(*g->n_start_cuts)++;
	if (ep->start_logged_ms && now - ep->start_logged_ms < LOG_INTERVAL_MS)
		return;
	ep->start_logged_ms = now;
	log_info("start_limit", "addr=%s most=%.1f why=%s", ep->addr,
		 ep->start_limit.max_in_flight, why);
}

void gate_start_first_event(struct forward *f, int64_t ms)
{
	struct gate_ep *ep = gate_ep_of(f);

	gate_start_done(f);
	if (ep && is_limited(f) &&
	    start_limit_first_event(&ep->start_limit, ms,
				    f->route->objective_ms, gate_now(f->g)))
		record_cut(f->g, ep, "first");
}

void gate_start_pause(struct forward *f, int64_t ms)
{
	struct gate_ep *ep = gate_ep_of(f);

	if (ep && is_limited(f) &&
	    start_limit_pause(&ep->start_limit, ms, f->route->max_event_gap_ms,
			      gate_now(f->g)))
		record_cut(f->g, ep, "pause");
}

bool gate_start_admits(const struct forward *f, const struct gate_ep *ep)
{
	return !is_limited(f) ||
	       start_limit_allows(&ep->start_limit, ep->open_prompts);
}

/* Time on the clock at which a request that waits for a start limit is sent
 * despite it: early enough for its answer to begin within its objective. */
static int64_t wait_deadline_ms(const struct forward *f)
{
	const struct model_queue *l = f->queue;
	int64_t since = MAX(f->queued_ms, l->start_wait_ms);
	int64_t share =
		(int64_t)((double)f->route->objective_ms * START_WAIT_SHARE);

	if (!is_limited(f))
		return since;
	return MIN(since + share, f->objective_ms - l->start_first_event_ms);
}

bool gate_start_waits(struct forward *f, int64_t first_ms)
{
	struct model_queue *l = f->queue;
	int64_t now = gate_now(f->g);

	if (!l || f->started || f->began_version)
		return false;
	if (!l->start_wait_ms)
		l->start_wait_ms = now;
	l->start_first_event_ms = first_ms;
	if (now >= wait_deadline_ms(f))
		return false;
	if (!f->start_waited)
		(*f->g->n_start_waits)++;
	f->start_waited = true;
	return true;
}

void gate_start_blocked(struct forward *f, enum balance_refusal none)
{
	if (none != BALANCE_START_LIMIT && f->queue &&
	    model_queue_next(f->queue, gate_now(f->g)) == f)
		f->queue->start_wait_ms = 0;
}

bool gate_start_wait_over(const struct forward *f, int64_t now)
{
	return f->queue && f->queue->start_wait_ms &&
	       now >= wait_deadline_ms(f);
}
