/* How many prompts one entry may have in flight on an engine. */
#include "start_limit.h"

/* Part of the limit that a decrease leaves. Entries that see the same pause all
 * decrease at once, so the engine's prompts fall by the same part. */
#define CUT_SHARE 0.5
/* The limit grows while pauses stay below this part of what their routes allow:
 * each entry may add a prompt before any of them sees the result. */
#define GROW_SHARE 0.5
/* Weight of the newest time to a first event. */
#define FIRST_WEIGHT 0.25
/* The prompts that a pause is due to were sent within a period or two before
 * it, in ms: callers rarely allow longer pauses. */
#define PERIOD_MS 1000
/* A longer time is no measurement, in ms. */
#define SANE_MS 3600000
#define NEVER_MS (INT64_MIN / 2)

void start_limit_init(struct start_limit *l)
{
	*l = (struct start_limit){ .cut_ms = NEVER_MS, .high_ms = NEVER_MS };
}

bool start_limit_allows(const struct start_limit *l, int64_t under_way)
{
	return l->most <= 0 || (double)under_way + 1 <= l->most;
}

static bool is_sane(int64_t ms, int64_t bound_ms, int64_t now)
{
	return ms > 0 && ms <= SANE_MS && bound_ms > 0 && now >= 0;
}

static int64_t peak_of(const struct start_limit *l)
{
	return MAX(MAX(l->peak, l->peak_before), 1);
}

void start_limit_sent(struct start_limit *l, int64_t under_way, int64_t now)
{
	if (under_way <= 0 || now < 0)
		return;
	if (now - l->period_ms >= PERIOD_MS) {
		l->peak_before = now - l->period_ms < 2 * PERIOD_MS ? l->peak :
								      0;
		l->peak = 0;
		l->period_ms = now;
	}
	l->peak = MAX(l->peak, under_way);
}

/* At most once within an answer's time to its first event: before, what comes
 * is still due to prompts that were sent under the former limit. */
static bool cut(struct start_limit *l, int64_t ms, int64_t now)
{
	double wait_ms = l->first_ms > 0 ? l->first_ms : (double)ms;
	double before = l->most, used = (double)peak_of(l);

	if ((double)(now - l->cut_ms) < wait_ms)
		return false;
	l->cut_ms = now;
	if (before > 0)
		used = MIN(used, before);
	l->most = MAX(used * CUT_SHARE, 1);
	return before <= 0 || l->most < before;
}

/* Where the limit is in use, and no high pause came while this prompt was
 * read: one prompt more for each round of as many as the limit. */
static void grow(struct start_limit *l, int64_t ms, int64_t now)
{
	if (l->most <= 0 || l->high_ms >= now - ms ||
	    (double)peak_of(l) + 1 <= l->most)
		return;
	l->most += 1.0 / l->most;
}

bool start_limit_first(struct start_limit *l, int64_t ms, int64_t objective_ms,
		       int64_t now)
{
	bool fell = false;

	if (!is_sane(ms, objective_ms, now))
		return false;
	if (ms <= objective_ms)
		grow(l, ms, now);
	else if (l->most > 0)
		fell = cut(l, ms, now);
	if (l->first_ms > 0)
		l->first_ms += FIRST_WEIGHT * ((double)ms - l->first_ms);
	else
		l->first_ms = (double)ms;
	return fell;
}

bool start_limit_pause(struct start_limit *l, int64_t pause_ms,
		       int64_t allowed_ms, int64_t now)
{
	if (!is_sane(pause_ms, allowed_ms, now))
		return false;
	if ((double)pause_ms >= (double)allowed_ms * GROW_SHARE)
		l->high_ms = now;
	return pause_ms > allowed_ms && cut(l, pause_ms, now);
}
