/* How a gate applies a customer's limit to its callers. */
#include "gate_fix.h"

#define CONFIG(customers) CONFIG_HEAD customers "]}"
#define CONFIG_HEAD                                                            \
	"{\"version\":2,\"routes\":["                                          \
	"{\"name\":\"safe\",\"host\":\"h\",\"prefix\":\"/safe/\","             \
	"\"type\":\"safe\",\"timeoutMs\":9000,\"goalMs\":300,\"attempts\":2,"  \
	"\"service\":\"web\"},"                                                \
	"{\"name\":\"night\",\"host\":\"h\",\"prefix\":\"/night/\","           \
	"\"type\":\"stream\",\"timeoutMs\":9000,\"attempts\":2,"               \
	"\"resumable\":true,\"service\":\"lm\"}],"                             \
	"\"services\":[{\"name\":\"web\"},{\"name\":\"lm\",\"engine\":"        \
	"{\"slots\":8,\"weightsMb\":80,\"models\":[{\"name\":\"m\","           \
	"\"weightsMb\":30,\"loadS\":6}]}}],\"tenants\":["
#define ACME(per_s)                                                            \
	"{\"name\":\"acme\",\"keys\":[\"key-1\"],\"unit\":\"token\","          \
	"\"rawTokens\":200,\"ratePerS\":" per_s ",\"burst\":" per_s "}"
#define FREE "{\"name\":\"free\",\"keys\":[\"key-2\"]}"
#define GET_KEY(k) REQ("GET", "/safe/x") "Authorization: Bearer " k "\r\n\r\n"
#define NIGHT_COST(tokens)                                                     \
	REQ("POST", "/night/x")                                                \
	"Authorization: Bearer key-1\r\nX-Model: m\r\nX-Token-Usage: " tokens  \
	"\r\nContent-Length: 0\r\n\r\n"

/* A route of an urgent class, and one of a class with a long objective. */
#define CLASSES(customers)                                                     \
	"{\"version\":2,\"routes\":["                                          \
	"{\"name\":\"safe\",\"host\":\"h\",\"prefix\":\"/safe/\","             \
	"\"type\":\"safe\",\"timeoutMs\":9000,\"goalMs\":2000,\"attempts\":2," \
	"\"service\":\"web\"},"                                                \
	"{\"name\":\"late\",\"host\":\"h\",\"prefix\":\"/late/\","             \
	"\"type\":\"safe\",\"timeoutMs\":9000,\"goalMs\":8000,\"attempts\":2," \
	"\"priority\":2,\"service\":\"web\"}],"                                \
	"\"services\":[{\"name\":\"web\"}],\"tenants\":[" customers "]}"
#define GET_COST(path, tokens)                                                 \
	REQ("GET", path)                                                       \
	"Authorization: Bearer key-1\r\nX-Token-Usage: " tokens "\r\n\r\n"

/* A gate with the allocator of its customers' limits. */
struct quota_fix {
	struct fix f;
	void *allocator;
	struct routing *r;
	int requests;
};

static void quota_fix_open(struct quota_fix *l, const char *config,
			   const char *service, const char *model)
{
	struct quota_options o = {
		.overage = { .window_s = 8, .ratio = 0.1, .extra = 1000 }
	};

	fix_open(&l->f, service, model);
	l->r = routing_read(users_platform.routing, ss_str(config), NULL);
	assert_non_null(l->r);
	gate_set_routing(l->f.gate, l->r);
	l->allocator = quota_lease.allocator_new(&o, l->f.clock.fake_ms);
	l->requests = 0;
	/* The allocator no longer reserves what others may have been granted
	 * before, and a whole burst is available. */
	for (int i = 0; i < 70; i++) {
		l->f.clock.fake_ms += 100;
		run_loop_once(&l->f);
	}
	report_fleet(&l->f, service, model);
	gate_leader_found(l->f.gate);
}

static void quota_fix_close(struct quota_fix *l)
{
	quota_lease.allocator_free(l->allocator);
	routing_unref(l->r);
	fix_close(&l->f);
}

static void exchange_grants(struct quota_fix *l)
{
	GArray *requests =
		g_array_new(FALSE, FALSE, sizeof(struct quota_request));
	GArray *replies = g_array_new(FALSE, FALSE, sizeof(struct quota_reply));
	struct msg_quota_reply m;

	gate_quota_requests(l->f.gate, requests);
	for (guint i = 0; i < requests->len; i++) {
		const struct quota_request *a =
			&g_array_index(requests, struct quota_request, i);
		char *name = ss_str_dup(a->customer);
		struct quota_reply w;

		quota_lease.allocator_request(l->allocator, 1,
					      customers_named(&l->r->customers,
							      name),
					      a, l->f.clock.fake_ms, &w);
		g_array_append_val(replies, w);
		g_free(name);
		l->requests++;
	}
	m.replies = (struct wire_list){ replies->data, replies->len };
	gate_quota_reply_received(l->f.gate, &m);
	g_array_unref(requests);
	g_array_unref(replies);
}

/* Runs until the condition holds, while the allocator replies. */
#define EXCHANGE_UNTIL(l, cond) UNTIL(&(l)->f, (exchange_grants(l), cond))

static void script_both(struct quota_fix *l, const char *text)
{
	script_answer(&l->f, 0, text, false, false);
	script_answer(&l->f, 1, text, false, false);
}

static int count_run(const struct quota_fix *l)
{
	return l->f.eps[0].requests + l->f.eps[1].requests;
}

/* Guards against a customer without a limit that waits for a grant. */
static void unlimited_customer_requests_no_grants(void **state)
{
	struct quota_fix l;
	struct caller *c;

	(void)state;
	quota_fix_open(&l, CONFIG(ACME("1000") "," FREE), "web", "");
	script_both(&l, OK_TEXT);
	c = call(&l.f, GET_KEY("key-2"));
	UNTIL(&l.f, received_ends_with(c, "hello"));
	exchange_grants(&l);
	assert_int_equal(l.requests, 0);
	quota_fix_close(&l);
}

/* Guards against a request that runs before it is granted, or is refused
 * because the grant hasn't come yet. */
static void request_waits_for_its_grant(void **state)
{
	struct quota_fix l;
	struct caller *c;

	(void)state;
	quota_fix_open(&l, CONFIG(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	c = call(&l.f, GET_KEY("key-1"));
	UNTIL(&l.f, gate_busy(l.f.gate) > 0);
	for (int i = 0; i < 20; i++)
		run_loop_once(&l.f);
	assert_int_equal(count_run(&l), 0);
	EXCHANGE_UNTIL(&l, received_ends_with(c, "hello"));
	quota_fix_close(&l);
}

/* Guards against a request beyond the limit that runs, or waits until its
 * deadline. */
static void refused_immediately_with_retry_after(void **state)
{
	struct quota_fix l;
	struct caller *c;
	const char *at;
	double s;

	(void)state;
	quota_fix_open(&l, CONFIG(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	/* Costs more than the whole burst: a debt of two seconds. */
	c = call(&l.f, REQ("GET", "/safe/x") "Authorization: Bearer key-1\r\n"
					     "X-Token-Usage: 2000,400\r\n\r\n");
	EXCHANGE_UNTIL(&l, received_ends_with(c, "hello"));
	c = call(&l.f, GET_KEY("key-1"));
	EXCHANGE_UNTIL(&l, has_received(c, "\r\n\r\n"));
	assert_true(has_received(c, "HTTP/1.1 429 "));
	assert_true(has_received(c, "\"type\":\"quota\""));
	assert_true(has_received(c, "\"outcome\":\"not_run\""));
	at = strstr(c->got->str, "Retry-After: ");
	assert_non_null(at);
	s = g_ascii_strtod(at + strlen("Retry-After: "), NULL);
	assert_true(s >= 1.5 && s <= 2.5);
	assert_int_equal(count_run(&l), 1);
	/* A caller that returns after that time is served. */
	l.f.clock.fake_ms += 2500;
	c = call(&l.f, GET_KEY("key-1"));
	EXCHANGE_UNTIL(&l, received_ends_with(c, "hello"));
	quota_fix_close(&l);
}

/* Guards against tokens that are lost with a request that hasn't run. */
static void refused_request_is_refunded(void **state)
{
	struct caller *c;
	struct quota_fix l;

	(void)state;
	quota_fix_open(&l, CONFIG(ACME("1000")), "lm", "");
	script_both(&l, OK_TEXT);
	/* No endpoint has the model: the request is charged, waits, and is
	 * refused when the planned stop begins. */
	c = call(&l.f, NIGHT_COST("300,100"));
	for (int i = 0; i < 50; i++) {
		exchange_grants(&l);
		run_loop_once(&l.f);
	}
	assert_int_equal(c->got->len, 0);
	gate_drain(l.f.gate, l.f.clock.fake_ms + 1);
	UNTIL(&l.f, has_received(c, "HTTP/1.1 503 "));
	assert_int_equal(count_run(&l), 0);
	quota_fix_close(&l);
}

/* Guards against thousands of metrics for hundreds of customers. */
static void metrics_by_customer_are_bounded(void **state)
{
	GString *config = g_string_new(ACME("1000")), *text;
	struct quota_fix l;
	char *all;

	(void)state;
	for (int i = 0; i < 230; i++)
		g_string_append_printf(
			config, ",{\"name\":\"c%d\",\"keys\":[\"k%d\"]}", i, i);
	all = g_strdup_printf("%s%s]}", CONFIG_HEAD, config->str);
	quota_fix_open(&l, all, "web", "");
	script_both(&l, OK_TEXT);
	for (int i = 0; i < 230; i++) {
		char *q = g_strdup_printf(REQ("GET", "/safe/x") "Authorization:"
								" Bearer k%d"
								"\r\n\r\n",
					  i);
		struct caller *c = call(&l.f, q);

		UNTIL(&l.f, received_ends_with(c, "hello"));
		caller_leave(c);
		g_free(q);
	}
	text = g_string_new(NULL);
	metrics_print(l.f.metrics, text);
	assert_non_null(strstr(text->str, "{customer=\"c7\"} 1\n"));
	assert_non_null(strstr(text->str, "{customer=\"\"} 30\n"));
	assert_null(strstr(text->str, "c229"));
	assert_null(strstr(text->str, "k7"));
	g_string_free(text, TRUE);
	g_string_free(config, TRUE);
	g_free(all);
	quota_fix_close(&l);
}

/* Guards against a cancelled request that blocks those behind it. */
static void cancelled_request_does_not_block_others(void **state)
{
	struct caller *first, *second;
	struct quota_fix l;

	(void)state;
	quota_fix_open(&l, CONFIG(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	first = call(&l.f, GET_KEY("key-1"));
	UNTIL(&l.f, gate_busy(l.f.gate) > 0);
	second = call(&l.f, GET_KEY("key-1"));
	for (int i = 0; i < 20; i++)
		run_loop_once(&l.f);
	caller_leave(first);
	for (int i = 0; i < 20; i++)
		run_loop_once(&l.f);
	EXCHANGE_UNTIL(&l, received_ends_with(second, "hello"));
	assert_int_equal(count_run(&l), 1);
	quota_fix_close(&l);
}

/* Guards against a disconnected entry that holds a request until its caller
 * leaves. */
static void disconnected_entry_refuses_in_time(void **state)
{
	struct caller *c;
	struct quota_fix l;

	(void)state;
	quota_fix_open(&l, CONFIG(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	gate_leader_lost(l.f.gate);
	c = call(&l.f, GET_KEY("key-1"));
	for (int i = 0; i < 25 && !c->got->len; i++) {
		l.f.clock.fake_ms += 100;
		run_loop_once(&l.f);
	}
	UNTIL(&l.f, has_received(c, "HTTP/1.1 429 "));
	assert_true(has_received(c, "Retry-After: "));
	/* The next one is refused immediately. */
	c = call(&l.f, GET_KEY("key-1"));
	UNTIL(&l.f, has_received(c, "HTTP/1.1 429 "));
	assert_int_equal(count_run(&l), 0);
	gate_leader_found(l.f.gate);
	c = call(&l.f, GET_KEY("key-1"));
	EXCHANGE_UNTIL(&l, received_ends_with(c, "hello"));
	quota_fix_close(&l);
}

/* Guards against a second charge for a stream that is resumed at another
 * endpoint. */
static void resumed_stream_is_charged_once(void **state)
{
	struct caller *c;
	struct quota_fix l;
	double requests_before;

	(void)state;
	quota_fix_open(&l, CONFIG(ACME("100000")), "lm", "m");
	script_both(&l, EVENTS);
	c = call(&l.f, NIGHT_COST("300,100"));
	EXCHANGE_UNTIL(&l, l.f.eps[l.f.at].requests == 1);
	send_events(&l.f, c, 1, 2, 10);
	exchange_grants(&l);
	requests_before = l.requests;
	crash_endpoint(&l.f, 0);
	UNTIL(&l.f, l.f.eps[1].requests == 1);
	exchange_grants(&l);
	assert_true(l.requests - requests_before <= 1);
	quota_fix_close(&l);
}

/* Guards against waiting requests with a long objective that use what is
 * granted for an urgent one that came later, and against missing metrics of
 * what each class has spent. */
static void urgent_class_is_served_first(void **state)
{
	struct caller *large, *patient, *urgent;
	struct quota_fix l;
	GString *text;

	(void)state;
	quota_fix_open(&l, CLASSES(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	/* Costs more than is available: a debt of about 0.3 s. */
	large = call(&l.f, GET_COST("/safe/x", "800,0"));
	EXCHANGE_UNTIL(&l, received_ends_with(large, "hello"));
	patient = call(&l.f, GET_COST("/late/x", "300,0"));
	UNTIL(&l.f, gate_busy(l.f.gate) > 0);
	for (int i = 0; i < 20; i++)
		run_loop_once(&l.f);
	urgent = call(&l.f, GET_COST("/safe/x", "100,0"));
	for (int i = 0; i < 100 && !received_ends_with(urgent, "hello"); i++) {
		l.f.clock.fake_ms += 10;
		exchange_grants(&l);
		run_loop_once(&l.f);
	}
	assert_true(received_ends_with(urgent, "hello"));
	assert_int_equal(patient->got->len, 0);
	for (int i = 0; i < 500 && !received_ends_with(patient, "hello"); i++) {
		l.f.clock.fake_ms += 10;
		exchange_grants(&l);
		run_loop_once(&l.f);
	}
	assert_true(received_ends_with(patient, "hello"));
	text = g_string_new(NULL);
	metrics_print(l.f.metrics, text);
	assert_non_null(strstr(
		text->str, "ss_gate_quota_class_spent_total{class=\"0\"} 900"));
	assert_non_null(strstr(
		text->str, "ss_gate_quota_class_spent_total{class=\"2\"} 300"));
	g_string_free(text, TRUE);
	quota_fix_close(&l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(unlimited_customer_requests_no_grants),
		cmocka_unit_test(request_waits_for_its_grant),
		cmocka_unit_test(refused_immediately_with_retry_after),
		cmocka_unit_test(refused_request_is_refunded),
		cmocka_unit_test(metrics_by_customer_are_bounded),
		cmocka_unit_test(cancelled_request_does_not_block_others),
		cmocka_unit_test(disconnected_entry_refuses_in_time),
		cmocka_unit_test(resumed_stream_is_charged_once),
		cmocka_unit_test(urgent_class_is_served_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
