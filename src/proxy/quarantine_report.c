/* Crash reports: what the entry and the leader tell each other about suspects
 * and quarantines. */
#include "gate_int.h"

#include "../base/log.h"

/* Maximum number of outcomes, and of suspects, in one message: some 3 KB. */
#define ITEMS_PER_MESSAGE 64
/* Interval of reports of refused requests, in ms. */
#define REFUSED_INTERVAL_MS 1000

void gate_leader_found(struct gate *g)
{
	crash_log_rewind(&g->crash_log);
	g->suspects_mark = 0;
	suspects_set_deferring(g->suspects, true);
	g->streams_reported = 0;
	quota_lease.clients_link(g->quota_client, NULL, true, gate_now(g));
	quota_lease.clients_link(g->limit_client, NULL, true, gate_now(g));
}

/* Tells the leader that a part which it has quarantined was answered here: it
 * may have heard only from entries that didn't see that. */
static void report_earlier_answer(struct gate *g, const struct fingerprint *fp)
{
	struct run_outcome e = { .fingerprint = *fp,
				 .kind = OUTCOME_ANSWERED,
				 .at_ms = gate_now(g),
				 .began_ms = answer_history_find(
					 g->answered_parts, fp) };

	if (e.began_ms != SS_NEVER)
		crash_log_add(&g->crash_log, &e);
}

static void apply_suspect(struct gate *g, const struct suspect_state *w,
			  int64_t now)
{
	bool was = suspects_remaining_ms(g->suspects, &w->fingerprint, now) >=
		   0;
	char text[FINGERPRINT_TEXT_SIZE];
	int64_t left;

	suspects_apply(g->suspects, w, now);
	left = suspects_remaining_ms(g->suspects, &w->fingerprint, now);
	if (!was && left >= 0)
		log_warn("quarantine_received", "print=%s term_ms=%" PRId64,
			 fingerprint_text(&w->fingerprint, text), left);
}

void gate_quarantine_received(struct gate *g, const struct msg_quarantine *m)
{
	const struct suspect_item *x = m->suspects.items;
	bool leader_knows = g->suspects_mark == suspects_mark(g->suspects);
	int64_t now = gate_now(g);

	/* Messages of a leader that was replaced may still arrive. */
	if (m->fence < g->fence)
		return;
	for (size_t i = 0; i < m->suspects.n; i++) {
		struct suspect_state w = { { x[i].fingerprint_hi,
					     x[i].fingerprint_lo },
					   x[i].cleared,
					   x[i].remaining_ms,
					   x[i].failed_trials };

		apply_suspect(g, &w, now);
		if (w.cleared)
			crash_log_remove_crashes(&g->crash_log, &w.fingerprint,
						 INT64_MAX);
		else
			report_earlier_answer(g, &w.fingerprint);
	}
	/* What the leader has sent isn't reported back to it. */
	if (leader_knows)
		g->suspects_mark = suspects_mark(g->suspects);
	quarantine_stop_requests(g);
}

static void add_suspects(struct gate *g, struct gate_crash_report *r)
{
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct suspect_state));

	r->recall = suspects_changes(g->suspects, g->suspects_mark,
				     ITEMS_PER_MESSAGE, gate_now(g), changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct suspect_state *w =
			&g_array_index(changes, struct suspect_state, i);
		struct suspect_item x = { w->fingerprint.hi, w->fingerprint.lo,
					  w->cleared, w->remaining_ms,
					  w->failed_trials };

		if (!w->cleared)
			g_array_append_val(r->recalled, x);
	}
	g_array_unref(changes);
}

static void add_outcome(const struct gate *g, const struct run_outcome *e,
			GArray *out)
{
	int64_t now = gate_now(g);
	struct run_outcome_item x = { .fingerprint_hi = e->fingerprint.hi,
				      .fingerprint_lo = e->fingerprint.lo,
				      .kind = e->kind,
				      .incarnation_hash = e->incarnation_hash,
				      .age_ms = now - e->at_ms,
				      .began_age_ms = now - e->began_ms };
	int64_t answered = SS_NEVER;

	if (e->kind == OUTCOME_CRASHED)
		answered = quarantine_answered_ms(g, &e->fingerprint);
	if (answered != SS_NEVER)
		x.answered_age_ms = now - answered + 1;
	g_array_append_val(out, x);
}

/* Adds how many requests were refused for each quarantine, for operators. */
static void add_refused(struct gate *g, GArray *out)
{
	int64_t now = gate_now(g);
	GArray *all;

	if (now - g->refused_reported_ms < REFUSED_INTERVAL_MS)
		return;
	g->refused_reported_ms = now;
	all = g_array_new(FALSE, FALSE, sizeof(struct suspect_info));
	suspects_take_refused(g->suspects, ITEMS_PER_MESSAGE, all);
	for (guint i = 0; i < all->len; i++) {
		const struct suspect_info *s =
			&g_array_index(all, struct suspect_info, i);
		struct run_outcome_item x = {
			.fingerprint_hi = s->state.fingerprint.hi,
			.fingerprint_lo = s->state.fingerprint.lo,
			.kind = OUTCOME_REFUSED,
			.count = s->refused
		};

		g_array_append_val(out, x);
	}
	g_array_unref(all);
}

bool gate_crash_report(struct gate *g, struct gate_crash_report *r)
{
	size_t n;
	const struct run_outcome *e =
		crash_log_next(&g->crash_log, ITEMS_PER_MESSAGE, &n);

	r->crashes = g_array_new(FALSE, FALSE, sizeof(struct run_outcome_item));
	add_refused(g, r->crashes);
	r->n_refused = r->crashes->len;
	if (!n && !r->n_refused &&
	    g->suspects_mark == suspects_mark(g->suspects)) {
		g_array_unref(r->crashes);
		return false;
	}
	r->recalled = g_array_new(FALSE, FALSE, sizeof(struct suspect_item));
	for (size_t i = 0; i < n; i++)
		add_outcome(g, &e[i], r->crashes);
	add_suspects(g, r);
	r->m.outcomes = (struct wire_list){ r->crashes->data, r->crashes->len };
	r->m.suspects =
		(struct wire_list){ r->recalled->data, r->recalled->len };
	return true;
}

void gate_crash_report_done(struct gate *g, struct gate_crash_report *r,
			    bool sent)
{
	if (sent) {
		crash_log_reported(&g->crash_log,
				   r->crashes->len - r->n_refused);
		g->suspects_mark = r->recall;
	}
	g_array_unref(r->crashes);
	g_array_unref(r->recalled);
}
