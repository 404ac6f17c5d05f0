/* How long answers take, learned from those under way. */
#include "unit.h"

#include "../src/core/pace.h"

/* So many samples of one time, then of another. */
struct bound_case {
	const char *label;
	int n, then_n;
	double ms, then_ms;
	double least, most; /* of the bound */
};

static const struct bound_case bounds[] = {
	{ "nothing is known", 0, 0, 0, 0, -1, -1 },
	{ "one sample may be far off", 1, 0, 50, 0, 100, 200 },
	{ "steady times need little room", 40, 0, 50, 0, 50, 51 },
	{ "a slowdown shows at its second sample", 40, 2, 50, 250, 250, 500 },
	{ "and is known well after it has gone on", 40, 60, 50, 250, 250, 275 },
	{ "so is an engine that is fast again", 40, 60, 250, 50, 50, 75 },
};

static void bound_follows_what_is_seen(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
		const struct bound_case *c = &bounds[i];
		struct pace_estimate e = { 0 };
		double got;

		for (int k = 0; k < c->n; k++)
			pace_add(&e, c->ms);
		for (int k = 0; k < c->then_n; k++)
			pace_add(&e, c->then_ms);
		got = pace_bound(&e);
		if (got < c->least || got > c->most)
			fail_msg("%s: %f", c->label, got);
	}
}

/* Times that vary: nearly all lie under the bound, and it isn't far above. */
static void few_times_exceed_the_bound(void **state)
{
	struct pace_estimate e = { 0 };
	uint64_t seed = 5;
	int over = 0;

	(void)state;
	for (int i = 0; i < 2000; i++) {
		double ms = 40 + (double)(ss_random(&seed) % 21);

		over += i >= 20 && ms > pace_bound(&e);
		pace_add(&e, ms);
	}
	assert_in_range(over, 0, 20);
	assert_true(pace_bound(&e) < 90);
}

/* The largest is kept for some hundred samples, then forgotten. */
static void largest_is_kept_and_forgotten(void **state)
{
	struct pace_most m = { 0 };
	int kept = 0;

	(void)state;
	assert_true(pace_most(&m) == 0);
	pace_most_add(&m, 900);
	while (pace_most(&m) == 900) {
		pace_most_add(&m, 50);
		kept++;
	}
	assert_in_range(kept, 100, 400);
	assert_true(pace_most(&m) == 50);
}

/* How much a case knows of a part of a service. */
enum { NOTHING, LITTLE, WELL };

/* Whole streams after which the length of the next can be foretold. */
#define ENOUGH 20

struct stream_case {
	const char *label;
	int model, endpoint, service;
	uint64_t events; /* of a stream that was allowed 60 tokens */
	int64_t tokens, skip;
	struct pace_open open;
	int64_t want;
};

/* The model takes 100 ms to its first event and 10 ms from one to the next, the
 * endpoint 150 and 15, the slowest of the service 200 and 20. */
static const struct stream_case streams[] = {
	{ "nothing is known",
	  NOTHING,
	  NOTHING,
	  NOTHING,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  SS_NEVER },
	{ "a length that isn't told",
	  WELL,
	  WELL,
	  WELL,
	  10,
	  0,
	  0,
	  { 0, 0 },
	  SS_NEVER },
	{ "the model's and the endpoint's slower ones",
	  WELL,
	  WELL,
	  WELL,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  150 + 10 * 15 },
	{ "several times the slowest, where a model is new",
	  NOTHING,
	  WELL,
	  WELL,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  200 + 10 * 100 },
	{ "two samples are wide, and count beside it",
	  LITTLE,
	  WELL,
	  WELL,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  200 + 10 * 25 },
	{ "an endpoint that has shown nothing isn't known",
	  WELL,
	  NOTHING,
	  WELL,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  SS_NEVER },
	{ "twice the tokens, twice the events",
	  WELL,
	  WELL,
	  WELL,
	  10,
	  120,
	  0,
	  { 0, 0 },
	  150 + 20 * 15 },
	{ "events that the caller has don't come again",
	  WELL,
	  WELL,
	  WELL,
	  10,
	  120,
	  15,
	  { 0, 0 },
	  150 + 5 * 15 },
	{ "an event a token while none is known",
	  WELL,
	  WELL,
	  WELL,
	  0,
	  60,
	  0,
	  { 0, 0 },
	  150 + 60 * 15 },
	{ "a brief stream says nothing of long ones",
	  WELL,
	  WELL,
	  WELL,
	  2,
	  60,
	  0,
	  { 0, 0 },
	  150 + 60 * 15 },
	{ "what is waited for now takes longer",
	  WELL,
	  WELL,
	  WELL,
	  10,
	  60,
	  0,
	  { 300, 40 },
	  300 + 10 * 40 },
	{ "what is waited for now is still usual",
	  WELL,
	  WELL,
	  WELL,
	  10,
	  60,
	  0,
	  { 30, 4 },
	  150 + 10 * 15 },
};

static void know(struct pace *p, int how, double first_ms, double event_ms)
{
	/* Alike for so long that no deviation is left; or too few. */
	int n = how == WELL ? 200 : how == LITTLE ? 2 : 0;

	for (int i = 0; i < n; i++) {
		pace_note_first(p, first_ms);
		pace_note_event(p, event_ms);
	}
}

static void streams_are_foretold(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
		const struct stream_case *c = &streams[i];
		struct pace model = { 0 }, endpoint = { 0 }, service = { 0 };
		struct pace_ask a = { .service = &service,
				      .model = &model,
				      .endpoint = &endpoint,
				      .open = c->open,
				      .tokens = c->tokens,
				      .skip = c->skip };
		int64_t got;

		know(&model, c->model, 100, 10);
		know(&endpoint, c->endpoint, 150, 15);
		know(&service, c->service, 200, 20);
		for (int k = 0; k < ENOUGH; k++)
			pace_note_length(&service, c->events, 60);
		got = pace_stream_ms(&a);
		if (got != c->want)
			fail_msg("%s: %" PRId64, c->label, got);
	}
}

struct length_case {
	const char *label;
	int n;		      /* whole streams */
	uint64_t whole, open; /* events of each, and of one that goes on */
	int64_t want;	      /* of the next; a token takes 10 ms */
};

static const struct length_case lengths[] = {
	{ "one that goes on says nothing by itself", 0, 0, 9, 60 * 10 },
	{ "it raises what short ones have shown", ENOUGH, 10, 30, 30 * 10 },
	{ "it doesn't lower what long ones have shown", ENOUGH, 30, 9,
	  30 * 10 },
	{ "a few short ones say nothing of the next", ENOUGH - 1, 10, 9,
	  60 * 10 },
	{ "what was learned lasts", 10 * ENOUGH, 10, 9, 10 * 10 },
};

static void streams_under_way_only_raise_the_length(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		const struct length_case *c = &lengths[i];
		struct pace p = { 0 };
		struct pace_ask a = { .service = &p,
				      .model = &p,
				      .tokens = 60 };
		int64_t got;

		know(&p, WELL, 0, 10);
		for (int k = 0; k < c->n; k++)
			pace_note_length(&p, c->whole, 60);
		pace_raise_length(&p, c->open, 60);
		got = pace_stream_ms(&a);
		if (got != c->want)
			fail_msg("%s: %" PRId64, c->label, got);
	}
}

/* A lower bound says nothing by itself, and never makes a figure smaller. */
static void answers_that_never_came_only_raise(void **state)
{
	struct pace p = { 0 };

	(void)state;
	pace_raise_first(&p, 30);
	pace_raise_event(&p, 3);
	assert_int_equal(p.first.n, 0);
	assert_int_equal(p.event.n, 0);
	know(&p, WELL, 100, 10);
	pace_raise_first(&p, 30);
	pace_raise_event(&p, 3);
	assert_true(pace_most(&p.first_most) == 100);
	assert_true(pace_bound(&p.event) == 10);
	pace_raise_first(&p, 300);
	pace_raise_event(&p, 30);
	assert_true(pace_most(&p.first_most) == 300);
	assert_true(pace_bound(&p.event) > 30);
}

static void plain_answers_are_foretold(void **state)
{
	struct pace_open none = { 0 }, open = { .first_ms = 90 };
	struct pace p = { 0 };

	(void)state;
	assert_int_equal(pace_plain_ms(&p, &none), SS_NEVER);
	for (int i = 0; i < 100; i++)
		pace_note_first(&p, i % 20 ? 20 : 70);
	assert_int_equal(pace_plain_ms(&p, &none), 70);
	assert_int_equal(pace_plain_ms(&p, &open), 90);
	/*
	 * Symptom: a planned stop cuts a call that it has begun. Sequence: a
	 * process some seconds old has seen six quick calls of a route of which
	 * one in five is slow, and takes the next for quick. Cause: what few
	 * calls show passes for all that there is.
	 */
	p = (struct pace){ 0 };
	for (int i = 0; i < 19; i++)
		pace_note_first(&p, 20);
	assert_int_equal(pace_plain_ms(&p, &none), SS_NEVER);
	pace_note_first(&p, 20);
	assert_true(pace_plain_ms(&p, &none) < 100);
	/* Few and far apart: the next may be longer than all of them. */
	p = (struct pace){ 0 };
	pace_note_first(&p, 1200);
	for (int i = 0; i < 3; i++)
		pace_note_first(&p, 20);
	assert_true(pace_plain_ms(&p, &none) > 1400);
}

/* Gaps are measured over several events, and none is counted twice. */
static void gaps_are_measured_in_runs(void **state)
{
	struct pace_mark m = { 1000, 1 };
	double gap;

	(void)state;
	assert_false(pace_measure(&m, 8, 1350, &gap));
	assert_true(pace_measure(&m, 9, 1400, &gap));
	assert_true(gap == 50);
	assert_false(pace_measure(&m, 10, 1500, &gap));
	/* Several events in one piece. */
	assert_true(pace_measure(&m, 25, 2200, &gap));
	assert_true(gap == 50);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bound_follows_what_is_seen),
		cmocka_unit_test(few_times_exceed_the_bound),
		cmocka_unit_test(largest_is_kept_and_forgotten),
		cmocka_unit_test(streams_are_foretold),
		cmocka_unit_test(streams_under_way_only_raise_the_length),
		cmocka_unit_test(answers_that_never_came_only_raise),
		cmocka_unit_test(plain_answers_are_foretold),
		cmocka_unit_test(gaps_are_measured_in_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
