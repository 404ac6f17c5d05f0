/*
 * Closed-loop load generator: each connection sends its next request as soon as
 * the previous one is answered, for a given time. Prints one line of JSON: the
 * number of requests, events and errors, and latencies in us of whole answers,
 * until the first event (first_), and between two events of a stream (pause_).
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "../src/base/hist.h"
#include "../src/base/timeval.h"
#include "../src/net/http.h"

struct load {
	struct event_base *base;
	char *ip;
	uint16_t port;
	const char *path, *body, *method;
	const char *key;		   /* Authorization header, or NULL */
	struct hist latency, first, pause; /* us */
	uint64_t requests, events, errors, sent;
};

struct client {
	struct load *l;
	struct evhttp_connection *conn;
	int64_t sent_us, event_us; /* event_us: last event, or 0 */
};

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void send_request(struct client *c);

static void on_chunk(struct evhttp_request *req, void *arg)
{
	struct client *c = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct evbuffer_ptr p = evbuffer_search(in, "data: ", 6, NULL);
	int64_t now = now_us();

	while (p.pos >= 0) {
		c->l->events++;
		if (c->event_us)
			hist_add(&c->l->pause, (uint64_t)(now - c->event_us));
		else
			hist_add(&c->l->first, (uint64_t)(now - c->sent_us));
		c->event_us = now;
		evbuffer_ptr_set(in, &p, 6, EVBUFFER_PTR_ADD);
		p = evbuffer_search(in, "data: ", 6, &p);
	}
}

static void on_done(struct evhttp_request *req, void *arg)
{
	struct client *c = arg;

	if (req && evhttp_request_get_response_code(req) == 200) {
		c->l->requests++;
		hist_add(&c->l->latency, (uint64_t)(now_us() - c->sent_us));
	} else {
		c->l->errors++;
	}
	send_request(c);
}

static void send_request(struct client *c)
{
	struct evhttp_request *req = evhttp_request_new(on_done, c);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	bool post = !strcmp(c->l->method, "POST");
	char id[32];

	evhttp_request_set_chunked_cb(req, on_chunk);
	evhttp_add_header(h, "Host", "x");
	evhttp_add_header(h, "X-Deadline-Ms", "30000");
	g_snprintf(id, sizeof(id), "%d-%" PRIu64, getpid(), ++c->l->sent);
	evhttp_add_header(h, "X-Request-Id", id);
	if (c->l->key)
		evhttp_add_header(h, "Authorization", c->l->key);
	if (post)
		http_add_body(req, ss_str(c->l->body));
	c->sent_us = now_us();
	c->event_us = 0;
	evhttp_make_request(c->conn, req,
			    post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
			    c->l->path);
}

static void start_client(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_request(arg);
}

static void print_quantiles(const char *what, const struct hist *h)
{
	printf(",\"%sp50_us\":%" PRIu64 ",\"%sp99_us\":%" PRIu64, what,
	       hist_quantile(h, 0.5), what, hist_quantile(h, 0.99));
}

int main(int argc, const char **argv)
{
	struct load l = { .path = "/", .body = "", .method = "GET" };
	const char *addr = "127.0.0.1:8080";
	int conns = 1, seconds = 2, spread_ms = 0;
	struct poptOption options[] = {
		{ "addr", 'a', POPT_ARG_STRING, &addr, 0, "ip:port", NULL },
		{ "path", 'p', POPT_ARG_STRING, &l.path, 0, "path", NULL },
		{ "body", 'b', POPT_ARG_STRING, &l.body, 0, "body", NULL },
		{ "method", 'm', POPT_ARG_STRING, &l.method, 0, "method",
		  NULL },
		{ "key", 'k', POPT_ARG_STRING, &l.key, 0,
		  "Authorization header, with its scheme", NULL },
		{ "connections", 'c', POPT_ARG_INT, &conns, 0, "count", NULL },
		{ "seconds", 's', POPT_ARG_INT, &seconds, 0, "duration", NULL },
		{ "spread", 'r', POPT_ARG_INT, &spread_ms, 0,
		  "time over which connections start, in ms", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext("bench-load", argc, argv, options, 0);
	int64_t start;

	while (poptGetNextOpt(ctx) >= 0)
		;
	if (conns < 1 || conns > 4096 || seconds < 1 || seconds > 600 ||
	    !http_split_addr(addr, &l.ip, &l.port))
		return 2;
	l.base = event_base_new();
	start = now_us();
	for (int i = 0; i < conns; i++) {
		struct client *c = g_new0(struct client, 1);
		struct timeval at =
			timeval_from_ms((int64_t)spread_ms * i / conns);

		c->l = &l;
		c->conn =
			evhttp_connection_base_new(l.base, NULL, l.ip, l.port);
		event_base_once(l.base, -1, EV_TIMEOUT, start_client, c, &at);
	}
	event_base_loopexit(l.base, &(struct timeval){ seconds, 0 });
	event_base_dispatch(l.base);
	printf("{\"requests\":%" PRIu64 ",\"events\":%" PRIu64
	       ",\"errors\":%" PRIu64 ",\"seconds\":%.3f",
	       l.requests, l.events, l.errors,
	       (double)(now_us() - start) / 1e6);
	print_quantiles("", &l.latency);
	print_quantiles("first_", &l.first);
	print_quantiles("pause_", &l.pause);
	printf("}\n");
	return 0;
}
