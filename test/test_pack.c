/* Compression round trips and rejection of corrupt compressed data. */
#include "unit.h"

#include "../src/base/pack.h"
#include "../src/node/frame.h"

#define MAX_SIZE (1u << 20)

/* Sample text that resembles a routing document: many unique names. */
static GString *routing_text(uint64_t seed, int routes)
{
	GString *s = g_string_new("{\"routes\":[");

	for (int i = 0; i < routes; i++)
		g_string_append_printf(s,
				       "{\"name\":\"r-%016" PRIx64
				       "\",\"prefix\":\"/p%d/\"},",
				       ss_random(&seed), i);
	return s;
}

static void compression_round_trip(void **state)
{
	static const int routes[] = { 0, 1, 100, 8000 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		GString *bytes = routing_text(i + 1, routes[i]);
		GString *prefixed = g_string_new("x"), *decompressed;
		struct ss_str packed;

		pack_compress(prefixed, ss_str_gs(bytes));
		packed =
			(struct ss_str){ prefixed->str + 1, prefixed->len - 1 };
		decompressed = pack_decompress(packed, MAX_SIZE, NULL);
		assert_true(g_string_equal(decompressed, bytes));
		g_string_free(decompressed, TRUE);
		g_string_free(bytes, TRUE);
		g_string_free(prefixed, TRUE);
	}
}

enum corruption { TRUNCATED, EMPTY, BIT_FLIPPED, TOO_LARGE, DOUBLED };

static const struct {
	const char *label;
	enum corruption kind;
} corruptions[] = {
	{ "truncated", TRUNCATED },
	{ "empty", EMPTY },
	{ "one bit flipped", BIT_FLIPPED },
	{ "content larger than the limit", TOO_LARGE },
	{ "two frames in a row", DOUBLED },
};

static void corrupt_data_is_rejected(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(corruptions); i++) {
		GString *bytes = routing_text(1, 100),
			*packed = g_string_new(NULL);
		size_t max_size = MAX_SIZE;
		GError *error = NULL;

		pack_compress(packed, ss_str_gs(bytes));
		switch (corruptions[i].kind) {
		case TRUNCATED:
			g_string_truncate(packed, packed->len - 1);
			break;
		case EMPTY:
			g_string_truncate(packed, 0);
			break;
		case BIT_FLIPPED:
			packed->str[packed->len / 2] ^= 0x40;
			break;
		case TOO_LARGE:
			max_size = bytes->len - 1;
			break;
		case DOUBLED:
			g_string_append_len(packed, packed->str,
					    (gssize)packed->len);
			break;
		}
		if (pack_decompress(ss_str_gs(packed), max_size, &error))
			fail_msg("%s was accepted", corruptions[i].label);
		assert_int_equal(error->code, SS_ERROR_FRAME);
		g_error_free(error);
		g_string_free(bytes, TRUE);
		g_string_free(packed, TRUE);
	}
}

/* Long messages are compressed on the wire and decode to the same content. */
static void long_frames_are_compressed(void **state)
{
	GString *text = routing_text(3, 1000), *out = g_string_new(NULL);
	struct msg_config m = { .version = 7, .body = ss_str_gs(text) };
	struct frame f;
	GError *error = NULL;

	(void)state;
	frame_add(out, MSG_CONFIG, &m);
	assert_true(out->len < text->len / 2);
	assert_int_equal(frame_length((uint8_t *)out->str, out->len, NULL),
			 out->len);
	assert_true(frame_decode((uint8_t *)out->str, out->len, &f, NULL));
	assert_int_equal(f.kind, MSG_CONFIG);
	assert_int_equal(f.u.config.version, 7);
	assert_true(ss_str_eq(f.u.config.body, m.body));
	frame_done(&f);
	/* A truncated frame whose header states the full length is rejected. */
	assert_false(
		frame_decode((uint8_t *)out->str, out->len - 9, &f, &error));
	assert_int_equal(error->code, SS_ERROR_FRAME);
	g_error_free(error);
	g_string_free(out, TRUE);
	g_string_free(text, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(compression_round_trip),
		cmocka_unit_test(corrupt_data_is_rejected),
		cmocka_unit_test(long_frames_are_compressed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
