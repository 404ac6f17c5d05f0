/* Each control VM's copy of the routing. */
#include "mirror.h"

#include "send_window.h"

struct change {
	uint64_t base; /* the version that it was made of */
	GString *packed;
};

/* A process that was sent the routing, or waits for it. */
struct fetcher {
	void *peer;
	uint64_t have, want;
	bool services; /* no routes, and their versions */
	bool waits, promised;
	int64_t since_ms; /* when it asked, or was sent */
	size_t sent;	  /* bytes that it hasn't acknowledged; 0: none */
};

struct mirror {
	struct mirror_options o;
	uint64_t version, services;
	GArray *changes;   /* struct change, each follows on the one before */
	size_t bytes;	   /* of the changes */
	GString *whole[2]; /* without and with routes; NULL: not yet */
	GHashTable *peers; /* peer -> struct fetcher */
	GQueue waits;	   /* struct fetcher, who asked first is first */
	struct send_window window;
};

static void change_clear(void *p)
{
	g_string_free(((struct change *)p)->packed, TRUE);
}

struct mirror *mirror_new(const struct mirror_options *o, int64_t now)
{
	struct mirror *m = g_new0(struct mirror, 1);

	m->o = *o;
	m->changes = g_array_new(FALSE, TRUE, sizeof(struct change));
	g_array_set_clear_func(m->changes, change_clear);
	m->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_queue_init(&m->waits);
	send_window_init(&m->window, now);
	return m;
}

static void drop_whole(struct mirror *m)
{
	for (int i = 0; i < 2; i++) {
		if (m->whole[i])
			g_string_free(m->whole[i], TRUE);
		m->whole[i] = NULL;
	}
}

void mirror_free(struct mirror *m)
{
	if (!m)
		return;
	drop_whole(m);
	g_queue_clear(&m->waits);
	g_array_unref(m->changes);
	g_hash_table_unref(m->peers);
	g_free(m);
}

uint64_t mirror_version(const struct mirror *m)
{
	return m->version;
}

size_t mirror_bytes(const struct mirror *m)
{
	size_t n = m->bytes;

	for (int i = 0; i < 2; i++)
		n += m->whole[i] ? m->whole[i]->len : 0;
	return n;
}

size_t mirror_in_flight(const struct mirror *m)
{
	return m->window.in_flight;
}

static const struct change *change_at(const struct mirror *m, guint i)
{
	return &g_array_index(m->changes, struct change, i);
}

/* The changes since a version; all of them gone: none. */
static guint changes_since(const struct mirror *m, uint64_t version)
{
	for (guint i = 0; version && i < m->changes->len; i++)
		if (change_at(m, i)->base == version)
			return m->changes->len - i;
	return 0;
}

/* Packed once for all that need it. */
static GString *whole(struct mirror *m, bool routes)
{
	if (!m->whole[routes])
		m->whole[routes] = m->o.ops->whole(m->o.arg, routes);
	return m->whole[routes];
}

static uint64_t newest_for(const struct mirror *m, const struct fetcher *f)
{
	return f->services ? m->services : m->version;
}

/* What a process lacks, as struct routing_bytes. */
static GArray *lacks(struct mirror *m, const struct fetcher *f, uint64_t *base)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct routing_bytes));
	guint n = f->services ? 0 : changes_since(m, f->have);
	struct routing_bytes b;

	*base = n ? f->have : 0;
	for (guint i = m->changes->len - n; i < m->changes->len; i++) {
		b.packed = ss_str_gs(change_at(m, i)->packed);
		g_array_append_val(out, b);
	}
	if (!n) {
		b.packed = ss_str_gs(whole(m, !f->services));
		g_array_append_val(out, b);
	}
	return out;
}

/* False where nothing can be sent at the moment. */
static bool serve(struct mirror *m, struct fetcher *f, int64_t now)
{
	struct msg_routing r = { .version = newest_for(m, f) };
	GArray *changes = lacks(m, f, &r.base);
	size_t bytes = 0;
	bool open;

	r.changes = (struct wire_list){ changes->data, changes->len };
	for (guint i = 0; i < changes->len; i++)
		bytes += g_array_index(changes, struct routing_bytes, i)
				 .packed.n;
	open = send_window_open(&m->window, bytes);
	if (open && m->o.ops->send(m->o.arg, f->peer, &r)) {
		f->waits = false;
		f->sent = bytes;
		f->since_ms = now;
		send_window_sent(&m->window, bytes);
	}
	g_array_unref(changes);
	return open;
}

/* It waits for its turn only, so it shall not turn to another. */
static void promise(struct mirror *m, struct fetcher *f)
{
	struct msg_routing r = { .version = newest_for(m, f) };

	if (!f->promised)
		f->promised = m->o.ops->send(m->o.arg, f->peer, &r);
}

static void pump(struct mirror *m, int64_t now)
{
	bool open = true;
	GList *next;

	for (GList *at = m->waits.head; at; at = next) {
		struct fetcher *f = at->data;

		next = at->next;
		if (newest_for(m, f) < f->want)
			continue;
		open = open && serve(m, f, now);
		if (!f->waits)
			g_queue_delete_link(&m->waits, at);
		else if (!open)
			promise(m, f);
	}
}

void mirror_set(struct mirror *m, const struct mirror_version *v, int64_t now)
{
	struct change c = { .base = v->base };

	if (v->version <= m->version)
		return;
	drop_whole(m);
	if (!v->change.n || v->base != m->version) {
		g_array_set_size(m->changes, 0);
		m->bytes = 0;
	}
	if (v->change.n) {
		c.packed = g_string_new_len(v->change.p, (gssize)v->change.n);
		g_array_append_val(m->changes, c);
		m->bytes += c.packed->len;
	}
	while (m->changes->len > MIRROR_CHANGES || m->bytes > MIRROR_BYTES) {
		m->bytes -= change_at(m, 0)->packed->len;
		g_array_remove_index(m->changes, 0);
	}
	m->version = v->version;
	m->services = v->services;
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

void mirror_ask(struct mirror *m, void *peer, const struct msg_fetch *ask,
		int64_t now)
{
	struct fetcher *f = fetcher_for(m, peer);

	send_window_acked(&m->window, f->sent, f->since_ms);
	f->sent = 0;
	f->have = ask->have;
	f->want = ask->want;
	f->services = ask->services;
	f->promised = false;
	f->since_ms = now;
	if (f->want <= f->have) {
		stop_waiting(m, f);
	} else if (!f->waits) {
		f->waits = true;
		g_queue_push_tail(&m->waits, f);
	}
	pump(m, now);
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
