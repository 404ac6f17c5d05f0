/* What a leader knows beside the replicated state, and does by it. */
#include "lead_int.h"

/* A pass at full size takes 1.8 ms; ten a second are 2 % of a core. */
#define PLAN_EVERY_MS 100

/* The configuration. */

static void read_preset(struct lead *l)
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

static void send_config(struct lead *l, struct lead_peer *p)
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

static void push_configs(struct lead *l)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		send_config(l, p);
}

/* Orders to agents. */

static void send_assign(struct lead *l, struct lead_node *n,
			const struct node_rec *rec)
{
	GPtrArray *list = ss_state_node_replicas(group_state(l->g), n->name);
	GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct order));
	struct msg_assign m = { .fence = rec->changed,
				.incarnation = rec->incarnation,
				.draining = rec->state == NODE_DRAINING };

	for (guint i = 0; list && i < list->len; i++) {
		const struct replica_rec *r = list->pdata[i];
		struct order o = { .replica = r->id,
				   .model = r->model,
				   .base = r->base,
				   .bytes = r->bytes,
				   .slots = r->slots,
				   .unload = r->state == REPLICA_UNLOADING };

		g_array_append_val(orders, o);
	}
	m.orders = (struct wire_list){ orders->data, orders->len };
	if (conn_send(n->conn, MSG_ASSIGN, &m))
		n->fence_sent = rec->changed;
	g_array_unref(orders);
}

static void push_assigns(struct lead *l)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->nodes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct lead_node *n = p;
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
	struct lead_asked *k = arg;
	struct lead_peer *p;

	/* Not ok: the leadership has ended, and l with it. */
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
 * A process that has just started knows nothing, and would believe an old
 * leader that doesn't know of its end. So nothing is told before a
 * majority has answered this leader since the process asked.
 */
static void confirm_for(struct lead *l, struct conn *c)
{
	struct lead_asked *k = g_new0(struct lead_asked, 1);
	struct read_done done = { on_confirmed, k };

	k->l = l;
	k->conn = c;
	group_confirm(l->g, done);
}

static void on_open(void *arg, struct conn *c)
{
	struct lead *l = arg;
	struct lead_peer *p = g_new0(struct lead_peer, 1);

	p->conn = c;
	p->entry = conn_peer(c)->role == ROLE_ENTRY;
	g_hash_table_insert(l->peers, c, p);
	confirm_for(l, c);
}

static void drop_wants(struct lead *l, struct conn *c)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->models);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		GPtrArray *wants = ((struct lead_model *)p)->wants;

		for (guint i = wants->len; i-- > 0;)
			if (((struct lead_want *)wants->pdata[i])->conn == c)
				g_ptr_array_remove_index_fast(wants, i);
	}
}

static void on_closed(void *arg, struct conn *c)
{
	struct lead *l = arg;
	GHashTableIter it;
	void *p;

	if (!g_hash_table_remove(l->peers, c))
		return;
	drop_wants(l, c);
	g_hash_table_iter_init(&it, l->nodes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct lead_node *n = p;

		if (n->conn != c)
			continue;
		n->conn = NULL;
		n->registered = false;
		n->down_ms = lead_now(l);
	}
	l->dirty = true;
}

/* Entries. */

static struct lead_want *want_for(struct lead_model *m, struct conn *c)
{
	struct lead_want *w;

	for (guint i = 0; i < m->wants->len; i++)
		if (((struct lead_want *)m->wants->pdata[i])->conn == c)
			return m->wants->pdata[i];
	w = g_new0(struct lead_want, 1);
	w->conn = c;
	w->sent = g_string_new(NULL);
	g_ptr_array_add(m->wants, w);
	return w;
}

static void count_arrivals(struct lead *l, struct lead_model *m, uint64_t n)
{
	if (n == 0 || m->name[0] == '/' || !lead_resolve(l, m->name))
		return;
	if (!m->arrivals)
		m->arrivals = g_new0(struct ss_arrivals, 1);
	ss_arrivals_add(m->arrivals, &l->all, ss_wall_now());
}

static void take_watch(struct lead *l, struct conn *c,
		       const struct msg_watch *m)
{
	char *name = ss_str_dup(m->model);
	struct lead_model *model = lead_model_for(l, name);
	struct lead_want *w = want_for(model, c);
	int64_t now = lead_now(l);

	g_free(name);
	count_arrivals(l, model, m->arrivals);
	if (m->done) {
		g_ptr_array_remove_fast(model->wants, w);
		return;
	}
	w->waiting = m->waiting;
	w->priority = (int)CLAMP(m->priority, 0, 7);
	w->deadline_ms = now + m->deadline_ms;
	w->at_ms = now;
	/* Decide first, so that the answer carries the wake time. */
	if (w->waiting)
		lead_plan(l, now);
	lead_push_route(l, model, w);
}

static void take_ack(struct lead *l, struct conn *c, const struct msg_config *m)
{
	struct lead_peer *p = g_hash_table_lookup(l->peers, c);

	if (p)
		p->config = m->version;
}

static void send_models(struct lead *l, struct conn *c, uint64_t sub)
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
	struct lead *l = arg;

	switch (f->kind) {
	case MSG_REGISTER:
		lead_take_register(l, c, &f->u.reg);
		break;
	case MSG_REPORT:
		lead_take_report(l, c, &f->u.report);
		break;
	case MSG_WATCH:
		take_watch(l, c, &f->u.watch);
		break;
	case MSG_CLAIM:
		lead_claim(l, c, &f->u.claim);
		break;
	case MSG_ACK:
		take_ack(l, c, &f->u.config);
		break;
	case MSG_MODELS:
		send_models(l, c, f->u.models.sub);
		break;
	default:
		break;
	}
}

/* Time. */

static void on_applied(void *arg)
{
	struct lead *l = arg;

	l->dirty = true;
}

static void on_tick(void *arg)
{
	struct lead *l = arg;
	int64_t now = lead_now(l);

	read_preset(l);
	if (l->dirty || now - l->plan_ms >= PLAN_EVERY_MS) {
		l->plan_ms = now;
		lead_plan(l, now);
	}
	if (!l->dirty && now % PLAN_EVERY_MS)
		return;
	l->dirty = false;
	push_configs(l);
	push_assigns(l);
	lead_push_routes(l);
}

static void *begin(struct daemon *d, struct group *g, struct routing *r,
		   struct stream_log *streams)
{
	(void)streams;
	struct lead *l = g_new0(struct lead, 1);
	struct metrics *m = d->metrics;

	(void)r;
	l->d = d;
	l->g = g;
	l->since_ms = lead_now(l);
	l->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	lead_tables_init(l);
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
	struct lead *l = arg;

	g_hash_table_unref(l->peers);
	lead_tables_clear(l);
	preset_clear(&l->preset);
	g_free(l);
}

const struct leader_ops lead_ops = { begin,	end,	    on_open,
				     on_closed, on_message, on_applied,
				     on_tick,	lead_status };
