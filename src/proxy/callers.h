/*
 * Callers' connections: requests come in one at a time on each, whole, and
 * answers go out as they come. A caller who leaves is noticed at once.
 */
#ifndef SS_CALLERS_H
#define SS_CALLERS_H

#include <event2/event.h>

#include "http1.h"

struct callers;	    /* the listener and its connections */
struct caller_call; /* one request, until it is answered or its caller left */

struct callers_limits {
	size_t head_bytes, body_bytes;
	int64_t head_ms; /* for a whole head to arrive */
	int64_t idle_ms; /* between requests */
};

struct callers_ops {
	/*
	 * A whole request. Head and body stay valid until it is answered;
	 * it must be, now or later.
	 */
	void (*request)(void *arg, struct caller_call *c,
			const struct http1_head *h, struct ss_str body);
	/* All that was written of its answer so far has gone out. */
	void (*drained)(void *arg, struct caller_call *c);
	/* The caller has left; c is freed on return. */
	void (*gone)(void *arg, struct caller_call *c);
	/* A request that couldn't be read, or had no room, was refused. */
	void (*refused)(void *arg, int status);
};

struct callers_options {
	struct event_base *base;
	const struct ss_clock *clock;
	const char *addr;
	struct callers_limits limits;
	/* Bytes that requests which are read, and answers that callers don't
	 * read, may take in this process; 0: no bound. */
	size_t memory;
	const struct callers_ops *ops;
	void *arg;
};

struct callers *callers_new(const struct callers_options *o, GError **error);
void callers_free(struct callers *s);
uint16_t callers_port(const struct callers *s);
void callers_set_limits(struct callers *s, const struct callers_limits *l);

/* Answers end their connections from now on, but new ones are taken. */
void callers_drain(struct callers *s);
/*
 * Take no more connections, and close those at rest; to be called at each tick
 * from then on. True once no connection is left that may bring a request.
 */
bool callers_close(struct callers *s);
/* Connections that have a request or unwritten bytes. */
size_t callers_busy(const struct callers *s);
/* Bytes of requests that are held, and of answers that wait for callers. */
size_t callers_held(const struct callers *s);
size_t callers_unread(const struct callers *s);
/* Look what still waits for callers; to be called at each tick. */
void callers_count(struct callers *s);
/* Close what rested or dawdled too long; to be called now and then. */
void callers_tidy(struct callers *s);

void caller_call_set_data(struct caller_call *c, void *data);
void *caller_call_data(const struct caller_call *c);
const struct http1_head *caller_call_head(const struct caller_call *c);

/* Begin an answer; length -1: in chunks. Headers end in a line end each. */
void caller_call_start(struct caller_call *c, int status,
		       const GString *headers, int64_t length);
void caller_call_write(struct caller_call *c, struct ss_str piece);
/* Send what was written; what isn't flushed goes out with the answer's end. */
void caller_call_flush(struct caller_call *c);
/*
 * The answer is whole; or it isn't, and the connection is cut so that the
 * caller can tell. c is freed.
 */
void caller_call_end(struct caller_call *c, bool whole);
/* More bytes wait for its caller than one who reads slowly may have, beside
 * what waits for all others. */
bool caller_call_is_full(const struct caller_call *c);

/* A whole answer of our own. */
void caller_call_reply(struct caller_call *c, int status,
		       const GString *headers, struct ss_str body);

#endif
