/* Startup hold: requests that come before a gate knows routing and fleet. */
#include "gate_fix.h"

#define POST_SHORT                                                             \
	REQ("POST", "/chat/x")                                                 \
	"X-Model: m\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"

/* Rounds of the event loop after which nothing more is expected. */
#define QUIET_ROUNDS 20

static void run_quiet(struct fix *f)
{
	for (int i = 0; i < QUIET_ROUNDS; i++)
		run_loop_once(f);
}

/*
 * Failure: after a power loss, callers are refused for half a second, retry
 * once, and are refused again or served late. Processes start and elect a
 * leader while callers already arrive, and a process that has just started
 * refuses them as if there were no leader.
 */
static void request_is_held_at_startup(void **state)
{
	struct caller *plain, *stream;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	script_answer(&f, 0, OK_TEXT, false, false);
	plain = call(&f, POST_ONCE);
	run_quiet(&f);
	assert_int_equal(plain->got->len, 0);
	f.clock.fake_ms += 600;
	set_default_routing(&f);
	run_quiet(&f);
	assert_int_equal(plain->got->len, 0);
	report_fleet(&f, "web", "");
	UNTIL(&f, received_ends_with(plain, "hello"));
	/* No request is held once routing and fleet are known. */
	stream = call(&f, GET_SAFE);
	UNTIL(&f, received_ends_with(stream, "hello"));
	fix_close(&f);
}

/* The deadline of a held request counts from its arrival: the endpoint gets the
 * remaining time, and a request past its deadline is refused. */
static void held_request_keeps_its_deadline(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	c = call(&f, POST_SHORT);
	run_quiet(&f);
	f.clock.fake_ms += 700;
	set_default_routing(&f);
	report_fleet(&f, "lm", "m");
	UNTIL(&f, f.eps[0].requests == 1);
	assert_non_null(strstr(f.eps[0].seen->str, "X-Deadline-Ms: 1300"));
	f.clock.fake_ms += 1301;
	UNTIL(&f, has_received(c, "HTTP/1.1 504 "));
	fix_close(&f);
}

/* After the time in which a leader is found there is none: requests are refused
 * at once, with a Retry-After. */
static void held_requests_are_refused_without_a_leader(void **state)
{
	struct caller *held, *late;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	held = call(&f, POST_ONCE);
	run_quiet(&f);
	assert_int_equal(held->got->len, 0);
	f.clock.fake_ms += 1500;
	UNTIL(&f, has_received(held, "HTTP/1.1 503 "));
	assert_true(has_received(held, "not_run"));
	assert_true(has_received(held, "Retry-After: "));
	late = call(&f, POST_ONCE);
	UNTIL(&f, has_received(late, "HTTP/1.1 503 "));
	fix_close(&f);
}

/* A caller that leaves is dropped from the hold, and the others are served. */
static void caller_of_a_held_request_leaves(void **state)
{
	struct caller *gone, *stays;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	script_answer(&f, 0, OK_TEXT, false, false);
	gone = call(&f, POST_ONCE);
	run_quiet(&f);
	stays = call(&f, POST_ONCE);
	run_quiet(&f);
	caller_leave(gone);
	run_quiet(&f);
	set_default_routing(&f);
	report_fleet(&f, "web", "");
	UNTIL(&f, received_ends_with(stays, "hello"));
	assert_int_equal(f.eps[0].requests, 1);
	fix_close(&f);
}

/* A planned stop during the hold refuses the held requests: another entry may
 * know routing and fleet. */
static void held_requests_are_refused_in_a_stop(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	c = call(&f, POST_ONCE);
	run_quiet(&f);
	gate_drain(f.gate, f.clock.fake_ms + 4000);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(request_is_held_at_startup),
		cmocka_unit_test(held_request_keeps_its_deadline),
		cmocka_unit_test(held_requests_are_refused_without_a_leader),
		cmocka_unit_test(caller_of_a_held_request_leaves),
		cmocka_unit_test(held_requests_are_refused_in_a_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
