/* Registry of counters, gauges and histograms in Prometheus text format. */
#ifndef SS_METRICS_H
#define SS_METRICS_H

#include "hist.h"

struct metrics;

struct metrics *metrics_new(void);
void metrics_free(struct metrics *m);

/*
 * Finds or creates a counter or gauge by name and labels, e.g.
 * "ss_calls_total" and "class=\"batch\"". The pointer stays valid until
 * metrics_free(), so a hot path can look it up once and keep it.
 */
uint64_t *metrics_value(struct metrics *m, const char *name,
			const char *labels);

/* Finds or creates a histogram of milliseconds; otherwise as above. */
struct hist *metrics_hist(struct metrics *m, const char *name,
			  const char *labels);

/* Appends all metrics in Prometheus text format, sorted by name. */
void metrics_print(const struct metrics *m, GString *out);

#endif
