/* Lanes: requests for one model of a service that wait, and who is sent. */
#include "gate_int.h"

static const struct ss_queue_options lane_queue = { .raise_ms = 1 };

void gate_lane_free(void *p)
{
	struct lane *l = p;

	ss_queue_free(l->waits);
	g_free(l->service);
	g_free(l->model);
	g_free(l->version);
	g_free(l);
}

struct lane *gate_lane(struct gate *g, const char *service, const char *model)
{
	return gate_lane_of(g, service, model, "");
}

struct lane *gate_lane_of(struct gate *g, const char *service,
			  const char *model, const char *version)
{
	char *key = g_strdup_printf("%s\n%s\n%s", service, model, version);
	struct lane *l = g_hash_table_lookup(g->lanes, key);

	if (l) {
		g_free(key);
		return l;
	}
	l = g_new0(struct lane, 1);
	l->service = g_strdup(service);
	l->model = g_strdup(model);
	l->version = g_strdup(version);
	l->eta_ms = SS_NEVER;
	l->waits = ss_queue_new(&lane_queue);
	g_hash_table_insert(g->lanes, key, l);
	return l;
}

void lane_add(struct lane *l, struct forward *f)
{
	/* It has no limit on what waits. */
	ss_queue_push(l->waits, &f->item, NULL);
	f->lane = l;
	(*f->g->n_waiting)++;
}

static void left(struct forward *f)
{
	f->lane = NULL;
	(*f->g->n_waiting)--;
}

void lane_take(struct forward *f)
{
	ss_queue_take(f->lane->waits, &f->item);
	left(f);
}

void lane_remove(struct forward *f)
{
	ss_queue_remove(f->lane->waits, &f->item);
	left(f);
}

struct forward *lane_next(const struct lane *l, int64_t now)
{
	/* The item is its first member. */
	return (struct forward *)ss_queue_peek(l->waits, now, 0);
}

static void pump_lane(struct gate *g, struct lane *l)
{
	struct forward *f;

	/* The first in line decides: what it can't get, nobody behind it
	 * may take. It leaves the lane where forward_try() says true. */
	while ((f = lane_next(l, gate_now(g))) && forward_try(f))
		;
}

/* Lanes of a service in a list: pumping one may add another. Streams that have
 * begun go first: they are few, and can go to fewer endpoints. */
static GList *lanes_of(struct gate *g, const char *service)
{
	GList *out = NULL, *begun = NULL;
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->lanes);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct lane *l = p;

		if (!ss_queue_length(l->waits) ||
		    (service && strcmp(l->service, service)))
			continue;
		if (*l->version)
			begun = g_list_prepend(begun, l);
		else
			out = g_list_prepend(out, l);
	}
	return g_list_concat(begun, out);
}

void gate_pump(struct gate *g, const char *service)
{
	GList *all;

	if (*g->n_waiting == 0 || g->pumping)
		return;
	g->pumping = true;
	all = lanes_of(g, service);
	for (GList *l = all; l; l = l->next)
		pump_lane(g, l->data);
	g_list_free(all);
	g->pumping = false;
}
