/* Tests the failure rates of endpoints that the leader reports, and the call
 * results that are reported to it. */
#include "gate_fix.h"

#include "../src/core/failure_rate.h"

#define FAILS                                                                  \
	"HTTP/1.1 500 Internal Server Error\r\n" HEAD                          \
	"Content-Length: 0\r\n\r\n"

/* Reports an endpoint's failure rate to the gate, as the leader does. */
static void report_failing(struct fix *f, int i, int64_t permille)
{
	struct fleet_load x = { .addr = ss_str(f->eps[i].addr),
				.failure_rate = permille };
	struct msg_fleet m = { .fence = 1, .loads = { &x, 1 } };

	gate_fleet_received(f->gate, &m);
}

/* Takes the gate's next report and reads its call results for an endpoint; -1:
 * none. */
static void read_results(struct fix *f, int i, int64_t *failed,
			 int64_t *answered)
{
	const struct endpoint_results *e;
	struct gate_report r;

	*failed = *answered = -1;
	gate_report(f->gate, &r);
	e = r.m.results.items;
	for (size_t k = 0; k < r.m.results.n; k++) {
		if (!ss_str_eq(e[k].addr, ss_str(f->eps[i].addr)))
			continue;
		*failed = (int64_t)e[k].failed;
		*answered = (int64_t)e[k].answered;
	}
	gate_report_done(&r);
}

static void call_once(struct fix *f, const char *status)
{
	struct caller *c = call(f, POST_ONCE);

	UNTIL(f, has_received(c, status));
}

/* Returns the endpoint that plain calls go to while both are idle. */
static int preferred_endpoint(struct fix *f)
{
	script_answer(f, 0, OK_TEXT, false, false);
	script_answer(f, 1, OK_TEXT, false, false);
	call_once(f, "HTTP/1.1 200 ");
	return f->eps[0].requests ? 0 : 1;
}

/*
 * Failure: calls continue to an endpoint that another entry has seen fail. The
 * failure rate that the leader reports diverts them until it has decayed.
 */
static void reported_failures_divert_calls(void **state)
{
	struct fix f;
	int at;

	(void)state;
	fix_open(&f, "web", "");
	at = preferred_endpoint(&f);
	report_failing(&f, at, 400);
	for (int i = 1; i <= 3; i++)
		call_once(&f, "HTTP/1.1 200 ");
	assert_int_equal(f.eps[at].requests, 1);
	f.clock.fake_ms += 60000;
	report_fleet(&f, "web", "");
	call_once(&f, "HTTP/1.1 200 ");
	assert_int_equal(f.eps[at].requests, 2);
	fix_close(&f);
}

/* Endpoints without failures aren't reported. A failure is reported together
 * with the calls answered before it; later answers are reported while other
 * entries know of the failure. */
static void failures_are_reported_with_answers(void **state)
{
	int64_t failed, answered;
	struct fix f;
	int at;

	(void)state;
	fix_open(&f, "web", "");
	at = preferred_endpoint(&f);
	call_once(&f, "HTTP/1.1 200 ");
	read_results(&f, at, &failed, &answered);
	assert_int_equal(failed, -1);
	f.eps[at].n_replies = 0;
	script_answer(&f, at, FAILS, false, false);
	call_once(&f, "HTTP/1.1 500 ");
	read_results(&f, at, &failed, &answered);
	assert_int_equal(failed, 1);
	assert_int_equal(answered, 2);
	read_results(&f, at, &failed, &answered);
	assert_int_equal(failed, -1);
	f.eps[at].n_replies = 0;
	script_answer(&f, at, OK_TEXT, false, false);
	report_failing(&f, at, 20);
	f.at = at;
	report_fleet(&f, "web", "");
	call_once(&f, "HTTP/1.1 200 ");
	assert_int_equal(f.eps[at].requests, 4);
	read_results(&f, at, &failed, &answered);
	assert_int_equal(failed, 0);
	assert_int_equal(answered, 1);
	fix_close(&f);
}

/* A failed connect may be a fault of this VM and isn't reported. */
static void failed_connects_are_not_reported(void **state)
{
	int64_t failed, answered;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	crash_endpoint(&f, 0);
	crash_endpoint(&f, 1);
	call(&f, POST_ONCE);
	UNTIL(&f, *metrics_value(f.metrics, "ss_gate_connections_opened_total",
				 "") >= 2);
	for (int i = 0; i < ENDPOINTS; i++) {
		read_results(&f, i, &failed, &answered);
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

/* Failure: an entry spends all its time on refused connections, until the
 * leader reports that the only endpoints which could serve the request have
 * crashed. */
static void unreachable_endpoint_is_retried_slowly(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	crash_endpoint(&f, 0);
	crash_endpoint(&f, 1);
	c = call(&f, POST_ONCE);
	UNTIL(&f, opened(&f) == ENDPOINTS && waiting(&f) == 1);
	for (int i = 0; i < 20; i++)
		run_loop_once(&f);
	assert_int_equal(opened(&f), ENDPOINTS);
	f.clock.fake_ms += 50;
	UNTIL(&f, opened(&f) == 2 * ENDPOINTS && waiting(&f) == 1);
	start_endpoint(&f, 0);
	script_answer(&f, 0, OK_TEXT, false, false);
	report_fleet(&f, "web", "");
	UNTIL(&f, has_received(c, "HTTP/1.1 200 "));
	assert_int_equal(f.eps[0].requests, 1);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reported_failures_divert_calls),
		cmocka_unit_test(failures_are_reported_with_answers),
		cmocka_unit_test(failed_connects_are_not_reported),
		cmocka_unit_test(unreachable_endpoint_is_retried_slowly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
