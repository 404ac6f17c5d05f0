/* HTTP API of the platform's operators for the routing. */
#include "routing_http.h"

#include "fleet_http.h"

#include "../base/log.h"
#include "../core/routing_update.h"

/* Largest body, in bytes: 30,000 adapters and thousands of routes. */
#define BODY_MAX (15u << 20)
/* Time limit, in ms, for a request to wait until the routing table has caught
 * up with the log; then the request is refused. */
#define TABLE_WAIT_MS 1000

struct routing_http {
	struct routing_http_options o;
	struct http_server *server;
	GArray *held;	    /* struct held_request */
	GQueue puts;	    /* struct pending, parsed one at a time */
	struct event *step; /* parses in the event loop */
};

/* A request that waits for a leader to be known. */
struct held_request {
	struct evhttp_request *req;
	int64_t since_ms;
};

/* A request that is being parsed, or waits for the log. */
struct pending {
	struct routing_http *h;
	struct evhttp_request *req;
	struct routing_update *update; /* NULL: not compared yet */
	uint64_t version;	       /* of the new routing */
	uint64_t base_version; /* current version when it was proposed */
	int64_t received_ms;   /* time of arrival */
	int64_t parse_ms;      /* from arrival until it was proposed */
};

static void refuse(struct evhttp_request *req, enum ss_error code,
		   const char *text)
{
	GError *e = g_error_new(SS_ERROR, (gint)code, "%s", text);

	http_reply_error(req, e);
	g_error_free(e);
}

static struct pending *pending_new(struct routing_http *h,
				   struct evhttp_request *req)
{
	struct pending *p = g_new0(struct pending, 1);

	p->h = h;
	p->req = req;
	return p;
}

static void pending_free(struct pending *p)
{
	routing_update_free(p->update);
	g_free(p);
}

static const struct document *current_routing(const struct routing_http *h)
{
	return ss_state_routing(h->o.ops->state(h->o.arg));
}

static void schedule_step(struct routing_http *h)
{
	static const struct timeval no_delay = { 0, 0 };

	event_add(h->step, &no_delay);
}

static void on_changed(void *arg, const struct command_result *r,
		       const GError *error)
{
	struct pending *p = arg;
	struct routing_http *h = p->h;

	/* Not accepted yet, but it may be later: the outcome is unknown. */
	if (error) {
		log_info("routing_unclear", "version=%" PRIu64 " why=\"%s\"",
			 p->version, error->message);
		refuse(p->req, SS_ERROR_UNAVAILABLE, error->message);
	} else if (r->code == SS_ERROR_CONFLICT &&
		   r->version != p->base_version) {
		/* Another change came first: p is compared with that. */
		g_queue_push_tail(&h->puts, p);
		schedule_step(h);
		return;
	} else if (r->code) {
		refuse(p->req, (enum ss_error)r->code, r->text);
	} else {
		log_info("routing_accepted",
			 "version=%" PRIu64 " in_force=%" PRIu64
			 " read_ms=%" PRId64 " ms=%" PRId64,
			 p->version, r->version, p->parse_ms,
			 ss_clock_now(h->o.clock) - p->received_ms);
		http_reply(p->req, 200, "application/json", SS_LIT("{}"));
	}
	pending_free(p);
}

static void refuse_put(struct pending *p, GError *error)
{
	/* The table is behind the log, which isn't an error of the request. */
	if (error->code == SS_ERROR_FRAME)
		error->code = SS_ERROR_UNAVAILABLE;
	log_info("routing_refused", "why=\"%s\"", error->message);
	http_reply_error(p->req, error);
	g_error_free(error);
	pending_free(p);
}

static void propose(struct pending *p)
{
	struct routing_http *h = p->h;
	const struct document_change *change = routing_update_change(p->update);
	struct routing_rec rec = { .version = change->version };
	struct command c = { .kind = COMMAND_ROUTING_PUT, .routing = &rec };
	GString *packed = document_pack(change);

	rec.change = ss_str_gs(packed);
	p->version = rec.version;
	p->base_version = document_version(current_routing(h));
	p->parse_ms = ss_clock_now(h->o.clock) - p->received_ms;
	routing_update_free(p->update);
	p->update = NULL;
	h->o.ops->change(h->o.arg, &c,
			 (struct operator_callback){ on_changed, p });
	g_string_free(packed, TRUE);
}

/* Compares with the current routing, which may have changed since parsing
 * began. */
static bool compare(struct pending *p, GError **error)
{
	struct routing_http *h = p->h;
	const struct document *d = current_routing(h);
	struct document_patch *patch;

	if (p->update &&
	    routing_update_change(p->update)->base == document_version(d))
		return true;
	routing_update_free(p->update);
	p->update = NULL;
	patch = document_compare(d, http_body(p->req),
				 h->o.platform->routing->lists, error);
	if (patch)
		p->update = routing_update_new(h->o.routing,
					       h->o.platform->routing, patch);
	return patch != NULL;
}

/* Returns true if the table is behind the log and p may still wait for it. The
 * table catches up over several iterations of the event loop. */
static bool is_behind(const struct pending *p)
{
	const struct routing_http *h = p->h;

	return h->o.routing->version != document_version(current_routing(h)) &&
	       ss_clock_now(h->o.clock) - p->received_ms < TABLE_WAIT_MS;
}

/* Parses a part of the first queued request in each iteration of the event
 * loop. */
static void on_step(evutil_socket_t fd, short what, void *arg)
{
	struct routing_http *h = arg;
	struct pending *p = g_queue_peek_head(&h->puts);
	enum routing_step step = ROUTING_INVALID;
	GError *error = NULL;

	(void)fd;
	(void)what;
	if (p && is_behind(p))
		step = ROUTING_MORE;
	else if (p && compare(p, &error))
		step = routing_update_step(p->update, &error);
	if (p && step != ROUTING_MORE) {
		g_queue_pop_head(&h->puts);
		if (step == ROUTING_VALID)
			propose(p);
		else
			refuse_put(p, error);
	}
	if (h->puts.length)
		schedule_step(h);
}

static void enqueue_put(struct routing_http *h, struct evhttp_request *req)
{
	struct pending *p = pending_new(h, req);

	p->received_ms = ss_clock_now(h->o.clock);
	g_queue_push_tail(&h->puts, p);
	schedule_step(h);
}

static void on_confirmed(void *arg, bool ok)
{
	struct pending *p = arg;
	const struct document *d = current_routing(p->h);
	GString *text;

	if (!ok)
		refuse(p->req, SS_ERROR_UNAVAILABLE,
		       "no majority confirms that this is the newest");
	else if (!document_version(d))
		refuse(p->req, SS_ERROR_UNAVAILABLE, "no routing yet");
	else {
		text = document_text(d);
		http_reply(p->req, 200, "application/json", ss_str_gs(text));
		g_string_free(text, TRUE);
	}
	pending_free(p);
}

static const char *path_of(struct evhttp_request *req)
{
	return evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
}

/* Redirects to the leader; false if none is known. */
static bool redirect(struct routing_http *h, struct evhttp_request *req)
{
	char *leader = h->o.ops->leader(h->o.arg);
	const char *path = path_of(req);
	char *url;

	if (!leader)
		return false;
	log_info("routing_elsewhere", "path=%s leader=%s", path, leader);
	url = g_strdup_printf("http://%s%s", leader, path);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Location",
			  url);
	http_reply(req, 307, "application/json", SS_LIT("{}"));
	g_free(url);
	g_free(leader);
	return true;
}

static void refuse_no_leader(struct evhttp_request *req)
{
	log_info("routing_elsewhere", "path=%s leader=-", path_of(req));
	refuse(req, SS_ERROR_UNAVAILABLE, "no leader is known");
}

/* Redirects to the leader, or holds the request until one is known. */
static void redirect_or_hold(struct routing_http *h, struct evhttp_request *req)
{
	struct held_request held = { .req = req };

	if (redirect(h, req))
		return;
	if (!h->o.hold_ms) {
		refuse_no_leader(req);
		return;
	}
	held.since_ms = ss_clock_now(h->o.clock);
	g_array_append_val(h->held, held);
}

void routing_http_check_held(struct routing_http *h)
{
	for (guint i = h->held->len; i-- > 0;) {
		struct held_request *held =
			&g_array_index(h->held, struct held_request, i);
		int64_t age = ss_clock_now(h->o.clock) - held->since_ms;
		bool done = redirect(h, held->req);

		if (!done && age < h->o.hold_ms)
			continue;
		if (!done)
			refuse_no_leader(held->req);
		g_array_remove_index(h->held, i);
	}
}

static void handle(void *arg, struct evhttp_request *req)
{
	struct routing_http *h = arg;
	const char *path = path_of(req);
	enum evhttp_cmd_type method = evhttp_request_get_command(req);
	bool is_put = !strcmp(path, h->o.platform->path_put) &&
		      method == EVHTTP_REQ_POST;
	bool is_get = !strcmp(path, h->o.platform->path_get) &&
		      method == EVHTTP_REQ_GET;

	if (h->o.ops->serve_public(h->o.arg, req))
		return;
	if (!is_put && !is_get && !fleet_http_knows(req))
		refuse(req, SS_ERROR_NOT_FOUND, "no such call");
	else if (!h->o.ops->leads(h->o.arg))
		redirect_or_hold(h, req);
	else if (fleet_http_knows(req))
		fleet_http_answer(h->o.ops, h->o.arg, req);
	else if (is_put)
		enqueue_put(h, req);
	else
		h->o.ops->confirm(h->o.arg, on_confirmed, pending_new(h, req));
}

struct routing_http *routing_http_new(const struct routing_http_options *o,
				      GError **error)
{
	struct routing_http *h = g_new0(struct routing_http, 1);
	struct http_server_options so = { .base = o->base,
					  .addr = o->addr,
					  .max_body = BODY_MAX,
					  .handle = handle,
					  .arg = h };

	h->o = *o;
	h->held = g_array_new(FALSE, FALSE, sizeof(struct held_request));
	g_queue_init(&h->puts);
	h->step = evtimer_new(o->base, on_step, h);
	h->server = http_server_new(&so, error);
	if (h->server)
		return h;
	routing_http_free(h);
	return NULL;
}

char *routing_http_operator_addr(const char *addr, const char *own_listen)
{
	const char *port = strrchr(own_listen, ':');
	const char *colon = addr ? strrchr(addr, ':') : NULL;

	if (!colon || !port)
		return NULL;
	return g_strdup_printf("%.*s%s", (int)(colon - addr), addr, port);
}

void routing_http_free(struct routing_http *h)
{
	if (!h)
		return;
	event_free(h->step);
	g_queue_clear_full(&h->puts, (GDestroyNotify)pending_free);
	http_server_free(h->server);
	g_array_unref(h->held);
	g_free(h);
}
