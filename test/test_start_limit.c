/* How many prompts an entry may have in flight on an engine. */
#include "unit.h"

#include "../src/core/start_limit.h"

#define ALLOWED_MS 250
#define OBJECTIVE_MS 1000

/*
 * An engine reads all prompts that have come in one step, and each of its
 * streams gets an event at a step's end. Entries send bursts of prompts.
 */
#define ENTRIES 4
#define STEP_MS 20
#define PROMPT_MS 30
#define RUN_MS 60000
#define WARM_MS 5000

struct load {
	const char *label;
	int burst, every_ms;
	bool saturates; /* more prompts than the engine can read */
};

struct world {
	struct start_limit limits[ENTRIES];
	int waiting[ENTRIES], sent[ENTRIES];
	int64_t sent_ms[ENTRIES][1024];
	int served[ENTRIES], all;
	int64_t late_ms; /* in steps that were longer than allowed */
	int64_t read_ms;
	bool limited;
};

static void send_waiting(struct world *w, int64_t now)
{
	for (int i = 0; i < ENTRIES; i++)
		while (w->waiting[i] && w->sent[i] < 1024 &&
		       (!w->limited ||
			start_limit_allows(&w->limits[i], w->sent[i]))) {
			w->sent_ms[i][w->sent[i]++] = now;
			w->waiting[i]--;
			start_limit_sent(&w->limits[i], w->sent[i], now);
		}
}

/* Every entry has a stream there, and learns how long it paused. */
static void step_ends(struct world *w, const int *read, int64_t pause_ms,
		      int64_t now)
{
	for (int i = 0; i < ENTRIES; i++) {
		for (int k = 0; k < read[i]; k++)
			start_limit_first(&w->limits[i], now - w->sent_ms[i][k],
					  OBJECTIVE_MS, now);
		w->sent[i] -= read[i];
		memmove(w->sent_ms[i], w->sent_ms[i] + read[i],
			(size_t)w->sent[i] * sizeof(w->sent_ms[i][0]));
		start_limit_pause(&w->limits[i], pause_ms, ALLOWED_MS, now);
	}
}

static void run(struct world *w, const struct load *x, bool limited)
{
	int64_t now = 0, next = 0;

	memset(w, 0, sizeof(*w));
	w->limited = limited;
	for (int i = 0; i < ENTRIES; i++)
		start_limit_init(&w->limits[i]);
	while (now < RUN_MS) {
		int read[ENTRIES], n = 0;
		int64_t ms;

		/* The bursts of entries follow each other. */
		for (; next <= now; next += x->every_ms / ENTRIES)
			w->waiting[next / (x->every_ms / ENTRIES) % ENTRIES] +=
				x->burst;
		send_waiting(w, now);
		for (int i = 0; i < ENTRIES; i++)
			n += read[i] = w->sent[i];
		ms = STEP_MS + (int64_t)n * PROMPT_MS;
		/* Prompts that come meanwhile are read in the next step. */
		now += ms;
		step_ends(w, read, ms, now);
		if (now < WARM_MS)
			continue;
		w->late_ms += ms > ALLOWED_MS ? ms : 0;
		w->all += n;
		w->read_ms += (int64_t)n * PROMPT_MS;
		for (int i = 0; i < ENTRIES; i++)
			w->served[i] += read[i];
	}
}

static const struct load loads[] = {
	{ "bursts at half of what it can read", 12, 2880, false },
	{ "bursts at four fifths", 12, 1800, false },
	{ "more than it can read", 12, 1000, true },
};

/* Failure: a burst of prompts makes all other streams of the engine pause. */
static void late_pauses_fall(void **state)
{
	struct world with, without;

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
		run(&without, &loads[k], false);
		run(&with, &loads[k], true);
		print_message("%s: late pauses take %d ms, without a limit "
			      "%d ms\n",
			      loads[k].label, (int)with.late_ms,
			      (int)without.late_ms);
		assert_true(without.late_ms >= RUN_MS / 3);
		assert_true(with.late_ms * 4 <= without.late_ms);
	}
}

/* Failure: a limit that is too low leaves the engine idle while prompts wait.
 */
static void engine_is_kept_busy(void **state)
{
	struct world with, without;

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
		double share;

		run(&without, &loads[k], false);
		run(&with, &loads[k], true);
		share = (double)with.read_ms / (RUN_MS - WARM_MS);
		print_message("%s: prompts %d, without a limit %d, reads %.2f "
			      "of the time\n",
			      loads[k].label, with.all, without.all, share);
		if (loads[k].saturates)
			assert_true(share > 0.8);
		else
			assert_true(with.all * 100 >= without.all * 97);
	}
}

/* Failure: of entries that adapt on their own, one is left with nothing. */
static void no_entry_is_shut_out(void **state)
{
	struct world w;

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
		run(&w, &loads[k], true);
		for (int i = 0; i < ENTRIES; i++)
			assert_true(w.served[i] * ENTRIES * 2 >= w.all);
	}
}

/* Failure: an engine whose streams never paused too long is held back. */
static void no_limit_without_a_long_pause(void **state)
{
	struct start_limit l;

	(void)state;
	start_limit_init(&l);
	for (int64_t now = 1; now < 100000; now += 100) {
		start_limit_sent(&l, 50, now);
		assert_false(
			start_limit_pause(&l, ALLOWED_MS, ALLOWED_MS, now));
		assert_false(start_limit_first(&l, OBJECTIVE_MS * 2,
					       OBJECTIVE_MS, now));
		assert_true(start_limit_allows(&l, 1000000));
	}
}

/* A limit of 4, set at 10000 ms, where a first event takes 100 ms. */
static void open_limited(struct start_limit *l)
{
	start_limit_init(l);
	start_limit_first(l, 100, OBJECTIVE_MS, 9000);
	start_limit_sent(l, 8, 9900);
	assert_true(start_limit_pause(l, 300, ALLOWED_MS, 10000));
	assert_true(l->most == 4);
}

struct step {
	const char *label;
	bool pause; /* else a first event */
	int64_t ms, bound_ms, now;
	double want;
};

static const struct step steps[] = {
	{ "a second pause of the same prompts", true, 300, 250, 10099, 4 },
	{ "a pause of newer ones", true, 300, 250, 10100, 2 },
	{ "a late first event", false, 1001, 1000, 10100, 2 },
	{ "a first event in time", false, 100, 1000, 10200, 4.25 },
	{ "one that was sent before the pause", false, 100, 1000, 10050, 4 },
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

/* Failures: one burst lowers the limit many times over, or a nonsensical figure
 * moves it. */
static void single_steps(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		const struct step *s = &steps[i];
		struct start_limit l;
		bool fell;

		open_limited(&l);
		fell = s->pause ? start_limit_pause(&l, s->ms, s->bound_ms,
						    s->now) :
				  start_limit_first(&l, s->ms, s->bound_ms,
						    s->now);
		if (l.most != s->want || fell != (s->want < 4))
			fail_msg("%s: %f", s->label, l.most);
	}
}

/* Failure: pauses near the allowed one are answered with more prompts. */
static void limit_stays_between_half_and_whole(void **state)
{
	struct start_limit l;

	(void)state;
	open_limited(&l);
	for (int64_t now = 10200; now < 12000; now += 50) {
		start_limit_sent(&l, 4, now);
		start_limit_pause(&l, ALLOWED_MS * 3 / 5, ALLOWED_MS, now);
		start_limit_first(&l, 100, OBJECTIVE_MS, now);
	}
	assert_true(l.most == 4);
}

/* Failure: after many bad seconds nothing is sent there any more, or for ever
 * less than the engine can read. */
static void limit_recovers(void **state)
{
	struct start_limit l;
	int64_t now = 11000;

	(void)state;
	open_limited(&l);
	for (; now < 60000; now += 200)
		start_limit_pause(&l, 3000, ALLOWED_MS, now);
	assert_true(l.most == 1);
	assert_true(start_limit_allows(&l, 0));
	for (int i = 0; i < 200; i++, now += 100) {
		int64_t sent = (int64_t)l.most;

		start_limit_sent(&l, sent, now);
		start_limit_first(&l, 90, OBJECTIVE_MS, now);
	}
	assert_true(l.most > 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(late_pauses_fall),
		cmocka_unit_test(engine_is_kept_busy),
		cmocka_unit_test(no_entry_is_shut_out),
		cmocka_unit_test(no_limit_without_a_long_pause),
		cmocka_unit_test(single_steps),
		cmocka_unit_test(limit_stays_between_half_and_whole),
		cmocka_unit_test(limit_recovers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
