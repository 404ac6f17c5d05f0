/* When a model can be called, as a pass of placing leaves it. */
#include "fleet_int.h"

struct pinned fleet_count_pinned(const struct pass *s,
				 const struct fleet_pin *pin)
{
	struct pinned t = { .left_ms = INT64_MAX };

	for (size_t i = 0; i < s->v->n_nodes; i++) {
		const struct fleet_node *n = &s->v->nodes[i];

		if (!n->usable || !fleet_is_of(n, pin->version))
			continue;
		if (n->loading == (int)pin->model) {
			t.loading++;
			/* This pass's own has none of its own yet. */
			t.left_ms = MIN(t.left_ms,
					n->loading_left_ms ?
						n->loading_left_ms :
						s->tally[pin->model].left_ms);
		}
		for (guint k = 0; k < n->places->len; k++) {
			const struct fleet_place *p = fleet_place_at(n, k);

			if (p->model != pin->model || p->closing)
				continue;
			t.open++;
			t.calls += p->calls;
		}
	}
	return t;
}

/* When each of the store's loads under way is over, the first first. */
static GArray *store_ends(const struct pass *s, int64_t load_ms)
{
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(int64_t));

	for (size_t i = 0; i < s->v->n_nodes; i++) {
		const struct fleet_node *n = &s->v->nodes[i];
		int64_t left = n->engaged ? load_ms : n->loading_left_ms;

		if (n->engaged ||
		    (n->loading >= 0 && n->loading_tier == TIER_REMOTE))
			g_array_append_val(ends, left);
	}
	while (ends->len < s->v->store_parallel)
		g_array_set_size(ends, ends->len + 1);
	return ends;
}

static guint first_end(const GArray *ends)
{
	guint best = 0;

	for (guint i = 1; i < ends->len; i++)
		if (g_array_index(ends, int64_t, i) <
		    g_array_index(ends, int64_t, best))
			best = i;
	return best;
}

/*
 * Models that callers ask for and no engine has a copy of: the store brings
 * them one after the other, and that is known now. A caller who can't wait so
 * long is told when to come back, instead of being held for seconds first.
 */
static void set_store_etas(struct pass *s)
{
	GArray *ends = NULL;

	for (guint i = 0; i < s->needs->len; i++) {
		const struct need *n = &g_array_index(s->needs, struct need, i);
		uint32_t m = n->model;
		const struct tally *t = &s->tally[m];
		int64_t load = s->v->models[m].spec->store_ms;
		int64_t *end;

		if (n->version || t->open || t->loading || t->copies ||
		    t->paused)
			continue;
		if (!ends)
			ends = store_ends(s, load);
		end = &g_array_index(ends, int64_t, first_end(ends));
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

		s->v->models[m].eta_ms = t->open    ? 0 :
					 t->loading ? t->left_ms :
						      -1;
	}
	for (size_t i = 0; i < s->v->n_pins; i++) {
		struct fleet_pin *pin = &s->v->pins[i];
		struct pinned t = fleet_count_pinned(s, pin);

		pin->eta_ms = t.open ? 0 : t.loading ? t.left_ms : -1;
	}
	if (s->v->all_known)
		set_store_etas(s);
}
