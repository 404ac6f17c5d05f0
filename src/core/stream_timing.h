/*
 * Estimates the duration of answers from the timing of earlier ones and of
 * those in flight. The estimates show whether a request that starts now would
 * finish before a given time. Engines differ several times over by model, by
 * batch and by VM, so no fixed time per token fits all of them.
 */
#ifndef SS_STREAM_TIMING_H
#define SS_STREAM_TIMING_H

#include <sapphireshift/base.h>

/* Moving mean and mean deviation of a duration. */
struct timing_estimate {
	double mean_ms, dev_ms;
	uint64_t n; /* samples; 0: no estimate */
};

/* The maximum of the last few hundred samples, in two windows. */
struct timing_max {
	double newer, older;
	uint32_t n; /* samples in the newer window */
};

/* Timing of the answers of a service, or of one of its models, endpoints or
 * routes. All zero: no samples. */
struct stream_timing {
	/* From sending to the start of the answer. */
	struct timing_estimate first;
	struct timing_max first_max;
	/* From one event to the next. */
	struct timing_estimate event;
	struct timing_max event_max;
	struct timing_max events_per_token; /* events per allowed token */
};

/* The event up to which a stream in flight has been measured. */
struct timing_mark {
	int64_t ms;
	uint64_t events;
};

/* Lower bounds from answers in flight, whose first or next event is awaited. */
struct timing_pending {
	double first_ms, event_ms;
};

/* The parameters of a prediction for a stream that has not started. */
struct timing_request {
	const struct stream_timing *service, *model;
	const struct stream_timing *endpoint; /* NULL: not chosen yet */
	struct timing_pending pending;
	int64_t tokens; /* allowed output tokens; 0: unknown */
	int64_t skip;	/* events that the caller has already received */
};

void timing_estimate_add(struct timing_estimate *e, double ms);
/* Returns a duration that few samples exceed; negative without samples. */
double timing_estimate_bound(const struct timing_estimate *e);

void timing_max_add(struct timing_max *m, double x);
/* Returns the maximum; 0 without samples. */
double timing_max(const struct timing_max *m);

void timing_record_first(struct stream_timing *p, double ms);
void timing_record_event(struct stream_timing *p, double ms);
/*
 * Records that an answer, or the next event of one, took at least this long and
 * never arrived. As a lower bound it only raises an estimate from complete
 * answers: otherwise a caller who disconnects at once would count as a fast
 * answer.
 */
void timing_raise_first(struct stream_timing *p, double ms);
void timing_raise_event(struct stream_timing *p, double ms);
/* Records a complete stream of that many events. */
void timing_record_length(struct stream_timing *p, uint64_t events,
			  int64_t tokens);
/*
 * Records the number of events so far of a stream in flight. Streams that end
 * first are the short ones, so this lower bound raises the estimate from
 * complete streams. It is ignored while no stream is complete.
 */
void timing_raise_length(struct stream_timing *p, uint64_t events,
			 int64_t tokens);

/* Returns a duration that most answers exceed before they start. It is taken
 * from the model, or from its service if the model has no samples; negative if
 * neither has any. */
double timing_low_first_ms(const struct stream_timing *model,
			   const struct stream_timing *service);

/* Measures the mean gap between events, to be called when one arrives. events:
 * how many the answer has so far. Returns false if there are too few since the
 * mark; otherwise moves the mark. */
bool timing_measure_gap(struct timing_mark *m, uint64_t events, int64_t now,
			double *gap_ms);
/* Returns a lower bound of the mean gap of the current, incomplete sample. */
double timing_pending_event_ms(const struct timing_mark *m, int64_t now);

/*
 * Return the longest expected duration of an answer that starts now, in ms;
 * SS_NEVER if it can't be predicted. timing_stream_ms() is for streams,
 * timing_plain_ms() for other answers.
 */
int64_t timing_stream_ms(const struct timing_request *a);
int64_t timing_plain_ms(const struct stream_timing *route,
			const struct timing_pending *pending);

#endif
