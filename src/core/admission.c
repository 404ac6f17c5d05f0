/* Admission: selects which waiting request of a service is dispatched next. */
#include "admission.h"

/* Dispatches between two guaranteed ones. */
#define UNRESERVED_PER_ROUND (ADMISSION_ROUND - 1)
/* Weight of the newest interval between dispatches in the mean: engines answer
 * in bursts, so the mean covers two rounds. */
#define INTERVAL_WEIGHT (1.0 / (2 * ADMISSION_ROUND))
/* Virtual time charged for a dispatch to a customer with a share of 1. */
#define VIRTUAL_TIME_UNIT 1000000000
/*
 * Customers remembered for a priority. Beyond that, those at virtual_now or
 * below, who used no more than their share, are forgotten; all, if that isn't
 * enough.
 */
#define CUSTOMERS_MAX 256

void admission_init(struct admission *a)
{
	*a = (struct admission){ 0 };
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		a->virtual_time[p] = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
}

void admission_clear(struct admission *a)
{
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		g_hash_table_unref(a->virtual_time[p]);
}

static bool several_priorities_wait(const struct admission *a)
{
	int n = 0;

	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		n += a->waiting[p] > 0;
	return n > 1;
}

void admission_enter(struct admission *a, int priority, int64_t now)
{
	a->waiting[priority]++;
	if (!a->last_ms && several_priorities_wait(a))
		a->last_ms = now;
}

void admission_leave(struct admission *a, int priority)
{
	a->waiting[priority]--;
	if (!several_priorities_wait(a))
		a->last_ms = 0;
}

/* Customer shares. */

uint64_t admission_virtual_time(const struct admission *a, int priority,
				const char *customer)
{
	const uint64_t *virtual_time =
		g_hash_table_lookup(a->virtual_time[priority], customer);

	/* A customer gets no credit for the time in which it sent nothing. */
	return virtual_time ? MAX(*virtual_time, a->virtual_now[priority]) :
			      a->virtual_now[priority];
}

static gboolean is_at_virtual_now(gpointer customer, gpointer virtual_time,
				  gpointer virtual_now)
{
	(void)customer;
	return *(uint64_t *)virtual_time <= *(uint64_t *)virtual_now;
}

static void limit_customers(GHashTable *all, uint64_t *virtual_now)
{
	if (g_hash_table_size(all) <= CUSTOMERS_MAX)
		return;
	g_hash_table_foreach_remove(all, is_at_virtual_now, virtual_now);
	if (g_hash_table_size(all) > CUSTOMERS_MAX)
		g_hash_table_remove_all(all);
}

static void charge(struct admission *a, const struct admission_head *h,
		   const char *customer, unsigned int share)
{
	GHashTable *all = a->virtual_time[h->priority];
	uint64_t *virtual_now = &a->virtual_now[h->priority];
	uint64_t *virtual_time = g_hash_table_lookup(all, customer);

	if (!virtual_time) {
		virtual_time = g_new0(uint64_t, 1);
		g_hash_table_insert(all, g_strdup(customer), virtual_time);
	}
	*virtual_now = MAX(*virtual_now, h->virtual_time);
	*virtual_time = MAX(*virtual_time, *virtual_now) +
			VIRTUAL_TIME_UNIT / MAX(share, 1);
	limit_customers(all, virtual_now);
}

/* Selection. */

static bool precedes(const struct admission_head *x,
		     const struct admission_head *y)
{
	if (x->resumes != y->resumes)
		return x->resumes;
	if (x->priority != y->priority)
		return x->priority < y->priority;
	if (x->virtual_time != y->virtual_time)
		return x->virtual_time < y->virtual_time;
	return x->latest_ms < y->latest_ms;
}

static int first_in_order(const struct admission_head *heads, size_t n)
{
	int best = -1;

	for (size_t i = 0; i < n; i++)
		if (heads[i].by_order &&
		    (best < 0 || precedes(&heads[i], &heads[best])))
			best = (int)i;
	return best;
}

/* Returns the request of lower priority with the earliest latest start that can
 * still be met. */
static int earliest_below(const struct admission_head *heads, size_t n,
			  int priority, int64_t now)
{
	int best = -1;

	for (size_t i = 0; i < n; i++) {
		if (!heads[i].by_time || heads[i].resumes ||
		    heads[i].priority <= priority || heads[i].latest_ms < now)
			continue;
		if (best < 0 || heads[i].latest_ms < heads[best].latest_ms)
			best = (int)i;
	}
	return best;
}

/* Expected time until the guaranteed dispatch. While endpoints stall, the time
 * since the last dispatch is a better estimate than the mean. */
static double guaranteed_wait_ms(const struct admission *a, int64_t now)
{
	double since = a->last_ms ? (double)(now - a->last_ms) : 0;

	return (UNRESERVED_PER_ROUND - a->credit) * MAX(a->interval_ms, since);
}

/* Returns whether a request with this latest start would be too late for the
 * next guaranteed dispatch, and none was taken in advance yet. */
static bool must_raise(const struct admission *a, int64_t latest_ms,
		       int64_t now)
{
	return a->credit >= 0 &&
	       (double)(latest_ms - now) < guaranteed_wait_ms(a, now);
}

int admission_next(struct admission *a, const struct admission_head *heads,
		   size_t n, int64_t now)
{
	int best = first_in_order(heads, n), earliest;

	a->contended = false;
	a->rule = ADMISSION_NONE;
	if (best < 0 || heads[best].resumes)
		return best;
	a->rule = ADMISSION_ORDER;
	earliest = earliest_below(heads, n, heads[best].priority, now);
	if (earliest < 0)
		return best;
	a->contended = true;
	if (a->credit >= UNRESERVED_PER_ROUND)
		a->rule = ADMISSION_GUARANTEED;
	else if (must_raise(a, heads[earliest].latest_ms, now))
		a->rule = ADMISSION_RAISED;
	return a->rule == ADMISSION_ORDER ? best : earliest;
}

static void measure_interval(struct admission *a, int64_t now)
{
	if (!a->last_ms)
		return;
	a->interval_ms +=
		((double)(now - a->last_ms) - a->interval_ms) * INTERVAL_WEIGHT;
	a->last_ms = now;
}

enum admission_rule admission_dispatched(struct admission *a,
					 const struct admission_head *h,
					 const char *customer,
					 unsigned int share, int64_t now)
{
	/* Guaranteed and raised dispatches aren't charged: a customer who had
	 * many of them would wait that much longer for dispatches by order. */
	if (a->rule == ADMISSION_ORDER)
		charge(a, h, customer, share);
	if (a->rule != ADMISSION_NONE)
		measure_interval(a, now);
	if (!a->contended)
		return a->rule;
	if (a->rule == ADMISSION_ORDER)
		a->credit = MIN(a->credit + 1, UNRESERVED_PER_ROUND);
	else
		a->credit -= UNRESERVED_PER_ROUND;
	return a->rule;
}

size_t admission_skipped(const struct admission *a,
			 struct admission_head *heads, size_t n, size_t at)
{
	bool by_time = a->rule == ADMISSION_GUARANTEED ||
		       a->rule == ADMISSION_RAISED;
	const void *model_queue = heads[at].model_queue;
	size_t kept = 0;

	for (size_t i = 0; i < n; i++) {
		if (heads[i].model_queue == model_queue) {
			heads[i].by_time = false;
			heads[i].by_order &= by_time;
		}
		if (heads[i].by_order || heads[i].by_time)
			heads[kept++] = heads[i];
	}
	return kept;
}
