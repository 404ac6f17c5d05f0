/* Stand-ins for a service, the weight store and the platform's VM list. */
#include "standin.h"

#include <event2/buffer.h>

#define MB 1000000LL

/* The plain service answers each request and journals that it ran. */

struct service {
	struct standin *s;
	long long runs; /* number so far */
};

struct service_call {
	struct service *v;
	struct evhttp_request *req;
	long long run; /* number of the run, from 1 */
};

static void send_service_reply(evutil_socket_t fd, short what, void *arg)
{
	struct service_call *r = arg;
	json_object *o = json_object_new_object();

	(void)fd;
	(void)what;
	json_object_object_add(o, "ok", json_object_new_boolean(1));
	json_object_object_add(o, "run", json_object_new_int64(r->run));
	json_object_object_add(
		o, "path",
		json_object_new_string(evhttp_request_get_uri(r->req)));
	json_object_object_add(
		o, "request",
		json_object_new_string(standin_header(r->req, "X-Request-Id")));
	standin_mark(r->v->s, r->req);
	http_reply_json(r->req, 200, o);
	g_free(r);
}

static void on_service(void *arg, struct evhttp_request *req)
{
	struct service *v = arg;
	struct service_call *r;
	json_object *o;

	if (!strcmp(evhttp_request_get_uri(req), "/healthz")) {
		http_reply(req, 200, "text/plain", SS_LIT("ok\n"));
		return;
	}
	r = g_new0(struct service_call, 1);
	r->v = v;
	r->req = req;
	r->run = ++v->runs;
	o = json_object_new_object();
	json_object_object_add(
		o, "request",
		json_object_new_string(standin_header(req, "X-Request-Id")));
	json_object_object_add(
		o, "key",
		json_object_new_string(standin_header(req, "Idempotency-Key")));
	json_object_object_add(
		o, "path", json_object_new_string(evhttp_request_get_uri(req)));
	standin_journal(v->s, "run", o);
	evhttp_request_own(req);
	standin_schedule(v->s, standin_query(req, "delay_ms", 0),
			 send_service_reply, r);
}

struct http_server *service_start(struct standin *s, GError **error)
{
	struct service *v = g_new0(struct service, 1);
	struct http_server_options o = { .base = s->base,
					 .addr = s->listen,
					 .max_body = 16 << 20,
					 .handle = on_service,
					 .arg = v };

	v->s = s;
	return http_server_new(&o, error);
}

/*
 * The weight store: up to store_parallel loads run at full speed; more loads
 * share the bandwidth of these.
 */

struct store {
	struct standin *s;
	int active;	    /* loads */
	long long slowdown; /* factor on load times, for fault injection */
};

struct store_load {
	struct store *t;
	struct evhttp_request *req;
};

static void on_load_sent(evutil_socket_t fd, short what, void *arg)
{
	struct store_load *w = arg;

	(void)fd;
	(void)what;
	w->t->active--;
	http_reply(w->req, 200, "text/plain", SS_LIT("weights\n"));
	g_free(w);
}

static void on_store(void *arg, struct evhttp_request *req)
{
	struct store *t = arg;
	long long bytes = standin_query(req, "bytes", 0);
	struct store_load *w;
	int64_t ms;

	if (g_str_has_prefix(evhttp_request_get_uri(req), "/slow")) {
		t->slowdown = MAX(standin_query(req, "factor", 1), 1);
		http_reply(req, 200, "text/plain", SS_LIT("ok\n"));
		return;
	}
	t->active++;
	ms = bytes / MB * 1000 / t->s->store_mbps * t->slowdown;
	if (t->active > t->s->store_parallel)
		ms = ms * t->active / t->s->store_parallel;
	w = g_new0(struct store_load, 1);
	w->t = t;
	w->req = req;
	evhttp_request_own(req);
	standin_schedule(t->s, ms, on_load_sent, w);
}

struct http_server *store_start(struct standin *s, GError **error)
{
	struct store *t = g_new0(struct store, 1);
	struct http_server_options o = { .base = s->base,
					 .addr = s->listen,
					 .max_body = 4096,
					 .handle = on_store,
					 .arg = t };

	t->s = s;
	t->slowdown = 1;
	return http_server_new(&o, error);
}

/* The VM list: PUT replaces it, GET returns it. */

struct platform {
	GString *list;
};

static void on_platform(void *arg, struct evhttp_request *req)
{
	struct platform *p = arg;
	struct ss_str body = http_body(req);

	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT) {
		g_string_truncate(p->list, 0);
		g_string_append_len(p->list, body.p, (gssize)body.n);
	}
	http_reply(req, 200, "application/json", ss_str_gs(p->list));
}

struct http_server *platform_start(struct standin *s, GError **error)
{
	struct platform *p = g_new0(struct platform, 1);
	char **names = g_strsplit(s->vms, ",", -1);
	struct http_server_options o = { .base = s->base,
					 .addr = s->listen,
					 .max_body = 1 << 20,
					 .handle = on_platform,
					 .arg = p };

	p->list = g_string_new("{\"vms\":[");
	for (int i = 0; names[i] && *names[i]; i++)
		g_string_append_printf(p->list,
				       "%s{\"name\":\"%s\",\"state\":\"live\"}",
				       i ? "," : "", names[i]);
	g_string_append(p->list, "]}");
	g_strfreev(names);
	return http_server_new(&o, error);
}
