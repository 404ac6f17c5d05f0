/* Freeing and comparing what the fleet tells of itself. */
#include "fleet_types.h"

static void strs_free(GPtrArray *a)
{
	if (a)
		g_ptr_array_unref(a);
}

void fleet_instance_clear(void *instance)
{
	struct fleet_instance *i = instance;

	g_free(i->id);
	g_free(i->service);
	g_free(i->addr);
	g_free(i->domain);
	strs_free(i->models);
}

void fleet_report_clear(struct fleet_report *r)
{
	for (guint i = 0; r->held && i < r->held->len; i++) {
		struct fleet_held *h =
			&g_array_index(r->held, struct fleet_held, i);

		g_free(h->model);
		strs_free(h->adapters);
	}
	if (r->held)
		g_array_unref(r->held);
	strs_free(r->loading_adapters);
	strs_free(r->in_memory);
	strs_free(r->on_disk);
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

bool fleet_same_held(const GArray *a, const GArray *b)
{
	if (!a || !b || a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		const struct fleet_held *x =
			&g_array_index(a, struct fleet_held, i);
		const struct fleet_held *y =
			&g_array_index(b, struct fleet_held, i);

		if (strcmp(x->model, y->model) ||
		    !fleet_same_names(x->adapters, y->adapters))
			return false;
	}
	return true;
}
