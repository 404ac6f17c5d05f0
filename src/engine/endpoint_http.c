/* Opens and closes endpoints that are reached over HTTP. */
#include "endpoint_http.h"

/* Timeout in ms of orders and reads, which an endpoint answers at once: longer
 * than a busy engine takes for one step of its batch. */
#define TIMEOUT_MS 3000

struct endpoint *endpoint_http_open(const struct endpoint_options *o)
{
	struct endpoint *e = g_new0(struct endpoint, 1);

	e->o = *o;
	e->o.timeout_ms = o->timeout_ms ? o->timeout_ms : TIMEOUT_MS;
	e->addr = g_strdup(o->addr);
	e->relay = relay_new(o->base, o->addr);
	return e;
}

void endpoint_http_close(struct endpoint *e)
{
	relay_free(e->relay);
	g_free(e->addr);
	g_free(e);
}
