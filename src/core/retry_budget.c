/* Retry budget of a process. */
#include "retry_budget.h"

/* Minimum number of entries that the slack is divided by: the leader doesn't
 * count disconnected entries, which spend their part all the same. */
#define ENTRIES_MIN 20
/* Part of the ratio for the requests of a span; the rest is for those in the
 * window before it. */
#define SPAN_PART 0.5

int64_t retry_slack(int64_t total, uint64_t entries)
{
	return entries ? total / (int64_t)MAX(entries, ENTRIES_MIN) : 0;
}

void retry_budget_init(struct retry_budget *b, const struct retry_options *o)
{
	memset(b, 0, sizeof(*b));
	b->slice_ms = MAX((o->window_ms + RETRY_SLICES - 1) / RETRY_SLICES, 1);
	b->ratio = o->ratio;
	b->start = b->newest = o->start_ms / b->slice_ms;
}

/* Returns the index of a slice in the arrays. */
static size_t slice_index(int64_t slice)
{
	return (size_t)(slice % RETRY_SLICES_HELD);
}

static void advance(struct retry_budget *b, int64_t now)
{
	int64_t slice = now / b->slice_ms;

	while (b->newest < slice) {
		/* After a long pause all slices are cleared. */
		b->newest = MAX(b->newest, slice - RETRY_SLICES_HELD) + 1;
		b->requests[slice_index(b->newest)] = 0;
		b->retries[slice_index(b->newest)] = 0;
	}
}

/* Returns the oldest slice of the last window; only a part of it lies within
 * the window. */
static int64_t oldest_slice(const struct retry_budget *b)
{
	return MAX(b->newest - RETRY_SLICES, b->start);
}

void retry_budget_request(struct retry_budget *b, int64_t now)
{
	advance(b, now);
	b->requests[slice_index(b->newest)]++;
}

static uint64_t count_requests(const struct retry_budget *b, int64_t from,
			       int64_t to)
{
	uint64_t n = 0;

	for (int64_t s = MAX(from, b->start); s < to; s++)
		n += b->requests[slice_index(s)];
	return n;
}

/*
 * Returns the retries allowed in the span from a slice until now. The slice one
 * window before it lies only partly in the window before the span, and isn't
 * counted.
 */
static double allowed_since(const struct retry_budget *b, int64_t slice,
			    int64_t slack)
{
	uint64_t within = count_requests(b, slice, b->newest + 1);
	uint64_t before = count_requests(b, slice - (RETRY_SLICES - 1), slice);

	return b->ratio * (SPAN_PART * (double)within +
			   (1 - SPAN_PART) * (double)before) +
	       (slice > b->start ? (double)slack : 0);
}

bool retry_budget_take(struct retry_budget *b, int64_t slack, int64_t now)
{
	uint64_t retries = 1;

	advance(b, now);
	for (int64_t s = b->newest; s >= oldest_slice(b); s--) {
		retries += b->retries[slice_index(s)];
		if ((double)retries > allowed_since(b, s, slack))
			return false;
	}
	b->retries[slice_index(b->newest)]++;
	return true;
}

void retry_budget_refund(struct retry_budget *b, int64_t taken_ms)
{
	int64_t slice = taken_ms / b->slice_ms;

	if (b->newest - slice < RETRY_SLICES_HELD &&
	    b->retries[slice_index(slice)] > 0)
		b->retries[slice_index(slice)]--;
}

struct retry_counts retry_budget_counts(struct retry_budget *b, int64_t now)
{
	struct retry_counts n = { 0 };

	advance(b, now);
	for (int64_t s = oldest_slice(b); s <= b->newest; s++) {
		n.requests += b->requests[slice_index(s)];
		n.retries += b->retries[slice_index(s)];
	}
	return n;
}
