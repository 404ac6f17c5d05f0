/* Endpoints whose item in the VM list can't be parsed. */
#include "fleet_leader_int.h"

/* Minimum interval between two log lines for one endpoint. */
#define UNREADABLE_LOG_MS 10000

/*
 * An endpoint with an unreadable item gets no new work but keeps what it has:
 * its running calls, its step, and the memory that counts as in use. Otherwise
 * a fault of the list's writer would cost loads from the store though the
 * engine is healthy.
 */
void fleet_ep_unreadable(struct fleet_leader *l, struct fleet_ep *ep,
			 int64_t now)
{
	ep->listed_ms = now;
	if (ep->unreadable_since_ms)
		return;
	ep->unreadable_since_ms = now;
	ep->changed = l->dirty = true;
	if (ep->unreadable_logged_ms &&
	    now - ep->unreadable_logged_ms < UNREADABLE_LOG_MS)
		return;
	ep->unreadable_logged_ms = now;
	log_warn("endpoint_unreadable", "addr=%s id=%s service=%s", ep->addr,
		 ep->self.id, ep->service);
}

void fleet_ep_readable(struct fleet_leader *l, struct fleet_ep *ep, int64_t now)
{
	if (!ep->unreadable_since_ms)
		return;
	if (ep->unreadable_logged_ms == ep->unreadable_since_ms)
		log_info("endpoint_readable", "addr=%s id=%s ms=%" PRId64,
			 ep->addr, ep->self.id, now - ep->unreadable_since_ms);
	ep->unreadable_since_ms = 0;
	ep->changed = l->dirty = true;
}

/*
 * An endpoint that the list no longer shows is gone: the list may still show a
 * crashed endpoint for a while, but never omits one that serves. An unreadable
 * item, however, may belong to this endpoint.
 */
void fleet_ep_unlisted(struct fleet_leader *l, struct fleet_ep *ep,
		       const struct fleet_list *all, int64_t now)
{
	bool alive = !ep->unreadable_since_ms || fleet_ep_reported(l, ep);
	int64_t unreadable_ms = alive ? 0 : now - ep->unreadable_since_ms;

	switch (fleet_list_presence(all, ep->self.id, ep->addr,
				    unreadable_ms)) {
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
	ep->unreadable_since_ms = 0;
	ep->changed = l->dirty = true;
}
