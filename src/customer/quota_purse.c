/* Allotments at an entry: spent by requests, asked for ahead of them. */
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
	double got;	  /* by the place, a second */
	int64_t demand_ms;
	double mean;	       /* cost of a request */
	double waiting, first; /* cost of all requests that wait; of one */
	double wanted;	       /* when it was asked for last */
	double refused;	       /* since then */
	uint64_t number;
	bool up;	  /* its place is reached, ... */
	int64_t lost_ms;  /* ... or not, since then */
	int64_t found_ms; /* when it was found last */
	bool told;	  /* that place knows what is held here */
	bool asked;	  /* and hasn't answered yet, ... */
	int64_t asked_ms;
	int64_t silent_ms; /* ... since then */
	int64_t none_ms;   /* the place has none before then */
	int64_t next_ms; /* it had less than was wanted: no sooner than then */
	int64_t used_ms;
	bool due; /* in the list of those that have something to ask */
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
	u->got *= fade;
	u->demand_ms = now;
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
		u->none_ms = 0;
		if (up)
			make_due(e, u);
	}
}

static void note_demand(struct purse *u, double cost, int64_t now)
{
	u->demand += cost * 1000 / DEMAND_MS;
	u->mean += (cost - u->mean) / (u->mean > 0 ? MEAN_OF : 1);
	u->used_ms = now;
}

/* What is to be held at the least, before more is asked for. */
static double low(const struct purse *u)
{
	return MAX(u->demand * RENEW_S,
		   u->demand * NEXT_S >= u->mean ? u->mean : 0);
}

static enum quota_answer spend(struct entry *e, struct purse *u, double cost)
{
	u->tokens -= cost;
	if (u->tokens < low(u))
		make_due(e, u);
	return QUOTA_YES;
}

static double may_spend(const struct purse *u, int64_t now)
{
	bool more = is_alone(u, now) && now < u->rate_ms;

	return u->tokens + (more ? u->reserve : 0);
}

/* Until there is enough for one more, by what came of late. */
static int64_t none_for(const struct purse *u, int64_t now)
{
	if (now >= u->none_ms)
		return 0;
	return u->none_ms - now + (int64_t)(u->waiting * 1000 / MAX(u->got, 1));
}

static int64_t hold_ms(const struct purse *u, const struct quota_need *n,
		       int64_t now)
{
	return now - u->found_ms < AWAIT_MS ? MAX(n->hold_ms, RETURN_HOLD_MS) :
					      n->hold_ms;
}

enum quota_answer quota_lease_take(void *entry, const struct customer *c,
				   const struct quota_need *n, int64_t now,
				   int64_t *back)
{
	struct entry *e = entry;
	struct purse *u = purse_of(e, c->name, now);

	settle_purse(u, now);
	if (n->cost > c->limit.burst + c->limit.per_s * LARGEST_S) {
		*back = quota_back_ms(n->cost, c->limit.per_s);
		return QUOTA_NO;
	}
	if (n->waits)
		u->waiting = MAX(u->waiting - n->cost, 0);
	else
		note_demand(u, n->cost, now);
	/* Nobody goes before those who wait. */
	if (may_spend(u, now) >= n->cost && (n->waits || u->waiting <= 0)) {
		u->first = 0;
		return spend(e, u, n->cost);
	}
	if (is_alone(u, now) && now - alone_since(u) >= AWAIT_MS) {
		*back = quota_back_ms(n->cost - u->tokens,
				      now < u->rate_ms ? u->rate : 0);
		u->refused += n->cost;
		return QUOTA_NO;
	}
	*back = none_for(u, now);
	if (*back > hold_ms(u, n, now)) {
		u->refused += n->cost;
		return QUOTA_NO;
	}
	if (u->waiting <= 0 || n->waits)
		u->first = n->cost;
	u->waiting += n->cost;
	make_due(e, u);
	return QUOTA_WAIT;
}

void quota_lease_leave(void *entry, const struct customer *c, double cost)
{
	struct entry *e = entry;
	struct purse *u = g_hash_table_lookup(e->purses, c->name);

	if (u)
		u->waiting = MAX(u->waiting - cost, 0);
}

void quota_lease_give_back(void *entry, const struct customer *c, double cost,
			   int64_t now)
{
	struct purse *u = purse_of(entry, c->name, now);

	settle_purse(u, now);
	/* No more than would be asked for: the rest would be held for long. */
	if (u->tokens + cost <= MAX(u->demand * AHEAD_S, low(u)))
		u->tokens += cost;
}

/* What would be held if there were enough. */
static double wanted(const struct purse *u, int64_t now)
{
	if (now - u->used_ms >= IDLE_MS)
		return 0;
	return u->waiting + MAX(u->demand * AHEAD_S, low(u));
}

static bool has_news(const struct purse *u, int64_t now)
{
	if (u->asked)
		return now - u->asked_ms >= LOST_MS;
	if (!u->told && (u->tokens != 0 || u->alone > 0 || now < u->rate_ms))
		return true;
	if (now < u->none_ms)
		return false;
	/* Less isn't worth a message. */
	if (now - u->used_ms >= IDLE_MS)
		return u->tokens >= 1;
	if (u->waiting > 0)
		return true;
	return now >= u->next_ms && u->tokens < low(u);
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
	if (u->waiting > 0)
		a.first = quota_milli(MAX(u->first - u->tokens, 0)) + 1;
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
	u->got += quota_whole(w->grant) * 1000 / DEMAND_MS;
	if (w->number != u->number)
		return;
	pace_add(&e->answers, (double)(now - u->asked_ms));
	u->asked = false;
	u->until_ms = u->asked_ms + QUOTA_LEASE_MS;
	u->rate = quota_whole(w->rate);
	u->reserve = quota_whole(w->reserve);
	u->rate_ms = u->asked_ms + QUOTA_LEASE_MS;
	u->none_ms = w->wait_ms > 0 ? now + w->wait_ms : 0;
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

	if (!u)
		return v;
	v.held = u->tokens;
	v.alone = is_alone(u, now);
	if (u->until_ms)
		v.age_ms = now - (u->until_ms - QUOTA_LEASE_MS);
	return v;
}
