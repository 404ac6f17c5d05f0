/* HTTP server for callers. */
#include "caller.h"

#include "../net/http.h"

#include <errno.h>
#include <evhtp.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that may wait to be accepted. Beyond that, a caller's SYN is
 * dropped, and sent again a second later. */
#define BACKLOG 1024
/* Interval of the check for idle and slow callers, and its precision. */
#define SWEEP_MS 500
/* How long a caller may take to read the rest of a truncated answer. */
#define TRUNCATED_WRITE_TIMEOUT_S 5

struct caller {
	struct caller_options o;
	evhtp_t *htp;
	struct event *sweep;
	GQueue conns;	     /* struct caller_conn */
	GHashTable *by_conn; /* evhtp_connection_t -> struct caller_conn */
};

struct caller_conn {
	struct caller *c;
	evhtp_connection_t *conn;
	struct caller_req *req;	  /* request in progress */
	int64_t receive_start_ms; /* start of an incomplete request */
	bool receiving;
	GList link;
};

struct caller_req {
	struct caller *c;
	struct caller_conn *cc; /* NULL once the connection is being freed */
	evhtp_request_t *req;
	bool started;
	void *data;
};

static evhtp_res on_request_fini(evhtp_request_t *req, void *arg)
{
	struct caller_req *r = arg;

	(void)req;
	if (r->cc)
		r->cc->req = NULL;
	r->c->o.ops->disconnected(r->c->o.arg, r);
	g_free(r);
	return EVHTP_RES_OK;
}

static int collect_header(evhtp_kv_t *kv, void *arg)
{
	struct header h = { { kv->key, kv->klen }, { kv->val, kv->vlen } };

	g_array_append_val((GArray *)arg, h);
	return 0;
}

static const char *const method_names[] = {
	[htp_method_GET] = "GET",	[htp_method_HEAD] = "HEAD",
	[htp_method_POST] = "POST",	[htp_method_PUT] = "PUT",
	[htp_method_DELETE] = "DELETE", [htp_method_OPTIONS] = "OPTIONS",
	[htp_method_PATCH] = "PATCH",
};

static struct ss_str method_of(evhtp_request_t *req)
{
	htp_method m = evhtp_request_get_method(req);

	if ((size_t)m >= G_N_ELEMENTS(method_names) || !method_names[m])
		return SS_LIT("");
	return ss_str(method_names[m]);
}

static void deliver_request(struct caller_req *r, evhtp_request_t *req)
{
	struct caller *c = r->c;
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct header));
	GString *path = g_string_new(req->uri->path->full);
	size_t n = evbuffer_get_length(req->buffer_in);
	struct caller_head h = { .method = method_of(req) };

	if (req->uri->query_raw && *req->uri->query_raw)
		g_string_append_printf(path, "?%s",
				       (const char *)req->uri->query_raw);
	evhtp_kvs_for_each(req->headers_in, collect_header, headers);
	h.path = ss_str_gs(path);
	h.headers = (struct header *)headers->data;
	h.n_headers = headers->len;
	h.body.p = n ? (char *)evbuffer_pullup(req->buffer_in, -1) : "";
	h.body.n = n;
	c->o.ops->request(c->o.arg, r, &h);
	g_array_unref(headers);
	g_string_free(path, TRUE);
}

static void on_request(evhtp_request_t *req, void *arg)
{
	struct caller *c = arg;
	evhtp_connection_t *conn = evhtp_request_get_connection(req);
	struct caller_conn *cc = g_hash_table_lookup(c->by_conn, conn);
	struct caller_req *r;

	if (!cc) {
		evhtp_send_reply(req, EVHTP_RES_SERVERR);
		return;
	}
	cc->receiving = false;
	r = g_new0(struct caller_req, 1);
	r->c = c;
	r->cc = cc;
	r->req = req;
	cc->req = r;
	evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
			       (evhtp_hook)on_request_fini, r);
	deliver_request(r, req);
}

static evhtp_res on_headers_start(evhtp_request_t *req, void *arg)
{
	struct caller_conn *cc = arg;

	(void)req;
	cc->receiving = true;
	cc->receive_start_ms = ss_clock_now(cc->c->o.clock);
	return EVHTP_RES_OK;
}

static evhtp_res on_conn_fini(evhtp_connection_t *conn, void *arg)
{
	struct caller_conn *cc = arg;

	/* libevhtp frees the connection before its request. */
	if (cc->req)
		cc->req->cc = NULL;
	g_hash_table_remove(cc->c->by_conn, conn);
	g_queue_unlink(&cc->c->conns, &cc->link);
	g_free(cc);
	return EVHTP_RES_OK;
}

static evhtp_res on_accept(evhtp_connection_t *conn, void *arg)
{
	struct caller *c = arg;
	struct caller_conn *cc = g_new0(struct caller_conn, 1);
	int one = 1;

	setsockopt(conn->sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	cc->c = c;
	cc->conn = conn;
	cc->link.data = cc;
	/* The sweep closes only connections that are receiving; a connection
	 * that sends nothing must be among them. */
	cc->receiving = true;
	cc->receive_start_ms = ss_clock_now(c->o.clock);
	g_queue_push_tail_link(&c->conns, &cc->link);
	g_hash_table_insert(c->by_conn, conn, cc);
	evhtp_connection_set_hook(conn, evhtp_hook_on_headers_start,
				  (evhtp_hook)on_headers_start, cc);
	evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
				  (evhtp_hook)on_conn_fini, cc);
	return EVHTP_RES_OK;
}

/* Closes connections whose request isn't complete in time. */
static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct caller *c = arg;
	int64_t now = ss_clock_now(c->o.clock);
	GList *next;

	(void)fd;
	(void)what;
	for (GList *p = c->conns.head; p; p = next) {
		struct caller_conn *cc = p->data;

		next = p->next;
		if (!cc->receiving ||
		    now - cc->receive_start_ms < c->o.receive_ms)
			continue;
		c->o.ops->refused(c->o.arg, SS_ERROR_DEADLINE);
		evhtp_connection_free(cc->conn);
	}
}

/*
 * Binds without SO_REUSEPORT. libevhtp's own bind lets several processes share
 * a port: a second entry started by mistake would get a part of the callers.
 */
static int bind_socket(const char *addr)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	int fd;

	if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&ss, &len))
		return -1;
	fd = socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return -1;
	evutil_make_listen_socket_reuseable(fd);
	if (bind(fd, (struct sockaddr *)&ss, (socklen_t)len) == 0)
		return fd;
	close(fd);
	return -1;
}

struct caller *caller_new(const struct caller_options *o, GError **error)
{
	struct caller *c = g_new0(struct caller, 1);
	struct timeval tv = { 0, SWEEP_MS * 1000 };
	int fd;

	c->o = *o;
	g_queue_init(&c->conns);
	c->by_conn = g_hash_table_new(NULL, NULL);
	c->htp = evhtp_new(o->base, NULL);
	evhtp_set_max_body_size(c->htp, o->max_body);
	evhtp_set_gencb(c->htp, on_request, c);
	evhtp_set_post_accept_cb(c->htp, on_accept, c);
	fd = bind_socket(o->addr);
	if (fd >= 0 && evhtp_accept_socket(c->htp, fd, BACKLOG) == 0) {
		c->sweep = event_new(o->base, -1, EV_PERSIST, on_sweep, c);
		event_add(c->sweep, &tv);
		return c;
	}
	g_set_error(error, SS_ERROR, SS_ERROR_IO, "listen on %s: %s", o->addr,
		    g_strerror(errno));
	evhtp_free(c->htp);
	g_hash_table_unref(c->by_conn);
	g_free(c);
	return NULL;
}

void caller_stop_accepting(struct caller *c)
{
	if (c->htp->server)
		evhtp_unbind_socket(c->htp);
}

void caller_free(struct caller *c)
{
	if (!c)
		return;
	while (c->conns.head) {
		struct caller_conn *cc = c->conns.head->data;

		evhtp_connection_free(cc->conn);
	}
	event_free(c->sweep);
	evhtp_free(c->htp);
	g_hash_table_unref(c->by_conn);
	g_free(c);
}

size_t caller_connections(const struct caller *c)
{
	return c->conns.length;
}

bool caller_all_written(const struct caller *c)
{
	for (GList *p = c->conns.head; p; p = p->next) {
		struct caller_conn *cc = p->data;
		struct bufferevent *bev = evhtp_connection_get_bev(cc->conn);

		if (bev && evbuffer_get_length(bufferevent_get_output(bev)))
			return false;
	}
	return true;
}

const char *caller_header(const struct caller_head *h, const char *name)
{
	size_t n = strlen(name);

	for (size_t i = 0; i < h->n_headers; i++)
		if (h->headers[i].name.n == n &&
		    !g_ascii_strncasecmp(h->headers[i].name.p, name, n))
			return h->headers[i].value.p;
	return NULL;
}

static void add_headers(struct caller_req *r, const struct header *h, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		char *name = ss_str_dup(h[i].name);
		char *value = ss_str_dup(h[i].value);

		evhtp_headers_add_header(r->req->headers_out,
					 evhtp_header_new(name, value, 1, 1));
		g_free(name);
		g_free(value);
	}
}

/* Unhooks a request before its last write, in which libevhtp may free it. */
static void detach(struct caller_req *r)
{
	evhtp_request_unset_hook(r->req, evhtp_hook_on_request_fini);
	r->cc->req = NULL;
}

void caller_reply(struct caller_req *r, int status, const struct header *h,
		  size_t n, struct ss_str body)
{
	add_headers(r, h, n);
	evbuffer_add(r->req->buffer_out, body.p, body.n);
	detach(r);
	evhtp_send_reply(r->req, (evhtp_res)status);
	g_free(r);
}

void caller_start(struct caller_req *r, int status, const struct header *h,
		  size_t n)
{
	add_headers(r, h, n);
	r->started = true;
	evhtp_send_reply_chunk_start(r->req, (evhtp_res)status);
}

void caller_chunk(struct caller_req *r, struct ss_str data)
{
	struct evbuffer *buf;

	if (data.n == 0)
		return;
	buf = evbuffer_new();
	evbuffer_add(buf, data.p, data.n);
	evhtp_send_reply_chunk(r->req, buf);
	evbuffer_free(buf);
}

static void on_written(struct bufferevent *bev, void *arg)
{
	(void)arg;
	bufferevent_free(bev);
}

static void on_write_failed(struct bufferevent *bev, short what, void *arg)
{
	(void)what;
	(void)arg;
	bufferevent_free(bev);
}

/*
 * Closes a connection once its output is written. libevhtp closes only after a
 * complete answer; after a body without its last chunk, the caller would wait
 * for more.
 */
static void close_after_write(struct caller_conn *cc)
{
	evhtp_connection_t *conn = cc->conn;
	struct timeval tv = { TRUNCATED_WRITE_TIMEOUT_S, 0 };
	struct bufferevent *bev;

	evhtp_connection_unset_hook(conn, evhtp_hook_on_connection_fini);
	on_conn_fini(conn, cc);
	bev = evhtp_connection_take_ownership(conn);
	evhtp_connection_free(conn);
	if (evbuffer_get_length(bufferevent_get_output(bev)) == 0) {
		bufferevent_free(bev);
		return;
	}
	bufferevent_setcb(bev, NULL, on_written, on_write_failed, NULL);
	bufferevent_set_timeouts(bev, NULL, &tv);
	bufferevent_enable(bev, EV_WRITE);
}

void caller_end(struct caller_req *r, bool complete)
{
	detach(r);
	if (complete)
		evhtp_send_reply_chunk_end(r->req);
	else
		close_after_write(r->cc);
	g_free(r);
}

bool caller_started(const struct caller_req *r)
{
	return r->started;
}

void caller_set_data(struct caller_req *r, void *data)
{
	r->data = data;
}

void *caller_data(const struct caller_req *r)
{
	return r->data;
}
