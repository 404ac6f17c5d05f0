/* The admission queue, the retry budget, the circuit breaker and the choice of
 * a replica. */
#include "unit.h"

#include <sapphireshift/limit.h>
#include <sapphireshift/queue.h>

#include "../src/core/choose.h"

struct row {
	const char *name, *customer;
	int priority;
	int64_t deadline_ms;
};

struct order_case {
	const char *label;
	struct row rows[6];
	int64_t now;
	int least_priority;
	const char *want; /* names in the order in which items leave */
};

static const struct order_case orders[] = {
	{ "earliest deadline first",
	  { { "a", "t", 4, 90000 }, { "b", "t", 4, 50000 } },
	  0,
	  0,
	  "ba" },
	{ "equal deadlines in the order of arrival",
	  { { "a", "t", 4, 9000 }, { "b", "t", 4, 9000 } },
	  0,
	  0,
	  "ab" },
	{ "an interactive request before a batch request",
	  { { "a", "t", 1, 50000 }, { "b", "t", 5, 90000 } },
	  0,
	  0,
	  "ba" },
	{ "a batch request near its deadline before an interactive one",
	  { { "a", "t", 1, 11000 }, { "b", "t", 5, 90000 } },
	  10000,
	  0,
	  "ab" },
	{ "fair shares between customers",
	  { { "a", "t", 4, 1000 },
	    { "b", "t", 4, 2000 },
	    { "c", "t", 4, 3000 },
	    { "d", "u", 4, 9000 } },
	  0,
	  0,
	  "adbc" },
	{ "a customer with a share of three",
	  { { "a", "big", 4, 1000 },
	    { "b", "big", 4, 2000 },
	    { "c", "big", 4, 3000 },
	    { "d", "u", 4, 4000 },
	    { "e", "u", 4, 5000 } },
	  0,
	  0,
	  "adbce" },
	{ "requests below the least priority stay",
	  { { "a", "t", 1, 50000 }, { "b", "t", 5, 90000 } },
	  0,
	  3,
	  "b" },
};

static unsigned int share_of(void *arg, struct ss_str customer)
{
	(void)arg;
	return ss_str_eq(customer, SS_LIT("big")) ? 3 : 1;
}

static size_t limit_of(void *arg, struct ss_str customer)
{
	(void)arg;
	return ss_str_eq(customer, SS_LIT("small")) ? 2 : 100;
}

struct waiting {
	struct ss_queue_item item;
	const char *name;
};

static void items_leave_in_order(void **state)
{
	struct ss_queue_options o = { .share = share_of };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
		const struct order_case *c = &orders[i];
		struct ss_queue *q = ss_queue_new(&o);
		struct waiting w[6] = { 0 };
		GString *got = g_string_new(NULL);
		struct ss_queue_item *x;

		for (int k = 0; k < 6 && c->rows[k].name; k++) {
			w[k].name = c->rows[k].name;
			w[k].item.customer = ss_str(c->rows[k].customer);
			w[k].item.priority = c->rows[k].priority;
			w[k].item.deadline_ms = c->rows[k].deadline_ms;
			assert_true(ss_queue_push(q, &w[k].item, NULL));
		}
		while ((x = ss_queue_pop(q, c->now, c->least_priority)))
			g_string_append(got, ((struct waiting *)x)->name);
		if (strcmp(got->str, c->want))
			fail_msg("%s: %s, not %s", c->label, got->str, c->want);
		g_string_free(got, TRUE);
		ss_queue_free(q);
	}
}

/* Request rates and shares of customers, where a server takes 100 requests per
 * second. */
static const struct load_case {
	const char *label;
	struct {
		const char *name;
		unsigned int share;
		int per_s, least; /* least number served in time within 10 s */
	} c[4];
} loads[] = {
	{ "no customer exceeds its share",
	  { { "big", 50, 50, 495 },
	    { "small", 5, 5, 49 },
	    { "tiny", 1, 1, 9 } } },
	{ "a hot customer beside small ones",
	  { { "hot", 50, 600, 490 },
	    { "big", 40, 40, 395 },
	    { "small", 5, 5, 49 },
	    { "tiny", 1, 1, 9 } } },
	{ "two hot customers, and less capacity than all shares",
	  { { "hot", 100, 1200, 420 },
	    { "warm", 100, 300, 420 },
	    { "small", 30, 10, 97 },
	    { "tiny", 3, 1, 9 } } },
};

struct load {
	struct ss_queue_item item;
	int customer;
};

/* Guards against a hot customer that starves small ones, or that is served most
 * because it sends most. */
static void hot_customer_starves_nobody(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		struct ss_queue_options o = { .raise_ms = 1 };
		struct ss_queue *q = ss_queue_new(&o);
		int served[4] = { 0 }, due[4] = { 0 };
		struct ss_queue_item *x;

		for (int64_t now = 0; now < 10000; now += 10) {
			for (int k = 0; k < 4 && loads[i].c[k].name; k++) {
				for (due[k] += loads[i].c[k].per_s;
				     due[k] >= 100; due[k] -= 100) {
					struct load *l = g_new0(struct load, 1);

					l->customer = k;
					l->item.customer =
						ss_str(loads[i].c[k].name);
					l->item.share = loads[i].c[k].share;
					l->item.deadline_ms = now + 1000;
					ss_queue_push(q, &l->item, NULL);
				}
			}
			while ((x = ss_queue_expired(q, now)))
				g_free(x);
			x = ss_queue_pop(q, now, 0);
			if (x)
				served[((struct load *)x)->customer]++;
			g_free(x);
		}
		for (int k = 0; k < 4 && loads[i].c[k].name; k++)
			if (served[k] < loads[i].c[k].least)
				fail_msg("%s: %s got %d", loads[i].label,
					 loads[i].c[k].name, served[k]);
		while ((x = ss_queue_pop(q, 0, 0)))
			g_free(x);
		ss_queue_free(q);
	}
}

static void limit_and_expiry_are_enforced(void **state)
{
	struct ss_queue_options o = { .limit = limit_of };
	struct ss_queue *q = ss_queue_new(&o);
	struct waiting w[3] = { 0 };
	GError *error = NULL;

	(void)state;
	for (int k = 0; k < 3; k++) {
		w[k].item.customer = SS_LIT("small");
		w[k].item.deadline_ms = 100 * (k + 1);
	}
	assert_true(ss_queue_push(q, &w[0].item, NULL));
	assert_true(ss_queue_push(q, &w[1].item, NULL));
	assert_false(ss_queue_push(q, &w[2].item, &error));
	assert_int_equal(error->code, SS_ERROR_OVERLOAD);
	g_clear_error(&error);
	assert_int_equal(ss_queue_ahead(q, 0, 150), 1);
	assert_int_equal(ss_queue_deadline(q), 100);
	assert_null(ss_queue_expired(q, 99));
	assert_ptr_equal(ss_queue_expired(q, 100), &w[0].item);
	ss_queue_remove(q, &w[1].item);
	ss_queue_remove(q, &w[1].item);
	assert_int_equal(ss_queue_length(q), 0);
	ss_queue_free(q);
}

/* Guards against retries that multiply the load when all requests fail: they
 * stay at a tenth of the first attempts. */
static void budget_bounds_retries(void **state)
{
	struct ss_budget b;
	int retries = 0;

	(void)state;
	ss_budget_init(&b, 10, 5);
	for (int i = 0; i < 1000; i++) {
		ss_budget_fresh(&b);
		while (ss_budget_retry(&b))
			retries++;
	}
	assert_in_range(retries, 100, 105);
}

/* Guards against a breaker that stays closed at failures, lets more than one
 * probe pass, or doesn't close after a success. */
static void breaker_opens_and_probes(void **state)
{
	struct ss_breaker b = { 0 };

	(void)state;
	for (int i = 0; i < SS_BREAKER_FAILURES; i++) {
		assert_true(ss_breaker_allows(&b, 0));
		ss_breaker_result(&b, false, 0);
	}
	assert_false(ss_breaker_allows(&b, SS_BREAKER_PAUSE_MS - 1));
	assert_true(ss_breaker_allows(&b, SS_BREAKER_PAUSE_MS));
	ss_breaker_sent(&b);
	assert_false(ss_breaker_allows(&b, SS_BREAKER_PAUSE_MS));
	ss_breaker_result(&b, false, SS_BREAKER_PAUSE_MS);
	assert_false(ss_breaker_allows(&b, 2 * SS_BREAKER_PAUSE_MS));
	ss_breaker_result(&b, true, 0);
	assert_true(ss_breaker_allows(&b, 0));
}

struct choose_case {
	const char *label;
	struct target t[3];
	int want; /* index; -1: none */
};

#define OLD CHOOSE_SLOW_START_MS

static const struct choose_case choices[] = {
	{ "no free slots",
	  { { .slots = 2, .own_calls = 2, .age_ms = OLD, .usable = true } },
	  -1 },
	{ "not connected", { { .slots = 2, .age_ms = OLD } }, -1 },
	{ "the less loaded one",
	  { { .slots = 8, .reported_calls = 6, .age_ms = OLD, .usable = true },
	    { .slots = 8,
	      .reported_calls = 1,
	      .age_ms = OLD,
	      .usable = true } },
	  1 },
	{ "a stale report is corrected by the requests sent since",
	  { { .slots = 8,
	      .reported_calls = 0,
	      .sent_since = 7,
	      .age_ms = OLD,
	      .usable = true },
	    { .slots = 8,
	      .reported_calls = 3,
	      .age_ms = OLD,
	      .usable = true } },
	  1 },
	{ "the same failure domain",
	  { { .slots = 8, .reported_calls = 2, .age_ms = OLD, .usable = true },
	    { .slots = 8,
	      .reported_calls = 3,
	      .age_ms = OLD,
	      .usable = true,
	      .same_domain = true } },
	  1 },
	{ "the one with a cached prompt prefix",
	  { { .slots = 8, .reported_calls = 1, .age_ms = OLD, .usable = true },
	    { .slots = 8,
	      .reported_calls = 3,
	      .age_ms = OLD,
	      .usable = true,
	      .prefix_cached = true } },
	  1 },
	{ "but not behind a long queue",
	  { { .slots = 8, .reported_calls = 1, .age_ms = OLD, .usable = true },
	    { .slots = 8,
	      .reported_calls = 7,
	      .age_ms = OLD,
	      .usable = true,
	      .prefix_cached = true } },
	  0 },
	{ "a new one gets a single call at first",
	  { { .slots = 8, .own_calls = 1, .age_ms = 0, .usable = true } },
	  -1 },
};

static void replicas_are_chosen(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(choices); i++) {
		size_t n = 0;
		int got;

		while (n < 3 && choices[i].t[n].slots)
			n++;
		got = choose_target(choices[i].t, n, 0);
		if (got != choices[i].want)
			fail_msg("%s: %d", choices[i].label, got);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(items_leave_in_order),
		cmocka_unit_test(hot_customer_starves_nobody),
		cmocka_unit_test(limit_and_expiry_are_enforced),
		cmocka_unit_test(budget_bounds_retries),
		cmocka_unit_test(breaker_opens_and_probes),
		cmocka_unit_test(replicas_are_chosen),
	};

	return cmocka_run_group_tests_name("queue", tests, NULL, NULL);
}
