/*
 * Comparison of a text that operators send with the current document, piece by
 * piece, in one pass over the text.
 */
#include "document_int.h"

#include <xxhash.h>

/* Number of old pieces searched for an item, to detect removed or replaced
 * ones. */
#define LOOK_AHEAD_PIECES 16
/* Consecutive misses before a hash table of the old pieces is built. */
#define LOOK_AHEAD_MISSES_MAX 16

struct compare {
	const struct document *d;
	const char *text, *at, *end;
	const char *const *lists;
	guint next_old; /* first old piece not yet kept or dropped */
	guint misses;	/* consecutive items not found by looking ahead */
	/* struct document_piece * -> index; created when it is first needed */
	GHashTable *by_text;
	GArray *keys; /* of by_text */
	GArray *edits, *pieces;
	GArray *first_piece;	 /* of each edit, index into pieces */
	bool edit_open;		 /* the last edit may be extended */
	unsigned int lists_seen; /* bit mask by enum document_part */
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

/* Skips an object or array. Brackets are counted, not matched by kind. */
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

static struct document_edit *open_edit(struct compare *x)
{
	struct document_edit e = { .at = x->next_old };

	if (!x->edit_open) {
		g_array_append_val(x->edits, e);
		g_array_append_val(x->first_piece, x->pieces->len);
		x->edit_open = true;
	}
	return &g_array_index(x->edits, struct document_edit,
			      x->edits->len - 1);
}

static void drop_until(struct compare *x, guint to)
{
	struct document_edit *e;

	if (to <= x->next_old)
		return;
	e = open_edit(x);
	e->drop += to - x->next_old;
	x->next_old = to;
}

static void add_piece(struct compare *x, const struct document_piece *p)
{
	open_edit(x)->pieces.n++;
	g_array_append_val(x->pieces, *p);
}

static void keep_piece(struct compare *x, guint at)
{
	drop_until(x, at);
	x->edit_open = false;
	x->next_old = at + 1;
	x->misses = 0;
}

static bool is_part(const struct compare *x, guint at, int64_t part)
{
	return at < x->d->pieces.parts->len &&
	       x->d->pieces.parts->data[at] == part;
}

static bool has_text(const struct compare *x, guint at, struct ss_str text)
{
	return ss_str_eq(document_piece_at(x->d, at), text);
}

/*
 * Ends a piece of other text that began at from: keeps the next old piece of
 * that part if its text is the same, and otherwise replaces it.
 */
static void add_other(struct compare *x, const char *from)
{
	struct document_piece p = { DOCUMENT_OTHER,
				    { from, (size_t)(x->at - from) } };
	const guint8 *parts = x->d->pieces.parts->data;
	const guint8 *next =
		x->next_old < x->d->pieces.parts->len ?
			memchr(parts + x->next_old, DOCUMENT_OTHER,
			       x->d->pieces.parts->len - x->next_old) :
			NULL;
	guint at = next ? (guint)(next - parts) : 0;

	if (next && has_text(x, at, p.text)) {
		keep_piece(x, at);
		return;
	}
	if (next)
		drop_until(x, at + 1);
	add_piece(x, &p);
}

static guint piece_hash(gconstpointer v)
{
	const struct document_piece *p = v;

	return (guint)XXH3_64bits(p->text.p, p->text.n);
}

static gboolean pieces_equal(gconstpointer a, gconstpointer b)
{
	const struct document_piece *x = a, *y = b;

	return x->part == y->part && ss_str_eq(x->text, y->text);
}

static void index_old_pieces(struct compare *x)
{
	guint n = x->d->pieces.items->len;

	x->keys = g_array_sized_new(FALSE, FALSE, sizeof(struct document_piece),
				    n);
	x->by_text = g_hash_table_new(piece_hash, pieces_equal);
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

/* Finds an old piece, from next_old on, with the part and text of an item. */
static bool find_old_piece(struct compare *x, const struct document_piece *p,
			   guint *out)
{
	void *at;

	for (guint i = x->next_old; i < x->next_old + LOOK_AHEAD_PIECES; i++) {
		if (!is_part(x, i, p->part))
			break;
		*out = i;
		if (has_text(x, i, p->text))
			return true;
	}
	if (!is_part(x, x->next_old, p->part) ||
	    x->misses++ < LOOK_AHEAD_MISSES_MAX)
		return false;
	if (!x->by_text)
		index_old_pieces(x);
	if (!g_hash_table_lookup_extended(x->by_text, p, NULL, &at))
		return false;
	*out = GPOINTER_TO_UINT(at);
	return *out >= x->next_old;
}

/*
 * Keeps the next old piece if the text continues with it, which is the common
 * case and saves scanning the item. An object ends at its closing brace, so an
 * old piece that ends with one matches a whole item.
 */
static bool skip_kept(struct compare *x, int64_t part)
{
	struct ss_str old;

	if (!is_part(x, x->next_old, part))
		return false;
	old = document_piece_at(x->d, x->next_old);
	if ((size_t)(x->end - x->at) < old.n || old.p[old.n - 1] != '}' ||
	    memcmp(x->at, old.p, old.n))
		return false;
	x->at += old.n;
	keep_piece(x, x->next_old);
	return true;
}

static bool compare_item(struct compare *x, int64_t part, const char *from)
{
	struct document_piece p = { .part = part };
	guint at;

	if (!skip_value(x))
		return false;
	p.text = (struct ss_str){ from, (size_t)(x->at - from) };
	if (find_old_piece(x, &p, &at))
		keep_piece(x, at);
	else
		add_piece(x, &p);
	return true;
}

/*
 * Compares the items of a list, from behind its opening bracket, and stops
 * behind the last item: space before the closing bracket is other text.
 */
static bool compare_items(struct compare *x, int64_t part)
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
			if (!compare_item(x, part, from))
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

static int find_list(const struct compare *x, struct ss_str key)
{
	for (int i = DOCUMENT_OTHER + 1; i < DOCUMENT_PARTS; i++)
		if (ss_str_eq(key, ss_str(x->lists[i])))
			return i;
	return DOCUMENT_OTHER;
}

/* Compares a member of the object; *other: start of the pending other text. */
static bool compare_member(struct compare *x, const char **other)
{
	const char *key;
	int part;

	skip_space(x);
	key = x->at + 1;
	if (!skip_string(x))
		return false;
	part = find_list(x, (struct ss_str){ key, (size_t)(x->at - 1 - key) });
	skip_space(x);
	if (!skip_char(x, ':'))
		return false;
	skip_space(x);
	if (part == DOCUMENT_OTHER || x->at >= x->end || *x->at != '[')
		return skip_value(x);
	if (x->lists_seen & (1u << part))
		return false;
	x->lists_seen |= 1u << part;
	x->at++;
	add_other(x, *other);
	if (!compare_items(x, part))
		return false;
	*other = x->at;
	skip_space(x);
	return skip_char(x, ']');
}

static bool compare_text(struct compare *x)
{
	const char *other = x->text;

	skip_space(x);
	if (!skip_char(x, '{'))
		return false;
	skip_space(x);
	if (x->at < x->end && *x->at != '}')
		do {
			if (!compare_member(x, &other))
				return false;
			skip_space(x);
		} while (skip_char(x, ','));
	if (!skip_char(x, '}'))
		return false;
	skip_space(x);
	if (x->at != x->end)
		return false;
	add_other(x, other);
	drop_until(x, x->d->pieces.items->len);
	return true;
}

static struct document_patch *finish(struct compare *x)
{
	struct document_patch *n = g_new0(struct document_patch, 1);

	for (guint i = 0; i < x->edits->len; i++)
		g_array_index(x->edits, struct document_edit, i).pieces.items =
			&g_array_index(x->pieces, struct document_piece,
				       g_array_index(x->first_piece, guint, i));
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
	x.first_piece = g_array_new(FALSE, FALSE, sizeof(guint));
	if (text.n && compare_text(&x)) {
		n = finish(&x);
	} else {
		g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
			    "configuration: not a whole JSON object with each "
			    "list once (byte %zu)",
			    text.n ? (size_t)(x.at - x.text) : 0);
		g_array_unref(x.edits);
		g_array_unref(x.pieces);
	}
	g_array_unref(x.first_piece);
	if (x.by_text) {
		g_hash_table_unref(x.by_text);
		g_array_unref(x.keys);
	}
	return n;
}
