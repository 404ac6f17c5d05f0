/* An endpoint's own limit. */
#include "endpoint_limit.h"

#include <math.h>

/* In any such window, in s, an endpoint gets no more than one and a half times
 * what its limit allows, and five requests. */
#define WINDOW_S 4
#define RATIO 0.5
#define EXTRA 5
/* A request is granted whole: of the five, so many may come at once, with the
 * ratio. */
#define BURST 1
/* A limit below this can't be shared out, requests a second. */
#define LEAST_PER_S 0.001
/* A call keeps a slot of an engine for some so long, in s. */
#define CALL_S 2
/* Part of a limit that its agent's reads may take beside callers; read more
 * seldom than so often, in ms, it would pass for lost. */
#define READ_SHARE 0.25
#define READ_MOST_MS 2000
/* A word that wasn't repeated for so long, in ms, keeps no model away. */
#define NARROW_MS 10000

const struct quota_options endpoint_limit_quota = {
	{ WINDOW_S, RATIO, EXTRA - (1 + RATIO) * BURST }
};

static int64_t wire_of(double per_s)
{
	return per_s < 0 ? 0 : (int64_t)lround(per_s * QUOTA_MILLI) + 1;
}

int64_t endpoint_limit_wire(const struct endpoint_limit *l)
{
	return wire_of(l->per_s);
}

/* Rates that travel alike are alike. */
bool endpoint_limit_say(struct endpoint_limit *l, double per_s, int64_t at_ms)
{
	bool news = wire_of(per_s) != wire_of(l->per_s);

	if (at_ms < l->said_ms)
		return false;
	l->per_s = per_s;
	l->said_ms = at_ms;
	return news;
}

int64_t endpoint_limit_age(const struct endpoint_limit *l, int64_t now)
{
	return l->said_ms ? MAX(now - l->said_ms, 0) + 1 : 0;
}

bool endpoint_limit_told(struct endpoint_limit *l, int64_t wire, int64_t age,
			 int64_t now)
{
	double per_s = wire > 0 ? (double)(wire - 1) / QUOTA_MILLI :
				  ENDPOINT_LIMIT_NONE;

	return age > 0 && endpoint_limit_say(l, per_s, now - (age - 1));
}

bool endpoint_limit_is_narrow(const struct endpoint_limit *l, int64_t slots,
			      int64_t now)
{
	return l->per_s >= 0 && l->per_s * CALL_S < (double)slots &&
	       now - l->said_ms < NARROW_MS;
}

int64_t endpoint_limit_pause_ms(const struct endpoint_limit *l,
				int64_t least_ms)
{
	if (l->per_s < 0)
		return least_ms;
	return MAX(least_ms,
		   (int64_t)MIN(1000 / MAX(l->per_s * READ_SHARE, LEAST_PER_S),
				READ_MOST_MS));
}

struct customer endpoint_limit_account(const struct endpoint_limit *l,
				       char *addr)
{
	return (struct customer){
		.name = addr,
		.limit = { .per_s = MAX(l->per_s, LEAST_PER_S), .burst = BURST }
	};
}
