/* Ownership of an engine: one owner at a time, each with a fencing token. */
#include "unit.h"

#include "../src/core/owner.h"

/* Time at which the leader first knew the engine. */
#define T0_MS 100000
#define ENGINE_MS 3000
#define LEASE_MS (ENGINE_MS + OWNER_LEASE_MARGIN_MS)

enum agent { LOCAL, REMOTE, REMOTE_2 };

static const struct {
	const char *name;
	bool remote;
} agents[] = { { "side-1", false }, { "front-1", true }, { "front-2", true } };

/* An agent reports at a time after the leader first knew the engine. */
struct report_row {
	enum agent agent;
	int64_t at_ms;
	enum owner_claim claim;
	uint64_t generation;
	bool missing; /* right after the report */
};

struct owner_case {
	const char *label;
	struct report_row reports[8]; /* the last one has at_ms 0 */
};

static const struct owner_case owner_cases[] = {
	{ "the first agent that reports becomes the owner",
	  { { LOCAL, 10, OWNER_ACQUIRED, 0, false },
	    { LOCAL, 20, OWNER_SAME, 0, false } } },
	{ "a remote agent takes over after a lease",
	  { { LOCAL, 10, OWNER_ACQUIRED, 0, false },
	    { REMOTE, 10 + LEASE_MS - 1, OWNER_DENIED, 0, false },
	    { REMOTE, 10 + LEASE_MS, OWNER_ACQUIRED, 1, true },
	    { REMOTE, 11 + LEASE_MS, OWNER_SAME, 1, true } } },
	{ "the local agent is back and waits for the end of the lease",
	  { { REMOTE, 10, OWNER_ACQUIRED, 0, true },
	    { LOCAL, 100, OWNER_DENIED, 0, false },
	    /* It can't renew the lease any more. */
	    { REMOTE, 1000, OWNER_SAME, 0, false },
	    { LOCAL, 9 + LEASE_MS, OWNER_DENIED, 0, false },
	    { LOCAL, 10 + LEASE_MS, OWNER_ACQUIRED, 1, false },
	    { REMOTE, 20 + LEASE_MS, OWNER_DENIED, 1, false } } },
	{ "another control VM takes over only after a lease",
	  { { REMOTE, 10, OWNER_ACQUIRED, 0, true },
	    { REMOTE_2, 1000, OWNER_DENIED, 0, true },
	    { REMOTE_2, 10 + LEASE_MS, OWNER_ACQUIRED, 1, true },
	    { REMOTE, 20 + LEASE_MS, OWNER_DENIED, 1, true } } },
	{ "an agent that has restarted is still the owner",
	  { { LOCAL, 10, OWNER_ACQUIRED, 0, false },
	    { LOCAL, 10 + 9 * LEASE_MS, OWNER_SAME, 0, false } } },
};

/*
 * Guards against two VMs undoing each other's loads, or giving orders with the
 * same fencing token, when an agent is disconnected, a control VM runs another
 * one instead, and the first one is back.
 */
static void one_owner_at_a_time(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(owner_cases); i++) {
		const struct owner_case *c = &owner_cases[i];
		struct owner o;

		owner_init(&o, ENGINE_MS, T0_MS);
		for (const struct report_row *r = c->reports; r->at_ms; r++) {
			int64_t now = T0_MS + r->at_ms;
			enum owner_claim got =
				owner_acquire(&o, agents[r->agent].name,
					      agents[r->agent].remote, now);

			if (got != r->claim || o.generation != r->generation ||
			    owner_is_missing(&o, now) != r->missing)
				fail_msg("%s, at %" PRId64
					 ": claim %d generation %" PRIu64
					 " missing %d",
					 c->label, r->at_ms, got, o.generation,
					 owner_is_missing(&o, now));
		}
		owner_clear(&o);
	}
}

/* A new leader knows no agents yet. It waits before it assigns remote ones, as
 * the agents on the engines' VMs are still searching for the leader. */
static void new_leader_waits_for_agents(void **state)
{
	struct owner o;

	(void)state;
	owner_init(&o, ENGINE_MS, T0_MS);
	assert_false(owner_is_missing(&o, T0_MS));
	assert_false(owner_is_missing(&o, T0_MS + LEASE_MS - 1));
	assert_true(owner_is_missing(&o, T0_MS + LEASE_MS));
}

/* The setting states how long engines hold to one owner. */
static void lease_follows_the_setting(void **state)
{
	static const struct {
		int64_t engine_ms, lease_ms;
	} rows[] = { { 0, OWNER_LEASE_MIN_MS },
		     { 3000, 3500 },
		     { 10000, 10500 } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct owner o;

		owner_init(&o, rows[i].engine_ms, T0_MS);
		owner_acquire(&o, "side-1", false, T0_MS);
		assert_true(owner_is_leased(&o, T0_MS + rows[i].lease_ms - 1));
		assert_false(owner_is_leased(&o, T0_MS + rows[i].lease_ms));
		owner_clear(&o);
	}
}

/* Engines are spread evenly, and only those of a removed member move. */
static void engines_are_spread_over_members(void **state)
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
		cmocka_unit_test(new_leader_waits_for_agents),
		cmocka_unit_test(lease_follows_the_setting),
		cmocka_unit_test(engines_are_spread_over_members),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
