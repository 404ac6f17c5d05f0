/* The leader of replicas behind agents: connections, configuration, orders. */
#include "replica_leader_int.h"

#include <sapphireshift/queue.h>

/* Planning interval in ms. A full-size pass takes 1.8 ms, so ten a second use
 * 2 % of a core. */
#define PLAN_EVERY_MS 100

/* The configuration. */

static void read_preset(struct replica_leader *l)
{
	const struct ss_state *s = group_state(l->g);
	const struct preset_rec *rec = ss_state_in_force(s);
	struct preset p;

	if (l->preset_version == ss_state_config_version(s) &&
	    l->preset.classes)
		return;
	if (preset_parse(&p, "preset",
			 rec ? rec->body : ss_str(preset_built_in), NULL)) {
		preset_clear(&l->preset);
		l->preset = p;
	}
	l->preset_version = ss_state_config_version(s);
}

static void send_config(struct replica_leader *l, struct leader_peer *p)
{
	const struct ss_state *s = group_state(l->g);
	const struct preset_rec *rec = ss_state_in_force(s);
	struct msg_config m = { .version = ss_state_config_version(s) };

	if (!p->confirmed || !rec || p->config_sent == m.version)
		return;
	m.name = rec->name;
	m.body = rec->body;
	if (conn_send(p->conn, MSG_CONFIG, &m))
		p->config_sent = m.version;
}

static void push_configs(struct replica_leader *l)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		send_config(l, p);
}

/* Orders to agents. */

static void send_assign(struct replica_leader *l, struct leader_node *n,
			const struct node_rec *rec)
{
	GPtrArray *list = ss_state_node_replicas(group_state(l->g), n->name);
	GArray *orders =
		g_array_new(FALSE, FALSE, sizeof(struct replica_order));
	struct msg_assign m = { .fence = rec->changed,
				.incarnation = rec->incarnation,
				.draining = rec->state == NODE_DRAINING };

	for (guint i = 0; list && i < list->len; i++) {
		const struct replica_rec *r = list->pdata[i];
		struct replica_order o = { .replica = r->id,
					   .model = r->model,
					   .base = r->base,
					   .bytes = r->bytes,
					   .slots = r->slots,
					   .unload = r->state ==
						     REPLICA_UNLOADING };

		g_array_append_val(orders, o);
	}
	m.orders = (struct wire_list){ orders->data, orders->len };
	if (conn_send(n->conn, MSG_ASSIGN, &m))
		n->fence_sent = rec->changed;
	g_array_unref(orders);
}

static void push_assigns(struct replica_leader *l)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->nodes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct leader_node *n = p;
		const struct node_rec *rec =
			ss_state_node(group_state(l->g), n->name);

		if (rec && n->conn && n->registered &&
		    n->incarnation == rec->incarnation &&
		    n->fence_sent != rec->changed)
			send_assign(l, n, rec);
	}
}

/* Connections. */

static void on_confirmed(void *arg, bool ok)
{
	struct leader_pending *k = arg;
	struct leader_peer *p;

	/* If not ok, the leadership has ended and l is freed. */
	if (ok) {
		p = g_hash_table_lookup(k->l->peers, k->conn);
		if (p) {
			p->confirmed = true;
			send_config(k->l, p);
		}
	}
	g_free(k);
}

/*
 * Confirms the leadership with a majority before a new connection gets the
 * configuration: a process that has just started would otherwise accept that
 * of a deposed leader that doesn't know about its successor.
 */
static void confirm_for(struct replica_leader *l, struct conn *c)
{
	struct leader_pending *k = g_new0(struct leader_pending, 1);
	struct read_done done = { on_confirmed, k };

	k->l = l;
	k->conn = c;
	group_confirm(l->g, done);
}

static void on_open(void *arg, struct conn *c)
{
	struct replica_leader *l = arg;
	struct leader_peer *p = g_new0(struct leader_peer, 1);

	p->conn = c;
	p->entry = conn_peer(c)->role == ROLE_ENTRY;
	g_hash_table_insert(l->peers, c, p);
	confirm_for(l, c);
}

static void drop_watches(struct replica_leader *l, struct conn *c)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->models);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		GPtrArray *watches = ((struct leader_model *)p)->watches;

		for (guint i = watches->len; i-- > 0;)
			if (((struct leader_watch *)watches->pdata[i])->conn ==
			    c)
				g_ptr_array_remove_index_fast(watches, i);
	}
}

static void on_closed(void *arg, struct conn *c)
{
	struct replica_leader *l = arg;
	GHashTableIter it;
	void *p;

	if (!g_hash_table_remove(l->peers, c))
		return;
	drop_watches(l, c);
	g_hash_table_iter_init(&it, l->nodes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct leader_node *n = p;

		if (n->conn != c)
			continue;
		n->conn = NULL;
		n->registered = false;
		n->down_ms = leader_now(l);
	}
	l->dirty = true;
}

/* Entries. */

static struct leader_watch *watch_for(struct leader_model *m, struct conn *c)
{
	struct leader_watch *w;

	for (guint i = 0; i < m->watches->len; i++)
		if (((struct leader_watch *)m->watches->pdata[i])->conn == c)
			return m->watches->pdata[i];
	w = g_new0(struct leader_watch, 1);
	w->conn = c;
	w->sent = g_string_new(NULL);
	g_ptr_array_add(m->watches, w);
	return w;
}

static void count_arrivals(struct replica_leader *l, struct leader_model *m,
			   uint64_t n)
{
	if (n == 0 || m->name[0] == '/' || !leader_resolve(l, m->name))
		return;
	if (!m->arrivals)
		m->arrivals = g_new0(struct ss_arrivals, 1);
	ss_arrivals_add(m->arrivals, &l->all, ss_wall_now());
}

static void handle_watch(struct replica_leader *l, struct conn *c,
			 const struct msg_watch *m)
{
	char *name = ss_str_dup(m->model);
	struct leader_model *model = leader_model_for(l, name);
	struct leader_watch *w = watch_for(model, c);
	int64_t now = leader_now(l);

	g_free(name);
	count_arrivals(l, model, m->arrivals);
	if (m->done) {
		g_ptr_array_remove_fast(model->watches, w);
		return;
	}
	w->waiting = m->waiting;
	w->priority = (int)CLAMP(m->priority, 0, SS_QUEUE_PRIORITIES - 1);
	w->deadline_ms = now + m->deadline_ms;
	w->at_ms = now;
	/* Plan first, so that the reply carries the estimated load time. */
	if (w->waiting)
		leader_plan(l, now);
	leader_push_route(l, model, w);
}

static void handle_ack(struct replica_leader *l, struct conn *c,
		       const struct msg_config *m)
{
	struct leader_peer *p = g_hash_table_lookup(l->peers, c);

	if (p)
		p->config = m->version;
}

static void send_models(struct replica_leader *l, struct conn *c, uint64_t sub)
{
	GArray *names = g_array_new(FALSE, FALSE, sizeof(struct model_name));
	struct msg_model_list m = { .sub = sub };
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, ss_state_models(group_state(l->g)));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct model_rec *rec = p;
		struct model_name n = { rec->name, rec->base };

		g_array_append_val(names, n);
	}
	m.models = (struct wire_list){ names->data, names->len };
	conn_send(c, MSG_MODEL_LIST, &m);
	g_array_unref(names);
}

static void on_message(void *arg, struct conn *c, struct frame *f)
{
	struct replica_leader *l = arg;

	switch (f->kind) {
	case MSG_REGISTER:
		leader_handle_register(l, c, &f->u.reg);
		break;
	case MSG_REPORT:
		leader_handle_report(l, c, &f->u.report);
		break;
	case MSG_WATCH:
		handle_watch(l, c, &f->u.watch);
		break;
	case MSG_CLAIM:
		leader_handle_claim(l, c, &f->u.claim);
		break;
	case MSG_ACK:
		handle_ack(l, c, &f->u.config);
		break;
	case MSG_MODELS:
		send_models(l, c, f->u.models.sub);
		break;
	default:
		break;
	}
}

/* Periodic work. */

static void on_applied(void *arg)
{
	struct replica_leader *l = arg;

	l->dirty = true;
}

static void on_tick(void *arg)
{
	struct replica_leader *l = arg;
	int64_t now = leader_now(l);

	read_preset(l);
	if (l->dirty || now - l->plan_ms >= PLAN_EVERY_MS) {
		l->plan_ms = now;
		leader_plan(l, now);
	}
	if (!l->dirty && now % PLAN_EVERY_MS)
		return;
	l->dirty = false;
	push_configs(l);
	push_assigns(l);
	leader_push_routes(l);
}

static void *begin(struct daemon *d, struct group *g, struct routing *r,
		   struct stream_log *streams)
{
	struct replica_leader *l = g_new0(struct replica_leader, 1);
	struct metrics *m = d->metrics;

	(void)r;
	(void)streams;
	l->d = d;
	l->g = g;
	l->since_ms = leader_now(l);
	l->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	leader_tables_init(l);
	pacer_init(&l->pacer, l->since_ms);
	l->n_loads = metrics_value(m, "ss_lead_loads_total", "");
	l->n_unloads = metrics_value(m, "ss_lead_unloads_total", "");
	l->n_claims = metrics_value(m, "ss_lead_claims_total", "");
	l->n_plans = metrics_value(m, "ss_lead_plans_total", "");
	l->n_replicas = metrics_value(m, "ss_lead_replicas", "");
	l->load_hist = metrics_hist(m, "ss_lead_load_ms", "");
	read_preset(l);
	return l;
}

static void end(void *arg)
{
	struct replica_leader *l = arg;

	g_hash_table_unref(l->peers);
	leader_tables_clear(l);
	preset_clear(&l->preset);
	g_free(l);
}

const struct leader_ops replica_leader_ops = { begin,	   end,
					       on_open,	   on_closed,
					       on_message, on_applied,
					       on_tick,	   leader_status };
