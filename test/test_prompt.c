/* Tests of the parts of prompts. */
#include "unit.h"

#include "../src/core/prompt.h"

struct shared_case {
	const char *prompt, *ids; /* ids of the shared parts, by spaces */
};

static const struct shared_case shared_cases[] = {
	{ "", "" },
	{ "a1:800", "" },
	{ "a1:800,b2:410", "a1" },
	{ "a1:800,b2:410,c3:250", "a1 b2" },
	{ "a1,b2,c3", "a1 b2" },
	{ "a1:800, b2:410 , c3:250", "a1 b2" },
	{ "a1:800,,c3:250", "a1 " },
	{ "a1:800,", "a1" },
};

static void test_shared_parts_are_all_but_the_last(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(shared_cases); i++) {
		struct ss_str rest =
			prompt_shared(ss_str(shared_cases[i].prompt));
		GString *ids = g_string_new(NULL);
		struct ss_str id;
		int n = 0;

		while (prompt_next(&rest, &id))
			g_string_append_printf(ids, "%s%.*s", n++ ? " " : "",
					       SS_FMT(id));
		assert_string_equal(ids->str, shared_cases[i].ids);
		g_string_free(ids, TRUE);
	}
}

static void test_part_has_one_fingerprint_at_any_place(void **state)
{
	struct fingerprint a = prompt_part_fingerprint(SS_LIT("a1"));
	struct fingerprint b = prompt_part_fingerprint(SS_LIT("a2"));
	struct fingerprint again = prompt_part_fingerprint(SS_LIT("a1"));

	(void)state;
	assert_true(fingerprint_equal(&a, &again));
	assert_false(fingerprint_equal(&a, &b));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shared_parts_are_all_but_the_last),
		cmocka_unit_test(test_part_has_one_fingerprint_at_any_place),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
