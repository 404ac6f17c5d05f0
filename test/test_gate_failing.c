/* A gate that is told which endpoints fail, and tells what it sees. */
#include "gate_fix.h"

#include "../src/core/failing.h"

#define FAILS                                                                  \
	"HTTP/1.1 500 Internal Server Error\r\n" HEAD                          \
	"Content-Length: 0\r\n\r\n"

static void tell_failing(struct fix *f, int i, int64_t of_whole)
{
	struct fleet_load x = { .addr = ss_str(f->eps[i].addr),
				.failing = of_whole };
	struct msg_fleet m = { .fence = 1, .loads = { &x, 1 } };

	gate_take_fleet(f->gate, &m);
}

/* What is reported of an endpoint; -1: nothing. */
static void reported(struct fix *f, int i, int64_t *failed, int64_t *answered)
{
	const struct endpoint_ends *e;
	struct gate_report r;

	*failed = *answered = -1;
	gate_report(f->gate, &r);
	e = r.m.ends.items;
	for (size_t k = 0; k < r.m.ends.n; k++) {
		if (!ss_str_eq(e[k].addr, ss_str(f->eps[i].addr)))
			continue;
		*failed = (int64_t)e[k].failed;
		*answered = (int64_t)e[k].answered;
	}
	gate_report_done(&r);
}

static void get(struct fix *f, const char *status)
{
	struct caller *c = call(f, POST_ONCE);

	UNTIL(f, got(c, status));
}

/* Which endpoint plain calls go to where both are idle. */
static int favourite(struct fix *f)
{
	script(f, 0, OK_TEXT, false, false);
	script(f, 1, OK_TEXT, false, false);
	get(f, "HTTP/1.1 200 ");
	return f->eps[0].requests ? 0 : 1;
}

/*
 * Symptom: calls go on to an endpoint of which another entry has seen that it
 * fails. What the leader tells of it turns them away, until it has faded.
 */
static void told_failures_turn_calls_away(void **state)
{
	struct fix f;
	int at;

	(void)state;
	fix_open(&f, "web", "");
	at = favourite(&f);
	tell_failing(&f, at, 400);
	for (int i = 1; i <= 3; i++)
		get(&f, "HTTP/1.1 200 ");
	assert_int_equal(f.eps[at].requests, 1);
	f.clock.fake_ms += 60000;
	tell_fleet(&f, "web", "");
	get(&f, "HTTP/1.1 200 ");
	assert_int_equal(f.eps[at].requests, 2);
	fix_close(&f);
}

/* Nothing is told of sound endpoints; a failure goes with the calls that were
 * answered before it, and later answers are told while others know of it. */
static void failures_are_told_with_answers(void **state)
{
	int64_t failed, answered;
	struct fix f;
	int at;

	(void)state;
	fix_open(&f, "web", "");
	at = favourite(&f);
	get(&f, "HTTP/1.1 200 ");
	reported(&f, at, &failed, &answered);
	assert_int_equal(failed, -1);
	f.eps[at].n_replies = 0;
	script(&f, at, FAILS, false, false);
	get(&f, "HTTP/1.1 500 ");
	reported(&f, at, &failed, &answered);
	assert_int_equal(failed, 1);
	assert_int_equal(answered, 2);
	reported(&f, at, &failed, &answered);
	assert_int_equal(failed, -1);
	f.eps[at].n_replies = 0;
	script(&f, at, OK_TEXT, false, false);
	tell_failing(&f, at, 20);
	f.at = at;
	tell_fleet(&f, "web", "");
	get(&f, "HTTP/1.1 200 ");
	assert_int_equal(f.eps[at].requests, 4);
	reported(&f, at, &failed, &answered);
	assert_int_equal(failed, 0);
	assert_int_equal(answered, 1);
	fix_close(&f);
}

/* A connection that isn't made may be this VM's own trouble. */
static void what_isnt_reached_is_told_to_nobody(void **state)
{
	int64_t failed, answered;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	end_endpoint(&f, 0);
	end_endpoint(&f, 1);
	call(&f, POST_ONCE);
	UNTIL(&f, *metrics_value(f.metrics, "ss_gate_connections_opened_total",
				 "") >= 2);
	for (int i = 0; i < ENDPOINTS; i++) {
		reported(&f, i, &failed, &answered);
		assert_int_equal(failed, -1);
	}
	fix_close(&f);
}

static uint64_t opened(struct fix *f)
{
	return *metrics_value(f->metrics, "ss_gate_connections_opened_total",
			      "");
}

static uint64_t waiting(struct fix *f)
{
	return *metrics_value(f->metrics, "ss_gate_waiting", "");
}

/* Symptom: an entry is busy with nothing but connections that are refused,
 * until it is told that the model's only holders have ended. */
static void shut_endpoint_is_tried_now_and_then(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	end_endpoint(&f, 0);
	end_endpoint(&f, 1);
	c = call(&f, POST_ONCE);
	UNTIL(&f, opened(&f) == ENDPOINTS && waiting(&f) == 1);
	for (int i = 0; i < 20; i++)
		turn(&f);
	assert_int_equal(opened(&f), ENDPOINTS);
	f.clock.fake_ms += 50;
	UNTIL(&f, opened(&f) == 2 * ENDPOINTS && waiting(&f) == 1);
	start_endpoint(&f, 0);
	script(&f, 0, OK_TEXT, false, false);
	tell_fleet(&f, "web", "");
	UNTIL(&f, got(c, "HTTP/1.1 200 "));
	assert_int_equal(f.eps[0].requests, 1);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(told_failures_turn_calls_away),
		cmocka_unit_test(failures_are_told_with_answers),
		cmocka_unit_test(what_isnt_reached_is_told_to_nobody),
		cmocka_unit_test(shut_endpoint_is_tried_now_and_then),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
