/*
 * Table of requests that were running when endpoints crashed.
 *
 * A poison request crashes any endpoint that runs it, and is sent again under
 * another id and to another entry. One crash proves nothing: all requests that
 * ran on the endpoint become suspects. A request that was running at
 * SUSPECT_CRASH_THRESHOLD crashes is quarantined: it isn't run at all for a
 * period, and then only in trial runs, of which few are allowed at a time. A
 * complete answer clears it; a trial run that crashes another endpoint makes
 * the next period longer.
 *
 * Each process has such a table. An entry adds the crashes that it observes and
 * receives quarantines; the leader merges the reports of all entries. A crash
 * may be reported twice, and crashes in any order.
 */
#ifndef SS_SUSPECTS_H
#define SS_SUSPECTS_H

#include "fingerprint.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Crashes that quarantine a request. Two may be chance: a harmless request that
 * is retried may meet the poison request again, which is retried, too. */
#define SUSPECT_CRASH_THRESHOLD 3
/* An open trial run is given up after this time, in ms: longer than most
 * streams run. */
#define SUSPECT_TRIAL_TIMEOUT_MS 30000

struct suspects;

struct suspects_options {
	size_t capacity;       /* requests in the table */
	int64_t trial_hold_ms; /* no trial run opens for this time at first:
				* those of another process may still be open */
};

struct suspects *suspects_new(const struct suspects_options *o, int64_t now);
void suspects_free(struct suspects *s);

/* State of a suspected request, as processes exchange it. */
struct suspect_state {
	struct fingerprint fingerprint;
	bool cleared; /* it was answered; the members below are ignored */
	int64_t remaining_ms;	/* until the first trial run is allowed */
	uint64_t failed_trials; /* trial runs that crashed an endpoint */
};

/*
 * Adds a crash of an endpoint, by a hash that identifies the endpoint's
 * incarnation, to a request that it was running. Returns the request's number
 * of crashes, at most SUSPECT_CRASH_THRESHOLD.
 */
unsigned int suspects_add_crash(struct suspects *s,
				const struct fingerprint *fp,
				uint64_t incarnation_hash, int64_t now);
/* Clears a request that was answered completely. Returns false if it wasn't
 * suspected. */
bool suspects_answered(struct suspects *s, const struct fingerprint *fp,
		       int64_t now);
/* Replaces a request's state by what the leader reports. */
void suspects_apply(struct suspects *s, const struct suspect_state *st,
		    int64_t now);
/* Merges the state that another process holds. The state with more failed trial
 * runs counts; at the same number, the later end of the quarantine period. A
 * request that is cleared here stays cleared. */
void suspects_merge(struct suspects *s, const struct suspect_state *st,
		    int64_t now);

/* Returns the rest of a request's quarantine period in ms, 0 if it may ask for
 * a trial run, and -1 if it isn't quarantined. */
int64_t suspects_remaining_ms(const struct suspects *s,
			      const struct fingerprint *fp, int64_t now);
/* Returns whether any request is in the table. */
bool suspects_any(const struct suspects *s);
/* Returns whether any request is quarantined. */
bool suspects_any_quarantined(const struct suspects *s);
/* Returns the number of requests in the table. */
size_t suspects_count(const struct suspects *s);
/* Returns the number of quarantined requests. */
size_t suspects_quarantined(const struct suspects *s);

enum suspect_admission {
	SUSPECT_FREE,  /* not quarantined */
	SUSPECT_TRIAL, /* may run once; its outcome has to be reported */
	SUSPECT_WAIT,  /* may not run before *wait_ms have passed */
};

/* Decides whether a request may run now, and opens a trial run for
 * SUSPECT_TRIAL. Sets *wait_ms unless it returns SUSPECT_FREE. */
enum suspect_admission suspects_admit(struct suspects *s,
				      const struct fingerprint *fp, int64_t now,
				      int64_t *wait_ms);
/* Closes a trial run that was inconclusive: its caller left, or it never ran.
 */
void suspects_cancel_trial(struct suspects *s, const struct fingerprint *fp);

/*
 * Appends the quarantined and cleared requests that changed after a mark to
 * out, oldest change first, until it has max struct suspect_state. Returns the
 * mark after them. A mark is a position in the table's sequence of changes.
 */
uint64_t suspects_changes(const struct suspects *s, uint64_t mark, size_t max,
			  int64_t now, GArray *out);
/* Returns the mark of the last change. */
uint64_t suspects_mark(const struct suspects *s);

/* Drops requests whose last crash, quarantine or clearing is too long ago. To
 * be called regularly. */
void suspects_tick(struct suspects *s, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
