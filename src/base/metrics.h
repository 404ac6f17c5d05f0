/* Counters, gauges and histograms, printed as Prometheus text. */
#ifndef SS_METRICS_H
#define SS_METRICS_H

#include "hist.h"

struct metrics;

struct metrics *metrics_new(void);
void metrics_free(struct metrics *m);

/*
 * A counter or gauge by name and labels, e.g. "ss_calls_total" and
 * "class=\"batch\"". The pointer stays valid as long as m; a hot path
 * keeps it.
 */
uint64_t *metrics_value(struct metrics *m, const char *name,
			const char *labels);

/* A histogram of milliseconds, in the same way. */
struct hist *metrics_hist(struct metrics *m, const char *name,
			  const char *labels);

/* Append all of them in the text format, sorted by name. */
void metrics_print(const struct metrics *m, GString *out);

#endif
