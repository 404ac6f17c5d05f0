/* Membership repair: which member the leader promotes or removes next. */
#include "unit.h"

#include "../src/core/repair.h"

struct repair_case {
	const char *label;
	struct repair_member m[7];
	size_t n;
	enum repair_action act;
	size_t member;
};

#define VOTER(who, quiet)                                                      \
	{                                                                      \
		.name = SS_LIT(who), .addr = SS_LIT(who), .voter = true,       \
		.quiet_ms = (quiet), .match = 100                              \
	}
#define UNHEARD(who)                                                           \
	{                                                                      \
		.name = SS_LIT(who), .addr = SS_LIT(who), .voter = true        \
	}
#define LEAVING(who, quiet)                                                    \
	{                                                                      \
		.name = SS_LIT(who), .addr = SS_LIT(who), .voter = true,       \
		.leaving = true, .quiet_ms = (quiet), .match = 100             \
	}
#define LEARNER(who, quiet, index)                                             \
	{                                                                      \
		.name = SS_LIT(who), .addr = SS_LIT(who), .quiet_ms = (quiet), \
		.match = (index)                                               \
	}
#define DEAD (REPAIR_DEAD_MS + 1)
#define SILENT (REPAIR_SUSPECT_MS + 1)

/* The last log index is 1000; the first member is the leader. */
static const struct repair_case cases[] = {
	{ "all voters are healthy",
	  { VOTER("a", 0), VOTER("b", 9), VOTER("c", 9) },
	  3,
	  REPAIR_NONE,
	  0 },
	{ "a learner that has caught up is promoted",
	  { VOTER("a", 0), VOTER("b", 0), LEARNER("d", 0, 990) },
	  3,
	  REPAIR_PROMOTE,
	  2 },
	{ "a learner that lags stays a learner",
	  { VOTER("a", 0), VOTER("b", 0), LEARNER("d", 0, 100) },
	  3,
	  REPAIR_NONE,
	  0 },
	{ "a learner without any reply stays a learner",
	  { VOTER("a", 0), VOTER("b", 0), LEARNER("d", 0, 0) },
	  3,
	  REPAIR_NONE,
	  0 },
	/*
	 * Guards against a group without a leader during a partition: with a
	 * learner promoted to the fourth voter, a partition can leave two on
	 * each side. An even number of voters needs one more for its majority
	 * and tolerates no more losses.
	 */
	{ "with three voters one learner stays a spare",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), LEARNER("d", 0, 990) },
	  4,
	  REPAIR_NONE,
	  0 },
	{ "of two learners beside three voters the first is promoted",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), LEARNER("d", 0, 990),
	    LEARNER("e", 0, 990) },
	  5,
	  REPAIR_PROMOTE,
	  3 },
	{ "a learner beside four voters is promoted",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), VOTER("d", 0),
	    LEARNER("e", 0, 990) },
	  5,
	  REPAIR_PROMOTE,
	  4 },
	{ "a lagging learner doesn't count as the second",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), LEARNER("d", 0, 990),
	    LEARNER("e", 0, 100) },
	  5,
	  REPAIR_NONE,
	  0 },
	/*
	 * Guards against two voters that can't vote: a successor that is lost
	 * again after it was promoted beside the voter that it replaces.
	 */
	{ "a voter that lost its disk leaves before the spare votes",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0), LEARNER("d", 0, 990),
	    LEARNER("b", 0, 100) },
	  5,
	  REPAIR_REMOVE,
	  1 },
	{ "the spare votes then, while the VM without its disk relearns",
	  { VOTER("a", 0), VOTER("c", 0), LEARNER("d", 0, 990),
	    LEARNER("b", 0, 100) },
	  4,
	  REPAIR_PROMOTE,
	  2 },
	{ "a lost voter is removed before its successor catches up",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0), LEARNER("b", 0, 100),
	    VOTER("d", 0) },
	  5,
	  REPAIR_REMOVE,
	  1 },
	{ "a lost voter is removed after a faster successor, the spare stays",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0), VOTER("b", 0),
	    LEARNER("d", 0, 990) },
	  5,
	  REPAIR_REMOVE,
	  1 },
	{ "a single voter promotes any learner that has caught up",
	  { VOTER("a", 0), LEARNER("b", 0, 990) },
	  2,
	  REPAIR_PROMOTE,
	  1 },
	{ "a dead learner is removed",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0),
	    LEARNER("d", DEAD, 990) },
	  4,
	  REPAIR_REMOVE,
	  3 },
	{ "a voter that restarts stays in a group of three",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 3000) },
	  3,
	  REPAIR_NONE,
	  0 },
	{ "a voter that restarts stays in a group of five",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), VOTER("d", 3000),
	    VOTER("e", 0) },
	  5,
	  REPAIR_NONE,
	  0 },
	{ "a silent voter leaves where three others bear a loss without it",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), VOTER("d", 3000) },
	  4,
	  REPAIR_REMOVE,
	  3 },
	{ "two silent voters of seven leave: five bear two losses, seven one",
	  { VOTER("a", 0), VOTER("b", SILENT), VOTER("c", 0),
	    VOTER("d", SILENT), VOTER("e", 0), VOTER("f", 0), VOTER("g", 0) },
	  7,
	  REPAIR_REMOVE,
	  1 },
	/* Guards against a group that can't bear the next loss once a successor
	 * has caught up, as the lost voter still counts. */
	{ "a silent voter leaves once a successor is ready",
	  { VOTER("a", 0), VOTER("b", SILENT), VOTER("c", 0),
	    LEARNER("e", 0, 1000) },
	  4,
	  REPAIR_REMOVE,
	  1 },
	{ "a voter that missed an election timeout stays",
	  { VOTER("a", 0), VOTER("b", REPAIR_SUSPECT_MS), VOTER("c", 0),
	    LEARNER("e", 0, 1000) },
	  4,
	  REPAIR_NONE,
	  0 },
	/* Guards against a group that can't bear a loss while a voter that ends
	 * hands its vote over. */
	{ "a successor votes before the voter that ends leaves",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", 0),
	    LEARNER("e", 0, 1000) },
	  4,
	  REPAIR_PROMOTE,
	  3 },
	{ "the voter that ends leaves then",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", 0), VOTER("e", 0) },
	  4,
	  REPAIR_REMOVE,
	  2 },
	{ "a voter that has ended leaves before its successor votes",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", REPAIR_READY_MS + 1),
	    LEARNER("e", 0, 1000) },
	  4,
	  REPAIR_REMOVE,
	  2 },
	{ "of two voters that end none leaves before both successors vote",
	  { VOTER("a", 0), LEAVING("b", 0), LEAVING("c", 0), VOTER("d", 0),
	    LEARNER("e", 0, 1000) },
	  5,
	  REPAIR_PROMOTE,
	  4 },
	/* Guards against a removal that nobody can commit. */
	{ "a voter that ends stays where the others have no majority",
	  { VOTER("a", 0), LEAVING("b", 0), VOTER("c", SILENT) },
	  3,
	  REPAIR_NONE,
	  0 },
	{ "a lost voter leaves before the vote of one that ends is handed over",
	  { VOTER("a", 0), VOTER("b", SILENT), LEAVING("c", 0),
	    LEARNER("e", 0, 1000) },
	  4,
	  REPAIR_REMOVE,
	  1 },
	{ "a voter that ends as planned stays without a successor",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", 0) },
	  3,
	  REPAIR_NONE,
	  0 },
	{ "a learner that fell silent isn't promoted",
	  { VOTER("a", 0), VOTER("b", 0),
	    LEARNER("e", REPAIR_READY_MS + 1, 1000) },
	  3,
	  REPAIR_NONE,
	  0 },
	{ "a learner that lost its disk is removed, its successor stays",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), LEARNER("d", 0, 990),
	    LEARNER("d", 0, 100) },
	  5,
	  REPAIR_REMOVE,
	  3 },
	{ "a dead voter is removed if three others are left",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0), VOTER("d", 0) },
	  4,
	  REPAIR_REMOVE,
	  1 },
	{ "a dead voter stays if only two others are left",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0) },
	  3,
	  REPAIR_NONE,
	  0 },
	{ "a dead voter leaves before its successor is promoted",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0),
	    LEARNER("e", 0, 1000) },
	  4,
	  REPAIR_REMOVE,
	  1 },
	{ "a dead voter is removed once its successor votes",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0), VOTER("e", 0) },
	  4,
	  REPAIR_REMOVE,
	  1 },
	{ "a voter is removed when another voter has its address",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0), VOTER("b", 0) },
	  4,
	  REPAIR_REMOVE,
	  1 },
	{ "a voter stays while only a learner has its address",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0),
	    LEARNER("b", 0, 100) },
	  4,
	  REPAIR_NONE,
	  0 },
	{ "a dead learner is removed before a dead voter",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0), VOTER("d", 0),
	    LEARNER("e", DEAD, 5) },
	  5,
	  REPAIR_REMOVE,
	  4 },
	{ "two dead voters of five are removed one at a time",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0), VOTER("d", DEAD),
	    VOTER("e", 0) },
	  5,
	  REPAIR_REMOVE,
	  1 },
};

static void next_step_of_each_case(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct repair_case c = cases[i];
		struct repair_step got;

		c.m[0].self = true;
		got = repair_next(c.m, c.n, 1000);
		if (got.act != c.act ||
		    (got.act != REPAIR_NONE && got.member != c.member))
			fail_msg("%s: %d of member %zu", c.label, got.act,
				 got.member);
	}
}

/*
 * Guards against a leader that removes itself and leaves the group without
 * one: it gets no messages from itself, so its own silence must not count.
 */
static void leader_is_never_removed(void **state)
{
	struct repair_member m[] = { VOTER("a", DEAD), VOTER("b", 0),
				     VOTER("c", 0), VOTER("a", 0) };

	(void)state;
	m[0].self = true;
	assert_int_equal(repair_next(m, 4, 1000).act, REPAIR_NONE);
}

struct end_case {
	const char *label;
	struct repair_member m[5];
	size_t n;
	size_t member; /* whose process ends */
	bool may_end;
};

static const struct end_case end_cases[] = {
	{ "a learner",
	  { VOTER("a", 0), VOTER("b", 0), LEARNER("c", 0, 990) },
	  3,
	  2,
	  true },
	{ "a voter without a successor",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", 0) },
	  3,
	  2,
	  true },
	{ "a voter whose successor is ready",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", 0),
	    LEARNER("d", 0, 990) },
	  4,
	  2,
	  false },
	{ "a voter whose successor catches up",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", 0), LEARNER("d", 0, 0) },
	  4,
	  2,
	  false },
	{ "a voter whose successor is gone",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", 0),
	    LEARNER("d", REPAIR_READY_MS + 1, 990) },
	  4,
	  2,
	  true },
	{ "a voter whose successor votes",
	  { VOTER("a", 0), VOTER("b", 0), LEAVING("c", 0), VOTER("d", 0) },
	  4,
	  2,
	  false },
	/* Guards against a group without a majority: its lost voter hasn't been
	 * removed yet. */
	{ "a voter without which two of four are left",
	  { VOTER("a", 0), VOTER("b", SILENT), LEAVING("c", 0), VOTER("d", 0) },
	  4,
	  2,
	  false },
	/* Guards against a voter that exits beside one that has exited before
	 * the leader was elected. */
	{ "a voter beside one that the leader hasn't heard",
	  { VOTER("a", 0), VOTER("b", 0), UNHEARD("c"), VOTER("d", 0),
	    LEAVING("e", 0) },
	  5,
	  4,
	  false },
	{ "two voters of three that end",
	  { VOTER("a", 0), LEAVING("b", 0), LEAVING("c", 0) },
	  3,
	  1,
	  false },
};

/* Guards against a process that ends before its vote has been handed over, and
 * one that waits for nobody. */
static void process_ends_once_its_vote_is_handed_over(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(end_cases); i++) {
		struct end_case c = end_cases[i];

		c.m[0].self = true;
		for (size_t k = 0; k < c.n; k++)
			c.m[k].id = k + 1;
		if (repair_may_end(c.m, c.n, c.member + 1, 1000) != c.may_end)
			fail_msg("%s", c.label);
		assert_true(repair_may_end(c.m, c.n, c.n + 1, 1000));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(next_step_of_each_case),
		cmocka_unit_test(leader_is_never_removed),
		cmocka_unit_test(process_ends_once_its_vote_is_handed_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
