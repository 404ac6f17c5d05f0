/* Allotments at an entry: what requests may spend of them. */
#include "quota_purse_int.h"

#include <math.h>

/* It is renewed when what is left is for less of the demand, in s. */
#define RENEW_S 0.2
/* A place that takes longer to answer than it mostly does stands still, and the
 * entry goes on alone. Bounds of that time, in ms: a few turns of both loops,
 * and what is waited for until answers have come. */
#define ANSWER_MIN_MS 30
#define ANSWER_MAX_MS 300
/* A request that takes more than a burst and the whole rate for so long, in s,
 * is a mistake: its customer would pay it off for as long. */
#define LARGEST_S 4
/* The usual cost is a mean of some so many requests. */
#define MEAN_OF 8
/* Where a request is expected within so long, in s, there is to be enough for
 * one. */
#define NEXT_S 2.0
/* A place that is lost is mostly replaced within this, in ms: requests wait for
 * the next. */
#define AWAIT_MS 2000
/* For as long after that, in ms, all wait for what is expected within the
 * other: what came meanwhile is served one after the other. */
#define RETURN_HOLD_MS 1000

static void purse_free(void *p)
{
	g_free(((struct purse *)p)->name);
	g_free(p);
}

void *quota_lease_entry_new(const struct quota_options *o, int64_t now)
{
	struct entry *e = g_new0(struct entry, 1);

	(void)o;
	e->lost_ms = now;
	e->found_ms = INT64_MIN / 2;
	e->purses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  purse_free);
	e->due = g_ptr_array_new();
	return e;
}

void quota_lease_entry_free(void *entry)
{
	struct entry *e = entry;

	g_ptr_array_unref(e->due);
	g_hash_table_unref(e->purses);
	g_free(e);
}

void quota_lease_entry_count(void *entry, uint64_t n)
{
	(void)entry;
	(void)n;
}

void purse_make_due(struct entry *e, struct purse *u)
{
	if (u->due)
		return;
	u->due = true;
	g_ptr_array_add(e->due, u);
}

static struct purse *purse_of(struct entry *e, const char *name, int64_t now)
{
	struct purse *u = g_hash_table_lookup(e->purses, name);

	if (u)
		return u;
	u = g_new0(struct purse, 1);
	u->e = e;
	u->name = g_strdup(name);
	u->up = e->up;
	u->lost_ms = e->lost_ms;
	u->found_ms = e->found_ms;
	u->demand_ms = u->alone_ms = now;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		u->classes[i].by_ms = INT64_MAX;
	g_hash_table_insert(e->purses, u->name, u);
	return u;
}

/* Without an answer for so long a place stands still. */
static int64_t answer_ms(const struct purse *u)
{
	const struct pace_estimate *a = &u->e->answers;

	return a->n ? CLAMP((int64_t)pace_bound(a), ANSWER_MIN_MS,
			    ANSWER_MAX_MS) :
		      ANSWER_MAX_MS;
}

/* The place isn't reached, or says nothing. */
static bool is_alone(const struct purse *u, int64_t now)
{
	return !u->up || (u->asked && now - u->silent_ms >= answer_ms(u));
}

static int64_t alone_since(const struct purse *u)
{
	return u->up ? u->silent_ms + answer_ms(u) : u->lost_ms;
}

static void add_alone(struct purse *u, int64_t now)
{
	int64_t from = MAX(u->alone_ms, alone_since(u));
	int64_t to = MIN(now, u->rate_ms);
	double n;

	if (is_alone(u, now) && to > from) {
		n = u->rate * (double)(to - from) / 1000;
		u->tokens += n;
		u->alone += n;
		if (u->tokens > 0)
			u->until_ms = MAX(u->until_ms, u->rate_ms);
	}
	u->alone_ms = now;
}

void purse_settle(struct purse *u, int64_t now)
{
	double fade;

	add_alone(u, now);
	if (now >= u->until_ms)
		u->tokens = MIN(u->tokens, 0);
	if (now == u->demand_ms)
		return;
	fade = exp(-(double)(now - u->demand_ms) / PURSE_DEMAND_MS);
	u->demand *= fade;
	for (int i = 0; i < QUOTA_CLASSES; i++) {
		u->shares.demand[i] *= fade;
		u->shares.spent[i] *= fade;
		u->classes[i].got *= fade;
	}
	u->demand_ms = now;
}

void purse_clear_waits(struct purse *u)
{
	u->none_ms = 0;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		u->classes[i].none_ms = 0;
}

void quota_lease_entry_link(void *entry, const char *customer, bool up,
			    int64_t now)
{
	struct entry *e = entry;
	GHashTableIter it;
	void *p;

	if (!customer) {
		if (e->up && !up)
			e->lost_ms = now;
		if (up)
			e->found_ms = now;
		e->up = up;
	}
	g_hash_table_iter_init(&it, e->purses);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct purse *u = p;

		if (customer && strcmp(customer, u->name))
			continue;
		purse_settle(u, now);
		if (u->up && !up)
			u->lost_ms = now;
		if (up)
			u->found_ms = now;
		u->up = up;
		u->asked = u->told = false;
		purse_clear_waits(u);
		if (up)
			purse_make_due(e, u);
	}
}

static void note_mean(double *mean, double cost)
{
	*mean += (cost - *mean) / (*mean > 0 ? MEAN_OF : 1);
}

static void note_demand(struct purse *u, int class, double cost, int64_t now)
{
	u->demand += cost * 1000 / PURSE_DEMAND_MS;
	u->shares.demand[class] += cost * 1000 / PURSE_DEMAND_MS;
	note_mean(&u->mean, cost);
	note_mean(&u->classes[class].mean, cost);
	u->used_ms = now;
}

/* What is to be held at the least for such demand. */
static double least(double demand, double mean)
{
	return MAX(demand * RENEW_S, demand * NEXT_S >= mean ? mean : 0);
}

double purse_low(const struct purse *u)
{
	return least(u->demand, u->mean);
}

double purse_class_low(const struct purse *u, int class)
{
	return u->shares.demand[class] * RENEW_S;
}

bool purse_is_low(const struct purse *u)
{
	if (!quota_classes_several(&u->shares))
		return u->tokens < purse_low(u);
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.part[i] < purse_class_low(u, i))
			return true;
	return u->tokens < purse_low(u);
}

static double may_spend(const struct purse *u, int64_t now)
{
	bool more = is_alone(u, now) && now < u->rate_ms;

	return u->tokens + (more ? u->reserve : 0);
}

static enum quota_answer spend(struct purse *u, int class, double cost,
			       int64_t now)
{
	quota_classes_spend(&u->shares, class, cost, may_spend(u, now));
	u->tokens -= cost;
	u->classes[class].first = 0;
	u->shares.spent[class] += cost * 1000 / PURSE_DEMAND_MS;
	if (purse_is_low(u))
		purse_make_due(u->e, u);
	return QUOTA_YES;
}

/* A request waits; with a cost below 0 it does no longer. */
static void add_waiting(struct purse *u, int class, double cost)
{
	double *mine = &u->shares.waiting[class];

	*mine = MAX(*mine + cost, 0);
	u->waiting = 0;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		u->waiting += u->shares.waiting[i];
}

static void leave_line(struct purse *u, int class, double cost,
		       const struct quota_rank *r)
{
	struct purse_class *k = &u->classes[class];

	add_waiting(u, class, -cost);
	if (r->by_ms <= k->by_ms)
		k->by_ms = INT64_MAX;
}

/* What came of late, a second, of which a class may have its part. */
static double got(const struct purse *u, int class)
{
	double all = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		all += u->classes[i].got;
	return MAX(all * quota_classes_next_ratio(&u->shares, class),
		   u->classes[class].got);
}

/* Until there is enough for one more. */
static int64_t none_for(const struct purse *u, int class, int64_t now)
{
	const struct purse_class *k = &u->classes[class];

	if (now >= k->none_ms)
		return 0;
	return k->none_ms - now +
	       (int64_t)(u->shares.waiting[class] * 1000 /
			 MAX(got(u, class), 1));
}

/* Where classes share, one that waits does so no longer than it was told to at
 * first. */
static int64_t hold_ms(const struct purse *u, const struct quota_need *n,
		       const struct quota_rank *r, int64_t now)
{
	int64_t ms = n->hold_ms;

	if (now - u->found_ms < AWAIT_MS)
		return MAX(ms, RETURN_HOLD_MS);
	if (n->waits && quota_classes_several(&u->shares))
		ms = MIN(ms, r->by_ms - n->hold_ms - now);
	return ms;
}

/* Than the first that waits; while that isn't known a new one isn't. */
static bool is_earlier(const struct purse_class *k, const struct quota_need *n,
		       const struct quota_rank *r)
{
	return r->by_ms < k->by_ms && (n->waits || k->by_ms != INT64_MAX);
}

/* Whether its turn has come: nobody goes before those of its class who wait,
 * but by an earlier objective, or when it can't wait for them any longer. */
static bool is_next(const struct purse *u, int class,
		    const struct quota_need *n, const struct quota_rank *r,
		    int64_t now)
{
	if (u->shares.waiting[class] <= 0 ||
	    is_earlier(&u->classes[class], n, r))
		return true;
	return n->waits && now >= r->by_ms - n->hold_ms;
}

/* It is the first, or it is overdue and needs less. */
static void add_first(struct purse_class *k, const struct quota_need *n,
		      const struct quota_rank *r, bool nobody_waits)
{
	if (nobody_waits || is_earlier(k, n, r)) {
		k->first = n->cost;
		k->by_ms = r->by_ms;
	} else if (n->waits) {
		k->first = MIN(k->first, n->cost);
	}
}

static bool is_enough(const struct purse *u, int class, double cost,
		      int64_t now)
{
	return quota_classes_available(&u->shares, class, may_spend(u, now)) >=
	       cost;
}

/* Of one that can't be served now: it isn't to wait here, but to return after
 * *back. */
static bool is_refused(const struct purse *u, int class,
		       const struct quota_need *n, const struct quota_rank *r,
		       int64_t now, int64_t *back)
{
	double rate = now < u->rate_ms ? u->rate : 0, lacks;

	if (is_alone(u, now) && now - alone_since(u) >= AWAIT_MS) {
		*back = quota_back_ms(n->cost - u->tokens, rate);
		return true;
	}
	*back = none_for(u, class, now);
	if (*back <= hold_ms(u, n, r, now))
		return false;
	/* It may wait no longer, and nobody has said when there is more. */
	lacks = n->cost -
		quota_classes_available(&u->shares, class, may_spend(u, now));
	if (!*back)
		*back = quota_back_ms(lacks, got(u, class));
	return true;
}

static void wait_for(struct purse *u, int class, const struct quota_need *n,
		     const struct quota_rank *r)
{
	bool nobody_waits = u->shares.waiting[class] <= 0;

	add_first(&u->classes[class], n, r, nobody_waits);
	add_waiting(u, class, n->cost);
	purse_make_due(u->e, u);
}

enum quota_answer quota_lease_take_ranked(void *entry, const struct customer *c,
					  const struct quota_need *n,
					  const struct quota_rank *r,
					  int64_t now, int64_t *back)
{
	int class = quota_classes_clamp(r->class_id);
	struct purse *u = purse_of(entry, c->name, now);

	purse_settle(u, now);
	if (n->cost > c->limit.burst + c->limit.per_s * LARGEST_S) {
		*back = quota_back_ms(n->cost, c->limit.per_s);
		return QUOTA_NO;
	}
	/* Before it counts as waiting no more: that is what it is kept some
	 * for. */
	quota_classes_settle(&u->shares, may_spend(u, now));
	if (n->waits)
		leave_line(u, class, n->cost, r);
	else
		note_demand(u, class, n->cost, now);
	if (is_enough(u, class, n->cost, now) && is_next(u, class, n, r, now))
		return spend(u, class, n->cost, now);
	if (is_refused(u, class, n, r, now, back)) {
		u->refused += n->cost;
		return QUOTA_NO;
	}
	wait_for(u, class, n, r);
	return QUOTA_WAIT;
}

static const struct quota_rank only_rank;

enum quota_answer quota_lease_take(void *entry, const struct customer *c,
				   const struct quota_need *n, int64_t now,
				   int64_t *back)
{
	return quota_lease_take_ranked(entry, c, n, &only_rank, now, back);
}

void quota_lease_leave_ranked(void *entry, const struct customer *c,
			      double cost, const struct quota_rank *r)
{
	struct entry *e = entry;
	struct purse *u = g_hash_table_lookup(e->purses, c->name);

	if (u)
		leave_line(u, quota_classes_clamp(r->class_id), cost, r);
}

void quota_lease_leave(void *entry, const struct customer *c, double cost)
{
	quota_lease_leave_ranked(entry, c, cost, &only_rank);
}

void quota_lease_give_back(void *entry, const struct customer *c, double cost,
			   const struct quota_rank *r, int64_t now)
{
	struct purse *u = purse_of(entry, c->name, now);

	purse_settle(u, now);
	/* No more than would be asked for: the rest would be held for long. */
	if (u->tokens + cost > MAX(u->demand * PURSE_AHEAD_S, purse_low(u)))
		return;
	u->tokens += cost;
	u->shares.part[quota_classes_clamp(r->class_id)] += cost;
}

struct quota_view quota_lease_look(const void *entry, const char *customer,
				   int64_t now)
{
	const struct entry *e = entry;
	const struct purse *u = g_hash_table_lookup(e->purses, customer);
	struct quota_view v = { .age_ms = -1, .alone = !e->up };

	for (int i = 0; i < QUOTA_CLASSES; i++)
		v.share[i] = 1;
	if (!u)
		return v;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		v.share[i] = quota_classes_share(&u->shares, i);
	v.held = u->tokens;
	v.alone = is_alone(u, now);
	if (u->until_ms)
		v.age_ms = now - (u->until_ms - QUOTA_LEASE_MS);
	return v;
}
