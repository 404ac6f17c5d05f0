/*
 * Crash log: the outcomes of suspected requests that an entry reports to the
 * leader. Each outcome is reported once; a crash is reported again to each new
 * leader. The log is bounded and drops its oldest outcome when it is full.
 */
#ifndef SS_END_LOG_H
#define SS_END_LOG_H

#include "fingerprint.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The outcome of one run of a request. */
enum end_kind {
	END_UNDER = 1, /* its endpoint crashed while running it */
	END_ANSWERED,  /* it was answered completely */
	END_NOTHING,   /* its trial run was inconclusive */
};

struct end_seen {
	struct fingerprint print;
	enum end_kind kind;
	uint64_t life; /* of the endpoint that crashed */
	int64_t at_ms;
};

struct end_log {
	GArray *outcomes;  /* struct run_outcome, oldest first */
	size_t n_reported; /* the first ones, which the leader has */
	size_t capacity;
};

void end_log_init(struct end_log *l, size_t capacity);
void end_log_clear(struct end_log *l);

/* Appends an outcome. Any outcome but a crash replaces the request's crashes.
 */
void end_log_add(struct end_log *l, const struct end_seen *e);
/* Removes the crashes of a request that was cleared. */
void end_log_drop(struct end_log *l, const struct fingerprint *fp);
/* Starts over for a new leader, which has received no reports: crashes are
 * reported again, other outcomes that the last leader has are removed. */
void end_log_again(struct end_log *l);
/* Returns the next unreported outcomes, *n of them and at most max; NULL if
 * all are reported. */
const struct end_seen *end_log_next(const struct end_log *l, size_t max,
				    size_t *n);
/* Marks the next n outcomes as reported, once they are sent. */
void end_log_told(struct end_log *l, size_t n);
/* Removes outcomes observed before a time. */
void end_log_forget(struct end_log *l, int64_t before_ms);

#ifdef __cplusplus
}
#endif
#endif
