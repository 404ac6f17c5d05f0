/*
 * Expected answer times, measured on the answers of this entry, and the
 * requests that may still begin before a planned stop.
 */
#include "gate_int.h"

/* Assumed least time until an answer begins while its service has no
 * measurement: a round trip and the first token of a short prompt, on an idle
 * engine of either deployment. */
#define DEFAULT_FIRST_MS 60

/* Safety margin before a planned stop, as a fraction of the expected time: an
 * engine that fills up meanwhile is slower than its events have shown. */
#define STOP_MARGIN 0.25

static bool is_stream(const struct forward *f)
{
	return f->route->kind == ROUTE_STREAM;
}

/* Adds a sample to the timings of a stream's service, model and endpoint, or to
 * that of a plain request's route. */
static void note_sample(const struct forward *f,
			void (*add)(struct stream_timing *, double), double ms)
{
	struct gate_ep *ep = gate_ep_of(f);

	add(f->timing, ms);
	if (!is_stream(f))
		return;
	add(&f->home_queue->timing, ms);
	if (ep)
		add(&ep->timing, ms);
}

/* Tracks the longest pause between events: a stream also counts as late if
 * its events pause for longer than its route allows. */
static void note_pause(struct forward *f, int64_t now)
{
	if (f->events.count == f->last_event)
		return;
	if (f->last_event)
		f->longest_pause_ms =
			MAX(f->longest_pause_ms, now - f->last_event_ms);
	/* Before the first event of this send the stream was at another
	 * endpoint. */
	if (f->event_mark.events && !f->caller_delayed)
		gate_start_pause(f, now - f->last_event_ms);
	f->caller_delayed = f->reading_paused;
	f->last_event = f->events.count;
	f->last_event_ms = now;
}

void times_note_events(struct forward *f)
{
	int64_t now = gate_now(f->g);
	double gap_ms;

	note_pause(f, now);
	if (f->event_mark.events == 0) {
		gate_speed_answered(f);
		note_sample(f, timing_record_first, (double)(now - f->sent_ms));
		gate_start_first_event(f, now - f->sent_ms);
		f->event_mark = (struct timing_mark){ now, f->events.count };
	} else if (timing_measure_gap(&f->event_mark, f->events.count, now,
				      &gap_ms)) {
		note_sample(f, timing_record_event, gap_ms);
		timing_raise_length(f->timing, f->events.count,
				    f->call.tokens_out);
	}
}

static void note_plain(struct forward *f)
{
	gate_speed_answered(f);
	note_sample(f, timing_record_first,
		    (double)(gate_now(f->g) - f->sent_ms));
}

void times_note_end(struct forward *f)
{
	/* Of a resumed stream only the remainder was sent here. */
	if (f->is_events && f->call.after_event > 0)
		timing_raise_length(f->timing, f->events.count,
				    f->call.tokens_out);
	else if (f->is_events)
		timing_record_length(f->timing, f->events.count,
				     f->call.tokens_out);
	else if (f->status / 100 == 2)
		note_plain(f);
}

/* Returns how long a request that was sent has been waiting for the start of
 * its answer or for the next event. */
static struct timing_pending pending_of(const struct forward *f, int64_t now)
{
	struct timing_pending o = { 0 };

	if (f->event_mark.events)
		o.event_ms = timing_pending_event_ms(&f->event_mark, now);
	else
		o.first_ms = (double)(now - f->sent_ms);
	return o;
}

/* An abandoned answer counts if it took longer than those that began:
 * otherwise an engine that hangs would go unnoticed. */
void times_note_aborted(struct forward *f)
{
	struct timing_pending o = pending_of(f, gate_now(f->g));

	if (f->state < FORWARD_SENT)
		return;
	gate_speed_abandoned(f);
	note_sample(f, timing_raise_first, o.first_ms);
	note_sample(f, timing_raise_event, o.event_ms);
}

static void raise_to(struct timing_pending *o, const struct timing_pending *by)
{
	o->first_ms = MAX(o->first_ms, by->first_ms);
	o->event_ms = MAX(o->event_ms, by->event_ms);
}

static void reset_pending(struct gate *g)
{
	const struct timing_pending none = { 0 };
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->model_queues);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct model_queue *)p)->pending_timing = none;
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct gate_ep *)p)->pending_timing = none;
}

void times_update_pending(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	reset_pending(g);
	g_hash_table_iter_init(&it, g->forwards);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct forward *f = p;
		struct timing_pending o = pending_of(f, now);
		struct gate_ep *ep;

		if (f->state < FORWARD_SENT)
			continue;
		raise_to(&f->home_queue->pending_timing, &o);
		ep = gate_ep_of(f);
		if (ep)
			raise_to(&ep->pending_timing, &o);
	}
}

int64_t times_first_ms(const struct forward *f)
{
	double ms = timing_low_first_ms(
		is_stream(f) ? &f->home_queue->timing : f->timing, f->timing);

	return ms < 0 ? DEFAULT_FIRST_MS : (int64_t)ms;
}

/* Returns the longest time that the answer is expected to take from now on. */
static int64_t answer_ms(const struct forward *f, const struct gate_ep *ep)
{
	struct timing_request a = { .service = f->timing,
				    .model = &f->home_queue->timing,
				    .endpoint = ep ? &ep->timing : NULL,
				    .pending = f->home_queue->pending_timing,
				    .tokens = f->call.tokens_out,
				    .skip = MAX(f->call.after_event, 0) };

	if (ep)
		raise_to(&a.pending, &ep->pending_timing);
	return is_stream(f) ? timing_stream_ms(&a) :
			      timing_plain_ms(f->timing, &a.pending);
}

/*
 * A caller whose answer is cut by the end of this process loses the time until
 * it notices and, where the answer can't be resumed, the answer; a caller who
 * is refused goes to another entry at once. So a request begins only if it is
 * known to end before the stop, by the times of answers until now or because
 * its caller's deadline is earlier. The times follow the speed of the engine: a
 * stream of 100 tokens that began 3 s before the stop was cut on an engine that
 * takes 40 ms a token. The check is made at each try, and again once the
 * endpoint is chosen and once an adapter is loaded: a request that waits has
 * less time left than on arrival.
 */
bool times_stop_would_cut(struct forward *f, const struct gate_ep *ep)
{
	struct gate *g = f->g;
	int64_t margin_ms;

	if (!g->stop_end_ms || f->started || f->deadline_ms <= g->stop_end_ms)
		return false;
	f->expected_ms = answer_ms(f, ep);
	if (f->expected_ms == SS_NEVER)
		return true;
	margin_ms = (int64_t)((double)f->expected_ms * STOP_MARGIN);
	return gate_now(g) + f->expected_ms + margin_ms > g->stop_end_ms;
}
