/*
 * HTTP API of the platform's operators: read the current routing and replace
 * it. Any control VM accepts requests; those that don't lead redirect to the
 * leader.
 */
#ifndef SS_ROUTING_HTTP_H
#define SS_ROUTING_HTTP_H

#include "../core/state.h"
#include "../net/http.h"
#include "../proxy/platform_ops.h"
#include "operator.h"

struct routing_http_ops {
	bool (*leads)(void *arg);
	/* Operators' address of the leader; the caller frees it. NULL if no
	 * leader is known. */
	char *(*leader)(void *arg);
	/* Proposes a change to the group. */
	void (*change)(void *arg, struct command *c,
		       struct operator_callback done);
	/* Calls fn when a majority has confirmed that this VM leads, or with ok
	 * false. */
	void (*confirm)(void *arg, void (*fn)(void *fn_arg, bool ok),
			void *fn_arg);
	const struct ss_state *(*state)(void *arg);
	/* Adds the state of the group and of the fleet. */
	void (*status)(void *arg, struct json_object *o);
	/* Replies to /healthz, /readyz and /metrics. False for other paths. */
	bool (*serve_public)(void *arg, struct evhttp_request *req);
};

struct routing_http_options {
	struct event_base *base;
	const struct platform_ops *platform;
	const char *addr;
	const struct ss_clock *clock;
	/* The table that follows the log; NULL: this VM never leads. */
	struct routing *routing;
	/* How long a request waits for a leader while none is known; 0: it is
	 * refused immediately. */
	int64_t hold_ms;
	const struct routing_http_ops *ops;
	void *arg;
};

struct routing_http;

struct routing_http *routing_http_new(const struct routing_http_options *o,
				      GError **error);
/*
 * Converts a control VM's frame address to its operators' address: all control
 * VMs use the port of own_listen for operators. The caller frees it. NULL if
 * addr is NULL or has no port.
 */
char *routing_http_operator_addr(const char *addr, const char *own_listen);

/* Redirects requests that wait for a leader if one is known now, and refuses
 * those that have waited too long. */
void routing_http_check_held(struct routing_http *h);

void routing_http_free(struct routing_http *h);

#endif
