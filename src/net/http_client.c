/* An HTTP client on one persistent connection. */
#include "http_client.h"

#include "../base/timeval.h"
#include "http.h"

#include <event2/buffer.h>

struct http_client {
	struct event_base *base;
	char *addr, *ip;
	uint16_t port;
	struct evhttp_connection *conn;
	struct http_answer_watch watch;
	bool freeing;
};

struct call {
	struct http_client *client;
	char *response_header;
	void (*done)(void *arg, const struct http_client_response *a);
	void *arg;
};

static int on_head(struct evhttp_request *req, void *arg)
{
	const struct call *c = arg;
	bool final;

	return http_check_head(&c->client->watch, req, &final);
}

static void on_response(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct http_client_response a = {
		.status = req ? evhttp_request_get_response_code(req) : 0
	};

	if (a.status) {
		a.body = http_body(req);
		a.headers = evhttp_request_get_input_headers(req);
		if (c->response_header)
			a.header = evhttp_find_header(a.headers,
						      c->response_header);
	}
	http_watch_next(&c->client->watch);
	if (!c->client->freeing)
		c->done(c->arg, &a);
	g_free(c->response_header);
	g_free(c);
}

struct http_client *http_client_new(struct event_base *base, const char *addr)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->base = base;
	client->addr = g_strdup(addr);
	if (!http_split_addr(addr, &client->ip, &client->port))
		client->ip = g_strdup("");
	client->conn = evhttp_connection_base_new(base, NULL, client->ip,
						  client->port);
	http_watch_answers(&client->watch, client->conn, HTTP_ANSWER_MAX);
	return client;
}

void http_client_free(struct http_client *client)
{
	if (!client)
		return;
	client->freeing = true;
	http_unwatch_answers(&client->watch);
	evhttp_connection_free(client->conn);
	g_free(client->addr);
	g_free(client->ip);
	g_free(client);
}

void http_client_send(struct http_client *client,
		      const struct http_client_call *o)
{
	struct call *c = g_new0(struct call, 1);
	struct evhttp_request *req = evhttp_request_new(on_response, c);
	struct timeval tv = timeval_from_ms(o->timeout_ms);

	c->client = client;
	c->response_header = g_strdup(o->response_header);
	c->done = o->done;
	c->arg = o->arg;
	evhttp_connection_set_timeout_tv(client->conn, &tv);
	evhttp_request_set_header_cb(req, on_head);
	if (o->header)
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  o->header, o->value);
	http_send(client->conn, req, client->addr, o->method, o->path, o->body);
}
