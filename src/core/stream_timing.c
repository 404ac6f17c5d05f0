/* Estimates the duration of answers from the timing of earlier ones and of
 * those in flight. */
#include "stream_timing.h"

#include <math.h>

/* Weights of the newest sample in the mean and in the deviation, and the number
 * of deviations that the bound allows above the mean. These are the constants
 * of TCP's retransmission timeout (RFC 6298), which estimates the same kind of
 * bound. */
#define MEAN_WEIGHT 0.125
#define DEV_WEIGHT 0.25
#define BOUND_DEVIATIONS 4.0
/* Events whose mean gap makes up one sample. A single gap includes whatever
 * else the engine did in that step; eight gaps of some 50 ms show a slowdown
 * within half a second. A shorter stream doesn't show the events per token,
 * as its last event holds all remaining tokens. */
#define EVENTS_PER_SAMPLE 8
/* Number of samples from which on an estimate is used alone: the weight of the
 * first one has fallen to a third by then. With fewer samples the slowest of
 * the whole service counts too: the mean of a service is that of its most used
 * models, and large models take twice as long. */
#define TRUSTED_SAMPLES 8
/* The number of plain answers of a route, or of complete streams of a service,
 * from which on the next one is predicted: by then two of a kind that makes up
 * a tenth of them have been seen. */
#define PREDICTION_SAMPLES 20
/* A model without samples may be this many times slower than the slowest one
 * measured. For an endpoint without samples no prediction is made from the
 * others: streams would be cut on an endpoint that is ten times slower. */
#define UNKNOWN_MODEL_FACTOR 5.0
/* The maximum covers this many samples, up to twice as many: about one in a
 * hundred exceeds it, and a single outlier is forgotten. */
#define MAX_WINDOW_SAMPLES 128
/* Events per token until enough streams have been measured. */
#define DEFAULT_EVENTS_PER_TOKEN 1.0

/* Tolerance in events against rounding errors: 17 events per 100 tokens make 51
 * per 300, not 52. */
#define EVENTS_ROUNDING 1e-6

void timing_estimate_add(struct timing_estimate *e, double ms)
{
	if (e->n++ == 0) {
		e->mean_ms = ms;
		e->dev_ms = ms / 2;
		return;
	}
	e->dev_ms += DEV_WEIGHT * (fabs(ms - e->mean_ms) - e->dev_ms);
	e->mean_ms += MEAN_WEIGHT * (ms - e->mean_ms);
}

double timing_estimate_bound(const struct timing_estimate *e)
{
	return e->n ? e->mean_ms + BOUND_DEVIATIONS * e->dev_ms : -1;
}

void timing_max_add(struct timing_max *m, double x)
{
	if (m->n == MAX_WINDOW_SAMPLES) {
		m->older = m->newer;
		m->newer = 0;
		m->n = 0;
	}
	m->newer = MAX(m->newer, x);
	m->n++;
}

double timing_max(const struct timing_max *m)
{
	return MAX(m->newer, m->older);
}

void timing_record_first(struct stream_timing *p, double ms)
{
	timing_estimate_add(&p->first, ms);
	timing_max_add(&p->first_max, ms);
}

void timing_record_event(struct stream_timing *p, double ms)
{
	timing_estimate_add(&p->event, ms);
	timing_max_add(&p->event_max, ms);
}

void timing_raise_first(struct stream_timing *p, double ms)
{
	if (p->first.n && ms > timing_max(&p->first_max))
		timing_record_first(p, ms);
}

void timing_raise_event(struct stream_timing *p, double ms)
{
	if (p->event.n && ms > timing_max(&p->event_max))
		timing_record_event(p, ms);
}

void timing_record_length(struct stream_timing *p, uint64_t events,
			  int64_t tokens)
{
	if (tokens > 0 && events >= EVENTS_PER_SAMPLE)
		timing_max_add(&p->events_per_token,
			       (double)events / (double)tokens);
}

void timing_raise_length(struct stream_timing *p, uint64_t events,
			 int64_t tokens)
{
	double known = timing_max(&p->events_per_token);

	if (known > 0 && (double)events > known * (double)tokens)
		timing_record_length(p, events, tokens);
}

double timing_low_first_ms(const struct stream_timing *model,
			   const struct stream_timing *service)
{
	const struct timing_estimate *e = model->first.n ? &model->first :
							   &service->first;

	return e->n ? MAX(e->mean_ms - e->dev_ms, 0) : -1;
}

bool timing_measure_gap(struct timing_mark *m, uint64_t events, int64_t now,
			double *gap_ms)
{
	uint64_t n = events - m->events;

	if (n < EVENTS_PER_SAMPLE)
		return false;
	*gap_ms = (double)(now - m->ms) / (double)n;
	*m = (struct timing_mark){ now, events };
	return true;
}

double timing_pending_event_ms(const struct timing_mark *m, int64_t now)
{
	return (double)(now - m->ms) / EVENTS_PER_SAMPLE;
}

/* Returns the bound for one part of a service; negative: unknown. */
static double first_bound(const struct stream_timing *p,
			  const struct stream_timing *service)
{
	double own = p->first.n ? timing_max(&p->first_max) : -1;

	if (p->first.n >= TRUSTED_SAMPLES)
		return own;
	return service->first.n ? MAX(own, timing_max(&service->first_max)) :
				  own;
}

static double event_bound(const struct stream_timing *p,
			  const struct stream_timing *service)
{
	double own = timing_estimate_bound(&p->event);
	double slowest = timing_max(&service->event_max);

	if (p->event.n >= TRUSTED_SAMPLES || !service->event.n)
		return own;
	return p->event.n ? MAX(own, slowest) : slowest * UNKNOWN_MODEL_FACTOR;
}

/* Returns the events per token. The maximum isn't used while few streams are
 * complete: the first ones to end are the short ones. */
static double events_per_token(const struct stream_timing *service)
{
	const struct timing_max *m = &service->events_per_token;
	bool known = m->older > 0 || m->n >= PREDICTION_SAMPLES;

	return known ? timing_max(m) : DEFAULT_EVENTS_PER_TOKEN;
}

int64_t timing_stream_ms(const struct timing_request *a)
{
	const struct stream_timing *s = a->service;
	double first = first_bound(a->model, s);
	double event = event_bound(a->model, s);
	double rate = events_per_token(s);
	double events;

	if (first < 0 || event < 0 || a->tokens <= 0)
		return SS_NEVER;
	if (a->endpoint && !a->endpoint->event.n)
		return SS_NEVER;
	if (a->endpoint) {
		first = MAX(first, first_bound(a->endpoint, s));
		event = MAX(event, event_bound(a->endpoint, s));
	}
	first = MAX(first, a->pending.first_ms);
	event = MAX(event, a->pending.event_ms);
	events = MAX(ceil(rate * (double)a->tokens - EVENTS_ROUNDING) -
			     (double)a->skip,
		     0);
	return (int64_t)ceil(first + events * event);
}

int64_t timing_plain_ms(const struct stream_timing *route,
			const struct timing_pending *pending)
{
	if (route->first.n < PREDICTION_SAMPLES)
		return SS_NEVER;
	/* The maximum alone leaves no margin while there are few samples: the
	 * next call may take longer, such as 1310 ms after a maximum of
	 * 1222 ms, and miss its deadline. */
	return (int64_t)ceil(MAX(MAX(timing_max(&route->first_max),
				     timing_estimate_bound(&route->first)),
				 pending->first_ms));
}
