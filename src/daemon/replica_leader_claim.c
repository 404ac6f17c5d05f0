/* Claims of at-most-once calls, which are unique across all entries. */
#include "replica_leader_int.h"

struct claim {
	struct replica_leader *l;
	struct conn *conn;
	uint64_t sub;
	uint64_t leader_since;
};

static void send_result(struct claim *k, const struct command_result *r)
{
	const struct node_rec *n;
	struct msg_claimed m = { .sub = k->sub,
				 .code = r->code,
				 .text = ss_str(r->text),
				 .entry = r->claim.entry,
				 .seq = r->claim.seq,
				 .node = r->claim.node,
				 .incarnation = r->claim.incarnation };
	char *node = ss_str_dup(r->claim.node);

	n = ss_state_node(group_state(k->l->g), node);
	g_free(node);
	if (n)
		m.addr = n->addr;
	conn_send(k->conn, MSG_CLAIMED, &m);
}

static void on_claimed(void *arg, const struct command_result *r,
		       const GError *error)
{
	struct claim *k = arg;

	/*
	 * Without a result the entry retries, possibly at a new leader; if the
	 * claim was committed after all, it is recognized as the entry's own.
	 */
	if (!error && g_hash_table_contains(k->l->peers, k->conn))
		send_result(k, r);
	g_free(k);
}

void leader_handle_claim(struct replica_leader *l, struct conn *c,
			 const struct msg_claim *m)
{
	struct claim *k = g_new0(struct claim, 1);
	struct claim_rec rec = { .key = m->key,
				 .fingerprint = m->fingerprint,
				 .entry = m->entry,
				 .seq = m->seq,
				 .node = m->node,
				 .incarnation = m->incarnation };
	struct command cmd = { .kind = COMMAND_CLAIM,
			       .claim = &rec,
			       .dead_entry = m->dead_entry,
			       .dead_seq = m->dead_seq };
	struct change_done done = { on_claimed, k };

	k->l = l;
	k->conn = c;
	k->sub = m->sub;
	(*l->n_claims)++;
	group_change(l->g, &cmd, done);
}
