/* The document structure, private to document.c and document_compare.c. */
#ifndef SS_DOCUMENT_INT_H
#define SS_DOCUMENT_INT_H

#include "document.h"

struct document {
	uint64_t version, services_version;
	struct document_pieces pieces; /* objects: GRefString */
};

static inline struct ss_str document_piece_at(const struct document *d, guint i)
{
	char *s = d->pieces.items->pdata[i];

	return (struct ss_str){ s, g_ref_string_length(s) };
}

#endif
