/* Test fixture of an agent's HTTP clients, on the first endpoint of a gate's
 * fixture. */
#ifndef SS_AGENT_FIX_H
#define SS_AGENT_FIX_H

#include "gate_fix.h"

struct relay;
struct http_client;

/* What an agent's client got. */
struct agent_result {
	bool done, whole;
	int status;
	GString *body;
};

struct agent_clients {
	struct fix *f;
	struct relay *relay;
	struct http_client *client;
};

void agent_clients_open(struct agent_clients *t, struct fix *f);
void agent_clients_close(struct agent_clients *t);

/* The ways on which an agent asks an endpoint. */
struct agent_way {
	const char *name;
	void (*ask)(struct agent_clients *t, const char *method,
		    struct agent_result *o);
	bool has_head; /* sends HEAD requests */
};

enum { AGENT_WAY_RELAY, AGENT_WAY_CLIENT, AGENT_WAY_REQUEST, N_AGENT_WAYS };
extern const struct agent_way agent_ways[N_AGENT_WAYS];

/* Asks once; the endpoint's reply is that one. The caller frees the body. */
struct agent_result agent_ask(struct agent_clients *t, int way,
			      const char *method, struct reply reply);
/* The same with an answer that may hold NULs, to a GET. */
struct agent_result agent_ask_bytes(struct agent_clients *t, int way,
				    struct ss_str answer);

#endif
