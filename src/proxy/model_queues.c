/*
 * Model queues: the requests that wait for one model of a service, and the
 * order in which they are dispatched.
 */
#include "gate_int.h"

/* Priorities are raised by admission; the queue only orders the requests. */
static const struct ss_queue_options queue_options = { .raise_ms = 1 };

/* The model queues of one service: their requests compete for the same
 * endpoints. */
struct model_queue_group {
	struct admission admission;
	GQueue waiting; /* struct model_queue, the queues that aren't empty */
	GList link; /* in the gate's list of groups in which a request waits */
	GArray *heads; /* struct admission_head, of the dispatch in progress */
	const struct admission_head *tried; /* being sent now; NULL: none */
};

static struct model_queue_group *group_of(struct gate *g, const char *service)
{
	struct model_queue_group *gr = g_hash_table_lookup(g->groups, service);

	if (gr)
		return gr;
	gr = g_new0(struct model_queue_group, 1);
	admission_init(&gr->admission);
	gr->link.data = gr;
	gr->heads = g_array_new(FALSE, FALSE, sizeof(struct admission_head));
	g_hash_table_insert(g->groups, g_strdup(service), gr);
	return gr;
}

static void group_free(void *p)
{
	struct model_queue_group *gr = p;

	admission_clear(&gr->admission);
	g_array_unref(gr->heads);
	g_free(gr);
}

static void model_queue_free(void *p)
{
	struct model_queue *l = p;

	ss_queue_free(l->waiting);
	g_free(l->service);
	g_free(l->model);
	g_free(l->version);
	g_free(l);
}

void model_queues_init(struct gate *g)
{
	struct metrics *m = g->o.metrics;

	g->model_queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						model_queue_free);
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

void model_queues_clear(struct gate *g)
{
	g_hash_table_unref(g->model_queues);
	g_hash_table_unref(g->groups);
}

struct model_queue *gate_model_queue(struct gate *g, const char *service,
				     const char *model)
{
	return gate_version_queue(g, service, model, "");
}

struct model_queue *gate_version_queue(struct gate *g, const char *service,
				       const char *model, const char *version)
{
	char *key = g_strdup_printf("%s\n%s\n%s", service, model, version);
	struct model_queue *l = g_hash_table_lookup(g->model_queues, key);

	if (l) {
		g_free(key);
		return l;
	}
	l = g_new0(struct model_queue, 1);
	l->service = g_strdup(service);
	l->model = g_strdup(model);
	l->version = g_strdup(version);
	l->eta_ms = SS_NEVER;
	l->waiting = ss_queue_new(&queue_options);
	l->group = group_of(g, service);
	l->link.data = l;
	g_hash_table_insert(g->model_queues, key, l);
	return l;
}

/* Queued requests. */

/* Priority 0 is the most urgent; in the queue the highest number is. */
static int priority_of(const struct ss_queue_item *i)
{
	return SS_QUEUE_PRIORITIES - 1 - i->priority;
}

void model_queue_add(struct model_queue *l, struct forward *f)
{
	struct model_queue_group *gr = l->group;
	struct gate *g = f->g;
	int priority;

	if (!ss_queue_length(l->waiting)) {
		if (!gr->waiting.length)
			g_queue_push_tail_link(&g->groups_waiting, &gr->link);
		g_queue_push_tail_link(&gr->waiting, &l->link);
	}
	/* The push can't fail, as the queue has no length limit. */
	ss_queue_push(l->waiting, &f->item, NULL);
	priority = priority_of(&f->item);
	if (!*l->version)
		admission_enter(&gr->admission, priority, gate_now(g));
	f->queue = l;
	(*g->n_waiting)++;
	(*g->n_waiting_by[priority])++;
}

/* Updates the counts and lists for a request that left its model queue. */
static void note_removed(struct forward *f)
{
	struct model_queue *l = f->queue;
	struct model_queue_group *gr = l->group;
	struct gate *g = f->g;
	int priority = priority_of(&f->item);

	f->queue = NULL;
	(*g->n_waiting)--;
	(*g->n_waiting_by[priority])--;
	if (!*l->version)
		admission_leave(&gr->admission, priority);
	if (ss_queue_length(l->waiting))
		return;
	g_queue_unlink(&gr->waiting, &l->link);
	if (!gr->waiting.length)
		g_queue_unlink(&g->groups_waiting, &gr->link);
}

/* Counts the send for its admission rule. Only dispatched requests count: a
 * request that is sent on arrival was preferred to no other. */
static void count_dispatched(struct forward *f)
{
	struct model_queue_group *gr = f->queue->group;
	const struct admission_head *h = gr->tried;

	if (!h || h->request != f)
		return;
	f->sent_rule = admission_dispatched(&gr->admission, h,
					    forward_customer(f), f->item.share,
					    gate_now(f->g));
	*f->g->n_raised += f->sent_rule == ADMISSION_RAISED;
}

void model_queue_take(struct forward *f)
{
	count_dispatched(f);
	ss_queue_take(f->queue->waiting, &f->item);
	note_removed(f);
}

void model_queue_remove(struct forward *f)
{
	ss_queue_remove(f->queue->waiting, &f->item);
	note_removed(f);
}

struct forward *model_queue_next(const struct model_queue *l, int64_t now)
{
	/* The item is the first member of struct forward. */
	return (struct forward *)ss_queue_peek(l->waiting, now, 0);
}

const char *model_queue_rule(const struct forward *f)
{
	static const char *const rules[] = { "-", "order", "guaranteed",
					     "raised" };

	return rules[f->sent_rule];
}

/* Dispatching. */

static void add_head(struct model_queue *l, struct ss_queue_item *i,
		     bool by_order, bool by_time)
{
	struct forward *f = (struct forward *)i;
	struct admission_head h = { .resumes = *l->version,
				    .priority = priority_of(i),
				    .latest_ms = forward_latest_send_ms(f),
				    .by_order = by_order,
				    .by_time = by_time,
				    .model_queue = l,
				    .request = f };

	h.virtual_time = admission_virtual_time(
		&l->group->admission, h.priority, forward_customer(f));
	g_array_append_val(l->group->heads, h);
}

static void add_heads(struct model_queue *l, bool by_time)
{
	for (int p = SS_QUEUE_PRIORITIES - 1; p >= 0; p--) {
		struct ss_queue_item *fairest = ss_queue_fairest(l->waiting, p);
		struct ss_queue_item *earliest =
			ss_queue_earliest(l->waiting, p);

		if (fairest)
			add_head(l, fairest, true, by_time);
		if (by_time && earliest != fairest)
			add_head(l, earliest, false, true);
	}
}

/* Collects the heads of the queues that this dispatch hasn't passed yet. */
static void collect_heads(struct gate *g, struct model_queue_group *gr)
{
	g_array_set_size(gr->heads, 0);
	for (GList *p = gr->waiting.head; p; p = p->next) {
		struct model_queue *l = p->data;

		(*g->n_examined)++;
		if (l->blocked_round != g->dispatch_round)
			add_heads(l,
				  l->time_blocked_round != g->dispatch_round);
	}
}

/* The head of a queue blocks those behind it: what it can't get, none of them
 * may take. Once forward_try_send() returns true, the request has left its
 * queue. */
static void try_head(struct gate *g, struct model_queue_group *gr, size_t at)
{
	struct admission_head *heads = (struct admission_head *)gr->heads->data;
	struct admission_head h = heads[at];
	struct forward *f = h.request;
	bool sent;

	gr->tried = &h;
	sent = forward_try_send(f);
	gr->tried = NULL;
	if (sent) {
		collect_heads(g, gr);
		return;
	}
	if (gr->admission.rule == ADMISSION_GUARANTEED ||
	    gr->admission.rule == ADMISSION_RAISED)
		f->queue->time_blocked_round = g->dispatch_round;
	else
		f->queue->blocked_round = g->dispatch_round;
	g_array_set_size(gr->heads,
			 (guint)admission_skipped(&gr->admission, heads,
						  gr->heads->len, at));
}

static void dispatch_group(struct gate *g, struct model_queue_group *gr)
{
	int at;

	g->dispatch_round++;
	collect_heads(g, gr);
	while ((at = admission_next(
			&gr->admission,
			(const struct admission_head *)gr->heads->data,
			gr->heads->len, gate_now(g))) >= 0)
		try_head(g, gr, (size_t)at);
}

void gate_dispatch(struct gate *g, const char *service)
{
	struct model_queue_group *gr;
	GList *groups;

	if (*g->n_waiting == 0 || g->dispatching)
		return;
	g->dispatching = true;
	if (service) {
		gr = g_hash_table_lookup(g->groups, service);
		if (gr)
			dispatch_group(g, gr);
	} else {
		/* The list is copied as it may change meanwhile: the refusal of
		 * a request may let its caller's next one begin. */
		groups = g_list_copy(g->groups_waiting.head);
		for (GList *p = groups; p; p = p->next)
			dispatch_group(g, p->data);
		g_list_free(groups);
	}
	g->dispatching = false;
}
