/* Endpoints that ask a gate for rest, or say that they leave. */
#include "gate_fix.h"

#define REST_MS 3000
/* Of the promise: so long after its answer an endpoint that asked for rest
 * gets no more than MOST requests until the rest is over. */
#define HEARD_MS 500
#define MOST 2
/* And one that says that it leaves gets none from so long after it said so. */
#define DRAIN_MS 3000
/* So long it may go on serving what it has. */
#define LEAVES_MS 12000

#define SHED_REST                                                              \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n"         \
	"Retry-After: 3\r\nContent-Length: 0\r\n\r\n"
#define BUSY_REST                                                              \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nRetry-After: 3\r\n"            \
	"Content-Length: 0\r\n\r\n"
#define LEAVING "Server-Leaving: 1\r\n"
#define OK_LEAVING                                                             \
	"HTTP/1.1 200 OK\r\n" HEAD LEAVING "Content-Length: 5\r\n\r\nhello"
#define FAILS_LEAVING                                                          \
	"HTTP/1.1 500 No\r\n" HEAD LEAVING "Content-Length: 0\r\n\r\n"
#define SHED_LEAVING                                                           \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n" LEAVING \
	"Content-Length: 0\r\n\r\n"
#define CALL(path) REQ("POST", path) "X-Model: m\r\nContent-Length: 2\r\n\r\nhi"
#define CALL_ADAPTER(path)                                                     \
	REQ("POST", path) "X-Model: m/a1\r\nContent-Length: 2\r\n\r\nhi"

enum told { /* of the endpoint, meanwhile */
	    NOTHING,
	    ALL_ANEW,	   /* the whole fleet, by one leader after the other */
	    GONE_AND_BACK, /* it is missing from the list for a moment */
};

struct rest_case {
	const char *label, *request, *answer, *service, *model;
	bool alone; /* no other endpoint can be called */
	enum told told;
};

static const struct rest_case rests[] = {
	{ "first tries and repeats", GET_SAFE, SHED_REST, "web", "", false,
	  NOTHING },
	{ "the only endpoint", POST_ONCE, SHED_REST, "web", "", true, NOTHING },
	{ "the only holder of a model", CALL("/chat/x"), SHED_REST, "lm", "m",
	  true, NOTHING },
	{ "streams that may be resumed", CALL("/night/x"), SHED_REST, "lm", "m",
	  true, NOTHING },
	{ "a model's adapter", CALL_ADAPTER("/chat/x"), SHED_REST, "lm", "m",
	  true, NOTHING },
	{ "a failure that asks for rest", GET_SAFE, BUSY_REST, "web", "", true,
	  NOTHING },
	{ "it is told anew", POST_ONCE, SHED_REST, "web", "", true, ALL_ANEW },
	{ "it is missing and back", POST_ONCE, SHED_REST, "web", "", true,
	  GONE_AND_BACK },
};

static void tell_nobody(struct fix *f)
{
	struct msg_fleet m = { .fence = 1, .whole = true };

	gate_take_fleet(f->gate, &m);
}

static void tell_again(struct fix *f, const struct rest_case *x, int64_t at)
{
	if (x->told == GONE_AND_BACK && at % 600 == 0)
		tell_nobody(f);
	if ((x->told == ALL_ANEW && at % 200 == 0) ||
	    (x->told == GONE_AND_BACK && at % 600 == 100))
		tell_fleet(f, x->service, x->model);
}

/* Whatever adapter is asked for is loaded at once. */
static void load_adapter(struct fix *f)
{
	struct msg_adapter_done done = { .sub = f->asked };

	if (!f->asked)
		return;
	f->asked = 0;
	gate_adapter_done(f->gate, &done);
}

static void pass(struct fix *f)
{
	f->clock.fake_ms += 10;
	gate_tick(f->gate);
	load_adapter(f);
	for (int k = 0; k < 4; k++)
		event_base_loop(f->base, EVLOOP_NONBLOCK);
}

static void rest_open(struct fix *f, const struct rest_case *x)
{
	fix_open_fresh(f);
	f->agents = true;
	f->at = 0;
	f->eps[1].leaving = x->alone;
	for (int i = 0; i < 3; i++)
		script(f, 0, x->answer, false, false);
	script(f, 1, OK_TEXT, false, false);
	tell_routing(f);
	tell_fleet(f, x->service, x->model);
	call(f, x->request);
	UNTIL(f, (load_adapter(f), f->eps[0].requests > 0));
}

/* Requests one after the other, from a time of the case to another. */
static void call_from_to(struct fix *f, const struct rest_case *x, int64_t from,
			 int64_t to, int64_t gap_ms)
{
	for (int64_t at = from; at < to; at += 10) {
		tell_again(f, x, at);
		if (at % gap_ms == 0)
			call(f, x->request);
		pass(f);
	}
}

/* Symptom: an endpoint that has turned a request away and asked for seconds
 * of rest gets the same one again at once, and new ones all the while. */
static void asked_rest_is_kept(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(rests); k++) {
		const struct rest_case *x = &rests[k];
		int before, after;
		struct fix f;

		rest_open(&f, x);
		call_from_to(&f, x, 0, HEARD_MS, 50);
		before = f.eps[0].requests;
		call_from_to(&f, x, HEARD_MS, REST_MS - 20, 50);
		after = f.eps[0].requests;
		if (after - before > MOST)
			fail_msg("%s: %d requests in its rest", x->label,
				 after - before);
		/* Then it is called again. */
		tell_fleet(&f, x->service, x->model);
		call_from_to(&f, x, REST_MS, REST_MS + 2000, 50);
		if (x->alone && f.eps[0].requests == after)
			fail_msg("%s: never called again", x->label);
		fix_close(&f);
	}
}

#define WAITERS 5
#define SHED_BRIEFLY                                                           \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n"         \
	"Retry-After: 0.5\r\nContent-Length: 0\r\n\r\n"

/* The leader tells of its load five times a second. */
static void pass_for(struct fix *f, int64_t ms)
{
	for (int64_t at = 0; at < ms; at += 10) {
		if (at % 200 == 0)
			tell_fleet(f, "lm", "m");
		pass(f);
	}
}

/* Symptom: all that wait for the end of a rest are sent together, and turned
 * away together: each has used up a repeat of its service's. */
static void one_goes_first_after_a_rest(void **state)
{
	static const struct rest_case x = {
		"", CALL("/chat/x"), SHED_BRIEFLY, "lm", "m", true, NOTHING
	};
	struct fix f;

	(void)state;
	rest_open(&f, &x);
	for (int i = 1; i < WAITERS; i++)
		call(&f, x.request);
	pass_for(&f, 450);
	assert_int_equal(f.eps[0].requests, 1);
	/* It is turned away once more, and then served. */
	f.eps[0].n_replies = 2;
	pass_for(&f, 400);
	assert_int_equal(f.eps[0].requests, 2);
	f.eps[0].n_replies = 0;
	script(&f, 0, SHED_BRIEFLY, false, false);
	script(&f, 0, SHED_BRIEFLY, false, false);
	script(&f, 0, NULL, false, false);
	pass_for(&f, 400);
	/* Nothing is known before it answers; but it isn't waited for long. */
	assert_int_equal(f.eps[0].requests, 3);
	pass_for(&f, 500);
	assert_int_equal(f.eps[0].requests, 3);
	say(&f, 0, OK_TEXT);
	pass_for(&f, 100);
	assert_int_equal(f.eps[0].requests, WAITERS + 2);
	fix_close(&f);
}

/* Symptom: a caller whose request can't be served before its time is up waits
 * for that, or comes back in the midst of the rest. */
static void refusal_tells_when_the_rest_ends(void **state)
{
	static const struct rest_case x = { "", POST_ONCE, SHED_REST, "web",
					    "", true,	   NOTHING };
	struct caller *c;
	const char *at;
	struct fix f;
	double s;

	(void)state;
	rest_open(&f, &x);
	c = call(&f, POST_ONCE);
	UNTIL(&f, got(c, "\r\n\r\n"));
	assert_true(got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "\"outcome\":\"not_run\""));
	at = strstr(c->got->str, "Retry-After: ");
	assert_non_null(at);
	s = g_ascii_strtod(at + strlen("Retry-After: "), NULL);
	assert_true(s >= 2.9 && s <= 3.3);
	assert_int_equal(f.eps[0].requests, 1);
	fix_close(&f);
}

static const struct rest_case leaves[] = {
	{ "answers", POST_ONCE, OK_LEAVING, "web", "", true, NOTHING },
	{ "failures and repeats", GET_SAFE, FAILS_LEAVING, "web", "", false,
	  NOTHING },
	{ "refusals", CALL("/chat/x"), SHED_LEAVING, "lm", "m", true, NOTHING },
	{ "streams that may be resumed", CALL("/night/x"), SHED_LEAVING, "lm",
	  "m", true, NOTHING },
	{ "a model's adapter", CALL_ADAPTER("/chat/x"), OK_LEAVING, "lm", "m",
	  true, NOTHING },
	{ "it is told anew", POST_ONCE, OK_LEAVING, "web", "", true, ALL_ANEW },
	{ "it is missing and back", POST_ONCE, OK_LEAVING, "web", "", true,
	  GONE_AND_BACK },
};

/* Symptom: an endpoint says in its answers that it leaves, and gets requests
 * for as long as the list calls it ready. */
static void word_of_leaving_is_heeded(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(leaves); k++) {
		const struct rest_case *x = &leaves[k];
		struct fix f;
		int before;

		rest_open(&f, x);
		call_from_to(&f, x, 0, DRAIN_MS, 100);
		before = f.eps[0].requests;
		call_from_to(&f, x, DRAIN_MS, LEAVES_MS, 100);
		if (f.eps[0].requests > before)
			fail_msg("%s: %d requests later than %d ms", x->label,
				 f.eps[0].requests - before, DRAIN_MS);
		/* Another start of it is no longer leaving. */
		g_strlcpy(f.eps[0].id, "i-next", sizeof(f.eps[0].id));
		tell_fleet(&f, x->service, x->model);
		call_from_to(&f, x, LEAVES_MS, LEAVES_MS + 1000, 100);
		if (x->alone && f.eps[0].requests == before)
			fail_msg("%s: never called again", x->label);
		fix_close(&f);
	}
}

/* Symptom: only the entry that was answered leaves it alone. */
static void word_of_leaving_is_told_on(void **state)
{
	static const struct rest_case x = { "", POST_ONCE, OK_LEAVING, "web",
					    "", true,	   NOTHING };
	const struct endpoint_word *w;
	struct gate_report r;
	struct fix f;

	(void)state;
	rest_open(&f, &x);
	UNTIL(&f, f.demands > 0);
	gate_report(f.gate, &r);
	w = r.m.words.items;
	assert_int_equal(r.m.words.n, 1);
	assert_true(ss_str_eq(w->addr, ss_str(f.eps[0].addr)));
	assert_true(w->leaving);
	gate_report_done(&r);
	/* To the next leader too, and not with each report. */
	gate_report(f.gate, &r);
	assert_int_equal(r.m.words.n, 0);
	gate_report_done(&r);
	f.clock.fake_ms += 1000;
	gate_report(f.gate, &r);
	assert_int_equal(r.m.words.n, 1);
	gate_report_done(&r);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(asked_rest_is_kept),
		cmocka_unit_test(one_goes_first_after_a_rest),
		cmocka_unit_test(refusal_tells_when_the_rest_ends),
		cmocka_unit_test(word_of_leaving_is_heeded),
		cmocka_unit_test(word_of_leaving_is_told_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
