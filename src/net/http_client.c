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
	bool freeing;
};

struct call {
	struct http_client *k;
	char *want;
	void (*done)(void *arg, const struct http_client_response *a);
	void *arg;
};

static void on_response(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct http_client_response a = {
		.status = req ? evhttp_request_get_response_code(req) : 0
	};

	if (a.status) {
		a.body = http_body(req);
		a.headers = evhttp_request_get_input_headers(req);
		if (c->want)
			a.header = evhttp_find_header(a.headers, c->want);
	}
	if (!c->k->freeing)
		c->done(c->arg, &a);
	g_free(c->want);
	g_free(c);
}

struct http_client *http_client_new(struct event_base *base, const char *addr)
{
	struct http_client *k = g_new0(struct http_client, 1);

	k->base = base;
	k->addr = g_strdup(addr);
	if (!http_split_addr(addr, &k->ip, &k->port))
		k->ip = g_strdup("");
	k->conn = evhttp_connection_base_new(base, NULL, k->ip, k->port);
	return k;
}

void http_client_free(struct http_client *k)
{
	if (!k)
		return;
	k->freeing = true;
	evhttp_connection_free(k->conn);
	g_free(k->addr);
	g_free(k->ip);
	g_free(k);
}

void http_client_send(struct http_client *k, const struct http_client_call *o)
{
	struct call *c = g_new0(struct call, 1);
	struct evhttp_request *req = evhttp_request_new(on_response, c);
	struct timeval tv = timeval_from_ms(o->timeout_ms);

	c->k = k;
	c->want = g_strdup(o->response_header);
	c->done = o->done;
	c->arg = o->arg;
	evhttp_connection_set_timeout_tv(k->conn, &tv);
	if (o->header)
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  o->header, o->value);
	http_send(k->conn, req, k->addr, o->method, o->path, o->body);
}
