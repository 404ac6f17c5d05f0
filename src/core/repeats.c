/* A budget of repeats. */
#include "repeats.h"

/* A leader doesn't hear the entries that are cut off or start, and they spend
 * their part all the same. */
#define ENTRIES_MIN 20
/* Of the ratio, for the requests of a span; the rest is for those before. */
#define SPAN_SHARE 0.5

int64_t repeat_slack(int64_t all, uint64_t entries)
{
	return entries ? all / (int64_t)MAX(entries, ENTRIES_MIN) : 0;
}

void repeat_budget_init(struct repeat_budget *b, const struct repeat_options *o)
{
	memset(b, 0, sizeof(*b));
	b->slice_ms =
		MAX((o->window_ms + REPEAT_SLICES - 1) / REPEAT_SLICES, 1);
	b->ratio = o->ratio;
	b->slack = o->slack;
	b->first = b->slice = o->since_ms / b->slice_ms;
}

/* Where a slice that is held is counted. */
static size_t place(int64_t slice)
{
	return (size_t)(slice % REPEAT_SLICES_HELD);
}

static void roll(struct repeat_budget *b, int64_t now)
{
	int64_t slice = now / b->slice_ms;

	while (b->slice < slice) {
		/* A long rest empties all of them. */
		b->slice = MAX(b->slice, slice - REPEAT_SLICES_HELD) + 1;
		b->firsts[place(b->slice)] = 0;
		b->repeats[place(b->slice)] = 0;
	}
}

void repeat_first(struct repeat_budget *b, int64_t now)
{
	roll(b, now);
	b->firsts[place(b->slice)]++;
}

static uint64_t firsts_between(const struct repeat_budget *b, int64_t from,
			       int64_t to)
{
	uint64_t n = 0;

	for (int64_t s = MAX(from, b->first); s < to; s++)
		n += b->firsts[place(s)];
	return n;
}

/* What spans that begin in a slice allow for. Of the slice that is a window
 * earlier only a part lies in the window before them, so it counts nothing. */
static double allowed_since(const struct repeat_budget *b, int64_t slice)
{
	uint64_t in = firsts_between(b, slice, b->slice + 1);
	uint64_t before = firsts_between(b, slice - (REPEAT_SLICES - 1), slice);
	double slack = slice > b->first ? (double)b->slack : 0;

	return b->ratio * (SPAN_SHARE * (double)in +
			   (1 - SPAN_SHARE) * (double)before) +
	       slack;
}

bool repeat_take(struct repeat_budget *b, int64_t now)
{
	uint64_t repeats = 1;

	roll(b, now);
	/* A window ends in the slice in which the oldest span begins. */
	for (int64_t s = b->slice; s >= MAX(b->slice - REPEAT_SLICES, b->first);
	     s--) {
		repeats += b->repeats[place(s)];
		if ((double)repeats > allowed_since(b, s))
			return false;
	}
	b->repeats[place(b->slice)]++;
	return true;
}

void repeat_give_back(struct repeat_budget *b, int64_t taken_ms)
{
	int64_t slice = taken_ms / b->slice_ms;

	if (b->slice - slice < REPEAT_SLICES_HELD &&
	    b->repeats[place(slice)] > 0)
		b->repeats[place(slice)]--;
}

struct repeat_counts repeat_counts(struct repeat_budget *b, int64_t now)
{
	struct repeat_counts n = { 0 };

	roll(b, now);
	for (int64_t s = MAX(b->slice - REPEAT_SLICES, b->first); s <= b->slice;
	     s++) {
		n.firsts += b->firsts[place(s)];
		n.repeats += b->repeats[place(s)];
	}
	return n;
}
