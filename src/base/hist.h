/* A log-linear histogram of milliseconds or any other unsigned value. */
#ifndef SS_HIST_H
#define SS_HIST_H

#include <sapphireshift/base.h>

/* 16 linear steps within each power of two: within 6.25 % of the truth. */
#define HIST_SUB_BITS 4
#define HIST_SUB (1 << HIST_SUB_BITS)
#define HIST_POWERS 36
#define HIST_BUCKETS (HIST_POWERS * HIST_SUB)

struct hist {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t bucket[HIST_BUCKETS];
};

void hist_add(struct hist *h, uint64_t value);

/* The value below which a share q (0 to 1) of the samples lies. */
uint64_t hist_quantile(const struct hist *h, double q);

/* Samples not above the value, to the histogram's own precision. */
uint64_t hist_below(const struct hist *h, uint64_t value);

void hist_merge(struct hist *into, const struct hist *from);

#endif
