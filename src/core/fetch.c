/* Getting the routing from a control VM that has it. */
#include "fetch.h"

#include "../base/log.h"

#include <xxhash.h>

struct fetch {
	struct fetch_options o;
	char *self;
	uint64_t want, have;
	bool asks;   /* somebody was asked and hasn't answered */
	bool whole;  /* what came wasn't of use, so no changes are asked for */
	guint tries; /* since the wanted version was last told */
	int64_t next_ms; /* the next one is asked then */
};

/* A control VM in the order in which this process asks them. */
struct source {
	const char *addr;
	bool leads;
	uint64_t rank;
};

struct fetch *fetch_new(const struct fetch_options *o)
{
	struct fetch *f = g_new0(struct fetch, 1);

	f->o = *o;
	f->self = g_strdup(o->self);
	return f;
}

void fetch_free(struct fetch *f)
{
	if (!f)
		return;
	g_free(f->self);
	g_free(f);
}

uint64_t fetch_version(const struct fetch *f)
{
	return f->have;
}

static gint by_rank(gconstpointer a, gconstpointer b)
{
	const struct source *x = a, *y = b;

	if (x->leads != y->leads)
		return x->leads ? 1 : -1;
	return (x->rank > y->rank) - (x->rank < y->rank);
}

/* The one to ask at the try of this number; NULL: nobody is known. */
static char *source_at(const struct fetch *f, guint try)
{
	GPtrArray *addrs = g_ptr_array_new_with_free_func(g_free);
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct source));
	uint64_t seed = XXH3_64bits(f->self, strlen(f->self));
	const char *leader = f->o.ops->leader(f->o.arg);
	char *addr = NULL;

	f->o.ops->sources(f->o.arg, addrs);
	for (guint i = 0; i < addrs->len; i++) {
		const char *a = addrs->pdata[i];
		struct source s = { a, !g_strcmp0(a, leader),
				    XXH3_64bits_withSeed(a, strlen(a), seed) };

		g_array_append_val(all, s);
	}
	g_array_sort(all, by_rank);
	if (all->len)
		addr = g_strdup(
			g_array_index(all, struct source, try % all->len).addr);
	g_array_unref(all);
	g_ptr_array_unref(addrs);
	return addr;
}

static void ask_next(struct fetch *f, int64_t now)
{
	struct msg_fetch m = { f->whole ? 0 : f->have, f->want, f->o.services };
	char *addr = source_at(f, f->tries);

	f->next_ms = now + FETCH_TRY_MS;
	f->asks = true;
	if (!addr) {
		fetch_failed(f, now);
		return;
	}
	f->tries++;
	f->o.ops->ask(f->o.arg, addr, &m);
	g_free(addr);
}

void fetch_want(struct fetch *f, uint64_t version, int64_t now)
{
	/* A leader that was replaced may still have words on their way. */
	if (version <= f->want)
		return;
	f->want = version;
	f->tries = 0;
	if (!f->asks && f->have < f->want)
		ask_next(f, now);
}

void fetch_failed(struct fetch *f, int64_t now)
{
	if (!f->asks)
		return;
	f->asks = false;
	f->next_ms = now + FETCH_AGAIN_MS;
}

void fetch_useless(struct fetch *f, uint64_t have, int64_t now)
{
	f->have = have;
	f->whole = true;
	f->asks = true;
	fetch_failed(f, now);
}

void fetch_answered(struct fetch *f, const struct msg_routing *m, int64_t now)
{
	struct msg_fetch ack = { .services = f->o.services };

	if (!f->asks || m->version <= f->have)
		return;
	if (!m->changes.n) {
		f->next_ms = now + FETCH_TURN_MS;
		return;
	}
	if ((m->base && (f->whole || m->base != f->have)) ||
	    !f->o.ops->take(f->o.arg, m)) {
		log_warn("routing_not_fetched",
			 "version=%" PRIu64 " base=%" PRIu64 " held=%" PRIu64,
			 m->version, m->base, f->have);
		fetch_useless(f, f->have, now);
		return;
	}
	f->have = m->version;
	f->whole = false;
	/* Of a newer one than was told so far the leader's word is to come. */
	f->want = MAX(f->want, f->have);
	f->asks = f->have < f->want;
	ack.have = f->have;
	ack.want = f->want;
	f->next_ms = now + FETCH_TRY_MS;
	f->o.ops->acknowledge(f->o.arg, &ack);
}

void fetch_tick(struct fetch *f, int64_t now)
{
	if (f->have < f->want && now >= f->next_ms)
		ask_next(f, now);
}
