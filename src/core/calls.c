/* An agent's table of calls: at most one run of each, stored replies. */
#include "calls.h"

enum call_state { CALL_RUNNING, CALL_DONE, CALL_REFUSED };

struct call_id {
	uint64_t entry, seq;
};

struct subscriber {
	void *peer;
	uint64_t sub;
};

struct piece {
	struct msg_reply m; /* its strings are owned */
};

struct call {
	struct call_id id;
	enum call_state state;
	bool once;
	bool cancelled;
	GPtrArray *pieces; /* struct piece */
	GArray *subs;	   /* struct subscriber */
	size_t bytes;
	int64_t orphaned_ms; /* when the last subscriber's connection was lost,
				or SS_NEVER */
	int64_t until_ms;    /* eviction time of a finished call */
	GList link;	     /* in one of the table's queues */
	GQueue *queue;
	void *data;
};

struct calls {
	struct calls_options o;
	GHashTable *by_id;
	GHashTable *evicted; /* &entry -> highest evicted seq */
	GQueue running;
	/* Finished and refused calls, in order of eviction. */
	GQueue done, done_once, refused;
	size_t bytes;
};

static guint id_hash(const void *p)
{
	const struct call_id *id = p;

	return (guint)(id->entry ^ (id->seq * 0x9e3779b97f4a7c15u >> 32));
}

static gboolean id_equal(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(struct call_id)) == 0;
}

static void piece_free(void *p)
{
	struct piece *piece = p;
	struct header *h = piece->m.headers.items;

	for (size_t i = 0; i < piece->m.headers.n; i++) {
		g_free((char *)h[i].name.p);
		g_free((char *)h[i].value.p);
	}
	g_free(h);
	g_free((char *)piece->m.data.p);
	g_free((char *)piece->m.text.p);
	g_free(piece);
}

static struct piece *piece_new(const struct msg_reply *m)
{
	struct piece *p = g_new0(struct piece, 1);
	const struct header *from = m->headers.items;
	struct header *to = g_new0(struct header, m->headers.n);

	p->m = *m;
	p->m.headers.items = to;
	for (size_t i = 0; i < m->headers.n; i++) {
		to[i].name = (struct ss_str){ ss_str_dup(from[i].name),
					      from[i].name.n };
		to[i].value = (struct ss_str){ ss_str_dup(from[i].value),
					       from[i].value.n };
	}
	p->m.data.p = g_memdup2(m->data.p, m->data.n);
	p->m.text.p = ss_str_dup(m->text);
	return p;
}

static void call_free(void *p)
{
	struct call *c = p;

	g_ptr_array_unref(c->pieces);
	g_array_unref(c->subs);
	g_free(c);
}

struct calls *calls_new(const struct calls_options *o)
{
	struct calls *t = g_new0(struct calls, 1);

	t->o = *o;
	t->by_id = g_hash_table_new_full(id_hash, id_equal, NULL, call_free);
	t->evicted = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	g_queue_init(&t->running);
	g_queue_init(&t->done);
	g_queue_init(&t->done_once);
	g_queue_init(&t->refused);
	return t;
}

void calls_free(struct calls *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->by_id);
	g_hash_table_unref(t->evicted);
	g_free(t);
}

static struct call *find(const struct calls *t, uint64_t entry, uint64_t seq)
{
	struct call_id id = { entry, seq };

	return g_hash_table_lookup(t->by_id, &id);
}

static struct call *add(struct calls *t, uint64_t entry, uint64_t seq)
{
	struct call *c = g_new0(struct call, 1);

	c->id = (struct call_id){ entry, seq };
	c->pieces = g_ptr_array_new_with_free_func(piece_free);
	c->subs = g_array_new(FALSE, FALSE, sizeof(struct subscriber));
	c->orphaned_ms = SS_NEVER;
	c->link.data = c;
	g_hash_table_insert(t->by_id, &c->id, c);
	return c;
}

/* Moves a call to the end of a queue; it may be evicted at the time until. */
static void move_to_queue(struct call *c, GQueue *queue, int64_t until)
{
	if (c->queue)
		g_queue_unlink(c->queue, &c->link);
	c->until_ms = until;
	c->queue = queue;
	g_queue_push_tail_link(queue, &c->link);
}

static void mark_refused(struct calls *t, struct call *c, int64_t now)
{
	c->state = CALL_REFUSED;
	move_to_queue(c, &t->refused, now + CALLS_KEEP_REFUSED_MS);
}

static bool was_evicted(const struct calls *t, uint64_t entry, uint64_t seq)
{
	const uint64_t *upto = g_hash_table_lookup(t->evicted, &entry);

	return upto && seq <= *upto;
}

static void evict(struct calls *t, struct call *c)
{
	uint64_t *upto = g_hash_table_lookup(t->evicted, &c->id.entry);

	if (!upto) {
		uint64_t *rec = g_new0(uint64_t, 2);

		rec[0] = c->id.entry;
		upto = rec + 1;
		g_hash_table_insert(t->evicted, rec, upto);
	}
	*upto = MAX(*upto, c->id.seq);
	g_queue_unlink(c->queue, &c->link);
	t->bytes -= c->bytes;
	g_hash_table_remove(t->by_id, &c->id);
}

static void send_piece(struct calls *t, const struct subscriber *s,
		       const struct piece *p)
{
	struct msg_reply m = p->m;

	m.sub = s->sub;
	t->o.ops->reply(t->o.arg, s->peer, &m);
}

static void send_error(struct calls *t, void *peer, uint64_t sub,
		       enum ss_error code, enum outcome outcome,
		       const char *text)
{
	struct msg_reply m = { .sub = sub,
			       .end = true,
			       .code = code,
			       .outcome = outcome,
			       .text = ss_str(text) };

	t->o.ops->reply(t->o.arg, peer, &m);
}

/* Sends the stored pieces from the number "have" on, and later ones as they
 * come. */
static void subscribe(struct calls *t, struct call *c, void *peer, uint64_t sub,
		      uint64_t have)
{
	struct subscriber s = { peer, sub };

	c->orphaned_ms = SS_NEVER;
	for (guint i = (guint)MIN(have, c->pieces->len); i < c->pieces->len;
	     i++)
		send_piece(t, &s, c->pieces->pdata[i]);
	if (c->state == CALL_RUNNING)
		g_array_append_val(c->subs, s);
}

static void reply_known(struct calls *t, struct call *c, void *peer,
			uint64_t sub, uint64_t have)
{
	if (c->state == CALL_REFUSED)
		send_error(t, peer, sub, SS_ERROR_CANCELLED, OUTCOME_NOT_RUN,
			   "this call was refused before");
	else
		subscribe(t, c, peer, sub, have);
}

void calls_submit(struct calls *t, void *peer, const struct msg_call *m,
		  const GError *refusal, void *data, int64_t now)
{
	struct call *c = find(t, m->entry, m->seq);

	if (c) {
		reply_known(t, c, peer, m->sub, 0);
		return;
	}
	if (m->incarnation != t->o.incarnation) {
		/* An earlier incarnation of the agent may have run it. */
		send_error(t, peer, m->sub, SS_ERROR_LOST, OUTCOME_UNKNOWN,
			   "the agent has restarted");
		return;
	}
	if (was_evicted(t, m->entry, m->seq)) {
		send_error(t, peer, m->sub, SS_ERROR_LOST, OUTCOME_UNKNOWN,
			   "too old to know whether it ran");
		return;
	}
	c = add(t, m->entry, m->seq);
	c->once = m->once;
	c->data = data;
	if (refusal) {
		mark_refused(t, c, now);
		send_error(t, peer, m->sub, (enum ss_error)refusal->code,
			   OUTCOME_NOT_RUN, refusal->message);
		return;
	}
	move_to_queue(c, &t->running, SS_NEVER);
	subscribe(t, c, peer, m->sub, 0);
	t->o.ops->start(t->o.arg, c, m);
}

bool calls_known(const struct calls *t, uint64_t entry, uint64_t seq)
{
	return find(t, entry, seq) || was_evicted(t, entry, seq);
}

void calls_attach(struct calls *t, void *peer, const struct msg_attach *m,
		  int64_t now)
{
	struct call *c = find(t, m->entry, m->seq);

	if (c) {
		reply_known(t, c, peer, m->sub, m->have);
	} else if (m->incarnation != t->o.incarnation) {
		send_error(t, peer, m->sub, SS_ERROR_LOST, OUTCOME_UNKNOWN,
			   "the agent has restarted");
	} else if (was_evicted(t, m->entry, m->seq)) {
		send_error(t, peer, m->sub, SS_ERROR_LOST, OUTCOME_UNKNOWN,
			   "too old to know whether it ran");
	} else {
		/*
		 * The call may still arrive on a connection that the entry
		 * has given up. Recording its id as refused keeps it from
		 * running then, so that OUTCOME_NOT_RUN stays true.
		 */
		mark_refused(t, add(t, m->entry, m->seq), now);
		send_error(t, peer, m->sub, SS_ERROR_LOST, OUTCOME_NOT_RUN,
			   "the call never arrived");
	}
}

static bool remove_subscriber(struct call *c, void *peer, uint64_t sub,
			      bool all)
{
	bool removed = false;

	for (guint i = c->subs->len; i-- > 0;) {
		struct subscriber *s =
			&g_array_index(c->subs, struct subscriber, i);

		if (s->peer == peer && (all || s->sub == sub)) {
			g_array_remove_index(c->subs, i);
			removed = true;
		}
	}
	return removed;
}

static void cancel_unsubscribed(struct calls *t, struct call *c)
{
	if (c->state != CALL_RUNNING || c->subs->len || c->cancelled)
		return;
	c->cancelled = true;
	t->o.ops->cancel(t->o.arg, c);
}

void calls_cancel(struct calls *t, void *peer, uint64_t sub, int64_t now)
{
	(void)now;
	for (GList *p = t->running.head; p; p = p->next) {
		struct call *c = p->data;

		if (!remove_subscriber(c, peer, sub, false))
			continue;
		cancel_unsubscribed(t, c);
		return;
	}
}

void calls_peer_gone(struct calls *t, void *peer, int64_t now)
{
	for (GList *p = t->running.head; p; p = p->next) {
		struct call *c = p->data;

		if (remove_subscriber(c, peer, 0, true) && c->subs->len == 0)
			c->orphaned_ms = now;
	}
}

void calls_add_piece(struct calls *t, struct call *c, struct msg_reply *piece,
		     int64_t now)
{
	struct piece *p;

	if (c->state != CALL_RUNNING)
		return;
	piece->seq = c->pieces->len;
	p = piece_new(piece);
	g_ptr_array_add(c->pieces, p);
	c->bytes += piece->data.n + sizeof(*p);
	t->bytes += piece->data.n + sizeof(*p);
	for (guint i = 0; i < c->subs->len; i++)
		send_piece(t, &g_array_index(c->subs, struct subscriber, i), p);
	if (!piece->end)
		return;
	c->state = CALL_DONE;
	c->data = NULL;
	g_array_set_size(c->subs, 0);
	if (c->once)
		move_to_queue(c, &t->done_once, now + CALLS_KEEP_ONCE_MS);
	else
		move_to_queue(c, &t->done, now + CALLS_KEEP_MS);
}

/* Evicts calls from the head of a queue: expired ones, and others while the
 * stored replies exceed max_bytes or the table has too many calls. */
static void evict_old(struct calls *t, GQueue *q, int64_t now, size_t max_bytes)
{
	struct call *c;

	while ((c = g_queue_peek_head(q)) &&
	       (c->until_ms <= now || t->bytes > max_bytes ||
		g_hash_table_size(t->by_id) > CALLS_COUNT_MAX))
		evict(t, c);
}

static void cancel_orphans(struct calls *t, int64_t now)
{
	GList *next;

	for (GList *p = t->running.head; p; p = next) {
		struct call *c = p->data;

		next = p->next;
		/* A call that must not run twice runs to a known outcome. */
		if (!c->once && c->orphaned_ms != SS_NEVER &&
		    now - c->orphaned_ms >= CALLS_ORPHAN_MS)
			cancel_unsubscribed(t, c);
	}
}

void calls_tick(struct calls *t, int64_t now)
{
	/* Replies that a caller may still fetch are evicted last. */
	evict_old(t, &t->done, now, CALLS_BYTES_MAX / 2);
	evict_old(t, &t->refused, now, SIZE_MAX);
	evict_old(t, &t->done_once, now, CALLS_BYTES_MAX);
	cancel_orphans(t, now);
}

void *call_data(const struct call *c)
{
	return c->data;
}

uint64_t call_entry(const struct call *c)
{
	return c->id.entry;
}

uint64_t call_seq(const struct call *c)
{
	return c->id.seq;
}

size_t call_pieces(const struct call *c)
{
	return c->pieces->len;
}

size_t calls_running(const struct calls *t)
{
	return t->running.length;
}

size_t calls_count(const struct calls *t)
{
	return g_hash_table_size(t->by_id);
}
