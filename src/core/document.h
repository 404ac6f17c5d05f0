/*
 * The operators' configuration as its text in pieces: each item of a long list
 * is one, and so is what stands between the lists. A new version travels as
 * the edits that make it out of the one before, so that what it costs in the
 * log, on links and in each process follows from what it changes.
 */
#ifndef SS_DOCUMENT_H
#define SS_DOCUMENT_H

#include "../base/wire.h"

enum document_part {
	DOCUMENT_REST, /* between the lists */
	DOCUMENT_ROUTE,
	DOCUMENT_SERVICE,
	DOCUMENT_CUSTOMER,
	DOCUMENT_PARTS,
};

struct document_piece {
	int64_t part;	    /* enum document_part */
	struct ss_str text; /* of an item: with the comma before it */
};

/* Drop pieces of the old version, and put others there. */
struct document_edit {
	uint64_t at, drop;
	struct wire_list pieces; /* struct document_piece */
};

struct document_change {
	uint64_t base;	   /* version that it changes; 0: none, it's whole */
	uint64_t version;  /* that it makes */
	uint64_t services; /* if whole: when services last changed */
	struct wire_list edits; /* struct document_edit, in order of place */
};

/* A change with its memory. Texts may be views of what it was made from. */
struct document_patch {
	struct document_change change;
	GArray *edits, *pieces; /* made here; NULL: unpacked */
	struct wire_buf buf;
	GString *opened;
};

struct document;

struct document *document_new(void);
void document_free(struct document *d);

/* 0: it is empty. */
uint64_t document_version(const struct document *d);
/* The version in which a service was last added, changed or removed. */
uint64_t document_services(const struct document *d);
/* The text as it was put; free with g_string_free(). */
GString *document_text(const struct document *d);

/*
 * The change that makes a document into a text, without its version; lists
 * names the member of the text's object that holds each part's items. The
 * text must outlive it. NULL with SS_ERROR_BAD_REQUEST where the text is no
 * object of that form; its items and the rest aren't read.
 */
struct document_patch *document_compare(const struct document *d,
					struct ss_str text,
					const char *const lists[DOCUMENT_PARTS],
					GError **error);

/* All of it as a change of nothing; or without routes and customers, where they
 * aren't used. */
GString *document_whole(const struct document *d, bool routes);

/* A change as bytes, and back; NULL with SS_ERROR_FRAME where they are cut,
 * harmed or larger than what operators may send. */
GString *document_pack(const struct document_change *c);
struct document_patch *document_open(struct ss_str packed, GError **error);
void document_patch_free(struct document_patch *n);

/* SS_ERROR_FRAME, and nothing changed, where it isn't a change of this. */
bool document_apply(struct document *d, const struct document_change *c,
		    GError **error);

/* A text that stands in a log of before there were pieces. */
void document_put(struct document *d, uint64_t version, struct ss_str text);

/* Something for each piece of a document, in order. */
struct document_pieces {
	GPtrArray *items;
	GByteArray *parts; /* enum document_part of each */
};

struct document_splice {
	/* What stands for a new piece, and the end of what stood for one. */
	void *(*add)(void *arg, const struct document_piece *p);
	void (*drop)(void *arg, enum document_part part, void *item);
	void *arg;
};

void document_pieces_init(struct document_pieces *p);
void document_pieces_clear(struct document_pieces *p,
			   const struct document_splice *s);
/* Whether a change's places are places of these. */
bool document_pieces_fit(const struct document_pieces *p,
			 const struct document_change *c);
/*
 * Follow a change that fits: drops come before adds, both in order. Only what
 * stands behind the first change of length is moved.
 */
void document_pieces_splice(struct document_pieces *p,
			    const struct document_change *c,
			    const struct document_splice *s);

#endif
