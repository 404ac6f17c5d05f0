/* What a fleet's leader measures: the store's speed, rates of calls, and the
 * pause that its own work leaves. */
#include "fleet.h"

#include <math.h>

/* Loads from the store at once before it has shown how many it serves at full
 * speed; doubled each time that so many were as fast as one alone. */
#define STORE_FIRST 2
/* A load that takes this multiple of its time alone was slowed down by
 * others: above what orders and reports add, below what one load more does. */
#define STORE_SLOW 1.25
/* Memory of a rate, in ms: long enough to tell an idle model from one that
 * is asked for every few seconds. */
#define RATE_MS 8000.0

size_t fleet_store_most(const struct fleet_store *s, size_t limit)
{
	return CLAMP(s->most ? s->most : STORE_FIRST, 1, MAX(limit, 1));
}

int64_t fleet_pause_ms(int64_t took_ms, int64_t part, int64_t least_ms,
		       int64_t most_ms)
{
	return CLAMP(took_ms * part, least_ms, most_ms);
}

int64_t fleet_store_slow_ms(int64_t alone_ms)
{
	return (int64_t)((double)alone_ms * STORE_SLOW);
}

void fleet_store_seen(struct fleet_store *s, size_t n, int64_t took_ms,
		      int64_t alone_ms, bool done)
{
	size_t most = s->most ? s->most : STORE_FIRST;

	if (took_ms > fleet_store_slow_ms(alone_ms)) {
		double at_once =
			done ? (double)n * (double)alone_ms / (double)took_ms :
			       (double)n - 1;

		s->most = MAX(MIN(most, (size_t)(at_once + 0.5)), 1);
	} else if (done && n >= most) {
		s->most = most * 2;
	}
}

double fleet_rate_at(const struct fleet_rate *r, int64_t now)
{
	return r->at_ms ? r->per_s * exp(-(double)(now - r->at_ms) / RATE_MS) :
			  0;
}

void fleet_rate_add(struct fleet_rate *r, uint64_t arrivals, int64_t now)
{
	r->per_s = fleet_rate_at(r, now) + (double)arrivals * 1000.0 / RATE_MS;
	r->at_ms = MAX(now, 1);
}
