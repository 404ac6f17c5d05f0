/*
 * Callers' HTTP, by libevhtp: it reads on while a request is answered, so
 * that a caller who goes away is noticed and his work cancelled.
 */
#ifndef SS_CALLER_H
#define SS_CALLER_H

#include <event2/event.h>

#include "../core/msg.h"

struct caller;	   /* the listener */
struct caller_req; /* one request, until it is ended or gone */

struct caller_head {
	struct ss_str method, path; /* path with its query */
	const struct header *headers;
	size_t n_headers;
	struct ss_str body;
};

struct caller_ops {
	/* A whole request came. It must be answered, now or later. */
	void (*request)(void *arg, struct caller_req *r,
			const struct caller_head *h);
	/* The caller went away; r is freed on return. */
	void (*gone)(void *arg, struct caller_req *r);
	/* A request that could not even be read was refused. */
	void (*refused)(void *arg, enum ss_error code);
};

struct caller_options {
	struct event_base *base;
	const struct ss_clock *clock;
	const char *addr;
	size_t max_body;
	int64_t receive_ms; /* for a whole request to arrive */
	const struct caller_ops *ops;
	void *arg;
};

struct caller *caller_new(const struct caller_options *o, GError **error);
void caller_free(struct caller *c);
/* Take no more connections. */
void caller_close(struct caller *c);
size_t caller_connections(const struct caller *c);
/* True where every answer has been written out to its caller. */
bool caller_written(const struct caller *c);

/* A header's value; NULL where it isn't there. */
const char *caller_header(const struct caller_head *h, const char *name);

/* The whole answer at once. */
void caller_reply(struct caller_req *r, int status, const struct header *h,
		  size_t n, struct ss_str body);
/* An answer in pieces, ended by caller_end(); whole false: cut, so that
 * the caller can tell that the end is missing. */
void caller_start(struct caller_req *r, int status, const struct header *h,
		  size_t n);
void caller_chunk(struct caller_req *r, struct ss_str data);
void caller_end(struct caller_req *r, bool whole);
bool caller_started(const struct caller_req *r);

void caller_set_data(struct caller_req *r, void *data);
void *caller_data(const struct caller_req *r);

#endif
