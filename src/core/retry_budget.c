/* A retry budget. */
#include "retry_budget.h"

/* A leader doesn't hear the entries that are cut off, and they spend their part
 * all the same. */
#define ENTRIES_MIN 20
/* Of the ratio, for the requests of a span; the rest is for those before it. */
#define SPAN_SHARE 0.5

int64_t retry_slack(int64_t all, uint64_t entries)
{
	return entries ? all / (int64_t)MAX(entries, ENTRIES_MIN) : 0;
}

void retry_budget_init(struct retry_budget *b, const struct retry_options *o)
{
	memset(b, 0, sizeof(*b));
	b->slice_ms = MAX((o->window_ms + RETRY_SLICES - 1) / RETRY_SLICES, 1);
	b->ratio = o->ratio;
	b->start = b->newest = o->since_ms / b->slice_ms;
}

/* Where a slice is counted. */
static size_t index_of(int64_t slice)
{
	return (size_t)(slice % RETRY_SLICES_HELD);
}

static void advance(struct retry_budget *b, int64_t now)
{
	int64_t slice = now / b->slice_ms;

	while (b->newest < slice) {
		/* A long rest empties all of them. */
		b->newest = MAX(b->newest, slice - RETRY_SLICES_HELD) + 1;
		b->requests[index_of(b->newest)] = 0;
		b->retries[index_of(b->newest)] = 0;
	}
}

/* The first slice of the last window, of which only a part lies within it. */
static int64_t oldest(const struct retry_budget *b)
{
	return MAX(b->newest - RETRY_SLICES, b->start);
}

void retry_budget_request(struct retry_budget *b, int64_t now)
{
	advance(b, now);
	b->requests[index_of(b->newest)]++;
}

static uint64_t requests_between(const struct retry_budget *b, int64_t from,
				 int64_t to)
{
	uint64_t n = 0;

	for (int64_t s = MAX(from, b->start); s < to; s++)
		n += b->requests[index_of(s)];
	return n;
}

/* For a span that begins in a slice. Of the slice that is a window earlier only
 * a part lies in the window before the span: it counts nothing. */
static double allowed_since(const struct retry_budget *b, int64_t slice,
			    int64_t slack)
{
	uint64_t in = requests_between(b, slice, b->newest + 1);
	uint64_t before =
		requests_between(b, slice - (RETRY_SLICES - 1), slice);

	return b->ratio * (SPAN_SHARE * (double)in +
			   (1 - SPAN_SHARE) * (double)before) +
	       (slice > b->start ? (double)slack : 0);
}

bool retry_budget_take(struct retry_budget *b, int64_t slack, int64_t now)
{
	uint64_t retries = 1;

	advance(b, now);
	for (int64_t s = b->newest; s >= oldest(b); s--) {
		retries += b->retries[index_of(s)];
		if ((double)retries > allowed_since(b, s, slack))
			return false;
	}
	b->retries[index_of(b->newest)]++;
	return true;
}

void retry_budget_give_back(struct retry_budget *b, int64_t taken_ms)
{
	int64_t slice = taken_ms / b->slice_ms;

	if (b->newest - slice < RETRY_SLICES_HELD &&
	    b->retries[index_of(slice)] > 0)
		b->retries[index_of(slice)]--;
}

struct retry_counts retry_budget_counts(struct retry_budget *b, int64_t now)
{
	struct retry_counts n = { 0 };

	advance(b, now);
	for (int64_t s = oldest(b); s <= b->newest; s++) {
		n.requests += b->requests[index_of(s)];
		n.retries += b->retries[index_of(s)];
	}
	return n;
}
