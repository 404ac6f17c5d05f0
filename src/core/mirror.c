/* Each control VM's copy of the routing. */
#include "mirror.h"

#include "send_window.h"

struct change {
	uint64_t base; /* version that it applies to */
	GString *packed;
};

/* A process that was sent the routing or waits for it. */
struct fetcher {
	void *peer;
	uint64_t have, want;
	bool services_only; /* no routes; versions are those of services */
	bool waiting;	    /* in the queue */
	/* A notice that the answer is queued was sent. */
	bool notified;
	int64_t since_ms; /* when it last asked or was sent the routing */
	size_t unacked;	  /* bytes that it hasn't acknowledged */
};

struct mirror {
	struct mirror_options o;
	uint64_t version;
	uint64_t services_version; /* in which services last changed */
	GArray *changes; /* struct change, each based on the previous one */
	size_t changes_bytes;
	/* Full copies without and with routes; NULL: not packed yet. */
	GString *full[2];
	GHashTable *fetchers; /* peer -> struct fetcher */
	GQueue queue; /* struct fetcher that wait, oldest request first */
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
	m->fetchers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_queue_init(&m->queue);
	send_window_init(&m->window, now);
	return m;
}

static void drop_full_copies(struct mirror *m)
{
	for (int i = 0; i < 2; i++) {
		if (m->full[i])
			g_string_free(m->full[i], TRUE);
		m->full[i] = NULL;
	}
}

void mirror_free(struct mirror *m)
{
	if (!m)
		return;
	drop_full_copies(m);
	g_queue_clear(&m->queue);
	g_array_unref(m->changes);
	g_hash_table_unref(m->fetchers);
	g_free(m);
}

uint64_t mirror_version(const struct mirror *m)
{
	return m->version;
}

size_t mirror_bytes(const struct mirror *m)
{
	size_t n = m->changes_bytes;

	for (int i = 0; i < 2; i++)
		n += m->full[i] ? m->full[i]->len : 0;
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

/* Returns the number of changes since a version; 0 if they are no longer all
 * kept. */
static guint count_changes_since(const struct mirror *m, uint64_t version)
{
	for (guint i = 0; version && i < m->changes->len; i++)
		if (change_at(m, i)->base == version)
			return m->changes->len - i;
	return 0;
}

/* Returns the full copy, which is packed once per version for all processes
 * that need it. */
static GString *full_copy(struct mirror *m, bool routes)
{
	if (!m->full[routes])
		m->full[routes] = m->o.ops->pack_full(m->o.arg, routes);
	return m->full[routes];
}

/* Returns the newest version of what a process fetches: the routing, or only
 * its services. */
static uint64_t newest_for(const struct mirror *m, const struct fetcher *f)
{
	return f->services_only ? m->services_version : m->version;
}

/* Returns the changes (struct routing_bytes) that a process lacks since version
 * *base, or a full copy with *base 0. */
static GArray *missing_changes(struct mirror *m, const struct fetcher *f,
			       uint64_t *base)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct routing_bytes));
	guint n = f->services_only ? 0 : count_changes_since(m, f->have);
	struct routing_bytes b;

	*base = n ? f->have : 0;
	for (guint i = m->changes->len - n; i < m->changes->len; i++) {
		b.packed = ss_str_gs(change_at(m, i)->packed);
		g_array_append_val(out, b);
	}
	if (!n) {
		b.packed = ss_str_gs(full_copy(m, !f->services_only));
		g_array_append_val(out, b);
	}
	return out;
}

/* Sends a process what it lacks. Returns false if the send window is full. */
static bool send_missing(struct mirror *m, struct fetcher *f, int64_t now)
{
	struct msg_routing r = { .version = newest_for(m, f) };
	GArray *changes = missing_changes(m, f, &r.base);
	size_t bytes = 0;
	bool open;

	r.changes = (struct wire_list){ changes->data, changes->len };
	for (guint i = 0; i < changes->len; i++)
		bytes += g_array_index(changes, struct routing_bytes, i)
				 .packed.n;
	open = send_window_allows(&m->window, bytes);
	if (open && m->o.ops->send(m->o.arg, f->peer, &r)) {
		f->waiting = false;
		f->unacked = bytes;
		f->since_ms = now;
		send_window_sent(&m->window, bytes);
	}
	g_array_unref(changes);
	return open;
}

/* Notifies a process that its answer is queued, so that it doesn't ask another
 * control VM. */
static void send_queued_notice(struct mirror *m, struct fetcher *f)
{
	struct msg_routing r = { .version = newest_for(m, f) };

	if (!f->notified)
		f->notified = m->o.ops->send(m->o.arg, f->peer, &r);
}

/* Answers waiting requests, in order, while the send window is open, and
 * notifies the others that their answer is queued. */
static void dispatch(struct mirror *m, int64_t now)
{
	bool open = true;
	GList *next;

	for (GList *at = m->queue.head; at; at = next) {
		struct fetcher *f = at->data;

		next = at->next;
		if (newest_for(m, f) < f->want)
			continue;
		open = open && send_missing(m, f, now);
		if (!f->waiting)
			g_queue_delete_link(&m->queue, at);
		else if (!open)
			send_queued_notice(m, f);
	}
}

void mirror_add_version(struct mirror *m, const struct mirror_version *v,
			int64_t now)
{
	struct change c = { .base = v->base };

	if (v->version <= m->version)
		return;
	drop_full_copies(m);
	if (!v->change.n || v->base != m->version) {
		g_array_set_size(m->changes, 0);
		m->changes_bytes = 0;
	}
	if (v->change.n) {
		c.packed = g_string_new_len(v->change.p, (gssize)v->change.n);
		g_array_append_val(m->changes, c);
		m->changes_bytes += c.packed->len;
	}
	while (m->changes->len > MIRROR_CHANGES_MAX ||
	       m->changes_bytes > MIRROR_CHANGES_MAX_BYTES) {
		m->changes_bytes -= change_at(m, 0)->packed->len;
		g_array_remove_index(m->changes, 0);
	}
	m->version = v->version;
	m->services_version = v->services_version;
	dispatch(m, now);
}

static struct fetcher *fetcher_for(struct mirror *m, void *peer)
{
	struct fetcher *f = g_hash_table_lookup(m->fetchers, peer);

	if (!f) {
		f = g_new0(struct fetcher, 1);
		f->peer = peer;
		g_hash_table_insert(m->fetchers, peer, f);
	}
	return f;
}

static void cancel_wait(struct mirror *m, struct fetcher *f)
{
	if (f->waiting)
		g_queue_remove(&m->queue, f);
	f->waiting = false;
}

void mirror_request(struct mirror *m, void *peer,
		    const struct msg_fetch *request, int64_t now)
{
	struct fetcher *f = fetcher_for(m, peer);

	send_window_acked(&m->window, f->unacked, f->since_ms);
	f->unacked = 0;
	f->have = request->have;
	f->want = request->want;
	f->services_only = request->services;
	f->notified = false;
	f->since_ms = now;
	if (f->want <= f->have) {
		cancel_wait(m, f);
	} else if (!f->waiting) {
		f->waiting = true;
		g_queue_push_tail(&m->queue, f);
	}
	dispatch(m, now);
}

void mirror_peer_closed(struct mirror *m, void *peer, int64_t now)
{
	struct fetcher *f = g_hash_table_lookup(m->fetchers, peer);

	if (!f)
		return;
	send_window_lost(&m->window, f->unacked);
	cancel_wait(m, f);
	g_hash_table_remove(m->fetchers, peer);
	dispatch(m, now);
}

void mirror_tick(struct mirror *m, int64_t now)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, m->fetchers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fetcher *f = p;

		if (f->unacked && now - f->since_ms > SEND_WINDOW_TIMEOUT_MS) {
			send_window_lost(&m->window, f->unacked);
			f->unacked = 0;
		}
		if (f->waiting && now - f->since_ms > MIRROR_WAIT_MS)
			cancel_wait(m, f);
	}
	send_window_tick(&m->window, now);
	dispatch(m, now);
}
