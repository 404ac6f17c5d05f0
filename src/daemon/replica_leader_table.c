/* The leader's tables of nodes and models, and look-ups in them. */
#include "replica_leader_int.h"

bool leader_still_valid(const GError *error)
{
	return !error || error->code != SS_ERROR_NOT_LEADER;
}

static void node_free(void *p)
{
	struct leader_node *n = p;

	g_free(n->name);
	g_array_unref(n->held);
	g_hash_table_unref(n->cached);
	g_free(n);
}

struct leader_node *leader_node_for(struct replica_leader *l, const char *name)
{
	struct leader_node *n = g_hash_table_lookup(l->nodes, name);

	if (n)
		return n;
	n = g_new0(struct leader_node, 1);
	n->name = g_strdup(name);
	n->down_ms = l->since_ms;
	n->unlisted_ms = SS_NEVER;
	n->held = g_array_new(FALSE, FALSE, sizeof(struct leader_held));
	n->cached =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(l->nodes, n->name, n);
	return n;
}

static void watch_free(void *p)
{
	struct leader_watch *w = p;

	g_string_free(w->sent, TRUE);
	g_free(w);
}

static void model_free(void *p)
{
	struct leader_model *m = p;

	g_free(m->name);
	g_ptr_array_unref(m->watches);
	g_free(m->arrivals);
	g_free(m);
}

struct leader_model *leader_model_for(struct replica_leader *l,
				      const char *name)
{
	struct leader_model *m = g_hash_table_lookup(l->models, name);

	if (m)
		return m;
	m = g_new0(struct leader_model, 1);
	m->name = g_strdup(name);
	m->watches = g_ptr_array_new_with_free_func(watch_free);
	m->eta_ms = SS_NEVER;
	m->why = "nobody has asked for it";
	g_hash_table_insert(l->models, m->name, m);
	return m;
}

void leader_tables_init(struct replica_leader *l)
{
	l->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
	l->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  model_free);
}

void leader_tables_clear(struct replica_leader *l)
{
	g_hash_table_unref(l->models);
	g_hash_table_unref(l->nodes);
}

const struct model_rec *leader_resolve(const struct replica_leader *l,
				       const char *name)
{
	const struct ss_state *s = group_state(l->g);
	const struct model_rec *m = ss_state_model(s, name);
	const char *colon = strchr(name, ':');

	if (m || !colon)
		return m;
	m = ss_state_model(s, colon + 1);
	if (m && m->base.n == (size_t)(colon - name) &&
	    !strncmp(m->base.p, name, m->base.n))
		return m;
	return NULL;
}

bool leader_node_usable(const struct replica_leader *l,
			const struct node_rec *rec)
{
	const struct leader_node *n =
		g_hash_table_lookup(l->nodes, rec->name.p);
	int64_t now = leader_now(l);

	if (rec->state != NODE_LIVE || (n && n->draining))
		return false;
	if (n && n->conn)
		return true;
	if (now - l->since_ms < LEADER_GRACE_MS)
		return true;
	return n && now - n->down_ms < LEADER_NODE_LOST_MS;
}

const struct leader_held *leader_held_of(const struct replica_leader *l,
					 const struct replica_rec *r)
{
	const struct leader_node *n = g_hash_table_lookup(l->nodes, r->node.p);

	for (guint i = 0; n && i < n->held->len; i++) {
		const struct leader_held *h =
			&g_array_index(n->held, struct leader_held, i);

		if (h->replica == r->id)
			return h;
	}
	return NULL;
}
