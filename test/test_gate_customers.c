/* Whose request is taken, by which key, and what goes on to an endpoint. */
#include "gate_fix.h"

#include "../src/core/freshness.h"

#define ROUTE(name, type, extra)                                               \
	"{\"name\":\"" name "\",\"host\":\"h\",\"prefix\":\"/" name            \
	"/\",\"type\":\"" type "\",\"timeoutMs\":9000," extra
#define CUSTOMER(name, keys)                                                   \
	"{\"name\":\"" name "\",\"keys\":[" keys "],\"priority\":1}"
#define CONFIG(version, customers)                                             \
	"{\"version\":" version                                                \
	",\"routes\":[" ROUTE("safe", "safe",                                  \
			      "\"attempts\":2,\"service\":\"web\"},")          \
		ROUTE("free", "safe", "\"public\":true,\"service\":\"web\"},") \
			ROUTE("night", "stream",                               \
			      "\"attempts\":2,\"resumable\":true,\"service\":" \
			      "\"lm\"}") "],\"services\":[{\"name\":\"web\"}," \
					 "{\"name\":\"lm\",\"engine\":"        \
					 "{\"slots\":8,\"weightsMb\":80,"      \
					 "\"models\":[{\"name\":\"m\","        \
					 "\"weightsMb\":30,\"loadS\":6}]}}],"  \
					 "\"tenants\":[" customers "]}"
#define TWO CUSTOMER("acme", "\"key-1\"") "," CUSTOMER("beta", "\"key-2\"")
#define KEY(k) "Authorization: Bearer " k "\r\n"
#define GET_WITH(headers) REQ("GET", "/safe/x") headers "\r\n"
#define NIGHT(key)                                                             \
	REQ("POST", "/night/x") key "X-Model: m\r\nContent-Length: 0\r\n\r\n"

static void take(struct fix *f, const char *text)
{
	struct routing *r =
		routing_read(users_platform.routing, ss_str(text), NULL);

	assert_non_null(r);
	gate_set_routing(f->gate, r);
	routing_unref(r);
}

/* Both endpoints answer for as long as it takes. */
static void open_keyed(struct fix *f, const char *service, const char *model,
		       const char *answer)
{
	fix_open(f, service, model);
	take(f, CONFIG("2", TWO));
	script(f, 0, answer, false, false);
	script(f, 1, answer, false, false);
}

static bool anyone_saw(const struct fix *f, const char *text)
{
	return strstr(f->eps[0].seen->str, text) ||
	       strstr(f->eps[1].seen->str, text);
}

static const struct {
	const char *label, *request, *status;
	const char *customer; /* that the endpoint is told; NULL: none */
} requests[] = {
	{ "a key", GET_WITH(KEY("key-1")), "200", "acme" },
	{ "another's key", GET_WITH(KEY("key-2")), "200", "beta" },
	{ "a scheme in capitals", GET_WITH("authorization: BEARER  key-2 \r\n"),
	  "200", "beta" },
	{ "a caller that says who it is",
	  GET_WITH(KEY("key-1") "X-Tenant: beta\r\n"), "200", "acme" },
	{ "no key", GET_WITH(""), "401", NULL },
	{ "an unknown key", GET_WITH(KEY("key-3")), "401", NULL },
	{ "a key's beginning", GET_WITH(KEY("key-")), "401", NULL },
	{ "another scheme", GET_WITH("Authorization: Basic key-1\r\n"), "401",
	  NULL },
	{ "a scheme without a key", GET_WITH("Authorization: Bearer\r\n"),
	  "401", NULL },
	{ "no ASCII", GET_WITH("Authorization: Bearer k\xc3\xa9y-1\r\n"), "401",
	  NULL },
	{ "two keys", GET_WITH(KEY("key-1") KEY("key-2")), "400", NULL },
	{ "one key twice", GET_WITH(KEY("key-1") KEY("key-1")), "400", NULL },
	{ "a public route", REQ("GET", "/free/x") "\r\n", "200", "" },
	{ "a public route, by somebody known",
	  REQ("GET", "/free/x") KEY("key-1") "\r\n", "200", "acme" },
	{ "a public route, with a key of nobody",
	  REQ("GET", "/free/x") KEY("key-3") "X-Tenant: acme\r\n\r\n", "200",
	  "" },
};

/* A key that reaches an endpoint, or a caller that names its customer. */
static void endpoint_is_told_whose_it_is(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		char *status =
			g_strdup_printf("HTTP/1.1 %s ", requests[i].status);
		const char *customer = requests[i].customer;
		struct caller *c;
		struct fix f;

		open_keyed(&f, "web", "", OK_TEXT);
		c = call(&f, requests[i].request);
		UNTIL(&f, got(c, "\r\n\r\n"));
		if (!got(c, status))
			fail_msg("%s: %s", requests[i].label, c->got->str);
		if (anyone_saw(&f, "key-") || anyone_saw(&f, "uthorization"))
			fail_msg("%s: the key went on", requests[i].label);
		if (!customer || !*customer) {
			if (anyone_saw(&f, "X-Tenant"))
				fail_msg("%s: a name", requests[i].label);
		} else {
			char *line = g_strdup_printf("\r\nX-Tenant: %s\r\n",
						     customer);

			if (!anyone_saw(&f, line))
				fail_msg("%s: not told", requests[i].label);
			g_free(line);
		}
		if (!customer && f.eps[0].requests + f.eps[1].requests)
			fail_msg("%s: it ran", requests[i].label);
		g_free(status);
		fix_close(&f);
	}
}

/* The first key of a kept connection stands for all that come on it. */
static void each_request_has_its_own_key(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_keyed(&f, "web", "", OK_TEXT);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, ends(c, "hello"));
	assert_true(anyone_saw(&f, "X-Tenant: acme"));
	g_string_truncate(c->got, 0);
	bufferevent_write(c->bev, GET_WITH(KEY("key-2")),
			  strlen(GET_WITH(KEY("key-2"))));
	UNTIL(&f, ends(c, "hello"));
	assert_true(anyone_saw(&f, "X-Tenant: beta"));
	g_string_truncate(c->got, 0);
	bufferevent_write(c->bev, GET_WITH(KEY("key-9")),
			  strlen(GET_WITH(KEY("key-9"))));
	UNTIL(&f, got(c, "HTTP/1.1 401 "));
	fix_close(&f);
}

/* The key goes on with the second try of a request. */
static void resumed_stream_carries_no_key(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	take(&f, CONFIG("2", TWO));
	script(&f, 0, EVENTS, false, false);
	script(&f, 1, EVENTS, false, false);
	c = call(&f, NIGHT(KEY("key-1")));
	UNTIL(&f, f.eps[f.at].requests == 1);
	say_events(&f, c, 1, 2, 10);
	end_endpoint(&f, 0);
	UNTIL(&f, f.eps[1].requests == 1);
	assert_non_null(strstr(f.eps[1].seen->str, "Last-Event-Id: 2"));
	assert_non_null(strstr(f.eps[1].seen->str, "X-Tenant: acme"));
	assert_false(anyone_saw(&f, "key-1"));
	fix_close(&f);
}

/* A key that was taken away goes on working, or one that moved. */
static void change_of_keys_is_in_force_at_once(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_keyed(&f, "web", "", OK_TEXT);
	take(&f, CONFIG("3", CUSTOMER("acme", "") "," CUSTOMER(
				     "beta", "\"key-2\",\"key-4\"")));
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, got(c, "HTTP/1.1 401 "));
	c = call(&f, GET_WITH(KEY("key-4")));
	UNTIL(&f, ends(c, "hello"));
	assert_true(anyone_saw(&f, "X-Tenant: beta"));
	take(&f, CONFIG("4", CUSTOMER("acme", "\"key-4\"")));
	c = call(&f, GET_WITH(KEY("key-4")));
	UNTIL(&f, ends(c, "hello"));
	assert_true(anyone_saw(&f, "X-Tenant: acme"));
	/* Nobody is left: that isn't "anybody may". */
	take(&f, CONFIG("5", ""));
	c = call(&f, GET_WITH(KEY("key-4")));
	UNTIL(&f, got(c, "HTTP/1.1 401 "));
	fix_close(&f);
}

static uint64_t waiting(struct fix *f)
{
	const struct model_demand *d;
	struct gate_report r;
	uint64_t n = 0;

	gate_report(f->gate, &r);
	d = r.m.models.items;
	for (size_t i = 0; i < r.m.models.n; i++)
		n += d[i].waiting;
	gate_report_done(&r);
	return n;
}

/* A stream is cut, or a request that waits refused, when its key goes. */
static void what_was_taken_outlives_its_key(void **state)
{
	struct caller *runs, *waits;
	struct fix f;

	(void)state;
	open_keyed(&f, "lm", "m", EVENTS);
	runs = call(&f, NIGHT(KEY("key-1")));
	UNTIL(&f, f.eps[f.at].requests == 1);
	say_events(&f, runs, 1, 1, 10);
	tell_fleet(&f, "lm", "");
	waits = call(&f, NIGHT(KEY("key-2")));
	UNTIL(&f, waiting(&f) == 1);
	take(&f, CONFIG("3", CUSTOMER("acme", "")));
	say_events(&f, runs, 2, 2, 10);
	say_end(&f, runs);
	tell_fleet(&f, "lm", "m");
	UNTIL(&f, f.eps[f.at].requests == 2);
	assert_true(anyone_saw(&f, "X-Tenant: beta"));
	leave(waits);
	fix_close(&f);
}

static void pass(struct fix *f, int64_t ms)
{
	for (; ms > 0; ms -= 100) {
		f->clock.fake_ms += MIN(ms, 100);
		turn(f);
	}
}

/* 401 for a new key, by an entry that was told of a newer version. */
static void entry_that_is_behind_denies_no_key(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_keyed(&f, "web", "", OK_TEXT);
	gate_routing_told(f.gate, 3);
	c = call(&f, GET_WITH(KEY("key-5")));
	pass(&f, 300);
	assert_int_equal(c->got->len, 0);
	take(&f, CONFIG("3", CUSTOMER("acme", "\"key-5\"")));
	UNTIL(&f, ends(c, "hello"));
	/* Now it is known. */
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, got(c, "HTTP/1.1 401 "));
	fix_close(&f);
}

/* A key that was taken away works for ever at an entry that is behind. */
static void entry_that_stays_behind_takes_no_key(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_keyed(&f, "web", "", OK_TEXT);
	gate_routing_told(f.gate, 3);
	pass(&f, FRESHNESS_TAKE_MS + FRESHNESS_HOLD_MS + 100);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "not_run"));
	fix_close(&f);
}

/* A key that was taken away works at an entry that is cut off. */
static void keys_are_trusted_for_so_long(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open_with(&f, &(struct fix_options){ .keys_trust_ms = 2000 });
	tell_fleet(&f, "web", "");
	take(&f, CONFIG("2", TWO));
	script(&f, 0, OK_TEXT, false, false);
	script(&f, 1, OK_TEXT, false, false);
	gate_routing_told(f.gate, 2);
	gate_leader_lost(f.gate);
	pass(&f, 1500);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, ends(c, "hello"));
	pass(&f, 1000);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	c = call(&f, REQ("GET", "/free/x") "\r\n");
	UNTIL(&f, ends(c, "hello"));
	gate_routing_told(f.gate, 2);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, ends(c, "hello"));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(endpoint_is_told_whose_it_is),
		cmocka_unit_test(each_request_has_its_own_key),
		cmocka_unit_test(resumed_stream_carries_no_key),
		cmocka_unit_test(change_of_keys_is_in_force_at_once),
		cmocka_unit_test(what_was_taken_outlives_its_key),
		cmocka_unit_test(entry_that_is_behind_denies_no_key),
		cmocka_unit_test(entry_that_stays_behind_takes_no_key),
		cmocka_unit_test(keys_are_trusted_for_so_long),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
