/* Orders that an engine may still carry out after a restart. */
#include "delayed_orders.h"

struct delayed_order {
	char *model, *adapter; /* adapter NULL: the model itself */
	uint64_t expect;       /* count of orders at which it is accepted */
	double mb;
	int64_t until_ms;
	bool prior_incarnation; /* sent to an earlier incarnation */
};

struct delayed_orders {
	GArray *all; /* struct delayed_order */
};

static void order_clear(void *p)
{
	struct delayed_order *o = p;

	g_free(o->model);
	g_free(o->adapter);
}

struct delayed_orders *delayed_orders_new(void)
{
	struct delayed_orders *l = g_new0(struct delayed_orders, 1);

	l->all = g_array_new(FALSE, TRUE, sizeof(struct delayed_order));
	g_array_set_clear_func(l->all, order_clear);
	return l;
}

void delayed_orders_free(struct delayed_orders *l)
{
	g_array_unref(l->all);
	g_free(l);
}

static const struct delayed_order *order_at(const struct delayed_orders *l,
					    guint i)
{
	return &g_array_index(l->all, struct delayed_order, i);
}

void delayed_orders_add(struct delayed_orders *l, const struct fleet_order *o,
			double mb, bool prior_incarnation, int64_t now)
{
	struct delayed_order x = { .model = g_strdup(o->model),
				   .adapter = g_strdup(o->adapter),
				   .expect = o->expect,
				   .mb = mb,
				   .until_ms = now + ORDER_DELAY_MAX_MS,
				   .prior_incarnation = prior_incarnation };

	for (guint i = l->all->len; i-- > 0;)
		if (order_at(l, i)->until_ms <= now)
			g_array_remove_index_fast(l->all, i);
	g_array_append_val(l->all, x);
}

void delayed_orders_restarted(struct delayed_orders *l)
{
	for (guint i = 0; i < l->all->len; i++)
		g_array_index(l->all, struct delayed_order, i)
			.prior_incarnation = true;
}

void delayed_orders_clear(struct delayed_orders *l)
{
	g_array_set_size(l->all, 0);
}

static bool is_held(const struct fleet_report *r, const struct delayed_order *o)
{
	for (guint i = 0; i < r->held->len; i++) {
		const struct fleet_held_model *h =
			&g_array_index(r->held, struct fleet_held_model, i);

		if (strcmp(h->model, o->model))
			continue;
		return !o->adapter ||
		       g_ptr_array_find_with_equal_func(h->adapters, o->adapter,
							g_str_equal, NULL);
	}
	return false;
}

static bool may_be_carried_out(const struct delayed_order *o,
			       const struct fleet_report *r, const char *model,
			       const char *adapter, int64_t now)
{
	bool same = !strcmp(o->model, model) && !g_strcmp0(o->adapter, adapter);

	return o->prior_incarnation && now < o->until_ms &&
	       o->expect > r->orders && !same && !is_held(r, o);
}

/* Returns whether another order that expects the same count needs at least as
 * much memory: only one of them can be carried out. */
static bool is_covered(const struct delayed_orders *l, guint i,
		       const struct fleet_report *r, const char *model,
		       const char *adapter, int64_t now)
{
	const struct delayed_order *o = order_at(l, i);

	for (guint k = 0; k < l->all->len; k++) {
		const struct delayed_order *x = order_at(l, k);

		if (k == i || x->expect != o->expect ||
		    !x->adapter != !o->adapter ||
		    !may_be_carried_out(x, r, model, adapter, now))
			continue;
		if (x->mb > o->mb || (x->mb == o->mb && k < i))
			return true;
	}
	return false;
}

struct delayed_room delayed_orders_room(const struct delayed_orders *l,
					const struct fleet_report *r,
					const char *model, const char *adapter,
					int64_t now)
{
	struct delayed_room room = { 0 };

	for (guint i = 0; i < l->all->len; i++) {
		const struct delayed_order *o = order_at(l, i);

		if (!may_be_carried_out(o, r, model, adapter, now) ||
		    is_covered(l, i, r, model, adapter, now))
			continue;
		room.mb += o->mb;
		room.adapters += o->adapter != NULL;
	}
	return room;
}
