/* Forwarding of calls to an HTTP endpoint. */
#include "relay.h"

#include "http.h"
#include "send.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

/* Idle connections kept per endpoint: as many as an engine has slots. */
#define IDLE_CONNS_MAX 64
/* A response of known length up to this is passed on as one piece, in bytes. */
#define BUFFERED_MAX 65536
/* The endpoint is taken to have lost a call after this time without data. */
#define STALL_MS 600000

/* A connection to the endpoint. */
struct relay_conn {
	struct evhttp_connection *http;
	struct http_answer_watch watch;
};

struct relay {
	struct event_base *base;
	char *ip, *addr;
	uint16_t port;
	GQueue idle;  /* struct relay_conn */
	GQueue calls; /* struct relay_call */
};

struct relay_call {
	struct relay *r;
	struct relay_conn *conn;
	struct evhttp_request *req;
	void (*piece)(void *arg, struct msg_reply *m);
	void *arg;
	GArray *headers;   /* struct header, of the response */
	GString *buffered; /* body of a small response */
	int status;
	bool started; /* the first piece was passed on */
	bool failed;  /* on an established connection */
	GList link;
};

struct relay *relay_new(struct event_base *base, const char *addr)
{
	struct relay *r = g_new0(struct relay, 1);

	r->base = base;
	r->addr = g_strdup(addr);
	if (!http_split_addr(addr, &r->ip, &r->port))
		r->ip = g_strdup("");
	g_queue_init(&r->idle);
	g_queue_init(&r->calls);
	return r;
}

static void call_free(struct relay_call *c)
{
	g_queue_unlink(&c->r->calls, &c->link);
	for (guint i = 0; i < c->headers->len; i++) {
		struct header *h = &g_array_index(c->headers, struct header, i);

		g_free((char *)h->name.p);
		g_free((char *)h->value.p);
	}
	g_array_unref(c->headers);
	g_string_free(c->buffered, TRUE);
	g_free(c);
}

static struct relay_conn *conn_new(struct relay *r)
{
	struct relay_conn *conn = g_new0(struct relay_conn, 1);
	struct timeval tv = { STALL_MS / 1000, 0 };

	conn->http = evhttp_connection_base_new(r->base, NULL, r->ip, r->port);
	evhttp_connection_set_timeout_tv(conn->http, &tv);
	http_watch_answers(&conn->watch, conn->http, HTTP_PASSED_MAX);
	return conn;
}

static void conn_free(struct relay_conn *conn)
{
	http_unwatch_answers(&conn->watch);
	evhttp_connection_free(conn->http);
	g_free(conn);
}

static void conn_free_later(struct relay *r, struct relay_conn *conn)
{
	http_unwatch_answers(&conn->watch);
	http_free_later(r->base, conn->http);
	g_free(conn);
}

void relay_free(struct relay *r)
{
	struct relay_conn *conn;

	if (!r)
		return;
	while (r->calls.head)
		relay_cancel(r->calls.head->data);
	while ((conn = g_queue_pop_head(&r->idle)))
		conn_free(conn);
	g_free(r->ip);
	g_free(r->addr);
	g_free(r);
}

static bool is_hop_header(const char *name)
{
	static const char *const hop[] = { "Connection", "Transfer-Encoding",
					   "Keep-Alive", "Content-Length",
					   "Host" };

	for (size_t i = 0; i < G_N_ELEMENTS(hop); i++)
		if (!g_ascii_strcasecmp(name, hop[i]))
			return true;
	return false;
}

static void emit(struct relay_call *c, struct ss_str data, bool end)
{
	struct msg_reply m = { .data = data, .end = end };

	if (!c->started) {
		m.status = c->status;
		m.headers.items = c->headers->data;
		m.headers.n = c->headers->len;
		c->started = true;
	}
	c->piece(c->arg, &m);
}

static int on_headers(struct evhttp_request *req, void *arg)
{
	struct relay_call *c = arg;
	struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	struct evkeyval *kv;
	bool final;
	int result = http_check_head(&c->conn->watch, req, &final);

	if (result < 0 || !final)
		return result;
	c->status = evhttp_request_get_response_code(req);
	for (kv = in->tqh_first; kv; kv = kv->next.tqe_next) {
		struct header h = { ss_str(g_strdup(kv->key)),
				    ss_str(g_strdup(kv->value)) };

		if (is_hop_header(kv->key)) {
			g_free((char *)h.name.p);
			g_free((char *)h.value.p);
			continue;
		}
		g_array_append_val(c->headers, h);
	}
	return 0;
}

static bool is_buffered(struct evhttp_request *req)
{
	const char *n = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Content-Length");

	return n && g_ascii_strtoull(n, NULL, 10) <= BUFFERED_MAX;
}

static void on_chunk(struct evhttp_request *req, void *arg)
{
	struct relay_call *c = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	struct ss_str data = { (char *)evbuffer_pullup(in, -1), n };

	if (n == 0)
		return;
	if (is_buffered(req))
		g_string_append_len(c->buffered, data.p, (gssize)n);
	else
		emit(c, data, false);
}

static void on_error(enum evhttp_request_error e, void *arg)
{
	struct relay_call *c = arg;

	if (e != EVREQ_HTTP_REQUEST_CANCEL)
		c->failed = true;
}

static void emit_failure(struct relay_call *c, bool reached)
{
	struct msg_reply m = { .end = true,
			       .code = SS_ERROR_ENDPOINT,
			       .outcome = OUTCOME_NOT_RUN,
			       .text = SS_LIT("the endpoint takes no "
					      "connection") };

	if (reached) {
		m.outcome = OUTCOME_UNKNOWN;
		m.text = SS_LIT("the endpoint broke the connection");
	}
	c->piece(c->arg, &m);
}

static void on_done(struct evhttp_request *req, void *arg)
{
	struct relay_call *c = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;
	struct relay_conn *conn = c->conn;
	struct relay *r = c->r;

	if (c->failed || !req) {
		emit_failure(c, true);
	} else if (status == 0) {
		emit_failure(c, false);
	} else {
		if (!c->started && c->status == 0)
			on_headers(req, c);
		on_chunk(req, c);
		emit(c, ss_str_gs(c->buffered), true);
	}
	if (status && !c->failed && r->idle.length < IDLE_CONNS_MAX)
		g_queue_push_head(&r->idle, conn);
	else
		conn_free_later(r, conn);
	call_free(c);
}

/* Takes an idle connection; NULL: none can be used again. */
static struct relay_conn *take_idle(struct relay *r)
{
	struct relay_conn *conn;

	while ((conn = g_queue_pop_head(&r->idle))) {
		if (has_no_input(evhttp_connection_get_bufferevent(conn->http)))
			break;
		conn_free(conn);
	}
	return conn;
}

static struct relay_conn *connection(struct relay *r, bool once)
{
	/*
	 * The endpoint may close an idle connection while a call is being
	 * written to it; whether the call ran is then unknown. A call that must
	 * not be repeated gets a new connection.
	 */
	struct relay_conn *conn = once ? NULL : take_idle(r);

	if (!conn)
		return conn_new(r);
	http_watch_next(&conn->watch);
	return conn;
}

static enum evhttp_cmd_type method_of(struct ss_str m)
{
	static const struct {
		const char *name;
		enum evhttp_cmd_type type;
	} methods[] = {
		{ "GET", EVHTTP_REQ_GET },
		{ "POST", EVHTTP_REQ_POST },
		{ "PUT", EVHTTP_REQ_PUT },
		{ "DELETE", EVHTTP_REQ_DELETE },
		{ "PATCH", EVHTTP_REQ_PATCH },
		{ "HEAD", EVHTTP_REQ_HEAD },
		{ "OPTIONS", EVHTTP_REQ_OPTIONS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++)
		if (ss_str_eq(m, ss_str(methods[i].name)))
			return methods[i].type;
	return EVHTTP_REQ_POST;
}

struct relay_call *relay_start(struct relay *r, const struct msg_call *m,
			       void (*piece)(void *arg, struct msg_reply *m),
			       void *arg)
{
	struct relay_call *c = g_new0(struct relay_call, 1);
	const struct header *h = m->headers.items;
	struct evkeyvalq *out;
	char *path = ss_str_dup(m->path);

	c->r = r;
	c->piece = piece;
	c->arg = arg;
	c->headers = g_array_new(FALSE, FALSE, sizeof(struct header));
	c->buffered = g_string_new(NULL);
	c->conn = connection(r, m->once);
	c->link.data = c;
	g_queue_push_tail_link(&r->calls, &c->link);
	c->req = evhttp_request_new(on_done, c);
	evhttp_request_set_header_cb(c->req, on_headers);
	evhttp_request_set_chunked_cb(c->req, on_chunk);
	evhttp_request_set_error_cb(c->req, on_error);
	out = evhttp_request_get_output_headers(c->req);
	evhttp_add_header(out, "Host", r->addr);
	for (size_t i = 0; i < m->headers.n; i++) {
		char *name = ss_str_dup(h[i].name);
		char *value = ss_str_dup(h[i].value);

		if (!is_hop_header(name))
			evhttp_add_header(out, name, value);
		g_free(name);
		g_free(value);
	}
	http_add_body(c->req, m->body);
	evhttp_make_request(c->conn->http, c->req, method_of(m->method), path);
	g_free(path);
	return c;
}

void relay_cancel(struct relay_call *c)
{
	struct relay_conn *conn = c->conn;

	evhttp_cancel_request(c->req);
	conn_free(conn);
	call_free(c);
}
