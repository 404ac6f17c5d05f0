/*
 * Crash log: the outcomes of suspects' runs that an entry reports to the
 * leader. Each outcome is reported once; a crash is reported again to each new
 * leader. The log is bounded and drops its oldest outcome when it is full.
 */
#ifndef SS_CRASH_LOG_H
#define SS_CRASH_LOG_H

#include "fingerprint.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The outcome of one run of a suspect, in ms on the entry's clock. */
enum run_outcome_kind {
	OUTCOME_CRASHED = 1,  /* its endpoint crashed while running it */
	OUTCOME_ANSWERED,     /* it was answered completely */
	OUTCOME_INCONCLUSIVE, /* its trial run was inconclusive */
	OUTCOME_REFUSED, /* in reports only: requests were refused for it */
};

struct run_outcome {
	struct fingerprint fingerprint;
	enum run_outcome_kind kind;
	uint64_t incarnation_hash; /* of the endpoint that crashed */
	int64_t at_ms;
	int64_t began_ms; /* start of the run; not set for an inconclusive one
			   */
};

struct crash_log {
	GArray *outcomes;  /* struct run_outcome, oldest first */
	size_t n_reported; /* outcomes at the front that the leader has */
	size_t capacity;   /* in outcomes */
};

void crash_log_init(struct crash_log *l, size_t capacity);
void crash_log_clear(struct crash_log *l);

/* Appends an outcome. An answer replaces the suspect's crashes up to the start
 * of its run, an inconclusive outcome replaces all. */
void crash_log_add(struct crash_log *l, const struct run_outcome *e);
/* Removes the crashes of a suspect up to a time, in ms. */
void crash_log_remove_crashes(struct crash_log *l, const struct fingerprint *fp,
			      int64_t until_ms);
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
