/* Tests of the table of suspected requests: crash counts, quarantine periods,
 * trial runs, bounds. */
#include "unit.h"

#include "../src/core/suspects.h"

#define MINUTE_MS (60 * 1000LL)
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_MS (24 * HOUR_MS)

static const struct suspects_options options = { .capacity = 64 };

static struct fingerprint fingerprint_no(uint64_t i)
{
	return (struct fingerprint){ 7, i };
}

static void add_crash(struct suspects *s, uint64_t request,
		      uint64_t incarnation_no, int64_t now)
{
	struct fingerprint fp = fingerprint_no(request);
	struct suspect_crash c = { .incarnation_hash = incarnation_no,
				   .crashed_ms = now,
				   .began_ms = now,
				   .answered_ms = SS_NEVER };

	suspects_add_crash(s, &fp, &c, now);
}

static int64_t remaining_ms(const struct suspects *s, uint64_t request,
			    int64_t now)
{
	struct fingerprint fp = fingerprint_no(request);

	return suspects_remaining_ms(s, &fp, now);
}

static enum suspect_admission admit(struct suspects *s, uint64_t request,
				    int64_t now, int64_t *wait_ms)
{
	struct fingerprint fp = fingerprint_no(request);

	*wait_ms = -1;
	return suspects_admit(s, &fp, now, wait_ms);
}

static bool answered(struct suspects *s, uint64_t request, int64_t now)
{
	struct fingerprint fp = fingerprint_no(request);

	return suspects_answered(s, &fp, now, now);
}

/* Adds the crashes that quarantine a request, of consecutive incarnations. */
static void quarantine(struct suspects *s, uint64_t request,
		       uint64_t first_incarnation, int64_t now)
{
	for (int i = 0; i < SUSPECT_CRASH_THRESHOLD; i++)
		add_crash(s, request, first_incarnation + (uint64_t)i, now);
}

/* A part of prompts that was running at a crash, and what is known of it. */
static void part_crash(struct suspects *s, const char *id,
		       uint64_t incarnation_no, int64_t began_ms,
		       int64_t answered_ms, int64_t now)
{
	struct fingerprint fp = fingerprint_of_part(ss_str(id));
	struct suspect_crash c = { .incarnation_hash = incarnation_no,
				   .crashed_ms = now,
				   .began_ms = began_ms,
				   .answered_ms = answered_ms };

	suspects_add_crash(s, &fp, &c, now);
}

static bool part_is_quarantined(struct suspects *s, const char *id, int64_t now)
{
	struct fingerprint fp = fingerprint_of_part(ss_str(id));

	suspects_tick(s, now);
	return suspects_remaining_ms(s, &fp, now) >= 0;
}

/*
 * The fingerprint depends on the content of a request, not on its id or
 * headers. It changes if a byte moves from one part to the next.
 */
static void fingerprints_differ_by_content(void **state)
{
	static const struct {
		const char *method, *host, *target, *body;
		bool same;
	} cases[] = {
		{ "POST", "h", "/a/b", "text", true },
		{ "PUT", "h", "/a/b", "text", false },
		{ "POST", "i", "/a/b", "text", false },
		{ "POST", "h", "/a/b?c", "text", false },
		{ "POST", "h", "/a/b", "texts", false },
		{ "POST", "h", "/a/bt", "ext", false },
		{ "POST", "h/a", "/b", "text", false },
		{ "POST", "h", "/a/b", "", false },
	};
	struct fingerprint first = { 0 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fingerprint fp = fingerprint_of(ss_str(cases[i].method),
						       ss_str(cases[i].host),
						       ss_str(cases[i].target),
						       ss_str(cases[i].body));

		if (!i)
			first = fp;
		assert_int_equal(fingerprint_equal(&first, &fp), cases[i].same);
	}
}

/* Two crashes may be chance, the third one quarantines. Each is counted once,
 * whichever entries report it. */
static void third_crash_quarantines(void **state)
{
	struct suspects *s = suspects_new(&options, 0);

	(void)state;
	add_crash(s, 1, 11, 0);
	add_crash(s, 1, 12, 100);
	add_crash(s, 1, 11, 200);
	add_crash(s, 1, 12, 300);
	assert_int_equal(remaining_ms(s, 1, 300), -1);
	assert_false(suspects_any_quarantined(s));
	add_crash(s, 1, 13, 400);
	assert_int_equal(remaining_ms(s, 1, 400), 10 * MINUTE_MS);
	assert_int_equal(remaining_ms(s, 2, 400), -1);
	/* A delayed report of a known crash by another entry changes nothing.
	 */
	add_crash(s, 1, 13, 5000);
	assert_int_equal(remaining_ms(s, 1, 5000), 10 * MINUTE_MS - 4600);
	suspects_free(s);
}

/* Crashes that are far apart don't add up; those of a job that runs every
 * quarter of an hour do. */
static void old_crashes_are_dropped(void **state)
{
	static const struct {
		int64_t gap_ms;
		bool quarantined;
	} cases[] = { { 15 * MINUTE_MS, true },
		      { HOUR_MS - MINUTE_MS, true },
		      { HOUR_MS + MINUTE_MS, false } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct suspects *s = suspects_new(&options, 0);
		int64_t now = 0;

		for (uint64_t k = 0; k < SUSPECT_CRASH_THRESHOLD; k++) {
			now += cases[i].gap_ms;
			suspects_tick(s, now);
			add_crash(s, 1, k, now);
		}
		assert_int_equal(suspects_any_quarantined(s),
				 cases[i].quarantined);
		suspects_free(s);
	}
}

/*
 * After its quarantine period a suspect gets one trial run, not one at each
 * entry. Each trial run that crashes an endpoint is followed by another period,
 * and after SUSPECT_TRIALS_MAX of them there is none any more: a poison suspect
 * crashes a fixed number of endpoints for good.
 */
static void failed_trials_extend_quarantine(void **state)
{
	static const int64_t periods[] = { 10 * MINUTE_MS, 10 * MINUTE_MS };
	struct suspects *s = suspects_new(&options, 0);
	int64_t now = 1000, wait;

	(void)state;
	assert_int_equal(G_N_ELEMENTS(periods), SUSPECT_TRIALS_MAX);
	quarantine(s, 1, 10, now);
	for (size_t i = 0; i < G_N_ELEMENTS(periods); i++) {
		assert_int_equal(admit(s, 1, now + 1, &wait), SUSPECT_WAIT);
		assert_int_equal(wait, periods[i] - 1);
		now += periods[i];
		suspects_tick(s, now);
		assert_int_equal(admit(s, 1, now, &wait), SUSPECT_TRIAL);
		assert_int_equal(admit(s, 1, now, &wait), SUSPECT_WAIT);
		assert_in_range(wait, 1, 5000);
		add_crash(s, 1, 100 + i, now += 80);
	}
	for (int days = 0; days < 1000; days++) {
		now += 24 * HOUR_MS;
		suspects_tick(s, now);
		assert_int_equal(admit(s, 1, now, &wait), SUSPECT_WAIT);
		assert_true(wait > SUSPECT_FOREVER_MS / 2);
	}
	suspects_free(s);
}

/* Guards against a poison suspect that no operator can allow again after its
 * cause is fixed. */
static void operator_lifts_a_quarantine(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	struct fingerprint fp = fingerprint_no(1);
	struct suspect_state st = { .fingerprint = fp,
				    .remaining_ms = SUSPECT_FOREVER_MS,
				    .failed_trials = SUSPECT_TRIALS_MAX };
	int64_t wait;

	(void)state;
	assert_false(suspects_lift(s, &fp, 0));
	suspects_merge(s, &st, 0);
	assert_int_equal(admit(s, 1, DAY_MS, &wait), SUSPECT_WAIT);
	assert_true(suspects_lift(s, &fp, DAY_MS));
	assert_int_equal(admit(s, 1, DAY_MS, &wait), SUSPECT_FREE);
	/* Entries that still hold it don't bring it back. */
	suspects_merge(s, &st, DAY_MS);
	assert_int_equal(admit(s, 1, DAY_MS, &wait), SUSPECT_FREE);
	quarantine(s, 1, 50, DAY_MS + 10);
	assert_int_equal(remaining_ms(s, 1, DAY_MS + 10), 10 * MINUTE_MS);
	suspects_free(s);
}

static bool part_answered(struct suspects *s, const char *id, int64_t began_ms,
			  int64_t now)
{
	struct fingerprint fp = fingerprint_of_part(ss_str(id));

	return suspects_answered(s, &fp, began_ms, now);
}

/*
 * Guards against a route that goes down with one poison part, as the first part
 * of its prompts runs at each crash, too: it is answered all the time, and a
 * part that was never answered is quarantined at its third crash.
 */
static void part_in_use_outlives_crashes(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	int64_t now = 100000;

	(void)state;
	for (uint64_t i = 0; i < 100; i++, now += 200) {
		part_crash(s, "f1", i, now - 300, now - 1500, now);
		part_crash(s, "bad", i, now - 60, SS_NEVER, now);
		assert_int_equal(part_is_quarantined(s, "bad", now),
				 i + 1 >= SUSPECT_CRASH_THRESHOLD);
		/* Runs take 1.5 s, so some began after earlier crashes. */
		part_answered(s, "f1", now - 1500, now + 100);
		assert_false(part_is_quarantined(s, "f1", now + 100));
	}
	suspects_free(s);
}

/*
 * A part in doubt is quarantined when answers could have come and didn't: not
 * sooner, and not if all its runs began before the first crash.
 */
static void doubt_ends(void **state)
{
	static const struct {
		int64_t answered_ms; /* before the first crash */
		int64_t began_ms;    /* after the first crash, of later runs */
		int64_t quarantined_ms; /* after the first crash; -1: never */
	} cases[] = {
		{ SS_NEVER, 10, 200 },
		{ 100, 10, 2500 },
		{ 5 * MINUTE_MS, 10, 2500 },
		{ 11 * MINUTE_MS, 10, 200 },
		{ 100, -10, -1 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct suspects *s = suspects_new(&options, 0);
		int64_t first = HOUR_MS, found = -1;

		for (int64_t ms = 0; ms < 10000; ms += 100) {
			int64_t answered = cases[i].answered_ms;

			if (answered != SS_NEVER)
				answered = first - answered;
			if (ms < 300)
				part_crash(s, "a", (uint64_t)ms,
					   first + (ms ? cases[i].began_ms :
							 -10),
					   answered, first + ms);
			if (found < 0 &&
			    part_is_quarantined(s, "a", first + ms))
				found = ms;
		}
		assert_int_equal(found, cases[i].quarantined_ms);
		suspects_free(s);
	}
}

/*
 * Guards against a sound part that stays quarantined though it is answered:
 * entries which didn't see the crashes tell of answers afterwards. Answers to
 * runs that began before the crashes only put it in doubt.
 */
static void later_answers_release_a_part(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	int64_t now = HOUR_MS;

	(void)state;
	for (uint64_t i = 0; i < SUSPECT_CRASH_THRESHOLD; i++)
		part_crash(s, "a", i, now + 10 * (int64_t)i, SS_NEVER,
			   now + 10 * (int64_t)i);
	assert_true(part_is_quarantined(s, "a", now + 30));
	assert_true(part_answered(s, "a", now - 100, now + 50));
	assert_false(part_is_quarantined(s, "a", now + 50));
	assert_true(part_is_quarantined(s, "a", now + 2600));
	assert_true(part_answered(s, "a", now + 40, now + 2700));
	assert_false(part_is_quarantined(s, "a", now + 2700));
	suspects_free(s);
}

/*
 * Guards against a quarantine that an answer ends which was begun before the
 * crashes: where another process counted them, their times aren't known.
 */
static void
answers_of_earlier_runs_dont_clear_a_learned_quarantine(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	struct fingerprint fp = fingerprint_of_part(SS_LIT("a"));
	struct suspect_state st = { .fingerprint = fp,
				    .remaining_ms = 10 * MINUTE_MS };

	(void)state;
	suspects_apply(s, &st, 5000);
	assert_true(part_answered(s, "a", 4000, 5100));
	assert_true(part_is_quarantined(s, "a", 5100));
	assert_true(part_answered(s, "a", 5200, 5300));
	assert_false(part_is_quarantined(s, "a", 5300));
	suspects_free(s);
}

/* A late report of a crash from before the newest answered run counts nothing:
 * a new leader receives the reports of all entries again. */
static void crashes_before_an_answer_dont_count(void **state)
{
	struct suspects *s = suspects_new(&options, 0);

	(void)state;
	for (uint64_t i = 0; i < 10; i++)
		part_crash(s, "a", i, 900, 2000, 1000 + (int64_t)i);
	assert_false(part_is_quarantined(s, "a", 3000));
	suspects_free(s);
}

/* A complete answer clears a request, before its quarantine and in a trial run.
 */
static void answer_clears(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	int64_t wait;

	(void)state;
	add_crash(s, 1, 1, 0);
	assert_true(answered(s, 1, 10));
	assert_false(answered(s, 1, 20));
	quarantine(s, 1, 5, 100);
	assert_true(suspects_any_quarantined(s));
	assert_int_equal(admit(s, 1, 100 + 10 * MINUTE_MS, &wait),
			 SUSPECT_TRIAL);
	assert_true(answered(s, 1, 100 + 10 * MINUTE_MS + 50));
	assert_false(suspects_any_quarantined(s));
	assert_int_equal(admit(s, 1, 100 + 11 * MINUTE_MS, &wait),
			 SUSPECT_FREE);
	assert_false(answered(s, 2, 0));
	suspects_free(s);
}

/*
 * Guards against a trial run that stays open for ever and blocks all others,
 * when its caller leaves or its entry is lost.
 */
static void lost_trial_times_out(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	struct fingerprint fp = fingerprint_no(1);
	int64_t now = 10 * MINUTE_MS, wait;

	(void)state;
	quarantine(s, 1, 10, 0);
	assert_int_equal(admit(s, 1, now, &wait), SUSPECT_TRIAL);
	suspects_cancel_trial(s, &fp);
	assert_int_equal(admit(s, 1, now, &wait), SUSPECT_TRIAL);
	now += SUSPECT_TRIAL_TIMEOUT_MS - 1;
	assert_int_equal(admit(s, 1, now, &wait), SUSPECT_WAIT);
	assert_int_equal(admit(s, 1, now + 1, &wait), SUSPECT_TRIAL);
	suspects_free(s);
}

/*
 * Guards against refusing harmless requests for ten minutes because they ran
 * beside a poison request. All of them share the same three crashes, and only
 * trial runs tell them apart. These start once endpoints are back: one at a
 * time at first, and more as they are answered.
 */
static void tied_requests_get_early_trials(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	int64_t now = 3000, wait;

	(void)state;
	for (uint64_t i = 1; i <= 8; i++)
		quarantine(s, i, 10, 0);
	for (uint64_t i = 1; i <= 8; i++)
		assert_int_equal(remaining_ms(s, i, 0), 3000);
	assert_int_equal(admit(s, 2, now, &wait), SUSPECT_TRIAL);
	assert_int_equal(admit(s, 3, now, &wait), SUSPECT_WAIT);
	assert_in_range(wait, 1, 5000);
	answered(s, 2, now);
	assert_int_equal(admit(s, 3, now, &wait), SUSPECT_TRIAL);
	assert_int_equal(admit(s, 4, now, &wait), SUSPECT_TRIAL);
	assert_int_equal(admit(s, 1, now, &wait), SUSPECT_WAIT);
	answered(s, 3, now);
	/* The poison request: its crashes no longer count against the others.
	 */
	assert_int_equal(admit(s, 1, now, &wait), SUSPECT_TRIAL);
	add_crash(s, 1, 99, now += 80);
	assert_int_equal(remaining_ms(s, 1, now), 10 * MINUTE_MS);
	for (uint64_t i = 5; i <= 8; i++)
		assert_int_equal(remaining_ms(s, i, now), -1);
	/* Its own trial run is still out, and might be the one that failed. */
	assert_true(remaining_ms(s, 4, now) >= 0);
	answered(s, 4, now);
	assert_int_equal(remaining_ms(s, 4, now), -1);
	suspects_free(s);
}

/*
 * Guards against a harmless suspect that is blamed for a trial run of the
 * poison one on the same endpoint, and against one that is cleared by that: the
 * second report doesn't count, its trial run is repeated alone, and that
 * decides.
 */
static void trials_on_one_endpoint_are_repeated_alone(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	int64_t now = 3000, wait;

	(void)state;
	for (uint64_t i = 1; i <= 4; i++)
		quarantine(s, i, 10, 0);
	assert_int_equal(admit(s, 4, now, &wait), SUSPECT_TRIAL);
	answered(s, 4, now += 10);
	assert_int_equal(admit(s, 1, now, &wait), SUSPECT_TRIAL);
	assert_int_equal(admit(s, 2, now, &wait), SUSPECT_TRIAL);
	add_crash(s, 1, 99, now += 80);
	add_crash(s, 2, 99, now);
	assert_int_equal(remaining_ms(s, 1, now), 10 * MINUTE_MS);
	assert_int_equal(remaining_ms(s, 2, now), 3000);
	now += 3000;
	assert_int_equal(admit(s, 2, now, &wait), SUSPECT_TRIAL);
	add_crash(s, 2, 100, now += 80);
	assert_int_equal(remaining_ms(s, 2, now), 10 * MINUTE_MS);
	assert_int_equal(remaining_ms(s, 1, now), -1);
	suspects_free(s);
}

/*
 * Guards against a quarantine of ten minutes for what only ran beside the
 * poison suspect: a run of both that was under way crashes another endpoint.
 */
static void crash_under_way_keeps_an_early_trial(void **state)
{
	struct suspects *s = suspects_new(&options, 0);

	(void)state;
	quarantine(s, 1, 10, 0);
	quarantine(s, 2, 10, 0);
	add_crash(s, 1, 20, 500);
	add_crash(s, 2, 20, 500);
	assert_int_equal(remaining_ms(s, 1, 500), 3000);
	assert_int_equal(remaining_ms(s, 2, 500), 3000);
	suspects_free(s);
}

/* A trial run that an entry and the leader both see fail counts once. */
static void entry_doesnt_count_what_its_leader_counts(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	struct suspect_state st = { .fingerprint = fingerprint_no(1) };
	int64_t wait;

	(void)state;
	suspects_set_deferring(s, true);
	suspects_apply(s, &st, 0);
	add_crash(s, 1, 20, 500);
	assert_int_equal(suspects_trials(s, &st.fingerprint, 500), 0);
	suspects_set_deferring(s, false);
	add_crash(s, 1, 21, 600);
	assert_int_equal(suspects_trials(s, &st.fingerprint, 600), 1);
	assert_int_equal(admit(s, 1, 600, &wait), SUSPECT_WAIT);
	suspects_free(s);
}

/* Guards against an entry that sees few answers and quarantines a part which
 * the whole fleet uses; without a leader it has to decide alone. */
static void entry_leaves_parts_to_its_leader(void **state)
{
	struct suspects *s = suspects_new(&options, 0);

	(void)state;
	suspects_set_deferring(s, true);
	for (uint64_t i = 0; i < SUSPECT_CRASH_THRESHOLD; i++)
		part_crash(s, "a", i, 0, SS_NEVER, 100);
	assert_false(part_is_quarantined(s, "a", 10000));
	suspects_set_deferring(s, false);
	assert_true(part_is_quarantined(s, "a", 20000));
	suspects_free(s);
}

/*
 * Two requests that share two crashes are tied: one of them is most likely
 * harmless and gets an early trial run, even if its third crash is its own. One
 * shared crash doesn't tie them.
 */
static void two_shared_crashes_tie_requests(void **state)
{
	static const struct {
		uint64_t a[SUSPECT_CRASH_THRESHOLD], b[SUSPECT_CRASH_THRESHOLD];
		bool tied;
	} cases[] = { { { 1, 2, 3 }, { 3, 2, 1 }, true },
		      { { 1, 2, 3 }, { 1, 4, 3 }, true },
		      { { 1, 2, 3 }, { 4, 3, 5 }, false },
		      { { 1, 2, 3 }, { 4, 5, 6 }, false } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct suspects *s = suspects_new(&options, 0);

		for (size_t k = 0; k < SUSPECT_CRASH_THRESHOLD; k++)
			add_crash(s, 1, cases[i].a[k], 0);
		for (size_t k = 0; k < SUSPECT_CRASH_THRESHOLD; k++)
			add_crash(s, 2, cases[i].b[k], 0);
		for (uint64_t k = 1; k <= 2; k++)
			assert_int_equal(remaining_ms(s, k, 0),
					 cases[i].tied ? 3000 : 10 * MINUTE_MS);
		suspects_free(s);
	}
}

/* A quarantine that another process reported stays when a poison request is
 * found. */
static void reported_quarantine_isnt_discounted(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	struct suspect_state st = { .fingerprint = fingerprint_no(2),
				    .remaining_ms = HOUR_MS };
	int64_t now = 10 * MINUTE_MS, wait;

	(void)state;
	suspects_apply(s, &st, 0);
	add_crash(s, 2, 10, 0);
	quarantine(s, 1, 10, 0);
	assert_int_equal(admit(s, 1, now, &wait), SUSPECT_TRIAL);
	add_crash(s, 1, 99, now);
	assert_true(remaining_ms(s, 2, now) > 0);
	suspects_free(s);
}

/* Crashes by copies of a request that already ran when it was quarantined
 * aren't failed trial runs. */
static void crashes_of_earlier_runs_arent_trials(void **state)
{
	struct suspects *s = suspects_new(&options, 0);

	(void)state;
	quarantine(s, 1, 10, 0);
	add_crash(s, 1, 20, 500);
	add_crash(s, 1, 21, 700);
	assert_int_equal(remaining_ms(s, 1, 700), 10 * MINUTE_MS);
	suspects_free(s);
}

/* A new leader allows no trial run before those of the last one are over. */
static void new_leader_holds_trials_back(void **state)
{
	struct suspects_options o = { .capacity = 64, .trial_hold_ms = 30000 };
	struct suspects *s = suspects_new(&o, 1000);
	struct suspect_state st = { .fingerprint = fingerprint_no(1),
				    .failed_trials = 1 };
	int64_t wait;

	(void)state;
	suspects_merge(s, &st, 2000);
	assert_int_equal(admit(s, 1, 2000, &wait), SUSPECT_WAIT);
	assert_int_equal(wait, 29000);
	assert_int_equal(admit(s, 1, 31000, &wait), SUSPECT_TRIAL);
	suspects_free(s);
}

static guint changes(const struct suspects *s, uint64_t *mark, size_t max,
		     GArray *out)
{
	g_array_set_size(out, 0);
	*mark = suspects_changes(s, *mark, max, 0, out);
	return out->len;
}

/* Changes are returned once, in batches; requests that are only suspected
 * aren't. */
static void changes_come_once_and_in_batches(void **state)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	struct suspects *s = suspects_new(&options, 0);
	uint64_t mark = 0;

	(void)state;
	assert_int_equal(changes(s, &mark, 4, out), 0);
	add_crash(s, 50, 1, 0);
	for (uint64_t i = 1; i <= 6; i++)
		quarantine(s, i, 10 * i, 0);
	assert_int_equal(changes(s, &mark, 4, out), 4);
	assert_int_equal(
		g_array_index(out, struct suspect_state, 0).fingerprint.lo, 1);
	assert_int_equal(changes(s, &mark, 4, out), 2);
	assert_int_equal(changes(s, &mark, 4, out), 0);
	assert_int_equal(mark, suspects_mark(s));
	answered(s, 3, 0);
	assert_int_equal(changes(s, &mark, 4, out), 1);
	assert_true(g_array_index(out, struct suspect_state, 0).cleared);
	assert_int_equal(changes(s, &mark, 4, out), 0);
	suspects_free(s);
	g_array_unref(out);
}

/* Guards against a broadcast for each of hundreds of entries that report the
 * same quarantine to a new leader. */
static void merged_state_is_one_change(void **state)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	struct suspects *s = suspects_new(&options, 0);
	struct suspect_state st = { .fingerprint = fingerprint_no(1),
				    .remaining_ms = 5000 };
	uint64_t mark = 0;

	(void)state;
	suspects_merge(s, &st, 0);
	assert_int_equal(changes(s, &mark, 4, out), 1);
	for (int i = 0; i < 300; i++) {
		st.remaining_ms = 5000 + i;
		suspects_merge(s, &st, 0);
	}
	assert_int_equal(changes(s, &mark, 4, out), 0);
	assert_int_equal(remaining_ms(s, 1, 0), 5299);
	answered(s, 1, 0);
	suspects_merge(s, &st, 0);
	assert_int_equal(remaining_ms(s, 1, 0), -1);
	suspects_free(s);
	g_array_unref(out);
}

/* The state that the leader reports replaces that of an entry. */
static void leaders_state_is_applied(void **state)
{
	struct suspects *s = suspects_new(&options, 0);
	struct suspect_state st = { .fingerprint = fingerprint_no(1),
				    .remaining_ms = 3000 };

	(void)state;
	quarantine(s, 1, 10, 0);
	suspects_apply(s, &st, 0);
	assert_int_equal(remaining_ms(s, 1, 0), 3000);
	st.remaining_ms = HOUR_MS;
	suspects_apply(s, &st, 0);
	assert_int_equal(remaining_ms(s, 1, 0), HOUR_MS);
	st.cleared = true;
	suspects_apply(s, &st, 0);
	assert_int_equal(remaining_ms(s, 1, 0), -1);
	assert_false(suspects_any(s));
	suspects_free(s);
}

/*
 * Guards against losing the poison request, or growing without bound, when
 * hundreds of endpoints crash at once with all that they run. Old requests with
 * few crashes are evicted first, quarantined ones last.
 */
static void flood_evicts_the_least_suspected(void **state)
{
	struct suspects *s = suspects_new(&options, 0);

	(void)state;
	quarantine(s, 1, 10, 0);
	add_crash(s, 2, 1, 0);
	add_crash(s, 2, 2, 0);
	for (uint64_t i = 100; i < 10100; i++) {
		add_crash(s, i, i, (int64_t)i);
		assert_true(suspects_count(s) <= options.capacity);
	}
	assert_int_equal(remaining_ms(s, 1, 100), 10 * MINUTE_MS - 100);
	add_crash(s, 2, 3, 200);
	assert_true(remaining_ms(s, 2, 200) >= 0);
	for (uint64_t i = 100; i < 1100; i++) {
		quarantine(s, i, i * 10, (int64_t)i);
		assert_true(suspects_count(s) <= options.capacity);
	}
	assert_true(suspects_quarantined(s) <= suspects_count(s));
	suspects_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(fingerprints_differ_by_content),
		cmocka_unit_test(third_crash_quarantines),
		cmocka_unit_test(old_crashes_are_dropped),
		cmocka_unit_test(failed_trials_extend_quarantine),
		cmocka_unit_test(operator_lifts_a_quarantine),
		cmocka_unit_test(part_in_use_outlives_crashes),
		cmocka_unit_test(doubt_ends),
		cmocka_unit_test(later_answers_release_a_part),
		cmocka_unit_test(
			answers_of_earlier_runs_dont_clear_a_learned_quarantine),
		cmocka_unit_test(crashes_before_an_answer_dont_count),
		cmocka_unit_test(answer_clears),
		cmocka_unit_test(lost_trial_times_out),
		cmocka_unit_test(tied_requests_get_early_trials),
		cmocka_unit_test(trials_on_one_endpoint_are_repeated_alone),
		cmocka_unit_test(crash_under_way_keeps_an_early_trial),
		cmocka_unit_test(entry_doesnt_count_what_its_leader_counts),
		cmocka_unit_test(entry_leaves_parts_to_its_leader),
		cmocka_unit_test(two_shared_crashes_tie_requests),
		cmocka_unit_test(reported_quarantine_isnt_discounted),
		cmocka_unit_test(crashes_of_earlier_runs_arent_trials),
		cmocka_unit_test(new_leader_holds_trials_back),
		cmocka_unit_test(changes_come_once_and_in_batches),
		cmocka_unit_test(merged_state_is_one_change),
		cmocka_unit_test(leaders_state_is_applied),
		cmocka_unit_test(flood_evicts_the_least_suspected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
