/* Keeping a control group whole: whom the leader promotes, whom it drops. */
#include "unit.h"

#include "../src/core/mend.h"

struct mend_case {
	const char *label;
	struct mend_member m[6];
	size_t n;
	enum mend_act act;
	size_t member;
};

#define VOTER(who, quiet)                                                      \
	{                                                                      \
		.name = SS_LIT(who), .addr = SS_LIT(who), .voter = true,       \
		.quiet_ms = (quiet), .match = 100                              \
	}
#define LEARNER(who, quiet, has)                                               \
	{                                                                      \
		.name = SS_LIT(who), .addr = SS_LIT(who), .quiet_ms = (quiet), \
		.match = (has)                                                 \
	}
#define DEAD (MEND_DEAD_MS + 1)

/* The log's end is 1000; the first member is the leader. */
static const struct mend_case cases[] = {
	{ "all is well",
	  { VOTER("a", 0), VOTER("b", 9), VOTER("c", 9) },
	  3,
	  MEND_NOTHING,
	  0 },
	{ "a learner that has caught up votes",
	  { VOTER("a", 0), VOTER("b", 0), LEARNER("d", 0, 990) },
	  3,
	  MEND_PROMOTE,
	  2 },
	{ "one that hasn't doesn't",
	  { VOTER("a", 0), VOTER("b", 0), LEARNER("d", 0, 100) },
	  3,
	  MEND_NOTHING,
	  0 },
	{ "nor one that has been heard of never",
	  { VOTER("a", 0), VOTER("b", 0), LEARNER("d", 0, 0) },
	  3,
	  MEND_NOTHING,
	  0 },
	/*
	 * Symptom: no leader for as long as a cut halves the group. Sequence:
	 * three voters, a learner becomes the fourth; a cut leaves two on
	 * each side. Cause: an even number of voters needs one more for its
	 * majority, and bears no more losses.
	 */
	{ "beside three voters one learner is a spare",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), LEARNER("d", 0, 990) },
	  4,
	  MEND_NOTHING,
	  0 },
	{ "two of them make five voters, one after the other",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), LEARNER("d", 0, 990),
	    LEARNER("e", 0, 990) },
	  5,
	  MEND_PROMOTE,
	  3 },
	{ "and the second",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), VOTER("d", 0),
	    LEARNER("e", 0, 990) },
	  5,
	  MEND_PROMOTE,
	  4 },
	{ "one that is far behind doesn't make two",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), LEARNER("d", 0, 990),
	    LEARNER("e", 0, 100) },
	  5,
	  MEND_NOTHING,
	  0 },
	{ "the spare votes in place of a lost disk, whose successor learns",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0), LEARNER("d", 0, 990),
	    LEARNER("b", 0, 100) },
	  5,
	  MEND_PROMOTE,
	  3 },
	{ "the lost one goes then, before its successor has caught up",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0), LEARNER("b", 0, 100),
	    VOTER("d", 0) },
	  5,
	  MEND_DROP,
	  1 },
	{ "and also where the successor was first, so that the spare stays one",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0), VOTER("b", 0),
	    LEARNER("d", 0, 990) },
	  5,
	  MEND_DROP,
	  1 },
	{ "a sole voter takes any learner that has caught up",
	  { VOTER("a", 0), LEARNER("b", 0, 990) },
	  2,
	  MEND_PROMOTE,
	  1 },
	{ "nor one that is gone: it is dropped",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0),
	    LEARNER("d", DEAD, 990) },
	  4,
	  MEND_DROP,
	  3 },
	{ "a voter is away for a restart",
	  { VOTER("a", 0), VOTER("b", 0), VOTER("c", 0), VOTER("d", 3000) },
	  4,
	  MEND_NOTHING,
	  0 },
	{ "a voter is gone, three others are left",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0), VOTER("d", 0) },
	  4,
	  MEND_DROP,
	  1 },
	{ "a voter is gone, and two are no group without it",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0) },
	  3,
	  MEND_NOTHING,
	  0 },
	{ "its successor votes first, then it goes",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0),
	    LEARNER("e", 0, 1000) },
	  4,
	  MEND_PROMOTE,
	  3 },
	{ "and then",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0), VOTER("e", 0) },
	  4,
	  MEND_DROP,
	  1 },
	{ "the address of a lost disk is taken over",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0), VOTER("b", 0) },
	  4,
	  MEND_DROP,
	  1 },
	{ "by a learner it isn't",
	  { VOTER("a", 0), VOTER("b", 10), VOTER("c", 0),
	    LEARNER("b", 0, 100) },
	  4,
	  MEND_NOTHING,
	  0 },
	{ "of two that are gone the learner goes first",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0), VOTER("d", 0),
	    LEARNER("e", DEAD, 5) },
	  5,
	  MEND_DROP,
	  4 },
	{ "two of five are gone: one at a time",
	  { VOTER("a", 0), VOTER("b", DEAD), VOTER("c", 0), VOTER("d", DEAD),
	    VOTER("e", 0) },
	  5,
	  MEND_DROP,
	  1 },
};

static void one_step_at_a_time(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct mend_case c = cases[i];
		struct mend_step got;

		c.m[0].self = true;
		got = mend_next(c.m, c.n, 1000);
		if (got.act != c.act ||
		    (got.act != MEND_NOTHING && got.member != c.member))
			fail_msg("%s: %d of member %zu", c.label, got.act,
				 got.member);
	}
}

/*
 * Symptom: the leader drops itself, and the group is without one. Sequence:
 * it can't hear itself over the network. Cause: its own silence counted.
 */
static void the_leader_is_never_dropped(void **state)
{
	struct mend_member m[] = { VOTER("a", DEAD), VOTER("b", 0),
				   VOTER("c", 0), VOTER("a", 0) };

	(void)state;
	m[0].self = true;
	assert_int_equal(mend_next(m, 4, 1000).act, MEND_NOTHING);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_step_at_a_time),
		cmocka_unit_test(the_leader_is_never_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
