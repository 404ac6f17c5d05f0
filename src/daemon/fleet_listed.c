/* Applies the VM list to the fleet leader's endpoints, and decides which
 * incarnation of an endpoint is the current one. */
#include "fleet_leader_int.h"

/* An endpoint that has no agent is dropped once it is missing from the list for
 * this long. */
#define UNLISTED_DROP_MS 2500
/* A new leader accepts an incomplete list after this long: three polls of the
 * list, and the longest time for which preloading waits for agents. */
#define PARTIAL_LIST_WAIT_MS 3000

/* Incarnations. */

/* Clears what the endpoint stated in its answers. */
static void clear_signals(struct fleet_ep *ep)
{
	ep->limit = (struct endpoint_limit){ .per_s = ENDPOINT_LIMIT_NONE };
	ep->backoff_until_ms = 0;
	ep->signals_draining = false;
}

/* Drops the state and the planned step of an earlier incarnation. */
static void reset_incarnation(struct fleet_leader *l, struct fleet_ep *ep,
			      int64_t started_ms)
{
	log_info("endpoint_restarted",
		 "addr=%s id=%s started=%" PRId64 " before=%" PRId64, ep->addr,
		 ep->self.id, started_ms, ep->self.started_ms);
	fleet_step_restarted(l, ep);
	g_hash_table_remove_all(ep->calls);
	memset(&ep->failures, 0, sizeof(ep->failures));
	memset(&ep->failures_sent, 0, sizeof(ep->failures_sent));
	g_hash_table_remove_all(ep->failed_loads);
	fleet_report_clear(&ep->report);
	ep->reported = ep->listed_draining = false;
	g_ptr_array_unref(ep->listed_models);
	ep->listed_models = g_ptr_array_new_with_free_func(g_free);
	ep->changed = l->dirty = l->urgent = true;
}

/*
 * The list reports a new id long after the agent reported the new start time.
 * State received in between for that start time stays valid; only the id is
 * new.
 */
enum fleet_relation
fleet_ep_set_incarnation(struct fleet_leader *l, struct fleet_ep *ep,
			 const struct fleet_incarnation *reported)
{
	enum fleet_relation relation =
		fleet_incarnation_compare(&ep->self, reported);

	if (relation == FLEET_RESTARTED) {
		clear_signals(ep);
		ep->slowness = (struct fleet_slowness){ 0 };
	}
	if (relation == FLEET_RESTARTED && ep->self.started_ms &&
	    reported->started_ms && ep->self.started_ms != reported->started_ms)
		reset_incarnation(l, ep, reported->started_ms);
	fleet_incarnation_update(&ep->self, reported);
	return relation;
}

/* The list. */

/*
 * True if the agent reports another id than the list, which shows a restart a
 * second or more late, while the agent asks the engine itself. Requests carry
 * the id; with the list's outdated one, the engine would refuse all of them
 * until the list catches up.
 */
static bool is_outdated(const struct fleet_leader *l, const struct fleet_ep *ep,
			const struct fleet_incarnation *listed)
{
	return ep->conn && fleet_ep_reported(l, ep) &&
	       fleet_id_differs(&ep->report.self, listed);
}

/*
 * A list item of an earlier incarnation still shows that the address is listed,
 * and for which service; its models and its draining state are outdated.
 */
static void apply_instance(struct fleet_leader *l,
			   const struct fleet_instance *i, int64_t now)
{
	static const GPtrArray none;
	struct fleet_ep *ep = fleet_ep_for(l, i->addr);
	struct fleet_incarnation listed = fleet_instance_incarnation(i);
	bool first = !*ep->self.id;
	bool stale, draining, changed;
	enum fleet_relation relation;
	const GPtrArray *models;
	char *version = g_strdup(ep->self.version);

	if (ep->listed &&
	    fleet_incarnation_compare(&ep->self, &listed) == FLEET_SAME &&
	    fleet_service_corrupt(l->routing, ep->service, i->service)) {
		fleet_ep_unreadable(l, ep, now);
		g_free(version);
		return;
	}
	fleet_ep_readable(l, ep, now);
	relation = is_outdated(l, ep, &listed) ?
			   FLEET_STALE :
			   fleet_ep_set_incarnation(l, ep, &listed);
	stale = relation == FLEET_STALE;
	draining = i->draining && !stale;
	models = stale ? &none : i->models;
	changed = first || relation == FLEET_RESTARTED ||
		  strcmp(ep->service, i->service) || !ep->listed ||
		  ep->listed_draining != draining ||
		  g_strcmp0(version, ep->self.version);
	g_free(version);
	if (changed ||
	    (!ep->reported && !fleet_same_names(ep->listed_models, models)))
		ep->changed = l->dirty = true;
	if (changed)
		log_info("endpoint",
			 "addr=%s id=%s started=%" PRId64
			 " version=%s service=%s leaving=%d models=%u late=%d",
			 i->addr, i->id, i->started_ms, i->version, i->service,
			 draining, models->len, stale);
	ss_str_set(&ep->service, ss_str(i->service));
	ss_str_set(&ep->domain, ss_str(i->domain ? i->domain : ""));
	ep->slots = i->slots;
	if (!stale)
		fleet_streams_add_version(l, ep);
	ep->listed = true;
	ep->listed_draining = draining;
	ep->listed_ms = now;
	g_ptr_array_unref(ep->listed_models);
	ep->listed_models = stale ? g_ptr_array_new_with_free_func(g_free) :
				    g_ptr_array_ref(i->models);
}

void fleet_apply_list(struct fleet_leader *l, struct fleet_list *all)
{
	int64_t now = fleet_leader_now(l);
	GHashTable *by_addr;
	GHashTableIter it;
	void *p;

	fleet_list_drop_conflicts(all, l->routing);
	by_addr = fleet_instances_by_addr(all->instances);
	g_hash_table_iter_init(&it, by_addr);
	while (g_hash_table_iter_next(&it, NULL, &p))
		apply_instance(l, p, now);
	g_hash_table_unref(by_addr);
	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_ep *ep = p;

		/* All items of a list carry the same time, so an endpoint with
		 * another time is missing from it. */
		if (ep->listed && ep->listed_ms != now)
			fleet_ep_unlisted(l, ep, all, now);
		if (!ep->listed && !ep->conn && !ep->step.active &&
		    !ep->changed && now - ep->listed_ms > UNLISTED_DROP_MS)
			g_hash_table_iter_remove(&it);
	}
	/* With an incomplete list, endpoints that exist would be missing. */
	l->list_received |= all->complete ||
			    now - l->since_ms > PARTIAL_LIST_WAIT_MS;
}
