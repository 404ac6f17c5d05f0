/* Start limit: how many prompts an entry may have in flight on an engine. */
#include "start_limit.h"

/* Part of the limit that a decrease leaves. Entries that see the same pause all
 * decrease at once, so the number of prompts on the engine falls by the same
 * factor. */
#define DECREASE_FACTOR 0.5
/*
 * A pause of at least this part of what its route allows is high, and keeps the
 * limit from increasing: each entry may add a prompt before any of them sees
 * the result.
 */
#define HIGH_PAUSE_PART 0.5
/* Weight of the newest time to a first event in the mean. */
#define FIRST_EVENT_WEIGHT 0.25
/*
 * Period over which the most prompts in flight are recorded, in ms: the prompts
 * that cause a pause were sent within one or two periods before it, as callers
 * rarely allow longer pauses.
 */
#define PERIOD_MS 1000
/* Longest valid measurement, in ms. */
#define VALID_MAX_MS 3600000
#define NEVER_MS (INT64_MIN / 2)

void start_limit_init(struct start_limit *l)
{
	*l = (struct start_limit){ .decrease_ms = NEVER_MS,
				   .high_pause_ms = NEVER_MS };
}

bool start_limit_allows(const struct start_limit *l, int64_t in_flight)
{
	return l->max_in_flight <= 0 ||
	       (double)in_flight + 1 <= l->max_in_flight;
}

static bool is_valid(int64_t ms, int64_t bound_ms, int64_t now)
{
	return ms > 0 && ms <= VALID_MAX_MS && bound_ms > 0 && now >= 0;
}

static int64_t peak_of(const struct start_limit *l)
{
	return MAX(MAX(l->peak, l->last_peak), 1);
}

void start_limit_sent(struct start_limit *l, int64_t in_flight, int64_t now)
{
	if (in_flight <= 0 || now < 0)
		return;
	if (now - l->period_start_ms >= PERIOD_MS) {
		l->last_peak =
			now - l->period_start_ms < 2 * PERIOD_MS ? l->peak : 0;
		l->peak = 0;
		l->period_start_ms = now;
	}
	l->peak = MAX(l->peak, in_flight);
}

/*
 * Decreases the limit, at most once within the mean time to a first event:
 * until then, what is observed is still due to prompts sent under the former
 * limit.
 */
static bool decrease(struct start_limit *l, int64_t ms, int64_t now)
{
	double wait_ms = l->first_event_ms > 0 ? l->first_event_ms : (double)ms;
	double before = l->max_in_flight, used = (double)peak_of(l);

	if ((double)(now - l->decrease_ms) < wait_ms)
		return false;
	l->decrease_ms = now;
	if (before > 0)
		used = MIN(used, before);
	l->max_in_flight = MAX(used * DECREASE_FACTOR, 1);
	return before <= 0 || l->max_in_flight < before;
}

/*
 * Increases the limit by one prompt for each round of as many first events as
 * the limit, if the limit is in use and no high pause came while this prompt
 * was read.
 */
static void increase(struct start_limit *l, int64_t ms, int64_t now)
{
	if (l->max_in_flight <= 0 || l->high_pause_ms >= now - ms ||
	    (double)peak_of(l) + 1 <= l->max_in_flight)
		return;
	l->max_in_flight += 1.0 / l->max_in_flight;
}

bool start_limit_first_event(struct start_limit *l, int64_t ms,
			     int64_t objective_ms, int64_t now)
{
	bool lowered = false;

	if (!is_valid(ms, objective_ms, now))
		return false;
	if (ms <= objective_ms)
		increase(l, ms, now);
	else if (l->max_in_flight > 0)
		lowered = decrease(l, ms, now);
	if (l->first_event_ms > 0)
		l->first_event_ms +=
			FIRST_EVENT_WEIGHT * ((double)ms - l->first_event_ms);
	else
		l->first_event_ms = (double)ms;
	return lowered;
}

bool start_limit_pause(struct start_limit *l, int64_t pause_ms,
		       int64_t allowed_ms, int64_t now)
{
	if (!is_valid(pause_ms, allowed_ms, now))
		return false;
	if ((double)pause_ms >= (double)allowed_ms * HIGH_PAUSE_PART)
		l->high_pause_ms = now;
	return pause_ms > allowed_ms && decrease(l, pause_ms, now);
}
