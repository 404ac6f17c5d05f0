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
	b->slice_ms = MAX((window_ms + REPEAT_SLICES - 1) / REPEAT_SLICES, 1);
	b->ratio = ratio;
	b->slack = slack;
}

/* Where a slice that is held is counted. */
static size_t place(int64_t slice)
{
	return (size_t)(slice % (REPEAT_SLICES + 1));
}

static void roll(struct repeat_budget *b, int64_t now)
{
	int64_t slice = now / b->slice_ms;

	while (b->slice < slice) {
		/* A long rest empties all of them. */
		b->slice = MAX(b->slice, slice - REPEAT_SLICES - 1) + 1;
		b->firsts[place(b->slice)] = 0;
		b->repeats[place(b->slice)] = 0;
	}
}

void repeat_first(struct repeat_budget *b, int64_t now)
{
	roll(b, now);
	b->firsts[place(b->slice)]++;
}

struct repeat_counts repeat_counts(struct repeat_budget *b, int64_t now)
{
	struct repeat_counts n = { 0 };
	int64_t oldest;

	roll(b, now);
	/* A part of the oldest slice lies within the window: its repeats count,
	 * its requests allow for none. */
	oldest = b->slice - REPEAT_SLICES;
	for (int64_t s = MAX(oldest, 0); s <= b->slice; s++) {
		n.repeats += b->repeats[place(s)];
		if (s > oldest)
			n.firsts += b->firsts[place(s)];
	}
	return n;
}

bool repeat_take(struct repeat_budget *b, int64_t now)
{
	struct repeat_counts n = repeat_counts(b, now);

	if ((double)n.repeats + 1 >
	    (double)n.firsts * b->ratio + (double)b->slack)
		return false;
	b->repeats[place(b->slice)]++;
	return true;
}
