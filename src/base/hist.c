/* Log-linear histogram. */
#include "hist.h"

static size_t bucket_index(uint64_t value)
{
	int power;
	size_t i;

	if (value < HIST_SUB_BUCKETS)
		return (size_t)value;
	power = 63 - __builtin_clzll(value);
	i = (size_t)(power - HIST_SUB_BUCKET_BITS + 1) * HIST_SUB_BUCKETS +
	    ((value >> (power - HIST_SUB_BUCKET_BITS)) &
	     (HIST_SUB_BUCKETS - 1));
	return MIN(i, HIST_BUCKETS - 1);
}

static uint64_t bucket_upper_bound(size_t i)
{
	size_t power = i / HIST_SUB_BUCKETS;
	uint64_t step;

	if (power == 0)
		return i;
	step = 1ull << (power - 1);
	return (HIST_SUB_BUCKETS + i % HIST_SUB_BUCKETS) * step + step - 1;
}

void hist_add(struct hist *h, uint64_t value)
{
	h->count++;
	h->sum += value;
	h->max = MAX(h->max, value);
	h->bucket[bucket_index(value)]++;
}

uint64_t hist_quantile(const struct hist *h, double q)
{
	uint64_t seen = 0;
	/* Rounded up. */
	uint64_t rank = (uint64_t)(q * (double)h->count + 0.999999);

	if (h->count == 0)
		return 0;
	for (size_t i = 0; i < HIST_BUCKETS; i++) {
		seen += h->bucket[i];
		if (seen >= MAX(rank, 1))
			return MIN(bucket_upper_bound(i), h->max);
	}
	return h->max;
}

uint64_t hist_count_le(const struct hist *h, uint64_t value)
{
	uint64_t seen = 0;

	for (size_t i = 0; i <= bucket_index(value); i++)
		seen += h->bucket[i];
	return seen;
}

void hist_merge(struct hist *into, const struct hist *from)
{
	into->count += from->count;
	into->sum += from->sum;
	into->max = MAX(into->max, from->max);
	for (size_t i = 0; i < HIST_BUCKETS; i++)
		into->bucket[i] += from->bucket[i];
}
