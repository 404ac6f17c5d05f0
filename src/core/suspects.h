/*
 * Requests under which endpoints end.
 *
 * A request may end whatever runs it, and comes again under another id, at
 * another entry. One end proves nothing: all that ran there are suspected. A
 * request under which SUSPECT_ENDS endpoints have ended is quarantined: for a
 * term it isn't run at all, and after it only as a trial, few at a time. A
 * whole answer clears it; a trial that ends another endpoint makes the next
 * term longer.
 *
 * Each process has such a table. An entry adds the ends that it sees and is
 * told of quarantines; the leader adds up what entries tell. The same end may
 * be told twice and in any order.
 */
#ifndef SS_SUSPECTS_H
#define SS_SUSPECTS_H

#include "fingerprint.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Endpoints that may end under a request. Two may be chance: a request that is
 * sent again goes where the guilty one comes again, too. */
#define SUSPECT_ENDS 3
/* An open trial counts as lost after so long, in ms: longer than most streams
 * run. */
#define SUSPECT_TRIAL_MS 30000

struct suspects;

struct suspects_options {
	size_t most;	  /* requests that are remembered */
	int64_t quiet_ms; /* from now on no trial begins: others may be open
			   * that this process doesn't know of */
};

struct suspects *suspects_new(const struct suspects_options *o, int64_t now);
void suspects_free(struct suspects *s);

/* What is told of a request. */
struct suspect_word {
	struct fingerprint print;
	bool cleared;	 /* it was answered: what is below doesn't count */
	int64_t left_ms; /* of its term; 0: it may run as a trial */
	uint64_t trials; /* that have ended an endpoint */
};

/*
 * An endpoint has ended under a request; life tells its incarnation from all
 * others. The number of its ends now, at most SUSPECT_ENDS.
 */
unsigned int suspects_end(struct suspects *s, const struct fingerprint *print,
			  uint64_t life, int64_t now);
/* It was answered whole. False where it wasn't suspected. */
bool suspects_answered(struct suspects *s, const struct fingerprint *print,
		       int64_t now);
/* Another process says so, and knows better. */
void suspects_told(struct suspects *s, const struct suspect_word *w,
		   int64_t now);
/* Another process remembers so: the longer term counts. */
void suspects_recalled(struct suspects *s, const struct suspect_word *w,
		       int64_t now);

/* -1: it may run. Else the rest of its term; 0 where it may run as a trial. */
int64_t suspects_term(const struct suspects *s, const struct fingerprint *print,
		      int64_t now);
/* Some request is suspected; some is quarantined. */
bool suspects_any(const struct suspects *s);
bool suspects_any_quarantined(const struct suspects *s);
size_t suspects_count(const struct suspects *s);
size_t suspects_quarantined(const struct suspects *s);

enum suspect_leave {
	SUSPECT_FREE,  /* it isn't quarantined */
	SUSPECT_TRIAL, /* it may run once; its end is to be told */
	SUSPECT_WAIT,  /* not before *wait_ms */
};

enum suspect_leave suspects_ask(struct suspects *s,
				const struct fingerprint *print, int64_t now,
				int64_t *wait_ms);
/* A trial has shown nothing: its caller left, or it never ran. */
void suspects_trial_over(struct suspects *s, const struct fingerprint *print);

/*
 * Words on what has changed since a mark, oldest first, at most so many, into
 * out (struct suspect_word). The mark to go on from.
 */
uint64_t suspects_news(const struct suspects *s, uint64_t mark, size_t most,
		       int64_t now, GArray *out);
/* The newest mark. */
uint64_t suspects_mark(const struct suspects *s);

/* Forget what is too old. */
void suspects_tick(struct suspects *s, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
