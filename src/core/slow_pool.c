/* How slow an endpoint is by what all entries see. */
#include "slow_pool.h"

#include <math.h>

#include "speed.h"

/* An answer counts for half after so long, in ms: as an entry's own. */
#define HALF_LIFE_MS 3000.0
/* Answers of one report that count: those that an entry gets of an endpoint
 * between two, so that a wrong number doesn't outweigh all other entries. */
#define ANSWERS_MAX 8
/* An answer as many times slower or faster than the median counts as this: a
 * call waits for seconds where others take some 50 ms. */
#define RATIO_MAX 100.0
/* Fewer answers may be some long prompts, as entries report only what differs
 * from their median. The trials after rests that all entries take bring more.
 */
#define WEIGHT_LEAST 5.0
/* The pool is taken to be even until answers of this weight have come. */
#define PRIOR 1.0
/* Ratios that differ by less move few calls. */
#define NEWS 1.2
/* While it is slow it is told again, before entries would forget it. */
#define AGAIN_MS 1000
/* The leader's word holds so long without another. */
#define FRESH_MS 3000
/* It counts for as many answers as an entry remembers at most, and for half
 * after so long, in ms. */
#define TOLD_WEIGHT 16.0
#define TOLD_HALF_MS 1000.0

void slow_seen_note(struct slow_seen *s, double ratio)
{
	if (!(ratio > 0) || !isfinite(ratio))
		return;
	s->sum_ln += log(ratio);
	s->n++;
}

int64_t slow_seen_sum(const struct slow_seen *s)
{
	return llround(s->sum_ln * SLOW_WHOLE);
}

static double weight_at(const struct slow_pool *p, int64_t now)
{
	double age = (double)MAX(now - p->at_ms, 0);

	return p->weight * exp2(-age / HALF_LIFE_MS);
}

void slow_pool_add(struct slow_pool *p, int64_t sum_ln, uint64_t n, int64_t now)
{
	double most = log(RATIO_MAX), before = weight_at(p, now);
	double ln, more = (double)MIN(n, ANSWERS_MAX);

	if (!n)
		return;
	ln = (double)sum_ln / SLOW_WHOLE / (double)n;
	ln = CLAMP(ln, -most, most);
	p->mean_ln = (before * p->mean_ln + more * ln) / (before + more);
	p->weight = before + more;
	p->at_ms = now;
}

static bool is_even(int64_t ratio)
{
	return speed_weight((double)ratio / SLOW_WHOLE) == 1;
}

int64_t slow_pool_ratio(const struct slow_pool *p, int64_t now)
{
	double weight = weight_at(p, now);
	int64_t ratio;

	if (weight < WEIGHT_LEAST)
		return 0;
	ratio = llround(SLOW_WHOLE *
			exp(p->mean_ln * weight / (weight + PRIOR)));
	if (!is_even(ratio))
		return ratio;
	return p->told ? SLOW_WHOLE : 0;
}

bool slow_pool_is_news(const struct slow_pool *p, int64_t now)
{
	int64_t ratio = slow_pool_ratio(p, now);

	if (!ratio || ratio == p->told)
		return ratio && now - p->told_ms >= AGAIN_MS;
	if (!p->told || now - p->told_ms >= AGAIN_MS)
		return true;
	return fabs(log((double)ratio / (double)p->told)) > log(NEWS);
}

void slow_pool_tell(struct slow_pool *p, int64_t now)
{
	int64_t ratio = slow_pool_ratio(p, now);

	p->told = ratio == SLOW_WHOLE ? 0 : ratio;
	p->told_ms = now;
}

void slow_told_take(struct slow_told *t, int64_t ratio, int64_t now)
{
	double told = (double)ratio / SLOW_WHOLE;

	if (ratio > 0)
		*t = (struct slow_told){ CLAMP(told, 1 / RATIO_MAX, RATIO_MAX),
					 now };
}

double slow_told_ratio(const struct slow_told *t, int64_t now)
{
	return now - t->at_ms < FRESH_MS ? t->ratio : 0;
}

double slow_told_or_own(const struct slow_told *t, double own, double weight,
			int64_t now)
{
	double told = slow_told_ratio(t, now);
	double age = (double)MAX(now - t->at_ms, 0);

	if (told <= 0 ||
	    (own > 0 && weight > TOLD_WEIGHT * exp2(-age / TOLD_HALF_MS)))
		return own;
	return told;
}
