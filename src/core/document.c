/* The operators' configuration as its text in pieces. */
#include "document.h"

#include "../base/pack.h"

#include <xxhash.h>

/* Bytes of a text; what operators may send is less. */
#define TEXT_MAX (16u << 20)
/* Pieces that are looked at for one that was removed or replaced. */
#define LOOK_AHEAD 16
/* New items in a row after which the old ones are looked up by their text. */
#define MISSES_MAX 16

struct document {
	uint64_t version, services;
	struct document_pieces pieces; /* char *, reference counted */
};

/* Packed form. */

static const struct wire_field piece_fields[] = {
	{ 1, WIRE_INT, offsetof(struct document_piece, part), NULL },
	{ 2, WIRE_STR, offsetof(struct document_piece, text), NULL },
};
static const struct wire_type piece_wire =
	WIRE_TYPE(struct document_piece, piece_fields);

static const struct wire_field edit_fields[] = {
	{ 1, WIRE_UINT, offsetof(struct document_edit, at), NULL },
	{ 2, WIRE_UINT, offsetof(struct document_edit, drop), NULL },
	{ 3, WIRE_LIST, offsetof(struct document_edit, pieces), &piece_wire },
};
static const struct wire_type edit_wire =
	WIRE_TYPE(struct document_edit, edit_fields);

static const struct wire_field change_fields[] = {
	{ 1, WIRE_UINT, offsetof(struct document_change, base), NULL },
	{ 2, WIRE_UINT, offsetof(struct document_change, version), NULL },
	{ 3, WIRE_UINT, offsetof(struct document_change, services), NULL },
	{ 4, WIRE_LIST, offsetof(struct document_change, edits), &edit_wire },
};
static const struct wire_type change_wire =
	WIRE_TYPE(struct document_change, change_fields);

GString *document_pack(const struct document_change *c)
{
	GString *bytes = wire_encode(&change_wire, c);
	GString *out = g_string_new(NULL);

	pack_add(out, ss_str_gs(bytes));
	g_string_free(bytes, TRUE);
	return out;
}

static bool parts_known(const struct document_change *c)
{
	const struct document_edit *e = c->edits.items;

	for (size_t i = 0; i < c->edits.n; i++) {
		const struct document_piece *p = e[i].pieces.items;

		for (size_t k = 0; k < e[i].pieces.n; k++)
			if (p[k].part < 0 || p[k].part >= DOCUMENT_PARTS)
				return false;
	}
	return true;
}

struct document_patch *document_open(struct ss_str packed, GError **error)
{
	struct document_patch *n;
	GString *opened = pack_open(packed, 2 * TEXT_MAX, error);

	if (!opened)
		return NULL;
	n = g_new0(struct document_patch, 1);
	n->opened = opened;
	if (wire_decode(&n->buf, ss_str_gs(opened), &change_wire, &n->change) &&
	    parts_known(&n->change))
		return n;
	document_patch_free(n);
	g_set_error(error, SS_ERROR, SS_ERROR_FRAME, "not a change");
	return NULL;
}

void document_patch_free(struct document_patch *n)
{
	if (!n)
		return;
	if (n->opened) {
		wire_done(&n->buf);
		g_string_free(n->opened, TRUE);
	}
	if (n->edits)
		g_array_unref(n->edits);
	if (n->pieces)
		g_array_unref(n->pieces);
	g_free(n);
}

/* Pieces. */

void document_pieces_init(struct document_pieces *p)
{
	p->items = g_ptr_array_new();
	p->parts = g_byte_array_new();
}

static void drop_pieces(struct document_pieces *p, guint at, guint n,
			const struct document_splice *s)
{
	for (guint i = at; i < at + n; i++)
		s->drop(s->arg, p->parts->data[i], p->items->pdata[i]);
}

void document_pieces_clear(struct document_pieces *p,
			   const struct document_splice *s)
{
	drop_pieces(p, 0, p->items->len, s);
	g_ptr_array_unref(p->items);
	g_byte_array_unref(p->parts);
}

bool document_pieces_fit(const struct document_pieces *p,
			 const struct document_change *c)
{
	const struct document_edit *e = c->edits.items;
	guint pieces = c->base ? p->items->len : 0;
	uint64_t at = 0;

	for (size_t i = 0; i < c->edits.n; i++) {
		if (e[i].at < at || e[i].at > pieces ||
		    e[i].drop > pieces - e[i].at)
			return false;
		at = e[i].at + e[i].drop;
	}
	return true;
}

static void append(struct document_pieces *to,
		   const struct document_pieces *from, guint at, guint n)
{
	guint end = to->items->len;

	if (!n)
		return;
	g_ptr_array_set_size(to->items, (gint)(end + n));
	memcpy(to->items->pdata + end, from->items->pdata + at,
	       n * sizeof(void *));
	g_byte_array_append(to->parts, from->parts->data + at, n);
}

static void add_pieces(struct document_pieces *to,
		       const struct document_edit *e,
		       const struct document_splice *s)
{
	const struct document_piece *p = e->pieces.items;

	for (size_t i = 0; i < e->pieces.n; i++) {
		guint8 part = (guint8)p[i].part;

		g_ptr_array_add(to->items, s->add(s->arg, &p[i]));
		g_byte_array_append(to->parts, &part, 1);
	}
}

/* The edits that replace as many pieces as they drop are made in place. */
static size_t replace_pieces(struct document_pieces *p,
			     const struct document_change *c,
			     const struct document_splice *s)
{
	const struct document_edit *e = c->edits.items;
	size_t i = 0;

	for (; i < c->edits.n && e[i].drop == e[i].pieces.n; i++) {
		const struct document_piece *n = e[i].pieces.items;

		for (size_t k = 0; k < e[i].pieces.n; k++) {
			p->items->pdata[e[i].at + k] = s->add(s->arg, &n[k]);
			p->parts->data[e[i].at + k] = (guint8)n[k].part;
		}
	}
	return i;
}

void document_pieces_splice(struct document_pieces *p,
			    const struct document_change *c,
			    const struct document_splice *s)
{
	const struct document_edit *e = c->edits.items;
	struct document_pieces tail;
	guint from, at;
	size_t i;

	if (!c->base) {
		drop_pieces(p, 0, p->items->len, s);
		g_ptr_array_set_size(p->items, 0);
		g_byte_array_set_size(p->parts, 0);
	}
	for (i = 0; c->base && i < c->edits.n; i++)
		drop_pieces(p, (guint)e[i].at, (guint)e[i].drop, s);
	i = replace_pieces(p, c, s);
	if (i == c->edits.n)
		return;
	document_pieces_init(&tail);
	from = at = (guint)e[i].at;
	for (; i < c->edits.n; i++) {
		append(&tail, p, at, (guint)e[i].at - at);
		add_pieces(&tail, &e[i], s);
		at = (guint)(e[i].at + e[i].drop);
	}
	append(&tail, p, at, p->items->len - at);
	g_ptr_array_set_size(p->items, (gint)from);
	g_byte_array_set_size(p->parts, from);
	append(p, &tail, 0, tail.items->len);
	g_ptr_array_unref(tail.items);
	g_byte_array_unref(tail.parts);
}

/* The document. */

static void *text_add(void *arg, const struct document_piece *p)
{
	(void)arg;
	return g_ref_string_new_len(p->text.p, (gssize)p->text.n);
}

static void text_drop(void *arg, enum document_part part, void *text)
{
	(void)arg;
	(void)part;
	g_ref_string_release(text);
}

static const struct document_splice texts = { text_add, text_drop, NULL };

struct document *document_new(void)
{
	struct document *d = g_new0(struct document, 1);

	document_pieces_init(&d->pieces);
	return d;
}

void document_free(struct document *d)
{
	if (!d)
		return;
	document_pieces_clear(&d->pieces, &texts);
	g_free(d);
}

uint64_t document_version(const struct document *d)
{
	return d->version;
}

uint64_t document_services(const struct document *d)
{
	return d->services;
}

static struct ss_str text_at(const struct document *d, guint i)
{
	char *s = d->pieces.items->pdata[i];

	return (struct ss_str){ s, g_ref_string_length(s) };
}

GString *document_text(const struct document *d)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < d->pieces.items->len; i++) {
		struct ss_str s = text_at(d, i);

		g_string_append_len(out, s.p, (gssize)s.n);
	}
	return out;
}

/* Changing it. */

static bool touches_services(const struct document *d,
			     const struct document_change *c)
{
	const struct document_edit *e = c->edits.items;

	for (size_t i = 0; i < c->edits.n; i++) {
		const struct document_piece *p = e[i].pieces.items;

		if (e[i].drop && memchr(d->pieces.parts->data + e[i].at,
					DOCUMENT_SERVICE, e[i].drop))
			return true;
		for (size_t k = 0; k < e[i].pieces.n; k++)
			if (p[k].part == DOCUMENT_SERVICE)
				return true;
	}
	return false;
}

bool document_apply(struct document *d, const struct document_change *c,
		    GError **error)
{
	if ((c->base && c->base != d->version) ||
	    !document_pieces_fit(&d->pieces, c)) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a change of version %" PRIu64 ", but %" PRIu64
			    " is held",
			    c->base, d->version);
		return false;
	}
	if (!c->base)
		d->services = c->services ? c->services : c->version;
	else if (touches_services(d, c))
		d->services = c->version;
	document_pieces_splice(&d->pieces, c, &texts);
	d->version = c->version;
	return true;
}

void document_put(struct document *d, uint64_t version, struct ss_str text)
{
	struct document_piece p = { DOCUMENT_REST, text };
	struct document_edit e = { .pieces = { &p, 1 } };
	struct document_change c = { .version = version,
				     .services = version,
				     .edits = { &e, 1 } };

	document_apply(d, &c, NULL);
}

GString *document_whole(const struct document *d, bool routes)
{
	GArray *pieces =
		g_array_new(FALSE, FALSE, sizeof(struct document_piece));
	struct document_edit e = { 0 };
	struct document_change c = { .version = routes ? d->version :
							 d->services,
				     .services = d->services,
				     .edits = { &e, 1 } };
	GString *out;

	for (guint i = 0; i < d->pieces.items->len; i++) {
		struct document_piece p = { d->pieces.parts->data[i],
					    text_at(d, i) };

		if (routes ||
		    (p.part != DOCUMENT_ROUTE && p.part != DOCUMENT_CUSTOMER))
			g_array_append_val(pieces, p);
	}
	e.pieces = (struct wire_list){ pieces->data, pieces->len };
	out = document_pack(&c);
	g_array_unref(pieces);
	return out;
}

/* Comparing a text with it. */

struct compare {
	const struct document *d;
	const char *text, *at, *end;
	const char *const *lists;
	guint old; /* the next old piece that is neither kept nor dropped */
	guint misses;
	GHashTable
		*by_text; /* struct document_piece * -> index; NULL: not yet */
	GArray *keys;
	GArray *edits, *pieces;
	GArray *first;	   /* of each edit, index into pieces */
	bool open;	   /* the last edit ends here */
	unsigned int seen; /* lists, as bits */
};

static void skip_space(struct compare *x)
{
	while (x->at < x->end && (*x->at == ' ' || *x->at == '\n' ||
				  *x->at == '\t' || *x->at == '\r'))
		x->at++;
}

static bool skip_char(struct compare *x, char c)
{
	if (x->at >= x->end || *x->at != c)
		return false;
	x->at++;
	return true;
}

static bool skip_string(struct compare *x)
{
	if (!skip_char(x, '"'))
		return false;
	while (x->at < x->end) {
		char c = *x->at++;

		if (c == '"')
			return true;
		if (c == '\\')
			x->at++;
	}
	return false;
}

/* What stands in brackets, by their number alone. */
static bool skip_nested(struct compare *x)
{
	size_t depth = 0;

	while (x->at < x->end) {
		char c = *x->at;

		if (c == '"') {
			if (!skip_string(x))
				return false;
			continue;
		}
		x->at++;
		if (c == '{' || c == '[')
			depth++;
		else if ((c == '}' || c == ']') && --depth == 0)
			return true;
	}
	return false;
}

static bool skip_value(struct compare *x)
{
	const char *from = x->at;

	if (x->at >= x->end)
		return false;
	if (*x->at == '"')
		return skip_string(x);
	if (*x->at == '{' || *x->at == '[')
		return skip_nested(x);
	while (x->at < x->end && !strchr(",]} \n\t\r", *x->at))
		x->at++;
	return x->at > from;
}

static struct document_edit *edit_here(struct compare *x)
{
	struct document_edit e = { .at = x->old };

	if (!x->open) {
		g_array_append_val(x->edits, e);
		g_array_append_val(x->first, x->pieces->len);
		x->open = true;
	}
	return &g_array_index(x->edits, struct document_edit,
			      x->edits->len - 1);
}

static void drop_to(struct compare *x, guint to)
{
	struct document_edit *e;

	if (to <= x->old)
		return;
	e = edit_here(x);
	e->drop += to - x->old;
	x->old = to;
}

static void add(struct compare *x, const struct document_piece *p)
{
	edit_here(x)->pieces.n++;
	g_array_append_val(x->pieces, *p);
}

static void keep(struct compare *x, guint at)
{
	drop_to(x, at);
	x->open = false;
	x->old = at + 1;
	x->misses = 0;
}

static bool is_part(const struct compare *x, guint at, int64_t part)
{
	return at < x->d->pieces.parts->len &&
	       x->d->pieces.parts->data[at] == part;
}

static bool same_text(const struct compare *x, guint at, struct ss_str text)
{
	return ss_str_eq(text_at(x->d, at), text);
}

static void add_rest(struct compare *x, const char *from)
{
	struct document_piece p = { DOCUMENT_REST,
				    { from, (size_t)(x->at - from) } };
	const guint8 *parts = x->d->pieces.parts->data;
	const guint8 *next = x->old < x->d->pieces.parts->len ?
				     memchr(parts + x->old, DOCUMENT_REST,
					    x->d->pieces.parts->len - x->old) :
				     NULL;
	guint at = next ? (guint)(next - parts) : 0;

	if (next && same_text(x, at, p.text)) {
		keep(x, at);
		return;
	}
	if (next)
		drop_to(x, at + 1);
	add(x, &p);
}

static guint piece_hash(gconstpointer v)
{
	const struct document_piece *p = v;

	return (guint)XXH3_64bits(p->text.p, p->text.n);
}

static gboolean piece_equal(gconstpointer a, gconstpointer b)
{
	const struct document_piece *x = a, *y = b;

	return x->part == y->part && ss_str_eq(x->text, y->text);
}

static void index_old(struct compare *x)
{
	guint n = x->d->pieces.items->len;

	x->keys = g_array_sized_new(FALSE, FALSE, sizeof(struct document_piece),
				    n);
	x->by_text = g_hash_table_new(piece_hash, piece_equal);
	for (guint i = 0; i < n; i++) {
		struct document_piece p = { x->d->pieces.parts->data[i],
					    text_at(x->d, i) };

		g_array_append_val(x->keys, p);
		g_hash_table_insert(x->by_text,
				    &g_array_index(x->keys,
						   struct document_piece, i),
				    GUINT_TO_POINTER(i));
	}
}

/* The old piece that an item is, from the next one on. */
static bool find_old(struct compare *x, const struct document_piece *p,
		     guint *out)
{
	void *at;

	for (guint i = x->old; i < x->old + LOOK_AHEAD; i++) {
		if (!is_part(x, i, p->part))
			break;
		*out = i;
		if (same_text(x, i, p->text))
			return true;
	}
	if (!is_part(x, x->old, p->part) || x->misses++ < MISSES_MAX)
		return false;
	if (!x->by_text)
		index_old(x);
	if (!g_hash_table_lookup_extended(x->by_text, p, NULL, &at))
		return false;
	*out = GPOINTER_TO_UINT(at);
	return *out >= x->old;
}

/* Mostly the next item is the next old one, and needn't be looked through. */
static bool skip_kept(struct compare *x, int64_t part)
{
	struct ss_str old;

	if (!is_part(x, x->old, part))
		return false;
	old = text_at(x->d, x->old);
	if ((size_t)(x->end - x->at) < old.n || old.p[old.n - 1] != '}' ||
	    memcmp(x->at, old.p, old.n))
		return false;
	x->at += old.n;
	keep(x, x->old);
	return true;
}

static bool add_item(struct compare *x, int64_t part, const char *from)
{
	struct document_piece p = { .part = part };
	guint at;

	if (!skip_value(x))
		return false;
	p.text = (struct ss_str){ from, (size_t)(x->at - from) };
	if (find_old(x, &p, &at))
		keep(x, at);
	else
		add(x, &p);
	return true;
}

/* The items between the brackets; the place is behind the last of them. */
static bool add_items(struct compare *x, int64_t part)
{
	const char *from = x->at;

	skip_space(x);
	if (x->at >= x->end || *x->at == ',')
		return false;
	while (*x->at != ']') {
		x->at = from;
		if (!skip_kept(x, part)) {
			skip_space(x);
			skip_char(x, ',');
			skip_space(x);
			if (!add_item(x, part, from))
				return false;
		}
		from = x->at;
		skip_space(x);
		if (x->at >= x->end || (*x->at != ',' && *x->at != ']'))
			return false;
	}
	x->at = from;
	return true;
}

static int list_of(const struct compare *x, struct ss_str key)
{
	for (int i = DOCUMENT_REST + 1; i < DOCUMENT_PARTS; i++)
		if (ss_str_eq(key, ss_str(x->lists[i])))
			return i;
	return DOCUMENT_REST;
}

/* A member of the object; rest: where the piece begins that it belongs to. */
static bool add_member(struct compare *x, const char **rest)
{
	const char *key;
	int part;

	skip_space(x);
	key = x->at + 1;
	if (!skip_string(x))
		return false;
	part = list_of(x, (struct ss_str){ key, (size_t)(x->at - 1 - key) });
	skip_space(x);
	if (!skip_char(x, ':'))
		return false;
	skip_space(x);
	if (part == DOCUMENT_REST || x->at >= x->end || *x->at != '[')
		return skip_value(x);
	if (x->seen & (1u << part))
		return false;
	x->seen |= 1u << part;
	x->at++;
	add_rest(x, *rest);
	if (!add_items(x, part))
		return false;
	*rest = x->at;
	skip_space(x);
	return skip_char(x, ']');
}

static bool compare_all(struct compare *x)
{
	const char *rest = x->text;

	skip_space(x);
	if (!skip_char(x, '{'))
		return false;
	skip_space(x);
	if (x->at < x->end && *x->at != '}')
		do {
			if (!add_member(x, &rest))
				return false;
			skip_space(x);
		} while (skip_char(x, ','));
	if (!skip_char(x, '}'))
		return false;
	skip_space(x);
	if (x->at != x->end)
		return false;
	add_rest(x, rest);
	drop_to(x, x->d->pieces.items->len);
	return true;
}

static struct document_patch *finish(struct compare *x)
{
	struct document_patch *n = g_new0(struct document_patch, 1);

	for (guint i = 0; i < x->edits->len; i++)
		g_array_index(x->edits, struct document_edit, i).pieces.items =
			&g_array_index(x->pieces, struct document_piece,
				       g_array_index(x->first, guint, i));
	n->edits = x->edits;
	n->pieces = x->pieces;
	n->change.base = x->d->version;
	n->change.edits = (struct wire_list){ x->edits->data, x->edits->len };
	return n;
}

struct document_patch *document_compare(const struct document *d,
					struct ss_str text,
					const char *const lists[DOCUMENT_PARTS],
					GError **error)
{
	struct compare x = { .d = d,
			     .text = text.p,
			     .at = text.p,
			     .end = text.p + text.n,
			     .lists = lists };
	struct document_patch *n = NULL;

	x.edits = g_array_new(FALSE, FALSE, sizeof(struct document_edit));
	x.pieces = g_array_new(FALSE, FALSE, sizeof(struct document_piece));
	x.first = g_array_new(FALSE, FALSE, sizeof(guint));
	if (text.n && compare_all(&x)) {
		n = finish(&x);
	} else {
		g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
			    "configuration: not a whole JSON object with each "
			    "list once (byte %zu)",
			    text.n ? (size_t)(x.at - x.text) : 0);
		g_array_unref(x.edits);
		g_array_unref(x.pieces);
	}
	g_array_unref(x.first);
	if (x.by_text) {
		g_hash_table_unref(x.by_text);
		g_array_unref(x.keys);
	}
	return n;
}
