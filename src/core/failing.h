/*
 * Failure rate of an endpoint: the moving average of its failed calls. It also
 * decays with time, so that an endpoint that gets no calls is tried again.
 */
#ifndef SS_FAILING_H
#define SS_FAILING_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Processes exchange failure rates in permille: this is a rate of 1. */
#define FAILING_WHOLE 1000

/* Zero-initialized: no call has failed. */
struct failing {
	double rate; /* at at_ms, 0 to 1 */
	int64_t at_ms;
};

/* Adds the calls that finished since the last update. */
void failing_note(struct failing *f, uint64_t failed, uint64_t answered,
		  int64_t now);
/* Returns the decayed rate, 0 to 1. */
double failing_share(const struct failing *f, int64_t now);
/* Adopts the rate that another process reports. Ignores 0 and less: the process
 * has no rate to report. */
void failing_told(struct failing *f, int64_t permille, int64_t now);
/* Returns the decayed rate in permille, as it is reported. */
int64_t failing_of_whole(const struct failing *f, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
