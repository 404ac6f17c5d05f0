/* Discovery of the control group's leader. */
#include "discovery.h"

/* The last query to an address, kept to limit the rate of queries. */
struct query {
	char *addr;
	bool open;
	int64_t at_ms; /* when it was sent */
};

struct discovery {
	const GPtrArray *configured;
	GPtrArray *known;    /* char *, most recently reported last */
	char *leader_hint;   /* reported leader, not queried yet; or NULL */
	GHashTable *queries; /* addr -> struct query */
	uint64_t seed;
};

static void query_free(void *p)
{
	struct query *q = p;

	g_free(q->addr);
	g_free(q);
}

struct discovery *discovery_new(const GPtrArray *configured, uint64_t seed)
{
	struct discovery *s = g_new0(struct discovery, 1);

	s->configured = configured;
	s->seed = seed;
	s->known = g_ptr_array_new_with_free_func(g_free);
	s->queries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   query_free);
	return s;
}

void discovery_free(struct discovery *s)
{
	if (!s)
		return;
	g_ptr_array_unref(s->known);
	g_hash_table_unref(s->queries);
	g_free(s->leader_hint);
	g_free(s);
}

static bool contains(const GPtrArray *list, const char *addr, guint *at)
{
	return g_ptr_array_find_with_equal_func((GPtrArray *)list, addr,
						g_str_equal, at);
}

static void add_known(struct discovery *s, struct ss_str addr)
{
	char *copy = ss_str_dup(addr);
	guint at;

	if (contains(s->known, copy, &at))
		g_ptr_array_remove_index(s->known, at);
	else if (s->known->len == DISCOVERY_MAX_KNOWN)
		g_ptr_array_remove_index(s->known, 0);
	g_ptr_array_add(s->known, copy);
}

void discovery_received(struct discovery *s, struct ss_str leader,
			struct ss_str member)
{
	if (member.n)
		add_known(s, member);
	if (!leader.n)
		return;
	add_known(s, leader);
	g_free(s->leader_hint);
	s->leader_hint = ss_str_dup(leader);
}

static bool is_open(const struct discovery *s, const char *addr)
{
	const struct query *q = g_hash_table_lookup(s->queries, addr);

	return q && q->open;
}

static const char *begin_query(struct discovery *s, const char *addr,
			       int64_t now)
{
	struct query *q = g_hash_table_lookup(s->queries, addr);

	if (!q) {
		q = g_new0(struct query, 1);
		q->addr = g_strdup(addr);
		g_hash_table_insert(s->queries, q->addr, q);
	}
	q->open = true;
	q->at_ms = now;
	return q->addr;
}

/* Returns the time of the last query; INT64_MIN: none. */
static int64_t last_query_ms(const struct discovery *s, const char *addr)
{
	const struct query *q = g_hash_table_lookup(s->queries, addr);

	return q ? q->at_ms : INT64_MIN;
}

/*
 * Returns the least recently queried address, or NULL if every one has an open
 * or a recent query. The random start keeps processes
 * that start together from all querying the same one.
 */
static const char *least_recent(struct discovery *s, const GPtrArray *list,
				int64_t now)
{
	guint from = list->len ? (guint)(ss_random(&s->seed) % list->len) : 0;
	const char *best = NULL;

	for (guint i = 0; i < list->len; i++) {
		const char *addr = list->pdata[(from + i) % list->len];
		int64_t at = last_query_ms(s, addr);

		if (is_open(s, addr) ||
		    (at != INT64_MIN && now - at < DISCOVERY_RETRY_MS))
			continue;
		if (!best || at < last_query_ms(s, best))
			best = addr;
	}
	return best;
}

/* Returns true for an address that is in neither list any more and has no open
 * query. */
static gboolean is_obsolete(gpointer key, gpointer value, gpointer arg)
{
	const struct discovery *s = arg;
	const struct query *q = value;

	return !q->open && !contains(s->known, key, NULL) &&
	       !contains(s->configured, key, NULL);
}

/*
 * Takes the leader hint if it may be queried now; keeps it if it was queried
 * too recently, and drops it if it has an open query. The result is the copy in
 * known, which outlives the hint.
 */
static const char *take_leader_hint(struct discovery *s, int64_t now)
{
	const char *addr = s->leader_hint;
	guint at;

	if (!addr ||
	    (last_query_ms(s, addr) != INT64_MIN && !is_open(s, addr) &&
	     now - last_query_ms(s, addr) < DISCOVERY_HINT_RETRY_MS))
		return NULL;
	addr = contains(s->known, addr, &at) ? s->known->pdata[at] : NULL;
	g_clear_pointer(&s->leader_hint, g_free);
	return addr && !is_open(s, addr) ? addr : NULL;
}

const char *discovery_next(struct discovery *s, int64_t now)
{
	const char *known, *addr;

	g_hash_table_foreach_remove(s->queries, is_obsolete, s);
	addr = take_leader_hint(s, now);
	if (addr)
		return begin_query(s, addr, now);
	addr = least_recent(s, s->configured, now);
	known = least_recent(s, s->known, now);
	if (!addr ||
	    (known && last_query_ms(s, known) < last_query_ms(s, addr)))
		addr = known;
	return addr ? begin_query(s, addr, now) : NULL;
}

void discovery_query_done(struct discovery *s, const char *addr)
{
	struct query *q = g_hash_table_lookup(s->queries, addr);

	if (q)
		q->open = false;
}

const GPtrArray *discovery_known(const struct discovery *s)
{
	return s->known;
}
