/* Tests of answers whose head isn't one of HTTP/1.1: no caller gets them, by
 * the gate or by an agent. */
#include "agent_fix.h"

#include <signal.h>

#define LENGTH "Content-Length: 5\r\n"
#define BODY "\r\nhello"
#define SECOND "HTTP/1.1 200 OK\r\n" HEAD "Content-Length: 7\r\n\r\nanother"

#define TEXT(s)                                                                \
	{                                                                      \
		s, sizeof(s) - 1                                               \
	}
#define START(line) TEXT(line "\r\n" HEAD LENGTH BODY)
#define FIELD(line) TEXT("HTTP/1.1 200 OK\r\n" HEAD line "\r\n" LENGTH BODY)
#define ONLY(line) TEXT("HTTP/1.1 200 OK\r\n" HEAD line "\r\n" BODY)
#define FIRST(line) TEXT("HTTP/1.1 200 OK\r\n" line "\r\n" HEAD LENGTH BODY)
#define INTERIM(head) TEXT(head "\r\n\r\n" OK_TEXT)

struct head_case {
	const char *label;
	struct ss_str answer;
};

static const struct head_case bad_status[] = {
	{ "000", START("HTTP/1.1 000 OK") },
	{ "000, no reason", START("HTTP/1.1 000") },
	{ "001", START("HTTP/1.1 001 OK") },
	{ "099", START("HTTP/1.1 099 OK") },
	{ "600", START("HTTP/1.1 600 OK") },
	{ "999", START("HTTP/1.1 999 OK") },
	{ "one digit", START("HTTP/1.1 2 OK") },
	{ "two digits", START("HTTP/1.1 20 OK") },
	{ "four digits", START("HTTP/1.1 2000 OK") },
	{ "four digits, zero first", START("HTTP/1.1 0200 OK") },
	{ "negative", START("HTTP/1.1 -200 OK") },
	{ "signed", START("HTTP/1.1 +200 OK") },
	{ "letter in it", START("HTTP/1.1 2x0 OK") },
	{ "letter behind it", START("HTTP/1.1 200OK") },
	{ "tab behind it", START("HTTP/1.1 200\tOK") },
	{ "blank in it", START("HTTP/1.1 2 00 OK") },
	{ "two blanks before it", START("HTTP/1.1  200 OK") },
	{ "missing", START("HTTP/1.1 OK") },
	{ "empty", START("HTTP/1.1 ") },
	{ "version alone", START("HTTP/1.1") },
	{ "version 0.9", START("HTTP/0.9 200 OK") },
	{ "version 2.0", START("HTTP/2.0 200 OK") },
	{ "NUL in the reason", START("HTTP/1.1 200 O\0K") },
	{ "first answer 099", INTERIM("HTTP/1.1 099 Wait") },
	{ "first answer 000", INTERIM("HTTP/1.1 000 Wait") },
	{ "first answer 0100", INTERIM("HTTP/1.1 0100 Continue") },
};

static const struct head_case bad_field[] = {
	{ "blank in the name", FIELD("Wrong Name: x") },
	{ "tab in the name", FIELD("Wrong\tName: x") },
	{ "blank behind the name", FIELD("Wrong : x") },
	{ "tab behind the name", FIELD("Wrong\t: x") },
	{ "blank before the first name", FIRST(" Wrong: x") },
	{ "tab before the first name", FIRST("\tWrong: x") },
	{ "blank behind a shorter length", FIELD("Content-Length : 2") },
	{ "blank behind the length", ONLY("Content-Length : 2") },
	{ "tab behind the length", ONLY("Content-Length\t: 2") },
	{ "blank before the length", FIRST(" Content-Length: 2") },
	{ "blank in the length", ONLY("Content -Length: 2") },
	{ "blank behind the coding", ONLY("Transfer-Encoding : chunked") },
	{ "blank behind Connection", FIELD("Connection : close") },
	{ "control byte in the length", ONLY("Content-\001Length: 2") },
	{ "control byte in the name", FIELD("Wrong\001Name: x") },
	{ "control byte behind the name", FIELD("Wrong\037: x") },
	{ "control byte before the name", FIELD("\002Wrong: x") },
	{ "DEL in the name", FIELD("Wrong\177Name: x") },
	{ "escape in the name", FIELD("Wrong\033[1mName: x") },
	{ "NUL in the name", FIELD("Wrong\0Name: x") },
	{ "NUL behind the length", ONLY("Content-Length\0: 2") },
	{ "line break in the name", FIELD("Wrong\rName: x") },
	{ "byte over 127 in the name", FIELD("Wrong\351: x") },
	{ "separator in the name", FIELD("Wrong(Name): x") },
	{ "quote in the name", FIELD("\"Wrong\": x") },
	{ "no name", FIELD(": x") },
	{ "no colon", FIELD("Wrong") },
	{ "NUL in a value", FIELD("Wrong: x\0y") },
	{ "NUL in the length's value", ONLY("Content-Length: 5\0009") },
	{ "control byte in a value", FIELD("Wrong: x\001y") },
	{ "line break in a value", FIELD("Wrong: x\ry") },
	{ "in an interim answer",
	  INTERIM("HTTP/1.1 103 Early Hints\r\nWrong Name: x") },
	{ "length in an interim answer",
	  INTERIM("HTTP/1.1 102 Processing\r\nContent-Length : 2") },
};

static const struct head_case valid_heads[] = {
	{ "599", START("HTTP/1.1 599 Odd") },
	{ "299", START("HTTP/1.1 299") },
	{ "1.0", START("HTTP/1.0 200 OK") },
	{ "blank behind the status", START("HTTP/1.1 200 ") },
	{ "reason over 127", START("HTTP/1.1 200 Tr\303\250s bien") },
	{ "all characters of names", FIELD("!#$%&'*+-.^_`|~09azAZ: x") },
	{ "name that begins with a digit", FIELD("1st: x") },
	{ "tab and byte over 127 in a value", FIELD("Good: x\ty\351") },
	{ "colons in a value", FIELD("Good: ::x: y") },
	{ "empty value", FIELD("Good:") },
	{ "no blank before a value", FIELD("Good:x") },
	{ "blanks around a value", FIELD("Good: \t x \t ") },
	{ "folded value", FIELD("Good: x\r\n y") },
	{ "folded empty value", FIELD("Good:\r\n\ty") },
	{ "bare line feeds",
	  TEXT("HTTP/1.1 200 OK\nX-Request-Id: q1\nX-Signature: sig\n"
	       "Content-Length: 5\n\nhello") },
	{ "interim answers", INTERIM("HTTP/1.1 102 Processing\r\n\r\n"
				     "HTTP/1.1 103 Early Hints\r\nLink: x") },
};

/* How the first answer comes to the gate. */
enum arrival { AT_ONCE, SINGLE_BYTES, USED_CONNECTION, N_ARRIVALS };

static void send_answer(struct fix *f, struct ss_str text, size_t piece)
{
	int before = f->eps[0].requests;

	UNTIL(f, f->eps[0].requests > before);
	for (size_t i = 0; i < text.n && f->eps[0].newest; i += piece) {
		bufferevent_write(f->eps[0].newest, text.p + i,
				  MIN(piece, text.n - i));
		run_loop_once(f);
	}
}

static void use_connection(struct fix *f)
{
	struct caller *c;

	script_answer(f, 0, OK_TEXT, false, false);
	c = call(f, POST_ONCE);
	UNTIL(f, received_ends_with(c, "hello"));
}

/* Whether all that the caller got is one answer of that status and end. */
static bool got_only(const struct caller *c, const char *status,
		     const char *end)
{
	const char *at = c->got->str;

	return g_str_has_prefix(at, status) && g_str_has_suffix(at, end) &&
	       !strstr(at + 1, "HTTP/1.") && !strstr(at, "Wrong") &&
	       c->got->len == strlen(at);
}

/* Returns true if the caller gets that answer and the other endpoint is asked
 * that often. */
static bool gate_answers(const struct head_case *x, enum arrival arrival,
			 const char *request, const char *status,
			 const char *end, int second_runs)
{
	struct caller *c;
	struct fix f;
	bool ok;

	fix_open(&f, "web", "");
	if (arrival == USED_CONNECTION)
		use_connection(&f);
	script_answer(&f, 0, NULL, false, false);
	script_answer(&f, 1, SECOND, false, false);
	c = call(&f, request);
	send_answer(&f, x->answer, arrival == SINGLE_BYTES ? 1 : x->answer.n);
	for (int i = 0; i < WAIT_ROUNDS && !got_only(c, status, end); i++)
		run_loop_once(&f);
	ok = got_only(c, status, end) && f.eps[1].requests == second_runs;
	if (!ok)
		print_error("gate, %s (%d): want %s...%s, got, %d second "
			    "runs:\n%s\n",
			    x->label, arrival, status, end, f.eps[1].requests,
			    c->got->str);
	fix_close(&f);
	return ok;
}

static int gate_failures(const struct head_case *x)
{
	int failed = 0;

	for (enum arrival k = 0; k < N_ARRIVALS; k++) {
		failed +=
			!gate_answers(x, k, POST_ONCE, "HTTP/1.1 502 ", "}", 0);
		failed += !gate_answers(x, k, GET_SAFE, "HTTP/1.1 200 ",
					"another", 1);
	}
	return failed;
}

/* Returns true if an agent's client takes the answer as whole or refuses it,
 * and its next request gets the next answer. */
static bool agent_answers(const struct head_case *x, int way, bool whole)
{
	struct agent_clients t;
	struct agent_result o, next;
	struct fix f;
	bool ok;

	agent_clients_open(&t, &f);
	o = agent_ask_bytes(&t, way, x->answer);
	next = agent_ask(&t, way, "GET", (struct reply){ .text = SECOND });
	ok = o.done && o.whole == whole &&
	     !strcmp(o.body->str, whole ? "hello" : "") && next.whole &&
	     !strcmp(next.body->str, "another");
	if (!ok)
		print_error("%s, %s: got %d %s, then %s\n",
			    agent_ways[way].name, x->label, o.status,
			    o.whole ? o.body->str : "none", next.body->str);
	g_string_free(o.body, TRUE);
	g_string_free(next.body, TRUE);
	agent_clients_close(&t);
	return ok;
}

static int agent_failures(const struct head_case *x, bool whole)
{
	int failed = 0;

	for (int way = 0; way < N_AGENT_WAYS; way++)
		failed += !agent_answers(x, way, whole);
	return failed;
}

/* Guards against an answer of status 000, or of none, that a caller gets. */
static void gate_refuses_bad_status(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_status); i++)
		failed += gate_failures(&bad_status[i]);
	assert_int_equal(failed, 0);
}

/* Guards against the same answer on the way through agents. */
static void agents_refuse_bad_status(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_status); i++)
		failed += agent_failures(&bad_status[i], false);
	assert_int_equal(failed, 0);
}

/* Guards against a header line with a blank or control byte in its name, which
 * is passed on or hides the body's length. */
static void gate_refuses_bad_names(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_field); i++)
		failed += gate_failures(&bad_field[i]);
	assert_int_equal(failed, 0);
}

/* Guards against the same line on the way through agents. */
static void agents_refuse_bad_names(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_field); i++)
		failed += agent_failures(&bad_field[i], false);
	assert_int_equal(failed, 0);
}

/* Guards against bytes behind an answer that are taken for the next one. */
static void agents_drop_surplus_answers(void **state)
{
	static const struct head_case surplus = {
		"surplus answer",
		TEXT(OK_TEXT "HTTP/1.1 200 OK\r\n" LENGTH "\r\nstale")
	};
	int failed = 0;

	(void)state;
	failed += agent_failures(&surplus, true);
	assert_int_equal(failed, 0);
}

/* Guards against the same where the next call has been queued before. */
static void queued_calls_get_their_own_answers(void **state)
{
	static const struct reply replies[] = {
		{ .text = OK_TEXT "HTTP/1.1 200 OK\r\n" LENGTH "\r\nstale" },
		{ .text = "HTTP/1.1 000 OK\r\n" HEAD LENGTH BODY },
		{ .text = SECOND },
	};
	static const char *const want[] = { "hello", "", "another" };
	struct agent_result got[G_N_ELEMENTS(replies)] = { 0 };
	struct agent_clients t;
	struct fix f;

	(void)state;
	agent_clients_open(&t, &f);
	f.eps[0].n_replies = G_N_ELEMENTS(replies);
	memcpy(f.eps[0].replies, replies, sizeof(replies));
	for (size_t i = 0; i < G_N_ELEMENTS(got); i++) {
		got[i].body = g_string_new(NULL);
		agent_ways[AGENT_WAY_CLIENT].ask(&t, "GET", &got[i]);
	}
	UNTIL(&f, got[2].done);
	for (size_t i = 0; i < G_N_ELEMENTS(got); i++) {
		assert_true(got[i].done);
		assert_string_equal(got[i].body->str, want[i]);
		g_string_free(got[i].body, TRUE);
	}
	agent_clients_close(&t);
}

/* Guards against a request whose header line is read differently by its
 * endpoint. */
static void requests_with_bad_names_are_refused(void **state)
{
	static const char *const lines[] = {
		"Wrong Name: x",
		"Wrong : x",
		"Wrong\t: x",
		"Content-Length : 5",
		"Content -Length: 5",
		"Transfer-Encoding : chunked",
		"Transfer -Encoding: x",
		"X-Request-Id : q2",
		"Wrong\001Name: x",
		"Wrong\177: x",
		": x",
		"Wrong",
	};

	int failed = 0;

	(void)state;
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(lines); i++) {
		char *text = g_strdup_printf(
			i % 2 ? "POST /once/x HTTP/1.1\r\n%s\r\nHost: h\r\n"
				"X-Request-Id: q1\r\n\r\n" :
				"POST /once/x HTTP/1.1\r\nHost: h\r\n"
				"X-Request-Id: q1\r\n%s\r\n\r\n",
			lines[i / 2]);
		struct caller *c;
		struct fix f;
		int sent;

		fix_open(&f, "web", "");
		script_answer(&f, 0, OK_TEXT, false, false);
		script_answer(&f, 1, OK_TEXT, false, false);
		c = call(&f, text);
		for (int k = 0; k < WAIT_ROUNDS && c->got->len == 0; k++)
			run_loop_once(&f);
		sent = f.eps[0].requests + f.eps[1].requests;
		if (!has_received(c, "HTTP/1.1 400 ") || sent > 0) {
			print_error("%s: %d requests sent on, got %s\n",
				    lines[i / 2], sent, c->got->str);
			failed++;
		}
		fix_close(&f);
		g_free(text);
	}
	assert_int_equal(failed, 0);
}

/* Guards against a valid head that is refused. */
static void valid_heads_are_read(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(valid_heads); i++) {
		bool odd = strstr(valid_heads[i].label, "99") != NULL;

		for (enum arrival k = 0; k < N_ARRIVALS; k++)
			failed += !gate_answers(&valid_heads[i], k, POST_ONCE,
						odd ? "HTTP/1.1 " :
						      "HTTP/1.1 200 ",
						"hello", 0);
		failed += agent_failures(&valid_heads[i], true);
	}
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(gate_refuses_bad_status),
		cmocka_unit_test(agents_refuse_bad_status),
		cmocka_unit_test(gate_refuses_bad_names),
		cmocka_unit_test(agents_refuse_bad_names),
		cmocka_unit_test(agents_drop_surplus_answers),
		cmocka_unit_test(queued_calls_get_their_own_answers),
		cmocka_unit_test(requests_with_bad_names_are_refused),
		cmocka_unit_test(valid_heads_are_read),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
