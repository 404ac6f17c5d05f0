/*
 * Connections to endpoints: one request at a time on each, kept for the
 * next ones for a while. How many go to an endpoint is the caller's to say.
 */
#ifndef SS_UPSTREAM_H
#define SS_UPSTREAM_H

#include <event2/event.h>

#include "http1.h"

/* What is known of a request that got no whole answer. */
enum upstream_end {
	UPSTREAM_NOT_SENT, /* no connection: nothing has reached it */
	UPSTREAM_SILENT,   /* sent, and no byte of an answer came */
	UPSTREAM_CUT,	   /* the answer broke off */
	UPSTREAM_GARBLED,  /* what came is no answer */
};

const char *upstream_end_name(enum upstream_end e);

struct upstream;      /* all connections */
struct upstream_call; /* one request on its way */

struct upstream_ops {
	/* The answer's head; its views hold until the call returns. */
	void (*head)(void *arg, const struct http1_head *h);
	void (*body)(void *arg, struct ss_str piece);
	/* All pieces that have come so far were handed over: pass them on. */
	void (*flush)(void *arg);
	/* The answer is whole; the call is freed on return. */
	void (*done)(void *arg);
	/*
	 * It won't become whole; the call is freed on return. closed: the
	 * endpoint's VM has closed or reset the connection; else it was given
	 * up here.
	 */
	void (*failed)(void *arg, enum upstream_end end, bool closed);
};

struct upstream_options {
	struct event_base *base;
	const struct ss_clock *clock;
	size_t head_max;
	uint64_t *opened, *reused; /* counters */
};

struct upstream_request {
	const char *addr; /* "ip:port" */
	GString *bytes;	  /* whole head and body; taken over */
	bool no_body;	  /* the answer to it has none (HEAD) */
	/*
	 * A kept connection that has rested for longer isn't used. Something
	 * between the two ends may have lost track of it, and then nobody
	 * can tell whether the request arrived.
	 */
	int64_t rest_max_ms;
	const struct upstream_ops *ops;
	void *arg;
};

struct upstream *upstream_new(const struct upstream_options *o);
/* Calls under way end without a word. */
void upstream_free(struct upstream *u);

struct upstream_call *upstream_send(struct upstream *u,
				    const struct upstream_request *r);
/* Close its connection; the endpoint sees that nobody waits any more. */
void upstream_cancel(struct upstream_call *c);
/* How long the endpoint keeps an idle connection, as its answer told. */
void upstream_keep_for(struct upstream_call *c, int64_t idle_ms);
/* Read no further until told: the caller is slower than the endpoint. */
void upstream_pause(struct upstream_call *c, bool pause);
/* Some connection to it is open, in use or at rest. */
bool upstream_reaches(const struct upstream *u, const char *addr);
/* Close idle connections to an endpoint that has ended. */
void upstream_forget(struct upstream *u, const char *addr);
/* Close what has rested too long; to be called now and then. */
void upstream_tidy(struct upstream *u);

#endif
