/* The leader's part in stopping what crashes endpoints: it collects the
 * entries' observations, sends the quarantines to all entries, and admits trial
 * runs. */
#include "fleet_leader_int.h"

#include <json-c/json.h>

/* Capacity of the table, the same as in an entry: the number of requests that a
 * fleet of 200 endpoints runs at a time. */
#define MAX_SUSPECTS 4096
/* Suspects in one message, about 2 KB. More of them take several ticks, which
 * bounds what is sent to hundreds of entries at a time. */
#define SUSPECTS_PER_MESSAGE 64
/* Wait before the next request for a trial run that couldn't be recorded, in
 * ms: another leader is elected by then. */
#define TRIAL_NOT_LOGGED_WAIT_MS 2000
/* Suspects listed in the status; the metrics have the total. */
#define MAX_STATUS_SUSPECTS 64

void fleet_suspects_begin(struct fleet_leader *l)
{
	/* A trial run that a former leader admitted may still be running. */
	struct suspects_options o = { .capacity = MAX_SUSPECTS,
				      .trial_hold_ms =
					      SUSPECT_TRIAL_TIMEOUT_MS };
	struct metrics *m = l->d->metrics;

	l->suspects = suspects_new(&o, l->since_ms);
	l->n_suspects = metrics_value(m, "ss_fleet_suspects", "");
	l->n_quarantined = metrics_value(m, "ss_fleet_quarantined", "");
	l->n_quarantined_parts =
		metrics_value(m, "ss_fleet_quarantined_parts", "");
	fleet_quarantine_log_begin(l);
}

void fleet_suspects_end(struct fleet_leader *l)
{
	fleet_quarantine_log_end(l);
	suspects_free(l->suspects);
}

static bool is_quarantined(const struct fleet_leader *l,
			   const struct fingerprint *fp, int64_t now)
{
	return suspects_remaining_ms(l->suspects, fp, now) >= 0;
}

/* Logs a request that has just been quarantined. */
static void log_quarantined(const struct fleet_leader *l,
			    const struct fingerprint *fp, bool was_quarantined,
			    const char *cause, int64_t now)
{
	char text[FINGERPRINT_TEXT_SIZE];

	if (!was_quarantined && is_quarantined(l, fp, now))
		log_warn("quarantined", "print=%s by=\"%s\" term_ms=%" PRId64,
			 fingerprint_text(fp, text), cause,
			 suspects_remaining_ms(l->suspects, fp, now));
}

static void record_crash(struct fleet_leader *l,
			 const struct run_outcome_item *x, int64_t now)
{
	struct fingerprint fp = { x->fingerprint_hi, x->fingerprint_lo };
	bool was_quarantined = is_quarantined(l, &fp, now);
	struct suspect_crash c = { .incarnation_hash = x->incarnation_hash,
				   .crashed_ms = now - x->age_ms,
				   .began_ms = now - x->began_age_ms,
				   .answered_ms = SS_NEVER };
	char text[FINGERPRINT_TEXT_SIZE];
	unsigned int n;

	if (x->answered_age_ms)
		c.answered_ms = now - x->answered_age_ms + 1;
	n = suspects_add_crash(l->suspects, &fp, &c, now);
	/* A single crash isn't logged: every request that ran on the endpoint
	 * is reported for it. */
	if (n > 1)
		log_info("suspect", "print=%s ends=%u told_late_ms=%" PRId64,
			 fingerprint_text(&fp, text), n, x->age_ms);
	log_quarantined(l, &fp, was_quarantined, "ends", now);
}

static void merge_state(struct fleet_leader *l, const struct suspect_item *x,
			int64_t now)
{
	struct suspect_state w = { { x->fingerprint_hi, x->fingerprint_lo },
				   x->cleared,
				   x->remaining_ms,
				   x->failed_trials };
	bool was_quarantined = is_quarantined(l, &w.fingerprint, now);

	suspects_merge(l->suspects, &w, now);
	log_quarantined(l, &w.fingerprint, was_quarantined, "an entry's report",
			now);
}

static void clear_suspect(struct fleet_leader *l,
			  const struct run_outcome_item *x, int64_t now)
{
	struct fingerprint fp = { x->fingerprint_hi, x->fingerprint_lo };
	bool was_quarantined = is_quarantined(l, &fp, now);
	char text[FINGERPRINT_TEXT_SIZE];

	if (suspects_answered(l->suspects, &fp, now - x->began_age_ms, now) &&
	    !is_quarantined(l, &fp, now))
		log_info("suspect_cleared", "print=%s quarantined=%d",
			 fingerprint_text(&fp, text), was_quarantined);
}

static void cancel_trial(struct fleet_leader *l, const struct fingerprint *fp,
			 int64_t now)
{
	suspects_cancel_trial(l->suspects, fp);
	if (is_quarantined(l, fp, now))
		fleet_quarantine_log_put(l, fp, NULL, NULL);
}

void fleet_suspects_apply(struct fleet_leader *l,
			  const struct msg_run_outcomes *m)
{
	const struct run_outcome_item *x = m->outcomes.items;
	const struct suspect_item *r = m->suspects.items;
	int64_t now = fleet_leader_now(l);

	for (size_t i = 0; i < m->suspects.n; i++)
		merge_state(l, &r[i], now);
	for (size_t i = 0; i < m->outcomes.n; i++) {
		struct fingerprint fp = { x[i].fingerprint_hi,
					  x[i].fingerprint_lo };

		if (x[i].kind == OUTCOME_CRASHED)
			record_crash(l, &x[i], now);
		else if (x[i].kind == OUTCOME_ANSWERED)
			clear_suspect(l, &x[i], now);
		else if (x[i].kind == OUTCOME_REFUSED)
			suspects_add_refused(l->suspects, &fp, x[i].count);
		else
			cancel_trial(l, &fp, now);
	}
}

static void reply_trial(struct fleet_leader *l, struct conn *c,
			const struct msg_trial *m)
{
	struct fingerprint fp = { m->fingerprint_hi, m->fingerprint_lo };
	bool sent = g_hash_table_contains(l->peers, c) &&
		    conn_send(c, MSG_TRIAL, m);

	if (!sent && m->admission == SUSPECT_TRIAL)
		cancel_trial(l, &fp, fleet_leader_now(l));
}

/* A trial run that waits to be in the log. */
struct admitted_trial {
	struct conn *conn;
	struct msg_trial reply;
};

static void on_trial_logged(struct fleet_leader *l, void *arg, bool ok)
{
	struct admitted_trial *t = arg;

	if (!ok) {
		t->reply.admission = SUSPECT_WAIT;
		t->reply.wait_ms = TRIAL_NOT_LOGGED_WAIT_MS;
	}
	reply_trial(l, t->conn, &t->reply);
	g_free(t);
}

void fleet_suspects_request(struct fleet_leader *l, struct conn *c,
			    const struct msg_trial *m)
{
	struct fingerprint fp = { m->fingerprint_hi, m->fingerprint_lo };
	struct admitted_trial t = { c, *m };
	char text[FINGERPRINT_TEXT_SIZE];

	t.reply.admission = suspects_admit(
		l->suspects, &fp, fleet_leader_now(l), &t.reply.wait_ms);
	log_info("trial_asked",
		 "print=%s entry=%.*s leave=%" PRId64 " wait_ms=%" PRId64,
		 fingerprint_text(&fp, text), SS_FMT(conn_peer(c)->name),
		 t.reply.admission, t.reply.wait_ms);
	if (t.reply.admission == SUSPECT_TRIAL)
		fleet_quarantine_log_put(l, &fp, on_trial_logged,
					 g_memdup2(&t, sizeof(t)));
	else
		reply_trial(l, c, &t.reply);
}

/* Returns the frame with the changes since *mark, and advances *mark past them.
 */
static GString *changes_frame(const struct fleet_leader *l, uint64_t *mark,
			      int64_t now)
{
	GArray *states =
		g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct suspect_item));
	struct msg_quarantine m = { .fence = l->fence };
	GString *frame = g_string_new(NULL);

	*mark = suspects_changes(l->suspects, *mark, SUSPECTS_PER_MESSAGE, now,
				 states);
	for (guint i = 0; i < states->len; i++) {
		const struct suspect_state *w =
			&g_array_index(states, struct suspect_state, i);
		struct suspect_item x = { w->fingerprint.hi, w->fingerprint.lo,
					  w->cleared, w->remaining_ms,
					  w->failed_trials };

		g_array_append_val(items, x);
	}
	m.suspects = (struct wire_list){ items->data, items->len };
	if (items->len)
		frame_add(frame, MSG_QUARANTINE, &m);
	g_array_unref(states);
	g_array_unref(items);
	return frame;
}

/* Sends the changes to all entries. Most entries are at the same mark, so the
 * last frame is reused where possible. */
static void send_changes(struct fleet_leader *l, int64_t now)
{
	uint64_t from = 0, to = 0;
	GString *frame = NULL;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_peer *p = v;

		if (!p->entry || !p->confirmed ||
		    p->suspects == suspects_mark(l->suspects))
			continue;
		if (!frame || from != p->suspects) {
			if (frame)
				g_string_free(frame, TRUE);
			from = to = p->suspects;
			frame = changes_frame(l, &to, now);
		}
		if (!frame->len || conn_send_frame(p->conn, frame))
			p->suspects = to;
	}
	if (frame)
		g_string_free(frame, TRUE);
}

void fleet_suspects_tick(struct fleet_leader *l, int64_t now)
{
	suspects_tick(l->suspects, now);
	*l->n_suspects = suspects_count(l->suspects);
	*l->n_quarantined = suspects_quarantined(l->suspects);
	*l->n_quarantined_parts = suspects_quarantined_parts(l->suspects);
	fleet_quarantine_log_tick(l, now);
	send_changes(l, now);
}

static json_object *quarantine_json(const struct suspect_info *x, int64_t now)
{
	const struct suspect_state *st = &x->state;
	bool for_good = st->remaining_ms > SUSPECT_FOREVER_MS / 2;
	json_object *o = json_object_new_object();
	char text[FINGERPRINT_TEXT_SIZE];

	json_object_object_add(o, "print",
			       json_object_new_string(fingerprint_text(
				       &st->fingerprint, text)));
	json_object_object_add(
		o, "since_ms",
		json_object_new_int64(ss_wall_ms() - (now - x->since_ms)));
	json_object_object_add(
		o, "left_ms",
		json_object_new_int64(for_good ? -1 : st->remaining_ms));
	json_object_object_add(
		o, "trials", json_object_new_int64((int64_t)st->failed_trials));
	json_object_object_add(o, "crashes", json_object_new_int64(x->crashes));
	json_object_object_add(o, "refused",
			       json_object_new_int64((int64_t)x->refused));
	return o;
}

void fleet_suspects_status(const struct fleet_leader *l, json_object *o)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct suspect_info));
	json_object *list = json_object_new_array();
	int64_t now = fleet_leader_now(l);

	suspects_list(l->suspects, MAX_STATUS_SUSPECTS, now, all);
	for (guint i = 0; i < all->len; i++)
		json_object_array_add(
			list,
			quarantine_json(&g_array_index(all, struct suspect_info,
						       i),
					now));
	json_object_object_add(o, "quarantined", list);
	g_array_unref(all);
}
