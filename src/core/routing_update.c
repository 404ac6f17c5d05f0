/* Updates of a routing table by changes of the operators' document. */
#include "routing_update.h"

struct routing_update {
	struct routing *r;
	const struct routing_format *f;
	struct document_patch *patch;
	size_t edit, piece;	       /* indices of the next piece to parse */
	struct document_pieces parsed; /* items of the patch, in order */
	guint committed;	       /* number of items passed to the table */
	GString *other_text; /* of the new version, outside of the lists */
	struct routing_settings settings;
};

static void free_item(void *arg, enum document_part part, void *item)
{
	(void)arg;
	if (part == DOCUMENT_ROUTE)
		routing_route_unref(item);
	else if (part == DOCUMENT_SERVICE)
		routing_service_unref(item);
	else if (part == DOCUMENT_CUSTOMER)
		customer_unref(item);
	else
		g_free(item);
}

static const struct document_piece_ops free_item_ops = { NULL, free_item,
							 NULL };

struct routing_update *routing_update_new(struct routing *r,
					  const struct routing_format *f,
					  struct document_patch *patch)
{
	struct routing_update *u = g_new0(struct routing_update, 1);

	u->r = routing_ref(r);
	u->f = f;
	u->patch = patch;
	document_pieces_init(&u->parsed);
	u->other_text = g_string_new(NULL);
	return u;
}

void routing_update_free(struct routing_update *u)
{
	if (!u)
		return;
	document_pieces_clear(&u->parsed, &free_item_ops);
	g_string_free(u->other_text, TRUE);
	document_patch_free(u->patch);
	routing_unref(u->r);
	g_free(u);
}

const struct document_change *routing_update_change(struct routing_update *u)
{
	return &u->patch->change;
}

/* Parsing. */

/* Returns the path of an item for error messages. n: its index in the new
 * list. */
static char *format_path(const struct routing_update *u, int64_t part, guint n)
{
	return g_strdup_printf("%s[%u]", u->f->lists[part], n);
}

/* Returns the path of the item at an index of u->parsed, or of the one being
 * parsed. */
static char *item_path(const struct routing_update *u, guint at)
{
	const struct document_change *c = &u->patch->change;
	const struct document_edit *e = c->edits.items;
	guint n[DOCUMENT_PARTS] = { 0 }, old = 0, seen = 0;

	for (size_t i = 0; i < c->edits.n; i++) {
		const struct document_piece *p = e[i].pieces.items;

		for (; c->base && old < e[i].at; old++)
			n[u->r->pieces.parts->data[old]]++;
		old += (guint)e[i].drop;
		for (size_t k = 0; k < e[i].pieces.n; k++) {
			if (seen++ == at)
				return format_path(u, p[k].part, n[p[k].part]);
			n[p[k].part]++;
		}
	}
	return g_strdup("");
}

/* Returns an item's text without the comma and the space before it. */
static struct ss_str item_text(struct ss_str s)
{
	size_t i = 0;

	while (i < s.n && (g_ascii_isspace(s.p[i]) || s.p[i] == ','))
		i++;
	return (struct ss_str){ s.p + i, s.n - i };
}

static void *read_item(const struct routing_update *u,
		       const struct document_piece *p, const char *path,
		       GError **error)
{
	if (p->part == DOCUMENT_ROUTE)
		return u->f->read_route(item_text(p->text), path, error);
	if (p->part == DOCUMENT_SERVICE)
		return u->f->read_service(item_text(p->text), path, error);
	if (p->part == DOCUMENT_CUSTOMER)
		return u->f->read_customer(item_text(p->text), path, error);
	return ss_str_dup(p->text);
}

static bool read_piece(struct routing_update *u, const struct document_piece *p,
		       GError **error)
{
	void *item = read_item(u, p, "", NULL);
	guint8 part = (guint8)p->part;
	char *path;

	if (item) {
		g_ptr_array_add(u->parsed.items, item);
		g_byte_array_append(u->parsed.parts, &part, 1);
		return true;
	}
	/* Parse again for the error: the path is only computed when needed. */
	path = item_path(u, u->parsed.items->len);
	read_item(u, p, path, error);
	g_free(path);
	return false;
}

static bool read_items(struct routing_update *u, GError **error)
{
	const struct document_change *c = &u->patch->change;
	const struct document_edit *e = c->edits.items;

	for (int i = 0; i < ROUTING_ITEMS_PER_STEP && u->edit < c->edits.n;
	     i++) {
		const struct document_piece *p = e[u->edit].pieces.items;

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

/* Appends the text outside of the lists among old pieces [from, to). */
static void append_other_text(struct routing_update *u, guint from, guint to)
{
	const struct document_pieces *p = &u->r->pieces;
	const guint8 *parts = p->parts->data, *next;

	/* An empty array has no data to point into. */
	if (from >= to)
		return;
	next = parts + from;
	while (next < parts + to &&
	       (next = memchr(next, DOCUMENT_OTHER,
			      (size_t)(parts + to - next))))
		g_string_append(u->other_text, p->items->pdata[next++ - parts]);
}

static bool parse_settings(struct routing_update *u, GError **error)
{
	struct document_change *c = &u->patch->change;
	const struct document_edit *e = c->edits.items;
	guint at = 0, end = c->base ? u->r->pieces.items->len : 0;

	if (!document_pieces_fit(&u->r->pieces, c)) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a change of another version");
		return false;
	}
	for (size_t i = 0; i < c->edits.n; i++) {
		const struct document_piece *p = e[i].pieces.items;

		append_other_text(u, at, (guint)e[i].at);
		for (size_t k = 0; k < e[i].pieces.n; k++)
			if (p[k].part == DOCUMENT_OTHER)
				g_string_append_len(u->other_text, p[k].text.p,
						    (gssize)p[k].text.n);
		at = (guint)(e[i].at + e[i].drop);
	}
	append_other_text(u, at, end);
	if (!u->f->read_settings(ss_str_gs(u->other_text), &u->settings, error))
		return false;
	c->version = u->settings.version;
	return true;
}

/* Validation. */

static bool invalid(GError **error, const char *name, const char *what)
{
	g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST, "%s: %s", name,
		    what);
	return false;
}

/* Sets or clears the marks of items that the change removes. */
static void mark_items(struct routing_update *u, guint at, guint n,
		       bool removing)
{
	const struct routing *r = u->r;

	for (guint i = at; i < at + n; i++) {
		struct routing_route *rt = r->pieces.items->pdata[i];
		guint8 part = r->pieces.parts->data[i];

		if (part == DOCUMENT_SERVICE)
			((struct routing_service *)r->pieces.items->pdata[i])
				->removing = removing;
		if (part == DOCUMENT_CUSTOMER)
			((struct customer *)r->pieces.items->pdata[i])
				->removing = removing;
		if (part != DOCUMENT_ROUTE)
			continue;
		rt->removing = removing;
		for (guint k = 0; k < rt->shares->len; k++) {
			struct routing_service *s = routing_service(
				r, g_array_index(rt->shares,
						 struct routing_share, k)
					   .service);

			s->shares_removed = removing ? s->shares_removed + 1 :
						       0;
		}
	}
}

static void mark_removed(struct routing_update *u, bool removing)
{
	const struct document_change *c = &u->patch->change;
	const struct document_edit *e = c->edits.items;

	if (!c->base)
		mark_items(u, 0, u->r->pieces.items->len, removing);
	for (size_t i = 0; c->base && i < c->edits.n; i++)
		mark_items(u, (guint)e[i].at, (guint)e[i].drop, removing);
}

static bool check_service(const struct routing_update *u, GHashTable *added,
			  struct routing_service *s, GError **error)
{
	const struct routing_service *old = routing_service(u->r, s->name);

	if ((old && !old->removing) || !g_hash_table_insert(added, s->name, s))
		return invalid(error, s->name, "the service stands twice");
	return true;
}

static bool missing_service(const struct routing_update *u, guint at,
			    const char *name, GError **error)
{
	char *path = item_path(u, at);

	g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
		    "%s.service: there is no service %s", path, name);
	g_free(path);
	return false;
}

static bool check_route(const struct routing_update *u, GHashTable *services,
			GHashTable *keys, guint at, GError **error)
{
	struct routing_route *rt = u->parsed.items->pdata[at];
	const struct routing_route *old =
		g_hash_table_lookup(u->r->routes_by_key, rt->lookup_key);

	for (guint i = 0; i < rt->shares->len; i++) {
		const char *name =
			g_array_index(rt->shares, struct routing_share, i)
				.service;
		const struct routing_service *s = routing_service(u->r, name);

		if (!g_hash_table_contains(services, name) &&
		    (!s || s->removing))
			return missing_service(u, at, name, error);
	}
	if ((!old || old->removing) && g_hash_table_add(keys, rt->lookup_key))
		return true;
	g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
		    "%s: host %s has prefix %s twice", rt->name, rt->host,
		    rt->prefix);
	return false;
}

/* Fails if a service is removed, not replaced, and a kept route names it. */
static bool check_removed_services(const struct routing_update *u,
				   GHashTable *added, GError **error)
{
	for (guint i = 0; i < u->r->services->len; i++) {
		const struct routing_service *s = u->r->services->pdata[i];

		if (s->removing && s->route_shares > s->shares_removed &&
		    !g_hash_table_contains(added, s->name))
			return invalid(error, s->name,
				       "routes lead to a service that is "
				       "missing");
	}
	return true;
}

/* Returns the parsed items of a part; appends their indices in u->parsed to
 * at. */
static GPtrArray *items_of_part(const struct routing_update *u, guint8 part,
				GArray *at)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < u->parsed.items->len; i++)
		if (u->parsed.parts->data[i] == part) {
			g_ptr_array_add(out, u->parsed.items->pdata[i]);
			g_array_append_val(at, i);
		}
	return out;
}

/* Returns the path of a customer that the change keeps. */
static char *kept_customer_path(const struct routing_update *u,
				const struct customer *c)
{
	const struct document_change *x = &u->patch->change;
	const struct document_edit *e = x->edits.items;
	const struct document_pieces *p = &u->r->pieces;
	guint n = 0, i = 0;

	for (size_t k = 0; i < p->items->len && p->items->pdata[i] != c; i++) {
		const struct customer *one = p->items->pdata[i];

		for (; k < x->edits.n && e[k].at <= i; k++)
			for (size_t m = 0; m < e[k].pieces.n; m++)
				n += ((struct document_piece *)e[k]
					      .pieces.items)[m]
					     .part == DOCUMENT_CUSTOMER;
		n += p->parts->data[i] == DOCUMENT_CUSTOMER && !one->removing;
	}
	return format_path(u, DOCUMENT_CUSTOMER, n);
}

/* Returns the path of a parsed or a kept customer. */
static char *customer_path(const struct routing_update *u,
			   const struct customer *c)
{
	for (guint i = 0; i < u->parsed.items->len; i++)
		if (u->parsed.items->pdata[i] == c)
			return item_path(u, i);
	return kept_customer_path(u, c);
}

/* Checks that no two customers share a name or a key. Error messages name the
 * customers, and never the key. */
static bool check_customers(const struct routing_update *u, GError **error)
{
	GArray *at = g_array_new(FALSE, FALSE, sizeof(guint));
	GPtrArray *added = items_of_part(u, DOCUMENT_CUSTOMER, at);
	const struct customer *other;
	enum customers_conflict conflict;
	guint i;

	conflict = customers_check(&u->r->customers, added, &i, &other);
	if (conflict) {
		char *here = item_path(u, g_array_index(at, guint, i));
		char *there = customer_path(u, other);

		g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
			    conflict == CUSTOMERS_KEY ?
				    "%s: shares a key with %s" :
				    "%s: has the name of %s",
			    here, there);
		g_free(here);
		g_free(there);
	}
	g_ptr_array_unref(added);
	g_array_unref(at);
	return !conflict;
}

static bool check_change(struct routing_update *u, GError **error)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	mark_removed(u, true);
	for (guint i = 0; i < u->parsed.items->len && ok; i++)
		if (u->parsed.parts->data[i] == DOCUMENT_SERVICE)
			ok = check_service(u, services,
					   u->parsed.items->pdata[i], error);
	for (guint i = 0; i < u->parsed.items->len && ok; i++)
		if (u->parsed.parts->data[i] == DOCUMENT_ROUTE)
			ok = check_route(u, services, keys, i, error);
	ok = ok && check_removed_services(u, services, error) &&
	     check_customers(u, error);
	mark_removed(u, false);
	g_hash_table_unref(services);
	g_hash_table_unref(keys);
	return ok;
}

enum routing_step routing_update_step(struct routing_update *u, GError **error)
{
	const struct document_change *c = &u->patch->change;

	if (c->base && c->base != u->r->version) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a change of version %" PRIu64 ", but %" PRIu64
			    " is in force",
			    c->base, u->r->version);
		return ROUTING_INVALID;
	}
	if (u->edit < c->edits.n)
		return read_items(u, error) ? ROUTING_MORE : ROUTING_INVALID;
	return parse_settings(u, error) && check_change(u, error) ?
		       ROUTING_VALID :
		       ROUTING_INVALID;
}

/* Commit. */

static void count_shares(const struct routing *r,
			 const struct routing_route *rt, int n)
{
	for (guint i = 0; i < rt->shares->len; i++) {
		struct routing_service *s = routing_service(
			r, g_array_index(rt->shares, struct routing_share, i)
				   .service);

		s->route_shares += (guint)n;
	}
}

/*
 * Removes a dropped item from the table. Services are removed later, by
 * drop_services(), as the shares of dropped routes are still counted in them.
 */
static void drop_item(void *arg, enum document_part part, void *item)
{
	struct routing *r = ((struct routing_update *)arg)->r;
	struct routing_route *rt = item;

	if (part == DOCUMENT_OTHER)
		g_free(item);
	if (part == DOCUMENT_CUSTOMER)
		customers_remove(&r->customers, item);
	if (part != DOCUMENT_ROUTE)
		return;
	count_shares(r, rt, -1);
	r->route_count--;
	g_hash_table_remove(r->routes_by_key, rt->lookup_key);
}

static void *next_item(void *arg, const struct document_piece *p)
{
	struct routing_update *u = arg;

	(void)p;
	return u->parsed.items->pdata[u->committed++];
}

static void drop_services(struct routing *r)
{
	for (guint i = r->services->len; i-- > 0;) {
		struct routing_service *s = r->services->pdata[i];

		s->shares_removed = 0;
		if (s->removing)
			g_ptr_array_remove_index(r->services, i);
	}
}

static void add_service(struct routing *r, struct routing_service *s)
{
	const struct routing_service *old = routing_service(r, s->name);

	s->route_shares = old ? old->route_shares : 0;
	g_ptr_array_add(r->services, s);
}

static void add_route(struct routing *r, struct routing_route *rt)
{
	g_hash_table_insert(r->routes_by_key, rt->lookup_key, rt);
	r->longest_prefix = MAX(r->longest_prefix, strlen(rt->prefix));
	r->route_count++;
	count_shares(r, rt, 1);
}

void routing_update_commit(struct routing_update *u)
{
	const struct document_change *c = &u->patch->change;
	struct document_piece_ops s = { next_item, drop_item, u };
	struct routing *r = u->r;

	mark_removed(u, true);
	document_pieces_splice(&r->pieces, c, &s);
	for (guint i = 0; i < u->parsed.items->len; i++)
		if (u->parsed.parts->data[i] == DOCUMENT_SERVICE)
			add_service(r, u->parsed.items->pdata[i]);
	drop_services(r);
	for (guint i = 0; i < u->parsed.items->len; i++)
		if (u->parsed.parts->data[i] == DOCUMENT_ROUTE)
			add_route(r, u->parsed.items->pdata[i]);
		else if (u->parsed.parts->data[i] == DOCUMENT_CUSTOMER)
			customers_add(&r->customers, u->parsed.items->pdata[i]);
	/* The table has taken the references. */
	g_ptr_array_set_size(u->parsed.items, 0);
	r->limits = u->settings.limits;
	r->needs_key = u->settings.needs_key;
	r->version = c->version;
}

/* Follower. */

struct routing_follower {
	const struct routing_format *f;
	struct routing *r;
	GQueue patches;		  /* struct document_patch, not started */
	struct routing_update *u; /* current update; NULL: none */
	bool checked;		  /* the current update may be committed */
	uint64_t version;	  /* of the last change queued */
	uint64_t next_version;	  /* of the current update */
	uint64_t table_version;
};

struct routing_follower *routing_follower_new(const struct routing_format *f)
{
	struct routing_follower *w = g_new0(struct routing_follower, 1);

	w->f = f;
	w->r = routing_new();
	g_queue_init(&w->patches);
	return w;
}

void routing_follower_free(struct routing_follower *w)
{
	if (!w)
		return;
	routing_update_free(w->u);
	g_queue_clear_full(&w->patches, (GDestroyNotify)document_patch_free);
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
	return w->u || w->patches.length;
}

static void discard_all(struct routing_follower *w)
{
	routing_update_free(w->u);
	w->u = NULL;
	g_queue_clear_full(&w->patches, (GDestroyNotify)document_patch_free);
	w->version = w->table_version;
}

/*
 * Splits a full text that is stored as one piece, as document_set_text() does
 * for old logs, into the pieces of its items. Takes ownership of the patch, and
 * returns it unchanged if it is already split.
 */
static struct document_patch *split_text(const struct routing_follower *w,
					 struct document_patch *patch,
					 GError **error)
{
	const struct document_edit *e = patch->change.edits.items;
	const struct document_piece *p;
	struct document *empty;
	struct document_patch *out;

	if (patch->change.base || patch->change.edits.n != 1 ||
	    e->pieces.n != 1)
		return patch;
	p = e->pieces.items;
	empty = document_new();
	out = document_compare(empty, p->text, w->f->lists, error);
	document_free(empty);
	if (out) {
		/* The new pieces point into the unpacked bytes. */
		out->unpacked = patch->unpacked;
		out->buf = patch->buf;
		patch->unpacked = NULL;
		out->change.version = patch->change.version;
	}
	document_patch_free(patch);
	return out;
}

bool routing_follower_add(struct routing_follower *w, struct ss_str packed,
			  GError **error)
{
	struct document_patch *patch = document_unpack(packed, error);

	if (patch && patch->change.base && patch->change.base != w->version) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a change of version %" PRIu64 ", but %" PRIu64
			    " is held",
			    patch->change.base, w->version);
		document_patch_free(patch);
		return false;
	}
	if (patch)
		patch = split_text(w, patch, error);
	if (!patch)
		return false;
	w->version = patch->change.version;
	g_queue_push_tail(&w->patches, patch);
	return true;
}

static bool begin_next(struct routing_follower *w)
{
	struct document_patch *patch = g_queue_pop_head(&w->patches);

	if (!patch)
		return false;
	w->next_version = patch->change.version;
	w->u = routing_update_new(w->r, w->f, patch);
	return true;
}

bool routing_follower_step(struct routing_follower *w, GError **error)
{
	enum routing_step step;

	if (!w->u && !begin_next(w))
		return false;
	if (!w->checked) {
		step = routing_update_step(w->u, error);
		w->checked = step == ROUTING_VALID;
		if (step == ROUTING_INVALID)
			discard_all(w);
		return false;
	}
	w->checked = false;
	routing_update_commit(w->u);
	routing_update_free(w->u);
	w->u = NULL;
	w->table_version = w->next_version;
	return true;
}
