/* A budget of repeats. */
#include "repeats.h"

/* A leader doesn't hear the entries that are cut off or start, and they spend
 * their part all the same. Before a word from it there may be many. */
#define ENTRIES_MIN 20
#define ENTRIES_UNTOLD 64

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
