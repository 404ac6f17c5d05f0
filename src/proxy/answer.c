/* Relays an endpoint's answer to the caller. */
#include "gate_int.h"

#include "../base/log.h"

/* A plain answer up to this size is buffered until it is complete, so that the
 * request can still be retried if the answer breaks off. */
#define BUFFER_MAX_BYTES (256 << 10)

/* Larger plain answers are cut: more likely the endpoint sends without end. */
#define ANSWER_MAX_BYTES (64 << 20)

/* Counts the result of a send for its endpoint. */
static void note_result(const struct forward *f, bool failed)
{
	struct gate_ep *ep = gate_ep_of(f);

	if (!ep)
		return;
	gate_ep_note_result(f->g, ep, failed);
	/* The counts are reported to the leader. Requests that never reached
	 * the endpoint, or whose callers left without an answer, aren't among
	 * them: this VM may be at fault. */
	if (failed)
		ep->failed++;
	else
		ep->answered++;
}

/* Ends a send whose answer is corrupt, incomplete or a failure, and retries the
 * request if possible. f may be freed. */
static void fail_send(struct forward *f, const char *why)
{
	note_result(f, true);
	if (f->is_events)
		events_drop_partial(&f->events);
	forward_retry(f, false, why);
}

static bool is_event_stream(const struct http1_head *h)
{
	static const char type[] = "text/event-stream";
	struct ss_str v = http1_value(h, "Content-Type");

	return v.n >= sizeof(type) - 1 &&
	       !g_ascii_strncasecmp(v.p, type, sizeof(type) - 1);
}

static void copy_headers(struct forward *f, const struct http1_head *h)
{
	if (!f->headers)
		f->headers = g_string_sized_new(256);
	g_string_truncate(f->headers, 0);
	for (size_t i = 0; i < h->n_fields; i++) {
		const struct http1_field *x = &h->fields[i];

		if (!f->g->o.platform->forwards_header(x->name))
			continue;
		g_string_append_len(f->headers, x->name.p, (gssize)x->name.n);
		g_string_append(f->headers, ": ");
		g_string_append_len(f->headers, x->value.p, (gssize)x->value.n);
		g_string_append(f->headers, "\r\n");
	}
}

/* Handles an answer which states that the endpoint didn't run the request. */
static void handle_not_run(struct forward *f, const struct http1_head *h)
{
	struct gate_ep *ep = gate_ep_of(f);
	const char *why = "the endpoint is full";

	if (h->status == 421) {
		why = "the endpoint doesn't hold it";
		if (ep && *f->model)
			gate_ep_remove_model(ep, f->model, f->adapter);
		if (ep && !*f->model)
			gate_ep_note_result(f->g, ep, true);
	} else if (ep) {
		/* The endpoint has more load than it last reported. */
		ep->reported_calls = MAX(ep->reported_calls, ep->slots);
		ep->reported_ms = gate_now(f->g);
	}
	forward_retry(f, true, why);
}

/* Callers take these statuses to mean that the request didn't run. Such an
 * answer isn't passed on unless the endpoint states that it didn't. */
static bool wrongly_implies_not_run(const struct forward *f, int status)
{
	return f->route->kind != ROUTE_SAFE &&
	       (status == 503 || status == 429 || status == 408);
}

static bool should_retry(const struct forward *f, int status)
{
	return status >= 500 && f->route->kind == ROUTE_SAFE &&
	       f->tried->len < (guint)f->route->attempts;
}

/* Returns why the answer is corrupt: it belongs to another request, or isn't
 * the endpoint's own, as it is encoded or unsigned; NULL: it isn't corrupt. */
static const char *why_corrupt(const struct forward *f,
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

static void accept_answer(struct forward *f, const struct http1_head *h)
{
	f->state = FORWARD_ANSWERING;
	f->answer_bytes = 0;
	if (f->started)
		return;
	f->status = h->status;
	copy_headers(f, h);
	f->length = h->length;
	f->is_events = is_event_stream(h) && h->status == 200;
	if (f->is_events && !f->events.partial)
		events_init(&f->events, f->events.last_id);
	if (!f->withheld)
		f->withheld = g_string_new(NULL);
	g_string_truncate(f->withheld, 0);
}

static void on_head(void *arg, const struct http1_head *h)
{
	struct forward *f = arg;
	struct gate_ep *ep = gate_ep_of(f);
	struct platform_answer a;
	const char *why;

	f->g->o.platform->read_answer(h, &a);
	if (a.keep_alive_ms)
		upstream_set_keep_alive(f->up, a.keep_alive_ms);
	if (ep) {
		gate_ep_update_load(f->g, ep, &a);
		gate_signals_received(f, ep, &a);
	}
	why = why_corrupt(f, h, &a);
	if (why)
		fail_send(f, why);
	else if (a.not_run)
		handle_not_run(f, h);
	else if (f->started && (h->status != 200 || !is_event_stream(h)))
		fail_send(f, "it can't be resumed there");
	else if (should_retry(f, h->status))
		fail_send(f, "the endpoint failed");
	else if (wrongly_implies_not_run(f, h->status))
		fail_send(f, "the endpoint failed, and it may have run");
	else
		accept_answer(f, h);
}

static void start_answer(struct forward *f, int64_t length)
{
	f->started = true;
	resume_note_begin(f);
	f->first_ms = gate_now(f->g) - f->start_ms;
	caller_call_start(f->caller, f->status, f->headers, length);
}

/* Stops reading from the endpoint while the caller reads too slowly. */
static void pause_if_caller_full(struct forward *f)
{
	if (f->reading_paused || !caller_call_is_full(f->caller))
		return;
	f->reading_paused = f->caller_delayed = true;
	upstream_pause(f->up, true);
}

void forward_unpause(struct forward *f)
{
	if (!f->reading_paused)
		return;
	f->reading_paused = false;
	if (f->up)
		upstream_pause(f->up, false);
}

static void pass_events(struct forward *f, struct ss_str complete)
{
	if (!f->started)
		start_answer(f, -1);
	times_note_events(f);
	quarantine_note_events(f);
	caller_call_write(f->caller, complete);
}

/* Passes complete events on; the rest of the piece stays in f->events. The next
 * run goes on behind what f->events has put out, so all of it is passed on,
 * also where the event after it is wrong. */
static void relay_events(struct forward *f, struct ss_str piece)
{
	/* A stream withholds nothing here, so the buffer is free. */
	GString *complete = f->withheld;
	bool sound;

	g_string_truncate(complete, 0);
	sound = events_add(&f->events, piece, complete);
	if (complete->len > 0)
		pass_events(f, ss_str_gs(complete));
	if (!sound)
		fail_send(f, "the stream has a gap");
}

static void on_body(void *arg, struct ss_str piece)
{
	struct forward *f = arg;

	/* The send was given up when the answer's head was read. */
	if (f->state != FORWARD_ANSWERING)
		return;
	if (f->is_events) {
		relay_events(f, piece);
		return;
	}
	f->answer_bytes += piece.n;
	if (f->answer_bytes > ANSWER_MAX_BYTES) {
		fail_send(f, "the answer has no end");
		return;
	}
	if (!f->started && f->withheld->len + piece.n <= BUFFER_MAX_BYTES) {
		g_string_append_len(f->withheld, piece.p, (gssize)piece.n);
		return;
	}
	if (!f->started) {
		start_answer(f, f->length);
		caller_call_write(f->caller, ss_str_gs(f->withheld));
	}
	caller_call_write(f->caller, piece);
}

/* Called once after all pieces that were read together, so that they are sent
 * together. */
static void on_flush(void *arg)
{
	struct forward *f = arg;

	if (!f->started)
		return;
	caller_call_flush(f->caller);
	pause_if_caller_full(f);
}

/* Returns the length that a buffered answer's head states; -1: none. Without a
 * body, it's that of the answer which the endpoint would have sent. */
static int64_t stated_length(const struct forward *f)
{
	const struct http1_head *h = caller_call_head(f->caller);

	if (f->status == 304 || http1_name_is(h->method, "HEAD"))
		return f->length;
	return (int64_t)f->withheld->len;
}

static void on_done(void *arg)
{
	struct forward *f = arg;

	f->up = NULL;
	if (f->is_events && !events_at_end(&f->events)) {
		if (f->length < 0)
			crash_check_begin(f);
		fail_send(f, "the stream ended inside an event");
		return;
	}
	note_result(f, f->status >= 500);
	times_note_end(f);
	quarantine_note_answer(f);
	if (!f->started && f->is_events) {
		start_answer(f, -1);
	} else if (!f->started) {
		start_answer(f, stated_length(f));
		caller_call_write(f->caller, ss_str_gs(f->withheld));
	}
	forward_end(f, true, "");
}

static void on_failed(void *arg, enum upstream_failure failure, bool closed)
{
	struct forward *f = arg;

	f->up = NULL;
	if (failure == UPSTREAM_NOT_SENT) {
		forward_not_sent(f);
		return;
	}
	times_note_aborted(f);
	if (closed)
		crash_check_begin(f);
	fail_send(f, upstream_failure_name(failure));
}

const struct upstream_ops forward_upstream_ops = { on_head, on_body, on_flush,
						   on_done, on_failed };
