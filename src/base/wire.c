/* Serialization of structs as msgpack. */
#include "wire.h"

int wire_write_gs(void *gs, const char *buf, size_t len)
{
	g_string_append_len(gs, buf, (gssize)len);
	return 0;
}

static bool is_zero(const struct wire_field *f, const void *at)
{
	switch (f->kind) {
	case WIRE_INT:
	case WIRE_UINT:
		return *(const uint64_t *)at == 0;
	case WIRE_BOOL:
		return !*(const bool *)at;
	case WIRE_STR:
		return ((const struct ss_str *)at)->n == 0;
	case WIRE_LIST:
		return ((const struct wire_list *)at)->n == 0;
	}
	return false;
}

static void pack_list(msgpack_packer *pk, const struct wire_type *t,
		      const struct wire_list *list)
{
	msgpack_pack_array(pk, list->n);
	for (size_t i = 0; i < list->n; i++)
		wire_pack(pk, t, (const char *)list->items + i * t->size);
}

static void pack_field(msgpack_packer *pk, const struct wire_field *f,
		       const void *at)
{
	const struct ss_str *str = at;

	switch (f->kind) {
	case WIRE_INT:
		msgpack_pack_int64(pk, *(const int64_t *)at);
		break;
	case WIRE_UINT:
		msgpack_pack_uint64(pk, *(const uint64_t *)at);
		break;
	case WIRE_BOOL:
		msgpack_pack_true(pk);
		break;
	case WIRE_STR:
		msgpack_pack_bin(pk, str->n);
		msgpack_pack_bin_body(pk, str->p, str->n);
		break;
	case WIRE_LIST:
		pack_list(pk, f->type, at);
		break;
	}
}

void wire_pack(msgpack_packer *pk, const struct wire_type *t, const void *s)
{
	size_t used = 0;

	for (size_t i = 0; i < t->n; i++)
		used += !is_zero(&t->fields[i],
				 (const char *)s + t->fields[i].offset);
	msgpack_pack_map(pk, used);
	for (size_t i = 0; i < t->n; i++) {
		const struct wire_field *f = &t->fields[i];
		const void *at = (const char *)s + f->offset;

		if (is_zero(f, at))
			continue;
		msgpack_pack_uint8(pk, f->tag);
		pack_field(pk, f, at);
	}
}

GString *wire_encode(const struct wire_type *t, const void *s)
{
	GString *out = g_string_sized_new(128);
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, wire_write_gs);
	wire_pack(&pk, t, s);
	return out;
}

static bool unpack_list(const msgpack_object *o, const struct wire_type *t,
			struct wire_list *list, msgpack_zone *zone)
{
	const msgpack_object_array *a = &o->via.array;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	if (a->size == 0)
		return true;
	list->items = msgpack_zone_malloc(zone, a->size * t->size);
	if (!list->items)
		return false;
	list->n = a->size;
	for (uint32_t i = 0; i < a->size; i++)
		if (!wire_unpack(&a->ptr[i], t,
				 (char *)list->items + i * t->size, zone))
			return false;
	return true;
}

static bool unpack_field(const msgpack_object *o, const struct wire_field *f,
			 void *at, msgpack_zone *zone)
{
	struct ss_str *str = at;

	switch (f->kind) {
	case WIRE_INT:
		if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
			return false;
		*(int64_t *)at = o->via.i64;
		return true;
	case WIRE_UINT:
		if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		*(uint64_t *)at = o->via.u64;
		return true;
	case WIRE_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)at = o->via.boolean;
		return true;
	case WIRE_STR:
		if (o->type != MSGPACK_OBJECT_BIN)
			return false;
		str->p = o->via.bin.ptr;
		str->n = o->via.bin.size;
		return true;
	case WIRE_LIST:
		return unpack_list(o, f->type, at, zone);
	}
	return false;
}

bool wire_unpack(const msgpack_object *o, const struct wire_type *t, void *s,
		 msgpack_zone *zone)
{
	memset(s, 0, t->size);
	if (o->type != MSGPACK_OBJECT_MAP)
		return false;
	for (uint32_t k = 0; k < o->via.map.size; k++) {
		const msgpack_object_kv *kv = &o->via.map.ptr[k];

		if (kv->key.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		for (size_t i = 0; i < t->n; i++) {
			const struct wire_field *f = &t->fields[i];

			if (f->tag == kv->key.via.u64 &&
			    !unpack_field(&kv->val, f, (char *)s + f->offset,
					  zone))
				return false;
		}
	}
	return true;
}

/* Sizes stated by the header of one msgpack object. */
struct header {
	size_t size;	/* bytes of the header and of its scalar payload */
	uint64_t items; /* nested objects that follow */
};

static uint64_t read_be(const uint8_t *p, size_t n)
{
	uint64_t v = 0;

	for (size_t i = 0; i < n; i++)
		v = v << 8 | p[i];
	return v;
}

static struct header parse_header(const uint8_t *p, size_t left)
{
	/* Payload sizes of the scalar types 0xca to 0xd3. */
	static const uint8_t scalar[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
	/* Widths of the length field of types 0xc4 to 0xc6 and 0xd9 to 0xdf. */
	static const uint8_t bin[] = { 1, 2, 4 };
	static const uint8_t sized[] = { 1, 2, 4, 2, 4, 2, 4 };
	uint8_t t = p[0];
	struct header h = { 1, 0 };

	if (t >= 0x80 && t <= 0x8f)
		h.items = 2 * (uint64_t)(t & 15);
	else if (t >= 0x90 && t <= 0x9f)
		h.items = t & 15;
	else if (t >= 0xa0 && t <= 0xbf)
		h.size += t & 31;
	else if (t >= 0xca && t <= 0xd3)
		h.size += scalar[t - 0xca];
	else if (t >= 0xc4 && t <= 0xc6 && left > bin[t - 0xc4])
		h.size += bin[t - 0xc4] + read_be(p + 1, bin[t - 0xc4]);
	else if (t >= 0xd9 && t <= 0xdb && left > sized[t - 0xd9])
		h.size += sized[t - 0xd9] + read_be(p + 1, sized[t - 0xd9]);
	else if (t >= 0xdc && t <= 0xdf && left > sized[t - 0xd9])
		h = (struct header){ 1u + sized[t - 0xd9],
				     read_be(p + 1, sized[t - 0xd9]) *
					     (t >= 0xde ? 2 : 1) };
	else if (t == 0xc1 || (t >= 0xc7 && t <= 0xc9) ||
		 (t >= 0xd4 && t <= 0xd8))
		h.size = SIZE_MAX; /* extension types are rejected */
	return h;
}

/*
 * Checks item counts against the input's size. The msgpack library allocates
 * as many items as a header states, so five bytes could make it allocate
 * 100 GB. Each item takes at least one byte, so a count that exceeds the
 * remaining bytes is invalid.
 */
static bool item_counts_valid(struct ss_str bytes)
{
	const uint8_t *p = (const uint8_t *)bytes.p;
	size_t left = bytes.n;
	uint64_t pending = 1;

	while (pending) {
		struct header h;

		if (pending > left)
			return false;
		h = parse_header(p, left);
		if (h.size > left)
			return false;
		p += h.size;
		left -= h.size;
		pending += h.items - 1;
	}
	return true;
}

bool wire_decode(struct wire_buf *b, struct ss_str bytes,
		 const struct wire_type *t, void *s)
{
	size_t off = 0;

	msgpack_unpacked_init(&b->un);
	memset(s, 0, t->size);
	if (!item_counts_valid(bytes) ||
	    msgpack_unpack_next(&b->un, bytes.p, bytes.n, &off) !=
		    MSGPACK_UNPACK_SUCCESS)
		return false;
	/* A scalar leaves the zone unset; wire_unpack() then rejects it. */
	if (!b->un.zone)
		b->un.zone = msgpack_zone_new(MSGPACK_ZONE_CHUNK_SIZE);
	return wire_unpack(&b->un.data, t, s, b->un.zone);
}

void wire_buf_clear(struct wire_buf *b)
{
	msgpack_unpacked_destroy(&b->un);
}
