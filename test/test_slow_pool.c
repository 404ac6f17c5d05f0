/* How slow endpoints are by what all entries see together. */
#include "unit.h"

#include "../src/core/balance.h"
#include "../src/core/msg.h"
#include "../src/core/slow_pool.h"
#include "../src/core/speed.h"
#include "../src/node/frame.h"

#include <math.h>

static int64_t sum_of(double ratio, int n)
{
	struct slow_seen s = { 0 };

	while (n--)
		slow_seen_note(&s, ratio);
	return slow_seen_sum(&s);
}

/* One report each 100 ms, of one answer. */
static int64_t pool(struct slow_pool *p, int n, double ratio, int64_t now)
{
	for (int i = 0; i < n; i++) {
		now += 100;
		slow_pool_add(p, sum_of(ratio, 1), 1, now);
	}
	return now;
}

struct pool_case {
	const char *label;
	int n;
	double ratio;
	int64_t later_ms;
	int64_t least, most; /* told */
};

static const struct pool_case pools[] = {
	{ "nothing is known", 0, 1, 0, 0, 0 },
	{ "four long prompts", 4, 6, 0, 0, 0 },
	{ "even", 30, 1.2, 0, 0, 0 },
	{ "five times slower", 30, 5, 0, 4000, 5000 },
	{ "twice as fast", 30, 0.5, 0, 500, 600 },
	{ "slow some seconds ago", 20, 5, 3000, 3000, 5000 },
	{ "slow until a minute ago", 30, 5, 60000, 0, 0 },
	{ "no number", 30, NAN, 0, 0, 0 },
	{ "a negative ratio", 30, -4, 0, 0, 0 },
};

/* Guards against long prompts by chance that pass for a slow endpoint, and
 * against a slow one that stays so after it has recovered. */
static void answers_of_all_are_pooled(void **state)
{
	struct slow_pool p = { 0 };
	int64_t now;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(pools); i++) {
		const struct pool_case *c = &pools[i];
		struct slow_pool x = { 0 };
		int64_t got, at = pool(&x, c->n, c->ratio, 5000) + c->later_ms;

		got = slow_pool_ratio(&x, at);
		if (got < c->least || got > c->most)
			fail_msg("%s: %" PRId64, c->label, got);
	}
	/* Told once, again after a second, and that it is even again, once. */
	now = pool(&p, 30, 5, 5000);
	assert_true(slow_pool_is_news(&p, now));
	slow_pool_tell(&p, now);
	assert_false(slow_pool_is_news(&p, now));
	now = pool(&p, 10, 5, now);
	assert_true(slow_pool_is_news(&p, now));
	slow_pool_tell(&p, now);
	now = pool(&p, 90, 1, now);
	assert_int_equal(slow_pool_ratio(&p, now), SLOW_WHOLE);
	slow_pool_tell(&p, now);
	assert_int_equal(slow_pool_ratio(&p, now), 0);
	assert_false(slow_pool_is_news(&p, now + 5000));
}

/* Guards against one entry of ten that reports absurd figures, and turns all
 * others away from an endpoint that is even. */
static void lies_count_as_their_share(void **state)
{
	static const struct lie {
		int64_t sum_ln;
		uint64_t n;
	} lies[] = { { INT64_MAX, 1 },
		     { INT64_MIN, 1 },
		     { INT64_MAX, UINT64_MAX },
		     { 50, 0 } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(lies); i++) {
		struct slow_pool p = { 0 };
		double share = lies[i].n > 1 ? 8.0 / 17 : 0.1;
		int64_t now = 5000;

		for (int k = 0; k < 50; k++) {
			now = pool(&p, 9, 1, now);
			slow_pool_add(&p, lies[i].sum_ln, lies[i].n, now);
		}
		/* The newest answers weigh a little more than those before. */
		assert_true(fabs(p.mean_ln) <= 1.25 * share * log(100));
	}
}

/* Guards against a word of the leader that outlives the endpoint's slowness, or
 * that is weaker than what one entry remembers of its few calls. */
static void told_ratio_counts_while_fresh(void **state)
{
	struct slow_told t = { 0 };

	(void)state;
	assert_true(slow_told_or_own(&t, 0, 0, 1000) == 0);
	assert_true(slow_told_or_own(&t, 2, 1, 1000) == 2);
	slow_told_take(&t, 5000, 1000);
	slow_told_take(&t, 0, 1100);
	slow_told_take(&t, -7, 1100);
	assert_true(slow_told_or_own(&t, 0, 0, 1200) == 5);
	assert_true(slow_told_or_own(&t, 1, 5, 1200) == 5);
	assert_true(slow_told_or_own(&t, 1, 5, 3500) == 1);
	assert_true(slow_told_or_own(&t, 0, 0, 3500) == 5);
	assert_true(slow_told_or_own(&t, 0, 0, 4000) == 0);
	slow_told_take(&t, INT64_MAX, 5000);
	assert_true(slow_told_ratio(&t, 5000) == 100);
}

static size_t bytes_of(enum msg_kind kind, const void *m)
{
	GString *bytes = g_string_new(NULL);
	size_t n;

	frame_add(bytes, kind, m);
	n = bytes->len;
	g_string_free(bytes, TRUE);
	return n;
}

/* Guards against messages that grow with endpoints that are even: a row of one
 * is as long as its former fields: MessagePack takes a byte for a tag, and one
 * for a small value. */
static void even_endpoints_cost_no_byte(void **state)
{
	struct endpoint_ends e = { .addr = SS_LIT("a"), .failed = 1 };
	struct fleet_load x = { .addr = SS_LIT("a"), .running = 1 };
	struct msg_demand d = { .ends = { &e, 1 } };
	struct msg_fleet m = { .loads = { &x, 1 } };
	size_t ends = bytes_of(MSG_DEMAND, &d), loads = bytes_of(MSG_FLEET, &m);
	struct slow_pool p = { 0 };
	int64_t now = pool(&p, 50, 1, 5000);

	(void)state;
	x.slow = slow_pool_ratio(&p, now);
	assert_int_equal(bytes_of(MSG_FLEET, &m), loads);
	x.slow = x.failing = e.answered = 1;
	e.slow_n = e.slow_ln = 1;
	assert_int_equal(bytes_of(MSG_FLEET, &m), loads + 4);
	assert_int_equal(bytes_of(MSG_DEMAND, &d), ends + 6);
}

#define ENTRIES 33
#define NODES 10
#define SLOW 5

/* Guards against many entries whose turns and trials together give a slow
 * endpoint an even part of the calls. */
static void many_entries_try_a_slow_one_seldom(void **state)
{
	const int64_t play_ms = 600000;
	uint64_t seed = 5;
	int slow = 0, calls = 0, trials = 0;

	(void)state;
	for (int e = 0; e < ENTRIES; e++) {
		uint64_t own = ss_random(&seed);
		struct speed_rest r = { 0 };

		for (int i = 0; i < 1000; i++, calls++) {
			struct balance_node n[NODES];

			for (int k = 0; k < NODES; k++)
				n[k] = (struct balance_node){
					.usable = true,
					.slots = 8,
					.slow = k ? 1 : SLOW
				};
			slow += !balance_choose(n, NODES, 1, ss_random(&own));
		}
		for (int64_t now = 1; now < play_ms; now += 100) {
			if (r.until_ms > now)
				continue;
			trials += r.until_ms > 0;
			speed_rest_begin(&r, now);
			speed_rest_share(&r, ENTRIES, balance_draw(&own), now);
		}
	}
	assert_in_range(slow * NODES * SLOW * 100 / calls, 80, 120);
	/* At most two a second. */
	assert_in_range(trials, play_ms / 2000, play_ms / 500);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answers_of_all_are_pooled),
		cmocka_unit_test(lies_count_as_their_share),
		cmocka_unit_test(told_ratio_counts_while_fresh),
		cmocka_unit_test(even_endpoints_cost_no_byte),
		cmocka_unit_test(many_entries_try_a_slow_one_seldom),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
