/* How long requests take here, and what that lets begin. */
#include "gate_int.h"

/* Time that an answer needs at least while nothing is known of a service, in
 * ms: a round trip and the first token of a short prompt, on the engines of
 * both deployments at rest. */
#define FIRST_UNKNOWN_MS 60

/* Part of a foretold time that a planned stop leaves free besides: an engine
 * that fills up meanwhile is slower than its events have shown. */
#define STOP_ROOM 0.25

static bool is_stream(const struct forward *f)
{
	return f->route->kind == ROUTE_STREAM;
}

/* What was measured counts for the service (of a plain one: for the route), for
 * the model and for the endpoint. */
static void note(const struct forward *f, void (*add)(struct pace *, double),
		 double ms)
{
	struct gate_ep *ep = gate_ep_of(f);

	add(f->pace, ms);
	if (!is_stream(f))
		return;
	add(&f->home->pace, ms);
	if (ep)
		add(&ep->pace, ms);
}

/* A stream is late too where its events pause for longer than its route says.
 */
static void note_pause(struct forward *f, int64_t now)
{
	if (f->events.count == f->event)
		return;
	if (f->event)
		f->pause_ms = MAX(f->pause_ms, now - f->event_ms);
	/* Before its first event here it was elsewhere. */
	if (f->mark.events && !f->slowed)
		gate_start_pause(f, now - f->event_ms);
	f->slowed = f->paused;
	f->event = f->events.count;
	f->event_ms = now;
}

void times_note_events(struct forward *f)
{
	int64_t now = gate_now(f->g);
	double gap_ms;

	note_pause(f, now);

	if (f->mark.events == 0) {
		gate_speed_answered(f);
		note(f, pace_note_first, (double)(now - f->sent_ms));
		gate_start_first(f, now - f->sent_ms);
		f->mark = (struct pace_mark){ now, f->events.count };
	} else if (pace_measure(&f->mark, f->events.count, now, &gap_ms)) {
		note(f, pace_note_event, gap_ms);
		pace_raise_length(f->pace, f->events.count, f->call.tokens_out);
	}
}

static void note_plain(struct forward *f)
{
	gate_speed_answered(f);
	note(f, pace_note_first, (double)(gate_now(f->g) - f->sent_ms));
}

void times_note_end(struct forward *f)
{
	/* Of one that was resumed only the rest has come. */
	if (f->is_events && f->call.after_event > 0)
		pace_raise_length(f->pace, f->events.count, f->call.tokens_out);
	else if (f->is_events)
		pace_note_length(f->pace, f->events.count, f->call.tokens_out);
	else if (f->status / 100 == 2)
		note_plain(f);
}

/* What hasn't come yet of a request that was sent. */
static struct pace_open open_of(const struct forward *f, int64_t now)
{
	struct pace_open o = { 0 };

	if (f->mark.events)
		o.event_ms = pace_open_event_ms(&f->mark, now);
	else
		o.first_ms = (double)(now - f->sent_ms);
	return o;
}

/* An answer that never came counts where it shows a longer time than those
 * that did: engines that stand still leave no other trace. */
void times_note_left(struct forward *f)
{
	struct pace_open o = open_of(f, gate_now(f->g));

	if (f->state < FORWARD_SENT)
		return;
	gate_speed_left(f);
	note(f, pace_raise_first, o.first_ms);
	note(f, pace_raise_event, o.event_ms);
}

static void widen(struct pace_open *o, const struct pace_open *by)
{
	o->first_ms = MAX(o->first_ms, by->first_ms);
	o->event_ms = MAX(o->event_ms, by->event_ms);
}

static void forget_open(struct gate *g)
{
	const struct pace_open none = { 0 };
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->lanes);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct lane *)p)->open = none;
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct gate_ep *)p)->open = none;
}

void times_look_at_open(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	forget_open(g);
	g_hash_table_iter_init(&it, g->forwards);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct forward *f = p;
		struct pace_open o = open_of(f, now);
		struct gate_ep *ep;

		if (f->state < FORWARD_SENT)
			continue;
		widen(&f->home->open, &o);
		ep = gate_ep_of(f);
		if (ep)
			widen(&ep->open, &o);
	}
}

int64_t times_first_ms(const struct forward *f)
{
	double ms = pace_least_first(is_stream(f) ? &f->home->pace : f->pace,
				     f->pace);

	return ms < 0 ? FIRST_UNKNOWN_MS : (int64_t)ms;
}

/* The longest that the answer is expected to take from now. */
static int64_t takes_ms(const struct forward *f, const struct gate_ep *ep)
{
	struct pace_ask a = { .service = f->pace,
			      .model = &f->home->pace,
			      .endpoint = ep ? &ep->pace : NULL,
			      .open = f->home->open,
			      .tokens = f->call.tokens_out,
			      .skip = MAX(f->call.after_event, 0) };

	if (ep)
		widen(&a.open, &ep->open);
	return is_stream(f) ? pace_stream_ms(&a) :
			      pace_plain_ms(f->pace, &a.open);
}

/*
 * An answer that is cut by the end of this process costs its caller the time to
 * notice, and where it can't be resumed, the answer; one who is refused goes
 * elsewhere at once. So nothing is begun that isn't known to end in time: by
 * what answers have taken until now, by the engine's speed and not by a fixed
 * one, or because its caller's own time ends before. It is asked at each try,
 * again once the endpoint is chosen and once an adapter is there: a request
 * that waits has less time left than when it came. On an engine of 40 ms a
 * token, a stream of 100 tokens was begun with 3 s left and cut.
 */
bool times_stop_cuts(struct forward *f, const struct gate_ep *ep)
{
	struct gate *g = f->g;
	int64_t room_ms;

	if (!g->end_ms || f->started || f->deadline_ms <= g->end_ms)
		return false;
	f->expected_ms = takes_ms(f, ep);
	if (f->expected_ms == SS_NEVER)
		return true;
	room_ms = (int64_t)((double)f->expected_ms * STOP_ROOM);
	return gate_now(g) + f->expected_ms + room_ms > g->end_ms;
}
