/* Lanes: requests for one model of a service that wait, and who is sent. */
#include "gate_int.h"

/* Raising is admission's; the queue only orders a lane. */
static const struct ss_queue_options lane_queue = { .raise_ms = 1 };

/* Lanes of one service: what waits in them competes for the same endpoints. */
struct lane_group {
	struct admission admission;
	GQueue waiting; /* struct lane, those in which a request waits */
	GList link;	/* in the gate's list of groups that have such lanes */
	GArray *heads;	/* struct admission_head, of the pump under way */
	const struct admission_head *tried; /* by it now; NULL: none */
};

static struct lane_group *group_of(struct gate *g, const char *service)
{
	struct lane_group *gr = g_hash_table_lookup(g->groups, service);

	if (gr)
		return gr;
	gr = g_new0(struct lane_group, 1);
	admission_init(&gr->admission);
	gr->link.data = gr;
	gr->heads = g_array_new(FALSE, FALSE, sizeof(struct admission_head));
	g_hash_table_insert(g->groups, g_strdup(service), gr);
	return gr;
}

static void group_free(void *p)
{
	struct lane_group *gr = p;

	admission_clear(&gr->admission);
	g_array_unref(gr->heads);
	g_free(gr);
}

static void lane_free(void *p)
{
	struct lane *l = p;

	ss_queue_free(l->waits);
	g_free(l->service);
	g_free(l->model);
	g_free(l->version);
	g_free(l);
}

void lanes_init(struct gate *g)
{
	struct metrics *m = g->o.metrics;

	g->lanes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 lane_free);
	g->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  group_free);
	g_queue_init(&g->groups_waiting);
	g->n_waiting = metrics_value(m, "ss_gate_waiting", "");
	g->n_raised = metrics_value(m, "ss_gate_raised_total", "");
	g->n_examined = metrics_value(m, "ss_gate_lanes_examined_total", "");
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++) {
		char *label = g_strdup_printf("priority=\"%d\"", p);

		g->n_waiting_by[p] =
			metrics_value(m, "ss_gate_waiting_by_priority", label);
		g_free(label);
	}
}

void lanes_clear(struct gate *g)
{
	g_hash_table_unref(g->lanes);
	g_hash_table_unref(g->groups);
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
	l->group = group_of(g, service);
	l->link.data = l;
	g_hash_table_insert(g->lanes, key, l);
	return l;
}

/* Who waits. */

/* 0 is first; the queue counts the other way. */
static int priority_of(const struct ss_queue_item *i)
{
	return SS_QUEUE_PRIORITIES - 1 - i->priority;
}

void lane_add(struct lane *l, struct forward *f)
{
	struct lane_group *gr = l->group;
	struct gate *g = f->g;
	int priority;

	if (!ss_queue_length(l->waits)) {
		if (!gr->waiting.length)
			g_queue_push_tail_link(&g->groups_waiting, &gr->link);
		g_queue_push_tail_link(&gr->waiting, &l->link);
	}
	/* It has no limit on what waits. */
	ss_queue_push(l->waits, &f->item, NULL);
	priority = priority_of(&f->item);
	if (!*l->version)
		admission_enter(&gr->admission, priority, gate_now(g));
	f->lane = l;
	(*g->n_waiting)++;
	(*g->n_waiting_by[priority])++;
}

/* It is no longer in its lane's queue. */
static void left(struct forward *f)
{
	struct lane *l = f->lane;
	struct lane_group *gr = l->group;
	struct gate *g = f->g;
	int priority = priority_of(&f->item);

	f->lane = NULL;
	(*g->n_waiting)--;
	(*g->n_waiting_by[priority])--;
	if (!*l->version)
		admission_leave(&gr->admission, priority);
	if (ss_queue_length(l->waits))
		return;
	g_queue_unlink(&gr->waiting, &l->link);
	if (!gr->waiting.length)
		g_queue_unlink(&g->groups_waiting, &gr->link);
}

/* Only what a pump sends has had a turn: nobody went after what is sent as it
 * comes. */
static void note_turn(struct forward *f)
{
	struct lane_group *gr = f->lane->group;
	const struct admission_head *h = gr->tried;

	if (!h || h->request != f)
		return;
	f->turn = admission_taken(&gr->admission, h, forward_customer(f),
				  f->item.share, gate_now(f->g));
	*f->g->n_raised += f->turn == ADMISSION_RAISED;
}

void lane_take(struct forward *f)
{
	note_turn(f);
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

const char *lane_turn(const struct forward *f)
{
	static const char *const turns[] = { "-", "order", "guaranteed",
					     "raised" };

	return turns[f->turn];
}

/* Who is sent. */

static void add_head(struct lane *l, struct ss_queue_item *i, bool by_order,
		     bool by_time)
{
	struct forward *f = (struct forward *)i;
	struct admission_head h = { .begun = *l->version,
				    .priority = priority_of(i),
				    .latest_ms = forward_latest_ms(f),
				    .by_order = by_order,
				    .by_time = by_time,
				    .lane = l,
				    .request = f };

	h.share = admission_share(&l->group->admission, h.priority,
				  forward_customer(f));
	g_array_append_val(l->group->heads, h);
}

static void add_heads(struct lane *l, bool by_time)
{
	for (int p = SS_QUEUE_PRIORITIES - 1; p >= 0; p--) {
		struct ss_queue_item *fairest = ss_queue_fairest(l->waits, p);
		struct ss_queue_item *earliest = ss_queue_earliest(l->waits, p);

		if (fairest)
			add_head(l, fairest, true, by_time);
		if (by_time && earliest != fairest)
			add_head(l, earliest, false, true);
	}
}

/* Heads of the lanes that the pump hasn't passed yet. */
static void gather(struct gate *g, struct lane_group *gr)
{
	g_array_set_size(gr->heads, 0);
	for (GList *p = gr->waiting.head; p; p = p->next) {
		struct lane *l = p->data;

		(*g->n_examined)++;
		if (l->passed != g->pumps)
			add_heads(l, l->passed_by_time != g->pumps);
	}
}

/* A lane's first decides: what it can't get, nobody behind it may take. A
 * request leaves its lane where forward_try() says true. */
static void try_head(struct gate *g, struct lane_group *gr, size_t at)
{
	struct admission_head *heads = (struct admission_head *)gr->heads->data;
	struct admission_head h = heads[at];
	struct forward *f = h.request;
	bool sent;

	gr->tried = &h;
	sent = forward_try(f);
	gr->tried = NULL;
	if (sent) {
		gather(g, gr);
		return;
	}
	if (gr->admission.turn == ADMISSION_GUARANTEED ||
	    gr->admission.turn == ADMISSION_RAISED)
		f->lane->passed_by_time = g->pumps;
	else
		f->lane->passed = g->pumps;
	g_array_set_size(gr->heads,
			 (guint)admission_passed(&gr->admission, heads,
						 gr->heads->len, at));
}

static void pump_group(struct gate *g, struct lane_group *gr)
{
	int at;

	g->pumps++;
	gather(g, gr);
	while ((at = admission_next(
			&gr->admission,
			(const struct admission_head *)gr->heads->data,
			gr->heads->len, gate_now(g))) >= 0)
		try_head(g, gr, (size_t)at);
}

void gate_pump(struct gate *g, const char *service)
{
	struct lane_group *gr;
	GList *all;

	if (*g->n_waiting == 0 || g->pumping)
		return;
	g->pumping = true;
	if (service) {
		gr = g_hash_table_lookup(g->groups, service);
		if (gr)
			pump_group(g, gr);
	} else {
		/* A request that is refused may let its caller's next begin. */
		all = g_list_copy(g->groups_waiting.head);
		for (GList *p = all; p; p = p->next)
			pump_group(g, p->data);
		g_list_free(all);
	}
	g->pumping = false;
}
