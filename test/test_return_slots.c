/* Tests of the slots that refused callers are assigned. */
#include "unit.h"

#include "../src/core/return_slots.h"

#define START_MS 1000000
#define KEY 7
#define SECONDS 8

/* Runs a cause for two seconds in which it serves per_s units a second and
 * refuses ten callers a second. Returns the time at their end. */
static int64_t saturate(struct return_slots *t, uint64_t key, int per_s)
{
	struct return_request a = {
		.key = key, .priority = 1, .cost = 1, .min_ms = 150
	};
	int64_t now = START_MS;

	for (; now < START_MS + 2000; now += 100) {
		return_slots_assign(t, &a, now);
		for (int i = 0; i < per_s / 10; i++)
			return_slots_served(t, key, 1, now + 50);
	}
	return now;
}

struct burst {
	int returning[SECONDS]; /* callers by the second of their return */
	double urgent_ms, patient_ms; /* mean delays of priorities 0 and 1 */
	int too_late;
};

/* Refuses 500 callers within a second, one in ten of them urgent, and serves
 * 100 more. */
static void run_burst(struct return_slots *t, int64_t now, struct burst *b)
{
	struct return_request a = {
		.key = KEY, .cost = 1, .min_ms = 150, .max_ms = 10000
	};

	*b = (struct burst){ 0 };
	for (int i = 0; i < 500; i++) {
		int64_t at = now + (int64_t)i * 2;
		struct return_slot slot;

		a.priority = i % 10 ? 1 : 0;
		slot = return_slots_assign(t, &a, at);
		b->too_late += !slot.reserved;
		b->returning[MIN((at - now + slot.delay_ms - a.min_ms) / 1000,
				 SECONDS - 1)]++;
		if (a.priority)
			b->patient_ms += (double)slot.delay_ms / 450;
		else
			b->urgent_ms += (double)slot.delay_ms / 50;
		if (i % 5 == 0)
			return_slots_served(t, KEY, 1, at);
	}
}

/* Guards against callers that are refused together, return together, and are
 * refused again. */
static void burst_returns_at_the_rate_served(void **state)
{
	struct return_slots *t = return_slots_new();
	int64_t now = saturate(t, KEY, 100);
	struct burst b;

	(void)state;
	run_burst(t, now, &b);
	for (int s = 0; s < 5; s++)
		assert_in_range(b.returning[s], 75, 115);
	assert_int_equal(b.too_late, 0);
	/* Urgent callers return before the others. */
	assert_true(b.urgent_ms < b.patient_ms / 2);
	return_slots_free(t);
}

/* Guards against the burst of one customer delaying the callers of another. */
static void other_causes_are_not_delayed(void **state)
{
	struct return_slots *t = return_slots_new();
	int64_t now = saturate(t, KEY, 100);
	struct return_request a = {
		.key = KEY + 1, .cost = 1, .min_ms = 150, .max_ms = 3000
	};
	struct return_slot slot;
	struct burst b;

	(void)state;
	saturate(t, a.key, 100);
	run_burst(t, now, &b);
	slot = return_slots_assign(t, &a, now + 1000);
	assert_true(slot.reserved);
	assert_in_range(slot.delay_ms, 150, 150 + RETURN_SLOT_MS);
	return_slots_free(t);
}

struct slot_case {
	const char *label;
	int served_per_s;   /* before the refusals */
	int refused_before; /* callers refused at the same moment */
	double per_s;
	int64_t min_ms, max_ms; /* of the caller's request */
	int64_t from_ms, to_ms; /* accepted start of the slot */
};

static const struct slot_case slot_cases[] = {
	{ "a single caller", 100, 0, 0, 300, 3000, 300, 300 },
	{ "an unknown rate", 0, 100, 0, 300, 3000, 300, 300 },
	{ "the last of many", 100, 100, 0, 300, 3000, 1200, 1400 },
	{ "a model that is loading", 100, 0, 0, 2345, 3000, 2345, 2345 },
	{ "many wait for it", 100, 100, 0, 2345, 5000, 3200, 3500 },
	{ "a caller who leaves sooner", 100, 100, 0, 300, 700, 1200, 1400 },
	{ "a lower limit", 100, 100, 50, 300, 3000, 2200, 2500 },
	{ "the last slot", 10, 500, 0, 300, 20000, 12700, RETURN_HORIZON_MS },
};

/* Guards against assigning a time at which the caller can't be served, or which
 * is later than needed. */
static void slot_is_the_next_free(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(slot_cases); i++) {
		const struct slot_case *c = &slot_cases[i];
		struct return_slots *t = return_slots_new();
		int64_t now = saturate(t, KEY, c->served_per_s);
		struct return_request a = { .key = KEY,
					    .cost = 1,
					    .per_s = c->per_s,
					    .min_ms = c->min_ms,
					    .max_ms = 20000 };
		struct return_slot slot;

		for (int k = 0; k < c->refused_before; k++)
			return_slots_assign(t, &a, now);
		a.max_ms = c->max_ms;
		slot = return_slots_assign(t, &a, now);
		if (slot.delay_ms < c->from_ms || slot.delay_ms > c->to_ms ||
		    slot.reserved !=
			    (c->served_per_s && c->from_ms <= c->max_ms) ||
		    (slot.width_ms > 0) != (c->served_per_s > 0))
			fail_msg("%s: %" PRId64 " ms, reserved=%d", c->label,
				 slot.delay_ms, slot.reserved);
		return_slots_free(t);
	}
}

/* Guards against slots that are reserved for callers for whom they are too
 * late. */
static void unreserved_slot_stays_free(void **state)
{
	struct return_slots *t = return_slots_new();
	int64_t now = saturate(t, KEY, 10);
	struct return_request a = { .key = KEY, .cost = 1, .min_ms = 300 };

	(void)state;
	for (int i = 0; i < 1000; i++)
		assert_false(return_slots_assign(t, &a, now).reserved);
	a.max_ms = 3000;
	assert_int_equal(return_slots_assign(t, &a, now).delay_ms, 300);
	return_slots_free(t);
}

/* Guards against a rate that is measured while no caller is refused: after few
 * calls the callers of a burst would have to wait for seconds. */
static void calls_before_refusals_set_no_rate(void **state)
{
	struct return_slots *t = return_slots_new();
	struct return_request a = {
		.key = KEY, .cost = 1, .min_ms = 300, .max_ms = 3000
	};

	(void)state;
	for (int i = 0; i < 20; i++)
		return_slots_served(t, KEY, 1, START_MS + (int64_t)i * 500);
	for (int i = 0; i < 20; i++)
		assert_int_equal(
			return_slots_assign(t, &a, START_MS + 10000).delay_ms,
			300);
	return_slots_free(t);
}

/* Guards against an outage of seconds that is taken for a low rate and keeps
 * callers away after it. */
static void rate_survives_an_outage(void **state)
{
	struct return_slots *t = return_slots_new();
	int64_t now = saturate(t, KEY, 100), end = now + 10000;
	struct return_request a = { .key = KEY, .cost = 1, .min_ms = 300 };

	(void)state;
	for (; now < end; now += 20)
		return_slots_assign(t, &a, now);
	a.max_ms = 3000;
	for (int i = 0; i < 50; i++)
		assert_true(return_slots_assign(t, &a, now).delay_ms < 1500);
	return_slots_free(t);
}

/* Guards against memory that grows with each customer and model refused. */
static void memory_is_bounded(void **state)
{
	struct return_slots *t = return_slots_new();
	struct return_request a = { .cost = 1, .min_ms = 150, .max_ms = 3000 };
	int64_t now = saturate(t, KEY, 10);

	(void)state;
	for (int i = 0; i < 3 * RETURN_CAUSES_MAX; i++) {
		a.key = (uint64_t)(100 + i);
		return_slots_assign(t, &a, now);
		/* A cause that is refused repeatedly stays. */
		a.key = KEY;
		return_slots_assign(t, &a, now);
	}
	assert_int_equal(return_slots_count(t), RETURN_CAUSES_MAX);
	assert_true(return_slots_assign(t, &a, now).width_ms > 0);
	return_slots_expire(t, now + RETURN_HORIZON_MS - 1);
	assert_int_equal(return_slots_count(t), RETURN_CAUSES_MAX);
	return_slots_expire(t, now + RETURN_HORIZON_MS);
	assert_int_equal(return_slots_count(t), 0);
	return_slots_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(burst_returns_at_the_rate_served),
		cmocka_unit_test(other_causes_are_not_delayed),
		cmocka_unit_test(slot_is_the_next_free),
		cmocka_unit_test(unreserved_slot_stays_free),
		cmocka_unit_test(calls_before_refusals_set_no_rate),
		cmocka_unit_test(rate_survives_an_outage),
		cmocka_unit_test(memory_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
