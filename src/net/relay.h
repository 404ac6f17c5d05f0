/*
 * One call relayed to an HTTP endpoint, its answer handed on in pieces as
 * it comes. A small answer is one piece.
 */
#ifndef SS_RELAY_H
#define SS_RELAY_H

#include <event2/event.h>

#include "../core/msg.h"

struct relay; /* an endpoint's connections */
struct relay_call;

struct relay *relay_new(struct event_base *base, const char *addr);
void relay_free(struct relay *r);

struct relay_call *relay_start(struct relay *r, const struct msg_call *m,
			       void (*piece)(void *arg, struct msg_reply *m),
			       void *arg);
void relay_cancel(struct relay_call *c);

#endif
