/* The list of endpoints: clean-up of items, and presence of an endpoint. */
#include "fleet_list.h"

static void unreadable_clear(void *p)
{
	struct fleet_unreadable *u = p;

	g_free(u->id);
	g_free(u->addr);
	g_free(u->why);
}

void fleet_list_init(struct fleet_list *l)
{
	l->instances = g_array_new(FALSE, FALSE, sizeof(struct fleet_instance));
	g_array_set_clear_func(l->instances, fleet_instance_clear);
	l->unreadable =
		g_array_new(FALSE, FALSE, sizeof(struct fleet_unreadable));
	g_array_set_clear_func(l->unreadable, unreadable_clear);
	l->complete = true;
	l->torn = false;
}

void fleet_list_clear(struct fleet_list *l)
{
	if (l->instances)
		g_array_unref(l->instances);
	if (l->unreadable)
		g_array_unref(l->unreadable);
	memset(l, 0, sizeof(*l));
}

void fleet_list_add_unreadable(struct fleet_list *l, char *id, char *addr,
			       char *why)
{
	struct fleet_unreadable u = { id, addr, why };

	g_array_append_val(l->unreadable, u);
}

static bool is_routed(const struct routing *r, const char *service)
{
	return !r || !r->version || routing_service(r, service);
}

bool fleet_service_corrupt(const struct routing *r, const char *known,
			   const char *listed)
{
	return !is_routed(r, listed) && is_routed(r, known);
}

static struct fleet_instance *instance_at(const struct fleet_list *l, guint i)
{
	return &g_array_index(l->instances, struct fleet_instance, i);
}

/* Returns the ids and addresses of the items whose service is in the
 * routing. */
static GHashTable *routed_names(const struct fleet_list *l,
				const struct routing *r)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < l->instances->len; i++) {
		const struct fleet_instance *x = instance_at(l, i);

		if (!is_routed(r, x->service))
			continue;
		g_hash_table_add(names, x->id);
		g_hash_table_add(names, x->addr);
	}
	return names;
}

void fleet_list_drop_conflicts(struct fleet_list *l, const struct routing *r)
{
	GHashTable *names = routed_names(l, r);

	for (guint i = l->instances->len; i-- > 0;) {
		const struct fleet_instance *x = instance_at(l, i);

		if (!is_routed(r, x->service) &&
		    (g_hash_table_contains(names, x->id) ||
		     g_hash_table_contains(names, x->addr)))
			g_array_remove_index(l->instances, i);
	}
	g_hash_table_unref(names);
}

enum fleet_presence fleet_list_presence(const struct fleet_list *l,
					const char *id, const char *addr,
					int64_t unread_ms)
{
	/* Whether an item was lost that may be this endpoint's. */
	bool unattributed = l->torn;

	for (guint i = 0; i < l->unreadable->len; i++) {
		const struct fleet_unreadable *u = &g_array_index(
			l->unreadable, struct fleet_unreadable, i);

		if (!g_strcmp0(u->id, id) || !g_strcmp0(u->addr, addr))
			return FLEET_UNREADABLE;
		unattributed |= !u->id && !u->addr;
	}
	if (!l->complete)
		return FLEET_UNKNOWN;
	return unattributed && unread_ms < FLEET_UNREADABLE_GRACE_MS ?
		       FLEET_UNREADABLE :
		       FLEET_GONE;
}
