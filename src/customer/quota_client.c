/* Quota clients, an entry's side of customers' limits: spending grants. */
#include "quota_client_int.h"

#include <math.h>

/* More is requested when the balance covers less than this time of the demand,
 * in s. */
#define RENEW_S 0.2
/* A quota client continues as disconnected when the allocator's reply takes
 * longer than its replies mostly do. Bounds of that timeout, in ms: a few
 * iterations of both event loops, and the timeout before any reply was
 * received. */
#define REPLY_TIMEOUT_MIN_MS 30
#define REPLY_TIMEOUT_MAX_MS 300
/* A request larger than the burst and the refill of this time, in s, is refused
 * as a mistake: its customer would be blocked for as long. */
#define COST_MAX_S 4
/* Number of requests over which the mean cost is averaged. */
#define MEAN_REQUESTS 8
/* If a request is expected within this time, in s, the balance is to cover
 * one. */
#define NEXT_REQUEST_S 2.0
/* An unreachable allocator is mostly replaced within this time, in ms: requests
 * wait for the next one. */
#define FAILOVER_MS 2000
/* Within FAILOVER_MS after a reconnect, requests accept at least this expected
 * wait, in ms: the backlog is served one request after the other. */
#define RECONNECT_WAIT_MS 1000

static void client_free(void *p)
{
	g_free(((struct quota_client *)p)->name);
	g_free(p);
}

void *quota_clients_new(const struct quota_options *o, int64_t now)
{
	struct quota_clients *e = g_new0(struct quota_clients, 1);

	(void)o;
	e->disconnected_ms = now;
	e->connected_ms = INT64_MIN / 2;
	e->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   client_free);
	e->due = g_ptr_array_new();
	return e;
}

void quota_clients_free(void *clients)
{
	struct quota_clients *e = clients;

	g_ptr_array_unref(e->due);
	g_hash_table_unref(e->by_name);
	g_free(e);
}

void quota_clients_set_entries(void *clients, uint64_t n)
{
	(void)clients;
	(void)n;
}

void quota_client_make_due(struct quota_clients *e, struct quota_client *u)
{
	if (u->due)
		return;
	u->due = true;
	g_ptr_array_add(e->due, u);
}

static struct quota_client *get_client(struct quota_clients *e,
				       const char *name, int64_t now)
{
	struct quota_client *u = g_hash_table_lookup(e->by_name, name);

	if (u)
		return u;
	u = g_new0(struct quota_client, 1);
	u->clients = e;
	u->name = g_strdup(name);
	u->connected = e->connected;
	u->disconnected_ms = e->disconnected_ms;
	u->connected_ms = e->connected_ms;
	u->demand_ms = u->accrued_ms = now;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		u->classes[i].first_due_ms = INT64_MAX;
	g_hash_table_insert(e->by_name, u->name, u);
	return u;
}

/* Returns the time without a reply after which an allocator counts as silent,
 * in ms. */
static int64_t reply_timeout_ms(const struct quota_client *u)
{
	const struct timing_estimate *a = &u->clients->reply_times;

	return a->n ? CLAMP((int64_t)timing_estimate_bound(a),
			    REPLY_TIMEOUT_MIN_MS, REPLY_TIMEOUT_MAX_MS) :
		      REPLY_TIMEOUT_MAX_MS;
}

/* Returns true if the allocator is unreachable or silent. */
static bool is_disconnected(const struct quota_client *u, int64_t now)
{
	return !u->connected ||
	       (u->pending && now - u->unanswered_ms >= reply_timeout_ms(u));
}

static int64_t disconnected_since(const struct quota_client *u)
{
	return u->connected ? u->unanswered_ms + reply_timeout_ms(u) :
			      u->disconnected_ms;
}

static void accrue_disconnected(struct quota_client *u, int64_t now)
{
	int64_t from = MAX(u->accrued_ms, disconnected_since(u));
	int64_t to = MIN(now, u->rate_until_ms);
	double n;

	if (is_disconnected(u, now) && to > from) {
		n = u->rate * (double)(to - from) / 1000;
		u->balance += n;
		u->disconnected_spent += n;
		if (u->balance > 0)
			u->balance_until_ms =
				MAX(u->balance_until_ms, u->rate_until_ms);
	}
	u->accrued_ms = now;
}

void quota_client_update(struct quota_client *u, int64_t now)
{
	double decay;

	accrue_disconnected(u, now);
	if (now >= u->balance_until_ms)
		u->balance = MIN(u->balance, 0);
	if (now == u->demand_ms)
		return;
	decay = exp(-(double)(now - u->demand_ms) / DEMAND_WINDOW_MS);
	u->demand *= decay;
	for (int i = 0; i < QUOTA_CLASSES; i++) {
		u->shares.demand[i] *= decay;
		u->shares.served[i] *= decay;
		u->classes[i].grant_rate *= decay;
	}
	u->demand_ms = now;
}

void quota_client_clear_waits(struct quota_client *u)
{
	u->retry_at_ms = 0;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		u->classes[i].retry_at_ms = 0;
}

void quota_clients_link(void *clients, const char *customer, bool up,
			int64_t now)
{
	struct quota_clients *e = clients;
	GHashTableIter it;
	void *p;

	if (!customer) {
		if (e->connected && !up)
			e->disconnected_ms = now;
		if (up)
			e->connected_ms = now;
		e->connected = up;
	}
	g_hash_table_iter_init(&it, e->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct quota_client *u = p;

		if (customer && strcmp(customer, u->name))
			continue;
		quota_client_update(u, now);
		if (u->connected && !up)
			u->disconnected_ms = now;
		if (up)
			u->connected_ms = now;
		u->connected = up;
		u->pending = u->reported = false;
		quota_client_clear_waits(u);
		if (up)
			quota_client_make_due(e, u);
	}
}

static void update_mean(double *mean, double cost)
{
	*mean += (cost - *mean) / (*mean > 0 ? MEAN_REQUESTS : 1);
}

static void add_demand(struct quota_client *u, int class, double cost,
		       int64_t now)
{
	u->demand += cost * 1000 / DEMAND_WINDOW_MS;
	u->shares.demand[class] += cost * 1000 / DEMAND_WINDOW_MS;
	update_mean(&u->mean, cost);
	update_mean(&u->classes[class].mean, cost);
	u->used_ms = now;
}

/* Returns the balance below which more is requested, for a demand. */
static double min_balance(double demand, double mean)
{
	return MAX(demand * RENEW_S,
		   demand * NEXT_REQUEST_S >= mean ? mean : 0);
}

double quota_client_min_balance(const struct quota_client *u)
{
	return min_balance(u->demand, u->mean);
}

double quota_client_class_min_balance(const struct quota_client *u, int class)
{
	return u->shares.demand[class] * RENEW_S;
}

bool quota_client_is_low(const struct quota_client *u)
{
	if (!quota_classes_several(&u->shares))
		return u->balance < quota_client_min_balance(u);
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.balance[i] < quota_client_class_min_balance(u, i))
			return true;
	return u->balance < quota_client_min_balance(u);
}

static double spendable(const struct quota_client *u, int64_t now)
{
	bool may_overdraw = is_disconnected(u, now) && now < u->rate_until_ms;

	return u->balance + (may_overdraw ? u->overdraft : 0);
}

static enum quota_decision spend(struct quota_client *u, int class, double cost,
				 int64_t now)
{
	quota_classes_spend(&u->shares, class, cost, spendable(u, now));
	u->balance -= cost;
	u->classes[class].first_cost = 0;
	u->shares.served[class] += cost * 1000 / DEMAND_WINDOW_MS;
	if (quota_client_is_low(u))
		quota_client_make_due(u->clients, u);
	return QUOTA_ADMIT;
}

/* Adds the cost of a waiting request, or removes it with a cost below 0. */
static void add_waiting(struct quota_client *u, int class, double cost)
{
	double *waiting = &u->shares.waiting[class];

	*waiting = MAX(*waiting + cost, 0);
	u->waiting = 0;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		u->waiting += u->shares.waiting[i];
}

static void remove_waiting(struct quota_client *u, int class, double cost,
			   const struct quota_rank *r)
{
	struct quota_client_class *k = &u->classes[class];

	add_waiting(u, class, -cost);
	if (r->due_ms <= k->first_due_ms)
		k->first_due_ms = INT64_MAX;
}

/* Returns the amount per second that a class can expect, from recent grants:
 * its fraction of all of them, or its own if those were more. */
static double grant_rate(const struct quota_client *u, int class)
{
	double all = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		all += u->classes[i].grant_rate;
	return MAX(all * quota_classes_next_ratio(&u->shares, class),
		   u->classes[class].grant_rate);
}

/* Returns the expected time until there is enough for one more request. */
static int64_t expected_wait_ms(const struct quota_client *u, int class,
				int64_t now)
{
	const struct quota_client_class *k = &u->classes[class];

	if (now >= k->retry_at_ms)
		return 0;
	return k->retry_at_ms - now +
	       (int64_t)(u->shares.waiting[class] * 1000 /
			 MAX(grant_rate(u, class), 1));
}

/* Returns the longest expected wait that a request accepts. Where classes share
 * the balance, that of a waiting request counts from its arrival. */
static int64_t max_wait_ms(const struct quota_client *u,
			   const struct quota_need *n,
			   const struct quota_rank *r, int64_t now)
{
	int64_t ms = n->hold_ms;

	if (now - u->connected_ms < FAILOVER_MS)
		return MAX(ms, RECONNECT_WAIT_MS);
	if (n->queued && quota_classes_several(&u->shares))
		ms = MIN(ms, r->due_ms - n->hold_ms - now);
	return ms;
}

/* Returns true if a request's objective is earlier than that of the first
 * waiting request. While the latter is unknown, a new request isn't earlier. */
static bool is_earlier(const struct quota_client_class *k,
		       const struct quota_need *n, const struct quota_rank *r)
{
	return r->due_ms < k->first_due_ms &&
	       (n->queued || k->first_due_ms != INT64_MAX);
}

/* Returns true if no waiting request of the class goes first: none waits, this
 * one's objective is earlier, or it can wait no longer. */
static bool is_next(const struct quota_client *u, int class,
		    const struct quota_need *n, const struct quota_rank *r,
		    int64_t now)
{
	if (u->shares.waiting[class] <= 0 ||
	    is_earlier(&u->classes[class], n, r))
		return true;
	return n->queued && now >= r->due_ms - n->hold_ms;
}

/* Updates the first waiting request: this one is first, or it is overdue and
 * smaller. */
static void update_first(struct quota_client_class *k,
			 const struct quota_need *n, const struct quota_rank *r,
			 bool queue_empty)
{
	if (queue_empty || is_earlier(k, n, r)) {
		k->first_cost = n->cost;
		k->first_due_ms = r->due_ms;
	} else if (n->queued) {
		k->first_cost = MIN(k->first_cost, n->cost);
	}
}

static bool has_enough(const struct quota_client *u, int class, double cost,
		       int64_t now)
{
	return quota_classes_available(&u->shares, class, spendable(u, now)) >=
	       cost;
}

/* Returns true if a request that can't be served now is to be refused rather
 * than queued; *retry_after_ms is then the time until a retry may succeed. */
static bool must_refuse(const struct quota_client *u, int class,
			const struct quota_need *n, const struct quota_rank *r,
			int64_t now, int64_t *retry_after_ms)
{
	double rate = now < u->rate_until_ms ? u->rate : 0, shortfall;

	if (is_disconnected(u, now) &&
	    now - disconnected_since(u) >= FAILOVER_MS) {
		*retry_after_ms = quota_retry_ms(n->cost - u->balance, rate);
		return true;
	}
	*retry_after_ms = expected_wait_ms(u, class, now);
	if (*retry_after_ms <= max_wait_ms(u, n, r, now))
		return false;
	/* No retry time was received, and the request has waited for as long as
	 * it accepts: the time is estimated from the rate of grants. */
	shortfall = n->cost - quota_classes_available(&u->shares, class,
						      spendable(u, now));
	if (!*retry_after_ms)
		*retry_after_ms =
			quota_retry_ms(shortfall, grant_rate(u, class));
	return true;
}

static void enqueue(struct quota_client *u, int class,
		    const struct quota_need *n, const struct quota_rank *r)
{
	bool queue_empty = u->shares.waiting[class] <= 0;

	update_first(&u->classes[class], n, r, queue_empty);
	add_waiting(u, class, n->cost);
	quota_client_make_due(u->clients, u);
}

enum quota_decision quota_clients_take_ranked(
	void *clients, const struct customer *c, const struct quota_need *n,
	const struct quota_rank *r, int64_t now, int64_t *retry_after_ms)
{
	int class = quota_classes_clamp(r->class_id);
	struct quota_client *u = get_client(clients, c->name, now);

	quota_client_update(u, now);
	if (n->cost > c->limit.burst + c->limit.per_s * COST_MAX_S) {
		*retry_after_ms = quota_retry_ms(n->cost, c->limit.per_s);
		return QUOTA_REFUSE;
	}
	/* Divide while a queued request still counts as waiting, so that its
	 * class retains tokens for it. */
	quota_classes_divide(&u->shares, spendable(u, now));
	if (n->queued)
		remove_waiting(u, class, n->cost, r);
	else
		add_demand(u, class, n->cost, now);
	if (has_enough(u, class, n->cost, now) && is_next(u, class, n, r, now))
		return spend(u, class, n->cost, now);
	if (must_refuse(u, class, n, r, now, retry_after_ms)) {
		u->refused += n->cost;
		return QUOTA_REFUSE;
	}
	enqueue(u, class, n, r);
	return QUOTA_WAIT;
}

/* Rank of all requests of a limit without classes. */
static const struct quota_rank default_rank;

enum quota_decision quota_clients_take(void *clients, const struct customer *c,
				       const struct quota_need *n, int64_t now,
				       int64_t *retry_after_ms)
{
	return quota_clients_take_ranked(clients, c, n, &default_rank, now,
					 retry_after_ms);
}

void quota_clients_cancel_ranked(void *clients, const struct customer *c,
				 double cost, const struct quota_rank *r)
{
	struct quota_clients *e = clients;
	struct quota_client *u = g_hash_table_lookup(e->by_name, c->name);

	if (u)
		remove_waiting(u, quota_classes_clamp(r->class_id), cost, r);
}

void quota_clients_cancel(void *clients, const struct customer *c, double cost)
{
	quota_clients_cancel_ranked(clients, c, cost, &default_rank);
}

void quota_clients_refund(void *clients, const struct customer *c, double cost,
			  const struct quota_rank *r, int64_t now)
{
	struct quota_client *u = get_client(clients, c->name, now);

	quota_client_update(u, now);
	/* Refund no more than would be requested: the surplus would be unused
	 * for long. */
	if (u->balance + cost >
	    MAX(u->demand * GRANT_DEMAND_S, quota_client_min_balance(u)))
		return;
	u->balance += cost;
	u->shares.balance[quota_classes_clamp(r->class_id)] += cost;
}

struct quota_client_view quota_clients_view(const void *clients,
					    const char *customer, int64_t now)
{
	const struct quota_clients *e = clients;
	const struct quota_client *u =
		g_hash_table_lookup(e->by_name, customer);
	struct quota_client_view v = { .age_ms = -1,
				       .disconnected = !e->connected };

	for (int i = 0; i < QUOTA_CLASSES; i++)
		v.served_ratio[i] = 1;
	if (!u)
		return v;
	for (int i = 0; i < QUOTA_CLASSES; i++)
		v.served_ratio[i] = quota_classes_served_ratio(&u->shares, i);
	v.balance = u->balance;
	v.disconnected = is_disconnected(u, now);
	if (u->balance_until_ms)
		v.age_ms = now - (u->balance_until_ms - QUOTA_LEASE_MS);
	return v;
}
