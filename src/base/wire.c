/* Typed structs as msgpack. */
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

bool wire_decode(struct wire_buf *b, struct ss_str bytes,
		 const struct wire_type *t, void *s)
{
	size_t off = 0;

	msgpack_unpacked_init(&b->un);
	memset(s, 0, t->size);
	if (msgpack_unpack_next(&b->un, bytes.p, bytes.n, &off) !=
	    MSGPACK_UNPACK_SUCCESS)
		return false;
	/* A scalar leaves the zone unset; only a map is a struct anyway. */
	if (!b->un.zone)
		b->un.zone = msgpack_zone_new(MSGPACK_ZONE_CHUNK_SIZE);
	return wire_unpack(&b->un.data, t, s, b->un.zone);
}

void wire_done(struct wire_buf *b)
{
	msgpack_unpacked_destroy(&b->un);
}
