/* Customers' limits under single faults, and what disconnected entries may
 * spend. */
#include "unit.h"

#include "quota_world.h"

/* Highest fraction of the tokens within the limit that may be refused, without
 * a fault and with one. */
#define NO_FAULT_REFUSED 0.005
#define FAULT_REFUSED 0.02

/* Five losses of the leader, at intervals in ms. */
#define LEADER_LOSSES(at, every)                                               \
	{ at, WORLD_LEADER_LOSS, 1200, 0, 0, 0 },                              \
		{ at + every, WORLD_LEADER_LOSS, 1200, 0, 0, 0 },              \
		{ at + 2 * every, WORLD_LEADER_LOSS, 1200, 0, 0, 0 },          \
		{ at + 3 * every, WORLD_LEADER_LOSS, 1200, 0, 0, 0 },          \
	{                                                                      \
		at + 4 * every, WORLD_LEADER_LOSS, 1200, 0, 0, 0               \
	}

static const struct fault {
	const char *label;
	double limit_x; /* relative to the rate that customers send */
	double refused; /* highest fraction of tokens within the limit */
	struct world_event events[8];
} faults[] = {
	{ "no fault", 1.8, NO_FAULT_REFUSED, { { 0 } } },
	{ "all customers exceed their limits", 0.4, FAULT_REFUSED, { { 0 } } },
	{ "an entry is cut off",
	  1.8,
	  FAULT_REFUSED,
	  { { 6000, WORLD_PARTITION, 4000, 3, 1, 0 } } },
	{ "a third of the entries is cut off",
	  0.4,
	  1,
	  { { 6000, WORLD_PARTITION, 9000, 3, 4, 0 } } },
	{ "entries freeze for longer than their lease",
	  0.4,
	  1,
	  { { 6000, WORLD_FREEZE, 6000, 0, 6, 0 },
	    { 14000, WORLD_FREEZE, 6000, 6, 6, 0 } } },
	{ "rolling restarts of entries grant no new burst",
	  0.4,
	  1,
	  { { 5000, WORLD_RESTART, 300, 0, 6, 0 },
	    { 7000, WORLD_RESTART, 300, 6, 6, 0 },
	    { 9000, WORLD_RESTART, 300, 0, 6, 0 },
	    { 11000, WORLD_RESTART, 300, 6, 6, 0 },
	    { 13000, WORLD_RESTART, 300, 0, 12, 0 },
	    { 15000, WORLD_RESTART, 300, 0, 12, 0 } } },
	{ "entries join",
	  1.8,
	  NO_FAULT_REFUSED,
	  { { 8000, WORLD_JOIN, 0, 8, 4, 0 } } },
	{ "entries are five times slower",
	  1.8,
	  FAULT_REFUSED,
	  { { 6000, WORLD_SLOW, 10000, 0, 4, 0 } } },
	{ "the allocator is lost once",
	  1.8,
	  FAULT_REFUSED,
	  { { 10000, WORLD_LEADER_LOSS, 1200, 0, 0, 0 } } },
	{ "the allocator is lost repeatedly",
	  0.3,
	  1,
	  { LEADER_LOSSES(4000, 2000) } },
	{ "the allocator is lost in quick succession",
	  0.3,
	  1,
	  { LEADER_LOSSES(6000, 1400) } },
	{ "all lose power, twice",
	  0.4,
	  1,
	  { { 6000, WORLD_POWER_LOSS, 1200, 0, 0, 0 },
	    { 9000, WORLD_POWER_LOSS, 1200, 0, 0, 0 } } },
	{ "limits fall repeatedly, far below the load",
	  1.8,
	  1,
	  { { 5000, WORLD_LIMIT, 0, 0, 1, 0.3 },
	    { 7000, WORLD_LIMIT, 0, 0, 1, 0.3 },
	    { 9000, WORLD_LIMIT, 0, 0, 1, 0.5 },
	    { 5000, WORLD_LIMIT, 0, 1, 1, 0.05 } } },
	{ "a customer sends twelve times as much, from one failure domain",
	  1.8,
	  NO_FAULT_REFUSED,
	  { { 6000, WORLD_HOT, 12000, 0, 1, 12 } } },
	{ "the same while the allocator is lost",
	  1.8,
	  1,
	  { { 6000, WORLD_HOT, 14000, 0, 1, 12 },
	    { 9000, WORLD_LEADER_LOSS, 2500, 0, 0, 0 } } },
};

static void run(const struct quota_scheme *scheme, const struct fault *f,
		uint64_t seed, struct world_result *r)
{
	struct world_options o = { .scheme = scheme,
				   .entries = 12,
				   .customers = 6,
				   .domains = 4,
				   .length_ms = 26000,
				   .requests_per_s = 100,
				   .limit_x = f->limit_x,
				   .floor_per_s = 4200 * MIN(f->limit_x, 1),
				   .overage = { 8, 0.1, 17000 },
				   .delay_ms = 1.4,
				   .cpu_share = 0.32,
				   .drift = 0.001,
				   .seed = seed,
				   .events = f->events };

	while (o.n_events < G_N_ELEMENTS(f->events) &&
	       f->events[o.n_events].at_ms)
		o.n_events++;
	world_run(&o, r);
}

/* Guards against a customer that gets more than its limit, or is refused tokens
 * within it. */
static void limits_hold_under_faults(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
		for (uint64_t seed = 1; seed <= 3; seed++) {
			struct world_result r;

			run(&quota_lease, &faults[i], seed, &r);
			if (r.worst > 1)
				fail_msg("%s, seed %" PRIu64 ": %s",
					 faults[i].label, seed, r.worst_at);
			if (r.refused > faults[i].refused)
				fail_msg("%s, seed %" PRIu64
					 ": %.2f%% of tokens within the limit "
					 "refused",
					 faults[i].label, seed,
					 100 * r.refused);
		}
}

/* The even scheme keeps each limit, but refuses much of what is within it, as
 * customers' requests reach some entries more often than others. */
static void even_scheme_refuses_within_limits(void **state)
{
	struct world_result r;

	(void)state;
	run(&quota_even, &faults[0], 1, &r);
	assert_true(r.worst <= 1);
	assert_true(r.refused > 20 * NO_FAULT_REFUSED);
}

static struct customer *customer(double per_s)
{
	struct customer *c = customer_new();

	c->name = g_strdup("a");
	c->limit = (struct customer_limit){ per_s, per_s, true, 200 };
	return c;
}

/* An entry and its allocator, without a network between them. */
struct pair {
	void *clients, *allocator;
	struct customer *c;
	int64_t now;
};

static void pair_open(struct pair *p, double per_s)
{
	struct quota_options o = { { 8, 0.1, 17000 } };

	p->now = 10000;
	p->c = customer(per_s);
	p->clients = quota_lease.clients_new(&o, p->now);
	p->allocator = quota_lease.allocator_new(&o, p->now);
	quota_lease.clients_link(p->clients, NULL, true, p->now);
	/* After this the allocator no longer reserves for entries that haven't
	 * reported. */
	p->now += 6000;
}

static void pair_close(struct pair *p)
{
	quota_lease.clients_free(p->clients);
	quota_lease.allocator_free(p->allocator);
	customer_unref(p->c);
}

/* Delivers all requests that are due, and their replies, at once. */
static void exchange(struct pair *p)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct quota_request));

	quota_lease.clients_requests(p->clients, p->now, out);
	for (guint i = 0; i < out->len; i++) {
		struct quota_reply reply;

		if (quota_lease.allocator_request(
			    p->allocator, 1, p->c,
			    &g_array_index(out, struct quota_request, i),
			    p->now, &reply))
			quota_lease.clients_reply(p->clients, &reply, p->now);
	}
	g_array_unref(out);
}

/* Loses all requests that are due. */
static void lose_requests(struct pair *p)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct quota_request));

	quota_lease.clients_requests(p->clients, p->now, out);
	g_array_unref(out);
}

static enum quota_decision try_request(struct pair *p, double cost, bool queued)
{
	int64_t retry_after_ms;

	struct quota_need n = { cost, queued, 300 };

	return quota_lease.take(p->clients, p->c, &n, p->now, &retry_after_ms);
}

/* Guards against requests that wait for the allocator although the entry could
 * hold a sufficient balance. */
static void no_request_waits_within_balance(void **state)
{
	struct pair p;
	int waited = 0;

	(void)state;
	pair_open(&p, 100000);
	for (int i = 0; i < 200; i++) {
		p.now += 10;
		if (try_request(&p, 500, false) == QUOTA_WAIT) {
			waited++;
			exchange(&p);
			assert_int_equal(try_request(&p, 500, true),
					 QUOTA_ADMIT);
		}
		exchange(&p);
	}
	assert_true(waited <= 3);
	pair_close(&p);
}

/* Guards against the permanent refusal of a request larger than the burst. */
static void large_request_is_served(void **state)
{
	struct pair p;

	(void)state;
	pair_open(&p, 4200);
	assert_int_equal(try_request(&p, 9000, false), QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_request(&p, 9000, true), QUOTA_ADMIT);
	/* The request is charged in full: nothing is left for a while. */
	assert_int_equal(try_request(&p, 1000, false), QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_request(&p, 1000, true), QUOTA_REFUSE);
	p.now += 2500;
	assert_int_equal(try_request(&p, 1000, false), QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_request(&p, 1000, true), QUOTA_ADMIT);
	pair_close(&p);
}

/* Guards against a request that states millions of tokens and so leaves its
 * customer with a debt of hours. */
static void oversized_request_blocks_no_other(void **state)
{
	struct pair p;

	(void)state;
	pair_open(&p, 4200);
	assert_int_equal(try_request(&p, 1e8, false), QUOTA_REFUSE);
	for (int i = 0; i < 5; i++) {
		p.now += 500;
		assert_int_equal(try_request(&p, 1e8, false), QUOTA_REFUSE);
		if (try_request(&p, 1000, false) == QUOTA_WAIT) {
			exchange(&p);
			assert_int_equal(try_request(&p, 1000, true),
					 QUOTA_ADMIT);
		}
	}
	pair_close(&p);
}

/* Guards against a retry time at which the caller is refused again. */
static void refusal_states_when_to_retry(void **state)
{
	struct quota_need need = { 1000, true, 300 };
	struct pair p;
	int64_t retry_after_ms;

	(void)state;
	pair_open(&p, 1000);
	assert_int_equal(try_request(&p, 3000, false), QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_request(&p, 3000, true), QUOTA_ADMIT);
	assert_int_equal(try_request(&p, 1000, false), QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(quota_lease.take(p.clients, p.c, &need, p.now,
					  &retry_after_ms),
			 QUOTA_REFUSE);
	assert_in_range(retry_after_ms, 2500, 3500);
	p.now += retry_after_ms + 100;
	assert_int_equal(try_request(&p, 1000, false), QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_request(&p, 1000, true), QUOTA_ADMIT);
	pair_close(&p);
}

/* Guards against an entry that waits forever for a lost allocator, or spends
 * without bound in the meantime. */
static void disconnected_entry_spends_for_its_lease(void **state)
{
	double spent = 0;
	struct pair p;

	(void)state;
	pair_open(&p, 20000);
	for (int i = 0; i < 300; i++) {
		p.now += 10;
		if (try_request(&p, 100, false) == QUOTA_WAIT) {
			exchange(&p);
			try_request(&p, 100, true);
		}
		exchange(&p);
	}
	quota_lease.clients_link(p.clients, NULL, false, p.now);
	for (int i = 0; i < 2000; i++) {
		p.now += 10;
		if (try_request(&p, 100, false) == QUOTA_ADMIT)
			spent += 100;
		else
			quota_lease.cancel(p.clients, p.c, 100);
	}
	/* The entry spends its part of the limit for the length of its lease,
	 * and no more. */
	assert_true(spent > 0.3 * 20000 * 5);
	assert_true(spent < 20000 * 5);
	assert_int_equal(try_request(&p, 100, false), QUOTA_REFUSE);
	pair_close(&p);
}

/* Requests grants for an entry until the allocator grants no more; returns
 * their sum. */
static double drain(struct pair *p, uint64_t id)
{
	struct quota_request req = { .customer = SS_LIT("a"),
				     .number = 1,
				     .want = 2000 * QUOTA_MILLI,
				     .demand = 20000 * QUOTA_MILLI,
				     .mean_cost = 1000 * QUOTA_MILLI };
	struct quota_reply reply;
	double sum = 0;

	do {
		quota_lease.allocator_request(p->allocator, id, p->c, &req,
					      p->now, &reply);
		sum += (double)reply.grant / QUOTA_MILLI;
	} while (reply.grant > 0);
	return sum;
}

/* Guards against granting again what a lost entry spends while disconnected. */
static void allocator_charges_lost_entries(void **state)
{
	struct pair p;
	double all;

	(void)state;
	pair_open(&p, 10000);
	drain(&p, 1);
	drain(&p, 2);
	p.now += 500;
	all = drain(&p, 2);
	assert_true(all > 4990 && all < 5010);
	quota_lease.allocator_client_lost(p.allocator, 1, p.now);
	p.now += 500;
	assert_true(drain(&p, 2) < 0.9 * all);
	/* The entry reconnects, and has spent nothing. */
	drain(&p, 1);
	p.now += 500;
	assert_true(drain(&p, 2) >= 0.99 * all);
	pair_close(&p);
}

/* Guards against a new allocator that grants again what the previous one has
 * granted. */
static void new_allocator_starts_with_overage(void **state)
{
	struct quota_options o = { { 8, 0.1, 1000 } };
	double overage = 0.1 * 9 * 10000 + 1000;
	struct pair p;

	(void)state;
	pair_open(&p, 10000);
	quota_lease.allocator_free(p.allocator);
	p.allocator = quota_lease.allocator_new(&o, p.now);
	assert_true(drain(&p, 1) <= 0.25 * overage);
	p.now += 1000;
	/* Entries that haven't reported may be spending by earlier replies. */
	assert_true(drain(&p, 1) < 0.7 * 10000);
	pair_close(&p);
}

/* Guards against spending while disconnected, or an overdraft, that isn't
 * charged to the bucket. */
static void disconnected_spending_is_charged(void **state)
{
	static const struct {
		int64_t disconnected_spent, balance;
	} rows[] = { { 4000, 0 }, { 0, -4000 } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct quota_request req = { .customer = SS_LIT("a"),
					     .number = 9 };
		struct quota_reply reply;
		struct pair p;

		pair_open(&p, 10000);
		drain(&p, 1);
		p.now += 500;
		req.disconnected_spent =
			rows[i].disconnected_spent * QUOTA_MILLI;
		req.balance = rows[i].balance * QUOTA_MILLI;
		quota_lease.allocator_request(p.allocator, 1, p.c, &req, p.now,
					      &reply);
		assert_true(drain(&p, 1) < 1100);
		pair_close(&p);
	}
}

/* Guards against requests that all wait for the replacement of a lost allocator
 * although their customer is far below its limit. */
static void full_bucket_serves_during_failover(void **state)
{
	static const struct {
		const char *label;
		bool cut; /* otherwise silent, for longer than any reply took */
		int64_t ms;
	} rows[] = { { "cut off", true, 10 }, { "silent", false, 60 } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct quota_request other = { .customer = SS_LIT("a"),
					       .demand = 5000 * QUOTA_MILLI,
					       .mean_cost =
						       1000 * QUOTA_MILLI };
		struct quota_reply reply;
		struct pair p;
		int served = 0;

		pair_open(&p, 20000);
		for (int k = 0; k < 20; k++) {
			p.now += 1000;
			if (try_request(&p, 1000, false) == QUOTA_WAIT) {
				p.now += 10;
				exchange(&p);
				try_request(&p, 1000, true);
			}
			exchange(&p);
			quota_lease.allocator_request(p.allocator, 2, p.c,
						      &other, p.now, &reply);
		}
		if (rows[i].cut)
			quota_lease.clients_link(p.clients, NULL, false, p.now);
		while (!rows[i].cut &&
		       try_request(&p, 1000, false) == QUOTA_ADMIT)
			;
		lose_requests(&p);
		p.now += rows[i].ms;
		if (!rows[i].cut)
			served += try_request(&p, 1000, true) == QUOTA_ADMIT;
		while (try_request(&p, 1000, false) == QUOTA_ADMIT)
			served++;
		if (served < 2 || served > 12)
			fail_msg("%s: %d served", rows[i].label, served);
		pair_close(&p);
	}
}

/* Guards against an overdraft that a lost allocator granted and that the next
 * one, which starts without the previous level, counts as a debt: all requests
 * would wait until it is paid. */
static void overdraft_is_no_debt_after_failover(void **state)
{
	struct quota_options o = { { 8, 0.1, 1000 } };
	struct quota_request req = { .customer = SS_LIT("a"),
				     .number = 1,
				     .balance = -8000 * QUOTA_MILLI };
	struct quota_reply reply;
	struct pair p;
	double initial;

	(void)state;
	pair_open(&p, 10000);
	quota_lease.allocator_free(p.allocator);
	p.allocator = quota_lease.allocator_new(&o, p.now);
	initial = drain(&p, 1);
	quota_lease.allocator_free(p.allocator);
	p.allocator = quota_lease.allocator_new(&o, p.now);
	quota_lease.allocator_request(p.allocator, 2, p.c, &req, p.now, &reply);
	assert_true(drain(&p, 1) >= 0.99 * initial);
	pair_close(&p);
}

/* Guards against granting again what a disconnected entry may overdraw. */
static void overdraft_of_lost_entry_is_charged(void **state)
{
	struct quota_request req = { .customer = SS_LIT("a"),
				     .demand = 5000 * QUOTA_MILLI,
				     .mean_cost = 1000 * QUOTA_MILLI };
	struct quota_account_view before, after;
	struct quota_reply reply;
	struct pair p;

	(void)state;
	pair_open(&p, 10000);
	quota_lease.allocator_request(p.allocator, 1, p.c, &req, p.now, &reply);
	quota_lease.allocator_view(p.allocator, "a", p.now, &before);
	quota_lease.allocator_client_lost(p.allocator, 1, p.now);
	quota_lease.allocator_view(p.allocator, "a", p.now, &after);
	assert_true(reply.overdraft >= 2000 * QUOTA_MILLI);
	assert_true(after.level <=
		    before.level - (double)reply.overdraft / QUOTA_MILLI + 1);
	pair_close(&p);
}

/* Guards against wrong amounts in the state that operators monitor. */
static void views_report_grants_and_refusals(void **state)
{
	struct quota_account_view s;
	struct quota_client_view v;
	struct pair p;

	(void)state;
	pair_open(&p, 1000);
	assert_false(quota_lease.allocator_view(p.allocator, "a", p.now, &s));
	assert_int_equal(quota_lease.clients_view(p.clients, "a", p.now).age_ms,
			 -1);
	assert_int_equal(try_request(&p, 2000, false), QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_request(&p, 2000, true), QUOTA_ADMIT);
	p.now += 50;
	v = quota_lease.clients_view(p.clients, "a", p.now);
	assert_int_equal(v.age_ms, 50);
	assert_false(v.disconnected);
	/* The request would wait for too long: it is refused, and reported. */
	try_request(&p, 2000, false);
	exchange(&p);
	assert_int_equal(try_request(&p, 2000, true), QUOTA_REFUSE);
	p.now += 5000;
	try_request(&p, 100, false);
	exchange(&p);
	assert_true(quota_lease.allocator_view(p.allocator, "a", p.now, &s));
	assert_true(s.granted >= 2000);
	assert_true(s.refused >= 1999 && s.refused <= 2000);
	assert_int_equal(s.entries, 1);
	pair_close(&p);
}

/* By how much the served fraction of a class may exceed that of a more urgent
 * one, and the least served fraction of a class, relative to the limit's part
 * of the load. */
#define SHARE_TOLERANCE 0.03
#define SHARE_MIN 0.5

static const struct {
	const char *label;
	const struct world_class *classes;
	size_t n;
	enum world_sharing sharing;
	struct world_event events[2];
} overloads[] = {
	{ "two classes",
	  world_two_classes,
	  WORLD_TWO_CLASSES,
	  WORLD_BY_CLASS,
	  { { 0 } } },
	{ "three classes",
	  world_three_classes,
	  WORLD_THREE_CLASSES,
	  WORLD_BY_CLASS,
	  { { 0 } } },
	{ "an allocator of an older version",
	  world_two_classes,
	  WORLD_TWO_CLASSES,
	  WORLD_AT_ENTRY,
	  { { 0 } } },
	{ "the allocator is lost",
	  world_two_classes,
	  WORLD_TWO_CLASSES,
	  WORLD_BY_CLASS,
	  { { 10000, WORLD_LEADER_LOSS, 1200, 0, 0, 0 } } },
	{ "a third of the entries is cut off",
	  world_two_classes,
	  WORLD_TWO_CLASSES,
	  WORLD_BY_CLASS,
	  { { 8000, WORLD_PARTITION, 6000, 0, 4, 0 } } },
};

static double class_share(const struct world_result *r,
			  const struct world_class *k, size_t n, int class)
{
	double requested = 0, served = 0;

	for (size_t i = 0; i < n; i++) {
		if (k[i].class_id != class)
			continue;
		requested += r->classes[i].requested;
		served += r->classes[i].requested * r->classes[i].served;
	}
	return requested > 0 ? served / requested : -1;
}

/* Guards against patient requests, which wait longer, that get the tokens of
 * urgent ones while customers send three times their limit, and against one
 * class that gets everything. */
static void urgent_requests_get_no_smaller_share(void **state)
{
	(void)state;
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(overloads); i++) {
		size_t k = i / 2;
		struct world_options o = { .scheme = &quota_lease,
					   .entries = 12,
					   .customers = 2,
					   .domains = 4,
					   .length_ms = 26000,
					   .requests_per_s = 60,
					   .limit_x = 1.0 / 3,
					   .overage = { 8, 0.1, 4000 },
					   .delay_ms = 1.4,
					   .cpu_share = 0.32,
					   .drift = 0.001,
					   .seed = i + 1,
					   .classes = overloads[k].classes,
					   .n_classes = overloads[k].n,
					   .sharing = overloads[k].sharing,
					   .events = overloads[k].events };
		struct world_result r;
		double before = 1;

		o.n_events = overloads[k].events[0].at_ms ? 1 : 0;
		world_run(&o, &r);
		if (r.worst > 1)
			fail_msg("%s: %s", overloads[k].label, r.worst_at);
		for (int c = 0; c < QUOTA_CLASSES; c++) {
			double share =
				class_share(&r, o.classes, o.n_classes, c);

			if (share < 0)
				continue;
			print_message("%s, seed %zu: class %d %.3f\n",
				      overloads[k].label, i, c, share);
			if (share > before + SHARE_TOLERANCE)
				fail_msg("%s: class %d has %.3f, a more "
					 "urgent one %.3f",
					 overloads[k].label, c, share, before);
			if (share < SHARE_MIN * o.limit_x)
				fail_msg("%s: class %d has %.3f",
					 overloads[k].label, c, share);
			before = share;
		}
	}
}

/* Highest fraction of the tokens of a kind of requests within a limit that may
 * be refused. */
#define WITHIN_REFUSED 0.01

/* Guards against refusing requests of a rare class of a customer that sends
 * four fifths of its limit, because tokens are retained for other classes that
 * don't use them. */
static void rare_class_within_the_limit_is_served(void **state)
{
	struct world_options o = { .scheme = &quota_lease,
				   .entries = 24,
				   .customers = 4,
				   .domains = 4,
				   .length_ms = 26000,
				   .requests_per_s = 120,
				   .limit_x = 1.25,
				   .overage = { 8, 0.1, 4000 },
				   .delay_ms = 1.4,
				   .cpu_share = 0.32,
				   .drift = 0.001,
				   .classes = world_three_classes,
				   .n_classes = WORLD_THREE_CLASSES,
				   .sharing = WORLD_BY_CLASS };
	struct world_result r;

	(void)state;
	for (o.seed = 1; o.seed <= 2; o.seed++) {
		world_run(&o, &r);
		for (size_t i = 0; i < o.n_classes; i++)
			if (r.classes[i].served < 1 - WITHIN_REFUSED)
				fail_msg("seed %" PRIu64 ", kind %zu: %.3f",
					 o.seed, i, r.classes[i].served);
	}
}

static enum quota_decision try_ranked(struct pair *p, double cost, bool queued,
				      int class_id, int64_t due_ms,
				      int64_t hold_ms)
{
	struct quota_need n = { cost, queued, hold_ms };
	struct quota_rank r = { class_id, due_ms };
	int64_t retry_after_ms;

	return quota_lease.take_ranked(p->clients, p->c, &n, &r, p->now,
				       &retry_after_ms);
}

/* Guards against a large first request of a class that delays a small one for
 * longer than that may wait. */
static void large_first_request_delays_no_overdue_one(void **state)
{
	struct pair p;
	int64_t due_ms;

	(void)state;
	pair_open(&p, 1000);
	/* More than the bucket has. */
	assert_int_equal(try_ranked(&p, 1400, false, 2, p.now + 600, 2000),
			 QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_ranked(&p, 1400, true, 2, p.now + 600, 2000),
			 QUOTA_ADMIT);
	p.now += 900;
	due_ms = p.now + 600;
	assert_int_equal(try_ranked(&p, 250, false, 2, due_ms - 100, 2000),
			 QUOTA_WAIT);
	assert_int_equal(try_ranked(&p, 50, false, 2, due_ms, 300), QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_ranked(&p, 250, true, 2, due_ms - 100, 2000),
			 QUOTA_WAIT);
	/* There is enough for the small request, and it can wait no longer. */
	p.now = due_ms - 300;
	assert_int_equal(try_ranked(&p, 50, true, 2, due_ms, 300), QUOTA_ADMIT);
	pair_close(&p);
}

/* Guards against a refusal without a retry time: the request has waited for as
 * long as it may, and no reply stated when there is more. */
static void overdue_refusal_states_when_to_retry(void **state)
{
	struct quota_need need = { 800, true, 300 };
	struct quota_rank rank = { 2, 0 };
	int64_t retry_after_ms = 0;
	struct pair p;

	(void)state;
	pair_open(&p, 1000);
	rank.due_ms = p.now + 600;
	assert_int_equal(try_ranked(&p, 1000, false, 0, p.now + 600, 300),
			 QUOTA_WAIT);
	exchange(&p);
	assert_int_equal(try_ranked(&p, 1000, true, 0, p.now + 600, 300),
			 QUOTA_ADMIT);
	assert_int_equal(try_ranked(&p, 800, false, 2, rank.due_ms, 300),
			 QUOTA_WAIT);
	p.now = rank.due_ms;
	assert_int_equal(quota_lease.take_ranked(p.clients, p.c, &need, &rank,
						 p.now, &retry_after_ms),
			 QUOTA_REFUSE);
	assert_in_range(retry_after_ms, 1, 4000);
	pair_close(&p);
}

/* Guards against a difference between requests of a single class and requests
 * without classes. */
static void single_class_behaves_as_no_classes(void **state)
{
	struct pair p[2];

	(void)state;
	for (int k = 0; k < 2; k++)
		pair_open(&p[k], 4200);
	for (int i = 0; i < 2000; i++) {
		double cost = 100 + (double)(i * 7919 % 900);
		bool queued = i % 3 == 1;
		enum quota_decision a[2];

		p[0].now += 10;
		p[1].now += 10;
		a[0] = try_request(&p[0], cost, queued);
		a[1] = try_ranked(&p[1], cost, queued, 2, 0, 300);
		assert_int_equal(a[0], a[1]);
		if (i % 2)
			exchange(&p[0]);
		if (i % 2)
			exchange(&p[1]);
		assert_true(
			quota_lease.clients_view(p[0].clients, "a", p[0].now)
				.balance ==
			quota_lease.clients_view(p[1].clients, "a", p[1].now)
				.balance);
	}
	for (int k = 0; k < 2; k++)
		pair_close(&p[k]);
}

static int64_t grant_of(void *allocator, int64_t now,
			const struct quota_request *request)
{
	struct customer c = { .name = "a",
			      .limit = { .per_s = 1000, .burst = 1000 } };
	struct quota_reply reply;

	assert_true(quota_lease.allocator_request(allocator, 1, &c, request,
						  now, &reply));
	return reply.grant;
}

/* Guards against tokens that are still retained for a class whose waiting
 * request is gone, at the expense of the other classes. */
static void idle_class_retains_nothing(void **state)
{
	struct quota_options o = { .overage = { 8, 0.1, 4000 } };
	struct quota_class_item parts[] = {
		{ .class_id = 0, .demand = 900000, .want = 100000 },
		{ .class_id = 2, .demand = 100000, .shortfall = 200000 },
	};
	struct quota_request before[] = {
		{ .customer = SS_LIT("a"), .want = 300000, .demand = 1000000 },
		{ .customer = SS_LIT("a"), .want = 300000, .demand = 1000000 },
	};
	struct quota_request after = { .customer = SS_LIT("a"),
				       .want = 400000,
				       .demand = 2000000 };
	void *allocator[2];

	(void)state;
	before[1].classes = (struct wire_list){ parts, G_N_ELEMENTS(parts) };
	for (int k = 0; k < 2; k++) {
		allocator[k] = quota_lease.allocator_new(&o, 0);
		grant_of(allocator[k], 20000, &before[k]);
		/* Repeat until the earlier grants make no difference. */
		for (int64_t now = 20200; now < 23000; now += 200)
			grant_of(allocator[k], now, &after);
	}
	for (int64_t now = 23000; now < 25000; now += 200)
		assert_int_equal(grant_of(allocator[0], now, &after),
				 grant_of(allocator[1], now, &after));
	for (int k = 0; k < 2; k++)
		quota_lease.allocator_free(allocator[k]);
}

/* Guards against a reply that adds a balance, or fails, for a customer for
 * which the entry has requested no grant. */
static void reply_for_unknown_customer_is_ignored(void **state)
{
	struct quota_reply reply = { .customer = SS_LIT("nobody"),
				     .number = 7,
				     .grant = 5000 * QUOTA_MILLI };
	struct pair p;

	(void)state;
	pair_open(&p, 1000);
	quota_lease.clients_reply(p.clients, &reply, p.now);
	assert_true(
		quota_lease.clients_view(p.clients, "nobody", p.now).balance ==
		0);
	pair_close(&p);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limits_hold_under_faults),
		cmocka_unit_test(even_scheme_refuses_within_limits),
		cmocka_unit_test(no_request_waits_within_balance),
		cmocka_unit_test(large_request_is_served),
		cmocka_unit_test(oversized_request_blocks_no_other),
		cmocka_unit_test(refusal_states_when_to_retry),
		cmocka_unit_test(disconnected_entry_spends_for_its_lease),
		cmocka_unit_test(allocator_charges_lost_entries),
		cmocka_unit_test(new_allocator_starts_with_overage),
		cmocka_unit_test(disconnected_spending_is_charged),
		cmocka_unit_test(full_bucket_serves_during_failover),
		cmocka_unit_test(overdraft_is_no_debt_after_failover),
		cmocka_unit_test(overdraft_of_lost_entry_is_charged),
		cmocka_unit_test(views_report_grants_and_refusals),
		cmocka_unit_test(urgent_requests_get_no_smaller_share),
		cmocka_unit_test(rare_class_within_the_limit_is_served),
		cmocka_unit_test(large_first_request_delays_no_overdue_one),
		cmocka_unit_test(overdue_refusal_states_when_to_retry),
		cmocka_unit_test(single_class_behaves_as_no_classes),
		cmocka_unit_test(idle_class_retains_nothing),
		cmocka_unit_test(reply_for_unknown_customer_is_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
