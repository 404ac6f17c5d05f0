/* Which waiting request is tried next. */
#include "unit.h"

#include "../src/core/admission.h"

#define TURNS 4000
#define TURN_MS 10

static struct admission_head head(int priority, int64_t latest_ms,
				  const void *lane)
{
	return (struct admission_head){ .priority = priority,
					.latest_ms = latest_ms,
					.by_order = true,
					.by_time = true,
					.lane = lane };
}

/* A class of requests of which one always waits, in a lane of its own. With
 * patience none of them may be too late. */
struct class
{
	int priority;
	int64_t patience_ms; /* until its latest start */
	const char *customer;
	unsigned int share;
	int least, most; /* turns that it gets */
};

struct load_case {
	const char *label;
	struct class classes[3];
	int n;
};

static const struct load_case loads[] = {
	{ "one priority: the soonest first, and each by its latest start",
	  { { 3, 100, "", 1, 3996, 3996 }, { 3, 9000, "", 1, 4, 4 } },
	  2 },
	{ "one in four goes to the less urgent",
	  { { 0, 500, "", 1, 3000, 3000 }, { 2, 9000, "", 1, 1000, 1000 } },
	  2 },
	{ "no more than that, though all are about to be too late",
	  { { 0, 500, "", 1, 2999, 3000 }, { 2, 0, "", 1, 1000, 1001 } },
	  2 },
	{ "none of three is too late",
	  { { 0, 500, "", 1, 2999, 3000 },
	    { 1, 600, "", 1, 988, 992 },
	    { 2, 4000, "", 1, 9, 11 } },
	  3 },
	{ "customers by their shares",
	  { { 1, 500, "a", 3, 2999, 3001 }, { 1, 100, "b", 1, 999, 1001 } },
	  2 },
};

static void fill(const struct admission *a, const struct class *c,
		 struct admission_head *h, int64_t now)
{
	if (h->latest_ms && h->latest_ms < now && c->patience_ms)
		fail_msg("priority %d: one was too late", c->priority);
	if (h->latest_ms < now)
		*h = head(c->priority, now + c->patience_ms, c);
	h->share = admission_share(a, c->priority, c->customer);
}

/* Failures: urgent callers wait behind others; some never have a turn; who is
 * patient enough goes before all. */
static void each_class_gets_its_turns(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		const struct load_case *x = &loads[i];
		struct admission_head heads[3] = { 0 };
		struct admission a;
		int got[3] = { 0 };

		admission_init(&a);
		for (int k = 0; k < x->n; k++)
			admission_enter(&a, x->classes[k].priority, 1);
		for (int64_t now = 1; now <= TURNS * TURN_MS; now += TURN_MS) {
			int at;

			for (int k = 0; k < x->n; k++)
				fill(&a, &x->classes[k], &heads[k], now);
			at = admission_next(&a, heads, (size_t)x->n, now);
			admission_taken(&a, &heads[at], x->classes[at].customer,
					x->classes[at].share, now);
			heads[at].latest_ms = 0;
			got[at]++;
		}
		for (int k = 0; k < x->n; k++)
			if (got[k] < x->classes[k].least ||
			    got[k] > x->classes[k].most)
				fail_msg("%s: class %d got %d", x->label, k,
					 got[k]);
		admission_clear(&a);
	}
}

struct raise_case {
	int64_t turn_ms, left_ms;
	int urgent; /* turns before */
	enum admission_turn want;
};

static const struct raise_case raises[] = {
	{ 400, 1300, 0, ADMISSION_ORDER },
	{ 400, 1100, 0, ADMISSION_RAISED },
	{ 400, 900, 1, ADMISSION_ORDER },
	{ 400, 700, 1, ADMISSION_RAISED },
	{ 400, 500, 2, ADMISSION_ORDER },
	{ 10, 100, 0, ADMISSION_ORDER },
	{ 10, 100, 3, ADMISSION_GUARANTEED },
	{ 400, -1, 3, ADMISSION_ORDER },
};

/* Failure: a request is raised when it can't be started any more. */
static void raised_while_it_can_be_started(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(raises); i++) {
		const struct raise_case *x = &raises[i];
		struct admission_head heads[2];
		struct admission a;
		int64_t now = 1000;

		admission_init(&a);
		admission_enter(&a, 0, now);
		admission_enter(&a, 2, now);
		heads[0] = head(0, 90000, "u");
		heads[1] = head(2, 90000, "p");
		for (int k = 0; k < x->urgent; k++) {
			now += x->turn_ms;
			assert_int_equal(admission_next(&a, heads, 2, now), 0);
			admission_taken(&a, &heads[0], "", 1, now);
		}
		now += x->turn_ms;
		heads[1].latest_ms = now + x->left_ms;
		admission_next(&a, heads, 2, now);
		if (a.turn != x->want)
			fail_msg("row %zu: %d", i, a.turn);
		admission_clear(&a);
	}
}

/* Failures: a stream that has begun waits behind new ones; a less urgent
 * request that can't be sent stops the urgent ones of its lane. */
static void what_cannot_be_sent_stops_nothing_else(void **state)
{
	struct admission_head heads[3] = { head(0, 900, "m"), head(2, 800, "m"),
					   head(5, 700, "v") };
	struct admission a;

	(void)state;
	heads[2].begun = true;
	admission_init(&a);
	a.credit = ADMISSION_PART - 1;
	assert_int_equal(admission_next(&a, heads, 3, 0), 2);
	assert_int_equal(admission_passed(&a, heads, 3, 2), 2);
	assert_int_equal(admission_next(&a, heads, 2, 0), 1);
	assert_int_equal(admission_passed(&a, heads, 2, 1), 2);
	assert_int_equal(admission_next(&a, heads, 2, 0), 0);
	assert_int_equal(admission_passed(&a, heads, 2, 0), 0);
	assert_int_equal(admission_next(&a, heads, 0, 0), -1);
	admission_clear(&a);
}

/* Failure: a customer who comes back has all turns until it has caught up. */
static void no_credit_for_time_away(void **state)
{
	struct admission_head h = head(1, 900, "m");
	struct admission a;

	(void)state;
	admission_init(&a);
	for (int i = 0; i < 100; i++) {
		h.share = admission_share(&a, 1, "here");
		admission_next(&a, &h, 1, 0);
		admission_taken(&a, &h, "here", 1, 0);
	}
	h.share = admission_share(&a, 1, "away");
	admission_next(&a, &h, 1, 0);
	admission_taken(&a, &h, "away", 1, 0);
	assert_true(admission_share(&a, 1, "away") >=
		    admission_share(&a, 1, "here"));
	admission_clear(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_class_gets_its_turns),
		cmocka_unit_test(raised_while_it_can_be_started),
		cmocka_unit_test(what_cannot_be_sent_stops_nothing_else),
		cmocka_unit_test(no_credit_for_time_away),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
