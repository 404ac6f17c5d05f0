/* Tests of answers that a server cuts at any byte: what a caller gets framed as
 * whole must be whole, and what may run again runs again. */
#include "agent_fix.h"

#include <signal.h>

#define HEAD_OK "HTTP/1.1 200 OK\r\n" HEAD
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define SSE "Content-Type: text/event-stream\r\n"
#define EVENT(id) "id: " id "\ndata: e\n\n"
#define EVENT_BYTES (sizeof(EVENT("1")) - 1)
#define EVENT_CHUNK(id) "f\r\n" EVENT(id) "\r\n"
#define CHUNK_EXTENSION ";x=1"
#define EVENTS_MAX 3
#define EVENTS_BODY EVENT("1") EVENT("2") EVENT("3")
#define EVENT_CHUNKS EVENT_CHUNK("1") EVENT_CHUNK("2") EVENT_CHUNK("3")
#define AGAIN "HTTP/1.1 200 OK\r\n" HEAD "Content-Length: 7\r\n\r\n"
#define HEAD_SAFE REQ("HEAD", "/safe/x") "\r\n"

/* When an answer is whole. */
enum whole {
	WHOLE_AT_END,	/* with its last byte */
	WHOLE_BY_CLOSE, /* after its head, by the end of the connection */
	WHOLE_MAYBE,	/* with its last byte; it may be refused as well */
	WHOLE_NEVER,	/* its framing is invalid */
};

struct answer_case {
	const char *label;
	const char *ask, *text;
	const char *body; /* of the whole answer */
	enum whole whole;
};

static const struct answer_case cases[] = {
	{ "length", POST_ONCE, HEAD_OK "Content-Length: 5\r\n\r\nhello",
	  "hello", WHOLE_AT_END },
	{ "length before the signature", GET_SAFE,
	  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" HEAD "\r\nhello", "hello",
	  WHOLE_AT_END },
	{ "empty body", GET_SAFE, HEAD_OK "Content-Length: 0\r\n\r\n", "",
	  WHOLE_AT_END },
	{ "no reason", GET_SAFE,
	  "HTTP/1.1 200\r\n" HEAD "Content-Length: 5\r\n\r\nhello", "hello",
	  WHOLE_AT_END },
	{ "bare line feeds", GET_SAFE,
	  "HTTP/1.1 200 OK\nX-Request-Id: q1\nX-Signature: sig\n"
	  "Content-Length: 5\n\nhello",
	  "hello", WHOLE_AT_END },
	{ "chunks", POST_ONCE,
	  HEAD_OK CHUNKED "\r\n2\r\nhe\r\n3" CHUNK_EXTENSION
			  "\r\nllo\r\n0\r\n\r\n",
	  "hello", WHOLE_AT_END },
	{ "trailers", GET_SAFE,
	  HEAD_OK CHUNKED
	  "\r\n5\r\nhello\r\n0\r\nX-Signature: t\r\nContent-Length: 0\r\n\r\n",
	  "hello", WHOLE_AT_END },
	{ "end of connection", GET_SAFE, HEAD_OK "\r\nhello", "hello",
	  WHOLE_BY_CLOSE },
	{ "end of connection, once", POST_ONCE,
	  HEAD_OK "Connection: close\r\n\r\nhello", "hello", WHOLE_BY_CLOSE },
	{ "end of connection, 1.0", POST_ONCE,
	  "HTTP/1.0 200 OK\r\n" HEAD "\r\nhello", "hello", WHOLE_BY_CLOSE },
	{ "other coding", POST_ONCE,
	  HEAD_OK "Transfer-Encoding: x\r\n\r\nhello", "hello",
	  WHOLE_BY_CLOSE },
	{ "100 first", POST_ONCE,
	  "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n" HEAD_OK
	  "Content-Length: 5\r\n\r\nhello",
	  "hello", WHOLE_AT_END },
	{ "103 first", GET_SAFE,
	  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" HEAD_OK
	  "Content-Length: 5\r\n\r\nhello",
	  "hello", WHOLE_AT_END },
	{ "two interim answers", POST_ONCE,
	  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
	  "Content-Length: 0\r\n\r\n" HEAD_OK "\r\nhello",
	  "hello", WHOLE_BY_CLOSE },
	{ "folded length", GET_SAFE,
	  HEAD_OK "Content-Length:\r\n 5\r\n\r\nhello", "hello", WHOLE_AT_END },
	{ "length folded inside", POST_ONCE,
	  HEAD_OK "Content-Length: 1\r\n 0\r\n\r\nhello67890", "hello67890",
	  WHOLE_NEVER },
	{ "repeated length", POST_ONCE,
	  HEAD_OK "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	  "hello", WHOLE_MAYBE },
	{ "differing lengths", POST_ONCE,
	  HEAD_OK "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello",
	  "hello", WHOLE_NEVER },
	{ "list of lengths", POST_ONCE,
	  HEAD_OK "Content-Length: 2, 5\r\n\r\nhello", "hello", WHOLE_NEVER },
	{ "length and chunks", POST_ONCE,
	  HEAD_OK "Content-Length: 2\r\n" CHUNKED "\r\n5\r\nhello\r\n0\r\n\r\n",
	  "hello", WHOLE_MAYBE },
	{ "two codings", POST_ONCE,
	  HEAD_OK "Transfer-Encoding: x, chunked\r\n\r\n"
		  "5\r\nhello\r\n0\r\n\r\n",
	  "hello", WHOLE_AT_END },
	{ "HEAD", HEAD_SAFE, HEAD_OK "Content-Length: 5\r\n\r\n", "",
	  WHOLE_AT_END },
	{ "HEAD with chunks", HEAD_SAFE, HEAD_OK CHUNKED "\r\n", "",
	  WHOLE_AT_END },
	{ "204", POST_ONCE, "HTTP/1.1 204 No Content\r\n" HEAD "\r\n", "",
	  WHOLE_AT_END },
	{ "304", GET_SAFE,
	  "HTTP/1.1 304 Not Modified\r\n" HEAD "ETag: x\r\n\r\n", "",
	  WHOLE_AT_END },
	{ "204 with length", POST_ONCE,
	  "HTTP/1.1 204 No Content\r\n" HEAD "Content-Length: 5\r\n\r\n", "",
	  WHOLE_AT_END },
	{ "304 with length", GET_SAFE,
	  "HTTP/1.1 304 Not Modified\r\n" HEAD "Content-Length: 5\r\n\r\n", "",
	  WHOLE_AT_END },
	{ "events in chunks", POST_CHAT, EVENTS EVENT_CHUNKS "0\r\n\r\n",
	  EVENTS_BODY, WHOLE_AT_END },
	{ "events with length", POST_CHAT,
	  HEAD_OK SSE "Content-Length: 45\r\n\r\n" EVENTS_BODY, EVENTS_BODY,
	  WHOLE_AT_END },
	{ "events to the end", POST_CHAT, HEAD_OK SSE "\r\n" EVENTS_BODY,
	  EVENTS_BODY, WHOLE_BY_CLOSE },
	{ "resumable, chunks", POST_NIGHT, EVENTS EVENT_CHUNKS "0\r\n\r\n",
	  EVENTS_BODY, WHOLE_AT_END },
	{ "resumable, length", POST_NIGHT,
	  HEAD_OK SSE "Content-Length: 45\r\n\r\n" EVENTS_BODY, EVENTS_BODY,
	  WHOLE_AT_END },
	{ "resumable, to the end", POST_NIGHT, HEAD_OK SSE "\r\n" EVENTS_BODY,
	  EVENTS_BODY, WHOLE_BY_CLOSE },
};

static bool is_events(const struct answer_case *x)
{
	return strstr(x->text, SSE) != NULL;
}

static bool is_head(const struct answer_case *x)
{
	return g_str_has_prefix(x->ask, "HEAD ");
}

static bool is_repeatable(const struct answer_case *x)
{
	return g_str_has_prefix(x->ask, "GET ") || is_head(x) ||
	       strstr(x->ask, "/night/") != NULL;
}

/* Returns the length of a final answer's head with its empty line, and of the
 * interim ones before it. */
static size_t head_length(const char *text)
{
	const char *at = text, *end;

	do {
		bool interim = g_str_has_prefix(at, "HTTP/1.1 10");

		end = strstr(at, "\r\n\r\n");
		end = end ? end + 4 : strstr(at, "\n\n") + 2;
		at = interim ? end : NULL;
	} while (at);
	return (size_t)(end - text);
}

static int status_of(const struct answer_case *x)
{
	const char *final = x->text + head_length(x->text) - 1;

	while (final > x->text && strncmp(final, "HTTP/1.", 7))
		final--;
	return atoi(final + strlen("HTTP/1.1 "));
}

/* Returns the body that the answer cut there has by its own framing; NULL: it
 * isn't whole. */
static char *framed_body(const struct answer_case *x, size_t cut, bool reset)
{
	size_t head = head_length(x->text);

	if (x->whole == WHOLE_NEVER)
		return NULL;
	if (x->whole != WHOLE_BY_CLOSE)
		return cut == strlen(x->text) ? g_strdup(x->body) : NULL;
	if (cut < head || reset)
		return NULL;
	return g_strndup(x->text + head, cut - head);
}

/* Decodes chunks; NULL: the last one is missing. */
static char *decode_chunks(const char *at)
{
	GString *out = g_string_new(NULL);

	for (;;) {
		char *end;
		size_t n = strtoul(at, &end, 16), left = strlen(end);

		if (end == at || left < n + 4)
			break;
		if (n == 0 && !strcmp(end, "\r\n\r\n"))
			return g_string_free(out, FALSE);
		g_string_append_len(out, end + 2, (gssize)n);
		at = end + 2 + n + 2;
	}
	g_string_free(out, TRUE);
	return NULL;
}

/* Returns the body of a success that is framed as whole; NULL: there is
 * none. */
static char *whole_body(const struct caller *c, const char *ask)
{
	const char *got = c->got->str, *body = strstr(got, "\r\n\r\n");
	const char *length = strstr(got, "\r\nContent-Length: ");

	if (!body || !(g_str_has_prefix(got, "HTTP/1.1 2") ||
		       g_str_has_prefix(got, "HTTP/1.1 304")))
		return NULL;
	body += 4;
	if (g_str_has_prefix(ask, "HEAD ") || strstr(got, " 204 ") ||
	    strstr(got, " 304 "))
		return g_strdup(body);
	if (length && length < body)
		return strlen(body) >= strtoul(length + 18, NULL, 10) ?
			       g_strdup(body) :
			       NULL;
	if (strstr(got, CHUNKED))
		return decode_chunks(body);
	return c->ended ? g_strdup(body) : NULL;
}

static bool is_whole(const struct caller *c, const char *ask)
{
	char *body = whole_body(c, ask);

	g_free(body);
	return body != NULL;
}

static bool is_failure(const struct caller *c, const struct answer_case *x)
{
	return g_str_has_prefix(c->got->str, "HTTP/1.1 502 ") &&
	       received_ends_with(c, is_head(x) ? "\r\n\r\n" : "}");
}

/* Returns a second run's answer behind the events that the first one gave. */
static char *rest_of_events(const struct answer_case *x, size_t cut)
{
	static const char *const chunks[] = { EVENT_CHUNK("1"),
					      EVENT_CHUNK("2"),
					      EVENT_CHUNK("3") };
	size_t head = head_length(x->text);
	GString *s = g_string_new(EVENTS);
	size_t given = 0;

	for (size_t i = head; i + 1 < cut; i++)
		given += !memcmp(x->text + i, "\n\n", 2);
	for (; given < EVENTS_MAX; given++)
		g_string_append(s, chunks[given]);
	g_string_append(s, "0\r\n\r\n");
	return g_string_free(s, FALSE);
}

#define SECOND_WHOLE SIZE_MAX

struct trial {
	const struct answer_case *x;
	size_t cut;	   /* bytes of the first answer */
	size_t second_cut; /* of the second run's; SECOND_WHOLE: all */
	bool reset;
	bool reused;	   /* on a connection that had a whole answer before */
	bool single_bytes; /* read one at a time */
};

static void describe(const struct trial *t, const char *want, const char *got,
		     const struct caller *c)
{
	print_error("%s: %zu of %zu (head %zu), second %zd, %s%s%s: want %s, "
		    "got %s:\n%s\n",
		    t->x->label, t->cut, strlen(t->x->text),
		    head_length(t->x->text), (ssize_t)t->second_cut,
		    t->reset ? "reset" : "closed",
		    t->reused ? ", used again" : "",
		    t->single_bytes ? ", single bytes" : "",
		    want ? want : "none", got ? got : "none", c->got->str);
}

/* Makes the gate use a connection that had a whole answer before. */
static void use_connection(struct fix *f)
{
	struct caller *c;

	script_answer(f, 0, OK_TEXT, false, false);
	c = call(f, POST_ONCE);
	UNTIL(f, received_ends_with(c, "hello"));
}

/* Sends the first answer's bytes one at a time, and ends the connection. */
static void send_single_bytes(struct fix *f, const struct trial *t)
{
	UNTIL(f, f->eps[0].requests == 1);
	for (size_t i = 0; i < t->cut && f->eps[0].newest; i++) {
		char byte[] = { t->x->text[i], 0 };

		endpoint_send(f, 0, byte);
		run_loop_once(f);
	}
	if (t->reset)
		reset_oldest(f, 0);
	else if (f->eps[0].newest)
		shutdown(bufferevent_getfd(f->eps[0].newest), SHUT_WR);
}

/* Returns the calls to an endpoint that are reported as failed. */
static int64_t failures(struct fix *f, int i)
{
	const struct endpoint_results *e;
	struct gate_report r;
	int64_t n = 0;

	gate_report(f->gate, &r);
	e = r.m.results.items;
	for (size_t k = 0; k < r.m.results.n; k++)
		if (ss_str_eq(e[k].addr, ss_str(f->eps[i].addr)))
			n += (int64_t)e[k].failed;
	gate_report_done(&r);
	return n;
}

static char *second_answer(const struct trial *t)
{
	char *s = is_events(t->x) ?
			  rest_of_events(t->x, t->cut) :
			  g_strdup(is_head(t->x) ? AGAIN : AGAIN "another");

	if (t->second_cut < strlen(s))
		s[t->second_cut] = 0;
	return s;
}

/* Returns the body that the caller has to get as whole; NULL: none. first: from
 * the first run. */
static char *wanted_body(const struct trial *t, bool *first)
{
	const struct answer_case *x = t->x;
	size_t head = head_length(x->text);
	char *body = framed_body(x, t->cut, t->reset);

	if (x->whole == WHOLE_MAYBE ||
	    (body && is_events(x) && (t->cut - head) % EVENT_BYTES &&
	     x->whole == WHOLE_BY_CLOSE))
		g_clear_pointer(&body, g_free);
	*first = body != NULL;
	if (body || !is_repeatable(x) || t->second_cut != SECOND_WHOLE)
		return body;
	return g_strdup(is_events(x) ? x->body : is_head(x) ? "" : "another");
}

static bool run_trial(const struct trial *t)
{
	const struct answer_case *x = t->x;
	char *part = g_strndup(x->text, t->cut), *second = second_answer(t);
	bool first, second_run, ok;
	char *want = wanted_body(t, &first), *got;
	struct caller *c;
	struct fix f;

	second_run = !first && is_repeatable(x);
	fix_open(&f, is_events(x) ? "lm" : "web", is_events(x) ? "m" : "");
	if (t->reused)
		use_connection(&f);
	script_answer(&f, 0, t->single_bytes ? NULL : part, true, t->reset);
	script_answer(&f, 1, second, true, t->reset);
	c = call(&f, x->ask);
	if (t->single_bytes)
		send_single_bytes(&f, t);
	for (int i = 0; i < WAIT_ROUNDS && !c->ended && !is_failure(c, x) &&
			!is_whole(c, x->ask);
	     i++)
		run_loop_once(&f);
	got = whole_body(c, x->ask);
	ok = (c->ended || got || is_failure(c, x)) && !g_strcmp0(want, got) &&
	     f.eps[0].requests == 1 + t->reused &&
	     *metrics_value(f.metrics, "ss_gate_connections_reused_total",
			    "") == t->reused &&
	     f.eps[1].requests == second_run && failures(&f, 0) == !first;
	if (!ok)
		describe(t, want, got, c);
	fix_close(&f);
	g_free(part);
	g_free(second);
	g_free(want);
	g_free(got);
	return ok;
}

#define SHOWN_MAX 20 /* failed trials, before the test gives up */

static void check(const struct trial *t, int *failed)
{
	*failed += !run_trial(t);
	if (*failed > SHOWN_MAX)
		fail_msg("more than %d trials failed", SHOWN_MAX);
}

/* Guards against an answer cut anywhere that looks whole to its caller. */
static void gate_shows_each_cut(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct trial t = { &cases[i], .second_cut = SECOND_WHOLE };
		size_t len = strlen(t.x->text);

		for (t.cut = 0; t.cut <= len; t.cut++) {
			for (int k = 0; k < 4; k++) {
				t.reset = k & 1;
				t.reused = k & 2;
				if (!(t.cut == len && t.reset) &&
				    !(t.reused && is_events(t.x)))
					check(&t, &failed);
			}
		}
	}
	assert_int_equal(failed, 0);
}

/* Guards against a second run whose cut looks whole. */
static void gate_shows_second_cut(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct trial t = { .x = &cases[i] };
		size_t len = strlen(t.x->text);
		size_t firsts[] = { len / 2, len - 1 };

		for (int k = 0; is_repeatable(t.x) && k < 4; k++) {
			char *second;
			size_t n;

			t.cut = firsts[k / 2];
			t.reset = k & 1 || t.x->whole == WHOLE_BY_CLOSE;
			t.second_cut = SECOND_WHOLE;
			second = second_answer(&t);
			n = strlen(second);
			g_free(second);
			for (t.second_cut = 0; t.second_cut < n; t.second_cut++)
				check(&t, &failed);
		}
	}
	assert_int_equal(failed, 0);
}

/* Guards against a head that is read differently in single bytes. */
static void gate_reads_single_bytes(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct trial t = { &cases[i], .second_cut = SECOND_WHOLE,
				   .single_bytes = true };
		size_t len = strlen(t.x->text), head = head_length(t.x->text);
		size_t cuts[] = { head - 1, head, len - 1, len };

		for (size_t k = 0; k < G_N_ELEMENTS(cuts); k++) {
			t.cut = cuts[k];
			check(&t, &failed);
		}
	}
	assert_int_equal(failed, 0);
}

static bool is_interim(const struct answer_case *x)
{
	return g_str_has_prefix(x->text, "HTTP/1.1 10");
}

/* Whether an agent may refuse the answer although it is whole. libevent sees
 * the end of the connection before what follows an interim answer. */
static bool may_refuse(const struct answer_case *x)
{
	return x->whole == WHOLE_MAYBE || strstr(x->text, CHUNK_EXTENSION) ||
	       (x->whole == WHOLE_BY_CLOSE && is_interim(x));
}

static bool run_agent_trial(struct agent_clients *t, int way,
			    const struct answer_case *x, size_t cut, bool reset,
			    bool reused)
{
	const char *method = is_head(x) ? "HEAD" : "GET";
	char *part = g_strndup(x->text, cut);
	char *want = framed_body(x, cut, reset);
	bool refused = may_refuse(x);
	struct agent_result o, next;
	bool ok = true;

	if (reused) {
		o = agent_ask(t, way, "GET", (struct reply){ .text = OK_TEXT });
		ok = o.whole && !strcmp(o.body->str, "hello");
		g_string_free(o.body, TRUE);
	}
	/* A connection that the server is about to close isn't used again. */
	o = agent_ask(t, way, method,
		      (struct reply){ .text = part,
				      .close = x->text[cut] ||
					       x->whole == WHOLE_BY_CLOSE,
				      .reset = reset });
	next = agent_ask(t, way, "GET",
			 (struct reply){ .text = AGAIN "another" });
	ok = ok && o.done && (o.whole || !want || refused) &&
	     (!o.whole || (want && !strcmp(o.body->str, want) &&
			   o.status == status_of(x))) &&
	     (!next.whole || !strcmp(next.body->str, "another"));
	if (!ok)
		print_error("%s, %s: %zu of %zu (head %zu), %s%s: want %s, got "
			    "%d %s, then %d %s\n",
			    agent_ways[way].name, x->label, cut,
			    strlen(x->text), head_length(x->text),
			    reset ? "reset" : "closed",
			    reused ? ", used again" : "", want ? want : "none",
			    o.status, o.whole ? o.body->str : "none",
			    next.status, next.body->str);
	g_string_free(o.body, TRUE);
	g_string_free(next.body, TRUE);
	g_free(part);
	g_free(want);
	return ok;
}

static bool is_differing(const struct answer_case *x)
{
	return !strcmp(x->label, "differing lengths");
}

static bool is_other(const struct answer_case *x)
{
	return !is_interim(x) && !is_differing(x);
}

static int run_agent_case(int way, const struct answer_case *x)
{
	size_t len = strlen(x->text);
	struct agent_clients t;
	struct fix f;
	int failed = 0;

	agent_clients_open(&t, &f);
	for (size_t cut = 0; cut <= len && failed < SHOWN_MAX; cut++) {
		for (int k = 0; k < 4; k++) {
			bool reset = k & 1, reused = k & 2;

			if (!(reset && cut == len))
				failed += !run_agent_trial(&t, way, x, cut,
							   reset, reused);
		}
	}
	agent_clients_close(&t);
	return failed;
}

static void run_agent_cases(bool (*chosen)(const struct answer_case *x))
{
	int failed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		for (int way = 0; way < N_AGENT_WAYS; way++)
			if (chosen(&cases[i]) &&
			    (agent_ways[way].has_head || !is_head(&cases[i])))
				failed += run_agent_case(way, &cases[i]);
	assert_int_equal(failed, 0);
}

/* Guards against an answer cut anywhere that an agent takes for a whole one. */
static void agents_show_each_cut(void **state)
{
	(void)state;
	run_agent_cases(is_other);
}

/* Guards against an interim answer that an agent takes for the final one. */
static void agents_skip_interim_answers(void **state)
{
	(void)state;
	run_agent_cases(is_interim);
}

/* Guards against a body cut to the first of two lengths, framed as whole. */
static void agents_refuse_differing_lengths(void **state)
{
	(void)state;
	run_agent_cases(is_differing);
}

/* Guards against a call that is lost on a connection which its server ended. */
static void agents_leave_ended_connections(void **state)
{
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases) * N_AGENT_WAYS; i++) {
		const struct answer_case *x = &cases[i / N_AGENT_WAYS];
		int way = (int)(i % N_AGENT_WAYS);
		struct agent_result o;
		struct agent_clients t;
		struct fix f;

		if (x->whole != WHOLE_BY_CLOSE || is_interim(x))
			continue;
		agent_clients_open(&t, &f);
		o = agent_ask(&t, way, "GET",
			      (struct reply){ .text = x->text, .close = true });
		assert_true(o.whole);
		g_string_free(o.body, TRUE);
		o = agent_ask(&t, way, "GET",
			      (struct reply){ .text = OK_TEXT });
		if (!o.whole)
			print_error("%s: lost behind: %s\n",
				    agent_ways[way].name, x->label);
		failed += !o.whole;
		g_string_free(o.body, TRUE);
		agent_clients_close(&t);
	}
	assert_int_equal(failed, 0);
}

/* Guards against a cut head that counts as a crash, and a crash that doesn't.
 */
static void cut_heads_arent_crashes(void **state)
{
	const struct answer_case *x = &cases[0];
	size_t cuts[] = { 0, 20, head_length(x->text), strlen(x->text) - 1 };

	(void)state;
	for (size_t k = 0; k < 2 * G_N_ELEMENTS(cuts); k++) {
		char *part = g_strndup(x->text, cuts[k / 2]);
		bool crashes = k & 1;
		struct caller *c;
		struct fix f;

		fix_open(&f, "web", "");
		script_answer(&f, 0, part, true, false);
		c = call(&f, x->ask);
		if (crashes) {
			UNTIL(&f, f.eps[0].conns->len == 1);
			stop_listening(&f, 0);
		}
		UNTIL(&f, is_failure(c, x));
		for (int i = 0; i < 300; i++) {
			f.clock.fake_ms++;
			event_base_loop(f.base, EVLOOP_NONBLOCK);
			gate_tick(f.gate);
		}
		assert_int_equal(*metrics_value(f.metrics,
						"ss_gate_endpoints_ended_total",
						""),
				 crashes);
		fix_close(&f);
		g_free(part);
	}
}

/* Guards against a HEAD answer or a 304 that tells a length of 0. */
static void gate_passes_lengths_without_body(void **state)
{
	static const struct {
		const char *ask, *status, *sent, *want;
	} table[] = {
		{ HEAD_SAFE, "200 OK", "Content-Length: 5\r\n",
		  "\r\nContent-Length: 5\r\n" },
		{ HEAD_SAFE, "200 OK", "", NULL },
		{ HEAD_SAFE, "200 OK", CHUNKED, NULL },
		{ GET_SAFE, "304 Not Modified", "Content-Length: 5\r\n",
		  "\r\nContent-Length: 5\r\n" },
		{ GET_SAFE, "304 Not Modified", "", NULL },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		char *text = g_strdup_printf("HTTP/1.1 %s\r\n" HEAD "%s\r\n",
					     table[i].status, table[i].sent);
		struct caller *c;
		struct fix f;

		fix_open(&f, "web", "");
		script_answer(&f, 0, text, false, false);
		c = call(&f, table[i].ask);
		UNTIL(&f, received_ends_with(c, "\r\n\r\n"));
		assert_true(table[i].want ? has_received(c, table[i].want) :
					    !has_received(c, "Content-Length"));
		fix_close(&f);
		g_free(text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(gate_shows_each_cut),
		cmocka_unit_test(gate_shows_second_cut),
		cmocka_unit_test(gate_reads_single_bytes),
		cmocka_unit_test(cut_heads_arent_crashes),
		cmocka_unit_test(gate_passes_lengths_without_body),
		cmocka_unit_test(agents_show_each_cut),
		cmocka_unit_test(agents_skip_interim_answers),
		cmocka_unit_test(agents_refuse_differing_lengths),
		cmocka_unit_test(agents_leave_ended_connections),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
