/* How slow an endpoint is beside the others of its service. */
#include "speed.h"

#include <math.h>

/* What an answer says counts for half after so long, in ms: callers whose
 * endpoint has recovered find that out within some seconds. It is remembered
 * longer, up to the second time, while later answers agree. */
#define MEMORY_MS 3000
#define MEMORY_MAX_MS 12000
/* Answers that differ by more than this factor from those before are of
 * another time: the endpoint has slowed down or recovered. */
#define AGREES 3.0
/* What was before weighs so much then: one fast answer ends a rest. */
#define WEIGHT_CHANGED 0.5
/* Answers that are remembered at most, so that it can change within a few. */
#define WEIGHT_MAX 16.0
/* All endpoints are taken to be as fast as the median until answers of this
 * weight have come: one prompt may wait behind another. */
#define PRIOR 1.0
/* Less than this weight is forgotten. */
#define WEIGHT_MIN 0.1
/* Times differ by this factor from one prompt to the next. */
#define EVEN 1.5
/* Work time that can be told from nonsense, in percent, and how long it holds:
 * machines change their speed several times a second. */
#define WORK_MIN 25
#define WORK_MAX 1000
#define WORK_FRESH_MS 200
/* A process that has just started fills its caches and connections in its
 * first answers, or within so long, in ms. */
#define START_MS 3000
#define START_ANSWERS 12.0
/* An endpoint as many times slower than the median may be rested. */
#define SLOW_REST 4.0
/* A rest is as long as a short stall, in ms, and doubles up to the time after
 * which a caller would rather have the endpoint tried again. */
#define REST_MS 500
#define REST_MAX_MS 4000
/* The trial after a rest is waited for so long, in ms. */
#define TRIAL_MS 1000

static double weight_at(const struct speed *s, int64_t now)
{
	double age = (double)MAX(now - s->at_ms, 0);

	if (s->weight <= 0)
		return 0;
	return s->weight * exp2(-age / (double)s->memory_ms);
}

/* It doubles at most once in its own length while answers agree, and starts
 * anew when one doesn't. */
static void set_memory(struct speed *s, bool agrees, int64_t now)
{
	if (agrees && now - s->agreed_ms < s->memory_ms)
		return;
	s->memory_ms = agrees ? MIN(2 * s->memory_ms, MEMORY_MAX_MS) :
				MEMORY_MS;
	s->agreed_ms = now;
}

void speed_note(struct speed *s, double ms, int64_t now)
{
	double weight = weight_at(s, now), ln;

	if (!(ms > 0) || !isfinite(ms))
		return;
	ln = log(ms);
	if (weight < WEIGHT_MIN) {
		s->memory_ms = MEMORY_MS;
		s->agreed_ms = now;
		weight = 0;
	} else {
		bool agrees = fabs(ln - s->mean_ln) <= log(AGREES);

		set_memory(s, agrees, now);
		if (!agrees)
			weight = MIN(weight, WEIGHT_CHANGED);
	}
	s->mean_ln = (weight * s->mean_ln + ln) / (weight + 1);
	s->weight = MIN(weight + 1, WEIGHT_MAX);
	s->at_ms = now;
	s->n++;
}

/* Calls that haven't been answered say something only above this; 0: never. */
static double usual_ms(const struct speed *s, double median, int64_t now)
{
	if (weight_at(s, now) < WEIGHT_MIN)
		return median;
	return MAX(median, exp(s->mean_ln));
}

void speed_note_least(struct speed *s, double ms, double median, int64_t now)
{
	double usual = usual_ms(s, median, now);
	uint64_t n = s->n;

	if (usual <= 0 || !(ms > usual))
		return;
	/* It isn't an answer. */
	speed_note(s, ms, now);
	s->n = n;
}

void speed_open_begin(struct speed *s)
{
	s->open_weight = s->open_ln = 0;
}

void speed_open(struct speed *s, double ms, double median, int64_t now)
{
	double usual = usual_ms(s, median, now);

	if (usual <= 0 || !(ms > usual * EVEN))
		return;
	s->open_ln += log(ms);
	s->open_weight++;
}

void speed_work(struct speed *s, int64_t percent, int64_t now)
{
	if (percent < WORK_MIN || percent > WORK_MAX)
		return;
	s->work = (double)percent / 100.0;
	s->work_ms = now;
}

double speed_reported(const struct speed *s, int64_t now)
{
	return now - s->work_ms <= WORK_FRESH_MS ? s->work : 0;
}

/* What is known by now, with calls under way; the weight says how well. */
static double known_ln(const struct speed *s, int64_t now, double *weight)
{
	double w = weight_at(s, now);

	/* They take longer than what was answered: that was before. */
	if (s->open_weight > 0)
		w = MIN(w, WEIGHT_CHANGED);
	*weight = w + s->open_weight;
	if (*weight < WEIGHT_MIN)
		return 0;
	return (w * s->mean_ln + s->open_ln) / *weight;
}

double speed_known(const struct speed *s, int64_t now)
{
	double weight;

	known_ln(s, now, &weight);
	return weight;
}

double speed_ms(const struct speed *s, int64_t now)
{
	double weight, ln = known_ln(s, now, &weight);

	return weight < WEIGHT_MIN ? 0 : exp(ln);
}

static int by_size(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double speed_median(double *ms, size_t n)
{
	if (n < 2)
		return 0;
	qsort(ms, n, sizeof(*ms), by_size);
	return ms[(n - 1) / 2];
}

double speed_ratio(const struct speed *s, double median, int64_t now)
{
	double weight, ln = known_ln(s, now, &weight);

	if (weight < WEIGHT_MIN || !(median > 0))
		return 0;
	return exp((ln - log(median)) * weight / (weight + PRIOR));
}

double speed_weight(double ratio)
{
	if (ratio >= 1 / EVEN && ratio <= EVEN)
		return 1;
	return ratio;
}

double speed_start(int64_t age_ms, uint64_t answers)
{
	double by_time = (double)age_ms / START_MS;
	double by_answers = (1.0 + (double)answers) / START_ANSWERS;

	return MIN(MAX(by_time, by_answers), 1);
}

bool speed_needs_rest(double ratio, double first_ms, int64_t objective_ms)
{
	return ratio >= SLOW_REST && objective_ms > 0 &&
	       first_ms > (double)objective_ms;
}

bool speed_is_resting(const struct speed_rest *r, int64_t now)
{
	return now < r->until_ms ||
	       (r->trial_ms && now - r->trial_ms < TRIAL_MS);
}

/* The last one is over for so long that it says nothing any more. */
static bool is_old(const struct speed_rest *r, int64_t now)
{
	return now - r->until_ms >= REST_MAX_MS;
}

bool speed_rest_is_due(const struct speed_rest *r, int64_t now)
{
	return !r->until_ms || is_old(r, now) ||
	       (r->trial_ms && now - r->trial_ms >= TRIAL_MS);
}

void speed_rest_begin(struct speed_rest *r, int64_t now)
{
	if (is_old(r, now))
		r->pause_ms = 0;
	r->pause_ms = CLAMP(2 * r->pause_ms, REST_MS, REST_MAX_MS);
	r->until_ms = now + r->pause_ms;
	r->trial_ms = 0;
}

void speed_rest_share(struct speed_rest *r, uint64_t entries, double draw,
		      int64_t now)
{
	double ms = 2 * draw * (double)entries * REST_MS;

	r->until_ms = MAX(r->until_ms, now + (int64_t)ms);
}

void speed_rest_sent(struct speed_rest *r, int64_t now)
{
	if (r->until_ms && now >= r->until_ms && !r->trial_ms)
		r->trial_ms = now;
}

bool speed_rest_answered(struct speed_rest *r, double ratio)
{
	if (ratio >= SLOW_REST)
		return r->trial_ms != 0;
	*r = (struct speed_rest){ 0 };
	return false;
}
