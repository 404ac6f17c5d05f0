/* HTTP by evhttp: small servers for status and operators, and a client. */
#ifndef SS_HTTP_H
#define SS_HTTP_H

#include <event2/event.h>
#include <event2/http.h>
#include <sapphireshift/base.h>

struct json_object;

/* The HTTP status that stands for an error, for callers and operators. */
int http_status(enum ss_error code);

/* {"error":{"type","message","outcome","request_id"}}; NULLs left out. */
GString *http_error_json(enum ss_error code, const char *text,
			 const char *outcome, const char *request_id);

struct http_server;

struct http_server_options {
	struct event_base *base;
	const char *addr; /* "ip:port" */
	size_t max_body;
	/* Must answer the request, now or later. */
	void (*handle)(void *arg, struct evhttp_request *req);
	void *arg;
};

struct http_server *http_server_new(const struct http_server_options *o,
				    GError **error);
void http_server_free(struct http_server *s);

void http_reply(struct evhttp_request *req, int status, const char *type,
		struct ss_str body);
void http_reply_json(struct evhttp_request *req, int status,
		     struct json_object *body); /* takes body */
void http_reply_error(struct evhttp_request *req, const GError *error);

/* The request's whole body. */
struct ss_str http_body(struct evhttp_request *req);
/* Its body as a JSON object; NULL with SS_ERROR_BAD_REQUEST. */
struct json_object *http_body_json(struct evhttp_request *req, GError **error);

struct http_get_options {
	struct event_base *base;
	const char *addr;
	const char *method; /* GET, POST, PUT, PATCH, DELETE */
	const char *path;
	const char *token; /* sent as bearer, may be NULL */
	struct ss_str body;
	int64_t timeout_ms;
	/* status 0: no answer; then error says why. */
	void (*done)(void *arg, int status, struct ss_str body,
		     const GError *error);
	void *arg;
};

/* One small request on a connection of its own; done is called later. */
void http_get(const struct http_get_options *o);

/* Send a client's request, with a body of JSON where there is one. Strings are
 * copied. */
void http_send(struct evhttp_connection *conn, struct evhttp_request *req,
	       const char *host, const char *method, const char *path,
	       struct ss_str body);

/* Give a client's request its body, whatever the method. */
void http_add_body(struct evhttp_request *req, struct ss_str body);

/* Free a client connection once its callback has returned. */
void http_free_later(struct event_base *base, struct evhttp_connection *conn);

/* Split "ip:port"; the ip without brackets. */
bool http_split_addr(const char *addr, char **ip, uint16_t *port);

#endif
