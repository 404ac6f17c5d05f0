/* Tests the response times of endpoints relative to each other. */
#include "unit.h"

#include "../src/core/balance.h"
#include "../src/core/speed.h"

#include <math.h>

#define FIRST_MS 40 /* time to the first event at full speed */

/* Records n answers, one every 200 ms. Returns the time of the last. */
static int64_t add_answers(struct speed *s, int n, double ms, int64_t now)
{
	for (int i = 0; i < n; i++) {
		now += 200;
		speed_record(s, ms, now);
	}
	return now;
}

struct ratio_case {
	const char *label;
	int n;
	double ms;
	int64_t later_ms; /* time of the query after the last answer */
	double least, most;
};

static const struct ratio_case ratios[] = {
	{ "no answers", 0, 0, 0, 0, 0 },
	{ "as fast as others", 5, 40, 0, 0.99, 1.01 },
	{ "one long prompt", 1, 85, 0, 1, 1.5 },
	{ "one very late answer", 1, 800, 0, 3, 6 },
	{ "five times slower", 10, 200, 0, 4, 5 },
	{ "a third slower", 10, 53, 0, 1.2, 1.5 },
	{ "twice as fast", 10, 20, 0, 0.5, 0.6 },
	{ "slower until some seconds ago", 4, 200, 8000, 1, 2.5 },
	{ "slower until a minute ago", 10, 200, 60000, 0, 1.5 },
	{ "a time of 0", 10, 0, 0, 0, 0 },
	{ "a negative time", 10, -7, 0, 0, 0 },
	{ "not a number", 10, NAN, 0, 0, 0 },
};

/* Guards against a few long prompts that make an endpoint count as slow, and
 * against one that counts as slow for good because it gets no more calls. */
static void ratio_follows_answers(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ratios); i++) {
		const struct ratio_case *c = &ratios[i];
		struct speed s = { 0 };
		int64_t now =
			add_answers(&s, c->n, c->ms, 100000) + c->later_ms;
		double got = speed_ratio(&s, FIRST_MS, now);

		if (got < c->least || got > c->most)
			fail_msg("%s: %.2f", c->label, got);
	}
	assert_true(speed_load_factor(1.45) == 1 &&
		    speed_load_factor(0.7) == 1);
	assert_true(speed_load_factor(1.6) == 1.6 && speed_load_factor(0) == 0);
	assert_true(speed_median((double[]){ 9, 3 }, 2) == 3);
	assert_true(speed_median((double[]){ 9 }, 1) == 0);
}

/* Guards against a stalled endpoint that answers nothing and therefore counts
 * as fast as before. */
static void calls_in_flight_show_a_stall(void **state)
{
	struct speed s = { 0 }, fresh = { 0 };
	int64_t now = add_answers(&s, 10, FIRST_MS, 100000) + 1200;

	(void)state;
	speed_pending_reset(&s);
	speed_pending_add(&s, 50, FIRST_MS, now);
	assert_true(speed_load_factor(speed_ratio(&s, FIRST_MS, now)) == 1);
	for (int i = 0; i < 3; i++)
		speed_pending_add(&s, 1200, FIRST_MS, now);
	assert_true(speed_ratio(&s, FIRST_MS, now) > 4);
	speed_pending_add(&fresh, 1200, FIRST_MS, now);
	assert_true(speed_ratio(&fresh, FIRST_MS, now) > 4);
	/* A caller that disconnects has waited at least this long. */
	speed_pending_reset(&s);
	speed_record_at_least(&s, 10, FIRST_MS, now);
	assert_true(speed_load_factor(speed_ratio(&s, FIRST_MS, now)) == 1);
	speed_record_at_least(&s, 1200, FIRST_MS, now);
	assert_true(speed_ratio(&s, FIRST_MS, now) > 2);
	speed_pending_reset(&s);
	now = add_answers(&s, 4, FIRST_MS, now);
	assert_true(speed_load_factor(speed_ratio(&s, FIRST_MS, now)) == 1);
}

/* Guards against reported work times that are absurd or outdated. */
static void reported_work_expires(void **state)
{
	static const int64_t absurd[] = { 0, -5, 24, 1001, INT64_MAX };
	struct speed s = { 0 };

	(void)state;
	assert_true(speed_work_ratio(&s, 100) == 0);
	for (size_t i = 0; i < G_N_ELEMENTS(absurd); i++)
		speed_work_received(&s, absurd[i], 1000);
	assert_true(speed_work_ratio(&s, 1000) == 0);
	speed_work_received(&s, 250, 1000);
	assert_true(speed_work_ratio(&s, 1200) == 2.5);
	speed_work_received(&s, 5000, 1150);
	assert_true(speed_work_ratio(&s, 1201) == 0);
}

/* Guards against a slow endpoint that is never probed, or is probed by all
 * callers at once. */
static void ejections_end_with_one_probe(void **state)
{
	struct ejection r = { 0 };
	int64_t now = 100000, first;

	(void)state;
	assert_true(ejection_is_due(&r, now));
	ejection_begin(&r, now);
	first = r.duration_ms;
	assert_true(ejection_is_active(&r, now) && !ejection_is_due(&r, now));
	now = r.until_ms;
	assert_false(ejection_is_active(&r, now) || ejection_is_due(&r, now));
	ejection_call_sent(&r, now);
	assert_true(ejection_is_active(&r, now + 100));
	assert_true(ejection_call_answered(&r, 6));
	ejection_begin(&r, now + 300);
	assert_int_equal(r.duration_ms, 2 * first);
	now = r.until_ms;
	ejection_call_sent(&r, now);
	assert_false(ejection_call_answered(&r, 1.2));
	assert_false(ejection_is_active(&r, now));
	/* A probe that is never answered. */
	ejection_begin(&r, now);
	now = r.until_ms;
	ejection_call_sent(&r, now);
	assert_true(ejection_is_due(&r, now + 1000));
	assert_false(ejection_is_needed(6, 250, 300));
	assert_false(ejection_is_needed(3, 400, 300));
	assert_true(ejection_is_needed(6, 400, 300));
}

/* Guards against a burst of calls to an endpoint that has just started. */
static void slow_start_raises_the_share(void **state)
{
	(void)state;
	assert_true(speed_slow_start(0, 0) > 0 &&
		    speed_slow_start(0, 0) <= 0.2);
	assert_true(speed_slow_start(1500, 0) == 0.5);
	assert_true(speed_slow_start(100, 5) == 0.5);
	assert_true(speed_slow_start(100, 900) == 1 &&
		    speed_slow_start(9000, 0) == 1);
}

#define ENGINES 10
#define CALL_MS 500	 /* duration after the first event */
#define OBJECTIVE_MS 200 /* latency objective for the first event */
#define SLOW_FROM_MS 10000
#define SIM_MS 60000

/* Simulates ten engines. The first one, or all, are slower from SLOW_FROM_MS to
 * to_ms. */
struct sim_case {
	const char *label;
	int64_t gap_ms; /* interval between calls */
	bool weighted;	/* balance_choose_weighted() instead of balance_choose()
			 */
	bool all;	/* all engines are slower, not only the first */
	bool whole;	/* the whole call is slower, not only its first event */
	double slow;	/* factor; 0: they stall */
	int64_t to_ms;
	int least, most; /* limits of the calls to the first one while it is
			    slow, in percent of an equal share, without the
			    first second */
	int late;	 /* maximum of late calls in that time, in percent */
};

static const struct sim_case sim_cases[] = {
	{ "equally fast", 20, false, false, false, 1, SIM_MS, 90, 110, 0 },
	{ "few calls per engine", 100, false, false, false, 5, SIM_MS, 10, 35,
	  3 },
	{ "some calls per engine", 20, false, false, false, 5, SIM_MS, 10, 35,
	  3 },
	{ "many calls per engine", 5, false, false, false, 5, SIM_MS, 10, 35,
	  3 },
	{ "weighted by room", 20, true, false, false, 5, SIM_MS, 15, 45, 3 },
	{ "the whole call is slower", 20, false, false, true, 5, SIM_MS, 10, 35,
	  3 },
	{ "a stall", 20, false, false, false, 0, 14000, 0, 25, 3 },
	{ "all are slow", 20, false, true, true, 6, SIM_MS, 80, 120, 100 },
	{ "all are stalled", 20, false, true, false, 0, 14000, 50, 150, 100 },
};

struct sim_call {
	int64_t sent_ms, first_ms, end_ms;
	int at;
	bool received;
};

struct sim {
	const struct sim_case *c;
	struct speed speeds[ENGINES];
	double ratios[ENGINES], median;
	int64_t running[ENGINES];
	struct sim_call calls[SIM_MS];
	int n;
	uint64_t seed;
};

/* Starts a call that takes 0.8 to 1.2 times the usual time. */
static void sim_send(struct sim *p, int at, int64_t now)
{
	const struct sim_case *c = p->c;
	bool is_slow = (c->all || at == 0) && now >= SLOW_FROM_MS &&
		       now < c->to_ms;
	double slow = is_slow ? c->slow : 1;
	double first =
		FIRST_MS * (0.8 + (double)(ss_random(&p->seed) % 5) / 10);
	struct sim_call *x = &p->calls[p->n++];

	*x = (struct sim_call){ .sent_ms = now, .at = at };
	x->first_ms = now + (int64_t)(first * slow);
	if (slow <= 0) {
		x->first_ms = c->to_ms + (int64_t)first;
		slow = 1;
	}
	x->end_ms = x->first_ms + (int64_t)(CALL_MS * (c->whole ? slow : 1));
	p->running[at]++;
}

static void sim_receive(struct sim *p, int64_t now)
{
	for (int i = 0; i < p->n; i++) {
		struct sim_call *x = &p->calls[i];

		if (!x->received && x->first_ms <= now) {
			speed_record(&p->speeds[x->at],
				     (double)(x->first_ms - x->sent_ms), now);
			x->received = true;
		}
		if (x->end_ms <= now && x->end_ms > now - 5)
			p->running[x->at]--;
	}
}

static void sim_update(struct sim *p, int64_t now)
{
	double ms[ENGINES];
	size_t n = 0;

	for (int i = 0; i < ENGINES; i++)
		speed_pending_reset(&p->speeds[i]);
	for (int i = 0; i < p->n; i++)
		if (!p->calls[i].received)
			speed_pending_add(&p->speeds[p->calls[i].at],
					  (double)(now - p->calls[i].sent_ms),
					  p->median, now);
	for (int i = 0; i < ENGINES; i++)
		if (speed_ms(&p->speeds[i], now) > 0)
			ms[n++] = speed_ms(&p->speeds[i], now);
	p->median = speed_median(ms, n);
	for (int i = 0; i < ENGINES; i++)
		p->ratios[i] = speed_ratio(&p->speeds[i], p->median, now);
}

static int sim_choose(struct sim *p)
{
	struct balance_node n[ENGINES] = { 0 };

	for (int i = 0; i < ENGINES; i++) {
		n[i] = (struct balance_node){ .usable = true,
					      .near = true,
					      .has_adapter = true,
					      .slots = 64,
					      .reported = p->running[i] };
		n[i].slowness = speed_load_factor(p->ratios[i]);
	}
	return (p->c->weighted ? balance_choose_weighted : balance_choose)(
		n, ENGINES, 1.0, ss_random(&p->seed));
}

/* The share of the first engine in the calls sent in a period, in percent of an
 * equal share. */
static int sim_share(const struct sim *p, int64_t from, int64_t to, int *late)
{
	int all = 0, first = 0, n_late = 0;

	for (int i = 0; i < p->n; i++) {
		const struct sim_call *x = &p->calls[i];

		if (x->sent_ms < from || x->sent_ms >= to)
			continue;
		all++;
		first += x->at == 0;
		n_late += x->first_ms - x->sent_ms > OBJECTIVE_MS;
	}
	*late = (n_late * 100 + all - 1) / all;
	return first * 100 * ENGINES / all;
}

/*
 * Guards against late callers on an engine that is several times slower but
 * gets as many calls as the others, against an engine that gets no calls after
 * its recovery, and against engines that are avoided although all are slow.
 */
static void slow_engines_get_fewer_calls(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sim_cases); i++) {
		const struct sim_case *c = &sim_cases[i];
		struct sim *p = g_new0(struct sim, 1);
		int share, after, late, ignored;

		p->c = c;
		p->seed = 11;
		for (int64_t now = 5; now < SIM_MS; now += 5) {
			sim_receive(p, now);
			if (now % 100 == 0)
				sim_update(p, now);
			if (now % c->gap_ms == 0)
				sim_send(p, sim_choose(p), now);
		}
		share = sim_share(p, SLOW_FROM_MS + 1000, c->to_ms, &late);
		after = c->to_ms < SIM_MS ? sim_share(p, c->to_ms + 3000,
						      SIM_MS, &ignored) :
					    100;
		if (share < c->least || share > c->most || late > c->late ||
		    after < 80)
			fail_msg("%s: %d %%, %d %% late, %d %% after", c->label,
				 share, late, after);
		g_free(p);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(ratio_follows_answers),
		cmocka_unit_test(calls_in_flight_show_a_stall),
		cmocka_unit_test(reported_work_expires),
		cmocka_unit_test(ejections_end_with_one_probe),
		cmocka_unit_test(slow_engines_get_fewer_calls),
		cmocka_unit_test(slow_start_raises_the_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
