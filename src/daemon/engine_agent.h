/*
 * An agent of one model engine: it reports the engine to the leader, and gives
 * it orders. It runs beside its engine or, where none does, in a control VM.
 */
#ifndef SS_ENGINE_AGENT_H
#define SS_ENGINE_AGENT_H

#include "../core/routing.h"
#include "daemon.h"

struct engine_agent;

struct engine_agent_options {
	struct daemon *daemon;
	const char *endpoint; /* address of the engine */
	const char *holder;   /* this VM's name, on every order */
	const char *asked_at; /* where entries ask for adapters; not copied */
	bool remote;	      /* it runs in a control VM */
	/* The leader has told the version in force; NULL: of no use here. */
	void (*routing_told)(void *arg, struct link *link, uint64_t version);
	void *arg;
};

struct engine_agent *engine_agent_new(const struct engine_agent_options *o);
void engine_agent_free(struct engine_agent *a);

/* The routing has changed; its services are kept, not the table. */
void engine_agent_set_routing(struct engine_agent *a, const struct routing *r);
/* An entry needs an adapter; it is answered on its connection. */
void engine_agent_adapter(struct engine_agent *a, struct conn *c,
			  const struct msg_adapter *m);
/* An entry's connection has gone. */
void engine_agent_left(struct engine_agent *a, const struct conn *c);
/* Called each 20 ms: a busy engine is read as often. */
void engine_agent_tick(struct engine_agent *a);
/* The engine reports. */
bool engine_agent_reachable(const struct engine_agent *a);

#endif
