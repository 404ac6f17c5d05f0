/* The platform's list, and which start of an endpoint is believed. */
#include "fleet_lead_int.h"

/* An endpoint that the list and its agent have both forgotten is dropped. */
#define LIST_GONE_MS 2500
/* A new leader begins with a list that isn't whole after so long: three
 * readings, and it waits no longer for its agents either. */
#define LIST_PARTS_MS 3000

/* Incarnations. */

/* What it said of itself. */
static void forget_words(struct fleet_ep *ep)
{
	ep->limit = (struct endpoint_limit){ .per_s = ENDPOINT_LIMIT_NONE };
	ep->rest_until_ms = 0;
	ep->says_leaving = false;
}

/* Nothing that is known or was ordered of the former one holds. */
static void forget_former(struct fleet_lead *l, struct fleet_ep *ep,
			  int64_t started_ms)
{
	log_info("endpoint_restarted",
		 "addr=%s id=%s started=%" PRId64 " before=%" PRId64, ep->addr,
		 ep->self.id, started_ms, ep->self.started_ms);
	fleet_step_restarted(l, ep);
	g_hash_table_remove_all(ep->calls);
	memset(&ep->failing, 0, sizeof(ep->failing));
	memset(&ep->failing_told, 0, sizeof(ep->failing_told));
	g_hash_table_remove_all(ep->refused);
	fleet_report_clear(&ep->report);
	ep->reported = ep->leaving_listed = false;
	g_ptr_array_unref(ep->on_list);
	ep->on_list = g_ptr_array_new_with_free_func(g_free);
	ep->changed = l->dirty = l->urgent = true;
}

/*
 * Whose word it is. The list tells a new id long after the agent told the new
 * start: what has come since of that start holds, only the id is news.
 */
enum fleet_relation fleet_ep_learn(struct fleet_lead *l, struct fleet_ep *ep,
				   const struct fleet_incarnation *told)
{
	enum fleet_relation how = fleet_incarnation_compare(&ep->self, told);

	if (how == FLEET_RESTARTED) {
		forget_words(ep);
		ep->slow = (struct fleet_slowness){ 0 };
	}
	if (how == FLEET_RESTARTED && ep->self.started_ms && told->started_ms &&
	    ep->self.started_ms != told->started_ms)
		forget_former(l, ep, told->started_ms);
	fleet_incarnation_update(&ep->self, told);
	return how;
}

/* The list. */

/*
 * The list tells of a restart a second late and more, while the engine's agent
 * asks the engine itself. Requests name the id: by the list's the engine would
 * refuse all of them until then.
 */
static bool is_outdated(const struct fleet_lead *l, const struct fleet_ep *ep,
			const struct fleet_incarnation *listed)
{
	return ep->conn && fleet_ep_reported(l, ep) &&
	       fleet_id_differs(&ep->report.self, listed);
}

/*
 * An entry of a former incarnation still tells whose the address is, and that
 * it is listed; what it held and that it was leaving is over.
 */
static void take_instance(struct fleet_lead *l, const struct fleet_instance *i,
			  int64_t now)
{
	static const GPtrArray none;
	struct fleet_ep *ep = fleet_ep_for(l, i->addr);
	struct fleet_incarnation told = fleet_instance_incarnation(i);
	bool first = !*ep->self.id;
	bool late, leaving, news;
	enum fleet_relation how;
	const GPtrArray *models;
	char *version = g_strdup(ep->self.version);

	if (ep->listed &&
	    fleet_incarnation_compare(&ep->self, &told) == FLEET_SAME &&
	    fleet_service_corrupt(l->routing, ep->service, i->service)) {
		fleet_ep_unreadable(l, ep, now);
		g_free(version);
		return;
	}
	fleet_ep_readable(l, ep, now);
	how = is_outdated(l, ep, &told) ? FLEET_STALE :
					  fleet_ep_learn(l, ep, &told);
	late = how == FLEET_STALE;
	leaving = i->draining && !late;
	models = late ? &none : i->models;
	news = first || how == FLEET_RESTARTED ||
	       strcmp(ep->service, i->service) || !ep->listed ||
	       ep->leaving_listed != leaving ||
	       g_strcmp0(version, ep->self.version);
	g_free(version);
	if (news || (!ep->reported && !fleet_same_names(ep->on_list, models)))
		ep->changed = l->dirty = true;
	if (news)
		log_info("endpoint",
			 "addr=%s id=%s started=%" PRId64
			 " version=%s service=%s leaving=%d models=%u late=%d",
			 i->addr, i->id, i->started_ms, i->version, i->service,
			 leaving, models->len, late);
	ss_str_set(&ep->service, ss_str(i->service));
	ss_str_set(&ep->domain, ss_str(i->domain ? i->domain : ""));
	ep->slots = i->slots;
	if (!late)
		fleet_streams_seen(l, ep);
	ep->listed = true;
	ep->leaving_listed = leaving;
	ep->listed_ms = now;
	g_ptr_array_unref(ep->on_list);
	ep->on_list = late ? g_ptr_array_new_with_free_func(g_free) :
			     g_ptr_array_ref(i->models);
}

void fleet_take_list(struct fleet_lead *l, struct fleet_list *all)
{
	int64_t now = fleet_lead_now(l);
	GHashTable *by_addr;
	GHashTableIter it;
	void *p;

	fleet_list_drop_conflicts(all, l->routing);
	by_addr = fleet_instances_by_addr(all->instances);
	g_hash_table_iter_init(&it, by_addr);
	while (g_hash_table_iter_next(&it, NULL, &p))
		take_instance(l, p, now);
	g_hash_table_unref(by_addr);
	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_ep *ep = p;

		/* The whole list gets one time, so that none of it looks
		 * older than the rest. */
		if (ep->listed && ep->listed_ms != now)
			fleet_ep_unlisted(l, ep, all, now);
		if (!ep->listed && !ep->conn && !ep->step.on && !ep->changed &&
		    now - ep->listed_ms > LIST_GONE_MS)
			g_hash_table_iter_remove(&it);
	}
	/* What is missing from a list in parts would pass for gone. */
	l->list_seen |= all->complete || now - l->since_ms > LIST_PARTS_MS;
}
