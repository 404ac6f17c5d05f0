/*
 * The operators' HTTP API.
 *
 *   GET    /v1/presets                 names, versions, the active one
 *   GET    /v1/presets/NAME            {"name","version","body"}
 *   PUT    /v1/presets/NAME            {"body","expect"}
 *   PATCH  /v1/presets/NAME            {"field","value","expect"}
 *   DELETE /v1/presets/NAME            {"expect"}
 *   POST   /v1/switch                  {"preset","expect"}
 *   GET    /v1/history
 *   GET    /v1/models                  PUT: {"models":{...}}
 *   POST   /v1/nodes/NAME/STATE        drain, undrain, forget
 *   GET    /v1/members                 DELETE /v1/members/ID
 *   GET    /v1/status  /v1/why/MODEL
 *
 * A change may carry "change_id" and "author". A change sent again with the
 * same id gets the first answer and isn't applied twice.
 */
#include "operator.h"

#include "../base/log.h"
#include "../core/preset.h"
#include "../config/config.h"

#include <json-c/json.h>

/* Largest body of a change, in bytes; a list of 30,000 adapters has some
 * 3 MB. */
#define BODY_MAX (8 * 1024 * 1024)
/* Longest name of a preset. */
#define NAME_MAX_BYTES 128

struct operator_http {
	struct operator_options o;
	struct http_server *http;
	char *token;
};

/* A request whose change or confirmation is pending. */
struct api_request {
	struct operator_http *h;
	struct evhttp_request *req;
	json_object *body; /* NULL: no body */
	char *name; /* decoded end of the path, after the table's prefix */
	void (*handler)(struct api_request *a);
};

static void api_request_free(struct api_request *a)
{
	json_object_put(a->body);
	g_free(a->name);
	g_free(a);
}

char *operator_read_token(const char *file, GError **error)
{
	GError *e = NULL;
	char *text = NULL;

	if (!g_file_get_contents(file, &text, NULL, &e)) {
		g_set_error(error, SS_ERROR, SS_ERROR_AUTH, "%s", e->message);
		g_error_free(e);
		return NULL;
	}
	text[strcspn(text, "\r\n")] = 0;
	if (*text)
		return text;
	g_set_error(error, SS_ERROR, SS_ERROR_AUTH, "%s holds no token", file);
	g_free(text);
	return NULL;
}

/* Compares in time that doesn't depend on how much of a guess is right. */
static bool same_token(const char *a, const char *b)
{
	size_t n = strlen(a);
	unsigned char diff = n != strlen(b);

	for (size_t i = 0; i < n; i++)
		diff |= (unsigned char)(a[i] ^ b[i % (strlen(b) + 1)]);
	return diff == 0;
}

static bool authorized(const struct operator_http *h,
		       struct evhttp_request *req)
{
	const char *v = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Authorization");

	return v && g_str_has_prefix(v, "Bearer ") &&
	       same_token(v + 7, h->token);
}

static void fail(struct evhttp_request *req, enum ss_error code,
		 const char *text)
{
	GError *e = g_error_new(SS_ERROR, (int)code, "%s", text);

	http_reply_error(req, e);
	g_error_free(e);
}

/* Fields of request bodies. */

static const char *text_field(json_object *o, const char *key)
{
	json_object *v;

	if (!o || !json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}

static bool expect_field(json_object *o, uint64_t *expect)
{
	json_object *v;

	if (!o || !json_object_object_get_ex(o, "expect", &v) ||
	    !json_object_is_type(v, json_type_int))
		return false;
	*expect = (uint64_t)json_object_get_int64(v);
	return true;
}

/* Changes. */

static void on_changed(void *arg, const struct command_result *r,
		       const GError *error)
{
	struct api_request *a = arg;
	json_object *o;

	if (error) {
		http_reply_error(a->req, error);
	} else if (r->code) {
		o = json_object_new_object();
		json_object_object_add(o, "type",
				       json_object_new_string(ss_error_name(
					       (enum ss_error)r->code)));
		json_object_object_add(o, "message",
				       json_object_new_string(r->text));
		json_object_object_add(
			o, "version",
			json_object_new_int64((int64_t)r->version));
		json_object *root = json_object_new_object();

		json_object_object_add(root, "error", o);
		http_reply_json(a->req, http_status((enum ss_error)r->code),
				root);
	} else {
		o = json_object_new_object();
		json_object_object_add(
			o, "version",
			json_object_new_int64((int64_t)r->version));
		json_object_object_add(o, "resend",
				       json_object_new_boolean(r->resend));
		http_reply_json(a->req, 200, o);
	}
	api_request_free(a);
}

static void change(struct api_request *a, struct command *c)
{
	struct operator_callback done = { on_changed, a };
	struct operator_http *h = a->h;

	c->change_id = ss_str(text_field(a->body, "change_id"));
	c->author = ss_str(text_field(a->body, "author"));
	log_info("change", "kind=%" PRId64 " name=%s id=%s author=%s", c->kind,
		 a->name ? a->name : "-", c->change_id.p, c->author.p);
	h->o.ops->change(h->o.arg, c, done);
}

static void api_request_fail(struct api_request *a, enum ss_error code,
			     const char *text)
{
	fail(a->req, code, text);
	api_request_free(a);
}

static bool valid_name(const char *s)
{
	size_t n = strlen(s);

	for (size_t i = 0; i < n; i++)
		if (!g_ascii_isalnum(s[i]) && !strchr("-_.:/", s[i]))
			return false;
	return n > 0 && n <= NAME_MAX_BYTES;
}

static void put_preset_body(struct api_request *a, const char *body,
			    uint64_t expect)
{
	struct preset_rec rec = { .name = ss_str(a->name),
				  .body = ss_str(body) };
	struct command c = { .kind = COMMAND_PRESET_PUT,
			     .preset = &rec,
			     .expect = expect };
	GError *error = NULL;
	struct preset p;

	if (!preset_parse(&p, a->name, rec.body, &error)) {
		http_reply_error(a->req, error);
		g_error_free(error);
		api_request_free(a);
		return;
	}
	preset_clear(&p);
	change(a, &c);
}

static void put_preset(struct api_request *a)
{
	json_object *body;
	uint64_t expect;
	char *text;

	if (!valid_name(a->name)) {
		api_request_fail(a, SS_ERROR_BAD_REQUEST,
				 "unusable preset name");
	} else if (!expect_field(a->body, &expect)) {
		api_request_fail(
			a, SS_ERROR_BAD_REQUEST,
			"\"expect\" must be the preset's version, 0 for a "
			"new one");
	} else if (!json_object_object_get_ex(a->body, "body", &body)) {
		api_request_fail(a, SS_ERROR_BAD_REQUEST,
				 "\"body\" is missing");
	} else {
		/* One field per line, so that line numbers in errors are
		 * useful. */
		text = g_strdup(json_object_to_json_string_ext(
			body, JSON_C_TO_STRING_PRETTY));
		put_preset_body(a, text, expect);
		g_free(text);
	}
}

/* Sets the field "a.b.c" of an object. False if the path leads through a value
 * that isn't an object. */
static bool set_path(json_object *root, const char *field, json_object *value)
{
	char **parts = g_strsplit(field, ".", 8);
	json_object *at = root;
	bool ok = parts[0] != NULL;

	for (int i = 0; ok && parts[i + 1]; i++) {
		json_object *next = NULL;

		if (!json_object_object_get_ex(at, parts[i], &next)) {
			next = json_object_new_object();
			json_object_object_add(at, parts[i], next);
		}
		at = next;
		ok = json_object_is_type(at, json_type_object);
	}
	if (ok)
		json_object_object_add(at, parts[g_strv_length(parts) - 1],
				       json_object_get(value));
	g_strfreev(parts);
	return ok;
}

static void patch_preset(struct api_request *a)
{
	const struct ss_state *s = a->h->o.ops->state(a->h->o.arg);
	const struct preset_rec *p = ss_state_preset(s, a->name);
	json_object *value, *body;
	uint64_t expect;
	char *text;

	if (!p) {
		api_request_fail(a, SS_ERROR_NOT_FOUND, "no such preset");
		return;
	}
	if (!expect_field(a->body, &expect) || !*text_field(a->body, "field") ||
	    !json_object_object_get_ex(a->body, "value", &value)) {
		api_request_fail(
			a, SS_ERROR_BAD_REQUEST,
			"\"field\", \"value\" and \"expect\" are needed");
		return;
	}
	body = json_tokener_parse(p->body.p);
	if (!set_path(body, text_field(a->body, "field"), value)) {
		api_request_fail(a, SS_ERROR_BAD_REQUEST, "no such field");
	} else {
		text = g_strdup(json_object_to_json_string_ext(
			body, JSON_C_TO_STRING_PRETTY));
		put_preset_body(a, text, expect);
		g_free(text);
	}
	json_object_put(body);
}

static void delete_preset(struct api_request *a)
{
	struct preset_rec rec = { .name = ss_str(a->name) };
	struct command c = { .kind = COMMAND_PRESET_DELETE, .preset = &rec };

	if (expect_field(a->body, &c.expect))
		change(a, &c);
	else
		api_request_fail(a, SS_ERROR_BAD_REQUEST,
				 "\"expect\" is missing");
}

static void switch_preset(struct api_request *a)
{
	struct preset_rec rec = { .name = ss_str(
					  text_field(a->body, "preset")) };
	struct command c = { .kind = COMMAND_PRESET_SWITCH, .preset = &rec };

	if (rec.name.n == 0 || !expect_field(a->body, &c.expect))
		api_request_fail(
			a, SS_ERROR_BAD_REQUEST,
			"\"preset\" and \"expect\" are needed; expect is "
			"the configuration's version");
	else
		change(a, &c);
}

static void put_models(struct api_request *a)
{
	struct command c = { .kind = COMMAND_MODELS_PUT };
	struct config_models m;
	struct model_rec *recs;
	GError *error = NULL;
	json_object *only = json_object_new_object(), *models = NULL;
	const char *text;

	if (json_object_object_get_ex(a->body, "models", &models))
		json_object_object_add(only, "models", json_object_get(models));
	text = json_object_to_json_string_ext(only, JSON_C_TO_STRING_PRETTY);
	if (!config_models_parse(&m, "models", ss_str(text), &error)) {
		http_reply_error(a->req, error);
		g_error_free(error);
		json_object_put(only);
		api_request_free(a);
		return;
	}
	recs = config_models_records(&m);
	c.models = recs;
	c.n_models = m.models->len;
	change(a, &c);
	g_free(recs);
	config_models_clear(&m);
	json_object_put(only);
}

static void node_state(struct api_request *a)
{
	static const struct {
		const char *verb;
		enum node_state state;
	} verbs[] = { { "drain", NODE_DRAINING },
		      { "undrain", NODE_LIVE },
		      { "forget", NODE_GONE } };
	char *slash = strrchr(a->name, '/');
	struct node_rec rec = { 0 };
	struct command c = { .kind = COMMAND_NODE_STATE, .node = &rec };

	for (size_t i = 0; slash && i < G_N_ELEMENTS(verbs); i++) {
		if (strcmp(slash + 1, verbs[i].verb))
			continue;
		*slash = 0;
		rec.name = ss_str(a->name);
		rec.state = verbs[i].state;
		change(a, &c);
		return;
	}
	api_request_fail(a, SS_ERROR_NOT_FOUND, "drain, undrain or forget");
}

static void remove_member(struct api_request *a)
{
	uint64_t id = g_ascii_strtoull(a->name, NULL, 16);
	GError *error = NULL;

	if (a->h->o.ops->remove_member(a->h->o.arg, id, &error)) {
		http_reply_json(a->req, 200, json_object_new_object());
	} else {
		http_reply_error(a->req, error);
		g_error_free(error);
	}
	api_request_free(a);
}

/* Reads. Only a leader that a majority has confirmed since the request arrived
 * answers them. */

static json_object *preset_json(const struct preset_rec *p, bool body)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, "name", json_object_new_string(p->name.p));
	json_object_object_add(o, "version",
			       json_object_new_int64((int64_t)p->version));
	if (body)
		json_object_object_add(o, "body",
				       json_tokener_parse(p->body.p));
	return o;
}

static void list_presets(struct api_request *a)
{
	const struct ss_state *s = a->h->o.ops->state(a->h->o.arg);
	const struct preset_rec *now = ss_state_in_force(s);
	json_object *root = json_object_new_object();
	json_object *list = json_object_new_array();
	GList *all = g_hash_table_get_values(ss_state_presets(s));

	for (GList *p = all; p; p = p->next)
		json_object_array_add(list, preset_json(p->data, false));
	g_list_free(all);
	json_object_object_add(root, "presets", list);
	json_object_object_add(root, "in_force",
			       json_object_new_string(now ? now->name.p : ""));
	json_object_object_add(
		root, "version",
		json_object_new_int64((int64_t)ss_state_config_version(s)));
	http_reply_json(a->req, 200, root);
	api_request_free(a);
}

static void show_preset(struct api_request *a)
{
	const struct ss_state *s = a->h->o.ops->state(a->h->o.arg);
	const struct preset_rec *p = ss_state_preset(s, a->name);

	if (!p) {
		api_request_fail(a, SS_ERROR_NOT_FOUND, "no such preset");
		return;
	}
	http_reply_json(a->req, 200, preset_json(p, true));
	api_request_free(a);
}

static json_object *change_json(const struct change_rec *c)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, "version",
			       json_object_new_int64((int64_t)c->index));
	json_object_object_add(o, "what", json_object_new_string(c->what.p));
	json_object_object_add(o, "author",
			       json_object_new_string(c->author.p));
	json_object_object_add(o, "change_id", json_object_new_string(c->id.p));
	json_object_object_add(o, "at_ms", json_object_new_int64(c->at_ms));
	json_object_object_add(
		o, "result",
		json_object_new_string(
			c->code ? ss_error_name((enum ss_error)c->code) :
				  "accepted"));
	return o;
}

static void show_history(struct api_request *a)
{
	const struct ss_state *s = a->h->o.ops->state(a->h->o.arg);
	json_object *root = json_object_new_object();
	json_object *list = json_object_new_array();

	for (GList *p = ss_state_history(s)->head; p; p = p->next)
		json_object_array_add(list, change_json(p->data));
	json_object_object_add(root, "history", list);
	http_reply_json(a->req, 200, root);
	api_request_free(a);
}

static void list_models(struct api_request *a)
{
	const struct ss_state *s = a->h->o.ops->state(a->h->o.arg);
	json_object *root = json_object_new_object();
	json_object *list = json_object_new_array();
	GList *all = g_hash_table_get_values(ss_state_models(s));

	for (GList *p = all; p; p = p->next) {
		const struct model_rec *m = p->data;
		json_object *o = json_object_new_object();

		json_object_object_add(o, "name",
				       json_object_new_string(m->name.p));
		json_object_object_add(o, "base",
				       json_object_new_string(m->base.p));
		json_object_object_add(o, "pool",
				       json_object_new_string(m->pool.p));
		json_object_object_add(
			o, "bytes", json_object_new_int64((int64_t)m->bytes));
		json_object_object_add(
			o, "slots", json_object_new_int64((int64_t)m->slots));
		json_object_array_add(list, o);
	}
	g_list_free(all);
	json_object_object_add(root, "models", list);
	http_reply_json(a->req, 200, root);
	api_request_free(a);
}

static void show_status(struct api_request *a)
{
	json_object *o = json_object_new_object();

	a->h->o.ops->status(a->h->o.arg, o);
	http_reply_json(a->req, 200, o);
	api_request_free(a);
}

static void show_members(struct api_request *a)
{
	http_reply_json(a->req, 200, a->h->o.ops->members(a->h->o.arg));
	api_request_free(a);
}

static void show_why(struct api_request *a)
{
	json_object *o = a->h->o.ops->explain(a->h->o.arg, a->name);

	if (!o) {
		api_request_fail(a, SS_ERROR_UNKNOWN_MODEL, "no such model");
		return;
	}
	http_reply_json(a->req, 200, o);
	api_request_free(a);
}

static void on_confirmed(void *arg, bool ok)
{
	struct api_request *a = arg;

	if (ok)
		a->handler(a);
	else
		api_request_fail(
			a, SS_ERROR_NOT_LEADER,
			"this VM doesn't lead, or no majority confirms it");
}

/* Paths. */

struct path {
	enum evhttp_cmd_type method;
	const char *path; /* a path that ends in "/" is followed by a name */
	void (*fn)(struct api_request *a);
};

static const struct path paths[] = {
	{ EVHTTP_REQ_GET, "/v1/presets", list_presets },
	{ EVHTTP_REQ_GET, "/v1/presets/", show_preset },
	{ EVHTTP_REQ_PUT, "/v1/presets/", put_preset },
	{ EVHTTP_REQ_PATCH, "/v1/presets/", patch_preset },
	{ EVHTTP_REQ_DELETE, "/v1/presets/", delete_preset },
	{ EVHTTP_REQ_POST, "/v1/switch", switch_preset },
	{ EVHTTP_REQ_GET, "/v1/history", show_history },
	{ EVHTTP_REQ_GET, "/v1/models", list_models },
	{ EVHTTP_REQ_PUT, "/v1/models", put_models },
	{ EVHTTP_REQ_POST, "/v1/nodes/", node_state },
	{ EVHTTP_REQ_GET, "/v1/members", show_members },
	{ EVHTTP_REQ_DELETE, "/v1/members/", remove_member },
	{ EVHTTP_REQ_GET, "/v1/status", show_status },
	{ EVHTTP_REQ_GET, "/v1/why/", show_why },
};

static const struct path *find_path(enum evhttp_cmd_type method,
				    const char *path)
{
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		size_t n = strlen(paths[i].path);
		bool prefix = paths[i].path[n - 1] == '/';

		if (paths[i].method != method)
			continue;
		if (prefix ? !strncmp(path, paths[i].path, n) && path[n] :
			     !strcmp(path, paths[i].path))
			return &paths[i];
	}
	return NULL;
}

static void on_request(void *arg, struct evhttp_request *req)
{
	struct operator_http *h = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	enum evhttp_cmd_type method = evhttp_request_get_command(req);
	const struct path *p;
	struct api_request *a;
	GError *error = NULL;

	if (h->o.ops->serve_public(h->o.arg, req))
		return;
	if (!authorized(h, req)) {
		(*h->o.denied)++;
		fail(req, SS_ERROR_AUTH, "the token is missing or wrong");
		return;
	}
	p = find_path(method, path);
	if (!p) {
		fail(req, SS_ERROR_NOT_FOUND, "no such path");
		return;
	}
	a = g_new0(struct api_request, 1);
	a->h = h;
	a->req = req;
	a->name = evhttp_uridecode(path + strlen(p->path), 0, NULL);
	a->handler = p->fn;
	if (http_body(req).n)
		a->body = http_body_json(req, &error);
	if (error) {
		http_reply_error(req, error);
		g_error_free(error);
		api_request_free(a);
		return;
	}
	h->o.ops->confirm(h->o.arg, on_confirmed, a);
}

struct operator_http *operator_new(const struct operator_options *o,
				   GError **error)
{
	struct operator_http *h = g_new0(struct operator_http, 1);
	struct http_server_options so = { .base = o->base,
					  .addr = o->addr,
					  .max_body = BODY_MAX,
					  .handle = on_request,
					  .arg = h };

	h->o = *o;
	h->token = operator_read_token(o->token_file, error);
	if (h->token)
		h->http = http_server_new(&so, error);
	if (h->http)
		return h;
	operator_free(h);
	return NULL;
}

void operator_free(struct operator_http *h)
{
	if (!h)
		return;
	http_server_free(h->http);
	g_free(h->token);
	g_free(h);
}
