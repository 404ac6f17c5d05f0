/*
 * Agents that a control VM runs for engines which have none beside them, as the
 * leader names them.
 */
#ifndef SS_REMOTE_AGENTS_H
#define SS_REMOTE_AGENTS_H

#include "engine_agent.h"

struct remote_agents;

struct remote_agents_options {
	struct daemon *daemon;
	const char *asked_at;	       /* of this VM's listener; copied */
	const struct routing *routing; /* that this VM follows */
};

struct remote_agents *remote_agents_new(const struct remote_agents_options *o);
void remote_agents_free(struct remote_agents *r);

/* The leader's word: these and no others. */
void remote_agents_told(struct remote_agents *r, const struct msg_remote *m);
/* An entry needs an adapter; whose engine isn't here is told so. */
void remote_agents_adapter(struct remote_agents *r, struct conn *c,
			   const struct msg_adapter *m);
void remote_agents_left(struct remote_agents *r, const struct conn *c);
/* The routing has changed. */
void remote_agents_routing(struct remote_agents *r);
/* Called each 20 ms. */
void remote_agents_tick(struct remote_agents *r);

#endif
