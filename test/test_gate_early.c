/* A gate that has just started: what comes before it knows anything. */
#include "gate_fix.h"

#define POST_SHORT                                                             \
	REQ("POST", "/chat/x")                                                 \
	"X-Model: m\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"

/* So many turns in which nothing is to happen. */
#define QUIET_TURNS 20

static void rest(struct fix *f)
{
	for (int i = 0; i < QUIET_TURNS; i++)
		turn(f);
}

/*
 * Symptom: after a loss of power, callers are refused for half a second, come
 * back once, and are refused again or served late. Sequence: processes start, a
 * leader is elected and found; callers come from the first moment. Cause: a
 * process that had just started refused as if it knew that nobody leads.
 */
static void early_request_is_held_and_served(void **state)
{
	struct caller *plain, *stream;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	script(&f, 0, OK_TEXT, false, false);
	plain = call(&f, POST_ONCE);
	rest(&f);
	assert_int_equal(plain->got->len, 0);
	f.clock.fake_ms += 600;
	tell_routing(&f);
	rest(&f);
	assert_int_equal(plain->got->len, 0);
	tell_fleet(&f, "web", "");
	UNTIL(&f, ends(plain, "hello"));
	/* Nothing is held once it is known where requests lead. */
	stream = call(&f, GET_SAFE);
	UNTIL(&f, ends(stream, "hello"));
	fix_close(&f);
}

/* Its time runs from its arrival: the endpoint is told what is left, and who
 * can't be served any more is refused. */
static void early_request_keeps_its_deadline(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	c = call(&f, POST_SHORT);
	rest(&f);
	f.clock.fake_ms += 700;
	tell_routing(&f);
	tell_fleet(&f, "lm", "m");
	UNTIL(&f, f.eps[0].requests == 1);
	assert_non_null(strstr(f.eps[0].seen->str, "X-Deadline-Ms: 1300"));
	f.clock.fake_ms += 1301;
	UNTIL(&f, got(c, "HTTP/1.1 504 "));
	fix_close(&f);
}

/* After the time in which a leader is found nobody leads: all are refused at
 * once, and told when to come back. */
static void early_requests_are_refused_when_nobody_leads(void **state)
{
	struct caller *held, *late;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	held = call(&f, POST_ONCE);
	rest(&f);
	assert_int_equal(held->got->len, 0);
	f.clock.fake_ms += 1500;
	UNTIL(&f, got(held, "HTTP/1.1 503 "));
	assert_true(got(held, "not_run"));
	assert_true(got(held, "Retry-After: "));
	late = call(&f, POST_ONCE);
	UNTIL(&f, got(late, "HTTP/1.1 503 "));
	fix_close(&f);
}

/* One who leaves is forgotten, the others go on. */
static void early_caller_may_leave(void **state)
{
	struct caller *gone, *stays;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	script(&f, 0, OK_TEXT, false, false);
	gone = call(&f, POST_ONCE);
	rest(&f);
	stays = call(&f, POST_ONCE);
	rest(&f);
	leave(gone);
	rest(&f);
	tell_routing(&f);
	tell_fleet(&f, "web", "");
	UNTIL(&f, ends(stays, "hello"));
	assert_int_equal(f.eps[0].requests, 1);
	fix_close(&f);
}

/* A planned stop in the first second refuses them: another entry may know. */
static void early_requests_are_refused_in_a_stop(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	c = call(&f, POST_ONCE);
	rest(&f);
	gate_drain(f.gate, f.clock.fake_ms + 4000);
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(early_request_is_held_and_served),
		cmocka_unit_test(early_request_keeps_its_deadline),
		cmocka_unit_test(early_requests_are_refused_when_nobody_leads),
		cmocka_unit_test(early_caller_may_leave),
		cmocka_unit_test(early_requests_are_refused_in_a_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
