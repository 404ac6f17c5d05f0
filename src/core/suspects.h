/*
 * Table of what was running when endpoints crashed: requests, and parts of
 * their prompts.
 *
 * A poison request crashes any endpoint that runs it, and is sent again under
 * another id and to another entry; a poison part does so in any request. One
 * crash proves nothing: all that ran on the endpoint becomes suspect. What was
 * running at SUSPECT_CRASH_THRESHOLD crashes is quarantined: it isn't run at
 * all for a period, and then only in trial runs, of which few are allowed at a
 * time and SUSPECT_TRIALS_MAX in all. From then on only an operator lifts the
 * quarantine.
 *
 * Parts that many requests share run at most crashes without being the cause.
 * What tells them apart is answers: one to a run that began after a crash
 * shows that the crash wasn't the suspect's. A suspect that was answered
 * before its first crash is in doubt for a time in which such answers arrive,
 * and isn't quarantined meanwhile.
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

/* Crashes that quarantine a suspect. Two may be chance: a harmless request that
 * is retried may meet the poison request again, which is retried, too. */
#define SUSPECT_CRASH_THRESHOLD 3
/* An open trial run is given up after this time, in ms: longer than most
 * streams run. */
#define SUSPECT_TRIAL_TIMEOUT_MS 30000
/* Trial runs that may crash an endpoint: with the crashes that quarantine a
 * suspect, those under way then included, it crashes few endpoints in all. */
#define SUSPECT_TRIALS_MAX 2
/* Remaining period of a quarantine that only an operator lifts, in ms; at least
 * half of it remains for as long as any process runs. */
#define SUSPECT_FOREVER_MS (100LL * 365 * 24 * 3600 * 1000)

struct suspects;

struct suspects_options {
	size_t capacity;       /* suspects in the table */
	int64_t trial_hold_ms; /* no trial run opens for this time at first:
				* those of another process may still be open */
};

struct suspects *suspects_new(const struct suspects_options *o, int64_t now);
void suspects_free(struct suspects *s);

/* While set, parts aren't quarantined here, but only as the leader reports: a
 * single entry sees too few answers to judge what the whole fleet uses. */
void suspects_set_deferring(struct suspects *s, bool on);

/* State of a suspect, as processes exchange it. */
struct suspect_state {
	struct fingerprint fingerprint;
	bool cleared; /* not quarantined; the members below are ignored */
	int64_t remaining_ms;	/* until the first trial run is allowed */
	uint64_t failed_trials; /* trial runs that crashed an endpoint */
};

/* A crash of an endpoint that a suspect was running on; times in ms on the
 * table's clock. */
struct suspect_crash {
	uint64_t incarnation_hash; /* identifies the endpoint's incarnation */
	int64_t crashed_ms;
	int64_t began_ms;    /* start of the suspect's newest run there */
	int64_t answered_ms; /* start of the newest run that the reporter knows
			      * was answered; SS_NEVER: none */
};

/* Adds a crash to a suspect. Returns the suspect's number of crashes. */
unsigned int suspects_add_crash(struct suspects *s,
				const struct fingerprint *fp,
				const struct suspect_crash *crash, int64_t now);
/* Records an answer to a suspect's run that began at a time, in ms: crashes up
 * to then weren't the suspect's. Returns false if that isn't news: it isn't
 * suspected, or was answered as late before. */
bool suspects_answered(struct suspects *s, const struct fingerprint *fp,
		       int64_t began_ms, int64_t now);
/* Lifts a quarantine and forgets the crashes, whatever the suspect did. Returns
 * false if it wasn't quarantined. */
bool suspects_lift(struct suspects *s, const struct fingerprint *fp,
		   int64_t now);
/* Replaces a suspect's state by what the leader reports. */
void suspects_apply(struct suspects *s, const struct suspect_state *st,
		    int64_t now);
/* Merges the state that another process holds. The state with more failed trial
 * runs counts; at the same number, the later end of the quarantine period. A
 * suspect that is cleared here stays cleared. */
void suspects_merge(struct suspects *s, const struct suspect_state *st,
		    int64_t now);

/* Returns the rest of a suspect's quarantine period in ms, 0 if it may ask for
 * a trial run, and -1 if it isn't quarantined. */
int64_t suspects_remaining_ms(const struct suspects *s,
			      const struct fingerprint *fp, int64_t now);
/* Counts a request that was refused for a suspect's quarantine, or n of them
 * that another process reported. */
void suspects_note_refused(struct suspects *s, const struct fingerprint *fp);
void suspects_add_refused(struct suspects *s, const struct fingerprint *fp,
			  uint64_t n);

/* What an operator sees of a quarantined suspect; times in ms. */
struct suspect_info {
	struct suspect_state state;
	int64_t since_ms; /* of the quarantine, on the table's clock */
	unsigned int crashes;
	uint64_t refused;
};
/* Appends up to max quarantined suspects to out, oldest change first. */
void suspects_list(const struct suspects *s, size_t max, int64_t now,
		   GArray *out);
/* Appends the suspects whose count of refused requests has grown since the last
 * call to out, as struct suspect_info, at most max; their counts then start
 * anew. */
void suspects_take_refused(struct suspects *s, size_t max, GArray *out);

/* Returns the start of a quarantine in ms, or now if there is none. */
int64_t suspects_since_ms(const struct suspects *s,
			  const struct fingerprint *fp, int64_t now);
/* Returns the number of trial runs that crashed an endpoint or may still do so;
 * 0 for what isn't in the table. */
uint64_t suspects_trials(const struct suspects *s, const struct fingerprint *fp,
			 int64_t now);
/* Returns whether anything is in the table. */
bool suspects_any(const struct suspects *s);
/* Returns whether any suspect is quarantined. */
bool suspects_any_quarantined(const struct suspects *s);
/* Returns the number of suspects in the table. */
size_t suspects_count(const struct suspects *s);
/* Return the number of quarantined suspects, and of parts of prompts among
 * them. */
size_t suspects_quarantined(const struct suspects *s);
size_t suspects_quarantined_parts(const struct suspects *s);

enum suspect_admission {
	SUSPECT_FREE,  /* not quarantined */
	SUSPECT_TRIAL, /* may run once; its outcome has to be reported */
	SUSPECT_WAIT,  /* may not run before *wait_ms have passed */
};

/* Decides whether a suspect may run now, and opens a trial run for
 * SUSPECT_TRIAL. Sets *wait_ms unless it returns SUSPECT_FREE. */
enum suspect_admission suspects_admit(struct suspects *s,
				      const struct fingerprint *fp, int64_t now,
				      int64_t *wait_ms);
/* Closes a trial run that was inconclusive: its caller left, or it never ran.
 */
void suspects_cancel_trial(struct suspects *s, const struct fingerprint *fp);

/*
 * Appends the quarantined and cleared suspects that changed after a mark to
 * out, oldest change first, until it has max struct suspect_state. Returns the
 * mark after them. A mark is a position in the table's sequence of changes.
 */
uint64_t suspects_changes(const struct suspects *s, uint64_t mark, size_t max,
			  int64_t now, GArray *out);
/* Returns the mark of the last change. */
uint64_t suspects_mark(const struct suspects *s);

/* Quarantines suspects that are no longer in doubt, and drops those whose last
 * crash, quarantine or clearing is too long ago. To be called regularly. */
void suspects_tick(struct suspects *s, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
