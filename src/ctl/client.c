/* HTTP client of the operator API. */
#include "client.h"

#include <event2/event.h>
#include <json-c/json.h>

/*
 * Timeout of one attempt, after which the next VM is tried. A change takes a
 * round trip and a sync, which is slow on a slow disk.
 */
#define ATTEMPT_TIMEOUT_MS 3000
/* Delay between attempts, a third of the time that an election takes. */
#define RETRY_DELAY_MS 100

struct response {
	struct event_base *base;
	int status;
	json_object *body;
};

static void on_response(void *arg, int status, struct ss_str body,
			const GError *error)
{
	struct response *r = arg;
	char *text = ss_str_dup(body);

	(void)error;
	r->status = status;
	r->body = status ? json_tokener_parse(text) : NULL;
	g_free(text);
	event_base_loopbreak(r->base);
}

/* A fleet's control VM redirects to the leader, any other refuses. */
static bool not_leader(const struct response *r)
{
	json_object *e, *type;

	if (r->status == 307)
		return true;
	return r->status == 503 && r->body &&
	       json_object_object_get_ex(r->body, "error", &e) &&
	       json_object_object_get_ex(e, "type", &type) &&
	       !strcmp(json_object_get_string(type), "not_leader");
}

static void send_request(struct client *c, const char *addr, const char *method,
			 const char *path, const char *body, struct response *r)
{
	struct http_request_options options = { .base = r->base,
						.addr = addr,
						.method = method,
						.path = path,
						.token = c->token,
						.body = ss_str(body),
						.timeout_ms =
							ATTEMPT_TIMEOUT_MS,
						.done = on_response,
						.arg = r };

	r->status = 0;
	r->body = NULL;
	http_request(&options);
	event_base_dispatch(r->base);
	/* Process pending events, so that the connection is freed. */
	event_base_loop(r->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

static void add_change_fields(struct client *c, json_object *body)
{
	json_object_object_add(body, "change_id",
			       json_object_new_string(c->change_id));
	json_object_object_add(body, "author",
			       json_object_new_string(c->author));
}

json_object *client_request(struct client *c, const char *method,
			    const char *path, json_object *body, int *status)
{
	struct response r = { .base = event_base_new() };
	struct ss_clock clock;
	int64_t deadline_ms;
	const char *text = NULL;

	ss_clock_init(&clock);
	deadline_ms = ss_clock_now(&clock) + c->timeout_ms;
	if (body) {
		add_change_fields(c, body);
		text = json_object_to_json_string(body);
	}
	for (int attempt = 0; c->addrs[0]; attempt++) {
		const char *addr = c->addrs[attempt % g_strv_length(c->addrs)];

		send_request(c, addr, method, path, text ? text : "", &r);
		if (r.status && !not_leader(&r))
			break;
		if (ss_clock_now(&clock) >= deadline_ms)
			break;
		json_object_put(r.body);
		r.body = NULL;
		g_usleep(RETRY_DELAY_MS * 1000);
	}
	*status = r.status;
	event_base_free(r.base);
	return r.body;
}
