/* Tracks whether the routing of a process is current enough to answer by it. */
#include "freshness.h"

void freshness_init(struct freshness *f, int64_t now)
{
	memset(f, 0, sizeof(*f));
	f->leader_lost_ms = SS_NEVER;
	f->tick_ms = now;
	f->resumed_ms = INT64_MIN / 2;
}

void freshness_received(struct freshness *f, uint64_t version, int64_t now)
{
	struct announced_version announced = { version, now };
	uint64_t newest = f->n_pending ? f->pending[f->n_pending - 1].version :
					 f->held;

	f->announced = true;
	f->leader_lost_ms = SS_NEVER;
	if (version <= newest)
		return;
	if (f->n_pending == FRESHNESS_PENDING_MAX)
		f->pending[f->n_pending - 1].version = version;
	else
		f->pending[f->n_pending++] = announced;
}

void freshness_applied(struct freshness *f, uint64_t version)
{
	size_t n = 0;

	f->held = MAX(f->held, version);
	while (n < f->n_pending && f->pending[n].version <= f->held)
		n++;
	f->n_pending -= n;
	memmove(f->pending, f->pending + n,
		f->n_pending * sizeof(f->pending[0]));
}

void freshness_leader_lost(struct freshness *f, int64_t now)
{
	if (f->leader_lost_ms == SS_NEVER)
		f->leader_lost_ms = now;
}

void freshness_tick(struct freshness *f, int64_t now)
{
	if (now - f->tick_ms >= FRESHNESS_STALL_MS)
		f->resumed_ms = now;
	f->tick_ms = now;
}

int64_t freshness_disconnected_ms(const struct freshness *f, int64_t now)
{
	return f->leader_lost_ms == SS_NEVER ? 0 : now - f->leader_lost_ms;
}

enum freshness_level freshness_level(const struct freshness *f, int64_t now,
				     int64_t *until)
{
	*until = now;
	if (!f->announced)
		return FRESHNESS_CURRENT;
	/* The loop runs again after a stall and has not reached its tick
	 * yet. */
	if (now - f->tick_ms >= FRESHNESS_STALL_MS) {
		*until = now + FRESHNESS_CATCH_UP_MS;
		return FRESHNESS_STALE;
	}
	if (now - f->resumed_ms < FRESHNESS_CATCH_UP_MS) {
		*until = f->resumed_ms + FRESHNESS_CATCH_UP_MS;
		return FRESHNESS_STALE;
	}
	if (f->n_pending) {
		*until = f->pending[0].at_ms + FRESHNESS_APPLY_MS +
			 FRESHNESS_HOLD_MS;
		return now - f->pending[0].at_ms < FRESHNESS_APPLY_MS ?
			       FRESHNESS_UNCERTAIN :
			       FRESHNESS_STALE;
	}
	if (f->leader_lost_ms != SS_NEVER &&
	    now - f->leader_lost_ms >= FRESHNESS_LEADER_LOST_MS) {
		*until = f->leader_lost_ms + FRESHNESS_LEADER_LOST_MS +
			 FRESHNESS_HOLD_MS;
		return FRESHNESS_UNCERTAIN;
	}
	return FRESHNESS_CURRENT;
}
