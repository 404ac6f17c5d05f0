/* Which software version began a stream. */
#include "stream_log.h"

#include <xxhash.h>

/* Words on a version that serves are told on this often, in ms: a few in a
 * life, so that one that gets lost does no harm. */
#define SERVES_AGAIN_MS 10000

/* More can't be told apart by anybody: a list that somebody spoils. */
#define VERSIONS_MOST 4096

/* In the order of their numbers, oldest first. */
struct entry {
	uint64_t key; /* 0: a version that serves */
	uint64_t number;
	char *service, *version; /* interned */
	int64_t until_ms;
	int64_t told_ms; /* of a version: until then, as others were told */
	GList link;
};

struct stream_log {
	GHashTable *streams;  /* &key -> struct entry */
	GHashTable *versions; /* "service\nversion" -> struct entry */
	GQueue order;
	uint64_t number;
	size_t most;
	bool versions_lost; /* there were too many */
};

static void entry_free(void *p)
{
	struct entry *e = p;

	g_ref_string_release(e->service);
	g_ref_string_release(e->version);
	g_free(e);
}

struct stream_log *stream_log_new(size_t most)
{
	struct stream_log *l = g_new0(struct stream_log, 1);

	l->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   entry_free);
	l->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    entry_free);
	l->most = most;
	return l;
}

void stream_log_free(struct stream_log *l)
{
	if (!l)
		return;
	g_hash_table_unref(l->streams);
	g_hash_table_unref(l->versions);
	g_free(l);
}

uint64_t stream_key(struct ss_str customer, struct ss_str id)
{
	uint64_t key = XXH3_64bits_withSeed(
		id.p, id.n, XXH3_64bits(customer.p, customer.n));

	return key ? key : 1;
}

static char *version_name(const char *service, const char *version)
{
	return g_strdup_printf("%s\n%s", service, version);
}

/* Links live in their entries: the queue frees none. */
static void renumber(struct stream_log *l, struct entry *e)
{
	if (e->number)
		g_queue_unlink(&l->order, &e->link);
	e->number = ++l->number;
	e->link.data = e;
	g_queue_push_tail_link(&l->order, &e->link);
}

static void drop(struct stream_log *l, struct entry *e)
{
	g_queue_unlink(&l->order, &e->link);
	if (e->key) {
		g_hash_table_remove(l->streams, &e->key);
	} else {
		char *name = version_name(e->service, e->version);

		g_hash_table_remove(l->versions, name);
		g_free(name);
	}
}

static struct entry *entry_new(const struct stream_item *x)
{
	struct entry *e = g_new0(struct entry, 1);

	e->key = x->key;
	e->service = g_ref_string_new_intern(x->service);
	e->version = g_ref_string_new_intern(x->version);
	return e;
}

static void add_version(struct stream_log *l, const struct stream_item *x,
			int64_t until)
{
	char *name = version_name(x->service, x->version);
	struct entry *e = g_hash_table_lookup(l->versions, name);

	if (!e && g_hash_table_size(l->versions) >= VERSIONS_MOST) {
		l->versions_lost = true;
		g_free(name);
		return;
	}
	if (!e) {
		e = entry_new(x);
		g_hash_table_insert(l->versions, g_strdup(name), e);
	}
	if (until - e->told_ms > SERVES_AGAIN_MS) {
		renumber(l, e);
		e->told_ms = until;
	}
	e->until_ms = MAX(e->until_ms, until);
	g_free(name);
}

static void drop_oldest(struct stream_log *l)
{
	GList *at = l->order.head;

	while (!((struct entry *)at->data)->key)
		at = at->next;
	drop(l, at->data);
}

static void add_stream(struct stream_log *l, const struct stream_item *x,
		       int64_t until)
{
	struct entry *e = g_hash_table_lookup(l->streams, &x->key);

	if (e && !strcmp(e->service, x->service) &&
	    !strcmp(e->version, x->version)) {
		/* Told again, by one more who knows: no news. */
		e->until_ms = MAX(e->until_ms, until);
		return;
	}
	if (e)
		drop(l, e);
	if (g_hash_table_size(l->streams) >= l->most)
		drop_oldest(l);
	e = entry_new(x);
	e->until_ms = until;
	g_hash_table_insert(l->streams, &e->key, e);
	renumber(l, e);
}

void stream_log_add(struct stream_log *l, const struct stream_item *x,
		    int64_t now)
{
	int64_t until = now + CLAMP(x->left_ms, 0, STREAM_LIFE_MOST_MS);

	if (x->key)
		add_stream(l, x, until);
	else
		add_version(l, x, until);
}

static struct stream_item item_of(const struct entry *e, int64_t now)
{
	return (struct stream_item){ e->key, e->service, e->version,
				     e->until_ms - now };
}

bool stream_log_find(const struct stream_log *l, uint64_t key, int64_t now,
		     struct stream_item *out)
{
	const struct entry *e = g_hash_table_lookup(l->streams, &key);

	if (!e || e->until_ms <= now)
		return false;
	*out = item_of(e, now);
	return true;
}

const char *stream_log_only(const struct stream_log *l, const char *service,
			    int64_t now)
{
	const char *found = NULL;
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->versions);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct entry *e = p;

		if (strcmp(e->service, service) || e->until_ms <= now)
			continue;
		if (found || l->versions_lost)
			return NULL;
		found = e->version;
	}
	return found;
}

int64_t stream_log_seen(const struct stream_log *l, const char *service,
			const char *version)
{
	char *name = version_name(service, version);
	const struct entry *e = g_hash_table_lookup(l->versions, name);

	g_free(name);
	return e ? e->until_ms - STREAM_LIFE_MOST_MS : 0;
}

uint64_t stream_log_news(const struct stream_log *l, uint64_t mark, size_t most,
			 int64_t now, GArray *out)
{
	const GList *at = l->order.tail;

	while (at && ((struct entry *)at->data)->number > mark)
		at = at->prev;
	at = at ? at->next : l->order.head;
	for (; at && out->len < most; at = at->next) {
		const struct entry *e = at->data;
		struct stream_item x = item_of(e, now);

		mark = e->number;
		if (x.left_ms > 0)
			g_array_append_val(out, x);
	}
	return mark;
}

bool stream_log_told(const struct stream_log *l, uint64_t mark)
{
	return !l->order.tail ||
	       ((struct entry *)l->order.tail->data)->number <= mark;
}

void stream_log_tidy(struct stream_log *l, int64_t now)
{
	GList *at = l->order.head;

	while (at) {
		struct entry *e = at->data;

		at = at->next;
		if (e->until_ms <= now)
			drop(l, e);
	}
}

size_t stream_log_length(const struct stream_log *l)
{
	return g_hash_table_size(l->streams);
}

size_t stream_log_bytes(void)
{
	/* Key, value and hash of a table that is half full. */
	return sizeof(struct entry) + 2 * (2 * sizeof(void *) + sizeof(guint));
}
