/*
 * An HTTP client that sends its requests to one address over one persistent
 * connection, one at a time, in the order in which they were queued.
 */
#ifndef SS_HTTP_CLIENT_H
#define SS_HTTP_CLIENT_H

#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <sapphireshift/base.h>

struct http_client;

struct http_client_response {
	int status; /* 0: no response; the call may have been executed */
	struct ss_str body;
	const char *header; /* value of response_header; NULL: absent */
	const struct evkeyvalq *headers; /* all headers; NULL: no response */
};

struct http_client_call {
	const char *method; /* GET or POST */
	const char *path;
	struct ss_str body;	     /* JSON; empty: none */
	const char *header, *value;  /* additional request header; NULL: none */
	const char *response_header; /* response header to pass to done; NULL:
					none */
	/* Timeout for silence on the connection. The one of the latest call
	 * applies to the call in progress, too: a call doesn't wait for longer
	 * than its own timeout behind one that isn't answered. */
	int64_t timeout_ms;
	void (*done)(void *arg, const struct http_client_response *a);
	void *arg;
};

struct http_client *http_client_new(struct event_base *base, const char *addr);
/* Frees a client. Its pending calls are dropped; done isn't called for them. */
void http_client_free(struct http_client *client);

/* Queues a call. Strings are copied; done is called from the event loop. */
void http_client_send(struct http_client *client,
		      const struct http_client_call *c);

#endif
