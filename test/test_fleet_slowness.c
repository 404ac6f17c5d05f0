/* Tests the estimate of slowness from the observations of all entries. */
#include "unit.h"

#include "../src/core/balance.h"
#include "../src/core/msg.h"
#include "../src/core/fleet_slowness.h"
#include "../src/core/speed.h"
#include "../src/node/frame.h"

#include <math.h>

static int64_t report_sum(double ratio, int n)
{
	struct slowness_observed s = { 0 };

	while (n--)
		slowness_observed_add(&s, ratio);
	return slowness_observed_sum(&s);
}

/* Adds n reports of one answer each, one every 100 ms. Returns the time of the
 * last. */
static int64_t add_reports(struct fleet_slowness *p, int n, double ratio,
			   int64_t now)
{
	for (int i = 0; i < n; i++) {
		now += 100;
		fleet_slowness_add(p, report_sum(ratio, 1), 1, now);
	}
	return now;
}

struct aggregate_case {
	const char *label;
	int n;
	double ratio;
	int64_t later_ms;
	int64_t min, max; /* limits of the ratio to send */
};

static const struct aggregate_case aggregate_cases[] = {
	{ "no answers", 0, 1, 0, 0, 0 },
	{ "four long prompts", 4, 6, 0, 0, 0 },
	{ "usual speed", 30, 1.2, 0, 0, 0 },
	{ "five times slower", 30, 5, 0, 4000, 5000 },
	{ "twice as fast", 30, 0.5, 0, 500, 600 },
	{ "slow some seconds ago", 20, 5, 3000, 3000, 5000 },
	{ "slow until a minute ago", 30, 5, 60000, 0, 0 },
	{ "not a number", 30, NAN, 0, 0, 0 },
	{ "a negative ratio", 30, -4, 0, 0, 0 },
};

/* Guards against a few long prompts that make an endpoint count as slow, and
 * against one that counts as slow after it has recovered. */
static void answers_of_all_entries_are_aggregated(void **state)
{
	struct fleet_slowness p = { 0 };
	int64_t now;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(aggregate_cases); i++) {
		const struct aggregate_case *c = &aggregate_cases[i];
		struct fleet_slowness x = { 0 };
		int64_t got, at = add_reports(&x, c->n, c->ratio, 5000) +
				  c->later_ms;

		got = fleet_slowness_ratio(&x, at);
		if (got < c->min || got > c->max)
			fail_msg("%s: %" PRId64, c->label, got);
	}
	/* A ratio is sent once, again after a second, and the return to usual
	 * speed once. */
	now = add_reports(&p, 30, 5, 5000);
	assert_true(fleet_slowness_is_due(&p, now));
	fleet_slowness_sent(&p, now);
	assert_false(fleet_slowness_is_due(&p, now));
	now = add_reports(&p, 10, 5, now);
	assert_true(fleet_slowness_is_due(&p, now));
	fleet_slowness_sent(&p, now);
	now = add_reports(&p, 90, 1, now);
	assert_int_equal(fleet_slowness_ratio(&p, now), SLOWNESS_SCALE);
	fleet_slowness_sent(&p, now);
	assert_int_equal(fleet_slowness_ratio(&p, now), 0);
	assert_false(fleet_slowness_is_due(&p, now + 5000));
}

/* Guards against one entry of ten whose absurd reports turn all others away
 * from an endpoint of usual speed. */
static void false_reports_count_as_their_share(void **state)
{
	static const struct false_report {
		int64_t sum_ln;
		uint64_t n;
	} false_reports[] = { { INT64_MAX, 1 },
			      { INT64_MIN, 1 },
			      { INT64_MAX, UINT64_MAX },
			      { 50, 0 } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(false_reports); i++) {
		struct fleet_slowness p = { 0 };
		/* At most 8 answers of a report count, beside 9 others. */
		double share = false_reports[i].n > 1 ? 8.0 / 17 : 0.1;
		int64_t now = 5000;

		for (int k = 0; k < 50; k++) {
			now = add_reports(&p, 9, 1, now);
			fleet_slowness_add(&p, false_reports[i].sum_ln,
					   false_reports[i].n, now);
		}
		/* The newest answers weigh slightly more than earlier ones. */
		assert_true(fabs(p.mean_ln) <= 1.25 * share * log(100));
	}
}

/* Guards against a ratio from the leader that is used after the endpoint has
 * recovered, or that weighs less than the few calls of a single entry. */
static void received_ratio_counts_while_valid(void **state)
{
	struct slowness_received t = { 0 };

	(void)state;
	assert_true(slowness_effective(&t, 0, 0, 1000) == 0);
	assert_true(slowness_effective(&t, 2, 1, 1000) == 2);
	slowness_received_set(&t, 5000, 1000);
	slowness_received_set(&t, 0, 1100);
	slowness_received_set(&t, -7, 1100);
	assert_true(slowness_effective(&t, 0, 0, 1200) == 5);
	assert_true(slowness_effective(&t, 1, 5, 1200) == 5);
	assert_true(slowness_effective(&t, 1, 5, 3500) == 1);
	assert_true(slowness_effective(&t, 0, 0, 3500) == 5);
	assert_true(slowness_effective(&t, 0, 0, 4000) == 0);
	slowness_received_set(&t, INT64_MAX, 5000);
	assert_true(slowness_received_ratio(&t, 5000) == 100);
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

/* Guards against messages that grow with endpoints of usual speed: a row of one
 * has only the fields that it had without slowness. MessagePack takes one byte
 * for a tag and one for a small value. */
static void usual_endpoints_add_no_bytes(void **state)
{
	struct endpoint_results e = { .addr = SS_LIT("a"), .failed = 1 };
	struct fleet_load x = { .addr = SS_LIT("a"), .running = 1 };
	struct msg_demand d = { .results = { &e, 1 } };
	struct msg_fleet m = { .loads = { &x, 1 } };
	size_t demand_bytes = bytes_of(MSG_DEMAND, &d),
	       fleet_bytes = bytes_of(MSG_FLEET, &m);
	struct fleet_slowness p = { 0 };
	int64_t now = add_reports(&p, 50, 1, 5000);

	(void)state;
	x.slowness = fleet_slowness_ratio(&p, now);
	assert_int_equal(bytes_of(MSG_FLEET, &m), fleet_bytes);
	x.slowness = x.failure_rate = e.answered = 1;
	e.slowness_count = e.slowness_ln = 1;
	assert_int_equal(bytes_of(MSG_FLEET, &m), fleet_bytes + 4);
	assert_int_equal(bytes_of(MSG_DEMAND, &d), demand_bytes + 6);
}

#define ENTRIES 33
#define NODES 10
#define SLOW 5

/* Guards against many entries that together send a slow endpoint an equal part
 * of the calls, by their random choices and probes. */
static void many_entries_probe_seldom(void **state)
{
	const int64_t duration_ms = 600000;
	uint64_t seed = 5;
	int slow = 0, calls = 0, probes = 0;

	(void)state;
	for (int e = 0; e < ENTRIES; e++) {
		uint64_t entry_seed = ss_random(&seed);
		struct ejection r = { 0 };

		for (int i = 0; i < 1000; i++, calls++) {
			struct balance_node n[NODES];

			for (int k = 0; k < NODES; k++)
				n[k] = (struct balance_node){
					.usable = true,
					.slots = 8,
					.slowness = k ? 1 : SLOW
				};
			slow += !balance_choose(n, NODES, 1,
						ss_random(&entry_seed));
		}
		for (int64_t now = 1; now < duration_ms; now += 100) {
			if (r.until_ms > now)
				continue;
			probes += r.until_ms > 0;
			ejection_begin(&r, now);
			ejection_spread(&r, ENTRIES,
					balance_random(&entry_seed), now);
		}
	}
	assert_in_range(slow * NODES * SLOW * 100 / calls, 80, 120);
	/* At most two per second. */
	assert_in_range(probes, duration_ms / 2000, duration_ms / 500);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answers_of_all_entries_are_aggregated),
		cmocka_unit_test(false_reports_count_as_their_share),
		cmocka_unit_test(received_ratio_counts_while_valid),
		cmocka_unit_test(usual_endpoints_add_no_bytes),
		cmocka_unit_test(many_entries_probe_seldom),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
