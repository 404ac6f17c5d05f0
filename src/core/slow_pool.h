/*
 * How slow an endpoint is by what all entries see. The load it answers: many
 * entries that each call an endpoint once in some seconds, too seldom to learn
 * its speed before what they learned has faded. Entries tell the leader how
 * long answers took beside their own median; the leader adds that up and tells
 * all entries the ratio.
 */
#ifndef SS_SLOW_POOL_H
#define SS_SLOW_POOL_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Ratios and logarithms are told in so many parts of 1. */
#define SLOW_WHOLE 1000

/* Of an entry: answers since its last report. Zeroed: none. */
struct slow_seen {
	double sum_ln; /* of the logarithms of their ratios to the median */
	uint64_t n;
};

/* Of the leader. Zeroed: nothing is known. */
struct slow_pool {
	double weight;	/* of answers, in answers, at at_ms */
	double mean_ln; /* of the logarithms of their ratios */
	int64_t at_ms;
	int64_t told; /* to entries; 0: nothing, or that it is even again */
	int64_t told_ms;
};

/* Of an entry: what the leader told last. Zeroed: nothing. */
struct slow_told {
	double ratio;
	int64_t at_ms;
};

/* An answer took so many times the median; anything but a number above 0 is
 * ignored. */
void slow_seen_note(struct slow_seen *s, double ratio);
/* The sum as it is reported, in thousandths. */
int64_t slow_seen_sum(const struct slow_seen *s);

/* An entry has reported so many answers. Absurd figures count as the largest
 * that an endpoint's calls can show. */
void slow_pool_add(struct slow_pool *p, int64_t sum_ln, uint64_t n,
		   int64_t now);
/* The ratio in thousandths as it is to be told; 0: nothing, as it is not known
 * well enough, or even and entries know no better. */
int64_t slow_pool_ratio(const struct slow_pool *p, int64_t now);
/* It has changed by enough to matter since it was told, or entries would
 * forget it. */
bool slow_pool_is_news(const struct slow_pool *p, int64_t now);
/* It is told now. */
void slow_pool_tell(struct slow_pool *p, int64_t now);

/* The leader's word, in thousandths; what isn't above 0 says nothing. */
void slow_told_take(struct slow_told *t, int64_t ratio, int64_t now);
/* That as a ratio; 0: none is fresh. */
double slow_told_ratio(const struct slow_told *t, int64_t now);
/* What counts for an entry with a ratio of its own (0: not known) that is worth
 * so many answers: the one of them with the larger weight. */
double slow_told_or_own(const struct slow_told *t, double own, double weight,
			int64_t now);

#ifdef __cplusplus
}
#endif
#endif
