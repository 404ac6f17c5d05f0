/* What callers get of a customer's limit at a gate. */
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

/* Routes of an urgent class and of a patient one. */
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

/* A gate with the place that hands out its customers' allotments. */
struct limited {
	struct fix f;
	void *place;
	struct routing *r;
	int asks;
};

static void limited_open(struct limited *l, const char *config,
			 const char *service, const char *model)
{
	struct quota_options o = { { 8, 0.1, 1000 } };

	fix_open(&l->f, service, model);
	l->r = routing_read(users_platform.routing, ss_str(config), NULL);
	assert_non_null(l->r);
	gate_set_routing(l->f.gate, l->r);
	l->place = quota_lease.place_new(&o, l->f.clock.fake_ms);
	l->asks = 0;
	/* It counts no more what others may spend, and has a whole burst. */
	for (int i = 0; i < 70; i++) {
		l->f.clock.fake_ms += 100;
		turn(&l->f);
	}
	tell_fleet(&l->f, service, model);
	gate_leader_found(l->f.gate);
}

static void limited_close(struct limited *l)
{
	quota_lease.place_free(l->place);
	routing_unref(l->r);
	fix_close(&l->f);
}

static void talk(struct limited *l)
{
	GArray *asks = g_array_new(FALSE, FALSE, sizeof(struct quota_ask));
	GArray *words = g_array_new(FALSE, FALSE, sizeof(struct quota_word));
	struct msg_quota_word m;

	gate_quota_asks(l->f.gate, asks);
	for (guint i = 0; i < asks->len; i++) {
		const struct quota_ask *a =
			&g_array_index(asks, struct quota_ask, i);
		char *name = ss_str_dup(a->customer);
		struct quota_word w;

		quota_lease.place_ask(l->place, 1,
				      customers_named(&l->r->customers, name),
				      a, l->f.clock.fake_ms, &w);
		g_array_append_val(words, w);
		g_free(name);
		l->asks++;
	}
	m.words = (struct wire_list){ words->data, words->len };
	gate_take_quota(l->f.gate, &m);
	g_array_unref(asks);
	g_array_unref(words);
}

/* Run until the condition holds, while the place answers. */
#define TALK_UNTIL(l, cond) UNTIL(&(l)->f, (talk(l), cond))

static void script_both(struct limited *l, const char *text)
{
	script(&l->f, 0, text, false, false);
	script(&l->f, 1, text, false, false);
}

static int ran(const struct limited *l)
{
	return l->f.eps[0].requests + l->f.eps[1].requests;
}

/* A customer without a limit waits for an allotment. */
static void customer_without_a_limit_asks_for_nothing(void **state)
{
	struct limited l;
	struct caller *c;

	(void)state;
	limited_open(&l, CONFIG(ACME("1000") "," FREE), "web", "");
	script_both(&l, OK_TEXT);
	c = call(&l.f, GET_KEY("key-2"));
	UNTIL(&l.f, ends(c, "hello"));
	talk(&l);
	assert_int_equal(l.asks, 0);
	limited_close(&l);
}

/* A request runs before there is an allotment, or is refused for want of it. */
static void request_waits_for_its_allotment(void **state)
{
	struct limited l;
	struct caller *c;

	(void)state;
	limited_open(&l, CONFIG(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	c = call(&l.f, GET_KEY("key-1"));
	UNTIL(&l.f, gate_busy(l.f.gate) > 0);
	for (int i = 0; i < 20; i++)
		turn(&l.f);
	assert_int_equal(ran(&l), 0);
	TALK_UNTIL(&l, ends(c, "hello"));
	limited_close(&l);
}

/* Beyond the limit a request runs, or waits until its deadline. */
static void refused_at_once_with_a_time(void **state)
{
	struct limited l;
	struct caller *c;
	const char *at;
	double s;

	(void)state;
	limited_open(&l, CONFIG(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	/* More than the burst, which is there whole: a debt of two seconds. */
	c = call(&l.f, REQ("GET", "/safe/x") "Authorization: Bearer key-1\r\n"
					     "X-Token-Usage: 2000,400\r\n\r\n");
	TALK_UNTIL(&l, ends(c, "hello"));
	c = call(&l.f, GET_KEY("key-1"));
	TALK_UNTIL(&l, got(c, "\r\n\r\n"));
	assert_true(got(c, "HTTP/1.1 429 "));
	assert_true(got(c, "\"type\":\"quota\""));
	assert_true(got(c, "\"outcome\":\"not_run\""));
	at = strstr(c->got->str, "Retry-After: ");
	assert_non_null(at);
	s = g_ascii_strtod(at + strlen("Retry-After: "), NULL);
	assert_true(s >= 1.5 && s <= 2.5);
	assert_int_equal(ran(&l), 1);
	/* Then it is true. */
	l.f.clock.fake_ms += 2500;
	c = call(&l.f, GET_KEY("key-1"));
	TALK_UNTIL(&l, ends(c, "hello"));
	limited_close(&l);
}

/* The tokens of a request that hasn't run are gone. */
static void refused_request_gets_its_tokens_back(void **state)
{
	struct caller *c;
	struct limited l;

	(void)state;
	limited_open(&l, CONFIG(ACME("1000")), "lm", "");
	script_both(&l, OK_TEXT);
	/* Nobody has the model: it is taken, waits, and its stop refuses it. */
	c = call(&l.f, NIGHT_COST("300,100"));
	for (int i = 0; i < 50; i++) {
		talk(&l);
		turn(&l.f);
	}
	assert_int_equal(c->got->len, 0);
	gate_drain(l.f.gate, l.f.clock.fake_ms + 1);
	UNTIL(&l.f, got(c, "HTTP/1.1 503 "));
	assert_int_equal(ran(&l), 0);
	limited_close(&l);
}

/* Hundreds of customers make thousands of metrics. */
static void metrics_by_customer_are_bounded(void **state)
{
	GString *config = g_string_new(ACME("1000")), *text;
	struct limited l;
	char *all;

	(void)state;
	for (int i = 0; i < 230; i++)
		g_string_append_printf(
			config, ",{\"name\":\"c%d\",\"keys\":[\"k%d\"]}", i, i);
	all = g_strdup_printf("%s%s]}", CONFIG_HEAD, config->str);
	limited_open(&l, all, "web", "");
	script_both(&l, OK_TEXT);
	for (int i = 0; i < 230; i++) {
		char *q = g_strdup_printf(REQ("GET", "/safe/x") "Authorization:"
								" Bearer k%d"
								"\r\n\r\n",
					  i);
		struct caller *c = call(&l.f, q);

		UNTIL(&l.f, ends(c, "hello"));
		leave(c);
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
	limited_close(&l);
}

/* A caller who leaves blocks those behind it for ever. */
static void those_behind_one_who_left_go_on(void **state)
{
	struct caller *first, *second;
	struct limited l;

	(void)state;
	limited_open(&l, CONFIG(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	first = call(&l.f, GET_KEY("key-1"));
	UNTIL(&l.f, gate_busy(l.f.gate) > 0);
	second = call(&l.f, GET_KEY("key-1"));
	for (int i = 0; i < 20; i++)
		turn(&l.f);
	leave(first);
	for (int i = 0; i < 20; i++)
		turn(&l.f);
	TALK_UNTIL(&l, ends(second, "hello"));
	assert_int_equal(ran(&l), 1);
	limited_close(&l);
}

/* An entry without a leader holds a request until its caller leaves. */
static void entry_alone_says_so_in_time(void **state)
{
	struct caller *c;
	struct limited l;

	(void)state;
	limited_open(&l, CONFIG(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	gate_leader_lost(l.f.gate);
	c = call(&l.f, GET_KEY("key-1"));
	for (int i = 0; i < 25 && !c->got->len; i++) {
		l.f.clock.fake_ms += 100;
		turn(&l.f);
	}
	UNTIL(&l.f, got(c, "HTTP/1.1 429 "));
	assert_true(got(c, "Retry-After: "));
	/* The next is told at once. */
	c = call(&l.f, GET_KEY("key-1"));
	UNTIL(&l.f, got(c, "HTTP/1.1 429 "));
	assert_int_equal(ran(&l), 0);
	gate_leader_found(l.f.gate);
	c = call(&l.f, GET_KEY("key-1"));
	TALK_UNTIL(&l, ends(c, "hello"));
	limited_close(&l);
}

/* A stream that is resumed at another endpoint is charged once more. */
static void second_try_costs_nothing(void **state)
{
	struct caller *c;
	struct limited l;
	double held;

	(void)state;
	limited_open(&l, CONFIG(ACME("100000")), "lm", "m");
	script_both(&l, EVENTS);
	c = call(&l.f, NIGHT_COST("300,100"));
	TALK_UNTIL(&l, l.f.eps[l.f.at].requests == 1);
	say_events(&l.f, c, 1, 2, 10);
	talk(&l);
	held = l.asks;
	end_endpoint(&l.f, 0);
	UNTIL(&l.f, l.f.eps[1].requests == 1);
	talk(&l);
	assert_true(l.asks - held <= 1);
	limited_close(&l);
}

/* Patient requests that wait take what is granted for an urgent one that came
 * later, and operators can't see what each class has spent. */
static void urgent_request_goes_before_patient_ones(void **state)
{
	struct caller *large, *patient, *urgent;
	struct limited l;
	GString *text;

	(void)state;
	limited_open(&l, CLASSES(ACME("1000")), "web", "");
	script_both(&l, OK_TEXT);
	/* More than is there at once: a debt of some 0.3 s. */
	large = call(&l.f, GET_COST("/safe/x", "800,0"));
	TALK_UNTIL(&l, ends(large, "hello"));
	patient = call(&l.f, GET_COST("/late/x", "300,0"));
	UNTIL(&l.f, gate_busy(l.f.gate) > 0);
	for (int i = 0; i < 20; i++)
		turn(&l.f);
	urgent = call(&l.f, GET_COST("/safe/x", "100,0"));
	for (int i = 0; i < 100 && !ends(urgent, "hello"); i++) {
		l.f.clock.fake_ms += 10;
		talk(&l);
		turn(&l.f);
	}
	assert_true(ends(urgent, "hello"));
	assert_int_equal(patient->got->len, 0);
	for (int i = 0; i < 500 && !ends(patient, "hello"); i++) {
		l.f.clock.fake_ms += 10;
		talk(&l);
		turn(&l.f);
	}
	assert_true(ends(patient, "hello"));
	text = g_string_new(NULL);
	metrics_print(l.f.metrics, text);
	assert_non_null(strstr(
		text->str, "ss_gate_quota_class_spent_total{class=\"0\"} 900"));
	assert_non_null(strstr(
		text->str, "ss_gate_quota_class_spent_total{class=\"2\"} 300"));
	g_string_free(text, TRUE);
	limited_close(&l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(customer_without_a_limit_asks_for_nothing),
		cmocka_unit_test(request_waits_for_its_allotment),
		cmocka_unit_test(refused_at_once_with_a_time),
		cmocka_unit_test(refused_request_gets_its_tokens_back),
		cmocka_unit_test(metrics_by_customer_are_bounded),
		cmocka_unit_test(those_behind_one_who_left_go_on),
		cmocka_unit_test(entry_alone_says_so_in_time),
		cmocka_unit_test(second_try_costs_nothing),
		cmocka_unit_test(urgent_request_goes_before_patient_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
