/* A fleet whose callers' prompts share parts. */
#include "parts_world.h"

#include "../src/core/answer_history.h"
#include "../src/core/crash_log.h"
#include "../src/core/prompt.h"
#include "../src/core/suspects.h"

#define STEP_MS 10
#define TABLE_CAPACITY 4096
#define LOG_CAPACITY 2048
#define HISTORY_CAPACITY 8192
#define WARMUP_MS 10000
#define PROOF_MS 500
#define MIXED_TRIAL_DELAY_MS 5000
/* From the arrival at an endpoint: the start of the run, the crash by a poison
 * part, the first event; then the length of an answer. */
#define START_MS 50
#define CRASH_MS 120
#define FIRST_EVENT_MS 150
#define ANSWER_MIN_MS 200
#define ANSWER_MAX_MS 3000
#define RESTART_MS 2500
#define KNOWN_MS 3000
#define ELECTION_MS 1500
/* Bytes of an outcome, of a suspect's state, and of a message's frame. */
#define OUTCOME_BYTES 48
#define STATE_BYTES 36
#define FRAME_BYTES 24
#define PARTS_PER_PROMPT 4

struct run {
	int entry;
	struct fingerprint parts[PARTS_PER_PROMPT];
	int n;
	bool poison, trial, proved;
	struct fingerprint on_trial;
	int64_t sent_ms, end_ms;
};

struct endpoint {
	uint64_t incarnation;
	int64_t down_until_ms;
	GArray *runs; /* struct run */
};

struct entry {
	struct suspects *suspects;
	struct crash_log log;
	struct answer_history *answered;
	int64_t since_ms, connected_ms;
	uint64_t leadership; /* that its reports go to */
	uint64_t reported, received;
};

struct record {
	struct fingerprint fp;
	uint64_t trials;
	int64_t until_ms;
	bool removed;
};

struct world {
	const struct parts_options *o;
	struct parts_result *r;
	struct entry *entries;
	struct endpoint *eps;
	struct suspects *leader; /* NULL: none */
	GArray *log;		 /* struct record: survives all */
	uint64_t logged, leadership, incarnations, seed;
	int64_t now, passed_ms; /* with and without jumps */
	int64_t leader_from_ms;
	struct fingerprint poison;
	int64_t third_ms, fifth_ms; /* 0: not yet */
	int before[2], after[2];    /* sound requests: answered, all */
	size_t blamed;
};

void parts_defaults(struct parts_options *o)
{
	*o = (struct parts_options){ .entries = 10,
				     .endpoints = 20,
				     .sound_per_s = 40,
				     .poison_per_s = 3,
				     .middles = 30,
				     .documents = 2000,
				     .report_ms = 50,
				     .poison_from_ms = 20000,
				     .length_ms = 60000,
				     .seed = 1 };
}

static double uniform(struct world *w)
{
	return (double)(ss_random(&w->seed) >> 11) / (double)(1ULL << 53);
}

static int below(struct world *w, int n)
{
	return (int)(uniform(w) * n);
}

/* A few of n are popular, most are rare. */
static int by_popularity(struct world *w, int n)
{
	return MIN((int)((double)n * uniform(w) * uniform(w) * uniform(w)),
		   n - 1);
}

static struct fingerprint part_no(int kind, int i)
{
	char id[17];

	g_snprintf(id, sizeof(id), "%02x%06x", kind, i);
	return fingerprint_of_part(ss_str(id));
}

/* Entries and the leader. */

static void entry_start(struct world *w, struct entry *e)
{
	struct suspects_options so = { .capacity = TABLE_CAPACITY };

	e->suspects = suspects_new(&so, w->now);
	crash_log_init(&e->log, LOG_CAPACITY);
	e->answered = answer_history_new(HISTORY_CAPACITY);
	e->since_ms = e->connected_ms = w->now;
	e->leadership = e->reported = e->received = 0;
}

static void entry_stop(struct entry *e)
{
	suspects_free(e->suspects);
	crash_log_clear(&e->log);
	answer_history_free(e->answered);
}

static int64_t answered_ms(const struct world *w, const struct entry *e,
			   const struct fingerprint *fp)
{
	int64_t ms = answer_history_find(e->answered, fp);

	if (w->o->evidence == PARTS_CRASHES)
		return SS_NEVER;
	if (ms != SS_NEVER || w->now - e->since_ms >= WARMUP_MS)
		return ms;
	return e->since_ms;
}

static void elect(struct world *w)
{
	struct suspects_options so = { .capacity = TABLE_CAPACITY,
				       .trial_hold_ms =
					       SUSPECT_TRIAL_TIMEOUT_MS };

	w->leader = suspects_new(&so, w->now);
	w->leadership++;
	for (guint i = 0; i < w->log->len; i++) {
		const struct record *q =
			&g_array_index(w->log, struct record, i);
		struct suspect_state st = { .fingerprint = q->fp,
					    .remaining_ms = MAX(
						    q->until_ms - w->now, 0),
					    .failed_trials = q->trials };

		if (!q->removed)
			suspects_merge(w->leader, &st, w->now);
	}
	w->logged = suspects_mark(w->leader);
}

static void lose_leader(struct world *w)
{
	suspects_free(w->leader);
	w->leader = NULL;
	w->leader_from_ms = w->now + ELECTION_MS;
	for (int i = 0; i < w->o->entries; i++) {
		w->entries[i].connected_ms = w->leader_from_ms;
		suspects_set_deferring(w->entries[i].suspects, false);
	}
}

static void lose_power(struct world *w)
{
	lose_leader(w);
	for (int i = 0; i < w->o->entries; i++) {
		entry_stop(&w->entries[i]);
		entry_start(w, &w->entries[i]);
		w->entries[i].connected_ms = w->leader_from_ms;
	}
	for (int i = 0; i < w->o->endpoints; i++)
		g_array_set_size(w->eps[i].runs, 0);
}

static void write_record(struct world *w, const struct suspect_state *st)
{
	struct record q = { st->fingerprint,
			    suspects_trials(w->leader, &st->fingerprint,
					    w->now),
			    w->now + st->remaining_ms, st->cleared };

	for (guint i = 0; i < w->log->len; i++) {
		struct record *old = &g_array_index(w->log, struct record, i);

		if (!fingerprint_equal(&old->fp, &q.fp))
			continue;
		*old = q;
		return;
	}
	g_array_append_val(w->log, q);
}

static void write_log(struct world *w)
{
	GArray *states;

	if (w->logged == suspects_mark(w->leader))
		return;
	states = g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	w->logged = suspects_changes(w->leader, w->logged, TABLE_CAPACITY,
				     w->now, states);
	for (guint i = 0; i < states->len; i++)
		write_record(w,
			     &g_array_index(states, struct suspect_state, i));
	g_array_unref(states);
}

static void receive_outcome(struct world *w, const struct entry *e,
			    const struct run_outcome *x)
{
	struct suspect_crash c = { x->incarnation_hash, x->at_ms, x->began_ms,
				   answered_ms(w, e, &x->fingerprint) };

	if (x->kind == OUTCOME_CRASHED)
		suspects_add_crash(w->leader, &x->fingerprint, &c, w->now);
	else if (x->kind == OUTCOME_ANSWERED)
		suspects_answered(w->leader, &x->fingerprint, x->began_ms,
				  w->now);
	else
		suspects_cancel_trial(w->leader, &x->fingerprint);
}

static void count_message(struct world *w, size_t items, size_t bytes)
{
	if (!items)
		return;
	w->r->messages++;
	w->r->bytes += FRAME_BYTES + items * bytes;
}

static void report(struct world *w, struct entry *e)
{
	GArray *states =
		g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	const struct run_outcome *x;
	size_t n;

	e->reported = suspects_changes(e->suspects, e->reported, TABLE_CAPACITY,
				       w->now, states);
	for (guint i = 0; i < states->len; i++)
		suspects_merge(w->leader,
			       &g_array_index(states, struct suspect_state, i),
			       w->now);
	count_message(w, states->len, STATE_BYTES);
	x = crash_log_next(&e->log, LOG_CAPACITY, &n);
	for (size_t i = 0; i < n; i++)
		receive_outcome(w, e, &x[i]);
	crash_log_reported(&e->log, n);
	count_message(w, n, OUTCOME_BYTES);
	g_array_unref(states);
}

static void receive_state(struct world *w, struct entry *e,
			  const struct suspect_state *st)
{
	struct run_outcome x = { .fingerprint = st->fingerprint,
				 .kind = OUTCOME_ANSWERED,
				 .at_ms = w->now };

	suspects_apply(e->suspects, st, w->now);
	if (st->cleared) {
		crash_log_remove_crashes(&e->log, &st->fingerprint, INT64_MAX);
		return;
	}
	x.began_ms = answer_history_find(e->answered, &st->fingerprint);
	if (x.began_ms != SS_NEVER && w->o->evidence != PARTS_CRASHES)
		crash_log_add(&e->log, &x);
}

static void receive_changes(struct world *w, struct entry *e)
{
	GArray *states =
		g_array_new(FALSE, FALSE, sizeof(struct suspect_state));

	e->received = suspects_changes(w->leader, e->received, TABLE_CAPACITY,
				       w->now, states);
	for (guint i = 0; i < states->len; i++)
		receive_state(w, e,
			      &g_array_index(states, struct suspect_state, i));
	if (states->len)
		e->reported = suspects_mark(e->suspects);
	count_message(w, states->len, STATE_BYTES);
	w->r->leader_bytes_out +=
		states->len ? FRAME_BYTES + states->len * STATE_BYTES : 0;
	g_array_unref(states);
}

static void exchange(struct world *w, struct entry *e)
{
	if (e->leadership != w->leadership) {
		crash_log_rewind(&e->log);
		e->reported = e->received = 0;
		e->leadership = w->leadership;
		suspects_set_deferring(e->suspects, true);
	}
	report(w, e);
	receive_changes(w, e);
}

/* Runs. */

static void note_answered(struct world *w, const struct run *r)
{
	struct entry *e = &w->entries[r->entry];

	for (int k = 0; k < r->n; k++) {
		struct run_outcome x = { r->parts[k], OUTCOME_ANSWERED, 0,
					 w->now, r->sent_ms };

		answer_history_add(e->answered, &r->parts[k], r->sent_ms);
		if (suspects_answered(e->suspects, &r->parts[k], r->sent_ms,
				      w->now))
			crash_log_add(&e->log, &x);
	}
}

static void note_crash(struct world *w, const struct run *r,
		       uint64_t incarnation)
{
	struct entry *e = &w->entries[r->entry];

	for (int k = 0; k < r->n; k++) {
		struct run_outcome x = { r->parts[k], OUTCOME_CRASHED,
					 incarnation, w->now, r->sent_ms };
		struct suspect_crash c = { incarnation, w->now, r->sent_ms,
					   answered_ms(w, e, &r->parts[k]) };

		crash_log_add(&e->log, &x);
		suspects_add_crash(e->suspects, &r->parts[k], &c, w->now);
	}
}

static void crash(struct world *w, struct endpoint *p)
{
	if (p->down_until_ms > w->now)
		return;
	w->r->crashes++;
	for (guint i = 0; i < p->runs->len; i++)
		note_crash(w, &g_array_index(p->runs, struct run, i),
			   p->incarnation);
	g_array_set_size(p->runs, 0);
	p->incarnation = ++w->incarnations;
	p->down_until_ms = w->now + RESTART_MS;
}

static void crash_by_poison(struct world *w, struct endpoint *p)
{
	crash(w, p);
	w->r->poison_crashes++;
	if (w->r->poison_crashes == 3)
		w->third_ms = w->now;
	if (w->r->poison_crashes == 5)
		w->fifth_ms = w->now;
}

static void advance_runs(struct world *w, struct endpoint *p)
{
	for (guint i = p->runs->len; i-- > 0;) {
		struct run *r = &g_array_index(p->runs, struct run, i);
		bool done = w->now >= r->end_ms;

		if (r->poison && w->now >= r->sent_ms + CRASH_MS) {
			crash_by_poison(w, p);
			return;
		}
		if (!r->poison && !r->proved &&
		    (done ||
		     w->now >= r->sent_ms + FIRST_EVENT_MS + PROOF_MS)) {
			r->proved = true;
			if (done || w->o->evidence != PARTS_CRASHES)
				note_answered(w, r);
		}
		if (done)
			g_array_remove_index_fast(p->runs, i);
	}
}

/* Arrivals. */

static struct endpoint *any_up(struct world *w)
{
	int first = below(w, w->o->endpoints);

	for (int k = 0; k < w->o->endpoints; k++) {
		struct endpoint *p = &w->eps[(first + k) % w->o->endpoints];

		if (p->down_until_ms <= w->now)
			return p;
	}
	return NULL;
}

/* Returns true if an entry may send the request; as a trial run if *r says so
 * then. */
static bool admitted(struct world *w, struct entry *e, struct run *r)
{
	int64_t most = -1, wait;
	int hits = 0;

	for (int k = 0; k < r->n; k++) {
		int64_t left = suspects_remaining_ms(e->suspects, &r->parts[k],
						     w->now);

		hits += left >= 0;
		if (left > most) {
			most = left;
			r->on_trial = r->parts[k];
		}
	}
	if (hits > 1)
		most = suspects_remaining_ms(e->suspects, &r->on_trial,
					     w->now - MIXED_TRIAL_DELAY_MS);
	if (most < 0)
		return true;
	if (most > 0 || !w->leader || w->o->evidence == PARTS_ALONE)
		return false;
	if (suspects_admit(w->leader, &r->on_trial, w->now, &wait) ==
	    SUSPECT_WAIT)
		return false;
	r->trial = true;
	write_record(w, &(struct suspect_state){ .fingerprint = r->on_trial });
	return true;
}

static void count_sound(struct world *w, bool begun)
{
	int *counts = w->now < w->o->poison_from_ms ? w->before : w->after;
	bool calm = w->fifth_ms ? w->now - w->fifth_ms > 2 * KNOWN_MS :
				  w->now - w->o->poison_from_ms > 3 * KNOWN_MS;

	if (w->now >= w->o->poison_from_ms && !calm)
		return;
	counts[0] += begun;
	counts[1]++;
}

static void count_poison_sent(struct world *w, const struct entry *e)
{
	if (w->now - e->connected_ms < KNOWN_MS || !w->leader)
		return;
	w->r->after_third += w->third_ms && w->now - w->third_ms > KNOWN_MS;
	w->r->after_fifth += w->fifth_ms && w->now - w->fifth_ms > KNOWN_MS;
}

static void arrive(struct world *w, bool poison)
{
	struct entry *e = &w->entries[below(w, w->o->entries)];
	struct endpoint *p = any_up(w);
	struct run r = { .entry = (int)(e - w->entries),
			 .sent_ms = w->now,
			 .poison = poison };
	bool begun;

	r.parts[r.n++] = part_no(1, 0);
	r.parts[r.n++] = part_no(2, by_popularity(w, w->o->middles));
	if (poison || (w->o->poison_was_sound &&
		       w->now < w->o->poison_from_ms && uniform(w) < 0.1))
		r.parts[r.n++] = w->poison;
	else
		r.parts[r.n++] = part_no(3, by_popularity(w, w->o->documents));
	r.end_ms = w->now + FIRST_EVENT_MS + ANSWER_MIN_MS +
		   below(w, ANSWER_MAX_MS);
	begun = admitted(w, e, &r) && p;
	if (!poison) {
		count_sound(w, begun);
		w->r->refused_sound += !begun && p;
	} else if (begun) {
		count_poison_sent(w, e);
	}
	if (begun)
		g_array_append_val(p->runs, r);
}

static void arrivals(struct world *w, double per_s, bool poison)
{
	double n = per_s * STEP_MS / 1000;

	for (; n > 0; n--)
		if (uniform(w) < n)
			arrive(w, poison);
}

/* Faults. */

static bool is_due(const struct world *w, int64_t interval_ms)
{
	return interval_ms && w->passed_ms % interval_ms < STEP_MS &&
	       w->passed_ms >= interval_ms;
}

/* Nothing happens for PARTS_JUMP_MS. */
static void jump(struct world *w)
{
	w->now += PARTS_JUMP_MS / STEP_MS * STEP_MS;
	for (int i = 0; i < w->o->entries; i++)
		w->entries[i].connected_ms = w->now;
}

static void faults(struct world *w)
{
	if (uniform(w) < w->o->kills_per_s * STEP_MS / 1000)
		crash(w, &w->eps[below(w, w->o->endpoints)]);
	if (is_due(w, w->o->kill_half_ms))
		for (int i = 0; i < w->o->endpoints; i += 2)
			crash(w, &w->eps[i]);
	if (is_due(w, w->o->power_loss_ms) && w->leader)
		lose_power(w);
	else if (is_due(w, w->o->leader_loss_ms) && w->leader)
		lose_leader(w);
	if (is_due(w, w->o->jump_ms))
		jump(w);
}

static void count_blamed(struct world *w)
{
	size_t n = w->leader ? suspects_quarantined_parts(w->leader) : 0;

	if (w->leader &&
	    suspects_remaining_ms(w->leader, &w->poison, w->now) >= 0)
		n--;
	if (n > w->blamed)
		w->r->blamed += (int)(n - w->blamed);
	w->blamed = n;
	w->r->blamed_s += (double)n * STEP_MS / 1000;
}

static void step(struct world *w, int64_t passed_ms)
{
	int64_t every = MAX(w->o->report_ms / STEP_MS, 1);

	w->now += STEP_MS;
	w->passed_ms = passed_ms;
	faults(w);
	if (!w->leader && w->now >= w->leader_from_ms)
		elect(w);
	for (int i = 0; i < w->o->endpoints; i++)
		advance_runs(w, &w->eps[i]);
	arrivals(w, w->o->sound_per_s, false);
	if (passed_ms >= w->o->poison_from_ms)
		arrivals(w, w->o->poison_per_s, true);
	for (int i = 0; i < w->o->entries; i++) {
		suspects_tick(w->entries[i].suspects, w->now);
		if (w->leader && w->o->evidence != PARTS_ALONE &&
		    (passed_ms / STEP_MS + i) % every == 0)
			exchange(w, &w->entries[i]);
	}
	if (w->leader) {
		suspects_tick(w->leader, w->now);
		write_log(w);
	}
	count_blamed(w);
}

void parts_run(const struct parts_options *o, struct parts_result *r)
{
	struct world w = { .o = o, .r = r, .seed = o->seed };

	*r = (struct parts_result){ 0 };
	w.poison = part_no(9, 0);
	w.log = g_array_new(FALSE, FALSE, sizeof(struct record));
	w.entries = g_new0(struct entry, o->entries);
	w.eps = g_new0(struct endpoint, o->endpoints);
	for (int i = 0; i < o->entries; i++)
		entry_start(&w, &w.entries[i]);
	for (int i = 0; i < o->endpoints; i++) {
		w.eps[i].incarnation = ++w.incarnations;
		w.eps[i].runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	}
	elect(&w);
	for (int64_t ms = 0; ms < o->length_ms; ms += STEP_MS)
		step(&w, ms);
	r->sound_before = (double)w.before[0] / MAX(w.before[1], 1);
	r->sound_after = (double)w.after[0] / MAX(w.after[1], 1);
	for (int i = 0; i < o->entries; i++)
		entry_stop(&w.entries[i]);
	for (int i = 0; i < o->endpoints; i++)
		g_array_unref(w.eps[i].runs);
	suspects_free(w.leader);
	g_array_unref(w.log);
	g_free(w.entries);
	g_free(w.eps);
}
