/* Incarnations and reports of endpoints: comparing, updating and freeing. */
#include "fleet_types.h"

static bool is_set(const char *s)
{
	return s && *s;
}

const char *fleet_version(const struct fleet_incarnation *i)
{
	return i->version ? i->version : "";
}

bool fleet_id_differs(const struct fleet_incarnation *known,
		      const struct fleet_incarnation *reported)
{
	return is_set(known->id) && is_set(reported->id) &&
	       strcmp(known->id, reported->id) != 0;
}

static bool version_differs(const struct fleet_incarnation *known,
			    const struct fleet_incarnation *reported)
{
	return is_set(known->version) && is_set(reported->version) &&
	       strcmp(known->version, reported->version) != 0;
}

enum fleet_relation
fleet_incarnation_compare(const struct fleet_incarnation *known,
			  const struct fleet_incarnation *reported)
{
	if (fleet_id_differs(known, reported))
		return FLEET_RESTARTED;
	if (known->started_ms && known->started_ms == reported->started_ms)
		return FLEET_SAME;
	if (!known->started_ms || !reported->started_ms)
		return version_differs(known, reported) ? FLEET_RESTARTED :
							  FLEET_SAME;
	return reported->started_ms > known->started_ms ? FLEET_RESTARTED :
							  FLEET_STALE;
}

void fleet_incarnation_update(struct fleet_incarnation *known,
			      const struct fleet_incarnation *reported)
{
	bool other_id = fleet_id_differs(known, reported);
	bool later = known->started_ms &&
		     reported->started_ms > known->started_ms;
	bool stale = !other_id && reported->started_ms < known->started_ms &&
		     reported->started_ms;
	bool same_start = !other_id && known->started_ms &&
			  known->started_ms == reported->started_ms;

	/* Only the list reports the version, after the other parts are known.
	 * A version stays the same within one start: a different one for a
	 * known start is an error of the list and is ignored. */
	if (other_id || later ||
	    (!stale && is_set(reported->version) &&
	     !(same_start && is_set(known->version)))) {
		char *version = g_strdup(reported->version);

		g_free(known->version);
		known->version = version;
	}
	if (other_id || reported->started_ms > known->started_ms)
		known->started_ms = reported->started_ms;
	if (!is_set(reported->id) || (is_set(known->id) && !other_id))
		return;
	g_free(known->id);
	known->id = g_strdup(reported->id);
}

void fleet_incarnation_clear(struct fleet_incarnation *i)
{
	g_clear_pointer(&i->id, g_free);
	g_clear_pointer(&i->version, g_free);
	i->started_ms = 0;
}

static void names_unref(GPtrArray *a)
{
	if (a)
		g_ptr_array_unref(a);
}

void fleet_instance_clear(void *instance)
{
	struct fleet_instance *i = instance;

	g_free(i->id);
	g_free(i->version);
	g_free(i->service);
	g_free(i->addr);
	g_free(i->domain);
	names_unref(i->models);
}

struct fleet_incarnation *
fleet_incarnation_dup(const struct fleet_incarnation *i)
{
	struct fleet_incarnation *copy = g_new0(struct fleet_incarnation, 1);

	fleet_incarnation_update(copy, i);
	return copy;
}

void fleet_incarnation_free(void *incarnation)
{
	fleet_incarnation_clear(incarnation);
	g_free(incarnation);
}

struct fleet_incarnation
fleet_instance_incarnation(const struct fleet_instance *i)
{
	return (struct fleet_incarnation){ i->id, i->started_ms, i->version };
}

GHashTable *fleet_instances_by_addr(const GArray *instances)
{
	GHashTable *by_addr = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < instances->len; i++) {
		struct fleet_instance *x =
			&g_array_index(instances, struct fleet_instance, i);
		const struct fleet_instance *other =
			g_hash_table_lookup(by_addr, x->addr);

		if (other && x->started_ms && x->started_ms < other->started_ms)
			continue;
		g_hash_table_replace(by_addr, x->addr, x);
	}
	return by_addr;
}

enum fleet_relation fleet_report_compare(const struct fleet_incarnation *known,
					 uint64_t orders,
					 const struct fleet_report *r)
{
	enum fleet_relation relation =
		fleet_incarnation_compare(known, &r->self);

	if (relation != FLEET_SAME || r->orders >= orders)
		return relation;
	return known->started_ms && r->self.started_ms ? FLEET_STALE :
							 FLEET_RESTARTED;
}

void fleet_report_clear(struct fleet_report *r)
{
	fleet_incarnation_clear(&r->self);
	for (guint i = 0; r->held && i < r->held->len; i++) {
		struct fleet_held_model *h =
			&g_array_index(r->held, struct fleet_held_model, i);

		g_free(h->model);
		names_unref(h->adapters);
	}
	if (r->held)
		g_array_unref(r->held);
	names_unref(r->loading_adapters);
	names_unref(r->in_memory);
	names_unref(r->on_disk);
	memset(r, 0, sizeof(*r));
}

bool fleet_same_names(const GPtrArray *a, const GPtrArray *b)
{
	if (!a || !b || a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++)
		if (strcmp(a->pdata[i], b->pdata[i]))
			return false;
	return true;
}

static bool same_held(const GArray *a, const GArray *b, bool adapters)
{
	if (!a || !b || a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		const struct fleet_held_model *x =
			&g_array_index(a, struct fleet_held_model, i);
		const struct fleet_held_model *y =
			&g_array_index(b, struct fleet_held_model, i);

		if (strcmp(x->model, y->model) ||
		    (adapters && !fleet_same_names(x->adapters, y->adapters)))
			return false;
	}
	return true;
}

bool fleet_same_held(const GArray *a, const GArray *b)
{
	return same_held(a, b, true);
}

bool fleet_same_models(const GArray *a, const GArray *b)
{
	return same_held(a, b, false);
}
