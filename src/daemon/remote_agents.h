/*
 * Agents that a control VM runs for engines without an agent on their own VM.
 * The leader assigns the engines.
 */
#ifndef SS_REMOTE_AGENTS_H
#define SS_REMOTE_AGENTS_H

#include "engine_agent.h"

struct remote_agents;

struct remote_agents_options {
	struct daemon *daemon;
	/* Address for adapter requests: this VM's listener; copied. */
	const char *adapter_addr;
	const struct routing *routing; /* routing in force on this VM */
};

struct remote_agents *remote_agents_new(const struct remote_agents_options *o);
void remote_agents_free(struct remote_agents *r);

/* Runs agents for the engines that the leader assigns, and stops all others. */
void remote_agents_assign(struct remote_agents *r, const struct msg_remote *m);
/* Handles an entry's adapter request; answers with an error if the engine's
 * agent doesn't run here. */
void remote_agents_request_adapter(struct remote_agents *r, struct conn *c,
				   const struct msg_adapter *m);
/* Drops a closed connection from pending adapter requests. */
void remote_agents_conn_closed(struct remote_agents *r, const struct conn *c);
/* Applies a changed routing to all agents. */
void remote_agents_set_routing(struct remote_agents *r);
/* Runs the agents' timers; called every 20 ms. */
void remote_agents_tick(struct remote_agents *r);

#endif
