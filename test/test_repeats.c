/* Repeats within a window, over all entries. */
#include "unit.h"

#include "../src/core/repeats.h"

/*
 * Symptom: repeats add to the load that makes calls fail. Sequence: many
 * calls fail at once, and each is sent again. The window slides, so at no
 * time may more than its share have been taken within it.
 */
static void repeats_keep_to_their_window(void **state)
{
	struct repeat_budget b;
	int taken = 0;

	(void)state;
	repeat_budget_init(&b, 10000, 0.2, 3);
	for (int i = 0; i < 100; i++)
		repeat_first(&b, 1000 + i);
	for (int i = 0; i < 100; i++)
		taken += repeat_take(&b, 1200);
	assert_int_equal(taken, 23);
	/* Still within the window of those. */
	assert_false(repeat_take(&b, 9900));
	/* Firsts and repeats have both left it; the slack is there again. */
	taken = 0;
	for (int i = 0; i < 100; i++)
		taken += repeat_take(&b, 12000);
	assert_int_equal(taken, 3);
	/* After a long rest as well, whatever stands in the buckets. */
	taken = 0;
	for (int i = 0; i < 100; i++)
		taken += repeat_take(&b, 900000);
	assert_int_equal(taken, 3);
}

struct slack_case {
	uint64_t entries; /* that share it */
	uint64_t told;
};

/*
 * Symptom: all entries together repeat more than the users allow. Sequence:
 * a fleet with more entries than each of them counts on. Cause: a number of
 * entries that is written down.
 */
static void entries_share_the_slack(void **state)
{
	static const struct slack_case cases[] = {
		{ 4, 4 },   { 9, 3 },  { 20, 20 },
		{ 31, 31 }, { 60, 0 }, { 690, 690 },
	};
	static const int64_t slacks[] = { 0, 5, 102, 1000 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(slacks); k++)
			assert_true((int64_t)cases[i].entries *
					    repeat_slack(slacks[k],
							 cases[i].told) <=
				    slacks[k]);
	assert_int_equal(repeat_slack(102, 4), 5);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(repeats_keep_to_their_window),
		cmocka_unit_test(entries_share_the_slack),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
