/* The allocator: grants customers' tokens to entries by demand. */
#include "quota_classes.h"
#include "quota_lease.h"

/* Time by which the allocator extends leases, for differences between clocks,
 * in ms. */
#define LEASE_MARGIN_MS 500
/* Fractions of the permitted overage that entries may hold as balances, and may
 * overdraw. The rest is for entries that haven't reported to a new allocator,
 * and for single requests above the limit. */
#define OUTSTANDING_SHARE 0.2
#define OVERDRAFT_SHARE 0.25
/* Fraction of the permitted overage that a new allocator's bucket starts with:
 * earlier grants are unknown, and not every waiting request has to wait for the
 * refill. */
#define INITIAL_SHARE 0.2
/* Fraction of the burst that is set aside for balances where the permitted
 * overage is too small for them. */
#define OUTSTANDING_BURST 0.25
/* Fraction of the burst that is added to the refill rate, spread over a window.
 * Customers that exceed their rate continuously are served more, those that
 * send in bursts less. */
#define SPREAD_SHARE 0.5
/* Fraction of a limit that all disconnected entries together may spend. */
#define DISCONNECTED_SHARE 0.4
/* Entries with a shortfall request again in turn, spaced by this, in ms: an
 * allocator answers a few hundred requests per second for a customer, whatever
 * the number of entries. */
#define REQUEST_SPACING_MS 2

/* An entry with a balance of a customer, or possibly with one. */
struct holder {
	uint64_t id;
	double balance;
	double demand;
	double demands[QUOTA_CLASSES], served[QUOTA_CLASSES]; /* by class */
	double rate, overdraft; /* permitted while disconnected */
	int64_t until_ms;	/* when balance, rate and overdraft expire */
	bool lost;		/* disconnected, ... */
	int64_t lost_ms;	/* ... since then */
	double charged;		/* charged to the bucket in its absence */
};

struct account {
	char *name;
	struct customer_limit limit;
	double level; /* of the bucket */
	int64_t ms;   /* time up to which the level is updated */
	GArray *holders;
	double granted, refused;     /* since it was created */
	struct quota_classes shares; /* division of the level */
	struct quota_class_item parts[QUOTA_CLASSES]; /* of the last reply */
};

struct allocator {
	struct quota_max_overage overage;
	GHashTable *accounts; /* name -> struct account */
	int64_t started_ms;
};

static void account_free(void *p)
{
	struct account *a = p;

	g_array_unref(a->holders);
	g_free(a->name);
	g_free(a);
}

void *quota_allocator_new(const struct quota_options *o, int64_t now)
{
	struct allocator *p = g_new0(struct allocator, 1);

	p->overage = o->overage;
	p->started_ms = now;
	p->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    account_free);
	return p;
}

void quota_allocator_free(void *allocator)
{
	struct allocator *p = allocator;

	g_hash_table_unref(p->accounts);
	g_free(p);
}

static double overlap_s(int64_t a, int64_t b, int64_t from, int64_t to)
{
	int64_t ms = MIN(b, to) - MAX(a, from);

	return ms > 0 ? (double)ms / 1000 : 0;
}

/* Returns by how much a limit may be exceeded in a window. */
static double overage_of(const struct allocator *p,
			 const struct customer_limit *l)
{
	return p->overage.ratio * (l->per_s * p->overage.window_s + l->burst) +
	       p->overage.extra;
}

/* Returns the maximum of the entries' balances together. */
static double max_outstanding(const struct allocator *p,
			      const struct customer_limit *l)
{
	return MAX(OUTSTANDING_SHARE * overage_of(p, l),
		   OUTSTANDING_BURST * l->burst);
}

/* Returns the size of the bucket: part of the burst. The remainder is added to
 * the refill rate, so that a window's grants add up to what the limit allows.
 */
static double bucket_size(const struct allocator *p,
			  const struct customer_limit *l)
{
	double covered = OUTSTANDING_SHARE * overage_of(p, l);

	return l->burst * (1 - SPREAD_SHARE) -
	       MAX(max_outstanding(p, l) - covered, 0);
}

static double refill_rate(const struct allocator *p,
			  const struct customer_limit *l)
{
	return l->per_s + SPREAD_SHARE * l->burst / p->overage.window_s;
}

/* Returns true while entries may still be spending by replies of the previous
 * allocator. */
static bool is_new(const struct allocator *p, int64_t now)
{
	return now - p->started_ms < QUOTA_LEASE_MS + LEASE_MARGIN_MS;
}

/* Returns the rate at which entries that haven't reported may be spending by
 * replies of the previous allocator. */
static double unreported_rate(const struct allocator *p,
			      const struct account *a, int64_t now)
{
	double rate = DISCONNECTED_SHARE * a->limit.per_s;

	if (!is_new(p, now))
		return 0;
	for (guint i = 0; i < a->holders->len; i++)
		rate -= g_array_index(a->holders, struct holder, i).rate;
	return MAX(rate, 0);
}

static void add_demands(struct account *a, const struct holder *h, int sign)
{
	struct quota_classes *s = &a->shares;

	for (int i = 0; i < QUOTA_CLASSES; i++) {
		s->demand[i] = MAX(s->demand[i] + sign * h->demands[i], 0);
		s->served[i] = MAX(s->served[i] + sign * h->served[i], 0);
	}
}

/* Subtracts a holder's demands from the sums, and drops what was retained for
 * waiting requests of its classes. */
static void remove_demands(struct account *a, const struct holder *h)
{
	add_demands(a, h, -1);
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (h->demands[i] > 0)
			a->shares.waiting[i] = 0;
}

static void remove_holder(struct account *a, guint at)
{
	remove_demands(a, &g_array_index(a->holders, struct holder, at));
	g_array_remove_index_fast(a->holders, at);
	/* Clear the rounding errors of the sums. */
	if (!a->holders->len)
		memset(&a->shares, 0, sizeof(a->shares));
}

static void update_level(const struct allocator *p, struct account *a,
			 int64_t now)
{
	int64_t leases_end_ms =
		p->started_ms + QUOTA_LEASE_MS + LEASE_MARGIN_MS;

	if (now <= a->ms)
		return;
	a->level += refill_rate(p, &a->limit) * (double)(now - a->ms) / 1000;
	a->level -= unreported_rate(p, a, a->ms) *
		    overlap_s(a->ms, now, p->started_ms, leases_end_ms);
	for (guint i = a->holders->len; i-- > 0;) {
		struct holder *h = &g_array_index(a->holders, struct holder, i);
		double n = h->lost ? h->rate * overlap_s(a->ms, now, h->lost_ms,
							 h->until_ms) :
				     0;

		a->level -= n;
		h->charged += n;
		if (now >= h->until_ms)
			remove_holder(a, i);
	}
	a->level = MIN(a->level, bucket_size(p, &a->limit));
	a->ms = now;
}

static struct account *get_account(struct allocator *p,
				   const struct customer *c, int64_t now)
{
	struct account *a = g_hash_table_lookup(p->accounts, c->name);

	if (!a) {
		a = g_new0(struct account, 1);
		a->name = g_strdup(c->name);
		a->holders = g_array_new(FALSE, TRUE, sizeof(struct holder));
		a->limit = c->limit;
		/* The bucket has been filling since the allocator started. */
		a->ms = p->started_ms;
		a->level = MIN(INITIAL_SHARE * overage_of(p, &c->limit),
			       bucket_size(p, &c->limit));
		g_hash_table_insert(p->accounts, a->name, a);
	}
	update_level(p, a, now);
	a->limit = c->limit;
	a->level = MIN(a->level, bucket_size(p, &a->limit));
	return a;
}

static struct holder *find_holder(struct account *a, uint64_t id)
{
	for (guint i = 0; i < a->holders->len; i++) {
		struct holder *h = &g_array_index(a->holders, struct holder, i);

		if (h->id == id)
			return h;
	}
	return NULL;
}

/* Updates the demand by class. In a request without a list of classes, all of
 * it is of the first class. Each class retains the shortfall of its first
 * request, however rare its requests are. */
static void update_demands(struct account *a, struct holder *h,
			   const struct quota_request *req)
{
	const struct quota_class_item *x = req->classes.items;

	remove_demands(a, h);
	memset(h->demands, 0, sizeof(h->demands));
	memset(h->served, 0, sizeof(h->served));
	for (size_t i = 0; i < req->classes.n; i++) {
		int class = quota_classes_clamp(x[i].class_id);

		h->demands[class] += MAX(quota_from_milli(x[i].demand), 0);
		h->served[class] += MAX(quota_from_milli(x[i].served), 0);
		a->shares.waiting[class] = quota_from_milli(x[i].shortfall);
	}
	if (!req->classes.n) {
		h->demands[0] = MAX(h->demand, 0);
		a->shares.waiting[0] = quota_from_milli(req->shortfall);
	}
	add_demands(a, h, 1);
}

/*
 * Updates the record of an entry from its request. For a known entry the
 * recorded rate and overdraft are valid, not the request's, and its report
 * replaces what was charged in its absence. To a new allocator, what an entry
 * has overdrawn is no debt: it was granted by the previous allocator, whose
 * bucket no longer exists.
 */
static struct holder *update_holder(const struct allocator *p,
				    struct account *a, uint64_t id,
				    const struct quota_request *req,
				    int64_t now)
{
	struct holder *h = find_holder(a, id);
	bool known = h != NULL;

	if (h) {
		if (h->lost)
			a->level += h->charged;
		a->level -= quota_from_milli(req->disconnected_spent);
		h->lost = false;
		h->charged = 0;
	} else {
		struct holder one = {
			.id = id,
			.rate = quota_from_milli(req->disconnected_rate),
			.overdraft = quota_from_milli(req->overdraft)
		};

		g_array_append_val(a->holders, one);
		h = &g_array_index(a->holders, struct holder,
				   a->holders->len - 1);
	}
	h->balance = MAX(quota_from_milli(req->balance), 0);
	if (known || !is_new(p, now))
		a->level += MIN(quota_from_milli(req->balance), 0);
	h->demand = quota_from_milli(req->demand);
	update_demands(a, h, req);
	h->until_ms = now + QUOTA_LEASE_MS + LEASE_MARGIN_MS;
	a->level += quota_from_milli(req->returned);
	return h;
}

/* Sums over the other holders, and the demand of all. */
struct others {
	double rate, overdraft, demand;
};

static struct others sum_others(const struct account *a, const struct holder *h)
{
	struct others o = { 0 };

	for (guint i = 0; i < a->holders->len; i++) {
		const struct holder *x =
			&g_array_index(a->holders, struct holder, i);

		o.demand += x->demand;
		o.rate += x == h ? 0 : x->rate;
		o.overdraft += x == h ? 0 : x->overdraft;
	}
	return o;
}

/* Returns an entry's part of an amount that is divided by demand. */
static double divide_by_demand(double all, const struct holder *h,
			       const struct others *o)
{
	return o->demand > 0 ? all * h->demand / o->demand : 0;
}

/* Returns the rate at which an entry may spend while disconnected, within what
 * the others leave. */
static double disconnected_rate(const struct allocator *p,
				const struct account *a, const struct holder *h,
				const struct others *o, int64_t now)
{
	double all = DISCONNECTED_SHARE * a->limit.per_s;
	double left = all - o->rate - unreported_rate(p, a, now);

	return MAX(MIN(divide_by_demand(all, h, o), left), 0);
}

/*
 * Returns how far a disconnected entry may overdraw its balance: part of the
 * permitted overage, and of the bucket's level, which the next allocator won't
 * have. So a customer far below its limit is served while the allocator is
 * being replaced, and one at its limit spends no more. The overdraft is at
 * least the mean cost of a request where the others leave that much, as less
 * would be of no use.
 */
static double max_overdraft(const struct allocator *p, const struct account *a,
			    const struct holder *h, const struct others *o,
			    double mean_cost)
{
	double all =
		OVERDRAFT_SHARE * overage_of(p, &a->limit) + MAX(a->level, 0);

	return MAX(MIN(MAX(divide_by_demand(all, h, o), mean_cost),
		       all - o->overdraft),
		   0);
}

/* Returns how much a level lacks for a request of that cost; for a request
 * larger than the bucket, a full bucket is enough. */
static double shortfall_of(const struct allocator *p, const struct account *a,
			   double cost, double level)
{
	return MIN(cost, bucket_size(p, &a->limit)) - level;
}

/* Returns how much may be added to the entries' balances. */
static double outstanding_room(const struct allocator *p,
			       const struct account *a)
{
	double room = max_outstanding(p, &a->limit);

	for (guint i = 0; i < a->holders->len; i++)
		room -= g_array_index(a->holders, struct holder, i).balance;
	return room;
}

/* Returns the time until a shortfall is covered, at a rate per second, but no
 * less than all entries need to request again in turn. */
static int64_t retry_ms(const struct account *a, double shortfall, double per_s)
{
	return MAX(quota_retry_ms(shortfall, per_s),
		   REQUEST_SPACING_MS * (int64_t)a->holders->len);
}

/* Returns how much of the level to grant to an entry that wants some and whose
 * first request has a shortfall. */
static double grant(const struct allocator *p, const struct account *a,
		    double level, double room, double want, double shortfall)
{
	double n = MAX(MIN(want, MIN(level, room)), 0);

	/* A single request may exceed the burst or the room for balances. */
	if (n < shortfall && shortfall_of(p, a, shortfall, level) <= 0)
		n = shortfall;
	return n;
}

/*
 * Returns the grant to a class that may have up to level. If that is less than
 * wanted, the entry gets the shortfall of its first request or nothing: a
 * smaller grant would be unused while requests of other entries are refused for
 * lack of tokens.
 */
static double class_grant_amount(const struct allocator *p,
				 const struct account *a, double level,
				 double room, const struct quota_class_item *x)
{
	double want = quota_from_milli(x->want),
	       shortfall = quota_from_milli(x->shortfall);

	if (level < want)
		want = shortfall > 0 && level >= shortfall ? shortfall : 0;
	return grant(p, a, level, room, want, shortfall);
}

/* Grants to one class, after the classes before it in the same reply. */
static double grant_to_class(const struct allocator *p, struct account *a,
			     const struct quota_class_item *x, double room,
			     double granted, struct quota_class_item *out)
{
	int class = quota_classes_clamp(x->class_id);
	double level = a->level - granted,
	       shortfall = quota_from_milli(x->shortfall);
	double available = quota_classes_available(&a->shares, class, level);
	double n = class_grant_amount(p, a, available, room - granted, x),
	       per_s;

	quota_classes_spend(&a->shares, class, n, level);
	*out = (struct quota_class_item){ .class_id = class,
					  .grant = quota_to_milli(n) };
	if (n >= shortfall)
		return n;
	per_s = a->limit.per_s * quota_classes_next_ratio(&a->shares, class);
	out->retry_after_ms =
		retry_ms(a, shortfall_of(p, a, shortfall, available), per_s);
	return n;
}

/* Returns the smaller of two times, where 0 means none. */
static int64_t earlier_of(int64_t x, int64_t y)
{
	return x && y ? MIN(x, y) : MAX(x, y);
}

/* Grants to each class out of what it may spend, the most urgent first. */
static double grant_by_class(const struct allocator *p, struct account *a,
			     const struct quota_request *req,
			     struct quota_reply *out)
{
	const struct quota_class_item whole = { .want = req->want,
						.shortfall = req->shortfall };
	const struct quota_class_item *x = req->classes.n ? req->classes.items :
							    &whole;
	size_t most = req->classes.n ? MIN(req->classes.n, QUOTA_CLASSES) : 1;
	double room = outstanding_room(p, a), all = 0;

	quota_classes_divide(&a->shares, a->level);
	for (size_t i = 0; i < most; i++) {
		struct quota_class_item *part = &a->parts[i];

		all += grant_to_class(p, a, &x[i], room, all, part);
		out->grant += part->grant;
		out->retry_after_ms =
			earlier_of(out->retry_after_ms, part->retry_after_ms);
	}
	if (req->classes.n)
		out->classes = (struct wire_list){ a->parts, most };
	return all;
}

/* Grants without regard to classes. */
static double grant_undivided(const struct allocator *p,
			      const struct account *a,
			      const struct quota_request *req,
			      struct quota_reply *out)
{
	double shortfall = quota_from_milli(req->shortfall);
	double n = grant(p, a, a->level, outstanding_room(p, a),
			 quota_from_milli(req->want), shortfall);

	out->grant = quota_to_milli(n);
	if (n < shortfall)
		out->retry_after_ms =
			retry_ms(a, shortfall_of(p, a, shortfall, a->level - n),
				 a->limit.per_s);
	return n;
}

bool quota_allocator_request(void *allocator, uint64_t id,
			     const struct customer *c,
			     const struct quota_request *req, int64_t now,
			     struct quota_reply *out)
{
	struct allocator *p = allocator;
	struct account *a = get_account(p, c, now);
	struct holder *h = update_holder(p, a, id, req, now);
	struct others o;
	double n;

	*out = (struct quota_reply){ .customer = req->customer,
				     .number = req->number };
	n = quota_classes_several(&a->shares) ? grant_by_class(p, a, req, out) :
						grant_undivided(p, a, req, out);
	a->level -= n;
	a->granted += n;
	a->refused += quota_from_milli(req->refused);
	h->balance += n;
	o = sum_others(a, h);
	h->rate = disconnected_rate(p, a, h, &o, now);
	h->overdraft =
		max_overdraft(p, a, h, &o, quota_from_milli(req->mean_cost));
	out->disconnected_rate = quota_to_milli(h->rate);
	out->overdraft = quota_to_milli(h->overdraft);
	return true;
}

bool quota_allocator_view(void *allocator, const char *customer, int64_t now,
			  struct quota_account_view *out)
{
	struct allocator *p = allocator;
	struct account *a = g_hash_table_lookup(p->accounts, customer);

	if (!a)
		return false;
	update_level(p, a, now);
	*out = (struct quota_account_view){ .level = a->level,
					    .granted = a->granted,
					    .refused = a->refused,
					    .entries = a->holders->len };
	for (guint i = 0; i < a->holders->len; i++)
		out->outstanding +=
			g_array_index(a->holders, struct holder, i).balance;
	return true;
}

void quota_allocator_client_lost(void *allocator, uint64_t id, int64_t now)
{
	struct allocator *p = allocator;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, p->accounts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct account *a = v;
		struct holder *h;

		update_level(p, a, now);
		h = find_holder(a, id);
		if (!h || h->lost)
			continue;
		h->lost = true;
		h->charged += h->overdraft;
		a->level -= h->overdraft;
		h->lost_ms = now;
	}
}

void quota_allocator_prune(void *allocator, int64_t now)
{
	struct allocator *p = allocator;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, p->accounts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct account *a = v;

		update_level(p, a, now);
		/* A full bucket needs no account: a new account's bucket fills
		 * from the start of the allocator, and is full by then. */
		if (!a->holders->len && a->level >= bucket_size(p, &a->limit) &&
		    now - p->started_ms > QUOTA_FORGET_MS)
			g_hash_table_iter_remove(&it);
	}
}

static uint64_t leader_allocator_for(struct ss_str customer, uint64_t leader,
				     const uint64_t *entries, size_t n)
{
	(void)customer;
	(void)entries;
	(void)n;
	return leader;
}

const struct quota_scheme quota_lease = {
	.name = "lease",
	.allocator_for = leader_allocator_for,
	QUOTA_LEASE_FUNCTIONS,
};
