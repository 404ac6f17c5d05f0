/* Stand-in for a model engine: loads, unloads, and answers with fake tokens. */
#include "standin.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <stdlib.h>

#define TOKENS_DEFAULT 8
#define TOKENS_MAX 100000
#define UNLOAD_MS 20
#define STORE_TIMEOUT_MS 3600000
/* Limit on the part of the request's text that the tokens repeat. */
#define ECHO_BYTES 60
#define MB 1000000LL

enum model_state { MODEL_LOADING, MODEL_READY, MODEL_UNLOADING };

static const char *const state_names[] = { "loading", "ready", "unloading" };

struct model {
	char *name;
	long long bytes;
	enum model_state state;
};

struct engine {
	struct standin *s;
	GPtrArray *models; /* struct model */
	GQueue cached;	   /* checkpoints on the local disk, newest first */
	long long fence;   /* highest fencing token seen */
};

static struct model *find_model(struct engine *e, const char *name)
{
	for (guint i = 0; i < e->models->len; i++) {
		struct model *m = e->models->pdata[i];

		if (!strcmp(m->name, name))
			return m;
	}
	return NULL;
}

static long long used_bytes(struct engine *e)
{
	long long sum = 0;

	for (guint i = 0; i < e->models->len; i++)
		sum += ((struct model *)e->models->pdata[i])->bytes;
	return sum;
}

static json_object *model_event(const struct engine *e, const char *name,
				long long bytes)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, "model", json_object_new_string(name));
	json_object_object_add(o, "bytes", json_object_new_int64(bytes));
	json_object_object_add(
		o, "used",
		json_object_new_int64(used_bytes((struct engine *)e)));
	json_object_object_add(o, "memory", json_object_new_int64(e->s->bytes));
	return o;
}

static void model_free(void *p)
{
	struct model *m = p;

	g_free(m->name);
	g_free(m);
}

/* Loading and unloading. */

/* A load or unload in progress. */
struct model_op {
	struct engine *e;
	char *name;
};

static void model_op_free(struct model_op *op)
{
	g_free(op->name);
	g_free(op);
}

static void cache_checkpoint(struct engine *e, const char *name)
{
	GList *old =
		g_queue_find_custom(&e->cached, name, (GCompareFunc)strcmp);

	if (old) {
		g_free(old->data);
		g_queue_delete_link(&e->cached, old);
	}
	g_queue_push_head(&e->cached, g_strdup(name));
	while ((int)e->cached.length > e->s->cached)
		g_free(g_queue_pop_tail(&e->cached));
}

static void on_load_ready(evutil_socket_t fd, short what, void *arg)
{
	struct model_op *op = arg;
	struct model *m = find_model(op->e, op->name);

	(void)fd;
	(void)what;
	if (m && m->state == MODEL_LOADING) {
		m->state = MODEL_READY;
		cache_checkpoint(op->e, op->name);
		standin_journal(op->e->s, "ready",
				model_event(op->e, m->name, m->bytes));
	}
	model_op_free(op);
}

static void on_weights(void *arg, int status, struct ss_str body,
		       const GError *error)
{
	struct model_op *op = arg;
	struct model *m = find_model(op->e, op->name);

	(void)body;
	(void)error;
	if (status == 200) {
		on_load_ready(-1, 0, op);
		return;
	}
	if (m && m->state == MODEL_LOADING)
		g_ptr_array_remove(op->e->models, m);
	model_op_free(op);
}

static void start_load(struct engine *e, const struct model *m)
{
	struct model_op *op = g_new0(struct model_op, 1);
	bool on_disk = g_queue_find_custom(&e->cached, m->name,
					   (GCompareFunc)strcmp) != NULL;
	char *path;
	struct http_request_options get = { .base = e->s->base,
					    .addr = e->s->store,
					    .method = "GET",
					    .timeout_ms = STORE_TIMEOUT_MS,
					    .done = on_weights,
					    .arg = op };

	op->e = e;
	op->name = g_strdup(m->name);
	if (on_disk || !*e->s->store) {
		standin_schedule(e->s, m->bytes / MB * 1000 / e->s->load_mbps,
				 on_load_ready, op);
		return;
	}
	path = g_strdup_printf("/weights/%s?bytes=%lld", m->name, m->bytes);
	get.path = path;
	http_request(&get);
	g_free(path);
}

static const char *text_of(json_object *o, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) ?
		       json_object_get_string(v) :
		       "";
}

static long long number_of(json_object *o, const char *key)
{
	json_object *v;

	return json_object_object_get_ex(o, key, &v) ?
		       json_object_get_int64(v) :
		       0;
}

static void reply_text(struct evhttp_request *req, int status, const char *s)
{
	http_reply(req, status, "text/plain", ss_str(s));
}

/*
 * Returns whether to refuse an order because its fencing token is below the
 * highest seen, and records a higher one. Only an engine with checks_fence
 * refuses orders.
 */
static bool is_fenced(struct engine *e, long long fence)
{
	if (e->s->checks_fence && fence < e->fence)
		return true;
	e->fence = MAX(e->fence, fence);
	return false;
}

static void order_load(struct engine *e, struct evhttp_request *req,
		       json_object *o)
{
	const char *name = text_of(o, "model");
	long long bytes = number_of(o, "bytes");
	struct model *m = find_model(e, name);

	if (is_fenced(e, number_of(o, "fence"))) {
		standin_journal(e->s, "fenced", model_event(e, name, bytes));
		reply_text(req, 409, "old fence\n");
		return;
	}
	if (m) {
		reply_text(req, 200, "held\n");
		return;
	}
	if (used_bytes(e) + bytes > e->s->bytes) {
		standin_journal(e->s, "overcommit",
				model_event(e, name, bytes));
		reply_text(req, 507, "no memory\n");
		return;
	}
	m = g_new0(struct model, 1);
	m->name = g_strdup(name);
	m->bytes = bytes;
	g_ptr_array_add(e->models, m);
	standin_journal(e->s, "load", model_event(e, name, bytes));
	start_load(e, m);
	reply_text(req, 202, "loading\n");
}

static void on_unloaded(evutil_socket_t fd, short what, void *arg)
{
	struct model_op *op = arg;
	struct model *m = find_model(op->e, op->name);

	(void)fd;
	(void)what;
	if (m && m->state == MODEL_UNLOADING) {
		standin_journal(op->e->s, "unloaded",
				model_event(op->e, m->name, m->bytes));
		g_ptr_array_remove(op->e->models, m);
	}
	model_op_free(op);
}

static void order_unload(struct engine *e, struct evhttp_request *req,
			 json_object *o)
{
	struct model *m = find_model(e, text_of(o, "model"));
	struct model_op *op;

	if (is_fenced(e, number_of(o, "fence"))) {
		reply_text(req, 409, "old fence\n");
		return;
	}
	if (m && m->state != MODEL_UNLOADING) {
		op = g_new0(struct model_op, 1);
		op->e = e;
		op->name = g_strdup(m->name);
		m->state = MODEL_UNLOADING;
		standin_schedule(e->s, UNLOAD_MS, on_unloaded, op);
	}
	reply_text(req, 202, "unloading\n");
}

static void reply_state(struct engine *e, struct evhttp_request *req)
{
	json_object *root = json_object_new_object();
	json_object *list = json_object_new_array();
	json_object *cached = json_object_new_array();

	for (guint i = 0; i < e->models->len; i++) {
		const struct model *m = e->models->pdata[i];
		json_object *o = json_object_new_object();

		json_object_object_add(o, "model",
				       json_object_new_string(m->name));
		json_object_object_add(o, "bytes",
				       json_object_new_int64(m->bytes));
		json_object_object_add(
			o, "state",
			json_object_new_string(state_names[m->state]));
		json_object_array_add(list, o);
	}
	for (GList *p = e->cached.head; p; p = p->next) {
		json_object *o = json_object_new_object();

		json_object_object_add(o, "model",
				       json_object_new_string(p->data));
		json_object_object_add(o, "tier", json_object_new_int(1));
		json_object_array_add(cached, o);
	}
	json_object_object_add(root, "bytes",
			       json_object_new_int64(e->s->bytes));
	json_object_object_add(root, "models", list);
	json_object_object_add(root, "cached", cached);
	http_reply_json(req, 200, root);
}

/* Requests. */

struct run {
	struct engine *e;
	struct evhttp_request *req;
	char *model, *id;
	char *echo;	  /* text that each token repeats */
	int tokens, done; /* number requested, and generated so far */
	int events;	  /* number sent */
	bool stream;
	bool needs_escape; /* JSON escapes characters of echo */
	GString *text;	   /* tokens so far */
	/* The bytes before and after the token, the same in each event. */
	char *prefix, *suffix;
};

static void run_free(struct run *r)
{
	g_free(r->model);
	g_free(r->id);
	g_free(r->echo);
	g_free(r->prefix);
	g_free(r->suffix);
	g_string_free(r->text, TRUE);
	g_free(r);
}

static json_object *run_event(const struct run *r)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, "request", json_object_new_string(r->id));
	json_object_object_add(o, "model", json_object_new_string(r->model));
	return o;
}

static json_object *choice_json(const char *key, json_object *message,
				const char *finish)
{
	json_object *c = json_object_new_object();

	json_object_object_add(c, "index", json_object_new_int(0));
	json_object_object_add(c, key, message);
	json_object_object_add(c, "finish_reason",
			       finish ? json_object_new_string(finish) : NULL);
	return c;
}

static json_object *completion(const struct run *r, const char *object,
			       const char *key, const char *content,
			       const char *finish)
{
	json_object *root = json_object_new_object();
	json_object *choices = json_object_new_array();
	json_object *message = json_object_new_object();

	json_object_object_add(message, "role",
			       json_object_new_string("assistant"));
	json_object_object_add(message, "content",
			       json_object_new_string(content));
	json_object_array_add(choices, choice_json(key, message, finish));
	json_object_object_add(root, "id", json_object_new_string(r->id));
	json_object_object_add(root, "object", json_object_new_string(object));
	json_object_object_add(root, "model", json_object_new_string(r->model));
	json_object_object_add(root, "choices", choices);
	return root;
}

static char *event_json(const struct run *r, const char *token,
			const char *finish)
{
	json_object *o =
		completion(r, "chat.completion.chunk", "delta", token, finish);
	char *s = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));

	json_object_put(o);
	return s;
}

/* Builds the event once; serializing each token would dominate the cost. */
static void make_event_template(struct run *r)
{
	/* Stands for the token; JSON doesn't escape it. */
	static const char placeholder[] = "<token>";
	char *json = event_json(r, placeholder, NULL);
	char *at = strstr(json, placeholder);

	r->prefix = g_strndup(json, (gsize)(at - json));
	r->suffix = g_strdup(at + sizeof(placeholder) - 1);
	g_free(json);
}

static void send_event(struct run *r, const char *a, const char *b,
		       const char *c)
{
	struct evbuffer *buf = evbuffer_new();

	evbuffer_add_printf(buf, "id: %d\ndata: %s%s%s\n\n", r->events++, a, b,
			    c);
	evhttp_send_reply_chunk(r->req, buf);
	evbuffer_free(buf);
}

static void send_token(struct run *r, const char *token)
{
	char *json;

	if (r->done < r->tokens && !r->needs_escape) {
		send_event(r, r->prefix, token, r->suffix);
		return;
	}
	json = event_json(r, token, r->done < r->tokens ? NULL : "stop");
	send_event(r, json, "", "");
	g_free(json);
}

static void finish(struct run *r)
{
	json_object *o;

	standin_journal(r->e->s, "end", run_event(r));
	if (r->stream) {
		send_event(r, "[DONE]", "", "");
		evhttp_send_reply_end(r->req);
	} else {
		o = completion(r, "chat.completion", "message", r->text->str,
			       "stop");
		http_reply_json(r->req, 200, o);
	}
	run_free(r);
}

static void next_token(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;
	char token[128];

	(void)fd;
	(void)what;
	if (!evhttp_request_get_connection(r->req)) {
		/* The client disconnected: the request is cancelled. */
		standin_journal(r->e->s, "cancelled", run_event(r));
		evhttp_request_free(r->req);
		run_free(r);
		return;
	}
	g_snprintf(token, sizeof(token), "%s%.60s-%d", r->done ? " " : "",
		   r->echo, r->done);
	g_string_append(r->text, token);
	r->done++;
	if (r->stream)
		send_token(r, token);
	if (r->done >= r->tokens)
		finish(r);
	else
		standin_schedule(r->e->s, r->e->s->token_ms, next_token, r);
}

/*
 * Returns the start of the last message, or of the prompt, with underscores for
 * white space.
 */
static char *echo_text(json_object *o)
{
	json_object *list;
	const char *s = text_of(o, "prompt");
	char *echo;

	if (json_object_object_get_ex(o, "messages", &list) &&
	    json_object_is_type(list, json_type_array) &&
	    json_object_array_length(list))
		s = text_of(json_object_array_get_idx(
				    list, json_object_array_length(list) - 1),
			    "content");
	echo = g_strndup(s ? s : "", ECHO_BYTES);
	return g_strdelimit(echo, " \n\t", '_');
}

/* Returns whether JSON represents the string without escapes. */
static bool is_unescaped_in_json(const char *s)
{
	while (*s && (unsigned char)*s >= ' ' && !strchr("\"\\/", *s))
		s++;
	return *s == 0;
}

static bool is_ready(struct engine *e, const char *name)
{
	const char *colon = strchr(name, ':');
	struct model *m = find_model(e, name);

	if (!m && colon)
		m = find_model(e, colon + 1);
	return m && m->state == MODEL_READY;
}

/* With Nagle's algorithm, a token waits until the last one is acknowledged. */
static void disable_nagle(struct evhttp_request *req)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
		evhttp_request_get_connection(req));
	int one = 1;

	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
}

static void start_run(struct engine *e, struct evhttp_request *req,
		      json_object *o)
{
	struct run *r;
	json_object *v;

	if (!is_ready(e, text_of(o, "model"))) {
		standin_journal(e->s, "not_ready", json_object_new_object());
		reply_text(req, 404, "model not loaded\n");
		return;
	}
	r = g_new0(struct run, 1);
	r->e = e;
	r->req = req;
	r->model = g_strdup(text_of(o, "model"));
	r->id = g_strdup(standin_header(req, "X-Request-Id"));
	r->echo = echo_text(o);
	r->text = g_string_new(NULL);
	r->tokens = (int)number_of(o, "max_tokens");
	r->tokens = r->tokens > 0 ? MIN(r->tokens, TOKENS_MAX) : TOKENS_DEFAULT;
	r->stream = json_object_object_get_ex(o, "stream", &v) &&
		    json_object_get_boolean(v);
	standin_journal(e->s, "run", run_event(r));
	evhttp_request_own(req);
	standin_mark(e->s, req);
	if (r->stream) {
		r->needs_escape = !is_unescaped_in_json(r->echo);
		make_event_template(r);
		disable_nagle(req);
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Content-Type", "text/event-stream");
		evhttp_send_reply_start(req, 200, "OK");
	}
	next_token(-1, 0, r);
}

static void on_request(void *arg, struct evhttp_request *req)
{
	struct engine *e = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	json_object *o;
	GError *error = NULL;

	if (!strcmp(path, "/admin/state")) {
		reply_state(e, req);
		return;
	}
	o = http_body_json(req, &error);
	if (!o) {
		http_reply_error(req, error);
		g_error_free(error);
		return;
	}
	if (!strcmp(path, "/admin/load"))
		order_load(e, req, o);
	else if (!strcmp(path, "/admin/unload"))
		order_unload(e, req, o);
	else
		start_run(e, req, o);
	json_object_put(o);
}

struct http_server *engine_start(struct standin *s, GError **error)
{
	struct engine *e = g_new0(struct engine, 1);
	struct http_server_options o = { .base = s->base,
					 .addr = s->listen,
					 .max_body = 16 << 20,
					 .handle = on_request,
					 .arg = e };

	e->s = s;
	e->models = g_ptr_array_new_with_free_func(model_free);
	g_queue_init(&e->cached);
	return http_server_new(&o, error);
}
