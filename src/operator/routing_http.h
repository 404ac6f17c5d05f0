/*
 * The platform operators' calls: put a routing in force, and read the one
 * in force. Put to any control VM; those that don't lead redirect.
 */
#ifndef SS_ROUTING_HTTP_H
#define SS_ROUTING_HTTP_H

#include "../core/state.h"
#include "../net/http.h"
#include "../proxy/platform_ops.h"
#include "operator.h"

struct routing_http_ops {
	bool (*leads)(void *arg);
	/* Operators' address of the leader, owned; NULL where unknown. */
	char *(*leader)(void *arg);
	void (*change)(void *arg, struct command *c, struct operator_done done);
	/* Called back once a majority has confirmed that this VM leads. */
	void (*confirm)(void *arg, void (*fn)(void *fn_arg, bool ok),
			void *fn_arg);
	const struct ss_state *(*state)(void *arg);
	/* /healthz, /readyz and /metrics. */
	bool (*plain)(void *arg, struct evhttp_request *req);
};

struct routing_http_options {
	struct event_base *base;
	const struct platform_ops *platform;
	const char *addr;
	const struct ss_clock *clock;
	struct routing *routing; /* that follows the log; NULL: never leads */
	/* A call that comes while no leader is known waits so long for one; 0:
	 * it is refused at once. */
	int64_t hold_ms;
	const struct routing_http_ops *ops;
	void *arg;
};

struct routing_http;

struct routing_http *routing_http_new(const struct routing_http_options *o,
				      GError **error);
/*
 * Operators' address of the control VM with this frame address, owned: all
 * of them take operators on the same port. NULL where it isn't known.
 */
char *routing_http_peer(const char *addr, const char *own_listen);

/* Look after calls that wait for a leader: one may be known by now, or it is
 * time to refuse them. */
void routing_http_look(struct routing_http *h);

void routing_http_free(struct routing_http *h);

#endif
