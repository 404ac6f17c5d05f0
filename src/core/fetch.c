/* Fetches the routing from a control VM that has it. */
#include "fetch.h"

#include "../base/log.h"

#include <xxhash.h>

struct fetch {
	struct fetch_options o;
	char *self;
	uint64_t want, have;
	bool request_pending;
	bool need_full; /* changes were unusable: request a full copy */
	guint attempts; /* since the wanted version last changed */
	int64_t next_attempt_ms;
};

/* A control VM, sorted in the order in which this process asks them. */
struct source {
	const char *addr;
	bool is_leader;
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

static gint compare_sources(gconstpointer a, gconstpointer b)
{
	const struct source *x = a, *y = b;

	if (x->is_leader != y->is_leader)
		return x->is_leader ? 1 : -1;
	return (x->rank > y->rank) - (x->rank < y->rank);
}

/* Returns the address of the control VM to ask at an attempt; NULL if none is
 * known. */
static char *source_at(const struct fetch *f, guint attempt)
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
	g_array_sort(all, compare_sources);
	if (all->len)
		addr = g_strdup(
			g_array_index(all, struct source, attempt % all->len)
				.addr);
	g_array_unref(all);
	g_ptr_array_unref(addrs);
	return addr;
}

static void request_next(struct fetch *f, int64_t now)
{
	struct msg_fetch m = { f->need_full ? 0 : f->have, f->want,
			       f->o.services_only };
	char *addr = source_at(f, f->attempts);

	f->next_attempt_ms = now + FETCH_TIMEOUT_MS;
	f->request_pending = true;
	if (!addr) {
		fetch_failed(f, now);
		return;
	}
	f->attempts++;
	f->o.ops->request(f->o.arg, addr, &m);
	g_free(addr);
}

void fetch_want(struct fetch *f, uint64_t version, int64_t now)
{
	/* A message of a replaced leader may arrive late. */
	if (version <= f->want)
		return;
	f->want = version;
	f->attempts = 0;
	if (!f->request_pending && f->have < f->want)
		request_next(f, now);
}

void fetch_failed(struct fetch *f, int64_t now)
{
	if (!f->request_pending)
		return;
	f->request_pending = false;
	f->next_attempt_ms = now + FETCH_RETRY_MS;
}

void fetch_require_full(struct fetch *f, uint64_t have, int64_t now)
{
	f->have = have;
	f->need_full = true;
	f->request_pending = true;
	fetch_failed(f, now);
}

void fetch_answered(struct fetch *f, const struct msg_routing *m, int64_t now)
{
	struct msg_fetch ack = { .services = f->o.services_only };

	if (!f->request_pending || m->version <= f->have)
		return;
	/* A notice that the answer is queued. */
	if (!m->changes.n) {
		f->next_attempt_ms = now + FETCH_QUEUED_TIMEOUT_MS;
		return;
	}
	if ((m->base && (f->need_full || m->base != f->have)) ||
	    !f->o.ops->apply(f->o.arg, m)) {
		log_warn("routing_not_fetched",
			 "version=%" PRIu64 " base=%" PRIu64 " held=%" PRIu64,
			 m->version, m->base, f->have);
		fetch_require_full(f, f->have, now);
		return;
	}
	f->have = m->version;
	f->need_full = false;
	/* The version may be newer than the leader has reported so far. */
	f->want = MAX(f->want, f->have);
	f->request_pending = f->have < f->want;
	ack.have = f->have;
	ack.want = f->want;
	f->next_attempt_ms = now + FETCH_TIMEOUT_MS;
	f->o.ops->acknowledge(f->o.arg, &ack);
}

void fetch_tick(struct fetch *f, int64_t now)
{
	if (f->have < f->want && now >= f->next_attempt_ms)
		request_next(f, now);
}
