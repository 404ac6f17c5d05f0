/* The fleet leader's tables: endpoints by address, demand by model, and for
 * each peer the rows that refer to it. */
#include "fleet_leader_int.h"

/* Bits for the owner's generation in a fencing token. They allow one owner
 * change each 3.5 s for two days under one leader. */
#define OWNER_BITS 16
#define OWNER_MASK ((1u << OWNER_BITS) - 1)

static void calls_clear(void *p)
{
	g_free(((struct model_calls *)p)->model);
}

void fleet_ep_free(void *p)
{
	struct fleet_ep *ep = p;

	fleet_step_clear(ep);
	owner_clear(&ep->owner);
	g_free(ep->addr);
	fleet_incarnation_clear(&ep->self);
	g_free(ep->service);
	g_free(ep->domain);
	g_free(ep->agent);
	g_ptr_array_unref(ep->listed_models);
	g_hash_table_unref(ep->calls);
	g_hash_table_unref(ep->failed_loads);
	fleet_report_clear(&ep->report);
	g_free(ep);
}

struct fleet_ep *fleet_ep_for(struct fleet_leader *l, const char *addr)
{
	struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);

	if (ep)
		return ep;
	ep = g_new0(struct fleet_ep, 1);
	ep->addr = g_strdup(addr);
	owner_init(&ep->owner, (int64_t)l->d->config.fleet.lease_ms,
		   fleet_leader_now(l));
	ep->self.id = g_strdup("");
	ep->limit.per_s = ENDPOINT_LIMIT_NONE;
	ep->service = g_strdup("");
	ep->domain = g_strdup("");
	ep->agent = g_strdup("");
	ep->listed_models = g_ptr_array_new_with_free_func(g_free);
	ep->calls = g_hash_table_new_full(NULL, NULL, NULL,
					  (GDestroyNotify)g_array_unref);
	ep->failed_loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(l->eps, ep->addr, ep);
	return ep;
}

uint64_t fleet_ep_fence(const struct fleet_leader *l, const struct fleet_ep *ep)
{
	return l->fence << OWNER_BITS | (ep->owner.generation & OWNER_MASK);
}

void fleet_demand_free(void *p)
{
	struct fleet_demand *w = p;

	g_free(w->service);
	g_free(w->model);
	g_free(w->version);
	g_hash_table_unref(w->waits);
	g_free(w);
}

struct fleet_demand *fleet_demand_for(struct fleet_leader *l,
				      const char *service, const char *model,
				      const char *version)
{
	char *key = g_strdup_printf("%s\n%s\n%s", service, model, version);
	struct fleet_demand *w = g_hash_table_lookup(l->demands, key);

	if (w) {
		g_free(key);
		return w;
	}
	w = g_new0(struct fleet_demand, 1);
	w->service = g_strdup(service);
	w->model = g_strdup(model);
	w->version = g_strdup(version);
	w->waits = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	w->eta_ms = -1;
	g_hash_table_insert(l->demands, key, w);
	return w;
}

/* Peers. */

struct fleet_peer *fleet_peer_new(struct conn *c)
{
	struct fleet_peer *p = g_new0(struct fleet_peer, 1);

	p->conn = c;
	p->owned = g_ptr_array_new();
	p->called_addrs = g_ptr_array_new_with_free_func(g_free);
	p->demands = g_hash_table_new(NULL, NULL);
	return p;
}

void fleet_peer_free(void *peer)
{
	struct fleet_peer *p = peer;

	g_ptr_array_unref(p->owned);
	g_ptr_array_unref(p->called_addrs);
	g_hash_table_unref(p->demands);
	g_free(p);
}

static struct fleet_peer *find_peer(struct fleet_leader *l,
				    const struct conn *c)
{
	return c ? g_hash_table_lookup(l->peers, c) : NULL;
}

void fleet_ep_set_conn(struct fleet_leader *l, struct fleet_ep *ep,
		       struct conn *c)
{
	struct fleet_peer *before = find_peer(l, ep->conn),
			  *p = find_peer(l, c);

	if (before)
		g_ptr_array_remove_fast(before->owned, ep);
	if (p)
		g_ptr_array_add(p->owned, ep);
	ep->conn = c;
}

void fleet_ep_add_calls(struct fleet_ep *ep, struct fleet_peer *p,
			const struct wire_list *models)
{
	const struct held_model *h = models->items;
	GArray *calls = g_hash_table_lookup(ep->calls, p->conn);

	if (!calls) {
		calls = g_array_new(FALSE, FALSE, sizeof(struct model_calls));
		g_array_set_clear_func(calls, calls_clear);
		g_hash_table_insert(ep->calls, p->conn, calls);
		g_ptr_array_add(p->called_addrs, g_strdup(ep->addr));
	}
	for (size_t i = 0; i < models->n; i++) {
		struct model_calls x = { ss_str_dup(h[i].model), h[i].calls };

		g_array_append_val(calls, x);
	}
}

void fleet_drop_calls(struct fleet_leader *l, struct fleet_peer *p)
{
	fleet_work_add(l, WORK_VISITS, p->called_addrs->len);
	for (guint i = 0; i < p->called_addrs->len; i++) {
		struct fleet_ep *ep =
			g_hash_table_lookup(l->eps, p->called_addrs->pdata[i]);

		/* The calls of a removed endpoint were freed with it. */
		if (ep)
			g_hash_table_remove(ep->calls, p->conn);
	}
	g_ptr_array_set_size(p->called_addrs, 0);
}

uint32_t fleet_ep_calls(const struct fleet_ep *ep, const char *model)
{
	GHashTableIter it;
	int64_t n = 0;
	void *v;

	g_hash_table_iter_init(&it, ep->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const GArray *calls = v;

		for (guint i = 0; i < calls->len; i++) {
			const struct model_calls *x =
				&g_array_index(calls, struct model_calls, i);

			if (!strcmp(x->model, model))
				n += x->calls;
		}
	}
	return (uint32_t)n;
}

void fleet_demand_add_entry(struct fleet_demand *w, struct fleet_peer *p,
			    const struct entry_wait *wait)
{
	g_hash_table_replace(w->waits, p->conn, g_memdup2(wait, sizeof(*wait)));
	g_hash_table_add(p->demands, w);
}

void fleet_demand_drop_entry(struct fleet_leader *l, struct fleet_demand *w,
			     struct fleet_peer *p)
{
	fleet_work_add(l, WORK_VISITS, 1);
	g_hash_table_remove(w->waits, p->conn);
	g_hash_table_remove(p->demands, w);
}

void fleet_drop_waits(struct fleet_leader *l, struct fleet_peer *p)
{
	GHashTableIter it;
	void *w;

	g_hash_table_iter_init(&it, p->demands);
	while (g_hash_table_iter_next(&it, &w, NULL)) {
		fleet_work_add(l, WORK_VISITS, 1);
		g_hash_table_remove(((struct fleet_demand *)w)->waits, p->conn);
	}
	g_hash_table_remove_all(p->demands);
}

bool fleet_ep_reported(const struct fleet_leader *l, const struct fleet_ep *ep)
{
	return ep->reported &&
	       fleet_leader_now(l) - ep->report_ms < FLEET_REPORT_MAX_AGE_MS;
}

bool fleet_ep_is_draining(const struct fleet_leader *l,
			  const struct fleet_ep *ep)
{
	return ep->listed_draining || ep->signals_draining ||
	       (fleet_ep_reported(l, ep) && ep->report.draining);
}

/* True if the endpoint is listed, reachable and not draining. Its list item may
 * be unreadable. */
static bool is_healthy(const struct fleet_leader *l, const struct fleet_ep *ep)
{
	return ep->listed && !ep->unreachable && !fleet_ep_is_draining(l, ep);
}

bool fleet_ep_usable(const struct fleet_leader *l, const struct fleet_ep *ep)
{
	return is_healthy(l, ep) && !ep->unreadable_since_ms;
}

bool fleet_ep_suspended(const struct fleet_leader *l, const struct fleet_ep *ep)
{
	return is_healthy(l, ep) && ep->unreadable_since_ms &&
	       fleet_ep_reported(l, ep);
}

bool fleet_ep_throttled(const struct fleet_leader *l, const struct fleet_ep *ep)
{
	int64_t now = fleet_leader_now(l);

	return now < ep->backoff_until_ms ||
	       endpoint_limit_is_low(&ep->limit, ep->slots, now);
}
