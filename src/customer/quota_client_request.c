/* Quota clients: requests to the allocator, and its replies. */
#include "quota_client_int.h"

/* A request without a reply is repeated after this, in ms. */
#define REQUEST_TIMEOUT_MS 1000
/* Minimum interval between requests after a partial grant, while no caller's
 * request waits, in ms. */
#define SCARCE_MS 2000

/* Returns the balance to hold if the allocator has enough. */
static double target_balance(const struct quota_client *u, int64_t now)
{
	if (now - u->used_ms >= IDLE_MS)
		return 0;
	return u->waiting +
	       MAX(u->demand * GRANT_DEMAND_S, quota_client_min_balance(u));
}

/* Returns the amount that the balance of a class lacks. */
static double class_deficit(const struct quota_client *u, int class)
{
	double ahead = MAX(u->shares.demand[class] * GRANT_DEMAND_S,
			   quota_client_class_min_balance(u, class));

	return u->shares.waiting[class] + ahead - u->shares.balance[class];
}

/* Returns the time before which the allocator has no tokens for any class with
 * waiting requests. */
static int64_t retry_at(const struct quota_client *u)
{
	int64_t ms = INT64_MAX;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.waiting[i] > 0)
			ms = MIN(ms, u->classes[i].retry_at_ms);
	return ms == INT64_MAX ? u->retry_at_ms : ms;
}

static bool is_request_due(const struct quota_client *u, int64_t now)
{
	if (u->pending)
		return now - u->requested_ms >= REQUEST_TIMEOUT_MS;
	if (!u->reported && (u->balance != 0 || u->disconnected_spent > 0 ||
			     now < u->rate_until_ms))
		return true;
	if (now < retry_at(u))
		return false;
	/* Returning less than one token isn't worth a message. */
	if (now - u->used_ms >= IDLE_MS)
		return u->balance >= 1;
	if (u->waiting > 0)
		return true;
	return now >= u->scarce_until_ms && quota_client_is_low(u);
}

/* Returns the shortfall of the first waiting request of a class, in thousandths
 * rounded up. */
static int64_t class_shortfall(const struct quota_client *u, int class)
{
	double has = quota_classes_available(&u->shares, class, u->balance);

	if (u->shares.waiting[class] <= 0)
		return 0;
	return quota_to_milli(
		       MAX(u->classes[class].first_cost - MAX(has, 0), 0)) +
	       1;
}

/* Lists the classes in use; there is no list if that is only the first. */
static void add_classes(struct quota_client *u, struct quota_request *req)
{
	size_t n = 0;

	for (int i = 0; i < QUOTA_CLASSES; i++) {
		struct quota_class_item *x = &u->parts[n];

		if (!quota_classes_used(&u->shares, i))
			continue;
		*x = (struct quota_class_item){
			.class_id = i,
			.demand = quota_to_milli(u->shares.demand[i]),
			.served = quota_to_milli(u->shares.served[i]),
			.want = quota_to_milli(MAX(class_deficit(u, i), 0)),
			.shortfall = class_shortfall(u, i)
		};
		x->want = MAX(x->want, x->shortfall);
		n++;
	}
	if (n > 1 || (n == 1 && u->parts[0].class_id))
		req->classes = (struct wire_list){ u->parts, n };
}

/* Returns the shortfall of the most urgent class with a waiting request: the
 * only one that a request without a list states, or an allocator without
 * classes reads. */
static int64_t first_shortfall(const struct quota_client *u)
{
	for (int i = 0; i < QUOTA_CLASSES; i++)
		if (u->shares.waiting[i] > 0)
			return class_shortfall(u, i);
	return 0;
}

static void add_request(struct quota_client *u, int64_t now, GArray *out)
{
	double want = target_balance(u, now);
	struct quota_request req = {
		.customer = ss_str(u->name),
		.number = ++u->number,
		.balance = quota_to_milli(u->balance),
		.want = quota_to_milli(MAX(want - u->balance, 0)),
		.demand = quota_to_milli(u->demand),
		.disconnected_spent = quota_to_milli(u->disconnected_spent),
		.mean_cost = quota_to_milli(u->mean),
		.refused = quota_to_milli(u->refused)
	};

	if (now < u->rate_until_ms) {
		req.disconnected_rate = quota_to_milli(u->rate);
		req.overdraft = quota_to_milli(u->overdraft);
	}
	/* The allocator accounts for what was overdrawn. */
	u->balance = MAX(u->balance, 0);
	quota_classes_divide(&u->shares, u->balance);
	req.shortfall = first_shortfall(u);
	add_classes(u, &req);
	if (want <= 0 && req.balance > 0) {
		req.returned = req.balance;
		req.balance = 0;
		u->balance = 0;
	}
	u->disconnected_spent = u->refused = 0;
	if (!u->pending)
		u->unanswered_ms = now;
	u->reported = u->pending = true;
	u->requested_ms = now;
	u->wanted = quota_from_milli(req.want);
	g_array_append_val(out, req);
}

/* Idle clients have no requests that make them due, so all are checked
 * periodically. */
static void sweep(struct quota_clients *e, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - e->sweep_ms < IDLE_MS / 4)
		return;
	e->sweep_ms = now;
	g_hash_table_iter_init(&it, e->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct quota_client *u = p;

		quota_client_update(u, now);
		if (now - u->used_ms > QUOTA_FORGET_MS && !u->due &&
		    !u->pending && u->balance <= 0)
			g_hash_table_iter_remove(&it);
		else if (u->connected && is_request_due(u, now))
			quota_client_make_due(e, u);
	}
}

void quota_clients_requests(void *clients, int64_t now, GArray *out)
{
	struct quota_clients *e = clients;
	guint kept = 0;

	sweep(e, now);
	for (guint i = 0; i < e->due->len; i++) {
		struct quota_client *u = e->due->pdata[i];

		quota_client_update(u, now);
		if (u->connected && is_request_due(u, now))
			add_request(u, now, out);
		/* Clients with waiting requests stay due: they request again at
		 * the retry time. */
		u->due = u->waiting > 0;
		if (u->due)
			e->due->pdata[kept++] = u;
	}
	g_ptr_array_set_size(e->due, (gint)kept);
}

/* Credits a grant to classes as the reply states, otherwise by demand. */
static void credit_classes(struct quota_client *u,
			   const struct quota_reply *reply)
{
	const struct quota_class_item *x = reply->classes.items;

	for (size_t i = 0; i < reply->classes.n; i++) {
		int class = quota_classes_clamp(x[i].class_id);

		u->shares.balance[class] += quota_from_milli(x[i].grant);
		u->classes[class].grant_rate +=
			quota_from_milli(x[i].grant) * 1000 / DEMAND_WINDOW_MS;
	}
	for (int i = 0; i < QUOTA_CLASSES && !reply->classes.n; i++)
		u->classes[i].grant_rate += quota_classes_ratio(&u->shares, i) *
					    quota_from_milli(reply->grant) *
					    1000 / DEMAND_WINDOW_MS;
}

static void update_retry_times(struct quota_client *u,
			       const struct quota_reply *reply, int64_t now)
{
	const struct quota_class_item *x = reply->classes.items;

	quota_client_clear_waits(u);
	if (reply->retry_after_ms > 0)
		u->retry_at_ms = now + reply->retry_after_ms;
	for (size_t i = 0; i < reply->classes.n; i++)
		if (x[i].retry_after_ms > 0)
			u->classes[quota_classes_clamp(x[i].class_id)]
				.retry_at_ms = now + x[i].retry_after_ms;
	for (int i = 0; i < QUOTA_CLASSES && !reply->classes.n; i++)
		u->classes[i].retry_at_ms = u->retry_at_ms;
}

void quota_clients_reply(void *clients, const struct quota_reply *reply,
			 int64_t now)
{
	struct quota_clients *e = clients;
	char *name = ss_str_dup(reply->customer);
	struct quota_client *u = g_hash_table_lookup(e->by_name, name);

	g_free(name);
	if (!u)
		return;
	quota_client_update(u, now);
	u->balance += quota_from_milli(reply->grant);
	credit_classes(u, reply);
	if (reply->number != u->number)
		return;
	timing_estimate_add(&e->reply_times, (double)(now - u->requested_ms));
	u->pending = false;
	u->balance_until_ms = u->requested_ms + QUOTA_LEASE_MS;
	u->rate = quota_from_milli(reply->disconnected_rate);
	u->overdraft = quota_from_milli(reply->overdraft);
	u->rate_until_ms = u->requested_ms + QUOTA_LEASE_MS;
	update_retry_times(u, reply, now);
	u->scarce_until_ms = quota_from_milli(reply->grant) < u->wanted ?
				     now + SCARCE_MS :
				     0;
	u->accrued_ms = now;
	if (u->waiting > 0)
		quota_client_make_due(e, u);
}
