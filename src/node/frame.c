/* Encoding and decoding of frames. */
#include "frame.h"

#include "../base/pack.h"

/* Compresses the bytes from offset at on, if that makes them shorter. */
static void compress_message(GString *out, gsize at)
{
	struct ss_str bytes = { out->str + at, out->len - at };
	GString *compressed;

	if (bytes.n < FRAME_COMPRESS_MIN)
		return;
	compressed = g_string_sized_new(bytes.n);
	g_string_append_c(compressed, FRAME_COMPRESSED);
	pack_compress(compressed, bytes);
	if (compressed->len < bytes.n) {
		g_string_truncate(out, at);
		g_string_append_len(out, compressed->str,
				    (gssize)compressed->len);
	}
	g_string_free(compressed, TRUE);
}

void frame_add(GString *out, enum msg_kind kind, const void *msg)
{
	gsize at = out->len;
	msgpack_packer pk;
	uint32_t n;

	g_string_append_len(out, "\0\0\0\0", FRAME_HEAD);
	msgpack_packer_init(&pk, out, wire_write_gs);
	msgpack_pack_uint8(&pk, (uint8_t)kind);
	wire_pack(&pk, msg_type(kind), msg);
	compress_message(out, at + FRAME_HEAD);
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

/* Reads the kind at the start of a frame and sets *off past it; 0: none. */
static uint64_t read_kind(struct ss_str bytes, size_t *off)
{
	msgpack_unpacked kind;
	uint64_t k = 0;

	msgpack_unpacked_init(&kind);
	/* A kind is one byte. Giving msgpack no more of the input keeps it from
	 * allocating for a huge object. */
	if (msgpack_unpack_next(&kind, bytes.p, MIN(bytes.n, 1), off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    kind.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		k = kind.data.via.u64;
	msgpack_unpacked_destroy(&kind);
	return k;
}

static bool decode(struct frame *f, struct ss_str bytes, GError **error)
{
	const struct wire_type *t;
	size_t off = 0;
	uint64_t k = read_kind(bytes, &off);

	if (k == 0)
		return bad_frame(error, "no message kind");
	t = k < MSG_KINDS ? msg_type((enum msg_kind)k) : NULL;
	if (!t)
		return false;
	f->kind = (enum msg_kind)k;
	if (wire_decode(&f->buf,
			(struct ss_str){ bytes.p + off, bytes.n - off }, t,
			&f->u))
		return true;
	wire_buf_clear(&f->buf);
	return bad_frame(error, "malformed message");
}

bool frame_decode(const uint8_t *p, size_t n, struct frame *f, GError **error)
{
	struct ss_str body = { (const char *)p + FRAME_HEAD, n - FRAME_HEAD };

	f->decompressed = NULL;
	if (body.n == 0 || body.p[0] != FRAME_COMPRESSED)
		return decode(f, body, error);
	f->decompressed = pack_decompress(
		(struct ss_str){ body.p + 1, body.n - 1 }, FRAME_MAX, error);
	if (!f->decompressed)
		return false;
	/* A nested compressed frame has an unknown kind, and is skipped. */
	if (decode(f, ss_str_gs(f->decompressed), error))
		return true;
	g_string_free(f->decompressed, TRUE);
	return false;
}

void frame_done(struct frame *f)
{
	wire_buf_clear(&f->buf);
	if (f->decompressed)
		g_string_free(f->decompressed, TRUE);
}
