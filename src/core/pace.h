/*
 * How long answers take, learned from those under way. The question it
 * answers: will a request that is begun now have ended by then? Engines differ
 * several times over by model, by batch and by VM, so no fixed time for a
 * token is right for all of them.
 */
#ifndef SS_PACE_H
#define SS_PACE_H

#include <sapphireshift/base.h>

/* Mean and mean deviation of a time. */
struct pace_estimate {
	double mean_ms, dev_ms;
	uint64_t n; /* samples; 0: nothing is known */
};

/* The largest of the last few hundred samples. */
struct pace_most {
	double newer, older;
	uint32_t n; /* of the newer ones */
};

/* The answers of a service, of one of its models, endpoints or routes. Zeroed:
 * nothing is known. */
struct pace {
	struct pace_estimate first; /* from sending until the answer begins */
	struct pace_most first_most;
	struct pace_estimate event; /* from one event to the next */
	struct pace_most event_most;
	struct pace_most events_per_token; /* of what a stream was allowed */
};

/* Where a stream under way has been measured up to. */
struct pace_mark {
	int64_t ms;
	uint64_t events;
};

/* What hasn't come yet of answers under way: they take at least this. */
struct pace_open {
	double first_ms, event_ms;
};

/* What is asked of a stream that isn't begun. */
struct pace_ask {
	const struct pace *service, *model;
	const struct pace *endpoint; /* NULL: none is chosen yet */
	struct pace_open open;
	int64_t tokens; /* that it is allowed; 0: not told */
	int64_t skip;	/* events that its caller has already */
};

void pace_add(struct pace_estimate *e, double ms);
/* A time that few samples exceed; negative where nothing is known. */
double pace_bound(const struct pace_estimate *e);

void pace_most_add(struct pace_most *m, double x);
double pace_most(const struct pace_most *m); /* 0: nothing is known */

void pace_note_first(struct pace *p, double ms);
void pace_note_event(struct pace *p, double ms);
/*
 * An answer that never came, or went on no longer, took at least this. Being a
 * lower bound it only raises what whole ones have shown: a caller who leaves
 * at once would pass for a fast answer where nothing is known.
 */
void pace_raise_first(struct pace *p, double ms);
void pace_raise_event(struct pace *p, double ms);
/* A stream has ended as whole after so many events. */
void pace_note_length(struct pace *p, uint64_t events, int64_t tokens);
/*
 * So many events have come of a stream that goes on. That is a lower bound, so
 * it can only raise what whole streams have shown: those that end first are
 * the short ones. While none has ended it says nothing.
 */
void pace_raise_length(struct pace *p, uint64_t events, int64_t tokens);

/* A time that most answers take until they begin: of a model, or of its service
 * where the model has none; negative where neither is known. */
double pace_least_first(const struct pace *model, const struct pace *service);

/* An event has come, the events-th of its answer. True where enough of them
 * have come since the mark to measure the time between two; the mark moves. */
bool pace_measure(struct pace_mark *m, uint64_t events, int64_t now,
		  double *gap_ms);
/* The least time between two events that a run which isn't whole will show. */
double pace_open_event_ms(const struct pace_mark *m, int64_t now);

/*
 * The longest that an answer is expected to take from now, in ms; SS_NEVER
 * where it can't be told.
 */
int64_t pace_stream_ms(const struct pace_ask *a);
int64_t pace_plain_ms(const struct pace *route, const struct pace_open *open);

#endif
