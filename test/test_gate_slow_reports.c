/* The exchange of endpoint slowness between a gate and the leader. */
#include "gate_fix.h"

#define FAST_MS 20
#define SLOW_PERMILLE 20000 /* of the median; later than the objective */

static uint64_t count_ejections(struct fix *f)
{
	return *metrics_value(f->metrics, "ss_gate_slow_rests_total", "");
}

static void send_slow_ratio(struct fix *f, int i, int64_t ratio)
{
	struct fleet_load x = { .addr = ss_str(f->eps[i].addr),
				.slowness = ratio };
	struct msg_fleet m = { .fence = 1, .loads = { &x, 1 } };

	gate_fleet_received(f->gate, &m);
}

/* Both endpoints are fast, and endpoint 1 is less loaded. */
static void open_equal(struct fix *f)
{
	fix_open(f, "lm", "m");
	for (int i = 0; i < ENDPOINTS; i++) {
		script_answer(f, i, EVENTS, false, false);
		f->at = i;
		for (int k = 0; k < 3; k++)
			run_one_stream(f, FAST_MS, 1);
	}
	f->clock.fake_ms += 100;
}

/* The endpoint that gets a request with a short objective. */
static int chosen_endpoint(struct fix *f)
{
	static const int64_t first_ms[] = { FAST_MS, FAST_MS };

	return run_one_event(f, STREAM("/brief/x", "100"), first_ms);
}

/* The number of answers of an endpoint in the gate's report. */
static uint64_t reported_answers(struct fix *f, int i, int64_t *sum_ln)
{
	const struct endpoint_results *e;
	struct gate_report r;
	uint64_t n = 0;

	*sum_ln = 0;
	gate_report(f->gate, &r);
	e = r.m.results.items;
	for (size_t k = 0; k < r.m.results.n; k++) {
		if (!ss_str_eq(e[k].addr, ss_str(f->eps[i].addr)))
			continue;
		n = e[k].slowness_count;
		*sum_ln = e[k].slowness_ln;
	}
	gate_report_done(&r);
	return n;
}

/* Guards against requests that are late on a slow engine to which this entry
 * has sent none recently, and against a reported ratio that never expires. */
static void reported_slowness_ejects_endpoint(void **state)
{
	struct fix f;

	(void)state;
	open_equal(&f);
	assert_int_equal(chosen_endpoint(&f), 1);
	send_slow_ratio(&f, 1, SLOW_PERMILLE);
	f.clock.fake_ms += 100;
	for (int i = 0; i < 5; i++)
		assert_int_equal(chosen_endpoint(&f), 0);
	assert_int_equal(
		*metrics_value(f.metrics, "ss_gate_told_slow_total", ""), 1);
	assert_int_equal(count_ejections(&f), 1);
	f.clock.fake_ms += 3000;
	assert_int_equal(chosen_endpoint(&f), 1);
	/* An endpoint isn't ejected if no other is faster. */
	send_slow_ratio(&f, 1, SLOW_PERMILLE);
	f.eps[0].leaving = true;
	f.clock.fake_ms += 100;
	assert_int_equal(chosen_endpoint(&f), 1);
	fix_close(&f);
}

/* Guards against reports of endpoints of usual speed, against entries that
 * don't report that a slow endpoint is fast again, and against a former
 * incarnation's ratio that still applies. */
static void unusual_endpoints_are_reported(void **state)
{
	int64_t sum_ln;
	struct fix f;

	(void)state;
	open_equal(&f);
	assert_int_equal(reported_answers(&f, 1, &sum_ln), 0);
	run_one_stream(&f, FAST_MS, 1);
	assert_int_equal(reported_answers(&f, 1, &sum_ln), 0);
	send_slow_ratio(&f, 1, 2000);
	run_one_stream(&f, FAST_MS, 1);
	assert_int_equal(reported_answers(&f, 1, &sum_ln), 1);
	assert_in_range(sum_ln + 100, 0, 200);
	assert_int_equal(reported_answers(&f, 1, &sum_ln), 0);
	send_slow_ratio(&f, 1, 2000);
	g_strlcpy(f.eps[1].id, "i-next", sizeof(f.eps[1].id));
	f.eps[0].leaving = true;
	for (int i = 0; i < 3; i++) {
		f.clock.fake_ms += 100;
		run_one_stream(&f, FAST_MS, 1);
	}
	assert_int_equal(reported_answers(&f, 1, &sum_ln), 0);
	/* Ten times the median, by the gate's own measurement. */
	run_one_stream(&f, 10 * FAST_MS, 1);
	assert_int_equal(reported_answers(&f, 1, &sum_ln), 1);
	assert_in_range(sum_ln, 2000, 2600);
	fix_close(&f);
}

/* Guards against a stall that is reported only when it is over, and against a
 * pending request that every report counts again. */
static void stalled_requests_are_reported(void **state)
{
	int64_t sum_ln;
	uint64_t n = 0;
	struct fix f;
	int before;

	(void)state;
	open_equal(&f);
	before = f.eps[1].requests;
	call_endpoint(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, f.eps[1].requests == before + 1);
	f.at = 0;
	for (int i = 0; i < 10; i++) {
		f.clock.fake_ms += 100;
		assert_int_equal(chosen_endpoint(&f), 0);
		n += reported_answers(&f, 1, &sum_ln);
	}
	/* Counted at each doubling of its age, within one second. */
	assert_in_range(n, 3, 5);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reported_slowness_ejects_endpoint),
		cmocka_unit_test(unusual_endpoints_are_reported),
		cmocka_unit_test(stalled_requests_are_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
