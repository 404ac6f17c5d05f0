/*
 * Estimates how slow an endpoint is from the observations of all entries. With
 * many entries, each calls an endpoint only once in some seconds: too seldom
 * to learn its speed before earlier answers have lost their weight. Entries
 * report to the leader how long answers took relative to their own median; the
 * leader aggregates the reports and sends the ratio to all entries.
 */
#ifndef SS_SLOW_POOL_H
#define SS_SLOW_POOL_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Fixed-point scale of ratios and logarithms in messages. */
#define SLOW_WHOLE 1000

/* At an entry: the answers since its last report. All zero: none. */
struct slow_seen {
	double sum_ln; /* of the logarithms of their ratios to the median */
	uint64_t n;
};

/* At the leader: the aggregate of an endpoint. All zero: no answers. */
struct slow_pool {
	double weight;	/* of the answers at at_ms, in answers */
	double mean_ln; /* mean logarithm of their ratios */
	int64_t at_ms;
	/* Last ratio sent to entries; 0: none, or that of the usual speed. */
	int64_t sent_ratio;
	int64_t sent_ms;
};

/* At an entry: the ratio last received from the leader. All zero: none. */
struct slow_told {
	double ratio;
	int64_t at_ms;
};

/* Adds an answer that took ratio times the median. Ignored unless ratio is a
 * number above 0. */
void slow_seen_note(struct slow_seen *s, double ratio);
/* The sum for the report, scaled by SLOW_WHOLE. */
int64_t slow_seen_sum(const struct slow_seen *s);

/* Adds the report of an entry about n answers. Values out of range count as the
 * largest that calls of an endpoint can show. */
void slow_pool_add(struct slow_pool *p, int64_t sum_ln, uint64_t n,
		   int64_t now);
/* The ratio to send, scaled by SLOW_WHOLE. 0: none, as there are too few
 * answers, or the speed is usual and entries hold no other ratio. */
int64_t slow_pool_ratio(const struct slow_pool *p, int64_t now);
/* Whether the ratio is to be sent: it has changed enough to matter, or entries
 * would drop it. */
bool slow_pool_is_news(const struct slow_pool *p, int64_t now);
/* Records that the ratio is sent now. */
void slow_pool_tell(struct slow_pool *p, int64_t now);

/* Stores a ratio from the leader, scaled by SLOW_WHOLE. Ignored unless above
 * 0. */
void slow_told_take(struct slow_told *t, int64_t ratio, int64_t now);
/* The ratio last received; 0: none is valid. */
double slow_told_ratio(const struct slow_told *t, int64_t now);
/* The ratio that an entry uses: that of the leader or its own, whichever has
 * the larger weight. own: 0 if unknown; weight: that of own, in answers. */
double slow_told_or_own(const struct slow_told *t, double own, double weight,
			int64_t now);

#ifdef __cplusplus
}
#endif
#endif
