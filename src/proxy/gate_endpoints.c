/* The gate's table of endpoints, kept from the leader's reports or the list. */
#include "gate_int.h"

#include "../base/log.h"

/* Time for the last bytes of an ended incarnation to arrive, ten round trips of
 * a slow link. After that calls that may be repeated are sent elsewhere. */
#define LAST_BYTES_MS 500
/* Increase of a failure rate that is logged, in thousandths. */
#define FAILURE_RATE_LOG_STEP 100

static void model_free(void *p)
{
	struct gate_model *h = p;

	g_free(h->model);
	g_hash_table_unref(h->adapters);
	g_free(h);
}

void gate_ep_free(void *p)
{
	struct gate_ep *ep = p;

	g_free(ep->addr);
	fleet_incarnation_clear(&ep->self);
	g_free(ep->service);
	g_free(ep->domain);
	g_free(ep->agent);
	g_hash_table_unref(ep->models);
	g_hash_table_unref(ep->calls);
	g_free(ep);
}

struct gate_ep *gate_ep_at(const struct gate *g, const char *addr)
{
	return g_hash_table_lookup(g->eps, addr);
}

struct gate_ep *gate_ep_of(const struct forward *f)
{
	struct gate_ep *ep = f->ep_addr ? gate_ep_at(f->g, f->ep_addr) : NULL;

	return ep && ep->incarnation_no == f->ep_incarnation_no ? ep : NULL;
}

static struct gate_ep *get_or_add_ep(struct gate *g, struct ss_str addr)
{
	char *key = ss_str_dup(addr);
	struct gate_ep *ep = gate_ep_at(g, key);

	if (ep) {
		g_free(key);
		return ep;
	}
	ep = g_new0(struct gate_ep, 1);
	ep->addr = key;
	ep->self.id = g_strdup("");
	ep->incarnation_no = ++g->last_incarnation_no;
	ep->first_reported_ms = g->fleet_known ? gate_now(g) : 0;
	ep->signals.limit.per_s = ENDPOINT_LIMIT_NONE;
	gate_starts_reset(ep);
	ep->service = g_strdup("");
	ep->domain = g_strdup("");
	ep->agent = g_strdup("");
	ep->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   model_free);
	ep->calls =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(g->eps, ep->addr, ep);
	return ep;
}

/*
 * Schedules open calls of an ended incarnation to be sent elsewhere, once the
 * last bytes have had time to arrive. A call whose connection was lost with its
 * VM would otherwise wait until its caller leaves.
 */
static void schedule_lost_calls(struct gate *g, const struct gate_ep *ep)
{
	int64_t at = gate_now(g) + LAST_BYTES_MS;
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->forwards);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct forward *f = p;

		if (f->state >= FORWARD_SENT && gate_ep_of(f) == ep)
			f->lost_ms = at;
	}
}

/* Clears all state of the former incarnation, including its open calls. */
static void reset_incarnation(struct gate *g, struct gate_ep *ep)
{
	schedule_lost_calls(g, ep);
	ep->incarnation_no = ++g->last_incarnation_no;
	ep->first_reported_ms = gate_now(g);
	ep->speed = (struct speed){ 0 };
	ep->ejection = (struct ejection){ 0 };
	ep->slowness = ep->own_slowness = 0;
	ep->slowness_observed = (struct slowness_observed){ 0 };
	ep->slowness_received = (struct slowness_received){ 0 };
	ep->failure_rate = 0;
	memset(&ep->breaker, 0, sizeof(ep->breaker));
	ep->unreachable_until_ms = 0;
	gate_signals_reset(g, ep);
	gate_starts_reset(ep);
	memset(&ep->timing, 0, sizeof(ep->timing));
	memset(&ep->reported_failure_rate, 0,
	       sizeof(ep->reported_failure_rate));
	ep->answered = ep->failed = 0;
	ep->own_calls = ep->reported_calls = ep->sent_since = ep->reported_ms =
		0;
	ep->loading = ep->removing = false;
	g_hash_table_remove_all(ep->calls);
	g_hash_table_remove_all(ep->models);
	upstream_close_idle(g->upstream, ep->addr);
}

static enum fleet_relation
update_incarnation(struct gate *g, struct gate_ep *ep,
		   const struct fleet_incarnation *reported)
{
	enum fleet_relation how =
		fleet_incarnation_compare(&ep->self, reported);

	resume_note_version(g, ep);
	if (how == FLEET_RESTARTED) {
		log_info("endpoint_restarted",
			 "addr=%s id=%s started=%" PRId64
			 " version=%s before=%s/%" PRId64 "/%s",
			 ep->addr, reported->id, reported->started_ms,
			 fleet_version(reported), ep->self.id,
			 ep->self.started_ms, fleet_version(&ep->self));
		reset_incarnation(g, ep);
	}
	fleet_incarnation_update(&ep->self, reported);
	resume_version_known(g, ep);
	return how;
}

static struct gate_model *add_model(struct gate_ep *ep, struct ss_str model)
{
	struct gate_model *h = g_new0(struct gate_model, 1);

	h->model = ss_str_dup(model);
	h->adapters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_replace(ep->models, h->model, h);
	return h;
}

static void update_models(struct gate_ep *ep, const struct wire_list *list)
{
	const struct held_model *m = list->items;

	g_hash_table_remove_all(ep->models);
	for (size_t i = 0; i < list->n; i++) {
		struct gate_model *h = add_model(ep, m[i].model);
		const struct name_item *n = m[i].adapters.items;

		for (size_t k = 0; k < m[i].adapters.n; k++)
			g_hash_table_add(h->adapters, ss_str_dup(n[k].name));
	}
}

/* Takes an endpoint's reported number of calls; age_ms: age of the report. */
static void update_load(struct gate *g, struct gate_ep *ep, int64_t calls,
			int64_t age_ms)
{
	ep->reported_calls = calls;
	ep->reported_ms = gate_now(g) - age_ms;
	ep->sent_since = 0;
}

/* Takes the failure rate seen by all entries; 0: no information. */
static void update_failure_rate(struct gate *g, struct gate_ep *ep,
				int64_t permille)
{
	int64_t now = gate_now(g);
	int64_t before = failure_rate_permille(&ep->reported_failure_rate, now);

	failure_rate_received(&ep->reported_failure_rate, permille, now);
	if (permille >= before + FAILURE_RATE_LOG_STEP)
		log_info("endpoint_fails",
			 "addr=%s id=%s failing=%" PRId64 " own=%.2f", ep->addr,
			 ep->self.id, permille, ep->failure_rate);
}

static void update_endpoint(struct gate *g, const struct fleet_endpoint *e)
{
	struct gate_ep *ep = get_or_add_ep(g, e->addr);
	char *id = ss_str_dup(e->id), *version = ss_str_dup(e->version);
	struct fleet_incarnation reported = { id, e->started_ms, version };
	enum fleet_relation how = update_incarnation(g, ep, &reported);

	g_free(id);
	g_free(version);
	ss_str_set(&ep->service, e->service);
	ss_str_set(&ep->domain, e->domain);
	ss_str_set(&ep->agent, e->agent);
	ep->slots = e->slots;
	ep->known = !e->gone;
	if (!ep->known)
		upstream_close_idle(g->upstream, ep->addr);
	if (how == FLEET_STALE)
		return;
	ep->draining = e->unusable;
	ep->removing = e->draining;
	ep->unreadable_ms = 0;
	ep->loading = e->busy;
	update_failure_rate(g, ep, e->failure_rate);
	gate_speed_received(g, ep, e->slowness);
	gate_limit_received(g, ep, e->limit, e->limit_age);
	if (e->tokens_total)
		update_load(g, ep, e->running + e->waiting, e->age_ms);
	update_models(ep, &e->held);
}

static void update_loads(struct gate *g, const struct wire_list *list)
{
	const struct fleet_load *x = list->items;

	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(x[i].addr);
		struct gate_ep *ep = gate_ep_at(g, addr);

		g_free(addr);
		if (!ep)
			continue;
		update_failure_rate(g, ep, x[i].failure_rate);
		gate_speed_received(g, ep, x[i].slowness);
		if (x[i].tokens_total)
			update_load(g, ep, x[i].running + x[i].waiting,
				    x[i].age_ms);
	}
}

/* Marks all endpoints as unlisted, before a complete list is taken. */
static void unlist_all(struct gate *g)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		resume_note_version(g, p);
		((struct gate_ep *)p)->known = false;
	}
}

static void drop_unlisted(struct gate *g)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct gate_ep *ep = p;

		if (ep->known || ep->own_calls || gate_signals_in_force(g, ep))
			continue;
		upstream_close_idle(g->upstream, ep->addr);
		g_hash_table_iter_remove(&it);
	}
}

static void update_etas(struct gate *g, const struct wire_list *list)
{
	const struct fleet_eta *e = list->items;
	int64_t now = gate_now(g);

	for (size_t i = 0; i < list->n; i++) {
		char *service = ss_str_dup(e[i].service);
		char *model = ss_str_dup(e[i].model);
		char *version = ss_str_dup(e[i].version);
		struct model_queue *l =
			gate_version_queue(g, service, model, version);

		l->eta_ms = e[i].eta_ms < 0 ? SS_NEVER : now + e[i].eta_ms;
		g_free(version);
		g_free(service);
		g_free(model);
	}
}

/* Enough endpoints are known to accept callers. */
static void mark_fleet_known(struct gate *g, const char *from)
{
	if (g->fleet_known)
		return;
	g->fleet_known = true;
	log_info("fleet_known", "endpoints=%u from=%s ms=%" PRId64,
		 g_hash_table_size(g->eps), from, gate_now(g) - g->since_ms);
}

/* A list is read each second; after a longer time endpoints may have joined and
 * left unseen. */
#define LIST_GAP_MS 3000

static void note_complete_list(struct gate *g)
{
	int64_t now = gate_now(g);

	if (!g->listed_since_ms || now - g->listed_ms > LIST_GAP_MS)
		g->listed_since_ms = now;
	g->listed_ms = now;
}

bool gate_has_followed_list(const struct gate *g, int64_t ms)
{
	int64_t now = gate_now(g);

	return g->listed_since_ms && now - g->listed_ms <= LIST_GAP_MS &&
	       now - g->listed_since_ms >= ms;
}

void gate_fleet_received(struct gate *g, const struct msg_fleet *m)
{
	const struct fleet_endpoint *e = m->endpoints.items;

	/* Messages of a replaced leader may arrive late. */
	if (m->fence < g->fence)
		return;
	if (m->fence > g->fence)
		g->round = 0;
	g->fence = m->fence;
	g->listed_since_ms = 0;
	gate_note_entries(g, m->entries);
	if (m->full)
		unlist_all(g);
	for (size_t i = 0; i < m->endpoints.n; i++)
		update_endpoint(g, &e[i]);
	drop_unlisted(g);
	update_loads(g, &m->loads);
	update_etas(g, &m->etas);
	if (m->full)
		mark_fleet_known(g, "leader");
	if (m->round > g->round) {
		g->round = m->round;
		g->o.ops->demand_changed(g->o.arg);
	}
	gate_dispatch(g, NULL);
}

/* Stops new calls to an endpoint; open calls and connections stay. */
static void suspend(struct gate *g, struct gate_ep *ep)
{
	if (!ep->unreadable_ms)
		ep->unreadable_ms = gate_now(g);
	ep->draining = true;
}

static void update_instance(struct gate *g, struct gate_ep *ep,
			    const struct fleet_instance *x)
{
	struct fleet_incarnation reported = fleet_instance_incarnation(x);
	enum fleet_relation how =
		fleet_incarnation_compare(&ep->self, &reported);

	if (ep->known && how == FLEET_SAME &&
	    fleet_service_corrupt(g->routing, ep->service, x->service)) {
		suspend(g, ep);
		return;
	}
	how = update_incarnation(g, ep, &reported);
	ss_str_set(&ep->service, ss_str(x->service));
	ss_str_set(&ep->domain, ss_str(x->domain ? x->domain : ""));
	ep->slots = x->slots;
	ep->known = true;
	ep->unreadable_ms = 0;
	if (how == FLEET_STALE)
		return;
	ep->draining = ep->removing = x->draining;
	/* Models that an agent reported are newer than the list. */
	if (g_hash_table_size(ep->models))
		return;
	for (guint k = 0; k < x->models->len; k++)
		add_model(ep, ss_str(x->models->pdata[k]));
}

/* Suspends or drops an endpoint that no readable item of the list names. */
static void update_unlisted(struct gate *g, struct gate_ep *ep,
			    const struct fleet_list *list)
{
	int64_t unread_ms =
		ep->unreadable_ms ? gate_now(g) - ep->unreadable_ms : 0;

	switch (fleet_list_presence(list, ep->self.id, ep->addr, unread_ms)) {
	case FLEET_UNKNOWN:
		break;
	case FLEET_UNREADABLE:
		suspend(g, ep);
		break;
	case FLEET_GONE:
		resume_note_version(g, ep);
		ep->known = false;
		break;
	}
}

void gate_list_received(struct gate *g, struct fleet_list *list)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	GHashTable *by_addr;
	GHashTableIter it;
	void *p;

	fleet_list_drop_conflicts(list, g->routing);
	by_addr = fleet_instances_by_addr(list->instances);
	g_hash_table_iter_init(&it, by_addr);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_instance *x = p;
		struct gate_ep *ep = get_or_add_ep(g, ss_str(x->addr));

		update_instance(g, ep, x);
		g_hash_table_add(seen, ep);
	}
	g_hash_table_unref(by_addr);
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (((struct gate_ep *)p)->known &&
		    !g_hash_table_contains(seen, p))
			update_unlisted(g, p, list);
	g_hash_table_unref(seen);
	drop_unlisted(g);
	/* The endpoints of an incomplete list can be called, too. */
	if (list->complete || list->instances->len)
		mark_fleet_known(g, "list");
	if (list->complete)
		note_complete_list(g);
	gate_dispatch(g, NULL);
}

bool gate_ep_has_adapter(const struct gate_ep *ep, const char *model,
			 const char *adapter)
{
	const struct gate_model *h = g_hash_table_lookup(ep->models, model);

	return h && (!*adapter || g_hash_table_contains(h->adapters, adapter));
}

void gate_ep_add_adapter(struct gate_ep *ep, const char *model,
			 const char *adapter)
{
	struct gate_model *h = g_hash_table_lookup(ep->models, model);

	if (h)
		g_hash_table_add(h->adapters, g_strdup(adapter));
}

void gate_ep_remove_model(struct gate_ep *ep, const char *model,
			  const char *adapter)
{
	struct gate_model *h = g_hash_table_lookup(ep->models, model);

	if (h && *adapter && g_hash_table_remove(h->adapters, adapter))
		return;
	g_hash_table_remove(ep->models, model);
}

void gate_ep_begin_call(struct gate_ep *ep, const char *model)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(ep->calls, model));

	g_hash_table_insert(ep->calls, g_strdup(model), GINT_TO_POINTER(n + 1));
	ep->own_calls++;
	ep->sent_since++;
}

void gate_ep_end_call(struct gate_ep *ep, const char *model)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(ep->calls, model));

	if (n > 1)
		g_hash_table_insert(ep->calls, g_strdup(model),
				    GINT_TO_POINTER(n - 1));
	else
		g_hash_table_remove(ep->calls, model);
	ep->own_calls--;
	/* The endpoint's load counts the call in one of these. */
	if (ep->sent_since > 0)
		ep->sent_since--;
	else if (ep->reported_calls > 0)
		ep->reported_calls--;
}

void gate_ep_note_result(struct gate *g, struct gate_ep *ep, bool failed)
{
	bool open = ss_breaker_allows(&ep->breaker, gate_now(g));

	balance_record_result(&ep->failure_rate, failed);
	ss_breaker_result(&ep->breaker, !failed, gate_now(g));
	if (open && !ss_breaker_allows(&ep->breaker, gate_now(g)))
		log_warn("endpoint_rests",
			 "addr=%s id=%s failures=%u failing=%.2f", ep->addr,
			 ep->self.id, ep->breaker.failures, ep->failure_rate);
}

void gate_ep_update_load(struct gate *g, struct gate_ep *ep,
			 const struct platform_answer *a)
{
	if (!a->has_load)
		return;
	ep->reported_calls = a->running + a->waiting;
	ep->sent_since = 0;
	ep->reported_ms = gate_now(g);
	speed_work_received(&ep->speed, a->work_time_percent, gate_now(g));
	if (a->slots > 0)
		ep->slots = a->slots;
}
