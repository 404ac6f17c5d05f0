/* HTTP/1.1 client side: connections to endpoints. */
#include "upstream.h"

#include "../base/timeval.h"
#include "../net/addr.h"
#include "../net/send.h"

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Time limit for the TCP handshake: a hundred round trips, and less than the
 * retransmission timeout of a SYN. Nothing was sent by then, so the request can
 * go to another endpoint. */
#define CONNECT_TIMEOUT_MS 400
/* A connection with data that stays unacknowledged for this long is dead: ten
 * retransmissions on a working link. */
#define UNACKED_MS 1500
/* Idle connections are closed after this time, well within the keep-alive
 * timeouts of endpoints that don't state theirs. */
#define IDLE_MS 4000
/* Idle connections are closed this long before the endpoint's keep-alive
 * timeout, so that no request races with the endpoint's close. */
#define IDLE_MARGIN_MS 600

/* Maximum number of interim (1xx) responses before the final one; endpoints
 * send one or two. */
#define INTERIM_MAX 16

struct upstream_conn {
	struct upstream *u;
	char *addr;
	struct bufferevent *bev;
	struct http1_reader *reader;
	struct upstream_call *call; /* NULL: idle */
	bool connected;
	bool reusable; /* can be kept after the response */
	bool got_head;
	bool framed;	       /* the response has a length or is chunked */
	int64_t idle_since_ms; /* start of the idle time */
	int64_t close_at_ms;   /* end of the idle time */
	int64_t keep_alive_ms; /* timeout of the endpoint; 0: not stated */
	int interim;	       /* interim responses to this call */
	int depth;	       /* number of callbacks that still use it */
	bool closing;	       /* freed when depth is 0 */
};

struct upstream_call {
	struct upstream_conn *conn;
	struct upstream_request r;
};

struct upstream {
	struct upstream_options o;
	GHashTable *idle;  /* addr -> GQueue of struct upstream_conn, most
			      recently used first */
	GHashTable *conns; /* all */
};

const char *upstream_failure_name(enum upstream_failure e)
{
	static const char *const names[] = {
		[UPSTREAM_NOT_SENT] = "not_sent",
		[UPSTREAM_SILENT] = "silent",
		[UPSTREAM_CUT] = "cut",
		[UPSTREAM_GARBLED] = "garbled",
	};

	return names[e];
}

static int64_t now_ms(const struct upstream *u)
{
	return ss_clock_now(u->o.clock);
}

static GQueue *idle_conns(struct upstream *u, const char *addr)
{
	GQueue *q = g_hash_table_lookup(u->idle, addr);

	if (!q) {
		q = g_queue_new();
		g_hash_table_insert(u->idle, g_strdup(addr), q);
	}
	return q;
}

static void conn_free(struct upstream_conn *l)
{
	if (!l->call)
		g_queue_remove(idle_conns(l->u, l->addr), l);
	g_hash_table_remove(l->u->conns, l);
	bufferevent_free(l->bev);
	http1_reader_free(l->reader);
	g_free(l->addr);
	g_free(l);
}

static void conn_close(struct upstream_conn *l)
{
	l->closing = true;
	if (l->depth == 0)
		conn_free(l);
}

/*
 * Resets a connection whose response is no longer wanted. After a normal close
 * the kernel would still deliver the buffered part of the request, seconds
 * later if the link was down. A reset discards it.
 */
static void conn_reset(struct upstream_conn *l)
{
	struct linger no_linger = { 1, 0 };

	setsockopt(bufferevent_getfd(l->bev), SOL_SOCKET, SO_LINGER, &no_linger,
		   sizeof(no_linger));
	conn_close(l);
}

/* Detaches the call from its connection and frees it. */
static struct upstream_request detach(struct upstream_conn *l)
{
	struct upstream_request r = l->call->r;

	g_free(l->call);
	l->call = NULL;
	g_queue_push_head(idle_conns(l->u, l->addr), l);
	return r;
}

static void fail(struct upstream_conn *l, enum upstream_failure failure,
		 bool closed)
{
	struct upstream_request r;

	if (!l->call) {
		conn_close(l);
		return;
	}
	l->depth++;
	r = detach(l);
	l->closing = true;
	r.ops->failed(r.arg, failure, closed);
	l->depth--;
	conn_reset(l);
}

static void on_head(void *arg, const struct http1_head *h)
{
	struct upstream_conn *l = arg;

	if (h->status / 100 == 1)
		return;
	l->got_head = true;
	l->reusable = h->keep_alive;
	l->framed = h->chunked || h->length >= 0 || l->call->r.no_body ||
		    h->status == 204 || h->status == 304;
	l->call->r.ops->head(l->call->r.arg, h);
}

static void on_body(void *arg, struct ss_str piece)
{
	struct upstream_conn *l = arg;

	if (l->call)
		l->call->r.ops->body(l->call->r.arg, piece);
}

static void keep_idle(struct upstream_conn *l)
{
	int64_t idle_ms = IDLE_MS;

	if (l->keep_alive_ms)
		idle_ms = MIN(idle_ms, l->keep_alive_ms - IDLE_MARGIN_MS);
	l->idle_since_ms = now_ms(l->u);
	l->close_at_ms = l->idle_since_ms + idle_ms;
	http1_reader_reset(l->reader, false);
	if (!l->reusable || idle_ms <= 0)
		l->closing = true;
}

static void on_done(void *arg)
{
	struct upstream_conn *l = arg;
	struct upstream_request r;

	if (!l->call)
		return;
	/* An interim (1xx) response; the final one follows. */
	if (!l->got_head) {
		l->interim++;
		http1_reader_reset(l->reader, l->call->r.no_body);
		return;
	}
	/*
	 * The connection can't be reused if part of the request is unwritten,
	 * or if surplus bytes follow the response: the next request would take
	 * them for its response.
	 */
	if (evbuffer_get_length(bufferevent_get_output(l->bev)) ||
	    evbuffer_get_length(bufferevent_get_input(l->bev)))
		l->reusable = false;
	r = detach(l);
	keep_idle(l);
	r.ops->done(r.arg);
}

static const struct http1_ops reader_ops = { on_head, on_body, on_done };

static void on_read(struct bufferevent *bev, void *arg)
{
	struct upstream_conn *l = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	bool ok = true;

	l->depth++;
	while (ok && l->call && !l->closing && evbuffer_get_length(in))
		ok = http1_read(l->reader, in, NULL) &&
		     l->interim <= INTERIM_MAX;
	if (ok && l->call && !l->closing)
		l->call->r.ops->flush(l->call->r.arg);
	/* Surplus bytes prevent reuse here as in on_done(). */
	if (!l->call && evbuffer_get_length(in))
		l->closing = true;
	l->depth--;
	if (!ok && l->call)
		fail(l, UPSTREAM_GARBLED, false);
	else if (l->closing)
		conn_close(l);
}

static enum upstream_failure failure_of(const struct upstream_conn *l)
{
	if (!l->connected)
		return UPSTREAM_NOT_SENT;
	return l->got_head || !http1_reader_at_start(l->reader) ?
		       UPSTREAM_CUT :
		       UPSTREAM_SILENT;
}

/* Returns true if the peer's kernel closed or reset the connection, as it does
 * when the process exits. A VM that is down or unreachable never answers. */
static bool is_closed_by_peer(short what)
{
	if (what & BEV_EVENT_EOF)
		return true;
	return (what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ECONNRESET;
}

static void on_disconnect(struct upstream_conn *l, short what)
{
	bool closed = is_closed_by_peer(what);

	l->depth++;
	/* A close completes a response without a length; a reset cuts it
	 * off. */
	if (l->call && l->got_head && !l->framed && (what & BEV_EVENT_EOF)) {
		l->reusable = false;
		http1_read_eof(l->reader);
	}
	l->depth--;
	if (l->call)
		fail(l, failure_of(l), closed);
	else
		conn_close(l);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct upstream_conn *l = arg;

	if (what & BEV_EVENT_CONNECTED) {
		unsigned int ms = UNACKED_MS;

		l->connected = true;
		bufferevent_set_timeouts(bev, NULL, NULL);
		setsockopt(bufferevent_getfd(bev), IPPROTO_TCP,
			   TCP_USER_TIMEOUT, &ms, sizeof(ms));
		return;
	}
	on_disconnect(l, what);
}

static struct upstream_conn *conn_new(struct upstream *u, const char *addr)
{
	struct http1_options ro = { .head_max = u->o.head_max,
				    .ops = &reader_ops };
	struct timeval connect = timeval_from_ms(CONNECT_TIMEOUT_MS);
	struct sockaddr_storage ss;
	struct upstream_conn *l;
	int len = sizeof(ss), one = 1;

	if (!addr_parse(addr, &ss, &len))
		return NULL;
	l = g_new0(struct upstream_conn, 1);
	l->u = u;
	l->addr = g_strdup(addr);
	ro.arg = l;
	l->reader = http1_reader_new(&ro);
	l->bev = bufferevent_socket_new(u->o.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(l->bev, on_read, NULL, on_event, l);
	/* While the socket connects, the write timeout is the connect
	 * timeout. */
	bufferevent_set_timeouts(l->bev, NULL, &connect);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
	g_hash_table_add(u->conns, l);
	(*u->o.opened)++;
	if (bufferevent_socket_connect(l->bev, (struct sockaddr *)&ss, len)) {
		conn_free(l);
		return NULL;
	}
	setsockopt(bufferevent_getfd(l->bev), IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
	return l;
}

/* Takes the connection that was idle for the shortest time, as it is the least
 * likely to be dead; NULL: none can be reused. */
static struct upstream_conn *
take_idle_conn(struct upstream *u, const char *addr, int64_t idle_max_ms)
{
	GQueue *idle = idle_conns(u, addr);
	GList *next;
	struct upstream_conn *found = NULL;
	int64_t now = now_ms(u);

	/* conn_close() removes only l from the queue, so next stays valid. */
	for (GList *p = idle->head; p && !found; p = next) {
		struct upstream_conn *l = p->data;

		next = p->next;
		if (l->closing)
			continue;
		if (now >= l->close_at_ms ||
		    now - l->idle_since_ms > idle_max_ms)
			break;
		if (has_no_input(l->bev))
			found = l;
		else
			conn_close(l);
	}
	if (!found)
		return NULL;
	g_queue_remove(idle, found);
	(*u->o.reused)++;
	return found;
}

static void fail_later(evutil_socket_t fd, short what, void *arg)
{
	struct upstream_call *c = arg;
	struct upstream_request r = c->r;

	(void)fd;
	(void)what;
	g_free(c);
	if (r.ops)
		r.ops->failed(r.arg, UPSTREAM_NOT_SENT, false);
}

struct upstream_call *upstream_send(struct upstream *u,
				    const struct upstream_request *r)
{
	struct upstream_call *c = g_new0(struct upstream_call, 1);
	struct upstream_conn *l = take_idle_conn(u, r->addr, r->idle_max_ms);
	struct timeval soon = { 0, 0 };

	c->r = *r;
	c->r.addr = NULL;
	c->r.bytes = NULL;
	if (!l)
		l = conn_new(u, r->addr);
	if (l) {
		c->conn = l;
		l->call = c;
		l->got_head = l->framed = l->reusable = false;
		l->interim = 0;
		http1_reader_reset(l->reader, r->no_body);
		if (l->connected)
			send_now(l->bev, ss_str_gs(r->bytes));
		else
			bufferevent_write(l->bev, r->bytes->str, r->bytes->len);
	} else {
		event_base_once(u->o.base, -1, EV_TIMEOUT, fail_later, c,
				&soon);
	}
	g_string_free(r->bytes, TRUE);
	return c;
}

void upstream_cancel(struct upstream_call *c)
{
	struct upstream_conn *l = c->conn;

	if (!l) {
		c->r.ops = NULL; /* freed by fail_later */
		return;
	}
	detach(l);
	conn_reset(l);
}

void upstream_set_keep_alive(struct upstream_call *c, int64_t idle_ms)
{
	if (c->conn)
		c->conn->keep_alive_ms = idle_ms;
}

void upstream_pause(struct upstream_call *c, bool pause)
{
	if (!c->conn)
		return;
	if (pause)
		bufferevent_disable(c->conn->bev, EV_READ);
	else
		bufferevent_enable(c->conn->bev, EV_READ);
}

bool upstream_is_connected(const struct upstream *u, const char *addr)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, u->conns);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct upstream_conn *l = p;

		if (l->connected && !l->closing && !strcmp(l->addr, addr))
			return true;
	}
	return false;
}

void upstream_close_idle(struct upstream *u, const char *addr)
{
	GQueue *q = g_hash_table_lookup(u->idle, addr);
	GList *all = q ? g_list_copy(q->head) : NULL;

	for (GList *p = all; p; p = p->next)
		conn_close(p->data);
	g_list_free(all);
}

void upstream_close_expired(struct upstream *u)
{
	int64_t now = now_ms(u);
	GHashTableIter it;
	void *q;

	g_hash_table_iter_init(&it, u->idle);
	while (g_hash_table_iter_next(&it, NULL, &q)) {
		struct upstream_conn *l;

		while ((l = g_queue_peek_tail(q)) && now >= l->close_at_ms)
			conn_free(l);
	}
}

static void queue_free(void *q)
{
	g_queue_free(q);
}

struct upstream *upstream_new(const struct upstream_options *o)
{
	struct upstream *u = g_new0(struct upstream, 1);

	u->o = *o;
	u->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					queue_free);
	u->conns = g_hash_table_new(NULL, NULL);
	return u;
}

void upstream_free(struct upstream *u)
{
	GList *all;

	if (!u)
		return;
	all = g_hash_table_get_keys(u->conns);
	for (GList *p = all; p; p = p->next) {
		struct upstream_conn *l = p->data;

		if (l->call)
			detach(l);
		conn_free(l);
	}
	g_list_free(all);
	g_hash_table_unref(u->idle);
	g_hash_table_unref(u->conns);
	g_free(u);
}
