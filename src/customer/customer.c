/* Table of customers, looked up by name and by the digest of an API key. */
#include "customer.h"

struct customer *customer_new(void)
{
	struct customer *c = g_new0(struct customer, 1);

	c->refs = 1;
	c->priority = -1;
	c->keys = g_array_new(FALSE, FALSE, sizeof(struct customer_key));
	return c;
}

struct customer *customer_ref(struct customer *c)
{
	if (c)
		c->refs++;
	return c;
}

void customer_unref(struct customer *c)
{
	if (!c || --c->refs)
		return;
	g_free(c->name);
	g_array_unref(c->keys);
	g_free(c);
}

static struct customer_key digest_key(struct ss_str text)
{
	struct customer_key k;
	gsize n = sizeof(k.digest);
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

	g_checksum_update(sum, (const guchar *)text.p, (gssize)text.n);
	g_checksum_get_digest(sum, k.digest, &n);
	g_checksum_free(sum);
	return k;
}

void customer_add_key(struct customer *c, struct ss_str key)
{
	struct customer_key k = digest_key(key);

	g_array_append_val(c->keys, k);
}

double customer_cost(const struct customer *c, int64_t tokens)
{
	if (!c->limit.tokens)
		return 1;
	return tokens > 0 ? (double)tokens : c->limit.default_tokens;
}

static guint key_hash(gconstpointer v)
{
	guint h;

	/* Any bytes of a digest are evenly distributed. */
	memcpy(&h, v, sizeof(h));
	return h;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct customer_key)) == 0;
}

static void release_customer(void *c)
{
	customer_unref(c);
}

void customers_init(struct customers *t)
{
	t->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   release_customer);
	t->by_key = g_hash_table_new(key_hash, key_equal);
}

void customers_clear(struct customers *t)
{
	g_hash_table_unref(t->by_key);
	g_hash_table_unref(t->by_name);
}

struct customer *customers_find(const struct customers *t, struct ss_str key)
{
	struct customer_key k;

	if (!key.n)
		return NULL;
	k = digest_key(key);
	return g_hash_table_lookup(t->by_key, &k);
}

struct customer *customers_named(const struct customers *t, const char *name)
{
	return g_hash_table_lookup(t->by_name, name);
}

static struct customer_key *key_at(const struct customer *c, guint i)
{
	return &g_array_index(c->keys, struct customer_key, i);
}

/* Returns the customer that already has a key, either among those to be added
 * or in the table and not removed. */
static const struct customer *key_owner(const struct customers *t,
					GHashTable *added,
					const struct customer_key *k)
{
	const struct customer *c = g_hash_table_lookup(added, k);

	if (c)
		return c;
	c = g_hash_table_lookup(t->by_key, k);
	return c && !c->removing ? c : NULL;
}

enum customers_conflict customers_check(const struct customers *t,
					const GPtrArray *added, guint *at,
					const struct customer **other)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *keys = g_hash_table_new(key_hash, key_equal);
	enum customers_conflict conflict = CUSTOMERS_NO_CONFLICT;

	for (*at = 0; *at < added->len && !conflict; ++*at) {
		struct customer *c = added->pdata[*at];

		*other = g_hash_table_lookup(names, c->name);
		if (!*other) {
			*other = customers_named(t, c->name);
			if (*other && (*other)->removing)
				*other = NULL;
		}
		if (*other)
			conflict = CUSTOMERS_NAME;
		g_hash_table_insert(names, c->name, c);
		for (guint i = 0; i < c->keys->len && !conflict; i++) {
			*other = key_owner(t, keys, key_at(c, i));
			/* Listing a key twice is no conflict. */
			if (*other && *other != c)
				conflict = CUSTOMERS_KEY;
			g_hash_table_insert(keys, key_at(c, i), c);
		}
	}
	if (conflict)
		--*at;
	g_hash_table_unref(names);
	g_hash_table_unref(keys);
	return conflict;
}

void customers_add(struct customers *t, struct customer *c)
{
	/* The hash table's key is part of the customer, so replace the key
	 * along with the value. */
	g_hash_table_replace(t->by_name, c->name, c);
	for (guint i = 0; i < c->keys->len; i++)
		g_hash_table_replace(t->by_key, key_at(c, i), c);
}

void customers_remove(struct customers *t, struct customer *c)
{
	for (guint i = 0; i < c->keys->len; i++)
		g_hash_table_remove(t->by_key, key_at(c, i));
	g_hash_table_remove(t->by_name, c->name);
}
