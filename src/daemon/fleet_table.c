/* The fleet leader's tables: endpoints by address, demand by model. */
#include "fleet_lead_int.h"

/* Owners of one engine under one leader: one each 3.5 s for two days. */
#define OWNER_BITS 16
#define OWNER_MASK ((1u << OWNER_BITS) - 1)

static void calls_clear(void *p)
{
	g_free(((struct calls_at *)p)->model);
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
	g_ptr_array_unref(ep->on_list);
	g_array_unref(ep->calls);
	g_hash_table_unref(ep->refused);
	fleet_report_clear(&ep->report);
	g_free(ep);
}

struct fleet_ep *fleet_ep_for(struct fleet_lead *l, const char *addr)
{
	struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);

	if (ep)
		return ep;
	ep = g_new0(struct fleet_ep, 1);
	ep->addr = g_strdup(addr);
	owner_init(&ep->owner, (int64_t)l->d->config.fleet.lease_ms,
		   fleet_lead_now(l));
	ep->self.id = g_strdup("");
	ep->service = g_strdup("");
	ep->domain = g_strdup("");
	ep->agent = g_strdup("");
	ep->on_list = g_ptr_array_new_with_free_func(g_free);
	ep->calls = g_array_new(FALSE, FALSE, sizeof(struct calls_at));
	g_array_set_clear_func(ep->calls, calls_clear);
	ep->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(l->eps, ep->addr, ep);
	return ep;
}

uint64_t fleet_ep_fence(const struct fleet_lead *l, const struct fleet_ep *ep)
{
	return l->fence << OWNER_BITS | (ep->owner.turn & OWNER_MASK);
}

void fleet_want_free(void *p)
{
	struct fleet_want *w = p;

	g_free(w->service);
	g_free(w->model);
	g_array_unref(w->waits);
	g_free(w);
}

struct fleet_want *fleet_want_for(struct fleet_lead *l, const char *service,
				  const char *model)
{
	char *key = g_strdup_printf("%s\n%s", service, model);
	struct fleet_want *w = g_hash_table_lookup(l->wants, key);

	if (w) {
		g_free(key);
		return w;
	}
	w = g_new0(struct fleet_want, 1);
	w->service = g_strdup(service);
	w->model = g_strdup(model);
	w->waits = g_array_new(FALSE, FALSE, sizeof(struct wait_at));
	w->eta_ms = -1;
	g_hash_table_insert(l->wants, key, w);
	return w;
}

bool fleet_ep_reported(const struct fleet_lead *l, const struct fleet_ep *ep)
{
	return ep->reported &&
	       fleet_lead_now(l) - ep->report_ms < FLEET_REPORT_MS;
}

/* Nothing but its entry may say that it gets no new work. */
static bool is_sound(const struct fleet_lead *l, const struct fleet_ep *ep)
{
	return ep->listed && !ep->leaving_listed && !ep->down &&
	       !(fleet_ep_reported(l, ep) && ep->report.leaving);
}

bool fleet_ep_usable(const struct fleet_lead *l, const struct fleet_ep *ep)
{
	return is_sound(l, ep) && !ep->unread_ms;
}

bool fleet_ep_suspended(const struct fleet_lead *l, const struct fleet_ep *ep)
{
	return is_sound(l, ep) && ep->unread_ms && fleet_ep_reported(l, ep);
}
