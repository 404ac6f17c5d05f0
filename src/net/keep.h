/*
 * An HTTP client that sends its requests to one address over one persistent
 * connection, one at a time, in the order in which they were queued.
 */
#ifndef SS_KEEP_H
#define SS_KEEP_H

#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <sapphireshift/base.h>

struct keep;

struct keep_answer {
	int status; /* 0: no response; the call may have been executed */
	struct ss_str body;
	const char *header; /* value of the header in want; NULL: missing */
	const struct evkeyvalq *headers; /* all headers; NULL: no response */
};

struct keep_call {
	const char *method; /* GET or POST */
	const char *path;
	struct ss_str body;	    /* JSON; empty: none */
	const char *header, *value; /* additional request header; NULL: none */
	const char *want; /* response header to pass to done; NULL: none */
	int64_t timeout_ms;
	void (*done)(void *arg, const struct keep_answer *a);
	void *arg;
};

struct keep *keep_new(struct event_base *base, const char *addr);
/* Pending calls are dropped; done isn't called for them. */
void keep_free(struct keep *k);

/* Queues a call. Strings are copied; done is called from the event loop. */
void keep_ask(struct keep *k, const struct keep_call *c);

#endif
