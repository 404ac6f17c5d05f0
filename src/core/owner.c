/* Who orders an engine. */
#include "owner.h"

#include <xxhash.h>

void owner_init(struct owner *o, int64_t engine_ms, int64_t now)
{
	memset(o, 0, sizeof(*o));
	o->lease_ms = MAX(engine_ms + OWNER_MARGIN_MS, OWNER_LEAST_MS);
	o->since_ms = now;
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
	return o->name && now - o->heard_ms < o->lease_ms;
}

enum owner_claim owner_hear(struct owner *o, const char *name, bool remote,
			    int64_t now)
{
	if (is_owner(o, name, remote)) {
		if (!o->recalled)
			o->heard_ms = now;
		return OWNER_SAME;
	}
	/* The one beside is the better one: what runs in its place is told to
	 * end, and until then the place isn't free. */
	o->recalled |= !remote && o->remote;
	if (owner_is_leased(o, now))
		return OWNER_WAITS;
	o->turn += o->name != NULL;
	g_free(o->name);
	o->name = g_strdup(name);
	o->remote = remote;
	o->recalled = false;
	o->heard_ms = now;
	return OWNER_TAKES;
}

bool owner_is_missing(const struct owner *o, int64_t now)
{
	int64_t last = o->name ? o->heard_ms : o->since_ms;

	if (o->recalled)
		return false;
	return (o->name && o->remote) || now - last >= o->lease_ms;
}

int owner_choose(const char *endpoint, const uint64_t *ids, size_t n)
{
	uint64_t best = 0;
	int at = -1;

	for (size_t i = 0; i < n; i++) {
		uint64_t rank = XXH3_64bits_withSeed(endpoint, strlen(endpoint),
						     ids[i]);

		if (at < 0 || rank > best) {
			best = rank;
			at = (int)i;
		}
	}
	return at;
}
