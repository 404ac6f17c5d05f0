/* Retry budget: limits how many requests a process may send again. */
#ifndef SS_RETRY_BUDGET_H
#define SS_RETRY_BUDGET_H

#include <sapphireshift/base.h>

/*
 * All entries share a bound: in any window, retries are at most a ratio of the
 * requests in that window or in the one before it, plus some slack. Each
 * process keeps to its part of the bound by its own counts only. So the sum
 * holds when entries are disconnected, and also when processes are killed and
 * replaced, though the counts of the killed ones are lost.
 *
 * To this end each request allows for retries in two halves: one in the windows
 * that contain it, and one in the windows that begin after it. In any span of
 * up to a window, a process retries at most half the ratio of the requests in
 * the span, plus half the ratio of those in the window before the span, plus
 * its part of the slack. A process that starts within a window has no earlier
 * requests, and no slack until a window has passed. All processes together
 * spend at most half the ratio of the requests of two windows, which is at most
 * the whole ratio of the larger one.
 */
#define RETRY_SLICES 20 /* per window */
#define RETRY_SLICES_HELD (2 * RETRY_SLICES)

struct retry_budget {
	int64_t slice_ms;
	double ratio;	/* retries per request */
	int64_t start;	/* number of the slice in which the process started */
	int64_t newest; /* number of the current slice */
	/* By the number of the slice, modulo RETRY_SLICES_HELD. */
	uint32_t requests[RETRY_SLICES_HELD], retries[RETRY_SLICES_HELD];
};

struct retry_options {
	int64_t window_ms;
	double ratio;	  /* retries per request */
	int64_t start_ms; /* when the process started */
};

/*
 * Returns an entry's part, in retries, of the slack that all entries share.
 * entries: the highest number of entries reported to it; 0: none was reported
 * yet, and its part is 0.
 */
int64_t retry_slack(int64_t total, uint64_t entries);

/* Times are in ms of a monotonic clock. */
void retry_budget_init(struct retry_budget *b, const struct retry_options *o);
/* Counts a request from a caller. */
void retry_budget_request(struct retry_budget *b, int64_t now);
/* Takes one retry; returns false if none is left. slack: this entry's part. */
bool retry_budget_take(struct retry_budget *b, int64_t slack, int64_t now);
/* Refunds the retry that was taken at a time, as it wasn't sent. */
void retry_budget_refund(struct retry_budget *b, int64_t taken_ms);

struct retry_counts {
	uint64_t requests, retries;
};

/* Returns the counts of the last window. */
struct retry_counts retry_budget_counts(struct retry_budget *b, int64_t now);

#endif
