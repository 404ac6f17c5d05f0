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

/* The text of a fingerprint leads back to it, and a part's to its id. */
static void test_fingerprint_text_is_read_back(void **state)
{
	static const struct {
		const char *id, *text; /* text NULL: hashed */
	} cases[] = {
		{ "5c1e07a2", "part-5c1e07a2" },
		{ "05C1", "part-05c1" },
		{ "5c1", "part-5c1" },
		{ "0123456789abcdef", "part-0123456789abcdef" },
		{ "0123456789abcdef0", NULL },
		{ "system", NULL },
		{ "", NULL },
	};
	struct fingerprint whole = fingerprint_of(SS_LIT("POST"), SS_LIT("h"),
						  SS_LIT("/"), SS_LIT("b"));
	struct fingerprint seen[G_N_ELEMENTS(cases) + 1], back;
	char text[FINGERPRINT_TEXT_SIZE];

	(void)state;
	seen[0] = whole;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		seen[i + 1] = fingerprint_of_part(ss_str(cases[i].id));
		assert_true(fingerprint_is_part(&seen[i + 1]));
	}
	for (size_t i = 0; i < G_N_ELEMENTS(seen); i++) {
		fingerprint_text(&seen[i], text);
		if (i && cases[i - 1].text)
			assert_string_equal(text, cases[i - 1].text);
		assert_true(fingerprint_read(ss_str(text), &back));
		assert_true(fingerprint_equal(&seen[i], &back));
		for (size_t k = 0; k < i; k++)
			assert_false(fingerprint_equal(&seen[i], &seen[k]));
	}
	assert_false(fingerprint_is_part(&whole));
}

static void test_other_texts_are_no_fingerprints(void **state)
{
	static const char *const texts[] = {
		"",	     "part-",
		"part-xyz",  "part-h-1",
		"0123",	     "part-0123456789abcdef0",
		"part 5c1e", "d13e8935775c81cbd13e8935775c81cg",
	};
	struct fingerprint fp;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_false(fingerprint_read(ss_str(texts[i]), &fp));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shared_parts_are_all_but_the_last),
		cmocka_unit_test(test_fingerprint_text_is_read_back),
		cmocka_unit_test(test_other_texts_are_no_fingerprints),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
