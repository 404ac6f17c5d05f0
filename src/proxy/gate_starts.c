/* Prompts of this entry that engines read, and what waits for them. */
#include "gate_int.h"

#include "../base/log.h"

/* Part of its route's objective that a request waits at most: most of the time
 * is left to read its own prompt. */
#define WAIT_SHARE 0.25
/* Between two log lines of one endpoint, in ms. */
#define LOG_MS 1000

static bool is_prompt(const struct forward *f)
{
	return f->service->engine && f->route->kind == ROUTE_STREAM;
}

/* Only routes that state a pause limit are held to one. */
static bool is_limited(const struct forward *f)
{
	return is_prompt(f) && f->route->pause_ms > 0;
}

void gate_starts_reset(struct gate_ep *ep)
{
	ep->starts = 0;
	ep->start_logged_ms = 0;
	start_limit_init(&ep->start_limit);
}

void gate_start_begin(struct forward *f, struct gate_ep *ep)
{
	struct start_limit *l = &ep->start_limit;

	if (!is_prompt(f))
		return;
	f->starting = true;
	ep->starts++;
	start_limit_sent(l, ep->starts, gate_now(f->g));
	if (l->most > 0)
		hist_add(f->g->start_limits, (uint64_t)l->most);
}

void gate_start_done(struct forward *f)
{
	struct gate_ep *ep = gate_ep_of(f);

	if (f->starting && ep)
		ep->starts--;
	f->starting = false;
}

static void note_cut(struct gate *g, struct gate_ep *ep, const char *why)
{
	int64_t now = gate_now(g);

	(*g->n_start_cuts)++;
	if (ep->start_logged_ms && now - ep->start_logged_ms < LOG_MS)
		return;
	ep->start_logged_ms = now;
	log_info("start_limit", "addr=%s most=%.1f why=%s", ep->addr,
		 ep->start_limit.most, why);
}

void gate_start_first(struct forward *f, int64_t ms)
{
	struct gate_ep *ep = gate_ep_of(f);

	gate_start_done(f);
	if (ep && is_limited(f) &&
	    start_limit_first(&ep->start_limit, ms, f->route->objective_ms,
			      gate_now(f->g)))
		note_cut(f->g, ep, "first");
}

void gate_start_pause(struct forward *f, int64_t ms)
{
	struct gate_ep *ep = gate_ep_of(f);

	if (ep && is_limited(f) &&
	    start_limit_pause(&ep->start_limit, ms, f->route->pause_ms,
			      gate_now(f->g)))
		note_cut(f->g, ep, "pause");
}

bool gate_start_admits(const struct forward *f, const struct gate_ep *ep)
{
	return !is_limited(f) ||
	       start_limit_allows(&ep->start_limit, ep->starts);
}

/* When a request in a lane that waits for starts is sent all the same: early
 * enough to begin within its objective. */
static int64_t wait_until(const struct forward *f)
{
	const struct lane *l = f->lane;
	int64_t since = MAX(f->lane_ms, l->starts_ms);
	int64_t share = (int64_t)((double)f->route->objective_ms * WAIT_SHARE);

	if (!is_limited(f))
		return since;
	return MIN(since + share, f->objective_ms - l->starts_first_ms);
}

bool gate_start_waits(struct forward *f, int64_t first_ms)
{
	struct lane *l = f->lane;
	int64_t now = gate_now(f->g);

	if (!l || f->started || f->began_version)
		return false;
	if (!l->starts_ms)
		l->starts_ms = now;
	l->starts_first_ms = first_ms;
	if (now >= wait_until(f))
		return false;
	if (!f->start_waited)
		(*f->g->n_start_waits)++;
	f->start_waited = true;
	return true;
}

void gate_start_held(struct forward *f, enum balance_none none)
{
	if (none != BALANCE_STARTS && f->lane &&
	    lane_next(f->lane, gate_now(f->g)) == f)
		f->lane->starts_ms = 0;
}

bool gate_start_wait_over(const struct forward *f, int64_t now)
{
	return f->lane && f->lane->starts_ms && now >= wait_until(f);
}
