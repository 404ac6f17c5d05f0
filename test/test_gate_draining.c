/* Tests which requests a draining gate still starts and which it refuses. */
#include "gate_fix.h"

/* Time between two events of a fast engine, and of one that needs five times as
 * long. */
#define FAST_MS 48
#define SLOW_MS 240
#define REFUSED "this process ends before the answer would"
/* Complete streams after which the length of the next can be predicted. */
#define ENOUGH_STREAMS 20

static void serve_plain(struct fix *f, int64_t ms)
{
	int before = f->eps[0].requests;
	struct caller *c = call_endpoint(f, "", GET_SAFE);

	UNTIL(f, f->eps[0].requests == before + 1);
	f->clock.fake_ms += ms;
	endpoint_send(f, 0, OK_TEXT);
	UNTIL(f, received_ends_with(c, "hello"));
}

/* Completes enough streams for the time between events to be known. */
static void measure_fast_engine(struct fix *f)
{
	script_answer(f, 0, EVENTS, false, false);
	for (int i = 0; i < ENOUGH_STREAMS; i++)
		run_one_stream(f, FAST_MS, FAST_MS);
}

/*
 * Failure: the end of the process cuts a long stream. It arrives in the second
 * after SIGTERM, while callers are still accepted, and is started although it
 * is known to need more time than is left.
 */
static void long_stream_isnt_started_while_draining(void **state)
{
	struct caller *brief, *lengthy;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	measure_fast_engine(&f);
	gate_drain(f.gate, f.clock.fake_ms + 4000);
	lengthy = call_endpoint(&f, "m", STREAM("/chat/x", "950"));
	UNTIL(&f, has_received(lengthy, "HTTP/1.1 503 "));
	assert_true(has_received(lengthy, "Retry-After: "));
	assert_int_equal(f.eps[0].requests, ENOUGH_STREAMS);
	brief = call_endpoint(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, f.eps[0].requests == ENOUGH_STREAMS + 1);
	send_events(&f, brief, 1, EVENTS_FOR(100), FAST_MS);
	send_stream_end(&f, brief);
	fix_close(&f);
}

/*
 * Failure: the end of the process cuts a stream. It arrives soon after SIGTERM,
 * when it would still fit; its model is loaded seconds later, and it is started
 * with one second left. The time left was checked only on arrival, and only for
 * streams that can't be resumed. A caller that is refused continues elsewhere
 * at once; one whose stream is cut first has to notice.
 */
static void waiting_stream_isnt_started_late_while_draining(void **state)
{
	static const char *const requests[] = {
		STREAM("/chat/x", "300"),
		STREAM("/night/x", "300"),
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		uint64_t *waiting;
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		waiting = metrics_value(f.metrics, "ss_gate_waiting", "");
		measure_fast_engine(&f);
		gate_drain(f.gate, f.clock.fake_ms + 4000);
		report_fleet(&f, "lm", "");
		c = call(&f, requests[i]);
		UNTIL(&f, *waiting == 1);
		for (int k = 0; k < 10; k++)
			run_loop_once(&f);
		assert_int_equal(c->got->len, 0);
		f.clock.fake_ms += 1700;
		report_fleet(&f, "lm", "m");
		UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
		assert_true(has_received(c, "not_run"));
		assert_int_equal(f.eps[0].requests, ENOUGH_STREAMS);
		fix_close(&f);
	}
}

/* Without any measurement, only requests whose caller's deadline is before the
 * end of the process are started. */
static void unmeasured_engine_starts_nothing_long_while_draining(void **state)
{
	struct caller *open, *bounded;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	gate_drain(f.gate, f.clock.fake_ms + 4000);
	open = call_endpoint(&f, "m", STREAM("/chat/x", "12"));
	UNTIL(&f, has_received(open, "HTTP/1.1 503 "));
	bounded = call_endpoint(&f, "m",
				REQ("POST",
				    "/chat/x") "X-Model: m\r\n"
					       "X-Token-Usage: 9,12\r\n"
					       "X-Deadline-Ms: 3900\r\n"
					       "Content-Length: 0\r\n\r\n");
	UNTIL(&f, f.eps[0].requests == 1);
	send_stream_end(&f, bounded);
	fix_close(&f);
}

/*
 * Failure: the end of the process cuts a stream, and its caller gets neither an
 * answer nor a refusal. The stream is sent with 3 s left, though the previous
 * answer took 4 s: the duration was computed from a fixed time per token, and
 * this engine needs five times that. The duration of plain answers wasn't
 * checked at all.
 */
static void slow_stream_isnt_started_while_draining(void **state)
{
	static const char *const requests[] = { STREAM("/chat/x", "100"),
						STREAM("/night/x", "100") };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		script_answer(&f, 0, EVENTS, false, false);
		run_one_stream(&f, SLOW_MS, SLOW_MS);
		gate_drain(f.gate, f.clock.fake_ms + 3000);
		c = call_endpoint(&f, "m", requests[i]);
		UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
		assert_true(has_received(c, "not_run"));
		assert_true(has_received(c, "Retry-After: "));
		assert_int_equal(f.eps[0].requests, 1);
		fix_close(&f);
	}
}

/* The same for plain answers, whose callers would wait longer. */
static void slow_plain_answer_isnt_started_while_draining(void **state)
{
	static const char *const requests[] = { GET_SAFE, POST_ONCE };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		struct caller *c;
		struct fix f;

		fix_open(&f, "web", "");
		c = call_endpoint(&f, "", requests[i]);
		UNTIL(&f, f.eps[0].requests == 1);
		f.clock.fake_ms += 1500;
		endpoint_send(&f, 0, OK_TEXT);
		UNTIL(&f, received_ends_with(c, "hello"));
		gate_drain(f.gate, f.clock.fake_ms + 1000);
		c = call_endpoint(&f, "", requests[i]);
		UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
		assert_true(has_received(c, "not_run"));
		assert_true(has_received(c, "Retry-After: "));
		assert_int_equal(f.eps[0].requests, 1);
		fix_close(&f);
	}
}

/* The converse: a stream that ends in time at the engine's measured speed is
 * started. */
static void short_stream_is_started_while_draining(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	for (int i = 0; i < ENOUGH_STREAMS; i++)
		run_one_stream(&f, SLOW_MS, SLOW_MS);
	gate_drain(f.gate, f.clock.fake_ms + 3000);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "12"));
	UNTIL(&f, f.eps[0].requests == ENOUGH_STREAMS + 1);
	send_events(&f, c, 1, EVENTS_FOR(12), SLOW_MS);
	send_stream_end(&f, c);
	fix_close(&f);
}

/*
 * Failure: a stream is cut on an engine whose earlier answers were fast. The
 * engine becomes slow (many concurrent requests, a VM short of CPU), and no
 * stream has completed there since. Only completed streams updated its speed,
 * so the next stream is started while events of a running one come at a fifth
 * of it.
 */
static void slowdown_of_running_streams_counts(void **state)
{
	struct caller *slow, *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	measure_fast_engine(&f);
	slow = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
	UNTIL(&f, f.eps[0].requests == ENOUGH_STREAMS + 1);
	send_events(&f, slow, 1, 8, FAST_MS);
	send_events(&f, slow, 9, 24, SLOW_MS);
	gate_drain(f.gate, f.clock.fake_ms + 3000);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, has_received(c, REFUSED));
	assert_true(has_received(c, "not_run"));
	assert_int_equal(f.eps[0].requests, ENOUGH_STREAMS + 1);
	fix_close(&f);
}

/*
 * Failure: a stream is cut that waited for its adapter. It has enough time on
 * arrival; the adapter takes 0.9 s to load; it is sent with 0.6 s left, though
 * streams of its length take 0.8 s. The time left wasn't checked again after
 * the load.
 */
static void late_adapter_starts_no_stream_while_draining(void **state)
{
	struct msg_adapter_done done = { 0 };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	measure_fast_engine(&f);
	f.agents = true;
	gate_drain(f.gate, f.clock.fake_ms + 1500);
	c = call_endpoint(&f, "m",
			  REQ("POST", "/chat/x") "X-Model: m/a1\r\n"
						 "X-Token-Usage: 9,100\r\n"
						 "Content-Length: 0\r\n\r\n");
	UNTIL(&f, f.asked);
	f.clock.fake_ms += 900;
	done.sub = f.asked;
	gate_adapter_done(f.gate, &done);
	UNTIL(&f, has_received(c, REFUSED));
	assert_true(has_received(c, "not_run"));
	assert_int_equal(f.eps[0].requests, ENOUGH_STREAMS);
	fix_close(&f);
}

/*
 * Failure: a stream is cut whose large model this entry hasn't served yet. The
 * model has no measurement of its own, so the service's mean was taken. The
 * most requested models dominate the mean, and large ones are slower.
 */
static void unmeasured_model_is_taken_for_a_slow_one(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	run_one_stream(&f, SLOW_MS, SLOW_MS);
	for (int i = 0; i < 40; i++)
		run_one_stream(&f, FAST_MS, FAST_MS);
	gate_drain(f.gate, f.clock.fake_ms + 3000);
	c = call_endpoint(
		&f, "n",
		REQ("POST", "/chat/x") "X-Model: n\r\nX-Token-Usage: 9,100\r\n"
				       "Content-Length: 0\r\n\r\n");
	UNTIL(&f, has_received(c, REFUSED));
	assert_int_equal(f.eps[0].requests, 41);
	fix_close(&f);
}

/*
 * Failure: a stream is cut at a slow endpoint among fast ones. One endpoint
 * needs five times as long as the other, and the fast one is full when draining
 * starts. All endpoints of the service shared one measurement.
 */
static void slow_endpoint_is_measured_separately(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	script_answer(&f, 1, EVENTS, false, false);
	f.at = 1;
	for (int i = 0; i < 4; i++)
		run_one_stream(&f, SLOW_MS, SLOW_MS);
	f.at = 0;
	for (int i = 0; i < 40; i++)
		run_one_stream(&f, FAST_MS, FAST_MS);
	gate_drain(f.gate, f.clock.fake_ms + 3000);
	f.at = 1;
	c = call_endpoint(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, has_received(c, REFUSED));
	assert_int_equal(f.eps[1].requests, 4);
	f.at = 0;
	c = call_endpoint(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, f.eps[0].requests == 41);
	send_events(&f, c, 1, EVENTS_FOR(100), FAST_MS);
	send_stream_end(&f, c);
	fix_close(&f);
}

/*
 * Failure: a long stream is cut because only short ones have completed. The
 * process is one second old; three streams have ended after a fifth of their
 * allowed tokens and a fourth is running. Short streams complete first, so
 * completed ones alone give too short a length.
 */
static void running_streams_count_for_the_length(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	for (int i = 0; i < 3; i++) {
		c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
		UNTIL(&f, f.eps[0].requests == i + 1);
		send_events(&f, c, 1, 10, FAST_MS);
		send_stream_end(&f, c);
	}
	c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
	UNTIL(&f, f.eps[0].requests == 4);
	send_events(&f, c, 1, 20, FAST_MS);
	gate_drain(f.gate, f.clock.fake_ms + 1000);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
	UNTIL(&f, has_received(c, REFUSED));
	assert_int_equal(f.eps[0].requests, 4);
	fix_close(&f);
}

/*
 * Failure: a stream is cut because a running one was taken for a complete one.
 * The process is some seconds old and no stream has completed; the running one
 * has sent 20 of the 300 events that its tokens make. These 20, a fifteenth,
 * were taken for all events of that many tokens, so a stream that needs 5 s is
 * started with 2 s left.
 */
static void running_stream_isnt_taken_for_a_complete_one(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
	UNTIL(&f, f.eps[0].requests == 1);
	send_events(&f, c, 1, 20, FAST_MS);
	gate_drain(f.gate, f.clock.fake_ms + 2000);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, has_received(c, REFUSED));
	assert_int_equal(f.eps[0].requests, 1);
	fix_close(&f);
}

/*
 * Failure: a stream that needs 5 s is started with 2 s left and cut. The
 * process is some seconds old, and a caller has left 20 ms after the first
 * event of a stream, or before it. The time until it left, a lower bound, was
 * the first measurement of the service and was taken for the duration of its
 * answers.
 */
static void caller_that_leaves_gives_no_measurement(void **state)
{
	(void)state;
	for (int events = 0; events < 2; events++) {
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		script_answer(&f, 0, EVENTS, false, false);
		c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
		UNTIL(&f, f.eps[0].requests == 1);
		send_events(&f, c, 1, events, FAST_MS);
		f.clock.fake_ms += 20;
		caller_leave(c);
		UNTIL(&f, f.eps[0].reset == 1);
		gate_drain(f.gate, f.clock.fake_ms + 2000);
		c = call_endpoint(&f, "m", STREAM("/chat/x", "100"));
		UNTIL(&f, has_received(c, REFUSED));
		assert_int_equal(f.eps[0].requests, 1);
		fix_close(&f);
	}
}

/*
 * Failure: a stream is cut on an engine that has stalled. The engine was fast;
 * a running stream has had no event for 1.9 s; another is started with 2 s
 * left. Only events and completed streams were measured, not silence.
 */
static void silence_counts_while_draining(void **state)
{
	struct caller *silent, *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	measure_fast_engine(&f);
	silent = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
	UNTIL(&f, f.eps[0].requests == ENOUGH_STREAMS + 1);
	send_events(&f, silent, 1, 8, FAST_MS);
	f.clock.fake_ms += 1900;
	gate_drain(f.gate, f.clock.fake_ms + 2000);
	run_loop_once(&f);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, has_received(c, REFUSED));
	assert_int_equal(f.eps[0].requests, ENOUGH_STREAMS + 1);
	fix_close(&f);
}

/*
 * Failure: a draining process loses a request that may run only once. Its route
 * takes 1.5 s; another route of the service takes 20 ms and has ten times the
 * requests. Both shared one measurement, so the slow request is started with
 * 0.6 s left.
 */
static void slow_route_is_measured_separately(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	for (int i = 0; i < 5; i++) {
		c = call_endpoint(&f, "", POST_ONCE);
		UNTIL(&f, f.eps[0].requests == i + 1);
		f.clock.fake_ms += 1500;
		endpoint_send(&f, 0, OK_TEXT);
		UNTIL(&f, received_ends_with(c, "hello"));
	}
	for (int i = 0; i < 40; i++)
		serve_plain(&f, 20);
	gate_drain(f.gate, f.clock.fake_ms + 600);
	c = call_endpoint(&f, "", POST_ONCE);
	UNTIL(&f, has_received(c, REFUSED));
	assert_int_equal(f.eps[0].requests, 45);
	fix_close(&f);
}

/* Failure: a stream is started and cut because the few that have completed were
 * shorter. */
static void few_short_streams_dont_predict_the_next(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	for (int i = 0; i < ENOUGH_STREAMS - 1; i++) {
		c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
		UNTIL(&f, f.eps[0].requests == i + 1);
		send_events(&f, c, 1, 10, FAST_MS);
		send_stream_end(&f, c);
	}
	/* Enough for three times as many events, but not for all of them. */
	gate_drain(f.gate, f.clock.fake_ms + 30 * FAST_MS);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
	UNTIL(&f, has_received(c, REFUSED));
	assert_int_equal(f.eps[0].requests, ENOUGH_STREAMS - 1);
	fix_close(&f);
}

/* One unusual answer, two events for one token, doesn't lengthen the prediction
 * for all others. */
static void unusual_stream_refuses_no_others(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	measure_fast_engine(&f);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "1"));
	UNTIL(&f, f.eps[0].requests == ENOUGH_STREAMS + 1);
	send_events(&f, c, 1, 2, FAST_MS);
	send_stream_end(&f, c);
	gate_drain(f.gate, f.clock.fake_ms + 4000);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "100"));
	UNTIL(&f, f.eps[0].requests == ENOUGH_STREAMS + 2);
	send_events(&f, c, 1, EVENTS_FOR(100), FAST_MS);
	send_stream_end(&f, c);
	fix_close(&f);
}

/* A process that has seen only a part of one stream still starts short streams:
 * an event holds at least one token. */
static void short_stream_is_started_where_none_has_completed(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, EVENTS, false, false);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
	UNTIL(&f, f.eps[0].requests == 1);
	send_events(&f, c, 1, 20, FAST_MS);
	gate_drain(f.gate, f.clock.fake_ms + 7900);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "12"));
	UNTIL(&f, f.eps[0].requests == 2);
	send_events(&f, c, 1, EVENTS_FOR(12), FAST_MS);
	send_stream_end(&f, c);
	fix_close(&f);
}

#define POST_ADAPTER                                                           \
	REQ("POST", "/chat/x")                                                 \
	"X-Model: m/a1\r\nX-Token-Usage: 9,100\r\nContent-Length: 0\r\n\r\n"

/*
 * Failure: a request whose agent never answers waits for its adapter until the
 * process ends and is refused only then, too late to be served elsewhere. The
 * time left wasn't checked again while it waited.
 */
static void adapter_wait_ends_while_others_can_serve(void **state)
{
	struct caller *c;
	struct fix f;
	int64_t end;

	(void)state;
	fix_open(&f, "lm", "m");
	measure_fast_engine(&f);
	f.agents = true;
	end = f.clock.fake_ms + 1500;
	gate_drain(f.gate, end);
	c = call_endpoint(&f, "m", POST_ADAPTER);
	UNTIL(&f, f.asked);
	while (!has_received(c, "HTTP/1.1 503 ") && f.clock.fake_ms < end) {
		f.clock.fake_ms += 10;
		run_loop_once(&f);
		run_loop_once(&f);
	}
	assert_true(has_received(c, "not_run"));
	assert_true(end - f.clock.fake_ms > 500);
	fix_close(&f);
}

/*
 * Failure: a draining endpoint gets new work. It is reported as draining while
 * it loads an adapter for a request, and the request is sent to it after the
 * load: the endpoint was checked only when it was chosen.
 */
static void loaded_adapter_doesnt_lead_to_a_draining_endpoint(void **state)
{
	struct held_model held = { .model = SS_LIT("m") };
	struct fleet_endpoint e = { .service = SS_LIT("lm"),
				    .domain = SS_LIT("here"),
				    .slots = 8,
				    .unusable = true,
				    .held = { &held, 1 } };
	struct msg_fleet m = { .fence = 1, .endpoints = { &e, 1 } };
	struct msg_adapter_done done = { 0 };
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	measure_fast_engine(&f);
	f.agents = true;
	call_endpoint(&f, "m", POST_ADAPTER);
	UNTIL(&f, f.asked);
	done.sub = f.asked;
	e.addr = ss_str(f.eps[0].addr);
	e.id = ss_str(f.eps[0].id);
	gate_fleet_received(f.gate, &m);
	gate_adapter_done(f.gate, &done);
	/* The adapter is requested at another endpoint. */
	UNTIL(&f, f.asked != done.sub);
	assert_int_equal(f.eps[0].requests, ENOUGH_STREAMS);
	fix_close(&f);
}

/* The prediction leaves a margin, so that no stream is cut when an engine fills
 * up while the gate drains. */
static void stream_that_just_fits_isnt_started_while_draining(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	measure_fast_engine(&f);
	/* All streams have taken the same time, so the next is predicted to end
	 * a tenth of its duration before the process does. */
	gate_drain(f.gate,
		   f.clock.fake_ms + EVENTS_FOR(300) * FAST_MS * 11 / 10);
	c = call_endpoint(&f, "m", STREAM("/chat/x", "300"));
	UNTIL(&f, has_received(c, REFUSED));
	assert_true(has_received(c, "not_run"));
	assert_int_equal(f.eps[0].requests, ENOUGH_STREAMS);
	fix_close(&f);
}

struct close_case {
	const char *label;
	bool kept;   /* its connection has served a request before */
	int rounds;  /* of the event loop, from its connection to the close */
	bool silent; /* it sends its request only after the close */
};

static const struct close_case closes[] = {
	{ "not yet accepted", false, 0, false },
	{ "connected, sent after the close", false, 1, true },
	{ "on a kept connection", true, 0, false },
};

/* A request that was sent before the gate closes its listener is answered. */
static void request_sent_before_the_close_is_answered(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(closes); i++) {
		const struct close_case *k = &closes[i];
		struct caller *c;
		struct fix f;

		fix_open(&f, "web", "");
		for (int n = 0; n < 30; n++)
			serve_plain(&f, 20);
		c = call_endpoint(&f, "", k->silent ? "" : GET_SAFE);
		if (k->kept) {
			UNTIL(&f, f.eps[0].requests == 31);
			endpoint_send(&f, 0, OK_TEXT);
			UNTIL(&f, received_ends_with(c, "hello"));
			g_string_truncate(c->got, 0);
		}
		gate_drain(f.gate, f.clock.fake_ms + 4000);
		for (int n = 0; n < k->rounds; n++)
			run_loop_once(&f);
		if (k->kept)
			caller_send(c, GET_SAFE);
		assert_false(gate_close(f.gate));
		if (k->silent)
			caller_send(c, GET_SAFE);
		run_loop_once(&f);
		UNTIL(&f,
		      (gate_close(f.gate), f.eps[0].requests == 31 + k->kept));
		endpoint_send(&f, 0, OK_TEXT);
		UNTIL(&f, received_ends_with(c, "hello"));
		UNTIL(&f, gate_close(f.gate));
		fix_close(&f);
	}
}

/* A connection that sends no request doesn't delay the end of draining. */
static void silent_connection_doesnt_delay_the_stop(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	c = call_endpoint(&f, "", "");
	gate_drain(f.gate, f.clock.fake_ms + 4000);
	for (int i = 0; i < 3; i++)
		run_loop_once(&f);
	assert_false(gate_close(f.gate));
	f.clock.fake_ms += 1000;
	UNTIL(&f, gate_close(f.gate) && c->ended);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			stream_that_just_fits_isnt_started_while_draining),
		cmocka_unit_test(request_sent_before_the_close_is_answered),
		cmocka_unit_test(silent_connection_doesnt_delay_the_stop),
		cmocka_unit_test(long_stream_isnt_started_while_draining),
		cmocka_unit_test(
			waiting_stream_isnt_started_late_while_draining),
		cmocka_unit_test(
			unmeasured_engine_starts_nothing_long_while_draining),
		cmocka_unit_test(slow_stream_isnt_started_while_draining),
		cmocka_unit_test(slow_plain_answer_isnt_started_while_draining),
		cmocka_unit_test(short_stream_is_started_while_draining),
		cmocka_unit_test(slowdown_of_running_streams_counts),
		cmocka_unit_test(late_adapter_starts_no_stream_while_draining),
		cmocka_unit_test(unmeasured_model_is_taken_for_a_slow_one),
		cmocka_unit_test(slow_endpoint_is_measured_separately),
		cmocka_unit_test(running_streams_count_for_the_length),
		cmocka_unit_test(running_stream_isnt_taken_for_a_complete_one),
		cmocka_unit_test(caller_that_leaves_gives_no_measurement),
		cmocka_unit_test(silence_counts_while_draining),
		cmocka_unit_test(slow_route_is_measured_separately),
		cmocka_unit_test(few_short_streams_dont_predict_the_next),
		cmocka_unit_test(unusual_stream_refuses_no_others),
		cmocka_unit_test(
			short_stream_is_started_where_none_has_completed),
		cmocka_unit_test(adapter_wait_ends_while_others_can_serve),
		cmocka_unit_test(
			loaded_adapter_doesnt_lead_to_a_draining_endpoint),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
