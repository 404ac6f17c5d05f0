/* Tests the quarantine of requests that endpoints crash on. */
#include "gate_fix.h"

#include "../src/core/crash_log.h"
#include "../src/core/suspects.h"

/* A request with other content for the same model. */
#define OTHER_CHAT                                                             \
	REQ("POST", "/chat/x") "X-Model: m\r\nContent-Length: 2\r\n\r\nho"
#define COMPLETE_STREAM EVENTS "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
#define FIRST_EVENT EVENTS "f\r\nid: 1\ndata: a\n\n\r\n"

static struct fingerprint post_fingerprint(const char *path)
{
	return fingerprint_of(SS_LIT("POST"), SS_LIT("h"), ss_str(path),
			      SS_LIT("hi"));
}

static void run_loop(struct fix *f, int n)
{
	while (n-- > 0)
		run_loop_once(f);
}

static int requests(const struct fix *f)
{
	return f->eps[0].requests + f->eps[1].requests;
}

static uint64_t metric(struct fix *f, const char *name)
{
	return *metrics_value(f->metrics, name, "");
}

/* Numbers of outcomes, by kind, and of suspects that the gate has reported to
 * its leader. */
struct reported {
	int crashes, answered, inconclusive, suspects;
};

/* Takes the reports that are due; if sent is false, sending the first fails. */
static void take_reports(struct fix *f, struct reported *t, bool sent)
{
	struct gate_crash_report r;

	while (gate_crash_report(f->gate, &r)) {
		const struct run_outcome_item *x = r.m.outcomes.items;

		for (size_t i = 0; i < r.m.outcomes.n; i++) {
			t->crashes += x[i].kind == OUTCOME_CRASHED;
			t->answered += x[i].kind == OUTCOME_ANSWERED;
			t->inconclusive += x[i].kind == OUTCOME_INCONCLUSIVE;
		}
		t->suspects += (int)r.m.suspects.n;
		gate_crash_report_done(f->gate, &r, sent);
		if (!sent)
			return;
	}
}

/* Sends the gate the leader's state of the request with this path. */
static void send_suspect(struct fix *f, uint64_t fence, const char *path,
			 int64_t left_ms, bool cleared)
{
	struct fingerprint p = post_fingerprint(path);
	struct suspect_item x = { p.hi, p.lo, cleared, left_ms, 0 };
	struct msg_quarantine m = { .fence = fence, .suspects = { &x, 1 } };

	gate_quarantine_received(f->gate, &m);
}

/* Sends a request that crashes its endpoint, and restarts the endpoint. */
static void send_and_crash(struct fix *f, const char *text)
{
	uint64_t crashes = metric(f, "ss_gate_endpoints_ended_total");
	int before = f->eps[f->at].requests;
	struct caller *c = call_endpoint(f, "m", text);

	UNTIL(f, f->eps[f->at].requests == before + 1);
	crash_endpoint(f, f->at);
	UNTIL(f, has_received(c, "HTTP/1.1 502 "));
	UNTIL(f, metric(f, "ss_gate_endpoints_ended_total") == crashes + 1);
	start_endpoint(f, f->at);
}

/* Sets the answer that the endpoint gives from now on. */
static void set_answer(struct fix *f, int i, const char *text)
{
	f->eps[i].n_replies = 0;
	script_answer(f, i, text, false, false);
}

/*
 * Failure: one endpoint after the other crashes, and each crash cuts the
 * answers of all other callers there. A request that crashes its endpoint is
 * repeated under new ids, and the entry takes each for a new request. After the
 * third crash it is to be refused at once, with the time until its trial run;
 * other requests aren't.
 */
static void third_crash_quarantines_a_request(void **state)
{
	struct caller *c, *other;
	struct fix f;
	int before;

	(void)state;
	fix_open(&f, "lm", "m");
	for (int i = 0; i < SUSPECT_CRASH_THRESHOLD; i++)
		send_and_crash(&f, POST_CHAT);
	before = requests(&f);
	script_answer(&f, 0, COMPLETE_STREAM, false, false);
	c = call_endpoint(&f, "m", POST_CHAT);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "Retry-After: 600.000"));
	assert_true(has_received(c, "\"not_run\""));
	assert_int_equal(requests(&f), before);
	set_answer(&f, 0, COMPLETE_STREAM);
	other = call_endpoint(&f, "m", OTHER_CHAT);
	UNTIL(&f, received_ends_with(other, "0\r\n\r\n"));
	fix_close(&f);
}

enum ending { BROKEN_OFF, RESET, PLANNED, LEFT };

/*
 * Connections also end without a crash: an answer breaks off, a connection is
 * reset by the network, a draining endpoint stops as planned, the caller leaves
 * first. Such a request is still sent.
 */
static void other_ends_arent_crashes(void **state)
{
	static const enum ending cases[] = { BROKEN_OFF, RESET, PLANNED, LEFT };

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		struct reported t = { 0 };
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		f.eps[1].empty = true;
		if (cases[k] == BROKEN_OFF)
			script_answer(&f, 0, FIRST_EVENT, true, false);
		if (cases[k] == RESET)
			script_answer(&f, 0, FIRST_EVENT, false, true);
		for (int i = 0; i < SUSPECT_CRASH_THRESHOLD + 1; i++) {
			c = call_endpoint(&f, "m", POST_CHAT);
			UNTIL(&f, f.eps[0].requests == i + 1);
			if (cases[k] == PLANNED) {
				f.eps[0].leaving = true;
				report_fleet(&f, "lm", "m");
				crash_endpoint(&f, 0);
				UNTIL(&f, has_received(c, "HTTP/1.1 502 "));
				start_endpoint(&f, 0);
				f.eps[0].leaving = false;
			} else if (cases[k] == LEFT) {
				caller_leave(c);
				UNTIL(&f, f.eps[0].closed == i + 1);
				crash_endpoint(&f, 0);
				start_endpoint(&f, 0);
			} else {
				UNTIL(&f, c->ended);
			}
			/* Probes have been answered by then. */
			run_loop(&f, 5);
		}
		take_reports(&f, &t, true);
		assert_int_equal(t.crashes, 0);
		fix_close(&f);
	}
}

/*
 * A crash closes the connections of all requests that ran there: each distinct
 * request is reported once, and a request at another endpoint isn't.
 */
static void crash_is_reported_for_each_request(void **state)
{
	struct reported t = { 0 };
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	f.at = 1;
	call_endpoint(&f, "m",
		      REQ("POST",
			  "/chat/elsewhere") "X-Model: m\r\nContent-Length: "
					     "2\r\n\r\nhi");
	UNTIL(&f, f.eps[1].requests == 1);
	f.at = 0;
	call_endpoint(&f, "m", POST_CHAT);
	UNTIL(&f, f.eps[0].requests == 1);
	call_endpoint(&f, "m", OTHER_CHAT);
	UNTIL(&f, f.eps[0].requests == 2);
	call_endpoint(&f, "m", OTHER_CHAT);
	UNTIL(&f, f.eps[0].requests == 3);
	crash_endpoint(&f, 0);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_reports(&f, &t, true);
	assert_int_equal(t.crashes, 2);
	fix_close(&f);
}

/*
 * Guards against crashes that aren't counted, as a stream without a length or
 * chunks ends with its connection: one that ends inside an event was cut.
 */
static void crash_inside_an_event_is_reported(void **state)
{
	struct reported t = { 0 };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, COMPLETE_STREAM, false, false);
	script_answer(&f, 0,
		      "HTTP/1.1 200 OK\r\n" HEAD
		      "Content-Type: text/event-stream\r\n\r\n"
		      "id: 1\ndata: a\n\nid: 2\nd",
		      true, false);
	c = call_endpoint(&f, "m", OTHER_CHAT);
	UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
	/* The kept connection is used, and nothing listens after its close. */
	stop_listening(&f, 0);
	c = call_endpoint(&f, "m", POST_CHAT);
	UNTIL(&f, c->ended);
	assert_int_equal(f.eps[0].opened, 1);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_reports(&f, &t, true);
	assert_int_equal(t.crashes, 1);
	fix_close(&f);
}

/* A quarantine that the leader reports takes effect at once, also for requests
 * that wait. */
static void leaders_report_stops_a_request(void **state)
{
	struct caller *waits, *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "");
	waits = call(&f, POST_CHAT);
	UNTIL(&f, metric(&f, "ss_gate_waiting") == 1);
	send_suspect(&f, 1, "/chat/x", 300, false);
	UNTIL(&f, has_received(waits, "HTTP/1.1 503 "));
	assert_true(has_received(waits, "Retry-After: 0.300"));
	report_fleet(&f, "lm", "m");
	c = call(&f, POST_CHAT);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_int_equal(requests(&f), 0);
	/* A replaced leader can't clear the request, the new one can. */
	send_suspect(&f, 0, "/chat/x", 0, true);
	c = call(&f, POST_CHAT);
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	send_suspect(&f, 1, "/chat/x", 0, true);
	script_answer(&f, 0, COMPLETE_STREAM, false, false);
	c = call_endpoint(&f, "m", POST_CHAT);
	UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
	fix_close(&f);
}

static void answer_trial(struct fix *f, enum suspect_admission admission,
			 int64_t wait_ms)
{
	struct msg_trial m = f->trial;

	m.admission = admission;
	m.wait_ms = wait_ms;
	gate_trial_received(f->gate, &m);
}

/* After the quarantine period the gate asks the leader for a trial run, and
 * follows the reply. */
static void trial_is_requested(void **state)
{
	static const struct {
		bool leads, answers;
		enum suspect_admission admission;
		const char *status, *retry_after;
	} cases[] = {
		{ true, true, SUSPECT_TRIAL, "HTTP/1.1 200 ", "" },
		{ true, true, SUSPECT_FREE, "HTTP/1.1 200 ", "" },
		{ true, true, SUSPECT_WAIT, "HTTP/1.1 503 ",
		  "Retry-After: 7.000" },
		{ true, false, SUSPECT_WAIT, "HTTP/1.1 503 ",
		  "Retry-After: 2.000" },
		{ false, false, SUSPECT_WAIT, "HTTP/1.1 503 ",
		  "Retry-After: 2.000" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool runs = cases[i].admission != SUSPECT_WAIT;
		struct reported t = { 0 };
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		f.leads = cases[i].leads;
		send_suspect(&f, 1, "/chat/x", 0, false);
		script_answer(&f, 0, COMPLETE_STREAM, false, false);
		c = call_endpoint(&f, "m", POST_CHAT);
		UNTIL(&f, f.trial.sub);
		run_loop(&f, 3);
		assert_int_equal(requests(&f), 0);
		if (cases[i].answers)
			answer_trial(&f, cases[i].admission, 7000);
		else
			f.clock.fake_ms += 500;
		UNTIL(&f, has_received(c, cases[i].status) &&
				  has_received(c, cases[i].retry_after));
		UNTIL(&f, !runs || received_ends_with(c, "0\r\n\r\n"));
		run_loop(&f, 3);
		assert_int_equal(requests(&f), runs);
		take_reports(&f, &t, true);
		assert_int_equal(t.answered,
				 cases[i].admission == SUSPECT_TRIAL);
		assert_int_equal(t.inconclusive, 0);
		fix_close(&f);
	}
}

/*
 * Failure: a trial run crashes two endpoints. The stream may be resumed, so it
 * is sent again after the first crash. A trial runs at one endpoint only.
 */
static void trial_isnt_repeated(void **state)
{
	struct reported t = { 0 };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	f.leads = true;
	send_suspect(&f, 1, "/night/x", 0, false);
	c = call_endpoint(&f, "m", POST_NIGHT);
	UNTIL(&f, f.trial.sub);
	answer_trial(&f, SUSPECT_TRIAL, 0);
	UNTIL(&f, f.eps[0].requests == 1);
	crash_endpoint(&f, 0);
	UNTIL(&f, has_received(c, "HTTP/1.1 502 "));
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	assert_int_equal(requests(&f), 1);
	take_reports(&f, &t, true);
	assert_int_equal(t.crashes, 1);
	assert_int_equal(t.inconclusive, 0);
	fix_close(&f);
}

/* A trial run without a result is reported, so that it doesn't hold up others:
 * its caller leaves while it runs, or before it was allowed. */
static void trial_without_a_result_is_reported(void **state)
{
	(void)state;
	for (int runs = 0; runs < 2; runs++) {
		struct reported t = { 0 };
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		f.leads = true;
		send_suspect(&f, 1, "/chat/x", 0, false);
		c = call_endpoint(&f, "m", POST_CHAT);
		UNTIL(&f, f.trial.sub);
		if (runs) {
			answer_trial(&f, SUSPECT_TRIAL, 0);
			UNTIL(&f, f.eps[0].requests == 1);
		}
		caller_leave(c);
		UNTIL(&f, gate_busy(f.gate) == 0);
		if (!runs)
			answer_trial(&f, SUSPECT_TRIAL, 0);
		take_reports(&f, &t, true);
		assert_int_equal(t.inconclusive, 1);
		fix_close(&f);
	}
}

/*
 * Crashes are reported once to each leader: again where the message wasn't
 * sent, and to a new leader, together with the quarantined requests. What the
 * leader itself has reported isn't sent back.
 */
static void crashes_are_reported_to_each_leader(void **state)
{
	struct reported t = { 0 };
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	send_and_crash(&f, POST_CHAT);
	take_reports(&f, &t, false);
	take_reports(&f, &t, true);
	take_reports(&f, &t, true);
	assert_int_equal(t.crashes, 2);
	assert_int_equal(t.suspects, 0);
	send_suspect(&f, 1, "/night/x", 5000, false);
	take_reports(&f, &t, true);
	assert_int_equal(t.suspects, 0);
	gate_leader_found(f.gate);
	take_reports(&f, &t, true);
	assert_int_equal(t.crashes, 3);
	assert_int_equal(t.suspects, 1);
	/* Cleared: its crashes aren't reported to a new leader. */
	send_suspect(&f, 1, "/chat/x", 0, true);
	gate_leader_found(f.gate);
	take_reports(&f, &t, true);
	assert_int_equal(t.crashes, 3);
	fix_close(&f);
}

/* A complete answer clears a request here, and is reported to the leader. */
static void answer_clears_a_request(void **state)
{
	struct reported t = { 0 };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	send_and_crash(&f, POST_CHAT);
	send_and_crash(&f, POST_CHAT);
	set_answer(&f, 0, COMPLETE_STREAM);
	c = call_endpoint(&f, "m", POST_CHAT);
	UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
	take_reports(&f, &t, true);
	assert_int_equal(t.answered, 1);
	assert_int_equal(t.crashes, 0);
	/* The two crashes before the answer no longer count. */
	set_answer(&f, 0, NULL);
	send_and_crash(&f, POST_CHAT);
	send_and_crash(&f, POST_CHAT);
	set_answer(&f, 0, COMPLETE_STREAM);
	c = call_endpoint(&f, "m", POST_CHAT);
	UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
	fix_close(&f);
}

/* Starts two calls at an endpoint, which then stops listening and resets the
 * first. */
static void cut_one_of_two_calls(struct fix *f)
{
	struct caller *c;

	fix_open(f, "lm", "m");
	c = call_endpoint(f, "m", POST_CHAT);
	UNTIL(f, f->eps[0].requests == 1);
	call_endpoint(f, "m", OTHER_CHAT);
	UNTIL(f, f->eps[0].requests == 2);
	stop_listening(f, 0);
	reset_oldest(f, 0);
	UNTIL(f, has_received(c, "HTTP/1.1 502 "));
}

/* Failure: a crashed endpoint is taken for a running one, as the gate sees its
 * other connections close only after the probe's result. */
static void crash_is_seen_though_others_close_later(void **state)
{
	struct reported t = { 0 };
	struct fix f;

	(void)state;
	cut_one_of_two_calls(&f);
	/* The probe has been answered by then. */
	run_loop(&f, 5);
	reset_oldest(&f, 0);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_reports(&f, &t, true);
	assert_int_equal(t.crashes, 2);
	fix_close(&f);
}

/* An endpoint that no longer listens but continues a call hasn't crashed. */
static void endpoint_that_continues_a_call_has_not_crashed(void **state)
{
	struct reported t = { 0 };
	struct fix f;

	(void)state;
	cut_one_of_two_calls(&f);
	run_loop(&f, 5);
	f.clock.fake_ms += 200;
	run_loop(&f, 1);
	reset_oldest(&f, 0);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_reports(&f, &t, true);
	assert_int_equal(t.crashes, 1);
	fix_close(&f);
}

/* Requests with other bodies and paths whose prompts share parts. */
#define PROMPT(path, parts)                                                    \
	REQ("POST", path)                                                      \
	"X-Model: m\r\nX-Prefix-Hash: " parts "\r\nContent-Length: "           \
	"2\r\n\r\nhi"

static void send_part(struct fix *f, const char *id, int64_t left_ms)
{
	struct fingerprint p = fingerprint_of_part(ss_str(id));
	struct suspect_item x = { p.hi, p.lo, false, left_ms, 0 };
	struct msg_quarantine m = { .fence = 1, .suspects = { &x, 1 } };

	gate_quarantine_received(f->gate, &m);
}

/*
 * Guards against a poison part that is taken for another request each time: a
 * quarantined part stops any request that has it at any place but the last.
 */
static void quarantined_part_stops_any_request(void **state)
{
	static const struct {
		const char *text;
		bool refused;
	} cases[] = {
		{ PROMPT("/chat/1", "bad:10,a:20,x1:5"), true },
		{ PROMPT("/chat/2", "a:20,bad:10,x2:5"), true },
		{ PROMPT("/chat/3", "a:20,b:3,bad:10,x3:5"), true },
		{ PROMPT("/chat/4", "a:20, BAD :10,x4:5"), true },
		{ PROMPT("/chat/5", "a:20,b:3,x5:5"), false },
		{ PROMPT("/chat/6", "a:20,bad:10"), false },
		{ PROMPT("/chat/7", "bad"), false },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		send_part(&f, "bad", 7000);
		script_answer(&f, 0, COMPLETE_STREAM, false, false);
		c = call_endpoint(&f, "m", cases[i].text);
		if (cases[i].refused) {
			UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
			assert_true(has_received(c, "Retry-After: 7.000"));
			assert_true(has_received(c, "\"not_run\""));
		} else {
			UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
		}
		assert_int_equal(requests(&f), !cases[i].refused);
		fix_close(&f);
	}
}

/* A part that only an operator can allow again is refused with a time at which
 * that may have been done, and says so. */
static void part_quarantined_for_good_says_so(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	send_part(&f, "bad", SUSPECT_FOREVER_MS);
	c = call_endpoint(&f, "m", PROMPT("/chat/1", "bad:10,x:5"));
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_true(has_received(c, "Retry-After: 86400.000"));
	assert_true(has_received(c, "an operator has to allow it"));
	fix_close(&f);
}

/*
 * Guards against an endpoint that crashes under a request which was sent before
 * its part was quarantined, and waits there: it is taken back, a stream that
 * has begun isn't.
 */
static void sent_request_is_taken_back(void **state)
{
	struct caller *sent, *begun, *sound;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	script_answer(&f, 0, FIRST_EVENT, false, false);
	begun = call_endpoint(&f, "m", PROMPT("/chat/1", "bad:10,x1:5"));
	UNTIL(&f, has_received(begun, "id: 1"));
	f.at = 1;
	sent = call_endpoint(&f, "m", PROMPT("/chat/2", "bad:10,x2:5"));
	UNTIL(&f, f.eps[1].requests == 1);
	sound = call_endpoint(&f, "m", PROMPT("/chat/3", "a:10,x3:5"));
	UNTIL(&f, f.eps[1].requests == 2);
	send_part(&f, "bad", 7000);
	UNTIL(&f, has_received(sent, "HTTP/1.1 502 "));
	UNTIL(&f, f.eps[1].reset == 1);
	run_loop(&f, 5);
	assert_false(begun->ended);
	assert_false(sound->ended);
	assert_int_equal(f.eps[0].reset, 0);
	fix_close(&f);
}

/* Numbers of reported crashes and answers of a part. */
static void take_part_reports(struct fix *f, const char *id, int *crashes,
			      int *answers, int64_t *answered_age_ms)
{
	struct fingerprint p = fingerprint_of_part(ss_str(id));
	struct gate_crash_report r;

	*crashes = *answers = 0;
	*answered_age_ms = -1;
	while (gate_crash_report(f->gate, &r)) {
		const struct run_outcome_item *x = r.m.outcomes.items;

		for (size_t i = 0; i < r.m.outcomes.n; i++) {
			if (x[i].fingerprint_hi != p.hi ||
			    x[i].fingerprint_lo != p.lo)
				continue;
			*crashes += x[i].kind == OUTCOME_CRASHED;
			*answers += x[i].kind == OUTCOME_ANSWERED;
			if (x[i].kind == OUTCOME_CRASHED)
				*answered_age_ms = x[i].answered_age_ms;
		}
		gate_crash_report_done(f->gate, &r, true);
	}
}

/*
 * A crash is reported for each shared part once, with the age of the part's
 * last answer: that is how the leader tells a part in use from a poison one.
 */
static void crash_report_tells_of_earlier_answers(void **state)
{
	int crashes, answers;
	struct caller *c;
	int64_t age_ms;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	f.clock.fake_ms += 20000;
	script_answer(&f, 0, COMPLETE_STREAM, false, false);
	c = call_endpoint(&f, "m", PROMPT("/chat/1", "a:10,x1:5"));
	UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
	f.clock.fake_ms += 400;
	f.at = 1;
	call_endpoint(&f, "m", PROMPT("/chat/2", "a:10,bad:3,x2:5"));
	UNTIL(&f, f.eps[1].requests == 1);
	call_endpoint(&f, "m", PROMPT("/chat/3", "a:10,bad:3,x3:5"));
	UNTIL(&f, f.eps[1].requests == 2);
	crash_endpoint(&f, 1);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_part_reports(&f, "bad", &crashes, &answers, &age_ms);
	assert_int_equal(crashes, 1);
	assert_int_equal(age_ms, 0);
	fix_close(&f);

	fix_open(&f, "lm", "m");
	f.clock.fake_ms += 20000;
	script_answer(&f, 0, COMPLETE_STREAM, false, false);
	c = call_endpoint(&f, "m", PROMPT("/chat/1", "a:10,x1:5"));
	UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
	f.clock.fake_ms += 400;
	f.at = 1;
	call_endpoint(&f, "m", PROMPT("/chat/2", "a:10,bad:3,x2:5"));
	UNTIL(&f, f.eps[1].requests == 1);
	crash_endpoint(&f, 1);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_part_reports(&f, "a", &crashes, &answers, &age_ms);
	assert_int_equal(crashes, 1);
	assert_true(age_ms >= 400);
	/* An entry that didn't see the crashes tells of its answers when the
	 * part is quarantined. */
	send_part(&f, "a", 7000);
	take_part_reports(&f, "a", &crashes, &answers, &age_ms);
	assert_int_equal(answers, 1);
	fix_close(&f);
}

/*
 * Guards against a poison part that is cleared by the first events of an
 * answer, which may come just before the crash; a stream that goes on for half
 * a second proves its prompt.
 */
static void events_prove_a_prompt_after_a_while(void **state)
{
	int crashes, answers;
	int64_t age_ms;
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	f.clock.fake_ms += 20000;
	script_answer(&f, 0, FIRST_EVENT, false, false);
	c = call_endpoint(&f, "m", PROMPT("/chat/1", "a:10,x1:5"));
	UNTIL(&f, has_received(c, "id: 1"));
	send_part(&f, "a", 7000);
	take_part_reports(&f, "a", &crashes, &answers, &age_ms);
	assert_int_equal(answers, 0);
	f.clock.fake_ms += 500;
	endpoint_send(&f, 0, "f\r\nid: 2\ndata: b\n\n\r\n");
	UNTIL(&f, has_received(c, "id: 2"));
	take_part_reports(&f, "a", &crashes, &answers, &age_ms);
	assert_int_equal(answers, 1);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(quarantined_part_stops_any_request),
		cmocka_unit_test(part_quarantined_for_good_says_so),
		cmocka_unit_test(sent_request_is_taken_back),
		cmocka_unit_test(crash_report_tells_of_earlier_answers),
		cmocka_unit_test(events_prove_a_prompt_after_a_while),
		cmocka_unit_test(crash_inside_an_event_is_reported),
		cmocka_unit_test(third_crash_quarantines_a_request),
		cmocka_unit_test(other_ends_arent_crashes),
		cmocka_unit_test(crash_is_reported_for_each_request),
		cmocka_unit_test(crash_is_seen_though_others_close_later),
		cmocka_unit_test(
			endpoint_that_continues_a_call_has_not_crashed),
		cmocka_unit_test(leaders_report_stops_a_request),
		cmocka_unit_test(trial_is_requested),
		cmocka_unit_test(trial_isnt_repeated),
		cmocka_unit_test(trial_without_a_result_is_reported),
		cmocka_unit_test(crashes_are_reported_to_each_leader),
		cmocka_unit_test(answer_clears_a_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
