/*
 * The routing in force as an entry or agent gets it: fetched from a control VM
 * on a connection of its own, so that no word of the leader stands behind it.
 */
#ifndef SS_ROUTING_FETCH_H
#define SS_ROUTING_FETCH_H

#include "../core/routing.h"
#include "daemon.h"

struct routing_fetch;

struct routing_fetch_options {
	struct daemon *daemon;
	bool services; /* no routes: those who use none are spared them */
	/* The table has a newer version; always the same table. */
	void (*take)(void *arg, struct routing *r);
	void *arg;
};

struct routing_fetch *routing_fetch_new(const struct routing_fetch_options *o);
void routing_fetch_free(struct routing_fetch *r);

/* The leader's word, and the link that it came on. */
void routing_fetch_want(struct routing_fetch *r, struct link *link,
			uint64_t version);
/* Called at each tick of the process. */
void routing_fetch_tick(struct routing_fetch *r);

#endif
