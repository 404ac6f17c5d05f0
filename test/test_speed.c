/* How slow endpoints are beside each other, by what their calls take. */
#include "unit.h"

#include "../src/core/balance.h"
#include "../src/core/speed.h"

#include <math.h>

#define FIRST_MS 40 /* of an endpoint at full speed */

/* So many answers, one each 200 ms. */
static int64_t answer(struct speed *s, int n, double ms, int64_t now)
{
	for (int i = 0; i < n; i++) {
		now += 200;
		speed_note(s, ms, now);
	}
	return now;
}

struct ratio_case {
	const char *label;
	int n;
	double ms;
	int64_t later_ms; /* it is asked so long after the last answer */
	double least, most;
};

static const struct ratio_case ratios[] = {
	{ "nothing is known", 0, 0, 0, 0, 0 },
	{ "as fast as others", 5, 40, 0, 0.99, 1.01 },
	{ "one long prompt", 1, 85, 0, 1, 1.5 },
	{ "one answer that is very late", 1, 800, 0, 3, 6 },
	{ "five times slower", 10, 200, 0, 4, 5 },
	{ "a third slower", 10, 53, 0, 1.2, 1.5 },
	{ "twice as fast", 10, 20, 0, 0.5, 0.6 },
	{ "slower until some seconds ago", 4, 200, 8000, 1, 2.5 },
	{ "slower until a minute ago", 10, 200, 60000, 0, 1.5 },
	{ "a time of 0", 10, 0, 0, 0, 0 },
	{ "a negative time", 10, -7, 0, 0, 0 },
	{ "no number", 10, NAN, 0, 0, 0 },
};

/* Guards against a few chance prompts that pass for a slow endpoint, and
 * against one that stays slow in memory as it gets no more calls. */
static void answers_show_the_speed(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ratios); i++) {
		const struct ratio_case *c = &ratios[i];
		struct speed s = { 0 };
		int64_t now = answer(&s, c->n, c->ms, 100000) + c->later_ms;
		double got = speed_ratio(&s, FIRST_MS, now);

		if (got < c->least || got > c->most)
			fail_msg("%s: %.2f", c->label, got);
	}
	assert_true(speed_weight(1.45) == 1 && speed_weight(0.7) == 1);
	assert_true(speed_weight(1.6) == 1.6 && speed_weight(0) == 0);
	assert_true(speed_median((double[]){ 9, 3 }, 2) == 3);
	assert_true(speed_median((double[]){ 9 }, 1) == 0);
}

/* Guards against an endpoint that stands still, answers nothing, and so passes
 * for as fast as it was. */
static void calls_under_way_show_a_stall(void **state)
{
	struct speed s = { 0 }, fresh = { 0 };
	int64_t now = answer(&s, 10, FIRST_MS, 100000) + 1200;

	(void)state;
	speed_open_begin(&s);
	speed_open(&s, 50, FIRST_MS, now);
	assert_true(speed_weight(speed_ratio(&s, FIRST_MS, now)) == 1);
	for (int i = 0; i < 3; i++)
		speed_open(&s, 1200, FIRST_MS, now);
	assert_true(speed_ratio(&s, FIRST_MS, now) > 4);
	speed_open(&fresh, 1200, FIRST_MS, now);
	assert_true(speed_ratio(&fresh, FIRST_MS, now) > 4);
	/* Whoever leaves has waited at least so long. */
	speed_open_begin(&s);
	speed_note_least(&s, 10, FIRST_MS, now);
	assert_true(speed_weight(speed_ratio(&s, FIRST_MS, now)) == 1);
	speed_note_least(&s, 1200, FIRST_MS, now);
	assert_true(speed_ratio(&s, FIRST_MS, now) > 2);
	speed_open_begin(&s);
	now = answer(&s, 4, FIRST_MS, now);
	assert_true(speed_weight(speed_ratio(&s, FIRST_MS, now)) == 1);
}

/* Guards against an endpoint's own word that is nonsense, or is over. */
static void reported_work_is_believed_for_a_moment(void **state)
{
	static const int64_t absurd[] = { 0, -5, 24, 1001, INT64_MAX };
	struct speed s = { 0 };

	(void)state;
	assert_true(speed_reported(&s, 100) == 0);
	for (size_t i = 0; i < G_N_ELEMENTS(absurd); i++)
		speed_work(&s, absurd[i], 1000);
	assert_true(speed_reported(&s, 1000) == 0);
	speed_work(&s, 250, 1000);
	assert_true(speed_reported(&s, 1200) == 2.5);
	speed_work(&s, 5000, 1150);
	assert_true(speed_reported(&s, 1201) == 0);
}

/* Guards against a slow endpoint that is never tried again, or is tried by
 * all callers together. */
static void rests_end_with_one_trial(void **state)
{
	struct speed_rest r = { 0 };
	int64_t now = 100000, first;

	(void)state;
	assert_true(speed_rest_is_due(&r, now));
	speed_rest_begin(&r, now);
	first = r.pause_ms;
	assert_true(speed_is_resting(&r, now) && !speed_rest_is_due(&r, now));
	now = r.until_ms;
	assert_false(speed_is_resting(&r, now) || speed_rest_is_due(&r, now));
	speed_rest_sent(&r, now);
	assert_true(speed_is_resting(&r, now + 100));
	assert_true(speed_rest_answered(&r, 6));
	speed_rest_begin(&r, now + 300);
	assert_int_equal(r.pause_ms, 2 * first);
	now = r.until_ms;
	speed_rest_sent(&r, now);
	assert_false(speed_rest_answered(&r, 1.2));
	assert_false(speed_is_resting(&r, now));
	/* A trial that doesn't come back. */
	speed_rest_begin(&r, now);
	now = r.until_ms;
	speed_rest_sent(&r, now);
	assert_true(speed_rest_is_due(&r, now + 1000));
	assert_false(speed_needs_rest(6, 250, 300));
	assert_false(speed_needs_rest(3, 400, 300));
	assert_true(speed_needs_rest(6, 400, 300));
}

/* Guards against a burst of calls to an endpoint that has just started. */
static void started_endpoints_get_more_and_more(void **state)
{
	(void)state;
	assert_true(speed_start(0, 0) > 0 && speed_start(0, 0) <= 0.2);
	assert_true(speed_start(1500, 0) == 0.5);
	assert_true(speed_start(100, 5) == 0.5);
	assert_true(speed_start(100, 900) == 1 && speed_start(9000, 0) == 1);
}

#define PLAYED 10
#define CALL_MS 500    /* after its first event */
#define IN_TIME_MS 200 /* until then */
#define SLOW_FROM_MS 10000
#define PLAY_MS 60000

/* Ten engines. From a time to another the first of them, or all, are slower. */
struct play_case {
	const char *label;
	int64_t gap_ms; /* calls come so far apart */
	bool share;	/* they are drawn by room */
	bool all;
	bool whole;  /* all of a call is slower, and not only its beginning */
	double slow; /* times slower; 0: they stand still */
	int64_t to_ms;
	int least, most; /* calls of the first while it is slow, in percent of
			    an even part, but for the first second */
	int late;	 /* of all calls then, in percent, at most */
};

static const struct play_case plays[] = {
	{ "even", 20, false, false, false, 1, PLAY_MS, 90, 110, 0 },
	{ "few calls", 100, false, false, false, 5, PLAY_MS, 10, 35, 3 },
	{ "some calls each", 20, false, false, false, 5, PLAY_MS, 10, 35, 3 },
	{ "many calls each", 5, false, false, false, 5, PLAY_MS, 10, 35, 3 },
	{ "drawn by room", 20, true, false, false, 5, PLAY_MS, 15, 45, 3 },
	{ "of all of a call", 20, false, false, true, 5, PLAY_MS, 10, 35, 3 },
	{ "a stall", 20, false, false, false, 0, 14000, 0, 25, 3 },
	{ "all are slow", 20, false, true, true, 6, PLAY_MS, 80, 120, 100 },
	{ "all stand still", 20, false, true, false, 0, 14000, 50, 150, 100 },
};

struct played {
	int64_t sent_ms, first_ms, end_ms;
	int at;
	bool told;
};

struct play {
	const struct play_case *c;
	struct speed speeds[PLAYED];
	double ratios[PLAYED], median;
	int64_t running[PLAYED];
	struct played calls[PLAY_MS];
	int n;
	uint64_t seed;
};

/* One call's time: between 0.8 and 1.2 of the usual. */
static void play_send(struct play *p, int at, int64_t now)
{
	const struct play_case *c = p->c;
	bool hit = (c->all || at == 0) && now >= SLOW_FROM_MS && now < c->to_ms;
	double slow = hit ? c->slow : 1;
	double first =
		FIRST_MS * (0.8 + (double)(ss_random(&p->seed) % 5) / 10);
	struct played *x = &p->calls[p->n++];

	*x = (struct played){ .sent_ms = now, .at = at };
	x->first_ms = now + (int64_t)(first * slow);
	if (slow <= 0) {
		x->first_ms = c->to_ms + (int64_t)first;
		slow = 1;
	}
	x->end_ms = x->first_ms + (int64_t)(CALL_MS * (c->whole ? slow : 1));
	p->running[at]++;
}

static void play_answers(struct play *p, int64_t now)
{
	for (int i = 0; i < p->n; i++) {
		struct played *x = &p->calls[i];

		if (!x->told && x->first_ms <= now) {
			speed_note(&p->speeds[x->at],
				   (double)(x->first_ms - x->sent_ms), now);
			x->told = true;
		}
		if (x->end_ms <= now && x->end_ms > now - 5)
			p->running[x->at]--;
	}
}

static void play_look(struct play *p, int64_t now)
{
	double ms[PLAYED];
	size_t n = 0;

	for (int i = 0; i < PLAYED; i++)
		speed_open_begin(&p->speeds[i]);
	for (int i = 0; i < p->n; i++)
		if (!p->calls[i].told)
			speed_open(&p->speeds[p->calls[i].at],
				   (double)(now - p->calls[i].sent_ms),
				   p->median, now);
	for (int i = 0; i < PLAYED; i++)
		if (speed_ms(&p->speeds[i], now) > 0)
			ms[n++] = speed_ms(&p->speeds[i], now);
	p->median = speed_median(ms, n);
	for (int i = 0; i < PLAYED; i++)
		p->ratios[i] = speed_ratio(&p->speeds[i], p->median, now);
}

static int play_choose(struct play *p)
{
	struct balance_node n[PLAYED] = { 0 };

	for (int i = 0; i < PLAYED; i++) {
		n[i] = (struct balance_node){ .usable = true,
					      .near = true,
					      .has_adapter = true,
					      .slots = 64,
					      .reported = p->running[i] };
		n[i].slow = speed_weight(p->ratios[i]);
	}
	return (p->c->share ? balance_share : balance_choose)(
		n, PLAYED, 1.0, ss_random(&p->seed));
}

/* The first one's part of the calls that were sent in a time. */
static int play_part(const struct play *p, int64_t from, int64_t to, int *late)
{
	int all = 0, first = 0, n_late = 0;

	for (int i = 0; i < p->n; i++) {
		const struct played *x = &p->calls[i];

		if (x->sent_ms < from || x->sent_ms >= to)
			continue;
		all++;
		first += x->at == 0;
		n_late += x->first_ms - x->sent_ms > IN_TIME_MS;
	}
	*late = (n_late * 100 + all - 1) / all;
	return first * 100 * PLAYED / all;
}

/*
 * Symptom: callers are late on an engine that is several times slower, as it
 * gets as many calls as the others; it gets none though it has recovered; or
 * engines are shunned where all are slow.
 */
static void slow_engines_get_fewer_calls(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(plays); i++) {
		const struct play_case *c = &plays[i];
		struct play *p = g_new0(struct play, 1);
		int part, after, late, none;

		p->c = c;
		p->seed = 11;
		for (int64_t now = 5; now < PLAY_MS; now += 5) {
			play_answers(p, now);
			if (now % 100 == 0)
				play_look(p, now);
			if (now % c->gap_ms == 0)
				play_send(p, play_choose(p), now);
		}
		part = play_part(p, SLOW_FROM_MS + 1000, c->to_ms, &late);
		after = c->to_ms < PLAY_MS ?
				play_part(p, c->to_ms + 3000, PLAY_MS, &none) :
				100;
		if (part < c->least || part > c->most || late > c->late ||
		    after < 80)
			fail_msg("%s: %d %%, %d %% late, %d %% after", c->label,
				 part, late, after);
		g_free(p);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answers_show_the_speed),
		cmocka_unit_test(calls_under_way_show_a_stall),
		cmocka_unit_test(reported_work_is_believed_for_a_moment),
		cmocka_unit_test(rests_end_with_one_trial),
		cmocka_unit_test(slow_engines_get_fewer_calls),
		cmocka_unit_test(started_endpoints_get_more_and_more),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
