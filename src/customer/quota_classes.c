/* Divides a customer's tokens between classes of requests. */
#include "quota_classes.h"

/* A class with less than this fraction of the demand, and no waiting request,
 * isn't in use. */
#define USED_MIN_RATIO 0.001
/* Each class retains tokens for its demand of this time, in s. */
#define RETAIN_S 0.4
/* Lower bound of a class's weight, as a fraction of its demand, however little
 * of the demand of more urgent classes was served. */
#define WEIGHT_MIN 0.25
/* Served ratios that differ by less count as equal: a single refusal changes
 * the ratio of a recent demand by as much. */
#define RATIO_TOLERANCE 0.05

int quota_classes_clamp(int64_t class)
{
	return (int)CLAMP(class, 0, QUOTA_CLASSES - 1);
}

static double sum(const double *n)
{
	double total = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		total += n[i];
	return total;
}

static bool is_used(const struct quota_classes *s, int class, double demand)
{
	return s->waiting[class] > 0 ||
	       s->demand[class] > USED_MIN_RATIO * demand;
}

bool quota_classes_used(const struct quota_classes *s, int class)
{
	return is_used(s, class, sum(s->demand));
}

bool quota_classes_several(const struct quota_classes *s)
{
	double demand = sum(s->demand);
	int n = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		n += is_used(s, i, demand);
	return n > 1;
}

double quota_classes_served_ratio(const struct quota_classes *s, int class)
{
	return s->demand[class] > 0 ? s->served[class] / s->demand[class] : 1;
}

/* Returns the weight of a class: its demand, reduced where a larger fraction of
 * it was served than of a more urgent class's. */
static double weight(const struct quota_classes *s, int class, double demand)
{
	double ratio = quota_classes_served_ratio(s, class), least = ratio;

	for (int i = 0; i < class; i++)
		if (is_used(s, i, demand))
			least = MIN(least, quota_classes_served_ratio(s, i));
	return s->demand[class] *
	       (ratio > 0 ? MAX(least / ratio, WEIGHT_MIN) : 1);
}

static void compute_ratios(const struct quota_classes *s, double *ratios)
{
	double demand = sum(s->demand), total = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++) {
		ratios[i] = s->demand[i] > 0 ? weight(s, i, demand) : 0;
		total += ratios[i];
	}
	for (int i = 0; i < QUOTA_CLASSES; i++)
		ratios[i] = total > 0 ? ratios[i] / total : 0;
}

double quota_classes_ratio(const struct quota_classes *s, int class)
{
	double ratios[QUOTA_CLASSES];

	compute_ratios(s, ratios);
	return ratios[class];
}

static double max_retained(const struct quota_classes *s, int class)
{
	return s->demand[class] * RETAIN_S + s->waiting[class];
}

void quota_classes_divide(struct quota_classes *s, double total)
{
	double left = total - sum(s->balance), ratios[QUOTA_CLASSES];

	compute_ratios(s, ratios);
	for (int i = 0; i < QUOTA_CLASSES; i++)
		s->balance[i] += left * ratios[i];
	/* The surplus over what a class retains goes to the most urgent
	 * classes. */
	for (int i = 0; i < QUOTA_CLASSES; i++)
		s->balance[i] = MIN(s->balance[i], max_retained(s, i));
	left = total - sum(s->balance);
	for (int i = 0; i < QUOTA_CLASSES && left > 0; i++) {
		double n = MIN(max_retained(s, i) - s->balance[i], left);

		s->balance[i] += n;
		left -= n;
	}
}

/* Returns true if no other class is served a clearly smaller fraction of its
 * demand. */
static bool is_least_served(const struct quota_classes *s, int class)
{
	double demand = sum(s->demand),
	       ratio = quota_classes_served_ratio(s, class);

	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (i != class && is_used(s, i, demand) &&
		    quota_classes_served_ratio(s, i) < ratio - RATIO_TOLERANCE)
			return false;
	return true;
}

double quota_classes_next_ratio(const struct quota_classes *s, int class)
{
	return is_least_served(s, class) ? 1 : quota_classes_ratio(s, class);
}

/*
 * Returns how much a class may borrow: with a waiting request, what classes
 * without one retain. Otherwise a request of a rare class would be refused
 * before the class's own fraction of new tokens adds up to its cost.
 */
static double borrowable(const struct quota_classes *s, int class)
{
	double n = 0;

	if (s->waiting[class] <= 0)
		return 0;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (s->waiting[i] <= 0)
			n += MAX(s->balance[i], 0);
	return n;
}

double quota_classes_available(const struct quota_classes *s, int class,
			       double total)
{
	double left = total - sum(s->balance);

	if (!quota_classes_several(s) || is_least_served(s, class))
		return total;
	return MIN(s->balance[class] + left + borrowable(s, class), total);
}

void quota_classes_spend(struct quota_classes *s, int class, double n,
			 double total)
{
	double left = MAX(total - sum(s->balance), 0);

	/* Spend the class's own balance first, then what no class retains. */
	s->balance[class] -= n;
	if (s->balance[class] < 0)
		s->balance[class] += MIN(left, -s->balance[class]);
}
