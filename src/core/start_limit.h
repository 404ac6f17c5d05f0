/*
 * How many prompts one entry may have in flight on an engine: sent, and without
 * an event yet. The load it handles: bursts of prompts on an engine whose other
 * streams pause while a prompt is read. Entries don't tell each other what they
 * send. Each sees the engine's pauses on its own streams and adapts its own
 * limit to them: additive increase, multiplicative decrease. The thresholds are
 * what routes allow their callers: a longest pause between two events, and the
 * time within which an answer is to begin. Times are in ms of one clock.
 */
#ifndef SS_START_LIMIT_H
#define SS_START_LIMIT_H

#include <sapphireshift/base.h>

struct start_limit {
	double most;	 /* prompts in flight, at least 1; 0: no limit */
	double first_ms; /* an answer's usual time to its first event; 0: none
			    was seen */
	int64_t cut_ms;	 /* of the last decrease that was called for */
	int64_t high_ms; /* of the last pause above half of what is allowed */
	/* The most that were in flight in this period and the one before. */
	int64_t peak, peak_before, period_ms;
};

/* No limit, and nothing known. */
void start_limit_init(struct start_limit *l);

/* Whether another prompt may be sent while so many are under way. */
bool start_limit_allows(const struct start_limit *l, int64_t under_way);

/* A prompt is sent; under_way counts it. */
void start_limit_sent(struct start_limit *l, int64_t under_way, int64_t now);

/*
 * A first event came so long after its prompt was sent; later than the
 * objective, it lowers a limit that there is. True where the limit fell. A time
 * that is 0, negative or above an hour changes nothing.
 */
bool start_limit_first(struct start_limit *l, int64_t ms, int64_t objective_ms,
		       int64_t now);

/* Two events of a stream came so far apart. The same. Only a pause above what
 * its route allows sets a limit where there is none. */
bool start_limit_pause(struct start_limit *l, int64_t pause_ms,
		       int64_t allowed_ms, int64_t now);

#endif
