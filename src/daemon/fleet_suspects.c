/* The leader's part in stopping requests that end endpoints: it adds up what
 * entries see, tells all of them what is quarantined, and allows trials. */
#include "fleet_lead_int.h"

#include <json-c/json.h>

/* As an entry's: all that a fleet of 200 endpoints runs at a time. */
#define SUSPECTS_MOST 4096
/* Words in one message: some 2 KB. A flood of them takes several ticks, so that
 * hundreds of entries get no more than that at a time. */
#define WORDS_A_MESSAGE 64
/* In the status; the metrics tell how many there are. */
#define STATUS_MOST 64

void fleet_suspects_begin(struct fleet_lead *l)
{
	/* A trial that a former leader has allowed may still be under way. */
	struct suspects_options o = { .capacity = SUSPECTS_MOST,
				      .trial_hold_ms =
					      SUSPECT_TRIAL_TIMEOUT_MS };
	struct metrics *m = l->d->metrics;

	l->suspects = suspects_new(&o, l->since_ms);
	l->n_suspects = metrics_value(m, "ss_fleet_suspects", "");
	l->n_quarantined = metrics_value(m, "ss_fleet_quarantined", "");
}

static bool is_quarantined(const struct fleet_lead *l,
			   const struct fingerprint *print, int64_t now)
{
	return suspects_remaining_ms(l->suspects, print, now) >= 0;
}

/* Log it where it wasn't quarantined before. */
static void note_quarantined(const struct fleet_lead *l,
			     const struct fingerprint *print, bool before,
			     const char *how, int64_t now)
{
	char text[FINGERPRINT_TEXT_SIZE];

	if (!before && is_quarantined(l, print, now))
		log_warn("quarantined", "print=%s by=\"%s\" term_ms=%" PRId64,
			 fingerprint_text(print, text), how,
			 suspects_remaining_ms(l->suspects, print, now));
}

static void take_end(struct fleet_lead *l, const struct run_outcome_item *x,
		     int64_t now)
{
	struct fingerprint print = { x->fingerprint_hi, x->fingerprint_lo };
	bool before = is_quarantined(l, &print, now);
	char text[FINGERPRINT_TEXT_SIZE];
	unsigned int n;

	n = suspects_add_crash(l->suspects, &print, x->incarnation_no, now);
	/* One end says little: all that ran there are told of. */
	if (n > 1)
		log_info("suspect", "print=%s ends=%u told_late_ms=%" PRId64,
			 fingerprint_text(&print, text), n, x->age_ms);
	note_quarantined(l, &print, before, "ends", now);
}

static void take_recalled(struct fleet_lead *l, const struct suspect_item *x,
			  int64_t now)
{
	struct suspect_state w = { { x->fingerprint_hi, x->fingerprint_lo },
				   x->cleared,
				   x->remaining_ms,
				   x->failed_trials };
	bool before = is_quarantined(l, &w.fingerprint, now);

	suspects_merge(l->suspects, &w, now);
	note_quarantined(l, &w.fingerprint, before, "an entry's word", now);
}

static void take_answered(struct fleet_lead *l,
			  const struct run_outcome_item *x, int64_t now)
{
	struct fingerprint print = { x->fingerprint_hi, x->fingerprint_lo };
	bool before = is_quarantined(l, &print, now);
	char text[FINGERPRINT_TEXT_SIZE];

	if (suspects_answered(l->suspects, &print, now))
		log_info("suspect_cleared", "print=%s quarantined=%d",
			 fingerprint_text(&print, text), before);
}

void fleet_suspects_take(struct fleet_lead *l, const struct msg_run_outcomes *m)
{
	const struct run_outcome_item *x = m->outcomes.items;
	const struct suspect_item *r = m->suspects.items;
	int64_t now = fleet_lead_now(l);

	for (size_t i = 0; i < m->suspects.n; i++)
		take_recalled(l, &r[i], now);
	for (size_t i = 0; i < m->outcomes.n; i++) {
		struct fingerprint print = { x[i].fingerprint_hi,
					     x[i].fingerprint_lo };

		if (x[i].kind == OUTCOME_CRASHED)
			take_end(l, &x[i], now);
		else if (x[i].kind == OUTCOME_ANSWERED)
			take_answered(l, &x[i], now);
		else
			suspects_cancel_trial(l->suspects, &print);
	}
}

void fleet_suspects_ask(struct fleet_lead *l, struct conn *c,
			const struct msg_trial *m)
{
	struct fingerprint print = { m->fingerprint_hi, m->fingerprint_lo };
	struct msg_trial answer = *m;
	char text[FINGERPRINT_TEXT_SIZE];

	answer.admission = suspects_admit(l->suspects, &print,
					  fleet_lead_now(l), &answer.wait_ms);
	log_info("trial_asked",
		 "print=%s entry=%.*s leave=%" PRId64 " wait_ms=%" PRId64,
		 fingerprint_text(&print, text), SS_FMT(conn_peer(c)->name),
		 answer.admission, answer.wait_ms);
	if (!conn_send(c, MSG_TRIAL, &answer) &&
	    answer.admission == SUSPECT_TRIAL)
		suspects_cancel_trial(l->suspects, &print);
}

/* What is new since a mark; *mark becomes what it goes up to. */
static GString *news_frame(const struct fleet_lead *l, uint64_t *mark,
			   int64_t now)
{
	GArray *words = g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct suspect_item));
	struct msg_quarantine m = { .fence = l->fence };
	GString *frame = g_string_new(NULL);

	*mark = suspects_changes(l->suspects, *mark, WORDS_A_MESSAGE, now,
				 words);
	for (guint i = 0; i < words->len; i++) {
		const struct suspect_state *w =
			&g_array_index(words, struct suspect_state, i);
		struct suspect_item x = { w->fingerprint.hi, w->fingerprint.lo,
					  w->cleared, w->remaining_ms,
					  w->failed_trials };

		g_array_append_val(items, x);
	}
	m.suspects = (struct wire_list){ items->data, items->len };
	if (items->len)
		frame_add(frame, MSG_QUARANTINE, &m);
	g_array_unref(words);
	g_array_unref(items);
	return frame;
}

/* Most entries know the same, so the frame of the last one mostly serves. */
static void tell(struct fleet_lead *l, int64_t now)
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
			frame = news_frame(l, &to, now);
		}
		if (!frame->len || conn_send_frame(p->conn, frame))
			p->suspects = to;
	}
	if (frame)
		g_string_free(frame, TRUE);
}

void fleet_suspects_tick(struct fleet_lead *l, int64_t now)
{
	suspects_tick(l->suspects, now);
	*l->n_suspects = suspects_count(l->suspects);
	*l->n_quarantined = suspects_quarantined(l->suspects);
	tell(l, now);
}

void fleet_suspects_status(const struct fleet_lead *l, json_object *o)
{
	GArray *words = g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	json_object *list = json_object_new_array();
	char text[FINGERPRINT_TEXT_SIZE];

	suspects_changes(l->suspects, 0, STATUS_MOST, fleet_lead_now(l), words);
	for (guint i = 0; i < words->len; i++) {
		const struct suspect_state *w =
			&g_array_index(words, struct suspect_state, i);
		json_object *x = json_object_new_object();

		if (w->cleared) {
			json_object_put(x);
			continue;
		}
		json_object_object_add(x, "print",
				       json_object_new_string(fingerprint_text(
					       &w->fingerprint, text)));
		json_object_object_add(x, "left_ms",
				       json_object_new_int64(w->remaining_ms));
		json_object_object_add(
			x, "trials",
			json_object_new_int64((int64_t)w->failed_trials));
		json_object_array_add(list, x);
	}
	json_object_object_add(o, "quarantined", list);
	g_array_unref(words);
}
