/* Admission: which waiting request of a service is tried next. */
#include "admission.h"

/* Turns of others before a guaranteed one. */
#define OTHERS (ADMISSION_PART - 1)
/* Weight of the newest time between turns: engines answer in bursts, and the
 * mean is to cover two guaranteed turns. */
#define TURN_WEIGHT (1.0 / (2 * ADMISSION_PART))
/* Virtual time that a turn costs a customer with a share of one. */
#define SHARE_UNIT 1000000000
/* Customers of a priority that are remembered; with more, those who have had
 * no more than their share are forgotten, or else all. */
#define SHARES_MOST 256

void admission_init(struct admission *a)
{
	*a = (struct admission){ 0 };
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		a->served[p] = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, g_free);
}

void admission_clear(struct admission *a)
{
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		g_hash_table_unref(a->served[p]);
}

static bool several_wait(const struct admission *a)
{
	int n = 0;

	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		n += a->waiting[p] > 0;
	return n > 1;
}

void admission_enter(struct admission *a, int priority, int64_t now)
{
	a->waiting[priority]++;
	if (!a->last_ms && several_wait(a))
		a->last_ms = now;
}

void admission_leave(struct admission *a, int priority)
{
	a->waiting[priority]--;
	if (!several_wait(a))
		a->last_ms = 0;
}

/* Shares. */

uint64_t admission_share(const struct admission *a, int priority,
			 const char *customer)
{
	const uint64_t *served =
		g_hash_table_lookup(a->served[priority], customer);

	/* Who was away gets no credit for the time. */
	return served ? MAX(*served, a->base[priority]) : a->base[priority];
}

static gboolean is_at_base(gpointer customer, gpointer served, gpointer base)
{
	(void)customer;
	return *(uint64_t *)served <= *(uint64_t *)base;
}

static void bound_shares(GHashTable *all, uint64_t *base)
{
	if (g_hash_table_size(all) <= SHARES_MOST)
		return;
	g_hash_table_foreach_remove(all, is_at_base, base);
	if (g_hash_table_size(all) > SHARES_MOST)
		g_hash_table_remove_all(all);
}

static void charge(struct admission *a, const struct admission_head *h,
		   const char *customer, unsigned int share)
{
	GHashTable *all = a->served[h->priority];
	uint64_t *base = &a->base[h->priority];
	uint64_t *served = g_hash_table_lookup(all, customer);

	if (!served) {
		served = g_new0(uint64_t, 1);
		g_hash_table_insert(all, g_strdup(customer), served);
	}
	*base = MAX(*base, h->share);
	*served = MAX(*served, *base) + SHARE_UNIT / MAX(share, 1);
	bound_shares(all, base);
}

/* Order. */

static bool goes_before(const struct admission_head *x,
			const struct admission_head *y)
{
	if (x->begun != y->begun)
		return x->begun;
	if (x->priority != y->priority)
		return x->priority < y->priority;
	if (x->share != y->share)
		return x->share < y->share;
	return x->latest_ms < y->latest_ms;
}

static int first_of(const struct admission_head *heads, size_t n)
{
	int best = -1;

	for (size_t i = 0; i < n; i++)
		if (heads[i].by_order &&
		    (best < 0 || goes_before(&heads[i], &heads[best])))
			best = (int)i;
	return best;
}

/* The one of those less urgent that must be started soonest, and still can. */
static int soonest_below(const struct admission_head *heads, size_t n,
			 int priority, int64_t now)
{
	int best = -1;

	for (size_t i = 0; i < n; i++) {
		if (!heads[i].by_time || heads[i].begun ||
		    heads[i].priority <= priority || heads[i].latest_ms < now)
			continue;
		if (best < 0 || heads[i].latest_ms < heads[best].latest_ms)
			best = (int)i;
	}
	return best;
}

/* Until the guaranteed turn. While endpoints stall, the time since the last
 * turn says more than the mean. */
static double wait_ms(const struct admission *a, int64_t now)
{
	double since = a->last_ms ? (double)(now - a->last_ms) : 0;

	return (OTHERS - a->credit) * MAX(a->turn_ms, since);
}

/* It would come too late by the next guaranteed turn, and none was taken in
 * advance already. */
static bool must_be_raised(const struct admission *a, int64_t latest_ms,
			   int64_t now)
{
	return a->credit >= 0 && (double)(latest_ms - now) < wait_ms(a, now);
}

int admission_next(struct admission *a, const struct admission_head *heads,
		   size_t n, int64_t now)
{
	int best = first_of(heads, n), soonest;

	a->contended = false;
	a->turn = ADMISSION_NONE;
	if (best < 0 || heads[best].begun)
		return best;
	a->turn = ADMISSION_ORDER;
	soonest = soonest_below(heads, n, heads[best].priority, now);
	if (soonest < 0)
		return best;
	a->contended = true;
	if (a->credit >= OTHERS)
		a->turn = ADMISSION_GUARANTEED;
	else if (must_be_raised(a, heads[soonest].latest_ms, now))
		a->turn = ADMISSION_RAISED;
	return a->turn == ADMISSION_ORDER ? best : soonest;
}

static void measure_turn(struct admission *a, int64_t now)
{
	if (!a->last_ms)
		return;
	a->turn_ms += ((double)(now - a->last_ms) - a->turn_ms) * TURN_WEIGHT;
	a->last_ms = now;
}

enum admission_turn admission_taken(struct admission *a,
				    const struct admission_head *h,
				    const char *customer, unsigned int share,
				    int64_t now)
{
	/* Turns that go by time don't count for shares: who had many of them
	 * would wait as long for those that go by shares. */
	if (a->turn == ADMISSION_ORDER)
		charge(a, h, customer, share);
	if (a->turn != ADMISSION_NONE)
		measure_turn(a, now);
	if (!a->contended)
		return a->turn;
	if (a->turn == ADMISSION_ORDER)
		a->credit = MIN(a->credit + 1, OTHERS);
	else
		a->credit -= OTHERS;
	return a->turn;
}

size_t admission_passed(const struct admission *a, struct admission_head *heads,
			size_t n, size_t at)
{
	bool by_time = a->turn == ADMISSION_GUARANTEED ||
		       a->turn == ADMISSION_RAISED;
	const void *lane = heads[at].lane;
	size_t kept = 0;

	for (size_t i = 0; i < n; i++) {
		if (heads[i].lane == lane) {
			heads[i].by_time = false;
			heads[i].by_order &= by_time;
		}
		if (heads[i].by_order || heads[i].by_time)
			heads[kept++] = heads[i];
	}
	return kept;
}
