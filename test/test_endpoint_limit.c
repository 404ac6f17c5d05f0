/* Tests of an endpoint's limit, shared by all entries of a fleet. */
#include "unit.h"

#include "../src/core/endpoint_limit.h"

#define WINDOW_MS 4000
#define STEP_MS 10
#define RUN_MS 30000
#define LEADER_LOST_MS 8000
#define LEADER_BACK_MS 9500

struct fleet_case {
	const char *label;
	int entries;
	double per_s;
	int gap_ms;	   /* between two requests at an entry */
	bool leader_fails; /* and is replaced */
	bool entries_restart;
};

struct entry {
	void *quota_client;
	uint64_t incarnation;
	double reservation; /* cost of the waiting request; 0: none */
};

struct fleet {
	const struct fleet_case *x;
	struct entry *entries;
	void *allocator; /* NULL: there is no leader */
	struct endpoint_limit limit;
	char addr[16];
	GArray *sent; /* int64_t, when each request was sent */
	uint64_t incarnations;
	uint64_t requests;
};

static void entry_start(struct fleet *f, struct entry *e, int64_t now)
{
	e->quota_client = quota_lease.clients_new(&endpoint_limit_quota, now);
	e->incarnation = ++f->incarnations;
	e->reservation = 0;
	quota_lease.clients_link(e->quota_client, NULL, f->allocator != NULL,
				 now);
}

static void entry_restart(struct fleet *f, int64_t now)
{
	struct entry *e = &f->entries[(now / 500) % f->x->entries];

	quota_lease.clients_free(e->quota_client);
	if (f->allocator)
		quota_lease.allocator_client_lost(f->allocator, e->incarnation,
						  now);
	entry_start(f, e, now);
}

static void try_send(struct fleet *f, struct entry *e, int64_t now)
{
	struct customer c = endpoint_limit_as_customer(&f->limit, f->addr);
	struct quota_need need = { 1, e->reservation > 0, 2000 };
	int64_t retry_after_ms;

	switch (quota_lease.take(e->quota_client, &c, &need, now,
				 &retry_after_ms)) {
	case QUOTA_ADMIT:
		g_array_append_val(f->sent, now);
		e->reservation = 0;
		break;
	case QUOTA_WAIT:
		e->reservation = 1;
		break;
	case QUOTA_REFUSE:
		e->reservation = 0;
		break;
	}
}

static void request_grants(struct fleet *f, struct entry *e, int64_t now)
{
	struct customer c = endpoint_limit_as_customer(&f->limit, f->addr);
	GArray *requests =
		g_array_new(FALSE, FALSE, sizeof(struct quota_request));

	if (f->allocator)
		quota_lease.clients_requests(e->quota_client, now, requests);
	for (guint i = 0; i < requests->len; i++) {
		struct quota_reply reply;

		quota_lease.allocator_request(
			f->allocator, e->incarnation, &c,
			&g_array_index(requests, struct quota_request, i), now,
			&reply);
		quota_lease.clients_reply(e->quota_client, &reply, now);
	}
	f->requests += requests->len;
	g_array_unref(requests);
}

static void set_leader(struct fleet *f, bool is_leading, int64_t now)
{
	if (f->allocator)
		quota_lease.allocator_free(f->allocator);
	f->allocator =
		is_leading ?
			quota_lease.allocator_new(&endpoint_limit_quota, now) :
			NULL;
	for (int i = 0; i < f->x->entries; i++)
		quota_lease.clients_link(f->entries[i].quota_client, NULL,
					 is_leading, now);
}

static void fleet_run(struct fleet *f, const struct fleet_case *x)
{
	memset(f, 0, sizeof(*f));
	f->x = x;
	f->limit = (struct endpoint_limit){ x->per_s, 1 };
	g_strlcpy(f->addr, "10.0.0.1:80", sizeof(f->addr));
	f->sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	f->entries = g_new0(struct entry, x->entries);
	f->allocator = quota_lease.allocator_new(&endpoint_limit_quota, 0);
	for (int i = 0; i < x->entries; i++)
		entry_start(f, &f->entries[i], 0);
	for (int64_t now = STEP_MS; now < RUN_MS; now += STEP_MS) {
		if (x->leader_fails && now == LEADER_LOST_MS)
			set_leader(f, false, now);
		if (x->leader_fails && now == LEADER_BACK_MS)
			set_leader(f, true, now);
		if (x->entries_restart && now % 500 == 0)
			entry_restart(f, now);
		for (int i = 0; i < x->entries; i++) {
			struct entry *e = &f->entries[i];

			if (e->reservation > 0 ||
			    (now / STEP_MS + i) % (x->gap_ms / STEP_MS) == 0)
				try_send(f, e, now);
			request_grants(f, e, now);
		}
	}
}

static void fleet_clear(struct fleet *f)
{
	for (int i = 0; i < f->x->entries; i++)
		quota_lease.clients_free(f->entries[i].quota_client);
	g_free(f->entries);
	quota_lease.allocator_free(f->allocator);
	g_array_unref(f->sent);
}

static double worst_window(const struct fleet *f)
{
	guint max = 0, to = 0;

	for (guint i = 0; i < f->sent->len; i++) {
		int64_t from = g_array_index(f->sent, int64_t, i);

		while (to < f->sent->len &&
		       g_array_index(f->sent, int64_t, to) < from + WINDOW_MS)
			to++;
		max = MAX(max, to - i);
	}
	return max;
}

static const struct fleet_case cases[] = {
	{ "nine entries", 9, 1.1, 100, false, false },
	{ "a hundred entries", 105, 1.1, 100, false, false },
	{ "360 entries", 360, 1, 200, false, false },
	{ "720 entries with rare requests", 720, 3.5, 2000, false, false },
	{ "a hundred entries, the leader lost", 105, 1, 100, true, false },
	{ "360 entries, the leader lost", 360, 2.2, 200, true, false },
	{ "nine entries that restart", 9, 1, 100, false, true },
	{ "360 entries that restart, the leader lost", 360, 1, 200, true,
	  true },
	{ "a limit of nearly nothing", 105, 0.05, 100, true, true },
};

/* Guards against hundreds of entries that send an endpoint one request each, so
 * that it gets hundreds in a second. */
static void limit_holds_at_any_number_of_entries(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		const struct fleet_case *x = &cases[k];
		double allowed = 1.5 * x->per_s * WINDOW_MS / 1000 + 5;
		struct fleet f;

		fleet_run(&f, x);
		if (worst_window(&f) > allowed)
			fail_msg("%s: %.0f in a window, allowed %.1f", x->label,
				 worst_window(&f), allowed);
		/* Entries with work use at least half of the limit. */
		if (f.sent->len < x->per_s * RUN_MS / 1000 / 2)
			fail_msg("%s: %u sent", x->label, f.sent->len);
		print_message("%s: worst %.0f of %.1f, %u sent, %" PRIu64
			      " grant requests a second\n",
			      x->label, worst_window(&f), allowed, f.sent->len,
			      f.requests * 1000 / RUN_MS);
		fleet_clear(&f);
	}
}

struct signal {
	double per_s;
	int64_t at_ms;
	bool changed;
	double per_s_after;
};

/* Guards against a delayed signal that overrides a newer one. */
static void newest_signal_holds(void **state)
{
	static const struct signal signals[] = {
		{ 1.4, 100, true, 1.4 },
		{ 1.4, 200, false, 1.4 },
		{ ENDPOINT_LIMIT_NONE, 150, false, 1.4 },
		{ 0, 300, true, 0 },
		{ ENDPOINT_LIMIT_NONE, 400, true, ENDPOINT_LIMIT_NONE },
		{ 2, 399, false, ENDPOINT_LIMIT_NONE },
	};
	struct endpoint_limit l = { .per_s = ENDPOINT_LIMIT_NONE };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		assert_int_equal(endpoint_limit_update(&l, signals[i].per_s,
						       signals[i].at_ms),
				 signals[i].changed);
		assert_true(l.per_s == signals[i].per_s_after);
	}
}

/* The limit is sent with the age of the signal, as clocks differ. */
static void limit_is_sent_with_its_age(void **state)
{
	static const double rates[] = { ENDPOINT_LIMIT_NONE, 0, 0.5, 1.25,
					400 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct endpoint_limit a = { rates[i], 70000 };
		struct endpoint_limit b = { .per_s = 7 };

		assert_true(endpoint_limit_received(
			&b, endpoint_limit_wire(&a),
			endpoint_limit_wire_age(&a, 70250), 9000));
		assert_true(b.per_s == rates[i]);
		assert_int_equal(b.signal_ms, 8750);
	}
}

/* Guards against a rate that shrinks a little each time it is forwarded, so
 * that entries and leader correct each other for ever. */
static void forwarded_rate_is_unchanged(void **state)
{
	static const double rates[] = { 2.3, 0.29, 1.23456, 17.0001, 0.0004 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct endpoint_limit sender = { rates[i], 100 };
		struct endpoint_limit receiver = {
			.per_s = ENDPOINT_LIMIT_NONE
		};
		int64_t wire = endpoint_limit_wire(&sender);

		endpoint_limit_received(&receiver, wire, 1, 200);
		assert_int_equal(endpoint_limit_wire(&receiver), wire);
		assert_false(endpoint_limit_received(&sender, wire, 1, 300));
		assert_false(endpoint_limit_update(&sender, rates[i], 400));
	}
}

/* Guards against an endpoint that gets no models for good: without requests it
 * can't signal that its limit was raised. */
static void old_limit_keeps_no_model_away(void **state)
{
	struct endpoint_limit l = { 1, 1000 };

	(void)state;
	assert_true(endpoint_limit_is_low(&l, 8, 1100));
	assert_false(endpoint_limit_is_low(&l, 8, 60000));
	l.per_s = 100;
	assert_false(endpoint_limit_is_low(&l, 8, 1100));
	l.per_s = ENDPOINT_LIMIT_NONE;
	assert_false(endpoint_limit_is_low(&l, 8, 1100));
}

struct poll_case {
	double per_s;
	int64_t min_ms, poll_ms;
};

/* Guards against an endpoint with a low limit that is polled ten times a second
 * beside its callers, or so rarely that it is taken for lost. */
static void polls_use_part_of_the_limit(void **state)
{
	static const struct poll_case polls[] = {
		{ ENDPOINT_LIMIT_NONE, 100, 100 },
		{ 400, 100, 100 },
		{ 8, 20, 500 },
		{ 2, 100, 2000 },
		{ 0, 100, 2000 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(polls); i++) {
		struct endpoint_limit l = { polls[i].per_s, 1 };

		assert_int_equal(endpoint_limit_poll_ms(&l, polls[i].min_ms),
				 polls[i].poll_ms);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limit_holds_at_any_number_of_entries),
		cmocka_unit_test(newest_signal_holds),
		cmocka_unit_test(limit_is_sent_with_its_age),
		cmocka_unit_test(forwarded_rate_is_unchanged),
		cmocka_unit_test(old_limit_keeps_no_model_away),
		cmocka_unit_test(polls_use_part_of_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
