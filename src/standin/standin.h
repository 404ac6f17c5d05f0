/*
 * Stand-in servers for external systems: model engines, plain services, the
 * weight store and the platform's VM list. For tests, the demo and benchmarks
 * only.
 */
#ifndef SS_STANDIN_H
#define SS_STANDIN_H

#include <json-c/json.h>

#include "../net/http.h"

struct standin {
	struct event_base *base;
	struct ss_clock clock;
	const char *listen;
	const char *store;   /* an engine's weight store; empty: none */
	const char *journal; /* file that gets one line per event */
	const char *vms;     /* comma-separated names */
	const char *mark;    /* header that marks the responses; empty: none */
	long long bytes;     /* accelerator memory of an engine */
	int checks_fence;    /* refuse orders with an outdated fencing token */
	int token_ms;	     /* time between two tokens */
	int load_mbps;	     /* MB/s of a load from disk, or without a store */
	int store_mbps;	     /* MB/s of the store for one load */
	int store_parallel;  /* loads that run at full speed at once */
	int cached;	     /* checkpoints kept on an engine's disk */
	int journal_fd;
};

struct http_server *engine_start(struct standin *s, GError **error);
struct http_server *service_start(struct standin *s, GError **error);
struct http_server *store_start(struct standin *s, GError **error);
struct http_server *platform_start(struct standin *s, GError **error);

/* Journals o with "event" and "at" (in ms) added; takes ownership of o. */
void standin_journal(struct standin *s, const char *event,
		     struct json_object *o);

/* Calls fn(-1, EV_TIMEOUT, arg) once after ms. */
void standin_schedule(struct standin *s, int64_t ms,
		      void (*fn)(evutil_socket_t fd, short what, void *arg),
		      void *arg);

/* Adds the mark header, and the request's X-Request-Id, to the response. */
void standin_mark(const struct standin *s, struct evhttp_request *req);

/* Returns a request header, or "" if it is missing. */
const char *standin_header(struct evhttp_request *req, const char *name);
/* Returns a number in the query string, or fallback if it is missing. */
long long standin_query(struct evhttp_request *req, const char *key,
			long long fallback);

#endif
