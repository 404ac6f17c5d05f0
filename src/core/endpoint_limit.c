/* The rate limit that an endpoint signals in its answers. */
#include "endpoint_limit.h"

#include <math.h>

/* In any window of WINDOW_S seconds an endpoint gets at most one and a half
 * times what its limit allows, plus OVERAGE_REQUESTS. */
#define WINDOW_S 4
#define OVERAGE_RATIO 0.5
#define OVERAGE_REQUESTS 5
/* Requests that may be sent at once, as a request can't be granted in parts.
 * They count towards OVERAGE_REQUESTS, with their own overage. */
#define BURST 1
/* Minimum limit that can be shared out, in requests per second. */
#define PER_S_MIN 0.001
/* Typical time for which a call holds a slot of an engine, in s. */
#define SLOT_HOLD_S 2
/* Part of the limit that the agent's polls may use beside callers, and longest
 * interval between polls, in ms: with a longer one the endpoint would count as
 * lost. */
#define POLL_SHARE 0.25
#define POLL_MAX_MS 2000
/* A signal older than this, in ms, no longer keeps the planner from loading
 * models on the engine. */
#define LOW_MAX_AGE_MS 10000

const struct quota_options endpoint_limit_quota = {
	{ WINDOW_S, OVERAGE_RATIO,
	  OVERAGE_REQUESTS - (1 + OVERAGE_RATIO) * BURST }
};

static int64_t to_wire(double per_s)
{
	return per_s < 0 ? 0 : (int64_t)lround(per_s * QUOTA_MILLI) + 1;
}

int64_t endpoint_limit_wire(const struct endpoint_limit *l)
{
	return to_wire(l->per_s);
}

/* Rates with the same wire value count as equal, so that forwarding a rate
 * doesn't change it. */
bool endpoint_limit_update(struct endpoint_limit *l, double per_s,
			   int64_t at_ms)
{
	bool changed = to_wire(per_s) != to_wire(l->per_s);

	if (at_ms < l->signal_ms)
		return false;
	l->per_s = per_s;
	l->signal_ms = at_ms;
	return changed;
}

int64_t endpoint_limit_wire_age(const struct endpoint_limit *l, int64_t now)
{
	return l->signal_ms ? MAX(now - l->signal_ms, 0) + 1 : 0;
}

bool endpoint_limit_received(struct endpoint_limit *l, int64_t wire,
			     int64_t age, int64_t now)
{
	double per_s = wire > 0 ? (double)(wire - 1) / QUOTA_MILLI :
				  ENDPOINT_LIMIT_NONE;

	return age > 0 && endpoint_limit_update(l, per_s, now - (age - 1));
}

bool endpoint_limit_is_low(const struct endpoint_limit *l, int64_t slots,
			   int64_t now)
{
	return l->per_s >= 0 && l->per_s * SLOT_HOLD_S < (double)slots &&
	       now - l->signal_ms < LOW_MAX_AGE_MS;
}

int64_t endpoint_limit_poll_ms(const struct endpoint_limit *l, int64_t min_ms)
{
	if (l->per_s < 0)
		return min_ms;
	return MAX(min_ms,
		   (int64_t)MIN(1000 / MAX(l->per_s * POLL_SHARE, PER_S_MIN),
				POLL_MAX_MS));
}

struct customer endpoint_limit_as_customer(const struct endpoint_limit *l,
					   char *addr)
{
	return (struct customer){ .name = addr,
				  .limit = { .per_s = MAX(l->per_s, PER_S_MIN),
					     .burst = BURST } };
}
