/* Estimates how slow an endpoint is from the observations of all entries. */
#include "fleet_slowness.h"

#include <math.h>

#include "speed.h"

/* Half-life of an answer, in ms: the same as in the estimate of a single entry
 * (speed.c). */
#define HALF_LIFE_MS 3000.0
/* Maximum number of answers that count per report: as many as an entry gets
 * from one endpoint between two reports. A wrong number in a report then
 * doesn't outweigh all other entries. */
#define REPORT_ANSWERS_MAX 8
/* The mean ratio of a report is clamped to this factor in either direction: a
 * call may wait for seconds where others take some 50 ms. */
#define RATIO_MAX 100.0
/* Minimum weight for a result, in answers. Fewer may be a few long prompts, as
 * entries only report endpoints that differ from their median. The probes of
 * all entries after their ejections add more. */
#define WEIGHT_MIN 5.0
/* Weight, in answers, of the assumption that the endpoint is as fast as the
 * median. */
#define PRIOR_WEIGHT 1.0
/* A change of the ratio by less than this factor would move few calls. */
#define SIGNIFICANT_CHANGE 1.2
/* The ratio of a slow endpoint is sent again after this time, in ms, before
 * entries drop it. */
#define RESEND_MS 1000
/* An entry uses a ratio from the leader for this time, in ms. */
#define VALID_MS 3000
/* The initial weight of a ratio from the leader, in answers, equal to the
 * maximum in an entry's own estimate, and its half-life in ms. */
#define RECEIVED_WEIGHT 16.0
#define RECEIVED_HALF_LIFE_MS 1000.0

void slowness_observed_add(struct slowness_observed *s, double ratio)
{
	if (!(ratio > 0) || !isfinite(ratio))
		return;
	s->sum_ln += log(ratio);
	s->n++;
}

int64_t slowness_observed_sum(const struct slowness_observed *s)
{
	return llround(s->sum_ln * SLOWNESS_SCALE);
}

static double weight_at(const struct fleet_slowness *p, int64_t now)
{
	double age = (double)MAX(now - p->at_ms, 0);

	return p->weight * exp2(-age / HALF_LIFE_MS);
}

void fleet_slowness_add(struct fleet_slowness *p, int64_t sum_ln, uint64_t n,
			int64_t now)
{
	double limit = log(RATIO_MAX), before = weight_at(p, now);
	double ln, added = (double)MIN(n, REPORT_ANSWERS_MAX);

	if (!n)
		return;
	ln = (double)sum_ln / SLOWNESS_SCALE / (double)n;
	ln = CLAMP(ln, -limit, limit);
	p->mean_ln = (before * p->mean_ln + added * ln) / (before + added);
	p->weight = before + added;
	p->at_ms = now;
}

static bool is_usual_speed(int64_t ratio)
{
	return speed_load_factor((double)ratio / SLOWNESS_SCALE) == 1;
}

int64_t fleet_slowness_ratio(const struct fleet_slowness *p, int64_t now)
{
	double weight = weight_at(p, now);
	int64_t ratio;

	if (weight < WEIGHT_MIN)
		return 0;
	ratio = llround(SLOWNESS_SCALE *
			exp(p->mean_ln * weight / (weight + PRIOR_WEIGHT)));
	if (!is_usual_speed(ratio))
		return ratio;
	return p->sent_ratio ? SLOWNESS_SCALE : 0;
}

bool fleet_slowness_is_due(const struct fleet_slowness *p, int64_t now)
{
	int64_t ratio = fleet_slowness_ratio(p, now);

	if (!ratio || ratio == p->sent_ratio)
		return ratio && now - p->sent_ms >= RESEND_MS;
	if (!p->sent_ratio || now - p->sent_ms >= RESEND_MS)
		return true;
	return fabs(log((double)ratio / (double)p->sent_ratio)) >
	       log(SIGNIFICANT_CHANGE);
}

void fleet_slowness_sent(struct fleet_slowness *p, int64_t now)
{
	int64_t ratio = fleet_slowness_ratio(p, now);

	p->sent_ratio = ratio == SLOWNESS_SCALE ? 0 : ratio;
	p->sent_ms = now;
}

void slowness_received_set(struct slowness_received *t, int64_t ratio,
			   int64_t now)
{
	double received = (double)ratio / SLOWNESS_SCALE;

	if (ratio > 0)
		*t = (struct slowness_received){
			CLAMP(received, 1 / RATIO_MAX, RATIO_MAX), now
		};
}

double slowness_received_ratio(const struct slowness_received *t, int64_t now)
{
	return now - t->at_ms < VALID_MS ? t->ratio : 0;
}

double slowness_effective(const struct slowness_received *t, double own,
			  double weight, int64_t now)
{
	double received = slowness_received_ratio(t, now);
	double age = (double)MAX(now - t->at_ms, 0);

	if (received <= 0 ||
	    (own > 0 &&
	     weight > RECEIVED_WEIGHT * exp2(-age / RECEIVED_HALF_LIFE_MS)))
		return own;
	return received;
}
