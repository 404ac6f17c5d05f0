/*
 * Quarantines in the replicated log, so that a loss of all processes doesn't
 * allow what crashes endpoints to crash as many again. A trial run is recorded
 * before it is allowed: one that is out when the leader is lost counts.
 */
#include "fleet_leader_int.h"

/* Quarantines in one command, some 2 KB. */
#define ITEMS_PER_COMMAND 64

struct quarantine_log_item {
	struct fingerprint fp;
	unsigned int pending; /* proposals that aren't applied yet */
	bool logged;	      /* by the newest proposal */
};

static struct quarantine_log_item *item_for(struct fleet_leader *l,
					    const struct fingerprint *fp)
{
	struct quarantine_log_item *x =
		g_hash_table_lookup(l->quarantine_log, fp);

	if (x)
		return x;
	x = g_new0(struct quarantine_log_item, 1);
	x->fp = *fp;
	g_hash_table_insert(l->quarantine_log, &x->fp, x);
	return x;
}

/* Takes over what the log holds, from former leaders. */
static void restore(struct fleet_leader *l, const struct quarantine_rec *q)
{
	struct suspect_state st = {
		.fingerprint = { q->fingerprint_hi, q->fingerprint_lo },
		.remaining_ms = CLAMP(q->until_ms - ss_wall_ms(), 0,
				      SUSPECT_FOREVER_MS),
		.failed_trials = q->trials
	};

	suspects_merge(l->suspects, &st, l->since_ms);
	item_for(l, &st.fingerprint)->logged = true;
}

void fleet_quarantine_log_begin(struct fleet_leader *l)
{
	const struct ss_state *s = group_state(l->g);

	l->quarantine_log = g_hash_table_new_full(
		fingerprint_hash, fingerprint_equal, NULL, g_free);
	for (GList *p = ss_state_quarantines(s)->head; p; p = p->next)
		restore(l, p->data);
	l->suspects_logged = suspects_mark(l->suspects);
	l->quarantines_version = ss_state_quarantines_version(s);
}

void fleet_quarantine_log_end(struct fleet_leader *l)
{
	g_hash_table_unref(l->quarantine_log);
}

/* A proposal. */
struct log_proposal {
	struct fleet_leader *l;
	GArray *fingerprints;
	void (*done)(struct fleet_leader *l, void *arg, bool ok);
	void *arg;
};

static void on_proposed(void *arg, const struct command_result *r,
			const GError *error)
{
	struct log_proposal *p = arg;
	bool leads = !error || error->code != SS_ERROR_NOT_LEADER;

	/* The leader's state is gone with its leadership. */
	for (guint i = 0; leads && i < p->fingerprints->len; i++)
		item_for(p->l,
			 &g_array_index(p->fingerprints, struct fingerprint, i))
			->pending--;
	if (p->done && leads)
		p->done(p->l, p->arg, r && !r->code);
	else
		g_free(p->arg);
	g_array_unref(p->fingerprints);
	g_free(p);
}

static struct quarantine_rec record_of(const struct fleet_leader *l,
				       const struct suspect_state *st)
{
	int64_t now = fleet_leader_now(l);

	return (struct quarantine_rec){
		.fingerprint_hi = st->fingerprint.hi,
		.fingerprint_lo = st->fingerprint.lo,
		.since_ms = ss_wall_ms() -
			    (now - suspects_since_ms(l->suspects,
						     &st->fingerprint, now)),
		.until_ms = ss_wall_ms() + st->remaining_ms,
		.trials = suspects_trials(l->suspects, &st->fingerprint, now),
		.removed = st->cleared
	};
}

/* Proposes the states; takes p. */
static void propose(struct fleet_leader *l, const GArray *states,
		    struct log_proposal *p)
{
	GArray *recs = g_array_new(FALSE, FALSE, sizeof(struct quarantine_rec));
	struct command c = { .kind = COMMAND_QUARANTINES_PUT };

	p->l = l;
	p->fingerprints = g_array_new(FALSE, FALSE, sizeof(struct fingerprint));
	for (guint i = 0; i < states->len; i++) {
		const struct suspect_state *st =
			&g_array_index(states, struct suspect_state, i);
		struct quarantine_log_item *x = item_for(l, &st->fingerprint);
		struct quarantine_rec rec = record_of(l, st);

		if (st->cleared && !x->logged)
			continue;
		x->logged = !st->cleared;
		x->pending++;
		g_array_append_val(recs, rec);
		g_array_append_val(p->fingerprints, st->fingerprint);
	}
	c.quarantines = (struct quarantine_rec *)recs->data;
	c.n_quarantines = recs->len;
	if (recs->len)
		group_change(l->g, &c, (struct change_done){ on_proposed, p });
	else
		on_proposed(p, NULL, NULL);
	g_array_unref(recs);
}

/* Forgets what is neither in the log nor on its way there. */
static gboolean is_unused(void *key, void *value, void *arg)
{
	const struct quarantine_log_item *x = value;

	(void)key;
	(void)arg;
	return !x->logged && !x->pending;
}

void fleet_quarantine_log_tick(struct fleet_leader *l, int64_t now)
{
	GArray *states;

	if (l->suspects_logged == suspects_mark(l->suspects))
		return;
	states = g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	l->suspects_logged = suspects_changes(l->suspects, l->suspects_logged,
					      ITEMS_PER_COMMAND, now, states);
	propose(l, states, g_new0(struct log_proposal, 1));
	g_hash_table_foreach_remove(l->quarantine_log, is_unused, NULL);
	g_array_unref(states);
}

void fleet_quarantine_log_put(
	struct fleet_leader *l, const struct fingerprint *fp,
	void (*done)(struct fleet_leader *l, void *arg, bool ok), void *arg)
{
	struct suspect_state st = {
		.fingerprint = *fp,
		.remaining_ms = MAX(suspects_remaining_ms(l->suspects, fp,
							  fleet_leader_now(l)),
				    0)
	};
	GArray *states =
		g_array_new(FALSE, FALSE, sizeof(struct suspect_state));
	struct log_proposal *p = g_new0(struct log_proposal, 1);

	p->done = done;
	p->arg = arg;
	g_array_append_val(states, st);
	propose(l, states, p);
	g_array_unref(states);
}

static GHashTable *logged_fingerprints(const struct ss_state *s)
{
	GHashTable *out = g_hash_table_new_full(
		fingerprint_hash, fingerprint_equal, g_free, NULL);

	for (GList *p = ss_state_quarantines(s)->head; p; p = p->next) {
		const struct quarantine_rec *q = p->data;
		struct fingerprint fp = { q->fingerprint_hi,
					  q->fingerprint_lo };

		g_hash_table_add(out, g_memdup2(&fp, sizeof(fp)));
	}
	return out;
}

void fleet_quarantine_log_applied(struct fleet_leader *l)
{
	const struct ss_state *s = group_state(l->g);
	int64_t now = fleet_leader_now(l);
	char text[FINGERPRINT_TEXT_SIZE];
	GHashTable *logged;
	GHashTableIter it;
	void *v;

	if (l->quarantines_version == ss_state_quarantines_version(s))
		return;
	l->quarantines_version = ss_state_quarantines_version(s);
	logged = logged_fingerprints(s);
	g_hash_table_iter_init(&it, l->quarantine_log);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct quarantine_log_item *x = v;

		/* This leader's own deletions aren't marked as logged. */
		if (!x->logged || x->pending ||
		    g_hash_table_contains(logged, &x->fp))
			continue;
		x->logged = false;
		if (suspects_lift(l->suspects, &x->fp, now))
			log_info("quarantine_lifted", "print=%s",
				 fingerprint_text(&x->fp, text));
	}
	g_hash_table_unref(logged);
}
