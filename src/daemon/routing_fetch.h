/*
 * Fetches the routing in force for an entry or agent, from a control VM and on
 * a separate connection, so that the transfer delays no message of the leader.
 */
#ifndef SS_ROUTING_FETCH_H
#define SS_ROUTING_FETCH_H

#include "../core/routing.h"
#include "daemon.h"

struct routing_fetch;

struct routing_fetch_options {
	struct daemon *daemon;
	bool services_only; /* fetch no routes: the process uses none */
	/* Called when a newer version is in force; r is the same table in all
	 * calls. */
	void (*applied)(void *arg, struct routing *r);
	void *arg;
};

struct routing_fetch *routing_fetch_new(const struct routing_fetch_options *o);
void routing_fetch_free(struct routing_fetch *r);

/* Fetches the version in force, as the leader has reported it on this link. */
void routing_fetch_want(struct routing_fetch *r, struct link *link,
			uint64_t version);
/* Called at each tick of the process. */
void routing_fetch_tick(struct routing_fetch *r);

#endif
