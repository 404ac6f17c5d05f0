/* Failure rate of an endpoint. */
#include "failure_rate.h"

#include <math.h>

/* Weight of one call in the moving average; the same as that of an entry's own
 * average in balance.c. */
#define CALL_WEIGHT 0.15
/* Half-life of a rate without calls, in ms: nearly a half decays to a tenth
 * within twenty seconds, and then an endpoint gets some of its calls again. */
#define HALF_LIFE_MS 10000.0

double failure_rate_at(const struct failure_rate *f, int64_t now)
{
	return f->rate * exp2((double)(f->at_ms - now) / HALF_LIFE_MS);
}

void failure_rate_record(struct failure_rate *f, uint64_t failed,
			 uint64_t answered, int64_t now)
{
	uint64_t calls = failed + answered;
	double rate = failure_rate_at(f, now);

	if (calls) {
		double weight = 1.0 - pow(1.0 - CALL_WEIGHT, (double)calls);

		rate += weight * ((double)failed / (double)calls - rate);
	}
	*f = (struct failure_rate){ rate, now };
}

void failure_rate_received(struct failure_rate *f, int64_t permille,
			   int64_t now)
{
	if (permille > 0)
		*f = (struct failure_rate){ (double)MIN(permille,
							FAILURE_RATE_SCALE) /
						    FAILURE_RATE_SCALE,
					    now };
}

int64_t failure_rate_permille(const struct failure_rate *f, int64_t now)
{
	return (int64_t)(failure_rate_at(f, now) * FAILURE_RATE_SCALE);
}
