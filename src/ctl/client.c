/* Requests to the operators' interface. */
#include "client.h"

#include <event2/event.h>
#include <json-c/json.h>

/* One VM is waited for so long, then the next is asked; in ms. A change takes a
 * round trip and a sync, also to a slow disk. */
#define TRY_MS 3000
/* Before the VMs are asked again, in ms: a third of an election. */
#define PAUSE_MS 100

struct answer {
	struct event_base *base;
	int status;
	json_object *body;
};

static void on_answer(void *arg, int status, struct ss_str body,
		      const GError *error)
{
	struct answer *a = arg;
	char *text = ss_str_dup(body);

	(void)error;
	a->status = status;
	a->body = status ? json_tokener_parse(text) : NULL;
	g_free(text);
	event_base_loopbreak(a->base);
}

static bool not_leader(const struct answer *a)
{
	json_object *e, *type;

	return a->status == 503 && a->body &&
	       json_object_object_get_ex(a->body, "error", &e) &&
	       json_object_object_get_ex(e, "type", &type) &&
	       !strcmp(json_object_get_string(type), "not_leader");
}

static void ask_one(struct client *c, const char *addr, const char *method,
		    const char *path, const char *body, struct answer *a)
{
	struct http_get_options get = { .base = a->base,
					.addr = addr,
					.method = method,
					.path = path,
					.token = c->token,
					.body = ss_str(body),
					.timeout_ms = TRY_MS,
					.done = on_answer,
					.arg = a };

	a->status = 0;
	a->body = NULL;
	http_get(&get);
	event_base_dispatch(a->base);
	/* Lets the finished connection be freed. */
	event_base_loop(a->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

static void add_ids(struct client *c, json_object *body)
{
	json_object_object_add(body, "change_id",
			       json_object_new_string(c->change_id));
	json_object_object_add(body, "author",
			       json_object_new_string(c->author));
}

json_object *client_ask(struct client *c, const char *method, const char *path,
			json_object *body, int *status)
{
	struct answer a = { .base = event_base_new() };
	struct ss_clock clock;
	int64_t end;
	const char *text = NULL;

	ss_clock_init(&clock);
	end = ss_clock_now(&clock) + c->timeout_ms;
	if (body) {
		add_ids(c, body);
		text = json_object_to_json_string(body);
	}
	for (int turn = 0; c->addrs[0]; turn++) {
		const char *addr = c->addrs[turn % g_strv_length(c->addrs)];

		ask_one(c, addr, method, path, text ? text : "", &a);
		if (a.status && !not_leader(&a))
			break;
		if (ss_clock_now(&clock) >= end)
			break;
		json_object_put(a.body);
		a.body = NULL;
		g_usleep(PAUSE_MS * 1000);
	}
	*status = a.status;
	event_base_free(a.base);
	return a.body;
}
