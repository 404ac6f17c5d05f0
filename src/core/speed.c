/* Estimates the response time of an endpoint relative to its service, and
 * ejects outliers. */
#include "speed.h"

#include <math.h>

/* Half-life of the weight of an answer, in ms, so that the recovery of an
 * endpoint is noticed within some seconds. It grows up to the second value
 * while later answers agree. */
#define HALF_LIFE_MS 3000
#define HALF_LIFE_MAX_MS 12000
/* An answer that differs by more than this factor from the mean shows a change:
 * the endpoint has slowed down or recovered. */
#define CHANGE_FACTOR 3.0
/* Maximum weight of the earlier answers after such a change, in answers: one
 * fast answer ends an ejection. */
#define CHANGED_WEIGHT 0.5
/* Maximum weight of the estimate, in answers, so that a few more can change
 * it. */
#define WEIGHT_MAX 16.0
/* Weight, in answers, of the assumption that the endpoint is as fast as the
 * median: one prompt may wait behind another. */
#define PRIOR_WEIGHT 1.0
/* An estimate of less weight is ignored. */
#define WEIGHT_MIN 0.1
/* Usual variation of response times between prompts, as a factor. */
#define USUAL_VARIATION 1.5
/* Plausible range of a reported work time, in percent, and how long a report is
 * valid: machines change their speed several times a second. */
#define WORK_MIN_PERCENT 25
#define WORK_MAX_PERCENT 1000
#define WORK_VALID_MS 200
/* Slow start: a new process fills its caches and connections during its first
 * answers, or for this time, in ms. */
#define SLOW_START_MS 3000
#define SLOW_START_ANSWERS 12.0
/* Slowness from which on an endpoint may be ejected, as a factor of the
 * median. */
#define EJECTION_RATIO 4.0
/* The first ejection lasts as long as a short stall, in ms. The duration
 * doubles up to the second value, after which callers are better off with
 * another probe. */
#define EJECTION_MS 500
#define EJECTION_MAX_MS 4000
/* Timeout of the probe after an ejection, in ms. */
#define PROBE_TIMEOUT_MS 1000

static double weight_at(const struct speed *s, int64_t now)
{
	double age = (double)MAX(now - s->at_ms, 0);

	if (s->weight <= 0)
		return 0;
	return s->weight * exp2(-age / (double)s->half_life_ms);
}

/* Doubles the half-life, at most once per half-life, while answers agree, and
 * resets it when one doesn't. */
static void set_half_life(struct speed *s, bool agrees, int64_t now)
{
	if (agrees && now - s->half_life_set_ms < s->half_life_ms)
		return;
	s->half_life_ms = agrees ? MIN(2 * s->half_life_ms, HALF_LIFE_MAX_MS) :
				   HALF_LIFE_MS;
	s->half_life_set_ms = now;
}

void speed_record(struct speed *s, double ms, int64_t now)
{
	double weight = weight_at(s, now), ln;

	if (!(ms > 0) || !isfinite(ms))
		return;
	ln = log(ms);
	if (weight < WEIGHT_MIN) {
		s->half_life_ms = HALF_LIFE_MS;
		s->half_life_set_ms = now;
		weight = 0;
	} else {
		bool agrees = fabs(ln - s->mean_ln) <= log(CHANGE_FACTOR);

		set_half_life(s, agrees, now);
		if (!agrees)
			weight = MIN(weight, CHANGED_WEIGHT);
	}
	s->mean_ln = (weight * s->mean_ln + ln) / (weight + 1);
	s->weight = MIN(weight + 1, WEIGHT_MAX);
	s->at_ms = now;
	s->n++;
}

/* Returns the time that a call without an answer has to exceed to count; 0: it
 * never counts. */
static double threshold_ms(const struct speed *s, double median, int64_t now)
{
	if (weight_at(s, now) < WEIGHT_MIN)
		return median;
	return MAX(median, exp(s->mean_ln));
}

void speed_record_at_least(struct speed *s, double ms, double median,
			   int64_t now)
{
	double threshold = threshold_ms(s, median, now);
	uint64_t n = s->n;

	if (threshold <= 0 || !(ms > threshold))
		return;
	/* A lower bound is not an answer. */
	speed_record(s, ms, now);
	s->n = n;
}

void speed_pending_reset(struct speed *s)
{
	s->pending_weight = s->pending_ln = 0;
}

void speed_pending_add(struct speed *s, double ms, double median, int64_t now)
{
	double threshold = threshold_ms(s, median, now);

	if (threshold <= 0 || !(ms > threshold * USUAL_VARIATION))
		return;
	s->pending_ln += log(ms);
	s->pending_weight++;
}

void speed_work_received(struct speed *s, int64_t percent, int64_t now)
{
	if (percent < WORK_MIN_PERCENT || percent > WORK_MAX_PERCENT)
		return;
	s->work = (double)percent / 100.0;
	s->work_ms = now;
}

double speed_work_ratio(const struct speed *s, int64_t now)
{
	return now - s->work_ms <= WORK_VALID_MS ? s->work : 0;
}

/* Returns the mean logarithm, including calls in flight, and its weight. */
static double estimate(const struct speed *s, int64_t now, double *weight)
{
	double w = weight_at(s, now);

	/* The calls in flight take longer than earlier answers: a change. */
	if (s->pending_weight > 0)
		w = MIN(w, CHANGED_WEIGHT);
	*weight = w + s->pending_weight;
	if (*weight < WEIGHT_MIN)
		return 0;
	return (w * s->mean_ln + s->pending_ln) / *weight;
}

double speed_sample_weight(const struct speed *s, int64_t now)
{
	double weight;

	estimate(s, now, &weight);
	return weight;
}

double speed_ms(const struct speed *s, int64_t now)
{
	double weight, ln = estimate(s, now, &weight);

	return weight < WEIGHT_MIN ? 0 : exp(ln);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double speed_median(double *ms, size_t n)
{
	if (n < 2)
		return 0;
	qsort(ms, n, sizeof(*ms), compare_doubles);
	return ms[(n - 1) / 2];
}

double speed_ratio(const struct speed *s, double median, int64_t now)
{
	double weight, ln = estimate(s, now, &weight);

	if (weight < WEIGHT_MIN || !(median > 0))
		return 0;
	return exp((ln - log(median)) * weight / (weight + PRIOR_WEIGHT));
}

double speed_load_factor(double ratio)
{
	if (ratio >= 1 / USUAL_VARIATION && ratio <= USUAL_VARIATION)
		return 1;
	return ratio;
}

double speed_slow_start(int64_t age_ms, uint64_t answers)
{
	double by_age = (double)age_ms / SLOW_START_MS;
	double by_answers = (1.0 + (double)answers) / SLOW_START_ANSWERS;

	return MIN(MAX(by_age, by_answers), 1);
}

bool ejection_is_needed(double ratio, double first_ms, int64_t objective_ms)
{
	return ratio >= EJECTION_RATIO && objective_ms > 0 &&
	       first_ms > (double)objective_ms;
}

bool ejection_is_active(const struct ejection *r, int64_t now)
{
	return now < r->until_ms ||
	       (r->probe_ms && now - r->probe_ms < PROBE_TIMEOUT_MS);
}

/* Returns whether the last ejection ended so long ago that it no longer counts.
 */
static bool is_expired(const struct ejection *r, int64_t now)
{
	return now - r->until_ms >= EJECTION_MAX_MS;
}

bool ejection_is_due(const struct ejection *r, int64_t now)
{
	return !r->until_ms || is_expired(r, now) ||
	       (r->probe_ms && now - r->probe_ms >= PROBE_TIMEOUT_MS);
}

void ejection_begin(struct ejection *r, int64_t now)
{
	if (is_expired(r, now))
		r->duration_ms = 0;
	r->duration_ms =
		CLAMP(2 * r->duration_ms, EJECTION_MS, EJECTION_MAX_MS);
	r->until_ms = now + r->duration_ms;
	r->probe_ms = 0;
}

void ejection_spread(struct ejection *r, uint64_t entries, double draw,
		     int64_t now)
{
	double ms = 2 * draw * (double)entries * EJECTION_MS;

	r->until_ms = MAX(r->until_ms, now + (int64_t)ms);
}

void ejection_call_sent(struct ejection *r, int64_t now)
{
	if (r->until_ms && now >= r->until_ms && !r->probe_ms)
		r->probe_ms = now;
}

bool ejection_call_answered(struct ejection *r, double ratio)
{
	if (ratio >= EJECTION_RATIO)
		return r->probe_ms != 0;
	*r = (struct ejection){ 0 };
	return false;
}
