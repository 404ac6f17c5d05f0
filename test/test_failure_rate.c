/* Tests of the failure rates that entries and the leader keep of endpoints. */
#include "unit.h"

#include "../src/core/failure_rate.h"

/* The rate approaches the part of calls that failed, whether they are recorded
 * together or one by one; a single failure among many calls counts little. */
static void rate_follows_calls(void **state)
{
	static const struct {
		uint64_t failed, answered;
		int times;
		double min, max;
	} cases[] = {
		{ 0, 1, 50, 0, 0 },	    { 1, 0, 1, 0.15, 0.15 },
		{ 1, 0, 50, 0.99, 1 },	    { 1, 20, 1, 0.04, 0.06 },
		{ 4, 6, 20, 0.38, 0.42 },   { 40, 60, 2, 0.39, 0.41 },
		{ 2, 3, 40, 0.38, 0.42 },   { 0, 0, 5, 0, 0 },
		{ 1000000, 0, 1, 0.99, 1 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct failure_rate f = { 0 };

		for (int k = 0; k < cases[i].times; k++)
			failure_rate_record(&f, cases[i].failed,
					    cases[i].answered, 1000);
		assert_true(failure_rate_at(&f, 1000) >= cases[i].min - 1e-9);
		assert_true(failure_rate_at(&f, 1000) <= cases[i].max + 1e-9);
	}
}

/*
 * Guards against an endpoint that never gets calls again after it recovers. An
 * endpoint with a high rate gets no calls, so no answer would lower its rate.
 */
static void rate_decays_without_calls(void **state)
{
	struct failure_rate f = { 0 };

	(void)state;
	failure_rate_record(&f, 100, 0, 0);
	assert_true(failure_rate_at(&f, 10000) > 0.45);
	assert_true(failure_rate_at(&f, 10000) < 0.55);
	assert_true(failure_rate_at(&f, 40000) < 0.1);
	failure_rate_record(&f, 0, 40, 40000);
	assert_int_equal(failure_rate_permille(&f, 40000), 0);
}

/* A reported rate replaces that of the process, and is capped; a rate of 0, as
 * a new leader reports it, changes nothing. */
static void reported_rate_is_adopted(void **state)
{
	struct failure_rate f = { 0 };

	(void)state;
	failure_rate_received(&f, 400, 1000);
	assert_int_equal(failure_rate_permille(&f, 1000), 400);
	failure_rate_received(&f, 0, 1000);
	assert_int_equal(failure_rate_permille(&f, 1000), 400);
	failure_rate_received(&f, 100, 1000);
	assert_int_equal(failure_rate_permille(&f, 1000), 100);
	failure_rate_received(&f, INT64_MAX, 1000);
	assert_int_equal(failure_rate_permille(&f, 1000), FAILURE_RATE_SCALE);
	failure_rate_received(&f, -5, 1000);
	assert_int_equal(failure_rate_permille(&f, 1000), FAILURE_RATE_SCALE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(rate_follows_calls),
		cmocka_unit_test(rate_decays_without_calls),
		cmocka_unit_test(reported_rate_is_adopted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
