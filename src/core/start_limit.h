/*
 * Start limit: how many prompts an entry may have in flight on an engine, that
 * is, sent and without a first event. The load is bursts of prompts on an
 * engine whose other streams pause while it reads a prompt.
 *
 * Entries don't coordinate. Each one observes the engine's pauses on its own
 * streams and adapts its own limit: additive increase, multiplicative decrease.
 * The thresholds are what routes allow their callers: a longest pause between
 * two events, and the time within which an answer is to begin. Times are in ms
 * of one clock.
 */
#ifndef SS_START_LIMIT_H
#define SS_START_LIMIT_H

#include <sapphireshift/base.h>

struct start_limit {
	double max_in_flight;  /* prompts in flight, at least 1; 0: no limit */
	double first_event_ms; /* mean time to a first event; 0: unknown */
	int64_t decrease_ms;   /* time of the last decrease, effective or not */
	int64_t high_pause_ms; /* time of the last high pause */
	/* Most prompts in flight in this period and in the last one. */
	int64_t peak, last_peak, period_start_ms;
};

/* Initializes a state without a limit and without measurements. */
void start_limit_init(struct start_limit *l);

/* Returns whether another prompt may be sent while in_flight are in flight. */
bool start_limit_allows(const struct start_limit *l, int64_t in_flight);

/* Records that a prompt was sent; in_flight includes it. */
void start_limit_sent(struct start_limit *l, int64_t in_flight, int64_t now);

/*
 * Records a first event, ms after its prompt was sent. One later than the
 * objective lowers the limit if there is one. Returns whether the limit was
 * lowered. A time that is 0, negative or above an hour is ignored.
 */
bool start_limit_first_event(struct start_limit *l, int64_t ms,
			     int64_t objective_ms, int64_t now);

/*
 * Records a pause between two events of a stream. One above what its route
 * allows lowers the limit, or sets one if there is none. Returns whether the
 * limit was lowered or set. A pause that is 0, negative or above an hour is
 * ignored.
 */
bool start_limit_pause(struct start_limit *l, int64_t pause_ms,
		       int64_t allowed_ms, int64_t now);

#endif
