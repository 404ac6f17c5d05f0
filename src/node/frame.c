/* Frames between the system's own processes. */
#include "frame.h"

void frame_add(GString *out, enum msg_kind kind, const void *msg)
{
	gsize at = out->len;
	msgpack_packer pk;
	uint32_t n;

	g_string_append_len(out, "\0\0\0\0", FRAME_HEAD);
	msgpack_packer_init(&pk, out, wire_write_gs);
	msgpack_pack_uint8(&pk, (uint8_t)kind);
	wire_pack(&pk, msg_type(kind), msg);
	n = (uint32_t)(out->len - at - FRAME_HEAD);
	for (int i = 0; i < FRAME_HEAD; i++)
		out->str[at + i] = (char)(n >> (8 * (FRAME_HEAD - 1 - i)));
}

size_t frame_length(const uint8_t *p, size_t n, GError **error)
{
	uint32_t len;

	if (n < FRAME_HEAD)
		return 0;
	len = (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	      (uint32_t)p[2] << 8 | p[3];
	if (len == 0 || len > FRAME_MAX) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "frame of %" PRIu32 " bytes; 1 to %u are allowed",
			    len, FRAME_MAX);
		return 0;
	}
	return (size_t)len + FRAME_HEAD;
}

static bool bad_frame(GError **error, const char *what)
{
	g_set_error(error, SS_ERROR, SS_ERROR_FRAME, "frame: %s", what);
	return false;
}

bool frame_decode(const uint8_t *p, size_t n, struct frame *f, GError **error)
{
	const char *body = (const char *)p + FRAME_HEAD;
	size_t left = n - FRAME_HEAD;
	msgpack_unpacked kind;
	const struct wire_type *t;
	size_t off = 0;
	uint64_t k = 0;

	msgpack_unpacked_init(&kind);
	/* A small number is one byte: no room here for a large claim. */
	if (msgpack_unpack_next(&kind, body, MIN(left, 1), &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    kind.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		k = kind.data.via.u64;
	msgpack_unpacked_destroy(&kind);
	if (k == 0)
		return bad_frame(error, "no kind");
	t = k < MSG_KINDS ? msg_type((enum msg_kind)k) : NULL;
	if (!t)
		return false;
	f->kind = (enum msg_kind)k;
	if (!wire_decode(&f->buf, (struct ss_str){ body + off, left - off }, t,
			 &f->u)) {
		wire_done(&f->buf);
		return bad_frame(error, "unreadable message");
	}
	return true;
}

void frame_done(struct frame *f)
{
	wire_done(&f->buf);
}
