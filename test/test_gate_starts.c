/* How many prompts a gate lets an engine read at a time. */
#include "gate_fix.h"

#include "../src/base/metrics.h"

/* As the routes say below, in ms. */
#define PAUSE_MS 250
#define OBJECTIVE_MS 400
#define SHARE_MS (OBJECTIVE_MS / 4)
#define LEFT_MS (SHARE_MS / 2)

#define CHAT STREAM("/quick/x", "100")
#define FIRST_EVENT "a\r\nid: 1\ndata: e1\n\n\r\n"

/* Of one model: chats, reports with much more time, resumable streams, and
 * streams whose route states no pause limit. */
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

static void routes_open(struct fix *f, bool alone)
{
	fix_open_fresh(f);
	set_routing(f, routes_json);
	f->at = 0;
	f->eps[1].empty = alone;
	for (int i = 0; i < ENDPOINTS; i++)
		script(f, i, EVENTS, false, false);
	tell_fleet(f, "lm", "m");
}

static int64_t count(struct fix *f, const char *name)
{
	return (int64_t)*metrics_value(f->metrics, name, "");
}

/* A stream whose second event comes so long after its first. */
static void carry(struct fix *f, const char *request, int64_t first_ms,
		  int64_t pause_ms)
{
	int before = f->eps[0].requests;
	struct caller *c = call(f, request);

	UNTIL(f, f->eps[0].requests == before + 1);
	say_events(f, c, 1, 1, first_ms);
	say_events(f, c, 2, 2, pause_ms);
	say_end(f, c);
}

/* One prompt at a time may be read by the first engine. */
static void limited_open(struct fix *f, bool alone)
{
	routes_open(f, alone);
	for (int i = 0; i < 6; i++)
		carry(f, CHAT, 50, PAUSE_MS + 1);
	assert_int_equal(count(f, "ss_gate_start_cuts_total"), 1);
	tell_fleet(f, "lm", "m");
}

static int sent(const struct fix *f)
{
	return f->eps[0].requests + f->eps[1].requests;
}

static void settle(struct fix *f)
{
	for (int i = 0; i < 20; i++)
		turn(f);
}

/* A request that isn't sent within some rounds of the loop. */
static struct caller *call_held(struct fix *f, const char *request)
{
	int before = sent(f);
	struct caller *c = call(f, request);

	settle(f);
	assert_int_equal(sent(f), before);
	return c;
}

static struct caller *call_sent(struct fix *f, const char *request)
{
	int before = sent(f);
	struct caller *c = call(f, request);

	UNTIL(f, sent(f) == before + 1);
	return c;
}

/* Time passes; so many more requests are sent by its end. */
static void pass(struct fix *f, int64_t ms, int more)
{
	int before = sent(f);

	f->clock.fake_ms += ms;
	settle(f);
	assert_int_equal(sent(f), before + more);
}

/* Failure: prompts of a burst are read together, and the streams pause. */
static void prompt_waits_for_the_one_before(void **state)
{
	struct caller *first;
	struct fix f;

	(void)state;
	limited_open(&f, true);
	first = call_sent(&f, CHAT);
	call_held(&f, CHAT);
	call_held(&f, CHAT);
	assert_int_equal(count(&f, "ss_gate_start_waits_total"), 1);
	say_events(&f, first, 1, 1, 20);
	settle(&f);
	assert_int_equal(sent(&f), 8);
	fix_close(&f);
}

/* Failure: an engine that says nothing for a while makes callers wait. */
static void wait_is_bounded(void **state)
{
	struct fix f;

	(void)state;
	limited_open(&f, true);
	call_sent(&f, CHAT);
	call_held(&f, CHAT);
	pass(&f, SHARE_MS - 1, 0);
	call_held(&f, CHAT);
	pass(&f, 1, 1);
	/* The one behind it, by its own time. */
	pass(&f, SHARE_MS - 2, 0);
	pass(&f, 1, 1);
	fix_close(&f);
}

/* Failure: a request that would have begun in time is late as it waited. */
static void wait_makes_no_request_late(void **state)
{
	struct fix f;

	(void)state;
	limited_open(&f, true);
	for (int i = 0; i < 60; i++)
		carry(&f, CHAT, OBJECTIVE_MS - LEFT_MS, 1);
	tell_fleet(&f, "lm", "m");
	/* The limit has grown by one. */
	call_sent(&f, CHAT);
	call_sent(&f, CHAT);
	call_held(&f, CHAT);
	pass(&f, LEFT_MS, 1);
	fix_close(&f);
}

/* Failure: one with much time holds up those behind it who have little, or who
 * needn't wait at all. */
static void patient_request_holds_up_nobody(void **state)
{
	struct fix f;

	(void)state;
	limited_open(&f, true);
	call_sent(&f, CHAT);
	call_held(&f, STREAM("/slow/x", "100"));
	call_sent(&f, STREAM("/free/x", "100"));
	call_held(&f, CHAT);
	pass(&f, SHARE_MS, 1);
	pass(&f, 1000 - SHARE_MS, 1);
	fix_close(&f);
}

/* Failure: a request waits though another engine has its model and room. */
static void other_engine_with_room_is_used(void **state)
{
	struct fix f;

	(void)state;
	limited_open(&f, false);
	call_sent(&f, CHAT);
	call_sent(&f, CHAT);
	assert_int_equal(f.eps[1].requests, 1);
	assert_int_equal(count(&f, "ss_gate_start_waits_total"), 0);
	fix_close(&f);
}

/* Failure: engines that keep up, or routes without a pause limit, are served in
 * another way than before. */
static void served_as_before_without_long_pauses(void **state)
{
	static const char *const requests[] = { CHAT,
						STREAM("/free/x", "100") };

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(requests); k++) {
		struct fix f;

		routes_open(&f, true);
		for (int i = 0; i < 4; i++)
			carry(&f, requests[k], OBJECTIVE_MS + 100,
			      k ? PAUSE_MS * 4 : PAUSE_MS);
		tell_fleet(&f, "lm", "m");
		for (int i = 0; i < 8; i++)
			call_sent(&f, requests[k]);
		assert_int_equal(f.eps[0].requests, 12);
		assert_int_equal(count(&f, "ss_gate_start_cuts_total"), 0);
		assert_int_equal(count(&f, "ss_gate_start_waits_total"), 0);
		fix_close(&f);
	}
}

/* How a request can end whose prompt is read. */
enum end { LEAVES, CLOSED, TURNED_AWAY, FAILS, TIME_IS_UP, RESUMES, IN_WAIT };

static const struct {
	const char *label;
	enum end end;
	const char *answer;
} ends_of[] = {
	{ "its caller leaves", LEAVES, NULL },
	{ "the connection ends", CLOSED, "" },
	{ "the engine turns it away", TURNED_AWAY,
	  "HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n"
	  "Content-Length: 0\r\n\r\n" },
	{ "the engine fails", FAILS,
	  "HTTP/1.1 500 No\r\n" HEAD "Content-Length: 0\r\n\r\n" },
	{ "its time is up", TIME_IS_UP, NULL },
	{ "its stream breaks off and is resumed", RESUMES, NULL },
	{ "its caller leaves while it waits", IN_WAIT, NULL },
};

/* Makes the newest request on the first engine end. */
static void end_by(struct fix *f, enum end how, struct caller *c)
{
	switch (how) {
	case LEAVES:
		leave(c);
		break;
	case TURNED_AWAY:
		/* It waits for a place again. */
		settle(f);
		leave(c);
		break;
	case IN_WAIT:
		leave(call_held(f, CHAT));
		leave(c);
		break;
	case TIME_IS_UP:
		f->clock.fake_ms += 9000;
		break;
	case RESUMES:
		say_events(f, c, 1, 1, 20);
		reset_oldest(f, 0);
		settle(f);
		/* Its prompt is read again. */
		call_held(f, CHAT);
		pass(f, SHARE_MS, 1);
		while (reset_oldest(f, 0))
			continue;
		break;
	default:
		break;
	}
}

/* Failure: the count of prompts under way stays up after a request has ended,
 * and an idle engine is passed by for ever; or it falls too far. */
static void count_survives_every_end(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(ends_of); k++) {
		struct endpoint *e;
		struct caller *c;
		struct fix f;

		print_message("%s\n", ends_of[k].label);
		limited_open(&f, true);
		e = &f.eps[0];
		e->replies[0].text = ends_of[k].answer;
		if (ends_of[k].end == RESUMES)
			e->replies[0].text = EVENTS;
		c = call_sent(&f, ends_of[k].end == RESUMES ?
					  STREAM("/again/x", "100") :
					  CHAT);
		end_by(&f, ends_of[k].end, c);
		settle(&f);
		e->replies[0].text = EVENTS;
		tell_fleet(&f, "lm", "m");
		f.clock.fake_ms += 2000;
		settle(&f);
		call_sent(&f, CHAT);
		/* After a first event that took all its time none waits. */
		if (ends_of[k].end != TIME_IS_UP)
			call_held(&f, CHAT);
		fix_close(&f);
	}
}

/* Failure: an engine that has restarted is held to its former life's limit, or
 * to calls that ended with it. */
static void new_incarnation_has_no_limit(void **state)
{
	struct fix f;

	(void)state;
	limited_open(&f, true);
	f.eps[0].started_ms = 1000;
	tell_fleet(&f, "lm", "m");
	call_sent(&f, CHAT);
	end_endpoint(&f, 0);
	start_endpoint(&f, 0);
	f.eps[0].started_ms = 2000;
	f.clock.fake_ms += 2000;
	tell_fleet(&f, "lm", "m");
	settle(&f);
	for (int i = 0; i < 5; i++)
		call_sent(&f, CHAT);
	fix_close(&f);
}

/* Failure: the time that a stream needed to be resumed counts as a pause of the
 * engine that resumed it. */
static void resumed_stream_is_no_pause(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	routes_open(&f, true);
	c = call_sent(&f, STREAM("/again/x", "100"));
	say_events(&f, c, 1, 1, 20);
	reset_oldest(&f, 0);
	UNTIL(&f, sent(&f) == 2);
	say_events(&f, c, 2, 2, PAUSE_MS + 1);
	assert_int_equal(count(&f, "ss_gate_start_cuts_total"), 0);
	say_events(&f, c, 3, 3, PAUSE_MS + 1);
	assert_int_equal(count(&f, "ss_gate_start_cuts_total"), 1);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(prompt_waits_for_the_one_before),
		cmocka_unit_test(wait_is_bounded),
		cmocka_unit_test(wait_makes_no_request_late),
		cmocka_unit_test(patient_request_holds_up_nobody),
		cmocka_unit_test(other_engine_with_room_is_used),
		cmocka_unit_test(served_as_before_without_long_pauses),
		cmocka_unit_test(count_survives_every_end),
		cmocka_unit_test(new_incarnation_has_no_limit),
		cmocka_unit_test(resumed_stream_is_no_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
