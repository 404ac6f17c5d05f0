/* Estimates when each model can be called, after a planning pass. */
#include "fleet_int.h"

struct pin_tally fleet_count_pinned(const struct pass *s,
				    const struct fleet_pin *pin)
{
	struct pin_tally t = { .ready_ms = INT64_MAX };

	for (size_t i = 0; i < s->v->n_nodes; i++) {
		const struct fleet_node *n = &s->v->nodes[i];

		if (!n->usable || !fleet_has_version(n, pin->version))
			continue;
		if (n->loading == (int)pin->model) {
			t.loading++;
			/* The node of a load that this pass issued has no
			 * remaining time yet. */
			t.ready_ms = MIN(t.ready_ms,
					 n->loading_left_ms ?
						 n->loading_left_ms :
						 s->tally[pin->model].ready_ms);
		}
		for (guint k = 0; k < n->replicas->len; k++) {
			const struct fleet_replica *p = fleet_replica_at(n, k);

			if (p->model != pin->model || p->unloading)
				continue;
			t.serving++;
			t.calls += p->calls;
		}
	}
	return t;
}

/* Returns the remaining time in ms of each running load from the store, in no
 * order, padded with zeros up to the store's parallel loads. An order of
 * another leader counts as a load that has just begun. */
static GArray *store_load_ends(const struct pass *s, int64_t load_ms)
{
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(int64_t));

	for (size_t i = 0; i < s->v->n_nodes; i++) {
		const struct fleet_node *n = &s->v->nodes[i];
		int64_t left = n->foreign_order ? load_ms : n->loading_left_ms;

		if (n->foreign_order ||
		    (n->loading >= 0 && n->loading_tier == TIER_REMOTE))
			g_array_append_val(ends, left);
	}
	while (ends->len < s->v->store_parallel)
		g_array_set_size(ends, ends->len + 1);
	return ends;
}

static guint earliest_end(const GArray *ends)
{
	guint best = 0;

	for (guint i = 1; i < ends->len; i++)
		if (g_array_index(ends, int64_t, i) <
		    g_array_index(ends, int64_t, best))
			best = i;
	return best;
}

/*
 * Sets the estimates of requested models of which no engine has a copy. The
 * store loads them by priority, a limited number at a time, so their times are
 * known in advance. A caller who can't wait that long gets a retry time at
 * once, instead of being held for seconds first.
 */
static void set_store_etas(struct pass *s)
{
	GArray *ends = NULL;

	for (guint i = 0; i < s->needs->len; i++) {
		const struct replica_need *n =
			&g_array_index(s->needs, struct replica_need, i);
		uint32_t m = n->model;
		const struct tally *t = &s->tally[m];
		int64_t load = s->v->models[m].spec->store_load_ms;
		int64_t *end;

		if (n->version || t->serving || t->loading || t->copies ||
		    t->suspended)
			continue;
		if (!ends)
			ends = store_load_ends(s, load);
		end = &g_array_index(ends, int64_t, earliest_end(ends));
		*end += load;
		s->v->models[m].eta_ms = *end;
	}
	if (ends)
		g_array_unref(ends);
}

void fleet_set_etas(struct pass *s)
{
	for (size_t m = 0; m < s->v->n_models; m++) {
		const struct tally *t = &s->tally[m];

		s->v->models[m].eta_ms = t->serving ? 0 :
					 t->loading ? t->ready_ms :
						      -1;
	}
	for (size_t i = 0; i < s->v->n_pins; i++) {
		struct fleet_pin *pin = &s->v->pins[i];
		struct pin_tally t = fleet_count_pinned(s, pin);

		pin->eta_ms = t.serving ? 0 : t.loading ? t.ready_ms : -1;
	}
	if (s->v->all_reported)
		set_store_etas(s);
}
