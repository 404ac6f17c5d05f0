/* Which endpoint gets a call. */
#include "balance.h"

/* Scores are calls: how many more a node may have and be preferred all the
 * same. */
#define FAR_SCORE 0.7	   /* bytes between failure domains are priced */
#define ADAPTER_SCORE 3.0  /* a load of 6 ms, and another adapter leaves */
#define AFFINITY_SCORE 1.5 /* reading a shared prompt again, some 5 ms */
#define FAILING_SCORE 20.0 /* a tenth of failures: as two calls more */
#define TRIED_SCORE 10.0
/* A leader doesn't hear the entries that are cut off or start, and they spend
 * their part all the same. Before a word from it there may be many. */
#define ENTRIES_MIN 20
#define ENTRIES_UNTOLD 64
/* Weight of the newest call in the share of failures. */
#define FAILING_ALPHA 0.15

int64_t balance_load(const struct balance_node *n)
{
	return MAX(n->own, n->reported + n->since);
}

/* From 0 up to 1. */
static double draw(uint64_t *seed)
{
	return (double)(ss_random(seed) >> 11) / (double)(1ULL << 53);
}

/*
 * Entries that all take the emptiest by reports of the same age send a hundred
 * calls to one node before the next report. How many others have sent since,
 * and where, nobody knows; so each draws it anew, up to as many as come, and
 * nodes that differ by less than that get their share of calls by chance.
 */
static double score(const struct balance_node *n, uint64_t most_affine,
		    uint64_t *seed)
{
	double s = (double)balance_load(n) + n->unseen * draw(seed);

	if (!n->near)
		s += FAR_SCORE;
	if (!n->has_adapter)
		s += ADAPTER_SCORE;
	if (n->affinity != most_affine)
		s += AFFINITY_SCORE;
	if (n->tried)
		s += TRIED_SCORE;
	return s + FAILING_SCORE * n->failing;
}

int balance_choose(const struct balance_node *n, size_t count, double fill,
		   uint64_t tie)
{
	uint64_t most_affine = 0, seed = tie;
	double best_score = 0;
	int best = BALANCE_NOBODY;

	for (size_t i = 0; i < count; i++)
		if (n[i].usable)
			most_affine = MAX(most_affine, n[i].affinity);
	for (size_t k = 0; k < count; k++) {
		size_t i = (k + tie) % count;
		double s;

		if (!n[i].usable)
			continue;
		if ((double)balance_load(&n[i]) >=
		    (double)MAX(n[i].slots, 1) * fill) {
			if (best == BALANCE_NOBODY)
				best = BALANCE_FULL;
			continue;
		}
		s = score(&n[i], most_affine, &seed);
		if (best >= 0 && s >= best_score)
			continue;
		best = (int)i;
		best_score = s;
	}
	return best;
}

void balance_note(double *failing, bool failed)
{
	*failing += FAILING_ALPHA * ((failed ? 1.0 : 0.0) - *failing);
}

int64_t repeat_slack(int64_t all, uint64_t entries)
{
	return all /
	       (int64_t)(entries ? MAX(entries, ENTRIES_MIN) : ENTRIES_UNTOLD);
}

void repeat_budget_init(struct repeat_budget *b, int64_t window_ms,
			double ratio, int64_t slack)
{
	memset(b, 0, sizeof(*b));
	b->window_ms = MAX(window_ms, REPEAT_BUCKETS);
	b->ratio = ratio;
	b->slack = slack;
}

static uint32_t *roll(struct repeat_budget *b, uint32_t *in, int64_t now)
{
	int64_t bucket = now / (b->window_ms / REPEAT_BUCKETS);

	while (b->bucket < bucket) {
		/* A long rest empties all of them. */
		b->bucket = MAX(b->bucket, bucket - REPEAT_BUCKETS) + 1;
		b->firsts[b->bucket % REPEAT_BUCKETS] = 0;
		b->repeats[b->bucket % REPEAT_BUCKETS] = 0;
	}
	return &in[b->bucket % REPEAT_BUCKETS];
}

void repeat_first(struct repeat_budget *b, int64_t now)
{
	(*roll(b, b->firsts, now))++;
}

bool repeat_take(struct repeat_budget *b, int64_t now)
{
	uint32_t *at = roll(b, b->repeats, now);
	uint64_t firsts = 0, repeats = 0;

	for (int i = 0; i < REPEAT_BUCKETS; i++) {
		firsts += b->firsts[i];
		repeats += b->repeats[i];
	}
	if ((double)repeats + 1 > (double)firsts * b->ratio + (double)b->slack)
		return false;
	(*at)++;
	return true;
}
