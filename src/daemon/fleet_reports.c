/* Applies the reports of agents on their engines, and of entries on their
 * callers and on the endpoints' answers. */
#include "fleet_leader_int.h"

#include <math.h>

/* Change of an endpoint's failure rate above which entries are sent the new
 * one; it weighs as much as one more call at the endpoint. */
#define FAILURE_RATE_STEP 0.05
/* How long an entry's report of its queue is valid. */
#define WAIT_REPORT_TTL_MS 3000

/* Agents. */

/* Returns true if the agent owns the engine; sends a new owner its fencing
 * token. */
static bool acquire_engine(struct fleet_leader *l, struct fleet_ep *ep,
			   struct conn *c, bool remote)
{
	char *name = ss_str_dup(conn_peer(c)->name);
	enum owner_claim claim =
		owner_acquire(&ep->owner, name, remote, fleet_leader_now(l));
	struct fleet_peer *p = g_hash_table_lookup(l->peers, c);

	if (claim == OWNER_ACQUIRED)
		log_info("engine_owner",
			 "endpoint=%s name=%s remote=%d fence=%" PRIu64,
			 ep->addr, name, remote, fleet_ep_fence(l, ep));
	g_free(name);
	if (claim == OWNER_DENIED)
		return false;
	if (ep->conn == c)
		return true;
	fleet_ep_set_conn(l, ep, c);
	if (p && p->confirmed)
		fleet_send_term(l, p);
	return true;
}

static void apply_limit(struct fleet_leader *l, struct fleet_ep *ep,
			int64_t limit, int64_t age)
{
	if (!endpoint_limit_received(&ep->limit, limit, age,
				     fleet_leader_now(l)))
		return;
	log_info("endpoint_limit", "addr=%s id=%s per_s=%.3f", ep->addr,
		 ep->self.id, ep->limit.per_s);
	ep->changed = l->dirty = l->urgent = true;
}

void fleet_apply_agent_report(struct fleet_leader *l, struct conn *c,
			      const struct msg_endpoint *m)
{
	char *addr = ss_str_dup(m->addr);
	struct fleet_ep *ep = fleet_ep_for(l, addr);
	struct fleet_report r;
	enum fleet_relation relation;

	g_free(addr);
	if (!acquire_engine(l, ep, c, m->remote))
		return;
	fleet_work_add(l, WORK_AGENTS, 1);
	ss_str_set(&ep->agent, m->agent);
	if (!m->reachable) {
		if (ep->reported)
			log_info("endpoint_silent", "endpoint=%s", ep->addr);
		ep->reported = false;
		ep->unreachable = ep->changed = l->dirty = true;
		return;
	}
	ep->unreachable = false;
	fleet_report_read(&r, m);
	relation = fleet_ep_set_incarnation(l, ep, &r.self);
	if (relation == FLEET_STALE) {
		fleet_report_clear(&r);
		return;
	}
	apply_limit(l, ep, m->limit, m->limit_age);
	if (relation == FLEET_RESTARTED || !ep->reported ||
	    ep->report.draining != r.draining || ep->report.busy != r.busy ||
	    !fleet_same_models(ep->report.held, r.held))
		ep->changed = l->urgent = true;
	ep->adapters_changed |= !fleet_same_held(ep->report.held, r.held);
	ep->load_changed |= ep->report.running != r.running ||
			    ep->report.waiting != r.waiting;
	fleet_report_clear(&ep->report);
	ep->report = r;
	ep->reported = true;
	ep->report_ms = fleet_leader_now(l);
	l->dirty = true;
}

/* Entries. */

static void apply_demand(struct fleet_leader *l, struct fleet_peer *p,
			 const struct model_demand *m)
{
	char *service = ss_str_dup(m->service), *model = ss_str_dup(m->model);
	char *version = ss_str_dup(m->version);
	struct fleet_demand *w = fleet_demand_for(l, service, model, version);
	int64_t now = fleet_leader_now(l);
	struct entry_wait wait = { .waiting = m->waiting,
				   .due_ms = now + m->slack_ms,
				   .reported_ms = now };

	g_free(service);
	g_free(model);
	g_free(version);
	if (m->arrivals)
		fleet_rate_add(&w->rate, m->arrivals, now);
	fleet_demand_drop_entry(l, w, p);
	if (m->waiting) {
		fleet_demand_add_entry(w, p, &wait);
		/* Sends the wake time to a waiting entry at once. */
		w->eta_changed = true;
		l->urgent = true;
	}
	l->dirty = true;
}

/* True if a report is about an earlier incarnation, whose calls ended with it.
 */
static bool is_earlier_incarnation(const struct fleet_ep *ep,
				   int64_t started_ms)
{
	struct fleet_incarnation reported = { .started_ms = started_ms };

	return fleet_incarnation_compare(&ep->self, &reported) == FLEET_STALE;
}

static void apply_calls(struct fleet_leader *l, struct fleet_peer *p,
			const struct wire_list *list)
{
	const struct endpoint_calls *e = list->items;

	fleet_drop_calls(l, p);
	fleet_work_add(l, WORK_VISITS, list->n);
	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(e[i].addr);
		struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);

		g_free(addr);
		if (ep && !is_earlier_incarnation(ep, e[i].started_ms))
			fleet_ep_add_calls(ep, p, &e[i].models);
	}
}

/*
 * One entry among a hundred calls an endpoint too seldom to learn its failure
 * rate or slowness, so the leader adds up the results of all entries and sends
 * the sums to each of them.
 */
static void apply_results(struct fleet_leader *l, const struct wire_list *list)
{
	const struct endpoint_results *e = list->items;
	int64_t now = fleet_leader_now(l);

	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(e[i].addr);
		struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);

		g_free(addr);
		if (!ep || is_earlier_incarnation(ep, e[i].started_ms))
			continue;
		failure_rate_record(&ep->failures, e[i].failed, e[i].answered,
				    now);
		if (fabs(failure_rate_at(&ep->failures, now) -
			 failure_rate_at(&ep->failures_sent, now)) >
		    FAILURE_RATE_STEP)
			ep->load_changed = true;
		fleet_slowness_add(&ep->slowness, e[i].slowness_ln,
				   e[i].slowness_count, now);
		if (fleet_slowness_is_due(&ep->slowness, now))
			ep->load_changed = true;
	}
}

/*
 * An entry that has had no answer from an endpoint yet, or has just started,
 * doesn't know the endpoint's signals, so limits and draining are sent to all
 * entries. A backoff applies to one VM; entries on others may still be served.
 */
static void apply_signals(struct fleet_leader *l, struct fleet_ep *ep,
			  const struct endpoint_signals *w)
{
	int64_t now = fleet_leader_now(l);

	apply_limit(l, ep, w->limit, w->limit_age);
	if (w->draining && !ep->signals_draining) {
		log_info("endpoint_leaving", "addr=%s id=%s", ep->addr,
			 ep->self.id);
		ep->signals_draining = true;
		ep->changed = l->dirty = l->urgent = true;
	}
	if (now + w->backoff_ms > ep->backoff_until_ms && w->backoff_ms) {
		l->urgent |= now >= ep->backoff_until_ms;
		/* Members are sent their assignments at once. */
		l->remote_sent_ms = 0;
		ep->backoff_until_ms = now + w->backoff_ms;
	}
}

static void apply_signal_list(struct fleet_leader *l,
			      const struct wire_list *list)
{
	const struct endpoint_signals *w = list->items;

	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(w[i].addr), *id = ss_str_dup(w[i].id);
		struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);
		struct fleet_incarnation reported = {
			.id = id, .started_ms = w[i].started_ms
		};

		if (ep && fleet_incarnation_compare(&ep->self, &reported) ==
				  FLEET_SAME)
			apply_signals(l, ep, &w[i]);
		g_free(addr);
		g_free(id);
	}
}

void fleet_apply_entry_report(struct fleet_leader *l, struct conn *c,
			      const struct msg_demand *m)
{
	struct fleet_peer *p = g_hash_table_lookup(l->peers, c);
	const struct model_demand *d = m->models.items;

	if (!p)
		return;
	fleet_work_add(l, WORK_REPORTS, 1);
	p->round = MAX(p->round, m->round);
	fleet_peer_set_routing(l, p, m->routing);
	fleet_push_acked(l, p);
	for (size_t i = 0; i < m->models.n; i++)
		apply_demand(l, p, &d[i]);
	apply_calls(l, p, &m->calls);
	apply_results(l, &m->results);
	apply_signal_list(l, &m->signals);
	l->dirty = true;
}

/* Drops the reports that are no longer valid. */
static void expire_waits(struct fleet_leader *l, struct fleet_demand *w,
			 int64_t now)
{
	GHashTableIter it;
	void *c, *v;

	g_hash_table_iter_init(&it, w->waits);
	while (g_hash_table_iter_next(&it, &c, &v)) {
		struct fleet_peer *p = g_hash_table_lookup(l->peers, c);

		if (now - ((struct entry_wait *)v)->reported_ms <=
		    WAIT_REPORT_TTL_MS)
			continue;
		g_hash_table_iter_remove(&it);
		if (p)
			g_hash_table_remove(p->demands, w);
	}
}

void fleet_expire_demand(struct fleet_leader *l, int64_t now)
{
	GHashTableIter it;
	void *w;

	g_hash_table_iter_init(&it, l->demands);
	while (g_hash_table_iter_next(&it, NULL, &w)) {
		const struct fleet_demand *demand = w;

		if (g_hash_table_size(demand->waits))
			expire_waits(l, w, now);
		/* The demand of a model is kept; the demand of a version is
		 * dropped with its last waiting entry. */
		if (*demand->version && !g_hash_table_size(demand->waits))
			g_hash_table_iter_remove(&it);
	}
}
