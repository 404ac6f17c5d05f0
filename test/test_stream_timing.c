/* Tests the estimates of answer durations. */
#include "unit.h"

#include "../src/core/stream_timing.h"

/* n samples of one duration, then then_n of another. */
struct bound_case {
	const char *label;
	int n, then_n;
	double ms, then_ms;
	double min, max; /* accepted bound */
};

static const struct bound_case bounds[] = {
	{ "no samples", 0, 0, 0, 0, -1, -1 },
	{ "a single sample has a wide margin", 1, 0, 50, 0, 100, 200 },
	{ "constant durations need a small margin", 40, 0, 50, 0, 50, 51 },
	{ "a slowdown shows from its second sample on", 40, 2, 50, 250, 250,
	  500 },
	{ "a lasting slowdown gets a narrow margin", 40, 60, 50, 250, 250,
	  275 },
	{ "a lasting recovery gets a narrow margin", 40, 60, 250, 50, 50, 75 },
};

static void bound_follows_samples(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
		const struct bound_case *c = &bounds[i];
		struct timing_estimate e = { 0 };
		double got;

		for (int k = 0; k < c->n; k++)
			timing_estimate_add(&e, c->ms);
		for (int k = 0; k < c->then_n; k++)
			timing_estimate_add(&e, c->then_ms);
		got = timing_estimate_bound(&e);
		if (got < c->min || got > c->max)
			fail_msg("%s: %f", c->label, got);
	}
}

/* Durations that vary: nearly all are below the bound, which is not far above
 * them. */
static void few_samples_exceed_the_bound(void **state)
{
	struct timing_estimate e = { 0 };
	uint64_t seed = 5;
	int over = 0;

	(void)state;
	for (int i = 0; i < 2000; i++) {
		double ms = 40 + (double)(ss_random(&seed) % 21);

		over += i >= 20 && ms > timing_estimate_bound(&e);
		timing_estimate_add(&e, ms);
	}
	assert_in_range(over, 0, 20);
	assert_true(timing_estimate_bound(&e) < 90);
}

/* The maximum is kept for some hundred samples, then dropped. */
static void maximum_is_kept_then_dropped(void **state)
{
	struct timing_max m = { 0 };
	int kept = 0;

	(void)state;
	assert_true(timing_max(&m) == 0);
	timing_max_add(&m, 900);
	while (timing_max(&m) == 900) {
		timing_max_add(&m, 50);
		kept++;
	}
	assert_in_range(kept, 100, 400);
	assert_true(timing_max(&m) == 50);
}

/* Number of samples for one part of a service. */
enum { NONE, FEW, MANY };

/* Complete streams from which on the length of the next one is predicted. */
#define ENOUGH 20

struct stream_case {
	const char *label;
	int model, endpoint, service;
	uint64_t events; /* of a stream with up to 60 tokens */
	int64_t tokens, skip;
	struct timing_pending pending;
	int64_t want;
};

/* First event and gap between events: 100 ms and 10 ms for the model, 150 and
 * 15 for the endpoint, 200 and 20 for the slowest of the service. */
static const struct stream_case streams[] = {
	{ "no samples", NONE, NONE, NONE, 10, 60, 0, { 0, 0 }, SS_NEVER },
	{ "the number of tokens is unknown",
	  MANY,
	  MANY,
	  MANY,
	  10,
	  0,
	  0,
	  { 0, 0 },
	  SS_NEVER },
	{ "the slower of model and endpoint",
	  MANY,
	  MANY,
	  MANY,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  150 + 10 * 15 },
	{ "a multiple of the slowest for a new model",
	  NONE,
	  MANY,
	  MANY,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  200 + 10 * 100 },
	{ "two samples have a wide margin, the service counts too",
	  FEW,
	  MANY,
	  MANY,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  200 + 10 * 25 },
	{ "an endpoint without samples is unknown",
	  MANY,
	  NONE,
	  MANY,
	  10,
	  60,
	  0,
	  { 0, 0 },
	  SS_NEVER },
	{ "twice the tokens, twice the events",
	  MANY,
	  MANY,
	  MANY,
	  10,
	  120,
	  0,
	  { 0, 0 },
	  150 + 20 * 15 },
	{ "events that the caller already has are skipped",
	  MANY,
	  MANY,
	  MANY,
	  10,
	  120,
	  15,
	  { 0, 0 },
	  150 + 5 * 15 },
	{ "one event per token without measured streams",
	  MANY,
	  MANY,
	  MANY,
	  0,
	  60,
	  0,
	  { 0, 0 },
	  150 + 60 * 15 },
	{ "short streams do not count",
	  MANY,
	  MANY,
	  MANY,
	  2,
	  60,
	  0,
	  { 0, 0 },
	  150 + 60 * 15 },
	{ "the answers in flight take longer",
	  MANY,
	  MANY,
	  MANY,
	  10,
	  60,
	  0,
	  { 300, 40 },
	  300 + 10 * 40 },
	{ "the answers in flight are within the estimate",
	  MANY,
	  MANY,
	  MANY,
	  10,
	  60,
	  0,
	  { 30, 4 },
	  150 + 10 * 15 },
};

static void add_samples(struct stream_timing *p, int amount, double first_ms,
			double event_ms)
{
	/* Enough equal samples to leave no deviation, or only a few. */
	int n = amount == MANY ? 200 : amount == FEW ? 2 : 0;

	for (int i = 0; i < n; i++) {
		timing_record_first(p, first_ms);
		timing_record_event(p, event_ms);
	}
}

static void streams_are_predicted(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
		const struct stream_case *c = &streams[i];
		struct stream_timing model = { 0 }, endpoint = { 0 },
				     service = { 0 };
		struct timing_request a = { .service = &service,
					    .model = &model,
					    .endpoint = &endpoint,
					    .pending = c->pending,
					    .tokens = c->tokens,
					    .skip = c->skip };
		int64_t got;

		add_samples(&model, c->model, 100, 10);
		add_samples(&endpoint, c->endpoint, 150, 15);
		add_samples(&service, c->service, 200, 20);
		for (int k = 0; k < ENOUGH; k++)
			timing_record_length(&service, c->events, 60);
		got = timing_stream_ms(&a);
		if (got != c->want)
			fail_msg("%s: %" PRId64, c->label, got);
	}
}

struct length_case {
	const char *label;
	int n;		    /* complete streams */
	uint64_t complete;  /* events of each */
	uint64_t in_flight; /* events of a stream in flight */
	int64_t want;	    /* of the next one, at 10 ms per token */
};

static const struct length_case lengths[] = {
	{ "a stream in flight alone does not count", 0, 0, 9, 60 * 10 },
	{ "it raises the estimate from short streams", ENOUGH, 10, 30,
	  30 * 10 },
	{ "it does not lower the estimate from long ones", ENOUGH, 30, 9,
	  30 * 10 },
	{ "too few streams for an estimate", ENOUGH - 1, 10, 9, 60 * 10 },
	{ "the estimate lasts", 10 * ENOUGH, 10, 9, 10 * 10 },
};

static void streams_in_flight_only_raise_the_length(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
		const struct length_case *c = &lengths[i];
		struct stream_timing p = { 0 };
		struct timing_request a = { .service = &p,
					    .model = &p,
					    .tokens = 60 };
		int64_t got;

		add_samples(&p, MANY, 0, 10);
		for (int k = 0; k < c->n; k++)
			timing_record_length(&p, c->complete, 60);
		timing_raise_length(&p, c->in_flight, 60);
		got = timing_stream_ms(&a);
		if (got != c->want)
			fail_msg("%s: %" PRId64, c->label, got);
	}
}

/* A lower bound is ignored without samples and never lowers an estimate. */
static void unfinished_answers_only_raise(void **state)
{
	struct stream_timing p = { 0 };

	(void)state;
	timing_raise_first(&p, 30);
	timing_raise_event(&p, 3);
	assert_int_equal(p.first.n, 0);
	assert_int_equal(p.event.n, 0);
	add_samples(&p, MANY, 100, 10);
	timing_raise_first(&p, 30);
	timing_raise_event(&p, 3);
	assert_true(timing_max(&p.first_max) == 100);
	assert_true(timing_estimate_bound(&p.event) == 10);
	timing_raise_first(&p, 300);
	timing_raise_event(&p, 30);
	assert_true(timing_max(&p.first_max) == 300);
	assert_true(timing_estimate_bound(&p.event) > 30);
}

static void plain_answers_are_predicted(void **state)
{
	struct timing_pending none = { 0 }, pending = { .first_ms = 90 };
	struct stream_timing p = { 0 };

	(void)state;
	assert_int_equal(timing_plain_ms(&p, &none), SS_NEVER);
	for (int i = 0; i < 100; i++)
		timing_record_first(&p, i % 20 ? 20 : 70);
	assert_int_equal(timing_plain_ms(&p, &none), 70);
	assert_int_equal(timing_plain_ms(&p, &pending), 90);
	/*
	 * Guards against a planned stop that cuts a call for lack of samples:
	 * one call in five of the route is slow, but a process that is some
	 * seconds old has seen six quick ones only, and would predict that the
	 * next one is quick.
	 */
	p = (struct stream_timing){ 0 };
	for (int i = 0; i < 19; i++)
		timing_record_first(&p, 20);
	assert_int_equal(timing_plain_ms(&p, &none), SS_NEVER);
	timing_record_first(&p, 20);
	assert_true(timing_plain_ms(&p, &none) < 100);
	/* Few samples that differ widely: the next call may take longer than
	 * all of them. */
	p = (struct stream_timing){ 0 };
	timing_record_first(&p, 1200);
	for (int i = 0; i < 3; i++)
		timing_record_first(&p, 20);
	assert_true(timing_plain_ms(&p, &none) > 1400);
}

/* Gaps are measured over several events, each of them once. */
static void gaps_are_measured_over_several_events(void **state)
{
	struct timing_mark m = { 1000, 1 };
	double gap;

	(void)state;
	assert_false(timing_measure_gap(&m, 8, 1350, &gap));
	assert_true(timing_measure_gap(&m, 9, 1400, &gap));
	assert_true(gap == 50);
	assert_false(timing_measure_gap(&m, 10, 1500, &gap));
	/* Several events arrive in one read. */
	assert_true(timing_measure_gap(&m, 25, 2200, &gap));
	assert_true(gap == 50);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bound_follows_samples),
		cmocka_unit_test(few_samples_exceed_the_bound),
		cmocka_unit_test(maximum_is_kept_then_dropped),
		cmocka_unit_test(streams_are_predicted),
		cmocka_unit_test(streams_in_flight_only_raise_the_length),
		cmocka_unit_test(unfinished_answers_only_raise),
		cmocka_unit_test(plain_answers_are_predicted),
		cmocka_unit_test(gaps_are_measured_over_several_events),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
