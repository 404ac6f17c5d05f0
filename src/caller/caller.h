/*
 * HTTP server for callers, with libevhtp: that library keeps reading while a
 * request is answered, so a caller that disconnects is noticed and its work
 * cancelled.
 */
#ifndef SS_CALLER_H
#define SS_CALLER_H

#include <event2/event.h>

#include "../core/msg.h"

struct caller;	   /* the server, with its listening socket */
struct caller_req; /* a request, until it is answered or its caller is gone */

struct caller_head {
	struct ss_str method, path; /* path: with the query */
	const struct header *headers;
	size_t n_headers;
	struct ss_str body;
};

struct caller_ops {
	/* Must answer the request, which is complete, now or later. */
	void (*request)(void *arg, struct caller_req *r,
			const struct caller_head *h);
	/* The caller disconnected; r is freed on return. */
	void (*disconnected)(void *arg, struct caller_req *r);
	/* A request was refused before it was complete. */
	void (*refused)(void *arg, enum ss_error code);
};

struct caller_options {
	struct event_base *base;
	const struct ss_clock *clock;
	const char *addr;
	size_t max_body;    /* bytes */
	int64_t receive_ms; /* time limit for a complete request */
	const struct caller_ops *ops;
	void *arg;
};

struct caller *caller_new(const struct caller_options *o, GError **error);
void caller_free(struct caller *c);
/* Stops accepting connections. */
void caller_stop_accepting(struct caller *c);
size_t caller_connections(const struct caller *c);
/* True if no connection has output left to write. */
bool caller_all_written(const struct caller *c);

/* Returns the value of a header; NULL if it is absent. */
const char *caller_header(const struct caller_head *h, const char *name);

/* Sends a complete answer. */
void caller_reply(struct caller_req *r, int status, const struct header *h,
		  size_t n, struct ss_str body);
/* Send an answer in chunks; caller_end() ends it. With complete false, the
 * connection is closed without the last chunk, so that the caller can tell that
 * the answer is truncated. */
void caller_start(struct caller_req *r, int status, const struct header *h,
		  size_t n);
void caller_chunk(struct caller_req *r, struct ss_str data);
void caller_end(struct caller_req *r, bool complete);
/* True after caller_start(). */
bool caller_started(const struct caller_req *r);

void caller_set_data(struct caller_req *r, void *data);
void *caller_data(const struct caller_req *r);

#endif
