/* HTTP servers and a client on evhttp. */
#include "http.h"

#include "../base/timeval.h"

#include <event2/bufferevent.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <json-c/json.h>
#include <sys/socket.h>

/* Size limit of request headers, in bytes, as in common servers. */
#define HEADERS_MAX 16384
/* Maximum size of all heads of an answer, interim ones among them, in bytes. */
#define HEADS_MAX (4 * HEADERS_MAX)
/* An idle client is disconnected after this time; scrapers send a request every
 * 5 to 15 s. */
#define SERVER_TIMEOUT_S 20

struct http_server {
	struct http_server_options o;
	struct evhttp *http;
};

int http_status(enum ss_error code)
{
	switch (code) {
	case SS_ERROR_BAD_REQUEST:
	case SS_ERROR_SETTINGS:
	case SS_ERROR_FRAME:
	case SS_ERROR_VERSION:
		return 400;
	case SS_ERROR_AUTH:
		return 401;
	case SS_ERROR_UNKNOWN_MODEL:
	case SS_ERROR_UNKNOWN_POOL:
	case SS_ERROR_NOT_FOUND:
		return 404;
	case SS_ERROR_CONFLICT:
	case SS_ERROR_FENCED:
		return 409;
	case SS_ERROR_TOO_LARGE:
		return 413;
	case SS_ERROR_OVERLOAD:
		return 429;
	case SS_ERROR_LOST:
	case SS_ERROR_ENDPOINT:
		return 502;
	case SS_ERROR_DEADLINE:
		return 504;
	case SS_ERROR_DISK_FULL:
		return 507;
	case SS_ERROR_UNAVAILABLE:
	case SS_ERROR_DRAINING:
	case SS_ERROR_MEMORY:
	case SS_ERROR_NOT_LEADER:
	case SS_ERROR_CANCELLED:
		return 503;
	default:
		return 500;
	}
}

static void add_string(json_object *o, const char *key, const char *value)
{
	if (value)
		json_object_object_add(o, key, json_object_new_string(value));
}

GString *http_error_json(enum ss_error code, const char *text,
			 const char *outcome, const char *request_id)
{
	json_object *root = json_object_new_object();
	json_object *e = json_object_new_object();
	GString *s;

	add_string(e, "type", ss_error_name(code));
	add_string(e, "message", text);
	add_string(e, "outcome", outcome);
	add_string(e, "request_id", request_id);
	json_object_object_add(root, "error", e);
	s = g_string_new(json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
	return s;
}

static void on_request(struct evhttp_request *req, void *arg)
{
	struct http_server *s = arg;

	s->o.handle(s->o.arg, req);
}

bool http_split_addr(const char *addr, char **ip, uint16_t *port)
{
	const char *colon = strrchr(addr, ':');

	if (!colon)
		return false;
	*port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
	if (addr[0] == '[' && colon > addr + 1)
		*ip = g_strndup(addr + 1, (gsize)(colon - addr - 2));
	else
		*ip = g_strndup(addr, (gsize)(colon - addr));
	return true;
}

struct http_server *http_server_new(const struct http_server_options *o,
				    GError **error)
{
	struct http_server *s = g_new0(struct http_server, 1);
	char *ip = NULL;
	uint16_t port = 0;
	bool bound;

	s->o = *o;
	s->http = evhttp_new(o->base);
	evhttp_set_allowed_methods(s->http,
				   EVHTTP_REQ_GET | EVHTTP_REQ_POST |
					   EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH |
					   EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
	evhttp_set_max_headers_size(s->http, HEADERS_MAX);
	evhttp_set_max_body_size(s->http, (ev_ssize_t)o->max_body);
	/* An incomplete request must not hold a connection forever. */
	evhttp_set_timeout(s->http, SERVER_TIMEOUT_S);
	evhttp_set_gencb(s->http, on_request, s);
	bound = http_split_addr(o->addr, &ip, &port) &&
		evhttp_bind_socket(s->http, ip, port) == 0;
	g_free(ip);
	if (bound)
		return s;
	g_set_error(error, SS_ERROR, SS_ERROR_IO, "listen on %s: %s", o->addr,
		    g_strerror(errno));
	http_server_free(s);
	return NULL;
}

void http_server_free(struct http_server *s)
{
	if (!s)
		return;
	evhttp_free(s->http);
	g_free(s);
}

void http_reply(struct evhttp_request *req, int status, const char *type,
		struct ss_str body)
{
	struct evbuffer *buf = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", type);
	evbuffer_add(buf, body.p, body.n);
	evhttp_send_reply(req, status, NULL, buf);
	evbuffer_free(buf);
}

void http_reply_json(struct evhttp_request *req, int status, json_object *body)
{
	const char *s = json_object_to_json_string_ext(
		body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

	http_reply(req, status, "application/json", ss_str(s));
	json_object_put(body);
}

void http_reply_error(struct evhttp_request *req, const GError *error)
{
	GString *s = http_error_json((enum ss_error)error->code, error->message,
				     NULL, NULL);

	http_reply(req, http_status((enum ss_error)error->code),
		   "application/json", ss_str_gs(s));
	g_string_free(s, TRUE);
}

struct ss_str http_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);

	return (struct ss_str){ (char *)evbuffer_pullup(in, -1), n };
}

json_object *http_body_json(struct evhttp_request *req, GError **error)
{
	struct ss_str body = http_body(req);
	json_tokener *tok = json_tokener_new();
	json_object *o = NULL;

	if (body.n)
		o = json_tokener_parse_ex(tok, body.p, (int)body.n);
	json_tokener_free(tok);
	if (json_object_is_type(o, json_type_object))
		return o;
	json_object_put(o);
	g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
		    "the body is no JSON object");
	return NULL;
}

static void free_now(evutil_socket_t fd, short what, void *conn)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(conn);
}

void http_free_later(struct event_base *base, struct evhttp_connection *conn)
{
	struct timeval now = { 0, 0 };

	event_base_once(base, -1, EV_TIMEOUT, free_now, conn, &now);
}

void http_add_body(struct evhttp_request *req, struct ss_str body)
{
	char n[24];

	/* evhttp sets Content-Length for POST and PUT only. */
	g_snprintf(n, sizeof(n), "%zu", body.n);
	if (body.n)
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Content-Length", n);
	evbuffer_add(evhttp_request_get_output_buffer(req), body.p, body.n);
}

struct client_request {
	struct http_request_options o;
	struct evhttp_connection *conn;
	struct http_answer_watch watch;
};

static void on_response(struct evhttp_request *req, void *arg)
{
	struct client_request *c = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	if (status) {
		c->o.done(c->o.arg, status, http_body(req), NULL);
	} else {
		GError *e = g_error_new(SS_ERROR, SS_ERROR_UNAVAILABLE,
					"no answer");

		c->o.done(c->o.arg, 0, (struct ss_str){ 0 }, e);
		g_error_free(e);
	}
	http_unwatch_answers(&c->watch);
	http_free_later(c->o.base, c->conn);
	g_free(c);
}

static enum evhttp_cmd_type method_of(const char *name)
{
	if (!strcmp(name, "POST"))
		return EVHTTP_REQ_POST;
	if (!strcmp(name, "PUT"))
		return EVHTTP_REQ_PUT;
	if (!strcmp(name, "PATCH"))
		return EVHTTP_REQ_PATCH;
	if (!strcmp(name, "DELETE"))
		return EVHTTP_REQ_DELETE;
	return EVHTTP_REQ_GET;
}

/* evhttp reads on only after a 100, takes any other interim answer for the
 * final one, and adds the final answer's headers to the interim one's. */
static bool skip_interim(struct evhttp_request *req)
{
	if (evhttp_request_get_response_code(req) / 100 != 1)
		return false;
	evhttp_clear_headers(evhttp_request_get_input_headers(req));
	req->response_code = 100;
	return true;
}

/* evhttp takes the first of several lengths. */
static bool lengths_agree(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *first = evhttp_find_header(headers, "Content-Length");
	const struct evkeyval *kv;

	for (kv = headers->tqh_first; kv; kv = kv->next.tqe_next)
		if (!g_ascii_strcasecmp(kv->key, "Content-Length") &&
		    strcmp(kv->value, first))
			return false;
	return true;
}

/* Returns true if only the end of the connection completes the answer. */
static bool ends_with_connection(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");
	int status = evhttp_request_get_response_code(req);

	return status != 204 && status != 304 &&
	       evhttp_request_get_command(req) != EVHTTP_REQ_HEAD &&
	       !evhttp_find_header(headers, "Content-Length") &&
	       !(coding && g_str_has_suffix(coding, "chunked"));
}

int http_check_head(const struct http_answer_watch *w,
		    struct evhttp_request *req, bool *final)
{
	if (w->head.state == HTTP_HEAD_INVALID)
		return -1;
	*final = !skip_interim(req);
	if (!*final)
		return 0;
	if (!lengths_agree(req))
		return -1;
	/* evhttp would send the next request on the connection. */
	if (ends_with_connection(req))
		evhttp_add_header(evhttp_request_get_input_headers(req),
				  "Connection", "close");
	return 0;
}

static int on_head(struct evhttp_request *req, void *arg)
{
	const struct client_request *c = arg;
	bool final;

	return http_check_head(&c->watch, req, &final);
}

void http_send(struct evhttp_connection *conn, struct evhttp_request *req,
	       const char *host, const char *method, const char *path,
	       struct ss_str body)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", host);
	if (body.n) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		http_add_body(req, body);
	}
	evhttp_make_request(conn, req, method_of(method), path);
}

/* Checks the heads in the bytes most recently added to the input. */
static void watch_heads(struct http_answer_watch *w, struct evbuffer *in,
			size_t added)
{
	struct evbuffer_ptr at;
	struct evbuffer_iovec v;
	size_t n;

	evbuffer_ptr_set(in, &at, evbuffer_get_length(in) - added,
			 EVBUFFER_PTR_SET);
	while (added > 0 && w->head.state < HTTP_HEAD_COMPLETE &&
	       evbuffer_peek(in, -1, &at, &v, 1) > 0) {
		n = http_head_read(&w->head,
				   (struct ss_str){ v.iov_base, v.iov_len });
		/* The final answer follows. */
		if (w->head.state == HTTP_HEAD_COMPLETE &&
		    w->head.status / 100 == 1)
			http_head_init(&w->head);
		evbuffer_ptr_set(in, &at, n, EVBUFFER_PTR_ADD);
		added -= n;
	}
}

/* Returns true if the answer has more bytes than one may have. libevent bounds
 * neither interim answers nor what it keeps until it is complete, such as a
 * chunk or its size. */
static bool is_too_large(const struct http_answer_watch *w,
			 const struct evbuffer *in)
{
	return (w->head.state < HTTP_HEAD_COMPLETE && w->bytes > HEADS_MAX) ||
	       evbuffer_get_length(in) > HTTP_ANSWER_MAX + HEADERS_MAX ||
	       w->bytes > w->max_bytes + HEADS_MAX;
}

static void on_input(struct evbuffer *in, const struct evbuffer_cb_info *info,
		     void *arg)
{
	struct http_answer_watch *w = arg;
	struct bufferevent *bev = evhttp_connection_get_bufferevent(w->conn);

	w->bytes += info->n_added;
	watch_heads(w, in, info->n_added);
	if (is_too_large(w, in) || w->head.state == HTTP_HEAD_INVALID)
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

void http_watch_answers(struct http_answer_watch *w,
			struct evhttp_connection *conn, size_t max_bytes)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);

	evhttp_connection_set_max_headers_size(conn, HEADERS_MAX);
	evhttp_connection_set_max_body_size(conn, (ev_ssize_t)max_bytes);
	w->conn = conn;
	w->max_bytes = max_bytes;
	w->entry = evbuffer_add_cb(bufferevent_get_input(bev), on_input, w);
	http_watch_next(w);
}

void http_watch_next(struct http_answer_watch *w)
{
	http_head_init(&w->head);
	w->bytes = 0;
}

void http_unwatch_answers(struct http_answer_watch *w)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(w->conn);

	evbuffer_remove_cb_entry(bufferevent_get_input(bev), w->entry);
}

void http_request(const struct http_request_options *o)
{
	struct client_request *c = g_new0(struct client_request, 1);
	struct evhttp_request *req = evhttp_request_new(on_response, c);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct timeval tv = timeval_from_ms(o->timeout_ms);
	char *ip = NULL;
	uint16_t port = 0;

	c->o = *o;
	if (!http_split_addr(o->addr, &ip, &port))
		ip = g_strdup("");
	c->conn = evhttp_connection_base_new(o->base, NULL, ip, port);
	evhttp_connection_set_timeout_tv(c->conn, &tv);
	http_watch_answers(&c->watch, c->conn, HTTP_ANSWER_MAX);
	evhttp_request_set_header_cb(req, on_head);
	evhttp_add_header(headers, "Connection", "close");
	if (o->token) {
		char *bearer = g_strdup_printf("Bearer %s", o->token);

		evhttp_add_header(headers, "Authorization", bearer);
		g_free(bearer);
	}
	http_send(c->conn, req, o->addr, o->method, o->path, o->body);
	g_free(ip);
}
