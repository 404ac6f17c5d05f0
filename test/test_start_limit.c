/* Tests of the limit on prompts that an entry may have in flight on an
 * engine. */
#include "unit.h"

#include "../src/core/start_limit.h"

#define ALLOWED_MS 250	  /* longest allowed pause between two events */
#define OBJECTIVE_MS 1000 /* latest first event */

/*
 * Simulation: entries send bursts of prompts to an engine. In one step the
 * engine reads all prompts that have arrived; each of its streams gets an event
 * at the end of the step.
 */
#define ENTRIES 4
#define STEP_MS 20   /* a step without prompts */
#define PROMPT_MS 30 /* reading one prompt */
#define RUN_MS 60000
#define WARMUP_MS 5000 /* not measured */

struct load {
	const char *label;
	int burst;	 /* prompts in a burst */
	int interval_ms; /* between two bursts of an entry */
	bool overloads;	 /* more prompts than the engine can read */
};

struct simulation {
	struct start_limit limits[ENTRIES];
	int waiting[ENTRIES], sent[ENTRIES];
	int64_t sent_ms[ENTRIES][1024];
	int served[ENTRIES], total; /* prompts read */
	int64_t long_pause_ms;	    /* in steps that were longer than allowed */
	int64_t reading_ms;
	bool limited;
};

static void send_waiting(struct simulation *s, int64_t now)
{
	for (int i = 0; i < ENTRIES; i++)
		while (s->waiting[i] && s->sent[i] < 1024 &&
		       (!s->limited ||
			start_limit_allows(&s->limits[i], s->sent[i]))) {
			s->sent_ms[i][s->sent[i]++] = now;
			s->waiting[i]--;
			start_limit_sent(&s->limits[i], s->sent[i], now);
		}
}

/* Each entry has a stream on the engine and observes the pause. */
static void end_step(struct simulation *s, const int *read, int64_t pause_ms,
		     int64_t now)
{
	for (int i = 0; i < ENTRIES; i++) {
		for (int k = 0; k < read[i]; k++)
			start_limit_first_event(&s->limits[i],
						now - s->sent_ms[i][k],
						OBJECTIVE_MS, now);
		s->sent[i] -= read[i];
		memmove(s->sent_ms[i], s->sent_ms[i] + read[i],
			(size_t)s->sent[i] * sizeof(s->sent_ms[i][0]));
		start_limit_pause(&s->limits[i], pause_ms, ALLOWED_MS, now);
	}
}

static void run(struct simulation *s, const struct load *x, bool limited)
{
	int64_t now = 0, next = 0;

	memset(s, 0, sizeof(*s));
	s->limited = limited;
	for (int i = 0; i < ENTRIES; i++)
		start_limit_init(&s->limits[i]);
	while (now < RUN_MS) {
		int read[ENTRIES], n = 0;
		int64_t ms;

		/* The bursts of the entries are evenly spaced. */
		for (; next <= now; next += x->interval_ms / ENTRIES)
			s->waiting[next / (x->interval_ms / ENTRIES) %
				   ENTRIES] += x->burst;
		send_waiting(s, now);
		for (int i = 0; i < ENTRIES; i++)
			n += read[i] = s->sent[i];
		ms = STEP_MS + (int64_t)n * PROMPT_MS;
		/* Prompts that arrive in a step are read in the next one. */
		now += ms;
		end_step(s, read, ms, now);
		if (now < WARMUP_MS)
			continue;
		s->long_pause_ms += ms > ALLOWED_MS ? ms : 0;
		s->total += n;
		s->reading_ms += (int64_t)n * PROMPT_MS;
		for (int i = 0; i < ENTRIES; i++)
			s->served[i] += read[i];
	}
}

static const struct load loads[] = {
	{ "bursts at half of the engine's capacity", 12, 2880, false },
	{ "bursts at four fifths of it", 12, 1800, false },
	{ "bursts above the engine's capacity", 12, 1000, true },
};

/* Guards against a burst of prompts that pauses all other streams of the
 * engine. */
static void long_pauses_become_rarer(void **state)
{
	struct simulation with, without;

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
		run(&without, &loads[k], false);
		run(&with, &loads[k], true);
		print_message("%s: long pauses take %d ms, without a limit "
			      "%d ms\n",
			      loads[k].label, (int)with.long_pause_ms,
			      (int)without.long_pause_ms);
		assert_true(without.long_pause_ms >= RUN_MS / 3);
		assert_true(with.long_pause_ms * 4 <= without.long_pause_ms);
	}
}

/* Guards against a limit so low that the engine idles while prompts wait. */
static void engine_stays_busy(void **state)
{
	struct simulation with, without;

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
		double share;

		run(&without, &loads[k], false);
		run(&with, &loads[k], true);
		share = (double)with.reading_ms / (RUN_MS - WARMUP_MS);
		print_message("%s: prompts %d, without a limit %d, reads %.2f "
			      "of the time\n",
			      loads[k].label, with.total, without.total, share);
		if (loads[k].overloads)
			assert_true(share > 0.8);
		else
			assert_true(with.total * 100 >= without.total * 97);
	}
}

/* Guards against an entry that gets nothing, as each adapts on its own. */
static void no_entry_starves(void **state)
{
	struct simulation s;

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
		run(&s, &loads[k], true);
		for (int i = 0; i < ENTRIES; i++)
			assert_true(s.served[i] * ENTRIES * 2 >= s.total);
	}
}

/* Guards against limiting an engine whose streams never paused too long. */
static void no_limit_without_a_long_pause(void **state)
{
	struct start_limit l;

	(void)state;
	start_limit_init(&l);
	for (int64_t now = 1; now < 100000; now += 100) {
		start_limit_sent(&l, 50, now);
		assert_false(
			start_limit_pause(&l, ALLOWED_MS, ALLOWED_MS, now));
		assert_false(start_limit_first_event(&l, OBJECTIVE_MS * 2,
						     OBJECTIVE_MS, now));
		assert_true(start_limit_allows(&l, 1000000));
	}
}

/* Sets a limit of 4 at 10000 ms, with first events after 100 ms. */
static void init_with_limit(struct start_limit *l)
{
	start_limit_init(l);
	start_limit_first_event(l, 100, OBJECTIVE_MS, 9000);
	start_limit_sent(l, 8, 9900);
	assert_true(start_limit_pause(l, 300, ALLOWED_MS, 10000));
	assert_true(l->max_in_flight == 4);
}

struct step {
	const char *label;
	bool pause; /* otherwise a first event */
	int64_t ms, bound_ms, now;
	double limit_after;
};

static const struct step steps[] = {
	{ "a second pause of the same prompts", true, 300, 250, 10099, 4 },
	{ "a pause of newer ones", true, 300, 250, 10100, 2 },
	{ "a late first event", false, 1001, 1000, 10100, 2 },
	{ "a first event in time", false, 100, 1000, 10200, 4.25 },
	{ "a first event of a prompt sent before the pause", false, 100, 1000,
	  10050, 4 },
	{ "no pause", true, 0, 250, 10200, 4 },
	{ "a negative pause", true, -300, 250, 10200, 4 },
	{ "an absurd pause", true, INT64_MAX, 250, 10200, 4 },
	{ "no pause limit", true, 300, 0, 10200, 4 },
	{ "a negative pause limit", true, 300, -1, 10200, 4 },
	{ "no first event", false, 0, 1000, 10200, 4 },
	{ "a negative first event", false, -100, 1000, 10200, 4 },
	{ "an absurd first event", false, INT64_MAX, 1000, 10200, 4 },
	{ "no objective", false, 100, 0, 10200, 4 },
	{ "a negative time", true, 300, 250, -5, 4 },
	{ "an earlier time", true, 300, 250, 500, 4 },
};

/* Guards against a limit that one burst lowers repeatedly, or that an invalid
 * time changes. */
static void single_events_change_the_limit(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		const struct step *s = &steps[i];
		struct start_limit l;
		bool lowered;

		init_with_limit(&l);
		lowered = s->pause ?
				  start_limit_pause(&l, s->ms, s->bound_ms,
						    s->now) :
				  start_limit_first_event(&l, s->ms,
							  s->bound_ms, s->now);
		if (l.max_in_flight != s->limit_after ||
		    lowered != (s->limit_after < 4))
			fail_msg("%s: limit %f", s->label, l.max_in_flight);
	}
}

/* Guards against increasing the limit at pauses close to the allowed one. */
static void limit_holds_at_high_pauses(void **state)
{
	struct start_limit l;

	(void)state;
	init_with_limit(&l);
	for (int64_t now = 10200; now < 12000; now += 50) {
		start_limit_sent(&l, 4, now);
		start_limit_pause(&l, ALLOWED_MS * 3 / 5, ALLOWED_MS, now);
		start_limit_first_event(&l, 100, OBJECTIVE_MS, now);
	}
	assert_true(l.max_in_flight == 4);
}

/* Guards against a limit that blocks all prompts, or stays below what the
 * engine can read, after many long pauses. */
static void limit_recovers(void **state)
{
	struct start_limit l;
	int64_t now = 11000;

	(void)state;
	init_with_limit(&l);
	for (; now < 60000; now += 200)
		start_limit_pause(&l, 3000, ALLOWED_MS, now);
	assert_true(l.max_in_flight == 1);
	assert_true(start_limit_allows(&l, 0));
	for (int i = 0; i < 200; i++, now += 100) {
		int64_t sent = (int64_t)l.max_in_flight;

		start_limit_sent(&l, sent, now);
		start_limit_first_event(&l, 90, OBJECTIVE_MS, now);
	}
	assert_true(l.max_in_flight > 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(long_pauses_become_rarer),
		cmocka_unit_test(engine_stays_busy),
		cmocka_unit_test(no_entry_starves),
		cmocka_unit_test(no_limit_without_a_long_pause),
		cmocka_unit_test(single_events_change_the_limit),
		cmocka_unit_test(limit_holds_at_high_pauses),
		cmocka_unit_test(limit_recovers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
