/* Who orders an engine: one at a time, each with a fence of its own. */
#include "unit.h"

#include "../src/core/owner.h"

#define T0 100000
#define ENGINE_MS 3000
#define LEASE (ENGINE_MS + OWNER_MARGIN_MS)

enum who { BESIDE, REMOTE, OTHER };

static const struct {
	const char *name;
	bool remote;
} agents[] = { { "side-1", false }, { "front-1", true }, { "front-2", true } };

/* One speaks at a time after the engine was first known. */
struct word {
	enum who who;
	int64_t at_ms;
	enum owner_claim claim;
	uint64_t turn;
	bool missing; /* right after it */
};

struct owner_case {
	const char *label;
	struct word words[8]; /* the last one has at_ms 0 */
};

static const struct owner_case owner_cases[] = {
	{ "the first that speaks owns it",
	  { { BESIDE, 10, OWNER_TAKES, 0, false },
	    { BESIDE, 20, OWNER_SAME, 0, false } } },
	{ "one in its place, after a while",
	  { { BESIDE, 10, OWNER_TAKES, 0, false },
	    { REMOTE, 10 + LEASE - 1, OWNER_WAITS, 0, false },
	    { REMOTE, 10 + LEASE, OWNER_TAKES, 1, true },
	    { REMOTE, 11 + LEASE, OWNER_SAME, 1, true } } },
	{ "the one beside is back, and waits until the other has ended",
	  { { REMOTE, 10, OWNER_TAKES, 0, true },
	    { BESIDE, 100, OWNER_WAITS, 0, false },
	    /* It isn't heard any more, so its lease runs out. */
	    { REMOTE, 1000, OWNER_SAME, 0, false },
	    { BESIDE, 9 + LEASE, OWNER_WAITS, 0, false },
	    { BESIDE, 10 + LEASE, OWNER_TAKES, 1, false },
	    { REMOTE, 20 + LEASE, OWNER_WAITS, 1, false } } },
	{ "two control VMs take turns only with a pause",
	  { { REMOTE, 10, OWNER_TAKES, 0, true },
	    { OTHER, 1000, OWNER_WAITS, 0, true },
	    { OTHER, 10 + LEASE, OWNER_TAKES, 1, true },
	    { REMOTE, 20 + LEASE, OWNER_WAITS, 1, true } } },
	{ "an agent that starts again is the same",
	  { { BESIDE, 10, OWNER_TAKES, 0, false },
	    { BESIDE, 10 + 9 * LEASE, OWNER_SAME, 0, false } } },
};

/*
 * Symptom: two VMs undo each other's loads, or order with one fence. Sequence:
 * an agent is cut off, a control VM takes its place, the agent is back.
 */
static void one_owner_at_a_time(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(owner_cases); i++) {
		const struct owner_case *c = &owner_cases[i];
		struct owner o;

		owner_init(&o, ENGINE_MS, T0);
		for (const struct word *w = c->words; w->at_ms; w++) {
			int64_t now = T0 + w->at_ms;
			enum owner_claim got =
				owner_hear(&o, agents[w->who].name,
					   agents[w->who].remote, now);

			if (got != w->claim || o.turn != w->turn ||
			    owner_is_missing(&o, now) != w->missing)
				fail_msg("%s, at %" PRId64
					 ": claim %d turn %" PRIu64
					 " missing %d",
					 c->label, w->at_ms, got, o.turn,
					 owner_is_missing(&o, now));
		}
		owner_clear(&o);
	}
}

/* A leader that has just begun knows of no agent, and waits before it names
 * any: those beside their engines are still looking for it. */
static void fresh_leader_waits_for_agents(void **state)
{
	struct owner o;

	(void)state;
	owner_init(&o, ENGINE_MS, T0);
	assert_false(owner_is_missing(&o, T0));
	assert_false(owner_is_missing(&o, T0 + LEASE - 1));
	assert_true(owner_is_missing(&o, T0 + LEASE));
}

/* Engines say for how long they hold to one owner. */
static void lease_follows_the_engines(void **state)
{
	static const struct {
		int64_t engine_ms, lease_ms;
	} rows[] = { { 0, OWNER_LEAST_MS }, { 3000, 3500 }, { 10000, 10500 } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct owner o;

		owner_init(&o, rows[i].engine_ms, T0);
		owner_hear(&o, "side-1", false, T0);
		assert_true(owner_is_leased(&o, T0 + rows[i].lease_ms - 1));
		assert_false(owner_is_leased(&o, T0 + rows[i].lease_ms));
		owner_clear(&o);
	}
}

/* Spread over the members, and few move when one goes. */
static void members_share_the_engines(void **state)
{
	static const uint64_t all[] = { 11, 22, 33, 44, 55 };
	int count[5] = { 0 }, moved = 0;

	(void)state;
	assert_int_equal(owner_choose("e", NULL, 0), -1);
	for (int i = 0; i < 500; i++) {
		char *addr = g_strdup_printf("10.0.0.%d:8000", i);
		int before = owner_choose(addr, all, 5);
		int after = owner_choose(addr, all, 4);

		count[before]++;
		moved += before != after;
		assert_true(before == after || before == 4);
		g_free(addr);
	}
	for (int i = 0; i < 5; i++)
		assert_in_range(count[i], 60, 140);
	assert_int_equal(moved, count[4]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_owner_at_a_time),
		cmocka_unit_test(fresh_leader_waits_for_agents),
		cmocka_unit_test(lease_follows_the_engines),
		cmocka_unit_test(members_share_the_engines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
