/*
 * Endpoint functions of plain services over HTTP. Calls are passed on
 * unchanged. Any answer to GET /healthz shows that the service is reachable; it
 * holds no models.
 */
#include "../engine/endpoint_http.h"

#include "../net/http.h"

static void refuse_order(struct endpoint *e, const struct ledger_replica *r,
			 uint64_t fence, void (*done)(void *arg, bool ok),
			 void *arg)
{
	(void)e;
	(void)r;
	(void)fence;
	done(arg, false);
}

static void on_health(void *arg, int status, struct ss_str body,
		      const GError *error)
{
	static const struct endpoint_state reachable;
	struct read_done *d = arg;

	(void)body;
	(void)error;
	d->done(d->arg, status ? &reachable : NULL);
	g_free(d);
}

static void
service_read(struct endpoint *e,
	     void (*done)(void *arg, const struct endpoint_state *s), void *arg)
{
	struct read_done *d = g_new0(struct read_done, 1);
	struct http_request_options get = { .base = e->o.base,
					    .addr = e->addr,
					    .method = "GET",
					    .path = "/healthz",
					    .timeout_ms = e->o.timeout_ms,
					    .done = on_health,
					    .arg = d };

	d->done = done;
	d->arg = arg;
	http_request(&get);
}

static struct endpoint_call *service_call(struct endpoint *e,
					  const struct endpoint_call_options *o)
{
	return (struct endpoint_call *)relay_start(e->relay, o->m, o->piece,
						   o->arg);
}

static void service_cancel(struct endpoint_call *c)
{
	relay_cancel((struct relay_call *)c);
}

const struct endpoint_ops service_http_ops = {
	.open = endpoint_http_open,
	.close = endpoint_http_close,
	.load = refuse_order,
	.unload = refuse_order,
	.read = service_read,
	.call = service_call,
	.cancel = service_cancel,
};
