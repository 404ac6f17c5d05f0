/* Callers' connections. */
#include "callers.h"

#include "../net/addr.h"
#include "../net/send.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* A caller who takes nothing for so long isn't there any more, or reads too
 * slowly for anybody to wait for. */
#define UNACKED_MS 4000
/* Requests that are sent before the one in progress is answered; more are
 * left in the kernel, so that nobody makes this process hold them. */
#define AHEAD_MAX (64u << 10)
/* After the last answer the caller gets so long to close first: a close
 * with unread bytes resets the connection, and what the caller hasn't read
 * of the answer would be lost. */
#define LINGER_MS 500
/* Once no more are taken, a connection that hasn't brought a request yet may
 * bring it for so long: it was made by a caller who is about to send one. */
#define FIRST_REQUEST_MS 500
/* Connections that wait to be accepted; beyond it a caller's first packet is
 * lost, and sent again a second later. */
#define BACKLOG 1024

/* A larger buffer isn't kept by a connection, in bytes: twice what one read
 * gives. */
#define BUFFER_KEEP (32u << 10)
/* The shares of the memory that requests and answers may take. A request stands
 * twice: here, and on its way to an endpoint that reads slowly. */
#define BODIES_SHARE 4
#define UNREAD_SHARE 2
/* What may wait for one caller, in bytes, while there is room: half a second of
 * a link of 10 Mbit/s. */
#define UNREAD_MOST (512u << 10)
/* And always: an answer goes on, if slowly. */
#define UNREAD_LEAST (16u << 10)
/* One caller may take this part of what is still free, so that room is left for
 * those who come after it, however many read slowly. */
#define UNREAD_PART 8
/* A caller whose request has no room may come back after so long, in s. */
#define NO_ROOM_BACK_S 1

struct caller_call {
	struct peer *peer;
	void *data;
	bool started, chunked;
	int64_t left; /* of the length told; -1: chunked */
};

struct peer {
	struct callers *s;
	struct bufferevent *bev;
	struct http1_reader *reader;
	const struct http1_head *head;
	GString *body;
	GString *out;		  /* of the answer, until the next flush */
	struct caller_call *call; /* NULL: none in progress */
	bool refused;		  /* it is only written out and closed */
	bool last;     /* the answer in progress ends the connection */
	bool finished; /* close once all is written */
	bool shut;     /* all is written; only the caller's close is missing */
	bool used;     /* it has brought a request */
	bool too_large;
	bool no_room;
	int64_t since_ms; /* of the state it is in */
	int depth;
	bool closing;
};

struct callers {
	struct callers_options o;
	struct evconnlistener *listener;
	GHashTable *peers;
	size_t bodies; /* bytes, of all peers */
	size_t unread; /* bytes; counted now and then, and as they are written
			*/
	bool draining;
};

static int64_t now_ms(const struct callers *s)
{
	return ss_clock_now(s->o.clock);
}

static void trim(GString **buffer)
{
	if ((*buffer)->allocated_len > BUFFER_KEEP) {
		g_string_free(*buffer, TRUE);
		*buffer = g_string_new(NULL);
	}
	g_string_truncate(*buffer, 0);
}

static void drop_body(struct peer *p)
{
	p->s->bodies -= p->body->len;
	trim(&p->body);
}

static void peer_free(struct peer *p)
{
	struct callers *s = p->s;

	if (p->call) {
		s->o.ops->gone(s->o.arg, p->call);
		g_free(p->call);
	}
	g_hash_table_remove(s->peers, p);
	drop_body(p);
	bufferevent_free(p->bev);
	http1_reader_free(p->reader);
	g_string_free(p->body, TRUE);
	g_string_free(p->out, TRUE);
	g_free(p);
}

static void peer_close(struct peer *p)
{
	p->closing = true;
	if (p->depth == 0)
		peer_free(p);
}

/* All is written: tell so, and wait for the caller's close. */
static void shut(struct peer *p)
{
	p->shut = true;
	p->since_ms = now_ms(p->s);
	if (shutdown(bufferevent_getfd(p->bev), SHUT_WR))
		peer_close(p);
}

static void finish(struct peer *p)
{
	p->finished = true;
	p->since_ms = now_ms(p->s);
	if (evbuffer_get_length(bufferevent_get_output(p->bev)) == 0)
		shut(p);
}

/* Refuse what can't be read; the rest of it isn't waited for. */
static void refuse(struct peer *p, int status)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status,
			http1_reason(status));
	if (status == 503)
		g_string_append_printf(text, "Retry-After: %d\r\n",
				       NO_ROOM_BACK_S);
	g_string_append(text, "Connection: close\r\n\r\n");
	bufferevent_write(p->bev, text->str, text->len);
	g_string_free(text, TRUE);
	p->s->o.ops->refused(p->s->o.arg, status);
	p->refused = true;
	drop_body(p);
	finish(p);
}

/* Reading. */

static void on_head(void *arg, const struct http1_head *h)
{
	struct peer *p = arg;

	p->head = h;
	p->last = !h->keep_alive;
	p->too_large = h->length > (int64_t)p->s->o.limits.body_bytes;
	if (http1_value(h, "Expect").n && !p->too_large)
		bufferevent_write(p->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void on_body(void *arg, struct ss_str piece)
{
	struct peer *p = arg;

	struct callers *s = p->s;

	if (p->body->len + piece.n > s->o.limits.body_bytes)
		p->too_large = true;
	if (s->o.memory && s->bodies + piece.n > s->o.memory / BODIES_SHARE)
		p->no_room = true;
	if (p->too_large || p->no_room)
		return;
	g_string_append_len(p->body, piece.p, (gssize)piece.n);
	s->bodies += piece.n;
}

static void on_done(void *arg)
{
	struct peer *p = arg;

	if (p->too_large || p->no_room)
		return;
	p->call = g_new0(struct caller_call, 1);
	p->call->peer = p;
	p->used = true;
	p->since_ms = now_ms(p->s);
}

static const struct http1_ops reader_ops = { on_head, on_body, on_done };

static void next_request(struct peer *p)
{
	http1_reader_reset(p->reader, false);
	p->head = NULL;
	drop_body(p);
	p->since_ms = now_ms(p->s);
}

static void read_one(struct peer *p)
{
	struct callers *s = p->s;
	GError *error = NULL;
	bool fresh = http1_reader_fresh(p->reader);

	if (!http1_read(p->reader, bufferevent_get_input(p->bev), &error)) {
		refuse(p, error->code == SS_ERROR_TOO_LARGE ? 431 : 400);
		g_error_free(error);
		return;
	}
	if (fresh && !http1_reader_fresh(p->reader))
		p->since_ms = now_ms(s);
	if (p->too_large) {
		refuse(p, 413);
		return;
	}
	if (p->no_room) {
		refuse(p, 503);
		return;
	}
	if (!p->call)
		return;
	s->o.ops->request(s->o.arg, p->call, p->head,
			  (struct ss_str){ p->body->str, p->body->len });
}

static void read_more(struct peer *p)
{
	struct evbuffer *in = bufferevent_get_input(p->bev);

	if (p->finished) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	p->depth++;
	while (!p->call && !p->closing && !p->finished &&
	       evbuffer_get_length(in))
		read_one(p);
	p->depth--;
	if (p->closing)
		peer_free(p);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	(void)bev;
	read_more(arg);
}

static void on_write(struct bufferevent *bev, void *arg)
{
	struct peer *p = arg;

	(void)bev;
	if (p->finished && !p->shut)
		shut(p);
	else if (p->call && p->call->started)
		p->s->o.ops->drained(p->s->o.arg, p->call);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	peer_close(arg);
}

static void add_peer(struct callers *s, evutil_socket_t fd)
{
	struct peer *p = g_new0(struct peer, 1);
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
	p->since_ms = now_ms(s);
	bufferevent_setcb(p->bev, on_read, on_write, on_event, p);
	bufferevent_setwatermark(p->bev, EV_READ, 0, AHEAD_MAX);
	bufferevent_enable(p->bev, EV_READ | EV_WRITE);
	g_hash_table_add(s->peers, p);
}

static void on_accept(struct evconnlistener *ev, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	(void)ev;
	(void)sa;
	(void)len;
	add_peer(arg, fd);
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
	return c->peer->head;
}

static size_t unread(const struct peer *p)
{
	return evbuffer_get_length(bufferevent_get_output(p->bev)) +
	       p->out->len;
}

bool caller_call_is_full(const struct caller_call *c)
{
	const struct callers *s = c->peer->s;
	size_t room = s->o.memory / UNREAD_SHARE;
	size_t most = UNREAD_MOST;

	if (s->o.memory)
		most = MIN(most, (room - MIN(room, s->unread)) / UNREAD_PART);
	return unread(c->peer) > MAX(most, UNREAD_LEAST);
}

static void flush(struct peer *p)
{
	size_t before, after;

	if (p->out->len == 0)
		return;
	before = evbuffer_get_length(bufferevent_get_output(p->bev));
	send_now(p->bev, ss_str_gs(p->out));
	after = evbuffer_get_length(bufferevent_get_output(p->bev));
	p->s->unread += after - MIN(before, after);
	trim(&p->out);
}

void caller_call_flush(struct caller_call *c)
{
	flush(c->peer);
}

void caller_call_start(struct caller_call *c, int status,
		       const GString *headers, int64_t length)
{
	struct peer *p = c->peer;
	const struct http1_head *h = p->head;
	bool no_body = http1_name_is(h->method, "HEAD") || status == 204 ||
		       status == 304;

	p->last |= p->s->draining;
	c->started = true;
	c->chunked = length < 0 && !no_body;
	c->left = no_body ? 0 : length;
	g_string_append_printf(p->out, "HTTP/1.1 %d %s\r\n", status,
			       http1_reason(status));
	if (headers)
		g_string_append_len(p->out, headers->str, (gssize)headers->len);
	if (c->chunked)
		g_string_append(p->out, "Transfer-Encoding: chunked\r\n");
	else if (status != 204 && length >= 0)
		g_string_append_printf(
			p->out, "Content-Length: %" PRId64 "\r\n", length);
	if (p->last)
		g_string_append(p->out, "Connection: close\r\n");
	g_string_append(p->out, "\r\n");
}

/* A chunk's size in hexadecimal; its digits are made from the last. */
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
	GString *out = c->peer->out;

	if (piece.n == 0)
		return;
	if (c->chunked) {
		add_chunk_head(out, piece.n);
		g_string_append_len(out, piece.p, (gssize)piece.n);
		g_string_append_len(out, "\r\n", 2);
	} else if (c->left >= (int64_t)piece.n) {
		g_string_append_len(out, piece.p, (gssize)piece.n);
		c->left -= (int64_t)piece.n;
	}
}

void caller_call_end(struct caller_call *c, bool whole)
{
	struct peer *p = c->peer;
	bool good = whole && c->started && (c->chunked || c->left <= 0);

	if (good && c->chunked)
		g_string_append(p->out, "0\r\n\r\n");
	flush(p);
	p->call = NULL;
	g_free(c);
	/* A stop that began during the answer ends the connection too, else
	 * the next request on it would come too late to be finished. */
	if (!good || p->last || p->s->draining) {
		/* What was written goes out; its end shows what is missing. */
		finish(p);
		return;
	}
	next_request(p);
	/* Requests that were sent ahead are read by the loop below us, or
	 * in their own turn. */
	if (p->depth == 0)
		read_more(p);
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
	s->peers = g_hash_table_new(NULL, NULL);
	s->listener =
		addr_listen(o->base, o->addr, BACKLOG, on_accept, s, error);
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

static GList *all_peers(struct callers *s)
{
	return g_hash_table_get_keys(s->peers);
}

static bool at_rest(const struct peer *p)
{
	return !p->call && http1_reader_fresh(p->reader) &&
	       evbuffer_get_length(bufferevent_get_input(p->bev)) == 0 &&
	       evbuffer_get_length(bufferevent_get_output(p->bev)) == 0;
}

/* Connections that the kernel has made are ours: closing the listener would
 * reset them, with the requests that were sent on them. */
static void take_made(struct callers *s)
{
	int listener = evconnlistener_get_fd(s->listener);
	int fd;

	while ((fd = accept4(listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		add_peer(s, fd);
}

/* What the kernel holds of a request is read in the turn of the loop after the
 * listener's close: before that nobody is known to be at rest. */
bool callers_close(struct callers *s)
{
	int64_t now = now_ms(s);
	bool rest = true;
	GList *all;

	if (s->listener) {
		take_made(s);
		evconnlistener_free(s->listener);
		s->listener = NULL;
		return false;
	}
	all = all_peers(s);
	for (GList *l = all; l; l = l->next) {
		struct peer *p = l->data;

		if (!at_rest(p))
			continue;
		if (p->used || now - p->since_ms > FIRST_REQUEST_MS)
			peer_close(p);
		else
			rest = false;
	}
	g_list_free(all);
	return rest;
}

size_t callers_busy(const struct callers *s)
{
	GHashTableIter it;
	size_t n = 0;
	void *p;

	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, &p, NULL))
		n += !at_rest(p);
	return n;
}

size_t callers_held(const struct callers *s)
{
	return s->bodies;
}

size_t callers_unread(const struct callers *s)
{
	return s->unread;
}

void callers_count(struct callers *s)
{
	GHashTableIter it;
	void *p;

	if (!s->unread)
		return;
	s->unread = 0;
	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, &p, NULL))
		s->unread += unread(p);
}

static void tidy(struct peer *p, int64_t now)
{
	const struct callers_limits *l = &p->s->o.limits;
	int64_t age = now - p->since_ms;

	if (p->call)
		return;
	if (p->finished) {
		if (age > (p->shut ? LINGER_MS : UNACKED_MS))
			peer_close(p);
	} else if (at_rest(p)) {
		if (age > l->idle_ms)
			peer_close(p);
	} else if (!http1_reader_fresh(p->reader) && age > l->head_ms) {
		refuse(p, 408);
	}
}

void callers_tidy(struct callers *s)
{
	GList *all = all_peers(s);
	int64_t now = now_ms(s);

	for (GList *l = all; l; l = l->next)
		tidy(l->data, now);
	g_list_free(all);
}

void callers_free(struct callers *s)
{
	GList *all;

	if (!s)
		return;
	all = all_peers(s);
	for (GList *l = all; l; l = l->next)
		peer_free(l->data);
	g_list_free(all);
	g_hash_table_unref(s->peers);
	if (s->listener)
		evconnlistener_free(s->listener);
	g_free(s);
}
