/* Connections between the processes of this system. */
#include "conn.h"

#include "../base/timeval.h"
#include "../net/addr.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* A peer is quiet after this number of missed pings. */
#define QUIET_PINGS 2

struct conn {
	struct conn_options o;
	struct bufferevent *bev;
	struct event *timer;
	struct msg_hello peer;
	bool open;
	bool sent;	/* something was sent since the last timer tick */
	bool connected; /* the TCP handshake is done */
	bool closing;
	int depth; /* nested callbacks that use c */
	int64_t received_ms;
	int64_t timer_ms; /* last run of the timer */
	GString *out;	  /* scratch buffer for one frame */
	void *data;
};

struct listener {
	struct conn_options o;
	struct evconnlistener *ev;
};

static void conn_free(struct conn *c)
{
	if (c->timer)
		event_free(c->timer);
	if (c->bev)
		bufferevent_free(c->bev);
	g_free((char *)c->peer.name.p);
	g_free((char *)c->peer.domain.p);
	g_string_free(c->out, TRUE);
	g_free(c);
}

/* Closes a connection after an error: reports it, then frees c. */
static void conn_fail(struct conn *c, GError *why)
{
	if (!c->closing) {
		c->closing = true;
		c->open = false;
		c->o.ops->closed(c->o.arg, c, why);
	}
	g_clear_error(&why);
	if (c->depth == 0)
		conn_free(c);
}

void conn_close(struct conn *c)
{
	c->closing = true;
	c->open = false;
	if (c->depth == 0)
		conn_free(c);
}

static void write_frame(struct conn *c, const GString *frame)
{
	bufferevent_write(c->bev, frame->str, frame->len);
	c->sent = true;
	if (c->o.bytes_out)
		*c->o.bytes_out += frame->len;
}

static void send_frame(struct conn *c, enum msg_kind kind, const void *msg)
{
	g_string_truncate(c->out, 0);
	frame_add(c->out, kind, msg);
	write_frame(c, c->out);
	if (c->out->allocated_len > 65536) {
		g_string_free(c->out, TRUE);
		c->out = g_string_sized_new(256);
	}
}

static bool can_send(const struct conn *c)
{
	return c->open && conn_backlog(c) <= CONN_BACKLOG_MAX;
}

bool conn_send(struct conn *c, enum msg_kind kind, const void *msg)
{
	if (!can_send(c))
		return false;
	send_frame(c, kind, msg);
	return true;
}

bool conn_send_frame(struct conn *c, const GString *frame)
{
	if (!can_send(c))
		return false;
	write_frame(c, frame);
	return true;
}

static bool handle_hello(struct conn *c, struct frame *f, GError **error)
{
	const struct msg_hello *h = &f->u.hello;

	if (f->kind != MSG_HELLO) {
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a message before the hello");
		return false;
	}
	if (h->version != CONN_PROTOCOL) {
		g_set_error(error, SS_ERROR, SS_ERROR_VERSION,
			    "peer %.*s uses protocol %" PRIu64
			    ", this process %d",
			    SS_FMT(h->name), h->version, CONN_PROTOCOL);
		return false;
	}
	if (h->group && c->o.self->group && h->group != c->o.self->group) {
		g_set_error(error, SS_ERROR, SS_ERROR_CONFLICT,
			    "peer %.*s belongs to another group",
			    SS_FMT(h->name));
		return false;
	}
	c->peer = *h;
	c->peer.name.p = ss_str_dup(h->name);
	c->peer.domain.p = ss_str_dup(h->domain);
	c->open = true;
	c->o.ops->open(c->o.arg, c);
	return true;
}

static bool handle_frame(struct conn *c, const uint8_t *p, size_t n,
			 GError **error)
{
	struct frame f;
	GError *e = NULL;
	bool ok = true;

	if (!frame_decode(p, n, &f, &e)) {
		if (e)
			g_propagate_error(error, e);
		return e == NULL;
	}
	if (!c->open)
		ok = handle_hello(c, &f, error);
	else if (f.kind != MSG_PING && f.kind != MSG_HELLO)
		c->o.ops->message(c->o.arg, c, &f);
	frame_done(&f);
	return ok;
}

static bool read_frames(struct conn *c, GError **error)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	while (!c->closing) {
		uint8_t head[FRAME_HEAD];
		ev_ssize_t got = evbuffer_copyout(in, head, FRAME_HEAD);
		size_t n = frame_length(head, (size_t)MAX(got, 0), error);

		if (n == 0)
			return got < FRAME_HEAD;
		if (evbuffer_get_length(in) < n)
			return true;
		if (c->o.bytes_in)
			*c->o.bytes_in += n;
		if (!handle_frame(c, evbuffer_pullup(in, (ev_ssize_t)n), n,
				  error))
			return false;
		evbuffer_drain(in, n);
	}
	return true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	GError *error = NULL;

	(void)bev;
	c->received_ms = ss_clock_now(c->o.clock);
	c->depth++;
	if (!read_frames(c, &error) && !c->closing) {
		c->closing = true;
		c->open = false;
		c->o.ops->closed(c->o.arg, c, error);
	}
	g_clear_error(&error);
	c->depth--;
	if (c->closing)
		conn_free(c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *c = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		c->connected = true;
		return;
	}
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		conn_fail(c, g_error_new(SS_ERROR, SS_ERROR_LOST, "%s",
					 what & BEV_EVENT_EOF ?
						 "closed by the peer" :
						 g_strerror(errno)));
}

/*
 * Sends a ping if nothing else was sent, and closes a silent connection. A
 * middlebox may drop the state of a connection: neither end then gets an error,
 * and writes are lost. A working peer is never silent for more than a few
 * pings.
 */
static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct conn *c = arg;
	struct msg_ping ping = { 0 };
	int64_t now = ss_clock_now(c->o.clock);
	/* After a pause of this process what the peer has sent may be unread.
	 */
	bool paused = now - c->timer_ms > 2 * c->o.ping_ms;

	(void)fd;
	(void)what;
	c->timer_ms = now;
	if (!paused && conn_quiet_ms(c) > c->o.silent_ms) {
		conn_fail(c, g_error_new(SS_ERROR, SS_ERROR_LOST,
					 "silent for %" PRId64 " ms",
					 conn_quiet_ms(c)));
		return;
	}
	if (c->open && !c->sent)
		send_frame(c, MSG_PING, &ping);
	c->sent = false;
	if (c->open && c->o.quiet && conn_is_quiet(c))
		c->o.quiet(c->o.arg, c);
}

static struct conn *conn_new(const struct conn_options *o, int fd)
{
	struct conn *c = g_new0(struct conn, 1);
	struct timeval tv;

	c->o = *o;
	c->o.ping_ms = o->ping_ms ? o->ping_ms : CONN_PING_MS;
	c->o.silent_ms = o->silent_ms ? o->silent_ms : CONN_SILENT_MS;
	c->out = g_string_sized_new(256);
	c->received_ms = c->timer_ms = ss_clock_now(o->clock);
	c->bev = bufferevent_socket_new(o->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	c->timer = event_new(o->base, -1, EV_PERSIST, on_timer, c);
	tv = timeval_from_ms(c->o.ping_ms);
	event_add(c->timer, &tv);
	return c;
}

static void start_conn(struct conn *c, int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	send_frame(c, MSG_HELLO, c->o.self);
}

struct conn *conn_connect(const struct conn_options *o, const char *addr)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct conn *c = conn_new(o, -1);

	if (!addr_parse(addr, &ss, &len) ||
	    bufferevent_socket_connect(c->bev, (struct sockaddr *)&ss, len)) {
		/* The timer reports the failure, after the caller has got c. */
		c->received_ms = INT64_MIN / 2;
		return c;
	}
	start_conn(c, bufferevent_getfd(c->bev));
	return c;
}

static void on_accept(struct evconnlistener *ev, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct listener *l = arg;

	(void)ev;
	(void)sa;
	(void)len;
	start_conn(conn_new(&l->o, fd), fd);
}

struct listener *conn_listen(const struct conn_options *o, const char *addr,
			     GError **error)
{
	struct listener *l = g_new0(struct listener, 1);

	l->o = *o;
	l->ev = addr_listen(o->base, addr, -1, on_accept, l, error);
	if (l->ev)
		return l;
	g_free(l);
	return NULL;
}

uint16_t conn_listener_port(const struct listener *l)
{
	return addr_port(evconnlistener_get_fd(l->ev));
}

void conn_listener_free(struct listener *l)
{
	if (!l)
		return;
	evconnlistener_free(l->ev);
	g_free(l);
}

bool conn_is_connected(const struct conn *c)
{
	return c->connected;
}

bool conn_is_open(const struct conn *c)
{
	return c->open;
}

const struct msg_hello *conn_peer(const struct conn *c)
{
	return &c->peer;
}

void conn_set_data(struct conn *c, void *data)
{
	c->data = data;
}

void *conn_data(const struct conn *c)
{
	return c->data;
}

int64_t conn_quiet_ms(const struct conn *c)
{
	return ss_clock_now(c->o.clock) - c->received_ms;
}

void conn_set_silent_ms(struct conn *c, int64_t ms)
{
	c->o.silent_ms = ms;
}

bool conn_is_quiet(const struct conn *c)
{
	return conn_quiet_ms(c) > QUIET_PINGS * c->o.ping_ms;
}

size_t conn_backlog(const struct conn *c)
{
	return evbuffer_get_length(bufferevent_get_output(c->bev));
}
