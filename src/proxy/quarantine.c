/*
 * Quarantine: a request is refused at once, or run as a trial where the leader
 * allows it, if too many endpoints crashed while they ran it or a part of its
 * prompt.
 */
#include "gate_int.h"

#include "../base/log.h"

/* Retry-After where it isn't known when a trial run will be allowed: by then a
 * leader is usually found, or the trial run in progress has ended. */
#define TRIAL_RETRY_AFTER_MS 2000
/* Retry-After of a request that only an operator can allow: sooner it is
 * refused again. */
#define LIFT_RETRY_AFTER_MS (24 * 3600 * 1000LL)
/* Timeout of the leader's reply to a request for a trial run. */
#define TRIAL_REPLY_TIMEOUT_MS 500
/* A request that carries several quarantined suspects asks for a trial run this
 * much later than one with a single suspect, whose trial tells more, in ms. */
#define MIXED_TRIAL_DELAY_MS 5000
/* A stream that goes on this long after its first event, in ms, shows that the
 * endpoint withstands its prompt: a poison part crashes it as the answer
 * begins. */
#define ANSWER_PROOF_MS 500
/* Older outcomes are no longer reported to a leader. */
#define OUTCOME_MAX_AGE_MS (60 * 60 * 1000LL)
/* An entry that hasn't run for this long, in ms, can't tell what is answered
 * elsewhere. */
#define HISTORY_WARMUP_MS 10000

const struct fingerprint *forward_fingerprint(struct forward *f)
{
	const struct http1_head *h = caller_call_head(f->caller);

	if (!f->has_fingerprint)
		f->fingerprint = fingerprint_of(
			h->method, http1_value(h, "Host"), h->target, f->body);
	f->has_fingerprint = true;
	return &f->fingerprint;
}

/* Outcomes of runs that this entry observes. */

static void record(struct gate *g, const struct fingerprint *fp,
		   enum run_outcome_kind kind, uint64_t incarnation_hash,
		   int64_t began_ms)
{
	struct run_outcome e = { *fp, kind, incarnation_hash, gate_now(g),
				 began_ms };

	crash_log_add(&g->crash_log, &e);
}

int64_t quarantine_answered_ms(const struct gate *g,
			       const struct fingerprint *fp)
{
	int64_t ms = answer_history_find(g->answered_parts, fp);

	if (ms != SS_NEVER || !fingerprint_is_part(fp) ||
	    gate_now(g) - g->since_ms >= HISTORY_WARMUP_MS)
		return ms;
	return g->since_ms;
}

void quarantine_note_crash(struct gate *g, const struct fingerprint *fp,
			   uint64_t incarnation_hash, int64_t began_ms)
{
	int64_t now = gate_now(g);
	struct suspect_crash c = { .incarnation_hash = incarnation_hash,
				   .crashed_ms = now,
				   .began_ms = began_ms,
				   .answered_ms =
					   quarantine_answered_ms(g, fp) };

	record(g, fp, OUTCOME_CRASHED, incarnation_hash, began_ms);
	suspects_add_crash(g->suspects, fp, &c, now);
}

void quarantine_end_crash(struct gate *g)
{
	if (suspects_any_quarantined(g->suspects))
		quarantine_stop_requests(g);
}

static void note_answered(struct forward *f, const struct fingerprint *fp)
{
	struct gate *g = f->g;

	if (!suspects_answered(g->suspects, fp, f->sent_ms, gate_now(g)))
		return;
	record(g, fp, OUTCOME_ANSWERED, 0, f->sent_ms);
	f->trial_reported = true;
}

static void note_parts_answered(struct forward *f)
{
	struct ss_str parts = prompt_shared(f->call.prompt);
	struct gate *g = f->g;
	struct fingerprint fp;

	while (prompt_next_fingerprint(&parts, &fp)) {
		answer_history_add(g->answered_parts, &fp, f->sent_ms);
		if (suspects_any(g->suspects))
			note_answered(f, &fp);
	}
}

void quarantine_note_answer(struct forward *f)
{
	if (f->status / 100 == 2)
		note_parts_answered(f);
	if (suspects_any(f->g->suspects))
		note_answered(f, forward_fingerprint(f));
}

void quarantine_note_events(struct forward *f)
{
	int64_t now = gate_now(f->g);

	if (!f->first_event_ms)
		f->first_event_ms = now;
	if (f->answer_proved || now - f->first_event_ms < ANSWER_PROOF_MS)
		return;
	f->answer_proved = true;
	note_parts_answered(f);
}

void quarantine_end_trial(struct forward *f)
{
	if (f->trial_run && !f->trial_reported)
		record(f->g, &f->trial_fingerprint, OUTCOME_INCONCLUSIVE, 0, 0);
}

/* What blocks a request. */

struct quarantine_hit {
	struct fingerprint fp; /* the suspect that blocks for longest */
	int64_t left_ms;       /* until it may ask for a trial run; -1: nothing
				* blocks */
	unsigned int suspects;
};

static void check_suspect(const struct gate *g, const struct fingerprint *fp,
			  struct quarantine_hit *hit)
{
	int64_t left = suspects_remaining_ms(g->suspects, fp, gate_now(g));

	if (left < 0)
		return;
	hit->suspects++;
	if (left <= hit->left_ms)
		return;
	hit->left_ms = left;
	hit->fp = *fp;
}

static struct quarantine_hit check_quarantine(struct forward *f)
{
	struct quarantine_hit hit = { .left_ms = -1 };
	struct ss_str parts = prompt_shared(f->call.prompt);
	struct gate *g = f->g;
	struct fingerprint fp;

	if (!suspects_any_quarantined(g->suspects))
		return hit;
	check_suspect(g, forward_fingerprint(f), &hit);
	while (prompt_next_fingerprint(&parts, &fp))
		check_suspect(g, &fp, &hit);
	if (hit.suspects > 1)
		hit.left_ms = suspects_remaining_ms(
			g->suspects, &hit.fp,
			gate_now(g) - MIXED_TRIAL_DELAY_MS);
	return hit;
}

/* Refusals and trial runs. */

static void refuse(struct forward *f, const struct fingerprint *fp,
		   int64_t left_ms)
{
	static const char why[] =
		"endpoints have ended while they ran this request";
	static const char lasting[] =
		"endpoints have ended while they ran this request; "
		"an operator has to allow it";
	bool for_good = left_ms > SUSPECT_FOREVER_MS / 2;
	char text[FINGERPRINT_TEXT_SIZE];

	(*f->g->n_quarantined)++;
	suspects_note_refused(f->g->suspects, fp);
	log_info("refused_quarantined",
		 "request=%s print=%s left_ms=%" PRId64 " for_good=%d", f->id,
		 fingerprint_text(fp, text), left_ms, for_good);
	if (f->started)
		forward_end(f, false, why);
	else if (f->may_have_run)
		forward_refuse(f, 502, "lost", why, 0);
	else
		forward_refuse(f, 503, "quarantined", for_good ? lasting : why,
			       for_good ? LIFT_RETRY_AFTER_MS : left_ms);
}

static void request_trial(struct forward *f, const struct fingerprint *fp)
{
	struct gate *g = f->g;
	struct msg_trial m = { .sub = ++g->ticket,
			       .fingerprint_hi = fp->hi,
			       .fingerprint_lo = fp->lo };

	f->trial_fingerprint = *fp;
	if (!g->o.ops->request_trial(g->o.arg, &m)) {
		refuse(f, fp, TRIAL_RETRY_AFTER_MS);
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

bool quarantine_refuses(struct forward *f)
{
	struct quarantine_hit hit = check_quarantine(f);

	if (hit.left_ms <= 0)
		return false;
	refuse(f, &hit.fp, hit.left_ms);
	return true;
}

bool quarantine_blocks(struct forward *f)
{
	struct quarantine_hit hit = check_quarantine(f);

	/* A trial run is sent to one endpoint only, and never again. */
	if (hit.left_ms < 0 || (f->trial_run && f->sends == 0))
		return false;
	if (hit.left_ms > 0)
		refuse(f, &hit.fp, hit.left_ms);
	else if (f->trial_run)
		refuse(f, &hit.fp, TRIAL_RETRY_AFTER_MS);
	else
		request_trial(f, &hit.fp);
	return true;
}

/* Takes a request back from an endpoint that may not have begun to run it yet:
 * each that it doesn't begin saves the endpoint and all that runs there. */
static void stop_sent(struct forward *f)
{
	struct quarantine_hit hit = check_quarantine(f);

	if (f->trial_run || hit.left_ms < 0)
		return;
	f->may_have_run = true;
	refuse(f, &hit.fp, MAX(hit.left_ms, 1));
}

static void stop_request(struct forward *f)
{
	if (f->state == FORWARD_WAIT_ENDPOINT)
		quarantine_blocks(f);
	else if (f->state == FORWARD_SENT)
		stop_sent(f);
	else if (f->state < FORWARD_SENT && f->state != FORWARD_WAIT_TRIAL &&
		 !f->trial_run)
		quarantine_refuses(f);
}

void quarantine_stop_requests(struct gate *g)
{
	GList *all = g_hash_table_get_keys(g->forwards);

	for (GList *p = all; p; p = p->next)
		if (g_hash_table_contains(g->forwards, p->data))
			stop_request(p->data);
	g_list_free(all);
}

void quarantine_trial_tick(struct forward *f, int64_t now)
{
	if (now - f->sent_ms >= TRIAL_REPLY_TIMEOUT_MS)
		refuse(f, &f->trial_fingerprint, TRIAL_RETRY_AFTER_MS);
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
			record(g, &fp, OUTCOME_INCONCLUSIVE, 0, 0);
		return;
	}
	if (m->admission == SUSPECT_WAIT) {
		refuse(f, &fp, MAX(m->wait_ms, 1));
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

void quarantine_tick(struct gate *g, int64_t now)
{
	suspects_tick(g->suspects, now);
	crash_log_expire(&g->crash_log, now - OUTCOME_MAX_AGE_MS);
}
