/*
 * HTTP/1.1 server side: the listener and the connections of callers. Each
 * connection carries one request at a time. A request is delivered once it is
 * complete, a response is streamed, and a caller that disconnects is reported
 * at once.
 */
#ifndef SS_CALLERS_H
#define SS_CALLERS_H

#include <event2/event.h>

#include "http1.h"

struct callers;	    /* the listener and its connections */
struct caller_call; /* a request, until its response ends or its caller left */

struct callers_limits {
	size_t head_bytes, body_bytes;
	int64_t head_timeout_ms; /* timeout for a complete head */
	int64_t idle_timeout_ms; /* keep-alive timeout between requests */
};

struct callers_ops {
	/*
	 * A complete request. Head and body stay valid until the response
	 * ends; each request must get a response, now or later.
	 */
	void (*request)(void *arg, struct caller_call *c,
			const struct http1_head *h, struct ss_str body);
	/* All output written so far was passed to the kernel. */
	void (*output_written)(void *arg, struct caller_call *c);
	/* The caller has disconnected; c is freed on return. */
	void (*caller_left)(void *arg, struct caller_call *c);
	/* A request was refused as malformed, too large or too slow, or for
	 * lack of memory. */
	void (*refused)(void *arg, int status);
};

struct callers_options {
	struct event_base *base;
	const struct ss_clock *clock;
	const char *addr;
	struct callers_limits limits;
	/* Memory for request bodies and for responses that callers haven't
	 * read, over all connections, in bytes; 0: unlimited. */
	size_t memory_max;
	const struct callers_ops *ops;
	void *arg;
};

struct callers *callers_new(const struct callers_options *o, GError **error);
void callers_free(struct callers *s);
uint16_t callers_port(const struct callers *s);
void callers_set_limits(struct callers *s, const struct callers_limits *l);

/* Closes each connection after its current or next response from now on. New
 * connections are still accepted. */
void callers_drain(struct callers *s);
/*
 * Stops accepting connections and closes idle ones; to be called at each tick
 * from then on. Returns true once no connection is left that may still carry a
 * request.
 */
bool callers_close(struct callers *s);
/* Returns the number of connections that have a request or unwritten output. */
size_t callers_busy(const struct callers *s);
/* Return the bytes of request bodies, and of responses that callers haven't
 * read yet, over all connections. */
size_t callers_body_bytes(const struct callers *s);
size_t callers_unread_bytes(const struct callers *s);
/* Recomputes the unread bytes; to be called at each tick. */
void callers_update_unread(struct callers *s);
/* Enforces the timeouts of connections; to be called periodically. */
void callers_check_timeouts(struct callers *s);

void caller_call_set_data(struct caller_call *c, void *data);
void *caller_call_data(const struct caller_call *c);
const struct http1_head *caller_call_head(const struct caller_call *c);

/* Starts a response; length -1: chunked. Each header line ends in CRLF. */
void caller_call_start(struct caller_call *c, int status,
		       const GString *headers, int64_t length);
void caller_call_write(struct caller_call *c, struct ss_str piece);
/* Sends the buffered output. caller_call_end() sends it, too. */
void caller_call_flush(struct caller_call *c);
/*
 * Ends the response and frees c. An incomplete response closes the connection,
 * so that the caller can detect it.
 */
void caller_call_end(struct caller_call *c, bool complete);
/* Returns true if the caller's unread bytes exceed its share of the memory that
 * the unread bytes of all callers leave. */
bool caller_call_is_full(const struct caller_call *c);

/* Sends a complete response that the gate generates itself. */
void caller_call_reply(struct caller_call *c, int status,
		       const GString *headers, struct ss_str body);

#endif
