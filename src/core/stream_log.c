/* Log of the software version that began each stream. */
#include "stream_log.h"

#include <xxhash.h>

/* Interval at which a serving version is reported again, in ms: several times
 * within a stream's lifetime, so that a lost report does no harm. */
#define VERSION_REPORT_INTERVAL_MS 10000

/* Versions that are kept. An endpoint list with more is corrupt: no operator
 * could tell them apart. */
#define VERSIONS_MAX 4096

/* A stream, or a version that serves. */
struct record {
	uint64_t key;		 /* 0: a version that serves */
	uint64_t seq;		 /* of its last change; 0: not queued yet */
	char *service, *version; /* interned */
	int64_t until_ms;	 /* when it expires */
	int64_t reported_ms;	 /* of a version: until_ms as last reported */
	GList link;
};

struct stream_log {
	GHashTable *streams;  /* &key -> struct record */
	GHashTable *versions; /* "service\nversion" -> struct record */
	GQueue changes;	      /* all records by seq, oldest first */
	uint64_t last_seq;
	size_t capacity;       /* in streams */
	bool versions_dropped; /* some were refused at VERSIONS_MAX */
};

static void record_free(void *p)
{
	struct record *r = p;

	g_ref_string_release(r->service);
	g_ref_string_release(r->version);
	g_free(r);
}

struct stream_log *stream_log_new(size_t capacity)
{
	struct stream_log *l = g_new0(struct stream_log, 1);

	l->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   record_free);
	l->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    record_free);
	l->capacity = capacity;
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

/* Makes a record the last changed one. Links are part of their records, so the
 * queue frees none. */
static void move_to_end(struct stream_log *l, struct record *r)
{
	if (r->seq)
		g_queue_unlink(&l->changes, &r->link);
	r->seq = ++l->last_seq;
	r->link.data = r;
	g_queue_push_tail_link(&l->changes, &r->link);
}

static void drop(struct stream_log *l, struct record *r)
{
	g_queue_unlink(&l->changes, &r->link);
	if (r->key) {
		g_hash_table_remove(l->streams, &r->key);
	} else {
		char *name = version_name(r->service, r->version);

		g_hash_table_remove(l->versions, name);
		g_free(name);
	}
}

static struct record *record_new(const struct stream_item *x)
{
	struct record *r = g_new0(struct record, 1);

	r->key = x->key;
	r->service = g_ref_string_new_intern(x->service);
	r->version = g_ref_string_new_intern(x->version);
	return r;
}

static void add_version(struct stream_log *l, const struct stream_item *x,
			int64_t until)
{
	char *name = version_name(x->service, x->version);
	struct record *r = g_hash_table_lookup(l->versions, name);

	if (!r && g_hash_table_size(l->versions) >= VERSIONS_MAX) {
		l->versions_dropped = true;
		g_free(name);
		return;
	}
	if (!r) {
		r = record_new(x);
		g_hash_table_insert(l->versions, g_strdup(name), r);
	}
	if (until - r->reported_ms > VERSION_REPORT_INTERVAL_MS) {
		move_to_end(l, r);
		r->reported_ms = until;
	}
	r->until_ms = MAX(r->until_ms, until);
	g_free(name);
}

static void drop_oldest_stream(struct stream_log *l)
{
	GList *at = l->changes.head;

	while (!((struct record *)at->data)->key)
		at = at->next;
	drop(l, at->data);
}

static void add_stream(struct stream_log *l, const struct stream_item *x,
		       int64_t until)
{
	struct record *r = g_hash_table_lookup(l->streams, &x->key);

	if (r && !strcmp(r->service, x->service) &&
	    !strcmp(r->version, x->version)) {
		/* A repeated report, of another process, isn't a change. */
		r->until_ms = MAX(r->until_ms, until);
		return;
	}
	if (r)
		drop(l, r);
	if (g_hash_table_size(l->streams) >= l->capacity)
		drop_oldest_stream(l);
	r = record_new(x);
	r->until_ms = until;
	g_hash_table_insert(l->streams, &r->key, r);
	move_to_end(l, r);
}

void stream_log_add(struct stream_log *l, const struct stream_item *x,
		    int64_t now)
{
	int64_t until = now + CLAMP(x->ttl_ms, 0, STREAM_LIFETIME_MAX_MS);

	if (x->key)
		add_stream(l, x, until);
	else
		add_version(l, x, until);
}

static struct stream_item item_of(const struct record *r, int64_t now)
{
	return (struct stream_item){ r->key, r->service, r->version,
				     r->until_ms - now };
}

bool stream_log_find(const struct stream_log *l, uint64_t key, int64_t now,
		     struct stream_item *out)
{
	const struct record *r = g_hash_table_lookup(l->streams, &key);

	if (!r || r->until_ms <= now)
		return false;
	*out = item_of(r, now);
	return true;
}

const char *stream_log_sole_version(const struct stream_log *l,
				    const char *service, int64_t now)
{
	const char *found = NULL;
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->versions);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct record *r = p;

		if (strcmp(r->service, service) || r->until_ms <= now)
			continue;
		if (found || l->versions_dropped)
			return NULL;
		found = r->version;
	}
	return found;
}

static const struct record *find_version(const struct stream_log *l,
					 const char *service,
					 const char *version)
{
	char *name = version_name(service, version);
	const struct record *r = g_hash_table_lookup(l->versions, name);

	g_free(name);
	return r;
}

bool stream_log_has_version(const struct stream_log *l, const char *service,
			    const char *version, int64_t now)
{
	const struct record *r = find_version(l, service, version);

	return r && r->until_ms > now;
}

int64_t stream_log_last_served(const struct stream_log *l, const char *service,
			       const char *version)
{
	const struct record *r = find_version(l, service, version);

	return r ? r->until_ms - STREAM_LIFETIME_MAX_MS : 0;
}

uint64_t stream_log_changes(const struct stream_log *l, uint64_t mark,
			    size_t max, int64_t now, GArray *out)
{
	const GList *at = l->changes.tail;

	while (at && ((struct record *)at->data)->seq > mark)
		at = at->prev;
	at = at ? at->next : l->changes.head;
	for (; at && out->len < max; at = at->next) {
		const struct record *r = at->data;
		struct stream_item x = item_of(r, now);

		mark = r->seq;
		if (x.ttl_ms > 0)
			g_array_append_val(out, x);
	}
	return mark;
}

bool stream_log_is_reported(const struct stream_log *l, uint64_t mark)
{
	return !l->changes.tail ||
	       ((struct record *)l->changes.tail->data)->seq <= mark;
}

void stream_log_expire(struct stream_log *l, int64_t now)
{
	GList *at = l->changes.head;

	while (at) {
		struct record *r = at->data;

		at = at->next;
		if (r->until_ms <= now)
			drop(l, r);
	}
}

size_t stream_log_length(const struct stream_log *l)
{
	return g_hash_table_size(l->streams);
}

size_t stream_log_record_bytes(void)
{
	/* The hash table holds key, value and hash, and is half full. */
	return sizeof(struct record) + 2 * (2 * sizeof(void *) + sizeof(guint));
}
