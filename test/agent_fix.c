/* Fixture: an agent's HTTP clients. */
#include "agent_fix.h"

#include "../src/core/msg.h"
#include "../src/net/http.h"
#include "../src/net/http_client.h"
#include "../src/net/relay.h"

static void on_piece(void *arg, struct msg_reply *m)
{
	struct agent_result *o = arg;

	if (m->status)
		o->status = (int)m->status;
	g_string_append_len(o->body, m->data.p, (gssize)m->data.n);
	o->done = m->end;
	o->whole = m->end && m->code == 0;
}

static void on_answer(void *arg, int status, struct ss_str body,
		      const GError *error)
{
	struct agent_result *o = arg;

	(void)error;
	o->done = true;
	o->whole = status != 0;
	o->status = status;
	g_string_append_len(o->body, body.p, (gssize)body.n);
}

static void on_response(void *arg, const struct http_client_response *a)
{
	on_answer(arg, a->status, a->body, NULL);
}

void agent_clients_open(struct agent_clients *t, struct fix *f)
{
	fix_open(f, NULL, "");
	*t = (struct agent_clients){ f, relay_new(f->base, f->eps[0].addr),
				     http_client_new(f->base, f->eps[0].addr) };
}

void agent_clients_close(struct agent_clients *t)
{
	relay_free(t->relay);
	http_client_free(t->client);
	fix_close(t->f);
}

static void ask_relay(struct agent_clients *t, const char *method,
		      struct agent_result *o)
{
	struct msg_call m = { .method = ss_str(method), .path = SS_LIT("/") };

	relay_start(t->relay, &m, on_piece, o);
}

static void ask_client(struct agent_clients *t, const char *method,
		       struct agent_result *o)
{
	struct http_client_call c = { .method = method,
				      .path = "/",
				      .timeout_ms = 2000,
				      .done = on_response,
				      .arg = o };

	http_client_send(t->client, &c);
}

static void ask_request(struct agent_clients *t, const char *method,
			struct agent_result *o)
{
	struct http_request_options r = { .base = t->f->base,
					  .addr = t->f->eps[0].addr,
					  .method = method,
					  .path = "/",
					  .timeout_ms = 2000,
					  .done = on_answer,
					  .arg = o };

	http_request(&r);
}

const struct agent_way agent_ways[N_AGENT_WAYS] = {
	[AGENT_WAY_RELAY] = { "relay", ask_relay, true },
	[AGENT_WAY_CLIENT] = { "client", ask_client, false },
	[AGENT_WAY_REQUEST] = { "request", ask_request, false },
};

static void run_once(struct agent_clients *t)
{
	struct timeval ms = { 0, 1000 };

	event_base_loopexit(t->f->base, &ms);
	event_base_loop(t->f->base, EVLOOP_ONCE);
}

/* The bytes are sent once the request has arrived. */
static struct agent_result ask(struct agent_clients *t, int way,
			       const char *method, struct reply reply,
			       struct ss_str bytes)
{
	struct agent_result o = { .body = g_string_new(NULL) };
	struct endpoint *e = &t->f->eps[0];
	int requests = e->requests;

	e->replies[0] = reply;
	e->n_replies = 1;
	agent_ways[way].ask(t, method, &o);
	for (int i = 0; i < WAIT_ROUNDS && !o.done; i++) {
		run_once(t);
		if (e->requests > requests && bytes.n > 0) {
			bufferevent_write(e->newest, bytes.p, bytes.n);
			bytes.n = 0;
		}
	}
	return o;
}

struct agent_result agent_ask(struct agent_clients *t, int way,
			      const char *method, struct reply reply)
{
	return ask(t, way, method, reply, (struct ss_str){ 0 });
}

struct agent_result agent_ask_bytes(struct agent_clients *t, int way,
				    struct ss_str answer)
{
	return ask(t, way, "GET", (struct reply){ .text = NULL }, answer);
}
