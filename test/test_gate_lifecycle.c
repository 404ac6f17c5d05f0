/* Tests how requests end at a gate: callers that leave, waits, timeouts and
 * draining. */
#include "gate_fix.h"

/* When a caller leaves, the connection to the endpoint is reset, so that the
 * endpoint can stop the work. */
static void caller_that_leaves_cancels_its_request(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS "f\r\nid: 1\ndata: a\n\n\r\n", false,
		      false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, has_received(c, "data: a"));
	assert_int_equal(f.eps[0].closed, 0);
	caller_leave(c);
	UNTIL(&f, f.eps[0].closed == 1);
	assert_int_equal(gate_busy(f.gate), 0);
	/* A reset: bytes delayed on the network aren't delivered later. */
	assert_int_equal(f.eps[0].reset, 1);
	fix_close(&f);
}

/*
 * Failure: a request reaches an endpoint seconds after its caller left. The
 * network delays the request, its caller leaves and the connection is closed;
 * after an orderly close, what was written is still delivered.
 */
static void delayed_request_of_left_caller_is_reset(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, NULL, false, false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, f.eps[0].requests == 1);
	caller_leave(c);
	UNTIL(&f, f.eps[0].closed == 1);
	assert_int_equal(f.eps[0].reset, 1);
	fix_close(&f);
}

/*
 * Failure: new streams go to a stalled engine, and their callers leave too,
 * though another engine has the model. After the callers of its streams have
 * left, the stalled engine's last report is old and the entry counts no calls
 * on it, so it looks like the least loaded one unless callers that leave a
 * silent engine count as its failures.
 */
static void silent_engine_gets_no_new_streams(void **state)
{
	enum { SILENT_CALLS = 5, NEW_CALLS = 6 };
	struct caller *c[SILENT_CALLS];
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, NULL, false, false);
	script_answer(&f, 1, EVENTS "f\r\nid: 1\ndata: a\n\n\r\n", false,
		      false);
	for (int i = 0; i < SILENT_CALLS; i++) {
		c[i] = call(&f, POST_CHAT);
		UNTIL(&f, f.eps[0].requests == i + 1);
	}
	f.clock.fake_ms += 2500;
	for (int i = 0; i < SILENT_CALLS; i++) {
		caller_leave(c[i]);
		UNTIL(&f, f.eps[0].closed == i + 1);
	}
	for (int i = 0; i < NEW_CALLS; i++) {
		call(&f, POST_CHAT);
		UNTIL(&f, f.eps[0].requests + f.eps[1].requests ==
				  SILENT_CALLS + i + 1);
	}
	assert_int_equal(f.eps[1].requests, NEW_CALLS);
	fix_close(&f);
}

/* An idle connection has no pending data and gets an orderly close. */
static void idle_connection_is_closed_not_reset(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	script_answer(&f, 0, OK_TEXT, false, false);
	c = call(&f, GET_SAFE);
	UNTIL(&f, received_ends_with(c, "hello"));
	f.clock.fake_ms += 60000;
	gate_tick(f.gate);
	UNTIL(&f, f.eps[0].closed == 1);
	assert_int_equal(f.eps[0].reset, 0);
	fix_close(&f);
}

static void request_waits_for_its_model(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "");
	script_answer(&f, 0, EVENTS "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
		      false, false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, gate_busy(f.gate) > 0);
	run_loop_once(&f);
	assert_int_equal(f.eps[0].requests, 0);
	report_fleet(&f, "lm", "m");
	UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
	fix_close(&f);
}

/*
 * Failure: a caller waits in vain. The leader has reported that the model's
 * load ends after the caller's deadline, but the request is held.
 */
static void request_without_enough_time_is_refused_at_once(void **state)
{
	struct fleet_eta eta = { .service = SS_LIT("lm"),
				 .model = SS_LIT("m"),
				 .eta_ms = 6000 };
	struct msg_fleet m = { .fence = 1, .etas = { &eta, 1 } };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "");
	c = call(&f, REQ("POST", "/chat/x") "X-Model: m\r\n"
					    "X-Deadline-Ms: 3000\r\n"
					    "X-Not-Executed: "
					    "1\r\nContent-Length: 0\r\n\r\n");
	UNTIL(&f, gate_busy(f.gate) > 0);
	gate_fleet_received(f.gate, &m);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "Retry-After: "));
	assert_true(has_received(c, "not_run"));
	assert_int_equal(f.clock.fake_ms, 100000);
	fix_close(&f);
}

/*
 * Failure: callers leave a stream that hasn't started and get no Retry-After.
 * The model's load takes over two seconds; the caller's deadline is later, but
 * the caller gives up a silent stream before. The deadline was taken for the
 * time that the caller waits.
 */
static void wait_ends_before_the_caller_leaves(void **state)
{
	struct fleet_eta eta = { .service = SS_LIT("lm"),
				 .model = SS_LIT("m"),
				 .eta_ms = 3000 };
	struct msg_fleet m = { .fence = 1, .etas = { &eta, 1 } };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "");
	c = call(&f, POST_BRIEF);
	UNTIL(&f, gate_busy(f.gate) > 0);
	gate_fleet_received(f.gate, &m);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "Retry-After: 3."));
	assert_int_equal(f.clock.fake_ms, 100000);
	fix_close(&f);
}

/*
 * Failure: batch work is refused, returns to the end of the queue and is
 * refused again. No engine can load its model yet, so no load time is known;
 * the request is refused in less than half of its caller's time, just before
 * the model is loaded. The wait was too short: models are loaded for the
 * requests that wait.
 */
static void request_without_known_load_time_is_held(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "");
	c = call(&f, POST_BRIEF);
	UNTIL(&f, gate_busy(f.gate) > 0);
	/* Callers of this stream leave after 2 s. */
	f.clock.fake_ms += 1500;
	/* A refusal needs a tick, a write and a read to arrive. */
	for (int i = 0; i < 10; i++)
		run_loop_once(&f);
	assert_int_equal(c->got->len, 0);
	f.clock.fake_ms += 200;
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "Retry-After: "));
	fix_close(&f);
}

/*
 * Failure: callers wait for a model, are sent to it and leave before its first
 * event. The model is loaded in 1.5 s, its engine takes 1 s to the first event
 * and callers leave after 2 s. A fixed 60 ms was taken for the time to the
 * first event, so the requests weren't refused at once.
 */
static void slow_first_event_shortens_the_wait(void **state)
{
	struct fleet_eta eta = { .service = SS_LIT("lm"),
				 .model = SS_LIT("m"),
				 .eta_ms = 1500 };
	struct msg_fleet m = { .fence = 1, .etas = { &eta, 1 } };
	struct caller *c;
	struct fix f;
	int64_t now;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	for (int i = 0; i < 4; i++)
		run_one_stream(&f, 1000, 48);
	report_fleet(&f, "lm", "");
	gate_fleet_received(f.gate, &m);
	now = f.clock.fake_ms;
	c = call(&f, POST_BRIEF);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "Retry-After: 1."));
	assert_int_equal(f.clock.fake_ms, now);
	fix_close(&f);
}

static void request_times_out_at_the_routes_timeout(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	c = call(&f, POST_ONCE);
	UNTIL(&f, f.eps[0].requests == 1);
	f.clock.fake_ms += 1900;
	run_loop_once(&f);
	assert_int_equal(c->got->len, 0);
	f.clock.fake_ms += 100;
	UNTIL(&f, has_received(c, "HTTP/1.1 504 "));
	UNTIL(&f, f.eps[0].closed == 1);
	fix_close(&f);
}

/*
 * Failure: a draining process accepts a request late and stops before the
 * answer is complete. The previous answer started before draining, so it
 * couldn't announce that the connection closes, and the caller sent its next
 * request on the connection, which was kept open.
 */
static void draining_closes_connections_after_their_answer(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
		      false, false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, f.eps[0].requests == 1);
	gate_drain(f.gate, f.clock.fake_ms + 8000);
	UNTIL(&f, c->ended);
	assert_true(received_ends_with(c, "0\r\n\r\n"));
	fix_close(&f);
}

/* Failure: a refusal without Retry-After. The endpoint rejects the request when
 * too little time is left for another endpoint. */
static void refusal_for_lack_of_time_has_retry_after(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	script_answer(&f, 0, NULL, false, false);
	run_one_stream(&f, 100, 50);
	c = call_endpoint(&f, "m", POST_BRIEF);
	UNTIL(&f, f.eps[0].requests == 2);
	f.clock.fake_ms += 2010;
	endpoint_send(&f, 0,
		      "HTTP/1.1 503 Full\r\nX-Request-Id: q1\r\n"
		      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	UNTIL(&f, received_ends_with(c, "}}"));
	assert_true(has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "\"deadline\""));
	assert_true(has_received(c, "Retry-After: "));
	fix_close(&f);
}

/* A gate without routing refuses once the startup hold is over;
 * test_gate_startup_hold tests the hold. */
static void gate_without_routing_refuses(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, NULL, NULL);
	f.clock.fake_ms += 1500;
	c = call(&f, GET_SAFE);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "not_run"));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(caller_that_leaves_cancels_its_request),
		cmocka_unit_test(delayed_request_of_left_caller_is_reset),
		cmocka_unit_test(silent_engine_gets_no_new_streams),
		cmocka_unit_test(idle_connection_is_closed_not_reset),
		cmocka_unit_test(request_waits_for_its_model),
		cmocka_unit_test(
			request_without_enough_time_is_refused_at_once),
		cmocka_unit_test(wait_ends_before_the_caller_leaves),
		cmocka_unit_test(request_without_known_load_time_is_held),
		cmocka_unit_test(slow_first_event_shortens_the_wait),
		cmocka_unit_test(request_times_out_at_the_routes_timeout),
		cmocka_unit_test(
			draining_closes_connections_after_their_answer),
		cmocka_unit_test(refusal_for_lack_of_time_has_retry_after),
		cmocka_unit_test(gate_without_routing_refuses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
