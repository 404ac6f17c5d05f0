/* A routing that follows the operators' document. */
#include "routing_update.h"

struct routing_update {
	struct routing *r;
	const struct routing_format *f;
	struct document_news *news;
	size_t edit, piece;	 /* the next one to read */
	guint old;		 /* pieces of the table before it */
	guint n[DOCUMENT_PARTS]; /* items of each list before it */
	GPtrArray *items;	 /* what was read, in order */
	GByteArray *parts;
	GArray *numbers; /* guint, of each in its list */
	GString *rest;	 /* of the new version */
	struct routing_limits limits;
};

static void item_free(enum document_part part, void *item)
{
	if (part == DOCUMENT_ROUTE)
		routing_route_unref(item);
	else if (part == DOCUMENT_SERVICE)
		routing_service_unref(item);
	else
		g_free(item);
}

struct routing_update *routing_update_new(struct routing *r,
					  const struct routing_format *f,
					  struct document_news *news)
{
	struct routing_update *u = g_new0(struct routing_update, 1);

	u->r = routing_ref(r);
	u->f = f;
	u->news = news;
	u->items = g_ptr_array_new();
	u->parts = g_byte_array_new();
	u->numbers = g_array_new(FALSE, FALSE, sizeof(guint));
	u->rest = g_string_new(NULL);
	return u;
}

void routing_update_free(struct routing_update *u)
{
	if (!u)
		return;
	for (guint i = 0; i < u->items->len; i++)
		item_free(u->parts->data[i], u->items->pdata[i]);
	g_ptr_array_unref(u->items);
	g_byte_array_unref(u->parts);
	g_array_unref(u->numbers);
	g_string_free(u->rest, TRUE);
	document_news_free(u->news);
	routing_unref(u->r);
	g_free(u);
}

const struct document_change *routing_update_change(struct routing_update *u)
{
	return &u->news->change;
}

static guint old_pieces(const struct routing_update *u)
{
	return u->news->change.base ? u->r->items->len : 0;
}

/* Reading. */

/* Items of the old version before a place: they count in an error's place. */
static void count_to(struct routing_update *u, const struct document_edit *e)
{
	for (; u->old < e->at && u->old < old_pieces(u); u->old++)
		u->n[u->r->parts->data[u->old]]++;
	u->old += (guint)e->drop;
}

/* An item without the comma that divides it from the one before. */
static struct ss_str item_text(struct ss_str s)
{
	size_t i = 0;

	while (i < s.n && (g_ascii_isspace(s.p[i]) || s.p[i] == ','))
		i++;
	return (struct ss_str){ s.p + i, s.n - i };
}

static bool read_piece(struct routing_update *u, const struct document_piece *p,
		       GError **error)
{
	char *place = g_strdup_printf(
		"%s[%u]", p->part ? u->f->lists[p->part] : "", u->n[p->part]);
	guint8 part = (guint8)p->part;
	void *item;

	if (p->part == DOCUMENT_ROUTE)
		item = u->f->read_route(item_text(p->text), place, error);
	else if (p->part == DOCUMENT_SERVICE)
		item = u->f->read_service(item_text(p->text), place, error);
	else
		item = ss_str_dup(p->text);
	g_free(place);
	if (!item)
		return false;
	g_array_append_val(u->numbers, u->n[p->part]);
	u->n[p->part]++;
	g_ptr_array_add(u->items, item);
	g_byte_array_append(u->parts, &part, 1);
	return true;
}

static bool read_some(struct routing_update *u, GError **error)
{
	const struct document_change *c = &u->news->change;
	const struct document_edit *e = c->edits.items;

	for (int i = 0; i < ROUTING_ITEMS && u->edit < c->edits.n; i++) {
		const struct document_piece *p = e[u->edit].pieces.items;

		if (u->piece == 0)
			count_to(u, &e[u->edit]);
		if (u->piece < e[u->edit].pieces.n &&
		    !read_piece(u, &p[u->piece], error))
			return false;
		if (++u->piece >= e[u->edit].pieces.n) {
			u->edit++;
			u->piece = 0;
		}
	}
	return true;
}

/* What is beside the items, in order. */

static void rest_kept(void *arg, guint at, guint n)
{
	struct routing_update *u = arg;
	const guint8 *parts = u->r->parts->data, *next = parts + at;
	const guint8 *end = parts + at + n;

	while (next < end &&
	       (next = memchr(next, DOCUMENT_REST, (size_t)(end - next)))) {
		g_string_append(u->rest, u->r->items->pdata[next - parts]);
		next++;
	}
}

static void rest_dropped(void *arg, guint at, guint n)
{
	(void)arg;
	(void)at;
	(void)n;
}

static void rest_added(void *arg, const struct document_piece *p)
{
	struct routing_update *u = arg;

	if (p->part == DOCUMENT_REST)
		g_string_append_len(u->rest, p->text.p, (gssize)p->text.n);
}

static bool read_rest(struct routing_update *u, GError **error)
{
	struct document_change *c = &u->news->change;
	struct document_splice s = { rest_kept, rest_dropped, rest_added, u };

	if (!document_splice(c, old_pieces(u), &s)) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a change of another version");
		return false;
	}
	return u->f->read_rest(ss_str_gs(u->rest), &c->version, &u->limits,
			       error);
}

/* Checking. */

static bool invalid(GError **error, const char *name, const char *what)
{
	g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST, "%s: %s", name,
		    what);
	return false;
}

/* What the change drops, said of each item. */
static void mark(struct routing_update *u, guint at, guint n, bool leaves)
{
	const struct routing *r = u->r;

	for (guint i = at; i < at + n; i++) {
		struct routing_route *rt = r->items->pdata[i];

		if (r->parts->data[i] == DOCUMENT_SERVICE)
			((struct routing_service *)r->items->pdata[i])->leaves =
				leaves;
		if (r->parts->data[i] != DOCUMENT_ROUTE)
			continue;
		rt->leaves = leaves;
		for (guint k = 0; k < rt->shares->len; k++) {
			struct routing_service *s = routing_service(
				r, g_array_index(rt->shares,
						 struct routing_share, k)
					   .service);

			s->ended = leaves ? s->ended + 1 : 0;
		}
	}
}

static void mark_all(struct routing_update *u, bool leaves)
{
	const struct document_change *c = &u->news->change;
	const struct document_edit *e = c->edits.items;

	if (!c->base)
		mark(u, 0, u->r->items->len, leaves);
	for (size_t i = 0; c->base && i < c->edits.n; i++)
		mark(u, (guint)e[i].at, (guint)e[i].drop, leaves);
}

static bool check_service(const struct routing_update *u, GHashTable *added,
			  struct routing_service *s, GError **error)
{
	const struct routing_service *old = routing_service(u->r, s->name);

	if ((old && !old->leaves) || !g_hash_table_insert(added, s->name, s))
		return invalid(error, s->name, "the service stands twice");
	return true;
}

static bool no_service(const struct routing_update *u, guint at,
		       const char *name, GError **error)
{
	g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
		    "%s[%u].service: there is no service %s",
		    u->f->lists[DOCUMENT_ROUTE],
		    g_array_index(u->numbers, guint, at), name);
	return false;
}

static bool check_route(const struct routing_update *u, GHashTable *services,
			GHashTable *places, guint at, GError **error)
{
	struct routing_route *rt = u->items->pdata[at];
	const struct routing_route *old =
		g_hash_table_lookup(u->r->places, rt->place);

	for (guint i = 0; i < rt->shares->len; i++) {
		const char *name =
			g_array_index(rt->shares, struct routing_share, i)
				.service;
		const struct routing_service *s = routing_service(u->r, name);

		if (!g_hash_table_contains(services, name) && (!s || s->leaves))
			return no_service(u, at, name, error);
	}
	if ((!old || old->leaves) && g_hash_table_add(places, rt->place))
		return true;
	g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
		    "%s: host %s has prefix %s twice", rt->name, rt->host,
		    rt->prefix);
	return false;
}

/* A service that goes may be one that routes still need. */
static bool check_needed(const struct routing_update *u, GHashTable *added,
			 GError **error)
{
	for (guint i = 0; i < u->r->services->len; i++) {
		const struct routing_service *s = u->r->services->pdata[i];

		if (s->leaves && s->uses > s->ended &&
		    !g_hash_table_contains(added, s->name))
			return invalid(error, s->name,
				       "routes lead to a service that is "
				       "missing");
	}
	return true;
}

static bool check(struct routing_update *u, GError **error)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *places = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	mark_all(u, true);
	for (guint i = 0; i < u->items->len && ok; i++)
		if (u->parts->data[i] == DOCUMENT_SERVICE)
			ok = check_service(u, services, u->items->pdata[i],
					   error);
	for (guint i = 0; i < u->items->len && ok; i++)
		if (u->parts->data[i] == DOCUMENT_ROUTE)
			ok = check_route(u, services, places, i, error);
	ok = ok && check_needed(u, services, error);
	mark_all(u, false);
	g_hash_table_unref(services);
	g_hash_table_unref(places);
	return ok;
}

enum routing_step routing_update_step(struct routing_update *u, GError **error)
{
	const struct document_change *c = &u->news->change;

	if (c->base && c->base != u->r->version) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a change of version %" PRIu64 ", but %" PRIu64
			    " is in force",
			    c->base, u->r->version);
		return ROUTING_INVALID;
	}
	if (!read_some(u, error))
		return ROUTING_INVALID;
	if (u->edit < c->edits.n)
		return ROUTING_MORE;
	return read_rest(u, error) && check(u, error) ? ROUTING_READ :
							ROUTING_INVALID;
}

/* Putting in force. */

static void count_uses(const struct routing *r, const struct routing_route *rt,
		       int n)
{
	for (guint i = 0; i < rt->shares->len; i++) {
		struct routing_service *s = routing_service(
			r, g_array_index(rt->shares, struct routing_share, i)
				   .service);

		s->uses += (guint)n;
	}
}

struct rebuild {
	struct routing_update *u;
	GPtrArray *items;
	GByteArray *parts;
	guint added;
};

static void rebuild_kept(void *arg, guint at, guint n)
{
	struct rebuild *b = arg;
	const struct routing *r = b->u->r;
	guint to = b->items->len;

	g_ptr_array_set_size(b->items, (gint)(to + n));
	memcpy(b->items->pdata + to, r->items->pdata + at, n * sizeof(void *));
	g_byte_array_append(b->parts, r->parts->data + at, n);
}

/* Routes first: they are counted by the services that they lead to. */
static void rebuild_dropped(void *arg, guint at, guint n)
{
	struct rebuild *b = arg;
	struct routing *r = b->u->r;

	for (guint i = at; i < at + n; i++) {
		struct routing_route *rt = r->items->pdata[i];

		if (r->parts->data[i] == DOCUMENT_REST)
			g_free(rt);
		if (r->parts->data[i] != DOCUMENT_ROUTE)
			continue;
		count_uses(r, rt, -1);
		r->routes--;
		g_hash_table_remove(r->places, rt->place);
	}
}

static void rebuild_added(void *arg, const struct document_piece *p)
{
	struct rebuild *b = arg;
	guint8 part = (guint8)p->part;

	g_ptr_array_add(b->items, b->u->items->pdata[b->added++]);
	g_byte_array_append(b->parts, &part, 1);
}

static void drop_services(struct routing *r)
{
	for (guint i = r->services->len; i-- > 0;) {
		struct routing_service *s = r->services->pdata[i];

		s->ended = 0;
		if (s->leaves)
			g_ptr_array_remove_index(r->services, i);
	}
}

static void add_service(struct routing *r, struct routing_service *s)
{
	const struct routing_service *old = routing_service(r, s->name);

	s->uses = old ? old->uses : 0;
	g_ptr_array_add(r->services, s);
}

static void add_route(struct routing *r, struct routing_route *rt)
{
	g_hash_table_insert(r->places, rt->place, rt);
	r->longest = MAX(r->longest, strlen(rt->prefix));
	r->routes++;
	count_uses(r, rt, 1);
}

void routing_update_commit(struct routing_update *u)
{
	const struct document_change *c = &u->news->change;
	struct routing *r = u->r;
	struct rebuild b = { .u = u };
	struct document_splice s = { rebuild_kept, rebuild_dropped,
				     rebuild_added, &b };

	b.items = g_ptr_array_new();
	b.parts = g_byte_array_new();
	mark_all(u, true);
	if (!c->base)
		rebuild_dropped(&b, 0, r->items->len);
	document_splice(c, old_pieces(u), &s);
	g_ptr_array_unref(r->items);
	g_byte_array_unref(r->parts);
	r->items = b.items;
	r->parts = b.parts;
	for (guint i = 0; i < u->items->len; i++)
		if (u->parts->data[i] == DOCUMENT_SERVICE)
			add_service(r, u->items->pdata[i]);
	drop_services(r);
	for (guint i = 0; i < u->items->len; i++)
		if (u->parts->data[i] == DOCUMENT_ROUTE)
			add_route(r, u->items->pdata[i]);
	/* They are the table's now. */
	g_ptr_array_set_size(u->items, 0);
	r->limits = u->limits;
	r->version = c->version;
}

/* Following. */

struct routing_follower {
	const struct routing_format *f;
	struct routing *r;
	GQueue news;		    /* struct document_news, not begun */
	struct routing_update *u;   /* the one that is being read; NULL: none */
	uint64_t version;	    /* of the last that came */
	uint64_t reading, in_force; /* of the one that is read; before it */
};

struct routing_follower *routing_follower_new(const struct routing_format *f)
{
	struct routing_follower *w = g_new0(struct routing_follower, 1);

	w->f = f;
	w->r = routing_new();
	g_queue_init(&w->news);
	return w;
}

static void news_free(void *p)
{
	document_news_free(p);
}

void routing_follower_free(struct routing_follower *w)
{
	if (!w)
		return;
	routing_update_free(w->u);
	g_queue_clear_full(&w->news, news_free);
	routing_unref(w->r);
	g_free(w);
}

struct routing *routing_follower_table(const struct routing_follower *w)
{
	return w->r;
}

uint64_t routing_follower_version(const struct routing_follower *w)
{
	return w->version;
}

bool routing_follower_busy(const struct routing_follower *w)
{
	return w->u || w->news.length;
}

static void forget(struct routing_follower *w)
{
	routing_update_free(w->u);
	w->u = NULL;
	g_queue_clear_full(&w->news, news_free);
	w->version = w->in_force;
}

/* A text of before there were pieces stands in one. */
static struct document_news *divide(const struct routing_follower *w,
				    struct document_news *n, GError **error)
{
	const struct document_edit *e = n->change.edits.items;
	const struct document_piece *p;
	struct document *empty;
	struct document_news *out;

	if (n->change.base || n->change.edits.n != 1 || e->pieces.n != 1)
		return n;
	p = e->pieces.items;
	empty = document_new();
	out = document_compare(empty, p->text, w->f->lists, error);
	document_free(empty);
	if (out) {
		/* The texts are views of what was opened. */
		out->opened = n->opened;
		out->buf = n->buf;
		n->opened = NULL;
		out->change.version = n->change.version;
	}
	document_news_free(n);
	return out;
}

bool routing_follower_add(struct routing_follower *w, struct ss_str packed,
			  GError **error)
{
	struct document_news *n = document_open(packed, error);

	if (n && n->change.base && n->change.base != w->version) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a change of version %" PRIu64 ", but %" PRIu64
			    " is held",
			    n->change.base, w->version);
		document_news_free(n);
		return false;
	}
	if (n)
		n = divide(w, n, error);
	if (!n)
		return false;
	w->version = n->change.version;
	g_queue_push_tail(&w->news, n);
	return true;
}

static bool begin_next(struct routing_follower *w)
{
	struct document_news *n = g_queue_pop_head(&w->news);

	if (!n)
		return false;
	w->reading = n->change.version;
	w->u = routing_update_new(w->r, w->f, n);
	return true;
}

bool routing_follower_step(struct routing_follower *w, GError **error)
{
	enum routing_step step;

	if (!w->u && !begin_next(w))
		return false;
	step = routing_update_step(w->u, error);
	if (step == ROUTING_INVALID)
		forget(w);
	if (step != ROUTING_READ)
		return false;
	routing_update_commit(w->u);
	routing_update_free(w->u);
	w->u = NULL;
	w->in_force = w->reading;
	return true;
}
