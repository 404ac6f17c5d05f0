/* The operators' configuration document: its pieces, packing and changes. */
#include "document_int.h"

#include "../base/pack.h"

/* Maximum size of a text; the limit for requests of operators is lower. */
#define TEXT_MAX_BYTES (16u << 20)

/* Packing. */

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
	{ 3, WIRE_UINT, offsetof(struct document_change, services_version),
	  NULL },
	{ 4, WIRE_LIST, offsetof(struct document_change, edits), &edit_wire },
};
static const struct wire_type change_wire =
	WIRE_TYPE(struct document_change, change_fields);

GString *document_pack(const struct document_change *c)
{
	GString *bytes = wire_encode(&change_wire, c);
	GString *out = g_string_new(NULL);

	pack_compress(out, ss_str_gs(bytes));
	g_string_free(bytes, TRUE);
	return out;
}

static bool parts_valid(const struct document_change *c)
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

struct document_patch *document_unpack(struct ss_str packed, GError **error)
{
	struct document_patch *n;
	GString *unpacked = pack_decompress(packed, 2 * TEXT_MAX_BYTES, error);

	if (!unpacked)
		return NULL;
	n = g_new0(struct document_patch, 1);
	n->unpacked = unpacked;
	if (wire_decode(&n->buf, ss_str_gs(unpacked), &change_wire,
			&n->change) &&
	    parts_valid(&n->change))
		return n;
	document_patch_free(n);
	g_set_error(error, SS_ERROR, SS_ERROR_FRAME, "not a change");
	return NULL;
}

void document_patch_free(struct document_patch *n)
{
	if (!n)
		return;
	if (n->unpacked) {
		wire_buf_clear(&n->buf);
		g_string_free(n->unpacked, TRUE);
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
			const struct document_piece_ops *s)
{
	for (guint i = at; i < at + n; i++)
		s->drop(s->arg, p->parts->data[i], p->items->pdata[i]);
}

void document_pieces_clear(struct document_pieces *p,
			   const struct document_piece_ops *s)
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

static void append_pieces(struct document_pieces *to,
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
		       const struct document_piece_ops *s)
{
	const struct document_piece *p = e->pieces.items;

	for (size_t i = 0; i < e->pieces.n; i++) {
		guint8 part = (guint8)p[i].part;

		g_ptr_array_add(to->items, s->add(s->arg, &p[i]));
		g_byte_array_append(to->parts, &part, 1);
	}
}

/*
 * Applies in place the leading edits that add as many pieces as they drop.
 * Returns the index of the first edit that remains.
 */
static size_t replace_pieces(struct document_pieces *p,
			     const struct document_change *c,
			     const struct document_piece_ops *s)
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
			    const struct document_piece_ops *s)
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
		append_pieces(&tail, p, at, (guint)e[i].at - at);
		add_pieces(&tail, &e[i], s);
		at = (guint)(e[i].at + e[i].drop);
	}
	append_pieces(&tail, p, at, p->items->len - at);
	g_ptr_array_set_size(p->items, (gint)from);
	g_byte_array_set_size(p->parts, from);
	append_pieces(p, &tail, 0, tail.items->len);
	g_ptr_array_unref(tail.items);
	g_byte_array_unref(tail.parts);
}

/* Document. */

static void *add_text(void *arg, const struct document_piece *p)
{
	(void)arg;
	return g_ref_string_new_len(p->text.p, (gssize)p->text.n);
}

static void drop_text(void *arg, enum document_part part, void *text)
{
	(void)arg;
	(void)part;
	g_ref_string_release(text);
}

static const struct document_piece_ops text_ops = { add_text, drop_text, NULL };

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
	document_pieces_clear(&d->pieces, &text_ops);
	g_free(d);
}

uint64_t document_version(const struct document *d)
{
	return d->version;
}

uint64_t document_services_version(const struct document *d)
{
	return d->services_version;
}

GString *document_text(const struct document *d)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < d->pieces.items->len; i++) {
		struct ss_str s = document_piece_at(d, i);

		g_string_append_len(out, s.p, (gssize)s.n);
	}
	return out;
}

/* Changes. */

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
		d->services_version =
			c->services_version ? c->services_version : c->version;
	else if (touches_services(d, c))
		d->services_version = c->version;
	document_pieces_splice(&d->pieces, c, &text_ops);
	d->version = c->version;
	return true;
}

void document_set_text(struct document *d, uint64_t version, struct ss_str text)
{
	struct document_piece p = { DOCUMENT_OTHER, text };
	struct document_edit e = { .pieces = { &p, 1 } };
	struct document_change c = { .version = version,
				     .services_version = version,
				     .edits = { &e, 1 } };

	document_apply(d, &c, NULL);
}

GString *document_pack_full(const struct document *d, bool routes)
{
	GArray *pieces =
		g_array_new(FALSE, FALSE, sizeof(struct document_piece));
	struct document_edit e = { 0 };
	struct document_change c = { .version = routes ? d->version :
							 d->services_version,
				     .services_version = d->services_version,
				     .edits = { &e, 1 } };
	GString *out;

	for (guint i = 0; i < d->pieces.items->len; i++) {
		struct document_piece p = { d->pieces.parts->data[i],
					    document_piece_at(d, i) };

		if (routes ||
		    (p.part != DOCUMENT_ROUTE && p.part != DOCUMENT_CUSTOMER))
			g_array_append_val(pieces, p);
	}
	e.pieces = (struct wire_list){ pieces->data, pieces->len };
	out = document_pack(&c);
	g_array_unref(pieces);
	return out;
}
