/* Tests the choice of an endpoint, the framing of events, and the routing's
 * version in the replicated state. */
#include "unit.h"

#include "../src/core/balance.h"
#include "../src/core/document.h"
#include "../src/core/state.h"
#include "../src/proxy/events.h"

/* By default a node is in the failure domain and holds the adapter; far and
 * no_adapter name an exception. */
struct choose_case {
	const char *label;
	struct balance_node nodes[3];
	size_t n;
	int want;
	/* 1 + index of a node in another failure domain, or without the
	 * adapter; 0: none. */
	int far, no_adapter;
};

#define NODE(...)                                                              \
	{                                                                      \
		.usable = true, .slots = 8, __VA_ARGS__                        \
	}

static const struct choose_case choose_cases[] = {
	{ "the node with fewer calls",
	  { NODE(.reported = 5), NODE(.reported = 2) },
	  2,
	  1,
	  0,
	  0 },
	{ "calls sent since the report count",
	  { NODE(.reported = 1, .sent_since = 5), NODE(.reported = 3) },
	  2,
	  1,
	  0,
	  0 },
	{ "own calls count if they exceed the report",
	  { NODE(.own_calls = 6), NODE(.reported = 3) },
	  2,
	  1,
	  0,
	  0 },
	{ "the near node at equal load",
	  { NODE(.own_calls = 0), NODE(.own_calls = 0) },
	  2,
	  1,
	  1,
	  0 },
	{ "the far node if the near one has much more load",
	  { NODE(.own_calls = 0), NODE(.reported = 2) },
	  2,
	  0,
	  1,
	  0 },
	{ "the node that holds the adapter",
	  { NODE(.own_calls = 0), NODE(.reported = 2) },
	  2,
	  1,
	  0,
	  1 },
	{ "the node with the warm prompt cache",
	  { NODE(.affinity = 1), NODE(.affinity = 9, .reported = 1) },
	  2,
	  1,
	  0,
	  0 },
	{ "not a node with a failure rate of a third",
	  { NODE(.failure_rate = 0.33), NODE(.reported = 5) },
	  2,
	  1,
	  0,
	  0 },
	{ "a failing node if there is no other",
	  { NODE(.failure_rate = 0.9) },
	  1,
	  0,
	  0,
	  0 },
	{ "not a node that has refused the call",
	  { NODE(.tried = true), NODE(.reported = 6) },
	  2,
	  1,
	  0,
	  0 },
	{ "no usable endpoint",
	  { { .usable = false } },
	  1,
	  BALANCE_NO_ENDPOINT,
	  0,
	  0 },
	{ "all full",
	  { NODE(.reported = 8), NODE(.own_calls = 9) },
	  2,
	  BALANCE_FULL,
	  0,
	  0 },
	{ "no endpoint at all", { { 0 } }, 0, BALANCE_NO_ENDPOINT, 0, 0 },
};

/* Of all candidates the one with the least load and penalties is chosen. */
static void best_node_is_chosen(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(choose_cases); i++) {
		struct choose_case copy = choose_cases[i], *c = &copy;

		for (size_t k = 0; k < c->n; k++) {
			c->nodes[k].near = c->far != (int)k + 1;
			c->nodes[k].has_adapter = c->no_adapter != (int)k + 1;
		}
		for (uint64_t tie = 0; tie < 4; tie++) {
			int got = balance_choose(c->nodes, c->n, 1.0, tie);

			if (got != c->want)
				fail_msg("%s: %d", c->label, got);
		}
	}
}

static void equal_nodes_share_calls(void **state)
{
	struct balance_node n[3] = { NODE(.own_calls = 0), NODE(.own_calls = 0),
				     NODE(.own_calls = 0) };
	int got[3] = { 0 };

	(void)state;
	for (uint64_t tie = 0; tie < 30; tie++)
		got[balance_choose(n, 3, 1.0, tie)]++;
	for (int i = 0; i < 3; i++)
		assert_int_equal(got[i], 10);
}

struct events_case {
	const char *label, *pieces[4];
	const char *want;
	bool ok, at_end;
	int64_t last;
};

static const struct events_case event_cases[] = {
	{ "one event per read",
	  { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" },
	  "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	  true,
	  true,
	  2 },
	{ "events split across reads",
	  { "id: 1\nda", "ta: a\n", "\nid: 2\n", "data: b\n\n" },
	  "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	  true,
	  true,
	  2 },
	{ "the last event is incomplete",
	  { "id: 1\ndata: a\n\nid: 2\nda" },
	  "id: 1\ndata: a\n\n",
	  true,
	  false,
	  1 },
	{ "lines end in CR LF",
	  { "id: 7\r\ndata: a\r\n\r\n" },
	  "id: 7\r\ndata: a\r\n\r\n",
	  true,
	  true,
	  7 },
	{ "no ids",
	  { "data: a\n\n", "data: b\n\n" },
	  "data: a\n\ndata: b\n\n",
	  true,
	  true,
	  -1 },
	{ "a gap", { "id: 1\n\n", "id: 3\n\n" }, "id: 1\n\n", false, false, 1 },
	{ "a repeated event",
	  { "id: 2\n\n", "id: 2\n\n" },
	  "id: 2\n\n",
	  false,
	  false,
	  2 },
	{ "a gap behind sound events of one read",
	  { "id: 1\n\nid: 2\n\nid: 4\n\n" },
	  "id: 1\n\nid: 2\n\n",
	  false,
	  false,
	  2 },
	{ "an id that is no number behind numbered events",
	  { "id: 1\n\nid: 2x\ndata: b\n\n" },
	  "id: 1\n\n",
	  false,
	  false,
	  1 },
	{ "a comment between numbered events",
	  { "id: 1\n\n: ping\n\nid: 2\n\n" },
	  "id: 1\n\n: ping\n\nid: 2\n\n",
	  true,
	  true,
	  2 },
};

static void only_complete_events_pass(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(event_cases); i++) {
		const struct events_case *c = &event_cases[i];
		GString *out = g_string_new(NULL);
		struct events e;
		bool ok = true;

		events_init(&e, -1);
		for (size_t k = 0; k < G_N_ELEMENTS(c->pieces) && ok; k++)
			if (c->pieces[k])
				ok = events_add(&e, ss_str(c->pieces[k]), out);
		if (ok != c->ok || strcmp(out->str, c->want) ||
		    e.last_id != c->last ||
		    (ok && events_at_end(&e) != c->at_end))
			fail_msg("%s: %d \"%s\" %" PRId64, c->label, ok,
				 out->str, e.last_id);
		events_clear(&e);
		g_string_free(out, TRUE);
	}
}

static uint64_t put(struct ss_state *s, uint64_t index, uint64_t version,
		    const char *body, int64_t *code)
{
	struct routing_rec rec = { .version = version, .body = ss_str(body) };
	struct command c = { .kind = COMMAND_ROUTING_PUT, .routing = &rec };
	GString *bytes = ss_command_encode(&c);
	struct command_result r;

	ss_state_apply(s, index, ss_str_gs(bytes), &r);
	g_string_free(bytes, TRUE);
	*code = r.code;
	return r.version;
}

static void assert_text(const struct ss_state *s, const char *text)
{
	GString *held = document_text(ss_state_routing(s));

	assert_string_equal(held->str, text);
	g_string_free(held, TRUE);
}

/*
 * Guards against a return to an older routing, and against other content under
 * a version that is held. Two operators send delayed and repeated changes: all
 * are acknowledged, but only a higher version takes effect.
 */
static void highest_routing_version_wins(void **state)
{
	static const struct {
		uint64_t version;
		const char *body;
		uint64_t held;
		const char *kept;
	} rows[] = { { 5, "five", 5, "five" },
		     { 5, "other", 5, "five" },
		     { 3, "three", 5, "five" },
		     { 9, "nine", 9, "nine" },
		     { 5, "five", 9, "nine" } };
	struct ss_state *s = ss_state_new(), *copy = ss_state_new();
	GString *snapshot;
	int64_t code;

	(void)state;
	assert_int_equal(document_version(ss_state_routing(s)), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		assert_int_equal(put(s, i + 1, rows[i].version, rows[i].body,
				     &code),
				 rows[i].held);
		assert_int_equal(code, 0);
		assert_text(s, rows[i].kept);
	}
	put(s, 9, 0, "none", &code);
	assert_int_equal(code, SS_ERROR_BAD_REQUEST);
	snapshot = ss_state_snapshot(s);
	assert_true(ss_state_restore(copy, ss_str_gs(snapshot)));
	assert_int_equal(document_version(ss_state_routing(copy)), 9);
	assert_text(copy, "nine");
	g_string_free(snapshot, TRUE);
	ss_state_free(s);
	ss_state_free(copy);
}

/* Calls of entries that choose by reports of the same time. */
struct stale_report_case {
	const char *label;
	int64_t loads[3]; /* in the report */
	double unreported;
	int min, max; /* accepted calls to the first node, of 300 */
};

static const struct stale_report_case stale_report_cases[] = {
	{ "no calls since the report", { 4, 5, 5 }, 0, 300, 300 },
	{ "equal load, dozens of calls since", { 5, 5, 5 }, 30, 70, 130 },
	{ "slightly less load, dozens of calls since",
	  { 4, 5, 5 },
	  30,
	  80,
	  150 },
	{ "less load by more than the calls since", { 1, 9, 9 }, 6, 300, 300 },
	{ "less load by half of the calls since", { 2, 5, 5 }, 6, 180, 280 },
};

/*
 * Guards against replicas that take turns in getting dozens of calls while the
 * others are idle. A hundred entries receive the loads every 200 ms, and all
 * send their next call to the least loaded replica, as no report contains what
 * the others have sent since.
 */
static void stale_reports_cause_no_herding(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(stale_report_cases); i++) {
		const struct stale_report_case *c = &stale_report_cases[i];
		uint64_t seed = 7;
		int first = 0;

		for (int call = 0; call < 300; call++) {
			struct balance_node n[3] = { NODE(.near = true),
						     NODE(.near = true),
						     NODE(.near = true) };

			for (int k = 0; k < 3; k++) {
				n[k].slots = 64;
				n[k].reported = c->loads[k];
				n[k].unreported = c->unreported;
			}
			first += balance_choose(n, 3, 1.0, ss_random(&seed)) ==
				 0;
		}
		if (first < c->min || first > c->max)
			fail_msg("%s: %d of 300", c->label, first);
	}
}

struct weighted_case {
	const char *label;
	struct balance_node nodes[5];
	size_t n;
	int min[5], max[5]; /* accepted calls to each node, of a hundred */
};

static const struct weighted_case weighted_cases[] = {
	{ "a node that has just loaded the model gets more, but not all",
	  { NODE(.reported = 0), NODE(.reported = 20), NODE(.reported = 22),
	    NODE(.reported = 18), NODE(.reported = 25) },
	  5,
	  { 30, 8, 6, 10, 3 },
	  { 55, 26, 24, 28, 20 } },
	{ "equal load",
	  { NODE(.reported = 9), NODE(.reported = 9) },
	  2,
	  { 40, 40 },
	  { 60, 60 } },
	{ "no calls: the node with the warm prompt cache",
	  { NODE(.affinity = 1), NODE(.affinity = 9) },
	  2,
	  { 0, 100 },
	  { 0, 100 } },
	{ "a node with twice the mean load gets none",
	  { NODE(.reported = 30), NODE(.reported = 2), NODE(.reported = 1) },
	  3,
	  { 0, 40, 40 },
	  { 0, 60, 60 } },
	{ "not a node with a failure rate of a half",
	  { NODE(.reported = 4, .failure_rate = 0.5), NODE(.reported = 4) },
	  2,
	  { 0, 100 },
	  { 0, 100 } },
	{ "not a node that has refused the call",
	  { NODE(.reported = 4, .tried = true), NODE(.reported = 4) },
	  2,
	  { 0, 100 },
	  { 0, 100 } },
	{ "a full node gets none",
	  { NODE(.reported = 40), NODE(.reported = 39) },
	  2,
	  { 0, 100 },
	  { 0, 100 } },
};

/* Guards against dozens of prefills at once on the engine that had the least
 * load in the last report: the streams of all its callers would pause. */
static void engines_share_prefills(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(weighted_cases); i++) {
		struct weighted_case c = weighted_cases[i];
		int got[5] = { 0 };
		uint64_t seed = 3;

		for (size_t k = 0; k < c.n; k++) {
			c.nodes[k].near = c.nodes[k].has_adapter = true;
			c.nodes[k].slots = 40;
		}
		for (int call = 0; call < 100; call++) {
			int node = balance_choose_weighted(c.nodes, c.n, 1.0,
							   ss_random(&seed));

			assert_in_range(node, 0, c.n - 1);
			got[node]++;
		}
		for (size_t k = 0; k < c.n; k++)
			if (got[k] < c.min[k] || got[k] > c.max[k])
				fail_msg("%s: %d of 100 to %zu", c.label,
					 got[k], k);
	}
}

/* balance_choose_weighted() returns why no node was chosen, as balance_choose()
 * does. */
static void reason_for_no_choice_is_returned(void **state)
{
	struct balance_node n[2] = { NODE(.reported = 8),
				     NODE(.own_calls = 9) };

	(void)state;
	assert_int_equal(balance_choose_weighted(n, 2, 1.0, 1), BALANCE_FULL);
	n[0].usable = n[1].usable = false;
	assert_int_equal(balance_choose_weighted(n, 2, 1.0, 1),
			 BALANCE_NO_ENDPOINT);
	assert_int_equal(balance_choose_weighted(n, 0, 1.0, 1),
			 BALANCE_NO_ENDPOINT);
}

/* Guards against other choices between engines of equal speed than between ones
 * of unknown speed, due to one more random number or to rounding. The
 * fingerprint is that of the choices between nodes of unknown speed. */
static void equal_speeds_change_no_choice(void **state)
{
	uint64_t seed = 5, fingerprint = 0;

	(void)state;
	for (int call = 0; call < 20000; call++) {
		struct balance_node n[5] = { 0 };
		uint64_t tie = ss_random(&seed);

		for (int i = 0; i < 5; i++) {
			n[i] = (struct balance_node)NODE(.has_adapter = true);
			n[i].near = ss_random(&seed) % 2;
			n[i].reported = (int64_t)(ss_random(&seed) % 9);
			n[i].unreported = (double)(ss_random(&seed) % 5);
			n[i].affinity = ss_random(&seed);
			n[i].slowness = call / 2 % 2;
			n[i].objective_used = (double)(call % 3) / 4;
		}
		fingerprint =
			fingerprint * 31 +
			(uint64_t)(call % 2 ? balance_choose_weighted :
					      balance_choose)(n, 5, 1.0, tie);
	}
	assert_true(fingerprint == 0xa3f4c7c7cbb88945ULL);
}

struct far_case {
	const char *label;
	/* Of the near nodes; the far one is idle. */
	double objective_used[2];
	double failure_rate; /* its penalty is below the distance penalty */
	bool far;
};

/* Guards against calls that are late although engines in another failure domain
 * have room. */
static void far_engines_take_calls_that_would_be_late(void **state)
{
	static const struct far_case cases[] = {
		{ "no expected times", { 0, 0 }, 0.02, false },
		{ "half of the objective is used", { 0.5, 0.5 }, 0.02, false },
		{ "all would be late", { 1, 1.5 }, 0.02, true },
		{ "all would be nearly late", { 0.95, 0.9 }, 0.02, true },
		{ "one near node is in time", { 3, 0.1 }, 0.02, false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct far_case *c = &cases[i];
		struct balance_node n[3] = { NODE(.has_adapter = true),
					     NODE(.has_adapter = true),
					     NODE(.has_adapter = true) };

		for (int k = 0; k < 2; k++) {
			n[k].near = true;
			n[k].objective_used = c->objective_used[k];
			n[k].failure_rate = c->failure_rate;
		}
		if ((balance_choose(n, 3, 1.0, 0) == 2) != c->far)
			fail_msg("%s", c->label);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(best_node_is_chosen),
		cmocka_unit_test(stale_reports_cause_no_herding),
		cmocka_unit_test(equal_nodes_share_calls),
		cmocka_unit_test(engines_share_prefills),
		cmocka_unit_test(equal_speeds_change_no_choice),
		cmocka_unit_test(far_engines_take_calls_that_would_be_late),
		cmocka_unit_test(reason_for_no_choice_is_returned),
		cmocka_unit_test(only_complete_events_pass),
		cmocka_unit_test(highest_routing_version_wins),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
