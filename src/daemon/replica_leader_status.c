/* The leader's status and explanations for operators. */
#include "replica_leader_int.h"

#include <json-c/json.h>

static void add_text(json_object *o, const char *key, struct ss_str s)
{
	json_object_object_add(
		o, key, json_object_new_string_len(s.p ? s.p : "", (int)s.n));
}

static void add_number(json_object *o, const char *key, int64_t n)
{
	json_object_object_add(o, key, json_object_new_int64(n));
}

static json_object *peer_json(const struct leader_peer *p)
{
	static const char *const roles[] = { "?", "entry", "agent", "control" };
	const struct msg_hello *h = conn_peer(p->conn);
	json_object *o = json_object_new_object();

	add_text(o, "name", h->name);
	add_text(o, "role", ss_str(roles[h->role & 3]));
	add_text(o, "domain", h->domain);
	add_number(o, "config", (int64_t)p->config);
	return o;
}

static const char *const node_states[] = { "?", "live", "draining", "gone" };
static const char *const replica_states[] = { "?", "loading", "ready",
					      "unloading", "gone" };

static json_object *node_json(struct replica_leader *l,
			      const struct node_rec *rec)
{
	json_object *o = json_object_new_object();

	add_text(o, "name", rec->name);
	add_text(o, "pool", rec->pool);
	add_text(o, "domain", rec->domain);
	add_text(o, "state", ss_str(node_states[rec->state & 3]));
	json_object_object_add(
		o, "usable",
		json_object_new_boolean(leader_node_usable(l, rec)));
	add_number(o, "bytes", (int64_t)rec->bytes);
	add_number(o, "reserved",
		   (int64_t)ss_state_reserved(group_state(l->g), rec->name.p));
	return o;
}

static json_object *replica_json(const struct replica_leader *l,
				 const struct replica_rec *r)
{
	const struct leader_held *h = leader_held_of(l, r);
	json_object *o = json_object_new_object();

	add_number(o, "id", (int64_t)r->id);
	add_text(o, "model", r->model);
	add_text(o, "node", r->node);
	add_text(o, "state", ss_str(replica_states[r->state % 5]));
	add_number(o, "bytes", (int64_t)r->bytes);
	add_number(o, "load_ms", r->load_ms);
	if (h) {
		add_number(o, "active", (int64_t)h->active);
		add_number(o, "idle_ms", h->idle_ms);
	}
	return o;
}

static json_object *queue_json(struct replica_leader *l,
			       const struct leader_model *m)
{
	json_object *o = json_object_new_object();
	uint64_t waiting = 0;

	(void)l;
	for (guint i = 0; i < m->watches->len; i++)
		waiting +=
			((struct leader_watch *)m->watches->pdata[i])->waiting;
	add_text(o, "model", ss_str(m->name));
	add_number(o, "waiting", (int64_t)waiting);
	add_number(o, "entries", m->watches->len);
	return o;
}

void leader_status(void *leader, json_object *root)
{
	struct replica_leader *l = leader;
	const struct ss_state *s = group_state(l->g);
	json_object *list = json_object_new_array();
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		json_object_array_add(list, peer_json(p));
	json_object_object_add(root, "processes", list);
	list = json_object_new_array();
	g_hash_table_iter_init(&it, ss_state_nodes(s));
	while (g_hash_table_iter_next(&it, NULL, &p))
		json_object_array_add(list, node_json(l, p));
	json_object_object_add(root, "nodes", list);
	list = json_object_new_array();
	g_hash_table_iter_init(&it, ss_state_replicas(s));
	while (g_hash_table_iter_next(&it, NULL, &p))
		json_object_array_add(list, replica_json(l, p));
	json_object_object_add(root, "replicas", list);
	list = json_object_new_array();
	g_hash_table_iter_init(&it, l->models);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (((struct leader_model *)p)->watches->len)
			json_object_array_add(list, queue_json(l, p));
	json_object_object_add(root, "queues", list);
	add_number(root, "claims", (int64_t)ss_state_claims(s));
}

json_object *leader_explain(struct replica_leader *l, const char *name)
{
	const struct model_rec *rec = leader_resolve(l, name);
	struct leader_model *m;
	json_object *o, *list;
	GPtrArray *replicas;
	int64_t now = leader_now(l);

	if (!rec)
		return NULL;
	m = leader_model_for(l, name);
	o = queue_json(l, m);
	add_text(o, "why", ss_str(m->why));
	if (m->eta_ms != SS_NEVER)
		add_number(o, "eta_ms", MAX(m->eta_ms - now, 0));
	if (m->unload_why) {
		add_text(o, "last_unload_why", ss_str(m->unload_why));
		add_number(o, "last_unload_ms_ago", now - m->unload_ms);
	}
	add_number(o, "bytes", (int64_t)rec->bytes);
	add_number(o, "load_ms", m->load_ms);
	json_object_object_add(o, "expected_soon",
			       json_object_new_boolean(m->expected));
	list = json_object_new_array();
	replicas = ss_state_model_replicas(group_state(l->g), rec->name.p);
	for (guint i = 0; replicas && i < replicas->len; i++)
		json_object_array_add(list,
				      replica_json(l, replicas->pdata[i]));
	json_object_object_add(o, "replicas", list);
	return o;
}
