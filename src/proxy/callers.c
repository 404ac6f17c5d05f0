/* HTTP/1.1 server side: the listener and the connections of callers. */
#include "callers.h"

#include "../net/addr.h"
#include "../net/send.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* A caller that acknowledges no data for this long is disconnected or reads too
 * slowly, and its connection is closed. */
#define UNACKED_MS 4000
/* Input buffered while a request is in progress (pipelining), in bytes. The
 * rest stays in the kernel, so that a caller can't exhaust this process's
 * memory. */
#define PIPELINED_MAX (64u << 10)
/* After the last response the caller has this long to close first. Closing
 * with unread input resets the connection, and the part of the response that
 * the caller hasn't read would be lost. */
#define LINGER_MS 500
/* After the listener is closed, a new connection stays open this long for its
 * first request: its caller is about to send one. */
#define FIRST_REQUEST_MS 500
/* Connections that wait for accept. Beyond this a caller's SYN is dropped and
 * retransmitted one second later. */
#define ACCEPT_BACKLOG 1024

/* Largest buffer that a connection keeps after use, in bytes: twice the size of
 * a read. */
#define BUFFER_KEEP_MAX (32u << 10)
/* Divisors of the memory limit, for request bodies and unread responses. A
 * request can be buffered twice: here, and for an endpoint that reads
 * slowly. */
#define BODIES_DIVISOR 4
#define UNREAD_DIVISOR 2
/* Limit of the unread bytes of one caller while memory is free: half a second
 * at 10 Mbit/s. */
#define UNREAD_MAX (512u << 10)
/* Unread bytes that a caller may always have, so that every response makes
 * progress. */
#define UNREAD_MIN (16u << 10)
/* Divisor of the free memory, for the share of one caller. It leaves memory for
 * later callers, however many read slowly. */
#define UNREAD_FREE_DIVISOR 8
/* Retry-After of a request that is refused for lack of memory, in seconds. */
#define NO_MEMORY_RETRY_AFTER_S 1

struct caller_call {
	struct caller_conn *conn;
	void *data;
	bool started, chunked;
	int64_t body_left; /* of Content-Length; -1: chunked */
};

struct caller_conn {
	struct callers *s;
	struct bufferevent *bev;
	struct http1_reader *reader;
	const struct http1_head *head;
	GString *body;
	GString *out;		  /* response data until the next flush */
	struct caller_call *call; /* request in progress, or NULL */
	bool refused;		  /* error response sent; closing */
	bool close_after;	  /* close after the current response */
	bool finishing;		  /* close once all output is written */
	bool write_shut;	  /* shut for writing; the caller closes next */
	bool had_request;	  /* received at least one request */
	bool too_large;
	bool no_memory;
	int64_t state_since_ms; /* when the current state began */
	int depth;		/* number of callbacks that still use it */
	bool closing;		/* freed when depth is 0 */
};

struct callers {
	struct callers_options o;
	struct evconnlistener *listener;
	GHashTable *conns;
	size_t body_bytes; /* of requests, all connections */
	/* Of responses that callers haven't read: added to on writes, and
	 * recomputed by callers_update_unread(). */
	size_t unread_bytes;
	bool draining;
};

static int64_t now_ms(const struct callers *s)
{
	return ss_clock_now(s->o.clock);
}

static void reset_buffer(GString **buffer)
{
	if ((*buffer)->allocated_len > BUFFER_KEEP_MAX) {
		g_string_free(*buffer, TRUE);
		*buffer = g_string_new(NULL);
	}
	g_string_truncate(*buffer, 0);
}

static void drop_body(struct caller_conn *p)
{
	p->s->body_bytes -= p->body->len;
	reset_buffer(&p->body);
}

static void conn_free(struct caller_conn *p)
{
	struct callers *s = p->s;

	if (p->call) {
		s->o.ops->caller_left(s->o.arg, p->call);
		g_free(p->call);
	}
	g_hash_table_remove(s->conns, p);
	drop_body(p);
	bufferevent_free(p->bev);
	http1_reader_free(p->reader);
	g_string_free(p->body, TRUE);
	g_string_free(p->out, TRUE);
	g_free(p);
}

static void conn_close(struct caller_conn *p)
{
	p->closing = true;
	if (p->depth == 0)
		conn_free(p);
}

/* Shuts the connection for writing and waits for the caller to close it. */
static void shut_write(struct caller_conn *p)
{
	p->write_shut = true;
	p->state_since_ms = now_ms(p->s);
	if (shutdown(bufferevent_getfd(p->bev), SHUT_WR))
		conn_close(p);
}

static void close_when_written(struct caller_conn *p)
{
	p->finishing = true;
	p->state_since_ms = now_ms(p->s);
	if (evbuffer_get_length(bufferevent_get_output(p->bev)) == 0)
		shut_write(p);
}

/* Refuses the current request without waiting for the rest of it. */
static void refuse(struct caller_conn *p, int status)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status,
			http1_reason(status));
	if (status == 503)
		g_string_append_printf(text, "Retry-After: %d\r\n",
				       NO_MEMORY_RETRY_AFTER_S);
	g_string_append(text, "Connection: close\r\n\r\n");
	bufferevent_write(p->bev, text->str, text->len);
	g_string_free(text, TRUE);
	p->s->o.ops->refused(p->s->o.arg, status);
	p->refused = true;
	drop_body(p);
	close_when_written(p);
}

/* Reading. */

static void on_head(void *arg, const struct http1_head *h)
{
	struct caller_conn *p = arg;

	p->head = h;
	p->close_after = !h->keep_alive;
	p->too_large = h->length > (int64_t)p->s->o.limits.body_bytes;
	if (http1_value(h, "Expect").n && !p->too_large)
		bufferevent_write(p->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void on_body(void *arg, struct ss_str piece)
{
	struct caller_conn *p = arg;
	struct callers *s = p->s;

	if (p->body->len + piece.n > s->o.limits.body_bytes)
		p->too_large = true;
	if (s->o.memory_max &&
	    s->body_bytes + piece.n > s->o.memory_max / BODIES_DIVISOR)
		p->no_memory = true;
	if (p->too_large || p->no_memory)
		return;
	g_string_append_len(p->body, piece.p, (gssize)piece.n);
	s->body_bytes += piece.n;
}

static void on_done(void *arg)
{
	struct caller_conn *p = arg;

	if (p->too_large || p->no_memory)
		return;
	p->call = g_new0(struct caller_call, 1);
	p->call->conn = p;
	p->had_request = true;
	p->state_since_ms = now_ms(p->s);
}

static const struct http1_ops reader_ops = { on_head, on_body, on_done };

static void await_request(struct caller_conn *p)
{
	http1_reader_reset(p->reader, false);
	p->head = NULL;
	drop_body(p);
	p->state_since_ms = now_ms(p->s);
}

static void read_request(struct caller_conn *p)
{
	struct callers *s = p->s;
	GError *error = NULL;
	bool at_start = http1_reader_at_start(p->reader);

	if (!http1_read(p->reader, bufferevent_get_input(p->bev), &error)) {
		refuse(p, error->code == SS_ERROR_TOO_LARGE ? 431 : 400);
		g_error_free(error);
		return;
	}
	if (at_start && !http1_reader_at_start(p->reader))
		p->state_since_ms = now_ms(s);
	if (p->too_large) {
		refuse(p, 413);
		return;
	}
	if (p->no_memory) {
		refuse(p, 503);
		return;
	}
	if (!p->call)
		return;
	s->o.ops->request(s->o.arg, p->call, p->head,
			  (struct ss_str){ p->body->str, p->body->len });
}

static void read_requests(struct caller_conn *p)
{
	struct evbuffer *in = bufferevent_get_input(p->bev);

	if (p->finishing) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	p->depth++;
	while (!p->call && !p->closing && !p->finishing &&
	       evbuffer_get_length(in))
		read_request(p);
	p->depth--;
	if (p->closing)
		conn_free(p);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	(void)bev;
	read_requests(arg);
}

static void on_write(struct bufferevent *bev, void *arg)
{
	struct caller_conn *p = arg;

	(void)bev;
	if (p->finishing && !p->write_shut)
		shut_write(p);
	else if (p->call && p->call->started)
		p->s->o.ops->output_written(p->s->o.arg, p->call);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	conn_close(arg);
}

static void add_conn(struct callers *s, evutil_socket_t fd)
{
	struct caller_conn *p = g_new0(struct caller_conn, 1);
	struct http1_options ro = { .request = true,
				    .head_max = s->o.limits.head_bytes,
				    .ops = &reader_ops,
				    .arg = p };
	unsigned int ms = UNACKED_MS;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	p->s = s;
	p->reader = http1_reader_new(&ro);
	p->body = g_string_new(NULL);
	p->out = g_string_new(NULL);
	p->bev = bufferevent_socket_new(s->o.base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->state_since_ms = now_ms(s);
	bufferevent_setcb(p->bev, on_read, on_write, on_event, p);
	bufferevent_setwatermark(p->bev, EV_READ, 0, PIPELINED_MAX);
	bufferevent_enable(p->bev, EV_READ | EV_WRITE);
	g_hash_table_add(s->conns, p);
}

static void on_accept(struct evconnlistener *ev, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	(void)ev;
	(void)sa;
	(void)len;
	add_conn(arg, fd);
}

/* Writing. */

void caller_call_set_data(struct caller_call *c, void *data)
{
	c->data = data;
}

void *caller_call_data(const struct caller_call *c)
{
	return c->data;
}

const struct http1_head *caller_call_head(const struct caller_call *c)
{
	return c->conn->head;
}

static size_t conn_unread_bytes(const struct caller_conn *p)
{
	return evbuffer_get_length(bufferevent_get_output(p->bev)) +
	       p->out->len;
}

bool caller_call_is_full(const struct caller_call *c)
{
	const struct callers *s = c->conn->s;
	size_t budget = s->o.memory_max / UNREAD_DIVISOR;
	size_t max = UNREAD_MAX;

	if (s->o.memory_max)
		max = MIN(max, (budget - MIN(budget, s->unread_bytes)) /
				       UNREAD_FREE_DIVISOR);
	return conn_unread_bytes(c->conn) > MAX(max, UNREAD_MIN);
}

static void flush(struct caller_conn *p)
{
	size_t before, after;

	if (p->out->len == 0)
		return;
	before = evbuffer_get_length(bufferevent_get_output(p->bev));
	send_now(p->bev, ss_str_gs(p->out));
	after = evbuffer_get_length(bufferevent_get_output(p->bev));
	p->s->unread_bytes += after - MIN(before, after);
	reset_buffer(&p->out);
}

void caller_call_flush(struct caller_call *c)
{
	flush(c->conn);
}

void caller_call_start(struct caller_call *c, int status,
		       const GString *headers, int64_t length)
{
	struct caller_conn *p = c->conn;
	const struct http1_head *h = p->head;
	bool no_body = http1_name_is(h->method, "HEAD") || status == 204 ||
		       status == 304;

	p->close_after |= p->s->draining;
	c->started = true;
	c->chunked = length < 0 && !no_body;
	c->body_left = no_body ? 0 : length;
	g_string_append_printf(p->out, "HTTP/1.1 %d %s\r\n", status,
			       http1_reason(status));
	if (headers)
		g_string_append_len(p->out, headers->str, (gssize)headers->len);
	if (c->chunked)
		g_string_append(p->out, "Transfer-Encoding: chunked\r\n");
	else if (status != 204 && length >= 0)
		g_string_append_printf(
			p->out, "Content-Length: %" PRId64 "\r\n", length);
	if (p->close_after)
		g_string_append(p->out, "Connection: close\r\n");
	g_string_append(p->out, "\r\n");
}

/* Appends the size line of a chunk: hexadecimal, built from the last digit. */
static void add_chunk_head(GString *out, size_t n)
{
	static const char digits[] = "0123456789abcdef";
	char text[2 * sizeof(n) + 2];
	size_t at = sizeof(text);

	text[--at] = '\n';
	text[--at] = '\r';
	do
		text[--at] = digits[n % 16];
	while (n /= 16);
	g_string_append_len(out, text + at, (gssize)(sizeof(text) - at));
}

void caller_call_write(struct caller_call *c, struct ss_str piece)
{
	GString *out = c->conn->out;

	if (piece.n == 0)
		return;
	if (c->chunked) {
		add_chunk_head(out, piece.n);
		g_string_append_len(out, piece.p, (gssize)piece.n);
		g_string_append_len(out, "\r\n", 2);
	} else if (c->body_left >= (int64_t)piece.n) {
		g_string_append_len(out, piece.p, (gssize)piece.n);
		c->body_left -= (int64_t)piece.n;
	}
}

void caller_call_end(struct caller_call *c, bool complete)
{
	struct caller_conn *p = c->conn;
	bool ok = complete && c->started && (c->chunked || c->body_left <= 0);

	if (ok && c->chunked)
		g_string_append(p->out, "0\r\n\r\n");
	flush(p);
	p->call = NULL;
	g_free(c);
	/* Draining that began during the response also closes the connection:
	 * a further request on it might not finish before the shutdown. */
	if (!ok || p->close_after || p->s->draining) {
		/* Written output is still sent; the close then shows the
		 * caller that an incomplete response was cut off. */
		close_when_written(p);
		return;
	}
	await_request(p);
	/* Pipelined requests are read by the loop in read_requests() if it is
	 * on the stack, else here. */
	if (p->depth == 0)
		read_requests(p);
}

void caller_call_reply(struct caller_call *c, int status,
		       const GString *headers, struct ss_str body)
{
	caller_call_start(c, status, headers, (int64_t)body.n);
	caller_call_write(c, body);
	caller_call_end(c, true);
}

/* The listener. */

struct callers *callers_new(const struct callers_options *o, GError **error)
{
	struct callers *s = g_new0(struct callers, 1);

	s->o = *o;
	s->conns = g_hash_table_new(NULL, NULL);
	s->listener = addr_listen(o->base, o->addr, ACCEPT_BACKLOG, on_accept,
				  s, error);
	if (s->listener)
		return s;
	callers_free(s);
	return NULL;
}

uint16_t callers_port(const struct callers *s)
{
	return addr_port(evconnlistener_get_fd(s->listener));
}

void callers_set_limits(struct callers *s, const struct callers_limits *l)
{
	s->o.limits = *l;
}

void callers_drain(struct callers *s)
{
	s->draining = true;
}

static GList *all_conns(struct callers *s)
{
	return g_hash_table_get_keys(s->conns);
}

static bool is_idle(const struct caller_conn *p)
{
	return !p->call && http1_reader_at_start(p->reader) &&
	       evbuffer_get_length(bufferevent_get_input(p->bev)) == 0 &&
	       evbuffer_get_length(bufferevent_get_output(p->bev)) == 0;
}

/* Accepts the connections in the kernel's backlog. Closing the listener would
 * reset them, and lose the requests that were already sent on them. */
static void accept_pending(struct callers *s)
{
	int listener = evconnlistener_get_fd(s->listener);
	int fd;

	while ((fd = accept4(listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		add_conn(s, fd);
}

/* The first call closes the listener and returns. Requests that are in the
 * kernel's buffers are read in the next iteration of the event loop, and only
 * then is it known which connections are idle. */
bool callers_close(struct callers *s)
{
	int64_t now = now_ms(s);
	bool finished = true;
	GList *all;

	if (s->listener) {
		accept_pending(s);
		evconnlistener_free(s->listener);
		s->listener = NULL;
		return false;
	}
	all = all_conns(s);
	for (GList *l = all; l; l = l->next) {
		struct caller_conn *p = l->data;

		if (!is_idle(p))
			continue;
		if (p->had_request ||
		    now - p->state_since_ms > FIRST_REQUEST_MS)
			conn_close(p);
		else
			finished = false;
	}
	g_list_free(all);
	return finished;
}

size_t callers_busy(const struct callers *s)
{
	GHashTableIter it;
	size_t n = 0;
	void *p;

	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &p, NULL))
		n += !is_idle(p);
	return n;
}

size_t callers_body_bytes(const struct callers *s)
{
	return s->body_bytes;
}

size_t callers_unread_bytes(const struct callers *s)
{
	return s->unread_bytes;
}

void callers_update_unread(struct callers *s)
{
	GHashTableIter it;
	void *p;

	if (!s->unread_bytes)
		return;
	s->unread_bytes = 0;
	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &p, NULL))
		s->unread_bytes += conn_unread_bytes(p);
}

static void close_if_expired(struct caller_conn *p, int64_t now)
{
	const struct callers_limits *l = &p->s->o.limits;
	int64_t age = now - p->state_since_ms;

	if (p->call)
		return;
	if (p->finishing) {
		if (age > (p->write_shut ? LINGER_MS : UNACKED_MS))
			conn_close(p);
	} else if (is_idle(p)) {
		if (age > l->idle_timeout_ms)
			conn_close(p);
	} else if (!http1_reader_at_start(p->reader) &&
		   age > l->head_timeout_ms) {
		refuse(p, 408);
	}
}

void callers_check_timeouts(struct callers *s)
{
	GList *all = all_conns(s);
	int64_t now = now_ms(s);

	for (GList *l = all; l; l = l->next)
		close_if_expired(l->data, now);
	g_list_free(all);
}

void callers_free(struct callers *s)
{
	GList *all;

	if (!s)
		return;
	all = all_conns(s);
	for (GList *l = all; l; l = l->next)
		conn_free(l->data);
	g_list_free(all);
	g_hash_table_unref(s->conns);
	if (s->listener)
		evconnlistener_free(s->listener);
	g_free(s);
}
