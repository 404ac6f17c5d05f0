/* When a process may be behind. */
#include "unit.h"

#include "../src/core/freshness.h"

enum freshness_event { HEAR, TAKE, LOSE, TURN, END };

struct step {
	enum freshness_event event;
	int64_t at_ms;
	uint64_t version;
};

static const struct {
	const char *label;
	struct step steps[12];
	int64_t at_ms; /* when it is asked; its last turn was just before */
	enum freshness_level level;
	int64_t until_ms; /* 0: of no matter */
} rows[] = {
	{ "nobody has told anything",
	  { { END, 0, 0 } },
	  9000,
	  FRESHNESS_SURE,
	  0 },
	{ "it holds what is told",
	  { { TAKE, 10, 3 }, { HEAR, 20, 3 }, { END, 0, 0 } },
	  9000,
	  FRESHNESS_SURE,
	  0 },
	{ "just told of a newer one",
	  { { TAKE, 10, 3 }, { HEAR, 20, 4 }, { END, 0, 0 } },
	  20,
	  FRESHNESS_UNSURE,
	  1520 },
	{ "told a second before",
	  { { TAKE, 10, 3 }, { HEAR, 20, 4 }, { END, 0, 0 } },
	  1020,
	  FRESHNESS_STALE,
	  1520 },
	{ "has taken it",
	  { { TAKE, 10, 3 }, { HEAR, 20, 4 }, { TAKE, 900, 4 }, { END, 0, 0 } },
	  5000,
	  FRESHNESS_SURE,
	  0 },
	{ "changes in series, each taken within a second",
	  { { HEAR, 100, 4 },
	    { HEAR, 700, 5 },
	    { TAKE, 900, 4 },
	    { HEAR, 1400, 6 },
	    { TAKE, 1500, 5 },
	    { END, 0, 0 } },
	  1700,
	  FRESHNESS_UNSURE,
	  2900 },
	{ "changes in series, the first not taken",
	  { { HEAR, 100, 4 },
	    { HEAR, 700, 5 },
	    { HEAR, 1000, 6 },
	    { END, 0, 0 } },
	  1100,
	  FRESHNESS_STALE,
	  1600 },
	{ "more told than are kept apart",
	  { { HEAR, 100, 1 },
	    { HEAR, 101, 2 },
	    { HEAR, 102, 3 },
	    { HEAR, 103, 4 },
	    { HEAR, 104, 5 },
	    { HEAR, 105, 6 },
	    { HEAR, 106, 7 },
	    { HEAR, 107, 8 },
	    { HEAR, 900, 9 },
	    { TAKE, 950, 8 },
	    { END, 0, 0 } },
	  1107,
	  FRESHNESS_STALE,
	  0 },
	{ "the leader lost a moment ago",
	  { { HEAR, 20, 3 }, { TAKE, 21, 3 }, { LOSE, 100, 0 }, { END, 0, 0 } },
	  300,
	  FRESHNESS_SURE,
	  0 },
	{ "the leader lost for longer",
	  { { HEAR, 20, 3 }, { TAKE, 21, 3 }, { LOSE, 100, 0 }, { END, 0, 0 } },
	  400,
	  FRESHNESS_UNSURE,
	  900 },
	{ "another leader has told",
	  { { HEAR, 20, 3 },
	    { TAKE, 21, 3 },
	    { LOSE, 100, 0 },
	    { HEAR, 800, 3 },
	    { END, 0, 0 } },
	  900,
	  FRESHNESS_SURE,
	  0 },
	{ "an old leader's word changes nothing",
	  { { HEAR, 20, 5 }, { TAKE, 21, 5 }, { HEAR, 100, 4 }, { END, 0, 0 } },
	  9000,
	  FRESHNESS_SURE,
	  0 },
	{ "the loop has just gone on",
	  { { HEAR, 20, 3 },
	    { TAKE, 21, 3 },
	    { TURN, 100, 0 },
	    { TURN, 3000, 0 },
	    { END, 0, 0 } },
	  3100,
	  FRESHNESS_STALE,
	  3200 },
	{ "the loop went on a while ago",
	  { { HEAR, 20, 3 },
	    { TAKE, 21, 3 },
	    { TURN, 100, 0 },
	    { TURN, 3000, 0 },
	    { TURN, 3210, 0 },
	    { END, 0, 0 } },
	  3210,
	  FRESHNESS_SURE,
	  0 },
};

static void levels_follow_what_was_told(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct step *s = rows[i].steps;
		enum freshness_level level;
		struct freshness f;
		int64_t until;

		freshness_init(&f, 0);
		for (; s->event != END; s++) {
			if (s->event == HEAR)
				freshness_hear(&f, s->version, s->at_ms);
			else if (s->event == TAKE)
				freshness_take(&f, s->version);
			else if (s->event == LOSE)
				freshness_lose(&f, s->at_ms);
			else
				freshness_turn(&f, s->at_ms);
		}
		/* Only the row's own turns stand still. */
		f.turn_ms = MAX(f.turn_ms, rows[i].at_ms - 1);
		level = freshness_level(&f, rows[i].at_ms, &until);
		if (level != rows[i].level ||
		    (rows[i].until_ms && until != rows[i].until_ms))
			fail_msg("%s: %d until %" PRId64, rows[i].label, level,
				 until);
	}
}

/* A stand-still that ends within a turn, before the loop says so. */
static void what_woke_is_stale_at_once(void **state)
{
	struct freshness f;
	int64_t until;

	(void)state;
	freshness_init(&f, 0);
	freshness_hear(&f, 1, 0);
	freshness_take(&f, 1);
	freshness_turn(&f, 100);
	assert_int_equal(freshness_level(&f, 100 + FRESHNESS_STILL_MS, &until),
			 FRESHNESS_STALE);
	assert_true(until > 100 + FRESHNESS_STILL_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(levels_follow_what_was_told),
		cmocka_unit_test(what_woke_is_stale_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
