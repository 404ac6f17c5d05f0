/* Tests of the selection among waiting requests. */
#include "unit.h"

#include "../src/core/admission.h"

#define DISPATCHES 4000
#define INTERVAL_MS 10 /* between two dispatches */

static struct admission_head head(int priority, int64_t latest_ms,
				  const void *model_queue)
{
	return (struct admission_head){ .priority = priority,
					.latest_ms = latest_ms,
					.by_order = true,
					.by_time = true,
					.model_queue = model_queue };
}

/* Requests of one class, of which one always waits, in a model queue of its
 * own. If patience_ms is above 0, none may miss its latest start. */
struct class
{
	int priority;
	int64_t patience_ms; /* from the arrival of a request to its latest
				start */
	const char *customer;
	unsigned int share;
	int min_dispatches, max_dispatches; /* accepted number of dispatches */
};

struct load_case {
	const char *label;
	struct class classes[3];
	int n;
};

static const struct load_case loads[] = {
	{ "one priority: earliest latest start first, none missed",
	  { { 3, 100, "", 1, 3996, 3996 }, { 3, 9000, "", 1, 4, 4 } },
	  2 },
	{ "one in four goes to the less urgent",
	  { { 0, 500, "", 1, 3000, 3000 }, { 2, 9000, "", 1, 1000, 1000 } },
	  2 },
	{ "no more than one in four, though all would be too late",
	  { { 0, 500, "", 1, 2999, 3000 }, { 2, 0, "", 1, 1000, 1001 } },
	  2 },
	{ "none of three classes is late",
	  { { 0, 500, "", 1, 2999, 3000 },
	    { 1, 600, "", 1, 988, 992 },
	    { 2, 4000, "", 1, 9, 11 } },
	  3 },
	{ "customers in proportion to their shares",
	  { { 1, 500, "a", 3, 2999, 3001 }, { 1, 100, "b", 1, 999, 1001 } },
	  2 },
};

static void refill(const struct admission *a, const struct class *c,
		   struct admission_head *h, int64_t now)
{
	if (h->latest_ms && h->latest_ms < now && c->patience_ms)
		fail_msg("priority %d: a request missed its latest start",
			 c->priority);
	if (h->latest_ms < now)
		*h = head(c->priority, now + c->patience_ms, c);
	h->virtual_time = admission_virtual_time(a, c->priority, c->customer);
}

/* Guards against urgent requests that wait behind others, classes that starve,
 * and patient requests that go before all others. */
static void each_class_gets_its_share(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		const struct load_case *x = &loads[i];
		struct admission_head heads[3] = { 0 };
		struct admission a;
		int dispatched[3] = { 0 };

		admission_init(&a);
		for (int k = 0; k < x->n; k++)
			admission_enter(&a, x->classes[k].priority, 1);
		for (int64_t now = 1; now <= DISPATCHES * INTERVAL_MS;
		     now += INTERVAL_MS) {
			int at;

			for (int k = 0; k < x->n; k++)
				refill(&a, &x->classes[k], &heads[k], now);
			at = admission_next(&a, heads, (size_t)x->n, now);
			admission_dispatched(&a, &heads[at],
					     x->classes[at].customer,
					     x->classes[at].share, now);
			heads[at].latest_ms = 0;
			dispatched[at]++;
		}
		for (int k = 0; k < x->n; k++)
			if (dispatched[k] < x->classes[k].min_dispatches ||
			    dispatched[k] > x->classes[k].max_dispatches)
				fail_msg("%s: class %d was dispatched %d times",
					 x->label, k, dispatched[k]);
		admission_clear(&a);
	}
}

struct raise_case {
	int64_t interval_ms; /* between two dispatches */
	int64_t left_ms; /* to the latest start of the less urgent request */
	int urgent_dispatches; /* dispatches of priority 0 before */
	enum admission_rule want;
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

/* Guards against raising a request that can no longer be started in time. */
static void request_is_raised_only_while_it_can_start(void **state)
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
		for (int k = 0; k < x->urgent_dispatches; k++) {
			now += x->interval_ms;
			assert_int_equal(admission_next(&a, heads, 2, now), 0);
			admission_dispatched(&a, &heads[0], "", 1, now);
		}
		now += x->interval_ms;
		heads[1].latest_ms = now + x->left_ms;
		admission_next(&a, heads, 2, now);
		if (a.rule != x->want)
			fail_msg("row %zu: selected by rule %d", i, a.rule);
		admission_clear(&a);
	}
}

/*
 * Guards against a resumed stream that waits behind new requests, and a less
 * urgent request that can't be sent and blocks the urgent ones of its model
 * queue.
 */
static void unsendable_request_blocks_no_other(void **state)
{
	struct admission_head heads[3] = { head(0, 900, "m"), head(2, 800, "m"),
					   head(5, 700, "v") };
	struct admission a;

	(void)state;
	heads[2].resumes = true;
	admission_init(&a);
	a.credit = ADMISSION_ROUND - 1;
	assert_int_equal(admission_next(&a, heads, 3, 0), 2);
	assert_int_equal(admission_skipped(&a, heads, 3, 2), 2);
	assert_int_equal(admission_next(&a, heads, 2, 0), 1);
	assert_int_equal(admission_skipped(&a, heads, 2, 1), 2);
	assert_int_equal(admission_next(&a, heads, 2, 0), 0);
	assert_int_equal(admission_skipped(&a, heads, 2, 0), 0);
	assert_int_equal(admission_next(&a, heads, 0, 0), -1);
	admission_clear(&a);
}

/* Guards against a customer who returns after a pause and gets all dispatches
 * until it has caught up. */
static void idle_customer_gets_no_credit(void **state)
{
	struct admission_head h = head(1, 900, "m");
	struct admission a;

	(void)state;
	admission_init(&a);
	for (int i = 0; i < 100; i++) {
		h.virtual_time = admission_virtual_time(&a, 1, "here");
		admission_next(&a, &h, 1, 0);
		admission_dispatched(&a, &h, "here", 1, 0);
	}
	h.virtual_time = admission_virtual_time(&a, 1, "away");
	admission_next(&a, &h, 1, 0);
	admission_dispatched(&a, &h, "away", 1, 0);
	assert_true(admission_virtual_time(&a, 1, "away") >=
		    admission_virtual_time(&a, 1, "here"));
	admission_clear(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_class_gets_its_share),
		cmocka_unit_test(request_is_raised_only_while_it_can_start),
		cmocka_unit_test(unsendable_request_blocks_no_other),
		cmocka_unit_test(idle_customer_gets_no_credit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
