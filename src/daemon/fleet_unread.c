/* Endpoints whose entry in the list can't be read. */
#include "fleet_lead_int.h"

/* Each of them is logged this often. */
#define UNREAD_LOG_MS 10000

/*
 * It gets no new work, and keeps what it has: calls under way, the step that
 * it carries out, and the memory that counts as taken. Another writer's fault
 * would else cost loads from the store for an engine that is sound.
 */
void fleet_ep_unreadable(struct fleet_lead *l, struct fleet_ep *ep, int64_t now)
{
	ep->listed_ms = now;
	if (ep->unread_ms)
		return;
	ep->unread_ms = now;
	ep->changed = l->dirty = true;
	if (ep->unread_told_ms && now - ep->unread_told_ms < UNREAD_LOG_MS)
		return;
	ep->unread_told_ms = now;
	log_warn("endpoint_unreadable", "addr=%s id=%s service=%s", ep->addr,
		 ep->self.id, ep->service);
}

void fleet_ep_readable(struct fleet_lead *l, struct fleet_ep *ep, int64_t now)
{
	if (!ep->unread_ms)
		return;
	if (ep->unread_told_ms == ep->unread_ms)
		log_info("endpoint_readable", "addr=%s id=%s ms=%" PRId64,
			 ep->addr, ep->self.id, now - ep->unread_ms);
	ep->unread_ms = 0;
	ep->changed = l->dirty = true;
}

/*
 * What the list no longer shows has ended: it lags on with those that crash,
 * never with those that still serve. But an entry that can't be read may be
 * its own.
 */
void fleet_ep_unlisted(struct fleet_lead *l, struct fleet_ep *ep,
		       const struct fleet_list *all, int64_t now)
{
	bool alive = !ep->unread_ms || fleet_ep_reported(l, ep);
	int64_t unread_ms = alive ? 0 : now - ep->unread_ms;

	switch (fleet_list_presence(all, ep->self.id, ep->addr, unread_ms)) {
	case FLEET_UNKNOWN:
		return;
	case FLEET_UNREADABLE:
		fleet_ep_unreadable(l, ep, now);
		return;
	case FLEET_GONE:
		break;
	}
	log_info("endpoint_gone", "addr=%s id=%s", ep->addr, ep->self.id);
	ep->listed = false;
	ep->unread_ms = 0;
	ep->changed = l->dirty = true;
}
