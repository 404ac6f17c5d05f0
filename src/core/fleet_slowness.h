/*
 * Estimates how slow an endpoint is from the observations of all entries. With
 * many entries, each calls an endpoint only once in some seconds: too seldom
 * to learn its speed before earlier answers have lost their weight. Entries
 * report to the leader how long answers took relative to their own median; the
 * leader aggregates the reports and sends the ratio to all entries.
 */
#ifndef SS_FLEET_SLOWNESS_H
#define SS_FLEET_SLOWNESS_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Fixed-point scale of ratios and logarithms in messages. */
#define SLOWNESS_SCALE 1000

/* At an entry: the answers since its last report. All zero: none. */
struct slowness_observed {
	double sum_ln; /* sum of the logarithms of their ratios to the median */
	uint64_t n;
};

/* At the leader: the aggregate of an endpoint. All zero: no answers. */
struct fleet_slowness {
	double weight;	/* of the answers at the time at_ms, in answers */
	double mean_ln; /* mean logarithm of their ratios */
	int64_t at_ms;
	/* Last ratio sent to entries; 0: none, or that of the usual speed. */
	int64_t sent_ratio;
	int64_t sent_ms;
};

/* At an entry: the ratio last received from the leader. All zero: none. */
struct slowness_received {
	double ratio;
	int64_t at_ms;
};

/* Adds an answer that took ratio times the median. Ignored unless ratio is a
 * number above 0. */
void slowness_observed_add(struct slowness_observed *s, double ratio);
/* Returns the sum for the report, scaled by SLOWNESS_SCALE. */
int64_t slowness_observed_sum(const struct slowness_observed *s);

/* Adds the report of an entry about n answers. Values out of range count as the
 * largest that calls of an endpoint can show. */
void fleet_slowness_add(struct fleet_slowness *p, int64_t sum_ln, uint64_t n,
			int64_t now);
/* Returns the ratio to send, scaled by SLOWNESS_SCALE. 0: none, as there are
 * too few answers, or the speed is usual and entries hold no other ratio. */
int64_t fleet_slowness_ratio(const struct fleet_slowness *p, int64_t now);
/* Returns whether the ratio is to be sent: it has changed enough to matter, or
 * entries would drop it. */
bool fleet_slowness_is_due(const struct fleet_slowness *p, int64_t now);
/* Records that the ratio is sent now. */
void fleet_slowness_sent(struct fleet_slowness *p, int64_t now);

/* Stores a ratio from the leader, scaled by SLOWNESS_SCALE. Ignored unless
 * above 0. */
void slowness_received_set(struct slowness_received *t, int64_t ratio,
			   int64_t now);
/* Returns the ratio last received; 0: none is valid. */
double slowness_received_ratio(const struct slowness_received *t, int64_t now);
/* Returns the ratio that an entry uses: that of the leader or its own,
 * whichever has the larger weight. own: 0 if unknown; weight: that of own, in
 * answers. */
double slowness_effective(const struct slowness_received *t, double own,
			  double weight, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
