/* Shares of failed calls, as entries and leader add them up. */
#include "unit.h"

#include "../src/core/failing.h"

/* Ten calls of which some failed, told together or one by one, give much the
 * same share; a sound endpoint's chance failure stays small. */
static void share_follows_calls(void **state)
{
	static const struct {
		uint64_t failed, answered;
		int times;
		double least, most;
	} cases[] = {
		{ 0, 1, 50, 0, 0 },	    { 1, 0, 1, 0.15, 0.15 },
		{ 1, 0, 50, 0.99, 1 },	    { 1, 20, 1, 0.04, 0.06 },
		{ 4, 6, 20, 0.38, 0.42 },   { 40, 60, 2, 0.39, 0.41 },
		{ 2, 3, 40, 0.38, 0.42 },   { 0, 0, 5, 0, 0 },
		{ 1000000, 0, 1, 0.99, 1 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct failing f = { 0 };

		for (int k = 0; k < cases[i].times; k++)
			failing_note(&f, cases[i].failed, cases[i].answered,
				     1000);
		assert_true(failing_share(&f, 1000) >= cases[i].least - 1e-9);
		assert_true(failing_share(&f, 1000) <= cases[i].most + 1e-9);
	}
}

/*
 * Symptom: an endpoint that is sound again gets no calls for good. Cause: it is
 * given up, so no call shows that it is sound. So the share fades.
 */
static void share_fades(void **state)
{
	struct failing f = { 0 };

	(void)state;
	failing_note(&f, 100, 0, 0);
	assert_true(failing_share(&f, 10000) > 0.45);
	assert_true(failing_share(&f, 10000) < 0.55);
	assert_true(failing_share(&f, 40000) < 0.1);
	failing_note(&f, 0, 40, 40000);
	assert_int_equal(failing_of_whole(&f, 40000), 0);
}

/* What is told is believed; nothing told, as by a new leader, changes nothing.
 */
static void word_is_taken(void **state)
{
	struct failing f = { 0 };

	(void)state;
	failing_told(&f, 400, 1000);
	assert_int_equal(failing_of_whole(&f, 1000), 400);
	failing_told(&f, 0, 1000);
	assert_int_equal(failing_of_whole(&f, 1000), 400);
	failing_told(&f, 100, 1000);
	assert_int_equal(failing_of_whole(&f, 1000), 100);
	failing_told(&f, INT64_MAX, 1000);
	assert_int_equal(failing_of_whole(&f, 1000), FAILING_WHOLE);
	failing_told(&f, -5, 1000);
	assert_int_equal(failing_of_whole(&f, 1000), FAILING_WHOLE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(share_follows_calls),
		cmocka_unit_test(share_fades),
		cmocka_unit_test(word_is_taken),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
