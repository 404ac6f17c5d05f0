/* A gate whose endpoints end under what they run. */
#include "gate_fix.h"

#include "../src/core/end_log.h"
#include "../src/core/suspects.h"

/* Another content for the same model. */
#define OTHER_CHAT                                                             \
	REQ("POST", "/chat/x") "X-Model: m\r\nContent-Length: 2\r\n\r\nho"
#define WHOLE_STREAM EVENTS "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
#define FIRST_EVENT EVENTS "f\r\nid: 1\ndata: a\n\n\r\n"
#define TERM_MS (10 * 60 * 1000LL)

static struct fingerprint print_of(const char *path)
{
	return fingerprint_of(SS_LIT("POST"), SS_LIT("h"), ss_str(path),
			      SS_LIT("hi"));
}

static void turns(struct fix *f, int n)
{
	while (n-- > 0)
		turn(f);
}

static int requests(const struct fix *f)
{
	return f->eps[0].requests + f->eps[1].requests;
}

static uint64_t metric(struct fix *f, const char *name)
{
	return *metrics_value(f->metrics, name, "");
}

/* All that the gate has to tell its leader, added to what was told before. */
struct told {
	int under, answered, nothing, recalled;
};

static void take_told(struct fix *f, struct told *t, bool sent)
{
	struct gate_ends r;

	while (gate_ends(f->gate, &r)) {
		const struct end_item *x = r.m.ends.items;

		for (size_t i = 0; i < r.m.ends.n; i++) {
			t->under += x[i].kind == END_UNDER;
			t->answered += x[i].kind == END_ANSWERED;
			t->nothing += x[i].kind == END_NOTHING;
		}
		t->recalled += (int)r.m.recalled.n;
		gate_ends_done(f->gate, &r, sent);
		if (!sent)
			return;
	}
}

static void tell_word(struct fix *f, uint64_t fence, const char *path,
		      int64_t left_ms, bool cleared)
{
	struct fingerprint p = print_of(path);
	struct suspect_item x = { p.hi, p.lo, cleared, left_ms, 0 };
	struct msg_quarantine m = { .fence = fence, .words = { &x, 1 } };

	gate_take_quarantine(f->gate, &m);
}

/* The request ends the endpoint that it is sent to, which starts again. */
static void send_and_end(struct fix *f, const char *text)
{
	uint64_t ended = metric(f, "ss_gate_endpoints_ended_total");
	int before = f->eps[f->at].requests;
	struct caller *c = ask(f, "m", text);

	UNTIL(f, f->eps[f->at].requests == before + 1);
	end_endpoint(f, f->at);
	UNTIL(f, got(c, "HTTP/1.1 502 "));
	UNTIL(f, metric(f, "ss_gate_endpoints_ended_total") == ended + 1);
	start_endpoint(f, f->at);
}

/* From now on the endpoint answers so. */
static void answers(struct fix *f, int i, const char *text)
{
	f->eps[i].n_replies = 0;
	script(f, i, text, false, false);
}

/*
 * Symptom: one endpoint after the other ends, and each takes the answers of all
 * who are beside with it. Sequence: a request that ends what runs it comes
 * again under new ids. Cause: each was a new request to the entry. After the
 * third end it is refused at once, with the time until it may be tried; others
 * aren't.
 */
static void third_end_stops_a_request(void **state)
{
	struct caller *c, *other;
	struct fix f;
	int before;

	(void)state;
	fix_open(&f, "lm", "m");
	for (int i = 0; i < SUSPECT_ENDS; i++)
		send_and_end(&f, POST_CHAT);
	before = requests(&f);
	script(&f, 0, WHOLE_STREAM, false, false);
	c = ask(&f, "m", POST_CHAT);
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	assert_true(got(c, "Retry-After: 600.000"));
	assert_true(got(c, "\"not_run\""));
	assert_int_equal(requests(&f), before);
	answers(&f, 0, WHOLE_STREAM);
	other = ask(&f, "m", OTHER_CHAT);
	UNTIL(&f, ends(other, "0\r\n\r\n"));
	fix_close(&f);
}

enum harm { BROKEN_OFF, RESET, PLANNED, LEFT };

/*
 * Connections end for other reasons, too: an answer breaks off, a connection is
 * reset on the way, an endpoint that leaves ends as planned, a caller leaves
 * first. Such a request goes on being sent.
 */
static void other_ends_dont_count(void **state)
{
	static const enum harm cases[] = { BROKEN_OFF, RESET, PLANNED, LEFT };

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		struct told t = { 0 };
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		f.eps[1].empty = true;
		if (cases[k] == BROKEN_OFF)
			script(&f, 0, FIRST_EVENT, true, false);
		if (cases[k] == RESET)
			script(&f, 0, FIRST_EVENT, false, true);
		for (int i = 0; i < SUSPECT_ENDS + 1; i++) {
			c = ask(&f, "m", POST_CHAT);
			UNTIL(&f, f.eps[0].requests == i + 1);
			if (cases[k] == PLANNED) {
				f.eps[0].leaving = true;
				tell_fleet(&f, "lm", "m");
				end_endpoint(&f, 0);
				UNTIL(&f, got(c, "HTTP/1.1 502 "));
				start_endpoint(&f, 0);
				f.eps[0].leaving = false;
			} else if (cases[k] == LEFT) {
				leave(c);
				UNTIL(&f, f.eps[0].closed == i + 1);
				end_endpoint(&f, 0);
				start_endpoint(&f, 0);
			} else {
				UNTIL(&f, c->ended);
			}
			/* Probes have been answered by then. */
			turns(&f, 5);
		}
		take_told(&f, &t, true);
		assert_int_equal(t.under, 0);
		fix_close(&f);
	}
}

/*
 * One end closes the connections of all that ran there: each is told of once,
 * and what ran elsewhere isn't.
 */
static void all_that_ran_there_are_told_of(void **state)
{
	struct told t = { 0 };
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	f.at = 1;
	ask(&f, "m",
	    REQ("POST",
		"/chat/elsewhere") "X-Model: m\r\nContent-Length: 2\r\n\r\nhi");
	UNTIL(&f, f.eps[1].requests == 1);
	f.at = 0;
	ask(&f, "m", POST_CHAT);
	UNTIL(&f, f.eps[0].requests == 1);
	ask(&f, "m", OTHER_CHAT);
	UNTIL(&f, f.eps[0].requests == 2);
	ask(&f, "m", OTHER_CHAT);
	UNTIL(&f, f.eps[0].requests == 3);
	end_endpoint(&f, 0);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_told(&f, &t, true);
	assert_int_equal(t.under, 2);
	fix_close(&f);
}

/* What others have seen counts here at once, also for those that wait. */
static void leaders_word_stops_a_request(void **state)
{
	struct caller *waits, *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "");
	waits = call(&f, POST_CHAT);
	UNTIL(&f, metric(&f, "ss_gate_waiting") == 1);
	tell_word(&f, 1, "/chat/x", 300, false);
	UNTIL(&f, got(waits, "HTTP/1.1 503 "));
	assert_true(got(waits, "Retry-After: 0.300"));
	tell_fleet(&f, "lm", "m");
	c = call(&f, POST_CHAT);
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	assert_int_equal(requests(&f), 0);
	/* A leader that was replaced can't clear it, the new one can. */
	tell_word(&f, 0, "/chat/x", 0, true);
	c = call(&f, POST_CHAT);
	UNTIL(&f, got(c, "HTTP/1.1 503 "));
	tell_word(&f, 1, "/chat/x", 0, true);
	script(&f, 0, WHOLE_STREAM, false, false);
	c = ask(&f, "m", POST_CHAT);
	UNTIL(&f, ends(c, "0\r\n\r\n"));
	fix_close(&f);
}

static void answer_trial(struct fix *f, enum suspect_leave leave,
			 int64_t wait_ms)
{
	struct msg_trial m = f->trial;

	m.leave = leave;
	m.wait_ms = wait_ms;
	gate_take_trial(f->gate, &m);
}

/* After its term the leader is asked; what it says is done. */
static void trial_is_asked_for(void **state)
{
	static const struct {
		bool leads, answers;
		enum suspect_leave leave;
		const char *status, *back;
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
		bool runs = cases[i].leave != SUSPECT_WAIT;
		struct told t = { 0 };
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		f.leads = cases[i].leads;
		tell_word(&f, 1, "/chat/x", 0, false);
		script(&f, 0, WHOLE_STREAM, false, false);
		c = ask(&f, "m", POST_CHAT);
		UNTIL(&f, f.trial.sub);
		turns(&f, 3);
		assert_int_equal(requests(&f), 0);
		if (cases[i].answers)
			answer_trial(&f, cases[i].leave, 7000);
		else
			f.clock.fake_ms += 500;
		UNTIL(&f, got(c, cases[i].status) && got(c, cases[i].back));
		UNTIL(&f, !runs || ends(c, "0\r\n\r\n"));
		turns(&f, 3);
		assert_int_equal(requests(&f), runs);
		take_told(&f, &t, true);
		assert_int_equal(t.answered, cases[i].leave == SUSPECT_TRIAL);
		assert_int_equal(t.nothing, 0);
		fix_close(&f);
	}
}

/*
 * Symptom: a trial ends two endpoints. Sequence: the stream may be resumed, and
 * its endpoint ends. A trial goes to one endpoint only.
 */
static void trial_isnt_repeated(void **state)
{
	struct told t = { 0 };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	f.leads = true;
	tell_word(&f, 1, "/night/x", 0, false);
	c = ask(&f, "m", POST_NIGHT);
	UNTIL(&f, f.trial.sub);
	answer_trial(&f, SUSPECT_TRIAL, 0);
	UNTIL(&f, f.eps[0].requests == 1);
	end_endpoint(&f, 0);
	UNTIL(&f, got(c, "HTTP/1.1 502 "));
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	assert_int_equal(requests(&f), 1);
	take_told(&f, &t, true);
	assert_int_equal(t.under, 1);
	assert_int_equal(t.nothing, 0);
	fix_close(&f);
}

/* A trial that shows nothing is told of, so that it doesn't hold up others:
 * its caller leaves while it runs, or before it was allowed. */
static void trial_that_shows_nothing_is_told(void **state)
{
	(void)state;
	for (int runs = 0; runs < 2; runs++) {
		struct told t = { 0 };
		struct caller *c;
		struct fix f;

		fix_open(&f, "lm", "m");
		f.leads = true;
		tell_word(&f, 1, "/chat/x", 0, false);
		c = ask(&f, "m", POST_CHAT);
		UNTIL(&f, f.trial.sub);
		if (runs) {
			answer_trial(&f, SUSPECT_TRIAL, 0);
			UNTIL(&f, f.eps[0].requests == 1);
		}
		leave(c);
		UNTIL(&f, gate_busy(f.gate) == 0);
		if (!runs)
			answer_trial(&f, SUSPECT_TRIAL, 0);
		take_told(&f, &t, true);
		assert_int_equal(t.nothing, 1);
		fix_close(&f);
	}
}

/*
 * Told once to each leader: again where a message wasn't sent, and to a new
 * one, with what is quarantined; not what the leader has told itself.
 */
static void each_leader_is_told(void **state)
{
	struct told t = { 0 };
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	send_and_end(&f, POST_CHAT);
	take_told(&f, &t, false);
	take_told(&f, &t, true);
	take_told(&f, &t, true);
	assert_int_equal(t.under, 2);
	assert_int_equal(t.recalled, 0);
	tell_word(&f, 1, "/night/x", 5000, false);
	take_told(&f, &t, true);
	assert_int_equal(t.recalled, 0);
	gate_leader_found(f.gate);
	take_told(&f, &t, true);
	assert_int_equal(t.under, 3);
	assert_int_equal(t.recalled, 1);
	/* Cleared: a new leader isn't told of its ends. */
	tell_word(&f, 1, "/chat/x", 0, true);
	gate_leader_found(f.gate);
	take_told(&f, &t, true);
	assert_int_equal(t.under, 3);
	fix_close(&f);
}

/* Its answer clears a request here, and the leader hears of it. */
static void answer_clears_a_request(void **state)
{
	struct told t = { 0 };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "lm", "m");
	send_and_end(&f, POST_CHAT);
	send_and_end(&f, POST_CHAT);
	answers(&f, 0, WHOLE_STREAM);
	c = ask(&f, "m", POST_CHAT);
	UNTIL(&f, ends(c, "0\r\n\r\n"));
	take_told(&f, &t, true);
	assert_int_equal(t.answered, 1);
	assert_int_equal(t.under, 0);
	/* Two more don't make three with those before. */
	answers(&f, 0, NULL);
	send_and_end(&f, POST_CHAT);
	send_and_end(&f, POST_CHAT);
	answers(&f, 0, WHOLE_STREAM);
	c = ask(&f, "m", POST_CHAT);
	UNTIL(&f, ends(c, "0\r\n\r\n"));
	fix_close(&f);
}

/* Of two calls the first is cut by an endpoint that no longer listens. */
static void cut_one_of_two_calls(struct fix *f)
{
	struct caller *c;

	fix_open(f, "lm", "m");
	c = ask(f, "m", POST_CHAT);
	UNTIL(f, f->eps[0].requests == 1);
	ask(f, "m", OTHER_CHAT);
	UNTIL(f, f->eps[0].requests == 2);
	stop_listening(f, 0);
	reset_oldest(f, 0);
	UNTIL(f, got(c, "HTTP/1.1 502 "));
}

/* An endpoint that has ended passes for one that runs, as its other connections
 * are seen to close later. */
static void end_is_told_of_though_others_close_later(void **state)
{
	struct told t = { 0 };
	struct fix f;

	(void)state;
	cut_one_of_two_calls(&f);
	/* The probe has been answered by then. */
	turns(&f, 5);
	reset_oldest(&f, 0);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_told(&f, &t, true);
	assert_int_equal(t.under, 2);
	fix_close(&f);
}

/* A call that goes on where nobody listens any more: that isn't an end. */
static void endpoint_that_goes_on_has_not_ended(void **state)
{
	struct told t = { 0 };
	struct fix f;

	(void)state;
	cut_one_of_two_calls(&f);
	turns(&f, 5);
	f.clock.fake_ms += 200;
	turns(&f, 1);
	reset_oldest(&f, 0);
	UNTIL(&f, metric(&f, "ss_gate_endpoints_ended_total") == 1);
	take_told(&f, &t, true);
	assert_int_equal(t.under, 1);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(third_end_stops_a_request),
		cmocka_unit_test(other_ends_dont_count),
		cmocka_unit_test(all_that_ran_there_are_told_of),
		cmocka_unit_test(end_is_told_of_though_others_close_later),
		cmocka_unit_test(endpoint_that_goes_on_has_not_ended),
		cmocka_unit_test(leaders_word_stops_a_request),
		cmocka_unit_test(trial_is_asked_for),
		cmocka_unit_test(trial_isnt_repeated),
		cmocka_unit_test(trial_that_shows_nothing_is_told),
		cmocka_unit_test(each_leader_is_told),
		cmocka_unit_test(answer_clears_a_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
