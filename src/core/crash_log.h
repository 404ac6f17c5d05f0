/*
 * Crash log: the outcomes of suspected requests that an entry reports to the
 * leader. Each outcome is reported once; a crash is reported again to each new
 * leader. The log is bounded and drops its oldest outcome when it is full.
 */
#ifndef SS_CRASH_LOG_H
#define SS_CRASH_LOG_H

#include "fingerprint.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The outcome of one run of a request. */
enum run_outcome_kind {
	OUTCOME_CRASHED = 1,  /* its endpoint crashed while running it */
	OUTCOME_ANSWERED,     /* it was answered completely */
	OUTCOME_INCONCLUSIVE, /* its trial run was inconclusive */
};

struct run_outcome {
	struct fingerprint fingerprint;
	enum run_outcome_kind kind;
	uint64_t incarnation_hash; /* of the endpoint that crashed */
	int64_t at_ms;
};

struct crash_log {
	GArray *outcomes;  /* struct run_outcome, oldest first */
	size_t n_reported; /* outcomes at the front that the leader has */
	size_t capacity;   /* in outcomes */
};

void crash_log_init(struct crash_log *l, size_t capacity);
void crash_log_clear(struct crash_log *l);

/* Appends an outcome. One that isn't a crash replaces the request's crashes. */
void crash_log_add(struct crash_log *l, const struct run_outcome *e);
/* Removes the crashes of a request that was cleared. */
void crash_log_remove_crashes(struct crash_log *l,
			      const struct fingerprint *fp);
/* Starts over for a new leader, which has received no reports: all crashes are
 * reported again; other outcomes that the last leader has are removed. */
void crash_log_rewind(struct crash_log *l);
/* Returns the next unreported outcomes, *n of them and at most max; NULL if
 * all are reported. */
const struct run_outcome *crash_log_next(const struct crash_log *l, size_t max,
					 size_t *n);
/* Marks the next n outcomes as reported, once they are sent. */
void crash_log_reported(struct crash_log *l, size_t n);
/* Removes outcomes observed before a time. */
void crash_log_expire(struct crash_log *l, int64_t before_ms);

#ifdef __cplusplus
}
#endif
#endif
