/*
 * A customer's tokens, divided between classes of requests: the rule of both
 * sides of a limit, for the place's bucket and for an entry's purse.
 *
 * Load: a customer sends several times its limit, in requests of different
 * priorities. First come, first served would give most to patient requests,
 * which may wait for longest. So what comes is divided by demand, less to a
 * class of whose demand more was served than of a more urgent one's; each class
 * keeps its part for the next moment, and what is more goes to the others, the
 * most urgent first. A request that waits borrows what is kept for classes of
 * which none does. With one class in use it has all.
 */
#ifndef SS_QUOTA_CLASSES_H
#define SS_QUOTA_CLASSES_H

#include "quota.h"

struct quota_classes {
	double demand[QUOTA_CLASSES];  /* of late, a second */
	double spent[QUOTA_CLASSES];   /* and of that, served */
	double waiting[QUOTA_CLASSES]; /* cost of requests that wait; what is
					  kept for them isn't lent */
	double part[QUOTA_CLASSES];    /* of the tokens; below 0: borrowed */
};

/* Within the range that is kept apart. */
int quota_classes_clamp(int64_t class_id);
bool quota_classes_used(const struct quota_classes *s, int class_id);
/* More than one is in use. */
bool quota_classes_several(const struct quota_classes *s);
/* A class's part of what comes; 0 where there is no demand. */
double quota_classes_ratio(const struct quota_classes *s, int class_id);
/* Part of what comes that its next request may have: all of it for the class
 * that is served least. */
double quota_classes_next_ratio(const struct quota_classes *s, int class_id);
/* Part of its demand of late that was served; 1 where there was none. */
double quota_classes_share(const struct quota_classes *s, int class_id);

/* Divide what has come, or has gone, since the last call: total is all that
 * there is now. */
void quota_classes_settle(struct quota_classes *s, double total);
/* Of the total: what a request of that class may spend. */
double quota_classes_available(const struct quota_classes *s, int class_id,
			       double total);
/* It does; total is what there was before. */
void quota_classes_spend(struct quota_classes *s, int class_id, double n,
			 double total);

#endif
