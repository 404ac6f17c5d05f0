/* Connections to endpoints. */
#include "upstream.h"

#include "../base/timeval.h"
#include "../net/addr.h"
#include "../net/send.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* A connection that isn't made by then is given up: a hundred round trips,
 * and less than a lost SYN takes to be sent again. Nothing was sent, so the
 * request goes elsewhere. */
#define CONNECT_MS 400
/* Bytes that an endpoint doesn't acknowledge for so long never arrive; the
 * connection has gone silent. Ten retransmissions of a working link. */
#define UNACKED_MS 1500
/* Connections at rest are closed after so long, well within what endpoints
 * keep them for where they don't tell. */
#define REST_MS 4000
/* Closed this much before the endpoint would, so that no request crosses
 * its close. */
#define REST_MARGIN_MS 600

struct line {
	struct upstream *u;
	char *addr;
	struct bufferevent *bev;
	struct http1_reader *reader;
	struct upstream_call *call; /* NULL: at rest */
	bool connected;
	bool keep; /* the answer leaves it open */
	bool head_seen;
	bool framed;	  /* the answer tells where it ends */
	int64_t rest_ms;  /* since when */
	int64_t until_ms; /* to be closed by then */
	int64_t idle_ms;  /* what the endpoint told; 0: nothing */
	int depth;
	bool closing;
};

struct upstream_call {
	struct line *line;
	struct upstream_request r;
};

struct upstream {
	struct upstream_options o;
	GHashTable *idle;  /* addr -> GQueue of struct line, newest first */
	GHashTable *lines; /* all */
};

const char *upstream_end_name(enum upstream_end e)
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

static GQueue *idle_of(struct upstream *u, const char *addr)
{
	GQueue *q = g_hash_table_lookup(u->idle, addr);

	if (!q) {
		q = g_queue_new();
		g_hash_table_insert(u->idle, g_strdup(addr), q);
	}
	return q;
}

static void line_free(struct line *l)
{
	if (!l->call)
		g_queue_remove(idle_of(l->u, l->addr), l);
	g_hash_table_remove(l->u->lines, l);
	bufferevent_free(l->bev);
	http1_reader_free(l->reader);
	g_free(l->addr);
	g_free(l);
}

static void line_close(struct line *l)
{
	l->closing = true;
	if (l->depth == 0)
		line_free(l);
}

/*
 * End a line whose answer nobody waits for any more. After a close in good
 * order the kernel would go on to deliver what it still holds of the request,
 * seconds later if a link is cut; a reset calls it back.
 */
static void line_break(struct line *l)
{
	struct linger none = { 1, 0 };

	setsockopt(bufferevent_getfd(l->bev), SOL_SOCKET, SO_LINGER, &none,
		   sizeof(none));
	line_close(l);
}

/* Take the call off its line and free it. */
static struct upstream_request detach(struct line *l)
{
	struct upstream_request r = l->call->r;

	g_free(l->call);
	l->call = NULL;
	g_queue_push_head(idle_of(l->u, l->addr), l);
	return r;
}

static void fail(struct line *l, enum upstream_end end, bool closed)
{
	struct upstream_request r;

	if (!l->call) {
		line_close(l);
		return;
	}
	l->depth++;
	r = detach(l);
	l->closing = true;
	r.ops->failed(r.arg, end, closed);
	l->depth--;
	line_break(l);
}

static void on_head(void *arg, const struct http1_head *h)
{
	struct line *l = arg;

	if (h->status / 100 == 1)
		return;
	l->head_seen = true;
	l->keep = h->keep_alive;
	l->framed = h->chunked || h->length >= 0 || l->call->r.no_body ||
		    h->status == 204 || h->status == 304;
	l->call->r.ops->head(l->call->r.arg, h);
}

static void on_body(void *arg, struct ss_str piece)
{
	struct line *l = arg;

	if (l->call)
		l->call->r.ops->body(l->call->r.arg, piece);
}

static void rest(struct line *l)
{
	int64_t for_ms = REST_MS;

	if (l->idle_ms)
		for_ms = MIN(for_ms, l->idle_ms - REST_MARGIN_MS);
	l->rest_ms = now_ms(l->u);
	l->until_ms = l->rest_ms + for_ms;
	http1_reader_reset(l->reader, false);
	if (!l->keep || for_ms <= 0)
		l->closing = true;
}

static void on_done(void *arg)
{
	struct line *l = arg;
	struct upstream_request r;

	if (!l->call)
		return;
	/* An interim answer: the real one follows. */
	if (!l->head_seen) {
		http1_reader_reset(l->reader, l->call->r.no_body);
		return;
	}
	/*
	 * Not kept where the rest of the request is still to be written, or
	 * bytes stand behind the answer: they belong to no request, and the
	 * next one would take them for its answer.
	 */
	if (evbuffer_get_length(bufferevent_get_output(l->bev)) ||
	    evbuffer_get_length(bufferevent_get_input(l->bev)))
		l->keep = false;
	r = detach(l);
	rest(l);
	r.ops->done(r.arg);
}

static const struct http1_ops reader_ops = { on_head, on_body, on_done };

static void on_read(struct bufferevent *bev, void *arg)
{
	struct line *l = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	bool ok = true;

	l->depth++;
	while (ok && l->call && !l->closing && evbuffer_get_length(in))
		ok = http1_read(l->reader, in, NULL);
	if (ok && l->call && !l->closing)
		l->call->r.ops->flush(l->call->r.arg);
	/* The same where they come later. */
	if (!l->call && evbuffer_get_length(in))
		l->closing = true;
	l->depth--;
	if (!ok && l->call)
		fail(l, UPSTREAM_GARBLED, false);
	else if (l->closing)
		line_close(l);
}

static enum upstream_end how_it_ended(const struct line *l)
{
	if (!l->connected)
		return UPSTREAM_NOT_SENT;
	return l->head_seen || !http1_reader_fresh(l->reader) ? UPSTREAM_CUT :
								UPSTREAM_SILENT;
}

/* A process that ends has its connections closed or reset by its VM; one on a
 * VM that is off or cut off never answers. */
static bool is_closed(short what)
{
	if (what & BEV_EVENT_EOF)
		return true;
	return (what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ECONNRESET;
}

static void on_end(struct line *l, short what)
{
	bool closed = is_closed(what);

	l->depth++;
	/* An answer without a length ends here; after a reset it is cut. */
	if (l->call && l->head_seen && !l->framed && (what & BEV_EVENT_EOF)) {
		l->keep = false;
		http1_read_eof(l->reader);
	}
	l->depth--;
	if (l->call)
		fail(l, how_it_ended(l), closed);
	else
		line_close(l);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct line *l = arg;

	if (what & BEV_EVENT_CONNECTED) {
		unsigned int ms = UNACKED_MS;

		l->connected = true;
		bufferevent_set_timeouts(bev, NULL, NULL);
		setsockopt(bufferevent_getfd(bev), IPPROTO_TCP,
			   TCP_USER_TIMEOUT, &ms, sizeof(ms));
		return;
	}
	on_end(l, what);
}

static struct line *line_new(struct upstream *u, const char *addr)
{
	struct http1_options ro = { .head_max = u->o.head_max,
				    .ops = &reader_ops };
	struct timeval connect = timeval_of(CONNECT_MS);
	struct sockaddr_storage ss;
	struct line *l;
	int len = sizeof(ss), one = 1;

	if (!addr_parse(addr, &ss, &len))
		return NULL;
	l = g_new0(struct line, 1);
	l->u = u;
	l->addr = g_strdup(addr);
	ro.arg = l;
	l->reader = http1_reader_new(&ro);
	l->bev = bufferevent_socket_new(u->o.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(l->bev, on_read, NULL, on_event, l);
	/* While it connects, the write timeout is that of the connection. */
	bufferevent_set_timeouts(l->bev, NULL, &connect);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
	g_hash_table_add(u->lines, l);
	(*u->o.opened)++;
	if (bufferevent_socket_connect(l->bev, (struct sockaddr *)&ss, len)) {
		line_free(l);
		return NULL;
	}
	setsockopt(bufferevent_getfd(l->bev), IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
	return l;
}

/*
 * Nothing has come on it, and it wasn't closed. What the loop hasn't read
 * yet would be taken for the next answer; a close that it hasn't seen would
 * leave open whether the request arrived.
 */
static bool is_quiet(const struct line *l)
{
	char c;

	return recv(bufferevent_getfd(l->bev), &c, 1, MSG_PEEK | MSG_DONTWAIT) <
		       0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* The line that rested the shortest; the others may be silent by now. */
static struct line *take_idle(struct upstream *u, const char *addr,
			      int64_t rest_max_ms)
{
	GQueue *idle = idle_of(u, addr);
	GList *next;
	struct line *found = NULL;
	int64_t now = now_ms(u);

	/* A line that is closed leaves the queue, but no other does. */
	for (GList *p = idle->head; p && !found; p = next) {
		struct line *l = p->data;

		next = p->next;
		if (l->closing)
			continue;
		if (now >= l->until_ms || now - l->rest_ms > rest_max_ms)
			break;
		if (is_quiet(l))
			found = l;
		else
			line_close(l);
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
	struct line *l = take_idle(u, r->addr, r->rest_max_ms);
	struct timeval soon = { 0, 0 };

	c->r = *r;
	c->r.addr = NULL;
	c->r.bytes = NULL;
	if (!l)
		l = line_new(u, r->addr);
	if (l) {
		c->line = l;
		l->call = c;
		l->head_seen = l->framed = l->keep = false;
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
	struct line *l = c->line;

	if (!l) {
		c->r.ops = NULL; /* freed by fail_later */
		return;
	}
	detach(l);
	line_break(l);
}

void upstream_keep_for(struct upstream_call *c, int64_t idle_ms)
{
	if (c->line)
		c->line->idle_ms = idle_ms;
}

void upstream_pause(struct upstream_call *c, bool pause)
{
	if (!c->line)
		return;
	if (pause)
		bufferevent_disable(c->line->bev, EV_READ);
	else
		bufferevent_enable(c->line->bev, EV_READ);
}

bool upstream_reaches(const struct upstream *u, const char *addr)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, u->lines);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct line *l = p;

		if (l->connected && !l->closing && !strcmp(l->addr, addr))
			return true;
	}
	return false;
}

void upstream_forget(struct upstream *u, const char *addr)
{
	GQueue *q = g_hash_table_lookup(u->idle, addr);
	GList *all = q ? g_list_copy(q->head) : NULL;

	for (GList *p = all; p; p = p->next)
		line_close(p->data);
	g_list_free(all);
}

void upstream_tidy(struct upstream *u)
{
	int64_t now = now_ms(u);
	GHashTableIter it;
	void *q;

	g_hash_table_iter_init(&it, u->idle);
	while (g_hash_table_iter_next(&it, NULL, &q)) {
		struct line *l;

		while ((l = g_queue_peek_tail(q)) && now >= l->until_ms)
			line_free(l);
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
	u->lines = g_hash_table_new(NULL, NULL);
	return u;
}

void upstream_free(struct upstream *u)
{
	GList *all;

	if (!u)
		return;
	all = g_hash_table_get_keys(u->lines);
	for (GList *p = all; p; p = p->next) {
		struct line *l = p->data;

		if (l->call)
			detach(l);
		line_free(l);
	}
	g_list_free(all);
	g_hash_table_unref(u->idle);
	g_hash_table_unref(u->lines);
	g_free(u);
}
