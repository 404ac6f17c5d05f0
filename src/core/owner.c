/* Ownership of an engine: which agent gives its orders. */
#include "owner.h"

#include <xxhash.h>

void owner_init(struct owner *o, int64_t engine_ms, int64_t now)
{
	memset(o, 0, sizeof(*o));
	o->lease_ms =
		MAX(engine_ms + OWNER_LEASE_MARGIN_MS, OWNER_LEASE_MIN_MS);
	o->known_ms = now;
}

void owner_clear(struct owner *o)
{
	g_clear_pointer(&o->name, g_free);
}

static bool is_owner(const struct owner *o, const char *name, bool remote)
{
	return o->name && o->remote == remote && !strcmp(o->name, name);
}

bool owner_is_leased(const struct owner *o, int64_t now)
{
	return o->name && now - o->renewed_ms < o->lease_ms;
}

enum owner_claim owner_acquire(struct owner *o, const char *name, bool remote,
			       int64_t now)
{
	if (is_owner(o, name, remote)) {
		if (!o->recalled)
			o->renewed_ms = now;
		return OWNER_SAME;
	}
	/* The agent on the engine's VM has precedence: a remote one is
	 * recalled, and keeps the ownership until its lease ends. */
	o->recalled |= !remote && o->remote;
	if (owner_is_leased(o, now))
		return OWNER_DENIED;
	o->generation += o->name != NULL;
	g_free(o->name);
	o->name = g_strdup(name);
	o->remote = remote;
	o->recalled = false;
	o->renewed_ms = now;
	return OWNER_ACQUIRED;
}

bool owner_is_missing(const struct owner *o, int64_t now)
{
	int64_t last_ms = o->name ? o->renewed_ms : o->known_ms;

	if (o->recalled)
		return false;
	return (o->name && o->remote) || now - last_ms >= o->lease_ms;
}

int owner_choose(const char *endpoint, const uint64_t *ids, size_t n)
{
	uint64_t best = 0;
	int best_index = -1;

	for (size_t i = 0; i < n; i++) {
		uint64_t weight = XXH3_64bits_withSeed(
			endpoint, strlen(endpoint), ids[i]);

		if (best_index < 0 || weight > best) {
			best = weight;
			best_index = (int)i;
		}
	}
	return best_index;
}
