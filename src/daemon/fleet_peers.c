/* The fleet leader's peers: their connections, and the term and routing version
 * that they are sent. */
#include "fleet_leader_int.h"

struct fleet_ep *fleet_peer_engine(const struct fleet_peer *p)
{
	return p && p->owned->len ? p->owned->pdata[0] : NULL;
}

/* An agent needs only the services, and is notified when these change. */
static uint64_t routing_version_for(const struct fleet_leader *l,
				    const struct fleet_peer *p)
{
	const struct document *d = ss_state_routing(group_state(l->g));

	return p->entry ? document_version(d) : document_services_version(d);
}

/*
 * Sends a peer the routing version in force, which it then fetches from the
 * control VMs, and the owner of an engine its fencing token. An agent that owns
 * no engine gets no message, since it may give no orders.
 */
void fleet_send_term(struct fleet_leader *l, struct fleet_peer *p)
{
	const struct fleet_ep *ep = p->entry ? NULL : fleet_peer_engine(p);
	struct msg_term m = { .routing = routing_version_for(l, p) };

	if (!p->entry && !ep)
		return;
	m.fence = ep ? fleet_ep_fence(l, ep) : l->fence;
	if (conn_send(p->conn, MSG_TERM, &m))
		p->routing_sent = m.routing;
}

static bool is_behind(const struct fleet_leader *l, const struct fleet_peer *p)
{
	return p->entry && p->routing < l->routing_sent;
}

static void count_behind(struct fleet_leader *l)
{
	GHashTableIter it;
	void *p;

	l->entries_behind = 0;
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		l->entries_behind += is_behind(l, p);
}

void fleet_send_routing(struct fleet_leader *l)
{
	uint64_t version =
		document_version(ss_state_routing(group_state(l->g)));
	GHashTableIter it;
	void *v;

	if (version != l->routing_sent) {
		l->routing_sent = version;
		l->routing_read_ms = fleet_leader_now(l);
		count_behind(l);
	}
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_peer *p = v;

		if (p->confirmed && p->routing_sent < routing_version_for(l, p))
			fleet_send_term(l, p);
	}
}

/* Logs once when all connected entries follow the version in force. */
static void log_routing_everywhere(struct fleet_leader *l)
{
	uint64_t version = l->routing_sent;

	if (l->entries_behind || l->routing_everywhere == version)
		return;
	l->routing_everywhere = version;
	log_info("routing_everywhere", "version=%" PRIu64 " ms=%" PRId64,
		 version, fleet_leader_now(l) - l->routing_read_ms);
}

void fleet_peer_set_routing(struct fleet_leader *l, struct fleet_peer *p,
			    uint64_t version)
{
	l->entries_behind -= is_behind(l, p);
	p->routing = version;
	l->entries_behind += is_behind(l, p);
	log_routing_everywhere(l);
}

/* Connections. */

struct confirm {
	struct fleet_leader *l;
	struct conn *conn;
};

static void on_confirmed(void *arg, bool ok)
{
	struct confirm *k = arg;
	struct fleet_peer *p;

	/* Not ok: the leadership has ended and l is freed. */
	if (ok) {
		p = g_hash_table_lookup(k->l->peers, k->conn);
		if (p) {
			p->confirmed = true;
			fleet_send_term(k->l, p);
			k->l->dirty = k->l->urgent = true;
		}
	}
	g_free(k);
}

/*
 * A process that has just started would trust a leader that was deposed and
 * doesn't know it yet. So a peer is sent nothing before a majority has answered
 * this leader since the peer connected.
 */
void fleet_peer_open(struct fleet_leader *l, struct conn *c)
{
	struct fleet_peer *p = fleet_peer_new(c);
	struct confirm *k = g_new0(struct confirm, 1);

	p->entry = conn_peer(c)->role == ROLE_ENTRY;
	g_hash_table_insert(l->peers, c, p);
	l->entries += p->entry;
	l->entries_behind += is_behind(l, p);
	k->l = l;
	k->conn = c;
	group_confirm(l->g, (struct read_done){ on_confirmed, k });
}

static void remove_agent(struct fleet_leader *l, struct fleet_ep *ep)
{
	log_info("agent_lost", "endpoint=%s", ep->addr);
	fleet_ep_set_conn(l, ep, NULL);
	ep->unreachable = false;
	ep->changed = true;
}

void fleet_peer_closed(struct fleet_leader *l, struct conn *c)
{
	struct fleet_peer *gone = g_hash_table_lookup(l->peers, c);

	if (!gone)
		return;
	fleet_push_lost(l, gone);
	if (gone->entry)
		fleet_quota_client_lost(l, c);
	l->entries -= gone->entry;
	l->entries_behind -= is_behind(l, gone);
	fleet_drop_calls(l, gone);
	fleet_drop_waits(l, gone);
	while (gone->owned->len)
		remove_agent(l, gone->owned->pdata[0]);
	g_hash_table_remove(l->peers, c);
	log_routing_everywhere(l);
	l->dirty = true;
}
