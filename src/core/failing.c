/* Failure rate of an endpoint. */
#include "failing.h"

#include <math.h>

/* Weight of one call in the moving average; the same as that of an entry's own
 * average in balance.c. */
#define CALL_WEIGHT 0.15
/* A rate of nearly a half decays to a tenth within twenty seconds, at which an
 * endpoint gets some of its calls again. */
#define HALF_LIFE_MS 10000.0

double failing_share(const struct failing *f, int64_t now)
{
	return f->rate * exp2((double)(f->at_ms - now) / HALF_LIFE_MS);
}

void failing_note(struct failing *f, uint64_t failed, uint64_t answered,
		  int64_t now)
{
	uint64_t calls = failed + answered;
	double rate = failing_share(f, now);

	if (calls) {
		double weight = 1.0 - pow(1.0 - CALL_WEIGHT, (double)calls);

		rate += weight * ((double)failed / (double)calls - rate);
	}
	*f = (struct failing){ rate, now };
}

void failing_told(struct failing *f, int64_t permille, int64_t now)
{
	if (permille > 0)
		*f = (struct failing){ (double)MIN(permille, FAILING_WHOLE) /
					       FAILING_WHOLE,
				       now };
}

int64_t failing_of_whole(const struct failing *f, int64_t now)
{
	return (int64_t)(failing_share(f, now) * FAILING_WHOLE);
}
