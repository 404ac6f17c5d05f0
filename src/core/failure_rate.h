/*
 * Failure rate of an endpoint: the moving average of its failed calls. It also
 * decays with time, so that an endpoint that gets no calls is tried again.
 */
#ifndef SS_FAILURE_RATE_H
#define SS_FAILURE_RATE_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A rate of 1 in permille, the unit in which processes exchange rates. */
#define FAILURE_RATE_SCALE 1000

/* Zero-initialized: no call has failed. */
struct failure_rate {
	double rate;   /* at the time at_ms, 0 to 1 */
	int64_t at_ms; /* time of the last update */
};

/* Adds the calls that finished since the last update. */
void failure_rate_record(struct failure_rate *f, uint64_t failed,
			 uint64_t answered, int64_t now);
/* Returns the decayed rate, 0 to 1. */
double failure_rate_at(const struct failure_rate *f, int64_t now);
/* Adopts the rate that another process reports. Ignores 0 and less: the process
 * has no rate to report. */
void failure_rate_received(struct failure_rate *f, int64_t permille,
			   int64_t now);
/* Returns the decayed rate in permille, as it is reported. */
int64_t failure_rate_permille(const struct failure_rate *f, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
