/* An HTTP client on one persistent connection. */
#include "keep.h"

#include "../base/timeval.h"
#include "http.h"

#include <event2/buffer.h>

struct keep {
	struct event_base *base;
	char *addr, *ip;
	uint16_t port;
	struct evhttp_connection *conn;
	bool freeing;
};

struct call {
	struct keep *k;
	char *want;
	void (*done)(void *arg, const struct keep_answer *a);
	void *arg;
};

static void on_response(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct keep_answer a = {
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

struct keep *keep_new(struct event_base *base, const char *addr)
{
	struct keep *k = g_new0(struct keep, 1);

	k->base = base;
	k->addr = g_strdup(addr);
	if (!http_split_addr(addr, &k->ip, &k->port))
		k->ip = g_strdup("");
	k->conn = evhttp_connection_base_new(base, NULL, k->ip, k->port);
	return k;
}

void keep_free(struct keep *k)
{
	if (!k)
		return;
	k->freeing = true;
	evhttp_connection_free(k->conn);
	g_free(k->addr);
	g_free(k->ip);
	g_free(k);
}

void keep_ask(struct keep *k, const struct keep_call *o)
{
	struct call *c = g_new0(struct call, 1);
	struct evhttp_request *req = evhttp_request_new(on_response, c);
	struct timeval tv = timeval_of(o->timeout_ms);

	c->k = k;
	c->want = g_strdup(o->want);
	c->done = o->done;
	c->arg = o->arg;
	evhttp_connection_set_timeout_tv(k->conn, &tv);
	if (o->header)
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  o->header, o->value);
	http_send(k->conn, req, k->addr, o->method, o->path, o->body);
}
