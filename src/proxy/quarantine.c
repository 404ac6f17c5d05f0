/*
 * Quarantine: a request that too many endpoints crashed on is refused at once,
 * or run as a trial where the leader allows it.
 */
#include "gate_int.h"

#include "../base/log.h"

/* Retry-After where it isn't known when a trial run will be allowed: by then a
 * leader is usually found, or the trial run in progress has ended. */
#define TRIAL_RETRY_AFTER_MS 2000
/* Timeout of the leader's reply to a request for a trial run. */
#define TRIAL_REPLY_TIMEOUT_MS 500
/* Maximum number of outcomes, and of suspects, in one message: some 3 KB. */
#define ITEMS_PER_MESSAGE 64
/* Older outcomes are no longer reported to a leader. */
#define OUTCOME_MAX_AGE_MS (60 * 60 * 1000LL)

const struct fingerprint *forward_fingerprint(struct forward *f)
{
	const struct http1_head *h = caller_call_head(f->caller);

	if (!f->has_fingerprint)
		f->fingerprint = fingerprint_of(
			h->method, http1_value(h, "Host"), h->target, f->body);
	f->has_fingerprint = true;
	return &f->fingerprint;
}

/* Outcomes of requests that this entry observes. */

static void record(struct gate *g, const struct fingerprint *fp,
		   enum run_outcome_kind kind, uint64_t incarnation_hash)
{
	struct run_outcome e = { *fp, kind, incarnation_hash, gate_now(g) };

	crash_log_add(&g->crash_log, &e);
}

/* Refuses waiting requests that a change of the suspects has quarantined, or
 * asks the leader for their trial runs. */
static void block_quarantined(struct gate *g)
{
	GList *all = g_hash_table_get_keys(g->forwards);

	for (GList *p = all; p; p = p->next) {
		struct forward *f = p->data;

		if (g_hash_table_contains(g->forwards, f) &&
		    f->state == FORWARD_WAIT_ENDPOINT)
			quarantine_blocks(f);
	}
	g_list_free(all);
}

void quarantine_note_crash(struct gate *g, const struct fingerprint *fp,
			   uint64_t incarnation_hash)
{
	int64_t now = gate_now(g);
	bool quarantined = suspects_remaining_ms(g->suspects, fp, now) >= 0;

	record(g, fp, OUTCOME_CRASHED, incarnation_hash);
	suspects_add_crash(g->suspects, fp, incarnation_hash, now);
	if (!quarantined && suspects_remaining_ms(g->suspects, fp, now) >= 0)
		block_quarantined(g);
}

void quarantine_note_answer(struct forward *f)
{
	struct gate *g = f->g;

	if (!suspects_any(g->suspects) ||
	    !suspects_answered(g->suspects, forward_fingerprint(f),
			       gate_now(g)))
		return;
	record(g, &f->fingerprint, OUTCOME_ANSWERED, 0);
	f->trial_reported = true;
}

void quarantine_end_trial(struct forward *f)
{
	if (f->trial_run && !f->trial_reported)
		record(f->g, &f->fingerprint, OUTCOME_INCONCLUSIVE, 0);
}

/* Refusals and trial runs. */

static void refuse(struct forward *f, int64_t retry_after_ms)
{
	static const char why[] =
		"endpoints have ended while they ran this request";

	(*f->g->n_quarantined)++;
	if (f->started)
		forward_end(f, false, why);
	else if (f->may_have_run)
		forward_refuse(f, 502, "lost", why, 0);
	else
		forward_refuse(f, 503, "quarantined", why, retry_after_ms);
}

static void request_trial(struct forward *f)
{
	struct gate *g = f->g;
	struct msg_trial m = { .sub = ++g->ticket,
			       .fingerprint_hi = f->fingerprint.hi,
			       .fingerprint_lo = f->fingerprint.lo };

	if (!g->o.ops->request_trial(g->o.arg, &m)) {
		refuse(f, TRIAL_RETRY_AFTER_MS);
		return;
	}
	if (f->queue)
		model_queue_remove(f);
	forward_leave_endpoint(f);
	f->ticket = m.sub;
	f->state = FORWARD_WAIT_TRIAL;
	f->sent_ms = gate_now(g);
	g_hash_table_insert(g->tickets, &f->ticket, f);
}

bool quarantine_blocks(struct forward *f)
{
	struct gate *g = f->g;
	int64_t left;

	if (!suspects_any_quarantined(g->suspects))
		return false;
	left = suspects_remaining_ms(g->suspects, forward_fingerprint(f),
				     gate_now(g));
	/* A trial run is sent to one endpoint only, and never again. */
	if (left < 0 || (f->trial_run && f->sends == 0))
		return false;
	if (left > 0)
		refuse(f, left);
	else if (f->trial_run)
		refuse(f, TRIAL_RETRY_AFTER_MS);
	else
		request_trial(f);
	return true;
}

void quarantine_trial_tick(struct forward *f, int64_t now)
{
	if (now - f->sent_ms >= TRIAL_REPLY_TIMEOUT_MS)
		refuse(f, TRIAL_RETRY_AFTER_MS);
}

void gate_trial_received(struct gate *g, const struct msg_trial *m)
{
	struct forward *f = g_hash_table_lookup(g->tickets, &m->sub);
	struct fingerprint fp = { m->fingerprint_hi, m->fingerprint_lo };
	struct suspect_state cleared = { .fingerprint = fp, .cleared = true };
	char *service;

	if (m->admission == SUSPECT_FREE)
		suspects_apply(g->suspects, &cleared, gate_now(g));
	if (!f || f->state != FORWARD_WAIT_TRIAL) {
		/* The caller has left meanwhile. */
		if (m->admission == SUSPECT_TRIAL)
			record(g, &fp, OUTCOME_INCONCLUSIVE, 0);
		return;
	}
	if (m->admission == SUSPECT_WAIT) {
		refuse(f, MAX(m->wait_ms, 1));
		return;
	}
	g_hash_table_remove(g->tickets, &f->ticket);
	f->trial_run = m->admission == SUSPECT_TRIAL;
	log_info("trial", "request=%s allowed=%d", f->id, f->trial_run);
	service = g_strdup(f->service->name);
	forward_enqueue(f);
	gate_dispatch(g, service);
	g_free(service);
}

/* Reports to the leader and its decisions. */

void gate_leader_found(struct gate *g)
{
	crash_log_rewind(&g->crash_log);
	g->suspects_mark = 0;
	g->streams_reported = 0;
	quota_lease.clients_link(g->quota_client, NULL, true, gate_now(g));
	quota_lease.clients_link(g->limit_client, NULL, true, gate_now(g));
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

		suspects_apply(g->suspects, &w, now);
		if (w.cleared)
			crash_log_remove_crashes(&g->crash_log, &w.fingerprint);
	}
	/* What the leader has sent isn't reported back to it. */
	if (leader_knows)
		g->suspects_mark = suspects_mark(g->suspects);
	block_quarantined(g);
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

bool gate_crash_report(struct gate *g, struct gate_crash_report *r)
{
	size_t n;
	const struct run_outcome *e =
		crash_log_next(&g->crash_log, ITEMS_PER_MESSAGE, &n);

	if (!n && g->suspects_mark == suspects_mark(g->suspects))
		return false;
	r->crashes = g_array_new(FALSE, FALSE, sizeof(struct run_outcome_item));
	r->recalled = g_array_new(FALSE, FALSE, sizeof(struct suspect_item));
	for (size_t i = 0; i < n; i++) {
		struct run_outcome_item x = { e[i].fingerprint.hi,
					      e[i].fingerprint.lo, e[i].kind,
					      e[i].incarnation_hash,
					      gate_now(g) - e[i].at_ms };

		g_array_append_val(r->crashes, x);
	}
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
		crash_log_reported(&g->crash_log, r->crashes->len);
		g->suspects_mark = r->recall;
	}
	g_array_unref(r->crashes);
	g_array_unref(r->recalled);
}

void quarantine_tick(struct gate *g, int64_t now)
{
	suspects_tick(g->suspects, now);
	crash_log_expire(&g->crash_log, now - OUTCOME_MAX_AGE_MS);
}
