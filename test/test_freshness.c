/* Tests when a process considers its routing outdated. */
#include "unit.h"

#include "../src/core/freshness.h"

enum freshness_event { RECEIVED, APPLIED, LEADER_LOST, TICK, END };

struct step {
	enum freshness_event event;
	int64_t at_ms;
	uint64_t version;
};

static const struct {
	const char *label;
	struct step steps[12];
	int64_t at_ms; /* time of the query; the last tick was just before */
	enum freshness_level level;
	int64_t until_ms; /* 0: not checked */
} rows[] = {
	{ "no version was announced",
	  { { END, 0, 0 } },
	  9000,
	  FRESHNESS_CURRENT,
	  0 },
	{ "the announced version is held",
	  { { APPLIED, 10, 3 }, { RECEIVED, 20, 3 }, { END, 0, 0 } },
	  9000,
	  FRESHNESS_CURRENT,
	  0 },
	{ "a newer version was just announced",
	  { { APPLIED, 10, 3 }, { RECEIVED, 20, 4 }, { END, 0, 0 } },
	  20,
	  FRESHNESS_UNCERTAIN,
	  1520 },
	{ "a newer version was announced a second ago",
	  { { APPLIED, 10, 3 }, { RECEIVED, 20, 4 }, { END, 0, 0 } },
	  1020,
	  FRESHNESS_STALE,
	  1520 },
	{ "the newer version was applied",
	  { { APPLIED, 10, 3 },
	    { RECEIVED, 20, 4 },
	    { APPLIED, 900, 4 },
	    { END, 0, 0 } },
	  5000,
	  FRESHNESS_CURRENT,
	  0 },
	{ "successive changes, each applied within a second",
	  { { RECEIVED, 100, 4 },
	    { RECEIVED, 700, 5 },
	    { APPLIED, 900, 4 },
	    { RECEIVED, 1400, 6 },
	    { APPLIED, 1500, 5 },
	    { END, 0, 0 } },
	  1700,
	  FRESHNESS_UNCERTAIN,
	  2900 },
	{ "successive changes, the first not applied",
	  { { RECEIVED, 100, 4 },
	    { RECEIVED, 700, 5 },
	    { RECEIVED, 1000, 6 },
	    { END, 0, 0 } },
	  1100,
	  FRESHNESS_STALE,
	  1600 },
	{ "more versions announced than are stored",
	  { { RECEIVED, 100, 1 },
	    { RECEIVED, 101, 2 },
	    { RECEIVED, 102, 3 },
	    { RECEIVED, 103, 4 },
	    { RECEIVED, 104, 5 },
	    { RECEIVED, 105, 6 },
	    { RECEIVED, 106, 7 },
	    { RECEIVED, 107, 8 },
	    { RECEIVED, 900, 9 },
	    { APPLIED, 950, 8 },
	    { END, 0, 0 } },
	  1107,
	  FRESHNESS_STALE,
	  0 },
	{ "the leader was lost a moment ago",
	  { { RECEIVED, 20, 3 },
	    { APPLIED, 21, 3 },
	    { LEADER_LOST, 100, 0 },
	    { END, 0, 0 } },
	  300,
	  FRESHNESS_CURRENT,
	  0 },
	{ "the leader has been lost for longer",
	  { { RECEIVED, 20, 3 },
	    { APPLIED, 21, 3 },
	    { LEADER_LOST, 100, 0 },
	    { END, 0, 0 } },
	  400,
	  FRESHNESS_UNCERTAIN,
	  900 },
	{ "another leader announced its version",
	  { { RECEIVED, 20, 3 },
	    { APPLIED, 21, 3 },
	    { LEADER_LOST, 100, 0 },
	    { RECEIVED, 800, 3 },
	    { END, 0, 0 } },
	  900,
	  FRESHNESS_CURRENT,
	  0 },
	{ "an older version from a former leader is ignored",
	  { { RECEIVED, 20, 5 },
	    { APPLIED, 21, 5 },
	    { RECEIVED, 100, 4 },
	    { END, 0, 0 } },
	  9000,
	  FRESHNESS_CURRENT,
	  0 },
	{ "the loop has just resumed",
	  { { RECEIVED, 20, 3 },
	    { APPLIED, 21, 3 },
	    { TICK, 100, 0 },
	    { TICK, 3000, 0 },
	    { END, 0, 0 } },
	  3100,
	  FRESHNESS_STALE,
	  3200 },
	{ "the loop resumed a while ago",
	  { { RECEIVED, 20, 3 },
	    { APPLIED, 21, 3 },
	    { TICK, 100, 0 },
	    { TICK, 3000, 0 },
	    { TICK, 3210, 0 },
	    { END, 0, 0 } },
	  3210,
	  FRESHNESS_CURRENT,
	  0 },
};

static void level_follows_announced_versions(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct step *s = rows[i].steps;
		enum freshness_level level;
		struct freshness f;
		int64_t until;

		freshness_init(&f, 0);
		for (; s->event != END; s++) {
			if (s->event == RECEIVED)
				freshness_received(&f, s->version, s->at_ms);
			else if (s->event == APPLIED)
				freshness_applied(&f, s->version);
			else if (s->event == LEADER_LOST)
				freshness_leader_lost(&f, s->at_ms);
			else
				freshness_tick(&f, s->at_ms);
		}
		/* Only the ticks of the row itself show a stall. */
		f.tick_ms = MAX(f.tick_ms, rows[i].at_ms - 1);
		level = freshness_level(&f, rows[i].at_ms, &until);
		if (level != rows[i].level ||
		    (rows[i].until_ms && until != rows[i].until_ms))
			fail_msg("%s: %d until %" PRId64, rows[i].label, level,
				 until);
	}
}

/* Guards against requests that are answered by outdated routing in the first
 * iteration after a stall, before its tick. */
static void stale_at_once_after_a_stall(void **state)
{
	struct freshness f;
	int64_t until;

	(void)state;
	freshness_init(&f, 0);
	freshness_received(&f, 1, 0);
	freshness_applied(&f, 1);
	freshness_tick(&f, 100);
	assert_int_equal(freshness_level(&f, 100 + FRESHNESS_STALL_MS, &until),
			 FRESHNESS_STALE);
	assert_true(until > 100 + FRESHNESS_STALL_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(level_follows_announced_versions),
		cmocka_unit_test(stale_at_once_after_a_stall),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
