/*
 * Log-linear histogram of unsigned values, such as latencies in milliseconds.
 * Fixed size, so that it can be updated without allocation and merged.
 */
#ifndef SS_HIST_H
#define SS_HIST_H

#include <sapphireshift/base.h>

/* 16 linear buckets per power of two: a relative error of at most 6.25 %. */
#define HIST_SUB_BUCKET_BITS 4
#define HIST_SUB_BUCKETS (1 << HIST_SUB_BUCKET_BITS)
/* Values of 2^39 and more count in the last bucket. */
#define HIST_POWERS 36
#define HIST_BUCKETS (HIST_POWERS * HIST_SUB_BUCKETS)

struct hist {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t bucket[HIST_BUCKETS];
};

void hist_add(struct hist *h, uint64_t value);

/* Returns the value at quantile q (0 to 1); 0 if the histogram is empty. */
uint64_t hist_quantile(const struct hist *h, double q);

/* Returns the number of samples <= value, at bucket resolution. */
uint64_t hist_count_le(const struct hist *h, uint64_t value);

void hist_merge(struct hist *into, const struct hist *from);

#endif
