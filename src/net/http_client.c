/* An HTTP client on one persistent connection. */
#include "http_client.h"

#include "../base/timeval.h"
#include "http.h"
#include "send.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

struct http_client {
	struct event_base *base;
	char *addr, *ip;
	uint16_t port;
	struct evhttp_connection *conn;
	struct http_answer_watch watch;
	GQueue calls;	    /* struct call; only the first one is sent */
	struct event *next; /* sends it, outside evhttp's callbacks */
	int64_t timeout_ms; /* of the call that was queued last; 0: none */
	bool freeing;
};

struct call {
	struct http_client *client;
	struct evhttp_request *req;
	char *method, *path, *response_header;
	GString *body;
	bool sent;
	void (*done)(void *arg, const struct http_client_response *a);
	void *arg;
};

static void set_timeout(struct http_client *client)
{
	struct timeval tv = timeval_from_ms(client->timeout_ms);

	evhttp_connection_set_timeout_tv(client->conn, &tv);
}

static void connection_open(struct http_client *client)
{
	client->conn = evhttp_connection_base_new(client->base, NULL,
						  client->ip, client->port);
	if (client->timeout_ms)
		set_timeout(client);
	http_watch_answers(&client->watch, client->conn, HTTP_ANSWER_MAX);
}

/* Replaces a connection that has input, or has been closed, between calls. */
static void connection_renew(struct http_client *client)
{
	http_unwatch_answers(&client->watch);
	http_free_later(client->base, client->conn);
	connection_open(client);
}

static void send_first(struct http_client *client)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(client->conn);
	struct call *c = g_queue_peek_head(&client->calls);

	if (bufferevent_getfd(bev) >= 0 && !has_no_input(bev))
		connection_renew(client);
	http_watch_next(&client->watch);
	c->sent = true;
	http_send(client->conn, c->req, client->addr, c->method, c->path,
		  ss_str_gs(c->body));
}

static void on_next(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_first(arg);
}

static int on_head(struct evhttp_request *req, void *arg)
{
	const struct call *c = arg;
	bool final;

	return http_check_head(&c->client->watch, req, &final);
}

static void call_free(struct call *c)
{
	g_free(c->method);
	g_free(c->path);
	g_free(c->response_header);
	g_string_free(c->body, TRUE);
	g_free(c);
}

static void on_response(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct http_client *client = c->client;
	struct http_client_response a = {
		.status = req ? evhttp_request_get_response_code(req) : 0
	};
	struct timeval now = { 0, 0 };

	if (client->freeing)
		return;
	if (a.status) {
		a.body = http_body(req);
		a.headers = evhttp_request_get_input_headers(req);
		if (c->response_header)
			a.header = evhttp_find_header(a.headers,
						      c->response_header);
	}
	g_queue_pop_head(&client->calls);
	if (client->calls.head)
		event_add(client->next, &now);
	/* May free the client. */
	c->done(c->arg, &a);
	call_free(c);
}

struct http_client *http_client_new(struct event_base *base, const char *addr)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->base = base;
	client->addr = g_strdup(addr);
	if (!http_split_addr(addr, &client->ip, &client->port))
		client->ip = g_strdup("");
	g_queue_init(&client->calls);
	client->next = evtimer_new(base, on_next, client);
	connection_open(client);
	return client;
}

void http_client_free(struct http_client *client)
{
	struct call *c;

	if (!client)
		return;
	client->freeing = true;
	http_unwatch_answers(&client->watch);
	evhttp_connection_free(client->conn);
	while ((c = g_queue_pop_head(&client->calls))) {
		/* One that was sent belongs to its connection. */
		if (!c->sent)
			evhttp_request_free(c->req);
		call_free(c);
	}
	event_free(client->next);
	g_free(client->addr);
	g_free(client->ip);
	g_free(client);
}

void http_client_send(struct http_client *client,
		      const struct http_client_call *o)
{
	struct call *c = g_new0(struct call, 1);

	c->client = client;
	c->req = evhttp_request_new(on_response, c);
	c->method = g_strdup(o->method);
	c->path = g_strdup(o->path);
	c->response_header = g_strdup(o->response_header);
	c->body = g_string_new_len(o->body.p, (gssize)o->body.n);
	c->done = o->done;
	c->arg = o->arg;
	evhttp_request_set_header_cb(c->req, on_head);
	if (o->header)
		evhttp_add_header(evhttp_request_get_output_headers(c->req),
				  o->header, o->value);
	client->timeout_ms = o->timeout_ms;
	set_timeout(client);
	g_queue_push_tail(&client->calls, c);
	if (client->calls.length == 1)
		send_first(client);
}
