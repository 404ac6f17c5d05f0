/* Table of suspects and quarantines. */
#include "suspects_int.h"

/* A crash counts against a request for this long, in ms: a job that runs every
 * quarter of an hour still reaches the threshold. */
#define CRASH_KEEP_MS (60 * 60 * 1000LL)
/* A suspect that was answered this long before its first crash, in ms, or
 * later, may be harmless. */
#define ANSWER_KEEP_MS (10 * 60 * 1000LL)
/* Time from the first crash in which a harmless suspect that is in use is
 * answered again, in ms: a first event, the events that follow it, and the
 * report of that. */
#define DOUBT_MS 2500
/* Crashes of runs that began after the first crash, without which a suspect
 * stays in doubt: when all endpoints crash at once, no answer can clear it. */
#define LATER_CRASHES 2
/* Interval at which suspects in doubt are judged again, in ms. */
#define JUDGE_INTERVAL_MS 100
/*
 * Quarantine periods by the number of failed trial runs, in ms. Each trial run
 * of a poison suspect costs the answers of all requests that run beside it; an
 * endpoint version that withstands it takes hours or days.
 */
static const int64_t periods[SUSPECT_TRIALS_MAX + 1] = { 10 * 60 * 1000LL,
							 10 * 60 * 1000LL,
							 SUSPECT_FOREVER_MS };
/* First quarantine period of tied suspects, in ms: long enough for endpoints to
 * restart. Suspects are tied if they share TIED_CRASHES crashes; most of them
 * are harmless, and their callers wait. */
#define TIED_PERIOD_MS 3000
/* Number of shared crashes that is more than chance. */
#define TIED_CRASHES 2
/* A quarantined suspect that isn't sent again is dropped this long after its
 * quarantine period, in ms. */
#define QUARANTINE_KEEP_MS (24 * 60 * 60 * 1000LL)
/* A cleared suspect is kept this long, in ms, to report it to processes that
 * missed it. */
#define CLEARED_KEEP_MS 60000
/* Maximum number of trial runs at a time. The window starts at one and doubles
 * with each trial run that is answered, so that harmless requests needn't wait
 * for each other. */
#define TRIAL_WINDOW_MAX 64
#define EXPIRE_INTERVAL_MS 10000

struct suspects *suspects_new(const struct suspects_options *o, int64_t now)
{
	struct suspects *s = g_new0(struct suspects, 1);

	s->o = *o;
	s->window = 1;
	s->no_trial_until_ms = now + o->trial_hold_ms;
	s->expired_ms = now;
	s->all = g_hash_table_new_full(fingerprint_hash, fingerprint_equal,
				       NULL, g_free);
	return s;
}

void suspects_free(struct suspects *s)
{
	if (!s)
		return;
	g_hash_table_unref(s->all);
	g_free(s);
}

void suspects_set_deferring(struct suspects *s, bool on)
{
	s->deferring = on;
}

struct suspect *suspects_find(const struct suspects *s,
			      const struct fingerprint *fp)
{
	return g_hash_table_lookup(s->all, fp);
}

static void set_quarantined(struct suspects *s, struct suspect *x, bool on,
			    int64_t now)
{
	size_t part = fingerprint_is_part(&x->fp);

	if (on && !x->quarantined) {
		x->since_ms = now;
		x->refused = 0;
	}
	s->quarantined += (size_t)on;
	s->quarantined -= (size_t)x->quarantined;
	s->quarantined_parts += on ? part : 0;
	s->quarantined_parts -= x->quarantined ? part : 0;
	x->quarantined = on;
}

static void drop(struct suspects *s, struct suspect *x)
{
	set_quarantined(s, x, false, 0);
	g_hash_table_remove(s->all, &x->fp);
}

static void note_change(struct suspects *s, struct suspect *x)
{
	x->changed = ++s->mark;
}

/* Order of eviction: suspects that aren't quarantined, then those with fewer
 * crashes, then older ones. */
static gint by_eviction(gconstpointer a, gconstpointer b)
{
	const struct suspect *x = *(struct suspect *const *)a;
	const struct suspect *y = *(struct suspect *const *)b;

	if (x->quarantined != y->quarantined)
		return x->quarantined ? 1 : -1;
	if (x->n_crashes != y->n_crashes)
		return x->n_crashes < y->n_crashes ? -1 : 1;
	return x->last_ms < y->last_ms ? -1 : x->last_ms > y->last_ms;
}

GPtrArray *suspects_all(const struct suspects *s)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter it;
	void *x;

	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &x))
		g_ptr_array_add(out, x);
	return out;
}

/* Evicts a quarter of a full table at a time, so that a flood of new suspects
 * doesn't sort it once for each. */
static void make_room(struct suspects *s)
{
	GPtrArray *all;

	if (g_hash_table_size(s->all) < s->o.capacity)
		return;
	all = suspects_all(s);
	g_ptr_array_sort(all, by_eviction);
	for (guint i = 0; i <= all->len / 4 && i < all->len; i++)
		drop(s, all->pdata[i]);
	g_ptr_array_unref(all);
}

static struct suspect *find_or_add(struct suspects *s,
				   const struct fingerprint *fp)
{
	struct suspect *x = suspects_find(s, fp);

	if (x)
		return x;
	make_room(s);
	x = g_new0(struct suspect, 1);
	x->fp = *fp;
	x->answered_ms = INT64_MIN;
	g_hash_table_insert(s->all, &x->fp, x);
	return x;
}

static int64_t period_ms(const struct suspect *x)
{
	if (x->tied)
		return TIED_PERIOD_MS;
	return periods[MIN(x->failed_trials, G_N_ELEMENTS(periods) - 1)];
}

static bool has_crash(const struct suspect *x, uint64_t incarnation_hash)
{
	for (unsigned int i = 0; i < x->n_crashes; i++)
		if (x->crashes[i].incarnation_hash == incarnation_hash)
			return true;
	return x->n_crashes && x->last_crash == incarnation_hash;
}

static bool are_tied(const struct suspect *x, const struct suspect *y)
{
	unsigned int shared = 0;

	for (unsigned int i = 0; i < x->n_crashes; i++)
		shared += has_crash(y, x->crashes[i].incarnation_hash);
	return shared >= TIED_CRASHES;
}

static void advance_trial(struct suspects *s, struct suspect *x, int64_t now)
{
	x->tied = true;
	x->until_ms = MIN(x->until_ms, now + TIED_PERIOD_MS);
	note_change(s, x);
}

/* Allows trial runs of tied suspects soon: only these show which of them is the
 * poison one. */
static void advance_tied_trials(struct suspects *s, struct suspect *x,
				int64_t now)
{
	bool tied = false;
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct suspect *y = p;

		if (y == x || !y->quarantined || y->failed_trials ||
		    !are_tied(x, y))
			continue;
		tied = true;
		advance_trial(s, y, now);
	}
	if (tied)
		advance_trial(s, x, now);
}

static void quarantine(struct suspects *s, struct suspect *x, int64_t now)
{
	set_quarantined(s, x, true, now);
	x->cleared = false;
	x->learned_ms = INT64_MIN;
	x->tied = false;
	x->until_ms = now + period_ms(x);
	note_change(s, x);
	advance_tied_trials(s, x, now);
}

/* Doubt. */

static int64_t first_crash_ms(const struct suspect *x)
{
	int64_t first = INT64_MAX;

	for (unsigned int i = 0; i < x->n_crashes; i++)
		first = MIN(first, x->crashes[i].crashed_ms);
	return first;
}

static unsigned int crashes_begun_after(const struct suspect *x, int64_t ms)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < x->n_crashes; i++)
		n += x->crashes[i].began_ms > ms;
	return n;
}

/* True if the suspect was answered not long before its first crash, and may be
 * answered again: it is more likely harmless and in use everywhere. */
static bool is_in_doubt(const struct suspect *x, int64_t now)
{
	int64_t first = first_crash_ms(x);

	/* A whole request isn't shared, so its earlier answers prove little. */
	if (!fingerprint_is_part(&x->fp) || x->answered_ms == INT64_MIN ||
	    first - x->answered_ms > ANSWER_KEEP_MS)
		return false;
	return now - first < DOUBT_MS ||
	       crashes_begun_after(x, first) < LATER_CRASHES;
}

/* Quarantines a suspect with enough crashes unless it is in doubt. */
static void judge(struct suspects *s, struct suspect *x, int64_t now)
{
	if (x->quarantined || x->n_crashes < SUSPECT_CRASH_THRESHOLD)
		return;
	if ((s->deferring && fingerprint_is_part(&x->fp)) ||
	    is_in_doubt(x, now))
		s->any_in_doubt = true;
	else
		quarantine(s, x, now);
}

/* Judges the suspects that were in doubt again. */
static void judge_all(struct suspects *s, int64_t now)
{
	GHashTableIter it;
	void *x;

	if (!s->any_in_doubt || now - s->judged_ms < JUDGE_INTERVAL_MS)
		return;
	s->judged_ms = now;
	s->any_in_doubt = false;
	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &x))
		judge(s, x, now);
}

/* Clearing. */

/* Ends a quarantine, if there is one, and keeps the crashes. */
static void release(struct suspects *s, struct suspect *x, int64_t now)
{
	set_quarantined(s, x, false, now);
	x->cleared = true;
	x->last_ms = now;
	note_change(s, x);
}

/* Clears a suspect. crashes: how many it had before the answer. */
static void clear(struct suspects *s, struct suspect *x, unsigned int crashes,
		  int64_t now)
{
	/* Other processes needn't hear of a suspect that was never close to a
	 * quarantine. */
	bool known = x->quarantined || crashes >= TIED_CRASHES;

	x->n_crashes = 0;
	x->failed_trials = 0;
	x->failed_incarnation = 0;
	if (known)
		release(s, x, now);
}

static void remove_crash(struct suspect *x, uint64_t incarnation_hash)
{
	for (unsigned int i = x->n_crashes; i-- > 0;)
		if (x->crashes[i].incarnation_hash == incarnation_hash)
			x->crashes[i] = x->crashes[--x->n_crashes];
}

/* Removes the crashes up to a time; returns whether there were any. */
static bool remove_crashes_before(struct suspect *x, int64_t ms)
{
	unsigned int before = x->n_crashes;

	for (unsigned int i = x->n_crashes; i-- > 0;)
		if (x->crashes[i].crashed_ms <= ms)
			x->crashes[i] = x->crashes[--x->n_crashes];
	return x->n_crashes < before;
}

/* True if the suspect's only failed trial run crashed an endpoint on which the
 * poison suspect was running, too; that one's own trial run has now failed
 * elsewhere. */
static bool failed_beside(const struct suspect *x, const struct suspect *poison)
{
	return x->failed_trials == 1 && x->failed_incarnation &&
	       x->failed_incarnation != poison->failed_incarnation &&
	       has_crash(poison, x->failed_incarnation);
}

/* Removes the crashes of a poison suspect from the others, except those whose
 * own trial runs failed: a failed trial run shows which one is poison. */
static void discount_crashes(struct suspects *s, const struct suspect *poison,
			     int64_t now)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct suspect *x = p;
		unsigned int before = x->n_crashes;

		/* Its own trial run may be the one that crashed the
		 * endpoint. */
		if (x == poison || x->trial_ms ||
		    (x->failed_trials && !failed_beside(x, poison)))
			continue;
		for (unsigned int i = 0; i < poison->n_crashes; i++)
			remove_crash(x, poison->crashes[i].incarnation_hash);
		remove_crash(x, poison->last_crash);
		/* A quarantine that another process reported stays: it doesn't
		 * depend on the crashes known here. */
		if (x->quarantined && before >= SUSPECT_CRASH_THRESHOLD &&
		    (x->failed_trials ||
		     x->n_crashes < SUSPECT_CRASH_THRESHOLD))
			clear(s, x, before, now);
	}
}

/* True if a trial run of another suspect crashed the same incarnation, and may
 * have been the cause. */
static bool other_trial_failed_there(const struct suspects *s,
				     const struct suspect *x,
				     uint64_t incarnation_hash)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct suspect *y = p;

		if (y != x && y->failed_incarnation == incarnation_hash)
			return true;
	}
	return false;
}

/* Two trial runs were on one endpoint, and the other one already counts as
 * failed: this one is repeated, and none runs beside another from then on. */
static void repeat_trial(struct suspects *s, struct suspect *x, int64_t now)
{
	s->one_at_a_time = true;
	s->window = 1;
	x->trial_ms = 0;
	x->tied = true;
	x->until_ms = now + TIED_PERIOD_MS;
	note_change(s, x);
}

/* Extends a quarantine after another crash. The crash is a failed trial run if
 * one is open or the period is over; otherwise the request was already running
 * when it was quarantined. Only the process that quarantined it extends it
 * then. */
static void extend(struct suspects *s, struct suspect *x,
		   uint64_t incarnation_hash, int64_t now)
{
	/* The leader counts; it would count a trial run twice. */
	if (s->deferring && x->learned_ms != INT64_MIN)
		return;
	if (x->trial_ms && other_trial_failed_there(s, x, incarnation_hash)) {
		repeat_trial(s, x, now);
		return;
	}
	if (x->trial_ms || now >= x->until_ms) {
		x->failed_trials++;
		x->failed_incarnation = x->trial_ms ? incarnation_hash : 0;
		x->tied = false;
		x->trial_ms = 0;
		s->window = 1;
		discount_crashes(s, x, now);
	} else if (x->learned_ms != INT64_MIN) {
		return;
	}
	x->until_ms = MAX(x->until_ms, now + period_ms(x));
	note_change(s, x);
}

/* Keeps a crash; of a known one, the start of the newest run there. */
static void keep_crash(struct suspect *x, const struct suspect_crash *c)
{
	for (unsigned int i = 0; i < x->n_crashes; i++) {
		struct kept_crash *k = &x->crashes[i];

		if (k->incarnation_hash != c->incarnation_hash)
			continue;
		k->began_ms = MAX(k->began_ms, c->began_ms);
		return;
	}
	if (x->n_crashes < CRASHES_KEPT)
		x->crashes[x->n_crashes++] =
			(struct kept_crash){ c->incarnation_hash, c->crashed_ms,
					     c->began_ms };
}

unsigned int suspects_add_crash(struct suspects *s,
				const struct fingerprint *fp,
				const struct suspect_crash *crash, int64_t now)
{
	struct suspect *x = find_or_add(s, fp);
	bool known = has_crash(x, crash->incarnation_hash);

	if (crash->answered_ms != SS_NEVER)
		x->answered_ms = MAX(x->answered_ms, crash->answered_ms);
	/* The answer may have come before the report of this crash. */
	if (x->answered_ms >= crash->crashed_ms)
		return x->n_crashes;
	keep_crash(x, crash);
	if (!known) {
		x->last_crash = crash->incarnation_hash;
		x->last_ms = now;
	}
	if (!x->quarantined)
		judge(s, x, now);
	else if (!known)
		extend(s, x, crash->incarnation_hash, now);
	return x->n_crashes;
}

bool suspects_answered(struct suspects *s, const struct fingerprint *fp,
		       int64_t began_ms, int64_t now)
{
	struct suspect *x = suspects_find(s, fp);
	unsigned int before;
	bool news;

	if (!x)
		return false;
	before = x->n_crashes;
	news = x->answered_ms == INT64_MIN || x->quarantined;
	x->answered_ms = MAX(x->answered_ms, began_ms);
	if (x->trial_ms && began_ms >= x->trial_ms) {
		if (!s->one_at_a_time)
			s->window = MIN(s->window * 2, TRIAL_WINDOW_MAX);
		x->trial_ms = 0;
	}
	news |= remove_crashes_before(x, began_ms);
	if (x->n_crashes == 0 && news &&
	    (!x->quarantined || began_ms >= x->learned_ms))
		clear(s, x, before, now);
	else if (x->quarantined && !x->failed_trials &&
		 x->learned_ms == INT64_MIN &&
		 (x->n_crashes < SUSPECT_CRASH_THRESHOLD ||
		  is_in_doubt(x, now)))
		release(s, x, now);
	judge(s, x, now);
	return news;
}

bool suspects_lift(struct suspects *s, const struct fingerprint *fp,
		   int64_t now)
{
	struct suspect *x = suspects_find(s, fp);

	if (!x || !x->quarantined)
		return false;
	x->answered_ms = INT64_MIN;
	x->trial_ms = 0;
	clear(s, x, x->n_crashes, now);
	return true;
}

void suspects_apply(struct suspects *s, const struct suspect_state *st,
		    int64_t now)
{
	struct suspect *x = suspects_find(s, &st->fingerprint);

	if (st->cleared) {
		if (x)
			drop(s, x);
		return;
	}
	x = find_or_add(s, &st->fingerprint);
	set_quarantined(s, x, true, now);
	x->cleared = false;
	x->learned_ms = now;
	x->until_ms = now + MAX(st->remaining_ms, 0);
	x->failed_trials = st->failed_trials;
	x->last_ms = MAX(x->last_ms, now);
	note_change(s, x);
}

void suspects_merge(struct suspects *s, const struct suspect_state *st,
		    int64_t now)
{
	int64_t until = now + MAX(st->remaining_ms, 0);
	struct suspect *x = suspects_find(s, &st->fingerprint);

	/* A cleared suspect stays cleared: processes that still hold its
	 * quarantine receive the clearing as a change. */
	if (st->cleared || (x && x->cleared))
		return;
	x = find_or_add(s, &st->fingerprint);
	if (!x->quarantined || st->failed_trials > x->failed_trials) {
		if (!x->quarantined)
			x->learned_ms = now;
		set_quarantined(s, x, true, now);
		x->failed_trials = st->failed_trials;
		x->until_ms = until;
		x->last_ms = now;
		note_change(s, x);
	}
	/* A later end isn't a change to pass on: hundreds of processes may
	 * report the same quarantine. */
	if (st->failed_trials == x->failed_trials)
		x->until_ms = MAX(x->until_ms, until);
}

/* Expiry. */

static bool is_old(const struct suspect *x, int64_t now)
{
	if (x->quarantined)
		return now - x->until_ms > QUARANTINE_KEEP_MS;
	if (x->n_crashes == 0)
		return now - x->last_ms > CLEARED_KEEP_MS;
	return now - x->last_ms > CRASH_KEEP_MS;
}

void suspects_tick(struct suspects *s, int64_t now)
{
	GPtrArray *all;

	judge_all(s, now);
	if (now - s->expired_ms < EXPIRE_INTERVAL_MS)
		return;
	s->expired_ms = now;
	all = suspects_all(s);
	for (guint i = 0; i < all->len; i++)
		if (is_old(all->pdata[i], now))
			drop(s, all->pdata[i]);
	g_ptr_array_unref(all);
}
