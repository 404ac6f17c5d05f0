/* Which sends of requests that were sent before are allowed. */
#ifndef SS_REPEATS_H
#define SS_REPEATS_H

#include <sapphireshift/base.h>

/*
 * A process's part of a bound on repeats that all entries share: in any window
 * a ratio of the requests in it, or in the one before it, and some slack. Every
 * process keeps to its part by what it has seen itself, so the sum holds
 * whoever is cut off, and also where processes are killed and others start in
 * their place: nobody knows what those that are gone have spent.
 *
 * So each request allows for repeats in two halves: one in the windows that it
 * comes in, one in those that begin after it. In any span of a window or less
 * a process repeats no more than half the ratio of the requests in the span,
 * half the ratio of those in the window before it, and its part of the slack.
 * One that starts in a window has none before, and no slack until a window has
 * passed; all together get half the ratio of two windows, which is no more than
 * the whole ratio of the larger.
 */
#define REPEAT_SLICES 20 /* of a window */
#define REPEAT_SLICES_HELD (2 * REPEAT_SLICES)
struct repeat_budget {
	int64_t slice_ms;
	double ratio;  /* repeats to a request */
	int64_t slack; /* repeats beside them, its part */
	int64_t slice; /* the newest one's number */
	int64_t first; /* that of the process's start */
	uint32_t firsts[REPEAT_SLICES_HELD], repeats[REPEAT_SLICES_HELD];
};

struct repeat_options {
	int64_t window_ms;
	double ratio;
	int64_t slack;
	int64_t since_ms; /* of this process's start, on the clock */
};

/* An entry's part of the slack that all of them share. entries: the most that
 * it was told of; 0: none yet, and it has no part. */
int64_t repeat_slack(int64_t all, uint64_t entries);

/* Times are in ms of one clock that doesn't jump. */
void repeat_budget_init(struct repeat_budget *b,
			const struct repeat_options *o);
/* A request has come. */
void repeat_first(struct repeat_budget *b, int64_t now);
/* Take one repeat; false where there is none left. */
bool repeat_take(struct repeat_budget *b, int64_t now);
/* The one that was taken at a time wasn't sent. */
void repeat_give_back(struct repeat_budget *b, int64_t taken_ms);

/* What was counted in the last window. */
struct repeat_counts {
	uint64_t firsts, repeats;
};

struct repeat_counts repeat_counts(struct repeat_budget *b, int64_t now);

#endif
