/* Which sends of requests that were sent before are allowed. */
#ifndef SS_REPEATS_H
#define SS_REPEATS_H

#include <sapphireshift/base.h>

/*
 * Repeats within a sliding window, as a share of first sends and a little
 * beside. Each entry holds its own share of the bound, so that all of them
 * together keep it without a word between them, whoever is cut off.
 */
#define REPEAT_SLICES 20 /* of a window */
struct repeat_budget {
	int64_t slice_ms;
	double ratio;  /* of first sends in the window */
	int64_t slack; /* beside them */
	int64_t slice; /* the newest one's number */
	/* One more than a window has: the newest has just begun. */
	uint32_t firsts[REPEAT_SLICES + 1], repeats[REPEAT_SLICES + 1];
};

/* An entry's part of the slack that all of them share. entries: the most that
 * it was told of; 0: none yet. */
int64_t repeat_slack(int64_t all, uint64_t entries);

void repeat_budget_init(struct repeat_budget *b, int64_t window_ms,
			double ratio, int64_t slack);
void repeat_first(struct repeat_budget *b, int64_t now);
/* Take one repeat; false where the window has none left. */
bool repeat_take(struct repeat_budget *b, int64_t now);

/* What the window holds now. */
struct repeat_counts {
	uint64_t firsts, repeats;
};

struct repeat_counts repeat_counts(struct repeat_budget *b, int64_t now);

#endif
