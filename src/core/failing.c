/* Shares of failed calls. */
#include "failing.h"

#include <math.h>

/* Weight of one call against those before it: as an entry's own. */
#define CALL_WEIGHT 0.15
/* A share of nearly a half has faded to a tenth in twenty seconds, and then an
 * endpoint gets some of its calls again. */
#define HALF_LIFE_MS 10000.0

double failing_share(const struct failing *f, int64_t now)
{
	return f->share * exp2((double)(f->at_ms - now) / HALF_LIFE_MS);
}

void failing_note(struct failing *f, uint64_t failed, uint64_t answered,
		  int64_t now)
{
	uint64_t all = failed + answered;
	double share = failing_share(f, now);

	if (all) {
		double weight = 1.0 - pow(1.0 - CALL_WEIGHT, (double)all);

		share += weight * ((double)failed / (double)all - share);
	}
	*f = (struct failing){ share, now };
}

void failing_told(struct failing *f, int64_t of_whole, int64_t now)
{
	if (of_whole > 0)
		*f = (struct failing){ (double)MIN(of_whole, FAILING_WHOLE) /
					       FAILING_WHOLE,
				       now };
}

int64_t failing_of_whole(const struct failing *f, int64_t now)
{
	return (int64_t)(failing_share(f, now) * FAILING_WHOLE);
}
