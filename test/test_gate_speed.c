/* How a gate chooses between endpoints of different speed. */
#include "gate_fix.h"

#define SLOW_MS 1500
#define FAST_MS 20
#define REQUESTS 5 /* fewer than the other endpoint reports as running */
#define OK_WITH_LOAD(figures)                                                  \
	"HTTP/1.1 200 OK\r\n" HEAD "X-Server-Load: " figures                   \
	"\r\nContent-Length: 5\r\n\r\nhello"
#define POST_URGENT STREAM("/brief/x", "100")

static uint64_t count_ejections(struct fix *f)
{
	return *metrics_value(f->metrics, "ss_gate_slow_rests_total", "");
}

/* Runs streams on an endpoint, each with this time to its first event. */
static void run_streams(struct fix *f, int at, int64_t first_ms)
{
	f->at = at;
	for (int i = 0; i < 3; i++)
		run_one_stream(f, first_ms, 1);
}

/* Endpoint 0 is fast; endpoint 1 is slow and less loaded. */
static void open_with_slow_endpoint(struct fix *f)
{
	fix_open(f, "lm", "m");
	script_answer(f, 0, EVENTS, false, false);
	script_answer(f, 1, EVENTS, false, false);
	run_streams(f, 1, SLOW_MS);
	run_streams(f, 0, FAST_MS);
	f->at = 1;
	/* The medians are recomputed. */
	f->clock.fake_ms += 100;
}

/* The endpoint that gets a request while the slow one is less loaded. The
 * request is answered. */
static int chosen_endpoint(struct fix *f, const char *text, int64_t slow_ms)
{
	const int64_t first_ms[] = { FAST_MS, slow_ms };

	return run_one_event(f, text, first_ms);
}

/* Guards against requests with an objective that are late on a slow engine
 * while a fast one has room. Requests without one still go there. */
static void slow_engine_is_ejected_for_urgent_requests(void **state)
{
	struct fix f;

	(void)state;
	open_with_slow_endpoint(&f);
	assert_int_equal(chosen_endpoint(&f, STREAM("/chat/x", "100"), SLOW_MS),
			 1);
	assert_int_equal(count_ejections(&f), 0);
	f.clock.fake_ms += 100;
	assert_int_equal(chosen_endpoint(&f, POST_URGENT, SLOW_MS), 0);
	assert_int_equal(count_ejections(&f), 1);
	assert_int_equal(chosen_endpoint(&f, POST_URGENT, SLOW_MS), 0);
	assert_int_equal(count_ejections(&f), 1);
	/* The engine is probed after a while, and not ejected once it is fast.
	 */
	f.clock.fake_ms += 8000;
	run_streams(&f, 1, FAST_MS);
	f.clock.fake_ms += 100;
	assert_int_equal(chosen_endpoint(&f, POST_URGENT, FAST_MS), 1);
	assert_int_equal(count_ejections(&f), 1);
	fix_close(&f);
}

/* Guards against a request that waits or is refused while an engine is idle: an
 * ejected one is used if no other has room. */
static void ejected_engine_is_used_if_others_are_full(void **state)
{
	struct fix f;
	int before;

	(void)state;
	open_with_slow_endpoint(&f);
	f.clock.fake_ms += 100;
	assert_int_equal(chosen_endpoint(&f, POST_URGENT, SLOW_MS), 0);
	assert_int_equal(count_ejections(&f), 1);
	before = f.eps[1].requests;
	/* The fast one has room for two. */
	for (int i = 0; i < 3; i++)
		call(&f, POST_URGENT);
	UNTIL(&f, f.eps[1].requests == before + 1);
	fix_close(&f);
}

/* Guards against the ejection of the only usable endpoint. */
static void last_engine_is_not_ejected(void **state)
{
	struct fix f;

	(void)state;
	open_with_slow_endpoint(&f);
	f.eps[0].leaving = true;
	assert_int_equal(chosen_endpoint(&f, POST_URGENT, SLOW_MS), 1);
	assert_int_equal(count_ejections(&f), 0);
	fix_close(&f);
}

/* Guards against a stalled engine that gets more requests because its answers
 * so far were fast. */
static void stall_is_detected_before_any_answer(void **state)
{
	struct fix f;
	int before;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	script_answer(&f, 1, EVENTS, false, false);
	run_streams(&f, 1, FAST_MS);
	run_streams(&f, 0, FAST_MS);
	f.at = 1;
	before = f.eps[1].requests;
	for (int i = 0; i < 5; i++) {
		call_endpoint(&f, "m", STREAM("/chat/x", "100"));
		UNTIL(&f, f.eps[1].requests == before + i + 1);
	}
	f.clock.fake_ms += SLOW_MS;
	assert_int_equal(chosen_endpoint(&f, POST_URGENT, SLOW_MS), 0);
	assert_int_equal(count_ejections(&f), 1);
	fix_close(&f);
}

/* Guards against response times of a former incarnation that count for the new
 * one, and against a burst of requests to an engine that has just started. */
static void restarted_engine_gets_a_slow_start(void **state)
{
	struct fix f;
	int before;

	(void)state;
	open_with_slow_endpoint(&f);
	assert_int_equal(chosen_endpoint(&f, POST_URGENT, SLOW_MS), 0);
	assert_int_equal(count_ejections(&f), 1);
	g_strlcpy(f.eps[1].id, "i-next", sizeof(f.eps[1].id));
	before = f.eps[0].requests + f.eps[1].requests;
	for (int i = 1; i <= REQUESTS; i++) {
		call_endpoint(&f, "m", POST_URGENT);
		UNTIL(&f, f.eps[0].requests + f.eps[1].requests == before + i);
	}
	/* The new incarnation gets about one in twenty, at random. */
	assert_in_range(f.eps[1].requests, 3, 3 + REQUESTS - 2);
	f.clock.fake_ms += 3000;
	assert_int_equal(chosen_endpoint(&f, POST_URGENT, SLOW_MS), 1);
	assert_int_equal(count_ejections(&f), 1);
	fix_close(&f);
}

struct work_time_case {
	const char *label, *answer;
	int64_t gap_ms; /* between two requests */
	bool shifts;	/* most requests go to the other endpoint */
};

/* Guards against a reported work time that is ignored, and against one that is
 * used although it is out of bounds or old. */
static void reported_work_time_shifts_requests(void **state)
{
	static const struct work_time_case cases[] = {
		{ "none", OK_WITH_LOAD("0,0,8"), 0, false },
		{ "usual", OK_WITH_LOAD("0,0,8,100"), 0, false },
		{ "ten times slower", OK_WITH_LOAD("0,0,8,1000"), 0, true },
		{ "absurd", OK_WITH_LOAD("0,0,8,90000"), 0, false },
		{ "old", OK_WITH_LOAD("0,0,8,1000"), 250, false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct work_time_case *x = &cases[i];
		int first = 0;
		struct fix f;

		fix_open(&f, "web", "");
		script_answer(&f, 0, x->answer, false, false);
		script_answer(&f, 1, OK_TEXT, false, false);
		f.at = 0;
		for (int k = 0; k <= REQUESTS; k++) {
			struct caller *c;

			report_fleet(&f, "web", "");
			c = call(&f, POST_ONCE);
			UNTIL(&f, has_received(c, "hello"));
			first = f.eps[0].requests - 1;
			f.clock.fake_ms += x->gap_ms;
		}
		if (x->shifts ? first > REQUESTS - 2 : first < REQUESTS)
			fail_msg("%s: %d requests", x->label, first);
		fix_close(&f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(slow_engine_is_ejected_for_urgent_requests),
		cmocka_unit_test(ejected_engine_is_used_if_others_are_full),
		cmocka_unit_test(last_engine_is_not_ejected),
		cmocka_unit_test(stall_is_detected_before_any_answer),
		cmocka_unit_test(restarted_engine_gets_a_slow_start),
		cmocka_unit_test(reported_work_time_shifts_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
