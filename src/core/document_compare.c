/* A text that operators send, compared with the document in force. */
#include "document_int.h"

#include <xxhash.h>

/* Pieces that are looked at for one that was removed or replaced. */
#define LOOK_AHEAD 16
/* New items in a row after which the old ones are looked up by their text. */
#define MISSES_MAX 16

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
	return ss_str_eq(document_piece_at(x->d, at), text);
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
					    document_piece_at(x->d, i) };

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
	old = document_piece_at(x->d, x->old);
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
