/* Getting the routing from a control VM that has it. */
#include "fetch.h"

#include "../base/log.h"
#include "../base/pack.h"

#include <xxhash.h>

/* Bytes of a routing; what operators may send is less. */
#define BODY_MAX (16u << 20)

struct fetch {
	struct fetch_options o;
	char *self;
	uint64_t want, have;
	GString *body; /* of have, for the difference to the next */
	bool asks;     /* somebody was asked and hasn't answered */
	bool whole; /* what came wasn't of use, so no difference is asked for */
	guint tries;	 /* since the wanted version was last told */
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
	f->body = g_string_new(NULL);
	return f;
}

void fetch_free(struct fetch *f)
{
	if (!f)
		return;
	g_string_free(f->body, TRUE);
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
	struct msg_fetch m = { .have = f->whole ? 0 : f->have,
			       .want = f->want };
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

/* The routing as it was packed; NULL with the reason. */
static GString *open_answer(const struct fetch *f, const struct msg_routing *m,
			    GError **error)
{
	struct ss_str base = { 0 };

	if (m->base && (f->whole || m->base != f->have)) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "the difference to version %" PRIu64
			    ", but %" PRIu64 " is held",
			    m->base, f->whole ? 0 : f->have);
		return NULL;
	}
	if (m->base)
		base = ss_str_gs(f->body);
	return pack_open(m->packed, base, BODY_MAX, error);
}

void fetch_answered(struct fetch *f, const struct msg_routing *m, int64_t now)
{
	struct msg_fetch ack = { 0 };
	GError *error = NULL;
	GString *body;

	if (!f->asks || m->version <= f->have)
		return;
	if (!m->packed.n) {
		f->next_ms = now + FETCH_TURN_MS;
		return;
	}
	body = open_answer(f, m, &error);
	if (!body) {
		log_warn("routing_not_fetched",
			 "version=%" PRIu64 " type=%s why=\"%s\"", m->version,
			 ss_error_name((enum ss_error)error->code),
			 error->message);
		g_error_free(error);
		f->whole = true;
		fetch_failed(f, now);
		return;
	}
	g_string_free(f->body, TRUE);
	f->body = body;
	f->have = m->version;
	f->whole = false;
	/* Of a newer one than was told so far the leader's word is to come. */
	f->want = MAX(f->want, f->have);
	f->asks = f->have < f->want;
	ack.have = f->have;
	ack.want = f->want;
	f->next_ms = now + FETCH_TRY_MS;
	f->o.ops->acknowledge(f->o.arg, &ack);
	f->o.ops->take(f->o.arg, f->have, ss_str_gs(f->body));
}

void fetch_tick(struct fetch *f, int64_t now)
{
	if (f->have < f->want && now >= f->next_ms)
		ask_next(f, now);
}
