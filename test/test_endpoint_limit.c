/* An endpoint's own limit, shared out over a whole fleet's entries. */
#include "unit.h"

#include "../src/core/endpoint_limit.h"

#define WINDOW_MS 4000
#define TURN_MS 10
#define LENGTH_MS 30000
#define LEADER_LOST_MS 8000
#define LEADER_BACK_MS 9500

struct share_case {
	const char *label;
	int entries;
	double per_s;
	int gap_ms;	     /* between two requests at an entry */
	bool leader_is_lost; /* and another comes */
	bool entries_restart;
};

struct entry {
	void *purses;
	uint64_t incarnation;
	double seat; /* a request that waits for a permit */
};

struct share {
	const struct share_case *x;
	struct entry *entries;
	void *place; /* NULL: nobody leads */
	struct endpoint_limit limit;
	char addr[16];
	GArray *sent; /* int64_t, when each request went out */
	uint64_t incarnations;
	uint64_t asks;
};

static void entry_begin(struct share *s, struct entry *e, int64_t now)
{
	e->purses = quota_lease.entry_new(&endpoint_limit_quota, now);
	e->incarnation = ++s->incarnations;
	e->seat = 0;
	quota_lease.entry_link(e->purses, NULL, s->place != NULL, now);
}

static void restart(struct share *s, int64_t now)
{
	struct entry *e = &s->entries[(now / 500) % s->x->entries];

	quota_lease.entry_free(e->purses);
	if (s->place)
		quota_lease.place_gone(s->place, e->incarnation, now);
	entry_begin(s, e, now);
}

static void try_to_send(struct share *s, struct entry *e, int64_t now)
{
	struct customer c = endpoint_limit_account(&s->limit, s->addr);
	struct quota_need need = { 1, e->seat > 0, 2000 };
	int64_t back;

	switch (quota_lease.take(e->purses, &c, &need, now, &back)) {
	case QUOTA_YES:
		g_array_append_val(s->sent, now);
		e->seat = 0;
		break;
	case QUOTA_WAIT:
		e->seat = 1;
		break;
	case QUOTA_NO:
		e->seat = 0;
		break;
	}
}

static void ask(struct share *s, struct entry *e, int64_t now)
{
	struct customer c = endpoint_limit_account(&s->limit, s->addr);
	GArray *asks = g_array_new(FALSE, FALSE, sizeof(struct quota_ask));

	if (s->place)
		quota_lease.asks(e->purses, now, asks);
	for (guint i = 0; i < asks->len; i++) {
		struct quota_word w;

		quota_lease.place_ask(s->place, e->incarnation, &c,
				      &g_array_index(asks, struct quota_ask, i),
				      now, &w);
		quota_lease.word(e->purses, &w, now);
	}
	s->asks += asks->len;
	g_array_unref(asks);
}

static void lead(struct share *s, bool leads, int64_t now)
{
	if (s->place)
		quota_lease.place_free(s->place);
	s->place = leads ? quota_lease.place_new(&endpoint_limit_quota, now) :
			   NULL;
	for (int i = 0; i < s->x->entries; i++)
		quota_lease.entry_link(s->entries[i].purses, NULL, leads, now);
}

static void share_run(struct share *s, const struct share_case *x)
{
	memset(s, 0, sizeof(*s));
	s->x = x;
	s->limit = (struct endpoint_limit){ x->per_s, 1 };
	g_strlcpy(s->addr, "10.0.0.1:80", sizeof(s->addr));
	s->sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s->entries = g_new0(struct entry, x->entries);
	s->place = quota_lease.place_new(&endpoint_limit_quota, 0);
	for (int i = 0; i < x->entries; i++)
		entry_begin(s, &s->entries[i], 0);
	for (int64_t now = TURN_MS; now < LENGTH_MS; now += TURN_MS) {
		if (x->leader_is_lost && now == LEADER_LOST_MS)
			lead(s, false, now);
		if (x->leader_is_lost && now == LEADER_BACK_MS)
			lead(s, true, now);
		if (x->entries_restart && now % 500 == 0)
			restart(s, now);
		for (int i = 0; i < x->entries; i++) {
			struct entry *e = &s->entries[i];

			if (e->seat > 0 ||
			    (now / TURN_MS + i) % (x->gap_ms / TURN_MS) == 0)
				try_to_send(s, e, now);
			ask(s, e, now);
		}
	}
}

static void share_clear(struct share *s)
{
	for (int i = 0; i < s->x->entries; i++)
		quota_lease.entry_free(s->entries[i].purses);
	g_free(s->entries);
	quota_lease.place_free(s->place);
	g_array_unref(s->sent);
}

static double worst_window(const struct share *s)
{
	guint most = 0, to = 0;

	for (guint i = 0; i < s->sent->len; i++) {
		int64_t from = g_array_index(s->sent, int64_t, i);

		while (to < s->sent->len &&
		       g_array_index(s->sent, int64_t, to) < from + WINDOW_MS)
			to++;
		most = MAX(most, to - i);
	}
	return most;
}

static const struct share_case cases[] = {
	{ "nine entries", 9, 1.1, 100, false, false },
	{ "a hundred entries", 105, 1.1, 100, false, false },
	{ "360 entries", 360, 1, 200, false, false },
	{ "720 entries that ask now and then", 720, 3.5, 2000, false, false },
	{ "a hundred entries, the leader lost", 105, 1, 100, true, false },
	{ "360 entries, the leader lost", 360, 2.2, 200, true, false },
	{ "nine entries that restart", 9, 1, 100, false, true },
	{ "360 entries that restart, the leader lost", 360, 1, 200, true,
	  true },
	{ "a limit of nearly nothing", 105, 0.05, 100, true, true },
};

/* Symptom: each of hundreds of entries sends an endpoint one request, and it
 * gets hundreds in a second. */
static void limit_holds_at_any_number_of_entries(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		const struct share_case *x = &cases[k];
		double may = 1.5 * x->per_s * WINDOW_MS / 1000 + 5;
		struct share s;

		share_run(&s, x);
		if (worst_window(&s) > may)
			fail_msg("%s: %.0f in a window, allowed %.1f", x->label,
				 worst_window(&s), may);
		/* Half of it reaches the endpoint while entries have work. */
		if (s.sent->len < x->per_s * LENGTH_MS / 1000 / 2)
			fail_msg("%s: %u in all", x->label, s.sent->len);
		print_message("%s: worst %.0f of %.1f, %u sent, %" PRIu64
			      " asks a second\n",
			      x->label, worst_window(&s), may, s.sent->len,
			      s.asks * 1000 / LENGTH_MS);
		share_clear(&s);
	}
}

struct word {
	double per_s;
	int64_t at_ms;
	bool news;
	double holds;
};

/* Symptom: a word that was late on its way undoes a newer one. */
static void newest_word_holds(void **state)
{
	static const struct word words[] = {
		{ 1.4, 100, true, 1.4 },
		{ 1.4, 200, false, 1.4 },
		{ ENDPOINT_LIMIT_NONE, 150, false, 1.4 },
		{ 0, 300, true, 0 },
		{ ENDPOINT_LIMIT_NONE, 400, true, ENDPOINT_LIMIT_NONE },
		{ 2, 399, false, ENDPOINT_LIMIT_NONE },
	};
	struct endpoint_limit l = { .per_s = ENDPOINT_LIMIT_NONE };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
		assert_int_equal(endpoint_limit_say(&l, words[i].per_s,
						    words[i].at_ms),
				 words[i].news);
		assert_true(l.per_s == words[i].holds);
	}
}

/* What travels is the rate and how old the word is; clocks differ. */
static void words_travel_with_their_age(void **state)
{
	static const double rates[] = { ENDPOINT_LIMIT_NONE, 0, 0.5, 1.25,
					400 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct endpoint_limit a = { rates[i], 70000 };
		struct endpoint_limit b = { .per_s = 7 };

		assert_true(endpoint_limit_told(&b, endpoint_limit_wire(&a),
						endpoint_limit_age(&a, 70250),
						9000));
		assert_true(b.per_s == rates[i]);
		assert_int_equal(b.said_ms, 8750);
	}
}

/* Symptom: a rate is a little less each time that it is told on, so that
 * entries and leader correct each other for ever. */
static void rate_stays_the_same_when_told_on(void **state)
{
	static const double rates[] = { 2.3, 0.29, 1.23456, 17.0001, 0.0004 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct endpoint_limit heard = { rates[i], 100 };
		struct endpoint_limit told = { .per_s = ENDPOINT_LIMIT_NONE };
		int64_t wire = endpoint_limit_wire(&heard);

		endpoint_limit_told(&told, wire, 1, 200);
		assert_int_equal(endpoint_limit_wire(&told), wire);
		assert_false(endpoint_limit_told(&heard, wire, 1, 300));
		assert_false(endpoint_limit_say(&heard, rates[i], 400));
	}
}

/* Symptom: an endpoint that nobody calls can't say that its need is over, and
 * stays without work for good. */
static void old_word_keeps_no_model_away(void **state)
{
	struct endpoint_limit l = { 1, 1000 };

	(void)state;
	assert_true(endpoint_limit_is_narrow(&l, 8, 1100));
	assert_false(endpoint_limit_is_narrow(&l, 8, 60000));
	l.per_s = 100;
	assert_false(endpoint_limit_is_narrow(&l, 8, 1100));
	l.per_s = ENDPOINT_LIMIT_NONE;
	assert_false(endpoint_limit_is_narrow(&l, 8, 1100));
}

struct pause_case {
	double per_s;
	int64_t least_ms, pause_ms;
};

/* Symptom: an endpoint in need is read ten times a second beside its callers,
 * or so seldom that it passes for lost. */
static void reads_take_a_part_of_the_limit(void **state)
{
	static const struct pause_case rows[] = {
		{ ENDPOINT_LIMIT_NONE, 100, 100 },
		{ 400, 100, 100 },
		{ 8, 20, 500 },
		{ 2, 100, 2000 },
		{ 0, 100, 2000 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct endpoint_limit l = { rows[i].per_s, 1 };

		assert_int_equal(endpoint_limit_pause_ms(&l, rows[i].least_ms),
				 rows[i].pause_ms);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limit_holds_at_any_number_of_entries),
		cmocka_unit_test(newest_word_holds),
		cmocka_unit_test(words_travel_with_their_age),
		cmocka_unit_test(rate_stays_the_same_when_told_on),
		cmocka_unit_test(old_word_keeps_no_model_away),
		cmocka_unit_test(reads_take_a_part_of_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
