/* Tests of endpoints that send bytes without end instead of an answer: they are
 * bounded, and the connection is closed. */
#include "gate_fix.h"

#include <event2/listener.h>
#include <signal.h>

#include "../src/net/http.h"
#include "../src/net/http_client.h"
#include "../src/net/relay.h"

/* More than any bound that applies before a body, in bytes. */
#define HEAD_BYTES_MAX (1 << 20)
/* More than any bound on an answer's body, in bytes. */
#define BODY_BYTES_MAX (160 << 20)

/* More than the bytes in flight and those that an agent's relay keeps. */
#define KEPT_BYTES_MAX (24 << 20)

struct endless_case {
	const char *label;
	const char *start, *piece; /* the piece repeats */
	size_t max_bytes;
	const char *want; /* that a gate's caller gets; NULL: a cut answer */
	bool kept;	  /* by libevent, until it is complete */
};

#define LINES_OF_X                                                             \
	"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define OK_HEAD "HTTP/1.1 200 OK\r\n" HEAD

static const struct endless_case cases[] = {
	{ "no line", "", LINES_OF_X, HEAD_BYTES_MAX, "HTTP/1.1 502 ", false },
	{ "status line", "HTTP/1.1 200 ", LINES_OF_X, HEAD_BYTES_MAX,
	  "HTTP/1.1 502 ", false },
	{ "field name", "HTTP/1.1 200 OK\r\n", LINES_OF_X, HEAD_BYTES_MAX,
	  "HTTP/1.1 502 ", false },
	{ "field value", "HTTP/1.1 200 OK\r\nX-Long: ", LINES_OF_X,
	  HEAD_BYTES_MAX, "HTTP/1.1 502 ", false },
	{ "fields", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", HEAD_BYTES_MAX,
	  "HTTP/1.1 502 ", false },
	{ "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n",
	  HEAD_BYTES_MAX, "HTTP/1.1 502 ", false },
	{ "size of a chunk", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
	  "0000000000000000", HEAD_BYTES_MAX, "HTTP/1.1 502 ", false },
	{ "extension of a chunk",
	  OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1;", LINES_OF_X,
	  HEAD_BYTES_MAX, "HTTP/1.1 502 ", false },
	{ "trailers",
	  OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
	  "X-More: 1\r\n", HEAD_BYTES_MAX, "HTTP/1.1 502 ", false },
	{ "chunk", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n3900000\r\n",
	  LINES_OF_X, BODY_BYTES_MAX, NULL, true },
	{ "body", OK_HEAD "\r\n", LINES_OF_X, BODY_BYTES_MAX, NULL, false },
	{ "body in chunks", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
	  "10\r\nxxxxxxxxxxxxxxxx\r\n", BODY_BYTES_MAX, NULL, false },
};

/* A listener whose connections each get a case's bytes without end. */
struct endless {
	struct event_base *base;
	struct evconnlistener *listener;
	const struct endless_case *x;
	GString *block; /* many pieces */
	GPtrArray *conns;
	size_t sent; /* behind the start */
	bool asked;  /* a request has come, and the start has been sent */
	char addr[32];
};

/* Returns about 64 KB of the piece. */
static GString *block_of(const char *piece)
{
	GString *s = g_string_new(NULL);

	while (s->len < 64 << 10)
		g_string_append(s, piece);
	return s;
}

static void on_drained(struct bufferevent *bev, void *arg)
{
	struct endless *e = arg;

	if (!e->asked || e->sent > BODY_BYTES_MAX)
		return;
	e->sent += e->block->len;
	bufferevent_write(bev, e->block->str, e->block->len);
}

static void on_asked(struct bufferevent *bev, void *arg)
{
	struct endless *e = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	if (!e->asked)
		bufferevent_write(bev, e->x->start, strlen(e->x->start));
	e->asked = true;
	on_drained(bev, e);
}

static void on_gone(struct bufferevent *bev, short what, void *arg)
{
	(void)what;
	(void)arg;
	bufferevent_disable(bev, EV_READ | EV_WRITE);
}

static void on_accepted(struct evconnlistener *l, evutil_socket_t fd,
			struct sockaddr *sa, int len, void *arg)
{
	struct endless *e = arg;
	struct bufferevent *bev =
		bufferevent_socket_new(e->base, fd, BEV_OPT_CLOSE_ON_FREE);

	(void)l;
	(void)sa;
	(void)len;
	bufferevent_setcb(bev, on_asked, on_drained, on_gone, e);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	g_ptr_array_add(e->conns, bev);
}

static void endless_open(struct endless *e, struct event_base *base,
			 const struct endless_case *x)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);

	memset(e, 0, sizeof(*e));
	e->base = base;
	e->x = x;
	e->block = block_of(x->piece);
	e->conns = g_ptr_array_new_with_free_func(
		(GDestroyNotify)bufferevent_free);
	e->listener = evconnlistener_new_bind(base, on_accepted, e,
					      LEV_OPT_CLOSE_ON_FREE, 8,
					      (struct sockaddr *)&sin,
					      sizeof(sin));
	assert_non_null(e->listener);
	getsockname(evconnlistener_get_fd(e->listener), (struct sockaddr *)&sin,
		    &len);
	g_snprintf(e->addr, sizeof(e->addr), "127.0.0.1:%d",
		   ntohs(sin.sin_port));
}

static void endless_close(struct endless *e)
{
	evconnlistener_free(e->listener);
	g_ptr_array_unref(e->conns);
	g_string_free(e->block, TRUE);
}

struct result {
	bool done;
	int status;
};

static void on_request_done(void *arg, int status, struct ss_str body,
			    const GError *error)
{
	struct result *o = arg;

	(void)body;
	(void)error;
	o->done = true;
	o->status = status;
}

static void on_call_done(void *arg, const struct http_client_response *a)
{
	on_request_done(arg, a->status, a->body, NULL);
}

static void await_outcome(struct endless *e, const struct result *o,
			  const char *client)
{
	while (!o->done && e->sent <= BODY_BYTES_MAX)
		event_base_loop(e->base, EVLOOP_ONCE);
	if (!o->done || o->status / 100 == 2)
		fail_msg("%s, %s: %s after %zu bytes", client, e->x->label,
			 o->done ? "an answer" : "no end", e->sent);
}

/*
 * Guards against a process that grows without end, as it reads the list of
 * endpoints, a report or an order's answer: the timeout only bounds silence.
 */
static void clients_bound_what_they_read(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct event_base *base = event_base_new();
		struct result by_request = { 0 }, by_client = { 0 };
		struct http_request_options ro = { .base = base,
						   .method = "GET",
						   .path = "/",
						   .timeout_ms = 2000,
						   .done = on_request_done,
						   .arg = &by_request };
		struct http_client_call call = { .method = "GET",
						 .path = "/",
						 .timeout_ms = 2000,
						 .done = on_call_done,
						 .arg = &by_client };
		struct http_client *client;
		struct endless e;

		endless_open(&e, base, &cases[i]);
		ro.addr = e.addr;
		http_request(&ro);
		await_outcome(&e, &by_request, "request");
		endless_close(&e);
		endless_open(&e, base, &cases[i]);
		client = http_client_new(base, e.addr);
		http_client_send(client, &call);
		await_outcome(&e, &by_client, "client");
		http_client_free(client);
		event_base_loop(base, EVLOOP_NONBLOCK);
		endless_close(&e);
		event_base_free(base);
	}
}

/*
 * Guards against an entry that reads such bytes until its caller's deadline:
 * the connection is closed, the endpoint is judged, and the caller is answered,
 * or its answer cut, while there is time left.
 */
static void gate_bounds_what_it_reads(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct endless_case *x = &cases[i];
		GString *block = block_of(x->piece);
		size_t sent = 0;
		struct caller *c;
		struct fix f;

		fix_open(&f, "web", "");
		script_answer(&f, 0, *x->start ? x->start : x->piece, false,
			      false);
		c = call(&f, POST_ONCE);
		UNTIL(&f, f.eps[0].requests == 1);
		while (f.eps[0].newest && sent <= x->max_bytes) {
			endpoint_send(&f, 0, block->str);
			sent += block->len;
			run_loop_once(&f);
			if (!x->want && c->got->len > block->len)
				g_string_truncate(c->got, 0);
		}
		/* A body is read at its caller's pace. */
		for (int k = 0; !x->want && k < 100000 && f.eps[0].newest;
		     k++) {
			run_loop_once(&f);
			g_string_truncate(c->got, 0);
		}
		if (f.eps[0].newest)
			fail_msg("%s: no end after %zu bytes", x->label, sent);
		UNTIL(&f, x->want ? has_received(c, x->want) : c->ended);
		assert_true(f.eps[0].reset > 0);
		fix_close(&f);
		g_string_free(block, TRUE);
	}
}

static void on_piece(void *arg, struct msg_reply *m)
{
	struct result *o = arg;

	if (m->end)
		on_request_done(o, m->code ? 0 : 200, m->data, NULL);
}

/*
 * Guards against an agent that grows without end, as it passes on an answer: a
 * head, a chunk or its size is kept until it is complete.
 */
static void relay_bounds_what_it_reads(void **state)
{
	struct msg_call m = { .method = SS_LIT("GET"), .path = SS_LIT("/") };
	int failed = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct event_base *base = event_base_new();
		struct result o = { 0 };
		struct relay *relay;
		size_t max_bytes = KEPT_BYTES_MAX;
		struct endless e;

		if (!cases[i].kept)
			max_bytes += cases[i].max_bytes;
		endless_open(&e, base, &cases[i]);
		relay = relay_new(base, e.addr);
		relay_start(relay, &m, on_piece, &o);
		while (!o.done && e.sent <= MIN(max_bytes, BODY_BYTES_MAX))
			event_base_loop(base, EVLOOP_ONCE);
		if (!o.done || o.status) {
			print_error("relay, %s: %s after %zu bytes\n",
				    cases[i].label,
				    o.done ? "an answer" : "no end", e.sent);
			failed++;
		}
		relay_free(relay);
		event_base_loop(base, EVLOOP_NONBLOCK);
		endless_close(&e);
		event_base_free(base);
	}
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(clients_bound_what_they_read),
		cmocka_unit_test(relay_bounds_what_it_reads),
		cmocka_unit_test(gate_bounds_what_it_reads),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
