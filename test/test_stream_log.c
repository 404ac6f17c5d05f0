/* Tests of the log of the versions that began streams: what it keeps, drops and
 * reports. */
#include "unit.h"

#include "../src/core/stream_wire.h"

#define TTL_MS 20000

static void add(struct stream_log *l, uint64_t key, const char *service,
		const char *version, int64_t ttl_ms, int64_t now)
{
	struct stream_item x = { key, service, version, ttl_ms };

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
	/* Reports; an unused one has key 0. */
	struct {
		int64_t at;
		uint64_t key;
		const char *version;
		int64_t ttl_ms;
	} reports[3];
	int64_t now;
	const char *want; /* version of key 1 */
};

static const struct keep_case keep_cases[] = {
	{ "reported", { { 0, 1, "a", TTL_MS } }, 10, "a" },
	{ "another stream", { { 0, 2, "a", TTL_MS } }, 10, "" },
	{ "sent again, to another version",
	  { { 0, 1, "a", TTL_MS }, { 5, 1, "b", TTL_MS } },
	  10,
	  "b" },
	{ "expired", { { 0, 1, "a", TTL_MS } }, TTL_MS, "" },
	{ "reported again, with a later end",
	  { { 0, 1, "a", TTL_MS }, { 9000, 1, "a", TTL_MS } },
	  TTL_MS + 1,
	  "a" },
	{ "capped at the maximum lifetime",
	  { { 0, 1, "a", INT64_MAX / 2 } },
	  STREAM_LIFETIME_MAX_MS,
	  "" },
	{ "expired when it is reported", { { 0, 1, "a", -5 } }, 0, "" },
};

static void newest_report_is_kept_until_it_expires(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(keep_cases); i++) {
		const struct keep_case *c = &keep_cases[i];
		struct stream_log *l = stream_log_new(10);

		for (size_t k = 0; k < 3 && c->reports[k].key; k++)
			add(l, c->reports[k].key, "lm", c->reports[k].version,
			    c->reports[k].ttl_ms, c->reports[k].at);
		stream_log_expire(l, c->now);
		if (strcmp(version_of(l, 1, c->now), c->want))
			fail_msg("%s: \"%s\"", c->label,
				 version_of(l, 1, c->now));
		stream_log_free(l);
	}
}

struct sole_case {
	const char *label;
	struct {
		int64_t at;
		const char *service, *version;
	} served[3];
	int64_t now;
	const char *want; /* version of "lm"; NULL: unknown, or several */
};

static const struct sole_case sole_cases[] = {
	{ "none", { { 0, NULL, NULL } }, 10, NULL },
	{ "one", { { 0, "lm", "a" } }, 10, "a" },
	{ "one, and one of another service",
	  { { 0, "lm", "a" }, { 0, "web", "b" } },
	  10,
	  "a" },
	{ "two", { { 0, "lm", "a" }, { 5, "lm", "b" } }, 10, NULL },
	{ "another one served within a stream's lifetime",
	  { { 0, "lm", "a" }, { 50000, "lm", "b" } },
	  STREAM_LIFETIME_MAX_MS - 1,
	  NULL },
	{ "the streams of the other one have expired",
	  { { 0, "lm", "a" }, { 50000, "lm", "b" } },
	  STREAM_LIFETIME_MAX_MS,
	  "b" },
	{ "expired", { { 0, "lm", "a" } }, STREAM_LIFETIME_MAX_MS, NULL },
};

/* Guards against resuming a stream that isn't in the log at a version that has
 * just replaced the one that began it. */
static void only_a_sole_version_is_returned(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sole_cases); i++) {
		const struct sole_case *c = &sole_cases[i];
		struct stream_log *l = stream_log_new(10);
		const char *got;

		for (size_t k = 0; k < 3 && c->served[k].service; k++)
			add(l, 0, c->served[k].service, c->served[k].version,
			    STREAM_LIFETIME_MAX_MS, c->served[k].at);
		got = stream_log_sole_version(l, "lm", c->now);
		if (g_strcmp0(got, c->want))
			fail_msg("%s: \"%s\"", c->label, got);
		stream_log_free(l);
	}
}

/* Guards against a flood of streams that evicts versions from the log, or that
 * makes it grow without bound. */
static void oldest_streams_are_dropped_and_versions_kept(void **state)
{
	struct stream_log *l = stream_log_new(100);

	(void)state;
	add(l, 0, "lm", "a", STREAM_LIFETIME_MAX_MS, 0);
	add(l, 0, "lm", "b", STREAM_LIFETIME_MAX_MS, 0);
	for (uint64_t k = 1; k <= 1000; k++)
		add(l, k, "lm", "a", TTL_MS, (int64_t)k);
	assert_int_equal(stream_log_length(l), 100);
	assert_string_equal(version_of(l, 900, 1000), "");
	assert_string_equal(version_of(l, 901, 1000), "a");
	assert_null(stream_log_sole_version(l, "lm", 1000));
	stream_log_free(l);
}

/* Guards against a corrupt endpoint list that fills a process's memory with
 * versions, or hides that a second one of a service serves. */
static void flood_of_versions_is_bounded(void **state)
{
	struct stream_log *l = stream_log_new(100);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct stream_item));

	(void)state;
	for (int i = 0; i < 100000; i++) {
		char *name = g_strdup_printf("service-%d", i);

		add(l, 0, name, "a", STREAM_LIFETIME_MAX_MS, 0);
		g_free(name);
	}
	add(l, 0, "service-1", "b", STREAM_LIFETIME_MAX_MS, 0);
	assert_null(stream_log_sole_version(l, "service-1", 1));
	stream_log_changes(l, 0, 1000000, 1, out);
	assert_true(out->len < 5000);
	g_array_unref(out);
	stream_log_free(l);
}

/* Sends the changes after a mark over the wire to another log. */
static uint64_t replicate(const struct stream_log *from, struct stream_log *to,
			  uint64_t mark, size_t max, int64_t now)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct stream_item));
	struct stream_wire w;
	struct wire_buf buf;
	struct msg_streams m;
	GString *bytes;

	mark = stream_log_changes(from, mark, max, now, items);
	stream_wire_pack(&w, items);
	bytes = wire_encode(msg_type(MSG_STREAMS), &w.m);
	assert_true(
		wire_decode(&buf, ss_str_gs(bytes), msg_type(MSG_STREAMS), &m));
	stream_wire_apply(to, &m, now);
	wire_buf_clear(&buf);
	g_string_free(bytes, TRUE);
	stream_wire_clear(&w);
	g_array_unref(items);
	return mark;
}

static void changes_reach_another_log(void **state)
{
	struct stream_log *a = stream_log_new(100), *b = stream_log_new(100);
	uint64_t mark = 0;

	(void)state;
	assert_true(stream_log_is_reported(a, 0));
	add(a, 0, "lm", "v1", STREAM_LIFETIME_MAX_MS, 0);
	for (uint64_t k = 1; k <= 10; k++)
		add(a, k, "lm", k % 2 ? "v1" : "v2", TTL_MS, 0);
	/* Three changes in a message. */
	for (int i = 0; i < 4 && !stream_log_is_reported(a, mark); i++)
		mark = replicate(a, b, mark, 3, 5);
	assert_true(stream_log_is_reported(a, mark));
	for (uint64_t k = 1; k <= 10; k++)
		assert_string_equal(version_of(b, k, 10), k % 2 ? "v1" : "v2");
	assert_string_equal(stream_log_sole_version(b, "lm", 10), "v1");
	/* The same report again isn't a change, another version is. */
	add(a, 3, "lm", "v1", TTL_MS, 10);
	assert_true(stream_log_is_reported(a, mark));
	add(a, 3, "lm", "v2", TTL_MS, 10);
	assert_false(stream_log_is_reported(a, mark));
	replicate(a, b, mark, 3, 10);
	assert_string_equal(version_of(b, 3, 10), "v2");
	stream_log_free(a);
	stream_log_free(b);
}

/* Guards against a version that another process doesn't learn of, as it is
 * packed with streams of the same remaining lifetime. */
static void version_isnt_hidden_by_its_streams(void **state)
{
	static const bool version_first[] = { true, false };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(version_first); i++) {
		struct stream_log *a = stream_log_new(100);
		struct stream_log *b = stream_log_new(100);

		if (version_first[i])
			add(a, 0, "lm", "v1", STREAM_LIFETIME_MAX_MS, 0);
		add(a, 1, "lm", "v1", STREAM_LIFETIME_MAX_MS, 0);
		if (!version_first[i])
			add(a, 0, "lm", "v1", STREAM_LIFETIME_MAX_MS, 0);
		replicate(a, b, 0, 10, 0);
		assert_string_equal(version_of(b, 1, 0), "v1");
		assert_true(stream_log_has_version(b, "lm", "v1", 0));
		stream_log_free(a);
		stream_log_free(b);
	}
}

static void malformed_keys_are_ignored(void **state)
{
	struct stream_log *l = stream_log_new(100);
	char bytes[20] = { 0 };
	struct stream_group g = { .service = SS_LIT("lm"),
				  .version = SS_LIT("v1"),
				  .ttl_ms = TTL_MS,
				  .keys = { bytes, sizeof(bytes) } };
	struct msg_streams m = { .groups = { &g, 1 } };

	(void)state;
	/* Two keys of 0, and half of a third key. */
	assert_int_equal(stream_wire_apply(l, &m, 0), 0);
	assert_int_equal(stream_log_length(l), 0);
	bytes[0] = 1;
	assert_int_equal(stream_wire_apply(l, &m, 0), 1);
	assert_string_equal(version_of(l, 1, 1), "v1");
	stream_log_free(l);
}

/* Guards against a caller that resumes a stream of another customer. */
static void keys_differ_between_customers(void **state)
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
		cmocka_unit_test(newest_report_is_kept_until_it_expires),
		cmocka_unit_test(only_a_sole_version_is_returned),
		cmocka_unit_test(oldest_streams_are_dropped_and_versions_kept),
		cmocka_unit_test(flood_of_versions_is_bounded),
		cmocka_unit_test(changes_reach_another_log),
		cmocka_unit_test(version_isnt_hidden_by_its_streams),
		cmocka_unit_test(malformed_keys_are_ignored),
		cmocka_unit_test(keys_differ_between_customers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
