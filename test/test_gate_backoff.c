/* Endpoints that ask a gate for backoff, or signal that they are draining. */
#include "gate_fix.h"

#define BACKOFF_MS 3000
/* The guarantee under test: from this long after an answer with a backoff until
 * the backoff ends, the endpoint gets at most MAX_REQUESTS requests. */
#define REACTION_MS 500
#define MAX_REQUESTS 2
/* A draining endpoint gets no requests from this long after its signal. */
#define DRAIN_REACTION_MS 3000
/* A draining endpoint may finish its requests for this long. */
#define DRAIN_END_MS 12000

#define SHED_BACKOFF                                                           \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n"         \
	"Retry-After: 3\r\nContent-Length: 0\r\n\r\n"
#define BUSY_BACKOFF                                                           \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nRetry-After: 3\r\n"            \
	"Content-Length: 0\r\n\r\n"
#define DRAINING "Server-Leaving: 1\r\n"
#define OK_DRAINING                                                            \
	"HTTP/1.1 200 OK\r\n" HEAD DRAINING "Content-Length: 5\r\n\r\nhello"
#define FAILS_DRAINING                                                         \
	"HTTP/1.1 500 No\r\n" HEAD DRAINING "Content-Length: 0\r\n\r\n"
#define SHED_DRAINING                                                          \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\n"                              \
	"X-Not-Executed: 1\r\n" DRAINING "Content-Length: 0\r\n\r\n"
#define CALL(path) REQ("POST", path) "X-Model: m\r\nContent-Length: 2\r\n\r\nhi"
#define CALL_ADAPTER(path)                                                     \
	REQ("POST", path) "X-Model: m/a1\r\nContent-Length: 2\r\n\r\nhi"

/* What the leader sends about the endpoint meanwhile. */
enum listing {
	UNCHANGED,
	LISTED_AGAIN,	 /* the whole fleet, by successive leaders */
	MISSING_BRIEFLY, /* it is missing from the list for a moment */
};

struct signal_case {
	const char *label, *request, *answer, *service, *model;
	bool only_endpoint; /* no other endpoint can be called */
	enum listing listing;
};

static const struct signal_case backoff_cases[] = {
	{ "requests and retries", GET_SAFE, SHED_BACKOFF, "web", "", false,
	  UNCHANGED },
	{ "the only endpoint", POST_ONCE, SHED_BACKOFF, "web", "", true,
	  UNCHANGED },
	{ "the only holder of a model", CALL("/chat/x"), SHED_BACKOFF, "lm",
	  "m", true, UNCHANGED },
	{ "streams that may be resumed", CALL("/night/x"), SHED_BACKOFF, "lm",
	  "m", true, UNCHANGED },
	{ "a model's adapter", CALL_ADAPTER("/chat/x"), SHED_BACKOFF, "lm", "m",
	  true, UNCHANGED },
	{ "a failure that asks for backoff", GET_SAFE, BUSY_BACKOFF, "web", "",
	  true, UNCHANGED },
	{ "it is listed again", POST_ONCE, SHED_BACKOFF, "web", "", true,
	  LISTED_AGAIN },
	{ "it is missing for a moment", POST_ONCE, SHED_BACKOFF, "web", "",
	  true, MISSING_BRIEFLY },
};

static void send_empty_list(struct fix *f)
{
	struct msg_fleet m = { .fence = 1, .full = true };

	gate_fleet_received(f->gate, &m);
}

static void send_list(struct fix *f, const struct signal_case *x, int64_t at)
{
	if (x->listing == MISSING_BRIEFLY && at % 600 == 0)
		send_empty_list(f);
	if ((x->listing == LISTED_AGAIN && at % 200 == 0) ||
	    (x->listing == MISSING_BRIEFLY && at % 600 == 100))
		report_fleet(f, x->service, x->model);
}

/* Loads a requested adapter immediately. */
static void load_adapter(struct fix *f)
{
	struct msg_adapter_done done = { .sub = f->asked };

	if (!f->asked)
		return;
	f->asked = 0;
	gate_adapter_done(f->gate, &done);
}

static void advance(struct fix *f)
{
	f->clock.fake_ms += 10;
	gate_tick(f->gate);
	load_adapter(f);
	for (int k = 0; k < 4; k++)
		event_base_loop(f->base, EVLOOP_NONBLOCK);
}

static void open_case(struct fix *f, const struct signal_case *x)
{
	fix_open_fresh(f);
	f->agents = true;
	f->at = 0;
	f->eps[1].leaving = x->only_endpoint;
	for (int i = 0; i < 3; i++)
		script_answer(f, 0, x->answer, false, false);
	script_answer(f, 1, OK_TEXT, false, false);
	set_default_routing(f);
	report_fleet(f, x->service, x->model);
	call(f, x->request);
	UNTIL(f, (load_adapter(f), f->eps[0].requests > 0));
}

/* Sends requests at an interval, from one time of the case to another. */
static void send_requests(struct fix *f, const struct signal_case *x,
			  int64_t from, int64_t to, int64_t gap_ms)
{
	for (int64_t at = from; at < to; at += 10) {
		send_list(f, x, at);
		if (at % gap_ms == 0)
			call(f, x->request);
		advance(f);
	}
}

/* Guards against an endpoint that rejects a request, asks for seconds of
 * backoff, and immediately gets that request again, and new ones meanwhile. */
static void backoff_is_respected(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(backoff_cases); k++) {
		const struct signal_case *x = &backoff_cases[k];
		int before, after;
		struct fix f;

		open_case(&f, x);
		send_requests(&f, x, 0, REACTION_MS, 50);
		before = f.eps[0].requests;
		send_requests(&f, x, REACTION_MS, BACKOFF_MS - 20, 50);
		after = f.eps[0].requests;
		if (after - before > MAX_REQUESTS)
			fail_msg("%s: %d requests during its backoff", x->label,
				 after - before);
		/* After the backoff it gets requests again. */
		report_fleet(&f, x->service, x->model);
		send_requests(&f, x, BACKOFF_MS, BACKOFF_MS + 2000, 50);
		if (x->only_endpoint && f.eps[0].requests == after)
			fail_msg("%s: never called again", x->label);
		fix_close(&f);
	}
}

#define WAITERS 5
#define SHED_BRIEFLY                                                           \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n"         \
	"Retry-After: 0.5\r\nContent-Length: 0\r\n\r\n"

/* The leader reports the load five times a second. */
static void advance_for(struct fix *f, int64_t ms)
{
	for (int64_t at = 0; at < ms; at += 10) {
		if (at % 200 == 0)
			report_fleet(f, "lm", "m");
		advance(f);
	}
}

/* Guards against waiting requests that are all sent at the end of a backoff,
 * and all rejected, each at the cost of one of its service's retries. */
static void one_probe_is_sent_after_a_backoff(void **state)
{
	static const struct signal_case x = {
		"", CALL("/chat/x"), SHED_BRIEFLY, "lm", "m", true, UNCHANGED
	};
	struct fix f;

	(void)state;
	open_case(&f, &x);
	for (int i = 1; i < WAITERS; i++)
		call(&f, x.request);
	advance_for(&f, 450);
	assert_int_equal(f.eps[0].requests, 1);
	/* The first probe is rejected, a later one is served. */
	f.eps[0].n_replies = 2;
	advance_for(&f, 400);
	assert_int_equal(f.eps[0].requests, 2);
	f.eps[0].n_replies = 0;
	script_answer(&f, 0, SHED_BRIEFLY, false, false);
	script_answer(&f, 0, SHED_BRIEFLY, false, false);
	script_answer(&f, 0, NULL, false, false);
	advance_for(&f, 400);
	/* No other is sent until the probe is answered, or times out. */
	assert_int_equal(f.eps[0].requests, 3);
	advance_for(&f, 500);
	assert_int_equal(f.eps[0].requests, 3);
	endpoint_send(&f, 0, OK_TEXT);
	advance_for(&f, 100);
	assert_int_equal(f.eps[0].requests, WAITERS + 2);
	fix_close(&f);
}

/* Guards against a caller that waits although its request can't be served
 * before its deadline, or whose Retry-After ends before the backoff. */
static void refusal_states_the_end_of_the_backoff(void **state)
{
	static const struct signal_case x = { "",	POST_ONCE, SHED_BACKOFF,
					      "web",	"",	   true,
					      UNCHANGED };
	struct caller *c;
	const char *at;
	struct fix f;
	double s;

	(void)state;
	open_case(&f, &x);
	c = call(&f, POST_ONCE);
	UNTIL(&f, has_received(c, "\r\n\r\n"));
	assert_true(has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "\"outcome\":\"not_run\""));
	at = strstr(c->got->str, "Retry-After: ");
	assert_non_null(at);
	s = g_ascii_strtod(at + strlen("Retry-After: "), NULL);
	assert_true(s >= 2.9 && s <= 3.3);
	assert_int_equal(f.eps[0].requests, 1);
	fix_close(&f);
}

static const struct signal_case draining_cases[] = {
	{ "answers", POST_ONCE, OK_DRAINING, "web", "", true, UNCHANGED },
	{ "failures and retries", GET_SAFE, FAILS_DRAINING, "web", "", false,
	  UNCHANGED },
	{ "refusals", CALL("/chat/x"), SHED_DRAINING, "lm", "m", true,
	  UNCHANGED },
	{ "streams that may be resumed", CALL("/night/x"), SHED_DRAINING, "lm",
	  "m", true, UNCHANGED },
	{ "a model's adapter", CALL_ADAPTER("/chat/x"), OK_DRAINING, "lm", "m",
	  true, UNCHANGED },
	{ "it is listed again", POST_ONCE, OK_DRAINING, "web", "", true,
	  LISTED_AGAIN },
	{ "it is missing for a moment", POST_ONCE, OK_DRAINING, "web", "", true,
	  MISSING_BRIEFLY },
};

/* Guards against a draining endpoint that still gets requests because the
 * leader's list has it as ready. */
static void draining_endpoint_gets_no_requests(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(draining_cases); k++) {
		const struct signal_case *x = &draining_cases[k];
		struct fix f;
		int before;

		open_case(&f, x);
		send_requests(&f, x, 0, DRAIN_REACTION_MS, 100);
		before = f.eps[0].requests;
		send_requests(&f, x, DRAIN_REACTION_MS, DRAIN_END_MS, 100);
		if (f.eps[0].requests > before)
			fail_msg("%s: %d requests later than %d ms", x->label,
				 f.eps[0].requests - before, DRAIN_REACTION_MS);
		/* A new incarnation isn't draining. */
		g_strlcpy(f.eps[0].id, "i-next", sizeof(f.eps[0].id));
		report_fleet(&f, x->service, x->model);
		send_requests(&f, x, DRAIN_END_MS, DRAIN_END_MS + 1000, 100);
		if (x->only_endpoint && f.eps[0].requests == before)
			fail_msg("%s: never called again", x->label);
		fix_close(&f);
	}
}

/* Guards against a draining signal that only the entry which received it acts
 * on. */
static void draining_is_reported_to_the_leader(void **state)
{
	static const struct signal_case x = { "", POST_ONCE, OK_DRAINING, "web",
					      "", true,	     UNCHANGED };
	const struct endpoint_signals *w;
	struct gate_report r;
	struct fix f;

	(void)state;
	open_case(&f, &x);
	UNTIL(&f, f.demands > 0);
	gate_report(f.gate, &r);
	w = r.m.signals.items;
	assert_int_equal(r.m.signals.n, 1);
	assert_true(ss_str_eq(w->addr, ss_str(f.eps[0].addr)));
	assert_true(w->draining);
	gate_report_done(&r);
	/* Repeated for a new leader, but not in each report. */
	gate_report(f.gate, &r);
	assert_int_equal(r.m.signals.n, 0);
	gate_report_done(&r);
	f.clock.fake_ms += 1000;
	gate_report(f.gate, &r);
	assert_int_equal(r.m.signals.n, 1);
	gate_report_done(&r);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(backoff_is_respected),
		cmocka_unit_test(one_probe_is_sent_after_a_backoff),
		cmocka_unit_test(refusal_states_the_end_of_the_backoff),
		cmocka_unit_test(draining_endpoint_gets_no_requests),
		cmocka_unit_test(draining_is_reported_to_the_leader),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
