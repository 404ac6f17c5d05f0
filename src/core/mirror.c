/* Each control VM's copy of the routing. */
#include "mirror.h"

#include "../base/pack.h"
#include "send_window.h"

struct version {
	uint64_t version;
	GString *body;
	GString *packed; /* the newest as the difference to it; NULL: not yet */
};

/* A process that was sent the routing, or waits for it. */
struct fetcher {
	void *peer;
	uint64_t have, want;
	bool waits;
	int64_t since_ms; /* when it asked, or was sent */
	size_t sent;	  /* bytes that it hasn't acknowledged; 0: none */
};

struct mirror {
	struct mirror_options o;
	GArray *versions;  /* struct version, the newest last */
	GString *packed;   /* the newest, whole; NULL: not yet */
	GHashTable *peers; /* peer -> struct fetcher */
	GQueue waits;	   /* struct fetcher, who asked first is first */
	struct send_window window;
};

static void version_clear(void *p)
{
	struct version *v = p;

	g_string_free(v->body, TRUE);
	if (v->packed)
		g_string_free(v->packed, TRUE);
}

struct mirror *mirror_new(const struct mirror_options *o, int64_t now)
{
	struct mirror *m = g_new0(struct mirror, 1);

	m->o = *o;
	m->versions = g_array_new(FALSE, TRUE, sizeof(struct version));
	g_array_set_clear_func(m->versions, version_clear);
	m->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_queue_init(&m->waits);
	send_window_init(&m->window, now);
	return m;
}

static void drop_packed(struct mirror *m)
{
	if (m->packed)
		g_string_free(m->packed, TRUE);
	m->packed = NULL;
}

void mirror_free(struct mirror *m)
{
	if (!m)
		return;
	drop_packed(m);
	g_queue_clear(&m->waits);
	g_array_unref(m->versions);
	g_hash_table_unref(m->peers);
	g_free(m);
}

static struct version *version_at(const struct mirror *m, guint i)
{
	return &g_array_index(m->versions, struct version, i);
}

static struct version *newest(const struct mirror *m)
{
	return m->versions->len ? version_at(m, m->versions->len - 1) : NULL;
}

uint64_t mirror_version(const struct mirror *m)
{
	const struct version *v = newest(m);

	return v ? v->version : 0;
}

size_t mirror_bytes(const struct mirror *m)
{
	size_t n = m->packed ? m->packed->len : 0;

	for (guint i = 0; i < m->versions->len; i++) {
		const struct version *v = version_at(m, i);

		n += v->body->len + (v->packed ? v->packed->len : 0);
	}
	return n;
}

size_t mirror_in_flight(const struct mirror *m)
{
	return m->window.in_flight;
}

/* The version that a process holds, where it is still here. */
static struct version *version_held(const struct mirror *m, uint64_t version)
{
	for (guint i = 0; version && i < m->versions->len; i++)
		if (version_at(m, i)->version == version)
			return version_at(m, i);
	return NULL;
}

/* Packed once for all that hold the same. */
static GString *packed_for(struct mirror *m, struct version *base)
{
	GString **at = base ? &base->packed : &m->packed;

	if (!*at) {
		*at = g_string_new(NULL);
		pack_add(*at, ss_str_gs(newest(m)->body),
			 base ? ss_str_gs(base->body) : (struct ss_str){ 0 });
	}
	return *at;
}

/* False where nothing can be sent at the moment. */
static bool serve(struct mirror *m, struct fetcher *f, int64_t now)
{
	struct version *base = version_held(m, f->have);
	GString *packed = packed_for(m, base);
	struct msg_routing r = { .version = mirror_version(m),
				 .base = base ? base->version : 0,
				 .packed = ss_str_gs(packed) };

	if (!send_window_open(&m->window, packed->len))
		return false;
	if (!m->o.ops->send(m->o.arg, f->peer, &r))
		return true;
	f->waits = false;
	f->sent = packed->len;
	f->since_ms = now;
	send_window_sent(&m->window, f->sent);
	return true;
}

static void pump(struct mirror *m, int64_t now)
{
	GList *next;

	for (GList *at = m->waits.head; at; at = next) {
		struct fetcher *f = at->data;

		next = at->next;
		if (mirror_version(m) < f->want)
			continue;
		if (!serve(m, f, now))
			return;
		if (!f->waits)
			g_queue_delete_link(&m->waits, at);
	}
}

void mirror_set(struct mirror *m, uint64_t version, struct ss_str body,
		int64_t now)
{
	struct version v = { .version = version };
	size_t kept = 0;

	if (version <= mirror_version(m))
		return;
	drop_packed(m);
	for (guint i = m->versions->len; i-- > 0;) {
		struct version *old = version_at(m, i);

		kept += old->body->len;
		if (m->versions->len - i >= MIRROR_VERSIONS ||
		    kept > MIRROR_BYTES) {
			g_array_remove_range(m->versions, 0, i + 1);
			break;
		}
		if (old->packed)
			g_string_free(old->packed, TRUE);
		old->packed = NULL;
	}
	v.body = g_string_new_len(body.p, (gssize)body.n);
	g_array_append_val(m->versions, v);
	pump(m, now);
}

static struct fetcher *fetcher_for(struct mirror *m, void *peer)
{
	struct fetcher *f = g_hash_table_lookup(m->peers, peer);

	if (!f) {
		f = g_new0(struct fetcher, 1);
		f->peer = peer;
		g_hash_table_insert(m->peers, peer, f);
	}
	return f;
}

static void stop_waiting(struct mirror *m, struct fetcher *f)
{
	if (f->waits)
		g_queue_remove(&m->waits, f);
	f->waits = false;
}

/* It waits for its turn only, so it shall not turn to another. */
static void promise(struct mirror *m, const struct fetcher *f)
{
	struct msg_routing r = { .version = mirror_version(m) };

	if (f->waits && r.version >= f->want)
		m->o.ops->send(m->o.arg, f->peer, &r);
}

void mirror_ask(struct mirror *m, void *peer, const struct msg_fetch *ask,
		int64_t now)
{
	struct fetcher *f = fetcher_for(m, peer);

	send_window_acked(&m->window, f->sent);
	f->sent = 0;
	f->have = ask->have;
	f->want = ask->want;
	f->since_ms = now;
	if (f->want <= f->have) {
		stop_waiting(m, f);
	} else if (!f->waits) {
		f->waits = true;
		g_queue_push_tail(&m->waits, f);
	}
	pump(m, now);
	promise(m, f);
}

void mirror_gone(struct mirror *m, void *peer, int64_t now)
{
	struct fetcher *f = g_hash_table_lookup(m->peers, peer);

	if (!f)
		return;
	send_window_lost(&m->window, f->sent);
	stop_waiting(m, f);
	g_hash_table_remove(m->peers, peer);
	pump(m, now);
}

void mirror_tick(struct mirror *m, int64_t now)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fetcher *f = p;

		if (f->sent && now - f->since_ms > SEND_WINDOW_LOST_MS) {
			send_window_lost(&m->window, f->sent);
			f->sent = 0;
		}
		if (f->waits && now - f->since_ms > MIRROR_WAIT_MS)
			stop_waiting(m, f);
	}
	send_window_tick(&m->window, now);
	pump(m, now);
}
