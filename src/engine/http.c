/*
 * Endpoint functions of model engines over HTTP, which have this interface:
 *
 *   GET  /admin/state    {"bytes":N,"models":[{"model","state","bytes"}],
 *                         "cached":[{"model","tier"}]}
 *   POST /admin/load     {"model","base","bytes","fence"}
 *   POST /admin/unload   {"model","fence"}
 *                        Answers to both: 202: accepted; 409: the fence is
 *                        out of date
 *   POST /v1/...         calls, as callers send them; 404: the model
 *                        isn't loaded here and nothing was run
 */
#include "endpoint_http.h"

#include "../base/log.h"
#include "../net/http.h"

#include <json-c/json.h>

struct order_done {
	void (*done)(void *arg, bool ok);
	void *arg;
};

static void on_order_done(void *arg, int status, struct ss_str body,
			  const GError *error)
{
	struct order_done *d = arg;
	bool ok = status >= 200 && status < 300;

	(void)body;
	if (!ok)
		log_info("order_failed", "status=%d why=\"%s\"", status,
			 error ? error->message : "the engine refused");
	d->done(d->arg, ok);
	g_free(d);
}

static void send_order(struct endpoint *e, const char *path,
		       const struct ledger_replica *r, uint64_t fence,
		       void (*done)(void *arg, bool ok), void *arg)
{
	json_object *o = json_object_new_object();
	struct order_done *d = g_new0(struct order_done, 1);
	struct http_request_options post = { .base = e->o.base,
					     .addr = e->addr,
					     .method = "POST",
					     .path = path,
					     .timeout_ms = e->o.timeout_ms,
					     .done = on_order_done,
					     .arg = d };

	d->done = done;
	d->arg = arg;
	json_object_object_add(o, "model", json_object_new_string(r->model));
	json_object_object_add(o, "base", json_object_new_string(r->base));
	json_object_object_add(o, "bytes",
			       json_object_new_int64((int64_t)r->bytes));
	json_object_object_add(o, "fence",
			       json_object_new_int64((int64_t)fence));
	post.body = ss_str(json_object_to_json_string(o));
	http_request(&post);
	json_object_put(o);
}

static void engine_load(struct endpoint *e, const struct ledger_replica *r,
			uint64_t fence, void (*done)(void *arg, bool ok),
			void *arg)
{
	send_order(e, "/admin/load", r, fence, done, arg);
}

static void engine_unload(struct endpoint *e, const struct ledger_replica *r,
			  uint64_t fence, void (*done)(void *arg, bool ok),
			  void *arg)
{
	send_order(e, "/admin/unload", r, fence, done, arg);
}

static struct ss_str json_text(json_object *o, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v))
		return SS_LIT("");
	return ss_str(json_object_get_string(v));
}

static int64_t json_number(json_object *o, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) ?
		       json_object_get_int64(v) :
		       0;
}

static json_object *json_list(json_object *o, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_array))
		return NULL;
	return v;
}

static int64_t held_state_of(struct ss_str s)
{
	if (ss_str_eq(s, SS_LIT("ready")))
		return HELD_READY;
	if (ss_str_eq(s, SS_LIT("unloading")))
		return HELD_UNLOADING;
	return HELD_LOADING;
}

static void parse_state(json_object *o, GArray *held, GArray *cached)
{
	json_object *models = json_list(o, "models");
	json_object *cached_models = json_list(o, "cached");
	size_t n = models ? json_object_array_length(models) : 0;

	for (size_t i = 0; i < n; i++) {
		json_object *m = json_object_array_get_idx(models, i);
		struct held_replica h = {
			.model = json_text(m, "model"),
			.bytes = (uint64_t)json_number(m, "bytes"),
			.state = held_state_of(json_text(m, "state"))
		};

		g_array_append_val(held, h);
	}
	n = cached_models ? json_object_array_length(cached_models) : 0;
	for (size_t i = 0; i < n; i++) {
		json_object *m = json_object_array_get_idx(cached_models, i);
		struct cached_checkpoint c = { .model = json_text(m, "model"),
					       .tier = json_number(m, "tier") };

		g_array_append_val(cached, c);
	}
}

static void on_state(void *arg, int status, struct ss_str body,
		     const GError *error)
{
	struct read_done *d = arg;
	char *text = ss_str_dup(body);
	json_object *o = status == 200 ? json_tokener_parse(text) : NULL;

	(void)error;
	if (json_object_is_type(o, json_type_object)) {
		GArray *held =
			g_array_new(FALSE, FALSE, sizeof(struct held_replica));
		GArray *cached = g_array_new(FALSE, FALSE,
					     sizeof(struct cached_checkpoint));
		struct endpoint_state s = { 0 };

		parse_state(o, held, cached);
		s.bytes = (uint64_t)json_number(o, "bytes");
		s.held = (struct held_replica *)held->data;
		s.n_held = held->len;
		s.cached = (struct cached_checkpoint *)cached->data;
		s.n_cached = cached->len;
		d->done(d->arg, &s);
		g_array_unref(held);
		g_array_unref(cached);
	} else {
		d->done(d->arg, NULL);
	}
	json_object_put(o);
	g_free(text);
	g_free(d);
}

static void engine_read(struct endpoint *e,
			void (*done)(void *arg, const struct endpoint_state *s),
			void *arg)
{
	struct read_done *d = g_new0(struct read_done, 1);
	struct http_request_options get = { .base = e->o.base,
					    .addr = e->addr,
					    .method = "GET",
					    .path = "/admin/state",
					    .timeout_ms = e->o.timeout_ms,
					    .done = on_state,
					    .arg = d };

	d->done = done;
	d->arg = arg;
	http_request(&get);
}

struct endpoint_call {
	struct relay_call *relay;
	void (*piece)(void *arg, struct msg_reply *m);
	void *arg;
	bool not_loaded; /* the engine doesn't hold the model */
};

/*
 * An engine that was restarted is empty, and its agent notices only at the next
 * read. Its 404 isn't passed on to the caller: the call did not run and may be
 * sent to another replica.
 */
static void on_reply_part(void *arg, struct msg_reply *m)
{
	struct endpoint_call *c = arg;
	struct msg_reply not_loaded = { .end = true,
					.code = SS_ERROR_UNKNOWN_MODEL,
					.outcome = OUTCOME_NOT_RUN,
					.text = SS_LIT(
						"the engine doesn't hold "
						"the model") };
	bool end = m->end;

	c->not_loaded |= m->status == 404;
	if (!c->not_loaded)
		c->piece(c->arg, m);
	else if (end)
		c->piece(c->arg, &not_loaded);
	if (end)
		g_free(c);
}

static struct endpoint_call *engine_call(struct endpoint *e,
					 const struct endpoint_call_options *o)
{
	struct endpoint_call *c = g_new0(struct endpoint_call, 1);

	c->piece = o->piece;
	c->arg = o->arg;
	c->relay = relay_start(e->relay, o->m, on_reply_part, c);
	return c;
}

static void engine_cancel(struct endpoint_call *c)
{
	relay_cancel(c->relay);
	g_free(c);
}

const struct endpoint_ops engine_http_ops = {
	.open = endpoint_http_open,
	.close = endpoint_http_close,
	.load = engine_load,
	.unload = engine_unload,
	.read = engine_read,
	.call = engine_call,
	.cancel = engine_cancel,
};
