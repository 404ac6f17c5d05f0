/* A customer's tokens, divided between classes of requests. */
#include "quota_classes.h"

/* A class with less than this part of the demand isn't in use. */
#define USED_RATIO 0.001
/* The next moment, in s: a class keeps what its requests of that time take. */
#define KEEP_S 0.4
/* However little of the more urgent classes' demand was served, a class counts
 * with so much of its own. */
#define WEIGHT_LEAST 0.25
/* Parts of demands that differ by less are alike: one refusal in the memory of
 * a demand makes as much. */
#define SHARE_NOISE 0.05

int quota_classes_clamp(int64_t class)
{
	return (int)CLAMP(class, 0, QUOTA_CLASSES - 1);
}

static double sum(const double *n)
{
	double all = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		all += n[i];
	return all;
}

static bool used_of(const struct quota_classes *s, int class, double demand)
{
	return s->waiting[class] > 0 || s->demand[class] > USED_RATIO * demand;
}

bool quota_classes_used(const struct quota_classes *s, int class)
{
	return used_of(s, class, sum(s->demand));
}

bool quota_classes_several(const struct quota_classes *s)
{
	double demand = sum(s->demand);
	int n = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		n += used_of(s, i, demand);
	return n > 1;
}

double quota_classes_share(const struct quota_classes *s, int class)
{
	return s->demand[class] > 0 ? s->spent[class] / s->demand[class] : 1;
}

/* Its demand, less where its share is larger than that of a more urgent class.
 */
static double weight(const struct quota_classes *s, int class, double demand)
{
	double share = quota_classes_share(s, class), least = share;

	for (int i = 0; i < class; i++)
		if (used_of(s, i, demand))
			least = MIN(least, quota_classes_share(s, i));
	return s->demand[class] *
	       (share > 0 ? MAX(least / share, WEIGHT_LEAST) : 1);
}

static void divide(const struct quota_classes *s, double *ratios)
{
	double demand = sum(s->demand), all = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++) {
		ratios[i] = s->demand[i] > 0 ? weight(s, i, demand) : 0;
		all += ratios[i];
	}
	for (int i = 0; i < QUOTA_CLASSES; i++)
		ratios[i] = all > 0 ? ratios[i] / all : 0;
}

double quota_classes_ratio(const struct quota_classes *s, int class)
{
	double ratios[QUOTA_CLASSES];

	divide(s, ratios);
	return ratios[class];
}

static double kept_most(const struct quota_classes *s, int class)
{
	return s->demand[class] * KEEP_S + s->waiting[class];
}

void quota_classes_settle(struct quota_classes *s, double total)
{
	double left = total - sum(s->part), ratios[QUOTA_CLASSES];

	divide(s, ratios);
	for (int i = 0; i < QUOTA_CLASSES; i++)
		s->part[i] += left * ratios[i];
	/* What is more than a class keeps goes to the most urgent. */
	for (int i = 0; i < QUOTA_CLASSES; i++)
		s->part[i] = MIN(s->part[i], kept_most(s, i));
	left = total - sum(s->part);
	for (int i = 0; i < QUOTA_CLASSES && left > 0; i++) {
		double n = MIN(kept_most(s, i) - s->part[i], left);

		s->part[i] += n;
		left -= n;
	}
}

/* No other class is served a clearly smaller part of its demand. */
static bool is_least_served(const struct quota_classes *s, int class)
{
	double demand = sum(s->demand), share = quota_classes_share(s, class);

	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (i != class && used_of(s, i, demand) &&
		    quota_classes_share(s, i) < share - SHARE_NOISE)
			return false;
	return true;
}

double quota_classes_next_ratio(const struct quota_classes *s, int class)
{
	return is_least_served(s, class) ? 1 : quota_classes_ratio(s, class);
}

/*
 * A class whose request waits borrows what classes without one keep for the
 * next moment. A rare class's request would otherwise be refused before the
 * class's own part of what comes makes up one.
 */
static double lent_to(const struct quota_classes *s, int class)
{
	double n = 0;

	if (s->waiting[class] <= 0)
		return 0;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (s->waiting[i] <= 0)
			n += MAX(s->part[i], 0);
	return n;
}

double quota_classes_available(const struct quota_classes *s, int class,
			       double total)
{
	double free = total - sum(s->part);

	if (!quota_classes_several(s) || is_least_served(s, class))
		return total;
	return MIN(s->part[class] + free + lent_to(s, class), total);
}

void quota_classes_spend(struct quota_classes *s, int class, double n,
			 double total)
{
	double left = MAX(total - sum(s->part), 0);

	/* Its own first, and then what is free for all. */
	s->part[class] -= n;
	if (s->part[class] < 0)
		s->part[class] += MIN(left, -s->part[class]);
}
