/* The table of suspects; private to the suspects files. */
#ifndef SS_SUSPECTS_INT_H
#define SS_SUSPECTS_INT_H

#include "suspects.h"

/* Crashes that a suspect keeps: more than the threshold, so that those of runs
 * that began after the first one are among them. */
#define CRASHES_KEPT 8

struct kept_crash {
	uint64_t incarnation_hash;
	int64_t crashed_ms, began_ms;
};

struct suspect {
	struct fingerprint fp;
	struct kept_crash crashes[CRASHES_KEPT];
	unsigned int n_crashes;
	uint64_t last_crash; /* the newest, also beyond those in crashes */
	int64_t last_ms;     /* time of the last crash, report or clearing */
	int64_t answered_ms; /* start of the newest answered run; INT64_MIN:
			      * none is known */
	bool cleared;	     /* a quarantine that others may know has ended */
	bool quarantined;
	/* When another process reported its quarantine: an answer to an earlier
	 * run says nothing about crashes that aren't known here. INT64_MIN:
	 * quarantined here. */
	int64_t learned_ms;
	bool tied; /* others shared its crashes, and it may be harmless */
	int64_t until_ms; /* end of the quarantine period */
	uint64_t failed_trials;
	/* Incarnation that the last trial run crashed, if it was this suspect's
	 * own and not one that it took part in; 0: none. */
	uint64_t failed_incarnation;
	int64_t trial_ms; /* start of the open trial run; 0: none */
	uint64_t changed; /* mark of the last change */
	int64_t since_ms; /* start of the quarantine */
	uint64_t refused; /* requests, for its quarantine */
};

struct suspects {
	struct suspects_options o;
	GHashTable *all; /* struct suspect, by its fingerprint */
	size_t quarantined, quarantined_parts;
	uint64_t mark;
	unsigned int window; /* trial runs allowed at a time */
	bool one_at_a_time;  /* the window stays at one */
	int64_t no_trial_until_ms;
	int64_t expired_ms; /* when old suspects were last dropped */
	bool deferring;
	bool any_refused; /* since suspects_take_refused() */
	bool any_in_doubt;
	int64_t judged_ms; /* when those in doubt were last judged */
};

/* Returns a suspect; NULL if it isn't in the table. */
struct suspect *suspects_find(const struct suspects *s,
			      const struct fingerprint *fp);
/* Returns all suspects; the caller frees the array. */
GPtrArray *suspects_all(const struct suspects *s);

#endif
