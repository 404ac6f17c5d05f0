/* Allotments at the place that hands them out. */
#include "quota_classes.h"
#include "quota_lease.h"

/* A place counts a lease a little longer, in ms: clocks differ. */
#define LEASE_MARGIN_MS 500
/* Parts of the slack that entries may hold, and may spend beyond that alone.
 * The rest is for those that a new place doesn't hear, and for single requests
 * beyond the limit. */
#define HELD_SHARE 0.2
#define RESERVE_SHARE 0.25
/* And that a new place begins with: what came before isn't known, and those who
 * wait for it needn't all wait for the rate. */
#define START_SHARE 0.2
/* Without slack, a part of the burst is kept for what they hold. */
#define HELD_BURST 0.25
/* Part of the burst that comes with the rate, over a window: who asks for more
 * than its rate all the time is served more, who asks for it at once less. */
#define SPREAD_SHARE 0.5
/* Part of a limit that all entries together may go on at alone. */
#define ALONE_SHARE 0.4
/* Entries that lack some ask in turn, each so long after the last, in ms: a
 * place answers some hundred asks a second for a customer, however many they
 * are. */
#define TURN_MS 2

/* An entry that holds an allotment of a customer, or may. */
struct holder {
	uint64_t id;
	double held;
	double demand;
	double demands[QUOTA_CLASSES], spent[QUOTA_CLASSES]; /* of classes */
	double rate, reserve; /* that it may go on at, and spend, alone */
	int64_t until_ms;     /* that it holds it, and may go on */
	bool gone;	      /* it isn't heard */
	int64_t gone_ms;
	double counted; /* taken out of the bucket for what it spends alone */
};

struct account {
	char *name;
	struct customer_limit limit;
	double level;
	int64_t ms; /* until when that was added up */
	GArray *holders;
	double granted, refused;		/* since it was made */
	struct quota_classes shares;		/* of the level */
	struct quota_part parts[QUOTA_CLASSES]; /* of the last word */
};

struct place {
	struct quota_slack slack;
	GHashTable *accounts; /* name -> struct account */
	int64_t since_ms;
};

static void account_free(void *p)
{
	struct account *a = p;

	g_array_unref(a->holders);
	g_free(a->name);
	g_free(a);
}

void *quota_lease_place_new(const struct quota_options *o, int64_t now)
{
	struct place *p = g_new0(struct place, 1);

	p->slack = o->slack;
	p->since_ms = now;
	p->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    account_free);
	return p;
}

void quota_lease_place_free(void *place)
{
	struct place *p = place;

	g_hash_table_unref(p->accounts);
	g_free(p);
}

static double overlap_s(int64_t a, int64_t b, int64_t from, int64_t to)
{
	int64_t ms = MIN(b, to) - MAX(a, from);

	return ms > 0 ? (double)ms / 1000 : 0;
}

/* By how much the limit may be exceeded in a window. */
static double slack_of(const struct place *p, const struct customer_limit *l)
{
	return p->slack.ratio * (l->per_s * p->slack.window_s + l->burst) +
	       p->slack.extra;
}

/* All that entries may hold at a time, and the burst that is left beside. */
static double held_most(const struct place *p, const struct customer_limit *l)
{
	return MAX(HELD_SHARE * slack_of(p, l), HELD_BURST * l->burst);
}

/* In a window as much comes as the limit allows: some of the burst at once, the
 * rest of it with the rate. */
static double burst_of(const struct place *p, const struct customer_limit *l)
{
	double held = HELD_SHARE * slack_of(p, l);

	return l->burst * (1 - SPREAD_SHARE) - MAX(held_most(p, l) - held, 0);
}

static double rate_of(const struct place *p, const struct customer_limit *l)
{
	return l->per_s + SPREAD_SHARE * l->burst / p->slack.window_s;
}

/* Entries may still go on by the word of the place before. */
static bool is_new(const struct place *p, int64_t now)
{
	return now - p->since_ms < QUOTA_LEASE_MS + LEASE_MARGIN_MS;
}

/* Of what entries may spend alone by another place's word: told by none. */
static double unheard_rate(const struct place *p, const struct account *a,
			   int64_t now)
{
	double rate = ALONE_SHARE * a->limit.per_s;

	if (!is_new(p, now))
		return 0;
	for (guint i = 0; i < a->holders->len; i++)
		rate -= g_array_index(a->holders, struct holder, i).rate;
	return MAX(rate, 0);
}

static void count_demands(struct account *a, const struct holder *h, int sign)
{
	struct quota_classes *s = &a->shares;

	for (int i = 0; i < QUOTA_CLASSES; i++) {
		s->demand[i] = MAX(s->demand[i] + sign * h->demands[i], 0);
		s->spent[i] = MAX(s->spent[i] + sign * h->spent[i], 0);
	}
}

/* What was kept for its requests that wait isn't kept any more either. */
static void forget_demands(struct account *a, const struct holder *h)
{
	count_demands(a, h, -1);
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (h->demands[i] > 0)
			a->shares.waiting[i] = 0;
}

static void remove_holder(struct account *a, guint at)
{
	forget_demands(a, &g_array_index(a->holders, struct holder, at));
	g_array_remove_index_fast(a->holders, at);
	/* What sums leave by rounding is nobody's. */
	if (!a->holders->len)
		memset(&a->shares, 0, sizeof(a->shares));
}

static void settle(const struct place *p, struct account *a, int64_t now)
{
	int64_t known = p->since_ms + QUOTA_LEASE_MS + LEASE_MARGIN_MS;

	if (now <= a->ms)
		return;
	a->level += rate_of(p, &a->limit) * (double)(now - a->ms) / 1000;
	a->level -= unheard_rate(p, a, a->ms) *
		    overlap_s(a->ms, now, p->since_ms, known);
	for (guint i = a->holders->len; i-- > 0;) {
		struct holder *h = &g_array_index(a->holders, struct holder, i);
		double n = h->gone ? h->rate * overlap_s(a->ms, now, h->gone_ms,
							 h->until_ms) :
				     0;

		a->level -= n;
		h->counted += n;
		if (now >= h->until_ms)
			remove_holder(a, i);
	}
	a->level = MIN(a->level, burst_of(p, &a->limit));
	a->ms = now;
}

static struct account *account_of(struct place *p, const struct customer *c,
				  int64_t now)
{
	struct account *a = g_hash_table_lookup(p->accounts, c->name);

	if (!a) {
		a = g_new0(struct account, 1);
		a->name = g_strdup(c->name);
		a->holders = g_array_new(FALSE, TRUE, sizeof(struct holder));
		a->limit = c->limit;
		/* What has come since this place began is there, too. */
		a->ms = p->since_ms;
		a->level = MIN(START_SHARE * slack_of(p, &c->limit),
			       burst_of(p, &c->limit));
		g_hash_table_insert(p->accounts, a->name, a);
	}
	settle(p, a, now);
	a->limit = c->limit;
	a->level = MIN(a->level, burst_of(p, &a->limit));
	return a;
}

static struct holder *holder_of(struct account *a, uint64_t id)
{
	for (guint i = 0; i < a->holders->len; i++) {
		struct holder *h = &g_array_index(a->holders, struct holder, i);

		if (h->id == id)
			return h;
	}
	return NULL;
}

/* Without a list all is of the first class. Each class keeps what its first
 * request lacks, however rare they are. */
static void hear_demands(struct account *a, struct holder *h,
			 const struct quota_ask *ask)
{
	const struct quota_part *x = ask->parts.items;

	forget_demands(a, h);
	memset(h->demands, 0, sizeof(h->demands));
	memset(h->spent, 0, sizeof(h->spent));
	for (size_t i = 0; i < ask->parts.n; i++) {
		int class = quota_classes_clamp(x[i].class_id);

		h->demands[class] += MAX(quota_whole(x[i].demand), 0);
		h->spent[class] += MAX(quota_whole(x[i].spent), 0);
		a->shares.waiting[class] = quota_whole(x[i].first);
	}
	if (!ask->parts.n) {
		h->demands[0] = MAX(h->demand, 0);
		a->shares.waiting[0] = quota_whole(ask->first);
	}
	count_demands(a, h, 1);
}

/*
 * What it says of itself; the record of one that was there before is right.
 * What it spent beyond that by another place's word was that place's, whose
 * bucket is gone.
 */
static struct holder *hear(const struct place *p, struct account *a,
			   uint64_t id, const struct quota_ask *ask,
			   int64_t now)
{
	struct holder *h = holder_of(a, id);
	bool known = h != NULL;

	if (h) {
		if (h->gone)
			a->level += h->counted;
		a->level -= quota_whole(ask->alone);
		h->gone = false;
		h->counted = 0;
	} else {
		struct holder one = { .id = id,
				      .rate = quota_whole(ask->rate),
				      .reserve = quota_whole(ask->reserve) };

		g_array_append_val(a->holders, one);
		h = &g_array_index(a->holders, struct holder,
				   a->holders->len - 1);
	}
	h->held = MAX(quota_whole(ask->held), 0);
	if (known || !is_new(p, now))
		a->level += MIN(quota_whole(ask->held), 0);
	h->demand = quota_whole(ask->demand);
	hear_demands(a, h, ask);
	h->until_ms = now + QUOTA_LEASE_MS + LEASE_MARGIN_MS;
	a->level += quota_whole(ask->back);
	return h;
}

/* What the other holders have, and all holders' demand. */
struct others {
	double rate, reserve, demand;
};

static struct others others_of(const struct account *a, const struct holder *h)
{
	struct others o = { 0 };

	for (guint i = 0; i < a->holders->len; i++) {
		const struct holder *x =
			&g_array_index(a->holders, struct holder, i);

		o.demand += x->demand;
		o.rate += x == h ? 0 : x->rate;
		o.reserve += x == h ? 0 : x->reserve;
	}
	return o;
}

/* Its part of something, by its demand. */
static double part_of(double all, const struct holder *h,
		      const struct others *o)
{
	return o->demand > 0 ? all * h->demand / o->demand : 0;
}

/* Part of the limit that an entry may go on at alone, within what the others
 * have. */
static double alone_rate(const struct place *p, const struct account *a,
			 const struct holder *h, const struct others *o,
			 int64_t now)
{
	double all = ALONE_SHARE * a->limit.per_s;
	double left = all - o->rate - unheard_rate(p, a, now);

	return MAX(MIN(part_of(all, h, o), left), 0);
}

/*
 * What an entry may spend beyond what it holds, alone: part of the slack, and
 * of the bucket, which the next place won't have. So a customer far below its
 * limit is served while a place is looked for, and one at its limit spends no
 * more. Less than a request is of no use.
 */
static double alone_reserve(const struct place *p, const struct account *a,
			    const struct holder *h, const struct others *o,
			    double usual)
{
	double all = RESERVE_SHARE * slack_of(p, &a->limit) + MAX(a->level, 0);

	return MAX(MIN(MAX(part_of(all, h, o), usual), all - o->reserve), 0);
}

/* Until a request can be granted out of so much. */
static double lacks(const struct place *p, const struct account *a, double cost,
		    double level)
{
	return MIN(cost, burst_of(p, &a->limit)) - level;
}

/* All that entries may hold beside what they do. */
static double room_of(const struct place *p, const struct account *a)
{
	double room = held_most(p, &a->limit);

	for (guint i = 0; i < a->holders->len; i++)
		room -= g_array_index(a->holders, struct holder, i).held;
	return room;
}

/* Until so much has come for requests that wait, at a rate; the entries that
 * lack some ask in turn. */
static int64_t ask_again_ms(const struct account *a, double lack, double per_s)
{
	return MAX(quota_back_ms(lack, per_s),
		   TURN_MS * (int64_t)a->holders->len);
}

/* Out of the level, for an entry that wants some, whose first request lacks
 * some. */
static double grant(const struct place *p, const struct account *a,
		    double level, double room, double want, double first)
{
	double n = MAX(MIN(want, MIN(level, room)), 0);

	/* One request may be larger than the burst, or than the room. */
	if (n < first && lacks(p, a, first, level) <= 0)
		n = first;
	return n;
}

/*
 * The same for a class that may have so much. Where that is scarce an entry
 * gets what its first request lacks, or nothing: a part of it would lie there
 * while those of other entries are refused for it.
 */
static double grant_part(const struct place *p, const struct account *a,
			 double level, double room, const struct quota_part *x)
{
	double want = quota_whole(x->want), first = quota_whole(x->first);

	if (level < want)
		want = first > 0 && level >= first ? first : 0;
	return grant(p, a, level, room, want, first);
}

/* To one class, after what others were granted by the same word. */
static double grant_class(const struct place *p, struct account *a,
			  const struct quota_part *x, double room,
			  double granted, struct quota_part *out)
{
	int class = quota_classes_clamp(x->class_id);
	double level = a->level - granted, first = quota_whole(x->first);
	double mine = quota_classes_available(&a->shares, class, level);
	double n = grant_part(p, a, mine, room - granted, x), per_s;

	quota_classes_spend(&a->shares, class, n, level);
	*out = (struct quota_part){ .class_id = class,
				    .grant = quota_milli(n) };
	if (n >= first)
		return n;
	per_s = a->limit.per_s * quota_classes_next_ratio(&a->shares, class);
	out->wait_ms = ask_again_ms(a, lacks(p, a, first, mine), per_s);
	return n;
}

/* 0: there is none. */
static int64_t sooner(int64_t x, int64_t y)
{
	return x && y ? MIN(x, y) : MAX(x, y);
}

/* To each class out of what it may spend, the most urgent first. */
static double grant_classes(const struct place *p, struct account *a,
			    const struct quota_ask *ask, struct quota_word *out)
{
	const struct quota_part whole = { .want = ask->want,
					  .first = ask->first };
	const struct quota_part *x = ask->parts.n ? ask->parts.items : &whole;
	size_t most = ask->parts.n ? MIN(ask->parts.n, QUOTA_CLASSES) : 1;
	double room = room_of(p, a), all = 0;

	quota_classes_settle(&a->shares, a->level);
	for (size_t i = 0; i < most; i++) {
		struct quota_part *part = &a->parts[i];

		all += grant_class(p, a, &x[i], room, all, part);
		out->grant += part->grant;
		out->wait_ms = sooner(out->wait_ms, part->wait_ms);
	}
	if (ask->parts.n)
		out->parts = (struct wire_list){ a->parts, most };
	return all;
}

/* To all of its requests, which are alike. */
static double grant_whole(const struct place *p, const struct account *a,
			  const struct quota_ask *ask, struct quota_word *out)
{
	double first = quota_whole(ask->first);
	double n = grant(p, a, a->level, room_of(p, a), quota_whole(ask->want),
			 first);

	out->grant = quota_milli(n);
	if (n < first)
		out->wait_ms = ask_again_ms(a, lacks(p, a, first, a->level - n),
					    a->limit.per_s);
	return n;
}

bool quota_lease_place_ask(void *place, uint64_t id, const struct customer *c,
			   const struct quota_ask *ask, int64_t now,
			   struct quota_word *out)
{
	struct place *p = place;
	struct account *a = account_of(p, c, now);
	struct holder *h = hear(p, a, id, ask, now);
	struct others o;
	double n;

	*out = (struct quota_word){ .customer = ask->customer,
				    .number = ask->number };
	n = quota_classes_several(&a->shares) ? grant_classes(p, a, ask, out) :
						grant_whole(p, a, ask, out);
	a->level -= n;
	a->granted += n;
	a->refused += quota_whole(ask->refused);
	h->held += n;
	o = others_of(a, h);
	h->rate = alone_rate(p, a, h, &o, now);
	h->reserve = alone_reserve(p, a, h, &o, quota_whole(ask->usual));
	out->rate = quota_milli(h->rate);
	out->reserve = quota_milli(h->reserve);
	return true;
}

bool quota_lease_place_look(void *place, const char *customer, int64_t now,
			    struct quota_sight *out)
{
	struct place *p = place;
	struct account *a = g_hash_table_lookup(p->accounts, customer);

	if (!a)
		return false;
	settle(p, a, now);
	*out = (struct quota_sight){ .level = a->level,
				     .granted = a->granted,
				     .refused = a->refused,
				     .entries = a->holders->len };
	for (guint i = 0; i < a->holders->len; i++)
		out->held += g_array_index(a->holders, struct holder, i).held;
	return true;
}

void quota_lease_place_gone(void *place, uint64_t id, int64_t now)
{
	struct place *p = place;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, p->accounts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct account *a = v;
		struct holder *h;

		settle(p, a, now);
		h = holder_of(a, id);
		if (!h || h->gone)
			continue;
		h->gone = true;
		h->counted += h->reserve;
		a->level -= h->reserve;
		h->gone_ms = now;
	}
}

void quota_lease_place_tidy(void *place, int64_t now)
{
	struct place *p = place;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, p->accounts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct account *a = v;

		settle(p, a, now);
		/* A full bucket is what a new account has after a while. */
		if (!a->holders->len && a->level >= burst_of(p, &a->limit) &&
		    now - p->since_ms > QUOTA_FORGET_MS)
			g_hash_table_iter_remove(&it);
	}
}

static uint64_t leader_home(struct ss_str customer, uint64_t leader,
			    const uint64_t *entries, size_t n)
{
	(void)customer;
	(void)entries;
	(void)n;
	return leader;
}

const struct quota_way quota_lease = {
	.name = "lease",
	.home = leader_home,
	QUOTA_LEASE_SIDES,
};
