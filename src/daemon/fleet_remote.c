/* Engines without an agent beside them: which control VM runs one. */
#include "fleet_lead_int.h"

/* Members are told this often whose agents they run, in ms: a quarter of the
 * time after which they end them unheard. */
#define TELL_MS 500
/* Engines are looked through this often, in ms: exact to a small part of a
 * lease. */
#define LOOK_MS 100
/* A member that hasn't answered for so long runs none, in ms: as long as a
 * connection between own processes stays silent until it is given up. */
#define MEMBER_QUIET_MS CONN_FAST_SILENT_MS

/* Members that can run agents: the leader only where nobody else is left. */
static GArray *able_members(const struct fleet_lead *l)
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

/* The member that runs an engine's agent; 0: the engine needs none. */
static uint64_t member_for(struct fleet_lead *l, struct fleet_ep *ep,
			   const GArray *ids, int64_t now)
{
	const struct routing_service *s =
		routing_service(l->routing, ep->service);
	int at;

	if (!s || !s->engine || !owner_is_missing(&ep->owner, now))
		return 0;
	/* It stays where it is for as long as that VM can be heard, also while
	 * its engine starts again and isn't listed for a moment. */
	if (ep->remote_at && has_id(ids, ep->remote_at))
		return ep->remote_at;
	if (!ep->listed)
		return 0;
	/* Its orders may still be on their way. */
	if (ep->owner.remote && owner_is_leased(&ep->owner, now))
		return 0;
	at = owner_choose(ep->addr, (const uint64_t *)ids->data, ids->len);
	return at < 0 ? 0 : g_array_index(ids, uint64_t, at);
}

/* One that has asked an entry for rest is read by no control VM meanwhile: the
 * entry may be beside it on its VM, and it is the VM that was asked. */
static void tell_member(struct fleet_lead *l, uint64_t id, int64_t now)
{
	GArray *names = g_array_new(FALSE, FALSE, sizeof(struct name_item));
	struct msg_remote m = { .fence = l->fence };
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_ep *ep = p;
		struct name_item n = { ss_str(ep->addr) };

		if (ep->remote_at == id && now >= ep->rest_until_ms)
			g_array_append_val(names, n);
	}
	m.engines = (struct wire_list){ names->data, names->len };
	group_tell(l->g, id, MSG_REMOTE, &m);
	g_array_unref(names);
}

void fleet_remote_tick(struct fleet_lead *l, int64_t now)
{
	bool changed = false, any = false;
	const struct ss_raft_members *all;
	GHashTableIter it;
	GArray *ids;
	void *p;

	if (!l->list_seen || now - l->remote_looked_ms < LOOK_MS)
		return;
	l->remote_looked_ms = now;
	ids = able_members(l);
	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_ep *ep = p;
		uint64_t id = member_for(l, ep, ids, now);

		if (id != ep->remote_at && id)
			log_info("agent_missing", "endpoint=%s run_by=%" PRIx64,
				 ep->addr, id);
		changed |= id != ep->remote_at;
		ep->remote_at = id;
		any |= id != 0;
	}
	g_array_unref(ids);
	if (!changed && (!any || now - l->remote_ms < TELL_MS))
		return;
	l->remote_ms = now;
	all = ss_raft_members(group_raft(l->g));
	for (size_t i = 0; i < all->n; i++)
		tell_member(l, all->m[i].id, now);
}
