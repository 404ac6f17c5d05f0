/* Conversion of an endpoint's report to and from wire messages. */
#include "fleet_wire.h"

GArray *fleet_wire_names(const GPtrArray *names)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct name_item));

	for (guint i = 0; names && i < names->len; i++) {
		struct name_item n = { ss_str(names->pdata[i]) };

		g_array_append_val(out, n);
	}
	return out;
}

void fleet_wire_add_held(GArray *held, GPtrArray *lists,
			 const struct fleet_held_model *x)
{
	GArray *names = fleet_wire_names(x->adapters);
	struct held_model h = { .model = ss_str(x->model),
				.adapters = { names->data, names->len } };

	g_ptr_array_add(lists, names);
	g_array_append_val(held, h);
}

static GPtrArray *read_names(const struct wire_list *list)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	const struct name_item *n = list->items;

	for (size_t i = 0; i < list->n; i++)
		g_ptr_array_add(out, ss_str_dup(n[i].name));
	return out;
}

void fleet_report_read(struct fleet_report *r, const struct msg_endpoint *m)
{
	const struct held_model *h = m->held.items;

	memset(r, 0, sizeof(*r));
	r->self.started_ms = m->started_ms;
	r->self.id = m->id.n ? ss_str_dup(m->id) : NULL;
	r->busy = m->busy;
	r->draining = m->draining;
	r->remaining_ms = m->remaining_ms;
	r->orders = m->orders;
	r->running = m->running;
	r->waiting = m->waiting;
	r->tokens_used = m->tokens_used;
	r->tokens_total = m->tokens_total;
	r->held = g_array_new(FALSE, TRUE, sizeof(struct fleet_held_model));
	for (size_t i = 0; i < m->held.n; i++) {
		struct fleet_held_model x = { .model = ss_str_dup(h[i].model),
					      .adapters = read_names(
						      &h[i].adapters) };

		g_array_append_val(r->held, x);
	}
	r->in_memory = read_names(&m->in_memory);
	r->on_disk = read_names(&m->on_disk);
}
