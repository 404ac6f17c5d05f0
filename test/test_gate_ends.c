/* A gate: who leaves, who waits, and how it stops. */
#include "gate_fix.h"

/* A caller who leaves: the endpoint sees it, and can stop the work. */
static void leaving_caller_cancels(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script(&f, 0, EVENTS "f\r\nid: 1\ndata: a\n\n\r\n", false, false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, got(c, "data: a"));
	assert_int_equal(f.eps[0].closed, 0);
	leave(c);
	UNTIL(&f, f.eps[0].closed == 1);
	assert_int_equal(gate_busy(f.gate), 0);
	/* Bytes that a link still holds up don't follow later. */
	assert_int_equal(f.eps[0].reset, 1);
	fix_close(&f);
}

/*
 * Symptom: requests reach an endpoint seconds after their callers left.
 * Sequence: a link holds up a request; its caller leaves; the connection is
 * closed; the link works again. Cause: a close in good order lets what was
 * written before it be delivered.
 */
static void request_that_is_held_up_is_called_back(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script(&f, 0, NULL, false, false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, f.eps[0].requests == 1);
	leave(c);
	UNTIL(&f, f.eps[0].closed == 1);
	assert_int_equal(f.eps[0].reset, 1);
	fix_close(&f);
}

/*
 * Symptom: new streams go to an engine that stands still, and their callers
 * leave too, though another engine has the model. Sequence: an engine falls
 * mute with streams on it; their callers leave after their patience; its last
 * report grows old; the entry counts no call on it. Cause: a caller who leaves
 * an engine that said nothing for so long doesn't count against it, so the mute
 * engine passes for the least loaded.
 */
static void mute_engine_gets_no_new_streams(void **state)
{
	enum { MUTE_CALLS = 5, NEW_CALLS = 6 };
	struct caller *c[MUTE_CALLS];
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script(&f, 0, NULL, false, false);
	script(&f, 1, EVENTS "f\r\nid: 1\ndata: a\n\n\r\n", false, false);
	for (int i = 0; i < MUTE_CALLS; i++) {
		c[i] = call(&f, POST_CHAT);
		UNTIL(&f, f.eps[0].requests == i + 1);
	}
	f.clock.fake_ms += 2500;
	for (int i = 0; i < MUTE_CALLS; i++) {
		leave(c[i]);
		UNTIL(&f, f.eps[0].closed == i + 1);
	}
	for (int i = 0; i < NEW_CALLS; i++) {
		call(&f, POST_CHAT);
		UNTIL(&f, f.eps[0].requests + f.eps[1].requests ==
				  MUTE_CALLS + i + 1);
	}
	assert_int_equal(f.eps[1].requests, NEW_CALLS);
	fix_close(&f);
}

/* A connection at rest owes nothing: it ends in good order. */
static void idle_connection_is_closed_not_reset(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	script(&f, 0, OK_TEXT, false, false);
	c = call(&f, GET_SAFE);
	UNTIL(&f, ends(c, "hello"));
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
	script(&f, 0, EVENTS "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", false,
	       false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, gate_busy(f.gate) > 0);
	turn(&f);
	assert_int_equal(f.eps[0].requests, 0);
	tell_fleet(&f, "lm", "m");
	UNTIL(&f, ends(c, "0\r\n\r\n"));
	fix_close(&f);
}

/*
 * Symptom: a caller waits for nothing. Sequence: the model's load ends
 * after the caller's deadline, and the leader has said so. Cause: a
 * request that is held although it can't be served in time.
 */
static void hopeless_request_is_refused_at_once(void **state)
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
	gate_take_fleet(f.gate, &m);
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "Retry-After: "));
	assert_true(got(c, "not_run"));
	assert_int_equal(f.clock.fake_ms, 100000);
	fix_close(&f);
}

/*
 * Symptom: callers leave a stream that hasn't begun, and nobody told them
 * when to come back. Sequence: the model is two seconds and more away; the
 * caller's deadline is far, but it gives a silent stream up before. Cause:
 * the deadline taken for the time that the caller waits.
 */
static void silent_wait_ends_before_the_caller_leaves(void **state)
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
	gate_take_fleet(f.gate, &m);
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "Retry-After: 3."));
	assert_int_equal(f.clock.fake_ms, 100000);
	fix_close(&f);
}

/*
 * Symptom: night work is refused, comes back to the end of the queue and is
 * refused again. Sequence: no engine can take its model yet, so no time is
 * told; the request is sent away after less than half of the time that its
 * caller has, a moment before the model is loaded. Cause: too little patience:
 * those who wait are what a model is loaded for.
 */
static void request_without_a_time_told_is_held(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "");
	c = call(&f, POST_BRIEF);
	UNTIL(&f, gate_busy(f.gate) > 0);
	/* Callers of this stream leave after 2 s. */
	f.clock.fake_ms += 1500;
	/* A refusal takes a tick, a write and a read to arrive. */
	for (int i = 0; i < 10; i++)
		turn(&f);
	assert_int_equal(c->got->len, 0);
	f.clock.fake_ms += 200;
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "Retry-After: "));
	fix_close(&f);
}

/*
 * Symptom: callers wait for a model, are sent to it, and leave before its first
 * event. Sequence: the model stands 1.5 s from now; its engine takes a second
 * to the first event; callers leave after 2 s. Cause: a fixed 60 ms taken for
 * the time to the first event, so that nobody was told at once to come back.
 */
static void slow_first_event_makes_a_wait_hopeless(void **state)
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
	script(&f, 0, EVENTS, false, false);
	for (int i = 0; i < 4; i++)
		carry_stream(&f, 1000, 48);
	tell_fleet(&f, "lm", "");
	gate_take_fleet(f.gate, &m);
	now = f.clock.fake_ms;
	c = call(&f, POST_BRIEF);
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "Retry-After: 1."));
	assert_int_equal(f.clock.fake_ms, now);
	fix_close(&f);
}

static void time_is_up_at_the_routes_timeout(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	c = call(&f, POST_ONCE);
	UNTIL(&f, f.eps[0].requests == 1);
	f.clock.fake_ms += 1900;
	turn(&f);
	assert_int_equal(c->got->len, 0);
	f.clock.fake_ms += 100;
	UNTIL(&f, got(c, "HTTP/1.1 504 "));
	UNTIL(&f, f.eps[0].closed == 1);
	fix_close(&f);
}

/*
 * Symptom: a request is taken long after a planned stop began, and cut by
 * its end. Sequence: the answer began before the stop, so it couldn't say
 * that the connection closes; the caller sends the next request on it.
 * Cause: a connection that is kept after the stop has begun.
 */
static void stop_ends_connections_after_their_answer(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script(&f, 0, EVENTS "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", false,
	       false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, f.eps[0].requests == 1);
	gate_drain(f.gate, f.clock.fake_ms + 8000);
	UNTIL(&f, c->ended);
	assert_true(ends(c, "0\r\n\r\n"));
	fix_close(&f);
}

/* Guards against a refusal without a time to return: the endpoint turned it
 * away when too little time was left for another. */
static void refusal_for_want_of_time_says_when_to_return(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script(&f, 0, EVENTS, false, false);
	script(&f, 0, NULL, false, false);
	carry_stream(&f, 100, 50);
	c = ask(&f, "m", POST_BRIEF);
	UNTIL(&f, f.eps[0].requests == 2);
	f.clock.fake_ms += 2010;
	say(&f, 0,
	    "HTTP/1.1 503 Full\r\nX-Request-Id: q1\r\n"
	    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	UNTIL(&f, ends(c, "}}"));
	assert_true(got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "\"deadline\""));
	assert_true(got(c, "Retry-After: "));
	fix_close(&f);
}

/* Nobody led for as long as it takes to find out (test_gate_early has the time
 * before). */
static void nothing_is_known_yet(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, NULL, NULL);
	f.clock.fake_ms += 1500;
	c = call(&f, GET_SAFE);
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "not_run"));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(leaving_caller_cancels),
		cmocka_unit_test(request_that_is_held_up_is_called_back),
		cmocka_unit_test(mute_engine_gets_no_new_streams),
		cmocka_unit_test(idle_connection_is_closed_not_reset),
		cmocka_unit_test(request_waits_for_its_model),
		cmocka_unit_test(hopeless_request_is_refused_at_once),
		cmocka_unit_test(silent_wait_ends_before_the_caller_leaves),
		cmocka_unit_test(request_without_a_time_told_is_held),
		cmocka_unit_test(slow_first_event_makes_a_wait_hopeless),
		cmocka_unit_test(time_is_up_at_the_routes_timeout),
		cmocka_unit_test(stop_ends_connections_after_their_answer),
		cmocka_unit_test(refusal_for_want_of_time_says_when_to_return),
		cmocka_unit_test(nothing_is_known_yet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
