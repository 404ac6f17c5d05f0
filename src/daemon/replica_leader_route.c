/* Routes: sends entries the replicas of the models that they watch. */
#include "replica_leader_int.h"

#include "../core/choose.h"

#include <xxhash.h>

/* Resolution of the estimated load time in routes, in ms; smaller changes
 * aren't sent. */
#define ETA_STEP_MS 250
#define SERVICE_PREFIX "/svc/"

static bool is_ready(const struct replica_leader *l,
		     const struct replica_rec *r)
{
	const struct leader_node *n;
	const struct leader_held *h;

	if (r->state != REPLICA_READY)
		return false;
	n = g_hash_table_lookup(l->nodes, r->node.p);
	/* Until the agent's first report, the replicated state counts. */
	if (!n || !n->reported)
		return true;
	h = leader_held_of(l, r);
	return h && h->state == HELD_READY;
}

static void add_replica(const struct replica_leader *l, GArray *out,
			const struct replica_rec *r)
{
	const struct node_rec *n = ss_state_node(group_state(l->g), r->node.p);
	struct route_replica rr = { .replica = r->id, .slots = r->slots };

	if (!n || !is_ready(l, r) || !leader_node_usable(l, n))
		return;
	rr.node = n->name;
	rr.addr = n->addr;
	rr.domain = n->domain;
	rr.incarnation = n->incarnation;
	rr.age_ms = ss_wall_ms() - r->at_ms - r->load_ms;
	g_array_append_val(out, rr);
}

static void model_route(const struct replica_leader *l,
			const struct leader_model *m, struct msg_route *route,
			GArray *out)
{
	const struct model_rec *rec = leader_resolve(l, m->name);
	GPtrArray *list;
	int64_t now = leader_now(l);

	if (!rec) {
		route->code = SS_ERROR_UNKNOWN_MODEL;
		return;
	}
	route->target = rec->name;
	list = ss_state_model_replicas(group_state(l->g), rec->name.p);
	for (guint i = 0; list && i < list->len; i++)
		add_replica(l, out, list->pdata[i]);
	if (out->len == 0 && m->eta_ms != SS_NEVER)
		route->eta_ms = MAX(m->eta_ms - now, 0);
}

static void service_route(const struct replica_leader *l,
			  const struct leader_model *m, struct msg_route *route,
			  GArray *out)
{
	const char *pool = m->name + strlen(SERVICE_PREFIX);
	GHashTableIter it;
	void *p;

	route->code = SS_ERROR_UNKNOWN_POOL;
	route->target = ss_str(m->name);
	g_hash_table_iter_init(&it, ss_state_nodes(group_state(l->g)));
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct node_rec *n = p;
		struct route_replica rr = { .slots = n->slots };

		if (n->kind != NODE_SERVICE || strcmp(n->pool.p, pool))
			continue;
		route->code = 0;
		if (!leader_node_usable(l, n))
			continue;
		rr.replica = XXH3_64bits(n->name.p, n->name.n) ^ n->incarnation;
		rr.node = n->name;
		rr.addr = n->addr;
		rr.domain = n->domain;
		rr.incarnation = n->incarnation;
		rr.age_ms = CHOOSE_SLOW_START_MS;
		g_array_append_val(out, rr);
	}
}

static gint compare_replica_ids(gconstpointer a, gconstpointer b)
{
	const struct route_replica *x = a, *y = b;

	return x->replica < y->replica ? -1 : x->replica > y->replica;
}

/* Appends the parts of a route whose change is sent to entries: not the
 * replicas' ages, nor small changes of the estimated time. */
static void add_signature(GString *s, const struct msg_route *m)
{
	const struct route_replica *rr = m->replicas.items;

	g_string_append_printf(s, "%" PRId64 " %" PRId64 " %.*s;", m->code,
			       m->eta_ms < 0 ? -1 : m->eta_ms / ETA_STEP_MS,
			       SS_FMT(m->target));
	for (size_t i = 0; i < m->replicas.n; i++)
		g_string_append_printf(s,
				       "%" PRIu64 "@%" PRIx64 "/%" PRIu64 ";",
				       rr[i].replica, rr[i].incarnation,
				       rr[i].slots);
}

/* Sends a model's route to one watch, or to all if only is NULL. A watch that
 * has the route already gets it only if always is set. */
static void push(struct replica_leader *l, struct leader_model *m,
		 struct leader_watch *only, bool always)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct route_replica));
	GString *sig = g_string_new(NULL);
	struct msg_route route = { .model = ss_str(m->name),
				   .eta_ms = -1,
				   .version =
					   ss_raft_applied(group_raft(l->g)) };

	if (g_str_has_prefix(m->name, SERVICE_PREFIX))
		service_route(l, m, &route, out);
	else
		model_route(l, m, &route, out);
	g_array_sort(out, compare_replica_ids);
	route.replicas = (struct wire_list){ out->data, out->len };
	add_signature(sig, &route);
	for (guint i = 0; i < m->watches->len; i++) {
		struct leader_watch *w = m->watches->pdata[i];

		if (only && w != only)
			continue;
		if (!always && g_string_equal(w->sent, sig))
			continue;
		g_string_assign(w->sent, sig->str);
		conn_send(w->conn, MSG_ROUTE, &route);
	}
	g_string_free(sig, TRUE);
	g_array_unref(out);
}

void leader_push_route(struct replica_leader *l, struct leader_model *m,
		       struct leader_watch *w)
{
	push(l, m, w, true);
}

void leader_push_routes(struct replica_leader *l)
{
	GHashTableIter it;
	void *m;

	g_hash_table_iter_init(&it, l->models);
	while (g_hash_table_iter_next(&it, NULL, &m))
		if (((struct leader_model *)m)->watches->len)
			push(l, m, NULL, false);
}
