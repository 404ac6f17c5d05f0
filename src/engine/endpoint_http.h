/* Common state and functions of endpoints that are reached over HTTP. */
#ifndef SS_ENDPOINT_HTTP_H
#define SS_ENDPOINT_HTTP_H

#include "../net/relay.h"
#include "endpoint.h"

struct endpoint {
	struct endpoint_options o;
	char *addr;
	struct relay *relay;
};

/* The callback of a pending read. */
struct read_done {
	void (*done)(void *arg, const struct endpoint_state *s);
	void *arg;
};

struct endpoint *endpoint_http_open(const struct endpoint_options *o);
void endpoint_http_close(struct endpoint *e);

#endif
