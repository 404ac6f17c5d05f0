/*
 * Estimates the response time of an endpoint relative to the others of its
 * service, and ejects outliers.
 *
 * Endpoints differ in speed several times over. They slow down or stall for
 * seconds and recover afterwards. A few calls are enough to notice that. An
 * estimate loses its weight within seconds, as an endpoint that gets no calls
 * can't show that it has recovered.
 */
#ifndef SS_SPEED_H
#define SS_SPEED_H

#include <sapphireshift/base.h>

/* Response times of one endpoint, in ms. All zero: no answers. */
struct speed {
	double weight;	/* of its answers at the time at_ms, in answers */
	double mean_ln; /* mean logarithm of their times */
	int64_t at_ms;
	int64_t half_life_ms;	  /* half-life of the weight */
	int64_t half_life_set_ms; /* when half_life_ms was last set */
	uint64_t n;		  /* answers so far */
	/* Calls in flight that have taken longer than its answers. */
	double pending_weight, pending_ln;
	double work; /* work time last reported, as a ratio; 0: none */
	int64_t work_ms;
};

/* The ejection of an endpoint that is too slow. All zero: none. */
struct ejection {
	int64_t until_ms, duration_ms;
	int64_t probe_ms; /* when the probe was sent; 0: not yet */
};

/* Records the time of an answer. Ignored unless above 0. */
void speed_record(struct speed *s, double ms, int64_t now);
/* Records that a call was abandoned after this time. Counts only if the answers
 * of the endpoint and the median of the service are faster. median: 0 if
 * unknown. */
void speed_record_at_least(struct speed *s, double ms, double median,
			   int64_t now);

/* Resets the calls in flight, or adds one that has taken ms so far. */
void speed_pending_reset(struct speed *s);
void speed_pending_add(struct speed *s, double ms, double median, int64_t now);

/* Records the work time that the endpoint reports, in percent of the usual.
 * Ignored if out of range or not reported (0). */
void speed_work_received(struct speed *s, int64_t percent, int64_t now);
/* Returns the reported work time as a ratio; 0: none or too old. */
double speed_work_ratio(const struct speed *s, int64_t now);

/* Returns the present weight of the estimate, in answers. */
double speed_sample_weight(const struct speed *s, int64_t now);
/* Returns the present estimate of the response time, in ms; 0: unknown. */
double speed_ms(const struct speed *s, int64_t now);
/* Sorts n times and returns their median, the lower one of two. Returns 0 for
 * fewer than two, as there is nothing to compare. */
double speed_median(double *ms, size_t n);
/* Returns the response time as a ratio to the median, near 1 while there are
 * few calls; 0: unknown. */
double speed_ratio(const struct speed *s, double median, int64_t now);
/* Returns the ratio as a factor of load: 1 within the usual variation between
 * calls; 0 stays 0. */
double speed_load_factor(double ratio);

/* Slow start: returns the part of its calls, from above 0 to 1, that an
 * endpoint gets at this age and after that many answers. */
double speed_slow_start(int64_t age_ms, uint64_t answers);

/* Returns whether an endpoint is to be ejected: it is too slow, and its next
 * caller would miss the latency objective (0: none). */
bool ejection_is_needed(double ratio, double first_ms, int64_t objective_ms);
/* Returns whether no call may be sent, because the endpoint is ejected or its
 * probe is in flight. */
bool ejection_is_active(const struct ejection *r, int64_t now);
/* Returns whether a slow endpoint is to be ejected: it wasn't recently, or its
 * probe has timed out. */
bool ejection_is_due(const struct ejection *r, int64_t now);
/* Starts an ejection. It lasts longer than one that ended shortly before. */
void ejection_begin(struct ejection *r, int64_t now);
/* Extends the current ejection if all entries eject the endpoint by a ratio
 * from the leader. The duration is random (draw: from 0 to below 1), so that
 * together they probe it as often as a single entry does after its first
 * ejection. */
void ejection_spread(struct ejection *r, uint64_t entries, double draw,
		     int64_t now);
/* Records that a call is sent; the first one after an ejection is the probe. */
void ejection_call_sent(struct ejection *r, int64_t now);
/* Records an answer at that ratio. Returns true if the probe was answered and
 * the endpoint is to be ejected again. */
bool ejection_call_answered(struct ejection *r, double ratio);

#endif
