/* A gate between endpoints of different speed. */
#include "gate_fix.h"

#define SLOW_MS 1500
#define FAST_MS 20
#define STARTS 5 /* fewer than the other endpoint has calls */
#define LOADED(figures)                                                        \
	"HTTP/1.1 200 OK\r\n" HEAD "X-Server-Load: " figures                   \
	"\r\nContent-Length: 5\r\n\r\nhello"
#define POST_BRIEF_NOW STREAM("/brief/x", "100")

static uint64_t rests(struct fix *f)
{
	return *metrics_value(f->metrics, "ss_gate_slow_rests_total", "");
}

/* Streams on the one endpoint that take so long to begin. */
static void show(struct fix *f, int at, int64_t first_ms)
{
	f->at = at;
	for (int i = 0; i < 3; i++)
		carry_stream(f, first_ms, 1);
}

/* Endpoint 0 is fast, endpoint 1 slow; the latter is the emptier. */
static void open_uneven(struct fix *f)
{
	fix_open(f, "lm", "m");
	script(f, 0, EVENTS, false, false);
	script(f, 1, EVENTS, false, false);
	show(f, 1, SLOW_MS);
	show(f, 0, FAST_MS);
	f->at = 1;
	/* Medians are taken anew. */
	f->clock.fake_ms += 100;
}

/* Where a request goes while the slow one is known to be the emptier, and is
 * answered. */
static int goes_to(struct fix *f, const char *text, int64_t slow_ms)
{
	const int64_t first_ms[] = { FAST_MS, slow_ms };

	return carry_event(f, text, first_ms);
}

/* Guards against callers with an objective who are late on a slow engine while
 * a fast one has room. Those without are served as before. */
static void slow_engines_rest_from_callers_in_a_hurry(void **state)
{
	struct fix f;

	(void)state;
	open_uneven(&f);
	assert_int_equal(goes_to(&f, STREAM("/chat/x", "100"), SLOW_MS), 1);
	assert_int_equal(rests(&f), 0);
	f.clock.fake_ms += 100;
	assert_int_equal(goes_to(&f, POST_BRIEF_NOW, SLOW_MS), 0);
	assert_int_equal(rests(&f), 1);
	assert_int_equal(goes_to(&f, POST_BRIEF_NOW, SLOW_MS), 0);
	assert_int_equal(rests(&f), 1);
	/* It is used again before long, and rests no more once it is fast. */
	f.clock.fake_ms += 8000;
	show(&f, 1, FAST_MS);
	f.clock.fake_ms += 100;
	assert_int_equal(goes_to(&f, POST_BRIEF_NOW, FAST_MS), 1);
	assert_int_equal(rests(&f), 1);
	fix_close(&f);
}

/* Guards against a request that waits, or is refused, beside an idle engine:
 * one that rests is called where no other has room. */
static void resting_engine_is_called_where_others_are_full(void **state)
{
	struct fix f;
	int before;

	(void)state;
	open_uneven(&f);
	f.clock.fake_ms += 100;
	assert_int_equal(goes_to(&f, POST_BRIEF_NOW, SLOW_MS), 0);
	assert_int_equal(rests(&f), 1);
	before = f.eps[1].requests;
	/* The fast one has places for two. */
	for (int i = 0; i < 3; i++)
		call(&f, POST_BRIEF_NOW);
	UNTIL(&f, f.eps[1].requests == before + 1);
	fix_close(&f);
}

/* Guards against a rest of the only endpoint that can be called. */
static void the_last_engine_does_not_rest(void **state)
{
	struct fix f;

	(void)state;
	open_uneven(&f);
	f.eps[0].leaving = true;
	assert_int_equal(goes_to(&f, POST_BRIEF_NOW, SLOW_MS), 1);
	assert_int_equal(rests(&f), 0);
	fix_close(&f);
}

/* Guards against an engine that stands still and gets more calls, as it has
 * answered fast until now. */
static void a_stall_is_seen_before_any_answer(void **state)
{
	struct fix f;
	int before;

	(void)state;
	fix_open(&f, "lm", "m");
	script(&f, 0, EVENTS, false, false);
	script(&f, 1, EVENTS, false, false);
	show(&f, 1, FAST_MS);
	show(&f, 0, FAST_MS);
	f.at = 1;
	before = f.eps[1].requests;
	for (int i = 0; i < 5; i++) {
		ask(&f, "m", STREAM("/chat/x", "100"));
		UNTIL(&f, f.eps[1].requests == before + i + 1);
	}
	f.clock.fake_ms += SLOW_MS;
	assert_int_equal(goes_to(&f, POST_BRIEF_NOW, SLOW_MS), 0);
	assert_int_equal(rests(&f), 1);
	fix_close(&f);
}

/* Guards against what was learned of a former incarnation, and against a burst
 * to one that has just started. */
static void restart_begins_slowly_and_unknown(void **state)
{
	struct fix f;
	int before;

	(void)state;
	open_uneven(&f);
	assert_int_equal(goes_to(&f, POST_BRIEF_NOW, SLOW_MS), 0);
	assert_int_equal(rests(&f), 1);
	g_strlcpy(f.eps[1].id, "i-next", sizeof(f.eps[1].id));
	before = f.eps[0].requests + f.eps[1].requests;
	for (int i = 1; i <= STARTS; i++) {
		ask(&f, "m", POST_BRIEF_NOW);
		UNTIL(&f, f.eps[0].requests + f.eps[1].requests == before + i);
	}
	/* One in some twenty, by chance. */
	assert_in_range(f.eps[1].requests, 3, 3 + STARTS - 2);
	f.clock.fake_ms += 3000;
	assert_int_equal(goes_to(&f, POST_BRIEF_NOW, SLOW_MS), 1);
	assert_int_equal(rests(&f), 1);
	fix_close(&f);
}

struct figure_case {
	const char *label, *answer;
	int64_t later_ms;
	bool shifts; /* most calls go to the other one */
};

/* Guards against an endpoint's word for its speed that isn't heeded, and one
 * that is heeded though it is nonsense, or old. */
static void reported_work_shifts_plain_calls(void **state)
{
	static const struct figure_case cases[] = {
		{ "none", LOADED("0,0,8"), 0, false },
		{ "usual", LOADED("0,0,8,100"), 0, false },
		{ "ten times slower", LOADED("0,0,8,1000"), 0, true },
		{ "absurd", LOADED("0,0,8,90000"), 0, false },
		{ "old", LOADED("0,0,8,1000"), 250, false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct figure_case *x = &cases[i];
		int first = 0;
		struct fix f;

		fix_open(&f, "web", "");
		script(&f, 0, x->answer, false, false);
		script(&f, 1, OK_TEXT, false, false);
		f.at = 0;
		for (int k = 0; k <= STARTS; k++) {
			struct caller *c;

			tell_fleet(&f, "web", "");
			c = call(&f, POST_ONCE);
			UNTIL(&f, got(c, "hello"));
			first = f.eps[0].requests - 1;
			f.clock.fake_ms += x->later_ms;
		}
		if (x->shifts ? first > STARTS - 2 : first < STARTS)
			fail_msg("%s: %d", x->label, first);
		fix_close(&f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(slow_engines_rest_from_callers_in_a_hurry),
		cmocka_unit_test(
			resting_engine_is_called_where_others_are_full),
		cmocka_unit_test(the_last_engine_does_not_rest),
		cmocka_unit_test(a_stall_is_seen_before_any_answer),
		cmocka_unit_test(restart_begins_slowly_and_unknown),
		cmocka_unit_test(reported_work_shifts_plain_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
