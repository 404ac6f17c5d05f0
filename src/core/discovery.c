/* Where the control group may be. */
#include "discovery.h"

struct asked {
	char *addr;
	bool open;
	int64_t at_ms;
};

struct discovery {
	const GPtrArray *settings;
	GPtrArray *known;  /* char *, the newest last */
	char *leader;	   /* said to lead, not asked yet; NULL: nobody */
	GHashTable *asked; /* addr -> struct asked */
	uint64_t seed;
};

static void asked_free(void *p)
{
	struct asked *a = p;

	g_free(a->addr);
	g_free(a);
}

struct discovery *discovery_new(const GPtrArray *settings, uint64_t seed)
{
	struct discovery *s = g_new0(struct discovery, 1);

	s->settings = settings;
	s->seed = seed;
	s->known = g_ptr_array_new_with_free_func(g_free);
	s->asked = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 asked_free);
	return s;
}

void discovery_free(struct discovery *s)
{
	if (!s)
		return;
	g_ptr_array_unref(s->known);
	g_hash_table_unref(s->asked);
	g_free(s->leader);
	g_free(s);
}

static bool has(const GPtrArray *list, const char *addr, guint *at)
{
	return g_ptr_array_find_with_equal_func((GPtrArray *)list, addr,
						g_str_equal, at);
}

static void remember(struct discovery *s, struct ss_str addr)
{
	char *copy = ss_str_dup(addr);
	guint at;

	if (has(s->known, copy, &at))
		g_ptr_array_remove_index(s->known, at);
	else if (s->known->len == DISCOVERY_KEPT)
		g_ptr_array_remove_index(s->known, 0);
	g_ptr_array_add(s->known, copy);
}

void discovery_told(struct discovery *s, struct ss_str leader,
		    struct ss_str member)
{
	if (member.n)
		remember(s, member);
	if (!leader.n)
		return;
	remember(s, leader);
	g_free(s->leader);
	s->leader = ss_str_dup(leader);
}

static bool is_open(const struct discovery *s, const char *addr)
{
	const struct asked *a = g_hash_table_lookup(s->asked, addr);

	return a && a->open;
}

static const char *begin(struct discovery *s, const char *addr, int64_t now)
{
	struct asked *a = g_hash_table_lookup(s->asked, addr);

	if (!a) {
		a = g_new0(struct asked, 1);
		a->addr = g_strdup(addr);
		g_hash_table_insert(s->asked, a->addr, a);
	}
	a->open = true;
	a->at_ms = now;
	return a->addr;
}

/* When it was last asked; INT64_MIN: never. */
static int64_t asked_ms(const struct discovery *s, const char *addr)
{
	const struct asked *a = g_hash_table_lookup(s->asked, addr);

	return a ? a->at_ms : INT64_MIN;
}

/*
 * The one that wasn't asked for the longest. Processes that start together
 * shall not all ask the same one, so each begins anywhere.
 */
static const char *oldest_of(struct discovery *s, const GPtrArray *list,
			     int64_t now)
{
	guint from = list->len ? (guint)(ss_random(&s->seed) % list->len) : 0;
	const char *best = NULL;

	for (guint i = 0; i < list->len; i++) {
		const char *addr = list->pdata[(from + i) % list->len];
		int64_t at = asked_ms(s, addr);

		if (is_open(s, addr) ||
		    (at != INT64_MIN && now - at < DISCOVERY_AGAIN_MS))
			continue;
		if (!best || at < asked_ms(s, best))
			best = addr;
	}
	return best;
}

/* What was asked once may be long gone from all lists. */
static gboolean is_forgotten(gpointer key, gpointer value, gpointer arg)
{
	const struct discovery *s = arg;
	const struct asked *a = value;

	return !a->open && !has(s->known, key, NULL) &&
	       !has(s->settings, key, NULL);
}

/* The one said to lead, where it may be asked; kept where it is too soon. It is
 * remembered, so the name outlives the hint. */
static const char *named(struct discovery *s, int64_t now)
{
	const char *addr = s->leader;
	guint at;

	if (!addr || (asked_ms(s, addr) != INT64_MIN && !is_open(s, addr) &&
		      now - asked_ms(s, addr) < DISCOVERY_NAMED_MS))
		return NULL;
	addr = has(s->known, addr, &at) ? s->known->pdata[at] : NULL;
	g_clear_pointer(&s->leader, g_free);
	return addr && !is_open(s, addr) ? addr : NULL;
}

const char *discovery_next(struct discovery *s, int64_t now)
{
	const char *known, *addr;

	g_hash_table_foreach_remove(s->asked, is_forgotten, s);
	addr = named(s, now);
	if (addr)
		return begin(s, addr, now);
	addr = oldest_of(s, s->settings, now);
	known = oldest_of(s, s->known, now);
	if (!addr || (known && asked_ms(s, known) < asked_ms(s, addr)))
		addr = known;
	return addr ? begin(s, addr, now) : NULL;
}

void discovery_ended(struct discovery *s, const char *addr)
{
	struct asked *a = g_hash_table_lookup(s->asked, addr);

	if (a)
		a->open = false;
}

const GPtrArray *discovery_known(const struct discovery *s)
{
	return s->known;
}
