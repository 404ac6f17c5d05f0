/* How a request's key determines its customer, and what an endpoint receives of
 * both. */
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
#define TWO_CUSTOMERS                                                          \
	CUSTOMER("acme", "\"key-1\"") "," CUSTOMER("beta", "\"key-2\"")
#define KEY(k) "Authorization: Bearer " k "\r\n"
#define GET_WITH(headers) REQ("GET", "/safe/x") headers "\r\n"
#define NIGHT(key)                                                             \
	REQ("POST", "/night/x") key "X-Model: m\r\nContent-Length: 0\r\n\r\n"

static void apply_config(struct fix *f, const char *text)
{
	struct routing *r =
		routing_read(users_platform.routing, ss_str(text), NULL);

	assert_non_null(r);
	gate_set_routing(f->gate, r);
	routing_unref(r);
}

/* Both endpoints give the same answer to every request. */
static void open_with_keys(struct fix *f, const char *service,
			   const char *model, const char *answer)
{
	fix_open(f, service, model);
	apply_config(f, CONFIG("2", TWO_CUSTOMERS));
	script_answer(f, 0, answer, false, false);
	script_answer(f, 1, answer, false, false);
}

static bool any_endpoint_saw(const struct fix *f, const char *text)
{
	return strstr(f->eps[0].seen->str, text) ||
	       strstr(f->eps[1].seen->str, text);
}

static const struct {
	const char *label, *request, *status;
	const char *customer; /* sent to the endpoint; NULL: no request is */
} requests[] = {
	{ "a key", GET_WITH(KEY("key-1")), "200", "acme" },
	{ "another customer's key", GET_WITH(KEY("key-2")), "200", "beta" },
	{ "a scheme in capitals", GET_WITH("authorization: BEARER  key-2 \r\n"),
	  "200", "beta" },
	{ "a caller that names a customer",
	  GET_WITH(KEY("key-1") "X-Tenant: beta\r\n"), "200", "acme" },
	{ "no key", GET_WITH(""), "401", NULL },
	{ "an unknown key", GET_WITH(KEY("key-3")), "401", NULL },
	{ "a prefix of a key", GET_WITH(KEY("key-")), "401", NULL },
	{ "another scheme", GET_WITH("Authorization: Basic key-1\r\n"), "401",
	  NULL },
	{ "a scheme without a key", GET_WITH("Authorization: Bearer\r\n"),
	  "401", NULL },
	{ "a key that isn't ASCII",
	  GET_WITH("Authorization: Bearer k\xc3\xa9y-1\r\n"), "401", NULL },
	{ "two keys", GET_WITH(KEY("key-1") KEY("key-2")), "400", NULL },
	{ "one key twice", GET_WITH(KEY("key-1") KEY("key-1")), "400", NULL },
	{ "a public route", REQ("GET", "/free/x") "\r\n", "200", "" },
	{ "a public route, by a known customer",
	  REQ("GET", "/free/x") KEY("key-1") "\r\n", "200", "acme" },
	{ "a public route, with an unknown key",
	  REQ("GET", "/free/x") KEY("key-3") "X-Tenant: acme\r\n\r\n", "200",
	  "" },
};

/* Guards against a key that is passed on to an endpoint, and against a customer
 * name that the caller chose itself. */
static void endpoint_gets_customer_name_but_no_key(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		char *status =
			g_strdup_printf("HTTP/1.1 %s ", requests[i].status);
		const char *customer = requests[i].customer;
		struct caller *c;
		struct fix f;

		open_with_keys(&f, "web", "", OK_TEXT);
		c = call(&f, requests[i].request);
		UNTIL(&f, has_received(c, "\r\n\r\n"));
		if (!has_received(c, status))
			fail_msg("%s: %s", requests[i].label, c->got->str);
		if (any_endpoint_saw(&f, "key-") ||
		    any_endpoint_saw(&f, "uthorization"))
			fail_msg("%s: the key was passed on",
				 requests[i].label);
		if (!customer || !*customer) {
			if (any_endpoint_saw(&f, "X-Tenant"))
				fail_msg("%s: a customer name was sent",
					 requests[i].label);
		} else {
			char *line = g_strdup_printf("\r\nX-Tenant: %s\r\n",
						     customer);

			if (!any_endpoint_saw(&f, line))
				fail_msg("%s: no customer name was sent",
					 requests[i].label);
			g_free(line);
		}
		if (!customer && f.eps[0].requests + f.eps[1].requests)
			fail_msg("%s: the request was sent", requests[i].label);
		g_free(status);
		fix_close(&f);
	}
}

/* Guards against the first key on a persistent connection being used for the
 * later requests on it. */
static void each_request_has_its_own_key(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_with_keys(&f, "web", "", OK_TEXT);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, received_ends_with(c, "hello"));
	assert_true(any_endpoint_saw(&f, "X-Tenant: acme"));
	g_string_truncate(c->got, 0);
	bufferevent_write(c->bev, GET_WITH(KEY("key-2")),
			  strlen(GET_WITH(KEY("key-2"))));
	UNTIL(&f, received_ends_with(c, "hello"));
	assert_true(any_endpoint_saw(&f, "X-Tenant: beta"));
	g_string_truncate(c->got, 0);
	bufferevent_write(c->bev, GET_WITH(KEY("key-9")),
			  strlen(GET_WITH(KEY("key-9"))));
	UNTIL(&f, has_received(c, "HTTP/1.1 401 "));
	fix_close(&f);
}

/* Guards against a key that is passed on when a stream is resumed. */
static void resumed_stream_carries_no_key(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	apply_config(&f, CONFIG("2", TWO_CUSTOMERS));
	script_answer(&f, 0, EVENTS, false, false);
	script_answer(&f, 1, EVENTS, false, false);
	c = call(&f, NIGHT(KEY("key-1")));
	UNTIL(&f, f.eps[f.at].requests == 1);
	send_events(&f, c, 1, 2, 10);
	crash_endpoint(&f, 0);
	UNTIL(&f, f.eps[1].requests == 1);
	assert_non_null(strstr(f.eps[1].seen->str, "Last-Event-Id: 2"));
	assert_non_null(strstr(f.eps[1].seen->str, "X-Tenant: acme"));
	assert_false(any_endpoint_saw(&f, "key-1"));
	fix_close(&f);
}

/* Guards against a key that still works after it was revoked, or that still
 * counts for its former customer after it was moved. */
static void key_changes_apply_immediately(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_with_keys(&f, "web", "", OK_TEXT);
	apply_config(&f, CONFIG("3", CUSTOMER("acme", "") "," CUSTOMER(
					     "beta", "\"key-2\",\"key-4\"")));
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, has_received(c, "HTTP/1.1 401 "));
	c = call(&f, GET_WITH(KEY("key-4")));
	UNTIL(&f, received_ends_with(c, "hello"));
	assert_true(any_endpoint_saw(&f, "X-Tenant: beta"));
	apply_config(&f, CONFIG("4", CUSTOMER("acme", "\"key-4\"")));
	c = call(&f, GET_WITH(KEY("key-4")));
	UNTIL(&f, received_ends_with(c, "hello"));
	assert_true(any_endpoint_saw(&f, "X-Tenant: acme"));
	/* No customers doesn't mean that every caller is accepted. */
	apply_config(&f, CONFIG("5", ""));
	c = call(&f, GET_WITH(KEY("key-4")));
	UNTIL(&f, has_received(c, "HTTP/1.1 401 "));
	fix_close(&f);
}

static uint64_t count_waiting(struct fix *f)
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

/* Guards against a stream that is cut, or a waiting request that is refused,
 * when its key is revoked. */
static void accepted_request_outlives_its_key(void **state)
{
	struct caller *runs, *waits;
	struct fix f;

	(void)state;
	open_with_keys(&f, "lm", "m", EVENTS);
	runs = call(&f, NIGHT(KEY("key-1")));
	UNTIL(&f, f.eps[f.at].requests == 1);
	send_events(&f, runs, 1, 1, 10);
	report_fleet(&f, "lm", "");
	waits = call(&f, NIGHT(KEY("key-2")));
	UNTIL(&f, count_waiting(&f) == 1);
	apply_config(&f, CONFIG("3", CUSTOMER("acme", "")));
	send_events(&f, runs, 2, 2, 10);
	send_stream_end(&f, runs);
	report_fleet(&f, "lm", "m");
	UNTIL(&f, f.eps[f.at].requests == 2);
	assert_true(any_endpoint_saw(&f, "X-Tenant: beta"));
	caller_leave(waits);
	fix_close(&f);
}

static void advance_clock(struct fix *f, int64_t ms)
{
	for (; ms > 0; ms -= 100) {
		f->clock.fake_ms += MIN(ms, 100);
		run_loop_once(f);
	}
}

/* Guards against a 401 for a new key by an entry that knows of a newer routing
 * version but doesn't have it yet. */
static void outdated_entry_rejects_no_key(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_with_keys(&f, "web", "", OK_TEXT);
	gate_routing_version_received(f.gate, 3);
	c = call(&f, GET_WITH(KEY("key-5")));
	advance_clock(&f, 300);
	assert_int_equal(c->got->len, 0);
	apply_config(&f, CONFIG("3", CUSTOMER("acme", "\"key-5\"")));
	UNTIL(&f, received_ends_with(c, "hello"));
	/* The entry is up to date, so an unknown key is rejected. */
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, has_received(c, "HTTP/1.1 401 "));
	fix_close(&f);
}

/* Guards against a revoked key that works without end at an entry whose routing
 * is outdated. */
static void entry_that_stays_outdated_accepts_no_key(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_with_keys(&f, "web", "", OK_TEXT);
	gate_routing_version_received(f.gate, 3);
	advance_clock(&f, FRESHNESS_APPLY_MS + FRESHNESS_HOLD_MS + 100);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "not_run"));
	fix_close(&f);
}

/* Guards against a revoked key that works without end at a disconnected entry:
 * keys are trusted only for keys_trust_ms after the last contact. */
static void disconnected_entry_stops_trusting_keys(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open_with(&f, &(struct fix_options){ .keys_trust_ms = 2000 });
	report_fleet(&f, "web", "");
	apply_config(&f, CONFIG("2", TWO_CUSTOMERS));
	script_answer(&f, 0, OK_TEXT, false, false);
	script_answer(&f, 1, OK_TEXT, false, false);
	gate_routing_version_received(f.gate, 2);
	gate_leader_lost(f.gate);
	advance_clock(&f, 1500);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, received_ends_with(c, "hello"));
	advance_clock(&f, 1000);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	c = call(&f, REQ("GET", "/free/x") "\r\n");
	UNTIL(&f, received_ends_with(c, "hello"));
	gate_routing_version_received(f.gate, 2);
	c = call(&f, GET_WITH(KEY("key-1")));
	UNTIL(&f, received_ends_with(c, "hello"));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(endpoint_gets_customer_name_but_no_key),
		cmocka_unit_test(each_request_has_its_own_key),
		cmocka_unit_test(resumed_stream_carries_no_key),
		cmocka_unit_test(key_changes_apply_immediately),
		cmocka_unit_test(accepted_request_outlives_its_key),
		cmocka_unit_test(outdated_entry_rejects_no_key),
		cmocka_unit_test(entry_that_stays_outdated_accepts_no_key),
		cmocka_unit_test(disconnected_entry_stops_trusting_keys),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
