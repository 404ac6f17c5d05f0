/*
 * Small HTTP calls to one address over one kept connection, one after the
 * other, in the order in which they were asked.
 */
#ifndef SS_KEEP_H
#define SS_KEEP_H

#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <sapphireshift/base.h>

struct keep;

struct keep_answer {
	int status; /* 0: none came, and the call may have been carried out */
	struct ss_str body;
	const char *header; /* the wanted one; NULL: it isn't there */
	const struct evkeyvalq *headers; /* all; NULL: no answer came */
};

struct keep_call {
	const char *method; /* GET or POST */
	const char *path;
	struct ss_str body;	    /* JSON; empty: none */
	const char *header, *value; /* sent beside; NULL: none */
	const char *want; /* header of the answer that done is given */
	int64_t timeout_ms;
	void (*done)(void *arg, const struct keep_answer *a);
	void *arg;
};

struct keep *keep_new(struct event_base *base, const char *addr);
/* Calls that are still open end without done. */
void keep_free(struct keep *k);

/* Strings are copied; done is called later. */
void keep_ask(struct keep *k, const struct keep_call *c);

#endif
