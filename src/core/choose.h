/*
 * Selection of a replica for a call. The reported load is always slightly
 * stale, so it is corrected by the calls sent since the report.
 */
#ifndef SS_CHOOSE_H
#define SS_CHOOSE_H

#include <sapphireshift/base.h>

/* Length of slow start: a new replica gets its full share of calls after it. */
#define CHOOSE_SLOW_START_MS 2000

/* A candidate replica. */
struct target {
	uint64_t slots;
	uint64_t own_calls;	 /* running calls of this entry */
	uint64_t reported_calls; /* running calls as of its last reply */
	uint64_t sent_since;	 /* calls of this entry sent after that reply */
	int64_t age_ms;		 /* time since it became ready */
	bool same_domain;
	bool prefix_cached; /* probably has the call's prompt prefix cached */
	bool usable;	    /* connected, and its breaker allows a call */
};

/* Returns the estimated running calls: the reported ones and those sent since,
 * and at least the entry's own. */
uint64_t target_load(const struct target *t);
/* Returns the number of calls that the replica can accept now. */
uint64_t target_free_slots(const struct target *t);

/* Returns the index of the best candidate with a free slot, or -1. The scan
 * starts at tie modulo n, which spreads calls over equal candidates. */
int choose_target(const struct target *t, size_t n, uint64_t tie);

#endif
