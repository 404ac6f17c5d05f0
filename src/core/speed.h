/*
 * How slow an endpoint is beside the others of its service. The load it
 * answers: endpoints that differ in speed several times over, that slow down
 * or stand still for seconds, and that are back after that. A few calls show
 * it, and what was learned fades within seconds, as an endpoint that gets no
 * calls can't show that it has recovered.
 */
#ifndef SS_SPEED_H
#define SS_SPEED_H

#include <sapphireshift/base.h>

/* Times of one endpoint, in ms. Zeroed: nothing is known. */
struct speed {
	double weight;	/* of its answers, in answers, at at_ms */
	double mean_ln; /* of the logarithms of their times */
	int64_t at_ms;
	int64_t memory_ms; /* the weight falls by half in so long */
	int64_t agreed_ms; /* when that was last set */
	uint64_t n;	   /* answers so far */
	/* Calls under way that have taken longer than its answers. */
	double open_weight, open_ln;
	double work; /* that it reported last, as a ratio; 0: none */
	int64_t work_ms;
};

/* A rest of an endpoint that is too slow. Zeroed: none. */
struct speed_rest {
	int64_t until_ms, pause_ms;
	int64_t trial_ms; /* when a call was sent after it; 0: none was */
};

/* An answer took so long. A time that isn't above 0 is ignored. */
void speed_note(struct speed *s, double ms, int64_t now);
/* A call was given up after so long: counts where its answers and the median of
 * the service are faster. median: 0: not known. */
void speed_note_least(struct speed *s, double ms, double median, int64_t now);

/* Calls under way are counted anew; one has taken so long by now. */
void speed_open_begin(struct speed *s);
void speed_open(struct speed *s, double ms, double median, int64_t now);

/* The endpoint's own word for its work time in percent, 100 is usual; out of
 * bounds or not reported (0): ignored. */
void speed_work(struct speed *s, int64_t percent, int64_t now);
/* That as a ratio; 0: it isn't fresh, or there is none. */
double speed_reported(const struct speed *s, int64_t now);

/* Answers that what is known is worth by now. */
double speed_known(const struct speed *s, int64_t now);
/* The time that its calls take now, in ms; 0: not known. */
double speed_ms(const struct speed *s, int64_t now);
/* The median of n times, the lower of two; sorts them. 0: fewer than two are
 * known, and nothing can be compared. */
double speed_median(double *ms, size_t n);
/* Times as slow as the median, near 1 while few calls show it; 0: not known. */
double speed_ratio(const struct speed *s, double median, int64_t now);
/* The same as a weight of calls: what is usual from one call to the next is 1,
 * 0 stays 0. */
double speed_weight(double ratio);

/* Part of its calls, above 0 to 1, that an endpoint gets so long after its
 * start and after so many answers. */
double speed_start(int64_t age_ms, uint64_t answers);

/* It is this much slower, and its next caller would be late: a rest. */
bool speed_needs_rest(double ratio, double first_ms, int64_t objective_ms);
/* No call is to be sent. */
bool speed_is_resting(const struct speed_rest *r, int64_t now);
/* One that is too slow is to begin a rest: it had none of late, or its trial
 * hasn't come back in time. */
bool speed_rest_is_due(const struct speed_rest *r, int64_t now);
/* Begin a rest, longer than one shortly before. */
void speed_rest_begin(struct speed_rest *r, int64_t now);
/* All of so many entries rest it by what they were told: the rest just begun is
 * drawn (draw: from 0 up to 1) so long that together they try it as often as
 * one entry does after its first rest. */
void speed_rest_share(struct speed_rest *r, uint64_t entries, double draw,
		      int64_t now);
/* A call is sent there; the first one after a rest is its trial. */
void speed_rest_sent(struct speed_rest *r, int64_t now);
/* One was answered at that ratio. True where it was the trial, and a rest is to
 * begin again. */
bool speed_rest_answered(struct speed_rest *r, double ratio);

#endif
