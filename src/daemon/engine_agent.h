/*
 * The agent of one model engine: reports the engine's state to the leader and
 * sends the engine its load and unload orders. It runs on the engine's VM or,
 * if that VM runs none, in a control VM.
 */
#ifndef SS_ENGINE_AGENT_H
#define SS_ENGINE_AGENT_H

#include "../core/routing.h"
#include "daemon.h"

struct engine_agent;

struct engine_agent_options {
	struct daemon *daemon;
	const char *endpoint;	  /* address of the engine */
	const char *holder;	  /* this VM's name, on every order */
	const char *adapter_addr; /* address for adapter requests; not copied */
	bool remote;		  /* runs in a control VM */
	/* Called when the leader reports the version of the routing in force;
	 * may be NULL. */
	void (*routing_reported)(void *arg, struct link *link,
				 uint64_t version);
	void *arg;
};

struct engine_agent *engine_agent_new(const struct engine_agent_options *o);
void engine_agent_free(struct engine_agent *a);

/* Applies a changed routing; keeps its service, not the table. */
void engine_agent_set_routing(struct engine_agent *a, const struct routing *r);
/* Handles an entry's adapter request; the reply goes to its connection. */
void engine_agent_request_adapter(struct engine_agent *a, struct conn *c,
				  const struct msg_adapter *m);
/* Drops a closed connection of an entry from pending adapter requests. */
void engine_agent_conn_closed(struct engine_agent *a, const struct conn *c);
/* Polls the engine and reports when due; called every 20 ms, the poll interval
 * of a busy engine. */
void engine_agent_tick(struct engine_agent *a);
/* Returns true while the engine answers polls. */
bool engine_agent_reachable(const struct engine_agent *a);

#endif
