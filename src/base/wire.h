/*
 * Serialization of structs as msgpack. A table per type lists each field's
 * tag, kind and offset. A struct is encoded as a map from tag to value: zero
 * fields are omitted, and a decoder skips tags that it doesn't know.
 */
#ifndef SS_WIRE_H
#define SS_WIRE_H

#include <msgpack.h>
#include <sapphireshift/base.h>

enum wire_kind {
	WIRE_INT,  /* int64_t */
	WIRE_UINT, /* uint64_t */
	WIRE_BOOL, /* bool */
	WIRE_STR,  /* struct ss_str; a view of the decoded buffer */
	WIRE_LIST, /* struct wire_list of structs */
};

struct wire_list {
	void *items;
	size_t n;
};

struct wire_type;

struct wire_field {
	uint8_t tag;
	enum wire_kind kind;
	size_t offset;
	const struct wire_type *type; /* item type of a WIRE_LIST */
};

struct wire_type {
	size_t size;
	const struct wire_field *fields;
	size_t n;
};

#define WIRE_TYPE(type, table)                                                 \
	{                                                                      \
		sizeof(type), (table), G_N_ELEMENTS(table)                     \
	}

/* Appends the encoded struct to the packer's output. */
void wire_pack(msgpack_packer *pk, const struct wire_type *t, const void *s);

/* Returns the encoded struct, to be freed with g_string_free(). */
GString *wire_encode(const struct wire_type *t, const void *s);

/*
 * Decodes a msgpack object into a struct. Strings point into the buffer that
 * the object was unpacked from, lists are allocated in zone; both must outlive
 * s. Returns false if a field has the wrong type.
 */
bool wire_unpack(const msgpack_object *o, const struct wire_type *t, void *s,
		 msgpack_zone *zone);

/* Owns the lists of a decoded struct; its strings stay in the input. */
struct wire_buf {
	msgpack_unpacked un;
};

/*
 * Decodes bytes into a struct; returns false if they are malformed. Call
 * wire_buf_clear() in either case.
 */
bool wire_decode(struct wire_buf *b, struct ss_str bytes,
		 const struct wire_type *t, void *s);
void wire_buf_clear(struct wire_buf *b);

/* Write callback of a msgpack packer that appends to a GString. */
int wire_write_gs(void *gs, const char *buf, size_t len);

#endif
