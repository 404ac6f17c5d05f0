/* Selection of a replica for a call, by load and locality. */
#include "choose.h"

/* Added to or subtracted from a score, as a fraction of a replica's slots. */
#define OTHER_DOMAIN_PENALTY 0.25
#define PREFIX_BONUS 0.5
/* At this load or above, a cached prefix isn't worth queueing behind others. */
#define PREFIX_LOAD_MAX 0.75

uint64_t target_load(const struct target *t)
{
	return MAX(t->own_calls, t->reported_calls + t->sent_since);
}

/* Returns the usable slots, which grow linearly from one during slow start. */
static uint64_t slow_start_slots(const struct target *t)
{
	uint64_t n;

	if (t->age_ms >= CHOOSE_SLOW_START_MS)
		return t->slots;
	n = t->slots * (uint64_t)MAX(t->age_ms, 0) / CHOOSE_SLOW_START_MS;
	return MAX(n, 1);
}

uint64_t target_free_slots(const struct target *t)
{
	uint64_t slots = slow_start_slots(t);
	uint64_t load = target_load(t);

	return t->usable && load < slots ? slots - load : 0;
}

/* Returns the score of a candidate; the lowest one wins. */
static double score(const struct target *t)
{
	double load = (double)target_load(t) / (double)MAX(t->slots, 1);
	double s = load;

	if (!t->same_domain)
		s += OTHER_DOMAIN_PENALTY;
	if (t->prefix_cached && load < PREFIX_LOAD_MAX)
		s -= PREFIX_BONUS;
	return s;
}

int choose_target(const struct target *t, size_t n, uint64_t tie)
{
	int best = -1;
	double best_score = 0;

	for (size_t k = 0; k < n; k++) {
		size_t i = (k + tie) % n;
		double s;

		if (target_free_slots(&t[i]) == 0)
			continue;
		s = score(&t[i]);
		if (best < 0 || s < best_score) {
			best = (int)i;
			best_score = s;
		}
	}
	return best;
}
