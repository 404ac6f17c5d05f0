/*
 * Startup hold: requests that arrive before this process knows the routing and
 * the endpoints are held instead of refused; so are those that arrive while its
 * routing may be out of date.
 */
#include "gate_int.h"

/*
 * A process that has just started has no routing and knows no endpoints until
 * it has found a leader, which takes half a second after a power loss. In that
 * time the process can't know whether a request can be served. A caller that
 * was refused at once would use up its only retry before any entry could serve
 * it, and the new leader, which knows no demand yet, would load models one at a
 * time as callers return. So requests are held for as long as it takes to elect
 * a leader (0.5 s) and to find it (1 s), counted from the start of the process.
 * After that the process assumes that there is no leader, and refuses requests
 * at once.
 */
#define STARTUP_HOLD_MS 1500
/* Requests held at a time: a tenth of the descriptors of a small VM. */
#define STARTUP_HOLD_MAX 400

struct held_request {
	struct caller_call *call;
	struct ss_str body;
	int64_t received_ms;
};

GArray *startup_hold_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct held_request));
}

bool startup_hold_until(struct gate *g, struct caller_call *c,
			struct ss_str body, int64_t received_ms,
			int64_t until_ms)
{
	struct held_request e = { c, body, received_ms };

	if (g->stop_end_ms || gate_now(g) >= until_ms ||
	    g->startup_hold->len >= STARTUP_HOLD_MAX)
		return false;
	g_array_append_val(g->startup_hold, e);
	return true;
}

bool startup_hold_request(struct gate *g, struct caller_call *c,
			  struct ss_str body, int64_t received_ms)
{
	return startup_hold_until(g, c, body, received_ms,
				  g->since_ms + STARTUP_HOLD_MS);
}

void startup_hold_drop(struct gate *g, const struct caller_call *c)
{
	for (guint i = 0; i < g->startup_hold->len; i++)
		if (g_array_index(g->startup_hold, struct held_request, i)
			    .call == c) {
			g_array_remove_index(g->startup_hold, i);
			return;
		}
}

void startup_hold_tick(struct gate *g)
{
	GArray *held = g->startup_hold;

	if (!held->len)
		return;
	g->startup_hold = startup_hold_new();
	for (guint i = 0; i < held->len; i++) {
		const struct held_request *e =
			&g_array_index(held, struct held_request, i);

		forward_begin(g, e->call, e->body, e->received_ms);
	}
	g_array_unref(held);
}
