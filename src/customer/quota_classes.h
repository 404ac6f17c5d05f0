/*
 * Division of a customer's tokens between classes of requests. Both sides of a
 * limit use it: the allocator for its bucket, and a quota client for its
 * balance.
 *
 * The division matters when a customer sends several times its limit in
 * requests of different priorities. First come, first served would give most
 * tokens to patient requests, as they may wait longest. So new tokens are
 * divided by demand, and a class gets less if a larger fraction of its demand
 * was served than of a more urgent class's. Each class retains its part for its
 * next requests; the surplus goes to the others, the most urgent first. A
 * waiting request borrows what is retained for classes without a waiting
 * request. If one class is in use it gets everything.
 */
#ifndef SS_QUOTA_CLASSES_H
#define SS_QUOTA_CLASSES_H

#include "quota.h"

struct quota_classes {
	double demand[QUOTA_CLASSES];  /* recently, per second */
	double served[QUOTA_CLASSES];  /* served part of the demand */
	double waiting[QUOTA_CLASSES]; /* cost of waiting requests, in an
					  allocator the shortfall of the first;
					  a class that has any lends nothing */
	double balance[QUOTA_CLASSES]; /* of the total; below 0: borrowed */
};

/* Maps a class to the range of classes that are kept apart. */
int quota_classes_clamp(int64_t class_id);
bool quota_classes_used(const struct quota_classes *s, int class_id);
/* Returns true if more than one class is in use. */
bool quota_classes_several(const struct quota_classes *s);
/* Returns a class's fraction of new tokens; 0 without demand. */
double quota_classes_ratio(const struct quota_classes *s, int class_id);
/* Returns the fraction of new tokens that is available to the class's next
 * request: 1 for the class that is served least. */
double quota_classes_next_ratio(const struct quota_classes *s, int class_id);
/* Returns the fraction of a class's recent demand that was served; 1 without
 * demand. */
double quota_classes_served_ratio(const struct quota_classes *s, int class_id);

/* Divides the change since the last call between the classes; total is the
 * amount that there is now. */
void quota_classes_divide(struct quota_classes *s, double total);
/* Returns how much of the total a request of that class may spend. */
double quota_classes_available(const struct quota_classes *s, int class_id,
			       double total);
/* Spends n for a class; total is the amount before that. */
void quota_classes_spend(struct quota_classes *s, int class_id, double n,
			 double total);

#endif
