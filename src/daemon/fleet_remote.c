/* Assigns engines that have no agent on their own VM to control VMs, which run
 * agents for them. */
#include "fleet_leader_int.h"

/* How often members are sent the engines whose agents they run, in ms: a
 * quarter of the time after which they stop these agents without a message. */
#define SEND_INTERVAL_MS 500
/* How often engines are assigned, in ms: a small part of a lease. */
#define ASSIGN_INTERVAL_MS 100
/* A member that hasn't answered for this long gets no agents, in ms: the
 * silence after which a connection between the daemon's processes is closed. */
#define MEMBER_QUIET_MS CONN_FAST_SILENT_MS

/* Returns the members that can run agents; the leader only if no other member
 * is available. */
static GArray *available_members(const struct fleet_leader *l)
{
	const struct ss_raft *r = group_raft(l->g);
	const struct ss_raft_members *all = ss_raft_members(r);
	uint64_t self = ss_raft_leader(r);
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (size_t i = 0; i < all->n; i++)
		if (all->m[i].id != self &&
		    ss_raft_quiet_ms(r, all->m[i].id) < MEMBER_QUIET_MS)
			g_array_append_val(ids, all->m[i].id);
	if (!ids->len)
		g_array_append_val(ids, self);
	return ids;
}

static bool has_id(const GArray *ids, uint64_t id)
{
	for (guint i = 0; i < ids->len; i++)
		if (g_array_index(ids, uint64_t, i) == id)
			return true;
	return false;
}

/* Returns the member that runs an engine's agent; 0: none, as the engine needs
 * none or can't be given to one yet. */
static uint64_t choose_member(struct fleet_leader *l, struct fleet_ep *ep,
			      const GArray *ids, int64_t now)
{
	const struct routing_service *s =
		routing_service(l->routing, ep->service);
	int at;

	if (!s || !s->engine || !owner_is_missing(&ep->owner, now))
		return 0;
	/* The agent stays where it is while that member answers, also while the
	 * engine restarts and is missing from the list for a moment. */
	if (ep->remote_member && has_id(ids, ep->remote_member))
		return ep->remote_member;
	if (!ep->listed)
		return 0;
	/* Orders of the former remote owner may still be in flight. */
	if (ep->owner.remote && owner_is_leased(&ep->owner, now))
		return 0;
	at = owner_choose(ep->addr, (const uint64_t *)ids->data, ids->len);
	return at < 0 ? 0 : g_array_index(ids, uint64_t, at);
}

/* Sends a member the engines whose agents it runs, except those in backoff: a
 * backoff that an engine has requested of an entry applies to the entry's VM,
 * and the agent may run on the same one. */
static void send_assignment(struct fleet_leader *l, uint64_t id, int64_t now)
{
	GArray *names = g_array_new(FALSE, FALSE, sizeof(struct name_item));
	struct msg_remote m = { .fence = l->fence };
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_ep *ep = p;
		struct name_item n = { ss_str(ep->addr) };

		if (ep->remote_member == id && now >= ep->backoff_until_ms)
			g_array_append_val(names, n);
	}
	m.engines = (struct wire_list){ names->data, names->len };
	group_send(l->g, id, MSG_REMOTE, &m);
	g_array_unref(names);
}

void fleet_remote_tick(struct fleet_leader *l, int64_t now)
{
	bool changed = false, any = false;
	const struct ss_raft_members *all;
	GHashTableIter it;
	GArray *ids;
	void *p;

	if (!l->list_received ||
	    now - l->remote_assigned_ms < ASSIGN_INTERVAL_MS)
		return;
	l->remote_assigned_ms = now;
	ids = available_members(l);
	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_ep *ep = p;
		uint64_t id = choose_member(l, ep, ids, now);

		if (id != ep->remote_member && id)
			log_info("agent_missing", "endpoint=%s run_by=%" PRIx64,
				 ep->addr, id);
		changed |= id != ep->remote_member;
		ep->remote_member = id;
		any |= id != 0;
	}
	g_array_unref(ids);
	if (!changed && (!any || now - l->remote_sent_ms < SEND_INTERVAL_MS))
		return;
	l->remote_sent_ms = now;
	all = ss_raft_members(group_raft(l->g));
	for (size_t i = 0; i < all->n; i++)
		send_assignment(l, all->m[i].id, now);
}
