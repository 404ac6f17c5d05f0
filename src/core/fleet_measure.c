/* Measurements by the leader of a fleet: the store's parallelism, call rates,
 * and the pauses between passes of the leader's own work. */
#include "fleet.h"

#include <math.h>

/* Initial bound on parallel loads from the store. It doubles each time that as
 * many loads were as fast as a single one. */
#define STORE_INITIAL_LOADS 2
/* A load that takes this multiple of the time that it takes alone was slowed
 * down by others. The factor is above the delay that orders and reports add,
 * and below the effect of one additional load. */
#define STORE_SLOW_FACTOR 1.25
/* Time constant of a rate: long enough to distinguish an idle model from one
 * that is called every few seconds. */
#define RATE_DECAY_MS 8000.0

size_t fleet_store_max_loads(const struct fleet_store *s, size_t limit)
{
	return CLAMP(s->max_loads ? s->max_loads : STORE_INITIAL_LOADS, 1,
		     MAX(limit, 1));
}

int64_t fleet_pause_ms(int64_t took_ms, int64_t ratio, int64_t min_ms,
		       int64_t max_ms)
{
	return CLAMP(took_ms * ratio, min_ms, max_ms);
}

int64_t fleet_store_slow_ms(int64_t alone_ms)
{
	return (int64_t)((double)alone_ms * STORE_SLOW_FACTOR);
}

void fleet_store_observe(struct fleet_store *s, size_t n, int64_t took_ms,
			 int64_t alone_ms, bool done)
{
	size_t max = s->max_loads ? s->max_loads : STORE_INITIAL_LOADS;

	if (took_ms > fleet_store_slow_ms(alone_ms)) {
		double parallel =
			done ? (double)n * (double)alone_ms / (double)took_ms :
			       (double)n - 1;

		s->max_loads = MAX(MIN(max, (size_t)(parallel + 0.5)), 1);
	} else if (done && n >= max) {
		s->max_loads = max * 2;
	}
}

double fleet_rate_at(const struct fleet_rate *r, int64_t now)
{
	return r->at_ms ? r->per_s * exp(-(double)(now - r->at_ms) /
					 RATE_DECAY_MS) :
			  0;
}

void fleet_rate_add(struct fleet_rate *r, uint64_t arrivals, int64_t now)
{
	r->per_s = fleet_rate_at(r, now) +
		   (double)arrivals * 1000.0 / RATE_DECAY_MS;
	r->at_ms = MAX(now, 1);
}
