/* Runs the planner: builds its view and proposes its decisions. */
#include "replica_leader_int.h"

/* Interval at which models are checked for preloading, in ms: short against the
 * 15 minute slots of the arrival histories. */
#define PRELOAD_EVERY_MS 10000
/* Slack of a model without waiting requests, in ms: the longest deadline. */
#define PLAN_SLACK_NONE (24 * 3600 * 1000LL)

struct view {
	struct replica_leader *l;
	struct plan_view v;
	GArray *nodes, *replicas, *demands;
	GHashTable *index; /* node name -> index + 1 */
	int64_t now;
};

static enum ss_tier tier_of(void *arg, const char *model, const char *node)
{
	const struct view *w = arg;
	const struct leader_node *n = g_hash_table_lookup(w->l->nodes, node);

	if (!n)
		return TIER_REMOTE;
	return (enum ss_tier)GPOINTER_TO_INT(
		g_hash_table_lookup(n->cached, model));
}

static const struct ss_arrivals *arrivals_of(void *arg, const char *model)
{
	const struct view *w = arg;
	const struct leader_model *m = g_hash_table_lookup(w->l->models, model);

	return m ? m->arrivals : NULL;
}

static void add_nodes(struct view *w)
{
	const struct ss_state *s = group_state(w->l->g);
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, ss_state_nodes(s));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct node_rec *rec = p;
		struct plan_node n = {
			.name = rec->name.p,
			.domain = rec->domain.p,
			.pool = rec->pool.p,
			.bytes = rec->bytes,
			.used = ss_state_reserved(s, rec->name.p),
			.draining = rec->state == NODE_DRAINING
		};

		if (rec->kind != NODE_ENGINE)
			continue;
		n.usable = leader_node_usable(w->l, rec);
		g_array_append_val(w->nodes, n);
		g_hash_table_insert(w->index, (char *)rec->name.p,
				    GINT_TO_POINTER((int)w->nodes->len));
	}
}

static void add_replicas(struct view *w)
{
	const struct ss_state *s = group_state(w->l->g);
	int64_t wall = ss_wall_ms();
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, ss_state_replicas(s));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct replica_rec *rec = p;
		const struct leader_held *h = leader_held_of(w->l, rec);
		const struct leader_node *n =
			g_hash_table_lookup(w->l->nodes, rec->node.p);
		struct plan_replica r = { .id = rec->id,
					  .model = rec->model.p,
					  .base = rec->base.p,
					  .bytes = rec->bytes,
					  .slots = rec->slots,
					  .state = (int)rec->state,
					  .age_ms = wall - rec->at_ms };
		int at = GPOINTER_TO_INT(
			g_hash_table_lookup(w->index, rec->node.p));

		if (at == 0)
			continue;
		r.node = at - 1;
		/* A replica without a report doesn't count as idle. */
		if (h) {
			r.active = h->active;
			r.failed = h->state == HELD_FAILED;
			r.idle_ms = h->active ?
					    0 :
					    h->idle_ms + w->now - n->report_ms;
		}
		if (rec->state == REPLICA_LOADING)
			g_array_index(w->nodes, struct plan_node, r.node)
				.loading++;
		g_array_append_val(w->replicas, r);
	}
}

static void sum_watches(const struct leader_model *m, int64_t now,
			struct plan_demand *d)
{
	d->slack_ms = PLAN_SLACK_NONE;
	for (guint i = 0; i < m->watches->len; i++) {
		const struct leader_watch *w = m->watches->pdata[i];

		if (w->waiting == 0 || now - w->at_ms > LEADER_WATCH_VALID_MS)
			continue;
		d->waiting += w->waiting;
		d->priority = MAX(d->priority, w->priority);
		d->slack_ms = MIN(d->slack_ms, w->deadline_ms - now);
	}
}

static void append_demand(struct view *w, struct plan_demand d,
			  const struct model_rec *rec, int64_t load_ms)
{
	d.model = rec->name.p;
	d.base = rec->base.p;
	d.pool = rec->pool.p;
	d.bytes = rec->bytes;
	d.slots = rec->slots;
	d.load_ms = load_ms;
	g_array_append_val(w->demands, d);
}

/* Adds the demand of a model, and for an adapter also that of its base. */
static void add_demand(struct view *w, const struct leader_model *m,
		       const struct plan_demand *d)
{
	const struct model_rec *rec = leader_resolve(w->l, m->name);
	const struct model_rec *base;

	if (!rec)
		return;
	append_demand(w, *d, rec, m->load_ms);
	if (!rec->base.n)
		return;
	base = ss_state_model(group_state(w->l->g), rec->base.p);
	if (base)
		append_demand(w, *d, base, 0);
}

static void add_demands(struct view *w)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, w->l->models);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct leader_model *m = p;
		struct plan_demand d = { .eta_ms = -1 };

		sum_watches(m, w->now, &d);
		if (d.waiting == 0) {
			if (!m->expected)
				continue;
			d.preload = true;
		}
		add_demand(w, m, &d);
	}
}

/* Decisions. */

struct decision {
	struct replica_leader *l;
	uint64_t id;
};

static void on_decided(void *arg, const struct command_result *r,
		       const GError *error)
{
	struct decision *k = arg;

	if (leader_still_valid(error)) {
		k->l->open_decisions--;
		k->l->dirty = true;
	}
	if (!error && r->code)
		log_info("decision_refused", "why=\"%s\"", r->text);
	g_free(k);
}

static struct change_done new_decision(struct replica_leader *l)
{
	struct decision *k = g_new0(struct decision, 1);

	k->l = l;
	l->open_decisions++;
	return (struct change_done){ on_decided, k };
}

static void decide_load(void *arg, const struct plan_demand *d,
			const struct plan_node *n, size_t count)
{
	struct view *w = arg;
	struct replica_rec rec = { .model = ss_str(d->model),
				   .base = ss_str(d->base),
				   .node = ss_str(n->name),
				   .bytes = d->bytes,
				   .slots = d->slots };
	struct command c = { .kind = COMMAND_REPLICA_ADD,
			     .replica = &rec,
			     .expect = count };

	(*w->l->n_loads)++;
	log_info("decide_load", "model=%s node=%s waiting=%" PRIu64 " ahead=%d",
		 d->model, n->name, d->waiting, d->preload);
	group_change(w->l->g, &c, new_decision(w->l));
}

static void decide_unload(void *arg, const struct plan_replica *r,
			  const char *why)
{
	struct view *w = arg;
	struct replica_rec rec = { .id = r->id, .state = REPLICA_UNLOADING };
	struct command c = { .kind = COMMAND_REPLICA_STATE, .replica = &rec };
	struct leader_model *m = leader_model_for(w->l, r->model);

	(*w->l->n_unloads)++;
	m->unload_why = why;
	m->unload_ms = w->now;
	log_info("decide_unload", "model=%s replica=%" PRIu64 " why=\"%s\"",
		 r->model, r->id, why);
	group_change(w->l->g, &c, new_decision(w->l));
}

static const struct plan_ops plan_table = { decide_load, decide_unload };

/* Copies the planner's results from the demands to the models, for routes and
 * operators. */
static void copy_results(struct view *w)
{
	for (guint i = 0; i < w->demands->len; i++) {
		const struct plan_demand *d =
			&g_array_index(w->demands, struct plan_demand, i);
		GHashTableIter it;
		void *p;

		g_hash_table_iter_init(&it, w->l->models);
		while (g_hash_table_iter_next(&it, NULL, &p)) {
			struct leader_model *m = p;
			const struct model_rec *rec =
				m->watches->len ?
					leader_resolve(w->l, m->name) :
					NULL;

			if (!rec || strcmp(rec->name.p, d->model))
				continue;
			m->eta_ms = d->eta_ms < 0 ? SS_NEVER :
						    w->now + d->eta_ms;
			m->why = d->why;
		}
	}
}

/* Updates which models the arrival history predicts a request for. */
static void predict_demand(struct view *w)
{
	struct replica_leader *l = w->l;
	GHashTableIter it;
	void *p;

	if (w->now - l->predict_ms < PRELOAD_EVERY_MS)
		return;
	l->predict_ms = w->now;
	g_hash_table_iter_init(&it, l->models);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct leader_model *m = p;
		const struct model_rec *rec = leader_resolve(l, m->name);
		struct ss_keep_costs c = { 0 };

		m->expected = false;
		if (!l->preset.wake_ahead || !m->arrivals || !rec ||
		    w->nodes->len == 0)
			continue;
		c.cold_weight = (double)l->preset.cold_weight / 100;
		c.load_ms = m->load_ms ? m->load_ms :
					 pacer_load_ms(&l->pacer, rec->bytes,
						       TIER_REMOTE);
		c.share =
			(double)rec->bytes /
			(double)MAX(g_array_index(w->nodes, struct plan_node, 0)
					    .bytes,
				    1);
		m->expected = ss_wake_ahead(m->arrivals, ss_wall_now(), &c);
	}
}

void leader_plan(struct replica_leader *l, int64_t now)
{
	struct view w = { .l = l, .now = now };

	/* Waits until earlier decisions are applied, so that none is made
	 * twice from the same view. A new leader first gives nodes time to
	 * connect. */
	if (l->open_decisions || now - l->since_ms < LEADER_NODE_LOST_MS)
		return;
	(*l->n_plans)++;
	w.nodes = g_array_new(FALSE, FALSE, sizeof(struct plan_node));
	w.replicas = g_array_new(FALSE, FALSE, sizeof(struct plan_replica));
	w.demands = g_array_new(FALSE, FALSE, sizeof(struct plan_demand));
	w.index = g_hash_table_new(g_str_hash, g_str_equal);
	add_nodes(&w);
	add_replicas(&w);
	predict_demand(&w);
	add_demands(&w);
	w.v = (struct plan_view){
		.now = now,
		.preset = &l->preset,
		.nodes = (struct plan_node *)w.nodes->data,
		.n_nodes = w.nodes->len,
		.replicas = (struct plan_replica *)w.replicas->data,
		.n_replicas = w.replicas->len,
		.demands = (struct plan_demand *)w.demands->data,
		.n_demands = w.demands->len,
		.tier = tier_of,
		.arrivals = arrivals_of,
		.prior = &l->all,
		.arg = &w,
	};
	plan_run(&w.v, &l->pacer, &plan_table, &w);
	copy_results(&w);
	*l->n_replicas = w.replicas->len;
	g_array_unref(w.nodes);
	g_array_unref(w.replicas);
	g_array_unref(w.demands);
	g_hash_table_unref(w.index);
}
