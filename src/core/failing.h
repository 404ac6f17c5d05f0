/*
 * The share of its calls that an endpoint has failed lately. It fades with
 * time, too: one that nobody calls any more has to be tried again.
 */
#ifndef SS_FAILING_H
#define SS_FAILING_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* How shares are told: whole numbers of so many. */
#define FAILING_WHOLE 1000

struct failing {
	double share; /* at that time */
	int64_t at_ms;
};

/* So many calls have ended since it was noted last. */
void failing_note(struct failing *f, uint64_t failed, uint64_t answered,
		  int64_t now);
/* The share now. */
double failing_share(const struct failing *f, int64_t now);
/* Take another one's word for it; 0 says nothing. */
void failing_told(struct failing *f, int64_t of_whole, int64_t now);
/* As it is told. */
int64_t failing_of_whole(const struct failing *f, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
