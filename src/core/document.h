/*
 * The operators' configuration document, stored as its text in pieces: one
 * piece for each item of a list (routes, services, customers), and one for
 * each stretch of text between the lists. A new version is sent as edits of
 * the previous one, so that its cost in the log, on links and in each process
 * depends on the size of the change.
 */
#ifndef SS_DOCUMENT_H
#define SS_DOCUMENT_H

#include "../base/wire.h"

enum document_part {
	DOCUMENT_OTHER, /* text outside of the lists */
	DOCUMENT_ROUTE,
	DOCUMENT_SERVICE,
	DOCUMENT_CUSTOMER,
	DOCUMENT_PARTS,
};

struct document_piece {
	int64_t part;	    /* enum document_part */
	struct ss_str text; /* an item includes the comma before it */
};

/* Replaces "drop" pieces of the base version, from index "at" on. */
struct document_edit {
	uint64_t at, drop;
	struct wire_list pieces; /* struct document_piece */
};

struct document_change {
	uint64_t base;	  /* version it applies to; 0: a full document */
	uint64_t version; /* version it results in */
	uint64_t services_version; /* of a full document */
	struct wire_list edits;	   /* struct document_edit, ascending by "at" */
};

/*
 * A change and the memory it uses. The texts of its pieces point into the text
 * given to document_compare() or into the unpacked bytes.
 */
struct document_patch {
	struct document_change change;
	GArray *edits, *pieces; /* NULL if the change was unpacked */
	struct wire_buf buf;
	GString *unpacked; /* bytes that the texts point into */
};

struct document;

struct document *document_new(void);
void document_free(struct document *d);

/* Returns the version; 0 while the document is empty. */
uint64_t document_version(const struct document *d);
/* Returns the version in which a service was last added, changed or removed. */
uint64_t document_services_version(const struct document *d);
/* Returns the text as operators sent it; free with g_string_free(). */
GString *document_text(const struct document *d);

/*
 * Returns the change that turns the document into the given text; the caller
 * sets its version. lists[part] is the name of the member of the text's JSON
 * object that holds the items of that part. The text must outlive the patch.
 * Returns NULL with SS_ERROR_BAD_REQUEST unless the text is one JSON object
 * with each list at most once. The items and other members aren't validated.
 */
struct document_patch *document_compare(const struct document *d,
					struct ss_str text,
					const char *const lists[DOCUMENT_PARTS],
					GError **error);

/*
 * Packs the full document as a change with base 0. Without routes, it leaves
 * out the routes and the customers, for receivers that use neither.
 */
GString *document_pack_full(const struct document *d, bool routes);

/* Serializes and compresses a change. */
GString *document_pack(const struct document_change *c);
/*
 * Reverses document_pack(). Returns NULL with SS_ERROR_FRAME if the bytes are
 * truncated, corrupt or unpack to more than any permitted change.
 */
struct document_patch *document_unpack(struct ss_str packed, GError **error);
void document_patch_free(struct document_patch *n);

/*
 * Applies a change. Fails with SS_ERROR_FRAME, and leaves the document as it
 * is, if the change has another base version or its edits don't fit.
 */
bool document_apply(struct document *d, const struct document_change *c,
		    GError **error);

/* Stores a text of an old log, whose records hold full texts, as one piece. */
void document_set_text(struct document *d, uint64_t version,
		       struct ss_str text);

/* One object for each piece of a document, in document order. */
struct document_pieces {
	GPtrArray *items;
	GByteArray *parts; /* enum document_part of each */
};

struct document_piece_ops {
	/* Returns the object of a new piece; releases that of a dropped one. */
	void *(*add)(void *arg, const struct document_piece *p);
	void (*drop)(void *arg, enum document_part part, void *item);
	void *arg;
};

void document_pieces_init(struct document_pieces *p);
void document_pieces_clear(struct document_pieces *p,
			   const struct document_piece_ops *s);
/* Returns whether all edits of a change are within range and ascending. */
bool document_pieces_fit(const struct document_pieces *p,
			 const struct document_change *c);
/*
 * Applies a change for which document_pieces_fit() is true. All drop callbacks
 * run before the add callbacks, both in document order. Pieces before the
 * first edit that changes their number aren't moved.
 */
void document_pieces_splice(struct document_pieces *p,
			    const struct document_change *c,
			    const struct document_piece_ops *s);

#endif
