/* How long answers take, learned from those under way. */
#include "pace.h"

#include <math.h>

/* Weights of the newest sample and of its deviation, and how many deviations
 * above the mean are allowed for: the figures by which TCP sets its
 * retransmission timeout (RFC 6298), which asks the same question. */
#define MEAN_ALPHA 0.125
#define DEV_ALPHA 0.25
#define DEVIATIONS 4.0
/* Events whose mean gap is one sample: a single gap holds whatever else the
 * engine did in that step, eight of some 50 ms show a slowdown within half a
 * second. A stream of fewer says nothing of how many events its tokens make:
 * its last event holds what is left of them. */
#define EVENTS_A_SAMPLE 8
/* Samples by which an estimate stands for itself: the weight of the first one
 * has fallen to a third. Until then the slowest of the whole service counts
 * too: a service's mean is that of its most called models, and large ones need
 * twice as long. */
#define KNOWN_SAMPLES 8
/* Plain answers of a route, or whole streams of a service, by which the next
 * can be foretold: of a kind that makes up a tenth of them, two have been seen
 * by then. */
#define FORETOLD_SAMPLES 20
/* A model that has shown nothing yet may be so many times slower than the
 * slowest one seen. An endpoint that has shown nothing isn't judged by the
 * others at all: a stream was cut on one that was ten times slower. */
#define UNSEEN_FACTOR 5.0
/* The largest is kept of so many samples up to twice as many: one in some
 * hundred exceeds it, and a single odd one is forgotten. */
#define MOST_SAMPLES 128
/* Until streams have shown how many tokens an event holds: one. */
#define EVENTS_PER_TOKEN_UNKNOWN 1.0

/* Of an event: 17 of 100 tokens make 51 of 300, and not 52. */
#define EVENTS_ROUNDING 1e-6

void pace_add(struct pace_estimate *e, double ms)
{
	if (e->n++ == 0) {
		e->mean_ms = ms;
		e->dev_ms = ms / 2;
		return;
	}
	e->dev_ms += DEV_ALPHA * (fabs(ms - e->mean_ms) - e->dev_ms);
	e->mean_ms += MEAN_ALPHA * (ms - e->mean_ms);
}

double pace_bound(const struct pace_estimate *e)
{
	return e->n ? e->mean_ms + DEVIATIONS * e->dev_ms : -1;
}

void pace_most_add(struct pace_most *m, double x)
{
	if (m->n == MOST_SAMPLES) {
		m->older = m->newer;
		m->newer = 0;
		m->n = 0;
	}
	m->newer = MAX(m->newer, x);
	m->n++;
}

double pace_most(const struct pace_most *m)
{
	return MAX(m->newer, m->older);
}

void pace_note_first(struct pace *p, double ms)
{
	pace_add(&p->first, ms);
	pace_most_add(&p->first_most, ms);
}

void pace_note_event(struct pace *p, double ms)
{
	pace_add(&p->event, ms);
	pace_most_add(&p->event_most, ms);
}

void pace_raise_first(struct pace *p, double ms)
{
	if (p->first.n && ms > pace_most(&p->first_most))
		pace_note_first(p, ms);
}

void pace_raise_event(struct pace *p, double ms)
{
	if (p->event.n && ms > pace_most(&p->event_most))
		pace_note_event(p, ms);
}

void pace_note_length(struct pace *p, uint64_t events, int64_t tokens)
{
	if (tokens > 0 && events >= EVENTS_A_SAMPLE)
		pace_most_add(&p->events_per_token,
			      (double)events / (double)tokens);
}

void pace_raise_length(struct pace *p, uint64_t events, int64_t tokens)
{
	double known = pace_most(&p->events_per_token);

	if (known > 0 && (double)events > known * (double)tokens)
		pace_note_length(p, events, tokens);
}

double pace_least_first(const struct pace *model, const struct pace *service)
{
	const struct pace_estimate *e = model->first.n ? &model->first :
							 &service->first;

	return e->n ? MAX(e->mean_ms - e->dev_ms, 0) : -1;
}

bool pace_measure(struct pace_mark *m, uint64_t events, int64_t now,
		  double *gap_ms)
{
	uint64_t n = events - m->events;

	if (n < EVENTS_A_SAMPLE)
		return false;
	*gap_ms = (double)(now - m->ms) / (double)n;
	*m = (struct pace_mark){ now, events };
	return true;
}

double pace_open_event_ms(const struct pace_mark *m, int64_t now)
{
	return (double)(now - m->ms) / EVENTS_A_SAMPLE;
}

/* Of one part of a service. Negative: nothing is known. */
static double first_of(const struct pace *p, const struct pace *service)
{
	double own = p->first.n ? pace_most(&p->first_most) : -1;

	if (p->first.n >= KNOWN_SAMPLES)
		return own;
	return service->first.n ? MAX(own, pace_most(&service->first_most)) :
				  own;
}

static double event_of(const struct pace *p, const struct pace *service)
{
	double own = pace_bound(&p->event);
	double slowest = pace_most(&service->event_most);

	if (p->event.n >= KNOWN_SAMPLES || !service->event.n)
		return own;
	return p->event.n ? MAX(own, slowest) : slowest * UNSEEN_FACTOR;
}

/* The longest of a few streams is mostly a short one. */
static double events_per_token(const struct pace *service)
{
	const struct pace_most *m = &service->events_per_token;
	bool known = m->older > 0 || m->n >= FORETOLD_SAMPLES;

	return known ? pace_most(m) : EVENTS_PER_TOKEN_UNKNOWN;
}

int64_t pace_stream_ms(const struct pace_ask *a)
{
	const struct pace *s = a->service;
	double first = first_of(a->model, s);
	double event = event_of(a->model, s);
	double rate = events_per_token(s);
	double events;

	if (first < 0 || event < 0 || a->tokens <= 0)
		return SS_NEVER;
	if (a->endpoint && !a->endpoint->event.n)
		return SS_NEVER;
	if (a->endpoint) {
		first = MAX(first, first_of(a->endpoint, s));
		event = MAX(event, event_of(a->endpoint, s));
	}
	first = MAX(first, a->open.first_ms);
	event = MAX(event, a->open.event_ms);
	events = MAX(ceil(rate * (double)a->tokens - EVENTS_ROUNDING) -
			     (double)a->skip,
		     0);
	return (int64_t)ceil(first + events * event);
}

int64_t pace_plain_ms(const struct pace *route, const struct pace_open *open)
{
	if (route->first.n < FORETOLD_SAMPLES)
		return SS_NEVER;
	/* The largest alone leaves no room while few have come: an answer of
	 * 1,310 ms was begun with 1,305 left, as 1,222 was the largest. */
	return (int64_t)ceil(MAX(MAX(pace_most(&route->first_most),
				     pace_bound(&route->first)),
				 open->first_ms));
}
