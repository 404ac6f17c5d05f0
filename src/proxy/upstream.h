/*
 * HTTP/1.1 client side: connections to endpoints. Each connection carries one
 * request at a time and is kept alive for reuse. The number of concurrent
 * requests to an endpoint isn't limited here.
 */
#ifndef SS_UPSTREAM_H
#define SS_UPSTREAM_H

#include <event2/event.h>

#include "http1.h"

/* How a request without a complete response failed. */
enum upstream_failure {
	UPSTREAM_NOT_SENT, /* no connection: nothing was sent */
	UPSTREAM_SILENT,   /* sent, but no byte of a response came */
	UPSTREAM_CUT,	   /* the response broke off */
	UPSTREAM_GARBLED,  /* the response is malformed */
};

const char *upstream_failure_name(enum upstream_failure e);

struct upstream;      /* all connections */
struct upstream_call; /* a request in progress */

struct upstream_ops {
	/* The response's head; its views are valid until the callback
	 * returns. */
	void (*head)(void *arg, const struct http1_head *h);
	void (*body)(void *arg, struct ss_str piece);
	/* All input received so far was delivered: forward it. */
	void (*flush)(void *arg);
	/* The response is complete; the call is freed on return. */
	void (*done)(void *arg);
	/*
	 * The request failed; the call is freed on return. closed: the
	 * endpoint's VM closed or reset the connection; otherwise this side
	 * did, after a timeout or an error.
	 */
	void (*failed)(void *arg, enum upstream_failure failure, bool closed);
};

struct upstream_options {
	struct event_base *base;
	const struct ss_clock *clock;
	size_t head_max;
	uint64_t *opened, *reused; /* counters of connections */
};

struct upstream_request {
	const char *addr; /* "ip:port" */
	GString *bytes;	  /* head and body; ownership is taken */
	bool no_body;	  /* the response has no body (HEAD) */
	/*
	 * A connection that was idle for longer isn't reused. A device on the
	 * path may have dropped its state, and then it is unknown whether the
	 * request arrived.
	 */
	int64_t idle_max_ms;
	const struct upstream_ops *ops;
	void *arg;
};

struct upstream *upstream_new(const struct upstream_options *o);
/* Drops requests in progress without a callback. */
void upstream_free(struct upstream *u);

/* Sends a request on an idle connection or a new one. */
struct upstream_call *upstream_send(struct upstream *u,
				    const struct upstream_request *r);
/* Resets the request's connection, so that the endpoint can abort it. */
void upstream_cancel(struct upstream_call *c);
/* Sets the endpoint's keep-alive timeout, as stated in its response. */
void upstream_set_keep_alive(struct upstream_call *c, int64_t idle_ms);
/* Pauses or resumes reading: the caller may be slower than the endpoint. */
void upstream_pause(struct upstream_call *c, bool pause);
/* Returns true if an established connection to addr exists, in use or idle. */
bool upstream_is_connected(const struct upstream *u, const char *addr);
/* Closes the idle connections to an endpoint that has stopped. */
void upstream_close_idle(struct upstream *u, const char *addr);
/* Closes connections that were idle too long; to be called periodically. */
void upstream_close_expired(struct upstream *u);

#endif
