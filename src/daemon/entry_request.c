/* Parses callers' requests and submits them to the router. */
#include "entry_int.h"

#include <json-c/json.h>
#define XXH_STATIC_LINKING_ONLY /* for states on the stack */
#include <xxhash.h>

/* Upper bound of deadlines in ms: one day. Batch work overnight needs less, so
 * a longer deadline is a mistake. */
#define DEADLINE_MAX_MS (24 * 3600 * 1000LL)
/* Maximum length of names (model, customer, request id): longer ones would
 * fill logs and metrics. */
#define NAME_MAX_BYTES 200
/* Length of the body's prefix that is hashed to find the replica which may have
 * the prompt cached. */
#define PREFIX_BYTES 256
/* Maximum nesting depth of a request's body. */
#define JSON_DEPTH_MAX 32

static bool name_is_valid(const char *s)
{
	size_t n = strlen(s);

	if (n == 0 || n > NAME_MAX_BYTES)
		return false;
	for (; *s; s++)
		if ((unsigned char)*s < 0x20 || *s == '"' || *s == '\\')
			return false;
	return true;
}

static bool parse_deadline(const char *s, int64_t *ms)
{
	char *end;
	int64_t v = g_ascii_strtoll(s, &end, 10);

	if (end == s || *end || v < 1 || v > DEADLINE_MAX_MS)
		return false;
	*ms = v;
	return true;
}

/* Returns true if a request may run twice. The first matching rule decides;
 * without one a request isn't repeatable. */
static bool is_repeatable(const struct entry_role *e,
			  const struct caller_head *h)
{
	const GPtrArray *rules = e->d->config.entry.rules;

	for (guint i = 0; i < rules->len; i++) {
		const struct config_rule *r = rules->pdata[i];
		size_t n = strlen(r->path);

		if (*r->method && !ss_str_eq(h->method, ss_str(r->method)))
			continue;
		if (h->path.n >= n && !memcmp(h->path.p, r->path, n))
			return r->repeatable;
	}
	return false;
}

static uint64_t prefix_of(struct ss_str model, struct ss_str body)
{
	XXH3_state_t s;

	XXH3_64bits_reset(&s);
	XXH3_64bits_update(&s, model.p, model.n);
	XXH3_64bits_update(&s, body.p, MIN(body.n, PREFIX_BYTES));
	return XXH3_64bits_digest(&s);
}

/* Reads the model's name from "model" in the body; an adapter is named as
 * "model:adapter". */
static bool read_model(struct request *q, const struct caller_head *h)
{
	json_tokener *tok = json_tokener_new_ex(JSON_DEPTH_MAX);
	json_object *o = json_tokener_parse_ex(tok, h->body.p,
					       (int)MIN(h->body.n, INT_MAX));
	json_object *model;
	const char *why = NULL;

	if (json_tokener_get_error(tok) != json_tokener_success ||
	    !json_object_is_type(o, json_type_object))
		why = "the body is no JSON object";
	else if (!json_object_object_get_ex(o, "model", &model) ||
		 !json_object_is_type(model, json_type_string) ||
		 !name_is_valid(json_object_get_string(model)))
		why = "\"model\" must be a model's name";
	else
		q->model = g_strdup(json_object_get_string(model));
	json_object_put(o);
	json_tokener_free(tok);
	if (why)
		entry_refuse(q, SS_ERROR_BAD_REQUEST, why, OUTCOME_NOT_RUN, 0);
	return why == NULL;
}

static char *dup_or_default(const char *s, const char *fallback)
{
	return g_strdup(s && *s ? s : fallback);
}

static bool is_true(const char *s)
{
	return s && (!strcmp(s, "1") || !g_ascii_strcasecmp(s, "true"));
}

struct key {
	char bytes[16];
	bool set;
};

static struct key key_of(const struct request *q, const char *idempotency_key)
{
	struct key k = { .set = idempotency_key && *idempotency_key };
	XXH3_state_t s;
	XXH128_canonical_t c;

	if (!k.set)
		return k;
	XXH3_128bits_reset(&s);
	XXH3_128bits_update(&s, q->customer, strlen(q->customer) + 1);
	XXH3_128bits_update(&s, idempotency_key, strlen(idempotency_key));
	XXH128_canonicalFromHash(&c, XXH3_128bits_digest(&s));
	memcpy(k.bytes, c.digest, sizeof(k.bytes));
	return k;
}

static uint64_t fingerprint_of(const struct caller_head *h)
{
	XXH3_state_t s;

	XXH3_64bits_reset(&s);
	XXH3_64bits_update(&s, h->method.p, h->method.n);
	XXH3_64bits_update(&s, h->path.p, h->path.n);
	XXH3_64bits_update(&s, h->body.p, h->body.n);
	return XXH3_64bits_digest(&s);
}

/* Returns the headers that are forwarded to the endpoint: all but those that
 * apply to the caller's connection or that the entry sets itself. */
static GArray *forwarded_headers(const struct request *q,
				 const struct caller_head *h)
{
	static const char *const not_forwarded[] = {
		"Connection",	     "Host",   "Content-Length",
		"Transfer-Encoding", "Expect", "X-Request-Id"
	};
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct header));
	struct header id = { SS_LIT("X-Request-Id"), ss_str(q->id) };

	for (size_t i = 0; i < h->n_headers; i++) {
		bool skip = false;

		for (size_t k = 0; k < G_N_ELEMENTS(not_forwarded); k++)
			skip |= h->headers[i].name.n ==
					strlen(not_forwarded[k]) &&
				!g_ascii_strncasecmp(h->headers[i].name.p,
						     not_forwarded[k],
						     strlen(not_forwarded[k]));
		if (!skip)
			g_array_append_val(out, h->headers[i]);
	}
	g_array_append_val(out, id);
	return out;
}

static void submit(struct request *q, const struct caller_head *h,
		   struct ss_str path)
{
	struct entry_role *e = q->e;
	const struct config_headers *names = &e->d->config.entry.headers;
	const char *deadline = caller_header(h, names->deadline);
	const struct preset_class *k =
		preset_class_of(&e->preset, ss_str(q->class_name));
	struct key key = key_of(q, caller_header(h, "Idempotency-Key"));
	int64_t ms = k->deadline_ms;
	struct rcall *call;
	GArray *headers;
	struct router_call c = { .model = ss_str(q->model),
				 .customer = ss_str(q->customer),
				 .method = h->method,
				 .path = path,
				 .body = h->body,
				 .priority = (int)k->priority,
				 .fingerprint = fingerprint_of(h),
				 .data = q };

	if (deadline && !parse_deadline(deadline, &ms)) {
		entry_refuse(
			q, SS_ERROR_BAD_REQUEST,
			"the deadline must be a number of milliseconds from 1 "
			"to 86400000",
			OUTCOME_NOT_RUN, 0);
		return;
	}
	g_free(q->class_name);
	q->class_name = g_strdup(k->name);
	c.deadline_ms = q->start_ms + ms;
	c.once = !is_repeatable(e, h) || key.set ||
		 is_true(caller_header(h, names->once));
	if (key.set)
		c.key = (struct ss_str){ key.bytes, sizeof(key.bytes) };
	if (q->model[0] != '/')
		c.prefix = prefix_of(c.model, h->body);
	headers = forwarded_headers(q, h);
	c.headers = (struct header *)headers->data;
	c.n_headers = headers->len;
	call = router_submit(e->router, &c, q->start_ms);
	if (call)
		q->call = call;
	g_array_unref(headers);
}

static bool has_prefix(struct ss_str s, const char *prefix)
{
	size_t n = strlen(prefix);

	return s.n >= n && !memcmp(s.p, prefix, n);
}

static struct ss_str without_query(struct ss_str path)
{
	const char *mark = memchr(path.p, '?', path.n);

	return mark ? (struct ss_str){ path.p, (size_t)(mark - path.p) } : path;
}

/* Sends "/svc/<pool>/rest" to the pool's service as "/rest". */
static void service_request(struct request *q, const struct caller_head *h)
{
	struct ss_str rest = { h->path.p + 5, h->path.n - 5 };
	struct ss_str pool = without_query(rest);
	const char *slash = memchr(pool.p, '/', pool.n);

	if (slash)
		pool.n = (size_t)(slash - pool.p);
	rest.p += pool.n;
	rest.n -= pool.n;
	q->model = g_strdup_printf("/svc/%.*s", SS_FMT(pool));
	if (!name_is_valid(q->model) || pool.n == 0) {
		entry_refuse(q, SS_ERROR_UNKNOWN_POOL, "no such pool",
			     OUTCOME_NOT_RUN, 0);
		return;
	}
	submit(q, h, rest.n ? rest : SS_LIT("/"));
}

static void list_models(struct request *q)
{
	struct entry_role *e = q->e;
	struct msg_models m = { .sub = ++e->requests };

	q->listing = m.sub;
	if (!link_send(e->link, MSG_MODELS, &m)) {
		entry_refuse(q, SS_ERROR_UNAVAILABLE,
			     "no leader is known just now", OUTCOME_NOT_RUN,
			     ENTRY_RETRY_AFTER_MS);
		return;
	}
	g_queue_push_tail(&e->listings, q);
}

static void reply_text(struct request *q, int status, struct ss_str body)
{
	struct header h = { SS_LIT("Content-Type"),
			    SS_LIT("text/plain; version=0.0.4") };

	caller_reply(q->req, status, &h, 1, body);
	entry_request_free(q);
}

bool entry_ready(void *role)
{
	const struct entry_role *e = role;

	return !e->draining && (link_is_up(e->link) || e->config);
}

static bool status_request(struct request *q, struct ss_str path)
{
	struct entry_role *e = q->e;
	bool ready = entry_ready(e);
	GString *s;

	if (ss_str_eq(path, SS_LIT("/healthz"))) {
		reply_text(q, 200, SS_LIT("ok\n"));
	} else if (ss_str_eq(path, SS_LIT("/readyz"))) {
		reply_text(q, ready ? 200 : 503,
			   ready ? SS_LIT("ready\n") : SS_LIT("not ready\n"));
	} else if (ss_str_eq(path, SS_LIT("/metrics"))) {
		s = g_string_new(NULL);
		daemon_metrics_text(e->d, s);
		reply_text(q, 200, ss_str_gs(s));
		g_string_free(s, TRUE);
	} else {
		return false;
	}
	return true;
}

static void route_request(struct request *q, const struct caller_head *h)
{
	struct ss_str path = without_query(h->path);
	bool post = ss_str_eq(h->method, SS_LIT("POST"));

	if (has_prefix(path, "/svc/")) {
		service_request(q, h);
	} else if (ss_str_eq(path, SS_LIT("/v1/chat/completions")) ||
		   ss_str_eq(path, SS_LIT("/v1/completions"))) {
		if (!post)
			entry_refuse(q, SS_ERROR_BAD_REQUEST, "use POST",
				     OUTCOME_NOT_RUN, 0);
		else if (read_model(q, h))
			submit(q, h, h->path);
	} else if (ss_str_eq(path, SS_LIT("/v1/models"))) {
		list_models(q);
	} else {
		entry_refuse(q, SS_ERROR_NOT_FOUND, "no such path",
			     OUTCOME_NOT_RUN, 0);
	}
}

static void on_request(void *arg, struct caller_req *r,
		       const struct caller_head *h)
{
	struct entry_role *e = arg;
	const struct config_headers *names = &e->d->config.entry.headers;
	const char *id = caller_header(h, "X-Request-Id");
	struct request *q = g_new0(struct request, 1);

	q->e = e;
	q->req = r;
	q->start_ms = entry_now(e);
	q->id = id && name_is_valid(id) ?
			g_strdup(id) :
			g_strdup_printf("%s-%08x-%" PRIu64, e->d->config.name,
					(uint32_t)e->d->hello.incarnation,
					++e->requests);
	q->customer =
		dup_or_default(caller_header(h, names->customer), "default");
	q->class_name = dup_or_default(caller_header(h, names->class_name),
				       e->preset.default_class);
	caller_set_data(r, q);
	if (status_request(q, without_query(h->path)))
		return;
	(*e->n_requests)++;
	if (!name_is_valid(q->customer))
		entry_refuse(q, SS_ERROR_BAD_REQUEST,
			     "the customer's name is unusable", OUTCOME_NOT_RUN,
			     0);
	else
		route_request(q, h);
}

/* Cancels the request of a caller that has disconnected. */
static void on_disconnected(void *arg, struct caller_req *r)
{
	struct entry_role *e = arg;
	struct request *q = caller_data(r);

	if (!q)
		return;
	(*e->n_gone)++;
	if (q->call)
		router_cancel(e->router, q->call);
	g_queue_remove(&e->listings, q);
	entry_request_free(q);
}

static void on_refused(void *arg, enum ss_error code)
{
	struct entry_role *e = arg;

	(void)code;
	(*e->n_bad)++;
}

const struct caller_ops entry_caller_ops = { on_request, on_disconnected,
					     on_refused };
