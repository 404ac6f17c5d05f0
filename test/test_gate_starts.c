/* How many prompts a gate lets an engine prefill at a time. */
#include "gate_fix.h"

#include "../src/base/metrics.h"

/* Settings of the routes below, and the waits that follow from them. */
#define PAUSE_MS 250
#define OBJECTIVE_MS 400
#define WAIT_MS (OBJECTIVE_MS / 4)
#define REMAINING_MS (WAIT_MS / 2)

#define CHAT STREAM("/quick/x", "100")
#define FIRST_EVENT "a\r\nid: 1\ndata: e1\n\n\r\n"

/* Routes to one model: chats, streams with a long objective, resumable streams,
 * and streams whose route states no pause limit. */
static const char routes_json[] =
	"{\"version\":2,\"routes\":["
	"{\"name\":\"quick\",\"host\":\"h\",\"prefix\":\"/quick/\","
	"\"type\":\"stream\",\"timeoutMs\":9000,\"goalMs\":400,"
	"\"itlTargetMs\":250,\"attempts\":1,\"service\":\"lm\"},"
	"{\"name\":\"slow\",\"host\":\"h\",\"prefix\":\"/slow/\","
	"\"type\":\"stream\",\"timeoutMs\":9000,\"goalMs\":4000,"
	"\"itlTargetMs\":250,\"attempts\":1,\"service\":\"lm\"},"
	"{\"name\":\"again\",\"host\":\"h\",\"prefix\":\"/again/\","
	"\"type\":\"stream\",\"timeoutMs\":9000,\"goalMs\":400,"
	"\"itlTargetMs\":250,\"attempts\":2,\"resumable\":true,"
	"\"service\":\"lm\"},"
	"{\"name\":\"free\",\"host\":\"h\",\"prefix\":\"/free/\","
	"\"type\":\"stream\",\"timeoutMs\":9000,\"goalMs\":400,"
	"\"attempts\":1,\"service\":\"lm\"}],"
	"\"services\":[{\"name\":\"lm\",\"engine\":{\"slots\":8,"
	"\"weightsMb\":80,\"models\":[{\"name\":\"m\",\"weightsMb\":30,"
	"\"loadS\":6}]}}],"
	"\"limits\":{\"maxHeaderBytes\":2048,\"maxBodyBytes\":4096,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static void open_routes(struct fix *f, bool only_engine)
{
	fix_open_fresh(f);
	set_routing(f, routes_json);
	f->at = 0;
	f->eps[1].empty = only_engine;
	for (int i = 0; i < ENDPOINTS; i++)
		script_answer(f, i, EVENTS, false, false);
	report_fleet(f, "lm", "m");
}

static int64_t metric(struct fix *f, const char *name)
{
	return (int64_t)*metrics_value(f->metrics, name, "");
}

/* Runs a stream whose second event comes pause_ms after its first. */
static void run_stream(struct fix *f, const char *request, int64_t first_ms,
		       int64_t pause_ms)
{
	int before = f->eps[0].requests;
	struct caller *c = call(f, request);

	UNTIL(f, f->eps[0].requests == before + 1);
	send_events(f, c, 1, 1, first_ms);
	send_events(f, c, 2, 2, pause_ms);
	send_stream_end(f, c);
}

/* The first engine may prefill only one prompt at a time. */
static void open_limited(struct fix *f, bool only_engine)
{
	open_routes(f, only_engine);
	for (int i = 0; i < 6; i++)
		run_stream(f, CHAT, 50, PAUSE_MS + 1);
	assert_int_equal(metric(f, "ss_gate_start_cuts_total"), 1);
	report_fleet(f, "lm", "m");
}

static int count_sent(const struct fix *f)
{
	return f->eps[0].requests + f->eps[1].requests;
}

static void settle(struct fix *f)
{
	for (int i = 0; i < 20; i++)
		run_loop_once(f);
}

/* Calls with a request that must not be sent within some rounds of the loop. */
static struct caller *call_held(struct fix *f, const char *request)
{
	int before = count_sent(f);
	struct caller *c = call(f, request);

	settle(f);
	assert_int_equal(count_sent(f), before);
	return c;
}

static struct caller *call_sent(struct fix *f, const char *request)
{
	int before = count_sent(f);
	struct caller *c = call(f, request);

	UNTIL(f, count_sent(f) == before + 1);
	return c;
}

/* Advances the clock, and checks how many more requests are sent by then. */
static void advance(struct fix *f, int64_t ms, int more)
{
	int before = count_sent(f);

	f->clock.fake_ms += ms;
	settle(f);
	assert_int_equal(count_sent(f), before + more);
}

/* Guards against a burst of prompts that are prefilled together, which makes
 * the running streams pause. */
static void prompt_waits_for_the_previous_one(void **state)
{
	struct caller *first;
	struct fix f;

	(void)state;
	open_limited(&f, true);
	first = call_sent(&f, CHAT);
	call_held(&f, CHAT);
	call_held(&f, CHAT);
	assert_int_equal(metric(&f, "ss_gate_start_waits_total"), 1);
	send_events(&f, first, 1, 1, 20);
	settle(&f);
	assert_int_equal(count_sent(&f), 8);
	fix_close(&f);
}

/* Guards against callers that wait without bound for an engine that sends
 * nothing. */
static void wait_is_bounded(void **state)
{
	struct fix f;

	(void)state;
	open_limited(&f, true);
	call_sent(&f, CHAT);
	call_held(&f, CHAT);
	advance(&f, WAIT_MS - 1, 0);
	call_held(&f, CHAT);
	advance(&f, 1, 1);
	/* The request behind it is sent after its own wait. */
	advance(&f, WAIT_MS - 2, 0);
	advance(&f, 1, 1);
	fix_close(&f);
}

/* Guards against a request that misses its objective only because it waited. */
static void wait_makes_no_request_late(void **state)
{
	struct fix f;

	(void)state;
	open_limited(&f, true);
	for (int i = 0; i < 60; i++)
		run_stream(&f, CHAT, OBJECTIVE_MS - REMAINING_MS, 1);
	report_fleet(&f, "lm", "m");
	/* The limit has grown by one. */
	call_sent(&f, CHAT);
	call_sent(&f, CHAT);
	call_held(&f, CHAT);
	advance(&f, REMAINING_MS, 1);
	fix_close(&f);
}

/* Guards against a request with a long objective that holds up those behind it
 * with a short one, or with no need to wait. */
static void patient_request_delays_no_other(void **state)
{
	struct fix f;

	(void)state;
	open_limited(&f, true);
	call_sent(&f, CHAT);
	call_held(&f, STREAM("/slow/x", "100"));
	call_sent(&f, STREAM("/free/x", "100"));
	call_held(&f, CHAT);
	advance(&f, WAIT_MS, 1);
	advance(&f, 1000 - WAIT_MS, 1);
	fix_close(&f);
}

/* Guards against a request that waits although another engine has its model and
 * room. */
static void other_engine_with_room_is_used(void **state)
{
	struct fix f;

	(void)state;
	open_limited(&f, false);
	call_sent(&f, CHAT);
	call_sent(&f, CHAT);
	assert_int_equal(f.eps[1].requests, 1);
	assert_int_equal(metric(&f, "ss_gate_start_waits_total"), 0);
	fix_close(&f);
}

/* Guards against a start limit for engines without long pauses, or for routes
 * without a pause limit. */
static void no_limit_without_long_pauses(void **state)
{
	static const char *const requests[] = { CHAT,
						STREAM("/free/x", "100") };

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(requests); k++) {
		struct fix f;

		open_routes(&f, true);
		for (int i = 0; i < 4; i++)
			run_stream(&f, requests[k], OBJECTIVE_MS + 100,
				   k ? PAUSE_MS * 4 : PAUSE_MS);
		report_fleet(&f, "lm", "m");
		for (int i = 0; i < 8; i++)
			call_sent(&f, requests[k]);
		assert_int_equal(f.eps[0].requests, 12);
		assert_int_equal(metric(&f, "ss_gate_start_cuts_total"), 0);
		assert_int_equal(metric(&f, "ss_gate_start_waits_total"), 0);
		fix_close(&f);
	}
}

/* How a request can end while its prompt is prefilled. */
enum ending {
	CALLER_LEAVES,
	CLOSED,
	REJECTED,
	FAILS,
	TIMES_OUT,
	IS_RESUMED,
	LEAVES_IN_QUEUE
};

static const struct {
	const char *label;
	enum ending ending;
	const char *answer;
} endings[] = {
	{ "its caller leaves", CALLER_LEAVES, NULL },
	{ "the connection is closed", CLOSED, "" },
	{ "the engine rejects it", REJECTED,
	  "HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n"
	  "Content-Length: 0\r\n\r\n" },
	{ "the engine fails", FAILS,
	  "HTTP/1.1 500 No\r\n" HEAD "Content-Length: 0\r\n\r\n" },
	{ "it times out", TIMES_OUT, NULL },
	{ "its stream is broken off and resumed", IS_RESUMED, NULL },
	{ "its caller leaves while it waits", LEAVES_IN_QUEUE, NULL },
};

/* Ends the newest request on the first engine. */
static void end_request(struct fix *f, enum ending how, struct caller *c)
{
	switch (how) {
	case CALLER_LEAVES:
		caller_leave(c);
		break;
	case REJECTED:
		/* The request waits again. */
		settle(f);
		caller_leave(c);
		break;
	case LEAVES_IN_QUEUE:
		caller_leave(call_held(f, CHAT));
		caller_leave(c);
		break;
	case TIMES_OUT:
		f->clock.fake_ms += 9000;
		break;
	case IS_RESUMED:
		send_events(f, c, 1, 1, 20);
		reset_oldest(f, 0);
		settle(f);
		/* The resumed stream's prompt is prefilled again. */
		call_held(f, CHAT);
		advance(f, WAIT_MS, 1);
		while (reset_oldest(f, 0))
			continue;
		break;
	default:
		break;
	}
}

/* Guards against a count of prompts in prefill that isn't decremented when a
 * request ends, so that an idle engine gets none; or is decremented twice. */
static void prefill_count_is_right_after_every_ending(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(endings); k++) {
		struct endpoint *e;
		struct caller *c;
		struct fix f;

		print_message("%s\n", endings[k].label);
		open_limited(&f, true);
		e = &f.eps[0];
		e->replies[0].text = endings[k].answer;
		if (endings[k].ending == IS_RESUMED)
			e->replies[0].text = EVENTS;
		c = call_sent(&f, endings[k].ending == IS_RESUMED ?
					  STREAM("/again/x", "100") :
					  CHAT);
		end_request(&f, endings[k].ending, c);
		settle(&f);
		e->replies[0].text = EVENTS;
		report_fleet(&f, "lm", "m");
		f.clock.fake_ms += 2000;
		settle(&f);
		call_sent(&f, CHAT);
		/* After a timeout the expected time to a first event
		 * leaves no time to wait. */
		if (endings[k].ending != TIMES_OUT)
			call_held(&f, CHAT);
		fix_close(&f);
	}
}

/* Guards against a restarted engine to which the limit or the pending prompts
 * of its former incarnation still apply. */
static void new_incarnation_has_no_limit(void **state)
{
	struct fix f;

	(void)state;
	open_limited(&f, true);
	f.eps[0].started_ms = 1000;
	report_fleet(&f, "lm", "m");
	call_sent(&f, CHAT);
	crash_endpoint(&f, 0);
	start_endpoint(&f, 0);
	f.eps[0].started_ms = 2000;
	f.clock.fake_ms += 2000;
	report_fleet(&f, "lm", "m");
	settle(&f);
	for (int i = 0; i < 5; i++)
		call_sent(&f, CHAT);
	fix_close(&f);
}

/* Guards against the time that it takes to resume a stream counting as a pause
 * of the engine that resumes it. */
static void resumption_does_not_count_as_pause(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_routes(&f, true);
	c = call_sent(&f, STREAM("/again/x", "100"));
	send_events(&f, c, 1, 1, 20);
	reset_oldest(&f, 0);
	UNTIL(&f, count_sent(&f) == 2);
	send_events(&f, c, 2, 2, PAUSE_MS + 1);
	assert_int_equal(metric(&f, "ss_gate_start_cuts_total"), 0);
	send_events(&f, c, 3, 3, PAUSE_MS + 1);
	assert_int_equal(metric(&f, "ss_gate_start_cuts_total"), 1);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(prompt_waits_for_the_previous_one),
		cmocka_unit_test(wait_is_bounded),
		cmocka_unit_test(wait_makes_no_request_late),
		cmocka_unit_test(patient_request_delays_no_other),
		cmocka_unit_test(other_engine_with_room_is_used),
		cmocka_unit_test(no_limit_without_long_pauses),
		cmocka_unit_test(prefill_count_is_right_after_every_ending),
		cmocka_unit_test(new_incarnation_has_no_limit),
		cmocka_unit_test(resumption_does_not_count_as_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
