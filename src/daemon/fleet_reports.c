/* What agents tell of their engines, and entries of their callers. */
#include "fleet_lead_int.h"

#include <math.h>

/* A share of failures that differs by more is told: as one call more there. */
#define FAILING_NEWS 0.05
/* What an entry said of its queue holds for so long. */
#define WANT_MS 3000

/* Agents. */

/* Whether it may speak for the engine; a new owner is told its fence. */
static bool owns(struct fleet_lead *l, struct fleet_ep *ep, struct conn *c,
		 bool remote)
{
	char *name = ss_str_dup(conn_peer(c)->name);
	enum owner_claim claim =
		owner_acquire(&ep->owner, name, remote, fleet_lead_now(l));
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
	fleet_ep_owned_by(l, ep, c);
	if (p && p->confirmed)
		fleet_tell_term(l, p);
	return true;
}

void fleet_take_endpoint(struct fleet_lead *l, struct conn *c,
			 const struct msg_endpoint *m)
{
	char *addr = ss_str_dup(m->addr);
	struct fleet_ep *ep = fleet_ep_for(l, addr);
	struct fleet_report r;
	enum fleet_relation how;

	g_free(addr);
	if (!owns(l, ep, c, m->remote))
		return;
	fleet_work(l, WORK_AGENTS, 1);
	ss_str_set(&ep->agent, m->agent);
	if (!m->reachable) {
		if (ep->reported)
			log_info("endpoint_silent", "endpoint=%s", ep->addr);
		ep->reported = false;
		ep->down = ep->changed = l->dirty = true;
		return;
	}
	ep->down = false;
	fleet_report_read(&r, m);
	how = fleet_ep_learn(l, ep, &r.self);
	if (how == FLEET_STALE) {
		fleet_report_clear(&r);
		return;
	}
	if (how == FLEET_RESTARTED || !ep->reported ||
	    ep->report.draining != r.draining || ep->report.busy != r.busy ||
	    !fleet_same_models(ep->report.held, r.held))
		ep->changed = l->urgent = true;
	ep->adapters_changed |= !fleet_same_held(ep->report.held, r.held);
	ep->load_changed |= ep->report.running != r.running ||
			    ep->report.waiting != r.waiting;
	fleet_report_clear(&ep->report);
	ep->report = r;
	ep->reported = true;
	ep->report_ms = fleet_lead_now(l);
	l->dirty = true;
}

/* Entries. */

static void take_wait(struct fleet_lead *l, struct fleet_peer *p,
		      const struct model_demand *m)
{
	char *service = ss_str_dup(m->service), *model = ss_str_dup(m->model);
	char *version = ss_str_dup(m->version);
	struct fleet_want *w = fleet_want_for(l, service, model, version);
	int64_t now = fleet_lead_now(l);
	struct wait_at at = { .waiting = m->waiting,
			      .due_ms = now + m->slack_ms,
			      .at_ms = now };

	g_free(service);
	g_free(model);
	g_free(version);
	if (m->arrivals)
		fleet_rate_add(&w->rate, m->arrivals, now);
	fleet_want_drop(l, w, p);
	if (m->waiting) {
		fleet_want_add(w, p, &at);
		/* An entry that waits wants to hear at once when. */
		w->eta_changed = true;
		l->urgent = true;
	}
	l->dirty = true;
}

/* Calls of a former incarnation have ended with it. */
static bool is_former(const struct fleet_ep *ep, int64_t started_ms)
{
	struct fleet_incarnation told = { .started_ms = started_ms };

	return fleet_incarnation_compare(&ep->self, &told) == FLEET_STALE;
}

static void take_calls(struct fleet_lead *l, struct fleet_peer *p,
		       const struct wire_list *list)
{
	const struct endpoint_calls *e = list->items;

	fleet_drop_calls(l, p);
	fleet_work(l, WORK_VISITS, list->n);
	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(e[i].addr);
		struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);

		g_free(addr);
		if (ep && !is_former(ep, e[i].started_ms))
			fleet_ep_add_calls(ep, p, &e[i].models);
	}
}

/*
 * One entry of a hundred calls an endpoint so seldom that it learns nothing of
 * it by itself; so what each has seen is added up, and told to all.
 */
static void take_ends(struct fleet_lead *l, const struct wire_list *list)
{
	const struct endpoint_results *e = list->items;
	int64_t now = fleet_lead_now(l);

	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(e[i].addr);
		struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);

		g_free(addr);
		if (!ep || is_former(ep, e[i].started_ms))
			continue;
		failure_rate_record(&ep->failing, e[i].failed, e[i].answered,
				    now);
		if (fabs(failure_rate_at(&ep->failing, now) -
			 failure_rate_at(&ep->failing_told, now)) >
		    FAILING_NEWS)
			ep->load_changed = true;
		fleet_slowness_add(&ep->slow, e[i].slowness_ln,
				   e[i].slowness_count, now);
		if (fleet_slowness_is_due(&ep->slow, now))
			ep->load_changed = true;
	}
}

/*
 * An entry that an endpoint hasn't answered yet doesn't know what it says, and
 * neither does one that has just started: all are told of a limit. A rest is
 * asked of one VM; others may be served there.
 */
static void take_word(struct fleet_lead *l, struct fleet_ep *ep,
		      const struct endpoint_signals *w)
{
	int64_t now = fleet_lead_now(l);

	if (endpoint_limit_received(&ep->limit, w->limit, w->limit_age, now)) {
		log_info("endpoint_limit", "addr=%s id=%s per_s=%.3f", ep->addr,
			 ep->self.id, ep->limit.per_s);
		ep->changed = l->dirty = l->urgent = true;
	}
	if (w->draining && !ep->says_leaving) {
		log_info("endpoint_leaving", "addr=%s id=%s", ep->addr,
			 ep->self.id);
		ep->says_leaving = true;
		ep->changed = l->dirty = l->urgent = true;
	}
	if (now + w->backoff_ms > ep->rest_until_ms && w->backoff_ms) {
		l->urgent |= now >= ep->rest_until_ms;
		/* Members are told at once. */
		l->remote_ms = 0;
		ep->rest_until_ms = now + w->backoff_ms;
	}
}

static void take_words(struct fleet_lead *l, const struct wire_list *list)
{
	const struct endpoint_signals *w = list->items;

	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(w[i].addr), *id = ss_str_dup(w[i].id);
		struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);
		struct fleet_incarnation told = {
			.id = id, .started_ms = w[i].started_ms
		};

		if (ep &&
		    fleet_incarnation_compare(&ep->self, &told) == FLEET_SAME)
			take_word(l, ep, &w[i]);
		g_free(addr);
		g_free(id);
	}
}

void fleet_take_demand(struct fleet_lead *l, struct conn *c,
		       const struct msg_demand *m)
{
	struct fleet_peer *p = g_hash_table_lookup(l->peers, c);
	const struct model_demand *d = m->models.items;

	if (!p)
		return;
	fleet_work(l, WORK_REPORTS, 1);
	p->round = MAX(p->round, m->round);
	fleet_peer_follows(l, p, m->routing);
	fleet_push_confirmed(l, p);
	for (size_t i = 0; i < m->models.n; i++)
		take_wait(l, p, &d[i]);
	take_calls(l, p, &m->calls);
	take_ends(l, &m->results);
	take_words(l, &m->signals);
	l->dirty = true;
}

/* What was told so long ago. */
static void forget_waits(struct fleet_lead *l, struct fleet_want *w,
			 int64_t now)
{
	GHashTableIter it;
	void *c, *v;

	g_hash_table_iter_init(&it, w->waits);
	while (g_hash_table_iter_next(&it, &c, &v)) {
		struct fleet_peer *p = g_hash_table_lookup(l->peers, c);

		if (now - ((struct wait_at *)v)->at_ms <= WANT_MS)
			continue;
		g_hash_table_iter_remove(&it);
		if (p)
			g_hash_table_remove(p->wants, w);
	}
}

void fleet_forget_wants(struct fleet_lead *l, int64_t now)
{
	GHashTableIter it;
	void *w;

	g_hash_table_iter_init(&it, l->wants);
	while (g_hash_table_iter_next(&it, NULL, &w)) {
		const struct fleet_want *want = w;

		if (g_hash_table_size(want->waits))
			forget_waits(l, w, now);
		/* Models stay, versions come and go. */
		if (*want->version && !g_hash_table_size(want->waits))
			g_hash_table_iter_remove(&it);
	}
}
