/* A retry budget: how many requests a process may send again. */
#ifndef SS_RETRY_BUDGET_H
#define SS_RETRY_BUDGET_H

#include <sapphireshift/base.h>

/*
 * A process's part of a bound that all entries share: in any window, retries
 * for a ratio of the requests in it or in the window before it, and some slack.
 * Each process keeps to its part by what it has seen itself, so the sum holds
 * whoever is cut off, and also where processes are killed and others start in
 * their place: nobody knows what those that are gone have spent.
 *
 * For that each request allows for retries in two halves: one in the windows
 * that it comes in, one in those that begin after it. In any span of a window
 * or less a process retries no more than half the ratio of the requests in the
 * span, half the ratio of those in the window before it, and its part of the
 * slack. One that starts in a window has no requests before it, and no slack
 * until a window has passed. All together spend half the ratio of two windows
 * at most, which is no more than the whole ratio of the larger one.
 */
#define RETRY_SLICES 20 /* of a window */
#define RETRY_SLICES_HELD (2 * RETRY_SLICES)
struct retry_budget {
	int64_t slice_ms;
	double ratio;	/* retries to a request */
	int64_t start;	/* the slice in which the process started, by number */
	int64_t newest; /* the one that is counted in */
	uint32_t requests[RETRY_SLICES_HELD], retries[RETRY_SLICES_HELD];
};

struct retry_options {
	int64_t window_ms;
	double ratio;
	int64_t since_ms; /* of the process's start, on the clock */
};

/* An entry's part of the slack that all of them share. entries: the most that
 * it was told of; 0: none yet, and it has no part. */
int64_t retry_slack(int64_t all, uint64_t entries);

/* Times are in ms of one clock that doesn't jump. */
void retry_budget_init(struct retry_budget *b, const struct retry_options *o);
/* A request has come. */
void retry_budget_request(struct retry_budget *b, int64_t now);
/* Take one retry; false where there is none left. slack: its part. */
bool retry_budget_take(struct retry_budget *b, int64_t slack, int64_t now);
/* The one that was taken at a time wasn't sent. */
void retry_budget_give_back(struct retry_budget *b, int64_t taken_ms);

/* What was counted in the last window. */
struct retry_counts {
	uint64_t requests, retries;
};

struct retry_counts retry_budget_counts(struct retry_budget *b, int64_t now);

#endif
