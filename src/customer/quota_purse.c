/* Allotments at an entry: spent by requests, asked for ahead of them. */
#include "quota_classes.h"
#include "quota_lease.h"

#include "../core/pace.h"

#include <math.h>

/* An allotment is for so long of an entry's demand, in s, and is renewed when
 * it is down to the other: several answers' time, so that mostly no request
 * waits. */
#define AHEAD_S 0.4
#define RENEW_S 0.2
/* A place that takes longer to answer than it mostly does stands still, and the
 * entry goes on alone. Bounds of that time, in ms: a few turns of both loops,
 * and what is waited for until answers have come. */
#define ANSWER_MIN_MS 30
#define ANSWER_MAX_MS 300
/* After so long, in ms, it asks again. */
#define LOST_MS 1000
/* Demand is the mean of the last seconds, in ms: one request alone says that
 * no other will come while an allotment lasts. */
#define DEMAND_MS 3000
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
/* A customer that sends nothing here for so long, in ms, gets its allotment
 * back. */
#define IDLE_MS 4000
/* Where a place has less than is wanted, and nobody waits, it is asked no more
 * often, in ms. */
#define SCARCE_MS 2000

/* Requests of one class. */
struct class
{
	double mean; /* cost of one */

	double got;	 /* by the place, a second */
	double first;	 /* cost of the first that waits, or that is overdue */
	int64_t by_ms;	 /* objective of the first that waits */
	int64_t none_ms; /* the place has none before then */
};

struct purse {
	struct entry *e; /* that it belongs to */
	char *name;
	double tokens;
	int64_t until_ms; /* that they may be spent */
	/* Alone it may go on at a rate a second, and spend so much beyond the
	 * tokens, which are then below 0; until a time. */
	double rate, reserve;
	int64_t rate_ms;
	double alone;	  /* of the tokens, not told yet */
	int64_t alone_ms; /* until when they were added up */
	double demand;	  /* a second */
	int64_t demand_ms;
	double mean;	/* cost of a request */
	double waiting; /* cost of all requests that wait */
	double wanted;	/* when it was asked for last */
	double refused; /* since then */
	uint64_t number;
	bool up;	  /* its place is reached, ... */
	int64_t lost_ms;  /* ... or not, since then */
	int64_t found_ms; /* when it was found last */
	bool told;	  /* that place knows what is held here */
	bool asked;	  /* and hasn't answered yet, ... */
	int64_t asked_ms;
	int64_t silent_ms; /* ... since then */
	int64_t none_ms;   /* the place has none for any class before then */
	int64_t next_ms; /* it had less than was wanted: no sooner than then */
	int64_t used_ms;
	bool due; /* in the list of those that have something to ask */
	struct quota_classes shares;		/* of the tokens */
	struct class classes[QUOTA_CLASSES];	/* the same ones */
	struct quota_part parts[QUOTA_CLASSES]; /* of the last ask */
};

struct entry {
	GHashTable *purses;	      /* name -> struct purse */
	GPtrArray *due;		      /* struct purse */
	struct pace_estimate answers; /* time that places take to */
	bool up;
	int64_t lost_ms, found_ms; /* as of a purse */
	int64_t sweep_ms;
};

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

static void make_due(struct entry *e, struct purse *u)
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

static void settle_purse(struct purse *u, int64_t now)
{
	double fade;

	add_alone(u, now);
	if (now >= u->until_ms)
		u->tokens = MIN(u->tokens, 0);
	if (now == u->demand_ms)
		return;
	fade = exp(-(double)(now - u->demand_ms) / DEMAND_MS);
	u->demand *= fade;
	for (int i = 0; i < QUOTA_CLASSES; i++) {
		u->shares.demand[i] *= fade;
		u->shares.spent[i] *= fade;
		u->classes[i].got *= fade;
	}
	u->demand_ms = now;
}

/* The place may have some again. */
static void no_wait(struct purse *u)
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
		settle_purse(u, now);
		if (u->up && !up)
			u->lost_ms = now;
		if (up)
			u->found_ms = now;
		u->up = up;
		u->asked = u->told = false;
		no_wait(u);
		if (up)
			make_due(e, u);
	}
}

static void note_mean(double *mean, double cost)
{
	*mean += (cost - *mean) / (*mean > 0 ? MEAN_OF : 1);
}

static void note_demand(struct purse *u, int class, double cost, int64_t now)
{
	u->demand += cost * 1000 / DEMAND_MS;
	u->shares.demand[class] += cost * 1000 / DEMAND_MS;
	note_mean(&u->mean, cost);
	note_mean(&u->classes[class].mean, cost);
	u->used_ms = now;
}

/* What is to be held at the least for such demand. */
static double least(double demand, double mean)
{
	return MAX(demand * RENEW_S, demand * NEXT_S >= mean ? mean : 0);
}

/* The same, before more is asked for. */
static double low(const struct purse *u)
{
	return least(u->demand, u->mean);
}

/* Of a class: no whole request, which it may have of the others' tokens. */
static double class_low(const struct purse *u, int class)
{
	return u->shares.demand[class] * RENEW_S;
}

static bool is_low(const struct purse *u)
{
	if (!quota_classes_several(&u->shares))
		return u->tokens < low(u);
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.part[i] < class_low(u, i))
			return true;
	return u->tokens < low(u);
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
	u->shares.spent[class] += cost * 1000 / DEMAND_MS;
	if (is_low(u))
		make_due(u->e, u);
	return QUOTA_YES;
}

/* Those that wait are one less, or one more. */
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
	struct class *k = &u->classes[class];

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
	return MAX(all * quota_classes_reach(&u->shares, class),
		   u->classes[class].got);
}

/* Until there is enough for one more. */
static int64_t none_for(const struct purse *u, int class, int64_t now)
{
	const struct class *k = &u->classes[class];

	if (now >= k->none_ms)
		return 0;
	return k->none_ms - now +
	       (int64_t)(u->shares.waiting[class] * 1000 /
			 MAX(got(u, class), 1));
}

/* Where classes share, one that waits does so no longer than it was to. */
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

/* A new one isn't while it isn't known who is the first. */
static bool is_earlier(const struct class *k, const struct quota_need *n,
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
static void add_first(struct class *k, const struct quota_need *n,
		      const struct quota_rank *r, bool alone)
{
	if (alone || is_earlier(k, n, r)) {
		k->first = n->cost;
		k->by_ms = r->by_ms;
	} else if (n->waits) {
		k->first = MIN(k->first, n->cost);
	}
}

enum quota_answer quota_lease_take_ranked(void *entry, const struct customer *c,
					  const struct quota_need *n,
					  const struct quota_rank *r,
					  int64_t now, int64_t *back)
{
	int class = quota_classes_clamp(r->class_id);
	struct entry *e = entry;
	struct purse *u = purse_of(e, c->name, now);
	struct class *k = &u->classes[class];

	settle_purse(u, now);
	if (n->cost > c->limit.burst + c->limit.per_s * LARGEST_S) {
		*back = quota_back_ms(n->cost, c->limit.per_s);
		return QUOTA_NO;
	}
	/* What is kept for it is divided before it is one that waits no more.
	 */
	quota_classes_settle(&u->shares, may_spend(u, now));
	if (n->waits)
		leave_line(u, class, n->cost, r);
	else
		note_demand(u, class, n->cost, now);
	if (quota_classes_free(&u->shares, class, may_spend(u, now)) >=
		    n->cost &&
	    is_next(u, class, n, r, now)) {
		k->first = 0;
		return spend(u, class, n->cost, now);
	}
	if (is_alone(u, now) && now - alone_since(u) >= AWAIT_MS) {
		*back = quota_back_ms(n->cost - u->tokens,
				      now < u->rate_ms ? u->rate : 0);
		u->refused += n->cost;
		return QUOTA_NO;
	}
	*back = none_for(u, class, now);
	if (*back > hold_ms(u, n, r, now)) {
		u->refused += n->cost;
		return QUOTA_NO;
	}
	add_first(k, n, r, u->shares.waiting[class] <= 0);
	add_waiting(u, class, n->cost);
	make_due(e, u);
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

	settle_purse(u, now);
	/* No more than would be asked for: the rest would be held for long. */
	if (u->tokens + cost > MAX(u->demand * AHEAD_S, low(u)))
		return;
	u->tokens += cost;
	u->shares.part[quota_classes_clamp(r->class_id)] += cost;
}

/* What would be held if there were enough. */
static double wanted(const struct purse *u, int64_t now)
{
	if (now - u->used_ms >= IDLE_MS)
		return 0;
	return u->waiting + MAX(u->demand * AHEAD_S, low(u));
}

/* What would be held for a class beside what is. */
static double class_wants(const struct purse *u, int class)
{
	double ahead =
		MAX(u->shares.demand[class] * AHEAD_S, class_low(u, class));

	return u->shares.waiting[class] + ahead - u->shares.part[class];
}

/* The place has none before then for any class that waits. */
static int64_t none_until(const struct purse *u)
{
	int64_t ms = INT64_MAX;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.waiting[i] > 0)
			ms = MIN(ms, u->classes[i].none_ms);
	return ms == INT64_MAX ? u->none_ms : ms;
}

static bool has_news(const struct purse *u, int64_t now)
{
	if (u->asked)
		return now - u->asked_ms >= LOST_MS;
	if (!u->told && (u->tokens != 0 || u->alone > 0 || now < u->rate_ms))
		return true;
	if (now < none_until(u))
		return false;
	/* Less isn't worth a message. */
	if (now - u->used_ms >= IDLE_MS)
		return u->tokens >= 1;
	if (u->waiting > 0)
		return true;
	return now >= u->next_ms && is_low(u);
}

/* What the first that waits lacks, of what there is. */
static int64_t class_lacks(const struct purse *u, int class)
{
	double has = quota_classes_free(&u->shares, class, u->tokens);

	if (u->shares.waiting[class] <= 0)
		return 0;
	return quota_milli(MAX(u->classes[class].first - MAX(has, 0), 0)) + 1;
}

/* With one class in use, the first, there is nothing to list. */
static void add_parts(struct purse *u, struct quota_ask *a)
{
	size_t n = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++) {
		struct quota_part *x = &u->parts[n];

		if (!quota_classes_used(&u->shares, i))
			continue;
		*x = (struct quota_part){
			.class_id = i,
			.demand = quota_milli(u->shares.demand[i]),
			.spent = quota_milli(u->shares.spent[i]),

			.want = quota_milli(MAX(class_wants(u, i), 0)),
			.first = class_lacks(u, i)
		};
		x->want = MAX(x->want, x->first);
		n++;
	}
	if (n > 1 || (n == 1 && u->parts[0].class_id))
		a->parts = (struct wire_list){ u->parts, n };
}

/* Where one class is asked for, or the place knows none. */
static int64_t first_lacks(const struct purse *u)
{
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.waiting[i] > 0)
			return class_lacks(u, i);
	return 0;
}

static void add_ask(struct purse *u, int64_t now, GArray *out)
{
	double want = wanted(u, now);
	struct quota_ask a = { .customer = ss_str(u->name),
			       .number = ++u->number,
			       .held = quota_milli(u->tokens),
			       .want = quota_milli(MAX(want - u->tokens, 0)),
			       .demand = quota_milli(u->demand),
			       .alone = quota_milli(u->alone),
			       .usual = quota_milli(u->mean),
			       .refused = quota_milli(u->refused) };

	if (now < u->rate_ms) {
		a.rate = quota_milli(u->rate);
		a.reserve = quota_milli(u->reserve);
	}
	/* What was spent beyond is the place's to count. */
	u->tokens = MAX(u->tokens, 0);
	quota_classes_settle(&u->shares, u->tokens);
	a.first = first_lacks(u);
	add_parts(u, &a);
	if (want <= 0 && a.held > 0) {
		a.back = a.held;
		a.held = 0;
		u->tokens = 0;
	}
	u->alone = u->refused = 0;
	if (!u->asked)
		u->silent_ms = now;
	u->told = u->asked = true;
	u->asked_ms = now;
	u->wanted = quota_whole(a.want);
	g_array_append_val(out, a);
}

/* Those that rest have nothing due by themselves. */
static void sweep(struct entry *e, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - e->sweep_ms < IDLE_MS / 4)
		return;
	e->sweep_ms = now;
	g_hash_table_iter_init(&it, e->purses);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct purse *u = p;

		settle_purse(u, now);
		if (now - u->used_ms > QUOTA_FORGET_MS && !u->due &&
		    !u->asked && u->tokens <= 0)
			g_hash_table_iter_remove(&it);
		else if (u->up && has_news(u, now))
			make_due(e, u);
	}
}

void quota_lease_asks(void *entry, int64_t now, GArray *out)
{
	struct entry *e = entry;
	guint kept = 0;

	sweep(e, now);
	for (guint i = 0; i < e->due->len; i++) {
		struct purse *u = e->due->pdata[i];

		settle_purse(u, now);
		if (u->up && has_news(u, now))
			add_ask(u, now, out);
		/* Those who wait are asked for again when that is due. */
		u->due = u->waiting > 0;
		if (u->due)
			e->due->pdata[kept++] = u;
	}
	g_ptr_array_set_size(e->due, (gint)kept);
}

/* To classes as the place says; else by demand. */
static void take_parts(struct purse *u, const struct quota_word *w)
{
	const struct quota_part *x = w->parts.items;

	for (size_t i = 0; i < w->parts.n; i++) {
		int class = quota_classes_clamp(x[i].class_id);

		u->shares.part[class] += quota_whole(x[i].grant);
		u->classes[class].got +=
			quota_whole(x[i].grant) * 1000 / DEMAND_MS;
	}
	for (int i = 0; i < QUOTA_CLASSES && !w->parts.n; i++)
		u->classes[i].got += quota_classes_ratio(&u->shares, i) *
				     quota_whole(w->grant) * 1000 / DEMAND_MS;
}

static void wait_parts(struct purse *u, const struct quota_word *w, int64_t now)
{
	const struct quota_part *x = w->parts.items;

	no_wait(u);
	if (w->wait_ms > 0)
		u->none_ms = now + w->wait_ms;
	for (size_t i = 0; i < w->parts.n; i++)
		if (x[i].wait_ms > 0)
			u->classes[quota_classes_clamp(x[i].class_id)].none_ms =
				now + x[i].wait_ms;
	for (int i = 0; i < QUOTA_CLASSES && !w->parts.n; i++)
		u->classes[i].none_ms = u->none_ms;
}

void quota_lease_word(void *entry, const struct quota_word *w, int64_t now)
{
	struct entry *e = entry;
	char *name = ss_str_dup(w->customer);
	struct purse *u = g_hash_table_lookup(e->purses, name);

	g_free(name);
	if (!u)
		return;
	settle_purse(u, now);
	u->tokens += quota_whole(w->grant);
	take_parts(u, w);
	if (w->number != u->number)
		return;
	pace_add(&e->answers, (double)(now - u->asked_ms));
	u->asked = false;
	u->until_ms = u->asked_ms + QUOTA_LEASE_MS;
	u->rate = quota_whole(w->rate);
	u->reserve = quota_whole(w->reserve);
	u->rate_ms = u->asked_ms + QUOTA_LEASE_MS;
	wait_parts(u, w, now);
	u->next_ms = quota_whole(w->grant) < u->wanted ? now + SCARCE_MS : 0;
	u->alone_ms = now;
	if (u->waiting > 0)
		make_due(e, u);
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
