/* An even part of each limit for each entry, without a word between them. */
#include "quota.h"

/* Before the number of entries is told there may be many. */
#define ENTRIES_UNTOLD 64

struct even {
	GHashTable *buckets; /* name -> struct bucket */
	uint64_t entries;
};

struct bucket {
	double tokens;
	int64_t ms;
};

static void *even_new(const struct quota_options *o, int64_t now)
{
	struct even *e = g_new0(struct even, 1);

	(void)o;
	(void)now;
	e->entries = ENTRIES_UNTOLD;
	e->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return e;
}

static void even_free(void *entry)
{
	struct even *e = entry;

	g_hash_table_unref(e->buckets);
	g_free(e);
}

/* Those that are lost may spend their part all the same: it only grows. */
static void even_count(void *entry, uint64_t n)
{
	struct even *e = entry;

	if (n && (e->entries == ENTRIES_UNTOLD || n > e->entries))
		e->entries = n;
}

static void even_link(void *entry, const char *customer, bool up, int64_t now)
{
	(void)entry;
	(void)customer;
	(void)up;
	(void)now;
}

static struct bucket *bucket_of(struct even *e, const struct customer *c,
				int64_t now)
{
	struct bucket *b = g_hash_table_lookup(e->buckets, c->name);
	double part = 1.0 / (double)e->entries;

	if (!b) {
		b = g_new0(struct bucket, 1);
		b->ms = now;
		g_hash_table_insert(e->buckets, g_strdup(c->name), b);
	}
	b->tokens += c->limit.per_s * part * (double)(now - b->ms) / 1000;
	b->tokens = MIN(b->tokens, c->limit.burst * part);
	b->ms = now;
	return b;
}

static enum quota_answer even_take(void *entry, const struct customer *c,
				   const struct quota_need *n, int64_t now,
				   int64_t *back_ms)
{
	struct even *e = entry;
	struct bucket *b = bucket_of(e, c, now);
	double part = 1.0 / (double)e->entries;
	double need = MIN(n->cost, c->limit.burst * part);

	if (b->tokens >= need) {
		b->tokens -= n->cost;
		return QUOTA_YES;
	}
	*back_ms =
		(int64_t)((need - b->tokens) * 1000 / (c->limit.per_s * part));
	return QUOTA_NO;
}

static enum quota_answer even_take_ranked(void *entry, const struct customer *c,
					  const struct quota_need *n,
					  const struct quota_rank *r,
					  int64_t now, int64_t *back_ms)
{
	(void)r;
	return even_take(entry, c, n, now, back_ms);
}

static void even_leave(void *entry, const struct customer *c, double cost)
{
	(void)entry;
	(void)c;
	(void)cost;
}

static void even_leave_ranked(void *entry, const struct customer *c,
			      double cost, const struct quota_rank *r)
{
	(void)r;
	even_leave(entry, c, cost);
}

static void even_back(void *entry, const struct customer *c, double cost,
		      const struct quota_rank *r, int64_t now)
{
	(void)r;
	bucket_of(entry, c, now)->tokens += cost;
}

static void even_asks(void *entry, int64_t now, GArray *out)
{
	(void)entry;
	(void)now;
	(void)out;
}

static void even_word(void *entry, const struct quota_word *w, int64_t now)
{
	(void)entry;
	(void)w;
	(void)now;
}

static struct quota_view even_look(const void *entry, const char *customer,
				   int64_t now)
{
	const struct even *e = entry;
	const struct bucket *b = g_hash_table_lookup(e->buckets, customer);

	(void)now;
	return (struct quota_view){ .held = b ? b->tokens : 0,
				    .age_ms = -1,
				    .alone = true };
}

const struct quota_way quota_even = {
	.name = "even",
	.entry_new = even_new,
	.entry_free = even_free,
	.entry_count = even_count,
	.entry_link = even_link,
	.take = even_take,
	.take_ranked = even_take_ranked,
	.leave = even_leave,
	.leave_ranked = even_leave_ranked,
	.give_back = even_back,
	.asks = even_asks,
	.word = even_word,
	.look = even_look,
};
