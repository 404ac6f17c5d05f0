/* Which version began a stream: what a log keeps, forgets and tells on. */
#include "unit.h"

#include "../src/core/stream_wire.h"

#define LIFE_MS 20000

static void add(struct stream_log *l, uint64_t key, const char *service,
		const char *version, int64_t left_ms, int64_t now)
{
	struct stream_item x = { key, service, version, left_ms };

	stream_log_add(l, &x, now);
}

static const char *version_of(const struct stream_log *l, uint64_t key,
			      int64_t now)
{
	struct stream_item x;

	return stream_log_find(l, key, now, &x) ? x.version : "";
}

struct keep_case {
	const char *label;
	/* Each told at its time: key, version, life. */
	struct {
		int64_t at;
		uint64_t key;
		const char *version;
		int64_t life;
	} told[3];
	int64_t now;
	const char *want; /* of key 1 */
};

static const struct keep_case keep_cases[] = {
	{ "told", { { 0, 1, "a", LIFE_MS } }, 10, "a" },
	{ "of another stream", { { 0, 2, "a", LIFE_MS } }, 10, "" },
	{ "sent again, elsewhere",
	  { { 0, 1, "a", LIFE_MS }, { 5, 1, "b", LIFE_MS } },
	  10,
	  "b" },
	{ "its life is over", { { 0, 1, "a", LIFE_MS } }, LIFE_MS, "" },
	{ "told again, for longer",
	  { { 0, 1, "a", LIFE_MS }, { 9000, 1, "a", LIFE_MS } },
	  LIFE_MS + 1,
	  "a" },
	{ "for no longer than any caller waits",
	  { { 0, 1, "a", INT64_MAX / 2 } },
	  STREAM_LIFE_MOST_MS,
	  "" },
	{ "a life that is over when it is told", { { 0, 1, "a", -5 } }, 0, "" },
};

static void newest_word_is_kept_for_its_life(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(keep_cases); i++) {
		const struct keep_case *c = &keep_cases[i];
		struct stream_log *l = stream_log_new(10);

		for (size_t k = 0; k < 3 && c->told[k].key; k++)
			add(l, c->told[k].key, "lm", c->told[k].version,
			    c->told[k].life, c->told[k].at);
		stream_log_tidy(l, c->now);
		if (strcmp(version_of(l, 1, c->now), c->want))
			fail_msg("%s: \"%s\"", c->label,
				 version_of(l, 1, c->now));
		stream_log_free(l);
	}
}

struct only_case {
	const char *label;
	struct {
		int64_t at;
		const char *service, *version;
	} seen[3];
	int64_t now;
	const char *want; /* of "lm"; NULL: can't be told */
};

static const struct only_case only_cases[] = {
	{ "nothing was seen", { { 0, NULL, NULL } }, 10, NULL },
	{ "one", { { 0, "lm", "a" } }, 10, "a" },
	{ "one beside another service's",
	  { { 0, "lm", "a" }, { 0, "web", "b" } },
	  10,
	  "a" },
	{ "two", { { 0, "lm", "a" }, { 5, "lm", "b" } }, 10, NULL },
	{ "the other one was here within a stream's life",
	  { { 0, "lm", "a" }, { 50000, "lm", "b" } },
	  STREAM_LIFE_MOST_MS - 1,
	  NULL },
	{ "the other one's streams are over",
	  { { 0, "lm", "a" }, { 50000, "lm", "b" } },
	  STREAM_LIFE_MOST_MS,
	  "b" },
	{ "none since long", { { 0, "lm", "a" } }, STREAM_LIFE_MOST_MS, NULL },
};

/* Symptom: a stream that nobody remembers goes on at a version that took the
 * place of another a moment ago. */
static void one_version_alone_is_told_from_several(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(only_cases); i++) {
		const struct only_case *c = &only_cases[i];
		struct stream_log *l = stream_log_new(10);
		const char *got;

		for (size_t k = 0; k < 3 && c->seen[k].service; k++)
			add(l, 0, c->seen[k].service, c->seen[k].version,
			    STREAM_LIFE_MOST_MS, c->seen[k].at);
		got = stream_log_only(l, "lm", c->now);
		if (g_strcmp0(got, c->want))
			fail_msg("%s: \"%s\"", c->label, got);
		stream_log_free(l);
	}
}

/* Symptom: a flood of streams makes a process forget that there are two
 * versions, or grow without a bound. */
static void oldest_streams_go_and_versions_stay(void **state)
{
	struct stream_log *l = stream_log_new(100);

	(void)state;
	add(l, 0, "lm", "a", STREAM_LIFE_MOST_MS, 0);
	add(l, 0, "lm", "b", STREAM_LIFE_MOST_MS, 0);
	for (uint64_t k = 1; k <= 1000; k++)
		add(l, k, "lm", "a", LIFE_MS, (int64_t)k);
	assert_int_equal(stream_log_length(l), 100);
	assert_string_equal(version_of(l, 900, 1000), "");
	assert_string_equal(version_of(l, 901, 1000), "a");
	assert_null(stream_log_only(l, "lm", 1000));
	stream_log_free(l);
}

/* Symptom: a list that somebody spoils fills a process with versions, or hides
 * the second one that serves. */
static void flood_of_versions_is_bounded(void **state)
{
	struct stream_log *l = stream_log_new(100);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct stream_item));

	(void)state;
	for (int i = 0; i < 100000; i++) {
		char *name = g_strdup_printf("service-%d", i);

		add(l, 0, name, "a", STREAM_LIFE_MOST_MS, 0);
		g_free(name);
	}
	add(l, 0, "service-1", "b", STREAM_LIFE_MOST_MS, 0);
	assert_null(stream_log_only(l, "service-1", 1));
	stream_log_news(l, 0, 1000000, 1, out);
	assert_true(out->len < 5000);
	g_array_unref(out);
	stream_log_free(l);
}

/* What is newer than a mark, as another log takes it from the wire. */
static uint64_t pass_on(const struct stream_log *from, struct stream_log *to,
			uint64_t mark, size_t most, int64_t now)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct stream_item));
	struct stream_wire w;
	struct wire_buf buf;
	struct msg_streams m;
	GString *bytes;

	mark = stream_log_news(from, mark, most, now, items);
	stream_wire_pack(&w, items);
	bytes = wire_encode(msg_type(MSG_STREAMS), &w.m);
	assert_true(
		wire_decode(&buf, ss_str_gs(bytes), msg_type(MSG_STREAMS), &m));
	stream_wire_take(to, &m, now);
	wire_done(&buf);
	g_string_free(bytes, TRUE);
	stream_wire_clear(&w);
	g_array_unref(items);
	return mark;
}

static void what_is_new_reaches_another_log(void **state)
{
	struct stream_log *a = stream_log_new(100), *b = stream_log_new(100);
	uint64_t mark = 0;

	(void)state;
	assert_true(stream_log_told(a, 0));
	add(a, 0, "lm", "v1", STREAM_LIFE_MOST_MS, 0);
	for (uint64_t k = 1; k <= 10; k++)
		add(a, k, "lm", k % 2 ? "v1" : "v2", LIFE_MS, 0);
	/* A few at a time. */
	for (int i = 0; i < 4 && !stream_log_told(a, mark); i++)
		mark = pass_on(a, b, mark, 3, 5);
	assert_true(stream_log_told(a, mark));
	for (uint64_t k = 1; k <= 10; k++)
		assert_string_equal(version_of(b, k, 10), k % 2 ? "v1" : "v2");
	assert_string_equal(stream_log_only(b, "lm", 10), "v1");
	/* The same once more is no news, another version of it is. */
	add(a, 3, "lm", "v1", LIFE_MS, 10);
	assert_true(stream_log_told(a, mark));
	add(a, 3, "lm", "v2", LIFE_MS, 10);
	assert_false(stream_log_told(a, mark));
	pass_on(a, b, mark, 3, 10);
	assert_string_equal(version_of(b, 3, 10), "v2");
	stream_log_free(a);
	stream_log_free(b);
}

static void words_that_break_the_form_add_nothing(void **state)
{
	struct stream_log *l = stream_log_new(100);
	char bytes[20] = { 0 };
	struct stream_group g = { .service = SS_LIT("lm"),
				  .version = SS_LIT("v1"),
				  .life_ms = LIFE_MS,
				  .keys = { bytes, sizeof(bytes) } };
	struct msg_streams m = { .groups = { &g, 1 } };

	(void)state;
	/* Key 0, twice, and half of a third. */
	assert_int_equal(stream_wire_take(l, &m, 0), 0);
	assert_int_equal(stream_log_length(l), 0);
	bytes[0] = 1;
	assert_int_equal(stream_wire_take(l, &m, 0), 1);
	assert_string_equal(version_of(l, 1, 1), "v1");
	stream_log_free(l);
}

/* A caller takes up no other customer's stream. */
static void keys_are_of_a_customer(void **state)
{
	uint64_t a = stream_key(SS_LIT("a"), SS_LIT("q1"));

	(void)state;
	assert_true(a != 0);
	assert_true(a == stream_key(SS_LIT("a"), SS_LIT("q1")));
	assert_true(a != stream_key(SS_LIT("b"), SS_LIT("q1")));
	assert_true(a != stream_key(SS_LIT("a"), SS_LIT("q2")));
	assert_true(a != stream_key(ss_str(""), SS_LIT("q1")));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(newest_word_is_kept_for_its_life),
		cmocka_unit_test(one_version_alone_is_told_from_several),
		cmocka_unit_test(oldest_streams_go_and_versions_stay),
		cmocka_unit_test(flood_of_versions_is_bounded),
		cmocka_unit_test(what_is_new_reaches_another_log),
		cmocka_unit_test(words_that_break_the_form_add_nothing),
		cmocka_unit_test(keys_are_of_a_customer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
