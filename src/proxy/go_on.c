/*
 * At which endpoints a stream that has begun may go on: what two versions of
 * the endpoints' software write doesn't fit together, and endpoints don't look.
 */
#include "gate_int.h"

/* An endpoint that has crashed is back, and listed with its version, within so
 * long, in ms; until then its streams are held. */
#define BACK_MS 1500

/* An endpoint that has just restarted may not be listed yet with its version:
 * it is told later of the same incarnation. */
static void learn_version(struct forward *f)
{
	const struct gate_ep *ep;

	if (!f->began_version || *f->began_version)
		return;
	ep = gate_ep_at(f->g, f->began_addr);
	if (!ep || ep->life != f->began_life)
		return;
	g_free(f->began_version);
	f->began_version = g_strdup(fleet_version(&ep->self));
}

void go_on_begins(struct forward *f)
{
	const struct gate_ep *ep = gate_ep_of(f);

	if (f->began_version || !f->is_events)
		return;
	f->began_version = g_strdup(f->version);
	f->began_addr = g_strdup(f->ep_addr);
	f->began_life = ep ? ep->life : 0;
}

bool go_on_fits(const struct forward *f, const struct gate_ep *ep)
{
	if (!f->began_version)
		return true;
	if (*f->began_version)
		return !strcmp(f->began_version, fleet_version(&ep->self));
	return ep->life == f->began_life;
}

/* It is of that version, or may turn out to be. */
static bool may_fit(const struct forward *f, const struct gate_ep *ep)
{
	return ep->known && !ep->leaving && !ep->words.leaving_ms &&
	       !strcmp(ep->service, f->service->name) &&
	       (go_on_fits(f, ep) ||
		(*f->began_version && !*fleet_version(&ep->self)));
}

bool go_on_hopeless(struct forward *f)
{
	int64_t now = gate_now(f->g);
	GHashTableIter it;
	void *ep;

	if (!f->began_version)
		return false;
	learn_version(f);
	g_hash_table_iter_init(&it, f->g->eps);
	while (g_hash_table_iter_next(&it, NULL, &ep)) {
		if (!may_fit(f, ep))
			continue;
		f->none_ms = 0;
		return false;
	}
	if (!f->none_ms)
		f->none_ms = now;
	return now - f->none_ms >= BACK_MS;
}
