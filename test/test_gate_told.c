/* A gate that is told which endpoints are slow, and tells what it sees. */
#include "gate_fix.h"

#define FAST_MS 20
#define SLOW 20000 /* thousandths: later than the route's objective */

static uint64_t rests(struct fix *f)
{
	return *metrics_value(f->metrics, "ss_gate_slow_rests_total", "");
}

static void tell_slow(struct fix *f, int i, int64_t ratio)
{
	struct fleet_load x = { .addr = ss_str(f->eps[i].addr), .slow = ratio };
	struct msg_fleet m = { .fence = 1, .loads = { &x, 1 } };

	gate_take_fleet(f->gate, &m);
}

/* Both endpoints are fast, and endpoint 1 is the emptier. */
static void open_even(struct fix *f)
{
	fix_open(f, "lm", "m");
	for (int i = 0; i < ENDPOINTS; i++) {
		script(f, i, EVENTS, false, false);
		f->at = i;
		for (int k = 0; k < 3; k++)
			carry_stream(f, FAST_MS, 1);
	}
	f->clock.fake_ms += 100;
}

/* Where a request goes that is in a hurry. */
static int goes_to(struct fix *f)
{
	static const int64_t first_ms[] = { FAST_MS, FAST_MS };

	return carry_event(f, STREAM("/brief/x", "100"), first_ms);
}

/* Answers that are reported of an endpoint. */
static uint64_t reported(struct fix *f, int i, int64_t *sum_ln)
{
	const struct endpoint_ends *e;
	struct gate_report r;
	uint64_t n = 0;

	*sum_ln = 0;
	gate_report(f->gate, &r);
	e = r.m.ends.items;
	for (size_t k = 0; k < r.m.ends.n; k++) {
		if (!ss_str_eq(e[k].addr, ss_str(f->eps[i].addr)))
			continue;
		n = e[k].slow_n;
		*sum_ln = e[k].slow_ln;
	}
	gate_report_done(&r);
	return n;
}

/* Guards against callers who are late on a slow engine that this entry hasn't
 * called of late, and against a word that outlives the slowness. */
static void told_slowness_turns_callers_away(void **state)
{
	struct fix f;

	(void)state;
	open_even(&f);
	assert_int_equal(goes_to(&f), 1);
	tell_slow(&f, 1, SLOW);
	f.clock.fake_ms += 100;
	for (int i = 0; i < 5; i++)
		assert_int_equal(goes_to(&f), 0);
	assert_int_equal(
		*metrics_value(f.metrics, "ss_gate_told_slow_total", ""), 1);
	assert_int_equal(rests(&f), 1);
	f.clock.fake_ms += 3000;
	assert_int_equal(goes_to(&f), 1);
	/* And it isn't rested where nobody is faster. */
	tell_slow(&f, 1, SLOW);
	f.eps[0].leaving = true;
	f.clock.fake_ms += 100;
	assert_int_equal(goes_to(&f), 1);
	fix_close(&f);
}

/* Guards against reports of even endpoints, and against a slow one that the
 * entries whose calls are fast again say nothing of; and against a former
 * incarnation's ratio. */
static void answers_of_uneven_endpoints_are_reported(void **state)
{
	int64_t sum_ln;
	struct fix f;

	(void)state;
	open_even(&f);
	assert_int_equal(reported(&f, 1, &sum_ln), 0);
	carry_stream(&f, FAST_MS, 1);
	assert_int_equal(reported(&f, 1, &sum_ln), 0);
	tell_slow(&f, 1, 2000);
	carry_stream(&f, FAST_MS, 1);
	assert_int_equal(reported(&f, 1, &sum_ln), 1);
	assert_in_range(sum_ln + 100, 0, 200);
	assert_int_equal(reported(&f, 1, &sum_ln), 0);
	tell_slow(&f, 1, 2000);
	g_strlcpy(f.eps[1].id, "i-next", sizeof(f.eps[1].id));
	f.eps[0].leaving = true;
	for (int i = 0; i < 3; i++) {
		f.clock.fake_ms += 100;
		carry_stream(&f, FAST_MS, 1);
	}
	assert_int_equal(reported(&f, 1, &sum_ln), 0);
	/* Ten times the median, by what it sees itself. */
	carry_stream(&f, 10 * FAST_MS, 1);
	assert_int_equal(reported(&f, 1, &sum_ln), 1);
	assert_in_range(sum_ln, 2000, 2600);
	fix_close(&f);
}

/* Guards against a stall that other entries hear of when it is over; a call
 * under way isn't told of at each report. */
static void stalled_calls_are_reported(void **state)
{
	int64_t sum_ln;
	uint64_t n = 0;
	struct fix f;
	int before;

	(void)state;
	open_even(&f);
	before = f.eps[1].requests;
	ask(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, f.eps[1].requests == before + 1);
	f.at = 0;
	for (int i = 0; i < 10; i++) {
		f.clock.fake_ms += 100;
		assert_int_equal(goes_to(&f), 0);
		n += reported(&f, 1, &sum_ln);
	}
	/* At each doubling, of a second. */
	assert_in_range(n, 3, 5);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(told_slowness_turns_callers_away),
		cmocka_unit_test(answers_of_uneven_endpoints_are_reported),
		cmocka_unit_test(stalled_calls_are_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
