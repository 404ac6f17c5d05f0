/* Scheme "even": each entry enforces an equal part of every limit on its own,
 * without messages. */
#include "quota.h"

/* Number of entries that is assumed until it is known; high, as too small a
 * number would admit more than the limit. */
#define ENTRIES_DEFAULT 64

struct even_clients {
	GHashTable *buckets; /* name -> struct bucket */
	uint64_t entries;
};

struct bucket {
	double tokens;
	int64_t ms; /* time up to which the bucket is refilled */
};

static void *even_new(const struct quota_options *o, int64_t now)
{
	struct even_clients *e = g_new0(struct even_clients, 1);

	(void)o;
	(void)now;
	e->entries = ENTRIES_DEFAULT;
	e->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return e;
}

static void even_free(void *clients)
{
	struct even_clients *e = clients;

	g_hash_table_unref(e->buckets);
	g_free(e);
}

/* Never decreases the number: entries that are unreachable may still be
 * spending their part. */
static void even_set_entries(void *clients, uint64_t n)
{
	struct even_clients *e = clients;

	if (n && (e->entries == ENTRIES_DEFAULT || n > e->entries))
		e->entries = n;
}

static void even_link(void *clients, const char *customer, bool up, int64_t now)
{
	(void)clients;
	(void)customer;
	(void)up;
	(void)now;
}

static struct bucket *refill_bucket(struct even_clients *e,
				    const struct customer *c, int64_t now)
{
	struct bucket *b = g_hash_table_lookup(e->buckets, c->name);
	double fraction = 1.0 / (double)e->entries;

	if (!b) {
		b = g_new0(struct bucket, 1);
		b->ms = now;
		g_hash_table_insert(e->buckets, g_strdup(c->name), b);
	}
	b->tokens += c->limit.per_s * fraction * (double)(now - b->ms) / 1000;
	b->tokens = MIN(b->tokens, c->limit.burst * fraction);
	b->ms = now;
	return b;
}

static enum quota_decision even_take(void *clients, const struct customer *c,
				     const struct quota_need *n, int64_t now,
				     int64_t *retry_after_ms)
{
	struct even_clients *e = clients;
	struct bucket *b = refill_bucket(e, c, now);
	double fraction = 1.0 / (double)e->entries;
	double need = MIN(n->cost, c->limit.burst * fraction);

	if (b->tokens >= need) {
		b->tokens -= n->cost;
		return QUOTA_ADMIT;
	}
	*retry_after_ms = (int64_t)((need - b->tokens) * 1000 /
				    (c->limit.per_s * fraction));
	return QUOTA_REFUSE;
}

static enum quota_decision
even_take_ranked(void *clients, const struct customer *c,
		 const struct quota_need *n, const struct quota_rank *r,
		 int64_t now, int64_t *retry_after_ms)
{
	(void)r;
	return even_take(clients, c, n, now, retry_after_ms);
}

static void even_cancel(void *clients, const struct customer *c, double cost)
{
	(void)clients;
	(void)c;
	(void)cost;
}

static void even_cancel_ranked(void *clients, const struct customer *c,
			       double cost, const struct quota_rank *r)
{
	(void)r;
	even_cancel(clients, c, cost);
}

static void even_refund(void *clients, const struct customer *c, double cost,
			const struct quota_rank *r, int64_t now)
{
	(void)r;
	refill_bucket(clients, c, now)->tokens += cost;
}

static void even_requests(void *clients, int64_t now, GArray *out)
{
	(void)clients;
	(void)now;
	(void)out;
}

static void even_reply(void *clients, const struct quota_reply *reply,
		       int64_t now)
{
	(void)clients;
	(void)reply;
	(void)now;
}

static struct quota_client_view even_view(const void *clients,
					  const char *customer, int64_t now)
{
	const struct even_clients *e = clients;
	const struct bucket *b = g_hash_table_lookup(e->buckets, customer);

	(void)now;
	return (struct quota_client_view){ .balance = b ? b->tokens : 0,
					   .age_ms = -1,
					   .disconnected = true };
}

const struct quota_scheme quota_even = {
	.name = "even",
	.clients_new = even_new,
	.clients_free = even_free,
	.clients_set_entries = even_set_entries,
	.clients_link = even_link,
	.take = even_take,
	.take_ranked = even_take_ranked,
	.cancel = even_cancel,
	.cancel_ranked = even_cancel_ranked,
	.refund = even_refund,
	.clients_requests = even_requests,
	.clients_reply = even_reply,
	.clients_view = even_view,
};
