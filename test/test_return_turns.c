/* Loads of refused callers, and when they are told to return. */
#include "unit.h"

#include "../src/core/return_turns.h"

#define START 1000000
#define KEY 7
#define SECONDS 8

/* Two seconds in which a cause serves so many a second and refuses a few. */
static int64_t saturate(struct return_turns *t, uint64_t key, int per_s)
{
	struct return_ask a = {
		.key = key, .priority = 1, .cost = 1, .least_ms = 150
	};
	int64_t now = START;

	for (; now < START + 2000; now += 100) {
		return_turns_give(t, &a, now);
		for (int i = 0; i < per_s / 10; i++)
			return_turns_served(t, key, 1, now + 50);
	}
	return now;
}

struct burst {
	int arrive[SECONDS]; /* callers by the second in which they return */
	double urgent_ms, patient_ms; /* means */
	int beyond;
};

/* 500 callers in a second, one in ten of them urgent; 100 more are served. */
static void play_burst(struct return_turns *t, int64_t now, struct burst *b)
{
	struct return_ask a = {
		.key = KEY, .cost = 1, .least_ms = 150, .most_ms = 10000
	};

	*b = (struct burst){ 0 };
	for (int i = 0; i < 500; i++) {
		int64_t at = now + (int64_t)i * 2;
		struct return_turn turn;

		a.priority = i % 10 ? 1 : 0;
		turn = return_turns_give(t, &a, at);
		b->beyond += !turn.taken;
		b->arrive[MIN((at - now + turn.ms - a.least_ms) / 1000,
			      SECONDS - 1)]++;
		if (a.priority)
			b->patient_ms += (double)turn.ms / 450;
		else
			b->urgent_ms += (double)turn.ms / 50;
		if (i % 5 == 0)
			return_turns_served(t, KEY, 1, at);
	}
}

/* Callers who are refused together return together, and are refused again. */
static void burst_returns_at_the_rate_served(void **state)
{
	struct return_turns *t = return_turns_new();
	int64_t now = saturate(t, KEY, 100);
	struct burst b;

	(void)state;
	play_burst(t, now, &b);
	for (int s = 0; s < 5; s++)
		assert_in_range(b.arrive[s], 75, 115);
	assert_int_equal(b.beyond, 0);
	/* An urgent caller returns after those less urgent. */
	assert_true(b.urgent_ms < b.patient_ms / 2);
	return_turns_free(t);
}

/* The burst of one customer delays the callers of another. */
static void other_causes_are_not_delayed(void **state)
{
	struct return_turns *t = return_turns_new();
	int64_t now = saturate(t, KEY, 100);
	struct return_ask a = {
		.key = KEY + 1, .cost = 1, .least_ms = 150, .most_ms = 3000
	};
	struct return_turn turn;
	struct burst b;

	(void)state;
	saturate(t, a.key, 100);
	play_burst(t, now, &b);
	turn = return_turns_give(t, &a, now + 1000);
	assert_true(turn.taken);
	assert_in_range(turn.ms, 150, 150 + RETURN_TURN_MS);
	return_turns_free(t);
}

struct turn_case {
	const char *label;
	int served; /* a second, before */
	int before; /* callers that were refused at the same moment */
	double per_s;
	int64_t least_ms, most_ms; /* of the caller */
	int64_t from, to;	   /* the turn */
};

static const struct turn_case turns[] = {
	{ "one alone", 100, 0, 0, 300, 3000, 300, 300 },
	{ "an unknown rate", 0, 100, 0, 300, 3000, 300, 300 },
	{ "the last of many", 100, 100, 0, 300, 3000, 1200, 1400 },
	{ "a model that loads", 100, 0, 0, 2345, 3000, 2345, 2345 },
	{ "many wait for it", 100, 100, 0, 2345, 5000, 3200, 3500 },
	{ "a caller who leaves sooner", 100, 100, 0, 300, 700, 1200, 1400 },
	{ "a lower limit", 100, 100, 50, 300, 3000, 2200, 2500 },
	{ "the last turn", 10, 500, 0, 300, 20000, 12700, RETURN_AHEAD_MS },
};

/* A caller is told a time at which it can't be served, or waits for nothing. */
static void turn_is_the_next_free(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(turns); i++) {
		const struct turn_case *c = &turns[i];
		struct return_turns *t = return_turns_new();
		int64_t now = saturate(t, KEY, c->served);
		struct return_ask a = { .key = KEY,
					.cost = 1,
					.per_s = c->per_s,
					.least_ms = c->least_ms,
					.most_ms = 20000 };
		struct return_turn turn;

		for (int k = 0; k < c->before; k++)
			return_turns_give(t, &a, now);
		a.most_ms = c->most_ms;
		turn = return_turns_give(t, &a, now);
		if (turn.ms < c->from || turn.ms > c->to ||
		    turn.taken != (c->served && c->from <= c->most_ms) ||
		    (turn.width_ms > 0) != (c->served > 0))
			fail_msg("%s: %" PRId64 " taken=%d", c->label, turn.ms,
				 turn.taken);
		return_turns_free(t);
	}
}

/* Those for whom a turn is too late keep others from it. */
static void turn_not_taken_stays_free(void **state)
{
	struct return_turns *t = return_turns_new();
	int64_t now = saturate(t, KEY, 10);
	struct return_ask a = { .key = KEY, .cost = 1, .least_ms = 300 };

	(void)state;
	for (int i = 0; i < 1000; i++)
		assert_false(return_turns_give(t, &a, now).taken);
	a.most_ms = 3000;
	assert_int_equal(return_turns_give(t, &a, now).ms, 300);
	return_turns_free(t);
}

/* Few calls of a model make a burst, once it is refused, wait for seconds. */
static void calls_before_refusals_tell_no_rate(void **state)
{
	struct return_turns *t = return_turns_new();
	struct return_ask a = {
		.key = KEY, .cost = 1, .least_ms = 300, .most_ms = 3000
	};

	(void)state;
	for (int i = 0; i < 20; i++)
		return_turns_served(t, KEY, 1, START + (int64_t)i * 500);
	for (int i = 0; i < 20; i++)
		assert_int_equal(return_turns_give(t, &a, START + 10000).ms,
				 300);
	return_turns_free(t);
}

/* A rest of seconds passes for slowness, and callers stay away after it. */
static void rate_outlasts_an_absence(void **state)
{
	struct return_turns *t = return_turns_new();
	int64_t now = saturate(t, KEY, 100), end = now + 10000;
	struct return_ask a = { .key = KEY, .cost = 1, .least_ms = 300 };

	(void)state;
	for (; now < end; now += 20)
		return_turns_give(t, &a, now);
	a.most_ms = 3000;
	for (int i = 0; i < 50; i++)
		assert_true(return_turns_give(t, &a, now).ms < 1500);
	return_turns_free(t);
}

/* Each customer and model that was ever refused costs memory. */
static void memory_is_bounded(void **state)
{
	struct return_turns *t = return_turns_new();
	struct return_ask a = { .cost = 1, .least_ms = 150, .most_ms = 3000 };
	int64_t now = saturate(t, KEY, 10);

	(void)state;
	for (int i = 0; i < 3 * RETURN_CAUSES_MOST; i++) {
		a.key = (uint64_t)(100 + i);
		return_turns_give(t, &a, now);
		/* One that is refused again and again stays. */
		a.key = KEY;
		return_turns_give(t, &a, now);
	}
	assert_int_equal(return_turns_count(t), RETURN_CAUSES_MOST);
	assert_true(return_turns_give(t, &a, now).width_ms > 0);
	return_turns_tidy(t, now + RETURN_AHEAD_MS - 1);
	assert_int_equal(return_turns_count(t), RETURN_CAUSES_MOST);
	return_turns_tidy(t, now + RETURN_AHEAD_MS);
	assert_int_equal(return_turns_count(t), 0);
	return_turns_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(burst_returns_at_the_rate_served),
		cmocka_unit_test(other_causes_are_not_delayed),
		cmocka_unit_test(turn_is_the_next_free),
		cmocka_unit_test(turn_not_taken_stays_free),
		cmocka_unit_test(calls_before_refusals_tell_no_rate),
		cmocka_unit_test(rate_outlasts_an_absence),
		cmocka_unit_test(memory_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
