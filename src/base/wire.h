/*
 * Typed structs as msgpack: a table per type names each field's tag, kind
 * and offset. A struct travels as a map from tag to value, so a reader
 * skips what it doesn't know, and a field that is zero isn't sent.
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
	const struct wire_type *type; /* of a list's items */
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

/* Lists within lists of a message; ours have three levels. */
#define WIRE_DEPTH_MAX 4

void wire_pack(msgpack_packer *pk, const struct wire_type *t, const void *s);

/* The packed struct as bytes; free with g_string_free(). */
GString *wire_encode(const struct wire_type *t, const void *s);

/*
 * Fill a struct from a msgpack object. Strings point into the buffer that
 * the object was unpacked from, lists live in zone; both must outlive s.
 */
bool wire_unpack(const msgpack_object *o, const struct wire_type *t, void *s,
		 msgpack_zone *zone);

/* A decoded struct's memory: lists live here, strings in the buffer. */
struct wire_buf {
	msgpack_unpacked un;
};

/* Decode bytes; false where they break the format. Always end with done. */
bool wire_decode(struct wire_buf *b, struct ss_str bytes,
		 const struct wire_type *t, void *s);
void wire_done(struct wire_buf *b);

/* Append to a GString as a msgpack packer does. */
int wire_write_gs(void *gs, const char *buf, size_t len);

#endif
