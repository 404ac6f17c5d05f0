/* Whether a process may answer by the routing that it holds. */
#include "freshness.h"

void freshness_init(struct freshness *f, int64_t now)
{
	memset(f, 0, sizeof(*f));
	f->lost_ms = SS_NEVER;
	f->turn_ms = now;
	f->woke_ms = INT64_MIN / 2;
}

void freshness_hear(struct freshness *f, uint64_t version, int64_t now)
{
	struct freshness_told told = { version, now };
	uint64_t newest = f->n_told ? f->told[f->n_told - 1].version : f->held;

	f->on = true;
	f->lost_ms = SS_NEVER;
	if (version <= newest)
		return;
	if (f->n_told == FRESHNESS_TOLD)
		f->told[f->n_told - 1].version = version;
	else
		f->told[f->n_told++] = told;
}

void freshness_take(struct freshness *f, uint64_t version)
{
	size_t n = 0;

	f->held = MAX(f->held, version);
	while (n < f->n_told && f->told[n].version <= f->held)
		n++;
	f->n_told -= n;
	memmove(f->told, f->told + n, f->n_told * sizeof(f->told[0]));
}

void freshness_lose(struct freshness *f, int64_t now)
{
	if (f->lost_ms == SS_NEVER)
		f->lost_ms = now;
}

void freshness_turn(struct freshness *f, int64_t now)
{
	if (now - f->turn_ms >= FRESHNESS_STILL_MS)
		f->woke_ms = now;
	f->turn_ms = now;
}

int64_t freshness_alone_ms(const struct freshness *f, int64_t now)
{
	return f->lost_ms == SS_NEVER ? 0 : now - f->lost_ms;
}

enum freshness_level freshness_level(const struct freshness *f, int64_t now,
				     int64_t *until)
{
	*until = now;
	if (!f->on)
		return FRESHNESS_SURE;
	/* It has gone on, and hasn't come to the turn's end yet. */
	if (now - f->turn_ms >= FRESHNESS_STILL_MS) {
		*until = now + FRESHNESS_WAKE_MS;
		return FRESHNESS_STALE;
	}
	if (now - f->woke_ms < FRESHNESS_WAKE_MS) {
		*until = f->woke_ms + FRESHNESS_WAKE_MS;
		return FRESHNESS_STALE;
	}
	if (f->n_told) {
		*until = f->told[0].ms + FRESHNESS_TAKE_MS + FRESHNESS_HOLD_MS;
		return now - f->told[0].ms < FRESHNESS_TAKE_MS ?
			       FRESHNESS_UNSURE :
			       FRESHNESS_STALE;
	}
	if (f->lost_ms != SS_NEVER && now - f->lost_ms >= FRESHNESS_LOST_MS) {
		*until = f->lost_ms + FRESHNESS_LOST_MS + FRESHNESS_HOLD_MS;
		return FRESHNESS_UNSURE;
	}
	return FRESHNESS_SURE;
}
