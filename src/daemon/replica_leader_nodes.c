/* Updates of nodes from their agents' reports and the platform's VM list. */
#include "replica_leader_int.h"

#include "../vmlist/vms.h"

/* A VM that is neither listed by the platform nor connected is removed after
 * this time, in ms. Until then its memory stays reserved. */
#define REMOVE_AFTER_MS 5000

/* Agents. */

static void set_cached(struct leader_node *n, const struct wire_list *list)
{
	const struct cached_checkpoint *c = list->items;

	if (list->n == 0)
		return;
	g_hash_table_remove_all(n->cached);
	for (size_t i = 0; i < list->n; i++)
		g_hash_table_insert(n->cached, ss_str_dup(c[i].model),
				    GINT_TO_POINTER((int)c[i].tier));
}

static void set_held(struct replica_leader *l, struct leader_node *n,
		     const struct wire_list *list)
{
	const struct held_replica *h = list->items;

	g_array_set_size(n->held, 0);
	for (size_t i = 0; i < list->n; i++) {
		struct leader_held x = { .replica = h[i].replica,
					 .state = h[i].state,
					 .active = h[i].active,
					 .served = h[i].served,
					 .idle_ms = h[i].idle_ms };

		if (x.replica)
			g_array_append_val(n->held, x);
	}
	n->reported = true;
	n->report_ms = leader_now(l);
}

static void on_registered(void *arg, const struct command_result *r,
			  const GError *error)
{
	struct leader_pending *k = arg;
	struct leader_node *n;
	char *name;

	if (!error && r->code == 0 &&
	    g_hash_table_contains(k->l->peers, k->conn)) {
		name = ss_str_dup(conn_peer(k->conn)->name);
		n = leader_node_for(k->l, name);
		g_free(name);
		if (n->conn == k->conn)
			n->registered = true;
		k->l->dirty = true;
	}
	g_free(k);
}

void leader_handle_register(struct replica_leader *l, struct conn *c,
			    const struct msg_register *m)
{
	char *name = ss_str_dup(m->name);
	struct leader_node *n = leader_node_for(l, name);
	const struct node_rec *old = ss_state_node(group_state(l->g), name);
	struct node_rec rec = { .name = m->name,
				.pool = m->pool,
				.domain = m->domain,
				.addr = m->addr,
				.kind = m->kind,
				.incarnation = m->incarnation,
				.bytes = m->bytes,
				.slots = m->slots };
	struct command cmd = { .kind = COMMAND_NODE_PUT, .node = &rec };
	struct leader_pending *k = g_new0(struct leader_pending, 1);
	struct change_done done = { on_registered, k };
	bool same = old && old->incarnation == m->incarnation &&
		    ss_str_eq(old->addr, m->addr) &&
		    ss_str_eq(old->pool, m->pool) && old->bytes == m->bytes &&
		    old->slots == m->slots && ss_str_eq(old->domain, m->domain);

	g_free(name);
	n->conn = c;
	n->incarnation = m->incarnation;
	n->registered = false;
	n->fence_sent = 0;
	n->draining = false;
	set_held(l, n, &m->held);
	/* Replica ids come only with the first report, not in this list. */
	n->reported = false;
	set_cached(n, &m->cached);
	k->l = l;
	k->conn = c;
	if (same) {
		/* The record is unchanged, so nothing is committed; a majority
		 * confirms the leadership by the read of confirm_for(). */
		struct command_result ok = { 0 };

		on_registered(k, &ok, NULL);
		return;
	}
	log_info("register", "node=%.*s incarnation=%" PRIx64, SS_FMT(m->name),
		 m->incarnation);
	group_change(l->g, &cmd, done);
}

static void on_state_applied(void *arg, const struct command_result *r,
			     const GError *error)
{
	struct leader_pending *k = arg;

	(void)r;
	if (leader_still_valid(error))
		k->l->open_decisions--;
	g_free(k);
}

static void propose_replica_state(struct replica_leader *l, uint64_t id,
				  int64_t state, int64_t load_ms)
{
	struct replica_rec rec = { .id = id,
				   .state = state,
				   .load_ms = load_ms };
	struct command c = { .kind = COMMAND_REPLICA_STATE, .replica = &rec };
	struct leader_pending *k = g_new0(struct leader_pending, 1);

	k->l = l;
	l->open_decisions++;
	group_change(l->g, &c, (struct change_done){ on_state_applied, k });
}

static void record_load(struct replica_leader *l, const struct replica_rec *r,
			int64_t load_ms)
{
	struct leader_model *m = leader_model_for(l, r->model.p);

	if (load_ms <= 0)
		return;
	m->load_ms = load_ms;
	hist_add(l->load_hist, (uint64_t)load_ms);
	pacer_loaded(&l->pacer, r->bytes, load_ms);
}

/* Proposes a replica's new state if the agent's report is ahead of it. */
static void compare_held(struct replica_leader *l, const struct held_replica *h)
{
	const struct replica_rec *r =
		ss_state_replica(group_state(l->g), h->replica);

	if (!r)
		return;
	if (h->state == HELD_READY && r->state == REPLICA_LOADING) {
		record_load(l, r, h->load_ms);
		propose_replica_state(l, r->id, REPLICA_READY, h->load_ms);
	} else if (h->state == HELD_GONE && r->state == REPLICA_UNLOADING) {
		propose_replica_state(l, r->id, REPLICA_GONE, 0);
	}
}

void leader_handle_report(struct replica_leader *l, struct conn *c,
			  const struct msg_report *m)
{
	char *name = ss_str_dup(conn_peer(c)->name);
	struct leader_node *n = leader_node_for(l, name);
	const struct held_replica *h = m->held.items;

	g_free(name);
	if (n->conn != c || n->incarnation != m->incarnation)
		return;
	set_held(l, n, &m->held);
	set_cached(n, &m->cached);
	n->draining = m->draining;
	for (size_t i = 0; i < m->held.n; i++)
		if (h[i].replica)
			compare_held(l, &h[i]);
	l->dirty = true;
}

/* The platform's VM list. */

static void propose_node_state(struct replica_leader *l,
			       const struct node_rec *rec, int64_t state)
{
	struct node_rec want = { .name = rec->name,
				 .state = state,
				 .incarnation = rec->incarnation };
	struct command c = { .kind = COMMAND_NODE_STATE, .node = &want };
	struct leader_pending *k = g_new0(struct leader_pending, 1);

	log_info("node_state", "node=%s state=%" PRId64, rec->name.p, state);
	k->l = l;
	l->open_decisions++;
	group_change(l->g, &c, (struct change_done){ on_state_applied, k });
}

static const struct vm *vm_named(const struct vm *vms, size_t n,
				 struct ss_str name)
{
	for (size_t i = 0; i < n; i++)
		if (ss_str_eq(vms[i].name, name))
			return &vms[i];
	return NULL;
}

static void check_vm(struct replica_leader *l, const struct node_rec *rec,
		     const struct vm *vm)
{
	struct leader_node *n = leader_node_for(l, rec->name.p);
	int64_t now = leader_now(l);

	if (vm) {
		n->listed = true;
		n->unlisted_ms = SS_NEVER;
		if (vm->state == VM_DRAINING && rec->state == NODE_LIVE)
			propose_node_state(l, rec, NODE_DRAINING);
		return;
	}
	if (n->unlisted_ms == SS_NEVER)
		n->unlisted_ms = now;
	/*
	 * The list lags, so a new VM may not be on it yet, and a connected VM
	 * exists even if it isn't listed.
	 */
	if (n->conn || now - n->down_ms < REMOVE_AFTER_MS ||
	    now - n->unlisted_ms < REMOVE_AFTER_MS)
		return;
	propose_node_state(l, rec, NODE_GONE);
}

void leader_set_vms(struct replica_leader *l, const struct vm *vms, size_t n)
{
	GList *all = g_hash_table_get_values(ss_state_nodes(group_state(l->g)));

	for (GList *p = all; p && !l->open_decisions; p = p->next) {
		const struct node_rec *rec = p->data;

		check_vm(l, rec, vm_named(vms, n, rec->name));
	}
	g_list_free(all);
}
