/* Retry-After of requests that a gate refuses. */
#include "gate_fix.h"

#define BURST 30
/* Each request costs 200 units; the limit allows 20 requests a second. */
#define CONFIG                                                                 \
	"{\"version\":2,\"routes\":["                                          \
	"{\"name\":\"safe\",\"host\":\"h\",\"prefix\":\"/safe/\","             \
	"\"type\":\"safe\",\"timeoutMs\":9000,\"goalMs\":300,\"attempts\":2,"  \
	"\"service\":\"web\"}],\"services\":[{\"name\":\"web\"}],"             \
	"\"tenants\":[" CUSTOMER("acme", "key-1") "," CUSTOMER("free",         \
							       "key-2") "]}"
#define CUSTOMER(name, key)                                                    \
	"{\"name\":\"" name "\",\"keys\":[\"" key "\"],\"unit\":\"token\","    \
	"\"rawTokens\":200,\"ratePerS\":4000,\"burst\":4000}"
#define GET_KEY(k) REQ("GET", "/safe/x") "Authorization: Bearer " k "\r\n\r\n"

static double retry_after(const struct caller *c)
{
	const char *at = strstr(c->got->str, "Retry-After: ");

	assert_non_null(at);
	return g_ascii_strtod(at + strlen("Retry-After: "), NULL);
}

static uint64_t count(struct fix *f, const char *name)
{
	return *metrics_value(f->metrics, name, "");
}

/* Collects the gate's requests for grants, as a leader does. number: of the
 * latest one; false: there was none yet. */
static bool take_requests(struct fix *f, uint64_t *number)
{
	GArray *grant_requests =
		g_array_new(FALSE, FALSE, sizeof(struct quota_request));

	gate_quota_requests(f->gate, grant_requests);
	for (guint i = 0; i < grant_requests->len; i++)
		*number = g_array_index(grant_requests, struct quota_request, i)
				  .number;
	g_array_unref(grant_requests);
	return *number > 0;
}

/* Grants a customer enough for this number of requests, and more in 400 ms. */
static void grant(struct fix *f, const char *customer, int requests,
		  uint64_t *number)
{
	struct quota_reply w = { .customer = ss_str(customer),
				 .grant = 200 * requests * QUOTA_MILLI,
				 .retry_after_ms = 400 };
	struct msg_quota_reply m = { .replies = { &w, 1 } };

	take_requests(f, number);
	w.number = *number;
	gate_quota_reply_received(f->gate, &m);
}

static struct caller *refused(struct fix *f, const char *text)
{
	struct caller *c = call(f, text);

	UNTIL(f, has_received(c, "\r\n\r\n"));
	assert_true(has_received(c, "HTTP/1.1 429 "));
	return c;
}

static void open_limited(struct fix *f)
{
	fix_open(f, "web", "");
	set_routing(f, CONFIG);
	gate_leader_found(f->gate);
	/* By now requests no longer wait as after a change of leader. */
	f->clock.fake_ms += 3000;
	script_answer(f, 0, OK_TEXT, false, false);
	script_answer(f, 1, OK_TEXT, false, false);
}

/* Serves one request from a grant that arrives while it waits. */
static void serve(struct fix *f, const char *customer, const char *text,
		  uint64_t *number)
{
	struct caller *c = call(f, text);

	UNTIL(f, take_requests(f, number));
	grant(f, customer, 1, number);
	UNTIL(f, received_ends_with(c, "hello"));
}

/* Sends requests for one second; every other one is over the limit. */
static void exceed_limit(struct fix *f, uint64_t *number)
{
	for (int i = 0; i < 20; i++) {
		struct caller *c;

		f->clock.fake_ms += 50;
		grant(f, "acme", 1, number);
		c = call(f, GET_KEY("key-1"));
		UNTIL(f, received_ends_with(c, "hello"));
		refused(f, GET_KEY("key-1"));
	}
}

/* Failure: a customer's refused callers return at the same moment, and most are
 * refused again; callers of another customer are delayed as well. */
static void callers_over_a_limit_get_slots(void **state)
{
	double last = 0, s;
	uint64_t number = 0, other = 0;
	int early = 0;
	struct fix f;

	(void)state;
	open_limited(&f);
	serve(&f, "acme", GET_KEY("key-1"), &number);
	/* No rate is known yet: the Retry-After is that of a single caller. */
	s = retry_after(refused(&f, GET_KEY("key-1")));
	assert_true(s >= 0.4 && s < 0.7);
	assert_int_equal(count(&f, "ss_gate_turns_given_total"), 0);
	exceed_limit(&f, &number);
	for (int i = 0; i < BURST; i++) {
		s = retry_after(refused(&f, GET_KEY("key-1")));
		early += s < 0.9;
		last = MAX(last, s);
	}
	assert_in_range(early, 5, 15);
	assert_true(last > 1.5 && last < 2.5);
	assert_true(count(&f, "ss_gate_turns_given_total") >= BURST);
	assert_int_equal(count(&f, "ss_gate_turns_beyond_total"), 0);
	serve(&f, "free", GET_KEY("key-2"), &other);
	s = retry_after(refused(&f, GET_KEY("key-2")));
	assert_true(s >= 0.4 && s < 0.7);
	fix_close(&f);
}

static void report_running(struct fix *f, int64_t running, int64_t eta_ms)
{
	struct held_model held = { .model = SS_LIT("m") };
	struct fleet_endpoint e = { .addr = ss_str(f->eps[0].addr),
				    .id = ss_str(f->eps[0].id),
				    .service = SS_LIT("lm"),
				    .domain = SS_LIT("here"),
				    .slots = 8,
				    .running = running,
				    .tokens_total = 1000,
				    .held = { &held, eta_ms < 0 ? 1 : 0 } };
	struct fleet_eta eta = { .service = SS_LIT("lm"),
				 .model = SS_LIT("m"),
				 .eta_ms = eta_ms };
	struct msg_fleet m = { .fence = 1,
			       .full = true,
			       .endpoints = { &e, 1 },
			       .etas = { &eta, 1 } };

	gate_fleet_received(f->gate, &m);
}

/* Lets n callers wait for a full model until they are refused. */
static void refuse_full(struct fix *f, struct caller **c, int n)
{
	report_running(f, 8, -1);
	for (int i = 0; i < n; i++)
		c[i] = call(f, POST_BRIEF);
	UNTIL(f, count(f, "ss_gate_waiting") == (uint64_t)n);
	f->clock.fake_ms += 1700;
	for (int i = 0; i < n; i++)
		UNTIL(f, has_received(c[i], "HTTP/1.1 503 "));
}

/* Failure: callers that a full model refuses return at the same moment, and
 * callers of a model that is to be loaded return before it is. */
static void callers_of_a_full_model_get_slots(void **state)
{
	struct caller *c[BURST];
	double last = 0, s;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, OK_TEXT, false, false);
	refuse_full(&f, c, 1);
	s = retry_after(c[0]);
	assert_true(s >= 0.4 && s < 0.6);
	for (int i = 0; i < 20; i++) {
		f.clock.fake_ms += 40;
		report_running(&f, 1, -1);
		c[0] = call(&f, POST_BRIEF);
		UNTIL(&f, received_ends_with(c[0], "hello"));
	}
	refuse_full(&f, c, BURST);
	for (int i = 0; i < BURST; i++)
		last = MAX(last, retry_after(c[i]));
	assert_true(last > 1.2 && last < 2.2);
	/* The model isn't held any more, and is being loaded. */
	report_running(&f, 0, 2500);
	c[0] = call(&f, POST_BRIEF);
	UNTIL(&f, has_received(c[0], "HTTP/1.1 503 "));
	s = retry_after(c[0]);
	assert_true(s >= 2.6 && s < 2.9);
	fix_close(&f);
}

/* Failure: the log line of a request with long fields loses its last fields. */
static void long_line_keeps_its_last_field(void **state)
{
	char *id = g_strnfill(500, 'i'), *text;
	char *request = g_strdup_printf("POST /chat/x HTTP/1.1\r\nHost: h\r\n"
					"X-Request-Id: %s\r\nX-Model: zz\r\n"
					"Content-Length: 0\r\n\r\n",
					id);
	struct log_capture log;
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	log_capture_begin(&log);
	c = call(&f, request);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	text = log_capture_end(&log);
	assert_non_null(strstr(text,
			       " back_ms=0 why=\"the routing in force has "
			       "no such model\"\n"));
	fix_close(&f);
	g_free(request);
	g_free(text);
	g_free(id);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(callers_over_a_limit_get_slots),
		cmocka_unit_test(callers_of_a_full_model_get_slots),
		cmocka_unit_test(long_line_keeps_its_last_field),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
