/* HTTP on evhttp: servers for status and operators, and a simple client. */
#ifndef SS_HTTP_H
#define SS_HTTP_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sapphireshift/base.h>

#include "../core/http_head.h"

struct json_object;

/* Maps an error to an HTTP status, for callers and operators. */
int http_status(enum ss_error code);

/* Returns {"error":{"type","message","outcome","request_id"}} without the
 * fields that are NULL. */
GString *http_error_json(enum ss_error code, const char *text,
			 const char *outcome, const char *request_id);

struct http_server;

struct http_server_options {
	struct event_base *base;
	const char *addr; /* "ip:port" */
	size_t max_body;  /* bytes */
	/* Must reply to the request, immediately or later. */
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

/* Returns the complete body of a request. */
struct ss_str http_body(struct evhttp_request *req);
/* Returns the body parsed as a JSON object; NULL with SS_ERROR_BAD_REQUEST. */
struct json_object *http_body_json(struct evhttp_request *req, GError **error);

struct http_request_options {
	struct event_base *base;
	const char *addr;
	const char *method; /* GET, POST, PUT, PATCH, DELETE */
	const char *path;
	const char *token; /* bearer token; NULL: none */
	struct ss_str body;
	int64_t timeout_ms;
	/* status 0: no response, and error is set. */
	void (*done)(void *arg, int status, struct ss_str body,
		     const GError *error);
	void *arg;
};

/* Sends one request on a connection of its own. done is called from the event
 * loop. */
void http_request(const struct http_request_options *o);

/* Adds a body to a client request, with any method. */
void http_add_body(struct evhttp_request *req, struct ss_str body);

/* Frees a client connection from the event loop, as it must not be freed inside
 * its callback. */
void http_free_later(struct event_base *base, struct evhttp_connection *conn);

/*
 * Watches the answers that a client connection reads, for what libevent accepts
 * although it must not: a head that isn't one of HTTP/1.1, and more bytes than
 * an answer may have. Such an answer counts as no answer. The watch lives as
 * long as the connection, or until http_unwatch_answers().
 */
struct http_answer_watch {
	struct evhttp_connection *conn;
	struct evbuffer_cb_entry *entry;
	struct http_head head; /* of the answer to the last request */
	size_t bytes;	       /* of that answer, read so far */
	size_t max_bytes;      /* of its body */
};
/* max_bytes: of an answer's body. */
void http_watch_answers(struct http_answer_watch *w,
			struct evhttp_connection *conn, size_t max_bytes);
/* To be called before each request: the bytes read from now on belong to its
 * answer. */
void http_watch_next(struct http_answer_watch *w);
void http_unwatch_answers(struct http_answer_watch *w);

/* Maximum size of an answer that is read as a whole, in bytes: a page of the
 * list of thousands of endpoints, or a routing. */
#define HTTP_ANSWER_MAX (8 << 20)
/* The same of one that is passed on in pieces. */
#define HTTP_PASSED_MAX (64 << 20)

/* Checks the head of an answer; is the result of the request's header callback.
 * final: set to false for an interim (1xx) answer, which is skipped. */
int http_check_head(const struct http_answer_watch *w,
		    struct evhttp_request *req, bool *final);

/* Sends a client request on a connection. body: JSON; empty: none. Strings are
 * copied. */
void http_send(struct evhttp_connection *conn, struct evhttp_request *req,
	       const char *host, const char *method, const char *path,
	       struct ss_str body);

/* Splits "ip:port". ip has no brackets and is freed by the caller. */
bool http_split_addr(const char *addr, char **ip, uint16_t *port);

#endif
