/*
 * Forwards calls to an HTTP endpoint and passes the response on in pieces as it
 * arrives. A small response of known length is passed on as one piece.
 */
#ifndef SS_RELAY_H
#define SS_RELAY_H

#include <event2/event.h>

#include "../core/msg.h"

struct relay; /* connections to one endpoint */
struct relay_call;

struct relay *relay_new(struct event_base *base, const char *addr);
void relay_free(struct relay *r);

/* Forwards a call. piece is called for each part of the response; the last one
 * has end set. */
struct relay_call *relay_start(struct relay *r, const struct msg_call *m,
			       void (*piece)(void *arg, struct msg_reply *m),
			       void *arg);
/* Aborts the request and frees the call; piece isn't called again. */
void relay_cancel(struct relay_call *c);

#endif
