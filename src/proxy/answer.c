/* An endpoint's answer on its way to the caller. */
#include "gate_int.h"

#include "../base/log.h"

/* A plain answer up to this size is held until it is whole, so that one
 * that breaks off can still be asked for again; in bytes. */
#define HOLD_MAX (256 << 10)

static void note(const struct forward *f, bool failed)
{
	struct gate_ep *ep = gate_ep_of(f);

	if (!ep)
		return;
	gate_ep_note(f->g, ep, failed);
	/* The endpoint has answered so itself. What never reached it, or found
	 * no answer, may be this VM's own trouble and is told to nobody. */
	if (failed)
		ep->failed++;
	else
		ep->answered++;
}

/* What came can't be the answer to this request. */
static void spoiled(struct forward *f, const char *why)
{
	note(f, true);
	if (f->is_events)
		events_resume(&f->events);
	forward_again(f, false, why);
}

static bool is_event_stream(const struct http1_head *h)
{
	static const char type[] = "text/event-stream";
	struct ss_str v = http1_value(h, "Content-Type");

	return v.n >= sizeof(type) - 1 &&
	       !g_ascii_strncasecmp(v.p, type, sizeof(type) - 1);
}

static void keep_headers(struct forward *f, const struct http1_head *h)
{
	if (!f->headers)
		f->headers = g_string_sized_new(256);
	g_string_truncate(f->headers, 0);
	for (size_t i = 0; i < h->n_fields; i++) {
		const struct http1_field *x = &h->fields[i];

		if (!f->g->o.platform->answer_header(x->name))
			continue;
		g_string_append_len(f->headers, x->name.p, (gssize)x->name.n);
		g_string_append(f->headers, ": ");
		g_string_append_len(f->headers, x->value.p, (gssize)x->value.n);
		g_string_append(f->headers, "\r\n");
	}
}

/* The endpoint vouches that it didn't run it. */
static void not_run(struct forward *f, const struct http1_head *h)
{
	struct gate_ep *ep = gate_ep_of(f);
	const char *why = "the endpoint is full";

	if (h->status == 421) {
		why = "the endpoint doesn't hold it";
		if (ep && *f->model)
			gate_ep_lacks(ep, f->model, f->adapter);
		if (ep && !*f->model)
			gate_ep_note(f->g, ep, true);
	} else if (ep) {
		/* It is fuller than its last report said. */
		ep->reported = MAX(ep->reported, ep->slots);
		ep->reported_ms = gate_now(f->g);
	}
	forward_again(f, true, why);
}

/* A status that promises "not run" must not be passed on unfounded. */
static bool false_promise(const struct forward *f, int status)
{
	return f->route->kind != ROUTE_SAFE &&
	       (status == 503 || status == 429 || status == 408);
}

static bool ask_again(const struct forward *f, int status)
{
	return status >= 500 && f->route->kind == ROUTE_SAFE &&
	       f->tried->len < (guint)f->route->attempts;
}

/* An answer to another request, or one that isn't the endpoint's own. */
static const char *why_spoiled(const struct forward *f,
			       const struct http1_head *h,
			       const struct platform_answer *a)
{
	if (a->id.p && !ss_str_eq(a->id, ss_str(f->id)))
		return "an answer to another request came";
	if (a->encoded)
		return "the answer is encoded";
	if (h->status / 100 == 2 && !a->authentic)
		return "the answer isn't signed";
	return NULL;
}

static void take_answer(struct forward *f, const struct http1_head *h)
{
	f->state = FORWARD_ANSWERS;
	if (f->started)
		return;
	f->status = h->status;
	keep_headers(f, h);
	f->length = h->length;
	f->is_events = is_event_stream(h) && h->status == 200;
	if (f->is_events && !f->events.part)
		events_init(&f->events, f->events.last_id);
	if (!f->held)
		f->held = g_string_new(NULL);
	g_string_truncate(f->held, 0);
}

static void on_head(void *arg, const struct http1_head *h)
{
	struct forward *f = arg;
	struct gate_ep *ep = gate_ep_of(f);
	struct platform_answer a;
	const char *why;

	f->g->o.platform->read_answer(h, &a);
	if (a.idle_ms)
		upstream_keep_for(f->up, a.idle_ms);
	if (ep) {
		gate_ep_load(f->g, ep, &a);
		gate_words_heard(f, ep, &a);
	}
	why = why_spoiled(f, h, &a);
	if (why)
		spoiled(f, why);
	else if (a.not_run)
		not_run(f, h);
	else if (f->started && h->status != 200)
		spoiled(f, "it can't be resumed there");
	else if (ask_again(f, h->status))
		spoiled(f, "the endpoint failed");
	else if (false_promise(f, h->status))
		spoiled(f, "the endpoint failed, and it may have run");
	else
		take_answer(f, h);
}

static void start(struct forward *f, int64_t length)
{
	f->started = true;
	go_on_begins(f);
	f->first_ms = gate_now(f->g) - f->start_ms;
	caller_call_start(f->caller, f->status, f->headers, length);
}

static void slow_down(struct forward *f)
{
	if (f->paused || !caller_call_is_full(f->caller))
		return;
	f->paused = f->slowed = true;
	upstream_pause(f->up, true);
}

void forward_drained(struct forward *f)
{
	if (!f->paused)
		return;
	f->paused = false;
	if (f->up)
		upstream_pause(f->up, false);
}

static void pass_events(struct forward *f, struct ss_str piece)
{
	/* Of a stream nothing else is held. */
	GString *whole = f->held;

	g_string_truncate(whole, 0);
	if (!events_add(&f->events, piece, whole)) {
		spoiled(f, "the stream has a gap");
		return;
	}
	if (whole->len == 0)
		return;
	if (!f->started)
		start(f, -1);
	times_note_events(f);
	caller_call_write(f->caller, ss_str_gs(whole));
}

static void on_body(void *arg, struct ss_str piece)
{
	struct forward *f = arg;

	/* The answer was dropped while its head was read. */
	if (f->state != FORWARD_ANSWERS)
		return;
	if (f->is_events) {
		pass_events(f, piece);
		return;
	}
	if (!f->started && f->held->len + piece.n <= HOLD_MAX) {
		g_string_append_len(f->held, piece.p, (gssize)piece.n);
		return;
	}
	if (!f->started) {
		start(f, f->length);
		caller_call_write(f->caller, ss_str_gs(f->held));
	}
	caller_call_write(f->caller, piece);
}

/* Once for all that was read together, so that it is sent together. */
static void on_flush(void *arg)
{
	struct forward *f = arg;

	if (!f->started)
		return;
	caller_call_flush(f->caller);
	slow_down(f);
}

static void on_done(void *arg)
{
	struct forward *f = arg;

	f->up = NULL;
	if (f->is_events && !events_at_end(&f->events)) {
		spoiled(f, "the stream ended inside an event");
		return;
	}
	note(f, f->status >= 500);
	times_note_end(f);
	quarantine_answered(f);
	if (!f->started && f->is_events) {
		start(f, -1);
	} else if (!f->started) {
		start(f, (int64_t)f->held->len);
		caller_call_write(f->caller, ss_str_gs(f->held));
	}
	forward_end(f, true, "");
}

static void on_failed(void *arg, enum upstream_end end, bool closed)
{
	struct forward *f = arg;

	f->up = NULL;
	if (end == UPSTREAM_NOT_SENT) {
		forward_not_sent(f);
		return;
	}
	times_note_left(f);
	if (closed)
		endings_note(f);
	spoiled(f, upstream_end_name(end));
}

const struct upstream_ops forward_upstream_ops = { on_head, on_body, on_flush,
						   on_done, on_failed };
