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

struct repeat_counts repeat_counts(struct repeat_budget *b, int64_t now)
{
	struct repeat_counts n = { 0 };

	roll(b, b->repeats, now);
	for (int i = 0; i < REPEAT_BUCKETS; i++) {
		n.firsts += b->firsts[i];
		n.repeats += b->repeats[i];
	}
	return n;
}

bool repeat_take(struct repeat_budget *b, int64_t now)
{
	struct repeat_counts n = repeat_counts(b, now);

	if ((double)n.repeats + 1 >
	    (double)n.firsts * b->ratio + (double)b->slack)
		return false;
	(*roll(b, b->repeats, now))++;
	return true;
}
