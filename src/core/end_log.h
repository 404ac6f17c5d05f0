/*
 * What an entry has seen of requests under which endpoints ended, for the
 * leader: told once, and again to each new leader. Bounded; the oldest goes.
 */
#ifndef SS_END_LOG_H
#define SS_END_LOG_H

#include "fingerprint.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One thing seen: an end, or that the request was answered, or that its trial
 * has shown nothing. */
enum end_kind { END_UNDER = 1, END_ANSWERED, END_NOTHING };

struct end_seen {
	struct fingerprint print;
	enum end_kind kind;
	uint64_t life; /* of the endpoint that ended */
	int64_t at_ms;
};

struct end_log {
	GArray *seen;  /* struct end_seen, oldest first */
	size_t untold; /* the first that the leader wasn't told */
	size_t most;
};

void end_log_init(struct end_log *l, size_t most);
void end_log_clear(struct end_log *l);

void end_log_add(struct end_log *l, const struct end_seen *e);
/* It is cleared: its ends are no longer to be told. */
void end_log_drop(struct end_log *l, const struct fingerprint *print);
/* A leader that knows nothing: only ends still matter to it. */
void end_log_again(struct end_log *l);
/* The next ones to tell, at most so many; NULL and 0 where all is told. */
const struct end_seen *end_log_next(const struct end_log *l, size_t most,
				    size_t *n);
/* So many of them are on their way. */
void end_log_told(struct end_log *l, size_t n);
/* Forget what is older. */
void end_log_forget(struct end_log *l, int64_t before_ms);

#ifdef __cplusplus
}
#endif
#endif
